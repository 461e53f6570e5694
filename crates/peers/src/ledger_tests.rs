//! Properties of the ledger: merging does not depend on the order, the most restrictive of concurrent facts
//! applies, and dropped facts stay dropped.

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

/// States a fact in a ledger, as its own forwarder does.
fn state(ledger: &mut Ledger, run: &Run, name: &str, action: FactAction) -> Fact {
    let fact = ledger.compose(run, 0, endpoint(name), action);
    assert_eq!(ledger.insert(fact.clone(), 0, None), InsertResult::New);
    fact
}

fn closed(ledger: &Ledger, name: &str) -> bool {
    ledger.subject_state(&endpoint(name)).closed.is_some()
}

/// Lets two ledgers exchange everything by summaries until neither lacks a fact. Returns the facts
/// discarded.
fn exchange(a: &mut Ledger, b: &mut Ledger, now: u64) -> Vec<Fact> {
    let mut discarded = Vec::new();
    for _ in 0..4 {
        for direction in 0..2 {
            let (from, to) = if direction == 0 { (&*a, &mut *b) } else { (&*b, &mut *a) };
            for range in (0..BUCKETS).flat_map(|n| from.summarize(n, 3)) {
                let comparison = to.compare(&range, now);
                assert!(comparison.conflicting.is_empty());
                discarded.extend(comparison.discarded);
                for dot in comparison.missing {
                    to.insert(from.get(&dot).unwrap().clone(), now, None);
                }
            }
        }
    }
    discarded
}

