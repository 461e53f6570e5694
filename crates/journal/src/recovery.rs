//! Reads a journal back: segments and their records in order, skipping and reporting damage. Nothing is
//! modified, so reading again, or while the owner is running, gives the same result.

use crate::disk::Disk;
use crate::format::{read_header, Header, Record, RecoveredMessage, HEADER_BYTES, VERSION};
use crate::frame;
use std::collections::BTreeMap;
use std::io;

/// Location of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLocation {
    /// Number of the segment.
    pub segment: u64,
    /// Offset in the segment.
    pub at: u64,
    /// Length of the frame in bytes.
    pub length: u32,
}

/// A range of bytes without valid records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DamagedRange {
    /// Number of the segment.
    pub segment: u64,
    /// Offset of the first byte.
    pub at: u64,
    /// Number of bytes; 0 if whole segments are missing before this one.
    pub bytes: u64,
    /// The range is at the end of the last segment: a record that was incomplete when its process ended.
    pub is_tail: bool,
    /// Description of the damage.
    pub problem: String,
}

/// Result of reading one segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Number of the segment.
    pub number: u64,
    /// Length of the file in bytes.
    pub length: u64,
    /// Length in bytes up to the end of the last complete record.
    pub valid_length: u64,
    /// The header is valid.
    pub has_valid_header: bool,
}

/// Contents of a journal.
#[derive(Debug, Default)]
pub struct RecoveredJournal {
    /// Identity of the journal, if a header or the identity file gives it.
    pub identity: Option<u64>,
    /// The segments, oldest first.
    pub segments: Vec<Segment>,
    /// Unfinished messages with the locations of their records, by message number, in the order of
    /// acceptance.
    pub messages: BTreeMap<u64, (RecoveredMessage, Vec<RecordLocation>)>,
    /// The highest message number in any record.
    pub highest_number: u64,
    /// Number of records read.
    pub records: u64,
    /// Ranges that could not be read.
    pub damage: Vec<DamagedRange>,
}

/// Seed of the checksums in a segment.
pub fn checksum_seed(identity: u64, segment: u64) -> u32 {
    crc32fast::hash(&[identity.to_le_bytes(), segment.to_le_bytes()].concat())
}

/// Reads all segments of a journal.
///
/// # Errors
/// A segment can't be read from the disk, or has a later format version. It is not modified, so that the
/// program that wrote it can still read it.
pub fn read(disk: &mut impl Disk) -> io::Result<RecoveredJournal> {
    let mut read = RecoveredJournal::default();
    let numbers = disk.segments()?;
    // Any valid header provides the identity, which is all that the checksum seed of a segment with a lost
    // header needs.
    for number in &numbers {
        let mut header = [0; HEADER_BYTES];
        if read.identity.is_some() {
            break;
        }
        if disk.length(*number)? >= HEADER_BYTES as u64 && disk.read(*number, 0, &mut header).is_ok() {
            if let Header::Known { identity, segment } = read_header(&header) {
                read.identity = Some(identity).filter(|_| segment == *number);
            }
        }
    }
    // The identity file is the last resort: if the folder was copied, the headers are more reliable.
    if read.identity.is_none() && !numbers.is_empty() {
        if let Some(Header::Known { identity, segment: 0 }) = disk.identity()?.as_deref().map(read_header) {
            read.identity = Some(identity);
        }
    }
    let mut previous: Option<u64> = None;
    for (n, number) in numbers.iter().copied().enumerate() {
        let length = disk.length(number)?;
        let mut bytes = vec![0; usize::try_from(length).map_err(io::Error::other)?];
        disk.read(number, 0, &mut bytes)?;
        if previous.is_some_and(|p| p + 1 != number) {
            let problem = "segments before this one are missing".into();
            read.damage.push(DamagedRange { segment: number, at: 0, bytes: 0, is_tail: false, problem });
        }
        previous = Some(number);
        read.read_segment(number, &bytes, n + 1 == numbers.len())?;
    }
    Ok(read)
}

impl RecoveredJournal {
    fn read_segment(&mut self, number: u64, bytes: &[u8], is_last: bool) -> io::Result<()> {
        let length = bytes.len() as u64;
        let mut segment = Segment { number, length, valid_length: 0, has_valid_header: false };
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
        segment.has_valid_header = identity.is_some() && identity == self.identity;
        if !segment.has_valid_header {
            let foreign = identity.is_some();
            let problem = if foreign { "of another journal" } else { "no header that can be read" };
            // A last segment without records may be one that the process was still creating.
            let incomplete = is_last && length <= HEADER_BYTES as u64;
            let to = if foreign { length } else { length.min(HEADER_BYTES as u64) };
            self.damage.push(damage(0, to, incomplete, problem));
            if foreign || length <= HEADER_BYTES as u64 {
                self.segments.push(segment);
                return Ok(());
            }
        }
        let Some(identity) = self.identity else {
            self.segments.push(segment);
            return Ok(());
        };
        let seed = checksum_seed(identity, number);
        let mut at = HEADER_BYTES;
        segment.valid_length = HEADER_BYTES as u64;
        while at < bytes.len() {
            if let Some((frame, (message, record))) = frame::decode_with::<(u64, Record)>(seed, &bytes[at..])
            {
                let location = RecordLocation { segment: number, at: at as u64, length: frame.len() as u32 };
                self.apply_record(message, record, location);
                at += frame.len();
                segment.valid_length = at as u64;
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

    fn apply_record(&mut self, number: u64, record: Record, location: RecordLocation) {
        self.records += 1;
        self.highest_number = self.highest_number.max(number);
        if record == Record::Finished {
            self.messages.remove(&number);
            return;
        }
        let is_first =
            matches!(record, Record::Accepted(_) | Record::AcceptedAt { .. } | Record::Snapshot(_));
        match self.messages.get_mut(&number) {
            Some((message, locations)) => {
                if is_first {
                    locations.clear();
                }
                locations.push(location);
                message.apply(record);
            }
            // Records of a finished message, or of one whose first record is lost, are ignored.
            None => {
                if let Some(message) = RecoveredMessage::from_first_record(record) {
                    self.messages.insert(number, (message, vec![location]));
                }
            }
        }
    }
}

/// Reads the single file of version 1. Returns its unfinished messages and the damaged byte ranges.
pub fn read_v1(bytes: &[u8]) -> (BTreeMap<u64, RecoveredMessage>, Vec<(usize, usize)>) {
    let mut read = RecoveredJournal::default();
    let mut damage = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if let Some((frame, (number, record))) = frame::decode::<(u64, Record)>(&bytes[at..]) {
            read.apply_record(
                number,
                record,
                RecordLocation { segment: 0, at: at as u64, length: frame.len() as u32 },
            );
            at += frame.len();
            continue;
        }
        let next =
            (at + 1..bytes.len()).find(|next| frame::decode::<(u64, Record)>(&bytes[*next..]).is_some());
        let to = next.unwrap_or(bytes.len());
        damage.push((at, to));
        at = to;
    }
    (read.messages.into_iter().map(|(number, (message, _))| (number, message)).collect(), damage)
}
