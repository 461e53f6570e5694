//! What partners have told others: waits. Hints only: a reason to hold off, never one to send.
//!
//! They are spans, never points in time: what a datagram was under way longer than others of its life comes off. A
//! forwarder that lies, or is broken, holds a partner off here for half of the time at most: after a hold by its hint it is
//! not heard on that partner for as long as it has held.

use std::collections::BTreeMap;

/// Longest hold by one hint, in milliseconds.
pub const LONGEST: u64 = 10_000;
/// Hints in one datagram that are looked at.
pub const MOST: usize = 64;
/// A hint that holds for less than this is not worth telling.
pub const LEAST: u64 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct Heard {
    /// Held by its hints until then.
    until: u64,
    /// Not heard before then.
    deaf: u64,
}

/// The hints of all others, by member and partner.
#[derive(Debug, Default)]
pub struct Hints {
    heard: BTreeMap<(usize, u32), Heard>,
}

impl Hints {
    /// Partners that are remembered of one member at most.
    const PARTNERS: usize = 2_048;

    /// A member says that a partner has told it to wait for so long yet. Gives until when to hold off, if that is longer than
    /// by what it said before.
    pub fn wait(&mut self, now: u64, from: usize, partner: u32, left: u64) -> Option<u64> {
        if left < LEAST {
            return None;
        }
        self.heard.retain(|_, h| h.until.max(h.deaf) > now);
        let known = self.heard.range((from, 0)..=(from, u32::MAX)).count();
        if known >= Self::PARTNERS && !self.heard.contains_key(&(from, partner)) {
            return None;
        }
        let heard = self.heard.entry((from, partner)).or_default();
        if now < heard.deaf && now >= heard.until {
            return None;
        }
        let until = now + left.min(LONGEST);
        if until <= heard.until {
            return None;
        }
        // A hold that goes on is one hold: its rest is as long as all of it.
        let begun = if heard.until > now { 2 * heard.until - heard.deaf.max(heard.until) } else { now };
        if until.saturating_sub(begun) > LONGEST {
            return None;
        }
        heard.until = until;
        heard.deaf = until + (until - begun);
        Some(until)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The time in which a partner is held off by one that says all the time that it is to wait.
    fn held(every: u64, left: u64) -> f64 {
        let (mut hints, mut until, mut held) = (Hints::default(), 0, 0);
        let span = 200_000;
        for now in 0..span {
            if now % every == 0 {
                until = hints.wait(now, 1, 7, left).unwrap_or(until).max(until);
            }
            held += u64::from(now < until);
        }
        held as f64 / span as f64
    }

    #[test]
    fn a_member_that_lies_holds_a_partner_off_for_half_of_the_time_at_most() {
        for (every, left) in
            [(1, 30), (1, 400), (1, u64::MAX), (50, 400), (500, 400), (1_000, 60_000), (7, 9_999)]
        {
            let share = held(every, left);
            assert!(share <= 0.52, "{left} ms every {every} ms: {share}");
            assert!(share > 0.2, "{left} ms every {every} ms: {share}");
        }
    }

    #[test]
    fn hints_of_others_count_beside_and_short_ones_do_not() {
        let mut hints = Hints::default();
        assert_eq!(hints.wait(100, 1, 7, 400), Some(500));
        assert_eq!(hints.wait(200, 1, 7, 100), None, "shorter than what was said");
        assert_eq!(hints.wait(200, 2, 7, 400), Some(600));
        assert_eq!(hints.wait(200, 1, 8, 400), Some(600));
        assert_eq!(hints.wait(200, 1, 9, LEAST - 1), None);
        assert_eq!(hints.wait(700, 1, 7, 400), None, "it is not heard for as long as it held");
        assert_eq!(hints.wait(900, 1, 7, 400), Some(1_300));
    }
}
