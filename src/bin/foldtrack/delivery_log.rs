//! Log events with which an operator follows one message by its request id: each call and what
//! ended it, each retry, each end, and why a connection was closed. Times are in microseconds.

use crate::connections::ConnectionId;
use crate::events::CallEnd;
use foldtrack_delivery::{Micros, Outcome};
use foldtrack_journal::FailureNotice;
use std::time::Duration;

/// Why a connection is not kept for another call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// The target closed it.
    ClosedByTarget,
    /// The response did not end in time, or its connection no longer speaks HTTP.
    ResponseUnfinished,
    /// Bytes arrived that answer no request.
    UnexpectedBytes,
    /// Interim responses or TLS records without data went on for too long.
    TooMuchBeforeResponse,
    /// It was idle for too long, by the settings or by what was learned of resets.
    IdleTooLong,
    /// It has reached its maximum age.
    TooOld,
    /// The pool or the descriptors are used up.
    PoolFull,
    /// The target has sent a response that no request asked for: its connections carry one call.
    SingleUse,
    /// The process of the target has started again since the connection was opened.
    TargetRestarted,
    /// Nothing new is sent to the target, or the scheduler closes its idle connections.
    TargetClosed,
}

fn micros(duration: Option<Duration>) -> Option<u64> {
    duration.map(|duration| duration.as_micros() as u64)
}

/// Logs the end of a call. Calls that made no use of a connection are logged at a lower level.
pub(crate) fn call_ended(request_id: &str, target: &str, end: &CallEnd, took: Micros) {
    let (connection, earlier_calls) = match end.connection {
        Some(connection) => (Some(connection.number), Some(connection.earlier_calls)),
        None => (None, None),
    };
    let (idle_us, connect_us) = (micros(end.idle_for), micros(end.connect_time));
    let kept = end.reusable_connection.is_some();
    let CallEnd { attempt, outcome, status, .. } = end;
    if matches!(outcome, Outcome::NotSent | Outcome::Withheld) {
        tracing::debug!(
            request_id,
            attempt,
            target,
            ?outcome,
            connection,
            earlier_calls,
            idle_us,
            "call not made"
        );
        return;
    }
    tracing::info!(
        request_id,
        attempt,
        target,
        ?outcome,
        status,
        connection,
        earlier_calls,
        idle_us,
        connect_us,
        took_us = took,
        kept,
        cause = end.cause,
        "call ended"
    );
}

/// Logs that a message is sent again, after an attempt with this outcome.
pub(crate) fn retried(request_id: &str, attempt: u32, after: Option<Outcome>, target: &str) {
    tracing::info!(request_id, attempt, ?after, target, "retry");
}

/// Logs that a message is refused before its client was told that it is accepted.
pub(crate) fn refused(request_id: &str, notice: FailureNotice, after: Option<Outcome>) {
    tracing::info!(request_id, ?notice, ?after, "message refused");
}

/// Logs that an accepted message ends undelivered.
pub(crate) fn ended_undelivered(
    request_id: &str, notice: FailureNotice, attempts: u32, after: Option<Outcome>,
) {
    tracing::warn!(request_id, ?notice, attempts, ?after, "message ended undelivered");
}

/// Logs that a connection is closed that could have been kept.
pub(crate) fn connection_closed(connection: ConnectionId, idle: Duration, reason: CloseReason) {
    let ConnectionId { number, earlier_calls } = connection;
    let idle_us = idle.as_micros() as u64;
    match reason {
        CloseReason::UnexpectedBytes | CloseReason::TooMuchBeforeResponse => {
            tracing::warn!(connection = number, earlier_calls, idle_us, ?reason, "connection closed")
        }
        _ => tracing::info!(connection = number, earlier_calls, idle_us, ?reason, "connection closed"),
    }
}
