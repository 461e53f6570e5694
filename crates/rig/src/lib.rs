//! A rig of real processes: some forwarders, each on a folder of its own, clients and partners as stand-ins, and a relay
//! on every link between any two of them.
//!
//! [`story`] tells what happens and when, [`faults`] decides by a seed what a link does to what crosses it, [`net`] has
//! the relays, [`fleet`] the processes, [`clients`] the load. [`run::play`] plays a story and judges it from the books of
//! partners, clients and relays alone; [`shrink`] finds the shortest story that still fails. See `docs/rig.md`.
#![warn(missing_docs)]

pub mod clients;
pub mod faults;
pub mod fleet;
mod fleet_permit;
pub mod net;
pub mod report;
pub mod run;
pub mod scenario;
pub mod sched_delay;
pub mod shrink;
