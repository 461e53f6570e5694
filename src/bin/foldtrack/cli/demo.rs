//! The main job on an embedded default: partners that fail in the usual ways, a forwarder on a fresh site, several
//! thousand messages of all classes, and each rule checked from the partners' own books.

use super::{fleet, say, show, Ended, Failure, FAILED};
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
    /// Messages
    #[arg(long, default_value_t = 4000, value_parser = clap::value_parser!(u64).range(10..=1_000_000))]
    messages: u64,
    /// Sets the faults
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Messages a second
    #[arg(long, default_value_t = 400, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    rate: u64,
    /// So many forwarders that know of each other, with a cut between them, in place of one among failing partners
    #[arg(long, value_parser = clap::value_parser!(u64).range(3..=9))]
    forwarders: Option<u64>,
}

/// Two sides of a fleet that can't reach each other for a while, and an order on either.
fn among_forwarders(forwarders: usize, seed: u64) -> Ended {
    let mut story = Scenario::built_in("cut").ok_or_else(|| Failure(FAILED, "there is no story".into()))?;
    // The story tells of five; of fewer the second side is the smaller one.
    story.forwarders = 3;
    for step in &mut story.steps {
        if let Action::Order(who, ..) = &mut step.what {
            if forwarders < 4 && who == "d" {
                *who = "c".into();
            }
        }
    }
    say(&format!(
        "{forwarders} forwarders that know of each other, and their partners and clients.\n{}.\n\n",
        story.about
    ))?;
    let report = fleet::watched(&RunConfig::new("demo", story, forwarders, seed), false)?;
    say(&fleet::table(&report))?;
    if report.is_clean() {
        return Ok(());
    }
    Err(Failure(FAILED, "a rule is broken".into()))
}

/// Partners: name, share of the messages, what is odd about it.
const PARTNERS: [(&str, u64, &str); 4] = [
    ("healthy", 50, "answers in 2 to 10 ms"),
    ("slow", 15, "answers in 150 to 400 ms"),
    ("limited", 20, "takes 60 a second, and tells a wait above that"),
    ("shaky", 15, "goes silent for a while, and comes back cold"),
];
const CLIENTS: usize = 16;
/// When the shaky one goes silent and comes back, in parts of the whole sending.
const SILENT: (f64, f64) = (0.3, 0.6);
const PATIENCE: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(500);

