//! Calls to targets: one call and its outcome.

use crate::clock::Clock;
use crate::connections::{Connection, SendError};
use crate::descriptors::DescriptorPermit;
use crate::events::{CallEnd, EventSender, LoopEvent};
use crate::message::Message;
use crate::partner_protocol::PartnerProtocol;
use crate::streams::Tap;
use foldtrack_delivery::settings::DeploymentSettings;
use foldtrack_delivery::{LimitReport, Micros, Outcome, TargetId};
use foldtrack_dialect::{CallContext, Dialect, Meaning, Values};
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

/// The rest of an answer, whose meaning its first line has told, must come within this span and size for the
/// connection to be used again.
const REST_WAIT: Duration = Duration::from_millis(20);
const REST_BYTES: usize = 64 * 1024;
/// Whoever is so late has perhaps stood still: what has come meanwhile is read first. In so many turns of the runtime a head
/// gets from the socket to [`PreflightCheck`], under TLS too.
pub(crate) const STALL_THRESHOLD: Duration = Duration::from_millis(10);
const TURNS: u32 = 4;
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
    pub deadline: Instant,
    /// One that stood idle, and for how long.
    pub connection: Option<(Connection, Duration)>,
    /// For a new connection; none if there is none left for calls.
    pub descriptor: Option<DescriptorPermit>,
    /// Answers told as limit reports (PROTOCOL).
    pub limit_reports: bool,
    /// Whether it may still go, whatever is told meanwhile.
    pub preflight: PreflightCheck,
    pub clock: Clock,
    /// How its partner is spoken to.
    pub protocol: Arc<PartnerProtocol>,
    pub settings: Arc<DeploymentSettings>,
}

/// Why there is no answer to read.
enum Unsent {
    By(Outcome),
    /// There is no connection, and this is why.
    Unconnected(String),
    /// The message lacks what this partner's dialect needs, whenever it is sent.
    Never,
    /// News has overtaken the decision. The connection is as good as before.
    PreflightError(PreflightError, Option<Box<Connection>>),
}

impl Call {
    /// Its end while nothing has been done for it. Where its connection goes is for the caller to say.
    pub fn unstarted_end(&self, outcome: Outcome) -> CallEnd {
        CallEnd {
            number: self.number,
            attempt: self.attempt,
            target: self.target,
            started_at: Instant::now(),
            outcome,
            settled: false,
            past_deadline: false,
            refused: false,
            cause: String::new(),
            wait_until: None,
            report: None,
            idle_for: self.connection.as_ref().map(|(_, idle)| *idle),
            connect_time: None,
            reusable_connection: None,
        }
    }
}

/// Opens a connection ahead of demand and tells its end.
pub(crate) async fn dial(
    target: TargetId, number: u64, address: SocketAddr, protocol: Arc<PartnerProtocol>,
    descriptor: DescriptorPermit, dial_timeout: Duration, events: EventSender,
) {
    let begun = Instant::now();
    let opening = Connection::open(address, protocol.encryption.as_ref(), Some(descriptor));
    let opened = timeout(dial_timeout, opening).await.ok().and_then(Result::ok);
    events.send(LoopEvent::Preconnected { target, number, opened: opened.map(|c| (c, begun.elapsed())) });
}

/// Why there is no connection, for people.
fn why(error: &io::Error) -> String {
    let tls = error.get_ref().and_then(|inner| inner.downcast_ref::<rustls::Error>());
    tls.map_or_else(|| error.to_string(), foldtrack_tls::describe_error)
}

