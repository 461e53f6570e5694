//! Ids among members: of two that claim one id one is granted at most, whatever fails between them.

mod world;

use foldtrack_peers::claims::{message_key, ClaimOutcome, ClaimResult, Effect};
use proptest::prelude::*;
use std::collections::BTreeSet;
use world::{Net, World};

const ONCE: Effect = Effect::Once(8_000);
const KEYED: Effect = Effect::Keyed(20_000);

#[test]
fn an_id_that_one_holds_is_known_to_all_until_it_has_ended_and_after() {
    // Who is asked, and what overtakes what, is another thing with each seed.
    (1..=30).for_each(an_id_is_known);
}

fn an_id_is_known(seed: u64) {
    let mut world = World::started(5, seed);
    assert_eq!(world.claim(0, "m", ONCE), ClaimResult::Granted(0));
    assert_eq!(world.claim(3, "m", ONCE), ClaimResult::Held);
    world.ended(0, "m", ClaimOutcome::Delivered);
    world.run(500);
    world.kill(0);
    for n in 1..5 {
        assert_eq!(world.claim(n, "m", ONCE), ClaimResult::Delivered);
    }
    // One that was given up is over; one that was refused, or handed back, may come again anywhere.
    assert_eq!(world.claim(1, "over", ONCE), ClaimResult::Granted(0));
    world.ended(1, "over", ClaimOutcome::Final);
    world.run(500);
    assert_eq!(world.claim(2, "over", ONCE), ClaimResult::Final);
    assert_eq!(world.claim(1, "back", ONCE), ClaimResult::Granted(0));
    world.ended(1, "back", ClaimOutcome::HandedBack(0));
    world.run(500);
    assert_eq!(world.claim(2, "back", ONCE), ClaimResult::Granted(0));
    assert_eq!(world.claim(1, "back", ONCE), ClaimResult::Held);
    // Where an attempt may have run it may come again only as long as that does no harm.
    assert_eq!(world.claim(3, "until", KEYED), ClaimResult::Granted(0));
    world.ended(3, "until", ClaimOutcome::HandedBack(5_000));
    world.run(2_000);
    let ClaimResult::Granted(left) = world.claim(4, "until", KEYED) else { panic!() };
    assert!((2_000..3_100).contains(&left), "{left}");
    assert_eq!(world.claim(2, "until-2", KEYED), ClaimResult::Granted(0));
    world.ended(2, "until-2", ClaimOutcome::HandedBack(1_000));
    world.run(2_000);
    assert_eq!(world.claim(4, "until-2", KEYED), ClaimResult::Final);
}

/// Its holder is killed with the call out: a payment is not sent again, a keyed message as long as its partner remembers.
#[test]
fn what_a_dead_forwarder_holds_is_decided_by_class() {
    let mut world = World::started(5, 2);
    assert_eq!(world.claim(0, "pay", ONCE), ClaimResult::Granted(0));
    assert_eq!(world.claim(0, "update", KEYED), ClaimResult::Granted(0));
    world.kill(0);
    assert!(matches!(world.claim(1, "pay", ONCE), ClaimResult::RetryAfter(_)));
    let ClaimResult::Granted(left) = world.claim(1, "update", KEYED) else { panic!() };
    assert!((17_000..19_500).contains(&left), "{left}");
    // The second holder is killed as well: the span still counts from the first.
    world.run(5_000);
    world.kill(1);
    let ClaimResult::Granted(less) = world.claim(2, "update", KEYED) else { panic!() };
    assert!(less + 4_500 < left, "{less} of {left}");
    world.run(10_000);
    world.start(1);
    world.run(4_000);
    assert_eq!(world.claim(3, "pay", ONCE), ClaimResult::Final);
    world.kill(2);
    world.run(10_000);
    assert_eq!(world.claim(3, "update", KEYED), ClaimResult::Final);
    // Back on its folder, the first one answers for what it has.
    world.start(0);
    world.run(8_000);
    assert_eq!(world.claim(4, "pay", ONCE), ClaimResult::Held);
}

#[test]
fn a_holder_that_has_lost_its_memory_is_another_one() {
    let mut world = World::started(3, 3);
    assert_eq!(world.claim(0, "pay", ONCE), ClaimResult::Granted(0));
    world.run(100);
    world.lose(0);
    world.start(0);
    world.run(3_000);
    assert!(matches!(world.claim(0, "pay", ONCE), ClaimResult::RetryAfter(_)));
    // It does not know what it had granted, and does not count: two others are a majority of three.
    assert_eq!(world.claim(1, "new", ONCE), ClaimResult::Granted(0));
    world.kill(2);
    assert!(matches!(world.claim(1, "newer", ONCE), ClaimResult::RetryAfter(_)));
    world.start(2);
    world.run(14_000);
    assert_eq!(world.claim(0, "pay", ONCE), ClaimResult::Final);
    world.kill(2);
    assert_eq!(world.claim(1, "newest", ONCE), ClaimResult::Granted(0));
}

/// What it had let in comes back from a majority of the others, once all claims of before are settled; then it counts again.
#[test]
fn what_a_member_has_lost_it_has_again_from_the_others() {
    let mut world = World::started(3, 6);
    for n in 0..200 {
        assert_eq!(world.claim(0, &format!("m{n}"), ONCE), ClaimResult::Granted(0));
    }
    for n in 0..100 {
        world.ended(0, &format!("m{n}"), ClaimOutcome::Delivered);
    }
    world.run(500);
    world.kill(1);
    world.lose_claims(1);
    world.start(1);
    world.run(3_000);
    assert!(!world.knows_all_claims(1));
    world.run(12_000);
    assert!(world.knows_all_claims(1) && world.nodes[1].disk.claims_whole);
    // Its word now counts, and it knows what it let in.
    world.kill(0);
    assert_eq!(world.claim(2, "new", ONCE), ClaimResult::Granted(0));
    assert_eq!(world.claim(1, "m7", ONCE), ClaimResult::Delivered);
    assert!(matches!(world.claim(1, "m107", ONCE), ClaimResult::Final | ClaimResult::RetryAfter(_)));
}

