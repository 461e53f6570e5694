//! One call to a target and its outcome.

use crate::clock::Clock;
use crate::connections::{Connection, SendError};
use crate::delivery_log::CloseReason;
use crate::descriptors::DescriptorPermit;
use crate::events::{CallEnd, EventSender, LoopEvent};
use crate::message::Message;
use crate::partner_protocol::PartnerProtocol;
use crate::streams::ResponseTap;
use foldtrack_delivery::settings::DeploymentSettings;
use foldtrack_delivery::{LimitReport, Micros, Outcome, TargetId};
use foldtrack_dialect::{CallContext, Dialect, Meaning, Values};
use foldtrack_journal::path_error::is_descriptor_shortage;
use foldtrack_preflight::{PreflightCheck, PreflightError};
use http::request::Parts;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::{sleep_until, timeout, Instant};
use tokio_rustls::rustls;

/// Time and size limit for the rest of a response, after its head, within which the connection can
/// be reused.
const BODY_TIMEOUT: Duration = Duration::from_millis(20);
const MAX_BODY_BYTES: usize = 64 * 1024;
/// A timer that fires this late indicates that the process stalled: pending socket reads are
/// processed before anything is decided.
pub(crate) const STALL_THRESHOLD: Duration = Duration::from_millis(10);
/// Turns of the runtime in which pending socket reads are processed after a stall. A response head
/// gets from the socket to the preflight check within four of them, under TLS too, and the event
/// loop's own turn comes after [`crate::TASKS_PER_SOCKET_POLL`] tasks, however many are ready.
const RUNTIME_TURNS: u32 = 16;
/// Reported limits above this, in calls per second, are taken for errors.
const MAX_LIMIT_RATE: f64 = 1e6;

/// A call to be made.
pub(crate) struct Call {
    /// Number of the message.
    pub number: u64,
    /// Number of the attempt.
    pub attempt: u32,
    /// The target that is called.
    pub target: TargetId,
    /// Address of the target.
    pub address: SocketAddr,
    /// The message to send.
    pub message: Arc<Message>,
    /// Timeout for opening a connection.
    pub dial_timeout: Duration,
    /// The call is given up at this time.
    pub deadline: Instant,
    /// A reused connection, and how long it was idle.
    pub connection: Option<(Connection, Duration)>,
    /// The permit for a new connection; none if no descriptor is left for calls.
    pub descriptor: Option<DescriptorPermit>,
    /// Read limit reports from responses (PROTOCOL).
    pub limit_reports: bool,
    /// The preflight check: whether the call may still be sent, by the latest facts.
    pub preflight: PreflightCheck,
    /// The clock of the process.
    pub clock: Clock,
    /// How the partner is called.
    pub protocol: Arc<PartnerProtocol>,
    /// The settings, for the names of classes.
    pub settings: Arc<DeploymentSettings>,
}

/// Why there is no response to interpret.
enum NoResponse {
    /// The outcome is known without a response.
    Outcome(Outcome),
    /// No connection could be opened, for this reason.
    ConnectFailed(String),
    /// The message lacks what this partner's protocol needs, and never will have it.
    Unsendable,
    /// Newer facts forbid the call. The connection can be reused.
    PreflightError(PreflightError, Option<Box<Connection>>),
}

impl Call {
    /// The end of a call of which nothing has been done yet. The caller decides what becomes of its
    /// connection.
    pub fn unstarted_end(&self, outcome: Outcome) -> CallEnd {
        CallEnd {
            number: self.number,
            attempt: self.attempt,
            target: self.target,
            started_at: Instant::now(),
            outcome,
            status: None,
            connection: None,
            settled: false,
            past_deadline: false,
            refused: false,
            cause: String::new(),
            wait_until: None,
            report: None,
            idle_for: self.connection.as_ref().map(|(_, idle)| *idle),
            connect_time: None,
            unasked_response: false,
            reusable_connection: None,
        }
    }
}

