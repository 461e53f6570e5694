//! Tests of the poll timing: bounds, jitter, and a fleet against a simulated discovery.

use super::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Simulates a discovery that answers `rate` calls per second, one after another, and rejects a
/// call whose answer would take more than two seconds; callers give up by then. Returns the time of
/// each forwarder's first answer.
fn first_answers(
    senders: u32, rate: f64, mut failed: impl FnMut(usize, Duration) -> Duration,
) -> Vec<Option<f64>> {
    let mut answered = vec![None; senders as usize];
    let (mut free, mut calls) = (0.0f64, BinaryHeap::new());
    let micros = |seconds: f64| (seconds * 1e6) as u64;
    (0..senders as usize).for_each(|n| calls.push(Reverse((micros(n as f64 * 1e-3), n))));
    while let Some(Reverse((at, n))) = calls.pop() {
        let now = at as f64 / 1e6;
        if now > 120.0 {
            break;
        }
        let done = free.max(now) + 1.0 / rate;
        if done - now > 2.0 {
            let pause = failed(n, Duration::from_millis(11));
            calls.push(Reverse((micros(now + 0.011 + pause.as_secs_f64()), n)));
            continue;
        }
        free = done;
        // An answer at the last moment arrives too late.
        match done - now < 1.9 {
            true => answered[n] = Some(done),
            false => {
                let pause = failed(n, Duration::from_secs(2));
                calls.push(Reverse((micros(now + 2.0 + pause.as_secs_f64()), n)));
            }
        }
    }
    answered
}

const GRACE: Micros = 2_000_000;

fn shared(senders: u32, seed: u64) -> DiscoverySchedule {
    DiscoverySchedule::new(senders, Source::Shared, GRACE, seed)
}

fn local(senders: u32, seed: u64) -> DiscoverySchedule {
    DiscoverySchedule::new(senders, Source::LocalAgent, GRACE, seed)
}

/// A fleet that was cut off or has just started calls a discovery that can answer each forwarder
/// once in `all_in` seconds.
#[test]
fn a_fleet_that_calls_at_once_is_answered_by_an_overloaded_discovery() {
    // The last case is a discovery that can't answer the whole fleet within the time of the rule:
    // it must at least not be kept from answering.
    let fleets = [
        (300, 2.0, 2.0, 8.0),
        (300, 4.0, 4.0, 8.0),
        (300, 6.0, 6.0, 8.0),
        (300, 8.0, 8.0, 16.0),
        (100, 25.0, 50.0, 100.0),
    ];
    for (senders, all_in, half_within, within) in fleets {
        let mut schedules: Vec<DiscoverySchedule> =
            (0..senders).map(|n| shared(senders, u64::from(n))).collect();
        let rejected = |n: usize, took: Duration| schedules[n].failed(PollFailure::Rejected, took);
        let answered = first_answers(senders, f64::from(senders) / all_in, rejected);
        let last = answered.iter().map(|a| a.unwrap_or(f64::INFINITY)).fold(0.0, f64::max);
        assert!(
            last < within,
            "{senders} senders, answered within {all_in} s: the last is answered after {last} s"
        );
        let half = answered.iter().flatten().filter(|at| **at < half_within).count();
        assert!(half * 2 >= senders as usize, "{half} of {senders} are answered after {half_within} s");
    }
}

/// Guards against backoffs beyond the rule's time: with 300 forwarders the backoff grew to over two
/// minutes, starting at 3 to 9 s; with 30 it reached 13 s.
#[test]
fn changes_are_known_in_time_after_any_failure() {
    let failures = [
        (PollFailure::NoResponse, Duration::ZERO),
        (PollFailure::NoResponse, Duration::from_millis(2500)),
        (PollFailure::NoResponse, LOCAL_POLL + Duration::from_millis(500)),
        (PollFailure::Rejected, Duration::from_millis(11)),
        (PollFailure::Rejected, Duration::from_secs(2)),
    ];
    for senders in [0, 1, 3, 10, 30, 300, 1024, 100_000] {
        for grace in [0, 500_000, GRACE] {
            for (n, (failure, took)) in (0..40).flat_map(|n| failures.map(|failure| (n, failure))) {
                for source in [Source::LocalAgent, Source::Shared] {
                    let mut schedule = DiscoverySchedule::new(senders, source, grace, n);
                    let pauses = (0..12).map(|_| schedule.failed(failure, took));
                    let longest = pauses.max().unwrap_or_default();
                    let known_after = took + longest + MAX_RESPONSE_TIME;
                    let limit = PROPAGATION_LIMIT + Duration::from_micros(grace);
                    assert!(
                        known_after <= limit,
                        "{senders} senders, {source:?}, {failure:?} after {took:?}: {known_after:?}"
                    );
                }
            }
        }
    }
}

