//! Group commit: replies and calls wait here until the journal records they depend on are written.
//! The records of an iteration are written together at its end. In durable mode thousands of
//! operations share one sync. Syncs run outside the event loop, one at a time; the next group
//! collects while one runs.

use super::Node;
use crate::call::{self, Call};
use crate::events::{LoopEvent, Receipt, SubmitReply, Synced};
use foldtrack_delivery::Outcome;
use foldtrack_ends::FinalStatus;
use foldtrack_journal::journal::SyncJob;
use foldtrack_journal::{FailedWrite, Record, Ticket};
use std::collections::HashMap;
use std::fs::File;
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Operations that wait for the same write or sync.
#[derive(Default)]
pub(super) struct Group {
    /// Clients to be told that their message is accepted.
    pub replies: Vec<(Ticket, u64, oneshot::Sender<SubmitReply>)>,
    /// Calls whose records must be stored before their first byte goes out. Without the record a
    /// payment would be sent again after a power failure, because nothing would show that it was
    /// sent before.
    pub calls: Vec<(Ticket, Call, oneshot::Receiver<()>)>,
    /// Messages whose outcomes become visible with this group, after which the journal forgets
    /// them.
    pub ended: Vec<(u64, FinalStatus)>,
    /// Sequence number of the last of these outcomes.
    pub last_outcome: u64,
}

impl Group {
    fn is_empty(&self) -> bool {
        self.replies.is_empty() && self.calls.is_empty() && self.ended.is_empty()
    }
}

/// State of group commit.
pub(super) struct GroupCommit {
    /// Whether replies, calls and outcomes wait for stable storage, or only for the write.
    pub waits_for_sync: bool,
    /// The group that is collecting.
    pub collecting: Group,
    syncing: Option<Group>,
}

impl GroupCommit {
    pub fn new(waits_for_sync: bool) -> GroupCommit {
        GroupCommit { waits_for_sync, collecting: Group::default(), syncing: None }
    }
}

impl Node {
    /// Writes the records of this iteration together. Operations whose record could not be written
    /// are undone; the others are released, or wait for a sync.
    pub(super) fn commit_journal(&mut self) {
        let unwritten = self.journal.commit();
        if !unwritten.is_empty() {
            self.fail_unwritten(unwritten);
        }
        if !self.group_commit.waits_for_sync {
            let group = std::mem::take(&mut self.group_commit.collecting);
            self.release(group, true);
        }
    }

    /// Handles a disk that fills up during an iteration: messages whose records were not written
    /// are refused and their calls are not made, as if they had never been requested.
    fn fail_unwritten(&mut self, unwritten: Vec<FailedWrite>) {
        let mut lost: HashMap<Ticket, FailedWrite> = unwritten.into_iter().map(|u| (u.ticket, u)).collect();
        let collecting = &mut self.group_commit.collecting;
        let (replies, calls) =
            (std::mem::take(&mut collecting.replies), std::mem::take(&mut collecting.calls));
        for (ticket, number, reply) in replies {
            match lost.remove(&ticket) {
                Some(FailedWrite { error, .. }) => {
                    eprintln!("journal: message refused: {error}");
                    let _ = reply.send(self.refusal_for(number));
                    self.forget_message(number);
                }
                None => self.group_commit.collecting.replies.push((ticket, number, reply)),
            }
        }
        for (ticket, call, cancelled) in calls {
            match lost.remove(&ticket) {
                Some(FailedWrite { error, .. }) => {
                    eprintln!("journal: call not made: {error}");
                    self.take_back_call(call);
                }
                None => self.group_commit.collecting.calls.push((ticket, call, cancelled)),
            }
        }
        // A restart works without the remaining records.
        lost.values().for_each(|u| eprintln!("journal: {}", u.error));
    }

    /// Takes back a call without a record. After a restart it would count as never made, so it must
    /// not be made.
    fn take_back_call(&mut self, call: Call) {
        let Call { number, attempt, target, connection, .. } = call;
        self.calls.remove(&(number, attempt));
        let listed = self.targets.end_call(target);
        if let Some((connection, _)) = connection.filter(|_| listed) {
            self.pool.put(target, connection);
        }
        if let Some(held) = self.messages.get_mut(&number) {
            held.journaled_attempts -= 1;
            held.history.pop();
        }
        self.report_outcome(number, attempt, target, Outcome::NotSent, false);
    }

