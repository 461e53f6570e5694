//! Byte streams below hyper, for what it does not expose: header lines that it drops, and the first
//! bytes of a response that it can't parse.

mod client;
mod client_socket;
mod response_head;
mod target;

pub(crate) use client::{HeadScan, ScannedStream};
pub(crate) use client_socket::ClientSocket;
pub(crate) use target::{ResponseTap, TappedStream, Unread};

use std::io;
use std::task::{ready, Context, Poll};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Reads from a socket that is shared.
fn poll_read_socket(stream: &TcpStream, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read(buf.initialize_unfilled()) {
            Ok(count) => {
                buf.advance(count);
                return Poll::Ready(Ok(()));
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Poll::Ready(Err(e)),
        }
    }
}

/// Name and value of a header line, either empty if missing.
fn field(line: &[u8]) -> (&[u8], &[u8]) {
    let mut parts = line.splitn(2, |b| *b == b':').map(<[u8]>::trim_ascii);
    (parts.next().unwrap_or_default(), parts.next().unwrap_or_default())
}
