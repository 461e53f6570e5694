//! The client connections of the listener: carries out the decisions of the admission gate. An
//! evicted connection closes as soon as no request is in flight on it; until then it counts as
//! lingering, and only a few of these are tolerated at a time.

use crate::clock::Clock;
use crate::descriptors::{DescriptorBudget, DescriptorPermit};
use crate::lock::lock_ignoring_poison;
use foldtrack_admission::{
    ClientStats, ConnectDecision, DescriptorUser, Event, Gate, RequestDecision, Settings,
};
use ipnet::IpNet;
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::Notify;

/// Number of evicted connections still open at which accepting pauses.
pub(crate) const MAX_LINGERING: usize = 8;
/// Responses close their connections while more than this fraction (one in so many) of the slots is
/// taken by connections that have carried a request.
const CROWDED_DIVISOR: usize = 3;

/// The state of a connection that its task and the table share.
#[derive(Debug)]
struct ConnectionEntry {
    /// Asks the task to close the connection unless a request is in flight.
    close_requested: Arc<Notify>,
    busy: bool,
    /// The connection was asked to close.
    closing: bool,
}

/// Gate and connections behind one lock, so that they always agree.
#[derive(Debug)]
struct ConnectionTable {
    gate: Gate,
    entries: HashMap<u64, ConnectionEntry>,
}

impl ConnectionTable {
    /// Asks connections to close.
    fn request_close(&mut self, evicted: &[u64]) {
        for number in evicted {
            if let Some(entry) = self.entries.get_mut(number) {
                entry.closing = true;
                entry.close_requested.notify_one();
            }
        }
    }
}

/// All client connections of the listener.
#[derive(Debug)]
pub(crate) struct ClientConnections {
    table: Mutex<ConnectionTable>,
    descriptors: Arc<DescriptorBudget>,
    clock: Clock,
    /// Maximum number of connections: as configured, and as the descriptor budget allows at the
    /// moment.
    configured_max: AtomicUsize,
    current_max: AtomicUsize,
    /// Notified when a connection closes or has no more request in flight.
    pub capacity_freed: Notify,
}

impl ClientConnections {
    /// Creates the table with the limits of `settings`.
    pub fn new(
        settings: Settings, clock: Clock, descriptors: Arc<DescriptorBudget>,
    ) -> Arc<ClientConnections> {
        let max_connections = settings.max_connections;
        let table = Mutex::new(ConnectionTable { gate: Gate::new(settings), entries: HashMap::new() });
        let (configured_max, current_max) =
            (AtomicUsize::new(max_connections), AtomicUsize::new(max_connections));
        Arc::new(ClientConnections {
            table,
            descriptors,
            clock,
            configured_max,
            current_max,
            capacity_freed: Notify::new(),
        })
    }

