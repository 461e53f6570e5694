//! Adds messages to the queues of their destinations and order keys, and removes them.

use super::DeliveryScheduler;
use crate::interface::*;

impl DeliveryScheduler {
    /// Counts the arrival of a message for a destination, whether or not it is accepted: the arrivals are
    /// this sender's share of the load on a destination that returns from an outage.
    pub(super) fn count_arrival(&mut self, destination: DestinationId) {
        if let Some(destination) = self.destinations.get(&destination) {
            destination
                .routes
                .iter()
                .for_each(|id| self.routes[*id].arrivals += 1.0 / destination.routes.len() as f64);
        }
    }

    /// Removes a message from its queue.
    pub(super) fn dequeue(&mut self, id: MessageId) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(queue) = message.queue.take() else { return };
        let Some(destination) = self.destinations.get_mut(&message.destination) else { return };
        if let Some(set) = destination.ready.get_mut(&queue) {
            set.remove(&(message.accepted, id));
        }
        destination.ready.retain(|_, set| !set.is_empty());
        destination.backlog_since = destination.backlog_since.filter(|_| !destination.ready.is_empty());
    }

    /// Ends a message. While attempts of it are still in flight, later messages of its order key wait.
    pub(super) fn finish(&mut self, id: MessageId) {
        self.dequeue(id);
        let Some(message) = self.messages.get_mut(&id) else { return };
        if let Some(destination) = self.destinations.get_mut(&message.destination).filter(|_| !message.ended)
        {
            destination.held = destination.held.saturating_sub(1);
        }
        message.ended = true;
        let (key, expires) = (message.order_key, message.expires);
        if message.attempts.iter().any(|a| a.outcome.is_none()) {
            return;
        }
        self.messages.remove(&id);
        self.message_timers.remove(&(self.give_up_at(expires), id));
        if let Some(key_queue) = self.key_queues.get_mut(&key) {
            key_queue.0.retain(|x| *x != id);
            if let Some(next) = key_queue.0.front().copied() {
                self.enqueue(next);
            }
        }
    }
}
