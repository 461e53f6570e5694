//! What people are shown. Bounded work: a picture looks once at every message that is held, some of them in each
//! round, and the fronts ask for a few pictures a second at most, however many readers they have.

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

/// Messages that a round looks at for a picture.
const SCAN_STEP: usize = 1000;

/// Messages that are held for something, and since when the oldest.
#[derive(Clone, Copy, Default)]
struct Heap {
    held: u32,
    oldest: Micros,
}

impl Heap {
    fn add(&mut self, taken: Micros) {
        self.held += 1;
        self.oldest = if self.held == 1 { taken } else { self.oldest.min(taken) };
    }

    fn age_ms(&self, now: Micros) -> u64 {
        if self.held == 0 {
            0
        } else {
            now.saturating_sub(self.oldest) / 1000
        }
    }
}

/// A picture that is being made.
#[derive(Default)]
pub(super) struct Scan {
    /// Those who wait for it.
    waiting: Vec<oneshot::Sender<Arc<Snapshot>>>,
    /// Messages up to this number have been looked at.
    up_to: u64,
    whole: Heap,
    partners: HashMap<u32, Heap>,
    /// By partner and key, each with the number of one of its messages, which knows the key's name.
    keys: HashMap<(u32, u64), (Heap, u64)>,
}

impl Scan {
    pub fn is_running(&self) -> bool {
        !self.waiting.is_empty()
    }
}

fn health(lane: &RouteStatus) -> &'static str {
    match lane.health {
        Health::Up => "up",
        Health::Failing => "failing",
        Health::Out { .. } => "out",
        Health::SlowStart { .. } => "warming",
    }
}

fn millis(span: Micros) -> f64 {
    (span as f64 / 100.0).round() / 10.0
}

/// A share to three places.
fn share(number: f64) -> f64 {
    (number * 1000.0).round() / 1000.0
}

fn round(number: f64) -> f64 {
    (number * 10.0).round() / 10.0
}

impl Node {
    /// Makes a picture for whoever asks, within the next rounds.
    pub(super) fn picture(&mut self, reply: oneshot::Sender<Arc<Snapshot>>) {
        self.scan.waiting.push(reply);
    }

    /// Goes on with a picture that is being made. A message that comes or goes meanwhile may be counted or not.
    pub(super) fn step_scan(&mut self) {
        if !self.scan.is_running() {
            return;
        }
        let scan = &mut self.scan;
        let mut left = SCAN_STEP;
        for (number, held) in self.messages.range(scan.up_to + 1..).take(SCAN_STEP) {
            let message = &held.message;
            scan.whole.add(held.since);
            scan.partners.entry(message.destination).or_default().add(held.since);
            let key = scan.keys.entry((message.destination, message.order_key()));
            key.or_insert((Heap::default(), *number)).0.add(held.since);
            scan.up_to = *number;
            left -= 1;
        }
        if left == 0 {
            return;
        }
        let scan = std::mem::take(&mut self.scan);
        let picture = self.finish(&scan);
        // Whoever asked may have gone.
        scan.waiting.into_iter().for_each(|reply| drop(reply.send(picture.clone())));
    }

    fn finish(&mut self, scan: &Scan) -> Arc<Snapshot> {
        let now = self.clock.now();
        let unix = self.clock.unix_time(now);
        let views = self.scheduler.status(now);
        let (whole, heaps) = (scan.whole, &scan.partners);
        let queues = self.queues(scan, unix);
        let longest = self.site.as_mut().map_or(Duration::ZERO, |s| std::mem::take(&mut s.longest_round));
        let status = self.status(unix, whole, longest);
        let (partners, endpoints) = match self.membership.state() {
            Some(state) => (self.partners(state, &views, heaps, unix), self.endpoints(state, &views)),
            None => Default::default(),
        };
        let failures =
            self.site.iter().flat_map(|s| s.failures.iter().rev().map(|(_, f)| f.clone())).collect();
        Arc::new(Snapshot { at: Instant::now(), status, partners, endpoints, failures, queues })
    }

