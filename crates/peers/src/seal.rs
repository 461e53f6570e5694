//! Datagrams between forwarders: bounded, authenticated by one shared secret, and good for one life of their receiver.
//!
//! ```text
//! "ft" | version (1 byte) | head (postcard) | payload | first 16 bytes of HMAC-SHA256 over all before
//! ```
//!
//! Each process draws a session number at its start. A datagram names the session that it is for, so that one which was
//! recorded and played back later finds nobody; within a session a window of sequence numbers drops what comes twice.
//! Only a [`Kind::Hello`] is for nobody in particular. It is answered by a [`Kind::Welcome`] that is no longer than it,
//! to the address that the site file has for the sender, never to the address that it came from.

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;

/// Bytes of a datagram at most: what crosses any path of IPv6 in one piece, with room for headers.
pub const LONGEST: usize = 1200;
/// Bytes of a payload at most.
pub const PAYLOAD: usize = 1000;
/// Shortest shared secret, in bytes.
pub const LEAST_SECRET: usize = 16;
const MAGIC: [u8; 2] = *b"ft";
/// Version of the wire. A datagram of another one is foreign.
pub const VERSION: u8 = 1;
const TAG: usize = 16;

/// What a datagram is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Asks for the receiver's session.
    Hello,
    /// Tells it.
    Welcome,
    /// Anything else.
    Data,
}

/// What stands before the payload.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// What it is.
    pub kind: Kind,
    /// The sender's name.
    pub from: String,
    /// Its start number.
    pub start: u64,
    /// Its session.
    pub session: u64,
    /// The session that it is for; 0 in a hello.
    pub to: u64,
    /// Grows by one with each datagram of the sender's session to this receiver.
    pub seq: u64,
    /// The sender's monotonic clock, in milliseconds: how much longer than others it was under way.
    pub sent: u64,
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refused {
    /// Longer than [`LONGEST`].
    Oversized,
    /// Not of this protocol and version.
    Foreign,
    /// Its tag is not by the shared secret.
    Forged,
    /// By the shared secret, but from nobody that the site file names.
    Stranger,
    /// For another life of this forwarder, or from an earlier life of its sender.
    Stale,
    /// Had come before.
    Replayed,
    /// By the shared secret, and not to be understood.
    Unreadable,
}

impl Refused {
    /// All of them, for counts.
    pub const ALL: [Refused; 7] = [
        Refused::Oversized,
        Refused::Foreign,
        Refused::Forged,
        Refused::Stranger,
        Refused::Stale,
        Refused::Replayed,
        Refused::Unreadable,
    ];

    /// In a word.
    pub fn name(self) -> &'static str {
        match self {
            Refused::Oversized => "oversized",
            Refused::Foreign => "foreign",
            Refused::Forged => "forged",
            Refused::Stranger => "stranger",
            Refused::Stale => "stale",
            Refused::Replayed => "replayed",
            Refused::Unreadable => "unreadable",
        }
    }
}

