//! The admission gate: decides on every connection and request.
//!
//! Connection slots are shared by two groups, known and unknown clients. Unknown clients together
//! get at most what is left of `max_connections` after the reserve, or after the connections of
//! known clients if those are more. So a known client finds a slot as long as known clients hold
//! fewer than the reserve. Within scarce capacity, an address with more connections gives way to
//! one with fewer (max-min fairness); none gives way to an address that holds as many.

use crate::account::Account;
use crate::bucket::Bucket;
use crate::{Micros, Settings};
use ipnet::IpNet;
use pingora_limits::estimator::Estimator;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;

/// Addresses examined, largest holders first, when looking for a connection to evict.
const MAX_HOLDERS_EXAMINED: usize = 8;
/// Connections of one address rejected within a second that count as a flood. The flood ends once
/// none was rejected for [`FLOOD_QUIET_US`].
const FLOOD_THRESHOLD: u32 = 20;
const FLOOD_QUIET_US: Micros = 10_000_000;
/// Floods tracked by address. Any further one counts as part of a distributed flood.
const MAX_TRACKED_FLOODS: usize = 16;
/// Hashes and slots of the count-min sketch that counts new connections of unremembered addresses,
/// and the window after which it is reset. Its estimate is never too low, and too high by more than
/// a share e/slots of all connections with a probability of only exp(-hashes) (Cormode and
/// Muthukrishnan 2005).
const SKETCH_SIZE: (usize, usize) = (4, 2048);
const SKETCH_WINDOW_US: Micros = 1_000_000;
/// Maximum number of blocks at a time.
pub const MAX_BLOCKS: usize = 1_000;
/// Factor by which an address may exceed its share before its requests are refused.
const SHARE_TOLERANCE: f64 = 1.25;

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// No request has arrived on it yet.
    Silent,
    /// It is between two requests.
    Idle,
    /// A request is in flight.
    Active,
}

/// Why a connection or a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The operator blocked the network of the address.
    Blocked,
    /// There are too many new connections per second.
    RateLimited,
    /// The address has its maximum number of connections.
    AddressLimit,
    /// The prefix of the address has its maximum number of connections.
    PrefixLimit,
    /// Every slot that the address could get is held by addresses with no more connections than it
    /// has.
    NoCapacity,
    /// The address has its maximum number of requests in flight.
    RequestLimit,
    /// The address has used up its share of scarce capacity.
    ShareExceeded,
}

impl RejectReason {
    /// The stable name of the reason.
    pub fn as_str(self) -> &'static str {
        match self {
            RejectReason::Blocked => "blocked",
            RejectReason::RateLimited => "too_fast",
            RejectReason::AddressLimit => "address",
            RejectReason::PrefixLimit => "prefix",
            RejectReason::NoCapacity => "full",
            RejectReason::RequestLimit => "requests",
            RejectReason::ShareExceeded => "share",
        }
    }
}

/// Decision on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectDecision {
    /// The connection gets a slot, and another one may have to be closed for it.
    Admit {
        /// The number of the connection to close.
        evicted: Option<u64>,
    },
    /// Every slot is held by a request in flight: the connection waits until one is free.
    Wait,
    /// The connection is closed.
    Reject {
        /// Why it is rejected.
        reason: RejectReason,
        /// Microseconds after which the client may retry; 0 if unknown.
        retry_after: Micros,
    },
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestDecision {
    /// The request is processed.
    Accept,
    /// The request is refused.
    Reject {
        /// Why it is refused.
        reason: RejectReason,
        /// Microseconds after which the client may retry.
        retry_after: Micros,
    },
}

/// An event that the operator should see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Connections are being rejected at a high rate.
    FloodStarted {
        /// The address that causes the flood; none if many addresses do.
        address: Option<IpAddr>,
    },
    /// The flood is over.
    FloodEnded {
        /// The address that caused it; none if many addresses did.
        address: Option<IpAddr>,
        /// Connections rejected during the flood.
        turned_away: u64,
        /// Duration in microseconds.
        lasted: Micros,
    },
}