    /// Starts a sync for the group that has collected, if none is running.
    pub(super) fn start_sync(&mut self) {
        let commit = &mut self.group_commit;
        if !commit.waits_for_sync
            || commit.syncing.is_some()
            || commit.collecting.is_empty() && !self.journal.awaits_sync()
        {
            return;
        }
        let outcome_files = self.site.as_mut().map_or(Ok(Vec::new()), |s| s.outcomes.sync_job());
        let (job, outcome_files): (SyncJob, Vec<Arc<File>>) =
            match outcome_files.and_then(|outcome_files| Ok((self.journal.sync_job()?, outcome_files))) {
                Ok(jobs) => jobs,
                Err(error) => {
                    // Out of file descriptors: the group waits for the next iteration, and so do
                    // the files prepared for this sync.
                    self.site.iter_mut().for_each(|s| s.outcomes.mark_unsynced());
                    eprintln!("journal: cannot start a sync: {error}");
                    return;
                }
            };
        commit.syncing = Some(std::mem::take(&mut commit.collecting));
        let events = self.events.clone();
        tokio::task::spawn_blocking(move || {
            // Outcomes are synced first: the journal must not forget a message before its outcome
            // is stored.
            let result = outcome_files.iter().try_for_each(|file| file.sync_data()).and_then(|()| job.run());
            events.send(LoopEvent::JournalSynced(Synced { job, result }));
        });
    }

    /// Releases the operations that waited for a sync.
    pub(super) fn finish_sync(&mut self, synced: Synced) {
        let Synced { job, result } = synced;
        let stored = result.is_ok();
        if let Err(error) = self.journal.sync_finished(&job, result) {
            eprintln!("journal: sync failed, its segments are no longer trusted: {error}");
        }
        if let Some(group) = self.group_commit.syncing.take() {
            self.release(group, stored);
        }
    }

    /// Releases the operations of a group, or fails them if their records may not be stored.
    fn release(&mut self, group: Group, stored: bool) {
        for (_, number, reply) in group.replies {
            if stored {
                let receipt = Receipt::new(number, self.events.clone());
                // If the client has disconnected, the receipt is dropped here and reports that
                // nothing was written.
                let _ = reply.send(SubmitReply::Accepted(receipt));
            } else {
                // The record may or may not survive a power failure. The client keeps the message
                // and may submit it again under the same id.
                let _ = reply.send(self.refusal_for(number));
                self.stage_record(number, &Record::Finished);
                self.forget_message(number);
            }
        }
        for (_, call, cancelled) in group.calls {
            self.release_call(call, cancelled, stored);
        }
        if group.last_outcome > 0 {
            self.release_outcomes(group.ended, group.last_outcome, stored);
        }
    }

    /// Starts a call that has waited, unless its deadline has passed or it was cancelled. The call
    /// itself checks whether newer information has overtaken the decision.
    fn release_call(&mut self, call: Call, mut cancelled: oneshot::Receiver<()>, stored: bool) {
        let still_valid = cancelled.try_recv().is_err() && call.deadline > Instant::now();
        if stored && still_valid {
            tokio::spawn(call::call(call, cancelled, self.events.clone()));
            return;
        }
        let mut end = call.unstarted_end(Outcome::NotSent);
        end.reusable_connection = call.connection.map(|(connection, _)| connection);
        self.events.send(LoopEvent::CallEnded(end));
    }

    /// Makes outcomes visible to clients, and lets the journal forget their messages if the
    /// outcomes are stored.
    fn release_outcomes(&mut self, ended: Vec<(u64, FinalStatus)>, last: u64, stored: bool) {
        let Some(site) = &mut self.site else { return };
        site.outcomes.publish(last);
        site.outcome_sequence.send_replace(site.outcomes.last_published());
        for (number, result) in ended {
            if stored {
                if let Err(error) = self.journal.finish_deferred(number) {
                    eprintln!("journal: {error}");
                }
            } else {
                // Whether the outcome is stored is unknown. The journal keeps the message and its
                // result until a restart.
                self.journal_result(number, result);
            }
        }
    }
}
