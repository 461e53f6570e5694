//! The journal of a process: its segments and their index. `writing` appends records to the last segment,
//! `compaction` removes them from the first, and `sync` flushes them to stable storage.
//!
//! Invariant: at any moment the segments, read in order, give the complete state of every unfinished message,
//! and nothing of a finished one. Appending a complete record preserves it. Rewriting a message appends one
//! record that replaces all its earlier ones. The oldest segment is removed when it has no live records: the
//! records in it that finish a message concern only records in the same segment, or in segments already
//! removed.

use crate::compaction_policy::{CompactionPolicy, BLOCK_BYTES, MAX_MESSAGE_FRAME_BYTES};
use crate::disk::{self, Disk, JournalDir};
use crate::format::{header, Record, RecoveredMessage, HEADER_BYTES};
use crate::recovery::{self, read_v1, RecordLocation};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

mod compaction;
mod sync;
mod writing;

pub use sync::SyncJob;
pub use writing::{FailedWrite, Ticket};

/// Upper bound in bytes of the two records of an attempt, without the endpoint name.
const ATTEMPT_BYTES: u64 = 64;
/// Upper bound in bytes of the record of a notice.
const NOTICE_BYTES: u64 = 64;
/// Number of sealed segments that may wait for a sync; their files stay open until then.
const MAX_UNSYNCED_SEGMENTS: usize = 4;
/// Maximum number of descriptors that a durable journal holds at once: the files that a running sync job holds, and
/// as many that wait for the next one.
pub const MAX_DURABLE_DESCRIPTORS: usize = disk::MAX_DESCRIPTORS + 2 * MAX_UNSYNCED_SEGMENTS + 1;
/// Delay before writing is tried again after a failure.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Settings of a journal.
#[derive(Clone, Copy, Debug)]
pub struct JournalOptions {
    /// Bytes that its files may occupy.
    pub capacity_bytes: u64,
    /// Maximum number of attempts per message.
    pub max_attempts: u32,
    /// Maximum length of an endpoint name in bytes; 0 if attempts are recorded without the endpoint.
    pub max_endpoint_name_len: usize,
    /// Rewritten records must be on stable storage before the segment that they came from is removed.
    pub durable: bool,
    /// Identity of a new journal: unique, and not known to clients.
    pub identity: u64,
}

/// Whether the journal accepts new messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Health {
    /// New messages are accepted.
    Healthy,
    /// No segment can be created. Messages in flight continue in the space reserved for them; no new ones are
    /// accepted.
    Full(String),
    /// Nothing can be written. Messages in flight continue as far as they need no record.
    Failed(String),
}

#[derive(Debug)]
struct Segment {
    number: u64,
    /// Length of the complete records in bytes, header included.
    length: u64,
    /// Length of the file in bytes; larger than `length` if a partial record could not be truncated.
    file_length: u64,
    /// Bytes of live records.
    live_bytes: u64,
    /// Numbers of the messages with records in this segment. Some may be finished, or listed twice.
    messages: Vec<u64>,
    /// Value of [`Journal::bytes_written`] when a message was last rewritten out of this segment. The journal
    /// must be synced up to it before the segment is removed.
    rewritten_at: u64,
}

impl Segment {
    fn new(number: u64) -> Segment {
        Segment { number, length: 0, file_length: 0, live_bytes: 0, messages: Vec::new(), rewritten_at: 0 }
    }

    fn block_bytes(&self) -> u64 {
        self.file_length.max(self.length).next_multiple_of(BLOCK_BYTES)
    }
}

