//! The byte stream of a client below hyper's server: header lines that hyper drops, and clients that do not read.

use super::{field, ClientSocket};
use crate::read_turns::ReadTurn;
use foldtrack_admission::pace::{MinimumRate, SlowReaderGuard};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
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

/// Position in the request stream.
#[derive(Debug)]
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
    socket: Arc<ClientSocket>,
    scan: HeadScan,
    turn: ReadTurn,
    started: Instant,
    guard: SlowReaderGuard,
    /// Runs while response bytes wait for the client.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl ScannedStream {
    pub fn new(socket: Arc<ClientSocket>, scan: HeadScan) -> ScannedStream {
        ScannedStream {
            socket,
            scan,
            turn: ReadTurn::new(),
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
        let socket = &this.socket;
        ready!(this.turn.poll_read(cx, buf, |cx, buf| socket.poll_read(cx, buf)))?;
        this.scan.read(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ScannedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let done = this.socket.poll_write(cx, bytes);
        this.track_progress(cx, done)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket.all_written();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.socket.shutdown())
    }
}

#[cfg(test)]
#[path = "client_tests.rs"]
mod tests;
