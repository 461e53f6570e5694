//! Clients, targets and discovery that send more than there is room for, or hold back what they owe: other clients are
//! answered, and the process stays under its limits. Apart from the other tests, since a crowd takes several cores.

mod crowd;
mod flood;
mod memory;
mod soak;
#[allow(dead_code, reason = "shared with the tests of the forwarder")]
#[path = "../forwarder/world.rs"]
mod world;

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};
use world::*;

const MS: fn(u64) -> Duration = Duration::from_millis;
