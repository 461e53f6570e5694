//! What goes into the decision module and what comes out: settings, events, actions.
//!
//! A forwarder that embeds [`crate::DeliveryScheduler`] does this in a loop: pass each thing that happened to
//! `handle`, call `decide` after the last one of that moment, carry out the actions in their order.
//! All times are microseconds of one clock that only advances; it may start anywhere.

/// A point in time or a span, in microseconds.
pub type Micros = u64;
/// A message, named by the caller; never used twice.
pub type MessageId = u64;
/// An endpoint of a destination, named by the caller.
pub type TargetId = u32;
/// A destination: a partner with one or more endpoints.
pub type DestinationId = u32;

/// Senders from which on each is one of many: it sees less than a tenth of what all of them send.
pub const LARGE_FLEET: u32 = 10;

/// What a repeat of a message of a class does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Effect {
    /// May be repeated at will.
    #[default]
    Repeatable,
    /// The destination drops repeats for a time.
    Keyed,
    /// Must never take effect twice.
    Once,
}

/// Which endpoints of a destination drop repeats of a keyed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum DedupScope {
    /// All of them.
    #[default]
    All,
    /// Those in the zone of the first attempt that may have run.
    Zone,
}

/// How worth falls once the aim has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Decay {
    /// Evenly, down to the late value at the deadline.
    #[default]
    Linear,
    /// By half with each further aim, not under the late value.
    Halving,
}

/// A class of message.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Delivered within this span a message earns its full worth.
    pub aim: Micros,
    /// Span in which a message may be delivered.
    pub deadline: Micros,
    /// What a delivery is worth.
    pub worth: f64,
    /// Share of the worth left at the deadline.
    pub late_value: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// For keyed classes: who drops repeats.
    pub dedup_scope: DedupScope,
    /// For keyed classes: how long, from the first attempt that may have run.
    pub dedup_window: Micros,
    /// Messages with the same order key go one at a time, as they came.
    pub in_order: bool,
    /// A message that would wait for longer than this is refused at the door; 0 where only its deadline counts.
    pub max_wait: Micros,
    /// Answers come as streams: an attempt whose stream began belongs to the client.
    pub streaming: bool,
}

/// Figures of the rules that a deployment promises to keep.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// A drained or removed endpoint gets nothing new after this span.
    pub drain_grace: Micros,
    /// Share of its capacity that a destination has at least on return from an outage.
    pub cold_capacity_share: f64,
    /// Span after which it has all of it.
    pub slow_start_time: Micros,
    /// Load of more than this multiple of the present capacity ...
    pub overload_factor: f64,
    /// ... for this long brings a cold destination down.
    pub overload_duration: Micros,
    /// Rest of an order key after an attempt whose end is not sure.
    pub uncertain_key_pause: Micros,
    /// Where the list is fetched: a sender that has not asked for so long counts as told.
    pub list_poll_interval: Micros,
}

/// What the list says of a destination's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum ListedRate {
    /// Nothing.
    #[default]
    Unknown,
    /// Calls a second that the destination takes from all senders together.
    Exact,
    /// The same, but up to half too high or too low.
    Rough,
}

/// All that a sender is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Senders that share the destinations, this one included.
    pub senders: u32,
    /// Calls that may be out at once.
    pub slots: u32,
    /// Messages that may be held, sent or not.
    pub max_held: u32,
    /// Attempts for one message at most.
    pub max_attempts: u32,
    /// An attempt may be called off.
    pub may_cancel: bool,
    /// Checks may be sent.
    pub may_probe: bool,
    /// Two attempts of one message may be out at once.
    pub may_duplicate: bool,
    /// Refused clients are told how long to stay away.
    pub may_advise_wait: bool,
    /// Longest advice that clients heed.
    pub max_advised_wait: Micros,
    /// The list must be subscribed to.
    pub subscribe: bool,
    /// Classes of message; requests name their place.
    pub classes: Vec<Class>,
    /// How worth falls after the aim.
    pub decay: Decay,
    /// The rules' figures.
    pub rules: Rules,
    /// By kind of destination: messages that one call carries at most.
    pub max_batch: Vec<u32>,
    /// By kind of destination: endpoints are routes apart, each with its own limit, pace and outages.
    pub independent_routes: Vec<bool>,
    /// By zone: price of a message that a route apart takes on.
    pub zone_cost: Vec<f64>,
    /// Price of a call refused above a limit.
    pub rejection_cost: f64,
    /// Meaning of [`Endpoint::rate`].
    pub listed_rate: ListedRate,
    /// Idle connections close after this span.
    pub idle_timeout: Micros,
    /// A connection not made within this span has failed.
    pub connect_timeout: Micros,
    /// Calls that one connection carries at once.
    pub streams_per_connection: u32,
    /// Shortest span between two moments at which events arrive.
    pub tick: Micros,
}

/// State of an endpoint in the list. It tells nothing of health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum EndpointState {
    /// Listed.
    #[default]
    Ready,
    /// Send nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// A line of the list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// Its name.
    pub target: TargetId,
    /// The destination it belongs to.
    pub destination: DestinationId,
    /// The destination's kind, a place in the settings' lists by kind.
    pub kind: u32,
    /// The zone it stands in.
    pub zone: u32,
    /// Its state.
    pub state: EndpointState,
    /// See [`ListedRate`].
    pub rate: f64,
    /// Calls out to the destination at once at most; none where only the share of all slots binds. The latest line
    /// of a destination counts.
    pub slots: Option<u32>,
    /// Nothing is to be sent on its way before then: somebody else was told to wait there. 0 for no such thing; a wait that
    /// is known already is not shortened.
    pub hold_until: Micros,
}

