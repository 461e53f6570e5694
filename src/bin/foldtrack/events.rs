//! The door to the loop: what its sides tell it, and what it answers. The loop's own files stand above this one,
//! the sides below only it.

use crate::connections::Connection;
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

/// How far the process is from its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Serving,
    /// Told to end: answers close their connections.
    Draining,
    /// Nothing is accepted any more.
    Closing,
}

/// What a client is told.
pub(crate) enum SubmitReply {
    Accepted(Receipt),
    /// Handed in before: taken on then, or `over` with no more to come.
    Duplicate {
        over: bool,
    },
    Refused {
        retry_in_ms: u64,
    },
}

/// Tells the node, when it is dropped, whether the client's answer has been written.
pub(crate) struct Receipt {
    pub number: u64,
    pub events: EventSender,
    pub written: bool,
}

impl Drop for Receipt {
    fn drop(&mut self) {
        self.events.send(LoopEvent::ReplySent { number: self.number, written: self.written });
    }
}

/// What happens to the node.
pub(crate) enum LoopEvent {
    Submit {
        message: Arc<message::Message>,
        /// Its client is known: it may have the room that is kept.
        from_known_client: bool,
        reply: oneshot::Sender<SubmitReply>,
    },
    ReplySent {
        number: u64,
        written: bool,
    },
    CallEnded(CallEnd),
    /// A dial ahead of demand has ended, with a connection and how long it took, or without.
    Preconnected {
        target: TargetId,
        number: u64,
        opened: Option<(Connection, Duration)>,
    },
    List {
        list: ServerList,
        from: SocketAddr,
    },
    /// Notices were answered with this status, or not at all.
    NoticesReported {
        numbers: Vec<u64>,
        status: Option<StatusCode>,
        to: SocketAddr,
    },
    /// Discovery is there from now on.
    DiscoveryMoved(SocketAddr),
    Terminate,
    /// A datagram of another forwarder of the site.
    Datagram(Vec<u8>),
    /// What was handed to the peers' store under this ticket, and before it, is on disk.
    PeerRecordsStored(u64),
    /// What the disk has confirmed, or failed to.
    JournalSynced(Synced),
    /// Of a site of its own: everything below.
    SiteRequest(SiteRequest),
}

/// A sync that has been done, or has failed.
pub(crate) struct Synced {
    pub job: SyncJob,
    pub result: io::Result<()>,
}

/// What fronts of a site ask the node. Each has one answer.
pub(crate) enum SiteRequest {
    /// Ends after a cursor, which acknowledges those up to it unless the client only peeks.
    Ends { after: Option<u64>, peek: bool, most: usize, reply: oneshot::Sender<io::Result<Fetched>> },
    /// What is known of a message.
    Message { id: String, reply: oneshot::Sender<Option<Message>> },
    /// A picture of all.
    Snapshot { reply: oneshot::Sender<Arc<Snapshot>> },
    /// The other forwarders of the site; none where it has no others.
    Peers { reply: oneshot::Sender<Option<Peers>> },
    /// What was ordered and holds.
    State { reply: oneshot::Sender<Option<SiteState>> },
    /// An order. The answer comes when it is on the disk.
    Order { order: Order, reply: oneshot::Sender<Result<OrderResult, Error>> },
    /// A network is blocked for so long, or let in again: what the others of the site are told. It holds here already, or is
    /// ended here if nobody objects.
    Network { network: String, for_ms: Option<u64>, reply: oneshot::Sender<Result<OrderResult, Error>> },
}

/// What there is to see at a moment.
#[derive(Debug)]
pub(crate) struct Snapshot {
    pub at: Instant,
    pub status: Status,
    pub partners: Vec<Partner>,
    pub endpoints: Vec<Endpoint>,
    pub failures: Vec<Failure>,
    /// The longest of them.
    pub queues: Vec<Queue>,
}

/// The way to the node. The queue has no bound of its own: each connection and each call has one input under
/// way, and connections and calls are bounded.
#[derive(Clone)]
pub(crate) struct EventSender(UnboundedSender<LoopEvent>);

impl EventSender {
    pub fn send(&self, input: LoopEvent) {
        // The node is gone only when the process ends.
        let _ = self.0.send(input);
    }
}

/// The channel to a node that is yet to run.
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
    pub started_at: Instant,
    pub outcome: Outcome,
    /// Nothing is owed for the message any more.
    pub settled: bool,
    /// The call's time was over when its end was seen: nobody here can tell whether an answer was written in it.
    pub past_deadline: bool,
    /// The partner will never take it, or it can't be sent to this one.
    pub refused: bool,
    /// Why there was no connection, for people; empty if there was one.
    pub cause: String,
    /// Nothing is to be sent to the destination until then.
    pub wait_until: Option<Micros>,
    pub report: Option<LimitReport>,
    /// How long its connection had been idle before, if it was not a new one.
    pub idle_for: Option<Duration>,
    /// How long its connection took to be made, if it was a new one.
    pub connect_time: Option<Duration>,
    /// Fit for the next call.
    pub reusable_connection: Option<Connection>,
}
