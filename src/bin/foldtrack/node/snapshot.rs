//! Snapshots for operators. The work is bounded: a snapshot visits each held message once, a
//! limited number per iteration, and the control socket requests a few snapshots a second at most,
//! however many readers it has.

use super::Node;
use crate::connections::ConnectionStats;
use crate::events::{Snapshot, Stage};
use crate::message_view::{attempt_view, message_view};
use foldtrack_control::{Endpoint, Message, Partner, Queue, Status, MAX_LIST_ENTRIES};
use foldtrack_delivery::status::{DestinationStatus, Health, RouteStatus};
use foldtrack_delivery::{Micros, TargetId};
use foldtrack_membership::MembershipState;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Messages visited for a snapshot per iteration.
const MESSAGES_PER_STEP: usize = 1000;

/// Number of held messages in a group, and the arrival time of the oldest.
#[derive(Clone, Copy, Default)]
struct HeldSummary {
    held: u32,
    oldest: Micros,
}

impl HeldSummary {
    fn add(&mut self, arrived_at: Micros) {
        self.held += 1;
        self.oldest = if self.held == 1 { arrived_at } else { self.oldest.min(arrived_at) };
    }

    fn age_ms(&self, now: Micros) -> u64 {
        if self.held == 0 {
            0
        } else {
            now.saturating_sub(self.oldest) / 1000
        }
    }
}

/// A snapshot that is being assembled.
#[derive(Default)]
pub(super) struct SnapshotScan {
    /// Requesters that wait for it.
    requesters: Vec<oneshot::Sender<Arc<Snapshot>>>,
    /// Messages up to this number have been visited.
    visited_up_to: u64,
    total: HeldSummary,
    partners: HashMap<u32, HeldSummary>,
    /// By partner and order key, with the number of one message, from which the key's text is read.
    keys: HashMap<(u32, u64), (HeldSummary, u64)>,
}

impl SnapshotScan {
    pub fn is_running(&self) -> bool {
        !self.requesters.is_empty()
    }
}

fn health(route: &RouteStatus) -> &'static str {
    match route.health {
        Health::Up => "up",
        Health::Failing => "failing",
        Health::Out { .. } => "out",
        Health::SlowStart { .. } => "warming",
    }
}

fn millis(span: Micros) -> f64 {
    (span as f64 / 100.0).round() / 10.0
}

/// Rounds a share to three decimal places.
fn round_to_3(number: f64) -> f64 {
    (number * 1000.0).round() / 1000.0
}

fn round_to_1(number: f64) -> f64 {
    (number * 10.0).round() / 10.0
}

impl Node {
    /// Queues a request for a snapshot, which is answered within the next iterations.
    pub(super) fn request_snapshot(&mut self, reply: oneshot::Sender<Arc<Snapshot>>) {
        self.scan.requesters.push(reply);
    }

    /// Continues a snapshot. A message that arrives or ends meanwhile may or may not be counted.
    pub(super) fn continue_snapshot(&mut self) {
        if !self.scan.is_running() {
            return;
        }
        let scan = &mut self.scan;
        let mut left = MESSAGES_PER_STEP;
        for (number, held) in self.messages.range(scan.visited_up_to + 1..).take(MESSAGES_PER_STEP) {
            let message = &held.message;
            scan.total.add(held.arrived_at);
            scan.partners.entry(message.destination).or_default().add(held.arrived_at);
            let key = scan.keys.entry((message.destination, message.order_key()));
            key.or_insert((HeldSummary::default(), *number)).0.add(held.arrived_at);
            scan.visited_up_to = *number;
            left -= 1;
        }
        if left == 0 {
            return;
        }
        let scan = std::mem::take(&mut self.scan);
        let snapshot = self.build_snapshot(&scan);
        // The requester may have disconnected.
        scan.requesters.into_iter().for_each(|reply| drop(reply.send(snapshot.clone())));
    }

    fn build_snapshot(&mut self, scan: &SnapshotScan) -> Arc<Snapshot> {
        let now = self.clock.now();
        let unix = self.clock.unix_time(now);
        let views = self.scheduler.status(now);
        let (total, held_by_partner) = (scan.total, &scan.partners);
        let queues = self.queues(scan, unix);
        let longest = self.site.as_mut().map_or(Duration::ZERO, |s| std::mem::take(&mut s.longest_iteration));
        let status = self.status(unix, total, longest);
        let (partners, endpoints) = match self.membership.state() {
            Some(state) => {
                (self.partners(state, &views, held_by_partner, unix), self.endpoints(state, &views))
            }
            None => Default::default(),
        };
        let failures =
            self.site.iter().flat_map(|s| s.failures.iter().rev().map(|(_, f)| f.clone())).collect();
        Arc::new(Snapshot { at: Instant::now(), status, partners, endpoints, failures, queues })
    }

