//! The estimator against the paper's own figures, and against a slow spell.

use super::{AnswerTimes, DeliveryScheduler};
use crate::interface::*;
use crate::state::Lane;

/// Failed exponential with rate 1, half of the calls never answered, cost of a resend 1: the paper gives
/// τ* = 1.505 and E = 4.505. Times are scaled by a million.
#[test]
fn least_expected_time_matches_the_papers_failed_exponential() {
    let mut times = AnswerTimes::new();
    let n = 1_000;
    for i in 0..n {
        let u = (f64::from(i) + 0.5) / f64::from(n);
        times.answered(-(1.0 - u).ln() * 1e6);
    }
    times.unanswered = f64::from(n);
    let expected = times.retune(1e6).unwrap() / 1e6;
    let tau = times.tau / 1e6;
    assert!((tau - 1.505).abs() <= 1.5 * times.width / 1e6, "tau {tau}, buckets of {}", times.width);
    assert!((expected - 4.505).abs() < 0.1, "expected {expected}");
}

/// A slow spell pushes every answer past τ: τ must rise without any answer coming in.
#[test]
fn a_run_of_planned_resends_without_an_answer_raises_tau() {
    let mut times = AnswerTimes::new();
    for i in 0..100 {
        times.answered(100_000.0 + f64::from(i) * 100.0);
    }
    times.retune(times.least());
    let before = times.tau;
    for _ in 0..6 {
        times.unanswered(true);
        times.retune(times.least());
    }
    assert!(times.tau >= 4.0 * before, "from {before} to {}", times.tau);
    for _ in 0..300 {
        times.answered(300_000.0);
    }
    times.retune(times.least());
    assert!(times.tau >= 300_000.0 && times.tau < 4.0 * before, "settled at {}", times.tau);
}

/// Re-laying the buckets, wider or narrower, keeps counts and means.
#[test]
fn relaying_buckets_loses_nothing() {
    let mut times = AnswerTimes::new();
    for i in 1..=1000 {
        times.answered(f64::from(i) * 10.0);
    }
    let mean = times.mean();
    times.answered(900_000.0);
    let total: f64 = times.count.iter().sum();
    assert!((total - 1001.0).abs() < 1e-6);
    assert!((times.mean() * 1001.0 - (mean * 1000.0 + 900_000.0)).abs() < 1.0);
    let width = times.width;
    times.age(1.0);
    assert!(times.width < width);
    assert!((times.count.iter().sum::<f64>() - 1001.0).abs() < 1e-6);
}

/// Settings of a sender that is alone, with one class.
fn alone(class: Class) -> Settings {
    Settings {
        senders: 1,
        slots: 8,
        max_held: 100,
        max_attempts: 8,
        classes: vec![class],
        ..Settings::default()
    }
}

