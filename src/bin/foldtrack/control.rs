//! Server side of the control socket.
//!
//! Control connections are served on their own thread and runtime, so that a slow client cannot
//! delay the event loop. The event loop produces at most a few snapshots a second, however many
//! clients ask for one.

use crate::blocks::{Blocks, MAX_BLOCK_MS};
use crate::descriptors::{DescriptorBudget, DescriptorPermit};
use crate::events::{EventSender, LoopEvent, SiteRequest, Snapshot};
use crate::lock::lock_ignoring_poison;
use foldtrack_admission::DescriptorUser;
use foldtrack_control::framing::{LineDecoder, LineError, MAX_LINE_BYTES};
use foldtrack_control::protocol::parse_request;
use foldtrack_control::{
    ControlCommand, ControlResponse, Error, Event, Reply, Request, MAX_LIST_ENTRIES, VERSION,
};
use foldtrack_membership::Order;
use serde_json::Value;
use std::collections::BTreeMap;
use std::future::pending;
use std::io::{self, ErrorKind};
use std::os::unix::net::{UnixListener, UnixStream as StdStream};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener as Listener, UnixStream};
use tokio::sync::broadcast::{error::RecvError, Receiver};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, Mutex, Notify};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Maximum number of control connections. Beyond it, the connection that has been idle longest is
/// closed.
const MAX_CONNECTIONS: usize = 32;
/// How long a snapshot is reused before the event loop is asked for a new one.
const SNAPSHOT_MAX_AGE: Duration = Duration::from_millis(200);
/// Rate limit of one connection: so many requests in a burst, then one for each `REQUEST_INTERVAL`.
const REQUEST_BURST: u32 = 20;
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// A client that does not read its response within this time is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
const NO_PEERS_TEXT: &str = "this forwarder runs without peers: its site file has no [peers] section";
/// Default and minimum interval between the updates of a subscription.
const DEFAULT_UPDATE_INTERVAL_MS: u32 = 1000;
const MIN_UPDATE_INTERVAL_MS: u32 = 200;
/// Pause after each accepted connection. The event loop runs on the same thread.
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);
/// How often floods are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How long the control thread stays alive without a connection.
const IDLE_THREAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Binds the control socket. The caller holds the lock of the state folder, so an existing socket
/// file belongs to a process that has ended.
///
/// # Errors
/// The path and the cause, when the old file cannot be removed or the socket cannot be bound.
pub(crate) fn bind(path: &Path) -> Result<UnixListener, String> {
    let error_text = |e: io::Error| format!("{}: {e}", path.display());
    match std::fs::remove_file(path) {
        Err(e) if e.kind() != ErrorKind::NotFound => return Err(error_text(e)),
        _ => {}
    }
    // Restricts the socket to its owner from the moment it exists. The umask applies to the whole
    // process, but no other thread that creates files runs yet.
    let previous_umask = rustix::process::umask(rustix::fs::Mode::from_raw_mode(0o177));
    let bind_result = UnixListener::bind(path);
    rustix::process::umask(previous_umask);
    let listener = bind_result.map_err(error_text)?;
    listener.set_nonblocking(true).map_err(error_text)?;
    Ok(listener)
}

/// Starts the control server: it accepts connections on the current runtime and serves them on
/// their own thread.
///
/// # Errors
/// The socket could not be registered with the runtime.
pub(crate) fn start(
    listener: UnixListener, events: EventSender, blocks: Arc<Blocks>, descriptors: Arc<DescriptorBudget>,
) -> Result<(), String> {
    let listener = Listener::from_std(listener).map_err(|e| format!("control socket: {e}"))?;
    let server = Arc::new(ControlServer {
        events,
        blocks: blocks.clone(),
        descriptors,
        snapshot: Mutex::default(),
        last_order: Default::default(),
        connections: Default::default(),
        thread: Default::default(),
    });
    tokio::spawn(accept(listener, server));
    tokio::spawn(async move {
        loop {
            sleep(REPORT_INTERVAL).await;
            blocks.report_floods();
        }
    });
    Ok(())
}