/// Seals and opens by the shared secret.
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
    /// # Errors
    /// The secret is too short to be one.
    pub fn new(secret: &[u8]) -> Result<Sealer, String> {
        if secret.len() < LEAST_SECRET {
            return Err(format!("the secret has {} bytes; it needs {LEAST_SECRET} at least", secret.len()));
        }
        let mac = Hmac::<Sha256>::new_from_slice(secret).map_err(|e| e.to_string())?;
        Ok(Sealer { mac })
    }

    fn tag(&self, bytes: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(bytes);
        mac
    }

    /// A datagram. Nothing where it would be too long, which the sender's bounds rule out.
    pub fn seal(&self, head: &Head, payload: &[u8]) -> Option<Vec<u8>> {
        let mut bytes = Vec::with_capacity(LONGEST);
        bytes.extend_from_slice(&MAGIC);
        bytes.push(VERSION);
        let mut bytes = postcard::to_extend(head, bytes).ok()?;
        bytes.extend_from_slice(payload);
        let tag = self.tag(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&tag[..TAG]);
        (bytes.len() <= LONGEST).then_some(bytes)
    }

    /// Head and payload of a datagram.
    ///
    /// # Errors
    /// It is none of ours.
    pub fn open<'b>(&self, bytes: &'b [u8]) -> Result<(Head, &'b [u8]), Refused> {
        if bytes.len() > LONGEST {
            return Err(Refused::Oversized);
        }
        let sealed = bytes.len().checked_sub(TAG).filter(|n| *n > MAGIC.len()).ok_or(Refused::Foreign)?;
        let (sealed, tag) = bytes.split_at(sealed);
        let rest = sealed.strip_prefix(&MAGIC).ok_or(Refused::Foreign)?;
        if rest[0] != VERSION {
            return Err(Refused::Foreign);
        }
        self.tag(sealed).verify_truncated_left(tag).map_err(|_| Refused::Forged)?;
        postcard::take_from_bytes::<Head>(&rest[1..]).map_err(|_| Refused::Unreadable)
    }
}

/// Sequence numbers that have come: a bit each for the last 1,024.
#[derive(Clone, Debug, Default)]
pub struct Window {
    top: u64,
    seen: [u64; 16],
}

const WIDTH: u64 = 1024;

impl Window {
    /// Whether a number has not come before, as far as can be told: what is older than the window counts as come.
    pub fn is_new(&mut self, seq: u64) -> bool {
        let place = |seq: u64| ((seq / 64 % 16) as usize, 1u64 << (seq % 64));
        if seq > self.top {
            let from = (self.top + 1).max(seq.saturating_sub(WIDTH - 1));
            for passed in from..=seq {
                let (word, bit) = place(passed);
                self.seen[word] &= !bit;
            }
            self.top = seq;
        } else if seq == 0 || self.top - seq >= WIDTH {
            return false;
        }
        let (word, bit) = place(seq);
        let new = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        new
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::HashSet;

    fn head() -> Head {
        Head { kind: Kind::Data, from: "a".into(), start: 1, session: 2, to: 3, seq: 4, sent: 5 }
    }

    #[test]
    fn what_is_changed_anywhere_or_sealed_by_another_secret_is_refused() {
        let sealer = Sealer::new(&[7; 32]).unwrap();
        let bytes = sealer.seal(&head(), b"payload").unwrap();
        assert_eq!(sealer.open(&bytes), Ok((head(), &b"payload"[..])));
        for at in 0..bytes.len() {
            let mut changed = bytes.clone();
            changed[at] ^= 1;
            assert!(matches!(sealer.open(&changed), Err(Refused::Forged | Refused::Foreign)), "byte {at}");
            assert!(sealer.open(&bytes[..at]).is_err(), "cut at {at}");
        }
        assert_eq!(Sealer::new(&[8; 32]).unwrap().open(&bytes), Err(Refused::Forged));
        assert_eq!(sealer.open(&[0; LONGEST + 1]), Err(Refused::Oversized));
        assert!(Sealer::new(&[7; 15]).is_err());
        assert!(sealer.seal(&head(), &[0; LONGEST]).is_none());
    }

    #[test]
    fn a_number_is_new_once_whatever_the_order_in_which_they_come() {
        let mut random = fastrand::Rng::with_seed(1);
        let (mut window, mut seen) = (Window::default(), HashSet::new());
        for step in 1..20_000u64 {
            let seq = (step / 2 + random.u64(0..600)).max(1);
            let new = window.is_new(seq);
            assert!(!new || seen.insert(seq), "{seq} twice");
        }
        assert!(seen.len() > 8_000, "{}", seen.len());
        let mut window = Window::default();
        assert!(window.is_new(5_000) && window.is_new(4_500) && !window.is_new(3_900) && !window.is_new(0));
    }
}
