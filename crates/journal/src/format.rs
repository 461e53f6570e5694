//! Contents of a segment: a header, followed by frames. `docs/journal-format.md` specifies the format.

use serde::{Deserialize, Serialize};

/// Version of the format.
pub const VERSION: u32 = 2;
/// Size of the header in bytes: marker, version, identity of the journal and number of the segment
/// (little-endian), and the CRC-32 of these.
pub const HEADER_BYTES: usize = 32;
const MARKER: [u8; 8] = *b"foldjrnl";

/// Whether an attempt has run at the partner, as far as its outcome shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEffect {
    /// The attempt certainly did not run.
    NeverRan,
    /// The attempt ran, or this can't be known.
    MayHaveRun,
}

/// Final status of a message that was not delivered, sent to the client as a notice.
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
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// A record of a message. The encoding uses the position of each variant, so new ones must be added at the
/// end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The message was accepted. The time of acceptance is not recorded.
    Accepted(Accepted),
    /// Version 1: an attempt is about to send its first byte.
    Begun {
        /// Start of the attempt, Unix time in microseconds.
        at: u64,
        /// Zone of the target.
        zone: u32,
    },
    /// Version 1: the attempt in flight has ended. A message has at most one attempt in flight.
    Ended(AttemptEffect),
    /// The notice for the client is about to be sent.
    #[serde(rename = "Noticed")]
    FailureNoticed(FailureNotice),
    /// The message is finished: delivered, or its notice was acknowledged.
    #[serde(rename = "Over")]
    Finished,
    /// The message was accepted, with the time of acceptance.
    AcceptedAt {
        /// When it was accepted, Unix time in microseconds.
        at: u64,
        /// The accepted message.
        accepted: Accepted,
    },
    /// Version 1: as `Begun`, with the endpoint.
    BegunAt {
        /// Start of the attempt, Unix time in microseconds.
        at: u64,
        /// Zone of the target.
        zone: u32,
        /// Name of the endpoint.
        endpoint: String,
    },
    /// The message was delivered, and the client has yet to be told.
    Delivered,
    /// An attempt is about to send its first byte. Attempts are numbered, so that the loss of a record is
    /// detected.
    #[serde(rename = "Try")]
    AttemptStarted {
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Start of the attempt, Unix time in microseconds.
        at: u64,
        /// Zone of the target.
        zone: u32,
        /// Name of the endpoint; empty if it is not recorded.
        endpoint: String,
    },
    /// An attempt has ended.
    #[serde(rename = "TryEnded")]
    AttemptEnded {
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Whether the attempt has run.
        #[serde(rename = "fate")]
        effect: AttemptEffect,
    },
    /// Complete state of a message, which replaces all its earlier records. Written by the compaction.
    #[serde(rename = "Carried")]
    Snapshot(Box<RecoveredMessage>),
}

/// An attempt as the journal records it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Start of the attempt, Unix time in microseconds; 0 if its record is lost.
    pub at: u64,
    /// Zone of the target.
    pub zone: u32,
    /// Name of the endpoint, if it was recorded.
    pub endpoint: String,
    /// Whether the attempt has run; `None` if it was in flight when the process ended.
    #[serde(rename = "fate")]
    pub effect: Option<AttemptEffect>,
}

/// State of a message as a restart recovers it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveredMessage {
    /// The message as it was accepted.
    pub accepted: Accepted,
    /// When it was accepted, Unix time in microseconds; 0 if that was not recorded.
    pub taken: u64,
    /// The message was delivered, and the client has yet to be told.
    pub delivered: bool,
    /// All attempts, in the order in which they began.
    pub attempts: Vec<AttemptRecord>,
    /// The final status, if its notice has not been acknowledged yet.
    pub notice: Option<FailureNotice>,
}

impl RecoveredMessage {
    fn new(accepted: Accepted, taken: u64) -> RecoveredMessage {
        RecoveredMessage { accepted, taken, delivered: false, attempts: Vec::new(), notice: None }
    }

