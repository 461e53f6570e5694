//! The state that all stand-ins of a case share: the clock, the record of what was seen, and the list of targets.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Condvar, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds since the start of the case.
pub type Millis = u64;

/// A target as discovery lists it.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub address: String,
    pub cell: u32,
    pub state: &'static str,
    pub weight: f64,
    pub started_ms: u64,
}

/// What somebody outside the forwarder saw.
#[derive(Clone, Debug)]
pub enum Seen {
    /// A client wrote the last byte of a message.
    Sent {
        id: String,
        class: String,
        key: String,
        dest: u32,
        deadline: Millis,
    },
    /// A client got this status, or 0 if the connection ended or 400 ms passed without an answer.
    Answered {
        id: String,
        status: u16,
        how: &'static str,
    },
    /// The last byte of a call reached a target.
    Call {
        id: String,
        target: String,
        call: u64,
    },
    /// A call has run.
    Ran {
        id: String,
        target: String,
        call: u64,
    },
    /// A target wrote an answer, with a wait in milliseconds or none.
    Wrote {
        id: String,
        target: String,
        call: u64,
        status: u16,
        wait: Millis,
    },
    /// The connection of a call ended without an answer.
    Ended {
        id: String,
        target: String,
        call: u64,
    },
    /// The platform answered a notice.
    Notice {
        id: String,
        outcome: String,
    },
    /// The agent has a change of a target's state: the forwarder counts as told.
    Told {
        target: String,
        state: &'static str,
    },
    /// The forwarder was ended or told to end, and it is ready again.
    Down,
    Ready,
    /// Anything else: starts, signals, changes of the list, outages.
    Step {
        text: String,
    },
}

/// The shared state.
pub struct World {
    start: Instant,
    unix_start_ms: u64,
    seen: Mutex<Vec<(Millis, Seen)>>,
    list: Mutex<(u64, Vec<Entry>)>,
    pub list_changed: Condvar,
    /// Discovery is down: its agent answers no question about the list.
    pub discovery_down: AtomicBool,
    /// No more messages are handed in.
    pub clients_stop: AtomicBool,
    pub calls: AtomicU64,
    /// What each message was handed in with: its class, its destination, its idempotency key and its body.
    pub messages: Mutex<HashMap<String, Submitted>>,
}

/// A message as its client handed it in.
#[derive(Clone, Debug)]
pub struct Submitted {
    pub class: String,
    pub dest: u32,
    pub idempotency_key: Option<String>,
    pub body: Vec<u8>,
}

impl World {
    pub fn new(entries: Vec<Entry>) -> World {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        World {
            start: Instant::now(),
            unix_start_ms: unix.as_millis() as u64,
            seen: Mutex::default(),
            list: Mutex::new((1, entries)),
            list_changed: Condvar::new(),
            discovery_down: AtomicBool::new(false),
            clients_stop: AtomicBool::new(false),
            calls: AtomicU64::new(0),
            messages: Mutex::default(),
        }
    }

    pub fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as u64
    }

    pub fn unix_start_ms(&self) -> u64 {
        self.unix_start_ms
    }

    pub fn record(&self, seen: Seen) -> Millis {
        let mut all = self.seen.lock().unwrap();
        let now = self.now();
        all.push((now, seen));
        now
    }

    pub fn step(&self, text: impl Into<String>) -> Millis {
        self.record(Seen::Step { text: text.into() })
    }

    pub fn all_seen(&self) -> Vec<(Millis, Seen)> {
        self.seen.lock().unwrap().clone()
    }

    pub fn next_call(&self) -> u64 {
        self.calls.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// The whole list in discovery's form.
    pub fn list_text(&self) -> String {
        let list = self.list.lock().unwrap();
        list_json(list.0, true, &list.1)
    }

    /// The entries of the list.
    pub fn entries(&self) -> Vec<Entry> {
        self.list.lock().unwrap().1.clone()
    }

    /// Waits until there is something newer than a version, or until the time is up.
    pub fn wait_for_change(&self, since: u64, wait: std::time::Duration) -> String {
        let list = self.list.lock().unwrap();
        let (list, _) = self.list_changed.wait_timeout_while(list, wait, |list| list.0 <= since).unwrap();
        match list.0 > since {
            true => list_json(list.0, true, &list.1),
            false => list_json(list.0, false, &[]),
        }
    }

    /// Replaces the list by a new version.
    pub fn change_list(&self, change: impl FnOnce(&mut Vec<Entry>)) {
        let mut list = self.list.lock().unwrap();
        change(&mut list.1);
        list.0 += 1;
        self.list_changed.notify_all();
    }

    /// The record as text, one line for each thing seen.
    pub fn record_text(&self) -> String {
        let mut text = String::new();
        for (at, seen) in self.all_seen() {
            let _ = writeln!(text, "{:>9.3} {seen:?}", at as f64 / 1e3);
        }
        text
    }
}

fn list_json(version: u64, full: bool, entries: &[Entry]) -> String {
    let line = |e: &Entry| {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"z","kind":"k","cell":{},"state":"{}","weight":{:.1},"started_ms":{}}}"#,
            e.id, e.address, e.cell, e.state, e.weight, e.started_ms
        )
    };
    let lines: Vec<String> = entries.iter().map(line).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, lines.join(","))
}

/// A small generator of random numbers (xorshift), so that a case has a seed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        (self.next() >> 11) % limit.max(1)
    }

    pub fn unit(&mut self) -> f64 {
        self.below(1 << 30) as f64 / (1u64 << 30) as f64
    }
}

/// A loopback address that other runs of the scripts do not use, for ports that are chosen before they are used.
pub fn own_host() -> String {
    let process = std::process::id();
    format!("127.{}.{}.{}", 100 + process % 100, process / 100 % 250, 1 + process / 25_000 % 250)
}
