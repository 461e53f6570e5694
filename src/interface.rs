//! Settings, events and actions of the delivery scheduler.
//!
//! A forwarder that embeds [`crate::DeliveryScheduler`] runs a loop: it passes each event to `handle`, calls `decide`
//! after the last event of a moment, and carries out the actions in their order. All times are microseconds
//! of one monotonic clock with an arbitrary start.

/// A point in time or a time span, in microseconds.
pub type Micros = u64;
/// A message, numbered by the caller. Numbers are never reused.
pub type MessageId = u64;
/// An endpoint of a destination, numbered by the caller.
pub type TargetId = u32;
/// A destination: a partner with one or more endpoints.
pub type DestinationId = u32;

/// Number of senders from which on a fleet is large: each sender sees less than a tenth of the traffic.
pub const LARGE_FLEET: u32 = 10;

/// Effect of repeating a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Effect {
    /// The message may be repeated freely.
    #[default]
    Repeatable,
    /// The destination drops repeats for a time, by their idempotency key.
    Keyed,
    /// The message must not take effect more than once.
    Once,
}

/// Which endpoints of a destination drop repeats of a keyed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum DedupScope {
    /// All endpoints.
    #[default]
    All,
    /// The endpoints in the zone of the first attempt that may have run.
    Zone,
}

/// How the worth of a message decreases after its aim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Decay {
    /// Linearly to the late value at the deadline.
    #[default]
    Linear,
    /// By half with each further aim, but not below the late value.
    Halving,
}

/// A class of messages.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Target latency. A message delivered within it earns its full worth.
    pub aim: Micros,
    /// Time within which a message may be delivered.
    pub deadline: Micros,
    /// Worth of a delivery.
    pub worth: f64,
    /// Share of the worth that is left at the deadline.
    pub late_value: f64,
    /// Effect of a repeat.
    pub effect: Effect,
    /// For keyed classes: which endpoints drop repeats.
    pub dedup_scope: DedupScope,
    /// For keyed classes: how long repeats are dropped, from the first attempt that may have run.
    pub dedup_window: Micros,
    /// Messages with the same order key are sent one at a time, in the order of their arrival.
    pub in_order: bool,
    /// A message with a longer estimated wait than this is refused; 0 if only its deadline counts.
    pub max_wait: Micros,
    /// Answers are streams: once the stream of an attempt has started, the attempt belongs to the client.
    pub streaming: bool,
}

/// Limits that the rules of a deployment guarantee or require.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Time after which a drained or removed endpoint gets no new calls.
    pub drain_grace: Micros,
    /// Least share of its capacity that a destination has right after an outage.
    pub cold_capacity_share: f64,
    /// Time after an outage until a destination has its full capacity again.
    pub slow_start_time: Micros,
    /// Load, as a multiple of the present capacity, above which a cold destination goes down again ...
    pub overload_factor: f64,
    /// ... if it lasts for this time.
    pub overload_duration: Micros,
    /// Pause of an order key after an attempt with an uncertain outcome.
    pub uncertain_key_pause: Micros,
    /// Where the endpoint list is fetched: a sender that has not fetched it for this time counts as informed.
    pub list_poll_interval: Micros,
}

/// What the endpoint list says about the rate limit of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum ListedRate {
    /// Nothing.
    #[default]
    Unknown,
    /// Calls a second that the destination accepts from all senders together.
    Exact,
    /// The same, but up to half too high or too low.
    Rough,
}

