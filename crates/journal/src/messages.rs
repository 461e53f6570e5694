//! The file that outlasts the process: what was taken on and what has happened to it since.
//!
//! Each record is a frame of mark, length, CRC and content, appended with one `write`. The frames of
//! messages that are not over are kept in memory too, so that compaction is writing them out again.

use crate::frame;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Room between two compactions at the least, and for files to count in whole blocks.
const SLACK: u64 = 16 * 1024;
/// A file this far over twice what is live is compacted, however much room there is.
const STALE: u64 = 1 << 20;
/// Bytes at most that the two records of an attempt, and the one of a notice, take.
const ATTEMPT_BYTES: u64 = 64;
const NOTICE_BYTES: u64 = 64;
/// Bytes that wait for the next write at most.
const WAITING: usize = 4096;

/// Whether an attempt has run, as far as its outcome tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// Surely not.
    NeverRan,
    /// It did, or nobody can tell.
    MayHaveRun,
}

/// The end of a message that is not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// Failed: nothing is promised.
    GivenUp,
    /// Refused: handing it in again is harmless.
    HandedBack {
        /// After so many milliseconds, 0 for no advice.
        retry_in_ms: u64,
    },
}

/// A message as it was taken on. Times are Unix time in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// As the client named it.
    pub id: String,
    /// The class's name.
    pub class: String,
    /// The number of its destination.
    pub destination: u32,
    /// The key of its order, empty for none.
    pub key: String,
    /// Goes on unchanged.
    pub idempotency_key: Option<String>,
    /// What `X-Retry` said, for the operators.
    pub retry: Option<String>,
    /// Until when it may be delivered.
    pub expires: u64,
    /// Any bytes.
    pub body: Vec<u8>,
}

/// What has happened to a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Taken on.
    Accepted(Accepted),
    /// Written before the attempt's first byte.
    Begun {
        /// When, Unix time in microseconds.
        at: u64,
        /// The target's zone.
        zone: u32,
    },
    /// Of the attempt that was out: there is never more than one.
    Ended(Fate),
    /// Written before the notice is sent.
    Noticed(Notice),
    /// Delivered, or its notice is answered.
    Over,
    /// Taken on, where it matters when.
    AcceptedAt {
        /// When, Unix time in microseconds.
        at: u64,
        /// The message.
        accepted: Accepted,
    },
    /// As `Begun`, where it matters at which endpoint.
    BegunAt {
        /// When, Unix time in microseconds.
        at: u64,
        /// The target's zone.
        zone: u32,
        /// The endpoint's name.
        endpoint: String,
    },
    /// Delivered, and that is still to be told.
    Delivered,
}

/// An attempt as the journal knows it; without a fate it was out when the process ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tried {
    /// When it began, Unix time in microseconds.
    pub at: u64,
    /// The target's zone.
    pub zone: u32,
    /// The endpoint's name, where it was written.
    pub endpoint: String,
    /// Whether it has run.
    pub fate: Option<Fate>,
}

/// What a restart finds of a message.
#[derive(Debug)]
pub struct Restored {
    /// As it was taken on.
    pub accepted: Accepted,
    /// When, Unix time in microseconds; 0 where it was not written.
    pub taken: u64,
    /// Delivered, and that is still to be told.
    pub delivered: bool,
    /// Its attempts, in their order.
    pub attempts: Vec<Tried>,
    /// Its end, if that has not been answered yet.
    pub notice: Option<Notice>,
}

/// The journal of one process.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    file: File,
    length: u64,
    /// The frames of each message that is not over, by its number in the order of arrival.
    live: BTreeMap<u64, Vec<u8>>,
    live_bytes: u64,
    room: u64,
    reserve: u64,
    /// Frames that go with the next write.
    waiting: Vec<u8>,
}

impl Journal {
    /// Opens the journal of a folder that may hold `room` bytes, and tells what is not over. `longest_name` is that
    /// of an endpoint, where attempts are written with theirs.
    ///
    /// # Errors
    /// The file can't be read or written.
    pub fn open(
        folder: &Path, room: u64, max_attempts: u32, longest_name: usize,
    ) -> io::Result<(Journal, BTreeMap<u64, Restored>)> {
        let path = folder.join("journal");
        // A compaction that the process did not live to finish.
        let _ = fs::remove_file(path.with_extension("new"));
        let file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        let bytes = fs::read(&path)?;
        let reserve = (ATTEMPT_BYTES + longest_name as u64) * u64::from(max_attempts) + NOTICE_BYTES;
        let (live, live_bytes) = (BTreeMap::new(), 0);
        let mut journal =
            Journal { path, file, length: 0, live, live_bytes, room, reserve, waiting: Vec::new() };
        let mut restored = BTreeMap::new();
        let mut at = 0;
        while at < bytes.len() {
            if let Some((frame, (number, record))) = frame::decode(&bytes[at..]) {
                replay(&mut restored, number, &record);
                journal.keep(number, &record, frame);
                at += frame.len();
                continue;
            }
            match (at + 1..bytes.len()).find(|next| frame::decode::<(u64, Record)>(&bytes[*next..]).is_some())
            {
                Some(next) => {
                    eprintln!("journal: {} damaged bytes at {at} passed over", next - at);
                    at = next;
                }
                None => {
                    eprintln!(
                        "journal: cut at {at}, {} bytes of a record that was not finished",
                        bytes.len() - at
                    );
                    journal.file.set_len(at as u64)?;
                    break;
                }
            }
        }
        journal.length = at as u64;
        // Damage may have taken what the frames of a message rest on: they are of no use then.
        journal.live.retain(|number, _| restored.contains_key(number));
        journal.live_bytes = journal.live.values().map(|f| f.len() as u64).sum();
        Ok((journal, restored))
    }

