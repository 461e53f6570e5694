//! A simulated disk in memory with deterministic fault injection, for tests.

use crate::disk::Disk;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;

/// Fault injected at a disk operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed. If the flag is true, the operation takes effect first; otherwise a write stores
    /// a part of its bytes, and any other operation does nothing.
    Kill(bool),
    /// The operation fails. A write stores a part of its bytes.
    Fail,
    /// From this operation on, operations that need space fail, until [`SimulatedDisk::free_space`].
    Full,
}

#[derive(Clone, Debug, Default)]
struct Inner {
    segments: BTreeMap<u64, Vec<u8>>,
    v1_file: Option<Vec<u8>>,
    identity: Option<Vec<u8>>,
    /// Number of bytes of each segment that a sync has confirmed.
    synced: BTreeMap<u64, usize>,
    /// Contents and synced length of removed segments whose removal no sync has confirmed.
    unsynced_removals: BTreeMap<u64, (Vec<u8>, usize)>,
    /// Segments whose directory entry a sync has confirmed.
    synced_entries: BTreeSet<u64>,
    operations: u64,
    fault: Option<(u64, Fault)>,
    full: bool,
    killed: bool,
    /// The largest total size that the files have ever had, in whole blocks.
    peak_bytes: u64,
}

/// The simulated disk. Clones share the same contents.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk(Rc<RefCell<Inner>>);

enum Progress {
    /// How an operation proceeds.
    Succeed,
    /// The operation takes effect, but the process is killed before it returns.
    KilledAfter,
    Fail(io::Error),
    /// The operation fails; a write stores a part of its bytes.
    FailPartially(io::Error),
}

fn killed_error() -> io::Error {
    io::Error::other("killed")
}

impl SimulatedDisk {
    pub fn with_v1(bytes: Vec<u8>) -> SimulatedDisk {
        let disk = SimulatedDisk::default();
        disk.0.borrow_mut().v1_file = Some(bytes);
        disk
    }

    /// Injects a fault at the `after`-th operation from now.
    pub fn inject(&self, after: u64, fault: Fault) {
        let mut inner = self.0.borrow_mut();
        inner.fault = Some((inner.operations + after, fault));
    }

    /// The disk as a new process finds it after the last one ended.
    pub fn restart(&self) -> SimulatedDisk {
        let inner = self.0.borrow();
        let fresh = Inner { fault: None, full: false, killed: false, operations: 0, ..inner.clone() };
        SimulatedDisk(Rc::new(RefCell::new(fresh)))
    }

    /// The disk as a new process finds it after a power failure. Unsynced data is there or zeroed, sector by
    /// sector, depending on the seed; unsynced new files may be missing, and unsynced removals may not have
    /// happened.
    pub fn after_power_failure(&self, seed: u64) -> SimulatedDisk {
        const SECTOR: usize = 512;
        let disk = self.restart();
        let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut draw = move || {
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            random % 3
        };
        {
            let mut inner = disk.0.borrow_mut();
            let unsynced_removals = std::mem::take(&mut inner.unsynced_removals);
            for (segment, (bytes, synced)) in unsynced_removals {
                if draw() == 0 {
                    inner.segments.insert(segment, bytes);
                    inner.synced.insert(segment, synced);
                }
            }
            let (synced, synced_entries) = (inner.synced.clone(), inner.synced_entries.clone());
            let mut gone = Vec::new();
            for (segment, bytes) in &mut inner.segments {
                if !synced_entries.contains(segment) && draw() == 0 {
                    gone.push(*segment);
                }
                let Some(kept) = synced.get(segment).copied() else {
                    bytes.iter_mut().for_each(|b| *b = if draw() == 0 { 0 } else { *b });
                    continue;
                };
                let mut at = kept.min(bytes.len());
                while at < bytes.len() {
                    let end = ((at / SECTOR + 1) * SECTOR).min(bytes.len());
                    if draw() == 0 {
                        bytes[at..end].fill(0);
                    }
                    at = end;
                }
                if draw() == 0 {
                    let length = bytes.len();
                    bytes.truncate(kept.min(length) + (length - kept.min(length)) / 2);
                }
            }
            for segment in gone {
                inner.segments.remove(&segment);
            }
        }
        disk
    }

    pub fn free_space(&self) {
        self.0.borrow_mut().full = false;
    }

    pub fn operations(&self) -> u64 {
        self.0.borrow().operations
    }

    pub fn is_killed(&self) -> bool {
        self.0.borrow().killed
    }

    pub fn peak_bytes(&self) -> u64 {
        self.0.borrow().peak_bytes
    }

    pub fn has_v1(&self) -> bool {
        self.0.borrow().v1_file.is_some()
    }

    /// Modifies the bytes of a segment without the journal's knowledge.
    pub fn modify(&self, segment: u64, change: impl FnOnce(&mut Vec<u8>)) {
        if let Some(bytes) = self.0.borrow_mut().segments.get_mut(&segment) {
            change(bytes);
        }
    }

    pub fn remove_identity(&self) {
        self.0.borrow_mut().identity = None;
    }

    pub fn numbers(&self) -> Vec<u64> {
        self.0.borrow().segments.keys().copied().collect()
    }

    pub fn bytes(&self, segment: u64) -> Vec<u8> {
        self.0.borrow().segments[&segment].clone()
    }

