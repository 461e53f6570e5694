//! The state machine of one forwarder among its peers, without I/O: time, datagrams and local orders come
//! in, [`Output`]s go out.
//!
//! One owner calls it: [`Peers::datagram`] for each datagram received, [`Peers::tick`] when [`Peers::due`]
//! has passed, and [`Peers::outputs`] after either. Times are in milliseconds on one monotonic clock.

use crate::claims::{self, ClaimRecord, ClaimReply, Claims, Key, Owner, OwnerStatus};
use crate::fact::{Dot, Fact, FactAction, Run, Subject, MAX_SUPERSEDED};
use crate::hints::{self, WaitHints};
use crate::ledger::{InsertResult, Ledger, RunRange, SubjectState, Watermarks, BUCKETS};
use crate::members::{DetectorActions, MemberId, Members, ProbeTimings, Standing};
use crate::orders::{PendingOrders, Refusal, Settled};
use crate::seal::{DropReason, Header, Kind, ReplayWindow, Sealer, MAX_PAYLOAD};
use crate::wire::{pack, unpack, Message, WelcomeInfo};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Average interval between ledger comparisons with a random member, in milliseconds.
const DIGEST_INTERVAL_MS: u64 = 1_000;
/// Interval while the ledgers differ, in milliseconds.
const DIGEST_RETRY_MS: u64 = 200;
/// Number of members that are sent a digest at once by a member that has received a new fact, so that facts
/// get around a broken link.
const DIGEST_FANOUT: usize = 2;
/// Base delay between pushes of an unacknowledged fact, in milliseconds. It doubles with each attempt.
const PUSH_DELAY_MS: u64 = 60;
/// Maximum delay between two pushes, in milliseconds.
const MAX_PUSH_DELAY_MS: u64 = 1_000;
/// Maximum number of pushes of one fact.
const MAX_PUSHES: u32 = 12;
/// Interval between hellos to a member without a known session or that has been silent for too long, in
/// milliseconds.
const HELLO_INTERVAL_MS: u64 = 500;
/// A member not heard for longer than this is silent, in milliseconds.
const SILENT_AFTER_MS: u64 = 10_000;
/// Members heard within this many milliseconds are asked before others.
const RESPONSIVE_WITHIN_MS: u64 = 3_000;
/// When a timed closure ends, its author publishes the reopening. Each other member waits this much longer
/// than the one before it, in milliseconds.
const REOPEN_DELAY_MS: u64 = 5_000;
/// Within this many milliseconds after its start a process takes a higher start number under its name for
/// an earlier run's.
const JOIN_PERIOD_MS: u64 = 5_000;
/// An older run that is still sending this many milliseconds after a newer one was accepted is another
/// process.
const DUPLICATE_AFTER_MS: u64 = 5_000;
/// How long the author of a conflicting fact is asked for its copy, in milliseconds.
const AUTHOR_TIMEOUT_MS: u64 = 3_000;
/// Interval at which superseded facts are checked for expiry, in milliseconds.
const CLEANUP_INTERVAL_MS: u64 = 60_000;
/// Maximum number of facts in one range of a summary, at about 12 bytes each.
const MAX_RANGE_FACTS: usize = 40;
/// Maximum number of facts requested in one message.
const MAX_FACTS_REQUESTED: usize = 64;
/// Maximum number of events between two calls of [`Peers::outputs`]; further ones are dropped.
const MAX_EVENTS: usize = 1_000;

/// Configuration of a forwarder.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this forwarder.
    pub name: String,
    /// The names of the other members, each once.
    pub others: Vec<String>,
    /// Superseded facts are dropped after this many milliseconds.
    pub horizon_ms: u64,
    /// Rate limit for sending catch-up data, in bytes per second over all receivers.
    pub catch_up_bytes_per_s: u64,
    /// After this many milliseconds a forwarder counts as ready even if it has not caught up.
    pub ready_timeout_ms: u64,
    /// Whether the other members are told about waits that partners request.
    pub share_waits: bool,
    /// Intervals of the failure detector.
    pub probe_timings: ProbeTimings,
    /// Seed for random numbers and the session. It must be drawn anew at each start and must not be
    /// guessable.
    pub seed: u64,
}

/// State returned by a store.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// The start number of this run: one more than the last one stored.
    pub start: u64,
    /// Facts, with the milliseconds for which each had been superseded.
    pub facts: Vec<(Fact, Option<u64>)>,
    /// The ledger's bookkeeping apart from the facts.
    pub watermarks: Watermarks,
    /// Facts that were stored but could not be read.
    pub unreadable: Vec<Dot>,
    /// The highest start number seen for each other member.
    pub seen_starts: BTreeMap<String, u64>,
    /// The store id of this forwarder's messages; 0 for a new state folder.
    pub store_id: u64,
    /// The claims granted to other members.
    pub claims: Vec<ClaimRecord>,
    /// Whether `claims` has every grant.
    pub claims_complete: bool,
}

/// A change to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A fact, and for how many milliseconds it has been superseded.
    Fact(Fact, Option<u64>),
    /// A dropped fact.
    Drop(Dot),
    /// The ledger's bookkeeping.
    Watermarks(Watermarks),
    /// The store id of this forwarder's messages.
    StoreId(u64),
    /// The start number of this run.
    Start(u64),
    /// The highest start number seen for another member.
    SeenStart(String, u64),
}

/// An event for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Name of the event for programs.
    pub kind: &'static str,
    /// Description for people.
    pub text: String,
}

/// An action for the caller, to be carried out in the order given.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a datagram to the member with this index in [`Settings::others`].
    Send(usize, Vec<u8>),
    /// Write these records to the store, then call [`Peers::persisted`] with the ticket.
    Persist(u64, Vec<Record>),
    /// The state of a subject may have changed.
    SubjectChanged(Subject),
    /// A fact that was live here was dropped, because other members had dropped it beyond the horizon.
    Discarded(Fact),
    /// Write these granted claims to the claim log before any datagram that follows is sent.
    PersistClaims(Vec<ClaimRecord>),
    /// A partner has asked another forwarder to wait: send nothing to it until this time. The partner is
    /// given by the CRC-32 of its name.
    HoldPartner(u32, u64),
    /// Whether the claim log has every grant from now on.
    ClaimLogComplete(bool),
    /// Result of the claim of a message id.
    Claim(Key, claims::ClaimResult),
    /// Result of an order.
    Settled(u64, Result<Settled, Refusal>),
    /// Report an event to operators.
    Event(Event),
}

/// Status of a member for display.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Name of the member.
    pub name: String,
    /// State of the member.
    pub standing: Standing,
    /// Milliseconds since the state last changed.
    pub for_ms: u64,
    /// Its start number, 0 if it has never been heard from.
    pub start: u64,
    /// Milliseconds since it was last heard from; `None` if not since this process started.
    pub heard_ms: Option<u64>,
    /// Milliseconds since its ledger was last found identical to this one; `None` if not yet.
    pub same_ms: Option<u64>,
}

/// The current session of another member.
#[derive(Clone, Debug)]
struct Session {
    id: u64,
    window: ReplayWindow,
    /// The least difference seen between this clock and the sender's. A datagram with a larger difference
    /// was delayed by the excess.
    clock_offset: i64,
}