    /// Bytes in the file.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Whether a message of about this size can be taken on, with all that may have to be written of it: the
    /// live frames must fit twice, once in the old file and once in the new one of a compaction.
    pub fn has_room(&self, size: usize) -> bool {
        let messages = self.live.len() as u64 + 1;
        2 * (self.live_bytes + size as u64 + messages * self.reserve) + SLACK <= self.room
    }

    /// Appends a record and keeps it in mind.
    ///
    /// # Errors
    /// The record is not in the file: the disk is full, say. What was written of it is cut off again.
    pub fn append(&mut self, number: u64, record: &Record) -> io::Result<()> {
        let frame = frame::encode(&(number, record))?;
        self.write(&frame)?;
        self.keep(number, record, &frame);
        Ok(())
    }

    /// Lets a message go without a write of its own: its record goes with the next one, or at [`Journal::flush`].
    /// For messages whose end is kept elsewhere, by which a restart knows that they are over.
    ///
    /// # Errors
    /// As of [`Journal::append`], if too much waits; the message is gone from the live ones all the same.
    pub fn over_soon(&mut self, number: u64) -> io::Result<()> {
        let frame = frame::encode(&(number, &Record::Over))?;
        self.keep(number, &Record::Over, &frame);
        self.waiting.extend_from_slice(&frame);
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
        self.write(&[])
    }

    /// Appends what waits and a frame, in one write.
    fn write(&mut self, frame: &[u8]) -> io::Result<()> {
        let coming = (self.waiting.len() + frame.len()) as u64;
        let length = self.length + coming;
        let full = length + self.live_bytes + frame.len() as u64 + SLACK / 2 > self.room;
        if full || length > 2 * self.live_bytes + STALE {
            self.compact()?;
        }
        let written = if self.waiting.is_empty() {
            self.file.write_all(frame)
        } else {
            self.waiting.extend_from_slice(frame);
            let written = self.file.write_all(&self.waiting);
            if written.is_err() {
                self.waiting.truncate(self.waiting.len() - frame.len());
            }
            written
        };
        if let Err(error) = written {
            // What was written of it would stand between the records that follow.
            let _ = self.file.set_len(self.length);
            return Err(error);
        }
        self.length += (self.waiting.len().max(frame.len())) as u64;
        self.waiting.clear();
        Ok(())
    }

    fn keep(&mut self, number: u64, record: &Record, frame: &[u8]) {
        match record {
            Record::Over => {
                let gone = self.live.remove(&number).map_or(0, |f| f.len());
                self.live_bytes -= gone as u64;
            }
            _ => {
                self.live.entry(number).or_default().extend_from_slice(frame);
                self.live_bytes += frame.len() as u64;
            }
        }
    }

    /// Writes what is live to a new file that takes the old one's place.
    fn compact(&mut self) -> io::Result<()> {
        let new = self.path.with_extension("new");
        let mut bytes = Vec::with_capacity(self.live_bytes as usize);
        self.live.values().for_each(|frames| bytes.extend_from_slice(frames));
        let written = fs::write(&new, &bytes).and_then(|()| OpenOptions::new().append(true).open(&new));
        match written.and_then(|file| fs::rename(&new, &self.path).map(|()| file)) {
            Ok(file) => {
                (self.file, self.length) = (file, bytes.len() as u64);
                // What waits is of messages that are not live: the new file does not name them.
                self.waiting.clear();
                Ok(())
            }
            Err(error) => {
                let _ = fs::remove_file(&new);
                Err(error)
            }
        }
    }
}

