//! Regression tests, one for each failure that was found, through the interface of the library.

mod common;

use common::*;
use foldtrack_delivery::*;

/// A forwarder whose destination has answered for a while: τ is known and the window is open.
fn warmed_up(settings: Settings, endpoints: Vec<Endpoint>, class: usize) -> TestForwarder {
    let mut forwarder = TestForwarder::new(settings, endpoints);
    for _ in 0..60 {
        forwarder.submit(class, 1, 0);
        forwarder.run(100 * MS, answers_after(80 * MS));
    }
    forwarder.assert_no_violations();
    forwarder
}

#[test]
fn attempts_use_all_the_time_left_until_tau_is_known() {
    let mut forwarder = TestForwarder::new(settings(vec![class(Effect::Repeatable)]), vec![endpoint(1, 1)]);
    let first = forwarder.submit(0, 1, 0);
    assert_eq!(forwarder.messages[&first].attempts[0].until, forwarder.messages[&first].expires);
    let mut forwarder = warmed_up(settings(vec![class(Effect::Repeatable)]), vec![endpoint(1, 1)], 0);
    let id = forwarder.submit(0, 1, 0);
    let a = &forwarder.messages[&id].attempts[0];
    assert!(a.until - a.at < S, "τ of {} µs", a.until - a.at);
    forwarder.run(S, never_answers);
    assert!(forwarder.messages[&id].attempts.len() > 1, "it was not resent at τ");
    forwarder.assert_no_violations();
}

#[test]
fn an_at_most_once_message_uses_all_the_time_left() {
    let classes = vec![class(Effect::Repeatable), class(Effect::Once)];
    let mut forwarder = warmed_up(settings(classes), vec![endpoint(1, 1)], 0);
    let id = forwarder.submit(1, 1, 0);
    assert_eq!(forwarder.messages[&id].attempts[0].until, forwarder.messages[&id].expires);
    forwarder.run(21 * S, never_answers);
    assert_eq!(forwarder.messages[&id].attempts.len(), 1);
    assert!(forwarder.messages[&id].ended_at.is_some() && !forwarder.messages[&id].refused);
    forwarder.assert_no_violations();
}

/// Messages whose deduplication window ended while they were held were sent again.
#[test]
fn a_keyed_message_is_not_repeated_after_its_deduplication_window() {
    let mut keyed = class(Effect::Keyed);
    keyed.dedup_window = 3 * S;
    let mut forwarder = warmed_up(settings(vec![keyed]), vec![endpoint(1, 1)], 0);
    let id = forwarder.submit(0, 1, 0);
    forwarder.end_attempt(id, 0, Outcome::TimedOut, 0);
    forwarder.end_attempt(id, 1, Outcome::Rejected, 4 * S);
    forwarder.run(6 * S, answers_after(80 * MS));
    assert_eq!(forwarder.messages[&id].attempts.len(), 2);
    assert!(forwarder.messages[&id].ended_at.is_some());
    forwarder.assert_no_violations();
}

/// While a zone was cut off, a repeat was decided on in time, but its connection came up a second later, and
/// it was written after the destination had forgotten the idempotency key. No attempt may last longer than
/// the deduplication window of the first attempt that may have run.
#[test]
fn a_repeat_of_a_keyed_message_ends_with_its_deduplication_window() {
    let mut keyed = class(Effect::Keyed);
    keyed.dedup_window = 3 * S;
    // No answer times are known yet, so attempts use all the time that is left.
    let mut forwarder = TestForwarder::new(settings(vec![keyed]), vec![endpoint(1, 1)]);
    let id = forwarder.submit(0, 1, 0);
    let first = forwarder.messages[&id].attempts[0].at;
    forwarder.end_attempt(id, 0, Outcome::Reset, 0);
    forwarder.run(S, |_, _, _| None);
    let sent = &forwarder.messages[&id].attempts;
    assert_eq!(sent.len(), 2);
    assert!(sent[1].until < first + 3 * S, "until {} µs after the first", sent[1].until - first);
    forwarder.run(3 * S, |_, _, _| None);
    assert!(forwarder.messages[&id].ended_at.is_some(), "the message ends with its window");
    forwarder.assert_no_violations();
}

