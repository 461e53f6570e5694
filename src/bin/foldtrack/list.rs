//! The list of targets in discovery's JSON format.

use foldtrack_delivery::Micros;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::net::SocketAddr;

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
/// drains included.
fn skip_unreadable<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<ServerEntry>, D::Error> {
    let lines = Vec::<Value>::deserialize(deserializer)?;
    let read = |line: Value| {
        let text = line.to_string();
        serde_json::from_value(line).inspect_err(|e| eprintln!("discovery: entry skipped: {text}: {e}")).ok()
    };
    Ok(lines.into_iter().filter_map(read).collect())
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
