//! The messages that are held, by number, and the memory that they take.

use super::HeldMessage;
use std::collections::BTreeMap;
use std::ops::Deref;

/// Messages that are accepted, or may be, by number; numbers grow in the order of arrival.
#[derive(Default)]
pub(super) struct HeldMessages {
    by_number: BTreeMap<u64, HeldMessage>,
    bytes: usize,
}

impl Deref for HeldMessages {
    type Target = BTreeMap<u64, HeldMessage>;

    fn deref(&self) -> &BTreeMap<u64, HeldMessage> {
        &self.by_number
    }
}

impl HeldMessages {
    /// Adds a message under a number that is not in use.
    pub fn insert(&mut self, number: u64, held: HeldMessage) {
        self.bytes += held.message.memory_size();
        self.by_number.insert(number, held);
    }

    /// Removes a message.
    pub fn remove(&mut self, number: &u64) -> Option<HeldMessage> {
        let held = self.by_number.remove(number)?;
        self.bytes -= held.message.memory_size();
        Some(held)
    }

    /// The state of a message; its text and body do not change.
    pub fn get_mut(&mut self, number: &u64) -> Option<&mut HeldMessage> {
        self.by_number.get_mut(number)
    }

    /// Memory of all messages in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
