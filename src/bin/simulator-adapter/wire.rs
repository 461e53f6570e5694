//! Framing and records: bytes to plain values and back. No meaning is attached here.

use std::fmt;
use std::io::Read;

/// Input that cannot be read.
#[derive(Debug)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<std::io::Error> for Malformed {
    fn from(error: std::io::Error) -> Self {
        Malformed(format!("input or output failed: {error}"))
    }
}

/// A line of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub target: u32,
    pub zone: u8,
    pub kind: u16,
    pub destination: u16,
    pub status: u8,
    pub size: f32,
    pub launched: u64,
}

/// A record of a batch.
#[derive(Clone, Debug, PartialEq)]
#[rustfmt::skip]
pub enum Input {
    Born { i: u16, salt: u64, env: Vec<u8> },
    Targets { i: u16, scope: u8, rev: u32, sheet: u16 },
    Query { i: u16, id: u64, class: u16, destination: f32, flags: u16, tenant: u16, hint: u32, key: u64, expires: u64 },
    Started { i: u16, id: u64, attempt: u8, target: u32, took: u32 },
    Resolved { i: u16, id: u64, attempt: u8, target: u32, status: u16, took: u32, ended: bool, wait_ms: u32,
        feedback: Vec<f32> },
    Lapsed { i: u16, id: u64 },
    Wakeup { i: u16, cookie: u32 },
    Echo { i: u16, target: u32, status: u16, took: u32, feedback: Vec<f32> },
    Peer { i: u16, who: u32, body: Vec<u8> },
    Down { i: u16 },
    Roster { sheet: u16, items: Vec<Entry> },
}

/// A record of a reply.
#[derive(Clone, Debug, PartialEq)]
#[rustfmt::skip]
pub enum Output {
    Forward { i: u16, id: u64, not_past: u64, target: u32 },
    Share { i: u16, peer: u32, body: Vec<u8> },
    After { i: u16, sleep_for: u32, cookie: u32 },
    Lookup { i: u16 },
    Refuse { i: u16, id: u64, cool_down: u32 },
    JournalLine { i: u16, message: String },
    KeepInformed { i: u16, enable: bool },
    ShutIdle { i: u16, target: u32 },
    Revoke { i: u16, id: u64, attempt: u8 },
    Surrender { i: u16, id: u64 },
    Fault { i: u16, message: String },
    Probe { i: u16, target: u32 },
}

/// A batch of events.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    pub number: u32,
    pub clock: u64,
    pub records: Vec<Input>,
}

const BATCH_HEADER: usize = 20;
const REPLY_HEADER: usize = 12;
const RECORD_HEADER: usize = 5;
const ENTRY: usize = 22;

struct Cursor<'a> {
    bytes: &'a [u8],
    what: &'static str,
}

impl<'a> Cursor<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        if self.bytes.len() < n {
            return Err(Malformed(format!(
                "{} is too short: {n} bytes wanted, {} left",
                self.what,
                self.bytes.len()
            )));
        }
        let (head, rest) = self.bytes.split_at(n);
        self.bytes = rest;
        Ok(head)
    }
    fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }
    fn u8(&mut self) -> Result<u8, Malformed> {
        Ok(self.array::<1>()?[0])
    }
    fn u16(&mut self) -> Result<u16, Malformed> {
        Ok(u16::from_le_bytes(self.array()?))
    }
    fn u32(&mut self) -> Result<u32, Malformed> {
        Ok(u32::from_le_bytes(self.array()?))
    }
    fn u64(&mut self) -> Result<u64, Malformed> {
        Ok(u64::from_le_bytes(self.array()?))
    }
    fn f32(&mut self) -> Result<f32, Malformed> {
        Ok(f32::from_le_bytes(self.array()?))
    }
    fn floats(&mut self) -> Result<Vec<f32>, Malformed> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }
    fn end(&self) -> Result<(), Malformed> {
        if self.bytes.is_empty() {
            return Ok(());
        }
        Err(Malformed(format!("{} has {} bytes too many", self.what, self.bytes.len())))
    }
}

/// Reads one frame; `None` at the end of the input between frames.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, Malformed> {
    let mut frame = vec![0; BATCH_HEADER];
    let mut have = 0;
    while have < BATCH_HEADER {
        match input.read(&mut frame[have..])? {
            0 if have == 0 => return Ok(None),
            0 => return Err(Malformed("the input ends inside a frame header".into())),
            n => have += n,
        }
    }
    let len = u32::from_le_bytes([frame[4], frame[5], frame[6], frame[7]]) as usize;
    if len < BATCH_HEADER {
        return Err(Malformed(format!("a frame gives its length as {len}, less than its header")));
    }
    let got = input.take((len - BATCH_HEADER) as u64).read_to_end(&mut frame)?;
    if got < len - BATCH_HEADER {
        return Err(Malformed(format!("the input ends inside a frame of {len} bytes")));
    }
    parse_batch(&frame).map(Some)
}

/// Parses a whole frame.
pub fn parse_batch(frame: &[u8]) -> Result<Batch, Malformed> {
    let mut c = Cursor { bytes: frame, what: "a frame" };
    let (number, len, clock, count) = (c.u32()?, c.u32()?, c.u64()?, c.u32()?);
    if len as usize != frame.len() {
        return Err(Malformed(format!("a frame of {} bytes gives its length as {len}", frame.len())));
    }
    let mut records = Vec::new();
    for _ in 0..count {
        let (code, size) = (c.u8()?, c.u32()? as usize);
        records.push(parse_record(code, c.take(size)?)?);
    }
    c.end()?;
    Ok(Batch { number, clock, records })
}