/// State shared by all control connections.
struct ControlServer {
    events: EventSender,
    blocks: Arc<Blocks>,
    descriptors: Arc<DescriptorBudget>,
    /// The latest snapshot.
    snapshot: Mutex<Option<Arc<Snapshot>>>,
    /// When the last order was carried out. Older snapshots are not shown.
    last_order: std::sync::Mutex<Option<Instant>>,
    /// Open connections by number: the time of the last request, and the signal that closes the
    /// connection.
    connections: std::sync::Mutex<BTreeMap<u64, (Instant, Arc<Notify>)>>,
    /// Passes accepted connections to the control thread, while there is one.
    thread: std::sync::Mutex<Option<UnboundedSender<StdStream>>>,
}

/// Accepts connections, and passes those of the own user and of root to the control thread.
async fn accept(listener: Listener, server: Arc<ControlServer>) {
    let uid = rustix::process::geteuid().as_raw();
    loop {
        let accepted = listener.accept().await;
        // The event loop runs on this thread: the pause limits the share that a stream of
        // connections can take.
        sleep(ACCEPT_PAUSE).await;
        let Ok((stream, _)) = accepted else { continue };
        // The socket's mode restricts access as well, but a descriptor may have been passed to
        // another user.
        let allowed = stream.peer_cred().is_ok_and(|peer| peer.uid() == uid || peer.uid() == 0);
        let Ok(stream) = stream.into_std() else { continue };
        if allowed {
            dispatch(stream, &server);
        }
    }
}

/// Passes a connection to the control thread, and starts the thread if there is none. A process
/// with one thread is some percent faster than one with two, so the thread exists only while there
/// are control connections.
fn dispatch(stream: StdStream, server: &Arc<ControlServer>) {
    let mut thread = lock_ignoring_poison(&server.thread);
    let rejected = match thread.as_ref() {
        Some(connections) => connections.send(stream).map_err(|rejected| rejected.0),
        None => Err(stream),
    };
    if let Err(stream) = rejected {
        start_thread(stream, server, &mut thread);
    }
}

/// Starts the control thread with its first connection.
fn start_thread(
    stream: StdStream, server: &Arc<ControlServer>, thread: &mut Option<UnboundedSender<StdStream>>,
) {
    let (sender, streams) = unbounded_channel();
    let _ = sender.send(stream);
    let server = server.clone();
    let run = move || match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(serve_connections(streams, server)),
        Err(e) => eprintln!("control socket: {e}"),
    };
    match std::thread::Builder::new().name("control".into()).spawn(run) {
        Ok(_) => *thread = Some(sender),
        Err(e) => eprintln!("control socket: {e}"),
    }
}

/// Body of the control thread: serves connections until there has been none for
/// `IDLE_THREAD_TIMEOUT`.
async fn serve_connections(mut streams: UnboundedReceiver<StdStream>, server: Arc<ControlServer>) {
    for number in 0.. {
        let stream = loop {
            if let Ok(Some(stream)) = timeout(IDLE_THREAD_TIMEOUT, streams.recv()).await {
                break stream;
            }
            let mut thread = lock_ignoring_poison(&server.thread);
            if lock_ignoring_poison(&server.connections).is_empty() && streams.is_empty() {
                *thread = None;
                return;
            }
        };
        let Ok(stream) = UnixStream::from_std(stream) else { continue };
        let close = Arc::new(Notify::new());
        let descriptor = server.register(number, &close);
        let server = server.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = serve(stream, number, &server) => {}
                () = close.notified() => {}
            }
            lock_ignoring_poison(&server.connections).remove(&number);
            drop(descriptor);
        });
    }
}

impl ControlServer {
    /// Registers a connection. If the connection limit or the descriptor budget is exhausted,
    /// closes the connection that has been idle longest.
    fn register(&self, number: u64, close: &Arc<Notify>) -> DescriptorPermit {
        let mut connections = lock_ignoring_poison(&self.connections);
        let permit =
            self.descriptors.acquire(DescriptorUser::Control).filter(|_| connections.len() < MAX_CONNECTIONS);
        if permit.is_none() {
            let longest_idle = connections
                .iter()
                .min_by_key(|(_, (last_request, _))| *last_request)
                .map(|(number, _)| *number);
            if let Some((_, close)) = longest_idle.and_then(|n| connections.remove(&n)) {
                close.notify_one();
            }
        }
        connections.insert(number, (Instant::now(), close.clone()));
        // It takes over the descriptor of the evicted connection, which closes in a moment.
        permit.unwrap_or_else(|| self.descriptors.acquire_unchecked(DescriptorUser::Control))
    }

