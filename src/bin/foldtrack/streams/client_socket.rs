//! The socket of a client: whether the client is still there, and the answers that accept its messages.

use super::poll_read_socket;
use crate::events::Receipt;
use crate::lock::lock_ignoring_poison;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io;
use std::sync::{Arc, Mutex};
use std::task::{ready, Context, Poll};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Answers that accept messages and were not written yet.
#[derive(Debug, Default)]
struct UnwrittenAnswers {
    receipts: Vec<Receipt>,
    /// Bytes were written since the last of them was added.
    written: bool,
}

/// The socket of a client, shared by the byte stream and the handler of its requests.
#[derive(Debug)]
pub(crate) struct ClientSocket {
    stream: TcpStream,
    answers: Mutex<UnwrittenAnswers>,
}

impl ClientSocket {
    /// Shares a socket.
    pub fn new(stream: TcpStream) -> Arc<ClientSocket> {
        Arc::new(ClientSocket { stream, answers: Mutex::default() })
    }

    /// Whether the client has closed its connection. Asks the kernel, since bytes that were not read yet hide the end of
    /// the stream. A client that closes only its sending side counts as gone too, as it does for hyper.
    pub fn client_has_left(&self) -> bool {
        let mut descriptors = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let polled = poll(&mut descriptors, Some(&Timespec { tv_sec: 0, tv_nsec: 0 }));
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        polled.is_ok_and(|ready| ready > 0) && descriptors[0].revents().intersects(ended)
    }

    /// Adds the receipt of a message whose answer is written next.
    pub fn add_receipt(&self, receipt: Receipt) {
        let mut answers = lock_ignoring_poison(&self.answers);
        answers.receipts.push(receipt);
        answers.written = false;
    }

    /// Reads what has arrived.
    pub fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        poll_read_socket(&self.stream, cx, buf)
    }

    /// Writes bytes. An answer that accepts a message is not written to a client that has left, and the message is not
    /// accepted.
    pub fn poll_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut answers = lock_ignoring_poison(&self.answers);
        if !answers.receipts.is_empty() && self.client_has_left() {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(bytes) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => {
                    answers.written = done.is_ok();
                    return Poll::Ready(done);
                }
            }
        }
    }

    /// Records that all bytes so far were written: the messages are accepted.
    pub fn all_written(&self) {
        let mut answers = lock_ignoring_poison(&self.answers);
        if answers.written {
            answers.receipts.drain(..).for_each(Receipt::confirm);
        }
    }

    /// Ends the sending side.
    pub fn shutdown(&self) -> io::Result<()> {
        socket2::SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write)
    }
}
