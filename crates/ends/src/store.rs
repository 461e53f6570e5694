//! The ends in the files of a folder.

use crate::end::{MessageOutcome, MessageOutcomeRef};
use crate::retention::{RetentionLimits, Segment, Shelf};
use foldtrack_journal::{frame, Budget};
use serde::{Deserialize, Serialize};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::fs::{self, File, OpenOptions};
use std::hash::BuildHasher;
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Version of the format. A segment of a later one is left alone.
const FORMAT: u32 = 1;
/// Bytes that one fetch reads at most, and so answers, about.
const FETCH: u64 = 128 << 10;
const SUFFIX: &str = "ends";

#[derive(Debug, Deserialize)]
enum Record {
    /// The first of a segment.
    Head {
        format: u32,
        first: u64,
        acknowledged: u64,
        highest_number: u64,
    },
    End(MessageOutcome),
    /// Every end up to this one has been acknowledged.
    Acknowledged(u64),
}

/// The same, by reference: what is written is not copied before.
#[derive(Serialize)]
enum Written<'a> {
    Head { format: u32, first: u64, acknowledged: u64, highest_number: u64 },
    End(MessageOutcomeRef<'a>),
    Acknowledged(u64),
}

/// Where an end stands.
#[derive(Clone, Copy, Debug)]
struct Place {
    segment: u64,
    at: u64,
    length: u32,
    name: u64,
    /// Of the message.
    number: u64,
}

/// What a fetch gives.
#[derive(Debug, PartialEq, Eq)]
pub struct Fetched {
    /// Ends with their sequence numbers, one after another.
    pub ends: Vec<(u64, MessageOutcome)>,
    /// Ask on after this one; asking acknowledges up to it.
    pub cursor: u64,
}

/// The ends of a state folder.
#[derive(Debug)]
pub struct OutcomeStore {
    folder: PathBuf,
    shelf: Shelf,
    /// The files of the shelf's segments.
    files: VecDeque<File>,
    /// Where each end stands, the oldest first.
    places: VecDeque<Place>,
    /// The last end of each id, by the id's hash.
    by_name: HashMap<u64, u64>,
    hasher: RandomState,
    highest_number: u64,
    /// Length of what is whole in the open segment. Behind it a part of a write may stand that could not be cut off;
    /// it is cut off before the next one.
    whole: u64,
    /// What follows it at the next [`OutcomeStore::commit`].
    staged: Vec<u8>,
    /// Sequence number of the next end when the last commit was done: those from it on are not told yet.
    committed: u64,
    /// Ends up to the one before this are told: those of the last commit, or of the last sync.
    released: u64,
    /// Segments that no sync has confirmed.
    dirty: BTreeSet<u64>,
    /// The last write may have left something behind `whole`.
    torn: bool,
    /// The disk counts as no larger.
    budget: Option<Budget>,
}

fn named(path: &Path, error: io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{}: {error}", path.display()))
}

impl OutcomeStore {
    /// Opens the store in a folder, or begins one. What a process left unfinished at the end of the last segment is
    /// cut off.
    ///
    /// # Errors
    /// A file can't be read or written, was written by a later version, or is damaged before its end.
    pub fn open(folder: &Path, limits: RetentionLimits) -> io::Result<OutcomeStore> {
        fs::create_dir_all(folder).map_err(|e| named(folder, e))?;
        let mut names = Vec::new();
        for entry in fs::read_dir(folder).map_err(|e| named(folder, e))? {
            let path = entry.map_err(|e| named(folder, e))?.path();
            let first = path.file_stem().and_then(|s| s.to_str()).and_then(|s| s.parse::<u64>().ok());
            if let Some(first) = first.filter(|_| path.extension().is_some_and(|e| e == SUFFIX)) {
                names.push((first, path));
            }
        }
        names.sort();
        let mut store = OutcomeStore {
            folder: folder.to_path_buf(),
            shelf: Shelf { limits, segments: VecDeque::new(), acknowledged: 0 },
            files: VecDeque::new(),
            places: VecDeque::new(),
            by_name: HashMap::new(),
            hasher: RandomState::new(),
            highest_number: 0,
            whole: 0,
            staged: Vec::new(),
            committed: 0,
            released: 0,
            dirty: BTreeSet::new(),
            torn: false,
            budget: None,
        };
        let last = names.len().saturating_sub(1);
        for (n, (first, path)) in names.into_iter().enumerate() {
            store.read_segment(first, &path, n == last).map_err(|e| named(&path, e))?;
        }
        if store.files.is_empty() {
            let (first, acknowledged, number) =
                (store.shelf.next(), store.shelf.acknowledged, store.highest_number);
            store.begin_segment(first, acknowledged, number)?;
        }
        // What has been dropped was acknowledged, though the record of that may have been lost with the process.
        store.shelf.acknowledged = store.shelf.acknowledged.max(store.oldest() - 1);
        store.committed = store.shelf.next();
        store.released = store.committed;
        Ok(store)
    }

