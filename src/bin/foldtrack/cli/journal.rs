//! Looking into a journal, beside its owner or without one: read-only, and nothing that the owner could wait for.

use super::{load, say, show, Ended, Failure, FAILED, REFUSED};
use base64::prelude::{Engine, BASE64_STANDARD};
use clap::{Args, Subcommand};
use foldtrack_journal::recovery::{read, DamagedRange, RecoveredJournal};
use foldtrack_journal::{AttemptEffect, FailureNotice, JournalDir, RecoveredMessage};
use serde_json::{json, Value};
use std::io::ErrorKind;
use std::path::PathBuf;

/// A running forwarder may remove a segment between two looks: then it is looked at anew, so often at most.
const LOOKS: u32 = 20;

#[derive(Args)]
pub(super) struct Journal {
    #[command(subcommand)]
    what: What,
    /// The site file of the forwarder
    #[arg(long, default_value = "site.toml", env = "FOLDTRACK_SITE", global = true)]
    site: PathBuf,
    /// Its state folder, instead of the one that the site file names
    #[arg(long, env = "FOLDTRACK_STATE", global = true)]
    state: Option<PathBuf>,
    /// JSON, for programs
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum What {
    /// Segments, bytes, messages, records
    Stat,
    /// Every message that is not over, the oldest first
    List,
    /// One message with its attempts
    Show {
        /// Its X-Request-Id
        id: String,
    },
    /// Reads every byte, and tells what is damaged and what a restart makes of it
    Verify,
    /// Every message that is not over as a JSON line, with its body
    Export,
}

pub(super) fn journal(words: &Journal) -> Ended {
    let state = match &words.state {
        Some(state) => state.clone(),
        None => load(&words.site)?.state,
    };
    let failed = |e: std::io::Error| Failure(FAILED, format!("{}: {e}", state.display()));
    if !state.is_dir() {
        return Err(Failure(FAILED, format!("{}: no such folder", state.display())));
    }
    let mut looks = 0;
    let found = loop {
        looks += 1;
        match read(&mut JournalDir::read_only(&state)) {
            Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::UnexpectedEof) && looks < LOOKS => {
            }
            other => break other.map_err(failed)?,
        }
    };
    if state.join("journal").is_file() || state.join("journal.v1").is_file() {
        eprintln!("a journal of version 1 stands here too: it is carried over at the next start");
    }
    match &words.what {
        What::Stat => stat(&found, words.json),
        What::List => list(&found, words.json),
        What::Show { id } => show_one(&found, id, words.json),
        What::Verify => verify(&found, words.json),
        What::Export => export(&found),
    }
}

fn stat(found: &RecoveredJournal, as_json: bool) -> Ended {
    let bytes: u64 = found.segments.iter().map(|s| s.length).sum();
    let places = found.messages.values().flat_map(|(_, places)| places);
    let live: u64 = places.map(|p| u64::from(p.length)).sum();
    let bodies: usize = found.messages.values().map(|(m, _)| m.accepted.body.len()).sum();
    let (first, last) = (found.segments.first(), found.segments.last());
    if as_json {
        return say(&format!(
            "{}\n",
            json!({"version": 2, "segments": found.segments.len(), "bytes": bytes, "live_bytes": live,
                "messages": found.messages.len(), "body_bytes": bodies, "records": found.records,
                "highest_number": found.highest_number, "damaged_places": found.damage.len()})
        ));
    }
    let range = first.zip(last).map_or("none".into(), |(f, l)| format!("{} to {}", f.number, l.number));
    say(&format!(
        "format    2\nsegments  {} ({range}), {bytes} bytes\nlive      {live} bytes ({}%)\nmessages  {} not over, {bodies} bytes \
         of bodies\nrecords   {}, the highest message number is {}\ndamage    {} places\n",
        found.segments.len(),
        (live * 100).checked_div(bytes).unwrap_or(0),
        found.messages.len(),
        found.records,
        found.highest_number,
        found.damage.len()
    ))
}

