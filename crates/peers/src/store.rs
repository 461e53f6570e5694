//! Persistent storage in the state folder: the ledger in an embedded database, and the log of granted
//! claims. Damage is reported, and the forwarder continues without the data that can't be read.

use crate::claims::ClaimRecord;
use crate::fact::{Dot, Fact};
use crate::ledger::Watermarks;
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

/// Name of the database file in the state folder.
pub const STORE_FILE: &str = "peers.redb";
/// Maximum size of the store in bytes: a full ledger twice over, since a change needs a second copy.
pub const MAX_STORE_BYTES: u64 = 24 << 20;
/// Facts with the time since they were superseded, by identifier.
const FACTS_TABLE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("facts");
/// Single values by key; see the keys below.
const MARKS_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("marks");
/// Keys in the marks table: the ledger's bookkeeping, this forwarder's start number, the start numbers of
/// the others behind a prefix, and the store id of its messages.
const WATERMARKS_KEY: &str = "extent";
const START_KEY: &str = "start";
const SEEN_PREFIX: &str = "seen/";
const STORE_ID_KEY: &str = "memory";
/// Size of the database's page cache in bytes.
const CACHE_BYTES: usize = 1 << 20;
/// Maximum number of damaged stores that are kept beside the current one.
const MAX_DAMAGED_COPIES: usize = 5;

/// The store of one process.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    /// `None` if the database could not be opened: nothing is stored then, and every write fails.
    database: Option<Database>,
}

/// An opened store and its contents.
#[derive(Debug)]
pub struct Opened {
    /// The store.
    pub store: Store,
    /// The restored state, with the start number of this run.
    pub restored: Restored,
    /// Problems found, to be reported to operators.
    pub problems: Vec<String>,
}

/// Encodes a value behind the first 8 bytes of its SHA-256.
fn encode<T: Serialize>(value: &T) -> io::Result<Vec<u8>> {
    let bytes = postcard::to_stdvec(value).map_err(io::Error::other)?;
    let mut framed = Sha256::digest(&bytes)[..8].to_vec();
    framed.extend(bytes);
    Ok(framed)
}

/// Decodes a value and checks its hash. Returns `None` if either fails.
fn decode<T: DeserializeOwned>(framed: &[u8]) -> Option<T> {
    let (hash, bytes) = framed.split_at_checked(8)?;
    (Sha256::digest(bytes)[..8] == *hash).then(|| postcard::from_bytes(bytes).ok())?
}

fn to_io_error(error: impl Into<redb::Error>) -> io::Error {
    match error.into() {
        redb::Error::Io(e) => e,
        e => io::Error::other(e.to_string()),
    }
}

impl Store {
    /// Opens or creates the store in a state folder and counts this start. A file that is truncated,
    /// damaged or in another format is renamed, and if none can be opened the process runs without one: no
    /// condition of the store prevents a start.
    pub fn open(folder: &Path) -> Opened {
        let path = folder.join(STORE_FILE);
        let mut problems = Vec::new();
        let database = match try_open(&path) {
            Ok(database) => Some(database),
            Err(problem) => {
                problems.push(format!("{}: {problem}", path.display()));
                replace_store(&path, &mut problems)
            }
        };
        Self::read(path, database, problems)
    }

    /// Opens a store on another storage backend, for fault injection in tests.
    ///
    /// # Errors
    /// The backend does not contain a valid store.
    pub fn open_backend(backend: impl StorageBackend) -> Result<Opened, String> {
        let opened = catch_unwind(AssertUnwindSafe(|| builder().create_with_backend(backend)));
        let database = opened.map_err(|_| "damaged".to_string())?.map_err(|e| e.to_string())?;
        Ok(Self::read(PathBuf::from(STORE_FILE), Some(database), Vec::new()))
    }

    fn read(path: PathBuf, database: Option<Database>, mut problems: Vec<String>) -> Opened {
        let mut restored = Restored::default();
        if let Some(database) = &database {
            let read = catch_unwind(AssertUnwindSafe(|| read_all(database, &mut problems)));
            match read {
                Ok(Ok(read)) => restored = read,
                Ok(Err(e)) => problems.push(format!("{}: {e}", path.display())),
                Err(_) => problems.push(format!(
                    "{}: damaged; unreadable records are fetched from the other members",
                    path.display()
                )),
            }
        }
        restored.start += 1;
        let store = Store { path, database };
        if let Err(e) = store.write(&[Record::Start(restored.start)]) {
            problems.push(format!("{e}; orders given here are stored only by the other members"));
        }
        Opened { store, restored, problems }
    }

