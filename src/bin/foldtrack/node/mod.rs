//! The event loop, which owns all mutable state: the scheduler, the messages and the journal.
//! Socket and timer tasks send it [`LoopEvent`]s; it carries out the scheduler's actions in the order
//! in which they were issued.

mod calls;
mod group_commit;
mod held_messages;
mod intake;
mod orders;
mod outcomes;
mod peers;
mod restore;
mod shutdown;
mod site_runtime;
mod snapshot;

use crate::call::{yield_to_socket_reads, STALL_THRESHOLD};
use crate::client_server::{self, ServerContext};
use crate::clock::Clock;
use crate::config::Config;
use crate::connections::{ConnectionPool, PoolSettings};
use crate::descriptors::{follow_limit, DescriptorBudget};
use crate::ends_api::EndsApi;
use crate::events::{EventSender, LoopEvent, Stage, SubmitReply};
use crate::list::{ServerList, ServerState};
use crate::membership::Membership;
use crate::memory_log::{MemoryLog, MemoryUse};
use crate::message::Message;
use crate::message_ids::{MessageIds, SubmissionState};
use crate::notice_queue::NoticeQueue;
use crate::partner_protocol::PartnerProtocols;
use crate::registry::{Assignment, Targets};
use crate::request_bodies::RequestBodies;
use foldtrack_admission::DescriptorUser;
use foldtrack_delivery::settings::DeploymentSettings;
use foldtrack_delivery::{
    Action, DeliveryScheduler, Endpoint, EndpointState, Event, ListKind, Micros, Outcome, TargetId,
};
use foldtrack_ends::Attempt;
use foldtrack_journal::{Journal, JournalDir, JournalOptions};
use foldtrack_memory::MemoryPlan;
use site_runtime::{SiteRuntime, MAX_NAME_BYTES};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep_until, timeout, Instant};

/// Maximum number of events handled in one iteration of the loop.
const MAX_EVENTS_PER_ITERATION: usize = 1024;
/// Time after SIGTERM until the listener stops accepting connections.
const ACCEPT_GRACE: Duration = Duration::from_millis(500);
/// Time after SIGTERM by which the process has ended.
const SHUTDOWN_LIMIT: Duration = Duration::from_millis(3300);
/// Longest wait at startup for the first list of targets.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time per iteration spent on journal compaction, apart from what must be compacted at
/// once because the journal is full.
const COMPACTION_TIME_LIMIT: Duration = Duration::from_micros(300);
/// Interval between sweeps that drop expired outcomes, ids, targets and idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// One part in this many of the journal's capacity is reserved for known clients.
const RESERVED_JOURNAL_DIVISOR: usize = 8;

/// Whether the client has been told that its message is accepted.
enum Acceptance {
    /// Not told: the scheduler may still refuse the message.
    Undecided(oneshot::Sender<SubmitReply>),
    /// The reply is being written, or waits for the journal.
    Replying,
    /// The client has received the reply.
    Confirmed,
}

/// A send that the scheduler has decided on and that has not started yet.
struct PendingSend {
    attempt: u32,
    target: TargetId,
    until: Micros,
    decided_at: Micros,
}

/// A message that is accepted, or may be, and has not ended.
struct HeldMessage {
    message: Arc<Message>,
    acceptance: Acceptance,
    /// Arrival time, Unix time in microseconds.
    arrived_at: Micros,
    /// Attempts shown to operators; empty under a platform.
    history: Vec<Attempt>,
    /// Attempts that the scheduler has decided on, less the calls that were withheld.
    attempts: u32,
    /// Attempts recorded in the journal. Some that the scheduler decided on were never started.
    journaled_attempts: u32,
    /// Calls that were withheld before their first byte and used up no attempt.
    withheld_calls: u32,
    /// A send that was decided on and must wait; see [`Node::send`].
    pending_send: Option<PendingSend>,
    /// Outcome of the latest attempt of this process.
    last_outcome: Option<Outcome>,
}

