//! Recovery of lost grants: a member that has lost the claims it granted asks the other members for them.
//!
//! A claim that succeeded was granted by a majority. Among `n` members, any majority of all members that
//! excludes the one that lost its grants has a member in common with each of those majorities, so together
//! its members know everything that was granted. Claims still in progress when the grants were lost are
//! settled or abandoned within [`claims::CLAIM_LIFETIME_MS`], so recovery starts only after that time.
//!
//! If all members have lost their grants at once (for example in a power failure), no member's claim table
//! counts. Then each owner's own journal must have survived, and *all* other members must report.

use crate::claims::{self, ClaimOutcome, Key, Owner};
use serde::{Deserialize, Serialize};

/// Delay before the first request, in milliseconds: the lifetime of a claim, plus the clock difference that
/// can build up in it.
const START_DELAY_MS: u64 = claims::CLAIM_LIFETIME_MS + 1_000;
/// A request without an answer is repeated after this many milliseconds.
const RESEND_INTERVAL_MS: u64 = 200;
/// A member that has sent everything, but whose answer does not count, is asked again from the beginning
/// after this many milliseconds: it may have recovered its own grants by then.
const RESTART_DELAY_MS: u64 = 2_000;

/// Position of an entry in the claim table of the member that sends it: time of the claim by its clock, and
/// key.
pub type Cursor = (u64, Key);

/// What a member knows about one message id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveredClaim {
    /// The message key.
    pub key: Key,
    /// The owner.
    #[serde(rename = "holder")]
    pub owner: Owner,
    /// Sequence number of the owner's claim.
    #[serde(rename = "turn")]
    pub seq: u64,
    /// Age of the claim in milliseconds.
    #[serde(rename = "age")]
    pub age_ms: u64,
    /// The outcome, and how many milliseconds ago it was recorded.
    pub end: Option<(ClaimOutcome, u64)>,
}

impl RecoveredClaim {
    /// Encoded size in bytes.
    pub fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }
}

/// One page of a member's claim table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryPage {
    /// The cursor that the page was requested with.
    pub after: Option<Cursor>,
    /// Entries in cursor order.
    pub items: Vec<RecoveredClaim>,
    /// Cursor for the next page; `None` on the last page.
    pub next: Option<Cursor>,
    /// The sender knows everything that it has granted.
    #[serde(rename = "sure")]
    pub complete: bool,
    /// The sender knows everything that it owns or has owned.
    #[serde(rename = "whole")]
    pub owner_complete: bool,
}

impl RecoveryPage {
    /// Maximum total size of the entries in bytes; a page fits into one datagram.
    pub const MAX_ITEM_BYTES: usize = 900;
}

#[derive(Clone, Debug, Default)]
struct PeerProgress {
    cursor: Option<Cursor>,
    ask_at: u64,
    /// Whether `complete` and `owner_complete` were set in every page of the current pass.
    pass: (bool, bool),
    /// The same for the last finished pass.
    finished: Option<(bool, bool)>,
}

/// Progress of recovery from each of the other members.
#[derive(Debug)]
pub struct Recovery {
    peers: Vec<PeerProgress>,
}

impl Recovery {
    /// Starts a recovery of which nothing is known yet.
    pub fn new(now: u64, others: usize) -> Recovery {
        let progress = PeerProgress { ask_at: now + START_DELAY_MS, ..PeerProgress::default() };
        Recovery { peers: vec![progress; others] }
    }

    /// The members to ask now, each with the cursor to continue from.
    pub fn due_requests(&mut self, now: u64) -> Vec<(usize, Option<Cursor>)> {
        let mut requests = Vec::new();
        for (n, progress) in self.peers.iter_mut().enumerate().filter(|(_, p)| p.ask_at <= now) {
            progress.ask_at = now + RESEND_INTERVAL_MS;
            requests.push((n, progress.cursor));
        }
        requests
    }

    /// When the next request is due.
    pub fn due(&self) -> Option<u64> {
        self.peers.iter().map(|p| p.ask_at).min()
    }

    /// Accepts a page if it is the one that was requested, and advances the cursor.
    pub fn accept(&mut self, now: u64, from: usize, page: &RecoveryPage) -> bool {
        let Some(progress) =
            self.peers.get_mut(from).filter(|p| p.cursor == page.after && p.ask_at != u64::MAX)
        else {
            return false;
        };
        if page.after.is_none() {
            progress.pass = (true, true);
        }
        // A sender that was not complete when it began may have inserted entries before those that it had
        // already sent.
        progress.pass = (progress.pass.0 && page.complete, progress.pass.1 && page.owner_complete);
        progress.cursor = page.next;
        if page.next.is_some() {
            progress.ask_at = now;
            return true;
        }
        progress.finished = Some(progress.pass);
        progress.ask_at = if progress.pass.0 { u64::MAX } else { now + RESTART_DELAY_MS };
        true
    }

    /// A member has restarted as a new process: its unfinished pass starts again.
    pub fn restart(&mut self, from: usize) {
        if let Some(progress) = self.peers.get_mut(from) {
            progress.cursor = None;
        }
    }

    /// Whether the pages received contain everything that was granted: a majority of all members was
    /// complete, or every other member has reported all that it owns and this one (`owner_complete`) knows
    /// its own.
    pub fn is_sufficient(&self, quorum: usize, owner_complete: bool) -> bool {
        let complete = self.peers.iter().filter(|p| p.finished.is_some_and(|(complete, _)| complete)).count();
        let all_reported = || {
            owner_complete
                && self
                    .peers
                    .iter()
                    .all(|p| p.finished.is_some_and(|(complete, owner_complete)| complete || owner_complete))
        };
        complete >= quorum || all_reported()
    }
}
