//! Compares the journal with its version 1, fjall and redb on the same work in one run: `cargo bench -p
//! foldtrack-journal`. With `-- NAME`, runs one benchmark: appends, pause, recovery, amplification, room or
//! cold.
//!
//! The work is that of a message: it is accepted, and finished a while later. Concurrent writers share syncs:
//! one sync follows as many records as there are writers.

mod v1;

use fjall::{KeyspaceCreateOptions, PersistMode};
use foldtrack_journal::disk::Disk;
use foldtrack_journal::{Accepted, Journal, JournalDir, JournalOptions, Record};
use redb::{Durability, ReadableDatabase, ReadableTable, TableDefinition};
use std::io;
use std::num::NonZeroU64;
use std::path::Path;
use std::time::{Duration, Instant};

/// Table of the messages in redb.
const TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("messages");
/// Messages that are unfinished at any time in the append benchmark.
const HELD: u64 = 500;

/// Reads a number from the environment, with a default.
fn number_from_env(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// An incompressible body, since some of the stores compress.
fn incompressible_body(number: u64, length: usize) -> Vec<u8> {
    let mut random = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut words = std::iter::repeat_with(move || {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        random.to_le_bytes()
    });
    let mut body: Vec<u8> = words.by_ref().take(length.div_ceil(8)).flatten().collect();
    body.truncate(length);
    body
}

fn message(number: u64, body: usize) -> Accepted {
    Accepted {
        id: format!("id-{number:012}"),
        class: "record-change".into(),
        destination: 7,
        key: "pupil-17".into(),
        idempotency_key: Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211".into()),
        retry: None,
        expires: 1 << 50,
        body: incompressible_body(number, body),
    }
}

fn options(capacity: u64, durable: bool) -> JournalOptions {
    JournalOptions {
        capacity_bytes: capacity,
        max_attempts: 8,
        max_endpoint_name_len: 0,
        durable,
        identity: 7,
    }
}

/// A store under test: accepts and finishes messages, and makes a group of changes durable.
trait Store {
    fn accept(&mut self, number: u64, body: usize);
    fn finish(&mut self, number: u64);
    /// Ends a group of changes, with or without a sync.
    fn end_group(&mut self, sync: bool);
}

/// The journal. Writes a group with one `write`, as the forwarder does, or each record separately.
struct Segments(Journal, bool);

impl Segments {
    fn write(&mut self, number: u64, record: &Record) {
        match self.1 {
            true => drop(self.0.stage(number, record).unwrap()),
            false => self.0.append(number, record).unwrap(),
        }
    }
}

impl Store for Segments {
    fn accept(&mut self, number: u64, body: usize) {
        self.write(number, &Record::Accepted(message(number, body)));
    }
    fn finish(&mut self, number: u64) {
        self.write(number, &Record::Finished);
    }
    fn end_group(&mut self, sync: bool) {
        assert!(self.0.commit().is_empty());
        self.0.compact_step(Instant::now() + Duration::from_micros(300)).unwrap();
        if sync {
            self.0.sync().unwrap();
        }
    }
}

struct Version1(v1::Journal, std::fs::File);

impl Store for Version1 {
    fn accept(&mut self, number: u64, body: usize) {
        let m = message(number, body);
        let accepted = v1::Accepted {
            id: m.id,
            class: m.class,
            destination: m.destination,
            key: m.key,
            idempotency_key: m.idempotency_key,
            retry: m.retry,
            expires: m.expires,
            body: m.body,
        };
        self.0.append(number, &v1::Record::Accepted(accepted)).unwrap();
    }
    fn finish(&mut self, number: u64) {
        self.0.append(number, &v1::Record::Finished).unwrap();
    }
    fn end_group(&mut self, sync: bool) {
        // Version 1 never synced. This measures what a sync would have cost.
        if sync {
            self.1.sync_all().unwrap();
        }
    }
}

struct Fjall(fjall::Database, fjall::Keyspace, fjall::OwnedWriteBatch);

impl Store for Fjall {
    fn accept(&mut self, number: u64, body: usize) {
        let bytes = foldtrack_journal::frame::encode(&message(number, body)).unwrap();
        self.2.insert(&self.1, number.to_be_bytes(), bytes);
    }
    fn finish(&mut self, number: u64) {
        self.2.remove(&self.1, number.to_be_bytes());
    }
    fn end_group(&mut self, sync: bool) {
        let batch = std::mem::replace(&mut self.2, self.0.batch());
        batch.commit().unwrap();
        self.0.persist(if sync { PersistMode::SyncData } else { PersistMode::Buffer }).unwrap();
    }
}

struct Redb(redb::Database, Vec<(u64, Option<usize>)>);

impl Store for Redb {
    fn accept(&mut self, number: u64, body: usize) {
        self.1.push((number, Some(body)));
    }
    fn finish(&mut self, number: u64) {
        self.1.push((number, None));
    }
    fn end_group(&mut self, sync: bool) {
        let mut write = self.0.begin_write().unwrap();
        write.set_durability(if sync { Durability::Immediate } else { Durability::None }).unwrap();
        {
            let mut table = write.open_table(TABLE).unwrap();
            for (number, body) in self.1.drain(..) {
                match body {
                    Some(body) => {
                        let bytes = foldtrack_journal::frame::encode(&message(number, body)).unwrap();
                        table.insert(number, bytes.as_slice()).unwrap();
                    }
                    None => drop(table.remove(number).unwrap()),
                }
            }
        }
        write.commit().unwrap();
    }
}

fn open(kind: &str, folder: &Path) -> Box<dyn Store> {
    match kind {
        "segments" => Box::new(Segments(Journal::open(folder, options(1 << 30, false)).unwrap().0, true)),
        "one by one" => Box::new(Segments(Journal::open(folder, options(1 << 30, false)).unwrap().0, false)),
        "version 1" => {
            let journal = v1::Journal::open(folder, 1 << 30, 8).unwrap().0;
            let file = std::fs::File::open(folder.join("journal")).unwrap();
            Box::new(Version1(journal, file))
        }
        "fjall" => {
            let database = fjall::Database::builder(folder).open().unwrap();
            let keyspace = database.keyspace("messages", KeyspaceCreateOptions::default).unwrap();
            let batch = database.batch();
            Box::new(Fjall(database, keyspace, batch))
        }
        _ => Box::new(Redb(redb::Database::create(folder.join("redb")).unwrap(), Vec::new())),
    }
}

const KINDS: [&str; 5] = ["segments", "one by one", "version 1", "fjall", "redb"];

fn appends() {
    println!("appends per second (a message is two records: accepted, finished), {HELD} messages held; ratio to segments");
    for (body, sync, messages) in
        [(200, false, 40_000), (16_384, false, 8_000), (200, true, 4_000), (16_384, true, 2_000)]
    {
        for writers in [1, 8, 64] {
            // A single writer syncs after each record, so it writes fewer messages.
            let messages = if sync && writers == 1 { messages / 8 } else { messages };
            let mut line =
                format!("  {body:>5} B {} {writers:>2} writers:", if sync { "sync   " } else { "no sync" });
            let mut first = 0.0;
            for kind in KINDS {
                let folder = tempfile::tempdir().unwrap();
                let mut store = open(kind, folder.path());
                let (start, mut in_group) = (Instant::now(), 0);
                for n in 1..=messages {
                    store.accept(n, body);
                    if n > HELD {
                        store.finish(n - HELD);
                    }
                    in_group += 1;
                    if in_group == writers {
                        store.end_group(sync);
                        in_group = 0;
                    }
                }
                store.end_group(sync);
                let rate = (2 * messages - HELD.min(messages)) as f64 / start.elapsed().as_secs_f64();
                first = if first > 0.0 { first } else { rate };
                line += &format!("  {kind} {rate:.0} ({:.2})", rate / first);
            }
            println!("{line}");
        }
    }
}

/// Longest times to accept and finish a message, with a compaction step, while 100 MB of messages are held.
fn pause() {
    let (body, held) = (50_000, 2_000);
    let passing = number_from_env("PASSING", 20_000);
    println!("pause: {held} messages of {body} bytes held, {passing} messages of 10000 bytes passing through; time of a round");
    for kind in KINDS {
        let folder = tempfile::tempdir().unwrap();
        let mut store = open(kind, folder.path());
        for n in 1..=held {
            store.accept(n, body);
            store.end_group(false);
        }
        let mut times: Vec<f64> = (0..passing)
            .map(|n| {
                let start = Instant::now();
                store.accept(held + 1 + n, 10_000);
                if n > 50 {
                    store.finish(held + 1 + n - 50);
                }
                store.end_group(false);
                start.elapsed().as_secs_f64() * 1e3
            })
            .collect();
        times.sort_by(f64::total_cmp);
        let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize];
        println!("  {kind:<10} p50 {:.3} ms, p99.9 {:.2} ms, longest {:.1} ms", at(0.5), at(0.999), at(1.0));
    }
}

