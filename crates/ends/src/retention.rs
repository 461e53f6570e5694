//! What there is room for, and what may go. No I/O.

use std::collections::VecDeque;

/// RetentionLimits of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionLimits {
    /// Ends at most.
    pub max_count: u64,
    /// Bytes at most.
    pub max_bytes: u64,
    /// Microseconds for which an acknowledged end is kept.
    pub max_age_us: u64,
}

impl RetentionLimits {
    /// Bytes after which a segment is closed: small parts of the whole, since only whole segments go.
    pub fn segment(&self) -> u64 {
        (self.max_bytes / 16).max(4096)
    }
}

/// A segment as far as its limits matter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Segment {
    /// Sequence number of its first end, and of the one after its last.
    pub first: u64,
    /// See `first`.
    pub next: u64,
    /// Bytes.
    pub bytes: u64,
    /// When its last end came, Unix time in microseconds.
    pub newest: u64,
}

/// All segments, the oldest first; the last one is open.
#[derive(Clone, Debug)]
pub struct Shelf {
    /// The limits.
    pub limits: RetentionLimits,
    /// The segments.
    pub segments: VecDeque<Segment>,
    /// Every end up to this one has been acknowledged.
    pub acknowledged: u64,
}

impl Shelf {
    /// Sequence number of the next end.
    pub fn next(&self) -> u64 {
        self.segments.back().map_or(1, |s| s.next)
    }

    /// Ends that nobody has acknowledged.
    pub fn unfetched(&self) -> u64 {
        (self.next() - 1).saturating_sub(self.acknowledged)
    }

    /// Bytes in all segments.
    pub fn bytes(&self) -> u64 {
        self.segments.iter().map(|s| s.bytes).sum()
    }

    /// Whether one more message can be taken on: its end, and those of all that are held, must fit beside the ends
    /// that nobody has acknowledged, also when all come before the next acknowledgement. `reserved` is
    /// the sum of [`crate::MessageOutcome::max_encoded_len`] over the held ones and the new one, `held` their count.
    pub fn has_capacity(&self, held: u64, reserved: u64) -> bool {
        let bound: u64 = self.segments.iter().filter(|s| !self.may_go(s)).map(|s| s.bytes).sum();
        // The open segment may be closed short of its length by one end, and a head stands in each new one.
        let heads = 2 * HEAD + reserved / self.limits.segment() * HEAD;
        self.unfetched() + held <= self.limits.max_count && bound + reserved + heads <= self.limits.max_bytes
    }

    /// Whether nobody is owed anything in a segment. The open one stays: it holds the latest acknowledgement.
    fn may_go(&self, segment: &Segment) -> bool {
        segment.next <= self.acknowledged + 1
            && self.segments.back().is_some_and(|open| open.first != segment.first)
    }

    /// Whether the oldest segment has to go now, before `coming` more bytes are written.
    pub fn oldest_goes(&self, now: u64, coming: u64) -> bool {
        let Some(oldest) = self.segments.front().filter(|s| self.may_go(s)) else { return false };
        let count = self.next() - oldest.first;
        let old = oldest.newest.saturating_add(self.limits.max_age_us) < now;
        old || count > self.limits.max_count || self.bytes() + coming > self.limits.max_bytes
    }
}

/// Bytes that the head of a segment takes at most.
const HEAD: u64 = 64;

#[cfg(test)]
mod tests {
    use super::*;

    fn shelf() -> Shelf {
        let limits = RetentionLimits { max_count: 100, max_bytes: 64 << 10, max_age_us: 1_000 };
        let segment = |n: u64| Segment { first: 1 + 10 * n, next: 11 + 10 * n, bytes: 4096, newest: 100 * n };
        Shelf { limits, segments: (0..4).map(segment).collect(), acknowledged: 0 }
    }

    #[test]
    fn what_is_not_acknowledged_never_goes_and_bounds_what_is_taken_on() {
        let mut shelf = shelf();
        assert!(!shelf.oldest_goes(u64::MAX, 1 << 30), "nothing is acknowledged");
        assert!(shelf.has_capacity(60, 1) && !shelf.has_capacity(61, 1), "40 and 60 are the bound");
        let left = (64 << 10) - 4 * 4096;
        assert!(!shelf.has_capacity(1, left));
        shelf.acknowledged = 10;
        assert!(shelf.has_capacity(70, 1) && !shelf.has_capacity(71, 1));
        assert!(shelf.has_capacity(1, left), "the first segment can go");
        shelf.acknowledged = 40;
        assert_eq!(shelf.unfetched(), 0);
    }

    #[test]
    fn acknowledged_segments_go_by_age_count_and_size_and_the_open_one_never() {
        let mut shelf = shelf();
        shelf.acknowledged = 40;
        assert!(!shelf.oldest_goes(1_000, 0));
        assert!(shelf.oldest_goes(1_001, 0), "too old");
        assert!(shelf.oldest_goes(0, 64 << 10), "no room for what comes");
        shelf.limits.max_count = 39;
        assert!(shelf.oldest_goes(0, 0), "too many");
        while shelf.oldest_goes(u64::MAX, 0) {
            shelf.segments.pop_front();
        }
        assert_eq!(shelf.segments.len(), 1);
        shelf.segments[0].next += 1;
        assert_eq!(shelf.next(), 42);
    }
}
