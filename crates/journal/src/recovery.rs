//! Reading a journal back: segments in their order, records in theirs, damage passed over and told. No change is made
//! here, so that reading twice, or beside the owner, gives the same.

use crate::disk::Disk;
use crate::format::{read_header, Header, Record, RecoveredMessage, HEADER, VERSION};
use crate::frame;
use std::collections::BTreeMap;
use std::io;

/// Where a frame stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The segment.
    pub segment: u64,
    /// Byte in it.
    pub at: u64,
    /// Bytes of the frame.
    pub length: u32,
}

/// Bytes that are no records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DamagedRange {
    /// The segment.
    pub segment: u64,
    /// From this byte on.
    pub at: u64,
    /// So many.
    pub bytes: u64,
    /// They end the last segment: a record that was not finished when its process ended.
    pub is_tail: bool,
    /// What is wrong.
    pub problem: String,
}

/// A segment as it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Its number.
    pub number: u64,
    /// Bytes in the file.
    pub length: u64,
    /// Bytes up to the end of the last whole record.
    pub whole: u64,
    /// Its header could be read.
    pub is_sound: bool,
}

/// What a journal holds.
#[derive(Debug, Default)]
pub struct RecoveredJournal {
    /// The journal's identity, if there is a segment that tells it.
    pub identity: Option<u64>,
    /// The segments, the oldest first.
    pub segments: Vec<Segment>,
    /// What is not over, by number in the order in which it was taken on.
    pub messages: BTreeMap<u64, (RecoveredMessage, Vec<Place>)>,
    /// The highest number of a message that a record names.
    pub highest_number: u64,
    /// Records read.
    pub records: u64,
    /// What could not be read.
    pub damage: Vec<DamagedRange>,
}

/// The seed of a segment's check sums.
pub fn seed(identity: u64, segment: u64) -> u32 {
    crc32fast::hash(&[identity.to_le_bytes(), segment.to_le_bytes()].concat())
}

/// Reads all segments.
///
/// # Errors
/// A segment can't be read from the disk, or is of a later version: it is left untouched, for the program that wrote
/// it.
pub fn read(disk: &mut impl Disk) -> io::Result<RecoveredJournal> {
    let mut read = RecoveredJournal::default();
    let numbers = disk.segments()?;
    // A header that can't be read is made up for by another's: the seed of a segment's check sums needs no more.
    for number in &numbers {
        let mut head = [0; HEADER];
        if read.identity.is_some() {
            break;
        }
        if disk.length(*number)? >= HEADER as u64 && disk.read(*number, 0, &mut head).is_ok() {
            if let Header::Known { identity, segment } = read_header(&head) {
                read.identity = Some(identity).filter(|_| segment == *number);
            }
        }
    }
    // The second place is asked last: a copied folder's segments say better what they are.
    if read.identity.is_none() && !numbers.is_empty() {
        if let Some(Header::Known { identity, segment: 0 }) = disk.identity()?.as_deref().map(read_header) {
            read.identity = Some(identity);
        }
    }
    let mut before: Option<u64> = None;
    for (n, number) in numbers.iter().copied().enumerate() {
        let length = disk.length(number)?;
        let mut bytes = vec![0; usize::try_from(length).map_err(io::Error::other)?];
        disk.read(number, 0, &mut bytes)?;
        if before.is_some_and(|b| b + 1 != number) {
            let problem = "segments before this one are missing".into();
            read.damage.push(DamagedRange { segment: number, at: 0, bytes: 0, is_tail: false, problem });
        }
        before = Some(number);
        read.segment(number, &bytes, n + 1 == numbers.len())?;
    }
    Ok(read)
}

impl RecoveredJournal {
    fn segment(&mut self, number: u64, bytes: &[u8], is_last: bool) -> io::Result<()> {
        let length = bytes.len() as u64;
        let mut segment = Segment { number, length, whole: 0, is_sound: false };
        let damage = |at: u64, to: u64, is_tail: bool, problem: &str| DamagedRange {
            segment: number,
            at,
            bytes: to - at,
            is_tail,
            problem: problem.into(),
        };
        let identity = match read_header(bytes) {
            Header::Version(version) if version > VERSION => {
                let problem =
                    format!("segment {number} has format {version}; this program reads up to {VERSION}");
                return Err(io::Error::new(io::ErrorKind::Unsupported, problem));
            }
            Header::Known { identity, segment } if segment == number => Some(identity),
            _ => None,
        };
        segment.is_sound = identity.is_some() && identity == self.identity;
        if !segment.is_sound {
            let other = identity.is_some();
            let problem = if other { "of another journal" } else { "no header that can be read" };
            // One that was not begun, as its process ended.
            let begun = is_last && length <= HEADER as u64;
            let to = if other { length } else { length.min(HEADER as u64) };
            self.damage.push(damage(0, to, begun, problem));
            if other || length <= HEADER as u64 {
                self.segments.push(segment);
                return Ok(());
            }
        }
        let Some(identity) = self.identity else {
            self.segments.push(segment);
            return Ok(());
        };
        let seed = seed(identity, number);
        let mut at = HEADER;
        segment.whole = HEADER as u64;
        while at < bytes.len() {
            if let Some((frame, (message, record))) = frame::decode_with::<(u64, Record)>(seed, &bytes[at..])
            {
                let place = Place { segment: number, at: at as u64, length: frame.len() as u32 };
                self.record(message, record, place);
                at += frame.len();
                segment.whole = at as u64;
                continue;
            }
            let next = (at + 1..bytes.len())
                .find(|next| frame::decode_with::<(u64, Record)>(seed, &bytes[*next..]).is_some());
            let to = next.unwrap_or(bytes.len());
            let is_tail = is_last && next.is_none();
            let problem =
                if is_tail { "a record that was not finished" } else { "no record that can be read" };
            self.damage.push(damage(at as u64, to as u64, is_tail, problem));
            at = to;
        }
        self.segments.push(segment);
        Ok(())
    }

    fn record(&mut self, number: u64, record: Record, place: Place) {
        self.records += 1;
        self.highest_number = self.highest_number.max(number);
        if record == Record::Finished {
            self.messages.remove(&number);
            return;
        }
        let begins = matches!(record, Record::Accepted(_) | Record::AcceptedAt { .. } | Record::Carried(_));
        match self.messages.get_mut(&number) {
            Some((restored, places)) => {
                if begins {
                    places.clear();
                }
                places.push(place);
                restored.follow(record);
            }
            // What follows a message whose beginning is lost, or that is over, is of no use.
            None => {
                if let Some(restored) = RecoveredMessage::begin(record) {
                    self.messages.insert(number, (restored, vec![place]));
                }
            }
        }
    }
}

/// Reads the one file of version 1: what it holds, and the bytes of it that are damaged.
pub fn read_old(bytes: &[u8]) -> (BTreeMap<u64, RecoveredMessage>, Vec<(usize, usize)>) {
    let mut read = RecoveredJournal::default();
    let mut damage = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if let Some((frame, (number, record))) = frame::decode::<(u64, Record)>(&bytes[at..]) {
            read.record(number, record, Place { segment: 0, at: at as u64, length: frame.len() as u32 });
            at += frame.len();
            continue;
        }
        let next =
            (at + 1..bytes.len()).find(|next| frame::decode::<(u64, Record)>(&bytes[*next..]).is_some());
        let to = next.unwrap_or(bytes.len());
        damage.push((at, to));
        at = to;
    }
    (read.messages.into_iter().map(|(number, (restored, _))| (number, restored)).collect(), damage)
}
