//! Decisions on the connections to one endpoint: how long one may stay idle and be reused, and how
//! many are opened ahead of demand. Times and observations go in; there are no sockets and no
//! clock.
//!
//! [`idle_timeout`] learns when the partner or a middlebox drops idle connections; [`preconnect`]
//! follows the demand.

pub mod idle_timeout;
pub mod preconnect;

pub use idle_timeout::IdleTimeout;
pub use preconnect::{ConnectionCounts, PreconnectPolicy};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
