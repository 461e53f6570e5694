//! The estimator against the paper's own figures, and against a slow spell.

use super::AnswerTimes;

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
