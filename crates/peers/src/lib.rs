//! Forwarders of a site hold one picture.
//!
//! [`Peers`] is the whole of it without I/O: datagrams, time and local orders go in; datagrams, records to be kept and
//! what has changed come out. Below it [`members`] tells who is there, [`ledger`] holds what was ordered, [`orders`]
//! what operators still wait for, [`claims`] who holds which message, and [`seal`] lets nothing in that does not come from a member's present life.
//! [`store`] keeps the ledger on disk.
#![warn(missing_docs)]

pub mod claims;
pub mod fact;
pub mod hints;
pub mod ledger;
mod machine;
pub mod members;
pub mod orders;
pub mod regain;
pub mod seal;
pub mod store;
pub mod wire;

pub use machine::{Event, MemberStatus, Output, Peers, Record, Restored, Settings};

#[cfg(test)]
mod ledger_tests;
