//! The file descriptors of the process: the ledger of `foldtrack-admission`, with a permit for each
//! open socket.

use crate::client_connections::ClientConnections;
use crate::descriptor_reserve::{CONTROL_CONNECTIONS, PLATFORM_RESERVE, SITE_MINIMUM, SITE_RESERVE};
use crate::lock::lock_ignoring_poison;
use foldtrack_admission::descriptors::{max_client_connections, Reserved, MIN_CLIENT_CONNECTIONS};
use foldtrack_admission::{DescriptorLedger, DescriptorUser, Quota};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

/// Maximum number of control connections if the other users leave room for them.
const MAX_CONTROL_CONNECTIONS: usize = 32;
/// Calls that can be made at once under any limit.
const MIN_CALLS: usize = 4;
/// How often the descriptor limit of the process is read.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The descriptor limit of the process; it may be changed while the process runs.
pub(crate) fn descriptor_limit() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| usize::try_from(limit).unwrap_or(usize::MAX))
}

/// How a process divides its descriptors.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DescriptorPlan {
    /// The configured limit. That of the process may be lower.
    configured: usize,
    /// Number of calls at once.
    calls: usize,
    /// Maximum number of client connections, whatever the descriptors allow.
    most_clients: usize,
    deployment: Deployment,
}

/// What starts the process, and so which files and sockets it needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Deployment {
    Platform,
    Site,
}

impl DescriptorPlan {
    /// The plan of a process that a platform runs.
    pub fn platform(configured: usize, calls: usize) -> DescriptorPlan {
        DescriptorPlan { configured, calls, most_clients: usize::MAX, deployment: Deployment::Platform }
    }

    /// The plan of a process that runs a site file.
    pub fn site(configured: usize, calls: usize) -> DescriptorPlan {
        DescriptorPlan { configured, calls, most_clients: usize::MAX, deployment: Deployment::Site }
    }

    /// The plan with fewer client connections: as many as the memory has room for.
    pub fn with_client_limit(self, most_clients: usize) -> DescriptorPlan {
        DescriptorPlan { most_clients, ..self }
    }

    /// The number of descriptors that the process may hold at the moment.
    pub fn limit(&self) -> usize {
        self.configured.min(descriptor_limit())
    }

    /// Descriptors set aside for everything but clients and calls.
    fn reserve(&self) -> usize {
        match self.deployment {
            Deployment::Platform => PLATFORM_RESERVE,
            Deployment::Site => SITE_RESERVE,
        }
    }

    /// The part of the reserve that belongs to the control socket.
    fn control(&self) -> Quota {
        match self.deployment {
            Deployment::Platform => Quota::default(),
            Deployment::Site => Quota { guaranteed: CONTROL_CONNECTIONS, max: MAX_CONTROL_CONNECTIONS },
        }
    }

    /// Half of the descriptors that are not set aside; the other half is for calls and idle
    /// connections.
    pub fn half_share(&self, limit: usize) -> usize {
        limit.saturating_sub(self.reserve()) / 2
    }

    /// Number of client connections under a limit.
    ///
    /// # Errors
    /// The limit is too low for a site. A platform's process always starts.
    pub fn client_connections(&self, limit: usize) -> Result<usize, String> {
        let connections = match self.deployment {
            Deployment::Platform => self.half_share(limit).max(1),
            Deployment::Site => {
                let (internal, internal_minimum) = (SITE_RESERVE, SITE_MINIMUM);
                max_client_connections(limit, Reserved { calls: self.calls, internal, internal_minimum })?
            }
        };
        Ok(connections.min(self.most_clients))
    }

    /// Quotas in the order of [`DescriptorUser`].
    fn quotas(&self, limit: usize, client_connections: usize) -> [Quota; 3] {
        let shared = limit.saturating_sub(self.reserve());
        let clients =
            Quota { guaranteed: client_connections.min(MIN_CLIENT_CONNECTIONS), max: client_connections };
        let most_calls = shared.saturating_sub(clients.guaranteed).max(MIN_CALLS);
        let calls = Quota {
            guaranteed: self.calls.min(most_calls),
            max: shared.saturating_sub(client_connections).max(self.calls),
        };
        [clients, calls, self.control()]
    }
}

/// Applies the descriptor limit of the process whenever it has changed.
pub(crate) async fn follow_limit(plan: DescriptorPlan, connections: Arc<ClientConnections>) {
    loop {
        sleep(LIMIT_CHECK_INTERVAL).await;
        let limit = plan.limit();
        if limit == connections.descriptors().limit() {
            continue;
        }
        let max_connections = plan.client_connections(limit);
        connections.set_max_connections(limit, *max_connections.as_ref().unwrap_or(&0));
        match max_connections {
            Ok(max) => eprintln!("clients: the limit is now {max} connections"),
            Err(error) => eprintln!("clients: no connections are admitted: {error}"),
        }
    }
}

/// The descriptor budget, shared by the event loop, the listener and the control socket.
#[derive(Debug)]
pub(crate) struct DescriptorBudget {
    ledger: Mutex<DescriptorLedger>,
    plan: DescriptorPlan,
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
    /// them for clients.
    pub fn new(plan: DescriptorPlan, limit: usize, client_connections: usize) -> Arc<DescriptorBudget> {
        let ledger = DescriptorLedger::new(
            limit,
            plan.reserve() - plan.control().guaranteed,
            plan.quotas(limit, client_connections),
        );
        Arc::new(DescriptorBudget { ledger: Mutex::new(ledger), plan })
    }

    /// Changes the limit of the process or the number of client connections.
    pub fn set_limits(&self, limit: usize, client_connections: usize) {
        lock_ignoring_poison(&self.ledger).set_limits(limit, self.plan.quotas(limit, client_connections));
    }

    /// The limit of the process that was applied last.
    pub fn limit(&self) -> usize {
        lock_ignoring_poison(&self.ledger).limit()
    }

    /// What each user holds and may hold, for a log line.
    pub fn describe(&self) -> String {
        let users = ["clients", "calls", "control"].into_iter().zip(self.usage());
        let held: Vec<_> = users.map(|(user, (held, most))| format!("{user} {held} of {most}")).collect();
        format!("{}, set aside for the rest {}", held.join(", "), self.plan.reserve())
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

#[cfg(test)]
#[path = "descriptors_tests.rs"]
mod tests;
