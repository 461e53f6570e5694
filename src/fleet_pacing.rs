//! The pace of a sender that is one of many: its calls are a small part of what uses a limit up.
//! What it sees for itself comes too seldom to find a pace by, so it begins with its even part of the limit
//! and lets what answers tell of the allowance that is left, which is true for all, move it from there.
//! No clock, no I/O. `docs/design/fleet.md` has the figures.

use crate::interface::Micros;
use crate::state::{Gate, Lane};

/// To what a refusal cuts the pace, of one of many as of one of few.
pub(crate) const PACE_DOWN: f64 = 0.7;
/// Growth a second, up to its part and beyond it; there in full where nothing was refused for FORGETS. So a
/// fleet that has met its limit passes it again at 0.045 a second: with three seconds until most have heard,
/// what a bucket of half a second bears. An answer tells of the time since the one before, TOLD_FOR at most:
/// what is older the others know too. From the least it brings a sender to its part, and no further.
const GROWTH: f64 = 0.15;
const GROWTH_BEYOND: f64 = 0.4;
const FORGETS: f64 = 40e6;
const TOLD_FOR: Micros = 3_000_000;
/// Share of the allowance above which there is room beyond the even parts, and below which there is none.
const ROOM: f64 = 0.5;
const USED_UP: f64 = 0.25;
/// Parts that a sender may take at the most (some have several times the mean traffic), after a refusal or
/// where nothing is left, and at the least: all that are behind come to less than the limit with it, and a
/// lower one is not found back from in a message's time, since a sender's calls are seconds apart.
const MOST: f64 = 4.0;
const SHORT: f64 = 0.9;
const LEAST: f64 = 0.7;
/// Part of an aim that a message may wait here at no cost: the call and a second try take the rest.
const FREE: f64 = 0.4;

impl Lane {
    /// A call of one of many was served; `left` is the share of the allowance that is.
    pub(crate) fn served_in_fleet(&mut self, left: f64, now: Micros) {
        let told = now.saturating_sub(self.raised).min(TOLD_FOR) as f64 / 1e6;
        self.raised = now;
        let calm = self.refused.map_or(1.0, |at| now.saturating_sub(at) as f64 / FORGETS).min(1.0);
        let growth = match self.pace < self.part {
            true => GROWTH * (2.0 * left).min(1.0),
            false if left > ROOM => GROWTH_BEYOND * calm,
            false => 0.0,
        };
        self.pace = (self.pace * (1.0 + growth * told)).min(MOST * self.part);
        if left < USED_UP {
            self.pace = self.pace.min(SHORT * self.part);
        }
    }

    /// One of many has a message again after a while without. What reaches the whole fleet in one
    /// moment, a clump for one destination say, would be sent on in one moment: each has a call saved
    /// up, together two seconds of the limit, and refused ones use it up. Each takes a place of its
    /// own, by `draw` in 0 to 1, within a span of its pace and the part of an aim in which waiting
    /// costs nothing.
    pub(crate) fn rested_in_fleet(&mut self, rate: f64, aim: f64, draw: f64, now: Micros) {
        let rested =
            self.tokens >= 1.0 && self.calls.is_empty() && now as f64 > self.filled as f64 + aim / 2.0;
        if self.part > 0.0 && self.gate == Gate::Open && rested {
            self.tokens = 1.0 - draw * (rate * FREE * aim / 1e6).min(1.0);
        }
    }

    /// A call of one of many was turned away, and nothing goes before `wait_until`. All that were told
    /// one moment would come at it together: `draw` in 0 to 1 has the next call go at a place of its
    /// own within a span of the pace.
    pub(crate) fn refused_in_fleet(&mut self, draw: f64, now: Micros) {
        self.refused = Some(now);
        self.pace = (self.pace * PACE_DOWN).min(SHORT * self.part).max(LEAST * self.part);
        (self.tokens, self.filled) = (self.tokens.min(draw), self.filled.max(self.wait_until));
    }
}