/// All endpoints are replaced again and again, as routes apart too: what has gone is forgotten once no call
/// refers to it, and the places of lanes are used again.
#[test]
fn endpoints_that_have_gone_are_forgotten() {
    for apart in [false, true] {
        let class = Class { aim: 3_000_000, deadline: 12_000_000, worth: 1.0, ..Class::default() };
        let settings = Settings { independent_routes: vec![apart], ..alone(class) };
        let mut brain = DeliveryScheduler::new(0, 1, settings);
        let (mut now, mut out) = (0, Vec::new());
        for round in 1..=500 {
            let endpoint = |destination| Endpoint {
                target: 3 * round + destination,
                destination,
                state: EndpointState::Ready,
                ..Endpoint::default()
            };
            let endpoints = (0..3).map(endpoint).collect();
            brain.handle(now, Event::List { kind: ListKind::Full, version: round, endpoints }, &mut out);
            let id = u64::from(round);
            let event =
                Event::Request { id, class: 0, destination: 1, order_key: 0, expires: now + 12_000_000 };
            brain.handle(now, event, &mut out);
            out.clear();
            brain.decide(now, &mut out);
            let target = out.iter().find_map(|a| match a {
                Action::Send { id: sent, target, .. } if *sent == id => Some(*target),
                _ => None,
            });
            let target = target.unwrap_or_else(|| panic!("round {round}: not sent"));
            assert_eq!(target, 3 * round + 1);
            now += 1_000_000;
            // Its endpoint goes while the call is out; the call's end is still heard.
            let endpoints =
                vec![Endpoint { target, destination: 1, state: EndpointState::Gone, ..Endpoint::default() }];
            brain.handle(now, Event::List { kind: ListKind::Delta, version: round, endpoints }, &mut out);
            brain.decide(now, &mut out);
            assert!(brain.targets.contains_key(&target));
            let (outcome, took) = (Outcome::Ok, 1_000_000);
            let end =
                Event::Outcome { id, attempt: 0, target, outcome, took, ended: true, wait: 0, report: None };
            brain.handle(now, end, &mut out);
            assert_eq!(brain.calls_out, 0);
        }
        now += 1_000_000;
        brain.decide(now, &mut out);
        assert!(brain.targets.len() <= 6, "{} targets", brain.targets.len());
        let named: usize = brain.lanes.iter().map(|l| l.targets.len()).sum();
        assert_eq!(named, brain.targets.len());
        // Routes are kept for as long as what was learned of them binds.
        assert!(brain.lanes.len() <= 3 * 16, "{} lanes", brain.lanes.len());
        // Destinations that are not listed for long are forgotten too.
        brain.handle(now, Event::List { kind: ListKind::Full, version: 900, endpoints: vec![] }, &mut out);
        brain.decide(now + 1_000_000, &mut out);
        brain.decide(now + 20_000_000, &mut out);
        brain.decide(now + 21_000_000, &mut out);
        assert!(brain.destinations.is_empty() && brain.targets.is_empty());
        assert_eq!(brain.spare.len(), brain.lanes.len());
    }
}

/// The reported limit falls to an eighth and comes back: the pace goes with it both ways, at once.
#[test]
fn the_pace_keeps_its_part_of_a_limit_that_moves() {
    let mut lane = Lane::default();
    lane.limit_is(32.0, 2, 3.0);
    let part = lane.pace;
    assert_eq!(part, 16.0);
    lane.limit_is(4.0, 2, 3.0);
    assert_eq!(lane.pace, part / 8.0);
    // Noise moves nothing.
    lane.limit_is(4.4, 2, 3.0);
    assert_eq!(lane.pace, part / 8.0);
    lane.limit_is(32.0, 2, 3.0);
    assert!(lane.pace > 0.9 * part);
}

/// An answer that can't be read fails its own message, not the endpoint: the next unsafe one goes at once. After
/// an error it waits for a sign of health.
#[test]
fn an_answer_that_cannot_be_read_does_not_hold_back_the_next_message() {
    for (outcome, sent) in [(Outcome::UnreadableResponse, true), (Outcome::Error, false)] {
        let class = Class {
            aim: 3_000_000,
            deadline: 12_000_000,
            worth: 1.0,
            effect: Effect::Once,
            ..Class::default()
        };
        let mut brain = DeliveryScheduler::new(0, 1, alone(class));
        let mut out = Vec::new();
        let endpoint = Endpoint { target: 1, destination: 1, ..Endpoint::default() };
        brain.handle(
            0,
            Event::List { kind: ListKind::Full, version: 1, endpoints: vec![endpoint] },
            &mut out,
        );
        let mut sends = |id: u64, now: Micros, end: Option<Event>| {
            let mut out = Vec::new();
            end.into_iter().for_each(|end| brain.handle(now, end, &mut out));
            let event =
                Event::Request { id, class: 0, destination: 1, order_key: 0, expires: now + 12_000_000 };
            brain.handle(now, event, &mut out);
            brain.decide(now, &mut out);
            out
        };
        assert!(sends(1, 0, None).iter().any(|a| matches!(a, Action::Send { id: 1, .. })));
        let end = Event::Outcome {
            id: 1,
            attempt: 0,
            target: 1,
            outcome,
            took: 50_000,
            ended: false,
            wait: 0,
            report: None,
        };
        let actions = sends(2, 50_000, Some(end));
        assert!(actions.contains(&Action::Fail { id: 1 }), "it may have run");
        assert_eq!(actions.iter().any(|a| matches!(a, Action::Send { id: 2, .. })), sent, "{outcome:?}");
    }
}

