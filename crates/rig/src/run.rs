//! Runs a scenario on a fleet of real processes under load, and checks the rules from the records of partners, clients and
//! relays.

use crate::clients::{self, AcceptedMessage, ClientRecords, Load};
use crate::faults::Faults;
use crate::fleet::{get, Fleet, FleetConfig, PartnerEntry, StateFolder};
use crate::net::{Call, LinkName, LinkTraffic, Wait};
use crate::report::{Drain, Report, Violations};
use crate::scenario::{Action, Scenario, Step};
use crate::sched_delay::{SchedDelayMonitor, SchedDelays};
use foldtrack_control::ControlCommand;
use foldtrack_standin::call_records::{check_rules, CallOutcome, CallRecords, RuleCheck, WAIT_GRACE};
use foldtrack_standin::{Partner, PartnerBehavior};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// How long after the load the accepted messages may take to finish.
const FINISH_TIMEOUT: Duration = Duration::from_secs(14);
/// How long after the end of all faults the forwarders may take to reach the same state.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(12);
/// Interval at which the forwarders are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Classes and limits in the site files. Deadlines are short to keep runs short.
const SITE_LINES: &str = "durability = \"process\"\n[limits]\nmessages = 4000\ndisk = \"256MiB\"\n\
    [admission]\nknown = [\"127.0.0.0/8\"]\n\
    [class.update]\neffect = \"keyed\"\nremembered = \"20s\"\nordered = true\naim = \"1s\"\ndeadline = \"8s\"\n\
    [class.payment]\neffect = \"once\"\naim = \"1s\"\ndeadline = \"8s\"\nworth = 3\n\
    [class.notice]\neffect = \"repeatable\"\naim = \"1s\"\ndeadline = \"8s\"\n";

/// What to run.
#[derive(Clone, Debug)]
pub struct RunConfig {
    /// Name of the scenario, for the report.
    pub name: String,
    /// The scenario.
    pub scenario: Scenario,
    /// Number of forwarders.
    pub forwarders: usize,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether the forwarders are peers of each other. Otherwise they are separate installations, for comparison.
    pub peers: bool,
    /// Additional lines of `[peers]`.
    pub peers_lines: String,
}

impl RunConfig {
    /// A run of a scenario with peers and without further settings.
    pub fn new(name: &str, scenario: Scenario, forwarders: usize, seed: u64) -> RunConfig {
        RunConfig { name: name.into(), scenario, forwarders, seed, peers: true, peers_lines: String::new() }
    }
}

/// Progress of a run, for a progress bar.
#[derive(Debug, Default)]
pub struct Progress {
    /// Description of the present activity.
    pub activity: Mutex<String>,
    /// Completed share in thousandths.
    pub per_mille: AtomicU64,
}

impl Progress {
    fn set(&self, activity: &str, share: f64) {
        *self.activity.lock().unwrap_or_else(PoisonError::into_inner) = activity.to_string();
        self.per_mille.store((share * 1000.0) as u64, Ordering::Relaxed);
    }
}

/// Starts the partners of a rig. Each has a name, a weight of its messages, a server, a number of endpoints, and additional lines
/// of the site file.
fn partners(seed: u64) -> Vec<(&'static str, u32, Partner, usize, &'static str)> {
    let ms = Duration::from_millis;
    let remembers = Duration::from_secs(30);
    let steady = PartnerBehavior { answers: (ms(2), ms(15)), remembers, ..PartnerBehavior::default() };
    let limited = PartnerBehavior {
        answers: (ms(2), ms(10)),
        rate: Some(40.0),
        wait: ms(400),
        remembers,
        ..PartnerBehavior::default()
    };
    let shaky = PartnerBehavior {
        answers: (ms(5), ms(40)),
        errors: 0.01,
        resets: 0.01,
        capacity: 200.0,
        remembers,
        ..PartnerBehavior::default()
    };
    vec![
        ("steady", 60, Partner::start(seed, steady), 2, ""),
        ("limited", 15, Partner::start(seed + 1, limited), 2, ""),
        ("shaky", 25, Partner::start(seed + 2, shaky), 1, ""),
    ]
}

