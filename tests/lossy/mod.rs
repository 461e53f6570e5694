//! Partners that fail by chance, alone, in bursts or all together, in simulated time: the decisions alone, without
//! sockets. Seeded: the same world plays the same day. The test `evidence` and the benchmark `lossy` share it.
#![allow(dead_code)]

use foldtrack_delivery::status::Health;
use foldtrack_delivery::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// How a call fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureKind {
    /// The connection is refused.
    Refused,
    /// The connection breaks before it takes effect, or after it.
    ResetBefore,
    ResetAfter,
    /// An answer that is an error.
    Error,
    /// It takes effect, and its answer comes a second late.
    Late,
    /// Nothing comes.
    Silent,
}

pub const MIXED: [FailureKind; 5] = [
    FailureKind::Refused,
    FailureKind::ResetBefore,
    FailureKind::ResetAfter,
    FailureKind::Error,
    FailureKind::Late,
];

/// What the partners are like and what is asked of them.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    /// Messages a second that come; where `clients` is set, that many clients hand in one after another instead.
    pub rate: f64,
    pub clients: usize,
    /// Share of calls that fail, and how: one of these at random.
    pub failure_share: f64,
    pub failure_kinds: Vec<FailureKind>,
    /// Failures come in bursts that last so long on average (Gilbert-Elliott, in time); 0 for independent ones.
    pub burst: Micros,
    /// From and until when every call fails, and how.
    pub outage: Option<(Micros, Micros, FailureKind)>,
    /// At these times all calls that are out are reset at once.
    pub restarts: Vec<Micros>,
    /// Calls at once above which a partner refuses further ones.
    pub most_at_once: usize,
    /// Calls that a partner works on at once, while further ones wait; its capacity is this over the mean answer.
    pub works_on: usize,
    /// From this time on it works on twice as many.
    pub doubles: Option<Micros>,
    /// Share of payments.
    pub payments: f64,
    /// Messages held at most.
    pub room: u32,
    /// Share of failures that each call out beyond this many adds.
    pub strained_from: usize,
    pub strain: f64,
    pub partners: u32,
    pub endpoints: u32,
    pub latency: (Micros, Micros),
    pub slots: u32,
    pub duration: Micros,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            seed: 1,
            rate: 0.0,
            clients: 16,
            failure_share: 0.0,
            failure_kinds: MIXED.to_vec(),
            burst: 0,
            outage: None,
            restarts: Vec::new(),
            most_at_once: usize::MAX,
            works_on: 0,
            doubles: None,
            payments: 0.44,
            room: 2_000,
            strained_from: usize::MAX,
            strain: 0.0,
            partners: 2,
            endpoints: 1,
            latency: (0, 30 * MS),
            slots: 64,
            duration: 8 * SECOND,
        }
    }
}

/// What a day came to.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub taken: u64,
    pub refused: u64,
    pub handed_back: u64,
    pub failed: u64,
    pub applied: u64,
    pub attempts: u64,
    /// Payments that took effect twice, and messages told as not run that ran.
    pub twice: u64,
    pub false_ends: u64,
    /// When a destination first looked out after the outage began, and calls that went to it before that.
    pub detected_after: Option<Micros>,
    pub calls_before_detection: u64,
    /// Times that a destination was held to be out.
    pub outages_detected: u64,
    /// Messages applied in each second.
    pub by_second: Vec<u64>,
    /// Largest number of calls out to one partner.
    pub most_out: usize,
    /// The same by class: updates, then payments.
    pub applied_by_class: [u64; 2],
    pub handed_back_by_class: [u64; 2],
    pub asked_by_class: [u64; 2],
    /// Refusals: when, for whom, and the wait that was told.
    pub advice: Vec<(Micros, u32, Micros)>,
    /// When messages that were taken on took effect, with when they came: by partner.
    pub waited: Vec<(Micros, Micros, u32)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    HandIn(usize),
    Arrive,
    End { id: u64, attempt: u32, target: u32, outcome: u8 },
    Restart,
    Timer,
}

const OUTCOMES: [Outcome; 6] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::TimedOut,
    Outcome::Cancelled,
];

