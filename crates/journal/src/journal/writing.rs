//! Appending records to the last segment. The records that the owner stages in one round are written with one
//! `write`. If that fails, each is written separately, so that it is known of every record whether it is in
//! the file.

use super::{Health, Journal, RETRY_DELAY};
use crate::compaction_policy::{BLOCK_BYTES, MAX_MESSAGE_FRAME_BYTES};
use crate::disk::Disk;
use crate::format::Record;
use crate::frame;
use crate::recovery::{checksum_seed, RecordLocation};
use std::io;
use std::ops::Range;
use std::time::Instant;

/// Maximum number of final records that wait for the next write.
const MAX_PENDING_FINISHED: usize = 128;
/// Upper bound of the size of a final record, in bytes.
const FINISHED_RECORD_BYTES: usize = 24;
/// Staged bytes at which they are written without waiting for a commit. Bounds the memory and the time of one
/// write.
const MAX_BATCH_BYTES: usize = 1 << 20;

/// Identifies a staged record until [`Journal::commit`] has reported whether it was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A staged record that could not be written.
#[derive(Debug)]
pub struct FailedWrite {
    /// The ticket returned by [`Journal::stage`].
    pub ticket: Ticket,
    /// Number of the message.
    pub number: u64,
    /// Why the record was not written.
    pub error: io::Error,
}

/// Effect of a record on the index once it is in the file.
#[derive(Clone, Copy, Debug)]
enum IndexUpdate {
    /// Replaces all earlier records of the message.
    Replace,
    Append,
    Remove,
}

#[derive(Debug)]
struct Staged {
    ticket: Ticket,
    number: u64,
    update: IndexUpdate,
    frame: Range<usize>,
}

/// Staged records, and the failures among those already written.
#[derive(Debug, Default)]
pub(super) struct Batch {
    bytes: Vec<u8>,
    staged: Vec<Staged>,
    unwritten: Vec<FailedWrite>,
    last_ticket: u64,
}

impl Batch {
    pub fn len(&self) -> u64 {
        self.bytes.len() as u64
    }
}

impl<D: Disk> Journal<D> {
    /// Appends a record, after all staged ones.
    ///
    /// # Errors
    /// The record is not in the file, for example because the disk is full. A later one may succeed.
    pub fn append(&mut self, number: u64, record: &Record) -> io::Result<()> {
        let ticket = self.stage(number, record)?;
        self.write_staged();
        match self.batch.unwritten.iter().position(|u| u.ticket == ticket) {
            Some(at) => Err(self.batch.unwritten.swap_remove(at).error),
            None => Ok(()),
        }
    }

    /// Stages a record, to be written by the next [`Journal::commit`]. Until then it does not survive a
    /// crash.
    ///
    /// # Errors
    /// The record is not staged: no space is left, or it exceeds the maximum length of a record.
    pub fn stage(&mut self, number: u64, record: &Record) -> io::Result<Ticket> {
        let bytes = max_frame_bytes(record);
        let total_bytes = self.pending_finished_bytes() + self.batch.len() + bytes;
        let is_full =
            self.segments.back().is_none_or(|s| s.length + self.batch.len() >= self.policy.segment_bytes);
        if is_full
            || self.batch.bytes.len() >= MAX_BATCH_BYTES
            || !self.policy.may_append(total_bytes, self.disk_bytes())
        {
            // Staged records were encoded with the seed of the current segment and must be written to it.
            self.write_staged();
            self.make_space(self.pending_finished_bytes() + bytes)?;
        }
        let seed = self.tail_seed();
        let frame = frame::encode_into(seed, &(number, record), &mut self.batch.bytes)?;
        let update = match record {
            Record::Finished => IndexUpdate::Remove,
            Record::Accepted(_) | Record::AcceptedAt { .. } | Record::Snapshot(_) => IndexUpdate::Replace,
            _ => IndexUpdate::Append,
        };
        self.batch.last_ticket += 1;
        let ticket = Ticket(self.batch.last_ticket);
        self.batch.staged.push(Staged { ticket, number, update, frame });
        Ok(ticket)
    }

