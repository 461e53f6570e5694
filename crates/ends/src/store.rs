//! Append-only storage of message outcomes in the segment files of a folder.

use crate::end::{MessageOutcome, MessageOutcomeRef};
use crate::retention::{Retention, RetentionLimits, Segment};
use foldtrack_journal::open_files::{OpenFiles, MAX_RECENT_FILES};
use foldtrack_journal::path_error::with_path;
use foldtrack_journal::{frame, Budget};
use serde::{Deserialize, Serialize};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::fs::{self, File, OpenOptions};
use std::hash::BuildHasher;
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Version of the format. A segment of a later version is an error and is not modified.
const FORMAT: u32 = 1;
/// A fetch stops after the record that takes it beyond this many bytes.
const MAX_FETCH_BYTES: u64 = 128 << 10;
/// Number of sealed segments whose files stay open until they are synced.
const MAX_PINNED_SEGMENTS: usize = 2;
/// Maximum number of descriptors that the store holds at once: the files opened to be read, those that wait for a
/// sync, those that the running sync job holds, the last segment, and the folder or the next segment.
pub const MAX_DESCRIPTORS: usize = MAX_RECENT_FILES + 2 * MAX_PINNED_SEGMENTS + 2;
/// File name extension of a segment.
const SUFFIX: &str = "ends";

/// A record of a segment, as it is read.
#[derive(Debug, Deserialize)]
enum Record {
    /// The first record of each segment.
    Head {
        format: u32,
        first: u64,
        acknowledged: u64,
        highest_number: u64,
    },
    End(MessageOutcome),
    /// All outcomes up to this sequence number have been acknowledged.
    Acknowledged(u64),
}

/// Borrowed form of [`Record`], which avoids a copy when writing. Both serialize to the same bytes.
#[derive(Serialize)]
enum RecordRef<'a> {
    Head { format: u32, first: u64, acknowledged: u64, highest_number: u64 },
    End(MessageOutcomeRef<'a>),
    Acknowledged(u64),
}

/// Location of an outcome record, and what the index needs of it.
#[derive(Clone, Copy, Debug)]
struct Location {
    segment: u64,
    offset: u64,
    length: u32,
    id_hash: u64,
    /// Number of the message in the journal.
    message_number: u64,
}

/// Outcomes returned by a fetch.
#[derive(Debug, PartialEq, Eq)]
pub struct Fetched {
    /// Outcomes with consecutive sequence numbers.
    pub ends: Vec<(u64, MessageOutcome)>,
    /// Where the next fetch continues; passing it on acknowledges all outcomes up to it.
    pub cursor: u64,
}

/// The outcomes of a state folder.
#[derive(Debug)]
pub struct OutcomeStore {
    folder: PathBuf,
    retention: Retention,
    /// The open files, by the first sequence numbers of their segments.
    files: OpenFiles,
    /// Location of each outcome, oldest first.
    locations: VecDeque<Location>,
    /// Sequence number of the latest outcome of each message id, by the hash of the id.
    by_id: HashMap<u64, u64>,
    hasher: RandomState,
    highest_number: u64,
    /// Length of the complete records in the open segment. A partial write that could not be truncated may
    /// follow; it is truncated before the next write.
    valid_length: u64,
    /// Encoded records that the next [`OutcomeStore::commit`] appends.
    staged: Vec<u8>,
    /// Sequence number of the next outcome as of the last commit. Outcomes from it on are only in memory.
    committed: u64,
    /// Outcomes before this sequence number are visible to clients: those of the last commit, or of the last
    /// sync.
    published: u64,
    /// First sequence numbers of the segments with data that no sync has confirmed.
    unsynced: BTreeSet<u64>,
    /// The segments of the last sync job.
    syncing: BTreeSet<u64>,
    /// A failed write may have left bytes behind `valid_length`.
    needs_truncation: bool,
    /// Simulated limit of the disk space, for tests and drills.
    budget: Option<Budget>,
}

/// Opens an existing segment.
fn open_segment(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).append(true).open(path).map_err(|e| with_path(path, e))
}

