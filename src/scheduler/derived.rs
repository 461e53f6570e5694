//! Values that the scheduler derives from its settings and state.

use super::{DeliveryScheduler, MAINTENANCE_INTERVAL};
use crate::interface::*;

impl DeliveryScheduler {
    /// The shortest aim of any class, in microseconds.
    pub(super) fn least_aim(&self) -> f64 {
        self.config.classes.iter().map(|c| c.aim).min().unwrap_or(1_000_000) as f64
    }

    /// The longest deadline of any class, in microseconds.
    pub(super) fn longest_deadline(&self) -> f64 {
        self.config.classes.iter().map(|c| c.deadline).max().unwrap_or(MAINTENANCE_INTERVAL).max(1) as f64
    }

    /// Messages a second that arrive at this sender for a route.
    pub(super) fn arrival_rate(&self, route_id: usize) -> f64 {
        self.routes[route_id].arrivals / self.arrival_span.max(1.0)
    }

    /// What the delivery of a message is worth at an age in microseconds.
    pub(super) fn value(&self, class: usize, age: f64) -> f64 {
        let class = &self.config.classes[class];
        let (aim, deadline) = (class.aim as f64, class.deadline as f64);
        let share = match self.config.decay {
            _ if age <= aim => 1.0,
            _ if age > deadline => 0.0,
            Decay::Linear => 1.0 - (1.0 - class.late_value) * (age - aim) / (deadline - aim).max(1.0),
            Decay::Halving => (0.5f64).powf((age - aim) / aim.max(1.0)).max(class.late_value),
        };
        class.worth * share
    }
}
