//! Decisions on the connections to endpoints: how long one rests after a call, how long it may stay
//! idle and be reused, and how many are opened ahead of demand. Times and observations go in; there are no sockets and no
//! clock.
//!
//! [`idle_timeout`] learns when the partner or a middlebox drops idle connections, [`preconnect`]
//! follows the demand, and [`reuse`] keeps the responses to two calls apart.

pub mod idle_timeout;
pub mod preconnect;
pub mod reuse;

pub use idle_timeout::IdleTimeout;
pub use preconnect::{ConnectionCounts, PreconnectPolicy};
pub use reuse::{IdleConnection, ReusePolicy};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
