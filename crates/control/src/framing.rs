//! Bytes cut into lines, within bounds. No I/O.

/// Longest line that is read, in bytes: the longest request is a fraction of it.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// Why a line can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineError {
    /// Longer than the bound. Where the next one begins is not worth reading to: the connection ends.
    TooLong,
    /// Not UTF-8.
    NotUtf8,
}

/// What has come and makes no whole line yet.
#[derive(Debug)]
pub struct LineDecoder {
    bytes: Vec<u8>,
    longest: usize,
    broken: bool,
}

impl LineDecoder {
    /// Lines of `longest` bytes at most.
    pub fn new(longest: usize) -> Self {
        LineDecoder { bytes: Vec::new(), longest, broken: false }
    }

    /// Takes bytes in and gives the lines that they complete, without their ends. Nothing follows
    /// [`LineError::TooLong`].
    pub fn push(&mut self, mut bytes: &[u8]) -> Vec<Result<String, LineError>> {
        let mut lines = Vec::new();
        while !bytes.is_empty() && !self.broken {
            let end = bytes.iter().position(|b| *b == b'\n');
            let part = &bytes[..end.unwrap_or(bytes.len())];
            if self.bytes.len() + part.len() > self.longest {
                self.broken = true;
                self.bytes = Vec::new();
                lines.push(Err(LineError::TooLong));
                break;
            }
            self.bytes.extend_from_slice(part);
            let Some(end) = end else { break };
            bytes = &bytes[end + 1..];
            let line = String::from_utf8(std::mem::take(&mut self.bytes)).map_err(|_| LineError::NotUtf8);
            // Empty lines are no requests: a person at a terminal sends some.
            if line.as_ref().is_ok_and(|l| l.trim().is_empty()) {
                continue;
            }
            lines.push(line);
        }
        lines
    }

    /// Bytes that are held.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn long_lines_and_bad_bytes_are_told_and_hold_no_memory() {
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
        /// However the bytes are cut, the lines are the same.
        #[test]
        fn cuts_do_not_matter(text in "[a-c\n]{0,60}", step in 1usize..9) {
            let mut lines = LineDecoder::new(100);
            let cut: Vec<_> = text.as_bytes().chunks(step).flat_map(|c| lines.push(c)).collect();
            let whole: Vec<_> = LineDecoder::new(100).push(text.as_bytes());
            prop_assert_eq!(cut, whole);
        }
    }
}
