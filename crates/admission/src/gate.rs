//! The gate: every connection and request is decided on here.
//!
//! Places are shared in two groups. Of `places`, clients that are not known together have at most what is left of the
//! larger of the reserve and what the known ones hold; so a known client finds a place as long as known ones hold less
//! than the reserve. Within what is short an address that holds more gives way to one that holds less (max-min
//! fairness); none gives way to one that holds as much.

use crate::account::Account;
use crate::bucket::Bucket;
use crate::{Micros, Settings};
use ipnet::IpNet;
use pingora_limits::estimator::Estimator;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;

/// Addresses that are looked at, the largest holders first, for a connection that can go.
const LOOKED_AT: usize = 8;
/// Connections of one address turned away within a second that are a flood; its end, once so long none was.
const FLOOD: u32 = 20;
const FLOOD_OVER: Micros = 10_000_000;
/// Floods that are told apart. Beyond, they are one of many addresses.
const FLOODS: usize = 16;
/// Hashes and slots of the sketch of new connections by addresses that are not remembered, and the span after which it
/// is begun anew. Its estimate is never too low, and too high by a share e/slots of all connections at most, but with
/// probability exp(-hashes) (Cormode and Muthukrishnan 2005).
const SKETCH: (usize, usize) = (4, 2048);
const SKETCH_SPAN: Micros = 1_000_000;
/// Blocks at once.
pub const MOST_BLOCKS: usize = 1_000;
/// A share may be exceeded by this factor before it counts as used up.
const OVER_SHARE: f64 = 1.25;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doing {
    /// Nothing has been asked on it yet.
    Silent,
    /// Between two requests.
    Idle,
    /// A request is open.
    Request,
}

/// Why somebody is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// An order blocks it.
    Blocked,
    /// Too many new connections a second.
    TooFast,
    /// Its address has as many connections as one may have.
    Address,
    /// Its prefix has.
    Prefix,
    /// Every place that it could have is taken by those who hold no more than it does.
    Full,
    /// As many requests of its address are open as may be.
    Requests,
    /// Its share of what is short is used up.
    Share,
}

impl Why {
    /// A word for people and programs.
    pub fn word(self) -> &'static str {
        match self {
            Why::Blocked => "blocked",
            Why::TooFast => "too_fast",
            Why::Address => "address",
            Why::Prefix => "prefix",
            Why::Full => "full",
            Why::Requests => "requests",
            Why::Share => "share",
        }
    }
}

/// What becomes of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admit {
    /// It has a place; in its stead another goes, by its number.
    In {
        /// Which one has to go.
        let_go: Option<u64>,
    },
    /// Every place is taken by an open request: it waits until one is free.
    Wait,
    /// It is closed, and told when to come again where that is known (microseconds; 0 if not).
    Away {
        /// Why.
        why: Why,
        /// When to come again.
        retry: Micros,
    },
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// It is answered.
    Go,
    /// It is refused, and may come again after a while.
    Away {
        /// Why.
        why: Why,
        /// When to come again, microseconds.
        retry: Micros,
    },
}

/// Something that is worth a line to whoever runs the site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An address is being turned away again and again; none where they are many.
    FloodBegan {
        /// Whose.
        address: Option<IpAddr>,
    },
    /// It has stopped.
    FloodEnded {
        /// Whose.
        address: Option<IpAddr>,
        /// So many connections were turned away.
        turned_away: u64,
        /// For so long, microseconds.
        lasted: Micros,
    },
}

/// What is seen of an address.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    /// Which.
    pub address: IpAddr,
    /// Known by name, or by what it has earned.
    pub named: bool,
    /// See `named`.
    pub known: bool,
    /// Connections.
    pub open: usize,
    /// Requests open.
    pub requests: usize,
    /// Since the start: requests, those that were taken on, refused, and connections turned away.
    pub asked: u64,
    /// See `asked`.
    pub taken: u64,
    /// See `asked`.
    pub refused: u64,
    /// See `asked`.
    pub turned_away: u64,
    /// Requests a second, and the part that they are of all.
    pub rate: f64,
    /// See `rate`.
    pub part: f64,
    /// It floods.
    pub floods: bool,
}

