//! When the platform's discovery is asked: decisions only, no I/O. `docs/design/races.md` has the arithmetic.
//!
//! A change of the list counts as told at the latest 6 s after discovery has it and can be reached, whatever became of the
//! calls before (STANDING). So the pause after a failed call is bounded by what is left of that time, for one forwarder of
//! hundreds too. A fleet that fails together spreads its calls over all that the rule allows: a discovery that is asked by
//! all at once turns most of them away, and answers the others too late.

use foldtrack_delivery::{Micros, LARGE_FLEET};
use std::time::Duration;

/// A change counts as told so long after discovery has it and can be reached.
const TOLD_WITHIN: Duration = Duration::from_secs(6);
/// The longest that discovery takes to answer a call that it does not turn away (it gives the call up then), and the time
/// for the answer to be read and acted on.
const LONGEST_ANSWER: Duration = Duration::from_millis(2100);
/// How long a watch may stay without news. An agent of one's own answers at no cost, and a watch that has fallen silent is
/// noticed soon; a discovery that is shared answers the less often the more forwarders there are.
const OWN_WATCH: Duration = Duration::from_secs(3);
const SHARED_WATCH: Duration = Duration::from_secs(5);
const SHARED_WATCH_EACH: Duration = Duration::from_millis(250);
const LONGEST_WATCH: Duration = Duration::from_secs(50);
/// The watches of a fleet that begin together end within this part of their time, not together.
const WATCH_JITTER: f64 = 0.25;
/// The pause after a first failure, and the longest, doubled in between: at an agent of one's own, and at a discovery that is
/// shared by a few.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_OWN_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// News reach all senders in one moment: where they are many each asks on at some time within this span. The platform counts
/// what changes meanwhile as told if the next call comes within 200 ms of the answer; a later call begins a new watch, and
/// what has drained since is sent to for as long as nobody asks.
const NEWS: Duration = Duration::from_millis(150);

/// Who answers the calls for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// An agent on this machine, to which changes are pushed: it answers at once, or is silent.
    LocalAgent,
    /// A discovery that all forwarders ask, and that can have too much to do.
    Shared,
}

/// How a call for the list failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollFailure {
    /// Nobody was there, nothing came in time, or what came could not be read.
    NoResponse,
    /// It was turned away, or dropped after it had been taken in: whoever answers has too much to do.
    Rejected,
}

/// How one of so many senders asks.
#[derive(Debug)]
pub(crate) struct DiscoverySchedule {
    senders: u32,
    /// As the settings tell, and as it has shown itself.
    stated: Source,
    source: Source,
    /// How long a drain that was told may still be sent to.
    grace: Duration,
    failures: u32,
    random: fastrand::Rng,
}

impl DiscoverySchedule {
    /// `senders` as the settings have it: 0 counts as one. `grace` is the time for which a drain that was told may still be
    /// sent to.
    pub fn new(senders: u32, source: Source, grace: Micros, seed: u64) -> Self {
        let random = fastrand::Rng::with_seed(seed);
        let (senders, grace) = (senders.max(1), Duration::from_micros(grace));
        DiscoverySchedule { senders, stated: source, source, grace, failures: 0, random }
    }

    /// The list is told elsewhere from now on: nothing is known of that place.
    pub fn reset(&mut self) {
        (self.source, self.failures) = (self.stated, 0);
    }

    fn is_fleet(&self) -> bool {
        self.senders >= LARGE_FLEET
    }

    /// How long the next watch may stay without news.
    pub fn poll_timeout(&mut self) -> Duration {
        match self.source {
            Source::LocalAgent => OWN_WATCH,
            Source::Shared if self.is_fleet() => {
                let longest = (SHARED_WATCH_EACH * self.senders).clamp(SHARED_WATCH, LONGEST_WATCH);
                longest.mul_f64(1.0 - WATCH_JITTER * self.random.f64())
            }
            Source::Shared => SHARED_WATCH,
        }
    }

    /// An answer has come, with news or without: the pause before the next call.
    pub fn answered(&mut self, news: bool) -> Duration {
        self.failures = 0;
        if !news || !self.is_fleet() {
            return Duration::ZERO;
        }
        NEWS.mul_f64(self.random.f64())
    }

    /// A call has failed after it `took` so long: the pause before the next.
    pub fn failed(&mut self, failure: PollFailure, took: Duration) -> Duration {
        if failure == PollFailure::Rejected {
            // An agent of one's own has no reason to.
            self.source = Source::Shared;
        }
        let longest = match self.source {
            Source::LocalAgent => LONGEST_OWN_PAUSE,
            Source::Shared => LONGEST_PAUSE,
        };
        let doubled = FIRST_PAUSE.saturating_mul(1 << self.failures.min(16)).min(longest);
        self.failures += 1;
        if !self.is_fleet() {
            return doubled.min(self.left_of_the_rule(took));
        }
        // Those that failed together would go on together.
        let part = 0.5 + 0.5 * self.random.f64();
        match self.source {
            Source::LocalAgent => doubled.mul_f64(part),
            Source::Shared => self.left_of_the_rule(took).mul_f64(part),
        }
    }

    /// What the rule leaves for a pause: what discovery has got since the failed call began is heard, and acted on, in time.
    fn left_of_the_rule(&self, took: Duration) -> Duration {
        // A watch that was given up late has used its time up: the next call goes soon, but not with all others.
        (TOLD_WITHIN + self.grace).saturating_sub(LONGEST_ANSWER + took).max(NEWS)
    }
}

#[cfg(test)]
#[path = "discovery_schedule_tests.rs"]
mod tests;
