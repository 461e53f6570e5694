//! The loop that owns all state: the module, the messages and the journal. What sockets and timers tell
//! comes in as [`LoopEvent`]s; what the module decides goes out, in its order.

mod appliance;
mod calls;
mod durable;
mod endings;
mod intake;
mod orders;
mod peers;
mod picture;
mod restore;
mod shutdown;

use crate::call::{yield_to_socket_reads, STALL_THRESHOLD};
use crate::client_server::{self, ServerContext};
use crate::clock::Clock;
use crate::config::Config;
use crate::connections::{ConnectionPool, PoolSettings};
use crate::descriptors::{client_share, DescriptorBudget};
use crate::ends_api::EndsApi;
use crate::events::{EventSender, LoopEvent, Stage, SubmitReply};
use crate::list::{ServerList, ServerState};
use crate::membership::Membership;
use crate::message::Message;
use crate::notice_queue::NoticeQueue;
use crate::partner_protocol::PartnerProtocols;
use crate::registry::{Ids, Targets};
use appliance::{Appliance, LONGEST_NAME};
use foldtrack_admission::DescriptorUser;
use foldtrack_delivery::settings::DeploymentSettings;
use foldtrack_delivery::{
    Action, DeliveryScheduler, Endpoint, EndpointState, Event, ListKind, Micros, TargetId,
};
use foldtrack_ends::Attempt;
use foldtrack_journal::{Journal, JournalDir, JournalOptions};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{oneshot, watch, Semaphore};
use tokio::time::{sleep_until, timeout, Instant};

/// Inputs that one round takes in at most.
const ROUND: usize = 1024;
/// After SIGTERM: how long connections are still accepted, and by when the process has ended.
const ACCEPT_ON: Duration = Duration::from_millis(500);
const END_BY: Duration = Duration::from_millis(3300);
/// How long the start waits for the list.
const FIRST_LIST: Duration = Duration::from_millis(250);
/// Time of a round that the journal's compaction takes at most, beside what a full room calls for at once.
const JOURNAL_STEP: Duration = Duration::from_micros(300);
const SWEEP: Duration = Duration::from_secs(1);
/// Part of the memory limit that bodies which are being read may take.
const BODIES_PART: usize = 4;
/// Part of the journal's room that is kept for known clients.
const KEPT_PART: usize = 8;
/// Bytes of the memory limit for each id that is remembered.
const MEMORY_PER_ID: usize = 1024;

/// How far the client has been told that its message is taken on.
enum Taken {
    /// Not at all: the module may refuse it yet.
    Fresh(oneshot::Sender<SubmitReply>),
    /// The answer is on its way.
    Answering,
    /// Told.
    On,
}

/// A send that the module has decided on.
struct Waiting {
    attempt: u32,
    target: TargetId,
    until: Micros,
    decided: Micros,
}

struct Held {
    message: Arc<Message>,
    taken: Taken,
    /// When it came, Unix time in microseconds.
    since: Micros,
    /// Its attempts for people to see, at a site of its own.
    history: Vec<Attempt>,
    attempts: u32,
    /// Those of them that the journal has: some were decided on and never begun.
    tries: u32,
    /// Calls that were held back before their first byte, and used up no try.
    held_back: u32,
    /// A send that the module has decided on, but that must not go yet: see [`Node::send`].
    waiting: Option<Waiting>,
}