/// Statistics of one address.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientStats {
    /// The address.
    pub address: IpAddr,
    /// It is on the configured list of known clients.
    pub named: bool,
    /// It counts as a known client, by the list or by its accepted messages.
    pub known: bool,
    /// Open connections.
    pub connections: usize,
    /// Requests in flight.
    pub open_requests: usize,
    /// Requests received since the process started.
    pub requests_total: u64,
    /// Messages accepted since the process started.
    pub accepted: u64,
    /// Requests refused since the process started.
    pub refused: u64,
    /// Connections rejected since the process started.
    pub rejected: u64,
    /// Requests per second.
    pub rate: f64,
    /// Share of the address in all requests per second, 0 to 1.
    pub share: f64,
    /// The address causes a flood at the moment.
    pub flooding: bool,
}

#[derive(Debug)]
struct Connection {
    address: IpAddr,
    state: ConnectionState,
    since: Micros,
}

/// The connections of either known or unknown clients.
#[derive(Debug, Default)]
struct Group {
    /// Open connections.
    connections: usize,
    /// Addresses with connections, ordered by how many they have.
    holders: BTreeSet<(usize, IpAddr)>,
}

/// Decides which connections and requests are admitted. Performs no I/O and reads no clock.
pub struct Gate {
    settings: Settings,
    now: Micros,
    connections: HashMap<u64, Connection>,
    accounts: HashMap<IpAddr, Account>,
    /// Accounts without connections, ordered by whether they have credit and by when they were last
    /// seen.
    idle_accounts: BTreeSet<(bool, Micros, IpAddr)>,
    /// Open connections by prefix.
    prefixes: HashMap<IpNet, usize>,
    /// Connections of unknown and of known clients.
    groups: [Group; 2],
    open_requests: usize,
    /// Connections on which a request has arrived.
    used_connections: usize,
    /// Sums of the weights of the addresses that have connections: unknown, known.
    weights: [f64; 2],
    /// Requests per second of all clients, as of `rate_at`.
    rate: f64,
    rate_at: Micros,
    /// Counts of new connections by unremembered addresses, in the current window and the previous
    /// one.
    sketches: [Estimator; 2],
    sketch_started: Micros,
    /// Rate limit for the new connections of all unknown clients together.
    unknown_rate: Bucket,
    blocks: BTreeMap<IpNet, Micros>,
    floods: BTreeSet<IpAddr>,
    /// A flood from many addresses: its start, the connections rejected, the last rejection, and
    /// the current one-second window with its count.
    distributed_flood: (Option<Micros>, u64, Micros, (Micros, u32)),
    events: Vec<Event>,
}

impl std::fmt::Debug for Gate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gate").field("connections", &self.connections.len()).finish_non_exhaustive()
    }
}

impl Gate {
    /// Creates a gate without connections.
    pub fn new(settings: Settings) -> Gate {
        let sketch = || Estimator::new(SKETCH_SIZE.0, SKETCH_SIZE.1);
        Gate {
            unknown_rate: Bucket::new(0, settings.unknown_connections, 0.0),
            settings,
            now: 0,
            connections: HashMap::new(),
            accounts: HashMap::new(),
            idle_accounts: BTreeSet::new(),
            prefixes: HashMap::new(),
            groups: Default::default(),
            open_requests: 0,
            used_connections: 0,
            weights: [0.0; 2],
            rate: 0.0,
            rate_at: 0,
            sketches: [sketch(), sketch()],
            sketch_started: 0,
            blocks: BTreeMap::new(),
            floods: BTreeSet::new(),
            distributed_flood: (None, 0, 0, (0, 0)),
            events: Vec::new(),
        }
    }

    /// Advances the gate's clock, which never runs backwards, whatever the caller's clock does. A
    /// jump ahead only refills buckets and lets credit decay.
    fn advance_clock(&mut self, now: Micros) -> Micros {
        self.now = self.now.max(now);
        self.now
    }

