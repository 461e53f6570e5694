//! `foldtrack journal`: inspects a journal, while a forwarder uses it or afterwards. It only reads,
//! and does nothing that a running forwarder could wait for.

use super::{load, print, show, CommandError, CommandResult, EXIT_FAILED, EXIT_REFUSED};
use base64::prelude::{Engine, BASE64_STANDARD};
use clap::{Args, Subcommand};
use foldtrack_journal::recovery::{read, DamagedRange, RecoveredJournal};
use foldtrack_journal::{AttemptEffect, FailureNotice, JournalDir, RecoveredMessage};
use serde_json::{json, Value};
use std::io::ErrorKind;
use std::path::PathBuf;

/// Maximum number of attempts to read the journal. A running forwarder may remove a segment during
/// an attempt.
const MAX_READ_ATTEMPTS: u32 = 20;

#[derive(Args)]
pub(super) struct Journal {
    #[command(subcommand)]
    command: JournalCommand,
    /// The site file of the forwarder
    #[arg(long, default_value = "site.toml", env = "FOLDTRACK_SITE", global = true)]
    site: PathBuf,
    /// The forwarder's state folder, instead of the one named in the site file
    #[arg(long, env = "FOLDTRACK_STATE", global = true)]
    state: Option<PathBuf>,
    /// Print JSON
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum JournalCommand {
    /// Shows the numbers of segments, bytes, messages and records
    Stat,
    /// Lists the open messages, oldest first
    List,
    /// Shows one message with its attempts
    Show {
        /// The message's X-Request-Id
        id: String,
    },
    /// Reads the whole journal, and reports damage and what a restart does about it
    Verify,
    /// Writes the open messages as JSON lines, with their bodies
    Export,
}

/// Runs a `foldtrack journal` command.
pub(super) fn journal(args: &Journal) -> CommandResult {
    let state = match &args.state {
        Some(state) => state.clone(),
        None => load(&args.site)?.state,
    };
    let failed = |e: std::io::Error| CommandError(EXIT_FAILED, format!("{}: {e}", state.display()));
    if !state.is_dir() {
        return Err(CommandError(EXIT_FAILED, format!("{}: no such folder", state.display())));
    }
    let mut attempts = 0;
    let journal_data = loop {
        attempts += 1;
        match read(&mut JournalDir::read_only(&state)) {
            Err(e)
                if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::UnexpectedEof)
                    && attempts < MAX_READ_ATTEMPTS => {}
            other => break other.map_err(failed)?,
        }
    };
    if state.join("journal").is_file() || state.join("journal.v1").is_file() {
        eprintln!("there is also a journal of format version 1: it will be migrated at the next start");
    }
    match &args.command {
        JournalCommand::Stat => stat(&journal_data, args.json),
        JournalCommand::List => list(&journal_data, args.json),
        JournalCommand::Show { id } => show_one(&journal_data, id, args.json),
        JournalCommand::Verify => verify(&journal_data, args.json),
        JournalCommand::Export => export(&journal_data),
    }
}

/// Prints the size of the journal.
fn stat(journal_data: &RecoveredJournal, as_json: bool) -> CommandResult {
    let bytes: u64 = journal_data.segments.iter().map(|s| s.length).sum();
    let places = journal_data.messages.values().flat_map(|(_, places)| places);
    let live: u64 = places.map(|p| u64::from(p.length)).sum();
    let bodies: usize = journal_data.messages.values().map(|(m, _)| m.accepted.body.len()).sum();
    let (first, last) = (journal_data.segments.first(), journal_data.segments.last());
    if as_json {
        return print(&format!(
            "{}\n",
            json!({"version": 2, "segments": journal_data.segments.len(), "bytes": bytes, "live_bytes": live,
                "messages": journal_data.messages.len(), "body_bytes": bodies, "records": journal_data.records,
                "highest_number": journal_data.highest_number, "damaged_places": journal_data.damage.len()})
        ));
    }
    let range = first.zip(last).map_or("none".into(), |(f, l)| format!("{} to {}", f.number, l.number));
    print(&format!(
        "format    2\nsegments  {} ({range}), {bytes} bytes\nlive      {live} bytes ({}%)\nmessages  {} open, {bodies} bytes \
         of bodies\nrecords   {}, the highest message number is {}\ndamage    {} places\n",
        journal_data.segments.len(),
        (live * 100).checked_div(bytes).unwrap_or(0),
        journal_data.messages.len(),
        journal_data.records,
        journal_data.highest_number,
        journal_data.damage.len()
    ))
}

/// The state of an open message as text. It is also printed as JSON, where programs may depend on
/// the wording.
fn message_state(message: &RecoveredMessage) -> &'static str {
    match (message.delivered, message.notice, message.attempts.last()) {
        (true, ..) => "delivered, to be told",
        (_, Some(FailureNotice::GivenUp), _) => "given up, to be told",
        (_, Some(FailureNotice::HandedBack { .. }), _) => "handed back, to be told",
        (.., Some(tried)) if tried.effect.is_none() => "an attempt is out",
        (.., Some(_)) => "tried",
        (.., None) => "not tried yet",
    }
}

