//! Compaction in steps: what is live in the oldest segment is carried to the end, and the segment removed.

use super::{Health, Journal, Segment, RETRY};
use crate::disk::{Disk, JournalDir};
use crate::format::{Record, RecoveredMessage};
use crate::frame;
use crate::recovery::{seed, Place};
use std::io;
use std::num::NonZeroU64;
use std::time::Instant;

/// Messages that a step looks at before it looks at the time.
const LOOK_EVERY: u32 = 8;
/// Segments that the disk is told of ahead: the one that is passed over, and the next two.
const ANNOUNCED: usize = 3;
/// Bytes that it is told of in one step.
const ANNOUNCED_BYTES: NonZeroU64 = NonZeroU64::new(256 << 10).unwrap();
/// So often a record is read back before it is given up.
const READ_TRIES: u32 = 3;

impl<D: Disk> Journal<D> {
    /// Whether there is work for [`Journal::compact_step`].
    pub fn has_compaction_work(&self) -> bool {
        self.owed > 0
    }

    /// Goes on with the compaction until `until`, or until so much has been done as appends call for. Tries to begin
    /// a segment again where that failed.
    ///
    /// # Errors
    /// A live record can't be read back, or carried; both are tried again later.
    pub fn compact_step(&mut self, until: Instant) -> io::Result<()> {
        if self.health != Health::Healthy && self.retry_from.is_none_or(|from| Instant::now() >= from) {
            self.recover();
        }
        self.announce();
        let mut looked = 0;
        while self.owed > 0 && self.segments.len() > 1 {
            let done = self.pass_some()?;
            if done == u64::MAX {
                // The front waits for a sync; what is owed is passed over after it.
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

    /// Tells the disk what will be read next, a little in each step, since asking takes time too: a record that has left
    /// the cache would hold up the round for as long as a slow disk takes.
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

    /// Room may have come back.
    fn recover(&mut self) {
        // Dead segments at the front make some.
        while self.drop_front().unwrap_or(false) {}
        match self.begin_segment() {
            Ok(()) => self.health = Health::Healthy,
            Err(error) => {
                self.health = Health::Full(error.to_string());
                self.retry_from = Some(Instant::now() + RETRY);
            }
        }
    }

    pub(super) fn owe(&mut self, bytes: u64) {
        let pass = self.pacing.pass(bytes, self.disk_bytes(), self.live_bytes);
        self.owed = (self.owed + pass).min(2 * self.disk_bytes());
    }

    /// Carries one message out of the oldest segment, or removes the segment if there is none; gives the bytes that
    /// have been passed over.
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
            return Err(io::Error::other(format!("segment {segment} has live bytes and no message")));
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

    /// Writes all that is known of a message at the end, in the place of its records before.
    pub(super) fn carry(&mut self, number: u64) -> io::Result<u64> {
        // Staged records stand before what is carried: they count.
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
                // The bytes have changed under us. The owner has the message in memory: it is lost only if the process
                // ends before the message does. Keeping the segment for it would block the room for all others.
                let (at, name) = (place.at, JournalDir::file_name(place.segment));
                eprintln!("journal/{name}: a record at {at} can't be read back: message {number} is in memory alone");
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

    /// Removes the oldest segment if nothing in it is live.
    pub(super) fn drop_front(&mut self) -> io::Result<bool> {
        let Some(front) = self.segments.front().filter(|s| s.live == 0 && self.may_go(s)) else {
            return Ok(false);
        };
        if self.segments.len() < 2 {
            return Ok(false);
        }
        // Records that wait may say that messages of this segment are over: it must not matter any more that they
        // are only in memory. It does not: with the segment their beginnings go, and nothing follows from the rest.
        self.disk.remove(front.number)?;
        self.removals += 1;
        self.entries_changed = true;
        self.sealed -= self.segments.pop_front().map_or(0, |s| s.blocks());
        Ok(true)
    }
}
