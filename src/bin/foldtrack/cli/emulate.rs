//! `foldtrack emulate`: runs fleets in simulated time and compares policies on the same seeds.

use super::show::table;
use super::{print, CommandError, CommandResult, EXIT_FAILED, EXIT_USAGE};
use clap::Args;
use foldtrack_delivery::emulator_policy::SchedulerFactory;
use foldtrack_emulator::baselines::Baseline;
use foldtrack_emulator::matrix::{mean, rows, Row};
use foldtrack_emulator::policy::PolicyFactory;
use foldtrack_emulator::world::World;
use std::path::PathBuf;

/// The built-in scenario.
const DEFAULT_SCENARIO: &str = include_str!("../../../../crates/emulator/worlds/calm.toml");

#[derive(Args)]
pub(super) struct Emulate {
    /// The scenario (TOML); by default 300 forwarders without faults
    world: Option<PathBuf>,
    /// Number of runs of each policy, on consecutive seeds from `--first-seed`
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    seeds: u64,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// Number of forwarders, instead of the scenario's
    #[arg(long)]
    forwarders: Option<u32>,
    /// A policy to run; may be repeated. The others are compared with the first; `module` is the
    /// program's own
    #[arg(long = "policy", default_values = ["module", "one-try", "back-off", "aimd", "even-part"])]
    policies: Vec<String>,
    /// Print one JSON object per run
    #[arg(long)]
    json: bool,
    /// Print the built-in scenario, as a starting point for another
    #[arg(long)]
    template: bool,
}

/// The policy of a name.
fn policy(name: &str) -> Result<&'static dyn PolicyFactory, CommandError> {
    let all: Vec<&'static dyn PolicyFactory> = std::iter::once(&SchedulerFactory as &dyn PolicyFactory)
        .chain(Baseline::ALL.iter().map(|b| b as &dyn PolicyFactory))
        .collect();
    let names: Vec<&str> = all.iter().map(|p| p.name()).collect();
    let unknown =
        || CommandError(EXIT_USAGE, format!("unknown policy {name:?}; available: {}", names.join(", ")));
    all.iter().copied().find(|p| p.name() == name).ok_or_else(unknown)
}

/// Runs `foldtrack emulate`; fails if the program's own policy violated a rule.
pub(super) fn emulate(args: &Emulate) -> CommandResult {
    if args.template {
        return print(DEFAULT_SCENARIO);
    }
    let text = match &args.world {
        Some(path) => std::fs::read_to_string(path)
            .map_err(|e| CommandError(EXIT_USAGE, format!("{}: {e}", path.display())))?,
        None => DEFAULT_SCENARIO.to_string(),
    };
    let name = args.world.as_ref().map_or("the built-in scenario".into(), |p| p.display().to_string());
    let invalid = |e: String| CommandError(EXIT_USAGE, format!("{name}: {e}"));
    let mut world = World::read(&text).map_err(invalid)?;
    if let Some(forwarders) = args.forwarders {
        world.fleet.forwarders = forwarders;
        world.check().map_err(invalid)?;
    }
    let policies = args.policies.iter().map(|name| policy(name)).collect::<Result<Vec<_>, _>>()?;
    let seeds: Vec<u64> = (args.first_seed..args.first_seed.saturating_add(args.seeds)).collect();
    let started = std::time::Instant::now();
    let all = rows(&world, &policies, &seeds);
    if args.json {
        let line = |r: &Row| {
            serde_json::json!({
                "policy": r.policy, "seed": r.seed, "served": r.served, "goal": r.goal, "in_time": r.in_time, "late": r.late,
                "refused": r.refused, "attempts": r.attempts, "full": r.rejected, "first_s": r.first_call_s, "broken": r.violations,
            })
        };
        return print(&all.iter().map(|r| format!("{}\n", line(r))).collect::<String>());
    }
    let runs = all.len() as f64;
    let simulated = f64::from(world.fleet.forwarders) * world.fleet.lasts as f64 / 1e6 * runs;
    let text = format!(
        "{}: {} forwarders, {} runs in {:.1} s, {:.0} forwarder-seconds simulated per second\n{}",
        world.about,
        world.fleet.forwarders,
        all.len(),
        started.elapsed().as_secs_f64(),
        simulated / started.elapsed().as_secs_f64().max(1e-9),
        report(&all, &args.policies)
    );
    print(&text)?;
    match all.iter().find(|r| r.policy == "module" && r.violations > 0) {
        Some(row) => Err(CommandError(
            EXIT_FAILED,
            format!("policy `module` violated a rule {} times on seed {}", row.violations, row.seed),
        )),
        None => Ok(()),
    }
}

/// A table of means with their 95% confidence intervals, and of the paired differences to the first
/// policy by seed.
fn report(all: &[Row], policies: &[String]) -> String {
    let of = |policy: &String| all.iter().filter(|r| r.policy == *policy).collect::<Vec<_>>();
    let first = policies.first().map(of).unwrap_or_default();
    let formatted = |values: &[f64]| {
        let (mean, half) = mean(values);
        format!("{mean:.3} +-{half:.3}")
    };
    let line = |policy: &String| {
        let rows = of(policy);
        let column = |value: fn(&Row) -> f64| formatted(&rows.iter().map(|r| value(r)).collect::<Vec<_>>());
        let differences: Vec<f64> =
            rows.iter().zip(&first).map(|(row, first)| row.served - first.served).collect();
        vec![
            policy.clone(),
            column(|r| r.served),
            if policies.first() == Some(policy) { "-".into() } else { formatted(&differences) },
            column(|r| r.goal),
            column(|r| r.in_time),
            column(|r| r.late),
            column(|r| r.refused),
            column(|r| r.attempts),
            column(|r| r.rejected),
            column(|r| r.first_call_s),
            rows.iter().map(|r| r.violations).sum::<u64>().to_string(),
        ]
    };
    let head = [
        "policy",
        "served",
        "to first",
        "goal",
        "in time",
        "late",
        "not",
        "calls each",
        "of them full",
        "first call s",
        "broken",
    ];
    table(&head, &policies.iter().map(line).collect::<Vec<_>>(), "no runs")
}
