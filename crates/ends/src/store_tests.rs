use super::*;
use crate::end::{Attempt, AttemptOutcome, FinalStatus};

const LIMITS: RetentionLimits =
    RetentionLimits { max_count: 1000, max_bytes: 128 << 10, max_age_us: 1 << 40 };

fn end(n: u64) -> MessageOutcome {
    let attempt = Attempt { at: n, until: n + 1, endpoint: "a".into(), outcome: AttemptOutcome::Ok };
    MessageOutcome {
        number: n,
        id: format!("m{n}"),
        class: "fee".into(),
        partner: "p".into(),
        key: String::new(),
        taken: n,
        ended: n + 1,
        result: FinalStatus::Delivered,
        attempts: vec![attempt],
    }
}

fn open(folder: &Path) -> OutcomeStore {
    OutcomeStore::open(folder, LIMITS).unwrap()
}

fn keep(store: &mut OutcomeStore, end: MessageOutcome) -> u64 {
    let sequence = store.append(end.by_ref()).unwrap();
    store.commit().unwrap();
    store.publish(store.last_committed());
    sequence
}

fn acknowledge(store: &mut OutcomeStore, cursor: u64) {
    store.acknowledge(cursor, 0).unwrap();
    store.commit().unwrap();
}

fn ids(fetched: &Fetched) -> Vec<u64> {
    fetched.ends.iter().map(|(_, e)| e.number).collect()
}

#[test]
fn ends_come_in_order_at_least_once_over_restarts() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = open(folder.path());
    (1..=10).for_each(|n| assert_eq!(keep(&mut store, end(n)), n));
    let first = store.fetch(0, 4).unwrap();
    assert_eq!((ids(&first), first.cursor), (vec![1, 2, 3, 4], 4));
    // Killed between the fetch and its acknowledgement: fetched once more.
    let mut store = open(folder.path());
    assert_eq!(ids(&store.fetch(store.acknowledged(), 4).unwrap()), [1, 2, 3, 4]);
    acknowledge(&mut store, 4);
    let mut store = open(folder.path());
    assert_eq!(store.acknowledged(), 4);
    assert_eq!(ids(&store.fetch(4, 100).unwrap()), [5, 6, 7, 8, 9, 10]);
    assert!(store.acknowledge(11, 0).is_err(), "nobody can have fetched that");
    assert_eq!(store.find("m7").unwrap(), Some((7, end(7))));
    assert_eq!(store.find("m77").unwrap(), None);
    assert_eq!(store.highest_number(), 10);
}

/// Torn at each byte of the last record: the ends before it stand, and the next one follows them.
#[test]
fn an_end_torn_anywhere_is_wholly_there_or_wholly_not() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = open(folder.path());
    (1..=3).for_each(|n| assert_eq!(keep(&mut store, end(n)), n));
    let path = folder.path().join(format!("{:020}.ends", 1));
    let before = store.whole as usize;
    keep(&mut store, end(4));
    let bytes = fs::read(&path).unwrap();
    for cut in 0..=bytes.len() {
        fs::write(&path, &bytes[..cut]).unwrap();
        let mut again = open(folder.path());
        if cut >= before {
            assert_eq!(again.last_published(), if cut == bytes.len() { 4 } else { 3 }, "cut at {cut}");
        }
        let next = keep(&mut again, end(9));
        let whole = open(folder.path());
        assert_eq!((whole.last_published(), whole.read(next).unwrap()), (next, Some(end(9))), "cut at {cut}");
    }
}

