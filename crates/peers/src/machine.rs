//! The whole of a forwarder's side, without I/O: time, datagrams and local orders in, [`Output`]s out.
//!
//! One owner calls it: [`Peers::datagram`] for each that has come, [`Peers::tick`] when [`Peers::due`] has passed, and
//! after either [`Peers::outputs`]. Times are milliseconds of one clock that only advances.

use crate::claims::{self, Answer, Claims, Holder, Kept, Key, Status};
use crate::fact::{Dot, Fact, FactAction, Run, Subject, MOST_OVER};
use crate::hints::{self, Hints};
use crate::ledger::{Extent, Ledger, Stretch, SubjectState, Taken, BUCKETS};
use crate::members::{Id, Members, Pace, Standing, Wanted};
use crate::orders::{Desk, Refusal, Settled};
use crate::seal::{Head, Kind, Refused, Sealer, Window, PAYLOAD};
use crate::wire::{pack, unpack, Known, Message};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// How often ledgers are compared with one other member, and how often while they differ.
const DIGEST_EVERY: u64 = 1_000;
const DIGEST_SOON: u64 = 200;
/// Members that hear of a new fact's digest at once from whoever has taken it in: how news go round a cut link.
const RUMOUR: usize = 2;
/// A fact is pushed again until it is acknowledged: after this span, doubled each time up to the other, so often.
const PUSH_FIRST: u64 = 60;
const PUSH_MOST: u64 = 1_000;
const PUSHES: u32 = 12;
/// Hellos to a member whose session is not known, and to one that has been silent for so long.
const HELLO_EVERY: u64 = 500;
const SILENT: u64 = 10_000;
/// Who has been heard of within so long is asked before those who have not.
const HEARD: u64 = 3_000;
/// The end of a span is stated by its author; by each other one so much later than by the one before it.
const STAND_IN: u64 = 5_000;
/// Within so long after its start a process believes that a higher start number under its name is an earlier life's.
const JOINING: u64 = 5_000;
/// An older life that still speaks so long after a younger one was met is another process.
const STILL_THERE: u64 = 5_000;
/// How long the author of a damaged fact is asked for his word.
const ASK_FOR: u64 = 3_000;
/// How often dead facts are looked through.
const TIDY_EVERY: u64 = 60_000;
/// Places in one piece of a summary: about 12 bytes each.
const PIECE: usize = 40;
/// Places that are asked for in one message.
const WANTS: usize = 64;
/// Events that wait to be taken by the owner.
const EVENTS: usize = 1_000;

/// What a forwarder is told once.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its own name.
    pub name: String,
    /// The names of the others, each once.
    pub others: Vec<String>,
    /// Dead facts are dropped after this span.
    pub horizon: u64,
    /// Bytes a second that catching up may take, to each side of the sender.
    pub catch_up: u64,
    /// A returning forwarder counts as caught up after this span in any case.
    pub ready_within: u64,
    /// Others are told of waits that partners tell.
    pub share_waits: bool,
    /// Spans of the failure detector.
    pub pace: Pace,
    /// For random numbers and the session: drawn anew at each start, and not to be guessed.
    pub seed: u64,
}

/// What a store has given back.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// This life's start number: one more than the last that was kept.
    pub start: u64,
    /// Facts, with the time for which each has been dead.
    pub facts: Vec<(Fact, Option<u64>)>,
    /// What was known beside them.
    pub extent: Extent,
    /// Facts that were kept and could not be read.
    pub lost: Vec<Dot>,
    /// The highest start number that each other has been heard under.
    pub seen: BTreeMap<String, u64>,
    /// Which memory of its messages this forwarder has; 0 if its folder is new.
    pub memory: u64,
    /// What was granted to others, and whether that is all of it.
    pub claims: Vec<Kept>,
    /// See `claims`.
    pub claims_whole: bool,
}

/// What a store is to keep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A fact, and how long it has been dead.
    Fact(Fact, Option<u64>),
    /// A fact is dropped.
    Drop(Dot),
    /// What is known beside the facts.
    Extent(Extent),
    /// Which memory of its messages this forwarder has.
    Memory(u64),
    /// This life's start number.
    Start(u64),
    /// The highest start number of another.
    Seen(String, u64),
}

/// Something that operators should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// A word for programs.
    pub kind: &'static str,
    /// A sentence for people.
    pub text: String,
}

/// What is to be done, in this order.
#[derive(Clone, Debug)]
pub enum Output {
    /// A datagram for the member of this place in [`Settings::others`].
    Send(usize, Vec<u8>),
    /// To be kept; [`Peers::persisted`] once it is.
    Persist(u64, Vec<Record>),
    /// What holds for a subject may have changed.
    SubjectChanged(Subject),
    /// A fact that was alive here is dropped: others have dropped it beyond the horizon.
    Discarded(Fact),
    /// What has been granted, to be written before what follows is sent.
    PersistClaims(Vec<Kept>),
    /// Another has been told to wait by a partner: nothing is to be sent to it until then.
    HoldPartner(u32, u64),
    /// Whether the log of what was granted has all of it.
    ClaimLogComplete(bool),
    /// What has come of the claim of an id.
    Claim(Key, claims::ClaimResult),
    /// What an order has come to.
    Settled(u64, Result<Settled, Refusal>),
    /// For the operators.
    Event(Event),
}

/// A member as people are shown it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// How it stands, and for how long.
    pub standing: Standing,
    /// See `standing`.
    pub for_ms: u64,
    /// Its start number, 0 if it has never been heard of.
    pub start: u64,
    /// How long ago it was heard of; none if not since this process started.
    pub heard_ms: Option<u64>,
    /// How long ago its ledger was found to be the same as this one's; none if not yet.
    pub same_ms: Option<u64>,
}

/// The life of another that is spoken to now.
#[derive(Clone, Debug)]
struct Present {
    session: u64,
    window: Window,
    /// The least span between its clock and this one: what a datagram took beyond that it was under way longer.
    offset: i64,
}

#[derive(Clone, Debug, Default)]
struct Link {
    name: String,
    present: Option<Present>,
    /// The highest start number that it has been heard under, and the session of that.
    start: u64,
    session: u64,
    sent: u64,
    heard: Option<u64>,
    hello_at: u64,
    /// When its present life was met first.
    met: u64,
    same: Option<u64>,
    /// Two processes have its name: the operators have been told.
    doubled: bool,
    /// Another session that says hello under its name while the present one is there, and since when.
    stranger: Option<(u64, u64)>,
    /// Whether it has never heard of an earlier life of this forwarder; none before it has said so.
    new_to_it: Option<bool>,
}

