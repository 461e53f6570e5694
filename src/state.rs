//! What the decision module remembers: plain state, no decisions.

use crate::answers::AnswerTimes;
use crate::failure_detector::Evidence;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Circuit state of a destination or of a route apart.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub(crate) enum Gate {
    #[default]
    Open,
    /// Single trials, the next not before `next`, spaced by a backoff.
    Out { next: Micros, backoff: f64 },
    /// Slow start since the first answer.
    Ramp { since: Micros },
}

/// A call in flight, with its messages and their attempts.
#[derive(Debug, Default)]
pub(crate) struct Call {
    pub messages: Vec<(MessageId, u32)>,
    pub target: TargetId,
    pub sent: Micros,
    pub trial: bool,
    pub given_up: bool,
}

/// A destination's shared way, or one route apart: what has its own limit, pace and outages.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    pub targets: Vec<TargetId>,
    pub kind: usize,
    pub times: AnswerTimes,
    /// Planned resends that may still be made.
    pub budget: f64,
    /// Retries of any kind that may still be made.
    pub retries: f64,
    pub window: f64,
    pub halved: Micros,
    pub calls: BTreeMap<u64, Call>,
    pub gate: Gate,
    pub last_ok: Micros,
    /// The last end of a call.
    pub judged: Micros,
    /// Start of the trouble since the last answer.
    pub trouble: Option<Micros>,
    /// Refusals in a row.
    pub full_run: u32,
    pub evidence: Evidence,
    /// The window when it was last found to be out.
    pub window_before: f64,
    /// What failed last may have run.
    pub may_have_run: bool,
    /// Nothing is sent before then.
    pub wait_until: Micros,
    /// The known limit in calls a second, 0 if not known.
    pub limit: f64,
    /// The limit was reported, not only listed.
    pub reported: bool,
    /// Its even part of the limit where it is one of many senders, else 0.
    pub part: f64,
    /// When the pace of one of many was last raised.
    pub raised: Micros,
    /// When a call of one of many was last turned away.
    pub refused: Option<Micros>,
    /// Own calls a second, 0 if not limited.
    pub pace: f64,
    pub tokens: f64,
    pub filled: Micros,
    /// Calls served a second, smoothed over some seconds.
    pub rate: f64,
    /// Calls served a second, smoothed over eight seconds.
    pub steady: f64,
    /// The most calls served a second lately, fading by half over the longest deadline.
    pub before: f64,
    /// Calls out, smoothed over half a second.
    pub out: f64,
    /// Price of a message on a route apart.
    pub fee: f64,
    /// Messages that came for it, fading.
    pub heat: f64,
}

/// An endpoint.
#[derive(Debug, Default)]
pub(crate) struct Target {
    pub lane: usize,
    pub zone: u32,
    pub state: EndpointState,
    pub avoid_until: Micros,
    /// It has turned a connection away.
    pub denied: bool,
}

/// A destination and what is held for it.
#[derive(Debug, Default)]
pub(crate) struct Destination {
    pub lanes: Vec<usize>,
    /// Calls out to it at most, beside the share of all slots.
    pub slots: Option<u32>,
    /// Messages ready to go, by class and by the zone (plus one) that binds them, first tries and retries apart, oldest
    /// first.
    pub ready: BTreeMap<(usize, u32), BTreeSet<(Micros, MessageId)>>,
    /// Messages held for it that are not over.
    pub held: u32,
    /// Since when more has been ready than it takes.
    pub behind: Option<Micros>,
    /// What was taken on for it lately, by class.
    pub mix: Vec<f64>,
}

/// An attempt; `done` once it has its outcome.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub target: TargetId,
    pub call: u64,
    pub planned: bool,
    pub done: Option<Outcome>,
}

impl Attempt {
    /// Attempts of an earlier process, by how they ended.
    pub fn over(outcomes: Vec<Outcome>) -> Vec<Attempt> {
        outcomes.into_iter().map(|o| Attempt { target: 0, call: 0, planned: false, done: Some(o) }).collect()
    }
}

/// A message.
#[derive(Debug, Default)]
pub(crate) struct Message {
    pub class: usize,
    pub destination: DestinationId,
    pub order_key: u64,
    pub born: Micros,
    pub expires: Micros,
    pub attempts: Vec<Attempt>,
    /// Time and zone of the first attempt that may have run.
    pub ran: Option<(Micros, u32)>,
    /// The queue in which it stands ready.
    pub queue: Option<(usize, u32)>,
    pub over: bool,
}

impl Message {
    /// One that has not been tried.
    pub fn new(class: u32, destination: DestinationId, order_key: u64, expires: Micros) -> Message {
        Message { class: class as usize, destination, order_key, expires, ..Message::default() }
    }
}

/// How a call ended.
pub(crate) struct End {
    pub outcome: Outcome,
    pub sent: Micros,
    pub wait: Micros,
    pub report: Option<LimitReport>,
    pub planned: bool,
}

/// The messages of an order key, as they came, and until when the key rests.
pub(crate) type Turns = (VecDeque<MessageId>, Micros);

/// A send that could be made: its urgency, message, lane and endpoint, and whether it is a trial.
pub(crate) type Pick = (f64, MessageId, usize, TargetId, bool);
