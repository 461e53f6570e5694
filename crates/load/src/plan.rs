//! What a run is to be: read from TOML, checked, each mistake told with its field.

use foldtrack_standin::{FailureKind, PartnerBehavior};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::Duration;

/// Messages of one run at most: each is kept until its end, and partners' books keep every call.
const MOST_MESSAGES: f64 = 2e6;
/// Bytes of a body at most (PROTOCOL).
const LONGEST_BODY: usize = 64 * 1024;

/// A run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Plan {
    /// Sets arrivals, classes, keys and failures.
    pub seed: u64,
    /// Messages a second, in all.
    pub rate: f64,
    /// For how long they come.
    #[serde(with = "humantime_serde")]
    pub span: Duration,
    /// Connections that the clients keep; a message that is due while all are busy waits, and its time counts.
    pub connections: usize,
    /// How often a refused message is handed in: 1 is once, more come after the wait that was told.
    pub hand_ins: u32,
    /// Bytes of a body, 64 KiB at most.
    pub body: usize,
    /// Keys of ordered messages for each partner.
    pub keys: u64,
    /// Share of payments, which must not take effect twice; the rest is keyed and in order. 0 to 1.
    pub payments: f64,
    /// Partners, 1 to 50, which get equal parts.
    pub partners: usize,
    /// An answer takes at least this.
    #[serde(with = "humantime_serde")]
    pub answers_from: Duration,
    /// An answer takes at most this.
    #[serde(with = "humantime_serde")]
    pub answers_to: Duration,
    /// Calls a second that a partner takes, above which it turns away with a wait; 0 for no limit.
    pub capacity: f64,
    /// Calls that a partner works on at once, while further ones queue; 0 for all.
    pub at_once: usize,
    /// Share of calls that fail, 0 to 1.
    pub failing: f64,
    /// How they fail, each as often.
    pub kinds: Vec<Failure>,
    /// Messages that the forwarder holds at most.
    pub messages: u32,
    /// Calls that it has out at most.
    pub calls: u32,
    /// The values that a sweep goes through.
    pub sweep: Sweep,
}

/// What a sweep varies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Sweep {
    /// Shares of calls that fail.
    pub failing: Vec<f64>,
    /// Rates; the plan's own where there are none.
    pub rates: Vec<f64>,
}

/// A kind of failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// The connection ends before the call took effect.
    ResetBefore,
    /// The connection ends after the call took effect.
    ResetAfter,
    /// Answered 500, without an effect.
    Error,
    /// It takes effect and is answered a second late.
    Late,
    /// Turned away as full, without a wait.
    Full,
}

impl Default for Sweep {
    fn default() -> Self {
        Sweep { failing: vec![0.0, 0.055, 0.11, 0.165, 0.22, 0.3, 0.4], rates: Vec::new() }
    }
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            seed: 1,
            rate: 500.0,
            span: Duration::from_secs(8),
            connections: 32,
            hand_ins: 1,
            body: 200,
            keys: 500,
            payments: 0.44,
            partners: 2,
            answers_from: Duration::ZERO,
            answers_to: Duration::from_millis(30),
            capacity: 0.0,
            at_once: 0,
            failing: 0.0,
            kinds: vec![Failure::ResetBefore, Failure::ResetAfter, Failure::Error, Failure::Late],
            messages: 10_000,
            calls: 64,
            sweep: Sweep::default(),
        }
    }
}

impl Plan {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// A line that names the file and what is wrong in it.
    pub fn read(path: &Path) -> Result<Plan, String> {
        let told = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let text = std::fs::read_to_string(path).map_err(|e| told(&e))?;
        let plan: Plan = toml::from_str(&text).map_err(|e| told(&e))?;
        plan.check().map_err(|e| told(&e))?;
        Ok(plan)
    }

    /// Checks the ranges.
    ///
    /// # Errors
    /// A line that names the first field that is out of its range.
    pub fn check(&self) -> Result<(), String> {
        let share = |name: &str, value: f64| match (0.0..=1.0).contains(&value) {
            true => Ok(()),
            false => Err(format!("{name}: {value} is not between 0 and 1")),
        };
        let rates = self.sweep.rates.iter().chain([&self.rate]);
        for rate in rates {
            if !(*rate > 0.0 && rate * self.span.as_secs_f64() <= MOST_MESSAGES) {
                return Err(format!(
                    "rate: {rate} a second over `span` is not 1 to {MOST_MESSAGES} messages"
                ));
            }
        }
        share("failing", self.failing)?;
        share("payments", self.payments)?;
        self.sweep.failing.iter().try_for_each(|s| share("sweep.failing", *s))?;
        let whole =
            |name: &str, value: usize, range: std::ops::RangeInclusive<usize>| match range.contains(&value) {
                true => Ok(()),
                false => Err(format!("{name}: {value} is not between {} and {}", range.start(), range.end())),
            };
        whole("connections", self.connections, 1..=2_000)?;
        whole("hand-ins", self.hand_ins as usize, 1..=100)?;
        whole("body", self.body, 64..=LONGEST_BODY)?;
        whole("partners", self.partners, 1..=50)?;
        whole("messages", self.messages as usize, 10..=1_000_000)?;
        whole("calls", self.calls as usize, 1..=10_000)?;
        whole("keys", usize::try_from(self.keys).unwrap_or(usize::MAX), 1..=1_000_000)?;
        if self.answers_from > self.answers_to {
            return Err("answers-from: longer than `answers-to`".into());
        }
        if !(self.capacity >= 0.0 && self.capacity.is_finite()) {
            return Err(format!("capacity: {} is no rate", self.capacity));
        }
        if self.failing > 0.0 && self.kinds.is_empty() {
            return Err("kinds: none, but calls are to fail".into());
        }
        Ok(())
    }

    /// How the partners are to behave.
    pub fn conduct(&self) -> PartnerBehavior {
        let kind = |f: &Failure| match f {
            Failure::ResetBefore => FailureKind::ResetBefore,
            Failure::ResetAfter => FailureKind::ResetAfter,
            Failure::Error => FailureKind::Error,
            Failure::Late => FailureKind::Late,
            Failure::Full => FailureKind::Full,
        };
        PartnerBehavior {
            answers: (self.answers_from, self.answers_to),
            rate: (self.capacity > 0.0).then_some(self.capacity),
            failing: self.failing,
            kinds: self.kinds.iter().map(kind).collect(),
            at_once: self.at_once,
            ..PartnerBehavior::default()
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_plan_is_checked_and_a_mistake_is_told_with_its_field() {
        let read =
            |text: &str| toml::from_str::<Plan>(text).map_err(|e| e.to_string()).and_then(|p| p.check());
        assert_eq!(read("rate = 50.0\nspan = \"2s\"\nkinds = [\"late\", \"reset-after\"]"), Ok(()));
        for (text, field) in [
            ("rate = 0.0", "rate"),
            ("rate = 1e6\nspan = \"1h\"", "rate"),
            ("failing = 1.5", "failing"),
            ("[sweep]\nfailing = [-0.1]", "sweep.failing"),
            ("kinds = []\nfailing = 0.1", "kinds"),
            ("answers-from = \"2s\"", "answers-from"),
            ("body = 70000", "body"),
            ("speed = 3", "speed"),
            ("kinds = [\"odd\"]", "kinds"),
            ("rate = nan", "rate"),
        ] {
            let told = read(text).unwrap_err();
            assert!(told.contains(field), "{text}: {told}");
        }
    }
}
