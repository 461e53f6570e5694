//! Submission of messages: each is refused, or recorded in the journal and then accepted in the
//! reply.

use super::{Acceptance, HeldMessage, Node, PendingSend};
use crate::events::SubmitReply;
use crate::message::Message;
use crate::message_ids::SubmissionState;
use foldtrack_delivery::{Event, Outcome};
use foldtrack_ends::FinalStatus;
use foldtrack_journal::{Accepted, Record};
use std::sync::Arc;
use tokio::sync::oneshot;

impl Node {
    /// Handles a submitted message.
    pub(super) fn submit(
        &mut self, message: Arc<Message>, from_known_client: bool, reply: oneshot::Sender<SubmitReply>,
    ) {
        if let Some(state) = self.ids.state(&message.id) {
            let _ = reply.send(SubmitReply::Duplicate { over: state != SubmissionState::Accepted });
            return;
        }
        if let Some(answer) = self.reply_from_outcome(&message.id) {
            let _ = reply.send(answer);
            return;
        }
        if let Some((message, reply)) = self.claim_id(message, from_known_client, reply) {
            self.enqueue(message, from_known_client, reply);
        }
    }

    /// Passes a message to the scheduler. No other forwarder holds it.
    pub(super) fn enqueue(
        &mut self, message: Arc<Message>, from_known_client: bool, reply: oneshot::Sender<SubmitReply>,
    ) {
        let message = self.limit_to_dedup_window(message);
        if let Some(refused) = self.capacity_refusal(&message, from_known_client) {
            self.release_id(&message.id);
            let _ = reply.send(refused);
            return;
        }
        let id = self.next_number;
        self.next_number += 1;
        self.ids.insert(&message.id, id);
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
        let held_size = message.journal_size();
        let (arrived_at, history) = (self.clock.unix_time(self.clock.now()), Vec::new());
        let acceptance = Acceptance::Undecided(reply);
        self.messages.insert(
            id,
            HeldMessage {
                message,
                acceptance,
                arrived_at,
                history,
                attempts: 0,
                journaled_attempts: 0,
                withheld_calls: 0,
                pending_send: None,
                last_outcome: None,
            },
        );
        self.fresh_bytes += held_size;
        self.fresh.push(id);
        self.notify_scheduler(event);
    }

    /// The refusal of a message for which there is no capacity, or no endpoint.
    fn capacity_refusal(&mut self, message: &Message, from_known_client: bool) -> Option<SubmitReply> {
        if !self.targets.knows_destination(message.destination) {
            // Its targets may be in a list that has not arrived yet.
            return Some(self.refusal(message.destination));
        }
        let full =
            self.messages.len() >= self.settings.settings.max_held as usize || self.is_out_of_memory(message);
        let reserved = if from_known_client { 0 } else { self.reserved_journal_bytes };
        if full || !self.journal.has_capacity(self.fresh_bytes + message.journal_size() + reserved) {
            return Some(self.refusal(message.destination));
        }
        let held = self.messages.len();
        self.site.as_mut().and_then(|s| s.capacity_refusal(message, held))
    }

    /// Whether a message exceeds the memory for messages and notices. A site counts its messages itself.
    fn is_out_of_memory(&self, message: &Message) -> bool {
        let held_bytes = self.messages.bytes() + self.notices.bytes();
        self.site.is_none() && held_bytes + message.memory_size() > self.memory.held
    }

    /// Limits the deadline of a message that was handed back and may have been executed to the time
    /// for which its partner remembers it.
    fn limit_to_dedup_window(&mut self, message: Arc<Message>) -> Arc<Message> {
        match self.harmless_until(&message.id).map(|until| self.clock.time_at_unix(until)) {
            Some(until) if until < message.expires => {
                let copy = Message { expires: until, ..Message::clone(&message) };
                Arc::new(copy)
            }
            _ => message,
        }
    }

