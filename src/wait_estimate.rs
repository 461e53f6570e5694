//! Estimates when a message that is submitted now would be delivered, from what waits for its destination and
//! the rate served; so whether it is refused at intake, and when its client may come again. No I/O;
//! `docs/design/health.md` discusses the options.

use crate::interface::{Class, Micros};

const SETTLED: Micros = 300_000; // a backlog that has lasted so long shows what a destination can serve
/// Share of a message's time left that its estimated wait may take. Later messages of more worth go first.
const WAIT_SHARE: f64 = 0.6;
/// Messages held for a destination for each free place (dynamic thresholds, Choudhury and Hahne 1998):
/// whatever has a backlog, some places remain for destinations without one.
const HELD_PER_FREE: f64 = 4.0;
const MIN_HELD: u32 = 4; // messages accepted for a destination in any case: trials need messages
const MIN_CLASS_SHARE: f64 = 0.02; // share of the accepted messages below which a class does not count
const MAX_FACTOR: f64 = 8.0; // largest wait of the class of least worth, in estimates

/// What the wait of a message for a destination depends on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WaitEstimate {
    /// Messages held for the destination.
    pub held: u32,
    /// Messages a second that it serves; 0 if too little is known.
    pub served_rate: f64,
    /// How long more messages have been ready than it takes, in microseconds.
    pub backlog_for: Micros,
    /// Microseconds until it is available: the rest of a requested wait, or in an outage as long again as it
    /// has lasted, as nothing else is known about its end (Gott 1993).
    pub unavailable_for: Micros,
    /// Least time in microseconds that the earlier messages of the same order key take.
    pub key_wait: f64,
}

impl WaitEstimate {
    /// Microseconds until the messages held now have been served; 0 if nothing indicates a long wait.
    pub fn wait(&self) -> f64 {
        let settled = self.backlog_for >= SETTLED && self.served_rate > 0.0;
        let queue = if settled { f64::from(self.held) / self.served_rate * 1e6 } else { 0.0 };
        (self.unavailable_for as f64 + queue).max(self.key_wait)
    }

    /// Whether to refuse a message with so many microseconds left, if its class may wait `factor` estimates
    /// and at most `max_wait` (0 for no bound), and `free` places are left.
    pub fn refuses(&self, factor: f64, left: f64, max_wait: Micros, free: f64) -> bool {
        let most = if max_wait > 0 { (max_wait as f64).min(WAIT_SHARE * left) } else { WAIT_SHARE * left };
        self.held >= MIN_HELD && (f64::from(self.held) > HELD_PER_FREE * free || self.wait() * factor > most)
    }
}

/// How many estimates the class of least worth waits: classes of more worth go first, and its own share of
/// the rate is left. All are admitted by this factor, or those of more worth would fill the whole rate.
/// `class_mix` holds the messages accepted lately, by class.
pub(crate) fn wait_factor(class_mix: &[f64], classes: &[Class]) -> f64 {
    let total: f64 = class_mix.iter().sum();
    let present = || class_mix.iter().zip(classes).filter(|(part, _)| **part > MIN_CLASS_SHARE * total);
    let all: f64 = present().map(|(part, _)| part).sum();
    let least_worth = present().map(|(_, c)| c.worth).fold(f64::INFINITY, f64::min);
    let own: f64 = present().filter(|(_, c)| c.worth <= least_worth).map(|(part, _)| part).sum();
    if own > 0.0 {
        (all / own).min(MAX_FACTOR)
    } else {
        1.0
    }
}

#[cfg(test)]
#[path = "wait_estimate_tests.rs"]
mod tests;