/// In a call with several messages, a wait that was requested for a later message was ignored.
#[test]
fn a_wait_requested_for_any_message_of_a_call_is_honoured() {
    let mut settings = settings(vec![class(Effect::Repeatable)]);
    settings.max_batch = vec![4];
    let mut forwarder = warmed_up(settings, vec![endpoint(1, 1)], 0);
    // Make the destination wait, so that several messages are sent in one call.
    let id = forwarder.submit(0, 1, 0);
    forwarder.end_attempt(id, 0, Outcome::Rejected, 500 * MS);
    let ids: Vec<_> = (0..3).map(|_| forwarder.submit(0, 1, 0)).collect();
    forwarder.run(600 * MS, |_, _, _| None);
    let shared: Vec<_> =
        forwarder.in_flight().into_iter().filter(|(x, _, _)| ids.contains(x) || *x == id).collect();
    assert!(shared.len() >= 2, "{} messages out", shared.len());
    let last = shared.len() - 1;
    for (i, (id, n, _)) in shared.iter().enumerate() {
        forwarder.end_attempt(*id, *n, Outcome::Rejected, if i == last { 2 * S } else { 0 });
    }
    forwarder.run(5 * S, answers_after(80 * MS));
    forwarder.assert_no_violations();
}

/// Calls to a silent destination took all slots, and nothing was sent to any other destination (run voda
/// big-1).
#[test]
fn a_silent_destination_does_not_hold_all_slots() {
    let mut settings = settings(vec![class(Effect::Repeatable), class(Effect::Once)]);
    settings.slots = 8;
    let mut forwarder = TestForwarder::new(settings, vec![endpoint(1, 1), endpoint(2, 2), endpoint(3, 3)]);
    for _ in 0..60 {
        for d in 1..=3 {
            forwarder.submit(0, d, 0);
        }
        forwarder.run(100 * MS, answers_after(80 * MS));
    }
    for _ in 0..20 {
        forwarder.submit(1, 1, 0);
        forwarder.submit(1, 3, 0);
    }
    let answers_only_two = |now: u64, _: MessageId, a: &SentAttempt| {
        (a.target == 2 && now >= a.at + 80 * MS).then_some((Outcome::Ok, 0))
    };
    forwarder.run(2 * S, answers_only_two);
    let id = forwarder.submit(0, 2, 0);
    forwarder.run(3 * S, answers_only_two);
    assert!(forwarder.messages[&id].served, "the healthy destination was starved");
    forwarder.assert_no_violations();
}

/// A silent destination gets single trials instead of as many messages as its window allows.
#[test]
fn a_silent_destination_gets_single_trials_and_then_a_slow_start() {
    let mut forwarder = warmed_up(settings(vec![class(Effect::Repeatable)]), vec![endpoint(1, 1)], 0);
    for _ in 0..40 {
        forwarder.submit(0, 1, 0);
    }
    forwarder.run(3 * S, never_answers);
    let before = forwarder.send_count();
    forwarder.run(4 * S, never_answers);
    assert!(
        forwarder.send_count() - before <= 12,
        "{} sends to a silent destination in 4 s",
        forwarder.send_count() - before
    );
    assert!(forwarder.send_count() > before, "no trial in 4 s");
    let back = forwarder.send_count();
    forwarder.run(2 * S, answers_after(80 * MS));
    let early = forwarder.send_count() - back;
    assert!((1..=8).contains(&early), "{early} sends in the first 2 s after the return");
    forwarder.assert_no_violations();
}

/// The backlog of one destination filled all places, and messages for others were refused (incidents ib6d87e
/// and i2d46a9).
#[test]
fn a_backlog_for_one_destination_leaves_places_for_others() {
    let mut settings = settings(vec![class(Effect::Repeatable)]);
    settings.max_held = 60;
    let mut forwarder = TestForwarder::new(settings, vec![endpoint(1, 1), endpoint(2, 2)]);
    for _ in 0..200 {
        forwarder.submit(0, 1, 0);
        forwarder.run(20 * MS, |now, _, a| (now >= a.at + 20 * MS).then_some((Outcome::Rejected, 0)));
        let held = forwarder.messages.values().filter(|m| m.ended_at.is_none()).count();
        assert!(held < 60, "{held} held");
    }
    let id = forwarder.submit(0, 2, 0);
    forwarder.run(S, |now, _, a| (a.target == 2 && now >= a.at + 80 * MS).then_some((Outcome::Ok, 0)));
    assert!(forwarder.messages[&id].served);
    forwarder.assert_no_violations();
}

