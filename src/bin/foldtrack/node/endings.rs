//! Messages end undelivered, and the platform is told.

use super::{Node, Taken};
use crate::door::Answer;
use crate::notices::Ending;
use crate::platform;
use crate::table::Known;
use foldtrack_journal::messages::{Notice, Record};
use hyper::StatusCode;
use std::collections::HashSet;
use std::net::SocketAddr;

impl Node {
    /// Writes what a restart can do without: lacking it, more counts as perhaps run than has.
    pub(super) fn record(&mut self, number: u64, record: &Record) {
        if let Err(error) = self.journal.append(number, record) {
            eprintln!("journal: {error}");
        }
    }

    /// Ends a message: in the answer to its client, if that still waits for one, else by a notice.
    pub(super) fn end(&mut self, number: u64, notice: Notice) {
        let Some(held) = self.messages.remove(&number) else { return };
        if let Taken::Fresh(reply) = held.taken {
            self.ids.remove(&held.message.id);
            let retry_in_ms = if let Notice::HandedBack { retry_in_ms } = notice { retry_in_ms } else { 0 };
            let _ = reply.send(Answer::Refused { retry_in_ms });
            return;
        }
        self.ids.set(&held.message.id, Known::Ended);
        self.record(number, &Record::Noticed(notice));
        let ending = Ending { id: held.message.id.clone(), order_key: held.message.order_key(), notice };
        self.notices.insert(number, ending);
    }

    pub(super) fn report_notices(&mut self) {
        while let Some((numbers, lines)) = self.notices.next(self.clock.now()) {
            tokio::spawn(platform::report(self.discovery.subscribe(), lines, numbers, self.inputs.clone()));
        }
    }

    pub(super) fn reported(&mut self, numbers: Vec<u64>, status: Option<StatusCode>, to: SocketAddr) {
        self.notices.came_back();
        if status != Some(StatusCode::NO_CONTENT) {
            // Where discovery has moved meanwhile, they go to the new address at once.
            let stays = to == *self.discovery.borrow();
            if stays {
                eprintln!("notices were not taken: {status:?}");
            }
            return self.notices.again(numbers, self.clock.now(), stays);
        }
        let mut keys = HashSet::new();
        for number in numbers {
            self.record(number, &Record::Over);
            keys.extend(self.notices.remove(number).map(|ended| ended.order_key).filter(|key| *key != 0));
        }
        if !keys.is_empty() {
            let key = |n: &u64| self.messages.get(n).map_or(0, |h| h.message.order_key());
            let free: Vec<u64> = self.waiting.iter().copied().filter(|n| keys.contains(&key(n))).collect();
            free.into_iter().for_each(|number| self.send(number));
        }
    }
}
