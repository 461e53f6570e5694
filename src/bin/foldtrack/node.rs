//! The loop that owns all state: the module, the messages and the journal. What sockets and timers tell
//! comes in as [`Input`]s; what the module decides goes out, in its order.

use crate::clients::{self, Desk};
use crate::config::Config;
use crate::journal::{Accepted, Fate, Journal, Notice, Record, Restored};
use crate::notices::{Ending, Notices};
use crate::platform::{self, ServerList, ServerState};
use crate::table::{Ids, Known, Targets};
use crate::targets::{self, Call, CallEnd, IdleConnections};
use bytes::Bytes;
use hatchline::settings::Parsed;
use hatchline::{Action, Brain, Endpoint, EndpointState, Event, ListKind, Micros, Outcome, TargetId};
use hyper::StatusCode;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch, Semaphore};
use tokio::time::{sleep_until, timeout, Instant};

/// Inputs that one round takes in at most.
const ROUND: usize = 1024;
/// After SIGTERM: how long connections are still accepted, and by when the process has ended.
const ACCEPT_ON: Duration = Duration::from_millis(500);
const END_BY: Duration = Duration::from_millis(3300);
/// A send that has waited for longer than this is decided anew.
const STALE_SEND: Micros = 50_000;
/// How long the start waits for the list.
const FIRST_LIST: Duration = Duration::from_millis(250);
const SWEEP: Duration = Duration::from_secs(1);
/// Descriptors for all but clients and targets: the runtime's, the journal's, those to the platform, and those
/// that are closing.
const OTHER_SOCKETS: usize = 32;
/// Part of the memory limit that bodies which are being read may take.
const BODIES_PART: usize = 4;
/// Bytes of the memory limit for each id that is remembered.
const MEMORY_PER_ID: usize = 1024;

/// Monotonic microseconds for the module, and their relation to Unix time for the journal.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    unix_start: Micros,
}

impl Clock {
    /// The count starts here, so that times before the start can be named too.
    const BASE: Micros = 1 << 40;

    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_start: unix.as_micros() as Micros }
    }

    pub fn now(&self) -> Micros {
        Self::BASE + self.start.elapsed().as_micros() as Micros
    }

    fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(Self::BASE))
    }

    fn micros(&self, at: Instant) -> Micros {
        Self::BASE + at.saturating_duration_since(self.start).as_micros() as Micros
    }

    fn unix(&self, at: Micros) -> Micros {
        (self.unix_start + at).saturating_sub(Self::BASE)
    }

    fn since_unix(&self, unix: Micros) -> Micros {
        (Self::BASE + unix).saturating_sub(self.unix_start)
    }
}

/// A message as it was handed in.
#[derive(Debug)]
pub(crate) struct Message {
    pub id: String,
    pub class: usize,
    pub destination: u32,
    pub key: String,
    pub idempotency_key: Option<String>,
    pub retry: Option<String>,
    pub expires: Micros,
    pub body: Bytes,
}

impl Message {
    /// Bytes that it takes in the journal, about.
    fn size(&self) -> usize {
        let key = self.idempotency_key.as_ref().map_or(0, String::len);
        self.body.len() + self.id.len() + self.key.len() + key + 128
    }

    fn order_key(&self) -> u64 {
        order_key(&self.key)
    }
}

/// The module's name for a key, 0 for none; two keys that share one only wait for each other.
fn order_key(key: &str) -> u64 {
    if key.is_empty() {
        return 0;
    }
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish().max(1)
}

/// How far the process is from its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Serving,
    /// Told to end: answers close their connections.
    Draining,
    /// Nothing is accepted any more.
    Closing,
}

/// What a client is told.
pub(crate) enum Answer {
    TakenOn(Receipt),
    /// Handed in before: taken on then, or `over` with no more to come.
    Known {
        over: bool,
    },
    Refused {
        retry_in_ms: u64,
    },
}

/// Tells the node, when it is dropped, whether the client's answer has been written.
pub(crate) struct Receipt {
    number: u64,
    inputs: Inputs,
    pub written: bool,
}

impl Drop for Receipt {
    fn drop(&mut self) {
        self.inputs.send(Input::Answered { number: self.number, written: self.written });
    }
}

