//! Storage of final message outcomes. An outcome is kept in the state folder until a client has fetched and
//! acknowledged it, and for a retention period after that, so that it can still be looked up by message id.
//!
//! [`MessageOutcome`] is the outcome of one message. [`OutcomeStore`] appends outcomes to segment files, each
//! named by the sequence number of its first outcome. An outcome is written with one `write` call before its
//! message is removed from the journal: if the process is killed in between, the restart finds the outcome
//! and treats the message as finished. Outcomes are numbered in the order in which they occurred. A client
//! fetches those after its cursor, and the next fetch acknowledges everything up to the cursor. [`retention`]
//! decides, without I/O, whether there is space for more outcomes and which segments may be deleted.
#![warn(missing_docs)]

mod end;
pub mod retention;
mod store;

pub use end::{Attempt, AttemptOutcome, FinalStatus, MessageOutcome, MessageOutcomeRef};
pub use store::{Fetched, OutcomeStore, MAX_DESCRIPTORS};
