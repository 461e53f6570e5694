//! The record of how a message ended, with the attempts made for it.

use serde::{Deserialize, Serialize};

/// Final status of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FinalStatus {
    /// The partner confirmed that it accepted the message.
    Delivered,
    /// The message certainly had no effect: no attempt was made, or every attempt is known not to have run.
    GivenUp,
    /// Given up after an attempt that may have run: the message may or may not have taken effect.
    InDoubt,
    /// Returned to the client after it was accepted. It had no effect, so sending it again is safe.
    HandedBack {
        /// Suggested delay before sending it again, in milliseconds; 0 if there is no suggestion.
        retry_in_ms: u64,
    },
    /// Returned to the client, but an attempt may have run: sending it again is safe only while the partner
    /// still discards duplicates of it.
    HandedBackUntil {
        /// Suggested delay before sending it again, in milliseconds; 0 if there is no suggestion.
        retry_in_ms: u64,
        /// When the partner stops discarding duplicates, Unix time in microseconds.
        until: u64,
    },
}

/// Outcome of one delivery attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The attempt is still in flight.
    Out,
    /// The partner accepted the message.
    Ok,
    /// The partner answered with an error.
    Error,
    /// The endpoint declined the call: over a limit, closed or draining.
    #[serde(rename = "Full")]
    Rejected,
    /// No response before the timeout.
    TimedOut,
    /// No connection could be established.
    NotConnected,
    /// The connection was reset.
    Reset,
    /// Cancelled by the forwarder.
    Cancelled,
    /// The response could not be parsed.
    #[serde(rename = "Spoilt")]
    UnreadableResponse,
    /// The request was never sent.
    NotSent,
    /// In flight when the forwarder process ended; the outcome is unknown.
    Lost,
    /// Made by an earlier process, which recorded that the attempt did not run.
    DidNotRun,
    /// Made by an earlier process, which recorded that the attempt may have run.
    MayHaveRun,
    /// The partner answered that it will never accept this message.
    Refused,
}

impl AttemptOutcome {
    /// The outcome's name in the control protocol.
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

    /// Whether the attempt is known not to have run at the partner.
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

/// One attempt to deliver a message. Times are Unix time in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// When the attempt began.
    pub at: u64,
    /// When its outcome was known; 0 if it was in flight when the process ended.
    pub until: u64,
    /// Name of the endpoint that was called.
    pub endpoint: String,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
}

/// Final outcome of a message, with all its attempts. Times are Unix time in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageOutcome {
    /// The message's number in the journal, unique within a state folder.
    pub number: u64,
    /// The id that the client gave the message.
    pub id: String,
    /// Name of the message's class.
    pub class: String,
    /// Name of the partner it was addressed to.
    pub partner: String,
    /// Its order key; empty if the message is not ordered.
    pub key: String,
    /// When the message was accepted from the client.
    pub taken: u64,
    /// When the message reached its final status.
    pub ended: u64,
    /// The final status.
    pub result: FinalStatus,
    /// All attempts, in the order in which they began.
    pub attempts: Vec<Attempt>,
}

/// Borrowed form of [`MessageOutcome`]; both serialize to the same bytes.
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
    /// Copies the borrowed data into an [`MessageOutcome`].
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
    /// The borrowed form of this record.
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

    /// Upper bound of the stored size in bytes, where the id, class, partner and order key have `names` bytes
    /// together and each of `attempts` attempts names an endpoint with at most `endpoint` bytes.
    pub fn max_encoded_len(names: usize, attempts: usize, endpoint: usize) -> u64 {
        // Frame header 10, message number and times 10 each, status 24, and the length prefixes.
        (128 + names + attempts * (64 + endpoint)) as u64
    }
}
