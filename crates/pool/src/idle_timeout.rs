//! Learns how long a connection may stay idle and still be reused.
//!
//! Servers and middleboxes close idle connections after a timeout that nobody announces and that
//! may change at any time, some with a FIN and some silently. A call on a connection that is being
//! closed may have run, and a payment must not be repeated after that. So a connection is reused
//! only within a fraction of the shortest idle time at which one was lost recently. Connections
//! that are idle for longer are not used but watched: one that is seen open for longer than any
//! before raises the limit without risking a message.

use crate::Micros;

/// Fraction of the shortest idle time of a loss up to which a connection is reused.
const SAFETY_FACTOR: f64 = 0.75;
/// Time in which the limit learned from silent losses grows by half. It has to recover by itself,
/// since only a message on a connection can test it.
const RECOVERY_US: f64 = 300e6;
/// Below this limit connections are not reused at all.
const MIN_IDLE_US: Micros = 2_000;

/// What was learned about the idle timeout of one endpoint.
#[derive(Clone, Debug)]
pub struct IdleTimeout {
    /// The idle timeout that the site file states for partners.
    configured: Micros,
    /// The shortest idle time after which the other side closed a connection, unless one was seen
    /// open for longer since.
    closed: Option<Micros>,
    /// The shortest idle time after which a call was reset, and when that happened.
    silent: Option<(Micros, Micros)>,
}

impl IdleTimeout {
    /// Starts from the configured timeout alone.
    pub fn new(configured: Micros) -> IdleTimeout {
        IdleTimeout { configured, closed: None, silent: None }
    }

    /// Records that the other side closed a connection after it had been idle for `idle`.
    pub fn closed_after(&mut self, idle: Micros) {
        self.closed = Some(self.closed.map_or(idle, |least| least.min(idle)));
    }

    /// Records that a connection is still open after it has been idle for `idle`.
    pub fn open_after(&mut self, idle: Micros) {
        // The partner's timeout has changed. It may be even longer; the next loss will tell.
        if self.closed.is_some_and(|least| idle > least) {
            self.closed = if idle >= self.configured { None } else { Some(idle) };
        }
    }

    /// Records that a call was reset on a connection that had been idle for `idle`.
    pub fn reset_after(&mut self, now: Micros, idle: Micros) {
        let shortest = self.silent_drop(now).map_or(idle, |least| least.min(idle));
        self.silent = Some((shortest, now));
    }

    /// Records that a call was answered on a connection that had been idle for `idle`.
    pub fn answered_after(&mut self, now: Micros, idle: Micros) {
        if self.silent_drop(now).is_some_and(|least| idle > least) {
            self.silent = Some((idle, now));
        }
        self.open_after(idle);
    }

    /// The shortest idle time of a reset, after recovery; none once it has grown past the
    /// configured timeout.
    fn silent_drop(&self, now: Micros) -> Option<Micros> {
        let (least, at) = self.silent?;
        let grown = least as f64 * 1.5f64.powf(now.saturating_sub(at) as f64 / RECOVERY_US);
        (grown < self.configured as f64).then_some(grown as Micros)
    }

    /// The longest idle time after which a connection is reused; 0 if none is.
    pub fn max_idle(&self, now: Micros) -> Micros {
        let least = self.closed.into_iter().chain(self.silent_drop(now)).min();
        let max_idle = least
            .map_or(self.configured, |least| ((least as f64 * SAFETY_FACTOR) as Micros).min(self.configured));
        if max_idle < MIN_IDLE_US {
            0
        } else {
            max_idle
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MS: Micros = 1_000;
    const SECOND: Micros = 1_000 * MS;

    /// Simulates a partner that closes idle connections after `closes_after`, called at many
    /// different gaps. Returns how many of the calls used a connection past that time.
    fn count_risky_calls(
        idle: &mut IdleTimeout, closes_after: Micros, silently: bool, from: Micros, calls: u64,
    ) -> u64 {
        let (mut now, mut risky) = (from, 0);
        for n in 0..calls {
            // From 1 ms to 4 s, the same sequence every time.
            let gap = MS << (n * 7 % 13);
            now += gap;
            let used = gap <= idle.max_idle(now);
            match (used, gap > closes_after) {
                (true, true) => {
                    risky += 1;
                    idle.reset_after(now, gap);
                }
                (true, false) => idle.answered_after(now, gap),
                // The connection is idle and watched.
                (false, true) if !silently => idle.closed_after(closes_after),
                (false, true) => {}
                (false, false) => idle.open_after(gap),
            }
        }
        risky
    }

    #[test]
    fn the_idle_timeout_of_a_partner_is_learned_and_followed() {
        let mut idle = IdleTimeout::new(15 * SECOND);
        assert_eq!(idle.max_idle(0), 15 * SECOND);
        assert!(count_risky_calls(&mut idle, 900 * MS, false, 0, 100) <= 2);
        assert!((500 * MS..900 * MS).contains(&idle.max_idle(0)));
        // The timeout becomes shorter, and longer again.
        assert!(count_risky_calls(&mut idle, 100 * MS, false, 1_000 * SECOND, 100) <= 2);
        assert_eq!(count_risky_calls(&mut idle, 100 * MS, false, 2_000 * SECOND, 1_000), 0);
        assert!(count_risky_calls(&mut idle, 3 * SECOND, false, 3_000 * SECOND, 1_000) <= 1);
        assert!(idle.max_idle(4_000 * SECOND) > 1_500 * MS, "{}", idle.max_idle(4_000 * SECOND));
    }

    #[test]
    fn a_silent_middlebox_costs_few_calls_and_is_probed_again_later() {
        let mut idle = IdleTimeout::new(15 * SECOND);
        let risky = count_risky_calls(&mut idle, 300 * MS, true, 0, 2_000);
        assert!(risky <= 8, "{risky}");
        let after = 2_000 * SECOND;
        assert!(idle.max_idle(after) > idle.max_idle(after - 1_500 * SECOND).min(200 * MS));
        assert_eq!(idle.max_idle(after + 10_000 * SECOND), 15 * SECOND, "fully recovered");
    }

    proptest! {
        /// Whatever is observed in any order, no connection is reused after the configured timeout
        /// or after a known loss.
        #[test]
        fn limits_hold_for_any_observations(
            steps in prop::collection::vec((0..4u8, any::<u32>(), any::<u32>()), 0..100),
        ) {
            let mut idle = IdleTimeout::new(15 * SECOND);
            for (action, now, time) in steps {
                let (now, time) = (u64::from(now), u64::from(time));
                match action {
                    0 => idle.closed_after(time),
                    1 => idle.open_after(time),
                    2 => idle.reset_after(now, time),
                    _ => idle.answered_after(now, time),
                }
                prop_assert!(idle.max_idle(now) <= 15 * SECOND);
                if action == 0 || action == 2 {
                    prop_assert!(idle.max_idle(now) <= time);
                }
            }
        }
    }
}
