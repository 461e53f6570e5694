//! Partners that fail some of their calls, in simulated time: `cargo bench --bench lossy`. Sixteen clients submit messages one
//! after another to two partners whose calls take 0 to 30 ms. For comparison, a plain client with eight connections to each
//! partner retries each call until it succeeds.

#[path = "../tests/lossy/mod.rs"]
mod lossy;

use lossy::*;

/// Messages per second that a plain client applies: no journal, no order keys, no rule on payments.
fn plain(plan: &Scenario) -> f64 {
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let mut applied = 0u64;
    for _ in 0..8 * plan.partners {
        let mut now = 0;
        while now < plan.duration {
            now += plan.latency.0 + rng.u64(0..=plan.latency.1 - plan.latency.0) + 200;
            if rng.f64() < plan.failure_share {
                now += if plan.failure_kinds[rng.usize(0..plan.failure_kinds.len())] == FailureKind::Late {
                    SECOND
                } else {
                    0
                };
            } else {
                applied += 1;
            }
        }
    }
    applied as f64 * SECOND as f64 / plan.duration as f64
}

fn sweep() {
    println!("share   applied/s  of 0%   plain/s   attempts/applied  handed back   outages");
    let mut first = 0.0;
    for share in [0.0, 0.055, 0.11, 0.165, 0.22, 0.3, 0.4, 0.5, 0.6] {
        let (mut rate, mut back, mut tries, mut outages, mut taken) = (0.0, 0, 0.0, 0, 0);
        for seed in 1..=3 {
            let plan = Scenario { seed, failure_share: share, ..Scenario::default() };
            let result = simulate(&plan);
            let span = (plan.duration / SECOND) as usize;
            rate += result.by_second[..span].iter().sum::<u64>() as f64 / span as f64 / 3.0;
            tries += result.attempts as f64 / result.applied as f64 / 3.0;
            (back, outages, taken) =
                (back + result.handed_back, outages + result.outages_detected, taken + result.taken);
        }
        first = if first > 0.0 { first } else { rate };
        let plain = plain(&Scenario { failure_share: share, ..Scenario::default() });
        let back = back as f64 / taken as f64;
        println!(
            "{:>5.1}%  {rate:>9.1}  {:>5.2}  {plain:>8.1}  {tries:>16.2}  {:>10.1}%  {outages:>8}",
            share * 100.0,
            rate / first,
            back * 100.0
        );
    }
}

fn outages() {
    println!("real outages: time until detection and calls sent before it, worst of three seeds");
    for kind in [FailureKind::Refused, FailureKind::ResetBefore, FailureKind::Error, FailureKind::Silent] {
        let mut line = format!("  {kind:?}:");
        for rate in [5.0, 50.0, 500.0, 5_000.0] {
            let (mut latest, mut calls) = (0, 0);
            for seed in 1..=3 {
                let outage = Some((4 * SECOND, 12 * SECOND, kind));
                let plan = Scenario {
                    seed,
                    rate,
                    clients: 0,
                    outage,
                    slots: 256,
                    duration: 8 * SECOND,
                    ..Scenario::default()
                };
                let result = simulate(&plan);
                latest = latest.max(result.detected_after.unwrap_or(Micros::MAX));
                calls = calls.max(result.calls_before_detection);
            }
            line += &format!("  {rate}/s {} ms, {calls} calls;", latest / MS);
        }
        println!("{line}");
    }
}

use foldtrack_delivery::Micros;

fn main() {
    let names: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with('-')).collect();
    let all: [(&str, fn()); 2] = [("sweep", sweep), ("outages", outages)];
    for (name, run) in all {
        if names.is_empty() || names.iter().any(|n| n == name) {
            run();
        }
    }
}
