//! The stand-ins of the review's cases: `standin CASE ROOT RECORD [key=value ...]`. Exits with 0 if the rule held,
//! with 1 if it was broken and with 2 if the case could not run.

mod clients;
mod crowded;
mod drained;
mod fuzz;
mod handed_back;
mod http;
mod platform;
mod relay;
mod rules;
mod site;
mod stepped;
mod taken_over;
mod targets;
mod world;

use rules::{Breach, Summary};
use std::collections::HashMap;
use std::path::PathBuf;
use std::process::ExitCode;
use world::World;

/// What a case is started with.
pub struct Start {
    /// Root of the repository.
    pub root: PathBuf,
    /// An empty folder for the forwarders.
    pub folder: PathBuf,
    /// Where the record goes.
    pub record: PathBuf,
    /// Whether the disruption happens.
    pub trouble: bool,
    pub options: HashMap<String, String>,
}

impl Start {
    pub fn number(&self, name: &str, default: u64) -> u64 {
        self.options.get(name).and_then(|text| text.parse().ok()).unwrap_or(default)
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, record, options @ ..] = &arguments[..] else {
        eprintln!("usage: standin CASE ROOT RECORD [key=value ...]");
        return ExitCode::from(2);
    };
    let options = options.iter().filter_map(|text| text.split_once('='));
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err()
        || !PathBuf::from(root).join("target/release/foldtrack").exists()
    {
        eprintln!("no temporary folder, or the program is not built");
        return ExitCode::from(2);
    }
    let start = Start {
        root: root.into(),
        folder: folder.clone(),
        record: record.into(),
        trouble: std::env::var("TROUBLE").map_or(true, |text| text != "0"),
        options: options.map(|(k, v)| (k.to_string(), v.to_string())).collect(),
    };
    let code = match case.as_str() {
        "crowded" => crowded::run(&start),
        "drained" => drained::run(&start),
        "handed-back" => handed_back::run(&start),
        "stepped" => stepped::run(&start),
        "taken-over" => taken_over::run(&start),
        "fuzz" => fuzz::run(&start),
        _ => 2,
    };
    if start.number("keep", 0) == 0 {
        let _ = std::fs::remove_dir_all(&folder);
    }
    ExitCode::from(code)
}

/// Writes the record and tells whether a rule was broken: 1 for the rule of the case, 0 if none was, 3 for another.
pub fn finish(start: &Start, world: &World, rule: &str, breaches: &[Breach], summary: &Summary) -> u8 {
    let mut text = world.record_text();
    for breach in breaches {
        text += &format!("BROKEN {}: {}\n", breach.rule, breach.text);
    }
    text += &format!("{summary:?}\n");
    if std::fs::write(&start.record, text).is_err() {
        return 2;
    }
    let of_case: Vec<&Breach> = breaches.iter().filter(|breach| breach.rule == rule).collect();
    let others = breaches.len() - of_case.len();
    println!("{rule}: {} breaches; other rules: {others}; {summary:?}", of_case.len());
    of_case.iter().take(5).for_each(|breach| println!("{}", breach.text));
    u8::from(!of_case.is_empty())
}
