//! Client blocks ordered by the operator, persisted across restarts in a file of their own, and the
//! client statistics of the control socket. All of this runs on the thread of the control socket;
//! the event loop is not involved.

use crate::client_connections::ClientConnections;
use crate::lock::lock_ignoring_poison;
use foldtrack_admission::Event;
use foldtrack_control::{self as control, ClientStats, Clients, DescriptorUsage, KernelSockets};
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::io::{self, Write};
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::broadcast;

const FILE_NAME: &str = "blocks.json";
/// Maximum number of lines about floods that are shown.
const MAX_FLOOD_LINES: usize = 100;
/// Events that a slow subscriber may lag behind; if it lags further, it is told how many it missed.
const EVENT_BUFFER: usize = 64;
/// How long socket statistics from the kernel are reused: with many thousands of sockets, reading
/// them takes milliseconds.
const SOCKET_STATS_TTL: Duration = Duration::from_secs(2);
/// Longest block, in milliseconds: 30 days.
pub(crate) const MAX_BLOCK_MS: u64 = 30 * 86_400_000;

/// A block as it is stored.
#[derive(Debug, Serialize, Deserialize)]
struct StoredBlock {
    /// The blocked network.
    network: IpNet,
    /// When the block ends, Unix time in microseconds.
    until: u64,
}

/// The blocks of a site.
pub(crate) struct Blocks {
    path: PathBuf,
    connections: Arc<ClientConnections>,
    /// Log lines about floods, the latest first.
    floods: Mutex<Vec<String>>,
    /// Events for subscribers.
    events: broadcast::Sender<control::Event>,
    /// Serializes writes of the file.
    write_lock: Mutex<()>,
    /// The listener's port, and the last statistics of its sockets.
    port: u16,
    kernel: Mutex<Option<(Instant, Option<KernelSockets>)>>,
}

/// Counts the sockets of a port by TCP state (proc(5), `net/tcp`).
fn socket_stats(port: u16) -> Option<KernelSockets> {
    use procfs::net::TcpState;
    let mut stats = KernelSockets::default();
    let own = procfs::process::Process::myself().ok()?;
    let all = own.tcp().ok()?.into_iter().chain(own.tcp6().unwrap_or_default());
    for socket in all.filter(|s| s.local_address.port() == port) {
        match socket.state {
            TcpState::SynRecv | TcpState::NewSynRecv => stats.half_open += 1,
            TcpState::Established => stats.established += 1,
            TcpState::CloseWait | TcpState::LastAck => stats.half_closed += 1,
            TcpState::FinWait1 | TcpState::FinWait2 | TcpState::Closing => stats.closing += 1,
            TcpState::TimeWait => stats.time_wait += 1,
            TcpState::SynSent | TcpState::Close | TcpState::Listen => {}
        }
    }
    Some(stats)
}

impl Blocks {
    /// Reads the stored blocks; those that have ended in the meantime are dropped.
    ///
    /// # Errors
    /// The file can't be read or parsed. It is left as it is.
    pub fn open(state: &Path, connections: Arc<ClientConnections>, port: u16) -> Result<Arc<Blocks>, String> {
        let path = state.join(FILE_NAME);
        let error = |e: &dyn std::fmt::Display| {
            format!("{}: {e}; move it away to start without blocks", path.display())
        };
        let stored: Vec<StoredBlock> = match std::fs::read(&path) {
            Ok(text) => serde_json::from_slice(&text).map_err(|e| error(&e))?,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(error(&e)),
        };
        let clock = connections.clock();
        let now = clock.unix_time(clock.now());
        for StoredBlock { network, until } in stored.iter().filter(|stored| stored.until > now) {
            connections.block(*network, clock.time_at_unix(*until)).map_err(|e| error(&e))?;
        }
        let events = broadcast::Sender::new(EVENT_BUFFER);
        Ok(Arc::new(Blocks {
            path,
            connections,
            floods: Mutex::default(),
            events,
            write_lock: Mutex::default(),
            port,
            kernel: Mutex::default(),
        }))
    }

    /// Blocks a network for `for_ms`. The block applies at once, and is stored when this returns.
    ///
    /// # Errors
    /// There are too many blocks; or it could not be stored: then it applies, but may be lost at a
    /// restart.
    pub fn block(&self, network: IpNet, for_ms: u64) -> Result<(), String> {
        self.apply(network, for_ms)?;
        self.save().map_err(|e| {
            format!(
                "the block applies, but could not be stored and may be lost at a restart: {}: {e}",
                self.path.display()
            )
        })
    }

    /// Applies a block that another forwarder received, without storing it; see
    /// [`Blocks::save_in_background`].
    ///
    /// # Errors
    /// There are too many blocks.
    pub fn apply(&self, network: IpNet, for_ms: u64) -> Result<(), String> {
        self.connections.block(network, self.connections.clock().now() + for_ms.min(MAX_BLOCK_MS) * 1000)
    }

    /// Removes a block that another forwarder removed; false if there was none.
    pub fn remove(&self, network: &IpNet) -> bool {
        self.connections.unblock(network)
    }

    /// The active blocks, each with its remaining time in milliseconds.
    pub fn active(&self) -> Vec<(IpNet, u64)> {
        let now = self.connections.clock().now();
        let active = self.connections.blocks().into_iter().filter(|(_, until)| *until > now);
        active.map(|(network, until)| (network, (until - now) / 1000)).collect()
    }

