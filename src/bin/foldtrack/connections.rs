//! Connections to targets: each carries one call at a time, and [`ConnectionPool`] keeps idle ones
//! for reuse.

mod pool;
mod reset_stats;

pub(crate) use pool::{ConnectionPool, ConnectionStats, PoolSettings};

use crate::delivery_log::{self, CloseReason};
use crate::descriptors::DescriptorPermit;
use crate::streams::{ResponseTap, TappedStream, Unread};
use bytes::Bytes;
use foldtrack_pool::IdleConnection;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};
use tokio_rustls::rustls::pki_types::ServerName;
use tokio_rustls::rustls::{self, ClientConfig};
use tokio_rustls::TlsConnector;

/// Time for the rest of a response head after its first byte; a slower one counts as unreadable.
const HEAD_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of a response head in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The buffer of a response grows by one part in this many of its size.
const BUFFER_GROWTH_DIVISOR: usize = 4;

/// How connections to a partner are encrypted.
#[derive(Clone, Debug)]
pub(crate) struct Encryption {
    /// The name that the certificate must be valid for.
    pub name: ServerName<'static>,
    /// The configuration of the current files. Open connections keep the one they were opened with.
    pub config: watch::Receiver<Arc<ClientConfig>>,
}

/// Identifies a connection in the log, and how often it was used before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionId {
    /// Its number among the connections of this process.
    pub number: u64,
    /// Requests that were written to it so far.
    pub earlier_calls: u32,
}

/// An HTTP connection. Dropping it closes it, also during a call.
#[derive(Debug)]
pub(crate) struct Connection {
    id: ConnectionId,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    opened: Instant,
    /// Start of the current idle period. A call that was prepared on this connection but never
    /// written does not reset it, since the partner's idle timer is not reset either.
    idle_since: Instant,
    /// When the connection becomes too old to be reused.
    retire_at: Option<Instant>,
    /// How the connection ended, if it did.
    end: Arc<OnceLock<ConnectionEnd>>,
    _descriptor: Option<DescriptorPermit>,
    /// Access to the raw socket and to the first bytes of the response.
    pub tap: Arc<ResponseTap>,
}

/// How a connection ended by itself.
#[derive(Clone, Copy, Debug)]
struct ConnectionEnd {
    at: Instant,
    reason: CloseReason,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why a request got no response.
pub(crate) enum SendError {
    /// The request was returned before a byte of it was written.
    Unsent,
    /// The connection ended during the call.
    ConnectionLost,
    /// The partner rejected the TLS handshake with an alert that arrived after it, before anything
    /// else: nothing that was written has been read as a request.
    Refused(String),
    /// The response can't be parsed.
    UnreadableResponse,
}

impl Connection {
    /// Opens a connection, encrypted if `tls` is given. `descriptor` is the permit for it; none for
    /// internal connections, which are counted by their fixed number.
    pub async fn open(
        address: SocketAddr, tls: Option<&Encryption>, descriptor: Option<DescriptorPermit>,
    ) -> io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let tap = ResponseTap::new(stream, tls.is_some());
        let Some(tls) = tls else {
            return Connection::on(TappedStream::new(tap.socket(), tap.clone()), tap, descriptor).await;
        };
        let config = tls.config.borrow().clone();
        let stream = TlsConnector::from(config).connect(tls.name.clone(), tap.socket()).await?;
        Connection::on(TappedStream::new(stream, tap.clone()), tap, descriptor).await
    }

