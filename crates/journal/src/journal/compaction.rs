//! Incremental compaction: live records of the oldest segment are rewritten at the end, then the segment is
//! removed.

use super::{Health, Journal, Segment, RETRY_DELAY};
use crate::disk::{Disk, JournalDir};
use crate::format::{Record, RecoveredMessage};
use crate::frame;
use crate::path_error::is_descriptor_shortage;
use crate::recovery::{checksum_seed, RecordLocation};
use std::io;
use std::num::NonZeroU64;
use std::time::Instant;

/// Messages processed between two checks of the time.
const TIME_CHECK_INTERVAL: u32 = 8;
/// Number of segments to prefetch: the oldest, which is being processed, and the next two.
const PREFETCH_SEGMENTS: usize = 3;
/// Bytes to prefetch in one step.
const PREFETCH_BYTES: NonZeroU64 = NonZeroU64::new(256 << 10).unwrap();
/// Attempts to read a record back before it is dropped from the index.
const MAX_READ_ATTEMPTS: u32 = 3;

impl<D: Disk> Journal<D> {
    /// Whether [`Journal::compact_step`] has work to do.
    pub fn has_compaction_work(&self) -> bool {
        self.compaction_debt > 0
    }

    /// Continues the compaction until `until`, or until it has caught up with the appended bytes. Also tries
    /// to create a new segment if that failed before.
    ///
    /// # Errors
    /// A live record can't be read back or rewritten. Both are tried again later.
    pub fn compact_step(&mut self, until: Instant) -> io::Result<()> {
        if self.health != Health::Healthy && self.retry_at.is_none_or(|from| Instant::now() >= from) {
            self.recover();
        }
        self.prefetch_next();
        let mut processed = 0;
        while self.compaction_debt > 0 && self.segments.len() > 1 {
            let bytes = self.compact_some()?;
            if bytes == u64::MAX {
                // The oldest segment waits for a sync. The work is done after that.
                break;
            }
            self.compaction_debt = self.compaction_debt.saturating_sub(bytes);
            processed += 1;
            if processed % TIME_CHECK_INTERVAL == 0 && Instant::now() >= until {
                break;
            }
        }
        if self.segments.len() < 2 {
            self.compaction_debt = 0;
        }
        Ok(())
    }

    /// Asks the disk to prefetch the records that will be read next. Each step asks for a little, since
    /// asking takes time too. Without it, records that have left the page cache would block the caller for as
    /// long as a slow disk takes.
    fn prefetch_next(&mut self) {
        if self.compaction_debt == 0 {
            return;
        }
        let (segment, at) = self.prefetched;
        let has_unread =
            |s: &&Segment| s.live_bytes > 0 && (s.number > segment || s.number == segment && s.length > at);
        let Some(next) = self.segments.iter().take(PREFETCH_SEGMENTS).find(has_unread) else { return };
        let (number, from) = (next.number, if next.number == segment { at } else { 0 });
        self.disk.prefetch(number, from, PREFETCH_BYTES);
        self.prefetched = (number, from + PREFETCH_BYTES.get());
    }

    /// Tries to return to normal operation after a failed write: space may be available again.
    fn recover(&mut self) {
        // Removing segments without live records frees space.
        while self.remove_front().unwrap_or(false) {}
        match self.begin_segment() {
            Ok(()) => self.health = Health::Healthy,
            Err(error) => {
                self.health = Health::Full(error.to_string());
                self.retry_at = Some(Instant::now() + RETRY_DELAY);
            }
        }
    }

    /// Schedules the compaction work that `bytes` appended bytes require.
    pub(super) fn schedule_compaction(&mut self, bytes: u64) {
        let bytes_to_process = self.policy.bytes_to_process(bytes, self.disk_bytes(), self.live_bytes);
        self.compaction_debt = (self.compaction_debt + bytes_to_process).min(2 * self.disk_bytes());
    }

