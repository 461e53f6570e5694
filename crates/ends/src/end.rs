//! One end.

use serde::{Deserialize, Serialize};

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Result {
    /// Its partner has answered that it took it.
    Delivered,
    /// It surely has had no effect: every attempt is known not to have run, or there was none.
    GivenUp,
    /// Given up, and an attempt may have run: it may have taken effect, and may not.
    InDoubt,
    /// Refused after it was taken on: it has had no effect, and handing it in again does no harm.
    HandedBack {
        /// After so many milliseconds, 0 for no advice.
        retry_in_ms: u64,
    },
}

/// An attempt, as far as it is known. Times are Unix time in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// When it began.
    pub at: u64,
    /// When its outcome came; 0 if it was out when the process ended.
    pub until: u64,
    /// The endpoint's name.
    pub endpoint: String,
    /// The outcome, in the words of the control protocol.
    pub outcome: String,
    /// It ran, or nobody can tell.
    pub may_have_run: bool,
}

/// The end of a message. Times are Unix time in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The message's number in the journal; never used twice in a state folder.
    pub number: u64,
    /// As the client named it.
    pub id: String,
    /// Its class.
    pub class: String,
    /// Its partner.
    pub partner: String,
    /// The key of its order, empty for none.
    pub key: String,
    /// When it was taken on.
    pub taken: u64,
    /// When it ended.
    pub ended: u64,
    /// How.
    pub result: Result,
    /// All its attempts, in their order.
    pub attempts: Vec<Attempt>,
}

impl End {
    /// Bytes that the end of a message with so many bytes of names, and so many attempts of endpoints with names of
    /// `endpoint` bytes, takes at most.
    pub fn room(names: usize, attempts: usize, endpoint: usize) -> u64 {
        // Frame 10, sequence and times 10 each, outcome 24, lengths.
        (128 + names + attempts * (64 + endpoint)) as u64
    }
}