impl OutcomeStore {
    /// Opens the store in a folder, or creates it. An incomplete record at the end of the last segment is
    /// truncated.
    ///
    /// # Errors
    /// A file can't be read or written, was written by a later version, or is damaged before its last record.
    pub fn open(folder: &Path, limits: RetentionLimits) -> io::Result<OutcomeStore> {
        fs::create_dir_all(folder).map_err(|e| with_path(folder, e))?;
        let mut paths = Vec::new();
        for entry in fs::read_dir(folder).map_err(|e| with_path(folder, e))? {
            let path = entry.map_err(|e| with_path(folder, e))?.path();
            let first = path.file_stem().and_then(|s| s.to_str()).and_then(|s| s.parse::<u64>().ok());
            if let Some(first) = first.filter(|_| path.extension().is_some_and(|e| e == SUFFIX)) {
                paths.push((first, path));
            }
        }
        paths.sort();
        let mut store = OutcomeStore {
            folder: folder.to_path_buf(),
            retention: Retention { limits, segments: VecDeque::new(), acknowledged: 0 },
            files: OpenFiles::default(),
            locations: VecDeque::new(),
            by_id: HashMap::new(),
            hasher: RandomState::new(),
            highest_number: 0,
            valid_length: 0,
            staged: Vec::new(),
            committed: 0,
            published: 0,
            unsynced: BTreeSet::new(),
            syncing: BTreeSet::new(),
            needs_truncation: false,
            budget: None,
        };
        let last = paths.len().saturating_sub(1);
        for (n, (first, path)) in paths.into_iter().enumerate() {
            store.read_segment(first, &path, n == last).map_err(|e| with_path(&path, e))?;
        }
        if store.retention.segments.is_empty() {
            let (first, acknowledged, number) =
                (store.retention.next_sequence(), store.retention.acknowledged, store.highest_number);
            store.begin_segment(first, acknowledged, number)?;
        }
        // Deleted segments were acknowledged, even if the record of the acknowledgement was lost with the
        // process.
        store.retention.acknowledged = store.retention.acknowledged.max(store.first_stored() - 1);
        store.committed = store.retention.next_sequence();
        store.published = store.committed;
        Ok(store)
    }

    fn segment_path(&self, first: u64) -> PathBuf {
        self.folder.join(format!("{first:020}.{SUFFIX}"))
    }

    /// Limits the disk space to a simulated budget.
    pub fn with_budget(mut self, budget: Option<Budget>) -> OutcomeStore {
        self.budget = budget;
        self
    }

    /// Writes as to a full disk where there is a budget: the bytes that fit, and then an error.
    fn write_with_budget(
        budget: Option<&Budget>, mut file: &File, offset: u64, bytes: &[u8],
    ) -> io::Result<()> {
        let admitted = budget.map_or(Ok(bytes.len()), |budget| budget.admit(file, offset, bytes.len()))?;
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
        let error = |problem: String| Err(io::Error::other(problem));
        while let Some((frame, record)) = frame::decode::<Record>(&bytes[at..]) {
            match record {
                Record::Head { format, .. } if format != FORMAT => {
                    return error(format!("format {format}; this version reads {FORMAT}"));
                }
                Record::Head { first: first_in_header, acknowledged, highest_number, .. }
                    if at == 0 && first_in_header == first =>
                {
                    self.retention.acknowledged = self.retention.acknowledged.max(acknowledged);
                    self.highest_number = self.highest_number.max(highest_number);
                }
                Record::End(end) if at > 0 => {
                    self.index(end.by_ref(), segment.next, first, at as u64, frame.len());
                    segment.next += 1;
                    segment.newest = end.ended;
                }
                Record::Acknowledged(up_to) if at > 0 => {
                    self.retention.acknowledged = self.retention.acknowledged.max(up_to);
                }
                _ => return error(format!("unexpected record type at byte {at}")),
            }
            at += frame.len();
        }
        if at < bytes.len() {
            let complete_record_follows =
                (at + 1..bytes.len()).any(|next| frame::decode::<Record>(&bytes[next..]).is_some());
            if complete_record_follows || !last {
                return error(format!(
                    "damaged at byte {at}: move the file away to start without its contents"
                ));
            }
            eprintln!(
                "{}: truncated at byte {at}, removing an incomplete record of {} bytes",
                path.display(),
                bytes.len() - at
            );
        }
        if at == 0 {
            // The process ended while it created the segment: it held no outcomes.
            return fs::remove_file(path);
        }
        if at < bytes.len() {
            OpenOptions::new().append(true).open(path)?.set_len(at as u64)?;
        }
        (segment.bytes, self.valid_length) = (at as u64, at as u64);
        self.retention.segments.push_back(segment);
        Ok(())
    }