/// Makes one call and tells its end: exactly once, and never tries again by itself.
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
    // From when the request is with the connection only an answer proves that it has not run.
    let mut handed_over = None;
    let mut dialled = None;
    let exchange = async {
        let mut connection = match idle {
            Some((connection, _)) => connection,
            None => {
                // Nothing is opened for a call that must not go.
                preflight.check(clock.now()).map_err(|why| Unsent::PreflightError(why, None))?;
                let descriptor = Some(descriptor.ok_or(Unsent::By(Outcome::NotSent))?);
                let begun = Instant::now();
                let opening = Connection::open(address, protocol.encryption.as_ref(), descriptor);
                match timeout(dial_timeout, opening).await {
                    Ok(Ok(connection)) => {
                        dialled = Some(begun.elapsed());
                        connection
                    }
                    // Out of descriptors here: that says nothing of the target.
                    Ok(Err(e)) if OWN_LIMITS.map(Some).contains(&e.raw_os_error()) => {
                        return Err(Unsent::By(Outcome::NotSent))
                    }
                    Ok(Err(e)) => return Err(Unsent::Unconnected(why(&e))),
                    Err(_) => return Err(Unsent::Unconnected("no connection in time".into())),
                }
            }
        };
        if clock.now() > preflight.decided_at + STALL_THRESHOLD.as_micros() as Micros {
            yield_to_socket_reads().await;
        }
        // Guards against news that came while the connection did: up to the time for connecting lies between the decision
        // and the first byte, and whoever has told another call to wait meanwhile, drains or looks out gets nothing new.
        if let Err(why) = preflight.check(clock.now()) {
            return Err(Unsent::PreflightError(why, Some(Box::new(connection))));
        }
        // It came up in the moment in which the call's time ended: what was decided on in time would be written too late.
        if Instant::now() >= deadline {
            return Err(Unsent::By(Outcome::ConnectFailed));
        }
        let request = Request::from_parts(
            head(&message, address, deadline, &protocol, &settings)?,
            Full::new(message.body.clone()),
        );
        handed_over = Some(connection.tap.clone());
        match connection.send(request).await {
            Ok(response) => Ok((connection, response)),
            // A connection that was closed while it stood idle tells nothing of the target's health.
            Err(SendError::Unsent) if reused => Err(Unsent::By(Outcome::NotSent)),
            Err(SendError::Unsent) => Err(Unsent::By(Outcome::ConnectFailed)),
            Err(SendError::Refused(why)) if !reused => Err(Unsent::Unconnected(why)),
            Err(SendError::ConnectionLost | SendError::Refused(_)) => Err(Unsent::By(Outcome::Reset)),
            Err(SendError::UnreadableResponse) => Err(Unsent::By(Outcome::UnreadableResponse)),
        }
    };
    let answer = tokio::select! {
        biased;
        answer = exchange => answer.map_err(Some),
        () = sleep_until(deadline) => Err(None),
        Ok(()) = &mut cancelled => Err(Some(Unsent::By(Outcome::Cancelled))),
    };
    end.connect_time = dialled;
    end.past_deadline = Instant::now() >= deadline;
    if let (Err(None | Some(Unsent::By(Outcome::Cancelled))), Some(tap)) = (&answer, &handed_over) {
        tap.last_look();
        tap.give_up();
    }
    // At once, and not with the call's end by way of the loop: other calls may be about to go.
    let told_to_wait = |end: &mut CallEnd, headers: &HeaderMap| {
        let now = clock.now();
        end.wait_until =
            protocol.dialect.wait(headers, clock.unix_time(now)).map(|wait| now.saturating_add(wait));
        end.wait_until.into_iter().for_each(|until| preflight.route.defer_until(until));
    };
    let unread = answer.is_err();
    match answer {
        Ok((mut connection, response)) => {
            let response_status = response.status();
            read_head(&mut end, response_status, response.headers(), &protocol.dialect, limit_reports);
            if end.outcome == Outcome::Rejected {
                told_to_wait(&mut end, response.headers());
            }
            let rest = timeout(REST_WAIT, connection.finish(response.into_body(), REST_BYTES)).await;
            // After a switch of protocols it speaks another one.
            let usable = matches!(rest, Ok(Some(_))) && response_status != StatusCode::SWITCHING_PROTOCOLS;
            end.reusable_connection = usable.then_some(connection);
        }
        // The first line is true though nothing else of the answer can be read: the message is delivered.
        Err(_) if handed_over.as_ref().is_some_and(|tap| delivers(tap, &protocol.dialect)) => {
            (end.outcome, end.settled) = (Outcome::Ok, true);
        }
        Err(Some(Unsent::PreflightError(why, connection))) => {
            end.outcome = Outcome::Withheld;
            // Nothing new goes to an endpoint that drains: there is nothing to keep it for.
            end.reusable_connection =
                connection.filter(|_| why != PreflightError::Closed).map(|connection| *connection);
            end.wait_until = if let PreflightError::RetryAfter { until } = why { Some(until) } else { None };
        }
        Err(Some(Unsent::Never)) => (end.outcome, end.settled, end.refused) = (Outcome::NotSent, true, true),
        Err(Some(Unsent::Unconnected(why))) => (end.outcome, end.cause) = (Outcome::ConnectFailed, why),
        Err(Some(Unsent::By(Outcome::Cancelled))) if handed_over.is_none() => end.outcome = Outcome::NotSent,
        Err(None) if handed_over.is_none() => end.outcome = Outcome::ConnectFailed,
        Err(None) => end.outcome = Outcome::TimedOut,
        Err(Some(Unsent::By(outcome))) => end.outcome = outcome,
    }
    // A wait is heeded though the rest of its answer never comes or can't be read: cut off, reset, spoilt, given up.
    if let Some((status, headers)) = handed_over.filter(|_| unread).and_then(|t| t.head()) {
        if protocol.dialect.meaning(status, &headers) == Meaning::Wait {
            told_to_wait(&mut end, &headers);
        }
    }
    events.send(LoopEvent::CallEnded(end));
}

/// Guards against a process that stood still, for its disk or since its host took the core away: what it wakes to first may be
/// the calls that are to go, and the answer that forbids them lies in a socket unread.
pub(crate) async fn yield_to_socket_reads() {
    for _ in 0..TURNS {
        yield_now().await;
    }
}

/// The head of the request.
fn head(
    message: &Message, address: SocketAddr, deadline: Instant, protocol: &PartnerProtocol,
    settings: &DeploymentSettings,
) -> Result<Parts, Unsent> {
    let timeout_us = deadline.saturating_duration_since(Instant::now()).as_micros() as u64;
    let class = settings.class_names.get(message.class).map_or("", String::as_str);
    let outgoing = CallContext {
        values: Values { id: &message.id, class, key: &message.key },
        idempotency_key: message.idempotency_key.as_deref(),
        authority: &address.to_string(),
        timeout_us,
    };
    protocol.head(&outgoing, &message.body).map_err(|_| Unsent::Never)
}

/// Whether what has come of an answer says that the message is delivered.
fn delivers(tap: &Tap, dialect: &Dialect) -> bool {
    tap.status().is_some_and(|status| dialect.answers.meaning(status) == Meaning::Delivered)
}

/// What an answer means, by its partner's table. What is not in it may have run.
fn read_head(
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
    let told =
        dialect.limit(headers).map(|limit| LimitReport { share_left: limit.remaining, rate: limit.rate });
    end.report = told.or_else(|| text(headers, "X-Load").filter(|_| limit_reports).and_then(limit_report));
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
