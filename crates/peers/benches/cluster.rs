//! Benchmarks of simulated members: the time until an order reaches the last member, idle traffic, the rate
//! of false suspicions, and the time to catch up. All run in one process; CPU time is that of this machine.
//!
//!     cargo bench -p foldtrack-peers --bench cluster

#[path = "../tests/world/mod.rs"]
mod world;

use foldtrack_peers::members::Standing;
use std::time::Instant;
use world::{Net, World};

const NETWORKS: [(&str, Net); 4] = [
    ("none", Net { loss: 0.0, delay: (0, 1), duplication: 0.0 }),
    ("1%, 1 to 5 ms", Net { loss: 0.01, delay: (1, 5), duplication: 0.0 }),
    ("10%, 1 to 40 ms", Net { loss: 0.1, delay: (1, 40), duplication: 0.0 }),
    ("30%, 0 to 2 s", Net { loss: 0.3, delay: (0, 2_000), duplication: 0.1 }),
];

fn median(mut all: Vec<u64>) -> (u64, u64) {
    all.sort_unstable();
    (all[all.len() / 2], all[all.len() - 1])
}

fn order_latency() {
    println!(
        "\ntime until an order reaches the last member, ms over 20 orders (median, latest), and until it is \
         acknowledged (median)\n"
    );
    println!(
        "{:>8}  {:<16} {:>8} {:>8} {:>13}",
        "members", "loss, delay", "median", "latest", "acknowledged"
    );
    for size in [5, 50, 200] {
        for (name, net) in NETWORKS {
            let mut world = World::started(size, 1);
            world.net = net;
            world.run(2_000);
            let (mut spans, mut acknowledged) = (Vec::new(), Vec::new());
            for n in 0..20 {
                let (author, name) = (n * 7 % size, format!("e{n}"));
                let started = world.now;
                let order = world.close(author, &name);
                let took = world.run_until(60_000, |w| (0..size).all(|m| w.closed(m, &name)));
                spans.push(took.unwrap_or(60_000));
                let _ = world.wait_settled(author, order);
                acknowledged.push(world.nodes[author].settled[&order].0 - started);
            }
            let (median_reached, latest) = median(spans);
            println!("{size:>8}  {name:<16} {median_reached:>8} {latest:>8} {:>13}", median(acknowledged).0);
        }
    }
}

fn idle_traffic() {
    println!("\nidle traffic per member and second: datagrams and bytes sent, CPU\n");
    println!("{:>8} {:>10} {:>8} {:>8}", "members", "datagrams", "bytes", "CPU us");
    for size in [5, 50, 200] {
        let mut world = World::started(size, 2);
        let traffic = |w: &World| {
            let all = (0..size).map(|n| w.peers(n).traffic().0);
            all.fold((0, 0), |(count, bytes), one| (count + one.0, bytes + one.1))
        };
        let (before, started) = (traffic(&world), Instant::now());
        world.run(20_000);
        let (after, took) = (traffic(&world), started.elapsed());
        let each = |total: u64| total as f64 / size as f64 / 20.0;
        let cpu = took.as_micros() as f64 / size as f64 / 20.0;
        println!(
            "{size:>8} {:>10.1} {:>8.0} {:>8.0}",
            each(after.0 - before.0),
            each(after.1 - before.1),
            cpu
        );
    }
}

fn failure_detection() {
    println!("\nfalse detections per hour and observing member; time to detect a real failure, ms\n");
    println!("{:>8}  {:<16} {:>10} {:>10}", "members", "loss, delay", "per hour", "detected ms");
    for (size, hours) in [(5, 0.5), (50, 0.05)] {
        for (name, net) in NETWORKS {
            let mut world = World::started(size, 3);
            world.net = net;
            world.run((hours * 3_600_000.0) as u64);
            let false_detections: usize = (0..size).map(|n| world.event_count(n, "peer_down")).sum();
            let failed = World::name(size - 1);
            world.kill(size - 1);
            let detected = world.run_until(120_000, |w| {
                let statuses = w.peers(0).member_statuses(w.clock(0));
                statuses.iter().any(|s| s.name == failed && s.standing == Standing::Down)
            });
            let detected = detected.map_or("-".into(), |ms| ms.to_string());
            println!(
                "{size:>8}  {name:<16} {:>10.2} {detected:>10}",
                false_detections as f64 / hours / size as f64
            );
        }
    }
}

fn catch_up() {
    println!("\ncatching up on an empty disk, by number of missing facts: time, ms (256 KiB per second)\n");
    println!("{:>8} {:>10} {:>12}", "facts", "ms", "bytes sent");
    for facts in [10, 100, 1_000, 5_000] {
        let mut world = World::new(3, 4);
        world.catch_up_bytes_per_s = 256 << 10;
        (0..3).for_each(|n| world.start(n));
        world.run(3_000);
        world.kill(2);
        for n in 0..facts {
            world.close(n % 2, &format!("endpoint-{n}"));
            if n % 50 == 0 {
                world.run(100);
            }
        }
        world.run(20_000);
        world.nodes[2].disk = Default::default();
        let before: u64 = (0..2).map(|n| world.peers(n).traffic().0 .1).sum();
        world.start(2);
        let took = world.run_until(120_000, |w| w.peers(2).ledger().len() == facts && w.converged());
        let after: u64 = (0..2).map(|n| world.peers(n).traffic().0 .1).sum();
        println!("{facts:>8} {:>10} {:>12}", took.map_or("-".into(), |ms| ms.to_string()), after - before);
    }
}

fn main() {
    order_latency();
    idle_traffic();
    failure_detection();
    catch_up();
}
