//! Messages of the control protocol. Fields that end in `_ms` are durations in milliseconds; points in time are Unix time
//! in microseconds.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Version of the protocol. Every request names one; a request with any other version is refused with an error that
/// names this one.
pub const VERSION: u32 = 1;
/// Maximum number of entries of a list in one reply.
pub const MAX_LIST_ENTRIES: u32 = 1000;

/// A request, sent as one line of JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Request {
    /// Protocol version, [`VERSION`].
    pub v: u32,
    /// Correlation id, any JSON value; the reply carries the same one.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub id: Value,
    /// The command, flattened into the request.
    #[serde(flatten)]
    pub command: ControlCommand,
}

/// A command, selected by the JSON field `ask`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case")]
pub enum ControlCommand {
    /// Returns the state and the counters of the process.
    Status,
    /// Returns all partners.
    Partners,
    /// Returns all endpoints.
    Endpoints,
    /// Returns the held messages, counted by partner and order key, the longest queue first.
    Queues {
        /// Restricts the list to one partner.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        partner: Option<String>,
        /// Maximum number of entries; [`MAX_LIST_ENTRIES`] by default.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        most: Option<u32>,
    },
    /// Returns the recent failed attempts, the latest first.
    Failures {
        /// Maximum number of entries.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        most: Option<u32>,
    },
    /// Returns the state and the attempts of one message.
    Message {
        /// The message's `X-Request-Id`.
        message: String,
    },
    /// Subscribes the connection to status, partners and endpoints, which are pushed whenever they have changed.
    Subscribe {
        /// Minimum time between two pushes; 1000 by default, at least 200.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        every_ms: Option<u32>,
        /// Also pushes each event as soon as it occurs, as `event`.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        events: bool,
    },
    /// Order: adds an endpoint to a partner.
    Add {
        /// The partner's name.
        partner: String,
        /// The new endpoint's name.
        endpoint: String,
        /// The address and port that the endpoint listens on.
        address: String,
    },
    /// Order: drains an endpoint; no new calls are sent to it.
    Drain {
        /// The endpoint's name.
        endpoint: String,
    },
    /// Order: resumes calls to a drained endpoint or a paused partner. Exactly one of the two must be given.
    Resume {
        /// The endpoint's name.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        endpoint: Option<String>,
        /// The partner's name.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        partner: Option<String>,
    },
    /// Order: removes an endpoint. Calls in flight to it may finish.
    Remove {
        /// The endpoint's name.
        endpoint: String,
    },
    /// Order: pauses a partner; no new calls are sent to it. Messages for it are still accepted and wait, up to their
    /// deadlines.
    Pause {
        /// The partner's name.
        partner: String,
    },
    /// Returns the clients by address, the busiest first, together with blocked networks and recorded floods.
    Clients {
        /// Maximum number of entries; [`MAX_LIST_ENTRIES`] by default.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        most: Option<u32>,
    },
    /// Order: refuses connections from an address or network for a limited time. The block survives a restart.
    Block {
        /// An address, or a network such as `192.0.2.0/24`.
        network: String,
        /// Duration of the block, at most 30 days.
        for_ms: u64,
    },
    /// Order: lifts a block.
    Unblock {
        /// The address or network, written as in the block.
        network: String,
    },
    /// Returns the other forwarders of the site and their membership status.
    Peers,
    /// Returns the orders in force on the site, given at any forwarder, with their origin.
    State,
    /// Order: stops the process once the calls in flight have finished or the shutdown time limit is reached.
    Stop,
}

/// A reply to a request, or a push of a subscription, sent as one line of JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// Protocol version, [`VERSION`].
    pub v: u32,
    /// Correlation id of the request.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub id: Value,
    /// The response, flattened into the reply.
    #[serde(flatten)]
    pub response: ControlResponse,
}

/// A response. Its variant is the name of the one JSON field that holds its content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlResponse {
    /// State and counters of the process.
    Status(Box<Status>),
    /// All partners.
    Partners(Vec<Partner>),
    /// All endpoints.
    Endpoints(Vec<Endpoint>),
    /// Held messages, counted by partner and order key.
    Queues(Vec<Queue>),
    /// Recent failed attempts.
    Failures(Vec<Failure>),
    /// State and attempts of one message.
    Message(Box<Message>),
    /// Clients, blocks and descriptors.
    Clients(Box<Clients>),
    /// The other forwarders of the site.
    Peers(Box<Peers>),
    /// The orders in force on the site.
    State(Box<SiteState>),
    /// An order has been carried out and persisted: it survives a crash of the process and a power failure.
    Done(OrderResult),
    /// Push of a subscription: the complete new state.
    Changed {
        /// State and counters of the process.
        status: Box<Status>,
        /// All partners.
        partners: Vec<Partner>,
        /// All endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// Push of an event, for subscribers that requested events.
    Event(Event),
    /// The request was refused or could not be parsed. Nothing has changed.
    Error(Error),
}