    fn status(&self, unix: Micros, whole: Heap, longest: Duration) -> Status {
        let Some(site) = &self.site else { return Status::default() };
        let (ends, ends_unfetched, ends_bytes) = site.ends.usage();
        let counts = &site.counts;
        Status {
            name: site.name.clone(),
            program: env!("CARGO_PKG_VERSION").into(),
            pid: std::process::id(),
            at: unix,
            up_ms: self.clock.up().as_millis() as u64,
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
            held_bytes_most: site.held_most,
            calls: self.calls.len() as u32,
            calls_most: self.settings.settings.slots,
            oldest_ms: whole.age_ms(unix),
            journal_bytes: self.journal.disk_bytes(),
            journal_most: site.journal_most,
            ends,
            ends_unfetched,
            ends_most: site.ends.limits().max_count,
            ends_bytes,
            ends_bytes_most: site.ends.limits().max_bytes,
            ends_unwritten: site.behind_told as u32,
            membership: self.membership.state().map_or(0, MembershipState::version),
            longest_round_us: longest.as_micros() as u64,
        }
    }

    fn partners(
        &self, state: &MembershipState, views: &[DestinationStatus], heaps: &HashMap<u32, Heap>, unix: Micros,
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
            let lanes = by_number.get(&partner.number).map_or(&[][..], |v| &v.routes);
            // Where endpoints are routes apart, the worst is shown; the list of endpoints has them all.
            let worst = lanes
                .iter()
                .max_by_key(|l| ["up", "failing", "warming", "out"].iter().position(|h| *h == health(l)));
            let heap = heaps.get(&partner.number).copied().unwrap_or_default();
            let (endpoints, open) = counts.get(name.as_str()).copied().unwrap_or_default();
            let (delivered, failures) =
                site.counts.by_partner.get(&partner.number).copied().unwrap_or_default();
            let facts = site.partners.get(&partner.number);
            Partner {
                name: name.clone(),
                kind: facts.map(|f| f.kind.clone()).unwrap_or_default(),
                paused: partner.paused,
                health: if open == 0 { "closed" } else { worst.map_or("up", health) }.into(),
                verdict: if open == 0 {
                    "nothing new goes to it".into()
                } else {
                    worst.map_or(String::new(), RouteStatus::describe)
                },
                failing: worst.map_or(0.0, |l| share(l.failure_share)),
                towards_out: worst.map_or(0.0, |l| share(l.outage_evidence)),
                stood_ms: worst.and_then(|l| l.state_age).unwrap_or(0) / 1000,
                endpoints,
                open,
                held: heap.held,
                oldest_ms: heap.age_ms(unix),
                calls: lanes.iter().map(|l| l.calls).sum(),
                window: round(lanes.iter().map(|l| l.window).sum()),
                tau_ms: worst.map_or(0.0, |l| millis(l.tau)),
                mean_ms: worst.map_or(0.0, |l| millis(l.mean_latency)),
                wait_ms: lanes.iter().map(|l| l.wait_left.div_ceil(1000)).max().unwrap_or(0),
                pace: round(lanes.iter().map(|l| l.pace).sum()),
                rate: facts.map_or(0.0, |f| f.rate),
                slots: facts.map_or(0, |f| f.slots),
                delivered,
                failures,
            }
        };
        state.partners().iter().map(partner).collect()
    }

    fn endpoints(&self, state: &MembershipState, views: &[DestinationStatus]) -> Vec<Endpoint> {
        // Of targets that share a name, the latest one stands for it; calls of all count.
        let mut by_name: HashMap<&str, (TargetId, &RouteStatus, u64)> = HashMap::new();
        let mut calls: HashMap<&str, u32> = HashMap::new();
        for lane in views.iter().flat_map(|v| &v.routes) {
            for target in &lane.targets {
                let name = self.targets.name(target.target);
                *calls.entry(name).or_default() += target.calls;
                let entry = (target.target, lane, target.avoided_for);
                let latest = by_name.entry(name).or_insert(entry);
                if latest.0 < target.target {
                    *latest = entry;
                }
            }
        }
        let endpoint = |(name, endpoint): (&String, &foldtrack_membership::Endpoint)| {
            let lane = by_name.get(name.as_str());
            let (open, calls) =
                (state.accepts_calls(endpoint), calls.get(name.as_str()).copied().unwrap_or(0));
            let draining = endpoint.state == foldtrack_membership::EndpointState::Draining;
            let closed =
                self.site.as_ref().and_then(|s| s.closed.get(name)).map_or(Duration::ZERO, Instant::elapsed);
            let seen = lane.map_or(ConnectionStats::default(), |(target, ..)| self.pool.stats(*target));
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
                health: match lane {
                    _ if !open && calls == 0 => "drained",
                    Some((_, lane, _)) => health(lane),
                    None => "up",
                }
                .into(),
                verdict: lane.filter(|_| open).map_or(String::new(), |(_, l, _)| l.describe()),
                failing: lane.map_or(0.0, |(_, l, _)| share(l.failure_share)),
                towards_out: lane.map_or(0.0, |(_, l, _)| share(l.outage_evidence)),
                stood_ms: lane.and_then(|(_, l, _)| l.state_age).unwrap_or(0) / 1000,
                calls,
                window: lane.map_or(0.0, |(_, l, _)| round(l.window)),
                tau_ms: lane.map_or(0.0, |(_, l, _)| millis(l.tau)),
                wait_ms: lane.map_or(0, |(_, l, _)| l.wait_left.div_ceil(1000)),
                avoided_ms: lane.map_or(0, |(_, _, avoided)| avoided / 1000),
                idle: seen.idle as u32,
                dialling: seen.dialling as u32,
                ready: share(seen.without_handshake),
                handshake_ms: millis(seen.handshake.as_micros() as u64),
                idle_most_ms: seen.max_idle.as_millis() as u64,
                closed_ms: closed.as_millis() as u64,
            }
        };
        state.endpoints().iter().map(endpoint).collect()
    }

    /// What is held by partner and key, the longest first.
    fn queues(&self, scan: &Scan, unix: Micros) -> Vec<Queue> {
        let Some(site) = &self.site else { return Vec::new() };
        let mut all: Vec<(u32, Heap, u64)> = scan.keys.iter().map(|((p, _), (h, n))| (*p, *h, *n)).collect();
        let order = |(partner, heap, number): &(u32, Heap, u64)| {
            (std::cmp::Reverse(heap.held), heap.oldest, *partner, *number)
        };
        let most = MAX_LIST_ENTRIES as usize;
        if all.len() > most {
            all.select_nth_unstable_by_key(most - 1, order);
            all.truncate(most);
        }
        all.sort_by_key(order);
        let queue = |(partner, heap, number): (u32, Heap, u64)| {
            // One whose message has gone since is hardly a queue any more.
            let key = self.messages.get(&number).map(|h| h.message.key.clone())?;
            let (partner, oldest_ms) = (site.partner_name(partner).into_owned(), heap.age_ms(unix));
            Some(Queue { partner, key, held: heap.held, oldest_ms })
        };
        all.into_iter().filter_map(queue).collect()
    }

    /// What is known of a message: it is held, or its end is kept.
    pub(super) fn history(&self, id: &str) -> Option<Message> {
        let site = self.site.as_ref()?;
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
                taken: held.since,
                expires: self.clock.unix_time(message.expires),
                attempts: held.history.iter().map(attempt_view).collect(),
                ..Message::default()
            });
        }
        match site.ends.find(id) {
            Ok(found) => found.map(|(_, end)| message_view(&end)),
            Err(error) => {
                eprintln!("ends: {error}");
                None
            }
        }
    }
}
