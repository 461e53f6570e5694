//! Tests of the registry of targets.

use super::*;

fn line(id: &str, port: u16, cell: u32, state: ServerState) -> ServerEntry {
    let addr = SocketAddr::from(([127, 0, 0, 1], port));
    ServerEntry {
        hold_until: 0,
        id: id.into(),
        addr,
        zone: String::new(),
        kind: String::new(),
        cell,
        state,
        weight: 0.0,
        started_ms: 0,
        slots: None,
    }
}

#[test]
fn a_number_identifies_one_target_and_is_dropped_when_no_call_refers_to_it() {
    let mut targets = Targets::new(1_024);
    let active = |id: &str, port| line(id, port, 1, ServerState::Active);
    let Assignment { target: first, replaced, .. } = targets.assign(&active("a", 1), 0, false).unwrap();
    assert_eq!(replaced, None);
    assert_eq!(targets.assign(&active("a", 1), 0, false), Some(Assignment::unchanged(first)));
    assert!(targets.begin_call(first, 0).is_some());
    // The same id at another address gets a new number.
    let Assignment { target: second, replaced, .. } = targets.assign(&active("a", 2), 0, false).unwrap();
    assert!(second != first && replaced == Some(first));
    assert!(targets.remove_stale(10, 0).is_empty(), "a call is in flight");
    assert!(!targets.end_call(first));
    assert_eq!(targets.remove_stale(10, 0), [first]);
    assert_eq!(
        targets.assign(&line("a", 2, 1, ServerState::Left), 0, false),
        Some(Assignment::unchanged(second))
    );
    assert_eq!(targets.remove_stale(20, 0), [second]);
    assert_eq!(targets.assign(&line("a", 2, 1, ServerState::Left), 0, false), None);
    assert!(targets.knows_destination(1));
    for n in 0..1000 {
        let number = targets.assign(&active(&format!("t{n}"), 3), 0, false).unwrap().target;
        assert!(number > second);
        targets.retain_listed(&HashSet::from([number]));
        targets.remove_stale(30, 0);
    }
    assert!(targets.by_number.len() == 1 && targets.numbers_by_id.len() == 1);
    targets.retain_listed(&HashSet::new());
    targets.remove_stale(40, 35);
    assert!(
        !targets.knows_destination(1) && targets.by_number.is_empty() && targets.numbers_by_id.is_empty()
    );
}

#[test]
fn a_target_at_the_address_of_a_later_process_is_gone_and_one_that_shares_a_process_stays() {
    let mut targets = Targets::new(1_024);
    let started = |id: &str, started_ms| ServerEntry { started_ms, ..line(id, 1, 1, ServerState::Active) };
    let assign = |targets: &mut Targets, entry| targets.assign(&entry, 0, false).unwrap();
    let old = assign(&mut targets, started("a", 5)).target;
    let beside = assign(&mut targets, started("b", 5)).target;
    assert!(targets.close_taken_over(&HashSet::from([beside])).is_empty());
    let new = assign(&mut targets, started("c", 9)).target;
    assert!(targets.close_taken_over(&HashSet::from([old, beside, new])).is_empty(), "all are listed");
    assert_eq!(targets.close_taken_over(&HashSet::from([new])), [(old, 1), (beside, 1)]);
    assert!(!targets.is_open(old) && targets.is_open(new));
    assert!(
        assign(&mut targets, started("c", 12)).restarted && !assign(&mut targets, started("c", 12)).restarted
    );
}

#[test]
fn targets_beyond_the_maximum_find_no_room_until_others_have_left() {
    let mut targets = Targets::new(3);
    let active = |id: &str| line(id, 1, 1, ServerState::Active);
    let old: Vec<_> = ["a", "b", "c"].map(|id| targets.assign(&active(id), 0, false).unwrap().target).into();
    assert!(targets.is_crowded(1) && targets.assign(&active("d"), 0, false).is_none());
    assert_eq!(
        targets.assign(&active("a"), 0, false),
        Some(Assignment::unchanged(old[0])),
        "a known one stays"
    );
    targets.retain_ids(&HashSet::from(["a", "d"]));
    assert_eq!(targets.remove_stale(10, 0), old[1..]);
    assert!(targets.assign(&active("d"), 0, false).is_some());
}

#[test]
fn a_target_that_moves_finds_room_among_as_many_as_there_may_be() {
    let mut targets = Targets::new(1);
    let old = targets.assign(&line("a", 1, 1, ServerState::Active), 0, false).unwrap().target;
    let moved = targets.assign(&line("a", 2, 1, ServerState::Active), 0, false).unwrap();
    assert_eq!(moved.replaced, Some(old));
    assert!(targets.is_open(moved.target) && !targets.is_open(old));
}

#[test]
fn a_target_that_moves_to_a_destination_without_room_is_gone_where_it_was() {
    let mut targets = Targets::new(1);
    let old = targets.assign(&line("a", 1, 1, ServerState::Active), 0, false).unwrap().target;
    let moved = targets.assign(&line("a", 2, 2, ServerState::Active), 0, false).unwrap();
    assert!(moved.lacks_room() && moved.replaced == Some(old) && !targets.is_open(old));
    assert!(!targets.knows_destination(2));
}
