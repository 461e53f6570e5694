//! The journal of one process: appends, and compaction in steps.
//!
//! The invariant: at any moment the segments, read in their order, give for every message that is not over all that is
//! known of it, and nothing of one that is over. Appending a whole record keeps it. Carrying a message appends one
//! record in the place of all before it. The oldest segment is removed when no live record stands in it; what it says
//! of messages that are over concerns only records in it, and in segments that went before it.

use crate::disk::{Disk, Folder};
use crate::format::{header, Record, Restored, HEADER};
use crate::frame;
use crate::pacing::{Pacing, BLOCK, LONGEST_MESSAGE};
use crate::recovery::{self, read_old, seed, Place};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs::File;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

/// Bytes at most that the two records of an attempt, without its endpoint's name, and the one of a notice take.
const ATTEMPT_BYTES: u64 = 64;
const NOTICE_BYTES: u64 = 64;
/// Records that wait for the next write at most, and the bytes of one.
const WAITING: usize = 128;
const OVER_BYTES: usize = 24;
/// Messages that a step of the compaction looks at before it looks at the time.
const LOOK_EVERY: u32 = 8;
/// Pause between two tries to write again after trouble.
const RETRY: Duration = Duration::from_secs(1);
/// So often a record is read back before it is given up.
const READ_TRIES: u32 = 3;

/// What a journal needs to know.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Bytes that its files may take.
    pub room: u64,
    /// Attempts of a message at most.
    pub attempts: u32,
    /// Longest name of an endpoint, where attempts are written with theirs.
    pub name: usize,
    /// What is carried must be on stable storage before the place it was carried from is given up.
    pub durable: bool,
    /// Sets the identity of a new journal: unlike any other's, and not known to clients.
    pub identity: u64,
}

/// Whether the journal takes more on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Health {
    /// All is well.
    Sound,
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
pub struct Journal<D: Disk = Folder> {
    disk: D,
    options: Options,
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
    /// When to try again after trouble, and how often records could not be read back since the last that could.
    retry_from: Option<Instant>,
    unreadable: u32,
    highest: u64,
    /// Bytes carried since the start, and bytes appended by the owner.
    carried: u64,
    appended: u64,
}

impl Journal<Folder> {
    /// Opens the journal of a folder, or begins one, and tells what is not over. A journal of an earlier build is
    /// carried over.
    ///
    /// # Errors
    /// As of [`Journal::open_on`].
    pub fn open(folder: &Path, options: Options) -> io::Result<(Self, BTreeMap<u64, Restored>)> {
        Journal::open_on(Folder::new(folder)?, options)
    }

    /// What has to be synced for all that has been written so far to be on stable storage; to be run by whoever can
    /// wait, and then given to [`Journal::synced`].
    ///
    /// # Errors
    /// There is no descriptor left. Nothing has changed.
    pub fn sync_job(&mut self) -> io::Result<SyncJob> {
        let mut files = Vec::new();
        for segment in &self.dirty {
            // One that has been removed since owes nothing.
            if self.segments.iter().any(|s| s.number == *segment) {
                files.push(self.disk.handle(*segment)?);
            }
        }
        if self.entries_changed {
            files.push(self.disk.folder()?);
            self.entries_changed = false;
        }
        let segments = std::mem::take(&mut self.dirty);
        self.under_way.extend(&segments);
        Ok(SyncJob { files, segments, position: self.position, removals: self.removals })
    }
}

/// Files to sync, and what that confirms.
#[derive(Debug)]
pub struct SyncJob {
    files: Vec<File>,
    segments: BTreeSet<u64>,
    position: u64,
    removals: u64,
}

impl SyncJob {
    /// Syncs. Blocks for as long as the disk takes.
    ///
    /// # Errors
    /// What is on stable storage is not known.
    pub fn run(&self) -> io::Result<()> {
        self.files.iter().try_for_each(File::sync_data)
    }
}

