//! What a play has shown.

use serde::{Deserialize, Serialize};
use std::time::Instant;

/// A drain, pause or removal that was ordered.
#[derive(Clone, Debug)]
pub struct Drain {
    /// The endpoint.
    pub endpoint: String,
    /// Who was told.
    pub by: usize,
    /// When.
    pub at: Instant,
    /// When the opposite was ordered, if it was.
    pub until: Option<Instant>,
}

/// How often each rule was broken, by the books.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violations {
    /// Taken on and without an end, or with two.
    pub lost: u64,
    /// Took effect more than once.
    pub twice: u64,
    /// Took effect after a later one of their key.
    pub out_of_order: u64,
    /// Calls to an endpoint more than 2 s after its forwarder was told that it is closed.
    pub after_drain: u64,
    /// Calls of a forwarder in a wait that it had been told.
    pub waits_broken: u64,
    /// Partners that were pushed over on their return.
    pub pushed_over: u64,
    /// Forwarders that have another picture than most in the end.
    pub diverged: u64,
}

impl Violations {
    /// Of all rules together.
    pub fn sum(&self) -> u64 {
        let Violations { lost, twice, out_of_order, after_drain, waits_broken, pushed_over, diverged } = self;
        lost + twice + out_of_order + after_drain + waits_broken + pushed_over + diverged
    }
}

/// The last line of a play.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The story's name.
    pub scenario: String,
    /// What was drawn was drawn by this.
    pub seed: u64,
    /// How many there were.
    pub forwarders: usize,
    /// Messages taken on.
    pub taken: u64,
    /// Those of them that have their end.
    pub ended: u64,
    /// How often each rule was broken.
    #[serde(flatten)]
    pub breaches: Violations,
    /// From when nothing stood between them until all had the same picture.
    pub converged_ms: u64,
    /// From the order to the last forwarder that was told, over all drains.
    pub told_ms: u64,
    /// Taken on by a machine that lost its folder afterwards.
    pub lost_with_machine: u64,
    /// Answered 409.
    pub conflicts: u64,
    /// Refused for as long as their client came again, and without an answer for as long.
    pub refused: u64,
    /// See `refused`.
    pub unanswered: u64,
    /// Calls that came to partners, and messages that took effect.
    pub calls: u64,
    /// See `calls`.
    pub effects: u64,
    /// Calls that partners turned away with a wait.
    pub refused_by_partner: u64,
    /// How late the machine itself was at worst: the verdict on waits allows for it.
    pub late_ms: u64,
    /// Calls and effects of each partner.
    #[serde(skip)]
    pub by_partner: std::collections::BTreeMap<String, (u64, u64)>,
    /// Below so many taken on the play proves nothing.
    pub least: u64,
    /// Some of what broke a rule: ids of messages, calls in waits in words.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub examples: Vec<String>,
}

impl Report {
    /// Whether every rule was kept, and enough done to say so.
    pub fn is_clean(&self) -> bool {
        self.breaches.sum() == 0 && self.taken >= self.least
    }
}
