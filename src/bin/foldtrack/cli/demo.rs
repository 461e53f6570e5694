//! `foldtrack demo`: a forwarder on a new site, partners with common failures and several thousand
//! messages of all classes; each delivery rule is checked against the partners' own call records.

use super::{fleet, print, show, CommandError, CommandResult, EXIT_FAILED};
use crate::lock::lock_ignoring_poison;
use clap::Args;
use foldtrack_control::{Client, ControlCommand, ControlResponse, Partner as PartnerStats, Status};
use foldtrack_load::forwarder::{Forwarder, ListedPartner};
use foldtrack_load::http_client::{post_request, HttpClient};
use foldtrack_rig::run::RunConfig;
use foldtrack_rig::scenario::{Action, Scenario};
use foldtrack_standin::call_records::{check_rules, CallOutcome, CallRecords};
use foldtrack_standin::{Partner, PartnerBehavior};
use std::collections::{BTreeMap, BTreeSet};
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

#[derive(Args)]
pub(super) struct Demo {
    /// Number of messages
    #[arg(long, default_value_t = 4000, value_parser = clap::value_parser!(u64).range(10..=1_000_000))]
    messages: u64,
    /// Seed of the random faults
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Messages per second
    #[arg(long, default_value_t = 400, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    rate: u64,
    /// Run this many forwarders as peers, with a network partition between them, instead of one
    /// with failing partners
    #[arg(long, value_parser = clap::value_parser!(u64).range(3..=9))]
    forwarders: Option<u64>,
}

/// Runs a fleet that is partitioned in two for a while, with an operator order on each side.
fn partitioned_fleet(forwarders: usize, seed: u64) -> CommandResult {
    let mut scenario = Scenario::built_in("cut")
        .ok_or_else(|| CommandError(EXIT_FAILED, "the built-in scenario `cut` is missing".into()))?;
    // The scenario is written for five forwarders; with fewer, the second side is the smaller one.
    scenario.forwarders = 3;
    for step in &mut scenario.steps {
        if let Action::Order(who, ..) = &mut step.what {
            if forwarders < 4 && who == "d" {
                *who = "c".into();
            }
        }
    }
    print(&format!(
        "{forwarders} forwarders as peers, with their partners and clients.\n{}.\n\n",
        scenario.about
    ))?;
    let report = fleet::run_with_progress(&RunConfig::new("demo", scenario, forwarders, seed), false)?;
    print(&fleet::table(&report))?;
    if report.is_clean() {
        return Ok(());
    }
    Err(CommandError(EXIT_FAILED, "a delivery rule was violated".into()))
}

/// Partners: name, share of the messages in percent, and behaviour.
const PARTNERS: [(&str, u64, &str); 4] = [
    ("healthy", 50, "answers in 2 to 10 ms"),
    ("slow", 15, "answers in 150 to 400 ms"),
    ("limited", 20, "accepts 60 calls a second, and requests a wait above that"),
    ("shaky", 15, "stops responding for a while, and returns with low capacity"),
];
/// Number of concurrent clients.
const CLIENTS: usize = 16;
/// When the partner `shaky` stops responding and when it returns, as fractions of the sending time.
const OUTAGE: (f64, f64) = (0.3, 0.6);
/// Timeout of a client's request.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between the updates of the progress table.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// How each partner behaves.
fn behavior(name: &str) -> PartnerBehavior {
    let ms = Duration::from_millis;
    match name {
        "slow" => PartnerBehavior { answers: (ms(150), ms(400)), ..PartnerBehavior::default() },
        "limited" => PartnerBehavior { rate: Some(60.0), ..PartnerBehavior::default() },
        "shaky" => PartnerBehavior {
            answers: (ms(5), ms(40)),
            errors: 0.01,
            capacity: 200.0,
            ..PartnerBehavior::default()
        },
        _ => PartnerBehavior::default(),
    }
}

/// The classes of the demo's site file.
const CLASSES: &str = "[class.update]\neffect = \"keyed\"\nremembered = \"20s\"\nordered = true\naim = \"3s\"\ndeadline = \"24s\"\n\
    [class.payment]\neffect = \"once\"\naim = \"3s\"\ndeadline = \"24s\"\nworth = 3\n\
    [class.notice]\neffect = \"repeatable\"\naim = \"3s\"\ndeadline = \"24s\"\n";

/// What the clients have sent so far.
#[derive(Default)]
struct Sent {
    /// Ids of the accepted messages, with their classes.
    accepted: Mutex<BTreeMap<String, &'static str>>,
    refused: AtomicU64,
    failed: AtomicU64,
    done: AtomicBool,
}