    /// Writes records in order, all or none. They are on stable storage when this returns.
    ///
    /// # Errors
    /// The write failed; none of the records is stored.
    pub fn write(&self, records: &[Record]) -> io::Result<()> {
        let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", self.path.display()));
        let Some(database) = &self.database else {
            return Err(named(io::Error::other("the store could not be opened at the start")));
        };
        let written = catch_unwind(AssertUnwindSafe(|| write_all(database, records)));
        written.unwrap_or_else(|_| Err(io::Error::other("the store is damaged"))).map_err(named)
    }
}

/// Name of the claim log in the state folder.
pub const CLAIMS_FILE: &str = "peers-claims";
/// The claim log is rewritten when it is longer than this many bytes. After a rewrite it counts as shorter
/// by half of that, so that a long snapshot does not cause a rewrite each time.
const REWRITE_ABOVE_BYTES: u64 = 4 << 20;
/// Identifies the current boot of the machine. What a process wrote without waiting for the disk is still
/// there as long as the boot is the same.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";

/// The log of claims granted to other members. It survives the process, but writes do not wait for the
/// disk: after a machine failure the log counts as lost, and this forwarder's replies do not count until it
/// has recovered its grants.
#[derive(Debug)]
pub struct ClaimLog {
    path: PathBuf,
    file: Option<std::fs::File>,
    length: u64,
    boot_id: String,
    /// The log has every grant, as long as the machine keeps running.
    complete: bool,
}

/// An opened claim log and its contents.
#[derive(Debug)]
pub struct OpenedClaims {
    /// The claim log.
    pub log: ClaimLog,
    /// The granted claims.
    pub records: Vec<ClaimRecord>,
    /// Whether that is every grant.
    pub complete: bool,
}

/// Frames a record of the claim log: length, first 4 bytes of its SHA-256, content.
fn frame(bytes: &[u8]) -> Vec<u8> {
    let mut framed = (bytes.len() as u32).to_le_bytes().to_vec();
    framed.extend(&Sha256::digest(bytes)[..4]);
    framed.extend(bytes);
    framed
}

/// Splits off the first frame: its content, and the bytes after it.
fn unframe(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (header, rest) = bytes.split_at_checked(8)?;
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    let (content, after) = rest.split_at_checked(length)?;
    (Sha256::digest(content)[..4] == header[4..]).then_some((content, after))
}

impl ClaimLog {
    /// Opens or creates the claim log in a state folder.
    pub fn open(folder: &Path) -> OpenedClaims {
        let path = folder.join(CLAIMS_FILE);
        let boot_id = std::fs::read_to_string(BOOT_ID_PATH).unwrap_or_default().trim().to_string();
        let bytes = std::fs::read(&path).unwrap_or_default();
        let (mut records, mut complete, mut rest) = (Vec::new(), false, &bytes[..]);
        if let Some((header, after)) = unframe(rest) {
            complete = !boot_id.is_empty() && header == boot_id.as_bytes();
            rest = after;
            while let Some((content, after)) = unframe(rest) {
                rest = after;
                match postcard::from_bytes(content) {
                    Ok(record) => records.push(record),
                    Err(_) => complete = false,
                }
            }
        }
        // An incomplete record at the end had no effect: the process was killed while writing it, before
        // any reply was sent.
        let mut log = ClaimLog { path, file: None, length: 0, boot_id, complete };
        complete &= log.rewrite(&records).is_ok();
        OpenedClaims { log, records, complete }
    }

    fn rewrite(&mut self, snapshot: &[ClaimRecord]) -> io::Result<()> {
        // By this header the next start recognizes whether records may be missing.
        let mut bytes = frame(if self.complete { self.boot_id.as_bytes() } else { b"" });
        for record in snapshot {
            bytes.extend(frame(&postcard::to_stdvec(record).map_err(io::Error::other)?));
        }
        let new = self.path.with_extension("new");
        std::fs::write(&new, &bytes)?;
        std::fs::rename(&new, &self.path)?;
        self.file = Some(std::fs::OpenOptions::new().append(true).open(&self.path)?);
        self.length = bytes.len() as u64;
        Ok(())
    }

