//! Builds the status of all destinations for operators. No decision depends on it.

use super::Brain;
use crate::interface::*;
use crate::state::Circuit;
use crate::views::*;
use std::collections::BTreeMap;

impl Brain {
    /// Emits a log line for operators, 100 lines at most: a fault that lasts would repeat its lines without
    /// end.
    pub(super) fn log(&mut self, text: String) {
        self.log_lines += 1;
        self.actions.extend((self.log_lines <= 100).then_some(Action::Log { text }));
    }

    /// The status of every destination at `now`. The work is bounded by the number of destinations, endpoints
    /// and calls in flight; single messages are not examined.
    pub fn view(&self, now: Micros) -> Vec<DestinationView> {
        let time_left = |until: Micros| until.saturating_sub(now);
        let route_status = |route_id: &usize| {
            let route = &self.routes[*route_id];
            let mut calls: BTreeMap<TargetId, u32> = BTreeMap::new();
            route.calls.values().for_each(|call| *calls.entry(call.target).or_default() += 1);
            let targets = route.targets.iter().filter_map(|id| {
                let t = self.targets.get(id)?;
                let (calls, avoided) = (calls.get(id).copied().unwrap_or(0), time_left(t.avoid_until));
                Some(TargetView { target: *id, state: t.state, calls, avoided })
            });
            let health = match route.circuit {
                Circuit::Closed if route.detector.is_lossy() => Health::Failing,
                Circuit::Closed => Health::Open,
                Circuit::Open { next, .. } => Health::Out { next: time_left(next) },
                Circuit::SlowStart { since } => Health::Warming { since: now.saturating_sub(since) },
            };
            LaneView {
                targets: targets.collect(),
                health,
                trouble: route.failing_since.map(|since| now.saturating_sub(since)),
                failing: route.detector.failure_share(),
                towards_out: route.detector.outage_evidence(now),
                stood: match route.circuit {
                    Circuit::Closed if route.detector.is_lossy() => route.detector.lossy_since(),
                    Circuit::Closed => route.detector.last_failure(),
                    Circuit::Open { .. } => route.failing_since,
                    Circuit::SlowStart { since } => Some(since),
                }
                .map(|since| now.saturating_sub(since)),
                wait: time_left(route.wait_until),
                window: route.window,
                calls: route.calls.len() as u32,
                tau: route.latency.tau as Micros,
                mean: if route.latency.answers > 0 { route.latency.mean() as Micros } else { 0 },
                pace: route.pace,
                limit: route.limit,
            }
        };
        let destination = |(id, d): (&DestinationId, &crate::state::Destination)| DestinationView {
            destination: *id,
            ready: d.ready.values().map(|set| set.len() as u32).sum(),
            lanes: d.routes.iter().map(route_status).collect(),
        };
        self.destinations.iter().map(destination).collect()
    }
}