#[derive(Debug)]
struct Connection {
    address: IpAddr,
    doing: Doing,
    since: Micros,
}

/// Those that are known, or those that are not.
#[derive(Debug, Default)]
struct Group {
    /// Connections.
    open: usize,
    /// Addresses with connections, by how many.
    holders: BTreeSet<(usize, IpAddr)>,
}

/// The gate.
pub struct Gate {
    settings: Settings,
    now: Micros,
    connections: HashMap<u64, Connection>,
    accounts: HashMap<IpAddr, Account>,
    /// Accounts with nothing open, by whether they have earned anything and when they were last seen.
    resting: BTreeSet<(bool, Micros, IpAddr)>,
    prefixes: HashMap<IpNet, usize>,
    groups: [Group; 2],
    requests: usize,
    /// Connections on which something has been asked.
    spoken: usize,
    /// Weights of the addresses that have a connection, of those not known and of those known; and requests of all a
    /// second.
    weights: [f64; 2],
    rate: f64,
    rate_at: Micros,
    sketches: [Estimator; 2],
    sketch_from: Micros,
    /// New connections of all who are not known.
    strangers: Bucket,
    blocks: BTreeMap<IpNet, Micros>,
    floods: BTreeSet<IpAddr>,
    /// A flood of many addresses: since when, how many connections, the last, and those of the current second.
    many: (Option<Micros>, u64, Micros, (Micros, u32)),
    events: Vec<Event>,
}

impl std::fmt::Debug for Gate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gate").field("connections", &self.connections.len()).finish_non_exhaustive()
    }
}

impl Gate {
    /// A gate with nobody in.
    pub fn new(settings: Settings) -> Gate {
        let sketch = || Estimator::new(SKETCH.0, SKETCH.1);
        Gate {
            strangers: Bucket::new(0, settings.unknown_connections, 0.0),
            settings,
            now: 0,
            connections: HashMap::new(),
            accounts: HashMap::new(),
            resting: BTreeSet::new(),
            prefixes: HashMap::new(),
            groups: Default::default(),
            requests: 0,
            spoken: 0,
            weights: [0.0; 2],
            rate: 0.0,
            rate_at: 0,
            sketches: [sketch(), sketch()],
            sketch_from: 0,
            blocks: BTreeMap::new(),
            floods: BTreeSet::new(),
            many: (None, 0, 0, (0, 0)),
            events: Vec::new(),
        }
    }

    /// The clock never runs back here, whatever it does outside; a jump ahead only fills buckets and forgets.
    fn at(&mut self, now: Micros) -> Micros {
        self.now = self.now.max(now);
        self.now
    }

    /// Changes the number of places, as descriptors come and go. Gives those who have to leave for it: of who is not known
    /// first, and nobody with an open request.
    pub fn set_places(&mut self, now: Micros, places: usize) -> Vec<u64> {
        let now = self.at(now);
        self.settings.max_connections = places;
        let mut gone = Vec::new();
        while self.connections.len() > places {
            let [others, knowns] = &self.groups;
            let Some(number) = self.largest(others, 0, now).or_else(|| self.largest(knowns, 0, now)) else {
                break;
            };
            self.leaves(now, number);
            gone.push(number);
        }
        gone
    }

    /// Somebody connects; `number` names the connection from now on, if it is let in, and must not be in use.
    pub fn connects(&mut self, now: Micros, number: u64, address: IpAddr) -> Admit {
        let (now, address) = (self.at(now), address.to_canonical());
        let blocked = self.block_of(address, now);
        let used = self.count(address, now);
        if let Some(until) = blocked {
            self.turn_away(address, now);
            return Admit::Away { why: Why::Blocked, retry: until.saturating_sub(now) };
        }
        self.account(address, now, used);
        let Some(account) = self.accounts.get_mut(&address) else { return Admit::Wait };
        account.review(now, &self.settings);
        if !account.known {
            let own = account.new.take(now, self.settings.new_connections);
            // Whoever is over its own rate uses up nothing of what all share.
            let taken = own.and_then(|()| self.strangers.take(now, self.settings.unknown_connections));
            if let Err(retry) = taken {
                self.turn_away(address, now);
                return Admit::Away { why: Why::TooFast, retry };
            }
        }
        self.place(number, address, now)
    }

