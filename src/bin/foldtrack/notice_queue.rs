//! The ends that the platform has not taken yet: which go out when, and the keys that wait for them.

use foldtrack_delivery::Micros;
use foldtrack_journal::FailureNotice;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Reports under way at once, notices in one, and the pause after one that failed.
const REPORTS: usize = 8;
const NOTICES: usize = 64;
const REPORT_PAUSE: Micros = 100_000;

/// A message that ends by a notice; it is over once that is answered.
#[derive(Debug)]
pub(crate) struct PendingNotice {
    pub id: String,
    pub order_key: u64,
    pub notice: FailureNotice,
}

impl PendingNotice {
    fn line(&self) -> String {
        let PendingNotice { id, notice, .. } = self;
        let line = match notice {
            FailureNotice::GivenUp => json!({"message": id, "outcome": "given_up"}),
            FailureNotice::HandedBack { retry_in_ms: 0 } => json!({"message": id, "outcome": "handed_back"}),
            FailureNotice::HandedBack { retry_in_ms } => {
                json!({"message": id, "outcome": "handed_back", "retry_in_ms": retry_in_ms})
            }
        };
        format!("{line}\n")
    }
}

#[derive(Debug, Default)]
pub(crate) struct NoticeQueue {
    endings: BTreeMap<u64, PendingNotice>,
    unsent: BTreeSet<u64>,
    /// How many notices each order key waits for.
    keys: HashMap<u64, u32>,
    out: usize,
    from: Micros,
}

impl NoticeQueue {
    pub fn insert(&mut self, number: u64, ending: PendingNotice) {
        if ending.order_key != 0 {
            *self.keys.entry(ending.order_key).or_default() += 1;
        }
        self.endings.insert(number, ending);
        self.unsent.insert(number);
    }

    /// A notice is taken, or nobody is owed it any more.
    pub fn remove(&mut self, number: u64) -> Option<PendingNotice> {
        self.unsent.remove(&number);
        let ending = self.endings.remove(&number)?;
        if let Some(count) = self.keys.get_mut(&ending.order_key) {
            *count -= 1;
            if *count == 0 {
                self.keys.remove(&ending.order_key);
            }
        }
        Some(ending)
    }

    pub fn is_empty(&self) -> bool {
        self.endings.is_empty()
    }

    /// Whether an earlier message of the key is not over.
    pub fn holds_key(&self, order_key: u64) -> bool {
        self.keys.contains_key(&order_key)
    }

    /// The next report to be sent now, the oldest notices first: their messages and their lines.
    pub fn next_report(&mut self, now: Micros) -> Option<(Vec<u64>, String)> {
        self.next_due().filter(|from| *from <= now)?;
        let mut numbers = Vec::new();
        let mut lines = String::new();
        while numbers.len() < NOTICES {
            let Some(number) = self.unsent.pop_first() else { break };
            lines.extend(self.endings.get(&number).map(PendingNotice::line));
            numbers.push(number);
        }
        self.out += 1;
        Some((numbers, lines))
    }

    /// When there is another report to send, if none has to come back first.
    pub fn next_due(&self) -> Option<Micros> {
        (!self.unsent.is_empty() && self.out < REPORTS).then_some(self.from)
    }

    /// A report has come back.
    pub fn report_finished(&mut self) {
        self.out -= 1;
    }

    /// These go again; `paused`, since where they went is still the address to send to.
    pub fn requeue(&mut self, numbers: Vec<u64>, now: Micros, paused: bool) {
        self.unsent.extend(numbers.into_iter().filter(|n| self.endings.contains_key(n)));
        if paused {
            self.from = now + REPORT_PAUSE;
        }
    }

    /// The platform is elsewhere: no pause holds there.
    pub fn reset_pause(&mut self) {
        self.from = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_is_held_until_its_last_notice_is_taken_and_the_oldest_go_first() {
        let mut notices = NoticeQueue::default();
        for number in (1..=100).rev() {
            let order_key = if number <= 2 { 7 } else { 0 };
            notices.insert(
                number,
                PendingNotice { id: format!("m{number}"), order_key, notice: FailureNotice::GivenUp },
            );
        }
        assert!(notices.holds_key(7) && !notices.holds_key(0));
        let (numbers, lines) = notices.next_report(0).unwrap();
        assert!(numbers.iter().copied().eq(1..=64) && lines.lines().count() == 64);
        notices.report_finished();
        assert!(notices.remove(1).is_some() && notices.holds_key(7));
        notices.requeue(numbers, 1_000, true);
        assert!(notices.next_report(1_000).is_none(), "paused");
        notices.reset_pause();
        let (numbers, _) = notices.next_report(1_000).unwrap();
        assert_eq!(numbers[0], 2);
        assert!(notices.remove(2).is_some() && !notices.holds_key(7) && notices.remove(2).is_none());
        for number in 3..=100 {
            notices.remove(number);
        }
        assert!(notices.is_empty() && notices.keys.is_empty() && notices.next_due().is_none());
    }
}