/// The power of all goes: what each has in its own journal is told, and after seconds payments are taken on again.
#[test]
fn where_all_have_lost_what_they_let_in_their_journals_tell() {
    let mut world = World::started(3, 7);
    assert_eq!(world.claim(0, "held", ONCE), ClaimResult::Granted(0));
    assert_eq!(world.claim(0, "over", ONCE), ClaimResult::Granted(0));
    world.ended(0, "over", ClaimOutcome::Delivered);
    world.run(500);
    (0..3).for_each(|n| world.kill(n));
    (0..3).for_each(|n| world.lose_claims(n));
    world.start(1);
    world.start(2);
    world.run(20_000);
    // Nobody knows what the third holds.
    assert!(matches!(world.claim(1, "new", ONCE), ClaimResult::RetryAfter(_)));
    world.start(0);
    world.run(20_000);
    assert!((0..3).all(|n| world.knows_all_claims(n)));
    assert_eq!(world.claim(1, "new", ONCE), ClaimResult::Granted(0));
    assert_eq!(world.claim(2, "over", ONCE), ClaimResult::Delivered);
    assert_eq!(world.claim(2, "held", ONCE), ClaimResult::Held);
}

/// Of a claim that is not settled nobody is told that it is held: its client would take that for taken on.
#[test]
fn a_claim_under_way_is_not_held_yet() {
    let mut world = World::started(3, 8);
    world.link = Box::new(|a, b| (a < 2) == (b < 2));
    let now = world.clock(2);
    world.nodes[2].peers.as_mut().unwrap().claim(now, message_key("m"), ONCE);
    world.run(100);
    world.link = Box::new(|_, _| true);
    let verdict = world.claim(0, "m", ONCE);
    assert!(matches!(verdict, ClaimResult::Granted(0) | ClaimResult::RetryAfter(_)), "{verdict:?}");
}

#[test]
fn a_minority_takes_no_payment_and_what_partners_drop_if_repeated() {
    let mut world = World::started(5, 4);
    world.link = Box::new(|a, b| (a < 2) == (b < 2));
    assert!(matches!(world.claim(0, "pay", ONCE), ClaimResult::RetryAfter(_)));
    assert!(matches!(world.claim(0, "update", KEYED), ClaimResult::Granted(19_000)));
    assert_eq!(world.claim(2, "pay", ONCE), ClaimResult::Granted(0));
    world.link = Box::new(|_, _| true);
    world.run(2_000);
    assert_eq!(world.claim(0, "pay", ONCE), ClaimResult::Held);
}

#[test]
fn what_was_granted_outlives_the_processes_that_granted_it() {
    let mut world = World::started(3, 5);
    assert_eq!(world.claim(0, "pay", ONCE), ClaimResult::Granted(0));
    world.run(50);
    (0..3).for_each(|n| world.kill(n));
    for n in 1..3 {
        world.start(n);
    }
    world.run(5_000);
    assert!(matches!(world.claim(1, "pay", ONCE), ClaimResult::RetryAfter(_)));
    assert_eq!(world.claim(2, "other", ONCE), ClaimResult::Granted(0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    /// Several claim one id at once, over a lossy network with cuts, kills and restarts: of those that are granted and neither
    /// give it back nor lose their folder there is one.
    #[test]
    fn of_many_that_claim_one_id_one_is_granted(
        claimers in prop::collection::vec((0..5usize, 0..400u64), 2..8), sides in any::<u8>(), killed in 0..5usize, lost in any::<bool>(), seed in any::<u64>()
    ) {
        let mut world = World::started(5, seed);
        world.net = Net { loss: 0.2, delay: (0, 60), twice: 0.1 };
        world.link = Box::new(move |a, b| (sides >> a) & 1 == (sides >> b) & 1 || sides > 200);
        let (mut granted, mut asking): (BTreeSet<usize>, BTreeSet<usize>) = Default::default();
        let settle = |world: &mut World, granted: &mut BTreeSet<usize>, asking: &mut BTreeSet<usize>| {
            for n in 0..5 {
                if let Some((_, verdict)) = world.nodes[n].claims.remove(&message_key("m")) {
                    asking.remove(&n);
                    if verdict == ClaimResult::Granted(0) {
                        granted.insert(n);
                    }
                }
            }
        };
        for (n, pause) in claimers {
            if world.nodes[n].peers.is_none() {
                world.start(n);
                world.run(if lost { 14_000 } else { 1_000 });
            }
            // A forwarder knows by itself what it holds, and asks once for what it does not.
            if !granted.contains(&n) && asking.insert(n) {
                let now = world.clock(n);
                world.nodes[n].peers.as_mut().unwrap().claim(now, message_key("m"), ONCE);
            }
            world.run(pause);
            settle(&mut world, &mut granted, &mut asking);
            if pause % 7 == 0 {
                world.kill(killed);
                asking.remove(&killed);
                if lost {
                    world.lose_claims(killed);
                }
            }
        }
        world.run(2_000);
        settle(&mut world, &mut granted, &mut asking);
        prop_assert!(granted.len() <= 1, "{granted:?}");
    }
}
