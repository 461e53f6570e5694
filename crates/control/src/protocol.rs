//! What is asked and answered. Spans are milliseconds, times Unix time in microseconds.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Version of the protocol. A request names it; another one is refused with this one told.
pub const VERSION: u32 = 1;
/// Lines of a list that one answer has at most.
pub const MAX_LIST_ENTRIES: u32 = 1000;

/// A request: one line.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Request {
    /// [`VERSION`].
    pub v: u32,
    /// Comes back with the answer, whatever it is.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub id: Value,
    /// What is asked.
    #[serde(flatten)]
    pub command: ControlCommand,
}

/// What can be asked, by the field `ask`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case")]
pub enum ControlCommand {
    /// Figures of the whole.
    Status,
    /// Every partner.
    Partners,
    /// Every endpoint.
    Endpoints,
    /// What is held, by partner and key, the longest first.
    Queues {
        /// Of one partner only.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        partner: Option<String>,
        /// Lines at most; [`MAX_LIST_ENTRIES`] if not given.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        most: Option<u32>,
    },
    /// Attempts that failed lately, the latest first.
    Failures {
        /// Lines at most.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        most: Option<u32>,
    },
    /// One message's history.
    Message {
        /// Its `X-Request-Id`.
        message: String,
    },
    /// From now on, status, partners and endpoints each time that they have changed.
    Subscribe {
        /// Not more often than this; 1000 if not given, 200 at the least.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        every_ms: Option<u32>,
        /// Also what happens, each once and at once, as `event`.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        events: bool,
    },
    /// An order: a new endpoint of a partner.
    Add {
        /// The partner.
        partner: String,
        /// The new endpoint's name.
        endpoint: String,
        /// Where it listens: address and port.
        address: String,
    },
    /// An order: nothing new goes to an endpoint.
    Drain {
        /// Its name.
        endpoint: String,
    },
    /// An order: a drained endpoint, or a paused partner, is called again. One of the two.
    Resume {
        /// The endpoint's name.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        endpoint: Option<String>,
        /// The partner's name.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        partner: Option<String>,
    },
    /// An order: an endpoint is no more. Calls that are out to it may end.
    Remove {
        /// Its name.
        endpoint: String,
    },
    /// An order: nothing new goes to a partner. Messages for it are taken on and wait, up to their deadlines.
    Pause {
        /// Its name.
        partner: String,
    },
    /// Clients by address, the busiest first, with what is blocked and which floods there were.
    Clients {
        /// Lines at most; [`MAX_LIST_ENTRIES`] if not given.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        most: Option<u32>,
    },
    /// An order: nobody of an address or network is let in for a while. It outlives the process.
    Block {
        /// An address, or a network as `192.0.2.0/24`.
        network: String,
        /// For so long, 30 days at most.
        for_ms: u64,
    },
    /// An order: a block ends.
    Unblock {
        /// As it was blocked.
        network: String,
    },
    /// The other forwarders of the site, and how they stand.
    Peers,
    /// What was ordered anywhere on the site and holds, with who said it.
    State,
    /// An order: the process ends, once what is out has ended or its time is up.
    Stop,
}

/// An answer, or a push of a subscription: one line.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// [`VERSION`].
    pub v: u32,
    /// As in the request.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub id: Value,
    /// What is answered.
    #[serde(flatten)]
    pub response: ControlResponse,
}

/// What can be answered, by the name of the one field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlResponse {
    /// Figures of the whole.
    Status(Box<Status>),
    /// Every partner.
    Partners(Vec<Partner>),
    /// Every endpoint.
    Endpoints(Vec<Endpoint>),
    /// What is held.
    Queues(Vec<Queue>),
    /// Attempts that failed.
    Failures(Vec<Failure>),
    /// One message.
    Message(Box<Message>),
    /// Clients.
    Clients(Box<Clients>),
    /// The other forwarders.
    Peers(Box<Peers>),
    /// What was ordered and holds.
    State(Box<SiteState>),
    /// An order has been carried out, and outlives the process and the power.
    Done(OrderResult),
    /// A push: all that a subscription shows.
    Changed {
        /// Figures of the whole.
        status: Box<Status>,
        /// Every partner.
        partners: Vec<Partner>,
        /// Every endpoint.
        endpoints: Vec<Endpoint>,
    },
    /// A push, for subscribers that want events.
    Event(Event),
    /// Refused, or not understood. Nothing has changed.
    Error(Error),
}

