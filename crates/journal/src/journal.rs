//! The journal of one process: its segments and their index. `writing` puts records into the last one,
//! `compaction` takes them out of the first, `sync` sees them to stable storage.
//!
//! The invariant: at any moment the segments, read in their order, give for every message that is not over all that is
//! known of it, and nothing of one that is over. Appending a whole record keeps it. Carrying a message appends one
//! record in the place of all before it. The oldest segment is removed when no live record stands in it; what it says
//! of messages that are over concerns only records in it, and in segments that went before it.

use crate::disk::{Disk, JournalDir};
use crate::format::{header, Record, RecoveredMessage, HEADER};
use crate::pacing::{Pacing, BLOCK, LONGEST_MESSAGE};
use crate::recovery::{self, read_old, Place};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

mod compaction;
mod sync;
mod writing;

pub use sync::SyncJob;
pub use writing::{FailedWrite, Ticket};

/// Bytes at most that the two records of an attempt, without its endpoint's name, and the one of a notice take.
const ATTEMPT_BYTES: u64 = 64;
const NOTICE_BYTES: u64 = 64;
/// Pause between two tries to write again after trouble.
const RETRY: Duration = Duration::from_secs(1);

/// What a journal needs to know.
#[derive(Clone, Copy, Debug)]
pub struct JournalOptions {
    /// Bytes that its files may take.
    pub capacity_bytes: u64,
    /// Attempts of a message at most.
    pub max_attempts: u32,
    /// Longest name of an endpoint, where attempts are written with theirs.
    pub max_endpoint_name_len: usize,
    /// What is carried must be on stable storage before the place it was carried from is given up.
    pub durable: bool,
    /// Sets the identity of a new journal: unlike any other's, and not known to clients.
    pub identity: u64,
}

/// Whether the journal takes more on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Health {
    /// All is well.
    Healthy,
    /// No segment can be begun: what is held goes on, in the room set aside for it, and nothing more is taken on.
    Full(String),
    /// Nothing can be written. What is held goes on as far as it needs no record.
    Failed(String),
}

#[derive(Debug)]
struct Segment {
    number: u64,
    /// Bytes of whole records, the header included.
    length: u64,
    /// Bytes in the file: more, where something unfinished could not be cut off.
    file: u64,
    /// Bytes of live records.
    live: u64,
    /// Messages with records in it; some may be over, or stand here twice.
    messages: Vec<u64>,
    /// What had been written when something was carried out of it last: so much must be synced before it goes.
    carried_at: u64,
}

impl Segment {
    fn new(number: u64) -> Segment {
        Segment { number, length: 0, file: 0, live: 0, messages: Vec::new(), carried_at: 0 }
    }

    fn blocks(&self) -> u64 {
        self.file.max(self.length).next_multiple_of(BLOCK)
    }
}

/// The journal.
#[derive(Debug)]
pub struct Journal<D: Disk = JournalDir> {
    disk: D,
    options: JournalOptions,
    pacing: Pacing,
    identity: u64,
    /// The oldest first; the last is appended to.
    segments: VecDeque<Segment>,
    /// Bytes of all but the last, in whole blocks.
    sealed: u64,
    /// Where the records of each message stand that is not over.
    live: BTreeMap<u64, Vec<Place>>,
    live_bytes: u64,
    /// Messages that are over, whose records go with the next write.
    waiting: Vec<u64>,
    /// Records that gather for the next write.
    batch: writing::Batch,
    health: Health,
    /// Segments with bytes that no sync has confirmed; bytes written since the start, and how many of them are synced.
    dirty: BTreeSet<u64>,
    /// Those that a job is about to confirm: until it has, they are as dirty.
    under_way: BTreeSet<u64>,
    position: u64,
    synced: u64,
    /// Removals so far, and how many of them are synced: a segment must not come back without those behind it.
    removals: u64,
    removals_synced: u64,
    /// Segments were created or removed since the folder was synced.
    entries_changed: bool,
    /// Bytes of the oldest segments that are yet to be passed over.
    owed: u64,
    /// The disk has been told that what stands before this byte of this segment will be read.
    announced: (u64, u64),
    /// When to try again after trouble, and how often records could not be read back since the last that could.
    retry_from: Option<Instant>,
    unreadable: u32,
    highest_number: u64,
    /// Bytes carried since the start, and bytes appended by the owner.
    carried: u64,
    appended: u64,
}