/// How a list event relates to the list so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines only.
    Delta,
    /// The whole list; what it lacks is gone.
    Full,
    /// The whole list as last known before a restart, perhaps outdated.
    Cached,
    /// A fetch or subscription failed; the list so far stays.
    Failed,
}

/// End of an attempt or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; may have taken effect.
    Error,
    /// Turned away unseen: over a limit, queue full, shut or draining.
    Rejected,
    /// No answer in time; may have taken effect or still do.
    TimedOut,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have taken effect.
    Reset,
    /// Called off; may have taken effect.
    Cancelled,
    /// Answered in a way that can't be read; may have taken effect.
    UnreadableResponse,
    /// Not sent at all: no slot, message over, or out of attempts.
    NotSent,
    /// Held back before its first byte, since news has overtaken the decision: a wait, an outage, a drain. Uses up no try, and
    /// its number is given to the next attempt.
    Withheld,
}

impl Outcome {
    /// The attempt may have taken effect, or may yet.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Withheld)
    }
}

/// What a destination tells of its limit beside an answer; some time old and not exact.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitReport {
    /// Share of the allowance that is left.
    pub share_left: f64,
    /// Calls a second that the limit allows, 0 where there is none.
    pub rate: f64,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list of endpoints.
    List {
        /// How it relates to the list so far.
        kind: ListKind,
        /// Grows with each change.
        version: u32,
        /// The lines.
        endpoints: Vec<Endpoint>,
    },
    /// A message was handed in.
    Request {
        /// Its name.
        id: MessageId,
        /// Its class.
        class: u32,
        /// Where it is to go.
        destination: DestinationId,
        /// Key of its order, 0 for none.
        order_key: u64,
        /// It may be delivered until then.
        expires: Micros,
    },
    /// A message that was taken on before a restart and is not over; in the order in which they were taken.
    Restored {
        /// Its name.
        id: MessageId,
        /// Its class.
        class: u32,
        /// Where it is to go.
        destination: DestinationId,
        /// Key of its order, 0 for none.
        order_key: u64,
        /// It may be delivered until then; perhaps in the past.
        expires: Micros,
        /// How the attempts so far ended. One that was cut off by the restart counts as [`Outcome::Reset`].
        attempts: Vec<Outcome>,
        /// Start and zone of the first attempt that may have run.
        first_run: Option<(Micros, u32)>,
    },
    /// The process is to end: calls that are out then are cut off.
    Stopping {
        /// The time of its end.
        by: Micros,
    },
    /// The answer of a streamed message has begun.
    Started {
        /// The message.
        id: MessageId,
        /// Its attempt, from 0.
        attempt: u32,
    },
    /// An attempt is over. Each [`Action::Send`] gets exactly one.
    Outcome {
        /// The message.
        id: MessageId,
        /// Its attempt, from 0.
        attempt: u32,
        /// Where it went.
        target: TargetId,
        /// How it ended.
        outcome: Outcome,
        /// Span since it was sent.
        took: Micros,
        /// The message is over, by this or earlier.
        ended: bool,
        /// The wait told, 0 for none; for [`Outcome::Withheld`] what is left of it.
        wait: Micros,
        /// What the destination tells of its limit.
        report: Option<LimitReport>,
    },
    /// A probe is over.
    ProbeOutcome {
        /// Where it went.
        target: TargetId,
        /// How it ended.
        outcome: Outcome,
        /// Span since it was sent.
        took: Micros,
        /// What the destination tells of its limit.
        report: Option<LimitReport>,
    },
    /// Nobody wants this message any more.
    Abandoned {
        /// The message.
        id: MessageId,
    },
    /// A timer asked for is due.
    Timer {
        /// As asked for.
        token: u32,
    },
    /// Another sender wrote; where senders may talk.
    PeerMessage {
        /// Its rank.
        from: u32,
        /// What it wrote.
        data: Vec<u8>,
    },
}

/// Something to be done, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call `target` with the message; drop the attempt at `until`.
    Send {
        /// The message.
        id: MessageId,
        /// Where to.
        target: TargetId,
        /// Time-out, as a point in time.
        until: Micros,
    },
    /// Call off an attempt.
    Cancel {
        /// The message.
        id: MessageId,
        /// Its attempt, from 0.
        attempt: u32,
    },
    /// End the message undelivered; trying again is harmless.
    Refuse {
        /// The message.
        id: MessageId,
        /// Advice to the client on how long to stay away, 0 for none.
        retry_after: Micros,
    },
    /// End the message as failed; nothing is promised.
    Fail {
        /// The message.
        id: MessageId,
    },
    /// Check an endpoint.
    Probe {
        /// Which one.
        target: TargetId,
    },
    /// Come back with [`Event::Timer`] after this span.
    Timer {
        /// From now.
        after: Micros,
        /// Comes back as given.
        token: u32,
    },
    /// The destination of this endpoint, or the endpoint alone where it is a route apart, looks out: what was decided on for it
    /// before and has not begun is to be held back.
    OutageDetected {
        /// An endpoint of it.
        target: TargetId,
    },
    /// Shut idle connections to an endpoint.
    CloseIdle {
        /// Which one.
        target: TargetId,
    },
    /// Subscribe to the list, or end that.
    Subscribe {
        /// On or off.
        on: bool,
    },
    /// Ask once for the whole list.
    FetchList,
    /// Write to another sender, or to all.
    SendToPeer {
        /// Its rank; all others if absent.
        to: Option<u32>,
        /// At most 256 bytes.
        data: Vec<u8>,
    },
    /// A line for the operators.
    Log {
        /// The text.
        text: String,
    },
}
