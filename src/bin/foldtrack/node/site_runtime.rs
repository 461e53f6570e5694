//! State that only a deployment with a site file has: stored outcomes, counters, and the data shown
//! to operators.

use super::HeldMessage;
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

/// Number of recent failures kept for operators.
const MAX_FAILURES: usize = 500;
/// Maximum length of a name in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 64;
/// Retry delay told to refused clients while the forwarder is full.
const FULL_RETRY_MS: u64 = 500;
/// Retry delay told to refused clients while the store of outcomes is full because no client
/// fetches them.
const UNFETCHED_RETRY_MS: u64 = 2_000;

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub taken: u64,
    pub refused: u64,
    pub delivered: u64,
    pub given_up: u64,
    pub in_doubt: u64,
    pub handed_back: u64,
    pub failures: u64,
    /// Delivered messages and failed attempts, by the partner's number.
    pub by_partner: HashMap<u32, (u64, u64)>,
}

/// What operators are shown of a partner beside its state.
#[derive(Debug)]
pub(super) struct PartnerInfo {
    pub name: String,
    pub kind: String,
    pub rate: f64,
    pub slots: u32,
}

/// State of the event loop for a deployment with a site file.
pub(super) struct SiteRuntime {
    pub name: String,
    /// Path of the state folder.
    pub state: PathBuf,
    pub outcomes: OutcomeStore,
    /// Publishes the sequence number of the latest outcome.
    pub outcome_sequence: watch::Sender<u64>,
    pub partners: HashMap<u32, PartnerInfo>,
    /// Maximum bytes of held messages.
    pub max_held_bytes: u64,
    pub held_bytes: u64,
    /// Bytes in the store reserved for the outcomes of held messages.
    reserved: u64,
    attempts: usize,
    longest_wait_ms: u64,
    /// Messages that ended while the reply that accepts them was being written: whether the client
    /// received it is not known yet.
    pub pending: BTreeMap<u64, (HeldMessage, FailureNotice)>,
    /// Messages whose outcomes are staged and not yet written.
    pub staged: Vec<(u64, ends::FinalStatus)>,
    /// How many of `staged` were recorded in the journal because the store could not write their
    /// outcomes.
    pub journaled_results: usize,
    /// When to try to write the outcomes again.
    pub commit_retry_at: Instant,
    pub counts: Counters,
    /// The most recent failures, the latest last, each with its message's number.
    pub failures: VecDeque<(u64, Failure)>,
    /// Endpoints that an order has closed, and when.
    pub closed: HashMap<String, Instant>,
    /// Longest iteration of the event loop since the last snapshot.
    pub longest_iteration: Duration,
    /// Maximum size of the journal in bytes.
    pub max_journal_bytes: u64,
}

impl SiteRuntime {
    pub fn new(parts: SiteConfig, outcome_sequence: watch::Sender<u64>, max_held_bytes: u64) -> Self {
        let SiteConfig { site, ends: outcomes, .. } = parts;
        outcome_sequence.send_replace(outcomes.last_published());
        let info = |p: &foldtrack_site::Partner| PartnerInfo {
            name: p.name.clone(),
            kind: site.kinds[p.kind].name.clone(),
            rate: p.rate.unwrap_or(0.0),
            slots: p.slots.unwrap_or(0),
        };
        SiteRuntime {
            outcomes,
            outcome_sequence,
            partners: site.partners.iter().map(|p| (p.number(), info(p))).collect(),
            max_held_bytes,
            held_bytes: 0,
            reserved: 0,
            attempts: site.limits.attempts as usize,
            longest_wait_ms: site.limits.longest_wait / 1000,
            pending: BTreeMap::new(),
            staged: Vec::new(),
            journaled_results: 0,
            commit_retry_at: Instant::now(),
            counts: Counters::default(),
            failures: VecDeque::new(),
            closed: HashMap::new(),
            longest_iteration: Duration::ZERO,
            max_journal_bytes: site.journal_capacity(),
            name: site.name,
            state: site.state,
        }
    }

    /// Name of a partner, or a placeholder once it has left the site file.
    pub fn partner_name(&self, number: u32) -> Cow<'_, str> {
        match self.partners.get(&number) {
            Some(partner) => Cow::Borrowed(&partner.name),
            None => Cow::Owned(format!("partner {number}")),
        }
    }

    /// Maximum size in bytes of a message's outcome.
    fn outcome_size(&self, message: &crate::message::Message) -> u64 {
        // Names of classes and partners have at most 64 bytes.
        MessageOutcome::max_encoded_len(
            message.id.len() + message.key.len() + 2 * MAX_NAME_BYTES,
            self.attempts,
            MAX_NAME_BYTES,
        )
    }

    /// Refuses a message that exceeds the memory limit or the capacity for outcomes, with a retry
    /// delay.
    pub fn capacity_refusal(
        &mut self, message: &crate::message::Message, held: usize,
    ) -> Option<SubmitReply> {
        let bytes_full = self.held_bytes + message.journal_size() as u64 > self.max_held_bytes;
        let coming = held as u64 + self.pending.len() as u64 + 1;
        let outcomes_full = !self.outcomes.has_capacity(coming, self.reserved + self.outcome_size(message));
        // Outcomes staged in this iteration count as written. Outcomes that an earlier iteration
        // could not write mean that the store has failed.
        if !bytes_full && !outcomes_full && self.journaled_results == 0 {
            return None;
        }
        Some(self.refusal(if outcomes_full { UNFETCHED_RETRY_MS } else { 0 }))
    }

    /// The refusal while the forwarder is full, with this retry delay in milliseconds, or the
    /// default if it is 0.
    pub fn refusal(&mut self, wait_ms: u64) -> SubmitReply {
        self.counts.refused += 1;
        SubmitReply::Refused { retry_in_ms: self.retry_delay(wait_ms) }
    }

    /// The retry delay in milliseconds told to clients: this one, or the default if it is 0,
    /// limited to the longest wait of the site.
    pub fn retry_delay(&self, wait_ms: u64) -> u64 {
        let wait_ms = if wait_ms == 0 { FULL_RETRY_MS } else { wait_ms };
        wait_ms.min(self.longest_wait_ms)
    }

    /// Counts a message as held.
    pub fn hold(&mut self, message: &crate::message::Message) {
        self.held_bytes += message.journal_size() as u64;
        self.reserved += self.outcome_size(message);
    }

    /// No longer counts a message as held: its outcome is stored, or it was not accepted.
    pub fn release(&mut self, message: &crate::message::Message) {
        self.held_bytes = self.held_bytes.saturating_sub(message.journal_size() as u64);
        self.reserved = self.reserved.saturating_sub(self.outcome_size(message));
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self, number: u64, partner: u32, failure: Failure) {
        self.counts.failures += 1;
        self.counts.by_partner.entry(partner).or_default().1 += 1;
        self.failures.push_back((number, failure));
        if self.failures.len() > MAX_FAILURES {
            self.failures.pop_front();
        }
    }

    /// Sets what was done about the latest failure of a message.
    pub fn set_followup(&mut self, number: u64, what: &str) {
        if let Some((_, failure)) = self.failures.iter_mut().rev().find(|(n, _)| *n == number) {
            failure.then = what.to_string();
        }
    }
}

/// Converts an outcome to the form kept with a message's attempts.
pub(super) fn attempt_outcome(outcome: Outcome) -> ends::AttemptOutcome {
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
