//! Retention policy: whether there is space for more outcomes, and which segments may be deleted. No I/O.

use std::collections::VecDeque;

/// Limits of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// Outcomes at most.
    pub max_count: u64,
    /// Bytes of all segments at most.
    pub max_bytes: u64,
    /// How long an acknowledged outcome is stored, in microseconds.
    pub max_age_us: u64,
}

impl RetentionLimits {
    /// Segment size in bytes after which a new segment is begun. A small part of the whole, since space is
    /// reclaimed one segment at a time.
    pub fn segment(&self) -> u64 {
        (self.max_bytes / 16).max(4096)
    }
}

/// What the retention policy knows of a segment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Segment {
    /// Sequence number of the first outcome in the segment.
    pub first: u64,
    /// Sequence number after that of the last outcome in the segment.
    pub next: u64,
    /// Size of the file in bytes.
    pub bytes: u64,
    /// When its last outcome occurred, Unix time in microseconds.
    pub newest: u64,
}

/// All segments, oldest first. The last one is open for appending.
#[derive(Clone, Debug)]
pub struct Retention {
    /// Limits of the store.
    pub limits: RetentionLimits,
    /// The segments, oldest first.
    pub segments: VecDeque<Segment>,
    /// All outcomes up to this sequence number have been acknowledged.
    pub acknowledged: u64,
}

impl Retention {
    /// Sequence number of the next outcome.
    pub fn next_sequence(&self) -> u64 {
        self.segments.back().map_or(1, |s| s.next)
    }

    /// Number of outcomes that have not been acknowledged.
    pub fn unacknowledged(&self) -> u64 {
        (self.next_sequence() - 1).saturating_sub(self.acknowledged)
    }

    /// Bytes of all segments.
    pub fn bytes(&self) -> u64 {
        self.segments.iter().map(|s| s.bytes).sum()
    }

    /// Whether one more message can be accepted: its outcome and those of all messages in flight must fit
    /// beside the unacknowledged outcomes, even if all of them are written before the next acknowledgement.
    /// `held` is the number of messages in flight, `reserved` the sum of
    /// [`crate::MessageOutcome::max_encoded_len`] over them and the new one.
    pub fn has_capacity(&self, held: u64, reserved: u64) -> bool {
        let retained: u64 = self.segments.iter().filter(|s| !self.is_deletable(s)).map(|s| s.bytes).sum();
        // The open segment may be closed one outcome short of its length, and each new segment starts with a
        // header.
        let header_bytes = 2 * MAX_HEADER_BYTES + reserved / self.limits.segment() * MAX_HEADER_BYTES;
        self.unacknowledged() + held <= self.limits.max_count
            && retained + reserved + header_bytes <= self.limits.max_bytes
    }

    /// Whether a segment may be deleted: all its outcomes are acknowledged. The open segment is always kept,
    /// since it holds the latest acknowledgement.
    fn is_deletable(&self, segment: &Segment) -> bool {
        segment.next <= self.acknowledged + 1
            && self.segments.back().is_some_and(|open| open.first != segment.first)
    }

    /// Whether the oldest segment has to be deleted now, before `coming` more bytes are written.
    pub fn must_delete_oldest(&self, now: u64, coming: u64) -> bool {
        let Some(oldest) = self.segments.front().filter(|s| self.is_deletable(s)) else { return false };
        let count = self.next_sequence() - oldest.first;
        let expired = oldest.newest.saturating_add(self.limits.max_age_us) < now;
        expired || count > self.limits.max_count || self.bytes() + coming > self.limits.max_bytes
    }
}

/// Upper bound of the size of a segment's header record, in bytes.
const MAX_HEADER_BYTES: u64 = 64;

#[cfg(test)]
mod tests {
    use super::*;

    fn retention() -> Retention {
        let limits = RetentionLimits { max_count: 100, max_bytes: 64 << 10, max_age_us: 1_000 };
        let segment = |n: u64| Segment { first: 1 + 10 * n, next: 11 + 10 * n, bytes: 4096, newest: 100 * n };
        Retention { limits, segments: (0..4).map(segment).collect(), acknowledged: 0 }
    }

    #[test]
    fn unacknowledged_outcomes_are_never_deleted_and_limit_what_is_accepted() {
        let mut retention = retention();
        assert!(!retention.must_delete_oldest(u64::MAX, 1 << 30), "nothing is acknowledged");
        assert!(
            retention.has_capacity(60, 1) && !retention.has_capacity(61, 1),
            "40 unacknowledged and 60 in flight are the limit"
        );
        let available = (64 << 10) - 4 * 4096;
        assert!(!retention.has_capacity(1, available));
        retention.acknowledged = 10;
        assert!(retention.has_capacity(70, 1) && !retention.has_capacity(71, 1));
        assert!(retention.has_capacity(1, available), "the first segment can be deleted");
        retention.acknowledged = 40;
        assert_eq!(retention.unacknowledged(), 0);
    }

    #[test]
    fn acknowledged_segments_are_deleted_by_age_count_and_size_but_never_the_open_one() {
        let mut retention = retention();
        retention.acknowledged = 40;
        assert!(!retention.must_delete_oldest(1_000, 0));
        assert!(retention.must_delete_oldest(1_001, 0), "too old");
        assert!(retention.must_delete_oldest(0, 64 << 10), "no space for the coming bytes");
        retention.limits.max_count = 39;
        assert!(retention.must_delete_oldest(0, 0), "too many outcomes");
        while retention.must_delete_oldest(u64::MAX, 0) {
            retention.segments.pop_front();
        }
        assert_eq!(retention.segments.len(), 1);
        retention.segments[0].next += 1;
        assert_eq!(retention.next_sequence(), 42);
    }
}
