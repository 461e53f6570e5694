//! Calls to targets: one call and its outcome.

use crate::connections::{Connection, Failure};
use crate::descriptors::Drawn;
use crate::door::{CallEnd, Input, Inputs};
use crate::message::Message;
use bytes::Bytes;
use hatchline::{LimitReport, Outcome, TargetId};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout, Instant};

/// The rest of an answer, whose meaning its first line has told, must come within this span and size for the
/// connection to be used again.
const REST_WAIT: Duration = Duration::from_millis(20);
const REST_BYTES: usize = 64 * 1024;
/// ENFILE and EMFILE.
const OWN_LIMITS: [i32; 2] = [23, 24];
/// A reported limit beyond this, in calls a second, can't be meant.
const HIGHEST_RATE: f64 = 1e6;

/// A call to be made.
pub(crate) struct Call {
    pub number: u64,
    pub attempt: u32,
    pub target: TargetId,
    pub address: SocketAddr,
    pub message: Arc<Message>,
    pub dial_timeout: Duration,
    /// A wait that is told counts for so long at most.
    pub longest_wait: Duration,
    pub until: Instant,
    /// One that stood idle, and for how long.
    pub connection: Option<(Connection, Duration)>,
    /// For a new connection; none if there is none left for calls.
    pub descriptor: Option<Drawn>,
    /// Answers told as limit reports.
    pub reports: bool,
}

/// Makes one call and tells its end: exactly once, and never tries again by itself.
pub(crate) async fn call(call: Call, mut cancelled: oneshot::Receiver<()>, inputs: Inputs) {
    let mut end = CallEnd {
        number: call.number,
        attempt: call.attempt,
        target: call.target,
        begun: Instant::now(),
        outcome: Outcome::ConnectFailed,
        over: false,
        wait_until: None,
        report: None,
        idle: call.connection.as_ref().map(|(_, idle)| *idle),
        connection: None,
    };
    let Call {
        message,
        connection: idle,
        descriptor,
        until,
        dial_timeout,
        address,
        reports,
        longest_wait,
        ..
    } = call;
    let reused = idle.is_some();
    // From when the request is with the connection only an answer proves that it has not run.
    let mut handed_over = None;
    let exchange = async {
        let mut connection = match idle {
            Some((connection, _)) => connection,
            None => {
                match timeout(
                    dial_timeout,
                    Connection::open(address, Some(descriptor.ok_or(Outcome::NotSent)?)),
                )
                .await
                {
                    Ok(Ok(connection)) => connection,
                    // Out of descriptors here: that says nothing of the target.
                    Ok(Err(e)) if OWN_LIMITS.map(Some).contains(&e.raw_os_error()) => {
                        return Err(Outcome::NotSent)
                    }
                    _ => return Err(Outcome::ConnectFailed),
                }
            }
        };
        let request = request(&message, address, until).ok_or(Outcome::NotSent)?;
        handed_over = Some(connection.tap.clone());
        match connection.send(request).await {
            Ok(response) => Ok((connection, response)),
            // A connection that was closed while it stood idle tells nothing of the target's health.
            Err(Failure::Unsent) if reused => Err(Outcome::NotSent),
            Err(Failure::Unsent) => Err(Outcome::ConnectFailed),
            Err(Failure::Broken) => Err(Outcome::Reset),
            Err(Failure::Spoilt) => Err(Outcome::Spoilt),
        }
    };
    let answer = tokio::select! {
        biased;
        answer = exchange => answer.map_err(Some),
        () = sleep_until(until) => Err(None),
        Ok(()) = &mut cancelled => Err(Some(Outcome::Cancelled)),
    };
    match answer {
        Ok((mut connection, response)) => {
            read_head(&mut end, &response, reports, longest_wait);
            let response_status = response.status();
            let rest = timeout(REST_WAIT, connection.finish(response.into_body(), REST_BYTES)).await;
            // After a switch of protocols it speaks another one.
            let usable = matches!(rest, Ok(Some(_))) && response_status != StatusCode::SWITCHING_PROTOCOLS;
            end.connection = usable.then_some(connection);
        }
        // The first line is true though nothing else of the answer can be read: the message is delivered.
        Err(_) if handed_over.as_ref().is_some_and(|tap| tap.says_ok()) => {
            (end.outcome, end.over) = (Outcome::Ok, true);
        }
        Err(Some(Outcome::Cancelled)) if handed_over.is_none() => end.outcome = Outcome::NotSent,
        Err(None) if handed_over.is_none() => end.outcome = Outcome::ConnectFailed,
        Err(None) => end.outcome = Outcome::TimedOut,
        Err(Some(outcome)) => end.outcome = outcome,
    }
    inputs.send(Input::CallEnded(end));
}

fn request(message: &Message, address: SocketAddr, until: Instant) -> Option<Request<Full<Bytes>>> {
    let left = until.saturating_duration_since(Instant::now()).as_micros();
    let mut request = Request::builder()
        .method(Method::POST)
        .uri("/v1/messages")
        .header(HOST, address.to_string())
        .header("X-Request-Id", &message.id)
        .header("X-Deadline", format!("{left}u"))
        .header(CONTENT_TYPE, "application/octet-stream");
    if let Some(key) = &message.idempotency_key {
        request = request.header("Idempotency-Key", key);
    }
    request.body(Full::new(message.body.clone())).ok()
}

/// What an answer means, by the table of the protocol. What is not in it may have run.
fn read_head(end: &mut CallEnd, response: &Response<Incoming>, reports: bool, longest_wait: Duration) {
    let headers = response.headers();
    end.outcome = match response.status() {
        StatusCode::OK => Outcome::Ok,
        StatusCode::TOO_MANY_REQUESTS => Outcome::Full,
        StatusCode::SERVICE_UNAVAILABLE if headers.contains_key("X-Line-Busy") => Outcome::NotSent,
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Full,
        StatusCode::GATEWAY_TIMEOUT | StatusCode::GONE => Outcome::NotSent,
        _ => Outcome::Error,
    };
    end.over = matches!(response.status(), StatusCode::OK | StatusCode::GONE);
    if end.outcome == Outcome::Full {
        let wait = text(headers, "X-Come-Back-Ms").and_then(|ms| ms.trim().parse::<f64>().ok());
        // A huge one would shut the destination for good, or overflow and not be heeded at all.
        let wait = wait.filter(|ms| *ms >= 0.0).map(|ms| ms.min(longest_wait.as_secs_f64() * 1e3));
        end.wait_until = wait.map(|ms| Instant::now() + Duration::from_secs_f64(ms / 1e3));
    }
    end.report = text(headers, "X-Load").filter(|_| reports).and_then(limit_report);
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn limit_report(text: &str) -> Option<LimitReport> {
    let value = |name: &str| {
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        let mut named = pairs.filter(|(n, _)| n.trim() == name);
        named.next()?.1.trim().parse::<f64>().ok().filter(|v| v.is_finite())
    };
    let share_left = value("x0").filter(|share| (0.0..=1.0).contains(share))?;
    let rate = value("x1").filter(|rate| (0.0..=HIGHEST_RATE).contains(rate))?;
    Some(LimitReport { share_left, rate })
}
