//! Simulated members: each with its own clock, a network with seeded faults, and stores that outlive
//! processes.
#![allow(dead_code)]

use foldtrack_peers::claims::{self, message_key, ClaimRecord, ClaimResult, Effect, Key};
use foldtrack_peers::fact::{Dot, Fact, FactAction, Subject};
use foldtrack_peers::ledger::Watermarks;
use foldtrack_peers::orders::{Refusal, Settled};
use foldtrack_peers::seal::Sealer;
use foldtrack_peers::{members, Event, Output, Peers, Record, Restored, Settings};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

pub const CLOSE: FactAction = FactAction::Close { for_ms: 0 };
/// Duration of a store commit, in milliseconds.
const COMMIT_MS: u64 = 3;

/// Network conditions of all links.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    pub loss: f64,
    pub delay: (u64, u64),
    pub duplication: f64,
}

impl Default for Net {
    fn default() -> Self {
        Net { loss: 0.0, delay: (0, 1), duplication: 0.0 }
    }
}

/// The contents of a store: the records that were written, applied in order.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub facts: BTreeMap<Dot, (Fact, Option<u64>)>,
    pub watermarks: Watermarks,
    pub start: u64,
    pub seen_starts: BTreeMap<String, u64>,
    pub store_id: u64,
    pub claims: Vec<ClaimRecord>,
    pub claims_complete: bool,
    /// Messages that were accepted and their outcomes, as the journal and the list of ends hold them.
    pub journal: BTreeMap<Key, Option<claims::ClaimOutcome>>,
}

impl Disk {
    fn apply_records(&mut self, records: &[Record]) {
        for record in records.iter().cloned() {
            match record {
                Record::Fact(fact, superseded_ms) => {
                    drop(self.facts.insert(fact.dot.clone(), (fact, superseded_ms)))
                }
                Record::Drop(dot) => drop(self.facts.remove(&dot)),
                Record::Watermarks(watermarks) => self.watermarks = watermarks,
                Record::StoreId(store_id) => self.store_id = store_id,
                Record::Start(start) => self.start = start,
                Record::SeenStart(name, start) => drop(self.seen_starts.insert(name, start)),
            }
        }
    }
}

enum ScheduledEvent {
    Datagram { to: usize, bytes: Vec<u8> },
    Persisted { node: usize, generation: u64, ticket: u64, records: Vec<Record> },
}

pub struct Node {
    pub peers: Option<Peers>,
    pub disk: Disk,
    pub events: Vec<Event>,
    pub discarded: Vec<Fact>,
    pub settled: BTreeMap<u64, (u64, Result<Settled, Refusal>)>,
    /// Results of claims, with the time at which they came.
    pub claims: BTreeMap<Key, (u64, ClaimResult)>,
    /// Partners to hold, and until when by the node's own clock.
    pub holds: Vec<(u32, u64)>,
    /// Suspended: datagrams wait as in a socket buffer, and time goes on.
    pub suspended: bool,
    /// When the node must be ticked next, by its own clock.
    due: u64,
    queued_datagrams: Vec<Vec<u8>>,
    generation: u64,
    clock_base: u64,
    clock_rate: f64,
}

pub struct World {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub net: Net,
    /// Whether datagrams from one node reach another.
    pub link: Box<dyn Fn(usize, usize) -> bool>,
    pub random: fastrand::Rng,
    pub horizon_ms: u64,
    pub catch_up_bytes_per_s: u64,
    pub probe_timings: members::ProbeTimings,
    pub secret: [u8; 32],
    /// All datagrams so far (sender, receiver, bytes), recorded for tests that replay them.
    pub capture: Option<Vec<(usize, usize, Vec<u8>)>>,
    pub longest_datagram: usize,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: BTreeMap<u64, ScheduledEvent>,
    next_event: u64,
    next_order: u64,
}

pub fn endpoint(name: &str) -> Subject {
    Subject::Endpoint(name.into())
}

