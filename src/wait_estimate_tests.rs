use super::*;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;

fn behind(held: u32, served: f64) -> Outlook {
    Outlook { held, served, behind: 5 * SECOND, ..Outlook::default() }
}

#[test]
fn the_estimate_is_what_waits_over_what_is_served() {
    assert_eq!(behind(100, 50.0).wait(), 2e6);
    // A clump that has just come says nothing of what is served yet.
    assert_eq!(Outlook { behind: SECOND / 5, ..behind(100, 1.0) }.wait(), 0.0);
    assert_eq!(behind(100, 0.0).wait(), 0.0, "nothing is known");
    // A wait that was told comes first, and a key's line binds whatever else is idle.
    assert_eq!(Outlook { shut: 3 * SECOND, ..behind(100, 50.0) }.wait(), 5e6);
    assert_eq!(Outlook { turn: 7e6, ..behind(1, 50.0) }.wait(), 7e6);
}

#[test]
fn what_would_be_late_is_refused_and_trials_are_always_taken_on() {
    let left = 24e6;
    assert!(!behind(700, 50.0).refuses(1.0, left, 0, 1e9), "14 s of 24");
    assert!(behind(750, 50.0).refuses(1.0, left, 0, 1e9), "15 s of 24");
    assert!(behind(250, 50.0).refuses(3.0, left, 0, 1e9), "5 s, and a class waits three times that");
    assert!(behind(250, 50.0).refuses(1.0, left, 4 * SECOND, 1e9), "5 s, and the class says 4");
    let out = Outlook { held: 3, shut: 3600 * SECOND, ..Outlook::default() };
    assert!(!out.refuses(1.0, left, 0, 0.0), "somebody has to try");
    assert!(Outlook { held: 4, ..out }.refuses(1.0, left, 0, 1e9));
}

/// Two backlogs share the room, and leave some of it.
#[test]
fn backlogs_leave_room_for_those_that_have_none() {
    let (mut held, room) = ([0u32; 2], 900.0);
    for n in 0..5_000 {
        let free = room - f64::from(held[0] + held[1]);
        let outlook = Outlook { held: held[n % 2], ..Outlook::default() };
        held[n % 2] += u32::from(!outlook.refuses(1.0, 24e6, 0, free));
    }
    let free = room - f64::from(held[0] + held[1]);
    assert!((390..=410).contains(&held[0]) && held[0].abs_diff(held[1]) <= 5, "{held:?}");
    assert!(!Outlook { held: 10, ..Outlook::default() }.refuses(1.0, 24e6, 0, free), "{free} are free");
}

#[test]
fn the_class_worth_least_waits_for_its_own_part_of_what_is_served() {
    let worth = |worth| Class { worth, ..Class::default() };
    let classes = [worth(1.0), worth(3.0), worth(1.0)];
    assert_eq!(overtaken(&[100.0, 0.0, 0.0], &classes), 1.0);
    assert_eq!(overtaken(&[50.0, 50.0, 0.0], &classes), 2.0);
    assert_eq!(overtaken(&[25.0, 50.0, 25.0], &classes), 2.0, "those worth the same are one");
    assert_eq!(overtaken(&[0.0, 50.0, 0.0], &classes), 1.0, "nobody is there to be overtaken");
    assert_eq!(overtaken(&[0.0, 99.5, 0.5], &[worth(1.0), worth(3.0), worth(2.0)]), 1.0, "next to nobody");
    assert_eq!(overtaken(&[5.0, 95.0, 0.0], &classes), MOST_OVERTAKEN);
    assert_eq!(overtaken(&[], &classes), 1.0);
}

proptest! {
    /// More that waits, a slower destination, or less time never opens a door that was shut.
    #[test]
    fn the_door_is_monotonic(
        held in 0..10_000u32, more in 0..1_000u32, served in 0.1..5_000.0f64, slower in 0.1..1.0f64, left in 0.0..30e6f64,
        less in 0.0..1.0f64, shut in 0..60 * SECOND, free in -10.0..1_000.0f64, ratio in 0.25..8.0f64,
    ) {
        let outlook = Outlook { shut, ..behind(held, served) };
        let worse = Outlook { held: held + more, served: served * slower, ..outlook };
        if outlook.refuses(ratio, left, 0, free) {
            prop_assert!(worse.refuses(ratio, left * less, 0, free - 1.0));
        }
        prop_assert!(worse.wait() >= outlook.wait());
    }
}
