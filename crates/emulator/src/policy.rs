//! The interface between the simulation and a forwarder's policy: the events that a policy receives and the commands that
//! it returns. The delivery scheduler and every baseline implement the same interface.

use crate::Micros;

/// What happens when a message that took effect is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A repeat changes nothing.
    Repeatable,
    /// The partner drops repeats of the same key within this window.
    Keyed(Micros),
    /// Every call takes effect, so a repeat does harm.
    Once,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The class's name.
    pub name: String,
    /// Target latency, from the first submission to delivery.
    pub aim: Micros,
    /// Time after submission at which the message expires.
    pub deadline: Micros,
    /// Worth of a message that is delivered within the aim.
    pub worth: f64,
    /// Share of the worth that remains at the deadline; it falls linearly from the aim to the deadline.
    pub late: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// Whether messages with the same order key are sent one at a time, in order of arrival.
    pub in_order: bool,
    /// Relative share of all messages.
    pub share: f64,
}

/// The configuration that a forwarder receives when it starts.
#[derive(Clone, Debug)]
pub struct Site {
    /// Number of forwarders in the fleet.
    pub forwarders: u32,
    /// Index of this forwarder, from 0.
    pub index: u32,
    /// Maximum number of calls in flight.
    pub slots: u32,
    /// Maximum number of messages held.
    pub max_held: u32,
    /// Maximum number of attempts for a message.
    pub max_attempts: u32,
    /// The classes; events refer to them by index.
    pub classes: Vec<Class>,
    /// How partners recover from an outage.
    pub slow_start: SlowStart,
    /// Random seed, different for each forwarder.
    pub seed: u64,
}

/// How a partner's capacity recovers after an outage, and how much load it survives meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Share of its capacity that the partner has right after the outage.
    pub initial_share: f64,
    /// Time until it has its full capacity again.
    pub duration: Micros,
    /// The partner goes down again if it receives more than this multiple of its present capacity for
    /// `overload_duration`.
    pub overload_factor: f64,
    /// Length of the period over which the load is measured for `overload_factor`.
    pub overload_duration: Micros,
}

/// An endpoint in the list that forwarders receive.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The endpoint's number.
    pub target: u32,
    /// The partner's number.
    pub partner: u32,
    /// Calls per second that the partner accepts from all forwarders together; 0 if it is not published.
    pub rate: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The partner accepted the message.
    Delivered,
    /// The partner answered with an error; the message may have taken effect.
    Failed,
    /// The partner rejected the call without processing it.
    Rejected,
    /// No answer in time; the message may have taken effect, or may still do so.
    TimedOut,
    /// The connection broke; the message may have taken effect.
    Reset,
    /// The call was not sent: no free slot, message already finished, or no attempts left.
    NotSent,
}

impl AttemptOutcome {
    /// Whether the message may have taken effect without the forwarder knowing.
    pub fn may_have_run(self) -> bool {
        matches!(self, AttemptOutcome::Failed | AttemptOutcome::TimedOut | AttemptOutcome::Reset)
    }
}

/// The state of a partner's rate limit as reported in an answer. It may be out of date.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// Share of the allowance that is left.
    pub share_left: f64,
    /// The limit in calls per second.
    pub rate: f64,
}

/// An event at a forwarder.
#[derive(Clone, Debug)]
pub enum PolicyEvent {
    /// The complete list of endpoints; it replaces the previous one.
    List(Vec<ListedEndpoint>),
    /// A client submitted a message.
    Message {
        /// The message's number.
        id: u64,
        /// Index of its class.
        class: u32,
        /// Index of its partner.
        partner: u32,
        /// Order key, 0 for none.
        key: u64,
        /// Time at which the message expires.
        expires: Micros,
    },
    /// An attempt ended. Each [`Command::Send`] results in exactly one of these events.
    AttemptEnded {
        /// The message's number.
        id: u64,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The endpoint that was called.
        target: u32,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// Time since the call was sent.
        took: Micros,
        /// Whether the message is finished.
        finished: bool,
        /// For [`AttemptOutcome::Rejected`]: the wait that the partner requested, 0 for none.
        wait: Micros,
        /// What the answer reported of the partner's limit.
        limit_report: Option<LimitReport>,
    },
    /// A timer set by [`Command::Wake`] expired.
    Wake {
        /// The token given in the command.
        token: u32,
    },
}

/// An action that a policy requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Calls a target with a message; the call times out at `until`.
    Send {
        /// The message's number.
        id: u64,
        /// The endpoint to call.
        target: u32,
        /// Absolute time of the time-out.
        until: Micros,
    },
    /// Hands a message back to its client, which may submit it again without harm.
    Refuse {
        /// The message's number.
        id: u64,
        /// How long the client should wait before it submits the message again, 0 for no advice.
        retry_after: Micros,
    },
    /// Ends a message as failed.
    Fail {
        /// The message's number.
        id: u64,
    },
    /// Sets a timer that results in [`PolicyEvent::Wake`].
    Wake {
        /// Time until the event.
        after: Micros,
        /// Returned in the event.
        token: u32,
    },
}

/// Makes the decisions of one forwarder. It has no information except the events that it receives.
pub trait Policy: Send {
    /// Processes an event and appends any resulting commands.
    fn handle_event(&mut self, now: Micros, event: PolicyEvent, commands: &mut Vec<Command>);
    /// Decides which messages to send; called after the events of a point in time.
    fn decide(&mut self, now: Micros, commands: &mut Vec<Command>);
}

/// Creates the policies of a fleet's forwarders.
pub trait PolicyFactory: Sync {
    /// The policy's name in reports.
    fn name(&self) -> &str;
    /// Creates the policy of one forwarder.
    fn create(&self, site: &Site) -> Box<dyn Policy>;
}
