//! Fault-injection rig with real processes: several forwarders, each with its own folder, simulated clients and stand-in partners,
//! and a relay on every link between any two of them.
//!
//! A [`scenario`] says what happens and when, [`faults`] decides by a seed what a link does to the traffic that crosses it,
//! [`net`] runs the relays, [`fleet`] the processes and [`clients`] the load. [`run::run_scenario`] runs a scenario and checks
//! the rules from the records of partners, clients and relays alone; [`shrink`] finds the shortest scenario that still fails.
//! [`response_relay`] stands between a forwarder and a partner and changes responses as [`response_faults`] decides.
//! See `docs/rig.md`.
#![warn(missing_docs)]

pub mod clients;
pub mod faults;
pub mod fleet;
mod fleet_permit;
pub mod net;
pub mod report;
pub mod response_faults;
pub mod response_relay;
pub mod run;
pub mod scenario;
pub mod sched_delay;
pub mod shrink;