/// The names of a partner's endpoints.
fn endpoints_of(partner: &str, count: usize) -> impl Iterator<Item = String> + '_ {
    (1..=count).map(move |n| format!("{partner}-{n}"))
}

/// Runs a scenario and checks the rules.
///
/// # Errors
/// The run itself failed; this says nothing about the forwarders.
pub fn run_scenario(program: &Path, config: &RunConfig, progress: &Progress) -> Result<Report, String> {
    let RunConfig { scenario, forwarders, seed, .. } = config;
    if *forwarders < scenario.forwarders {
        return Err(format!("the scenario needs {} forwarders", scenario.forwarders));
    }
    progress.set("starting", 0.0);
    let partners = partners(*seed);
    let entries = partners.iter().map(|(name, _, partner, endpoints, lines)| PartnerEntry {
        name: name.to_string(),
        endpoints: endpoints_of(name, *endpoints).map(|endpoint| (endpoint, partner.address())).collect(),
        lines: lines.to_string(),
    });
    let fleet_config = FleetConfig {
        forwarders: *forwarders,
        partners: entries.collect(),
        top: SITE_LINES.into(),
        peers: config.peers,
        peers_lines: config.peers_lines.clone(),
        clocks: scenario.clocks.clone(),
    };
    let mut fleet = Fleet::prepare(program, &fleet_config, *seed)?;
    fleet.start_all()?;
    // The initial faults of the links begin once all forwarders have connected to each other.
    let links: Vec<LinkName> = peer_links(&fleet);
    links.iter().for_each(|name| fleet.net.update_faults(name, |f| *f = scenario.links.clone()));

    let addresses: Vec<SocketAddr> = fleet.forwarders.iter().map(|f| f.listen).collect();
    let weights: Vec<(String, u32)> =
        partners.iter().map(|(name, weight, ..)| (name.to_string(), *weight)).collect();
    let stop = AtomicBool::new(false);
    let load = Load {
        forwarders: &addresses,
        rate: scenario.rate,
        duration: scenario.lasts,
        seed: *seed,
        failover: scenario.elsewhere,
        lost_answers: scenario.lost_answers,
        partners: &weights,
        stop: &stop,
    };
    let started = Instant::now();
    let monitor = SchedDelayMonitor::start();
    let mut closed = ClosedSeen::default();
    let mut runner = ScenarioRunner {
        fleet: &mut fleet,
        links,
        scenario,
        partners: &partners,
        drains: Vec::new(),
        started,
    };
    let (client_records, steps) = scope(|scope| {
        let clients = scope.spawn(|| clients::run_clients(&load));
        let steps = runner.run_steps(&mut closed, progress);
        if steps.is_err() {
            stop.store(true, Ordering::Relaxed);
        }
        (clients.join().unwrap_or_default(), steps)
    });
    steps?;
    let drains = std::mem::take(&mut runner.drains);

    // End all faults and bring every forwarder back.
    progress.set("waiting for convergence", 0.7);
    let healed_at = Instant::now();
    let links = peer_links(&fleet);
    links.iter().for_each(|name| fleet.net.update_faults(name, |f| *f = Faults::default()));
    for index in 0..fleet.forwarders.len() {
        if fleet.forwarders[index].is_stopped() {
            fleet.forwarders[index].resume();
        }
        fleet.forwarders[index].wait_for_exit();
        if !fleet.forwarders[index].is_running() {
            fleet.start(index, StateFolder::Existing)?;
        }
    }
    // Without peers there is no convergence to wait for.
    let within = if config.peers { CONVERGENCE_TIMEOUT } else { Duration::ZERO };
    let convergence = converge(&fleet, &mut closed, &drains, healed_at, within);
    progress.set("waiting for messages to finish", 0.85);
    wait_until_finished(&fleet);
    progress.set("checking the rules", 0.98);
    let checked = check_run(&fleet, &partners, &client_records, &drains, &closed, &monitor.finish())?;
    progress.set("finished", 1.0);
    let mut report = checked;
    report.scenario = config.name.clone();
    report.seed = *seed;
    report.forwarders = *forwarders;
    report.least = scenario.least;
    (report.breaches.diverged, report.converged_ms) =
        (convergence.0, convergence.1.unwrap_or(CONVERGENCE_TIMEOUT.as_millis() as u64));
    Ok(report)
}

