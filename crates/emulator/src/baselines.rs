//! Plain policies on the same interface, to compare with: each keeps the rules, none learns more than its name says.

use crate::policy::{
    AttemptOutcome, Command, Effect, ListedEndpoint, Policy, PolicyEvent, PolicyFactory, Site,
};
use crate::{Micros, SECOND};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};

/// A call is given up after this time.
const TIME_OUT: Micros = 2 * SECOND;
/// A key rests for so long after a call that may still run.
const REST: Micros = 100_000;
/// A repeat is not sent so close to the end of its window: it has to arrive.
const MARGIN: Micros = 500_000;
/// First pause of those that back off, and the longest.
const FIRST_PAUSE: Micros = 200_000;
const LONGEST_PAUSE: Micros = 3_200_000;

/// Which one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// One try for each message, in the order of arrival.
    OneTry,
    /// Tries again after a pause that doubles, with full jitter.
    BackOff,
    /// A window for each partner: one more for each window's worth of answers, half after a refusal.
    Aimd,
    /// Its even part of the rate that the list tells, and no more.
    EvenPart,
}

impl Baseline {
    /// All of them.
    pub const ALL: [Baseline; 4] = [Baseline::OneTry, Baseline::BackOff, Baseline::Aimd, Baseline::EvenPart];
}

impl PolicyFactory for Baseline {
    fn name(&self) -> &str {
        match self {
            Baseline::OneTry => "one-try",
            Baseline::BackOff => "back-off",
            Baseline::Aimd => "aimd",
            Baseline::EvenPart => "even-part",
        }
    }

    fn create(&self, site: &Site) -> Box<dyn Policy> {
        Box::new(Plain {
            kind: *self,
            site: site.clone(),
            random: SmallRng::seed_from_u64(site.seed),
            targets: BTreeMap::new(),
            partners: BTreeMap::new(),
            messages: BTreeMap::new(),
            next: 0,
            numbers: HashMap::new(),
            out: 0,
            keys: HashMap::new(),
            woken: 0,
        })
    }
}

struct Message {
    id: u64,
    class: usize,
    partner: u32,
    key: u64,
    expires: Micros,
    attempts: u32,
    out: bool,
    not_before: Micros,
    /// Its first call that may have run.
    ran: Option<Micros>,
}

struct Partner {
    wait_until: Micros,
    out: u32,
    window: f64,
    rate: f64,
    tokens: f64,
    at: Micros,
}

struct Plain {
    kind: Baseline,
    site: Site,
    random: SmallRng,
    targets: BTreeMap<u32, Vec<u32>>,
    partners: BTreeMap<u32, Partner>,
    /// In the order in which they came.
    messages: BTreeMap<u64, Message>,
    next: u64,
    numbers: HashMap<u64, u64>,
    out: u32,
    /// When a key may be sent again.
    keys: HashMap<u64, Micros>,
    woken: Micros,
}

impl Plain {
    fn list(&mut self, lines: &[ListedEndpoint]) {
        self.targets.clear();
        for line in lines {
            self.targets.entry(line.partner).or_default().push(line.target);
            let even = line.rate / f64::from(self.site.forwarders);
            let fresh = || Partner { wait_until: 0, out: 0, window: 1.0, rate: even, tokens: 1.0, at: 0 };
            self.partners.entry(line.partner).or_insert_with(fresh);
        }
    }

    fn ended(&mut self, now: Micros, id: u64, outcome: AttemptOutcome, wait: Micros, finished: bool) {
        let Some(number) = self.numbers.get(&id).copied() else { return };
        let Some(message) = self.messages.get_mut(&number) else { return };
        message.out = false;
        let partner = message.partner;
        if outcome != AttemptOutcome::NotSent {
            self.out -= 1;
        }
        if let Some(partner) = self.partners.get_mut(&partner).filter(|_| outcome != AttemptOutcome::NotSent)
        {
            partner.out -= 1;
            partner.wait_until = partner.wait_until.max(now + wait);
            match outcome {
                AttemptOutcome::Delivered => partner.window += 1.0 / partner.window,
                AttemptOutcome::Rejected | AttemptOutcome::TimedOut => {
                    partner.window = (partner.window / 2.0).max(1.0)
                }
                _ => {}
            }
        }
        if outcome.may_have_run() {
            if message.key > 0 {
                self.keys.insert(message.key, now + REST);
            }
            // It left earlier; its window counts from then, at the latest from its time-out.
            message.ran.get_or_insert(now.saturating_sub(TIME_OUT));
        }
        if finished {
            self.messages.remove(&number);
            self.numbers.remove(&id);
            return;
        }
        let pause = match self.kind {
            Baseline::OneTry => Micros::MAX,
            Baseline::EvenPart | Baseline::Aimd => 0,
            Baseline::BackOff => {
                let most = (FIRST_PAUSE << message.attempts.min(10)).min(LONGEST_PAUSE);
                self.random.random_range(0..=most)
            }
        };
        message.not_before = now.saturating_add(pause);
    }

