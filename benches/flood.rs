//! Latency of known clients during a flood of connections: `cargo bench --bench flood`. With `FOLDTRACK_OTHER` the program of
//! another build is measured by the same command, in alternation. `FOLDTRACK_FLOOD=10000` sets the number of flood connections,
//! which needs as many descriptors. CPU time for each rejected connection is the CPU time of the process beyond what the same
//! messages take without a flood.

mod common;
#[path = "../tests/site/flood_clients.rs"]
mod flood_clients;
#[allow(dead_code)]
#[path = "../tests/site/site_process.rs"]
mod site_process;

use common::cpu;
use flood_clients::{flood, p99, submit};
use foldtrack_standin::{Partner, PartnerBehavior};
use site_process::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::Duration;

/// Messages of each known client.
const MESSAGES: usize = 400;

/// Runs one measurement and prints it. Returns the CPU time in seconds. `quiet` is the CPU time without a flood.
fn measure(program: &str, name: &str, addresses: &[String], size: usize, quiet: f64) -> f64 {
    std::env::set_var("FOLDTRACK_PROGRAM", program);
    let partner = Partner::start(3, PartnerBehavior::default());
    let mut config = SiteConfig::with_endpoints(&[("p", "a", partner.address())]);
    config.limits = "descriptors = 1024\ncalls = 64";
    let site = SiteProcess::start(&config);
    // The clients become known by messages that are accepted.
    let not_accepted_before: Vec<usize> =
        (1..=3).map(|n| submit(site.listen, &format!("127.0.9.{n}"), 20).1).collect();
    let (stop, before) = (AtomicBool::new(false), cpu(site.pid()));
    scope(|scope| {
        let flood_thread = (size > 0).then(|| scope.spawn(|| flood(site.listen, addresses, size, &stop)));
        sleep(Duration::from_millis(500));
        let known: Vec<_> = (1..=3)
            .map(|n| {
                let (listen, own) = (site.listen, format!("127.0.9.{n}"));
                scope.spawn(move || submit(listen, &own, MESSAGES))
            })
            .collect();
        let known: Vec<_> = known.into_iter().filter_map(|k| k.join().ok()).collect();
        stop.store(true, Ordering::Relaxed);
        let opened = flood_thread.map_or(0, |f| f.join().unwrap_or(0));
        let mut took: Vec<Duration> = known.iter().flat_map(|k| k.0.clone()).collect();
        took.sort();
        let not_accepted: usize =
            known.iter().map(|k| k.1).sum::<usize>() + not_accepted_before.iter().sum::<usize>();
        let cpu_seconds = cpu(site.pid()) - before;
        let round = site.status().longest_round_us as f64 / 1e3;
        let each = if opened > 0 { (cpu_seconds - quiet).max(0.0) * 1e6 / opened as f64 } else { 0.0 };
        println!(
            "  {name:<22} p50 {:>9.2?}  p99 {:>9.2?}  not accepted {not_accepted:>4} of {}  flood opened {opened:>6}  CPU {cpu_seconds:.2} s, {each:.0} us per flood connection  longest event-loop round {round:.2} ms",
            took.get(took.len() / 2).copied().unwrap_or_default(),
            p99(&took),
            3 * MESSAGES
        );
        cpu_seconds
    })
}

fn main() {
    let size = std::env::var("FOLDTRACK_FLOOD").map_or(3_000, |n| n.parse().unwrap_or(3_000));
    let many: Vec<String> = (0..1_000).map(|n| format!("127.1.{}.{}", n / 250, 1 + n % 250)).collect();
    let own = ["127.0.9.1".to_string()];
    let one = ["127.0.8.1".to_string()];
    let programs: Vec<String> =
        [PROGRAM.to_string()].into_iter().chain(std::env::var("FOLDTRACK_OTHER")).collect();
    let mut quiet = [0.0; 2];
    for (name, addresses, size) in [
        ("no flood", &one[..], 0),
        ("one address", &one[..], size),
        ("a thousand addresses", &many[..], size),
        ("address of a known client", &own[..], size),
    ] {
        for (n, program) in programs.iter().enumerate() {
            println!("{}", ["this build", "other build"][n]);
            let cpu_seconds = measure(program, name, addresses, size, quiet[n]);
            if size == 0 {
                quiet[n] = cpu_seconds;
            }
        }
    }
}