/// Runs the demo.
pub(super) fn demo(demo: &Demo) -> CommandResult {
    if let Some(forwarders) = demo.forwarders {
        return partitioned_fleet(forwarders as usize, demo.seed);
    }
    let failed = |what: &str, e: &dyn std::fmt::Display| CommandError(EXIT_FAILED, format!("{what}: {e}"));
    let partners: Vec<(&str, Partner)> = PARTNERS
        .iter()
        .enumerate()
        .map(|(n, (name, ..))| (*name, Partner::start(demo.seed + n as u64, behavior(name))))
        .collect();
    let site_partners: Vec<ListedPartner> = partners
        .iter()
        .map(|(name, p)| ListedPartner {
            name: name.to_string(),
            address: p.address(),
            rate: (*name == "limited").then_some(60.0),
        })
        .collect();
    let program = std::env::current_exe().map_err(|e| failed("this program", &e))?;
    let forwarder = Forwarder::start(&program, "demo", &site_partners, CLASSES)
        .map_err(|e| CommandError(EXIT_FAILED, e))?;
    let listen = forwarder.listen;
    let mut client = forwarder.control().map_err(|e| CommandError(EXIT_FAILED, e))?;

    print(&format!(
        "{} messages at {} per second to four partners, through a forwarder at {listen}:\n",
        demo.messages, demo.rate
    ))?;
    let rows: Vec<Vec<String>> = PARTNERS
        .iter()
        .map(|(name, share, behaviour)| vec![name.to_string(), format!("{share}%"), behaviour.to_string()])
        .collect();
    print(&show::table(&["partner", "messages", "what it does"], &rows, ""))?;
    print("\n")?;

    let sent = Sent::default();
    let start = Instant::now();
    let span = Duration::from_secs_f64(demo.messages as f64 / demo.rate as f64);
    let progress = scope(|scope| {
        for worker in 0..CLIENTS {
            let sent = &sent;
            scope.spawn(move || submit(worker as u64, demo, listen, start, sent));
        }
        let shaky = partners.iter().find(|(name, _)| *name == "shaky").map(|(_, p)| p);
        let faults = scope.spawn(move || {
            let Some(shaky) = shaky else { return };
            sleep(span.mul_f64(OUTAGE.0));
            shaky.update_behavior(|c| c.silent = true);
            sleep(span.mul_f64(OUTAGE.1 - OUTAGE.0));
            shaky.recover_with_slow_start();
        });
        let progress = watch(&mut client, &sent, demo.messages);
        sent.done.store(true, Ordering::SeqCst);
        let _ = faults.join();
        progress
    });
    let (status, partner_stats) = progress?;
    let outcomes = foldtrack_rig::run::ends(listen).map_err(|e| failed("reading the outcomes", &e))?;
    let call_records: Vec<(&str, CallRecords)> =
        partners.iter().map(|(name, p)| (*name, p.call_records())).collect();
    conclude(&status, &partner_stats, &outcomes, &call_records, &sent, start.elapsed())
}

/// One client: it sends one message at a time on a persistent connection. All messages of a key
/// come from the same client, in order, and go to the same partner.
fn submit(worker: u64, demo: &Demo, listen: SocketAddr, start: Instant, sent: &Sent) {
    let mut random = fastrand::Rng::with_seed(demo.seed.wrapping_add(1000 + worker));
    let mut connection = HttpClient::new(listen, CLIENT_TIMEOUT);
    let mut sequence: BTreeMap<String, u64> = BTreeMap::new();
    for n in (worker..demo.messages).step_by(CLIENTS) {
        let due = start + Duration::from_secs_f64(n as f64 / demo.rate as f64);
        sleep(due.saturating_duration_since(Instant::now()));
        let mut draw = random.u64(0..100);
        let partner = PARTNERS.iter().find(|(_, share, _)| {
            let found = draw < *share;
            draw = draw.saturating_sub(*share);
            found
        });
        let partner = partner.map_or("healthy", |(name, ..)| *name);
        let class = ["update", "payment", "notice"][random.usize(0..3)];
        let (path, body) = if class == "update" {
            let key = format!("{partner}-w{worker}-{}", random.u64(0..3));
            let next = sequence.entry(key.clone()).or_default();
            *next += 1;
            (format!("/update/{key}"), format!("key={key};seq={next};class=update;"))
        } else {
            (format!("/{class}"), format!("class={class};"))
        };
        let id = format!("demo-{n}");
        let request =
            post_request(&path, &format!("X-Partner: {partner}\r\nIdempotency-Key: {id}\r\n"), &id, &body);
        match connection.send(&request, true).map(|answer| answer.status) {
            Some(202) => drop(lock_ignoring_poison(&sent.accepted).insert(id, class)),
            Some(503) => drop(sent.refused.fetch_add(1, Ordering::SeqCst)),
            _ => drop(sent.failed.fetch_add(1, Ordering::SeqCst)),
        }
    }
}

