//! Configuration at startup: environment variables and the configuration file.

use crate::client_connections::ClientConnections;
use crate::clock::Clock;
use crate::descriptors::{DescriptorBudget, DescriptorPlan};
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
use foldtrack_memory::{Demand, MemoryPlan};
use foldtrack_site::Site;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use serde::Deserialize;
use std::env;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::sync::watch;

/// What the event loop is started with.
pub(crate) struct Config {
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Path of the state folder.
    pub state: PathBuf,
    /// Seed of the scheduler's random numbers and identity of a new journal.
    pub seed: u64,
    /// How file descriptors are divided.
    pub descriptor_plan: DescriptorPlan,
    /// Connection slots of the listener.
    pub client_connections: Arc<ClientConnections>,
    pub descriptors: Arc<DescriptorBudget>,
    /// How memory is divided.
    pub memory: MemoryPlan,
    /// Size limit of the journal in bytes.
    pub disk_bytes: u64,
    /// Simulated limit on the disk space in use.
    pub disk_budget: Option<Budget>,
    pub settings: DeploymentSettings,
    /// The wire protocol settings of each destination.
    pub partner_protocols: PartnerProtocols,
    pub membership: Box<dyn Membership>,
    /// Address of discovery, which receives notices; none for a site file.
    pub discovery: Option<watch::Sender<SocketAddr>>,
    /// Whether a reply waits until its record is on stable storage.
    pub durable: bool,
    /// Only for a deployment with a site file.
    pub site: Option<SiteConfig>,
}

/// What a deployment with a site file has in addition to one under a platform.
pub(crate) struct SiteConfig {
    pub site: Site,
    pub ends: OutcomeStore,
    /// The peers of the site, if it has any.
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
    #[serde(default = "default_memory_mb")]
    memory_mb: f64,
    disk_mb: f64,
}

/// The smallest memory limit of a deployment in megabytes, used when none is configured.
fn default_memory_mb() -> f64 {
    32.0
}

/// Under the platform every client connects through its proxy, whose address may be any: every
/// address counts as known, and the proxy's connections take turns with each other.
fn platform_admission(max_connections: usize) -> Admission {
    let all = [IpNet::V4(Ipv4Net::default()), IpNet::V6(Ipv6Net::default())];
    Admission::behind_proxy(max_connections, all.to_vec())
}

fn env_var(name: &str) -> Result<String, String> {
    env::var(name).map_err(|e| format!("{name}: {e}"))
}

fn read_file(path: &Path) -> Result<ConfigFile, String> {
    let describe = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let text = std::fs::read(path).map_err(|e| describe(&e))?;
    serde_json::from_slice(&text).map_err(|e| describe(&e))
}

/// Reads discovery's address from the configuration file as it is now. Other changes to the file
/// take effect at the next start.
pub(crate) fn read_discovery_address(path: &Path) -> Result<SocketAddr, String> {
    Ok(read_file(path)?.discovery)
}

/// The address in an environment variable if it is set, otherwise the one from the file.
fn address_from_env(name: &str, from_file: SocketAddr) -> Result<SocketAddr, String> {
    match env::var(name) {
        Ok(text) => text.parse().map_err(|e| format!("{name}: {text}: {e}")),
        Err(_) => Ok(from_file),
    }
}

impl Config {
    /// Reads the configuration of a platform deployment; returns it with the path of its file.
    pub fn from_platform_env() -> Result<(Config, PathBuf), String> {
        let path = env_var("BALANCER_CONFIG")?;
        let file = read_file(Path::new(&path))?;
        let disk_bytes = file.limits.disk_mb * 1e6;
        if !(disk_bytes.is_finite() && disk_bytes > 0.0) {
            return Err(format!("{path}: limits.disk_mb must be a positive number"));
        }
        if file.settings.settings.classes.is_empty() || file.settings.settings.slots == 0 {
            return Err(format!("{path}: settings need at least one class and one slot"));
        }
        let calls = file.settings.settings.slots as usize;
        let plan = DescriptorPlan::platform(file.limits.sockets, calls);
        let limit = plan.limit();
        let demand = Demand {
            client_connections: plan.client_connections(limit)?,
            calls,
            files: disk_bytes as usize,
            held: None,
        };
        let memory = MemoryPlan::new((file.limits.memory_mb * 1e6) as usize, demand);
        let plan = plan.with_client_limit(memory.client_connections);
        let max_connections = plan.client_connections(limit)?;
        let descriptors = DescriptorBudget::new(plan, limit, max_connections);
        let seed =
            u64::from_str_radix(&file.seed, 16).map_err(|e| format!("{path}: seed {:?}: {e}", file.seed))?;
        let forwarder_count = file.settings.settings.senders;
        if forwarder_count == 0 {
            eprintln!("{path}: settings.balancers is missing or 0: assuming a single forwarder");
        }
        let source = match file.settings.settings.subscribe {
            true => Source::Shared,
            false => Source::LocalAgent,
        };
        let drain_grace = file.settings.settings.rules.drain_grace;
        let discovery = watch::Sender::new(address_from_env("BALANCER_DISCOVERY", file.discovery)?);
        let config = Config {
            listen: address_from_env("BALANCER_LISTEN", file.listen)?,
            state: PathBuf::from(env_var("BALANCER_STATE")?),
            seed,
            descriptor_plan: plan,
            client_connections: ClientConnections::new(
                platform_admission(max_connections),
                Clock::new(),
                descriptors.clone(),
            ),
            descriptors,
            memory,
            disk_bytes: disk_bytes as u64,
            disk_budget: None,
            settings: file.settings,
            partner_protocols: PartnerProtocols::platform(),
            membership: Box::new(Agent {
                discovery: discovery.clone(),
                cached_list: file.known,
                forwarder_count,
                source,
                drain_grace,
                seed,
                max_list_bytes: memory.list,
            }),
            discovery: Some(discovery),
            durable: false,
            site: None,
        };
        Ok((config, PathBuf::from(path)))
    }
}
