//! What the loop remembers by name: the targets of the list, and the ids of messages that were handed in.
//! Both forget, so that neither grows with what has gone.

use crate::list::{ServerLine, ServerState};
use foldtrack_delivery::{Micros, TargetId};
use foldtrack_preflight::{PreflightCheck, RouteScope, RouteState, RouteStates};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub address: SocketAddr,
    pub zone: u32,
    cell: u32,
    pub id: String,
    gone: bool,
    /// Nothing new goes there.
    leaving: bool,
    /// Calls to it that have no end yet.
    calls: u32,
    /// Nothing new is to be written to it any more: seen by calls whose connection is yet to be made.
    closed: Arc<AtomicBool>,
    /// What it shares with the others of its destination: waits told and outages found.
    route: Arc<RouteState>,
}

impl Server {
    fn set(&mut self, gone: bool, leaving: bool) {
        (self.gone, self.leaving) = (gone, leaving);
        self.closed.store(gone || leaving, Ordering::Relaxed);
    }
}

/// The targets by number. A number stands for one id at one address for one destination: what was learned of a
/// target, and its connections, never pass to another. No number is used twice.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    numbers: HashMap<String, TargetId>,
    servers: BTreeMap<TargetId, Server>,
    next: TargetId,
    /// Destinations, and when each was last seen with a target.
    cells: BTreeMap<u32, Micros>,
    routes: RouteStates,
}

impl Targets {
    /// The number of a line's target, and the number that it takes the place of. None for one that has left
    /// unknown. `apart` tells whether it is a route apart, with waits and outages of its own.
    pub fn number(
        &mut self, line: &ServerLine, zone: u32, apart: bool,
    ) -> Option<(TargetId, Option<TargetId>)> {
        let (gone, leaving) = (line.state == ServerState::Left, line.state != ServerState::Active);
        let known = self.numbers.get(&line.id).copied();
        if let Some(server) = known.and_then(|n| self.servers.get_mut(&n)) {
            if (server.address, server.cell, server.zone) == (line.addr, line.cell, zone) && !server.gone {
                server.set(gone, leaving);
                server.route.defer_until(line.hold_until);
                return Some((known?, None));
            }
            server.set(true, server.leaving);
        }
        if gone {
            return Some((known?, None));
        }
        let number = self.next;
        self.next += 1;
        self.numbers.insert(line.id.clone(), number);
        let (address, cell, id) = (line.addr, line.cell, line.id.clone());
        let route =
            self.routes.of(if apart { RouteScope::Endpoint(number) } else { RouteScope::Destination(cell) });
        route.defer_until(line.hold_until);
        self.servers.insert(
            number,
            Server {
                address,
                zone,
                cell,
                id,
                gone: false,
                leaving,
                calls: 0,
                closed: Arc::new(AtomicBool::new(leaving)),
                route,
            },
        );
        Some((number, known))
    }

    /// What a full list lacks is gone.
    pub fn only(&mut self, named: &HashSet<TargetId>) {
        self.servers
            .iter_mut()
            .filter(|(number, _)| !named.contains(number))
            .for_each(|(_, s)| s.set(true, s.leaving));
    }

    /// The destinations that have a target now.
    pub fn see(&mut self, now: Micros) {
        for server in self.servers.values().filter(|s| !s.gone) {
            self.cells.insert(server.cell, now);
        }
    }

    /// Whether the destination has, or had lately, a target.
    pub fn knows(&self, cell: u32) -> bool {
        self.cells.contains_key(&cell)
    }

    /// A call begins that was decided on then, unless the target has been closed since.
    pub fn begin_call(
        &mut self, number: TargetId, decided_at: Micros,
    ) -> Option<(SocketAddr, u32, PreflightCheck)> {
        let server = self.servers.get_mut(&number).filter(|s| !s.gone && !s.leaving)?;
        server.calls += 1;
        let (route, closed) = (server.route.clone(), server.closed.clone());
        Some((server.address, server.zone, PreflightCheck { route, closed, decided_at }))
    }

    /// The lane of a target has been found out by the module.
    pub fn record_outage(&self, number: TargetId, at: Micros) {
        if let Some(server) = self.servers.get(&number) {
            server.route.record_outage(at);
        }
    }

    /// The destination of a target, also of one that has gone while a call to it is out.
    pub fn destination(&self, number: TargetId) -> Option<u32> {
        self.servers.get(&number).map(|s| s.cell)
    }

    /// Where a target is that something new may go to, and whose it is.
    pub fn open_at(&self, number: TargetId) -> Option<(SocketAddr, u32)> {
        let server = self.servers.get(&number).filter(|s| !s.gone && !s.leaving)?;
        Some((server.address, server.cell))
    }

    /// Whether something new may go to a target.
    pub fn is_open(&self, number: TargetId) -> bool {
        self.servers.get(&number).is_some_and(|s| !s.gone && !s.leaving)
    }

    /// Name of a target.
    pub fn name(&self, number: TargetId) -> &str {
        self.servers.get(&number).map_or("", |s| &s.id)
    }

    /// Calls that are out to a target of this name, at whichever address.
    pub fn calls_to(&self, name: &str) -> u32 {
        self.servers.values().filter(|s| s.id == name).map(|s| s.calls).sum()
    }

    /// A call has its end; tells whether the target may be called again.
    pub fn end_call(&mut self, number: TargetId) -> bool {
        let Some(server) = self.servers.get_mut(&number) else { return false };
        server.calls = server.calls.saturating_sub(1);
        !server.gone
    }

