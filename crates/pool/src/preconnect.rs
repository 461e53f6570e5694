//! Decides how many connections to open before calls need them.
//!
//! A call that finds no connection waits for a handshake. During one handshake, the call rate times
//! its duration arrive; that many connections, times a factor for bursts, and one more are kept
//! ready (Little 1961; bursts at the sites reach two and a half times the usual rate). No
//! connection is opened ahead for an endpoint whose last call or dial failed: a partner that
//! recovers is ramped up by the scheduler, not flooded with handshakes.

use crate::Micros;

/// Bursts that are prepared for, as a factor on the recent call rate.
const BURST_FACTOR: f64 = 2.5;
/// Time constant of the call rate, in microseconds.
const RATE_WINDOW_US: f64 = 2e6;
/// Weight of the latest handshake in the smoothed duration.
const HANDSHAKE_SMOOTHING: f64 = 0.2;
/// Without calls for this long, no connection is kept ready.
const DEMAND_TIMEOUT_US: Micros = 10_000_000;
/// Maximum number of preconnect dials in progress.
const MAX_PARALLEL_DIALS: usize = 4;
/// Handshakes shorter than this, in microseconds, are not worth preconnecting for.
const MIN_HANDSHAKE_US: f64 = 1_000.0;

/// The connections of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections with a call in flight.
    pub in_use: usize,
    /// Idle connections that can be reused.
    pub idle: usize,
    /// Connections being opened ahead of demand.
    pub dialling: usize,
    /// Maximum of all three together.
    pub max: usize,
}

/// Demand for connections to one endpoint.
#[derive(Clone, Debug, Default)]
pub struct PreconnectPolicy {
    rate: f64,
    updated_at: Micros,
    handshake: f64,
    /// The last call or dial succeeded.
    last_succeeded: bool,
}

impl PreconnectPolicy {
    /// Calls per second.
    pub fn call_rate(&self, now: Micros) -> f64 {
        self.rate * (-(now.saturating_sub(self.updated_at) as f64) / RATE_WINDOW_US).exp()
    }

    /// Records the start of a call.
    pub fn call_started(&mut self, now: Micros) {
        self.rate = self.call_rate(now) + 1e6 / RATE_WINDOW_US;
        self.updated_at = self.updated_at.max(now);
    }

    /// Records a new connection whose handshake took `took`.
    pub fn connection_opened(&mut self, took: Micros) {
        let took = took as f64;
        self.handshake = if self.handshake > 0.0 {
            self.handshake + HANDSHAKE_SMOOTHING * (took - self.handshake)
        } else {
            took
        };
    }

    /// Records the result of a call or a dial.
    pub fn call_ended(&mut self, succeeded: bool) {
        self.last_succeeded = succeeded;
    }

    /// Smoothed duration of a handshake in microseconds; 0 if none was seen.
    pub fn handshake(&self) -> Micros {
        self.handshake as Micros
    }

    /// Number of connections to start opening now.
    pub fn preconnects_due(&self, now: Micros, counts: ConnectionCounts) -> usize {
        if !self.last_succeeded
            || self.handshake < MIN_HANDSHAKE_US
            || now > self.updated_at.saturating_add(DEMAND_TIMEOUT_US)
        {
            return 0;
        }
        let target = (BURST_FACTOR * self.call_rate(now) * self.handshake / 1e6).ceil() as usize + 1;
        let missing = target.saturating_sub(counts.idle + counts.dialling);
        let capacity = counts.max.saturating_sub(counts.in_use + counts.idle + counts.dialling);
        missing.min(capacity).min(MAX_PARALLEL_DIALS.saturating_sub(counts.dialling))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn counts(in_use: usize, idle: usize, dialling: usize) -> ConnectionCounts {
        ConnectionCounts { in_use, idle, dialling, max: 20 }
    }

    /// A policy after ten seconds at `rate` calls per second, with handshakes of 100 ms.
    fn policy_under_load(rate: u64) -> (PreconnectPolicy, Micros) {
        let mut policy = PreconnectPolicy::default();
        policy.connection_opened(100_000);
        let mut now = 1_000_000;
        for _ in 0..rate * 10 {
            now += 1_000_000 / rate;
            policy.call_started(now);
            policy.call_ended(true);
        }
        (policy, now)
    }

    #[test]
    fn connections_for_the_calls_of_one_handshake_are_kept_ready() {
        let (policy, now) = policy_under_load(20);
        assert!((18.0..22.0).contains(&policy.call_rate(now)), "{}", policy.call_rate(now));
        // 2.5 times a little over 20 calls per second for 0.1 s, and one more: 7.
        assert_eq!(policy.preconnects_due(now, counts(0, 0, 0)), MAX_PARALLEL_DIALS);
        assert_eq!(policy.preconnects_due(now, counts(0, 3, 1)), 3);
        assert_eq!(policy.preconnects_due(now, counts(0, 7, 0)), 0);
        assert_eq!(policy.preconnects_due(now, counts(18, 0, 1)), 1, "no more than the maximum");
        assert_eq!(
            policy.preconnects_due(now + DEMAND_TIMEOUT_US + 1, counts(0, 0, 0)),
            0,
            "no calls any more"
        );
    }

    #[test]
    fn no_preconnects_after_a_failure_or_for_fast_handshakes() {
        let (mut policy, now) = policy_under_load(20);
        policy.call_ended(false);
        assert_eq!(policy.preconnects_due(now, counts(0, 0, 0)), 0);
        policy.call_ended(true);
        assert_eq!(policy.preconnects_due(now, counts(0, 0, 0)), MAX_PARALLEL_DIALS);
        (0..50).for_each(|_| policy.connection_opened(200));
        assert_eq!(policy.preconnects_due(now, counts(0, 0, 0)), 0, "a handshake of 0.2 ms");
    }

    proptest! {
        #[test]
        fn preconnects_stay_within_the_maximum(
            steps in prop::collection::vec((0..4u8, any::<u32>()), 0..60),
            in_use in 0..30usize, idle in 0..30usize, dialling in 0..30usize,
        ) {
            let mut policy = PreconnectPolicy::default();
            let mut now = 0u64;
            for (action, value) in steps {
                match action {
                    0 => {
                        now += u64::from(value);
                        policy.call_started(now)
                    }
                    1 => policy.connection_opened(u64::from(value)),
                    2 => policy.call_ended(value % 2 == 0),
                    _ => policy.call_started(u64::from(value)),
                }
                let counts = counts(in_use, idle, dialling);
                let dials = policy.preconnects_due(now, counts);
                prop_assert!(
                    dials <= MAX_PARALLEL_DIALS
                        && (dials == 0 || in_use + idle + dialling + dials <= counts.max)
                );
            }
        }
    }
}
