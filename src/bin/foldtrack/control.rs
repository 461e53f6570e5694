//! The serving side of the control line. Readers have a thread and a runtime of their own: what they do, and how
//! slowly, is nothing to the loop. The loop is asked for a picture a few times a second at most, whoever wants to see it.

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

/// Readers at once. Beyond that the one goes that has said nothing for longest.
const READERS: usize = 32;
/// A picture is shown for so long before another is asked for.
const FRESH: Duration = Duration::from_millis(200);
/// Requests of one reader: so many at once, and one more each time that this span has passed.
const BURST: u32 = 20;
const PACE: Duration = Duration::from_millis(50);
/// A reader that does not read for so long goes.
const SLOW: Duration = Duration::from_secs(10);
const NO_PEERS: &str = "this forwarder is alone: its site file has no [peers]";
const USUAL_PUSH: u32 = 1000;
const LEAST_PUSH: u32 = 200;
/// Pause between two that are let in.
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);
/// How often floods are looked for, and how many descriptors there are.
const NOTICE: Duration = Duration::from_secs(1);
/// How long the readers' thread stays without a reader.
const LINGER: Duration = Duration::from_secs(1);

/// Binds the socket of a state folder whose lock is held: a file that stands there is a dead process's.
pub(crate) fn bind(path: &Path) -> Result<UnixListener, String> {
    let told = |e: io::Error| format!("{}: {e}", path.display());
    match std::fs::remove_file(path) {
        Err(e) if e.kind() != ErrorKind::NotFound => return Err(told(e)),
        _ => {}
    }
    // Nobody else may connect from the first moment on; no other thread runs yet that makes files.
    let before = rustix::process::umask(rustix::fs::Mode::from_raw_mode(0o177));
    let bound = UnixListener::bind(path);
    rustix::process::umask(before);
    let listener = bound.map_err(told)?;
    listener.set_nonblocking(true).map_err(told)?;
    Ok(listener)
}

/// Serves the control line from now on, on this runtime; readers get a thread of their own. `most` tells how many
/// connections clients may have now, and by which limit.
pub(crate) fn start(
    listener: UnixListener, events: EventSender, blocks: Arc<Blocks>, descriptors: Arc<DescriptorBudget>,
    most: impl Fn() -> (usize, Result<usize, String>) + Send + 'static,
) -> Result<(), String> {
    let listener = Listener::from_std(listener).map_err(|e| format!("control line: {e}"))?;
    let line = Arc::new(Line {
        events,
        blocks: blocks.clone(),
        descriptors,
        picture: Mutex::default(),
        ordered: Default::default(),
        readers: Default::default(),
        thread: Default::default(),
    });
    tokio::spawn(accept(listener, line));
    tokio::spawn(async move {
        loop {
            sleep(NOTICE).await;
            blocks.report_floods();
            blocks.update_limits(most());
        }
    });
    Ok(())
}

/// What all readers share.
struct Line {
    events: EventSender,
    blocks: Arc<Blocks>,
    descriptors: Arc<DescriptorBudget>,
    /// The last picture.
    picture: Mutex<Option<Arc<Snapshot>>>,
    /// When the last order was carried out: no picture that is older is shown.
    ordered: std::sync::Mutex<Option<Instant>>,
    readers: std::sync::Mutex<BTreeMap<u64, (Instant, Arc<Notify>)>>,
    /// The way to the readers' thread, while there is one.
    thread: std::sync::Mutex<Option<UnboundedSender<StdStream>>>,
}

async fn accept(listener: Listener, line: Arc<Line>) {
    let uid = rustix::process::geteuid().as_raw();
    loop {
        let accepted = listener.accept().await;
        // The loop is on this thread: a crowd that connects all the time gets no more of it than this.
        sleep(ACCEPT_PAUSE).await;
        let Ok((stream, _)) = accepted else { continue };
        // The mode of the socket says so too; a descriptor may have been passed on.
        let allowed = stream.peer_cred().is_ok_and(|peer| peer.uid() == uid || peer.uid() == 0);
        let Ok(stream) = stream.into_std() else { continue };
        if allowed {
            hand_over(stream, &line);
        }
    }
}

