//! The HTTP requests, beside submitting messages, that a site offers to its clients: how messages
//! ended.
//!
//! `GET /v1/messages/ID` describes one message. `GET /v1/ends?after=CURSOR` returns the outcomes
//! after a cursor and acknowledges those up to it; if there is none, it waits for one.

use crate::events::{EventSender, LoopEvent, SiteRequest};
use crate::message_view::message_view;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io;
use std::time::Duration;
use tokio::sync::{oneshot, watch, Semaphore};
use tokio::time::{timeout_at, Instant};

/// Maximum wait of a poll, and the default.
const MAX_POLL_WAIT: Duration = Duration::from_secs(60);
const DEFAULT_POLL_WAIT: Duration = Duration::from_secs(20);
/// Maximum number of polls that wait at once: each occupies a connection.
const MAX_WAITING_POLLS: usize = 16;
/// Maximum number of outcomes in one response.
const MAX_ENDS: usize = 500;

/// What the client connections share for these requests.
pub(crate) struct EndsApi {
    /// Partner numbers by name.
    pub partners: HashMap<String, u32>,
    /// Sequence number of the latest outcome.
    last_end: watch::Receiver<u64>,
    polls: Semaphore,
}

impl EndsApi {
    /// `last_end` carries the sequence number of the latest outcome.
    pub fn new(partners: HashMap<String, u32>, last_end: watch::Receiver<u64>) -> Self {
        EndsApi { partners, last_end, polls: Semaphore::new(MAX_WAITING_POLLS) }
    }
}

/// A response with a JSON body.
fn json_response(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(format!("{body}\n")));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// A response with an error text.
fn error_response(status: StatusCode, problem: &str) -> Response<Full<Bytes>> {
    json_response(status, &json!({"error": problem}))
}

/// Answers `GET /v1/messages/ID`.
pub(crate) async fn message(id: &str, events: &EventSender) -> Response<Full<Bytes>> {
    let (reply, answer) = oneshot::channel();
    events.send(LoopEvent::SiteRequest(SiteRequest::Message { id: id.to_string(), reply }));
    match answer.await {
        Ok(Some(message)) => json_response(StatusCode::OK, &json!(message)),
        Ok(None) => json_response(StatusCode::NOT_FOUND, &json!({"id": id, "state": "unknown"})),
        Err(_) => error_response(StatusCode::SERVICE_UNAVAILABLE, "the forwarder is ending"),
    }
}

/// The parameters of a poll.
#[derive(Debug, PartialEq, Eq)]
struct Poll {
    after: Option<u64>,
    peek: bool,
    most: usize,
    wait: Duration,
}

/// Parses the query of a poll; the error names the parameter.
fn parse_poll(query: &str) -> Result<Poll, String> {
    let mut poll = Poll { after: None, peek: false, most: MAX_ENDS, wait: DEFAULT_POLL_WAIT };
    for pair in query.split('&').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let number = || value.parse::<u64>().map_err(|_| format!("{name}: {value:?} is no whole number"));
        match name {
            "after" => poll.after = Some(number()?),
            "most" => poll.most = (number()?.clamp(1, MAX_ENDS as u64)) as usize,
            "wait_ms" => poll.wait = Duration::from_millis(number()?).min(MAX_POLL_WAIT),
            "peek" => poll.peek = value != "0",
            _ => return Err(format!("{name} is not known; there are after, most, wait_ms and peek")),
        }
    }
    Ok(poll)
}

/// Answers `GET /v1/ends`.
pub(crate) async fn ends(query: &str, ends_api: &EndsApi, events: &EventSender) -> Response<Full<Bytes>> {
    let Poll { mut after, peek, most, wait } = match parse_poll(query) {
        Ok(poll) => poll,
        Err(problem) => return error_response(StatusCode::BAD_REQUEST, &problem),
    };
    let Ok(_permit) = ends_api.polls.try_acquire() else {
        let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, "too many polls wait already");
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
        return response;
    };
    let until = Instant::now() + wait;
    let mut last_end = ends_api.last_end.clone();
    loop {
        last_end.mark_unchanged();
        let (reply, answer) = oneshot::channel();
        events.send(LoopEvent::SiteRequest(SiteRequest::Ends { after, peek, most, reply }));
        let fetched = match answer.await {
            Ok(Ok(fetched)) => fetched,
            Ok(Err(e)) if e.kind() == io::ErrorKind::InvalidInput => {
                return error_response(StatusCode::BAD_REQUEST, &format!("after: {e}"));
            }
            Ok(Err(e)) => return error_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
            Err(_) => return error_response(StatusCode::SERVICE_UNAVAILABLE, "the forwarder is ending"),
        };
        let changed =
            fetched.ends.is_empty() && timeout_at(until, last_end.changed()).await.is_ok_and(|c| c.is_ok());
        if changed {
            // The acknowledgement is done; the rest of the wait is for new outcomes.
            after = Some(fetched.cursor);
            continue;
        }
        let line = |(cursor, end)| {
            let mut line = json!(message_view(end));
            line["cursor"] = json!(cursor);
            line
        };
        let lines: Vec<Value> = fetched.ends.iter().map(|(cursor, end)| line((cursor, end))).collect();
        return json_response(StatusCode::OK, &json!({"cursor": fetched.cursor, "ends": lines}));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn queries_are_parsed_or_rejected_with_a_reason() {
        let defaults = Poll { after: None, peek: false, most: MAX_ENDS, wait: DEFAULT_POLL_WAIT };
        assert_eq!(parse_poll(""), Ok(defaults));
        let expected = Poll { after: Some(7), peek: true, most: 1, wait: MAX_POLL_WAIT };
        assert_eq!(parse_poll("after=7&peek=1&most=0&wait_ms=99999999"), Ok(expected));
        for query in ["after=x", "after=-1", "after", "before=3"] {
            assert!(parse_poll(query).is_err(), "{query}");
        }
    }
}
