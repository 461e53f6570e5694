//! The ledger on disk: an embedded store in the state folder. What it can't read it tells, and goes on without.

use crate::claims::Kept;
use crate::fact::{Dot, Fact};
use crate::ledger::Extent;
use crate::machine::{Record, Restored};
use redb::{
    Database, DatabaseError, ReadableDatabase, ReadableTable, StorageBackend, StorageError, TableDefinition,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

/// Name of the file in the state folder.
pub const FILE: &str = "peers.redb";
/// Bytes that the store may come to have: what fits a full ledger twice over, as a change of it needs.
pub const ROOM: u64 = 24 << 20;
const FACTS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("facts");
const MARKS: TableDefinition<&str, &[u8]> = TableDefinition::new("marks");
/// Marks: the extent, this forwarder's start number, and the highest of each other behind a prefix.
const EXTENT: &str = "extent";
const START: &str = "start";
const SEEN: &str = "seen/";
const MEMORY: &str = "memory";
/// Memory that the store may use for its pages.
const CACHE: usize = 1 << 20;
/// Damaged stores that are kept beside the present one.
const ASIDE: usize = 5;

/// The store of one process.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    /// None where it could not be opened: nothing is kept, and everything says so.
    database: Option<Database>,
}

/// A store that has been opened, and what was in it.
#[derive(Debug)]
pub struct Opened {
    /// The store.
    pub store: Store,
    /// What it has given back, with the start number of this life.
    pub restored: Restored,
    /// What was wrong with it, for the operators.
    pub told: Vec<String>,
}

fn encode<T: Serialize>(value: &T) -> io::Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(value).map_err(io::Error::other)?;
    let mut framed = Sha256::digest(&bytes)[..8].to_vec();
    framed.extend(bytes);
    Ok(framed)
}

fn decode<T: DeserializeOwned>(framed: &[u8]) -> Option<T> {
    let (sum, bytes) = framed.split_at_checked(8)?;
    (Sha256::digest(bytes)[..8] == *sum).then(|| postcard::from_bytes(bytes).ok())?
}

fn other(error: impl Into<redb::Error>) -> io::Error {
    match error.into() {
        redb::Error::Io(e) => e,
        e => io::Error::other(e.to_string()),
    }
}

impl Store {
    /// Opens the store of a state folder, or begins one, and counts this start. A file that is torn, damaged or of another
    /// format is set aside, and one that can't be opened at all is gone without: no state of a store keeps a forwarder
    /// from starting.
    pub fn open(folder: &Path) -> Opened {
        let path = folder.join(FILE);
        let mut told = Vec::new();
        let database = match attempt(&path) {
            Ok(database) => Some(database),
            Err(problem) => {
                told.push(format!("{}: {problem}", path.display()));
                begin_anew(&path, &mut told)
            }
        };
        Self::read(path, database, told)
    }

    /// The same on another medium, for tests that break it.
    ///
    /// # Errors
    /// It is no store, or damaged.
    pub fn on(medium: impl StorageBackend) -> Result<Opened, String> {
        let opened = catch_unwind(AssertUnwindSafe(|| builder().create_with_backend(medium)));
        let database = opened.map_err(|_| "damaged".to_string())?.map_err(|e| e.to_string())?;
        Ok(Self::read(PathBuf::from(FILE), Some(database), Vec::new()))
    }

    fn read(path: PathBuf, database: Option<Database>, mut told: Vec<String>) -> Opened {
        let mut restored = Restored::default();
        if let Some(database) = &database {
            let read = catch_unwind(AssertUnwindSafe(|| read_all(database, &mut told)));
            match read {
                Ok(Ok(read)) => restored = read,
                Ok(Err(e)) => told.push(format!("{}: {e}", path.display())),
                Err(_) => {
                    told.push(format!("{}: damaged; what could not be read is fetched again", path.display()))
                }
            }
        }
        restored.start += 1;
        let store = Store { path, database };
        if let Err(e) = store.keep(&[Record::Start(restored.start)]) {
            told.push(format!("{e}; orders of this forwarder are kept by the others alone"));
        }
        Opened { store, restored, told }
    }

    /// Keeps records in their order, all or none, on stable storage when it comes back.
    ///
    /// # Errors
    /// It could not be written: nothing of them is kept.
    pub fn keep(&self, records: &[Record]) -> io::Result<()> {
        let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", self.path.display()));
        let Some(database) = &self.database else {
            return Err(named(io::Error::other("the store could not be opened at the start")));
        };
        let written = catch_unwind(AssertUnwindSafe(|| write_all(database, records)));
        written.unwrap_or_else(|_| Err(io::Error::other("the store is damaged"))).map_err(named)
    }
}