    /// Forgets what has left and has no call out, and destinations without a target since `before`; gives the
    /// numbers of the targets.
    pub fn forget(&mut self, now: Micros, before: Micros) -> Vec<TargetId> {
        self.see(now);
        self.routes.sweep(now);
        self.cells.retain(|_, seen| *seen >= before);
        let over = self.servers.iter().filter(|(_, s)| s.gone && s.calls == 0);
        let over: Vec<TargetId> = over.map(|(number, _)| *number).collect();
        for number in &over {
            let Some(server) = self.servers.remove(number) else { continue };
            if self.numbers.get(&server.id) == Some(number) {
                self.numbers.remove(&server.id);
            }
        }
        over
    }
}

/// What has become of a message that was handed in before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Known {
    /// Its client has no answer yet.
    Open,
    /// Taken on, and perhaps delivered.
    Taken,
    /// Ended by a notice.
    Ended,
}

/// The ids of messages that were handed in, for some time after their end: a copy of one that is held, or was
/// delivered lately, must not be sent again.
#[derive(Debug, Default)]
pub(crate) struct Ids {
    hasher: RandomState,
    known: HashMap<u64, (u64, Known)>,
    /// Until when to remember, in the order of arrival.
    until: VecDeque<(Micros, u64, u64)>,
}

impl Ids {
    pub fn look(&self, id: &str) -> Option<Known> {
        self.known.get(&self.hasher.hash_one(id)).map(|(_, known)| *known)
    }

    /// The number of a message, where its id is remembered.
    pub fn number(&self, id: &str) -> Option<u64> {
        self.known.get(&self.hasher.hash_one(id)).map(|(number, _)| *number)
    }

    pub fn insert(&mut self, id: &str, number: u64, known: Known, until: Micros) {
        let hash = self.hasher.hash_one(id);
        self.known.insert(hash, (number, known));
        self.until.push_back((until, hash, number));
    }

    pub fn set(&mut self, id: &str, known: Known) {
        self.known.entry(self.hasher.hash_one(id)).and_modify(|entry| entry.1 = known);
    }

    /// The client will hand it in again, or may.
    pub fn remove(&mut self, id: &str) {
        self.known.remove(&self.hasher.hash_one(id));
    }

    /// Forgets what is past its time, and the oldest beyond `most`.
    pub fn forget(&mut self, now: Micros, most: usize) {
        while let Some((until, hash, number)) = self.until.front().copied() {
            if until > now && self.until.len() <= most {
                break;
            }
            self.until.pop_front();
            if self.known.get(&hash).is_some_and(|entry| entry.0 == number) {
                self.known.remove(&hash);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(id: &str, port: u16, cell: u32, state: ServerState) -> ServerLine {
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        ServerLine {
            hold_until: 0,
            id: id.into(),
            addr,
            zone: String::new(),
            kind: String::new(),
            cell,
            state,
            weight: 0.0,
            slots: None,
        }
    }

    #[test]
    fn a_number_names_one_target_and_is_forgotten_when_no_call_refers_to_it() {
        let mut targets = Targets::default();
        let active = |id: &str, port| line(id, port, 1, ServerState::Active);
        let (first, none) = targets.number(&active("a", 1), 0, false).unwrap();
        assert_eq!(none, None);
        assert_eq!(targets.number(&active("a", 1), 0, false), Some((first, None)));
        assert!(targets.begin_call(first, 0).is_some());
        // The same id at another address takes a number of its own.
        let (second, replaced) = targets.number(&active("a", 2), 0, false).unwrap();
        assert!(second != first && replaced == Some(first));
        assert!(targets.forget(10, 0).is_empty(), "a call is out");
        assert!(!targets.end_call(first));
        assert_eq!(targets.forget(10, 0), [first]);
        assert_eq!(targets.number(&line("a", 2, 1, ServerState::Left), 0, false), Some((second, None)));
        assert_eq!(targets.forget(20, 0), [second]);
        assert_eq!(targets.number(&line("a", 2, 1, ServerState::Left), 0, false), None);
        assert!(targets.knows(1));
        for n in 0..1000 {
            let (number, _) = targets.number(&active(&format!("t{n}"), 3), 0, false).unwrap();
            assert!(number > second);
            targets.only(&HashSet::from([number]));
            targets.forget(30, 0);
        }
        assert!(targets.servers.len() == 1 && targets.numbers.len() == 1);
        targets.only(&HashSet::new());
        targets.forget(40, 35);
        assert!(!targets.knows(1) && targets.servers.is_empty() && targets.numbers.is_empty());
    }

    #[test]
    fn ids_are_remembered_for_their_time_and_no_more_than_there_is_room_for() {
        let mut ids = Ids::default();
        for n in 0..100 {
            ids.insert(&format!("m{n}"), n, Known::Taken, 1_000 + n);
        }
        ids.remove("m3");
        ids.insert("m3", 200, Known::Open, 5_000);
        ids.forget(1_050, 1_000);
        assert_eq!(
            (ids.look("m49"), ids.look("m51"), ids.look("m3")),
            (None, Some(Known::Taken), Some(Known::Open))
        );
        ids.forget(1_050, 10);
        assert!(ids.known.len() == 10 && ids.until.len() == 10 && ids.look("m3").is_some());
    }
}
