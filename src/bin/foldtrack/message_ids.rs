//! The ids of submitted messages. Those that are over are forgotten, so that they do not grow without bound.

use foldtrack_delivery::Micros;
use std::collections::hash_map::RandomState;
use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasher;

/// State of a message that was submitted before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubmissionState {
    /// Its client has no reply yet.
    Undecided,
    /// Accepted, and perhaps delivered.
    Accepted,
    /// Ended by a notice.
    Ended,
}

/// A remembered id.
#[derive(Clone, Copy, Debug)]
struct IdEntry {
    /// Number of the message.
    number: u64,
    state: SubmissionState,
}

/// When an id may be forgotten.
#[derive(Clone, Copy, Debug)]
struct IdExpiry {
    at: Micros,
    /// Hash of the id.
    hash: u64,
    /// Number of the message. The id may have been submitted again since.
    number: u64,
}

/// The ids of submitted messages, kept for some time after their end: a duplicate of a message that
/// is held or was delivered recently must not be sent.
#[derive(Debug, Default)]
pub(crate) struct MessageIds {
    hasher: RandomState,
    /// By hash of the id.
    entries: HashMap<u64, IdEntry>,
    /// The expiries of accepted ids, in the order of acceptance. An undecided id has none: it is
    /// accepted or removed with the answer to its client, and refused ones displace no other.
    expiries: VecDeque<IdExpiry>,
}

impl MessageIds {
    /// The state of a message, if its id is remembered.
    pub fn state(&self, id: &str) -> Option<SubmissionState> {
        self.entries.get(&self.hasher.hash_one(id)).map(|entry| entry.state)
    }

    /// The number of a message, if its id is remembered.
    pub fn number(&self, id: &str) -> Option<u64> {
        self.entries.get(&self.hasher.hash_one(id)).map(|entry| entry.number)
    }

    /// Number of ids that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Remembers the id of a message whose client has no reply yet.
    pub fn insert(&mut self, id: &str, number: u64) {
        let entry = IdEntry { number, state: SubmissionState::Undecided };
        self.entries.insert(self.hasher.hash_one(id), entry);
    }

    /// Changes the state of a remembered id, which is kept until `until` from its acceptance on.
    pub fn set_state(&mut self, id: &str, state: SubmissionState, until: Micros) {
        let hash = self.hasher.hash_one(id);
        let Some(entry) = self.entries.get_mut(&hash) else { return };
        if entry.state == SubmissionState::Undecided {
            self.expiries.push_back(IdExpiry { at: until, hash, number: entry.number });
        }
        entry.state = state;
    }

    /// Forgets an id: the client will, or may, submit the message again.
    pub fn remove(&mut self, id: &str) {
        self.entries.remove(&self.hasher.hash_one(id));
    }

    /// Forgets expired ids, and the oldest ones beyond `most`, but none whose message `is_open`: it is
    /// held, or its notice is owed.
    pub fn forget(&mut self, now: Micros, most: usize, is_open: impl Fn(u64) -> bool) {
        for _ in 0..self.expiries.len() {
            let Some(expiry) = self.expiries.front().copied() else { return };
            if expiry.at > now && self.expiries.len() <= most {
                return;
            }
            self.expiries.pop_front();
            if self.entries.get(&expiry.hash).is_none_or(|entry| entry.number != expiry.number) {
                continue;
            }
            if is_open(expiry.number) {
                self.expiries.push_back(expiry);
            } else {
                self.entries.remove(&expiry.hash);
            }
        }
    }
}

#[cfg(test)]
#[path = "message_ids_tests.rs"]
mod tests;
