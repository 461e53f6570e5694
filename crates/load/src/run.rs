//! Runs: a schedule through a forwarder or by the plain client, judged by the partners' own books.

use crate::forwarder::{Forwarder, ListedPartner};
use crate::plan::Plan;
use crate::report::{LatencySummary, Report};
use crate::schedule::{schedule, ScheduledMessage};
use crate::{clients, plain};
use foldtrack_control::{ControlCommand, ControlResponse, Status};
use foldtrack_standin::call_records::{check_rules, CallOutcome, CallRecords};
use foldtrack_standin::Partner;
use std::collections::HashMap;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long messages may take to end after the last was due: their deadline, and a little.
const OVER: Duration = Duration::from_secs(30);
/// Wanted within (BRIEF).
const AIM: Duration = Duration::from_secs(3);

fn partners(plan: &Plan) -> Vec<Partner> {
    (0..plan.partners).map(|n| Partner::start(plan.seed.wrapping_add(n as u64 + 7), plan.conduct())).collect()
}

/// The part of the site file below `[site]`: the two classes of the load, and the plan's limits.
fn top(plan: &Plan) -> String {
    format!(
        "durability = \"process\"\n[limits]\nmessages = {}\ncalls = {}\nmemory = \"1024MiB\"\ndescriptors = {}\n\
         [ends]\ncount = 4000000\nsize = \"1024MiB\"\n\
         [class.update]\neffect = \"keyed\"\nremembered = \"25s\"\nordered = true\naim = \"3s\"\ndeadline = \"24s\"\n\
         [class.payment]\neffect = \"once\"\naim = \"3s\"\ndeadline = \"24s\"\nworth = 3\n",
        plan.messages,
        plan.calls,
        512 + 4 * (plan.connections + plan.calls as usize),
    )
    .replacen("[limits]\n", "[admission]\nknown = [\"127.0.0.0/8\"]\n[limits]\ndisk = \"2048MiB\"\n", 1)
}

/// One run through a forwarder that is started for it.
///
/// # Errors
/// What could not be started or asked, in a line.
pub fn run_forwarder(program: &Path, plan: &Plan) -> Result<Report, String> {
    let partners = partners(plan);
    let listed: Vec<ListedPartner> = partners
        .iter()
        .enumerate()
        .map(|(n, p)| ListedPartner {
            name: format!("p{n}"),
            address: p.address(),
            rate: (plan.capacity > 0.0).then_some(plan.capacity),
        })
        .collect();
    let forwarder = Forwarder::start(program, "load", &listed, &top(plan))?;
    let schedule = schedule(plan);
    let start = Instant::now();
    let handed = clients::submit(plan, &schedule, forwarder.listen, start);
    let mut control = forwarder.control()?;
    let by = Instant::now() + OVER;
    let status = loop {
        let ControlResponse::Status(status) =
            control.request(ControlCommand::Status).map_err(|e| e.to_string())?
        else {
            return Err("the forwarder answers something else than it was asked".into());
        };
        if status.held == 0 || Instant::now() > by {
            break *status;
        }
        sleep(Duration::from_millis(100));
    };
    let books: Vec<CallRecords> = partners.iter().map(Partner::call_records).collect();
    let mut report = judged(plan, "forwarder", &schedule, &books, start);
    let Status { delivered, handed_back, given_up, in_doubt, held, .. } = status;
    (report.delivered, report.handed_back, report.given_up) = (delivered, handed_back, given_up);
    (report.in_doubt, report.open) = (in_doubt, u64::from(held));
    report.taken = handed.taken.len() as u64;
    (report.refused, report.refusals) = (handed.refused.len() as u64, handed.refusals);
    report.unanswered = handed.unanswered.len() as u64;
    let waits = handed.waits.len().max(1) as f64;
    report.told_wait_ms = handed.waits.iter().map(Duration::as_secs_f64).sum::<f64>() * 1e3 / waits;
    report.answers = LatencySummary::of(handed.taken.iter().map(|(_, took)| *took));
    Ok(report)
}

/// The same load by the plain client.
pub fn run_plain_client(plan: &Plan) -> Report {
    let partners = partners(plan);
    let schedule = schedule(plan);
    let start = Instant::now();
    let addresses: Vec<_> = partners.iter().map(Partner::address).collect();
    let served = plain::deliver(&schedule, plan, &addresses, start);
    let books: Vec<CallRecords> = partners.iter().map(Partner::call_records).collect();
    let mut report = judged(plan, "plain", &schedule, &books, start);
    (report.taken, report.delivered) = (schedule.len() as u64, served);
    report
}

/// What the books say.
fn judged(
    plan: &Plan, way: &str, schedule: &[ScheduledMessage], books: &[CallRecords], start: Instant,
) -> Report {
    let verdict = check_rules(books);
    let mut effects: HashMap<&str, Duration> = HashMap::new();
    for call in books.iter().flat_map(|b| &b.calls) {
        // An answer that never goes out has its effect when the call comes.
        if matches!(call.outcome, CallOutcome::TookEffect | CallOutcome::Unanswered) {
            effects.entry(&call.id).or_insert(call.until.saturating_duration_since(start));
        }
    }
    let taken = |due: &ScheduledMessage| effects.get(due.id().as_str()).map(|at| at.saturating_sub(due.at));
    let deliveries: Vec<Duration> = schedule.iter().filter_map(taken).collect();
    let within = effects.values().filter(|at| **at < plan.span).count() as f64;
    let in_time = deliveries.iter().filter(|took| **took <= AIM).count() as f64;
    Report {
        way: way.into(),
        rate: plan.rate,
        failing: plan.failing,
        messages: schedule.len() as u64,
        applied: verdict.effects,
        applied_a_second: within / plan.span.as_secs_f64(),
        in_time: in_time / schedule.len().max(1) as f64,
        calls_each: verdict.calls as f64 / verdict.effects.max(1) as f64,
        twice: verdict.twice.len() as u64,
        out_of_order: verdict.out_of_order.len() as u64,
        deliveries: LatencySummary::of(deliveries),
        ..Report::default()
    }
}

/// Every value of a sweep, by the forwarder and by the plain client; each report is told as it comes.
///
/// # Errors
/// As [`through`], or what `tell` could not do.
pub fn sweep(
    program: &Path, plan: &Plan, mut tell: impl FnMut(Report) -> Result<(), String>,
) -> Result<(), String> {
    let rates = if plan.sweep.rates.is_empty() { vec![plan.rate] } else { plan.sweep.rates.clone() };
    for rate in rates {
        for failing in &plan.sweep.failing {
            let one = Plan { rate, failing: *failing, ..plan.clone() };
            tell(run_forwarder(program, &one)?)?;
            tell(run_plain_client(&one))?;
        }
    }
    Ok(())
}
