//! Resource usage of a process, read from proc(5), for the benchmarks.
#![allow(dead_code)]

/// CPU time of a process in seconds, in ticks of 10 ms; 0 if the process has exited.
pub fn cpu(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<f64> =
        stat.rsplit(')').next().unwrap_or("").split_whitespace().map(|f| f.parse().unwrap_or(0.0)).collect();
    fields.iter().skip(11).take(2).sum::<f64>() / 100.0
}

/// Resident memory of a process in KiB; 0 if the process has exited.
pub fn resident(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}