    async fn on<S: AsyncRead + AsyncWrite + Unpin + Send + 'static>(
        stream: TappedStream<S>, tap: Arc<ResponseTap>, descriptor: Option<DescriptorPermit>,
    ) -> io::Result<Connection> {
        let handshake =
            http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        // Errors reach the call in flight; between calls they only end the connection.
        let end = Arc::new(OnceLock::new());
        let (end_cell, end_tap) = (end.clone(), tap.clone());
        let driver = tokio::spawn(async move {
            let reason = match connection.await {
                Err(_) if end_tap.exceeds_limit() => CloseReason::TooMuchBeforeResponse,
                Err(error) if is_unexpected_message(&error) => CloseReason::UnexpectedBytes,
                _ => CloseReason::ClosedByTarget,
            };
            let _ = end_cell.set(ConnectionEnd { at: Instant::now(), reason });
        });
        static OPENED: AtomicU64 = AtomicU64::new(0);
        let number = OPENED.fetch_add(1, Ordering::Relaxed) + 1;
        let opened = Instant::now();
        let (idle_since, retire_at) = (opened, None);
        Ok(Connection {
            id: ConnectionId { number, earlier_calls: 0 },
            sender,
            driver,
            opened,
            idle_since,
            retire_at,
            end,
            _descriptor: descriptor,
            tap,
        })
    }

    /// Sends a request and waits for the head of its response.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        self.tap.forget_response();
        self.id.earlier_calls += 1;
        let unread = async {
            self.tap.wait_for_response().await;
            sleep(HEAD_TIMEOUT).await;
        };
        tokio::select! {
            biased;
            answer = self.sender.try_send_request(request) => {
                answer.map_err(|mut error| match error.take_message() {
                    Some(_) => SendError::Unsent,
                    None if self.tap.response_started() || self.tap.exceeds_limit() => {
                        SendError::UnreadableResponse
                    }
                    None => handshake_rejection(&error.into_error())
                        .map_or(SendError::ConnectionLost, SendError::Refused),
                })
            }
            // Guards against a response head without an end, which would hold the call until its
            // deadline.
            () = unread => Err(SendError::UnreadableResponse),
        }
    }

    /// Reads a response to its end and waits until the next request may be sent.
    pub async fn finish(&mut self, body: Incoming, limit: usize) -> Option<Vec<u8>> {
        let body = read_body(body, limit).await?;
        self.become_idle().await?;
        Some(body)
    }

    /// Like [`Connection::finish`] for a response whose body has no meaning.
    pub async fn finish_unread(&mut self, body: Incoming, limit: usize) -> Option<()> {
        skip_body(body, limit).await?;
        self.become_idle().await
    }

    /// Waits until the next request may be sent.
    async fn become_idle(&mut self) -> Option<()> {
        self.sender.ready().await.ok()?;
        self.tap.forget_response();
        self.idle_since = Instant::now();
        Some(())
    }

    /// Its number and how many requests were written to it.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Logs that the connection is closed, which happens when it is dropped.
    pub fn log_close(&self, reason: CloseReason) {
        delivery_log::connection_closed(self.id, Duration::from_micros(self.idle_time()), reason);
    }

    /// How long the connection was idle when it was closed, in microseconds; up to now if that is
    /// not known.
    fn idle_time(&self) -> u64 {
        let until = self.end.get().map_or_else(Instant::now, |end| end.at);
        until.saturating_duration_since(self.idle_since).as_micros() as u64
    }

    /// Whether bytes have arrived that nobody has read. Under TLS they may be a session ticket.
    pub fn has_unasked_bytes(&self) -> bool {
        self.tap.unread() == Unread::Bytes
    }

    /// The connection as the reuse policy sees it.
    fn as_idle(&self, now: Instant) -> IdleConnection {
        let idle = now.saturating_duration_since(self.idle_since).as_micros() as u64;
        IdleConnection { used: self.id.earlier_calls > 0, idle }
    }

    /// Why the connection can't carry another call; none if it is open and nothing unexpected has
    /// arrived on it. An unread session ticket of TLS costs a handshake but no message.
    pub fn defect(&self) -> Option<CloseReason> {
        if let Some(end) = self.end.get() {
            return Some(end.reason);
        }
        match self.tap.unread() {
            Unread::Bytes => Some(CloseReason::UnexpectedBytes),
            Unread::Nothing if self.sender.is_ready() && !self.sender.is_closed() => None,
            Unread::Nothing | Unread::Record | Unread::End => Some(CloseReason::ClosedByTarget),
        }
    }

    /// Why the connection has to leave the pool, as far as that is known without a system call; none
    /// if it may stay.
    fn expiry(&self, now: Instant, max_idle: Duration) -> Option<CloseReason> {
        if let Some(end) = self.end.get() {
            return Some(end.reason);
        }
        if self.sender.is_closed() {
            return Some(CloseReason::ClosedByTarget);
        }
        if now >= self.idle_since + max_idle {
            return Some(CloseReason::IdleTooLong);
        }
        self.retire_at.filter(|at| now >= *at).map(|_| CloseReason::TooOld)
    }
}

/// Reads a response to its end. None if it is unreadable or longer than the limit.
pub(crate) async fn read_body(body: Incoming, limit: usize) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    for_each_piece(body, |piece| {
        let fits = bytes.len() + piece.len() <= limit;
        if fits {
            if bytes.capacity() - bytes.len() < piece.len() {
                bytes.reserve_exact(piece.len().max(bytes.len() / BUFFER_GROWTH_DIVISOR));
            }
            bytes.extend_from_slice(piece);
        }
        fits
    })
    .await
    .map(|()| bytes)
}

/// Reads a response to its end and drops its bytes. None if it is unreadable or longer than the limit.
async fn skip_body(body: Incoming, limit: usize) -> Option<()> {
    let mut length = 0;
    for_each_piece(body, |piece| {
        length += piece.len();
        length <= limit
    })
    .await
}

/// Passes on the pieces of a body until `take` returns false. No piece is kept: each would keep a whole read buffer alive.
async fn for_each_piece(mut body: Incoming, mut take: impl FnMut(&[u8]) -> bool) -> Option<()> {
    while let Some(frame) = body.frame().await {
        let frame = frame.ok()?;
        if !frame.data_ref().is_none_or(|piece| take(piece)) {
            return None;
        }
    }
    Some(())
}

/// Whether hyper has read bytes that answer no request. It has no predicate for this kind of error,
/// which is the only one without a predicate and without a source.
fn is_unexpected_message(error: &hyper::Error) -> bool {
    let named = error.is_parse()
        || error.is_user()
        || error.is_canceled()
        || error.is_closed()
        || error.is_incomplete_message()
        || error.is_timeout();
    !named && std::error::Error::source(error).is_none()
}

/// Returns why the partner rejected the TLS handshake, if the connection ended by an alert that
/// belongs to the handshake alone. Under TLS 1.3 a client has finished its part and sends its
/// request before the server has checked its certificate (RFC 8446, section 4.4.2.4 and appendix
/// E.1.1); a server that rejects it never reads the request.
fn handshake_rejection(error: &hyper::Error) -> Option<String> {
    let io = std::error::Error::source(error)?.downcast_ref::<io::Error>()?;
    let tls = io.get_ref()?.downcast_ref::<rustls::Error>()?;
    foldtrack_tls::is_peer_rejection(tls).then(|| foldtrack_tls::describe_error(tls))
}
