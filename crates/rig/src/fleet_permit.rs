//! Limits how many fleets one process runs at a time. Each fleet is about eight processes and hundreds of threads; with more at
//! once they would delay one another beyond the time limits that the rules are checked with.

use std::sync::{Condvar, Mutex, PoisonError};
use std::thread::available_parallelism;

/// Cores that one fleet keeps busy.
const CORES_PER_FLEET: usize = 3;
/// Maximum number of fleets at a time.
const MAX_FLEETS: usize = 4;

static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// Permission to run one fleet, released on drop.
#[derive(Debug)]
pub(crate) struct FleetPermit;

impl FleetPermit {
    /// Waits until a permit is free.
    pub fn acquire() -> FleetPermit {
        let max = (available_parallelism().map_or(1, usize::from) / CORES_PER_FLEET).clamp(1, MAX_FLEETS);
        let running = RUNNING.0.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = RUNNING.1.wait_while(running, |running| *running >= max);
        *waited.unwrap_or_else(PoisonError::into_inner) += 1;
        FleetPermit
    }
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        *RUNNING.0.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        RUNNING.1.notify_one();
    }
}
