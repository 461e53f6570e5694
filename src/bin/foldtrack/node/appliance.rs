//! What a site of its own has beside the loop: kept ends, counts, and what people are shown.

use super::Held;
use crate::config::SiteConfig;
use crate::events::SubmitReply;
use foldtrack_control::Failure;
use foldtrack_delivery::Outcome;
use foldtrack_ends::{self as ends, MessageOutcome, OutcomeStore};
use foldtrack_journal::FailureNotice;
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Failures that are kept to be shown.
const FAILURES: usize = 500;
/// Part of the memory limit that bodies of held messages may take: each is kept twice, here and in the journal.
const HELD_PART: u64 = 4;
/// Longest name of an endpoint.
pub(crate) const LONGEST_NAME: usize = 64;
/// Waits that refused clients are told: while the room is full, and while nobody fetches ends.
const FULL_WAIT_MS: u64 = 500;
const UNFETCHED_WAIT_MS: u64 = 2_000;

/// Counts since the start.
#[derive(Debug, Default)]
pub(super) struct Counts {
    pub taken: u64,
    pub refused: u64,
    pub delivered: u64,
    pub given_up: u64,
    pub in_doubt: u64,
    pub handed_back: u64,
    pub failures: u64,
    /// Delivered and failed attempts by partner's number.
    pub by_partner: HashMap<u32, (u64, u64)>,
}

/// A partner by its number.
#[derive(Debug)]
pub(super) struct PartnerFacts {
    pub name: String,
    pub kind: String,
    pub rate: f64,
    pub slots: u32,
}

pub(super) struct Appliance {
    pub name: String,
    /// The state folder.
    pub state: PathBuf,
    pub ends: OutcomeStore,
    /// Sequence number of the last end.
    pub ends_seen: watch::Sender<u64>,
    pub partners: HashMap<u32, PartnerFacts>,
    pub held_most: u64,
    pub held_bytes: u64,
    /// Room in the store that the ends of held messages will take.
    reserved: u64,
    attempts: usize,
    longest_wait_ms: u64,
    /// Ended while the answer that takes them on was under way: whether they were taken on is yet to be seen.
    pub pending: BTreeMap<u64, (Held, FailureNotice)>,
    /// Messages whose ends are staged, how many of them the journal has been told of since the disk would not take
    /// them, and when to try next.
    pub ended: Vec<(u64, ends::FinalStatus)>,
    pub behind_told: usize,
    pub commit_from: Instant,
    pub counts: Counts,
    /// The latest at the end, each with its message's number.
    pub failures: VecDeque<(u64, Failure)>,
    /// Endpoints that an order has closed, and when.
    pub closed: HashMap<String, Instant>,
    pub longest_round: Duration,
    pub journal_most: u64,
}

impl Appliance {
    pub fn new(parts: SiteConfig, ends_seen: watch::Sender<u64>, memory: u64) -> Self {
        let SiteConfig { site, ends, .. } = parts;
        ends_seen.send_replace(ends.last_published());
        let facts = |p: &foldtrack_site::Partner| PartnerFacts {
            name: p.name.clone(),
            kind: site.kinds[p.kind].name.clone(),
            rate: p.rate.unwrap_or(0.0),
            slots: p.slots.unwrap_or(0),
        };
        Appliance {
            ends,
            ends_seen,
            partners: site.partners.iter().map(|p| (p.number(), facts(p))).collect(),
            held_most: memory / HELD_PART,
            held_bytes: 0,
            reserved: 0,
            attempts: site.limits.attempts as usize,
            longest_wait_ms: site.limits.longest_wait / 1000,
            pending: BTreeMap::new(),
            ended: Vec::new(),
            behind_told: 0,
            commit_from: Instant::now(),
            counts: Counts::default(),
            failures: VecDeque::new(),
            closed: HashMap::new(),
            longest_round: Duration::ZERO,
            journal_most: site.journal_capacity(),
            name: site.name,
            state: site.state,
        }
    }

    pub fn partner_name(&self, number: u32) -> Cow<'_, str> {
        match self.partners.get(&number) {
            Some(partner) => Cow::Borrowed(&partner.name),
            // It has left the site file since.
            None => Cow::Owned(format!("partner {number}")),
        }
    }

    /// Room that a message's end may take.
    fn room(&self, message: &crate::message::Message) -> u64 {
        // Class and partner have names of 64 bytes at most.
        MessageOutcome::max_encoded_len(
            message.id.len() + message.key.len() + 2 * LONGEST_NAME,
            self.attempts,
            LONGEST_NAME,
        )
    }

    /// Refuses a message that there is no room for, with a wait where that helps.
    pub fn refuse(&mut self, message: &crate::message::Message, held: usize) -> Option<SubmitReply> {
        let bytes = self.held_bytes + message.size() as u64 > self.held_most;
        let coming = held as u64 + self.pending.len() as u64 + 1;
        let ends = !self.ends.has_capacity(coming, self.reserved + self.room(message));
        // Ends that this round has staged count as kept; what an earlier one could not write is trouble.
        if !bytes && !ends && self.behind_told == 0 {
            return None;
        }
        Some(self.full(if ends { UNFETCHED_WAIT_MS } else { 0 }))
    }

    /// The answer of a full house, with this wait or the usual one.
    pub fn full(&mut self, wait_ms: u64) -> SubmitReply {
        self.counts.refused += 1;
        SubmitReply::Refused { retry_in_ms: self.wait(wait_ms) }
    }

    /// The wait that is told: this one, or the usual one where it is 0.
    pub fn wait(&self, wait_ms: u64) -> u64 {
        let wait_ms = if wait_ms == 0 { FULL_WAIT_MS } else { wait_ms };
        wait_ms.min(self.longest_wait_ms)
    }

    /// A message is held from now on.
    pub fn hold(&mut self, message: &crate::message::Message) {
        self.held_bytes += message.size() as u64;
        self.reserved += self.room(message);
    }

    /// A message is held no more: its end is kept, or it was not taken on.
    pub fn let_go(&mut self, message: &crate::message::Message) {
        self.held_bytes = self.held_bytes.saturating_sub(message.size() as u64);
        self.reserved = self.reserved.saturating_sub(self.room(message));
    }

    pub fn failed(&mut self, number: u64, partner: u32, failure: Failure) {
        self.counts.failures += 1;
        self.counts.by_partner.entry(partner).or_default().1 += 1;
        self.failures.push_back((number, failure));
        if self.failures.len() > FAILURES {
            self.failures.pop_front();
        }
    }

    /// What was done about the last failure of a message.
    pub fn then(&mut self, number: u64, what: &str) {
        if let Some((_, failure)) = self.failures.iter_mut().rev().find(|(n, _)| *n == number) {
            failure.then = what.to_string();
        }
    }
}

/// An outcome as it is kept with a message's attempts.
pub(super) fn kept(outcome: Outcome) -> ends::AttemptOutcome {
    match outcome {
        Outcome::Ok => ends::AttemptOutcome::Ok,
        Outcome::Error => ends::AttemptOutcome::Error,
        Outcome::Rejected => ends::AttemptOutcome::Rejected,
        Outcome::TimedOut => ends::AttemptOutcome::TimedOut,
        Outcome::ConnectFailed => ends::AttemptOutcome::NotConnected,
        Outcome::Reset => ends::AttemptOutcome::Reset,
        Outcome::Cancelled => ends::AttemptOutcome::Cancelled,
        Outcome::UnreadableResponse => ends::AttemptOutcome::UnreadableResponse,
        Outcome::NotSent | Outcome::Withheld => ends::AttemptOutcome::NotSent,
    }
}
