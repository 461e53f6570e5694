//! The ledger's laws: merging in any order comes to the same, the safer word holds, what was dropped stays dropped.

use crate::fact::*;
use crate::ledger::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

fn run(name: &str, start: u64) -> Run {
    Run { name: name.into(), start, salt: start * 7 }
}

fn endpoint(name: &str) -> Subject {
    Subject::Endpoint(name.into())
}

const CLOSE: FactAction = FactAction::Close { for_ms: 0 };

/// States a word in a ledger, as its own forwarder does.
fn state(ledger: &mut Ledger, run: &Run, name: &str, word: FactAction) -> Fact {
    let fact = ledger.compose(run, 0, endpoint(name), word);
    assert_eq!(ledger.take(fact.clone(), 0, None), Taken::New);
    fact
}

fn closed(ledger: &Ledger, name: &str) -> bool {
    ledger.subject_state(&endpoint(name)).closed.is_some()
}

/// Has two ledgers tell each other everything, as digests and summaries do, until neither lacks anything.
fn exchange(a: &mut Ledger, b: &mut Ledger, now: u64) -> Vec<Fact> {
    let mut aside = Vec::new();
    for _ in 0..4 {
        for turn in 0..2 {
            let (from, to) = if turn == 0 { (&*a, &mut *b) } else { (&*b, &mut *a) };
            for stretch in (0..BUCKETS).flat_map(|n| from.summary(n, 3)) {
                let seen = to.compare(&stretch, now);
                assert!(seen.damaged.is_empty());
                aside.extend(seen.aside);
                for dot in seen.lacking {
                    to.take(from.get(&dot).unwrap().clone(), now, None);
                }
            }
        }
    }
    aside
}

#[test]
fn a_close_holds_against_an_open_that_did_not_know_of_it_and_yields_to_one_that_did() {
    let (mut left, mut right) = (Ledger::default(), Ledger::default());
    let (a, b) = (run("a", 1), run("b", 1));
    state(&mut left, &a, "e", CLOSE);
    exchange(&mut left, &mut right, 0);
    assert!(closed(&right, "e"));
    // Cut: drained again at one side, resumed at the other.
    state(&mut left, &a, "e", CLOSE);
    state(&mut right, &b, "e", FactAction::Open);
    assert!(!closed(&right, "e"));
    exchange(&mut left, &mut right, 0);
    for ledger in [&left, &right] {
        let verdict = ledger.subject_state(&endpoint("e"));
        assert!(verdict.closed.is_some() && verdict.contested, "{verdict:?}");
    }
    state(&mut right, &b, "e", FactAction::Open);
    exchange(&mut left, &mut right, 0);
    for ledger in [&left, &right] {
        let verdict = ledger.subject_state(&endpoint("e"));
        assert!(verdict.closed.is_none() && !verdict.contested, "{verdict:?}");
    }
    assert_eq!(left.digest(), right.digest());
}

/// The defect of a merge by wall clock: an order from a clock that is hours ahead ends nothing that it did not know of, and
/// one from a clock that is behind ends what it knew of.
#[test]
fn the_wall_clock_settles_nothing() {
    let (mut left, mut right) = (Ledger::default(), Ledger::default());
    let (a, b) = (run("a", 1), run("b", 1));
    let hour = 3_600_000_000;
    let drain = left.compose(&a, 10 * hour, endpoint("e"), CLOSE);
    left.take(drain, 0, None);
    // Resumed at the other side of a cut, by a clock that is a day ahead.
    let resume = right.compose(&b, 34 * hour, endpoint("e"), FactAction::Open);
    right.take(resume, 0, None);
    exchange(&mut left, &mut right, 0);
    assert!(closed(&left, "e") && closed(&right, "e"));
    let knowing = right.compose(&b, hour, endpoint("e"), FactAction::Open);
    right.take(knowing, 0, None);
    exchange(&mut left, &mut right, 0);
    assert!(!closed(&left, "e") && !closed(&right, "e"));
}

