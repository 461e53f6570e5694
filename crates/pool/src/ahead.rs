//! How many connections are opened before a call asks for one.
//!
//! A call that finds none waits for a handshake. While one handshake runs, `rate` times its length calls come; that many
//! and a burst on top stand ready (Little 1961, with the site's bursts of two and a half times the usual). Nothing is opened for
//! an endpoint whose last call or dial failed: a partner that comes back is called by the module's ramp, not stormed with
//! handshakes.

use crate::Micros;

/// Bursts that are prepared for, over the rate of the last seconds.
const BURST: f64 = 2.5;
/// The rate is that of about so long.
const RATE_SPAN: f64 = 2e6;
/// A handshake's length is smoothed over about so many.
const SMOOTH: f64 = 0.2;
/// Without calls for so long nothing is kept ready.
const QUIET: Micros = 10_000_000;
/// Dials ahead at once.
const AT_ONCE: usize = 4;
/// Shorter than this, a handshake is not worth it.
const WORTH: f64 = 1_000.0;

/// What there is of an endpoint's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// With a call on them.
    pub out: usize,
    /// Idle, fit for a call.
    pub idle: usize,
    /// Being opened ahead.
    pub dialling: usize,
    /// All of them that there may be.
    pub most: usize,
}

/// The demand of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Ahead {
    rate: f64,
    at: Micros,
    handshake: f64,
    /// The last call or dial did what it should.
    sound: bool,
}

impl Ahead {
    /// Calls a second.
    pub fn rate(&self, now: Micros) -> f64 {
        self.rate * (-(now.saturating_sub(self.at) as f64) / RATE_SPAN).exp()
    }

    /// A call begins.
    pub fn called(&mut self, now: Micros) {
        self.rate = self.rate(now) + 1e6 / RATE_SPAN;
        self.at = self.at.max(now);
    }

    /// A connection was made in so long.
    pub fn opened(&mut self, took: Micros) {
        let took = took as f64;
        self.handshake =
            if self.handshake > 0.0 { self.handshake + SMOOTH * (took - self.handshake) } else { took };
    }

    /// How a call or a dial ended.
    pub fn ended(&mut self, sound: bool) {
        self.sound = sound;
    }

    /// Length of a handshake, microseconds; 0 if none was seen.
    pub fn handshake(&self) -> Micros {
        self.handshake as Micros
    }

    /// How many dials to begin now.
    pub fn dials(&self, now: Micros, counts: Counts) -> usize {
        if !self.sound || self.handshake < WORTH || now > self.at.saturating_add(QUIET) {
            return 0;
        }
        let ready = (BURST * self.rate(now) * self.handshake / 1e6).ceil() as usize + 1;
        let lacking = ready.saturating_sub(counts.idle + counts.dialling);
        let room = counts.most.saturating_sub(counts.out + counts.idle + counts.dialling);
        lacking.min(room).min(AT_ONCE.saturating_sub(counts.dialling))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn counts(out: usize, idle: usize, dialling: usize) -> Counts {
        Counts { out, idle, dialling, most: 20 }
    }

    /// Called so often a second for some seconds, with handshakes of 100 ms.
    fn called(rate: u64) -> (Ahead, Micros) {
        let mut ahead = Ahead::default();
        ahead.opened(100_000);
        let mut now = 1_000_000;
        for _ in 0..rate * 10 {
            now += 1_000_000 / rate;
            ahead.called(now);
            ahead.ended(true);
        }
        (ahead, now)
    }

    #[test]
    fn what_comes_during_a_handshake_stands_ready() {
        let (ahead, now) = called(20);
        assert!((18.0..22.0).contains(&ahead.rate(now)), "{}", ahead.rate(now));
        // Two and a half times a little over twenty a second for 0.1 s, and one: seven.
        assert_eq!(ahead.dials(now, counts(0, 0, 0)), AT_ONCE);
        assert_eq!(ahead.dials(now, counts(0, 3, 1)), 3);
        assert_eq!(ahead.dials(now, counts(0, 7, 0)), 0);
        assert_eq!(ahead.dials(now, counts(18, 0, 1)), 1, "no more than there may be");
        assert_eq!(ahead.dials(now + QUIET + 1, counts(0, 0, 0)), 0, "nobody calls any more");
    }

    #[test]
    fn nothing_is_opened_ahead_for_who_fails_or_is_near() {
        let (mut ahead, now) = called(20);
        ahead.ended(false);
        assert_eq!(ahead.dials(now, counts(0, 0, 0)), 0);
        ahead.ended(true);
        assert_eq!(ahead.dials(now, counts(0, 0, 0)), AT_ONCE);
        (0..50).for_each(|_| ahead.opened(200));
        assert_eq!(ahead.dials(now, counts(0, 0, 0)), 0, "a handshake of 0.2 ms");
    }

    proptest! {
        #[test]
        fn never_more_than_there_may_be(
            steps in prop::collection::vec((0..4u8, any::<u32>()), 0..60),
            out in 0..30usize, idle in 0..30usize, dialling in 0..30usize,
        ) {
            let mut ahead = Ahead::default();
            let mut now = 0u64;
            for (what, value) in steps {
                match what {
                    0 => { now += u64::from(value); ahead.called(now) }
                    1 => ahead.opened(u64::from(value)),
                    2 => ahead.ended(value % 2 == 0),
                    _ => ahead.called(u64::from(value)),
                }
                let counts = counts(out, idle, dialling);
                let dials = ahead.dials(now, counts);
                prop_assert!(dials <= AT_ONCE && (dials == 0 || out + idle + dialling + dials <= counts.most));
            }
        }
    }
}