/// Append-only journal in segments, with an index of the live records.
#[derive(Debug)]
pub struct Journal<D: Disk = JournalDir> {
    disk: D,
    options: JournalOptions,
    policy: CompactionPolicy,
    identity: u64,
    /// The segments, oldest first. Records are appended to the last.
    segments: VecDeque<Segment>,
    /// Bytes of all segments but the last, in whole blocks.
    sealed_bytes: u64,
    /// Locations of the records of each unfinished message.
    locations: BTreeMap<u64, Vec<RecordLocation>>,
    live_bytes: u64,
    /// Finished messages whose final record is written with the next write.
    pending_finished: Vec<u64>,
    /// Staged records, to be written together.
    batch: writing::Batch,
    health: Health,
    /// Segments with data that no sync has confirmed.
    unsynced: BTreeSet<u64>,
    /// Segments covered by a sync job that has not reported its result yet. They may still be unsynced.
    syncing: BTreeSet<u64>,
    /// Sealed segments whose sync has failed outside of a sync job. The next result of a sync reports them.
    failed_syncs: BTreeSet<u64>,
    /// Bytes written since the start.
    bytes_written: u64,
    /// Value of `bytes_written` up to which everything is synced.
    bytes_synced: u64,
    /// Number of segments removed since the start.
    removals: u64,
    /// Number of removals that are synced. Removals must reach the disk in order: a segment must not reappear
    /// after a power failure when a later one does not.
    removals_synced: u64,
    /// Segments were created or removed since the folder was last synced.
    directory_changed: bool,
    /// Bytes of the oldest segments that the compaction has yet to process.
    compaction_debt: u64,
    /// Segment and offset up to which the disk has been asked to prefetch.
    prefetched: (u64, u64),
    /// When to try again after a failure.
    retry_at: Option<Instant>,
    /// Consecutive failures to read a record back.
    read_failures: u32,
    highest_number: u64,
    /// Bytes rewritten by the compaction since the start.
    rewritten_bytes: u64,
    /// Bytes appended by the owner since the start.
    appended_bytes: u64,
}

impl Journal<JournalDir> {
    /// Opens the journal of a state folder, or creates it, and returns the unfinished messages by number. The
    /// contents of a version 1 journal are moved to the new format.
    ///
    /// # Errors
    /// Same as [`Journal::open_on`].
    pub fn open(
        folder: &Path, options: JournalOptions,
    ) -> io::Result<(Self, BTreeMap<u64, RecoveredMessage>)> {
        Journal::open_on(JournalDir::new(folder)?, options)
    }
}

impl<D: Disk> Journal<D> {
    /// Opens the journal on any [`Disk`]; see [`Journal::open`].
    ///
    /// # Errors
    /// The journal can't be read, has a later format version, or its next segment can't be created.
    pub fn open_on(
        mut disk: D, options: JournalOptions,
    ) -> io::Result<(Self, BTreeMap<u64, RecoveredMessage>)> {
        let v1_file = disk.v1_file()?;
        if v1_file.is_some() {
            // The version 1 file exists until all of it has been copied: segments of an unfinished copy are
            // discarded.
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
            // The identity file occupies one block.
            policy: CompactionPolicy::new(options.capacity_bytes.saturating_sub(BLOCK_BYTES)),
            identity: read.identity.unwrap_or(options.identity),
            segments: VecDeque::new(),
            sealed_bytes: 0,
            locations: BTreeMap::new(),
            live_bytes: 0,
            pending_finished: Vec::new(),
            batch: writing::Batch::default(),
            health: Health::Healthy,
            unsynced: BTreeSet::new(),
            syncing: BTreeSet::new(),
            failed_syncs: BTreeSet::new(),
            bytes_written: 0,
            bytes_synced: 0,
            removals: 0,
            removals_synced: 0,
            directory_changed: true,
            compaction_debt: 0,
            prefetched: (0, 0),
            retry_at: None,
            read_failures: 0,
            highest_number: read.highest_number,
            rewritten_bytes: 0,
            appended_bytes: 0,
        };
        for read in &read.segments {
            let (number, length, file_length) = (read.number, read.valid_length, read.length);
            journal.push_segment(Segment { length, file_length, ..Segment::new(number) });
        }
        let mut restored = BTreeMap::new();
        for (number, (message, locations)) in read.messages {
            locations.iter().for_each(|location| journal.add_location(number, *location));
            restored.insert(number, message);
        }
        if let Some(bytes) = v1_file {
            let (messages, damage) = read_v1(&bytes);
            damage
                .iter()
                .for_each(|(at, to)| eprintln!("journal: {} damaged bytes at {at} skipped", to - at));
            drop(bytes);
            journal.begin_segment()?;
            for (number, message) in messages {
                journal.append(number, &Record::Snapshot(Box::new(message.clone())))?;
                restored.insert(number, message);
            }
            journal.sync()?;
            journal.disk.remove_v1()?;
        }
        journal.open_tail(read.segments.last().is_none_or(|s| s.has_valid_header))?;
        journal.store_identity();
        Ok((journal, restored))
    }

    /// Stores the identity in a second place, so that a journal with a single segment can be read if its
    /// header is lost. If this fails, only the headers have the identity, and the next start tries again.
    fn store_identity(&mut self) {
        // Segments are numbered from 1, so a header with number 0 belongs to none.
        let bytes = header(self.identity, 0);
        if self.disk.identity().ok().flatten().as_deref() != Some(&bytes[..]) {
            let _ = self.disk.store_identity(&bytes);
            self.directory_changed = true;
        }
    }

