//! A simulated disk in memory with deterministic fault injection, for tests.

use crate::disk::Disk;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;

/// Fault injected at a disk operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed. If the flag is true, the operation takes effect first; otherwise a write stores a part of its
    /// bytes, and any other operation does nothing.
    Kill(bool),
    /// The operation fails. A write stores a part of its bytes.
    Fail,
    /// From this operation on, operations that need space fail, until [`Model::give_room`].
    Full,
}

#[derive(Clone, Debug, Default)]
struct Inner {
    segments: BTreeMap<u64, Vec<u8>>,
    old: Option<Vec<u8>>,
    identity: Option<Vec<u8>>,
    /// Number of bytes of each segment that a sync has confirmed.
    synced: BTreeMap<u64, usize>,
/// Contents and synced length of removed segments whose removal no sync has confirmed.
    removed: BTreeMap<u64, (Vec<u8>, usize)>,
    /// Segments whose directory entry a sync has confirmed.
    entries: BTreeSet<u64>,
    operations: u64,
    fault: Option<(u64, Fault)>,
    full: bool,
    dead: bool,
    /// The largest total size that the files have ever had, in whole blocks.
    most: u64,
}

/// The simulated disk. Clones share the same contents.
#[derive(Clone, Debug, Default)]
pub struct Model(Rc<RefCell<Inner>>);

enum Turn {
/// How an operation proceeds.
    Do,
    /// The operation takes effect, but the process is killed before it returns.
    Last,
    Fail(io::Error),
    /// The operation fails; a write stores a part of its bytes.
    Part(io::Error),
}

fn killed() -> io::Error {
    io::Error::other("killed")
}

impl Model {
    pub fn with_old(bytes: Vec<u8>) -> Model {
        let model = Model::default();
        model.0.borrow_mut().old = Some(bytes);
        model
    }

    /// Injects a fault at the `after`-th operation from now.
    pub fn plan(&self, after: u64, fault: Fault) {
        let mut inner = self.0.borrow_mut();
        inner.fault = Some((inner.operations + after, fault));
    }

    /// The disk as a new process finds it after the last one ended.
    pub fn again(&self) -> Model {
        let inner = self.0.borrow();
        let fresh = Inner { fault: None, full: false, dead: false, operations: 0, ..inner.clone() };
        Model(Rc::new(RefCell::new(fresh)))
    }

