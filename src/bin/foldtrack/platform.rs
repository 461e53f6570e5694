//! The platform's agent: a watch on the list of targets, and reports on how messages ended.

use crate::connections::Connection;
use crate::discovery_schedule::{DiscoverySchedule, PollFailure, Source};
use crate::events::{EventSender, LoopEvent};
use crate::list::ServerList;
use crate::membership::Membership;
use bytes::Bytes;
use foldtrack_delivery::Micros;
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

/// How much later than its wait the answer to a watch may come.
const WATCH_LATE: Duration = Duration::from_millis(500);
/// Discovery itself gives a call up after two seconds: who leaves sooner has its work thrown away.
const LIST_WAIT: Duration = Duration::from_millis(2500);
/// An agent that answers each watch at once, without news, is not asked more often than this.
const EMPTY_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_LIST: usize = 4 << 20;
/// An answer whose head has come ends within this, however long its call might wait: one that stops half-way is silent.
const BODY_WAIT: Duration = Duration::from_secs(2);
/// A report without an answer for so long goes again on a new connection. The agent answers at once, and a
/// second copy of a notice does no harm; a late one breaks a rule.
const REPORT_WAIT: Duration = Duration::from_millis(250);

/// An exchange with the agent; the connection is kept in `connection` unless it failed.
async fn exchange(
    connection: &mut Option<Connection>, address: SocketAddr, request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), PollFailure> {
    let reused = connection.take();
    // Nobody is there; or one that was kept has ended meanwhile, which says nothing of the next.
    let ended = if reused.is_some() { PollFailure::NoResponse } else { PollFailure::Rejected };
    let mut open = match reused {
        Some(open) => open,
        None => Connection::open(address, None, None).await.map_err(|_| PollFailure::NoResponse)?,
    };
    let response = open.send(request).await.map_err(|_| ended)?;
    let status = response.status();
    let body = timeout(BODY_WAIT, open.finish(response.into_body(), LONGEST_LIST)).await;
    let body = body.ok().flatten().ok_or(PollFailure::NoResponse)?;
    *connection = Some(open);
    Ok((status, body))
}

fn get(address: SocketAddr, path: &str) -> Option<Request<Full<Bytes>>> {
    Request::get(path).header(HOST, address.to_string()).body(Full::default()).ok()
}

/// The platform's agent as the source of the list.
pub(crate) struct Agent {
    pub discovery: watch::Sender<SocketAddr>,
    /// The list as this forwarder last had it; perhaps old.
    pub known: ServerList,
    /// How many forwarders there are, whether they ask one discovery or each its own agent, how long a drain that was told may
    /// still be sent to, and a seed of this one's own.
    pub senders: u32,
    pub source: Source,
    pub grace: Micros,
    pub seed: u64,
}

impl Membership for Agent {
    fn known(&self) -> ServerList {
        self.known.clone()
    }

    /// What is known may be old: a target that this forwarder was told of as drained, before it restarted, would get
    /// what it held. The agent answers at once, or discovery is down.
    fn watch(&self, events: &EventSender) -> bool {
        let schedule = DiscoverySchedule::new(self.senders, self.source, self.grace, self.seed);
        tokio::spawn(watch(self.discovery.subscribe(), schedule, events.clone()));
        true
    }

    fn apply_order(&mut self, _: u64, _: &Order) -> Result<Change, OrderError> {
        Err(OrderError::NotWritten(io::Error::other("the list is the platform's")))
    }

    fn validate(&self, _: &Order) -> Result<Change, OrderError> {
        Err(OrderError::NotWritten(io::Error::other("the list is the platform's")))
    }

    fn state(&self) -> Option<&MembershipState> {
        None
    }

    fn sync_handle(&self) -> io::Result<File> {
        Err(io::Error::other("the list is the platform's"))
    }
}

/// Watches the list for as long as the process runs.
async fn watch(
    mut discovery: watch::Receiver<SocketAddr>, mut schedule: DiscoverySchedule, events: EventSender,
) {
    loop {
        let address = *discovery.borrow_and_update();
        // A watch that hangs on an address which is left would not end by itself for seconds.
        tokio::select! {
            biased;
            moved = discovery.changed() => match moved {
                Ok(()) => schedule.reset(),
                Err(_) => return,
            },
            () = watch_at(address, &mut schedule, &events) => {}
        }
    }
}

/// Watches the list at one address, from the whole list on.
async fn watch_at(address: SocketAddr, schedule: &mut DiscoverySchedule, events: &EventSender) {
    let mut connection = None;
    let mut version: Option<u64> = None;
    loop {
        let (path, wait) = match version {
            Some(v) => {
                let watch = schedule.poll_timeout();
                (format!("/v1/servers?since={v}&timeout_ms={}", watch.as_millis()), watch + WATCH_LATE)
            }
            None => ("/v1/servers".to_string(), LIST_WAIT),
        };
        let asked = Instant::now();
        let answer = match get(address, &path) {
            Some(request) => {
                let answer = timeout(wait, exchange(&mut connection, address, request)).await;
                answer.unwrap_or(Err(PollFailure::NoResponse))
            }
            None => Err(PollFailure::NoResponse),
        };
        let (status, body) = match answer {
            Ok(answer) => answer,
            Err(failure) => {
                // The list stays as it is, and the watch goes on from its version.
                connection = None;
                sleep(schedule.failed(failure, asked.elapsed())).await;
                continue;
            }
        };
        match serde_json::from_slice::<ServerList>(&body) {
            // An answer from the past, by whatever stands between: what has drained since would be sent to again. The whole list
            // is asked for; where that is older too, the versions have begun anew.
            Ok(list) if status == StatusCode::OK && version.is_some_and(|v| list.version < v) => {
                eprintln!(
                    "discovery: version {} after {version:?}: the whole list is asked for",
                    list.version
                );
                version = None;
                sleep(EMPTY_PAUSE).await;
            }
            Ok(list) if status == StatusCode::OK => {
                let empty = !list.full && list.servers.is_empty();
                version = Some(list.version);
                let pause = schedule.answered(!empty);
                if !empty {
                    events.send(LoopEvent::List { list, from: address });
                    if !pause.is_zero() {
                        sleep(pause).await;
                    }
                } else if asked.elapsed() < EMPTY_PAUSE {
                    sleep(EMPTY_PAUSE).await;
                }
            }
            odd => {
                eprintln!(
                    "discovery: status {status}, {}",
                    odd.err().map_or("no list".into(), |e| e.to_string())
                );
                // Perhaps the version is unknown there: the whole list is asked for.
                version = None;
                let failure =
                    if status == StatusCode::OK { PollFailure::NoResponse } else { PollFailure::Rejected };
                sleep(schedule.failed(failure, asked.elapsed())).await;
            }
        }
    }
}

/// Sends notices, one JSON object a line, and tells whether they were taken, or cannot be read.
pub(crate) async fn report(
    mut discovery: watch::Receiver<SocketAddr>, lines: String, numbers: Vec<u64>, events: EventSender,
) {
    let to = *discovery.borrow_and_update();
    let status = tokio::select! {
        biased;
        status = post(to, lines) => status,
        // What the old address has not answered goes to the new one: it may never answer.
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
    let answer = timeout(REPORT_WAIT, exchange(&mut None, address, request.ok()?)).await;
    answer.ok()?.ok().map(|(status, _)| status)
}