/// Gives a reader to the readers' thread, and starts that if there is none. A process with one thread is some
/// percent faster than one with two: as long as nobody reads there is one.
fn hand_over(stream: StdStream, line: &Arc<Line>) {
    let mut thread = lock_ignoring_poison(&line.thread);
    let unsent = match thread.as_ref() {
        Some(readers) => readers.send(stream).map_err(|unsent| unsent.0),
        None => Err(stream),
    };
    if let Err(stream) = unsent {
        begin_thread(stream, line, &mut thread);
    }
}

fn begin_thread(stream: StdStream, line: &Arc<Line>, thread: &mut Option<UnboundedSender<StdStream>>) {
    let (sender, streams) = unbounded_channel();
    let _ = sender.send(stream);
    let line = line.clone();
    let run = move || match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime.block_on(read_all(streams, line)),
        Err(e) => eprintln!("control line: {e}"),
    };
    match std::thread::Builder::new().name("control".into()).spawn(run) {
        Ok(_) => *thread = Some(sender),
        Err(e) => eprintln!("control line: {e}"),
    }
}

/// The readers' thread: serves them until there has been none for a while.
async fn read_all(mut streams: UnboundedReceiver<StdStream>, line: Arc<Line>) {
    for number in 0.. {
        let stream = loop {
            if let Ok(Some(stream)) = timeout(LINGER, streams.recv()).await {
                break stream;
            }
            let mut thread = lock_ignoring_poison(&line.thread);
            if lock_ignoring_poison(&line.readers).is_empty() && streams.is_empty() {
                *thread = None;
                return;
            }
        };
        let Ok(stream) = UnixStream::from_std(stream) else { continue };
        let leave = Arc::new(Notify::new());
        let descriptor = line.enter(number, &leave);
        let line = line.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = serve(stream, number, &line) => {}
                () = leave.notified() => {}
            }
            lock_ignoring_poison(&line.readers).remove(&number);
            drop(descriptor);
        });
    }
}

impl Line {
    /// Lets a reader in. Where there is no descriptor for one more, the one goes that has said nothing for longest.
    fn enter(&self, number: u64, leave: &Arc<Notify>) -> DescriptorPermit {
        let mut readers = lock_ignoring_poison(&self.readers);
        let drawn = self.descriptors.acquire(DescriptorUser::Control).filter(|_| readers.len() < READERS);
        if drawn.is_none() {
            let quietest = readers.iter().min_by_key(|(_, (heard, _))| *heard).map(|(number, _)| *number);
            if let Some((_, leave)) = quietest.and_then(|n| readers.remove(&n)) {
                leave.notify_one();
            }
        }
        readers.insert(number, (Instant::now(), leave.clone()));
        // Its place is the other one's, which closes within the moment.
        drawn.unwrap_or_else(|| self.descriptors.acquire_unchecked(DescriptorUser::Control))
    }

    fn heard(&self, number: u64) {
        if let Some((heard, _)) = lock_ignoring_poison(&self.readers).get_mut(&number) {
            *heard = Instant::now();
        }
    }

    /// What the loop answers; none if it ends before it has.
    async fn ask<T>(&self, ask: impl FnOnce(oneshot::Sender<T>) -> SiteRequest) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.events.send(LoopEvent::SiteRequest(ask(reply)));
        answer.await.ok()
    }

    /// A picture that is fresh, and not older than the last order.
    async fn picture(&self) -> Option<Arc<Snapshot>> {
        // While one asks, the others wait here and get the same.
        let mut last = self.picture.lock().await;
        let from = *lock_ignoring_poison(&self.ordered);
        let fresh = |p: &&Arc<Snapshot>| p.at.elapsed() < FRESH && from.is_none_or(|from| p.at >= from);
        if let Some(picture) = last.as_ref().filter(fresh) {
            return Some(picture.clone());
        }
        let picture = self.ask(|reply| SiteRequest::Snapshot { reply }).await?;
        *last = Some(picture.clone());
        Some(picture)
    }
}

