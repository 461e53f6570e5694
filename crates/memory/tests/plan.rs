//! The division of the memory limit.

use foldtrack_memory::{Demand, MemoryPlan};
use proptest::prelude::*;

/// A deployment of the pages: 1,024 descriptors, 28 calls and 3 MB of disk.
const DEPLOYMENT: Demand = Demand { client_connections: 493, calls: 28, files: 3_000_000, held: None };
const MB: usize = 1_000_000;

#[test]
fn the_sum_of_all_maxima_stays_under_limits_of_32_to_192_mb() {
    for limit_mb in [32, 48, 64, 192] {
        let plan = MemoryPlan::new(limit_mb * MB, DEPLOYMENT);
        println!("{limit_mb} MB: at most {} bytes, {plan:?}", plan.maximum());
        assert!(plan.maximum() <= limit_mb * MB, "{limit_mb} MB: {}", plan.maximum());
    }
}

#[test]
fn descriptors_and_not_memory_limit_the_connections_at_192_mb() {
    let plan = MemoryPlan::new(192 * MB, DEPLOYMENT);
    assert_eq!(plan.client_connections, DEPLOYMENT.client_connections);
}

#[test]
fn a_fleet_of_3200_targets_fits_under_every_limit_of_the_pages() {
    for limit_mb in [32, 48, 64, 192] {
        let plan = MemoryPlan::new(limit_mb * MB, DEPLOYMENT);
        assert!(plan.targets >= 3_200 && plan.list >= 3_200 * 250, "{limit_mb} MB: {plan:?}");
    }
}

proptest! {
    #[test]
    fn whatever_is_asked_for_the_maxima_fit_where_the_fixed_part_leaves_16_mb(
        limit in 30 * MB..4_000 * MB,
        client_connections in 0..20_000usize,
        calls in 0..200usize,
        files in 0..4 * MB,
    ) {
        let plan = MemoryPlan::new(limit, Demand { client_connections, calls, files, held: None });
        if plan.fixed + 16 * MB <= limit {
            prop_assert!(plan.maximum() <= limit, "{plan:?}");
        }
    }

    #[test]
    fn a_process_works_under_any_limit(limit in 0..10 * MB) {
        let plan = MemoryPlan::new(limit, DEPLOYMENT);
        prop_assert!(plan.client_connections >= 4 && plan.bodies > 64 * 1024 && plan.targets >= 1_024);
    }
}