struct World {
    plan: Scenario,
    rng: fastrand::Rng,
    now: Micros,
    brain: DeliveryScheduler,
    queue: BinaryHeap<Reverse<(Micros, u64, What)>>,
    sequence: u64,
    /// Calls out, with the partner of each.
    calls: HashMap<(u64, u32), (u32, u32)>,
    out: HashMap<u32, usize>,
    /// By partner: whether it is in a burst, and until when it stays so.
    bad: HashMap<u32, (bool, Micros)>,
    messages: BTreeMap<u64, (u32, bool)>,
    /// Attempts so far: they count from 0, and there is never more than one out.
    tries: HashMap<u64, u32>,
    applied: HashSet<u64>,
    next: u64,
    fresh: HashMap<u64, Option<usize>>,
    came: HashMap<u64, Micros>,
    /// By partner: when each of the calls that it works on will be done.
    works_until: HashMap<u32, Vec<Micros>>,
    is_out: BTreeMap<u32, bool>,
    day: Report,
}

pub fn settings(slots: u32) -> Settings {
    let class = |effect, worth, in_order| Class {
        aim: 3 * SECOND,
        deadline: 24 * SECOND,
        worth,
        late_value: 0.5,
        effect,
        dedup_scope: DedupScope::All,
        dedup_window: 20 * SECOND,
        max_wait: 0,
        in_order,
        streaming: false,
    };
    Settings {
        senders: 1,
        slots,
        max_held: 2_000,
        max_attempts: 8,
        may_cancel: true,
        may_advise_wait: true,
        max_advised_wait: 30 * SECOND,
        classes: vec![class(Effect::Keyed, 1.0, true), class(Effect::Once, 3.0, false)],
        rules: Rules {
            drain_grace: 2 * SECOND,
            cold_capacity_share: 0.16,
            slow_start_time: 14 * SECOND,
            overload_factor: 2.5,
            overload_duration: 2 * SECOND,
            uncertain_key_pause: 100 * MS,
            list_poll_interval: 0,
        },
        max_batch: vec![1],
        independent_routes: vec![false],
        zone_cost: vec![0.0],
        idle_timeout: 10 * SECOND,
        connect_timeout: SECOND,
        streams_per_connection: 1,
        tick: 5 * MS,
        ..Settings::default()
    }
}

/// Plays a day.
pub fn simulate(plan: &Scenario) -> Report {
    let mut world = World {
        rng: fastrand::Rng::with_seed(plan.seed),
        now: 0,
        brain: DeliveryScheduler::new(0, plan.seed, Settings { max_held: plan.room, ..settings(plan.slots) }),
        queue: BinaryHeap::new(),
        sequence: 0,
        calls: HashMap::new(),
        out: HashMap::new(),
        bad: HashMap::new(),
        messages: BTreeMap::new(),
        tries: HashMap::new(),
        applied: HashSet::new(),
        next: 0,
        fresh: HashMap::new(),
        came: HashMap::new(),
        works_until: HashMap::new(),
        is_out: BTreeMap::new(),
        day: Report { by_second: vec![0; (plan.duration / SECOND) as usize + 60], ..Report::default() },
        plan: plan.clone(),
    };
    world.run();
    world.day
}

