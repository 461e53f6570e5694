//! Tests with several forwarder processes of one site and faults between them.
//!
//! `FOLDTRACK_SEEDS=N cargo test --release --test peers` runs each scenario with N seeds,
//! `FOLDTRACK_KILLS=N` sets the number of kills.

mod endless;

use foldtrack_control::{ControlCommand, ControlResponse};
use foldtrack_rig::fleet::{Fleet, FleetConfig, PartnerEntry, StateFolder};
use foldtrack_rig::run::{run_scenario, Progress, RunConfig};
use foldtrack_rig::scenario::{Action, Scenario};
use foldtrack_standin::{eventually, Partner, PartnerBehavior};
use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_foldtrack");

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// Runs a scenario and checks every invariant against the partners' records.
fn check_invariants(name: &str) {
    for seed in 1..=number("FOLDTRACK_SEEDS", 1) {
        let story = Scenario::built_in(name).unwrap();
        let plan = RunConfig::new(name, story, 5, seed);
        let report = run_scenario(Path::new(PROGRAM), &plan, &Progress::default()).unwrap();
        assert!(report.is_clean(), "seed {seed}: {report:?}");
    }
}

macro_rules! stories {
    ($($name:ident: $story:literal,)*) => {$(
        #[test]
        fn $name() {
            check_invariants($story);
        }
    )*};
}

stories! {
    no_faults: "calm",
    datagrams_are_lost_delayed_and_corrupted: "loss",
    two_of_five_are_partitioned_away_and_return: "cut",
    one_is_not_heard_by_some_members: "one-way",
    one_member_flaps: "flap",
    one_rejoins_after_an_absence: "rejoin",
    one_loses_its_state_folder: "restart-empty",
    one_restarts_on_a_restored_backup: "restored-backup",
    forwarders_die_and_their_clients_use_others: "elsewhere",
    clocks_are_hours_apart_and_drift: "clocks",
}

/// A fleet with one partner that has two endpoints.
fn fleet(forwarders: usize, peers: bool, lines: &str) -> (Fleet, Partner) {
    let partner = Partner::start(1, PartnerBehavior::default());
    let endpoints = vec![("p-1".to_string(), partner.address()), ("p-2".to_string(), partner.address())];
    let plan = FleetConfig {
        forwarders,
        partners: vec![PartnerEntry { name: "p".into(), endpoints, lines: String::new() }],
        top: "durability = \"process\"\n[class.payment]\neffect = \"once\"\ndeadline = \"8s\"\n[class.notice]\n\
              effect = \"repeatable\"\ndeadline = \"8s\"\n"
            .into(),
        peers,
        peers_lines: lines.into(),
        clocks: BTreeMap::new(),
    };
    (Fleet::prepare(Path::new(PROGRAM), &plan, 1).unwrap(), partner)
}

fn started(forwarders: usize) -> (Fleet, Partner) {
    let (mut fleet, partner) = fleet(forwarders, true, "");
    fleet.start_all().unwrap();
    (fleet, partner)
}

fn drain(name: &str) -> ControlCommand {
    ControlCommand::Drain { endpoint: name.into() }
}

fn resume(name: &str) -> ControlCommand {
    ControlCommand::Resume { endpoint: Some(name.into()), partner: None }
}

fn state_of(fleet: &Fleet, forwarder: usize, endpoint: &str) -> String {
    let endpoints = fleet.forwarders[forwarder].endpoints().unwrap_or_default();
    endpoints.get(endpoint).map_or(String::new(), |e| e.state.clone())
}

