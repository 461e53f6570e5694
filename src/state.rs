//! Plain state of the scheduler. The decisions are made in the modules that use it.

use crate::failure_detector::FailureDetector;
use crate::interface::*;
use crate::latency::LatencyHistogram;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Circuit breaker of a route.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub(crate) enum Circuit {
    /// Calls go out.
    #[default]
    Closed,
    /// Only single trial calls go out, the next one at `next_trial` at the earliest, spaced by `backoff`
    /// microseconds.
    Open { next_trial: Micros, backoff: f64 },
    /// Slow start since the first answer after an outage.
    SlowStart { since: Micros },
}

/// A call in flight.
#[derive(Debug, Default)]
pub(crate) struct Call {
    /// Messages that the call carries, with the number of the attempt of each.
    pub messages: Vec<(MessageId, u32)>,
    pub target: TargetId,
    pub sent: Micros,
    /// The call is a trial of a destination that is taken to be out.
    pub trial: bool,
    /// The call has been cancelled to free its slot; its outcome is still to come.
    pub cancelled: bool,
}

/// A route to a destination: everything that has its own limit, pace and outages. All endpoints of a
/// destination share one route, unless each endpoint of its kind is an independent route.
#[derive(Debug, Default)]
pub(crate) struct Route {
    pub targets: Vec<TargetId>,
    /// Kind of destination.
    pub kind: usize,
    pub latency: LatencyHistogram,
    /// Planned resends that may still be made.
    pub resend_budget: f64,
    /// Retries of any kind that may still be made.
    pub retry_budget: f64,
    /// Calls that may be in flight at once.
    pub window: f64,
    /// When the window was last halved.
    pub window_halved: Micros,
    /// Calls in flight by call number.
    pub calls: BTreeMap<u64, Call>,
    pub circuit: Circuit,
    /// When a call was last answered.
    pub last_answer: Micros,
    /// When a call last ended.
    pub last_outcome: Micros,
    /// Start of the failures since the last answer.
    pub failing_since: Option<Micros>,
    /// Rejected calls in a row.
    pub rejection_run: u32,
    pub detector: FailureDetector,
    /// The window when the circuit was last opened.
    pub window_before_outage: f64,
    /// The call that failed last may have taken effect.
    pub may_have_run: bool,
    /// Nothing is sent before this time.
    pub wait_until: Micros,
    /// The known rate limit in calls a second, 0 if none is known.
    pub limit: f64,
    /// The limit comes from a report of the destination, not from the list alone.
    pub limit_reported: bool,
    /// This sender's even share of the limit in a large fleet, else 0.
    pub fair_share: f64,
    /// When the pace of a sender of a large fleet was last raised.
    pub pace_raised: Micros,
    /// When a call of a sender of a large fleet was last rejected.
    pub last_rejection: Option<Micros>,
    /// Calls a second that this sender may make, 0 if not limited.
    pub pace: f64,
    /// Tokens of the token bucket that enforces the pace.
    pub tokens: f64,
    /// When the token bucket was last filled.
    pub tokens_filled: Micros,
    /// Calls served a second, smoothed over some seconds.
    pub served_rate: f64,
    /// Calls served a second, smoothed over eight seconds.
    pub steady_rate: f64,
    /// Highest recent rate of served calls a second; it halves over the longest deadline.
    pub peak_rate: f64,
    /// Calls in flight, smoothed over half a second.
    pub mean_in_flight: f64,
    /// Cost of a message on an independent route.
    pub cost: f64,
    /// Messages that came for this route, decaying over the longest deadline.
    pub arrivals: f64,
}

/// An endpoint.
#[derive(Debug, Default)]
pub(crate) struct Target {
    /// Index of its route.
    pub route: usize,
    pub zone: u32,
    pub state: EndpointState,
    /// Other endpoints are preferred until this time.
    pub avoid_until: Micros,
    /// A connection to this endpoint has failed.
    pub connect_failed: bool,
}

/// A destination and what is held for it.
#[derive(Debug, Default)]
pub(crate) struct Destination {
    /// Indices of its routes.
    pub routes: Vec<usize>,
    /// Largest number of calls in flight to this destination, in addition to its share of all slots.
    pub slots: Option<u32>,
    /// Messages that are ready to be sent, oldest first, by class and queue tag. The tag holds the zone (plus
    /// one) to which a repeat is bound, and a flag that separates retries from first tries.
    pub ready: BTreeMap<(usize, u32), BTreeSet<(Micros, MessageId)>>,
    /// Messages held for this destination that have not ended.
    pub held: u32,
    /// Since when more messages have been ready than the destination takes.
    pub backlog_since: Option<Micros>,
    /// Messages accepted lately, by class, decaying with each accepted message.
    pub class_mix: Vec<f64>,
}

/// An attempt to deliver a message.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub target: TargetId,
    /// Number of the call that carries it.
    pub call: u64,
    /// A resend is planned if no answer has come by the time-out.
    pub planned: bool,
    /// The outcome, once it is known.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// The attempts of an earlier process, from their outcomes.
    pub fn completed(outcomes: Vec<Outcome>) -> Vec<Attempt> {
        outcomes
            .into_iter()
            .map(|o| Attempt { target: 0, call: 0, planned: false, outcome: Some(o) })
            .collect()
    }
}

/// A message that is held.
#[derive(Debug, Default)]
pub(crate) struct Message {
    pub class: usize,
    pub destination: DestinationId,
    pub order_key: u64,
    /// When the message was handed in: its deadline before it expires.
    pub accepted: Micros,
    pub expires: Micros,
    pub attempts: Vec<Attempt>,
    /// Time and zone of the first attempt that may have run.
    pub first_run: Option<(Micros, u32)>,
    /// Class and tag of the queue that holds the message while it is ready.
    pub queue: Option<(usize, u32)>,
    /// The message has ended; attempts may still be in flight.
    pub ended: bool,
}

impl Message {
    /// A message without attempts.
    pub fn new(class: u32, destination: DestinationId, order_key: u64, expires: Micros) -> Message {
        Message { class: class as usize, destination, order_key, expires, ..Message::default() }
    }
}

/// How a call ended.
pub(crate) struct CallEnd {
    pub outcome: Outcome,
    pub sent: Micros,
    /// The wait that the destination asked for, 0 for none.
    pub wait: Micros,
    pub report: Option<LimitReport>,
    /// The call timed out and its resend was planned.
    pub planned: bool,
}

/// The messages of an order key in the order of their arrival, and until when the key is paused.
pub(crate) type KeyQueue = (VecDeque<MessageId>, Micros);

/// A possible send: its urgency, message, route and endpoint, and whether it is a trial.
pub(crate) type SendChoice = (f64, MessageId, usize, TargetId, bool);
