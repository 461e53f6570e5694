//! After which idle times a reused connection is reset more often than a new one.

use std::time::Duration;

/// Boundaries between the idle times for which resets of reused connections are counted apart.
const IDLE_BUCKETS: [Duration; 5] = [
    Duration::from_millis(10),
    Duration::from_millis(30),
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(1000),
];
/// By how much more of the calls than on new connections may be reset.
const MAX_EXCESS_RESETS: f64 = 0.03;
/// Weight of the prior in calls, so that a few resets alone mean nothing.
const PRIOR_CALLS: f64 = 15.0;
/// Decay of old counts, which halves them in about 20 s.
const DECAY_PER_SECOND: f64 = 0.965;

/// Counts calls and resets by how long the connection had been idle before. Guards against targets
/// or middleboxes that silently drop idle connections long before the configured time: a call on
/// such a connection may have run, which ends an unsafe message, while a new connection costs only
/// a handshake.
#[derive(Debug, Default)]
pub(super) struct ResetStats {
    /// Calls and resets on new connections, then for each of the [`IDLE_BUCKETS`]; decaying.
    counts: [(f64, f64); IDLE_BUCKETS.len() + 2],
}

impl ResetStats {
    /// Index of the counters for an idle time; `None` stands for a new connection.
    fn bucket(idle: Option<Duration>) -> usize {
        idle.map_or(0, |idle| 1 + IDLE_BUCKETS.iter().filter(|age| idle >= **age).count())
    }

    /// Counts a call and whether it was reset.
    pub fn record(&mut self, idle: Option<Duration>, reset: bool) {
        let (calls, resets) = &mut self.counts[Self::bucket(idle)];
        *calls += 1.0;
        *resets += f64::from(u8::from(reset));
    }

    /// Whether a connection with this idle time is hardly riskier than a new one.
    pub fn is_safe(&self, idle: Duration) -> bool {
        let share = |bucket: usize| {
            let (calls, resets) = self.counts[bucket];
            resets / (calls + PRIOR_CALLS)
        };
        share(Self::bucket(Some(idle))) <= share(0) + MAX_EXCESS_RESETS
    }

    /// Lets old counts decay; called once per second.
    pub fn decay(&mut self) {
        self.counts.iter_mut().for_each(|(calls, resets)| {
            (*calls, *resets) = (*calls * DECAY_PER_SECOND, *resets * DECAY_PER_SECOND)
        });
    }
}

#[cfg(test)]
#[path = "reset_stats_tests.rs"]
mod tests;
