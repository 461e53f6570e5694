//! Figures that the decisions go by, read off the settings and the state: no decisions.

use super::{DeliveryScheduler, UPKEEP};
use crate::interface::*;

impl DeliveryScheduler {
    /// The shortest aim of any class, in microseconds.
    pub(super) fn least_aim(&self) -> f64 {
        self.s.classes.iter().map(|c| c.aim).min().unwrap_or(1_000_000) as f64
    }

    /// The longest deadline of any class, in microseconds.
    pub(super) fn longest_deadline(&self) -> f64 {
        self.s.classes.iter().map(|c| c.deadline).max().unwrap_or(UPKEEP).max(1) as f64
    }

    /// Messages a second that come to this sender for a lane.
    pub(super) fn own(&self, lane: usize) -> f64 {
        self.lanes[lane].heat / self.span.max(1.0)
    }

    /// What a delivery at an age, in microseconds, is worth.
    pub(super) fn value(&self, class: usize, age: f64) -> f64 {
        let c = &self.s.classes[class];
        let (aim, deadline) = (c.aim as f64, c.deadline as f64);
        let share = match self.s.decay {
            _ if age <= aim => 1.0,
            _ if age > deadline => 0.0,
            Decay::Linear => 1.0 - (1.0 - c.late_value) * (age - aim) / (deadline - aim).max(1.0),
            Decay::Halving => (0.5f64).powf((age - aim) / aim.max(1.0)).max(c.late_value),
        };
        c.worth * share
    }
}
