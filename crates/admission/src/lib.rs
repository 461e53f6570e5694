//! Who is let in. Decisions alone: time, who connects or asks, and what is held go in; admit, let wait, turn away or let
//! go of whom comes out. No sockets, no clock, no I/O. `docs/design/admission.md` has the options.
//!
//! [`gate`] decides on connections and requests, [`account`] is what is known of one address, [`settings`] the figures,
//! [`descriptors`] says how many places there are, [`ledger`] who may open one more, [`pace`] who reads too slowly.

pub mod account;
pub mod bucket;
pub mod descriptors;
pub mod gate;
pub mod ledger;
pub mod pace;
pub mod settings;

pub use bucket::Rate;
pub use gate::{Admit, Ask, Doing, Event, Gate, Seen, Why};
pub use ledger::{DescriptorUser, Ledger, Part};
pub use settings::Settings;

/// A point in time or a span, in microseconds.
pub type Micros = u64;
