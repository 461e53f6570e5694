//! Restart: restores the messages that the journal holds.

use super::outcomes::DEDUP_MARGIN_US;
use super::{Acceptance, HeldMessage, Node};
use crate::message::{order_key, Message};
use crate::message_ids::SubmissionState;
use crate::notice_queue::PendingNotice;
use foldtrack_delivery::{Effect, Event, Outcome};
use foldtrack_ends::Attempt;
use foldtrack_journal::{AttemptEffect, AttemptRecord, FailureNotice, Record, RecoveredMessage};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

impl Node {
    /// Restores all messages in the order in which they were accepted.
    pub(super) fn restore_all(&mut self, restored: BTreeMap<u64, RecoveredMessage>) {
        let ended: HashSet<u64> = self.site.iter().flat_map(|s| s.outcomes.message_numbers()).collect();
        for (number, message) in restored {
            // The process ended after it had written the message's outcome and before it updated
            // the journal.
            match ended.contains(&number) {
                true => self.stage_record(number, &Record::Finished),
                false => self.restore(number, message),
            }
        }
    }

    /// Restores one message.
    fn restore(&mut self, number: u64, restored: RecoveredMessage) {
        let RecoveredMessage { accepted, taken: arrived_at, delivered, attempts, notice } = restored;
        self.ids.insert(&accepted.id, number);
        self.set_id_state(&accepted.id, SubmissionState::Accepted);
        if let Some(notice) = notice.filter(|_| self.site.is_none()) {
            let order_key = order_key(&accepted.key);
            self.set_id_state(&accepted.id, SubmissionState::Ended);
            self.notices.insert(number, PendingNotice { id: accepted.id, order_key, notice });
            return;
        }
        let class = self.settings.class_names.iter().position(|n| *n == accepted.class);
        // If the clock was set back, the message still does not wait for longer than its class
        // allows.
        let effect = class.map(|c| self.settings.settings.classes[c].effect);
        let deadline = class.map_or(0, |c| self.settings.settings.classes[c].deadline);
        let latest = self.clock.now() + deadline;
        let message = Message {
            id: accepted.id,
            class: class.unwrap_or(usize::MAX),
            destination: accepted.destination,
            key: accepted.key,
            idempotency_key: accepted.idempotency_key,
            retry: accepted.retry,
            expires: self.clock.time_at_unix(accepted.expires).min(latest),
            body: accepted.body.into(),
        };
        let message = self.limit_stale_message(message, arrived_at);
        let (order_key, destination, expires) = (message.order_key(), message.destination, message.expires);
        let may_be_stale = self.has_stale_folder() && effect.is_some_and(|e| e != Effect::Repeatable);
        let mut held = HeldMessage {
            message: Arc::new(message),
            acceptance: Acceptance::Confirmed,
            arrived_at,
            history: if self.site.is_some() {
                attempts.iter().map(restored_attempt).collect()
            } else {
                Vec::new()
            },
            attempts: attempts.len() as u32,
            journaled_attempts: attempts.len() as u32,
            withheld_calls: 0,
            pending_send: None,
            last_outcome: None,
        };
        if may_be_stale {
            // The state folder is an older copy: attempts made after the copy are not in it.
            let outcome = foldtrack_ends::AttemptOutcome::MayHaveRun;
            held.history.push(Attempt { at: arrived_at, until: 0, endpoint: String::new(), outcome });
        }
        if let Some(site) = &mut self.site {
            site.hold(&held.message);
        }
        self.messages.insert(number, held);
        if may_be_stale
            && notice.is_none()
            && !delivered
            && (effect == Some(Effect::Once) || expires <= self.clock.now())
        {
            return self.end_message(number, FailureNotice::GivenUp);
        }
        if delivered {
            return self.end_delivered(number);
        }
        if let Some(notice) = notice {
            return self.end_message(number, notice);
        }
        let Some(class) = class else {
            // The class is no longer in the settings, so nothing can be promised.
            return self.end_message(number, FailureNotice::GivenUp);
        };
        let first = attempts.iter().find(|t| t.effect != Some(AttemptEffect::NeverRan));
        let first_run = first.map(|t| (self.clock.time_at_unix(t.at), t.zone));
        let outcome = |effect| match effect {
            Some(AttemptEffect::NeverRan) => Outcome::NotSent,
            Some(AttemptEffect::MayHaveRun) | None => Outcome::Reset,
        };
        let attempts = attempts.iter().map(|t| outcome(t.effect)).collect();
        let class = class as u32;
        self.notify_scheduler(Event::Restored {
            id: number,
            class,
            destination,
            order_key,
            expires,
            attempts,
            first_run,
        });
    }
}

impl Node {
    /// Limits a keyed message from an older copy of the state folder to the time for which its
    /// partner remembers the key, counted from its arrival.
    fn limit_stale_message(&self, message: Message, arrived_at: u64) -> Message {
        let class = self.settings.settings.classes.get(message.class);
        let Some(window) = class.filter(|c| c.effect == Effect::Keyed).map(|c| c.dedup_window) else {
            return message;
        };
        if !self.has_stale_folder() {
            return message;
        }
        let until =
            self.clock.time_at_unix(arrived_at.saturating_add(window).saturating_sub(DEDUP_MARGIN_US));
        Message { expires: message.expires.min(until), ..message }
    }
}

/// An attempt of an earlier process, as recorded in the journal.
fn restored_attempt(tried: &AttemptRecord) -> Attempt {
    use foldtrack_ends::AttemptOutcome;
    let outcome = match tried.effect {
        Some(AttemptEffect::NeverRan) => AttemptOutcome::DidNotRun,
        Some(AttemptEffect::MayHaveRun) => AttemptOutcome::MayHaveRun,
        None => AttemptOutcome::Lost,
    };
    Attempt { at: tried.at, until: 0, endpoint: tried.endpoint.clone(), outcome }
}