async fn serve(mut stream: UnixStream, number: u64, line: &Line) -> io::Result<()> {
    let mut lines = LineDecoder::new(MAX_LINE_BYTES);
    let mut bytes = vec![0; 16 * 1024];
    let mut due = Instant::now();
    loop {
        let count = stream.read(&mut bytes).await?;
        if count == 0 {
            return Ok(());
        }
        line.heard(number);
        for read_line in lines.push(&bytes[..count]) {
            // A reader that asks all the time waits its turn, and what it sends next waits in its socket.
            let now = Instant::now();
            due = due.max(now - BURST * PACE) + PACE;
            sleep_until(due - PACE).await;
            let request = match read_line {
                Ok(text) => parse_request(&text),
                Err(LineError::NotUtf8) => {
                    Err(Box::new(Reply::error(Value::Null, "unreadable", "the line is not UTF-8")))
                }
                Err(LineError::TooLong) => {
                    let text = format!("a line has {MAX_LINE_BYTES} bytes at most");
                    write(&mut stream, &Reply::error(Value::Null, "too_long", text)).await?;
                    return Ok(());
                }
            };
            match request {
                Ok(Request { id, command: ControlCommand::Subscribe { every_ms, events }, .. }) => {
                    let every = every_ms.unwrap_or(USUAL_PUSH).max(LEAST_PUSH);
                    let events = events.then(|| line.blocks.events());
                    return push(stream, id, Duration::from_millis(every.into()), events, line).await;
                }
                Ok(Request { id, command, .. }) => {
                    let told = answer(command, line).await;
                    write(&mut stream, &Reply { v: VERSION, id, response: told }).await?;
                }
                Err(refusal) => write(&mut stream, &refusal).await?,
            }
        }
    }
}

async fn write(stream: &mut UnixStream, reply: &Reply) -> io::Result<()> {
    timeout(SLOW, stream.write_all(reply.to_line().as_bytes())).await?
}

/// Pushes what has changed until the reader goes. A slow one gets fewer pushes, each the latest.
async fn push(
    mut stream: UnixStream, id: Value, every: Duration, mut events: Option<Receiver<Event>>, line: &Line,
) -> io::Result<()> {
    let mut last: Option<Arc<Snapshot>> = None;
    let mut bytes = [0; 1024];
    loop {
        let Some(picture) = line.picture().await else { return Ok(()) };
        let same = |p: &Arc<Snapshot>| {
            let still = |p: &Snapshot| foldtrack_control::Status {
                at: 0,
                up_ms: 0,
                oldest_ms: 0,
                longest_round_us: 0,
                ..p.status.clone()
            };
            still(p) == still(&picture) && p.partners == picture.partners && p.endpoints == picture.endpoints
        };
        if !last.as_ref().is_some_and(same) {
            let told = ControlResponse::Changed {
                status: Box::new(picture.status.clone()),
                partners: picture.partners.clone(),
                endpoints: picture.endpoints.clone(),
            };
            write(&mut stream, &Reply { v: VERSION, id: id.clone(), response: told }).await?;
            last = Some(picture);
        }
        let due = sleep(every);
        tokio::pin!(due);
        loop {
            let told = tokio::select! {
                () = &mut due => break,
                told = next(&mut events) => told,
                // What a subscriber says is passed over; that it has gone is not.
                read = stream.read(&mut bytes) => {
                    if read? == 0 {
                        return Ok(());
                    }
                    due.as_mut().await;
                    break;
                }
            };
            write(&mut stream, &Reply { v: VERSION, id: id.clone(), response: ControlResponse::Event(told) })
                .await?;
        }
    }
}

/// The next event; none, for ever, for who wants none.
async fn next(events: &mut Option<Receiver<Event>>) -> Event {
    if let Some(events) = events {
        match events.recv().await {
            Ok(event) => return event,
            Err(RecvError::Lagged(missed)) => {
                let text = format!("{missed} events were missed: they came faster than they were read");
                return Event { kind: "missed".into(), text, ..Event::default() };
            }
            Err(RecvError::Closed) => {}
        }
    }
    pending().await
}

fn error(code: &str, text: &str) -> ControlResponse {
    ControlResponse::Error(Error { code: code.into(), text: text.into() })
}

