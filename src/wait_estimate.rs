//! When a message that is handed in now would be delivered, from what waits for its destination and what that
//! serves; so whether it is refused at the door, and when its client may come again. No I/O;
//! `docs/design/health.md` has the options.

use crate::interface::{Class, Micros};

/// A destination that has had more ready than it took for so long, in microseconds, shows what it can serve.
const SETTLED: Micros = 300_000;
/// Part of a message's time that the estimate may take. What comes later and is worth more goes first.
const DOOR: f64 = 0.6;
/// A destination may hold so many times what is free of the room (dynamic thresholds, Choudhury and Hahne
/// 1998): whatever has a backlog, some room stays for what has none.
const SHARE: f64 = 4.0;
/// So many are taken on for a destination in any case: trials are made with messages.
const ALWAYS: u32 = 4;
/// Share of what is taken on below which a class does not count; the most that an overtaken class is held to
/// wait, in estimates.
const PRESENT: f64 = 0.02;
const MOST_OVERTAKEN: f64 = 8.0;

/// How a destination fares, as far as what waits for it is concerned.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outlook {
    /// Messages held for it.
    pub held: u32,
    /// Messages a second that it serves; 0 where too little is known.
    pub served: f64,
    /// For how long more has been ready than it takes, microseconds.
    pub behind: Micros,
    /// Rest of a wait that it has told; or, where it looks out, as long again as it has so far: nothing else
    /// is known of an outage's end (Gott 1993). Microseconds.
    pub shut: Micros,
    /// Microseconds that earlier messages of the same key take at the least, one after another.
    pub turn: f64,
}

impl Outlook {
    /// Microseconds until what is held now has been served; 0 where nothing says that it will take long.
    pub fn wait(&self) -> f64 {
        let settled = self.behind >= SETTLED && self.served > 0.0;
        let queue = if settled { f64::from(self.held) / self.served * 1e6 } else { 0.0 };
        (self.shut as f64 + queue).max(self.turn)
    }

    /// Whether a message is refused that has so many microseconds left, where some wait `ratio` times the
    /// estimate, its class is wanted within `patience` (0 for no matter), and `free` places are left.
    pub fn refuses(&self, ratio: f64, left: f64, patience: Micros, free: f64) -> bool {
        let most = if patience > 0 { (patience as f64).min(DOOR * left) } else { DOOR * left };
        self.held >= ALWAYS && (f64::from(self.held) > SHARE * free || self.wait() * ratio > most)
    }
}

/// How many estimates the class that is worth least waits: what is worth more goes first, and only its own
/// part of what is served is left. All are let in by this, or those worth more would fill what is served.
/// `mix` is what was taken on lately, by class.
pub(crate) fn overtaken(mix: &[f64], classes: &[Class]) -> f64 {
    let whole: f64 = mix.iter().sum();
    let present = || mix.iter().zip(classes).filter(|(part, _)| **part > PRESENT * whole);
    let all: f64 = present().map(|(part, _)| part).sum();
    let least = present().map(|(_, c)| c.worth).fold(f64::INFINITY, f64::min);
    let own: f64 = present().filter(|(_, c)| c.worth <= least).map(|(part, _)| part).sum();
    if own > 0.0 {
        (all / own).min(MOST_OVERTAKEN)
    } else {
        1.0
    }
}

#[cfg(test)]
#[path = "wait_estimate_tests.rs"]
mod tests;
