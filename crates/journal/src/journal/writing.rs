//! Records on their way into the last segment. Those of a round of the owner's gather and are written in one stroke;
//! where the disk does not take them together each is tried alone, so that every one of them is known to be there or
//! not.

use super::{Health, Journal, RETRY};
use crate::disk::Disk;
use crate::format::Record;
use crate::frame;
use crate::pacing::{BLOCK, LONGEST_MESSAGE};
use crate::recovery::{seed, Place};
use std::io;
use std::ops::Range;
use std::time::Instant;

/// Records of messages that are over which wait for the next write at most, and the bytes of one.
const WAITING: usize = 128;
const OVER_BYTES: usize = 24;
/// Bytes that gather at most before they are written, whatever the owner says: memory, and one write's time.
const GATHERED: usize = 1 << 20;

/// Names a record that was staged, until [`Journal::commit`] tells whether it was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A staged record that is not in the file.
#[derive(Debug)]
pub struct FailedWrite {
    /// As [`Journal::stage`] gave it.
    pub ticket: Ticket,
    /// The message's number.
    pub number: u64,
    /// Why not.
    pub error: io::Error,
}

/// What a record does to the index once it is in the file.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// Replaces all that is there of its message.
    Begins,
    Adds,
    Ends,
}

#[derive(Debug)]
struct Staged {
    ticket: Ticket,
    number: u64,
    change: Change,
    frame: Range<usize>,
}

/// The records that have gathered, and what became of earlier ones.
#[derive(Debug, Default)]
pub(super) struct Batch {
    bytes: Vec<u8>,
    staged: Vec<Staged>,
    unwritten: Vec<FailedWrite>,
    tickets: u64,
}

impl Batch {
    pub fn len(&self) -> u64 {
        self.bytes.len() as u64
    }
}

impl<D: Disk> Journal<D> {
    /// Appends a record, with whatever is staged before it.
    ///
    /// # Errors
    /// The record is not in the file: the disk is full, say. A later one may be again.
    pub fn append(&mut self, number: u64, record: &Record) -> io::Result<()> {
        let ticket = self.stage(number, record)?;
        self.write_staged();
        match self.batch.unwritten.iter().position(|u| u.ticket == ticket) {
            Some(at) => Err(self.batch.unwritten.swap_remove(at).error),
            None => Ok(()),
        }
    }

    /// Puts a record among those that the next [`Journal::commit`] writes in one stroke. Nothing may rest on it before.
    ///
    /// # Errors
    /// It can't be written, and is not staged: the room is used up, or it is longer than a record can be.
    pub fn stage(&mut self, number: u64, record: &Record) -> io::Result<Ticket> {
        let bytes = bound(record);
        let together = self.waiting_bytes() + self.batch.len() + bytes;
        let sealed = self.segments.back().is_none_or(|s| s.length + self.batch.len() >= self.pacing.segment);
        if sealed
            || self.batch.bytes.len() >= GATHERED
            || !self.pacing.may_append(together, self.disk_bytes())
        {
            // What is staged has the seed of this segment, and goes into it.
            self.write_staged();
            self.make_room(self.waiting_bytes() + bytes)?;
        }
        let seed = self.tail_seed();
        let frame = frame::encode_onto(seed, &(number, record), &mut self.batch.bytes)?;
        let change = match record {
            Record::Finished => Change::Ends,
            Record::Accepted(_) | Record::AcceptedAt { .. } | Record::Carried(_) => Change::Begins,
            _ => Change::Adds,
        };
        self.batch.tickets += 1;
        let ticket = Ticket(self.batch.tickets);
        self.batch.staged.push(Staged { ticket, number, change, frame });
        Ok(ticket)
    }

    /// Writes what is staged. Gives the records since the last commit that are not in the file: empty if all is well.
    pub fn commit(&mut self) -> Vec<FailedWrite> {
        self.write_staged();
        std::mem::take(&mut self.batch.unwritten)
    }

