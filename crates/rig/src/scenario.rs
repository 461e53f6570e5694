//! Scenarios: what happens to a fleet and when, read from TOML files.

use crate::faults::Faults;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A scenario. See `docs/rig.md`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    /// Description in one sentence.
    pub about: String,
    /// How long messages are submitted.
    #[serde(with = "humantime_serde")]
    pub lasts: Duration,
    /// Messages per second to the whole fleet.
    pub rate: f64,
    /// With fewer accepted messages than this a run proves nothing.
    pub least: u64,
    /// Minimum number of forwarders.
    #[serde(default = "usual_forwarders")]
    pub forwarders: usize,
    /// Whether clients retry at another forwarder, under the same id, where theirs does not respond.
    #[serde(default)]
    pub elsewhere: bool,
    /// Share of the responses to clients that are lost, where `elsewhere` is set.
    #[serde(default)]
    pub lost_answers: f64,
    /// Initial faults of all links between forwarders.
    #[serde(default)]
    pub links: Faults,
    /// Clocks with an offset or another rate, by forwarder.
    #[serde(default)]
    pub clocks: BTreeMap<String, Clock>,
    /// The steps, in order of time.
    #[serde(default, rename = "step")]
    pub steps: Vec<Step>,
}

fn usual_forwarders() -> usize {
    5
}

/// The clock of one forwarder.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clock {
    /// Offset in seconds from the machine's clock.
    pub offset: f64,
    /// Rate as a multiple of the machine's clock.
    pub rate: f64,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { offset: 0.0, rate: 1.0 }
    }
}

/// An action at a point in time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Time since the start of the load.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// The action.
    #[serde(flatten)]
    pub what: Action,
}

/// What a step does. Forwarders and partners are given by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Cuts all links between groups of forwarders. A forwarder that is in no group belongs to the last one.
    Cut(Vec<Vec<String>>),
    /// Cuts the link from the first forwarder to the second, and leaves the opposite direction as it is.
    CutOneWay(String, String),
    /// Restores every link to the initial faults of the scenario.
    Heal(bool),
    /// Keeps back all traffic from and to a forwarder.
    Hold(String),
    /// Delivers the traffic that was kept back, all at once.
    Release(String),
    /// Sets the faults of all links between forwarders.
    Links(Faults),
    /// Sends SIGKILL.
    Kill(String),
    /// Sends SIGTERM.
    Terminate(String),
    /// Sends SIGSTOP.
    Stop(String),
    /// Sends SIGCONT.
    GoOn(String),
    /// Restarts a forwarder with its existing state folder.
    Start(String),
    /// Restarts a forwarder with an empty state folder.
    StartEmpty(String),
    /// Copies the state folder of a forwarder while it runs.
    Backup(String),
    /// Restarts a forwarder with the copied state folder.
    StartBackup(String),
    /// Gives an operator's order to a forwarder: `["a", "drain", "steady-1"]`. The orders are `drain`, `resume`, `pause`,
    /// `resume-partner` and `remove`.
    Order(String, String, String),
    /// Makes a partner stop responding for a time, after which it recovers with a slow start: `["shaky", "3s"]`.
    Silent(String, String),
}

/// Name and text of the scenarios that are compiled into the program.
pub const BUILT_IN: [(&str, &str); 10] = [
    ("calm", include_str!("../stories/calm.toml")),
    ("loss", include_str!("../stories/loss.toml")),
    ("cut", include_str!("../stories/cut.toml")),
    ("one-way", include_str!("../stories/one-way.toml")),
    ("flap", include_str!("../stories/flap.toml")),
    ("rejoin", include_str!("../stories/rejoin.toml")),
    ("restart-empty", include_str!("../stories/restart-empty.toml")),
    ("restored-backup", include_str!("../stories/restored-backup.toml")),
    ("elsewhere", include_str!("../stories/elsewhere.toml")),
    ("clocks", include_str!("../stories/clocks.toml")),
];

/// The name of the forwarder with this index: `a` to `z`, then `f26` and so on.
pub fn forwarder(index: usize) -> String {
    match u8::try_from(index) {
        Ok(n) if n < 26 => char::from(b'a' + n).to_string(),
        _ => format!("f{index}"),
    }
}

impl Scenario {
    /// Returns a built-in scenario by name.
    pub fn built_in(name: &str) -> Option<Scenario> {
        let (_, text) = BUILT_IN.iter().find(|(known, _)| *known == name)?;
        Scenario::read(text).ok()
    }

    /// Parses a scenario and sorts its steps by time.
    ///
    /// # Errors
    /// Describes the mistake and where it is.
    pub fn read(text: &str) -> Result<Scenario, String> {
        let mut scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
        scenario.steps.sort_by_key(|s| s.at);
        for (n, step) in scenario.steps.iter().enumerate() {
            if let Action::Silent(_, duration) = &step.what {
                humantime::parse_duration(duration)
                    .map_err(|e| format!("step {}: {duration:?}: {e}", n + 1))?;
            }
            if let Action::Order(_, order, _) = &step.what {
                let known = ["drain", "resume", "pause", "resume-partner", "remove"];
                if !known.contains(&order.as_str()) {
                    return Err(format!(
                        "step {}: unknown order {order:?}; the orders are {}",
                        n + 1,
                        known.join(", ")
                    ));
                }
            }
        }
        Ok(scenario)
    }

    /// Formats the scenario as TOML.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_else(|e| format!("# {e}\n"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn built_in_scenarios_are_read_and_survive_a_round_trip() {
        for (name, text) in BUILT_IN {
            let scenario = Scenario::read(text).unwrap_or_else(|e| panic!("{name}: {e}"));
            assert!(scenario.least > 0 && !scenario.about.is_empty(), "{name}");
            assert!(scenario.steps.windows(2).all(|w| w[0].at <= w[1].at));
            assert_eq!(
                Scenario::read(&scenario.to_toml()).unwrap_or_else(|e| panic!("{name}: {e}")),
                scenario
            );
        }
    }

    #[test]
    fn mistakes_are_described() {
        let head = "about = \"x\"\nlasts = \"1s\"\nrate = 1\nleast = 1\n";
        for (step, problem) in [
            ("at = \"1s\"\nfly = \"a\"", "no variant"),
            ("at = \"x\"\nkill = \"a\"", "line"),
            ("at = \"1s\"\norder = [\"a\", \"dance\", \"e\"]", "dance"),
            ("at = \"1s\"\nsilent = [\"shaky\", \"soon\"]", "soon"),
            ("at = \"1s\"\nlinks = { delay = [\"2s\", \"1s\"] }", "shorter"),
        ] {
            let error = Scenario::read(&format!("{head}[[step]]\n{step}\n")).unwrap_err();
            assert!(error.contains(problem), "{step}: {error}");
        }
    }
}
