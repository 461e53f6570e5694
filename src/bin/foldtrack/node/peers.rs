//! Connects the event loop with the replicated state of a site's peers. Orders are published as
//! facts; what the facts of all peers add up to is applied here through the same orders that an
//! operator gives.

use super::Node;
use crate::events::{LoopEvent, SiteRequest, SubmitReply};
use crate::list::ServerList;
use crate::message::Message;
use crate::peers::PeerIo;
use foldtrack_control::{Error, OrderResult, Peer, Peers as PeersView, SiteState, Statement};
use foldtrack_delivery::ListKind;
use foldtrack_ends::{FinalStatus, MessageOutcome};
use foldtrack_membership::{Change, EndpointState, Order, OrderError};
use foldtrack_peers::claims::{message_key, ClaimOutcome, ClaimResult, Effect, Key, RETENTION_MS};
use foldtrack_peers::fact::{Aspect, Fact, FactAction, Subject};
use foldtrack_peers::ledger::Presence;
use foldtrack_peers::orders::{Refusal, Settled};
use foldtrack_peers::{Output, Peers};
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, Instant};

/// Upper bound of the random extra time added to a hold, as a share of the hold.
const MAX_HOLD_JITTER: f64 = 0.25;
/// Retry delay told to a client whose message is being claimed on another connection.
const CLAIM_RETRY_MS: u64 = 300;
/// Number of outcomes read at a time when ids are checked after a start.
const OUTCOMES_PER_READ: usize = 500;
/// Two expiry times of a block count as equal if they are no further apart than this.
const EXPIRY_TOLERANCE_MS: u64 = 1_000;
/// Maximum number of statements in one reply.
const MAX_STATEMENTS: usize = 4_000;

/// The event loop's view of the peers.
pub(super) struct PeerState {
    peers: Peers,
    io: PeerIo,
    pending_orders: HashMap<u64, PendingOrder>,
    next_order: u64,
    /// Messages whose ids are being claimed, with the replies that their clients wait for.
    pending_claims: HashMap<Key, PendingClaim>,
}

/// A submitted message that is accepted only once its id is claimed for this forwarder.
struct PendingClaim {
    message: Arc<Message>,
    from_known_client: bool,
    reply: oneshot::Sender<SubmitReply>,
}

/// An order whose operator waits for the reply.
struct PendingOrder {
    /// None for a network: blocks are not part of the membership.
    order: Option<(Order, Change)>,
    reply: oneshot::Sender<Result<OrderResult, Error>>,
}

impl PeerState {
    pub fn new(peers: Peers, io: PeerIo) -> Box<PeerState> {
        Box::new(PeerState {
            peers,
            io,
            pending_orders: HashMap::new(),
            next_order: 1,
            pending_claims: HashMap::new(),
        })
    }
}

/// The fact that an order publishes: its subject and action.
fn fact_of_order(order: &Order) -> (Subject, FactAction) {
    let endpoint = |name: &String| Subject::Endpoint(name.clone());
    let partner = |name: &String| Subject::Partner(name.clone());
    match order {
        Order::Drain { endpoint: name } => (endpoint(name), FactAction::Close { for_ms: 0 }),
        Order::Resume { endpoint: name } => (endpoint(name), FactAction::Open),
        Order::PausePartner { partner: name } => (partner(name), FactAction::Close { for_ms: 0 }),
        Order::ResumePartner { partner: name } => (partner(name), FactAction::Open),
        Order::Remove { endpoint: name } => (endpoint(name), FactAction::Remove),
        Order::Add { partner, endpoint: name, address } => {
            (endpoint(name), FactAction::Add { partner: partner.clone(), address: *address })
        }
    }
}

fn refused(refusal: &Refusal) -> Error {
    let code = if matches!(refusal, Refusal::NoMajority { .. }) { "no_majority" } else { "refused" };
    Error { code: code.into(), text: refusal.to_string() }
}

impl Node {
    /// Milliseconds of the process's clock, the unit of the peers' state machine.
    fn now_ms(&self) -> u64 {
        self.clock.now() / 1000
    }