/// The event loop's state.
struct Node {
    clock: Clock,
    scheduler: DeliveryScheduler,
    settings: Arc<DeploymentSettings>,
    journal: Journal,
    events: EventSender,
    membership: Box<dyn Membership>,
    /// Address of discovery, which receives notices; none for a site file.
    discovery: Option<watch::Sender<SocketAddr>>,
    /// State that only a deployment with a site file has.
    site: Option<Box<SiteRuntime>>,
    /// The peers of the site, if it has any.
    peers: Option<Box<peers::PeerState>>,
    /// Work that waits for the journal.
    group_commit: group_commit::GroupCommit,
    /// A snapshot for operators that is being assembled.
    scan: snapshot::SnapshotScan,
    /// Number of target lists received. Discovery's own versions restart when it moves.
    lists_received: u32,
    next_number: u64,
    messages: held_messages::HeldMessages,
    /// Messages of this iteration whose clients wait for a reply.
    fresh: Vec<u64>,
    /// Bytes of the messages in `fresh`, which the journal has not counted yet.
    fresh_bytes: usize,
    notices: NoticeQueue,
    /// Messages whose send was decided on and has not started.
    pending_sends: BTreeSet<u64>,
    /// Cancellation of each call, by message and attempt.
    calls: BTreeMap<(u64, u32), oneshot::Sender<()>>,
    pool: ConnectionPool,
    descriptors: Arc<DescriptorBudget>,
    partner_protocols: PartnerProtocols,
    /// Number of connections opened ahead of demand so far.
    next_preconnect: u64,
    last_sweep: Instant,
    targets: Targets,
    ids: MessageIds,
    /// How memory is divided.
    memory: MemoryPlan,
    bodies: Arc<RequestBodies>,
    memory_log: MemoryLog,
    /// Bytes of the journal's capacity that are reserved for known clients.
    reserved_journal_bytes: usize,
    timers: BTreeSet<(Micros, u32)>,
    stage: watch::Sender<Stage>,
    terminated_at: Option<Instant>,
    actions: Vec<Action>,
}