    /// Records that a request was received on a connection.
    fn record_request(&self, number: u64) {
        if let Some((last_request, _)) = lock_ignoring_poison(&self.connections).get_mut(&number) {
            *last_request = Instant::now();
        }
    }

    /// Sends a request to the event loop; `None` if the loop ends before it responds.
    async fn query<T>(&self, request: impl FnOnce(oneshot::Sender<T>) -> SiteRequest) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.events.send(LoopEvent::SiteRequest(request(reply)));
        answer.await.ok()
    }

    /// A snapshot that is at most `SNAPSHOT_MAX_AGE` old and not older than the last order.
    async fn snapshot(&self) -> Option<Arc<Snapshot>> {
        // While one connection requests a snapshot, the others wait for the lock and get the same
        // one.
        let mut last = self.snapshot.lock().await;
        let oldest_allowed = *lock_ignoring_poison(&self.last_order);
        let fresh = |p: &&Arc<Snapshot>| {
            p.at.elapsed() < SNAPSHOT_MAX_AGE && oldest_allowed.is_none_or(|oldest| p.at >= oldest)
        };
        if let Some(snapshot) = last.as_ref().filter(fresh) {
            return Some(snapshot.clone());
        }
        let snapshot = self.query(|reply| SiteRequest::Snapshot { reply }).await?;
        *last = Some(snapshot.clone());
        Some(snapshot)
    }
}

/// Rate limit of one connection: a client that exceeds it is delayed, and its further requests stay
/// in the socket buffer.
struct RateLimit {
    next_slot: Instant,
}

impl RateLimit {
    /// Takes the next slot and waits until it begins.
    async fn wait(&mut self) {
        let earliest = Instant::now() - REQUEST_BURST * REQUEST_INTERVAL;
        let slot = self.next_slot.max(earliest);
        self.next_slot = slot + REQUEST_INTERVAL;
        sleep_until(slot).await;
    }
}

/// Serves one control connection until it closes.
async fn serve(mut stream: UnixStream, number: u64, server: &ControlServer) -> io::Result<()> {
    let mut lines = LineDecoder::new(MAX_LINE_BYTES);
    let mut buffer = vec![0; 16 * 1024];
    let mut rate_limit = RateLimit { next_slot: Instant::now() };
    loop {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        server.record_request(number);
        let completed = lines.push(&buffer[..count]);
        // Input without a request, such as empty lines, counts like one.
        if completed.is_empty() {
            rate_limit.wait().await;
        }
        for read_line in completed {
            rate_limit.wait().await;
            let request = match read_line {
                Ok(text) => parse_request(&text),
                Err(LineError::NotUtf8) => {
                    Err(Box::new(Reply::error(Value::Null, "unreadable", "the line is not UTF-8")))
                }
                Err(LineError::TooLong) => {
                    let text = format!("the line is longer than {MAX_LINE_BYTES} bytes");
                    write(&mut stream, &Reply::error(Value::Null, "too_long", text)).await?;
                    return Ok(());
                }
            };
            match request {
                Ok(Request { id, command: ControlCommand::Subscribe { every_ms, events }, .. }) => {
                    let every = every_ms.unwrap_or(DEFAULT_UPDATE_INTERVAL_MS).max(MIN_UPDATE_INTERVAL_MS);
                    let events = events.then(|| server.blocks.events());
                    return serve_subscription(
                        stream,
                        id,
                        Duration::from_millis(every.into()),
                        events,
                        server,
                    )
                    .await;
                }
                Ok(Request { id, command, .. }) => {
                    let response = answer(command, server).await;
                    write(&mut stream, &Reply { v: VERSION, id, response }).await?;
                }
                Err(refusal) => write(&mut stream, &refusal).await?,
            }
        }
    }
}

/// Sends one reply line, within `WRITE_TIMEOUT`.
async fn write(stream: &mut UnixStream, reply: &Reply) -> io::Result<()> {
    timeout(WRITE_TIMEOUT, stream.write_all(reply.to_line().as_bytes())).await?
}