    /// Whether a message must not be sent any more, whatever comes.
    fn is_spent(&self, message: &Message, now: Micros) -> bool {
        let tried =
            message.attempts >= if self.kind == Baseline::OneTry { 1 } else { self.site.max_attempts };
        let unsafe_now = message.ran.is_some_and(|ran| match self.site.classes[message.class].effect {
            Effect::Repeatable => false,
            Effect::Keyed(window) => now + MARGIN > ran + window,
            Effect::Once => true,
        });
        tried || unsafe_now || now + MARGIN / 10 >= message.expires
    }

    fn may_call(&mut self, now: Micros, partner: u32) -> bool {
        let Some(p) = self.partners.get_mut(&partner) else { return false };
        if now < p.wait_until {
            return false;
        }
        match self.kind {
            Baseline::Aimd => f64::from(p.out) < p.window.floor(),
            Baseline::EvenPart if p.rate > 0.0 => {
                p.tokens = (p.tokens + p.rate * (now - p.at) as f64 / 1e6).min(1.0);
                p.at = now;
                p.tokens >= 1.0
            }
            _ => true,
        }
    }
}

impl Policy for Plain {
    fn handle_event(&mut self, now: Micros, event: PolicyEvent, _deeds: &mut Vec<Command>) {
        match event {
            PolicyEvent::List(lines) => self.list(&lines),
            PolicyEvent::Message { id, class, partner, key, expires } => {
                self.next += 1;
                self.numbers.insert(id, self.next);
                let message = Message {
                    id,
                    class: class as usize,
                    partner,
                    key,
                    expires,
                    attempts: 0,
                    out: false,
                    not_before: 0,
                    ran: None,
                };
                self.messages.insert(self.next, message);
            }
            PolicyEvent::AttemptEnded { id, outcome, wait, finished, .. } => {
                self.ended(now, id, outcome, wait, finished)
            }
            PolicyEvent::Wake { .. } => self.woken = 0,
        }
    }

    fn decide(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let mut wake = Micros::MAX;
        let mut busy: Vec<u64> = Vec::new();
        for number in self.messages.keys().copied().collect::<Vec<_>>() {
            let message = &self.messages[&number];
            let (id, key, partner, expires) = (message.id, message.key, message.partner, message.expires);
            let behind = key > 0 && busy.contains(&key);
            if key > 0 {
                busy.push(key);
            }
            if message.out {
                continue;
            }
            if self.is_spent(message, now) {
                let harmless = message.ran.is_none();
                commands.push(if harmless {
                    Command::Refuse { id, retry_after: 0 }
                } else {
                    Command::Fail { id }
                });
                self.messages.remove(&number);
                self.numbers.remove(&id);
                // The next one of its key may go in the next round.
                wake = wake.min(now + 1);
                continue;
            }
            wake = wake.min(expires.saturating_sub(MARGIN / 10));
            let rests = self.keys.get(&key).copied().filter(|_| key > 0).unwrap_or(0);
            let earliest =
                message.not_before.max(rests).max(self.partners.get(&partner).map_or(0, |p| p.wait_until));
            if earliest > now {
                wake = wake.min(earliest);
                continue;
            }
            if behind || self.out >= self.site.slots || !self.may_call(now, partner) {
                continue;
            }
            let Some(targets) = self.targets.get(&partner) else { continue };
            let target = targets[self.random.random_range(0..targets.len())];
            commands.push(Command::Send { id, target, until: (now + TIME_OUT).min(expires) });
            self.out += 1;
            if let Some(p) = self.partners.get_mut(&partner) {
                p.out += 1;
                p.tokens -= 1.0;
            }
            if let Some(message) = self.messages.get_mut(&number) {
                (message.out, message.attempts) = (true, message.attempts + 1);
            }
        }
        if self.kind == Baseline::EvenPart {
            // Who waits for something else than his part is woken by that.
            let waiting =
                self.messages.values().filter(|m| !m.out).filter_map(|m| self.partners.get(&m.partner));
            let short = waiting.filter(|p| p.rate > 0.0 && p.tokens < 1.0);
            let soonest =
                short.map(|p| p.at.max(now) + ((1.0 - p.tokens) / p.rate * 1e6) as Micros + 1).min();
            wake = wake.min(soonest.unwrap_or(Micros::MAX));
        }
        if wake != Micros::MAX && (self.woken <= now || wake < self.woken) {
            self.woken = wake.max(now + 1);
            commands.push(Command::Wake { after: self.woken - now, token: 0 });
        }
    }
}
