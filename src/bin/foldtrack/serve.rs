//! A site of its own: from the site file to a running loop.

use crate::blocks::Blocks;
use crate::clock::Clock;
use crate::config::{Config, SiteParts};
use crate::control;
use crate::descriptors::{allowed, Descriptors, OTHER_SOCKETS};
use crate::door;
use crate::membership::SiteMembership;
use crate::peers::Setup;
use crate::places::Places;
use crate::{logs, runtime, serve_until_told, speech};
use foldtrack_admission::descriptors::{self, Kept};
use foldtrack_admission::Rate;
use foldtrack_delivery::settings::DeploymentSettings;
use foldtrack_delivery::{Class, Decay, DedupScope, ListedRate, Rules, Settings};
use foldtrack_ends::shelf::Bounds;
use foldtrack_ends::Store;
use foldtrack_journal::Budget;
use foldtrack_membership::{Listed, Log, SiteList};
use foldtrack_site::{Durability, Effect, Site, MOST_ENDPOINTS};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::hash::{BuildHasher, RandomState};
use std::io::{Read, Write};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::Path;
use tokio::signal::unix::SignalKind;

/// What is in the state folder is its owner's alone.
const STATE_MODE: u32 = 0o700;

/// Serves a site until it is told to end.
///
/// # Errors
/// What stands in the way, with the file or field that it is about.
pub(crate) fn serve(site: Site, disk_budget: Option<&Path>) -> Result<(), String> {
    fs::DirBuilder::new()
        .recursive(true)
        .mode(STATE_MODE)
        .create(&site.state)
        .map_err(|e| format!("{}: {e}", site.state.display()))?;
    let _lock = lock(&site.state)?;
    let unix = Clock::new().unix_now();
    let mut log = Log::open(&site.state, MOST_ENDPOINTS).map_err(|e| e.to_string())?;
    for told in log.site_says(unix, &site_list(&site)).map_err(|e| e.to_string())? {
        eprintln!("membership: {told}");
    }
    let bounds = Bounds { count: site.ends.count, size: site.ends.size, age: site.ends.age };
    let budget = disk_budget.map(|limit| Budget::new(&site.state, limit));
    if let Some(budget) = &budget {
        budget.limit().map_err(|e| e.to_string())?;
    }
    let ends =
        Store::open(&site.state.join("ends"), bounds).map_err(|e| e.to_string())?.within(budget.clone());
    let kept = Kept { calls: site.limits.calls as usize, house: OTHER_SOCKETS };
    let configured = site.limits.descriptors;
    let most = move || {
        let limit = configured.min(allowed());
        (limit, descriptors::places(limit, kept))
    };
    let (limit, places) = most();
    let places = places?;
    let ledger = Descriptors::new(limit, places, kept.calls);
    let places = Places::new(admission(&site, places), Clock::new(), ledger.clone());
    let blocks = Blocks::open(&site.state, places.clone(), site.listen.port())?;
    let peers = match &site.peers {
        Some(said) => Some(Setup::open(said, &site.state, blocks.clone())?),
        None => None,
    };
    let socket = control::bind(&site.control_socket())?;
    let (speeches, keeper) = speech::of_site(&site)?;
    let _logs = (!keeper.is_idle()).then(logs::start);
    let (inputs, receiver) = door::channel();
    let config = Config {
        listen: site.listen,
        state: site.state.clone(),
        seed: seed(unix),
        sockets: site.limits.descriptors,
        places: places.clone(),
        descriptors: ledger.clone(),
        memory_bytes: site.limits.memory as usize,
        disk_bytes: site.journal_room(),
        disk_budget: budget,
        settings: settings(&site),
        speeches,
        membership: Box::new(SiteMembership::new(log, site.clone())),
        discovery: None,
        durable: site.durability == Durability::Machine,
        site: Some(SiteParts { site, ends, peers }),
    };
    let ends = [SignalKind::terminate(), SignalKind::interrupt()];
    runtime()?.block_on(async {
        keeper.start();
        control::start(socket, inputs.clone(), blocks, ledger, most)?;
        serve_until_told(config, inputs, receiver, &ends).await
    })
}

/// A number that sets this process apart from others, and that no client can guess: a journal that begins with it
/// takes it for its identity.
fn seed(unix: u64) -> u64 {
    RandomState::new().hash_one((unix, std::process::id()))
}

/// The lock on a state folder, held as long as the file is open: it goes with the process, however that ends.
fn lock(state: &Path) -> Result<File, String> {
    let path = state.join("lock");
    let told = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let mut options = OpenOptions::new();
    options.read(true).write(true).create(true).truncate(false).mode(0o600);
    let mut file = options.open(&path).map_err(|e| told(&e))?;
    match file.try_lock() {
        Ok(()) => {}
        Err(TryLockError::WouldBlock) => {
            let mut pid = String::new();
            let _ = file.take(32).read_to_string(&mut pid);
            let (pid, state) = (pid.trim(), state.display());
            return Err(format!("{state}: a forwarder runs on this state folder already, process {pid}"));
        }
        Err(TryLockError::Error(e)) => return Err(told(&e)),
    }
    file.set_len(0).and_then(|()| writeln!(file, "{}", std::process::id())).map_err(|e| told(&e))?;
    Ok(file)
}

fn site_list(site: &Site) -> SiteList {
    let mut list = SiteList::default();
    for partner in &site.partners {
        list.partners.insert(partner.name.clone(), partner.number());
        for endpoint in &partner.endpoints {
            let listed = Listed { partner: partner.name.clone(), address: endpoint.address };
            list.endpoints.insert(endpoint.name.clone(), listed);
        }
    }
    list
}

/// Who is let in, in the words of the gate.
fn admission(site: &Site, places: usize) -> foldtrack_admission::Settings {
    let said = &site.admission;
    let usual = foldtrack_admission::Settings::for_places(places);
    let count = |said: Option<u32>, usual: usize| said.map_or(usual, |n| n as usize);
    foldtrack_admission::Settings {
        reserve: (said.reserve * usual.places as f64) as usize,
        per_address: count(said.per_address, usual.per_address),
        per_known: count(said.per_known, usual.per_known),
        per_prefix: count(said.per_prefix, usual.per_prefix),
        v4_prefix: said.v4_prefix,
        v6_prefix: said.v6_prefix,
        new: Rate { per_second: said.new_per_second, burst: said.burst },
        strangers: Rate { per_second: said.strangers_per_second, ..usual.strangers },
        requests: count(said.requests, usual.requests),
        known: said.known.clone(),
        ..usual
    }
}

/// The site in the words of the decision module.
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
        // The figures of the rules as the first users have them; see docs/operators/site.md.
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
