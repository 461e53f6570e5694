//! Byte streams below hyper, for what it does not expose: header lines that it drops, and the first
//! bytes of a response that it can't parse.

use foldtrack_admission::pace::{MinimumRate, SlowReaderGuard};
use http::{HeaderMap, HeaderName, HeaderValue};
use socket2::SockRef;
use std::future::Future;
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant, Sleep};

/// Minimum rate at which clients read their responses. One that reads a few bytes now and then to
/// hold its connection is closed.
const MINIMUM_RATE: MinimumRate = MinimumRate { grace: 5_000_000, bytes_per_second: 4_096 };
/// Bytes kept of a header line: enough for the names that matter and for any valid length.
const MAX_LINE_BYTES: usize = 64;

/// Counts the valid heads on a connection, in order. hyper drops `Content-Length` beside
/// `Transfer-Encoding`, and a repeated length: a request with both can smuggle another one in its
/// body.
#[derive(Debug)]
pub(crate) struct HeadScan {
    valid_heads: Arc<AtomicUsize>,
    state: ScanState,
    line: Vec<u8>,
    first_line: bool,
    framings: u32,
    length: Option<u64>,
}

#[derive(Debug)]
/// Position in the request stream.
enum ScanState {
    Head,
    Body(u64),
    /// The start of the next head can't be determined: no later head counts as valid.
    Unknown,
}

impl HeadScan {
    /// Starts before the first head; `valid_heads` is incremented with each valid one.
    pub fn new(valid_heads: Arc<AtomicUsize>) -> Self {
        HeadScan {
            valid_heads,
            state: ScanState::Head,
            line: Vec::new(),
            first_line: true,
            framings: 0,
            length: Some(0),
        }
    }

    /// Scans further bytes.
    fn read(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.state {
                ScanState::Unknown => return,
                ScanState::Body(left) => {
                    let part = left.min(bytes.len() as u64);
                    bytes = &bytes[part as usize..];
                    self.state = if left > part { ScanState::Body(left - part) } else { ScanState::Head };
                }
                ScanState::Head => {
                    let end = bytes.iter().position(|b| *b == b'\n');
                    let part = &bytes[..end.unwrap_or(bytes.len())];
                    let capacity = MAX_LINE_BYTES.saturating_sub(self.line.len());
                    self.line.extend_from_slice(&part[..part.len().min(capacity)]);
                    bytes = &bytes[end.map_or(bytes.len(), |end| end + 1)..];
                    if end.is_some() {
                        self.finish_line();
                    }
                }
            }
        }
    }

    /// Interprets a complete header line.
    fn finish_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let line = line.trim_ascii();
        match (line.is_empty(), self.first_line) {
            // Empty lines before a request are skipped.
            (true, true) => {}
            (false, true) => self.first_line = false,
            (true, false) => self.finish_head(),
            (false, false) => {
                let (name, value) = field(line);
                if name.eq_ignore_ascii_case(b"content-length") {
                    let digits = std::str::from_utf8(value).ok().filter(|v| !v.starts_with('+'));
                    self.framings += 1;
                    self.length = digits.and_then(|v| v.parse().ok());
                } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
                    self.framings += 1;
                    self.length = None;
                }
            }
        }
    }

    /// Counts a complete head and determines where the next one begins.
    fn finish_head(&mut self) {
        let valid = self.framings < 2;
        self.valid_heads.fetch_add(usize::from(valid), Ordering::Relaxed);
        self.state = match self.length.filter(|_| valid) {
            Some(0) => ScanState::Head,
            Some(length) => ScanState::Body(length),
            None => ScanState::Unknown,
        };
        (self.first_line, self.framings, self.length) = (true, 0, Some(0));
    }
}

/// A client connection whose request heads are scanned on their way to hyper.
#[derive(Debug)]
pub(crate) struct ScannedStream {
    stream: TcpStream,
    scan: HeadScan,
    started: Instant,
    guard: SlowReaderGuard,
    /// Runs while response bytes wait for the client.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl ScannedStream {
    pub fn new(stream: TcpStream, scan: HeadScan) -> ScannedStream {
        ScannedStream {
            stream,
            scan,
            started: Instant::now(),
            guard: SlowReaderGuard::new(MINIMUM_RATE),
            stalled: None,
        }
    }

    /// Guards against clients that send requests and do not read, or read only a little now and
    /// then: see [`MINIMUM_RATE`].
    fn track_progress(
        &mut self, cx: &mut Context<'_>, done: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let now = self.started.elapsed().as_micros() as u64;
        if let Poll::Ready(taken) = &done {
            self.stalled = None;
            self.guard.transferred(now, taken.as_ref().map_or(0, |n| *n as u64));
            return done;
        }
        let until = self.started + Duration::from_micros(self.guard.blocked(now));
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(sleep_until(until)));
        ready!(stalled.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for ScannedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        this.scan.read(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ScannedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let done = Pin::new(&mut this.stream).poll_write(cx, bytes);
        this.track_progress(cx, done)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

/// Name and value of a header line, either empty if missing.
fn field(line: &[u8]) -> (&[u8], &[u8]) {
    let mut parts = line.splitn(2, |b| *b == b':').map(<[u8]>::trim_ascii);
    (parts.next().unwrap_or_default(), parts.next().unwrap_or_default())
}

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

#[cfg(test)]
mod tests {
    use super::*;

    /// Number of heads that count as valid; the same however the bytes are split.
    fn valid_heads(text: &str) -> usize {
        let count = |step: usize| {
            let valid = Arc::new(AtomicUsize::new(0));
            let mut scan = HeadScan::new(valid.clone());
            text.as_bytes().chunks(step).for_each(|bytes| scan.read(bytes));
            valid.load(Ordering::Relaxed)
        };
        let counts = [1, 2, 7, text.len()].map(count);
        assert!(counts.iter().all(|n| *n == counts[0]), "{counts:?}");
        counts[0]
    }

    #[test]
    fn heads_after_bodies_are_found_and_double_framing_is_invalid() {
        assert_eq!(valid_heads("\r\nGET / HTTP/1.1\r\nHost: f\r\n\r\n"), 1);
        let post = "POST /fee HTTP/1.1\r\ncontent-LENGTH: 4\r\n\r\n\n\n\r\n";
        assert_eq!(valid_heads(&post.repeat(3)), 3);
        let conflicting = [
            "Content-Length: 4\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: chunked\r\nContent-Length: 4",
        ];
        for framing in conflicting.into_iter().chain(["Content-Length: 4\r\nContent-Length: 4"]) {
            let request = format!("POST /fee HTTP/1.1\r\nX: y\r\n{framing}\r\n\r\n0\r\n\r\n{post}");
            assert_eq!(valid_heads(&request), 0, "{framing}");
            assert_eq!(valid_heads(&format!("{post}{request}")), 1, "{framing}");
        }
        // A chunked request is valid, but no head after it can be located.
        assert_eq!(
            valid_heads(&format!("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{post}")),
            1
        );
    }
}
