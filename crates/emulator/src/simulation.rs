//! One simulation: a world, a policy for each forwarder, and a seed. It runs on one thread and is deterministic.

use crate::arrivals::{self, Arrival};
use crate::metrics::{worth, Metrics};
use crate::partner::{CallResult, Partner};
use crate::policy::{
    AttemptOutcome, Class, Command, Effect, LimitReport, ListedEndpoint, Policy, PolicyEvent, PolicyFactory,
    Site,
};
use crate::world::World;
use crate::{Micros, SECOND};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// How long after its deadline a message may be without an outcome before it counts as lost.
const OUTCOME_GRACE: Micros = SECOND / 2;
/// Time allowed from a repeated submission to its call: a client submits a message again only if its partner's deduplication
/// window lasts this much longer.
const HARMLESS_MARGIN: Micros = SECOND;

/// A scheduled event. Events are ordered by time, then by sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    /// A forwarder receives the endpoint list.
    ListArrives(usize),
    /// A client submits a message for the first time.
    MessageArrives(usize),
    /// A client submits a refused message again.
    Resubmitted { origin: usize, forwarder: usize },
    /// A call arrives at its partner.
    CallArrives(usize),
    /// The answer to a call arrives at its forwarder.
    AnswerArrives(usize),
    /// A call times out.
    CallTimesOut(usize),
    /// A timer of a forwarder's policy expires.
    TimerExpires { forwarder: usize, token: u32 },
}

/// A client's message, across all submissions of it.
struct Origin {
    arrival: Arrival,
    submissions: u32,
    delivered: bool,
    /// How often it took effect.
    effects: u32,
    first_effect: Micros,
}

/// A message at a forwarder: one submission of an [`Origin`].
struct HeldMessage {
    origin: usize,
    forwarder: usize,
    submitted_at: Micros,
    attempts: u32,
    /// The call in flight.
    in_flight: Option<usize>,
    finished: bool,
    /// When its first call that may have run was sent.
    may_have_run_at: Option<Micros>,
}

/// An attempt to deliver a message.
struct Call {
    message: usize,
    attempt: u32,
    target: u32,
    sent: Micros,
    /// How the partner handled it, once it has arrived there.
    result: Option<CallResult>,
    ended: bool,
}

/// A forwarder and the state by which the simulation checks it.
struct Forwarder {
    policy: Box<dyn Policy>,
    /// Messages held.
    held: u32,
    /// Calls in flight.
    in_flight: u32,
    /// End of the wait that each partner requested.
    waits: Vec<Micros>,
    /// Unfinished messages of each key, in the order of arrival.
    keys: HashMap<u64, VecDeque<usize>>,
}

/// The state of a simulation.
struct Simulation<'a> {
    world: &'a World,
    classes: Vec<Class>,
    random: SmallRng,
    queue: BinaryHeap<Reverse<(Micros, u64, SimulationEvent)>>,
    last_sequence: u64,
    now: Micros,
    partners: Vec<Partner<'a>>,
    /// For each target, its partner and the index among that partner's endpoints.
    targets: Vec<(usize, usize)>,
    forwarders: Vec<Forwarder>,
    /// Cumulative weights of the forwarders.
    weights: Vec<f64>,
    origins: Vec<Origin>,
    messages: Vec<HeldMessage>,
    calls: Vec<Call>,
    commands: Vec<Command>,
    metrics: Metrics,
}

/// Simulates a world once.
pub fn simulate(world: &World, factory: &dyn PolicyFactory, seed: u64) -> Metrics {
    let mut seeds = SmallRng::seed_from_u64(seed);
    let mut stream = || SmallRng::seed_from_u64(seeds.random());
    let (mut weight_random, mut traffic_random, random) = (stream(), stream(), stream());
    let weights = arrivals::forwarder_weights(world, &mut weight_random);
    let all_arrivals = arrivals::arrivals(world, &weights, &mut traffic_random);
    let partners: Vec<Partner> =
        world.partners.iter().map(|config| Partner::new(config, world, stream())).collect();
    let endpoints = world.partners.iter().enumerate();
    let targets: Vec<(usize, usize)> =
        endpoints.flat_map(|(p, config)| (0..config.endpoints as usize).map(move |e| (p, e))).collect();
    let classes = world.classes();
    let site = |index: u32, seed: u64| Site {
        forwarders: world.fleet.forwarders,
        index,
        slots: world.fleet.slots,
        max_held: world.fleet.held,
        max_attempts: world.fleet.attempts,
        classes: classes.clone(),
        slow_start: world.slow_start(),
        seed,
    };
    let forwarder = |index: u32, seed: u64| Forwarder {
        policy: factory.create(&site(index, seed)),
        held: 0,
        in_flight: 0,
        waits: vec![0; world.partners.len()],
        keys: HashMap::new(),
    };
    let forwarders = (0..world.fleet.forwarders).map(|n| forwarder(n, stream().random())).collect();
    let mut simulation = Simulation {
        world,
        metrics: Metrics::new(classes.len(), world.fleet.lasts),
        classes,
        random,
        queue: BinaryHeap::new(),
        last_sequence: 0,
        now: 0,
        partners,
        targets,
        forwarders,
        weights,
        origins: Vec::with_capacity(all_arrivals.len()),
        messages: Vec::new(),
        calls: Vec::new(),
        commands: Vec::new(),
    };
    for n in 0..simulation.forwarders.len() {
        let delay = simulation.random.random_range(0..=world.fleet.list_late);
        simulation.schedule(delay, SimulationEvent::ListArrives(n));
    }
    for arrival in all_arrivals {
        simulation.schedule(arrival.at, SimulationEvent::MessageArrives(simulation.origins.len()));
        simulation.origins.push(Origin {
            arrival,
            submissions: 0,
            delivered: false,
            effects: 0,
            first_effect: 0,
        });
    }
    simulation.run();
    simulation.into_metrics()
}

