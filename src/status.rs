//! Status of destinations, as returned by [`crate::DeliveryScheduler::status`]. Time spans are in microseconds.

use crate::interface::*;

/// Health of a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// Calls go out and are answered.
    Up,
    /// Calls go out, and many of them fail.
    Failing,
    /// The destination is out: only single trial calls go out.
    Out {
        /// Time until the next trial.
        next_trial_in: Micros,
    },
    /// Slow start: the destination answers again, and its load is raised step by step.
    SlowStart {
        /// Time since the first answer.
        elapsed: Micros,
    },
}

/// Status of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetStatus {
    /// Number of the endpoint.
    pub target: TargetId,
    /// State in the endpoint list.
    pub state: EndpointState,
    /// Calls in flight to it.
    pub calls: u32,
    /// Time for which other endpoints are preferred.
    pub avoided_for: Micros,
}

/// Status of a route: the shared route of a destination, or the independent route of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteStatus {
    /// Its endpoints.
    pub targets: Vec<TargetStatus>,
    /// Its health.
    pub health: Health,
    /// Time without an answer since the failures began.
    pub unanswered_for: Option<Micros>,
    /// Smoothed share of failures, 0 to 1.
    pub failure_share: f64,
    /// Evidence for an outage as a fraction of what the verdict needs: 0 to slightly above 1.
    pub outage_evidence: f64,
    /// How long the present state has lasted: failing, out or slow start. For a healthy route the time since
    /// the last failure, none if there was none.
    pub state_age: Option<Micros>,
    /// Rest of the wait that the destination requested.
    pub wait_left: Micros,
    /// Calls that may be in flight at once.
    pub window: f64,
    /// Calls in flight.
    pub calls: u32,
    /// Resend point τ, 0 until enough answers are known.
    pub tau: Micros,
    /// Mean answer time, 0 if there was no answer.
    pub mean_latency: Micros,
    /// Calls a second that this sender may make, 0 if not limited.
    pub pace: f64,
    /// Known rate limit in calls a second, 0 if none is known.
    pub limit: f64,
}

impl RouteStatus {
    /// Describes the health, and the figures behind it, for operators.
    pub fn describe(&self) -> String {
        let percent = |share: f64| format!("{:.0}%", share * 100.0);
        let seconds = |span: Micros| match span {
            0..=59_949_999 => format!("{:.1}s", span as f64 / 1e6),
            _ => format!("{}m{:02}s", span / 60_000_000, span / 1_000_000 % 60),
        };
        let stood = self.state_age.map(seconds).unwrap_or_default();
        let waits = if self.wait_left > 0 {
            format!("; told to wait {}", seconds(self.wait_left))
        } else {
            String::new()
        };
        let close_to_outage = if self.outage_evidence >= 0.5 { "; close to being held out" } else { "" };
        match self.health {
            Health::Up if self.failure_share < 0.005 => format!("sound{waits}"),
            Health::Up => {
                format!(
                    "{} of calls fail, the last {stood} ago{close_to_outage}{waits}",
                    percent(self.failure_share)
                )
            }
            Health::Failing => {
                format!(
                    "{} of calls fail, many for {stood}{close_to_outage}{waits}",
                    percent(self.failure_share)
                )
            }
            Health::Out { next_trial_in } if next_trial_in > 0 => {
                format!("out for {stood}, next trial in {}{waits}", seconds(next_trial_in))
            }
            Health::Out { .. } => format!("out for {stood}, trial due{waits}"),
            Health::SlowStart { .. } => format!("answers again for {stood}, gets more step by step{waits}"),
        }
    }
}

/// Status of a destination.
#[derive(Clone, Debug, PartialEq)]
pub struct DestinationStatus {
    /// Number of the destination.
    pub destination: DestinationId,
    /// Messages that are ready to be sent.
    pub ready: u32,
    /// Its routes.
    pub routes: Vec<RouteStatus>,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_description_states_the_health_and_its_figures() {
        let route = RouteStatus {
            targets: Vec::new(),
            health: Health::Up,
            unanswered_for: None,
            failure_share: 0.0,
            outage_evidence: 0.0,
            state_age: None,
            wait_left: 0,
            window: 1.0,
            calls: 0,
            tau: 0,
            mean_latency: 0,
            pace: 0.0,
            limit: 0.0,
        };
        assert_eq!(route.describe(), "sound");
        assert_eq!(
            RouteStatus { wait_left: 1_500_000, ..route.clone() }.describe(),
            "sound; told to wait 1.5s"
        );
        let some = RouteStatus {
            failure_share: 0.052,
            state_age: Some(400_000),
            outage_evidence: 0.1,
            ..route.clone()
        };
        assert_eq!(some.describe(), "5% of calls fail, the last 0.4s ago");
        let many = RouteStatus { health: Health::Failing, failure_share: 0.31, outage_evidence: 0.7, ..some };
        assert_eq!(many.describe(), "31% of calls fail, many for 0.4s; close to being held out");
        let out = RouteStatus {
            health: Health::Out { next_trial_in: 2_000_000 },
            state_age: Some(61_000_000),
            ..route.clone()
        };
        assert_eq!(out.describe(), "out for 1m01s, next trial in 2.0s");
        let slow_start =
            RouteStatus { health: Health::SlowStart { elapsed: 3 }, state_age: Some(3_000_000), ..route };
        assert_eq!(slow_start.describe(), "answers again for 3.0s, gets more step by step");
    }
}
