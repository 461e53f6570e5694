//! Delivery scheduling for outbound messages to the systems of other organisations.
//!
//! The caller owns sockets, clocks and threads. It passes [`Event`]s to a [`DeliveryScheduler`] and carries out the
//! [`Action`]s that it returns. Each forwarder has its own [`DeliveryScheduler`]; they share no state.
//!
//! ```
//! use foldtrack_delivery::{Action, DeliveryScheduler, Class, Effect, Endpoint, EndpointState, Event, ListKind, Settings};
//!
//! let class = Class { aim: 2_000_000, deadline: 20_000_000, worth: 1.0, late_value: 0.5,
//!     effect: Effect::Repeatable, ..Class::default() };
//! let settings = Settings { senders: 1, slots: 8, max_held: 100, max_attempts: 5,
//!     classes: vec![class], ..Settings::default() };
//! let mut scheduler = DeliveryScheduler::new(0, 42, settings);
//! let mut actions = Vec::new();
//!
//! let endpoint = Endpoint { target: 7, destination: 1, state: EndpointState::Ready, ..Endpoint::default() };
//! scheduler.handle(0, Event::List { kind: ListKind::Full, version: 1, endpoints: vec![endpoint] }, &mut actions);
//! let request = Event::Request { id: 1, class: 0, destination: 1, order_key: 0, expires: 20_000_000 };
//! scheduler.handle(0, request, &mut actions);
//! scheduler.decide(0, &mut actions); // after the last event of this moment
//!
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: 1, target: 7, .. })));
//! ```
#![warn(missing_docs)]

pub mod emulator_policy;
mod failure_detector;
mod fleet_pacing;
pub mod interface;
mod latency;
mod scheduler;
pub mod settings;
mod state;
pub mod status;
mod wait_estimate;

pub use interface::*;
pub use scheduler::DeliveryScheduler;
