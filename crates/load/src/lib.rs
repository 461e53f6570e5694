//! Load generator for experiments. It submits messages at a given rate, regardless of the progress of earlier ones (open
//! loop), through a forwarder or by a plain client, to stand-in partners with configured failures, capacity and answer
//! times.
//!
//! `plan` holds the parameters of a run and `schedule` computes when each message is due, both without I/O. `forwarder`
//! starts the process under test, `http_client` is the connection of a client, `clients` and `plain` are the two routes to
//! the partners, `run` performs runs and `report` holds their results.

pub mod clients;
pub mod forwarder;
pub mod http_client;
pub mod plain;
pub mod plan;
pub mod report;
pub mod run;
pub mod schedule;

pub use plan::Plan;
pub use report::Report;
