//! The interface of the event loop: the events that other tasks send to it, and its replies. The
//! modules in `node` may use the whole program; socket tasks reach the loop only through this
//! module.

use crate::connections::{Connection, ConnectionId};
use crate::list::ServerList;
use crate::message;
use foldtrack_control::{
    Endpoint, Error, Failure, Message, OrderResult, Partner, Peers, Queue, SiteState, Status,
};
use foldtrack_delivery::{LimitReport, Micros, Outcome, TargetId};
use foldtrack_ends::Fetched;
use foldtrack_journal::journal::SyncJob;
use foldtrack_membership::Order;
use hyper::StatusCode;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Stage of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Accepts connections and messages.
    Serving,
    /// SIGTERM was received: responses close their connections.
    Draining,
    /// The listener accepts no more connections.
    Closing,
}

/// Reply to a submitted message.
pub(crate) enum SubmitReply {
    /// The message is accepted and in the journal.
    Accepted(Receipt),
    /// The id was submitted before: the message was accepted then, or is `over` and will not be
    /// sent.
    Duplicate { over: bool },
    /// The message is not accepted; the client may submit it again after this delay.
    Refused { retry_in_ms: u64 },
}

/// Reports to the event loop, when dropped, whether the reply to the client was written.
#[derive(Debug)]
pub(crate) struct Receipt {
    number: u64,
    events: EventSender,
    written: bool,
}

impl Receipt {
    /// The receipt of a message whose reply has not been written.
    pub fn new(number: u64, events: EventSender) -> Receipt {
        Receipt { number, events, written: false }
    }

    /// Reports that the reply was written.
    pub fn confirm(mut self) {
        self.written = true;
    }
}

impl Drop for Receipt {
    fn drop(&mut self) {
        self.events.send(LoopEvent::ReplySent { number: self.number, written: self.written });
    }
}

/// An event for the event loop.
pub(crate) enum LoopEvent {
    /// A client submits a message.
    Submit {
        message: Arc<message::Message>,
        /// Its client is known and may use the reserved part of the journal.
        from_known_client: bool,
        reply: oneshot::Sender<SubmitReply>,
    },
    /// The reply that accepts a message was written, or could not be.
    ReplySent { number: u64, written: bool },
    /// A call has ended.
    CallEnded(CallEnd),
    /// A connection opened ahead of demand: the connection and the time it took, or none if it
    /// failed.
    Preconnected { target: TargetId, number: u64, opened: Option<(Connection, Duration)> },
    /// Discovery at this address has sent a list of targets.
    List { list: ServerList, from: SocketAddr },
    /// The platform answered a batch of notices with this status, or not at all.
    NoticesReported { numbers: Vec<u64>, status: Option<StatusCode>, to: SocketAddr },
    /// Discovery has moved to this address.
    DiscoveryMoved(SocketAddr),
    /// The process is to shut down.
    Terminate,
    /// A datagram from a peer.
    Datagram(Vec<u8>),
    /// The peers' store has synced everything up to this ticket.
    PeerRecordsStored(u64),
    /// A journal sync has finished or failed.
    JournalSynced(Synced),
    /// A request of the HTTP API or the control socket, only with a site file.
    SiteRequest(SiteRequest),
}

/// A sync that has finished or failed.
pub(crate) struct Synced {
    pub job: SyncJob,
    pub result: io::Result<()>,
}

/// A request of the site's HTTP API or control socket. Each gets one reply.
pub(crate) enum SiteRequest {
    /// Outcomes after a cursor. Those up to the cursor are acknowledged unless the client only
    /// peeks.
    Ends { after: Option<u64>, peek: bool, most: usize, reply: oneshot::Sender<io::Result<Fetched>> },
    /// What is known of a message.
    Message { id: String, reply: oneshot::Sender<Option<Message>> },
    /// A snapshot of status, partners, endpoints, failures and queues.
    Snapshot { reply: oneshot::Sender<Arc<Snapshot>> },
    /// The peers of the site; none if it has no others.
    Peers { reply: oneshot::Sender<Option<Peers>> },
    /// The facts about orders, and whether each is in effect.
    State { reply: oneshot::Sender<Option<SiteState>> },
    /// An order. The reply is sent once it is stored.
    Order { order: Order, reply: oneshot::Sender<Result<OrderResult, Error>> },
    /// A network is to be blocked for this long, or unblocked, at the peers. A block already holds
    /// here; an unblock takes effect here if no peer objects.
    Network { network: String, for_ms: Option<u64>, reply: oneshot::Sender<Result<OrderResult, Error>> },
}

/// Snapshot of the forwarder's state for operators.
#[derive(Debug)]
pub(crate) struct Snapshot {
    pub at: Instant,
    pub status: Status,
    pub partners: Vec<Partner>,
    pub endpoints: Vec<Endpoint>,
    pub failures: Vec<Failure>,
    /// The longest queues.
    pub queues: Vec<Queue>,
}

/// Sender of events to the loop. The channel is unbounded, but each connection and each call has at
/// most one event in flight, and connections and calls are bounded.
#[derive(Clone, Debug)]
pub(crate) struct EventSender(UnboundedSender<LoopEvent>);

impl EventSender {
    /// Sends an event.
    pub fn send(&self, event: LoopEvent) {
        // The loop is gone only when the process ends.
        let _ = self.0.send(event);
    }
}

/// Creates the channel of an event loop that is about to start.
pub(crate) fn channel() -> (EventSender, UnboundedReceiver<LoopEvent>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (EventSender(sender), receiver)
}

/// How a call ended.
#[derive(Debug)]
pub(crate) struct CallEnd {
    pub number: u64,
    pub attempt: u32,
    pub target: TargetId,
    /// When the call started.
    pub started_at: Instant,
    pub outcome: Outcome,
    /// The status of the response, if there was one.
    pub status: Option<u16>,
    /// The connection that it was made on, as it was before; none if there was none.
    pub connection: Option<ConnectionId>,
    /// Nothing more is owed for the message.
    pub settled: bool,
    /// The call's deadline had passed when its end was seen: whether the partner wrote its answer
    /// in time is unknown.
    pub past_deadline: bool,
    /// The partner rejects the message permanently, or it cannot be sent to this partner.
    pub refused: bool,
    /// Why no connection could be made, for operators; empty if there was one.
    pub cause: String,
    /// Nothing may be sent to the destination before this time.
    pub wait_until: Option<Micros>,
    /// The rate limits that the partner reported.
    pub report: Option<LimitReport>,
    /// How long a reused connection had been idle; none for a new one.
    pub idle_for: Option<Duration>,
    /// How long a new connection took to establish; none for a reused one.
    pub connect_time: Option<Duration>,
    /// Something arrived on the connection that no request had asked for.
    pub unasked_response: bool,
    /// A connection that is fit for the next call.
    pub reusable_connection: Option<Connection>,
}
