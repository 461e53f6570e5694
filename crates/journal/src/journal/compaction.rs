//! Incremental compaction: live records of the oldest segment are rewritten at the end, then the segment is removed.

use super::{Health, Journal, Segment, RETRY};
use crate::disk::{Disk, JournalDir};
use crate::format::{Record, RecoveredMessage};
use crate::frame;
use crate::recovery::{seed, Place};
use std::io;
use std::num::NonZeroU64;
use std::time::Instant;

/// Messages processed between two checks of the time.
const LOOK_EVERY: u32 = 8;
/// Number of segments to prefetch: the oldest, which is being processed, and the next two.
const ANNOUNCED: usize = 3;
/// Bytes to prefetch in one step.
const ANNOUNCED_BYTES: NonZeroU64 = NonZeroU64::new(256 << 10).unwrap();
/// Attempts to read a record back before it is dropped from the index.
const READ_TRIES: u32 = 3;

impl<D: Disk> Journal<D> {
    /// Whether [`Journal::compact_step`] has work to do.
    pub fn has_compaction_work(&self) -> bool {
        self.owed > 0
    }

    /// Continues the compaction until `until`, or until it has caught up with the appended bytes. Also tries to create a new
    /// segment if that failed before.
    ///
    /// # Errors
    /// A live record can't be read back or rewritten. Both are tried again later.
    pub fn compact_step(&mut self, until: Instant) -> io::Result<()> {
        if self.health != Health::Healthy && self.retry_from.is_none_or(|from| Instant::now() >= from) {
            self.recover();
        }
        self.announce();
        let mut looked = 0;
        while self.owed > 0 && self.segments.len() > 1 {
            let done = self.pass_some()?;
            if done == u64::MAX {
                // The oldest segment waits for a sync. The work is done after that.
                break;
            }
            self.owed = self.owed.saturating_sub(done);
            looked += 1;
            if looked % LOOK_EVERY == 0 && Instant::now() >= until {
                break;
            }
        }
        if self.segments.len() < 2 {
            self.owed = 0;
        }
        Ok(())
    }

    /// Asks the disk to prefetch the records that will be read next. Each step asks for a little, since asking takes time too.
    /// Without it, records that have left the page cache would block the caller for as long as a slow disk takes.
    fn announce(&mut self) {
        if self.owed == 0 {
            return;
        }
        let (segment, at) = self.announced;
        let more = |s: &&Segment| s.live > 0 && (s.number > segment || s.number == segment && s.length > at);
        let Some(next) = self.segments.iter().take(ANNOUNCED).find(more) else { return };
        let (number, from) = (next.number, if next.number == segment { at } else { 0 });
        self.disk.will_read(number, from, ANNOUNCED_BYTES);
        self.announced = (number, from + ANNOUNCED_BYTES.get());
    }

    /// Tries to return to normal operation after a failed write: space may be available again.
    fn recover(&mut self) {
        // Removing segments without live records frees space.
        while self.drop_front().unwrap_or(false) {}
        match self.begin_segment() {
            Ok(()) => self.health = Health::Healthy,
            Err(error) => {
                self.health = Health::Full(error.to_string());
                self.retry_from = Some(Instant::now() + RETRY);
            }
        }
    }

/// Schedules the compaction work that `bytes` appended bytes require.
    pub(super) fn owe(&mut self, bytes: u64) {
        let pass = self.pacing.pass(bytes, self.disk_bytes(), self.live_bytes);
        self.owed = (self.owed + pass).min(2 * self.disk_bytes());
    }

    /// Rewrites one message of the oldest segment, or removes the segment if it has none. Returns the bytes processed, or
    /// `u64::MAX` if nothing can be done now.
    pub(super) fn pass_some(&mut self) -> io::Result<u64> {
        if self.segments.len() < 2 {
            return Ok(u64::MAX);
        }
        if self.segments.front().is_some_and(|s| s.live == 0) {
            let bytes = self.segments.front().map_or(0, Segment::blocks);
            let gone = self.drop_front()?;
            return Ok(if gone { bytes } else { u64::MAX });
        }
        let Some(front) = self.segments.front_mut() else { return Ok(u64::MAX) };
        let (segment, next) = (front.number, front.messages.pop());
        let Some(number) = next else {
            return Err(io::Error::other(format!("segment {segment} has live bytes but no message")));
        };
        let here = |places: &Vec<Place>| places.iter().any(|p| p.segment == segment);
        if !self.live.get(&number).is_some_and(here) {
            return Ok(0);
        }
        let carried = self.carry(number);
        if carried.is_err() {
            if let Some(front) = self.segments.front_mut() {
                front.messages.push(number);
            }
        }
        carried
    }

    /// Appends the complete state of a message, which replaces its earlier records. Returns the bytes of those.
    pub(super) fn carry(&mut self, number: u64) -> io::Result<u64> {
        // Staged records come before the rewritten one, so they must be in the file and in the index.
        self.write_staged();
        let places = self.live.get(&number).cloned().unwrap_or_default();
        let mut restored: Option<RecoveredMessage> = None;
        let mut passed = 0;
        for place in places {
            let mut bytes = vec![0; place.length as usize];
            let read = self.disk.read(place.segment, place.at, &mut bytes);
            self.unreadable += 1;
            if read.is_err() && self.unreadable < READ_TRIES {
                read?;
            }
            passed += u64::from(place.length);
            let read = frame::decode_with::<(u64, Record)>(seed(self.identity, place.segment), &bytes);
            let Some((_, (_, record))) = read.filter(|(_, (n, _))| *n == number) else {
                // The bytes on the disk have changed. The owner still has the message in memory, so it is lost only if the
                // process ends before the message does. Keeping the segment would block the space for all other messages.
                let (at, name) = (place.at, JournalDir::file_name(place.segment));
                eprintln!("journal/{name}: the record at byte {at} can't be read back: message {number} is only in memory now");
                self.forget(number);
                return Ok(passed);
            };
            self.unreadable = 0;
            match &mut restored {
                Some(restored) => restored.follow(record),
                None => restored = RecoveredMessage::begin(record),
            }
        }
        if let Some(restored) = restored {
            self.rotate()?;
            let record = Record::Carried(Box::new(restored));
            let frame = frame::encode_with(self.tail_seed(), &(number, &record))?;
            let place = self.write_frames(&frame)?;
            let left: Vec<u64> = self.live.get(&number).into_iter().flatten().map(|p| p.segment).collect();
            self.forget(number);
            self.add(number, place);
            let position = self.position;
            for segment in left {
                if let Some(segment) = self.segment(segment) {
                    segment.carried_at = position;
                }
            }
            self.carried += u64::from(place.length);
        }
        Ok(passed)
    }

    /// Removes the oldest segment if it has no live records. Returns whether it did.
    pub(super) fn drop_front(&mut self) -> io::Result<bool> {
        let Some(front) = self.segments.front().filter(|s| s.live == 0 && self.may_go(s)) else {
            return Ok(false);
        };
        if self.segments.len() < 2 {
            return Ok(false);
        }
        // Final records that are not written yet may belong to messages of this segment. They are no longer needed:
        // the first records of those messages are removed with the segment, and a restart ignores the remaining ones.
        self.disk.remove(front.number)?;
        self.removals += 1;
        self.entries_changed = true;
        self.sealed -= self.segments.pop_front().map_or(0, |s| s.blocks());
        Ok(true)
    }
}
