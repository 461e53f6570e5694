//! What the decisions look like from outside, for people: read, never acted on.

use super::DeliveryScheduler;
use crate::interface::*;
use crate::state::Gate;
use crate::status::*;
use std::collections::BTreeMap;

impl DeliveryScheduler {
    /// A line for people; a bound, since what goes wrong for long says so again and again.
    pub(super) fn log(&mut self, text: String) {
        self.logged += 1;
        self.out.extend((self.logged <= 100).then_some(Action::Log { text }));
    }

    /// A picture of every destination at a time. Bounded work: it looks at destinations, targets and calls out, not
    /// at single messages.
    pub fn status(&self, now: Micros) -> Vec<DestinationStatus> {
        let rest = |until: Micros| until.saturating_sub(now);
        let lane = |lane: &usize| {
            let l = &self.lanes[*lane];
            let mut calls: BTreeMap<TargetId, u32> = BTreeMap::new();
            l.calls.values().for_each(|c| *calls.entry(c.target).or_default() += 1);
            let targets = l.targets.iter().filter_map(|id| {
                let t = self.targets.get(id)?;
                let (calls, avoided_for) = (calls.get(id).copied().unwrap_or(0), rest(t.avoid_until));
                Some(TargetStatus { target: *id, state: t.state, calls, avoided_for })
            });
            let health = match l.gate {
                Gate::Open if l.evidence.is_lossy() => Health::Failing,
                Gate::Open => Health::Up,
                Gate::Out { next, .. } => Health::Out { next_trial_in: rest(next) },
                Gate::Ramp { since } => Health::SlowStart { elapsed: now.saturating_sub(since) },
            };
            RouteStatus {
                targets: targets.collect(),
                health,
                unanswered_for: l.trouble.map(|since| now.saturating_sub(since)),
                failure_share: l.evidence.share(),
                outage_evidence: l.evidence.towards_out(now),
                state_age: match l.gate {
                    Gate::Open if l.evidence.is_lossy() => l.evidence.lossy_since(),
                    Gate::Open => l.evidence.last_failure(),
                    Gate::Out { .. } => l.trouble,
                    Gate::Ramp { since } => Some(since),
                }
                .map(|since| now.saturating_sub(since)),
                wait_left: rest(l.wait_until),
                window: l.window,
                calls: l.calls.len() as u32,
                tau: l.times.tau as Micros,
                mean_latency: if l.times.answers > 0 { l.times.mean() as Micros } else { 0 },
                pace: l.pace,
                limit: l.limit,
            }
        };
        let destination = |(id, d): (&DestinationId, &crate::state::Destination)| DestinationStatus {
            destination: *id,
            ready: d.ready.values().map(|set| set.len() as u32).sum(),
            routes: d.lanes.iter().map(lane).collect(),
        };
        self.destinations.iter().map(destination).collect()
    }
}