    fn begin_operation(&self, needs_space: bool) -> Progress {
        let mut inner = self.0.borrow_mut();
        if inner.killed {
            return Progress::Fail(killed_error());
        }
        inner.operations += 1;
        let fault = inner.fault.filter(|(at, _)| *at == inner.operations).map(|(_, fault)| fault);
        match fault {
            Some(Fault::Kill(done)) => {
                inner.killed = true;
                if done {
                    Progress::KilledAfter
                } else {
                    Progress::FailPartially(killed_error())
                }
            }
            Some(Fault::Fail) => Progress::FailPartially(io::Error::other("injected disk error")),
            Some(Fault::Full) => {
                inner.full = true;
                if needs_space {
                    Progress::FailPartially(io::ErrorKind::StorageFull.into())
                } else {
                    Progress::Succeed
                }
            }
            None if inner.full && needs_space => Progress::Fail(io::ErrorKind::StorageFull.into()),
            None => Progress::Succeed,
        }
    }

    fn perform(
        &self, needs_space: bool, operation: impl FnOnce(&mut Inner) -> io::Result<()>,
    ) -> io::Result<()> {
        match self.begin_operation(needs_space) {
            Progress::Succeed => operation(&mut self.0.borrow_mut()),
            Progress::KilledAfter => operation(&mut self.0.borrow_mut()).and(Err(killed_error())),
            Progress::Fail(e) | Progress::FailPartially(e) => Err(e),
        }
    }

    fn update_peak(&self) {
        let mut inner = self.0.borrow_mut();
        let segments = inner.segments.values().map(|s| (s.len() as u64).next_multiple_of(512)).sum::<u64>();
        let v1_file = inner.v1_file.as_ref().map_or(0, |f| (f.len() as u64).next_multiple_of(512));
        let identity = inner.identity.as_ref().map_or(0, |_| 512);
        inner.peak_bytes = inner.peak_bytes.max(segments + v1_file + identity);
    }
}

fn not_found() -> io::Error {
    io::ErrorKind::NotFound.into()
}

impl Disk for SimulatedDisk {
    fn segments(&mut self) -> io::Result<Vec<u64>> {
        Ok(self.numbers())
    }

    fn create(&mut self, segment: u64, _: u64) -> io::Result<()> {
        self.perform(true, |inner| match inner.segments.insert(segment, Vec::new()) {
            None => Ok(()),
            Some(_) => Err(io::ErrorKind::AlreadyExists.into()),
        })
    }

    fn append(&mut self, segment: u64, bytes: &[u8]) -> io::Result<usize> {
        // Short writes are common on this disk.
        let count = if bytes.len() > 100 { bytes.len() - bytes.len() / 3 } else { bytes.len() };
        let write = |disk: &SimulatedDisk, count: usize| {
            let mut inner = disk.0.borrow_mut();
            inner.segments.get_mut(&segment).ok_or_else(not_found)?.extend_from_slice(&bytes[..count]);
            Ok(count)
        };
        let written = match self.begin_operation(true) {
            Progress::Succeed => write(self, count),
            Progress::KilledAfter => write(self, count).and(Err(killed_error())),
            Progress::FailPartially(e) => write(self, count / 2).and(Err(e)),
            Progress::Fail(e) => Err(e),
        };
        self.update_peak();
        written
    }

    fn read(&mut self, segment: u64, at: u64, buffer: &mut [u8]) -> io::Result<()> {
        self.perform(false, |inner| {
            let bytes = inner.segments.get(&segment).ok_or_else(not_found)?;
            let found =
                bytes.get(at as usize..at as usize + buffer.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
            buffer.copy_from_slice(found);
            Ok(())
        })
    }

    fn prefetch(&mut self, _: u64, _: u64, _: std::num::NonZeroU64) {}

    fn length(&mut self, segment: u64) -> io::Result<u64> {
        self.0.borrow().segments.get(&segment).map(|s| s.len() as u64).ok_or_else(not_found)
    }

    fn truncate(&mut self, segment: u64, length: u64) -> io::Result<()> {
        self.perform(false, |inner| {
            inner.segments.get_mut(&segment).ok_or_else(not_found)?.truncate(length as usize);
            Ok(())
        })
    }

    fn sync(&mut self, segment: u64) -> io::Result<()> {
        self.perform(false, |inner| {
            let length = inner.segments.get(&segment).ok_or_else(not_found)?.len();
            inner.synced.insert(segment, length);
            Ok(())
        })
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.perform(false, |inner| {
            inner.unsynced_removals.clear();
            inner.synced_entries = inner.segments.keys().copied().collect();
            Ok(())
        })
    }

    fn remove(&mut self, segment: u64) -> io::Result<()> {
        self.perform(false, |inner| {
            let bytes = inner.segments.remove(&segment).ok_or_else(not_found)?;
            let synced = inner.synced.remove(&segment).unwrap_or_default();
            inner.unsynced_removals.insert(segment, (bytes, synced));
            Ok(())
        })
    }

    fn identity(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.borrow().identity.clone())
    }

    fn store_identity(&mut self, bytes: &[u8]) -> io::Result<()> {
        let store = |disk: &SimulatedDisk, count: usize| {
            disk.0.borrow_mut().identity = Some(bytes[..count].to_vec());
            Ok(())
        };
        match self.begin_operation(true) {
            Progress::Succeed => store(self, bytes.len()),
            Progress::KilledAfter => store(self, bytes.len()).and(Err(killed_error())),
            Progress::FailPartially(e) => store(self, bytes.len() / 2).and(Err(e)),
            Progress::Fail(e) => Err(e),
        }
    }

    fn v1_file(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.borrow().v1_file.clone())
    }

    fn remove_v1(&mut self) -> io::Result<()> {
        self.perform(false, |inner| {
            inner.v1_file = None;
            Ok(())
        })
    }
}