    /// Rewrites one message of the oldest segment, or removes the segment if it has none. Returns the bytes
    /// processed, or `u64::MAX` if nothing can be done now.
    pub(super) fn compact_some(&mut self) -> io::Result<u64> {
        if self.segments.len() < 2 {
            return Ok(u64::MAX);
        }
        if self.segments.front().is_some_and(|s| s.live_bytes == 0) {
            let bytes = self.segments.front().map_or(0, Segment::block_bytes);
            let removed = self.remove_front()?;
            return Ok(if removed { bytes } else { u64::MAX });
        }
        let Some(front) = self.segments.front_mut() else { return Ok(u64::MAX) };
        let (segment, next) = (front.number, front.messages.pop());
        let Some(number) = next else {
            return Err(io::Error::other(format!("segment {segment} has live bytes but no message")));
        };
        let is_here = |locations: &Vec<RecordLocation>| locations.iter().any(|p| p.segment == segment);
        if !self.locations.get(&number).is_some_and(is_here) {
            return Ok(0);
        }
        let rewritten = self.rewrite(number);
        if rewritten.is_err() {
            if let Some(front) = self.segments.front_mut() {
                front.messages.push(number);
            }
        }
        rewritten
    }

    /// Appends the complete state of a message, which replaces its earlier records. Returns the bytes of
    /// those.
    pub(super) fn rewrite(&mut self, number: u64) -> io::Result<u64> {
        // Staged records come before the rewritten one, so they must be in the file and in the index.
        self.write_staged();
        let locations = self.locations.get(&number).cloned().unwrap_or_default();
        let mut message: Option<RecoveredMessage> = None;
        let mut processed_bytes = 0;
        for location in locations {
            let mut bytes = vec![0; location.length as usize];
            let result = self.disk.read(location.segment, location.at, &mut bytes);
            // A shortage of descriptors says nothing about the record.
            let is_shortage = result.as_ref().is_err_and(is_descriptor_shortage);
            self.read_failures += u32::from(!is_shortage);
            if result.is_err() && (is_shortage || self.read_failures < MAX_READ_ATTEMPTS) {
                result?;
            }
            processed_bytes += u64::from(location.length);
            let decoded =
                frame::decode_with::<(u64, Record)>(checksum_seed(self.identity, location.segment), &bytes);
            let Some((_, (_, record))) = decoded.filter(|(_, (n, _))| *n == number) else {
                // The bytes on the disk have changed. The owner still has the message in memory, so it is
                // lost only if the process ends before the message does. Keeping the segment would block the
                // space for all other messages.
                let (at, name) = (location.at, JournalDir::file_name(location.segment));
                eprintln!("journal/{name}: the record at byte {at} can't be read back: message {number} is only in memory now");
                self.remove_message(number);
                return Ok(processed_bytes);
            };
            self.read_failures = 0;
            match &mut message {
                Some(message) => message.apply(record),
                None => message = RecoveredMessage::from_first_record(record),
            }
        }
        if let Some(message) = message {
            self.rotate()?;
            let record = Record::Snapshot(Box::new(message));
            let frame = frame::encode_with(self.tail_seed(), &(number, &record))?;
            let location = self.write_frames(&frame)?;
            let previous_segments: Vec<u64> =
                self.locations.get(&number).into_iter().flatten().map(|p| p.segment).collect();
            self.remove_message(number);
            self.add_location(number, location);
            let bytes_written = self.bytes_written;
            for segment in previous_segments {
                if let Some(segment) = self.segment(segment) {
                    segment.rewritten_at = bytes_written;
                }
            }
            self.rewritten_bytes += u64::from(location.length);
        }
        Ok(processed_bytes)
    }

    /// Removes the oldest segment if it has no live records. Returns whether it did.
    pub(super) fn remove_front(&mut self) -> io::Result<bool> {
        let Some(front) = self.segments.front().filter(|s| s.live_bytes == 0 && self.may_remove(s)) else {
            return Ok(false);
        };
        if self.segments.len() < 2 {
            return Ok(false);
        }
        // Final records that are not written yet may belong to messages of this segment. They are no longer
        // needed: the first records of those messages are removed with the segment, and a restart ignores the
        // remaining ones.
        self.disk.remove(front.number)?;
        self.unsynced.remove(&front.number);
        self.removals += 1;
        self.directory_changed = true;
        self.sealed_bytes -= self.segments.pop_front().map_or(0, |s| s.block_bytes());
        Ok(true)
    }
}
