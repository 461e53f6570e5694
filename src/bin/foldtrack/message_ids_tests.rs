//! Tests of the remembered ids.

use super::*;

/// Remembers an accepted id.
fn accept(ids: &mut MessageIds, id: &str, number: u64, until: Micros) {
    ids.insert(id, number);
    ids.set_state(id, SubmissionState::Accepted, until);
}

fn nothing_open(_: u64) -> bool {
    false
}

#[test]
fn ids_are_remembered_until_they_expire_and_up_to_the_limit() {
    let mut ids = MessageIds::default();
    for n in 0..100 {
        accept(&mut ids, &format!("m{n}"), n, 1_000 + n);
    }
    ids.remove("m3");
    ids.insert("m3", 200);
    ids.forget(1_050, 1_000, nothing_open);
    assert_eq!(
        (ids.state("m49"), ids.state("m51"), ids.state("m3")),
        (None, Some(SubmissionState::Accepted), Some(SubmissionState::Undecided))
    );
    ids.set_state("m3", SubmissionState::Accepted, 5_000);
    ids.forget(1_050, 10, nothing_open);
    assert!(ids.entries.len() == 10 && ids.expiries.len() == 10 && ids.state("m3").is_some());
}

#[test]
fn refused_ids_displace_no_accepted_one_and_open_messages_keep_theirs() {
    let mut ids = MessageIds::default();
    accept(&mut ids, "delivered", 1, 1_000);
    accept(&mut ids, "held", 2, 1_000);
    for n in 10..1_000 {
        ids.insert("refused", n);
        ids.remove("refused");
    }
    ids.forget(500, 2, nothing_open);
    assert!(ids.state("delivered").is_some() && ids.len() == 2 && ids.expiries.len() == 2);
    for n in 1_000..1_100 {
        accept(&mut ids, &format!("m{n}"), n, 1_000);
    }
    ids.forget(2_000, 50, |number| number == 2);
    assert_eq!((ids.len(), ids.state("held")), (1, Some(SubmissionState::Accepted)));
}