    /// Called before the loop runs: publishes what was ordered while this forwarder ran alone, and
    /// applies the ledger.
    pub(super) fn start_peers(&mut self) {
        let now = self.now_ms();
        let at = self.clock.unix_time(self.clock.now());
        let imports = self.local_orders();
        let Some(peer_state) = &mut self.peers else { return };
        // A block that survived the process has its remaining time in its own record.
        for (network, left) in peer_state.io.blocks.active() {
            peer_state.peers.set_remaining_closure(&Subject::Network(network.to_string()), left);
        }
        if peer_state.peers.ledger().is_empty() {
            for (subject, action) in imports {
                if let Err(refusal) = peer_state.peers.import(now, at, subject, action) {
                    peer_state.io.report("not_stated", &refusal.to_string());
                }
            }
        }
        let subjects = peer_state.peers.ledger().subjects();
        for subject in subjects {
            self.apply_facts(&subject);
        }
        self.step_peers();
    }

    /// Waits until this forwarder has caught up with its peers, or has waited long enough. Before
    /// that it would call endpoints that were drained while it was away, and repeat messages that
    /// are unsent only in an older copy of its state folder. Other events that arrive meanwhile are
    /// kept for the loop.
    pub(super) async fn wait_for_peers(
        &mut self, receiver: &mut UnboundedReceiver<LoopEvent>, deferred: &mut Vec<LoopEvent>,
    ) {
        while self.peers.as_ref().is_some_and(|s| !s.io.ready.load(Ordering::Relaxed)) {
            let due = self.peers_next_due().unwrap_or_else(Instant::now);
            tokio::select! {
                event = receiver.recv() => match event {
                    Some(
                        event @ (LoopEvent::Datagram(_)
                        | LoopEvent::PeerRecordsStored(_)
                        | LoopEvent::SiteRequest(SiteRequest::Peers { .. } | SiteRequest::State { .. })),
                    ) => self.handle_event(event),
                    Some(event) => {
                        let terminated = matches!(event, LoopEvent::Terminate);
                        deferred.push(event);
                        if terminated {
                            return;
                        }
                    }
                    None => return,
                },
                () = sleep_until(due) => {}
            }
            self.step_peers();
        }
    }

    /// Whether this forwarder runs on an older copy of its state folder.
    pub(super) fn has_stale_folder(&self) -> bool {
        self.peers.as_ref().is_some_and(|s| s.peers.has_stale_state())
    }

    /// The orders that distinguish this forwarder's list from its site file, as facts.
    fn local_orders(&self) -> Vec<(Subject, FactAction)> {
        let Some(state) = self.membership.state() else { return Vec::new() };
        let mut statements = Vec::new();
        for (name, endpoint) in state.endpoints() {
            let subject = Subject::Endpoint(name.clone());
            let listed = state.site().endpoints.get(name);
            if listed.is_none_or(|l| l.address != endpoint.address || l.partner != endpoint.partner) {
                let action = FactAction::Add { partner: endpoint.partner.clone(), address: endpoint.address };
                statements.push((subject.clone(), action));
            }
            if endpoint.state == EndpointState::Draining {
                statements.push((subject, FactAction::Close { for_ms: 0 }));
            }
        }
        let removed = state.site().endpoints.keys().filter(|name| !state.endpoints().contains_key(*name));
        statements.extend(removed.map(|name| (Subject::Endpoint(name.clone()), FactAction::Remove)));
        let paused = state.partners().iter().filter(|(_, p)| p.paused);
        let blocks = self.peers.iter().flat_map(|peer_state| peer_state.io.blocks.active());
        let blocks = blocks.filter(|(_, left)| *left > 0);
        statements.extend(
            blocks.map(|(network, for_ms)| {
                (Subject::Network(network.to_string()), FactAction::Close { for_ms })
            }),
        );
        statements
            .extend(paused.map(|(n, _)| (Subject::Partner(n.clone()), FactAction::Close { for_ms: 0 })));
        statements
    }

    /// Handles a datagram; the outputs follow in the same iteration.
    pub(super) fn handle_datagram(&mut self, bytes: &[u8]) {
        let now = self.now_ms();
        let Some(peer_state) = &mut self.peers else { return };
        peer_state.io.datagram_dequeued();
        peer_state.peers.datagram(now, bytes);
    }

    /// Records up to this ticket are stored.
    pub(super) fn peer_records_stored(&mut self, ticket: u64) {
        let now = self.now_ms();
        if let Some(peer_state) = &mut self.peers {
            peer_state.peers.persisted(now, ticket);
        }
    }

