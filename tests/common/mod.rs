//! A forwarder in small: it feeds a module, carries out its timers and checks every action against the rules.
#![allow(dead_code)]

use foldtrack_delivery::*;
use std::collections::{BTreeMap, BTreeSet};

pub const MS: u64 = 1000;
pub const S: u64 = 1_000_000;

/// An attempt as the field sees it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub target: TargetId,
    pub at: u64,
    pub until: u64,
    pub outcome: Option<Outcome>,
}

#[derive(Clone, Debug)]
pub struct Mail {
    pub class: usize,
    pub destination: DestinationId,
    pub key: u64,
    pub expires: u64,
    pub sent: Vec<Sent>,
    /// Answered by the module or served.
    pub over: Option<u64>,
    pub served: bool,
    pub refused: bool,
}

pub struct Field {
    pub now: u64,
    pub settings: Settings,
    pub brain: DeliveryScheduler,
    pub mail: BTreeMap<MessageId, Mail>,
    pub order: BTreeMap<u64, Vec<MessageId>>,
    pub rests: BTreeMap<u64, u64>,
    pub endpoints: BTreeMap<TargetId, Endpoint>,
    pub stopped: BTreeMap<TargetId, u64>,
    pub waits: BTreeMap<(DestinationId, TargetId), u64>,
    pub timers: BTreeSet<(u64, u32)>,
    pub trace: Vec<(u64, Action)>,
    pub broken: Vec<String>,
    called_off: Vec<(MessageId, usize)>,
    next: MessageId,
    list: u32,
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

impl Field {
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        let now = 5 * S;
        let mut field = Field {
            now,
            brain: DeliveryScheduler::new(now, 7, settings.clone()),
            settings,
            mail: BTreeMap::new(),
            order: BTreeMap::new(),
            rests: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            stopped: BTreeMap::new(),
            waits: BTreeMap::new(),
            timers: BTreeSet::new(),
            trace: Vec::new(),
            broken: Vec::new(),
            called_off: Vec::new(),
            next: 1,
            list: 0,
        };
        field.list(ListKind::Full, endpoints);
        field
    }

    pub fn list(&mut self, kind: ListKind, lines: Vec<Endpoint>) {
        if kind == ListKind::Full {
            let named: BTreeSet<_> = lines.iter().map(|e| e.target).collect();
            let lacking: Vec<_> = self.endpoints.keys().filter(|t| !named.contains(t)).copied().collect();
            for t in lacking {
                self.stopped.entry(t).or_insert(self.now);
            }
        }
        for e in &lines {
            match e.state {
                EndpointState::Ready => drop(self.stopped.remove(&e.target)),
                _ => drop(self.stopped.entry(e.target).or_insert(self.now)),
            }
            self.endpoints.insert(e.target, e.clone());
        }
        self.list += 1;
        self.feed(Event::List { kind, version: self.list, endpoints: lines });
    }

    pub fn request(&mut self, class: usize, destination: DestinationId, key: u64) -> MessageId {
        let id = self.next;
        self.next += 1;
        let expires = self.now + self.settings.classes[class].deadline;
        let key = if self.settings.classes[class].in_order { key } else { 0 };
        let mail = Mail {
            class,
            destination,
            key,
            expires,
            sent: vec![],
            over: None,
            served: false,
            refused: false,
        };
        self.mail.insert(id, mail);
        if key != 0 {
            self.order.entry(key).or_default().push(id);
        }
        self.feed(Event::Request { id, class: class as u32, destination, order_key: key, expires });
        id
    }

    pub fn out(&self) -> Vec<(MessageId, usize, Sent)> {
        let all =
            self.mail.iter().flat_map(|(id, m)| m.sent.iter().enumerate().map(|(n, a)| (*id, n, a.clone())));
        all.filter(|(_, _, a)| a.outcome.is_none()).collect()
    }