#[test]
fn only_acknowledged_segments_go_and_what_is_held_always_fits() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = open(folder.path());
    let room = MessageOutcome::max_encoded_len(64, 1, 8);
    let mut number = 0;
    // Nobody fetches: taken on until the bound, with 10 held all the time.
    while store.has_capacity(10, 10 * room) {
        number += 1;
        keep(&mut store, end(number));
    }
    assert!((100..=991).contains(&number), "{number} ends");
    // What is held ends all the same, within the limits, and nothing is dropped.
    (1..=9).for_each(|n| assert_eq!(keep(&mut store, end(number + n)), number + n));
    let on_disk =
        || fs::read_dir(folder.path()).unwrap().map(|f| f.unwrap().metadata().unwrap().len()).sum::<u64>();
    assert!(on_disk() <= LIMITS.max_bytes);
    assert_eq!(store.fetch(0, 1).unwrap().ends[0].0, 1);
    // Fetched, there is room again, and the oldest go as new ones come.
    let last = store.last_published();
    acknowledge(&mut store, last);
    assert!(store.has_capacity(10, 10 * room));
    for n in 0..3000 {
        number += 1;
        let sequence = keep(&mut store, end(number));
        if n % 50 == 0 {
            acknowledge(&mut store, sequence);
        }
        assert!(on_disk() <= LIMITS.max_bytes && store.usage().0 <= LIMITS.max_count + 200);
    }
    assert!(store.oldest() > 1 && store.by_name.len() == store.places.len());
    assert_eq!(store.find("m1").unwrap(), None);
    let again = open(folder.path());
    assert_eq!(
        (again.last_published(), again.acknowledged()),
        (store.last_published(), store.acknowledged())
    );
    assert!(again.message_numbers().eq(store.message_numbers()));
}

#[test]
fn damage_before_the_end_is_told_with_the_file() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = open(folder.path());
    (1..=3).for_each(|n| assert_eq!(keep(&mut store, end(n)), n));
    let path = folder.path().join(format!("{:020}.ends", 1));
    let mut bytes = fs::read(&path).unwrap();
    bytes[60] ^= 1;
    fs::write(&path, &bytes).unwrap();
    let error = OutcomeStore::open(folder.path(), LIMITS).unwrap_err().to_string();
    assert!(error.contains(".ends: damaged at byte"), "{error}");
}

/// What is staged is found by its id, told to nobody, and gone with a process that does not commit it.
#[test]
fn an_end_is_told_once_it_is_kept() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = open(folder.path());
    keep(&mut store, end(1));
    store.append(end(2).by_ref()).unwrap();
    store.append(end(3).by_ref()).unwrap();
    assert_eq!((store.last_published(), ids(&store.fetch(0, 9).unwrap())), (1, vec![1]));
    assert_eq!(store.find("m3").unwrap(), Some((3, end(3))));
    assert!(store.acknowledge(2, 0).is_err() && store.has_uncommitted());
    assert_eq!(open(folder.path()).last_published(), 1);
    store.commit().unwrap();
    assert_eq!((store.last_published(), store.last_committed()), (1, 3), "written, and perhaps not synced");
    assert!(!store.sync_job().unwrap().is_empty() && store.sync_job().unwrap().is_empty());
    store.publish(3);
    assert_eq!(ids(&store.fetch(0, 9).unwrap()), [1, 2, 3]);
    assert_eq!(open(folder.path()).last_published(), 3);
}

/// A disk that takes nothing: what is staged stays, is found, and is written once there is room.
#[test]
fn a_write_that_fails_loses_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = open(folder.path());
    keep(&mut store, end(1));
    let path = folder.path().join(format!("{:020}.ends", 1));
    let good = std::mem::replace(store.files.back_mut().unwrap(), File::open(&path).unwrap());
    for n in 2..=2_000 {
        store.append(end(n).by_ref()).unwrap();
        assert!(store.commit().is_err(), "the file is read only");
    }
    assert_eq!((store.last_published(), store.find("m1999").unwrap().unwrap().0), (1, 1999));
    *store.files.back_mut().unwrap() = good;
    store.commit().unwrap();
    store.publish(store.last_committed());
    keep(&mut store, end(2_001));
    let again = open(folder.path());
    assert_eq!((again.last_published(), again.find("m1999").unwrap().unwrap().0), (2_001, 1999));
}