#[test]
fn a_close_prevails_over_a_concurrent_open_and_yields_to_a_later_one() {
    let (mut left, mut right) = (Ledger::default(), Ledger::default());
    let (a, b) = (run("a", 1), run("b", 1));
    state(&mut left, &a, "e", CLOSE);
    exchange(&mut left, &mut right, 0);
    assert!(closed(&right, "e"));
    // During a partition it is drained again on one side and resumed on the other.
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

/// Guards against merging by wall clock: an order from a clock that is hours ahead must not supersede an
/// order that it did not know of, and one from a clock that is behind must supersede what it knew of.
#[test]
fn the_wall_clock_decides_nothing() {
    let (mut left, mut right) = (Ledger::default(), Ledger::default());
    let (a, b) = (run("a", 1), run("b", 1));
    let hour = 3_600_000_000;
    let drain = left.compose(&a, 10 * hour, endpoint("e"), CLOSE);
    left.insert(drain, 0, None);
    // Resumed on the other side of a partition, by a clock that is a day ahead.
    let resume = right.compose(&b, 34 * hour, endpoint("e"), FactAction::Open);
    right.insert(resume, 0, None);
    exchange(&mut left, &mut right, 0);
    assert!(closed(&left, "e") && closed(&right, "e"));
    let knowing = right.compose(&b, hour, endpoint("e"), FactAction::Open);
    right.insert(knowing, 0, None);
    exchange(&mut left, &mut right, 0);
    assert!(!closed(&left, "e") && !closed(&right, "e"));
}

#[test]
fn dropped_facts_stay_dropped_and_late_copies_are_discarded() {
    let (mut here, mut away) = (Ledger::default(), Ledger::default());
    let (a, b) = (run("a", 1), run("b", 1));
    let drain = state(&mut away, &a, "e", CLOSE);
    exchange(&mut here, &mut away, 0);
    // While the other ledger is away, the drain is ended, repeated and ended again, and all of this
    // expires.
    state(&mut here, &b, "e", FactAction::Open);
    state(&mut here, &b, "e", CLOSE);
    state(&mut here, &b, "e", FactAction::Open);
    assert!(here.drop_expired(999, 1_000).is_empty());
    assert_eq!(here.drop_expired(1_000, 1_000).len(), 3);
    assert_eq!(here.insert(drain.clone(), 1_000, None), InsertResult::AlreadyDropped);
    assert!(closed(&away, "e") && !closed(&here, "e"));
    let discarded = exchange(&mut here, &mut away, 1_000);
    assert_eq!(discarded, [drain]);
    assert!(!closed(&away, "e") && !closed(&here, "e"));
    assert_eq!(here.digest(), away.digest());
}

#[test]
fn different_content_under_one_identifier_is_a_conflict_and_all_choose_the_same_copy() {
    let mut ledger = Ledger::default();
    let open = state(&mut ledger, &run("a", 1), "e", FactAction::Open);
    let closed = Fact { action: CLOSE, ..open.clone() };
    assert_eq!(ledger.insert(closed.clone(), 0, None), InsertResult::Conflict);
    assert!(closed.wins_over(&open) && !open.wins_over(&closed));
    let mut other = Ledger::default();
    other.insert(closed.clone(), 0, None);
    let ranges =
        other.summarize(0, 100).into_iter().chain((1..BUCKETS).flat_map(|n| other.summarize(n, 100)));
    let conflicting: Vec<Dot> = ranges.flat_map(|s| ledger.compare(&s, 0).conflicting).collect();
    assert_eq!(conflicting, std::slice::from_ref(&closed.dot));
    ledger.replace(closed, 0);
    assert_eq!(ledger.digest(), other.digest());
}

#[test]
fn a_fact_lost_by_a_store_is_requested_again() {
    let (mut whole, a) = (Ledger::default(), run("a", 1));
    let facts: Vec<Fact> = (0..5).map(|n| state(&mut whole, &a, &format!("e{n}"), CLOSE)).collect();
    let mut restored = Ledger::default();
    for fact in facts.iter().filter(|f| f.dot.seq != 3) {
        restored.insert(fact.clone(), 0, None);
    }
    restored.restore(whole.watermarks(), std::slice::from_ref(&facts[2].dot));
    assert!(restored.get(&facts[2].dot).is_none());
    exchange(&mut whole, &mut restored, 0);
    assert_eq!(whole.digest(), restored.digest());
    assert!(closed(&restored, "e2"));
}

#[test]
fn ended_runs_are_no_longer_tracked_and_do_not_come_back() {
    let mut ledger = Ledger::default();
    let mut old = Vec::new();
    for start in 1..=100 {
        old.push(state(&mut ledger, &run("a", start), "e", CLOSE));
    }
    assert!(ledger.drop_expired(4, 5).is_empty() && ledger.len() == 100);
    assert_eq!(ledger.drop_expired(5, 5).len(), 99);
    let extent = ledger.watermarks();
    assert!(extent.runs.len() <= 33 && extent.retired.len() == 1, "{} runs", extent.runs.len());
    assert_eq!(ledger.insert(old[0].clone(), 0, None), InsertResult::AlreadyDropped);
    assert!(closed(&ledger, "e"));
}

/// Facts stated by the forwarders, and exchanges between them.
#[derive(Clone, Debug)]
enum Step {
    State { node: usize, subject: usize, action: u8 },
    Exchange { first: usize, second: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let stated = (0..3usize, 0..2usize, 0..4u8).prop_map(|(node, subject, action)| Step::State {
        node,
        subject,
        action,
    });
    let exchanged = (0..3usize, 0..3usize).prop_map(|(first, second)| Step::Exchange { first, second });
    prop::collection::vec(prop_oneof![stated, exchanged], 1..30)
}

fn action(n: u8) -> FactAction {
    match n {
        0 => CLOSE,
        1 => FactAction::Open,
        2 => FactAction::Remove,
        _ => FactAction::Add { partner: "p".into(), address: ([127, 0, 0, 1], 9).into() },
    }
}

/// Applies steps to three ledgers; returns the ledgers and all facts.
fn apply_steps(steps: &[Step]) -> (Vec<Ledger>, Vec<Fact>) {
    let mut ledgers = vec![Ledger::default(); 3];
    let mut facts = Vec::new();
    for step in steps {
        match step {
            Step::State { node, subject, action: n } => {
                let run = run(["a", "b", "c"][*node], 1);
                facts.push(state(&mut ledgers[*node], &run, ["e", "f"][*subject], action(*n)));
            }
            Step::Exchange { first, second } if first != second => {
                let mut ledger = std::mem::take(&mut ledgers[*first]);
                exchange(&mut ledger, &mut ledgers[*second], 0);
                ledgers[*first] = ledger;
            }
            Step::Exchange { .. } => {}
        }
    }
    (ledgers, facts)
}

proptest! {
    /// Merging is associative, commutative and idempotent: whatever the order in which facts arrive, and
    /// however often, the state is the same.
    #[test]
    fn merging_in_any_order_gives_the_same_state(steps in steps(), seed in any::<u64>()) {
        let (_, facts) = apply_steps(&steps);
        let mut random = fastrand::Rng::with_seed(seed);
        let mut ledgers = Vec::new();
        for _ in 0..2 {
            let mut shuffled: Vec<Fact> = facts.iter().chain(&facts).cloned().collect();
            random.shuffle(&mut shuffled);
            let mut ledger = Ledger::default();
            for fact in shuffled {
                ledger.insert(fact, 0, None);
            }
            ledgers.push(ledger);
        }
        prop_assert_eq!(ledgers[0].digest(), ledgers[1].digest());
        for subject in ledgers[0].subjects() {
            prop_assert_eq!(ledgers[0].subject_state(&subject), ledgers[1].subject_state(&subject));
        }
    }

    /// An inserted fact opens nothing whose close it does not name as superseded.
    #[test]
    fn only_an_open_that_supersedes_a_close_ends_it(steps in steps()) {
        let (mut ledgers, facts) = apply_steps(&steps);
        for fact in &facts {
            for ledger in &mut ledgers {
                let before: BTreeSet<Dot> = ledger.subjects().iter()
                    .filter_map(|s| ledger.subject_state(s).closed).map(|f| f.dot).collect();
                ledger.insert(fact.clone(), 0, None);
                let named: BTreeSet<&Dot> = fact.supersedes.iter().collect();
                for dot in before.iter().filter(|d| !named.contains(d)) {
                    let subject = ledger.get(dot).unwrap().subject.clone();
                    prop_assert!(ledger.is_live(dot) && ledger.subject_state(&subject).closed.is_some());
                }
            }
        }
    }

    /// Whichever ledgers exchange in between, after all have exchanged with one another all have the same
    /// facts, and no fact is lost.
    #[test]
    fn all_ledgers_converge_whichever_exchange_first(steps in steps()) {
        let (mut ledgers, facts) = apply_steps(&steps);
        for _ in 0..2 {
            for (first, second) in [(0, 1), (1, 2), (0, 2)] {
                let mut ledger = std::mem::take(&mut ledgers[first]);
                exchange(&mut ledger, &mut ledgers[second], 0);
                ledgers[first] = ledger;
            }
        }
        let mut union = Ledger::default();
        for fact in facts {
            union.insert(fact, 0, None);
        }
        for ledger in &ledgers {
            prop_assert_eq!(ledger.digest(), union.digest());
        }
    }
}