impl Link {
    /// Whether it is likely to answer.
    fn is_there(&self, now: u64) -> bool {
        self.present.is_some() && self.heard.is_some_and(|at| now < at + HEARD)
    }
}

#[derive(Debug)]
struct Push {
    missing: BTreeSet<usize>,
    next: u64,
    tries: u32,
}

#[derive(Debug)]
struct Damage {
    since: u64,
    /// Who has the other copy.
    at: usize,
    other: Option<Fact>,
}

/// One forwarder among those of its site.
#[derive(Debug)]
pub struct Peers {
    settings: Settings,
    sealer: Sealer,
    random: SmallRng,
    born: u64,
    now: u64,
    run: Run,
    session: u64,
    links: Vec<Link>,
    members: Members,
    ledger: Ledger,
    desk: Desk,
    claims: Claims,
    /// The folder was empty: it may be a new forwarder, or one that has lost it.
    fresh: bool,
    /// As long as this process runs.
    from_empty: bool,
    hints: Hints,
    memory: u64,
    /// Claims and ends that others are to hear of, once what has been granted is written.
    outgoing: Vec<(usize, Message)>,
    pushes: BTreeMap<Dot, Push>,
    damage: BTreeMap<Dot, Damage>,
    /// Whom to tell that facts are kept, by the ticket under which they go to the store.
    to_tell: BTreeMap<u64, Vec<(usize, Dot)>>,
    unticketed: Vec<(usize, Dot)>,
    records: Vec<Record>,
    next_ticket: u64,
    kept_upto: u64,
    digest_at: u64,
    tidy_at: u64,
    /// When what was closed for a span is open again, as far as this forwarder is to say so.
    spans: BTreeSet<(u64, Dot)>,
    /// Bytes that catching up may still take, and when that was reckoned.
    allowance: u64,
    reckoned: u64,
    caught_up: bool,
    /// Another process runs under this name, and has started later: this one is not heard any more.
    displaced: bool,
    old_state: bool,
    refused: BTreeMap<Refused, u64>,
    sent: (u64, u64),
    received: (u64, u64),
    out: Vec<Output>,
    events: usize,
}

impl Peers {
    /// A forwarder that has just come up at `now`.
    pub fn new(now: u64, settings: Settings, sealer: Sealer, restored: Restored) -> Peers {
        let mut random = SmallRng::seed_from_u64(settings.seed);
        let Restored { start, facts, extent, lost, seen, memory, claims, claims_whole } = restored;
        // A folder that has none is new, or was lost: others tell which.
        let (fresh, memory) = (memory == 0, if memory == 0 { random.random::<u64>() | 1 } else { memory });
        let own = Holder { name: settings.name.clone(), memory };
        let claims = Claims::new(now, own, start, settings.others.len(), claims_whole, claims);
        let session = random.random::<u64>() | 1;
        let run = Run { name: settings.name.clone(), start, salt: session };
        let mut ledger = Ledger::default();
        for (fact, dead) in facts {
            ledger.take(fact, now, dead);
        }
        ledger.restore(extent, &lost);
        let link = |name: &String| Link {
            name: name.clone(),
            start: seen.get(name).copied().unwrap_or(0),
            ..Link::default()
        };
        let id = Id { name: settings.name.clone(), start, turn: 0 };
        let members = Members::new(id, settings.pace, random.random());
        let mut peers = Peers {
            links: settings.others.iter().map(link).collect(),
            members,
            ledger,
            desk: Desk::new(settings.others.len()),
            claims,
            fresh: fresh && start == 1,
            from_empty: fresh,
            hints: Hints::default(),
            memory,
            outgoing: Vec::new(),
            random,
            born: now,
            now,
            run,
            session,
            pushes: BTreeMap::new(),
            damage: BTreeMap::new(),
            to_tell: BTreeMap::new(),
            unticketed: Vec::new(),
            records: vec![Record::Start(start), Record::Memory(memory)],
            next_ticket: 1,
            kept_upto: 0,
            digest_at: now,
            tidy_at: now + TIDY_EVERY,
            spans: BTreeSet::new(),
            allowance: settings.catch_up,
            reckoned: now,
            caught_up: settings.others.is_empty(),
            displaced: false,
            old_state: false,
            refused: BTreeMap::new(),
            sent: (0, 0),
            received: (0, 0),
            out: Vec::new(),
            events: 0,
            sealer,
            settings,
        };
        let restored: Vec<Fact> = peers.ledger.facts(now).map(|(fact, _)| fact.clone()).collect();
        restored.iter().for_each(|fact| peers.span(fact, None));
        peers
    }

    /// Notes when what was closed for a span is open again: it counts from when this forwarder heard of it, unless `left` tells
    /// how much there is left of it.
    fn span(&mut self, fact: &Fact, left: Option<u64>) {
        let FactAction::Close { for_ms: whole @ 1.. } = fact.action else { return };
        self.spans.retain(|(_, dot)| *dot != fact.dot);
        let ends = self.now + left.unwrap_or(whole) + self.stand_in(&fact.dot);
        self.spans.insert((ends, fact.dot.clone()));
    }

    /// How much later than its author this forwarder says that a span is over: one after the other, so that few say it twice.
    fn stand_in(&self, dot: &Dot) -> u64 {
        let author = &dot.run.name;
        let before = self.links.iter().filter(|l| l.name < self.run.name && l.name != *author).count();
        if *author == self.run.name {
            0
        } else {
            (before as u64 + 1) * STAND_IN
        }
    }

    /// For how long a subject is closed yet, by this forwarder's clock: the longest of the spans that hold; 0 if no span does.
    pub fn remaining_closure_ms(&self, subject: &Subject) -> u64 {
        let about = self.ledger.live_facts(subject);
        let of = |dot: &Dot| about.iter().find(|f| f.dot == *dot);
        let ends = self.spans.iter().filter_map(|(at, dot)| Some((at, of(dot)?)));
        // Without the time that others wait for its author to say so.
        let left = ends.map(|(at, fact)| at.saturating_sub(self.now + self.stand_in(&fact.dot)));
        left.max().unwrap_or(0)
    }

    /// After a start: of what was closed for a span so much is left by another record of it.
    pub fn set_remaining_closure(&mut self, subject: &Subject, left: u64) {
        for fact in self.ledger.live_facts(subject) {
            self.span(&fact, Some(left));
        }
    }

