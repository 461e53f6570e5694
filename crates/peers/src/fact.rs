//! Facts: the immutable statements that orders are replicated as. A fact never changes; the state of a
//! subject is derived from all facts about it.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::net::SocketAddr;

/// Maximum number of facts that one fact names as superseded. Any others stay live beside it, and the most
/// restrictive one applies.
pub const MAX_SUPERSEDED: usize = 16;
/// Maximum length of any name in a fact, in bytes; the same limit as in the site file.
pub const MAX_NAME_LEN: usize = 64;

/// One run of one forwarder process. Start numbers increase with each start. The salt tells apart two runs
/// that took the same number: two processes under one name, or a process whose state folder was restored
/// from an older copy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run {
    /// The forwarder's name in `[peers]`.
    pub name: String,
    /// The start number of the run.
    pub start: u64,
    /// Random number drawn when the process starts.
    pub salt: u64,
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.name, self.start)
    }
}

/// The identifier of a fact: the run that stated it and its sequence number in that run, starting at 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Dot {
    /// The run that stated the fact.
    pub run: Run,
    /// Sequence number within the run.
    pub seq: u64,
}

impl fmt::Display for Dot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.run, self.seq)
    }
}

/// The subject of a fact.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// An endpoint, by its name.
    Endpoint(String),
    /// A partner, by its name.
    Partner(String),
    /// A network of clients, as `192.0.2.0/24`.
    Network(String),
}

impl Subject {
    /// The name of the endpoint, partner or network.
    pub fn name(&self) -> &str {
        let (Subject::Endpoint(name) | Subject::Partner(name) | Subject::Network(name)) = self;
        name
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self {
            Subject::Endpoint(_) => "endpoint",
            Subject::Partner(_) => "partner",
            Subject::Network(_) => "network",
        };
        write!(f, "{kind} {}", self.name())
    }
}

/// What a fact says about its subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FactAction {
    /// Stops traffic to or from the subject: a drain, a pause or a block.
    Close {
        /// Duration in milliseconds from when the fact was stated; 0 means until it is opened again.
        for_ms: u64,
    },
    /// Allows traffic to or from the subject again.
    Open,
    /// Removes the endpoint.
    Remove,
    /// Adds the endpoint.
    Add {
        /// The partner that the endpoint belongs to.
        partner: String,
        /// The address on which it listens.
        address: SocketAddr,
    },
}

/// The aspect of a subject that a fact is about. The two aspects are independent of each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Aspect {
    /// Whether traffic flows to or from the subject.
    Flow,
    /// Whether the subject exists.
    Presence,
}

impl FactAction {
    /// The aspect of the subject that this is about.
    pub fn aspect(&self) -> Aspect {
        match self {
            FactAction::Close { .. } | FactAction::Open => Aspect::Flow,
            FactAction::Remove | FactAction::Add { .. } => Aspect::Presence,
        }
    }

    /// Whether this stops or removes something. Any forwarder may state that on its own, and it prevails
    /// over the opposite if that was stated without knowledge of it.
    pub fn is_restrictive(&self) -> bool {
        matches!(self, FactAction::Close { .. } | FactAction::Remove)
    }

    /// Name for display and for the control protocol.
    pub fn name(&self) -> &'static str {
        match self {
            FactAction::Close { .. } => "close",
            FactAction::Open => "open",
            FactAction::Remove => "remove",
            FactAction::Add { .. } => "add",
        }
    }
}

/// A statement by one forwarder, with the earlier facts that it supersedes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// The identifier of the fact.
    pub dot: Dot,
    /// Lamport timestamp: greater than that of every fact that the author knew. It orders concurrent facts
    /// for display and breaks ties.
    pub lamport: u64,
    /// Wall clock of the author, in microseconds of Unix time. For display only: clocks may be hours apart.
    pub at: u64,
    /// The subject of the fact.
    pub subject: Subject,
    /// What the fact says about its subject.
    #[serde(rename = "word")]
    pub action: FactAction,
    /// The facts that this one supersedes: those that the author knew to be live.
    #[serde(rename = "over")]
    pub supersedes: Vec<Dot>,
}

impl Fact {
    /// The first 8 bytes of the SHA-256 of the encoded fact. Ledger digests are computed from it.
    pub fn short_hash(&self) -> u64 {
        // Encoding into memory can't fail for these types; an empty encoding would be reported as a
        // conflicting copy.
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        let hash = Sha256::digest(bytes);
        u64::from_le_bytes(std::array::from_fn(|n| hash[n]))
    }

    /// Whether all lengths and combinations are within bounds. Every fact received from elsewhere must be
    /// checked.
    pub fn is_valid(&self) -> bool {
        let valid_name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_LEN;
        let partner_valid = match &self.action {
            FactAction::Add { partner, .. } => valid_name(partner),
            _ => true,
        };
        let subject_valid = match (&self.subject, self.action.aspect()) {
            (_, Aspect::Flow) | (Subject::Endpoint(_), Aspect::Presence) => valid_name(self.subject.name()),
            _ => false,
        };
        let superseded_valid = self.supersedes.iter().all(|d| valid_name(&d.run.name) && d.seq > 0);
        partner_valid
            && subject_valid
            && superseded_valid
            && valid_name(&self.dot.run.name)
            && self.dot.seq > 0
            && self.supersedes.len() <= MAX_SUPERSEDED
    }

    /// Whether this copy is used rather than `other` with the same identifier while the author can't be
    /// asked: the more restrictive copy wins, and on a tie the one with the lower hash. Every forwarder
    /// comes to the same decision.
    pub fn wins_over(&self, other: &Fact) -> bool {
        let rank = |f: &Fact| (!f.action.is_restrictive(), f.short_hash());
        rank(self) < rank(other)
    }
}
