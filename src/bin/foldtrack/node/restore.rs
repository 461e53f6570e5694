//! A restart: what the journal holds is taken over.

use super::endings::MEMORY_MARGIN;
use super::{Held, Node, Taken};
use crate::message::{order_key, Message};
use crate::notice_queue::PendingNotice;
use crate::registry::Known;
use foldtrack_delivery::{Effect, Event, Outcome};
use foldtrack_ends::Attempt;
use foldtrack_journal::{AttemptEffect, AttemptRecord, FailureNotice, Record, RecoveredMessage};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

impl Node {
    /// Takes over what the journal holds, in the order in which it was taken on.
    pub(super) fn restore_all(&mut self, restored: BTreeMap<u64, RecoveredMessage>) {
        let ended: HashSet<u64> = self.site.iter().flat_map(|s| s.ends.message_numbers()).collect();
        for (number, message) in restored {
            // The process ended between the end's record and the journal's.
            match ended.contains(&number) {
                true => self.record(number, &Record::Finished),
                false => self.restore(number, message),
            }
        }
    }

    /// Takes over what the journal holds of a message.
    fn restore(&mut self, number: u64, restored: RecoveredMessage) {
        let RecoveredMessage { accepted, taken: since, delivered, attempts, notice } = restored;
        self.ids.insert(&accepted.id, number, Known::Taken, self.clock.now() + self.remember());
        if let Some(notice) = notice.filter(|_| self.site.is_none()) {
            let order_key = order_key(&accepted.key);
            self.ids.set(&accepted.id, Known::Ended);
            self.notices.insert(number, PendingNotice { id: accepted.id, order_key, notice });
            return;
        }
        let class = self.settings.class_names.iter().position(|n| *n == accepted.class);
        // A clock that was set back must not make it wait for longer than its class allows.
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
        let message = self.after_old_state(message, since);
        let (order_key, destination, expires) = (message.order_key(), message.destination, message.expires);
        let doubtful = self.has_old_state() && effect.is_some_and(|e| e != Effect::Repeatable);
        let mut held = Held {
            message: Arc::new(message),
            taken: Taken::On,
            since,
            history: if self.site.is_some() { attempts.iter().map(lost).collect() } else { Vec::new() },
            attempts: attempts.len() as u32,
            tries: attempts.len() as u32,
            held_back: 0,
            waiting: None,
        };
        if doubtful {
            // What the later life of this folder has sent is not in it.
            let outcome = foldtrack_ends::AttemptOutcome::MayHaveRun;
            held.history.push(Attempt { at: since, until: 0, endpoint: String::new(), outcome });
        }
        if let Some(site) = &mut self.site {
            site.hold(&held.message);
        }
        self.messages.insert(number, held);
        if doubtful
            && notice.is_none()
            && !delivered
            && (effect == Some(Effect::Once) || expires <= self.clock.now())
        {
            return self.end(number, FailureNotice::GivenUp);
        }
        if delivered {
            return self.delivered(number);
        }
        if let Some(notice) = notice {
            return self.end(number, notice);
        }
        let Some(class) = class else {
            // The settings have changed since: nothing can be promised.
            return self.end(number, FailureNotice::GivenUp);
        };
        let first = attempts.iter().find(|t| t.effect != Some(AttemptEffect::NeverRan));
        let first_run = first.map(|t| (self.clock.time_at_unix(t.at), t.zone));
        let outcome = |effect| match effect {
            Some(AttemptEffect::NeverRan) => Outcome::NotSent,
            Some(AttemptEffect::MayHaveRun) | None => Outcome::Reset,
        };
        let attempts = attempts.iter().map(|t| outcome(t.effect)).collect();
        let class = class as u32;
        self.handle(Event::Restored {
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
    /// A keyed message of an older copy of the folder goes out only while its partner remembers it from when it came.
    fn after_old_state(&self, message: Message, since: u64) -> Message {
        let class = self.settings.settings.classes.get(message.class);
        let Some(window) = class.filter(|c| c.effect == Effect::Keyed).map(|c| c.dedup_window) else {
            return message;
        };
        if !self.has_old_state() {
            return message;
        }
        let until = self.clock.time_at_unix(since.saturating_add(window).saturating_sub(MEMORY_MARGIN));
        Message { expires: message.expires.min(until), ..message }
    }
}

/// An attempt of an earlier process, as its journal knows it.
fn lost(tried: &AttemptRecord) -> Attempt {
    use foldtrack_ends::AttemptOutcome;
    let outcome = match tried.effect {
        Some(AttemptEffect::NeverRan) => AttemptOutcome::DidNotRun,
        Some(AttemptEffect::MayHaveRun) => AttemptOutcome::MayHaveRun,
        None => AttemptOutcome::Lost,
    };
    Attempt { at: tried.at, until: 0, endpoint: tried.endpoint.clone(), outcome }
}
