//! Whether a call that was decided on may still go. A connection that comes up late, a sync of the journal or a notice
//! stand between the decision and the first byte: news that comes meanwhile may forbid it. No sockets, no clock.
//!
//! This decides nothing anew. It knows what the decision no longer covers, and is asked at the last moment: by then a partner
//! may have told another call to wait, may have been found out, or the endpoint may have been told to drain. Whoever reads
//! such news writes it here at once, and not by way of the loop's queue.
//!
//! [`RouteStates`] belongs to the loop; a [`PreflightCheck`] goes with each call.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

/// A point in time, in microseconds of the process's clock.
pub type Micros = u64;

/// What is told waits, and found out, as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteScope {
    /// All endpoints of a destination.
    Destination(u32),
    /// One endpoint, where a destination's are routes apart.
    Endpoint(u32),
}

/// What is known of one [`RouteScope`], shared by the calls on it. Points in time only grow: no news takes back older news.
#[derive(Debug, Default)]
pub struct RouteState {
    wait_until: AtomicU64,
    last_outage: AtomicU64,
}

impl RouteState {
    /// An answer has told to send nothing before then.
    pub fn defer_until(&self, until: Micros) {
        self.wait_until.fetch_max(until, Ordering::Relaxed);
    }

    /// The module has found it out (down, silent, hung, failing) at this time: what it decided on before rests on what was
    /// held true then.
    pub fn record_outage(&self, at: Micros) {
        self.last_outage.fetch_max(at, Ordering::Relaxed);
    }

    /// Nothing is sent before then.
    pub fn wait_until(&self) -> Micros {
        self.wait_until.load(Ordering::Relaxed)
    }
}

/// The lanes by their ways. Those that nothing refers to any more, and that bind nothing, are forgotten.
#[derive(Debug, Default)]
pub struct RouteStates(BTreeMap<RouteScope, Arc<RouteState>>);

impl RouteStates {
    /// The lane of a way. A wait outlives the endpoints of a destination: those that come later are bound by it too.
    pub fn of(&mut self, way: RouteScope) -> Arc<RouteState> {
        self.0.entry(way).or_default().clone()
    }

    /// Forgets what binds nothing. To be called now and then.
    pub fn sweep(&mut self, now: Micros) {
        self.0.retain(|_, route| Arc::strong_count(route) > 1 || route.wait_until() > now);
    }
}

/// What has come between a decision and its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreflightError {
    /// The endpoint drains, or has gone.
    Closed,
    /// Told to wait until then.
    RetryAfter {
        /// The end of the wait.
        until: Micros,
    },
    /// Found out since.
    OutageDetected,
}

/// What a call is asked before its first byte.
#[derive(Clone, Debug)]
pub struct PreflightCheck {
    /// What its endpoint shares with others.
    pub route: Arc<RouteState>,
    /// Set once nothing new is to be written to the endpoint.
    pub closed: Arc<AtomicBool>,
    /// When the call was decided on.
    pub decided_at: Micros,
}

impl PreflightCheck {
    /// Whether the call may go now.
    ///
    /// # Errors
    /// What forbids it. A drain comes first: it holds for good.
    pub fn check(&self, now: Micros) -> Result<(), PreflightError> {
        if self.closed.load(Ordering::Relaxed) {
            return Err(PreflightError::Closed);
        }
        let until = self.route.wait_until();
        if until > now {
            return Err(PreflightError::RetryAfter { until });
        }
        if self.route.last_outage.load(Ordering::Relaxed) > self.decided_at {
            return Err(PreflightError::OutageDetected);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn check(routes: &mut RouteStates, way: RouteScope, decided_at: Micros) -> PreflightCheck {
        PreflightCheck { route: routes.of(way), closed: Arc::default(), decided_at }
    }

    #[test]
    fn waits_bind_a_destination_and_only_the_route_that_told_them_where_routes_are_apart() {
        let mut routes = RouteStates::default();
        let [a, b] = [10, 20].map(|at| check(&mut routes, RouteScope::Destination(1), at));
        let other = check(&mut routes, RouteScope::Destination(2), 10);
        let [route, apart] = [1, 2].map(|n| check(&mut routes, RouteScope::Endpoint(n), 10));
        a.route.defer_until(100);
        route.route.defer_until(100);
        assert_eq!(b.check(99), Err(PreflightError::RetryAfter { until: 100 }));
        assert_eq!(route.check(99), Err(PreflightError::RetryAfter { until: 100 }));
        assert_eq!((other.check(99), apart.check(99), b.check(100)), (Ok(()), Ok(()), Ok(())));
    }

    #[test]
    fn what_was_decided_on_before_a_partner_was_found_out_does_not_go_and_a_trial_after_it_does() {
        let mut routes = RouteStates::default();
        let before = check(&mut routes, RouteScope::Destination(1), 10);
        let trial = check(&mut routes, RouteScope::Destination(1), 11);
        before.route.record_outage(11);
        assert_eq!((before.check(50), trial.check(50)), (Err(PreflightError::OutageDetected), Ok(())));
        trial.closed.store(true, Ordering::Relaxed);
        assert_eq!(trial.check(50), Err(PreflightError::Closed));
    }

    #[test]
    fn a_wait_outlives_the_endpoints_and_what_binds_nothing_is_forgotten() {
        let mut routes = RouteStates::default();
        routes.of(RouteScope::Destination(1)).defer_until(100);
        for n in 0..1_000 {
            routes.of(RouteScope::Endpoint(n));
            routes.sweep(99);
        }
        assert_eq!((routes.0.len(), routes.of(RouteScope::Destination(1)).wait_until()), (1, 100));
        let held = routes.of(RouteScope::Destination(1));
        routes.sweep(100);
        assert_eq!(routes.0.len(), 1, "a call refers to it");
        drop(held);
        routes.sweep(100);
        assert!(routes.0.is_empty());
    }

    proptest! {
        /// Whatever is told in whatever order, nothing goes before the longest wait is over.
        #[test]
        fn waits_only_lengthen(told in proptest::collection::vec(0..1_000u64, 1..20), now in 0..1_100u64) {
            let mut routes = RouteStates::default();
            let call = check(&mut routes, RouteScope::Destination(1), 0);
            told.iter().for_each(|until| call.route.defer_until(*until));
            let longest = told.iter().max().copied().unwrap_or(0);
            prop_assert_eq!(call.check(now).is_ok(), now >= longest);
        }
    }
}
