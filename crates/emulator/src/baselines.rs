//! Baseline policies for comparison, on the same interface as the delivery scheduler. Each obeys the delivery rules and
//! otherwise does only what its name says.

use crate::policy::{
    AttemptOutcome, Command, Effect, ListedEndpoint, Policy, PolicyEvent, PolicyFactory, Site,
};
use crate::{Micros, SECOND};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};

/// Time-out of a call.
const CALL_TIMEOUT: Micros = 2 * SECOND;
/// Pause of an order key after a call that may still be running.
const UNCERTAIN_KEY_PAUSE: Micros = 100_000;
/// A repeat is not sent within this time of the end of its deduplication window, because it has to arrive before that. A
/// tenth of it is the margin before a message's deadline.
const DEDUP_MARGIN: Micros = 500_000;
/// Upper bound of the first backoff pause, before the first doubling.
const INITIAL_BACKOFF: Micros = 200_000;
/// Upper bound of every backoff pause.
const MAX_BACKOFF: Micros = 3_200_000;

/// A baseline policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// One attempt for each message, in the order of arrival.
    OneTry,
    /// Retries with exponential backoff and full jitter.
    BackOff,
    /// Additive increase, multiplicative decrease of the calls in flight to each partner: the window grows by one for each
    /// window of successful answers and is halved after a rejection or a time-out.
    Aimd,
    /// Sends at most an equal share of the rate that the endpoint list publishes.
    EvenPart,
}

impl Baseline {
    /// All baselines.
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
        Box::new(BaselinePolicy {
            kind: *self,
            site: site.clone(),
            random: SmallRng::seed_from_u64(site.seed),
            targets: BTreeMap::new(),
            partners: BTreeMap::new(),
            messages: BTreeMap::new(),
            last_number: 0,
            numbers: HashMap::new(),
            in_flight: 0,
            key_pauses: HashMap::new(),
            wake_at: 0,
        })
    }
}

/// A message that the forwarder holds.
struct Message {
    id: u64,
    class: usize,
    partner: u32,
    key: u64,
    expires: Micros,
    attempts: u32,
    in_flight: bool,
    not_before: Micros,
    /// Time from which the deduplication window counts, set by the first call that may have run.
    may_have_run_at: Option<Micros>,
}

/// What the forwarder knows of a partner.
struct Partner {
    /// End of the wait that the partner requested.
    wait_until: Micros,
    /// Calls in flight.
    in_flight: u32,
    /// Congestion window of [`Baseline::Aimd`], in calls.
    window: f64,
    /// Calls per second of [`Baseline::EvenPart`], 0 for no limit.
    rate: f64,
    /// Token bucket of [`Baseline::EvenPart`].
    tokens: f64,
    /// When `tokens` was last refilled.
    refilled_at: Micros,
}

/// The state of a baseline at one forwarder.
struct BaselinePolicy {
    kind: Baseline,
    site: Site,
    random: SmallRng,
    targets: BTreeMap<u32, Vec<u32>>,
    partners: BTreeMap<u32, Partner>,
    /// Messages by their local number, which follows the order of arrival.
    messages: BTreeMap<u64, Message>,
    last_number: u64,
    /// Local numbers by message id.
    numbers: HashMap<u64, u64>,
    /// Calls in flight to all partners.
    in_flight: u32,
    /// Earliest time of the next call, by order key.
    key_pauses: HashMap<u64, Micros>,
    /// Time of the pending wake-up, 0 for none.
    wake_at: Micros,
}

impl BaselinePolicy {
    fn apply_list(&mut self, endpoints: &[ListedEndpoint]) {
        self.targets.clear();
        for endpoint in endpoints {
            self.targets.entry(endpoint.partner).or_default().push(endpoint.target);
            let equal_share = endpoint.rate / f64::from(self.site.forwarders);
            let new_partner = || Partner {
                wait_until: 0,
                in_flight: 0,
                window: 1.0,
                rate: equal_share,
                tokens: 1.0,
                refilled_at: 0,
            };
            self.partners.entry(endpoint.partner).or_insert_with(new_partner);
        }
    }

