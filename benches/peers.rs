//! What it costs a forwarder to be one of five that know of each other, and what it saves: messages a second and the time to a
//! 202 with `[peers]` and without, in turn; and calls that partners turned away with waits told to the others and not, on the
//! same seeds.
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
const SPAN: Duration = Duration::from_secs(3);

/// Orders that one on an empty folder has to fetch.
const ORDERS: usize = 200;

#[derive(Clone, Copy, PartialEq)]
enum How {
    Without,
    With,
    /// With [peers], while another is started on an empty folder again and again.
    CatchUp,
}

/// Messages a second at one of the forwarders, and p50 and p99 of the 202, in microseconds.
fn through(how: How, clients: usize, class: &str, durability: &str) -> (f64, u64, u64) {
    let quick =
        PartnerBehavior { answers: (Duration::ZERO, Duration::from_millis(1)), ..PartnerBehavior::default() };
    let partner = Partner::start(1, quick);
    let endpoints = vec![("p-1".to_string(), partner.address()), ("p-2".to_string(), partner.address())];
    let plan = FleetConfig {
        forwarders: 5,
        partners: vec![PartnerEntry { name: "p".into(), endpoints, lines: String::new() }],
        top: format!(
            "durability = \"{durability}\"\n[admission]\nknown = [\"127.0.0.0/8\"]\n[ends]\ncount = 400000\nsize = \"96MiB\"\n[class.once]\n\
             effect = \"once\"\ndeadline = \"24s\"\n[class.repeatable]\neffect = \"repeatable\"\ndeadline = \"24s\"\n"
        ),
        peers: how != How::Without,
        peers_lines: String::new(),
        clocks: BTreeMap::new(),
    };
    let mut fleet = Fleet::prepare(Path::new(PROGRAM), &plan, 1).unwrap();
    fleet.start_all().unwrap();
    let to = fleet.forwarders[0].listen;
    if how == How::CatchUp {
        for n in 0..ORDERS / 2 {
            fleet.forwarders[1].ask(ControlCommand::Drain { endpoint: "p-2".into() }).unwrap();
            let resume = ControlCommand::Resume { endpoint: Some("p-2".into()), partner: None };
            assert!(fleet.forwarders[1].ask(resume).is_ok(), "order {n}");
        }
    }
    let start = Instant::now();
    let mut caught_up = 0;
    let mut spans: Vec<u64> = scope(|scope| {
        let client = |n: usize| {
            let mut exchange = HttpClient::new(to, Duration::from_secs(5));
            let mut spans = Vec::new();
            for m in 0.. {
                if start.elapsed() > SPAN {
                    break;
                }
                let request =
                    post_request(&format!("/{class}/"), "X-Partner: p\r\n", &format!("m{n}-{m}"), "body");
                let sent = Instant::now();
                if exchange.send(&request, true).is_some_and(|a| a.status == 202) {
                    spans.push(sent.elapsed().as_micros() as u64);
                }
            }
            spans
        };
        let clients: Vec<_> = (0..clients).map(|n| scope.spawn(move || client(n))).collect();
        while how == How::CatchUp && start.elapsed() < SPAN {
            fleet.forwarders[4].kill();
            fleet.start(4, StateFolder::Empty).unwrap();
            caught_up += 1;
        }
        clients.into_iter().flat_map(|c| c.join().unwrap()).collect()
    });
    assert!(how != How::CatchUp || caught_up > 0);
    spans.sort_unstable();
    let at = |part: f64| spans[((spans.len() - 1) as f64 * part) as usize];
    (spans.len() as f64 / SPAN.as_secs_f64(), at(0.5), at(0.99))
}

fn cost() {
    println!("\none of five forwarders, clients in a closed loop, {SPAN:?} each, with and without [peers] in turn\n");
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
            let all = [How::Without, How::With, How::CatchUp];
            let round = || all.map(|how| through(how, clients, class, durability));
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

fn waits() {
    println!("\nfive forwarders, a partner that takes 40 a second and tells waits of 400 ms above that, 8 s: the same seeds\n");
    println!(
        "{:>8} {:>6} {:>8} {:>9} {:>9} {:>12}",
        "handed in", "seed", "waits", "calls", "effects", "turned away"
    );
    for rate in [1_200.0] {
        for seed in 1..=2 {
            for shared in [false, true] {
                let mut story = Scenario::built_in("calm").unwrap();
                (story.lasts, story.rate, story.least) = (Duration::from_secs(8), rate, 1);
                story.steps.clear();
                let mut told = RunConfig::new("waits", story, 5, seed);
                told.peers_lines = format!("share-waits = {shared}");
                let report = run_scenario(Path::new(PROGRAM), &told, &Progress::default()).unwrap();
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
    let what = std::env::args().find(|a| ["cost", "waits"].contains(&a.as_str()));
    if what.as_deref() != Some("waits") {
        cost();
    }
    if what.as_deref() != Some("cost") {
        waits();
    }
}