    /// Writes what is staged in one stroke, or, if that fails, one by one.
    pub(super) fn write_staged(&mut self) {
        if self.batch.staged.is_empty() {
            return;
        }
        let staged = std::mem::take(&mut self.batch.staged);
        let mut bytes = std::mem::take(&mut self.batch.bytes);
        let mut written = 0;
        match self.write_frames(&bytes) {
            Ok(whole) => {
                written = u64::from(whole.length);
                for one in &staged {
                    let place = Place {
                        at: whole.at + one.frame.start as u64,
                        length: one.frame.len() as u32,
                        ..whole
                    };
                    self.apply(one, place);
                }
            }
            Err(error) if staged.len() == 1 => {
                let Staged { ticket, number, .. } = staged[0];
                self.batch.unwritten.push(FailedWrite { ticket, number, error });
            }
            Err(_) => {
                // A disk that is nearly full takes the short ones: ends and attempts of what is held.
                for one in &staged {
                    match self.write_frames(&bytes[one.frame.clone()]) {
                        Ok(place) => {
                            written += u64::from(place.length);
                            self.apply(one, place);
                        }
                        Err(error) => {
                            let (ticket, number) = (one.ticket, one.number);
                            self.batch.unwritten.push(FailedWrite { ticket, number, error });
                        }
                    }
                }
            }
        }
        self.appended += written;
        self.owe(written);
        bytes.clear();
        self.batch.bytes = bytes;
    }

    /// A record stands in the file.
    fn apply(&mut self, one: &Staged, place: Place) {
        let number = one.number;
        self.highest_number = self.highest_number.max(number);
        match one.change {
            Change::Ends => self.forget(number),
            Change::Begins => {
                self.forget(number);
                self.add(number, place);
            }
            Change::Adds if self.live.contains_key(&number) => self.add(number, place),
            Change::Adds => {}
        }
    }

    /// Lets a message go without a write of its own: its record goes with the next one, or at [`Journal::flush`].
    /// For messages whose end is kept elsewhere, by which a restart knows that they are over.
    ///
    /// # Errors
    /// As of [`Journal::flush`], if too much waits; the message is gone from the live ones all the same.
    pub fn finish_deferred(&mut self, number: u64) -> io::Result<()> {
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
        self.write_staged();
        if self.waiting.is_empty() {
            return Ok(());
        }
        self.make_room(self.waiting_bytes())?;
        self.write_frames(&[]).map(drop)
    }

    /// Sees to it that so many bytes fit: rotates, and removes from the front whatever it takes. Nothing is staged.
    pub(super) fn make_room(&mut self, bytes: u64) -> io::Result<()> {
        let mut left = self.segments.len();
        while !self.pacing.may_append(bytes, self.disk_bytes()) && left > 1 {
            // The steps between have not kept up: this record pays for a whole segment.
            left -= 1;
            if self.awaits_sync() {
                self.sync()?;
            }
            let front = self.segments.front().map(|s| s.number);
            while self.segments.front().map(|s| s.number) == front {
                if self.pass_some()? == u64::MAX && self.awaits_sync() {
                    self.sync()?;
                }
            }
        }
        if !self.pacing.may_append(bytes, self.disk_bytes())
            && self.disk_bytes() + bytes + BLOCK > self.pacing.room
        {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "the journal's room is used up"));
        }
        self.rotate()
    }

    /// Goes over to a new segment if the last one is full.
    pub(super) fn rotate(&mut self) -> io::Result<()> {
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
                    self.health = Health::Healthy;
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

    pub(super) fn tail_seed(&self) -> u32 {
        seed(self.identity, self.segments.back().map_or(0, |s| s.number))
    }

    fn waiting_bytes(&self) -> u64 {
        (self.waiting.len() * OVER_BYTES) as u64
    }

    /// Appends what waits and frames to the last segment; gives where the frames stand.
    pub(super) fn write_frames(&mut self, frames: &[u8]) -> io::Result<Place> {
        if self.waiting.is_empty() {
            self.write_bytes(frames)?;
        } else {
            // Encoded here: the seed is that of the segment in which they will stand.
            let mut bytes = Vec::with_capacity(self.waiting.len() * OVER_BYTES + frames.len());
            for number in &self.waiting {
                frame::encode_onto(self.tail_seed(), &(number, &Record::Finished), &mut bytes)?;
            }
            bytes.extend_from_slice(frames);
            self.write_bytes(&bytes)?;
            self.waiting.clear();
        }
        let Some(tail) = self.segments.back() else { return Err(io::Error::other("no segment")) };
        let length = frames.len() as u32;
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
        Record::AttemptStarted { endpoint, .. } | Record::BegunAt { endpoint, .. } => {
            64 + endpoint.len() as u64
        }
        _ => 64,
    }
}