/// Name of the file of claims in the state folder.
pub const CLAIMS: &str = "peers-claims";
/// The log is written anew when it is longer than this, and than twice what stands.
const LONG: u64 = 4 << 20;
/// Where the system tells which start of the machine this is: what a process wrote before is there as long as it is the same.
const BOOT: &str = "/proc/sys/kernel/random/boot_id";

/// What this forwarder has granted to others, in a file that outlives the process. It does not wait for the disk: after
/// the machine has gone down it counts as lost, and so does its owner's vote for a while.
#[derive(Debug)]
pub struct ClaimLog {
    path: PathBuf,
    file: Option<std::fs::File>,
    length: u64,
    boot: String,
    /// It has all that was granted, as long as the machine runs.
    whole: bool,
}

/// A log of claims that has been opened.
#[derive(Debug)]
pub struct OpenedClaims {
    /// The log.
    pub log: ClaimLog,
    /// What was granted.
    pub kept: Vec<Kept>,
    /// Whether that is all of it.
    pub whole: bool,
}

fn frame(bytes: &[u8]) -> Vec<u8> {
    let mut framed = (bytes.len() as u32).to_le_bytes().to_vec();
    framed.extend(&Sha256::digest(bytes)[..4]);
    framed.extend(bytes);
    framed
}

/// The first frame's content, and what is behind it.
fn unframe(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (head, rest) = bytes.split_at_checked(8)?;
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let (content, behind) = rest.split_at_checked(length)?;
    (Sha256::digest(content)[..4] == head[4..]).then_some((content, behind))
}

impl ClaimLog {
    /// Opens the log of a state folder, or begins one.
    pub fn open(folder: &Path) -> OpenedClaims {
        let path = folder.join(CLAIMS);
        let boot = std::fs::read_to_string(BOOT).unwrap_or_default().trim().to_string();
        let bytes = std::fs::read(&path).unwrap_or_default();
        let (mut kept, mut whole, mut rest) = (Vec::new(), false, &bytes[..]);
        if let Some((head, behind)) = unframe(rest) {
            whole = !boot.is_empty() && head == boot.as_bytes();
            rest = behind;
            while let Some((content, behind)) = unframe(rest) {
                rest = behind;
                match postcard::from_bytes(content) {
                    Ok(record) => kept.push(record),
                    Err(_) => whole = false,
                }
            }
        }
        // A part of a record at the end was not acted on: its process was killed while it wrote it.
        let mut log = ClaimLog { path, file: None, length: 0, boot, whole };
        whole &= log.write_anew(&kept).is_ok();
        OpenedClaims { log, kept, whole }
    }

    fn write_anew(&mut self, standing: &[Kept]) -> io::Result<()> {
        // By this head the next start sees whether anything can be missing.
        let mut bytes = frame(if self.whole { self.boot.as_bytes() } else { b"" });
        for record in standing {
            bytes.extend(frame(&postcard::to_stdvec(record).map_err(io::Error::other)?));
        }
        let new = self.path.with_extension("new");
        std::fs::write(&new, &bytes)?;
        std::fs::rename(&new, &self.path)?;
        self.file = Some(std::fs::OpenOptions::new().append(true).open(&self.path)?);
        self.length = bytes.len() as u64;
        Ok(())
    }

    /// Begins it anew as one that has all that was granted, or as one that has not.
    ///
    /// # Errors
    /// It could not be written: a restart would not know of what was granted.
    pub fn is_whole(&mut self, whole: bool, standing: &[Kept]) -> io::Result<()> {
        self.whole = whole;
        self.write_anew(standing)
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", self.path.display())))
    }

    /// Appends records; `standing` gives all that stands, where the log has become long.
    ///
    /// # Errors
    /// They could not be written: a restart would not know of them.
    pub fn append(&mut self, records: &[Kept], standing: impl FnOnce() -> Vec<Kept>) -> io::Result<()> {
        use std::io::Write;
        let named = |path: &Path, e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
        let mut bytes = Vec::new();
        for record in records {
            bytes.extend(frame(&postcard::to_stdvec(record).map_err(io::Error::other)?));
        }
        if self.length > LONG || self.file.is_none() {
            let all = standing();
            self.write_anew(&all).map_err(|e| named(&self.path, e))?;
            // What stands may be long by itself.
            self.length = self.length.saturating_sub(LONG / 2);
            return Ok(());
        }
        let Some(file) = &mut self.file else { return Ok(()) };
        if let Err(e) = file.write_all(&bytes) {
            // What is there is not all any more: a restart must not count on it. The next one is written anew.
            self.file = None;
            let _ = std::fs::remove_file(&self.path);
            return Err(named(&self.path, e));
        }
        self.length += bytes.len() as u64;
        Ok(())
    }
}

