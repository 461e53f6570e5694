//! Random numbers. Each sender has its own seed, so that senders differ in what they draw.

use super::DeliveryScheduler;

impl DeliveryScheduler {
    /// The next number of a pseudorandom sequence, uniform in 0 to 1 (xorshift; Marsaglia 2003).
    pub(super) fn random(&mut self) -> f64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        (self.rng_state >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A random value for `number`. It stays the same until the next call starts, so that a choice that is
    /// examined twice for one call has the same result (the finalizer of SplitMix64; Steele, Lea and Flood
    /// 2014).
    pub(super) fn hashed_draw(&self, number: u64) -> u64 {
        let x = (self.rng_state ^ self.last_call).wrapping_add(number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// [`Self::hashed_draw`] as a number uniform in 0 to 1. Unlike [`Self::random`] it does not advance the
    /// sequence, so that senders that need no such draw are not affected.
    pub(super) fn uniform_draw(&self, number: u64) -> f64 {
        (self.hashed_draw(number) >> 11) as f64 / (1u64 << 53) as f64
    }
}