/// Settings of a sender.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of senders that share the destinations, including this one.
    pub senders: u32,
    /// Largest number of calls in flight.
    pub slots: u32,
    /// Largest number of messages held, whether sent or not.
    pub max_held: u32,
    /// Largest number of attempts for one message.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Endpoints may be probed.
    pub may_probe: bool,
    /// Two attempts of one message may be in flight at once.
    pub may_duplicate: bool,
    /// Refused clients are told when to come back.
    pub may_advise_wait: bool,
    /// Longest advised wait that clients honour.
    pub max_advised_wait: Micros,
    /// The endpoint list has to be subscribed to.
    pub subscribe: bool,
    /// Classes of messages. Messages refer to them by index.
    pub classes: Vec<Class>,
    /// How worth decreases after the aim.
    pub decay: Decay,
    /// Limits given by the rules of the deployment.
    pub rules: Rules,
    /// By kind of destination: largest number of messages in one call.
    pub max_batch: Vec<u32>,
    /// By kind of destination: each endpoint is an independent route with its own limit, pace and outages.
    pub independent_routes: Vec<bool>,
    /// By zone: cost of a message on an independent route.
    pub zone_cost: Vec<f64>,
    /// Cost of a call that is rejected because of a limit.
    pub rejection_cost: f64,
    /// Meaning of [`Endpoint::rate`].
    pub listed_rate: ListedRate,
    /// Time after which idle connections close.
    pub idle_timeout: Micros,
    /// Time after which an attempt to connect has failed.
    pub connect_timeout: Micros,
    /// Calls that one connection carries at once.
    pub streams_per_connection: u32,
    /// Shortest time between two moments at which events arrive.
    pub tick: Micros,
}

/// State of an endpoint in the list. It says nothing about its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum EndpointState {
    /// In service.
    #[default]
    Ready,
    /// Gets no new calls.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// Number of the endpoint.
    pub target: TargetId,
    /// The destination that it belongs to.
    pub destination: DestinationId,
    /// Kind of the destination: an index into the settings by kind.
    pub kind: u32,
    /// The zone that it is in.
    pub zone: u32,
    /// Its state.
    pub state: EndpointState,
    /// Rate limit of the destination in calls a second; see [`ListedRate`].
    pub rate: f64,
    /// Largest number of calls in flight to the destination; none if only the share of all slots applies. The
    /// latest entry of a destination counts.
    pub slots: Option<u32>,
    /// Nothing may be sent on its route before this time, because another sender was asked to wait; 0 for
    /// none. A known wait is not shortened.
    pub hold_until: Micros,
}

/// How a list event relates to the list so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed entries.
    Delta,
    /// The whole list; endpoints that it lacks are gone.
    Full,
    /// The whole list as last known before a restart, possibly outdated.
    Cached,
    /// Fetching or subscribing failed; the list so far remains.
    Failed,
}

/// Outcome of an attempt or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; may have taken effect.
    Error,
    /// Rejected without being processed: over a limit, queue full, or draining.
    Rejected,
    /// No answer in time; may have taken effect, or may still do so.
    TimedOut,
    /// No connection; did not run.
    ConnectFailed,
    /// The connection broke; may have taken effect.
    Reset,
    /// Cancelled; may have taken effect.
    Cancelled,
    /// The response is unreadable; may have taken effect.
    UnreadableResponse,
    /// Not sent: no slot, the message has ended, or it is out of attempts.
    NotSent,
    /// Withheld before the first byte, because the decision was outdated: by a requested wait, an outage or a
    /// drain. It does not count as an attempt, and the next attempt gets its number.
    Withheld,
}

impl Outcome {
    /// Whether the attempt may have taken effect, or may yet do so.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Withheld)
    }
}

/// Rate limit that a destination reports with an answer. It is somewhat outdated and not exact.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitReport {
    /// Share of the allowance that is left.
    pub share_left: f64,
    /// The limit in calls a second, 0 if there is none.
    pub rate: f64,
}

