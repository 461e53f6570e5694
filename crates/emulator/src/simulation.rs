//! One play: a world, a policy for each forwarder, a seed. One thread; the same to the byte each time.

use crate::clients::{self, Coming};
use crate::figures::{worth, Figures};
use crate::partner::{Partner, Taken};
use crate::policy::{Class, Deed, Effect, Ending, Line, Maker, News, Policy, Site};
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
    coming: Coming,
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
    over: bool,
    /// When its first call that may have run was sent.
    ran: Option<Micros>,
}

struct Call {
    message: usize,
    attempt: u32,
    target: u32,
    sent: Micros,
    taken: Option<Taken>,
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

struct Play<'a> {
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
    deeds: Vec<Deed>,
    figures: Figures,
}

/// Plays a world once.
pub fn play(world: &World, maker: &dyn Maker, seed: u64) -> Figures {
    let mut seeds = SmallRng::seed_from_u64(seed);
    let mut stream = || SmallRng::seed_from_u64(seeds.random());
    let (mut of_parts, mut of_traffic, random) = (stream(), stream(), stream());
    let parts = clients::parts(world, &mut of_parts);
    let coming = clients::coming(world, &parts, &mut of_traffic);
    let partners: Vec<Partner> =
        world.partners.iter().map(|line| Partner::new(line, world, stream())).collect();
    let endpoints = world.partners.iter().enumerate();
    let targets: Vec<(usize, usize)> =
        endpoints.flat_map(|(p, line)| (0..line.endpoints as usize).map(move |e| (p, e))).collect();
    let classes = world.classes();
    let site = |place: u32, seed: u64| Site {
        forwarders: world.fleet.forwarders,
        place,
        slots: world.fleet.slots,
        held: world.fleet.held,
        attempts: world.fleet.attempts,
        classes: classes.clone(),
        cold: world.cold(),
        seed,
    };
    let forwarder = |place: u32, seed: u64| Forwarder {
        policy: maker.make(&site(place, seed)),
        held: 0,
        out: 0,
        waits: vec![0; world.partners.len()],
        keys: HashMap::new(),
    };
    let forwarders = (0..world.fleet.forwarders).map(|n| forwarder(n, stream().random())).collect();
    let mut play = Play {
        world,
        figures: Figures::new(classes.len(), world.fleet.lasts),
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
        deeds: Vec::new(),
    };
    for n in 0..play.forwarders.len() {
        let late = play.random.random_range(0..=world.fleet.list_late);
        play.at(late, Happening::List(n));
    }
    for coming in coming {
        play.at(coming.at, Happening::Comes(play.origins.len()));
        play.origins.push(Origin { coming, tries: 0, delivered: false, effects: 0, first_effect: 0 });
    }
    play.run();
    play.end()
}

