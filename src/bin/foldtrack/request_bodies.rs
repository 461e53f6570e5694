//! Reads request bodies into the buffers of `foldtrack_memory`, which all connections share.

use crate::clock::Clock;
use crate::lock::lock_ignoring_poison;
use bytes::Bytes;
use foldtrack_memory::{BodyBuffers, BodyError, Priority, Ticket};
use hyper::body::{Body, Frame, Incoming};
use std::collections::HashMap;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::Poll;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// Maximum size of a request body.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;
/// Time for a body after its head. Clients wait 400 ms for an answer; one that takes longer than this has gone.
const BODY_TIMEOUT: Duration = Duration::from_millis(800);
/// How much of a body that is not wanted is read, and for how long.
const MAX_DISCARDED_BYTES: usize = 4 * MAX_BODY_BYTES;
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);
/// A body gives its connection to a waiting client only after this time.
const MIN_AGE_TO_EVICT: Duration = Duration::from_millis(10);
/// A client that sends fewer bytes than this between two reads is read less often.
const SMALL_READ_BYTES: usize = 512;
/// Pauses before such a client is read again; each is twice the one before.
const FIRST_PAUSE: Duration = Duration::from_millis(5);
const LONGEST_PAUSE: Duration = Duration::from_millis(40);

/// Why there is no body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// There is no room for it: it may come again.
    NoRoom,
    /// It is longer than [`MAX_BODY_BYTES`].
    TooLong,
    /// It did not arrive in time.
    Timeout,
    /// It does not follow HTTP, or its client has gone.
    Invalid,
}

impl From<BodyError> for ReadError {
    fn from(error: BodyError) -> ReadError {
        match error {
            BodyError::NoRoom => ReadError::NoRoom,
            BodyError::TooLong => ReadError::TooLong,
        }
    }
}

/// The buffers, and how the reader of each body learns that it has given way.
#[derive(Debug)]
struct Buffers {
    bodies: BodyBuffers,
    readers: HashMap<Ticket, oneshot::Sender<()>>,
}

impl Buffers {
    /// Tells the readers of bodies that have given way.
    fn notify_evicted(&mut self) {
        for ticket in self.bodies.take_evicted() {
            if let Some(reader) = self.readers.remove(&ticket) {
                let _ = reader.send(());
            }
        }
    }
}

/// The request bodies of all connections.
#[derive(Debug)]
pub(crate) struct RequestBodies {
    buffers: Mutex<Buffers>,
    clock: Clock,
}

/// A body in the buffers, which is forgotten when this is dropped.
#[derive(Debug)]
pub(crate) struct BodyPermit {
    bodies: Arc<RequestBodies>,
    ticket: Ticket,
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        let mut buffers = lock_ignoring_poison(&self.bodies.buffers);
        buffers.bodies.remove(self.ticket);
        buffers.readers.remove(&self.ticket);
    }
}

impl RequestBodies {
    /// Buffers that take up to `limit` bytes together, beside a small body for each connection.
    pub fn new(limit: usize, clock: Clock) -> Arc<RequestBodies> {
        let bodies = BodyBuffers::new(MAX_BODY_BYTES, limit);
        Arc::new(RequestBodies { buffers: Mutex::new(Buffers { bodies, readers: HashMap::new() }), clock })
    }

