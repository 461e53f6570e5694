//! Responses that are not the answer to the call they arrive under: partners behind a relay that
//! copies, delays, cuts or adds responses, and the rules checked from the partners' records.
//! `FOLDTRACK_SEED` sets the first seed and `FOLDTRACK_SEEDS` their number.

use super::*;
use foldtrack_rig::response_faults::ResponseFault;
use foldtrack_rig::response_relay::{self, RelayFaults};
use foldtrack_standin::call_records::{Call, CallOutcome};
use foldtrack_standin::{FailureKind, Partner, PartnerBehavior};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::thread;

const PARTNERS: u32 = 4;
const CLIENTS: usize = 40;
const LOAD: Duration = Duration::from_secs(4);
const DEADLINE_MS: u64 = 4_000;
/// How long after its deadline a message may take to end (PROTOCOL, the rules on sockets).
const END_GRACE: Duration = Duration::from_millis(350);

fn seeds() -> std::ops::Range<u64> {
    let number = |name| std::env::var(name).map_or(1, |n| n.parse::<u64>().expect("a number"));
    let first = number("FOLDTRACK_SEED");
    first..first + number("FOLDTRACK_SEEDS")
}

/// A message that the forwarder has accepted.
struct Accepted {
    id: String,
    key: String,
    position: u64,
}

/// Messages that broke a rule.
#[derive(Debug, Default, PartialEq, Eq)]
struct Breaches {
    /// Sent again although an earlier call may have run.
    repeated: Vec<String>,
    /// Neither delivered nor ended by a notice.
    lost: Vec<String>,
    /// Sent before an earlier message of the key had ended.
    out_of_turn: Vec<String>,
}

/// A tenth of the calls fails in the usual ways.
fn failing_partner(seed: u64) -> Partner {
    Partner::start(
        seed,
        PartnerBehavior {
            answers: (MS(15), MS(60)),
            failing: 0.11,
            kinds: vec![
                FailureKind::ResetBefore,
                FailureKind::ResetAfter,
                FailureKind::Error,
                FailureKind::Full,
                FailureKind::Full,
            ],
            ..PartnerBehavior::default()
        },
    )
}

/// A client that submits messages of its own key and payments in turn until the load ends.
fn submit_until(end: Instant, client: usize, forwarder: SocketAddr, accepted: &Mutex<Vec<Accepted>>) {
    let destination = 1 + client as u32 % PARTNERS;
    let (key, mut position) = (format!("k{client}"), 0);
    for n in 0.. {
        if Instant::now() >= end {
            return;
        }
        let is_update = n % 2 == 0;
        let id = format!("c{client}-{n}");
        let submission = if is_update { update(&id, &key) } else { fee(&id) };
        let body = format!("key={key};seq={position};class=update;");
        let body = if is_update { body.into_bytes() } else { b"class=fee;".to_vec() };
        let submission = submission.for_destination(destination).deadline_ms(DEADLINE_MS).body(body);
        if submit(forwarder, &submission) == 202 {
            let key = if is_update { key.clone() } else { String::new() };
            accepted.lock().unwrap().push(Accepted { id, key, position });
            position += u64::from(is_update);
        }
        sleep(MS(40));
    }
}

/// When each message was over: answered with 200, or ended by a notice.
fn ends(calls: &[Call], platform: &Platform) -> BTreeMap<String, Instant> {
    let mut ends: BTreeMap<String, Instant> = BTreeMap::new();
    let mut ended = |id: &str, at: Instant| {
        let first = ends.entry(id.to_string()).or_insert(at);
        *first = at.min(*first);
    };
    for call in calls {
        if matches!(call.outcome, CallOutcome::TookEffect | CallOutcome::Duplicate) {
            ended(&call.id, call.until);
        }
    }
    for report in platform.server.seen().iter().filter(|r| r.method == "POST") {
        for line in String::from_utf8_lossy(&report.body).lines() {
            let notice: serde_json::Value = serde_json::from_str(line).unwrap();
            ended(notice["message"].as_str().unwrap(), report.at);
        }
    }
    ends
}

