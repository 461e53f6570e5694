//! Many plays at once: each policy on the same seeds, with the difference to the first one seed by seed.

use crate::metrics::Metrics;
use crate::policy::PolicyFactory;
use crate::simulation::simulate;
use crate::world::World;
use rayon::prelude::*;

/// What one play came to, in short.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Which policy.
    pub policy: String,
    /// Which seed.
    pub seed: u64,
    /// Worth earned of that asked for, and the users' measure.
    pub served: f64,
    /// See `served`.
    pub goal: f64,
    /// Parts of the messages: delivered within the aim, later, not at all.
    pub in_time: f64,
    /// See `in_time`.
    pub late: f64,
    /// See `in_time`.
    pub refused: f64,
    /// Calls for each message, and the part of them that was refused.
    pub attempts: f64,
    /// See `attempts`.
    pub rejected: f64,
    /// Median from hand-in to the first call, in seconds.
    pub first_call_s: f64,
    /// Rules broken in all.
    pub violations: u64,
}

impl Row {
    fn of(policy: &str, seed: u64, f: &Metrics) -> Row {
        let part = |count: u64| count as f64 / f.messages.max(1) as f64;
        let b = &f.violations;
        Row {
            policy: policy.into(),
            seed,
            served: f.served(),
            goal: f.goal(),
            in_time: part(f.in_time),
            late: part(f.late),
            refused: part(f.refused + f.failed),
            attempts: f.attempts(),
            rejected: f.rejected as f64 / f.calls.max(1) as f64,
            first_call_s: f.first_call.value_at_quantile(0.5) as f64 / 1e6,
            violations: b.lost + b.duplicates + b.out_of_order + b.retry_after_ignored + b.overloaded,
        }
    }
}

/// Plays every policy on every seed, on all cores. The rows come in the order of policies and seeds.
pub fn rows(world: &World, policies: &[&dyn PolicyFactory], seeds: &[u64]) -> Vec<Row> {
    let all: Vec<(&dyn PolicyFactory, u64)> =
        policies.iter().flat_map(|policy| seeds.iter().map(move |seed| (*policy, *seed))).collect();
    all.par_iter()
        .map(|(policy, seed)| Row::of(policy.name(), *seed, &simulate(world, *policy, *seed)))
        .collect()
}

/// A mean, and half of the width of its 95% confidence interval (Student's t); 0 for a single value.
pub fn mean(values: &[f64]) -> (f64, f64) {
    let n = values.len() as f64;
    if values.is_empty() {
        return (0.0, 0.0);
    }
    let mean = values.iter().sum::<f64>() / n;
    if values.len() < 2 {
        return (mean, 0.0);
    }
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0);
    (mean, student(values.len() - 1) * (variance / n).sqrt())
}

/// The 97.5% quantile of Student's t distribution (tables; between their lines that of the fewer degrees of freedom).
fn student(freedom: usize) -> f64 {
    const TABLE: [(usize, f64); 14] = [
        (1, 12.706),
        (2, 4.303),
        (3, 3.182),
        (4, 2.776),
        (5, 2.571),
        (6, 2.447),
        (7, 2.365),
        (8, 2.306),
        (9, 2.262),
        (10, 2.228),
        (15, 2.131),
        (20, 2.086),
        (30, 2.042),
        (60, 2.0),
    ];
    TABLE.iter().rev().find(|(n, _)| *n <= freedom).map_or(12.706, |(_, t)| *t)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn means_have_the_interval_that_tables_give() {
        assert_eq!(mean(&[]), (0.0, 0.0));
        assert_eq!(mean(&[3.0]), (3.0, 0.0));
        let (middle, half) = mean(&[1.0, 2.0, 3.0, 4.0]);
        // s = 1.2910, s / 2 = 0.6455, times 3.182.
        assert!((middle - 2.5).abs() < 1e-9 && (half - 2.054).abs() < 1e-3, "{middle} {half}");
    }
}
