//! What the forwarder is told at its start: the environment and the configuration file.

use crate::list::ServerList;
use hatchline::settings::Parsed;
use serde::Deserialize;
use std::env;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Debug)]
pub(crate) struct Config {
    pub path: PathBuf,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub state: PathBuf,
    pub seed: u64,
    pub sockets: usize,
    pub memory_bytes: usize,
    pub disk_bytes: u64,
    pub known: ServerList,
    pub settings: Parsed,
}

#[derive(Deserialize)]
struct ConfigFile {
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: ServerList,
    settings: Parsed,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    #[serde(default = "least_memory")]
    memory_mb: f64,
    disk_mb: f64,
}

/// Where no limit is told, the least that a deployment has.
fn least_memory() -> f64 {
    32.0
}

fn variable(name: &str) -> Result<String, String> {
    env::var(name).map_err(|e| format!("{name}: {e}"))
}

fn read(path: &Path) -> Result<ConfigFile, String> {
    let told = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let text = std::fs::read(path).map_err(|e| told(&e))?;
    serde_json::from_slice(&text).map_err(|e| told(&e))
}

/// Where discovery is by the file as it stands now. The rest of a new file counts from the next start on.
pub(crate) fn discovery(path: &Path) -> Result<SocketAddr, String> {
    Ok(read(path)?.discovery)
}

/// An address from the environment, where it is set, else the one from the file.
fn address(name: &str, from_file: SocketAddr) -> Result<SocketAddr, String> {
    match env::var(name) {
        Ok(text) => text.parse().map_err(|e| format!("{name}: {text}: {e}")),
        Err(_) => Ok(from_file),
    }
}

impl Config {
    pub fn load() -> Result<Config, String> {
        let path = variable("BALANCER_CONFIG")?;
        let file = read(Path::new(&path))?;
        let disk_bytes = file.limits.disk_mb * 1e6;
        if !(disk_bytes.is_finite() && disk_bytes > 0.0) {
            return Err(format!("{path}: limits.disk_mb is no room"));
        }
        if file.settings.settings.classes.is_empty() || file.settings.settings.slots == 0 {
            return Err(format!("{path}: settings without classes or without slots"));
        }
        Ok(Config {
            listen: address("BALANCER_LISTEN", file.listen)?,
            discovery: address("BALANCER_DISCOVERY", file.discovery)?,
            state: PathBuf::from(variable("BALANCER_STATE")?),
            seed: u64::from_str_radix(&file.seed, 16)
                .map_err(|e| format!("{path}: seed {:?}: {e}", file.seed))?,
            sockets: file.limits.sockets,
            memory_bytes: (file.limits.memory_mb * 1e6) as usize,
            disk_bytes: disk_bytes as u64,
            known: file.known,
            settings: file.settings,
            path: PathBuf::from(path),
        })
    }
}