    /// The reply to a message whose outcome is stored. One that was handed back may be submitted
    /// again.
    fn reply_from_outcome(&mut self, id: &str) -> Option<SubmitReply> {
        let site = self.site.as_mut()?;
        let (_, end) = site.outcomes.find(id).ok().flatten()?;
        match end.result {
            FinalStatus::Delivered => Some(SubmitReply::Duplicate { over: false }),
            FinalStatus::GivenUp | FinalStatus::InDoubt => Some(SubmitReply::Duplicate { over: true }),
            FinalStatus::HandedBack { .. } => None,
            // The partner may have forgotten the key: the message could take effect twice.
            FinalStatus::HandedBackUntil { until, .. } => (self.clock.unix_time(self.clock.now()) >= until)
                .then_some(SubmitReply::Duplicate { over: true }),
        }
    }

    /// The refusal when there is no capacity or no endpoint, with the delay after which the
    /// scheduler expects capacity.
    pub(super) fn refusal(&mut self, destination: u32) -> SubmitReply {
        let wait = self.scheduler.advised_wait(destination).div_ceil(1000);
        self.site.as_mut().map_or(SubmitReply::Refused { retry_in_ms: 0 }, |s| s.refusal(wait))
    }

    /// The refusal of a message that could not be recorded in the journal.
    pub(super) fn refusal_for(&mut self, number: u64) -> SubmitReply {
        let destination = self.messages.get(&number).map_or(0, |h| h.message.destination);
        self.refusal(destination)
    }

    /// Records the messages that the scheduler has not refused; their clients get a reply once the
    /// record is written.
    pub(super) fn journal_accepted(&mut self) {
        self.fresh_bytes = 0;
        for number in std::mem::take(&mut self.fresh) {
            let Some(held) = self.messages.get_mut(&number) else { continue };
            let Acceptance::Undecided(reply) = std::mem::replace(&mut held.acceptance, Acceptance::Replying)
            else {
                continue;
            };
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
                Some(_) => Record::AcceptedAt { at: held.arrived_at, accepted },
                None => Record::Accepted(accepted),
            };
            match self.journal.stage(number, &accepted) {
                Ok(ticket) => self.group_commit.collecting.replies.push((ticket, number, reply)),
                Err(error) => {
                    eprintln!("journal: message refused: {error}");
                    let _ = reply.send(self.refusal_for(number));
                    self.forget_message(number);
                }
            }
        }
    }

    /// Handles the end of a reply: once the client has it, the message may be sent. If the client
    /// has disconnected before, the message is not accepted.
    pub(super) fn reply_finished(&mut self, number: u64, written: bool) {
        if !written {
            self.stage_record(number, &Record::Finished);
            if let Some((held, _)) = self.site.as_mut().and_then(|s| s.pending.remove(&number)) {
                self.ids.remove(&held.message.id);
                self.release_id(&held.message.id);
                self.site.iter_mut().for_each(|s| s.release(&held.message));
            }
            self.notices.remove(number).inspect(|ending| self.ids.remove(&ending.id));
            return self.forget_message(number);
        }
        if let Some(site) = &mut self.site {
            site.counts.taken += 1;
            if let Some((held, notice)) = site.pending.remove(&number) {
                return self.end_undelivered(number, held, notice);
            }
        }
        let Some(held) = self.messages.get_mut(&number) else { return };
        held.acceptance = Acceptance::Confirmed;
        let message = held.message.clone();
        self.set_id_state(&message.id, SubmissionState::Accepted);
        self.report_id_accepted(&message.id);
        self.send(number);
    }

    /// Forgets a message that was not accepted after all.
    pub(super) fn forget_message(&mut self, number: u64) {
        let Some(held) = self.messages.remove(&number) else { return };
        self.ids.remove(&held.message.id);
        self.release_id(&held.message.id);
        self.site.iter_mut().for_each(|s| s.release(&held.message));
        if let Some(PendingSend { attempt, target, .. }) = held.pending_send {
            self.report_outcome(number, attempt, target, Outcome::NotSent, true);
        }
        self.notify_scheduler(Event::Abandoned { id: number });
    }
}