/// Opens a connection ahead of demand and reports the result.
pub(crate) async fn dial(
    target: TargetId, number: u64, address: SocketAddr, protocol: Arc<PartnerProtocol>,
    descriptor: DescriptorPermit, dial_timeout: Duration, events: EventSender,
) {
    let begun = Instant::now();
    let opening = Connection::open(address, protocol.encryption.as_ref(), Some(descriptor));
    let opened = timeout(dial_timeout, opening).await.ok().and_then(Result::ok);
    events.send(LoopEvent::Preconnected { target, number, opened: opened.map(|c| (c, begun.elapsed())) });
}

/// Describes why there is no connection.
fn describe_io_error(error: &io::Error) -> String {
    let tls = error.get_ref().and_then(|inner| inner.downcast_ref::<rustls::Error>());
    tls.map_or_else(|| error.to_string(), foldtrack_tls::describe_error)
}

/// Makes one call and reports its end exactly once; it never retries by itself.
pub(crate) async fn call(call: Call, mut cancelled: oneshot::Receiver<()>, events: EventSender) {
    let mut end = call.unstarted_end(Outcome::ConnectFailed);
    let Call {
        message,
        connection: idle,
        descriptor,
        deadline,
        dial_timeout,
        address,
        limit_reports,
        protocol,
        settings,
        preflight,
        clock,
        ..
    } = call;
    let reused = idle.is_some();
    // Once the request has been passed to the connection, only a response proves that it has not
    // run.
    let mut handed_over = None;
    let mut dialled = None;
    let mut used = None;
    let mut unasked_response = false;
    let exchange = async {
        let mut connection = match idle {
            Some((connection, _)) => connection,
            None => {
                // No connection is opened for a call that must not be sent.
                preflight.check(clock.now()).map_err(|reason| NoResponse::PreflightError(reason, None))?;
                let descriptor = Some(descriptor.ok_or(NoResponse::Outcome(Outcome::NotSent))?);
                let begun = Instant::now();
                let opening = Connection::open(address, protocol.encryption.as_ref(), descriptor);
                match timeout(dial_timeout, opening).await {
                    Ok(Ok(connection)) => {
                        dialled = Some(begun.elapsed());
                        connection
                    }
                    // This process is out of descriptors, which says nothing about the target.
                    Ok(Err(error)) if is_descriptor_shortage(&error) => {
                        return Err(NoResponse::Outcome(Outcome::NotSent))
                    }
                    Ok(Err(e)) => return Err(NoResponse::ConnectFailed(describe_io_error(&e))),
                    Err(_) => return Err(NoResponse::ConnectFailed("no connection in time".into())),
                }
            }
        };
        used = Some(connection.id());
        if clock.now() > preflight.decided_at + STALL_THRESHOLD.as_micros() as Micros {
            yield_to_socket_reads().await;
        }
        // Guards against facts that arrived while the connection was opened: up to the connect
        // timeout lies between the decision and the first byte. A destination that has meanwhile
        // requested a wait, is draining or has failed is sent nothing new.
        if let Err(reason) = preflight.check(clock.now()) {
            return Err(NoResponse::PreflightError(reason, Some(Box::new(connection))));
        }
        // The connection was opened just as the deadline passed: a request that was due in time
        // would be written too late.
        if Instant::now() >= deadline {
            return Err(NoResponse::Outcome(Outcome::ConnectFailed));
        }
        // Bytes that arrived since the connection was chosen answer no request: the next response
        // on it would be taken for the answer to this call.
        if connection.has_unasked_bytes() {
            connection.log_close(CloseReason::UnexpectedBytes);
            unasked_response = true;
            return Err(NoResponse::Outcome(Outcome::NotSent));
        }
        let request = Request::from_parts(
            head(&message, address, deadline, &protocol, &settings)?,
            Full::new(message.body.clone()),
        );
        handed_over = Some(connection.tap.clone());
        match connection.send(request).await {
            Ok(response) => Ok((connection, response)),
            // A connection that was closed while idle says nothing about the target's health.
            Err(SendError::Unsent) if reused => Err(NoResponse::Outcome(Outcome::NotSent)),
            Err(SendError::Unsent) => Err(NoResponse::Outcome(Outcome::ConnectFailed)),
            Err(SendError::Refused(reason)) if !reused => Err(NoResponse::ConnectFailed(reason)),
            Err(SendError::ConnectionLost | SendError::Refused(_)) => {
                Err(NoResponse::Outcome(Outcome::Reset))
            }
            Err(SendError::UnreadableResponse) => {
                if connection.tap.exceeds_limit() {
                    connection.log_close(CloseReason::TooMuchBeforeResponse);
                }
                Err(NoResponse::Outcome(Outcome::UnreadableResponse))
            }
        }
    };
    let response = tokio::select! {
        biased;
        answer = exchange => answer.map_err(Some),
        () = sleep_until(deadline) => Err(None),
        Ok(()) = &mut cancelled => Err(Some(NoResponse::Outcome(Outcome::Cancelled))),
    };
    (end.connect_time, end.connection, end.unasked_response) = (dialled, used, unasked_response);
    end.past_deadline = Instant::now() >= deadline;
    if let (Err(None | Some(NoResponse::Outcome(Outcome::Cancelled))), Some(tap)) = (&response, &handed_over)
    {
        tap.read_pending();
        tap.reset_on_close();
    }
    // Recorded here and not when the event loop handles the end of the call: other calls may be
    // about to be sent.
    let record_wait = |end: &mut CallEnd, headers: &HeaderMap| {
        let now = clock.now();
        end.wait_until =
            protocol.dialect.wait(headers, clock.unix_time(now)).map(|wait| now.saturating_add(wait));
        end.wait_until.into_iter().for_each(|until| preflight.route.defer_until(until));
    };
    let no_response = response.is_err();
    match response {
        Ok((mut connection, response)) => {
            let response_status = response.status();
            end.status = Some(response_status.as_u16());
            apply_response_head(
                &mut end,
                response_status,
                response.headers(),
                &protocol.dialect,
                limit_reports,
            );
            if end.outcome == Outcome::Rejected {
                record_wait(&mut end, response.headers());
            }
            let body =
                timeout(BODY_TIMEOUT, connection.finish_unread(response.into_body(), MAX_BODY_BYTES)).await;
            // After a protocol switch the connection no longer speaks HTTP.
            let usable = matches!(body, Ok(Some(_))) && response_status != StatusCode::SWITCHING_PROTOCOLS;
            if !usable {
                let reason = connection.defect().unwrap_or(CloseReason::ResponseUnfinished);
                connection.log_close(reason);
                end.unasked_response = reason == CloseReason::UnexpectedBytes;
            }
            end.reusable_connection = usable.then_some(connection);
        }
        // The status line counts although the rest of the response can't be read: the message is
        // delivered.
        Err(_) if handed_over.as_ref().is_some_and(|tap| is_delivered(tap, &protocol.dialect)) => {
            (end.outcome, end.settled) = (Outcome::Ok, true);
            end.status = handed_over.as_ref().and_then(|tap| tap.status());
        }
        Err(Some(NoResponse::PreflightError(reason, connection))) => {
            end.outcome = Outcome::Withheld;
            // A draining endpoint is sent nothing new, so its connection is not kept.
            end.reusable_connection =
                connection.filter(|_| reason != PreflightError::Closed).map(|connection| *connection);
            end.wait_until =
                if let PreflightError::RetryAfter { until } = reason { Some(until) } else { None };
        }
        Err(Some(NoResponse::Unsendable)) => {
            (end.outcome, end.settled, end.refused) = (Outcome::NotSent, true, true)
        }
        Err(Some(NoResponse::ConnectFailed(reason))) => {
            (end.outcome, end.cause) = (Outcome::ConnectFailed, reason)
        }
        Err(Some(NoResponse::Outcome(Outcome::Cancelled))) if handed_over.is_none() => {
            end.outcome = Outcome::NotSent
        }
        Err(None) if handed_over.is_none() => end.outcome = Outcome::ConnectFailed,
        Err(None) => end.outcome = Outcome::TimedOut,
        Err(Some(NoResponse::Outcome(outcome))) => end.outcome = outcome,
    }
    // A requested wait is honoured although the rest of its response was cut off, reset,
    // unreadable, or not waited for.
    if let Some((status, headers)) = handed_over.filter(|_| no_response).and_then(|t| t.head()) {
        if protocol.dialect.meaning(status, &headers) == Meaning::Wait {
            record_wait(&mut end, &headers);
        }
    }
    events.send(LoopEvent::CallEnded(end));
}

