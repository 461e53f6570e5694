//! What many forwarders do in step: many copies of the module, no sockets.

use hatchline::{Action, Brain, Class, Effect, Endpoint, EndpointState, Event, ListKind, Micros, Settings};
use std::collections::BTreeMap;

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
    Settings { senders, slots: 4, max_held: 45, max_attempts: 8, classes: vec![class], ..Settings::default() }
}

fn list(targets: u32) -> Event {
    let line =
        |target| Endpoint { target, destination: 1, state: EndpointState::Ready, ..Endpoint::default() };
    Event::List { kind: ListKind::Full, version: 1, endpoints: (0..targets).map(line).collect() }
}

fn request(id: u64, now: Micros) -> Event {
    Event::Request { id, class: 0, destination: 1, order_key: 0, expires: now + 12 * SECOND }
}

/// Calls that each endpoint gets where every one of `senders` sends now and then, one call after another.
fn spread(senders: u32, targets: u32, rounds: u64) -> BTreeMap<u32, u64> {
    let mut calls = BTreeMap::new();
    for sender in 0..senders {
        let mut brain = Brain::new(0, u64::from(sender) * 0x1234_5678_9abc_def1, settings(senders));
        let mut out = Vec::new();
        brain.handle(0, list(targets), &mut out);
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
            let (outcome, took) = (hatchline::Outcome::Ok, 40_000);
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
