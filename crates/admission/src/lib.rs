//! Admission control for clients: which connections and requests are admitted, and which
//! connections are evicted. Decisions only: times, connections and requests go in, decisions come
//! out; there are no sockets, no clock and no I/O. `docs/design/admission.md` compares the
//! alternatives.
//!
//! [`gate`] decides on connections and requests, [`account`] holds the state of one address,
//! [`settings`] the limits, [`bucket`] is a token bucket, [`descriptors`] computes how many
//! connections there may be, [`ledger`] accounts for the descriptors in use, [`pace`] detects slow
//! readers.

pub mod account;
pub mod bucket;
pub mod descriptors;
pub mod gate;
pub mod ledger;
pub mod pace;
pub mod settings;

pub use bucket::Rate;
pub use gate::{ClientStats, ConnectDecision, ConnectionState, Event, Gate, RejectReason, RequestDecision};
pub use ledger::{DescriptorLedger, DescriptorUser, Quota};
pub use settings::Settings;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
