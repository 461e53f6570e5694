//! A token bucket.

use crate::Micros;

/// So many at once after a pause, and so many a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Above 0.
    pub per_second: f64,
    /// At least 1 counts.
    pub burst: f64,
}

/// What is left of a [`Rate`].
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    tokens: f64,
    filled: Micros,
}

impl Bucket {
    /// A full one, less what was used up already.
    pub fn new(now: Micros, rate: Rate, used: f64) -> Bucket {
        Bucket { tokens: (rate.burst - used).max(0.0), filled: now }
    }

    /// Takes one, or tells in how many microseconds there is one.
    ///
    /// # Errors
    /// That span.
    pub fn take(&mut self, now: Micros, rate: Rate) -> Result<(), Micros> {
        let passed = now.saturating_sub(self.filled) as f64 / 1e6;
        self.tokens = (self.tokens + passed * rate.per_second).min(rate.burst.max(1.0));
        self.filled = self.filled.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(((1.0 - self.tokens) / rate.per_second.max(1e-3) * 1e6) as Micros + 1)
    }
}
