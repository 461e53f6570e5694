//! Stories: what happens to a fleet and when, in a file that reads like one.

use crate::faults::Faults;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A story. See `docs/rig.md`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    /// What it is about, in a sentence.
    pub about: String,
    /// Messages are handed in for so long.
    #[serde(with = "humantime_serde")]
    pub lasts: Duration,
    /// Messages a second to the whole fleet.
    pub rate: f64,
    /// Below so many messages taken on a play proves nothing.
    pub least: u64,
    /// Forwarders that it needs at least.
    #[serde(default = "usual_forwarders")]
    pub forwarders: usize,
    /// Clients turn to another forwarder where theirs does not answer, under the same id.
    #[serde(default)]
    pub elsewhere: bool,
    /// Share of the answers to clients that get lost on the way, where `elsewhere` is set.
    #[serde(default)]
    pub lost_answers: f64,
    /// Faults of all links between forwarders from the start.
    #[serde(default)]
    pub links: Faults,
    /// Clocks that are set or run otherwise, by forwarder.
    #[serde(default)]
    pub clocks: BTreeMap<String, Clock>,
    /// What happens.
    #[serde(default, rename = "step")]
    pub steps: Vec<Step>,
}

fn usual_forwarders() -> usize {
    5
}

/// A clock that is not as others are.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clock {
    /// Seconds that it is set by.
    pub offset: f64,
    /// How many times as fast it runs.
    pub rate: f64,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { offset: 0.0, rate: 1.0 }
    }
}

/// Something that happens at a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// When, from the start of the load.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// What.
    #[serde(flatten)]
    pub what: Action,
}

/// What happens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Groups that can't reach each other; who is in none is with the last.
    Cut(Vec<Vec<String>>),
    /// From the first to the second nothing comes; the other way it does.
    CutOneWay(String, String),
    /// Every link is sound again, but for the story's own faults.
    Heal(bool),
    /// What crosses the links from and to one is held back.
    Hold(String),
    /// It is let go, all at once.
    Release(String),
    /// Faults of all links between forwarders.
    Links(Faults),
    /// SIGKILL.
    Kill(String),
    /// SIGTERM.
    Terminate(String),
    /// SIGSTOP.
    Stop(String),
    /// SIGCONT.
    GoOn(String),
    /// It is started again, on the folder that it left.
    Start(String),
    /// It is started again on an empty folder.
    StartEmpty(String),
    /// Its folder is copied as it stands.
    Backup(String),
    /// It is started again on the copy.
    StartBackup(String),
    /// An operator's order at a forwarder: `["a", "drain", "steady-1"]`; `drain`, `resume`, `pause`, `resume-partner`,
    /// `remove`.
    Order(String, String, String),
    /// A partner goes silent for a span, and comes back cold: `["shaky", "3s"]`.
    Silent(String, String),
}

/// The stories that come with the program.
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

/// Name of the forwarder of a place.
pub fn forwarder(place: usize) -> String {
    match u8::try_from(place) {
        Ok(n) if n < 26 => char::from(b'a' + n).to_string(),
        _ => format!("f{place}"),
    }
}

impl Scenario {
    /// One that comes with the program, by its name.
    pub fn built_in(name: &str) -> Option<Scenario> {
        let (_, text) = BUILT_IN.iter().find(|(known, _)| *known == name)?;
        Scenario::read(text).ok()
    }

    /// Reads a story.
    ///
    /// # Errors
    /// What is wrong in it, with its place.
    pub fn read(text: &str) -> Result<Scenario, String> {
        let mut story: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
        story.steps.sort_by_key(|s| s.at);
        for (n, step) in story.steps.iter().enumerate() {
            if let Action::Silent(_, span) = &step.what {
                humantime::parse_duration(span).map_err(|e| format!("step {}: {span:?}: {e}", n + 1))?;
            }
            if let Action::Order(_, word, _) = &step.what {
                let known = ["drain", "resume", "pause", "resume-partner", "remove"];
                if !known.contains(&word.as_str()) {
                    return Err(format!(
                        "step {}: {word:?} is no order; there are {}",
                        n + 1,
                        known.join(", ")
                    ));
                }
            }
        }
        Ok(story)
    }

    /// The story as a file would tell it.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_else(|e| format!("# {e}\n"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_story_is_read_and_told_again_as_it_was() {
        for (name, text) in BUILT_IN {
            let story = Scenario::read(text).unwrap_or_else(|e| panic!("{name}: {e}"));
            assert!(story.least > 0 && !story.about.is_empty(), "{name}");
            assert!(story.steps.windows(2).all(|w| w[0].at <= w[1].at));
            assert_eq!(Scenario::read(&story.to_toml()).unwrap_or_else(|e| panic!("{name}: {e}")), story);
        }
    }

    #[test]
    fn what_is_wrong_is_told() {
        let head = "about = \"x\"\nlasts = \"1s\"\nrate = 1\nleast = 1\n";
        for (step, problem) in [
            ("at = \"1s\"\nfly = \"a\"", "no variant"),
            ("at = \"x\"\nkill = \"a\"", "line"),
            ("at = \"1s\"\norder = [\"a\", \"dance\", \"e\"]", "dance"),
            ("at = \"1s\"\nsilent = [\"shaky\", \"soon\"]", "soon"),
            ("at = \"1s\"\nlinks = { delay = [\"2s\", \"1s\"] }", "shorter"),
        ] {
            let told = Scenario::read(&format!("{head}[[step]]\n{step}\n")).unwrap_err();
            assert!(told.contains(problem), "{step}: {told}");
        }
    }
}