    /// One that was told to wait asks again. It is no new connection, and counts as none.
    pub fn waits(&mut self, now: Micros, number: u64, address: IpAddr) -> Admit {
        let (now, address) = (self.at(now), address.to_canonical());
        if let Some(until) = self.block_of(address, now) {
            self.turn_away(address, now);
            return Admit::Away { why: Why::Blocked, retry: until.saturating_sub(now) };
        }
        // It may have been forgotten meanwhile.
        self.account(address, now, 0.0);
        self.place(number, address, now)
    }

    /// A place for an address that may connect.
    fn place(&mut self, number: u64, address: IpAddr, now: Micros) -> Admit {
        let settings = &self.settings;
        let Some(account) = self.accounts.get_mut(&address) else { return Admit::Wait };
        let (known, open, prefix) = (account.known, account.open, account.prefix);
        let cap = if known { settings.per_known } else { settings.per_address };
        let in_prefix = self.prefixes.get(&prefix).copied().unwrap_or(0);
        let own = account.first_to_go(now, settings);
        let over = match () {
            () if open >= cap => Some(Why::Address),
            () if !known && in_prefix >= settings.per_prefix => Some(Why::Prefix),
            () => None,
        };
        let decided = match over {
            // Its own silent ones make room for its own next one: who is at its cap takes nothing from others.
            Some(why) => match own.filter(|n| self.is_silent(*n, now)) {
                Some(own) => Ok(Some(own)),
                None => Err(why),
            },
            None => self.room(known, open, own, now),
        };
        match decided {
            Ok(let_go) => {
                self.enter(number, address, now);
                let_go.iter().for_each(|number| self.leaves(now, *number));
                Admit::In { let_go }
            }
            Err(Why::Full) if known => Admit::Wait,
            Err(why) => {
                self.turn_away(address, now);
                Admit::Away { why, retry: 0 }
            }
        }
    }

    /// Whether there is a place, or who makes one.
    fn room(&self, known: bool, open: usize, own: Option<u64>, now: Micros) -> Result<Option<u64>, Why> {
        let [others, knowns] = &self.groups;
        let places = self.settings.max_connections;
        let free = match known {
            true => others.open + knowns.open < places,
            false => others.open + knowns.open.max(self.settings.reserve) < places,
        };
        if free {
            return Ok(None);
        }
        if known {
            // Those who are not known give way first: as far as the reserve goes all of them, beyond it those who hold more.
            let more_than = if knowns.open < self.settings.reserve { 0 } else { open + 1 };
            if let Some(number) = self.largest(others, more_than, now) {
                return Ok(Some(number));
            }
        }
        let group = &self.groups[usize::from(known)];
        let larger = self.largest(group, open + 1, now);
        // Known clients take turns with themselves too: a front's idle connections make room for its next.
        larger.or(own.filter(|n| known || self.is_silent(*n, now))).map(Some).ok_or(Why::Full)
    }

    /// The first to go of the address that holds most, and more than so many.
    fn largest(&self, group: &Group, more_than: usize, now: Micros) -> Option<u64> {
        let holders = group.holders.iter().rev().take(LOOKED_AT).filter(|(open, _)| *open > more_than);
        let mut accounts = holders.filter_map(|(_, address)| self.accounts.get(address));
        accounts.find_map(|account| account.first_to_go(now, &self.settings))
    }

    fn is_silent(&self, number: u64, now: Micros) -> bool {
        self.connections
            .get(&number)
            .is_some_and(|c| c.doing == Doing::Silent && now.saturating_sub(c.since) > self.settings.silent)
    }

