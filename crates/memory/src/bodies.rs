//! The request bodies that are being read. They are copied here piece by piece, so that no piece keeps a read buffer alive,
//! and what they take is known to the byte.
//!
//! A small body needs no share: each connection has room for one. Larger ones share a limit. When it is used up, the body
//! that has been read for the longest gives way: a client that sends its body without pause is never that one while others
//! hold theirs back.

use std::collections::BTreeMap;

/// Bytes of a body that do not count, since the share of each connection contains them.
pub const SMALL_BODY_BYTES: usize = 4 * 1024;

/// A point in time, in microseconds.
pub type Micros = u64;

/// Identifies a body. Later ones have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Whose body it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// An unknown client's: it may use half of the limit, and gives way first.
    Unknown,
    /// A known client's.
    Known,
}

/// Why a body can't be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It gave way to another one, or there is no room for it.
    NoRoom,
    /// It is longer than it may be.
    TooLong,
}

#[derive(Debug)]
struct Body {
    begun: Micros,
    bytes: Vec<u8>,
    /// The size that was announced; the maximum if none was.
    expected: usize,
    priority: Priority,
    /// All of it has arrived, and its message waits for a decision: it does not give way.
    complete: bool,
    /// Bytes that count against the limit.
    counted: usize,
}

/// The bodies, and the bytes that they may take together.
#[derive(Debug)]
pub struct BodyBuffers {
    max_body: usize,
    limit: usize,
    used: usize,
    used_by_unknown: usize,
    bodies: BTreeMap<Ticket, Body>,
    next: u64,
    /// Bodies that gave way since [`BodyBuffers::take_evicted`] was called.
    evicted: Vec<Ticket>,
    refused: u64,
}

/// What a buffer of this capacity counts.
fn counted_bytes(capacity: usize) -> usize {
    capacity.saturating_sub(SMALL_BODY_BYTES)
}

impl BodyBuffers {
    /// Buffers for bodies of up to `max_body` bytes, which take up to `limit` bytes together.
    pub fn new(max_body: usize, limit: usize) -> BodyBuffers {
        BodyBuffers {
            max_body,
            limit,
            used: 0,
            used_by_unknown: 0,
            bodies: BTreeMap::new(),
            next: 0,
            evicted: Vec::new(),
            refused: 0,
        }
    }

    /// Begins a body of which `expected` bytes were announced, if any were.
    pub fn begin(&mut self, now: Micros, expected: Option<usize>, priority: Priority) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        let expected = expected.unwrap_or(self.max_body).min(self.max_body);
        let body = Body { begun: now, bytes: Vec::new(), expected, priority, complete: false, counted: 0 };
        self.bodies.insert(ticket, body);
        ticket
    }

    /// Appends a piece. Others may give way to it.
    ///
    /// # Errors
    /// The body is too long, has given way, or finds no room; it is dropped then.
    pub fn append(&mut self, ticket: Ticket, piece: &[u8]) -> Result<(), BodyError> {
        let body = self.bodies.get(&ticket).ok_or(BodyError::NoRoom)?;
        let length = body.bytes.len() + piece.len();
        if length > self.max_body {
            self.remove(ticket);
            return Err(BodyError::TooLong);
        }
        if length > body.bytes.capacity() {
            let capacity = (2 * body.bytes.capacity()).clamp(SMALL_BODY_BYTES, self.max_body);
            let capacity = capacity.min(body.expected).max(length);
            self.reserve(ticket, capacity)?;
        }
        let body = self.bodies.get_mut(&ticket).ok_or(BodyError::NoRoom)?;
        body.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Gives a body a buffer of this capacity, for which others give way if need be.
    fn reserve(&mut self, ticket: Ticket, capacity: usize) -> Result<(), BodyError> {
        let body = self.bodies.get(&ticket).ok_or(BodyError::NoRoom)?;
        let (priority, more) = (body.priority, counted_bytes(capacity).saturating_sub(body.counted));
        while !self.has_room(priority, more) {
            let Some(oldest) = self.oldest_that_counts(priority) else {
                self.refuse(ticket);
                return Err(BodyError::NoRoom);
            };
            self.evict(oldest);
            if oldest == ticket {
                return Err(BodyError::NoRoom);
            }
        }
        let body = self.bodies.get_mut(&ticket).ok_or(BodyError::NoRoom)?;
        body.bytes.reserve_exact(capacity - body.bytes.len());
        body.counted += more;
        self.used += more;
        self.used_by_unknown += if priority == Priority::Unknown { more } else { 0 };
        Ok(())
    }

    /// Whether a body of this priority may take so many more bytes.
    fn has_room(&self, priority: Priority, more: usize) -> bool {
        let own_share = match priority {
            Priority::Unknown => self.used_by_unknown + more <= self.limit / 2,
            Priority::Known => true,
        };
        own_share && self.used + more <= self.limit
    }

    /// The body that gives way to one of this priority: the oldest unfinished one, unknown clients' first.
    fn oldest_that_counts(&self, priority: Priority) -> Option<Ticket> {
        let oldest = |wanted: Priority| {
            let mut unfinished = self.bodies.iter().filter(|(_, body)| !body.complete && body.counted > 0);
            unfinished.find(|(_, body)| body.priority == wanted).map(|(ticket, _)| *ticket)
        };
        let known = || if priority == Priority::Known { oldest(Priority::Known) } else { None };
        oldest(Priority::Unknown).or_else(known)
    }

    /// Lets the body that has been read for the longest give way, since its connection is needed. False if none has been
    /// read since `begun_before`.
    pub fn evict_oldest(&mut self, begun_before: Micros) -> bool {
        let oldest = self.bodies.iter().find(|(_, body)| !body.complete);
        let Some(ticket) = oldest.filter(|(_, body)| body.begun <= begun_before).map(|(ticket, _)| *ticket)
        else {
            return false;
        };
        self.evict(ticket);
        true
    }

    fn evict(&mut self, ticket: Ticket) {
        self.refuse(ticket);
        self.evicted.push(ticket);
    }

    fn refuse(&mut self, ticket: Ticket) {
        self.remove(ticket);
        self.refused += 1;
    }

    /// Bodies that gave way since the last call.
    pub fn take_evicted(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.evicted)
    }

    /// Takes the bytes of a body that has arrived whole. They count until [`BodyBuffers::remove`].
    ///
    /// # Errors
    /// The body has given way.
    pub fn complete(&mut self, ticket: Ticket) -> Result<Vec<u8>, BodyError> {
        let body = self.bodies.get_mut(&ticket).ok_or(BodyError::NoRoom)?;
        body.complete = true;
        let mut bytes = std::mem::take(&mut body.bytes);
        bytes.shrink_to_fit();
        Ok(bytes)
    }

    /// Forgets a body, and no longer counts it.
    pub fn remove(&mut self, ticket: Ticket) {
        let Some(body) = self.bodies.remove(&ticket) else { return };
        self.used -= body.counted;
        self.used_by_unknown -= if body.priority == Priority::Unknown { body.counted } else { 0 };
    }

    /// Bytes that count against the limit.
    pub fn used(&self) -> usize {
        self.used
    }

    /// How many bodies gave way or found no room so far.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Number of bodies, complete ones included.
    pub fn count(&self) -> usize {
        self.bodies.len()
    }
}
