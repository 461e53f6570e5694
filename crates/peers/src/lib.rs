//! Shared state among the forwarders of a site.
//!
//! [`Peers`] is the state machine of one forwarder, without I/O: datagrams, time and local orders go in;
//! datagrams, records to persist and state changes come out. It is built from [`members`] (failure
//! detection), [`ledger`] (replicated orders), [`orders`] (orders whose operators wait for an answer),
//! [`claims`] (which forwarder owns which message), [`hints`] (waits that partners requested elsewhere) and
//! [`seal`] (authentication, and rejection of datagrams from earlier runs). [`store`] persists the ledger
//! and the claims.
#![warn(missing_docs)]

pub mod claims;
pub mod fact;
pub mod hints;
pub mod ledger;
mod machine;
pub mod members;
pub mod orders;
pub mod recovery;
pub mod seal;
pub mod store;
pub mod wire;

pub use machine::{Event, MemberStatus, Output, Peers, Record, Restored, Settings};

#[cfg(test)]
mod ledger_tests;