fn conduct(name: &str) -> PartnerBehavior {
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

/// Classes of the demo's site.
const CLASSES: &str = "[class.update]\neffect = \"keyed\"\nremembered = \"20s\"\nordered = true\naim = \"3s\"\ndeadline = \"24s\"\n\
    [class.payment]\neffect = \"once\"\naim = \"3s\"\ndeadline = \"24s\"\nworth = 3\n\
    [class.notice]\neffect = \"repeatable\"\naim = \"3s\"\ndeadline = \"24s\"\n";

#[derive(Default)]
struct Sent {
    /// Ids that were taken on, with their class.
    taken: Mutex<BTreeMap<String, &'static str>>,
    refused: AtomicU64,
    failed: AtomicU64,
    done: AtomicBool,
}

pub(super) fn demo(demo: &Demo) -> Ended {
    if let Some(forwarders) = demo.forwarders {
        return among_forwarders(forwarders as usize, demo.seed);
    }
    let told = |what: &str, e: &dyn std::fmt::Display| Failure(FAILED, format!("{what}: {e}"));
    let partners: Vec<(&str, Partner)> = PARTNERS
        .iter()
        .enumerate()
        .map(|(n, (name, ..))| (*name, Partner::start(demo.seed + n as u64, conduct(name))))
        .collect();
    let listed: Vec<ListedPartner> = partners
        .iter()
        .map(|(name, p)| ListedPartner {
            name: name.to_string(),
            address: p.address(),
            rate: (*name == "limited").then_some(60.0),
        })
        .collect();
    let program = std::env::current_exe().map_err(|e| told("this program", &e))?;
    let forwarder = Forwarder::start(&program, "demo", &listed, CLASSES).map_err(|e| Failure(FAILED, e))?;
    let listen = forwarder.listen;
    let mut client = forwarder.control().map_err(|e| Failure(FAILED, e))?;

    say(&format!(
        "{} messages at {} a second to four partners, through a forwarder at {listen}:\n",
        demo.messages, demo.rate
    ))?;
    let rows: Vec<Vec<String>> = PARTNERS
        .iter()
        .map(|(name, share, odd)| vec![name.to_string(), format!("{share}%"), odd.to_string()])
        .collect();
    say(&show::table(&["partner", "messages", "what it does"], &rows, ""))?;
    say("\n")?;

    let sent = Sent::default();
    let start = Instant::now();
    let span = Duration::from_secs_f64(demo.messages as f64 / demo.rate as f64);
    let shown = scope(|scope| {
        for worker in 0..CLIENTS {
            let sent = &sent;
            scope.spawn(move || hand_in(worker as u64, demo, listen, start, sent));
        }
        let shaky = partners.iter().find(|(name, _)| *name == "shaky").map(|(_, p)| p);
        let faults = scope.spawn(move || {
            let Some(shaky) = shaky else { return };
            sleep(span.mul_f64(SILENT.0));
            shaky.update_behavior(|c| c.silent = true);
            sleep(span.mul_f64(SILENT.1 - SILENT.0));
            shaky.recover_with_slow_start();
        });
        let shown = watch(&mut client, &sent, demo.messages);
        sent.done.store(true, Ordering::SeqCst);
        let _ = faults.join();
        shown
    });
    let (status, lines) = shown?;
    let ends = foldtrack_rig::run::ends(listen).map_err(|e| told("the ends", &e))?;
    let books: Vec<(&str, CallRecords)> =
        partners.iter().map(|(name, p)| (*name, p.call_records())).collect();
    conclude(&status, &lines, &ends, &books, &sent, start.elapsed())
}

/// One client: a connection that is kept, one message at a time. Messages of a key come from one client, in their
/// order, and each goes to one partner.
fn hand_in(worker: u64, demo: &Demo, listen: SocketAddr, start: Instant, sent: &Sent) {
    let mut random = fastrand::Rng::with_seed(demo.seed.wrapping_add(1000 + worker));
    let mut kept = HttpClient::new(listen, PATIENCE);
    let mut turns: BTreeMap<String, u64> = BTreeMap::new();
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
            let turn = turns.entry(key.clone()).or_default();
            *turn += 1;
            (format!("/update/{key}"), format!("key={key};seq={turn};class=update;"))
        } else {
            (format!("/{class}"), format!("class={class};"))
        };
        let id = format!("demo-{n}");
        let request =
            post_request(&path, &format!("X-Partner: {partner}\r\nIdempotency-Key: {id}\r\n"), &id, &body);
        match kept.send(&request, true).map(|answer| answer.status) {
            Some(202) => drop(lock_ignoring_poison(&sent.taken).insert(id, class)),
            Some(503) => drop(sent.refused.fetch_add(1, Ordering::SeqCst)),
            _ => drop(sent.failed.fetch_add(1, Ordering::SeqCst)),
        }
    }
}

/// Shows what happens until everything has ended.
fn watch(client: &mut Client, sent: &Sent, messages: u64) -> Result<(Status, Vec<PartnerStats>), Failure> {
    let live = std::io::stdout().is_terminal();
    let mut first = true;
    loop {
        let (ControlResponse::Status(status), ControlResponse::Partners(partners)) =
            (client.request(ControlCommand::Status)?, client.request(ControlCommand::Partners)?)
        else {
            return Err(Failure(FAILED, "the forwarder answers something else than it was asked".into()));
        };
        let given = lock_ignoring_poison(&sent.taken).len() as u64
            + sent.refused.load(Ordering::SeqCst)
            + sent.failed.load(Ordering::SeqCst);
        let over = given >= messages && status.held == 0;
        if live || over {
            let rows: Vec<Vec<String>> = partners
                .iter()
                .map(|p| {
                    let counts = [u64::from(p.held), u64::from(p.calls), p.delivered, p.failures];
                    let mut row = vec![p.name.clone(), p.health.clone(), show::span(p.wait_ms)];
                    row.extend(counts.map(|n| n.to_string()));
                    row
                })
                .collect();
            let head = ["partner", "health", "wait", "held", "calls", "delivered", "failed attempts"];
            let text = format!(
                "{given} of {messages} handed in, {} held, {} ended\n{}",
                status.held,
                status.delivered + status.given_up + status.in_doubt + status.handed_back,
                show::table(&head, &rows, "")
            );
            // Drawn over the last one.
            let up = text.lines().count();
            say(&if live && !first { format!("\x1b[{up}A\x1b[J{text}") } else { text })?;
            first = false;
        }
        if over {
            return Ok((*status, partners));
        }
        sleep(LOOK);
    }
}

