//! Syncs: group commit for the owner, the condition for removing a segment, and the handling of a failed
//! sync.

use super::{Health, Journal, Segment, MAX_UNSYNCED_SEGMENTS};
use crate::disk::{Disk, JournalDir};
use crate::recovery::RecordLocation;
use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::sync::Arc;

impl Journal<JournalDir> {
    /// The files to sync so that everything written so far is on stable storage. The caller runs the job,
    /// possibly on another thread, and reports its result to [`Journal::sync_finished`].
    ///
    /// # Errors
    /// No file descriptor is available. Nothing has changed.
    pub fn sync_job(&mut self) -> io::Result<SyncJob> {
        let mut files = Vec::new();
        for segment in &self.unsynced {
            // A segment that has been removed since needs no sync.
            if self.segments.iter().any(|s| s.number == *segment) {
                files.push(self.disk.handle(*segment)?);
            }
        }
        if self.directory_changed {
            files.push(Arc::new(self.disk.folder()?));
            self.directory_changed = false;
        }
        let segments = std::mem::take(&mut self.unsynced);
        self.syncing.extend(&segments);
        Ok(SyncJob { files, segments, bytes_written: self.bytes_written, removals: self.removals })
    }
}

/// Files to sync, and the state of the journal that this confirms.
#[derive(Debug)]
pub struct SyncJob {
    files: Vec<Arc<File>>,
    segments: BTreeSet<u64>,
    bytes_written: u64,
    removals: u64,
}

impl SyncJob {
    /// Syncs all files. Blocks for as long as the disk takes.
    ///
    /// # Errors
    /// It is unknown which of the data is on stable storage.
    pub fn run(&self) -> io::Result<()> {
        self.files.iter().try_for_each(|file| file.sync_data())
    }
}

impl<D: Disk> Journal<D> {
    /// Flushes everything written so far to stable storage. Blocks; see [`Journal::sync_job`] for a way that
    /// does not.
    ///
    /// # Errors
    /// It is unknown which of the data is on stable storage: the segments are no longer relied on.
    pub fn sync(&mut self) -> io::Result<()> {
        let mut segments = std::mem::take(&mut self.unsynced);
        segments.extend(&self.syncing);
        let bytes_written = self.bytes_written;
        if let Err(error) = self.take_failed_syncs(&mut segments) {
            self.evacuate(&segments);
            return Err(error);
        }
        for number in &segments {
            let exists = self.segments.iter().any(|s| s.number == *number);
            if let Err(error) = if exists { self.disk.sync(*number) } else { Ok(()) } {
                self.evacuate(&segments);
                return Err(error);
            }
        }
        // A job may have taken the folder and not have reported its result yet.
        if self.directory_changed || self.removals > self.removals_synced {
            if let Err(error) = self.disk.sync_folder() {
                self.evacuate(&segments);
                return Err(error);
            }
            self.directory_changed = false;
            self.removals_synced = self.removals;
        }
        self.bytes_synced = self.bytes_synced.max(bytes_written);
        self.release_synced(&segments);
        Ok(())
    }

    /// Takes the result of a sync job. If the job failed, the segments that it covered are no longer relied
    /// on: their live records are rewritten to a new segment, and [`Journal::health`] reports a failure of
    /// that.
    ///
    /// # Errors
    /// The error of the sync.
    pub fn sync_finished(&mut self, job: &SyncJob, result: io::Result<()>) -> io::Result<()> {
        self.syncing.clear();
        let mut segments = job.segments.clone();
        match result.and_then(|()| self.take_failed_syncs(&mut segments)) {
            Ok(()) => {
                self.bytes_synced = self.bytes_synced.max(job.bytes_written);
                self.removals_synced = self.removals_synced.max(job.removals);
                self.release_synced(&segments);
                Ok(())
            }
            Err(error) => {
                self.directory_changed = true;
                self.evacuate(&segments);
                self.release_synced(&segments);
                Err(error)
            }
        }
    }

    /// Syncs the oldest segments that wait for a sync while there are too many of them, since the file of each is
    /// open. The result of a failed one is reported with that of the next job.
    pub(super) fn limit_unsynced_segments(&mut self) {
        while self.unsynced.len() > MAX_UNSYNCED_SEGMENTS + 1 {
            let Some(oldest) = self.unsynced.pop_first() else { return };
            let exists = self.segments.iter().any(|s| s.number == oldest);
            if exists && self.disk.sync(oldest).is_err() {
                self.failed_syncs.insert(oldest);
            }
            if !self.syncing.contains(&oldest) {
                self.disk.release(oldest);
            }
        }
    }

    /// Adds the segments whose sync has failed outside of a job.
    ///
    /// # Errors
    /// There are such segments.
    fn take_failed_syncs(&mut self, segments: &mut BTreeSet<u64>) -> io::Result<()> {
        if self.failed_syncs.is_empty() {
            return Ok(());
        }
        segments.append(&mut self.failed_syncs);
        Err(io::Error::other("an earlier sync of a segment failed"))
    }

    /// Lets the disk close the files of segments that are synced and not appended to any more.
    pub(super) fn release_synced(&mut self, segments: &BTreeSet<u64>) {
        let tail = self.segments.back().map(|s| s.number);
        for number in segments {
            if Some(*number) != tail && !self.unsynced.contains(number) && !self.syncing.contains(number) {
                self.disk.release(*number);
            }
        }
    }

    /// Whether the removal of a segment waits for a sync, independently of the syncs that the owner needs.
    pub fn awaits_sync(&self) -> bool {
        let is_blocked = |front: &Segment| front.live_bytes == 0 && !self.may_remove(front);
        self.options.durable && self.segments.len() > 1 && self.segments.front().is_some_and(is_blocked)
    }

    /// Whether the oldest segment may be removed: everything rewritten out of it, and every earlier removal,
    /// is synced.
    pub(super) fn may_remove(&self, front: &Segment) -> bool {
        !self.options.durable
            || (front.rewritten_at <= self.bytes_synced && self.removals == self.removals_synced)
    }

    /// Moves everything that is live in these segments to a new one, after their sync has failed.
    pub(super) fn evacuate(&mut self, segments: &BTreeSet<u64>) {
        if let Err(error) = self.begin_segment() {
            self.health = Health::Failed(format!("moving records after a failed sync: {error}"));
            return;
        }
        let is_affected =
            |locations: &Vec<RecordLocation>| locations.iter().any(|p| segments.contains(&p.segment));
        let numbers: Vec<u64> =
            self.locations.iter().filter(|(_, locations)| is_affected(locations)).map(|(n, _)| *n).collect();
        for number in numbers {
            if let Err(error) = self.rewrite(number) {
                self.health = Health::Failed(format!("moving records after a failed sync: {error}"));
                return;
            }
        }
    }
}