/// Something that has happened.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// When.
    pub at: u64,
    /// A word for programs: `flood_began`, `flood_ended`, `missed` (the subscriber was too slow for so many).
    pub kind: String,
    /// The client's address that it is about, where it is one.
    pub address: String,
    /// A sentence for people.
    pub text: String,
}

/// Why something was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// A word for programs: `version`, `unreadable`, `too_long`, `refused`, `not_kept`, `unknown_message`, `busy`.
    pub code: String,
    /// A sentence for people.
    pub text: String,
}

/// What an order has come to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResult {
    /// False if things were so already.
    pub changed: bool,
    /// Statements in the membership log so far.
    pub version: u64,
    /// Calls that are still out to what the order names.
    pub calls: u32,
    /// Messages that are held for its partner.
    pub held: u32,
    /// Other forwarders of the site that have it on disk by now, and how many others there are; 0 of 0 where this one is
    /// alone.
    #[serde(default, skip_serializing_if = "is_none")]
    pub copies: u32,
    /// See `copies`.
    #[serde(default, skip_serializing_if = "is_none")]
    pub others: u32,
}

fn is_none(number: &u32) -> bool {
    *number == 0
}

/// The forwarders of a site, as one of them sees them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Peers {
    /// This one's name, and its start number.
    pub name: String,
    /// See `name`.
    pub start: u64,
    /// `caught_up`, `catching_up`, `alone` (it has waited long enough for others) or `displaced` (another process has
    /// taken its name: it takes no part any more).
    pub mode: String,
    /// Forwarders that are there, this one included, of how many; and how many are a majority.
    pub there: u32,
    /// See `there`.
    pub members: u32,
    /// See `there`.
    pub majority: u32,
    /// The others.
    pub others: Vec<Peer>,
    /// Datagrams and bytes since the start, out and in.
    pub sent: u64,
    /// See `sent`.
    pub sent_bytes: u64,
    /// See `sent`.
    pub received: u64,
    /// See `sent`.
    pub received_bytes: u64,
    /// Datagrams that were dropped, by why: `forged`, `replayed`, `stale`, `stranger`, `foreign`, `oversized`, `unreadable`,
    /// `crowded`.
    pub dropped: BTreeMap<String, u64>,
    /// Ids that are remembered, and whether it knows all that it let in: only then its word on them counts.
    pub ids: u32,
    /// See `ids`.
    pub ids_known: bool,
    /// What could not be kept on disk yet; empty if all is.
    pub unkept: String,
}

/// Another forwarder.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// `up`, `suspect`, `down`, or `unknown` (not heard of since this process started).
    pub standing: String,
    /// For how long.
    pub for_ms: u64,
    /// Its start number, 0 if it was never heard of.
    pub start: u64,
    /// How long ago it was heard of; none if not since this process started.
    pub heard_ms: Option<u64>,
    /// How long ago its state was found to be the same as here; none if not yet.
    pub same_ms: Option<u64>,
}

/// What was ordered on a site and holds, as one forwarder has it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SiteState {
    /// Whose picture it is.
    pub name: String,
    /// A number that two forwarders share if they have the same.
    pub digest: String,
    /// Statements that hold; those of a subject that are more than one contradict each other.
    pub statements: Vec<Statement>,
}

/// A statement.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Statement {
    /// `endpoint`, `partner` or `network`, and its name.
    pub kind: String,
    /// See `kind`.
    pub subject: String,
    /// `close`, `open`, `add` or `remove`.
    pub word: String,
    /// Whether it is the one that counts here.
    pub holds: bool,
    /// Its name: forwarder, start number and place.
    pub id: String,
    /// When, by the clock of the forwarder that it was said to, Unix time in microseconds.
    pub at: u64,
    /// What it has superseded.
    pub over: Vec<String>,
    /// For `add`: whose it is, and where.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

