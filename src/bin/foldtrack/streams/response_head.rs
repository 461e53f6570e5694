//! The first bytes of a response, apart from the interim responses (100 to 199) before it. Without I/O.

use super::field;
use http::{HeaderMap, HeaderName, HeaderValue};

/// Bytes kept of a response head. hyper rejects one that is longer.
const MAX_KEPT_BYTES: usize = 16 * 1024;
/// Bytes of a response up to the first digit of its status.
const STATUS_CLASS_END: usize = b"HTTP/1.1 1".len();
/// Bytes that a target may send on a connection before the final response has started, or while no request is in flight:
/// interim responses and TLS records without data. A certificate chain takes up to 64 KiB of them.
const MAX_BYTES_BEFORE_RESPONSE: usize = 128 * 1024;

/// What has been received since the last request.
#[derive(Debug, Default)]
pub(crate) struct ResponseHead {
    /// The bytes that follow the complete interim responses.
    kept: Vec<u8>,
    bytes_before_response: usize,
}

impl ResponseHead {
    /// Counts bytes of the socket, encrypted or not, unless the final response has started.
    pub fn count_socket_bytes(&mut self, count: usize) {
        let interim_or_nothing = self.kept.len() < STATUS_CLASS_END || is_interim(&self.kept);
        if interim_or_nothing {
            self.bytes_before_response += count;
        }
    }

    /// Whether the target has sent more than [`MAX_BYTES_BEFORE_RESPONSE`].
    pub fn exceeds_limit(&self) -> bool {
        self.bytes_before_response > MAX_BYTES_BEFORE_RESPONSE
    }

    /// Keeps further bytes of the response, and drops interim responses that are complete.
    pub fn receive(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.kept.len() < MAX_KEPT_BYTES {
            let (part, rest) = bytes.split_at(bytes.len().min(MAX_KEPT_BYTES - self.kept.len()));
            self.kept.extend_from_slice(part);
            bytes = rest;
            let interim = complete_interim_length(&self.kept);
            self.kept.drain(..interim);
        }
    }

    /// The final response as far as it is kept; empty while an interim response is incomplete.
    fn final_response(&self) -> &[u8] {
        if is_interim(&self.kept) {
            &[]
        } else {
            &self.kept
        }
    }

    /// Whether the final response has started.
    pub fn has_started(&self) -> bool {
        !self.final_response().is_empty()
    }

    /// The status of the response, read from its first line, whatever follows.
    pub fn status(&self) -> Option<u16> {
        let line = self.final_response().strip_prefix(b"HTTP/1.").unwrap_or_default();
        let [b'0' | b'1', b' ', a, b, c, b' ' | b'\r' | b'\n', ..] = line else { return None };
        let status = [*a, *b, *c];
        let digits = status.iter().all(u8::is_ascii_digit);
        std::str::from_utf8(&status).ok().filter(|_| digits)?.parse().ok()
    }

    /// The status and those header lines of the response that have arrived, whether or not the rest
    /// does. Unparsable lines are skipped, and a truncated one is ignored.
    pub fn status_and_headers(&self) -> Option<(u16, HeaderMap)> {
        let status = self.status()?;
        let mut headers = HeaderMap::new();
        for line in self.final_response().split_inclusive(|b| *b == b'\n').skip(1) {
            let Some(line) = line.strip_suffix(b"\n").map(<[u8]>::trim_ascii) else { break };
            if line.is_empty() {
                break;
            }
            let (name, value) = field(line);
            if let (Ok(name), Ok(value)) = (HeaderName::from_bytes(name), HeaderValue::from_bytes(value)) {
                headers.append(name, value);
            }
        }
        Some((status, headers))
    }
}

/// Whether these bytes begin with an interim response.
fn is_interim(bytes: &[u8]) -> bool {
    matches!(bytes, [b'H', b'T', b'T', b'P', b'/', b'1', b'.', _, b' ', b'1', ..])
}

/// Length of the complete interim responses at the start of these bytes.
fn complete_interim_length(bytes: &[u8]) -> usize {
    let mut length = 0;
    while is_interim(&bytes[length..]) {
        let Some(end) = bytes[length..].windows(4).position(|w| w == b"\r\n\r\n") else { break };
        length += end + 4;
    }
    length
}

#[cfg(test)]
#[path = "response_head_tests.rs"]
mod tests;