impl Journal<JournalDir> {
    /// Opens the journal of a folder, or begins one, and tells what is not over. A journal of an earlier build is
    /// carried over.
    ///
    /// # Errors
    /// As of [`Journal::open_on`].
    pub fn open(
        folder: &Path, options: JournalOptions,
    ) -> io::Result<(Self, BTreeMap<u64, RecoveredMessage>)> {
        Journal::open_on(JournalDir::new(folder)?, options)
    }
}

impl<D: Disk> Journal<D> {
    /// Opens the journal on a disk; see [`Journal::open`].
    ///
    /// # Errors
    /// It can't be read, is of a later version, or the segment that follows can't be begun.
    pub fn open_on(
        mut disk: D, options: JournalOptions,
    ) -> io::Result<(Self, BTreeMap<u64, RecoveredMessage>)> {
        let old = disk.old()?;
        if old.is_some() {
            // It is there until all of it has been carried over: what has been so far counts for nothing.
            for number in disk.segments()? {
                disk.remove(number)?;
            }
        }
        let read = recovery::read(&mut disk)?;
        for damage in &read.damage {
            let recovery::DamagedRange { segment, at, bytes, problem, .. } = damage;
            eprintln!("journal/{}: {bytes} bytes at {at}: {problem}", JournalDir::file_name(*segment));
        }
        let mut journal = Journal {
            disk,
            options,
            // The identity's second place takes a block of it.
            pacing: Pacing::new(options.capacity_bytes.saturating_sub(BLOCK)),
            identity: read.identity.unwrap_or(options.identity),
            segments: VecDeque::new(),
            sealed: 0,
            live: BTreeMap::new(),
            live_bytes: 0,
            waiting: Vec::new(),
            batch: writing::Batch::default(),
            health: Health::Healthy,
            dirty: BTreeSet::new(),
            under_way: BTreeSet::new(),
            position: 0,
            synced: 0,
            removals: 0,
            removals_synced: 0,
            entries_changed: true,
            owed: 0,
            announced: (0, 0),
            retry_from: None,
            unreadable: 0,
            highest_number: read.highest_number,
            carried: 0,
            appended: 0,
        };
        for read in &read.segments {
            let (number, length, file) = (read.number, read.whole, read.length);
            journal.push_segment(Segment { length, file, ..Segment::new(number) });
        }
        let mut restored = BTreeMap::new();
        for (number, (message, places)) in read.messages {
            places.iter().for_each(|place| journal.add(number, *place));
            restored.insert(number, message);
        }
        if let Some(bytes) = old {
            let (messages, damage) = read_old(&bytes);
            damage
                .iter()
                .for_each(|(at, to)| eprintln!("journal: {} damaged bytes at {at} passed over", to - at));
            drop(bytes);
            journal.begin_segment()?;
            for (number, message) in messages {
                journal.append(number, &Record::Carried(Box::new(message.clone())))?;
                restored.insert(number, message);
            }
            journal.sync()?;
            journal.disk.remove_old()?;
        }
        journal.open_tail(read.segments.last().is_none_or(|s| s.is_sound))?;
        journal.keep_identity();
        Ok((journal, restored))
    }

    /// Keeps the identity in a second place: a header that is lost must not take a whole journal with it that has no
    /// other segment. Where that fails the headers alone tell it, and the next start tries again.
    fn keep_identity(&mut self) {
        // Segments have numbers from 1 on: this header is none's.
        let bytes = header(self.identity, 0);
        if self.disk.identity().ok().flatten().as_deref() != Some(&bytes[..]) {
            let _ = self.disk.keep_identity(&bytes);
            self.entries_changed = true;
        }
    }