#[test]
fn what_was_dropped_stays_dropped_and_a_late_copy_of_it_is_laid_aside() {
    let (mut here, mut away) = (Ledger::default(), Ledger::default());
    let (a, b) = (run("a", 1), run("b", 1));
    let drain = state(&mut away, &a, "e", CLOSE);
    exchange(&mut here, &mut away, 0);
    // While the other is away the drain ends, and again, and all of it grows old.
    state(&mut here, &b, "e", FactAction::Open);
    state(&mut here, &b, "e", CLOSE);
    state(&mut here, &b, "e", FactAction::Open);
    assert!(here.drop_dead(999, 1_000).is_empty());
    assert_eq!(here.drop_dead(1_000, 1_000).len(), 3);
    assert_eq!(here.take(drain.clone(), 1_000, None), Taken::Dropped);
    assert!(closed(&away, "e") && !closed(&here, "e"));
    let aside = exchange(&mut here, &mut away, 1_000);
    assert_eq!(aside, [drain]);
    assert!(!closed(&away, "e") && !closed(&here, "e"));
    assert_eq!(here.digest(), away.digest());
}

#[test]
fn another_content_under_a_name_is_damage_and_all_choose_the_same_copy() {
    let mut ledger = Ledger::default();
    let open = state(&mut ledger, &run("a", 1), "e", FactAction::Open);
    let closed = Fact { action: CLOSE, ..open.clone() };
    assert_eq!(ledger.take(closed.clone(), 0, None), Taken::Damaged);
    assert!(closed.counts_over(&open) && !open.counts_over(&closed));
    let mut other = Ledger::default();
    other.take(closed.clone(), 0, None);
    let told = other.summary(0, 100).into_iter().chain((1..BUCKETS).flat_map(|n| other.summary(n, 100)));
    let damaged: Vec<Dot> = told.flat_map(|s| ledger.compare(&s, 0).damaged).collect();
    assert_eq!(damaged, std::slice::from_ref(&closed.dot));
    ledger.replace(closed, 0);
    assert_eq!(ledger.digest(), other.digest());
}

#[test]
fn a_fact_that_a_store_lost_is_wanted_again() {
    let (mut whole, a) = (Ledger::default(), run("a", 1));
    let facts: Vec<Fact> = (0..5).map(|n| state(&mut whole, &a, &format!("e{n}"), CLOSE)).collect();
    let mut restored = Ledger::default();
    for fact in facts.iter().filter(|f| f.dot.seq != 3) {
        restored.take(fact.clone(), 0, None);
    }
    restored.restore(whole.extent(), std::slice::from_ref(&facts[2].dot));
    assert!(restored.get(&facts[2].dot).is_none());
    exchange(&mut whole, &mut restored, 0);
    assert_eq!(whole.digest(), restored.digest());
    assert!(closed(&restored, "e2"));
}

#[test]
fn lives_that_are_over_are_forgotten_and_do_not_come_back() {
    let mut ledger = Ledger::default();
    let mut old = Vec::new();
    for start in 1..=100 {
        old.push(state(&mut ledger, &run("a", start), "e", CLOSE));
    }
    assert!(ledger.drop_dead(4, 5).is_empty() && ledger.len() == 100);
    assert_eq!(ledger.drop_dead(5, 5).len(), 99);
    let extent = ledger.extent();
    assert!(extent.runs.len() <= 33 && extent.retired.len() == 1, "{} lives", extent.runs.len());
    assert_eq!(ledger.take(old[0].clone(), 0, None), Taken::Dropped);
    assert!(closed(&ledger, "e"));
}