    /// Tells the peers that this forwarder is leaving.
    pub(super) fn leave_peers(&mut self) {
        let now = self.now_ms();
        if let Some(peer_state) = &mut self.peers {
            peer_state.peers.leave(now);
        }
    }

    /// When the peers' state machine is due next.
    pub(super) fn peers_next_due(&self) -> Option<Instant> {
        let peer_state = self.peers.as_ref()?;
        // Rounded up to the next millisecond.
        Some(self.clock.instant((peer_state.peers.due() + 1) * 1000))
    }

    /// Runs the peers' state machine if it is due, and carries out its outputs before this
    /// iteration's decisions.
    pub(super) fn step_peers(&mut self) {
        let now = self.now_ms();
        let Some(peer_state) = &mut self.peers else { return };
        if peer_state.peers.due() <= now {
            peer_state.peers.tick(now);
        }
        let ready = peer_state.peers.is_ready(now);
        peer_state.io.ready.store(ready, Ordering::Relaxed);
        for output in peer_state.peers.outputs() {
            let Some(peer_state) = &mut self.peers else { return };
            match output {
                Output::Send(to, bytes) => peer_state.io.send(to, &bytes),
                Output::Persist(ticket, records) => peer_state.io.persist(ticket, records),
                Output::SubjectChanged(subject) => self.apply_facts(&subject),
                Output::PersistClaims(records) => {
                    let (peers, io) = (&peer_state.peers, &mut peer_state.io);
                    io.persist_claims(&records, || peers.claim_snapshot());
                }
                Output::ClaimLogComplete(whole) => {
                    peer_state.io.set_claim_log_complete(whole, &peer_state.peers.claim_snapshot())
                }
                Output::HoldPartner(partner, until) => self.hold_partner(partner, until * 1000),
                Output::Claim(key, result) => self.claim_settled(key, result),
                Output::Discarded(fact) => self.store_discarded_fact(&fact),
                Output::Settled(number, result) => self.order_settled(number, result),
                Output::Event(event) => peer_state.io.report(event.kind, &event.text),
            }
        }
    }

    /// Handles an operator's order. An order that closes something takes effect at once; one that
    /// opens something takes effect once a majority has reported what it knows. The reply is sent
    /// when the order is stored here and at one other peer, or after a timeout.
    pub(super) fn publish_order(&mut self, order: Order, reply: oneshot::Sender<Result<OrderResult, Error>>) {
        let validated = self.membership.validate(&order);
        let change = match validated {
            Ok(change) => change,
            Err(trouble) => return drop(reply.send(Err(Self::order_error(&trouble)))),
        };
        if change == Change::Unchanged {
            return drop(reply.send(Ok(self.order_reply(&order, change))));
        }
        let (subject, action) = fact_of_order(&order);
        self.publish_fact(subject, action, Some((order, change)), reply);
    }

    /// Publishes a fact for an operator who waits for the reply. `order` is none for a network,
    /// because blocks are not part of the membership.
    fn publish_fact(
        &mut self, subject: Subject, action: FactAction, order: Option<(Order, Change)>,
        reply: oneshot::Sender<Result<OrderResult, Error>>,
    ) {
        let (now, at) = (self.now_ms(), self.clock.unix_time(self.clock.now()));
        let Some(peer_state) = &mut self.peers else { return };
        let number = peer_state.next_order;
        peer_state.next_order += 1;
        let published = if action.is_restrictive() {
            peer_state.peers.order_restrictive(now, number, at, subject, action).map(drop)
        } else {
            peer_state.peers.order_permissive(now, number, at, subject, action);
            Ok(())
        };
        match published {
            Ok(()) => {
                peer_state.pending_orders.insert(number, PendingOrder { order, reply });
                self.step_peers();
            }
            // It takes effect here all the same: nothing may be sent where an operator has
            // forbidden it.
            Err(refusal) => {
                if let Some((order, _)) = &order {
                    self.apply_local_order(order);
                }
                let text = format!("it is in force at this forwarder only: {refusal}");
                drop(reply.send(Err(Error { text, ..refused(&refusal) })));
            }
        }
    }

