//! Encoding of a record in a file: a marker of two bytes, the length and the CRC-32 of the content (four
//! bytes each, little-endian), then the content, encoded with postcard.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io;
use std::ops::Range;

const MARKER: [u8; 2] = [0xf7, 0x1d];
const HEADER_BYTES: usize = 10;
/// Initial capacity of the buffer for a frame, in bytes. Most frames are shorter.
const INITIAL_CAPACITY: usize = 256;
/// Maximum length of a record's content in bytes: a record may hold the membership of a whole site.
pub const MAX_CONTENT_BYTES: usize = 1 << 20;

/// Encodes a record as a frame that can be appended to a file.
///
/// # Errors
/// The record can't be encoded, or its content is longer than [`MAX_CONTENT_BYTES`].
pub fn encode<T: Serialize>(record: &T) -> io::Result<Vec<u8>> {
    encode_with(0, record)
}

/// Encodes a record with a checksum seed. Foreign bytes that look like a frame are invalid without the seed.
///
/// # Errors
/// Same as [`encode`].
pub fn encode_with<T: Serialize>(seed: u32, record: &T) -> io::Result<Vec<u8>> {
    let mut frame = Vec::with_capacity(INITIAL_CAPACITY);
    encode_into(seed, record, &mut frame)?;
    Ok(frame)
}

/// Encodes a record at the end of a buffer, and returns the range of its frame there.
///
/// # Errors
/// Same as [`encode`]. The buffer is unchanged.
pub fn encode_into<T: Serialize>(seed: u32, record: &T, buffer: &mut Vec<u8>) -> io::Result<Range<usize>> {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEADER_BYTES]);
    let encoded = postcard::to_extend(record, AppendTo(buffer)).map(drop).map_err(io::Error::other);
    let content = &buffer[start + HEADER_BYTES..];
    if encoded.is_err() || content.len() > MAX_CONTENT_BYTES {
        buffer.truncate(start);
        return encoded.and(Err(io::Error::other("the record exceeds the maximum length")));
    }
    let (length, crc) = (content.len() as u32, checksum(seed, content));
    let header = &mut buffer[start..start + HEADER_BYTES];
    header[..2].copy_from_slice(&MARKER);
    header[2..6].copy_from_slice(&length.to_le_bytes());
    header[6..].copy_from_slice(&crc.to_le_bytes());
    Ok(start..buffer.len())
}

/// Lets postcard append to a borrowed buffer: it takes a buffer by value and does not return it after an
/// error.
struct AppendTo<'a>(&'a mut Vec<u8>);

impl Extend<u8> for AppendTo<'_> {
    fn extend<I: IntoIterator<Item = u8>>(&mut self, bytes: I) {
        self.0.extend(bytes);
    }
}

/// Decodes the frame at the start of `bytes`. Returns the bytes of the frame and its record, if it is
/// complete and valid.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<(&[u8], T)> {
    decode_with(0, bytes)
}

fn checksum(seed: u32, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(seed);
    hasher.update(content);
    hasher.finalize()
}

/// Same as [`decode`], with a checksum seed.
pub fn decode_with<T: DeserializeOwned>(seed: u32, bytes: &[u8]) -> Option<(&[u8], T)> {
    let header = bytes.get(..HEADER_BYTES).filter(|h| h.starts_with(&MARKER))?;
    let length = u32::from_le_bytes(header[2..6].try_into().ok()?) as usize;
    let crc = u32::from_le_bytes(header[6..10].try_into().ok()?);
    let frame = bytes.get(..HEADER_BYTES + length).filter(|_| length <= MAX_CONTENT_BYTES)?;
    let content = &frame[HEADER_BYTES..];
    // Verify the checksum first: lengths inside damaged content must not be trusted.
    let record =
        Some(content).filter(|c| checksum(seed, c) == crc).and_then(|c| postcard::from_bytes(c).ok())?;
    Some((frame, record))
}
