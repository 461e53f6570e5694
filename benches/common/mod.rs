//! What benchmarks see of a process from outside (proc(5)).
#![allow(dead_code)]

/// CPU seconds that a process has taken, in ticks of 10 ms; 0 if it is gone.
pub fn cpu(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<f64> =
        stat.rsplit(')').next().unwrap_or("").split_whitespace().map(|f| f.parse().unwrap_or(0.0)).collect();
    fields.iter().skip(11).take(2).sum::<f64>() / 100.0
}

/// Resident memory in KiB; 0 if it is gone.
pub fn resident(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}