    /// Changes the number of slots, as the descriptor limit changes. Returns the connections to
    /// close: those of unknown clients first, and none with a request in flight.
    pub fn set_max_connections(&mut self, now: Micros, max_connections: usize) -> Vec<u64> {
        let now = self.advance_clock(now);
        self.settings.max_connections = max_connections;
        let mut evicted = Vec::new();
        while self.connections.len() > max_connections {
            let [unknown_group, known_group] = &self.groups;
            let Some(number) = self
                .evict_from_largest(unknown_group, 0, now)
                .or_else(|| self.evict_from_largest(known_group, 0, now))
            else {
                break;
            };
            self.disconnect(now, number);
            evicted.push(number);
        }
        evicted
    }

    /// Decides on a new connection. `number` identifies it from now on if it is admitted, and must
    /// not be in use.
    pub fn connect(&mut self, now: Micros, number: u64, address: IpAddr) -> ConnectDecision {
        let (now, address) = (self.advance_clock(now), address.to_canonical());
        let blocked = self.blocked_until(address, now);
        let used = self.recent_connections(address, now);
        if let Some(until) = blocked {
            self.record_rejection(address, now);
            return ConnectDecision::Reject {
                reason: RejectReason::Blocked,
                retry_after: until.saturating_sub(now),
            };
        }
        self.ensure_account(address, now, used);
        let Some(account) = self.accounts.get_mut(&address) else { return ConnectDecision::Wait };
        account.update_known(now, &self.settings);
        if !account.known {
            let own_rate = account.new_connection_rate.take(now, self.settings.new_connections);
            // A client above its own rate takes nothing from the shared bucket.
            let taken =
                own_rate.and_then(|()| self.unknown_rate.take(now, self.settings.unknown_connections));
            if let Err(retry_after) = taken {
                self.record_rejection(address, now);
                return ConnectDecision::Reject { reason: RejectReason::RateLimited, retry_after };
            }
        }
        self.allocate(number, address, now)
    }

    /// Decides again on a connection that was told to wait. It does not count as a new connection.
    pub fn retry_waiting(&mut self, now: Micros, number: u64, address: IpAddr) -> ConnectDecision {
        let (now, address) = (self.advance_clock(now), address.to_canonical());
        if let Some(until) = self.blocked_until(address, now) {
            self.record_rejection(address, now);
            return ConnectDecision::Reject {
                reason: RejectReason::Blocked,
                retry_after: until.saturating_sub(now),
            };
        }
        // The account may have been dropped while the connection waited.
        self.ensure_account(address, now, 0.0);
        self.allocate(number, address, now)
    }

    /// Finds a slot for a connection that has passed the rate limits.
    fn allocate(&mut self, number: u64, address: IpAddr, now: Micros) -> ConnectDecision {
        let settings = &self.settings;
        let Some(account) = self.accounts.get_mut(&address) else { return ConnectDecision::Wait };
        let (known, open, prefix) = (account.known, account.connections, account.prefix);
        let cap = if known { settings.per_known } else { settings.per_address };
        let in_prefix = self.prefixes.get(&prefix).copied().unwrap_or(0);
        let own_candidate = account.eviction_candidate(now, settings);
        let limit_reached = match () {
            () if open >= cap => Some(RejectReason::AddressLimit),
            () if !known && in_prefix >= settings.per_prefix => Some(RejectReason::PrefixLimit),
            () => None,
        };
        let capacity = match limit_reached {
            // At its limit, an address may replace one of its own silent connections, which takes
            // nothing from others.
            Some(reason) => match own_candidate.filter(|n| self.is_silent(*n, now)) {
                Some(number) => Ok(Some(number)),
                None => Err(reason),
            },
            None => self.find_capacity(known, open, own_candidate, now),
        };
        match capacity {
            Ok(evicted) => {
                self.insert(number, address, now);
                evicted.iter().for_each(|number| self.disconnect(now, *number));
                ConnectDecision::Admit { evicted }
            }
            Err(RejectReason::NoCapacity) if known => ConnectDecision::Wait,
            Err(reason) => {
                self.record_rejection(address, now);
                ConnectDecision::Reject { reason, retry_after: 0 }
            }
        }
    }

