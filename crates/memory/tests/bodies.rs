//! Request bodies that share a limit.

use foldtrack_memory::bodies::SMALL_BODY_BYTES;
use foldtrack_memory::{BodyBuffers, BodyError, Priority, Ticket};
use proptest::prelude::*;

const MAX_BODY: usize = 64 * 1024;
const LIMIT: usize = 512 * 1024;

fn buffers() -> BodyBuffers {
    BodyBuffers::new(MAX_BODY, LIMIT)
}

/// Reads a body of this length in one piece.
fn read(buffers: &mut BodyBuffers, length: usize, priority: Priority) -> Result<Ticket, BodyError> {
    let ticket = buffers.begin(0, Some(length), priority);
    buffers.append(ticket, &vec![1; length]).map(|()| ticket)
}

#[test]
fn pieces_of_a_byte_cost_what_they_hold() {
    let mut buffers = buffers();
    let ticket = buffers.begin(0, Some(MAX_BODY), Priority::Known);
    for _ in 0..10_000 {
        buffers.append(ticket, b"x").unwrap();
    }
    assert!(buffers.used() <= 2 * 10_000, "{} bytes", buffers.used());
    assert_eq!(buffers.complete(ticket).unwrap().len(), 10_000);
}

#[test]
fn small_bodies_need_no_share_however_many_there_are() {
    let mut buffers = buffers();
    for _ in 0..10_000 {
        read(&mut buffers, SMALL_BODY_BYTES, Priority::Known).unwrap();
    }
    assert_eq!((buffers.used(), buffers.count()), (0, 10_000));
}

#[test]
fn the_oldest_unfinished_body_gives_way_and_is_told() {
    let mut buffers = buffers();
    let held: Vec<_> = (0..9).map(|_| read(&mut buffers, 60_000, Priority::Known).unwrap()).collect();
    let sound = read(&mut buffers, 60_000, Priority::Known).unwrap();
    assert_eq!(buffers.complete(sound).map(|bytes| bytes.len()), Ok(60_000));
    assert_eq!((buffers.take_evicted(), buffers.refused()), (held[..1].to_vec(), 1));
    assert_eq!(buffers.append(held[0], b"x"), Err(BodyError::NoRoom));
    assert!(buffers.append(held[1], b"x").is_ok() && buffers.used() <= LIMIT);
}

#[test]
fn complete_bodies_give_way_to_nobody_until_they_are_removed() {
    let mut buffers = buffers();
    let mut complete = Vec::new();
    while let Ok(ticket) = read(&mut buffers, MAX_BODY, Priority::Known) {
        assert!(buffers.complete(ticket).is_ok());
        complete.push(ticket);
    }
    assert_eq!(complete.len(), LIMIT / (MAX_BODY - SMALL_BODY_BYTES));
    assert!(buffers.take_evicted().is_empty());
    buffers.remove(complete[0]);
    assert!(read(&mut buffers, MAX_BODY, Priority::Known).is_ok());
}

#[test]
fn unknown_clients_give_way_first_and_leave_half_to_known_ones() {
    let mut buffers = buffers();
    let known: Vec<_> = (0..4).map(|_| read(&mut buffers, MAX_BODY, Priority::Known).unwrap()).collect();
    for _ in 0..100 {
        let _ = read(&mut buffers, MAX_BODY, Priority::Unknown);
    }
    for _ in 0..3 {
        read(&mut buffers, MAX_BODY, Priority::Known).unwrap();
    }
    assert!(known.iter().all(|ticket| buffers.append(*ticket, b"").is_ok()));
}

#[test]
fn a_connection_that_is_needed_is_taken_from_the_oldest_unfinished_body() {
    let mut buffers = buffers();
    let complete = read(&mut buffers, 10, Priority::Known).unwrap();
    buffers.complete(complete).unwrap();
    assert!(!buffers.evict_oldest(1_000));
    let first = buffers.begin(10, None, Priority::Known);
    let _second = buffers.begin(20, None, Priority::Known);
    assert!(!buffers.evict_oldest(9), "too young");
    assert!(buffers.evict_oldest(10) && !buffers.evict_oldest(10));
    assert_eq!(buffers.take_evicted(), [first]);
}

#[test]
fn a_body_beyond_the_maximum_is_rejected_and_dropped() {
    let mut buffers = buffers();
    let ticket = buffers.begin(0, None, Priority::Known);
    assert!(buffers.append(ticket, &vec![0; MAX_BODY]).is_ok());
    assert_eq!(buffers.append(ticket, b"x"), Err(BodyError::TooLong));
    assert_eq!((buffers.used(), buffers.count()), (0, 0));
}

proptest! {
    #[test]
    fn the_limit_holds_whatever_clients_send(
        steps in proptest::collection::vec((0..40usize, 1..9_000usize, any::<bool>(), 0..10u8), 1..400)
    ) {
        let mut buffers = buffers();
        let mut open: Vec<Option<Ticket>> = vec![None; 40];
        for (client, length, known, step) in steps {
            let priority = if known { Priority::Known } else { Priority::Unknown };
            let ticket = *open[client].get_or_insert_with(|| buffers.begin(0, None, priority));
            let ended = match step {
                0 => { buffers.remove(ticket); true }
                1 => buffers.complete(ticket).is_err(),
                _ => buffers.append(ticket, &vec![0; length]).is_err(),
            };
            if ended {
                buffers.remove(ticket);
                open[client] = None;
            }
            prop_assert!(buffers.used() <= LIMIT);
        }
        open.iter().flatten().for_each(|ticket| buffers.remove(*ticket));
        prop_assert_eq!((buffers.used(), buffers.count()), (0, 0));
    }
}