/// What some forwarders state, and who hears of whom in between.
#[derive(Clone, Debug)]
enum Step {
    State { who: usize, subject: usize, word: u8 },
    Meet { one: usize, other: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let stated =
        (0..3usize, 0..2usize, 0..4u8).prop_map(|(who, subject, word)| Step::State { who, subject, word });
    let met = (0..3usize, 0..3usize).prop_map(|(one, other)| Step::Meet { one, other });
    prop::collection::vec(prop_oneof![stated, met], 1..30)
}

fn word(n: u8) -> FactAction {
    match n {
        0 => CLOSE,
        1 => FactAction::Open,
        2 => FactAction::Remove,
        _ => FactAction::Add { partner: "p".into(), address: ([127, 0, 0, 1], 9).into() },
    }
}

/// Plays steps on three ledgers; gives them and all facts.
fn play(steps: &[Step]) -> (Vec<Ledger>, Vec<Fact>) {
    let mut ledgers = vec![Ledger::default(); 3];
    let mut facts = Vec::new();
    for step in steps {
        match step {
            Step::State { who, subject, word: n } => {
                let run = run(["a", "b", "c"][*who], 1);
                facts.push(state(&mut ledgers[*who], &run, ["e", "f"][*subject], word(*n)));
            }
            Step::Meet { one, other } if one != other => {
                let mut taken = std::mem::take(&mut ledgers[*one]);
                exchange(&mut taken, &mut ledgers[*other], 0);
                ledgers[*one] = taken;
            }
            Step::Meet { .. } => {}
        }
    }
    (ledgers, facts)
}

proptest! {
    /// Associative, commutative, idempotent: whatever the order in which facts come, and how often, the same holds.
    #[test]
    fn merging_in_any_order_comes_to_the_same(steps in steps(), seed in any::<u64>()) {
        let (_, facts) = play(&steps);
        let mut random = fastrand::Rng::with_seed(seed);
        let mut ledgers = Vec::new();
        for _ in 0..2 {
            let mut shuffled: Vec<Fact> = facts.iter().chain(&facts).cloned().collect();
            random.shuffle(&mut shuffled);
            let mut ledger = Ledger::default();
            for fact in shuffled {
                ledger.take(fact, 0, None);
            }
            ledgers.push(ledger);
        }
        prop_assert_eq!(ledgers[0].digest(), ledgers[1].digest());
        for subject in ledgers[0].subjects() {
            prop_assert_eq!(ledgers[0].subject_state(&subject), ledgers[1].subject_state(&subject));
        }
    }

    /// Monotone toward the safer: a fact that is merged opens nothing whose close it does not name.
    #[test]
    fn only_an_open_that_knew_of_a_close_ends_it(steps in steps()) {
        let (mut ledgers, facts) = play(&steps);
        for fact in &facts {
            for ledger in &mut ledgers {
                let before: BTreeSet<Dot> = ledger.subjects().iter()
                    .filter_map(|s| ledger.subject_state(s).closed).map(|f| f.dot).collect();
                ledger.take(fact.clone(), 0, None);
                let named: BTreeSet<&Dot> = fact.supersedes.iter().collect();
                for dot in before.iter().filter(|d| !named.contains(d)) {
                    let subject = ledger.get(dot).unwrap().subject.clone();
                    prop_assert!(ledger.is_alive(dot) && ledger.subject_state(&subject).closed.is_some());
                }
            }
        }
    }

    /// Whoever meets whom: once all have met, all have the same, and no step lost anything on the way.
    #[test]
    fn whoever_meets_whom_all_come_to_the_same(steps in steps()) {
        let (mut ledgers, facts) = play(&steps);
        for _ in 0..2 {
            for (one, other) in [(0, 1), (1, 2), (0, 2)] {
                let mut taken = std::mem::take(&mut ledgers[one]);
                exchange(&mut taken, &mut ledgers[other], 0);
                ledgers[one] = taken;
            }
        }
        let mut union = Ledger::default();
        for fact in facts {
            union.take(fact, 0, None);
        }
        for ledger in &ledgers {
            prop_assert_eq!(ledger.digest(), union.digest());
        }
    }
}
