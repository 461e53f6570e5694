//! What a policy hears and what it does: the same for the real module and for every baseline.

use crate::Micros;

/// What a repeat of a message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    Repeatable,
    /// Its partner drops it for so long.
    Keyed(Micros),
    /// It takes effect again.
    Once,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Wanted within this time.
    pub aim: Micros,
    /// Given up after this time.
    pub deadline: Micros,
    /// Worth within the aim.
    pub worth: f64,
    /// Part of the worth at the deadline; between the two it falls evenly.
    pub late: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// Messages of one key go one at a time, in their order.
    pub in_order: bool,
    /// Its part of all messages.
    pub share: f64,
}

/// What a forwarder is told once.
#[derive(Clone, Debug)]
pub struct Site {
    /// Forwarders in all.
    pub forwarders: u32,
    /// The number of this one, from 0.
    pub index: u32,
    /// Calls that it may have out.
    pub slots: u32,
    /// Messages that it may hold.
    pub max_held: u32,
    /// Attempts for a message.
    pub max_attempts: u32,
    /// Classes, by their numbers.
    pub classes: Vec<Class>,
    /// Rules of partners that come back cold.
    pub slow_start: SlowStart,
    /// Differs for each forwarder.
    pub seed: u64,
}

/// How a partner is after an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Part of its capacity at once.
    pub initial_share: f64,
    /// It is warm after this time.
    pub duration: Micros,
    /// So many times its present capacity, for `tip_after`, and it falls over.
    pub overload_factor: f64,
    /// See `tip`.
    pub overload_duration: Micros,
}

/// An endpoint in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Its number.
    pub target: u32,
    /// Its partner's number.
    pub partner: u32,
    /// Calls a second that the partner takes from all forwarders together; 0 if that is not told.
    pub rate: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Delivered,
    /// Answered with an error; it may have taken effect.
    Failed,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have taken effect, or still do.
    TimedOut,
    /// The connection broke; it may have taken effect.
    Reset,
    /// Not sent at all: no slot, message over, or out of attempts.
    NotSent,
}

impl AttemptOutcome {
    /// Whether the message may have taken effect without this forwarder's knowing.
    pub fn may_have_run(self) -> bool {
        matches!(self, AttemptOutcome::Failed | AttemptOutcome::TimedOut | AttemptOutcome::Reset)
    }
}

/// What an answer tells of the partner's limit; some time old.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// Share of the allowance that is left.
    pub share_left: f64,
    /// The limit in calls a second.
    pub rate: f64,
}

/// What has happened at a forwarder.
#[derive(Clone, Debug)]
pub enum PolicyEvent {
    /// The whole list of endpoints.
    List(Vec<ListedEndpoint>),
    /// A message was handed in.
    Message {
        /// Its number.
        id: u64,
        /// Its class.
        class: u32,
        /// Its partner.
        partner: u32,
        /// Key of its order, 0 for none.
        key: u64,
        /// It may be delivered until then.
        expires: Micros,
    },
    /// An attempt is over; each [`Command::Send`] gets exactly one of these.
    AttemptEnded {
        /// The message.
        id: u64,
        /// Its attempt, from 0.
        attempt: u32,
        /// Where it went.
        target: u32,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Since it was sent.
        took: Micros,
        /// The message is over.
        finished: bool,
        /// For [`AttemptOutcome::Rejected`]: the wait that was told, 0 for none.
        wait: Micros,
        /// What was told of the limit.
        limit_report: Option<LimitReport>,
    },
    /// A wake-up that was asked for.
    Wake {
        /// As asked for.
        token: u32,
    },
}

/// What a forwarder does.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Calls a target with a message; given up at `until`.
    Send {
        /// The message.
        id: u64,
        /// Where to.
        target: u32,
        /// Time-out, as a point in time.
        until: Micros,
    },
    /// Hands a message back: trying again does no harm.
    Refuse {
        /// The message.
        id: u64,
        /// The client is to stay away for so long, 0 for no advice.
        retry_after: Micros,
    },
    /// Ends a message as failed.
    Fail {
        /// The message.
        id: u64,
    },
    /// Asks for [`PolicyEvent::Wake`].
    Wake {
        /// After this span.
        after: Micros,
        /// Comes back as given.
        token: u32,
    },
}

/// A forwarder's decisions. It sees nothing but what it hears.
pub trait Policy: Send {
    /// Takes in what has happened.
    fn handle_event(&mut self, now: Micros, event: PolicyEvent, commands: &mut Vec<Command>);
    /// Called after the last news of a moment.
    fn decide(&mut self, now: Micros, commands: &mut Vec<Command>);
}

/// Makes the policies of a fleet.
pub trait PolicyFactory: Sync {
    /// As it is named in reports.
    fn name(&self) -> &str;
    /// The policy of one forwarder.
    fn create(&self, site: &Site) -> Box<dyn Policy>;
}