/// The connection to one other member.
#[derive(Clone, Debug, Default)]
struct Link {
    name: String,
    session: Option<Session>,
    /// The highest start number seen and the session in which it was seen.
    start: u64,
    start_session: u64,
    last_sent: u64,
    heard_at: Option<u64>,
    next_hello: u64,
    /// When the current session was accepted.
    accepted_at: u64,
    matched_at: Option<u64>,
    /// The events for operators have reported that two processes use this name.
    duplicate_reported: bool,
    /// Another session that sends hellos under this name while the current one is active, and since when.
    rival_session: Option<(u64, u64)>,
    /// Whether the member has never heard of an earlier run of this forwarder; `None` until it has said so.
    considers_us_new: Option<bool>,
}

impl Link {
    /// Whether the member is likely to answer.
    fn is_responsive(&self, now: u64) -> bool {
        self.session.is_some() && self.heard_at.is_some_and(|at| now < at + RESPONSIVE_WITHIN_MS)
    }
}

/// A fact of this forwarder that some members have not acknowledged.
#[derive(Debug)]
struct Push {
    unacknowledged: BTreeSet<usize>,
    send_at: u64,
    attempts: u32,
}

/// A fact of which two copies differ.
#[derive(Debug)]
struct Conflict {
    since: u64,
    /// The member that has the other copy.
    reported_by: usize,
    other_copy: Option<Fact>,
}

/// The state of one forwarder among the forwarders of its site.
#[derive(Debug)]
pub struct Peers {
    settings: Settings,
    sealer: Sealer,
    random: SmallRng,
    started_at: u64,
    now: u64,
    run: Run,
    session: u64,
    links: Vec<Link>,
    members: Members,
    ledger: Ledger,
    orders: PendingOrders,
    claims: Claims,
    /// The state folder was empty: the forwarder is new, or it has lost its folder.
    may_be_new: bool,
    /// The state folder was empty when this process started.
    started_empty: bool,
    hints: WaitHints,
    store_id: u64,
    /// Claims and outcomes to be sent to members once the grants are written.
    claim_messages: Vec<(usize, Message)>,
    pushes: BTreeMap<Dot, Push>,
    conflicts: BTreeMap<Dot, Conflict>,
    /// Members to send acknowledgements to, by the ticket under which the facts were handed to the store.
    acks_by_ticket: BTreeMap<u64, Vec<(usize, Dot)>>,
    acks_without_ticket: Vec<(usize, Dot)>,
    records: Vec<Record>,
    next_ticket: u64,
    persisted_ticket: u64,
    next_digest: u64,
    next_cleanup: u64,
    /// When timed closures end, by the time at which this forwarder would publish the reopening.
    closures: BTreeSet<(u64, Dot)>,
    /// Bytes of catch-up data that may still be sent, and when that was last updated.
    catch_up_budget: u64,
    budget_updated: u64,
    caught_up: bool,
    /// Another process with a later start uses this name; this one no longer takes part.
    displaced: bool,
    stale_state: bool,
    dropped: BTreeMap<DropReason, u64>,
    sent: (u64, u64),
    received: (u64, u64),
    outputs: Vec<Output>,
    event_count: usize,
}

impl Peers {
    /// Creates the state of a forwarder that has just started.
    pub fn new(now: u64, settings: Settings, sealer: Sealer, restored: Restored) -> Peers {
        let mut random = SmallRng::seed_from_u64(settings.seed);
        let Restored { start, facts, watermarks, unreadable, seen_starts, store_id, claims, claims_complete } =
            restored;
        // A folder without a store id is new or was lost; the other members can tell which.
        let (empty_folder, store_id) =
            (store_id == 0, if store_id == 0 { random.random::<u64>() | 1 } else { store_id });
        let own = Owner { name: settings.name.clone(), store_id };
        let claims = Claims::new(now, own, start, settings.others.len(), claims_complete, claims);
        let session = random.random::<u64>() | 1;
        let run = Run { name: settings.name.clone(), start, salt: session };
        let mut ledger = Ledger::default();
        for (fact, superseded_ms) in facts {
            ledger.insert(fact, now, superseded_ms);
        }
        ledger.restore(watermarks, &unreadable);
        let link = |name: &String| Link {
            name: name.clone(),
            start: seen_starts.get(name).copied().unwrap_or(0),
            ..Link::default()
        };
        let id = MemberId { name: settings.name.clone(), start, incarnation: 0 };
        let members = Members::new(id, settings.probe_timings, random.random());
        let mut peers = Peers {
            links: settings.others.iter().map(link).collect(),
            members,
            ledger,
            orders: PendingOrders::new(settings.others.len()),
            claims,
            may_be_new: empty_folder && start == 1,
            started_empty: empty_folder,
            hints: WaitHints::default(),
            store_id,
            claim_messages: Vec::new(),
            random,
            started_at: now,
            now,
            run,
            session,
            pushes: BTreeMap::new(),
            conflicts: BTreeMap::new(),
            acks_by_ticket: BTreeMap::new(),
            acks_without_ticket: Vec::new(),
            records: vec![Record::Start(start), Record::StoreId(store_id)],
            next_ticket: 1,
            persisted_ticket: 0,
            next_digest: now,
            next_cleanup: now + CLEANUP_INTERVAL_MS,
            closures: BTreeSet::new(),
            catch_up_budget: settings.catch_up_bytes_per_s,
            budget_updated: now,
            caught_up: settings.others.is_empty(),
            displaced: false,
            stale_state: false,
            dropped: BTreeMap::new(),
            sent: (0, 0),
            received: (0, 0),
            outputs: Vec::new(),
            event_count: 0,
            sealer,
            settings,
        };
        let restored: Vec<Fact> = peers.ledger.facts(now).map(|(fact, _)| fact.clone()).collect();
        restored.iter().for_each(|fact| peers.schedule_reopen(fact, None));
        peers
    }

    /// Schedules the end of a timed closure. It counts from when this forwarder received the fact, unless
    /// `left` gives the remaining time.
    fn schedule_reopen(&mut self, fact: &Fact, remaining_ms: Option<u64>) {
        let FactAction::Close { for_ms: duration_ms @ 1.. } = fact.action else { return };
        self.closures.retain(|(_, dot)| *dot != fact.dot);
        let reopen_at = self.now + remaining_ms.unwrap_or(duration_ms) + self.reopen_delay(&fact.dot);
        self.closures.insert((reopen_at, fact.dot.clone()));
    }

    /// How much later than the author this forwarder publishes a reopening. The delays are staggered so
    /// that few members publish it twice.
    fn reopen_delay(&self, dot: &Dot) -> u64 {
        let author = &dot.run.name;
        let before = self.links.iter().filter(|l| l.name < self.run.name && l.name != *author).count();
        if *author == self.run.name {
            0
        } else {
            (before as u64 + 1) * REOPEN_DELAY_MS
        }
    }

