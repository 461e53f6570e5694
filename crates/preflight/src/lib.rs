//! Last check before the first byte of a call. Between the decision and the first byte lie a
//! connection that takes time to establish, a sync of the journal or a notice to acknowledge;
//! information that arrives meanwhile may forbid the call. This crate uses no sockets and no clock.
//!
//! It makes no new decisions. It holds what the scheduler's decision does not cover yet: meanwhile
//! a partner may have told another call to wait, the scheduler may have detected an outage, or the
//! endpoint may have been drained. Whoever reads such information records it here immediately,
//! without going through the event loop's queue.
//!
//! The event loop owns [`RouteStates`]; each call carries a [`PreflightCheck`].

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

/// A point in time, in microseconds of the process's clock.
pub type Micros = u64;

/// The scope to which requested waits and detected outages apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteScope {
    /// All endpoints of a destination.
    Destination(u32),
    /// A single endpoint of a destination whose endpoints have separate limits.
    Endpoint(u32),
}

/// Requested wait and latest outage of a [`RouteScope`], shared by the calls on it. Both times only
/// increase: an update never undoes a later one.
#[derive(Debug, Default)]
pub struct RouteState {
    wait_until: AtomicU64,
    last_outage: AtomicU64,
}

impl RouteState {
    /// Records that a partner has asked to send nothing before this time.
    pub fn defer_until(&self, until: Micros) {
        self.wait_until.fetch_max(until, Ordering::Relaxed);
    }

    /// Records that the scheduler has detected an outage (down, silent, hung, failing) at this
    /// time. Earlier decisions rest on outdated information.
    pub fn record_outage(&self, at: Micros) {
        self.last_outage.fetch_max(at, Ordering::Relaxed);
    }

    /// Nothing may be sent before this time.
    pub fn wait_until(&self) -> Micros {
        self.wait_until.load(Ordering::Relaxed)
    }
}

/// The states of all routes. Entries that nothing refers to and that no longer restrict anything
/// are dropped.
#[derive(Debug, Default)]
pub struct RouteStates(BTreeMap<RouteScope, Arc<RouteState>>);

impl RouteStates {
    /// The state of a route. A requested wait outlives the endpoints of a destination: endpoints
    /// that are added later are bound by it too.
    pub fn of(&mut self, scope: RouteScope) -> Arc<RouteState> {
        self.0.entry(scope).or_default().clone()
    }

    /// Drops entries that no longer restrict anything. To be called periodically.
    pub fn sweep(&mut self, now: Micros) {
        self.0.retain(|_, route| Arc::strong_count(route) > 1 || route.wait_until() > now);
    }
}

/// Why a call must not be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreflightError {
    /// The endpoint is draining or has left.
    Closed,
    /// The partner has asked to wait.
    RetryAfter {
        /// When the wait ends.
        until: Micros,
    },
    /// An outage was detected after the decision.
    OutageDetected,
}

/// The check before a call's first byte.
#[derive(Clone, Debug)]
pub struct PreflightCheck {
    /// Requested wait and outages of the route, shared with other calls on it.
    pub route: Arc<RouteState>,
    /// Set once no new call may be written to the endpoint.
    pub closed: Arc<AtomicBool>,
    /// When the scheduler decided on the call.
    pub decided_at: Micros,
}

impl PreflightCheck {
    /// Whether the call may be made now.
    ///
    /// # Errors
    /// Why it must not be made. A closed endpoint takes precedence because it is permanent.
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

    fn check(routes: &mut RouteStates, scope: RouteScope, decided_at: Micros) -> PreflightCheck {
        PreflightCheck { route: routes.of(scope), closed: Arc::default(), decided_at }
    }

    #[test]
    fn a_wait_applies_to_the_destination_or_to_one_endpoint_if_endpoints_are_independent() {
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
    fn decisions_made_before_an_outage_are_rejected_and_a_later_trial_is_allowed() {
        let mut routes = RouteStates::default();
        let before = check(&mut routes, RouteScope::Destination(1), 10);
        let trial = check(&mut routes, RouteScope::Destination(1), 11);
        before.route.record_outage(11);
        assert_eq!((before.check(50), trial.check(50)), (Err(PreflightError::OutageDetected), Ok(())));
        trial.closed.store(true, Ordering::Relaxed);
        assert_eq!(trial.check(50), Err(PreflightError::Closed));
    }

    #[test]
    fn a_wait_outlives_its_endpoints_and_inactive_entries_are_dropped() {
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
        /// Whatever the order of updates, nothing is sent before the longest wait is over.
        #[test]
        fn a_wait_is_never_shortened(told in proptest::collection::vec(0..1_000u64, 1..20), now in 0..1_100u64) {
            let mut routes = RouteStates::default();
            let call = check(&mut routes, RouteScope::Destination(1), 0);
            told.iter().for_each(|until| call.route.defer_until(*until));
            let longest = told.iter().max().copied().unwrap_or(0);
            prop_assert_eq!(call.check(now).is_ok(), now >= longest);
        }
    }
}
