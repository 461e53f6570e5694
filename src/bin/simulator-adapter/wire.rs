//! Frames and records of the simulator's binary protocol: conversion between bytes and plain values.

use std::fmt;
use std::io::Read;

/// The input violates the protocol or cannot be read.
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

/// An entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub target: u32,
    pub zone: u8,
    pub kind: u16,
    pub destination: u16,
    /// State code of the endpoint.
    pub status: u8,
    /// Rate limit of the destination.
    pub rate: f32,
    pub launched: u64,
}

/// A record of a batch: an event of an instance, or the declaration of a list.
#[derive(Clone, Debug, PartialEq)]
pub enum InputRecord {
    /// Starts an instance with its settings.
    Start { instance: u16, seed: u64, settings: Vec<u8> },
    /// Applies a declared list to an instance.
    List { instance: u16, kind: u8, version: u32, list: u16 },
    /// A message is submitted.
    Request {
        instance: u16,
        id: u64,
        class: u16,
        destination: f32,
        flags: u16,
        tenant: u16,
        hint: u32,
        key: u64,
        expires: u64,
    },
    /// The answer of a streamed message has started.
    StreamStarted { instance: u16, id: u64, attempt: u8, target: u32, took: u32 },
    /// An attempt has ended.
    Outcome {
        instance: u16,
        id: u64,
        attempt: u8,
        target: u32,
        status: u16,
        took: u32,
        ended: bool,
        wait_ms: u32,
        report: Vec<f32>,
    },
    /// The client does not want a message any more.
    Abandoned { instance: u16, id: u64 },
    /// A timer has expired.
    Timer { instance: u16, token: u32 },
    /// A probe has ended.
    ProbeOutcome { instance: u16, target: u32, status: u16, took: u32, report: Vec<f32> },
    /// A message from another sender.
    PeerMessage { instance: u16, from: u32, data: Vec<u8> },
    /// Stops an instance.
    Stop { instance: u16 },
    /// Declares a numbered list of endpoints for later records.
    DeclareList { list: u16, entries: Vec<Entry> },
}

/// A record of a reply: an action of an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum OutputRecord {
    /// Calls a target with a message.
    Send { instance: u16, id: u64, until: u64, target: u32 },
    /// Sends a message to another sender.
    PeerMessage { instance: u16, to: u32, data: Vec<u8> },
    /// Sets a timer.
    Timer { instance: u16, after: u32, token: u32 },
    /// Fetches the list of endpoints.
    FetchList { instance: u16 },
    /// Refuses a message.
    Refuse { instance: u16, id: u64, retry_after: u32 },
    /// Writes a log line.
    Log { instance: u16, text: String },
    /// Subscribes to the list of endpoints, or unsubscribes.
    Subscribe { instance: u16, on: bool },
    /// Closes idle connections to a target.
    CloseIdle { instance: u16, target: u32 },
    /// Cancels an attempt.
    Cancel { instance: u16, id: u64, attempt: u8 },
    /// Ends a message as failed.
    Fail { instance: u16, id: u64 },
    /// The instance panicked.
    Fault { instance: u16, message: String },
    /// Probes a target.
    Probe { instance: u16, target: u32 },
}

/// A batch of records with the time of its events.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Number that the reply repeats.
    pub number: u32,
    /// Time of the events in microseconds.
    pub clock: u64,
    pub records: Vec<InputRecord>,
}

/// Size of the header of a batch, in bytes.
const BATCH_HEADER: usize = 20;
/// Size of the header of a reply, in bytes.
const REPLY_HEADER: usize = 12;
/// Size of the header of a record, in bytes.
const RECORD_HEADER: usize = 5;
/// Size of an entry of a list, in bytes.
const ENTRY: usize = 22;

/// Reads little-endian values from a slice.
struct Cursor<'a> {
    bytes: &'a [u8],
    /// What is parsed, for error messages.
    what: &'static str,
}

