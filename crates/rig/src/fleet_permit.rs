//! How many fleets of one process run at a time. Each is some eight processes and hundreds of threads; more at once wait for one
//! another past the spans that are judged.

use std::sync::{Condvar, Mutex, PoisonError};
use std::thread::available_parallelism;

/// Cores that a fleet keeps busy, and fleets at once at most.
const CORES: usize = 3;
const MOST: usize = 4;

static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// A fleet's leave to run, until it is dropped.
#[derive(Debug)]
pub(crate) struct FleetPermit;

impl FleetPermit {
    /// Waits for a free one.
    pub fn free() -> FleetPermit {
        let most = (available_parallelism().map_or(1, usize::from) / CORES).clamp(1, MOST);
        let running = RUNNING.0.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = RUNNING.1.wait_while(running, |running| *running >= most);
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
