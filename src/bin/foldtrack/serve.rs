//! Starts a forwarder from a site file: opens its state folder and runs its event loop.

use crate::blocks::Blocks;
use crate::client_connections::ClientConnections;
use crate::clock::Clock;
use crate::config::{Config, SiteConfig};
use crate::control;
use crate::descriptors::{DescriptorBudget, DescriptorPlan};
use crate::events;
use crate::membership::SiteMembership;
use crate::peers::PeerSetup;
use crate::{logs, partner_protocol, runtime, serve_until_signal};
use foldtrack_admission::Rate;
use foldtrack_delivery::settings::DeploymentSettings;
use foldtrack_delivery::{Class, Decay, DedupScope, ListedRate, Rules, Settings};
use foldtrack_ends::retention::RetentionLimits;
use foldtrack_ends::OutcomeStore;
use foldtrack_journal::Budget;
use foldtrack_membership::{ListedEndpoint, MembershipLog, SiteFile};
use foldtrack_memory::{Demand, MemoryPlan};
use foldtrack_site::{Durability, Effect, Site, MAX_ENDPOINTS};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::hash::{BuildHasher, RandomState};
use std::io::{Read, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::Path;
use tokio::signal::unix::SignalKind;

/// Bodies of held messages may use one part in this many of the memory limit: each is kept twice,
/// in memory and in the journal.
const HELD_MEMORY_DIVISOR: usize = 4;
/// Only the owner may access the state folder.
const STATE_MODE: u32 = 0o700;

/// Runs a site's forwarder until it is told to stop. With `disk_budget`, the file that simulates a
/// full disk, the journal and the outcome store may use no more bytes than it says.
///
/// # Errors
/// Why the forwarder cannot start, with the file or setting concerned.
pub(crate) fn serve(site: Site, disk_budget: Option<&Path>) -> Result<(), String> {
    fs::DirBuilder::new()
        .recursive(true)
        .mode(STATE_MODE)
        .create(&site.state)
        .map_err(|e| format!("{}: {e}", site.state.display()))?;
    let _lock = lock(&site.state)?;
    let unix = Clock::new().unix_now();
    let mut log = MembershipLog::open(&site.state, MAX_ENDPOINTS).map_err(|e| e.to_string())?;
    for change in log.apply_site_file(unix, &listed_endpoints(&site)).map_err(|e| e.to_string())? {
        eprintln!("membership: {change}");
    }
    let retention =
        RetentionLimits { max_count: site.ends.count, max_bytes: site.ends.size, max_age_us: site.ends.age };
    let budget = disk_budget.map(|limit| Budget::new(&site.state, limit));
    if let Some(budget) = &budget {
        budget.limit().map_err(|e| e.to_string())?;
    }
    let outcomes = OutcomeStore::open(&site.state.join("ends"), retention)
        .map_err(|e| e.to_string())?
        .with_budget(budget.clone());
    let calls = site.limits.calls as usize;
    let plan = DescriptorPlan::site(site.limits.descriptors, calls);
    let limit = plan.limit();
    let held = Some(site.limits.memory as usize / HELD_MEMORY_DIVISOR);
    let demand = Demand { client_connections: plan.client_connections(limit)?, calls, files: 0, held };
    let memory = MemoryPlan::new(site.limits.memory as usize, demand);
    let plan = plan.with_client_limit(memory.client_connections);
    let max_connections = plan.client_connections(limit)?;
    let descriptor_budget = DescriptorBudget::new(plan, limit, max_connections);
    let client_connections =
        ClientConnections::new(admission(&site, max_connections), Clock::new(), descriptor_budget.clone());
    let blocks = Blocks::open(&site.state, client_connections.clone(), site.listen.port())?;
    let peers = match &site.peers {
        Some(config) => Some(PeerSetup::open(config, &site.state, blocks.clone())?),
        None => None,
    };
    let socket = control::bind(&site.control_socket())?;
    let (partner_protocols, file_watcher) = partner_protocol::load(&site)?;
    logs::start();
    let (events, receiver) = events::channel();
    let config = Config {
        listen: site.listen,
        state: site.state.clone(),
        seed: seed(unix),
        descriptor_plan: plan,
        client_connections: client_connections.clone(),
        descriptors: descriptor_budget.clone(),
        memory,
        disk_bytes: site.journal_capacity(),
        disk_budget: budget,
        settings: settings(&site),
        partner_protocols,
        membership: Box::new(SiteMembership::new(log, site.clone())),
        discovery: None,
        durable: site.durability == Durability::Machine,
        site: Some(SiteConfig { site, ends: outcomes, peers }),
    };
    let stop_signals = [SignalKind::terminate(), SignalKind::interrupt()];
    runtime()?.block_on(async {
        file_watcher.start();
        control::start(socket, events.clone(), blocks, descriptor_budget)?;
        serve_until_signal(config, events, receiver, &stop_signals).await
    })
}

/// A random seed that differs between processes and that no client can guess. A journal that is
/// created with it uses it as its identity.
fn seed(unix: u64) -> u64 {
    RandomState::new().hash_one((unix, std::process::id()))
}

/// Locks a state folder. The lock is held as long as the file is open, so it ends with the process
/// in any case.
///
/// # Errors
/// Another process holds the lock (the text names its process id), or the lock file cannot be used.
fn lock(state: &Path) -> Result<File, String> {
    let path = state.join("lock");
    let error_text = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let mut options = OpenOptions::new();
    options.read(true).write(true).create(true).truncate(false).mode(0o600);
    let mut file = options.open(&path).map_err(|e| error_text(&e))?;
    match file.try_lock() {
        Ok(()) => {}
        Err(TryLockError::WouldBlock) => {
            let mut pid = String::new();
            let _ = file.take(32).read_to_string(&mut pid);
            let (pid, state) = (pid.trim(), state.display());
            return Err(format!(
                "{state}: the state folder is already in use by another forwarder, process {pid}"
            ));
        }
        Err(TryLockError::Error(e)) => return Err(error_text(&e)),
    }
    file.set_len(0).and_then(|()| writeln!(file, "{}", std::process::id())).map_err(|e| error_text(&e))?;
    Ok(file)
}

/// The partners and endpoints that the site file lists.
fn listed_endpoints(site: &Site) -> SiteFile {
    let mut list = SiteFile::default();
    for partner in &site.partners {
        list.partners.insert(partner.name.clone(), partner.number());
        for endpoint in &partner.endpoints {
            let listed = ListedEndpoint { partner: partner.name.clone(), address: endpoint.address };
            list.endpoints.insert(endpoint.name.clone(), listed);
        }
    }
    list
}

/// Translates the `[admission]` section into the settings of the admission gate.
fn admission(site: &Site, max_connections: usize) -> foldtrack_admission::Settings {
    let config = &site.admission;
    let defaults = foldtrack_admission::Settings::for_connections(max_connections);
    let count = |configured: Option<u32>, default: usize| configured.map_or(default, |n| n as usize);
    foldtrack_admission::Settings {
        reserve: (config.reserve * defaults.max_connections as f64) as usize,
        per_address: count(config.per_address, defaults.per_address),
        per_known: count(config.per_known, defaults.per_known),
        per_prefix: count(config.per_prefix, defaults.per_prefix),
        v4_prefix: config.v4_prefix,
        v6_prefix: config.v6_prefix,
        new_connections: Rate { per_second: config.new_per_second, burst: config.burst },
        unknown_connections: Rate { per_second: config.strangers_per_second, ..defaults.unknown_connections },
        max_requests_per_address: count(config.requests, defaults.max_requests_per_address),
        known: config.known.clone(),
        ..defaults
    }
}

/// Translates the site file into the settings of the scheduler.
fn settings(site: &Site) -> DeploymentSettings {
    let class = |c: &foldtrack_site::Class| Class {
        aim: c.aim,
        deadline: c.deadline,
        worth: c.worth,
        late_value: c.late_worth,
        effect: match c.effect {
            Effect::Repeatable => foldtrack_delivery::Effect::Repeatable,
            Effect::Keyed => foldtrack_delivery::Effect::Keyed,
            Effect::Once => foldtrack_delivery::Effect::Once,
        },
        dedup_scope: DedupScope::All,
        dedup_window: c.remembered,
        max_wait: c.refuse_after,
        in_order: c.ordered,
        streaming: false,
    };
    let settings = Settings {
        senders: 1,
        slots: site.limits.calls,
        max_held: site.limits.messages,
        max_attempts: site.limits.attempts,
        may_cancel: true,
        may_advise_wait: true,
        max_advised_wait: site.limits.longest_wait,
        classes: site.classes.iter().map(class).collect(),
        decay: Decay::Linear,
        // The same values as in the first deployment; see docs/operators/site.md. Durations are in
        // microseconds.
        rules: Rules {
            drain_grace: 2_000_000,
            cold_capacity_share: 0.16,
            slow_start_time: 14_000_000,
            overload_factor: 2.5,
            overload_duration: 2_000_000,
            uncertain_key_pause: 100_000,
            list_poll_interval: 0,
        },
        max_batch: vec![1; site.kinds.len()],
        independent_routes: site.kinds.iter().map(|k| k.routes_apart).collect(),
        zone_cost: vec![0.0],
        listed_rate: ListedRate::Exact,
        idle_timeout: site.calls.connection_idle,
        connect_timeout: site.calls.connect_timeout,
        streams_per_connection: 1,
        tick: 5_000,
        ..Settings::default()
    };
    DeploymentSettings {
        settings,
        class_names: site.classes.iter().map(|c| c.name.clone()).collect(),
        kind_names: site.kinds.iter().map(|k| k.name.clone()).collect(),
        zone_names: vec![String::new()],
        share_left_at: None,
        rate_at: None,
    }
}
