//! A token bucket.

use crate::Micros;

/// A token rate with a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Tokens per second, above 0.
    pub per_second: f64,
    /// Size of the bucket in tokens; values below 1 count as 1.
    pub burst: f64,
}

/// The state of a token bucket; its [`Rate`] is passed with each call.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    tokens: f64,
    filled: Micros,
}

impl Bucket {
    /// Creates a full bucket, less the tokens that are used up already.
    pub fn new(now: Micros, rate: Rate, used: f64) -> Bucket {
        Bucket { tokens: (rate.burst - used).max(0.0), filled: now }
    }

    /// Takes one token.
    ///
    /// # Errors
    /// None is available; the error is the time in microseconds until there is one.
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
