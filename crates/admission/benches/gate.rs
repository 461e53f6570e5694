//! What the gate costs: a connection turned away, one let in and over, and the memory of 100,000 addresses.
//! `cargo bench -p foldtrack-admission`.

use foldtrack_admission::{Admit, Gate, Settings};
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Instant;

fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn main() {
    const COUNT: u32 = 500_000;
    let address = |n: u32| IpAddr::V4(Ipv4Addr::from(0x2d00_0000u32.wrapping_add(n)));
    let mut gate = Gate::new(Settings::for_connections(496));
    let one = address(7);
    let begun = Instant::now();
    let mut away = 0u32;
    for n in 0..COUNT {
        let admit = gate.connects(1_000_000 + u64::from(n), u64::from(n), black_box(one));
        away += u32::from(matches!(admit, Admit::Away { .. }));
    }
    println!(
        "one address: {:.0} ns a connection, {away} of {COUNT} turned away",
        begun.elapsed().as_nanos() as f64 / f64::from(COUNT)
    );

    let (mut gate, before) = (Gate::new(Settings::for_connections(496)), resident());
    let begun = Instant::now();
    for n in 0..100_000u32 {
        gate.connects(
            1_000_000 + u64::from(n),
            u64::from(n),
            black_box(address(n.wrapping_mul(2_654_435_761))),
        );
    }
    println!(
        "100,000 addresses: {:.0} ns a connection, {} remembered, {} KiB more resident",
        begun.elapsed().as_nanos() as f64 / 1e5,
        gate.remembered(),
        resident().saturating_sub(before)
    );

    let mut gate = Gate::new(Settings::for_connections(496));
    let begun = Instant::now();
    for n in 0..COUNT {
        let (now, number) = (1_000_000 + u64::from(n) * 5_000, u64::from(n));
        gate.connects(now, number, black_box(one));
        gate.asks(now, number);
        gate.answered(now, number, true);
        gate.leaves(now, number);
    }
    println!(
        "a known client's connection with a message: {:.0} ns",
        begun.elapsed().as_nanos() as f64 / f64::from(COUNT)
    );
}
