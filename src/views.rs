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
    /// Smoothed share of failures, 0 to 1.
    pub failing: f64,
    /// How much of the evidence that a verdict of being out takes there is, 0 to 1 and a little more.
    pub towards_out: f64,
    /// How long the present state has stood: failing, out or warming since; else since the last failure, none if there
    /// was none.
    pub stood: Option<Micros>,
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

impl LaneView {
    /// The verdict, and what it rests on, for somebody who runs a site.
    pub fn words(&self) -> String {
        let percent = |share: f64| format!("{:.0}%", share * 100.0);
        let seconds = |span: Micros| match span {
            0..=59_949_999 => format!("{:.1}s", span as f64 / 1e6),
            _ => format!("{}m{:02}s", span / 60_000_000, span / 1_000_000 % 60),
        };
        let stood = self.stood.map(seconds).unwrap_or_default();
        let waits =
            if self.wait > 0 { format!("; told to wait {}", seconds(self.wait)) } else { String::new() };
        let near = if self.towards_out >= 0.5 { "; close to being held out" } else { "" };
        match self.health {
            Health::Open if self.failing < 0.005 => format!("sound{waits}"),
            Health::Open => {
                format!("{} of calls fail, the last {stood} ago{near}{waits}", percent(self.failing))
            }
            Health::Failing => {
                format!("{} of calls fail, many for {stood}{near}{waits}", percent(self.failing))
            }
            Health::Out { next } if next > 0 => {
                format!("out for {stood}, next trial in {}{waits}", seconds(next))
            }
            Health::Out { .. } => format!("out for {stood}, trial due{waits}"),
            Health::Warming { .. } => format!("answers again for {stood}, gets more step by step{waits}"),
        }
    }
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_verdict_is_told_in_words_with_what_it_rests_on() {
        let lane = LaneView {
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
        assert_eq!(lane.words(), "sound");
        assert_eq!(LaneView { wait: 1_500_000, ..lane.clone() }.words(), "sound; told to wait 1.5s");
        let some = LaneView { failing: 0.052, stood: Some(400_000), towards_out: 0.1, ..lane.clone() };
        assert_eq!(some.words(), "5% of calls fail, the last 0.4s ago");
        let many = LaneView { health: Health::Failing, failing: 0.31, towards_out: 0.7, ..some };
        assert_eq!(many.words(), "31% of calls fail, many for 0.4s; close to being held out");
        let out =
            LaneView { health: Health::Out { next: 2_000_000 }, stood: Some(61_000_000), ..lane.clone() };
        assert_eq!(out.words(), "out for 1m01s, next trial in 2.0s");
        let back = LaneView { health: Health::Warming { since: 3 }, stood: Some(3_000_000), ..lane };
        assert_eq!(back.words(), "answers again for 3.0s, gets more step by step");
    }
}
