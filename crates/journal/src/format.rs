//! What stands in a segment: a header, then frames. `docs/journal-format.md` is the page for other readers.

use serde::{Deserialize, Serialize};

/// Version of the format.
pub const VERSION: u32 = 2;
/// Bytes of a header: the mark, version, identity of the journal and number of the segment (little-endian), and the
/// CRC-32 of these.
pub const HEADER: usize = 32;
const MARK: [u8; 8] = *b"foldjrnl";

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
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// What has happened to a message. The order of the variants is the format's: new ones go to the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Taken on.
    Accepted(Accepted),
    /// Written before an attempt's first byte; by version 1.
    Begun {
        /// When, Unix time in microseconds.
        at: u64,
        /// The target's zone.
        zone: u32,
    },
    /// Of the attempt that was out: there is never more than one; by version 1.
    Ended(AttemptEffect),
    /// Written before the notice is sent.
    #[serde(rename = "Noticed")]
    FailureNoticed(FailureNotice),
    /// Delivered, or its notice is answered.
    #[serde(rename = "Over")]
    Finished,
    /// Taken on, where it matters when.
    AcceptedAt {
        /// When, Unix time in microseconds.
        at: u64,
        /// The message.
        accepted: Accepted,
    },
    /// As `Begun`, where it matters at which endpoint; by version 1.
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
    /// Written before an attempt's first byte. Attempts have numbers, so that a record which is lost among others is
    /// missed.
    #[serde(rename = "Try")]
    AttemptStarted {
        /// From 0.
        attempt: u32,
        /// When, Unix time in microseconds.
        at: u64,
        /// The target's zone.
        zone: u32,
        /// The endpoint's name, empty where it does not matter.
        endpoint: String,
    },
    /// An attempt has ended.
    #[serde(rename = "TryEnded")]
    AttemptEnded {
        /// From 0.
        attempt: u32,
        /// Whether it has run.
        #[serde(rename = "fate")]
        effect: AttemptEffect,
    },
    /// All that is known of a message, in the place of every record of it before: written where it is carried.
    Carried(Box<RecoveredMessage>),
}

/// An attempt as the journal knows it; without a effect it was out when the process ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// When it began, Unix time in microseconds; 0 if its record is lost.
    pub at: u64,
    /// The target's zone.
    pub zone: u32,
    /// The endpoint's name, where it was written.
    pub endpoint: String,
    /// Whether it has run.
    #[serde(rename = "fate")]
    pub effect: Option<AttemptEffect>,
}

/// What a restart finds of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveredMessage {
    /// As it was taken on.
    pub accepted: Accepted,
    /// When, Unix time in microseconds; 0 where it was not written.
    pub taken: u64,
    /// Delivered, and that is still to be told.
    pub delivered: bool,
    /// Its attempts, in their order.
    pub attempts: Vec<AttemptRecord>,
    /// Its end, if that has not been answered yet.
    pub notice: Option<FailureNotice>,
}

impl RecoveredMessage {
    fn new(accepted: Accepted, taken: u64) -> RecoveredMessage {
        RecoveredMessage { accepted, taken, delivered: false, attempts: Vec::new(), notice: None }
    }

    /// What the first record of a message makes; `None` if it is not one that a message can begin with.
    pub fn begin(record: Record) -> Option<RecoveredMessage> {
        match record {
            Record::Accepted(accepted) => Some(RecoveredMessage::new(accepted, 0)),
            Record::AcceptedAt { at, accepted } => Some(RecoveredMessage::new(accepted, at)),
            Record::Carried(restored) => Some(*restored),
            _ => None,
        }
    }

    /// Takes in a later record of the message.
    pub fn follow(&mut self, record: Record) {
        match record {
            Record::Begun { at, zone } => {
                self.attempts.push(AttemptRecord { at, zone, endpoint: String::new(), effect: None });
            }
            Record::BegunAt { at, zone, endpoint } => {
                self.attempts.push(AttemptRecord { at, zone, endpoint, effect: None });
            }
            Record::Ended(effect) => {
                if let Some(tried) = self.attempts.last_mut() {
                    tried.effect = Some(effect);
                }
            }
            Record::AttemptStarted { attempt, at, zone, endpoint } => {
                if let Some(tried) = self.attempt(attempt) {
                    (tried.at, tried.zone, tried.endpoint) = (at, zone, endpoint);
                }
            }
            Record::AttemptEnded { attempt, effect } => {
                if let Some(tried) = self.attempt(attempt) {
                    tried.effect = Some(effect);
                }
            }
            Record::FailureNoticed(notice) => self.notice = Some(notice),
            Record::Delivered => self.delivered = true,
            // It begins anew: what is before does not count.
            first @ (Record::Accepted(_) | Record::AcceptedAt { .. } | Record::Carried(_)) => {
                if let Some(restored) = RecoveredMessage::begin(first) {
                    *self = restored;
                }
            }
            Record::Finished => {}
        }
    }

    /// An attempt by its number. Those before it whose records are lost count as perhaps run.
    fn attempt(&mut self, number: u32) -> Option<&mut AttemptRecord> {
        /// No message has more: what names one is damage that a check sum did not see.
        const MOST: u32 = 1000;
        if number >= MOST {
            return None;
        }
        while self.attempts.len() <= number as usize {
            self.attempts.push(AttemptRecord {
                at: 0,
                zone: u32::MAX,
                endpoint: String::new(),
                effect: None,
            });
        }
        self.attempts.get_mut(number as usize)
    }
}

/// What a header says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Header {
    /// A segment of this version: identity of the journal, and number of the segment.
    Known {
        /// The same in all segments of a journal.
        identity: u64,
        /// As in the file's name.
        segment: u64,
    },
    /// A segment of another version.
    Version(u32),
    /// None that can be read.
    Unreadable,
}

/// The header of a segment.
pub fn header(identity: u64, segment: u64) -> [u8; HEADER] {
    let mut bytes = [0; HEADER];
    bytes[..8].copy_from_slice(&MARK);
    bytes[8..12].copy_from_slice(&VERSION.to_le_bytes());
    bytes[12..20].copy_from_slice(&identity.to_le_bytes());
    bytes[20..28].copy_from_slice(&segment.to_le_bytes());
    let sum = crc32fast::hash(&bytes[..28]);
    bytes[28..].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// Reads the header at the start of these bytes.
pub fn read_header(bytes: &[u8]) -> Header {
    let number = |at: usize| bytes.get(at..at + 8)?.try_into().ok().map(u64::from_le_bytes);
    let short = |at: usize| bytes.get(at..at + 4)?.try_into().ok().map(u32::from_le_bytes);
    let sound = bytes.starts_with(&MARK) && bytes.get(..28).map(crc32fast::hash) == short(28);
    match (short(8), number(12), number(20)) {
        (Some(VERSION), Some(identity), Some(segment)) if sound => Header::Known { identity, segment },
        (Some(version), ..) if sound => Header::Version(version),
        _ => Header::Unreadable,
    }
}
