//! A small forwarder for tests. It feeds a scheduler, runs its timers, and checks every action against the
//! rules.
#![allow(dead_code)]

use foldtrack_delivery::*;
use std::collections::{BTreeMap, BTreeSet};

pub const MS: u64 = 1000;
pub const S: u64 = 1_000_000;

/// An attempt that the scheduler has sent.
#[derive(Clone, Debug)]
pub struct SentAttempt {
    pub target: TargetId,
    pub at: u64,
    pub until: u64,
    pub outcome: Option<Outcome>,
}

/// A message and what has become of it.
#[derive(Clone, Debug)]
pub struct TestMessage {
    pub class: usize,
    pub destination: DestinationId,
    pub key: u64,
    pub expires: u64,
    pub attempts: Vec<SentAttempt>,
    /// When the scheduler ended the message or it was served.
    pub ended_at: Option<u64>,
    pub served: bool,
    pub refused: bool,
}

/// The forwarder: its scheduler, simulated time, and a record of everything that the rules depend on.
pub struct TestForwarder {
    pub now: u64,
    pub settings: Settings,
    pub scheduler: DeliveryScheduler,
    pub messages: BTreeMap<MessageId, TestMessage>,
    /// Messages by order key, in the order of their submission.
    pub key_order: BTreeMap<u64, Vec<MessageId>>,
    /// Until when each order key is paused.
    pub key_paused_until: BTreeMap<u64, u64>,
    pub endpoints: BTreeMap<TargetId, Endpoint>,
    /// Since when endpoints have been draining or removed.
    pub stopped_at: BTreeMap<TargetId, u64>,
    /// Until when a requested wait lasts, by destination and, for independent routes, target.
    pub waits: BTreeMap<(DestinationId, TargetId), u64>,
    pub timers: BTreeSet<(u64, u32)>,
    /// All actions with their times.
    pub trace: Vec<(u64, Action)>,
    pub violations: Vec<String>,
    cancellations: Vec<(MessageId, usize)>,
    next_id: MessageId,
    list_version: u32,
}

pub fn class(effect: Effect) -> Class {
    Class {
        aim: 2 * S,
        deadline: 20 * S,
        worth: 1.0,
        late_value: 0.5,
        effect,
        dedup_window: 10 * S,
        ..Class::default()
    }
}

pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        senders: 2,
        slots: 12,
        max_held: 300,
        max_attempts: 6,
        may_cancel: true,
        classes,
        rules: Rules {
            drain_grace: S,
            cold_capacity_share: 0.2,
            slow_start_time: 10 * S,
            overload_factor: 2.5,
            overload_duration: 1500 * MS,
            uncertain_key_pause: 100 * MS,
            list_poll_interval: 10 * S,
        },
        max_batch: vec![1],
        independent_routes: vec![false],
        idle_timeout: 15 * S,
        connect_timeout: S,
        streams_per_connection: 8,
        tick: 5 * MS,
        ..Settings::default()
    }
}

pub fn endpoint(target: TargetId, destination: DestinationId) -> Endpoint {
    Endpoint { target, destination, ..Endpoint::default() }
}

