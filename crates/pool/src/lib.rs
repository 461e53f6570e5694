//! Connections to one endpoint, decided on without any: how long one may stand idle and be used again, when it is too old, and
//! how many are to be opened ahead of demand. Time and what happened go in; no sockets, no clock.
//!
//! [`idle`] learns when the partner, or what stands between, drops idle connections; [`ahead`] follows the demand.

pub mod ahead;
pub mod idle;

pub use ahead::{Ahead, Counts};
pub use idle::Idle;

/// A point in time or a span, in microseconds.
pub type Micros = u64;