/// One unsafe message to a destination with one endpoint, which takes more than one at a time; the brain and what it says.
fn one_out() -> (DeliveryScheduler, Vec<Action>) {
    let class = Class { aim: 3_000_000, deadline: 12_000_000, effect: Effect::Once, ..Class::default() };
    let rules = crate::interface::Rules { overload_duration: 1_000_000, ..Default::default() };
    let settings = Settings { max_attempts: 2, rules, ..alone(class) };
    let (mut brain, mut out) = (DeliveryScheduler::new(0, 1, settings), Vec::new());
    let endpoints = vec![Endpoint { target: 1, destination: 1, ..Endpoint::default() }];
    brain.handle(0, Event::List { kind: ListKind::Full, version: 1, endpoints }, &mut out);
    let event = Event::Request { id: 1, class: 0, destination: 1, order_key: 0, expires: 12_000_000 };
    brain.handle(0, event, &mut out);
    brain.decide(0, &mut out);
    (brain, out)
}

fn sent(out: &[Action], id: u64) -> bool {
    out.iter().any(|a| matches!(a, Action::Send { id: sent, .. } if *sent == id))
}

fn ends(id: u64, outcome: Outcome, ended: bool, wait: u64) -> Event {
    Event::Outcome { id, attempt: 0, target: 1, outcome, took: 1_000, ended, wait, report: None }
}

/// A call that was held back before its first byte has tried nothing: with two tries at most the message is held back five
/// times and still has both. It is not sent again before the wait that held it back is over, in the same moment least of all.
#[test]
fn what_was_held_back_uses_up_no_try_and_waits() {
    let (mut brain, out) = one_out();
    assert!(sent(&out, 1));
    let mut now = 0;
    for _ in 0..5 {
        let mut out = Vec::new();
        brain.handle(now + 1_000, ends(1, Outcome::Withheld, false, 500_000), &mut out);
        brain.decide(now + 1_000, &mut out);
        brain.decide(now + 500_999, &mut out);
        assert!(!sent(&out, 1) && brain.calls_out == 0 && brain.messages[&1].attempts.is_empty());
        now += 501_000;
        brain.decide(now, &mut out);
        assert!(sent(&out, 1), "it goes when the wait is over");
        let lane = &brain.lanes[0];
        assert!(lane.evidence.share() == 0.0 && lane.full_run == 0 && lane.trouble.is_none(), "judged");
    }
}

/// An answer that tells a wait binds all, though its message was over and gone when it came.
#[test]
fn a_wait_binds_whatever_has_become_of_its_message() {
    let (mut brain, _) = one_out();
    let mut out = Vec::new();
    brain.handle(1_000, ends(1, Outcome::Ok, true, 0), &mut out);
    assert!(brain.messages.is_empty());
    brain.handle(2_000, ends(1, Outcome::Rejected, true, 700_000), &mut out);
    let event = Event::Request { id: 2, class: 0, destination: 1, order_key: 0, expires: 12_000_000 };
    brain.handle(3_000, event, &mut out);
    brain.decide(3_000, &mut out);
    brain.decide(701_000, &mut out);
    assert!(!sent(&out, 2));
    brain.decide(702_000, &mut out);
    assert!(sent(&out, 2));
}

/// What has been decided on and not begun rests on what was held true before: it is to be held back before a trial goes.
#[test]
fn what_is_found_out_is_told_before_anything_else_is_sent() {
    let (mut brain, _) = one_out();
    let mut out = Vec::new();
    brain.handle(1_000, ends(1, Outcome::Rejected, false, 2_000_000), &mut out);
    let event = Event::Request { id: 2, class: 0, destination: 1, order_key: 0, expires: 12_000_000 };
    brain.handle(2_000, event, &mut out);
    brain.decide(2_000, &mut out);
    (2..12).for_each(|at| brain.decide(at * 1_000_000, &mut out));
    let found = out.iter().position(|a| *a == Action::OutageDetected { target: 1 });
    let next = out.iter().position(|a| matches!(a, Action::Send { .. }));
    assert!(found.is_some() && found < next, "{found:?} {next:?}");
}