    /// Writes the staged records. Returns those that failed since the last commit; empty if all were written.
    pub fn commit(&mut self) -> Vec<FailedWrite> {
        self.write_staged();
        std::mem::take(&mut self.batch.unwritten)
    }

    /// Writes all staged records with one `write`, or separately if that fails.
    pub(super) fn write_staged(&mut self) {
        if self.batch.staged.is_empty() {
            return;
        }
        let staged = std::mem::take(&mut self.batch.staged);
        let mut bytes = std::mem::take(&mut self.batch.bytes);
        let mut written = 0;
        match self.write_frames(&bytes) {
            Ok(batch) => {
                written = u64::from(batch.length);
                for staged_record in &staged {
                    let location = RecordLocation {
                        at: batch.at + staged_record.frame.start as u64,
                        length: staged_record.frame.len() as u32,
                        ..batch
                    };
                    self.apply(staged_record, location);
                }
            }
            Err(error) if staged.len() == 1 => {
                let Staged { ticket, number, .. } = staged[0];
                self.batch.unwritten.push(FailedWrite { ticket, number, error });
            }
            Err(_) => {
                // A nearly full disk still takes the short records: attempts and results of messages in
                // flight.
                for staged_record in &staged {
                    match self.write_frames(&bytes[staged_record.frame.clone()]) {
                        Ok(location) => {
                            written += u64::from(location.length);
                            self.apply(staged_record, location);
                        }
                        Err(error) => {
                            let (ticket, number) = (staged_record.ticket, staged_record.number);
                            self.batch.unwritten.push(FailedWrite { ticket, number, error });
                        }
                    }
                }
            }
        }
        self.appended_bytes += written;
        self.schedule_compaction(written);
        bytes.clear();
        self.batch.bytes = bytes;
    }

    /// Updates the index for a record that is in the file.
    fn apply(&mut self, staged_record: &Staged, location: RecordLocation) {
        let number = staged_record.number;
        self.highest_number = self.highest_number.max(number);
        match staged_record.update {
            IndexUpdate::Remove => self.remove_message(number),
            IndexUpdate::Replace => {
                self.remove_message(number);
                self.add_location(number, location);
            }
            IndexUpdate::Append if self.locations.contains_key(&number) => {
                self.add_location(number, location)
            }
            IndexUpdate::Append => {}
        }
    }

    /// Finishes a message without a write of its own: its final record is written with the next write, or by
    /// [`Journal::flush`]. For messages whose outcome is stored elsewhere, which tells a restart that they
    /// are finished.
    ///
    /// # Errors
    /// Same as [`Journal::flush`], if too many final records wait. The message is removed from the index in
    /// any case.
    pub fn finish_deferred(&mut self, number: u64) -> io::Result<()> {
        self.remove_message(number);
        self.pending_finished.push(number);
        if self.pending_finished.len() > MAX_PENDING_FINISHED {
            return self.flush();
        }
        Ok(())
    }

    /// Writes the staged records and the waiting final records.
    ///
    /// # Errors
    /// The final records could not be written, and still wait.
    pub fn flush(&mut self) -> io::Result<()> {
        self.write_staged();
        if self.pending_finished.is_empty() {
            return Ok(());
        }
        self.make_space(self.pending_finished_bytes())?;
        self.write_frames(&[]).map(drop)
    }

    /// Makes space for `bytes`: begins a new segment if needed, and removes as many of the oldest as it
    /// takes. Requires that nothing is staged.
    pub(super) fn make_space(&mut self, bytes: u64) -> io::Result<()> {
        let mut remaining = self.segments.len();
        while !self.policy.may_append(bytes, self.disk_bytes()) && remaining > 1 {
            // The incremental steps have not kept up, so this call compacts a whole segment.
            remaining -= 1;
            if self.awaits_sync() {
                self.sync()?;
            }
            let front = self.segments.front().map(|s| s.number);
            while self.segments.front().map(|s| s.number) == front {
                if self.compact_some()? == u64::MAX && self.awaits_sync() {
                    self.sync()?;
                }
            }
        }
        if !self.policy.may_append(bytes, self.disk_bytes())
            && self.disk_bytes() + bytes + BLOCK_BYTES > self.policy.capacity
        {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the journal has reached its capacity"));
        }
        self.rotate()
    }

