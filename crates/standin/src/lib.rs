//! Stand-ins on loopback for the outside systems that a forwarder talks to, for tests and for `foldtrack demo`.
//!
//! [`http`] is a server with a thread for each connection that behaves as a closure says; [`Partner`] an outside
//! partner with a pace, a limit and faults by a seed, which keeps books of every call; [`books`] checks the rules from
//! them, knowing nothing of what the forwarder says of itself; `tls`, behind the feature of that name, puts TLS in front of any of
//! them, with an authority of its own.
#![warn(missing_docs)]

pub mod call_records;
pub mod http;
mod partner;
#[cfg(feature = "tls")]
pub mod tls;

pub use partner::{FailureKind, Partner, PartnerBehavior};

use std::time::{Duration, Instant};

/// What is waited for comes at once on an idle machine; this is for one that is not.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Waits until a condition holds.
///
/// # Panics
/// It does not within [`PATIENCE`].
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "not in {PATIENCE:?}: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