/// Restores the messages of the journal, then serves until the process is told to end.
///
/// # Errors
/// The journal or the list of targets cannot be opened, or the listener cannot be bound.
pub(crate) async fn run(
    mut config: Config, events: EventSender, mut receiver: UnboundedReceiver<LoopEvent>,
) -> io::Result<()> {
    let clock = Clock::new();
    let peers = config.site.as_mut().and_then(|parts| parts.peers.take());
    let peers = match peers {
        Some(setup) => Some(setup.start(config.seed, clock.now() / 1000, &events)?),
        None => None,
    };
    let ready = peers.as_ref().map(|(_, io)| io.ready.clone());
    let (outcome_sequence, ends_api) = ends_api(&config);
    let settings = Arc::new(config.settings);
    let max_attempts = settings.settings.max_attempts;
    let slots = settings.settings.slots as usize;
    let pool_settings = config.site.as_ref().map(|parts| PoolSettings {
        preconnect: parts.site.calls.open_ahead,
        max_per_target: (slots / 4).max(2),
        max_age: Duration::from_micros(parts.site.calls.connection_age),
        rest: Duration::from_micros(parts.site.calls.connection_rest),
    });
    let site = config.site.map(|parts| SiteRuntime::new(parts, outcome_sequence, config.memory.held as u64));
    let name = if site.is_some() { MAX_NAME_BYTES } else { 0 };
    let options = JournalOptions {
        capacity_bytes: config.disk_bytes,
        max_attempts,
        max_endpoint_name_len: name,
        durable: config.durable,
        identity: config.seed,
    };
    let disk = JournalDir::new(&config.state)?.with_budget(config.disk_budget);
    let (journal, restored) = Journal::open_on(disk, options)?;
    // Stored outcomes may hold numbers of messages that the journal has forgotten. A number is
    // never used twice.
    let highest = journal.highest_number().max(site.as_ref().map_or(0, |s| s.outcomes.highest_number()));
    let (stage, stage_seen) = watch::channel(Stage::Serving);
    let share = config.descriptor_plan.half_share(config.descriptor_plan.limit());
    let bodies = RequestBodies::new(config.memory.bodies, clock);
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
        peers: peers.map(|(peers, io)| peers::PeerState::new(peers, io)),
        group_commit: group_commit::GroupCommit::new(config.durable),
        scan: snapshot::SnapshotScan::default(),
        lists_received: 0,
        next_number: highest + 1,
        messages: held_messages::HeldMessages::default(),
        fresh: Vec::new(),
        fresh_bytes: 0,
        notices: NoticeQueue::default(),
        pending_sends: BTreeSet::new(),
        calls: BTreeMap::new(),
        pool: ConnectionPool::new(
            conn_idle,
            share.saturating_sub(slots).max(share / 4).min(config.memory.idle_connections),
            pool_settings,
            clock,
        ),
        descriptors: config.descriptors,
        partner_protocols: config.partner_protocols,
        next_preconnect: 0,
        last_sweep: Instant::now(),
        targets: Targets::new(config.memory.targets),
        ids: MessageIds::default(),
        memory: config.memory,
        memory_log: MemoryLog::new(config.memory),
        bodies: bodies.clone(),
        reserved_journal_bytes: config.disk_bytes as usize / RESERVED_JOURNAL_DIVISOR,
        timers: BTreeSet::new(),
        stage,
        terminated_at: None,
        actions: Vec::new(),
    };
    let reports_updates = node.membership.start_updates(&events);
    node.apply_list(
        node.membership.current_list(),
        if reports_updates { ListKind::Cached } else { ListKind::Full },
    );
    node.start_peers();
    let mut batch = Vec::new();
    node.wait_for_peers(&mut receiver, &mut batch).await;
    node.restore_all(restored);
    node.reconcile_ids();
    if reports_updates {
        batch.extend(timeout(FIRST_LIST_TIMEOUT, receiver.recv()).await.ok().flatten());
    }
    let listener = client_server::listen(config.listen, config.memory.client_receive_buffer)?;
    let context = ServerContext { settings, clock, events, stage: stage_seen, bodies, ends_api, ready };
    tokio::spawn(follow_limit(config.descriptor_plan, config.client_connections.clone()));
    tokio::spawn(client_server::serve(listener, Arc::new(context), config.client_connections));
    while !node.has_ended() {
        let started = Instant::now();
        node.run_iteration(&mut batch);
        if let Some(site) = &mut node.site {
            site.longest_iteration = site.longest_iteration.max(started.elapsed());
        }
        let stalled = started.elapsed() > STALL_THRESHOLD;
        let wake = node.next_wakeup();
        tokio::select! {
            biased;
            _ = receiver.recv_many(&mut batch, MAX_EVENTS_PER_ITERATION) => {}
            () = sleep_until(wake) => {}
        }
        // The iteration was delayed by the disk, or the timer fired late. Answers that arrived
        // meanwhile are read before the next decision.
        if stalled || Instant::now() > wake + STALL_THRESHOLD {
            yield_to_socket_reads().await;
        }
    }
    // Clients whose submission no iteration has seen get a reply instead of a closed connection:
    // their messages were not accepted.
    drop(receiver);
    drop(batch);
    yield_to_socket_reads().await;
    Ok(())
}

/// State of the HTTP API of a site: the sequence number of the latest outcome, and the names of the
/// partners.
fn ends_api(config: &Config) -> (watch::Sender<u64>, Option<EndsApi>) {
    let (outcome_sequence, seen) = watch::channel(0);
    let partners = config.site.as_ref().map(|parts| {
        let named = |p: &foldtrack_site::Partner| (p.name.clone(), p.number());
        parts.site.partners.iter().map(named).collect()
    });
    (outcome_sequence, partners.map(|partners| EndsApi::new(partners, seen)))
}

