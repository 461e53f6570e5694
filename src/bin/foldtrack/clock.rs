//! The clock of the process, shared by all tasks.

use foldtrack_delivery::Micros;
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Clock simulation for the whole process: offset of the wall clock in seconds, and the factor by
/// which all clocks run faster.
static SIMULATION: OnceLock<(f64, f64)> = OnceLock::new();

/// Monotonic microseconds for the scheduler, and their relation to Unix time for the journal.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    unix_start: Micros,
    /// Factor by which the clock runs faster: 1 unless simulated.
    rate: f64,
}

impl Clock {
    /// The value at the start of the process, so that earlier times can be represented too.
    const START: Micros = 1 << 40;

    /// Starts a clock, shifted and scaled if [`Clock::simulate`] was called before.
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (offset, rate) = SIMULATION.get().copied().unwrap_or((0.0, 1.0));
        let unix_start = (unix.as_micros() as i64).saturating_add((offset * 1e6) as i64).max(0);
        Clock { start: Instant::now(), unix_start: unix_start as Micros, rate }
    }

    /// Shifts and scales all clocks that are created from now on: `offset` in seconds of the wall
    /// clock, `rate` as a factor.
    ///
    /// # Errors
    /// The offset or the rate is out of range.
    pub fn simulate(offset: f64, rate: f64) -> Result<(), String> {
        if !(0.5..=2.0).contains(&rate) || !(-1e9..=1e9).contains(&offset) {
            return Err(format!(
                "clock offset {offset} s and rate {rate}: the rate must be from 0.5 to 2, the offset 30 years at most"
            ));
        }
        if (offset, rate) != (0.0, 1.0) {
            let _ = SIMULATION.set((offset, rate));
        }
        Ok(())
    }

    /// Converts a real duration to microseconds of this clock.
    fn span(&self, real: Duration) -> Micros {
        if self.rate == 1.0 {
            return real.as_micros() as Micros;
        }
        (real.as_micros() as f64 * self.rate) as Micros
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        Self::START + self.span(self.start.elapsed())
    }

    /// The time now as Unix time in microseconds.
    pub fn unix_now(&self) -> Micros {
        self.unix_time(self.now())
    }

    /// Real time since the start.
    pub fn uptime(&self) -> Duration {
        self.start.elapsed()
    }

    /// Converts a time to a tokio instant.
    pub fn instant(&self, at: Micros) -> Instant {
        let span = at.saturating_sub(Self::START);
        let real = if self.rate == 1.0 { span } else { (span as f64 / self.rate).ceil() as Micros };
        self.start + Duration::from_micros(real)
    }

    /// Converts a tokio instant to a time.
    pub fn micros(&self, at: Instant) -> Micros {
        Self::START + self.span(at.saturating_duration_since(self.start))
    }

    /// Converts a time to Unix time in microseconds.
    pub fn unix_time(&self, at: Micros) -> Micros {
        (self.unix_start + at).saturating_sub(Self::START)
    }

    /// Converts Unix time in microseconds to a time.
    pub fn time_at_unix(&self, unix: Micros) -> Micros {
        (Self::START + unix).saturating_sub(self.unix_start)
    }
}
