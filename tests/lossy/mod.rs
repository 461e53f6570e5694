//! Simulation of partners that fail at random, independently, in bursts or all together: the scheduler alone,
//! without sockets, in simulated time. The same seed gives the same run. Used by the test `evidence` and the
//! benchmark `lossy`.
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
    /// The connection breaks before the message takes effect.
    ResetBefore,
    /// The connection breaks after the message has taken effect.
    ResetAfter,
    /// The answer is an error.
    Error,
    /// The message takes effect, and the answer comes a second late.
    Late,
    /// There is no answer.
    Silent,
}

/// All kinds of failure except silence.
pub const MIXED: [FailureKind; 5] = [
    FailureKind::Refused,
    FailureKind::ResetBefore,
    FailureKind::ResetAfter,
    FailureKind::Error,
    FailureKind::Late,
];

/// The partners and the load of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    /// Messages a second, submitted at random times; 0 if only `clients` submit messages.
    pub rate: f64,
    /// Clients, each of which submits one message after another.
    pub clients: usize,
    /// Share of calls that fail.
    pub failure_share: f64,
    /// How calls fail: one of these kinds at random.
    pub failure_kinds: Vec<FailureKind>,
    /// Mean duration of bursts of failures (the Gilbert-Elliott model, in time); 0 for independent failures.
    pub burst: Micros,
    /// Start and end of an outage in which every call to partner 0 fails, and how.
    pub outage: Option<(Micros, Micros, FailureKind)>,
    /// Times at which all calls in flight are reset at once.
    pub restarts: Vec<Micros>,
    /// Calls in flight above which a partner refuses further connections.
    pub most_at_once: usize,
    /// Calls that a partner processes at once while further ones queue, 0 for no bound. Its capacity is this
    /// number divided by the mean answer time.
    pub concurrency: usize,
    /// From this time on partners process twice as many calls at once.
    pub doubles_at: Option<Micros>,
    /// Share of payments among the messages; the others are updates.
    pub payments: f64,
    /// Largest number of messages held.
    pub max_held: u32,
    /// Calls in flight to a partner above which further ones add to the share of failures.
    pub strained_from: usize,
    /// Share of failures that each of them adds.
    pub strain: f64,
    pub partners: u32,
    /// Endpoints of each partner.
    pub endpoints: u32,
    /// Shortest and longest answer time.
    pub latency: (Micros, Micros),
    pub slots: u32,
    /// Time during which messages are submitted.
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
            concurrency: 0,
            doubles_at: None,
            payments: 0.44,
            max_held: 2_000,
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

/// Result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub taken: u64,
    pub refused: u64,
    pub handed_back: u64,
    pub failed: u64,
    pub applied: u64,
    pub attempts: u64,
    /// Payments that took effect twice.
    pub duplicates: u64,
    /// Payments that were reported as not run although they had run.
    pub false_outcomes: u64,
    /// Time from the start of the outage to its detection.
    pub detected_after: Option<Micros>,
    /// Calls made to the destination in between.
    pub calls_before_detection: u64,
    /// Number of times that an outage was detected.
    pub outages_detected: u64,
    /// Messages applied in each second.
    pub by_second: Vec<u64>,
    /// Largest number of calls in flight to one partner.
    pub max_in_flight: usize,
    /// Messages applied by class: updates, then payments. The following two are in the same order.
    pub applied_by_class: [u64; 2],
    pub handed_back_by_class: [u64; 2],
    pub submitted_by_class: [u64; 2],
    /// Refusals: time, partner and advised wait.
    pub advised_waits: Vec<(Micros, u32, Micros)>,
    /// Messages that took effect: time of submission, time of effect, and partner.
    pub deliveries: Vec<(Micros, Micros, u32)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    /// A client submits a message.
    Submit(usize),
    /// A message arrives, independent of clients.
    Arrive,
    /// An attempt ends.
    End { id: u64, attempt: u32, target: u32, outcome: u8 },
    /// All calls in flight are reset.
    Restart,
    /// The timer of the scheduler expires.
    Timer,
}

/// Outcomes by the index that [`SimEvent::End`] carries.
const OUTCOMES: [Outcome; 6] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::TimedOut,
    Outcome::Cancelled,
];