    /// Publishes the block of a network, or its end, to the peers. A block already holds here.
    pub(super) fn publish_block(
        &mut self, network: String, for_ms: Option<u64>, reply: oneshot::Sender<Result<OrderResult, Error>>,
    ) {
        let Some(peer_state) = &self.peers else { return drop(reply.send(Ok(OrderResult::default()))) };
        let subject = Subject::Network(network);
        let action = match for_ms {
            Some(for_ms) => FactAction::Close { for_ms },
            None if peer_state.peers.subject_state(&subject).closed.is_none() => {
                return drop(reply.send(Ok(OrderResult::default())));
            }
            None => FactAction::Open,
        };
        self.publish_fact(subject, action, None, reply);
    }

    /// Blocks a network here for as long as the peers do, or unblocks it.
    fn apply_network_facts(&mut self, subject: &Subject) {
        let Some(peer_state) = &self.peers else { return };
        let Ok(network) = foldtrack_site::check::parse_network(subject.name()) else { return };
        let effective = peer_state.peers.subject_state(subject);
        if effective.closed.is_none() {
            if effective.opened && peer_state.io.blocks.remove(&network) {
                peer_state.io.blocks.save_in_background();
            }
            return;
        }
        let left = peer_state.peers.remaining_closure_ms(subject);
        let standing = peer_state.io.blocks.active();
        if standing
            .iter()
            .any(|(known, for_ms)| *known == network && for_ms.abs_diff(left) < EXPIRY_TOLERANCE_MS)
        {
            return;
        }
        match peer_state.io.blocks.apply(network, left) {
            Ok(()) => peer_state.io.blocks.save_in_background(),
            Err(problem) => {
                self.report_event("no_effect", &format!("{network} is not blocked here: {problem}"))
            }
        }
    }

    /// Replies to the operator whose order has settled.
    fn order_settled(&mut self, number: u64, result: Result<Settled, Refusal>) {
        let Some(pending) = self.peers.as_mut().and_then(|s| s.pending_orders.remove(&number)) else {
            return;
        };
        let answer = match result {
            Ok(Settled { copies, others, .. }) => {
                let done = match &pending.order {
                    Some((order, change)) => self.order_reply(order, *change),
                    None => OrderResult { changed: true, ..OrderResult::default() },
                };
                Ok(OrderResult { copies: copies as u32, others: others as u32, ..done })
            }
            Err(refusal) => Err(refused(&refusal)),
        };
        // The operator may have disconnected.
        let _ = pending.reply.send(answer);
    }

    /// Appends a fact that was set aside to a file, one JSON object per line.
    fn store_discarded_fact(&mut self, fact: &Fact) {
        let Some(state) = self.site.as_ref().map(|s| s.state.clone()) else { return };
        let line = serde_json::json!(statement(fact, false)).to_string();
        tokio::task::spawn_blocking(move || {
            use std::io::Write;
            let path = state.join("peers-laid-aside.jsonl");
            let file = std::fs::OpenOptions::new().create(true).append(true).open(&path);
            if let Err(e) = file.and_then(|mut file| writeln!(file, "{line}")) {
                eprintln!("peers: {}: {e}: {line}", path.display());
            }
        });
    }

    /// Applies here what all facts about a subject add up to.
    fn apply_facts(&mut self, subject: &Subject) {
        let Some(peer_state) = &self.peers else { return };
        let effective = peer_state.peers.subject_state(subject);
        match subject {
            Subject::Endpoint(name) => {
                self.apply_presence(name, effective.presence.as_ref());
                let state = self.membership.state();
                let Some(now) = state.and_then(|s| s.endpoints().get(name)).map(|e| e.state) else { return };
                if effective.closed.is_some() && now == EndpointState::Active {
                    self.apply_local_order(&Order::Drain { endpoint: name.clone() });
                } else if effective.opened && now == EndpointState::Draining {
                    self.apply_local_order(&Order::Resume { endpoint: name.clone() });
                }
            }
            Subject::Partner(name) => {
                let state = self.membership.state();
                let Some(paused) = state.and_then(|s| s.partners().get(name)).map(|p| p.paused) else {
                    return;
                };
                if effective.closed.is_some() && !paused {
                    self.apply_local_order(&Order::PausePartner { partner: name.clone() });
                } else if effective.opened && paused {
                    self.apply_local_order(&Order::ResumePartner { partner: name.clone() });
                }
            }
            Subject::Network(_) => self.apply_network_facts(subject),
        }
    }