impl Node {
    /// One iteration: handles the events, lets the scheduler decide once, and carries out its
    /// actions.
    fn run_iteration(&mut self, batch: &mut Vec<LoopEvent>) {
        for event in batch.drain(..) {
            self.handle_event(event);
        }
        self.step_peers();
        self.expire_pending_sends();
        let now = self.clock.now();
        while let Some((_, token)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.pop_first();
            self.notify_scheduler(Event::Timer { token });
        }
        self.scheduler.decide(self.clock.now(), &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.execute(action);
        }
        self.journal_accepted();
        self.commit_outcomes();
        self.commit_journal();
        self.compact_journal();
        self.start_sync();
        self.continue_snapshot();
        self.send_notices();
        self.advance_shutdown();
        self.close_excess_connections();
        if self.last_sweep.elapsed() > SWEEP_INTERVAL {
            self.last_sweep = Instant::now();
            self.drop_expired_outcomes();
            for target in self.pool.sweep() {
                self.preconnect(target);
            }
            let (messages, notices) = (&self.messages, &self.notices);
            let is_open = |number| messages.contains_key(&number) || notices.contains(number);
            self.ids.forget(self.clock.now(), self.memory.ids, is_open);
            self.drop_stale_targets();
            let memory_use = self.memory_use();
            self.memory_log.update(memory_use);
        }
    }

    /// Drops targets that have left and have no call in flight.
    fn drop_stale_targets(&mut self) {
        let (now, keep) = (self.clock.now(), self.retention());
        for number in self.targets.remove_stale(now, now.saturating_sub(keep)) {
            self.pool.close(number);
        }
    }

    /// What the process holds, by use.
    fn memory_use(&self) -> MemoryUse {
        MemoryUse {
            client_connections: self.descriptors.held(DescriptorUser::Clients),
            target_connections: self.descriptors.held(DescriptorUser::Calls),
            body_bytes: self.bodies.used(),
            refused_bodies: self.bodies.refused(),
            held: self.messages.len(),
            held_bytes: self.messages.bytes() + self.notices.bytes(),
            ids: self.ids.len(),
            targets: self.targets.len(),
            notices: self.notices.len(),
            journal_files: self.journal.disk_bytes(),
        }
    }

    /// Closes idle connections if calls hold more descriptors than they may, as after the limit was
    /// lowered.
    fn close_excess_connections(&mut self) {
        for _ in 0..self.descriptors.excess(DescriptorUser::Calls) {
            if !self.pool.drop_oldest() {
                return;
            }
        }
    }

    /// Compacts the journal for a short part of each iteration.
    fn compact_journal(&mut self) {
        if let Err(error) = self.journal.compact_step(std::time::Instant::now() + COMPACTION_TIME_LIMIT) {
            eprintln!("journal: {error}");
        }
    }

