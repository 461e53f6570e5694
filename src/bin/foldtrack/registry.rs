//! The targets of the list. Those that are gone are dropped, so that they do not grow without bound.

use crate::list::{ServerEntry, ServerState};
use foldtrack_delivery::{Micros, TargetId};
use foldtrack_preflight::{PreflightCheck, RouteScope, RouteState, RouteStates};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// A target of the list.
#[derive(Clone, Debug)]
pub(crate) struct TargetEntry {
    pub address: SocketAddr,
    pub zone: u32,
    destination: u32,
    pub id: String,
    gone: bool,
    /// Receives no new calls.
    leaving: bool,
    /// When its process started, Unix time in milliseconds; 0 for long ago.
    started_ms: u64,
    /// Calls in flight.
    calls: u32,
    /// Set when no new call may be written to it; read by calls whose connection is not up yet.
    closed: Arc<AtomicBool>,
    /// Shared with the other targets of its destination: requested waits and detected outages.
    route: Arc<RouteState>,
}

impl TargetEntry {
    /// Changes the state, and the flag that calls read.
    fn set_state(&mut self, gone: bool, leaving: bool) {
        (self.gone, self.leaving) = (gone, leaving);
        self.closed.store(gone || leaving, Ordering::Relaxed);
    }
}

/// The target of an entry of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Assignment {
    /// Its number.
    pub target: TargetId,
    /// The number that it had at another address, zone or destination.
    pub replaced: Option<TargetId>,
    /// Its process has started again since the last list: connections to the one before are of no use.
    pub restarted: bool,
}

impl Assignment {
    /// A target that is what it was.
    fn unchanged(target: TargetId) -> Assignment {
        Assignment { target, replaced: None, restarted: false }
    }

    /// A target that is gone, and that finds no room where the list has it now.
    fn without_room(target: TargetId) -> Assignment {
        Assignment { replaced: Some(target), ..Assignment::unchanged(target) }
    }

    /// Whether the target is gone and has no successor, for lack of room.
    pub fn lacks_room(&self) -> bool {
        self.replaced == Some(self.target)
    }
}

/// The targets by number. A number identifies one id at one address of one destination, so that
/// what was learned of a target, and its connections, never pass to another. Numbers are never
/// reused.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    numbers_by_id: HashMap<String, TargetId>,
    by_number: BTreeMap<TargetId, TargetEntry>,
    next: TargetId,
    /// Maximum number of targets, and of destinations.
    max: usize,
    /// Destinations, and when each last had a target.
    last_seen: BTreeMap<u32, Micros>,
    routes: RouteStates,
}

impl Targets {
    /// No targets yet, and at most `max` later.
    pub fn new(max: usize) -> Targets {
        Targets { max, ..Targets::default() }
    }

    /// Number of targets, those included that have left and were not dropped yet.
    pub fn len(&self) -> usize {
        self.by_number.len()
    }

    /// Whether a destination is remembered, or another one can be. They are remembered for longer than
    /// their targets.
    fn has_room_for_destination(&self, destination: u32) -> bool {
        self.knows_destination(destination) || self.last_seen.len() < self.max
    }

    /// Whether so many more may not all find room.
    pub fn is_crowded(&self, more: usize) -> bool {
        self.by_number.len() + more > self.max
    }

    /// The target of an entry. Returns none for one that has left and was never known, and for a new
    /// one beyond the maximum of targets or of destinations. `apart` tells whether requested waits and outages apply to this target
    /// alone.
    pub fn assign(&mut self, line: &ServerEntry, zone: u32, apart: bool) -> Option<Assignment> {
        let (gone, leaving) = (line.state == ServerState::Left, line.state != ServerState::Active);
        let known = self.numbers_by_id.get(&line.id).copied();
        if let Some(server) = known.and_then(|n| self.by_number.get_mut(&n)) {
            if (server.address, server.destination, server.zone) == (line.addr, line.cell, zone)
                && !server.gone
            {
                server.set_state(gone, leaving);
                server.route.defer_until(line.hold_until);
                let restarted = line.started_ms > server.started_ms;
                server.started_ms = server.started_ms.max(line.started_ms);
                return Some(Assignment { restarted, ..Assignment::unchanged(known?) });
            }
            server.set_state(true, server.leaving);
        }
        if gone {
            return known.map(Assignment::unchanged);
        }
        // One that has moved takes the room of the one before, which is dropped next.
        let has_room = known.is_some() || !self.is_crowded(1);
        if !has_room || !self.has_room_for_destination(line.cell) {
            return known.map(Assignment::without_room);
        }
        self.last_seen.entry(line.cell).or_default();
        let number = self.next;
        self.next += 1;
        self.numbers_by_id.insert(line.id.clone(), number);
        let (address, destination, id) = (line.addr, line.cell, line.id.clone());
        let route = self.routes.of(if apart {
            RouteScope::Endpoint(number)
        } else {
            RouteScope::Destination(destination)
        });
        route.defer_until(line.hold_until);
        self.by_number.insert(
            number,
            TargetEntry {
                address,
                zone,
                destination,
                id,
                gone: false,
                leaving,
                started_ms: line.started_ms,
                calls: 0,
                closed: Arc::new(AtomicBool::new(leaving)),
                route,
            },
        );
        Some(Assignment { target: number, replaced: known, restarted: false })
    }

