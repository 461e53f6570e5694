//! Claims of message ids among members: of several forwarders that claim one id at most one is granted it,
//! whatever fails between them.

mod world;

use foldtrack_peers::claims::{message_key, ClaimOutcome, ClaimResult, Effect};
use proptest::prelude::*;
use std::collections::BTreeSet;
use world::{Net, World};

const ONCE: Effect = Effect::Once(8_000);
const KEYED: Effect = Effect::Keyed(20_000);

#[test]
fn an_owned_id_is_known_to_all_members_until_it_ends_and_after() {
    // Each seed selects other members to ask and another order of datagrams.
    (1..=30).for_each(an_owned_id_is_known);
}

fn an_owned_id_is_known(seed: u64) {
    let mut world = World::started(5, seed);
    assert_eq!(world.claim(0, "m", ONCE), ClaimResult::Granted(0));
    assert_eq!(world.claim(3, "m", ONCE), ClaimResult::Held);
    world.message_ended(0, "m", ClaimOutcome::Delivered);
    world.run(500);
    world.kill(0);
    for n in 1..5 {
        assert_eq!(world.claim(n, "m", ONCE), ClaimResult::Delivered);
    }
    // A message that was given up may not be submitted again; one that was refused or handed back may be
    // submitted anywhere.
    assert_eq!(world.claim(1, "over", ONCE), ClaimResult::Granted(0));
    world.message_ended(1, "over", ClaimOutcome::Final);
    world.run(500);
    assert_eq!(world.claim(2, "over", ONCE), ClaimResult::Final);
    assert_eq!(world.claim(1, "back", ONCE), ClaimResult::Granted(0));
    world.message_ended(1, "back", ClaimOutcome::HandedBack(0));
    world.run(500);
    assert_eq!(world.claim(2, "back", ONCE), ClaimResult::Granted(0));
    assert_eq!(world.claim(1, "back", ONCE), ClaimResult::Held);
    // If an attempt may have taken effect, the message may be submitted again only while a repetition is
    // harmless.
    assert_eq!(world.claim(3, "until", KEYED), ClaimResult::Granted(0));
    world.message_ended(3, "until", ClaimOutcome::HandedBack(5_000));
    world.run(2_000);
    let ClaimResult::Granted(left) = world.claim(4, "until", KEYED) else { panic!() };
    assert!((2_000..3_100).contains(&left), "{left}");
    assert_eq!(world.claim(2, "until-2", KEYED), ClaimResult::Granted(0));
    world.message_ended(2, "until-2", ClaimOutcome::HandedBack(1_000));
    world.run(2_000);
    assert_eq!(world.claim(4, "until-2", KEYED), ClaimResult::Final);
}

/// The owner is killed with the call in flight. A payment must not be sent again; a keyed message may be
/// sent for as long as the partner remembers its key.
#[test]
fn messages_of_a_dead_owner_are_decided_by_class() {
    let mut world = World::started(5, 2);
    assert_eq!(world.claim(0, "pay", ONCE), ClaimResult::Granted(0));
    assert_eq!(world.claim(0, "update", KEYED), ClaimResult::Granted(0));
    world.kill(0);
    assert!(matches!(world.claim(1, "pay", ONCE), ClaimResult::RetryAfter(_)));
    let ClaimResult::Granted(left) = world.claim(1, "update", KEYED) else { panic!() };
    assert!((17_000..19_500).contains(&left), "{left}");
    // The second owner is killed as well: the time still counts from the first.
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
    // Back on its folder, the first owner answers for what it has.
    world.start(0);
    world.run(8_000);
    assert_eq!(world.claim(4, "pay", ONCE), ClaimResult::Held);
}

#[test]
fn an_owner_that_lost_its_store_is_another_owner() {
    let mut world = World::started(3, 3);
    assert_eq!(world.claim(0, "pay", ONCE), ClaimResult::Granted(0));
    world.run(100);
    world.lose_folder(0);
    world.start(0);
    world.run(3_000);
    assert!(matches!(world.claim(0, "pay", ONCE), ClaimResult::RetryAfter(_)));
    // It has lost its grants, so its reply does not count; the other two are a majority of three.
    assert_eq!(world.claim(1, "new", ONCE), ClaimResult::Granted(0));
    world.kill(2);
    assert!(matches!(world.claim(1, "newer", ONCE), ClaimResult::RetryAfter(_)));
    world.start(2);
    world.run(14_000);
    assert_eq!(world.claim(0, "pay", ONCE), ClaimResult::Final);
    world.kill(2);
    assert_eq!(world.claim(1, "newest", ONCE), ClaimResult::Granted(0));
}

