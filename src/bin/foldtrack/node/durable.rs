//! Group commit: what must be in the journal before it is said or done waits here. A round's records are written in one
//! stroke at its end. Where answers wait for stable storage, thousands share a sync: syncs run off the loop, one at a
//! time; while one runs the next group gathers.

use super::Node;
use crate::call::{self, Call};
use crate::events::{LoopEvent, Receipt, SubmitReply, Synced};
use foldtrack_delivery::Outcome;
use foldtrack_ends::FinalStatus;
use foldtrack_journal::journal::SyncJob;
use foldtrack_journal::{FailedWrite, Record, Ticket};
use std::collections::HashMap;
use std::fs::File;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// What waits for the same write, or the same sync.
#[derive(Default)]
pub(super) struct Group {
    /// Clients who are told that their message is taken on.
    pub answers: Vec<(Ticket, u64, oneshot::Sender<SubmitReply>)>,
    /// Calls whose records must be there before their first byte goes: a payment must not be sent again after a power
    /// cut because nothing tells of the first time.
    pub calls: Vec<(Ticket, Call, oneshot::Receiver<()>)>,
    /// Messages whose ends are told, and which the journal then forgets; and the last of these ends.
    pub ended: Vec<(u64, FinalStatus)>,
    pub last_end: u64,
}

impl Group {
    fn is_empty(&self) -> bool {
        self.answers.is_empty() && self.calls.is_empty() && self.ended.is_empty()
    }
}

/// The state of group commit.
pub(super) struct Durable {
    /// Answers, calls and ends wait for stable storage; if not, for the write alone.
    pub syncs: bool,
    pub gathering: Group,
    under_way: Option<Group>,
}

impl Durable {
    pub fn new(syncs: bool) -> Durable {
        Durable { syncs, gathering: Group::default(), under_way: None }
    }
}

impl Node {
    /// Writes the round's records in one stroke. What rests on one that could not be written is not said or done; the
    /// rest goes out, or waits for a sync.
    pub(super) fn commit_journal(&mut self) {
        let unwritten = self.journal.commit();
        if !unwritten.is_empty() {
            self.undo(unwritten);
        }
        if !self.durable.syncs {
            let group = std::mem::take(&mut self.durable.gathering);
            self.release(group, true);
        }
    }

    /// Guards against a disk that fills in the middle of a round: the messages whose records it did not take are
    /// refused, and the calls not made, as if nobody had asked.
    fn undo(&mut self, unwritten: Vec<FailedWrite>) {
        let mut lost: HashMap<Ticket, FailedWrite> = unwritten.into_iter().map(|u| (u.ticket, u)).collect();
        let gathering = &mut self.durable.gathering;
        let (answers, calls) = (std::mem::take(&mut gathering.answers), std::mem::take(&mut gathering.calls));
        for (ticket, number, reply) in answers {
            match lost.remove(&ticket) {
                Some(FailedWrite { error, .. }) => {
                    eprintln!("journal: a message is refused: {error}");
                    let _ = reply.send(self.not_taken(number));
                    self.withdraw(number);
                }
                None => self.durable.gathering.answers.push((ticket, number, reply)),
            }
        }
        for (ticket, call, cancelled) in calls {
            match lost.remove(&ticket) {
                Some(FailedWrite { error, .. }) => {
                    eprintln!("journal: a call is not made: {error}");
                    self.unmake_call(call);
                }
                None => self.durable.gathering.calls.push((ticket, call, cancelled)),
            }
        }
        // The others are what a restart can do without.
        lost.values().for_each(|u| eprintln!("journal: {}", u.error));
    }

    /// Takes back a call that has no record: for a restart it was never begun, and so it must not be.
    fn unmake_call(&mut self, call: Call) {
        let Call { number, attempt, target, connection, .. } = call;
        self.calls.remove(&(number, attempt));
        let listed = self.targets.end_call(target);
        if let Some((connection, _)) = connection.filter(|_| listed) {
            self.pool.put(target, connection);
        }
        if let Some(held) = self.messages.get_mut(&number) {
            held.tries -= 1;
            held.history.pop();
        }
        self.outcome(number, attempt, target, Outcome::NotSent, false);
    }