impl World {
    pub fn new(count: usize, seed: u64) -> World {
        let mut world = World {
            now: 0,
            nodes: Vec::new(),
            net: Net::default(),
            link: Box::new(|_, _| true),
            random: fastrand::Rng::with_seed(seed),
            horizon_ms: 3_600_000,
            catch_up_bytes_per_s: 1 << 20,
            probe_timings: members::ProbeTimings::default(),
            secret: [7; 32],
            capture: None,
            longest_datagram: 0,
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            next_event: 0,
            next_order: 1,
        };
        for n in 0..count {
            // Clocks start at random values, and every second one runs 1% fast.
            let (clock_base, clock_rate) =
                (world.random.u64(1_000..1_000_000_000), if n % 2 == 1 { 1.01 } else { 1.0 });
            world.nodes.push(Node {
                peers: None,
                disk: Disk::default(),
                events: Vec::new(),
                discarded: Vec::new(),
                settled: BTreeMap::new(),
                claims: BTreeMap::new(),
                holds: Vec::new(),
                suspended: false,
                due: 0,
                queued_datagrams: Vec::new(),
                generation: 0,
                clock_base,
                clock_rate,
            });
        }
        world
    }

    /// A world in which all nodes have started and exchanged members and digests.
    pub fn started(count: usize, seed: u64) -> World {
        let mut world = World::new(count, seed);
        (0..count).for_each(|n| world.start(n));
        world.run(8_000);
        world.nodes.iter_mut().for_each(|n| n.events.clear());
        world
    }

    pub fn name(n: usize) -> String {
        format!("n{n}")
    }

    pub fn clock(&self, n: usize) -> u64 {
        self.nodes[n].clock_base + (self.now as f64 * self.nodes[n].clock_rate) as u64
    }

    pub fn settings(&self, n: usize, seed: u64) -> Settings {
        Settings {
            name: World::name(n),
            others: (0..self.nodes.len()).filter(|m| *m != n).map(World::name).collect(),
            horizon_ms: self.horizon_ms,
            catch_up_bytes_per_s: self.catch_up_bytes_per_s,
            ready_timeout_ms: 5_000,
            share_waits: true,
            probe_timings: self.probe_timings,
            seed,
        }
    }

