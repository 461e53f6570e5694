//! The byte stream of a target below hyper's client: the first bytes of a response, which hyper does not expose if it can't
//! parse the rest.

use super::poll_read_socket;
use super::response_head::ResponseHead;
use crate::lock::lock_ignoring_poison;
use crate::read_turns::ReadTurn;
use http::HeaderMap;
use socket2::SockRef;
use std::cell::RefCell;
use std::io::{self, IoSlice, Read};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Bytes read at once before a call is given up.
const PENDING_BYTES: usize = 4096;
/// Text of the error that ends such a connection.
const TOO_MUCH_BEFORE_RESPONSE: &str = "too many bytes before the response";

thread_local! {
    /// Head and body of a request, on their way to a socket.
    static WRITE_BUFFER: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// The socket of a target, with the first bytes received since the last request.
#[derive(Debug)]
pub(crate) struct ResponseTap {
    stream: TcpStream,
    response: Mutex<ResponseHead>,
    arrival: Notify,
    /// The bytes on the socket are TLS records.
    encrypted: bool,
}

impl ResponseTap {
    pub fn new(stream: TcpStream, encrypted: bool) -> Arc<ResponseTap> {
        Arc::new(ResponseTap { stream, response: Mutex::default(), arrival: Notify::new(), encrypted })
    }

    fn response(&self) -> MutexGuard<'_, ResponseHead> {
        lock_ignoring_poison(&self.response)
    }

    /// The raw socket, for TLS or for hyper.
    pub fn socket(self: &Arc<Self>) -> SharedSocket {
        SharedSocket { tap: self.clone(), turn: ReadTurn::new() }
    }

    /// Makes the connection end by a reset, since its call is given up. After an ordinary close the
    /// kernel would go on sending what a network failure has held back: the message could arrive
    /// long after it was sent again, or after its client was told that it failed.
    pub fn reset_on_close(&self) {
        // A socket that rejects the option is closed in the ordinary way.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Forgets the previous response: a request is sent next, or the connection becomes idle.
    pub fn forget_response(&self) {
        *self.response() = ResponseHead::default();
    }

    /// The status of the response, read from its first line, whatever follows.
    pub fn status(&self) -> Option<u16> {
        self.response().status()
    }

    /// The status and those header lines of the response that have arrived.
    pub fn head(&self) -> Option<(u16, HeaderMap)> {
        self.response().status_and_headers()
    }

    /// Reads what the socket has received but nobody has read yet, before the call is given up: a
    /// response that crosses with it still counts. Under TLS nothing can be read without the keys.
    pub fn read_pending(&self) {
        if self.encrypted {
            return;
        }
        let mut bytes = [0; PENDING_BYTES];
        if let Ok(count) = (&*SockRef::from(&self.stream)).read(&mut bytes) {
            self.response().receive(&bytes[..count]);
        }
    }

    /// Whether a response has started, interim ones excluded.
    pub fn response_started(&self) -> bool {
        self.response().has_started()
    }

    /// Whether the target has sent too much that is no response. The connection ends then.
    pub fn exceeds_limit(&self) -> bool {
        self.response().exceeds_limit()
    }

    /// Waits until a response has started.
    pub async fn wait_for_response(&self) {
        while !self.response_started() {
            self.arrival.notified().await;
        }
    }

    /// What the socket has received that nobody has read yet. Asks the socket itself, since the
    /// runtime may not know yet.
    pub fn unread(&self) -> Unread {
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Unread::Nothing,
            Ok(1..) if self.encrypted => Unread::Record,
            Ok(1..) => Unread::Bytes,
            Ok(0) | Err(_) => Unread::End,
        }
    }
}

/// What a socket has received and nobody has read yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unread {
    /// Nothing; the connection is open.
    Nothing,
    /// Bytes of HTTP.
    Bytes,
    /// A TLS record, such as a session ticket, or data.
    Record,
    /// The end of the stream, or an error.
    End,
}

/// The socket of a connection, shared with its [`ResponseTap`].
#[derive(Debug)]
pub(crate) struct SharedSocket {
    tap: Arc<ResponseTap>,
    turn: ReadTurn,
}

impl AsyncRead for SharedSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let SharedSocket { tap, turn } = self.get_mut();
        if tap.exceeds_limit() {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, TOO_MUCH_BEFORE_RESPONSE)));
        }
        let before = buf.filled().len();
        ready!(turn.poll_read(cx, buf, |cx, buf| poll_read_socket(&tap.stream, cx, buf)))?;
        tap.response().count_socket_bytes(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for SharedSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.tap.stream.poll_write_ready(cx))?;
            match self.tap.stream.try_write(bytes) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    /// Writes the buffers together, as one write.
    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        WRITE_BUFFER.with_borrow_mut(|together| {
            together.clear();
            buffers.iter().for_each(|buffer| together.extend_from_slice(buffer));
            self.poll_write(cx, together)
        })
    }

    /// With it hyper keeps no copy of the bodies that it writes. The connection would keep its memory while it is idle.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.tap.stream).shutdown(Shutdown::Both))
    }
}

/// hyper's side of a connection: the socket, or TLS on top of it. Received bytes are recorded in
/// the [`ResponseTap`].
#[derive(Debug)]
pub(crate) struct TappedStream<S> {
    stream: S,
    tap: Arc<ResponseTap>,
}

impl<S> TappedStream<S> {
    pub fn new(stream: S, tap: Arc<ResponseTap>) -> TappedStream<S> {
        TappedStream { stream, tap }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TappedStream<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        this.tap.response().receive(&buf.filled()[before..]);
        this.tap.arrival.notify_one();
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TappedStream<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
#[path = "target_tests.rs"]
mod tests;
