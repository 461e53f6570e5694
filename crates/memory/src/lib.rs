//! Memory of the process: how its limit is divided, and the request bodies that are being read.
//!
//! [`plan`] gives each use a share of the configured limit, so that the sum of what all may hold stays below it.
//! [`bodies`] owns the bytes of request bodies and decides which one gives way when their share is used up. There are no
//! sockets, no clock and no I/O here.

pub mod bodies;
pub mod plan;

pub use bodies::{BodyBuffers, BodyError, Priority, Ticket};
pub use plan::{Demand, MemoryPlan};
