//! One end.

use serde::{Deserialize, Serialize};

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalStatus {
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
    /// The same, but an attempt may have run: handing it in again does no harm only while its partner drops a repeat.
    HandedBackUntil {
        /// After so many milliseconds, 0 for no advice.
        retry_in_ms: u64,
        /// Unix time in microseconds.
        until: u64,
    },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// It is out.
    Out,
    /// Served.
    Ok,
    /// Answered with an error.
    Error,
    /// Turned away: over a limit, shut or draining.
    #[serde(rename = "Full")]
    Rejected,
    /// No answer in time.
    TimedOut,
    /// No connection.
    NotConnected,
    /// The connection broke.
    Reset,
    /// Called off.
    Cancelled,
    /// Answered in a way that can't be read.
    #[serde(rename = "Spoilt")]
    UnreadableResponse,
    /// Not sent at all.
    NotSent,
    /// Out when its process ended.
    Lost,
    /// Of an earlier process, which knew that it had not run.
    DidNotRun,
    /// Of an earlier process, which could not tell.
    MayHaveRun,
    /// Answered that it will never be taken.
    Refused,
}

impl AttemptOutcome {
    /// The word of the control protocol.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptOutcome::Out => "out",
            AttemptOutcome::Ok => "ok",
            AttemptOutcome::Error => "error",
            AttemptOutcome::Rejected => "full",
            AttemptOutcome::TimedOut => "timed out",
            AttemptOutcome::NotConnected => "not connected",
            AttemptOutcome::Reset => "reset",
            AttemptOutcome::Cancelled => "cancelled",
            AttemptOutcome::UnreadableResponse => "spoilt",
            AttemptOutcome::NotSent => "not sent",
            AttemptOutcome::Lost => "lost",
            AttemptOutcome::DidNotRun => "did not run",
            AttemptOutcome::MayHaveRun => "may have run",
            AttemptOutcome::Refused => "refused",
        }
    }

    /// Whether it surely has not run.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected
                | AttemptOutcome::NotConnected
                | AttemptOutcome::NotSent
                | AttemptOutcome::DidNotRun
                | AttemptOutcome::Refused
        )
    }
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
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// The end of a message. Times are Unix time in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageOutcome {
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
    pub result: FinalStatus,
    /// All its attempts, in their order.
    pub attempts: Vec<Attempt>,
}

/// An end whose names stand elsewhere: it is written as an [`MessageOutcome`].
#[derive(Clone, Copy, Debug, Serialize)]
pub struct MessageOutcomeRef<'a> {
    /// See [`MessageOutcome::number`].
    pub number: u64,
    /// See [`MessageOutcome::id`].
    pub id: &'a str,
    /// See [`MessageOutcome::class`].
    pub class: &'a str,
    /// See [`MessageOutcome::partner`].
    pub partner: &'a str,
    /// See [`MessageOutcome::key`].
    pub key: &'a str,
    /// See [`MessageOutcome::taken`].
    pub taken: u64,
    /// See [`MessageOutcome::ended`].
    pub ended: u64,
    /// See [`MessageOutcome::result`].
    pub result: FinalStatus,
    /// See [`MessageOutcome::attempts`].
    pub attempts: &'a [Attempt],
}

impl MessageOutcomeRef<'_> {
    /// With names of its own.
    pub fn to_owned(&self) -> MessageOutcome {
        MessageOutcome {
            number: self.number,
            id: self.id.into(),
            class: self.class.into(),
            partner: self.partner.into(),
            key: self.key.into(),
            taken: self.taken,
            ended: self.ended,
            result: self.result,
            attempts: self.attempts.to_vec(),
        }
    }
}

impl MessageOutcome {
    /// By reference.
    pub fn by_ref(&self) -> MessageOutcomeRef<'_> {
        MessageOutcomeRef {
            number: self.number,
            id: &self.id,
            class: &self.class,
            partner: &self.partner,
            key: &self.key,
            taken: self.taken,
            ended: self.ended,
            result: self.result,
            attempts: &self.attempts,
        }
    }

    /// Bytes that the end of a message with so many bytes of names, and so many attempts of endpoints with names of
    /// `endpoint` bytes, takes at most.
    pub fn max_encoded_len(names: usize, attempts: usize, endpoint: usize) -> u64 {
        // Frame 10, sequence and times 10 each, outcome 24, lengths.
        (128 + names + attempts * (64 + endpoint)) as u64
    }
}
