//! How messages end: stored outcomes for a site, notices to the platform.

use super::{Acceptance, HeldMessage, Node};
use crate::delivery_log;
use crate::events::SubmitReply;
use crate::message_ids::SubmissionState;
use crate::notice_queue::PendingNotice;
use crate::platform;
use foldtrack_delivery::{Effect, Micros};
use foldtrack_ends::{FinalStatus, MessageOutcomeRef};
use foldtrack_journal::{FailureNotice, Record};
use hyper::StatusCode;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Pause after a failed write of outcomes.
const COMMIT_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A partner's idempotency window counts as shorter by this many microseconds, because a call sent
/// at its end arrives after it.
pub(super) const DEDUP_MARGIN_US: Micros = 1_000_000;

impl Node {
    /// Stages a record that a restart can do without: if it is missing, more attempts count as
    /// possibly executed.
    pub(super) fn stage_record(&mut self, number: u64, record: &Record) {
        if let Err(error) = self.journal.stage(number, record) {
            eprintln!("journal: {error}");
        }
    }

    /// Ends a message: by the reply to its client if that is still waiting, otherwise by a notice.
    pub(super) fn end_message(&mut self, number: u64, notice: FailureNotice) {
        let Some(held) = self.messages.remove(&number) else { return };
        if let Acceptance::Undecided(reply) = held.acceptance {
            self.ids.remove(&held.message.id);
            self.release_id(&held.message.id);
            delivery_log::refused(&held.message.id, notice, held.last_outcome);
            let retry_in_ms =
                if let FailureNotice::HandedBack { retry_in_ms } = notice { retry_in_ms } else { 0 };
            let answer = match &mut self.site {
                Some(site) => {
                    site.release(&held.message);
                    site.refusal(retry_in_ms)
                }
                None => SubmitReply::Refused { retry_in_ms },
            };
            let _ = reply.send(answer);
            return;
        }
        delivery_log::ended_undelivered(&held.message.id, notice, held.attempts, held.last_outcome);
        if let Some(site) = &mut self.site {
            if matches!(held.acceptance, Acceptance::Replying) {
                site.pending.insert(number, (held, notice));
                return;
            }
            return self.end_undelivered(number, held, notice);
        }
        self.set_id_state(&held.message.id, SubmissionState::Ended);
        self.stage_record(number, &Record::FailureNoticed(notice));
        let ending =
            PendingNotice { id: held.message.id.clone(), order_key: held.message.order_key(), notice };
        self.notices.insert(number, ending);
    }

    /// Ends an accepted message of a site undelivered.
    pub(super) fn end_undelivered(&mut self, number: u64, held: HeldMessage, notice: FailureNotice) {
        let result = match notice {
            FailureNotice::HandedBack { retry_in_ms } => {
                let delay = self.site.as_ref().map_or(retry_in_ms, |s| s.retry_delay(retry_in_ms));
                self.handed_back_result(&held, delay)
            }
            FailureNotice::GivenUp if held.history.iter().any(|a| !a.outcome.never_ran()) => {
                FinalStatus::InDoubt
            }
            // An attempt of an earlier submission of this id may have been executed.
            FailureNotice::GivenUp if self.harmless_until(&held.message.id).is_some() => FinalStatus::InDoubt,
            FailureNotice::GivenUp => FinalStatus::GivenUp,
        };
        self.stage_outcome(number, held, result);
    }