impl World {
    fn at(&mut self, at: Micros, what: What) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, what)));
    }

    fn run(&mut self) {
        let mut endpoints = Vec::new();
        for partner in 0..self.plan.partners {
            for e in 0..self.plan.endpoints {
                let target = partner * 10 + e;
                endpoints.push(Endpoint {
                    target,
                    destination: partner,
                    state: EndpointState::Ready,
                    ..Endpoint::default()
                });
            }
        }
        let mut actions = Vec::new();
        self.brain.handle(0, Event::List { kind: ListKind::Full, version: 1, endpoints }, &mut actions);
        for client in 0..self.plan.clients {
            self.at(client as Micros * 50, What::HandIn(client));
        }
        if self.plan.rate > 0.0 {
            self.at(0, What::Arrive);
        }
        for at in self.plan.restarts.clone() {
            self.at(at, What::Restart);
        }
        // Everything ends: a day runs on past its last arrival.
        let last = self.plan.duration + 30 * SECOND;
        while let Some(Reverse((at, ..))) = self.queue.peek().copied() {
            if at > last {
                break;
            }
            self.now = at;
            while let Some(Reverse((_, _, what))) = self.queue.peek().copied().filter(|q| q.0 .0 == at) {
                self.queue.pop();
                self.happen(what, &mut actions);
            }
            self.brain.decide(at, &mut actions);
            for action in std::mem::take(&mut actions) {
                self.carry_out(action, &mut actions);
            }
            self.answer();
            self.watch();
        }
    }

    fn happen(&mut self, what: What, actions: &mut Vec<Action>) {
        match what {
            What::HandIn(client) if self.now < self.plan.duration => self.hand_in(Some(client), actions),
            What::HandIn(_) => {}
            What::Arrive => {
                self.hand_in(None, actions);
                let gap = -self.rng.f64().max(1e-9).ln() / self.plan.rate * SECOND as f64;
                if self.now < self.plan.duration {
                    self.at(self.now + gap as Micros + 1, What::Arrive);
                }
            }
            What::End { id, attempt, target, outcome } => {
                self.end(id, attempt, target, OUTCOMES[usize::from(outcome)], actions)
            }
            What::Restart => {
                let mut out: Vec<_> = self.calls.iter().map(|(key, at)| (*key, *at)).collect();
                out.sort_unstable();
                for ((id, attempt), (target, _)) in out {
                    self.end(id, attempt, target, Outcome::Reset, actions);
                }
            }
            What::Timer => self.brain.handle(self.now, Event::Timer { token: 0 }, actions),
        }
    }

    fn hand_in(&mut self, client: Option<usize>, actions: &mut Vec<Action>) {
        if self.messages.len() >= self.plan.room as usize {
            self.day.refused += 1;
            return client.into_iter().for_each(|c| self.at(self.now + 100 * MS, What::HandIn(c)));
        }
        self.next += 1;
        let id = self.next;
        let (class, destination) =
            (u32::from(self.rng.f64() < self.plan.payments), self.rng.u32(0..self.plan.partners));
        let order_key = if class == 0 { 1 + self.rng.u64(0..500) } else { 0 };
        self.messages.insert(id, (destination, class == 1));
        self.fresh.insert(id, client);
        self.came.insert(id, self.now);
        self.day.asked_by_class[class as usize] += 1;
        let expires = self.now + 24 * SECOND;
        self.brain.handle(self.now, Event::Request { id, class, destination, order_key, expires }, actions);
    }

    /// Those that the module did not refuse at once are taken on.
    fn answer(&mut self) {
        for (id, client) in std::mem::take(&mut self.fresh) {
            let taken = self.messages.contains_key(&id);
            self.day.taken += u64::from(taken);
            let pause = if taken { MS } else { 100 * MS };
            client.into_iter().for_each(|c| self.at(self.now + pause, What::HandIn(c)));
        }
    }

    fn carry_out(&mut self, action: Action, actions: &mut Vec<Action>) {
        match action {
            Action::Send { id, target, until } => self.call(id, target, until),
            Action::Cancel { id, attempt } => {
                if let Some((target, _)) = self.calls.get(&(id, attempt)).copied() {
                    self.end(id, attempt, target, Outcome::Cancelled, actions);
                }
            }
            Action::Refuse { id, retry_after } => {
                let Some((partner, payment)) = self.messages.remove(&id) else { return };
                if self.fresh.contains_key(&id) {
                    self.day.refused += 1;
                    self.day.advice.push((self.now, partner, retry_after));
                } else {
                    self.day.handed_back_by_class[usize::from(payment)] += 1;
                    self.day.handed_back += 1;
                    self.day.false_ends += u64::from(payment && self.applied.contains(&id));
                }
            }
            Action::Fail { id } => {
                self.messages.remove(&id);
                self.day.failed += 1;
            }
            Action::Timer { after, .. } => self.at(self.now + after, What::Timer),
            _ => {}
        }
    }

    fn call(&mut self, id: u64, target: u32, until: Micros) {
        let partner = target / 10;
        let tries = self.tries.entry(id).or_default();
        let attempt = *tries;
        *tries += 1;
        let payment = self.messages.get(&id).is_some_and(|m| m.1);
        self.day.attempts += 1;
        self.calls.insert((id, attempt), (target, partner));
        let out = self.out.entry(partner).or_default();
        *out += 1;
        let out = *out;
        self.day.most_out = self.day.most_out.max(out);
        let (from, to) = self.plan.latency;
        let mut took = from + self.rng.u64(0..=to - from) + 200;
        let outage = self.plan.outage.filter(|(from, to, _)| (*from..*to).contains(&self.now));
        if let Some((from, ..)) = outage.filter(|_| partner == 0 && self.day.detected_after.is_none()) {
            self.day.calls_before_detection += u64::from(from <= self.now);
        }
        took += self.queue(partner, took);
        let failing = match outage {
            Some((.., kind)) if partner == 0 => Some(kind),
            _ if out > self.plan.most_at_once => Some(FailureKind::Refused),
            _ => self.fails(partner, out),
        };
        let outcome = match failing {
            None => 0,
            Some(FailureKind::Refused) => 2,
            Some(FailureKind::Error) => 1,
            Some(FailureKind::ResetBefore | FailureKind::ResetAfter) => 3,
            Some(FailureKind::Late) => 0,
            Some(FailureKind::Silent) => 4,
        };
        match failing {
            Some(FailureKind::Refused) => took = 200,
            Some(FailureKind::Late) => took += SECOND,
            Some(FailureKind::Silent) => took = Micros::MAX / 4,
            _ => {}
        }
        if matches!(failing, None | Some(FailureKind::ResetAfter | FailureKind::Late)) {
            let fresh = self.applied.insert(id);
            self.day.twice += u64::from(!fresh && payment);
            if fresh {
                self.day.applied += 1;
                self.day.applied_by_class[usize::from(payment)] += 1;
                self.day.waited.extend(self.came.get(&id).map(|came| (*came, self.now, partner)));
                let second = (self.now / SECOND) as usize;
                self.day.by_second.iter_mut().skip(second).take(1).for_each(|n| *n += 1);
            }
        }
        let (at, outcome) =
            if self.now.saturating_add(took) > until { (until, 4) } else { (self.now + took, outcome) };
        self.at(at.max(self.now + 1), What::End { id, attempt, target, outcome });
    }

    /// How long a call waits until one of those that are worked on is done.
    fn queue(&mut self, partner: u32, took: Micros) -> Micros {
        if self.plan.works_on == 0 {
            return 0;
        }
        let twice = self.plan.doubles.is_some_and(|at| self.now >= at);
        let works = self.works_until.entry(partner).or_default();
        works.resize(self.plan.works_on * if twice { 2 } else { 1 }, 0);
        let Some(first) = works.iter_mut().min() else { return 0 };
        let begins = self.now.max(*first);
        *first = begins + took;
        begins - self.now
    }

    fn fails(&mut self, partner: u32, out: usize) -> Option<FailureKind> {
        let strain = out.saturating_sub(self.plan.strained_from) as f64 * self.plan.strain;
        let share = (self.plan.failure_share + strain).min(0.95);
        let (bad, until) = self.bad.entry(partner).or_insert((false, 0));
        if self.plan.burst == 0 {
            *bad = self.rng.f64() < share;
        }
        while self.plan.burst > 0 && *until <= self.now {
            // As long in bursts as the share says, each side for a span of its own mean.
            *bad = *until > 0 && !*bad;
            let part = if *bad { 1.0 } else { (1.0 - share) / share.max(1e-9) };
            let mean = self.plan.burst as f64 * part;
            *until += (-self.rng.f64().max(1e-9).ln() * mean) as Micros + 1;
        }
        let bad = *bad;
        let kinds = &self.plan.failure_kinds;
        bad.then(|| kinds[self.rng.usize(0..kinds.len())])
    }

    fn end(&mut self, id: u64, attempt: u32, target: u32, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some((_, partner)) = self.calls.remove(&(id, attempt)) else { return };
        self.out.entry(partner).and_modify(|n| *n -= 1);
        if outcome == Outcome::Ok {
            self.messages.remove(&id);
        }
        let event =
            Event::Outcome { id, attempt, target, outcome, took: 0, ended: false, wait: 0, report: None };
        self.brain.handle(self.now, event, actions);
    }

    /// Notes verdicts as they come.
    fn watch(&mut self) {
        for d in self.brain.status(self.now) {
            let out = d.routes.iter().any(|l| matches!(l.health, Health::Out { .. }));
            let before = self.is_out.insert(d.destination, out).unwrap_or(false);
            self.day.outages_detected += u64::from(out && !before);
            let outage = self.plan.outage.filter(|(from, to, _)| (*from..*to).contains(&self.now));
            if let Some((from, ..)) = outage.filter(|_| out && d.destination == 0) {
                self.day.detected_after.get_or_insert(self.now - from);
            }
        }
    }
}
