//! What a link does to the traffic that crosses it: decisions drawn from a seed, without I/O.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The faults of one directed link. Shares are shares of datagrams, from 0 to 1. A stream loses nothing, as TCP does not: it is
/// delayed where datagrams are delayed, and stalls where they are cut off.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Faults {
    /// Share that is lost.
    pub loss: f64,
    /// Shortest and longest delay, uniformly distributed.
    #[serde(with = "span")]
    pub delay: (Duration, Duration),
    /// Mean of an additional, exponentially distributed delay.
    #[serde(with = "humantime_serde")]
    pub tail: Duration,
    /// Share that is duplicated.
    pub twice: f64,
    /// Share that is delayed by a further 50 ms, so that later datagrams overtake it.
    pub reorder: f64,
    /// Share with some bits flipped.
    pub corrupt: f64,
    /// Share that is truncated.
    pub truncate: f64,
    /// Bandwidth in bytes per second; 0 for no limit.
    pub bytes_per_second: u64,
    /// Whether the link drops everything.
    pub cut: bool,
    /// Whether the link keeps everything back until it is released, and then delivers all of it at once.
    pub hold: bool,
}

/// Serializes a pair of durations as two strings: `["0ms", "2s"]`.
mod span {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use std::time::Duration;

    pub fn serialize<S: Serializer>(pair: &(Duration, Duration), out: S) -> Result<S::Ok, S::Error> {
        [pair.0, pair.1].map(|d| humantime::format_duration(d).to_string()).serialize(out)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<(Duration, Duration), D::Error> {
        let [min, max] = <[String; 2]>::deserialize(from)?;
        let parse = |text: &str| humantime::parse_duration(text).map_err(serde::de::Error::custom);
        let (min, max) = (parse(&min)?, parse(&max)?);
        if min > max {
            return Err(serde::de::Error::custom("the first duration of a delay must be the shorter one"));
        }
        Ok((min, max))
    }
}

/// Additional delay of a reordered datagram.
const REORDER_DELAY: Duration = Duration::from_millis(50);
/// Maximum queueing delay of a link with limited bandwidth. Datagrams beyond it are lost, as in a full queue.
const MAX_QUEUE_DELAY: Duration = Duration::from_secs(3);

/// What happens to a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transit {
    /// It is dropped.
    Lost,
    /// It is kept until the link is released.
    Held,
    /// It is delivered: the delay and bytes of each copy, which may be modified.
    Delivered(Vec<(Duration, Vec<u8>)>),
}

/// A directed link with a seed of its own.
#[derive(Clone, Debug)]
pub struct Link {
    /// Its present faults.
    pub faults: Faults,
    random: fastrand::Rng,
    /// With limited bandwidth: until when it transmits what has arrived, as time since the link was created.
    busy_until: Duration,
}

impl Link {
    /// Creates a link without faults.
    pub fn new(seed: u64) -> Link {
        Link { faults: Faults::default(), random: fastrand::Rng::with_seed(seed), busy_until: Duration::ZERO }
    }

    fn draw(&mut self, share: f64) -> bool {
        // Always draws a number, so that changing one share does not change what the other shares decide.
        self.random.f64() < share
    }

    /// The delay of `bytes` bytes that arrive at the time `now` (since the link was created).
    pub fn delay(&mut self, now: Duration, bytes: usize) -> Duration {
        let (min, max) = self.faults.delay;
        let tail = self.faults.tail.mul_f64(-(1.0 - self.random.f64()).ln());
        let delay = min + (max - min).mul_f64(self.random.f64()) + tail;
        if self.faults.bytes_per_second == 0 {
            return delay;
        }
        let transmission = Duration::from_secs_f64(bytes as f64 / self.faults.bytes_per_second as f64);
        self.busy_until = self.busy_until.max(now) + transmission;
        delay + self.busy_until.saturating_sub(now)
    }

