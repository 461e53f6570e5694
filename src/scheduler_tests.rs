//! Tests of the scheduler with access to its state.

use super::{DeliveryScheduler, LatencyHistogram};
use crate::interface::*;
use crate::state::Route;

/// The failed exponential distribution of the paper: rate 1, half of the calls are never answered, a resend
/// costs 1. The paper gives τ* = 1.505 and E = 4.505. Times are scaled by a million.
#[test]
fn tau_and_expected_time_match_the_papers_failed_exponential() {
    let mut latency = LatencyHistogram::new();
    let n = 1_000;
    for i in 0..n {
        let u = (f64::from(i) + 0.5) / f64::from(n);
        latency.record_answer(-(1.0 - u).ln() * 1e6);
    }
    latency.unanswered = f64::from(n);
    let expected = latency.retune(1e6).unwrap() / 1e6;
    let tau = latency.tau / 1e6;
    assert!((tau - 1.505).abs() <= 1.5 * latency.width / 1e6, "tau {tau}, buckets of {}", latency.width);
    assert!((expected - 4.505).abs() < 0.1, "expected {expected}");
}

/// When all answers become slower than τ, τ has to rise although no answer arrives before it.
#[test]
fn a_run_of_planned_resends_without_an_answer_raises_tau() {
    let mut latency = LatencyHistogram::new();
    for i in 0..100 {
        latency.record_answer(100_000.0 + f64::from(i) * 100.0);
    }
    latency.retune(latency.shortest());
    let before = latency.tau;
    for _ in 0..6 {
        latency.record_unanswered(true);
        latency.retune(latency.shortest());
    }
    assert!(latency.tau >= 4.0 * before, "from {before} to {}", latency.tau);
    for _ in 0..300 {
        latency.record_answer(300_000.0);
    }
    latency.retune(latency.shortest());
    assert!(latency.tau >= 300_000.0 && latency.tau < 4.0 * before, "settled at {}", latency.tau);
}

/// Changing the bucket width in either direction preserves counts and means.
#[test]
fn changing_the_bucket_width_preserves_counts_and_mean() {
    let mut latency = LatencyHistogram::new();
    for i in 1..=1000 {
        latency.record_answer(f64::from(i) * 10.0);
    }
    let mean = latency.mean();
    latency.record_answer(900_000.0);
    let total: f64 = latency.counts.iter().sum();
    assert!((total - 1001.0).abs() < 1e-6);
    assert!((latency.mean() * 1001.0 - (mean * 1000.0 + 900_000.0)).abs() < 1.0);
    let width = latency.width;
    latency.age(1.0);
    assert!(latency.width < width);
    assert!((latency.counts.iter().sum::<f64>() - 1001.0).abs() < 1e-6);
}

/// Settings of a single sender with one class.
fn single_sender(class: Class) -> Settings {
    Settings {
        senders: 1,
        slots: 8,
        max_held: 100,
        max_attempts: 8,
        classes: vec![class],
        ..Settings::default()
    }
}

