//! Tests of the wait estimate and of refusals at intake.

use super::*;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;

/// A destination whose backlog has lasted for five seconds.
fn backlogged(held: u32, served_rate: f64) -> WaitEstimate {
    WaitEstimate { held, served_rate, backlog_for: 5 * SECOND, ..WaitEstimate::default() }
}

#[test]
fn the_estimate_is_the_backlog_over_the_served_rate() {
    assert_eq!(backlogged(100, 50.0).wait(), 2e6);
    // A burst that has just arrived says nothing about the served rate yet.
    assert_eq!(WaitEstimate { backlog_for: SECOND / 5, ..backlogged(100, 1.0) }.wait(), 0.0);
    assert_eq!(backlogged(100, 0.0).wait(), 0.0, "the served rate is unknown");
    // A requested wait comes first. The queue of an order key counts even if everything else is idle.
    assert_eq!(WaitEstimate { unavailable_for: 3 * SECOND, ..backlogged(100, 50.0) }.wait(), 5e6);
    assert_eq!(WaitEstimate { key_wait: 7e6, ..backlogged(1, 50.0) }.wait(), 7e6);
}

#[test]
fn late_messages_are_refused_but_trials_are_always_accepted() {
    let time_left = 24e6;
    assert!(!backlogged(700, 50.0).refuses(1.0, time_left, 0, 1e9), "14 s of 24 s");
    assert!(backlogged(750, 50.0).refuses(1.0, time_left, 0, 1e9), "15 s of 24 s");
    assert!(
        backlogged(250, 50.0).refuses(3.0, time_left, 0, 1e9),
        "5 s, and the class waits three times that"
    );
    assert!(backlogged(250, 50.0).refuses(1.0, time_left, 4 * SECOND, 1e9), "5 s, and the class allows 4 s");
    let out = WaitEstimate { held: 3, unavailable_for: 3600 * SECOND, ..WaitEstimate::default() };
    assert!(!out.refuses(1.0, time_left, 0, 0.0), "trials need messages");
    assert!(WaitEstimate { held: 4, ..out }.refuses(1.0, time_left, 0, 1e9));
}

/// Two destinations with a backlog share the places and leave some free.
#[test]
fn backlogs_leave_places_for_destinations_without_one() {
    let (mut held, places) = ([0u32; 2], 900.0);
    for n in 0..5_000 {
        let free = places - f64::from(held[0] + held[1]);
        let estimate = WaitEstimate { held: held[n % 2], ..WaitEstimate::default() };
        held[n % 2] += u32::from(!estimate.refuses(1.0, 24e6, 0, free));
    }
    let free = places - f64::from(held[0] + held[1]);
    assert!((390..=410).contains(&held[0]) && held[0].abs_diff(held[1]) <= 5, "{held:?}");
    assert!(
        !WaitEstimate { held: 10, ..WaitEstimate::default() }.refuses(1.0, 24e6, 0, free),
        "{free} places are free"
    );
}

#[test]
fn the_class_of_least_worth_gets_its_own_share_of_the_served_rate() {
    let worth = |worth| Class { worth, ..Class::default() };
    let classes = [worth(1.0), worth(3.0), worth(1.0)];
    assert_eq!(wait_factor(&[100.0, 0.0, 0.0], &classes), 1.0);
    assert_eq!(wait_factor(&[50.0, 50.0, 0.0], &classes), 2.0);
    assert_eq!(wait_factor(&[25.0, 50.0, 25.0], &classes), 2.0, "classes of the same worth count as one");
    assert_eq!(wait_factor(&[0.0, 50.0, 0.0], &classes), 1.0, "no other class is present");
    assert_eq!(
        wait_factor(&[0.0, 99.5, 0.5], &[worth(1.0), worth(3.0), worth(2.0)]),
        1.0,
        "the other class is negligible"
    );
    assert_eq!(wait_factor(&[5.0, 95.0, 0.0], &classes), MAX_WAIT_FACTOR);
    assert_eq!(wait_factor(&[], &classes), 1.0);
}

proptest! {
    /// A longer backlog, a slower destination or less time left never turns a refusal into an acceptance.
    #[test]
    fn refusals_are_monotonic(
        held in 0..10_000u32, more in 0..1_000u32, served_rate in 0.1..5_000.0f64, slower in 0.1..1.0f64, time_left in 0.0..30e6f64,
        less in 0.0..1.0f64, unavailable_for in 0..60 * SECOND, free in -10.0..1_000.0f64, wait_factor in 0.25..8.0f64,
    ) {
        let estimate = WaitEstimate { unavailable_for, ..backlogged(held, served_rate) };
        let worse = WaitEstimate { held: held + more, served_rate: served_rate * slower, ..estimate };
        if estimate.refuses(wait_factor, time_left, 0, free) {
            prop_assert!(worse.refuses(wait_factor, time_left * less, 0, free - 1.0));
        }
        prop_assert!(worse.wait() >= estimate.wait());
    }
}