    /// Keeps to a budget from now on, as if the disk were no larger.
    pub fn with_budget(mut self, budget: Option<Budget>) -> OutcomeStore {
        self.budget = budget;
        self
    }

    /// Writes as a full disk would, where there is a budget: what fits, and then an error.
    fn write_within(budget: Option<&Budget>, file: &mut File, at: u64, bytes: &[u8]) -> io::Result<()> {
        let admitted = budget.map_or(Ok(bytes.len()), |budget| budget.admit(file, at, bytes.len()))?;
        file.write_all(&bytes[..admitted])?;
        if admitted < bytes.len() {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the disk budget is used up"));
        }
        Ok(())
    }

    fn read_segment(&mut self, first: u64, path: &Path, last: bool) -> io::Result<()> {
        let bytes = fs::read(path)?;
        let mut segment = Segment { first, next: first, ..Segment::default() };
        let mut at = 0;
        let wrong = |problem: String| Err(io::Error::other(problem));
        while let Some((found, record)) = frame::decode::<Record>(&bytes[at..]) {
            match record {
                Record::Head { format, .. } if format != FORMAT => {
                    return wrong(format!("format {format}; this version reads {FORMAT}"));
                }
                Record::Head { first: named, acknowledged, highest_number, .. }
                    if at == 0 && named == first =>
                {
                    self.shelf.acknowledged = self.shelf.acknowledged.max(acknowledged);
                    self.highest_number = self.highest_number.max(highest_number);
                }
                Record::End(end) if at > 0 => {
                    self.index(end.by_ref(), segment.next, first, at as u64, found.len());
                    segment.next += 1;
                    segment.newest = end.ended;
                }
                Record::Acknowledged(up_to) if at > 0 => {
                    self.shelf.acknowledged = self.shelf.acknowledged.max(up_to);
                }
                _ => return wrong(format!("a record out of place at byte {at}")),
            }
            at += found.len();
        }
        if at < bytes.len() {
            let behind = (at + 1..bytes.len()).any(|next| frame::decode::<Record>(&bytes[next..]).is_some());
            if behind || !last {
                return wrong(format!("damaged at byte {at}: move it away to go on without what it holds"));
            }
            eprintln!(
                "{}: cut at {at}, {} bytes of an end that was not finished",
                path.display(),
                bytes.len() - at
            );
        }
        if at == 0 {
            // A process ended while it began the segment: nothing was in it.
            return fs::remove_file(path);
        }
        let file = OpenOptions::new().read(true).append(true).open(path)?;
        if at < bytes.len() {
            file.set_len(at as u64)?;
        }
        (segment.bytes, self.whole) = (at as u64, at as u64);
        self.shelf.segments.push_back(segment);
        self.files.push_back(file);
        Ok(())
    }

    fn index(&mut self, end: MessageOutcomeRef<'_>, sequence: u64, segment: u64, at: u64, length: usize) {
        let name = self.hasher.hash_one(end.id);
        self.by_name.insert(name, sequence);
        self.highest_number = self.highest_number.max(end.number);
        self.places.push_back(Place { segment, at, length: length as u32, name, number: end.number });
    }

    fn begin_segment(&mut self, first: u64, acknowledged: u64, highest_number: u64) -> io::Result<()> {
        let path = self.folder.join(format!("{first:020}.{SUFFIX}"));
        let head = frame::encode(&Written::Head { format: FORMAT, first, acknowledged, highest_number })?;
        let written = || {
            let mut file = OpenOptions::new().read(true).append(true).create_new(true).open(&path)?;
            OutcomeStore::write_within(self.budget.as_ref(), &mut file, 0, &head).map(|()| file)
        };
        let file = written().map_err(|e| {
            let _ = fs::remove_file(&path);
            named(&path, e)
        })?;
        let bytes = head.len() as u64;
        self.shelf.segments.push_back(Segment { first, next: first, bytes, newest: 0 });
        self.files.push_back(file);
        self.whole = bytes;
        Ok(())
    }