/// Figures of the whole. Counts are since the process started.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// The site's name.
    pub name: String,
    /// The program's version.
    pub program: String,
    /// Process id.
    pub pid: u32,
    /// Time of the picture.
    pub at: u64,
    /// How long the process has been up.
    pub up_ms: u64,
    /// `serving`, `draining` (told to end) or `closing`.
    pub stage: String,
    /// Messages taken on.
    pub taken: u64,
    /// Messages turned away before they were taken on.
    pub refused: u64,
    /// Ended as delivered.
    pub delivered: u64,
    /// Ended as given up.
    pub given_up: u64,
    /// Ended as in doubt.
    pub in_doubt: u64,
    /// Ended as handed back.
    pub handed_back: u64,
    /// Attempts that failed.
    pub failures: u64,
    /// Messages held now, their bytes, and the bound of either.
    pub held: u32,
    /// See `held`.
    pub held_most: u32,
    /// See `held`.
    pub held_bytes: u64,
    /// See `held`.
    pub held_bytes_most: u64,
    /// Calls out, and their bound.
    pub calls: u32,
    /// See `calls`.
    pub calls_most: u32,
    /// Age of the oldest message that is held.
    pub oldest_ms: u64,
    /// Bytes in the journal's file, and their bound.
    pub journal_bytes: u64,
    /// See `journal_bytes`.
    pub journal_most: u64,
    /// Ends kept, those of them that nobody has acknowledged, and their bound.
    pub ends: u64,
    /// See `ends`.
    pub ends_unfetched: u64,
    /// See `ends`.
    pub ends_most: u64,
    /// Bytes of the ends' files, and their bound.
    pub ends_bytes: u64,
    /// See `ends_bytes`.
    pub ends_bytes_most: u64,
    /// Ends that could not be written yet: the disk is full, say.
    pub ends_unwritten: u32,
    /// Statements in the membership log.
    pub membership: u64,
    /// Longest round of the loop since the last picture, in microseconds.
    pub longest_round_us: u64,
}

/// A partner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Partner {
    /// Its name.
    pub name: String,
    /// Its kind.
    pub kind: String,
    /// An order has paused it.
    pub paused: bool,
    /// `up`, `failing`, `out` (single trials), `warming` (slow start), `closed` (paused, or no endpoint may be called).
    pub health: String,
    /// The verdict on it and what that rests on, in a sentence for people.
    pub verdict: String,
    /// Smoothed share of calls that fail, 0 to 1.
    pub failing: f64,
    /// How much of the evidence that being `out` takes there is, 0 to 1 and a little more.
    pub towards_out: f64,
    /// How long `health` has stood; for `up` since the last failure. 0 if there was none.
    pub stood_ms: u64,
    /// Endpoints.
    pub endpoints: u32,
    /// Those of them that may be called.
    pub open: u32,
    /// Messages held for it.
    pub held: u32,
    /// Age of the oldest of them.
    pub oldest_ms: u64,
    /// Calls out.
    pub calls: u32,
    /// Calls that may be out at once, as learned.
    pub window: f64,
    /// Time after which a repeatable message is sent again, 0 until it is trusted.
    pub tau_ms: f64,
    /// Mean answer time.
    pub mean_ms: f64,
    /// Rest of a wait that it has told.
    pub wait_ms: u64,
    /// Calls a second that are sent at most, 0 without limit.
    pub pace: f64,
    /// The rate that the site file names, 0 for none.
    pub rate: f64,
    /// Calls out at once by the site file, 0 for none.
    pub slots: u32,
    /// Messages delivered to it since the start.
    pub delivered: u64,
    /// Attempts that failed since the start.
    pub failures: u64,
}

/// An endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Endpoint {
    /// Its name.
    pub name: String,
    /// Its partner.
    pub partner: String,
    /// Where it listens.
    pub address: String,
    /// `active`, `draining` (by an order), `paused` (its partner is).
    pub state: String,
    /// As of a partner; `drained` once it is draining or paused and no call is out.
    pub health: String,
    /// As of a partner, for its way.
    pub verdict: String,
    /// As of a partner, for its way.
    pub failing: f64,
    /// As of a partner, for its way.
    pub towards_out: f64,
    /// As of a partner, for its way.
    pub stood_ms: u64,
    /// Calls out to it.
    pub calls: u32,
    /// Calls that may be out at once on its way, which it may share with others of its partner.
    pub window: f64,
    /// Resend point of its way, 0 until it is trusted.
    pub tau_ms: f64,
    /// Rest of a wait that was told on its way.
    pub wait_ms: u64,
    /// Others are taken first for so long: it has failed lately.
    pub avoided_ms: u64,
    /// Connections that stand idle, and that are being opened ahead of demand.
    pub idle: u32,
    /// See `idle`.
    pub dialling: u32,
    /// Share of the calls that waited for no handshake, 0 to 1.
    pub ready: f64,
    /// How long a handshake takes.
    pub handshake_ms: f64,
    /// How long a connection may stand idle and be used again, as learned.
    pub idle_most_ms: u64,
    /// Since the order that closed it, if that came in this process; 0 otherwise.
    pub closed_ms: u64,
}

