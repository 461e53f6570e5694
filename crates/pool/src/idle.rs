//! How long a connection may stand idle before it is used again.
//!
//! Nobody tells: servers and the boxes between close idle connections after a time of their own, some by a FIN and some without a
//! word, and change it as they please. A call on a connection that is being closed may have run, which ends a payment. So a
//! connection is used again only within a part of the shortest idle time at which one was lost lately. Those that stand
//! idle for longer are not used, but watched: one that is seen open for longer than any was before raises the bound without
//! a message being risked on it.

use crate::Micros;

/// Part of the shortest idle time of a loss up to which a connection is used.
const MARGIN: f64 = 0.75;
/// What is known of losses without a word fades: nothing but a message can try them. The bound grows by half in this span.
const FADES: f64 = 300e6;
/// Below this no connection is kept at all.
const LEAST: Micros = 2_000;

/// What is known of an endpoint's idle connections.
#[derive(Clone, Debug)]
pub struct Idle {
    /// What the site says: partners close after this.
    told: Micros,
    /// The shortest idle time after which one was seen to be closed, as long as none was seen open for longer since.
    closed: Option<Micros>,
    /// The shortest idle time after which a call was reset, and when that was.
    silent: Option<(Micros, Micros)>,
}

impl Idle {
    /// Nothing but what the site says.
    pub fn new(told: Micros) -> Idle {
        Idle { told, closed: None, silent: None }
    }

    /// One was closed by the other side after it had stood idle for so long.
    pub fn closed_after(&mut self, idle: Micros) {
        self.closed = Some(self.closed.map_or(idle, |least| least.min(idle)));
    }

    /// One is open after it has stood idle for so long.
    pub fn open_after(&mut self, idle: Micros) {
        // The partner has another time now. It may be longer yet: the next loss tells.
        if self.closed.is_some_and(|least| idle > least) {
            self.closed = if idle >= self.told { None } else { Some(idle) };
        }
    }

    /// A call on one that had stood idle for so long was reset.
    pub fn reset_after(&mut self, now: Micros, idle: Micros) {
        let shortest = self.silent(now).map_or(idle, |least| least.min(idle));
        self.silent = Some((shortest, now));
    }

    /// A call on one that had stood idle for so long was answered.
    pub fn answered_after(&mut self, now: Micros, idle: Micros) {
        if self.silent(now).is_some_and(|least| idle > least) {
            self.silent = Some((idle, now));
        }
        self.open_after(idle);
    }

    fn silent(&self, now: Micros) -> Option<Micros> {
        let (least, at) = self.silent?;
        let grown = least as f64 * 1.5f64.powf(now.saturating_sub(at) as f64 / FADES);
        (grown < self.told as f64).then_some(grown as Micros)
    }

    /// Longest idle time after which one is used again.
    pub fn longest(&self, now: Micros) -> Micros {
        let least = self.closed.into_iter().chain(self.silent(now)).min();
        let longest = least.map_or(self.told, |least| ((least as f64 * MARGIN) as Micros).min(self.told));
        if longest < LEAST {
            0
        } else {
            longest
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MS: Micros = 1_000;
    const SECOND: Micros = 1_000 * MS;

    /// A partner that closes after `drops`, called at gaps of every length; gives how many calls met a connection within the
    /// last tenth before its close or after it, of so many.
    fn risky(idle: &mut Idle, drops: Micros, silently: bool, from: Micros, calls: u64) -> u64 {
        let (mut now, mut risky) = (from, 0);
        for n in 0..calls {
            // From 1 ms to 4 s, the same sequence every time.
            let gap = MS << (n * 7 % 13);
            now += gap;
            let used = gap <= idle.longest(now);
            match (used, gap > drops) {
                (true, true) => {
                    risky += 1;
                    idle.reset_after(now, gap);
                }
                (true, false) => idle.answered_after(now, gap),
                // It stands by, watched.
                (false, true) if !silently => idle.closed_after(drops),
                (false, true) => {}
                (false, false) => idle.open_after(gap),
            }
        }
        risky
    }

    #[test]
    fn the_time_at_which_connections_are_closed_is_learned_and_followed() {
        let mut idle = Idle::new(15 * SECOND);
        assert_eq!(idle.longest(0), 15 * SECOND);
        assert!(risky(&mut idle, 900 * MS, false, 0, 100) <= 2);
        assert!((500 * MS..900 * MS).contains(&idle.longest(0)));
        // It becomes shorter, and longer again.
        assert!(risky(&mut idle, 100 * MS, false, 1_000 * SECOND, 100) <= 2);
        assert_eq!(risky(&mut idle, 100 * MS, false, 2_000 * SECOND, 1_000), 0);
        assert!(risky(&mut idle, 3 * SECOND, false, 3_000 * SECOND, 1_000) <= 1);
        assert!(idle.longest(4_000 * SECOND) > 1_500 * MS, "{}", idle.longest(4_000 * SECOND));
    }

    #[test]
    fn a_box_that_says_nothing_is_met_seldom_and_tried_again_in_time() {
        let mut idle = Idle::new(15 * SECOND);
        let met = risky(&mut idle, 300 * MS, true, 0, 2_000);
        assert!(met <= 8, "{met}");
        let after = 2_000 * SECOND;
        assert!(idle.longest(after) > idle.longest(after - 1_500 * SECOND).min(200 * MS));
        assert_eq!(idle.longest(after + 10_000 * SECOND), 15 * SECOND, "forgotten");
    }

    proptest! {
        /// Whatever happens in whichever order, none is used for longer than the site says, nor within a quarter of a close
        /// that is known.
        #[test]
        fn bounds_hold(steps in prop::collection::vec((0..4u8, any::<u32>(), any::<u32>()), 0..100)) {
            let mut idle = Idle::new(15 * SECOND);
            for (what, now, time) in steps {
                let (now, time) = (u64::from(now), u64::from(time));
                match what {
                    0 => idle.closed_after(time),
                    1 => idle.open_after(time),
                    2 => idle.reset_after(now, time),
                    _ => idle.answered_after(now, time),
                }
                prop_assert!(idle.longest(now) <= 15 * SECOND);
                if what == 0 || what == 2 {
                    prop_assert!(idle.longest(now) <= time);
                }
            }
        }
    }
}
