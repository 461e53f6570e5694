//! Messages end undelivered, and the platform is told.

use super::{Held, Node, Taken};
use crate::door::Answer;
use crate::notices::Ending;
use crate::platform;
use crate::table::Known;
use foldtrack_ends::{End, Result as EndResult};
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
            let answer = match &mut self.site {
                Some(site) => {
                    site.let_go(&held.message);
                    site.full(retry_in_ms)
                }
                None => Answer::Refused { retry_in_ms },
            };
            let _ = reply.send(answer);
            return;
        }
        if let Some(site) = &mut self.site {
            if matches!(held.taken, Taken::Answering) {
                site.pending.insert(number, (held, notice));
                return;
            }
            return self.ended_by(number, held, notice);
        }
        self.ids.set(&held.message.id, Known::Ended);
        self.record(number, &Record::Noticed(notice));
        let ending = Ending { id: held.message.id.clone(), order_key: held.message.order_key(), notice };
        self.notices.insert(number, ending);
    }

    /// A message that a site has taken on ends undelivered.
    pub(super) fn ended_by(&mut self, number: u64, held: Held, notice: Notice) {
        let result = match notice {
            Notice::HandedBack { retry_in_ms } => {
                let told = self.site.as_ref().map_or(retry_in_ms, |s| s.wait(retry_in_ms));
                EndResult::HandedBack { retry_in_ms: told }
            }
            Notice::GivenUp if held.history.iter().any(|a| a.may_have_run) => EndResult::InDoubt,
            Notice::GivenUp => EndResult::GivenUp,
        };
        self.keep_end(number, &held, result);
    }

    /// A message is delivered: nothing more is owed for it but, at a site of its own, that its client hears.
    pub(super) fn delivered(&mut self, number: u64) {
        let Some(held) = self.messages.remove(&number) else { return };
        match self.site {
            Some(_) => self.keep_end(number, &held, EndResult::Delivered),
            None => self.record(number, &Record::Over),
        }
    }

    /// Keeps an end, and then lets the journal forget its message: in this order, so that no end is lost whenever
    /// the process is killed.
    fn keep_end(&mut self, number: u64, held: &Held, result: EndResult) {
        let Some(site) = &mut self.site else { return };
        let message = &held.message;
        let class = self.settings.class_names.get(message.class).cloned().unwrap_or_default();
        let counts = &mut site.counts;
        let (count, word) = match result {
            EndResult::Delivered => (&mut counts.delivered, "delivered"),
            EndResult::GivenUp => (&mut counts.given_up, "given up"),
            EndResult::InDoubt => (&mut counts.in_doubt, "given up, in doubt"),
            EndResult::HandedBack { .. } => (&mut counts.handed_back, "handed back"),
        };
        *count += 1;
        if result == EndResult::Delivered {
            counts.by_partner.entry(message.destination).or_default().0 += 1;
        }
        if held.attempts > 1 || result != EndResult::Delivered {
            site.then(number, word);
        }
        let end = End {
            number,
            id: message.id.clone(),
            class,
            partner: site.partner_name(message.destination),
            key: message.key.clone(),
            taken: held.since,
            ended: self.clock.unix(self.clock.now()),
            result,
            attempts: held.history.clone(),
        };
        site.let_go(message);
        match result {
            // It may be handed in again under its id.
            EndResult::HandedBack { .. } => self.ids.remove(&message.id),
            EndResult::Delivered => self.ids.set(&message.id, Known::Taken),
            _ => self.ids.set(&message.id, Known::Ended),
        }
        match site.ends.append(&end) {
            Ok(sequence) => {
                site.ends_seen.send_replace(sequence);
                self.over(number);
            }
            Err(error) => {
                eprintln!("ends: the end of {:?} is not written yet: {error}", end.id);
                site.unkept.insert(number, end);
                // The journal may have room where the ends' folder has none.
                let told = match result {
                    EndResult::Delivered => Record::Delivered,
                    EndResult::HandedBack { retry_in_ms } => {
                        Record::Noticed(Notice::HandedBack { retry_in_ms })
                    }
                    _ => Record::Noticed(Notice::GivenUp),
                };
                self.record(number, &told);
            }
        }
    }

    /// Lets the journal forget a message. At a site that is tried until it is written: a message whose end is kept
    /// must not come back once that end has been forgotten.
    pub(super) fn over(&mut self, number: u64) {
        let written = self.journal.append(number, &Record::Over);
        if let Err(error) = &written {
            eprintln!("journal: {error}");
        }
        if let Some(site) = &mut self.site {
            match written {
                Ok(()) => site.unwritten.remove(&number),
                Err(_) => site.unwritten.insert(number),
            };
        }
    }

    /// Tries again to write what the disk did not take.
    pub(super) fn keep_unkept(&mut self) {
        let Some(site) = &mut self.site else { return };
        site.ends.drop_old(self.clock.unix(self.clock.now()), 0);
        while let Some((number, end)) = site.unkept.first_key_value().map(|(n, e)| (*n, e.clone())) {
            match site.ends.append(&end) {
                Ok(sequence) => {
                    site.ends_seen.send_replace(sequence);
                    site.unkept.remove(&number);
                    site.unwritten.insert(number);
                }
                Err(error) => {
                    eprintln!("ends: {} are not written yet: {error}", site.unkept.len());
                    break;
                }
            }
        }
        let unwritten: Vec<u64> = site.unwritten.iter().copied().collect();
        for number in unwritten {
            self.over(number);
            if self.site.as_ref().is_some_and(|s| s.unwritten.contains(&number)) {
                return;
            }
        }
    }

    pub(super) fn report_notices(&mut self) {
        let Some(discovery) = &self.discovery else { return };
        while let Some((numbers, lines)) = self.notices.next(self.clock.now()) {
            tokio::spawn(platform::report(discovery.subscribe(), lines, numbers, self.inputs.clone()));
        }
    }

    pub(super) fn reported(&mut self, numbers: Vec<u64>, status: Option<StatusCode>, to: SocketAddr) {
        self.notices.came_back();
        if status != Some(StatusCode::NO_CONTENT) {
            // Where discovery has moved meanwhile, they go to the new address at once.
            let stays = self.discovery.as_ref().is_some_and(|d| to == *d.borrow());
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