fn builder() -> redb::Builder {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE);
    builder
}

fn attempt(path: &Path) -> Result<Database, String> {
    let opened = catch_unwind(AssertUnwindSafe(|| {
        let mut database = builder().create(path)?;
        // Pages have check sums: one that was changed on the disk must not be taken for an order.
        database.check_integrity()?;
        Ok::<_, DatabaseError>(database)
    }));
    match opened {
        Ok(Ok(database)) => Ok(database),
        Ok(Err(DatabaseError::Storage(StorageError::Io(e)))) => Err(e.to_string()),
        Ok(Err(e)) => Err(e.to_string()),
        Err(_) => Err("damaged".into()),
    }
}

/// Sets a file that can't be read aside, and begins another.
fn begin_anew(path: &Path, told: &mut Vec<String>) -> Option<Database> {
    let place = |n: usize| path.with_extension(format!("redb.damaged-{n}"));
    // The oldest copies are the ones worth looking at; where there are many the last is written over.
    let aside = (1..ASIDE).map(place).find(|p| !p.exists()).unwrap_or_else(|| place(ASIDE));
    if path.exists() {
        match std::fs::rename(path, &aside) {
            Ok(()) => told.push(format!(
                "it stands aside as {}; what the others know is fetched again",
                aside.display()
            )),
            Err(e) => told.push(format!("{}: {e}", aside.display())),
        }
    }
    match attempt(path) {
        Ok(database) => Some(database),
        Err(problem) => {
            told.push(format!("{}: {problem}: nothing is kept there in this run", path.display()));
            None
        }
    }
}

fn read_all(database: &Database, told: &mut Vec<String>) -> io::Result<Restored> {
    let mut restored = Restored::default();
    let read = database.begin_read().map_err(other)?;
    let missing = |e: &redb::TableError| matches!(e, redb::TableError::TableDoesNotExist(_));
    match read.open_table(MARKS) {
        Ok(marks) => {
            for entry in marks.iter().map_err(other)? {
                let (key, value) = entry.map_err(other)?;
                let (key, value) = (key.value(), value.value());
                match key {
                    START => restored.start = decode(value).unwrap_or(0),
                    MEMORY => restored.memory = decode(value).unwrap_or(0),
                    EXTENT => match decode::<Extent>(value) {
                        Some(extent) => restored.extent = extent,
                        None => told.push(format!("the mark {key} can't be read")),
                    },
                    _ => {
                        if let Some((name, start)) = key.strip_prefix(SEEN).zip(decode(value)) {
                            restored.seen.insert(name.to_string(), start);
                        }
                    }
                }
            }
        }
        Err(e) if missing(&e) => {}
        Err(e) => return Err(other(e)),
    }
    match read.open_table(FACTS) {
        Ok(facts) => {
            for entry in facts.iter().map_err(other)? {
                let (key, value) = entry.map_err(other)?;
                let dot = postcard::from_bytes::<Dot>(key.value()).ok();
                let fact = decode::<(Fact, Option<u64>)>(value.value())
                    .filter(|(f, _)| Some(&f.dot) == dot.as_ref());
                match (fact, dot) {
                    (Some(fact), _) => restored.facts.push(fact),
                    (None, Some(dot)) => {
                        told.push(format!("{dot} can't be read; it is fetched again"));
                        restored.lost.push(dot);
                    }
                    (None, None) => told.push("a fact without a name that can be read is passed over".into()),
                }
            }
        }
        Err(e) if missing(&e) => {}
        Err(e) => return Err(other(e)),
    }
    Ok(restored)
}

