//! Splits a byte stream into lines of bounded length, without I/O.

/// Maximum length of a request line, in bytes. The longest valid request is a fraction of it.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// Why a line cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineError {
    /// The line exceeds the limit. The rest of it is not read to find the start of the next line; the connection should be
    /// closed.
    TooLong,
    /// The line is not UTF-8.
    NotUtf8,
}

/// Incremental line decoder; it buffers the bytes of an incomplete line.
#[derive(Debug)]
pub struct LineDecoder {
    bytes: Vec<u8>,
    max_line_bytes: usize,
    /// A line was too long; all further input is ignored.
    failed: bool,
}

impl LineDecoder {
    /// Creates a decoder for lines of at most `max_line_bytes` bytes.
    pub fn new(max_line_bytes: usize) -> Self {
        LineDecoder { bytes: Vec::new(), max_line_bytes, failed: false }
    }

    /// Appends received bytes and returns the lines that they complete, without line endings. No further lines are returned
    /// after [`LineError::TooLong`].
    pub fn push(&mut self, mut bytes: &[u8]) -> Vec<Result<String, LineError>> {
        let mut lines = Vec::new();
        while !bytes.is_empty() && !self.failed {
            let end = bytes.iter().position(|b| *b == b'\n');
            let part = &bytes[..end.unwrap_or(bytes.len())];
            if self.bytes.len() + part.len() > self.max_line_bytes {
                self.failed = true;
                self.bytes = Vec::new();
                lines.push(Err(LineError::TooLong));
                break;
            }
            self.bytes.extend_from_slice(part);
            let Some(end) = end else { break };
            bytes = &bytes[end + 1..];
            let line = String::from_utf8(std::mem::take(&mut self.bytes)).map_err(|_| LineError::NotUtf8);
            // Skips empty lines, which a person at a terminal may send.
            if line.as_ref().is_ok_and(|l| l.trim().is_empty()) {
                continue;
            }
            lines.push(line);
        }
        lines
    }

    /// Number of buffered bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn long_lines_and_invalid_utf8_are_reported_and_not_buffered() {
        let mut lines = LineDecoder::new(10);
        assert_eq!(lines.push(b"half"), []);
        assert_eq!(
            lines.push(b" one\n\n  \r\ntwo\n\xff\xfe\nx"),
            [Ok("half one".to_string()), Ok("two".to_string()), Err(LineError::NotUtf8)]
        );
        assert_eq!(lines.push(&vec![b'y'; 10 << 20]), [Err(LineError::TooLong)]);
        assert_eq!((lines.push(b"\nz\n"), lines.buffered_bytes()), (vec![], 0));
    }

    proptest! {
        /// The decoded lines do not depend on how the input is split into chunks.
        #[test]
        fn lines_are_independent_of_chunk_boundaries(text in "[a-c\n]{0,60}", step in 1usize..9) {
            let mut lines = LineDecoder::new(100);
            let chunked: Vec<_> = text.as_bytes().chunks(step).flat_map(|c| lines.push(c)).collect();
            let whole: Vec<_> = LineDecoder::new(100).push(text.as_bytes());
            prop_assert_eq!(chunked, whole);
        }
    }
}