/// The first rejection after a long time without a limit must not stop a destination for long.
#[test]
fn a_single_rejection_pauses_a_destination_only_briefly() {
    let mut forwarder = warmed_up(settings(vec![class(Effect::Repeatable)]), vec![endpoint(1, 1)], 0);
    let id = forwarder.submit(0, 1, 0);
    forwarder.end_attempt(id, 0, Outcome::Rejected, 0);
    forwarder.run(2 * S, answers_after(80 * MS));
    assert!(forwarder.messages[&id].served);
    forwarder.assert_no_violations();
}

#[test]
fn drained_and_removed_endpoints_get_no_new_calls() {
    let mut forwarder =
        warmed_up(settings(vec![class(Effect::Repeatable)]), vec![endpoint(1, 1), endpoint(2, 1)], 0);
    let draining = Endpoint { state: EndpointState::Draining, ..endpoint(1, 1) };
    forwarder.update_list(ListKind::Delta, vec![draining]);
    let ids: Vec<_> = (0..6).map(|_| forwarder.submit(0, 1, 0)).collect();
    forwarder.run(2 * S, answers_after(80 * MS));
    assert!(ids.iter().all(|id| forwarder.messages[id].attempts.iter().all(|a| a.target == 2)));
    forwarder.update_list(ListKind::Full, vec![endpoint(3, 1)]);
    let id = forwarder.submit(0, 1, 0);
    assert_eq!(forwarder.messages[&id].attempts[0].target, 3);
    forwarder.assert_no_violations();
}

#[test]
fn a_message_with_less_time_left_than_any_answer_takes_is_refused_unsent() {
    let mut forwarder = warmed_up(settings(vec![class(Effect::Repeatable)]), vec![endpoint(1, 1)], 0);
    let (id, expires) = (9_000, forwarder.now + 30 * MS);
    let mut out = Vec::new();
    forwarder.scheduler.handle(
        forwarder.now,
        Event::Request { id, class: 0, destination: 1, order_key: 0, expires },
        &mut out,
    );
    forwarder.scheduler.decide(forwarder.now, &mut out);
    assert!(out.contains(&Action::Refuse { id, retry_after: 0 }), "{out:?}");
    assert!(!out.iter().any(|a| matches!(a, Action::Send { .. })));
}

/// Number of sends within `span` after a destination has started to fail with `outcome`, or to be silent, for
/// one of `senders` senders.
fn sends_to_failing_destination(senders: u32, span: u64, outcome: Option<Outcome>, wait: u64) -> usize {
    let mut settings = settings(vec![class(Effect::Repeatable)]);
    settings.senders = senders;
    settings.max_attempts = 12;
    let mut forwarder = TestForwarder::new(settings, vec![endpoint(1, 1)]);
    for _ in 0..3 {
        forwarder.submit(0, 1, 0);
        forwarder.run(8 * S, answers_after(80 * MS));
    }
    let before = forwarder.send_count();
    for _ in 0..3 {
        forwarder.submit(0, 1, 0);
    }
    forwarder.run(span, |now, _, a| {
        let out = outcome.filter(|_| now >= a.at + 50 * MS);
        out.map(|o| (o, (wait_until_boundary(wait, now)).min(wait)))
    });
    forwarder.assert_no_violations();
    forwarder.send_count() - before
}

/// A wait that ends at multiples of `wait`, as a closed destination requests it.
fn wait_until_boundary(wait: u64, now: u64) -> u64 {
    if wait == 0 {
        0
    } else {
        wait - now % wait
    }
}