/// Serves a subscription: sends a snapshot whenever it has changed, until the client disconnects. A
/// slow client gets fewer updates, each with the latest state.
async fn serve_subscription(
    mut stream: UnixStream, id: Value, every: Duration, mut events: Option<Receiver<Event>>,
    server: &ControlServer,
) -> io::Result<()> {
    let mut last: Option<Arc<Snapshot>> = None;
    let mut buffer = [0; 1024];
    loop {
        let Some(snapshot) = server.snapshot().await else { return Ok(()) };
        let same = |p: &Arc<Snapshot>| {
            let without_times = |p: &Snapshot| foldtrack_control::Status {
                at: 0,
                up_ms: 0,
                oldest_ms: 0,
                longest_round_us: 0,
                ..p.status.clone()
            };
            without_times(p) == without_times(&snapshot)
                && p.partners == snapshot.partners
                && p.endpoints == snapshot.endpoints
        };
        if !last.as_ref().is_some_and(same) {
            let response = ControlResponse::Changed {
                status: Box::new(snapshot.status.clone()),
                partners: snapshot.partners.clone(),
                endpoints: snapshot.endpoints.clone(),
            };
            write(&mut stream, &Reply { v: VERSION, id: id.clone(), response }).await?;
            last = Some(snapshot);
        }
        let next_update = sleep(every);
        tokio::pin!(next_update);
        loop {
            let response = tokio::select! {
                () = &mut next_update => break,
                response = next(&mut events) => response,
                // Input of a subscriber is ignored, but its end closes the subscription.
                read = stream.read(&mut buffer) => {
                    if read? == 0 {
                        return Ok(());
                    }
                    next_update.as_mut().await;
                    break;
                }
            };
            write(
                &mut stream,
                &Reply { v: VERSION, id: id.clone(), response: ControlResponse::Event(response) },
            )
            .await?;
        }
    }
}

/// The next event; never returns for a subscription without events.
async fn next(events: &mut Option<Receiver<Event>>) -> Event {
    if let Some(events) = events {
        match events.recv().await {
            Ok(event) => return event,
            Err(RecvError::Lagged(missed)) => {
                let text = format!("{missed} events were dropped: the subscriber read too slowly");
                return Event { kind: "missed".into(), text, ..Event::default() };
            }
            Err(RecvError::Closed) => {}
        }
    }
    pending().await
}

/// An error response.
fn error(code: &str, text: &str) -> ControlResponse {
    ControlResponse::Error(Error { code: code.into(), text: text.into() })
}

/// Carries out one command and returns the response.
async fn answer(command: ControlCommand, server: &ControlServer) -> ControlResponse {
    let order = match command {
        ControlCommand::Status
        | ControlCommand::Partners
        | ControlCommand::Endpoints
        | ControlCommand::Failures { .. }
        | ControlCommand::Queues { .. } => {
            let Some(snapshot) = server.snapshot().await else { return shutting_down() };
            return show(command, &snapshot);
        }
        ControlCommand::Message { message } => {
            let id = message.clone();
            return match server.query(|reply| SiteRequest::Message { id, reply }).await {
                Some(Some(message)) => ControlResponse::Message(Box::new(message)),
                Some(None) => error("unknown_message", &format!("message {message:?} is unknown")),
                None => shutting_down(),
            };
        }
        ControlCommand::Peers => {
            let response = server.query(|reply| SiteRequest::Peers { reply }).await;
            return peers_response(response, |peers| ControlResponse::Peers(Box::new(peers)));
        }
        ControlCommand::State => {
            let response = server.query(|reply| SiteRequest::State { reply }).await;
            return peers_response(response, |state| ControlResponse::State(Box::new(state)));
        }
        ControlCommand::Clients { most } => {
            let limit = most.unwrap_or(MAX_LIST_ENTRIES).min(MAX_LIST_ENTRIES) as usize;
            return ControlResponse::Clients(Box::new(server.blocks.clients(limit)));
        }
        ControlCommand::Block { network, for_ms } => return block(server, &network, Some(for_ms)).await,
        ControlCommand::Unblock { network } => return block(server, &network, None).await,
        ControlCommand::Stop => {
            server.events.send(LoopEvent::Terminate);
            let version = server.snapshot().await.map_or(0, |p| p.status.membership);
            return ControlResponse::Done(foldtrack_control::OrderResult {
                changed: true,
                version,
                ..Default::default()
            });
        }
        ControlCommand::Add { partner, endpoint, address } => {
            let read = foldtrack_site::check::validate_name(&endpoint)
                .and_then(|()| foldtrack_site::check::parse_address(&address));
            match read {
                Ok(address) => Order::Add { partner, endpoint, address },
                Err(problem) => return error("refused", &problem),
            }
        }
        ControlCommand::Drain { endpoint } => Order::Drain { endpoint },
        ControlCommand::Remove { endpoint } => Order::Remove { endpoint },
        ControlCommand::Pause { partner } => Order::PausePartner { partner },
        ControlCommand::Resume { endpoint: Some(endpoint), partner: None } => Order::Resume { endpoint },
        ControlCommand::Resume { endpoint: None, partner: Some(partner) } => Order::ResumePartner { partner },
        ControlCommand::Resume { .. } => {
            return error("unreadable", "resume needs either an endpoint or a partner")
        }
        ControlCommand::Subscribe { .. } => return error("unreadable", "subscribe is not supported here"),
    };
    let response = match server.query(|reply| SiteRequest::Order { order, reply }).await {
        Some(Ok(done)) => ControlResponse::Done(done),
        Some(Err(refused)) => ControlResponse::Error(refused),
        None => shutting_down(),
    };
    *lock_ignoring_poison(&server.last_order) = Some(Instant::now());
    response
}