    fn status(&self, unix: Micros, total: HeldSummary, longest: Duration) -> Status {
        let Some(site) = &self.site else { return Status::default() };
        let (ends, ends_unfetched, ends_bytes) = site.outcomes.usage();
        let counts = &site.counts;
        Status {
            name: site.name.clone(),
            program: env!("CARGO_PKG_VERSION").into(),
            pid: std::process::id(),
            at: unix,
            up_ms: self.clock.uptime().as_millis() as u64,
            stage: match *self.stage.borrow() {
                Stage::Serving => "serving",
                Stage::Draining => "draining",
                Stage::Closing => "closing",
            }
            .into(),
            taken: counts.taken,
            refused: counts.refused,
            delivered: counts.delivered,
            given_up: counts.given_up,
            in_doubt: counts.in_doubt,
            handed_back: counts.handed_back,
            failures: counts.failures,
            held: self.messages.len() as u32,
            held_most: self.settings.settings.max_held,
            held_bytes: site.held_bytes,
            held_bytes_most: site.max_held_bytes,
            calls: self.calls.len() as u32,
            calls_most: self.settings.settings.slots,
            oldest_ms: total.age_ms(unix),
            journal_bytes: self.journal.disk_bytes(),
            journal_most: site.max_journal_bytes,
            ends,
            ends_unfetched,
            ends_most: site.outcomes.limits().max_count,
            ends_bytes,
            ends_bytes_most: site.outcomes.limits().max_bytes,
            ends_unwritten: site.journaled_results as u32,
            membership: self.membership.state().map_or(0, MembershipState::version),
            longest_round_us: longest.as_micros() as u64,
        }
    }

    fn partners(
        &self, state: &MembershipState, views: &[DestinationStatus],
        held_by_partner: &HashMap<u32, HeldSummary>, unix: Micros,
    ) -> Vec<Partner> {
        let Some(site) = &self.site else { return Vec::new() };
        let by_number: HashMap<u32, &DestinationStatus> = views.iter().map(|v| (v.destination, v)).collect();
        let mut counts: HashMap<&str, (u32, u32)> = HashMap::new();
        for endpoint in state.endpoints().values() {
            let (all, open) = counts.entry(&endpoint.partner).or_default();
            *all += 1;
            *open += u32::from(state.accepts_calls(endpoint));
        }
        let partner = |(name, partner): (&String, &foldtrack_membership::Partner)| {
            let routes = by_number.get(&partner.number).map_or(&[][..], |v| &v.routes);
            // If limits apply to each endpoint separately, the worst endpoint stands for the
            // partner; the list of endpoints shows them all.
            let worst = routes
                .iter()
                .max_by_key(|l| ["up", "failing", "warming", "out"].iter().position(|h| *h == health(l)));
            let held = held_by_partner.get(&partner.number).copied().unwrap_or_default();
            let (endpoints, open) = counts.get(name.as_str()).copied().unwrap_or_default();
            let (delivered, failures) =
                site.counts.by_partner.get(&partner.number).copied().unwrap_or_default();
            let info = site.partners.get(&partner.number);
            Partner {
                name: name.clone(),
                kind: info.map(|f| f.kind.clone()).unwrap_or_default(),
                paused: partner.paused,
                health: if open == 0 { "closed" } else { worst.map_or("up", health) }.into(),
                verdict: if open == 0 {
                    "nothing new goes to it".into()
                } else {
                    worst.map_or(String::new(), RouteStatus::describe)
                },
                failing: worst.map_or(0.0, |l| round_to_3(l.failure_share)),
                towards_out: worst.map_or(0.0, |l| round_to_3(l.outage_evidence)),
                stood_ms: worst.and_then(|l| l.state_age).unwrap_or(0) / 1000,
                endpoints,
                open,
                held: held.held,
                oldest_ms: held.age_ms(unix),
                calls: routes.iter().map(|l| l.calls).sum(),
                window: round_to_1(routes.iter().map(|l| l.window).sum()),
                tau_ms: worst.map_or(0.0, |l| millis(l.tau)),
                mean_ms: worst.map_or(0.0, |l| millis(l.mean_latency)),
                wait_ms: routes.iter().map(|l| l.wait_left.div_ceil(1000)).max().unwrap_or(0),
                pace: round_to_1(routes.iter().map(|l| l.pace).sum()),
                rate: info.map_or(0.0, |f| f.rate),
                slots: info.map_or(0, |f| f.slots),
                delivered,
                failures,
            }
        };
        state.partners().iter().map(partner).collect()
    }

