//! A message between its client and its target.

use bytes::Bytes;
use foldtrack_delivery::Micros;
use foldtrack_memory::plan::HELD_OVERHEAD_BYTES;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// A message as it was submitted.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    /// Id that the client chose.
    pub id: String,
    /// Index into the classes of the settings.
    pub class: usize,
    /// Number of the destination.
    pub destination: u32,
    /// Order key as text; messages with the same key are sent one at a time.
    pub key: String,
    pub idempotency_key: Option<String>,
    pub retry: Option<String>,
    /// Deadline, in microseconds of the process's clock.
    pub expires: Micros,
    pub body: Bytes,
}

impl Message {
    /// Approximate size in bytes in the journal.
    pub fn journal_size(&self) -> usize {
        let key = self.idempotency_key.as_ref().map_or(0, String::len);
        self.body.len() + self.id.len() + self.key.len() + key + 128
    }

    /// Approximate size in bytes in memory, with what is kept about the message.
    pub fn memory_size(&self) -> usize {
        let optional = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        let texts = self.id.len() + self.key.len() + optional(&self.idempotency_key) + optional(&self.retry);
        self.body.len() + texts + HELD_OVERHEAD_BYTES
    }

    /// The scheduler's form of the order key.
    pub fn order_key(&self) -> u64 {
        order_key(&self.key)
    }
}

/// Hash of an order key, 0 for an empty one. Keys with the same hash only wait for each other.
pub(crate) fn order_key(key: &str) -> u64 {
    if key.is_empty() {
        return 0;
    }
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish().max(1)
}