    /// Whether one more message can be taken on; see [`Shelf::has_capacity`].
    pub fn has_capacity(&self, held: u64, reserved: u64) -> bool {
        self.shelf.has_capacity(held, reserved)
    }

    /// Whether keeping an end now may drop older ones.
    pub fn drops(&self, now: u64) -> bool {
        self.shelf.oldest_goes(now, self.shelf.limits.segment())
    }

    /// Stages an end; gives its sequence number. It is kept from the next [`OutcomeStore::commit`] on, and told from then on.
    ///
    /// # Errors
    /// It is longer than a record can be.
    pub fn append(&mut self, end: MessageOutcomeRef<'_>) -> io::Result<u64> {
        let frame = frame::encode(&Written::End(end))?;
        self.drop_expired(end.ended, frame.len() as u64);
        let open = self.shelf.segments.back().copied().unwrap_or_default();
        if open.next > open.first && open.bytes + frame.len() as u64 > self.shelf.limits.segment() {
            // Where that fails the segment grows, and the next end tries again.
            let begun = self
                .commit()
                .and_then(|()| self.begin_segment(open.next, self.shelf.acknowledged, self.highest_number));
            if let Err(error) = begun {
                eprintln!("ends: {error}");
            }
        }
        let at = self.stage(&frame);
        let Some(open) = self.shelf.segments.back_mut() else { return Err(io::Error::other("no segment")) };
        let (sequence, segment) = (open.next, open.first);
        open.next += 1;
        open.newest = end.ended;
        self.index(end, sequence, segment, at, frame.len());
        Ok(sequence)
    }

    /// Gives where the frame will stand in the open segment.
    fn stage(&mut self, frame: &[u8]) -> u64 {
        let at = self.whole + self.staged.len() as u64;
        self.staged.extend_from_slice(frame);
        if let Some(open) = self.shelf.segments.back_mut() {
            open.bytes = self.whole + self.staged.len() as u64;
        }
        at
    }

    /// Writes what is staged, in one stroke. It outlives the process from the return on.
    ///
    /// # Errors
    /// It is not in the file, and stays staged: the next commit tries again.
    pub fn commit(&mut self) -> io::Result<()> {
        if self.staged.is_empty() {
            return Ok(());
        }
        let Some(file) = self.files.back_mut() else { return Err(io::Error::other("no segment")) };
        if self.torn {
            file.set_len(self.whole)?;
            self.torn = false;
        }
        if let Err(error) = OutcomeStore::write_within(self.budget.as_ref(), file, self.whole, &self.staged) {
            // What was written of it would hide what follows from a restart.
            self.torn = file.set_len(self.whole).is_err();
            return Err(error);
        }
        self.whole += self.staged.len() as u64;
        self.staged.clear();
        self.committed = self.shelf.next();
        self.dirty.extend(self.shelf.segments.back().map(|s| s.first));
        Ok(())
    }

    /// What a job was taken for has not been synced: all counts as not synced again.
    pub fn mark_unsynced(&mut self) {
        self.dirty.extend(self.shelf.segments.iter().map(|s| s.first));
    }

    /// Sequence number of the last end that is in a file.
    pub fn last_committed(&self) -> u64 {
        self.committed - 1
    }

    /// Ends up to this one may be told.
    pub fn publish(&mut self, up_to: u64) {
        self.released = self.released.max(up_to + 1).min(self.committed);
    }

    /// What has to be synced for all that has been committed to be on stable storage.
    ///
    /// # Errors
    /// There is no descriptor left. Nothing has changed.
    pub fn sync_job(&mut self) -> io::Result<Vec<File>> {
        let mut files = Vec::new();
        for (segment, file) in self.shelf.segments.iter().zip(&self.files) {
            if self.dirty.contains(&segment.first) {
                files.push(file.try_clone()?);
            }
        }
        if !files.is_empty() {
            files.push(File::open(&self.folder)?);
        }
        self.dirty.clear();
        Ok(files)
    }

    /// Whether something is staged that a commit did not write.
    pub fn has_uncommitted(&self) -> bool {
        !self.staged.is_empty()
    }