fn recovery() {
    let records = 100_000;
    println!("recovery: {records} unfinished messages of 200 bytes");
    for kind in KINDS {
        let folder = tempfile::tempdir().unwrap();
        let mut store = open(kind, folder.path());
        for n in 1..=records {
            store.accept(n, 200);
            if n % 64 == 0 {
                store.end_group(false);
            }
        }
        store.end_group(true);
        drop(store);
        let start = Instant::now();
        let found = match kind {
            "segments" | "one by one" => {
                Journal::open(folder.path(), options(1 << 30, false)).unwrap().1.len()
            }
            "version 1" => v1::Journal::open(folder.path(), 1 << 30, 8).unwrap().1.len(),
            "fjall" => {
                let database = fjall::Database::builder(folder.path()).open().unwrap();
                let keyspace = database.keyspace("messages", KeyspaceCreateOptions::default).unwrap();
                keyspace.iter().map(|entry| entry.value().unwrap().len().min(1)).sum()
            }
            _ => {
                let database = redb::Database::open(folder.path().join("redb")).unwrap();
                let read = database.begin_read().unwrap();
                let table = read.open_table(TABLE).unwrap();
                table.iter().unwrap().map(|entry| entry.unwrap().1.value().len().min(1)).sum()
            }
        };
        println!("  {kind:<10} {found} messages in {:.0} ms", start.elapsed().as_secs_f64() * 1e3);
    }
}

