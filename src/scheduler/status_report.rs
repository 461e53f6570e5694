//! Builds the status of all destinations for operators. No decision depends on it.

use super::DeliveryScheduler;
use crate::interface::*;
use crate::state::Circuit;
use crate::status::*;
use std::collections::BTreeMap;

impl DeliveryScheduler {
    /// Emits a log line for operators, 100 lines at most: a fault that lasts would repeat its lines without
    /// end.
    pub(super) fn log(&mut self, text: String) {
        self.log_lines += 1;
        self.actions.extend((self.log_lines <= 100).then_some(Action::Log { text }));
    }

    /// The status of every destination at `now`. The work is bounded by the number of destinations, endpoints
    /// and calls in flight; single messages are not examined.
    pub fn status(&self, now: Micros) -> Vec<DestinationStatus> {
        let time_left = |until: Micros| until.saturating_sub(now);
        let route_status = |route_id: &usize| {
            let route = &self.routes[*route_id];
            let mut calls: BTreeMap<TargetId, u32> = BTreeMap::new();
            route.calls.values().for_each(|call| *calls.entry(call.target).or_default() += 1);
            let targets = route.targets.iter().filter_map(|id| {
                let t = self.targets.get(id)?;
                let (calls, avoided_for) = (calls.get(id).copied().unwrap_or(0), time_left(t.avoid_until));
                Some(TargetStatus { target: *id, state: t.state, calls, avoided_for })
            });
            let health = match route.circuit {
                Circuit::Closed if route.detector.is_lossy() => Health::Failing,
                Circuit::Closed => Health::Up,
                Circuit::Open { next_trial, .. } => Health::Out { next_trial_in: time_left(next_trial) },
                Circuit::SlowStart { since } => Health::SlowStart { elapsed: now.saturating_sub(since) },
            };
            RouteStatus {
                targets: targets.collect(),
                health,
                unanswered_for: route.failing_since.map(|since| now.saturating_sub(since)),
                failure_share: route.detector.failure_share(),
                outage_evidence: route.detector.outage_evidence(now),
                state_age: match route.circuit {
                    Circuit::Closed if route.detector.is_lossy() => route.detector.lossy_since(),
                    Circuit::Closed => route.detector.last_failure(),
                    Circuit::Open { .. } => route.failing_since,
                    Circuit::SlowStart { since } => Some(since),
                }
                .map(|since| now.saturating_sub(since)),
                wait_left: time_left(route.wait_until),
                window: route.window,
                calls: route.calls.len() as u32,
                tau: route.latency.tau as Micros,
                mean_latency: if route.latency.answers > 0 { route.latency.mean() as Micros } else { 0 },
                pace: route.pace,
                limit: route.limit,
            }
        };
        let destination = |(id, d): (&DestinationId, &crate::state::Destination)| DestinationStatus {
            destination: *id,
            ready: d.ready.values().map(|set| set.len() as u32).sum(),
            routes: d.routes.iter().map(route_status).collect(),
        };
        self.destinations.iter().map(destination).collect()
    }
}
