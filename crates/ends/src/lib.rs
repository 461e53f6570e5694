//! How messages ended, kept in the state folder until a client has fetched and acknowledged it, and for a while
//! after, so that a single message can be asked for.
//!
//! [`MessageOutcome`] is one end; [`OutcomeStore`] keeps them in segments, files named by the first end in them. An end is appended with
//! one `write` before its message leaves the journal: a process that is killed in between finds the end, and the
//! message over. Ends are numbered in the order in which they came; a client fetches what lies behind its cursor, and
//! acknowledges by asking on from there. [`retention`] decides what there is room for and what may go, without I/O.
#![warn(missing_docs)]

mod end;
pub mod retention;
mod store;

pub use end::{Attempt, AttemptOutcome, FinalStatus, MessageOutcome, MessageOutcomeRef};
pub use store::{Fetched, OutcomeStore};
