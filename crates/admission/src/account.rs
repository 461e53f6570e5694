//! What is known of one address.

use crate::bucket::Bucket;
use crate::{Micros, Settings};
use ipnet::IpNet;
use std::collections::BTreeSet;

/// Span over which requests of an address are counted, in microseconds.
const RATE_SPAN: f64 = 1e6;
/// Weights in the sharing of what is short: known by name, known by what was taken on, and not known.
const WEIGHTS: (f64, f64, f64) = (4.0, 2.0, 1.0);

/// One address.
#[derive(Clone, Debug)]
pub struct Account {
    /// Its prefix.
    pub prefix: IpNet,
    /// Known by name.
    pub named: bool,
    /// Its connections count among those of known clients. An address that has earned that keeps it as long as any
    /// is open: so it never changes sides in a way that takes a place from others.
    pub known: bool,
    /// Connections, and requests open on them.
    pub open: usize,
    /// See `open`.
    pub requests: usize,
    /// Connections on which nothing has been asked yet, and those between two requests, by since when.
    pub silent: BTreeSet<(Micros, u64)>,
    /// See `silent`.
    pub idle: BTreeSet<(Micros, u64)>,
    /// Since the start: requests, messages taken on, requests refused, connections turned away.
    pub asked: u64,
    /// See `asked`.
    pub taken: u64,
    /// See `asked`.
    pub refused: u64,
    /// See `asked`.
    pub turned_away: u64,
    /// Its place among those that have nothing open: whether it had earned anything then, and since when.
    pub rests: Option<(bool, Micros)>,
    /// When it last did anything.
    pub last: Micros,
    /// Turned away since when, how many times, and the last time, while it is held to flood.
    pub flood: Option<(Micros, u64, Micros)>,
    /// Connections turned away in the second that began then.
    pub away: (Micros, u32),
    /// New connections.
    pub new: Bucket,
    earned: f64,
    earned_at: Micros,
    rate: f64,
    rate_at: Micros,
}

impl Account {
    /// An address that comes for the first time, or was forgotten, with so much of its burst used up already.
    pub fn new(prefix: IpNet, named: bool, now: Micros, settings: &Settings, used: f64) -> Account {
        Account {
            prefix,
            named,
            known: named,
            open: 0,
            requests: 0,
            silent: BTreeSet::new(),
            idle: BTreeSet::new(),
            asked: 0,
            taken: 0,
            refused: 0,
            turned_away: 0,
            rests: None,
            last: now,
            flood: None,
            away: (0, 0),
            new: Bucket::new(now, settings.new_connections, used),
            earned: 0.0,
            earned_at: now,
            rate: 0.0,
            rate_at: now,
        }
    }

    /// Messages taken on lately: what was earned, less what was forgotten.
    pub fn earned(&self, now: Micros, settings: &Settings) -> f64 {
        let passed = now.saturating_sub(self.earned_at) as f64 / settings.earned_half.max(1) as f64;
        self.earned * 0.5f64.powf(passed)
    }

    /// A message was taken on. What can be earned has a bound: a busy hour is forgotten as soon as a quiet one.
    pub fn earn(&mut self, now: Micros, settings: &Settings) {
        self.earned = (self.earned(now, settings) + 1.0).min(4.0 * settings.earned_by);
        self.earned_at = self.earned_at.max(now);
        self.taken += 1;
        self.known |= self.earned >= settings.earned_by;
    }

    /// It has done what clients do not: half of what it had earned goes.
    pub fn lose(&mut self, now: Micros, settings: &Settings) {
        self.earned = self.earned(now, settings) / 2.0;
        self.earned_at = self.earned_at.max(now);
        self.review(now, settings);
    }

    /// Whether it is known is looked at anew when nothing of it is open.
    pub fn review(&mut self, now: Micros, settings: &Settings) {
        if self.open == 0 {
            self.known = self.named || self.earned(now, settings) >= settings.earned_by;
        }
    }

    /// Requests a second.
    pub fn rate(&self, now: Micros) -> f64 {
        self.rate * (-(now.saturating_sub(self.rate_at) as f64) / RATE_SPAN).exp()
    }

    /// A request has come.
    pub fn ask(&mut self, now: Micros) {
        self.rate = self.rate(now) + 1e6 / RATE_SPAN;
        self.rate_at = self.rate_at.max(now);
        self.asked += 1;
    }

    /// In how many microseconds its rate will have fallen to this much if it asks no more.
    pub fn falls_to(&self, now: Micros, rate: f64) -> Micros {
        let over = self.rate(now) / rate.max(1e-3);
        if over > 1.0 {
            (over.ln() * RATE_SPAN) as Micros
        } else {
            0
        }
    }

    /// Its weight in sharing.
    pub fn weight(&self) -> f64 {
        match (self.named, self.known) {
            (true, _) => WEIGHTS.0,
            (false, true) => WEIGHTS.1,
            (false, false) => WEIGHTS.2,
        }
    }

    /// The connection that goes first when places are short: one that has said nothing for a while, then the one
    /// without a request for longest.
    pub fn first_to_go(&self, now: Micros, settings: &Settings) -> Option<u64> {
        let silent = self.silent.first().copied();
        let long = silent.filter(|(since, _)| now.saturating_sub(*since) > settings.silent);
        let idle = self.idle.first().copied();
        long.or_else(|| silent.into_iter().chain(idle).min()).map(|(_, number)| number)
    }
}