    /// The result of a message that is handed back: its client reads this in the feed of outcomes
    /// and may submit the message again much later. If an attempt may have been executed, a repeat
    /// is harmless only while the partner remembers the idempotency key. If no time is left for
    /// that, the outcome is in doubt.
    fn handed_back_result(&mut self, held: &HeldMessage, retry_in_ms: u64) -> FinalStatus {
        let message = &held.message;
        let class = self.settings.settings.classes.get(message.class);
        let window = class.filter(|c| c.effect == Effect::Keyed).map(|c| c.dedup_window);
        // The partner may have known the key since the first attempt that can have reached it, in
        // any submission.
        let first = held.history.iter().find(|a| !a.outcome.never_ran()).map(|a| a.at);
        let own =
            first.zip(window).map(|(at, window)| at.saturating_add(window).saturating_sub(DEDUP_MARGIN_US));
        let Some(until) = self.harmless_until(&message.id).into_iter().chain(own).min() else {
            return FinalStatus::HandedBack { retry_in_ms };
        };
        let back = self.clock.unix_time(self.clock.now()) + 1_000 * retry_in_ms + DEDUP_MARGIN_US;
        if back >= until {
            return FinalStatus::InDoubt;
        }
        FinalStatus::HandedBackUntil { retry_in_ms, until }
    }

    /// Until when a message that was handed back and may have been executed may be submitted again,
    /// Unix time in microseconds.
    pub(super) fn harmless_until(&mut self, id: &str) -> Option<u64> {
        match self.site.as_mut()?.outcomes.find(id).ok().flatten()?.1.result {
            FinalStatus::HandedBackUntil { until, .. } => Some(until),
            _ => None,
        }
    }

    /// Ends a message as delivered. Nothing more is owed under a platform; a site stores the
    /// outcome for its client.
    pub(super) fn end_delivered(&mut self, number: u64) {
        let Some(held) = self.messages.remove(&number) else { return };
        match self.site {
            Some(_) => self.stage_outcome(number, held, FinalStatus::Delivered),
            None => self.stage_record(number, &Record::Finished),
        }
    }

    /// Stages the outcome of a message; [`Node::commit_outcomes`] writes it at the end of the
    /// iteration.
    fn stage_outcome(&mut self, number: u64, held: HeldMessage, result: FinalStatus) {
        self.report_id_ended(&held.message.id, result);
        let ids_kept_until = self.clock.now() + self.retention();
        let Some(site) = &mut self.site else { return };
        let message = &held.message;
        let class = self.settings.class_names.get(message.class).map_or("", String::as_str);
        let counts = &mut site.counts;
        let (count, description) = match result {
            FinalStatus::Delivered => (&mut counts.delivered, "delivered"),
            FinalStatus::GivenUp => (&mut counts.given_up, "given up"),
            FinalStatus::InDoubt => (&mut counts.in_doubt, "given up, in doubt"),
            FinalStatus::HandedBack { .. } | FinalStatus::HandedBackUntil { .. } => {
                (&mut counts.handed_back, "handed back")
            }
        };
        *count += 1;
        if result == FinalStatus::Delivered {
            counts.by_partner.entry(message.destination).or_default().0 += 1;
        }
        if held.attempts > 1 || result != FinalStatus::Delivered {
            site.set_followup(number, description);
        }
        let ended = self.clock.unix_time(self.clock.now());
        // Before an old outcome is dropped, the journal must know that its message is finished.
        if site.outcomes.drops(ended) {
            if let Err(error) = self.journal.flush() {
                eprintln!("journal: {error}");
            }
        }
        let partner = site.partner_name(message.destination).into_owned();
        let outcome = MessageOutcomeRef {
            number,
            id: &message.id,
            class,
            partner: &partner,
            key: &message.key,
            taken: held.arrived_at,
            ended,
            result,
            attempts: &held.history,
        };
        site.release(message);
        match result {
            // The client may submit it again under the same id.
            FinalStatus::HandedBack { .. } | FinalStatus::HandedBackUntil { .. } => {
                self.ids.remove(&message.id)
            }
            FinalStatus::Delivered => {
                self.ids.set_state(&message.id, SubmissionState::Accepted, ids_kept_until)
            }
            _ => self.ids.set_state(&message.id, SubmissionState::Ended, ids_kept_until),
        }
        match site.outcomes.append(outcome) {
            Ok(_) => site.staged.push((number, result)),
            Err(error) => eprintln!("ends: cannot store the outcome of message {:?}: {error}", outcome.id),
        }
    }

