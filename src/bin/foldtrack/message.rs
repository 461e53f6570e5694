//! A message on its way from a client to a target.

use bytes::Bytes;
use foldtrack_delivery::Micros;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// A message as it was handed in.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub id: String,
    pub class: usize,
    pub destination: u32,
    pub key: String,
    pub idempotency_key: Option<String>,
    pub retry: Option<String>,
    pub expires: Micros,
    pub body: Bytes,
}

impl Message {
    /// Bytes that it takes in the journal, about.
    pub fn size(&self) -> usize {
        let key = self.idempotency_key.as_ref().map_or(0, String::len);
        self.body.len() + self.id.len() + self.key.len() + key + 128
    }

    pub fn order_key(&self) -> u64 {
        order_key(&self.key)
    }
}

/// The module's name for a key, 0 for none; two keys that share one only wait for each other.
pub(crate) fn order_key(key: &str) -> u64 {
    if key.is_empty() {
        return 0;
    }
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish().max(1)
}
