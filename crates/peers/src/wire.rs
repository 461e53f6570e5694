//! Messages between forwarders. A sealed datagram carries one or more of them.

use crate::claims::{self, Claim, ClaimReply, Key, OwnerStatus};
use crate::fact::{Dot, Fact, Run, Subject};
use crate::ledger::{RunRange, BUCKETS};
use crate::recovery::{Cursor, RecoveryPage};
use crate::seal::MAX_PAYLOAD;
use serde::{Deserialize, Serialize};

/// Maximum number of messages in one datagram. A datagram with more is not from this protocol.
const MAX_MESSAGES: usize = 256;

/// One message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A message of the failure detector.
    Swim(Vec<u8>),
    /// Facts, pushed or requested. The receiver acknowledges each fact once it is persisted.
    Facts(Vec<Fact>),
    /// The sender has persisted these facts.
    #[serde(rename = "Have")]
    FactsPersisted(Vec<Dot>),
    /// The digest of the sender's ledger: one hash per bucket.
    Digest([u64; BUCKETS]),
    /// The facts that the sender has in one bucket.
    Summary {
        /// Number of the bucket.
        bucket: u8,
        /// Whether the receiver should send its own summary of the bucket.
        #[serde(rename = "echo")]
        reply_wanted: bool,
        /// Part of the summary.
        #[serde(rename = "stretches")]
        ranges: Vec<RunRange>,
    },
    /// Requests facts of one run that the sender lacks.
    #[serde(rename = "Want")]
    FactsRequest {
        /// The run that stated them.
        run: Run,
        /// Their sequence numbers.
        seqs: Vec<u64>,
    },
    /// Asks for the live facts about a subject.
    Query {
        /// Returned with the answer.
        nonce: u64,
        /// The subject asked about.
        subject: Subject,
    },
    /// Answers a query.
    Answer {
        /// The nonce of the query.
        nonce: u64,
        /// The live facts about the subject.
        facts: Vec<Fact>,
    },
    /// Asks the author of a fact, the receiver, for its copy, because two copies differ.
    #[serde(rename = "AskWord")]
    AuthorCopyRequest(Dot),
    /// The author's copy of a fact.
    #[serde(rename = "Word")]
    AuthorCopy(Box<Fact>),
    /// Claims on message ids, and the store id of the sender.
    Claims(u64, Vec<Claim>),
    /// The sender's replies on claims: key, sequence number of the claim, reply.
    #[serde(rename = "Claimed")]
    ClaimReplies(Vec<(Key, u64, ClaimReply)>),
    /// Outcomes of messages that the sender owned, and its store id. Each has the key, the sequence number
    /// of the claim and the outcome.
    #[serde(rename = "Ended")]
    Outcomes(u64, Vec<(Key, u64, claims::ClaimOutcome)>),
    /// Acknowledges outcomes by key.
    #[serde(rename = "EndKnown")]
    OutcomesRecorded(Vec<Key>),
    /// Asks whether the receiver owns this message.
    #[serde(rename = "Whose")]
    OwnerQuery(Key),
    /// Answers whether the sender, with this store id, owns the message.
    #[serde(rename = "Is")]
    OwnerReply(u64, Key, OwnerStatus),
    /// Partners that have asked the sender to wait: CRC-32 of the name and remaining milliseconds.
    #[serde(rename = "Waits")]
    WaitHints(Vec<(u32, u64)>),
    /// The sender has lost the claims that it granted and asks for those that the receiver knows, after
    /// this cursor.
    #[serde(rename = "Recall")]
    RecoveryRequest(Option<Cursor>),
    /// One page of the claims that the sender knows.
    #[serde(rename = "Recalled")]
    RecoveryPage(RecoveryPage),
}

/// Payload of a welcome: what its sender knows about the forwarder that said hello.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WelcomeInfo {
    /// The highest start number seen under that name, 0 if none.
    pub start: u64,
    /// The session in which it was seen.
    pub session: u64,
    /// Milliseconds since that forwarder was last heard.
    #[serde(rename = "heard")]
    pub heard_ms_ago: u64,
}

/// Packs messages, in order, into as few payloads as possible. A message longer than a payload is left out;
/// the limits on facts rule that out.
pub fn pack(messages: &[Message]) -> Vec<Vec<u8>> {
    let mut payloads: Vec<Vec<u8>> = Vec::new();
    for message in messages {
        let Ok(bytes) = postcard::to_stdvec(message) else { continue };
        if bytes.len() > MAX_PAYLOAD {
            continue;
        }
        match payloads.last_mut().filter(|p| p.len() + bytes.len() <= MAX_PAYLOAD) {
            Some(payload) => payload.extend(bytes),
            None => payloads.push(bytes),
        }
    }
    payloads
}

/// Reads a payload. Returns `None` if any part of it can't be decoded.
pub fn unpack(mut payload: &[u8]) -> Option<Vec<Message>> {
    let mut messages = Vec::new();
    while !payload.is_empty() {
        let (message, rest) = postcard::take_from_bytes(payload).ok()?;
        messages.push(message);
        payload = rest;
        if messages.len() > MAX_MESSAGES {
            return None;
        }
    }
    Some(messages)
}