/// Who hands messages in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Clients {
    /// By address, the busiest first.
    pub clients: Vec<ClientStats>,
    /// What is blocked, and for how many milliseconds yet.
    pub blocks: Vec<(String, u64)>,
    /// Floods since the start, a line each, the latest first.
    pub floods: Vec<String>,
    /// Descriptors: who holds how many, and may hold at the moment.
    pub descriptors: Vec<DescriptorUsage>,
    /// Connections that were let go of and are not closed yet.
    pub lingering: u32,
    /// The listener's sockets in the kernel by their state; none where the system does not tell.
    pub kernel: Option<KernelSockets>,
}

/// Descriptors of a party.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DescriptorUsage {
    /// `clients`, `calls`, `control`.
    pub party: String,
    /// What it holds.
    pub held: u32,
    /// What it may hold as long as the others hold what they do.
    pub most: u32,
}

/// TCP sockets of the listener's port by state (RFC 9293). Those in TIME-WAIT take no descriptor, but a port and memory of the
/// kernel.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KernelSockets {
    /// SYN-RECEIVED.
    pub half_open: u32,
    /// ESTABLISHED.
    pub established: u32,
    /// The peer has closed its side, and this one has not: CLOSE-WAIT, LAST-ACK.
    pub half_closed: u32,
    /// Closed here, and not yet by the peer: FIN-WAIT-1 and -2, CLOSING.
    pub closing: u32,
    /// TIME-WAIT.
    pub time_wait: u32,
}

/// An address that hands messages in. Counts are since it was first seen, or since it was forgotten.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClientStats {
    /// The address.
    pub address: String,
    /// `by name`, `earned` (by messages taken on lately), `no`.
    pub known: String,
    /// Connections now.
    pub connections: u32,
    /// Requests open now.
    pub requests: u32,
    /// Requests.
    pub asked: u64,
    /// Messages taken on.
    pub taken: u64,
    /// Requests refused because its share was used up.
    pub refused: u64,
    /// Connections turned away.
    pub turned_away: u64,
    /// Requests a second.
    pub rate: f64,
    /// What part that is of all requests, 0 to 1.
    pub part: f64,
    /// It is held to flood.
    pub floods: bool,
}

/// What is held of a key of a partner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Queue {
    /// The partner.
    pub partner: String,
    /// The key; empty for messages without.
    pub key: String,
    /// Messages.
    pub held: u32,
    /// Age of the oldest.
    pub oldest_ms: u64,
}

/// An attempt that failed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Failure {
    /// When its outcome came.
    pub at: u64,
    /// The message.
    pub message: String,
    /// Its class.
    pub class: String,
    /// The partner.
    pub partner: String,
    /// The endpoint.
    pub endpoint: String,
    /// Which attempt of the message, from 1.
    pub attempt: u32,
    /// See [`Attempt::outcome`].
    pub outcome: String,
    /// It ran, or nobody can tell.
    pub may_have_run: bool,
    /// Why there was no connection, in words; empty if there was one.
    pub cause: String,
    /// What was done about it: `waits`, `sent again`, or how the message ended.
    pub then: String,
}

/// An attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Attempt {
    /// When it began.
    pub at: u64,
    /// When its outcome came; 0 if it is out, or was when a process ended.
    pub until: u64,
    /// The endpoint.
    pub endpoint: String,
    /// `out`, `ok`, `error`, `full`, `timed out`, `not connected`, `reset`, `cancelled`, `spoilt`, `not sent`; of an
    /// earlier process `lost` (no outcome), `did not run` or `may have run`.
    pub outcome: String,
    /// It ran, or nobody can tell.
    pub may_have_run: bool,
}

