//! Registries of the event loop: the targets of the list, and the ids of submitted messages. Both
//! drop what is gone, so that they do not grow without bound.

use crate::list::{ServerEntry, ServerState};
use foldtrack_delivery::{Micros, TargetId};
use foldtrack_preflight::{PreflightCheck, RouteScope, RouteState, RouteStates};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::hash::BuildHasher;
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
}

/// The targets by number. A number identifies one id at one address of one destination, so that
/// what was learned of a target, and its connections, never pass to another. Numbers are never
/// reused.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    numbers_by_id: HashMap<String, TargetId>,
    by_number: BTreeMap<TargetId, TargetEntry>,
    next: TargetId,
    /// Maximum number of targets.
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

    /// Whether so many more may not all find room.
    pub fn is_crowded(&self, more: usize) -> bool {
        self.by_number.len() + more > self.max
    }

    /// The target of an entry. Returns none for one that has left and was never known, and for a new
    /// one beyond the maximum. `apart` tells whether requested waits and outages apply to this target
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
        if gone || self.is_crowded(1) {
            return known.map(Assignment::unchanged);
        }
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

/// State of a message that was submitted before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubmissionState {
    /// Its client has no reply yet.
    Undecided,
    /// Accepted, and perhaps delivered.
    Accepted,
    /// Ended by a notice.
    Ended,
}

/// A remembered id.
#[derive(Clone, Copy, Debug)]
struct IdEntry {
    /// Number of the message.
    number: u64,
    state: SubmissionState,
}

/// When an id may be forgotten.
#[derive(Clone, Copy, Debug)]
struct IdExpiry {
    at: Micros,
    /// Hash of the id.
    hash: u64,
    /// Number of the message. The id may have been submitted again since.
    number: u64,
}

/// The ids of submitted messages, kept for some time after their end: a duplicate of a message that
/// is held or was delivered recently must not be sent.
#[derive(Debug, Default)]
pub(crate) struct MessageIds {
    hasher: RandomState,
    /// By hash of the id.
    entries: HashMap<u64, IdEntry>,
    /// The expiries of accepted ids, in the order of acceptance. An undecided id has none: it is
    /// accepted or removed with the answer to its client, and refused ones displace no other.
    expiries: VecDeque<IdExpiry>,
}

impl MessageIds {
    /// The state of a message, if its id is remembered.
    pub fn state(&self, id: &str) -> Option<SubmissionState> {
        self.entries.get(&self.hasher.hash_one(id)).map(|entry| entry.state)
    }

    /// The number of a message, if its id is remembered.
    pub fn number(&self, id: &str) -> Option<u64> {
        self.entries.get(&self.hasher.hash_one(id)).map(|entry| entry.number)
    }

    /// Number of ids that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Remembers the id of a message whose client has no reply yet.
    pub fn insert(&mut self, id: &str, number: u64) {
        let entry = IdEntry { number, state: SubmissionState::Undecided };
        self.entries.insert(self.hasher.hash_one(id), entry);
    }

    /// Changes the state of a remembered id, which is kept until `until` from its acceptance on.
    pub fn set_state(&mut self, id: &str, state: SubmissionState, until: Micros) {
        let hash = self.hasher.hash_one(id);
        let Some(entry) = self.entries.get_mut(&hash) else { return };
        if entry.state == SubmissionState::Undecided {
            self.expiries.push_back(IdExpiry { at: until, hash, number: entry.number });
        }
        entry.state = state;
    }

    /// Forgets an id: the client will, or may, submit the message again.
    pub fn remove(&mut self, id: &str) {
        self.entries.remove(&self.hasher.hash_one(id));
    }