    /// Stores the active blocks on a thread of the blocking pool.
    pub fn save_in_background(self: &Arc<Blocks>) {
        let blocks = self.clone();
        tokio::task::spawn_blocking(move || {
            if let Err(e) = blocks.save() {
                eprintln!(
                    "peers: a block applies, but could not be stored and may be lost at a restart: {}: {e}",
                    blocks.path.display()
                );
            }
        });
    }

    /// Ends a block; false if there was none.
    ///
    /// # Errors
    /// The change could not be stored.
    pub fn unblock(&self, network: &IpNet) -> Result<bool, String> {
        let existed = self.remove(network);
        let stored = self.save();
        stored.map(|()| existed).map_err(|e| {
            format!("the block has ended, but may come back after a restart: {}: {e}", self.path.display())
        })
    }

    /// Writes all active blocks to a new file and renames it over the old one: either file survives
    /// a power failure whole.
    fn save(&self) -> io::Result<()> {
        let _guard = lock_ignoring_poison(&self.write_lock);
        let clock = self.connections.clock();
        let now = clock.now();
        let active = self.connections.blocks().into_iter().filter(|(_, until)| *until > now);
        let stored: Vec<StoredBlock> =
            active.map(|(network, until)| StoredBlock { network, until: clock.unix_time(until) }).collect();
        let folder = self.path.parent().unwrap_or(Path::new("."));
        let mut file = tempfile::NamedTempFile::new_in(folder)?;
        file.write_all(&serde_json::to_vec(&stored)?)?;
        file.as_file().sync_all()?;
        file.persist(&self.path).map_err(|e| e.error)?;
        std::fs::File::open(folder)?.sync_all()
    }

    /// Logs and publishes the floods that the gate has detected, one line for each event.
    pub fn report_floods(&self) {
        for event in self.connections.take_events() {
            let name = |a: Option<IpAddr>| a.map_or("many addresses".to_string(), |a| a.to_string());
            let (kind, address, line) = match event {
                Event::FloodStarted { address } => {
                    ("flood_began", address, format!("clients: a flood from {} begins", name(address)))
                }
                Event::FloodEnded { address, turned_away, lasted } => {
                    let (from, seconds) = (name(address), lasted as f64 / 1e6);
                    let line = format!(
                        "clients: the flood from {from} is over: {turned_away} connections turned away in {seconds:.1} s"
                    );
                    ("flood_ended", address, line)
                }
            };
            eprintln!("{line}");
            let clock = self.connections.clock();
            // An error means that there is no subscriber.
            let _ = self.events.send(control::Event {
                at: clock.unix_time(clock.now()),
                kind: kind.into(),
                address: address.map_or(String::new(), |a| a.to_string()),
                text: line.clone(),
            });
            let mut floods = lock_ignoring_poison(&self.floods);
            floods.insert(0, line);
            floods.truncate(MAX_FLOOD_LINES);
        }
    }

    /// Publishes an event of another part of the process to the subscribers.
    pub fn publish(&self, kind: &str, text: &str) {
        let clock = self.connections.clock();
        // An error means that there is no subscriber.
        let _ = self.events.send(control::Event {
            at: clock.unix_time(clock.now()),
            kind: kind.into(),
            text: text.into(),
            ..control::Event::default()
        });
    }

    /// Subscribes to events from now on.
    pub fn events(&self) -> broadcast::Receiver<control::Event> {
        self.events.subscribe()
    }

    /// Socket statistics from the kernel, at most [`SOCKET_STATS_TTL`] old.
    fn cached_socket_stats(&self) -> Option<KernelSockets> {
        let mut last = lock_ignoring_poison(&self.kernel);
        match &*last {
            Some((at, stats)) if at.elapsed() < SOCKET_STATS_TTL => stats.clone(),
            _ => {
                let stats = socket_stats(self.port);
                *last = Some((Instant::now(), stats.clone()));
                stats
            }
        }
    }

    /// Statistics for the control socket, with at most `most` of the busiest addresses.
    pub fn clients(&self, most: usize) -> Clients {
        let client = |stats: foldtrack_admission::ClientStats| ClientStats {
            address: stats.address.to_string(),
            known: match (stats.named, stats.known) {
                (true, _) => "by name",
                (false, true) => "earned",
                (false, false) => "no",
            }
            .into(),
            connections: stats.connections as u32,
            requests: stats.open_requests as u32,
            asked: stats.requests_total,
            taken: stats.accepted,
            refused: stats.refused,
            turned_away: stats.rejected,
            rate: (stats.rate * 10.0).round() / 10.0,
            part: (stats.share * 1000.0).round() / 1000.0,
            floods: stats.flooding,
        };
        let users = ["clients", "calls", "control"].into_iter().zip(self.connections.descriptors().usage());
        let descriptors = users
            .map(|(user, (held, most))| DescriptorUsage {
                party: user.into(),
                held: held as u32,
                most: most as u32,
            })
            .collect();
        let blocks = self.active().into_iter();
        Clients {
            clients: self.connections.client_stats(most).into_iter().map(client).collect(),
            blocks: blocks.map(|(network, left)| (network.to_string(), left)).collect(),
            floods: lock_ignoring_poison(&self.floods).clone(),
            descriptors,
            lingering: self.connections.lingering() as u32,
            kernel: self.cached_socket_stats(),
        }
    }
}
