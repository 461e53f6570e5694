//! Performs runs: a schedule through a forwarder or by the plain client, evaluated by the partners' call records.

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

/// Maximum time for messages to get their outcomes after the last submission: their deadline of 24 s plus a margin.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Target latency of both classes, from the requirements; the site file below states the same.
const AIM: Duration = Duration::from_secs(3);

/// Starts the stand-in partners.
fn start_partners(plan: &Plan) -> Vec<Partner> {
    (0..plan.partners)
        .map(|n| Partner::start(plan.seed.wrapping_add(n as u64 + 7), plan.partner_behavior()))
        .collect()
}

/// The settings of the site file: the two classes of the load and the plan's limits. It starts inside `[site]`.
fn site_settings(plan: &Plan) -> String {
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

/// Performs a run through a forwarder, which is started for it.
///
/// # Errors
/// Why the forwarder could not be started or queried, in one line.
pub fn run_forwarder(program: &Path, plan: &Plan) -> Result<Report, String> {
    let partners = start_partners(plan);
    let listed: Vec<ListedPartner> = partners
        .iter()
        .enumerate()
        .map(|(n, p)| ListedPartner {
            name: format!("p{n}"),
            address: p.address(),
            rate: (plan.capacity > 0.0).then_some(plan.capacity),
        })
        .collect();
    let forwarder = Forwarder::start(program, "load", &listed, &site_settings(plan))?;
    let schedule = schedule(plan);
    let start = Instant::now();
    let submissions = clients::submit(plan, &schedule, forwarder.listen, start);
    let mut control = forwarder.control()?;
    let settled_by = Instant::now() + SETTLE_TIMEOUT;
    let status = loop {
        let ControlResponse::Status(status) =
            control.request(ControlCommand::Status).map_err(|e| e.to_string())?
        else {
            return Err("unexpected answer to the status request".into());
        };
        if status.held == 0 || Instant::now() > settled_by {
            break *status;
        }
        sleep(Duration::from_millis(100));
    };
    let records: Vec<CallRecords> = partners.iter().map(Partner::call_records).collect();
    let mut report = evaluate(plan, "forwarder", &schedule, &records, start);
    let Status { delivered, handed_back, given_up, in_doubt, held, .. } = status;
    (report.delivered, report.handed_back, report.given_up) = (delivered, handed_back, given_up);
    (report.in_doubt, report.open) = (in_doubt, u64::from(held));
    report.taken = submissions.accepted.len() as u64;
    (report.refused, report.refusals) = (submissions.refused.len() as u64, submissions.refusals);
    report.unanswered = submissions.unanswered.len() as u64;
    let waits = submissions.waits.len().max(1) as f64;
    report.told_wait_ms = submissions.waits.iter().map(Duration::as_secs_f64).sum::<f64>() * 1e3 / waits;
    report.answers = LatencySummary::of(submissions.accepted.iter().map(|(_, took)| *took));
    Ok(report)
}

/// Performs the same run with the plain client.
pub fn run_plain_client(plan: &Plan) -> Report {
    let partners = start_partners(plan);
    let schedule = schedule(plan);
    let start = Instant::now();
    let addresses: Vec<_> = partners.iter().map(Partner::address).collect();
    let delivered = plain::deliver(&schedule, plan, &addresses, start);
    let records: Vec<CallRecords> = partners.iter().map(Partner::call_records).collect();
    let mut report = evaluate(plan, "plain", &schedule, &records, start);
    (report.taken, report.delivered) = (schedule.len() as u64, delivered);
    report
}

/// Evaluates the partners' call records.
fn evaluate(
    plan: &Plan, way: &str, schedule: &[ScheduledMessage], records: &[CallRecords], start: Instant,
) -> Report {
    let summary = check_rules(records);
    let mut effects: HashMap<&str, Duration> = HashMap::new();
    for call in records.iter().flat_map(|b| &b.calls) {
        // A call that is never answered takes effect when it arrives.
        if matches!(call.outcome, CallOutcome::TookEffect | CallOutcome::Unanswered) {
            effects.entry(&call.id).or_insert(call.until.saturating_duration_since(start));
        }
    }
    let delivery_time =
        |due: &ScheduledMessage| effects.get(due.id().as_str()).map(|at| at.saturating_sub(due.at));
    let deliveries: Vec<Duration> = schedule.iter().filter_map(delivery_time).collect();
    let within = effects.values().filter(|at| **at < plan.span).count() as f64;
    let in_time = deliveries.iter().filter(|took| **took <= AIM).count() as f64;
    Report {
        way: way.into(),
        rate: plan.rate,
        failing: plan.failing,
        messages: schedule.len() as u64,
        applied: summary.effects,
        applied_a_second: within / plan.span.as_secs_f64(),
        in_time: in_time / schedule.len().max(1) as f64,
        calls_each: summary.calls as f64 / summary.effects.max(1) as f64,
        twice: summary.twice.len() as u64,
        out_of_order: summary.out_of_order.len() as u64,
        deliveries: LatencySummary::of(deliveries),
        ..Report::default()
    }
}

/// Runs every combination of a sweep, through the forwarder and by the plain client, and passes each report to `on_report`.
///
/// # Errors
/// As for [`run_forwarder`], or the error of `on_report`.
pub fn sweep(
    program: &Path, plan: &Plan, mut on_report: impl FnMut(Report) -> Result<(), String>,
) -> Result<(), String> {
    let rates = if plan.sweep.rates.is_empty() { vec![plan.rate] } else { plan.sweep.rates.clone() };
    for rate in rates {
        for failing in &plan.sweep.failing {
            let point = Plan { rate, failing: *failing, ..plan.clone() };
            on_report(run_forwarder(program, &point)?)?;
            on_report(run_plain_client(&point))?;
        }
    }
    Ok(())
}
