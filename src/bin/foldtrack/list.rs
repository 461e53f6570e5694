//! The list of targets, in discovery's form.

use foldtrack_delivery::Micros;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::net::SocketAddr;

#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct ServerList {
    pub version: u64,
    #[serde(default)]
    pub full: bool,
    #[serde(default, deserialize_with = "readable")]
    pub servers: Vec<ServerLine>,
}

/// Guards the rest of a list, drains among it, against a line that cannot be read.
fn readable<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<ServerLine>, D::Error> {
    let lines = Vec::<Value>::deserialize(deserializer)?;
    let read = |line: Value| {
        let text = line.to_string();
        serde_json::from_value(line).inspect_err(|e| eprintln!("discovery: {text} is passed over: {e}")).ok()
    };
    Ok(lines.into_iter().filter_map(read).collect())
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ServerLine {
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
    /// Calls out to its destination at most. Discovery tells none; a site file may.
    #[serde(skip)]
    pub slots: Option<u32>,
    /// Another forwarder was told to wait there until then. Discovery tells none.
    #[serde(skip)]
    pub hold_until: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum ServerState {
    Active,
    Leaving,
    Left,
}