    /// How long removed targets and ended messages are remembered: twice the longest deadline, so
    /// that no message that could refer to them is still held.
    fn retention(&self) -> Micros {
        2 * self.settings.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0)
    }

    /// Changes the state of a submitted id. From its acceptance on it is remembered for [`Node::retention`].
    fn set_id_state(&mut self, id: &str, state: SubmissionState) {
        let until = self.clock.now() + self.retention();
        self.ids.set_state(id, state, until);
    }

    fn notify_scheduler(&mut self, event: Event) {
        self.scheduler.handle(self.clock.now(), event, &mut self.actions);
    }

    fn handle_event(&mut self, event: LoopEvent) {
        match event {
            LoopEvent::Submit { message, from_known_client, reply } => {
                self.submit(message, from_known_client, reply)
            }
            LoopEvent::ReplySent { number, written } => self.reply_finished(number, written),
            LoopEvent::CallEnded(end) => self.call_ended(end),
            LoopEvent::Preconnected { target, number, opened } => {
                let open = self.targets.is_open(target);
                self.pool.preconnect_finished(target, number, opened.filter(|_| open));
            }
            // A list that the previous address sent before discovery moved is ignored.
            LoopEvent::List { from, .. } if self.discovery.as_ref().is_none_or(|d| from != *d.borrow()) => {}
            LoopEvent::List { list, .. } => {
                let kind = if list.full { ListKind::Full } else { ListKind::Delta };
                self.apply_list(list, kind);
            }
            LoopEvent::NoticesReported { numbers, status, to } => self.notices_reported(numbers, status, to),
            LoopEvent::DiscoveryMoved(address) => {
                if let Some(discovery) = &self.discovery {
                    discovery.send_replace(address);
                }
                self.notices.reset_pause();
            }
            LoopEvent::SiteRequest(request) => self.handle_request(request),
            LoopEvent::JournalSynced(synced) => self.finish_sync(synced),
            LoopEvent::Datagram(bytes) => self.handle_datagram(&bytes),
            LoopEvent::PeerRecordsStored(ticket) => self.peer_records_stored(ticket),
            LoopEvent::Terminate => {
                if self.terminated_at.is_none() {
                    self.terminated_at = Some(Instant::now());
                    self.stage.send_replace(Stage::Draining);
                    let by = self.clock.now() + SHUTDOWN_LIMIT.as_micros() as Micros;
                    self.notify_scheduler(Event::Stopping { by });
                    self.leave_peers();
                }
            }
        }
    }

    /// Passes a list of targets to the scheduler, under target numbers that are never reused.
    fn apply_list(&mut self, list: ServerList, kind: ListKind) {
        let index = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).map_or(u32::MAX, |at| at as u32)
        };
        if self.targets.is_crowded(list.servers.len()) {
            if kind != ListKind::Delta {
                let ids = list.servers.iter().map(|entry| entry.id.as_str()).collect();
                self.targets.retain_ids(&ids);
            }
            self.drop_stale_targets();
        }
        let mut without_room = 0;
        let mut endpoints = Vec::with_capacity(list.servers.len());
        let mut listed = HashSet::new();
        for line in list.servers {
            let zone = index(&self.settings.zone_names, &line.zone);
            let kind = index(&self.settings.kind_names, &line.kind);
            let apart =
                self.settings.settings.independent_routes.get(kind as usize).copied().unwrap_or(false);
            let Some(assignment) = self.targets.assign(&line, zone, apart) else {
                without_room += usize::from(line.state != ServerState::Left);
                continue;
            };
            let Assignment { target, replaced, restarted } = assignment;
            listed.insert(target);
            if restarted {
                self.pool.drop_idle(target);
            }
            if let Some(target) = replaced {
                // The same id at another address is a different target.
                self.pool.close(target);
                let (destination, state) = (line.cell, EndpointState::Gone);
                endpoints.push(Endpoint { target, destination, state, ..Endpoint::default() });
            }
            if assignment.lacks_room() {
                without_room += 1;
                continue;
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
        for (target, destination) in self.targets.close_taken_over(&listed) {
            tracing::info!(
                target = self.targets.name(target),
                "target gone: another process runs at its address"
            );
            self.pool.close(target);
            endpoints.push(Endpoint {
                target,
                destination,
                state: EndpointState::Gone,
                ..Endpoint::default()
            });
        }
        if without_room > 0 {
            eprintln!("discovery: no memory for {without_room} more targets: they are sent nothing");
        }
        if kind != ListKind::Delta {
            self.targets.retain_listed(&listed);
        }
        self.targets.mark_seen(self.clock.now());
        self.lists_received += 1;
        self.notify_scheduler(Event::List { kind, version: self.lists_received, endpoints });
    }

    /// When the next iteration is due if no event arrives.
    fn next_wakeup(&self) -> Instant {
        // Actions that were issued after the scheduler's last decision are carried out at once,
        // without waiting for the next event.
        let pending_actions = !self.actions.is_empty();
        if pending_actions
            || self.scan.is_running()
            || self.journal.has_compaction_work() && !self.journal.awaits_sync()
        {
            return Instant::now();
        }
        let timer = self.timers.first().map(|(at, _)| self.clock.instant(*at));
        let reports = self.notices.next_due().map(|from| self.clock.instant(from));
        let wakes = [timer, reports, self.next_shutdown_step(), self.peers_next_due()];
        wakes.into_iter().flatten().min().unwrap_or_else(|| Instant::now() + SWEEP_INTERVAL)
    }
}
