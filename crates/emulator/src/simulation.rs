//! One play: a world, a policy for each forwarder, a seed. One thread; the same to the byte each time.

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

/// Beyond its time a message has so long to be ended.
const GRACE: Micros = SECOND / 2;
/// What a client hands in again late takes so long to be sent, at the worst that counts as harmless.
const HARMLESS_MARGIN: Micros = SECOND;

/// What happens, in the order of its time and then of its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    List(usize),
    Comes(usize),
    Again { origin: usize, forwarder: usize },
    Reaches(usize),
    Answers(usize),
    TimesOut(usize),
    Wakes { forwarder: usize, token: u32 },
}

/// A message as a client has it, whatever forwarder it is at.
struct Origin {
    coming: Arrival,
    tries: u32,
    delivered: bool,
    effects: u32,
    first_effect: Micros,
}

/// A message as a forwarder has it.
struct Held {
    origin: usize,
    forwarder: usize,
    at: Micros,
    attempts: u32,
    out: Option<usize>,
    finished: bool,
    /// When its first call that may have run was sent.
    ran: Option<Micros>,
}

struct Call {
    message: usize,
    attempt: u32,
    target: u32,
    sent: Micros,
    taken: Option<CallResult>,
    ended: bool,
}

struct Forwarder {
    policy: Box<dyn Policy>,
    held: u32,
    out: u32,
    /// Until when it has been told to wait, by partner.
    waits: Vec<Micros>,
    /// Messages of each key, in the order in which they came.
    keys: HashMap<u64, VecDeque<usize>>,
}

struct Simulation<'a> {
    world: &'a World,
    classes: Vec<Class>,
    random: SmallRng,
    queue: BinaryHeap<Reverse<(Micros, u64, Happening)>>,
    number: u64,
    now: Micros,
    partners: Vec<Partner<'a>>,
    /// The partner of each target, and its place among that one's endpoints.
    targets: Vec<(usize, usize)>,
    forwarders: Vec<Forwarder>,
    parts: Vec<f64>,
    origins: Vec<Origin>,
    messages: Vec<Held>,
    calls: Vec<Call>,
    commands: Vec<Command>,
    metrics: Metrics,
}

/// Plays a world once.
pub fn simulate(world: &World, factory: &dyn PolicyFactory, seed: u64) -> Metrics {
    let mut seeds = SmallRng::seed_from_u64(seed);
    let mut stream = || SmallRng::seed_from_u64(seeds.random());
    let (mut of_parts, mut of_traffic, random) = (stream(), stream(), stream());
    let parts = arrivals::parts(world, &mut of_parts);
    let coming = arrivals::coming(world, &parts, &mut of_traffic);
    let partners: Vec<Partner> =
        world.partners.iter().map(|line| Partner::new(line, world, stream())).collect();
    let endpoints = world.partners.iter().enumerate();
    let targets: Vec<(usize, usize)> =
        endpoints.flat_map(|(p, line)| (0..line.endpoints as usize).map(move |e| (p, e))).collect();
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
        out: 0,
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
        number: 0,
        now: 0,
        partners,
        targets,
        forwarders,
        parts,
        origins: Vec::with_capacity(coming.len()),
        messages: Vec::new(),
        calls: Vec::new(),
        commands: Vec::new(),
    };
    for n in 0..simulation.forwarders.len() {
        let late = simulation.random.random_range(0..=world.fleet.list_late);
        simulation.at(late, Happening::List(n));
    }
    for coming in coming {
        simulation.at(coming.at, Happening::Comes(simulation.origins.len()));
        simulation.origins.push(Origin { coming, tries: 0, delivered: false, effects: 0, first_effect: 0 });
    }
    simulation.run();
    simulation.end()
}

