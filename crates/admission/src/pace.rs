//! The least pace at which a client has to take its answer. Only the time counts in which bytes wait for the client: what
//! the forwarder itself takes is not held against it.

use crate::Micros;

/// A floor on bytes a second, after a grace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Floor {
    /// Time that a client may keep bytes waiting before any of it is earned, microseconds.
    pub grace: Micros,
    /// Bytes a second that earn more, above 0.
    pub rate: u64,
}

/// How a client keeps to the floor, as a bucket of time: waiting empties it, bytes that it takes fill it up to the grace.
/// So no fast start can be saved up for more than one grace of standing still.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    floor: Floor,
    left: Micros,
    waits_since: Option<Micros>,
}

impl Pace {
    /// A client that has not kept anything waiting.
    pub fn new(floor: Floor) -> Pace {
        Pace { floor, left: floor.grace, waits_since: None }
    }

    /// Bytes wait for the client from now on, or still do. Until when it has time to take some.
    pub fn waits(&mut self, now: Micros) -> Micros {
        let since = *self.waits_since.get_or_insert(now);
        since.saturating_add(self.left)
    }

    /// It has taken so many.
    pub fn took(&mut self, now: Micros, bytes: u64) {
        if let Some(since) = self.waits_since.take() {
            self.left = self.left.saturating_sub(now.saturating_sub(since));
        }
        let earned = bytes.saturating_mul(1_000_000) / self.floor.rate.max(1);
        self.left = self.left.saturating_add(earned).min(self.floor.grace);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const FLOOR: Floor = Floor { grace: 5_000_000, rate: 4_096 };

    /// How long a client is borne that keeps bytes waiting for `wait` and then takes `bytes`, over and over.
    fn borne(wait: Micros, bytes: u64, most: Micros) -> Micros {
        let (mut pace, mut now) = (Pace::new(FLOOR), 0);
        while now < most {
            let until = pace.waits(now);
            if until < now + wait {
                return until;
            }
            now += wait;
            pace.took(now, bytes);
        }
        most
    }

    #[test]
    fn a_sip_now_and_then_does_not_hold_a_connection() {
        assert_eq!(borne(10_000_000, 0, 60_000_000), 5_000_000, "nothing at all: the grace");
        assert!(borne(4_900_000, 1_000, 600_000_000) < 6_000_000);
        assert_eq!(borne(100_000, 1_460, 600_000_000), 600_000_000, "14 KB a second is above the floor");
    }

    proptest! {
        #[test]
        fn who_is_under_the_floor_goes_and_who_is_over_it_stays(wait in 1_000..4_000_000u64, bytes in 0..100_000u64) {
            let rate = bytes as f64 * 1e6 / wait as f64;
            let borne = borne(wait, bytes, 400_000_000);
            if rate > FLOOR.rate as f64 * 1.05 {
                prop_assert_eq!(borne, 400_000_000);
            } else if rate < FLOOR.rate as f64 * 0.9 {
                // What is missing to the floor uses up the grace.
                prop_assert!(borne <= 60_000_000, "{} {}", rate, borne);
            }
        }

        /// A clock that stands still, jumps or runs back breaks nothing.
        #[test]
        fn any_times_are_borne(steps in prop::collection::vec((any::<u64>(), any::<u64>()), 1..50)) {
            let mut pace = Pace::new(FLOOR);
            for (now, bytes) in steps {
                prop_assert!(pace.waits(now) <= now.max(pace.waits_since.unwrap_or(now)).saturating_add(FLOOR.grace));
                pace.took(now, bytes);
                prop_assert!(pace.left <= FLOOR.grace);
            }
        }
    }
}
