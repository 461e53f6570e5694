//! Syncs: group commit for the owner, what a removal waits for, and what a failed one costs.

use super::{Health, Journal, Segment};
use crate::disk::{Disk, JournalDir};
use crate::recovery::Place;
use std::collections::BTreeSet;
use std::fs::File;
use std::io;

impl Journal<JournalDir> {
    /// What has to be synced for all that has been written so far to be on stable storage; to be run by whoever can
    /// wait, and then given to [`Journal::sync_finished`].
    ///
    /// # Errors
    /// There is no descriptor left. Nothing has changed.
    pub fn sync_job(&mut self) -> io::Result<SyncJob> {
        let mut files = Vec::new();
        for segment in &self.dirty {
            // One that has been removed since owes nothing.
            if self.segments.iter().any(|s| s.number == *segment) {
                files.push(self.disk.handle(*segment)?);
            }
        }
        if self.entries_changed {
            files.push(self.disk.folder()?);
            self.entries_changed = false;
        }
        let segments = std::mem::take(&mut self.dirty);
        self.under_way.extend(&segments);
        Ok(SyncJob { files, segments, position: self.position, removals: self.removals })
    }
}

/// Files to sync, and what that confirms.
#[derive(Debug)]
pub struct SyncJob {
    files: Vec<File>,
    segments: BTreeSet<u64>,
    position: u64,
    removals: u64,
}

impl SyncJob {
    /// Syncs. Blocks for as long as the disk takes.
    ///
    /// # Errors
    /// What is on stable storage is not known.
    pub fn run(&self) -> io::Result<()> {
        self.files.iter().try_for_each(File::sync_data)
    }
}

impl<D: Disk> Journal<D> {
    /// Brings what has been written to stable storage. Blocks; see [`JournalDir::handle`] for a way that does not.
    ///
    /// # Errors
    /// What of it is there is not known: the segment is not trusted again.
    pub fn sync(&mut self) -> io::Result<()> {
        let mut segments = std::mem::take(&mut self.dirty);
        segments.extend(&self.under_way);
        let position = self.position;
        for number in &segments {
            let there = self.segments.iter().any(|s| s.number == *number);
            if let Err(error) = if there { self.disk.sync(*number) } else { Ok(()) } {
                self.distrust(&segments);
                return Err(error);
            }
        }
        // A job may have the folder, and not have confirmed it yet.
        if self.entries_changed || self.removals > self.removals_synced {
            if let Err(error) = self.disk.sync_folder() {
                self.distrust(&segments);
                return Err(error);
            }
            self.entries_changed = false;
            self.removals_synced = self.removals;
        }
        self.synced = self.synced.max(position);
        Ok(())
    }

    /// A job has been done, or has failed. What it was to confirm is not trusted then: its live records are carried to
    /// a fresh segment, and the journal says so if it can't.
    ///
    /// # Errors
    /// The sync's, or one of the carrying.
    pub fn sync_finished(&mut self, job: &SyncJob, result: io::Result<()>) -> io::Result<()> {
        self.under_way.clear();
        match result {
            Ok(()) => {
                self.synced = self.synced.max(job.position);
                self.removals_synced = self.removals_synced.max(job.removals);
                Ok(())
            }
            Err(error) => {
                self.entries_changed = true;
                self.distrust(&job.segments);
                Err(error)
            }
        }
    }

    /// Whether something waits for a sync: removals, beside what the owner wants to be sure of.
    pub fn awaits_sync(&self) -> bool {
        let held_up = |front: &Segment| front.live == 0 && !self.may_go(front);
        self.options.durable && self.segments.len() > 1 && self.segments.front().is_some_and(held_up)
    }

    pub(super) fn may_go(&self, front: &Segment) -> bool {
        !self.options.durable || (front.carried_at <= self.synced && self.removals == self.removals_synced)
    }

    /// These segments are not written to again, and nothing rests on them any more.
    pub(super) fn distrust(&mut self, segments: &BTreeSet<u64>) {
        if let Err(error) = self.begin_segment() {
            self.health = Health::Failed(format!("after a failed sync: {error}"));
            return;
        }
        let here = |places: &Vec<Place>| places.iter().any(|p| segments.contains(&p.segment));
        let numbers: Vec<u64> =
            self.live.iter().filter(|(_, places)| here(places)).map(|(n, _)| *n).collect();
        for number in numbers {
            if let Err(error) = self.carry(number) {
                self.health = Health::Failed(format!("after a failed sync: {error}"));
                return;
            }
        }
    }
}