/// A silent poll has to be noticed at most 2 s after its end, or 6 s after it fell silent.
#[test]
fn a_silent_poll_is_replaced_in_time() {
    for senders in [1, 10, 300, 100_000] {
        for seed in 0..40 {
            let late = Duration::from_millis(500);
            let mut agent = local(senders, seed);
            let (poll, pause) =
                (agent.poll_timeout(), agent.failed(PollFailure::NoResponse, LOCAL_POLL + late));
            assert!(
                poll + late + pause + MAX_RESPONSE_TIME <= PROPAGATION_LIMIT + Duration::from_millis(500)
            );
            let mut shared_schedule = shared(senders, seed);
            let poll = shared_schedule.poll_timeout();
            assert!(poll <= MAX_POLL);
            if shared_schedule.is_fleet() {
                let pause = shared_schedule.failed(PollFailure::NoResponse, MAX_POLL);
                assert!(late + pause < Duration::from_secs(1), "{senders} senders pause for {pause:?}");
            }
        }
    }
}

#[test]
fn a_fleet_that_fails_together_spreads_its_retries() {
    for senders in [10, 100, 300, 1024] {
        let pauses: Vec<f64> = (0..senders)
            .map(|n| shared(senders, n.into()).failed(PollFailure::Rejected, Duration::ZERO).as_secs_f64())
            .collect();
        // On average at most one call per forwarder in three seconds, and no tenth of a second with
        // twice its fair part of them.
        let calls_per_second: f64 = pauses.iter().map(|pause| 1.0 / pause).sum();
        assert!(
            calls_per_second < f64::from(senders) / 3.0,
            "{senders} senders: {calls_per_second} calls a second"
        );
        let most = (0..80).map(|n| pauses.iter().filter(|p| (**p * 10.0) as usize == n).count()).max();
        let fair = f64::from(senders) / 29.0;
        assert!(
            most.is_some_and(|most| (most as f64) < 2.0 * fair + 4.0),
            "{senders} senders: {most:?} in 0.1 s"
        );
    }
}

/// Guards against a late next poll. In a simulated day of 300 forwarders that replaced targets
/// while all restarted, each waited up to 3 s after a list before its next poll, and sent to
/// targets that had drained in the meantime for longer than the grace of 2 s.
#[test]
fn the_next_poll_starts_in_time_and_with_jitter() {
    for senders in [10, 300, 100_000] {
        let pauses: Vec<_> = (0..200).map(|seed| shared(senders, seed).answered(true).as_millis()).collect();
        let most = pauses.iter().copied().max().unwrap_or(0);
        assert!(most < 200, "{senders} senders: one polls again after {most} ms");
        let clustered = (0..15).map(|n| pauses.iter().filter(|p| **p / 10 == n).count()).max();
        assert!(clustered < Some(40), "{senders} senders: {clustered:?} of 200 poll again within 10 ms");
    }
}
#[test]
fn small_fleets_retry_soon_and_local_agents_sooner() {
    for senders in [0, 1, 3] {
        let mut schedule = shared(senders, 1);
        let failed =
            |schedule: &mut DiscoverySchedule| schedule.failed(PollFailure::NoResponse, Duration::ZERO);
        let pauses: Vec<u128> = (0..7).map(|_| failed(&mut schedule).as_millis()).collect();
        assert_eq!(pauses, [50, 100, 200, 400, 800, 1000, 1000]);
        assert_eq!(schedule.answered(true), Duration::ZERO);
        assert_eq!(failed(&mut schedule), INITIAL_BACKOFF);
        assert_eq!(schedule.poll_timeout(), SHARED_POLL);
        let mut schedule = local(senders, 1);
        let pauses: Vec<u128> = (0..5).map(|_| failed(&mut schedule).as_millis()).collect();
        assert_eq!(pauses, [50, 100, 200, 250, 250]);
        assert_eq!(schedule.poll_timeout(), LOCAL_POLL);
    }
}

#[test]
fn an_agent_that_rejects_a_call_counts_as_shared_until_discovery_moves() {
    let mut schedule = local(300, 1);
    assert!(schedule.failed(PollFailure::NoResponse, Duration::ZERO) <= MAX_LOCAL_BACKOFF);
    assert!(schedule.failed(PollFailure::Rejected, Duration::ZERO) > MAX_SHARED_BACKOFF);
    assert!(schedule.poll_timeout() > SHARED_POLL);
    schedule.reset();
    assert!(schedule.failed(PollFailure::NoResponse, Duration::ZERO) <= INITIAL_BACKOFF);
    assert_eq!(schedule.poll_timeout(), LOCAL_POLL);
}