    /// Begins a sync for what has gathered, if none runs.
    pub(super) fn begin_sync(&mut self) {
        let durable = &mut self.durable;
        if !durable.syncs
            || durable.under_way.is_some()
            || durable.gathering.is_empty() && !self.journal.awaits_sync()
        {
            return;
        }
        let ends = self.site.as_mut().map_or(Ok(Vec::new()), |s| s.ends.sync_job());
        let (job, ends): (SyncJob, Vec<File>) =
            match ends.and_then(|ends| Ok((self.journal.sync_job()?, ends))) {
                Ok(jobs) => jobs,
                Err(error) => {
                    // Out of descriptors: the group waits for the next round, and so does what was taken for it.
                    self.site.iter_mut().for_each(|s| s.ends.mark_unsynced());
                    eprintln!("journal: a sync could not be begun: {error}");
                    return;
                }
            };
        durable.under_way = Some(std::mem::take(&mut durable.gathering));
        let events = self.events.clone();
        tokio::task::spawn_blocking(move || {
            // Ends first: a message must not be forgotten before its end is there.
            let result = ends.iter().try_for_each(File::sync_data).and_then(|()| job.run());
            events.send(LoopEvent::JournalSynced(Synced { job, result }));
        });
    }

    /// Says and does what has waited for a sync.
    pub(super) fn synced(&mut self, synced: Synced) {
        let Synced { job, result } = synced;
        let sound = result.is_ok();
        if let Err(error) = self.journal.sync_finished(&job, result) {
            eprintln!("journal: a sync has failed, its segments are not trusted again: {error}");
        }
        if let Some(group) = self.durable.under_way.take() {
            self.release(group, sound);
        }
    }

    /// Says and does what has waited, or not, where what it rests on may not be there.
    fn release(&mut self, group: Group, sound: bool) {
        for (_, number, reply) in group.answers {
            if sound {
                let receipt = Receipt { number, events: self.events.clone(), written: false };
                // If the client has gone, the receipt is dropped here and says so.
                let _ = reply.send(SubmitReply::Accepted(receipt));
            } else {
                // It may be there after a power cut or not: the client keeps it, under the same id.
                let _ = reply.send(self.not_taken(number));
                self.record(number, &Record::Finished);
                self.withdraw(number);
            }
        }
        for (_, call, cancelled) in group.calls {
            self.release_call(call, cancelled, sound);
        }
        if group.last_end > 0 {
            self.release_ends(group.ended, group.last_end, sound);
        }
    }

    /// Starts a call that has waited, unless its time is over or it was called off. Whether news has overtaken it is asked by
    /// the call itself.
    fn release_call(&mut self, call: Call, mut cancelled: oneshot::Receiver<()>, sound: bool) {
        let stands = cancelled.try_recv().is_err() && call.deadline > Instant::now();
        if sound && stands {
            tokio::spawn(call::call(call, cancelled, self.events.clone()));
            return;
        }
        let mut end = call.unstarted_end(Outcome::NotSent);
        end.reusable_connection = call.connection.map(|(connection, _)| connection);
        self.events.send(LoopEvent::CallEnded(end));
    }

    fn release_ends(&mut self, ended: Vec<(u64, FinalStatus)>, last: u64, sound: bool) {
        let Some(site) = &mut self.site else { return };
        site.ends.publish(last);
        site.ends_seen.send_replace(site.ends.last_published());
        for (number, result) in ended {
            if sound {
                if let Err(error) = self.journal.finish_deferred(number) {
                    eprintln!("journal: {error}");
                }
            } else {
                // Whether the end is there is not known: the journal keeps the message until a restart, with how it
                // ended.
                self.tell_journal(number, result);
            }
        }
    }
}
