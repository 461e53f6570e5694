//! Policy of the compaction: how much garbage is tolerated, how much to rewrite, and what fits. No I/O.
//!
//! The log is compacted from the front: live records of the oldest segment are rewritten at the end, and the
//! segment is removed. Segments are only removed in order, so the record that finishes a message outlives all
//! other records of the message.

/// Longest frame of one message, in bytes: a body of 64 KiB, its names, and the state of its attempts when it
/// is rewritten.
pub const MAX_MESSAGE_FRAME_BYTES: u64 = 80 * 1024;
/// Unit in which the size of a file is counted, in bytes.
pub const BLOCK_BYTES: u64 = 512;
/// Share of the capacity that live records may take, in percent. The rest holds garbage that is yet to be
/// collected: at a share `u` of live records, each appended byte costs at most `u / (1 - u)` rewritten bytes.
const MAX_LIVE_PERCENT: u64 = 88;
/// Tolerated garbage: the live bytes divided by this, plus [`TOLERATED_GARBAGE_SEGMENTS`] segments.
const TOLERATED_GARBAGE_DIVISOR: u64 = 2;
/// Segments of garbage that are tolerated in any case.
const TOLERATED_GARBAGE_SEGMENTS: u64 = 4;
/// Approximate number of segments in the capacity.
const TARGET_SEGMENTS: u64 = 64;
/// Minimum size of a segment, in bytes.
const MIN_SEGMENT_BYTES: u64 = 32 * 1024;
/// Maximum size of a segment, in bytes.
const MAX_SEGMENT_BYTES: u64 = 8 << 20;

/// Sizes derived from the capacity of the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompactionPolicy {
    /// Bytes that all segments together may occupy, each rounded up to whole blocks.
    pub capacity: u64,
    /// Size in bytes at which a segment is sealed. A segment exceeds it by one record at most.
    pub segment_bytes: u64,
}

impl CompactionPolicy {
    /// The sizes for a journal whose files may occupy `capacity` bytes.
    pub fn new(capacity: u64) -> CompactionPolicy {
        CompactionPolicy {
            capacity,
            segment_bytes: (capacity / TARGET_SEGMENTS).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES),
        }
    }

    /// Bytes that must always be free, so that the oldest segment can be rewritten even if all of it is live.
    pub fn headroom(&self) -> u64 {
        self.segment_bytes + 2 * MAX_MESSAGE_FRAME_BYTES + 4 * BLOCK_BYTES
    }

    /// Bytes that segments may occupy without using the headroom.
    pub fn usable(&self) -> u64 {
        self.capacity.saturating_sub(self.headroom())
    }

    /// Whether so many bytes of live records, including space reserved for their later records, fit
    /// permanently.
    pub fn fits(&self, live: u64) -> bool {
        // Each segment has a header, and its last block is partly unused.
        let segments = live / self.segment_bytes + 2;
        live + segments * (BLOCK_BYTES + crate::format::HEADER_BYTES as u64)
            <= self.usable() / 100 * MAX_LIVE_PERCENT
    }

    /// Whether to collect garbage: it exceeds the tolerated amount, or space runs short.
    pub fn is_due(&self, total: u64, live: u64) -> bool {
        let garbage = total.saturating_sub(live);
        let tolerated = live / TOLERATED_GARBAGE_DIVISOR + TOLERATED_GARBAGE_SEGMENTS * self.segment_bytes;
        garbage > self.segment_bytes && (garbage > tolerated || total + total / 8 > self.usable())
    }

    /// Bytes of the oldest segments to process after `appended` bytes, so that a cycle over the whole log
    /// finishes before the capacity is used up.
    pub fn bytes_to_process(&self, appended: u64, total: u64, live: u64) -> u64 {
        if !self.is_due(total, live) {
            return 0;
        }
        let free = self.usable().saturating_sub(total).max(1);
        // At least twice the rate of growth, so that a cycle finishes.
        let needed = u128::from(appended) * u128::from(total) / u128::from(free);
        u64::try_from(needed).unwrap_or(u64::MAX).max(2 * appended)
    }

    /// Whether `bytes` can be appended now; otherwise the oldest segment has to be removed first.
    pub fn may_append(&self, bytes: u64, total: u64) -> bool {
        total + bytes + BLOCK_BYTES <= self.usable()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn live_records_may_take_more_than_half_of_a_small_capacity() {
        let policy = CompactionPolicy::new(3_000_000);
        assert!(policy.fits(2_200_000), "usable {}", policy.usable());
        assert!(!policy.fits(2_700_000) && policy.headroom() < 250_000);
    }

    #[test]
    fn little_garbage_is_tolerated_and_much_is_collected_before_the_capacity_is_used_up() {
        let policy = CompactionPolicy::new(100 << 20);
        let live = 10 << 20;
        assert_eq!(policy.bytes_to_process(1000, live + live / 4, live), 0);
        assert!(policy.bytes_to_process(1000, 3 * live, live) >= 2000);
        // At each live share, a cycle over the whole log finishes before the space runs out.
        for percent in [10, 50, 85] {
            let live = policy.usable() / 100 * percent;
            let (mut total, mut processed) = (policy.usable() / 100 * 89, 0u64);
            let initial = total;
            while processed < initial {
                processed += policy.bytes_to_process(10_000, total, live);
                total += 10_000;
                assert!(
                    policy.may_append(10_000, total),
                    "{percent}% live, {processed} of {initial} bytes processed"
                );
            }
        }
    }
}
