//! The control line of a running forwarder: a Unix socket, one JSON object a line, each with a protocol version.
//!
//! [`protocol`] is what is asked and answered, [`lines`] cuts bytes into lines within bounds, [`client`] is the side of
//! commands and consoles. The serving side belongs to the forwarder. `docs/control-protocol.md` is the page for people.
#![warn(missing_docs)]

pub mod client;
pub mod framing;
pub mod protocol;

pub use client::{Client, ClientError};
pub use protocol::*;