    fn index(&mut self, end: MessageOutcomeRef<'_>, sequence: u64, segment: u64, offset: u64, length: usize) {
        let id_hash = self.hasher.hash_one(end.id);
        self.by_id.insert(id_hash, sequence);
        self.highest_number = self.highest_number.max(end.number);
        self.locations.push_back(Location {
            segment,
            offset,
            length: length as u32,
            id_hash,
            message_number: end.number,
        });
    }

    fn begin_segment(&mut self, first: u64, acknowledged: u64, highest_number: u64) -> io::Result<()> {
        let path = self.segment_path(first);
        let head = frame::encode(&RecordRef::Head { format: FORMAT, first, acknowledged, highest_number })?;
        let create = || OpenOptions::new().read(true).append(true).create_new(true).open(&path);
        let created = self.files.open(create).and_then(|created| {
            let file = self.files.insert_pinned(first, created);
            OutcomeStore::write_with_budget(self.budget.as_ref(), &file, 0, &head)
        });
        created.map_err(|e| {
            self.files.remove(first);
            let _ = fs::remove_file(&path);
            with_path(&path, e)
        })?;
        let bytes = head.len() as u64;
        self.retention.segments.push_back(Segment { first, next: first, bytes, newest: 0 });
        self.release_synced();
        self.valid_length = bytes;
        Ok(())
    }

    /// Whether one more message can be accepted; see [`Retention::has_capacity`].
    pub fn has_capacity(&self, held: u64, reserved: u64) -> bool {
        self.retention.has_capacity(held, reserved)
    }

    /// Whether storing an outcome now may delete a segment.
    pub fn drops(&self, now: u64) -> bool {
        self.retention.must_delete_oldest(now, self.retention.limits.segment())
    }

    /// Stages an outcome and returns its sequence number. The next [`OutcomeStore::commit`] writes it, and
    /// fetches return it after [`OutcomeStore::publish`].
    ///
    /// # Errors
    /// The record exceeds the maximum length of a record.
    pub fn append(&mut self, end: MessageOutcomeRef<'_>) -> io::Result<u64> {
        let frame = frame::encode(&RecordRef::End(end))?;
        self.drop_expired(end.ended, frame.len() as u64);
        let open = self.retention.segments.back().copied().unwrap_or_default();
        if open.next > open.first && open.bytes + frame.len() as u64 > self.retention.limits.segment() {
            // If this fails, the current segment grows beyond its size and the next outcome tries again.
            let begun = self.commit().and_then(|()| {
                self.begin_segment(open.next, self.retention.acknowledged, self.highest_number)
            });
            if let Err(error) = begun {
                eprintln!("ends: cannot begin a new segment: {error}");
            }
        }
        let offset = self.stage(&frame);
        let Some(open) = self.retention.segments.back_mut() else {
            return Err(io::Error::other("no open segment"));
        };
        let (sequence, segment) = (open.next, open.first);
        open.next += 1;
        open.newest = end.ended;
        self.index(end, sequence, segment, offset, frame.len());
        Ok(sequence)
    }

    /// Stages a frame and returns its offset in the open segment.
    fn stage(&mut self, frame: &[u8]) -> u64 {
        let offset = self.valid_length + self.staged.len() as u64;
        self.staged.extend_from_slice(frame);
        if let Some(open) = self.retention.segments.back_mut() {
            open.bytes = self.valid_length + self.staged.len() as u64;
        }
        offset
    }

