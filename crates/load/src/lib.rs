//! Load and experiments: messages at a stated rate, whatever becomes of earlier ones, through a forwarder or by a plain
//! client, to stand-in partners with stated failures, capacity and answer times.
//!
//! `plan` is what is asked for, `schedule` when which message is due (both without I/O), `forwarder` the process under
//! test, `exchange` a client's kept connection, `clients` and `plain` the two ways to the partners, `report` the result.

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
