//! What the forwarder is told at its start: the environment and the configuration file.

use crate::client_connections::ClientConnections;
use crate::clock::Clock;
use crate::descriptors::{client_share, DescriptorBudget};
use crate::discovery_schedule::Source;
use crate::list::ServerList;
use crate::membership::Membership;
use crate::partner_protocol::PartnerProtocols;
use crate::peers::PeerSetup;
use crate::platform::Agent;
use foldtrack_admission::Settings as Admission;
use foldtrack_delivery::settings::DeploymentSettings;
use foldtrack_ends::OutcomeStore;
use foldtrack_journal::Budget;
use foldtrack_site::Site;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use serde::Deserialize;
use std::env;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::sync::watch;

pub(crate) struct Config {
    pub listen: SocketAddr,
    pub state: PathBuf,
    pub seed: u64,
    pub sockets: usize,
    /// Of the listener, for clients.
    pub client_connections: Arc<ClientConnections>,
    pub descriptors: Arc<DescriptorBudget>,
    pub memory_bytes: usize,
    pub disk_bytes: u64,
    /// The disk counts as no larger: a rehearsal.
    pub disk_budget: Option<Budget>,
    pub settings: DeploymentSettings,
    /// How destinations are spoken to.
    pub partner_protocols: PartnerProtocols,
    pub membership: Box<dyn Membership>,
    /// The platform's taker of notices; none at a site of its own.
    pub discovery: Option<watch::Sender<SocketAddr>>,
    /// An answer is given once its record is on stable storage.
    pub durable: bool,
    /// What only a site of its own has.
    pub site: Option<SiteConfig>,
}

/// What the loop of a site of its own has beside a platform's.
pub(crate) struct SiteConfig {
    pub site: Site,
    pub ends: OutcomeStore,
    /// The other forwarders, if it has any.
    pub peers: Option<PeerSetup>,
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
    settings: DeploymentSettings,
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

/// Under the platform every client comes through its front, whatever address that has: it is known, and takes turns with
/// itself.
fn behind_the_platform(places: usize) -> Admission {
    let all = [IpNet::V4(Ipv4Net::default()), IpNet::V6(Ipv6Net::default())];
    Admission::behind_proxy(places, all.to_vec())
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
    /// What the platform tells, and the path of its file.
    pub fn of_platform() -> Result<(Config, PathBuf), String> {
        let path = variable("BALANCER_CONFIG")?;
        let file = read(Path::new(&path))?;
        let disk_bytes = file.limits.disk_mb * 1e6;
        if !(disk_bytes.is_finite() && disk_bytes > 0.0) {
            return Err(format!("{path}: limits.disk_mb is no room"));
        }
        if file.settings.settings.classes.is_empty() || file.settings.settings.slots == 0 {
            return Err(format!("{path}: settings without classes or without slots"));
        }
        let (sockets, slots) = (file.limits.sockets, file.settings.settings.slots as usize);
        let places = client_share(sockets).max(1);
        let descriptors = DescriptorBudget::new(sockets, places, slots);
        let seed =
            u64::from_str_radix(&file.seed, 16).map_err(|e| format!("{path}: seed {:?}: {e}", file.seed))?;
        let senders = file.settings.settings.senders;
        if senders == 0 {
            eprintln!("{path}: settings.balancers is missing or 0: this forwarder counts as the only one");
        }
        let source = match file.settings.settings.subscribe {
            true => Source::Shared,
            false => Source::LocalAgent,
        };
        let grace = file.settings.settings.rules.drain_grace;
        let discovery = watch::Sender::new(address("BALANCER_DISCOVERY", file.discovery)?);
        let config = Config {
            listen: address("BALANCER_LISTEN", file.listen)?,
            state: PathBuf::from(variable("BALANCER_STATE")?),
            seed,
            sockets,
            client_connections: ClientConnections::new(
                behind_the_platform(places),
                Clock::new(),
                descriptors.clone(),
            ),
            descriptors,
            memory_bytes: (file.limits.memory_mb * 1e6) as usize,
            disk_bytes: disk_bytes as u64,
            disk_budget: None,
            settings: file.settings,
            partner_protocols: PartnerProtocols::platform(),
            membership: Box::new(Agent {
                discovery: discovery.clone(),
                known: file.known,
                senders,
                source,
                grace,
                seed,
            }),
            discovery: Some(discovery),
            durable: false,
            site: None,
        };
        Ok((config, PathBuf::from(path)))
    }
}
