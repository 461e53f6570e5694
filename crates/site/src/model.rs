//! The settings of a site. All durations are in microseconds, all sizes in bytes, all rates in messages per second.

use foldtrack_dialect::Dialect;
use foldtrack_proof::AuthScheme;
use foldtrack_tls::TlsSettings;
use ipnet::IpNet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The effect of sending a message more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless: the message may be sent any number of times.
    Repeatable,
    /// The partner drops repeats with the same idempotency key for the `remembered` time of the class.
    Keyed,
    /// The message must never take effect twice.
    Once,
}

/// The failure that an acknowledged message survives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// A crash of the process.
    Process,
    /// A crash of the machine: a message is acknowledged once its record is on stable storage.
    Machine,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class; it is the first segment of the path that clients post to.
    pub name: String,
    /// The effect of sending a message of this class more than once.
    pub effect: Effect,
    /// Whether messages with the same order key are delivered one at a time, in the order in which they were accepted.
    pub ordered: bool,
    /// For [`Effect::Keyed`]: how long partners remember idempotency keys and drop repeats; 0 otherwise.
    pub remembered: u64,
    /// Target latency.
    pub aim: u64,
    /// Time after which an undelivered message is given up.
    pub deadline: u64,
    /// A message whose expected wait is longer is refused at intake; 0 where only the deadline counts.
    pub refuse_after: u64,
    /// Worth of a delivery, relative to other classes.
    pub worth: f64,
    /// Share of the worth that remains at the deadline, 0 to 1.
    pub late_worth: f64,
}

/// A kind of partner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartnerKind {
    /// Name by which partners refer to it.
    pub name: String,
    /// Whether each endpoint is a route of its own, with its own limit and its own outages.
    pub routes_apart: bool,
}

/// An endpoint of a partner, as given in the site file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name, unique within the site.
    pub name: String,
    /// The address and port that it listens on.
    pub address: SocketAddr,
}

/// A partner.
#[derive(Clone, Debug, PartialEq)]
pub struct Partner {
    /// Name, as clients give it in `X-Partner`.
    pub name: String,
    /// Index of its kind in [`Site::kinds`].
    pub kind: usize,
    /// Rate limit in messages per second; none if the partner has no limit.
    pub rate: Option<f64>,
    /// Limit of concurrent calls; none if only the limit of the site applies.
    pub slots: Option<u32>,
    /// Its endpoints.
    pub endpoints: Vec<Endpoint>,
    /// The request format and the interpretation of responses.
    pub dialect: Dialect,
    /// How the forwarder authenticates to it; none if it requires no authentication.
    pub proof: Option<Authentication>,
    /// TLS settings; none for plain connections.
    pub tls: Option<Tls>,
}

/// TLS settings for a partner. Certificates and keys are in separate files.
#[derive(Clone, Debug, PartialEq)]
pub struct Tls {
    /// Server name, pins and protocol versions.
    pub settings: TlsSettings,
    /// File of the trusted root certificates; none for the roots of the system.
    pub roots: Option<PathBuf>,
    /// Files of the client certificate chain and its key; none without a client certificate.
    pub client: Option<(PathBuf, PathBuf)>,
}

/// Authentication of the forwarder to a partner. The site file never contains the secret itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Authentication {
    /// The authentication scheme.
    pub scheme: AuthScheme,
    /// The file that contains the secret.
    pub secret_file: PathBuf,
}

/// Resource limits of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of memory for messages and the records about them.
    pub memory: u64,
    /// Number of file descriptors.
    pub descriptors: usize,
    /// Bytes of disk space for the state folder.
    pub disk: u64,
    /// Maximum number of messages held at the same time.
    pub messages: u32,
    /// Maximum number of concurrent calls.
    pub calls: u32,
    /// Maximum number of attempts for one message.
    pub attempts: u32,
    /// Maximum retry-after given to a refused client.
    pub longest_wait: u64,
}

/// Admission control of clients. The default of an option that is `None` is derived from the number of client connections
/// available.
#[derive(Clone, Debug, PartialEq)]
pub struct Admission {
    /// Networks whose clients are always known, regardless of what they have submitted.
    pub known: Vec<IpNet>,
    /// Share of the client connections reserved for known clients, 0 to 1.
    pub reserve: f64,
    /// Connection limit of an unknown address.
    pub per_address: Option<u32>,
    /// Connection limit of a known address.
    pub per_known: Option<u32>,
    /// Connection limit of all unknown addresses of a prefix together.
    pub per_prefix: Option<u32>,
    /// Length of an IPv4 prefix in bits, 0 to 32.
    pub v4_prefix: u8,
    /// Length of an IPv6 prefix in bits, 0 to 128.
    pub v6_prefix: u8,
    /// Rate limit of new connections per second from an unknown address.
    pub new_per_second: f64,
    /// Burst size of that rate limit, in connections.
    pub burst: f64,
    /// Rate limit of new connections per second from all unknown addresses together.
    pub strangers_per_second: f64,
    /// Limit of concurrent requests of one address.
    pub requests: Option<u32>,
}