    /// Writes all staged records with one `write`. Once it returns, they survive a crash of the process.
    ///
    /// # Errors
    /// The records are not in the file and stay staged: the next commit tries again.
    pub fn commit(&mut self) -> io::Result<()> {
        if self.staged.is_empty() {
            return Ok(());
        }
        let Some(open) = self.retention.segments.back() else {
            return Err(io::Error::other("no open segment"));
        };
        let path = self.segment_path(open.first);
        let file = self.files.get_pinned(open.first, || open_segment(&path))?;
        if self.needs_truncation {
            file.set_len(self.valid_length)?;
            self.needs_truncation = false;
        }
        if let Err(error) =
            OutcomeStore::write_with_budget(self.budget.as_ref(), &file, self.valid_length, &self.staged)
        {
            // A partial record would hide the records behind it from a restart.
            self.needs_truncation = file.set_len(self.valid_length).is_err();
            return Err(error);
        }
        self.valid_length += self.staged.len() as u64;
        self.staged.clear();
        self.committed = self.retention.next_sequence();
        self.unsynced.extend(self.retention.segments.back().map(|s| s.first));
        Ok(())
    }

    /// Marks the segments of the last sync job as unsynced: it was not run.
    pub fn mark_unsynced(&mut self) {
        self.unsynced.append(&mut self.syncing);
    }

    /// Sequence number of the last outcome that is in a file.
    pub fn last_committed(&self) -> u64 {
        self.committed - 1
    }

    /// Makes the committed outcomes up to this sequence number visible to clients.
    pub fn publish(&mut self, up_to: u64) {
        self.published = self.published.max(up_to + 1).min(self.committed);
    }

    /// The files to sync so that everything committed so far is on stable storage. The previous job has ended.
    ///
    /// # Errors
    /// No file descriptor is available. Nothing has changed.
    pub fn sync_job(&mut self) -> io::Result<Vec<Arc<File>>> {
        let mut files = Vec::new();
        for first in &self.unsynced {
            let path = self.segment_path(*first);
            files.push(self.files.get(*first, || open_segment(&path))?);
        }
        if !files.is_empty() {
            files.push(Arc::new(self.files.open(|| File::open(&self.folder))?));
        }
        self.syncing = std::mem::take(&mut self.unsynced);
        self.release_synced();
        Ok(files)
    }

    /// Lets the files of sealed segments be closed, except those that were written last and wait for a sync.
    fn release_synced(&mut self) {
        let last = self.retention.segments.back().map(|s| s.first);
        let unsynced = self.unsynced.iter().rev().filter(|first| Some(**first) != last);
        let pinned: BTreeSet<u64> = unsynced.take(MAX_PINNED_SEGMENTS).copied().chain(last).collect();
        for segment in &self.retention.segments {
            if !pinned.contains(&segment.first) {
                self.files.release(segment.first);
            }
        }
    }

    /// Whether records are staged that have not been committed.
    pub fn has_uncommitted(&self) -> bool {
        !self.staged.is_empty()
    }

