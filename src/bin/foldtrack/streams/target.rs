//! The byte stream of a target below hyper's client: the first bytes of a response, which hyper does not expose if it can't
//! parse the rest.

use super::field;
use http::{HeaderMap, HeaderName, HeaderValue};
use socket2::SockRef;
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Bytes kept of a response: its head, after a few interim responses.
const MAX_TAPPED_BYTES: usize = 4096;

/// The socket of a target, with the first bytes received since the last request.
#[derive(Debug)]
pub(crate) struct ResponseTap {
    stream: Arc<TcpStream>,
    received: Mutex<Vec<u8>>,
    arrival: Notify,
    /// The bytes on the socket are TLS records.
    encrypted: bool,
}

impl ResponseTap {
    pub fn new(stream: TcpStream, encrypted: bool) -> Arc<ResponseTap> {
        Arc::new(ResponseTap {
            stream: Arc::new(stream),
            received: Mutex::default(),
            arrival: Notify::new(),
            encrypted,
        })
    }

    fn received(&self) -> MutexGuard<'_, Vec<u8>> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The raw socket, for TLS or for hyper.
    pub fn socket(&self) -> SharedSocket {
        SharedSocket(self.stream.clone())
    }

    /// Makes the connection end by a reset, since its call is given up. After an ordinary close the
    /// kernel would go on sending what a network failure has held back: the message could arrive
    /// long after it was sent again, or after its client was told that it failed.
    pub fn reset_on_close(&self) {
        // A socket that rejects the option is closed in the ordinary way.
        let _ = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Forgets the bytes of the previous response; called before a request is sent.
    pub fn start_request(&self) {
        self.received().clear();
    }

    /// The status of the response, read from its first line, whatever follows.
    pub fn status(&self) -> Option<u16> {
        let received = self.received();
        let line = skip_interim(&received).strip_prefix(b"HTTP/1.").unwrap_or_default();
        let [b'0' | b'1', b' ', a, b, c, b' ' | b'\r' | b'\n', ..] = line else { return None };
        let status = [*a, *b, *c];
        let digits = status.iter().all(u8::is_ascii_digit);
        std::str::from_utf8(&status).ok().filter(|_| digits)?.parse().ok()
    }

    /// The status and those header lines of the response that have arrived, whether or not the rest
    /// does. Unparsable lines are skipped, and a truncated one is ignored.
    pub fn head(&self) -> Option<(u16, HeaderMap)> {
        let status = self.status()?;
        let received = self.received();
        let mut headers = HeaderMap::new();
        for line in skip_interim(&received).split_inclusive(|b| *b == b'\n').skip(1) {
            let Some(line) = line.strip_suffix(b"\n").map(<[u8]>::trim_ascii) else { break };
            if line.is_empty() {
                break;
            }
            let (name, value) = field(line);
            if let (Ok(name), Ok(value)) = (HeaderName::from_bytes(name), HeaderValue::from_bytes(value)) {
                headers.append(name, value);
            }
        }
        Some((status, headers))
    }

    /// Reads what the socket has received but nobody has read yet, before the call is given up: a
    /// response that crosses with it still counts. Under TLS nothing can be read without the keys.
    pub fn read_pending(&self) {
        if self.encrypted {
            return;
        }
        let mut received = self.received();
        let (mut bytes, kept) = ([0; MAX_TAPPED_BYTES], received.len());
        if let Ok(count) = (&*SockRef::from(&*self.stream)).read(&mut bytes) {
            received.extend_from_slice(&bytes[..count.min(MAX_TAPPED_BYTES.saturating_sub(kept))]);
        }
    }

    /// Whether a response has started, interim ones excluded.
    pub fn response_started(&self) -> bool {
        !skip_interim(&self.received()).is_empty()
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
        match SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()]) {
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

/// Skips complete interim responses (100 to 199).
fn skip_interim(mut bytes: &[u8]) -> &[u8] {
    while let [b'H', b'T', b'T', b'P', b'/', b'1', b'.', _, b' ', b'1', ..] = bytes {
        let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else { return &[] };
        bytes = &bytes[end + 4..];
    }
    bytes
}

/// The socket of a connection, shared with its [`ResponseTap`].
#[derive(Debug)]
pub(crate) struct SharedSocket(Arc<TcpStream>);

impl AsyncRead for SharedSocket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    buf.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for SharedSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(bytes) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Both))
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
        let arrived = &buf.filled()[before..];
        let mut received = this.tap.received();
        let kept = arrived.len().min(MAX_TAPPED_BYTES.saturating_sub(received.len()));
        received.extend_from_slice(&arrived[..kept]);
        drop(received);
        this.tap.arrival.notify_one();
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TappedStream<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
