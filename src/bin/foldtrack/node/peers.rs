//! What the forwarders of a site tell each other, carried out by the loop: orders go out as facts, and what holds by all
//! facts is brought about here, by the same orders that an operator gives.

use super::Node;
use crate::events::{LoopEvent, SiteRequest, SubmitReply};
use crate::list::ServerList;
use crate::message::Message;
use crate::peers::PeerIo;
use foldtrack_control::{Error, OrderResult, Peer, Peers as PeersReport, SiteState, Statement};
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

/// Part of a hold that is added to it at the most.
const HOLD_SPREAD: f64 = 0.25;
/// What a client is told whose message is being claimed on another connection.
const CLAIMING_WAIT_MS: u64 = 300;
/// Ends that are read at once, at a start.
const ENDS_AT_ONCE: usize = 500;
/// Two ends of a block that are no further apart are the same one.
const SAME_SPAN_MS: u64 = 1_000;
/// Statements in one answer at most.
const STATEMENTS: usize = 4_000;

/// The other forwarders, as the loop has them.
pub(super) struct Side {
    peers: Peers,
    io: PeerIo,
    orders: HashMap<u64, Pending>,
    next_order: u64,
    /// Messages whose ids are being claimed, and their clients.
    claiming: HashMap<Key, Claiming>,
}

/// A message that has been handed in, and is not taken on before its id is this forwarder's.
struct Claiming {
    message: Arc<Message>,
    known: bool,
    reply: oneshot::Sender<SubmitReply>,
}

/// An order whose operator waits.
struct Pending {
    /// None for one about a network, which is no member's.
    order: Option<(Order, Change)>,
    reply: oneshot::Sender<Result<OrderResult, Error>>,
}

impl Side {
    pub fn new(peers: Peers, io: PeerIo) -> Box<Side> {
        Box::new(Side { peers, io, orders: HashMap::new(), next_order: 1, claiming: HashMap::new() })
    }
}