/// An event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// Time of the event.
    pub at: u64,
    /// Machine-readable kind: `flood_began`, `flood_ended`, `missed` (the subscriber read too slowly and lost events).
    pub kind: String,
    /// Address of the client concerned; empty if the event concerns no single client.
    pub address: String,
    /// Human-readable description.
    pub text: String,
}

/// Why a request was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Machine-readable code: `version`, `unreadable`, `too_long`, `refused`, `not_kept` (it could not be persisted),
    /// `unknown_message`, `busy`.
    pub code: String,
    /// Human-readable description.
    pub text: String,
}

/// Result of an order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResult {
    /// Whether the order changed anything; false if its state was already in force.
    pub changed: bool,
    /// Number of statements in the membership log.
    pub version: u64,
    /// Calls still in flight to the endpoint or partner of the order.
    pub calls: u32,
    /// Messages held for the partner of the order.
    pub held: u32,
    /// Number of other forwarders of the site that have persisted the order by now. `others` is how many other forwarders
    /// there are; both are 0 where this forwarder runs alone.
    #[serde(default, skip_serializing_if = "is_zero_u32")]
    pub copies: u32,
    /// Number of other forwarders of the site; see `copies`.
    #[serde(default, skip_serializing_if = "is_zero_u32")]
    pub others: u32,
}

fn is_zero_u32(number: &u32) -> bool {
    *number == 0
}

/// The forwarders of a site, as seen by one of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Peers {
    /// Name of this forwarder.
    pub name: String,
    /// Start number of this forwarder, which grows with every start.
    pub start: u64,
    /// `caught_up`, `catching_up`, `alone` (it has stopped waiting for others) or `displaced` (another
    /// process has taken its name, and this one no longer takes part).
    pub mode: String,
    /// Number of reachable forwarders, this one included.
    pub there: u32,
    /// Number of forwarders configured for the site, this one included.
    pub members: u32,
    /// Number of forwarders that make a quorum.
    pub majority: u32,
    /// The other forwarders.
    pub others: Vec<Peer>,
    /// Datagrams sent since the process started.
    pub sent: u64,
    /// Bytes sent since the process started.
    pub sent_bytes: u64,
    /// Datagrams received since the process started.
    pub received: u64,
    /// Bytes received since the process started.
    pub received_bytes: u64,
    /// Dropped datagrams by reason: `forged`, `replayed`, `stale`, `stranger`, `foreign`, `oversized`, `unreadable`,
    /// `crowded`.
    pub dropped: BTreeMap<String, u64>,
    /// Number of message ids that this forwarder remembers.
    pub ids: u32,
    /// Whether it remembers every id that it has accepted; only then do its answers about ids count.
    pub ids_known: bool,
    /// The error that keeps orders from being persisted; empty if all are on disk.
    pub unkept: String,
}

/// Another forwarder of the site.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Membership status: `up`, `suspect`, `down`, or `unknown` (no word of it since this process started).
    pub standing: String,
    /// How long it has had this status.
    pub for_ms: u64,
    /// Its start number; 0 if it has never been heard of.
    pub start: u64,
    /// Time since it was last heard of; none if not since this process started.
    pub heard_ms: Option<u64>,
    /// Time since its state last matched the state of this forwarder; none if it has not yet.
    pub same_ms: Option<u64>,
}

/// The orders in force on a site, as known to one forwarder.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SiteState {
    /// Name of the forwarder that reports this state.
    pub name: String,
    /// Digest of the state; it is equal on two forwarders that have the same state.
    pub digest: String,
    /// Statements that no other statement supersedes. Several statements about one subject contradict each other.
    pub statements: Vec<Statement>,
}

/// One order about one subject.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Statement {
    /// Kind of the subject: `endpoint`, `partner` or `network`.
    pub kind: String,
    /// Name of the subject.
    pub subject: String,
    /// The action: `close`, `open`, `add` or `remove`.
    pub word: String,
    /// Whether this statement takes effect; of several that contradict each other, one does.
    pub holds: bool,
    /// Id of the statement: forwarder, start number and sequence number.
    pub id: String,
    /// When the order was given, by the clock of the forwarder that received it.
    pub at: u64,
    /// Ids of the statements that this one supersedes.
    pub over: Vec<String>,
    /// For `add`: the partner and the address of the endpoint.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

