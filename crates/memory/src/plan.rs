//! Divides the memory limit of a process among its uses.
//!
//! The program itself, the calls that are configured and the files of the state folder come first. What remains is divided
//! in fixed parts among everything that grows with what a peer does, and whoever allocates for it keeps to its share.

/// The remaining memory is divided in this many parts.
const PARTS: usize = 32;
/// Client connections with what the kernel holds for them.
const CLIENT_PARTS: usize = 6;
/// Request bodies that are being read, and those whose messages wait for a decision.
const BODY_PARTS: usize = 2;
/// Messages that were accepted and have not ended, and notices that were not acknowledged.
const HELD_PARTS: usize = 5;
/// Ids of messages, held or ended.
const ID_PARTS: usize = 3;
/// Idle connections to targets.
const IDLE_CONNECTION_PARTS: usize = 3;
/// A list of targets while it is read: [`LIST_COPIES`] times the length of its text.
const LIST_PARTS: usize = 4;
/// Targets of the list, with what was learned of them.
const TARGET_PARTS: usize = 9;

/// Memory of the program before any peer does anything, in bytes.
pub const PROGRAM_BYTES: usize = 7_000_000;
/// Buffers that are requested of the kernel for a client connection, in bytes. It doubles them (socket(7)). The one for
/// requests is larger where the limit leaves room: large bodies take fewer reads then.
const MIN_RECEIVE_BUFFER_BYTES: usize = 8 * 1024;
const MAX_RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// The buffer for responses that the client has not read.
pub const CLIENT_SEND_BUFFER_BYTES: usize = 8 * 1024;
/// Bytes of a client connection: its task, buffers for a request head and a response, and a small body.
const CLIENT_USER_BYTES: usize = 28 * 1024;
/// The receive buffers may take one part in this many of what all other uses leave.
const SPARE_DIVISOR: usize = 2;
/// Bytes of a connection to a target: its task, and the buffers of a call.
pub const TARGET_CONNECTION_BYTES: usize = 28 * 1024;
/// Bytes of a remembered id, in tables that may be half empty.
pub const ID_BYTES: usize = 96;
/// Bytes of a held message beside its texts and its body: its records in the event loop, the scheduler and the journal's index.
pub const HELD_OVERHEAD_BYTES: usize = 1_024;
/// Bytes of a notice that was not acknowledged, beside its id.
pub const NOTICE_OVERHEAD_BYTES: usize = 512;
/// Bytes of a target: its entry, the statistics of its connections, and its part in those of its destination.
pub const TARGET_BYTES: usize = 1_800;
/// How many times the length of its text a list takes while it is read.
const LIST_COPIES: usize = 2;

/// Maximum length of a list's text under any limit, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;
/// Least numbers and sizes, with which a process works under any limit.
const MIN_CLIENT_CONNECTIONS: usize = 16;
const MIN_IDLE_CONNECTIONS: usize = 16;
const MIN_BODY_BYTES: usize = 256 * 1024;
const MIN_HELD_BYTES: usize = 256 * 1024;
const MIN_IDS: usize = 1_024;
const MIN_LIST_BYTES: usize = 256 * 1024;
const MIN_TARGETS: usize = 1_024;

/// What a deployment needs or allows beside the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Client connections that the descriptors allow.
    pub client_connections: usize,
    /// Calls at once.
    pub calls: usize,
    /// Maximum size in bytes of the files that count as memory. A folder of more than half of the limit cannot be meant to.
    pub files: usize,
    /// Bytes for held messages, where the deployment sets them.
    pub held: Option<usize>,
}

/// How a process divides its memory. Sizes are in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// The configured limit.
    pub limit: usize,
    /// Maximum number of client connections.
    pub client_connections: usize,
    /// Receive buffer to request for each of them.
    pub client_receive_buffer: usize,
    /// Request bodies beyond the small one that each connection may hold.
    pub bodies: usize,
    /// Held messages and notices, with their overhead.
    pub held: usize,
    /// Maximum number of remembered ids.
    pub ids: usize,
    /// Maximum number of idle connections to targets.
    pub idle_connections: usize,
    /// Maximum length of a list of targets as text.
    pub list: usize,
    /// Maximum number of targets.
    pub targets: usize,
    /// The program, the configured calls and the files.
    pub fixed: usize,
}

/// Bytes of a client connection with what the kernel may hold that was not read.
const fn client_bytes(receive_buffer: usize) -> usize {
    CLIENT_USER_BYTES + 2 * (receive_buffer + CLIENT_SEND_BUFFER_BYTES)
}

impl MemoryPlan {
    /// Divides a limit in bytes.
    pub fn new(limit: usize, demand: Demand) -> MemoryPlan {
        let files = if demand.files <= limit / 2 { demand.files } else { 0 };
        let fixed = PROGRAM_BYTES + demand.calls * TARGET_CONNECTION_BYTES + files;
        let remaining = limit.saturating_sub(fixed + demand.held.unwrap_or(0));
        let share = |parts: usize| remaining / PARTS * parts;
        let most_clients =
            (share(CLIENT_PARTS) / client_bytes(MIN_RECEIVE_BUFFER_BYTES)).max(MIN_CLIENT_CONNECTIONS);
        let plan = MemoryPlan {
            limit,
            client_connections: demand.client_connections.min(most_clients),
            client_receive_buffer: MIN_RECEIVE_BUFFER_BYTES,
            bodies: share(BODY_PARTS).max(MIN_BODY_BYTES),
            held: demand.held.unwrap_or(share(HELD_PARTS)).max(MIN_HELD_BYTES),
            ids: (share(ID_PARTS) / ID_BYTES).max(MIN_IDS),
            idle_connections: (share(IDLE_CONNECTION_PARTS) / TARGET_CONNECTION_BYTES)
                .max(MIN_IDLE_CONNECTIONS),
            list: (share(LIST_PARTS) / LIST_COPIES).clamp(MIN_LIST_BYTES, MAX_LIST_BYTES),
            targets: (share(TARGET_PARTS) / TARGET_BYTES).max(MIN_TARGETS),
            fixed,
        };
        let spare = limit.saturating_sub(plan.maximum()) / SPARE_DIVISOR;
        let more = spare / (2 * plan.client_connections.max(1));
        let client_receive_buffer = (MIN_RECEIVE_BUFFER_BYTES + more).min(MAX_RECEIVE_BUFFER_BYTES);
        MemoryPlan { client_receive_buffer, ..plan }
    }

    /// The most that a client connection may hold, with the kernel's part.
    pub fn client_bytes(&self) -> usize {
        client_bytes(self.client_receive_buffer)
    }

    /// The most that all uses together may hold.
    pub fn maximum(&self) -> usize {
        self.fixed
            + self.client_connections * self.client_bytes()
            + self.bodies
            + self.held
            + self.ids * ID_BYTES
            + self.idle_connections * TARGET_CONNECTION_BYTES
            + self.list * LIST_COPIES
            + self.targets * TARGET_BYTES
    }
}
