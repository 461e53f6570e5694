//! The HTTP server to which clients submit messages.

use crate::client_connections::{ClientConnections, ConnectionPermit};
use crate::clock::Clock;
use crate::ends_api::{self, EndsApi};
use crate::events::{EventSender, LoopEvent, Stage, SubmitReply};
use crate::message::Message;
use crate::request_bodies::{BodyPermit, ReadError, RequestBodies, MAX_BODY_BYTES};
use crate::streams::{ClientSocket, HeadScan, ScannedStream};
use crate::submission::SubmissionHead;
use bytes::Bytes;
use foldtrack_admission::{ConnectDecision, RejectReason, RequestDecision};
use foldtrack_delivery::settings::DeploymentSettings;
use foldtrack_delivery::Micros;
use foldtrack_memory::plan::CLIENT_SEND_BUFFER_BYTES;
use foldtrack_memory::Priority;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, SockRef, Socket, Type};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// Read buffer of a connection in bytes, and so the maximum size of a request head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Time for a request head, and the idle timeout of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a client that waits for a connection looks for a body that can give way.
const EVICTION_INTERVAL: Duration = Duration::from_millis(10);
/// Length of the accept queue; the system may cap it (`net.core.somaxconn`).
const BACKLOG: i32 = 4096;
/// Pause after accept has failed, for lack of descriptors for example.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Connections that are rejected in a row before the task yields to the event loop.
const REJECTIONS_PER_YIELD: u32 = 32;
/// Number of consecutive accept failures after which the spare descriptor is used.
const SPARE_AFTER_FAILURES: u32 = 10;

/// State shared by all client connections.
pub(crate) struct ServerContext {
    /// The settings, for classes and their rules.
    pub settings: Arc<DeploymentSettings>,
    /// The clock of the process.
    pub clock: Clock,
    /// The channel to the event loop.
    pub events: EventSender,
    /// How far the shutdown has proceeded.
    pub stage: watch::Receiver<Stage>,
    /// The request bodies that are being read.
    pub bodies: Arc<RequestBodies>,
    /// What else clients may request; only with a site file.
    pub ends_api: Option<EndsApi>,
    /// Whether this forwarder has caught up with the others of the site; none if there are no
    /// others.
    pub ready: Option<Arc<AtomicBool>>,
}

/// Binds the listener. Established connections wait in the kernel's accept queue. When it is full,
/// the kernel drops further ones, which retry only after a second (RFC 6298), when their clients
/// have given up. So the queue is as long as what can be accepted and rejected within a fraction of
/// the time that a client waits.
///
/// # Errors
/// The address can't be bound.
pub(crate) fn listen(address: SocketAddr, receive_buffer: usize) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    // Connections left over from a previous process must not prevent binding.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    // Accepted sockets inherit the buffers. A system that refuses the sizes keeps its own.
    let _ = socket.set_recv_buffer_size(receive_buffer);
    let _ = socket.set_send_buffer_size(CLIENT_SEND_BUFFER_BYTES);
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts connections until the stage is [`Stage::Closing`]. The gate decides which are admitted.
pub(crate) async fn serve(
    listener: TcpListener, context: Arc<ServerContext>, connections: Arc<ClientConnections>,
) {
    let mut stage = context.stage.clone();
    let mut spare = SpareDescriptor::new();
    let mut rejections = 0;
    for number in 0.. {
        let accept = async {
            connections.wait_for_lingering().await;
            listener.accept().await
        };
        // Connections in the queue are served until the end: closing the listener would reset them.
        let accepted = tokio::select! {
            biased;
            accepted = accept => accepted,
            _ = stage.wait_for(|s| *s == Stage::Closing) => return,
        };
        let (stream, address) = match accepted {
            Ok((stream, peer)) => (stream, peer.ip()),
            Err(error) => {
                if spare.failures == 0 {
                    eprintln!("clients: accept failed: {error}; {}", connections.descriptors().describe());
                }
                spare.handle_failure(&listener).await;
                continue;
            }
        };
        spare.accepted();
        let mut waited = false;
        let permit = loop {
            let freed = connections.capacity_freed.notified();
            match connections.admit(number, address, waited) {
                Ok(permit) => break Some(permit),
                Err(ConnectDecision::Reject { reason, retry_after }) => {
                    reject(&stream, reason, retry_after);
                    break None;
                }
                // Every slot has a request in flight: wait until one is free.
                Err(_) => {
                    waited = true;
                    context.bodies.evict_oldest();
                    tokio::select! {
                        () = freed => {}
                        () = sleep(EVICTION_INTERVAL) => {}
                        _ = stage.wait_for(|s| *s == Stage::Closing) => return,
                    }
                }
            }
        };
        let rejected = permit.is_none();
        if let Some(permit) = permit {
            tokio::spawn(connection(stream, context.clone(), permit));
        }
        // Yields after each admitted connection, so that a burst of them leaves other tasks their
        // turn. Rejecting is cheap, and known clients wait in the queue behind the rejected ones:
        // they should not wait for a turn of the loop for each.
        rejections = if rejected { (rejections + 1) % REJECTIONS_PER_YIELD } else { 0 };
        if rejections == 0 {
            yield_now().await;
        }
    }
}