    fn endpoints(&self, state: &MembershipState, views: &[DestinationStatus]) -> Vec<Endpoint> {
        // Of targets that share a name, the latest is shown; the calls of all are counted.
        let mut by_name: HashMap<&str, (TargetId, &RouteStatus, u64)> = HashMap::new();
        let mut calls: HashMap<&str, u32> = HashMap::new();
        for route in views.iter().flat_map(|v| &v.routes) {
            for target in &route.targets {
                let name = self.targets.name(target.target);
                *calls.entry(name).or_default() += target.calls;
                let entry = (target.target, route, target.avoided_for);
                let latest = by_name.entry(name).or_insert(entry);
                if latest.0 < target.target {
                    *latest = entry;
                }
            }
        }
        let endpoint = |(name, endpoint): (&String, &foldtrack_membership::Endpoint)| {
            let route = by_name.get(name.as_str());
            let (open, calls) =
                (state.accepts_calls(endpoint), calls.get(name.as_str()).copied().unwrap_or(0));
            let draining = endpoint.state == foldtrack_membership::EndpointState::Draining;
            let closed =
                self.site.as_ref().and_then(|s| s.closed.get(name)).map_or(Duration::ZERO, Instant::elapsed);
            let seen = route.map_or(ConnectionStats::default(), |(target, ..)| self.pool.stats(*target));
            Endpoint {
                name: name.clone(),
                partner: endpoint.partner.clone(),
                address: endpoint.address.to_string(),
                state: match (draining, open) {
                    (true, _) => "draining",
                    (false, false) => "paused",
                    (false, true) => "active",
                }
                .into(),
                health: match route {
                    _ if !open && calls == 0 => "drained",
                    Some((_, route, _)) => health(route),
                    None => "up",
                }
                .into(),
                verdict: route.filter(|_| open).map_or(String::new(), |(_, l, _)| l.describe()),
                failing: route.map_or(0.0, |(_, l, _)| round_to_3(l.failure_share)),
                towards_out: route.map_or(0.0, |(_, l, _)| round_to_3(l.outage_evidence)),
                stood_ms: route.and_then(|(_, l, _)| l.state_age).unwrap_or(0) / 1000,
                calls,
                window: route.map_or(0.0, |(_, l, _)| round_to_1(l.window)),
                tau_ms: route.map_or(0.0, |(_, l, _)| millis(l.tau)),
                wait_ms: route.map_or(0, |(_, l, _)| l.wait_left.div_ceil(1000)),
                avoided_ms: route.map_or(0, |(_, _, avoided)| avoided / 1000),
                idle: seen.idle as u32,
                dialling: seen.dialling as u32,
                ready: round_to_3(seen.without_handshake),
                handshake_ms: millis(seen.handshake.as_micros() as u64),
                idle_most_ms: seen.max_idle.as_millis() as u64,
                closed_ms: closed.as_millis() as u64,
            }
        };
        state.endpoints().iter().map(endpoint).collect()
    }

    /// Queues by partner and order key, the longest first.
    fn queues(&self, scan: &SnapshotScan, unix: Micros) -> Vec<Queue> {
        let Some(site) = &self.site else { return Vec::new() };
        let mut all: Vec<(u32, HeldSummary, u64)> =
            scan.keys.iter().map(|((p, _), (h, n))| (*p, *h, *n)).collect();
        let order = |(partner, held, number): &(u32, HeldSummary, u64)| {
            (std::cmp::Reverse(held.held), held.oldest, *partner, *number)
        };
        let most = MAX_LIST_ENTRIES as usize;
        if all.len() > most {
            all.select_nth_unstable_by_key(most - 1, order);
            all.truncate(most);
        }
        all.sort_by_key(order);
        let queue = |(partner, held, number): (u32, HeldSummary, u64)| {
            // A queue whose sampled message has ended since is omitted: it is hardly a queue any
            // more.
            let key = self.messages.get(&number).map(|h| h.message.key.clone())?;
            let (partner, oldest_ms) = (site.partner_name(partner).into_owned(), held.age_ms(unix));
            Some(Queue { partner, key, held: held.held, oldest_ms })
        };
        all.into_iter().filter_map(queue).collect()
    }

    /// Looks up a message that is held or whose outcome is stored.
    pub(super) fn message_history(&mut self, id: &str) -> Option<Message> {
        let site = self.site.as_mut()?;
        if let Some(held) =
            self.ids.number(id).and_then(|n| Some((self.messages.get(&n)?, n))).map(|(h, _)| h)
        {
            let message = &held.message;
            return Some(Message {
                id: id.to_string(),
                state: "held".into(),
                class: self.settings.class_names.get(message.class).cloned().unwrap_or_default(),
                partner: site.partner_name(message.destination).into_owned(),
                key: message.key.clone(),
                taken: held.arrived_at,
                expires: self.clock.unix_time(message.expires),
                attempts: held.history.iter().map(attempt_view).collect(),
                ..Message::default()
            });
        }
        match site.outcomes.find(id) {
            Ok(found) => found.map(|(_, end)| message_view(&end)),
            Err(error) => {
                eprintln!("ends: {error}");
                None
            }
        }
    }
}
