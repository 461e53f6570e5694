//! A restart: what the journal holds is taken over.

use super::{Held, Node, Taken};
use crate::message::{order_key, Message};
use crate::notices::Ending;
use crate::table::Known;
use foldtrack_journal::messages::{Fate, Notice, Restored};
use hatchline::{Event, Outcome};
use std::sync::Arc;

impl Node {
    /// Takes over what the journal holds of a message.
    pub(super) fn restore(&mut self, number: u64, restored: Restored) {
        let Restored { accepted, attempts, notice } = restored;
        self.ids.insert(&accepted.id, number, Known::Taken, self.clock.now() + self.remember());
        if let Some(notice) = notice {
            let order_key = order_key(&accepted.key);
            self.ids.set(&accepted.id, Known::Ended);
            self.notices.insert(number, Ending { id: accepted.id, order_key, notice });
            return;
        }
        let class = self.settings.class_names.iter().position(|n| *n == accepted.class);
        let message = Message {
            id: accepted.id,
            class: class.unwrap_or(usize::MAX),
            destination: accepted.destination,
            key: accepted.key,
            idempotency_key: accepted.idempotency_key,
            retry: accepted.retry,
            expires: self.clock.since_unix(accepted.expires),
            body: accepted.body.into(),
        };
        let (order_key, destination, expires) = (message.order_key(), message.destination, message.expires);
        let held = Held {
            message: Arc::new(message),
            taken: Taken::On,
            attempts: attempts.len() as u32,
            waiting: None,
        };
        self.messages.insert(number, held);
        let Some(class) = class else {
            // The settings have changed since: nothing can be promised.
            return self.end(number, Notice::GivenUp);
        };
        let first = attempts.iter().find(|t| t.fate != Some(Fate::NeverRan));
        let first_run = first.map(|t| (self.clock.since_unix(t.at), t.zone));
        let outcome = |fate| match fate {
            Some(Fate::NeverRan) => Outcome::NotSent,
            Some(Fate::MayHaveRun) | None => Outcome::Reset,
        };
        let attempts = attempts.iter().map(|t| outcome(t.fate)).collect();
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