impl TestForwarder {
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        let now = 5 * S;
        let mut forwarder = TestForwarder {
            now,
            scheduler: DeliveryScheduler::new(now, 7, settings.clone()),
            settings,
            messages: BTreeMap::new(),
            key_order: BTreeMap::new(),
            key_paused_until: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            stopped_at: BTreeMap::new(),
            waits: BTreeMap::new(),
            timers: BTreeSet::new(),
            trace: Vec::new(),
            violations: Vec::new(),
            cancellations: Vec::new(),
            next_id: 1,
            list_version: 0,
        };
        forwarder.update_list(ListKind::Full, endpoints);
        forwarder
    }

    /// Applies a list of endpoints.
    pub fn update_list(&mut self, kind: ListKind, lines: Vec<Endpoint>) {
        if kind == ListKind::Full {
            let listed: BTreeSet<_> = lines.iter().map(|e| e.target).collect();
            let missing: Vec<_> = self.endpoints.keys().filter(|t| !listed.contains(t)).copied().collect();
            for t in missing {
                self.stopped_at.entry(t).or_insert(self.now);
            }
        }
        for e in &lines {
            match e.state {
                EndpointState::Ready => drop(self.stopped_at.remove(&e.target)),
                _ => drop(self.stopped_at.entry(e.target).or_insert(self.now)),
            }
            self.endpoints.insert(e.target, e.clone());
        }
        self.list_version += 1;
        self.feed(Event::List { kind, version: self.list_version, endpoints: lines });
    }

    /// Submits a message and returns its number.
    pub fn submit(&mut self, class: usize, destination: DestinationId, key: u64) -> MessageId {
        let id = self.next_id;
        self.next_id += 1;
        let expires = self.now + self.settings.classes[class].deadline;
        let key = if self.settings.classes[class].in_order { key } else { 0 };
        let message = TestMessage {
            class,
            destination,
            key,
            expires,
            attempts: vec![],
            ended_at: None,
            served: false,
            refused: false,
        };
        self.messages.insert(id, message);
        if key != 0 {
            self.key_order.entry(key).or_default().push(id);
        }
        self.feed(Event::Request { id, class: class as u32, destination, order_key: key, expires });
        id
    }

    /// Attempts without an outcome, with their messages and numbers.
    pub fn in_flight(&self) -> Vec<(MessageId, usize, SentAttempt)> {
        let all = self
            .messages
            .iter()
            .flat_map(|(id, m)| m.attempts.iter().enumerate().map(|(n, a)| (*id, n, a.clone())));
        all.filter(|(_, _, a)| a.outcome.is_none()).collect()
    }

    /// Ends an attempt with an outcome and the wait that the destination requests.
    pub fn end_attempt(&mut self, id: MessageId, attempt: usize, outcome: Outcome, wait: u64) {
        let now = self.now;
        let Some(m) = self.messages.get_mut(&id) else { return };
        let a = &mut m.attempts[attempt];
        a.outcome = Some(outcome);
        let (target, took) = (a.target, now - a.at);
        if outcome == Outcome::Ok && m.ended_at.is_none() {
            (m.ended_at, m.served) = (Some(now), true);
        }
        if outcome == Outcome::Withheld {
            m.attempts.pop();
        }
        let ended = m.ended_at.is_some();
        let (destination, key) = (m.destination, m.key);
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            self.key_paused_until.insert(key, now + self.settings.rules.uncertain_key_pause);
        }
        if wait > 0 {
            let route = if self.is_independent(target) { target } else { 0 };
            let until = self.waits.entry((destination, route)).or_default();
            *until = (*until).max(now + wait);
        }
        let attempt = attempt as u32;
        self.feed(Event::Outcome { id, attempt, target, outcome, took, ended, wait, report: None });
    }

    fn is_independent(&self, target: TargetId) -> bool {
        let kind = self.endpoints[&target].kind as usize;
        self.settings.independent_routes.get(kind).copied().unwrap_or(false)
    }

    /// Passes one event to the scheduler, lets it decide, and carries out and checks its actions.
    pub fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        self.scheduler.decide(self.now, &mut actions);
        for action in actions {
            self.trace.push((self.now, action.clone()));
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, target, until } => self.send(id, target, until),
            Action::Refuse { id, .. } | Action::Fail { id } => {
                let refuse = matches!(action, Action::Refuse { .. });
                let m = self.messages.get(&id).cloned().unwrap();
                if m.ended_at.is_some() {
                    self.violations.push(format!("message {id} ended twice"));
                }
                if self.now > m.expires + 20 * MS {
                    self.violations.push(format!("message {id} ended too late"));
                }
                let ran = m.attempts.iter().any(may_have_run);
                let class = &self.settings.classes[m.class];
                let keyed_all = class.effect == Effect::Keyed && class.dedup_scope == DedupScope::All;
                if refuse && ran && class.effect != Effect::Repeatable && !keyed_all {
                    self.violations.push(format!("message {id} refused though it may have run"));
                }
                let m = self.messages.get_mut(&id).unwrap();
                (m.ended_at, m.refused) = (Some(self.now), refuse);
            }
            Action::Timer { after, token } => drop(self.timers.insert((self.now + after.max(1), token))),
            Action::Cancel { id, attempt } => match self.messages[&id].attempts.get(attempt as usize) {
                Some(a) if a.outcome.is_none() => self.cancellations.push((id, attempt as usize)),
                Some(_) => {}
                None => self
                    .violations
                    .push(format!("attempt {attempt} of message {id} cancelled before it was made")),
            },
            _ => {}
        }
    }

    fn send(&mut self, id: MessageId, target: TargetId, until: u64) {
        let m = self.messages.get(&id).cloned().unwrap();
        let class = self.settings.classes[m.class].clone();
        let e = self.endpoints[&target].clone();
        let mut violation =
            |text: &str| self.violations.push(format!("at {}: message {id}: {text}", self.now));
        if m.ended_at.is_some() {
            violation("sent after its end");
        }
        if until > m.expires || self.now >= m.expires {
            violation("sent after it expired");
        }
        if e.destination != m.destination {
            violation("sent to another destination");
        }
        if m.attempts.iter().any(|a| a.outcome.is_none()) {
            violation("two attempts at once");
        }
        if m.attempts.len() >= self.settings.max_attempts as usize {
            violation("too many attempts");
        }
        let ran: Vec<_> = m.attempts.iter().filter(|a| may_have_run(a)).collect();
        match (class.effect, ran.first()) {
            (Effect::Once, Some(_)) => violation("an at-most-once message that may have run was repeated"),
            (Effect::Keyed, Some(first)) => {
                if self.now > first.at + class.dedup_window {
                    violation("repeated after its deduplication window");
                }
                if class.dedup_scope == DedupScope::Zone && self.endpoints[&first.target].zone != e.zone {
                    violation("repeated outside its deduplication scope");
                }
            }
            _ => {}
        }
        if self.stopped_at.get(&target).is_some_and(|t| self.now > t + self.settings.rules.drain_grace) {
            violation("sent to a drained endpoint after the grace");
        }
        let route = if self.is_independent(target) { target } else { 0 };
        if self.waits.get(&(m.destination, route)).is_some_and(|t| self.now < *t) {
            self.violations.push(format!("at {}: message {id}: sent during a requested wait", self.now));
        }
        if m.key != 0 {
            let queue = &self.key_order[&m.key];
            let earlier = queue.iter().take_while(|x| **x != id).map(|x| &self.messages[x]);
            let unfinished =
                |m: &TestMessage| m.ended_at.is_none() || m.attempts.iter().any(|a| a.outcome.is_none());
            if earlier.clone().any(unfinished) {
                self.violations.push(format!("at {}: message {id}: sent out of order", self.now));
            }
            let paused = self.key_paused_until.get(&m.key).is_some_and(|t| self.now < *t);
            if paused && m.attempts.is_empty() {
                self.violations.push(format!("at {}: message {id}: sent while its key is paused", self.now));
            }
        }
        let attempt = SentAttempt { target, at: self.now, until, outcome: None };
        self.messages.get_mut(&id).unwrap().attempts.push(attempt);
        if self.settings.max_batch.iter().all(|b| *b == 1) {
            let in_flight = self.in_flight();
            let here =
                in_flight.iter().filter(|(x, _, _)| self.messages[x].destination == m.destination).count();
            if in_flight.len() > self.settings.slots as usize {
                self.violations.push(format!("at {}: {} calls in flight", self.now, in_flight.len()));
            }
            if here as f64 > (f64::from(self.settings.slots) * 0.75).max(1.0) {
                self.violations.push(format!("at {}: {here} calls in flight to one destination", self.now));
            }
        }
    }

    /// Advances time in ticks. `answer` returns the outcome of an attempt and the wait that it requests, or
    /// `None` while there is no answer.
    pub fn run(
        &mut self, span: u64, mut answer: impl FnMut(u64, MessageId, &SentAttempt) -> Option<(Outcome, u64)>,
    ) {
        let end = self.now + span;
        while self.now < end {
            self.now += self.settings.tick;
            for (id, n) in std::mem::take(&mut self.cancellations) {
                if self.messages[&id].attempts[n].outcome.is_none() {
                    self.end_attempt(id, n, Outcome::Cancelled, 0);
                }
            }
            for (id, n, a) in self.in_flight() {
                if let Some((outcome, wait)) = answer(self.now, id, &a) {
                    self.end_attempt(id, n, outcome, wait);
                } else if self.now >= a.until {
                    self.end_attempt(id, n, Outcome::TimedOut, 0);
                }
            }
            while let Some((at, token)) = self.timers.first().copied().filter(|(at, _)| *at <= self.now) {
                self.timers.remove(&(at, token));
                self.feed(Event::Timer { token });
            }
        }
    }

    /// Number of attempts so far.
    pub fn send_count(&self) -> usize {
        self.messages.values().map(|m| m.attempts.len()).sum()
    }

    /// Fails the test if a rule was broken.
    pub fn assert_no_violations(&self) {
        assert!(self.violations.is_empty(), "{:#?}", &self.violations[..self.violations.len().min(5)]);
    }
}

pub fn may_have_run(a: &SentAttempt) -> bool {
    a.outcome.is_none_or(Outcome::may_have_run)
}

/// Answers every attempt successfully after `took`.
pub fn answers_after(took: u64) -> impl FnMut(u64, MessageId, &SentAttempt) -> Option<(Outcome, u64)> {
    move |now, _, a| (now >= a.at + took).then_some((Outcome::Ok, 0))
}

/// Never answers an attempt.
pub fn never_answers(_: u64, _: MessageId, _: &SentAttempt) -> Option<(Outcome, u64)> {
    None
}
