//! Detects clients that read their responses too slowly. Only time in which bytes wait for the
//! client counts: the forwarder's own delays are not charged to it.

use crate::Micros;

/// A minimum transfer rate with an initial allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MinimumRate {
    /// Time in microseconds that a client may keep bytes waiting before it has read any.
    pub grace: Micros,
    /// Minimum rate in bytes per second, above 0.
    pub bytes_per_second: u64,
}

/// Tracks one client's reading as a bucket of time: waiting empties it, bytes read refill it, up to
/// the grace. So a fast start earns no more than one grace of standing still.
#[derive(Clone, Copy, Debug)]
pub struct SlowReaderGuard {
    minimum: MinimumRate,
    budget: Micros,
    blocked_since: Option<Micros>,
}

impl SlowReaderGuard {
    /// Creates the guard of a client that has kept nothing waiting yet.
    pub fn new(minimum: MinimumRate) -> SlowReaderGuard {
        SlowReaderGuard { minimum, budget: minimum.grace, blocked_since: None }
    }

    /// Records that bytes wait for the client. Returns the time by which it has to read some.
    pub fn blocked(&mut self, now: Micros) -> Micros {
        let since = *self.blocked_since.get_or_insert(now);
        since.saturating_add(self.budget)
    }

    /// Records that the client has read `bytes`.
    pub fn transferred(&mut self, now: Micros, bytes: u64) {
        if let Some(since) = self.blocked_since.take() {
            self.budget = self.budget.saturating_sub(now.saturating_sub(since));
        }
        let earned = bytes.saturating_mul(1_000_000) / self.minimum.bytes_per_second.max(1);
        self.budget = self.budget.saturating_add(earned).min(self.minimum.grace);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MINIMUM_RATE: MinimumRate = MinimumRate { grace: 5_000_000, bytes_per_second: 4_096 };

    /// How long a client is tolerated that repeatedly keeps bytes waiting for `wait` and then reads
    /// `bytes`.
    fn tolerated_for(wait: Micros, bytes: u64, limit: Micros) -> Micros {
        let (mut guard, mut now) = (SlowReaderGuard::new(MINIMUM_RATE), 0);
        while now < limit {
            let until = guard.blocked(now);
            if until < now + wait {
                return until;
            }
            now += wait;
            guard.transferred(now, bytes);
        }
        limit
    }

    #[test]
    fn reading_a_little_now_and_then_does_not_hold_a_connection() {
        assert_eq!(tolerated_for(10_000_000, 0, 60_000_000), 5_000_000, "reads nothing: the grace");
        assert!(tolerated_for(4_900_000, 1_000, 600_000_000) < 6_000_000);
        assert_eq!(
            tolerated_for(100_000, 1_460, 600_000_000),
            600_000_000,
            "14 KB a second is above the minimum"
        );
    }

    proptest! {
        #[test]
        fn readers_below_the_minimum_rate_are_dropped_and_faster_ones_are_not(
            wait in 1_000..4_000_000u64,
            bytes in 0..100_000u64,
        ) {
            let rate = bytes as f64 * 1e6 / wait as f64;
            let tolerated = tolerated_for(wait, bytes, 400_000_000);
            if rate > MINIMUM_RATE.bytes_per_second as f64 * 1.05 {
                prop_assert_eq!(tolerated, 400_000_000);
            } else if rate < MINIMUM_RATE.bytes_per_second as f64 * 0.9 {
                // The shortfall against the minimum rate uses up the grace.
                prop_assert!(tolerated <= 60_000_000, "{} {}", rate, tolerated);
            }
        }

        /// A clock that stands still, jumps or runs backwards breaks no bound.
        #[test]
        fn any_times_are_accepted(steps in prop::collection::vec((any::<u64>(), any::<u64>()), 1..50)) {
            let mut guard = SlowReaderGuard::new(MINIMUM_RATE);
            for (now, bytes) in steps {
                prop_assert!(
                    guard.blocked(now)
                        <= now.max(guard.blocked_since.unwrap_or(now)).saturating_add(MINIMUM_RATE.grace)
                );
                guard.transferred(now, bytes);
                prop_assert!(guard.budget <= MINIMUM_RATE.grace);
            }
        }
    }
}
