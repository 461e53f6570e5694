//! How late the machine itself is. The verdict on waits goes by spans of a tenth of a second, and by when the kernel had what a
//! forwarder wrote, so that a relay or a partner that gets no core counts for nothing. What is left is a forwarder that gets none
//! between its last look at what it was told and its first byte: a sleeper on each core notes when it woke too late, and the
//! verdict allows for that, and no more.

use rustix::thread::{sched_setaffinity, CpuSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{available_parallelism, sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// How long a sleeper sleeps, and what it takes for late.
const NAP: Duration = Duration::from_millis(5);
const LATE: Duration = Duration::from_millis(10);
/// What is noted at most: more are the same trouble.
const MOST: usize = 100_000;

/// Spans in which a core did not get to a thread that was due.
#[derive(Clone, Debug, Default)]
pub struct SchedDelays(Vec<(Instant, Instant)>);

impl SchedDelays {
    /// How long the machine stood still between two moments, by the core that was late for longest.
    pub fn between(&self, from: Instant, to: Instant) -> Duration {
        let overlap =
            |(due, woke): &(Instant, Instant)| (*woke).min(to).saturating_duration_since((*due).max(from));
        self.0.iter().map(overlap).max().unwrap_or_default()
    }

    /// The longest of all.
    pub fn longest(&self) -> Duration {
        self.0.iter().map(|(due, woke)| *woke - *due).max().unwrap_or_default()
    }
}

fn note(noted: &Mutex<SchedDelays>, due: Instant, woke: Instant) {
    let mut noted = noted.lock().unwrap_or_else(PoisonError::into_inner);
    if noted.0.len() < MOST {
        noted.0.push((due, woke));
    }
}

/// The sleepers of a play.
#[derive(Debug)]
pub struct SchedDelayMonitor {
    over: Arc<AtomicBool>,
    noted: Arc<Mutex<SchedDelays>>,
    sleepers: Vec<JoinHandle<()>>,
}

impl SchedDelayMonitor {
    /// Puts a sleeper on each core.
    pub fn start() -> SchedDelayMonitor {
        let (over, noted) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(SchedDelays::default())));
        let cores = available_parallelism().map_or(1, usize::from);
        let sleeper = |core: usize| {
            let (over, noted) = (over.clone(), noted.clone());
            spawn(move || {
                let mut own = CpuSet::new();
                own.set(core);
                // Where a core can't be chosen the sleeper watches whichever it gets.
                let _ = sched_setaffinity(None, &own);
                while !over.load(Ordering::Relaxed) {
                    let due = Instant::now() + NAP;
                    sleep(NAP);
                    let woke = Instant::now();
                    if woke.saturating_duration_since(due) > LATE {
                        note(&noted, due, woke);
                    }
                }
            })
        };
        let sleepers = (0..cores).map(sleeper).collect();
        SchedDelayMonitor { sleepers, over, noted }
    }

    /// Wakes them all for good, and gives what they noted.
    pub fn end(mut self) -> SchedDelays {
        self.over.store(true, Ordering::Relaxed);
        for sleeper in self.sleepers.drain(..) {
            let _ = sleeper.join();
        }
        self.noted.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for SchedDelayMonitor {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_overlaps_counts_and_the_longest_of_it() {
        let start = Instant::now();
        let at = |ms: u64| start + Duration::from_millis(ms);
        let late = SchedDelays(vec![(at(0), at(50)), (at(100), at(180)), (at(120), at(150))]);
        assert_eq!(late.between(at(60), at(90)), Duration::ZERO);
        assert_eq!(late.between(at(90), at(300)), Duration::from_millis(80));
        assert_eq!(late.between(at(40), at(130)), Duration::from_millis(30));
        assert_eq!(late.longest(), Duration::from_millis(80));
    }

    #[test]
    fn sleepers_run_and_end() {
        let watch = SchedDelayMonitor::start();
        sleep(Duration::from_millis(30));
        drop(watch.end());
    }
}
