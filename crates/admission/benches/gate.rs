//! Costs of the gate: a rejected connection, an admitted one with a message, and the memory for
//! 100,000 addresses. Run with `cargo bench -p foldtrack-admission`.

use foldtrack_admission::{ConnectDecision, Gate, Settings};
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Instant;

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn main() {
    const COUNT: u32 = 500_000;
    let address = |n: u32| IpAddr::V4(Ipv4Addr::from(0x2d00_0000u32.wrapping_add(n)));
    let mut gate = Gate::new(Settings::for_connections(496));
    let single = address(7);
    let start = Instant::now();
    let mut rejected = 0u32;
    for n in 0..COUNT {
        let decision = gate.connect(1_000_000 + u64::from(n), u64::from(n), black_box(single));
        rejected += u32::from(matches!(decision, ConnectDecision::Reject { .. }));
    }
    println!(
        "one address: {:.0} ns a connection, {rejected} of {COUNT} rejected",
        start.elapsed().as_nanos() as f64 / f64::from(COUNT)
    );

    let (mut gate, before) = (Gate::new(Settings::for_connections(496)), resident_kib());
    let start = Instant::now();
    for n in 0..100_000u32 {
        gate.connect(
            1_000_000 + u64::from(n),
            u64::from(n),
            black_box(address(n.wrapping_mul(2_654_435_761))),
        );
    }
    println!(
        "100,000 addresses: {:.0} ns a connection, {} remembered, {} KiB more resident",
        start.elapsed().as_nanos() as f64 / 1e5,
        gate.account_count(),
        resident_kib().saturating_sub(before)
    );

    let mut gate = Gate::new(Settings::for_connections(496));
    let start = Instant::now();
    for n in 0..COUNT {
        let (now, number) = (1_000_000 + u64::from(n) * 5_000, u64::from(n));
        gate.connect(now, number, black_box(single));
        gate.begin_request(now, number);
        gate.end_request(now, number, true);
        gate.disconnect(now, number);
    }
    println!(
        "a known client's connection with a message: {:.0} ns",
        start.elapsed().as_nanos() as f64 / f64::from(COUNT)
    );
}
