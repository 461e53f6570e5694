//! Write-ahead journal of messages. Records are framed with a marker, a length and a CRC, appended to segment
//! files, and read back after a restart. The crate has no sockets and no async runtime, and knows nothing of
//! HTTP.
//!
//! - [`format`](mod@format): the contents of a segment.
//! - [`frame`]: the encoding of a record, also used by the other logs in the state folder.
//! - [`disk`]: the storage operations that the journal needs.
//! - [`open_files`]: a bounded number of open files for any number of segments.
//! - [`path_error`]: errors that name their file.
//! - [`budget`]: a simulated limit of the disk space.
//! - [`recovery`]: reads a journal back.
//! - [`compaction_policy`]: how fast to compact, and what fits.
//! - [`journal`]: appends records, and compacts in small steps.
//!
//! `docs/journal-format.md` specifies the format for other readers; `docs/design/journal.md` compares the
//! design options.
#![warn(missing_docs)]

pub mod budget;
pub mod compaction_policy;
pub mod disk;
pub mod format;
pub mod frame;
pub mod journal;
pub mod open_files;
pub mod path_error;
pub mod recovery;
#[cfg(test)]
mod simulated_disk;

pub use budget::Budget;
pub use disk::JournalDir;
pub use format::{Accepted, AttemptEffect, AttemptRecord, FailureNotice, Record, RecoveredMessage};
pub use journal::{FailedWrite, Health, Journal, JournalOptions, Ticket};
