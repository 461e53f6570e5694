//! Tests of the failure detector: random failures, bursts and real outages.

use super::*;

const SECOND: Micros = 1_000_000;

/// Records outcomes at a rate for `span`, of which a random `share` fails. Returns the time from the start to
/// the first verdict, if there is one.
fn record_outcomes(
    detector: &mut FailureDetector, rng: &mut fastrand::Rng, from: Micros, rate: f64, share: f64,
    span: Micros,
) -> Option<Micros> {
    let gap = (SECOND as f64 / rate) as Micros;
    for now in (from..from + span).step_by(gap as usize) {
        match rng.f64() < share {
            true => detector.record_failure(now.saturating_sub(gap / 2), now),
            false => detector.record_answer(now.saturating_sub(900), now),
        }
        if detector.is_out(now) {
            return Some(now - from);
        }
    }
    None
}

#[test]
fn random_failures_are_no_outage_at_any_rate_and_an_outage_is_detected_quickly() {
    for (rate, share, most) in [(50.0, 0.1, 0), (500.0, 0.22, 0), (1_000.0, 0.3, 1), (5_000.0, 0.3, 1)] {
        let (mut verdicts, mut rng) = (0, fastrand::Rng::with_seed(7));
        for _ in 0..20 {
            let mut detector = FailureDetector::default();
            assert_eq!(record_outcomes(&mut detector, &mut rng, 0, rate, 0.0, 5 * SECOND), None);
            verdicts += u32::from(
                record_outcomes(&mut detector, &mut rng, 5 * SECOND, rate, share, 10 * SECOND).is_some(),
            );
        }
        assert!(verdicts <= most, "{rate}/s, {share}: {verdicts} verdicts in 20 runs of 10 s");
    }
    for (rate, most) in [(3.0, SECOND), (50.0, SECOND / 4), (500.0, 40_000), (5_000.0, 10_000)] {
        let (mut detector, mut rng) = (FailureDetector::default(), fastrand::Rng::with_seed(3));
        assert_eq!(record_outcomes(&mut detector, &mut rng, 0, rate, 0.0, 20 * SECOND), None);
        let found = record_outcomes(&mut detector, &mut rng, 20 * SECOND, rate, 1.0, 20 * SECOND);
        assert!(found.is_some_and(|after| after <= most), "{rate}/s: {found:?}");
    }
}

/// Calls that were in flight together fail together: that is one event, however many calls fail.
#[test]
fn a_restart_that_fails_all_calls_at_once_is_no_outage() {
    let (mut detector, mut rng) = (FailureDetector::default(), fastrand::Rng::with_seed(5));
    record_outcomes(&mut detector, &mut rng, 0, 2_000.0, 0.0, 5 * SECOND);
    let sent = 5 * SECOND - 10_000;
    (0..40).for_each(|_| detector.record_failure(sent, 5 * SECOND));
    assert!(!detector.is_out(5 * SECOND));
    // The same number of failures one after another is an outage.
    (0..40).for_each(|n| detector.record_failure(5 * SECOND + n * 500, 5 * SECOND + n * 500 + 400));
    assert!(detector.is_out(5 * SECOND + 20_000));
}

/// A circuit that is opened for another reason, such as a requested wait or silence, does not count as
/// failures.
#[test]
fn an_open_circuit_does_not_count_as_a_failure() {
    let mut detector = FailureDetector::default();
    detector.record_outage();
    detector.record_failure(1_000, 2_000);
    assert!(!detector.is_out(2_000));
    detector.record_failure(3_000, 4_000);
    detector.record_failure(5_000, 6_000);
    assert!(detector.is_out(6_000));
}

/// No sequence of outcomes locks the detector: after any of them a few answers withdraw the verdict.
#[test]
fn a_few_answers_withdraw_any_verdict() {
    for seed in 0..200 {
        let (mut detector, mut rng) = (FailureDetector::default(), fastrand::Rng::with_seed(seed));
        let mut now = 0;
        for _ in 0..300 {
            now += rng.u64(100..400_000);
            match rng.u8(0..4) {
                0 => detector.record_answer(now.saturating_sub(900), now),
                1 => detector.record_unreadable(now),
                _ => detector.record_failure(now.saturating_sub(rng.u64(0..50_000)), now),
            }
            if detector.is_out(now) {
                detector.record_outage();
            }
        }
        (0..6).for_each(|n| detector.record_answer(now, now + n * 400_000));
        assert!(!detector.is_out(now + 3 * SECOND), "{seed}: {detector:?}");
    }
}

/// A failure in the place of an answer never lowers the evidence for an outage.
#[test]
fn a_further_failure_never_lowers_the_evidence() {
    for seed in 0..100 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let outcomes: Vec<bool> = (0..60).map(|_| rng.bool()).collect();
        let worse = rng.usize(0..outcomes.len());
        let (mut one, mut other) = (FailureDetector::default(), FailureDetector::default());
        for (n, failed) in outcomes.iter().copied().enumerate() {
            let now = (n as Micros + 1) * 20_000;
            for (detector, failed) in [(&mut one, failed), (&mut other, failed || n == worse)] {
                match failed {
                    true => detector.record_failure(now - 10_000, now),
                    false => detector.record_answer(now.saturating_sub(900), now),
                }
            }
            assert!(other.cusum >= one.cusum && other.failure_share >= one.failure_share, "{seed}, {n}");
        }
    }
}

/// If smaller windows do not lower the failure share, the share is tolerated and no further cuts are asked
/// for. If they do, cuts continue.
#[test]
fn a_smaller_window_that_does_not_help_is_not_asked_for_again() {
    let cuts = |helps: bool| {
        let (mut detector, mut rng) = (FailureDetector::default(), fastrand::Rng::with_seed(9));
        let (mut window, mut cuts) = (32.0f64, 0);
        for n in 0..20_000u64 {
            let now = n * 1_000;
            let share = if helps { ((window - 16.0) / 64.0).max(0.0) } else { 0.15 };
            if rng.f64() < share {
                detector.record_failure(now.saturating_sub(900), now);
                if detector.should_cut(now) {
                    (window, cuts) = (window / 2.0, cuts + 1);
                }
            } else {
                detector.record_answer(now.saturating_sub(900), now);
                window = (window + 0.05).min(48.0);
            }
        }
        cuts
    };
    let (by_chance, by_load) = (cuts(false), cuts(true));
    assert!(by_chance <= 8, "{by_chance} cuts in 20 s for failures independent of the load");
    assert!(by_load >= 10, "{by_load} cuts in 20 s for failures caused by load");
}