    /// Returns the connection to evict for a new one, or `None` if a slot is free.
    fn find_capacity(
        &self, known: bool, open: usize, own_candidate: Option<u64>, now: Micros,
    ) -> Result<Option<u64>, RejectReason> {
        let [unknown_group, known_group] = &self.groups;
        let max_connections = self.settings.max_connections;
        let free = match known {
            true => unknown_group.connections + known_group.connections < max_connections,
            false => {
                unknown_group.connections + known_group.connections.max(self.settings.reserve)
                    < max_connections
            }
        };
        if free {
            return Ok(None);
        }
        if known {
            // Unknown clients give way first: up to the reserve all of them, beyond it those that
            // hold more.
            let more_than = if known_group.connections < self.settings.reserve { 0 } else { open + 1 };
            if let Some(number) = self.evict_from_largest(unknown_group, more_than, now) {
                return Ok(Some(number));
            }
        }
        let group = &self.groups[usize::from(known)];
        let from_larger = self.evict_from_largest(group, open + 1, now);
        // A known client may also replace its own idle connection, so that a proxy's next
        // connection gets in.
        from_larger
            .or(own_candidate.filter(|n| known || self.is_silent(*n, now)))
            .map(Some)
            .ok_or(RejectReason::NoCapacity)
    }

    /// The connection to evict from the address that holds most, if it holds more than `more_than`.
    fn evict_from_largest(&self, group: &Group, more_than: usize, now: Micros) -> Option<u64> {
        let holders =
            group.holders.iter().rev().take(MAX_HOLDERS_EXAMINED).filter(|(open, _)| *open > more_than);
        let mut accounts = holders.filter_map(|(_, address)| self.accounts.get(address));
        accounts.find_map(|account| account.eviction_candidate(now, &self.settings))
    }

    /// Whether a connection has been silent for longer than `silent_after`.
    fn is_silent(&self, number: u64, now: Micros) -> bool {
        self.connections.get(&number).is_some_and(|c| {
            c.state == ConnectionState::Silent && now.saturating_sub(c.since) > self.settings.silent_after
        })
    }

    /// Estimates the connections of an unremembered address in the last one or two windows.
    fn recent_connections(&mut self, address: IpAddr, now: Micros) -> f64 {
        if now >= self.sketch_started + SKETCH_WINDOW_US {
            self.sketches.swap(0, 1);
            self.sketches[0].reset();
            if now >= self.sketch_started + 2 * SKETCH_WINDOW_US {
                self.sketches[1].reset();
            }
            self.sketch_started = now;
        }
        let before = self.sketches[1].get(address);
        // The connection being decided on takes its own token, so it is not counted here.
        let now = self.sketches[0].incr(address, 1) - 1;
        now.max(0).saturating_add(before.max(0)) as f64
    }

    /// Creates the account of an address unless it has one.
    fn ensure_account(&mut self, address: IpAddr, now: Micros, used: f64) {
        if self.accounts.contains_key(&address) {
            return;
        }
        if self.accounts.len() >= self.settings.max_idle_accounts + self.settings.max_connections {
            // Drops the account that has been idle for longest; accounts with credit are dropped
            // last.
            if let Some(oldest) = self.idle_accounts.pop_first() {
                self.accounts.remove(&oldest.2);
            }
        }
        let (prefix, named) = (self.settings.prefix(address), self.settings.is_named(address));
        let mut account = Account::new(prefix, named, now, &self.settings, used);
        account.resting = Some((false, now));
        self.accounts.insert(address, account);
        self.idle_accounts.insert((false, now, address));
    }

    /// Adds an admitted connection.
    fn insert(&mut self, number: u64, address: IpAddr, now: Micros) {
        let Some(account) = self.accounts.get_mut(&address) else { return };
        if account.connections == 0 {
            account
                .resting
                .take()
                .map(|(has_credit, since)| self.idle_accounts.remove(&(has_credit, since, address)));
            self.weights[usize::from(account.known)] += account.weight();
        }
        let group = &mut self.groups[usize::from(account.known)];
        group.holders.remove(&(account.connections, address));
        account.connections += 1;
        group.connections += 1;
        group.holders.insert((account.connections, address));
        account.silent.insert((now, number));
        account.last_active = now;
        *self.prefixes.entry(account.prefix).or_default() += 1;
        self.connections.insert(number, Connection { address, state: ConnectionState::Silent, since: now });
    }

