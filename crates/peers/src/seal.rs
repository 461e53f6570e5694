//! Datagrams between forwarders: limited in size, authenticated with a shared secret, and valid only for
//! one run of the receiver.
//!
//! ```text
//! "ft" | version (1 byte) | header (postcard) | payload | first 16 bytes of HMAC-SHA256 over everything before
//! ```
//!
//! Each process draws a random session number when it starts. A datagram names the session that it is for,
//! so one that was recorded and replayed later has no receiver; within a session a window of sequence
//! numbers drops duplicates. Only a [`Kind::Hello`] has no receiving session. It is answered by a
//! [`Kind::Welcome`] that is no longer than the hello, sent to the address that the site file has for the
//! sender, never to the address that the hello came from.

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;

/// Maximum size of a datagram in bytes: the IPv6 minimum MTU, less room for headers, so that it crosses any
/// path unfragmented.
pub const MAX_DATAGRAM: usize = 1200;
/// Maximum size of a payload in bytes.
pub const MAX_PAYLOAD: usize = 1000;
/// Minimum length of the shared secret in bytes.
pub const MIN_SECRET_LEN: usize = 16;
/// First bytes of every datagram.
const MAGIC: [u8; 2] = *b"ft";
/// Version of the wire format. A datagram with another version is foreign.
pub const VERSION: u8 = 1;
/// Length of the authentication tag in bytes.
const TAG_LEN: usize = 16;

/// The kind of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Asks for the receiver's session.
    Hello,
    /// Answers a hello with the sender's session.
    Welcome,
    /// Carries messages.
    Data,
}

/// Header of a datagram, before the payload.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The kind of datagram.
    pub kind: Kind,
    /// The sender's name.
    pub from: String,
    /// The sender's start number.
    pub start: u64,
    /// The sender's session.
    pub session: u64,
    /// The receiver's session; 0 in a hello.
    #[serde(rename = "to")]
    pub to_session: u64,
    /// Sequence number, increased by one with each datagram of the sender's session to this receiver.
    pub seq: u64,
    /// The sender's monotonic clock in milliseconds. The receiver derives from it how much longer than
    /// others a datagram took.
    #[serde(rename = "sent")]
    pub sent_ms: u64,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// Longer than [`MAX_DATAGRAM`].
    Oversized,
    /// Not of this protocol or version.
    Foreign,
    /// The authentication tag does not match the shared secret.
    Forged,
    /// Authentic, but the sender's name is not in the site file.
    Stranger,
    /// For another run of this forwarder, or from an earlier run of the sender.
    Stale,
    /// Received before.
    Replayed,
    /// Authentic, but can't be decoded.
    Unreadable,
}

impl DropReason {
    /// All reasons, for counters.
    pub const ALL: [DropReason; 7] = [
        DropReason::Oversized,
        DropReason::Foreign,
        DropReason::Forged,
        DropReason::Stranger,
        DropReason::Stale,
        DropReason::Replayed,
        DropReason::Unreadable,
    ];

    /// Name in metrics and for display.
    pub fn name(self) -> &'static str {
        match self {
            DropReason::Oversized => "oversized",
            DropReason::Foreign => "foreign",
            DropReason::Forged => "forged",
            DropReason::Stranger => "stranger",
            DropReason::Stale => "stale",
            DropReason::Replayed => "replayed",
            DropReason::Unreadable => "unreadable",
        }
    }
}

/// Seals and opens datagrams with the shared secret.
#[derive(Clone)]
pub struct Sealer {
    mac: Hmac<Sha256>,
}

impl fmt::Debug for Sealer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Sealer")
    }
}

impl Sealer {
    /// Creates a sealer.
    ///
    /// # Errors
    /// The secret is shorter than [`MIN_SECRET_LEN`].
    pub fn new(secret: &[u8]) -> Result<Sealer, String> {
        if secret.len() < MIN_SECRET_LEN {
            return Err(format!(
                "the secret has {} bytes; at least {MIN_SECRET_LEN} are required",
                secret.len()
            ));
        }
        let mac = Hmac::<Sha256>::new_from_slice(secret).map_err(|e| e.to_string())?;
        Ok(Sealer { mac })
    }

    fn tag(&self, bytes: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(bytes);
        mac
    }