    /// What was closed for a span is open again, unless another order keeps it closed. Nobody has to agree: the order itself
    /// said so.
    fn step_spans(&mut self) {
        while let Some((at, dot)) = self.spans.first().cloned().filter(|(at, _)| *at <= self.now) {
            self.spans.remove(&(at, dot.clone()));
            let Some(fact) = self.ledger.get(&dot).filter(|_| self.ledger.is_alive(&dot)).cloned() else {
                continue;
            };
            let FactAction::Close { for_ms } = fact.action else { continue };
            let about = self.ledger.live_facts(&fact.subject);
            let opens = about.iter().filter(|f| f.action == FactAction::Open).map(|f| f.dot.clone());
            let over = opens.chain([dot]).take(MOST_OVER).collect();
            let at = fact.at + 1000 * for_ms;
            let open = self.ledger.compose_over(&self.run, at, fact.subject, FactAction::Open, over);
            // Where there is no room for it, it is for the others to say.
            let _ = self.put_out(open);
        }
    }

    /// What was ordered, and holds.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// What holds for a subject.
    pub fn subject_state(&self, subject: &Subject) -> SubjectState {
        self.ledger.subject_state(subject)
    }

    /// This life.
    pub fn run(&self) -> &Run {
        &self.run
    }

    /// Whether its state folder was found to be an older copy: what it says of what has gone out may be out of date.
    pub fn has_stale_state(&self) -> bool {
        self.old_state
    }

    /// Whether it has what another has and has met a majority of all beside itself, or has waited for that long enough. Its
    /// own folder may be an older copy: whatever a later life on it has had let in, or stated, a majority knows, which shares
    /// a member with those that have been met only if this one is not counted.
    pub fn is_ready(&self, now: u64) -> bool {
        let others = self.links.len();
        let met = self.links.iter().filter(|l| l.present.is_some()).count();
        self.caught_up && met >= self.claims.majority().min(others)
            || now >= self.born + self.settings.ready_within
    }

    /// Whether its ledger has been found to be the same as another's since the start.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Whether another process under its name has taken its place.
    pub fn is_displaced(&self) -> bool {
        self.displaced
    }

    /// Datagrams that were dropped, by why.
    pub fn dropped_datagrams(&self) -> &BTreeMap<Refused, u64> {
        &self.refused
    }

    /// Datagrams and bytes sent, and received and let in.
    pub fn traffic(&self) -> ((u64, u64), (u64, u64)) {
        (self.sent, self.received)
    }

    /// The others, as people are shown them.
    pub fn member_statuses(&self, now: u64) -> Vec<MemberStatus> {
        let link = |l: &Link| {
            let (standing, since) = self.members.standing(&l.name);
            MemberStatus {
                name: l.name.clone(),
                standing,
                for_ms: if standing == Standing::Unknown { 0 } else { now.saturating_sub(since) },
                start: l.start,
                heard_ms: l.heard.map(|at| now.saturating_sub(at)),
                same_ms: l.same.map(|at| now.saturating_sub(at)),
            }
        };
        self.links.iter().map(link).collect()
    }

    /// Members that are there now, this one included, and all of them.
    pub fn reachable_members(&self) -> (usize, usize) {
        let there = |l: &&Link| matches!(self.members.standing(&l.name).0, Standing::Up | Standing::Suspect);
        (1 + self.links.iter().filter(there).count(), 1 + self.links.len())
    }

    /// When [`Peers::tick`] is to be called next.
    pub fn due(&self) -> u64 {
        let pushes = self.pushes.values().map(|p| p.next).min();
        let hello = self.links.iter().filter(|l| self.wants_hello(l)).map(|l| l.hello_at).min();
        let damage = self.damage.values().map(|d| d.since + ASK_FOR).min();
        let wakes = [
            self.claims.due(),
            self.spans.first().map(|(at, _)| *at),
            Some(self.digest_at),
            Some(self.tidy_at),
            pushes,
            hello,
            damage,
            self.members.due(),
            self.desk.due(),
        ];
        wakes.into_iter().flatten().min().unwrap_or(self.digest_at)
    }

    /// What is to be done now.
    pub fn outputs(&mut self) -> Vec<Output> {
        self.step_claims();
        if !self.records.is_empty() {
            let ticket = self.next_ticket;
            self.next_ticket += 1;
            let told = std::mem::take(&mut self.unticketed);
            if !told.is_empty() {
                self.to_tell.insert(ticket, told);
            }
            self.desk.under(ticket);
            self.out.push(Output::Persist(ticket, std::mem::take(&mut self.records)));
        }
        for (ticket, settled) in self.desk.settled() {
            self.out.push(Output::Settled(ticket, settled));
        }
        self.events = 0;
        std::mem::take(&mut self.out)
    }

    fn event(&mut self, kind: &'static str, text: String) {
        if self.events < EVENTS {
            self.events += 1;
            self.out.push(Output::Event(Event { kind, text }));
        }
    }

    /// What was handed out under this ticket is on disk, and all before it.
    pub fn persisted(&mut self, now: u64, ticket: u64) {
        self.now = now.max(self.now);
        self.kept_upto = self.kept_upto.max(ticket);
        let later = self.to_tell.split_off(&(ticket + 1));
        let told = std::mem::replace(&mut self.to_tell, later);
        let mut by_link: BTreeMap<usize, Vec<Dot>> = BTreeMap::new();
        for (link, dot) in told.into_values().flatten() {
            by_link.entry(link).or_default().push(dot);
        }
        for (link, dots) in by_link {
            let messages: Vec<Message> = dots.chunks(8).map(|c| Message::Have(c.to_vec())).collect();
            self.send(link, &messages);
        }
        self.desk.kept(ticket);
    }

    // ---- orders ----

    /// A word that makes things safer: it holds from now on, whoever can be reached. [`Output::Settled`] tells under
    /// `order` once it is kept here and at another, or after the span in which that could be.
    ///
    /// # Errors
    /// There is no room for more facts.
    pub fn order_restrictive(
        &mut self, now: u64, order: u64, at: u64, subject: Subject, word: FactAction,
    ) -> Result<Dot, Refusal> {
        self.now = now.max(self.now);
        let dot = self.state(at, subject, word)?;
        self.desk.stated(self.now, order, dot.clone());
        Ok(dot)
    }

