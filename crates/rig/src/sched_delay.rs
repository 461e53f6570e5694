//! Measures scheduling delays of the machine itself. The check of retry-after waits works with tenths of a second and with the
//! kernel's receive time of what a forwarder wrote, so a relay or a partner that gets no core does not affect it. What remains is
//! a forwarder that gets no core between its last check of the wait and its first byte. A thread on each core therefore records
//! when it woke too late, and the check allows for these delays and for no more.

use rustix::thread::{sched_setaffinity, CpuSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{available_parallelism, sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// Sleep interval of a monitor thread.
const SLEEP_INTERVAL: Duration = Duration::from_millis(5);
/// A wake-up that is later than this is recorded.
const LATE_THRESHOLD: Duration = Duration::from_millis(10);
/// Maximum number of recorded delays; more would show the same problem.
const MAX_RECORDED: usize = 100_000;

/// Intervals in which a core did not run a thread that was due.
#[derive(Clone, Debug, Default)]
pub struct SchedDelays(Vec<(Instant, Instant)>);

impl SchedDelays {
    /// The longest delay between two instants, over all cores.
    pub fn between(&self, from: Instant, to: Instant) -> Duration {
        let overlap =
            |(due, woke): &(Instant, Instant)| (*woke).min(to).saturating_duration_since((*due).max(from));
        self.0.iter().map(overlap).max().unwrap_or_default()
    }

    /// The longest delay recorded.
    pub fn longest(&self) -> Duration {
        self.0.iter().map(|(due, woke)| *woke - *due).max().unwrap_or_default()
    }
}

fn record(delays: &Mutex<SchedDelays>, due: Instant, woke: Instant) {
    let mut delays = delays.lock().unwrap_or_else(PoisonError::into_inner);
    if delays.0.len() < MAX_RECORDED {
        delays.0.push((due, woke));
    }
}

/// The monitor threads of a run, one for each core.
#[derive(Debug)]
pub struct SchedDelayMonitor {
    stop: Arc<AtomicBool>,
    delays: Arc<Mutex<SchedDelays>>,
    threads: Vec<JoinHandle<()>>,
}

impl SchedDelayMonitor {
    /// Starts a monitor thread on each core.
    pub fn start() -> SchedDelayMonitor {
        let (stop, delays) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(SchedDelays::default())));
        let cores = available_parallelism().map_or(1, usize::from);
        let monitor = |core: usize| {
            let (stop, delays) = (stop.clone(), delays.clone());
            spawn(move || {
                let mut own = CpuSet::new();
                own.set(core);
                // Where the affinity can't be set, the thread monitors whichever core it runs on.
                let _ = sched_setaffinity(None, &own);
                while !stop.load(Ordering::Relaxed) {
                    let due = Instant::now() + SLEEP_INTERVAL;
                    sleep(SLEEP_INTERVAL);
                    let woke = Instant::now();
                    if woke.saturating_duration_since(due) > LATE_THRESHOLD {
                        record(&delays, due, woke);
                    }
                }
            })
        };
        let threads = (0..cores).map(monitor).collect();
        SchedDelayMonitor { threads, stop, delays }
    }

    /// Stops all threads and returns the recorded delays.
    pub fn finish(mut self) -> SchedDelays {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        self.delays.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for SchedDelayMonitor {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn between_returns_the_longest_overlap() {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let delays = SchedDelays(vec![(at(0), at(50)), (at(100), at(180)), (at(120), at(150))]);
        assert_eq!(delays.between(at(60), at(90)), Duration::ZERO);
        assert_eq!(delays.between(at(90), at(300)), Duration::from_millis(80));
        assert_eq!(delays.between(at(40), at(130)), Duration::from_millis(30));
        assert_eq!(delays.longest(), Duration::from_millis(80));
    }

    #[test]
    fn monitor_threads_start_and_stop() {
        let monitor = SchedDelayMonitor::start();
        sleep(Duration::from_millis(30));
        drop(monitor.finish());
    }
}
