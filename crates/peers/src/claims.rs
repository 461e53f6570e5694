//! Ownership of messages: which forwarder owns, or has finished, which message. A message that is submitted
//! again under its id at another forwarder is not sent a second time while the first copy may still be
//! active.
//!
//! A message whose repetition is not harmless is claimed before it is accepted: a quorum (a majority of
//! all members) must know no other owner for its id. Any two quorums have a member in common, and each
//! member grants the first claim it sees, so at most one of two forwarders is granted the claim. Grants
//! outlive the process of the member that gave them (the caller persists the records before replies
//! leave). A member that has lost its grants abstains, and its reply does not count until it has
//! recovered them ([`recovery`](crate::recovery)).
//!
//! At first only as many members are asked as a quorum needs, chosen by the id, so that every forwarder
//! that asks for the same id next meets one of them. If one of those does not answer soon, all members are
//! asked.
//!
//! A claim is made for an owner: a name and the store id of its messages. A forwarder that comes back with
//! an empty state folder, or with an old copy of it, has another store id and is another owner.

use crate::recovery::{Cursor, RecoveredClaim, Recovery, RecoveryPage};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;

/// A message id as it is sent between forwarders: the first 16 bytes of its SHA-256.
pub type Key = u128;

/// The key of a message id.
pub fn message_key(id: &str) -> Key {
    let hash = Sha256::digest(id.as_bytes());
    u128::from_le_bytes(std::array::from_fn(|n| hash[n]))
}

/// How long a claim collects replies, in milliseconds, from its start and again from when it takes over from
/// another owner. Clients wait 400 ms for an answer.
pub const REPLY_TIMEOUT_MS: u64 = 250;
/// A claim request without an answer is repeated after this many milliseconds.
const RESEND_INTERVAL_MS: u64 = 40;
/// How long a claim continues after its client was told to retry, in milliseconds. Replies received in that
/// time count when the client retries.
const DETACHED_LIFETIME_MS: u64 = 4_000;
/// Interval at which such a claim is repeated, in milliseconds.
const DETACHED_RESEND_INTERVAL_MS: u64 = 300;
/// How long ids are remembered, in milliseconds.
pub const RETENTION_MS: u64 = 600_000;
/// Maximum number of ids remembered; beyond it the oldest are forgotten first.
pub const MAX_IDS: usize = 100_000;
/// Subtracted from the time for which a partner remembers an idempotency key, in milliseconds.
const KEY_MEMORY_MARGIN_MS: u64 = 1_000;
/// Maximum lifetime of a claim in milliseconds, whatever replies it gets. After that time a member that has
/// lost its grants can learn which of them succeeded.
pub const CLAIM_LIFETIME_MS: u64 = 10_000;
/// Outcomes wait this many milliseconds for others, to be sent in one batch.
const OUTCOME_BATCH_DELAY_MS: u64 = 20;
/// After a claim that the first members asked did not answer in time, new claims ask all members at once
/// for this many milliseconds.
const FULL_FANOUT_MS: u64 = 1_000;
/// Retry delay for a client while the owner of its message is not known yet, in milliseconds.
const RETRY_SOON_MS: u64 = 300;
/// Retry delay for a client if no member can tell whether its message may be accepted, in milliseconds.
const RETRY_LATER_MS: u64 = 1_000;
/// Maximum number of times that an outcome is sent to a member that has not acknowledged it; the interval
/// doubles each time.
const MAX_OUTCOME_SENDS: u32 = 8;
/// Outcome of a claim that was abandoned: the id is free again.
const RELEASED: ClaimOutcome = ClaimOutcome::HandedBack(0);
/// Maximum number of items in one message on the wire.
pub const MAX_ITEMS_PER_MESSAGE: usize = 24;

/// The owner of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the forwarder.
    pub name: String,
    /// Identifies the message store of the forwarder; a new one is drawn for an empty or outdated state
    /// folder.
    #[serde(rename = "memory")]
    pub store_id: u64,
}

/// Outcome of a message, as its owner reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The message was delivered.
    Delivered,
    /// The message ended otherwise and must not be submitted again.
    #[serde(rename = "Over")]
    Final,
    /// The message was handed back. It may be submitted again anywhere for this many milliseconds; 0 means
    /// without limit.
    #[serde(rename = "Back")]
    HandedBack(u64),
}

/// A claim on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Key of the message.
    pub key: Key,
    /// Increases with each claim of the owner, so that a late datagram does not affect a newer claim.
    #[serde(rename = "turn")]
    pub seq: u64,
    /// The unreachable owner from which the claim takes over a message that may be repeated.
    #[serde(rename = "over")]
    pub takeover_from: Option<Owner>,
}