/// Rejects a connection before a task or a buffer is allocated for it. If a retry time is known,
/// the client is sent it; otherwise the connection is reset, which leaves nothing in a closing
/// state.
fn reject(stream: &TcpStream, reason: RejectReason, retry_after: Micros) {
    if reason == RejectReason::RateLimited {
        let seconds = retry_after as f64 / 1e6;
        let answer = format!(
            "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {seconds:.3}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        );
        // If the socket can't take even this, it is just closed.
        let _ = stream.try_write(answer.as_bytes());
        return;
    }
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// A spare descriptor for when the process has none left. Releasing it allows one connection to be
/// accepted and closed, so that the accept queue does not stall with clients that believe they are
/// connected.
struct SpareDescriptor {
    file: Option<File>,
    /// Consecutive accept failures.
    failures: u32,
}

impl SpareDescriptor {
    fn new() -> SpareDescriptor {
        SpareDescriptor { file: Self::open(), failures: 0 }
    }

    /// Opens the spare descriptor.
    fn open() -> Option<File> {
        File::open("/dev/null").ok()
    }

    /// Records a success, and opens the spare descriptor again if it was used.
    fn accepted(&mut self) {
        self.failures = 0;
        if self.file.is_none() {
            self.file = Self::open();
        }
    }

    /// Handles a failure to accept. Accepting pauses while existing connections proceed; if the
    /// failures persist, the connection that has waited longest is closed.
    async fn handle_failure(&mut self, listener: &TcpListener) {
        self.failures += 1;
        sleep(ACCEPT_PAUSE).await;
        if self.failures.is_multiple_of(SPARE_AFTER_FAILURES) && self.file.take().is_some() {
            if let Ok(Ok((stream, _))) = timeout(ACCEPT_PAUSE, listener.accept()).await {
                reject(&stream, RejectReason::NoCapacity, 0);
            }
            self.file = Self::open();
        }
    }
}

/// Serves one client connection until either side closes it.
async fn connection(stream: TcpStream, context: Arc<ServerContext>, permit: ConnectionPermit) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut stage = context.stage.clone();
    let (valid_heads, heads) = (Arc::new(AtomicUsize::new(0)), AtomicUsize::new(0));
    let scan = HeadScan::new(valid_heads.clone());
    let permit = Arc::new(permit);
    let socket = ClientSocket::new(stream);
    let (service_permit, service_socket) = (permit.clone(), socket.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let valid_head = heads.fetch_add(1, Ordering::Relaxed) < valid_heads.load(Ordering::Relaxed);
        let (context, permit, socket) = (context.clone(), service_permit.clone(), service_socket.clone());
        let decision = permit.begin_request();
        async move {
            let response = match decision {
                RequestDecision::Accept => {
                    respond(request, valid_head, permit.is_known(), &context, &socket).await?
                }
                RequestDecision::Reject { retry_after, .. } => {
                    context.bodies.discard(request.into_body()).await;
                    refusal(retry_after.div_ceil(1000))
                }
            };
            if matches!(response.status(), StatusCode::BAD_REQUEST | StatusCode::REQUEST_TIMEOUT) {
                permit.penalize();
            }
            let close = permit.end_request(response.status() == StatusCode::ACCEPTED);
            Ok::<_, ClientLeft>(if close { with_close(response) } else { response })
        }
    });
    let serving = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(ScannedStream::new(socket, scan)), service);
    tokio::pin!(serving);
    // Errors are the client's: it has gone, or does not speak HTTP. A request that has already
    // arrived is read before the connection shuts down; otherwise it would be cut off without an
    // answer.
    loop {
        tokio::select! {
            biased;
            end = serving.as_mut() => {
                if end.is_err_and(|e| is_write_timeout(&e)) {
                    permit.penalize();
                }
                return;
            }
            _ = stage.wait_for(|s| *s == Stage::Closing) => break,
            // With a request in flight, the connection closes after its response.
            () = permit.close_requested.notified() => if permit.can_close() { return },
        }
    }
    serving.as_mut().graceful_shutdown();
    let _ = serving.await;
}

/// The client of a request has closed its connection: nobody hears an answer, and the message is not accepted.
#[derive(Clone, Copy, Debug)]
struct ClientLeft;

impl std::fmt::Display for ClientLeft {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the client has closed its connection")
    }
}

impl std::error::Error for ClientLeft {}

/// Whether a connection ended because its client did not read its response.
fn is_write_timeout(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error).and_then(|e| e.downcast_ref::<io::Error>());
    source.is_some_and(|e| e.kind() == io::ErrorKind::TimedOut)
}