/// What happens to the node.
pub(crate) enum Input {
    HandIn {
        message: Arc<Message>,
        reply: oneshot::Sender<Answer>,
    },
    Answered {
        number: u64,
        written: bool,
    },
    CallEnded(CallEnd),
    List {
        list: ServerList,
        from: SocketAddr,
    },
    /// Notices were answered with this status, or not at all.
    Reported {
        numbers: Vec<u64>,
        status: Option<StatusCode>,
        to: SocketAddr,
    },
    /// Discovery is there from now on.
    Discovery(SocketAddr),
    Terminate,
}

/// The way to the node. The queue has no bound of its own: each connection and each call has one input under
/// way, and connections and calls are bounded.
#[derive(Clone)]
pub(crate) struct Inputs(UnboundedSender<Input>);

impl Inputs {
    pub fn send(&self, input: Input) {
        // The node is gone only when the process ends.
        let _ = self.0.send(input);
    }
}

/// How far the client has been told that its message is taken on.
enum Taken {
    /// Not at all: the module may refuse it yet.
    Fresh(oneshot::Sender<Answer>),
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
    attempts: u32,
    /// A send that the module has decided on, but that must not go yet: see [`Node::send`].
    waiting: Option<Waiting>,
}

struct Node {
    clock: Clock,
    brain: Brain,
    settings: Arc<Parsed>,
    journal: Journal,
    inputs: Inputs,
    discovery: watch::Sender<SocketAddr>,
    /// Lists taken in. Their own versions begin anew where discovery moves.
    lists: u32,
    next_number: u64,
    /// What is taken on, or may be, by number in the order of arrival.
    messages: BTreeMap<u64, Held>,
    /// Those of this round whose clients wait for an answer.
    fresh: Vec<u64>,
    notices: Notices,
    /// Those whose send has been decided on, but has not gone yet.
    waiting: BTreeSet<u64>,
    /// By message and attempt: what calls it off.
    calls: BTreeMap<(u64, u32), oneshot::Sender<()>>,
    idle: IdleConnections,
    swept: Instant,
    targets: Targets,
    ids: Ids,
    most_ids: usize,
    timers: BTreeSet<(Micros, u32)>,
    stage: watch::Sender<Stage>,
    terminated: Option<Instant>,
    actions: Vec<Action>,
}

/// The channel to a node that is yet to run.
pub(crate) fn channel() -> (Inputs, UnboundedReceiver<Input>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (Inputs(sender), receiver)
}

/// Restores what the journal holds, then serves until it is told to end.
pub(crate) async fn run(
    config: Config, inputs: Inputs, mut receiver: UnboundedReceiver<Input>,
) -> io::Result<()> {
    let clock = Clock::new();
    let settings = Arc::new(config.settings);
    let max_attempts = settings.settings.max_attempts;
    let (journal, restored) = Journal::open(&config.state, config.disk_bytes, max_attempts)?;
    let (stage, stage_seen) = watch::channel(Stage::Serving);
    // Half for clients, half for calls and for what stands idle between them.
    let share = config.sockets.saturating_sub(OTHER_SOCKETS) / 2;
    let slots = settings.settings.slots as usize;
    let conn_idle = Duration::from_micros(settings.settings.connection_idle);
    let mut node = Node {
        clock,
        brain: Brain::new(clock.now(), config.seed, settings.settings.clone()),
        settings: settings.clone(),
        journal,
        inputs: inputs.clone(),
        discovery: watch::Sender::new(config.discovery),
        lists: 0,
        next_number: restored.last_key_value().map_or(1, |(number, _)| number + 1),
        messages: BTreeMap::new(),
        fresh: Vec::new(),
        notices: Notices::default(),
        waiting: BTreeSet::new(),
        calls: BTreeMap::new(),
        idle: IdleConnections::new(conn_idle, share.saturating_sub(slots).max(share / 4)),
        swept: Instant::now(),
        targets: Targets::default(),
        ids: Ids::default(),
        most_ids: config.memory_bytes / MEMORY_PER_ID,
        timers: BTreeSet::new(),
        stage,
        terminated: None,
        actions: Vec::new(),
    };
    node.list(config.known, ListKind::Cached);
    for (number, message) in restored {
        node.restore(number, message);
    }
    tokio::spawn(platform::watch(node.discovery.subscribe(), inputs.clone()));
    let mut batch = Vec::new();
    // What the configuration knows may be old: a target that this forwarder was told of as drained, before it
    // restarted, would get what it held. The agent answers at once, or discovery is down.
    if let Ok(Some(first)) = timeout(FIRST_LIST, receiver.recv()).await {
        batch.push(first);
    }
    let listener = TcpListener::bind(config.listen).await?;
    let bodies = Semaphore::new(config.memory_bytes / BODIES_PART);
    let desk = Desk { settings, clock, inputs, stage: stage_seen, bodies };
    tokio::spawn(clients::serve(listener, Arc::new(desk), share.max(1)));
    while !node.has_ended() {
        node.round(&mut batch);
        let wake = node.wake_at();
        tokio::select! {
            biased;
            _ = receiver.recv_many(&mut batch, ROUND) => {}
            () = sleep_until(wake) => {}
        }
    }
    Ok(())
}

