//! Members in simulated time: clocks of their own, a network with seeded faults, stores that outlive processes.
#![allow(dead_code)]

use foldtrack_peers::claims::{self, message_key, ClaimResult, Effect, Kept, Key};
use foldtrack_peers::fact::{Dot, Fact, FactAction, Subject};
use foldtrack_peers::ledger::Extent;
use foldtrack_peers::orders::{Refusal, Settled};
use foldtrack_peers::seal::Sealer;
use foldtrack_peers::{members, Event, Output, Peers, Record, Restored, Settings};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

pub const CLOSE: FactAction = FactAction::Close { for_ms: 0 };
/// A commit takes so long.
const DISK: u64 = 3;

/// What a link does to datagrams.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    pub loss: f64,
    pub delay: (u64, u64),
    pub twice: f64,
}

impl Default for Net {
    fn default() -> Self {
        Net { loss: 0.0, delay: (0, 1), twice: 0.0 }
    }
}

/// What a store holds: records that were handed out and acknowledged, folded.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub facts: BTreeMap<Dot, (Fact, Option<u64>)>,
    pub extent: Extent,
    pub start: u64,
    pub seen: BTreeMap<String, u64>,
    pub memory: u64,
    pub claims: Vec<Kept>,
    pub claims_whole: bool,
    /// Messages that it has taken on, and how they ended: what the journal and the list of ends have.
    pub journal: BTreeMap<Key, Option<claims::ClaimOutcome>>,
}

impl Disk {
    fn keep(&mut self, records: &[Record]) {
        for record in records.iter().cloned() {
            match record {
                Record::Fact(fact, dead) => drop(self.facts.insert(fact.dot.clone(), (fact, dead))),
                Record::Drop(dot) => drop(self.facts.remove(&dot)),
                Record::Extent(extent) => self.extent = extent,
                Record::Memory(memory) => self.memory = memory,
                Record::Start(start) => self.start = start,
                Record::Seen(name, start) => drop(self.seen.insert(name, start)),
            }
        }
    }
}

enum Happening {
    Datagram { to: usize, bytes: Vec<u8> },
    Kept { node: usize, life: u64, ticket: u64, records: Vec<Record> },
}

pub struct Node {
    pub peers: Option<Peers>,
    pub disk: Disk,
    pub events: Vec<Event>,
    pub aside: Vec<Fact>,
    pub settled: BTreeMap<u64, (u64, Result<Settled, Refusal>)>,
    /// Stopped: datagrams wait for it, as in a socket's buffer, and time goes on.
    pub claims: BTreeMap<Key, (u64, ClaimResult)>,
    /// Partners that were to be held, and until when by its own clock.
    pub holds: Vec<(u32, u64)>,
    pub stopped: bool,
    /// When it is to be ticked next, by its own clock.
    due: u64,
    waiting: Vec<Vec<u8>>,
    life: u64,
    base: u64,
    rate: f64,
}

