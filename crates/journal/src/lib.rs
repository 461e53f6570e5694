//! Records that outlast the process: framed with mark, length and CRC, appended with one `write` each, and read back
//! by the next process up to the first that is torn. No sockets, no runtime, nothing of HTTP.
//!
//! [`messages`] is the journal of messages that were taken on; [`frame`] the form of a record, which other logs of
//! the state folder share.
#![warn(missing_docs)]

pub mod frame;
pub mod messages;