    /// Removes a closed connection. Unknown numbers are ignored: an evicted connection is removed
    /// at once and reports its own close later.
    pub fn disconnect(&mut self, now: Micros, number: u64) {
        let now = self.advance_clock(now);
        let Some(connection) = self.connections.remove(&number) else { return };
        let Connection { address, state, since } = connection;
        let Some(account) = self.accounts.get_mut(&address) else { return };
        self.used_connections -= usize::from(state != ConnectionState::Silent);
        match state {
            ConnectionState::Silent => drop(account.silent.remove(&(since, number))),
            ConnectionState::Idle => drop(account.idle.remove(&(since, number))),
            ConnectionState::Active => {
                account.open_requests = account.open_requests.saturating_sub(1);
                self.open_requests = self.open_requests.saturating_sub(1);
            }
        }
        let group = &mut self.groups[usize::from(account.known)];
        group.holders.remove(&(account.connections, address));
        account.connections = account.connections.saturating_sub(1);
        group.connections = group.connections.saturating_sub(1);
        account.last_active = now;
        if let Some(count) = self.prefixes.get_mut(&account.prefix) {
            *count -= 1;
            if *count == 0 {
                self.prefixes.remove(&account.prefix);
            }
        }
        if account.connections > 0 {
            group.holders.insert((account.connections, address));
            return;
        }
        let weights = &mut self.weights[usize::from(account.known)];
        *weights = (*weights - account.weight()).max(0.0);
        account.update_known(now, &self.settings);
        let has_credit = account.credit(now, &self.settings) >= 1.0;
        account.resting = Some((has_credit, now));
        self.idle_accounts.insert((has_credit, now, address));
    }

    /// Decides on a request. A refused request stays in flight until its response is written, like
    /// any other.
    pub fn begin_request(&mut self, now: Micros, number: u64) -> RequestDecision {
        let now = self.advance_clock(now);
        let all = self.rate(now);
        (self.rate, self.rate_at) = (all + 1.0, now);
        let Some(connection) = self.connections.get_mut(&number) else { return RequestDecision::Accept };
        let Some(account) = self.accounts.get_mut(&connection.address) else {
            return RequestDecision::Accept;
        };
        match connection.state {
            ConnectionState::Silent => {
                account.silent.remove(&(connection.since, number));
                self.used_connections += 1;
            }
            ConnectionState::Idle => drop(account.idle.remove(&(connection.since, number))),
            ConnectionState::Active => return RequestDecision::Accept,
        }
        (connection.state, connection.since) = (ConnectionState::Active, now);
        let open = account.open_requests;
        account.open_requests += 1;
        account.last_active = now;
        account.record_request(now);
        self.open_requests += 1;
        if open >= self.settings.max_requests_per_address {
            account.refused += 1;
            return RequestDecision::Reject { reason: RejectReason::RequestLimit, retry_after: 100_000 };
        }
        // While there is capacity for all, no share is enforced. Known clients share among
        // themselves, so that unknown clients, however many, do not dilute their share.
        let [unknown_weight, known_weight] = self.weights;
        let weights = if account.known { known_weight } else { unknown_weight + known_weight };
        // Idle clients leave their share to the others: half of the total rate is always allowed.
        let share = all * (account.weight() / weights.max(account.weight())).max(0.5);
        if self.open_requests > self.settings.sharing_threshold
            && account.rate(now) > SHARE_TOLERANCE * share + 1.0
        {
            let retry_after = account.time_until_rate(now, share);
            if retry_after > 0 && account.weight() < weights {
                account.refused += 1;
                return RequestDecision::Reject { reason: RejectReason::ShareExceeded, retry_after };
            }
        }
        RequestDecision::Accept
    }

