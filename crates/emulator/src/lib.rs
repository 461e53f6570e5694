//! A simulator of fleets: up to thousands of forwarders in simulated time. Each forwarder has its own policy, which receives only
//! the information that a forwarder has. Partners have limits, queues, outages and a slow start after them; clients submit messages
//! in clumps and submit refused ones again.
//!
//! A simulation runs on one thread from one seed and is deterministic, whatever else runs ([`simulation::simulate`]). [`matrix`]
//! runs many at once. The world is described in TOML ([`world::World`]); [`metrics::Metrics`] holds the measurements and the
//! violations of the delivery rules.
#![warn(missing_docs)]

mod arrivals;
pub mod baselines;
pub mod matrix;
pub mod metrics;
pub mod partner;
pub mod policy;
pub mod simulation;
pub mod world;

/// Simulated time, or a time span, in microseconds.
pub type Micros = u64;

/// One second in [`Micros`].
pub const SECOND: Micros = 1_000_000;