/// Messages of 1,000 bytes are replaced in a journal with a capacity of 8 MB, at different shares of live
/// records.
fn amplification() {
    println!("write amplification: bytes written for each byte that the owner appends, capacity 8 MB");
    for percent in [10, 50, 90] {
        let folder = tempfile::tempdir().unwrap();
        let (mut journal, _) = Journal::open(folder.path(), options(8 << 20, false)).unwrap();
        let (mut first, mut last) = (1, 0);
        // The shares refer to the maximum of live bytes, since no more is accepted.
        let mut max_live = 0;
        while journal.has_capacity(1_200) {
            last += 1;
            journal.append(last, &Record::Accepted(message(last, 1_000))).unwrap();
            max_live = journal.live_bytes();
        }
        while journal.live_bytes() > max_live / 100 * percent {
            journal.append(first, &Record::Finished).unwrap();
            first += 1;
        }
        let before = journal.write_stats();
        let mut longest = 0;
        for n in 0..60_000u64 {
            last += 1;
            journal.append(last, &Record::Accepted(message(last, 1_000))).unwrap();
            // Every fourth message stays long, so that it is not always the oldest that is finished.
            let over = if n % 4 == 0 { first } else { last - 20 };
            if over >= first {
                journal.append(over, &Record::Finished).unwrap();
            }
            first += u64::from(n % 4 == 0);
            while journal.live_bytes() > max_live / 100 * percent {
                journal.append(first, &Record::Finished).unwrap();
                first += 1;
            }
            journal.compact_step(Instant::now() + Duration::from_micros(300)).unwrap();
            longest = longest.max(journal.disk_bytes());
        }
        let (appended, rewritten) = (journal.write_stats().0 - before.0, journal.write_stats().1 - before.1);
        println!(
            "  {percent}% of the maximum of live bytes: {:.2}; files at most {longest} bytes",
            (appended + rewritten) as f64 / appended as f64
        );
    }
}

fn room() {
    println!("messages that fit a capacity of 3 MB, with space reserved for 8 attempts of each");
    for body in [200, 2_000, 20_000, 64_000] {
        let count = |taken: &mut dyn FnMut(u64) -> bool| (1..).take_while(|n| taken(*n)).count();
        let (one, two) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
        let mut segments = Journal::open(one.path(), options(3_000_000, false)).unwrap().0;
        let mut old =
            Version1(v1::Journal::open(two.path(), 3_000_000, 8).unwrap().0, tempfile::tempfile().unwrap());
        let new = count(&mut |n| {
            let fits = segments.has_capacity(body + 128);
            if fits {
                segments.append(n, &Record::Accepted(message(n, body))).unwrap();
            }
            fits
        });
        let before = count(&mut |n| {
            let fits = old.0.has_capacity(body + 128);
            if fits {
                old.accept(n, body);
            }
            fits
        });
        println!("  bodies of {body:>5}: {new} ({:.2} of version 1's {before})", new as f64 / before as f64);
    }
}

