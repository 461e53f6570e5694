//! When the platform's discovery is asked: decisions only, no I/O. One forwarder that asks again at once does no harm. A
//! hundred of them that do keep a discovery which is overbooked turned away from all: each call that it takes in is
//! answered too late for the one who asked, and each that it turns away comes again within a second.

use hatchline::FLEET;
use std::time::Duration;

/// How long a watch may stay without news, for one sender of a few; and for each of many.
const WATCH: Duration = Duration::from_secs(5);
const WATCH_EACH: Duration = Duration::from_millis(250);
const LONGEST_WATCH: Duration = Duration::from_secs(50);
/// The pause after a first failure, and the longest, doubled in between: for one of a few, and for each of many, so that all
/// together ask so often at the most, whatever their number.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
const FIRST_PAUSE_EACH: Duration = Duration::from_millis(20);
const LONGEST_PAUSE_EACH: Duration = Duration::from_millis(300);
/// News reach all senders in one moment: where they are many each asks on at some time within this span. The platform counts
/// what changes meanwhile as told if the next call comes within 200 ms of the answer; a later call begins a new watch, and
/// what has drained since is sent to for as long as nobody asks.
const NEWS: Duration = Duration::from_millis(150);

/// How one of so many senders asks.
#[derive(Debug)]
pub(crate) struct Asking {
    senders: u32,
    failures: u32,
    random: fastrand::Rng,
}

impl Asking {
    /// `senders` as the settings have it: 0 counts as one.
    pub fn new(senders: u32, seed: u64) -> Self {
        Asking { senders: senders.max(1), failures: 0, random: fastrand::Rng::with_seed(seed) }
    }

    /// How long a watch may stay without news.
    pub fn watch(&self) -> Duration {
        (WATCH_EACH * self.senders).clamp(WATCH, LONGEST_WATCH)
    }

    /// An answer has come, with news or without: the pause before the next call.
    pub fn answered(&mut self, news: bool) -> Duration {
        self.failures = 0;
        if !news || self.senders < FLEET {
            return Duration::ZERO;
        }
        NEWS.mul_f64(self.random.f64())
    }

    /// A call has failed: the pause before the next. With many senders it is drawn from a half to one and a half of what it
    /// is for one, or those that failed together would go on together.
    pub fn failed(&mut self) -> Duration {
        let (first, longest, part) = match self.senders < FLEET {
            true => (FIRST_PAUSE, LONGEST_PAUSE, 1.0),
            false => {
                let part = 0.5 + self.random.f64();
                (FIRST_PAUSE_EACH * self.senders, LONGEST_PAUSE_EACH * self.senders, part)
            }
        };
        let pause = first.saturating_mul(1 << self.failures.min(16)).min(longest);
        self.failures += 1;
        pause.mul_f64(part)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cmp::Reverse;
    use std::collections::BinaryHeap;

    /// A discovery that answers `rate` calls a second, one after another, and turns a call away whose answer would take more
    /// than two seconds. Who has not been answered by then has given up. Gives when each asker had its first answer.
    fn first_answers(senders: u32, rate: f64, mut failed: impl FnMut(usize) -> Duration) -> Vec<Option<f64>> {
        let mut answered = vec![None; senders as usize];
        let (mut free, mut calls) = (0.0f64, BinaryHeap::new());
        let micros = |seconds: f64| (seconds * 1e6) as u64;
        (0..senders as usize).for_each(|n| calls.push(Reverse((micros(n as f64 * 1e-3), n))));
        while let Some(Reverse((at, n))) = calls.pop() {
            let now = at as f64 / 1e6;
            if now > 120.0 {
                break;
            }
            let done = free.max(now) + 1.0 / rate;
            if done - now > 2.0 {
                calls.push(Reverse((micros(now + 0.011 + failed(n).as_secs_f64()), n)));
                continue;
            }
            free = done;
            // What is answered at the last moment comes too late.
            match done - now < 1.9 {
                true => answered[n] = Some(done),
                false => calls.push(Reverse((micros(now + 2.0 + failed(n).as_secs_f64()), n))),
            }
        }
        answered
    }

    #[test]
    fn a_fleet_that_starts_at_once_hears_from_an_overbooked_discovery() {
        let mut askers: Vec<Asking> = (0..100).map(|n| Asking::new(100, n)).collect();
        let answered = first_answers(100, 4.0, |n| askers[n].failed());
        let last = answered.iter().map(|a| a.unwrap_or(f64::INFINITY)).fold(0.0, f64::max);
        assert!(last < 100.0, "the last hears after {last} s");
        let half = answered.iter().flatten().filter(|at| **at < 40.0).count();
        assert!(half >= 50, "{half} of 100 have heard after 40 s");
    }

    /// Found on a day of 300 that replaces targets while all restart: each waited up to 3 s after a list before it asked on, and
    /// sent to targets that had drained meanwhile for longer than the 2 s of grace.
    #[test]
    fn a_watch_goes_on_within_its_time_and_out_of_step_whatever_the_number_of_senders() {
        for senders in [10, 300, 100_000] {
            let pauses: Vec<_> =
                (0..200).map(|seed| Asking::new(senders, seed).answered(true).as_millis()).collect();
            let most = pauses.iter().copied().max().unwrap_or(0);
            assert!(most < 200, "{senders} senders: one asks on after {most} ms");
            let in_one_place = (0..15).map(|n| pauses.iter().filter(|p| **p / 10 == n).count()).max();
            assert!(
                in_one_place < Some(40),
                "{senders} senders: {in_one_place:?} of 200 ask on within 10 ms"
            );
        }
    }

    #[test]
    fn all_senders_together_ask_seldom_where_they_fail() {
        for senders in [10, 100, 500] {
            let mut askers: Vec<Asking> = (0..senders).map(|n| Asking::new(senders, u64::from(n))).collect();
            let settled = askers.iter_mut().map(|a| {
                let _warm: Vec<Duration> = (0..8).map(|_| a.failed()).collect();
                1.0 / a.failed().as_secs_f64()
            });
            let together: f64 = settled.sum();
            assert!(together < 5.5, "{senders} senders: {together} calls a second");
        }
    }

    #[test]
    fn one_of_a_few_asks_as_before() {
        for senders in [0, 1, 3] {
            let mut asking = Asking::new(senders, 1);
            let pauses: Vec<u128> = (0..7).map(|_| asking.failed().as_millis()).collect();
            assert_eq!(pauses, [50, 100, 200, 400, 800, 1000, 1000]);
            assert_eq!(asking.answered(true), Duration::ZERO);
            assert_eq!(asking.failed(), FIRST_PAUSE);
            assert_eq!(asking.watch(), WATCH);
        }
    }
}