    fn attempt_ended(&mut self, now: Micros, id: u64, outcome: AttemptOutcome, wait: Micros, finished: bool) {
        let Some(number) = self.numbers.get(&id).copied() else { return };
        let Some(message) = self.messages.get_mut(&number) else { return };
        message.in_flight = false;
        let partner = message.partner;
        if outcome != AttemptOutcome::NotSent {
            self.in_flight -= 1;
        }
        if let Some(partner) = self.partners.get_mut(&partner).filter(|_| outcome != AttemptOutcome::NotSent)
        {
            partner.in_flight -= 1;
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
                self.key_pauses.insert(message.key, now + UNCERTAIN_KEY_PAUSE);
            }
            // The send time is not known here: the call was sent at most one time-out ago, so that the window is taken
            // to start then.
            message.may_have_run_at.get_or_insert(now.saturating_sub(CALL_TIMEOUT));
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
                let max_pause = (INITIAL_BACKOFF << message.attempts.min(10)).min(MAX_BACKOFF);
                self.random.random_range(0..=max_pause)
            }
        };
        message.not_before = now.saturating_add(pause);
    }

    /// Whether a message must not be sent again: out of attempts, expired, or a repeat could take effect twice.
    fn is_exhausted(&self, message: &Message, now: Micros) -> bool {
        let attempts_used =
            message.attempts >= if self.kind == Baseline::OneTry { 1 } else { self.site.max_attempts };
        let unsafe_now =
            message.may_have_run_at.is_some_and(|ran| match self.site.classes[message.class].effect {
                Effect::Repeatable => false,
                Effect::Keyed(window) => now + DEDUP_MARGIN > ran + window,
                Effect::Once => true,
            });
        attempts_used || unsafe_now || now + DEDUP_MARGIN / 10 >= message.expires
    }

    /// Whether the partner may be called now, by its requested wait and by the policy's own limit.
    fn may_call(&mut self, now: Micros, partner: u32) -> bool {
        let Some(p) = self.partners.get_mut(&partner) else { return false };
        if now < p.wait_until {
            return false;
        }
        match self.kind {
            Baseline::Aimd => f64::from(p.in_flight) < p.window.floor(),
            Baseline::EvenPart if p.rate > 0.0 => {
                p.tokens = (p.tokens + p.rate * (now - p.refilled_at) as f64 / 1e6).min(1.0);
                p.refilled_at = now;
                p.tokens >= 1.0
            }
            _ => true,
        }
    }
}

impl Policy for BaselinePolicy {
    fn handle_event(&mut self, now: Micros, event: PolicyEvent, _commands: &mut Vec<Command>) {
        match event {
            PolicyEvent::List(endpoints) => self.apply_list(&endpoints),
            PolicyEvent::Message { id, class, partner, key, expires } => {
                self.last_number += 1;
                self.numbers.insert(id, self.last_number);
                let message = Message {
                    id,
                    class: class as usize,
                    partner,
                    key,
                    expires,
                    attempts: 0,
                    in_flight: false,
                    not_before: 0,
                    may_have_run_at: None,
                };
                self.messages.insert(self.last_number, message);
            }
            PolicyEvent::AttemptEnded { id, outcome, wait, finished, .. } => {
                self.attempt_ended(now, id, outcome, wait, finished)
            }
            PolicyEvent::Wake { .. } => self.wake_at = 0,
        }
    }

    fn decide(&mut self, now: Micros, commands: &mut Vec<Command>) {
        let mut wake = Micros::MAX;
        let mut seen_keys: Vec<u64> = Vec::new();
        for number in self.messages.keys().copied().collect::<Vec<_>>() {
            let message = &self.messages[&number];
            let (id, key, partner, expires) = (message.id, message.key, message.partner, message.expires);
            let blocked_by_key = key > 0 && seen_keys.contains(&key);
            if key > 0 {
                seen_keys.push(key);
            }
            if message.in_flight {
                continue;
            }
            if self.is_exhausted(message, now) {
                let harmless = message.may_have_run_at.is_none();
                commands.push(if harmless {
                    Command::Refuse { id, retry_after: 0 }
                } else {
                    Command::Fail { id }
                });
                self.messages.remove(&number);
                self.numbers.remove(&id);
                // The next message with this key may be sent in the next round.
                wake = wake.min(now + 1);
                continue;
            }
            wake = wake.min(expires.saturating_sub(DEDUP_MARGIN / 10));
            let key_pause = self.key_pauses.get(&key).copied().filter(|_| key > 0).unwrap_or(0);
            let earliest = message
                .not_before
                .max(key_pause)
                .max(self.partners.get(&partner).map_or(0, |p| p.wait_until));
            if earliest > now {
                wake = wake.min(earliest);
                continue;
            }
            if blocked_by_key || self.in_flight >= self.site.slots || !self.may_call(now, partner) {
                continue;
            }
            let Some(targets) = self.targets.get(&partner) else { continue };
            let target = targets[self.random.random_range(0..targets.len())];
            commands.push(Command::Send { id, target, until: (now + CALL_TIMEOUT).min(expires) });
            self.in_flight += 1;
            if let Some(p) = self.partners.get_mut(&partner) {
                p.in_flight += 1;
                p.tokens -= 1.0;
            }
            if let Some(message) = self.messages.get_mut(&number) {
                (message.in_flight, message.attempts) = (true, message.attempts + 1);
            }
        }
        if self.kind == Baseline::EvenPart {
            // Messages that wait for anything but a token are woken by that other event.
            let waiting =
                self.messages.values().filter(|m| !m.in_flight).filter_map(|m| self.partners.get(&m.partner));
            let without_token = waiting.filter(|p| p.rate > 0.0 && p.tokens < 1.0);
            let soonest = without_token
                .map(|p| p.refilled_at.max(now) + ((1.0 - p.tokens) / p.rate * 1e6) as Micros + 1)
                .min();
            wake = wake.min(soonest.unwrap_or(Micros::MAX));
        }
        if wake != Micros::MAX && (self.wake_at <= now || wake < self.wake_at) {
            self.wake_at = wake.max(now + 1);
            commands.push(Command::Wake { after: self.wake_at - now, token: 0 });
        }
    }
}
