//! Client of the platform's agent: watches the list of targets and reports how messages ended.

use crate::connections::{read_body, Connection, SendError};
use crate::discovery_schedule::{DiscoverySchedule, PollFailure, Source};
use crate::events::{EventSender, LoopEvent};
use crate::list::ServerList;
use crate::membership::Membership;
use bytes::Bytes;
use foldtrack_delivery::Micros;
use foldtrack_journal::path_error::is_descriptor_shortage;
use foldtrack_membership::{Change, MembershipState, Order, OrderError};
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// Watches of the list at the same time. Each is a connection, as is each report.
pub(crate) const MAX_WATCHES: usize = 1;
/// Extra time for the answer to a watch after its timeout.
const WATCH_MARGIN: Duration = Duration::from_millis(500);
/// Timeout of a request for the whole list. Discovery gives up a call after two seconds; leaving
/// earlier would waste its work.
const LIST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Minimum interval between watches, for an agent that answers each at once, with or without news.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of an answer to a report in bytes; it has no meaning.
const MAX_REPORT_ANSWER_BYTES: usize = 64 * 1024;
/// Time in which the body of an answer must arrive after its head, whatever the timeout of the
/// call. A body that stops half-way counts as no answer.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// A report that is not answered within this time is sent again on a new connection. The agent
/// normally answers at once. A duplicate notice does no harm, but a late one breaks a rule.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// Sends a request to the agent, on a connection of its own: what arrives there is the answer to
/// this request and to no other. `ended` is what a connection that ends without an answer means. An answer
/// whose body is longer than `max_body_bytes` counts as none.
async fn exchange(
    address: SocketAddr, request: Request<Full<Bytes>>, ended: PollFailure, max_body_bytes: usize,
) -> Result<(StatusCode, Vec<u8>), PollFailure> {
    let opened = Connection::open(address, None, None).await;
    let mut connection = opened.map_err(|error| {
        if is_descriptor_shortage(&error) {
            tracing::error!("discovery: no connection to {address}: {error}");
        }
        PollFailure::NoResponse
    })?;
    let response = connection.send(request).await.map_err(|error| match error {
        SendError::UnreadableResponse => PollFailure::NoResponse,
        SendError::Unsent | SendError::ConnectionLost | SendError::Refused(_) => ended,
    })?;
    let status = response.status();
    let body = timeout(BODY_TIMEOUT, read_body(response.into_body(), max_body_bytes)).await;
    let body = body.ok().flatten().ok_or(PollFailure::NoResponse)?;
    Ok((status, body))
}

fn get_request(address: SocketAddr, path: &str) -> Option<Request<Full<Bytes>>> {
    Request::get(path).header(HOST, address.to_string()).body(Full::default()).ok()
}

/// The platform's agent as the source of the list.
pub(crate) struct Agent {
    pub discovery: watch::Sender<SocketAddr>,
    /// The last list that this forwarder received, which may be old.
    pub cached_list: ServerList,
    /// Number of forwarders.
    pub forwarder_count: u32,
    /// Whether they share one discovery or each has an agent of its own.
    pub source: Source,
    /// How long a drained target may still be sent to, in microseconds.
    pub drain_grace: Micros,
    /// Seed of this forwarder's random numbers.
    pub seed: u64,
    /// Maximum size of a list in bytes.
    pub max_list_bytes: usize,
}

impl Membership for Agent {
    fn current_list(&self) -> ServerList {
        self.cached_list.clone()
    }

    /// Startup waits for the first list because the known one may be old: a target that was drained
    /// before the restart would otherwise receive the messages held. The agent answers at once
    /// unless discovery is down.
    fn start_updates(&self, events: &EventSender) -> bool {
        let schedule = DiscoverySchedule::new(self.forwarder_count, self.source, self.drain_grace, self.seed);
        tokio::spawn(watch(self.discovery.subscribe(), schedule, events.clone(), self.max_list_bytes));
        true
    }

    fn apply_order(&mut self, _: u64, _: &Order) -> Result<Change, OrderError> {
        Err(OrderError::NotWritten(io::Error::other("the list is managed by the platform")))
    }

    fn validate(&self, _: &Order) -> Result<Change, OrderError> {
        Err(OrderError::NotWritten(io::Error::other("the list is managed by the platform")))
    }

    fn state(&self) -> Option<&MembershipState> {
        None
    }

    fn sync_handle(&self) -> io::Result<File> {
        Err(io::Error::other("the list is managed by the platform"))
    }
}