    /// Remaining milliseconds for which a subject stays closed by this forwarder's clock: the longest of
    /// its timed closures, or 0 without one.
    pub fn remaining_closure_ms(&self, subject: &Subject) -> u64 {
        let live_facts = self.ledger.live_facts(subject);
        let fact_of = |dot: &Dot| live_facts.iter().find(|f| f.dot == *dot);
        let outcomes = self.closures.iter().filter_map(|(at, dot)| Some((at, fact_of(dot)?)));
        // Excludes the time for which other members wait for the author.
        let left = outcomes.map(|(at, fact)| at.saturating_sub(self.now + self.reopen_delay(&fact.dot)));
        left.max().unwrap_or(0)
    }

    /// After a start: sets the remaining time of a timed closure from another record of it.
    pub fn set_remaining_closure(&mut self, subject: &Subject, remaining_ms: u64) {
        for fact in self.ledger.live_facts(subject) {
            self.schedule_reopen(&fact, Some(remaining_ms));
        }
    }

    /// Publishes the end of timed closures that have expired. Other orders may still keep the subject
    /// closed. No majority is needed, since the closing order itself said when it ends.
    fn reopen_expired(&mut self) {
        while let Some((at, dot)) = self.closures.first().cloned().filter(|(at, _)| *at <= self.now) {
            self.closures.remove(&(at, dot.clone()));
            let Some(fact) = self.ledger.get(&dot).filter(|_| self.ledger.is_live(&dot)).cloned() else {
                continue;
            };
            let FactAction::Close { for_ms } = fact.action else { continue };
            let live_facts = self.ledger.live_facts(&fact.subject);
            let opens = live_facts.iter().filter(|f| f.action == FactAction::Open).map(|f| f.dot.clone());
            let superseded = opens.chain([dot]).take(MAX_SUPERSEDED).collect();
            let at = fact.at + 1000 * for_ms;
            let open =
                self.ledger.compose_superseding(&self.run, at, fact.subject, FactAction::Open, superseded);
            // If this ledger is full, another member publishes it.
            let _ = self.publish(open);
        }
    }

    /// The ledger of all known facts.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The state of a subject.
    pub fn subject_state(&self, subject: &Subject) -> SubjectState {
        self.ledger.subject_state(subject)
    }

    /// The run of this process.
    pub fn run(&self) -> &Run {
        &self.run
    }

    /// Whether the state folder turned out to be an older copy, so that its record of what was sent may be
    /// out of date.
    pub fn has_stale_state(&self) -> bool {
        self.stale_state
    }

    /// Whether this forwarder has caught up with one member and has a session with a majority of all
    /// members besides itself, or has waited long enough. Its own folder may be an older copy, so this
    /// forwarder is not counted: whatever a later run on that folder has claimed or stated is known to a
    /// majority, and only a majority without this forwarder is sure to share a member with it.
    pub fn is_ready(&self, now: u64) -> bool {
        let others = self.links.len();
        let connected = self.links.iter().filter(|l| l.session.is_some()).count();
        self.caught_up && connected >= self.claims.quorum().min(others)
            || now >= self.started_at + self.settings.ready_timeout_ms
    }

    /// Whether its ledger has been found identical to another member's since the start.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Whether another process has taken over this forwarder's name.
    pub fn is_displaced(&self) -> bool {
        self.displaced
    }

    /// Numbers of dropped datagrams by reason.
    pub fn dropped_datagrams(&self) -> &BTreeMap<DropReason, u64> {
        &self.dropped
    }

    /// Datagrams and bytes sent, and datagrams and bytes accepted.
    pub fn traffic(&self) -> ((u64, u64), (u64, u64)) {
        (self.sent, self.received)
    }

    /// The status of the other members for display.
    pub fn member_statuses(&self, now: u64) -> Vec<MemberStatus> {
        let link = |l: &Link| {
            let (standing, since) = self.members.standing(&l.name);
            MemberStatus {
                name: l.name.clone(),
                standing,
                for_ms: if standing == Standing::Unknown { 0 } else { now.saturating_sub(since) },
                start: l.start,
                heard_ms: l.heard_at.map(|at| now.saturating_sub(at)),
                same_ms: l.matched_at.map(|at| now.saturating_sub(at)),
            }
        };
        self.links.iter().map(link).collect()
    }

    /// Number of reachable members, including this one, and number of all members.
    pub fn reachable_members(&self) -> (usize, usize) {
        let reachable =
            |l: &&Link| matches!(self.members.standing(&l.name).0, Standing::Up | Standing::Suspect);
        (1 + self.links.iter().filter(reachable).count(), 1 + self.links.len())
    }

    /// When [`Peers::tick`] must be called next.
    pub fn due(&self) -> u64 {
        let pushes = self.pushes.values().map(|p| p.send_at).min();
        let hello = self.links.iter().filter(|l| self.wants_hello(l)).map(|l| l.next_hello).min();
        let conflicts = self.conflicts.values().map(|c| c.since + AUTHOR_TIMEOUT_MS).min();
        let due_times = [
            self.claims.due(),
            self.closures.first().map(|(at, _)| *at),
            Some(self.next_digest),
            Some(self.next_cleanup),
            pushes,
            hello,
            conflicts,
            self.members.due(),
            self.orders.due(),
        ];
        due_times.into_iter().flatten().min().unwrap_or(self.next_digest)
    }

    /// Removes and returns the actions for the caller.
    pub fn outputs(&mut self) -> Vec<Output> {
        self.flush_claims();
        if !self.records.is_empty() {
            let ticket = self.next_ticket;
            self.next_ticket += 1;
            let acks = std::mem::take(&mut self.acks_without_ticket);
            if !acks.is_empty() {
                self.acks_by_ticket.insert(ticket, acks);
            }
            self.orders.assign_ticket(ticket);
            self.outputs.push(Output::Persist(ticket, std::mem::take(&mut self.records)));
        }
        for (ticket, settled) in self.orders.take_settled() {
            self.outputs.push(Output::Settled(ticket, settled));
        }
        self.event_count = 0;
        std::mem::take(&mut self.outputs)
    }

    fn event(&mut self, kind: &'static str, text: String) {
        if self.event_count < MAX_EVENTS {
            self.event_count += 1;
            self.outputs.push(Output::Event(Event { kind, text }));
        }
    }

    /// All records up to this ticket are on disk.
    pub fn persisted(&mut self, now: u64, ticket: u64) {
        self.now = now.max(self.now);
        self.persisted_ticket = self.persisted_ticket.max(ticket);
        let later = self.acks_by_ticket.split_off(&(ticket + 1));
        let acks = std::mem::replace(&mut self.acks_by_ticket, later);
        let mut by_link: BTreeMap<usize, Vec<Dot>> = BTreeMap::new();
        for (link, dot) in acks.into_values().flatten() {
            by_link.entry(link).or_default().push(dot);
        }
        for (link, dots) in by_link {
            let messages: Vec<Message> =
                dots.chunks(8).map(|c| Message::FactsPersisted(c.to_vec())).collect();
            self.send(link, &messages);
        }
        self.orders.persisted(ticket);
    }

    // ---- orders ----

    /// Publishes an order that stops or removes something. It applies at once, whichever members are
    /// reachable. [`Output::Settled`] reports it under the number `order` once it is persisted here and on
    /// another member, or after the timeout for that.
    ///
    /// # Errors
    /// The ledger is full, or a name is invalid.
    pub fn order_restrictive(
        &mut self, now: u64, order: u64, at: u64, subject: Subject, action: FactAction,
    ) -> Result<Dot, Refusal> {
        self.now = now.max(self.now);
        let dot = self.publish_new(at, subject, action)?;
        self.orders.publish(self.now, order, dot.clone());
        Ok(dot)
    }