struct Simulation {
    scenario: Scenario,
    rng: fastrand::Rng,
    now: Micros,
    scheduler: DeliveryScheduler,
    queue: BinaryHeap<Reverse<(Micros, u64, SimEvent)>>,
    /// Number of the event added last; it keeps events of the same time in order.
    sequence: u64,
    /// Calls in flight with their target and partner, by message and attempt.
    calls: HashMap<(u64, u32), (u32, u32)>,
    /// Number of calls in flight by partner.
    in_flight: HashMap<u32, usize>,
    /// By partner: whether it is in a burst of failures, and until when it stays in its present state.
    bursts: HashMap<u32, (bool, Micros)>,
    /// Messages that have not ended: partner, and whether it is a payment.
    messages: BTreeMap<u64, (u32, bool)>,
    /// Attempts so far. They are numbered from 0, and there is never more than one in flight.
    attempts: HashMap<u64, u32>,
    applied: HashSet<u64>,
    last_id: u64,
    /// Messages submitted in this moment, with their clients.
    submitted: HashMap<u64, Option<usize>>,
    submitted_at: HashMap<u64, Micros>,
    /// By partner: when each of the calls that it processes will be done.
    busy_until: HashMap<u32, Vec<Micros>>,
    /// By partner: whether the scheduler considers it out.
    is_out: BTreeMap<u32, bool>,
    report: Report,
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

/// Runs a simulation.
pub fn simulate(scenario: &Scenario) -> Report {
    let mut simulation = Simulation {
        rng: fastrand::Rng::with_seed(scenario.seed),
        now: 0,
        scheduler: DeliveryScheduler::new(
            0,
            scenario.seed,
            Settings { max_held: scenario.max_held, ..settings(scenario.slots) },
        ),
        queue: BinaryHeap::new(),
        sequence: 0,
        calls: HashMap::new(),
        in_flight: HashMap::new(),
        bursts: HashMap::new(),
        messages: BTreeMap::new(),
        attempts: HashMap::new(),
        applied: HashSet::new(),
        last_id: 0,
        submitted: HashMap::new(),
        submitted_at: HashMap::new(),
        busy_until: HashMap::new(),
        is_out: BTreeMap::new(),
        report: Report {
            by_second: vec![0; (scenario.duration / SECOND) as usize + 60],
            ..Report::default()
        },
        scenario: scenario.clone(),
    };
    simulation.run();
    simulation.report
}

impl Simulation {
    /// Schedules an event.
    fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    fn run(&mut self) {
        let mut endpoints = Vec::new();
        for partner in 0..self.scenario.partners {
            for e in 0..self.scenario.endpoints {
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
        self.scheduler.handle(0, Event::List { kind: ListKind::Full, version: 1, endpoints }, &mut actions);
        for client in 0..self.scenario.clients {
            self.schedule(client as Micros * 50, SimEvent::Submit(client));
        }
        if self.scenario.rate > 0.0 {
            self.schedule(0, SimEvent::Arrive);
        }
        for at in self.scenario.restarts.clone() {
            self.schedule(at, SimEvent::Restart);
        }
        // The simulation continues past the last arrival until every message has ended.
        let last = self.scenario.duration + 30 * SECOND;
        while let Some(Reverse((at, ..))) = self.queue.peek().copied() {
            if at > last {
                break;
            }
            self.now = at;
            while let Some(Reverse((_, _, event))) = self.queue.peek().copied().filter(|q| q.0 .0 == at) {
                self.queue.pop();
                self.process(event, &mut actions);
            }
            self.scheduler.decide(at, &mut actions);
            for action in std::mem::take(&mut actions) {
                self.carry_out(action, &mut actions);
            }
            self.confirm_submissions();
            self.record_health();
        }
    }

    fn process(&mut self, event: SimEvent, actions: &mut Vec<Action>) {
        match event {
            SimEvent::Submit(client) if self.now < self.scenario.duration => {
                self.submit(Some(client), actions)
            }
            SimEvent::Submit(_) => {}
            SimEvent::Arrive => {
                self.submit(None, actions);
                let gap = -self.rng.f64().max(1e-9).ln() / self.scenario.rate * SECOND as f64;
                if self.now < self.scenario.duration {
                    self.schedule(self.now + gap as Micros + 1, SimEvent::Arrive);
                }
            }
            SimEvent::End { id, attempt, target, outcome } => {
                self.end(id, attempt, target, OUTCOMES[usize::from(outcome)], actions)
            }
            SimEvent::Restart => {
                let mut calls: Vec<_> = self.calls.iter().map(|(key, at)| (*key, *at)).collect();
                calls.sort_unstable();
                for ((id, attempt), (target, _)) in calls {
                    self.end(id, attempt, target, Outcome::Reset, actions);
                }
            }
            SimEvent::Timer => self.scheduler.handle(self.now, Event::Timer { token: 0 }, actions),
        }
    }

    fn submit(&mut self, client: Option<usize>, actions: &mut Vec<Action>) {
        if self.messages.len() >= self.scenario.max_held as usize {
            self.report.refused += 1;
            return client.into_iter().for_each(|c| self.schedule(self.now + 100 * MS, SimEvent::Submit(c)));
        }
        self.last_id += 1;
        let id = self.last_id;
        let (class, destination) =
            (u32::from(self.rng.f64() < self.scenario.payments), self.rng.u32(0..self.scenario.partners));
        let order_key = if class == 0 { 1 + self.rng.u64(0..500) } else { 0 };
        self.messages.insert(id, (destination, class == 1));
        self.submitted.insert(id, client);
        self.submitted_at.insert(id, self.now);
        self.report.submitted_by_class[class as usize] += 1;
        let expires = self.now + 24 * SECOND;
        self.scheduler.handle(
            self.now,
            Event::Request { id, class, destination, order_key, expires },
            actions,
        );
    }

    /// Counts the messages that the scheduler did not refuse at once as accepted, and lets their clients
    /// continue.
    fn confirm_submissions(&mut self) {
        for (id, client) in std::mem::take(&mut self.submitted) {
            let accepted = self.messages.contains_key(&id);
            self.report.taken += u64::from(accepted);
            let pause = if accepted { MS } else { 100 * MS };
            client.into_iter().for_each(|c| self.schedule(self.now + pause, SimEvent::Submit(c)));
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
                if self.submitted.contains_key(&id) {
                    self.report.refused += 1;
                    self.report.advised_waits.push((self.now, partner, retry_after));
                } else {
                    self.report.handed_back_by_class[usize::from(payment)] += 1;
                    self.report.handed_back += 1;
                    self.report.false_outcomes += u64::from(payment && self.applied.contains(&id));
                }
            }
            Action::Fail { id } => {
                self.messages.remove(&id);
                self.report.failed += 1;
            }
            Action::Timer { after, .. } => self.schedule(self.now + after, SimEvent::Timer),
            _ => {}
        }
    }

    fn call(&mut self, id: u64, target: u32, until: Micros) {
        let partner = target / 10;
        let attempts = self.attempts.entry(id).or_default();
        let attempt = *attempts;
        *attempts += 1;
        let payment = self.messages.get(&id).is_some_and(|m| m.1);
        self.report.attempts += 1;
        self.calls.insert((id, attempt), (target, partner));
        let in_flight = self.in_flight.entry(partner).or_default();
        *in_flight += 1;
        let in_flight = *in_flight;
        self.report.max_in_flight = self.report.max_in_flight.max(in_flight);
        let (from, to) = self.scenario.latency;
        let mut took = from + self.rng.u64(0..=to - from) + 200;
        let outage = self.scenario.outage.filter(|(from, to, _)| (*from..*to).contains(&self.now));
        if let Some((from, ..)) = outage.filter(|_| partner == 0 && self.report.detected_after.is_none()) {
            self.report.calls_before_detection += u64::from(from <= self.now);
        }
        took += self.queueing_time(partner, took);
        let failure = match outage {
            Some((.., kind)) if partner == 0 => Some(kind),
            _ if in_flight > self.scenario.most_at_once => Some(FailureKind::Refused),
            _ => self.random_failure(partner, in_flight),
        };
        let outcome = match failure {
            None => 0,
            Some(FailureKind::Refused) => 2,
            Some(FailureKind::Error) => 1,
            Some(FailureKind::ResetBefore | FailureKind::ResetAfter) => 3,
            Some(FailureKind::Late) => 0,
            Some(FailureKind::Silent) => 4,
        };
        match failure {
            Some(FailureKind::Refused) => took = 200,
            Some(FailureKind::Late) => took += SECOND,
            Some(FailureKind::Silent) => took = Micros::MAX / 4,
            _ => {}
        }
        if matches!(failure, None | Some(FailureKind::ResetAfter | FailureKind::Late)) {
            let first_time = self.applied.insert(id);
            self.report.duplicates += u64::from(!first_time && payment);
            if first_time {
                self.report.applied += 1;
                self.report.applied_by_class[usize::from(payment)] += 1;
                self.report.deliveries.extend(
                    self.submitted_at.get(&id).map(|submitted_at| (*submitted_at, self.now, partner)),
                );
                let second = (self.now / SECOND) as usize;
                self.report.by_second.iter_mut().skip(second).take(1).for_each(|n| *n += 1);
            }
        }
        let (at, outcome) =
            if self.now.saturating_add(took) > until { (until, 4) } else { (self.now + took, outcome) };
        self.schedule(at.max(self.now + 1), SimEvent::End { id, attempt, target, outcome });
    }

    /// Time that a call waits in the queue of a partner.
    fn queueing_time(&mut self, partner: u32, took: Micros) -> Micros {
        if self.scenario.concurrency == 0 {
            return 0;
        }
        let twice = self.scenario.doubles_at.is_some_and(|at| self.now >= at);
        let busy_until = self.busy_until.entry(partner).or_default();
        busy_until.resize(self.scenario.concurrency * if twice { 2 } else { 1 }, 0);
        let Some(first) = busy_until.iter_mut().min() else { return 0 };
        let begins = self.now.max(*first);
        *first = begins + took;
        begins - self.now
    }

    /// Whether and how a call fails at random, with `in_flight` calls in flight to its partner.
    fn random_failure(&mut self, partner: u32, in_flight: usize) -> Option<FailureKind> {
        let strain = in_flight.saturating_sub(self.scenario.strained_from) as f64 * self.scenario.strain;
        let share = (self.scenario.failure_share + strain).min(0.95);
        let (failing, until) = self.bursts.entry(partner).or_insert((false, 0));
        if self.scenario.burst == 0 {
            *failing = self.rng.f64() < share;
        }
        while self.scenario.burst > 0 && *until <= self.now {
            // The time in bursts is `share` of all time. The durations of both states are exponential.
            *failing = *until > 0 && !*failing;
            let part = if *failing { 1.0 } else { (1.0 - share) / share.max(1e-9) };
            let mean = self.scenario.burst as f64 * part;
            *until += (-self.rng.f64().max(1e-9).ln() * mean) as Micros + 1;
        }
        let failing = *failing;
        let kinds = &self.scenario.failure_kinds;
        failing.then(|| kinds[self.rng.usize(0..kinds.len())])
    }

    fn end(&mut self, id: u64, attempt: u32, target: u32, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some((_, partner)) = self.calls.remove(&(id, attempt)) else { return };
        self.in_flight.entry(partner).and_modify(|n| *n -= 1);
        if outcome == Outcome::Ok {
            self.messages.remove(&id);
        }
        let event =
            Event::Outcome { id, attempt, target, outcome, took: 0, ended: false, wait: 0, report: None };
        self.scheduler.handle(self.now, event, actions);
    }

    /// Records outages as they are detected.
    fn record_health(&mut self) {
        for d in self.scheduler.status(self.now) {
            let out = d.routes.iter().any(|l| matches!(l.health, Health::Out { .. }));
            let before = self.is_out.insert(d.destination, out).unwrap_or(false);
            self.report.outages_detected += u64::from(out && !before);
            let outage = self.scenario.outage.filter(|(from, to, _)| (*from..*to).contains(&self.now));
            if let Some((from, ..)) = outage.filter(|_| out && d.destination == 0) {
                self.report.detected_after.get_or_insert(self.now - from);
            }
        }
    }
}
