//! The form of what [`crate::Brain::view`] shows. Spans are microseconds.

use crate::interface::*;

/// How a destination's way looks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// Calls go and are answered.
    Open,
    /// Calls go, and many of them fail.
    Failing,
    /// Looks out: single trials.
    Out {
        /// Until the next may go.
        next: Micros,
    },
    /// Answers again, and gets more step by step.
    Warming {
        /// Since the first answer.
        since: Micros,
    },
}

/// A target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// Its name.
    pub target: TargetId,
    /// As listed.
    pub state: EndpointState,
    /// Calls out to it.
    pub calls: u32,
    /// For so long others are taken first.
    pub avoided: Micros,
}

/// A destination's shared way, or one route apart.
#[derive(Clone, Debug, PartialEq)]
pub struct LaneView {
    /// Its targets.
    pub targets: Vec<TargetView>,
    /// How it looks.
    pub health: Health,
    /// How long there has been no answer since the trouble began.
    pub trouble: Option<Micros>,
    /// Smoothed share of failures.
    pub failing: f64,
    /// Rest of a wait that it has told.
    pub wait: Micros,
    /// Calls that may be out at once.
    pub window: f64,
    /// Calls out.
    pub calls: u32,
    /// The resend point, 0 until it is trusted.
    pub tau: Micros,
    /// Mean answer time, 0 if there was none.
    pub mean: Micros,
    /// Own calls a second, 0 if not limited.
    pub pace: f64,
    /// The known limit in calls a second, 0 if not known.
    pub limit: f64,
}

/// A destination.
#[derive(Clone, Debug, PartialEq)]
pub struct DestinationView {
    /// Its name.
    pub destination: DestinationId,
    /// Messages that could go now.
    pub ready: u32,
    /// Its ways.
    pub lanes: Vec<LaneView>,
}