    /// Connections of an address that is not remembered, in the last span or two.
    fn count(&mut self, address: IpAddr, now: Micros) -> f64 {
        if now >= self.sketch_from + SKETCH_SPAN {
            self.sketches.swap(0, 1);
            self.sketches[0].reset();
            if now >= self.sketch_from + 2 * SKETCH_SPAN {
                self.sketches[1].reset();
            }
            self.sketch_from = now;
        }
        let before = self.sketches[1].get(address);
        // The one that is being decided on takes its own part of the burst.
        let now = self.sketches[0].incr(address, 1) - 1;
        now.max(0).saturating_add(before.max(0)) as f64
    }

    fn account(&mut self, address: IpAddr, now: Micros, used: f64) {
        if self.accounts.contains_key(&address) {
            return;
        }
        if self.accounts.len() >= self.settings.addresses + self.settings.max_connections {
            // Of those with nothing open the longest unseen, and those that have earned something last.
            if let Some(oldest) = self.resting.pop_first() {
                self.accounts.remove(&oldest.2);
            }
        }
        let (prefix, named) = (self.settings.prefix(address), self.settings.names(address));
        let mut account = Account::new(prefix, named, now, &self.settings, used);
        account.rests = Some((false, now));
        self.accounts.insert(address, account);
        self.resting.insert((false, now, address));
    }

    fn enter(&mut self, number: u64, address: IpAddr, now: Micros) {
        let Some(account) = self.accounts.get_mut(&address) else { return };
        if account.open == 0 {
            account.rests.take().map(|(earned, since)| self.resting.remove(&(earned, since, address)));
            self.weights[usize::from(account.known)] += account.weight();
        }
        let group = &mut self.groups[usize::from(account.known)];
        group.holders.remove(&(account.open, address));
        account.open += 1;
        group.open += 1;
        group.holders.insert((account.open, address));
        account.silent.insert((now, number));
        account.last = now;
        *self.prefixes.entry(account.prefix).or_default() += 1;
        self.connections.insert(number, Connection { address, doing: Doing::Silent, since: now });
    }

    /// A connection is over. One that is not there is none: who was let go of may also say so itself.
    pub fn leaves(&mut self, now: Micros, number: u64) {
        let now = self.at(now);
        let Some(connection) = self.connections.remove(&number) else { return };
        let Connection { address, doing, since } = connection;
        let Some(account) = self.accounts.get_mut(&address) else { return };
        self.spoken -= usize::from(doing != Doing::Silent);
        match doing {
            Doing::Silent => drop(account.silent.remove(&(since, number))),
            Doing::Idle => drop(account.idle.remove(&(since, number))),
            Doing::Request => {
                account.requests = account.requests.saturating_sub(1);
                self.requests = self.requests.saturating_sub(1);
            }
        }
        let group = &mut self.groups[usize::from(account.known)];
        group.holders.remove(&(account.open, address));
        account.open = account.open.saturating_sub(1);
        group.open = group.open.saturating_sub(1);
        account.last = now;
        if let Some(count) = self.prefixes.get_mut(&account.prefix) {
            *count -= 1;
            if *count == 0 {
                self.prefixes.remove(&account.prefix);
            }
        }
        if account.open > 0 {
            group.holders.insert((account.open, address));
            return;
        }
        let weights = &mut self.weights[usize::from(account.known)];
        *weights = (*weights - account.weight()).max(0.0);
        account.review(now, &self.settings);
        let earned = account.earned(now, &self.settings) >= 1.0;
        account.rests = Some((earned, now));
        self.resting.insert((earned, now, address));
    }

