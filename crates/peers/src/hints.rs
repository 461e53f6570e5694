//! Wait hints: waits that partners have requested from other forwarders. A hint may only delay sending,
//! never cause it.
//!
//! Hints carry durations, never points in time; the time by which a datagram was later than others of its
//! session is subtracted. A forwarder that is faulty or lies can delay a partner here for at most half
//! of the time: after a hold caused by its hint, its hints on that partner are ignored for as long as the
//! hold lasted.

use std::collections::BTreeMap;

/// Longest hold by one hint, in milliseconds.
pub const MAX_HOLD_MS: u64 = 10_000;
/// Maximum number of hints read from one datagram.
pub const MAX_HINTS: usize = 64;
/// Shortest wait that is worth sending, in milliseconds.
pub const MIN_WAIT_MS: u64 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct HintState {
    /// Hints of this member hold the partner until then.
    held_until: u64,
    /// Hints of this member on the partner are ignored until then.
    ignored_until: u64,
}

/// Hints from all other members, by member and partner.
#[derive(Debug, Default)]
pub struct WaitHints {
    states: BTreeMap<(usize, u32), HintState>,
}

impl WaitHints {
    /// Maximum number of partners remembered per member.
    const MAX_PARTNERS: usize = 2_048;

    /// Applies a hint from a member that a partner has asked it to wait for `left_ms` more. Returns until
    /// when to hold the partner, if that is later than by this member's earlier hints.
    pub fn apply(&mut self, now: u64, from: usize, partner: u32, left_ms: u64) -> Option<u64> {
        if left_ms < MIN_WAIT_MS {
            return None;
        }
        self.states.retain(|_, s| s.held_until.max(s.ignored_until) > now);
        let known = self.states.range((from, 0)..=(from, u32::MAX)).count();
        if known >= Self::MAX_PARTNERS && !self.states.contains_key(&(from, partner)) {
            return None;
        }
        let state = self.states.entry((from, partner)).or_default();
        if now < state.ignored_until && now >= state.held_until {
            return None;
        }
        let until = now + left_ms.min(MAX_HOLD_MS);
        if until <= state.held_until {
            return None;
        }
        // Extensions count as one hold: the pause that follows is as long as the whole of it.
        let started = if state.held_until > now {
            2 * state.held_until - state.ignored_until.max(state.held_until)
        } else {
            now
        };
        if until.saturating_sub(started) > MAX_HOLD_MS {
            return None;
        }
        state.held_until = until;
        state.ignored_until = until + (until - started);
        Some(until)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The share of time for which a partner is held by a member that sends hints all the time.
    fn share_held(interval_ms: u64, left_ms: u64) -> f64 {
        let (mut hints, mut until, mut held) = (WaitHints::default(), 0, 0);
        let span = 200_000;
        for now in 0..span {
            if now % interval_ms == 0 {
                until = hints.apply(now, 1, 7, left_ms).unwrap_or(until).max(until);
            }
            held += u64::from(now < until);
        }
        held as f64 / span as f64
    }

    #[test]
    fn a_lying_member_holds_a_partner_for_at_most_half_of_the_time() {
        for (interval_ms, left_ms) in
            [(1, 30), (1, 400), (1, u64::MAX), (50, 400), (500, 400), (1_000, 60_000), (7, 9_999)]
        {
            let share = share_held(interval_ms, left_ms);
            assert!(share <= 0.52, "{left_ms} ms every {interval_ms} ms: {share}");
            assert!(share > 0.2, "{left_ms} ms every {interval_ms} ms: {share}");
        }
    }

    #[test]
    fn hints_of_members_count_independently_and_short_ones_are_ignored() {
        let mut hints = WaitHints::default();
        assert_eq!(hints.apply(100, 1, 7, 400), Some(500));
        assert_eq!(hints.apply(200, 1, 7, 100), None, "shorter than the earlier hint");
        assert_eq!(hints.apply(200, 2, 7, 400), Some(600));
        assert_eq!(hints.apply(200, 1, 8, 400), Some(600));
        assert_eq!(hints.apply(200, 1, 9, MIN_WAIT_MS - 1), None);
        assert_eq!(hints.apply(700, 1, 7, 400), None, "ignored for as long as the hold lasted");
        assert_eq!(hints.apply(900, 1, 7, 400), Some(1_300));
    }
}