impl Play<'_> {
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
                    let Coming { forwarder, class, .. } = self.origins[origin].coming;
                    let asked = self.classes[class].worth;
                    self.figures.messages += 1;
                    self.figures.classes[class].0 += asked;
                    if let Some(second) = self.figures.second(time) {
                        second.came += 1;
                        second.asked += asked;
                    }
                    self.hand_in(origin, forwarder);
                }
                Happening::Again { origin, forwarder } => self.hand_in(origin, forwarder),
                Happening::Reaches(call) => self.reaches(call),
                Happening::Answers(call) => self.answers(call),
                Happening::TimesOut(call) => self.ends(call, Ending::TimedOut, 0, None),
                Happening::Wakes { forwarder, token } => self.tell(forwarder, News::Wake { token }),
            }
        }
    }

    /// Tells a forwarder what has happened, and does what it says.
    fn tell(&mut self, forwarder: usize, news: News) {
        let mut deeds = std::mem::take(&mut self.deeds);
        let policy = &mut self.forwarders[forwarder].policy;
        policy.hear(self.now, news, &mut deeds);
        policy.decide(self.now, &mut deeds);
        for deed in deeds.drain(..) {
            match deed {
                Deed::Send { id, target, until } => self.send(forwarder, id as usize, target, until),
                Deed::Refuse { id, again_after } => self.over(id as usize, Some(again_after)),
                Deed::Fail { id } => self.over(id as usize, None),
                Deed::Wake { after, token } => {
                    self.at(self.now + after, Happening::Wakes { forwarder, token })
                }
            }
        }
        self.deeds = deeds;
    }

    fn list(&mut self, forwarder: usize) {
        let line = |(target, (partner, _)): (usize, &(usize, usize))| {
            let told = &self.world.partners[*partner];
            Line {
                target: target as u32,
                partner: *partner as u32,
                rate: if told.listed { told.limit } else { 0.0 },
            }
        };
        let lines = self.targets.iter().enumerate().map(line).collect();
        self.tell(forwarder, News::List(lines));
    }

    fn hand_in(&mut self, origin: usize, forwarder: usize) {
        let Coming { at: born, class, partner, key, .. } = self.origins[origin].coming;
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
            over: false,
            ran: None,
        });
        if key > 0 {
            self.forwarders[forwarder].keys.entry(key).or_default().push_back(id);
        }
        let expires = born + self.classes[class].deadline;
        let news =
            News::Message { id: id as u64, class: class as u32, partner: partner as u32, key, expires };
        self.tell(forwarder, news);
    }

    /// A client whose message was refused comes again, or does not: not later than it is told that it does no harm.
    fn again(&mut self, origin: usize, told: Micros, harmless_until: Micros) {
        let traffic = &self.world.traffic;
        let Origin { coming, tries, .. } = self.origins[origin];
        let pause = self.random.random_range(traffic.again_after.0..=traffic.again_after.1).max(told);
        let expires = coming.at + self.classes[coming.class].deadline;
        if tries > traffic.again || self.now + pause >= expires.min(harmless_until) {
            self.figures.refused += 1;
            return;
        }
        let forwarder = match coming.key {
            0 => clients::draw(&mut self.random, &self.parts),
            _ => coming.forwarder,
        };
        self.at(self.now + pause, Happening::Again { origin, forwarder });
    }

    /// A message ends undelivered: handed back, with advice when to come again, or failed.
    fn over(&mut self, id: usize, handed_back: Option<Micros>) {
        let Some(held) = self.messages.get(id).filter(|h| !h.over) else { return };
        let (origin, ran) = (held.origin, held.ran);
        // What may have run is harmless only as long as its partner drops repeats: as `harmless_until` tells clients of a site.
        let harmless_until = match (ran, self.classes[self.origins[origin].coming.class].effect) {
            (Some(ran), Effect::Keyed(window)) => ran + window.saturating_sub(HARMLESS_MARGIN),
            _ => Micros::MAX,
        };
        self.close(id);
        match handed_back {
            Some(again_after) => self.again(origin, again_after, harmless_until),
            None => self.figures.failed += 1,
        }
    }

    fn close(&mut self, id: usize) {
        let held = &mut self.messages[id];
        held.over = true;
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
            self.figures.breaches.lost += 1;
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
        let refused = held.over
            || held.forwarder != forwarder
            || held.out.is_some()
            || attempt >= self.world.fleet.attempts
            || self.forwarders[forwarder].out >= self.world.fleet.slots;
        self.calls.push(Call { message: id, attempt, target, sent: self.now, taken: None, ended: false });
        self.messages[id].attempts += 1;
        if refused {
            // It never leaves; the policy hears of it like of any other.
            let taken =
                Taken { ending: Some(Ending::NotSent), at: self.now, wait: 0, told: None, effect: false };
            self.calls[call].taken = Some(taken);
            return self.at(self.now, Happening::Answers(call));
        }
        if attempt == 0 {
            let _ = self.figures.first.record((self.now - at).max(1));
        }
        let own = &mut self.forwarders[forwarder];
        own.out += 1;
        if self.now < own.waits[partner] {
            self.figures.breaches.waits_broken += 1;
        }
        if key > 0 && own.keys.get(&key).and_then(|open| open.front()).is_some_and(|first| *first != id) {
            self.figures.breaches.out_of_order += 1;
        }
        self.messages[id].out = Some(call);
        let way = self.way();
        self.at(self.now + way, Happening::Reaches(call));
        self.at(until.max(self.now), Happening::TimesOut(call));
    }

    fn reaches(&mut self, call: usize) {
        let Call { message, target, .. } = self.calls[call];
        let (partner, endpoint) = self.targets[target as usize];
        let taken = self.partners[partner].takes(self.now, endpoint);
        self.figures.calls += 1;
        let full = taken.ending == Some(Ending::Full);
        self.figures.full += u64::from(full);
        if let Some(second) = self.figures.second(self.now) {
            second.calls += 1;
            second.full += u64::from(full);
        }
        if taken.effect {
            self.takes_effect(self.messages[message].origin, taken.at);
        }
        self.calls[call].taken = Some(taken);
        if taken.ending.is_some() {
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
        self.figures.breaches.twice += u64::from(twice);
    }

    fn answers(&mut self, call: usize) {
        let Some(taken) = self.calls[call].taken else { return };
        if let Some(ending) = taken.ending {
            self.ends(call, ending, taken.wait, taken.told);
        }
    }

    /// An attempt is over, by its answer or its time.
    fn ends(&mut self, call: usize, ending: Ending, wait: Micros, told: Option<crate::policy::Told>) {
        let Call { message, attempt, target, sent, ended, .. } = self.calls[call];
        if ended {
            return;
        }
        self.calls[call].ended = true;
        let forwarder = self.messages[message].forwarder;
        if ending != Ending::NotSent {
            self.forwarders[forwarder].out -= 1;
            self.messages[message].out = None;
        }
        let (partner, _) = self.targets[target as usize];
        if wait > 0 {
            let until = &mut self.forwarders[forwarder].waits[partner];
            *until = (*until).max(self.now + wait);
        }
        if ending.may_have_run() {
            self.messages[message].ran.get_or_insert(sent);
        }
        if ending == Ending::Done && !self.messages[message].over {
            self.delivered(message);
        }
        let over = self.messages[message].over;
        let (id, took) = (message as u64, self.now - sent);
        self.tell(forwarder, News::Ended { id, attempt, target, ending, took, over, wait, told });
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
        self.figures.in_time += u64::from(in_time);
        self.figures.late += u64::from(!in_time);
        self.figures.classes[coming.class].1 += earned;
        let _ = self.figures.took.record(took.max(1));
        if let Some(second) = self.figures.second(coming.at) {
            second.earned += earned;
        }
        if let Some(second) = self.figures.second(now) {
            second.done += 1;
        }
    }

    fn end(mut self) -> Figures {
        self.figures.breaches.lost += self.messages.iter().filter(|h| !h.over).count() as u64;
        self.figures.breaches.pushed_over = self.partners.iter().map(|p| p.pushed_over).sum();
        self.figures
    }
}