    /// Adds, moves or removes an endpoint according to the facts about it.
    fn apply_presence(&mut self, name: &str, presence: Option<&Presence>) {
        let current = self.membership.state().and_then(|s| s.endpoints().get(name));
        let current = current.map(|e| (e.partner.clone(), e.address));
        let endpoint = name.to_string();
        match (presence, current) {
            (Some(Presence::Removed), Some(_)) => self.apply_local_order(&Order::Remove { endpoint }),
            (Some(Presence::Added { partner, address }), current) => {
                if current.as_ref() == Some(&(partner.clone(), *address)) {
                    return;
                }
                if self.partner_protocols.exposes_secrets(partner, *address) {
                    let text = format!(
                        "{name} at {address} is not called from here: {partner} is called without TLS, and its secret \
                         would be sent in plain text"
                    );
                    return self.report_event("no_effect", &text);
                }
                if current.is_some() {
                    self.apply_local_order(&Order::Remove { endpoint: endpoint.clone() });
                }
                self.apply_local_order(&Order::Add { partner: partner.clone(), endpoint, address: *address });
            }
            _ => {}
        }
    }

    /// Reports an event to operators.
    fn report_event(&self, kind: &str, text: &str) {
        if let Some(peer_state) = &self.peers {
            peer_state.io.report(kind, text);
        }
    }

    /// Applies an order to the scheduler's list in this iteration. The ledger keeps it; the log has
    /// it as well, for a start without the peers.
    fn apply_local_order(&mut self, order: &Order) {
        let now = self.clock.unix_time(self.clock.now());
        match self.membership.apply_order(now, order) {
            Ok(Change::Applied) => {
                self.apply_list(self.membership.current_list(), ListKind::Full);
                self.record_closed(order);
            }
            Ok(Change::Unchanged) => {}
            Err(OrderError::Rejected(refusal)) => {
                // The site files differ. A fact about something that does not exist here is kept
                // until it does.
                self.report_event("no_effect", &format!("an order has no effect here: {refusal}"));
            }
            Err(trouble) => self.report_event("no_effect", &trouble.to_string()),
        }
    }

    /// Tells the peers that a partner has asked this forwarder to wait for this long, in
    /// microseconds.
    pub(super) fn share_wait(&mut self, partner: u32, wait: foldtrack_delivery::Micros) {
        let now = self.now_ms();
        if let Some(peer_state) = self.peers.as_mut().filter(|_| wait > 0) {
            peer_state.peers.share_wait(now, partner, wait / 1000);
        }
    }

    /// Holds calls to a partner until this time, because it has told another forwarder to wait. A
    /// random extra time keeps the forwarders from returning all at once.
    fn hold_partner(&mut self, partner: u32, until: foldtrack_delivery::Micros) {
        let span = until.saturating_sub(self.clock.now());
        let until = until + (span as f64 * MAX_HOLD_JITTER * fastrand::f64()) as foldtrack_delivery::Micros;
        let mut lines = self.membership.current_list().servers;
        lines.retain(|line| line.cell == partner);
        lines.iter_mut().for_each(|line| line.hold_until = until);
        let list = ServerList { servers: lines, ..ServerList::default() };
        self.apply_list(list, ListKind::Delta);
    }

    /// Claims the id of a message that must not be repeated freely; the submission continues in
    /// [`Node::claim_settled`]. Returns a message that needs no claim.
    pub(super) fn claim_id(
        &mut self, message: Arc<Message>, from_known_client: bool, reply: oneshot::Sender<SubmitReply>,
    ) -> Option<(Arc<Message>, oneshot::Sender<SubmitReply>)> {
        let now = self.now_ms();
        let class = &self.settings.settings.classes[message.class];
        let effect = match class.effect {
            foldtrack_delivery::Effect::Repeatable => return Some((message, reply)),
            foldtrack_delivery::Effect::Keyed => Effect::Keyed(class.dedup_window / 1000),
            foldtrack_delivery::Effect::Once => Effect::Once(class.deadline / 1000),
        };
        let Some(peer_state) = &mut self.peers else { return Some((message, reply)) };
        let id = message_key(&message.id);
        if peer_state.pending_claims.contains_key(&id) {
            // The message was submitted on two connections at once. The claim's result is the reply
            // to the other one.
            let _ = reply.send(SubmitReply::Refused { retry_in_ms: CLAIM_RETRY_MS });
            return None;
        }
        peer_state.pending_claims.insert(id, PendingClaim { message, from_known_client, reply });
        peer_state.peers.claim(now, id, effect);
        None
    }

