//! Applies the endpoint list: adds destinations, routes and endpoints, and forgets those that are gone, which
//! bounds the memory in use.

use super::{DeliveryScheduler, MAX_SAVED_RESENDS, SECOND};
use crate::interface::*;
use crate::latency::LatencyHistogram;
use crate::state::*;
use std::collections::BTreeSet;

impl DeliveryScheduler {
    /// Applies a list event. Endpoints that a full list lacks are removed; a cached list is only a starting
    /// point until the current one arrives.
    pub(super) fn update_list(&mut self, kind: ListKind, version: u32, lines: Vec<Endpoint>) {
        if (kind == ListKind::Cached && self.config.subscribe) || kind == ListKind::Failed {
            self.actions.push(Action::Subscribe { on: true });
        }
        if version < self.list_version || kind == ListKind::Failed {
            return;
        }
        self.list_version = version;
        if kind == ListKind::Full {
            let listed: BTreeSet<TargetId> = lines.iter().map(|e| e.target).collect();
            for (_, t) in self.targets.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                t.state = EndpointState::Gone;
            }
        }
        let aim = self.least_aim() / SECOND;
        for e in lines {
            let kind = e.kind as usize;
            let independent = self.config.independent_routes.get(kind).copied().unwrap_or(false);
            let destination = self.destinations.entry(e.destination).or_default();
            destination.slots = e.slots;
            let known = self.targets.get(&e.target).map(|t| t.route);
            let route_id = known
                .or(if independent { None } else { destination.routes.first().copied() })
                .unwrap_or_else(|| {
                    let latency = LatencyHistogram::new();
                    let cost = self
                        .config
                        .zone_cost
                        .get(e.zone as usize)
                        .copied()
                        .filter(|_| independent)
                        .unwrap_or(0.0);
                    let route = Route {
                        kind,
                        cost,
                        latency,
                        window: 1.0,
                        resend_budget: MAX_SAVED_RESENDS,
                        ..Route::default()
                    };
                    let route = Route { tokens: 1.0, last_answer: self.now, ..route };
                    let index = self.free_routes.pop().unwrap_or(self.routes.len());
                    match self.routes.get_mut(index) {
                        Some(free) => *free = route,
                        None => self.routes.push(route),
                    }
                    destination.routes.push(index);
                    index
                });
            let route = &mut self.routes[route_id];
            // A reported limit is the current one; the list has the limit that was agreed on.
            if self.config.listed_rate != ListedRate::Unknown && e.rate > 0.0 && !route.limit_reported {
                route.set_limit(e.rate, self.config.senders, aim);
            }
            route.wait_until = route.wait_until.max(e.hold_until);
            route.targets.extend(known.is_none().then_some(e.target));
            let target = Target { route: route_id, zone: e.zone, ..Target::default() };
            self.targets.entry(e.target).or_insert(target).state = e.state;
        }
    }

    /// Forgets endpoints that are gone and have no calls in flight, so that endpoints that are replaced all
    /// the time do not fill the memory. Independent routes and destinations without endpoints are forgotten
    /// once nothing that was learned about them matters any more: a requested wait or an outage of a
    /// destination outlives its endpoints.
    pub(super) fn forget_unlisted(&mut self) {
        let routes = &mut self.routes;
        self.targets.retain(|id, t| {
            let route = &mut routes[t.route];
            let keep = t.state != EndpointState::Gone || route.calls.values().any(|call| call.target == *id);
            route.targets.retain(|other| keep || other != id);
            keep
        });
        let (now, longest_deadline) = (self.now, self.longest_deadline() as Micros);
        let (routes, free_routes, messages) = (&mut self.routes, &mut self.free_routes, &self.messages);
        self.destinations.retain(|id, destination| {
            let independent =
                |route: &Route| self.config.independent_routes.get(route.kind).copied().unwrap_or(false);
            let quiet = |route: &Route| {
                let bound = route.circuit != Circuit::Closed
                    || route.wait_until > now
                    || route.last_outcome.max(route.last_answer) + longest_deadline > now;
                route.targets.is_empty() && route.calls.is_empty() && !bound
            };
            let forget = destination.routes.iter().all(|route_id| quiet(&routes[*route_id]));
            let forget = forget && !messages.values().any(|message| message.destination == *id);
            destination.routes.retain(|route_id| {
                let route = &mut routes[*route_id];
                let keep = !(forget || independent(route) && quiet(route));
                if !keep {
                    *route = Route::default();
                    free_routes.push(*route_id);
                }
                keep
            });
            !forget
        });
    }
}
