//! Messages join and leave the queues of their destinations and keys: no decisions, but what these look at.

use super::DeliveryScheduler;
use crate::interface::*;

impl DeliveryScheduler {
    /// A message has come for a destination, taken on or not: what comes is its part of a returning one's load.
    pub(super) fn heat(&mut self, destination: DestinationId) {
        if let Some(d) = self.destinations.get(&destination) {
            d.lanes.iter().for_each(|l| self.lanes[*l].heat += 1.0 / d.lanes.len() as f64);
        }
    }

    pub(super) fn dequeue(&mut self, id: MessageId) {
        let Some(m) = self.messages.get_mut(&id) else { return };
        let Some(queue) = m.queue.take() else { return };
        let Some(d) = self.destinations.get_mut(&m.destination) else { return };
        if let Some(set) = d.ready.get_mut(&queue) {
            set.remove(&(m.born, id));
        }
        d.ready.retain(|_, set| !set.is_empty());
        d.behind = d.behind.filter(|_| !d.ready.is_empty());
    }

    /// A message is over; its attempts may still be out, and its key waits for them.
    pub(super) fn finish(&mut self, id: MessageId) {
        self.dequeue(id);
        let Some(m) = self.messages.get_mut(&id) else { return };
        if let Some(d) = self.destinations.get_mut(&m.destination).filter(|_| !m.over) {
            d.held = d.held.saturating_sub(1);
        }
        m.over = true;
        let (key, expires) = (m.order_key, m.expires);
        if m.attempts.iter().any(|a| a.done.is_none()) {
            return;
        }
        self.messages.remove(&id);
        self.agenda.remove(&(self.give_up_at(expires), id));
        if let Some(turns) = self.turns.get_mut(&key) {
            turns.0.retain(|x| *x != id);
            if let Some(next) = turns.0.front().copied() {
                self.enqueue(next);
            }
        }
    }
}
