//! The journal of version 1, as it was: one file, every live frame in memory, compacted in one stroke. For comparison.
#![allow(missing_docs, dead_code, unreachable_pub)]

use foldtrack_journal::frame;
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

/// Whether an attempt has run, as far as its outcome tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEffect {
    /// Surely not.
    NeverRan,
    /// It did, or nobody can tell.
    MayHaveRun,
}

/// The end of a message that is not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureNotice {
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
    Ended(AttemptEffect),
    /// Written before the notice is sent.
    #[serde(rename = "Noticed")]
    FailureNoticed(FailureNotice),
    /// Delivered, or its notice is answered.
    #[serde(rename = "Over")]
    Finished,
}

/// An attempt as the journal knows it; without a effect it was out when the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    /// When it began, Unix time in microseconds.
    pub at: u64,
    /// The target's zone.
    pub zone: u32,
    /// Whether it has run.
    pub effect: Option<AttemptEffect>,
}

/// What a restart finds of a message.
#[derive(Debug)]
pub struct RecoveredMessage {
    /// As it was taken on.
    pub accepted: Accepted,
    /// Its attempts, in their order.
    pub attempts: Vec<AttemptRecord>,
    /// Its end, if that has not been answered yet.
    pub notice: Option<FailureNotice>,
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
}

impl Journal {
    /// Opens the journal of a folder that may hold `room` bytes, and tells what is not over.
    pub fn open(
        folder: &Path, room: u64, max_attempts: u32,
    ) -> io::Result<(Journal, BTreeMap<u64, RecoveredMessage>)> {
        let path = folder.join("journal");
        // A compaction that the process did not live to finish.
        let _ = fs::remove_file(path.with_extension("new"));
        let file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        let bytes = fs::read(&path)?;
        let reserve = ATTEMPT_BYTES * u64::from(max_attempts) + NOTICE_BYTES;
        let (live, live_bytes) = (BTreeMap::new(), 0);
        let mut journal = Journal { path, file, length: 0, live, live_bytes, room, reserve };
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

    /// Whether a message of about this size can be taken on, with all that may have to be written of it: the
    /// live frames must fit twice, once in the old file and once in the new one of a compaction.
    pub fn has_capacity(&self, size: usize) -> bool {
        let messages = self.live.len() as u64 + 1;
        2 * (self.live_bytes + size as u64 + messages * self.reserve) + SLACK <= self.room
    }

    /// Appends a record and keeps it in mind.
    ///
    /// # Errors
    /// The record is not in the file: the disk is full, say. What was written of it is cut off again.
    pub fn append(&mut self, number: u64, record: &Record) -> io::Result<()> {
        let frame = frame::encode(&(number, record))?;
        let length = self.length + frame.len() as u64;
        let full = length + self.live_bytes + frame.len() as u64 + SLACK / 2 > self.room;
        if full || length > 2 * self.live_bytes + STALE {
            self.compact()?;
        }
        if let Err(error) = self.file.write_all(&frame) {
            // What was written of it would stand between the records that follow.
            let _ = self.file.set_len(self.length);
            return Err(error);
        }
        self.length += frame.len() as u64;
        self.keep(number, record, &frame);
        Ok(())
    }

    fn keep(&mut self, number: u64, record: &Record, frame: &[u8]) {
        match record {
            Record::Finished => {
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
                Ok(())
            }
            Err(error) => {
                let _ = fs::remove_file(&new);
                Err(error)
            }
        }
    }
}

fn replay(restored: &mut BTreeMap<u64, RecoveredMessage>, number: u64, record: &Record) {
    if let Record::Accepted(accepted) = record {
        let fresh = RecoveredMessage { accepted: accepted.clone(), attempts: Vec::new(), notice: None };
        restored.insert(number, fresh);
        return;
    }
    let Some(message) = restored.get_mut(&number) else { return };
    match record {
        Record::Begun { at, zone } => {
            message.attempts.push(AttemptRecord { at: *at, zone: *zone, effect: None })
        }
        Record::Ended(effect) => {
            if let Some(tried) = message.attempts.last_mut() {
                tried.effect = Some(*effect);
            }
        }
        Record::FailureNoticed(notice) => message.notice = Some(*notice),
        Record::Finished => drop(restored.remove(&number)),
        Record::Accepted(_) => {}
    }
}
