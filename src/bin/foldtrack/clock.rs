//! The one clock of the process, for all of its sides.

use foldtrack_delivery::Micros;
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// What a rehearsal has made of the clocks, for all of the process: seconds that the wall clock is set by, and how many times
/// as fast all of them run.
static REHEARSED: OnceLock<(f64, f64)> = OnceLock::new();

/// Monotonic microseconds for the module, and their relation to Unix time for the journal.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    unix_start: Micros,
    /// How many times as fast it runs: 1 but in a rehearsal.
    rate: f64,
}

impl Clock {
    /// The count starts here, so that times before the start can be named too.
    const BASE: Micros = 1 << 40;

    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (offset, rate) = REHEARSED.get().copied().unwrap_or((0.0, 1.0));
        let unix_start = (unix.as_micros() as i64).saturating_add((offset * 1e6) as i64).max(0);
        Clock { start: Instant::now(), unix_start: unix_start as Micros, rate }
    }

    /// Has every clock that is made from now on set and run otherwise.
    ///
    /// # Errors
    /// No clock can run so.
    pub fn simulate(offset: f64, rate: f64) -> Result<(), String> {
        if !(0.5..=2.0).contains(&rate) || !(-1e9..=1e9).contains(&offset) {
            return Err(format!(
                "a clock set by {offset} s that runs {rate} times as fast: 0.5 to 2 times, 30 years at most"
            ));
        }
        if (offset, rate) != (0.0, 1.0) {
            let _ = REHEARSED.set((offset, rate));
        }
        Ok(())
    }

    /// A span of this clock.
    fn span(&self, real: Duration) -> Micros {
        if self.rate == 1.0 {
            return real.as_micros() as Micros;
        }
        (real.as_micros() as f64 * self.rate) as Micros
    }

    pub fn now(&self) -> Micros {
        Self::BASE + self.span(self.start.elapsed())
    }

    /// Unix time.
    pub fn unix_now(&self) -> Micros {
        self.unix_time(self.now())
    }

    /// Since the start.
    pub fn up(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn instant(&self, at: Micros) -> Instant {
        let span = at.saturating_sub(Self::BASE);
        let real = if self.rate == 1.0 { span } else { (span as f64 / self.rate).ceil() as Micros };
        self.start + Duration::from_micros(real)
    }

    pub fn micros(&self, at: Instant) -> Micros {
        Self::BASE + self.span(at.saturating_duration_since(self.start))
    }

    pub fn unix_time(&self, at: Micros) -> Micros {
        (self.unix_start + at).saturating_sub(Self::BASE)
    }

    pub fn time_at_unix(&self, unix: Micros) -> Micros {
        (Self::BASE + unix).saturating_sub(self.unix_start)
    }
}