/// State and counters of the process. Counters start at 0 when the process starts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Status {
    /// The site's name.
    pub name: String,
    /// The program's version.
    pub program: String,
    /// Process id.
    pub pid: u32,
    /// Time of the snapshot.
    pub at: u64,
    /// Time since the process started.
    pub up_ms: u64,
    /// `serving`, `draining` (the process was told to stop) or `closing`.
    pub stage: String,
    /// Messages accepted.
    pub taken: u64,
    /// Messages refused at intake.
    pub refused: u64,
    /// Messages finished as delivered.
    pub delivered: u64,
    /// Messages finished as given up.
    pub given_up: u64,
    /// Messages finished as in doubt.
    pub in_doubt: u64,
    /// Messages finished as handed back.
    pub handed_back: u64,
    /// Failed attempts.
    pub failures: u64,
    /// Messages currently held.
    pub held: u32,
    /// Limit of `held`.
    pub held_most: u32,
    /// Bytes of the messages currently held.
    pub held_bytes: u64,
    /// Limit of `held_bytes`.
    pub held_bytes_most: u64,
    /// Calls in flight.
    pub calls: u32,
    /// Limit of `calls`.
    pub calls_most: u32,
    /// Age of the oldest held message.
    pub oldest_ms: u64,
    /// Size of the journal on disk, in bytes.
    pub journal_bytes: u64,
    /// Limit of `journal_bytes`.
    pub journal_most: u64,
    /// Stored outcomes.
    pub ends: u64,
    /// Stored outcomes that no client has acknowledged.
    pub ends_unfetched: u64,
    /// Limit of `ends`.
    pub ends_most: u64,
    /// Size of the outcome files, in bytes.
    pub ends_bytes: u64,
    /// Limit of `ends_bytes`.
    pub ends_bytes_most: u64,
    /// Outcomes that could not be written yet, for example because the disk is full.
    pub ends_unwritten: u32,
    /// Number of statements in the membership log.
    pub membership: u64,
    /// Longest iteration of the event loop since the previous snapshot, in microseconds.
    pub longest_round_us: u64,
}

/// A partner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Partner {
    /// Its name.
    pub name: String,
    /// Its kind in the site file.
    pub kind: String,
    /// Whether it is paused by an order.
    pub paused: bool,
    /// `up`, `failing`, `out` (only single probes are sent), `warming` (slow start) or `closed` (paused, or no endpoint
    /// may be called).
    pub health: String,
    /// Human-readable health verdict with its evidence.
    pub verdict: String,
    /// Smoothed share of failing calls, 0 to 1.
    pub failing: f64,
    /// Share of the evidence needed to be reported as `out` that has been collected; it may slightly exceed 1.
    pub towards_out: f64,
    /// Time since `health` last changed; for `up`, time since the last failure, 0 if there was none.
    pub stood_ms: u64,
    /// Number of endpoints.
    pub endpoints: u32,
    /// Number of endpoints that may be called.
    pub open: u32,
    /// Messages held for it.
    pub held: u32,
    /// Age of the oldest held message.
    pub oldest_ms: u64,
    /// Calls in flight.
    pub calls: u32,
    /// Learned limit of concurrent calls.
    pub window: f64,
    /// Time after which a repeatable message is sent again (tau); 0 until the estimate is reliable.
    pub tau_ms: f64,
    /// Mean response time.
    pub mean_ms: f64,
    /// Remaining time of the retry-after that the partner requested.
    pub wait_ms: u64,
    /// Current limit of calls per second; 0 without a limit.
    pub pace: f64,
    /// Rate limit of the site file in messages per second; 0 if none is set.
    pub rate: f64,
    /// Limit of concurrent calls of the site file; 0 if none is set.
    pub slots: u32,
    /// Messages delivered to it since the process started.
    pub delivered: u64,
    /// Failed attempts since the process started.
    pub failures: u64,
}

