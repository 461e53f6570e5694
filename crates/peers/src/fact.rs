//! Facts: what was ordered, once and for all. A fact never changes; what holds follows from all of them.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::net::SocketAddr;

/// Facts that one names as superseded at most. What is left out stays alive beside it, and the safer word holds.
pub const MOST_OVER: usize = 16;
/// Longest name of anything in a fact, in bytes: the site file's own bound.
pub const LONGEST_NAME: usize = 64;

/// One life of one forwarder. Start numbers grow; the salt tells two lives apart that took the same number, as two
/// processes under one name do, or one whose state folder came back from an older copy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run {
    /// The forwarder's name in `[peers]`.
    pub name: String,
    /// Its start number.
    pub start: u64,
    /// Drawn at the start.
    pub salt: u64,
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.name, self.start)
    }
}

/// The name of a fact: the life that stated it, and its place in that life, from 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Dot {
    /// Who stated it.
    pub run: Run,
    /// Its place.
    pub seq: u64,
}

impl fmt::Display for Dot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.run, self.seq)
    }
}

/// What a fact is about.
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
    /// Its name.
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

/// What is said of a subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FactAction {
    /// Nothing new goes there, or comes from there: a drain, a pause, a block.
    Close {
        /// For so long from when it was stated, in milliseconds; 0 until it is opened.
        for_ms: u64,
    },
    /// The opposite.
    Open,
    /// The endpoint is no more.
    Remove,
    /// The endpoint is there.
    Add {
        /// Whose it is.
        partner: String,
        /// Where it listens.
        address: SocketAddr,
    },
}

/// What of a subject a word is about: the two are independent of one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Aspect {
    /// Whether anything goes there.
    Flow,
    /// Whether it exists.
    Presence,
}

impl FactAction {
    /// What it is about.
    pub fn aspect(&self) -> Aspect {
        match self {
            FactAction::Close { .. } | FactAction::Open => Aspect::Flow,
            FactAction::Remove | FactAction::Add { .. } => Aspect::Presence,
        }
    }

    /// Whether it makes things safer: such a word may be said by any forwarder alone, and holds against its opposite
    /// that was said without knowledge of it.
    pub fn is_restrictive(&self) -> bool {
        matches!(self, FactAction::Close { .. } | FactAction::Remove)
    }

    /// In a word, for people.
    pub fn name(&self) -> &'static str {
        match self {
            FactAction::Close { .. } => "close",
            FactAction::Open => "open",
            FactAction::Remove => "remove",
            FactAction::Add { .. } => "add",
        }
    }
}

/// A statement by one forwarder, with what it knew to stand against it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// Its name.
    pub dot: Dot,
    /// Greater than that of every fact that its author knew: sorts concurrent ones for display, and settles ties.
    pub lamport: u64,
    /// When, by the author's wall clock, Unix time in microseconds. For people alone: clocks may be hours apart.
    pub at: u64,
    /// What it is about.
    pub subject: Subject,
    /// What it says.
    #[serde(rename = "word")]
    pub action: FactAction,
    /// The facts that it supersedes: those its author knew to hold.
    #[serde(rename = "over")]
    pub supersedes: Vec<Dot>,
}

impl Fact {
    /// The first 8 bytes of the SHA-256 of its encoding: what digests are made of.
    pub fn sum(&self) -> u64 {
        // Encoding into memory fails for no value of these types; an empty one would be told as damage.
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        let hash = Sha256::digest(bytes);
        u64::from_le_bytes(std::array::from_fn(|n| hash[n]))
    }

    /// Whether it is within its bounds, as everything must be that comes from elsewhere.
    pub fn is_sound(&self) -> bool {
        let short = |name: &str| !name.is_empty() && name.len() <= LONGEST_NAME;
        let word = match &self.action {
            FactAction::Add { partner, .. } => short(partner),
            _ => true,
        };
        let subject = match (&self.subject, self.action.aspect()) {
            (_, Aspect::Flow) | (Subject::Endpoint(_), Aspect::Presence) => short(self.subject.name()),
            _ => false,
        };
        let dots = self.supersedes.iter().all(|d| short(&d.run.name) && d.seq > 0);
        word && subject
            && dots
            && short(&self.dot.run.name)
            && self.dot.seq > 0
            && self.supersedes.len() <= MOST_OVER
    }

    /// Which of two copies under one name counts while the author can't be asked: the safer one, at a tie the one of
    /// the lower sum. Every forwarder comes to the same.
    pub fn counts_over(&self, other: &Fact) -> bool {
        let rank = |f: &Fact| (!f.action.is_restrictive(), f.sum());
        rank(self) < rank(other)
    }
}