/// A member's reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// Granted: this member knows no other owner and will grant the id to no other. If the message was
    /// handed back and may run only for a limited time, the remaining milliseconds; 0 means without limit.
    #[serde(rename = "Yours")]
    Granted(u64),
    /// Another owner holds the message, for this many milliseconds so far.
    Held(Owner, u64),
    /// The message has ended; true if it must not be submitted again.
    Ended(bool),
    /// This member has lost its earlier grants and abstains.
    #[serde(rename = "Unsure")]
    Abstain,
}

/// An owner's answer when it is asked about a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerStatus {
    /// It has accepted the message.
    Held,
    /// It is still claiming the message; the result is not known.
    Claiming,
    /// The message has ended with this outcome.
    Ended(ClaimOutcome),
    /// It has refused the message or never had it.
    Unknown,
}

/// The effect of repeating a message, which decides what its claim requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The message must never take effect twice. Holds its deadline in milliseconds, after which no attempt
    /// is in flight anywhere.
    Once(u64),
    /// Partners drop repetitions within this many milliseconds.
    Keyed(u64),
}

/// Result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The message may be accepted here and attempted for this many milliseconds; 0 means without limit.
    Granted(u64),
    /// Another forwarder has accepted the message and owns it.
    Held,
    /// The message was delivered.
    Delivered,
    /// The message ended otherwise, or its outcome can't be known.
    Final,
    /// The client should retry after this many milliseconds.
    RetryAfter(u64),
}

/// What a member has granted, as written to the claim log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRecord {
    /// A granted claim: key, owner and sequence number.
    Claimed(Key, Owner, u64),
    /// An outcome reported by the owner.
    Ended(Key, ClaimOutcome),
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    owner: Owner,
    seq: u64,
    since: u64,
    end: Option<(ClaimOutcome, u64)>,
    /// For this forwarder's own messages: the message has been accepted.
    accepted: bool,
    /// For this forwarder's own messages: the members that were asked for a reply and must be told the
    /// outcome. `None` if that is no longer known.
    asked_members: Option<Box<[usize]>>,
}

impl Entry {
    /// The reply to any claim for a message that must not, or need not, be submitted again.
    fn final_reply(&self) -> Option<ClaimReply> {
        match self.end {
            Some((ClaimOutcome::Delivered, _)) => Some(ClaimReply::Ended(false)),
            Some((ClaimOutcome::Final, _)) => Some(ClaimReply::Ended(true)),
            Some((ClaimOutcome::HandedBack(_), _)) | None => None,
        }
    }
}

#[derive(Debug)]
struct PendingClaim {
    effect: Effect,
    seq: u64,
    /// When the claim started.
    started: u64,
    /// Members asked so far.
    asked: BTreeSet<usize>,
    granted_by: BTreeSet<usize>,
    answered: BTreeSet<usize>,
    /// The shortest time limit among the granting replies, in milliseconds; 0 means without limit.
    limit_ms: u64,
    held: Option<(Owner, u64)>,
    takeover_from: Option<Owner>,
    resend_at: u64,
    deadline: u64,
    /// The client was told to retry, and the claim continues without it.
    detached: bool,
}

#[derive(Debug)]
struct OutcomeNotice {
    outcome: ClaimOutcome,
    seq: u64,
    unacknowledged: BTreeSet<usize>,
    send_at: u64,
    attempts: u32,
}

/// The claim table of one member.
#[derive(Debug)]
pub struct Claims {
    own: Owner,
    /// Sequence number of the last claim.
    last_seq: u64,
    others: usize,
    known: HashMap<Key, Entry>,
    by_age: BTreeSet<(u64, Key)>,
    /// From this time on all grants of this member are known, or have expired everywhere.
    complete_from: u64,
    /// The recovery of lost grants, while they are not known.
    recovery: Option<Recovery>,
    /// Everything that this forwarder itself owned is known, from a journal that survives a machine
    /// failure.
    owner_complete: bool,
    /// A change of whether all grants are known, to be recorded in the claim log.
    completeness_change: Option<bool>,
    /// Until then new claims ask all members at once.
    full_fanout_until: u64,
    /// The earliest times at which a claim or an outcome is to be sent.
    next_claim_send: u64,
    next_outcome_send: u64,
    pending: BTreeMap<Key, PendingClaim>,
    notices: BTreeMap<Key, OutcomeNotice>,
    settled: Vec<(Key, ClaimResult)>,
    records: Vec<ClaimRecord>,
}

