//! Status of destinations, as returned by [`crate::Brain::view`]. Time spans are in microseconds.

use crate::interface::*;

/// Health of a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// Calls go out and are answered.
    Open,
    /// Calls go out, and many of them fail.
    Failing,
    /// The destination is out: only single trial calls go out.
    Out {
        /// Time until the next trial.
        next: Micros,
    },
    /// Slow start: the destination answers again, and its load is raised step by step.
    Warming {
        /// Time since the first answer.
        since: Micros,
    },
}

/// Status of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// Number of the endpoint.
    pub target: TargetId,
    /// State in the endpoint list.
    pub state: EndpointState,
    /// Calls in flight to it.
    pub calls: u32,
    /// Time for which other endpoints are preferred.
    pub avoided: Micros,
}

/// Status of a route: the shared route of a destination, or the independent route of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct LaneView {
    /// Its endpoints.
    pub targets: Vec<TargetView>,
    /// Its health.
    pub health: Health,
    /// Time without an answer since the failures began.
    pub trouble: Option<Micros>,
    /// Smoothed share of failures, 0 to 1.
    pub failing: f64,
    /// Evidence for an outage as a fraction of what the verdict needs: 0 to slightly above 1.
    pub towards_out: f64,
    /// How long the present state has lasted: failing, out or slow start. For a healthy route the time since
    /// the last failure, none if there was none.
    pub stood: Option<Micros>,
    /// Rest of the wait that the destination requested.
    pub wait: Micros,
    /// Calls that may be in flight at once.
    pub window: f64,
    /// Calls in flight.
    pub calls: u32,
    /// Resend point τ, 0 until enough answers are known.
    pub tau: Micros,
    /// Mean answer time, 0 if there was no answer.
    pub mean: Micros,
    /// Calls a second that this sender may make, 0 if not limited.
    pub pace: f64,
    /// Known rate limit in calls a second, 0 if none is known.
    pub limit: f64,
}

impl LaneView {
    /// Describes the health, and the figures behind it, for operators.
    pub fn words(&self) -> String {
        let percent = |share: f64| format!("{:.0}%", share * 100.0);
        let seconds = |span: Micros| match span {
            0..=59_949_999 => format!("{:.1}s", span as f64 / 1e6),
            _ => format!("{}m{:02}s", span / 60_000_000, span / 1_000_000 % 60),
        };
        let stood = self.stood.map(seconds).unwrap_or_default();
        let waits = if self.wait > 0 {
            format!("; requested wait ends in {}", seconds(self.wait))
        } else {
            String::new()
        };
        let close_to_outage = if self.towards_out >= 0.5 { "; close to an outage verdict" } else { "" };
        match self.health {
            Health::Open if self.failing < 0.005 => format!("healthy{waits}"),
            Health::Open => {
                format!(
                    "{} of calls fail, last failure {stood} ago{close_to_outage}{waits}",
                    percent(self.failing)
                )
            }
            Health::Failing => {
                format!("{} of calls fail, lossy for {stood}{close_to_outage}{waits}", percent(self.failing))
            }
            Health::Out { next } if next > 0 => {
                format!("out for {stood}, next trial in {}{waits}", seconds(next))
            }
            Health::Out { .. } => format!("out for {stood}, trial due{waits}"),
            Health::Warming { .. } => format!("slow start for {stood}{waits}"),
        }
    }
}

/// Status of a destination.
#[derive(Clone, Debug, PartialEq)]
pub struct DestinationView {
    /// Number of the destination.
    pub destination: DestinationId,
    /// Messages that are ready to be sent.
    pub ready: u32,
    /// Its routes.
    pub lanes: Vec<LaneView>,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_description_states_the_health_and_its_figures() {
        let route = LaneView {
            targets: Vec::new(),
            health: Health::Open,
            trouble: None,
            failing: 0.0,
            towards_out: 0.0,
            stood: None,
            wait: 0,
            window: 1.0,
            calls: 0,
            tau: 0,
            mean: 0,
            pace: 0.0,
            limit: 0.0,
        };
        assert_eq!(route.words(), "healthy");
        assert_eq!(
            LaneView { wait: 1_500_000, ..route.clone() }.words(),
            "healthy; requested wait ends in 1.5s"
        );
        let some = LaneView { failing: 0.052, stood: Some(400_000), towards_out: 0.1, ..route.clone() };
        assert_eq!(some.words(), "5% of calls fail, last failure 0.4s ago");
        let many = LaneView { health: Health::Failing, failing: 0.31, towards_out: 0.7, ..some };
        assert_eq!(many.words(), "31% of calls fail, lossy for 0.4s; close to an outage verdict");
        let out =
            LaneView { health: Health::Out { next: 2_000_000 }, stood: Some(61_000_000), ..route.clone() };
        assert_eq!(out.words(), "out for 1m01s, next trial in 2.0s");
        let slow_start = LaneView { health: Health::Warming { since: 3 }, stood: Some(3_000_000), ..route };
        assert_eq!(slow_start.words(), "slow start for 3.0s");
    }
}
