//! Notices of ended messages that the platform has not acknowledged yet: when they are sent, and
//! which order keys wait for them.

use foldtrack_delivery::Micros;
use foldtrack_journal::FailureNotice;
use foldtrack_memory::plan::NOTICE_OVERHEAD_BYTES;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Maximum number of reports in flight.
pub(crate) const MAX_PARALLEL_REPORTS: usize = 8;
/// Maximum number of notices in one report.
const MAX_NOTICES_PER_REPORT: usize = 64;
/// Pause after a report that failed, in microseconds.
const RETRY_PAUSE_US: Micros = 100_000;

/// The notice that ends a message; the message is settled once the platform acknowledges it.
#[derive(Debug)]
pub(crate) struct PendingNotice {
    /// Id of the message.
    pub id: String,
    /// Hash of the order key; 0 for none.
    pub order_key: u64,
    /// How the message ended.
    pub notice: FailureNotice,
}

impl PendingNotice {
    /// Approximate size in bytes in memory.
    fn memory_size(&self) -> usize {
        self.id.len() + NOTICE_OVERHEAD_BYTES
    }

    /// The notice as a line of a report.
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
/// The queue of notices.
pub(crate) struct NoticeQueue {
    pending: BTreeMap<u64, PendingNotice>,
    /// Memory of the pending notices.
    bytes: usize,
    unsent: BTreeSet<u64>,
    /// How many notices each order key waits for.
    held_keys: HashMap<u64, u32>,
    reports_in_flight: usize,
    not_before: Micros,
}

impl NoticeQueue {
    /// Adds the notice of message `number`.
    pub fn insert(&mut self, number: u64, notice: PendingNotice) {
        if notice.order_key != 0 {
            *self.held_keys.entry(notice.order_key).or_default() += 1;
        }
        self.bytes += notice.memory_size();
        self.pending.insert(number, notice);
        self.unsent.insert(number);
    }

    /// Removes a notice that was acknowledged, or is no longer owed.
    pub fn remove(&mut self, number: u64) -> Option<PendingNotice> {
        self.unsent.remove(&number);
        let notice = self.pending.remove(&number)?;
        self.bytes -= notice.memory_size();
        if let Some(count) = self.held_keys.get_mut(&notice.order_key) {
            *count -= 1;
            if *count == 0 {
                self.held_keys.remove(&notice.order_key);
            }
        }
        Some(notice)
    }

    /// Whether every notice was acknowledged.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether the notice of a message was not acknowledged.
    pub fn contains(&self, number: u64) -> bool {
        self.pending.contains_key(&number)
    }

    /// Number of notices that were not acknowledged.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Memory of the pending notices in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether an earlier message with this order key is not settled.
    pub fn holds_key(&self, order_key: u64) -> bool {
        self.held_keys.contains_key(&order_key)
    }

    /// Takes the next report that is due, oldest notices first: the numbers of their messages and
    /// the body.
    pub fn next_report(&mut self, now: Micros) -> Option<(Vec<u64>, String)> {
        self.next_due().filter(|not_before| *not_before <= now)?;
        let mut numbers = Vec::new();
        let mut lines = String::new();
        while numbers.len() < MAX_NOTICES_PER_REPORT {
            let Some(number) = self.unsent.pop_first() else { break };
            lines.extend(self.pending.get(&number).map(PendingNotice::line));
            numbers.push(number);
        }
        self.reports_in_flight += 1;
        Some((numbers, lines))
    }

    /// When the next report may be sent; none if there is nothing to send, or a response has to
    /// come first.
    pub fn next_due(&self) -> Option<Micros> {
        (!self.unsent.is_empty() && self.reports_in_flight < MAX_PARALLEL_REPORTS).then_some(self.not_before)
    }

    /// Records that a report was answered or failed.
    pub fn report_finished(&mut self) {
        self.reports_in_flight -= 1;
    }

    /// Puts notices back into the queue. With `paused`, the next report waits, since it would go to
    /// the same address.
    pub fn requeue(&mut self, numbers: Vec<u64>, now: Micros, paused: bool) {
        self.unsent.extend(numbers.into_iter().filter(|n| self.pending.contains_key(n)));
        if paused {
            self.not_before = now + RETRY_PAUSE_US;
        }
    }

    /// Ends the pause: the platform has a new address.
    pub fn reset_pause(&mut self) {
        self.not_before = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_is_held_until_its_last_notice_is_acknowledged_and_the_oldest_go_first() {
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
        assert!(
            notices.is_empty()
                && notices.bytes() == 0
                && notices.held_keys.is_empty()
                && notices.next_due().is_none()
        );
    }
}