    /// The opposite: it holds once a majority of the members has told what it knows against it. [`Output::Settled`]
    /// tells what has come of it.
    pub fn order_permissive(&mut self, now: u64, order: u64, at: u64, subject: Subject, word: FactAction) {
        self.now = now.max(self.now);
        let nonce = self.random.random::<u64>();
        self.desk.ask(self.now, order, nonce, at, subject, word);
        self.ask_all();
        self.step_queries();
    }

    /// States what this forwarder has held true since before it had members, without asking anybody.
    ///
    /// # Errors
    /// There is no room for more facts.
    pub fn import(&mut self, now: u64, at: u64, subject: Subject, word: FactAction) -> Result<Dot, Refusal> {
        self.now = now.max(self.now);
        self.state(at, subject, word)
    }

    fn state(&mut self, at: u64, subject: Subject, word: FactAction) -> Result<Dot, Refusal> {
        let fact = self.ledger.compose(&self.run, at, subject, word);
        self.put_out(fact)
    }

    fn put_out(&mut self, fact: Fact) -> Result<Dot, Refusal> {
        if !fact.is_sound() {
            return Err(Refusal::Unsound);
        }
        let (dot, subject) = (fact.dot.clone(), fact.subject.clone());
        if self.ledger.take(fact.clone(), self.now, None) != Taken::New {
            return Err(Refusal::Full);
        }
        self.span(&fact, None);
        self.records.push(Record::Fact(fact, None));
        self.out.push(Output::SubjectChanged(subject));
        let missing = (0..self.links.len()).collect();
        self.pushes.insert(dot.clone(), Push { missing, next: self.now, tries: 0 });
        self.step_pushes();
        Ok(dot)
    }

    fn ask_all(&mut self) {
        for (nonce, subject, asked) in self.desk.asking(self.now) {
            for link in asked {
                self.send(link, &[Message::Query { nonce, subject: subject.clone() }]);
            }
        }
    }

    fn step_queries(&mut self) {
        for (order, at, subject, word) in self.desk.answered() {
            match self.state(at, subject, word) {
                Ok(dot) => self.desk.stated(self.now, order, dot),
                Err(refusal) => self.desk.refuse(order, refusal),
            }
        }
    }

    // ---- time ----

    /// Does what is due.
    pub fn tick(&mut self, now: u64) {
        self.now = now.max(self.now);
        let now = self.now;
        let wanted = self.members.tick(now);
        self.do_wanted(wanted);
        for link in 0..self.links.len() {
            if self.wants_hello(&self.links[link]) && self.links[link].hello_at <= now {
                self.hello(link);
            }
        }
        self.step_pushes();
        self.desk.expire(now);
        self.ask_all();
        self.step_queries();
        self.step_damage();
        self.step_spans();
        self.claims.expire(now);
        self.recall();
        if self.digest_at <= now {
            self.digest_at = now + DIGEST_EVERY / 2 + self.random.random_range(0..DIGEST_EVERY);
            if let Some(link) = self.any_present(1).first().copied() {
                self.tell_digest(link);
            }
        }
        if self.tidy_at <= now {
            self.tidy_at = now + TIDY_EVERY;
            self.tidy();
        }
    }

    fn tidy(&mut self) {
        let dropped = self.ledger.drop_dead(self.now, self.settings.horizon);
        self.records.extend(dropped.into_iter().map(Record::Drop));
        // The ages of the dead go on with the next start.
        let dead = self.ledger.facts(self.now).filter(|(_, dead)| dead.is_some());
        self.records.extend(dead.map(|(fact, dead)| Record::Fact(fact.clone(), dead)));
        self.records.push(Record::Extent(self.ledger.extent()));
    }

    fn wants_hello(&self, link: &Link) -> bool {
        let silent = link.heard.is_none_or(|at| self.now > at + SILENT);
        // One that may be new asks all whether it is.
        let asks = self.fresh && link.new_to_it.is_none() && self.now < self.born + claims::RETENTION_MS;
        !self.displaced && (link.present.is_none() || silent || asks)
    }

    fn hello(&mut self, link: usize) {
        let wait = if self.now < self.born + JOINING { HELLO_EVERY / 2 } else { HELLO_EVERY };
        self.links[link].hello_at = self.now + wait + self.random.random_range(0..wait);
        // As long as its answer, so that nobody gets more out of a forwarder than he puts in.
        let fill = postcard::to_stdvec(&Known { start: u64::MAX, session: u64::MAX, heard: u64::MAX });
        self.seal_and_send(link, Kind::Hello, 0, &fill.unwrap_or_default());
    }

    // ---- sending ----

    fn seal_and_send(&mut self, link: usize, kind: Kind, to: u64, payload: &[u8]) {
        self.links[link].sent += 1;
        let head = Head {
            kind,
            from: self.run.name.clone(),
            start: self.run.start,
            session: self.session,
            to,
            seq: self.links[link].sent,
            sent: self.now,
        };
        if let Some(bytes) = self.sealer.seal(&head, payload) {
            self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
            self.out.push(Output::Send(link, bytes));
        }
    }

    fn send(&mut self, link: usize, messages: &[Message]) {
        let Some(to) = self.links[link].present.as_ref().map(|p| p.session) else { return };
        if self.displaced {
            return;
        }
        for payload in pack(messages) {
            self.seal_and_send(link, Kind::Data, to, &payload);
        }
    }

    /// Sends what belongs to catching up, within its share of bytes. What does not fit is asked for again.
    fn send_paced(&mut self, link: usize, messages: &[Message]) -> bool {
        let fresh = (self.now - self.reckoned) * self.settings.catch_up / 1000;
        if fresh > 0 {
            self.allowance = (self.allowance + fresh).min(self.settings.catch_up);
            self.reckoned = self.now;
        }
        for message in messages {
            let size = postcard::experimental::serialized_size(message).unwrap_or(PAYLOAD) as u64;
            if size > self.allowance {
                return false;
            }
            self.allowance -= size;
            self.send(link, std::slice::from_ref(message));
        }
        true
    }

    fn do_wanted(&mut self, wanted: Wanted) {
        for (name, data) in wanted.send {
            if let Some(link) = self.links.iter().position(|l| l.name == name) {
                self.send(link, &[Message::Swim(data)]);
            }
        }
        for name in wanted.up {
            if let Some(link) = self.links.iter().position(|l| l.name == name) {
                self.event("peer_up", format!("{name} is there"));
                self.tell_digest(link);
            }
        }
        for name in wanted.down {
            if self.links.iter().any(|l| l.name == name) {
                self.event("peer_down", format!("{name} is gone, or cut off from here"));
            }
        }
        if wanted.rejoined {
            let text = "the others held this forwarder to be gone; it is back among them";
            self.event("rejoined", text.into());
        }
    }

