//! What a relay does to the responses of a partner: decisions drawn from a seed, without I/O.

use std::time::Duration;

/// Something that happens to a response on its way to the forwarder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// A second copy follows after a delay between these two.
    CopiedLater(Duration, Duration),
    /// A second copy follows in the same write.
    CopiedAtOnce,
    /// It arrives after a delay between these two.
    Late(Duration, Duration),
    /// It arrives in pieces of a few bytes.
    InPieces,
    /// The connection is reset behind the first line.
    ResetAfterFirstLine,
    /// An unasked `408 Request Timeout` follows after a delay between these two, and the connection is closed.
    UnaskedTimeout(Duration, Duration),
    /// An unasked `200 OK` of another length follows after a delay between these two.
    UnaskedSuccess(Duration, Duration),
    /// An interim response comes before it, and another one behind it.
    Interim,
    /// Bytes that are no response follow in the same write.
    SurplusBytes,
    /// It never arrives, and the connection stays open.
    Dropped,
}

/// One write to the forwarder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Time since the write before it, or since the response arrived at the relay.
    pub after: Duration,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// How the connection goes on after the writes of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It carries the next response.
    Open,
    /// It is closed.
    Closed,
    /// It is reset.
    Reset,
}

/// What becomes of a response: writes before the next response is read, writes beside it, and the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// Writes that the next response waits for.
    pub writes: Vec<Write>,
    /// A write that happens later, whatever the connection carries by then.
    pub later: Option<Write>,
    /// How the connection goes on.
    pub ending: Ending,
}

const PIECE_BYTES: usize = 7;
const PIECE_INTERVAL: Duration = Duration::from_millis(1);
const INTERIM: &[u8] = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
const TIMEOUT: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const SUCCESS: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Draws faults for the responses on one connection.
#[derive(Clone, Debug)]
pub struct ResponseFaults {
    /// Share of responses that something happens to, from 0 to 1.
    share: f64,
    kinds: Vec<ResponseFault>,
    random: fastrand::Rng,
}

impl ResponseFaults {
    /// Draws for this share of responses one of the kinds, each with equal probability.
    pub fn new(seed: u64, share: f64, kinds: &[ResponseFault]) -> ResponseFaults {
        ResponseFaults { share, kinds: kinds.to_vec(), random: fastrand::Rng::with_seed(seed) }
    }

    fn delay(&mut self, min: Duration, max: Duration) -> Duration {
        min + (max - min).mul_f64(self.random.f64())
    }

    /// Decides what becomes of a response, whose first line has this many bytes.
    pub fn deliver(&mut self, response: &[u8], first_line: usize) -> Delivery {
        let now = |bytes: &[u8]| Write { after: Duration::ZERO, bytes: bytes.to_vec() };
        let hit = self.random.f64() < self.share && !self.kinds.is_empty();
        let mut delivery = Delivery { writes: vec![now(response)], later: None, ending: Ending::Open };
        if !hit {
            return delivery;
        }
        match self.kinds[self.random.usize(0..self.kinds.len())] {
            ResponseFault::CopiedLater(min, max) => {
                delivery.later = Some(Write { after: self.delay(min, max), bytes: response.to_vec() });
            }
            ResponseFault::CopiedAtOnce => delivery.writes = vec![now(&response.repeat(2))],
            ResponseFault::Late(min, max) => delivery.writes[0].after = self.delay(min, max),
            ResponseFault::InPieces => {
                let pieces = response.chunks(PIECE_BYTES);
                delivery.writes =
                    pieces.map(|bytes| Write { after: PIECE_INTERVAL, bytes: bytes.to_vec() }).collect();
            }
            ResponseFault::ResetAfterFirstLine => {
                delivery.writes = vec![now(&response[..first_line])];
                delivery.ending = Ending::Reset;
            }
            ResponseFault::UnaskedTimeout(min, max) => {
                delivery.writes.push(Write { after: self.delay(min, max), bytes: TIMEOUT.to_vec() });
                delivery.ending = Ending::Closed;
            }
            ResponseFault::UnaskedSuccess(min, max) => {
                delivery.later = Some(Write { after: self.delay(min, max), bytes: SUCCESS.to_vec() });
            }
            ResponseFault::Interim => delivery.writes = vec![now(INTERIM), now(response), now(INTERIM)],
            ResponseFault::SurplusBytes => delivery.writes = vec![now(&[response, b"surplus"].concat())],
            ResponseFault::Dropped => delivery.writes.clear(),
        }
        delivery
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RESPONSE: &[u8] = b"HTTP/1.1 200 Told\r\nContent-Length: 0\r\n\r\n";
    const FIRST_LINE: usize = 19;
    const MS: Duration = Duration::from_millis(1);

    fn deliver(kind: ResponseFault) -> Delivery {
        ResponseFaults::new(1, 1.0, &[kind]).deliver(RESPONSE, FIRST_LINE)
    }

    #[test]
    fn each_kind_of_fault_is_applied() {
        let copied = deliver(ResponseFault::CopiedLater(MS, 15 * MS));
        let later = copied.later.unwrap();
        assert!(later.bytes == RESPONSE && (MS..15 * MS).contains(&later.after));
        assert_eq!(deliver(ResponseFault::CopiedAtOnce).writes[0].bytes, RESPONSE.repeat(2));
        assert!(deliver(ResponseFault::Late(MS, 2 * MS)).writes[0].after >= MS);
        let pieces = deliver(ResponseFault::InPieces).writes;
        assert_eq!(pieces.iter().flat_map(|w| w.bytes.clone()).collect::<Vec<_>>(), RESPONSE);
        let reset = deliver(ResponseFault::ResetAfterFirstLine);
        assert_eq!(
            (&reset.writes[0].bytes[..], reset.ending),
            (&b"HTTP/1.1 200 Told\r\n"[..], Ending::Reset)
        );
        assert_eq!(deliver(ResponseFault::UnaskedTimeout(MS, MS)).ending, Ending::Closed);
        assert_eq!(deliver(ResponseFault::UnaskedSuccess(MS, MS)).later.unwrap().bytes, SUCCESS);
        assert_eq!(deliver(ResponseFault::Interim).writes.len(), 3);
        assert!(deliver(ResponseFault::SurplusBytes).writes[0].bytes.ends_with(b"surplus"));
        assert!(deliver(ResponseFault::Dropped).writes.is_empty());
    }

    #[test]
    fn the_share_of_faults_is_kept_and_a_seed_repeats_them() {
        let draw = |seed| {
            let mut faults = ResponseFaults::new(seed, 0.2, &[ResponseFault::Dropped]);
            (0..1_000).map(|_| faults.deliver(RESPONSE, FIRST_LINE).writes.is_empty()).collect::<Vec<bool>>()
        };
        assert_eq!(draw(7), draw(7));
        assert!((150..250).contains(&draw(7).iter().filter(|hit| **hit).count()));
    }
}