impl Simulation<'_> {
    fn at(&mut self, time: Micros, what: Happening) {
        self.number += 1;
        self.queue.push(Reverse((time, self.number, what)));
    }

    fn way(&mut self) -> Micros {
        let (least, most) = self.world.fleet.way;
        self.random.random_range(least..=most)
    }

    fn run(&mut self) {
        let longest = self.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let end = self.world.fleet.lasts + 2 * longest + 2 * GRACE;
        while let Some(Reverse((time, _, what))) = self.queue.pop() {
            if time > end {
                return;
            }
            self.now = time;
            match what {
                Happening::List(forwarder) => self.list(forwarder),
                Happening::Comes(origin) => {
                    let Arrival { forwarder, class, .. } = self.origins[origin].coming;
                    let asked = self.classes[class].worth;
                    self.metrics.messages += 1;
                    self.metrics.classes[class].0 += asked;
                    if let Some(second) = self.metrics.second(time) {
                        second.arrived += 1;
                        second.offered_worth += asked;
                    }
                    self.hand_in(origin, forwarder);
                }
                Happening::Again { origin, forwarder } => self.hand_in(origin, forwarder),
                Happening::Reaches(call) => self.reaches(call),
                Happening::Answers(call) => self.answers(call),
                Happening::TimesOut(call) => self.ends(call, AttemptOutcome::TimedOut, 0, None),
                Happening::Wakes { forwarder, token } => self.tell(forwarder, PolicyEvent::Wake { token }),
            }
        }
    }

    /// Tells a forwarder what has happened, and does what it says.
    fn tell(&mut self, forwarder: usize, event: PolicyEvent) {
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
                    self.at(self.now + after, Happening::Wakes { forwarder, token })
                }
            }
        }
        self.commands = commands;
    }

    fn list(&mut self, forwarder: usize) {
        let line = |(target, (partner, _)): (usize, &(usize, usize))| {
            let config = &self.world.partners[*partner];
            ListedEndpoint {
                target: target as u32,
                partner: *partner as u32,
                rate: if config.listed { config.limit } else { 0.0 },
            }
        };
        let lines = self.targets.iter().enumerate().map(line).collect();
        self.tell(forwarder, PolicyEvent::List(lines));
    }

    fn hand_in(&mut self, origin: usize, forwarder: usize) {
        let Arrival { at: born, class, partner, key, .. } = self.origins[origin].coming;
        self.origins[origin].tries += 1;
        if self.forwarders[forwarder].held >= self.world.fleet.held {
            return self.again(origin, 0, Micros::MAX);
        }
        self.forwarders[forwarder].held += 1;
        let id = self.messages.len();
        self.messages.push(Held {
            origin,
            forwarder,
            at: self.now,
            attempts: 0,
            out: None,
            finished: false,
            ran: None,
        });
        if key > 0 {
            self.forwarders[forwarder].keys.entry(key).or_default().push_back(id);
        }
        let expires = born + self.classes[class].deadline;
        let event = PolicyEvent::Message {
            id: id as u64,
            class: class as u32,
            partner: partner as u32,
            key,
            expires,
        };
        self.tell(forwarder, event);
    }

    /// A client whose message was refused comes again, or does not: not later than it is told that it does no harm.
    fn again(&mut self, origin: usize, retry_after: Micros, harmless_until: Micros) {
        let traffic = &self.world.traffic;
        let Origin { coming, tries, .. } = self.origins[origin];
        let pause = self.random.random_range(traffic.again_after.0..=traffic.again_after.1).max(retry_after);
        let expires = coming.at + self.classes[coming.class].deadline;
        if tries > traffic.again || self.now + pause >= expires.min(harmless_until) {
            self.metrics.refused += 1;
            return;
        }
        let forwarder = match coming.key {
            0 => arrivals::draw(&mut self.random, &self.parts),
            _ => coming.forwarder,
        };
        self.at(self.now + pause, Happening::Again { origin, forwarder });
    }

    /// A message ends undelivered: handed back, with advice when to come again, or failed.
    fn end_undelivered(&mut self, id: usize, handed_back: Option<Micros>) {
        let Some(held) = self.messages.get(id).filter(|h| !h.finished) else { return };
        let (origin, ran) = (held.origin, held.ran);
        // What may have run is harmless only as long as its partner drops repeats: as `harmless_until` tells clients of a site.
        let harmless_until = match (ran, self.classes[self.origins[origin].coming.class].effect) {
            (Some(ran), Effect::Keyed(window)) => ran + window.saturating_sub(HARMLESS_MARGIN),
            _ => Micros::MAX,
        };
        self.close(id);
        match handed_back {
            Some(retry_after) => self.again(origin, retry_after, harmless_until),
            None => self.metrics.failed += 1,
        }
    }

    fn close(&mut self, id: usize) {
        let held = &mut self.messages[id];
        held.finished = true;
        let (origin, forwarder) = (held.origin, held.forwarder);
        let Origin { coming, .. } = self.origins[origin];
        let forwarder = &mut self.forwarders[forwarder];
        forwarder.held -= 1;
        if let Some(open) = forwarder.keys.get_mut(&coming.key) {
            open.retain(|other| *other != id);
            if open.is_empty() {
                forwarder.keys.remove(&coming.key);
            }
        }
        if self.now > coming.at + self.classes[coming.class].deadline + GRACE {
            self.metrics.violations.lost += 1;
        }
    }

    fn send(&mut self, forwarder: usize, id: usize, target: u32, until: Micros) {
        let (Some(held), Some((partner, _))) =
            (self.messages.get(id), self.targets.get(target as usize).copied())
        else {
            return;
        };
        let key = self.origins[held.origin].coming.key;
        let (attempt, at) = (held.attempts, held.at);
        let call = self.calls.len();
        let refused = held.finished
            || held.forwarder != forwarder
            || held.out.is_some()
            || attempt >= self.world.fleet.attempts
            || self.forwarders[forwarder].out >= self.world.fleet.slots;
        self.calls.push(Call { message: id, attempt, target, sent: self.now, taken: None, ended: false });
        self.messages[id].attempts += 1;
        if refused {
            // It never leaves; the policy hears of it like of any other.
            let taken = CallResult {
                outcome: Some(AttemptOutcome::NotSent),
                at: self.now,
                wait: 0,
                limit_report: None,
                effect: false,
            };
            self.calls[call].taken = Some(taken);
            return self.at(self.now, Happening::Answers(call));
        }
        if attempt == 0 {
            let _ = self.metrics.first_call.record((self.now - at).max(1));
        }
        let own = &mut self.forwarders[forwarder];
        own.out += 1;
        if self.now < own.waits[partner] {
            self.metrics.violations.retry_after_ignored += 1;
        }
        if key > 0 && own.keys.get(&key).and_then(|open| open.front()).is_some_and(|first| *first != id) {
            self.metrics.violations.out_of_order += 1;
        }
        self.messages[id].out = Some(call);
        let way = self.way();
        self.at(self.now + way, Happening::Reaches(call));
        self.at(until.max(self.now), Happening::TimesOut(call));
    }

    fn reaches(&mut self, call: usize) {
        let Call { message, target, .. } = self.calls[call];
        let (partner, endpoint) = self.targets[target as usize];
        let taken = self.partners[partner].receive_call(self.now, endpoint);
        self.metrics.calls += 1;
        let full = taken.outcome == Some(AttemptOutcome::Rejected);
        self.metrics.rejected += u64::from(full);
        if let Some(second) = self.metrics.second(self.now) {
            second.calls += 1;
            second.rejected += u64::from(full);
        }
        if taken.effect {
            self.takes_effect(self.messages[message].origin, taken.at);
        }
        self.calls[call].taken = Some(taken);
        if taken.outcome.is_some() {
            let way = self.way();
            self.at(taken.at + way, Happening::Answers(call));
        }
    }

    fn takes_effect(&mut self, origin: usize, at: Micros) {
        let origin = &mut self.origins[origin];
        origin.effects += 1;
        if origin.effects == 1 {
            origin.first_effect = at;
            return;
        }
        let twice = match self.classes[origin.coming.class].effect {
            Effect::Repeatable => false,
            Effect::Keyed(window) => at > origin.first_effect + window,
            Effect::Once => true,
        };
        self.metrics.violations.duplicates += u64::from(twice);
    }

    fn answers(&mut self, call: usize) {
        let Some(taken) = self.calls[call].taken else { return };
        if let Some(outcome) = taken.outcome {
            self.ends(call, outcome, taken.wait, taken.limit_report);
        }
    }

    /// An attempt is over, by its answer or its time.
    fn ends(
        &mut self, call: usize, outcome: AttemptOutcome, wait: Micros, limit_report: Option<LimitReport>,
    ) {
        let Call { message, attempt, target, sent, ended, .. } = self.calls[call];
        if ended {
            return;
        }
        self.calls[call].ended = true;
        let forwarder = self.messages[message].forwarder;
        if outcome != AttemptOutcome::NotSent {
            self.forwarders[forwarder].out -= 1;
            self.messages[message].out = None;
        }
        let (partner, _) = self.targets[target as usize];
        if wait > 0 {
            let until = &mut self.forwarders[forwarder].waits[partner];
            *until = (*until).max(self.now + wait);
        }
        if outcome.may_have_run() {
            self.messages[message].ran.get_or_insert(sent);
        }
        if outcome == AttemptOutcome::Delivered && !self.messages[message].finished {
            self.delivered(message);
        }
        let finished = self.messages[message].finished;
        let (id, took) = (message as u64, self.now - sent);
        self.tell(
            forwarder,
            PolicyEvent::AttemptEnded { id, attempt, target, outcome, took, finished, wait, limit_report },
        );
    }

    fn delivered(&mut self, message: usize) {
        let origin = self.messages[message].origin;
        self.close(message);
        let now = self.now;
        let Origin { coming, delivered, .. } = &mut self.origins[origin];
        if std::mem::replace(delivered, true) {
            return;
        }
        let (coming, took) = (*coming, now - coming.at);
        let class = &self.classes[coming.class];
        let earned = worth(class, took);
        let in_time = took <= class.aim;
        self.metrics.in_time += u64::from(in_time);
        self.metrics.late += u64::from(!in_time);
        self.metrics.classes[coming.class].1 += earned;
        let _ = self.metrics.delivery.record(took.max(1));
        if let Some(second) = self.metrics.second(coming.at) {
            second.earned_worth += earned;
        }
        if let Some(second) = self.metrics.second(now) {
            second.delivered += 1;
        }
    }

    fn end(mut self) -> Metrics {
        self.metrics.violations.lost += self.messages.iter().filter(|h| !h.finished).count() as u64;
        self.metrics.violations.overloaded = self.partners.iter().map(|p| p.overloaded).sum();
        self.metrics
    }
}