struct Node {
    clock: Clock,
    scheduler: DeliveryScheduler,
    settings: Arc<DeploymentSettings>,
    journal: Journal,
    events: EventSender,
    membership: Box<dyn Membership>,
    /// The platform's taker of notices.
    discovery: Option<watch::Sender<SocketAddr>>,
    /// What a site of its own has in its place.
    site: Option<Box<Appliance>>,
    /// The other forwarders of the site, if it has any.
    peers: Option<Box<peers::Side>>,
    /// What waits for the journal.
    durable: durable::Durable,
    /// A picture for people that is being made.
    scan: picture::Scan,
    /// Lists taken in. Their own versions begin anew where discovery moves.
    lists: u32,
    next_number: u64,
    /// What is taken on, or may be, by number in the order of arrival.
    messages: BTreeMap<u64, Held>,
    /// Those of this round whose clients wait for an answer.
    fresh: Vec<u64>,
    /// Bytes of these, which the journal does not know of yet.
    fresh_bytes: usize,
    notices: NoticeQueue,
    /// Those whose send has been decided on, but has not gone yet.
    waiting: BTreeSet<u64>,
    /// By message and attempt: what calls it off.
    calls: BTreeMap<(u64, u32), oneshot::Sender<()>>,
    pool: ConnectionPool,
    descriptors: Arc<DescriptorBudget>,
    partner_protocols: PartnerProtocols,
    /// Dials ahead of demand so far.
    next_dial: u64,
    swept: Instant,
    targets: Targets,
    ids: Ids,
    most_ids: usize,
    /// Bytes of the journal's room that are kept for known clients.
    kept_room: usize,
    timers: BTreeSet<(Micros, u32)>,
    stage: watch::Sender<Stage>,
    terminated: Option<Instant>,
    actions: Vec<Action>,
}

/// Restores what the journal holds, then serves until it is told to end.
pub(crate) async fn run(
    mut config: Config, events: EventSender, mut receiver: UnboundedReceiver<LoopEvent>,
) -> io::Result<()> {
    let clock = Clock::new();
    let others = config.site.as_mut().and_then(|parts| parts.peers.take());
    let others = match others {
        Some(setup) => Some(setup.start(config.seed, clock.now() / 1000, &events)?),
        None => None,
    };
    let ready = others.as_ref().map(|(_, io)| io.ready.clone());
    let (ends_seen, ends_api) = ends_api(&config);
    let settings = Arc::new(config.settings);
    let max_attempts = settings.settings.max_attempts;
    let slots = settings.settings.slots as usize;
    let pool_settings = config.site.as_ref().map(|parts| PoolSettings {
        preconnect: parts.site.calls.open_ahead,
        max_per_target: (slots / 4).max(2),
        max_age: Duration::from_micros(parts.site.calls.connection_age),
    });
    let site = config.site.map(|parts| Appliance::new(parts, ends_seen, config.memory_bytes as u64));
    let name = if site.is_some() { LONGEST_NAME } else { 0 };
    let options = JournalOptions {
        capacity_bytes: config.disk_bytes,
        max_attempts,
        max_endpoint_name_len: name,
        durable: config.durable,
        identity: config.seed,
    };
    let disk = JournalDir::new(&config.state)?.with_budget(config.disk_budget);
    let (journal, restored) = Journal::open_on(disk, options)?;
    // Numbers of messages that are over may stand in kept ends: none is used twice.
    let highest = journal.highest_number().max(site.as_ref().map_or(0, |s| s.ends.highest_number()));
    let (stage, stage_seen) = watch::channel(Stage::Serving);
    let share = client_share(config.sockets);
    let conn_idle = Duration::from_micros(settings.settings.idle_timeout);
    let mut node = Node {
        clock,
        scheduler: DeliveryScheduler::new(clock.now(), config.seed, settings.settings.clone()),
        settings: settings.clone(),
        journal,
        events: events.clone(),
        membership: config.membership,
        discovery: config.discovery,
        site: site.map(Box::new),
        peers: others.map(|(peers, io)| peers::Side::new(peers, io)),
        durable: durable::Durable::new(config.durable),
        scan: picture::Scan::default(),
        lists: 0,
        next_number: highest + 1,
        messages: BTreeMap::new(),
        fresh: Vec::new(),
        fresh_bytes: 0,
        notices: NoticeQueue::default(),
        waiting: BTreeSet::new(),
        calls: BTreeMap::new(),
        pool: ConnectionPool::new(
            conn_idle,
            share.saturating_sub(slots).max(share / 4),
            pool_settings,
            clock,
        ),
        descriptors: config.descriptors,
        partner_protocols: config.partner_protocols,
        next_dial: 0,
        swept: Instant::now(),
        targets: Targets::default(),
        ids: Ids::default(),
        most_ids: config.memory_bytes / MEMORY_PER_ID,
        kept_room: config.disk_bytes as usize / KEPT_PART,
        timers: BTreeSet::new(),
        stage,
        terminated: None,
        actions: Vec::new(),
    };
    let news = node.membership.watch(&events);
    node.list(node.membership.known(), if news { ListKind::Cached } else { ListKind::Full });
    node.begin_peers();
    let mut batch = Vec::new();
    node.join_peers(&mut receiver, &mut batch).await;
    node.restore_all(restored);
    node.recheck_ids();
    if news {
        batch.extend(timeout(FIRST_LIST, receiver.recv()).await.ok().flatten());
    }
    let listener = client_server::listen(config.listen)?;
    let bodies = Semaphore::new(config.memory_bytes / BODIES_PART);
    let unknown_client_bodies = Semaphore::new(config.memory_bytes / BODIES_PART / 2);
    let context = ServerContext {
        settings,
        clock,
        events,
        stage: stage_seen,
        bodies,
        unknown_client_bodies,
        ends_api,
        ready,
    };
    tokio::spawn(client_server::serve(listener, Arc::new(context), config.client_connections));
    while !node.has_ended() {
        let begun = Instant::now();
        node.round(&mut batch);
        if let Some(site) = &mut node.site {
            site.longest_round = site.longest_round.max(begun.elapsed());
        }
        let stood = begun.elapsed() > STALL_THRESHOLD;
        let wake = node.wake_at();
        tokio::select! {
            biased;
            _ = receiver.recv_many(&mut batch, ROUND) => {}
            () = sleep_until(wake) => {}
        }
        // A round that was held up by the disk, or a timer that comes late: nothing is decided before answers that came
        // meanwhile are read.
        if stood || Instant::now() > wake + STALL_THRESHOLD {
            yield_to_socket_reads().await;
        }
    }
    // Whoever has handed a message in that no round has seen is told so, not cut off: nothing owes it an end.
    drop(receiver);
    drop(batch);
    yield_to_socket_reads().await;
    Ok(())
}