/// A disk that does not prefetch.
struct WithoutPrefetch(JournalDir);

impl Disk for WithoutPrefetch {
    fn prefetch(&mut self, _: u64, _: u64, _: NonZeroU64) {}
    fn segments(&mut self) -> io::Result<Vec<u64>> {
        self.0.segments()
    }
    fn create(&mut self, segment: u64, reserve: u64) -> io::Result<()> {
        self.0.create(segment, reserve)
    }
    fn append(&mut self, segment: u64, bytes: &[u8]) -> io::Result<usize> {
        self.0.append(segment, bytes)
    }
    fn read(&mut self, segment: u64, offset: u64, buffer: &mut [u8]) -> io::Result<()> {
        self.0.read(segment, offset, buffer)
    }
    fn length(&mut self, segment: u64) -> io::Result<u64> {
        self.0.length(segment)
    }
    fn truncate(&mut self, segment: u64, length: u64) -> io::Result<()> {
        self.0.truncate(segment, length)
    }
    fn sync(&mut self, segment: u64) -> io::Result<()> {
        self.0.sync(segment)
    }
    fn sync_folder(&mut self) -> io::Result<()> {
        self.0.sync_folder()
    }
    fn remove(&mut self, segment: u64) -> io::Result<()> {
        self.0.remove(segment)
    }
    fn identity(&mut self) -> io::Result<Option<Vec<u8>>> {
        self.0.identity()
    }
    fn store_identity(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.store_identity(bytes)
    }
    fn v1_file(&mut self) -> io::Result<Option<Vec<u8>>> {
        self.0.v1_file()
    }
    fn remove_v1(&mut self) -> io::Result<()> {
        self.0.remove_v1()
    }
}

/// Duration of a compaction step with and without prefetching, when the held messages have left the page
/// cache.
fn cold() {
    fn steps(disk: impl Disk, folder: &Path, name: &str) {
        let (body, held) = (50_000, 1_000);
        let (mut journal, _) = Journal::open_on(disk, options(100 << 20, false)).unwrap();
        for n in 1..=held {
            journal.append(n, &Record::Accepted(message(n, body))).unwrap();
        }
        journal.sync().unwrap();
        for entry in std::fs::read_dir(folder.join("journal")).unwrap() {
            let file = std::fs::File::open(entry.unwrap().path()).unwrap();
            rustix::fs::fadvise(&file, 0, None, rustix::fs::Advice::DontNeed).unwrap();
        }
        let mut times = Vec::new();
        for n in 0..4_000 {
            journal.append(held + 1 + n, &Record::Accepted(message(held + 1 + n, 10_000))).unwrap();
            if n > 50 {
                journal.append(held + 1 + n - 50, &Record::Finished).unwrap();
            }
            let (start, before) = (Instant::now(), journal.write_stats().1);
            journal.compact_step(start + Duration::from_micros(300)).unwrap();
            // Between two rounds, the forwarder does other work and handles its sockets.
            let took = start.elapsed();
            if journal.write_stats().1 > before {
                times.push(took.as_secs_f64() * 1e3);
            }
            std::thread::sleep(Duration::from_micros(100));
        }
        times.sort_by(f64::total_cmp);
        let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize];
        let (p50, p99, longest) = (at(0.5), at(0.99), at(1.0));
        println!(
            "  {name:<10} {} steps that rewrote records: p50 {p50:.2}, p99 {p99:.2}, longest {longest:.2} ms",
            times.len()
        );
    }
    println!(
        "cold: 1,000 messages of 50,000 bytes held and evicted from the page cache; time of a compaction step"
    );
    for _ in 0..3 {
        let (one, two) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
        steps(JournalDir::new(one.path()).unwrap(), one.path(), "prefetch");
        steps(WithoutPrefetch(JournalDir::new(two.path()).unwrap()), two.path(), "none");
    }
}

fn main() {
    let names: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with('-')).collect();
    let all: [(&str, fn()); 6] = [
        ("appends", appends),
        ("pause", pause),
        ("recovery", recovery),
        ("amplification", amplification),
        ("room", room),
        ("cold", cold),
    ];
    for (name, run) in all {
        if names.is_empty() || names.iter().any(|n| n == name) {
            run();
        }
    }
}