    /// Requests per second of all clients.
    fn rate(&self, now: Micros) -> f64 {
        self.rate * (-(now.saturating_sub(self.rate_at) as f64) / 1e6).exp()
    }

    /// Records that a request was answered; `accepted` if a message was accepted with it.
    pub fn end_request(&mut self, now: Micros, number: u64, accepted: bool) {
        let now = self.advance_clock(now);
        let Some(connection) = self.connections.get_mut(&number) else { return };
        let Some(account) = self.accounts.get_mut(&connection.address) else { return };
        if connection.state == ConnectionState::Active {
            account.open_requests = account.open_requests.saturating_sub(1);
            self.open_requests = self.open_requests.saturating_sub(1);
            (connection.state, connection.since) = (ConnectionState::Idle, now);
            account.idle.insert((now, number));
        }
        if !accepted {
            return;
        }
        let (was_known, weight) = (account.known, account.weight());
        account.add_credit(now, &self.settings);
        if account.known && !was_known {
            // The address has become known: its connections move to the known group and free that
            // many slots for unknown clients.
            let (open, address) = (account.connections, connection.address);
            self.weights[0] = (self.weights[0] - weight).max(0.0);
            self.weights[1] += account.weight();
            self.groups[0].holders.remove(&(open, address));
            self.groups[0].connections = self.groups[0].connections.saturating_sub(open);
            self.groups[1].holders.insert((open, address));
            self.groups[1].connections += open;
        }
    }

    /// Records that the client was too slow or violated HTTP: its address loses half of its credit.
    pub fn penalize(&mut self, now: Micros, number: u64) {
        let now = self.advance_clock(now);
        let Some(connection) = self.connections.get(&number) else { return };
        if let Some(account) = self.accounts.get_mut(&connection.address) {
            account.halve_credit(now, &self.settings);
        }
    }

    /// Whether the connection belongs to a known client.
    pub fn is_known(&self, number: u64) -> bool {
        let address = self.connections.get(&number).map(|c| c.address);
        address.and_then(|a| self.accounts.get(&a)).is_some_and(|a| a.known)
    }

    /// Number of connections that have carried a request, and of all connections.
    pub fn connection_counts(&self) -> (usize, usize) {
        (self.used_connections, self.connections.len())
    }

    /// Counts a rejected connection, and detects floods.
    fn record_rejection(&mut self, address: IpAddr, now: Micros) {
        let Some(account) = self.accounts.get_mut(&address) else {
            return self.record_distributed_rejection(now);
        };
        account.rejected += 1;
        account.last_active = now;
        if now >= account.recent_rejections.0 + 1_000_000 {
            account.recent_rejections = (now, 0);
        }
        account.recent_rejections.1 += 1;
        if let Some((_, count, last)) = &mut account.flood {
            (*count, *last) = (*count + 1, now);
        } else if account.recent_rejections.1 >= FLOOD_THRESHOLD
            && self.floods.len() < MAX_TRACKED_FLOODS
            && self.distributed_flood.0.is_none()
        {
            account.flood = Some((now, u64::from(account.recent_rejections.1), now));
            self.floods.insert(address);
            self.events.push(Event::FloodStarted { address: Some(address) });
        } else {
            self.record_distributed_rejection(now);
        }
    }

    /// Counts rejected connections of addresses that are not tracked as floods of their own.
    fn record_distributed_rejection(&mut self, now: Micros) {
        let (since, count, last, second) = &mut self.distributed_flood;
        if now >= second.0 + 1_000_000 {
            *second = (now, 0);
        }
        second.1 += 1;
        if since.is_some() {
            (*count, *last) = (*count + 1, now);
        } else if second.1 >= FLOOD_THRESHOLD * MAX_TRACKED_FLOODS as u32 {
            (*since, *count, *last) = (Some(now), u64::from(second.1), now);
            self.events.push(Event::FloodStarted { address: None });
        }
    }

