//! Tests of the memory log.

use super::*;
use foldtrack_memory::Demand;

const LIMIT: usize = 32_000_000;

#[test]
fn a_line_is_due_first_then_after_a_large_change_or_a_minute() {
    let mut log = MemoryLog::new(MemoryPlan::new(LIMIT, Demand::default()));
    let (now, step) = (Instant::now(), LIMIT as u64 / STEP_DIVISOR);
    assert!(log.is_due(now, 8_000_000));
    log.logged = Some((now, 8_000_000));
    assert!(!log.is_due(now, 8_000_000 + step - 1));
    assert!(log.is_due(now, 8_000_000 + step) && log.is_due(now, 8_000_000 - step));
    assert!(log.is_due(now + INTERVAL, 8_000_000));
}

#[test]
fn the_system_tells_the_resident_memory_and_its_peak() {
    let (resident, peak) = resident_and_peak().unwrap();
    assert!(resident > 0 && peak >= resident);
}
