//! State kept for one client address.

use crate::bucket::Bucket;
use crate::{Micros, Settings};
use ipnet::IpNet;
use std::collections::BTreeSet;

/// Time constant of the request rate of an address, in microseconds.
const RATE_WINDOW_US: f64 = 1e6;
/// Weights in sharing scarce capacity: of addresses on the configured list, of those that became
/// known by their accepted messages, and of all others.
const SHARE_WEIGHTS: (f64, f64, f64) = (4.0, 2.0, 1.0);

/// What the gate remembers of one address.
#[derive(Clone, Debug)]
pub struct Account {
    /// The network prefix that the address belongs to.
    pub prefix: IpNet,
    /// The address is on the configured list of known clients.
    pub named: bool,
    /// The address counts as a known client. It may become known while connections are open, but
    /// loses that only when none is: moving connections to the other group could take a slot from
    /// somebody else.
    pub known: bool,
    /// Open connections.
    pub connections: usize,
    /// Requests in flight on these connections.
    pub open_requests: usize,
    /// Connections that have not sent a request yet, each with the time since when.
    pub silent: BTreeSet<(Micros, u64)>,
    /// Connections between two requests, each with the time since when.
    pub idle: BTreeSet<(Micros, u64)>,
    /// Requests received since the process started.
    pub requests_total: u64,
    /// Messages accepted since the process started.
    pub accepted: u64,
    /// Requests refused since the process started.
    pub refused: u64,
    /// Connections rejected since the process started.
    pub rejected: u64,
    /// Key of the account in the gate's list of accounts without connections: whether the account
    /// had credit, and since when it has been idle.
    pub resting: Option<(bool, Micros)>,
    /// Time of the last activity.
    pub last_active: Micros,
    /// The flood that this address causes, if any: its start, the connections rejected since then,
    /// and the last rejection.
    pub flood: Option<(Micros, u64, Micros)>,
    /// Start of the current one-second window, and connections rejected in it.
    pub recent_rejections: (Micros, u32),
    /// Rate limit for new connections.
    pub new_connection_rate: Bucket,
    credit: f64,
    credit_at: Micros,
    rate: f64,
    rate_at: Micros,
}

impl Account {
    /// Creates the account of an address that is new or was forgotten. `used` tokens of its burst
    /// are spent already.
    pub fn new(prefix: IpNet, named: bool, now: Micros, settings: &Settings, used: f64) -> Account {
        Account {
            prefix,
            named,
            known: named,
            connections: 0,
            open_requests: 0,
            silent: BTreeSet::new(),
            idle: BTreeSet::new(),
            requests_total: 0,
            accepted: 0,
            refused: 0,
            rejected: 0,
            resting: None,
            last_active: now,
            flood: None,
            recent_rejections: (0, 0),
            new_connection_rate: Bucket::new(now, settings.new_connections, used),
            credit: 0.0,
            credit_at: now,
            rate: 0.0,
            rate_at: now,
        }
    }

    /// Credit: accepted messages, decaying with the configured half-life.
    pub fn credit(&self, now: Micros, settings: &Settings) -> f64 {
        let passed = now.saturating_sub(self.credit_at) as f64 / settings.credit_half_life.max(1) as f64;
        self.credit * 0.5f64.powf(passed)
    }

    /// Counts an accepted message. Credit has an upper bound, so that a busy hour is forgotten as
    /// fast as a quiet one.
    pub fn add_credit(&mut self, now: Micros, settings: &Settings) {
        self.credit = (self.credit(now, settings) + 1.0).min(4.0 * settings.known_credit);
        self.credit_at = self.credit_at.max(now);
        self.accepted += 1;
        self.known |= self.credit >= settings.known_credit;
    }

    /// Halves the credit of an address whose client violated the protocol.
    pub fn halve_credit(&mut self, now: Micros, settings: &Settings) {
        self.credit = self.credit(now, settings) / 2.0;
        self.credit_at = self.credit_at.max(now);
        self.update_known(now, settings);
    }

    /// Decides anew whether the address is known, if it has no open connection.
    pub fn update_known(&mut self, now: Micros, settings: &Settings) {
        if self.connections == 0 {
            self.known = self.named || self.credit(now, settings) >= settings.known_credit;
        }
    }

    /// Requests per second.
    pub fn rate(&self, now: Micros) -> f64 {
        self.rate * (-(now.saturating_sub(self.rate_at) as f64) / RATE_WINDOW_US).exp()
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Micros) {
        self.rate = self.rate(now) + 1e6 / RATE_WINDOW_US;
        self.rate_at = self.rate_at.max(now);
        self.requests_total += 1;
    }

    /// Microseconds until the request rate has decayed to `rate` if no further request arrives.
    pub fn time_until_rate(&self, now: Micros, rate: f64) -> Micros {
        let over = self.rate(now) / rate.max(1e-3);
        if over > 1.0 {
            (over.ln() * RATE_WINDOW_US) as Micros
        } else {
            0
        }
    }

    /// Weight of the address in sharing.
    pub fn weight(&self) -> f64 {
        match (self.named, self.known) {
            (true, _) => SHARE_WEIGHTS.0,
            (false, true) => SHARE_WEIGHTS.1,
            (false, false) => SHARE_WEIGHTS.2,
        }
    }

    /// The connection to evict first when slots are scarce: one that has been silent for too long,
    /// otherwise the one that has gone without a request for longest.
    pub fn eviction_candidate(&self, now: Micros, settings: &Settings) -> Option<u64> {
        let silent = self.silent.first().copied();
        let overdue = silent.filter(|(since, _)| now.saturating_sub(*since) > settings.silent_after);
        let idle = self.idle.first().copied();
        overdue.or_else(|| silent.into_iter().chain(idle).min()).map(|(_, number)| number)
    }
}
