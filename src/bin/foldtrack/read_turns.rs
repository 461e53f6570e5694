//! Shares the thread between connections whose peers send without pause.
//!
//! All connections of the forwarder are served by one thread, which also runs the event loop, the listener and the timers. A
//! connection that always finds more bytes would be read for as long as the runtime lets a task run, some megabytes, before
//! anything else gets its turn. Here a connection reads [`BURST_BYTES`] and then waits in a queue. In each round the first
//! [`BURSTS_PER_ROUND`] connections of the queue may read on. Between two rounds the runtime polls the sockets and timers and
//! runs the tasks that are ready, among them connections with a few bytes to read, which never wait here.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::task::{ready, Context, Poll, Waker};
use tokio::io::ReadBuf;
use tokio::task::yield_now;

/// Bytes that a connection may read before it has to wait, unless its socket was empty in between. The last read may exceed
/// it by the size of the reader's buffer.
const BURST_BYTES: usize = 16 * 1024;
/// Connections that may read on in one round.
const BURSTS_PER_ROUND: usize = 4;

thread_local! {
    static QUEUE: RefCell<ReadQueue> = RefCell::default();
}

/// The connections of this thread that wait to read on, in the order in which they began to wait.
#[derive(Debug, Default)]
struct ReadQueue {
    waiting: BTreeMap<u64, Waker>,
    last_ticket: u64,
    /// A task that runs the rounds exists.
    has_rounds: bool,
}

impl ReadQueue {
    /// Appends a connection and returns its ticket.
    fn join(&mut self, waker: Waker) -> u64 {
        self.last_ticket += 1;
        self.waiting.insert(self.last_ticket, waker);
        self.last_ticket
    }

    /// Whether a connection still waits. If it does, this waker replaces the one before.
    fn still_waits(&mut self, ticket: u64, waker: &Waker) -> bool {
        let Some(entry) = self.waiting.get_mut(&ticket) else { return false };
        entry.clone_from(waker);
        true
    }

    /// Removes the connections whose turn it is.
    fn next_round(&mut self) -> Vec<Waker> {
        let turns = BURSTS_PER_ROUND.min(self.waiting.len());
        (0..turns).filter_map(|_| self.waiting.pop_first()).map(|(_, waker)| waker).collect()
    }
}

/// Marks the task that runs the rounds as gone when it ends or its runtime is dropped.
struct RoundsGuard;

impl Drop for RoundsGuard {
    fn drop(&mut self) {
        let _ = QUEUE.try_with(|queue| queue.borrow_mut().has_rounds = false);
    }
}

/// Runs rounds until no connection waits.
async fn run_rounds(_guard: RoundsGuard) {
    loop {
        // The runtime resumes this task after it has polled the sockets and timers.
        yield_now().await;
        let turns = QUEUE.with(|queue| queue.borrow_mut().next_round());
        if turns.is_empty() {
            return;
        }
        turns.into_iter().for_each(Waker::wake);
    }
}

/// One connection's share in reading.
#[derive(Debug)]
pub(crate) struct ReadTurn {
    burst_left: usize,
    /// Its place in the queue, while it waits.
    ticket: Option<u64>,
}

impl ReadTurn {
    /// The share of a new connection, which does not wait yet.
    pub fn new() -> ReadTurn {
        ReadTurn { burst_left: BURST_BYTES, ticket: None }
    }

    /// Reads with `read` when it is the connection's turn.
    pub fn poll_read(
        &mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>,
        read: impl FnOnce(&mut Context<'_>, &mut ReadBuf<'_>) -> Poll<io::Result<()>>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_turn(cx));
        let before = buf.filled().len();
        let done = read(cx, buf);
        self.burst_left = match done {
            // The socket is empty.
            Poll::Pending => BURST_BYTES,
            Poll::Ready(_) => self.burst_left.saturating_sub(buf.filled().len() - before),
        };
        done
    }

    /// Waits in the queue if the burst is used up.
    fn poll_turn(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.burst_left > 0 {
            return Poll::Ready(());
        }
        let starts_rounds = QUEUE.with(|queue| {
            let mut queue = queue.borrow_mut();
            match self.ticket {
                Some(ticket) if queue.still_waits(ticket, cx.waker()) => {}
                Some(_) => self.ticket = None,
                None => self.ticket = Some(queue.join(cx.waker().clone())),
            }
            self.ticket.is_some() && !std::mem::replace(&mut queue.has_rounds, true)
        });
        if starts_rounds {
            tokio::spawn(run_rounds(RoundsGuard));
        }
        if self.ticket.is_some() {
            return Poll::Pending;
        }
        self.burst_left = BURST_BYTES;
        Poll::Ready(())
    }
}

impl Drop for ReadTurn {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        let _ = QUEUE.try_with(|queue| queue.borrow_mut().waiting.remove(&ticket));
    }
}

#[cfg(test)]
#[path = "read_turns_tests.rs"]
mod tests;