    /// Something is asked on a connection. A request that is refused is open until it is answered, as any other.
    pub fn asks(&mut self, now: Micros, number: u64) -> Ask {
        let now = self.at(now);
        let all = self.rate(now);
        (self.rate, self.rate_at) = (all + 1.0, now);
        let Some(connection) = self.connections.get_mut(&number) else { return Ask::Go };
        let Some(account) = self.accounts.get_mut(&connection.address) else { return Ask::Go };
        match connection.doing {
            Doing::Silent => {
                account.silent.remove(&(connection.since, number));
                self.spoken += 1;
            }
            Doing::Idle => drop(account.idle.remove(&(connection.since, number))),
            Doing::Request => return Ask::Go,
        }
        (connection.doing, connection.since) = (Doing::Request, now);
        let open = account.requests;
        account.requests += 1;
        account.last = now;
        account.ask(now);
        self.requests += 1;
        if open >= self.settings.max_requests_per_address {
            account.refused += 1;
            return Ask::Away { why: Why::Requests, retry: 100_000 };
        }
        // Where there is time for all, nobody's share is short.
        // Known clients share among themselves: however many others come, they do not dilute them.
        let [others, knowns] = self.weights;
        let weights = if account.known { knowns } else { others + knowns };
        // Those who ask little leave their part to the others: half of all is never too much for one.
        let share = all * (account.weight() / weights.max(account.weight())).max(0.5);
        if self.requests > self.settings.busy_from && account.rate(now) > OVER_SHARE * share + 1.0 {
            let retry = account.falls_to(now, share);
            if retry > 0 && account.weight() < weights {
                account.refused += 1;
                return Ask::Away { why: Why::Share, retry };
            }
        }
        Ask::Go
    }

    fn rate(&self, now: Micros) -> f64 {
        self.rate * (-(now.saturating_sub(self.rate_at) as f64) / 1e6).exp()
    }

    /// A request has been answered; `taken` if a message was taken on.
    pub fn answered(&mut self, now: Micros, number: u64, taken: bool) {
        let now = self.at(now);
        let Some(connection) = self.connections.get_mut(&number) else { return };
        let Some(account) = self.accounts.get_mut(&connection.address) else { return };
        if connection.doing == Doing::Request {
            account.requests = account.requests.saturating_sub(1);
            self.requests = self.requests.saturating_sub(1);
            (connection.doing, connection.since) = (Doing::Idle, now);
            account.idle.insert((now, number));
        }
        if !taken {
            return;
        }
        let (before, weight) = (account.known, account.weight());
        account.earn(now, &self.settings);
        if account.known && !before {
            // From now on its connections count among those of known clients: that many more places are left to others.
            let (open, address) = (account.open, connection.address);
            self.weights[0] = (self.weights[0] - weight).max(0.0);
            self.weights[1] += account.weight();
            self.groups[0].holders.remove(&(open, address));
            self.groups[0].open = self.groups[0].open.saturating_sub(open);
            self.groups[1].holders.insert((open, address));
            self.groups[1].open += open;
        }
    }

    /// A connection's client was too slow, or sent what is no request: half of what its address has earned is lost.
    pub fn misbehaved(&mut self, now: Micros, number: u64) {
        let now = self.at(now);
        let Some(connection) = self.connections.get(&number) else { return };
        if let Some(account) = self.accounts.get_mut(&connection.address) {
            account.lose(now, &self.settings);
        }
    }

    /// Whether a connection is a known client's.
    pub fn is_known(&self, number: u64) -> bool {
        let address = self.connections.get(&number).map(|c| c.address);
        address.and_then(|a| self.accounts.get(&a)).is_some_and(|a| a.known)
    }

    /// Connections that have asked something, and all.
    pub fn open(&self) -> (usize, usize) {
        (self.spoken, self.connections.len())
    }

    fn turn_away(&mut self, address: IpAddr, now: Micros) {
        let Some(account) = self.accounts.get_mut(&address) else { return self.of_many(now) };
        account.turned_away += 1;
        account.last = now;
        if now >= account.away.0 + 1_000_000 {
            account.away = (now, 0);
        }
        account.away.1 += 1;
        if let Some((_, count, last)) = &mut account.flood {
            (*count, *last) = (*count + 1, now);
        } else if account.away.1 >= FLOOD && self.floods.len() < FLOODS && self.many.0.is_none() {
            account.flood = Some((now, u64::from(account.away.1), now));
            self.floods.insert(address);
            self.events.push(Event::FloodBegan { address: Some(address) });
        } else {
            self.of_many(now);
        }
    }

    /// Connections turned away of addresses that do not flood one by one.
    fn of_many(&mut self, now: Micros) {
        let (since, count, last, second) = &mut self.many;
        if now >= second.0 + 1_000_000 {
            *second = (now, 0);
        }
        second.1 += 1;
        if since.is_some() {
            (*count, *last) = (*count + 1, now);
        } else if second.1 >= FLOOD * FLOODS as u32 {
            (*since, *count, *last) = (Some(now), u64::from(second.1), now);
            self.events.push(Event::FloodBegan { address: None });
        }
    }

