//! Draws at random: no decisions. Each sender has a seed of its own, so that what all of them draw differs.

use super::DeliveryScheduler;

impl DeliveryScheduler {
    /// The next of a sequence, even in 0 to 1 (xorshift; Marsaglia 2003).
    pub(super) fn random(&mut self) -> f64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A draw for one of several, by its number: the same until the next call begins, so that what is looked at
    /// twice for one call is not drawn twice (the finalizer of SplitMix64; Steele, Lea and Flood 2014).
    pub(super) fn drawn(&self, number: u64) -> u64 {
        let x = (self.seed ^ self.next_call).wrapping_add(number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// The same even in 0 to 1: for what most senders do not need, since it leaves their sequence as it is.
    pub(super) fn placed(&self, number: u64) -> f64 {
        (self.drawn(number) >> 11) as f64 / (1u64 << 53) as f64
    }
}
