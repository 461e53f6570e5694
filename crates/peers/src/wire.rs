//! What forwarders tell each other, inside sealed datagrams: some messages in each.

use crate::claims::{self, Answer, Claim, Key, Status};
use crate::fact::{Dot, Fact, Run, Subject};
use crate::ledger::{Stretch, BUCKETS};
use crate::regain::{Piece, Place};
use crate::seal::PAYLOAD;
use serde::{Deserialize, Serialize};

/// Messages in one datagram at most: more are none of ours.
const MOST: usize = 256;

/// One message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Of the failure detector.
    Swim(Vec<u8>),
    /// Facts, pushed or asked for. Each is acknowledged once it is kept.
    Facts(Vec<Fact>),
    /// These facts are kept by the sender.
    Have(Vec<Dot>),
    /// One sum for each bucket of the ledger.
    Digest([u64; BUCKETS]),
    /// What the sender has of a bucket.
    Summary {
        /// Which one.
        bucket: u8,
        /// The receiver is to tell what it has of it.
        echo: bool,
        /// A piece of it.
        stretches: Vec<Stretch>,
    },
    /// The sender lacks these facts of a life.
    Want {
        /// Whose.
        run: Run,
        /// Their places.
        seqs: Vec<u64>,
    },
    /// What holds about a subject?
    Query {
        /// Comes back with the answer.
        nonce: u64,
        /// The subject.
        subject: Subject,
    },
    /// What holds about the subject of a query.
    Answer {
        /// As in the query.
        nonce: u64,
        /// The facts about it that are alive.
        facts: Vec<Fact>,
    },
    /// Two copies of one of the receiver's own facts differ: which one is his word?
    AskWord(Dot),
    /// The author's word.
    Word(Box<Fact>),
    /// The sender claims these ids, for the memory that it has.
    Claims(u64, Vec<Claim>),
    /// What the sender answers to claims.
    Claimed(Vec<(Key, u64, Answer)>),
    /// How messages of the sender's memory have ended.
    Ended(u64, Vec<(Key, u64, claims::ClaimOutcome)>),
    /// These ends are known to the sender.
    EndKnown(Vec<Key>),
    /// Does the receiver hold this message?
    Whose(Key),
    /// Whether the sender, with this memory, holds a message.
    Is(u64, Key, Status),
    /// Partners, by the CRC-32 of their names, that have told the sender to wait, and for how many milliseconds yet.
    Waits(Vec<(u32, u64)>),
    /// The sender has lost what it granted: what does the receiver know of ids, after this place?
    Recall(Option<Place>),
    /// A piece of it.
    Recalled(Piece),
}

/// In a welcome: what the sender knows of the one that it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// The highest start number under its name, 0 if it has never been heard of.
    pub start: u64,
    /// The session under which that came.
    pub session: u64,
    /// How long ago it was heard of last, in milliseconds.
    pub heard: u64,
}

/// Packs messages into as few payloads as hold them, in their order. One that is longer than a payload is left out;
/// the bounds of facts rule that out.
pub fn pack(messages: &[Message]) -> Vec<Vec<u8>> {
    let mut payloads: Vec<Vec<u8>> = Vec::new();
    for message in messages {
        let Ok(bytes) = postcard::to_stdvec(message) else { continue };
        if bytes.len() > PAYLOAD {
            continue;
        }
        match payloads.last_mut().filter(|p| p.len() + bytes.len() <= PAYLOAD) {
            Some(payload) => payload.extend(bytes),
            None => payloads.push(bytes),
        }
    }
    payloads
}

/// Reads a payload. None where any of it can't be read.
pub fn unpack(mut payload: &[u8]) -> Option<Vec<Message>> {
    let mut messages = Vec::new();
    while !payload.is_empty() {
        let (message, rest) = postcard::take_from_bytes(payload).ok()?;
        messages.push(message);
        payload = rest;
        if messages.len() > MOST {
            return None;
        }
    }
    Some(messages)
}