/// A drain is kept by the other forwarders even if the one that acknowledged it is killed up to 50 ms
/// later.
#[test]
fn a_drain_survives_the_forwarder_that_acknowledged_it() {
    let (mut fleet, _partner) = started(3);
    let mut random = fastrand::Rng::with_seed(7);
    let mut slowest_propagation = Duration::ZERO;
    for round in 0..number("FOLDTRACK_KILLS", 12) as usize {
        let author = round % 3;
        let acknowledged = fleet.forwarders[author].ask(drain("p-1"));
        let Ok(ControlResponse::Done(done)) = acknowledged else { panic!("round {round}: {acknowledged:?}") };
        assert!(done.copies >= 1 && done.others == 2, "round {round}: {done:?}");
        std::thread::sleep(Duration::from_micros(random.u64(0..50_000)));
        fleet.forwarders[author].kill();
        let killed = Instant::now();
        for other in (0..3).filter(|n| *n != author) {
            eventually("the others keep the drain", || state_of(&fleet, other, "p-1") == "draining");
        }
        slowest_propagation = slowest_propagation.max(killed.elapsed());
        fleet.start(author, StateFolder::Existing).unwrap();
        assert_eq!(
            state_of(&fleet, author, "p-1"),
            "draining",
            "round {round}: it restarted without its own order"
        );
        let (author, other) = ((author + 1) % 3, author);
        eventually("the endpoint is resumed", || fleet.forwarders[author].ask(resume("p-1")).is_ok());
        eventually("all receive the order", || state_of(&fleet, other, "p-1") == "active");
    }
    assert!(slowest_propagation < Duration::from_secs(1), "{slowest_propagation:?}");
}

/// An endpoint is drained on one side of a partition and resumed on the other. Afterwards all forwarders
/// agree, and the operator sees both orders.
#[test]
fn orders_from_both_sides_of_a_partition_are_shown_and_the_restrictive_one_prevails() {
    let (fleet, _partner) = started(3);
    fleet.forwarders[0].ask(drain("p-1")).unwrap();
    eventually("all have the order", || (0..3).all(|n| state_of(&fleet, n, "p-1") == "draining"));
    let links: Vec<_> =
        fleet.net.names().filter(|(from, to)| from == "a" && to.len() == 1 || to == "a").cloned().collect();
    let cut = |cut: bool| links.iter().for_each(|name| fleet.net.update_faults(name, |f| f.cut = cut));
    cut(true);
    let refused = fleet.forwarders[0].ask(resume("p-1")).unwrap_err();
    assert!(refused.contains("majority") && refused.contains("1 of the 2"), "{refused}");
    // Drained again where the others can't hear it: the order is accepted and reports that no other
    // forwarder has it.
    fleet.forwarders[0].ask(ControlCommand::Pause { partner: "p".into() }).unwrap();
    let ControlResponse::Done(alone) = fleet.forwarders[0].ask(drain("p-2")).unwrap() else { panic!() };
    assert_eq!((alone.copies, alone.others), (0, 2));
    fleet.forwarders[1].ask(resume("p-1")).unwrap();
    assert_eq!(
        (state_of(&fleet, 0, "p-1").as_str(), state_of(&fleet, 2, "p-1").as_str()),
        ("draining", "active")
    );
    fleet.forwarders[2].ask(drain("p-2")).unwrap();
    fleet.forwarders[2].ask(resume("p-2")).unwrap();
    assert_eq!(state_of(&fleet, 1, "p-2"), "active");
    cut(false);
    let digest = |n: usize| fleet.forwarders[n].site_state().map(|s| s.digest);
    eventually("all have the same state", || {
        digest(0) == digest(1) && digest(1) == digest(2) && digest(0).is_some()
    });
    eventually("the drain from the minority prevails", || {
        (0..3).all(|n| state_of(&fleet, n, "p-2") == "draining")
    });
    eventually("the pause from the minority prevails", || {
        (0..3).all(|n| state_of(&fleet, n, "p-1") == "paused")
    });
    for n in 0..3 {
        let state = fleet.forwarders[n].site_state().unwrap();
        let of = |name: &str| state.statements.iter().filter(|s| s.subject == name).collect::<Vec<_>>();
        assert_eq!(of("p-2").len(), 2, "{state:?}");
        assert!(
            of("p-2").iter().any(|s| s.holds && s.word == "close" && s.id.starts_with("a/")),
            "{state:?}"
        );
        assert!(
            of("p-2").iter().any(|s| !s.holds && s.word == "open" && s.id.starts_with("c/")),
            "{state:?}"
        );
    }
    let files: Vec<_> = fleet.forwarders.iter().map(|f| f.site()).collect();
    let diff = Command::new(PROGRAM).args(["state", "diff"]).args(&files[..2]).output().unwrap();
    assert!(diff.status.success(), "{diff:?}");
}