    /// Some members that are spoken to, drawn at random.
    fn any_present(&mut self, count: usize) -> Vec<usize> {
        let mut present: Vec<usize> =
            (0..self.links.len()).filter(|l| self.links[*l].present.is_some()).collect();
        let mut drawn = Vec::new();
        while drawn.len() < count && !present.is_empty() {
            drawn.push(present.swap_remove(self.random.random_range(0..present.len())));
        }
        drawn
    }

    fn tell_digest(&mut self, link: usize) {
        let digest = self.ledger.digest();
        self.send(link, &[Message::Digest(digest)]);
    }

    /// Goes round those that lack one of this forwarder's own facts.
    fn step_pushes(&mut self) {
        let due: Vec<Dot> =
            self.pushes.iter().filter(|(_, p)| p.next <= self.now).map(|(d, _)| d.clone()).collect();
        for dot in due {
            let Some(fact) = self.ledger.get(&dot).cloned() else {
                self.pushes.remove(&dot);
                continue;
            };
            let Some(push) = self.pushes.get_mut(&dot) else { continue };
            push.tries += 1;
            push.next = self.now + (PUSH_FIRST << push.tries.min(6)).min(PUSH_MOST);
            let (missing, over) = (push.missing.clone(), push.tries > PUSHES);
            if over {
                // Whoever has not answered by now finds it out by digest.
                self.pushes.remove(&dot);
                continue;
            }
            for link in missing {
                self.send(link, &[Message::Facts(vec![fact.clone()])]);
            }
        }
    }

    // ---- receiving ----

    /// Takes a datagram in.
    pub fn datagram(&mut self, now: u64, bytes: &[u8]) {
        self.now = now.max(self.now);
        match self.let_in(bytes) {
            Ok(()) => {
                self.received = (self.received.0 + 1, self.received.1 + bytes.len() as u64);
            }
            Err(refused) => *self.refused.entry(refused).or_default() += 1,
        }
    }

    fn let_in(&mut self, bytes: &[u8]) -> Result<(), Refused> {
        let sealer = self.sealer.clone();
        let (head, payload) = sealer.open(bytes)?;
        let link = self.links.iter().position(|l| l.name == head.from).ok_or(Refused::Stranger)?;
        if head.kind == Kind::Hello {
            return self.welcome(link, &head, bytes.len());
        }
        if head.to != self.session {
            return Err(Refused::Stale);
        }
        let present = self.links[link].present.as_mut().filter(|p| p.session == head.session);
        if present.is_some_and(|p| !p.window.is_new(head.seq)) {
            return Err(Refused::Replayed);
        }
        self.refuse_older(link, &head)?;
        if head.kind == Kind::Welcome {
            // Before anything is told to it under a number that may be an earlier life's.
            let known: Known = postcard::from_bytes(payload).map_err(|_| Refused::Unreadable)?;
            self.welcomed(link, known);
        }
        self.meet(link, &head);
        let heard = self.links[link].heard.unwrap_or(self.now);
        let since = self.now.saturating_sub(heard) as i64;
        let Some(present) = &mut self.links[link].present else { return Err(Refused::Stale) };
        // Of one that has been met by this.
        present.window.is_new(head.seq);
        let span = self.now as i64 - head.sent as i64;
        // Clocks that run unlike each other move it, by less than one part in fifty: so much of it is not lateness.
        present.offset = (present.offset + 1 + since / 50).min(span);
        let late = (span - present.offset).max(0) as u64;
        self.links[link].heard = Some(self.now);
        if head.kind == Kind::Welcome {
            return Ok(());
        }
        for message in unpack(payload).ok_or(Refused::Unreadable)? {
            self.message(link, message, late)?;
        }
        Ok(())
    }

    /// Whoever goes on saying hello under a name that has a session is not that member: a process elsewhere, which what is sent
    /// to that name never reaches.
    fn look_at_hello(&mut self, link: usize, head: &Head) {
        let now = self.now;
        let l = &mut self.links[link];
        let there = l.present.as_ref().is_some_and(|p| p.session != head.session) && l.is_there(now);
        if !there || l.doubled {
            l.stranger = None;
            return;
        }
        let since = match l.stranger {
            Some((session, since)) if session == head.session => since,
            _ => now,
        };
        l.stranger = Some((head.session, since));
        if now > since + STILL_THERE {
            l.doubled = true;
            let text = format!(
                "two processes run under the name {}: one is a member, and another one, with start number {}, asks to be",
                l.name, head.start
            );
            self.event("two_processes", text);
        }
    }

    /// Answers a hello: to the address of the list, by no more bytes than it had.
    fn welcome(&mut self, link: usize, head: &Head, length: usize) -> Result<(), Refused> {
        self.look_at_hello(link, head);
        let l = &self.links[link];
        let heard = l.heard.map_or(u64::MAX, |at| self.now.saturating_sub(at));
        let known = Known { start: l.start, session: l.session, heard };
        let payload = postcard::to_stdvec(&known).map_err(|_| Refused::Unreadable)?;
        // Both heads have the same fields; the session in place of the 0 is what can make it longer.
        if length + 10 < payload.len() {
            return Err(Refused::Unreadable);
        }
        self.seal_and_send(link, Kind::Welcome, head.session, &payload);
        Ok(())
    }

    /// Whoever writes to this session is a life that has heard of it: the one with the highest start number is the member.
    fn refuse_older(&mut self, link: usize, head: &Head) -> Result<(), Refused> {
        let l = &mut self.links[link];
        let known = l.present.as_ref().map(|p| p.session);
        // Another life under the same number runs on an older copy of the folder: it has to take a number of its own first, and
        // is told so when it says hello. Were it met, nothing would be left here to tell it by.
        let older = head.start < l.start || head.start == l.start && l.session != 0;
        if known == Some(head.session) || !older {
            return Ok(());
        }
        let there = known.is_some() && l.is_there(self.now);
        if there && self.now > l.met + STILL_THERE && !l.doubled {
            l.doubled = true;
            let name = l.name.clone();
            let text = format!(
                "two processes run under the name {name}: the one with start number {} goes on while {} is there",
                head.start, l.start
            );
            self.event("two_processes", text);
        }
        Err(Refused::Stale)
    }

