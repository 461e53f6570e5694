//! Records that outlast the process: framed with mark, length and CRC, appended to segments, and read back by the next
//! process up to the first that is torn. No sockets, no runtime, nothing of HTTP.
//!
//! [`format`](mod@format) is what stands in a segment, [`frame`] the form of a record, which other logs of the state
//! folder share; [`disk`] all that is asked of a disk, [`budget`] a rehearsal of a full one; [`recovery`] reads a journal back; [`pacing`] decides how much
//! garbage is allowed and what fits; [`journal`] appends, and compacts in steps. `docs/journal-format.md` is for other
//! readers, `docs/design/journal.md` has the options weighed.
#![warn(missing_docs)]

pub mod budget;
pub mod disk;
pub mod format;
pub mod frame;
pub mod journal;
#[cfg(test)]
mod model;
pub mod pacing;
pub mod recovery;

pub use budget::Budget;
pub use disk::JournalDir;
pub use format::{Accepted, AttemptEffect, AttemptRecord, FailureNotice, Record, RecoveredMessage};
pub use journal::{FailedWrite, Health, Journal, JournalOptions, Ticket};
