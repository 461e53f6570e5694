//! Known clients at a site beside floods: `cargo bench --bench flood`. With `FOLDTRACK_OTHER` another build's program is
//! measured by the same command, by turns. `FOLDTRACK_FLOOD=10000` is the size of the flood, which needs as many descriptors.
//! CPU for each connection that was turned away is what the process took beyond what it takes for the same messages without
//! a flood.

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

const MESSAGES: usize = 400;

/// What a run took: CPU seconds.
fn measure(program: &str, what: &str, addresses: &[String], size: usize, quiet: f64) -> f64 {
    std::env::set_var("FOLDTRACK_PROGRAM", program);
    let partner = Partner::start(3, PartnerBehavior::default());
    let mut plan = SiteConfig::with_endpoints(&[("p", "a", partner.address())]);
    plan.limits = "descriptors = 1024\ncalls = 64";
    let site = SiteProcess::start(&plan);
    // They become known by what is taken on.
    let warm: Vec<usize> = (1..=3).map(|n| submit(site.listen, &format!("127.0.9.{n}"), 20).1).collect();
    let (stop, before) = (AtomicBool::new(false), cpu(site.pid()));
    scope(|scope| {
        let flooding = (size > 0).then(|| scope.spawn(|| flood(site.listen, addresses, size, &stop)));
        sleep(Duration::from_millis(500));
        let known: Vec<_> = (1..=3)
            .map(|n| {
                let (listen, own) = (site.listen, format!("127.0.9.{n}"));
                scope.spawn(move || submit(listen, &own, MESSAGES))
            })
            .collect();
        let known: Vec<_> = known.into_iter().filter_map(|k| k.join().ok()).collect();
        stop.store(true, Ordering::Relaxed);
        let opened = flooding.map_or(0, |f| f.join().unwrap_or(0));
        let mut took: Vec<Duration> = known.iter().flat_map(|k| k.0.clone()).collect();
        took.sort();
        let lost: usize = known.iter().map(|k| k.1).sum::<usize>() + warm.iter().sum::<usize>();
        let spent = cpu(site.pid()) - before;
        let round = site.status().longest_round_us as f64 / 1e3;
        let each = if opened > 0 { (spent - quiet).max(0.0) * 1e6 / opened as f64 } else { 0.0 };
        println!(
            "  {what:<22} p50 {:>9.2?}  p99 {:>9.2?}  not taken on {lost:>4} of {}  flood opened {opened:>6}  CPU {spent:.2} s, {each:.0} us for each of these  longest round {round:.2} ms",
            took.get(took.len() / 2).copied().unwrap_or_default(),
            p99(&took),
            3 * MESSAGES
        );
        spent
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
    for (what, addresses, size) in [
        ("no flood", &one[..], 0),
        ("one address", &one[..], size),
        ("a thousand addresses", &many[..], size),
        ("a known one's own", &own[..], size),
    ] {
        for (n, program) in programs.iter().enumerate() {
            println!("{}", ["this build", "the other"][n]);
            let spent = measure(program, what, addresses, size, quiet[n]);
            if size == 0 {
                quiet[n] = spent;
            }
        }
    }
}
