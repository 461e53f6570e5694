//! The HTTP server that clients hand their messages in to.

use crate::client_connections::{ClientConnections, Seat};
use crate::clock::Clock;
use crate::ends_api::{self, EndsApi};
use crate::events::{EventSender, LoopEvent, Stage, SubmitReply};
use crate::message::Message;
use crate::streams::{HeadScan, Scanned};
use bytes::Bytes;
use foldtrack_admission::{Admit, Ask, Why};
use foldtrack_delivery::settings::DeploymentSettings;
use foldtrack_delivery::{Effect, Micros};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, SockRef, Socket, Type};
use std::convert::Infallible;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Semaphore};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

const LONGEST_BODY: usize = 64 * 1024;
/// Bytes that a connection buffers at most, and so the longest head.
const BUFFER: usize = 16 * 1024;
/// Longest name or key of a message.
const LONGEST_NAME: usize = 256;
/// A client whose head, or whose body after it, does not end within these spans has gone: clients wait 400 ms
/// for an answer. So long may a connection stand idle, too.
const HEAD_WAIT: Duration = Duration::from_secs(2);
const BODY_WAIT: Duration = Duration::from_millis(800);
/// Connections that wait to be accepted; the system may hold it lower (`net.core.somaxconn`).
const BACKLOG: i32 = 4096;
/// Pause after a connection could not be accepted, for want of descriptors say.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Connections that are turned away before the loop has its next turn.
const AWAY_IN_A_ROW: u32 = 32;
/// After so many failures in a row the spare descriptor is given up for a moment.
const SPARE_FROM: u32 = 10;

/// What the connections share.
pub(crate) struct ServerContext {
    pub settings: Arc<DeploymentSettings>,
    pub clock: Clock,
    pub events: EventSender,
    pub stage: watch::Receiver<Stage>,
    /// Bytes of bodies that may still be read before their messages are handed on.
    pub bodies: Semaphore,
    /// The same for those who are not known: what they leave of it is kept for known clients.
    pub unknown_client_bodies: Semaphore,
    /// At a site of its own: what else may be asked.
    pub ends_api: Option<EndsApi>,
    /// Where the site has other forwarders: whether this one has caught up with them.
    pub ready: Option<Arc<AtomicBool>>,
}

/// Binds the listener. Connections that are set up wait in the kernel's queue until they are accepted. Where it is full the
/// kernel passes over further ones, and these try again only after a second (RFC 6298), when their clients have given up: it
/// is as long as what can be accepted, and turned away, within a part of the time that a client waits.
///
/// # Errors
/// The address can't be listened on.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    // The connections of a process that was here before don't stand in the way.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Serves connections until the stage is [`Stage::Closing`]. Who gets a place is the gate's to say.
pub(crate) async fn serve(
    listener: TcpListener, context: Arc<ServerContext>, places: Arc<ClientConnections>,
) {
    let mut stage = context.stage.clone();
    let mut spare = Spare::new();
    let mut in_a_row = 0;
    for number in 0.. {
        let accept = async {
            places.settled().await;
            listener.accept().await
        };
        // What has connected by the end is served: a listener that is closed resets whoever waits in its queue.
        let accepted = tokio::select! {
            biased;
            accepted = accept => accepted,
            _ = stage.wait_for(|s| *s == Stage::Closing) => return,
        };
        let (stream, address) = match accepted {
            Ok((stream, peer)) => (stream, peer.ip()),
            Err(error) => {
                spare.refuse(&listener, &error).await;
                continue;
            }
        };
        spare.accepted();
        let mut waited = false;
        let seat = loop {
            let freed = places.freed.notified();
            match places.admit(number, address, waited) {
                Ok(seat) => break Some(seat),
                Err(Admit::Away { why, retry }) => {
                    turn_away(&stream, why, retry);
                    break None;
                }
                // Every place has an open request: this one waits for the next that ends.
                Err(_) => tokio::select! {
                    () = freed => waited = true,
                    _ = stage.wait_for(|s| *s == Stage::Closing) => return,
                },
            }
        };
        let turned_away = seat.is_none();
        if let Some(seat) = seat {
            tokio::spawn(connection(stream, context.clone(), seat));
        }
        // A crowd that connects at once leaves the others their turn. Turning somebody away is soon done: known clients
        // wait in the queue behind those, and should not wait for a round of the loop for each.
        in_a_row = if turned_away { (in_a_row + 1) % AWAY_IN_A_ROW } else { 0 };
        if in_a_row == 0 {
            yield_now().await;
        }
    }
}

