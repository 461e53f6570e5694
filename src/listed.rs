//! Destinations and endpoints come with the list, and are forgotten when they have gone: no decisions, but what these go
//! by, and what keeps the memory bounded.

use super::{DeliveryScheduler, RESEND_SAVED, SECOND};
use crate::answers::AnswerTimes;
use crate::interface::*;
use crate::state::*;
use std::collections::BTreeSet;

impl DeliveryScheduler {
    /// A full list removes what it lacks; a cached one is only a start.
    pub(super) fn list(&mut self, kind: ListKind, version: u32, lines: Vec<Endpoint>) {
        if (kind == ListKind::Cached && self.s.subscribe) || kind == ListKind::Failed {
            self.out.push(Action::Subscribe { on: true });
        }
        if version < self.list_version || kind == ListKind::Failed {
            return;
        }
        self.list_version = version;
        if kind == ListKind::Full {
            let named: BTreeSet<TargetId> = lines.iter().map(|e| e.target).collect();
            for (_, t) in self.targets.iter_mut().filter(|(id, _)| !named.contains(id)) {
                t.state = EndpointState::Gone;
            }
        }
        let aim = self.least_aim() / SECOND;
        for e in lines {
            let kind = e.kind as usize;
            let apart = self.s.independent_routes.get(kind).copied().unwrap_or(false);
            let d = self.destinations.entry(e.destination).or_default();
            d.slots = e.slots;
            let known = self.targets.get(&e.target).map(|t| t.lane);
            let lane = known.or(if apart { None } else { d.lanes.first().copied() }).unwrap_or_else(|| {
                let times = AnswerTimes::new();
                let fee = self.s.zone_cost.get(e.zone as usize).copied().filter(|_| apart).unwrap_or(0.0);
                let fresh = Lane { kind, fee, times, window: 1.0, budget: RESEND_SAVED, ..Lane::default() };
                let fresh = Lane { tokens: 1.0, last_ok: self.now, ..fresh };
                let place = self.spare.pop().unwrap_or(self.lanes.len());
                match self.lanes.get_mut(place) {
                    Some(lane) => *lane = fresh,
                    None => self.lanes.push(fresh),
                }
                d.lanes.push(place);
                place
            });
            let l = &mut self.lanes[lane];
            // A report tells what holds now; the list what was agreed on.
            if self.s.listed_rate != ListedRate::Unknown && e.rate > 0.0 && !l.reported {
                l.limit_is(e.rate, self.s.senders, aim);
            }
            l.wait_until = l.wait_until.max(e.hold_until);
            l.targets.extend(known.is_none().then_some(e.target));
            let fresh = Target { lane, zone: e.zone, ..Target::default() };
            self.targets.entry(e.target).or_insert(fresh).state = e.state;
        }
    }

    /// Forgets endpoints that have gone, so that replacing them all the time does not fill the memory; and
    /// routes apart and destinations that have none left, once what was learned of them binds nothing: a wait
    /// or an outage of a destination outlives its endpoints.
    pub(super) fn forget(&mut self) {
        let lanes = &mut self.lanes;
        self.targets.retain(|id, t| {
            let l = &mut lanes[t.lane];
            let keep = t.state != EndpointState::Gone || l.calls.values().any(|c| c.target == *id);
            l.targets.retain(|other| keep || other != id);
            keep
        });
        let (now, long) = (self.now, self.longest_deadline() as Micros);
        let (lanes, spare, messages) = (&mut self.lanes, &mut self.spare, &self.messages);
        self.destinations.retain(|id, d| {
            let apart = |l: &Lane| self.s.independent_routes.get(l.kind).copied().unwrap_or(false);
            let quiet = |l: &Lane| {
                let bound =
                    l.gate != Gate::Open || l.wait_until > now || l.judged.max(l.last_ok) + long > now;
                l.targets.is_empty() && l.calls.is_empty() && !bound
            };
            let over = d.lanes.iter().all(|l| quiet(&lanes[*l]));
            let over = over && !messages.values().any(|m| m.destination == *id);
            d.lanes.retain(|lane| {
                let l = &mut lanes[*lane];
                let keep = !(over || apart(l) && quiet(l));
                if !keep {
                    *l = Lane::default();
                    spare.push(*lane);
                }
                keep
            });
            !over
        });
    }
}