    /// Takes a life that is not an older one for the member.
    fn meet(&mut self, link: usize, head: &Head) {
        let l = &mut self.links[link];
        if l.present.as_ref().is_some_and(|p| p.session == head.session) {
            if head.start > l.start {
                // It has found that its number was an earlier life's.
                l.start = head.start;
                self.records.push(Record::Seen(l.name.clone(), head.start));
            }
            return;
        }
        if l.start != head.start {
            self.records.push(Record::Seen(l.name.clone(), head.start));
        }
        (l.start, l.session, l.met, l.doubled) = (head.start, head.session, self.now, false);
        l.present = Some(Present {
            session: head.session,
            window: Window::default(),
            offset: self.now as i64 - head.sent as i64,
        });
        (l.same, l.hello_at) = (None, self.now);
        self.claims.restarted(link);
        let id = Id { name: l.name.clone(), start: head.start, turn: 0 };
        let wanted = self.members.announce(self.now, id);
        self.do_wanted(wanted);
        self.tell_digest(link);
        for push in self.pushes.values_mut().filter(|p| p.missing.contains(&link)) {
            (push.next, push.tries) = (self.now, 0);
        }
    }

    /// What another knows of this forwarder: an earlier life with a higher start number means that the state folder is
    /// older than that life.
    fn welcomed(&mut self, link: usize, known: Known) {
        let new = known.start == 0 || known.session == self.session;
        if new || known.start >= self.run.start {
            // What it has said once, before it had heard of this life, stays.
            self.links[link].new_to_it.get_or_insert(new);
            let new_to = self.links.iter().filter(|l| l.new_to_it == Some(true)).count();
            if self.fresh && new_to >= self.links.len().div_ceil(2) {
                // It, and those, are a majority.
                self.fresh = false;
                self.claims.is_new(self.now);
            }
        }
        if known.session == self.session || known.start < self.run.start || known.start == 0 {
            return;
        }
        if known.start == self.run.start && known.session == 0 {
            // The other has its number from its own store, from before this life or of it: nothing speaks against it.
            return;
        }
        if self.displaced {
            return;
        }
        let other = self.links[link].name.clone();
        // Long after its start, one that was heard of just now is no earlier life, but another process.
        if self.now >= self.born + JOINING && known.heard < STILL_THERE {
            self.displaced = true;
            let text = format!(
                "another process runs under the name {} and has start number {}, this one {}: {other} has heard it {} ms \
                 ago. This one takes no part any more; stop one of the two",
                self.run.name, known.start, self.run.start, known.heard
            );
            return self.event("displaced", text);
        }
        (self.old_state, self.fresh) = (true, false);
        // What its later life held and granted is not in this folder.
        self.memory = self.random.random::<u64>() | 1;
        self.claims.forget_own(self.now, self.memory, known.start + 1);
        self.records.push(Record::Memory(self.memory));
        let before = self.run.start;
        self.run.start = known.start + 1;
        self.records.push(Record::Start(self.run.start));
        let text = format!(
            "the state folder is older than what {other} knows: this start has number {before}, and one with {} has been \
             there; going on as {}",
            known.start, self.run.start
        );
        self.event("old_state", text);
        let id = Id { name: self.run.name.clone(), start: self.run.start, turn: 0 };
        let wanted = self.members.restart(self.now, id);
        self.do_wanted(wanted);
        for link in 0..self.links.len() {
            self.hello(link);
        }
    }

    fn message(&mut self, link: usize, message: Message, late: u64) -> Result<(), Refused> {
        match message {
            Message::Swim(data) => {
                let (read, wanted) = self.members.heard(self.now, &data);
                self.do_wanted(wanted);
                return read.then_some(()).ok_or(Refused::Unreadable);
            }
            Message::Facts(facts) => return facts.into_iter().try_for_each(|f| self.fact(link, f)),
            Message::Have(dots) => dots.iter().for_each(|dot| self.has(link, dot)),
            Message::Digest(sums) => self.digest(link, &sums),
            Message::Summary { bucket, echo, stretches } => {
                if bucket as usize >= BUCKETS {
                    return Err(Refused::Unreadable);
                }
                stretches.iter().for_each(|s| self.stretch(link, s));
                if echo {
                    self.tell_bucket(link, bucket as usize, false);
                }
            }
            Message::Want { run, seqs } => {
                let dots = seqs.into_iter().take(WANTS).map(|seq| Dot { run: run.clone(), seq });
                let facts: Vec<Fact> = dots.filter_map(|d| self.ledger.get(&d).cloned()).collect();
                let messages: Vec<Message> = facts.into_iter().map(|f| Message::Facts(vec![f])).collect();
                self.send_paced(link, &messages);
            }
            Message::Query { nonce, subject } => {
                let facts = self.ledger.live_facts(&subject);
                // What does not fit one datagram goes before it by itself.
                let (few, more) = facts.split_at(facts.len().min(2));
                let mut messages: Vec<Message> =
                    more.iter().map(|f| Message::Facts(vec![f.clone()])).collect();
                messages.push(Message::Answer { nonce, facts: few.to_vec() });
                self.send(link, &messages);
            }
            Message::Answer { nonce, facts } => {
                facts.into_iter().try_for_each(|f| self.fact(link, f))?;
                self.desk.answer(link, nonce);
                self.step_queries();
            }
            Message::AskWord(dot) => {
                if dot.run.name == self.run.name {
                    if let Some(fact) = self.ledger.get(&dot).cloned() {
                        self.send(link, &[Message::Word(Box::new(fact))]);
                    }
                }
            }
            Message::Waits(waits) => {
                for (partner, left) in waits.into_iter().take(hints::MOST) {
                    let until = self.hints.wait(self.now, link, partner, left.saturating_sub(late));
                    self.out.extend(until.map(|until| Output::HoldPartner(partner, until)));
                }
            }
            Message::Claims(memory, claims) => {
                let from = self.holder(link, memory);
                for chunk in claims.chunks(claims::ITEMS) {
                    let answer = |c: &claims::Claim| (c.key, c.turn, self.claims.answer(self.now, &from, c));
                    let answers = chunk.iter().map(answer).collect();
                    self.outgoing.push((link, Message::Claimed(answers)));
                }
            }
            Message::Claimed(answers) => {
                for (key, turn, answer) in answers {
                    let held = matches!(answer, Answer::Held(..));
                    self.claims.answered(self.now, link, key, turn, answer);
                    if held {
                        self.ask_holder(key);
                    }
                }
            }
            Message::Ended(memory, ends) => {
                let from = self.holder(link, memory);
                let keys = ends.iter().map(|(key, ..)| *key).collect();
                for (key, turn, word) in ends {
                    self.claims.told(self.now, &from, key, turn, word);
                }
                self.outgoing.push((link, Message::EndKnown(keys)));
            }
            Message::EndKnown(keys) => keys.into_iter().for_each(|key| self.claims.acknowledged(link, key)),
            Message::Whose(key) => {
                let status = self.claims.own_status(key);
                if status == Status::Unknown {
                    self.claims.deny(self.now, key);
                }
                self.outgoing.push((link, Message::Is(self.memory, key, status)));
            }
            Message::Is(memory, key, status) => {
                let from = self.holder(link, memory);
                self.claims.status(self.now, &from, key, status);
                // With another memory than the one that holds it, nobody can be asked any more.
                if self.claims.held_by(key).is_some_and(|h| h.name == from.name && *h != from) {
                    self.claims.out_of_reach(self.now, key);
                }
            }
            Message::Recall(after) => {
                let piece = self.claims.piece(self.now, after);
                self.send_paced(link, &[Message::Recalled(piece)]);
            }
            Message::Recalled(piece) => {
                if self.claims.recalled(self.now, link, piece) {
                    self.recall();
                }
            }
            Message::Word(fact) => {
                if fact.dot.run.name == self.links[link].name && fact.is_sound() {
                    self.word(*fact);
                }
            }
        }
        Ok(())
    }

