//! The form of a record in a file: a mark of two bytes, the length and the CRC-32 of the content (four bytes each,
//! little-endian), then the content in postcard's encoding.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io;
use std::ops::Range;

const MARK: [u8; 2] = [0xf7, 0x1d];
const HEAD: usize = 10;
/// Bytes that are set aside for a frame; most are shorter.
const USUAL: usize = 256;
/// Bytes that no record is longer than: the membership of a whole site in one.
pub const LONGEST: usize = 1 << 20;

/// The frame of a record, ready to be appended.
///
/// # Errors
/// The record can't be encoded, or its content is longer than [`LONGEST`].
pub fn encode<T: Serialize>(record: &T) -> io::Result<Vec<u8>> {
    encode_with(0, record)
}

/// The same under a seed of the check sum: bytes of somebody else that look like a frame are none without it.
///
/// # Errors
/// As of [`encode`].
pub fn encode_with<T: Serialize>(seed: u32, record: &T) -> io::Result<Vec<u8>> {
    let mut frame = Vec::with_capacity(USUAL);
    encode_onto(seed, record, &mut frame)?;
    Ok(frame)
}

/// The same behind what a buffer holds; gives where the frame stands in it.
///
/// # Errors
/// As of [`encode`]. The buffer is as it was.
pub fn encode_onto<T: Serialize>(seed: u32, record: &T, buffer: &mut Vec<u8>) -> io::Result<Range<usize>> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEAD]);
    let encoded = postcard::to_extend(record, Behind(buffer)).map(drop).map_err(io::Error::other);
    let content = &buffer[start + HEAD..];
    if encoded.is_err() || content.len() > LONGEST {
        buffer.truncate(start);
        return encoded.and(Err(io::Error::other("the record is too long")));
    }
    let (length, sum) = (content.len() as u32, sum(seed, content));
    let head = &mut buffer[start..start + HEAD];
    head[..2].copy_from_slice(&MARK);
    head[2..6].copy_from_slice(&length.to_le_bytes());
    head[6..].copy_from_slice(&sum.to_le_bytes());
    Ok(start..buffer.len())
}

/// Writes behind what a buffer holds, where postcard would take the buffer and, on an error, not give it back.
struct Behind<'a>(&'a mut Vec<u8>);

impl Extend<u8> for Behind<'_> {
    fn extend<I: IntoIterator<Item = u8>>(&mut self, bytes: I) {
        self.0.extend(bytes);
    }
}

/// The frame at the start of these bytes with its record, if there is a whole and sound one.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<(&[u8], T)> {
    decode_with(0, bytes)
}

fn sum(seed: u32, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(seed);
    hasher.update(content);
    hasher.finalize()
}

/// The same under a seed of the check sum.
pub fn decode_with<T: DeserializeOwned>(seed: u32, bytes: &[u8]) -> Option<(&[u8], T)> {
    let head = bytes.get(..HEAD).filter(|h| h.starts_with(&MARK))?;
    let length = u32::from_le_bytes(head[2..6].try_into().ok()?) as usize;
    let crc = u32::from_le_bytes(head[6..10].try_into().ok()?);
    let frame = bytes.get(..HEAD + length).filter(|_| length <= LONGEST)?;
    let content = &frame[HEAD..];
    // The sum first: damaged lengths inside must not be taken at their word.
    let record = Some(content).filter(|c| sum(seed, c) == crc).and_then(|c| postcard::from_bytes(c).ok())?;
    Some((frame, record))
}