impl<D: Disk> Journal<D> {
    /// Opens the journal on a disk; see [`Journal::open`].
    ///
    /// # Errors
    /// It can't be read, is of a later version, or the segment that follows can't be begun.
    pub fn open_on(mut disk: D, options: Options) -> io::Result<(Self, BTreeMap<u64, Restored>)> {
        let old = disk.old()?;
        if old.is_some() {
            // It is there until all of it has been carried over: what has been so far counts for nothing.
            for number in disk.segments()? {
                disk.remove(number)?;
            }
        }
        let read = recovery::read(&mut disk)?;
        for damage in &read.damage {
            let recovery::Damage { segment, at, bytes, problem, .. } = damage;
            eprintln!("journal/{}: {bytes} bytes at {at}: {problem}", Folder::file_name(*segment));
        }
        let mut journal = Journal {
            disk,
            options,
            pacing: Pacing::new(options.room),
            identity: read.identity.unwrap_or(options.identity),
            segments: VecDeque::new(),
            sealed: 0,
            live: BTreeMap::new(),
            live_bytes: 0,
            waiting: Vec::new(),
            health: Health::Sound,
            dirty: BTreeSet::new(),
            under_way: BTreeSet::new(),
            position: 0,
            synced: 0,
            removals: 0,
            removals_synced: 0,
            entries_changed: true,
            owed: 0,
            retry_from: None,
            unreadable: 0,
            highest: read.highest,
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
                journal.write(number, &Record::Carried(Box::new(message.clone())))?;
                journal.highest = journal.highest.max(number);
                restored.insert(number, message);
            }
            journal.sync()?;
            journal.disk.remove_old()?;
        }
        journal.open_tail()?;
        Ok((journal, restored))
    }

    /// Goes on in the last segment, if it is sound and not full; else in a new one.
    fn open_tail(&mut self) -> io::Result<()> {
        let segment = self.pacing.segment;
        if let Some(tail) = self.segments.back_mut() {
            if tail.length >= HEADER as u64 && tail.length < segment {
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
    pub fn has_room(&self, size: usize) -> bool {
        let reserve =
            (ATTEMPT_BYTES + self.options.name as u64) * u64::from(self.options.attempts) + NOTICE_BYTES;
        let messages = self.live.len() as u64 + 1;
        self.health == Health::Sound && self.pacing.fits(self.live_bytes + size as u64 + messages * reserve)
    }

    /// The highest number of a message that a record names: a new message takes a higher one.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// Bytes in the files.
    pub fn length(&self) -> u64 {
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

    /// Appends a record.
    ///
    /// # Errors
    /// The record is not in the file: the disk is full, say. A later one may be again.
    pub fn append(&mut self, number: u64, record: &Record) -> io::Result<()> {
        let bytes = self.write(number, record)?;
        self.appended += bytes;
        self.owe(bytes);
        Ok(())
    }

    /// Lets a message go without a write of its own: its record goes with the next one, or at [`Journal::flush`].
    /// For messages whose end is kept elsewhere, by which a restart knows that they are over.
    ///
    /// # Errors
    /// As of [`Journal::flush`], if too much waits; the message is gone from the live ones all the same.
    pub fn over_soon(&mut self, number: u64) -> io::Result<()> {
        self.forget(number);
        self.waiting.push(number);
        if self.waiting.len() > WAITING {
            return self.flush();
        }
        Ok(())
    }

    /// Writes what waits for the next write.
    ///
    /// # Errors
    /// It could not be written, and waits still.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.waiting.is_empty() {
            return Ok(());
        }
        self.make_room(self.waiting_bytes())?;
        self.write_frames(&[]).map(drop)
    }

    /// Brings what has been written to stable storage. Blocks; see [`Folder::handle`] for a way that does not.
    ///
    /// # Errors
    /// What of it is there is not known: the segment is not trusted again.
    pub fn sync(&mut self) -> io::Result<()> {
        let mut segments = std::mem::take(&mut self.dirty);
        segments.extend(&self.under_way);
        let position = self.position;
        for number in &segments {
            let there = self.segments.iter().any(|s| s.number == *number);
            if let Err(error) = if there { self.disk.sync(*number) } else { Ok(()) } {
                self.distrust(&segments);
                return Err(error);
            }
        }
        // A job may have the folder, and not have confirmed it yet.
        if self.entries_changed || self.removals > self.removals_synced {
            if let Err(error) = self.disk.sync_folder() {
                self.distrust(&segments);
                return Err(error);
            }
            self.entries_changed = false;
            self.removals_synced = self.removals;
        }
        self.synced = self.synced.max(position);
        Ok(())
    }

    /// A job has been done, or has failed. What it was to confirm is not trusted then: its live records are carried to
    /// a fresh segment, and the journal says so if it can't.
    ///
    /// # Errors
    /// The sync's, or one of the carrying.
    pub fn synced(&mut self, job: &SyncJob, result: io::Result<()>) -> io::Result<()> {
        self.under_way.clear();
        match result {
            Ok(()) => {
                self.synced = self.synced.max(job.position);
                self.removals_synced = self.removals_synced.max(job.removals);
                Ok(())
            }
            Err(error) => {
                self.entries_changed = true;
                self.distrust(&job.segments);
                Err(error)
            }
        }
    }

    /// Whether something waits for a sync: removals, beside what the owner wants to be sure of.
    pub fn wants_sync(&self) -> bool {
        let held_up = |front: &Segment| front.live == 0 && !self.may_go(front);
        self.options.durable && self.segments.len() > 1 && self.segments.front().is_some_and(held_up)
    }

    fn may_go(&self, front: &Segment) -> bool {
        !self.options.durable || (front.carried_at <= self.synced && self.removals == self.removals_synced)
    }

    /// These segments are not written to again, and nothing rests on them any more.
    fn distrust(&mut self, segments: &BTreeSet<u64>) {
        if let Err(error) = self.begin_segment() {
            self.health = Health::Failed(format!("after a failed sync: {error}"));
            return;
        }
        let here = |places: &Vec<Place>| places.iter().any(|p| segments.contains(&p.segment));
        let numbers: Vec<u64> =
            self.live.iter().filter(|(_, places)| here(places)).map(|(n, _)| *n).collect();
        for number in numbers {
            if let Err(error) = self.carry(number) {
                self.health = Health::Failed(format!("after a failed sync: {error}"));
                return;
            }
        }
    }

    /// Whether there is work for [`Journal::step`].
    pub fn is_owing(&self) -> bool {
        self.owed > 0
    }

    /// Goes on with the compaction until `until`, or until so much has been done as appends call for. Tries to begin
    /// a segment again where that failed.
    ///
    /// # Errors
    /// A live record can't be read back, or carried; both are tried again later.
    pub fn step(&mut self, until: Instant) -> io::Result<()> {
        if self.health != Health::Sound && self.retry_from.is_none_or(|from| Instant::now() >= from) {
            self.recover();
        }
        let mut looked = 0;
        while self.owed > 0 && self.segments.len() > 1 {
            let done = self.pass_some()?;
            if done == u64::MAX {
                // The front waits for a sync; what is owed is passed over after it.
                break;
            }
            self.owed = self.owed.saturating_sub(done);
            looked += 1;
            if looked % LOOK_EVERY == 0 && Instant::now() >= until {
                break;
            }
        }
        if self.segments.len() < 2 {
            self.owed = 0;
        }
        Ok(())
    }

    /// Room may have come back.
    fn recover(&mut self) {
        // Dead segments at the front make some.
        while self.drop_front().unwrap_or(false) {}
        match self.begin_segment() {
            Ok(()) => self.health = Health::Sound,
            Err(error) => {
                self.health = Health::Full(error.to_string());
                self.retry_from = Some(Instant::now() + RETRY);
            }
        }
    }

    fn owe(&mut self, bytes: u64) {
        let pass = self.pacing.pass(bytes, self.length(), self.live_bytes);
        self.owed = (self.owed + pass).min(2 * self.length());
    }

    fn tail_seed(&self) -> u32 {
        seed(self.identity, self.segments.back().map_or(0, |s| s.number))
    }

    /// Writes a record behind what waits; gives the bytes of its frame.
    fn write(&mut self, number: u64, record: &Record) -> io::Result<u64> {
        // Before it is encoded: the seed is that of the segment in which it will stand.
        self.make_room(self.waiting_bytes() + bound(record))?;
        let frame = frame::encode_with(self.tail_seed(), &(number, record))?;
        let place = self.write_frames(&frame)?;
        self.highest = self.highest.max(number);
        match record {
            Record::Over => self.forget(number),
            Record::Accepted(_) | Record::AcceptedAt { .. } | Record::Carried(_) => {
                self.forget(number);
                self.add(number, place);
            }
            _ if self.live.contains_key(&number) => self.add(number, place),
            _ => {}
        }
        Ok(frame.len() as u64)
    }

    /// Sees to it that so many bytes fit: rotates, and removes from the front whatever it takes.
    fn make_room(&mut self, bytes: u64) -> io::Result<()> {
        let mut left = self.segments.len();
        while !self.pacing.may_append(bytes, self.length()) && left > 1 {
            // The steps between have not kept up: this record pays for a whole segment.
            left -= 1;
            if self.wants_sync() {
                self.sync()?;
            }
            let front = self.segments.front().map(|s| s.number);
            while self.segments.front().map(|s| s.number) == front {
                if self.pass_some()? == u64::MAX && self.wants_sync() {
                    self.sync()?;
                }
            }
        }
        if !self.pacing.may_append(bytes, self.length()) && self.length() + bytes + BLOCK > self.pacing.room {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the journal's room is used up"));
        }
        self.rotate()
    }

    /// Goes over to a new segment if the last one is full.
    fn rotate(&mut self) -> io::Result<()> {
        let full = self.segments.back().is_none_or(|s| s.length >= self.pacing.segment);
        if !full {
            return Ok(());
        }
        let sealed = self.segments.back().map(|s| (s.number, s.length));
        match self.begin_segment() {
            Ok(()) => {
                // Gives back what was set aside for it and not used. If that fails it is given back with the segment.
                let _ = sealed.map(|(number, length)| self.disk.truncate(number, length));
                if matches!(self.health, Health::Full(_)) {
                    self.health = Health::Sound;
                }
                Ok(())
            }
            // The room set aside for the last one reaches beyond its usual end.
            Err(error)
                if self.segments.back().is_some_and(|s| s.length < self.pacing.segment + LONGEST_MESSAGE) =>
            {
                self.health = Health::Full(error.to_string());
                Ok(())
            }
            Err(error) => {
                self.health = Health::Full(error.to_string());
                Err(error)
            }
        }
    }

    fn waiting_bytes(&self) -> u64 {
        (self.waiting.len() * OVER_BYTES) as u64
    }

    /// Appends what waits and a frame to the last segment; gives where the frame stands.
    fn write_frames(&mut self, frame: &[u8]) -> io::Result<Place> {
        if self.waiting.is_empty() {
            self.write_bytes(frame)?;
        } else {
            // Encoded here: the seed is that of the segment in which they will stand.
            let mut bytes = Vec::with_capacity(self.waiting.len() * OVER_BYTES + frame.len());
            for number in &self.waiting {
                bytes.extend(frame::encode_with(self.tail_seed(), &(number, &Record::Over))?);
            }
            bytes.extend_from_slice(frame);
            self.write_bytes(&bytes)?;
            self.waiting.clear();
        }
        let Some(tail) = self.segments.back() else { return Err(io::Error::other("no segment")) };
        let length = frame.len() as u32;
        Ok(Place { segment: tail.number, at: tail.length - u64::from(length), length })
    }

    /// Appends bytes wholly, or leaves the segment as it was.
    fn write_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        if let Health::Failed(problem) = &self.health {
            return Err(io::Error::other(problem.clone()));
        }
        let Some(tail) = self.segments.back_mut() else { return Err(io::Error::other("no segment")) };
        if tail.file > tail.length {
            // Something unfinished stands there still.
            self.disk.truncate(tail.number, tail.length)?;
            tail.file = tail.length;
        }
        let mut done = 0;
        while done < bytes.len() {
            let problem = match self.disk.append(tail.number, &bytes[done..]) {
                Ok(0) => io::Error::new(io::ErrorKind::WriteZero, "nothing was written"),
                Ok(count) => {
                    done += count;
                    continue;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => e,
            };
            // A part of it may stand there; nothing is appended behind it before it has been cut off.
            tail.file = tail.length + bytes.len() as u64;
            if self.disk.truncate(tail.number, tail.length).is_ok() {
                tail.file = tail.length;
            }
            self.health = Health::Full(problem.to_string());
            self.retry_from = Some(Instant::now() + RETRY);
            return Err(problem);
        }
        tail.length += done as u64;
        tail.file = tail.length;
        self.dirty.insert(tail.number);
        self.position += done as u64;
        Ok(())
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

    /// Carries one message out of the oldest segment, or removes the segment if there is none; gives the bytes that
    /// have been passed over.
    fn pass_some(&mut self) -> io::Result<u64> {
        if self.segments.len() < 2 {
            return Ok(u64::MAX);
        }
        if self.segments.front().is_some_and(|s| s.live == 0) {
            let bytes = self.segments.front().map_or(0, Segment::blocks);
            let gone = self.drop_front()?;
            return Ok(if gone { bytes } else { u64::MAX });
        }
        let Some(front) = self.segments.front_mut() else { return Ok(u64::MAX) };
        let (segment, next) = (front.number, front.messages.pop());
        let Some(number) = next else {
            return Err(io::Error::other(format!("segment {segment} has live bytes and no message")));
        };
        let here = |places: &Vec<Place>| places.iter().any(|p| p.segment == segment);
        if !self.live.get(&number).is_some_and(here) {
            return Ok(0);
        }
        let carried = self.carry(number);
        if carried.is_err() {
            if let Some(front) = self.segments.front_mut() {
                front.messages.push(number);
            }
        }
        carried
    }

    /// Writes all that is known of a message at the end, in the place of its records before.
    fn carry(&mut self, number: u64) -> io::Result<u64> {
        let places = self.live.get(&number).cloned().unwrap_or_default();
        let mut restored: Option<Restored> = None;
        let mut passed = 0;
        for place in places {
            let mut bytes = vec![0; place.length as usize];
            let read = self.disk.read(place.segment, place.at, &mut bytes);
            self.unreadable += 1;
            if read.is_err() && self.unreadable < READ_TRIES {
                read?;
            }
            passed += u64::from(place.length);
            let read = frame::decode_with::<(u64, Record)>(seed(self.identity, place.segment), &bytes);
            let Some((_, (_, record))) = read.filter(|(_, (n, _))| *n == number) else {
                // The bytes have changed under us. The owner has the message in memory: it is lost only if the process
                // ends before the message does. Keeping the segment for it would block the room for all others.
                let (at, name) = (place.at, Folder::file_name(place.segment));
                eprintln!("journal/{name}: a record at {at} can't be read back: message {number} is in memory alone");
                self.forget(number);
                return Ok(passed);
            };
            self.unreadable = 0;
            match &mut restored {
                Some(restored) => restored.follow(record),
                None => restored = Restored::begin(record),
            }
        }
        if let Some(restored) = restored {
            self.rotate()?;
            let record = Record::Carried(Box::new(restored));
            let frame = frame::encode_with(self.tail_seed(), &(number, &record))?;
            let place = self.write_frames(&frame)?;
            let left: Vec<u64> = self.live.get(&number).into_iter().flatten().map(|p| p.segment).collect();
            self.forget(number);
            self.add(number, place);
            let position = self.position;
            for segment in left {
                if let Some(segment) = self.segment(segment) {
                    segment.carried_at = position;
                }
            }
            self.carried += u64::from(place.length);
        }
        Ok(passed)
    }

    /// Removes the oldest segment if nothing in it is live.
    fn drop_front(&mut self) -> io::Result<bool> {
        let Some(front) = self.segments.front().filter(|s| s.live == 0 && self.may_go(s)) else {
            return Ok(false);
        };
        if self.segments.len() < 2 {
            return Ok(false);
        }
        // Records that wait may say that messages of this segment are over: it must not matter any more that they
        // are only in memory. It does not: with the segment their beginnings go, and nothing follows from the rest.
        self.disk.remove(front.number)?;
        self.removals += 1;
        self.entries_changed = true;
        self.sealed -= self.segments.pop_front().map_or(0, |s| s.blocks());
        Ok(true)
    }
}

/// Bytes that the frame of a record has at most, near enough to make room by.
fn bound(record: &Record) -> u64 {
    let of = |a: &crate::format::Accepted| {
        let names = a.id.len() + a.class.len() + a.key.len() + a.retry.as_ref().map_or(0, String::len);
        (128 + a.body.len() + names + a.idempotency_key.as_ref().map_or(0, String::len)) as u64
    };
    match record {
        Record::Accepted(accepted) | Record::AcceptedAt { accepted, .. } => of(accepted),
        Record::Carried(restored) => of(&restored.accepted) + 160 * (restored.attempts.len() as u64 + 1),
        Record::Try { endpoint, .. } | Record::BegunAt { endpoint, .. } => 64 + endpoint.len() as u64,
        _ => 64,
    }
}

#[cfg(test)]
#[path = "journal_tests.rs"]
mod tests;