    /// Starts an order that allows or adds something. It applies once a majority of the members has
    /// reported what it knows against it. [`Output::Settled`] reports the result.
    pub fn order_permissive(&mut self, now: u64, order: u64, at: u64, subject: Subject, action: FactAction) {
        self.now = now.max(self.now);
        let nonce = self.random.random::<u64>();
        self.orders.query(self.now, order, nonce, at, subject, action);
        self.send_queries();
        self.publish_answered();
    }

    /// Publishes a state that this forwarder had before it had peers, without asking other members.
    ///
    /// # Errors
    /// The ledger is full, or a name is invalid.
    pub fn import(
        &mut self, now: u64, at: u64, subject: Subject, action: FactAction,
    ) -> Result<Dot, Refusal> {
        self.now = now.max(self.now);
        self.publish_new(at, subject, action)
    }

    fn publish_new(&mut self, at: u64, subject: Subject, action: FactAction) -> Result<Dot, Refusal> {
        let fact = self.ledger.compose(&self.run, at, subject, action);
        self.publish(fact)
    }

    fn publish(&mut self, fact: Fact) -> Result<Dot, Refusal> {
        if !fact.is_valid() {
            return Err(Refusal::Invalid);
        }
        let (dot, subject) = (fact.dot.clone(), fact.subject.clone());
        if self.ledger.insert(fact.clone(), self.now, None) != InsertResult::New {
            return Err(Refusal::Full);
        }
        self.schedule_reopen(&fact, None);
        self.records.push(Record::Fact(fact, None));
        self.outputs.push(Output::SubjectChanged(subject));
        let unacknowledged = (0..self.links.len()).collect();
        self.pushes.insert(dot.clone(), Push { unacknowledged, send_at: self.now, attempts: 0 });
        self.send_pushes();
        Ok(dot)
    }

    fn send_queries(&mut self) {
        for (nonce, subject, asked) in self.orders.due_queries(self.now) {
            for link in asked {
                self.send(link, &[Message::Query { nonce, subject: subject.clone() }]);
            }
        }
    }

    fn publish_answered(&mut self) {
        for (order, at, subject, action) in self.orders.take_answered() {
            match self.publish_new(at, subject, action) {
                Ok(dot) => self.orders.publish(self.now, order, dot),
                Err(refusal) => self.orders.refuse(order, refusal),
            }
        }
    }

