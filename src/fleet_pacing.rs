//! Pacing for a sender of a large fleet, whose calls are a small part of what uses up a limit. It sees too
//! few answers to find a pace by, so it starts with its even share of the limit and adjusts it by the
//! remaining allowance that answers report, the same for all. No clock, no I/O. Figures:
//! `docs/design/fleet.md`.

use crate::interface::Micros;
use crate::state::{Circuit, Route};

pub(crate) const PACE_CUT: f64 = 0.7; // factor by which a rejection cuts the pace, in fleets of any size
const GROWTH: f64 = 0.15; // relative growth of the pace a second, up to the even share
/// Growth above it, in full if nothing was rejected for CALM. A fleet that has met its limit passes it again
/// at 0.045 a second: until most know, three seconds later, a token bucket of half a second bears that.
const GROWTH_ABOVE: f64 = 0.4;
const CALM: f64 = 40e6; // microseconds
/// Time since the previous answer, in microseconds, up to which an answer raises the pace: the others know
/// what is older. It brings a sender from the least pace to its even share and no further.
const REPORT_SPAN: Micros = 3_000_000;
const PLENTY: f64 = 0.5; // share of the allowance above which the pace may exceed the even share
const LITTLE: f64 = 0.25; // share of the allowance below which it stays under the even share
const MAX_SHARES: f64 = 4.0; // largest pace in even shares: some senders have several times the mean traffic
const REDUCED_SHARES: f64 = 0.9; // pace in even shares after a rejection or if little is left
/// Least pace in even shares: with it all senders that are behind stay below the limit. From a lower one a
/// sender does not recover in the time of a message, as its calls are seconds apart.
const MIN_SHARES: f64 = 0.7;
const FREE_WAIT: f64 = 0.4; // part of an aim in which waiting is free: two attempts take the rest

impl Route {
    /// Adjusts the pace after a served call. `remaining` is the share of the allowance that is left.
    pub(crate) fn served_in_fleet(&mut self, remaining: f64, now: Micros) {
        let reported_span = now.saturating_sub(self.raised).min(REPORT_SPAN) as f64 / 1e6;
        self.raised = now;
        let calm = self.last_rejection.map_or(1.0, |at| now.saturating_sub(at) as f64 / CALM).min(1.0);
        let growth = match self.pace < self.fair_share {
            true => GROWTH * (2.0 * remaining).min(1.0),
            false if remaining > PLENTY => GROWTH_ABOVE * calm,
            false => 0.0,
        };
        self.pace = (self.pace * (1.0 + growth * reported_span)).min(MAX_SHARES * self.fair_share);
        if remaining < LITTLE {
            self.pace = self.pace.min(REDUCED_SHARES * self.fair_share);
        }
    }

    /// Delays the first message after a time without one. A burst that reaches the whole fleet at once would
    /// be forwarded at once: each sender has a token saved, together two seconds of the limit, and rejected
    /// calls use it up. Each sender starts at its own time, by `draw` in 0 to 1, within an interval of its
    /// pace and the part of an aim in which waiting is free.
    pub(crate) fn resumed_in_fleet(&mut self, rate: f64, aim: f64, draw: f64, now: Micros) {
        let rested =
            self.tokens >= 1.0 && self.calls.is_empty() && now as f64 > self.filled as f64 + aim / 2.0;
        if self.fair_share > 0.0 && self.circuit == Circuit::Closed && rested {
            self.tokens = 1.0 - draw * (rate * FREE_WAIT * aim / 1e6).min(1.0);
        }
    }

    /// Cuts the pace after a rejected call; nothing is sent before `wait_until`. Senders with the same time
    /// would come back together: `draw` in 0 to 1 puts the next call within an interval of the pace.
    pub(crate) fn rejected_in_fleet(&mut self, draw: f64, now: Micros) {
        self.last_rejection = Some(now);
        self.pace =
            (self.pace * PACE_CUT).min(REDUCED_SHARES * self.fair_share).max(MIN_SHARES * self.fair_share);
        (self.tokens, self.filled) = (self.tokens.min(draw), self.filled.max(self.wait_until));
    }
}
