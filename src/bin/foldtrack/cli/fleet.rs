//! Several forwarders as processes, with faults between them that a story tells.

use super::{say, Ended, Failure, FAILED, WRONG};
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

/// Plays that the search for the shortest story may take.
const SHRINKING: usize = 12;

#[derive(Subcommand)]
pub(super) enum Fleet {
    /// Plays a story on real processes, and judges it from the books of partners and clients. Exit code 0 only where no rule
    /// is broken and work was done; the last line is one JSON object
    Run {
        /// How many forwarders
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=16))]
        forwarders: u64,
        /// A story that comes with the program (`fleet list`), or a file
        #[arg(long, default_value = "calm")]
        scenario: String,
        /// Sets all that is drawn
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Only the line of JSON
        #[arg(long)]
        json: bool,
        /// They do not know of each other, for comparisons
        #[arg(long)]
        alone: bool,
        /// Where it fails, the shortest story that still does is not looked for
        #[arg(long)]
        no_shrink: bool,
    },
    /// The stories that come with the program
    List,
    /// Writes a story that comes with the program, to begin another with
    Story {
        /// Its name
        name: String,
    },
}

pub(super) fn fleet(words: &Fleet) -> Ended {
    match words {
        Fleet::List => {
            let line = |(name, text): &(&str, &str)| {
                let about = Scenario::read(text).map(|s| s.about).unwrap_or_default();
                format!("{name:<16}{about}\n")
            };
            say(&BUILT_IN.iter().map(line).collect::<String>())
        }
        Fleet::Story { name } => match BUILT_IN.iter().find(|(known, _)| known == name) {
            Some((_, text)) => say(text),
            None => Err(unknown(name)),
        },
        Fleet::Run { forwarders, scenario, seed, json, alone, no_shrink } => {
            let mut told = RunConfig::new(scenario, story(scenario)?, *forwarders as usize, *seed);
            told.peers = !alone;
            run(&told, *json, !no_shrink)
        }
    }
}

fn unknown(name: &str) -> Failure {
    let names: Vec<&str> = BUILT_IN.iter().map(|(name, _)| *name).collect();
    Failure(WRONG, format!("there is no story {name:?}, and no file; there are {}", names.join(", ")))
}

fn story(name: &str) -> Result<Scenario, Failure> {
    if let Some(story) = Scenario::built_in(name) {
        return Ok(story);
    }
    let text = std::fs::read_to_string(PathBuf::from(name)).map_err(|_| unknown(name))?;
    Scenario::read(&text).map_err(|e| Failure(WRONG, format!("{name}: {e}")))
}

/// Plays it, with a bar for whoever looks on.
pub(super) fn watched(told: &RunConfig, quiet: bool) -> Result<Report, Failure> {
    let program = std::env::current_exe().map_err(|e| Failure(FAILED, format!("this program: {e}")))?;
    let (progress, over) = (Progress::default(), AtomicBool::new(false));
    let bar = match quiet || !std::io::stderr().is_terminal() {
        true => ProgressBar::hidden(),
        false => ProgressBar::new(1000),
    };
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {elapsed:>4}  {msg}") {
        bar.set_style(style);
    }
    let report = std::thread::scope(|scope| {
        scope.spawn(|| {
            while !over.load(Ordering::Relaxed) {
                bar.set_position(progress.per_mille.load(Ordering::Relaxed));
                bar.set_message(progress.activity.lock().unwrap_or_else(PoisonError::into_inner).clone());
                std::thread::sleep(Duration::from_millis(100));
            }
        });
        let report = run_scenario(&program, told, &progress);
        over.store(true, Ordering::Relaxed);
        report
    });
    bar.finish_and_clear();
    report.map_err(|e| Failure(FAILED, e))
}

fn run(told: &RunConfig, json: bool, shrink: bool) -> Ended {
    if !json {
        say(&format!("{}: {}\n", told.name, told.scenario.about))?;
    }
    let report = watched(told, json)?;
    if !json {
        say(&table(&report))?;
    }
    let clean = report.is_clean();
    if !clean && shrink && !json {
        say(&format!(
            "a rule is broken with seed {}; looking for the shortest story that breaks one\n",
            told.seed
        ))?;
        let fails = |story: &Scenario| {
            let shorter = RunConfig { scenario: story.clone(), ..told.clone() };
            watched(&shorter, false).is_ok_and(|r| r.breaches.sum() > 0)
        };
        let (short, plays) = shrink_scenario(&told.scenario, SHRINKING, fails);
        say(&format!("after {plays} plays, for --seed {}:\n\n{}\n", told.seed, short.to_toml()))?;
    }
    let line = serde_json::to_string(&report).map_err(|e| Failure(FAILED, e.to_string()))?;
    say(&format!("{line}\n"))?;
    match clean {
        true => Ok(()),
        false if report.breaches.sum() > 0 => Err(Failure(FAILED, String::new())),
        false => Err(Failure(
            FAILED,
            format!("only {} messages were taken on; {} are needed", report.taken, report.least),
        )),
    }
}

/// What a play has shown, for people.
pub(super) fn table(report: &Report) -> String {
    let b = &report.breaches;
    let rows: Vec<Vec<String>> = [
        ("taken on and without one end", b.lost),
        ("took effect twice", b.twice),
        ("out of order in their key", b.out_of_order),
        ("calls more than 2 s after the forwarder was told of a drain", b.after_drain),
        ("calls in a wait that the forwarder had been told", b.waits_broken),
        ("partners pushed over on their return", b.pushed_over),
        ("forwarders with another picture in the end", b.diverged),
    ]
    .iter()
    .map(|(rule, count)| {
        vec![rule.to_string(), count.to_string(), if *count == 0 { "kept" } else { "BROKEN" }.to_string()]
    })
    .collect();
    let mut text = format!(
        "{} forwarders: {} messages taken on, {} ended, {} refused, {} unanswered, {} lost with their machine; {} calls, \
         {} of them turned away with a wait\n",
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
        "orders reached all within {} ms; {} ms after the last fault all had the same picture\n\n",
        report.told_ms, report.converged_ms
    );
    text + &super::show::table(&["rule", "count", ""], &rows, "")
}