    /// Decides what happens to a datagram that arrives at the time `now` (since the link was created).
    pub fn transmit(&mut self, now: Duration, bytes: &[u8]) -> Transit {
        let faults = self.faults.clone();
        let lost = self.draw(faults.loss);
        let (twice, reorder) = (self.draw(faults.twice), self.draw(faults.reorder));
        let (corrupt, truncate) = (self.draw(faults.corrupt), self.draw(faults.truncate));
        if faults.cut || lost {
            return Transit::Lost;
        }
        if faults.hold {
            return Transit::Held;
        }
        let mut bytes = bytes.to_vec();
        if truncate && !bytes.is_empty() {
            bytes.truncate(self.random.usize(0..bytes.len()));
        }
        if corrupt && !bytes.is_empty() {
            for _ in 0..1 + self.random.usize(0..4) {
                let at = self.random.usize(0..bytes.len());
                bytes[at] ^= 1 << self.random.u8(0..8);
            }
        }
        let mut copies = Vec::new();
        for _ in 0..1 + usize::from(twice) {
            let delay = self.delay(now, bytes.len()) + if reorder { REORDER_DELAY } else { Duration::ZERO };
            if faults.bytes_per_second == 0 || delay < MAX_QUEUE_DELAY {
                copies.push((delay, bytes.clone()));
            }
        }
        Transit::Delivered(copies)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The shares of datagrams that are lost, duplicated, modified, and more than 100 ms late.
    fn shares(faults: Faults) -> (f64, f64, f64, f64) {
        let mut link = Link::new(1);
        link.faults = faults;
        let (mut lost, mut twice, mut changed, mut late) = (0, 0, 0, 0);
        for n in 0..10_000u64 {
            match link.transmit(Duration::from_millis(n), b"0123456789") {
                Transit::Lost => lost += 1,
                Transit::Held => panic!("held"),
                Transit::Delivered(copies) => {
                    twice += usize::from(copies.len() == 2);
                    changed += usize::from(copies.iter().any(|(_, b)| b != b"0123456789"));
                    late += usize::from(copies.iter().any(|(delay, _)| *delay > Duration::from_millis(100)));
                }
            }
        }
        let share = |count: usize| count as f64 / 10_000.0;
        (share(lost), share(twice), share(changed), share(late))
    }

    #[test]
    fn faults_occur_at_the_configured_shares() {
        let near = |a: f64, b: f64| (a - b).abs() < 0.02;
        assert_eq!(shares(Faults::default()), (0.0, 0.0, 0.0, 0.0));
        let (lost, ..) = shares(Faults { loss: 0.3, ..Faults::default() });
        assert!(near(lost, 0.3), "{lost}");
        let (_, twice, changed, _) = shares(Faults { twice: 0.2, corrupt: 0.1, ..Faults::default() });
        assert!(near(twice, 0.2) && near(changed, 0.1), "{twice} {changed}");
        let delay = (Duration::ZERO, Duration::from_millis(200));
        let (.., late) = shares(Faults { delay, ..Faults::default() });
        assert!(near(late, 0.5), "{late}");
        let (lost, ..) = shares(Faults { cut: true, ..Faults::default() });
        assert!(near(lost, 1.0), "{lost}");
    }

    #[test]
    fn limited_bandwidth_delays_datagrams_and_drops_those_beyond_the_queue() {
        let mut link = Link::new(1);
        link.faults.bytes_per_second = 1_000;
        let transits: Vec<Transit> = (0..5).map(|_| link.transmit(Duration::ZERO, &[0; 1_000])).collect();
        let seconds = |transit: &Transit| match transit {
            Transit::Delivered(copies) => copies.first().map(|(delay, _)| delay.as_secs()),
            _ => None,
        };
        let delays: Vec<_> = transits.iter().map(seconds).collect();
        assert_eq!(delays, [Some(1), Some(2), None, None, None]);
    }

    #[test]
    fn equal_seeds_decide_equally_and_a_held_link_keeps_datagrams() {
        let run = || {
            let mut link = Link::new(9);
            link.faults = Faults { loss: 0.2, corrupt: 0.2, twice: 0.2, ..Faults::default() };
            (0..200).map(|n| link.transmit(Duration::from_millis(n), b"abcdef")).collect::<Vec<_>>()
        };
        assert_eq!(run(), run());
        let mut link = Link::new(1);
        link.faults.hold = true;
        assert_eq!(link.transmit(Duration::ZERO, b"a"), Transit::Held);
    }
}