/// An order as a statement.
fn stated(order: &Order) -> (Subject, FactAction) {
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
    fn ms(&self) -> u64 {
        self.clock.now() / 1000
    }

    /// Before the loop runs: what this forwarder held true alone is stated, and what the ledger says is brought about.
    pub(super) fn begin_peers(&mut self) {
        let now = self.ms();
        let at = self.clock.unix_time(self.clock.now());
        let imports = self.own_statements();
        let Some(side) = &mut self.peers else { return };
        // Of a block that outlived the process its own record tells what is left.
        for (network, left) in side.io.blocks.active() {
            side.peers.set_remaining_closure(&Subject::Network(network.to_string()), left);
        }
        if side.peers.ledger().is_empty() {
            for (subject, word) in imports {
                if let Err(refusal) = side.peers.import(now, at, subject, word) {
                    side.io.report("not_stated", &refusal.to_string());
                }
            }
        }
        let subjects = side.peers.ledger().subjects();
        for subject in subjects {
            self.project(&subject);
        }
        self.step_peers();
    }

    /// Waits until this forwarder has what the others have, or has waited long enough: before that it would call what was
    /// drained while it was away, and send again what an older copy of its folder holds to be unsent. What comes meanwhile
    /// is kept for the loop.
    pub(super) async fn join_peers(
        &mut self, receiver: &mut UnboundedReceiver<LoopEvent>, later: &mut Vec<LoopEvent>,
    ) {
        while self.peers.as_ref().is_some_and(|s| !s.io.ready.load(Ordering::Relaxed)) {
            let due = self.peers_due().unwrap_or_else(Instant::now);
            tokio::select! {
                input = receiver.recv() => match input {
                    Some(
                        input @ (LoopEvent::Datagram(_)
                        | LoopEvent::PeerRecordsStored(_)
                        | LoopEvent::SiteRequest(SiteRequest::Peers { .. } | SiteRequest::State { .. })),
                    ) => self.take_in(input),
                    Some(input) => {
                        let ends = matches!(input, LoopEvent::Terminate);
                        later.push(input);
                        if ends {
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

    /// Whether this forwarder runs on an older copy of its folder.
    pub(super) fn has_old_state(&self) -> bool {
        self.peers.as_ref().is_some_and(|s| s.peers.has_stale_state())
    }

    /// What orders have made of this forwarder's list, beside what its site file says.
    fn own_statements(&self) -> Vec<(Subject, FactAction)> {
        let Some(state) = self.membership.state() else { return Vec::new() };
        let mut statements = Vec::new();
        for (name, endpoint) in state.endpoints() {
            let subject = Subject::Endpoint(name.clone());
            let listed = state.site().endpoints.get(name);
            if listed.is_none_or(|l| l.address != endpoint.address || l.partner != endpoint.partner) {
                let word = FactAction::Add { partner: endpoint.partner.clone(), address: endpoint.address };
                statements.push((subject.clone(), word));
            }
            if endpoint.state == EndpointState::Draining {
                statements.push((subject, FactAction::Close { for_ms: 0 }));
            }
        }
        let removed = state.site().endpoints.keys().filter(|name| !state.endpoints().contains_key(*name));
        statements.extend(removed.map(|name| (Subject::Endpoint(name.clone()), FactAction::Remove)));
        let paused = state.partners().iter().filter(|(_, p)| p.paused);
        let blocks = self.peers.iter().flat_map(|side| side.io.blocks.active());
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

    /// Takes a datagram in; what follows from it is carried out with the round.
    pub(super) fn datagram(&mut self, bytes: &[u8]) {
        let now = self.ms();
        let Some(side) = &mut self.peers else { return };
        side.io.datagram_dequeued();
        side.peers.datagram(now, bytes);
    }

    pub(super) fn peers_kept(&mut self, ticket: u64) {
        let now = self.ms();
        if let Some(side) = &mut self.peers {
            side.peers.persisted(now, ticket);
        }
    }

    /// Tells the others that this forwarder goes.
    pub(super) fn leave_peers(&mut self) {
        let now = self.ms();
        if let Some(side) = &mut self.peers {
            side.peers.leave(now);
        }
    }

    /// When something is to be done for the others next.
    pub(super) fn peers_due(&self) -> Option<Instant> {
        let side = self.peers.as_ref()?;
        // One more, since a part of a millisecond is none.
        Some(self.clock.instant((side.peers.due() + 1) * 1000))
    }

    /// Does what is due, and carries out what the module says, before this round's decisions are made.
    pub(super) fn step_peers(&mut self) {
        let now = self.ms();
        let Some(side) = &mut self.peers else { return };
        if side.peers.due() <= now {
            side.peers.tick(now);
        }
        let ready = side.peers.is_ready(now);
        side.io.ready.store(ready, Ordering::Relaxed);
        for output in side.peers.outputs() {
            let Some(side) = &mut self.peers else { return };
            match output {
                Output::Send(to, bytes) => side.io.send(to, &bytes),
                Output::Persist(ticket, records) => side.io.persist(ticket, records),
                Output::SubjectChanged(subject) => self.project(&subject),
                Output::PersistClaims(records) => {
                    let (peers, io) = (&side.peers, &mut side.io);
                    io.persist_claims(&records, || peers.claim_snapshot());
                }
                Output::ClaimLogComplete(whole) => {
                    side.io.set_claim_log_complete(whole, &side.peers.claim_snapshot())
                }
                Output::HoldPartner(partner, until) => self.hold(partner, until * 1000),
                Output::Claim(key, verdict) => self.claimed(key, verdict),
                Output::Discarded(fact) => self.lay_aside(&fact),
                Output::Settled(number, result) => self.settled(number, result),
                Output::Event(event) => side.io.report(event.kind, &event.text),
            }
        }
    }

    /// An order of an operator. What makes things safer holds at once; the opposite once a majority has told what it knows.
    /// The answer comes when it is kept here and at another, or when that has been waited for long enough.
    pub(super) fn order_among_peers(
        &mut self, order: Order, reply: oneshot::Sender<Result<OrderResult, Error>>,
    ) {
        let judged = self.membership.validate(&order);
        let change = match judged {
            Ok(change) => change,
            Err(trouble) => return drop(reply.send(Err(Self::trouble(&trouble)))),
        };
        if change == Change::Unchanged {
            return drop(reply.send(Ok(self.done(&order, change))));
        }
        let (subject, word) = stated(&order);
        self.state_among_peers(subject, word, Some((order, change)), reply);
    }

    /// States a word for an operator who waits; `order` is none for one about a network, which is no member's.
    fn state_among_peers(
        &mut self, subject: Subject, word: FactAction, order: Option<(Order, Change)>,
        reply: oneshot::Sender<Result<OrderResult, Error>>,
    ) {
        let (now, at) = (self.ms(), self.clock.unix_time(self.clock.now()));
        let Some(side) = &mut self.peers else { return };
        let number = side.next_order;
        side.next_order += 1;
        let stated = if word.is_restrictive() {
            side.peers.order_restrictive(now, number, at, subject, word).map(drop)
        } else {
            side.peers.order_permissive(now, number, at, subject, word);
            Ok(())
        };
        match stated {
            Ok(()) => {
                side.orders.insert(number, Pending { order, reply });
                self.step_peers();
            }
            // Here it holds all the same: nothing must go where an operator has said that nothing goes.
            Err(refusal) => {
                if let Some((order, _)) = &order {
                    self.carry_out_order(order);
                }
                let text = format!("it holds at this forwarder alone: {refusal}");
                drop(reply.send(Err(Error { text, ..refused(&refusal) })));
            }
        }
    }

    /// A network that is blocked here, or is to be let in again, is so at the others as well. A block holds at this one already.
    pub(super) fn network_among_peers(
        &mut self, network: String, for_ms: Option<u64>, reply: oneshot::Sender<Result<OrderResult, Error>>,
    ) {
        let Some(side) = &self.peers else { return drop(reply.send(Ok(OrderResult::default()))) };
        let subject = Subject::Network(network);
        let word = match for_ms {
            Some(for_ms) => FactAction::Close { for_ms },
            None if side.peers.subject_state(&subject).closed.is_none() => {
                return drop(reply.send(Ok(OrderResult::default())));
            }
            None => FactAction::Open,
        };
        self.state_among_peers(subject, word, None, reply);
    }

    /// Blocks a network here for as long as the others do, or lets it in again.
    fn project_network(&mut self, subject: &Subject) {
        let Some(side) = &self.peers else { return };
        let Ok(network) = foldtrack_site::check::parse_network(subject.name()) else { return };
        let verdict = side.peers.subject_state(subject);
        if verdict.closed.is_none() {
            if verdict.opened && side.io.blocks.remove(&network) {
                side.io.blocks.save_in_background();
            }
            return;
        }
        let left = side.peers.remaining_closure_ms(subject);
        let standing = side.io.blocks.active();
        if standing.iter().any(|(known, for_ms)| *known == network && for_ms.abs_diff(left) < SAME_SPAN_MS) {
            return;
        }
        match side.io.blocks.apply(network, left) {
            Ok(()) => side.io.blocks.save_in_background(),
            Err(problem) => self.tell("no_effect", &format!("{network} is not blocked here: {problem}")),
        }
    }

    fn settled(&mut self, number: u64, result: Result<Settled, Refusal>) {
        let Some(pending) = self.peers.as_mut().and_then(|s| s.orders.remove(&number)) else { return };
        let told = match result {
            Ok(Settled { copies, others, .. }) => {
                let done = match &pending.order {
                    Some((order, change)) => self.done(order, *change),
                    None => OrderResult { changed: true, ..OrderResult::default() },
                };
                Ok(OrderResult { copies: copies as u32, others: others as u32, ..done })
            }
            Err(refusal) => Err(refused(&refusal)),
        };
        // Whoever asked may have gone.
        let _ = pending.reply.send(told);
    }

    /// Keeps what was laid aside in a file, a line each.
    fn lay_aside(&mut self, fact: &Fact) {
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

    /// Brings about here what holds for a subject by all facts.
    fn project(&mut self, subject: &Subject) {
        let Some(side) = &self.peers else { return };
        let verdict = side.peers.subject_state(subject);
        match subject {
            Subject::Endpoint(name) => {
                self.project_presence(name, verdict.presence.as_ref());
                let state = self.membership.state();
                let Some(now) = state.and_then(|s| s.endpoints().get(name)).map(|e| e.state) else { return };
                if verdict.closed.is_some() && now == EndpointState::Active {
                    self.carry_out_order(&Order::Drain { endpoint: name.clone() });
                } else if verdict.opened && now == EndpointState::Draining {
                    self.carry_out_order(&Order::Resume { endpoint: name.clone() });
                }
            }
            Subject::Partner(name) => {
                let state = self.membership.state();
                let Some(paused) = state.and_then(|s| s.partners().get(name)).map(|p| p.paused) else {
                    return;
                };
                if verdict.closed.is_some() && !paused {
                    self.carry_out_order(&Order::PausePartner { partner: name.clone() });
                } else if verdict.opened && paused {
                    self.carry_out_order(&Order::ResumePartner { partner: name.clone() });
                }
            }
            Subject::Network(_) => self.project_network(subject),
        }
    }

    fn project_presence(&mut self, name: &str, presence: Option<&Presence>) {
        let there = self.membership.state().and_then(|s| s.endpoints().get(name));
        let there = there.map(|e| (e.partner.clone(), e.address));
        let endpoint = name.to_string();
        match (presence, there) {
            (Some(Presence::Removed), Some(_)) => self.carry_out_order(&Order::Remove { endpoint }),
            (Some(Presence::Added { partner, address }), there) => {
                if there.as_ref() == Some(&(partner.clone(), *address)) {
                    return;
                }
                if self.partner_protocols.exposes_secrets(partner, *address) {
                    let text = format!(
                        "{name} at {address} is not called from here: {partner} is spoken to without TLS, and its \
                         secret would go over the wire in plain text"
                    );
                    return self.tell("no_effect", &text);
                }
                if there.is_some() {
                    self.carry_out_order(&Order::Remove { endpoint: endpoint.clone() });
                }
                self.carry_out_order(&Order::Add { partner: partner.clone(), endpoint, address: *address });
            }
            _ => {}
        }
    }

    fn tell(&self, kind: &str, text: &str) {
        if let Some(side) = &self.peers {
            side.io.report(kind, text);
        }
    }

    /// Carries an order out in the list that the module goes by, within this round. The ledger keeps it; the log has it so
    /// that a start without the others goes by it too.
    fn carry_out_order(&mut self, order: &Order) {
        let now = self.clock.unix_time(self.clock.now());
        match self.membership.apply_order(now, order) {
            Ok(Change::Applied) => {
                self.list(self.membership.known(), ListKind::Full);
                self.note_closed(order);
            }
            Ok(Change::Unchanged) => {}
            Err(OrderError::Rejected(refusal)) => {
                // The site files differ: what was said of something that is not there here is kept for when it is.
                self.tell("no_effect", &format!("an order has no effect here: {refusal}"));
            }
            Err(trouble) => self.tell("no_effect", &trouble.to_string()),
        }
    }

    /// A partner has told this forwarder to wait for so long.
    pub(super) fn told_to_wait(&mut self, partner: u32, wait: foldtrack_delivery::Micros) {
        let now = self.ms();
        if let Some(side) = self.peers.as_mut().filter(|_| wait > 0) {
            side.peers.share_wait(now, partner, wait / 1000);
        }
    }

    /// Nothing goes to a partner until then: it has told another forwarder to wait. A little longer by chance, so that not all
    /// of them come back at once.
    fn hold(&mut self, partner: u32, until: foldtrack_delivery::Micros) {
        let span = until.saturating_sub(self.clock.now());
        let until = until + (span as f64 * HOLD_SPREAD * fastrand::f64()) as foldtrack_delivery::Micros;
        let mut lines = self.membership.known().servers;
        lines.retain(|line| line.cell == partner);
        lines.iter_mut().for_each(|line| line.hold_until = until);
        let list = ServerList { servers: lines, ..ServerList::default() };
        self.list(list, ListKind::Delta);
    }

    /// Claims the id of a message that must not be repeated at will. The rest of handing it in comes once it is this
    /// forwarder's; gives back what needs no claim.
    pub(super) fn claim(
        &mut self, message: Arc<Message>, known: bool, reply: oneshot::Sender<SubmitReply>,
    ) -> Option<(Arc<Message>, oneshot::Sender<SubmitReply>)> {
        let now = self.ms();
        let class = &self.settings.settings.classes[message.class];
        let effect = match class.effect {
            foldtrack_delivery::Effect::Repeatable => return Some((message, reply)),
            foldtrack_delivery::Effect::Keyed => Effect::Keyed(class.dedup_window / 1000),
            foldtrack_delivery::Effect::Once => Effect::Once(class.deadline / 1000),
        };
        let Some(side) = &mut self.peers else { return Some((message, reply)) };
        let id = message_key(&message.id);
        if side.claiming.contains_key(&id) {
            // Handed in on two connections at once: the other one is answered by what comes of it.
            let _ = reply.send(SubmitReply::Refused { retry_in_ms: CLAIMING_WAIT_MS });
            return None;
        }
        side.claiming.insert(id, Claiming { message, known, reply });
        side.peers.claim(now, id, effect);
        None
    }

    /// What has come of a claim.
    fn claimed(&mut self, id: Key, verdict: ClaimResult) {
        let Some(claiming) = self.peers.as_mut().and_then(|s| s.claiming.remove(&id)) else { return };
        let Claiming { message, known, reply } = claiming;
        let answer = match verdict {
            ClaimResult::Granted(left) => {
                let expires = self.clock.now() + 1000 * left;
                let message = if left > 0 && expires < message.expires {
                    Arc::new(Message { expires, ..Message::clone(&message) })
                } else {
                    message
                };
                return self.take_on(message, known, reply);
            }
            ClaimResult::Held | ClaimResult::Delivered => SubmitReply::Duplicate { over: false },
            ClaimResult::Final => SubmitReply::Duplicate { over: true },
            ClaimResult::RetryAfter(wait) => match &mut self.site {
                Some(site) => site.full(wait),
                None => SubmitReply::Refused { retry_in_ms: wait },
            },
        };
        // Its client may have gone.
        let _ = reply.send(answer);
    }

    /// A message was not taken on after all: its client may hand it in anywhere.
    pub(super) fn let_go_of_id(&mut self, id: &str) {
        self.tell_end(id, ClaimOutcome::HandedBack(0));
    }

    /// A message has ended.
    pub(super) fn id_ended(&mut self, id: &str, result: FinalStatus) {
        if self.peers.is_none() {
            return;
        }
        let word = self.end_word(result);
        self.tell_end(id, word);
    }

    fn end_word(&self, result: FinalStatus) -> ClaimOutcome {
        match result {
            FinalStatus::Delivered => ClaimOutcome::Delivered,
            FinalStatus::GivenUp | FinalStatus::InDoubt => ClaimOutcome::Final,
            FinalStatus::HandedBack { .. } => ClaimOutcome::HandedBack(0),
            FinalStatus::HandedBackUntil { until, .. } => {
                // 0 stands for without bound.
                ClaimOutcome::HandedBack(
                    (until.saturating_sub(self.clock.unix_time(self.clock.now())) / 1000).max(1),
                )
            }
        }
    }

    fn tell_end(&mut self, id: &str, word: ClaimOutcome) {
        let now = self.ms();
        if let Some(side) = &mut self.peers {
            side.peers.message_ended(now, message_key(id), word);
        }
    }

    /// After a start: whatever others believe this forwarder to hold, and what it truly has.
    pub(super) fn recheck_ids(&mut self) {
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
        while let Some(fetched) = self.site.as_mut().and_then(|s| s.ends.fetch(cursor, ENDS_AT_ONCE).ok()) {
            if fetched.ends.is_empty() || fetched.cursor <= cursor {
                break;
            }
            cursor = fetched.cursor;
            let remembered = |end: &MessageOutcome| end.ended + 1000 * RETENTION_MS > unix;
            let told = fetched.ends.iter().filter(|(_, end)| remembered(end) && is_claimed(&end.class));
            ended.extend(told.map(|(_, end)| (message_key(&end.id), self.end_word(end.result))));
        }
        let (now, whole) = (self.ms(), self.durable.syncs);
        if let Some(side) = &mut self.peers {
            side.peers.reconcile_claims(now, &held, &ended, whole);
        }
    }

    /// A message is this forwarder's: whoever asks for it hears so.
    pub(super) fn id_taken(&mut self, id: &str) {
        if let Some(side) = &mut self.peers {
            side.peers.message_accepted(message_key(id));
        }
    }

    /// What people are shown.
    pub(super) fn asked_of_peers(&mut self, ask: SiteRequest) {
        match ask {
            SiteRequest::Peers { reply } => drop(reply.send(self.show_peers())),
            SiteRequest::State { reply } => drop(reply.send(self.show_state())),
            _ => {}
        }
    }

    fn show_peers(&self) -> Option<PeersReport> {
        let side = self.peers.as_ref()?;
        let (now, p) = (self.ms(), &side.peers);
        let (there, members) = p.reachable_members();
        let ((sent, sent_bytes), (received, received_bytes)) = p.traffic();
        let mut dropped: std::collections::BTreeMap<String, u64> =
            p.dropped_datagrams().iter().map(|(why, n)| (why.name().to_string(), *n)).collect();
        dropped.extend((side.io.queue_drops() > 0).then(|| ("crowded".into(), side.io.queue_drops())));
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
        Some(PeersReport {
            name: p.run().name.clone(),
            start: p.run().start,
            mode: mode.into(),
            there: there as u32,
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
            unkept: side.io.persist_error(),
        })
    }

    fn show_state(&self) -> Option<SiteState> {
        let side = self.peers.as_ref()?;
        let ledger = side.peers.ledger();
        let digest = ledger.digest().iter().fold(0u64, |sum, n| sum.rotate_left(5) ^ n);
        let mut statements = Vec::new();
        for subject in ledger.subjects() {
            let verdict = ledger.subject_state(&subject);
            for fact in ledger.live_facts(&subject) {
                let holds = match (fact.action.aspect(), &fact.action) {
                    (Aspect::Flow, word) => word.is_restrictive() == verdict.closed.is_some(),
                    (Aspect::Presence, FactAction::Add { partner, address }) => {
                        let at = Presence::Added { partner: partner.clone(), address: *address };
                        verdict.presence == Some(at)
                    }
                    (Aspect::Presence, _) => verdict.presence == Some(Presence::Removed),
                };
                statements.push(statement(&fact, holds));
            }
        }
        statements.truncate(STATEMENTS);
        Some(SiteState { name: side.peers.run().name.clone(), digest: format!("{digest:016x}"), statements })
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
