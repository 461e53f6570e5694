//! The verdict against chance, bursts and true outages.

use super::*;

const SECOND: Micros = 1_000_000;

/// Feeds outcomes at a rate for a while by a seed, one by one; the first verdict's time after the start.
fn feed(
    evidence: &mut Evidence, rng: &mut fastrand::Rng, from: Micros, rate: f64, share: f64, span: Micros,
) -> Option<Micros> {
    let gap = (SECOND as f64 / rate) as Micros;
    for now in (from..from + span).step_by(gap as usize) {
        match rng.f64() < share {
            true => evidence.failed(now.saturating_sub(gap / 2), now),
            false => evidence.answered(now.saturating_sub(900), now),
        }
        if evidence.is_out(now) {
            return Some(now - from);
        }
    }
    None
}

#[test]
fn a_share_that_is_far_from_most_is_no_verdict_at_any_rate_and_an_outage_is_one_at_once() {
    for (rate, share, most) in [(50.0, 0.1, 0), (500.0, 0.22, 0), (1_000.0, 0.3, 1), (5_000.0, 0.3, 1)] {
        let (mut verdicts, mut rng) = (0, fastrand::Rng::with_seed(7));
        for _ in 0..20 {
            let mut evidence = Evidence::default();
            assert_eq!(feed(&mut evidence, &mut rng, 0, rate, 0.0, 5 * SECOND), None);
            verdicts +=
                u32::from(feed(&mut evidence, &mut rng, 5 * SECOND, rate, share, 10 * SECOND).is_some());
        }
        assert!(verdicts <= most, "{rate}/s, {share}: {verdicts} of 20 stretches of 10 s");
    }
    for (rate, most) in [(3.0, SECOND), (50.0, SECOND / 4), (500.0, 40_000), (5_000.0, 10_000)] {
        let (mut evidence, mut rng) = (Evidence::default(), fastrand::Rng::with_seed(3));
        assert_eq!(feed(&mut evidence, &mut rng, 0, rate, 0.0, 20 * SECOND), None);
        let found = feed(&mut evidence, &mut rng, 20 * SECOND, rate, 1.0, 20 * SECOND);
        assert!(found.is_some_and(|after| after <= most), "{rate}/s: {found:?}");
    }
}

/// Calls that were out together fail together: it is one event, however many they are.
#[test]
fn a_restart_that_takes_all_calls_out_at_once_is_no_outage() {
    let (mut evidence, mut rng) = (Evidence::default(), fastrand::Rng::with_seed(5));
    feed(&mut evidence, &mut rng, 0, 2_000.0, 0.0, 5 * SECOND);
    let sent = 5 * SECOND - 10_000;
    (0..40).for_each(|_| evidence.failed(sent, 5 * SECOND));
    assert!(!evidence.is_out(5 * SECOND));
    // As many one after another are.
    (0..40).for_each(|n| evidence.failed(5 * SECOND + n * 500, 5 * SECOND + n * 500 + 400));
    assert!(evidence.is_out(5 * SECOND + 20_000));
}

/// A destination that is shut for another reason, a wait or silence, has no failures to its account for it.
#[test]
fn being_found_out_is_no_failure() {
    let mut evidence = Evidence::default();
    evidence.found_out();
    evidence.failed(1_000, 2_000);
    assert!(!evidence.is_out(2_000));
    evidence.failed(3_000, 4_000);
    evidence.failed(5_000, 6_000);
    assert!(evidence.is_out(6_000));
}

/// No sequence locks it: after whatever came, a few answers take the verdict back.
#[test]
fn a_few_answers_take_any_verdict_back() {
    for seed in 0..200 {
        let (mut evidence, mut rng) = (Evidence::default(), fastrand::Rng::with_seed(seed));
        let mut now = 0;
        for _ in 0..300 {
            now += rng.u64(100..400_000);
            match rng.u8(0..4) {
                0 => evidence.answered(now.saturating_sub(900), now),
                1 => evidence.spoilt(now),
                _ => evidence.failed(now.saturating_sub(rng.u64(0..50_000)), now),
            }
            if evidence.is_out(now) {
                evidence.found_out();
            }
        }
        (0..6).for_each(|n| evidence.answered(now, now + n * 400_000));
        assert!(!evidence.is_out(now + 3 * SECOND), "{seed}: {evidence:?}");
    }
}

/// One failure more, in the place of an answer, never makes it sounder.
#[test]
fn more_failures_never_make_it_sounder() {
    for seed in 0..100 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let outcomes: Vec<bool> = (0..60).map(|_| rng.bool()).collect();
        let worse = rng.usize(0..outcomes.len());
        let (mut one, mut other) = (Evidence::default(), Evidence::default());
        for (n, failed) in outcomes.iter().copied().enumerate() {
            let now = (n as Micros + 1) * 20_000;
            for (evidence, failed) in [(&mut one, failed), (&mut other, failed || n == worse)] {
                match failed {
                    true => evidence.failed(now - 10_000, now),
                    false => evidence.answered(now.saturating_sub(900), now),
                }
            }
            assert!(other.walk >= one.walk && other.share >= one.share, "{seed}, {n}");
        }
    }
}

/// Where cuts do not lower the share it is tolerated, and not asked for again and again; where they do, they go on.
#[test]
fn a_cut_that_does_not_help_is_not_asked_for_again() {
    let cuts = |helps: bool| {
        let (mut evidence, mut rng) = (Evidence::default(), fastrand::Rng::with_seed(9));
        let (mut window, mut cuts) = (32.0f64, 0);
        for n in 0..20_000u64 {
            let now = n * 1_000;
            let share = if helps { ((window - 16.0) / 64.0).max(0.0) } else { 0.15 };
            if rng.f64() < share {
                evidence.failed(now.saturating_sub(900), now);
                if evidence.asks_for_cut(now) {
                    (window, cuts) = (window / 2.0, cuts + 1);
                }
            } else {
                evidence.answered(now.saturating_sub(900), now);
                window = (window + 0.05).min(48.0);
            }
        }
        cuts
    };
    let (by_chance, by_load) = (cuts(false), cuts(true));
    assert!(by_chance <= 8, "{by_chance} cuts in 20 s for failures that have nothing to do with load");
    assert!(by_load >= 10, "{by_load} cuts in 20 s for failures that come with load");
}