/// Watches the list for as long as the process runs.
async fn watch(
    mut discovery: watch::Receiver<SocketAddr>, mut schedule: DiscoverySchedule, events: EventSender,
    max_list_bytes: usize,
) {
    loop {
        let address = *discovery.borrow_and_update();
        // A watch that hangs on the previous address would take seconds to end.
        tokio::select! {
            biased;
            moved = discovery.changed() => match moved {
                Ok(()) => schedule.reset(),
                Err(_) => return,
            },
            () = watch_at(address, &mut schedule, &events, max_list_bytes) => {}
        }
    }
}

/// Watches the list at one address, starting with the whole list.
async fn watch_at(
    address: SocketAddr, schedule: &mut DiscoverySchedule, events: &EventSender, max_list_bytes: usize,
) {
    let mut version: Option<u64> = None;
    // Without an answer before, a connection that ends at once means that nobody serves the
    // address. Later it may end for reasons that say nothing about the next one.
    let mut ended = PollFailure::Rejected;
    loop {
        let (path, wait) = match version {
            Some(v) => {
                let watch = schedule.poll_timeout();
                (format!("/v1/servers?since={v}&timeout_ms={}", watch.as_millis()), watch + WATCH_MARGIN)
            }
            None => ("/v1/servers".to_string(), LIST_TIMEOUT),
        };
        let asked = Instant::now();
        let answer = match get_request(address, &path) {
            Some(request) => {
                let answer = timeout(wait, exchange(address, request, ended, max_list_bytes)).await;
                answer.unwrap_or(Err(PollFailure::NoResponse))
            }
            None => Err(PollFailure::NoResponse),
        };
        let (status, body) = match answer {
            Ok(answer) => {
                ended = PollFailure::NoResponse;
                answer
            }
            Err(failure) => {
                // The list stays in force, and the watch continues from its version.
                ended = PollFailure::Rejected;
                sleep(schedule.failed(failure, asked.elapsed())).await;
                continue;
            }
        };
        match serde_json::from_slice::<ServerList>(&body) {
            // An outdated answer, for instance from a cache in between. Using it would send to
            // targets that have drained since. The whole list is requested; if that is older too,
            // the versions have restarted.
            Ok(list) if status == StatusCode::OK && version.is_some_and(|v| list.version < v) => {
                eprintln!("discovery: version {} after {version:?}: requesting the whole list", list.version);
                version = None;
                sleep(MIN_WATCH_INTERVAL).await;
            }
            Ok(list) if status == StatusCode::OK => {
                let empty = !list.full && list.servers.is_empty();
                version = Some(list.version);
                let mut pause = schedule.answered(!empty);
                if !empty {
                    events.send(LoopEvent::List { list, from: address });
                }
                if asked.elapsed() < MIN_WATCH_INTERVAL {
                    pause = pause.max(MIN_WATCH_INTERVAL);
                }
                if !pause.is_zero() {
                    sleep(pause).await;
                }
            }
            unexpected => {
                eprintln!(
                    "discovery: status {status}, {}",
                    unexpected.err().map_or("not a list".into(), |e| e.to_string())
                );
                // The version may be unknown there, so the whole list is requested.
                version = None;
                let failure =
                    if status == StatusCode::OK { PollFailure::NoResponse } else { PollFailure::Rejected };
                sleep(schedule.failed(failure, asked.elapsed())).await;
            }
        }
    }
}

/// Sends notices as JSON lines. Reports to the event loop whether they were accepted, rejected as
/// unreadable, or not answered.
pub(crate) async fn report(
    mut discovery: watch::Receiver<SocketAddr>, lines: String, numbers: Vec<u64>, events: EventSender,
) {
    let to = *discovery.borrow_and_update();
    let status = tokio::select! {
        biased;
        status = post(to, lines) => status,
        // Notices that the previous address has not answered are sent to the new one, because the
        // answer may never arrive.
        _ = discovery.changed() => None,
    };
    events.send(LoopEvent::NoticesReported { numbers, status, to });
}

async fn post(address: SocketAddr, lines: String) -> Option<StatusCode> {
    let request = Request::builder()
        .method(Method::POST)
        .uri("/reports")
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(lines)));
    let exchange = exchange(address, request.ok()?, PollFailure::Rejected, MAX_REPORT_ANSWER_BYTES);
    let answer = timeout(REPORT_TIMEOUT, exchange).await;
    answer.ok()?.ok().map(|(status, _)| status)
}