    /// Builds a datagram. Returns `None` if it would be too long, which the sender's limits rule out.
    pub fn seal(&self, header: &Header, payload: &[u8]) -> Option<Vec<u8>> {
        let mut bytes = Vec::with_capacity(MAX_DATAGRAM);
        bytes.extend_from_slice(&MAGIC);
        bytes.push(VERSION);
        let mut bytes = postcard::to_extend(header, bytes).ok()?;
        bytes.extend_from_slice(payload);
        let tag = self.tag(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&tag[..TAG_LEN]);
        (bytes.len() <= MAX_DATAGRAM).then_some(bytes)
    }

    /// Verifies a datagram and returns its header and payload.
    ///
    /// # Errors
    /// The reason for which the datagram must be dropped.
    pub fn open<'b>(&self, bytes: &'b [u8]) -> Result<(Header, &'b [u8]), DropReason> {
        if bytes.len() > MAX_DATAGRAM {
            return Err(DropReason::Oversized);
        }
        let sealed_len =
            bytes.len().checked_sub(TAG_LEN).filter(|n| *n > MAGIC.len()).ok_or(DropReason::Foreign)?;
        let (sealed, tag) = bytes.split_at(sealed_len);
        let rest = sealed.strip_prefix(&MAGIC).ok_or(DropReason::Foreign)?;
        if rest[0] != VERSION {
            return Err(DropReason::Foreign);
        }
        self.tag(sealed).verify_truncated_left(tag).map_err(|_| DropReason::Forged)?;
        postcard::take_from_bytes::<Header>(&rest[1..]).map_err(|_| DropReason::Unreadable)
    }
}

/// Replay window: one bit for each of the last 1,024 sequence numbers.
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    highest: u64,
    received: [u64; 16],
}

/// Number of sequence numbers in the replay window.
const WINDOW_SIZE: u64 = 1024;

impl ReplayWindow {
    /// Records a sequence number and returns whether it is new. Numbers older than the window count as
    /// received.
    pub fn accept(&mut self, seq: u64) -> bool {
        let bit_position = |seq: u64| ((seq / 64 % 16) as usize, 1u64 << (seq % 64));
        if seq > self.highest {
            let from = (self.highest + 1).max(seq.saturating_sub(WINDOW_SIZE - 1));
            for skipped in from..=seq {
                let (index, bit) = bit_position(skipped);
                self.received[index] &= !bit;
            }
            self.highest = seq;
        } else if seq == 0 || self.highest - seq >= WINDOW_SIZE {
            return false;
        }
        let (index, bit) = bit_position(seq);
        let is_new = self.received[index] & bit == 0;
        self.received[index] |= bit;
        is_new
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::HashSet;

    fn header() -> Header {
        Header { kind: Kind::Data, from: "a".into(), start: 1, session: 2, to_session: 3, seq: 4, sent_ms: 5 }
    }

    #[test]
    fn a_datagram_changed_anywhere_or_sealed_with_another_secret_is_rejected() {
        let sealer = Sealer::new(&[7; 32]).unwrap();
        let bytes = sealer.seal(&header(), b"payload").unwrap();
        assert_eq!(sealer.open(&bytes), Ok((header(), &b"payload"[..])));
        for at in 0..bytes.len() {
            let mut changed = bytes.clone();
            changed[at] ^= 1;
            assert!(
                matches!(sealer.open(&changed), Err(DropReason::Forged | DropReason::Foreign)),
                "byte {at}"
            );
            assert!(sealer.open(&bytes[..at]).is_err(), "cut at {at}");
        }
        assert_eq!(Sealer::new(&[8; 32]).unwrap().open(&bytes), Err(DropReason::Forged));
        assert_eq!(sealer.open(&[0; MAX_DATAGRAM + 1]), Err(DropReason::Oversized));
        assert!(Sealer::new(&[7; 15]).is_err());
        assert!(sealer.seal(&header(), &[0; MAX_DATAGRAM]).is_none());
    }

    #[test]
    fn a_sequence_number_is_accepted_once_in_any_order_of_arrival() {
        let mut random = fastrand::Rng::with_seed(1);
        let (mut window, mut seen) = (ReplayWindow::default(), HashSet::new());
        for step in 1..20_000u64 {
            let seq = (step / 2 + random.u64(0..600)).max(1);
            let is_new = window.accept(seq);
            assert!(!is_new || seen.insert(seq), "{seq} twice");
        }
        assert!(seen.len() > 8_000, "{}", seen.len());
        let mut window = ReplayWindow::default();
        assert!(window.accept(5_000) && window.accept(4_500) && !window.accept(3_900) && !window.accept(0));
    }
}