/// A member recovers its grants from a majority of the others once all earlier claims are settled; then its
/// replies count again.
#[test]
fn lost_grants_are_recovered_from_the_other_members() {
    let mut world = World::started(3, 6);
    for n in 0..200 {
        assert_eq!(world.claim(0, &format!("m{n}"), ONCE), ClaimResult::Granted(0));
    }
    for n in 0..100 {
        world.message_ended(0, &format!("m{n}"), ClaimOutcome::Delivered);
    }
    world.run(500);
    world.kill(1);
    world.lose_claims(1);
    world.start(1);
    world.run(3_000);
    assert!(!world.knows_all_claims(1));
    world.run(12_000);
    assert!(world.knows_all_claims(1) && world.nodes[1].disk.claims_complete);
    // Its replies count now, and it knows what it granted.
    world.kill(0);
    assert_eq!(world.claim(2, "new", ONCE), ClaimResult::Granted(0));
    assert_eq!(world.claim(1, "m7", ONCE), ClaimResult::Delivered);
    assert!(matches!(world.claim(1, "m107", ONCE), ClaimResult::Final | ClaimResult::RetryAfter(_)));
}

/// All machines lose power at once: each member reports what its own journal has, and after some seconds
/// payments are accepted again.
#[test]
fn if_all_members_lost_their_grants_the_journals_restore_them() {
    let mut world = World::started(3, 7);
    assert_eq!(world.claim(0, "held", ONCE), ClaimResult::Granted(0));
    assert_eq!(world.claim(0, "over", ONCE), ClaimResult::Granted(0));
    world.message_ended(0, "over", ClaimOutcome::Delivered);
    world.run(500);
    (0..3).for_each(|n| world.kill(n));
    (0..3).for_each(|n| world.lose_claims(n));
    world.start(1);
    world.start(2);
    world.run(20_000);
    // No member knows what the third one owns.
    assert!(matches!(world.claim(1, "new", ONCE), ClaimResult::RetryAfter(_)));
    world.start(0);
    world.run(20_000);
    assert!((0..3).all(|n| world.knows_all_claims(n)));
    assert_eq!(world.claim(1, "new", ONCE), ClaimResult::Granted(0));
    assert_eq!(world.claim(2, "over", ONCE), ClaimResult::Delivered);
    assert_eq!(world.claim(2, "held", ONCE), ClaimResult::Held);
}

/// While a claim is in progress, no client may be told that the message is owned elsewhere: the client
/// would take it for accepted.
#[test]
fn a_claim_in_progress_is_not_reported_as_held() {
    let mut world = World::started(3, 8);
    world.link = Box::new(|a, b| (a < 2) == (b < 2));
    let now = world.clock(2);
    world.nodes[2].peers.as_mut().unwrap().claim(now, message_key("m"), ONCE);
    world.run(100);
    world.link = Box::new(|_, _| true);
    let result = world.claim(0, "m", ONCE);
    assert!(matches!(result, ClaimResult::Granted(0) | ClaimResult::RetryAfter(_)), "{result:?}");
}

#[test]
fn a_minority_accepts_no_payment_but_accepts_keyed_messages() {
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
fn grants_survive_the_processes_that_gave_them() {
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

    /// Several members claim one id at the same time, over a lossy network with partitions, kills and
    /// restarts. At most one of them is granted it, not counting members that give it back or lose their
    /// folder.
    #[test]
    fn of_many_claims_on_one_id_at_most_one_is_granted(
        claimers in prop::collection::vec((0..5usize, 0..400u64), 2..8),
        sides in any::<u8>(),
        killed in 0..5usize,
        lost in any::<bool>(),
        seed in any::<u64>()
    ) {
        let mut world = World::started(5, seed);
        world.net = Net { loss: 0.2, delay: (0, 60), duplication: 0.1 };
        world.link = Box::new(move |a, b| (sides >> a) & 1 == (sides >> b) & 1 || sides > 200);
        let (mut granted, mut asking): (BTreeSet<usize>, BTreeSet<usize>) = Default::default();
        let settle = |world: &mut World, granted: &mut BTreeSet<usize>, asking: &mut BTreeSet<usize>| {
            for n in 0..5 {
                if let Some((_, result)) = world.nodes[n].claims.remove(&message_key("m")) {
                    asking.remove(&n);
                    if result == ClaimResult::Granted(0) {
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
            // A forwarder knows what it owns and claims only ids that it does not.
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