/// A response without a body.
fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Routes a request. `valid_head` is false if [`HeadScan`] found its framing ambiguous.
async fn respond(
    request: Request<Incoming>, valid_head: bool, known: bool, context: &ServerContext, socket: &ClientSocket,
) -> Result<Response<Full<Bytes>>, ClientLeft> {
    // The bytes after a chunked body can't be parsed safely; see `streams`.
    let chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let response = match (request.method(), request.uri().path()) {
        _ if !valid_head => empty_response(StatusCode::BAD_REQUEST),
        (&Method::GET, "/healthz") => {
            match context.ready.as_ref().is_none_or(|r| r.load(Ordering::Relaxed)) {
                true => empty_response(StatusCode::OK),
                false => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            }
        }
        (&Method::GET, path) if path.starts_with("/v1/") => {
            let Some(ends_api) = &context.ends_api else {
                return Ok(with_close(empty_response(StatusCode::NOT_FOUND)));
            };
            match path.strip_prefix("/v1/messages/") {
                Some(id) => ends_api::message(id, &context.events).await,
                None if path == "/v1/ends" => {
                    ends_api::ends(request.uri().query().unwrap_or(""), ends_api, &context.events).await
                }
                None => empty_response(StatusCode::NOT_FOUND),
            }
        }
        _ => match read_message(request, known, context).await {
            Ok((message, _permit)) => submit(message, known, context, socket).await?,
            // The rest of the body is not read.
            Err(StatusCode::SERVICE_UNAVAILABLE) => {
                with_close(empty_response(StatusCode::SERVICE_UNAVAILABLE))
            }
            Err(status) => empty_response(status),
        },
    };
    // After a client error the connection is closed.
    if chunked || response.status().is_client_error() || *context.stage.borrow() != Stage::Serving {
        return Ok(with_close(response));
    }
    Ok(response)
}

/// A 503 response, with `Retry-After` if the time is known.
fn refusal(retry_in_ms: u64) -> Response<Full<Bytes>> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    if retry_in_ms > 0 {
        let seconds = format!("{:.3}", retry_in_ms as f64 / 1e3);
        response.headers_mut().extend(HeaderValue::try_from(seconds).ok().map(|v| (RETRY_AFTER, v)));
    }
    response
}

/// Adds `Connection: close`.
fn with_close(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Passes a message to the event loop and waits for its decision.
///
/// # Errors
/// The client has left before. It may also leave while its message is decided on: see [`ClientSocket::poll_write`].
async fn submit(
    message: Message, known: bool, context: &ServerContext, socket: &ClientSocket,
) -> Result<Response<Full<Bytes>>, ClientLeft> {
    if socket.client_has_left() {
        tracing::info!(request_id = message.id, "client left before its message was accepted");
        return Err(ClientLeft);
    }
    let (reply, answer) = oneshot::channel();
    context.events.send(LoopEvent::Submit { message: Arc::new(message), from_known_client: known, reply });
    Ok(match answer.await {
        Ok(SubmitReply::Accepted(receipt)) => {
            // If the client has closed the connection, this future is dropped before it gets here.
            socket.add_receipt(receipt);
            empty_response(StatusCode::ACCEPTED)
        }
        Ok(SubmitReply::Refused { retry_in_ms }) => refusal(retry_in_ms),
        Ok(SubmitReply::Duplicate { over: false }) => empty_response(StatusCode::ACCEPTED),
        Ok(SubmitReply::Duplicate { over: true }) => empty_response(StatusCode::CONFLICT),
        Err(_) => with_close(empty_response(StatusCode::SERVICE_UNAVAILABLE)),
    })
}

/// Reads a message from a request; the error is the status of the response.
async fn read_message(
    request: Request<Incoming>, known: bool, context: &ServerContext,
) -> Result<(Message, BodyPermit), StatusCode> {
    // The client's deadline counts from when it sent the request, so the transfer of the body is
    // included.
    let head =
        SubmissionHead::read(&request, context.clock.now(), &context.settings, context.ends_api.as_ref());
    let body = request.into_body();
    let too_long = body.size_hint().lower() > MAX_BODY_BYTES as u64;
    let head = match head {
        Ok(head) if !too_long => head,
        rejected => {
            context.bodies.discard(body).await;
            return Err(rejected.err().unwrap_or(StatusCode::PAYLOAD_TOO_LARGE));
        }
    };
    let priority = if known { Priority::Known } else { Priority::Unknown };
    let read = context.bodies.read(body, priority).await;
    let (body, permit) = read.map_err(|error| match error {
        ReadError::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        ReadError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        ReadError::Timeout => StatusCode::REQUEST_TIMEOUT,
        ReadError::Invalid => StatusCode::BAD_REQUEST,
    })?;
    Ok((head.with_body(body), permit))
}