    fn table(&self) -> MutexGuard<'_, ConnectionTable> {
        lock_ignoring_poison(&self.table)
    }

    /// Waits until all but a few of the evicted connections have closed.
    pub async fn wait_for_lingering(&self) {
        loop {
            let notified = self.capacity_freed.notified();
            let lingering = {
                let table = self.table();
                table.entries.len().saturating_sub(table.gate.connection_counts().1)
            };
            if lingering < MAX_LINGERING {
                return;
            }
            notified.await;
        }
    }

    /// Asks the gate to admit a connection, and closes the one that it evicts. `waited` if the
    /// connection was told to wait before.
    pub fn admit(
        self: &Arc<Self>, number: u64, address: IpAddr, waited: bool,
    ) -> Result<ConnectionPermit, ConnectDecision> {
        self.apply_descriptor_limit();
        let (now, mut table) = (self.clock.now(), self.table());
        let decision = match waited {
            false => table.gate.connect(now, number, address),
            true => table.gate.retry_waiting(now, number, address),
        };
        let ConnectDecision::Admit { evicted } = decision else { return Err(decision) };
        let close_requested = Arc::new(Notify::new());
        table.entries.insert(
            number,
            ConnectionEntry { close_requested: close_requested.clone(), busy: false, closing: false },
        );
        table.request_close(evicted.as_slice());
        // The gate has decided by the descriptor budget, and the descriptor is open already.
        let descriptor = self.descriptors.acquire_unchecked(DescriptorUser::Clients);
        Ok(ConnectionPermit { connections: self.clone(), number, close_requested, _descriptor: descriptor })
    }

    /// Applies the number of connections that the descriptor budget allows at the moment.
    fn apply_descriptor_limit(&self) {
        let max_connections = self.descriptors.limit_for(DescriptorUser::Clients);
        if self.current_max.swap(max_connections, Ordering::Relaxed) != max_connections {
            let mut table = self.table();
            let evicted = table.gate.set_max_connections(self.clock.now(), max_connections);
            table.request_close(&evicted);
        }
    }

    /// Statistics of the busiest addresses.
    pub fn client_stats(&self, most: usize) -> Vec<ClientStats> {
        self.table().gate.client_stats(self.clock.now(), most)
    }

    /// Events of the gate since the last call.
    pub fn take_events(&self) -> Vec<Event> {
        self.table().gate.take_events(self.clock.now())
    }

    /// The clock of all times here.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Blocks a network until a time of the process's clock, and closes its connections.
    ///
    /// # Errors
    /// There are too many blocks.
    pub fn block(&self, network: IpNet, until: u64) -> Result<(), String> {
        let mut table = self.table();
        let evicted = table.gate.block(self.clock.now(), network, until)?;
        table.request_close(&evicted);
        Ok(())
    }

    /// Ends a block. False if there was none.
    pub fn unblock(&self, network: &IpNet) -> bool {
        self.table().gate.unblock(network)
    }

    /// The blocks, each with its end by the process's clock.
    pub fn blocks(&self) -> BTreeMap<IpNet, u64> {
        self.table().gate.blocks().clone()
    }

    /// Sets the descriptor limit and the number of connections that it allows.
    pub fn set_max_connections(&self, limit: usize, max_connections: usize) {
        self.descriptors.set_limits(limit, max_connections);
        self.apply_descriptor_limit();
        self.capacity_freed.notify_one();
        self.configured_max.store(max_connections, Ordering::Relaxed);
    }

    /// The descriptor budget.
    pub fn descriptors(&self) -> &DescriptorBudget {
        &self.descriptors
    }

    /// Number of evicted connections that are still open.
    pub fn lingering(&self) -> usize {
        let table = self.table();
        table.entries.len().saturating_sub(table.gate.connection_counts().1)
    }
}

/// The slot of one connection, released when dropped.
pub(crate) struct ConnectionPermit {
    connections: Arc<ClientConnections>,
    number: u64,
    /// Notified when the connection should close; see [`ConnectionPermit::can_close`].
    pub close_requested: Arc<Notify>,
    _descriptor: DescriptorPermit,
}

impl ConnectionPermit {
    /// Records a request and decides on it.
    pub fn begin_request(&self) -> RequestDecision {
        let mut table = self.connections.table();
        if let Some(entry) = table.entries.get_mut(&self.number) {
            entry.busy = true;
        }
        table.gate.begin_request(self.connections.clock.now(), self.number)
    }

    /// Records the response to a request. Returns whether the connection has to close with it:
    /// because it was evicted in the meantime, or because too many slots are held by connections
    /// that sent a request and stay open. A proxy in front of the forwarder holds only a limited
    /// number of connections, and would reject further requests although this process has capacity.
    pub fn end_request(&self, accepted: bool) -> bool {
        let (used_connections, closing) = {
            let mut table = self.connections.table();
            table.gate.end_request(self.connections.clock.now(), self.number, accepted);
            let closing = table.entries.get_mut(&self.number).is_some_and(|entry| {
                entry.busy = false;
                entry.closing
            });
            (table.gate.connection_counts().0, closing)
        };
        self.connections.capacity_freed.notify_one();
        closing
            || used_connections > self.connections.configured_max.load(Ordering::Relaxed) / CROWDED_DIVISOR
    }

    /// Whether the client is known.
    pub fn is_known(&self) -> bool {
        self.connections.table().gate.is_known(self.number)
    }

    /// Records that the client was too slow or violated HTTP.
    pub fn penalize(&self) {
        self.connections.table().gate.penalize(self.connections.clock.now(), self.number);
    }

    /// Whether the connection can close now: not while a request is in flight.
    pub fn can_close(&self) -> bool {
        self.connections.table().entries.get(&self.number).is_none_or(|entry| !entry.busy)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut table = self.connections.table();
        table.entries.remove(&self.number);
        table.gate.disconnect(self.connections.clock.now(), self.number);
        drop(table);
        self.connections.capacity_freed.notify_one();
    }
}
