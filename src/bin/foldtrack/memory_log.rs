//! Tells the memory of the process against its limit in the log, before the process can be ended for it.

use foldtrack_memory::plan::{ID_BYTES, TARGET_BYTES, TARGET_CONNECTION_BYTES};
use foldtrack_memory::MemoryPlan;
use procfs::process::Process;
use std::time::Duration;
use tokio::time::Instant;

/// A line is logged at least this often.
const INTERVAL: Duration = Duration::from_secs(60);
/// A line is logged when the memory has changed by one part in this many of the limit.
const STEP_DIVISOR: u64 = 32;
/// Lines are warnings from this share of the limit on, in percent.
const WARNING_PERCENT: u64 = 75;

/// What a process holds, by use. Bytes, unless the name says otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct MemoryUse {
    /// Number of client connections.
    pub client_connections: usize,
    /// Number of connections to targets.
    pub target_connections: usize,
    /// Request bodies that are being read, beyond a small one for each connection.
    pub body_bytes: usize,
    /// Bodies that gave way to others, or found no room, since the start.
    pub refused_bodies: u64,
    /// Messages that were accepted and have not ended.
    pub held: usize,
    /// What these messages and the notices take.
    pub held_bytes: usize,
    /// Number of ids that are remembered.
    pub ids: usize,
    /// Number of targets.
    pub targets: usize,
    /// Number of notices that the platform has not acknowledged.
    pub notices: usize,
    /// The journal's files, which count where the folder is in memory.
    pub journal_files: u64,
}

impl MemoryUse {
    /// The memory that all this takes at the most, in bytes, beside the program and its files.
    fn accounted(&self, plan: &MemoryPlan) -> usize {
        self.client_connections * plan.client_bytes()
            + self.target_connections * TARGET_CONNECTION_BYTES
            + self.body_bytes
            + self.held_bytes
            + self.ids * ID_BYTES
            + self.targets * TARGET_BYTES
    }
}

/// When the memory was logged last, and how much it was.
#[derive(Debug)]
pub(crate) struct MemoryLog {
    plan: MemoryPlan,
    logged: Option<(Instant, u64)>,
}

/// Resident memory of the process and its peak in bytes, if the system tells.
fn resident_and_peak() -> Option<(u64, u64)> {
    let status = Process::myself().and_then(|process| process.status()).ok()?;
    Some((status.vmrss? * 1024, status.vmhwm? * 1024))
}

impl MemoryLog {
    /// The log of a process that divides its memory by this plan.
    pub fn new(plan: MemoryPlan) -> MemoryLog {
        MemoryLog { plan, logged: None }
    }

    fn limit(&self) -> u64 {
        self.plan.limit as u64
    }

    /// Whether a line is due for this resident memory.
    fn is_due(&self, now: Instant, resident: u64) -> bool {
        self.logged.is_none_or(|(at, logged)| {
            let step = self.limit() / STEP_DIVISOR;
            now.duration_since(at) >= INTERVAL || resident.abs_diff(logged) >= step
        })
    }

    /// Logs the memory if it has changed much, or has not been logged for a while.
    pub fn update(&mut self, held: MemoryUse) {
        let Some((resident, peak)) = resident_and_peak() else { return };
        let now = Instant::now();
        if !self.is_due(now, resident) {
            return;
        }
        self.logged = Some((now, resident));
        let (limit, accounted) = (self.limit(), held.accounted(&self.plan));
        if resident >= limit / 100 * WARNING_PERCENT {
            tracing::warn!(resident, peak, limit, accounted, ?held, "memory");
        } else {
            tracing::info!(resident, peak, limit, accounted, ?held, "memory");
        }
    }
}

#[cfg(test)]
#[path = "memory_log_tests.rs"]
mod tests;