#[rustfmt::skip]
fn parse_record(code: u8, bytes: &[u8]) -> Result<Input, Malformed> {
    let mut c = Cursor { bytes, what: "a record" };
    let record = match code {
        1 => {
            let (i, salt, n) = (c.u16()?, c.u64()?, c.u32()? as usize);
            Input::Born { i, salt, env: c.take(n)?.to_vec() }
        }
        2 => Input::Targets { i: c.u16()?, scope: c.u8()?, rev: c.u32()?, sheet: c.u16()? },
        3 => Input::Query { i: c.u16()?, id: c.u64()?, class: c.u16()?, destination: c.f32()?, flags: c.u16()?,
            tenant: c.u16()?, hint: c.u32()?, key: c.u64()?, expires: c.u64()? },
        4 => Input::Started { i: c.u16()?, id: c.u64()?, attempt: c.u8()?, target: c.u32()?, took: c.u32()? },
        5 => Input::Resolved { i: c.u16()?, id: c.u64()?, attempt: c.u8()?, target: c.u32()?, status: c.u16()?,
            took: c.u32()?, ended: c.u8()? != 0, wait_ms: c.u32()?, feedback: c.floats()? },
        6 => Input::Lapsed { i: c.u16()?, id: c.u64()? },
        7 => Input::Wakeup { i: c.u16()?, cookie: c.u32()? },
        8 => Input::Echo { i: c.u16()?, target: c.u32()?, status: c.u16()?, took: c.u32()?, feedback: c.floats()? },
        9 => {
            let (i, who, n) = (c.u16()?, c.u32()?, c.u16()? as usize);
            Input::Peer { i, who, body: c.take(n)?.to_vec() }
        }
        10 => Input::Down { i: c.u16()? },
        11 => {
            let (sheet, n) = (c.u16()?, c.u32()? as usize);
            if c.bytes.len() / ENTRY < n {
                return Err(Malformed(format!("a list of {n} entries is too short")));
            }
            let items = (0..n).map(|_| parse_entry(&mut c)).collect::<Result<_, _>>()?;
            Input::Roster { sheet, items }
        }
        _ => return Err(Malformed(format!("a record has the unknown code {code}"))),
    };
    c.end()?;
    Ok(record)
}

fn parse_entry(c: &mut Cursor<'_>) -> Result<Entry, Malformed> {
    Ok(Entry {
        target: c.u32()?,
        zone: c.u8()?,
        kind: c.u16()?,
        destination: c.u16()?,
        status: c.u8()?,
        size: c.f32()?,
        launched: c.u64()?,
    })
}

/// A reply under construction.
pub struct Reply {
    bytes: Vec<u8>,
    count: u32,
}

impl Reply {
    /// An empty reply to batch `number`.
    pub fn new(number: u32) -> Self {
        let mut bytes = number.to_le_bytes().to_vec();
        bytes.resize(REPLY_HEADER, 0);
        Reply { bytes, count: 0 }
    }

    /// Adds a record.
    #[rustfmt::skip]
    pub fn push(&mut self, record: &Output) {
        let start = self.bytes.len();
        let b = &mut self.bytes;
        b.extend([0; RECORD_HEADER]);
        let put = |b: &mut Vec<u8>, i: &u16| b.extend(i.to_le_bytes());
        let code = match record {
            Output::Forward { i, id, not_past, target } => {
                put(b, i); b.extend(id.to_le_bytes()); b.extend(not_past.to_le_bytes()); b.extend(target.to_le_bytes());
                65
            }
            Output::Share { i, peer, body } => {
                put(b, i); b.extend(peer.to_le_bytes()); put_short(b, body);
                66
            }
            Output::After { i, sleep_for, cookie } => {
                put(b, i); b.extend(sleep_for.to_le_bytes()); b.extend(cookie.to_le_bytes());
                67
            }
            Output::Lookup { i } => { put(b, i); 68 }
            Output::Refuse { i, id, cool_down } => {
                put(b, i); b.extend(id.to_le_bytes()); b.extend(cool_down.to_le_bytes());
                69
            }
            Output::JournalLine { i, message } => { put(b, i); put_short(b, message.as_bytes()); 70 }
            Output::KeepInformed { i, enable } => { put(b, i); b.push(u8::from(*enable)); 71 }
            Output::ShutIdle { i, target } => { put(b, i); b.extend(target.to_le_bytes()); 72 }
            Output::Revoke { i, id, attempt } => { put(b, i); b.extend(id.to_le_bytes()); b.push(*attempt); 73 }
            Output::Surrender { i, id } => { put(b, i); b.extend(id.to_le_bytes()); 74 }
            Output::Fault { i, message } => { put(b, i); put_short(b, message.as_bytes()); 75 }
            Output::Probe { i, target } => { put(b, i); b.extend(target.to_le_bytes()); 76 }
        };
        let size = (b.len() - start - RECORD_HEADER) as u32;
        b[start] = code;
        b[start + 1..start + RECORD_HEADER].copy_from_slice(&size.to_le_bytes());
        self.count += 1;
    }

    /// The finished frame.
    pub fn finish(mut self) -> Vec<u8> {
        let len = self.bytes.len() as u32;
        self.bytes[4..8].copy_from_slice(&len.to_le_bytes());
        self.bytes[8..12].copy_from_slice(&self.count.to_le_bytes());
        self.bytes
    }
}

/// Bytes behind a 16-bit count; what does not fit the count is cut off.
fn put_short(b: &mut Vec<u8>, body: &[u8]) {
    let body = &body[..body.len().min(usize::from(u16::MAX))];
    b.extend((body.len() as u16).to_le_bytes());
    b.extend(body);
}

#[cfg(test)]
#[path = "wire_tests.rs"]
mod tests;
