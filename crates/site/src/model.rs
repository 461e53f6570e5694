//! What a site is. All spans are microseconds, all sizes bytes, all rates messages a second.

use foldtrack_dialect::Dialect;
use foldtrack_proof::AuthScheme;
use foldtrack_tls::TlsSettings;
use ipnet::IpNet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What a repeat of a message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing that matters: it may be repeated at will.
    Repeatable,
    /// The partner drops repeats with the same idempotency key for the class's `remembered` span.
    Keyed,
    /// It must never take effect twice.
    Once,
}

/// What outlives what was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// The process, however it ends.
    Process,
    /// The machine: an answer is given once its record is on stable storage.
    Machine,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// First part of the path that clients post to.
    pub name: String,
    /// What a repeat does.
    pub effect: Effect,
    /// Messages with the same key go one at a time, in the order in which they came.
    pub ordered: bool,
    /// For [`Effect::Keyed`]: how long partners drop repeats; 0 otherwise.
    pub remembered: u64,
    /// Wanted within this span.
    pub aim: u64,
    /// Given up after this span.
    pub deadline: u64,
    /// One that would wait for longer is refused at the door; 0 where only the deadline counts.
    pub refuse_after: u64,
    /// Worth of a delivery, beside those of other classes.
    pub worth: f64,
    /// Share of the worth that is left at the deadline, 0 to 1.
    pub late_worth: f64,
}

/// A kind of partner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartnerKind {
    /// As partners name it.
    pub name: String,
    /// Endpoints are routes apart, each with a limit and outages of its own.
    pub routes_apart: bool,
}

/// An endpoint of a partner, as the site file has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Unlike any other of the site.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A partner.
#[derive(Clone, Debug, PartialEq)]
pub struct Partner {
    /// As clients name it in `X-Partner`.
    pub name: String,
    /// Place of its kind in [`Site::kinds`].
    pub kind: usize,
    /// Messages a second that it takes; none if it names no limit.
    pub rate: Option<f64>,
    /// Calls out to it at once at most; none if only the site's limit holds.
    pub slots: Option<u32>,
    /// Its endpoints.
    pub endpoints: Vec<Endpoint>,
    /// How it is spoken to.
    pub dialect: Dialect,
    /// How it is proven to it who calls; none if it asks for nothing.
    pub proof: Option<Authentication>,
    /// Its connections are encrypted; none for plain ones.
    pub tls: Option<Tls>,
}

/// TLS to a partner. What it is made from stands in files of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Tls {
    /// Name, pins and versions.
    pub settings: TlsSettings,
    /// Whom to trust; none for those whom the system trusts.
    pub roots: Option<PathBuf>,
    /// The certificate that is shown, and its key.
    pub client: Option<(PathBuf, PathBuf)>,
}

/// Proof to a partner of who calls. The secret itself is in no site file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Authentication {
    /// How.
    pub scheme: AuthScheme,
    /// The file of its secret.
    pub secret_file: PathBuf,
}

/// What the process may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of memory for messages and what is remembered of them.
    pub memory: u64,
    /// File descriptors.
    pub descriptors: usize,
    /// Bytes in the state folder.
    pub disk: u64,
    /// Messages held at once.
    pub messages: u32,
    /// Calls out at once.
    pub calls: u32,
    /// Attempts for one message.
    pub attempts: u32,
    /// Longest wait that a refused client is told.
    pub longest_wait: u64,
}