    /// Goes on in the last segment, if it is sound and not full; else in a new one.
    fn open_tail(&mut self, is_sound: bool) -> io::Result<()> {
        let segment = self.pacing.segment;
        if let Some(tail) = self.segments.back_mut() {
            if is_sound && tail.length >= HEADER as u64 && tail.length < segment {
                if tail.file > tail.length {
                    // A record that was not finished.
                    self.disk.truncate(tail.number, tail.length)?;
                    tail.file = tail.length;
                }
                return Ok(());
            }
            if tail.length == 0 && tail.file <= HEADER as u64 {
                // It was not begun when its process ended.
                self.disk.remove(tail.number)?;
                self.segments.pop_back();
                self.sealed -= self.segments.back().map_or(0, Segment::blocks);
            }
        }
        match self.begin_segment() {
            // What is held can be sent and ended; room may come.
            Err(e) if !self.segments.is_empty() => {
                self.health = Health::Full(e.to_string());
                Ok(())
            }
            begun => begun,
        }
    }

    fn begin_segment(&mut self) -> io::Result<()> {
        // What is staged has the seed of the last segment so far.
        self.write_staged();
        let number = self.segments.back().map_or(1, |s| s.number + 1);
        self.disk.create(number, self.pacing.segment + LONGEST_MESSAGE)?;
        let header = header(self.identity, number);
        let written = self.disk.append(number, &header).and_then(|count| {
            if count == header.len() {
                Ok(())
            } else {
                Err(io::Error::other("a header was cut short"))
            }
        });
        if let Err(error) = written {
            let _ = self.disk.remove(number);
            return Err(error);
        }
        let length = HEADER as u64;
        self.push_segment(Segment { length, file: length, ..Segment::new(number) });
        self.dirty.insert(number);
        self.entries_changed = true;
        self.position += length;
        Ok(())
    }

    fn push_segment(&mut self, segment: Segment) {
        self.sealed += self.segments.back().map_or(0, Segment::blocks);
        self.segments.push_back(segment);
    }

    /// Whether a message of about this size can be taken on, with all that may have to be written of it.
    pub fn has_capacity(&self, size: usize) -> bool {
        let reserve = (ATTEMPT_BYTES + self.options.max_endpoint_name_len as u64)
            * u64::from(self.options.max_attempts)
            + NOTICE_BYTES;
        let messages = self.live.len() as u64 + 1;
        let live = self.live_bytes + self.batch.len() + size as u64;
        self.health == Health::Healthy && self.pacing.fits(live + messages * reserve)
    }

    /// The highest number of a message that a record names: a new message takes a higher one.
    pub fn highest_number(&self) -> u64 {
        self.highest_number
    }

    /// Bytes in the files.
    pub fn disk_bytes(&self) -> u64 {
        self.sealed + self.segments.back().map_or(0, Segment::blocks)
    }

    /// Bytes of live records.
    pub fn live_bytes(&self) -> u64 {
        self.live_bytes
    }

    /// Bytes that the owner has appended, and bytes that were carried beside them, since the start.
    pub fn written(&self) -> (u64, u64) {
        (self.appended, self.carried)
    }

    /// Whether it takes more on.
    pub fn health(&self) -> &Health {
        &self.health
    }

    fn add(&mut self, number: u64, place: Place) {
        self.live.entry(number).or_default().push(place);
        self.live_bytes += u64::from(place.length);
        if let Some(segment) = self.segment(place.segment) {
            segment.live += u64::from(place.length);
            segment.messages.push(number);
        }
    }

    fn forget(&mut self, number: u64) {
        for place in self.live.remove(&number).unwrap_or_default() {
            self.live_bytes -= u64::from(place.length);
            if let Some(segment) = self.segment(place.segment) {
                segment.live -= u64::from(place.length);
            }
        }
    }

    fn segment(&mut self, number: u64) -> Option<&mut Segment> {
        // Numbers follow one another, but for those that are missing in a damaged journal.
        let first = self.segments.front()?.number;
        let at = usize::try_from(number.checked_sub(first)?).ok()?;
        if self.segments.get(at).is_some_and(|s| s.number == number) {
            return self.segments.get_mut(at);
        }
        self.segments.iter_mut().find(|s| s.number == number)
    }
}

#[cfg(test)]
#[path = "journal_tests.rs"]
mod tests;
