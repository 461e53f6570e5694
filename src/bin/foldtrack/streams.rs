//! Byte streams below hyper, for what it does not expose: header lines that it drops, and the first
//! bytes of a response that it can't parse.

mod client;
mod response_head;
mod target;

pub(crate) use client::{HeadScan, ScannedStream};
pub(crate) use target::{ResponseTap, TappedStream, Unread};

/// Name and value of a header line, either empty if missing.
fn field(line: &[u8]) -> (&[u8], &[u8]) {
    let mut parts = line.splitn(2, |b| *b == b':').map(<[u8]>::trim_ascii);
    (parts.next().unwrap_or_default(), parts.next().unwrap_or_default())
}