/// Lets the runtime process pending socket reads. Guards against a process that stalled, on its
/// disk or because its host was preempted: it may first resume the calls that are due while the
/// response that forbids them is still unread in a socket.
pub(crate) async fn yield_to_socket_reads() {
    for _ in 0..RUNTIME_TURNS {
        yield_now().await;
    }
}

/// Builds the request head.
fn head(
    message: &Message, address: SocketAddr, deadline: Instant, protocol: &PartnerProtocol,
    settings: &DeploymentSettings,
) -> Result<Parts, NoResponse> {
    let timeout_us = deadline.saturating_duration_since(Instant::now()).as_micros() as u64;
    let class = settings.class_names.get(message.class).map_or("", String::as_str);
    let call_context = CallContext {
        values: Values { id: &message.id, class, key: &message.key },
        idempotency_key: message.idempotency_key.as_deref(),
        authority: &address.to_string(),
        timeout_us,
    };
    protocol.head(&call_context, &message.body).map_err(|_| NoResponse::Unsendable)
}

/// Whether the part of the response that has arrived says that the message is delivered.
fn is_delivered(tap: &ResponseTap, dialect: &Dialect) -> bool {
    tap.status().is_some_and(|status| dialect.answers.meaning(status) == Meaning::Delivered)
}

/// Interprets a response by its partner's table. A status without an entry may have run.
fn apply_response_head(
    end: &mut CallEnd, status: StatusCode, headers: &HeaderMap, dialect: &Dialect, limit_reports: bool,
) {
    let meaning = dialect.meaning(status.as_u16(), headers);
    end.outcome = match meaning {
        Meaning::Delivered => Outcome::Ok,
        Meaning::Wait => Outcome::Rejected,
        Meaning::NotSent | Meaning::Over | Meaning::RefusedForGood => Outcome::NotSent,
        Meaning::HasNotRun => Outcome::ConnectFailed,
        Meaning::MayHaveRun => Outcome::Error,
    };
    end.settled = matches!(meaning, Meaning::Delivered | Meaning::Over | Meaning::RefusedForGood);
    end.refused = meaning == Meaning::RefusedForGood;
    let reported =
        dialect.limit(headers).map(|limit| LimitReport { share_left: limit.remaining, rate: limit.rate });
    end.report = reported
        .or_else(|| header_text(headers, "X-Load").filter(|_| limit_reports).and_then(parse_limit_report));
}

/// The value of a header, if it is text.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses the `X-Load` header of a limit report.
fn parse_limit_report(text: &str) -> Option<LimitReport> {
    let value = |name: &str| {
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        let mut named = pairs.filter(|(n, _)| n.trim() == name);
        named.next()?.1.trim().parse::<f64>().ok().filter(|v| v.is_finite())
    };
    let share_left = value("x0").filter(|share| (0.0..=1.0).contains(share))?;
    let rate = value("x1").filter(|rate| (0.0..=MAX_LIMIT_RATE).contains(rate))?;
    Some(LimitReport { share_left, rate })
}