    /// Forgets expired ids, and the oldest ones beyond `most`, but none whose message `is_open`: it is
    /// held, or its notice is owed.
    pub fn forget(&mut self, now: Micros, most: usize, is_open: impl Fn(u64) -> bool) {
        for _ in 0..self.expiries.len() {
            let Some(expiry) = self.expiries.front().copied() else { return };
            if expiry.at > now && self.expiries.len() <= most {
                return;
            }
            self.expiries.pop_front();
            if self.entries.get(&expiry.hash).is_none_or(|entry| entry.number != expiry.number) {
                continue;
            }
            if is_open(expiry.number) {
                self.expiries.push_back(expiry);
            } else {
                self.entries.remove(&expiry.hash);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(id: &str, port: u16, cell: u32, state: ServerState) -> ServerEntry {
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        ServerEntry {
            hold_until: 0,
            id: id.into(),
            addr,
            zone: String::new(),
            kind: String::new(),
            cell,
            state,
            weight: 0.0,
            started_ms: 0,
            slots: None,
        }
    }

    #[test]
    fn a_number_identifies_one_target_and_is_dropped_when_no_call_refers_to_it() {
        let mut targets = Targets::new(1_024);
        let active = |id: &str, port| line(id, port, 1, ServerState::Active);
        let Assignment { target: first, replaced, .. } = targets.assign(&active("a", 1), 0, false).unwrap();
        assert_eq!(replaced, None);
        assert_eq!(targets.assign(&active("a", 1), 0, false), Some(Assignment::unchanged(first)));
        assert!(targets.begin_call(first, 0).is_some());
        // The same id at another address gets a new number.
        let Assignment { target: second, replaced, .. } = targets.assign(&active("a", 2), 0, false).unwrap();
        assert!(second != first && replaced == Some(first));
        assert!(targets.remove_stale(10, 0).is_empty(), "a call is in flight");
        assert!(!targets.end_call(first));
        assert_eq!(targets.remove_stale(10, 0), [first]);
        assert_eq!(
            targets.assign(&line("a", 2, 1, ServerState::Left), 0, false),
            Some(Assignment::unchanged(second))
        );
        assert_eq!(targets.remove_stale(20, 0), [second]);
        assert_eq!(targets.assign(&line("a", 2, 1, ServerState::Left), 0, false), None);
        assert!(targets.knows_destination(1));
        for n in 0..1000 {
            let number = targets.assign(&active(&format!("t{n}"), 3), 0, false).unwrap().target;
            assert!(number > second);
            targets.retain_listed(&HashSet::from([number]));
            targets.remove_stale(30, 0);
        }
        assert!(targets.by_number.len() == 1 && targets.numbers_by_id.len() == 1);
        targets.retain_listed(&HashSet::new());
        targets.remove_stale(40, 35);
        assert!(
            !targets.knows_destination(1) && targets.by_number.is_empty() && targets.numbers_by_id.is_empty()
        );
    }

    #[test]
    fn a_target_at_the_address_of_a_later_process_is_gone_and_one_that_shares_a_process_stays() {
        let mut targets = Targets::new(1_024);
        let started =
            |id: &str, started_ms| ServerEntry { started_ms, ..line(id, 1, 1, ServerState::Active) };
        let assign = |targets: &mut Targets, entry| targets.assign(&entry, 0, false).unwrap();
        let old = assign(&mut targets, started("a", 5)).target;
        let beside = assign(&mut targets, started("b", 5)).target;
        assert!(targets.close_taken_over(&HashSet::from([beside])).is_empty());
        let new = assign(&mut targets, started("c", 9)).target;
        assert!(targets.close_taken_over(&HashSet::from([old, beside, new])).is_empty(), "all are listed");
        assert_eq!(targets.close_taken_over(&HashSet::from([new])), [(old, 1), (beside, 1)]);
        assert!(!targets.is_open(old) && targets.is_open(new));
        assert!(
            assign(&mut targets, started("c", 12)).restarted
                && !assign(&mut targets, started("c", 12)).restarted
        );
    }

    #[test]
    fn targets_beyond_the_maximum_find_no_room_until_others_have_left() {
        let mut targets = Targets::new(3);
        let active = |id: &str| line(id, 1, 1, ServerState::Active);
        let old: Vec<_> =
            ["a", "b", "c"].map(|id| targets.assign(&active(id), 0, false).unwrap().target).into();
        assert!(targets.is_crowded(1) && targets.assign(&active("d"), 0, false).is_none());
        assert_eq!(
            targets.assign(&active("a"), 0, false),
            Some(Assignment::unchanged(old[0])),
            "a known one stays"
        );
        targets.retain_ids(&HashSet::from(["a", "d"]));
        assert_eq!(targets.remove_stale(10, 0), old[1..]);
        assert!(targets.assign(&active("d"), 0, false).is_some());
    }

    /// Remembers an accepted id.
    fn accept(ids: &mut MessageIds, id: &str, number: u64, until: Micros) {
        ids.insert(id, number);
        ids.set_state(id, SubmissionState::Accepted, until);
    }

    fn nothing_open(_: u64) -> bool {
        false
    }

    #[test]
    fn ids_are_remembered_until_they_expire_and_up_to_the_limit() {
        let mut ids = MessageIds::default();
        for n in 0..100 {
            accept(&mut ids, &format!("m{n}"), n, 1_000 + n);
        }
        ids.remove("m3");
        ids.insert("m3", 200);
        ids.forget(1_050, 1_000, nothing_open);
        assert_eq!(
            (ids.state("m49"), ids.state("m51"), ids.state("m3")),
            (None, Some(SubmissionState::Accepted), Some(SubmissionState::Undecided))
        );
        ids.set_state("m3", SubmissionState::Accepted, 5_000);
        ids.forget(1_050, 10, nothing_open);
        assert!(ids.entries.len() == 10 && ids.expiries.len() == 10 && ids.state("m3").is_some());
    }

    #[test]
    fn refused_ids_displace_no_accepted_one_and_open_messages_keep_theirs() {
        let mut ids = MessageIds::default();
        accept(&mut ids, "delivered", 1, 1_000);
        accept(&mut ids, "held", 2, 1_000);
        for n in 10..1_000 {
            ids.insert("refused", n);
            ids.remove("refused");
        }
        ids.forget(500, 2, nothing_open);
        assert!(ids.state("delivered").is_some() && ids.len() == 2 && ids.expiries.len() == 2);
        for n in 1_000..1_100 {
            accept(&mut ids, &format!("m{n}"), n, 1_000);
        }
        ids.forget(2_000, 50, |number| number == 2);
        assert_eq!((ids.len(), ids.state("held")), (1, Some(SubmissionState::Accepted)));
    }
}
