//! Fleets in simulated time: policies side by side on the same seeds.

use super::show::table;
use super::{say, Ended, Failure, FAILED, WRONG};
use clap::Args;
use foldtrack_delivery::emulator_policy::SchedulerFactory;
use foldtrack_emulator::baselines::Baseline;
use foldtrack_emulator::matrix::{mean, rows, Row};
use foldtrack_emulator::policy::PolicyFactory;
use foldtrack_emulator::world::World;
use std::path::PathBuf;

/// The world that comes with the program.
const CALM: &str = include_str!("../../../../crates/emulator/worlds/calm.toml");

#[derive(Args)]
pub(super) struct Emulate {
    /// A world in TOML; without one, three hundred forwarders on a calm day
    world: Option<PathBuf>,
    /// Plays of each policy, on seeds from `--first-seed` on
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    seeds: u64,
    /// See `--seeds`
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// How many forwarders, in place of what the world says
    #[arg(long)]
    forwarders: Option<u32>,
    /// Policies to play, the first of which the others are compared with; `module` is the program's own
    #[arg(long = "policy", default_values = ["module", "one-try", "back-off", "aimd", "even-part"])]
    policies: Vec<String>,
    /// A line of JSON for each play
    #[arg(long)]
    json: bool,
    /// Writes the world that comes with the program, to begin another with
    #[arg(long)]
    template: bool,
}

fn policy(name: &str) -> Result<&'static dyn PolicyFactory, Failure> {
    let all: Vec<&'static dyn PolicyFactory> = std::iter::once(&SchedulerFactory as &dyn PolicyFactory)
        .chain(Baseline::ALL.iter().map(|b| b as &dyn PolicyFactory))
        .collect();
    let names: Vec<&str> = all.iter().map(|p| p.name()).collect();
    let told = || Failure(WRONG, format!("there is no policy {name:?}; there are {}", names.join(", ")));
    all.iter().copied().find(|p| p.name() == name).ok_or_else(told)
}

pub(super) fn emulate(words: &Emulate) -> Ended {
    if words.template {
        return say(CALM);
    }
    let text = match &words.world {
        Some(path) => {
            std::fs::read_to_string(path).map_err(|e| Failure(WRONG, format!("{}: {e}", path.display())))?
        }
        None => CALM.to_string(),
    };
    let shown = words
        .world
        .as_ref()
        .map_or("the world that comes with the program".into(), |p| p.display().to_string());
    let wrong = |e: String| Failure(WRONG, format!("{shown}: {e}"));
    let mut world = World::read(&text).map_err(wrong)?;
    if let Some(forwarders) = words.forwarders {
        world.fleet.forwarders = forwarders;
        world.check().map_err(wrong)?;
    }
    let policies = words.policies.iter().map(|name| policy(name)).collect::<Result<Vec<_>, _>>()?;
    let seeds: Vec<u64> = (words.first_seed..words.first_seed.saturating_add(words.seeds)).collect();
    let began = std::time::Instant::now();
    let all = rows(&world, &policies, &seeds);
    if words.json {
        let line = |r: &Row| {
            serde_json::json!({
                "policy": r.policy, "seed": r.seed, "served": r.served, "goal": r.goal, "in_time": r.in_time, "late": r.late,
                "refused": r.refused, "attempts": r.attempts, "full": r.rejected, "first_s": r.first_call_s, "broken": r.violations,
            })
        };
        return say(&all.iter().map(|r| format!("{}\n", line(r))).collect::<String>());
    }
    let plays = all.len() as f64;
    let simulated = f64::from(world.fleet.forwarders) * world.fleet.lasts as f64 / 1e6 * plays;
    let text = format!(
        "{}: {} forwarders, {} plays in {:.1} s, {:.0} forwarder-seconds in each\n{}",
        world.about,
        world.fleet.forwarders,
        all.len(),
        began.elapsed().as_secs_f64(),
        simulated / began.elapsed().as_secs_f64().max(1e-9),
        report(&all, &words.policies)
    );
    say(&text)?;
    match all.iter().find(|r| r.policy == "module" && r.violations > 0) {
        Some(row) => Err(Failure(
            FAILED,
            format!("the module broke a rule {} times on seed {}", row.violations, row.seed),
        )),
        None => Ok(()),
    }
}

/// Means with their 95% intervals, and the differences to the first policy seed by seed.
fn report(all: &[Row], policies: &[String]) -> String {
    let of = |policy: &String| all.iter().filter(|r| r.policy == *policy).collect::<Vec<_>>();
    let first = policies.first().map(of).unwrap_or_default();
    let shown = |values: &[f64]| {
        let (mean, half) = mean(values);
        format!("{mean:.3} +-{half:.3}")
    };
    let line = |policy: &String| {
        let rows = of(policy);
        let column = |value: fn(&Row) -> f64| shown(&rows.iter().map(|r| value(r)).collect::<Vec<_>>());
        let differences: Vec<f64> =
            rows.iter().zip(&first).map(|(row, first)| row.served - first.served).collect();
        vec![
            policy.clone(),
            column(|r| r.served),
            if policies.first() == Some(policy) { "-".into() } else { shown(&differences) },
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
    table(&head, &policies.iter().map(line).collect::<Vec<_>>(), "nothing was played")
}
