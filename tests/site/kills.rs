//! Kills the forwarder and fills its disk at random moments. `FOLDTRACK_KILLS` sets the number of
//! rounds; manual runs use several hundred, with results in `docs/design/site.md`.

use super::site_process::*;
use foldtrack_control::{Client, ControlCommand};
use foldtrack_standin::call_records::{check_rules, CallOutcome};
use foldtrack_standin::http::{Server, OK};
use foldtrack_standin::{Partner, PartnerBehavior};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// The number of rounds.
fn kill_rounds(default: usize) -> usize {
    std::env::var("FOLDTRACK_KILLS").ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// A drain is ordered under load and the process is killed 0 to 50 ms later. If the order was
/// acknowledged, no new call goes to the endpoint, even after the restart.
#[test]
fn an_acknowledged_drain_survives_a_kill() {
    let (drained, other) = (Server::start(|_| OK), Server::start(|_| OK));
    let mut site = SiteProcess::start(&SiteConfig::with_endpoints(&[
        ("p", "a", drained.address),
        ("p", "b", other.address),
    ]));
    let mut acknowledged = 0;
    for round in 0..kill_rounds(8) {
        let (stop, acknowledged_at) = (AtomicBool::new(false), Mutex::new(None));
        // Half of the kills fall into the processing of the order.
        let pause = Duration::from_micros(fastrand::u64(0..if round % 2 == 0 { 3_000 } else { 50_000 }));
        let pid = site.pid().to_string();
        scope(|scope| {
            scope.spawn(|| {
                let mut n = 0;
                while !stop.load(Ordering::SeqCst) {
                    site.post("note", "", &format!("m{round}-{n}"), "x");
                    n += 1;
                }
            });
            scope.spawn(|| {
                sleep(Duration::from_millis(20));
                // The connection may be lost during the request.
                let ordered = Client::connect(&site.socket())
                    .and_then(|mut c| c.request(ControlCommand::Drain { endpoint: "a".into() }));
                if ordered.is_ok() {
                    *acknowledged_at.lock().unwrap() = Some(Instant::now());
                }
            });
            sleep(Duration::from_millis(20) + pause);
            assert!(std::process::Command::new("kill")
                .args(["-s", "KILL", &pid])
                .status()
                .unwrap()
                .success());
            stop.store(true, Ordering::SeqCst);
        });
        site.kill();
        site.restart();
        let state = site.endpoints()["a"].state.clone();
        if let Some(acknowledged_at) = *acknowledged_at.lock().unwrap() {
            acknowledged += 1;
            assert_eq!(state, "draining", "round {round}: an acknowledged drain was lost");
            (0..20).for_each(|n| drop(site.post("note", "", &format!("r{round}-{n}"), "x")));
            let grace = acknowledged_at + Duration::from_secs(2);
            let late = drained.seen().iter().filter(|r| r.at > grace).count();
            assert_eq!(late, 0, "round {round}");
        }
        if state == "draining" {
            site.order(ControlCommand::Resume { endpoint: Some("a".into()), partner: None });
        }
    }
    println!("{acknowledged} drains were acknowledged before the kill");
}

/// The process is killed repeatedly under load. Every accepted message has exactly one outcome, and
/// none that took effect is reported as given up or handed back.
#[test]
fn outcomes_are_complete_and_correct_after_repeated_kills() {
    killed_under_load("process");
}

#[test]
fn outcomes_are_complete_and_correct_after_repeated_kills_with_machine_durability() {
    killed_under_load("machine");
}

fn killed_under_load(durability: &'static str) {
    let (site, partner) = small_site(durability, false);
    under_load(site, partner, kill_rounds(8), 0, |site, feed, round| {
        sleep(Duration::from_micros(fastrand::u64(50_000..300_000)));
        if round % 2 == 0 {
            // The kill falls between a fetch and the acknowledgement, which is part of the next
            // fetch.
            feed.fetch(site, 50);
        }
        site.kill();
        site.restart();
    });
}

/// The disk fills repeatedly under load, in any state of the journal and the outcome store, and
/// later has space again without a restart. In some rounds the process is killed while the disk is
/// full, and restarts on the full disk. Held messages are still delivered.
#[test]
fn a_full_disk_loses_nothing_and_recovers_without_a_restart() {
    full_under_load("process");
}

#[test]
fn a_full_disk_loses_nothing_and_recovers_with_machine_durability() {
    full_under_load("machine");
}

fn full_under_load(durability: &'static str) {
    let (site, partner) = small_site(durability, true);
    let refusals = AtomicUsize::new(0);
    let refused = under_load(site, partner, kill_rounds(8), 3_000, |site, feed, round| {
        sleep(Duration::from_millis(fastrand::u64(20..150)));
        // The free space is between nothing and two journal segments.
        site.set_disk_limit(site.disk_usage() + fastrand::u64(0..250_000) * u64::from(round % 3 != 0));
        let mut tries = 0;
        eventually("the full disk refuses", || {
            tries += 1;
            site.post("note", "", &format!("probe-{round}-{tries}"), &"x".repeat(3_000)).0 != 202
        });
        sleep(Duration::from_millis(fastrand::u64(0..300)));
        refusals.fetch_add(1, Ordering::SeqCst);
        if round % 4 == 1 {
            site.kill();
            site.restart();
        }
        feed.fetch(site, 200);
        site.set_disk_limit(u64::MAX >> 1);
        let mut tries = 0;
        eventually("messages are accepted again", || {
            tries += 1;
            site.post("note", "", &format!("again-{round}-{tries}"), "x").0 == 202
        });
    });
    assert!(refused > refusals.load(Ordering::SeqCst), "the load was refused on the full disk: {refused}");
}

/// A site with a small journal that compacts constantly, and a partner that fails some calls.
fn small_site(durability: &'static str, budget: bool) -> (SiteProcess, Partner) {
    let partner =
        Partner::start(7, PartnerBehavior { resets: 0.02, errors: 0.02, ..PartnerBehavior::default() });
    let mut config = SiteConfig::with_endpoints(&[("p", "a", partner.address())]);
    config.limits = "messages = 2000\ndisk = \"16MiB\"";
    config.ends = "size = \"8MiB\"";
    config.durability = durability;
    let mut site = SiteProcess::prepared(&config);
    if budget {
        site.set_disk_limit(u64::MAX >> 1);
    }
    site.restart();
    (site, partner)
}

/// The outcomes that a client has fetched and acknowledged.
#[derive(Default)]
struct OutcomeFeed {
    ends: BTreeMap<u64, (String, String)>,
    after: u64,
}

impl OutcomeFeed {
    /// Fetches and acknowledges some outcomes, as a client does. An outcome that is received twice
    /// must be identical.
    fn fetch(&mut self, site: &SiteProcess, most: u32) -> usize {
        let (status, response) = site.get(&format!("/v1/ends?after={}&most={most}&wait_ms=0", self.after));
        if status != 200 {
            return 0;
        }
        let lines = response["ends"].as_array().cloned().unwrap_or_default();
        for line in &lines {
            let text = |name: &str| line[name].as_str().unwrap().to_string();
            let (cursor, end) = (line["cursor"].as_u64().unwrap(), (text("id"), text("state")));
            assert!(self.ends.insert(cursor, end.clone()).is_none_or(|before| before == end), "{end:?}");
            self.after = cursor;
        }
        lines.len()
    }
}

/// Four clients submit messages while faults are injected in rounds. Then every accepted message
/// must have exactly one outcome, and it must agree with the partner's records. Returns how many
/// messages were refused with a requested wait.
fn under_load(
    mut site: SiteProcess, partner: Partner, rounds: usize, padding: usize,
    mut inject_fault: impl FnMut(&mut SiteProcess, &mut OutcomeFeed, usize),
) -> usize {
    let (taken, stop, next) = (Mutex::new(BTreeSet::new()), AtomicBool::new(false), AtomicUsize::new(0));
    let (mut feed, listen, refused) = (OutcomeFeed::default(), site.listen, AtomicUsize::new(0));
    scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !stop.load(Ordering::SeqCst) {
                    let n = next.fetch_add(1, Ordering::SeqCst);
                    let (class, key) =
                        if n % 2 == 0 { ("fee", String::new()) } else { ("update", format!("k{}", n % 5)) };
                    let body = if key.is_empty() {
                        "class=fee;".into()
                    } else {
                        format!("key={key};seq={n};class=update;")
                    };
                    let body = body + &"x".repeat(padding);
                    let bytes = message_request("p", class, &key, &format!("m{n}"), &body);
                    let answer = exchange(listen, &bytes).unwrap_or_default().to_lowercase();
                    if answer.starts_with("http/1.1 202") {
                        taken.lock().unwrap().insert(format!("m{n}"));
                    }
                    let refused_with_wait =
                        answer.starts_with("http/1.1 503") && answer.contains("retry-after: ");
                    refused.fetch_add(usize::from(refused_with_wait), Ordering::SeqCst);
                    sleep(Duration::from_millis(1));
                }
            });
        }
        for round in 0..rounds {
            inject_fault(&mut site, &mut feed, round);
        }
        stop.store(true, Ordering::SeqCst);
    });
    eventually("everything has ended", || site.status().held == 0);
    while feed.fetch(&site, 500) > 0 {}
    let taken = taken.into_inner().unwrap();
    let mut by_id: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    feed.ends.values().for_each(|(id, state)| by_id.entry(id).or_default().push(state));
    for id in &taken {
        assert_eq!(by_id.get(id.as_str()).map(Vec::len), Some(1), "{id}: {:?}", by_id.get(id.as_str()));
    }
    let records = partner.call_records();
    let verdict = check_rules([&records]);
    assert!(verdict.twice.is_empty(), "{verdict:?}");
    let effective: BTreeSet<&str> = records
        .calls
        .iter()
        .filter(|c| matches!(c.outcome, CallOutcome::TookEffect | CallOutcome::Unanswered))
        .map(|c| c.id.as_str())
        .collect();
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for (id, states) in &by_id {
        counts.entry(states[0]).and_modify(|n| *n += 1).or_insert(1);
        match states[0] {
            "delivered" => assert!(effective.contains(id), "{id} is reported as delivered but never arrived"),
            "given_up" => assert!(!effective.contains(id), "{id} took effect but is reported as given up"),
            "handed_back" => {
                let keyed = records.calls.iter().any(|c| c.id == **id && c.class == "update");
                assert!(keyed || !effective.contains(id), "{id} took effect but is reported as handed back");
            }
            "in_doubt" => {}
            other => panic!("{id}: {other}"),
        }
    }
    println!("{} accepted, outcomes {counts:?}, effects {}", taken.len(), verdict.effects);
    assert!(counts["delivered"] > taken.len() / 2);
    refused.into_inner()
}
