//! The pace of a sender that is one of many: its calls are a small part of what uses a limit up.
//! What it sees for itself comes too seldom to find a pace by, so it begins with its even part of the limit
//! and lets what answers tell of the allowance that is left, which is true for all, move it from there.
//! No clock, no I/O. `docs/design/fleet.md` has the figures.

use crate::interface::Micros;
use crate::state::Lane;

/// Growth a second, up to its part and beyond it. An answer tells of the time since the one before, but of no
/// more than this span, in microseconds: what is older the others know too.
const GROWTH: f64 = 0.3;
const GROWTH_BEYOND: f64 = 0.1;
const TOLD_FOR: Micros = 3_000_000;
/// Share of the allowance from which on there is room beyond the even parts, and below which there is none.
const ROOM: f64 = 0.5;
const USED_UP: f64 = 0.25;
/// Parts that a sender may take at the most, after a refusal or where nothing is left, and at the least.
const MOST: f64 = 2.5;
const SHORT: f64 = 0.9;
const LEAST: f64 = 0.3;

impl Lane {
    /// A call of one of many was served; `left` is the share of the allowance that is.
    pub(crate) fn served_in_fleet(&mut self, left: f64, now: Micros) {
        let told = now.saturating_sub(self.raised).min(TOLD_FOR) as f64 / 1e6;
        self.raised = now;
        let growth = match self.pace < self.part {
            true => GROWTH * (2.0 * left).min(1.0),
            false if left > ROOM => GROWTH_BEYOND,
            false => 0.0,
        };
        self.pace = (self.pace * (1.0 + growth * told)).min(MOST * self.part);
        if left < USED_UP {
            self.pace = self.pace.min(SHORT * self.part);
        }
    }

    /// A call of one of many was turned away, and nothing goes before `wait_until`. All that were told one
    /// moment would come at it together: `draw` in 0 to 1 has the next call go at a place of its own within a
    /// span of the pace.
    pub(crate) fn refused_in_fleet(&mut self, cut: f64, draw: f64) {
        self.pace = (self.pace * cut).min(SHORT * self.part).max(LEAST * self.part);
        (self.tokens, self.filled) = (self.tokens.min(draw), self.filled.max(self.wait_until));
    }
}
