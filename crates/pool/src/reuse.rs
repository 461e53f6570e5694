//! Decides when a connection that has carried a call may carry another one.
//!
//! Responses of HTTP/1.1 name no request: a response counts as the answer to the oldest request on
//! its connection that has none. A second copy of a response, or one that no request asked for, is
//! recognized only if it arrives while no request waits; otherwise it ends a call that it says
//! nothing about, and each later call on that connection gets the answer to the one before. So a
//! connection rests after each call, and what arrives meanwhile ends it. An endpoint that has sent
//! such a response gets a new connection for each call for some time.

use crate::Micros;
use std::collections::BTreeMap;

/// How long a connection rests where nothing else is configured.
pub const DEFAULT_REST_US: Micros = 1_000_000;
/// Number of resting connections to one endpoint from which on a shorter rest is enough. Without
/// it, a high call rate would keep a connection for each call of the last [`DEFAULT_REST_US`].
const MAX_RESTING: usize = 16;
/// That shorter rest.
const SHORT_REST_US: Micros = 100_000;
/// For how long the connections of an endpoint carry one call each after an unasked response.
const SINGLE_USE_US: Micros = 600_000_000;

/// An idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleConnection {
    /// Whether it has carried a call.
    pub used: bool,
    /// Time since its last response, or since it was opened.
    pub idle: Micros,
}

/// Which connections may be reused, for all endpoints of a process.
#[derive(Clone, Debug)]
pub struct ReusePolicy {
    rest: Micros,
    /// When each endpoint last sent a response that no request had asked for.
    unasked: BTreeMap<u32, Micros>,
}

impl ReusePolicy {
    /// `rest` is how long a connection rests after a call, 0 for not at all.
    pub fn new(rest: Micros) -> ReusePolicy {
        ReusePolicy { rest, unasked: BTreeMap::new() }
    }

    /// Records a response from an endpoint that no request had asked for.
    pub fn unasked_response(&mut self, endpoint: u32, now: Micros) {
        self.unasked.insert(endpoint, now);
    }

    /// Whether each connection to an endpoint carries one call only.
    pub fn is_single_use(&self, endpoint: u32, now: Micros) -> bool {
        self.unasked.get(&endpoint).is_some_and(|at| now < at.saturating_add(SINGLE_USE_US))
    }

    /// Selects the connection for a call: the index of the most recently used one that has rested,
    /// or else of one that has carried no call. `idle` begins with the connection that has been
    /// idle for longest.
    pub fn select(&self, endpoint: u32, now: Micros, idle: &[IdleConnection]) -> Option<usize> {
        let rest = self.required_rest(endpoint, now, idle);
        let has_rested = |connection: &IdleConnection| rest.is_some_and(|rest| connection.idle >= rest);
        let rested = idle.iter().rposition(|connection| connection.used && has_rested(connection));
        rested.or_else(|| idle.iter().rposition(|connection| !connection.used))
    }

    /// Number of connections that may carry a call now.
    pub fn ready(&self, endpoint: u32, now: Micros, idle: &[IdleConnection]) -> usize {
        let rest = self.required_rest(endpoint, now, idle);
        let is_ready = |connection: &&IdleConnection| {
            !connection.used || rest.is_some_and(|rest| connection.idle >= rest)
        };
        idle.iter().filter(is_ready).count()
    }

    /// How long a connection has to rest after a call; none if it may not be reused.
    fn required_rest(&self, endpoint: u32, now: Micros, idle: &[IdleConnection]) -> Option<Micros> {
        if self.is_single_use(endpoint, now) {
            return None;
        }
        let resting = idle.iter().filter(|connection| connection.used).count();
        Some(if resting >= MAX_RESTING { self.rest.min(SHORT_REST_US) } else { self.rest })
    }

    /// Forgets endpoints whose connections may be reused again. To be called periodically.
    pub fn sweep(&mut self, now: Micros) {
        self.unasked.retain(|_, at| now < at.saturating_add(SINGLE_USE_US));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MS: Micros = 1_000;

    fn used(idle: Micros) -> IdleConnection {
        IdleConnection { used: true, idle }
    }

    #[test]
    fn a_connection_rests_after_each_call_and_a_new_one_does_not() {
        let policy = ReusePolicy::new(DEFAULT_REST_US);
        assert_eq!(policy.select(1, 0, &[used(999 * MS)]), None);
        assert_eq!(policy.select(1, 0, &[used(5_000 * MS), used(1_000 * MS), used(999 * MS)]), Some(1));
        let unused = IdleConnection { used: false, idle: 0 };
        assert_eq!(policy.select(1, 0, &[used(999 * MS), unused]), Some(1));
        assert_eq!(policy.select(1, 0, &[used(1_000 * MS), unused]), Some(0), "kept for a burst");
        assert_eq!(policy.ready(1, 0, &[used(1_000 * MS), used(999 * MS), unused]), 2);
        assert_eq!(ReusePolicy::new(0).select(1, 0, &[used(0)]), Some(0));
    }

    #[test]
    fn many_resting_connections_are_reused_after_a_shorter_rest() {
        let policy = ReusePolicy::new(DEFAULT_REST_US);
        let mut idle = vec![used(10 * MS); MAX_RESTING];
        assert_eq!((policy.select(1, 0, &idle), policy.ready(1, 0, &idle)), (None, 0));
        idle[0] = used(100 * MS);
        assert_eq!((policy.select(1, 0, &idle), policy.ready(1, 0, &idle)), (Some(0), 1));
        assert_eq!(policy.select(1, 0, &idle[..MAX_RESTING - 1]), None);
    }

    #[test]
    fn after_an_unasked_response_connections_carry_one_call_each() {
        let mut policy = ReusePolicy::new(DEFAULT_REST_US);
        let idle = vec![used(5_000 * MS); MAX_RESTING];
        policy.unasked_response(1, 100);
        assert_eq!(policy.select(1, 200, &idle), None);
        assert_eq!(policy.select(1, 200, &[IdleConnection { used: false, idle: 0 }]), Some(0));
        assert!(policy.select(2, 200, &idle).is_some(), "another endpoint");
        policy.sweep(99 + SINGLE_USE_US);
        assert!(policy.is_single_use(1, 99 + SINGLE_USE_US));
        policy.sweep(100 + SINGLE_USE_US);
        assert!(policy.unasked.is_empty() && policy.select(1, 100 + SINGLE_USE_US, &idle).is_some());
    }

    proptest! {
        /// No selected connection has carried a call within the short rest.
        #[test]
        fn a_selected_connection_has_rested(mut idle in proptest::collection::vec(0..2_000u64, 0..40)) {
            idle.sort_unstable_by(|a, b| b.cmp(a));
            let idle: Vec<_> = idle.iter().map(|ms| used(ms * MS)).collect();
            let selected = ReusePolicy::new(DEFAULT_REST_US).select(1, 0, &idle);
            prop_assert!(selected.is_none_or(|index| idle[index].idle >= SHORT_REST_US));
            let rested = idle.iter().any(|connection| connection.idle >= DEFAULT_REST_US);
            prop_assert!(!rested || selected.is_some());
        }
    }
}