    /// Continues a submission with the result of its claim.
    fn claim_settled(&mut self, id: Key, result: ClaimResult) {
        let Some(claim) = self.peers.as_mut().and_then(|s| s.pending_claims.remove(&id)) else { return };
        let PendingClaim { message, from_known_client, reply } = claim;
        let answer = match result {
            ClaimResult::Granted(left) => {
                let expires = self.clock.now() + 1000 * left;
                let message = if left > 0 && expires < message.expires {
                    Arc::new(Message { expires, ..Message::clone(&message) })
                } else {
                    message
                };
                return self.enqueue(message, from_known_client, reply);
            }
            ClaimResult::Held | ClaimResult::Delivered => SubmitReply::Duplicate { over: false },
            ClaimResult::Final => SubmitReply::Duplicate { over: true },
            ClaimResult::RetryAfter(wait) => match &mut self.site {
                Some(site) => site.refusal(wait),
                None => SubmitReply::Refused { retry_in_ms: wait },
            },
        };
        // The client may have disconnected.
        let _ = reply.send(answer);
    }

    /// Releases the id of a message that was not accepted after all: its client may submit it to
    /// any forwarder.
    pub(super) fn release_id(&mut self, id: &str) {
        self.report_claim_outcome(id, ClaimOutcome::HandedBack(0));
    }

    /// Tells the peers how a message ended.
    pub(super) fn report_id_ended(&mut self, id: &str, result: FinalStatus) {
        if self.peers.is_none() {
            return;
        }
        let outcome = self.claim_outcome(result);
        self.report_claim_outcome(id, outcome);
    }

    fn claim_outcome(&self, result: FinalStatus) -> ClaimOutcome {
        match result {
            FinalStatus::Delivered => ClaimOutcome::Delivered,
            FinalStatus::GivenUp | FinalStatus::InDoubt => ClaimOutcome::Final,
            FinalStatus::HandedBack { .. } => ClaimOutcome::HandedBack(0),
            FinalStatus::HandedBackUntil { until, .. } => {
                // 0 would mean without limit.
                ClaimOutcome::HandedBack(
                    (until.saturating_sub(self.clock.unix_time(self.clock.now())) / 1000).max(1),
                )
            }
        }
    }

    fn report_claim_outcome(&mut self, id: &str, outcome: ClaimOutcome) {
        let now = self.now_ms();
        if let Some(peer_state) = &mut self.peers {
            peer_state.peers.message_ended(now, message_key(id), outcome);
        }
    }

    /// After a start: compares what peers believe this forwarder to hold with the messages and
    /// outcomes that it has.
    pub(super) fn reconcile_ids(&mut self) {
        if self.peers.is_none() {
            return;
        }
        let classes = &self.settings.settings.classes;
        let held = self.messages.values();
        let held = held.filter(|h| classes[h.message.class].effect != foldtrack_delivery::Effect::Repeatable);
        let unix = self.clock.unix_time(self.clock.now());
        let names = &self.settings.class_names;
        let is_claimed = |class: &String| {
            let class = names.iter().position(|name| name == class);
            class.is_none_or(|n| classes[n].effect != foldtrack_delivery::Effect::Repeatable)
        };
        let held: Vec<Key> = held.map(|h| message_key(&h.message.id)).collect();
        let mut ended: Vec<(Key, ClaimOutcome)> = Vec::new();
        let mut cursor = 0;
        while let Some(fetched) =
            self.site.as_mut().and_then(|s| s.outcomes.fetch(cursor, OUTCOMES_PER_READ).ok())
        {
            if fetched.ends.is_empty() || fetched.cursor <= cursor {
                break;
            }
            cursor = fetched.cursor;
            let remembered = |end: &MessageOutcome| end.ended + 1000 * RETENTION_MS > unix;
            let recent = fetched.ends.iter().filter(|(_, end)| remembered(end) && is_claimed(&end.class));
            ended.extend(recent.map(|(_, end)| (message_key(&end.id), self.claim_outcome(end.result))));
        }
        let (now, complete) = (self.now_ms(), self.group_commit.waits_for_sync);
        if let Some(peer_state) = &mut self.peers {
            peer_state.peers.reconcile_claims(now, &held, &ended, complete);
        }
    }