    /// Reads a body. Its bytes count until the permit is dropped.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn read(
        self: &Arc<Self>, mut body: Incoming, priority: Priority,
    ) -> Result<(Bytes, BodyPermit), ReadError> {
        let expected = body.size_hint().upper().map(|n| usize::try_from(n).unwrap_or(usize::MAX));
        let (permit, evicted) = self.begin(expected, priority);
        let read = timeout(BODY_TIMEOUT, read_pieces(&mut body, &permit));
        let read = tokio::select! {
            biased;
            read = read => read.unwrap_or(Err(ReadError::Timeout)),
            // Its client has sent little for long, and would not send the rest soon.
            Ok(()) = evicted => return Err(ReadError::NoRoom),
        };
        if let Err(error) = read {
            if matches!(error, ReadError::NoRoom | ReadError::TooLong) {
                self.discard(body).await;
            }
            return Err(error);
        }
        let bytes = lock_ignoring_poison(&self.buffers).bodies.complete(permit.ticket)?;
        Ok((bytes.into(), permit))
    }

    /// Reads the rest of a body that is not wanted, so that its client is ready to read the answer: closing a socket with
    /// unread bytes resets the connection, and the client may never see what was written before. It ends early when its
    /// connection is needed.
    pub async fn discard(self: &Arc<Self>, mut body: Incoming) {
        let (_permit, evicted) = self.begin(None, Priority::Unknown);
        tokio::select! {
            biased;
            _ = timeout(DISCARD_TIMEOUT, skip_pieces(&mut body)) => {}
            _ = evicted => {}
        }
    }

    fn begin(
        self: &Arc<Self>, expected: Option<usize>, priority: Priority,
    ) -> (BodyPermit, oneshot::Receiver<()>) {
        let (reader, evicted) = oneshot::channel();
        let mut buffers = lock_ignoring_poison(&self.buffers);
        let ticket = buffers.bodies.begin(self.clock.now(), expected, priority);
        buffers.readers.insert(ticket, reader);
        (BodyPermit { bodies: self.clone(), ticket }, evicted)
    }

    /// Makes room for a client that waits for a connection: the body that has been read for the longest is refused.
    pub fn evict_oldest(&self) {
        let begun_before = self.clock.now().saturating_sub(MIN_AGE_TO_EVICT.as_micros() as u64);
        let mut buffers = lock_ignoring_poison(&self.buffers);
        if buffers.bodies.evict_oldest(begun_before) {
            buffers.notify_evicted();
        }
    }

    /// How many bodies gave way or found no room so far.
    pub fn refused(&self) -> u64 {
        lock_ignoring_poison(&self.buffers).bodies.refused()
    }

    /// Bytes of the bodies beyond the small one of each connection.
    pub fn used(&self) -> usize {
        lock_ignoring_poison(&self.buffers).bodies.used()
    }
}

impl BodyPermit {
    fn append(&self, piece: &[u8]) -> Result<(), BodyError> {
        let mut buffers = lock_ignoring_poison(&self.bodies.buffers);
        let appended = buffers.bodies.append(self.ticket, piece);
        buffers.notify_evicted();
        appended
    }
}

/// Reads a body to its end, or up to a limit.
async fn skip_pieces(body: &mut Incoming) {
    let mut left = MAX_DISCARDED_BYTES;
    while left > 0 {
        let Some(Ok(frame)) = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await else { return };
        left = left.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
    }
}

/// Copies the pieces of a body to the buffers. None of them is kept: each would keep a whole read buffer alive.
async fn read_pieces(body: &mut Incoming, permit: &BodyPermit) -> Result<(), ReadError> {
    let mut pacing = Pacing::default();
    loop {
        let frame = match available_frame(body).await {
            Some(frame) => frame,
            None => {
                pacing.wait().await;
                poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await
            }
        };
        let Some(frame) = frame else { return Ok(()) };
        let frame = frame.map_err(|_| ReadError::Invalid)?;
        if let Some(piece) = frame.data_ref() {
            pacing.received(piece.len());
            permit.append(piece)?;
        }
    }
}

/// The next frame, or the end of the body, if it has arrived.
async fn available_frame(body: &mut Incoming) -> Option<Option<Result<Frame<Bytes>, hyper::Error>>> {
    poll_fn(|cx| match Pin::new(&mut *body).poll_frame(cx) {
        Poll::Ready(frame) => Poll::Ready(Some(frame)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}

/// Reads clients less often that send a few bytes at a time, so that hundreds of them leave the thread to others.
#[derive(Debug, Default)]
struct Pacing {
    received: usize,
    /// The pause before the next read; none before the first.
    pause: Option<Duration>,
}

impl Pacing {
    fn received(&mut self, bytes: usize) {
        self.received += bytes;
    }

    /// Pauses if little has arrived since the last time.
    async fn wait(&mut self) {
        let little = std::mem::take(&mut self.received) < SMALL_READ_BYTES;
        let pause = self.pause.filter(|_| little);
        self.pause = Some(pause.map_or(FIRST_PAUSE, |pause| (2 * pause).min(LONGEST_PAUSE)));
        if let Some(pause) = pause {
            sleep(pause).await;
        }
    }
}