    /// Marks targets as gone whose address a process has taken over that started later, by a list that
    /// has these `listed` targets and does not mention the ones before. Returns their numbers and
    /// destinations. Several targets may share one process: then they started at the same time.
    pub fn close_taken_over(&mut self, listed: &HashSet<TargetId>) -> Vec<(TargetId, u32)> {
        let mut started: HashMap<SocketAddr, u64> = HashMap::new();
        for target in listed.iter().filter_map(|number| self.by_number.get(number)).filter(|t| !t.gone) {
            let latest = started.entry(target.address).or_default();
            *latest = target.started_ms.max(*latest);
        }
        let taken_over = |number: &TargetId, target: &TargetEntry| {
            let is_older = started.get(&target.address).is_some_and(|latest| target.started_ms < *latest);
            is_older && !target.gone && !listed.contains(number)
        };
        let mut closed = Vec::new();
        for (number, target) in
            self.by_number.iter_mut().filter(|(number, target)| taken_over(number, target))
        {
            target.set_state(true, target.leaving);
            closed.push((*number, target.destination));
        }
        closed
    }

    /// Marks targets that a full list does not contain as gone.
    pub fn retain_listed(&mut self, listed: &HashSet<TargetId>) {
        self.by_number
            .iter_mut()
            .filter(|(number, _)| !listed.contains(number))
            .for_each(|(_, s)| s.set_state(true, s.leaving));
    }

    /// Marks targets as gone whose ids a full list does not contain, before the list's new ones need their room.
    pub fn retain_ids(&mut self, listed: &HashSet<&str>) {
        self.by_number
            .values_mut()
            .filter(|target| !listed.contains(target.id.as_str()))
            .for_each(|target| target.set_state(true, target.leaving));
    }

    /// Refreshes the last-seen time of all destinations that have a target now.
    pub fn mark_seen(&mut self, now: Micros) {
        for server in self.by_number.values().filter(|s| !s.gone) {
            self.last_seen.insert(server.destination, now);
        }
    }

    /// Whether the destination has a target, or had one recently.
    pub fn knows_destination(&self, destination: u32) -> bool {
        self.last_seen.contains_key(&destination)
    }

    /// Starts a call that was decided on at this time, unless the target has been closed since.
    pub fn begin_call(
        &mut self, number: TargetId, decided_at: Micros,
    ) -> Option<(SocketAddr, u32, PreflightCheck)> {
        let server = self.by_number.get_mut(&number).filter(|s| !s.gone && !s.leaving)?;
        server.calls += 1;
        let (route, closed) = (server.route.clone(), server.closed.clone());
        Some((server.address, server.zone, PreflightCheck { route, closed, decided_at }))
    }

    /// Records that the scheduler has detected an outage of the target's route at this time.
    pub fn record_outage(&self, number: TargetId, at: Micros) {
        if let Some(server) = self.by_number.get(&number) {
            server.route.record_outage(at);
        }
    }

    /// The destination of a target, also if the target has left while a call to it is in flight.
    pub fn destination(&self, number: TargetId) -> Option<u32> {
        self.by_number.get(&number).map(|s| s.destination)
    }

    /// The address and destination of a target, if it accepts new calls.
    pub fn open_address(&self, number: TargetId) -> Option<(SocketAddr, u32)> {
        let server = self.by_number.get(&number).filter(|s| !s.gone && !s.leaving)?;
        Some((server.address, server.destination))
    }

    /// Whether a target accepts new calls.
    pub fn is_open(&self, number: TargetId) -> bool {
        self.by_number.get(&number).is_some_and(|s| !s.gone && !s.leaving)
    }

    /// Name of a target.
    pub fn name(&self, number: TargetId) -> &str {
        self.by_number.get(&number).map_or("", |s| &s.id)
    }

    /// Calls in flight to targets of this name, at any address.
    pub fn calls_to(&self, name: &str) -> u32 {
        self.by_number.values().filter(|s| s.id == name).map(|s| s.calls).sum()
    }

    /// Ends a call. Returns whether the target is still listed.
    pub fn end_call(&mut self, number: TargetId) -> bool {
        let Some(server) = self.by_number.get_mut(&number) else { return false };
        server.calls = server.calls.saturating_sub(1);
        !server.gone
    }

    /// Drops targets that have left and have no call in flight, and destinations without a target
    /// since `before`. Returns the numbers of the dropped targets.
    pub fn remove_stale(&mut self, now: Micros, before: Micros) -> Vec<TargetId> {
        self.mark_seen(now);
        self.routes.sweep(now);
        self.last_seen.retain(|_, seen| *seen >= before);
        let stale = self.by_number.iter().filter(|(_, s)| s.gone && s.calls == 0);
        let stale: Vec<TargetId> = stale.map(|(number, _)| *number).collect();
        for number in &stale {
            let Some(server) = self.by_number.remove(number) else { continue };
            if self.numbers_by_id.get(&server.id) == Some(number) {
                self.numbers_by_id.remove(&server.id);
            }
        }
        stale
    }
}

#[cfg(test)]
#[path = "registry_tests.rs"]
mod tests;