impl Simulation<'_> {
    /// Schedules an event.
    fn schedule(&mut self, time: Micros, event: SimulationEvent) {
        self.last_sequence += 1;
        self.queue.push(Reverse((time, self.last_sequence, event)));
    }

    /// Draws the time of a datagram between a forwarder and a partner.
    fn network_delay(&mut self) -> Micros {
        let (min, max) = self.world.fleet.way;
        self.random.random_range(min..=max)
    }

    /// Processes events until none is left, or until every message must have had its outcome.
    fn run(&mut self) {
        let max_deadline = self.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let end = self.world.fleet.lasts + 2 * max_deadline + 2 * OUTCOME_GRACE;
        while let Some(Reverse((time, _, event))) = self.queue.pop() {
            if time > end {
                return;
            }
            self.now = time;
            match event {
                SimulationEvent::ListArrives(forwarder) => self.send_list(forwarder),
                SimulationEvent::MessageArrives(origin) => {
                    let Arrival { forwarder, class, .. } = self.origins[origin].arrival;
                    let worth = self.classes[class].worth;
                    self.metrics.messages += 1;
                    self.metrics.classes[class].0 += worth;
                    if let Some(second) = self.metrics.second(time) {
                        second.arrived += 1;
                        second.offered_worth += worth;
                    }
                    self.submit(origin, forwarder);
                }
                SimulationEvent::Resubmitted { origin, forwarder } => self.submit(origin, forwarder),
                SimulationEvent::CallArrives(call) => self.call_arrives(call),
                SimulationEvent::AnswerArrives(call) => self.answer_arrives(call),
                SimulationEvent::CallTimesOut(call) => {
                    self.end_attempt(call, AttemptOutcome::TimedOut, 0, None)
                }
                SimulationEvent::TimerExpires { forwarder, token } => {
                    self.notify(forwarder, PolicyEvent::Wake { token })
                }
            }
        }
    }

    /// Passes an event to a forwarder's policy and executes its commands.
    fn notify(&mut self, forwarder: usize, event: PolicyEvent) {
        let mut commands = std::mem::take(&mut self.commands);
        let policy = &mut self.forwarders[forwarder].policy;
        policy.handle_event(self.now, event, &mut commands);
        policy.decide(self.now, &mut commands);
        for command in commands.drain(..) {
            match command {
                Command::Send { id, target, until } => self.send(forwarder, id as usize, target, until),
                Command::Refuse { id, retry_after } => self.end_undelivered(id as usize, Some(retry_after)),
                Command::Fail { id } => self.end_undelivered(id as usize, None),
                Command::Wake { after, token } => {
                    self.schedule(self.now + after, SimulationEvent::TimerExpires { forwarder, token })
                }
            }
        }
        self.commands = commands;
    }

    /// Gives a forwarder the endpoint list.
    fn send_list(&mut self, forwarder: usize) {
        let endpoint = |(target, (partner, _)): (usize, &(usize, usize))| {
            let config = &self.world.partners[*partner];
            ListedEndpoint {
                target: target as u32,
                partner: *partner as u32,
                rate: if config.listed { config.limit } else { 0.0 },
            }
        };
        let endpoints = self.targets.iter().enumerate().map(endpoint).collect();
        self.notify(forwarder, PolicyEvent::List(endpoints));
    }

    /// A client submits a message to a forwarder.
    fn submit(&mut self, origin: usize, forwarder: usize) {
        let Arrival { at: submitted_at, class, partner, key, .. } = self.origins[origin].arrival;
        self.origins[origin].submissions += 1;
        if self.forwarders[forwarder].held >= self.world.fleet.held {
            return self.resubmit(origin, 0, Micros::MAX);
        }
        self.forwarders[forwarder].held += 1;
        let id = self.messages.len();
        self.messages.push(HeldMessage {
            origin,
            forwarder,
            submitted_at: self.now,
            attempts: 0,
            in_flight: None,
            finished: false,
            may_have_run_at: None,
        });
        if key > 0 {
            self.forwarders[forwarder].keys.entry(key).or_default().push_back(id);
        }
        let expires = submitted_at + self.classes[class].deadline;
        let event = PolicyEvent::Message {
            id: id as u64,
            class: class as u32,
            partner: partner as u32,
            key,
            expires,
        };
        self.notify(forwarder, event);
    }

    /// A client whose message was refused submits it again after a pause, unless it has no submissions left, the message has
    /// expired by then, or a repeat could do harm by then.
    fn resubmit(&mut self, origin: usize, retry_after: Micros, harmless_until: Micros) {
        let traffic = &self.world.traffic;
        let Origin { arrival, submissions, .. } = self.origins[origin];
        let pause = self.random.random_range(traffic.again_after.0..=traffic.again_after.1).max(retry_after);
        let expires = arrival.at + self.classes[arrival.class].deadline;
        if submissions > traffic.again || self.now + pause >= expires.min(harmless_until) {
            self.metrics.refused += 1;
            return;
        }
        let forwarder = match arrival.key {
            0 => arrivals::draw(&mut self.random, &self.weights),
            _ => arrival.forwarder,
        };
        self.schedule(self.now + pause, SimulationEvent::Resubmitted { origin, forwarder });
    }

    /// Ends a message that was not delivered: handed back, with the advised wait, or failed.
    fn end_undelivered(&mut self, id: usize, handed_back: Option<Micros>) {
        let Some(held) = self.messages.get(id).filter(|h| !h.finished) else { return };
        let (origin, may_have_run_at) = (held.origin, held.may_have_run_at);
        // A message that may have run can be repeated only while its partner still drops repeats. `harmless_until` of a real
        // site tells its clients the same.
        let harmless_until = match (may_have_run_at, self.classes[self.origins[origin].arrival.class].effect)
        {
            (Some(ran), Effect::Keyed(window)) => ran + window.saturating_sub(HARMLESS_MARGIN),
            _ => Micros::MAX,
        };
        self.close(id);
        match handed_back {
            Some(retry_after) => self.resubmit(origin, retry_after, harmless_until),
            None => self.metrics.failed += 1,
        }
    }

    /// Marks a message as finished and releases what its forwarder holds for it.
    fn close(&mut self, id: usize) {
        let held = &mut self.messages[id];
        held.finished = true;
        let (origin, forwarder) = (held.origin, held.forwarder);
        let Origin { arrival, .. } = self.origins[origin];
        let forwarder = &mut self.forwarders[forwarder];
        forwarder.held -= 1;
        if let Some(open) = forwarder.keys.get_mut(&arrival.key) {
            open.retain(|other| *other != id);
            if open.is_empty() {
                forwarder.keys.remove(&arrival.key);
            }
        }
        if self.now > arrival.at + self.classes[arrival.class].deadline + OUTCOME_GRACE {
            self.metrics.violations.lost += 1;
        }
    }

    /// Sends a call, unless the limits of the forwarder forbid it, and checks it against the delivery rules.
    fn send(&mut self, forwarder: usize, id: usize, target: u32, until: Micros) {
        let (Some(held), Some((partner, _))) =
            (self.messages.get(id), self.targets.get(target as usize).copied())
        else {
            return;
        };
        let key = self.origins[held.origin].arrival.key;
        let (attempt, submitted_at) = (held.attempts, held.submitted_at);
        let call = self.calls.len();
        let refused = held.finished
            || held.forwarder != forwarder
            || held.in_flight.is_some()
            || attempt >= self.world.fleet.attempts
            || self.forwarders[forwarder].in_flight >= self.world.fleet.slots;
        self.calls.push(Call { message: id, attempt, target, sent: self.now, result: None, ended: false });
        self.messages[id].attempts += 1;
        if refused {
            // The call is not sent; the policy receives its outcome like that of any other call.
            let result = CallResult {
                outcome: Some(AttemptOutcome::NotSent),
                at: self.now,
                wait: 0,
                limit_report: None,
                effect: false,
            };
            self.calls[call].result = Some(result);
            return self.schedule(self.now, SimulationEvent::AnswerArrives(call));
        }
        if attempt == 0 {
            let _ = self.metrics.first_call.record((self.now - submitted_at).max(1));
        }
        let forwarder = &mut self.forwarders[forwarder];
        forwarder.in_flight += 1;
        if self.now < forwarder.waits[partner] {
            self.metrics.violations.retry_after_ignored += 1;
        }
        if key > 0 && forwarder.keys.get(&key).and_then(|open| open.front()).is_some_and(|first| *first != id)
        {
            self.metrics.violations.out_of_order += 1;
        }
        self.messages[id].in_flight = Some(call);
        let delay = self.network_delay();
        self.schedule(self.now + delay, SimulationEvent::CallArrives(call));
        self.schedule(until.max(self.now), SimulationEvent::CallTimesOut(call));
    }

    /// A call arrives at its partner.
    fn call_arrives(&mut self, call: usize) {
        let Call { message, target, .. } = self.calls[call];
        let (partner, endpoint) = self.targets[target as usize];
        let result = self.partners[partner].receive_call(self.now, endpoint);
        self.metrics.calls += 1;
        let rejected = result.outcome == Some(AttemptOutcome::Rejected);
        self.metrics.rejected += u64::from(rejected);
        if let Some(second) = self.metrics.second(self.now) {
            second.calls += 1;
            second.rejected += u64::from(rejected);
        }
        if result.effect {
            self.record_effect(self.messages[message].origin, result.at);
        }
        self.calls[call].result = Some(result);
        if result.outcome.is_some() {
            let delay = self.network_delay();
            self.schedule(result.at + delay, SimulationEvent::AnswerArrives(call));
        }
    }

    /// Counts an effect of a message, and a violation if it must not have taken effect again.
    fn record_effect(&mut self, origin: usize, at: Micros) {
        let origin = &mut self.origins[origin];
        origin.effects += 1;
        if origin.effects == 1 {
            origin.first_effect = at;
            return;
        }
        let duplicate = match self.classes[origin.arrival.class].effect {
            Effect::Repeatable => false,
            Effect::Keyed(window) => at > origin.first_effect + window,
            Effect::Once => true,
        };
        self.metrics.violations.duplicates += u64::from(duplicate);
    }

    /// The answer to a call arrives at its forwarder.
    fn answer_arrives(&mut self, call: usize) {
        let Some(result) = self.calls[call].result else { return };
        if let Some(outcome) = result.outcome {
            self.end_attempt(call, outcome, result.wait, result.limit_report);
        }
    }

    /// Ends an attempt, by its answer or by its time-out, and informs the policy.
    fn end_attempt(
        &mut self, call: usize, outcome: AttemptOutcome, wait: Micros, limit_report: Option<LimitReport>,
    ) {
        let Call { message, attempt, target, sent, ended, .. } = self.calls[call];
        if ended {
            return;
        }
        self.calls[call].ended = true;
        let forwarder = self.messages[message].forwarder;
        if outcome != AttemptOutcome::NotSent {
            self.forwarders[forwarder].in_flight -= 1;
            self.messages[message].in_flight = None;
        }
        let (partner, _) = self.targets[target as usize];
        if wait > 0 {
            let until = &mut self.forwarders[forwarder].waits[partner];
            *until = (*until).max(self.now + wait);
        }
        if outcome.may_have_run() {
            self.messages[message].may_have_run_at.get_or_insert(sent);
        }
        if outcome == AttemptOutcome::Delivered && !self.messages[message].finished {
            self.record_delivery(message);
        }
        let finished = self.messages[message].finished;
        let (id, took) = (message as u64, self.now - sent);
        self.notify(
            forwarder,
            PolicyEvent::AttemptEnded { id, attempt, target, outcome, took, finished, wait, limit_report },
        );
    }

    /// Records the delivery of a message.
    fn record_delivery(&mut self, message: usize) {
        let origin = self.messages[message].origin;
        self.close(message);
        let now = self.now;
        let Origin { arrival, delivered, .. } = &mut self.origins[origin];
        if std::mem::replace(delivered, true) {
            return;
        }
        let (arrival, took) = (*arrival, now - arrival.at);
        let class = &self.classes[arrival.class];
        let earned = worth(class, took);
        let in_time = took <= class.aim;
        self.metrics.in_time += u64::from(in_time);
        self.metrics.late += u64::from(!in_time);
        self.metrics.classes[arrival.class].1 += earned;
        let _ = self.metrics.delivery.record(took.max(1));
        if let Some(second) = self.metrics.second(arrival.at) {
            second.earned_worth += earned;
        }
        if let Some(second) = self.metrics.second(now) {
            second.delivered += 1;
        }
    }

    /// Counts the violations that show only at the end, and returns the metrics.
    fn into_metrics(mut self) -> Metrics {
        self.metrics.violations.lost += self.messages.iter().filter(|h| !h.finished).count() as u64;
        self.metrics.violations.overloaded = self.partners.iter().map(|p| p.overloaded).sum();
        self.metrics
    }
}