/// Who is let in. What is `None` follows from the places that there are for connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Admission {
    /// Networks whose clients are known, whatever they have handed in.
    pub known: Vec<IpNet>,
    /// Share of the places that is kept for known clients, 0 to 1.
    pub reserve: f64,
    /// Connections of an address that is not known.
    pub per_address: Option<u32>,
    /// Connections of an address that is known.
    pub per_known: Option<u32>,
    /// Connections of all addresses of a prefix together that are not known.
    pub per_prefix: Option<u32>,
    /// Bits of a prefix of IPv4, 0 to 32.
    pub v4_prefix: u8,
    /// Bits of a prefix of IPv6, 0 to 128.
    pub v6_prefix: u8,
    /// New connections a second of an address that is not known.
    pub new_per_second: f64,
    /// New connections that such an address may open at once.
    pub burst: f64,
    /// New connections a second of all such addresses together.
    pub strangers_per_second: f64,
    /// Requests of one address that are open at once.
    pub requests: Option<u32>,
}

/// How long the ends of messages are kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutcomeRetention {
    /// So many at most.
    pub count: u64,
    /// Bytes on disk at most.
    pub size: u64,
    /// Those that the client has acknowledged are kept for so long.
    pub age: u64,
}

/// How calls to partners are made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Calls {
    /// Partners close a connection that has been idle for so long.
    pub connection_idle: u64,
    /// A connection not made within this span has failed.
    pub connect_timeout: u64,
    /// A connection is not used for longer.
    pub connection_age: u64,
    /// Connections are opened before calls ask for them, where a handshake takes time.
    pub open_ahead: bool,
}

/// Another forwarder of the site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where its datagrams go.
    pub address: SocketAddr,
}

/// The forwarders of the site, which tell each other what they know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// This one's name.
    pub name: String,
    /// Where it takes datagrams.
    pub listen: SocketAddr,
    /// The file of the secret that all share.
    pub secret: PathBuf,
    /// What has been superseded for so long is forgotten.
    pub horizon: u64,
    /// A forwarder that has come up answers `/healthz` after this span even if it has not caught up.
    pub ready_within: u64,
    /// Bytes a second that catching up may take.
    pub catch_up: u64,
    /// Others are told of waits that partners tell.
    pub share_waits: bool,
    /// The others, in the order of their names.
    pub members: Vec<Member>,
}

/// An installation of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// For people.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The state folder.
    pub state: PathBuf,
    /// What an answer promises.
    pub durability: Durability,
    /// Bounds.
    pub limits: Limits,
    /// Bounds of the kept ends.
    pub ends: OutcomeRetention,
    /// Who is let in.
    pub admission: Admission,
    /// How calls are made.
    pub calls: Calls,
    /// The other forwarders; none where it is alone.
    pub peers: Option<PeerSettings>,
    /// Classes, in the order of their names.
    pub classes: Vec<Class>,
    /// Kinds of partner; the first is that of partners which name none.
    pub kinds: Vec<PartnerKind>,
    /// Partners, in the order of their names.
    pub partners: Vec<Partner>,
}

impl Partner {
    /// Its number as a destination: the CRC-32 of its name, so that a journal means the same partner whatever else
    /// is lost. Two partners of a site never share one.
    pub fn number(&self) -> u32 {
        crc32fast::hash(self.name.as_bytes())
    }
}

impl Site {
    /// The control line's socket.
    pub fn control_socket(&self) -> PathBuf {
        self.state.join(CONTROL_SOCKET)
    }

    /// Bytes of the disk limit that are left for messages, once ends and membership have their part.
    pub fn journal_capacity(&self) -> u64 {
        let peers = if self.peers.is_some() { PEER_STORE_BYTES } else { 0 };
        self.limits.disk.saturating_sub(self.ends.size + MEMBERSHIP_LOG_BYTES + peers)
    }
}

/// Name of the control line's socket in the state folder.
pub const CONTROL_SOCKET: &str = "control.sock";
/// Bytes that the membership log may take, a compaction of it included.
pub const MEMBERSHIP_LOG_BYTES: u64 = 2 << 20;
/// Bytes that the store of what forwarders tell each other may take.
pub const PEER_STORE_BYTES: u64 = 24 << 20;
/// Endpoints of a site at most: so many fit the membership log's room twice, as a compaction needs it.
pub const MAX_ENDPOINTS: usize = 2000;