/// All endpoints are replaced again and again, with shared and with independent routes. Endpoints that are
/// gone are forgotten once no call refers to them, and the entries of forgotten routes are reused.
#[test]
fn endpoints_that_have_gone_are_forgotten() {
    for independent in [false, true] {
        let class = Class { aim: 3_000_000, deadline: 12_000_000, worth: 1.0, ..Class::default() };
        let settings = Settings { independent_routes: vec![independent], ..single_sender(class) };
        let mut scheduler = DeliveryScheduler::new(0, 1, settings);
        let (mut now, mut out) = (0, Vec::new());
        for round in 1..=500 {
            let endpoint = |destination| Endpoint {
                target: 3 * round + destination,
                destination,
                state: EndpointState::Ready,
                ..Endpoint::default()
            };
            let endpoints = (0..3).map(endpoint).collect();
            scheduler.handle(now, Event::List { kind: ListKind::Full, version: round, endpoints }, &mut out);
            let id = u64::from(round);
            let event =
                Event::Request { id, class: 0, destination: 1, order_key: 0, expires: now + 12_000_000 };
            scheduler.handle(now, event, &mut out);
            out.clear();
            scheduler.decide(now, &mut out);
            let target = out.iter().find_map(|a| match a {
                Action::Send { id: sent, target, .. } if *sent == id => Some(*target),
                _ => None,
            });
            let target = target.unwrap_or_else(|| panic!("round {round}: not sent"));
            assert_eq!(target, 3 * round + 1);
            now += 1_000_000;
            // The endpoint is removed while the call is in flight; the outcome of the call is still
            // processed.
            let endpoints =
                vec![Endpoint { target, destination: 1, state: EndpointState::Gone, ..Endpoint::default() }];
            scheduler.handle(now, Event::List { kind: ListKind::Delta, version: round, endpoints }, &mut out);
            scheduler.decide(now, &mut out);
            assert!(scheduler.targets.contains_key(&target));
            let (outcome, took) = (Outcome::Ok, 1_000_000);
            let end =
                Event::Outcome { id, attempt: 0, target, outcome, took, ended: true, wait: 0, report: None };
            scheduler.handle(now, end, &mut out);
            assert_eq!(scheduler.in_flight, 0);
        }
        now += 1_000_000;
        scheduler.decide(now, &mut out);
        assert!(scheduler.targets.len() <= 6, "{} targets", scheduler.targets.len());
        let listed: usize = scheduler.routes.iter().map(|l| l.targets.len()).sum();
        assert_eq!(listed, scheduler.targets.len());
        // Routes are kept as long as what was learned about them still matters.
        assert!(scheduler.routes.len() <= 3 * 16, "{} routes", scheduler.routes.len());
        // Destinations that have not been listed for a long time are forgotten too.
        scheduler.handle(
            now,
            Event::List { kind: ListKind::Full, version: 900, endpoints: vec![] },
            &mut out,
        );
        scheduler.decide(now + 1_000_000, &mut out);
        scheduler.decide(now + 20_000_000, &mut out);
        scheduler.decide(now + 21_000_000, &mut out);
        assert!(scheduler.destinations.is_empty() && scheduler.targets.is_empty());
        assert_eq!(scheduler.free_routes.len(), scheduler.routes.len());
    }
}

/// The reported limit falls to an eighth and rises again: the pace follows at once in both directions.
#[test]
fn the_pace_keeps_its_share_of_a_changing_limit() {
    let mut route = Route::default();
    route.set_limit(32.0, 2, 3.0);
    let share = route.pace;
    assert_eq!(share, 16.0);
    route.set_limit(4.0, 2, 3.0);
    assert_eq!(route.pace, share / 8.0);
    // A change within the noise has no effect.
    route.set_limit(4.4, 2, 3.0);
    assert_eq!(route.pace, share / 8.0);
    route.set_limit(32.0, 2, 3.0);
    assert!(route.pace > 0.9 * share);
}