/// Shows the progress until every message is settled.
fn watch(
    client: &mut Client, sent: &Sent, messages: u64,
) -> Result<(Status, Vec<PartnerStats>), CommandError> {
    let live = std::io::stdout().is_terminal();
    let mut first = true;
    loop {
        let (ControlResponse::Status(status), ControlResponse::Partners(partners)) =
            (client.request(ControlCommand::Status)?, client.request(ControlCommand::Partners)?)
        else {
            return Err(CommandError(EXIT_FAILED, "unexpected response from the forwarder".into()));
        };
        let submitted = lock_ignoring_poison(&sent.accepted).len() as u64
            + sent.refused.load(Ordering::SeqCst)
            + sent.failed.load(Ordering::SeqCst);
        let finished = submitted >= messages && status.held == 0;
        if live || finished {
            let rows: Vec<Vec<String>> = partners
                .iter()
                .map(|p| {
                    let counts = [u64::from(p.held), u64::from(p.calls), p.delivered, p.failures];
                    let mut row = vec![p.name.clone(), p.health.clone(), show::format_duration(p.wait_ms)];
                    row.extend(counts.map(|n| n.to_string()));
                    row
                })
                .collect();
            let head = ["partner", "health", "wait", "held", "calls", "delivered", "failed attempts"];
            let text = format!(
                "{submitted} of {messages} submitted, {} held, {} ended\n{}",
                status.held,
                status.delivered + status.given_up + status.in_doubt + status.handed_back,
                show::table(&head, &rows, "")
            );
            // Overwrites the previous table.
            let up = text.lines().count();
            print(&if live && !first { format!("\x1b[{up}A\x1b[J{text}") } else { text })?;
            first = false;
        }
        if finished {
            return Ok((*status, partners));
        }
        sleep(REFRESH_INTERVAL);
    }
}

/// Prints the final report: the outcomes reported by the forwarder, checked against the partners'
/// call records.
fn conclude(
    status: &Status, partners: &[PartnerStats], outcomes: &BTreeMap<String, Vec<String>>,
    call_records: &[(&str, CallRecords)], sent: &Sent, elapsed: Duration,
) -> CommandResult {
    let accepted = lock_ignoring_poison(&sent.accepted);
    let verdict = check_rules(call_records.iter().map(|(_, b)| b));
    let effect = |call: &&foldtrack_standin::call_records::Call| {
        matches!(call.outcome, CallOutcome::TookEffect | CallOutcome::Unanswered)
    };
    let effects: BTreeSet<&str> =
        call_records.iter().flat_map(|(_, b)| b.calls.iter().filter(effect).map(|c| c.id.as_str())).collect();
    let mut by_outcome: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    let (mut lost, mut duplicated, mut contradicted) = (0, 0, 0);
    for (id, class) in accepted.iter() {
        match outcomes.get(id).map(Vec::as_slice) {
            None | Some([]) => lost += 1,
            Some([outcome]) => {
                *by_outcome.entry((class, outcome)).or_default() += 1;
                let ran = effects.contains(id.as_str());
                contradicted += u64::from(outcome == "delivered" && !ran || outcome == "given_up" && ran);
            }
            Some(_) => duplicated += 1,
        }
    }
    let rows: Vec<Vec<String>> = by_outcome
        .iter()
        .map(|((class, outcome), count)| {
            vec![class.to_string(), outcome.replace('_', " "), count.to_string()]
        })
        .collect();
    print(&format!("\nFinished after {:.1} s.\n\n", elapsed.as_secs_f64()))?;
    print(&show::table(&["class", "ended as", "messages"], &rows, "nothing"))?;
    let refused = sent.refused.load(Ordering::SeqCst);
    let failed = sent.failed.load(Ordering::SeqCst);
    let delivered: u64 = partners.iter().map(|p| p.delivered).sum();
    let line = |name: &str, value: u64, good: bool| {
        vec![name.to_string(), value.to_string(), if good { "kept" } else { "BROKEN" }.to_string()]
    };
    let rules = [
        line("accepted without an outcome", lost, lost == 0),
        line("accepted with more than one outcome", duplicated, duplicated == 0),
        line("outcomes that the call records contradict", contradicted, contradicted == 0),
        line("took effect twice", verdict.twice.len() as u64, verdict.twice.is_empty()),
        line("out of order in their key", verdict.out_of_order.len() as u64, verdict.out_of_order.is_empty()),
        line("calls during a wait that the partner requested", verdict.in_waits, verdict.in_waits == 0),
        line("partners overloaded on their return", verdict.fell_over, verdict.fell_over == 0),
    ];
    let all_kept = rules.iter().all(|rule| rule[2] == "kept");
    print(&format!(
        "\n{} accepted, {refused} refused, {failed} unanswered; {} calls, {delivered} delivered, {} attempts failed.\n\
         Delivery rules, checked against the partners' call records:\n\n",
        accepted.len(),
        verdict.calls,
        status.failures
    ))?;
    print(&show::table(&["rule", "count", ""], &rules, ""))?;
    if all_kept && failed == 0 {
        return Ok(());
    }
    Err(CommandError(EXIT_FAILED, "a delivery rule was violated, or a client got no response".into()))
}
