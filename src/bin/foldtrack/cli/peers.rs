//! `foldtrack state`: the operator orders in force on a site, and the differences between two
//! forwarders.

use super::{load, print, show, CommandError, CommandResult, ControlArgs, EXIT_FAILED, EXIT_USAGE};
use clap::Subcommand;
use foldtrack_control::{Client, ControlCommand, ControlResponse, SiteState, Statement};
use foldtrack_site::CONTROL_SOCKET;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub(super) enum State {
    /// Shows the orders given on any forwarder of the site, and who gave them
    Show(ControlArgs),
    /// Compares two forwarders, each given by its site file, its state folder, or a file written by
    /// `state show --json`. The exit code is 1 if they differ
    Diff {
        /// The first forwarder
        one: PathBuf,
        /// The second forwarder
        other: PathBuf,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
}

/// Runs a `foldtrack state` command.
pub(super) fn state(args: &State) -> CommandResult {
    match args {
        State::Show(control) => control.show(ControlCommand::State),
        State::Diff { one, other, json } => diff(one, other, *json),
    }
}

/// Reads the state of a running forwarder, or from a file.
fn fetch(path: &Path) -> Result<SiteState, CommandError> {
    if path.extension().is_some_and(|e| e == "json") {
        let error_text =
            |e: &dyn std::fmt::Display| CommandError(EXIT_USAGE, format!("{}: {e}", path.display()));
        let text = std::fs::read(path).map_err(|e| error_text(&e))?;
        return match serde_json::from_slice(&text).map_err(|e| error_text(&e))? {
            ControlResponse::State(state) => Ok(*state),
            _ => Err(error_text(&"this is not output of `state show --json`")),
        };
    }
    let socket = if path.is_dir() { path.join(CONTROL_SOCKET) } else { load(path)?.control_socket() };
    match Client::connect(&socket)?.request(ControlCommand::State)? {
        ControlResponse::State(state) => Ok(*state),
        _ => Err(CommandError(EXIT_FAILED, "unexpected response from the forwarder".into())),
    }
}

/// Prints the statements that differ between two forwarders; an error if there are any.
fn diff(one: &Path, other: &Path, json: bool) -> CommandResult {
    let (left, right) = (fetch(one)?, fetch(other)?);
    fn by_id(state: &SiteState) -> BTreeMap<&str, &Statement> {
        state.statements.iter().map(|s| (s.id.as_str(), s)).collect()
    }
    let (left_statements, right_statements) = (by_id(&left), by_id(&right));
    let mut rows = Vec::new();
    for (id, statement) in &left_statements {
        match right_statements.get(id) {
            None => rows.push((left.name.clone(), *statement)),
            Some(other) if other != statement => {
                rows.push((format!("{}, otherwise at {}", left.name, right.name), *statement));
            }
            Some(_) => {}
        }
    }
    rows.extend(
        right_statements
            .iter()
            .filter(|(id, _)| !left_statements.contains_key(*id))
            .map(|(_, s)| (right.name.clone(), *s)),
    );
    if json {
        let lines: Vec<_> =
            rows.iter().map(|(at, s)| serde_json::json!({"at": at, "statement": s})).collect();
        let same = left.digest == right.digest;
        print(&format!("{}\n", serde_json::json!({"same": same && rows.is_empty(), "differences": lines})))?;
    } else {
        let cells = |(at, s): &(String, &Statement)| {
            vec![
                at.clone(),
                s.kind.clone(),
                s.subject.clone(),
                s.word.clone(),
                s.id.clone(),
                show::format_time(s.at),
            ]
        };
        let rows: Vec<Vec<String>> = rows.iter().map(cells).collect();
        let head = ["only at", "kind", "name", "says", "statement", "at"];
        print(&show::table(&head, &rows, &format!("{} and {} have the same state", left.name, right.name)))?;
    }
    match rows.is_empty() && left.digest == right.digest {
        true => Ok(()),
        false => Err(CommandError(EXIT_FAILED, String::new())),
    }
}