/// An unreadable response fails its own message but says nothing against the endpoint: the next at-most-once
/// message is sent at once. After an error it waits until the endpoint has answered.
#[test]
fn an_unreadable_response_does_not_delay_the_next_message() {
    for (outcome, sent) in [(Outcome::UnreadableResponse, true), (Outcome::Error, false)] {
        let class = Class {
            aim: 3_000_000,
            deadline: 12_000_000,
            worth: 1.0,
            effect: Effect::Once,
            ..Class::default()
        };
        let mut scheduler = DeliveryScheduler::new(0, 1, single_sender(class));
        let mut out = Vec::new();
        let endpoint = Endpoint { target: 1, destination: 1, ..Endpoint::default() };
        scheduler.handle(
            0,
            Event::List { kind: ListKind::Full, version: 1, endpoints: vec![endpoint] },
            &mut out,
        );
        let mut sends = |id: u64, now: Micros, end: Option<Event>| {
            let mut out = Vec::new();
            end.into_iter().for_each(|end| scheduler.handle(now, end, &mut out));
            let event =
                Event::Request { id, class: 0, destination: 1, order_key: 0, expires: now + 12_000_000 };
            scheduler.handle(now, event, &mut out);
            scheduler.decide(now, &mut out);
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

/// A scheduler that has sent one at-most-once message to the only endpoint of a destination, and its actions.
fn one_in_flight() -> (DeliveryScheduler, Vec<Action>) {
    let class = Class { aim: 3_000_000, deadline: 12_000_000, effect: Effect::Once, ..Class::default() };
    let rules = crate::interface::Rules { overload_duration: 1_000_000, ..Default::default() };
    let settings = Settings { max_attempts: 2, rules, ..single_sender(class) };
    let (mut scheduler, mut out) = (DeliveryScheduler::new(0, 1, settings), Vec::new());
    let endpoints = vec![Endpoint { target: 1, destination: 1, ..Endpoint::default() }];
    scheduler.handle(0, Event::List { kind: ListKind::Full, version: 1, endpoints }, &mut out);
    let event = Event::Request { id: 1, class: 0, destination: 1, order_key: 0, expires: 12_000_000 };
    scheduler.handle(0, event, &mut out);
    scheduler.decide(0, &mut out);
    (scheduler, out)
}

fn sent(out: &[Action], id: u64) -> bool {
    out.iter().any(|a| matches!(a, Action::Send { id: sent, .. } if *sent == id))
}

fn ends(id: u64, outcome: Outcome, ended: bool, wait: u64) -> Event {
    Event::Outcome { id, attempt: 0, target: 1, outcome, took: 1_000, ended, wait, report: None }
}

/// A call that was withheld before its first byte is no attempt: a message with at most two attempts is
/// withheld five times and still has both. It is not sent again, in particular not at once, before the
/// requested wait is over.
#[test]
fn a_withheld_call_is_no_attempt_and_waits() {
    let (mut scheduler, out) = one_in_flight();
    assert!(sent(&out, 1));
    let mut now = 0;
    for _ in 0..5 {
        let mut out = Vec::new();
        scheduler.handle(now + 1_000, ends(1, Outcome::Withheld, false, 500_000), &mut out);
        scheduler.decide(now + 1_000, &mut out);
        scheduler.decide(now + 500_999, &mut out);
        assert!(!sent(&out, 1) && scheduler.in_flight == 0 && scheduler.messages[&1].attempts.is_empty());
        now += 501_000;
        scheduler.decide(now, &mut out);
        assert!(sent(&out, 1), "sent when the wait is over");
        let route = &scheduler.routes[0];
        assert!(
            route.detector.failure_share() == 0.0
                && route.rejection_run == 0
                && route.failing_since.is_none(),
            "the call counted for its route"
        );
    }
}

/// A requested wait applies even if the message of its answer had ended and was forgotten when the answer
/// came.
#[test]
fn a_requested_wait_applies_after_its_message_has_ended() {
    let (mut scheduler, _) = one_in_flight();
    let mut out = Vec::new();
    scheduler.handle(1_000, ends(1, Outcome::Ok, true, 0), &mut out);
    assert!(scheduler.messages.is_empty());
    scheduler.handle(2_000, ends(1, Outcome::Rejected, true, 700_000), &mut out);
    let event = Event::Request { id: 2, class: 0, destination: 1, order_key: 0, expires: 12_000_000 };
    scheduler.handle(3_000, event, &mut out);
    scheduler.decide(3_000, &mut out);
    scheduler.decide(701_000, &mut out);
    assert!(!sent(&out, 2));
    scheduler.decide(702_000, &mut out);
    assert!(sent(&out, 2));
}

/// Calls that were decided on and have not started rely on outdated facts. The outage is announced before a
/// trial is sent, so that they are withheld.
#[test]
fn an_outage_is_announced_before_anything_else_is_sent() {
    let (mut scheduler, _) = one_in_flight();
    let mut out = Vec::new();
    scheduler.handle(1_000, ends(1, Outcome::Rejected, false, 2_000_000), &mut out);
    let event = Event::Request { id: 2, class: 0, destination: 1, order_key: 0, expires: 12_000_000 };
    scheduler.handle(2_000, event, &mut out);
    scheduler.decide(2_000, &mut out);
    (2..12).for_each(|at| scheduler.decide(at * 1_000_000, &mut out));
    let found = out.iter().position(|a| *a == Action::OutageDetected { target: 1 });
    let next = out.iter().position(|a| matches!(a, Action::Send { .. }));
    assert!(found.is_some() && found < next, "{found:?} {next:?}");
}