impl Claims {
    /// Creates the table of a member with this many others. If it may have lost its grants (`complete` is
    /// false), its replies do not count until it has recovered them or they have expired everywhere.
    pub fn new(
        now: u64, own: Owner, start: u64, others: usize, complete: bool, records: Vec<ClaimRecord>,
    ) -> Claims {
        let mut claims = Claims {
            own,
            last_seq: start << 32,
            others,
            known: HashMap::new(),
            by_age: BTreeSet::new(),
            complete_from: if complete { now } else { now + RETENTION_MS },
            recovery: (!complete).then(|| Recovery::new(now, others)),
            owner_complete: false,
            completeness_change: None,
            full_fanout_until: 0,
            next_claim_send: u64::MAX,
            next_outcome_send: u64::MAX,
            pending: BTreeMap::new(),
            notices: BTreeMap::new(),
            settled: Vec::new(),
            records: Vec::new(),
        };
        for record in records {
            match record {
                ClaimRecord::Claimed(key, owner, seq) => claims.store(now, key, owner, seq),
                ClaimRecord::Ended(key, outcome) => claims.record_outcome(now, key, outcome),
            }
        }
        claims.records.clear();
        claims
    }

    /// This forwarder has lost what it owned: from now on it is another owner, and it does not know its
    /// grants.
    pub fn reset_store(&mut self, now: u64, store_id: u64, start: u64) {
        (self.own.store_id, self.last_seq) = (store_id, start << 32);
        self.complete_from = now + RETENTION_MS;
        self.recovery = Some(Recovery::new(now, self.others));
        (self.owner_complete, self.completeness_change) = (false, Some(false));
    }

    /// No member has heard of an earlier run of this forwarder, so there are no grants that it could have
    /// lost.
    pub fn confirm_new(&mut self, now: u64) {
        self.mark_complete(now);
    }

    fn mark_complete(&mut self, now: u64) {
        if self.recovery.take().is_some() {
            self.complete_from = self.complete_from.min(now);
            self.completeness_change = Some(true);
        }
    }

    /// Returns and clears the last change of whether all grants are known.
    pub fn take_completeness_change(&mut self) -> Option<bool> {
        self.completeness_change.take()
    }