impl<'a> Cursor<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        if self.bytes.len() < n {
            return Err(Malformed(format!(
                "{} is too short: {n} bytes needed, {} left",
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

/// Reads one frame. Returns `None` if the input ends between two frames.
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

/// Parses a complete frame.
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

fn parse_record(code: u8, bytes: &[u8]) -> Result<InputRecord, Malformed> {
    let mut c = Cursor { bytes, what: "a record" };
    let record = match code {
        1 => {
            let (instance, seed, n) = (c.u16()?, c.u64()?, c.u32()? as usize);
            InputRecord::Start { instance, seed, settings: c.take(n)?.to_vec() }
        }
        2 => InputRecord::List { instance: c.u16()?, kind: c.u8()?, version: c.u32()?, list: c.u16()? },
        3 => InputRecord::Request {
            instance: c.u16()?,
            id: c.u64()?,
            class: c.u16()?,
            destination: c.f32()?,
            flags: c.u16()?,
            tenant: c.u16()?,
            hint: c.u32()?,
            key: c.u64()?,
            expires: c.u64()?,
        },
        4 => InputRecord::StreamStarted {
            instance: c.u16()?,
            id: c.u64()?,
            attempt: c.u8()?,
            target: c.u32()?,
            took: c.u32()?,
        },
        5 => InputRecord::Outcome {
            instance: c.u16()?,
            id: c.u64()?,
            attempt: c.u8()?,
            target: c.u32()?,
            status: c.u16()?,
            took: c.u32()?,
            ended: c.u8()? != 0,
            wait_ms: c.u32()?,
            report: c.floats()?,
        },
        6 => InputRecord::Abandoned { instance: c.u16()?, id: c.u64()? },
        7 => InputRecord::Timer { instance: c.u16()?, token: c.u32()? },
        8 => InputRecord::ProbeOutcome {
            instance: c.u16()?,
            target: c.u32()?,
            status: c.u16()?,
            took: c.u32()?,
            report: c.floats()?,
        },
        9 => {
            let (instance, from, n) = (c.u16()?, c.u32()?, c.u16()? as usize);
            InputRecord::PeerMessage { instance, from, data: c.take(n)?.to_vec() }
        }
        10 => InputRecord::Stop { instance: c.u16()? },
        11 => {
            let (list, n) = (c.u16()?, c.u32()? as usize);
            if c.bytes.len() / ENTRY < n {
                return Err(Malformed(format!("a list of {n} entries is too short")));
            }
            let entries = (0..n).map(|_| parse_entry(&mut c)).collect::<Result<_, _>>()?;
            InputRecord::DeclareList { list, entries }
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
        rate: c.f32()?,
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

    /// Appends a record.
    pub fn push(&mut self, record: &OutputRecord) {
        let start = self.bytes.len();
        let b = &mut self.bytes;
        b.extend([0; RECORD_HEADER]);
        let put_instance = |b: &mut Vec<u8>, instance: &u16| b.extend(instance.to_le_bytes());
        let code = match record {
            OutputRecord::Send { instance, id, until, target } => {
                put_instance(b, instance);
                b.extend(id.to_le_bytes());
                b.extend(until.to_le_bytes());
                b.extend(target.to_le_bytes());
                65
            }
            OutputRecord::PeerMessage { instance, to, data } => {
                put_instance(b, instance);
                b.extend(to.to_le_bytes());
                put_short(b, data);
                66
            }
            OutputRecord::Timer { instance, after, token } => {
                put_instance(b, instance);
                b.extend(after.to_le_bytes());
                b.extend(token.to_le_bytes());
                67
            }
            OutputRecord::FetchList { instance } => {
                put_instance(b, instance);
                68
            }
            OutputRecord::Refuse { instance, id, retry_after } => {
                put_instance(b, instance);
                b.extend(id.to_le_bytes());
                b.extend(retry_after.to_le_bytes());
                69
            }
            OutputRecord::Log { instance, text } => {
                put_instance(b, instance);
                put_short(b, text.as_bytes());
                70
            }
            OutputRecord::Subscribe { instance, on } => {
                put_instance(b, instance);
                b.push(u8::from(*on));
                71
            }
            OutputRecord::CloseIdle { instance, target } => {
                put_instance(b, instance);
                b.extend(target.to_le_bytes());
                72
            }
            OutputRecord::Cancel { instance, id, attempt } => {
                put_instance(b, instance);
                b.extend(id.to_le_bytes());
                b.push(*attempt);
                73
            }
            OutputRecord::Fail { instance, id } => {
                put_instance(b, instance);
                b.extend(id.to_le_bytes());
                74
            }
            OutputRecord::Fault { instance, message } => {
                put_instance(b, instance);
                put_short(b, message.as_bytes());
                75
            }
            OutputRecord::Probe { instance, target } => {
                put_instance(b, instance);
                b.extend(target.to_le_bytes());
                76
            }
        };
        let size = (b.len() - start - RECORD_HEADER) as u32;
        b[start] = code;
        b[start + 1..start + RECORD_HEADER].copy_from_slice(&size.to_le_bytes());
        self.count += 1;
    }

    /// Completes the frame and returns its bytes.
    pub fn finish(mut self) -> Vec<u8> {
        let len = self.bytes.len() as u32;
        self.bytes[4..8].copy_from_slice(&len.to_le_bytes());
        self.bytes[8..12].copy_from_slice(&self.count.to_le_bytes());
        self.bytes
    }
}

/// Appends bytes after a 16-bit length; bytes beyond the largest length are cut off.
fn put_short(b: &mut Vec<u8>, data: &[u8]) {
    let data = &data[..data.len().min(usize::from(u16::MAX))];
    b.extend((data.len() as u16).to_le_bytes());
    b.extend(data);
}

#[cfg(test)]
#[path = "wire_tests.rs"]
mod tests;
