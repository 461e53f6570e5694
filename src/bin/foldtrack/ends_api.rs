//! What clients of a site of their own ask on the listener beside handing messages in: how messages ended.
//!
//! `GET /v1/messages/ID` tells of one message. `GET /v1/ends?after=CURSOR` gives the ends behind a cursor and
//! acknowledges those up to it; where there is none, it waits for one.

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

/// Longest wait of a poll, and the one of a poll that names none.
const LONGEST_POLL: Duration = Duration::from_secs(60);
const USUAL_POLL: Duration = Duration::from_secs(20);
/// Polls that wait at once: each holds a connection that others could use.
const POLLS: usize = 16;
/// Ends in one answer at most.
const MOST: usize = 500;

/// What the connections of a site's clients share beside the desk.
pub(crate) struct EndsApi {
    /// Numbers of partners by name.
    pub partners: HashMap<String, u32>,
    /// Sequence number of the last end.
    seen: watch::Receiver<u64>,
    polls: Semaphore,
}

impl EndsApi {
    pub fn new(partners: HashMap<String, u32>, seen: watch::Receiver<u64>) -> Self {
        EndsApi { partners, seen, polls: Semaphore::new(POLLS) }
    }
}

fn told(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(format!("{body}\n")));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn wrong(status: StatusCode, problem: &str) -> Response<Full<Bytes>> {
    told(status, &json!({"error": problem}))
}

/// Answers `GET /v1/messages/ID`.
pub(crate) async fn message(id: &str, events: &EventSender) -> Response<Full<Bytes>> {
    let (reply, answer) = oneshot::channel();
    events.send(LoopEvent::SiteRequest(SiteRequest::Message { id: id.to_string(), reply }));
    match answer.await {
        Ok(Some(message)) => told(StatusCode::OK, &json!(message)),
        Ok(None) => told(StatusCode::NOT_FOUND, &json!({"id": id, "state": "unknown"})),
        Err(_) => wrong(StatusCode::SERVICE_UNAVAILABLE, "the forwarder is ending"),
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

fn poll(query: &str) -> Result<Poll, String> {
    let mut poll = Poll { after: None, peek: false, most: MOST, wait: USUAL_POLL };
    for pair in query.split('&').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let number = || value.parse::<u64>().map_err(|_| format!("{name}: {value:?} is no whole number"));
        match name {
            "after" => poll.after = Some(number()?),
            "most" => poll.most = (number()?.clamp(1, MOST as u64)) as usize,
            "wait_ms" => poll.wait = Duration::from_millis(number()?).min(LONGEST_POLL),
            "peek" => poll.peek = value != "0",
            _ => return Err(format!("{name} is not known; there are after, most, wait_ms and peek")),
        }
    }
    Ok(poll)
}

/// Answers `GET /v1/ends`.
pub(crate) async fn ends(query: &str, ends_api: &EndsApi, events: &EventSender) -> Response<Full<Bytes>> {
    let Poll { mut after, peek, most, wait } = match poll(query) {
        Ok(poll) => poll,
        Err(problem) => return wrong(StatusCode::BAD_REQUEST, &problem),
    };
    let Ok(_place) = ends_api.polls.try_acquire() else {
        let mut response = wrong(StatusCode::SERVICE_UNAVAILABLE, "too many polls wait already");
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
        return response;
    };
    let until = Instant::now() + wait;
    let mut seen = ends_api.seen.clone();
    loop {
        seen.mark_unchanged();
        let (reply, answer) = oneshot::channel();
        events.send(LoopEvent::SiteRequest(SiteRequest::Ends { after, peek, most, reply }));
        let fetched = match answer.await {
            Ok(Ok(fetched)) => fetched,
            Ok(Err(e)) if e.kind() == io::ErrorKind::InvalidInput => {
                return wrong(StatusCode::BAD_REQUEST, &format!("after: {e}"));
            }
            Ok(Err(e)) => return wrong(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
            Err(_) => return wrong(StatusCode::SERVICE_UNAVAILABLE, "the forwarder is ending"),
        };
        let ended =
            fetched.ends.is_empty() && timeout_at(until, seen.changed()).await.is_ok_and(|c| c.is_ok());
        if ended {
            // What was acknowledged is; the rest of the wait is for what comes.
            after = Some(fetched.cursor);
            continue;
        }
        let line = |(cursor, end)| {
            let mut line = json!(message_view(end));
            line["cursor"] = json!(cursor);
            line
        };
        let lines: Vec<Value> = fetched.ends.iter().map(|(cursor, end)| line((cursor, end))).collect();
        return told(StatusCode::OK, &json!({"cursor": fetched.cursor, "ends": lines}));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn polls_are_read_or_told_what_is_wrong() {
        let usual = Poll { after: None, peek: false, most: MOST, wait: USUAL_POLL };
        assert_eq!(poll(""), Ok(usual));
        let told = Poll { after: Some(7), peek: true, most: 1, wait: LONGEST_POLL };
        assert_eq!(poll("after=7&peek=1&most=0&wait_ms=99999999"), Ok(told));
        for query in ["after=x", "after=-1", "after", "before=3"] {
            assert!(poll(query).is_err(), "{query}");
        }
    }
}
