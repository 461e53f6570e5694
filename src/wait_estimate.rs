//! Estimates when a message that is submitted now would be delivered, from what waits for its destination and
//! the rate served; so whether it is refused at intake, and when its client may come again. No I/O;
//! `docs/design/health.md` discusses the options.

use crate::interface::{Class, Micros};

/// A destination whose backlog has lasted for this long, in microseconds, shows what rate it can serve.
const SETTLED_BACKLOG: Micros = 300_000;
/// Share of a message's time left that the estimated wait may take. Messages that arrive later and are worth
/// more go first.
const MAX_WAIT_SHARE: f64 = 0.6;
/// A destination may hold this many times the number of free places (dynamic thresholds, Choudhury and Hahne
/// 1998). Whichever destinations have a backlog, some places stay free for those that have none.
const HELD_PER_FREE_PLACE: f64 = 4.0;
/// Messages that are accepted for a destination in any case, since trials need messages.
const ALWAYS_ACCEPTED: u32 = 4;
/// Share of the accepted messages below which a class does not count.
const MIN_CLASS_SHARE: f64 = 0.02;
/// Upper bound of the wait of the class of least worth, in multiples of the estimate.
const MAX_WAIT_FACTOR: f64 = 8.0;

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
        let settled = self.backlog_for >= SETTLED_BACKLOG && self.served_rate > 0.0;
        let queue = if settled { f64::from(self.held) / self.served_rate * 1e6 } else { 0.0 };
        (self.unavailable_for as f64 + queue).max(self.key_wait)
    }

    /// Whether to refuse a message that has `left` microseconds left, if some class waits `factor` times the
    /// estimate, its own class accepts a wait of at most `max_wait` (0 for no bound), and `free` more
    /// messages can be held.
    pub fn refuses(&self, factor: f64, left: f64, max_wait: Micros, free: f64) -> bool {
        let most =
            if max_wait > 0 { (max_wait as f64).min(MAX_WAIT_SHARE * left) } else { MAX_WAIT_SHARE * left };
        self.held >= ALWAYS_ACCEPTED
            && (f64::from(self.held) > HELD_PER_FREE_PLACE * free || self.wait() * factor > most)
    }
}

/// How many estimates the class of least worth waits: classes of more worth go first, and its own share of
/// the rate is left. All classes are admitted by this factor, since otherwise those of more worth would fill
/// the whole rate. `class_mix` holds the messages accepted lately, by class.
pub(crate) fn wait_factor(class_mix: &[f64], classes: &[Class]) -> f64 {
    let total: f64 = class_mix.iter().sum();
    let present = || class_mix.iter().zip(classes).filter(|(part, _)| **part > MIN_CLASS_SHARE * total);
    let all: f64 = present().map(|(part, _)| part).sum();
    let least_worth = present().map(|(_, c)| c.worth).fold(f64::INFINITY, f64::min);
    let own: f64 = present().filter(|(_, c)| c.worth <= least_worth).map(|(part, _)| part).sum();
    if own > 0.0 {
        (all / own).min(MAX_WAIT_FACTOR)
    } else {
        1.0
    }
}

#[cfg(test)]
#[path = "wait_estimate_tests.rs"]
mod tests;