    /// The state after the first record of a message; `None` if no message starts with this record.
    pub fn from_first_record(record: Record) -> Option<RecoveredMessage> {
        match record {
            Record::Accepted(accepted) => Some(RecoveredMessage::new(accepted, 0)),
            Record::AcceptedAt { at, accepted } => Some(RecoveredMessage::new(accepted, at)),
            Record::Snapshot(message) => Some(*message),
            _ => None,
        }
    }

    /// Applies a later record of the message.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Begun { at, zone } => {
                self.attempts.push(AttemptRecord { at, zone, endpoint: String::new(), effect: None });
            }
            Record::BegunAt { at, zone, endpoint } => {
                self.attempts.push(AttemptRecord { at, zone, endpoint, effect: None });
            }
            Record::Ended(effect) => {
                if let Some(attempt_record) = self.attempts.last_mut() {
                    attempt_record.effect = Some(effect);
                }
            }
            Record::AttemptStarted { attempt, at, zone, endpoint } => {
                if let Some(attempt_record) = self.attempt_mut(attempt) {
                    (attempt_record.at, attempt_record.zone, attempt_record.endpoint) = (at, zone, endpoint);
                }
            }
            Record::AttemptEnded { attempt, effect } => {
                if let Some(attempt_record) = self.attempt_mut(attempt) {
                    attempt_record.effect = Some(effect);
                }
            }
            Record::FailureNoticed(notice) => self.notice = Some(notice),
            Record::Delivered => self.delivered = true,
            // A new start replaces the previous state.
            first @ (Record::Accepted(_) | Record::AcceptedAt { .. } | Record::Snapshot(_)) => {
                if let Some(message) = RecoveredMessage::from_first_record(first) {
                    *self = message;
                }
            }
            Record::Finished => {}
        }
    }

    /// Returns an attempt by its number. Missing attempts before it are added as unknown, so they count as
    /// may have run.
    fn attempt_mut(&mut self, number: u32) -> Option<&mut AttemptRecord> {
        /// No message has more attempts: a higher number is damage that the checksum did not detect.
        const MAX_ATTEMPTS: u32 = 1000;
        if number >= MAX_ATTEMPTS {
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

/// Result of reading a segment header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Header {
    /// A segment of this format version.
    Known {
        /// Identity of the journal, the same in all its segments.
        identity: u64,
        /// Number of the segment, also used in its file name.
        segment: u64,
    },
    /// A segment of another format version.
    Version(u32),
    /// No valid header.
    Unreadable,
}

/// Encodes the header of a segment.
pub fn header(identity: u64, segment: u64) -> [u8; HEADER_BYTES] {
    let mut bytes = [0; HEADER_BYTES];
    bytes[..8].copy_from_slice(&MARKER);
    bytes[8..12].copy_from_slice(&VERSION.to_le_bytes());
    bytes[12..20].copy_from_slice(&identity.to_le_bytes());
    bytes[20..28].copy_from_slice(&segment.to_le_bytes());
    let checksum = crc32fast::hash(&bytes[..28]);
    bytes[28..].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Decodes the header at the start of `bytes`.
pub fn read_header(bytes: &[u8]) -> Header {
    let u64_at = |at: usize| bytes.get(at..at + 8)?.try_into().ok().map(u64::from_le_bytes);
    let u32_at = |at: usize| bytes.get(at..at + 4)?.try_into().ok().map(u32::from_le_bytes);
    let valid = bytes.starts_with(&MARKER) && bytes.get(..28).map(crc32fast::hash) == u32_at(28);
    match (u32_at(8), u64_at(12), u64_at(20)) {
        (Some(VERSION), Some(identity), Some(segment)) if valid => Header::Known { identity, segment },
        (Some(version), ..) if valid => Header::Version(version),
        _ => Header::Unreadable,
    }
}
