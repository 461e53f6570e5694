//! Kills at bad moments. `FOLDTRACK_KILLS` says how many; by hand it is some hundreds, and the figures stand in
//! `docs/design/site.md`.

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

fn kills(usual: usize) -> usize {
    std::env::var("FOLDTRACK_KILLS").ok().and_then(|n| n.parse().ok()).unwrap_or(usual)
}

/// A drain is ordered under load, the process killed 0 to 50 ms later: either the order was not acknowledged, or
/// nothing new goes there, also after the restart.
#[test]
fn a_drain_that_was_acknowledged_outlives_a_kill() {
    let (drained, other) = (Server::start(|_| OK), Server::start(|_| OK));
    let mut site = SiteProcess::start(&SiteConfig::with_endpoints(&[
        ("p", "a", drained.address),
        ("p", "b", other.address),
    ]));
    let mut acknowledged = 0;
    for round in 0..kills(8) {
        let (stop, told) = (AtomicBool::new(false), Mutex::new(None));
        // Half of them fall into the order itself.
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
                // The line may break in the middle of it.
                let ordered = Client::connect(&site.socket())
                    .and_then(|mut c| c.request(ControlCommand::Drain { endpoint: "a".into() }));
                if ordered.is_ok() {
                    *told.lock().unwrap() = Some(Instant::now());
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
        if let Some(told) = *told.lock().unwrap() {
            acknowledged += 1;
            assert_eq!(state, "draining", "round {round}: acknowledged and forgotten");
            (0..20).for_each(|n| drop(site.post("note", "", &format!("r{round}-{n}"), "x")));
            let grace = told + Duration::from_secs(2);
            let late = drained.seen().iter().filter(|r| r.at > grace).count();
            assert_eq!(late, 0, "round {round}");
        }
        if state == "draining" {
            site.order(ControlCommand::Resume { endpoint: Some("a".into()), partner: None });
        }
    }
    println!("{acknowledged} drains were acknowledged before the kill");
}

/// The process is killed again and again under load. Every message that was taken on has one end, and none that took
/// effect is told as given up or handed back.
#[test]
fn no_end_is_lost_and_none_is_false_however_often_the_process_is_killed() {
    killed_under_load("process");
}

#[test]
fn nor_where_every_answer_waits_for_the_disk() {
    killed_under_load("machine");
}

fn killed_under_load(durability: &'static str) {
    let (site, partner) = small_site(durability, false);
    under_load(site, partner, kills(8), 0, |site, feed, round| {
        sleep(Duration::from_micros(fastrand::u64(50_000..300_000)));
        if round % 2 == 0 {
            // Killed between the fetch and the acknowledgement that the next one brings.
            feed.fetch(site, 50);
        }
        site.kill();
        site.restart();
    });
}

/// The disk fills again and again under load, at whatever moment the journal and the ends are in, and has room again
/// without a restart; now and then the process is killed on the full disk, and comes up on it. What is held goes on.
#[test]
fn a_disk_that_fills_under_load_loses_nothing_and_is_noticed_when_it_has_room_again() {
    full_under_load("process");
}

#[test]
fn nor_does_it_where_every_answer_waits_for_the_disk() {
    full_under_load("machine");
}

fn full_under_load(durability: &'static str) {
    let (site, partner) = small_site(durability, true);
    let refusals = AtomicUsize::new(0);
    let refused = under_load(site, partner, kills(8), 3_000, |site, feed, round| {
        sleep(Duration::from_millis(fastrand::u64(20..150)));
        // From nothing at all up to two segments more than there is.
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
        eventually("it takes messages on again", || {
            tries += 1;
            site.post("note", "", &format!("again-{round}-{tries}"), "x").0 == 202
        });
    });
    assert!(refused > refusals.load(Ordering::SeqCst), "the load met the full disk: {refused}");
}

/// A site whose journal compacts all the time, with a partner that fails some calls.
fn small_site(durability: &'static str, budget: bool) -> (SiteProcess, Partner) {
    let partner =
        Partner::start(7, PartnerBehavior { resets: 0.02, errors: 0.02, ..PartnerBehavior::default() });
    let mut plan = SiteConfig::with_endpoints(&[("p", "a", partner.address())]);
    plan.limits = "messages = 2000\ndisk = \"16MiB\"";
    plan.ends = "size = \"8MiB\"";
    plan.durability = durability;
    let mut site = SiteProcess::prepared(&plan);
    if budget {
        site.set_disk_limit(u64::MAX >> 1);
    }
    site.restart();
    (site, partner)
}

/// What a client has fetched and acknowledged.
#[derive(Default)]
struct Feed {
    ends: BTreeMap<u64, (String, String)>,
    after: u64,
}

impl Feed {
    /// Fetches and acknowledges some ends, as a client does; what comes twice must be the same.
    fn fetch(&mut self, site: &SiteProcess, most: u32) -> usize {
        let (status, told) = site.get(&format!("/v1/ends?after={}&most={most}&wait_ms=0", self.after));
        if status != 200 {
            return 0;
        }
        let lines = told["ends"].as_array().cloned().unwrap_or_default();
        for line in &lines {
            let word = |name: &str| line[name].as_str().unwrap().to_string();
            let (cursor, end) = (line["cursor"].as_u64().unwrap(), (word("id"), word("state")));
            assert!(self.ends.insert(cursor, end.clone()).is_none_or(|before| before == end), "{end:?}");
            self.after = cursor;
        }
        lines.len()
    }
}

/// Four clients hand messages in while trouble comes in rounds; then every message that was taken on must have one end
/// and a true one. Gives how many were refused with a wait.
fn under_load(
    mut site: SiteProcess, partner: Partner, rounds: usize, filler: usize,
    mut trouble: impl FnMut(&mut SiteProcess, &mut Feed, usize),
) -> usize {
    let (taken, stop, next) = (Mutex::new(BTreeSet::new()), AtomicBool::new(false), AtomicUsize::new(0));
    let (mut feed, listen, refused) = (Feed::default(), site.listen, AtomicUsize::new(0));
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
                    let body = body + &"x".repeat(filler);
                    let bytes = message_request("p", class, &key, &format!("m{n}"), &body);
                    let answer = exchange(listen, &bytes).unwrap_or_default().to_lowercase();
                    if answer.starts_with("http/1.1 202") {
                        taken.lock().unwrap().insert(format!("m{n}"));
                    }
                    let told = answer.starts_with("http/1.1 503") && answer.contains("retry-after: ");
                    refused.fetch_add(usize::from(told), Ordering::SeqCst);
                    sleep(Duration::from_millis(1));
                }
            });
        }
        for round in 0..rounds {
            trouble(&mut site, &mut feed, round);
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
    let books = partner.call_records();
    let verdict = check_rules([&books]);
    assert!(verdict.twice.is_empty(), "{verdict:?}");
    let took: BTreeSet<&str> = books
        .calls
        .iter()
        .filter(|c| matches!(c.outcome, CallOutcome::TookEffect | CallOutcome::Unanswered))
        .map(|c| c.id.as_str())
        .collect();
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for (id, states) in &by_id {
        counts.entry(states[0]).and_modify(|n| *n += 1).or_insert(1);
        match states[0] {
            "delivered" => assert!(took.contains(id), "{id} is told as delivered and never came"),
            "given_up" => assert!(!took.contains(id), "{id} took effect and is told as given up"),
            "handed_back" => {
                let keyed = books.calls.iter().any(|c| c.id == **id && c.class == "update");
                assert!(keyed || !took.contains(id), "{id} took effect and is told as handed back");
            }
            "in_doubt" => {}
            other => panic!("{id}: {other}"),
        }
    }
    println!("{} taken on, ends {counts:?}, effects {}", taken.len(), verdict.effects);
    assert!(counts["delivered"] > taken.len() / 2);
    refused.into_inner()
}