/// One message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Message {
    /// Its `X-Request-Id`.
    pub id: String,
    /// `held`, `delivered`, `given_up`, `in_doubt` or `handed_back`.
    pub state: String,
    /// Its class.
    pub class: String,
    /// Its partner.
    pub partner: String,
    /// The key of its order.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub key: String,
    /// When it was taken on.
    pub taken: u64,
    /// When it will be given up, if it is held.
    #[serde(skip_serializing_if = "is_zero")]
    pub expires: u64,
    /// When it ended, if it has.
    #[serde(skip_serializing_if = "is_zero")]
    pub ended: u64,
    /// For `handed_back`: when to come again.
    #[serde(skip_serializing_if = "is_zero")]
    pub retry_in_ms: u64,
    /// For `handed_back`, where an attempt may have run: handed in again later than this it is refused with 409, since its
    /// partner may have forgotten it by then.
    #[serde(skip_serializing_if = "is_zero")]
    pub harmless_until: u64,
    /// Its attempts.
    pub attempts: Vec<Attempt>,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

impl Reply {
    /// A refusal.
    pub fn error(id: Value, code: &str, text: impl Into<String>) -> Reply {
        Reply {
            v: VERSION,
            id,
            response: ControlResponse::Error(Error { code: code.into(), text: text.into() }),
        }
    }

    /// The line, with its end.
    pub fn to_line(&self) -> String {
        // Only maps with keys that are no texts can't be written, and there is none.
        let text = serde_json::to_string(self).unwrap_or_default();
        format!("{text}\n")
    }
}

/// Reads a request.
///
/// # Errors
/// The refusal to answer with.
pub fn parse_request(line: &str) -> Result<Request, Box<Reply>> {
    let refuse = |id, code: &str, text: String| Box::new(Reply::error(id, code, text));
    let value: Value = serde_json::from_str(line)
        .map_err(|e| refuse(Value::Null, "unreadable", format!("no JSON object in a line: {e}")))?;
    let id = value.get("id").cloned().unwrap_or_default();
    match value.get("v").and_then(Value::as_u64) {
        Some(v) if v == u64::from(VERSION) => {}
        Some(v) => {
            return Err(refuse(id, "version", format!("version {v} is not spoken here, {VERSION} is")))
        }
        None => return Err(refuse(id, "version", format!("a request names its version: \"v\":{VERSION}"))),
    }
    serde_json::from_value(value).map_err(|e| refuse(id, "unreadable", e.to_string()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn requests_are_read_or_refused_with_their_id() {
        let request = parse_request(r#"{"v":1,"id":7,"ask":"drain","endpoint":"a"}"#).unwrap();
        assert_eq!((request.command, request.id), (ControlCommand::Drain { endpoint: "a".into() }, 7.into()));
        assert_eq!(
            parse_request(r#"{"v":1,"ask":"queues"}"#).unwrap().command,
            ControlCommand::Queues { partner: None, most: None }
        );
        let code = |line: &str| match parse_request(line).unwrap_err().response {
            ControlResponse::Error(error) => error.code,
            told => panic!("{told:?}"),
        };
        assert_eq!(code(r#"{"v":2,"ask":"status"}"#), "version");
        assert_eq!(code(r#"{"ask":"status"}"#), "version");
        for line in ["", "7", "{}x", r#"{"v":1}"#, r#"{"v":1,"ask":"fly"}"#, r#"{"v":1,"ask":"drain"}"#] {
            assert!(["unreadable", "version"].contains(&code(line).as_str()), "{line}");
        }
        let reply = parse_request(r#"{"v":9,"id":"mine","ask":"status"}"#).unwrap_err();
        assert!(reply.to_line().contains("\"mine\""));
    }

    #[test]
    fn a_reply_names_what_it_tells_and_is_read_again() {
        let reply =
            Reply { v: VERSION, id: 3.into(), response: ControlResponse::Queues(vec![Queue::default()]) };
        let line = reply.to_line();
        assert!(line.starts_with(r#"{"v":1,"id":3,"queues":[{"#) && line.ends_with("]}\n"), "{line}");
        let again: Reply = serde_json::from_str(&line).unwrap();
        assert_eq!(again.response, reply.response);
    }

    proptest! {
        #[test]
        fn no_line_brings_the_reader_down(line in ".{0,80}") {
            let _ = parse_request(&line);
        }
    }
}
