//! The partners and endpoints of a site, and which of them may be called.
//!
//! [`MembershipState`] is the result of applying all statements so far: the versions of the site file, and
//! the orders of operators. It does no I/O and reads no clock. [`MembershipLog`] keeps the statements in a
//! file, so that an acknowledged order survives a restart.
//!
//! The site file and the orders may contradict each other. The later statement wins, and an unchanged file is
//! not a new statement: an endpoint that an order drained or removed stays so across restarts, until its own
//! entry in the file changes.
#![warn(missing_docs)]

mod log;
mod state;

pub use log::{MembershipLog, OrderError};
pub use state::{
    Change, Endpoint, EndpointState, ListedEndpoint, MembershipState, Order, Partner, Rejection, SiteFile,
};