    /// Acknowledges all outcomes up to `cursor`, written with the next [`OutcomeStore::commit`]. A crash may
    /// lose the latest acknowledgement; the client then fetches those outcomes again.
    ///
    /// # Errors
    /// `cursor` is beyond the last outcome that a client can have fetched.
    pub fn acknowledge(&mut self, cursor: u64, now: u64) -> io::Result<()> {
        if cursor >= self.published {
            let last = self.last_published();
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                format!("cursor {cursor} is beyond the last outcome, {last}"),
            ));
        }
        if cursor <= self.retention.acknowledged {
            return Ok(());
        }
        let frame = frame::encode(&RecordRef::Acknowledged(cursor))?;
        self.stage(&frame);
        self.retention.acknowledged = cursor;
        self.drop_expired(now, 0);
        Ok(())
    }

    /// Deletes acknowledged segments that exceed the limits, before `coming` more bytes are written.
    pub fn drop_expired(&mut self, now: u64, coming: u64) {
        while self.retention.must_delete_oldest(now, coming) {
            let Some(segment) = self.retention.segments.pop_front() else { return };
            self.files.remove(segment.first);
            self.unsynced.remove(&segment.first);
            for sequence in segment.first..segment.next {
                let Some(location) = self.locations.pop_front() else { break };
                if self.by_id.get(&location.id_hash) == Some(&sequence) {
                    self.by_id.remove(&location.id_hash);
                }
            }
            let path = self.segment_path(segment.first);
            if let Err(error) = fs::remove_file(&path) {
                eprintln!("{}: {error}", path.display());
            }
        }
    }

    /// The outcomes after `cursor`, `most` at most; empty if there are none. Outcomes before the oldest one
    /// kept are skipped, as they were acknowledged.
    ///
    /// # Errors
    /// A file can't be read.
    pub fn fetch(&mut self, cursor: u64, most: usize) -> io::Result<Fetched> {
        let first_stored = self.first_stored();
        let from = (cursor + 1).max(first_stored);
        let mut fetched = Fetched { ends: Vec::new(), cursor: cursor.min(self.last_published()) };
        let mut bytes = 0;
        for sequence in (from..self.published).take(most) {
            let Some(end) = self.read_outcome(sequence)? else { break };
            bytes += u64::from(self.locations[(sequence - first_stored) as usize].length);
            fetched.ends.push((sequence, end));
            fetched.cursor = sequence;
            if bytes > MAX_FETCH_BYTES {
                break;
            }
        }
        Ok(fetched)
    }

    fn first_stored(&self) -> u64 {
        self.retention.segments.front().map_or(1, |s| s.first)
    }

    fn read_outcome(&mut self, sequence: u64) -> io::Result<Option<MessageOutcome>> {
        let index = sequence.checked_sub(self.first_stored());
        let Some(location) = index.and_then(|n| self.locations.get(n as usize)).copied() else {
            return Ok(None);
        };
        let mut bytes = vec![0; location.length as usize];
        let open = self.retention.segments.back().is_some_and(|s| s.first == location.segment);
        match location.offset.checked_sub(self.valid_length).filter(|_| open) {
            Some(offset) => {
                bytes.copy_from_slice(&self.staged[offset as usize..][..location.length as usize])
            }
            None => {
                let path = self.segment_path(location.segment);
                let file = self.files.get(location.segment, || open_segment(&path))?;
                file.read_exact_at(&mut bytes, location.offset)?;
            }
        }
        match frame::decode::<Record>(&bytes) {
            Some((_, Record::End(end))) => Ok(Some(end)),
            _ => Err(io::Error::other(format!("outcome {sequence} can no longer be read"))),
        }
    }

    /// The latest outcome of a message with its sequence number, if it is still stored.
    ///
    /// # Errors
    /// A file can't be read.
    pub fn find(&mut self, id: &str) -> io::Result<Option<(u64, MessageOutcome)>> {
        let Some(sequence) = self.by_id.get(&self.hasher.hash_one(id)).copied() else { return Ok(None) };
        // Different ids may have the same hash.
        Ok(self.read_outcome(sequence)?.filter(|end| end.id == id).map(|end| (sequence, end)))
    }

    /// Sequence number of the last outcome visible to clients, 0 if there is none.
    pub fn last_published(&self) -> u64 {
        self.published - 1
    }

    /// All outcomes up to this sequence number have been acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.retention.acknowledged
    }

    /// The highest message number for which this store has ever had an outcome.
    pub fn highest_number(&self) -> u64 {
        self.highest_number
    }

    /// The message numbers of all stored outcomes.
    pub fn message_numbers(&self) -> impl Iterator<Item = u64> + '_ {
        self.locations.iter().map(|location| location.message_number)
    }

    /// Number of stored outcomes, number of those not acknowledged, and bytes of the files.
    pub fn usage(&self) -> (u64, u64, u64) {
        (self.locations.len() as u64, self.retention.unacknowledged(), self.retention.bytes())
    }

    /// The limits of the store.
    pub fn limits(&self) -> RetentionLimits {
        self.retention.limits
    }
}

#[cfg(test)]
#[path = "store_tests.rs"]
mod tests;