/// An input of the scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// The list of endpoints has changed.
    List {
        /// How the event relates to the list so far.
        kind: ListKind,
        /// Increases with each change.
        version: u32,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A client has submitted a message.
    Request {
        /// Number of the message.
        id: MessageId,
        /// Its class.
        class: u32,
        /// Its destination.
        destination: DestinationId,
        /// Its order key, 0 for none.
        order_key: u64,
        /// Time until which it may be delivered.
        expires: Micros,
    },
    /// A message that was accepted before a restart and has not ended. These events come in the order in
    /// which the messages were accepted.
    Restored {
        /// Number of the message.
        id: MessageId,
        /// Its class.
        class: u32,
        /// Its destination.
        destination: DestinationId,
        /// Its order key, 0 for none.
        order_key: u64,
        /// Time until which it may be delivered; possibly in the past.
        expires: Micros,
        /// Outcomes of the attempts so far. An attempt that the restart cut off counts as [`Outcome::Reset`].
        attempts: Vec<Outcome>,
        /// Time and zone of the first attempt that may have run.
        first_run: Option<(Micros, u32)>,
    },
    /// The process is going to end, which cuts off the calls in flight.
    Stopping {
        /// When the process ends.
        by: Micros,
    },
    /// The answer of a streamed message has started.
    Started {
        /// The message.
        id: MessageId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// An attempt has ended. There is exactly one for each [`Action::Send`].
    Outcome {
        /// The message.
        id: MessageId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The endpoint that it was sent to.
        target: TargetId,
        /// Its outcome.
        outcome: Outcome,
        /// Time since it was sent.
        took: Micros,
        /// The message has ended, by this attempt or earlier.
        ended: bool,
        /// The wait that the destination requested, 0 for none; for [`Outcome::Withheld`] the rest of it.
        wait: Micros,
        /// The limit that the destination reported.
        report: Option<LimitReport>,
    },
    /// A probe has ended.
    ProbeOutcome {
        /// The endpoint that was probed.
        target: TargetId,
        /// Its outcome.
        outcome: Outcome,
        /// Time since it was sent.
        took: Micros,
        /// The limit that the destination reported.
        report: Option<LimitReport>,
    },
    /// The client does not want the message any more.
    Abandoned {
        /// The message.
        id: MessageId,
    },
    /// A timer has expired.
    Timer {
        /// The token of the [`Action::Timer`].
        token: u32,
    },
    /// A message from another sender, where senders may communicate.
    PeerMessage {
        /// Rank of the sender.
        from: u32,
        /// Content.
        data: Vec<u8>,
    },
}

/// An output of the scheduler, to be carried out in the given order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call `target` with the message. The attempt ends at `until`.
    Send {
        /// The message.
        id: MessageId,
        /// The endpoint.
        target: TargetId,
        /// Time-out of the attempt, as a point in time.
        until: Micros,
    },
    /// Cancel an attempt.
    Cancel {
        /// The message.
        id: MessageId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// End the message undelivered; submitting it again is harmless.
    Refuse {
        /// The message.
        id: MessageId,
        /// How long the client should wait before it submits the message again, 0 for no advice.
        retry_after: Micros,
    },
    /// End the message as failed; it may or may not have taken effect.
    Fail {
        /// The message.
        id: MessageId,
    },
    /// Probe an endpoint.
    Probe {
        /// The endpoint.
        target: TargetId,
    },
    /// Send [`Event::Timer`] after a time.
    Timer {
        /// Time from now.
        after: Micros,
        /// Returned in the event.
        token: u32,
    },
    /// An outage of the route of this endpoint was detected. Sends that were decided on earlier and have not
    /// started are to be withheld.
    OutageDetected {
        /// An endpoint of the route.
        target: TargetId,
    },
    /// Close idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        target: TargetId,
    },
    /// Subscribe to the list of endpoints, or unsubscribe.
    Subscribe {
        /// True to subscribe.
        on: bool,
    },
    /// Fetch the whole list of endpoints once.
    FetchList,
    /// Send a message to another sender or to all.
    SendToPeer {
        /// Rank of the receiver; none for all other senders.
        to: Option<u32>,
        /// Content, at most 256 bytes.
        data: Vec<u8>,
    },
    /// Write a log line for operators.
    Log {
        /// The text.
        text: String,
    },
}
