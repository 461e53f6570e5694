//! Which partners and endpoints a site has, and which of them may be called.
//!
//! [`MembershipState`] is the fold of statements: what the site file said, and the orders given since; it knows no file, clock
//! or socket. [`MembershipLog`] keeps the statements in a file, so that an order that was acknowledged outlives the process.
//!
//! The site file and the orders may contradict each other. The later statement wins, and a file that has not changed
//! is no new statement: an endpoint that was drained or removed by an order stays so over restarts, until the file's
//! own line of it changes.
#![warn(missing_docs)]

mod log;
mod state;

pub use log::{MembershipLog, OrderError};
pub use state::{
    Change, Endpoint, EndpointState, ListedEndpoint, MembershipState, Order, Partner, Rejection, SiteFile,
};
