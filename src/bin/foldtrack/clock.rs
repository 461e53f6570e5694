//! The one clock of the process, for all of its sides.

use hatchline::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Monotonic microseconds for the module, and their relation to Unix time for the journal.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    unix_start: Micros,
}

impl Clock {
    /// The count starts here, so that times before the start can be named too.
    const BASE: Micros = 1 << 40;

    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_start: unix.as_micros() as Micros }
    }

    pub fn now(&self) -> Micros {
        Self::BASE + self.start.elapsed().as_micros() as Micros
    }

    /// Since the start.
    pub fn up(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(Self::BASE))
    }

    pub fn micros(&self, at: Instant) -> Micros {
        Self::BASE + at.saturating_duration_since(self.start).as_micros() as Micros
    }

    pub fn unix(&self, at: Micros) -> Micros {
        (self.unix_start + at).saturating_sub(Self::BASE)
    }

    pub fn since_unix(&self, unix: Micros) -> Micros {
        (Self::BASE + unix).saturating_sub(self.unix_start)
    }
}