/// The links between forwarders.
fn peer_links(fleet: &Fleet) -> Vec<LinkName> {
    let names: BTreeSet<&String> = fleet.forwarders.iter().map(|f| &f.name).collect();
    fleet.net.names().filter(|(a, b)| names.contains(a) && names.contains(b)).cloned().collect()
}

/// When each forwarder was first seen to have closed an endpoint, by the indices of drain and forwarder.
type ClosedSeen = HashMap<(usize, usize), Instant>;

/// Runs the steps of a scenario on a fleet.
struct ScenarioRunner<'a> {
    fleet: &'a mut Fleet,
    links: Vec<LinkName>,
    scenario: &'a Scenario,
    partners: &'a [(&'static str, u32, Partner, usize, &'static str)],
    drains: Vec<Drain>,
    started: Instant,
}

impl ScenarioRunner<'_> {
    /// Runs the steps when they are due, and records meanwhile which forwarder has applied which drain.
    fn run_steps(&mut self, closed: &mut ClosedSeen, progress: &Progress) -> Result<(), String> {
        let mut steps = self.scenario.steps.clone().into_iter().peekable();
        let mut recoveries: Vec<(Instant, String)> = Vec::new();
        while self.started.elapsed() < self.scenario.lasts || steps.peek().is_some() || !recoveries.is_empty()
        {
            let share = self.started.elapsed().as_secs_f64() / self.scenario.lasts.as_secs_f64();
            let mut activity = "submitting messages".to_string();
            while let Some(step) = steps.next_if(|s| s.at <= self.started.elapsed()) {
                activity = describe(&step);
                if let Some(recovery) = self.step(step)? {
                    recoveries.push(recovery);
                }
            }
            progress.set(&activity, 0.05 + 0.65 * share.min(1.0));
            recoveries.retain(|(at, partner)| {
                let due = Instant::now() >= *at;
                if due {
                    self.partners
                        .iter()
                        .filter(|p| p.0 == partner)
                        .for_each(|p| p.2.recover_with_slow_start());
                }
                !due
            });
            poll_drains(self.fleet, &self.drains, closed);
            sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Runs a step. Returns when and which partner is to recover, if the step silences one.
    fn step(&mut self, step: Step) -> Result<Option<(Instant, String)>, String> {
        let initial = &self.scenario.links;
        match step.what {
            Action::Cut(groups) => {
                let group_of =
                    |name: &String| groups.iter().position(|g| g.contains(name)).unwrap_or(groups.len() - 1);
                for name in &self.links {
                    let apart = group_of(&name.0) != group_of(&name.1);
                    self.fleet.net.update_faults(name, |f| f.cut = apart);
                }
            }
            Action::CutOneWay(from, to) => {
                for name in [&from, &to] {
                    self.fleet.index_of(name)?;
                }
                self.fleet.net.update_faults(&(from, to), |f| f.cut = true);
            }
            Action::Heal(_) => {
                self.links
                    .iter()
                    .for_each(|name| self.fleet.net.update_faults(name, |f| *f = initial.clone()));
            }
            Action::Hold(who) | Action::Release(who) if self.fleet.index_of(&who).is_err() => {
                return Err(format!("there is no forwarder {who}"));
            }
            Action::Hold(who) => self.hold(&who, true),
            Action::Release(who) => self.hold(&who, false),
            Action::Links(faults) => {
                self.links
                    .iter()
                    .for_each(|name| self.fleet.net.update_faults(name, |f| *f = faults.clone()));
            }
            Action::Kill(who) => {
                let index = self.fleet.index_of(&who)?;
                self.fleet.forwarders[index].kill();
            }
            Action::Terminate(who) => {
                let index = self.fleet.index_of(&who)?;
                self.fleet.forwarders[index].terminate();
            }
            Action::Stop(who) => {
                let index = self.fleet.index_of(&who)?;
                self.fleet.forwarders[index].stop();
            }
            Action::GoOn(who) => {
                let index = self.fleet.index_of(&who)?;
                self.fleet.forwarders[index].resume();
            }
            Action::Start(who) => self.start(&who, StateFolder::Existing)?,
            Action::StartEmpty(who) => self.start(&who, StateFolder::Empty)?,
            Action::StartBackup(who) => self.start(&who, StateFolder::Backup)?,
            Action::Backup(who) => {
                let index = self.fleet.index_of(&who)?;
                self.fleet.forwarders[index].backup()?;
            }
            Action::Order(who, word, name) => self.order(&who, &word, &name)?,
            Action::Silent(partner, duration) => {
                let duration = humantime::parse_duration(&duration).map_err(|e| e.to_string())?;
                let known = self.partners.iter().find(|p| p.0 == partner);
                let known = known.ok_or_else(|| format!("there is no partner {partner}"))?;
                known.2.update_behavior(|c| c.silent = true);
                return Ok(Some((Instant::now() + duration, partner)));
            }
        }
        Ok(None)
    }

    /// Holds or releases all links from and to a forwarder.
    fn hold(&mut self, who: &str, hold: bool) {
        for name in self.links.iter().filter(|(a, b)| a == who || b == who) {
            self.fleet.net.update_faults(name, |f| f.hold = hold);
        }
    }

    fn start(&mut self, who: &str, folder: StateFolder) -> Result<(), String> {
        let index = self.fleet.index_of(who)?;
        self.fleet.start(index, folder)
    }

    /// Gives an operator's order to a forwarder.
    fn order(&mut self, who: &str, word: &str, name: &str) -> Result<(), String> {
        let index = self.fleet.index_of(who)?;
        let command = match word {
            "drain" => ControlCommand::Drain { endpoint: name.into() },
            "resume" => ControlCommand::Resume { endpoint: Some(name.into()), partner: None },
            "resume-partner" => ControlCommand::Resume { endpoint: None, partner: Some(name.into()) },
            "pause" => ControlCommand::Pause { partner: name.into() },
            _ => ControlCommand::Remove { endpoint: name.into() },
        };
        let at = Instant::now();
        let result = self.fleet.forwarders[index].ask(command);
        let endpoints = |name: &str| -> Vec<String> {
            let of = self.partners.iter().find(|p| p.0 == name);
            of.map_or(vec![name.to_string()], |p| endpoints_of(name, p.3).collect())
        };
        match word {
            "drain" | "pause" | "remove" => {
                result.map_err(|e| format!("{who} refuses to {word} {name}: {e}"))?;
                for endpoint in endpoints(name) {
                    self.drains.push(Drain { endpoint, by: index, at, until: None });
                }
            }
            // Whether a resume is accepted depends on which peers can be reached, so a scenario may order one that is refused.
            _ if result.is_ok() => {
                for endpoint in endpoints(name) {
                    let open = self.drains.iter_mut().filter(|d| d.endpoint == endpoint && d.until.is_none());
                    open.for_each(|d| d.until = Some(at));
                }
            }
            _ => {}
        }
        Ok(())
    }
}

/// Describes a step, for the progress bar.
fn describe(step: &Step) -> String {
    match &step.what {
        Action::Cut(groups) => {
            let groups: Vec<String> = groups.iter().map(|g| g.join(" ")).collect();
            format!("cut: {}", groups.join(" | "))
        }
        Action::CutOneWay(from, to) => format!("{from} cannot reach {to}"),
        Action::Heal(_) => "the links are healed".into(),
        Action::Order(who, word, name) => format!("{who}: {word} {name}"),
        Action::Kill(who) => format!("{who} is killed"),
        Action::Terminate(who) => format!("{who} is sent SIGTERM"),
        Action::Stop(who) => format!("{who} is stopped"),
        Action::GoOn(who) => format!("{who} is resumed"),
        Action::Start(who) => format!("{who} is restarted"),
        Action::StartEmpty(who) => format!("{who} is restarted with an empty folder"),
        Action::StartBackup(who) => format!("{who} is restarted with an old copy of its folder"),
        Action::Backup(who) => format!("the folder of {who} is copied"),
        Action::Silent(partner, duration) => format!("{partner} does not respond for {duration}"),
        Action::Hold(who) => format!("all traffic of {who} is held"),
        Action::Release(who) => format!("all traffic of {who} is released"),
        Action::Links(_) => "the faults of the links change".into(),
    }
}

/// Records which forwarder has applied which drain by now. A forwarder may have applied it up to one polling interval
/// earlier, so the check is more lenient by as much.
fn poll_drains(fleet: &Fleet, drains: &[Drain], closed: &mut ClosedSeen) {
    for index in 0..fleet.forwarders.len() {
        let open = |d: &usize| !closed.contains_key(&(*d, index)) && drains[*d].until.is_none();
        let pending: Vec<usize> = (0..drains.len()).filter(open).collect();
        if pending.is_empty() || fleet.forwarders[index].is_stopped() {
            continue;
        }
        let Some(endpoints) = fleet.forwarders[index].endpoints() else { continue };
        for drain in pending {
            let is_closed = endpoints.get(&drains[drain].endpoint).is_none_or(|e| e.state != "active");
            if is_closed {
                closed.insert((drain, index), Instant::now());
            }
        }
    }
}

/// State of a forwarder: the digest of its orders, and the state of each endpoint.
type FleetView = (String, Vec<(String, String)>);

/// Waits until all forwarders have the same state. Returns how many differ in the end, and after how many milliseconds all were
/// equal.
fn converge(
    fleet: &Fleet, closed: &mut ClosedSeen, drains: &[Drain], healed_at: Instant, within: Duration,
) -> (u64, Option<u64>) {
    loop {
        poll_drains(fleet, drains, closed);
        let mut views: BTreeMap<FleetView, u64> = BTreeMap::new();
        let mut unreachable = 0;
        for forwarder in &fleet.forwarders {
            if forwarder.peers().is_some_and(|p| p.mode == "displaced") {
                continue;
            }
            match forwarder.endpoints() {
                Some(endpoints) => {
                    let states = endpoints.into_values().map(|e| (e.name, e.state)).collect();
                    let digest = forwarder.site_state().map_or(String::new(), |s| s.digest);
                    *views.entry((digest, states)).or_default() += 1;
                }
                None => unreachable += 1,
            }
        }
        let largest = views.values().copied().max().unwrap_or(0);
        let diverged = views.values().sum::<u64>() - largest + unreachable;
        if diverged == 0 {
            return (0, Some(healed_at.elapsed().as_millis() as u64));
        }
        if healed_at.elapsed() > within {
            return (diverged, None);
        }
        sleep(POLL_INTERVAL);
    }
}

/// Waits until no forwarder holds a message, or the time is up.
fn wait_until_finished(fleet: &Fleet) {
    let deadline = Instant::now() + FINISH_TIMEOUT;
    while Instant::now() < deadline {
        if fleet.forwarders.iter().all(|f| f.status().is_some_and(|s| s.held == 0)) {
            return;
        }
        sleep(POLL_INTERVAL);
    }
}

/// Reads all outcomes that a forwarder keeps: by message id, the state of each outcome reported for it.
///
/// # Errors
/// The outcomes could not be read.
pub fn ends(listen: SocketAddr) -> Result<BTreeMap<String, Vec<String>>, String> {
    let mut ends: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let mut after = String::new();
    loop {
        let path = format!("/v1/ends?peek=1&wait_ms=0{after}");
        let (status, body) = get(listen, &path).ok_or("the outcomes could not be read")?;
        let response: serde_json::Value = serde_json::from_str(&body)
            .map_err(|e| format!("the outcomes could not be read: status {status}: {e}"))?;
        let lines = response["ends"].as_array().cloned().unwrap_or_default();
        if lines.is_empty() {
            return Ok(ends);
        }
        for line in lines {
            let field = |name: &str| line[name].as_str().unwrap_or("").to_string();
            ends.entry(field("id")).or_default().push(field("state"));
        }
        after = format!("&after={}", response["cursor"]);
    }
}

/// Checks the rules from all records. Does not check convergence.
fn check_run(
    fleet: &Fleet, partners: &[(&'static str, u32, Partner, usize, &'static str)], clients: &ClientRecords,
    drains: &[Drain], closed: &ClosedSeen, delays: &SchedDelays,
) -> Result<Report, String> {
    let records: Vec<CallRecords> = partners.iter().map(|p| p.2.call_records()).collect();
    let RuleCheck { effects, mut twice, out_of_order, fell_over, calls, .. } = check_rules(&records);
    // A notice is repeatable: it may take effect more than once.
    let notices: BTreeSet<&str> = records
        .iter()
        .flat_map(|r| &r.calls)
        .filter(|c| c.class == "notice")
        .map(|c| c.id.as_str())
        .collect();
    twice.retain(|id| !notices.contains(id.as_str()));
    let mut by_forwarder = Vec::new();
    for forwarder in &fleet.forwarders {
        by_forwarder.push(ends(forwarder.listen)?);
    }
    let (mut ended, mut lost, mut lost_with_machine, mut doubled) = (0, Vec::new(), 0, 0);
    let mut seen: BTreeSet<(&str, usize)> = BTreeSet::new();
    for AcceptedMessage { id, forwarder: by, accepted_at: at, .. } in &clients.accepted {
        if !seen.insert((id, *by)) {
            continue;
        }
        let here = by_forwarder[*by]
            .get(id)
            .map_or(0, |ends| ends.iter().filter(|e| *e != "handed_back").count().max(1));
        let elsewhere = by_forwarder.iter().any(|ends| ends.contains_key(id));
        match here {
            // The 202 may have been for a message that another forwarder holds.
            0 if elsewhere => ended += 1,
            0 if fleet.forwarders[*by].replaced.is_some_and(|replaced| replaced > *at) => {
                lost_with_machine += 1
            }
            0 => lost.push(id.clone()),
            1 => ended += 1,
            _ => doubled += 1,
        }
    }
    let mut after_drain = 0;
    let mut slowest = Duration::ZERO;
    for (n, drain) in drains.iter().enumerate() {
        for (index, forwarder) in fleet.forwarders.iter().enumerate() {
            let Some(at) = closed.get(&(n, index)) else { continue };
            slowest = slowest.max(at.saturating_duration_since(drain.at));
            let LinkTraffic { calls, .. } = fleet.net.traffic(&forwarder.name, &drain.endpoint);
            let until = drain.until.unwrap_or_else(|| Instant::now() + Duration::from_secs(3600));
            let late = calls.iter().filter(|c| c.at > *at + Duration::from_secs(2) && c.at < until);
            after_drain += late.count() as u64;
        }
    }
    let (mut in_waits, mut relayed, mut waits) = (Vec::new(), 0, 0);
    for forwarder in &fleet.forwarders {
        for (name, _, _, endpoints, _) in partners {
            let (to, back) = partner_traffic(fleet, &forwarder.name, name, *endpoints);
            (relayed, waits) = (relayed + to.len() as u64, waits + back.len() as u64);
            let broken = waits_broken(&to, &back, delays, &forwarder.starts);
            in_waits.extend(broken.into_iter().map(|call| format!("{}: {call}", forwarder.name)));
        }
    }
    // The checks that use the relays' records are only valid if these are complete.
    let refusals: u64 = records.iter().map(|r| r.waits.len() as u64).sum();
    if relayed < calls || (waits == 0 && refusals > 100) {
        return Err(format!(
            "the relays recorded {relayed} of {calls} calls, and {waits} of {refusals} waits"
        ));
    }
    let partner_counts = |(partner, records): (&(&str, u32, Partner, usize, &str), &CallRecords)| {
        let effects = records
            .calls
            .iter()
            .filter(|c| matches!(c.outcome, CallOutcome::TookEffect | CallOutcome::Unanswered))
            .count();
        (partner.0.to_string(), (records.calls.len() as u64, effects as u64))
    };
    let by_partner = partners.iter().zip(&records).map(partner_counts).collect();
    let breaches = Violations {
        lost: lost.len() as u64 + doubled,
        twice: twice.len() as u64,
        out_of_order: out_of_order.len() as u64,
        after_drain,
        waits_broken: in_waits.len() as u64,
        pushed_over: fell_over,
        diverged: 0,
    };
    let examples = lost.into_iter().chain(twice).chain(out_of_order).chain(in_waits).take(10).collect();
    Ok(Report {
        taken: clients.accepted.len() as u64,
        ended,
        lost_with_machine,
        conflicts: clients.conflicts.len() as u64,
        refused: clients.refused,
        unanswered: clients.unanswered,
        calls,
        effects,
        told_ms: slowest.as_millis() as u64,
        refused_by_partner: refusals,
        by_partner,
        breaches,
        examples,
        late_ms: delays.longest().as_millis() as u64,
        ..Report::default()
    })
}

/// The calls and waits between a forwarder and the endpoints of a partner.
fn partner_traffic(
    fleet: &Fleet, forwarder: &str, partner: &str, endpoints: usize,
) -> (Vec<Call>, Vec<Wait>) {
    let (mut calls, mut waits) = (Vec::new(), Vec::new());
    for endpoint in endpoints_of(partner, endpoints) {
        calls.extend(fleet.net.traffic(forwarder, &endpoint).calls);
        waits.extend(fleet.net.traffic(&endpoint, forwarder).waits);
    }
    (calls, waits)
}

/// Describes each call that a forwarder sent during a wait that it had received, beyond what the scheduling delays of the
/// machine explain. A restart ends a wait (PROTOCOL): a wait that one process received does not bind the next.
fn waits_broken(calls: &[Call], waits: &[Wait], delays: &SchedDelays, starts: &[Instant]) -> Vec<String> {
    let mut broken = Vec::new();
    for call in calls {
        let wait = waits.iter().find(|wait| {
            let into = call.at.saturating_duration_since(wait.from);
            let within = into > WAIT_GRACE && call.at < wait.until;
            let restarted = || starts.iter().any(|at| wait.from < *at && *at < call.at);
            within && !restarted() && into > WAIT_GRACE + delays.between(wait.from, call.at)
        });
        broken.extend(wait.map(|wait| {
            let (into, left) = (call.at - wait.from, wait.until - call.at);
            format!("{} {into:?} into a wait, {left:?} before its end", call.id)
        }));
    }
    broken
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_wait_binds_the_process_that_received_it_and_not_the_next_one() {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let call = |ms: u64| Call { id: ms.to_string(), at: at(ms) };
        let calls = [call(1_090), call(1_300), call(1_401)];
        let waits = [Wait { from: at(1_000), until: at(1_400) }];
        let broken = |waits: &[Wait], starts: &[Instant]| {
            waits_broken(&calls, waits, &SchedDelays::default(), starts).len()
        };
        assert_eq!((broken(&waits, &[]), broken(&[], &[])), (1, 0));
        assert_eq!(broken(&waits, &[at(0), at(1_200)]), 0, "a restart ends a wait");
        assert_eq!(
            broken(&waits, &[at(999), at(1_301)]),
            1,
            "a restart before the wait or after the call does not end it"
        );
    }
}
