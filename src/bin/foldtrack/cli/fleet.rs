//! `foldtrack fleet`: runs several forwarders as processes, with the faults that a scenario
//! describes.

use super::{print, CommandError, CommandResult, EXIT_FAILED, EXIT_USAGE};
use clap::Subcommand;
use foldtrack_rig::report::Report;
use foldtrack_rig::run::{run_scenario, Progress, RunConfig};
use foldtrack_rig::scenario::{Scenario, BUILT_IN};
use foldtrack_rig::shrink::shrink_scenario;
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::PoisonError;
use std::time::Duration;

/// Maximum number of runs in the search for the shortest failing scenario.
const MAX_SHRINK_RUNS: usize = 12;

#[derive(Subcommand)]
pub(super) enum Fleet {
    /// Runs a scenario on real processes and checks the delivery rules against the records of
    /// partners and clients. The exit code is 0 only if no rule was violated and enough messages
    /// were accepted; the last line is one JSON object
    Run {
        /// Number of forwarders
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=16))]
        forwarders: u64,
        /// A built-in scenario (see `fleet list`) or a file
        #[arg(long, default_value = "calm")]
        scenario: String,
        /// Seed of all random choices
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Print only the JSON object
        #[arg(long)]
        json: bool,
        /// Run the forwarders without peers, for comparison
        #[arg(long)]
        alone: bool,
        /// On failure, do not search for the shortest scenario that still fails
        #[arg(long)]
        no_shrink: bool,
    },
    /// Lists the built-in scenarios
    List,
    /// Prints a built-in scenario, as a starting point for another
    Story {
        /// Name of the scenario
        name: String,
    },
}

/// Runs a `foldtrack fleet` command.
pub(super) fn fleet(args: &Fleet) -> CommandResult {
    match args {
        Fleet::List => {
            let line = |(name, text): &(&str, &str)| {
                let about = Scenario::read(text).map(|s| s.about).unwrap_or_default();
                format!("{name:<16}{about}\n")
            };
            print(&BUILT_IN.iter().map(line).collect::<String>())
        }
        Fleet::Story { name } => match BUILT_IN.iter().find(|(known, _)| known == name) {
            Some((_, text)) => print(text),
            None => Err(unknown(name)),
        },
        Fleet::Run { forwarders, scenario, seed, json, alone, no_shrink } => {
            let mut plan = RunConfig::new(scenario, load_scenario(scenario)?, *forwarders as usize, *seed);
            plan.peers = !alone;
            run(&plan, *json, !no_shrink)
        }
    }
}

/// The error for a scenario that is neither built in nor a file.
fn unknown(name: &str) -> CommandError {
    let names: Vec<&str> = BUILT_IN.iter().map(|(name, _)| *name).collect();
    CommandError(
        EXIT_USAGE,
        format!(
            "{name:?} is neither a built-in scenario nor a readable file; built in: {}",
            names.join(", ")
        ),
    )
}

/// Reads a built-in scenario or a file.
fn load_scenario(name: &str) -> Result<Scenario, CommandError> {
    if let Some(scenario) = Scenario::built_in(name) {
        return Ok(scenario);
    }
    let text = std::fs::read_to_string(PathBuf::from(name)).map_err(|_| unknown(name))?;
    Scenario::read(&text).map_err(|e| CommandError(EXIT_USAGE, format!("{name}: {e}")))
}

/// Runs a scenario, with a progress bar unless `quiet`.
pub(super) fn run_with_progress(plan: &RunConfig, quiet: bool) -> Result<Report, CommandError> {
    let program =
        std::env::current_exe().map_err(|e| CommandError(EXIT_FAILED, format!("this program: {e}")))?;
    let (progress, finished) = (Progress::default(), AtomicBool::new(false));
    let bar = match quiet || !std::io::stderr().is_terminal() {
        true => ProgressBar::hidden(),
        false => ProgressBar::new(1000),
    };
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {elapsed:>4}  {msg}") {
        bar.set_style(style);
    }
    let report = std::thread::scope(|scope| {
        scope.spawn(|| {
            while !finished.load(Ordering::Relaxed) {
                bar.set_position(progress.per_mille.load(Ordering::Relaxed));
                bar.set_message(progress.activity.lock().unwrap_or_else(PoisonError::into_inner).clone());
                std::thread::sleep(Duration::from_millis(100));
            }
        });
        let report = run_scenario(&program, plan, &progress);
        finished.store(true, Ordering::Relaxed);
        report
    });
    bar.finish_and_clear();
    report.map_err(|e| CommandError(EXIT_FAILED, e))
}

/// Runs a scenario, prints the report and, on failure, searches for the shortest scenario that
/// fails.
fn run(plan: &RunConfig, json: bool, shrink: bool) -> CommandResult {
    if !json {
        print(&format!("{}: {}\n", plan.name, plan.scenario.about))?;
    }
    let report = run_with_progress(plan, json)?;
    if !json {
        print(&table(&report))?;
    }
    let clean = report.is_clean();
    if !clean && shrink && !json {
        print(&format!(
            "a rule was violated with seed {}; searching for the shortest scenario that violates one\n",
            plan.seed
        ))?;
        let fails = |candidate: &Scenario| {
            let shorter = RunConfig { scenario: candidate.clone(), ..plan.clone() };
            run_with_progress(&shorter, false).is_ok_and(|r| r.breaches.sum() > 0)
        };
        let (short, runs) = shrink_scenario(&plan.scenario, MAX_SHRINK_RUNS, fails);
        print(&format!("after {runs} runs, for --seed {}:\n\n{}\n", plan.seed, short.to_toml()))?;
    }
    let line = serde_json::to_string(&report).map_err(|e| CommandError(EXIT_FAILED, e.to_string()))?;
    print(&format!("{line}\n"))?;
    match clean {
        true => Ok(()),
        false if report.breaches.sum() > 0 => Err(CommandError(EXIT_FAILED, String::new())),
        false => Err(CommandError(
            EXIT_FAILED,
            format!("only {} messages were accepted; at least {} are required", report.taken, report.least),
        )),
    }
}

/// The report of a run as text.
pub(super) fn table(report: &Report) -> String {
    let b = &report.breaches;
    let rows: Vec<Vec<String>> = [
        ("accepted without exactly one outcome", b.lost),
        ("took effect twice", b.twice),
        ("out of order in their key", b.out_of_order),
        ("calls more than 2 s after the forwarder received a drain", b.after_drain),
        ("calls during a wait that the partner had requested", b.waits_broken),
        ("partners overloaded on their return", b.pushed_over),
        ("forwarders with a different state at the end", b.diverged),
    ]
    .iter()
    .map(|(rule, count)| {
        vec![rule.to_string(), count.to_string(), if *count == 0 { "kept" } else { "BROKEN" }.to_string()]
    })
    .collect();
    let mut text = format!(
        "{} forwarders: {} messages accepted, {} ended, {} refused, {} unanswered, {} lost with their machine; {} calls, \
         {} of them rejected with a wait\n",
        report.forwarders,
        report.taken,
        report.ended,
        report.refused,
        report.unanswered,
        report.lost_with_machine,
        report.calls,
        report.refused_by_partner
    );
    text += &format!(
        "orders reached all forwarders within {} ms; {} ms after the last fault all had the same state\n\n",
        report.told_ms, report.converged_ms
    );
    text + &super::show::table(&["rule", "count", ""], &rows, "")
}