    /// Writes the outcomes of this iteration, and only then lets the journal forget their messages,
    /// so that no outcome is lost if the process is killed in between. A restart takes a message
    /// whose outcome is stored as finished, so the journal's own record can follow with the next
    /// write.
    pub(super) fn commit_outcomes(&mut self) {
        let Some(site) = &mut self.site else { return };
        if !site.outcomes.has_uncommitted() || site.commit_retry_at > Instant::now() {
            return;
        }
        match site.outcomes.commit() {
            Ok(()) => {
                site.journaled_results = 0;
                let (ended, last) = (std::mem::take(&mut site.staged), site.outcomes.last_committed());
                self.group_commit.collecting.ended.extend(ended);
                self.group_commit.collecting.last_outcome = last;
            }
            Err(error) => {
                eprintln!("ends: {} outcomes not written yet: {error}", site.staged.len());
                site.commit_retry_at = Instant::now() + COMMIT_RETRY_PAUSE;
                // The journal may have capacity when the file system of the outcomes has none.
                let unjournaled: Vec<_> = site.staged[site.journaled_results..].to_vec();
                site.journaled_results = site.staged.len();
                for (number, result) in unjournaled {
                    self.journal_result(number, result);
                }
            }
        }
    }

    /// Records in the journal how a message ended whose outcome may not be stored.
    pub(super) fn journal_result(&mut self, number: u64, result: FinalStatus) {
        let record = match result {
            FinalStatus::Delivered => Record::Delivered,
            FinalStatus::HandedBack { retry_in_ms } | FinalStatus::HandedBackUntil { retry_in_ms, .. } => {
                Record::FailureNoticed(FailureNotice::HandedBack { retry_in_ms })
            }
            FinalStatus::GivenUp | FinalStatus::InDoubt => Record::FailureNoticed(FailureNotice::GivenUp),
        };
        self.stage_record(number, &record);
    }

    /// Drops outcomes that exceed the limits of age, count or size. The journal must know first
    /// that their messages are finished.
    pub(super) fn drop_expired_outcomes(&mut self) {
        let Some(site) = &mut self.site else { return };
        match self.journal.flush() {
            Ok(()) => site.outcomes.drop_expired(self.clock.unix_time(self.clock.now()), 0),
            Err(error) => eprintln!("journal: {error}"),
        }
    }

    /// Sends the notices that are due to the platform.
    pub(super) fn send_notices(&mut self) {
        let Some(discovery) = &self.discovery else { return };
        while let Some((numbers, lines)) = self.notices.next_report(self.clock.now()) {
            tokio::spawn(platform::report(discovery.subscribe(), lines, numbers, self.events.clone()));
        }
    }

    /// Handles the platform's answer to a batch of notices.
    pub(super) fn notices_reported(&mut self, numbers: Vec<u64>, status: Option<StatusCode>, to: SocketAddr) {
        self.notices.report_finished();
        if status != Some(StatusCode::NO_CONTENT) {
            // If discovery has moved meanwhile, the notices go to the new address at once.
            let stays = self.discovery.as_ref().is_some_and(|d| to == *d.borrow());
            if stays {
                eprintln!("notices: not accepted by discovery: {status:?}");
            }
            return self.notices.requeue(numbers, self.clock.now(), stays);
        }
        let mut keys = HashSet::new();
        for number in numbers {
            self.stage_record(number, &Record::Finished);
            keys.extend(self.notices.remove(number).map(|ended| ended.order_key).filter(|key| *key != 0));
        }
        if !keys.is_empty() {
            let key = |n: &u64| self.messages.get(n).map_or(0, |h| h.message.order_key());
            let free: Vec<u64> =
                self.pending_sends.iter().copied().filter(|n| keys.contains(&key(n))).collect();
            free.into_iter().for_each(|number| self.send(number));
        }
    }
}