    /// Confirms that a message is accepted here, for peers that ask about its id.
    pub(super) fn report_id_accepted(&mut self, id: &str) {
        if let Some(peer_state) = &mut self.peers {
            peer_state.peers.message_accepted(message_key(id));
        }
    }

    /// Answers requests for the state of the peers.
    pub(super) fn handle_peer_request(&mut self, request: SiteRequest) {
        match request {
            SiteRequest::Peers { reply } => drop(reply.send(self.peers_view())),
            SiteRequest::State { reply } => drop(reply.send(self.state_view())),
            _ => {}
        }
    }

    fn peers_view(&self) -> Option<PeersView> {
        let peer_state = self.peers.as_ref()?;
        let (now, p) = (self.now_ms(), &peer_state.peers);
        let (reachable, members) = p.reachable_members();
        let ((sent, sent_bytes), (received, received_bytes)) = p.traffic();
        let mut dropped: std::collections::BTreeMap<String, u64> =
            p.dropped_datagrams().iter().map(|(why, n)| (why.name().to_string(), *n)).collect();
        dropped.extend(
            (peer_state.io.queue_drops() > 0).then(|| ("crowded".into(), peer_state.io.queue_drops())),
        );
        let mode = match () {
            () if p.is_displaced() => "displaced",
            () if p.is_caught_up() => "caught_up",
            () if p.is_ready(now) => "alone",
            () => "catching_up",
        };
        let others = p.member_statuses(now).into_iter().map(|o| Peer {
            name: o.name,
            standing: o.standing.name().into(),
            for_ms: o.for_ms,
            start: o.start,
            heard_ms: o.heard_ms,
            same_ms: o.same_ms,
        });
        Some(PeersView {
            name: p.run().name.clone(),
            start: p.run().start,
            mode: mode.into(),
            there: reachable as u32,
            members: members as u32,
            majority: (members / 2 + 1) as u32,
            others: others.collect(),
            sent,
            sent_bytes,
            received,
            received_bytes,
            dropped,
            ids: p.claim_count() as u32,
            ids_known: p.knows_all_claims(now),
            unkept: peer_state.io.persist_error(),
        })
    }

    fn state_view(&self) -> Option<SiteState> {
        let peer_state = self.peers.as_ref()?;
        let ledger = peer_state.peers.ledger();
        let digest = ledger.digest().iter().fold(0u64, |sum, n| sum.rotate_left(5) ^ n);
        let mut statements = Vec::new();
        for subject in ledger.subjects() {
            let effective = ledger.subject_state(&subject);
            for fact in ledger.live_facts(&subject) {
                let holds = match (fact.action.aspect(), &fact.action) {
                    (Aspect::Flow, action) => action.is_restrictive() == effective.closed.is_some(),
                    (Aspect::Presence, FactAction::Add { partner, address }) => {
                        let at = Presence::Added { partner: partner.clone(), address: *address };
                        effective.presence == Some(at)
                    }
                    (Aspect::Presence, _) => effective.presence == Some(Presence::Removed),
                };
                statements.push(statement(&fact, holds));
            }
        }
        statements.truncate(MAX_STATEMENTS);
        Some(SiteState {
            name: peer_state.peers.run().name.clone(),
            digest: format!("{digest:016x}"),
            statements,
        })
    }
}

fn statement(fact: &Fact, holds: bool) -> Statement {
    let kind = match fact.subject {
        Subject::Endpoint(_) => "endpoint",
        Subject::Partner(_) => "partner",
        Subject::Network(_) => "network",
    };
    let detail = match &fact.action {
        FactAction::Add { partner, address } => format!("{partner} {address}"),
        FactAction::Close { for_ms: for_ms @ 1.. } => format!("for {} s", for_ms.div_ceil(1000)),
        _ => String::new(),
    };
    Statement {
        kind: kind.into(),
        subject: fact.subject.name().into(),
        word: fact.action.name().into(),
        holds,
        id: fact.dot.to_string(),
        at: fact.at,
        over: fact.supersedes.iter().map(ToString::to_string).collect(),
        detail,
    }
}