/// The table at the end: what the forwarder says, and what the partners' books say of it.
fn conclude(
    status: &Status, partners: &[PartnerStats], ends: &BTreeMap<String, Vec<String>>,
    books: &[(&str, CallRecords)], sent: &Sent, took: Duration,
) -> Ended {
    let taken = lock_ignoring_poison(&sent.taken);
    let verdict = check_rules(books.iter().map(|(_, b)| b));
    let effect = |call: &&foldtrack_standin::call_records::Call| {
        matches!(call.outcome, CallOutcome::TookEffect | CallOutcome::Unanswered)
    };
    let effects: BTreeSet<&str> =
        books.iter().flat_map(|(_, b)| b.calls.iter().filter(effect).map(|c| c.id.as_str())).collect();
    let mut by_end: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    let (mut lost, mut doubled, mut false_ends) = (0, 0, 0);
    for (id, class) in taken.iter() {
        match ends.get(id).map(Vec::as_slice) {
            None | Some([]) => lost += 1,
            Some([end]) => {
                *by_end.entry((class, end)).or_default() += 1;
                let ran = effects.contains(id.as_str());
                false_ends += u64::from(end == "delivered" && !ran || end == "given_up" && ran);
            }
            Some(_) => doubled += 1,
        }
    }
    let rows: Vec<Vec<String>> = by_end
        .iter()
        .map(|((class, end), count)| vec![class.to_string(), end.replace('_', " "), count.to_string()])
        .collect();
    say(&format!("\nAll over after {:.1} s.\n\n", took.as_secs_f64()))?;
    say(&show::table(&["class", "ended as", "messages"], &rows, "nothing"))?;
    let refused = sent.refused.load(Ordering::SeqCst);
    let failed = sent.failed.load(Ordering::SeqCst);
    let delivered: u64 = partners.iter().map(|p| p.delivered).sum();
    let line = |name: &str, value: u64, good: bool| {
        vec![name.to_string(), value.to_string(), if good { "kept" } else { "BROKEN" }.to_string()]
    };
    let rules = [
        line("taken on without an end", lost, lost == 0),
        line("taken on with two ends", doubled, doubled == 0),
        line("ends that the books contradict", false_ends, false_ends == 0),
        line("took effect twice", verdict.twice.len() as u64, verdict.twice.is_empty()),
        line("out of order in their key", verdict.out_of_order.len() as u64, verdict.out_of_order.is_empty()),
        line("calls during a wait that was told", verdict.in_waits, verdict.in_waits == 0),
        line("partners pushed over on their return", verdict.fell_over, verdict.fell_over == 0),
    ];
    let kept = rules.iter().all(|rule| rule[2] == "kept");
    say(&format!(
        "\n{} taken on, {refused} refused, {failed} not answered; {} calls, {delivered} delivered, {} attempts failed.\n\
         The rules, by the partners' own books:\n\n",
        taken.len(),
        verdict.calls,
        status.failures
    ))?;
    say(&show::table(&["rule", "count", ""], &rules, ""))?;
    if kept && failed == 0 {
        return Ok(());
    }
    Err(Failure(FAILED, "a rule is broken, or a client had no answer".into()))
}