/// Turns a connection away before a task or a buffer is made for it: told when to come again where that is known, and
/// otherwise closed in one step, without anything that lingers.
fn turn_away(stream: &TcpStream, why: Why, retry: Micros) {
    if why == Why::TooFast {
        let seconds = retry as f64 / 1e6;
        let answer = format!(
            "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {seconds:.3}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        );
        // A socket that takes not even this is closed like the others.
        let _ = stream.try_write(answer.as_bytes());
        return;
    }
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// A descriptor that is kept for the worst case: given up, it lets one connection be accepted and closed, so that the
/// queue of those that wait does not stand still with clients that think they are connected.
struct Spare {
    file: Option<File>,
    /// Failures to accept, one after another.
    failed: u32,
}

impl Spare {
    fn new() -> Spare {
        Spare { file: Self::kept(), failed: 0 }
    }

    fn kept() -> Option<File> {
        File::open("/dev/null").ok()
    }

    fn accepted(&mut self) {
        self.failed = 0;
        if self.file.is_none() {
            self.file = Self::kept();
        }
    }

    /// A connection could not be accepted. Accepting waits, while what is held goes on; where it lasts, the one that
    /// waits longest is closed.
    async fn refuse(&mut self, listener: &TcpListener, error: &io::Error) {
        if self.failed == 0 {
            eprintln!("clients: no connection can be accepted: {error}");
        }
        self.failed += 1;
        sleep(ACCEPT_PAUSE).await;
        if self.failed.is_multiple_of(SPARE_FROM) && self.file.take().is_some() {
            if let Ok(Ok((stream, _))) = timeout(ACCEPT_PAUSE, listener.accept()).await {
                turn_away(&stream, Why::Full, 0);
            }
            self.file = Self::kept();
        }
    }
}

async fn connection(stream: TcpStream, context: Arc<ServerContext>, seat: Seat) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut stage = context.stage.clone();
    let (sound, heads) = (Arc::new(AtomicUsize::new(0)), AtomicUsize::new(0));
    let scan = HeadScan::new(sound.clone());
    let seat = Arc::new(seat);
    let own = seat.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let sound = heads.fetch_add(1, Ordering::Relaxed) < sound.load(Ordering::Relaxed);
        let (context, seat) = (context.clone(), own.clone());
        let ask = seat.asks();
        async move {
            let response = match ask {
                Ask::Go => answer(request, sound, seat.is_known(), &context).await,
                Ask::Away { retry, .. } => refused(retry.div_ceil(1000)),
            };
            if matches!(response.status(), StatusCode::BAD_REQUEST | StatusCode::REQUEST_TIMEOUT) {
                seat.misbehaved();
            }
            let close = seat.answered(response.status() == StatusCode::ACCEPTED);
            Ok::<_, Infallible>(if close { closing(response) } else { response })
        }
    });
    let serving = http1::Builder::new()
        .max_buf_size(BUFFER)
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_WAIT)
        .serve_connection(TokioIo::new(Scanned::new(stream, scan)), service);
    tokio::pin!(serving);
    // Errors are the client's: it has gone, or does not speak HTTP. A request that has come is read before the
    // connection is told to close: it would be cut off unanswered.
    loop {
        tokio::select! {
            biased;
            end = serving.as_mut() => {
                if end.is_err_and(|e| stood_still(&e)) {
                    seat.misbehaved();
                }
                return;
            }
            _ = stage.wait_for(|s| *s == Stage::Closing) => break,
            // With a request open it leaves with the answer.
            () = seat.leave.notified() => if seat.may_leave() { return },
        }
    }
    serving.as_mut().graceful_shutdown();
    let _ = serving.await;
}

/// Whether a connection ended because its client did not take its answer.
fn stood_still(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error).and_then(|e| e.downcast_ref::<io::Error>());
    source.is_some_and(|e| e.kind() == io::ErrorKind::TimedOut)
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

async fn answer(
    request: Request<Incoming>, sound: bool, known: bool, context: &ServerContext,
) -> Response<Full<Bytes>> {
    // What follows on the connection can't be told apart behind a chunked body; see `streams`.
    let last = request.headers().contains_key(TRANSFER_ENCODING);
    let response = match (request.method(), request.uri().path()) {
        _ if !sound => plain(StatusCode::BAD_REQUEST),
        (&Method::GET, "/healthz") => {
            match context.ready.as_ref().is_none_or(|r| r.load(Ordering::Relaxed)) {
                true => plain(StatusCode::OK),
                false => plain(StatusCode::SERVICE_UNAVAILABLE),
            }
        }
        (&Method::GET, path) if path.starts_with("/v1/") => {
            let Some(ends_api) = &context.ends_api else { return closing(plain(StatusCode::NOT_FOUND)) };
            match path.strip_prefix("/v1/messages/") {
                Some(id) => ends_api::message(id, &context.events).await,
                None if path == "/v1/ends" => {
                    ends_api::ends(request.uri().query().unwrap_or(""), ends_api, &context.events).await
                }
                None => plain(StatusCode::NOT_FOUND),
            }
        }
        _ => hand_in(request, known, context).await.unwrap_or_else(plain),
    };
    // A client that sends what is wrong does not get to go on at once.
    if last || response.status().is_client_error() || *context.stage.borrow() != Stage::Serving {
        return closing(response);
    }
    response
}

/// Not taken on; with when to come again, if that is known.
fn refused(retry_in_ms: u64) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
    if retry_in_ms > 0 {
        let seconds = format!("{:.3}", retry_in_ms as f64 / 1e3);
        response.headers_mut().extend(HeaderValue::try_from(seconds).ok().map(|v| (RETRY_AFTER, v)));
    }
    response
}