    pub fn end(&mut self, id: MessageId, attempt: usize, outcome: Outcome, wait: u64) {
        let now = self.now;
        let Some(m) = self.mail.get_mut(&id) else { return };
        let a = &mut m.sent[attempt];
        a.outcome = Some(outcome);
        let (target, took) = (a.target, now - a.at);
        if outcome == Outcome::Ok && m.over.is_none() {
            (m.over, m.served) = (Some(now), true);
        }
        if outcome == Outcome::Withheld {
            m.sent.pop();
        }
        let ended = m.over.is_some();
        let (destination, key) = (m.destination, m.key);
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            self.rests.insert(key, now + self.settings.rules.uncertain_key_pause);
        }
        if wait > 0 {
            let route = if self.apart(target) { target } else { 0 };
            let until = self.waits.entry((destination, route)).or_default();
            *until = (*until).max(now + wait);
        }
        let attempt = attempt as u32;
        self.feed(Event::Outcome { id, attempt, target, outcome, took, ended, wait, report: None });
    }

    fn apart(&self, target: TargetId) -> bool {
        let kind = self.endpoints[&target].kind as usize;
        self.settings.independent_routes.get(kind).copied().unwrap_or(false)
    }

    /// Passes one event in, lets the module decide, and carries out and checks what it says.
    pub fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.brain.handle(self.now, event, &mut actions);
        self.brain.decide(self.now, &mut actions);
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
                let m = self.mail.get(&id).cloned().unwrap();
                if m.over.is_some() {
                    self.broken.push(format!("message {id} ended twice"));
                }
                if self.now > m.expires + 20 * MS {
                    self.broken.push(format!("message {id} ended too late"));
                }
                let ran = m.sent.iter().any(may_have_run);
                let class = &self.settings.classes[m.class];
                let keyed_all = class.effect == Effect::Keyed && class.dedup_scope == DedupScope::All;
                if refuse && ran && class.effect != Effect::Repeatable && !keyed_all {
                    self.broken.push(format!("message {id} refused though it may have run"));
                }
                let m = self.mail.get_mut(&id).unwrap();
                (m.over, m.refused) = (Some(self.now), refuse);
            }
            Action::Timer { after, token } => drop(self.timers.insert((self.now + after.max(1), token))),
            Action::Cancel { id, attempt } => match self.mail[&id].sent.get(attempt as usize) {
                Some(a) if a.outcome.is_none() => self.called_off.push((id, attempt as usize)),
                Some(_) => {}
                None => self.broken.push(format!("attempt {attempt} of message {id} called off unmade")),
            },
            _ => {}
        }
    }

    fn send(&mut self, id: MessageId, target: TargetId, until: u64) {
        let m = self.mail.get(&id).cloned().unwrap();
        let class = self.settings.classes[m.class].clone();
        let e = self.endpoints[&target].clone();
        let mut broken = |text: &str| self.broken.push(format!("at {}: message {id}: {text}", self.now));
        if m.over.is_some() {
            broken("sent after its end");
        }
        if until > m.expires || self.now >= m.expires {
            broken("sent past its time");
        }
        if e.destination != m.destination {
            broken("sent to another destination");
        }
        if m.sent.iter().any(|a| a.outcome.is_none()) {
            broken("two attempts at once");
        }
        if m.sent.len() >= self.settings.max_attempts as usize {
            broken("too many attempts");
        }
        let ran: Vec<_> = m.sent.iter().filter(|a| may_have_run(a)).collect();
        match (class.effect, ran.first()) {
            (Effect::Once, Some(_)) => broken("an unsafe message that may have run was repeated"),
            (Effect::Keyed, Some(first)) => {
                if self.now > first.at + class.dedup_window {
                    broken("repeated outside its window");
                }
                if class.dedup_scope == DedupScope::Zone && self.endpoints[&first.target].zone != e.zone {
                    broken("repeated outside its group");
                }
            }
            _ => {}
        }
        if self.stopped.get(&target).is_some_and(|t| self.now > t + self.settings.rules.drain_grace) {
            broken("sent to a drained endpoint after the grace");
        }
        let route = if self.apart(target) { target } else { 0 };
        if self.waits.get(&(m.destination, route)).is_some_and(|t| self.now < *t) {
            self.broken.push(format!("at {}: message {id}: sent in a wait", self.now));
        }
        if m.key != 0 {
            let line = &self.order[&m.key];
            let earlier = line.iter().take_while(|x| **x != id).map(|x| &self.mail[x]);
            let open = |m: &Mail| m.over.is_none() || m.sent.iter().any(|a| a.outcome.is_none());
            if earlier.clone().any(open) {
                self.broken.push(format!("at {}: message {id}: sent out of turn", self.now));
            }
            let rests = self.rests.get(&m.key).is_some_and(|t| self.now < *t);
            if rests && m.sent.is_empty() {
                self.broken.push(format!("at {}: message {id}: sent while its key rests", self.now));
            }
        }
        let sent = Sent { target, at: self.now, until, outcome: None };
        self.mail.get_mut(&id).unwrap().sent.push(sent);
        if self.settings.max_batch.iter().all(|b| *b == 1) {
            let out = self.out();
            let here = out.iter().filter(|(x, _, _)| self.mail[x].destination == m.destination).count();
            if out.len() > self.settings.slots as usize {
                self.broken.push(format!("at {}: {} calls out", self.now, out.len()));
            }
            if here as f64 > (f64::from(self.settings.slots) * 0.75).max(1.0) {
                self.broken.push(format!("at {}: {here} calls out to one destination", self.now));
            }
        }
    }

    /// Lets time pass in ticks; `answer` says how an attempt ends, or nothing yet.
    pub fn run(
        &mut self, span: u64, mut answer: impl FnMut(u64, MessageId, &Sent) -> Option<(Outcome, u64)>,
    ) {
        let end = self.now + span;
        while self.now < end {
            self.now += self.settings.tick;
            for (id, n) in std::mem::take(&mut self.called_off) {
                if self.mail[&id].sent[n].outcome.is_none() {
                    self.end(id, n, Outcome::Cancelled, 0);
                }
            }
            for (id, n, a) in self.out() {
                if let Some((outcome, wait)) = answer(self.now, id, &a) {
                    self.end(id, n, outcome, wait);
                } else if self.now >= a.until {
                    self.end(id, n, Outcome::TimedOut, 0);
                }
            }
            while let Some((at, token)) = self.timers.first().copied().filter(|(at, _)| *at <= self.now) {
                self.timers.remove(&(at, token));
                self.feed(Event::Timer { token });
            }
        }
    }

    pub fn sends(&self) -> usize {
        self.mail.values().map(|m| m.sent.len()).sum()
    }

    pub fn kept(&self) {
        assert!(self.broken.is_empty(), "{:#?}", &self.broken[..self.broken.len().min(5)]);
    }
}

pub fn may_have_run(a: &Sent) -> bool {
    a.outcome.is_none_or(Outcome::may_have_run)
}

/// Every attempt is served after `took`.
pub fn serves(took: u64) -> impl FnMut(u64, MessageId, &Sent) -> Option<(Outcome, u64)> {
    move |now, _, a| (now >= a.at + took).then_some((Outcome::Ok, 0))
}

/// No attempt is ever answered.
pub fn silent(_: u64, _: MessageId, _: &Sent) -> Option<(Outcome, u64)> {
    None
}