    fn fact(&mut self, link: usize, fact: Fact) -> Result<(), Refused> {
        if !fact.is_sound() {
            return Err(Refused::Unreadable);
        }
        let (dot, subject) = (fact.dot.clone(), fact.subject.clone());
        match self.ledger.take(fact.clone(), self.now, None) {
            Taken::New => {
                self.span(&fact, None);
                self.records.push(Record::Fact(fact, None));
                self.out.push(Output::SubjectChanged(subject));
                // The subjects of what it supersedes are its own: nothing else has changed.
                for other in self.any_present(RUMOUR) {
                    if other != link {
                        self.tell_digest(other);
                    }
                }
            }
            Taken::Known | Taken::Dropped if self.records.is_empty() => {
                let handed = self.next_ticket - 1;
                if self.kept_upto == handed {
                    self.send(link, &[Message::Have(vec![dot])]);
                } else {
                    self.to_tell.entry(handed).or_default().push((link, dot));
                }
                return Ok(());
            }
            Taken::Known | Taken::Dropped => {}
            Taken::Damaged => {
                self.found_damaged(link, dot, Some(fact));
                return Ok(());
            }
            Taken::Full => {
                self.event("ledger_full", format!("there is no room for {dot} of {}", self.links[link].name));
                return Ok(());
            }
        }
        self.unticketed.push((link, dot));
        Ok(())
    }

    /// Another has a fact on disk.
    fn has(&mut self, link: usize, dot: &Dot) {
        self.desk.copied(link, dot);
        let Some(push) = self.pushes.get_mut(dot) else { return };
        push.missing.remove(&link);
        if push.missing.is_empty() {
            self.pushes.remove(dot);
        }
    }

    fn digest(&mut self, link: usize, sums: &[u64; BUCKETS]) {
        let own = self.ledger.digest();
        if own == *sums {
            self.links[link].same = Some(self.now);
            if !self.caught_up {
                self.caught_up = true;
                let text = format!("caught up: the ledger is the same as that of {}", self.links[link].name);
                self.event("caught_up", text);
                // Whoever compares with this one may have caught up by that as well.
                self.tell_digest(link);
            }
            return;
        }
        // Until they are the same it goes on soon.
        self.digest_at = self.digest_at.min(self.now + DIGEST_SOON);
        for bucket in (0..BUCKETS).filter(|n| own[*n] != sums[*n]) {
            self.tell_bucket(link, bucket, true);
        }
    }

    fn tell_bucket(&mut self, link: usize, bucket: usize, echo: bool) {
        let pieces = self.ledger.summary(bucket, PIECE);
        if pieces.is_empty() && echo {
            let empty = Message::Summary { bucket: bucket as u8, echo, stretches: Vec::new() };
            self.send_paced(link, &[empty]);
            return;
        }
        for (n, piece) in pieces.into_iter().enumerate() {
            let message =
                Message::Summary { bucket: bucket as u8, echo: echo && n == 0, stretches: vec![piece] };
            if !self.send_paced(link, &[message]) {
                return;
            }
        }
    }

    fn stretch(&mut self, link: usize, told: &Stretch) {
        let seen = self.ledger.compare(told, self.now);
        let mut changed: BTreeSet<Subject> = seen.died;
        for fact in seen.aside {
            let text = format!(
                "{} of {} said {} {}, and is laid aside: {} has dropped it, it was superseded while this forwarder was away",
                fact.dot, fact.dot.run.name, fact.action.name(), fact.subject, self.links[link].name
            );
            self.event("laid_aside", text);
            self.records.push(Record::Drop(fact.dot.clone()));
            changed.insert(fact.subject.clone());
            self.out.push(Output::Discarded(fact));
        }
        self.out.extend(changed.into_iter().map(Output::SubjectChanged));
        if seen.advanced {
            self.records.push(Record::Extent(self.ledger.extent()));
        }
        for dot in seen.damaged {
            self.found_damaged(link, dot, None);
        }
        for chunk in seen.lacking.chunks(WANTS) {
            let seqs = chunk.iter().map(|d| d.seq).collect();
            self.send(link, &[Message::Want { run: told.run.clone(), seqs }]);
        }
    }

    // ---- hints ----

    /// A partner has told this forwarder to wait for so many milliseconds. The others hear of it once: one that does not is
    /// told by the partner itself.
    pub fn share_wait(&mut self, now: u64, partner: u32, left: u64) {
        self.now = now.max(self.now);
        if left < hints::LEAST || !self.settings.share_waits {
            return;
        }
        for link in 0..self.links.len() {
            self.send(link, &[Message::Waits(vec![(partner, left)])]);
        }
    }

    // ---- ids ----

    fn holder(&self, link: usize, memory: u64) -> Holder {
        Holder { name: self.links[link].name.clone(), memory }
    }