/// Hundreds of senders with one or two messages each tried a destination that rejected calls, was out or was
/// closed so often that together they kept it down, or brought it down again on its return (run teplo-later
/// big-1).
#[test]
fn each_of_hundreds_of_senders_rarely_tries_a_failing_destination() {
    for (outcome, wait) in [
        (Some(Outcome::Rejected), 0),
        (Some(Outcome::Rejected), 3 * S),
        (Some(Outcome::ConnectFailed), 0),
        (None, 0),
    ] {
        let (few, many) = (
            sends_to_failing_destination(2, 18 * S, outcome, wait),
            sends_to_failing_destination(250, 18 * S, outcome, wait),
        );
        assert!(many <= 8, "{outcome:?}, requested wait {wait}: {many} sends in 18 s, {few} as one of two");
        assert!(
            few >= many,
            "{outcome:?}, requested wait {wait}: {few} sends as one of two, {many} among many"
        );
    }
}

/// Endpoints that accept few connections were filled by the idle connections of scores of senders (run
/// teplo-later).
#[test]
fn a_connection_is_closed_after_use_if_one_has_failed_or_the_next_use_is_far_off() {
    let closes = |forwarder: &TestForwarder| {
        forwarder.trace.iter().filter(|(_, a)| matches!(a, Action::CloseIdle { .. })).count()
    };
    let mut busy = warmed_up(settings(vec![class(Effect::Repeatable)]), vec![endpoint(1, 1)], 0);
    let before = closes(&busy);
    busy.submit(0, 1, 0);
    busy.run(S, answers_after(80 * MS));
    assert_eq!(closes(&busy), before, "closed although the next use is near");
    let id = busy.submit(0, 1, 0);
    busy.end_attempt(id, 0, Outcome::ConnectFailed, 0);
    busy.run(3 * S, answers_after(80 * MS));
    assert!(busy.messages[&id].served && closes(&busy) > before, "kept although connections are scarce");
    let mut settings = settings(vec![class(Effect::Repeatable)]);
    settings.idle_timeout = S;
    let mut seldom = TestForwarder::new(settings, vec![endpoint(1, 1)]);
    for _ in 0..4 {
        seldom.submit(0, 1, 0);
        seldom.run(15 * S, answers_after(80 * MS));
    }
    assert_eq!(closes(&seldom), 4, "kept although the next use is far off");
}

/// A call that the end of the process cuts off may have run, which would end an at-most-once message.
#[test]
fn no_call_is_started_that_the_end_of_the_process_would_cut_off() {
    let mut forwarder = warmed_up(settings(vec![class(Effect::Repeatable)]), vec![endpoint(1, 1)], 0);
    let by = forwarder.now + 3 * S;
    forwarder.feed(Event::Stopping { by });
    let early = forwarder.submit(0, 1, 0);
    forwarder.run(2900 * MS, answers_after(80 * MS));
    let late = forwarder.submit(0, 1, 0);
    forwarder.run(90 * MS, answers_after(80 * MS));
    assert!(forwarder.messages[&early].served);
    assert!(forwarder.messages[&late].attempts.is_empty());
    forwarder.assert_no_violations();
}

#[test]
fn unknown_and_invalid_events_are_ignored() {
    let mut forwarder = TestForwarder::new(settings(vec![class(Effect::Keyed)]), vec![endpoint(1, 1)]);
    let end = |id, attempt, target| Event::Outcome {
        id,
        attempt,
        target,
        outcome: Outcome::Ok,
        took: 1 << 60,
        ended: false,
        wait: 0,
        report: None,
    };
    let id = forwarder.submit(0, 1, 0);
    let mut out = Vec::new();
    for event in [
        end(77, 0, 1),
        end(id, 9, 1),
        Event::Abandoned { id: 77 },
        Event::Timer { token: 99 },
        Event::Started { id: 77, attempt: 0 },
        Event::ProbeOutcome { target: 77, outcome: Outcome::Ok, took: 1 << 60, report: None },
        Event::PeerMessage { from: 1, data: vec![] },
        Event::Request { id: 78, class: 9, destination: 1, order_key: 0, expires: u64::MAX },
        Event::List { kind: ListKind::Failed, version: 0, endpoints: vec![] },
    ] {
        forwarder.scheduler.handle(forwarder.now, event, &mut out);
        forwarder.scheduler.decide(forwarder.now, &mut out);
    }
    assert!(!out.iter().any(|a| matches!(a, Action::Send { .. })), "{out:?}");
}
