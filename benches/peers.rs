//! Cost and benefit of running five forwarders as peers of each other. Cost: messages per second and the time to a 202 with
//! `[peers]` and without, in alternation. Benefit: calls that partners reject when forwarders share retry-after waits and when
//! they do not, with the same seeds.
//!
//!     cargo bench --bench peers [-- cost | waits]

use foldtrack_control::ControlCommand;
use foldtrack_load::http_client::{post_request, HttpClient};
use foldtrack_rig::fleet::{Fleet, FleetConfig, PartnerEntry, StateFolder};
use foldtrack_rig::run::{run_scenario, Progress, RunConfig};
use foldtrack_rig::scenario::Scenario;
use foldtrack_standin::{Partner, PartnerBehavior};
use std::collections::BTreeMap;
use std::path::Path;
use std::thread::scope;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_foldtrack");
/// Duration of a measurement.
const DURATION: Duration = Duration::from_secs(3);

/// Number of orders that a forwarder with an empty folder has to fetch.
const ORDERS: usize = 200;

/// Setup the fleet is set up.
#[derive(Clone, Copy, PartialEq)]
enum Setup {
    /// Without `[peers]`.
    Without,
    /// With `[peers]`.
    With,
    /// With `[peers]`, while another forwarder is restarted with an empty folder again and again.
    CatchUp,
}

/// Returns the messages per second that one of the forwarders accepts, and the p50 and p99 of the time to the 202 in
/// microseconds.
fn throughput(setup: Setup, clients: usize, class: &str, durability: &str) -> (f64, u64, u64) {
    let quick =
        PartnerBehavior { answers: (Duration::ZERO, Duration::from_millis(1)), ..PartnerBehavior::default() };
    let partner = Partner::start(1, quick);
    let endpoints = vec![("p-1".to_string(), partner.address()), ("p-2".to_string(), partner.address())];
    let config = FleetConfig {
        forwarders: 5,
        partners: vec![PartnerEntry { name: "p".into(), endpoints, lines: String::new() }],
        top: format!(
            "durability = \"{durability}\"\n[admission]\nknown = [\"127.0.0.0/8\"]\n[ends]\ncount = 400000\nsize = \"96MiB\"\n[class.once]\n\
             effect = \"once\"\ndeadline = \"24s\"\n[class.repeatable]\neffect = \"repeatable\"\ndeadline = \"24s\"\n"
        ),
        peers: setup != Setup::Without,
        peers_lines: String::new(),
        clocks: BTreeMap::new(),
    };
    let mut fleet = Fleet::prepare(Path::new(PROGRAM), &config, 1).unwrap();
    fleet.start_all().unwrap();
    let to = fleet.forwarders[0].listen;
    if setup == Setup::CatchUp {
        for n in 0..ORDERS / 2 {
            fleet.forwarders[1].ask(ControlCommand::Drain { endpoint: "p-2".into() }).unwrap();
            let resume = ControlCommand::Resume { endpoint: Some("p-2".into()), partner: None };
            assert!(fleet.forwarders[1].ask(resume).is_ok(), "order {n}");
        }
    }
    let start = Instant::now();
    let mut caught_up = 0;
    let mut latencies: Vec<u64> = scope(|scope| {
        let client = |n: usize| {
            let mut client = HttpClient::new(to, Duration::from_secs(5));
            let mut latencies = Vec::new();
            for m in 0.. {
                if start.elapsed() > DURATION {
                    break;
                }
                let request =
                    post_request(&format!("/{class}/"), "X-Partner: p\r\n", &format!("m{n}-{m}"), "body");
                let sent = Instant::now();
                if client.send(&request, true).is_some_and(|a| a.status == 202) {
                    latencies.push(sent.elapsed().as_micros() as u64);
                }
            }
            latencies
        };
        let clients: Vec<_> = (0..clients).map(|n| scope.spawn(move || client(n))).collect();
        while setup == Setup::CatchUp && start.elapsed() < DURATION {
            fleet.forwarders[4].kill();
            fleet.start(4, StateFolder::Empty).unwrap();
            caught_up += 1;
        }
        clients.into_iter().flat_map(|c| c.join().unwrap()).collect()
    });
    assert!(setup != Setup::CatchUp || caught_up > 0);
    latencies.sort_unstable();
    let at = |part: f64| latencies[((latencies.len() - 1) as f64 * part) as usize];
    (latencies.len() as f64 / DURATION.as_secs_f64(), at(0.5), at(0.99))
}

/// Prints the cost of `[peers]`.
fn cost() {
    println!("\none of five forwarders, clients in a closed loop, {DURATION:?} each, with and without [peers] in alternation\n");
    println!(
        "{:<12} {:<10} {:>7} {:>8} {:>10} {:>8} {:>8} {:>8}",
        "class", "durability", "clients", "peers", "msgs/s", "ratio", "p50 us", "p99 us"
    );
    let only = std::env::args().find(|a| ["once", "repeatable"].contains(&a.as_str()));
    for class in ["repeatable", "once"] {
        for (durability, clients) in [("process", 64), ("machine", 64)] {
            if only.as_ref().is_some_and(|only| only != class) {
                continue;
            }
            let all = [Setup::Without, Setup::With, Setup::CatchUp];
            let round = || all.map(|setup| throughput(setup, clients, class, durability));
            let mut rounds: Vec<[(f64, u64, u64); 3]> = (0..3).map(|_| round()).collect();
            rounds.sort_by(|a, b| (a[1].0 / a[0].0).total_cmp(&(b[1].0 / b[0].0)));
            for (name, (rate, p50, p99)) in ["without", "with", "catch-up"].into_iter().zip(rounds[1]) {
                let ratio = rate / rounds[1][0].0;
                println!(
                    "{class:<12} {durability:<10} {clients:>7} {name:>8} {rate:>10.0} {ratio:>8.2} {p50:>8} {p99:>8}"
                );
            }
        }
    }
}

/// Prints the effect of shared waits.
fn waits() {
    println!("\nfive forwarders, a partner that accepts 40 calls per second and sends waits of 400 ms above that, 8 s, the same seeds\n");
    println!(
        "{:>8} {:>6} {:>8} {:>9} {:>9} {:>12}",
        "msgs/s", "seed", "waits", "calls", "effects", "rejected"
    );
    for rate in [1_200.0] {
        for seed in 1..=2 {
            for shared in [false, true] {
                let mut scenario = Scenario::built_in("calm").unwrap();
                (scenario.lasts, scenario.rate, scenario.least) = (Duration::from_secs(8), rate, 1);
                scenario.steps.clear();
                let mut config = RunConfig::new("waits", scenario, 5, seed);
                config.peers_lines = format!("share-waits = {shared}");
                let report = run_scenario(Path::new(PROGRAM), &config, &Progress::default()).unwrap();
                let name = if shared { "shared" } else { "own" };
                let limited = report.by_partner.get("limited").copied().unwrap_or_default();
                println!(
                    "{rate:>8} {seed:>6} {name:>8} {:>9} {:>9} {:>12}",
                    limited.0, limited.1, report.refused_by_partner
                );
            }
        }
    }
}

fn main() {
    let selected = std::env::args().find(|a| ["cost", "waits"].contains(&a.as_str()));
    if selected.as_deref() != Some("waits") {
        cost();
    }
    if selected.as_deref() != Some("cost") {
        waits();
    }
}
