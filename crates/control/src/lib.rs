//! The control protocol of a running forwarder: newline-delimited JSON over a Unix socket, with a protocol version in every
//! message.
//!
//! [`protocol`] defines the messages, [`framing`] splits a byte stream into lines of bounded length, and [`client`] is a
//! blocking client for commands and consoles. The server is part of the forwarder. The protocol is documented in
//! `docs/control-protocol.md`.
#![warn(missing_docs)]

pub mod client;
pub mod framing;
pub mod protocol;

pub use client::{Client, ClientError};
pub use protocol::*;