/// An endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Endpoint {
    /// Its name.
    pub name: String,
    /// Name of its partner.
    pub partner: String,
    /// The address and port that it listens on.
    pub address: String,
    /// `active`, `draining` (by an order) or `paused` (its partner is paused).
    pub state: String,
    /// As [`Partner::health`], and `drained` once it is draining or paused and no call is in flight.
    pub health: String,
    /// As [`Partner::verdict`], for the endpoint's route.
    pub verdict: String,
    /// As [`Partner::failing`], for the endpoint's route.
    pub failing: f64,
    /// As [`Partner::towards_out`], for the endpoint's route.
    pub towards_out: f64,
    /// As [`Partner::stood_ms`], for the endpoint's route.
    pub stood_ms: u64,
    /// Calls in flight to it.
    pub calls: u32,
    /// Learned limit of concurrent calls of its route, which it may share with other endpoints of its partner.
    pub window: f64,
    /// Resend point (tau) of its route; 0 until the estimate is reliable.
    pub tau_ms: f64,
    /// Remaining time of the retry-after that was requested on its route.
    pub wait_ms: u64,
    /// How much longer other endpoints are preferred because this one failed recently.
    pub avoided_ms: u64,
    /// Idle connections.
    pub idle: u32,
    /// Connections being opened ahead of demand.
    pub dialling: u32,
    /// Share of calls that did not have to wait for a handshake, 0 to 1.
    pub ready: f64,
    /// Duration of a handshake.
    pub handshake_ms: f64,
    /// Learned limit of the time that a connection may be idle and still be reused.
    pub idle_most_ms: u64,
    /// Time since the order that closed it, if this process received that order; 0 otherwise.
    pub closed_ms: u64,
}

/// The clients that submit messages, and the resources of the listener.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Clients {
    /// Clients by address, the busiest first.
    pub clients: Vec<ClientStats>,
    /// Blocked networks, each with the remaining time in milliseconds.
    pub blocks: Vec<(String, u64)>,
    /// Floods since the process started, one line of text each, the latest first.
    pub floods: Vec<String>,
    /// Current use of file descriptors by each party.
    pub descriptors: Vec<DescriptorUsage>,
    /// Connections that the forwarder has given up and that are not closed yet.
    pub lingering: u32,
    /// The listener's sockets in the kernel, by state; none where the system does not report them.
    pub kernel: Option<KernelSockets>,
}

/// Use of file descriptors by one party.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DescriptorUsage {
    /// `clients`, `calls` or `control`.
    pub party: String,
    /// Number of descriptors in use.
    pub held: u32,
    /// Number of descriptors that it may use, given the current use of the others.
    pub most: u32,
}

/// TCP sockets of the listener's port by state (RFC 9293). Sockets in TIME-WAIT use no descriptor, but a port and kernel
/// memory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KernelSockets {
    /// SYN-RECEIVED.
    pub half_open: u32,
    /// ESTABLISHED.
    pub established: u32,
    /// Closed by the peer and not yet on this side: CLOSE-WAIT, LAST-ACK.
    pub half_closed: u32,
    /// Closed on this side and not yet by the peer: FIN-WAIT-1, FIN-WAIT-2, CLOSING.
    pub closing: u32,
    /// TIME-WAIT.
    pub time_wait: u32,
}

/// A client address that submits messages. Counters start at 0 when the address is first seen, and again after it has been
/// forgotten.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClientStats {
    /// The address.
    pub address: String,
    /// Whether the client is known: `by name` (in the site file), `earned` (by recently accepted messages) or `no`.
    pub known: String,
    /// Open connections.
    pub connections: u32,
    /// Requests in progress.
    pub requests: u32,
    /// Requests received.
    pub asked: u64,
    /// Messages accepted.
    pub taken: u64,
    /// Requests refused because the client's share was used up.
    pub refused: u64,
    /// Connections refused.
    pub turned_away: u64,
    /// Requests per second.
    pub rate: f64,
    /// Share of all requests, 0 to 1.
    pub part: f64,
    /// Whether the client is considered to be flooding.
    pub floods: bool,
}

/// The messages held for one order key of a partner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Queue {
    /// Name of the partner.
    pub partner: String,
    /// The order key; empty for messages without one.
    pub key: String,
    /// Number of held messages.
    pub held: u32,
    /// Age of the oldest held message.
    pub oldest_ms: u64,
}

/// A failed attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Failure {
    /// Time of the outcome.
    pub at: u64,
    /// Id of the message.
    pub message: String,
    /// Class of the message.
    pub class: String,
    /// Name of the partner.
    pub partner: String,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Number of the attempt of the message, from 1.
    pub attempt: u32,
    /// See [`Attempt::outcome`].
    pub outcome: String,
    /// Whether the attempt ran at the partner or may have run.
    pub may_have_run: bool,
    /// Why no connection was made, as text; empty if there was one.
    pub cause: String,
    /// What followed: `waits`, `sent again`, or the outcome of the message.
    pub then: String,
}

