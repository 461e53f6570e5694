//! What many forwarders do in step: many copies of the module, no sockets.

use hatchline::{
    Action, Brain, Class, Effect, Endpoint, EndpointState, Event, LimitReport, ListKind, ListedRate, Micros,
    Outcome, Settings,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const SECOND: Micros = 1_000_000;

fn settings(senders: u32) -> Settings {
    let class = Class {
        aim: 3 * SECOND,
        deadline: 12 * SECOND,
        worth: 1.0,
        late_value: 0.5,
        effect: Effect::Repeatable,
        ..Class::default()
    };
    let listed_rate = ListedRate::Exact;
    Settings {
        senders,
        listed_rate,
        slots: 4,
        max_held: 45,
        max_attempts: 8,
        classes: vec![class],
        ..Settings::default()
    }
}

/// So many endpoints of one destination that takes `rate` calls a second, 0 if that is not told.
fn list(targets: u32, rate: f64) -> Event {
    let state = EndpointState::Ready;
    let line = |target| Endpoint { target, destination: 1, state, rate, ..Endpoint::default() };
    Event::List { kind: ListKind::Full, version: 1, endpoints: (0..targets).map(line).collect() }
}

fn request(id: u64, now: Micros) -> Event {
    Event::Request { id, class: 0, destination: 1, order_key: 0, expires: now + 12 * SECOND }
}

/// One of so many senders, with a seed of its own.
fn one_of(senders: u32, sender: u32) -> Brain {
    Brain::new(0, u64::from(sender).wrapping_mul(0x1234_5678_9abc_def1), settings(senders))
}

/// Calls that each endpoint gets where every one of `senders` sends now and then, one call after another.
fn spread(senders: u32, targets: u32, rounds: u64) -> BTreeMap<u32, u64> {
    let mut calls = BTreeMap::new();
    for sender in 0..senders {
        let mut brain = one_of(senders, sender);
        let mut out = Vec::new();
        brain.handle(0, list(targets, 0.0), &mut out);
        for id in 0..rounds {
            let now = id * SECOND;
            brain.handle(now, request(id, now), &mut out);
            brain.decide(now, &mut out);
            let sent = out.drain(..).find_map(|a| match a {
                Action::Send { target, .. } => Some(target),
                _ => None,
            });
            let target = sent.expect("an idle sender sends at once");
            *calls.entry(target).or_default() += 1;
            let (outcome, took) = (Outcome::Ok, 40_000);
            let end =
                Event::Outcome { id, attempt: 0, target, outcome, took, ended: true, wait: 0, report: None };
            brain.handle(now + took, end, &mut out);
        }
    }
    calls
}

/// A hundred forwarders that all began with the first endpoint of the list, and stayed with the one used last, filled
/// its queue while the others stood idle: 85 of 100 calls to one of two, and a quarter of them refused.
#[test]
fn endpoints_share_the_calls_of_a_fleet_from_the_first_call_on() {
    for (senders, targets, rounds) in [(100, 2, 1), (100, 2, 20), (100, 4, 1), (1, 2, 200), (3, 3, 100)] {
        let calls = spread(senders, targets, rounds);
        let (all, even) = (u64::from(senders) * rounds, u64::from(senders) * rounds / u64::from(targets));
        assert_eq!(calls.values().sum::<u64>(), all);
        let most = calls.values().copied().max().unwrap_or(0);
        // Four standard deviations of an even draw.
        let chance = 4.0 * (even as f64).sqrt();
        assert!(most as f64 <= even as f64 + chance, "{senders} senders, {targets} endpoints: {calls:?}");
        assert_eq!(calls.len(), targets as usize, "{calls:?}");
    }
}

/// A destination that takes so many calls in each span of a second from all senders together; refused calls use the
/// allowance up, and half of them are told to wait until the span is over.
struct Partner {
    limit: u64,
    span: u64,
    came: u64,
    refusals: u64,
}

impl Partner {
    /// How a call that comes now ends: outcome, wait, share of the allowance that is left.
    fn takes(&mut self, now: Micros) -> (Outcome, Micros, f64) {
        if now / SECOND != self.span {
            (self.span, self.came) = (now / SECOND, 0);
        }
        self.came += 1;
        if self.came <= self.limit {
            return (Outcome::Ok, 0, 1.0 - self.came as f64 / self.limit as f64);
        }
        self.refusals += 1;
        (Outcome::Full, if self.refusals.is_multiple_of(2) { (self.span + 1) * SECOND - now } else { 0 }, 0.0)
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    Comes,
    Reaches { id: u64, attempt: u32, target: u32, sent: Micros },
    Ends { id: u64, attempt: u32, target: u32, sent: Micros, ok: bool, wait: Micros, left: u64 },
    Timer { token: u32 },
}

/// What a fleet did in each second: messages that came, calls, calls served.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    came: u64,
    calls: u64,
    served: u64,
}

/// Plays `senders` modules against one partner, with `rate(second)` messages a second that come to any of them. Time is
/// simulated; calls take 10 ms each way.
fn play(senders: u32, limit: u64, seconds: u64, rate: impl Fn(u64) -> f64) -> Vec<Second> {
    let mut random = fastrand::Rng::with_seed(7);
    let mut brains: Vec<Brain> =
        (0..senders).map(|_| Brain::new(0, random.u64(..), settings(senders))).collect();
    let (mut queue, mut number) = (BinaryHeap::new(), 0);
    let mut at = |queue: &mut BinaryHeap<_>, time: Micros, sender: usize, what| {
        number += 1;
        queue.push(Reverse((time, number, sender, what)));
    };
    let mut partner = Partner { limit, span: 0, came: 0, refusals: 0 };
    let mut told = vec![Second::default(); seconds as usize];
    let (mut next, mut message, mut out) = (0.0, 0, Vec::new());
    let mut attempts: BTreeMap<u64, u32> = BTreeMap::new();
    while (next as u64) < seconds * SECOND {
        at(&mut queue, next as Micros, random.usize(..brains.len()), Happens::Comes);
        next += -(1.0 - random.f64()).ln() / rate(next as u64 / SECOND) * SECOND as f64;
    }
    for brain in &mut brains {
        brain.handle(0, list(1, limit as f64), &mut out);
    }
    out.clear();
    while let Some(Reverse((now, _, sender, what))) = queue.pop() {
        let Some(second) = told.get_mut((now / SECOND) as usize) else { break };
        let brain = &mut brains[sender];
        match what {
            Happens::Comes => {
                second.came += 1;
                message += 1;
                brain.handle(now, request(message, now), &mut out);
            }
            Happens::Reaches { id, attempt, target, sent } => {
                second.calls += 1;
                let (outcome, wait, left) = partner.takes(now);
                second.served += u64::from(outcome == Outcome::Ok);
                let (ok, left) = (outcome == Outcome::Ok, (left * 1e6) as u64);
                let end = Happens::Ends { id, attempt, target, sent, ok, wait, left };
                at(&mut queue, now + 10_000, sender, end);
                continue;
            }
            Happens::Ends { id, attempt, target, sent, ok, wait, left } => {
                let outcome = if ok { Outcome::Ok } else { Outcome::Full };
                let report = Some(LimitReport { share_left: left as f64 / 1e6, rate: limit as f64 });
                let took = now - sent;
                let wait = wait.saturating_sub(10_000);
                brain.handle(
                    now,
                    Event::Outcome { id, attempt, target, outcome, took, ended: ok, wait, report },
                    &mut out,
                );
            }
            Happens::Timer { token } => brain.handle(now, Event::Timer { token }, &mut out),
        }
        brain.decide(now, &mut out);
        for action in out.drain(..) {
            match action {
                // There is one attempt after another: the number tells them apart well enough here.
                Action::Send { id, target, .. } => {
                    let attempt = *attempts.entry(id).and_modify(|n| *n += 1).or_insert(0);
                    let reaches = Happens::Reaches { id, attempt, target, sent: now };
                    at(&mut queue, now + 10_000, sender, reaches);
                }
                Action::Timer { after, token } => {
                    at(&mut queue, now + after, sender, Happens::Timer { token })
                }
                _ => {}
            }
        }
    }
    told
}

/// Each sender's least pace, and its pause of a second and a half after a refusal, were right for one: a hundred of them
/// came to 67 calls a second at a partner that takes 49, and nothing at all was served while a backlog lasted.
#[test]
fn a_burst_over_the_limit_does_not_keep_a_fleet_above_it() {
    let told = play(100, 49, 20, |second| if second < 4 { 150.0 } else { 25.0 });
    let served = |range: std::ops::Range<usize>| told[range].iter().map(|s| s.served).sum::<u64>();
    let calls = |range: std::ops::Range<usize>| told[range].iter().map(|s| s.calls).sum::<u64>();
    // Seconds 2 to 12 have a backlog: most of the limit is used, and few calls go for nothing.
    assert!(served(2..12) > 10 * 49 * 6 / 10, "{told:?}");
    assert!(calls(2..12) < served(2..12) * 13 / 10, "{told:?}");
}

/// Found on a calm day of 330: a clump of 270 messages in half a second reached nearly every sender, each had a call saved up,
/// and for a second nothing at all was served while they came. Nobody misses the second over which they go now.
#[test]
fn what_reaches_a_whole_fleet_in_one_moment_is_not_sent_on_in_one() {
    const SENDERS: u32 = 300;
    let mut sent = Vec::new();
    for sender in 0..SENDERS {
        let mut brain = one_of(SENDERS, sender);
        let (mut out, mut now) = (Vec::new(), 5 * SECOND);
        brain.handle(0, list(1, 150.0), &mut out);
        brain.handle(now, request(1, now), &mut out);
        // The timer is the module's own: each step goes where it asks to be woken.
        while !out.iter().any(|a| matches!(a, Action::Send { .. })) {
            brain.decide(now, &mut out);
            let wake = out.iter().rev().find_map(|a| match a {
                Action::Timer { after, token } => Some((*after, *token)),
                _ => None,
            });
            let (after, token) = wake.unwrap_or((50_000, 0));
            now += after.min(50_000);
            assert!(now < 8 * SECOND, "sender {sender} holds its message past the aim");
            brain.handle(now, Event::Timer { token }, &mut out);
        }
        sent.push(now - 5 * SECOND);
    }
    let within = |span: Micros| sent.iter().filter(|at| **at <= span).count();
    assert!(within(SECOND / 4) < 100, "{} of {SENDERS} within a quarter of a second", within(SECOND / 4));
    assert!(
        within(3 * SECOND / 2) == SENDERS as usize,
        "{} of {SENDERS} in a second and a half",
        within(3 * SECOND / 2)
    );
}

/// Below the limit a fleet's messages go as they come.
#[test]
fn a_fleet_below_the_limit_is_not_held_up() {
    let told = play(100, 49, 20, |_| 33.0);
    let (came, served): (u64, u64) =
        told[5..].iter().fold((0, 0), |(c, s), second| (c + second.came, s + second.served));
    assert!(served + 33 > came, "{told:?}");
}