/// Answers one request.
async fn answer(ask: ControlCommand, line: &Line) -> ControlResponse {
    let order = match ask {
        ControlCommand::Status
        | ControlCommand::Partners
        | ControlCommand::Endpoints
        | ControlCommand::Failures { .. }
        | ControlCommand::Queues { .. } => {
            let Some(picture) = line.picture().await else { return ending() };
            return show(ask, &picture);
        }
        ControlCommand::Message { message } => {
            let id = message.clone();
            return match line.ask(|reply| SiteRequest::Message { id, reply }).await {
                Some(Some(message)) => ControlResponse::Message(Box::new(message)),
                Some(None) => error("unknown_message", &format!("nothing is known of {message:?}")),
                None => ending(),
            };
        }
        ControlCommand::Peers => {
            let told = line.ask(|reply| SiteRequest::Peers { reply }).await;
            return of_peers(told, |peers| ControlResponse::Peers(Box::new(peers)));
        }
        ControlCommand::State => {
            let told = line.ask(|reply| SiteRequest::State { reply }).await;
            return of_peers(told, |state| ControlResponse::State(Box::new(state)));
        }
        ControlCommand::Clients { most } => {
            let most = most.unwrap_or(MAX_LIST_ENTRIES).min(MAX_LIST_ENTRIES) as usize;
            return ControlResponse::Clients(Box::new(line.blocks.clients(most)));
        }
        ControlCommand::Block { network, for_ms } => return block(line, &network, Some(for_ms)).await,
        ControlCommand::Unblock { network } => return block(line, &network, None).await,
        ControlCommand::Stop => {
            line.events.send(LoopEvent::Terminate);
            let version = line.picture().await.map_or(0, |p| p.status.membership);
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
            return error("unreadable", "resume names an endpoint or a partner, one of the two")
        }
        ControlCommand::Subscribe { .. } => return error("unreadable", "already read elsewhere"),
    };
    let told = match line.ask(|reply| SiteRequest::Order { order, reply }).await {
        Some(Ok(done)) => ControlResponse::Done(done),
        Some(Err(refused)) => ControlResponse::Error(refused),
        None => ending(),
    };
    *lock_ignoring_poison(&line.ordered) = Some(Instant::now());
    told
}

fn ending() -> ControlResponse {
    error("busy", "the forwarder is ending")
}

/// What is shown of the others, where there are any.
fn of_peers<T>(told: Option<Option<T>>, show: impl Fn(T) -> ControlResponse) -> ControlResponse {
    match told {
        Some(Some(told)) => show(told),
        Some(None) => error("refused", NO_PEERS),
        None => ending(),
    }
}

/// Blocks a network, or ends a block. Here, not in the loop: the file that keeps it may take its time. A block holds here
/// whatever the others say; it ends once a majority of them has told what it knows.
async fn block(line: &Line, network: &str, for_ms: Option<u64>) -> ControlResponse {
    let network = match foldtrack_site::check::parse_network(network) {
        Ok(network) => network,
        Err(problem) => return error("refused", &problem),
    };
    if for_ms.is_some_and(|for_ms| for_ms == 0 || for_ms > MAX_BLOCK_MS) {
        return error("refused", "a block lasts for 1 ms to 30 days");
    }
    let kept = for_ms.map(|for_ms| line.blocks.block(network, for_ms));
    let name = network.to_string();
    let done = match line.ask(|reply| SiteRequest::Network { network: name, for_ms, reply }).await {
        Some(Ok(done)) => done,
        Some(Err(refused)) => return ControlResponse::Error(refused),
        None => return ending(),
    };
    let changed = kept.map_or_else(|| line.blocks.unblock(&network), |kept| kept.map(|()| true));
    match changed {
        Ok(changed) => {
            ControlResponse::Done(foldtrack_control::OrderResult { changed: changed || done.changed, ..done })
        }
        Err(problem) => error("not_kept", &problem),
    }
}

fn show(ask: ControlCommand, picture: &Snapshot) -> ControlResponse {
    let most = |most: Option<u32>| most.unwrap_or(MAX_LIST_ENTRIES).min(MAX_LIST_ENTRIES) as usize;
    match ask {
        ControlCommand::Status => ControlResponse::Status(Box::new(picture.status.clone())),
        ControlCommand::Partners => ControlResponse::Partners(picture.partners.clone()),
        ControlCommand::Endpoints => ControlResponse::Endpoints(picture.endpoints.clone()),
        ControlCommand::Failures { most: lines } => {
            ControlResponse::Failures(picture.failures.iter().take(most(lines)).cloned().collect())
        }
        ControlCommand::Queues { partner, most: lines } => {
            let queues = picture.queues.iter();
            let of = |q: &&foldtrack_control::Queue| partner.as_ref().is_none_or(|p| *p == q.partner);
            ControlResponse::Queues(queues.filter(of).take(most(lines)).cloned().collect())
        }
        _ => error("unreadable", "nothing to show"),
    }
}
