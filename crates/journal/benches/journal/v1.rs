//! The version 1 journal, for comparison: a single file, with all live frames in memory, compacted in one
//! step.
#![allow(missing_docs, dead_code, unreachable_pub)]

use foldtrack_journal::frame;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Minimum space between two compactions, which also covers rounding to whole blocks. In bytes.
const SLACK_BYTES: u64 = 16 * 1024;
/// A file that exceeds twice the live bytes by this many bytes is compacted, even if there is space.
const MAX_STALE_BYTES: u64 = 1 << 20;
/// Upper bound in bytes of the two records of an attempt.
const ATTEMPT_BYTES: u64 = 64;
/// Upper bound in bytes of the record of a notice.
const NOTICE_BYTES: u64 = 64;

/// Whether an attempt has run at the partner, as far as its outcome shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEffect {
    /// The attempt certainly did not run.
    NeverRan,
    /// The attempt ran, or this can't be known.
    MayHaveRun,
}

/// Final status of a message that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureNotice {
    /// Given up: the message may or may not have taken effect.
    GivenUp,
    /// Returned to the client: sending the message again is safe.
    HandedBack {
        /// Suggested delay before sending it again, in milliseconds; 0 if there is no suggestion.
        retry_in_ms: u64,
    },
}

/// A message as it was accepted from the client. Times are Unix time in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The id that the client gave the message.
    pub id: String,
    /// Name of the message's class.
    pub class: String,
    /// Destination number.
    pub destination: u32,
    /// The order key; empty if the message is not ordered.
    pub key: String,
    /// The client's idempotency key, passed on unchanged.
    pub idempotency_key: Option<String>,
    /// Value of the `X-Retry` header, for operators.
    pub retry: Option<String>,
    /// Deadline for the delivery.
    pub expires: u64,
    /// The message body, uninterpreted.
    pub body: Vec<u8>,
}

/// A record of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The message was accepted.
    Accepted(Accepted),
    /// An attempt is about to send its first byte.
    Begun {
        /// Start of the attempt, Unix time in microseconds.
        at: u64,
        /// Zone of the target.
        zone: u32,
    },
    /// The attempt in flight has ended. A message has at most one attempt in flight.
    Ended(AttemptEffect),
    /// The notice for the client is about to be sent.
    #[serde(rename = "Noticed")]
    FailureNoticed(FailureNotice),
    /// The message is finished: delivered, or its notice was acknowledged.
    #[serde(rename = "Over")]
    Finished,
}

/// An attempt as the journal records it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptRecord {
    /// Start of the attempt, Unix time in microseconds.
    pub at: u64,
    /// Zone of the target.
    pub zone: u32,
    /// Whether the attempt has run; `None` if it was in flight when the process ended.
    pub effect: Option<AttemptEffect>,
}

/// State of a message as a restart recovers it.
#[derive(Debug)]
pub struct RecoveredMessage {
    /// The message as it was accepted.
    pub accepted: Accepted,
    /// All attempts, in the order in which they began.
    pub attempts: Vec<AttemptRecord>,
    /// The final status, if its notice has not been acknowledged yet.
    pub notice: Option<FailureNotice>,
}

/// The journal of a process.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    file: File,
    length: u64,
    /// The frames of each unfinished message, by message number, in the order of arrival.
    live: BTreeMap<u64, Vec<u8>>,
    live_bytes: u64,
    capacity: u64,
    reserve: u64,
}

impl Journal {
    /// Opens the journal of a folder that may hold `capacity` bytes, and returns the unfinished messages by number.
    pub fn open(
        folder: &Path, capacity: u64, max_attempts: u32,
    ) -> io::Result<(Journal, BTreeMap<u64, RecoveredMessage>)> {
        let path = folder.join("journal");
        // Left over from a compaction that did not finish.
        let _ = fs::remove_file(path.with_extension("new"));
        let file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        let bytes = fs::read(&path)?;
        let reserve = ATTEMPT_BYTES * u64::from(max_attempts) + NOTICE_BYTES;
        let (live, live_bytes) = (BTreeMap::new(), 0);
        let mut journal = Journal { path, file, length: 0, live, live_bytes, capacity, reserve };
        let mut restored = BTreeMap::new();
        let mut at = 0;
        while at < bytes.len() {
            if let Some((frame, (number, record))) = frame::decode(&bytes[at..]) {
                apply_record(&mut restored, number, &record);
                journal.index_record(number, &record, frame);
                at += frame.len();
                continue;
            }
            match (at + 1..bytes.len()).find(|next| frame::decode::<(u64, Record)>(&bytes[*next..]).is_some())
            {
                Some(next) => {
                    eprintln!("journal: {} damaged bytes at {at} skipped", next - at);
                    at = next;
                }
                None => {
                    eprintln!(
                        "journal: truncated at byte {at}, removing an incomplete record of {} bytes",
                        bytes.len() - at
                    );
                    journal.file.set_len(at as u64)?;
                    break;
                }
            }
        }
        journal.length = at as u64;
        // Without its first record, which may be damaged, the other frames of a message are useless.
        journal.live.retain(|number, _| restored.contains_key(number));
        journal.live_bytes = journal.live.values().map(|f| f.len() as u64).sum();
        Ok((journal, restored))
    }

    /// Whether a message of about `size` bytes can be accepted, including space for all its later records:
    /// the live frames must fit twice, in the old and in the new file of a compaction.
    pub fn has_capacity(&self, size: usize) -> bool {
        let messages = self.live.len() as u64 + 1;
        2 * (self.live_bytes + size as u64 + messages * self.reserve) + SLACK_BYTES <= self.capacity
    }

    /// Appends a record to the file and to the frames in memory.
    ///
    /// # Errors
    /// The record is not in the file, for example because the disk is full. A partial record is truncated.
    pub fn append(&mut self, number: u64, record: &Record) -> io::Result<()> {
        let frame = frame::encode(&(number, record))?;
        let length = self.length + frame.len() as u64;
        let full = length + self.live_bytes + frame.len() as u64 + SLACK_BYTES / 2 > self.capacity;
        if full || length > 2 * self.live_bytes + MAX_STALE_BYTES {
            self.compact()?;
        }
        if let Err(error) = self.file.write_all(&frame) {
            // A partial record would stand between the records that follow.
            let _ = self.file.set_len(self.length);
            return Err(error);
        }
        self.length += frame.len() as u64;
        self.index_record(number, record, &frame);
        Ok(())
    }

    fn index_record(&mut self, number: u64, record: &Record, frame: &[u8]) {
        match record {
            Record::Finished => {
                let removed = self.live.remove(&number).map_or(0, |f| f.len());
                self.live_bytes -= removed as u64;
            }
            _ => {
                self.live.entry(number).or_default().extend_from_slice(frame);
                self.live_bytes += frame.len() as u64;
            }
        }
    }

    /// Writes the live frames to a new file and replaces the old one with it.
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

fn apply_record(restored: &mut BTreeMap<u64, RecoveredMessage>, number: u64, record: &Record) {
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
            if let Some(attempt) = message.attempts.last_mut() {
                attempt.effect = Some(*effect);
            }
        }
        Record::FailureNoticed(notice) => message.notice = Some(*notice),
        Record::Finished => drop(restored.remove(&number)),
        Record::Accepted(_) => {}
    }
}