    /// Continues in the last segment if its header is valid and it is not full; otherwise begins a new one.
    fn open_tail(&mut self, has_valid_header: bool) -> io::Result<()> {
        let segment = self.policy.segment_bytes;
        if let Some(tail) = self.segments.back_mut() {
            if has_valid_header && tail.length >= HEADER_BYTES as u64 && tail.length < segment {
                if tail.file_length > tail.length {
                    // An incomplete record.
                    self.disk.truncate(tail.number, tail.length)?;
                    tail.file_length = tail.length;
                }
                return Ok(());
            }
            if tail.length == 0 && tail.file_length <= HEADER_BYTES as u64 {
                // The process ended while it created this segment.
                self.disk.remove(tail.number)?;
                self.segments.pop_back();
                self.sealed_bytes -= self.segments.back().map_or(0, Segment::block_bytes);
            }
        }
        match self.begin_segment() {
            // Messages in flight can still be sent and finished, and space may become available.
            Err(e) if !self.segments.is_empty() => {
                self.health = Health::Full(e.to_string());
                Ok(())
            }
            begun => begun,
        }
    }

    fn begin_segment(&mut self) -> io::Result<()> {
        // Staged records were encoded with the seed of the current last segment.
        self.write_staged();
        let sealed = self.segments.back().map(|s| s.number);
        let number = sealed.map_or(1, |sealed| sealed + 1);
        self.disk.create(number, self.policy.segment_bytes + MAX_MESSAGE_FRAME_BYTES)?;
        let header = header(self.identity, number);
        let written = self.disk.append(number, &header).and_then(|count| {
            if count == header.len() {
                Ok(())
            } else {
                Err(io::Error::other("the segment header was written only in part"))
            }
        });
        if let Err(error) = written {
            let _ = self.disk.remove(number);
            return Err(error);
        }
        let length = HEADER_BYTES as u64;
        self.push_segment(Segment { length, file_length: length, ..Segment::new(number) });
        self.unsynced.insert(number);
        self.directory_changed = true;
        self.bytes_written += length;
        if self.options.durable {
            self.limit_unsynced_segments();
            self.release_synced(&sealed.into_iter().collect());
        } else if let Some(sealed) = sealed {
            self.disk.release(sealed);
        }
        Ok(())
    }

    fn push_segment(&mut self, segment: Segment) {
        self.sealed_bytes += self.segments.back().map_or(0, Segment::block_bytes);
        self.segments.push_back(segment);
    }

    /// Whether a message of about `size` bytes can be accepted, including space for all its later records.
    pub fn has_capacity(&self, size: usize) -> bool {
        let reserve = (ATTEMPT_BYTES + self.options.max_endpoint_name_len as u64)
            * u64::from(self.options.max_attempts)
            + NOTICE_BYTES;
        let messages = self.locations.len() as u64 + 1;
        let live = self.live_bytes + self.batch.len() + size as u64;
        self.health == Health::Healthy && self.policy.fits(live + messages * reserve)
    }

    /// The highest message number in any record. New messages get higher numbers.
    pub fn highest_number(&self) -> u64 {
        self.highest_number
    }

    /// Bytes occupied by the segment files.
    pub fn disk_bytes(&self) -> u64 {
        self.sealed_bytes + self.segments.back().map_or(0, Segment::block_bytes)
    }

    /// Bytes of live records.
    pub fn live_bytes(&self) -> u64 {
        self.live_bytes
    }

    /// Bytes appended by the owner, and bytes rewritten by the compaction, since the start.
    pub fn write_stats(&self) -> (u64, u64) {
        (self.appended_bytes, self.rewritten_bytes)
    }

    /// Whether the journal accepts new messages.
    pub fn health(&self) -> &Health {
        &self.health
    }

    fn add_location(&mut self, number: u64, location: RecordLocation) {
        self.locations.entry(number).or_default().push(location);
        self.live_bytes += u64::from(location.length);
        if let Some(segment) = self.segment(location.segment) {
            segment.live_bytes += u64::from(location.length);
            segment.messages.push(number);
        }
    }

    fn remove_message(&mut self, number: u64) {
        for location in self.locations.remove(&number).unwrap_or_default() {
            self.live_bytes -= u64::from(location.length);
            if let Some(segment) = self.segment(location.segment) {
                segment.live_bytes -= u64::from(location.length);
            }
        }
    }

    fn segment(&mut self, number: u64) -> Option<&mut Segment> {
        // Segment numbers are consecutive, unless segments are missing from a damaged journal.
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
