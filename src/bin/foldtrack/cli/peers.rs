//! What is ordered on a site, and where two forwarders differ.

use super::{load, say, show, Asked, Ended, Failure, FAILED, WRONG};
use clap::Subcommand;
use foldtrack_control::{Client, ControlCommand, ControlResponse, SiteState, Statement};
use foldtrack_site::CONTROL_SOCKET;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub(super) enum State {
    /// What was ordered anywhere and holds, with who said it
    Show(Asked),
    /// Where two forwarders differ: each by its site file, its state folder, or a file that `state show --json` has written.
    /// Exit code 1 if they do
    Diff {
        /// The one
        one: PathBuf,
        /// The other
        other: PathBuf,
        /// One JSON object, for programs
        #[arg(long)]
        json: bool,
    },
}

pub(super) fn state(words: &State) -> Ended {
    match words {
        State::Show(asked) => asked.show(ControlCommand::State),
        State::Diff { one, other, json } => diff(one, other, *json),
    }
}

/// The state of a forwarder that runs, or one that was saved.
fn fetch(path: &Path) -> Result<SiteState, Failure> {
    if path.extension().is_some_and(|e| e == "json") {
        let told = |e: &dyn std::fmt::Display| Failure(WRONG, format!("{}: {e}", path.display()));
        let text = std::fs::read(path).map_err(|e| told(&e))?;
        return match serde_json::from_slice(&text).map_err(|e| told(&e))? {
            ControlResponse::State(state) => Ok(*state),
            _ => Err(told(&"this is not what `state show --json` writes")),
        };
    }
    let socket = if path.is_dir() { path.join(CONTROL_SOCKET) } else { load(path)?.control_socket() };
    match Client::connect(&socket)?.request(ControlCommand::State)? {
        ControlResponse::State(state) => Ok(*state),
        _ => Err(Failure(FAILED, "the forwarder answers something else than it was asked".into())),
    }
}

fn diff(one: &Path, other: &Path, json: bool) -> Ended {
    let (left, right) = (fetch(one)?, fetch(other)?);
    fn by_id(state: &SiteState) -> BTreeMap<&str, &Statement> {
        state.statements.iter().map(|s| (s.id.as_str(), s)).collect()
    }
    let (mine, theirs) = (by_id(&left), by_id(&right));
    let mut rows = Vec::new();
    for (id, statement) in &mine {
        match theirs.get(id) {
            None => rows.push((left.name.clone(), *statement)),
            Some(other) if other != statement => {
                rows.push((format!("{}, otherwise at {}", left.name, right.name), *statement));
            }
            Some(_) => {}
        }
    }
    rows.extend(
        theirs.iter().filter(|(id, _)| !mine.contains_key(*id)).map(|(_, s)| (right.name.clone(), *s)),
    );
    if json {
        let lines: Vec<_> =
            rows.iter().map(|(at, s)| serde_json::json!({"at": at, "statement": s})).collect();
        let same = left.digest == right.digest;
        say(&format!("{}\n", serde_json::json!({"same": same && rows.is_empty(), "differences": lines})))?;
    } else {
        let cells = |(at, s): &(String, &Statement)| {
            vec![
                at.clone(),
                s.kind.clone(),
                s.subject.clone(),
                s.word.clone(),
                s.id.clone(),
                show::time(s.at),
            ]
        };
        let rows: Vec<Vec<String>> = rows.iter().map(cells).collect();
        let head = ["only at", "kind", "name", "says", "statement", "at"];
        say(&show::table(&head, &rows, &format!("{} and {} have the same", left.name, right.name)))?;
    }
    match rows.is_empty() && left.digest == right.digest {
        true => Ok(()),
        false => Err(Failure(FAILED, String::new())),
    }
}