    /// Begins a new segment if the last one is full.
    pub(super) fn rotate(&mut self) -> io::Result<()> {
        let is_full = self.segments.back().is_none_or(|s| s.length >= self.policy.segment_bytes);
        if !is_full {
            return Ok(());
        }
        let sealed = self.segments.back().map(|s| (s.number, s.length));
        match self.begin_segment() {
            Ok(()) => {
                // Frees the preallocated space that was not used. If this fails, it is freed when the segment
                // is removed.
                let _ = sealed.map(|(number, length)| self.disk.truncate(number, length));
                if matches!(self.health, Health::Full(_)) {
                    self.health = Health::Healthy;
                }
                Ok(())
            }
            // The space preallocated for the last segment exceeds its usual size.
            Err(error)
                if self
                    .segments
                    .back()
                    .is_some_and(|s| s.length < self.policy.segment_bytes + MAX_MESSAGE_FRAME_BYTES) =>
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

    pub(super) fn tail_seed(&self) -> u32 {
        checksum_seed(self.identity, self.segments.back().map_or(0, |s| s.number))
    }

    fn pending_finished_bytes(&self) -> u64 {
        (self.pending_finished.len() * FINISHED_RECORD_BYTES) as u64
    }

    /// Appends the waiting final records and then `frames` to the last segment. Returns the location of
    /// `frames`.
    pub(super) fn write_frames(&mut self, frames: &[u8]) -> io::Result<RecordLocation> {
        if self.pending_finished.is_empty() {
            self.write_bytes(frames)?;
        } else {
            // Encoded only now, since the checksum seed is that of the segment they are written to.
            let mut bytes =
                Vec::with_capacity(self.pending_finished.len() * FINISHED_RECORD_BYTES + frames.len());
            for number in &self.pending_finished {
                frame::encode_into(self.tail_seed(), &(number, &Record::Finished), &mut bytes)?;
            }
            bytes.extend_from_slice(frames);
            self.write_bytes(&bytes)?;
            self.pending_finished.clear();
        }
        let Some(tail) = self.segments.back() else { return Err(io::Error::other("no open segment")) };
        let length = frames.len() as u32;
        Ok(RecordLocation { segment: tail.number, at: tail.length - u64::from(length), length })
    }

    /// Appends all bytes, or leaves the segment as it was.
    fn write_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        if let Health::Failed(problem) = &self.health {
            return Err(io::Error::other(problem.clone()));
        }
        let Some(tail) = self.segments.back_mut() else { return Err(io::Error::other("no open segment")) };
        if tail.file_length > tail.length {
            // A partial record that could not be truncated before.
            self.disk.truncate(tail.number, tail.length)?;
            tail.file_length = tail.length;
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
            // A part may be in the file. It must be truncated before anything else is appended.
            tail.file_length = tail.length + bytes.len() as u64;
            if self.disk.truncate(tail.number, tail.length).is_ok() {
                tail.file_length = tail.length;
            }
            self.health = Health::Full(problem.to_string());
            self.retry_at = Some(Instant::now() + RETRY_DELAY);
            return Err(problem);
        }
        tail.length += done as u64;
        tail.file_length = tail.length;
        self.unsynced.insert(tail.number);
        self.bytes_written += done as u64;
        Ok(())
    }
}

/// Approximate upper bound of the size of a record's frame, in bytes, for reserving space.
fn max_frame_bytes(record: &Record) -> u64 {
    let accepted_bytes = |a: &crate::format::Accepted| {
        let names = a.id.len() + a.class.len() + a.key.len() + a.retry.as_ref().map_or(0, String::len);
        (128 + a.body.len() + names + a.idempotency_key.as_ref().map_or(0, String::len)) as u64
    };
    match record {
        Record::Accepted(accepted) | Record::AcceptedAt { accepted, .. } => accepted_bytes(accepted),
        Record::Snapshot(message) => {
            accepted_bytes(&message.accepted) + 160 * (message.attempts.len() as u64 + 1)
        }
        Record::AttemptStarted { endpoint, .. } | Record::BegunAt { endpoint, .. } => {
            64 + endpoint.len() as u64
        }
        _ => 64,
    }
}
