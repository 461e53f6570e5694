//! What a link does to what crosses it: decisions by a seed, without I/O.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The faults of one directed link. Shares are of datagrams, 0 to 1. A stream loses nothing, as TCP does not: it is late
/// where datagrams are late, and stands still where they are cut off.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Faults {
    /// Are lost.
    pub loss: f64,
    /// Under way for between these spans, each as likely.
    #[serde(with = "span")]
    pub delay: (Duration, Duration),
    /// Under way for longer by a span of this mean, exponentially distributed.
    #[serde(with = "humantime_serde")]
    pub tail: Duration,
    /// Come twice.
    pub twice: f64,
    /// Are overtaken by what comes within the next 50 ms.
    pub reorder: f64,
    /// Have some bits turned.
    pub corrupt: f64,
    /// Lose their end.
    pub truncate: f64,
    /// Bytes a second that cross it; 0 for all.
    pub bytes_per_second: u64,
    /// Nothing crosses it.
    pub cut: bool,
    /// Nothing crosses it until it is released, and then all of it at once.
    pub hold: bool,
}

/// Pairs of spans as two texts: `["0ms", "2s"]`.
mod span {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use std::time::Duration;

    pub fn serialize<S: Serializer>(pair: &(Duration, Duration), out: S) -> Result<S::Ok, S::Error> {
        [pair.0, pair.1].map(|d| humantime::format_duration(d).to_string()).serialize(out)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<(Duration, Duration), D::Error> {
        let [least, most] = <[String; 2]>::deserialize(from)?;
        let read = |text: &str| humantime::parse_duration(text).map_err(serde::de::Error::custom);
        let (least, most) = (read(&least)?, read(&most)?);
        if least > most {
            return Err(serde::de::Error::custom("the first span of a delay is the shorter one"));
        }
        Ok((least, most))
    }
}

/// How much later one is that is overtaken.
const OVERTAKEN: Duration = Duration::from_millis(50);
/// What waits on a slow link at most: what comes beyond that is lost, as in a full queue.
const QUEUE: Duration = Duration::from_secs(3);

/// What becomes of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It does not come.
    Lost,
    /// It waits until the link is released.
    Held,
    /// It comes, so much later, perhaps more than once and perhaps changed.
    Comes(Vec<(Duration, Vec<u8>)>),
}

/// A directed link, by a seed of its own.
#[derive(Clone, Debug)]
pub struct Link {
    /// What it does now.
    pub faults: Faults,
    random: fastrand::Rng,
    /// Until when it is busy with what has come, where it is slow; since the link was made.
    busy: Duration,
}

impl Link {
    /// One without faults.
    pub fn new(seed: u64) -> Link {
        Link { faults: Faults::default(), random: fastrand::Rng::with_seed(seed), busy: Duration::ZERO }
    }

    fn happens(&mut self, share: f64) -> bool {
        // Drawn in any case, so that a change of one share leaves what follows from the others as it was.
        self.random.f64() < share
    }

    /// How long something of so many bytes is under way that comes at a time.
    pub fn span(&mut self, now: Duration, bytes: usize) -> Duration {
        let (least, most) = self.faults.delay;
        let tail = self.faults.tail.mul_f64(-(1.0 - self.random.f64()).ln());
        let span = least + (most - least).mul_f64(self.random.f64()) + tail;
        if self.faults.bytes_per_second == 0 {
            return span;
        }
        let takes = Duration::from_secs_f64(bytes as f64 / self.faults.bytes_per_second as f64);
        self.busy = self.busy.max(now) + takes;
        span + self.busy.saturating_sub(now)
    }

    /// What becomes of a datagram that comes at a time.
    pub fn pass(&mut self, now: Duration, bytes: &[u8]) -> Fate {
        let faults = self.faults.clone();
        let lost = self.happens(faults.loss);
        let (twice, reorder) = (self.happens(faults.twice), self.happens(faults.reorder));
        let (corrupt, truncate) = (self.happens(faults.corrupt), self.happens(faults.truncate));
        if faults.cut || lost {
            return Fate::Lost;
        }
        if faults.hold {
            return Fate::Held;
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
        let mut comes = Vec::new();
        for _ in 0..1 + usize::from(twice) {
            let span = self.span(now, bytes.len()) + if reorder { OVERTAKEN } else { Duration::ZERO };
            if faults.bytes_per_second == 0 || span < QUEUE {
                comes.push((span, bytes.clone()));
            }
        }
        Fate::Comes(comes)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn shares(faults: Faults) -> (f64, f64, f64, f64) {
        let mut link = Link::new(1);
        link.faults = faults;
        let (mut lost, mut twice, mut changed, mut late) = (0, 0, 0, 0);
        for n in 0..10_000u64 {
            match link.pass(Duration::from_millis(n), b"0123456789") {
                Fate::Lost => lost += 1,
                Fate::Held => panic!("held"),
                Fate::Comes(all) => {
                    twice += usize::from(all.len() == 2);
                    changed += usize::from(all.iter().any(|(_, b)| b != b"0123456789"));
                    late += usize::from(all.iter().any(|(span, _)| *span > Duration::from_millis(100)));
                }
            }
        }
        let share = |count: usize| count as f64 / 10_000.0;
        (share(lost), share(twice), share(changed), share(late))
    }

    #[test]
    fn faults_come_as_often_as_they_are_told_to() {
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
    fn a_slow_link_takes_its_time_and_loses_what_its_queue_does_not_hold() {
        let mut link = Link::new(1);
        link.faults.bytes_per_second = 1_000;
        let spans: Vec<Fate> = (0..5).map(|_| link.pass(Duration::ZERO, &[0; 1_000])).collect();
        let span = |fate: &Fate| match fate {
            Fate::Comes(all) => all.first().map(|(span, _)| span.as_secs()),
            _ => None,
        };
        let spans: Vec<_> = spans.iter().map(span).collect();
        assert_eq!(spans, [Some(1), Some(2), None, None, None]);
    }

    #[test]
    fn the_same_seed_does_the_same_and_a_held_link_holds() {
        let play = || {
            let mut link = Link::new(9);
            link.faults = Faults { loss: 0.2, corrupt: 0.2, twice: 0.2, ..Faults::default() };
            (0..200).map(|n| link.pass(Duration::from_millis(n), b"abcdef")).collect::<Vec<_>>()
        };
        assert_eq!(play(), play());
        let mut link = Link::new(1);
        link.faults.hold = true;
        assert_eq!(link.pass(Duration::ZERO, b"a"), Fate::Held);
    }
}