fn write_all(database: &Database, records: &[Record]) -> io::Result<()> {
    let write = database.begin_write().map_err(other)?;
    {
        let mut facts = write.open_table(FACTS).map_err(other)?;
        let mut marks = write.open_table(MARKS).map_err(other)?;
        let key = |dot: &Dot| postcard::to_stdvec(dot).map_err(io::Error::other);
        // Of marks that are written more than once the last counts.
        let mut last: BTreeMap<String, Vec<u8>> = BTreeMap::new();
        for record in records {
            match record {
                Record::Fact(fact, dead) => {
                    let value = encode(&(fact, dead))?;
                    facts.insert(key(&fact.dot)?.as_slice(), value.as_slice()).map_err(other)?;
                }
                Record::Drop(dot) => drop(facts.remove(key(dot)?.as_slice()).map_err(other)?),
                Record::Extent(extent) => drop(last.insert(EXTENT.into(), encode(extent)?)),
                Record::Memory(memory) => drop(last.insert(MEMORY.into(), encode(memory)?)),
                Record::Start(start) => drop(last.insert(START.into(), encode(start)?)),
                Record::Seen(name, start) => drop(last.insert(format!("{SEEN}{name}"), encode(start)?)),
            }
        }
        for (name, value) in last {
            marks.insert(name.as_str(), value.as_slice()).map_err(other)?;
        }
    }
    write.commit().map_err(other)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fact::{FactAction, Run, Subject};
    use crate::ledger::Ledger;
    use std::sync::{Arc, Mutex};

    fn facts(count: usize) -> Vec<Fact> {
        let run = Run { name: "a".into(), start: 1, salt: 9 };
        let mut ledger = Ledger::default();
        let state = |n: usize| {
            let subject = Subject::Endpoint(format!("e{n}"));
            let fact = ledger.compose(&run, 0, subject, FactAction::Close { for_ms: 0 });
            ledger.take(fact.clone(), 0, None);
            fact
        };
        (0..count).map(state).collect()
    }

    #[test]
    fn what_is_kept_comes_back_and_each_start_has_a_number_of_its_own() {
        let folder = tempfile::tempdir().unwrap();
        let all = facts(3);
        let opened = Store::open(folder.path());
        assert!(opened.told.is_empty() && opened.restored.start == 1 && opened.restored.facts.is_empty());
        let records = [
            Record::Fact(all[0].clone(), None),
            Record::Fact(all[1].clone(), Some(5)),
            Record::Fact(all[2].clone(), None),
            Record::Drop(all[2].dot.clone()),
            Record::Seen("b".into(), 7),
            Record::Extent(Extent { runs: vec![(all[0].dot.run.clone(), 3, 3)], retired: vec![] }),
        ];
        opened.store.keep(&records).unwrap();
        drop(opened);
        let Opened { restored, told, store } = Store::open(folder.path());
        assert!(told.is_empty() && restored.start == 2, "{told:?}");
        assert_eq!(restored.facts, [(all[0].clone(), None), (all[1].clone(), Some(5))]);
        assert_eq!(restored.seen["b"], 7);
        store.keep(&[Record::Start(9)]).unwrap();
        drop(store);
        assert_eq!(Store::open(folder.path()).restored.start, 10);
        let size = std::fs::metadata(folder.path().join(FILE)).unwrap().len();
        assert!(size < ROOM / 4, "{size} bytes for next to nothing");
    }

    /// A full ledger fits the room that the site file's bound counts for it.
    #[test]
    fn a_store_of_many_facts_stays_within_its_room() {
        let folder = tempfile::tempdir().unwrap();
        let opened = Store::open(folder.path());
        let name = "n".repeat(60);
        let run = Run { name: name.clone(), start: 1, salt: 9 };
        let dots: Vec<Dot> = (1..=3).map(|seq| Dot { run: run.clone(), seq }).collect();
        let fact = |n: u64| Fact {
            dot: Dot { run: run.clone(), seq: n },
            lamport: n,
            at: n,
            subject: Subject::Endpoint(format!("{name}{n}")),
            action: FactAction::Open,
            supersedes: dots.clone(),
        };
        for batch in 0..16u64 {
            let records: Vec<Record> =
                (0..1024).map(|n| Record::Fact(fact(1024 * batch + n + 1), None)).collect();
            opened.store.keep(&records).unwrap();
        }
        for n in 0..50 {
            opened.store.keep(&[Record::Drop(fact(n + 1).dot)]).unwrap();
        }
        let size = std::fs::metadata(folder.path().join(FILE)).unwrap().len();
        assert!(size <= ROOM, "{size} bytes");
    }

    #[test]
    fn a_file_that_is_none_is_torn_or_changed_stands_aside_and_the_start_goes_on() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join(FILE);
        let all = facts(20);
        let opened = Store::open(folder.path());
        let records: Vec<Record> = all.iter().map(|f| Record::Fact(f.clone(), None)).collect();
        opened.store.keep(&records).unwrap();
        drop(opened);
        let sound = std::fs::read(&path).unwrap();
        let mut random = fastrand::Rng::with_seed(3);
        let mut whole = 0;
        for round in 0..60 {
            let mut bytes = sound.clone();
            match round % 3 {
                0 => bytes.truncate(random.usize(0..sound.len())),
                1 => (0..8).for_each(|_| bytes[random.usize(0..sound.len())] ^= 0x55),
                _ => bytes = (0..random.usize(1..9_000)).map(|_| random.u8(..)).collect(),
            }
            std::fs::write(&path, &bytes).unwrap();
            let opened = Store::open(folder.path());
            // Whatever comes back is as it was written.
            assert!(
                opened.restored.facts.iter().all(|(f, dead)| dead.is_none() && all.contains(f)),
                "round {round}"
            );
            whole += usize::from(opened.restored.facts.len() == all.len());
            assert!(
                opened.restored.facts.len() == all.len() || !opened.told.is_empty(),
                "round {round}: silent"
            );
            opened.store.keep(&records[..1]).unwrap();
            drop(opened);
            let (_, told) = {
                let o = Store::open(folder.path());
                (o.store, o.told)
            };
            assert!(told.is_empty(), "round {round}: {told:?}");
        }
        assert!(whole < 60);
        let aside = std::fs::read_dir(folder.path()).unwrap().count();
        assert!((3..=6).contains(&aside), "{aside} files");
    }

    /// A medium that dies at a write: what was written before is there, the last perhaps in part.
    #[derive(Debug, Clone, Default)]
    struct Medium {
        bytes: Arc<Mutex<Vec<u8>>>,
        /// Writes that still go through; the next is torn.
        left: Arc<Mutex<Option<usize>>>,
    }

    impl Medium {
        fn alive(&self) -> io::Result<()> {
            match *self.left.lock().unwrap() {
                Some(0) => Err(io::Error::other("dead")),
                _ => Ok(()),
            }
        }
    }

    impl StorageBackend for Medium {
        fn len(&self) -> Result<u64, io::Error> {
            Ok(self.bytes.lock().unwrap().len() as u64)
        }

        fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
            let bytes = self.bytes.lock().unwrap();
            let part = bytes.get(offset as usize..offset as usize + out.len());
            out.copy_from_slice(part.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?);
            Ok(())
        }

        fn set_len(&self, len: u64) -> Result<(), io::Error> {
            self.alive()?;
            self.bytes.lock().unwrap().resize(len as usize, 0);
            Ok(())
        }

        fn sync_data(&self) -> Result<(), io::Error> {
            self.alive()
        }

        fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
            self.alive()?;
            let mut left = self.left.lock().unwrap();
            let part = match &mut *left {
                Some(left) => {
                    *left -= 1;
                    if *left == 0 {
                        data.len() / 2
                    } else {
                        data.len()
                    }
                }
                None => data.len(),
            };
            let offset = offset as usize;
            self.bytes.lock().unwrap()[offset..offset + part].copy_from_slice(&data[..part]);
            Ok(())
        }
    }

    /// Killed at every write of some orders: each is wholly there or wholly not, and those that were acknowledged are.
    #[test]
    fn killed_at_every_write_it_has_what_was_acknowledged() {
        let all = facts(4);
        let mut writes = 0;
        let mut died = 0;
        loop {
            writes += 1;
            let medium = Medium::default();
            drop(Store::on(medium.clone()).unwrap());
            *medium.left.lock().unwrap() = Some(writes);
            let mut acknowledged = 0;
            // Opening counts the start, which may be where it dies.
            if let Ok(opened) = Store::on(medium.clone()) {
                for fact in &all {
                    if opened.store.keep(&[Record::Fact(fact.clone(), None)]).is_err() {
                        break;
                    }
                    acknowledged += 1;
                }
                // The process is gone: nothing is written any more, whatever the store would do at its end.
                let through = medium.left.lock().unwrap().is_some_and(|left| left > 0);
                if through && acknowledged == all.len() {
                    break;
                }
                *medium.left.lock().unwrap() = Some(0);
            }
            died += 1;
            *medium.left.lock().unwrap() = None;
            let restored = Store::on(medium).unwrap().restored;
            let there: Vec<&Fact> = restored.facts.iter().map(|(f, _)| f).collect();
            assert!(
                there.len() >= acknowledged,
                "killed at write {writes}: {} of {acknowledged}",
                there.len()
            );
            assert!(there.iter().zip(&all).all(|(a, b)| *a == b), "killed at write {writes}");
        }
        assert!(died > 10, "{died} kills");
    }
}
