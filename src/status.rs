//! The form of what [`crate::DeliveryScheduler::status`] shows. Spans are microseconds.

use crate::interface::*;

/// How a destination's way looks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// Calls go and are answered.
    Up,
    /// Calls go, and many of them fail.
    Failing,
    /// Looks out: single trials.
    Out {
        /// Until the next may go.
        next_trial_in: Micros,
    },
    /// Answers again, and gets more step by step.
    SlowStart {
        /// Since the first answer.
        elapsed: Micros,
    },
}

/// A target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetStatus {
    /// Its name.
    pub target: TargetId,
    /// As listed.
    pub state: EndpointState,
    /// Calls out to it.
    pub calls: u32,
    /// For so long others are taken first.
    pub avoided_for: Micros,
}

/// A destination's shared way, or one route apart.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteStatus {
    /// Its targets.
    pub targets: Vec<TargetStatus>,
    /// How it looks.
    pub health: Health,
    /// How long there has been no answer since the trouble began.
    pub unanswered_for: Option<Micros>,
    /// Smoothed share of failures, 0 to 1.
    pub failure_share: f64,
    /// How much of the evidence that a verdict of being out takes there is, 0 to 1 and a little more.
    pub outage_evidence: f64,
    /// How long the present state has stood: failing, out or warming since; else since the last failure, none if there
    /// was none.
    pub state_age: Option<Micros>,
    /// Rest of a wait that it has told.
    pub wait_left: Micros,
    /// Calls that may be out at once.
    pub window: f64,
    /// Calls out.
    pub calls: u32,
    /// The resend point, 0 until it is trusted.
    pub tau: Micros,
    /// Mean answer time, 0 if there was none.
    pub mean_latency: Micros,
    /// Own calls a second, 0 if not limited.
    pub pace: f64,
    /// The known limit in calls a second, 0 if not known.
    pub limit: f64,
}

impl RouteStatus {
    /// The verdict, and what it rests on, for somebody who runs a site.
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
        let near = if self.outage_evidence >= 0.5 { "; close to being held out" } else { "" };
        match self.health {
            Health::Up if self.failure_share < 0.005 => format!("sound{waits}"),
            Health::Up => {
                format!("{} of calls fail, the last {stood} ago{near}{waits}", percent(self.failure_share))
            }
            Health::Failing => {
                format!("{} of calls fail, many for {stood}{near}{waits}", percent(self.failure_share))
            }
            Health::Out { next_trial_in } if next_trial_in > 0 => {
                format!("out for {stood}, next trial in {}{waits}", seconds(next_trial_in))
            }
            Health::Out { .. } => format!("out for {stood}, trial due{waits}"),
            Health::SlowStart { .. } => format!("answers again for {stood}, gets more step by step{waits}"),
        }
    }
}

/// A destination.
#[derive(Clone, Debug, PartialEq)]
pub struct DestinationStatus {
    /// Its name.
    pub destination: DestinationId,
    /// Messages that could go now.
    pub ready: u32,
    /// Its ways.
    pub routes: Vec<RouteStatus>,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_verdict_is_told_in_words_with_what_it_rests_on() {
        let lane = RouteStatus {
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
        assert_eq!(lane.describe(), "sound");
        assert_eq!(
            RouteStatus { wait_left: 1_500_000, ..lane.clone() }.describe(),
            "sound; told to wait 1.5s"
        );
        let some = RouteStatus {
            failure_share: 0.052,
            state_age: Some(400_000),
            outage_evidence: 0.1,
            ..lane.clone()
        };
        assert_eq!(some.describe(), "5% of calls fail, the last 0.4s ago");
        let many = RouteStatus { health: Health::Failing, failure_share: 0.31, outage_evidence: 0.7, ..some };
        assert_eq!(many.describe(), "31% of calls fail, many for 0.4s; close to being held out");
        let out = RouteStatus {
            health: Health::Out { next_trial_in: 2_000_000 },
            state_age: Some(61_000_000),
            ..lane.clone()
        };
        assert_eq!(out.describe(), "out for 1m01s, next trial in 2.0s");
        let back =
            RouteStatus { health: Health::SlowStart { elapsed: 3 }, state_age: Some(3_000_000), ..lane };
        assert_eq!(back.describe(), "answers again for 3.0s, gets more step by step");
    }
}