    /// What has happened since the last call that is worth a line. Call it once in a while: it notices ends.
    pub fn events(&mut self, now: Micros) -> Vec<Event> {
        let now = self.at(now);
        let over: Vec<(IpAddr, (Micros, u64, Micros))> = self
            .floods
            .iter()
            .filter_map(|a| Some((*a, self.accounts.get(a)?.flood?)))
            .filter(|(_, (.., last))| now >= last + FLOOD_OVER)
            .collect();
        for (address, (since, turned_away, last)) in over {
            self.floods.remove(&address);
            self.accounts.entry(address).and_modify(|a| a.flood = None);
            let lasted = last.saturating_sub(since);
            self.events.push(Event::FloodEnded { address: Some(address), turned_away, lasted });
        }
        // One whose account was forgotten meanwhile has long ended.
        let accounts = &self.accounts;
        self.floods.retain(|a| accounts.get(a).is_some_and(|a| a.flood.is_some()));
        if let (Some(since), count, last, _) = self.many {
            if now >= last + FLOOD_OVER {
                self.many.0 = None;
                self.events.push(Event::FloodEnded {
                    address: None,
                    turned_away: count,
                    lasted: last.saturating_sub(since),
                });
            }
        }
        std::mem::take(&mut self.events)
    }

    /// Nobody of a network gets in until then. Gives the connections of it that are to go; one with an open request
    /// goes when it has its answer.
    ///
    /// # Errors
    /// There are [`MOST_BLOCKS`] already.
    pub fn block(&mut self, now: Micros, network: IpNet, until: Micros) -> Result<Vec<u64>, String> {
        let now = self.at(now);
        self.blocks.retain(|_, until| *until > now);
        if self.blocks.len() >= MOST_BLOCKS && !self.blocks.contains_key(&network) {
            return Err(format!("{MOST_BLOCKS} blocks stand already"));
        }
        self.blocks.insert(network, until);
        let of = |c: &Connection| network.contains(&c.address) && c.doing != Doing::Request;
        Ok(self.connections.iter().filter(|(_, c)| of(c)).map(|(number, _)| *number).collect())
    }

    /// Ends a block. False if there was none.
    pub fn unblock(&mut self, network: &IpNet) -> bool {
        self.blocks.remove(network).is_some()
    }

    /// The blocks, each with its end.
    pub fn blocks(&self) -> &BTreeMap<IpNet, Micros> {
        &self.blocks
    }

    fn block_of(&self, address: IpAddr, now: Micros) -> Option<Micros> {
        let blocks = self.blocks.iter().filter(|(net, until)| **until > now && net.contains(&address));
        blocks.map(|(_, until)| *until).max()
    }

    /// What is seen of the busiest addresses, at most so many: those with most open, then those with most refused.
    pub fn seen(&self, now: Micros, most: usize) -> Vec<Seen> {
        let now = self.now.max(now);
        let all = self.rate(now).max(1e-9);
        let mut seen: Vec<Seen> = self
            .accounts
            .iter()
            .map(|(address, a)| Seen {
                address: *address,
                named: a.named,
                known: a.known,
                open: a.open,
                requests: a.requests,
                asked: a.asked,
                taken: a.taken,
                refused: a.refused,
                turned_away: a.turned_away,
                rate: a.rate(now),
                part: (a.rate(now) / all).min(1.0),
                floods: a.flood.is_some(),
            })
            .collect();
        let order = |s: &Seen| std::cmp::Reverse((s.open, s.turned_away + s.refused, s.asked, s.address));
        seen.sort_by_key(order);
        seen.truncate(most);
        seen
    }

    /// Connections of known clients, and of the others.
    pub fn held(&self) -> (usize, usize) {
        (self.groups[1].open, self.groups[0].open)
    }

    /// Addresses that are remembered.
    pub fn remembered(&self) -> usize {
        self.accounts.len()
    }
}