pub struct World {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub net: Net,
    /// Whether a datagram from one gets to the other.
    pub link: Box<dyn Fn(usize, usize) -> bool>,
    pub random: fastrand::Rng,
    pub horizon: u64,
    pub catch_up: u64,
    pub pace: members::Pace,
    pub secret: [u8; 32],
    /// Every datagram so far: from, to, bytes; kept where somebody wants to play them back.
    pub tape: Option<Vec<(usize, usize, Vec<u8>)>>,
    pub longest: usize,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    next: u64,
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
            horizon: 3_600_000,
            catch_up: 1 << 20,
            pace: members::Pace::default(),
            secret: [7; 32],
            tape: None,
            longest: 0,
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            next: 0,
            next_order: 1,
        };
        for n in 0..count {
            // Clocks begin anywhere, and every second one runs 1% fast.
            let (base, rate) = (world.random.u64(1_000..1_000_000_000), if n % 2 == 1 { 1.01 } else { 1.0 });
            world.nodes.push(Node {
                peers: None,
                disk: Disk::default(),
                events: Vec::new(),
                aside: Vec::new(),
                settled: BTreeMap::new(),
                claims: BTreeMap::new(),
                holds: Vec::new(),
                stopped: false,
                due: 0,
                waiting: Vec::new(),
                life: 0,
                base,
                rate,
            });
        }
        world
    }

    /// All of them up, and their first lists and digests exchanged.
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
        self.nodes[n].base + (self.now as f64 * self.nodes[n].rate) as u64
    }

    pub fn settings(&self, n: usize, seed: u64) -> Settings {
        Settings {
            name: World::name(n),
            others: (0..self.nodes.len()).filter(|m| *m != n).map(World::name).collect(),
            horizon: self.horizon,
            catch_up: self.catch_up,
            ready_within: 5_000,
            share_waits: true,
            pace: self.pace,
            seed,
        }
    }

    /// Starts one on the store that it has.
    pub fn start(&mut self, n: usize) {
        let disk = self.nodes[n].disk.clone();
        let restored = Restored {
            start: disk.start + 1,
            facts: disk.facts.into_values().collect(),
            extent: disk.extent,
            lost: Vec::new(),
            seen: disk.seen,
            memory: disk.memory,
            claims: disk.claims,
            claims_whole: disk.claims_whole && disk.memory != 0,
        };
        self.nodes[n].disk.start += 1;
        let (seed, now) = (self.random.u64(..), self.clock(n));
        let sealer = Sealer::new(&self.secret).unwrap();
        self.nodes[n].life += 1;
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
        self.nodes[n].life += 1;
        self.nodes[n].waiting.clear();
    }

    pub fn peers(&self, n: usize) -> &Peers {
        self.nodes[n].peers.as_ref().unwrap()
    }

    pub fn go_on(&mut self, n: usize) {
        self.nodes[n].stopped = false;
        for bytes in std::mem::take(&mut self.nodes[n].waiting) {
            self.deliver(n, &bytes);
        }
    }

    fn at(&mut self, when: u64, happening: Happening) {
        self.next += 1;
        self.queue.push(Reverse((when, self.next)));
        self.happenings.insert(self.next, happening);
    }

    pub fn deliver(&mut self, n: usize, bytes: &[u8]) {
        let now = self.clock(n);
        if self.nodes[n].stopped {
            return self.nodes[n].waiting.push(bytes.to_vec());
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
                    self.longest = self.longest.max(bytes.len());
                    if let Some(tape) = &mut self.tape {
                        tape.push((n, to, bytes.clone()));
                    }
                    if !(self.link)(n, to) || self.random.f64() < self.net.loss {
                        continue;
                    }
                    for _ in 0..1 + usize::from(self.random.f64() < self.net.twice) {
                        let (least, most) = self.net.delay;
                        let when = self.now + self.random.u64(least..=most);
                        self.at(when, Happening::Datagram { to, bytes: bytes.clone() });
                    }
                }
                Output::Persist(ticket, records) => {
                    let life = self.nodes[n].life;
                    self.at(self.now + DISK, Happening::Kept { node: n, life, ticket, records });
                }
                Output::ClaimLogComplete(whole) => self.nodes[n].disk.claims_whole = whole,
                Output::SubjectChanged(_) => {}
                Output::HoldPartner(partner, until) => self.nodes[n].holds.push((partner, until)),
                Output::PersistClaims(records) => self.nodes[n].disk.claims.extend(records),
                Output::Claim(key, verdict) => {
                    let node = &mut self.nodes[n];
                    node.claims.insert(key, (self.now, verdict));
                    if matches!(verdict, ClaimResult::Granted(_)) {
                        node.disk.journal.insert(key, None);
                        node.peers.iter_mut().for_each(|p| p.message_accepted(key));
                    }
                }
                Output::Discarded(fact) => self.nodes[n].aside.push(fact),
                Output::Settled(order, result) => {
                    drop(self.nodes[n].settled.insert(order, (self.now, result)))
                }
                Output::Event(event) => self.nodes[n].events.push(event),
            }
        }
        self.nodes[n].due = self.peers(n).due();
    }

    /// Lets time pass.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            for n in 0..self.nodes.len() {
                let now = self.clock(n);
                if self.nodes[n].stopped {
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
                match self.happenings.remove(&number) {
                    Some(Happening::Datagram { to, bytes }) => self.deliver(to, &bytes),
                    Some(Happening::Kept { node, life, ticket, records })
                        if self.nodes[node].life == life =>
                    {
                        self.nodes[node].disk.keep(&records);
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

    /// Lets time pass until it is so, and gives how long that took; none if it did not come so within the span.
    pub fn until(&mut self, most: u64, so: impl Fn(&World) -> bool) -> Option<u64> {
        let from = self.now;
        while !so(self) {
            if self.now >= from + most {
                return None;
            }
            self.run(5);
        }
        Some(self.now - from)
    }

    pub fn close(&mut self, n: usize, name: &str) -> u64 {
        self.say(n, endpoint(name), CLOSE)
    }

    /// States what makes things safer.
    pub fn say(&mut self, n: usize, subject: Subject, word: FactAction) -> u64 {
        let (now, order) = (self.clock(n), self.next_order);
        self.next_order += 1;
        self.nodes[n].peers.as_mut().unwrap().order_restrictive(now, order, 0, subject, word).unwrap();
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
    pub fn settled(&mut self, n: usize, order: u64) -> Result<Settled, Refusal> {
        self.until(10_000, |w| w.nodes[n].settled.contains_key(&order)).expect("the order is settled");
        self.nodes[n].settled[&order].1.clone()
    }

    /// It is killed, and its folder is lost.
    pub fn lose(&mut self, n: usize) {
        self.kill(n);
        self.nodes[n].disk = Disk::default();
    }

    /// What it had let in goes with its machine.
    pub fn lose_claims(&mut self, n: usize) {
        let disk = &mut self.nodes[n].disk;
        disk.claims.clear();
        disk.claims_whole = false;
    }

    pub fn knows_all_claims(&self, n: usize) -> bool {
        self.peers(n).knows_all_claims(self.clock(n))
    }

    /// A partner has told one to wait.
    pub fn told_to_wait(&mut self, n: usize, partner: u32, left: u64) {
        let now = self.clock(n);
        self.nodes[n].peers.as_mut().unwrap().share_wait(now, partner, left);
        self.outputs(n);
    }

    /// Claims an id at one, and waits for what comes of it.
    pub fn claim(&mut self, n: usize, id: &str, effect: Effect) -> ClaimResult {
        let now = self.clock(n);
        self.nodes[n].claims.remove(&message_key(id));
        self.nodes[n].peers.as_mut().unwrap().claim(now, message_key(id), effect);
        self.outputs(n);
        self.until(5_000, |w| w.nodes[n].claims.contains_key(&message_key(id)))
            .expect("the claim is settled");
        self.nodes[n].claims[&message_key(id)].1
    }

    pub fn ended(&mut self, n: usize, id: &str, word: foldtrack_peers::claims::ClaimOutcome) {
        let now = self.clock(n);
        self.nodes[n].disk.journal.insert(message_key(id), Some(word));
        self.nodes[n].peers.as_mut().unwrap().message_ended(now, message_key(id), word);
        self.outputs(n);
    }

    pub fn closed(&self, n: usize, name: &str) -> bool {
        self.peers(n).subject_state(&endpoint(name)).closed.is_some()
    }

    /// Whether all that are up have the same, by their digests.
    pub fn agree(&self) -> bool {
        let mut digests = self.nodes.iter().filter_map(|n| n.peers.as_ref()).map(|p| p.ledger().digest());
        let first = digests.next();
        digests.all(|d| Some(d) == first)
    }

    pub fn told(&self, n: usize, kind: &str) -> usize {
        self.nodes[n].events.iter().filter(|e| e.kind == kind).count()
    }
}
