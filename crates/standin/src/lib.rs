//! Stand-ins on loopback for the outside systems that a forwarder talks to, for tests and for `foldtrack demo`.
//!
//! [`http`] is a server with a thread for each connection; a closure decides how it answers. [`Partner`] is an outside partner
//! with response times, a rate limit and seeded faults, which records every call. [`call_records`] checks the delivery rules from
//! these records, without using anything that the forwarder reports. `tls`, behind the feature of that name, puts TLS in front of
//! any of them, with a certificate authority of its own.
#![warn(missing_docs)]

pub mod call_records;
pub mod http;
mod partner;
#[cfg(feature = "tls")]
pub mod tls;

pub use partner::{FailureKind, Partner, PartnerBehavior};

use std::time::{Duration, Instant};

/// Timeout of [`eventually`]. An idle machine needs a small part of it; a busy one may need more.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Waits until a condition holds.
///
/// # Panics
/// The condition does not hold within [`PATIENCE`].
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "not within {PATIENCE:?}: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