/// What clients of a site of its own may ask beside handing messages in.
fn ends_api(config: &Config) -> (watch::Sender<u64>, Option<EndsApi>) {
    let (ends_seen, seen) = watch::channel(0);
    let partners = config.site.as_ref().map(|parts| {
        let named = |p: &foldtrack_site::Partner| (p.name.clone(), p.number());
        parts.site.partners.iter().map(named).collect()
    });
    (ends_seen, partners.map(|partners| EndsApi::new(partners, seen)))
}

impl Node {
    /// Takes in all that has happened, lets the module decide once, and carries out what it says.
    fn round(&mut self, batch: &mut Vec<LoopEvent>) {
        for input in batch.drain(..) {
            self.take_in(input);
        }
        self.step_peers();
        self.expire_waiting();
        let now = self.clock.now();
        while let Some((_, token)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.pop_first();
            self.handle(Event::Timer { token });
        }
        self.scheduler.decide(self.clock.now(), &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.carry_out(action);
        }
        self.answer_clients();
        self.commit_ends();
        self.commit_journal();
        self.step_journal();
        self.begin_sync();
        self.step_scan();
        self.report_notices();
        self.step_down();
        if self.swept.elapsed() > SWEEP {
            self.swept = Instant::now();
            self.sweep_ends();
            for target in self.pool.sweep() {
                self.open_ahead(target);
            }
            for _ in 0..self.descriptors.excess(DescriptorUser::Calls) {
                self.pool.drop_oldest();
            }
            let (now, keep) = (self.clock.now(), self.remember());
            self.ids.forget(now, self.most_ids);
            for number in self.targets.forget(now, now - keep) {
                self.pool.close(number);
            }
        }
    }

    /// Goes on with the journal's compaction, for a little of each round.
    fn step_journal(&mut self) {
        if let Err(error) = self.journal.compact_step(std::time::Instant::now() + JOURNAL_STEP) {
            eprintln!("journal: {error}");
        }
    }