/// Prints the open messages.
fn list(journal_data: &RecoveredJournal, as_json: bool) -> CommandResult {
    if as_json {
        let lines = journal_data.messages.iter().map(|(number, (m, _))| {
            json!({"number": number, "id": m.accepted.id, "class": m.accepted.class, "key": m.accepted.key,
                "destination": m.accepted.destination, "expires": m.accepted.expires, "attempts": m.attempts.len(),
                "body_bytes": m.accepted.body.len(), "state": message_state(m)})
        });
        return print(&lines.map(|line| format!("{line}\n")).collect::<String>());
    }
    let row = |(number, (m, _)): (&u64, &(RecoveredMessage, Vec<_>))| {
        vec![
            number.to_string(),
            m.accepted.id.clone(),
            m.accepted.class.clone(),
            m.accepted.destination.to_string(),
            m.accepted.key.clone(),
            show::format_time(m.accepted.expires),
            m.attempts.len().to_string(),
            m.accepted.body.len().to_string(),
            message_state(m).to_string(),
        ]
    };
    let head = ["number", "message", "class", "destination", "key", "at", "attempts", "bytes", "state"];
    let rows: Vec<Vec<String>> = journal_data.messages.iter().map(row).collect();
    print(&show::table(&head, &rows, "there are no open messages"))
}

/// A message with its attempts and body as JSON.
fn detail(number: u64, message: &RecoveredMessage) -> Value {
    let attempts: Vec<Value> = message
        .attempts
        .iter()
        .map(|t| {
            let effect = match t.effect {
                None => "no outcome: counts as perhaps run",
                Some(AttemptEffect::NeverRan) => "did not run",
                Some(AttemptEffect::MayHaveRun) => "may have run",
            };
            json!({"at": t.at, "endpoint": t.endpoint, "fate": effect})
        })
        .collect();
    let a = &message.accepted;
    json!({"number": number, "id": a.id, "class": a.class, "destination": a.destination, "key": a.key,
        "idempotency_key": a.idempotency_key, "taken": message.taken, "expires": a.expires, "state": message_state(message),
        "attempts": attempts, "body": BASE64_STANDARD.encode(&a.body)})
}

/// Prints the messages with an id.
fn show_one(journal_data: &RecoveredJournal, id: &str, as_json: bool) -> CommandResult {
    let mut shown = 0;
    for (number, (message, places)) in journal_data.messages.iter().filter(|(_, (m, _))| m.accepted.id == id)
    {
        shown += 1;
        let mut value = detail(*number, message);
        value["places"] =
            places.iter().map(|p| json!({"segment": p.segment, "at": p.at, "bytes": p.length})).collect();
        let text = if as_json {
            value.to_string()
        } else {
            serde_json::to_string_pretty(&value).unwrap_or_default()
        };
        print(&format!("{text}\n"))?;
    }
    match shown {
        0 => Err(CommandError(
            EXIT_REFUSED,
            format!("the journal holds no open message {id:?}: it is settled, or was never accepted"),
        )),
        _ => Ok(()),
    }
}

/// Prints the open messages with their bodies as JSON lines.
fn export(journal_data: &RecoveredJournal) -> CommandResult {
    for (number, (message, _)) in &journal_data.messages {
        print(&format!("{}\n", detail(*number, message)))?;
    }
    Ok(())
}

/// What a restart does about a damaged range.
fn consequence(damage: &DamagedRange) -> &'static str {
    match (damage.is_tail, damage.bytes) {
        (true, _) => "a restart cuts it off; it was never acknowledged (a running forwarder may be writing it now)",
        (false, 0) => "what stood there is lost; a restart goes on with the rest",
        (false, _) => {
            "a restart passes it over: a message that began there is lost, an attempt there counts as perhaps run, and a \
             message that ended there comes back, with its attempts"
        }
    }
}

/// Prints the damaged ranges.
fn verify(journal_data: &RecoveredJournal, as_json: bool) -> CommandResult {
    let damaged = journal_data.damage.iter().filter(|d| !d.is_tail).count();
    for d in &journal_data.damage {
        let name = JournalDir::file_name(d.segment);
        if as_json {
            let line = json!({"segment": d.segment, "at": d.at, "bytes": d.bytes, "tail": d.is_tail, "problem": d.problem,
                "restart": consequence(d)});
            print(&format!("{line}\n"))?;
        } else {
            print(&format!(
                "journal/{name}: byte {}, {} bytes: {}\n  {}\n",
                d.at,
                d.bytes,
                d.problem,
                consequence(d)
            ))?;
        }
    }
    if damaged > 0 {
        return Err(CommandError(EXIT_FAILED, format!("{damaged} places are damaged")));
    }
    if !as_json {
        print(&format!(
            "sound: {} records in {} segments\n",
            journal_data.records,
            journal_data.segments.len()
        ))?;
    }
    Ok(())
}
