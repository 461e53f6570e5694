//! Runs many simulations in parallel, each policy on the same seeds, so that policies can be compared seed by seed.

use crate::metrics::Metrics;
use crate::policy::PolicyFactory;
use crate::simulation::simulate;
use crate::world::World;
use rayon::prelude::*;

/// Summary of one simulation.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Name of the policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Share of the offered worth that was earned; see [`Metrics::served`].
    pub served: f64,
    /// Weighted score; see [`Metrics::goal`].
    pub goal: f64,
    /// Share of the messages that were delivered within the aim.
    pub in_time: f64,
    /// Share of the messages that were delivered after the aim.
    pub late: f64,
    /// Share of the messages that were not delivered.
    pub refused: f64,
    /// Calls per message.
    pub attempts: f64,
    /// Share of the calls that partners rejected.
    pub rejected: f64,
    /// Median time from submission to the first call, in seconds.
    pub first_call_s: f64,
    /// Total number of rule violations.
    pub violations: u64,
}

impl Row {
    fn of(policy: &str, seed: u64, f: &Metrics) -> Row {
        let share = |count: u64| count as f64 / f.messages.max(1) as f64;
        let v = &f.violations;
        Row {
            policy: policy.into(),
            seed,
            served: f.served(),
            goal: f.goal(),
            in_time: share(f.in_time),
            late: share(f.late),
            refused: share(f.refused + f.failed),
            attempts: f.attempts(),
            rejected: f.rejected as f64 / f.calls.max(1) as f64,
            first_call_s: f.first_call.value_at_quantile(0.5) as f64 / 1e6,
            violations: v.lost + v.duplicates + v.out_of_order + v.retry_after_ignored + v.overloaded,
        }
    }
}

/// Simulates every policy with every seed, on all cores. Rows are ordered by policy, then by seed.
pub fn rows(world: &World, policies: &[&dyn PolicyFactory], seeds: &[u64]) -> Vec<Row> {
    let runs: Vec<(&dyn PolicyFactory, u64)> =
        policies.iter().flat_map(|policy| seeds.iter().map(move |seed| (*policy, *seed))).collect();
    runs.par_iter()
        .map(|(policy, seed)| Row::of(policy.name(), *seed, &simulate(world, *policy, *seed)))
        .collect()
}

/// The mean and half the width of its 95% confidence interval (Student's t); the latter is 0 for a single value.
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
    (mean, student_t_quantile(values.len() - 1) * (variance / n).sqrt())
}

/// The 97.5% quantile of Student's t distribution, from tables; between two entries, that of the lower degrees of freedom.
fn student_t_quantile(degrees_of_freedom: usize) -> f64 {
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
    TABLE.iter().rev().find(|(n, _)| *n <= degrees_of_freedom).map_or(12.706, |(_, t)| *t)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn confidence_intervals_match_the_tables() {
        assert_eq!(mean(&[]), (0.0, 0.0));
        assert_eq!(mean(&[3.0]), (3.0, 0.0));
        let (middle, half) = mean(&[1.0, 2.0, 3.0, 4.0]);
        // s = 1.2910, s / 2 = 0.6455, times 3.182.
        assert!((middle - 2.5).abs() < 1e-9 && (half - 2.054).abs() < 1e-3, "{middle} {half}");
    }
}
