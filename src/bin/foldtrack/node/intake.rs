//! Messages come in: refused, or taken on, first in the journal and then in the answer.

use super::{Held, Node, Taken, Waiting};
use crate::events::SubmitReply;
use crate::message::Message;
use crate::registry::Known;
use foldtrack_delivery::{Event, Outcome};
use foldtrack_ends::FinalStatus;
use foldtrack_journal::{Accepted, Record};
use std::sync::Arc;
use tokio::sync::oneshot;

impl Node {
    pub(super) fn hand_in(
        &mut self, message: Arc<Message>, known: bool, reply: oneshot::Sender<SubmitReply>,
    ) {
        if let Some(known) = self.ids.look(&message.id) {
            let _ = reply.send(SubmitReply::Duplicate { over: known != Known::Taken });
            return;
        }
        if let Some(known) = self.ended_before(&message.id) {
            let _ = reply.send(known);
            return;
        }
        if let Some((message, reply)) = self.claim(message, known, reply) {
            self.take_on(message, known, reply);
        }
    }

    /// Hands a message to the module that nobody else holds.
    pub(super) fn take_on(
        &mut self, message: Arc<Message>, known: bool, reply: oneshot::Sender<SubmitReply>,
    ) {
        let message = self.within_memory(message);
        if let Some(refused) = self.turned_away(&message, known) {
            self.let_go_of_id(&message.id);
            let _ = reply.send(refused);
            return;
        }
        let id = self.next_number;
        self.next_number += 1;
        self.ids.insert(&message.id, id, Known::Open, self.clock.now() + self.remember());
        let event = Event::Request {
            id,
            class: message.class as u32,
            destination: message.destination,
            order_key: message.order_key(),
            expires: message.expires,
        };
        if let Some(site) = &mut self.site {
            site.hold(&message);
        }
        let held_size = message.size();
        let (since, history) = (self.clock.unix_time(self.clock.now()), Vec::new());
        let taken = Taken::Fresh(reply);
        self.messages.insert(
            id,
            Held { message, taken, since, history, attempts: 0, tries: 0, held_back: 0, waiting: None },
        );
        self.fresh_bytes += held_size;
        self.fresh.push(id);
        self.handle(event);
    }

    /// The answer to a message that there is no room or no endpoint for.
    fn turned_away(&mut self, message: &Message, known: bool) -> Option<SubmitReply> {
        if !self.targets.knows(message.destination) {
            // Perhaps its targets are on their way in the list.
            return Some(self.full_answer(message.destination));
        }
        let full = self.messages.len() >= self.settings.settings.max_held as usize;
        let kept = if known { 0 } else { self.kept_room };
        if full || !self.journal.has_capacity(self.fresh_bytes + message.size() + kept) {
            return Some(self.full_answer(message.destination));
        }
        let held = self.messages.len();
        self.site.as_mut().and_then(|s| s.refuse(message, held))
    }

    /// A message that was handed back and may have run goes out only while its partner remembers it.
    fn within_memory(&self, message: Arc<Message>) -> Arc<Message> {
        match self.harmless_until(&message.id).map(|until| self.clock.time_at_unix(until)) {
            Some(until) if until < message.expires => {
                let copy = Message { expires: until, ..Message::clone(&message) };
                Arc::new(copy)
            }
            _ => message,
        }
    }

    /// What a client is told of a message whose end is kept. One that was handed back may come again.
    fn ended_before(&self, id: &str) -> Option<SubmitReply> {
        let site = self.site.as_ref()?;
        let (_, end) = site.ends.find(id).ok().flatten()?;
        match end.result {
            FinalStatus::Delivered => Some(SubmitReply::Duplicate { over: false }),
            FinalStatus::GivenUp | FinalStatus::InDoubt => Some(SubmitReply::Duplicate { over: true }),
            FinalStatus::HandedBack { .. } => None,
            // Its partner may have forgotten it: it could take effect twice.
            FinalStatus::HandedBackUntil { until, .. } => (self.clock.unix_time(self.clock.now()) >= until)
                .then_some(SubmitReply::Duplicate { over: true }),
        }
    }

    /// The answer where there is no room, or no endpoint: to come again when the module expects room.
    pub(super) fn full_answer(&mut self, destination: u32) -> SubmitReply {
        let wait = self.scheduler.advised_wait(destination).div_ceil(1000);
        self.site.as_mut().map_or(SubmitReply::Refused { retry_in_ms: 0 }, |s| s.full(wait))
    }

    /// The answer for a message that the journal did not take.
    pub(super) fn not_taken(&mut self, number: u64) -> SubmitReply {
        let destination = self.messages.get(&number).map_or(0, |h| h.message.destination);
        self.full_answer(destination)
    }

    /// Takes on what the module has not refused: first the journal, then the answer.
    pub(super) fn answer_clients(&mut self) {
        self.fresh_bytes = 0;
        for number in std::mem::take(&mut self.fresh) {
            let Some(held) = self.messages.get_mut(&number) else { continue };
            let Taken::Fresh(reply) = std::mem::replace(&mut held.taken, Taken::Answering) else { continue };
            let message = &held.message;
            let accepted = Accepted {
                id: message.id.clone(),
                class: self.settings.class_names[message.class].clone(),
                destination: message.destination,
                key: message.key.clone(),
                idempotency_key: message.idempotency_key.clone(),
                retry: message.retry.clone(),
                expires: self.clock.unix_time(message.expires),
                body: message.body.to_vec(),
            };
            let accepted = match self.site {
                Some(_) => Record::AcceptedAt { at: held.since, accepted },
                None => Record::Accepted(accepted),
            };
            match self.journal.stage(number, &accepted) {
                Ok(ticket) => self.durable.gathering.answers.push((ticket, number, reply)),
                Err(error) => {
                    eprintln!("journal: a message is refused: {error}");
                    let _ = reply.send(self.not_taken(number));
                    self.withdraw(number);
                }
            }
        }
    }

    /// The client has its answer, and the message may go; or it has gone before, and nothing is taken on.
    pub(super) fn answered(&mut self, number: u64, written: bool) {
        if !written {
            self.record(number, &Record::Finished);
            if let Some((held, _)) = self.site.as_mut().and_then(|s| s.pending.remove(&number)) {
                self.ids.remove(&held.message.id);
                self.let_go_of_id(&held.message.id);
                self.site.iter_mut().for_each(|s| s.let_go(&held.message));
            }
            self.notices.remove(number).inspect(|ending| self.ids.remove(&ending.id));
            return self.withdraw(number);
        }
        if let Some(site) = &mut self.site {
            site.counts.taken += 1;
            if let Some((held, notice)) = site.pending.remove(&number) {
                return self.ended_by(number, held, notice);
            }
        }
        let Some(held) = self.messages.get_mut(&number) else { return };
        held.taken = Taken::On;
        let message = held.message.clone();
        self.ids.set(&message.id, Known::Taken);
        self.id_taken(&message.id);
        self.send(number);
    }

    /// Forgets a message that was not taken on after all.
    pub(super) fn withdraw(&mut self, number: u64) {
        let Some(held) = self.messages.remove(&number) else { return };
        self.ids.remove(&held.message.id);
        self.let_go_of_id(&held.message.id);
        self.site.iter_mut().for_each(|s| s.let_go(&held.message));
        if let Some(Waiting { attempt, target, .. }) = held.waiting {
            self.outcome(number, attempt, target, Outcome::NotSent, true);
        }
        self.handle(Event::Abandoned { id: number });
    }
}