    /// How long what has gone is remembered: no message that knew it is held for longer.
    fn remember(&self) -> Micros {
        2 * self.settings.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0)
    }

    fn handle(&mut self, event: Event) {
        self.scheduler.handle(self.clock.now(), event, &mut self.actions);
    }

    fn take_in(&mut self, input: LoopEvent) {
        match input {
            LoopEvent::Submit { message, from_known_client, reply } => {
                self.hand_in(message, from_known_client, reply)
            }
            LoopEvent::ReplySent { number, written } => self.answered(number, written),
            LoopEvent::CallEnded(end) => self.call_ended(end),
            LoopEvent::Preconnected { target, number, opened } => {
                let open = self.targets.is_open(target);
                self.pool.preconnect_finished(target, number, opened.filter(|_| open));
            }
            // What the old address has told late does not stand against the new one.
            LoopEvent::List { from, .. } if self.discovery.as_ref().is_none_or(|d| from != *d.borrow()) => {}
            LoopEvent::List { list, .. } => {
                let kind = if list.full { ListKind::Full } else { ListKind::Delta };
                self.list(list, kind);
            }
            LoopEvent::NoticesReported { numbers, status, to } => self.reported(numbers, status, to),
            LoopEvent::DiscoveryMoved(address) => {
                if let Some(discovery) = &self.discovery {
                    discovery.send_replace(address);
                }
                self.notices.reset_pause();
            }
            LoopEvent::SiteRequest(ask) => self.asked(ask),
            LoopEvent::JournalSynced(synced) => self.synced(synced),
            LoopEvent::Datagram(bytes) => self.datagram(&bytes),
            LoopEvent::PeerRecordsStored(ticket) => self.peers_kept(ticket),
            LoopEvent::Terminate => {
                if self.terminated.is_none() {
                    self.terminated = Some(Instant::now());
                    self.stage.send_replace(Stage::Draining);
                    let by = self.clock.now() + END_BY.as_micros() as Micros;
                    self.handle(Event::Stopping { by });
                    self.leave_peers();
                }
            }
        }
    }

    fn list(&mut self, list: ServerList, kind: ListKind) {
        let place = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).map_or(u32::MAX, |at| at as u32)
        };
        let mut endpoints = Vec::with_capacity(list.servers.len());
        let mut named = HashSet::new();
        for line in list.servers {
            let zone = place(&self.settings.zone_names, &line.zone);
            let kind = place(&self.settings.kind_names, &line.kind);
            let apart =
                self.settings.settings.independent_routes.get(kind as usize).copied().unwrap_or(false);
            let Some((target, replaced)) = self.targets.number(&line, zone, apart) else { continue };
            named.insert(target);
            if let Some(target) = replaced {
                // The same id elsewhere is another target.
                self.pool.close(target);
                let (destination, state) = (line.cell, EndpointState::Gone);
                endpoints.push(Endpoint { target, destination, state, ..Endpoint::default() });
            }
            endpoints.push(Endpoint {
                target,
                destination: line.cell,
                kind,
                zone,
                state: match line.state {
                    ServerState::Active => EndpointState::Ready,
                    ServerState::Leaving => EndpointState::Draining,
                    ServerState::Left => EndpointState::Gone,
                },
                rate: line.weight,
                slots: line.slots,
                hold_until: line.hold_until,
            });
        }
        if kind != ListKind::Delta {
            self.targets.only(&named);
        }
        self.targets.see(self.clock.now());
        self.lists += 1;
        self.handle(Event::List { kind, version: self.lists, endpoints });
    }

    fn wake_at(&self) -> Instant {
        // What was told to the module after it had decided is carried out at once, not with whatever happens next.
        let undone = !self.actions.is_empty();
        if undone
            || self.scan.is_running()
            || self.journal.has_compaction_work() && !self.journal.awaits_sync()
        {
            return Instant::now();
        }
        let timer = self.timers.first().map(|(at, _)| self.clock.instant(*at));
        let reports = self.notices.next_due().map(|from| self.clock.instant(from));
        let wakes = [timer, reports, self.next_step_down(), self.peers_due()];
        wakes.into_iter().flatten().min().unwrap_or_else(|| Instant::now() + SWEEP)
    }
}
