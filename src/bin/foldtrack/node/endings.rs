//! Messages end undelivered, and the platform is told.

use super::{Held, Node, Taken};
use crate::events::SubmitReply;
use crate::notice_queue::PendingNotice;
use crate::platform;
use crate::registry::Known;
use foldtrack_delivery::{Effect, Micros};
use foldtrack_ends::{FinalStatus, MessageOutcomeRef};
use foldtrack_journal::{FailureNotice, Record};
use hyper::StatusCode;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Pause after ends could not be written.
const COMMIT_PAUSE: Duration = Duration::from_millis(200);

/// A partner's memory counts as shorter by this, in microseconds: what is sent at its end arrives after it.
pub(super) const MEMORY_MARGIN: Micros = 1_000_000;

impl Node {
    /// Writes what a restart can do without: lacking it, more counts as perhaps run than has.
    pub(super) fn record(&mut self, number: u64, record: &Record) {
        if let Err(error) = self.journal.stage(number, record) {
            eprintln!("journal: {error}");
        }
    }

    /// Ends a message: in the answer to its client, if that still waits for one, else by a notice.
    pub(super) fn end(&mut self, number: u64, notice: FailureNotice) {
        let Some(held) = self.messages.remove(&number) else { return };
        if let Taken::Fresh(reply) = held.taken {
            self.ids.remove(&held.message.id);
            self.let_go_of_id(&held.message.id);
            let retry_in_ms =
                if let FailureNotice::HandedBack { retry_in_ms } = notice { retry_in_ms } else { 0 };
            let answer = match &mut self.site {
                Some(site) => {
                    site.let_go(&held.message);
                    site.full(retry_in_ms)
                }
                None => SubmitReply::Refused { retry_in_ms },
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
        self.record(number, &Record::FailureNoticed(notice));
        let ending =
            PendingNotice { id: held.message.id.clone(), order_key: held.message.order_key(), notice };
        self.notices.insert(number, ending);
    }

    /// A message that a site has taken on ends undelivered.
    pub(super) fn ended_by(&mut self, number: u64, held: Held, notice: FailureNotice) {
        let result = match notice {
            FailureNotice::HandedBack { retry_in_ms } => {
                let told = self.site.as_ref().map_or(retry_in_ms, |s| s.wait(retry_in_ms));
                self.handed_back(&held, told)
            }
            FailureNotice::GivenUp if held.history.iter().any(|a| !a.outcome.never_ran()) => {
                FinalStatus::InDoubt
            }
            // An attempt of an earlier hand-in may have run.
            FailureNotice::GivenUp if self.harmless_until(&held.message.id).is_some() => FinalStatus::InDoubt,
            FailureNotice::GivenUp => FinalStatus::GivenUp,
        };
        self.keep_end(number, held, result);
    }

    /// A message goes back to its client, who may bring it again much later, by the feed of ends. Where an attempt may
    /// have run that does no harm only while its partner remembers the key: without time left for it, nobody can tell.
    fn handed_back(&self, held: &Held, retry_in_ms: u64) -> FinalStatus {
        let message = &held.message;
        let class = self.settings.settings.classes.get(message.class);
        let window = class.filter(|c| c.effect == Effect::Keyed).map(|c| c.dedup_window);
        // The partner may have known it since the first attempt that can have reached it, of whichever hand-in.
        let first = held.history.iter().find(|a| !a.outcome.never_ran()).map(|a| a.at);
        let own =
            first.zip(window).map(|(at, window)| at.saturating_add(window).saturating_sub(MEMORY_MARGIN));
        let Some(until) = self.harmless_until(&message.id).into_iter().chain(own).min() else {
            return FinalStatus::HandedBack { retry_in_ms };
        };
        let back = self.clock.unix_time(self.clock.now()) + 1_000 * retry_in_ms + MEMORY_MARGIN;
        if back >= until {
            return FinalStatus::InDoubt;
        }
        FinalStatus::HandedBackUntil { retry_in_ms, until }
    }

    /// Until when a message may come again that was handed back and may have run, Unix time in microseconds.
    pub(super) fn harmless_until(&self, id: &str) -> Option<u64> {
        match self.site.as_ref()?.ends.find(id).ok().flatten()?.1.result {
            FinalStatus::HandedBackUntil { until, .. } => Some(until),
            _ => None,
        }
    }

    /// A message is delivered: nothing more is owed for it but, at a site of its own, that its client hears.
    pub(super) fn delivered(&mut self, number: u64) {
        let Some(held) = self.messages.remove(&number) else { return };
        match self.site {
            Some(_) => self.keep_end(number, held, FinalStatus::Delivered),
            None => self.record(number, &Record::Finished),
        }
    }

    /// Puts an end among those that this round keeps; see [`Node::commit_ends`].
    fn keep_end(&mut self, number: u64, held: Held, result: FinalStatus) {
        self.id_ended(&held.message.id, result);
        let Some(site) = &mut self.site else { return };
        let message = &held.message;
        let class = self.settings.class_names.get(message.class).map_or("", String::as_str);
        let counts = &mut site.counts;
        let (count, word) = match result {
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
            site.then(number, word);
        }
        let ended = self.clock.unix_time(self.clock.now());
        // An end that goes must not leave a message behind that the journal believes to be open.
        if site.ends.drops(ended) {
            if let Err(error) = self.journal.flush() {
                eprintln!("journal: {error}");
            }
        }
        let partner = site.partner_name(message.destination).into_owned();
        let end = MessageOutcomeRef {
            number,
            id: &message.id,
            class,
            partner: &partner,
            key: &message.key,
            taken: held.since,
            ended,
            result,
            attempts: &held.history,
        };
        site.let_go(message);
        match result {
            // It may be handed in again under its id.
            FinalStatus::HandedBack { .. } | FinalStatus::HandedBackUntil { .. } => {
                self.ids.remove(&message.id)
            }
            FinalStatus::Delivered => self.ids.set(&message.id, Known::Taken),
            _ => self.ids.set(&message.id, Known::Ended),
        }
        match site.ends.append(end) {
            Ok(_) => site.ended.push((number, result)),
            Err(error) => eprintln!("ends: the end of {:?} can't be kept: {error}", end.id),
        }
    }

    /// Writes the ends of this round, and then lets the journal forget their messages: in this order, so that no end
    /// is lost whenever the process is killed. An end tells a restart that its message is over: the journal's record
    /// can go with the next one.
    pub(super) fn commit_ends(&mut self) {
        let Some(site) = &mut self.site else { return };
        if !site.ends.has_uncommitted() || site.commit_from > Instant::now() {
            return;
        }
        match site.ends.commit() {
            Ok(()) => {
                site.behind_told = 0;
                let (ended, last) = (std::mem::take(&mut site.ended), site.ends.last_committed());
                self.durable.gathering.ended.extend(ended);
                self.durable.gathering.last_end = last;
            }
            Err(error) => {
                eprintln!("ends: {} are not written yet: {error}", site.ended.len());
                site.commit_from = Instant::now() + COMMIT_PAUSE;
                // The journal may have room where the ends' folder has none.
                let told: Vec<_> = site.ended[site.behind_told..].to_vec();
                site.behind_told = site.ended.len();
                for (number, result) in told {
                    self.tell_journal(number, result);
                }
            }
        }
    }

    /// Tells the journal how a message ended whose end may not be kept.
    pub(super) fn tell_journal(&mut self, number: u64, result: FinalStatus) {
        let record = match result {
            FinalStatus::Delivered => Record::Delivered,
            FinalStatus::HandedBack { retry_in_ms } | FinalStatus::HandedBackUntil { retry_in_ms, .. } => {
                Record::FailureNoticed(FailureNotice::HandedBack { retry_in_ms })
            }
            FinalStatus::GivenUp | FinalStatus::InDoubt => Record::FailureNoticed(FailureNotice::GivenUp),
        };
        self.record(number, &record);
    }

    /// Drops ends that are out of their bounds. None goes before the journal knows its message to be over.
    pub(super) fn sweep_ends(&mut self) {
        let Some(site) = &mut self.site else { return };
        match self.journal.flush() {
            Ok(()) => site.ends.drop_expired(self.clock.unix_time(self.clock.now()), 0),
            Err(error) => eprintln!("journal: {error}"),
        }
    }

    pub(super) fn report_notices(&mut self) {
        let Some(discovery) = &self.discovery else { return };
        while let Some((numbers, lines)) = self.notices.next_report(self.clock.now()) {
            tokio::spawn(platform::report(discovery.subscribe(), lines, numbers, self.events.clone()));
        }
    }

    pub(super) fn reported(&mut self, numbers: Vec<u64>, status: Option<StatusCode>, to: SocketAddr) {
        self.notices.report_finished();
        if status != Some(StatusCode::NO_CONTENT) {
            // Where discovery has moved meanwhile, they go to the new address at once.
            let stays = self.discovery.as_ref().is_some_and(|d| to == *d.borrow());
            if stays {
                eprintln!("notices were not taken: {status:?}");
            }
            return self.notices.requeue(numbers, self.clock.now(), stays);
        }
        let mut keys = HashSet::new();
        for number in numbers {
            self.record(number, &Record::Finished);
            keys.extend(self.notices.remove(number).map(|ended| ended.order_key).filter(|key| *key != 0));
        }
        if !keys.is_empty() {
            let key = |n: &u64| self.messages.get(n).map_or(0, |h| h.message.order_key());
            let free: Vec<u64> = self.waiting.iter().copied().filter(|n| keys.contains(&key(n))).collect();
            free.into_iter().for_each(|number| self.send(number));
        }
    }
}