impl Node {
    /// Takes in all that has happened, lets the module decide once, and carries out what it says.
    fn round(&mut self, batch: &mut Vec<Input>) {
        for input in batch.drain(..) {
            self.take_in(input);
        }
        self.expire_waiting();
        let now = self.clock.now();
        while let Some((_, token)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.pop_first();
            self.handle(Event::Timer { token });
        }
        self.brain.decide(self.clock.now(), &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.carry_out(action);
        }
        self.answer_clients();
        self.report_notices();
        self.step_down();
        if self.swept.elapsed() > SWEEP {
            self.swept = Instant::now();
            self.idle.sweep();
            let (now, keep) = (self.clock.now(), self.remember());
            self.ids.forget(now, self.most_ids);
            for number in self.targets.forget(now, now - keep) {
                self.idle.close(number);
            }
        }
    }

    /// How long what has gone is remembered: no message that knew it is held for longer.
    fn remember(&self) -> Micros {
        2 * self.settings.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0)
    }

    fn handle(&mut self, event: Event) {
        self.brain.handle(self.clock.now(), event, &mut self.actions);
    }

    fn take_in(&mut self, input: Input) {
        match input {
            Input::HandIn { message, reply } => self.hand_in(message, reply),
            Input::Answered { number, written } => self.answered(number, written),
            Input::CallEnded(end) => self.call_ended(end),
            // What the old address has told late does not stand against the new one.
            Input::List { from, .. } if from != *self.discovery.borrow() => {}
            Input::List { list, .. } => {
                let kind = if list.full { ListKind::Full } else { ListKind::Delta };
                self.list(list, kind);
            }
            Input::Reported { numbers, status, to } => self.reported(numbers, status, to),
            Input::Discovery(address) => {
                self.discovery.send_replace(address);
                self.notices.moved();
            }
            Input::Terminate => {
                if self.terminated.is_none() {
                    self.terminated = Some(Instant::now());
                    self.stage.send_replace(Stage::Draining);
                    let by = self.clock.now() + END_BY.as_micros() as Micros;
                    self.handle(Event::Stopping { by });
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
            let Some((target, replaced)) = self.targets.number(&line, zone) else { continue };
            named.insert(target);
            if let Some(target) = replaced {
                // The same id elsewhere is another target.
                self.idle.close(target);
                let (destination, state) = (line.cell, EndpointState::Gone);
                endpoints.push(Endpoint { target, destination, state, ..Endpoint::default() });
            }
            endpoints.push(Endpoint {
                target,
                destination: line.cell,
                kind: place(&self.settings.kind_names, &line.kind),
                zone,
                state: match line.state {
                    ServerState::Active => EndpointState::Ready,
                    ServerState::Leaving => EndpointState::Draining,
                    ServerState::Left => EndpointState::Gone,
                },
                rate: line.weight,
            });
        }
        if kind != ListKind::Delta {
            self.targets.only(&named);
        }
        self.targets.see(self.clock.now());
        self.lists += 1;
        self.handle(Event::List { kind, version: self.lists, endpoints });
    }

    /// Takes over what the journal holds of a message.
    fn restore(&mut self, number: u64, restored: Restored) {
        let Restored { accepted, attempts, notice } = restored;
        self.ids.insert(&accepted.id, number, Known::Taken, self.clock.now() + self.remember());
        if let Some(notice) = notice {
            let order_key = order_key(&accepted.key);
            self.ids.set(&accepted.id, Known::Ended);
            self.notices.insert(number, Ending { id: accepted.id, order_key, notice });
            return;
        }
        let class = self.settings.class_names.iter().position(|n| *n == accepted.class);
        let message = Message {
            id: accepted.id,
            class: class.unwrap_or(usize::MAX),
            destination: accepted.destination,
            key: accepted.key,
            idempotency_key: accepted.idempotency_key,
            retry: accepted.retry,
            expires: self.clock.since_unix(accepted.expires),
            body: accepted.body.into(),
        };
        let (order_key, destination, expires) = (message.order_key(), message.destination, message.expires);
        let held = Held {
            message: Arc::new(message),
            taken: Taken::On,
            attempts: attempts.len() as u32,
            waiting: None,
        };
        self.messages.insert(number, held);
        let Some(class) = class else {
            // The settings have changed since: nothing can be promised.
            return self.end(number, Notice::GivenUp);
        };
        let first = attempts.iter().find(|t| t.fate != Some(Fate::NeverRan));
        let first_run = first.map(|t| (self.clock.since_unix(t.at), t.zone));
        let outcome = |fate| match fate {
            Some(Fate::NeverRan) => Outcome::NotSent,
            Some(Fate::MayHaveRun) | None => Outcome::Reset,
        };
        let attempts = attempts.iter().map(|t| outcome(t.fate)).collect();
        let class = class as u32;
        self.handle(Event::Restored {
            id: number,
            class,
            destination,
            order_key,
            expires,
            attempts,
            first_run,
        });
    }

    fn hand_in(&mut self, message: Arc<Message>, reply: oneshot::Sender<Answer>) {
        if let Some(known) = self.ids.look(&message.id) {
            let _ = reply.send(Answer::Known { over: known != Known::Taken });
            return;
        }
        if !self.targets.knows(message.destination) {
            // Perhaps its targets are on their way in the list.
            let _ = reply.send(Answer::Refused { retry_in_ms: 0 });
            return;
        }
        let full = self.messages.len() >= self.settings.settings.max_held as usize;
        if full || !self.journal.has_room(message.size()) {
            let _ = reply.send(Answer::Refused { retry_in_ms: 0 });
            return;
        }
        let id = self.next_number;
        self.next_number += 1;
        self.ids.insert(&message.id, id, Known::Open, self.clock.now() + self.remember());
        let event = Event::Request {
            id,
            class: message.class as u32,
            destination: message.destination,
            order_key: message.order_key(),
            expires: message.expires,
        };
        self.messages.insert(id, Held { message, taken: Taken::Fresh(reply), attempts: 0, waiting: None });
        self.fresh.push(id);
        self.handle(event);
    }

    /// Takes on what the module has not refused: first the journal, then the answer.
    fn answer_clients(&mut self) {
        for number in std::mem::take(&mut self.fresh) {
            let Some(held) = self.messages.get_mut(&number) else { continue };
            let Taken::Fresh(reply) = std::mem::replace(&mut held.taken, Taken::Answering) else { continue };
            let message = &held.message;
            let accepted = Record::Accepted(Accepted {
                id: message.id.clone(),
                class: self.settings.class_names[message.class].clone(),
                destination: message.destination,
                key: message.key.clone(),
                idempotency_key: message.idempotency_key.clone(),
                retry: message.retry.clone(),
                expires: self.clock.unix(message.expires),
                body: message.body.to_vec(),
            });
            if let Err(error) = self.journal.append(number, &accepted) {
                eprintln!("journal: a message is refused: {error}");
                let _ = reply.send(Answer::Refused { retry_in_ms: 0 });
                self.withdraw(number);
                continue;
            }
            let receipt = Receipt { number, inputs: self.inputs.clone(), written: false };
            // If the client has gone, the receipt is dropped here and says so.
            let _ = reply.send(Answer::TakenOn(receipt));
        }
    }

    /// The client has its answer, and the message may go; or it has gone before, and nothing is taken on.
    fn answered(&mut self, number: u64, written: bool) {
        if !written {
            self.record(number, &Record::Over);
            self.notices.remove(number).inspect(|ending| self.ids.remove(&ending.id));
            return self.withdraw(number);
        }
        let Some(held) = self.messages.get_mut(&number) else { return };
        held.taken = Taken::On;
        self.ids.set(&held.message.id, Known::Taken);
        self.send(number);
    }

    /// Forgets a message that was not taken on after all.
    fn withdraw(&mut self, number: u64) {
        let Some(held) = self.messages.remove(&number) else { return };
        self.ids.remove(&held.message.id);
        if let Some(Waiting { attempt, target, .. }) = held.waiting {
            self.outcome(number, attempt, target, Outcome::NotSent, true);
        }
        self.handle(Event::Lapsed { id: number });
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, target, until } => {
                let Some(held) = self.messages.get_mut(&id) else { return };
                let (attempt, decided) = (held.attempts, self.clock.now());
                held.waiting = Some(Waiting { attempt, target, until, decided });
                held.attempts += 1;
                self.waiting.insert(id);
                self.send(id);
            }
            Action::Cancel { id, attempt } => {
                if let Some(cancel) = self.calls.remove(&(id, attempt)) {
                    // A call that has just ended tells its own end.
                    let _ = cancel.send(());
                } else if let Some(Waiting { target, .. }) =
                    self.messages.get_mut(&id).and_then(|h| h.waiting.take())
                {
                    self.outcome(id, attempt, target, Outcome::NotSent, false);
                }
            }
            Action::Refuse { id, retry_after } => {
                self.end(id, Notice::HandedBack { retry_in_ms: retry_after.div_ceil(1000) })
            }
            Action::Fail { id } => self.end(id, Notice::GivenUp),
            Action::Timer { after, token } => drop(self.timers.insert((self.clock.now() + after, token))),
            Action::CloseIdle { target } => self.idle.close(target),
            Action::Log { text } => eprintln!("{text}"),
            // The list is watched all the time; probes and talk are not for this kind of deployment.
            Action::Subscribe { .. } | Action::FetchList | Action::Probe { .. } | Action::Tell { .. } => {}
        }
    }

    /// Starts the call that the module has decided on, unless it has to wait: for the client to be told that the
    /// message is taken on, or for the notice that ends an earlier message of its key, which is over only then.
    fn send(&mut self, number: u64) {
        let Some(held) = self.messages.get_mut(&number).filter(|h| matches!(h.taken, Taken::On)) else {
            return;
        };
        if self.notices.hold(held.message.order_key()) {
            return;
        }
        self.waiting.remove(&number);
        let Some(Waiting { attempt, target, until, decided }) = held.waiting.take() else { return };
        // What was decided long ago may go against a drain or a wait told since: the module decides anew.
        if self.clock.now() > decided + STALE_SEND {
            return self.outcome(number, attempt, target, Outcome::NotSent, false);
        }
        self.start(number, attempt, target, until);
    }

    /// Guards against a notice that the platform is slow to take: a send that waits for it past its time would
    /// have no outcome, and its message no end.
    fn expire_waiting(&mut self) {
        let now = self.clock.now();
        let mut expired = Vec::new();
        self.waiting.retain(|number| {
            let Some(held) = self.messages.get_mut(number) else { return false };
            expired.extend(held.waiting.take_if(|w| w.until <= now).map(|waiting| (*number, waiting)));
            held.waiting.is_some()
        });
        for (number, Waiting { attempt, target, .. }) in expired {
            self.outcome(number, attempt, target, Outcome::NotSent, false);
        }
    }

    /// Starts a call; its record stands in the journal before its first byte goes out.
    fn start(&mut self, number: u64, attempt: u32, target: TargetId, until: Micros) {
        let Some(held) = self.messages.get(&number) else { return };
        let message = held.message.clone();
        let Some((address, zone)) = self.targets.begin_call(target) else {
            return self.outcome(number, attempt, target, Outcome::NotSent, false);
        };
        let begun = Record::Begun { at: self.clock.unix(self.clock.now()), zone };
        if let Err(error) = self.journal.append(number, &begun) {
            eprintln!("journal: a call is not made: {error}");
            self.targets.end_call(target);
            return self.outcome(number, attempt, target, Outcome::NotSent, false);
        }
        let (cancel, cancelled) = oneshot::channel();
        self.calls.insert((number, attempt), cancel);
        let call = Call {
            number,
            attempt,
            target,
            address,
            message,
            dial_timeout: Duration::from_micros(self.settings.settings.connect_timeout),
            longest_wait: Duration::from_micros(self.remember()),
            until: self.clock.instant(until),
            connection: self.idle.take(target),
            reports: self.settings.rate_at.is_some() && self.settings.share_left_at.is_some(),
        };
        tokio::spawn(targets::call(call, cancelled, self.inputs.clone()));
    }

    fn outcome(&mut self, id: u64, attempt: u32, target: TargetId, outcome: Outcome, ended: bool) {
        self.handle(Event::Outcome { id, attempt, target, outcome, took: 0, ended, wait: 0, report: None });
    }

    fn call_ended(&mut self, end: CallEnd) {
        self.calls.remove(&(end.number, end.attempt));
        self.idle.ended(end.idle, end.outcome);
        let listed = self.targets.end_call(end.target);
        if let Some(connection) = end.connection.filter(|_| listed) {
            self.idle.put(end.target, connection);
        }
        let held = self.messages.contains_key(&end.number);
        if end.over {
            self.messages.remove(&end.number);
            if held {
                self.record(end.number, &Record::Over);
            }
        } else if held {
            let never = matches!(end.outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent);
            let fate = if never { Fate::NeverRan } else { Fate::MayHaveRun };
            self.record(end.number, &Record::Ended(fate));
        }
        let now = self.clock.now();
        self.handle(Event::Outcome {
            id: end.number,
            attempt: end.attempt,
            target: end.target,
            outcome: end.outcome,
            took: now.saturating_sub(self.clock.micros(end.begun)),
            ended: end.over || !held,
            // A wait runs from the answer's arrival, not from now.
            wait: end.wait_until.map_or(0, |until| self.clock.micros(until).saturating_sub(now)),
            report: end.report,
        });
    }

    /// Writes what a restart can do without: lacking it, more counts as perhaps run than has.
    fn record(&mut self, number: u64, record: &Record) {
        if let Err(error) = self.journal.append(number, record) {
            eprintln!("journal: {error}");
        }
    }

    /// Ends a message: in the answer to its client, if that still waits for one, else by a notice.
    fn end(&mut self, number: u64, notice: Notice) {
        let Some(held) = self.messages.remove(&number) else { return };
        if let Taken::Fresh(reply) = held.taken {
            self.ids.remove(&held.message.id);
            let retry_in_ms = if let Notice::HandedBack { retry_in_ms } = notice { retry_in_ms } else { 0 };
            let _ = reply.send(Answer::Refused { retry_in_ms });
            return;
        }
        self.ids.set(&held.message.id, Known::Ended);
        self.record(number, &Record::Noticed(notice));
        let ending = Ending { id: held.message.id.clone(), order_key: held.message.order_key(), notice };
        self.notices.insert(number, ending);
    }

    fn report_notices(&mut self) {
        while let Some((numbers, lines)) = self.notices.next(self.clock.now()) {
            tokio::spawn(platform::report(self.discovery.subscribe(), lines, numbers, self.inputs.clone()));
        }
    }

    fn reported(&mut self, numbers: Vec<u64>, status: Option<StatusCode>, to: SocketAddr) {
        self.notices.came_back();
        if status != Some(StatusCode::NO_CONTENT) {
            // Where discovery has moved meanwhile, they go to the new address at once.
            let stays = to == *self.discovery.borrow();
            if stays {
                eprintln!("notices were not taken: {status:?}");
            }
            return self.notices.again(numbers, self.clock.now(), stays);
        }
        let mut keys = HashSet::new();
        for number in numbers {
            self.record(number, &Record::Over);
            keys.extend(self.notices.remove(number).map(|ended| ended.order_key).filter(|key| *key != 0));
        }
        if !keys.is_empty() {
            let key = |n: &u64| self.messages.get(n).map_or(0, |h| h.message.order_key());
            let free: Vec<u64> = self.waiting.iter().copied().filter(|n| keys.contains(&key(n))).collect();
            free.into_iter().for_each(|number| self.send(number));
        }
    }

    /// The steps to the end of a process that was told to end.
    fn step_down(&mut self) {
        let closing = self.terminated.is_some_and(|at| at.elapsed() >= ACCEPT_ON);
        if closing && *self.stage.borrow() == Stage::Draining {
            self.stage.send_replace(Stage::Closing);
        }
    }

    fn has_ended(&self) -> bool {
        let Some(at) = self.terminated else { return false };
        let idle = self.calls.is_empty() && self.messages.is_empty() && self.notices.is_empty();
        at.elapsed() >= END_BY || idle && at.elapsed() >= 2 * ACCEPT_ON
    }

    fn wake_at(&self) -> Instant {
        let timer = self.timers.first().map(|(at, _)| self.clock.instant(*at));
        let reports = self.notices.due().map(|from| self.clock.instant(from));
        let stop = self.terminated.map(|at| {
            let steps = [at + ACCEPT_ON, at + 2 * ACCEPT_ON, at + END_BY];
            steps.into_iter().find(|s| *s > Instant::now()).unwrap_or(at)
        });
        let wakes = [timer, reports, stop];
        wakes.into_iter().flatten().min().unwrap_or_else(|| Instant::now() + SWEEP)
    }
}
