//! The list of targets in discovery's JSON format.

use foldtrack_delivery::Micros;
use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::fmt;
use std::net::SocketAddr;

/// How much of an entry that is skipped is logged, in characters.
const MAX_SHOWN_CHARS: usize = 200;
/// Maximum length of a target's id. Ids are kept for as long as their targets.
const MAX_ID_BYTES: usize = 256;

/// A full list, or the changes since a version.
#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct ServerList {
    pub version: u64,
    #[serde(default)]
    pub full: bool,
    #[serde(default, deserialize_with = "skip_unreadable")]
    pub servers: Vec<ServerEntry>,
}

/// Skips entries that cannot be parsed, so that one of them does not hide the rest of the list,
/// drains included. Entries are read one at a time: a list of small values would take many times its length otherwise.
fn skip_unreadable<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<ServerEntry>, D::Error> {
    deserializer.deserialize_seq(ReadableEntries)
}

/// A start time. One that cannot be parsed does not hide its entry.
fn start_time<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = <&RawValue>::deserialize(deserializer)?.get();
    Ok(text.parse().or_else(|_| text.parse::<f64>().map(|ms| ms as u64)).unwrap_or(0))
}

/// Reads one entry.
///
/// # Errors
/// Why the entry is skipped.
fn read_entry(text: &str) -> Result<ServerEntry, String> {
    let entry: ServerEntry = serde_json::from_str(text).map_err(|error| error.to_string())?;
    match entry.id.len() {
        0..=MAX_ID_BYTES => Ok(entry),
        length => Err(format!("an id of {length} bytes, {MAX_ID_BYTES} are the most")),
    }
}

/// Collects the entries that can be parsed.
struct ReadableEntries;

impl<'de> Visitor<'de> for ReadableEntries {
    type Value = Vec<ServerEntry>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a list of targets")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Vec<ServerEntry>, A::Error> {
        let mut readable = Vec::new();
        while let Some(text) = entries.next_element::<Box<RawValue>>()? {
            match read_entry(text.get()) {
                Ok(entry) => readable.push(entry),
                Err(error) => {
                    let shown: String = text.get().chars().take(MAX_SHOWN_CHARS).collect();
                    eprintln!("discovery: entry skipped: {shown}: {error}");
                }
            }
        }
        Ok(readable)
    }
}

/// One target of the list.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ServerEntry {
    pub id: String,
    pub addr: SocketAddr,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub kind: String,
    pub cell: u32,
    pub state: ServerState,
    #[serde(default)]
    pub weight: f64,
    /// When the target last started, Unix time in milliseconds; 0 for long ago, or if it cannot be parsed.
    #[serde(default, deserialize_with = "start_time")]
    pub started_ms: u64,
    /// Maximum number of concurrent calls to the destination. Set from a site file; discovery does
    /// not send it.
    #[serde(skip)]
    pub slots: Option<u32>,
    /// Nothing is sent before this time, because another forwarder was told to wait. Discovery does
    /// not send it.
    #[serde(skip)]
    pub hold_until: Micros,
}

/// State of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum ServerState {
    Active,
    Leaving,
    Left,
}