fn find_breaches(accepted: &[Accepted], calls: &[Call], platform: &Platform) -> Breaches {
    let ends = ends(calls, platform);
    let mut breaches = Breaches::default();
    breaches.lost.extend(accepted.iter().filter(|m| !ends.contains_key(&m.id)).map(|m| m.id.clone()));
    let mut may_have_run: BTreeMap<&str, bool> = BTreeMap::new();
    for call in calls.iter().filter(|call| call.class == "fee") {
        let earlier = may_have_run.entry(&call.id).or_default();
        if *earlier {
            breaches.repeated.push(call.id.clone());
        }
        *earlier |= call.outcome != CallOutcome::Rejected;
    }
    let mut keys: BTreeMap<&str, Vec<&Accepted>> = BTreeMap::new();
    accepted.iter().filter(|m| !m.key.is_empty()).for_each(|m| keys.entry(&m.key).or_default().push(m));
    for call in calls {
        let Some((key, position)) = &call.position else { continue };
        let earlier = keys.get(&**key).into_iter().flatten().filter(|m| m.position < *position);
        if earlier.clone().any(|m| ends.get(&m.id).is_none_or(|end| *end > call.at)) {
            breaches.out_of_turn.push(call.id.clone());
        }
    }
    breaches
}

/// Plays a load against partners whose responses suffer these faults, and kills and restarts the
/// forwarder so many times. Returns the breaches and the number of calls.
fn play(seed: u64, share: f64, kinds: &[ResponseFault], kills: u32) -> (Breaches, usize) {
    let partners: Vec<Partner> =
        (0..PARTNERS).map(|n| failing_partner(seed * u64::from(PARTNERS) + u64::from(n))).collect();
    let list = partners.iter().zip(1..).map(|(partner, cell)| {
        let faults = RelayFaults { seed: seed ^ u64::from(cell), share, kinds: kinds.to_vec() };
        let address = response_relay::start(partner.address(), faults).unwrap();
        list_entry(&format!("s-{cell}"), address, cell, "active")
    });
    let platform = Platform::start(list.collect());
    let mut forwarder = Forwarder::start_with(&platform, |config| {
        config["settings"]["family_info"]["slots"] = 96.into();
    });
    let accepted = Mutex::new(Vec::new());
    let end = Instant::now() + LOAD;
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (address, accepted) = (forwarder.listen, &accepted);
            scope.spawn(move || submit_until(end, client, address, accepted));
        }
        for _ in 0..kills {
            sleep(LOAD / (kills + 1));
            forwarder.kill();
            forwarder.restart();
        }
    });
    sleep(MS(DEADLINE_MS) + END_GRACE);
    let mut calls: Vec<Call> = partners.iter().flat_map(|p| p.call_records().calls).collect();
    calls.sort_by_key(|call| call.at);
    let accepted = accepted.into_inner().unwrap();
    assert!(accepted.len() > CLIENTS * 10, "only {} messages were accepted", accepted.len());
    (find_breaches(&accepted, &calls, &platform), calls.len())
}

/// Plays each seed and expects no breach.
fn assert_no_breaches(share: f64, kinds: &[ResponseFault], kills: u32) {
    for seed in seeds() {
        let (breaches, calls) = play(seed, share, kinds, kills);
        println!("seed {seed}: {calls} calls");
        assert_eq!(breaches, Breaches::default(), "seed {seed}, {kinds:?}");
    }
}

const fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

const ALL_KINDS: [ResponseFault; 10] = [
    ResponseFault::CopiedAtOnce,
    ResponseFault::CopiedLater(millis(1), millis(60)),
    ResponseFault::Late(millis(50), millis(500)),
    ResponseFault::InPieces,
    ResponseFault::ResetAfterFirstLine,
    ResponseFault::UnaskedTimeout(millis(1), millis(60)),
    ResponseFault::UnaskedSuccess(millis(1), millis(60)),
    ResponseFault::Interim,
    ResponseFault::SurplusBytes,
    ResponseFault::Dropped,
];

#[test]
fn a_second_copy_of_a_response_ends_no_later_call() {
    for latest in [15, 101, 900] {
        assert_no_breaches(0.2, &[ResponseFault::CopiedLater(millis(1), millis(latest))], 0);
    }
}

#[test]
fn late_cut_and_unasked_responses_break_no_rule() {
    assert_no_breaches(0.25, &ALL_KINDS, 0);
}

#[test]
fn late_cut_and_unasked_responses_break_no_rule_over_kills() {
    assert_no_breaches(0.25, &ALL_KINDS, 2);
}

#[test]
fn partners_that_fail_without_faults_of_their_responses_break_no_rule() {
    let (breaches, _) = play(1, 0.0, &[], 0);
    assert_eq!(breaches, Breaches::default());
}