    /// Starts a node on its store.
    pub fn start(&mut self, n: usize) {
        let disk = self.nodes[n].disk.clone();
        let restored = Restored {
            start: disk.start + 1,
            facts: disk.facts.into_values().collect(),
            watermarks: disk.watermarks,
            unreadable: Vec::new(),
            seen_starts: disk.seen_starts,
            store_id: disk.store_id,
            claims: disk.claims,
            claims_complete: disk.claims_complete && disk.store_id != 0,
        };
        self.nodes[n].disk.start += 1;
        let (seed, now) = (self.random.u64(..), self.clock(n));
        let sealer = Sealer::new(&self.secret).unwrap();
        self.nodes[n].generation += 1;
        let mut peers = Peers::new(now, self.settings(n, seed), sealer, restored);
        let held: Vec<Key> =
            disk.journal.iter().filter(|(_, end)| end.is_none()).map(|(key, _)| *key).collect();
        let ended: Vec<_> = disk.journal.iter().filter_map(|(key, end)| end.map(|end| (*key, end))).collect();
        peers.reconcile_claims(now, &held, &ended, true);
        self.nodes[n].peers = Some(peers);
        self.outputs(n);
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].peers = None;
        self.nodes[n].generation += 1;
        self.nodes[n].queued_datagrams.clear();
    }

    pub fn peers(&self, n: usize) -> &Peers {
        self.nodes[n].peers.as_ref().unwrap()
    }

    pub fn resume(&mut self, n: usize) {
        self.nodes[n].suspended = false;
        for bytes in std::mem::take(&mut self.nodes[n].queued_datagrams) {
            self.deliver(n, &bytes);
        }
    }

    fn schedule(&mut self, when: u64, event: ScheduledEvent) {
        self.next_event += 1;
        self.queue.push(Reverse((when, self.next_event)));
        self.scheduled.insert(self.next_event, event);
    }

    pub fn deliver(&mut self, n: usize, bytes: &[u8]) {
        let now = self.clock(n);
        if self.nodes[n].suspended {
            return self.nodes[n].queued_datagrams.push(bytes.to_vec());
        }
        let Some(peers) = &mut self.nodes[n].peers else { return };
        peers.datagram(now, bytes);
        self.outputs(n);
    }

    fn outputs(&mut self, n: usize) {
        let Some(peers) = &mut self.nodes[n].peers else { return };
        for output in peers.outputs() {
            match output {
                Output::Send(link, bytes) => {
                    let to = link + usize::from(link >= n);
                    self.longest_datagram = self.longest_datagram.max(bytes.len());
                    if let Some(capture) = &mut self.capture {
                        capture.push((n, to, bytes.clone()));
                    }
                    if !(self.link)(n, to) || self.random.f64() < self.net.loss {
                        continue;
                    }
                    for _ in 0..1 + usize::from(self.random.f64() < self.net.duplication) {
                        let (least, most) = self.net.delay;
                        let when = self.now + self.random.u64(least..=most);
                        self.schedule(when, ScheduledEvent::Datagram { to, bytes: bytes.clone() });
                    }
                }
                Output::Persist(ticket, records) => {
                    let generation = self.nodes[n].generation;
                    self.schedule(
                        self.now + COMMIT_MS,
                        ScheduledEvent::Persisted { node: n, generation, ticket, records },
                    );
                }
                Output::ClaimLogComplete(complete) => self.nodes[n].disk.claims_complete = complete,
                Output::SubjectChanged(_) => {}
                Output::HoldPartner(partner, until) => self.nodes[n].holds.push((partner, until)),
                Output::PersistClaims(records) => self.nodes[n].disk.claims.extend(records),
                Output::Claim(key, result) => {
                    let node = &mut self.nodes[n];
                    node.claims.insert(key, (self.now, result));
                    if matches!(result, ClaimResult::Granted(_)) {
                        node.disk.journal.insert(key, None);
                        node.peers.iter_mut().for_each(|p| p.message_accepted(key));
                    }
                }
                Output::Discarded(fact) => self.nodes[n].discarded.push(fact),
                Output::Settled(order, result) => {
                    drop(self.nodes[n].settled.insert(order, (self.now, result)))
                }
                Output::Event(event) => self.nodes[n].events.push(event),
            }
        }
        self.nodes[n].due = self.peers(n).due();
    }

    /// Advances time by a span in milliseconds.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            for n in 0..self.nodes.len() {
                let now = self.clock(n);
                if self.nodes[n].suspended {
                    continue;
                }
                if self.nodes[n].due > now {
                    continue;
                }
                if let Some(peers) = &mut self.nodes[n].peers {
                    peers.tick(now);
                    self.outputs(n);
                }
            }
            while let Some(Reverse((when, number))) =
                self.queue.peek().copied().filter(|e| e.0 .0 <= self.now)
            {
                let _ = when;
                self.queue.pop();
                match self.scheduled.remove(&number) {
                    Some(ScheduledEvent::Datagram { to, bytes }) => self.deliver(to, &bytes),
                    Some(ScheduledEvent::Persisted { node, generation, ticket, records })
                        if self.nodes[node].generation == generation =>
                    {
                        self.nodes[node].disk.apply_records(&records);
                        let now = self.clock(node);
                        if let Some(peers) = &mut self.nodes[node].peers {
                            peers.persisted(now, ticket);
                            self.outputs(node);
                        }
                    }
                    _ => {}
                }
            }
            self.now += 1;
        }
    }

    /// Advances time until a condition holds and returns how long that took, or `None` if it does not hold
    /// within `limit`.
    pub fn run_until(&mut self, limit: u64, condition: impl Fn(&World) -> bool) -> Option<u64> {
        let from = self.now;
        while !condition(self) {
            if self.now >= from + limit {
                return None;
            }
            self.run(5);
        }
        Some(self.now - from)
    }

    pub fn close(&mut self, n: usize, name: &str) -> u64 {
        self.order(n, endpoint(name), CLOSE)
    }

    /// Gives an order that stops or removes something.
    pub fn order(&mut self, n: usize, subject: Subject, action: FactAction) -> u64 {
        let (now, order) = (self.clock(n), self.next_order);
        self.next_order += 1;
        self.nodes[n].peers.as_mut().unwrap().order_restrictive(now, order, 0, subject, action).unwrap();
        self.outputs(n);
        order
    }

    pub fn open(&mut self, n: usize, name: &str) -> u64 {
        let (now, order) = (self.clock(n), self.next_order);
        self.next_order += 1;
        self.nodes[n].peers.as_mut().unwrap().order_permissive(
            now,
            order,
            0,
            endpoint(name),
            FactAction::Open,
        );
        self.outputs(n);
        order
    }

    /// Waits until an order is settled.
    pub fn wait_settled(&mut self, n: usize, order: u64) -> Result<Settled, Refusal> {
        self.run_until(10_000, |w| w.nodes[n].settled.contains_key(&order)).expect("the order is settled");
        self.nodes[n].settled[&order].1.clone()
    }

    /// Kills a node and deletes its folder.
    pub fn lose_folder(&mut self, n: usize) {
        self.kill(n);
        self.nodes[n].disk = Disk::default();
    }

    /// Loses a node's granted claims, as in a machine failure.
    pub fn lose_claims(&mut self, n: usize) {
        let disk = &mut self.nodes[n].disk;
        disk.claims.clear();
        disk.claims_complete = false;
    }

    pub fn knows_all_claims(&self, n: usize) -> bool {
        self.peers(n).knows_all_claims(self.clock(n))
    }

    /// A partner asks a node to wait.
    pub fn request_wait(&mut self, n: usize, partner: u32, wait_ms: u64) {
        let now = self.clock(n);
        self.nodes[n].peers.as_mut().unwrap().share_wait(now, partner, wait_ms);
        self.outputs(n);
    }

    /// Claims an id at a node and waits for the result.
    pub fn claim(&mut self, n: usize, id: &str, effect: Effect) -> ClaimResult {
        let now = self.clock(n);
        self.nodes[n].claims.remove(&message_key(id));
        self.nodes[n].peers.as_mut().unwrap().claim(now, message_key(id), effect);
        self.outputs(n);
        self.run_until(5_000, |w| w.nodes[n].claims.contains_key(&message_key(id)))
            .expect("the claim is settled");
        self.nodes[n].claims[&message_key(id)].1
    }

    pub fn message_ended(&mut self, n: usize, id: &str, outcome: foldtrack_peers::claims::ClaimOutcome) {
        let now = self.clock(n);
        self.nodes[n].disk.journal.insert(message_key(id), Some(outcome));
        self.nodes[n].peers.as_mut().unwrap().message_ended(now, message_key(id), outcome);
        self.outputs(n);
    }

    pub fn closed(&self, n: usize, name: &str) -> bool {
        self.peers(n).subject_state(&endpoint(name)).closed.is_some()
    }

    /// Whether the ledgers of all running nodes have the same digest.
    pub fn converged(&self) -> bool {
        let mut digests = self.nodes.iter().filter_map(|n| n.peers.as_ref()).map(|p| p.ledger().digest());
        let first = digests.next();
        digests.all(|d| Some(d) == first)
    }

    pub fn event_count(&self, n: usize, kind: &str) -> usize {
        self.nodes[n].events.iter().filter(|e| e.kind == kind).count()
    }
}
