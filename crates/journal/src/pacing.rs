//! How much garbage is allowed against how much is rewritten, and what fits. No I/O.
//!
//! The log is compacted from its front: what is live in the oldest segment is carried to the end, and the segment is
//! removed. Segments are removed in their order alone, so that a record which says that a message is over outlives
//! every record of that message.

/// Longest frame of one message: a body of 64 KiB, its names, and what is known of its attempts when it is carried.
pub const LONGEST_MESSAGE: u64 = 80 * 1024;
/// Bytes in which a file counts.
pub const BLOCK: u64 = 512;
/// Part of the room that live records may take, in percent. The rest is garbage in waiting: at a share `u` of live
/// records each byte appended has `u / (1 - u)` carried for it, at the most.
const LIVE_PERCENT: u64 = 88;
/// Garbage that is left alone: this part of what is live, and this many segments.
const LAZY_PART: u64 = 2;
const LAZY_SEGMENTS: u64 = 4;
/// Segments in the room, about, and their bounds.
const SEGMENTS: u64 = 64;
const LEAST_SEGMENT: u64 = 32 * 1024;
const MOST_SEGMENT: u64 = 8 << 20;

/// The sizes that follow from the room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pacing {
    /// Bytes that all segments together may take, each counted in whole blocks.
    pub room: u64,
    /// A segment that is this long is sealed; it is longer by one record at most.
    pub segment: u64,
}

impl Pacing {
    /// The sizes for a room.
    pub fn new(room: u64) -> Pacing {
        Pacing { room, segment: (room / SEGMENTS).clamp(LEAST_SEGMENT, MOST_SEGMENT) }
    }

    /// What must be free at any moment, so that the oldest segment can be carried whatever is live in it.
    pub fn headroom(&self) -> u64 {
        self.segment + 2 * LONGEST_MESSAGE + 4 * BLOCK
    }

    /// Bytes that segments may take while the headroom is kept.
    pub fn usable(&self) -> u64 {
        self.room.saturating_sub(self.headroom())
    }

    /// Whether so many bytes of live records, with all that may have to be written of them, fit for good.
    pub fn fits(&self, live: u64) -> bool {
        // Each segment has a header, and its last block is not full.
        let segments = live / self.segment + 2;
        live + segments * (BLOCK + crate::format::HEADER as u64) <= self.usable() / 100 * LIVE_PERCENT
    }

    /// Whether there is garbage worth collecting: more than is allowed, or the room gets short.
    pub fn is_due(&self, total: u64, live: u64) -> bool {
        let garbage = total.saturating_sub(live);
        let lazy = live / LAZY_PART + LAZY_SEGMENTS * self.segment;
        garbage > self.segment && (garbage > lazy || total + total / 8 > self.usable())
    }

    /// Bytes of the oldest segments that have to be passed over for so many that are appended, so that a whole cycle
    /// is done before the room is used up.
    pub fn pass(&self, appended: u64, total: u64, live: u64) -> u64 {
        if !self.is_due(total, live) {
            return 0;
        }
        let free = self.usable().saturating_sub(total).max(1);
        // At least as fast as it grows, and twice that, so that a cycle ends.
        let needed = u128::from(appended) * u128::from(total) / u128::from(free);
        u64::try_from(needed).unwrap_or(u64::MAX).max(2 * appended)
    }

    /// Whether so many bytes may be appended now, or the oldest segment has to go first.
    pub fn may_append(&self, bytes: u64, total: u64) -> bool {
        total + bytes + BLOCK <= self.usable()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_small_room_holds_more_live_records_than_half_of_it() {
        let pacing = Pacing::new(3_000_000);
        assert!(pacing.fits(2_200_000), "usable {}", pacing.usable());
        assert!(!pacing.fits(2_700_000) && pacing.headroom() < 250_000);
    }

    #[test]
    fn little_garbage_is_left_alone_and_much_is_collected_before_the_room_is_used_up() {
        let pacing = Pacing::new(100 << 20);
        let live = 10 << 20;
        assert_eq!(pacing.pass(1000, live + live / 4, live), 0);
        assert!(pacing.pass(1000, 3 * live, live) >= 2000);
        // Whatever is appended, in steps of a record: a cycle over the whole log ends before there is no room left.
        for percent in [10, 50, 85] {
            let live = pacing.usable() / 100 * percent;
            let (mut total, mut passed) = (pacing.usable() / 100 * 89, 0u64);
            let all = total;
            while passed < all {
                passed += pacing.pass(10_000, total, live);
                total += 10_000;
                assert!(pacing.may_append(10_000, total), "{percent}% live, {passed} of {all} passed");
            }
        }
    }
}