    /// Rewrites the log and records whether it has every grant.
    ///
    /// # Errors
    /// The write failed; the grants would be unknown after a restart.
    pub fn set_complete(&mut self, complete: bool, snapshot: &[ClaimRecord]) -> io::Result<()> {
        self.complete = complete;
        self.rewrite(snapshot).map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", self.path.display())))
    }

    /// Appends records. `snapshot` returns all current grants, for rewriting the log once it is long.
    ///
    /// # Errors
    /// The write failed; the records would be unknown after a restart.
    pub fn append(
        &mut self, records: &[ClaimRecord], snapshot: impl FnOnce() -> Vec<ClaimRecord>,
    ) -> io::Result<()> {
        use std::io::Write;
        let named = |path: &Path, e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
        let mut bytes = Vec::new();
        for record in records {
            bytes.extend(frame(&postcard::to_stdvec(record).map_err(io::Error::other)?));
        }
        if self.length > REWRITE_ABOVE_BYTES || self.file.is_none() {
            let all = snapshot();
            self.rewrite(&all).map_err(|e| named(&self.path, e))?;
            // A snapshot may be long by itself.
            self.length = self.length.saturating_sub(REWRITE_ABOVE_BYTES / 2);
            return Ok(());
        }
        let Some(file) = &mut self.file else { return Ok(()) };
        if let Err(e) = file.write_all(&bytes) {
            // The file no longer has every grant, so a restart must not rely on it. The next append
            // rewrites it.
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
    builder.set_cache_size(CACHE_BYTES);
    builder
}

fn try_open(path: &Path) -> Result<Database, String> {
    let opened = catch_unwind(AssertUnwindSafe(|| {
        let mut database = builder().create(path)?;
        // Pages carry checksums; a page changed on disk must not be taken for an order.
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

/// Renames a file that can't be read and creates a new one.
fn replace_store(path: &Path, problems: &mut Vec<String>) -> Option<Database> {
    let copy_path = |n: usize| path.with_extension(format!("redb.damaged-{n}"));
    // The oldest copies are the most useful for diagnosis; once the limit is reached, the last one is
    // overwritten.
    let copy = (1..MAX_DAMAGED_COPIES)
        .map(copy_path)
        .find(|p| !p.exists())
        .unwrap_or_else(|| copy_path(MAX_DAMAGED_COPIES));
    if path.exists() {
        match std::fs::rename(path, &copy) {
            Ok(()) => problems.push(format!(
                "set aside as {}; its contents are fetched from the other members",
                copy.display()
            )),
            Err(e) => problems.push(format!("{}: {e}", copy.display())),
        }
    }
    match try_open(path) {
        Ok(database) => Some(database),
        Err(problem) => {
            problems.push(format!("{}: {problem}: running without a store", path.display()));
            None
        }
    }
}

fn read_all(database: &Database, problems: &mut Vec<String>) -> io::Result<Restored> {
    let mut restored = Restored::default();
    let read = database.begin_read().map_err(to_io_error)?;
    let missing = |e: &redb::TableError| matches!(e, redb::TableError::TableDoesNotExist(_));
    match read.open_table(MARKS_TABLE) {
        Ok(marks) => {
            for entry in marks.iter().map_err(to_io_error)? {
                let (key, value) = entry.map_err(to_io_error)?;
                let (key, value) = (key.value(), value.value());
                match key {
                    START_KEY => restored.start = decode(value).unwrap_or(0),
                    STORE_ID_KEY => restored.store_id = decode(value).unwrap_or(0),
                    WATERMARKS_KEY => match decode::<Watermarks>(value) {
                        Some(watermarks) => restored.watermarks = watermarks,
                        None => problems.push(format!("the mark {key} can't be read")),
                    },
                    _ => {
                        if let Some((name, start)) = key.strip_prefix(SEEN_PREFIX).zip(decode(value)) {
                            restored.seen_starts.insert(name.to_string(), start);
                        }
                    }
                }
            }
        }
        Err(e) if missing(&e) => {}
        Err(e) => return Err(to_io_error(e)),
    }
    match read.open_table(FACTS_TABLE) {
        Ok(facts) => {
            for entry in facts.iter().map_err(to_io_error)? {
                let (key, value) = entry.map_err(to_io_error)?;
                let dot = postcard::from_bytes::<Dot>(key.value()).ok();
                let fact = decode::<(Fact, Option<u64>)>(value.value())
                    .filter(|(f, _)| Some(&f.dot) == dot.as_ref());
                match (fact, dot) {
                    (Some(fact), _) => restored.facts.push(fact),
                    (None, Some(dot)) => {
                        problems.push(format!("{dot} can't be read; it is fetched from another member"));
                        restored.unreadable.push(dot);
                    }
                    (None, None) => problems.push("skipped a fact whose identifier can't be read".into()),
                }
            }
        }
        Err(e) if missing(&e) => {}
        Err(e) => return Err(to_io_error(e)),
    }
    Ok(restored)
}

fn write_all(database: &Database, records: &[Record]) -> io::Result<()> {
    let write = database.begin_write().map_err(to_io_error)?;
    {
        let mut facts = write.open_table(FACTS_TABLE).map_err(to_io_error)?;
        let mut marks = write.open_table(MARKS_TABLE).map_err(to_io_error)?;
        let key = |dot: &Dot| postcard::to_stdvec(dot).map_err(io::Error::other);
        // If a mark is written more than once, the last value counts.
        let mut last: BTreeMap<String, Vec<u8>> = BTreeMap::new();
        for record in records {
            match record {
                Record::Fact(fact, superseded_ms) => {
                    let value = encode(&(fact, superseded_ms))?;
                    facts.insert(key(&fact.dot)?.as_slice(), value.as_slice()).map_err(to_io_error)?;
                }
                Record::Drop(dot) => drop(facts.remove(key(dot)?.as_slice()).map_err(to_io_error)?),
                Record::Watermarks(watermarks) => {
                    drop(last.insert(WATERMARKS_KEY.into(), encode(watermarks)?))
                }
                Record::StoreId(store_id) => drop(last.insert(STORE_ID_KEY.into(), encode(store_id)?)),
                Record::Start(start) => drop(last.insert(START_KEY.into(), encode(start)?)),
                Record::SeenStart(name, start) => {
                    drop(last.insert(format!("{SEEN_PREFIX}{name}"), encode(start)?))
                }
            }
        }
        for (name, value) in last {
            marks.insert(name.as_str(), value.as_slice()).map_err(to_io_error)?;
        }
    }
    write.commit().map_err(to_io_error)
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
            ledger.insert(fact.clone(), 0, None);
            fact
        };
        (0..count).map(state).collect()
    }

    #[test]
    fn stored_records_are_restored_and_each_start_has_its_own_number() {
        let folder = tempfile::tempdir().unwrap();
        let all = facts(3);
        let opened = Store::open(folder.path());
        assert!(opened.problems.is_empty() && opened.restored.start == 1 && opened.restored.facts.is_empty());
        let records = [
            Record::Fact(all[0].clone(), None),
            Record::Fact(all[1].clone(), Some(5)),
            Record::Fact(all[2].clone(), None),
            Record::Drop(all[2].dot.clone()),
            Record::SeenStart("b".into(), 7),
            Record::Watermarks(Watermarks { runs: vec![(all[0].dot.run.clone(), 3, 3)], retired: vec![] }),
        ];
        opened.store.write(&records).unwrap();
        drop(opened);
        let Opened { restored, problems, store } = Store::open(folder.path());
        assert!(problems.is_empty() && restored.start == 2, "{problems:?}");
        assert_eq!(restored.facts, [(all[0].clone(), None), (all[1].clone(), Some(5))]);
        assert_eq!(restored.seen_starts["b"], 7);
        store.write(&[Record::Start(9)]).unwrap();
        drop(store);
        assert_eq!(Store::open(folder.path()).restored.start, 10);
        let size = std::fs::metadata(folder.path().join(STORE_FILE)).unwrap().len();
        assert!(size < MAX_STORE_BYTES / 4, "{size} bytes for a nearly empty store");
    }

    /// A full ledger fits the space that the check of the site file reserves for it.
    #[test]
    fn a_store_with_a_full_ledger_stays_within_its_size_limit() {
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
            opened.store.write(&records).unwrap();
        }
        for n in 0..50 {
            opened.store.write(&[Record::Drop(fact(n + 1).dot)]).unwrap();
        }
        let size = std::fs::metadata(folder.path().join(STORE_FILE)).unwrap().len();
        assert!(size <= MAX_STORE_BYTES, "{size} bytes");
    }

    #[test]
    fn an_invalid_truncated_or_changed_file_is_set_aside_and_the_start_continues() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join(STORE_FILE);
        let all = facts(20);
        let opened = Store::open(folder.path());
        let records: Vec<Record> = all.iter().map(|f| Record::Fact(f.clone(), None)).collect();
        opened.store.write(&records).unwrap();
        drop(opened);
        let sound = std::fs::read(&path).unwrap();
        let mut random = fastrand::Rng::with_seed(3);
        let mut fully_restored = 0;
        for round in 0..60 {
            let mut bytes = sound.clone();
            match round % 3 {
                0 => bytes.truncate(random.usize(0..sound.len())),
                1 => (0..8).for_each(|_| bytes[random.usize(0..sound.len())] ^= 0x55),
                _ => bytes = (0..random.usize(1..9_000)).map(|_| random.u8(..)).collect(),
            }
            std::fs::write(&path, &bytes).unwrap();
            let opened = Store::open(folder.path());
            // Whatever is restored must be as it was written.
            assert!(
                opened
                    .restored
                    .facts
                    .iter()
                    .all(|(f, superseded_ms)| superseded_ms.is_none() && all.contains(f)),
                "round {round}"
            );
            fully_restored += usize::from(opened.restored.facts.len() == all.len());
            assert!(
                opened.restored.facts.len() == all.len() || !opened.problems.is_empty(),
                "round {round}: silent"
            );
            opened.store.write(&records[..1]).unwrap();
            drop(opened);
            let (_, problems) = {
                let o = Store::open(folder.path());
                (o.store, o.problems)
            };
            assert!(problems.is_empty(), "round {round}: {problems:?}");
        }
        assert!(fully_restored < 60);
        let files = std::fs::read_dir(folder.path()).unwrap().count();
        assert!((3..=6).contains(&files), "{files} files");
    }

    /// A backend that fails from a given write on. Earlier writes are there, the last one perhaps only in
    /// part.
    #[derive(Debug, Clone, Default)]
    struct FaultyBackend {
        bytes: Arc<Mutex<Vec<u8>>>,
        /// Writes that still succeed; the last of them is torn.
        remaining_writes: Arc<Mutex<Option<usize>>>,
    }

    impl FaultyBackend {
        fn check_alive(&self) -> io::Result<()> {
            match *self.remaining_writes.lock().unwrap() {
                Some(0) => Err(io::Error::other("dead")),
                _ => Ok(()),
            }
        }
    }

    impl StorageBackend for FaultyBackend {
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
            self.check_alive()?;
            self.bytes.lock().unwrap().resize(len as usize, 0);
            Ok(())
        }

        fn sync_data(&self) -> Result<(), io::Error> {
            self.check_alive()
        }

        fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
            self.check_alive()?;
            let mut remaining_writes = self.remaining_writes.lock().unwrap();
            let part = match &mut *remaining_writes {
                Some(remaining_writes) => {
                    *remaining_writes -= 1;
                    if *remaining_writes == 0 {
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

    /// Kills the process at every write of a series of orders: each order must be stored completely or not
    /// at all, and every acknowledged one must be stored.
    #[test]
    fn acknowledged_orders_survive_a_kill_at_any_write() {
        let all = facts(4);
        let mut writes = 0;
        let mut died = 0;
        loop {
            writes += 1;
            let backend = FaultyBackend::default();
            drop(Store::open_backend(backend.clone()).unwrap());
            *backend.remaining_writes.lock().unwrap() = Some(writes);
            let mut acknowledged = 0;
            // Opening writes the start number, so the failure may happen here.
            if let Ok(opened) = Store::open_backend(backend.clone()) {
                for fact in &all {
                    if opened.store.write(&[Record::Fact(fact.clone(), None)]).is_err() {
                        break;
                    }
                    acknowledged += 1;
                }
                // After the kill nothing may be written any more, whatever the store does when it is
                // dropped.
                let through = backend.remaining_writes.lock().unwrap().is_some_and(|left| left > 0);
                if through && acknowledged == all.len() {
                    break;
                }
                *backend.remaining_writes.lock().unwrap() = Some(0);
            }
            died += 1;
            *backend.remaining_writes.lock().unwrap() = None;
            let restored = Store::open_backend(backend).unwrap().restored;
            let stored: Vec<&Fact> = restored.facts.iter().map(|(f, _)| f).collect();
            assert!(
                stored.len() >= acknowledged,
                "killed at write {writes}: {} of {acknowledged}",
                stored.len()
            );
            assert!(stored.iter().zip(&all).all(|(a, b)| *a == b), "killed at write {writes}");
        }
        assert!(died > 10, "{died} kills");
    }
}