/// The response while the forwarder shuts down.
fn shutting_down() -> ControlResponse {
    error("busy", "the forwarder is shutting down")
}

/// The response to a command about peers; an error if the site runs without peers.
fn peers_response<T>(response: Option<Option<T>>, show: impl Fn(T) -> ControlResponse) -> ControlResponse {
    match response {
        Some(Some(response)) => show(response),
        Some(None) => error("refused", NO_PEERS_TEXT),
        None => shutting_down(),
    }
}

/// Blocks a network, or ends a block (`for_ms` is `None`). This runs here rather than in the event
/// loop, because writing the file of blocks may take long. A block applies at once on this
/// forwarder, whatever its peers respond; a block ends only after the event loop has confirmed it,
/// which needs the reports of a quorum of peers.
async fn block(server: &ControlServer, network: &str, for_ms: Option<u64>) -> ControlResponse {
    let network = match foldtrack_site::check::parse_network(network) {
        Ok(network) => network,
        Err(problem) => return error("refused", &problem),
    };
    if for_ms.is_some_and(|for_ms| for_ms == 0 || for_ms > MAX_BLOCK_MS) {
        return error("refused", "the duration of a block must be between 1 ms and 30 days");
    }
    let stored = for_ms.map(|for_ms| server.blocks.block(network, for_ms));
    let name = network.to_string();
    let done = match server.query(|reply| SiteRequest::Network { network: name, for_ms, reply }).await {
        Some(Ok(done)) => done,
        Some(Err(refused)) => return ControlResponse::Error(refused),
        None => return shutting_down(),
    };
    let changed = stored.map_or_else(|| server.blocks.unblock(&network), |stored| stored.map(|()| true));
    match changed {
        Ok(changed) => {
            ControlResponse::Done(foldtrack_control::OrderResult { changed: changed || done.changed, ..done })
        }
        Err(problem) => error("not_kept", &problem),
    }
}

/// Selects from a snapshot what a command asks for.
fn show(command: ControlCommand, snapshot: &Snapshot) -> ControlResponse {
    let limit = |most: Option<u32>| most.unwrap_or(MAX_LIST_ENTRIES).min(MAX_LIST_ENTRIES) as usize;
    match command {
        ControlCommand::Status => ControlResponse::Status(Box::new(snapshot.status.clone())),
        ControlCommand::Partners => ControlResponse::Partners(snapshot.partners.clone()),
        ControlCommand::Endpoints => ControlResponse::Endpoints(snapshot.endpoints.clone()),
        ControlCommand::Failures { most } => {
            ControlResponse::Failures(snapshot.failures.iter().take(limit(most)).cloned().collect())
        }
        ControlCommand::Queues { partner, most } => {
            let queues = snapshot.queues.iter();
            let matches = |q: &&foldtrack_control::Queue| partner.as_ref().is_none_or(|p| *p == q.partner);
            ControlResponse::Queues(queues.filter(matches).take(limit(most)).cloned().collect())
        }
        _ => error("unreadable", "the command does not read a snapshot"),
    }
}
