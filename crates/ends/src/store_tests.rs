use super::*;
use crate::end::{Attempt, Result};

const BOUNDS: Bounds = Bounds { count: 1000, size: 128 << 10, age: 1 << 40 };

fn end(n: u64) -> End {
    let attempt =
        Attempt { at: n, until: n + 1, endpoint: "a".into(), outcome: "ok".into(), may_have_run: true };
    End {
        number: n,
        id: format!("m{n}"),
        class: "fee".into(),
        partner: "p".into(),
        key: String::new(),
        taken: n,
        ended: n + 1,
        result: Result::Delivered,
        attempts: vec![attempt],
    }
}

fn open(folder: &Path) -> Store {
    Store::open(folder, BOUNDS).unwrap()
}

fn ids(fetched: &Fetched) -> Vec<u64> {
    fetched.ends.iter().map(|(_, e)| e.number).collect()
}

#[test]
fn ends_come_in_order_at_least_once_over_restarts() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = open(folder.path());
    (1..=10).for_each(|n| assert_eq!(store.append(&end(n)).unwrap(), n));
    let first = store.fetch(0, 4).unwrap();
    assert_eq!((ids(&first), first.cursor), (vec![1, 2, 3, 4], 4));
    // Killed between the fetch and its acknowledgement: fetched once more.
    let mut store = open(folder.path());
    assert_eq!(ids(&store.fetch(store.acknowledged(), 4).unwrap()), [1, 2, 3, 4]);
    store.acknowledge(4, 0).unwrap();
    let mut store = open(folder.path());
    assert_eq!(store.acknowledged(), 4);
    assert_eq!(ids(&store.fetch(4, 100).unwrap()), [5, 6, 7, 8, 9, 10]);
    assert!(store.acknowledge(11, 0).is_err(), "nobody can have fetched that");
    assert_eq!(store.look("m7").unwrap(), Some((7, end(7))));
    assert_eq!(store.look("m77").unwrap(), None);
    assert_eq!(store.highest_number(), 10);
}

/// Torn at each byte of the last record: the ends before it stand, and the next one follows them.
#[test]
fn an_end_torn_anywhere_is_wholly_there_or_wholly_not() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = open(folder.path());
    (1..=3).for_each(|n| assert_eq!(store.append(&end(n)).unwrap(), n));
    let path = folder.path().join(format!("{:020}.ends", 1));
    let before = store.whole as usize;
    store.append(&end(4)).unwrap();
    let bytes = fs::read(&path).unwrap();
    for cut in 0..=bytes.len() {
        fs::write(&path, &bytes[..cut]).unwrap();
        let mut again = open(folder.path());
        if cut >= before {
            assert_eq!(again.last(), if cut == bytes.len() { 4 } else { 3 }, "cut at {cut}");
        }
        let next = again.append(&end(9)).unwrap();
        let whole = open(folder.path());
        assert_eq!((whole.last(), whole.read(next).unwrap()), (next, Some(end(9))), "cut at {cut}");
    }
}

#[test]
fn only_acknowledged_segments_go_and_what_is_held_always_fits() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = open(folder.path());
    let room = End::room(64, 1, 8);
    let mut number = 0;
    // Nobody fetches: taken on until the bound, with 10 held all the time.
    while store.has_room(10, 10 * room) {
        number += 1;
        store.append(&end(number)).unwrap();
    }
    assert!((100..=991).contains(&number), "{number} ends");
    // What is held ends all the same, within the bounds, and nothing is dropped.
    (1..=9).for_each(|n| assert_eq!(store.append(&end(number + n)).unwrap(), number + n));
    let on_disk =
        || fs::read_dir(folder.path()).unwrap().map(|f| f.unwrap().metadata().unwrap().len()).sum::<u64>();
    assert!(on_disk() <= BOUNDS.size);
    assert_eq!(store.fetch(0, 1).unwrap().ends[0].0, 1);
    // Fetched, there is room again, and the oldest go as new ones come.
    store.acknowledge(store.last(), 0).unwrap();
    assert!(store.has_room(10, 10 * room));
    for n in 0..3000 {
        number += 1;
        let sequence = store.append(&end(number)).unwrap();
        assert!(n % 50 > 0 || store.acknowledge(sequence, 0).is_ok());
        assert!(on_disk() <= BOUNDS.size && store.kept().0 <= BOUNDS.count + 200);
    }
    assert!(store.oldest() > 1 && store.by_name.len() == store.places.len());
    assert_eq!(store.look("m1").unwrap(), None);
    let again = open(folder.path());
    assert_eq!((again.last(), again.acknowledged()), (store.last(), store.acknowledged()));
    assert!(again.numbers().eq(store.numbers()));
}

#[test]
fn damage_before_the_end_is_told_with_the_file() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = open(folder.path());
    (1..=3).for_each(|n| assert_eq!(store.append(&end(n)).unwrap(), n));
    let path = folder.path().join(format!("{:020}.ends", 1));
    let mut bytes = fs::read(&path).unwrap();
    bytes[60] ^= 1;
    fs::write(&path, &bytes).unwrap();
    let error = Store::open(folder.path(), BOUNDS).unwrap_err().to_string();
    assert!(error.contains(".ends: damaged at byte"), "{error}");
}
