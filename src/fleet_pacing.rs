//! Pacing for a sender of a large fleet, whose own calls are a small part of what uses up a limit.
//!
//! Such a sender sees too few answers to find a pace from them alone. It starts with its even share of the
//! limit and adjusts it by the remaining allowance that answers report, which is the same for all senders. No
//! clock, no I/O; `docs/design/fleet.md` derives the constants.

use crate::interface::Micros;
use crate::state::{Circuit, Route};

/// Factor by which a rejection cuts the pace, in fleets of any size.
pub(crate) const PACE_CUT: f64 = 0.7;
/// Relative growth of the pace a second while it is below the even share.
const GROWTH: f64 = 0.15;
/// Relative growth of the pace a second above the even share. It applies in full once nothing has been
/// rejected for [`REJECTION_MEMORY`]. A fleet that has met its limit passes it again at 0.045 a second; in
/// the three seconds until most senders have learned of it, this is what a token bucket of half a second
/// tolerates.
const GROWTH_ABOVE_SHARE: f64 = 0.4;
/// Time after which a rejection no longer slows the growth, in microseconds.
const REJECTION_MEMORY: f64 = 40e6;
/// Longest time since the previous answer, in microseconds, for which an answer raises the pace; the other
/// senders know what is older. It brings a sender from the least pace to its even share and no further.
const MAX_REPORT_SPAN: Micros = 3_000_000;
/// Remaining share of the allowance above which the pace may exceed the even share.
const PLENTY_LEFT: f64 = 0.5;
/// Remaining share of the allowance below which the pace stays under the even share.
const LITTLE_LEFT: f64 = 0.25;
/// Largest pace in even shares: some senders have several times the mean traffic.
const MAX_SHARES: f64 = 4.0;
/// Pace in even shares after a rejection, or when little of the allowance is left.
const REDUCED_SHARES: f64 = 0.9;
/// Least pace in even shares. With it all senders that are behind stay below the limit together. From a lower
/// pace a sender would not recover within the time of a message, since its calls are seconds apart.
const MIN_SHARES: f64 = 0.7;
/// Share of an aim that a message may wait here at no cost. The call and a second attempt take the rest.
const FREE_WAIT_SHARE: f64 = 0.4;

impl Route {
    /// Adjusts the pace of a sender of a large fleet after a served call. `remaining` is the share of the
    /// allowance that is left.
    pub(crate) fn served_in_fleet(&mut self, remaining: f64, now: Micros) {
        let reported_span = now.saturating_sub(self.pace_raised).min(MAX_REPORT_SPAN) as f64 / 1e6;
        self.pace_raised = now;
        let calm =
            self.last_rejection.map_or(1.0, |at| now.saturating_sub(at) as f64 / REJECTION_MEMORY).min(1.0);
        let growth = match self.pace < self.fair_share {
            true => GROWTH * (2.0 * remaining).min(1.0),
            false if remaining > PLENTY_LEFT => GROWTH_ABOVE_SHARE * calm,
            false => 0.0,
        };
        self.pace = (self.pace * (1.0 + growth * reported_span)).min(MAX_SHARES * self.fair_share);
        if remaining < LITTLE_LEFT {
            self.pace = self.pace.min(REDUCED_SHARES * self.fair_share);
        }
    }

    /// Delays the first message of a sender of a large fleet after a time without messages. A burst that
    /// reaches the whole fleet at once, for example many messages for one destination, would be forwarded at
    /// once: every sender has a token saved up, together two seconds of the limit, and rejected calls use it
    /// up. Each sender therefore starts at its own time, given by `draw` in 0 to 1, within one interval of
    /// its pace and within the part of an aim in which waiting costs nothing.
    pub(crate) fn resumed_in_fleet(&mut self, rate: f64, aim: f64, draw: f64, now: Micros) {
        let rested =
            self.tokens >= 1.0 && self.calls.is_empty() && now as f64 > self.tokens_filled as f64 + aim / 2.0;
        if self.fair_share > 0.0 && self.circuit == Circuit::Closed && rested {
            self.tokens = 1.0 - draw * (rate * FREE_WAIT_SHARE * aim / 1e6).min(1.0);
        }
    }

    /// Lowers the pace of a sender of a large fleet after a rejected call. Nothing is sent before
    /// `wait_until`. All senders that were given the same time would come back together; `draw` in 0 to 1
    /// places the next call of each at its own time within one interval of the pace.
    pub(crate) fn rejected_in_fleet(&mut self, draw: f64, now: Micros) {
        self.last_rejection = Some(now);
        self.pace =
            (self.pace * PACE_CUT).min(REDUCED_SHARES * self.fair_share).max(MIN_SHARES * self.fair_share);
        (self.tokens, self.tokens_filled) = (self.tokens.min(draw), self.tokens_filled.max(self.wait_until));
    }
}