fn replay(restored: &mut BTreeMap<u64, Restored>, number: u64, record: &Record) {
    let fresh = |accepted: &Accepted, taken| Restored {
        accepted: accepted.clone(),
        taken,
        delivered: false,
        attempts: Vec::new(),
        notice: None,
    };
    match record {
        Record::Accepted(accepted) => drop(restored.insert(number, fresh(accepted, 0))),
        Record::AcceptedAt { at, accepted } => drop(restored.insert(number, fresh(accepted, *at))),
        Record::Over => drop(restored.remove(&number)),
        _ => {}
    }
    let Some(message) = restored.get_mut(&number) else { return };
    let begun = |at: &u64, zone: &u32, endpoint: &str| Tried {
        at: *at,
        zone: *zone,
        endpoint: endpoint.to_string(),
        fate: None,
    };
    match record {
        Record::Begun { at, zone } => message.attempts.push(begun(at, zone, "")),
        Record::BegunAt { at, zone, endpoint } => message.attempts.push(begun(at, zone, endpoint)),
        Record::Ended(fate) => {
            if let Some(tried) = message.attempts.last_mut() {
                tried.fate = Some(*fate);
            }
        }
        Record::Noticed(notice) => message.notice = Some(*notice),
        Record::Delivered => message.delivered = true,
        Record::Accepted(_) | Record::AcceptedAt { .. } | Record::Over => {}
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ROOM: u64 = 200_000;

    fn open(folder: &Path) -> (Journal, BTreeMap<u64, Restored>) {
        Journal::open(folder, ROOM, 8, 0).unwrap()
    }

    fn accepted(body: usize) -> Record {
        let text = String::from("0123456789abcdef");
        Record::Accepted(Accepted {
            id: text.clone(),
            class: text.clone(),
            destination: 7,
            key: text.clone(),
            idempotency_key: Some(text),
            retry: None,
            expires: 1 << 50,
            body: vec![7; body],
        })
    }

    /// The old file and the new one of a compaction stand in the folder together: at any moment both must fit,
    /// also when all the room is taken by messages that use all their attempts.
    #[test]
    fn a_compaction_always_fits_and_nothing_is_lost_by_it() {
        for body in [0, 200, 20_000] {
            let folder = tempfile::tempdir().unwrap();
            let (mut journal, _) = open(folder.path());
            let append = |journal: &mut Journal, number: u64, record: &Record| {
                journal.append(number, record).unwrap();
                let both = journal.length.next_multiple_of(512) + journal.live_bytes.next_multiple_of(512);
                assert!(both <= ROOM, "{both} bytes during a compaction");
                assert_eq!(journal.length, fs::metadata(&journal.path).unwrap().len());
            };
            let mut taken = 0;
            while journal.has_room(body + 128) {
                taken += 1;
                append(&mut journal, taken, &accepted(body));
            }
            assert!(taken > 2, "{taken} messages of {body} bytes");
            for number in 1..=taken {
                for _ in 0..8 {
                    append(&mut journal, number, &Record::Begun { at: 1 << 50, zone: u32::MAX });
                    append(&mut journal, number, &Record::Ended(Fate::MayHaveRun));
                }
                append(&mut journal, number, &Record::Noticed(Notice::HandedBack { retry_in_ms: u64::MAX }));
            }
            append(&mut journal, 1, &Record::Over);
            drop(journal);
            let (_, restored) = open(folder.path());
            assert!(restored.keys().copied().eq(2..=taken));
            assert!(restored.values().all(|r| r.attempts.len() == 8 && r.notice.is_some()));
        }
    }

    /// Records that wait go with the next write or the flush, and a compaction between does not bring their
    /// messages back.
    #[test]
    fn what_is_over_soon_is_over_after_the_next_write() {
        let folder = tempfile::tempdir().unwrap();
        let (mut journal, _) = open(folder.path());
        (1..=4).for_each(|n| journal.append(n, &accepted(50)).unwrap());
        let before = journal.length;
        journal.over_soon(1).unwrap();
        assert_eq!((journal.length, fs::metadata(&journal.path).unwrap().len()), (before, before));
        assert_eq!(open(folder.path()).1.len(), 4, "it waits");
        journal.append(5, &accepted(50)).unwrap();
        assert!(open(folder.path()).1.keys().copied().eq(2..=5));
        journal.over_soon(2).unwrap();
        journal.flush().unwrap();
        assert!(open(folder.path()).1.keys().copied().eq(3..=5));
        journal.over_soon(3).unwrap();
        journal.compact().unwrap();
        journal.append(6, &accepted(50)).unwrap();
        assert_eq!(journal.length, fs::metadata(&journal.path).unwrap().len());
        assert!(open(folder.path()).1.keys().copied().eq(4..=6));
        // So many that they are written by themselves, within the bounds of the file.
        for n in 7..2_000 {
            journal.append(n, &accepted(50)).unwrap();
            journal.over_soon(n).unwrap();
            assert!(journal.waiting.len() <= WAITING);
            assert_eq!(journal.length, fs::metadata(&journal.path).unwrap().len());
        }
        assert!(open(folder.path()).1.keys().copied().filter(|n| *n < 1_999).eq(4..=6));
    }

    #[test]
    fn a_file_cut_anywhere_gives_the_records_before_the_cut() {
        let folder = tempfile::tempdir().unwrap();
        let (mut journal, _) = open(folder.path());
        let mut ends = vec![0];
        for number in 1..=3 {
            journal.append(number, &accepted(50)).unwrap();
            ends.push(journal.length);
        }
        let bytes = fs::read(&journal.path).unwrap();
        for cut in 0..bytes.len() {
            fs::write(&journal.path, &bytes[..cut]).unwrap();
            let (opened, restored) = open(folder.path());
            let whole = ends.iter().filter(|end| **end > 0 && **end <= cut as u64).count();
            assert_eq!(restored.len(), whole, "cut at {cut}");
            assert_eq!(opened.length, ends[whole]);
        }
    }
}
