//! Converts outcomes and attempts to the types of the control protocol, which the HTTP API uses as
//! well.

use foldtrack_control::{Attempt, Message};
use foldtrack_ends::{FinalStatus, MessageOutcome};

/// Converts an attempt.
pub(crate) fn attempt_view(attempt: &foldtrack_ends::Attempt) -> Attempt {
    let (endpoint, outcome) = (attempt.endpoint.clone(), attempt.outcome.as_str().into());
    let may_have_run = !attempt.outcome.never_ran();
    Attempt { at: attempt.at, until: attempt.until, endpoint, outcome, may_have_run }
}

/// Converts the outcome of a message.
pub(crate) fn message_view(end: &MessageOutcome) -> Message {
    let (state, retry_in_ms, harmless_until) = match end.result {
        FinalStatus::Delivered => ("delivered", 0, 0),
        FinalStatus::GivenUp => ("given_up", 0, 0),
        FinalStatus::InDoubt => ("in_doubt", 0, 0),
        FinalStatus::HandedBack { retry_in_ms } => ("handed_back", retry_in_ms, 0),
        FinalStatus::HandedBackUntil { retry_in_ms, until } => ("handed_back", retry_in_ms, until),
    };
    Message {
        id: end.id.clone(),
        state: state.into(),
        class: end.class.clone(),
        partner: end.partner.clone(),
        key: end.key.clone(),
        taken: end.taken,
        expires: 0,
        ended: end.ended,
        retry_in_ms,
        harmless_until,
        attempts: end.attempts.iter().map(attempt_view).collect(),
    }
}
