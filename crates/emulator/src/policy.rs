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
    pub place: u32,
    /// Calls that it may have out.
    pub slots: u32,
    /// Messages that it may hold.
    pub held: u32,
    /// Attempts for a message.
    pub attempts: u32,
    /// Classes, by their numbers.
    pub classes: Vec<Class>,
    /// Rules of partners that come back cold.
    pub cold: Cold,
    /// Differs for each forwarder.
    pub seed: u64,
}

/// How a partner is after an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cold {
    /// Part of its capacity at once.
    pub from: f64,
    /// It is warm after this time.
    pub warm_after: Micros,
    /// So many times its present capacity, for `tip_after`, and it falls over.
    pub tip: f64,
    /// See `tip`.
    pub tip_after: Micros,
}

/// An endpoint in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Its number.
    pub target: u32,
    /// Its partner's number.
    pub partner: u32,
    /// Calls a second that the partner takes from all forwarders together; 0 if that is not told.
    pub rate: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Done,
    /// Answered with an error; it may have taken effect.
    Failed,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have taken effect, or still do.
    TimedOut,
    /// The connection broke; it may have taken effect.
    Reset,
    /// Not sent at all: no slot, message over, or out of attempts.
    NotSent,
}

impl Ending {
    /// Whether the message may have taken effect without this forwarder's knowing.
    pub fn may_have_run(self) -> bool {
        matches!(self, Ending::Failed | Ending::TimedOut | Ending::Reset)
    }
}

/// What an answer tells of the partner's limit; some time old.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
    /// Share of the allowance that is left.
    pub left: f64,
    /// The limit in calls a second.
    pub rate: f64,
}

/// What has happened at a forwarder.
#[derive(Clone, Debug)]
pub enum News {
    /// The whole list of endpoints.
    List(Vec<Line>),
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
    /// An attempt is over; each [`Deed::Send`] gets exactly one of these.
    Ended {
        /// The message.
        id: u64,
        /// Its attempt, from 0.
        attempt: u32,
        /// Where it went.
        target: u32,
        /// How it ended.
        ending: Ending,
        /// Since it was sent.
        took: Micros,
        /// The message is over.
        over: bool,
        /// For [`Ending::Full`]: the wait that was told, 0 for none.
        wait: Micros,
        /// What was told of the limit.
        told: Option<Told>,
    },
    /// A wake-up that was asked for.
    Wake {
        /// As asked for.
        token: u32,
    },
}

/// What a forwarder does.
#[derive(Clone, Debug, PartialEq)]
pub enum Deed {
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
        again_after: Micros,
    },
    /// Ends a message as failed.
    Fail {
        /// The message.
        id: u64,
    },
    /// Asks for [`News::Wake`].
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
    fn hear(&mut self, now: Micros, news: News, deeds: &mut Vec<Deed>);
    /// Called after the last news of a moment.
    fn decide(&mut self, now: Micros, deeds: &mut Vec<Deed>);
}

/// Makes the policies of a fleet.
pub trait Maker: Sync {
    /// As it is named in reports.
    fn name(&self) -> &str;
    /// The policy of one forwarder.
    fn make(&self, site: &Site) -> Box<dyn Policy>;
}