    /// Returns the events since the last call. It has to be called regularly, since this is also
    /// where the end of a flood is noticed.
    pub fn take_events(&mut self, now: Micros) -> Vec<Event> {
        let now = self.advance_clock(now);
        let ended: Vec<(IpAddr, (Micros, u64, Micros))> = self
            .floods
            .iter()
            .filter_map(|a| Some((*a, self.accounts.get(a)?.flood?)))
            .filter(|(_, (.., last))| now >= last + FLOOD_QUIET_US)
            .collect();
        for (address, (since, turned_away, last)) in ended {
            self.floods.remove(&address);
            self.accounts.entry(address).and_modify(|a| a.flood = None);
            let lasted = last.saturating_sub(since);
            self.events.push(Event::FloodEnded { address: Some(address), turned_away, lasted });
        }
        // The flood of an address whose account was dropped has ended long ago.
        let accounts = &self.accounts;
        self.floods.retain(|a| accounts.get(a).is_some_and(|a| a.flood.is_some()));
        if let (Some(since), count, last, _) = self.distributed_flood {
            if now >= last + FLOOD_QUIET_US {
                self.distributed_flood.0 = None;
                self.events.push(Event::FloodEnded {
                    address: None,
                    turned_away: count,
                    lasted: last.saturating_sub(since),
                });
            }
        }
        std::mem::take(&mut self.events)
    }

    /// Rejects all connections from a network until `until`. Returns the open connections of the
    /// network that are to be closed; one with a request in flight closes after its response.
    ///
    /// # Errors
    /// There are [`MAX_BLOCKS`] blocks already.
    pub fn block(&mut self, now: Micros, network: IpNet, until: Micros) -> Result<Vec<u64>, String> {
        let now = self.advance_clock(now);
        self.blocks.retain(|_, until| *until > now);
        if self.blocks.len() >= MAX_BLOCKS && !self.blocks.contains_key(&network) {
            return Err(format!("there are {MAX_BLOCKS} blocks already"));
        }
        self.blocks.insert(network, until);
        let evictable = |c: &Connection| network.contains(&c.address) && c.state != ConnectionState::Active;
        Ok(self.connections.iter().filter(|(_, c)| evictable(c)).map(|(number, _)| *number).collect())
    }

    /// Ends a block. Returns false if there was none.
    pub fn unblock(&mut self, network: &IpNet) -> bool {
        self.blocks.remove(network).is_some()
    }

    /// The blocks, each with its end.
    pub fn blocks(&self) -> &BTreeMap<IpNet, Micros> {
        &self.blocks
    }

    /// End of the latest block that applies to an address.
    fn blocked_until(&self, address: IpAddr, now: Micros) -> Option<Micros> {
        let blocks = self.blocks.iter().filter(|(net, until)| **until > now && net.contains(&address));
        blocks.map(|(_, until)| *until).max()
    }

    /// Statistics of the busiest addresses, at most `most`: ordered by open connections, then by
    /// rejections and refusals.
    pub fn client_stats(&self, now: Micros, most: usize) -> Vec<ClientStats> {
        let now = self.now.max(now);
        let all = self.rate(now).max(1e-9);
        let mut stats: Vec<ClientStats> = self
            .accounts
            .iter()
            .map(|(address, a)| ClientStats {
                address: *address,
                named: a.named,
                known: a.known,
                connections: a.connections,
                open_requests: a.open_requests,
                requests_total: a.requests_total,
                accepted: a.accepted,
                refused: a.refused,
                rejected: a.rejected,
                rate: a.rate(now),
                share: (a.rate(now) / all).min(1.0),
                flooding: a.flood.is_some(),
            })
            .collect();
        let order = |s: &ClientStats| {
            std::cmp::Reverse((s.connections, s.rejected + s.refused, s.requests_total, s.address))
        };
        stats.sort_by_key(order);
        stats.truncate(most);
        stats
    }

    /// Number of connections of known clients, and of all others.
    pub fn connections_by_group(&self) -> (usize, usize) {
        (self.groups[1].connections, self.groups[0].connections)
    }

    /// Number of addresses with an account.
    pub fn account_count(&self) -> usize {
        self.accounts.len()
    }
}
