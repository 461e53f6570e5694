//! An emulator of fleets: up to thousands of forwarders in simulated time, each with a policy of its own that sees only what a
//! forwarder sees, against partners with limits, queues, outages and cold returns, and clients that come in clumps and again.
//!
//! A play is one thread and one seed: the same to the byte whatever else runs ([`play::play`]). [`matrix`] plays many at once.
//! The world is written in TOML ([`world::World`]); what is measured is in [`figures::Figures`], with the rules that hold.
#![warn(missing_docs)]

mod arrivals;
pub mod baselines;
pub mod matrix;
pub mod metrics;
pub mod partner;
pub mod policy;
pub mod simulation;
pub mod world;

/// Microseconds.
pub type Micros = u64;

/// A second, in [`Micros`].
pub const SECOND: Micros = 1_000_000;