/// A forwarder that restarts on an old copy of its folder logs that, takes an unused start number, and
/// receives what the copy lacks before it serves.
#[test]
fn an_old_copy_of_a_folder_is_detected_and_reported() {
    let (mut fleet, _partner) = started(3);
    fleet.forwarders[2].backup().unwrap();
    fleet.forwarders[2].kill();
    fleet.start(2, StateFolder::Existing).unwrap();
    fleet.forwarders[2].ask(drain("p-1")).unwrap();
    fleet.forwarders[2].kill();
    fleet.start(2, StateFolder::Backup).unwrap();
    assert_eq!(state_of(&fleet, 2, "p-1"), "draining");
    let log = fleet.forwarders[2].full_log();
    assert!(log.contains("old_state: the state folder is older"), "{log}");
    let starts = fleet.forwarders[0].peers().unwrap().others.iter().find(|o| o.name == "c").unwrap().start;
    assert_eq!(starts, 3);
    fleet.forwarders[2].ask(drain("p-2")).unwrap();
    eventually("its new orders apply", || state_of(&fleet, 0, "p-2") == "draining");
}

/// A network blocked at one forwarder is blocked at all, including one that was away, and the block ends at
/// all, by an order or by its duration.
#[test]
fn a_block_applies_and_ends_at_all_forwarders() {
    let (mut fleet, _partner) = started(3);
    let network = || "203.0.113.0/24".to_string();
    let blocked =
        |fleet: &Fleet, n: usize| match fleet.forwarders[n].ask(ControlCommand::Clients { most: None }) {
            Ok(ControlResponse::Clients(clients)) => {
                clients.blocks.iter().find(|(name, _)| *name == network()).map(|(_, ms)| *ms)
            }
            other => panic!("{other:?}"),
        };
    fleet.forwarders[2].kill();
    let block = ControlCommand::Block { network: network(), for_ms: 3_600_000 };
    let Ok(ControlResponse::Done(done)) = fleet.forwarders[0].ask(block) else { panic!() };
    assert!(done.changed && done.copies >= 1 && done.others == 2, "{done:?}");
    eventually("another forwarder has the block", || blocked(&fleet, 1).is_some());
    fleet.start(2, StateFolder::Existing).unwrap();
    eventually("the forwarder that was away has the block", || {
        blocked(&fleet, 2).is_some_and(|ms| ms > 3_500_000)
    });
    // After a restart the block continues for the remaining time.
    fleet.forwarders[1].kill();
    fleet.start(1, StateFolder::Existing).unwrap();
    assert!(blocked(&fleet, 1).is_some_and(|ms| ms <= 3_600_000));
    fleet.forwarders[1].ask(ControlCommand::Unblock { network: network() }).unwrap();
    eventually("all unblock the network", || (0..3).all(|n| blocked(&fleet, n).is_none()));
    // A block with a duration.
    fleet.forwarders[0].ask(ControlCommand::Block { network: network(), for_ms: 2_000 }).unwrap();
    eventually("all have the order", || (0..3).all(|n| blocked(&fleet, n).is_some()));
    eventually("the block ends", || (0..3).all(|n| blocked(&fleet, n).is_none()));
    let open = |n: usize| {
        let state = fleet.forwarders[n].site_state().unwrap();
        state.statements.iter().filter(|s| s.kind == "network").all(|s| s.word == "open")
    };
    eventually("its author has published the end", || (0..3).all(open));
}

/// A forwarder that resumes after a long suspension spreads no outdated orders and quickly applies the
/// current ones.
#[test]
fn a_forwarder_that_resumes_after_a_long_suspension_changes_nothing() {
    let (mut fleet, _partner) = started(3);
    fleet.forwarders[2].ask(drain("p-1")).unwrap();
    eventually("all have the order", || (0..3).all(|n| state_of(&fleet, n, "p-1") == "draining"));
    fleet.forwarders[2].stop();
    fleet.forwarders[0].ask(resume("p-1")).unwrap();
    fleet.forwarders[1].ask(drain("p-2")).unwrap();
    std::thread::sleep(Duration::from_secs(number("FOLDTRACK_STOPPED", 30)));
    let declared_down = |n: usize| {
        let others = fleet.forwarders[n].peers().map(|p| p.others).unwrap_or_default();
        others.iter().any(|o| o.name == "c" && o.standing == "down")
    };
    assert!(declared_down(0) && declared_down(1));
    fleet.forwarders[2].resume();
    let resumed = Instant::now();
    eventually("it has the current state", || {
        state_of(&fleet, 2, "p-1") == "active" && state_of(&fleet, 2, "p-2") == "draining"
    });
    assert!(resumed.elapsed() < Duration::from_secs(5), "{:?}", resumed.elapsed());
    eventually("all see it as up", || {
        (0..3).all(|n| fleet.forwarders[n].peers().is_some_and(|p| p.there == 3))
    });
    for n in 0..2 {
        assert_eq!(
            (state_of(&fleet, n, "p-1").as_str(), state_of(&fleet, n, "p-2").as_str()),
            ("active", "draining")
        );
    }
}

