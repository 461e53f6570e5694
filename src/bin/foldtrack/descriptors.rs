//! The file descriptors of the process: the ledger of `foldtrack-admission`, with a permit for each
//! open socket.

use crate::lock::lock_ignoring_poison;
use foldtrack_admission::descriptors::MIN_CLIENT_CONNECTIONS;
use foldtrack_admission::{DescriptorLedger, DescriptorUser, Quota};
use std::sync::{Arc, Mutex};

/// Descriptors reserved for everything but clients and targets: the runtime, the journal, the
/// platform or the first connections to the control socket, and sockets being closed.
pub(crate) const RESERVED_DESCRIPTORS: usize = 32;
/// The share of these that belongs to the control socket, and the maximum it may use if others
/// leave room.
const CONTROL_QUOTA: Quota = Quota { guaranteed: 8, max: 32 };

/// The descriptor limit of the process; it may be changed while the process runs.
pub(crate) fn descriptor_limit() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX))
}

/// Number of client connections for a number of descriptors: half of them; the other half is for
/// calls and idle connections.
pub(crate) fn client_share(sockets: usize) -> usize {
    sockets.saturating_sub(RESERVED_DESCRIPTORS) / 2
}

/// The descriptor budget, shared by the event loop, the listener and the control socket.
#[derive(Debug)]
pub(crate) struct DescriptorBudget {
    ledger: Mutex<DescriptorLedger>,
    calls: usize,
}

/// Permit for one descriptor, returned when dropped.
#[derive(Debug)]
pub(crate) struct DescriptorPermit {
    budget: Arc<DescriptorBudget>,
    user: DescriptorUser,
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        lock_ignoring_poison(&self.budget.ledger).release(self.user);
    }
}

impl DescriptorBudget {
    /// Creates the budget of a process that may hold `limit` descriptors, `client_connections` of
    /// them for clients, and that makes `calls` calls at once.
    pub fn new(limit: usize, client_connections: usize, calls: usize) -> Arc<DescriptorBudget> {
        let ledger = DescriptorLedger::new(
            limit,
            RESERVED_DESCRIPTORS - CONTROL_QUOTA.guaranteed,
            Self::quotas(limit, client_connections, calls),
        );
        Arc::new(DescriptorBudget { ledger: Mutex::new(ledger), calls })
    }

    /// Quotas in the order of [`DescriptorUser`].
    fn quotas(limit: usize, client_connections: usize, calls: usize) -> [Quota; 3] {
        let left = limit.saturating_sub(RESERVED_DESCRIPTORS).saturating_sub(client_connections);
        let clients =
            Quota { guaranteed: client_connections.min(MIN_CLIENT_CONNECTIONS), max: client_connections };
        [clients, Quota { guaranteed: calls, max: left.max(calls) }, CONTROL_QUOTA]
    }

    /// Changes the limit of the process or the number of client connections.
    pub fn set_limits(&self, limit: usize, client_connections: usize) {
        lock_ignoring_poison(&self.ledger)
            .set_limits(limit, Self::quotas(limit, client_connections, self.calls));
    }

    /// How many descriptors a user may hold at the moment.
    pub fn limit_for(&self, user: DescriptorUser) -> usize {
        lock_ignoring_poison(&self.ledger).limit_for(user)
    }

    /// How many descriptors a user holds.
    pub fn held(&self, user: DescriptorUser) -> usize {
        lock_ignoring_poison(&self.ledger).held(user)
    }

    /// How many descriptors a user holds beyond what it may.
    pub fn excess(&self, user: DescriptorUser) -> usize {
        lock_ignoring_poison(&self.ledger).excess(user)
    }

    /// Descriptors held and allowed at the moment: clients, calls, control socket.
    pub fn usage(&self) -> [(usize, usize); 3] {
        let ledger = lock_ignoring_poison(&self.ledger);
        [DescriptorUser::Clients, DescriptorUser::Calls, DescriptorUser::Control]
            .map(|p| (ledger.held(p), ledger.limit_for(p)))
    }

    /// Takes a permit, if the user may hold one more.
    pub fn acquire(self: &Arc<Self>, user: DescriptorUser) -> Option<DescriptorPermit> {
        lock_ignoring_poison(&self.ledger)
            .acquire(user)
            .then(|| DescriptorPermit { budget: self.clone(), user })
    }

    /// Returns a permit for a descriptor that is open already.
    pub fn acquire_unchecked(self: &Arc<Self>, user: DescriptorUser) -> DescriptorPermit {
        lock_ignoring_poison(&self.ledger).acquire_unchecked(user);
        DescriptorPermit { budget: self.clone(), user }
    }
}
