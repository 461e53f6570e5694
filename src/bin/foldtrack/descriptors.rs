//! The process's descriptors: the ledger of `foldtrack-admission`, drawn from where sockets are opened and given back
//! where they are closed.

use crate::lock::lock_ignoring_poison;
use foldtrack_admission::descriptors::MIN_CLIENT_CONNECTIONS;
use foldtrack_admission::{DescriptorUser, Ledger, Part};
use std::sync::{Arc, Mutex};

/// Descriptors for all but clients and targets: the runtime's, the journal's, those to the platform or the control line's
/// first readers, and those that are closing.
pub(crate) const RESERVED_DESCRIPTORS: usize = 32;
/// Those of them that are the control line's, and how many readers it may have where others leave room.
const READERS: Part = Part { guaranteed: 8, most: 32 };

/// Descriptors that the system allows this process now; the limit may be changed while it runs.
pub(crate) fn descriptor_limit() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX))
}

/// Of so many descriptors half are for clients, and half for calls and for what stands idle between them.
pub(crate) fn client_share(sockets: usize) -> usize {
    sockets.saturating_sub(RESERVED_DESCRIPTORS) / 2
}

/// The ledger, shared by the loop, the listener and the control line.
#[derive(Debug)]
pub(crate) struct DescriptorBudget {
    ledger: Mutex<Ledger>,
    calls: usize,
}

/// One that was drawn; given back when it is dropped.
#[derive(Debug)]
pub(crate) struct DescriptorPermit {
    from: Arc<DescriptorBudget>,
    party: DescriptorUser,
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        lock_ignoring_poison(&self.from.ledger).give(self.party);
    }
}

impl DescriptorBudget {
    /// For a process that may hold `limit`, `places` of them for clients, and makes `calls` at once.
    pub fn new(limit: usize, places: usize, calls: usize) -> Arc<DescriptorBudget> {
        let ledger =
            Ledger::new(limit, RESERVED_DESCRIPTORS - READERS.guaranteed, Self::parts(limit, places, calls));
        Arc::new(DescriptorBudget { ledger: Mutex::new(ledger), calls })
    }

    fn parts(limit: usize, places: usize, calls: usize) -> [Part; 3] {
        let left = limit.saturating_sub(RESERVED_DESCRIPTORS).saturating_sub(places);
        let clients = Part { guaranteed: places.min(MIN_CLIENT_CONNECTIONS), most: places };
        [clients, Part { guaranteed: calls, most: left.max(calls) }, READERS]
    }

    /// The limit is another one now, or the places are.
    pub fn set(&self, limit: usize, places: usize) {
        lock_ignoring_poison(&self.ledger).set_limits(limit, Self::parts(limit, places, self.calls));
    }

    /// How many a party may hold now.
    pub fn room(&self, party: DescriptorUser) -> usize {
        lock_ignoring_poison(&self.ledger).room(party)
    }

    /// How many a party holds.
    pub fn held(&self, party: DescriptorUser) -> usize {
        lock_ignoring_poison(&self.ledger).held(party)
    }

    /// How many a party holds beyond what it may.
    pub fn excess(&self, party: DescriptorUser) -> usize {
        lock_ignoring_poison(&self.ledger).over(party)
    }

    /// Who holds how many, and may hold: clients, calls, readers of the control line.
    pub fn seen(&self) -> [(usize, usize); 3] {
        let ledger = lock_ignoring_poison(&self.ledger);
        [DescriptorUser::Clients, DescriptorUser::Calls, DescriptorUser::Control]
            .map(|p| (ledger.held(p), ledger.room(p)))
    }

    /// Draws one, if the party may have one more.
    pub fn acquire(self: &Arc<Self>, party: DescriptorUser) -> Option<DescriptorPermit> {
        lock_ignoring_poison(&self.ledger).draw(party).then(|| DescriptorPermit { from: self.clone(), party })
    }

    /// Notes one that is open already.
    pub fn acquire_unchecked(self: &Arc<Self>, party: DescriptorUser) -> DescriptorPermit {
        lock_ignoring_poison(&self.ledger).note(party);
        DescriptorPermit { from: self.clone(), party }
    }
}