    // ---- timers ----

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: u64) {
        self.now = now.max(self.now);
        let now = self.now;
        let actions = self.members.tick(now);
        self.apply_detector_actions(actions);
        for link in 0..self.links.len() {
            if self.wants_hello(&self.links[link]) && self.links[link].next_hello <= now {
                self.send_hello(link);
            }
        }
        self.send_pushes();
        self.orders.expire(now);
        self.send_queries();
        self.publish_answered();
        self.settle_conflicts();
        self.reopen_expired();
        self.claims.expire(now);
        self.request_recovery();
        if self.next_digest <= now {
            self.next_digest = now + DIGEST_INTERVAL_MS / 2 + self.random.random_range(0..DIGEST_INTERVAL_MS);
            if let Some(link) = self.random_connected(1).first().copied() {
                self.send_digest(link);
            }
        }
        if self.next_cleanup <= now {
            self.next_cleanup = now + CLEANUP_INTERVAL_MS;
            self.clean_up();
        }
    }

    fn clean_up(&mut self) {
        let dropped = self.ledger.drop_expired(self.now, self.settings.horizon_ms);
        self.records.extend(dropped.into_iter().map(Record::Drop));
        // The ages of superseded facts are stored so that they continue after the next start.
        let superseded = self.ledger.facts(self.now).filter(|(_, superseded_ms)| superseded_ms.is_some());
        self.records
            .extend(superseded.map(|(fact, superseded_ms)| Record::Fact(fact.clone(), superseded_ms)));
        self.records.push(Record::Watermarks(self.ledger.watermarks()));
    }

    fn wants_hello(&self, link: &Link) -> bool {
        let silent = link.heard_at.is_none_or(|at| self.now > at + SILENT_AFTER_MS);
        // A forwarder that may be new asks every member whether it is.
        let asks = self.may_be_new
            && link.considers_us_new.is_none()
            && self.now < self.started_at + claims::RETENTION_MS;
        !self.displaced && (link.session.is_none() || silent || asks)
    }

    fn send_hello(&mut self, link: usize) {
        let interval_ms = if self.now < self.started_at + JOIN_PERIOD_MS {
            HELLO_INTERVAL_MS / 2
        } else {
            HELLO_INTERVAL_MS
        };
        self.links[link].next_hello = self.now + interval_ms + self.random.random_range(0..interval_ms);
        // The hello is padded to the length of its answer, so that it can't be used to amplify traffic.
        let padding =
            postcard::to_stdvec(&WelcomeInfo { start: u64::MAX, session: u64::MAX, heard_ms_ago: u64::MAX });
        self.seal_and_send(link, Kind::Hello, 0, &padding.unwrap_or_default());
    }

    // ---- sending ----

    fn seal_and_send(&mut self, link: usize, kind: Kind, to_session: u64, payload: &[u8]) {
        self.links[link].last_sent += 1;
        let header = Header {
            kind,
            from: self.run.name.clone(),
            start: self.run.start,
            session: self.session,
            to_session,
            seq: self.links[link].last_sent,
            sent_ms: self.now,
        };
        if let Some(bytes) = self.sealer.seal(&header, payload) {
            self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
            self.outputs.push(Output::Send(link, bytes));
        }
    }

    fn send(&mut self, link: usize, messages: &[Message]) {
        let Some(to_session) = self.links[link].session.as_ref().map(|s| s.id) else { return };
        if self.displaced {
            return;
        }
        for payload in pack(messages) {
            self.seal_and_send(link, Kind::Data, to_session, &payload);
        }
    }

    /// Sends catch-up data within its rate limit. What exceeds the limit is requested again later. Returns
    /// false if something was left out.
    fn send_paced(&mut self, link: usize, messages: &[Message]) -> bool {
        let earned = (self.now - self.budget_updated) * self.settings.catch_up_bytes_per_s / 1000;
        if earned > 0 {
            self.catch_up_budget = (self.catch_up_budget + earned).min(self.settings.catch_up_bytes_per_s);
            self.budget_updated = self.now;
        }
        for message in messages {
            let size = postcard::experimental::serialized_size(message).unwrap_or(MAX_PAYLOAD) as u64;
            if size > self.catch_up_budget {
                return false;
            }
            self.catch_up_budget -= size;
            self.send(link, std::slice::from_ref(message));
        }
        true
    }

    fn apply_detector_actions(&mut self, actions: DetectorActions) {
        for (name, data) in actions.send {
            if let Some(link) = self.links.iter().position(|l| l.name == name) {
                self.send(link, &[Message::Swim(data)]);
            }
        }
        for name in actions.up {
            if let Some(link) = self.links.iter().position(|l| l.name == name) {
                self.event("peer_up", format!("{name} is up"));
                self.send_digest(link);
            }
        }
        for name in actions.down {
            if self.links.iter().any(|l| l.name == name) {
                self.event("peer_down", format!("{name} is down or unreachable"));
            }
        }
        if actions.rejoined {
            let text = "the other members had declared this forwarder down; it has rejoined";
            self.event("rejoined", text.into());
        }
    }

    /// Picks up to `count` members with a session at random.
    fn random_connected(&mut self, count: usize) -> Vec<usize> {
        let mut connected: Vec<usize> =
            (0..self.links.len()).filter(|l| self.links[*l].session.is_some()).collect();
        let mut drawn = Vec::new();
        while drawn.len() < count && !connected.is_empty() {
            drawn.push(connected.swap_remove(self.random.random_range(0..connected.len())));
        }
        drawn
    }

    fn send_digest(&mut self, link: usize) {
        let digest = self.ledger.digest();
        self.send(link, &[Message::Digest(digest)]);
    }

    /// Sends facts of this forwarder to the members that have not acknowledged them.
    fn send_pushes(&mut self) {
        let due: Vec<Dot> =
            self.pushes.iter().filter(|(_, p)| p.send_at <= self.now).map(|(d, _)| d.clone()).collect();
        for dot in due {
            let Some(fact) = self.ledger.get(&dot).cloned() else {
                self.pushes.remove(&dot);
                continue;
            };
            let Some(push) = self.pushes.get_mut(&dot) else { continue };
            push.attempts += 1;
            push.send_at = self.now + (PUSH_DELAY_MS << push.attempts.min(6)).min(MAX_PUSH_DELAY_MS);
            let (unacknowledged, exhausted) = (push.unacknowledged.clone(), push.attempts > MAX_PUSHES);
            if exhausted {
                // Members that have not answered by now find the difference by digest.
                self.pushes.remove(&dot);
                continue;
            }
            for link in unacknowledged {
                self.send(link, &[Message::Facts(vec![fact.clone()])]);
            }
        }
    }

    // ---- receiving ----

    /// Handles a datagram.
    pub fn datagram(&mut self, now: u64, bytes: &[u8]) {
        self.now = now.max(self.now);
        match self.receive(bytes) {
            Ok(()) => {
                self.received = (self.received.0 + 1, self.received.1 + bytes.len() as u64);
            }
            Err(reason) => *self.dropped.entry(reason).or_default() += 1,
        }
    }

    fn receive(&mut self, bytes: &[u8]) -> Result<(), DropReason> {
        let sealer = self.sealer.clone();
        let (header, payload) = sealer.open(bytes)?;
        let link = self.links.iter().position(|l| l.name == header.from).ok_or(DropReason::Stranger)?;
        if header.kind == Kind::Hello {
            return self.send_welcome(link, &header, bytes.len());
        }
        if header.to_session != self.session {
            return Err(DropReason::Stale);
        }
        let session = self.links[link].session.as_mut().filter(|s| s.id == header.session);
        if session.is_some_and(|s| !s.window.accept(header.seq)) {
            return Err(DropReason::Replayed);
        }
        self.reject_older_run(link, &header)?;
        if header.kind == Kind::Welcome {
            // Handled before anything is sent to the member under a start number that an earlier run may
            // have used.
            let known: WelcomeInfo = postcard::from_bytes(payload).map_err(|_| DropReason::Unreadable)?;
            self.handle_welcome(link, known);
        }
        self.accept_run(link, &header);
        let heard_at = self.links[link].heard_at.unwrap_or(self.now);
        let silence_ms = self.now.saturating_sub(heard_at) as i64;
        let Some(session) = &mut self.links[link].session else { return Err(DropReason::Stale) };
        // Records the number in the window of a session that this datagram has opened.
        session.window.accept(header.seq);
        let difference = self.now as i64 - header.sent_ms as i64;
        // Clocks that run at different rates shift the offset by less than one part in fifty, so that much
        // is not counted as delay.
        session.clock_offset = (session.clock_offset + 1 + silence_ms / 50).min(difference);
        let delay_ms = (difference - session.clock_offset).max(0) as u64;
        self.links[link].heard_at = Some(self.now);
        if header.kind == Kind::Welcome {
            return Ok(());
        }
        for message in unpack(payload).ok_or(DropReason::Unreadable)? {
            self.handle_message(link, message, delay_ms)?;
        }
        Ok(())
    }

    /// Detects a second process that uses the name of a member. A sender that keeps sending hellos under a
    /// name with an active session is not that member: it runs elsewhere, and datagrams to the member do
    /// not reach it.
    fn detect_duplicate(&mut self, link: usize, header: &Header) {
        let now = self.now;
        let l = &mut self.links[link];
        let is_active = l.session.as_ref().is_some_and(|s| s.id != header.session) && l.is_responsive(now);
        if !is_active || l.duplicate_reported {
            l.rival_session = None;
            return;
        }
        let since = match l.rival_session {
            Some((session, since)) if session == header.session => since,
            _ => now,
        };
        l.rival_session = Some((header.session, since));
        if now > since + DUPLICATE_AFTER_MS {
            l.duplicate_reported = true;
            let text = format!(
                "two processes run under the name {}: one is a member, and another, with start number {}, keeps \
                 trying to join",
                l.name, header.start
            );
            self.event("two_processes", text);
        }
    }

    /// Answers a hello, to the address in the site file and with no more bytes than the hello had.
    fn send_welcome(&mut self, link: usize, header: &Header, length: usize) -> Result<(), DropReason> {
        self.detect_duplicate(link, header);
        let l = &self.links[link];
        let heard_ms_ago = l.heard_at.map_or(u64::MAX, |at| self.now.saturating_sub(at));
        let known = WelcomeInfo { start: l.start, session: l.start_session, heard_ms_ago };
        let payload = postcard::to_stdvec(&known).map_err(|_| DropReason::Unreadable)?;
        // Both headers have the same fields. Only the session in place of the 0 can make the welcome
        // longer.
        if length + 10 < payload.len() {
            return Err(DropReason::Unreadable);
        }
        self.seal_and_send(link, Kind::Welcome, header.session, &payload);
        Ok(())
    }

    /// Rejects datagrams of a run that is older than the current one. A sender that addresses this session
    /// has heard of it; of several such runs, the one with the highest start number is the member.
    fn reject_older_run(&mut self, link: usize, header: &Header) -> Result<(), DropReason> {
        let l = &mut self.links[link];
        let known = l.session.as_ref().map(|s| s.id);
        // Another run under the same start number uses an older copy of the folder. It must first take a
        // start number of its own, which the answer to its hello tells it to do. If it were accepted, the
        // start number recorded here could no longer reveal the conflict.
        let is_older = header.start < l.start || header.start == l.start && l.start_session != 0;
        if known == Some(header.session) || !is_older {
            return Ok(());
        }
        let is_active = known.is_some() && l.is_responsive(self.now);
        if is_active && self.now > l.accepted_at + DUPLICATE_AFTER_MS && !l.duplicate_reported {
            l.duplicate_reported = true;
            let name = l.name.clone();
            let text = format!(
                "two processes run under the name {name}: the one with start number {} is still sending while {} is \
                 active",
                header.start, l.start
            );
            self.event("two_processes", text);
        }
        Err(DropReason::Stale)
    }

    /// Accepts a run that is not older than the current one as the member.
    fn accept_run(&mut self, link: usize, header: &Header) {
        let l = &mut self.links[link];
        if l.session.as_ref().is_some_and(|s| s.id == header.session) {
            if header.start > l.start {
                // The member has found that an earlier run used its start number.
                l.start = header.start;
                self.records.push(Record::SeenStart(l.name.clone(), header.start));
            }
            return;
        }
        if l.start != header.start {
            self.records.push(Record::SeenStart(l.name.clone(), header.start));
        }
        (l.start, l.start_session, l.accepted_at, l.duplicate_reported) =
            (header.start, header.session, self.now, false);
        l.session = Some(Session {
            id: header.session,
            window: ReplayWindow::default(),
            clock_offset: self.now as i64 - header.sent_ms as i64,
        });
        (l.matched_at, l.next_hello) = (None, self.now);
        self.claims.member_restarted(link);
        let id = MemberId { name: l.name.clone(), start: header.start, incarnation: 0 };
        let actions = self.members.announce(self.now, id);
        self.apply_detector_actions(actions);
        self.send_digest(link);
        for push in self.pushes.values_mut().filter(|p| p.unacknowledged.contains(&link)) {
            (push.send_at, push.attempts) = (self.now, 0);
        }
    }

    /// Handles what another member knows about this forwarder. A higher start number of an earlier run
    /// means that the state folder is older than that run.
    fn handle_welcome(&mut self, link: usize, known: WelcomeInfo) {
        let is_new = known.start == 0 || known.session == self.session;
        if is_new || known.start >= self.run.start {
            // A member's first answer, given before it had heard of this run, is kept.
            self.links[link].considers_us_new.get_or_insert(is_new);
            let confirmations = self.links.iter().filter(|l| l.considers_us_new == Some(true)).count();
            if self.may_be_new && confirmations >= self.links.len().div_ceil(2) {
                // This forwarder and those members are a majority.
                self.may_be_new = false;
                self.claims.confirm_new(self.now);
            }
        }
        if known.session == self.session || known.start < self.run.start || known.start == 0 {
            return;
        }
        if known.start == self.run.start && known.session == 0 {
            // The other member has the start number from its own store, recorded before or during this run;
            // that is no conflict.
            return;
        }
        if self.displaced {
            return;
        }
        let other = self.links[link].name.clone();
        // Long after the start of this process, a recently heard run is not an earlier one but another
        // process.
        if self.now >= self.started_at + JOIN_PERIOD_MS && known.heard_ms_ago < DUPLICATE_AFTER_MS {
            self.displaced = true;
            let text = format!(
                "another process runs under the name {} with start number {}, this one has {}: {other} heard from it \
                 {} ms ago. This process no longer takes part; stop one of the two",
                self.run.name, known.start, self.run.start, known.heard_ms_ago
            );
            return self.event("displaced", text);
        }
        (self.stale_state, self.may_be_new) = (true, false);
        // What the later run owned and granted is missing from this folder.
        self.store_id = self.random.random::<u64>() | 1;
        self.claims.reset_store(self.now, self.store_id, known.start + 1);
        self.records.push(Record::StoreId(self.store_id));
        let previous_start = self.run.start;
        self.run.start = known.start + 1;
        self.records.push(Record::Start(self.run.start));
        let text = format!(
            "the state folder is older than what {other} knows: this run has start number {previous_start}, but one \
             with {} has been seen; continuing as {}",
            known.start, self.run.start
        );
        self.event("old_state", text);
        let id = MemberId { name: self.run.name.clone(), start: self.run.start, incarnation: 0 };
        let actions = self.members.change_start(self.now, id);
        self.apply_detector_actions(actions);
        for link in 0..self.links.len() {
            self.send_hello(link);
        }
    }

    fn handle_message(&mut self, link: usize, message: Message, delay_ms: u64) -> Result<(), DropReason> {
        match message {
            Message::Swim(data) => {
                let (decoded, actions) = self.members.handle_message(self.now, &data);
                self.apply_detector_actions(actions);
                return decoded.then_some(()).ok_or(DropReason::Unreadable);
            }
            Message::Facts(facts) => return facts.into_iter().try_for_each(|f| self.handle_fact(link, f)),
            Message::FactsPersisted(dots) => {
                dots.iter().for_each(|dot| self.handle_acknowledgement(link, dot))
            }
            Message::Digest(digest) => self.handle_digest(link, &digest),
            Message::Summary { bucket, reply_wanted, ranges } => {
                if bucket as usize >= BUCKETS {
                    return Err(DropReason::Unreadable);
                }
                ranges.iter().for_each(|s| self.handle_range(link, s));
                if reply_wanted {
                    self.send_bucket(link, bucket as usize, false);
                }
            }
            Message::FactsRequest { run, seqs } => {
                let dots =
                    seqs.into_iter().take(MAX_FACTS_REQUESTED).map(|seq| Dot { run: run.clone(), seq });
                let facts: Vec<Fact> = dots.filter_map(|d| self.ledger.get(&d).cloned()).collect();
                let messages: Vec<Message> = facts.into_iter().map(|f| Message::Facts(vec![f])).collect();
                self.send_paced(link, &messages);
            }
            Message::Query { nonce, subject } => {
                let facts = self.ledger.live_facts(&subject);
                // Facts that do not fit into one datagram are sent ahead of the answer.
                let (few, more) = facts.split_at(facts.len().min(2));
                let mut messages: Vec<Message> =
                    more.iter().map(|f| Message::Facts(vec![f.clone()])).collect();
                messages.push(Message::Answer { nonce, facts: few.to_vec() });
                self.send(link, &messages);
            }
            Message::Answer { nonce, facts } => {
                facts.into_iter().try_for_each(|f| self.handle_fact(link, f))?;
                self.orders.record_answer(link, nonce);
                self.publish_answered();
            }
            Message::AuthorCopyRequest(dot) => {
                if dot.run.name == self.run.name {
                    if let Some(fact) = self.ledger.get(&dot).cloned() {
                        self.send(link, &[Message::AuthorCopy(Box::new(fact))]);
                    }
                }
            }
            Message::WaitHints(waits) => {
                for (partner, left_ms) in waits.into_iter().take(hints::MAX_HINTS) {
                    let until = self.hints.apply(self.now, link, partner, left_ms.saturating_sub(delay_ms));
                    self.outputs.extend(until.map(|until| Output::HoldPartner(partner, until)));
                }
            }
            Message::Claims(store_id, claims) => {
                let from = self.owner_on(link, store_id);
                for chunk in claims.chunks(claims::MAX_ITEMS_PER_MESSAGE) {
                    let reply = |c: &claims::Claim| (c.key, c.seq, self.claims.reply(self.now, &from, c));
                    let replies = chunk.iter().map(reply).collect();
                    self.claim_messages.push((link, Message::ClaimReplies(replies)));
                }
            }
            Message::ClaimReplies(replies) => {
                for (key, seq, reply) in replies {
                    let held = matches!(reply, ClaimReply::Held(..));
                    self.claims.record_reply(self.now, link, key, seq, reply);
                    if held {
                        self.query_owner(key);
                    }
                }
            }
            Message::Outcomes(store_id, outcomes) => {
                let from = self.owner_on(link, store_id);
                let keys = outcomes.iter().map(|(key, ..)| *key).collect();
                for (key, seq, outcome) in outcomes {
                    self.claims.apply_outcome(self.now, &from, key, seq, outcome);
                }
                self.claim_messages.push((link, Message::OutcomesRecorded(keys)));
            }
            Message::OutcomesRecorded(keys) => {
                keys.into_iter().for_each(|key| self.claims.acknowledge_outcome(link, key))
            }
            Message::OwnerQuery(key) => {
                let status = self.claims.own_status(key);
                if status == OwnerStatus::Unknown {
                    self.claims.disown(self.now, key);
                }
                self.claim_messages.push((link, Message::OwnerReply(self.store_id, key, status)));
            }
            Message::OwnerReply(store_id, key, status) => {
                let from = self.owner_on(link, store_id);
                self.claims.owner_replied(self.now, &from, key, status);
                // If the owner's name now has another store id, the owner can't be asked any more.
                if self.claims.held_by(key).is_some_and(|h| h.name == from.name && *h != from) {
                    self.claims.owner_unreachable(self.now, key);
                }
            }
            Message::RecoveryRequest(after) => {
                let page = self.claims.recovery_page(self.now, after);
                self.send_paced(link, &[Message::RecoveryPage(page)]);
            }
            Message::RecoveryPage(page) => {
                if self.claims.apply_recovery_page(self.now, link, page) {
                    self.request_recovery();
                }
            }
            Message::AuthorCopy(fact) => {
                if fact.dot.run.name == self.links[link].name && fact.is_valid() {
                    self.handle_author_copy(*fact);
                }
            }
        }
        Ok(())
    }

    fn handle_fact(&mut self, link: usize, fact: Fact) -> Result<(), DropReason> {
        if !fact.is_valid() {
            return Err(DropReason::Unreadable);
        }
        let (dot, subject) = (fact.dot.clone(), fact.subject.clone());
        match self.ledger.insert(fact.clone(), self.now, None) {
            InsertResult::New => {
                self.schedule_reopen(&fact, None);
                self.records.push(Record::Fact(fact, None));
                self.outputs.push(Output::SubjectChanged(subject));
                // A fact supersedes only facts about its own subject, so no other subject has changed.
                for other in self.random_connected(DIGEST_FANOUT) {
                    if other != link {
                        self.send_digest(other);
                    }
                }
            }
            InsertResult::Duplicate | InsertResult::AlreadyDropped if self.records.is_empty() => {
                let last_ticket = self.next_ticket - 1;
                if self.persisted_ticket == last_ticket {
                    self.send(link, &[Message::FactsPersisted(vec![dot])]);
                } else {
                    self.acks_by_ticket.entry(last_ticket).or_default().push((link, dot));
                }
                return Ok(());
            }
            InsertResult::Duplicate | InsertResult::AlreadyDropped => {}
            InsertResult::Conflict => {
                self.report_conflict(link, dot, Some(fact));
                return Ok(());
            }
            InsertResult::Full => {
                self.event(
                    "ledger_full",
                    format!("the ledger is full: {dot} from {} is not stored", self.links[link].name),
                );
                return Ok(());
            }
        }
        self.acks_without_ticket.push((link, dot));
        Ok(())
    }

    /// A member has persisted a fact.
    fn handle_acknowledgement(&mut self, link: usize, dot: &Dot) {
        self.orders.add_copy(link, dot);
        let Some(push) = self.pushes.get_mut(dot) else { return };
        push.unacknowledged.remove(&link);
        if push.unacknowledged.is_empty() {
            self.pushes.remove(dot);
        }
    }

    fn handle_digest(&mut self, link: usize, digest: &[u64; BUCKETS]) {
        let own = self.ledger.digest();
        if own == *digest {
            self.links[link].matched_at = Some(self.now);
            if !self.caught_up {
                self.caught_up = true;
                let text = format!("caught up: the ledger is identical to that of {}", self.links[link].name);
                self.event("caught_up", text);
                // The other member may also have caught up by this comparison.
                self.send_digest(link);
            }
            return;
        }
        // While the ledgers differ, they are compared again soon.
        self.next_digest = self.next_digest.min(self.now + DIGEST_RETRY_MS);
        for bucket in (0..BUCKETS).filter(|n| own[*n] != digest[*n]) {
            self.send_bucket(link, bucket, true);
        }
    }

    fn send_bucket(&mut self, link: usize, bucket: usize, reply_wanted: bool) {
        let summary = self.ledger.summarize(bucket, MAX_RANGE_FACTS);
        if summary.is_empty() && reply_wanted {
            let empty = Message::Summary { bucket: bucket as u8, reply_wanted, ranges: Vec::new() };
            self.send_paced(link, &[empty]);
            return;
        }
        for (n, range) in summary.into_iter().enumerate() {
            let message = Message::Summary {
                bucket: bucket as u8,
                reply_wanted: reply_wanted && n == 0,
                ranges: vec![range],
            };
            if !self.send_paced(link, &[message]) {
                return;
            }
        }
    }

    fn handle_range(&mut self, link: usize, theirs: &RunRange) {
        let comparison = self.ledger.compare(theirs, self.now);
        let mut changed: BTreeSet<Subject> = comparison.superseded_subjects;
        for fact in comparison.discarded {
            let text = format!(
                "{} of {} ({} {}) is discarded: {} has dropped it, since it was superseded while this forwarder \
                 was away",
                fact.dot, fact.dot.run.name, fact.action.name(), fact.subject, self.links[link].name
            );
            self.event("laid_aside", text);
            self.records.push(Record::Drop(fact.dot.clone()));
            changed.insert(fact.subject.clone());
            self.outputs.push(Output::Discarded(fact));
        }
        self.outputs.extend(changed.into_iter().map(Output::SubjectChanged));
        if comparison.advanced {
            self.records.push(Record::Watermarks(self.ledger.watermarks()));
        }
        for dot in comparison.conflicting {
            self.report_conflict(link, dot, None);
        }
        for chunk in comparison.missing.chunks(MAX_FACTS_REQUESTED) {
            let seqs = chunk.iter().map(|d| d.seq).collect();
            self.send(link, &[Message::FactsRequest { run: theirs.run.clone(), seqs }]);
        }
    }

    // ---- wait hints ----

    /// Tells the other members that a partner has asked this forwarder to wait this many milliseconds. It
    /// is sent once: a member that misses it learns it from the partner itself.
    pub fn share_wait(&mut self, now: u64, partner: u32, wait_ms: u64) {
        self.now = now.max(self.now);
        if wait_ms < hints::MIN_WAIT_MS || !self.settings.share_waits {
            return;
        }
        for link in 0..self.links.len() {
            self.send(link, &[Message::WaitHints(vec![(partner, wait_ms)])]);
        }
    }

    // ---- message ids ----

    fn owner_on(&self, link: usize, store_id: u64) -> Owner {
        Owner { name: self.links[link].name.clone(), store_id }
    }

    /// Starts to claim the id of a message submitted here. [`Output::Claim`] reports the result.
    pub fn claim(&mut self, now: u64, key: Key, effect: claims::Effect) {
        self.now = now.max(self.now);
        self.claims.claim(self.now, key, effect);
        self.query_owner(key);
    }

    /// A message of this forwarder has ended, or was not accepted after all.
    pub fn message_ended(&mut self, now: u64, key: Key, outcome: claims::ClaimOutcome) {
        self.now = now.max(self.now);
        self.claims.message_ended(self.now, key, outcome);
    }

    /// A message has been accepted by this forwarder.
    pub fn message_accepted(&mut self, key: Key) {
        self.claims.message_accepted(key);
    }

    /// Compares the claims with the journal after a start; see [`Claims::reconcile`].
    pub fn reconcile_claims(
        &mut self, now: u64, held: &[Key], ended: &[(Key, claims::ClaimOutcome)], durable: bool,
    ) {
        self.now = now.max(self.now);
        // A folder that was empty does not show what was owned before.
        self.claims.reconcile(self.now, held, ended, durable && !self.stale_state && !self.started_empty);
    }

    /// Whether this forwarder knows everything that it has granted; only then do its replies on ids count.
    pub fn knows_all_claims(&self, now: u64) -> bool {
        self.claims.is_complete(now)
    }

    /// The owner, present or past, of a message and its outcome, as far as they are known here.
    pub fn known_id(&self, key: Key) -> Option<(&str, Option<claims::ClaimOutcome>)> {
        self.claims.lookup(key).map(|(owner, outcome)| (owner.name.as_str(), outcome))
    }

    fn request_recovery(&mut self) {
        for (link, after) in self.claims.due_recovery_requests(self.now) {
            self.send(link, &[Message::RecoveryRequest(after)]);
        }
    }

    /// All current grants, for rewriting the claim log.
    pub fn claim_snapshot(&self) -> Vec<ClaimRecord> {
        self.claims.snapshot()
    }

    /// Number of message ids remembered.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Asks the owner of an id that is being claimed here about the message.
    fn query_owner(&mut self, key: Key) {
        let Some(owner) = self.claims.held_by(key) else { return };
        let link = self.links.iter().position(|l| l.name == owner.name);
        match link {
            Some(link) if self.links[link].session.is_some() => self.send(link, &[Message::OwnerQuery(key)]),
            // The owner has this forwarder's own name: an earlier store id, which no process has any more.
            _ => self.claims.owner_unreachable(self.now, key),
        }
    }

    fn flush_claims(&mut self) {
        let links = &self.links;
        for (link, claims) in self.claims.due_claims(self.now, |l| links[l].is_responsive(self.now)) {
            let store_id = self.store_id;
            let batches = claims
                .chunks(claims::MAX_ITEMS_PER_MESSAGE)
                .map(|c| (link, Message::Claims(store_id, c.to_vec())));
            self.claim_messages.extend(batches);
        }
        for (link, outcomes) in self.claims.due_outcomes(self.now) {
            let store_id = self.store_id;
            let batches = outcomes
                .chunks(claims::MAX_ITEMS_PER_MESSAGE)
                .map(|c| (link, Message::Outcomes(store_id, c.to_vec())));
            self.claim_messages.extend(batches);
        }
        if let Some(complete) = self.claims.take_completeness_change() {
            self.outputs.push(Output::ClaimLogComplete(complete));
            if complete {
                let text = "this forwarder knows all claims that it has granted again, and its replies count";
                self.event("ids_known", text.into());
            }
        }
        let records = self.claims.take_records();
        if !records.is_empty() {
            // The grants must be written before the replies that depend on them are sent.
            self.outputs.insert(0, Output::PersistClaims(records));
        }
        let mut by_link: BTreeMap<usize, Vec<Message>> = BTreeMap::new();
        for (link, message) in std::mem::take(&mut self.claim_messages) {
            by_link.entry(link).or_default().push(message);
        }
        for (link, messages) in by_link {
            self.send(link, &messages);
        }
        self.outputs
            .extend(self.claims.take_settled().into_iter().map(|(key, result)| Output::Claim(key, result)));
    }

    // ---- conflicting copies ----

    fn report_conflict(&mut self, link: usize, dot: Dot, other_copy: Option<Fact>) {
        if dot.run.name == self.run.name {
            // The author's own copy counts; the other member will ask for it.
            return;
        }
        let fetch = other_copy.is_none();
        if let Some(conflict) = self.conflicts.get_mut(&dot) {
            conflict.other_copy = other_copy.or(conflict.other_copy.take());
            return;
        }
        let text = format!(
            "{dot} differs between {} and this forwarder: it is not merged, and {} is asked for its copy",
            self.links[link].name, dot.run.name
        );
        self.event("damage", text);
        self.conflicts.insert(dot.clone(), Conflict { since: self.now, reported_by: link, other_copy });
        if fetch {
            self.send(link, &[Message::FactsRequest { run: dot.run.clone(), seqs: vec![dot.seq] }]);
        }
        if let Some(author) = self.links.iter().position(|l| l.name == dot.run.name) {
            self.send(author, &[Message::AuthorCopyRequest(dot)]);
        }
    }

    /// Replaces the local copy of a fact with the author's.
    fn handle_author_copy(&mut self, fact: Fact) {
        if self.conflicts.remove(&fact.dot).is_none() || self.ledger.get(&fact.dot) == Some(&fact) {
            return;
        }
        self.event("repaired", format!("{} has been replaced with its author's copy", fact.dot));
        self.replace_fact(fact);
    }

    fn replace_fact(&mut self, fact: Fact) {
        let before = self.ledger.get(&fact.dot).map(|f| f.subject.clone());
        self.outputs.extend(before.into_iter().chain([fact.subject.clone()]).map(Output::SubjectChanged));
        self.records.push(Record::Fact(fact.clone(), None));
        self.ledger.replace(fact, self.now);
    }

    /// Settles conflicts whose author has not answered: the copy selected by [`Fact::wins_over`] is used,
    /// which is the same on all members.
    fn settle_conflicts(&mut self) {
        let due: Vec<Dot> = self
            .conflicts
            .iter()
            .filter(|(_, c)| self.now >= c.since + AUTHOR_TIMEOUT_MS)
            .map(|(dot, _)| dot.clone())
            .collect();
        for dot in due {
            let Some(conflict) = self.conflicts.remove(&dot) else { continue };
            let Some(other) = conflict.other_copy else { continue };
            let reporter = self.links[conflict.reported_by].name.clone();
            let own_wins = self.ledger.get(&dot).is_some_and(|own| own.wins_over(&other));
            let winner = if own_wins { "this forwarder".to_string() } else { reporter };
            let text = format!(
                "{dot}: {} does not answer; the copy of {winner} is used: the more restrictive one, or else \
                 the one with the lower hash",
                dot.run.name
            );
            self.event("damage_settled", text);
            if !own_wins {
                self.replace_fact(other);
            }
        }
    }

    /// Tells all members that this forwarder is leaving.
    pub fn leave(&mut self, now: u64) {
        self.now = now.max(self.now);
        let actions = self.members.leave(self.now);
        self.apply_detector_actions(actions);
    }
}