/// A copy of a forwarder's site file is started beside it: the member stays a member, and the others report
/// the second process.
#[test]
fn a_second_process_under_one_name_is_reported() {
    let (fleet, _partner) = started(3);
    let folder = fleet.folder().join("a-again");
    fs::create_dir(&folder).unwrap();
    let text = fs::read_to_string(fleet.forwarders[0].site()).unwrap();
    let text: String = text
        .lines()
        .map(|line| match line.split_once(" = ") {
            // The second process has its own state folder and, since this is a test, its own ports.
            Some(("listen", _)) => {
                format!("listen = \"{}\"\n", foldtrack_rig::fleet::unique_address().unwrap())
            }
            Some(("state", _)) => format!("state = {:?}\n", folder.join("state")),
            _ => format!("{line}\n"),
        })
        .collect();
    let site = folder.join("site.toml");
    fs::write(&site, text).unwrap();
    let log = fs::File::create(folder.join("log")).unwrap();
    let mut second = Command::new(PROGRAM).args(["serve", "--site"]).arg(&site).stderr(log).spawn().unwrap();
    eventually("the others report it", || {
        (1..3).any(|n| {
            fleet.forwarders[n].full_log().contains("two_processes: two processes run under the name a")
        })
    });
    fleet.forwarders[0].ask(drain("p-1")).unwrap();
    eventually("the member's orders apply", || state_of(&fleet, 1, "p-1") == "draining");
    second.kill().unwrap();
    second.wait().unwrap();
}

/// A store that is truncated, in another format or random data does not prevent a start; its contents come
/// from the others.
#[test]
fn a_damaged_store_is_set_aside_and_restored_from_the_other_forwarders() {
    let (mut fleet, _partner) = started(3);
    fleet.forwarders[0].ask(drain("p-1")).unwrap();
    for noise in [&b"not a store"[..], &[0x5a; 100_000], b""] {
        fleet.forwarders[1].kill();
        let state = fleet.folder().join("b/state");
        fs::write(state.join("peers.redb"), noise).unwrap();
        fs::remove_file(state.join("membership")).unwrap();
        fleet.start(1, StateFolder::Existing).unwrap();
        assert_eq!(state_of(&fleet, 1, "p-1"), "draining");
    }
    assert!(fs::read_dir(fleet.folder().join("b/state"))
        .unwrap()
        .flatten()
        .any(|e| { e.file_name().to_string_lossy().starts_with("peers.redb.damaged-") }));
    assert!(fleet.forwarders[1].full_log().contains("set aside as"));
}

/// A forwarder that reaches no other one reports for a while that it is not ready, and then continues with
/// its own state.
#[test]
fn a_forwarder_without_reachable_peers_waits_for_its_timeout_and_continues_alone() {
    let (mut fleet, _partner) = fleet(3, true, "ready-within = \"2s\"");
    let before = Instant::now();
    fleet.start(0, StateFolder::Existing).unwrap();
    // The listener opens once the forwarder is ready.
    assert!(before.elapsed() >= Duration::from_secs(2), "{:?}", before.elapsed());
    eventually("it serves", || fleet.forwarders[0].is_healthy());
    let seen = fleet.forwarders[0].peers().unwrap();
    assert_eq!((seen.mode.as_str(), seen.there, seen.members, seen.majority), ("alone", 1, 3, 2));
    fleet.forwarders[0].ask(drain("p-1")).unwrap();
    fleet.start(1, StateFolder::Existing).unwrap();
    assert_eq!(state_of(&fleet, 1, "p-1"), "draining", "it served before it had caught up");
}

