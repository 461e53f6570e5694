//! The report of a run: how often each rule was violated, and the figures behind it.

use serde::{Deserialize, Serialize};
use std::time::Instant;

/// A drain, pause or removal that was ordered.
#[derive(Clone, Debug)]
pub struct Drain {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Index of the forwarder that received the order.
    pub by: usize,
    /// When it was ordered.
    pub at: Instant,
    /// When it was reversed, if it was.
    pub until: Option<Instant>,
}

/// Number of violations of each rule, by the records of partners, clients and relays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violations {
    /// Accepted messages with no outcome, or with two.
    pub lost: u64,
    /// Messages that took effect more than once.
    pub twice: u64,
    /// Messages that took effect after a later one of the same order key.
    pub out_of_order: u64,
    /// Calls to an endpoint more than 2 s after its forwarder learned that the endpoint is closed.
    pub after_drain: u64,
    /// Calls that a forwarder made during a retry-after wait that it had received.
    pub waits_broken: u64,
    /// Partners that were overloaded during their slow start.
    pub pushed_over: u64,
    /// Forwarders whose state differs from that of most others at the end.
    pub diverged: u64,
}

impl Violations {
    /// Number of violations of all rules together.
    pub fn sum(&self) -> u64 {
        let Violations { lost, twice, out_of_order, after_drain, waits_broken, pushed_over, diverged } = self;
        lost + twice + out_of_order + after_drain + waits_broken + pushed_over + diverged
    }
}

/// The result of a run, printed as its last line.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of forwarders.
    pub forwarders: usize,
    /// Messages accepted.
    pub taken: u64,
    /// Accepted messages that have an outcome.
    pub ended: u64,
    /// Number of violations of each rule.
    #[serde(flatten)]
    pub breaches: Violations,
    /// Milliseconds from the end of all faults until all forwarders had the same state.
    pub converged_ms: u64,
    /// Longest time in milliseconds from an order until the last forwarder applied it, over all drains.
    pub told_ms: u64,
    /// Messages accepted by a machine that lost its folder afterwards.
    pub lost_with_machine: u64,
    /// Messages answered with 409.
    pub conflicts: u64,
    /// Messages that were still refused when their client stopped retrying.
    pub refused: u64,
    /// Messages that still had no response when their client stopped retrying.
    pub unanswered: u64,
    /// Calls that arrived at partners.
    pub calls: u64,
    /// Messages that took effect.
    pub effects: u64,
    /// Calls that partners rejected with a retry-after wait.
    pub refused_by_partner: u64,
    /// Longest scheduling delay of the machine in milliseconds; the check of waits allows for it.
    pub late_ms: u64,
    /// Calls and effects of each partner.
    #[serde(skip)]
    pub by_partner: std::collections::BTreeMap<String, (u64, u64)>,
    /// With fewer accepted messages than this the run proves nothing.
    pub least: u64,
    /// Some of the violations: message ids, and descriptions of calls during waits.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub examples: Vec<String>,
}

impl Report {
    /// Whether no rule was violated and enough messages were accepted to prove it.
    pub fn is_clean(&self) -> bool {
        self.breaches.sum() == 0 && self.taken >= self.least
    }
}
