//! The parameters of a run: read from TOML and checked; every error names its field.

use foldtrack_standin::{FailureKind, PartnerBehavior};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::Duration;

/// Maximum number of messages in a run: all messages, and all calls in the partners' call records, are kept in memory.
const MAX_MESSAGES: f64 = 2e6;
/// Maximum size of a body in bytes, from the protocol.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// The parameters of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Plan {
    /// Random seed of arrivals, classes, keys and failures.
    pub seed: u64,
    /// Messages per second, in total.
    pub rate: f64,
    /// Time during which messages arrive.
    #[serde(with = "humantime_serde")]
    pub span: Duration,
    /// Number of client connections. A message that is due while its connection is busy waits, and the wait is part of
    /// its latency.
    pub connections: usize,
    /// Maximum number of submissions of a message; after a refusal the client waits as requested. 1 for no repetition.
    pub hand_ins: u32,
    /// Size of a body in bytes, at most 64 KiB.
    pub body: usize,
    /// Number of order keys for each partner.
    pub keys: u64,
    /// Share of payments, 0 to 1. Payments must not take effect twice; the other messages carry an idempotency key and are
    /// ordered.
    pub payments: f64,
    /// Number of partners, 1 to 50, with equal shares of the messages.
    pub partners: usize,
    /// Minimum answer time.
    #[serde(with = "humantime_serde")]
    pub answers_from: Duration,
    /// Maximum answer time.
    #[serde(with = "humantime_serde")]
    pub answers_to: Duration,
    /// Calls per second that a partner accepts; it rejects further ones and requests a wait. 0 for no limit.
    pub capacity: f64,
    /// Number of calls that a partner processes at once, while further ones queue; 0 for no limit.
    pub at_once: usize,
    /// Share of calls that fail, 0 to 1.
    pub failing: f64,
    /// The kinds of failure, all equally frequent.
    pub kinds: Vec<Failure>,
    /// Maximum number of messages that the forwarder holds.
    pub messages: u32,
    /// Maximum number of calls that the forwarder has in flight.
    pub calls: u32,
    /// The values of a sweep.
    pub sweep: Sweep,
}

/// The values that a sweep combines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct Sweep {
    /// Shares of calls that fail.
    pub failing: Vec<f64>,
    /// Rates in messages per second; if empty, the rate of the plan.
    pub rates: Vec<f64>,
}

/// A kind of failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// The connection is closed before the call takes effect.
    ResetBefore,
    /// The connection is closed after the call took effect.
    ResetAfter,
    /// The partner answers 500; the call has no effect.
    Error,
    /// The call takes effect and the answer is one second late.
    Late,
    /// The partner rejects the call as full and requests no wait.
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
    /// One line with the file and the error.
    pub fn read(path: &Path) -> Result<Plan, String> {
        let error = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let text = std::fs::read_to_string(path).map_err(|e| error(&e))?;
        let plan: Plan = toml::from_str(&text).map_err(|e| error(&e))?;
        plan.check().map_err(|e| error(&e))?;
        Ok(plan)
    }

    /// Checks that all values are within their ranges.
    ///
    /// # Errors
    /// One line with the first field that is out of range.
    pub fn check(&self) -> Result<(), String> {
        let share = |name: &str, value: f64| match (0.0..=1.0).contains(&value) {
            true => Ok(()),
            false => Err(format!("{name}: {value} is not between 0 and 1")),
        };
        let rates = self.sweep.rates.iter().chain([&self.rate]);
        for rate in rates {
            if !(*rate > 0.0 && rate * self.span.as_secs_f64() <= MAX_MESSAGES) {
                return Err(format!(
                    "rate: {rate} per second over `span` is not between 1 and {MAX_MESSAGES} messages"
                ));
            }
        }
        share("failing", self.failing)?;
        share("payments", self.payments)?;
        self.sweep.failing.iter().try_for_each(|s| share("sweep.failing", *s))?;
        let integer =
            |name: &str, value: usize, range: std::ops::RangeInclusive<usize>| match range.contains(&value) {
                true => Ok(()),
                false => Err(format!("{name}: {value} is not between {} and {}", range.start(), range.end())),
            };
        integer("connections", self.connections, 1..=2_000)?;
        integer("hand-ins", self.hand_ins as usize, 1..=100)?;
        integer("body", self.body, 64..=MAX_BODY_BYTES)?;
        integer("partners", self.partners, 1..=50)?;
        integer("messages", self.messages as usize, 10..=1_000_000)?;
        integer("calls", self.calls as usize, 1..=10_000)?;
        integer("keys", usize::try_from(self.keys).unwrap_or(usize::MAX), 1..=1_000_000)?;
        if self.answers_from > self.answers_to {
            return Err("answers-from: is longer than `answers-to`".into());
        }
        if !(self.capacity >= 0.0 && self.capacity.is_finite()) {
            return Err(format!("capacity: {} is not a valid rate", self.capacity));
        }
        if self.failing > 0.0 && self.kinds.is_empty() {
            return Err("kinds: at least one is required if `failing` is above 0".into());
        }
        Ok(())
    }

    /// The behavior of the stand-in partners.
    pub fn partner_behavior(&self) -> PartnerBehavior {
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
    fn plans_are_checked_and_errors_name_the_field() {
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
            let error = read(text).unwrap_err();
            assert!(error.contains(field), "{text}: {error}");
        }
    }
}