/// Orders given before peers were configured reach them from the first start with peers.
#[test]
fn orders_given_before_peers_were_configured_reach_them() {
    let (mut fleet, _partner) = fleet(3, true, "");
    let site = fleet.forwarders[0].site();
    let whole = fs::read_to_string(&site).unwrap();
    fs::write(&site, whole.split("[peers]").next().unwrap()).unwrap();
    fleet.start(0, StateFolder::Existing).unwrap();
    fleet.forwarders[0].ask(drain("p-1")).unwrap();
    fleet.forwarders[0].kill();
    fs::write(&site, whole).unwrap();
    fleet.start_all().unwrap();
    eventually("all have the order", || (0..3).all(|n| state_of(&fleet, n, "p-1") == "draining"));
}

/// Without `[peers]` there is no peer socket, thread or file.
#[test]
fn without_peers_there_is_no_peer_socket_thread_or_file() {
    let (mut fleet, _partner) = fleet(1, false, "");
    fleet.start_all().unwrap();
    let forwarder = &fleet.forwarders[0];
    let pid = forwarder.pid().unwrap();
    let threads: Vec<String> = fs::read_dir(format!("/proc/{pid}/task"))
        .unwrap()
        .flatten()
        .map(|task| fs::read_to_string(task.path().join("comm")).unwrap_or_default().trim().to_string())
        .collect();
    assert!(!threads.iter().any(|name| name == "peers"), "{threads:?}");
    // The rig starts the forwarder with a flag whose thread reads standard input.
    assert!(threads.len() <= 2, "{threads:?}");
    let sockets: Vec<String> = fs::read_dir(format!("/proc/{pid}/fd"))
        .unwrap()
        .flatten()
        .filter_map(|fd| fs::read_link(fd.path()).ok())
        .filter_map(|to| to.to_str()?.strip_prefix("socket:[")?.strip_suffix(']').map(String::from))
        .collect();
    let udp = fs::read_to_string(format!("/proc/{pid}/net/udp")).unwrap();
    let own =
        udp.lines().filter(|line| sockets.iter().any(|inode| line.split_whitespace().nth(9) == Some(inode)));
    assert_eq!(own.count(), 0);
    let state = fleet.folder().join("a/state");
    assert!(!state.join("peers.redb").exists());
    let refused = forwarder.ask(ControlCommand::Peers).unwrap_err();
    assert!(refused.contains("no [peers]"), "{refused}");
}

#[test]
fn errors_in_the_peers_table_are_reported_with_their_position() {
    let (fleet, _partner) = fleet(3, true, "horizon = \"1s\"\nsekret = 7");
    let site = fleet.forwarders[0].site();
    let check = Command::new(PROGRAM).arg("check").arg(&site).output().unwrap();
    let stderr = String::from_utf8_lossy(&check.stderr).into_owned();
    assert_eq!(check.status.code(), Some(2));
    assert!(
        stderr.contains("peers.horizon: is out of its range") && stderr.contains("peers.sekret"),
        "{stderr}"
    );
    let text = fs::read_to_string(&site).unwrap().replace("horizon = \"1s\"\nsekret = 7", "");
    fs::write(&site, text.replace("[peers.member.b]", "[peers.member.a]")).unwrap();
    let check = Command::new(PROGRAM).arg("check").arg(&site).output().unwrap();
    let stderr = String::from_utf8_lossy(&check.stderr).into_owned();
    assert!(stderr.contains("this forwarder's own name"), "{stderr}");
    // A secret that is too short prevents a start, and the error names the file.
    fs::write(&site, text).unwrap();
    fs::write(fleet.folder().join("secret"), "short").unwrap();
    let serve = Command::new(PROGRAM).args(["serve", "--site"]).arg(&site).output().unwrap();
    let stderr = String::from_utf8_lossy(&serve.stderr).into_owned();
    assert!(
        !serve.status.success() && stderr.contains("secret") && stderr.contains("at least 16 are required"),
        "{stderr}"
    );
}

/// A run that violates an invariant is reported: of forwarders that do not know of each other only one has
/// the drain.
#[test]
fn the_rig_detects_diverged_state() {
    let mut story = Scenario::built_in("calm").unwrap();
    story.lasts = Duration::from_secs(2);
    story.steps.retain(|s| matches!(&s.what, Action::Order(_, word, _) if word == "drain"));
    let mut alone = RunConfig::new("calm", story, 5, 1);
    alone.peers = false;
    let report = run_scenario(Path::new(PROGRAM), &alone, &Progress::default()).unwrap();
    assert!(report.breaches.diverged == 1 && !report.is_clean(), "{report:?}");
}