/// An attempt to deliver a message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Attempt {
    /// Start time.
    pub at: u64,
    /// Time of the outcome; 0 if the attempt is in flight, or was in flight when a process ended.
    pub until: u64,
    /// Name of the endpoint.
    pub endpoint: String,
    /// `out` (in flight), `ok`, `error`, `full` (rejected), `timed out`, `not connected`, `reset`, `cancelled`, `spoilt`
    /// (unreadable response), `not sent`; for attempts of an earlier process `lost` (no outcome), `did not run` or
    /// `may have run`.
    pub outcome: String,
    /// Whether the attempt ran at the partner or may have run.
    pub may_have_run: bool,
}

/// The state and the attempts of one message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Message {
    /// Its `X-Request-Id`.
    pub id: String,
    /// `held`, `delivered`, `given_up`, `in_doubt` or `handed_back`.
    pub state: String,
    /// Name of its class.
    pub class: String,
    /// Name of its partner.
    pub partner: String,
    /// Its order key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub key: String,
    /// When it was accepted.
    pub taken: u64,
    /// When it will be given up, if it is still held.
    #[serde(skip_serializing_if = "is_zero_u64")]
    pub expires: u64,
    /// When it finished, if it has.
    #[serde(skip_serializing_if = "is_zero_u64")]
    pub ended: u64,
    /// For `handed_back`: how long the client should wait before it submits the message again.
    #[serde(skip_serializing_if = "is_zero_u64")]
    pub retry_in_ms: u64,
    /// For `handed_back`, where an attempt may have run: a resubmission after this time is refused with 409, since the partner
    /// may have forgotten the message by then.
    #[serde(skip_serializing_if = "is_zero_u64")]
    pub harmless_until: u64,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
}

fn is_zero_u64(number: &u64) -> bool {
    *number == 0
}

impl Reply {
    /// Creates a reply that refuses a request.
    pub fn error(id: Value, code: &str, text: impl Into<String>) -> Reply {
        Reply {
            v: VERSION,
            id,
            response: ControlResponse::Error(Error { code: code.into(), text: text.into() }),
        }
    }

    /// Encodes the reply as a line of JSON, including the newline.
    pub fn to_line(&self) -> String {
        // Serialization fails only for maps with non-string keys, and no type here has one.
        let text = serde_json::to_string(self).unwrap_or_default();
        format!("{text}\n")
    }
}

/// Parses a request.
///
/// # Errors
/// Returns the reply that refuses the request.
pub fn parse_request(line: &str) -> Result<Request, Box<Reply>> {
    let refuse = |id, code: &str, text: String| Box::new(Reply::error(id, code, text));
    let value: Value = serde_json::from_str(line)
        .map_err(|e| refuse(Value::Null, "unreadable", format!("the line is not a JSON object: {e}")))?;
    let id = value.get("id").cloned().unwrap_or_default();
    match value.get("v").and_then(Value::as_u64) {
        Some(v) if v == u64::from(VERSION) => {}
        Some(v) => {
            return Err(refuse(
                id,
                "version",
                format!("protocol version {v} is not supported; this forwarder uses {VERSION}"),
            ))
        }
        None => {
            return Err(refuse(
                id,
                "version",
                format!("the request does not name its protocol version: \"v\":{VERSION}"),
            ))
        }
    }
    serde_json::from_value(value).map_err(|e| refuse(id, "unreadable", e.to_string()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn requests_are_parsed_or_refused_with_their_id() {
        let request = parse_request(r#"{"v":1,"id":7,"ask":"drain","endpoint":"a"}"#).unwrap();
        assert_eq!((request.command, request.id), (ControlCommand::Drain { endpoint: "a".into() }, 7.into()));
        assert_eq!(
            parse_request(r#"{"v":1,"ask":"queues"}"#).unwrap().command,
            ControlCommand::Queues { partner: None, most: None }
        );
        let code = |line: &str| match parse_request(line).unwrap_err().response {
            ControlResponse::Error(error) => error.code,
            response => panic!("{response:?}"),
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
    fn a_reply_is_keyed_by_its_response_and_parses_back() {
        let reply =
            Reply { v: VERSION, id: 3.into(), response: ControlResponse::Queues(vec![Queue::default()]) };
        let line = reply.to_line();
        assert!(line.starts_with(r#"{"v":1,"id":3,"queues":[{"#) && line.ends_with("]}\n"), "{line}");
        let again: Reply = serde_json::from_str(&line).unwrap();
        assert_eq!(again.response, reply.response);
    }

    proptest! {
        #[test]
        fn arbitrary_lines_do_not_panic_the_parser(line in ".{0,80}") {
            let _ = parse_request(&line);
        }
    }
}