    /// Number of ids remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no ids are remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn store(&mut self, now: u64, key: Key, owner: Owner, seq: u64) {
        if let Some(old) = self.known.get(&key) {
            self.by_age.remove(&(old.since, key));
        }
        self.records.push(ClaimRecord::Claimed(key, owner.clone(), seq));
        self.known
            .insert(key, Entry { owner, seq, since: now, end: None, accepted: false, asked_members: None });
        self.by_age.insert((now, key));
        while self.by_age.len() > MAX_IDS {
            let Some((_, oldest)) = self.by_age.pop_first() else { break };
            self.known.remove(&oldest);
        }
    }

    fn record_outcome(&mut self, now: u64, key: Key, outcome: ClaimOutcome) {
        let Some(entry) = self.known.get_mut(&key) else { return };
        if entry.end.map(|(outcome, _)| outcome) != Some(outcome) {
            entry.end = Some((outcome, now));
            self.records.push(ClaimRecord::Ended(key, outcome));
        }
    }

    /// Number of members, including this one, that form a quorum.
    pub fn quorum(&self) -> usize {
        let members = self.others + 1;
        members / 2 + 1
    }

    /// Whether all grants of this member are known.
    pub fn is_complete(&self, now: u64) -> bool {
        now >= self.complete_from
    }

    /// The reply of a member that may have lost grants: it reports what it knows of other owners, but grants
    /// nothing.
    fn incomplete_reply(&self, now: u64, from: &Owner, key: Key) -> ClaimReply {
        let Some(entry) = self.known.get(&key) else { return ClaimReply::Abstain };
        let held = entry.end.is_none() && entry.owner != *from;
        let held = held.then(|| ClaimReply::Held(entry.owner.clone(), now.saturating_sub(entry.since)));
        entry.final_reply().or(held).unwrap_or(ClaimReply::Abstain)
    }

    /// Answers a claim.
    pub fn reply(&mut self, now: u64, from: &Owner, claim: &Claim) -> ClaimReply {
        if !self.is_complete(now) {
            return self.incomplete_reply(now, from, claim.key);
        }
        let Some(entry) = self.known.get(&claim.key) else {
            self.store(now, claim.key, from.clone(), claim.seq);
            return ClaimReply::Granted(0);
        };
        let same_owner = entry.owner == *from;
        if same_owner && (claim.seq < entry.seq || claim.seq == entry.seq && entry.end.is_some()) {
            // The request is late: the claim has been given back since.
            return ClaimReply::Abstain;
        }
        if let Some(reply) = entry.final_reply() {
            return reply;
        }
        if let Some((ClaimOutcome::HandedBack(span), at)) = entry.end {
            let left = if span == 0 { 0 } else { span.saturating_sub(now - at) };
            if span > 0 && left == 0 {
                return ClaimReply::Ended(true);
            }
            self.store(now, claim.key, from.clone(), claim.seq);
            return ClaimReply::Granted(left);
        }
        if same_owner {
            if claim.seq > entry.seq {
                let since = entry.since;
                self.store(since, claim.key, from.clone(), claim.seq);
            }
            return ClaimReply::Granted(0);
        }
        if claim.takeover_from.as_ref() == Some(&entry.owner) {
            // The partner remembers the key since the first owner's claim, so its age is kept.
            let since = entry.since;
            self.store(since, claim.key, from.clone(), claim.seq);
            return ClaimReply::Granted(0);
        }
        ClaimReply::Held(entry.owner.clone(), now.saturating_sub(entry.since))
    }

    /// Starts to claim an id for this forwarder. [`Claims::take_settled`] returns the result.
    pub fn claim(&mut self, now: u64, key: Key, effect: Effect) {
        let quorum = self.quorum();
        if let Some(pending) = self.pending.get_mut(&key) {
            (pending.detached, pending.deadline) = (false, now + REPLY_TIMEOUT_MS);
            if pending.granted_by.len() >= quorum {
                self.grant(now, key);
            }
            return;
        }
        self.last_seq += 1;
        let seq = self.last_seq;
        let pending = PendingClaim {
            effect,
            seq,
            started: now,
            asked: BTreeSet::new(),
            granted_by: BTreeSet::new(),
            answered: BTreeSet::new(),
            limit_ms: 0,
            held: None,
            takeover_from: None,
            resend_at: now,
            deadline: now + REPLY_TIMEOUT_MS,
            detached: false,
        };
        self.pending.insert(key, pending);
        self.next_claim_send = now;
        let own = self.own.clone();
        let reply = self.reply(now, &own, &Claim { key, seq, takeover_from: None });
        // The reply of this member is counted under an index that no other member has.
        self.record_reply(now, self.others, key, seq, reply);
    }

    /// Counts a member's reply.
    pub fn record_reply(&mut self, now: u64, from: usize, key: Key, seq: u64, reply: ClaimReply) {
        let quorum = self.quorum();
        // A process that was suspended reads replies on claims whose lifetime is over.
        let is_current = |a: &&mut PendingClaim| a.seq == seq && now < a.started + CLAIM_LIFETIME_MS;
        let Some(pending) = self.pending.get_mut(&key).filter(is_current) else { return };
        pending.answered.insert(from);
        match reply {
            ClaimReply::Granted(left) => {
                if left > 0 {
                    pending.limit_ms = if pending.limit_ms == 0 { left } else { pending.limit_ms.min(left) };
                }
                pending.granted_by.insert(from);
                if pending.granted_by.len() >= quorum && !pending.detached {
                    self.grant(now, key);
                }
            }
            ClaimReply::Ended(is_final) => {
                if is_final {
                    self.abandon(now, key, ClaimResult::Final, ClaimOutcome::Final);
                } else {
                    self.abandon(now, key, ClaimResult::Delivered, ClaimOutcome::Delivered);
                }
            }
            ClaimReply::Held(owner, age) => {
                if pending.takeover_from.is_none()
                    && pending.held.as_ref().is_none_or(|(_, known)| *known < age)
                {
                    pending.held = Some((owner, age));
                }
            }
            // Another member must be asked instead.
            ClaimReply::Abstain => {
                pending.resend_at = pending.resend_at.min(now);
                self.next_claim_send = self.next_claim_send.min(now);
            }
        }
    }

    /// The other owner of an id that is being claimed here; it must be asked about the message.
    pub fn held_by(&self, key: Key) -> Option<&Owner> {
        let pending = self.pending.get(&key).filter(|a| a.takeover_from.is_none())?;
        pending.held.as_ref().map(|(owner, _)| owner)
    }

    /// Handles an owner's answer about a message.
    pub fn owner_replied(&mut self, now: u64, from: &Owner, key: Key, status: OwnerStatus) {
        let Some(pending) = self.pending.get(&key) else { return };
        if pending.held.as_ref().is_none_or(|(owner, _)| owner != from) {
            return;
        }
        match status {
            OwnerStatus::Held => self.abandon(now, key, ClaimResult::Held, RELEASED),
            OwnerStatus::Ended(outcome @ ClaimOutcome::Delivered) => {
                self.abandon(now, key, ClaimResult::Delivered, outcome)
            }
            OwnerStatus::Ended(outcome @ ClaimOutcome::Final) => {
                self.abandon(now, key, ClaimResult::Final, outcome)
            }
            // The owner sends that outcome to every member that still counts it as owner.
            OwnerStatus::Ended(ClaimOutcome::HandedBack(_))
            | OwnerStatus::Unknown
            | OwnerStatus::Claiming => {
                self.abandon(now, key, ClaimResult::RetryAfter(RETRY_SOON_MS), RELEASED);
            }
        }
    }

    /// The owner of a claimed message can't be reached or has another store id now. What happens depends on
    /// the class.
    pub fn owner_unreachable(&mut self, now: u64, key: Key) {
        let Some(pending) = self.pending.get_mut(&key) else { return };
        let Some((owner, age)) = pending.held.clone() else { return };
        match pending.effect {
            Effect::Once(deadline) if age < deadline => {
                self.abandon(now, key, ClaimResult::RetryAfter(RETRY_LATER_MS), RELEASED);
            }
            Effect::Once(_) => self.abandon(now, key, ClaimResult::Final, RELEASED),
            Effect::Keyed(window) => {
                let left = window.saturating_sub(age + KEY_MEMORY_MARGIN_MS);
                if left == 0 {
                    return self.abandon(now, key, ClaimResult::Final, RELEASED);
                }
                pending.limit_ms = left;
                pending.takeover_from = Some(owner);
                pending.granted_by.clear();
                pending.answered.clear();
                (pending.resend_at, pending.deadline) = (now, now + REPLY_TIMEOUT_MS);
                self.next_claim_send = now;
                let (own, takeover_from, seq) =
                    (self.own.clone(), pending.takeover_from.clone(), pending.seq);
                let reply = self.reply(now, &own, &Claim { key, seq, takeover_from });
                self.record_reply(now, self.others, key, seq, reply);
            }
        }
    }

    fn settle(&mut self, key: Key, result: ClaimResult) {
        self.pending.remove(&key);
        self.settled.push((key, result));
    }

    /// Settles a claim as granted to this forwarder.
    fn grant(&mut self, now: u64, key: Key) {
        let Some(pending) = self.pending.get(&key) else { return };
        let (seq, left) = (pending.seq, pending.limit_ms);
        let members = pending.asked.iter().copied().collect();
        if self.known.get(&key).is_none_or(|e| e.owner != self.own) {
            // This member's own reply did not count.
            self.store(now, key, self.own.clone(), seq);
        }
        if let Some(entry) = self.known.get_mut(&key) {
            entry.asked_members = Some(members);
        }
        self.settle(key, ClaimResult::Granted(left));
    }

    /// Settles a claim as not granted. Members may have granted it; they are sent the known outcome, or
    /// that the id is free.
    fn abandon(&mut self, now: u64, key: Key, result: ClaimResult, outcome: ClaimOutcome) {
        if self.known.get(&key).is_some_and(|e| e.owner == self.own && e.end.is_none()) {
            self.record_outcome(now, key, outcome);
        }
        if let Some(pending) = self.pending.get(&key) {
            let (seq, members) = (pending.seq, pending.asked.clone());
            self.queue_outcome(now, key, seq, outcome, members);
        }
        self.settle(key, result);
    }

    fn queue_outcome(
        &mut self, at: u64, key: Key, seq: u64, outcome: ClaimOutcome, unacknowledged: BTreeSet<usize>,
    ) {
        if unacknowledged.is_empty() {
            return;
        }
        self.next_outcome_send = self.next_outcome_send.min(at);
        self.notices.insert(key, OutcomeNotice { outcome, seq, unacknowledged, send_at: at, attempts: 0 });
    }

    /// This forwarder does not own a message that another asks about: every member is notified.
    pub fn disown(&mut self, now: u64, key: Key) {
        if !self.notices.contains_key(&key) {
            self.queue_outcome(now, key, self.last_seq, RELEASED, (0..self.others).collect());
        }
    }

    /// A message has been accepted here; queries from other members report it as owned here.
    pub fn message_accepted(&mut self, key: Key) {
        if let Some(entry) = self.known.get_mut(&key).filter(|e| e.owner == self.own) {
            entry.accepted = true;
        }
    }

    /// Compares the claims with the journal after a start. `held` and `ended` are the messages in the
    /// journal. Claims of this forwarder that are in neither list were never accepted and are given back.
    /// `durable` says whether the journal survives a machine failure.
    pub fn reconcile(&mut self, now: u64, held: &[Key], ended: &[(Key, ClaimOutcome)], durable: bool) {
        let mut unresolved: BTreeSet<Key> = self
            .known
            .iter()
            .filter(|(_, e)| e.owner == self.own && e.end.is_none())
            .map(|(k, _)| *k)
            .collect();
        for key in held {
            unresolved.remove(key);
            self.restore_own(now, *key);
            self.message_accepted(*key);
        }
        for (key, outcome) in ended {
            self.restore_own(now, *key);
            if unresolved.remove(key) {
                self.message_ended(now, *key, *outcome);
            } else if self.known.get(key).is_some_and(|e| e.owner == self.own) {
                self.record_outcome(now, *key, *outcome);
            }
        }
        for key in unresolved {
            self.message_ended(now, key, RELEASED);
        }
        self.owner_complete = durable;
    }

    /// Claims a message of this forwarder again whose claim is missing from the log.
    fn restore_own(&mut self, now: u64, key: Key) {
        if !self.is_complete(now) && !self.known.contains_key(&key) {
            self.last_seq += 1;
            self.store(now, key, self.own.clone(), self.last_seq);
        }
    }

    /// Records that a message of this forwarder has ended, or was not accepted after all, and tells the
    /// members that were asked.
    pub fn message_ended(&mut self, now: u64, key: Key, outcome: ClaimOutcome) {
        let Some(entry) = self.known.get(&key).filter(|e| e.owner == self.own) else { return };
        let seq = entry.seq;
        let unacknowledged = match &entry.asked_members {
            Some(members) => members.iter().copied().collect(),
            None => (0..self.others).collect(),
        };
        self.record_outcome(now, key, outcome);
        self.queue_outcome(now + OUTCOME_BATCH_DELAY_MS, key, seq, outcome, unacknowledged);
    }

    /// Applies an outcome that an owner has sent.
    pub fn apply_outcome(&mut self, now: u64, from: &Owner, key: Key, seq: u64, outcome: ClaimOutcome) {
        // The outcome may overtake its claim, which must not be granted after it.
        if !self.known.contains_key(&key) {
            self.store(now, key, from.clone(), seq);
        }
        if let Some(entry) = self.known.get_mut(&key).filter(|e| e.owner == *from && e.seq <= seq) {
            entry.seq = seq;
            self.record_outcome(now, key, outcome);
        }
    }

    /// A member has acknowledged an outcome.
    pub fn acknowledge_outcome(&mut self, from: usize, key: Key) {
        if let Some(notice) = self.notices.get_mut(&key) {
            notice.unacknowledged.remove(&from);
            if notice.unacknowledged.is_empty() {
                self.notices.remove(&key);
            }
        }
    }

    /// This forwarder's answer when another asks about a message.
    pub fn own_status(&self, key: Key) -> OwnerStatus {
        match self.known.get(&key).filter(|e| e.owner == self.own) {
            Some(Entry { end: Some((outcome, _)), .. }) => OwnerStatus::Ended(*outcome),
            Some(Entry { accepted: true, .. }) => OwnerStatus::Held,
            Some(_) => OwnerStatus::Claiming,
            None => OwnerStatus::Unknown,
        }
    }

    /// The owner, present or past, of a message and its outcome, as far as they are known here.
    pub fn lookup(&self, key: Key) -> Option<(&Owner, Option<ClaimOutcome>)> {
        self.known.get(&key).map(|e| (&e.owner, e.end.map(|(outcome, _)| outcome)))
    }

    /// Claims to send now, by member. Members for which `responsive` is true are preferred.
    pub fn due_claims(
        &mut self, now: u64, responsive: impl Fn(usize) -> bool,
    ) -> BTreeMap<usize, Vec<Claim>> {
        let mut by_member: BTreeMap<usize, Vec<Claim>> = BTreeMap::new();
        if now < self.next_claim_send {
            return by_member;
        }
        let (quorum, others) = (self.quorum(), self.others);
        for (key, pending) in self.pending.iter_mut().filter(|(_, a)| a.resend_at <= now) {
            pending.resend_at =
                now + if pending.detached { DETACHED_RESEND_INTERVAL_MS } else { RESEND_INTERVAL_MS };
            let rotated = |n: usize| (n + (*key % others.max(1) as u128) as usize) % others;
            let first_round = pending.asked.is_empty();
            let mut chosen: Vec<usize> =
                (0..others).map(rotated).filter(|m| !pending.answered.contains(m)).collect();
            if first_round && now >= self.full_fanout_until {
                let needed = quorum.saturating_sub(pending.granted_by.len());
                let responsive_members: Vec<usize> =
                    chosen.iter().copied().filter(|m| responsive(*m)).take(needed).collect();
                if responsive_members.len() == needed {
                    chosen = responsive_members;
                }
            } else if !first_round
                && !pending.detached
                && pending.asked.iter().any(|m| !pending.answered.contains(m))
            {
                self.full_fanout_until = now + FULL_FANOUT_MS;
            }
            for member in chosen {
                pending.asked.insert(member);
                let (seq, takeover_from) = (pending.seq, pending.takeover_from.clone());
                by_member.entry(member).or_default().push(Claim { key: *key, seq, takeover_from });
            }
        }
        self.next_claim_send = self.pending.values().map(|a| a.resend_at).min().unwrap_or(u64::MAX);
        by_member
    }

    /// Outcomes to send now, by member.
    pub fn due_outcomes(&mut self, now: u64) -> BTreeMap<usize, Vec<(Key, u64, ClaimOutcome)>> {
        let mut by_member: BTreeMap<usize, Vec<(Key, u64, ClaimOutcome)>> = BTreeMap::new();
        if now < self.next_outcome_send {
            return by_member;
        }
        self.notices.retain(|_, t| t.attempts < MAX_OUTCOME_SENDS);
        for (key, notice) in self.notices.iter_mut().filter(|(_, t)| t.send_at <= now) {
            notice.send_at = now + ((2 * RESEND_INTERVAL_MS) << notice.attempts);
            notice.attempts += 1;
            for member in &notice.unacknowledged {
                by_member.entry(*member).or_default().push((*key, notice.seq, notice.outcome));
            }
        }
        self.next_outcome_send = self.notices.values().map(|t| t.send_at).min().unwrap_or(u64::MAX);
        by_member
    }

    // ---- recovery of lost grants ----

    /// Builds a page of this claim table for a member that has lost its grants.
    pub fn recovery_page(&self, now: u64, after: Option<Cursor>) -> RecoveryPage {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut page = RecoveryPage {
            after,
            items: Vec::new(),
            next: None,
            complete: self.is_complete(now),
            owner_complete: self.owner_complete,
        };
        let (mut remaining, mut last) = (RecoveryPage::MAX_ITEM_BYTES, None);
        for cursor in self.by_age.range((from, Bound::Unbounded)) {
            let Some(entry) = self.known.get(&cursor.1) else { continue };
            let age = |at: u64| now.saturating_sub(at);
            let item = RecoveredClaim {
                key: cursor.1,
                owner: entry.owner.clone(),
                seq: entry.seq,
                age_ms: age(entry.since),
                end: entry.end.map(|(outcome, at)| (outcome, age(at))),
            };
            let size = item.size();
            if size > remaining {
                page.next = last;
                break;
            }
            remaining -= size;
            page.items.push(item);
            last = Some(*cursor);
        }
        page
    }

    /// The members to ask for their next page, each with its cursor.
    pub fn due_recovery_requests(&mut self, now: u64) -> Vec<(usize, Option<Cursor>)> {
        self.recovery.as_mut().map(|r| r.due_requests(now)).unwrap_or_default()
    }

    /// Applies a page from another member. Returns true if the next page should be requested at once.
    pub fn apply_recovery_page(&mut self, now: u64, from: usize, page: RecoveryPage) -> bool {
        let quorum = self.quorum();
        let Some(recovery) = &mut self.recovery else { return false };
        if !recovery.accept(now, from, &page) {
            return false;
        }
        let more = page.next.is_some();
        let enough = recovery.is_sufficient(quorum, self.owner_complete);
        for item in page.items {
            self.merge_recovered(now, item);
        }
        if enough {
            self.mark_complete(now);
        }
        more
    }

    /// A member has restarted as a new process, so cursors into its table are no longer valid.
    pub fn member_restarted(&mut self, from: usize) {
        if let Some(recovery) = &mut self.recovery {
            recovery.restart(from);
        }
    }

    fn merge_recovered(&mut self, now: u64, item: RecoveredClaim) {
        let RecoveredClaim { key, owner, seq, age_ms, end } = item;
        let end = end.map(|(outcome, age)| (outcome, now.saturating_sub(age)));
        let is_final = |end: Option<(ClaimOutcome, u64)>| {
            matches!(end, Some((ClaimOutcome::Delivered | ClaimOutcome::Final, _)))
        };
        let newer = match self.known.get(&key) {
            None => true,
            Some(known) if known.owner == self.own => false,
            Some(known) if known.owner == owner => known.seq < seq || known.seq == seq && known.end.is_none(),
            // Of two owners the one that may still have the message counts; a final outcome is kept.
            Some(known) => {
                is_final(end) && !is_final(known.end)
                    || end.is_none() && matches!(known.end, Some((ClaimOutcome::HandedBack(_), _)))
            }
        };
        if !newer {
            return;
        }
        self.store(now.saturating_sub(age_ms), key, owner, seq);
        if let (Some(end), Some(entry)) = (end, self.known.get_mut(&key)) {
            entry.end = Some(end);
            self.records.push(ClaimRecord::Ended(key, end.0));
        }
    }

    /// Settles claims whose deadline has passed, and forgets old ids.
    pub fn expire(&mut self, now: u64) {
        if self.is_complete(now) {
            self.mark_complete(now);
        }
        let due: Vec<Key> =
            self.pending.iter().filter(|(_, a)| a.deadline <= now).map(|(key, _)| *key).collect();
        for key in due {
            let Some(pending) = self.pending.get(&key) else { continue };
            if pending.detached || now >= pending.started + CLAIM_LIFETIME_MS {
                // The client has not retried, or the claim is too old for its replies to count.
                self.abandon(now, key, ClaimResult::RetryAfter(RETRY_LATER_MS), RELEASED);
                continue;
            }
            match (&pending.held, &pending.takeover_from, pending.effect) {
                // The owner did not answer within the timeout and counts as unreachable.
                (Some(_), None, _) => self.owner_unreachable(now, key),
                // Too few members answered to rule out another owner. A message whose repetition its
                // partner drops may go; the other kind may not.
                (_, _, Effect::Keyed(window)) => {
                    let left = if pending.limit_ms == 0 {
                        window.saturating_sub(KEY_MEMORY_MARGIN_MS)
                    } else {
                        pending.limit_ms
                    };
                    if let Some(pending) = self.pending.get_mut(&key) {
                        pending.limit_ms = left;
                    }
                    self.grant(now, key);
                }
                (_, _, Effect::Once(_)) => {
                    if let Some(pending) = self.pending.get_mut(&key) {
                        (pending.detached, pending.deadline) =
                            (true, (now + DETACHED_LIFETIME_MS).min(pending.started + CLAIM_LIFETIME_MS));
                    }
                    self.settled.push((key, ClaimResult::RetryAfter(RETRY_LATER_MS)));
                }
            }
        }
        while let Some((since, key)) =
            self.by_age.first().copied().filter(|(since, _)| since + RETENTION_MS <= now)
        {
            self.by_age.remove(&(since, key));
            self.known.remove(&key);
        }
    }

    /// When the next timeout or resend is due.
    pub fn due(&self) -> Option<u64> {
        let pending = self.pending.values().map(|a| a.resend_at.min(a.deadline));
        let recovery = self.recovery.as_ref().and_then(Recovery::due).map(|due| due.min(self.complete_from));
        let outcomes = Some(self.next_outcome_send).filter(|_| !self.notices.is_empty());
        pending.chain(outcomes).chain(recovery).min()
    }

    /// Removes and returns the results of claims.
    pub fn take_settled(&mut self) -> Vec<(Key, ClaimResult)> {
        std::mem::take(&mut self.settled)
    }

    /// Removes and returns the records that must be persisted before replies are sent.
    pub fn take_records(&mut self) -> Vec<ClaimRecord> {
        std::mem::take(&mut self.records)
    }

    /// All current grants, for rewriting the claim log.
    pub fn snapshot(&self) -> Vec<ClaimRecord> {
        let mut records = Vec::with_capacity(2 * self.known.len());
        for (_, key) in &self.by_age {
            let Some(entry) = self.known.get(key) else { continue };
            records.push(ClaimRecord::Claimed(*key, entry.owner.clone(), entry.seq));
            records.extend(entry.end.map(|(outcome, _)| ClaimRecord::Ended(*key, outcome)));
        }
        records
    }
}