fn closing(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Hands a message to the node and waits for what becomes of it.
async fn hand_in(
    request: Request<Incoming>, known: bool, context: &ServerContext,
) -> Result<Response<Full<Bytes>>, StatusCode> {
    let message = read(request, known, context).await?;
    let (reply, answer) = oneshot::channel();
    context.events.send(LoopEvent::Submit { message: Arc::new(message), from_known_client: known, reply });
    match answer.await {
        Ok(SubmitReply::Accepted(mut receipt)) => {
            // When the client has closed, the connection drops this future before it comes here.
            receipt.written = true;
            Ok(plain(StatusCode::ACCEPTED))
        }
        Ok(SubmitReply::Refused { retry_in_ms }) => Ok(refused(retry_in_ms)),
        Ok(SubmitReply::Duplicate { over: false }) => Ok(plain(StatusCode::ACCEPTED)),
        Ok(SubmitReply::Duplicate { over: true }) => Err(StatusCode::CONFLICT),
        Err(_) => Err(StatusCode::SERVICE_UNAVAILABLE),
    }
}

async fn read(
    request: Request<Incoming>, known: bool, context: &ServerContext,
) -> Result<Message, StatusCode> {
    const BAD: StatusCode = StatusCode::BAD_REQUEST;
    // The client's time runs since it sent: what the body takes to come counts.
    let now = context.clock.now();
    let path = request.uri().path().trim_start_matches('/');
    let (class_name, key) = path.split_once('/').unwrap_or((path, ""));
    let place = context.settings.class_names.iter().position(|n| n == class_name);
    let class = place.ok_or(StatusCode::NOT_FOUND)?;
    if request.method() != Method::POST {
        return Err(StatusCode::METHOD_NOT_ALLOWED);
    }
    let rules = &context.settings.settings.classes[class];
    let key = if rules.in_order { key.rsplit('/').next().unwrap_or("").to_string() } else { String::new() };
    let header = |name: &str| -> Result<Option<String>, StatusCode> {
        let mut values = request.headers().get_all(name).iter();
        let Some(value) = values.next() else { return Ok(None) };
        // Of two, a target could go by the other one.
        let value = value.to_str().ok().filter(|v| values.next().is_none() && v.len() <= LONGEST_NAME);
        Ok(Some(value.ok_or(BAD)?.trim().to_string()))
    };
    let id = header("X-Request-Id")?.filter(|id| !id.is_empty()).ok_or(BAD)?;
    let told = header("X-Deadline")?;
    let (left, destination) = match &context.ends_api {
        None => {
            let destination = header("X-Consignee")?.and_then(|t| destination(&t)).ok_or(BAD)?;
            (told.and_then(|t| span(&t)), destination)
        }
        // A site's clients name partners, and need not know what the class says.
        Some(ends_api) => {
            let partner = header("X-Partner")?.ok_or(BAD)?;
            let number = ends_api.partners.get(&partner).ok_or(StatusCode::NOT_FOUND)?;
            (told.map_or(Some(rules.deadline), |t| span(&t)), *number)
        }
    };
    let left = left.filter(|l| *l <= rules.deadline).ok_or(BAD)?;
    let idempotency_key = header("Idempotency-Key")?;
    if rules.effect == Effect::Keyed && idempotency_key.is_none() {
        return Err(BAD);
    }
    let retry = header("X-Retry")?;
    if key.len() > LONGEST_NAME {
        return Err(BAD);
    }
    if request.body().size_hint().lower() > LONGEST_BODY as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    // Guards the memory against a crowd of bodies at once.
    let length = request.body().size_hint().upper().map_or(LONGEST_BODY, |n| n as usize) as u32;
    let body = async {
        let others = if known { 0 } else { length };
        let _unknown_permit = context.unknown_client_bodies.acquire_many(others).await;
        let _room = context.bodies.acquire_many(length).await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
        match Limited::new(request.into_body(), LONGEST_BODY).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
            Err(_) => Err(BAD),
        }
    };
    let body = timeout(BODY_WAIT, body).await.map_err(|_| StatusCode::REQUEST_TIMEOUT)??;
    let expires = now.checked_add(left).ok_or(BAD)?;
    Ok(Message { id, class, destination, key, idempotency_key, retry, expires, body })
}

/// A span as a number and a unit: `480m` milliseconds or `900u` microseconds.
fn span(text: &str) -> Option<Micros> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let factor = match unit {
        "m" => 1000.0,
        "u" => 1.0,
        _ => return None,
    };
    let span = number.parse::<f64>().ok()? * factor;
    (0.0..1e15).contains(&span).then_some(span as Micros)
}

fn destination(text: &str) -> Option<u32> {
    let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    let number = pairs.find(|(name, _)| name.trim() == "dest")?.1.trim().parse::<f64>().ok()?;
    (number.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(&number)).then_some(number as u32)
}