/// How long the outcomes of messages are stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutcomeRetention {
    /// Maximum number of stored outcomes.
    pub count: u64,
    /// Maximum size on disk, in bytes.
    pub size: u64,
    /// How long outcomes are stored after the client has acknowledged them.
    pub age: u64,
}

/// Connection settings for calls to partners.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Calls {
    /// Idle time after which partners close a connection.
    pub connection_idle: u64,
    /// Time limit for opening a connection.
    pub connect_timeout: u64,
    /// Maximum age of a connection; an older one is not reused.
    pub connection_age: u64,
    /// How long a connection rests after a response before it carries the next call.
    pub connection_rest: u64,
    /// Whether connections are opened ahead of demand where the handshake takes time.
    pub open_ahead: bool,
}

/// Another forwarder of the site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// The address and port that its datagrams are sent to.
    pub address: SocketAddr,
}

/// Settings for the exchange of state between the forwarders of a site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Name of this forwarder.
    pub name: String,
    /// The address and port on which it receives datagrams.
    pub listen: SocketAddr,
    /// The file of the secret that all forwarders share.
    pub secret: PathBuf,
    /// How long superseded facts are kept.
    pub horizon: u64,
    /// Time after its start at which a forwarder reports ready on `/healthz` even if it has not caught up.
    pub ready_within: u64,
    /// Bandwidth limit for catching up, in bytes per second.
    pub catch_up: u64,
    /// Whether retry-after requests of partners are shared with the other forwarders.
    pub share_waits: bool,
    /// The other forwarders, sorted by name.
    pub members: Vec<Member>,
}

/// The settings of a standalone installation.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Display name.
    pub name: String,
    /// The address and port that clients connect to.
    pub listen: SocketAddr,
    /// The state folder.
    pub state: PathBuf,
    /// The failure that an acknowledged message survives.
    pub durability: Durability,
    /// Resource limits.
    pub limits: Limits,
    /// Retention limits of stored outcomes.
    pub ends: OutcomeRetention,
    /// Admission control of clients.
    pub admission: Admission,
    /// Connection settings for calls to partners.
    pub calls: Calls,
    /// Settings for the other forwarders of the site; none where this one runs alone.
    pub peers: Option<PeerSettings>,
    /// Classes, sorted by name.
    pub classes: Vec<Class>,
    /// Kinds of partner; the first is the default for partners that name no kind.
    pub kinds: Vec<PartnerKind>,
    /// Partners, sorted by name.
    pub partners: Vec<Partner>,
}

impl Partner {
    /// Its destination number: the CRC-32 of its name, so that a journal still identifies the partner when all other state is
    /// lost. Validation ensures that no two partners of a site share a number.
    pub fn number(&self) -> u32 {
        crc32fast::hash(self.name.as_bytes())
    }
}

impl Site {
    /// Path of the control socket.
    pub fn control_socket(&self) -> PathBuf {
        self.state.join(CONTROL_SOCKET)
    }

    /// Bytes of the disk limit that remain for the message journal, after the outcomes, the membership log and the peer
    /// store have their shares.
    pub fn journal_capacity(&self) -> u64 {
        let peers = if self.peers.is_some() { PEER_STORE_BYTES } else { 0 };
        self.limits.disk.saturating_sub(self.ends.size + MEMBERSHIP_LOG_BYTES + peers)
    }
}

/// File name of the control socket in the state folder.
pub const CONTROL_SOCKET: &str = "control.sock";
/// Disk space reserved for the membership log, in bytes, including its compaction.
pub const MEMBERSHIP_LOG_BYTES: u64 = 2 << 20;
/// Disk space reserved for the store of facts shared between forwarders, in bytes.
pub const PEER_STORE_BYTES: u64 = 24 << 20;
/// Maximum number of partners and endpoints of a site. So many fit twice into [`MEMBERSHIP_LOG_BYTES`], which compaction
/// requires.
pub const MAX_ENDPOINTS: usize = 2000;