    /// The disk as a new process finds it after a power failure. Unsynced data is there or zeroed, sector by sector, depending
    /// on the seed; unsynced new files may be missing, and unsynced removals may not have happened.
    pub fn after_power_cut(&self, seed: u64) -> Model {
        const SECTOR: usize = 512;
        let model = self.again();
        let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut draw = move || {
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            random % 3
        };
        {
            let mut inner = model.0.borrow_mut();
            let removed = std::mem::take(&mut inner.removed);
            for (segment, (bytes, synced)) in removed {
                if draw() == 0 {
                    inner.segments.insert(segment, bytes);
                    inner.synced.insert(segment, synced);
                }
            }
            let (synced, entries) = (inner.synced.clone(), inner.entries.clone());
            let mut gone = Vec::new();
            for (segment, bytes) in &mut inner.segments {
                if !entries.contains(segment) && draw() == 0 {
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
        model
    }

    pub fn give_room(&self) {
        self.0.borrow_mut().full = false;
    }

    pub fn operations(&self) -> u64 {
        self.0.borrow().operations
    }

    pub fn is_dead(&self) -> bool {
        self.0.borrow().dead
    }

    pub fn most(&self) -> u64 {
        self.0.borrow().most
    }

    pub fn has_old(&self) -> bool {
        self.0.borrow().old.is_some()
    }

    /// Modifies the bytes of a segment without the journal's knowledge.
    pub fn change(&self, segment: u64, change: impl FnOnce(&mut Vec<u8>)) {
        if let Some(bytes) = self.0.borrow_mut().segments.get_mut(&segment) {
            change(bytes);
        }
    }

    pub fn forget_identity(&self) {
        self.0.borrow_mut().identity = None;
    }

    pub fn numbers(&self) -> Vec<u64> {
        self.0.borrow().segments.keys().copied().collect()
    }

    pub fn bytes(&self, segment: u64) -> Vec<u8> {
        self.0.borrow().segments[&segment].clone()
    }

    fn turn(&self, takes_room: bool) -> Turn {
        let mut inner = self.0.borrow_mut();
        if inner.dead {
            return Turn::Fail(killed());
        }
        inner.operations += 1;
        let fault = inner.fault.filter(|(at, _)| *at == inner.operations).map(|(_, fault)| fault);
        match fault {
            Some(Fault::Kill(done)) => {
                inner.dead = true;
                if done {
                    Turn::Last
                } else {
                    Turn::Part(killed())
                }
            }
            Some(Fault::Fail) => Turn::Part(io::Error::other("injected disk error")),
            Some(Fault::Full) => {
                inner.full = true;
                if takes_room {
                    Turn::Part(io::ErrorKind::StorageFull.into())
                } else {
                    Turn::Do
                }
            }
            None if inner.full && takes_room => Turn::Fail(io::ErrorKind::StorageFull.into()),
            None => Turn::Do,
        }
    }

    fn act(&self, takes_room: bool, act: impl FnOnce(&mut Inner) -> io::Result<()>) -> io::Result<()> {
        match self.turn(takes_room) {
            Turn::Do => act(&mut self.0.borrow_mut()),
            Turn::Last => act(&mut self.0.borrow_mut()).and(Err(killed())),
            Turn::Fail(e) | Turn::Part(e) => Err(e),
        }
    }

    fn measure(&self) {
        let mut inner = self.0.borrow_mut();
        let taken = inner.segments.values().map(|s| (s.len() as u64).next_multiple_of(512)).sum::<u64>();
        let old = inner.old.as_ref().map_or(0, |o| (o.len() as u64).next_multiple_of(512));
        let identity = inner.identity.as_ref().map_or(0, |_| 512);
        inner.most = inner.most.max(taken + old + identity);
    }
}

fn missing() -> io::Error {
    io::ErrorKind::NotFound.into()
}

impl Disk for Model {
    fn segments(&mut self) -> io::Result<Vec<u64>> {
        Ok(self.numbers())
    }

    fn create(&mut self, segment: u64, _: u64) -> io::Result<()> {
        self.act(true, |inner| match inner.segments.insert(segment, Vec::new()) {
            None => Ok(()),
            Some(_) => Err(io::ErrorKind::AlreadyExists.into()),
        })
    }

    fn append(&mut self, segment: u64, bytes: &[u8]) -> io::Result<usize> {
        // Short writes are common on this disk.
        let count = if bytes.len() > 100 { bytes.len() - bytes.len() / 3 } else { bytes.len() };
        let write = |model: &Model, count: usize| {
            let mut inner = model.0.borrow_mut();
            inner.segments.get_mut(&segment).ok_or_else(missing)?.extend_from_slice(&bytes[..count]);
            Ok(count)
        };
        let written = match self.turn(true) {
            Turn::Do => write(self, count),
            Turn::Last => write(self, count).and(Err(killed())),
            Turn::Part(e) => write(self, count / 2).and(Err(e)),
            Turn::Fail(e) => Err(e),
        };
        self.measure();
        written
    }

    fn read(&mut self, segment: u64, at: u64, buffer: &mut [u8]) -> io::Result<()> {
        self.act(false, |inner| {
            let bytes = inner.segments.get(&segment).ok_or_else(missing)?;
            let found =
                bytes.get(at as usize..at as usize + buffer.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
            buffer.copy_from_slice(found);
            Ok(())
        })
    }

    fn will_read(&mut self, _: u64, _: u64, _: std::num::NonZeroU64) {}

    fn length(&mut self, segment: u64) -> io::Result<u64> {
        self.0.borrow().segments.get(&segment).map(|s| s.len() as u64).ok_or_else(missing)
    }

    fn truncate(&mut self, segment: u64, length: u64) -> io::Result<()> {
        self.act(false, |inner| {
            inner.segments.get_mut(&segment).ok_or_else(missing)?.truncate(length as usize);
            Ok(())
        })
    }

    fn sync(&mut self, segment: u64) -> io::Result<()> {
        self.act(false, |inner| {
            let length = inner.segments.get(&segment).ok_or_else(missing)?.len();
            inner.synced.insert(segment, length);
            Ok(())
        })
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.act(false, |inner| {
            inner.removed.clear();
            inner.entries = inner.segments.keys().copied().collect();
            Ok(())
        })
    }

    fn remove(&mut self, segment: u64) -> io::Result<()> {
        self.act(false, |inner| {
            let bytes = inner.segments.remove(&segment).ok_or_else(missing)?;
            let synced = inner.synced.remove(&segment).unwrap_or_default();
            inner.removed.insert(segment, (bytes, synced));
            Ok(())
        })
    }

    fn identity(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.borrow().identity.clone())
    }

    fn keep_identity(&mut self, bytes: &[u8]) -> io::Result<()> {
        let keep = |model: &Model, count: usize| {
            model.0.borrow_mut().identity = Some(bytes[..count].to_vec());
            Ok(())
        };
        match self.turn(true) {
            Turn::Do => keep(self, bytes.len()),
            Turn::Last => keep(self, bytes.len()).and(Err(killed())),
            Turn::Part(e) => keep(self, bytes.len() / 2).and(Err(e)),
            Turn::Fail(e) => Err(e),
        }
    }

    fn old(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.borrow().old.clone())
    }

    fn remove_old(&mut self) -> io::Result<()> {
        self.act(false, |inner| {
            inner.old = None;
            Ok(())
        })
    }
}