    /// Begins to claim the id of a message that is handed in here; [`Output::Claim`] tells what has come of it.
    pub fn claim(&mut self, now: u64, key: Key, effect: claims::Effect) {
        self.now = now.max(self.now);
        self.claims.claim(self.now, key, effect);
        self.ask_holder(key);
    }

    /// A message of this forwarder has ended, or was not taken on after all.
    pub fn message_ended(&mut self, now: u64, key: Key, word: claims::ClaimOutcome) {
        self.now = now.max(self.now);
        self.claims.tell(self.now, key, word);
    }

    /// A message of this forwarder has been taken on.
    pub fn message_accepted(&mut self, key: Key) {
        self.claims.taken(key);
    }

    /// After a start: see [`Claims::recheck`].
    pub fn reconcile_claims(
        &mut self, now: u64, held: &[Key], ended: &[(Key, claims::ClaimOutcome)], whole: bool,
    ) {
        self.now = now.max(self.now);
        // A folder that was empty does not tell what was held before.
        self.claims.recheck(self.now, held, ended, whole && !self.old_state && !self.from_empty);
    }

    /// Whether all that this forwarder has granted is known to it: only then its word on ids counts.
    pub fn knows_all_claims(&self, now: u64) -> bool {
        self.claims.is_sure(now)
    }

    /// Who holds, or held, a message, and how it ended; as far as it is known here.
    pub fn known_id(&self, key: Key) -> Option<(&str, Option<claims::ClaimOutcome>)> {
        self.claims.known(key).map(|(holder, word)| (holder.name.as_str(), word))
    }

    fn recall(&mut self) {
        for (link, after) in self.claims.recalls(self.now) {
            self.send(link, &[Message::Recall(after)]);
        }
    }

    /// Everything granted that stands, for a log that is written anew.
    pub fn claim_snapshot(&self) -> Vec<Kept> {
        self.claims.standing()
    }

    /// Ids that are known.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Asks whoever holds an id that is claimed here for what has become of it.
    fn ask_holder(&mut self, key: Key) {
        let Some(holder) = self.claims.held_by(key) else { return };
        let link = self.links.iter().position(|l| l.name == holder.name);
        match link {
            Some(link) if self.links[link].present.is_some() => self.send(link, &[Message::Whose(key)]),
            // Of one's own name: an earlier memory, which nobody has any more.
            _ => self.claims.out_of_reach(self.now, key),
        }
    }

    fn step_claims(&mut self) {
        let links = &self.links;
        for (link, claims) in self.claims.asking(self.now, |l| links[l].is_there(self.now)) {
            let memory = self.memory;
            let parts = claims.chunks(claims::ITEMS).map(|c| (link, Message::Claims(memory, c.to_vec())));
            self.outgoing.extend(parts);
        }
        for (link, ends) in self.claims.telling(self.now) {
            let memory = self.memory;
            let parts = ends.chunks(claims::ITEMS).map(|c| (link, Message::Ended(memory, c.to_vec())));
            self.outgoing.extend(parts);
        }
        if let Some(sure) = self.claims.turned_sure() {
            self.out.push(Output::ClaimLogComplete(sure));
            if sure {
                let text =
                    "all ids that this forwarder had let in are known to it again: its word on them counts";
                self.event("ids_known", text.into());
            }
        }
        let records = self.claims.records();
        if !records.is_empty() {
            // Before the answers that rest on them.
            self.out.insert(0, Output::PersistClaims(records));
        }
        let mut by_link: BTreeMap<usize, Vec<Message>> = BTreeMap::new();
        for (link, message) in std::mem::take(&mut self.outgoing) {
            by_link.entry(link).or_default().push(message);
        }
        for (link, messages) in by_link {
            self.send(link, &messages);
        }
        self.out.extend(self.claims.done().into_iter().map(|(key, verdict)| Output::Claim(key, verdict)));
    }

    // ---- copies that differ ----

    fn found_damaged(&mut self, link: usize, dot: Dot, other: Option<Fact>) {
        if dot.run.name == self.run.name {
            // One's own word counts: the other will ask for it.
            return;
        }
        let fetch = other.is_none();
        if let Some(damage) = self.damage.get_mut(&dot) {
            damage.other = other.or(damage.other.take());
            return;
        }
        let text = format!(
            "{dot} has another content at {} than here: it is not merged, and {} is asked for its word",
            self.links[link].name, dot.run.name
        );
        self.event("damage", text);
        self.damage.insert(dot.clone(), Damage { since: self.now, at: link, other });
        if fetch {
            self.send(link, &[Message::Want { run: dot.run.clone(), seqs: vec![dot.seq] }]);
        }
        if let Some(author) = self.links.iter().position(|l| l.name == dot.run.name) {
            self.send(author, &[Message::AskWord(dot)]);
        }
    }

    /// The author's word comes in the place of whatever is there.
    fn word(&mut self, fact: Fact) {
        if self.damage.remove(&fact.dot).is_none() || self.ledger.get(&fact.dot) == Some(&fact) {
            return;
        }
        self.event("repaired", format!("{} is as its author has it", fact.dot));
        self.put(fact);
    }

    fn put(&mut self, fact: Fact) {
        let before = self.ledger.get(&fact.dot).map(|f| f.subject.clone());
        self.out.extend(before.into_iter().chain([fact.subject.clone()]).map(Output::SubjectChanged));
        self.records.push(Record::Fact(fact.clone(), None));
        self.ledger.replace(fact, self.now);
    }

    /// Where the author has not answered, the copy counts that [`Fact::counts_over`] names: the same at all.
    fn step_damage(&mut self) {
        let due: Vec<Dot> = self
            .damage
            .iter()
            .filter(|(_, d)| self.now >= d.since + ASK_FOR)
            .map(|(dot, _)| dot.clone())
            .collect();
        for dot in due {
            let Some(damage) = self.damage.remove(&dot) else { continue };
            let Some(other) = damage.other else { continue };
            let holder = self.links[damage.at].name.clone();
            let ours = self.ledger.get(&dot).is_some_and(|own| own.counts_over(&other));
            let whose = if ours { "this forwarder".to_string() } else { holder };
            let text = format!(
                "{dot}: {} does not answer; the copy of {whose} counts, the safer one or else the one of the lower sum",
                dot.run.name
            );
            self.event("damage_settled", text);
            if !ours {
                self.put(other);
            }
        }
    }

    /// Tells all that this forwarder goes.
    pub fn leave(&mut self, now: u64) {
        self.now = now.max(self.now);
        let wanted = self.members.leave(self.now);
        self.do_wanted(wanted);
    }
}
