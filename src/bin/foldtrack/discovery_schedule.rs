//! Timing of the calls to the platform's discovery: decisions only, no I/O. `docs/design/races.md`
//! has the calculation.
//!
//! A change of the list counts as propagated in time if it is known at most 6 s after discovery has
//! it and can be reached, whatever became of the calls before (STANDING). So the backoff after a
//! failed call is bounded by what is left of that time, also for one forwarder among hundreds. A
//! fleet that fails together spreads its calls over all of the time that this rule allows: a
//! discovery that is called by all at once rejects most of them and answers the others too late.

use foldtrack_delivery::{Micros, LARGE_FLEET};
use std::time::Duration;

/// Time within which a change has to be known, after discovery has it and can be reached.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(6);
/// The longest that discovery takes to answer a call that it does not reject (it gives up then),
/// plus the time to read and apply the answer.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(2100);
/// Maximum duration of a long poll without changes. Polling a local agent costs nothing, and a
/// silent poll is noticed early; for a shared discovery the duration grows with the number of
/// forwarders.
const LOCAL_POLL: Duration = Duration::from_secs(3);
const SHARED_POLL: Duration = Duration::from_secs(5);
const SHARED_POLL_PER_SENDER: Duration = Duration::from_millis(250);
const MAX_POLL: Duration = Duration::from_secs(50);
/// Fraction of its duration by which a long poll is shortened at random, so that the polls of a
/// fleet that started together do not end together.
const POLL_JITTER: f64 = 0.25;
/// Backoff after the first failure and its maximum, doubling in between: for a local agent, and for
/// a discovery that is shared by a few forwarders.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_LOCAL_BACKOFF: Duration = Duration::from_millis(250);
const MAX_SHARED_BACKOFF: Duration = Duration::from_secs(1);
/// A change reaches all senders at the same moment; where there are many, each starts its next poll
/// at a random time within this span. The platform counts further changes as propagated if the next
/// call comes within 200 ms of the answer; a later call starts a new poll, and until then the
/// forwarder sends to targets that have drained since.
const CHANGE_JITTER: Duration = Duration::from_millis(150);

/// Who serves the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// An agent on this machine that receives changes by push: it answers at once or not at all.
    LocalAgent,
    /// A discovery that all forwarders call and that can be overloaded.
    Shared,
}

/// How a call for the list failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollFailure {
    /// There was no connection, no answer in time, or an unreadable answer.
    NoResponse,
    /// The call was rejected, or dropped after it had been accepted: the server is overloaded.
    Rejected,
}

/// Poll timing of one forwarder among `senders`.
#[derive(Debug)]
pub(crate) struct DiscoverySchedule {
    senders: u32,
    /// The configured kind of source, and the kind that it has turned out to be.
    configured_source: Source,
    source: Source,
    /// How long after a drain was received the target may still be sent to.
    grace: Duration,
    failures: u32,
    random: fastrand::Rng,
}

impl DiscoverySchedule {
    /// `senders` is the configured number of forwarders; 0 counts as 1. `grace` is the time for
    /// which a target may still be sent to after its drain was received.
    pub fn new(senders: u32, source: Source, grace: Micros, seed: u64) -> Self {
        let random = fastrand::Rng::with_seed(seed);
        let (senders, grace) = (senders.max(1), Duration::from_micros(grace));
        DiscoverySchedule { senders, configured_source: source, source, grace, failures: 0, random }
    }

    /// Forgets what was learned of the source: discovery has a new address.
    pub fn reset(&mut self) {
        (self.source, self.failures) = (self.configured_source, 0);
    }

    fn is_fleet(&self) -> bool {
        self.senders >= LARGE_FLEET
    }

    /// Maximum duration of the next long poll.
    pub fn poll_timeout(&mut self) -> Duration {
        match self.source {
            Source::LocalAgent => LOCAL_POLL,
            Source::Shared if self.is_fleet() => {
                let longest = (SHARED_POLL_PER_SENDER * self.senders).clamp(SHARED_POLL, MAX_POLL);
                longest.mul_f64(1.0 - POLL_JITTER * self.random.f64())
            }
            Source::Shared => SHARED_POLL,
        }
    }

    /// Records an answer, with or without changes. Returns the pause before the next call.
    pub fn answered(&mut self, changed: bool) -> Duration {
        self.failures = 0;
        if !changed || !self.is_fleet() {
            return Duration::ZERO;
        }
        CHANGE_JITTER.mul_f64(self.random.f64())
    }

    /// Records a call that failed after `took`. Returns the backoff before the next call.
    pub fn failed(&mut self, failure: PollFailure, took: Duration) -> Duration {
        if failure == PollFailure::Rejected {
            // A local agent has no reason to reject a call.
            self.source = Source::Shared;
        }
        let longest = match self.source {
            Source::LocalAgent => MAX_LOCAL_BACKOFF,
            Source::Shared => MAX_SHARED_BACKOFF,
        };
        let doubled = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(16)).min(longest);
        self.failures += 1;
        if !self.is_fleet() {
            return doubled.min(self.remaining_time(took));
        }
        // Jitter: forwarders that failed together must not retry together.
        let jitter = 0.5 + 0.5 * self.random.f64();
        match self.source {
            Source::LocalAgent => doubled.mul_f64(jitter),
            Source::Shared => self.remaining_time(took).mul_f64(jitter),
        }
    }

    /// The longest backoff that still lets a change that discovery received since the failed call
    /// began be known and applied in time.
    fn remaining_time(&self, took: Duration) -> Duration {
        // A poll that was given up late has used up the time: the next call follows soon, but not
        // together with all others.
        (PROPAGATION_LIMIT + self.grace).saturating_sub(MAX_RESPONSE_TIME + took).max(CHANGE_JITTER)
    }
}

#[cfg(test)]
#[path = "discovery_schedule_tests.rs"]
mod tests;