    /// Acknowledges every end up to `cursor`; it is written with the next [`OutcomeStore::commit`]. A kill may undo the
    /// latest: what it acknowledged is fetched once more.
    ///
    /// # Errors
    /// It lies beyond the last end, which nobody can have fetched.
    pub fn acknowledge(&mut self, cursor: u64, now: u64) -> io::Result<()> {
        if cursor >= self.released {
            let last = self.last_published();
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                format!("the last end is {last}, not {cursor}"),
            ));
        }
        if cursor <= self.shelf.acknowledged {
            return Ok(());
        }
        let frame = frame::encode(&Written::Acknowledged(cursor))?;
        self.stage(&frame);
        self.shelf.acknowledged = cursor;
        self.drop_expired(now, 0);
        Ok(())
    }

    /// Drops the segments that are out of limits, where nobody is owed anything in them.
    pub fn drop_expired(&mut self, now: u64, coming: u64) {
        while self.shelf.oldest_goes(now, coming) {
            let Some(segment) = self.shelf.segments.pop_front() else { return };
            self.files.pop_front();
            for sequence in segment.first..segment.next {
                let Some(place) = self.places.pop_front() else { break };
                if self.by_name.get(&place.name) == Some(&sequence) {
                    self.by_name.remove(&place.name);
                }
            }
            let path = self.folder.join(format!("{:020}.{SUFFIX}", segment.first));
            if let Err(error) = fs::remove_file(&path) {
                eprintln!("{}: {error}", path.display());
            }
        }
    }

    /// The ends after `cursor`, `most` at most; none if there is nothing new. What lies before the oldest that is
    /// kept is left out: it was acknowledged.
    ///
    /// # Errors
    /// A file can't be read.
    pub fn fetch(&self, cursor: u64, most: usize) -> io::Result<Fetched> {
        let oldest = self.oldest();
        let from = (cursor + 1).max(oldest);
        let mut fetched = Fetched { ends: Vec::new(), cursor: cursor.min(self.last_published()) };
        let mut bytes = 0;
        for sequence in (from..self.released).take(most) {
            let Some(end) = self.read(sequence)? else { break };
            bytes += u64::from(self.places[(sequence - oldest) as usize].length);
            fetched.ends.push((sequence, end));
            fetched.cursor = sequence;
            if bytes > FETCH {
                break;
            }
        }
        Ok(fetched)
    }

    fn oldest(&self) -> u64 {
        self.shelf.segments.front().map_or(1, |s| s.first)
    }

    fn read(&self, sequence: u64) -> io::Result<Option<MessageOutcome>> {
        let Some(place) = sequence.checked_sub(self.oldest()).and_then(|n| self.places.get(n as usize))
        else {
            return Ok(None);
        };
        let Some(n) = self.shelf.segments.iter().position(|s| s.first == place.segment) else {
            return Ok(None);
        };
        let mut bytes = vec![0; place.length as usize];
        let open = n + 1 == self.shelf.segments.len();
        match place.at.checked_sub(self.whole).filter(|_| open) {
            Some(at) => bytes.copy_from_slice(&self.staged[at as usize..][..place.length as usize]),
            None => self.files[n].read_exact_at(&mut bytes, place.at)?,
        }
        match frame::decode::<Record>(&bytes) {
            Some((_, Record::End(end))) => Ok(Some(end)),
            _ => Err(io::Error::other(format!("end {sequence} can't be read any more"))),
        }
    }

    /// How a message ended, if that is kept still.
    ///
    /// # Errors
    /// A file can't be read.
    pub fn find(&self, id: &str) -> io::Result<Option<(u64, MessageOutcome)>> {
        let Some(sequence) = self.by_name.get(&self.hasher.hash_one(id)) else { return Ok(None) };
        // Another id may have the same hash.
        Ok(self.read(*sequence)?.filter(|end| end.id == id).map(|end| (*sequence, end)))
    }

    /// Sequence number of the last end that is told, 0 for none.
    pub fn last_published(&self) -> u64 {
        self.released - 1
    }

    /// Every end up to this one has been acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.shelf.acknowledged
    }

    /// The highest message number that an end has ever had here.
    pub fn highest_number(&self) -> u64 {
        self.highest_number
    }

    /// The numbers of the messages whose ends are kept.
    pub fn message_numbers(&self) -> impl Iterator<Item = u64> + '_ {
        self.places.iter().map(|place| place.number)
    }

    /// Ends kept, those not acknowledged, and bytes in files.
    pub fn usage(&self) -> (u64, u64, u64) {
        (self.places.len() as u64, self.shelf.unfetched(), self.shelf.bytes())
    }

    /// The limits that it keeps.
    pub fn limits(&self) -> RetentionLimits {
        self.shelf.limits
    }
}

#[cfg(test)]
#[path = "store_tests.rs"]
mod tests;