fn state_of(message: &RecoveredMessage) -> &'static str {
    match (message.delivered, message.notice, message.attempts.last()) {
        (true, ..) => "delivered, to be told",
        (_, Some(FailureNotice::GivenUp), _) => "given up, to be told",
        (_, Some(FailureNotice::HandedBack { .. }), _) => "handed back, to be told",
        (.., Some(tried)) if tried.effect.is_none() => "an attempt is out",
        (.., Some(_)) => "tried",
        (.., None) => "not tried yet",
    }
}

fn list(found: &RecoveredJournal, as_json: bool) -> Ended {
    if as_json {
        let lines = found.messages.iter().map(|(number, (m, _))| {
            json!({"number": number, "id": m.accepted.id, "class": m.accepted.class, "key": m.accepted.key,
                "destination": m.accepted.destination, "expires": m.accepted.expires, "attempts": m.attempts.len(),
                "body_bytes": m.accepted.body.len(), "state": state_of(m)})
        });
        return say(&lines.map(|line| format!("{line}\n")).collect::<String>());
    }
    let row = |(number, (m, _)): (&u64, &(RecoveredMessage, Vec<_>))| {
        vec![
            number.to_string(),
            m.accepted.id.clone(),
            m.accepted.class.clone(),
            m.accepted.destination.to_string(),
            m.accepted.key.clone(),
            show::time(m.accepted.expires),
            m.attempts.len().to_string(),
            m.accepted.body.len().to_string(),
            state_of(m).to_string(),
        ]
    };
    let head = ["number", "message", "class", "destination", "key", "at", "attempts", "bytes", "state"];
    let rows: Vec<Vec<String>> = found.messages.iter().map(row).collect();
    say(&show::table(&head, &rows, "every message is over"))
}

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
        "idempotency_key": a.idempotency_key, "taken": message.taken, "expires": a.expires, "state": state_of(message),
        "attempts": attempts, "body": BASE64_STANDARD.encode(&a.body)})
}

fn show_one(found: &RecoveredJournal, id: &str, as_json: bool) -> Ended {
    let mut shown = 0;
    for (number, (message, places)) in found.messages.iter().filter(|(_, (m, _))| m.accepted.id == id) {
        shown += 1;
        let mut value = detail(*number, message);
        value["places"] =
            places.iter().map(|p| json!({"segment": p.segment, "at": p.at, "bytes": p.length})).collect();
        let text = if as_json {
            value.to_string()
        } else {
            serde_json::to_string_pretty(&value).unwrap_or_default()
        };
        say(&format!("{text}\n"))?;
    }
    match shown {
        0 => Err(Failure(
            REFUSED,
            format!("the journal holds no message {id:?}: it is over, or was never taken on"),
        )),
        _ => Ok(()),
    }
}

fn export(found: &RecoveredJournal) -> Ended {
    for (number, (message, _)) in &found.messages {
        say(&format!("{}\n", detail(*number, message)))?;
    }
    Ok(())
}

/// What a restart makes of damage.
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

fn verify(found: &RecoveredJournal, as_json: bool) -> Ended {
    let real = found.damage.iter().filter(|d| !d.is_tail).count();
    for d in &found.damage {
        let name = JournalDir::file_name(d.segment);
        if as_json {
            let line = json!({"segment": d.segment, "at": d.at, "bytes": d.bytes, "tail": d.is_tail, "problem": d.problem,
                "restart": consequence(d)});
            say(&format!("{line}\n"))?;
        } else {
            say(&format!(
                "journal/{name}: byte {}, {} bytes: {}\n  {}\n",
                d.at,
                d.bytes,
                d.problem,
                consequence(d)
            ))?;
        }
    }
    if real > 0 {
        return Err(Failure(FAILED, format!("{real} places are damaged")));
    }
    if !as_json {
        say(&format!("sound: {} records in {} segments\n", found.records, found.segments.len()))?;
    }
    Ok(())
}
