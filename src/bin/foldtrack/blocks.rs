//! Blocks of clients by order, kept over restarts in a file of their own, and what the control line is told of clients. All
//! of it runs on the control line's thread: the loop is not asked.

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

const FILE: &str = "blocks.json";
/// Lines of floods that are shown.
const FLOODS: usize = 100;
/// Events that a slow subscriber may be behind; beyond, it is told how many it has missed.
const EVENTS: usize = 64;
/// How long what the kernel tells of sockets is shown: with many thousands of them it takes milliseconds to read.
const KERNEL_FRESH: Duration = Duration::from_secs(2);
/// A block lasts so long at most, in milliseconds: 30 days.
pub(crate) const MAX_BLOCK_MS: u64 = 30 * 86_400_000;

/// One block as it is kept.
#[derive(Debug, Serialize, Deserialize)]
struct Kept {
    network: IpNet,
    /// Unix time in microseconds.
    until: u64,
}

/// The blocks of a site.
pub(crate) struct Blocks {
    path: PathBuf,
    places: Arc<ClientConnections>,
    /// Floods, the latest first, as lines.
    floods: Mutex<Vec<String>>,
    /// What happens, for those who have subscribed.
    events: broadcast::Sender<control::Event>,
    /// One writes at a time.
    keeping: Mutex<()>,
    /// The listener's port, and what the kernel told of its sockets last.
    port: u16,
    kernel: Mutex<Option<(Instant, Option<KernelSockets>)>>,
}

/// What the kernel tells of a port's sockets (proc(5), `net/tcp`).
fn kernel(port: u16) -> Option<KernelSockets> {
    use procfs::net::TcpState;
    let mut told = KernelSockets::default();
    let own = procfs::process::Process::myself().ok()?;
    let all = own.tcp().ok()?.into_iter().chain(own.tcp6().unwrap_or_default());
    for socket in all.filter(|s| s.local_address.port() == port) {
        match socket.state {
            TcpState::SynRecv | TcpState::NewSynRecv => told.half_open += 1,
            TcpState::Established => told.established += 1,
            TcpState::CloseWait | TcpState::LastAck => told.half_closed += 1,
            TcpState::FinWait1 | TcpState::FinWait2 | TcpState::Closing => told.closing += 1,
            TcpState::TimeWait => told.time_wait += 1,
            TcpState::SynSent | TcpState::Close | TcpState::Listen => {}
        }
    }
    Some(told)
}

impl Blocks {
    /// Reads what is kept; blocks that have ended meanwhile are none.
    ///
    /// # Errors
    /// The file can't be read, or holds something else. It is left as it is.
    pub fn open(state: &Path, places: Arc<ClientConnections>, port: u16) -> Result<Arc<Blocks>, String> {
        let path = state.join(FILE);
        let told = |e: &dyn std::fmt::Display| {
            format!("{}: {e}; move it away to start without blocks", path.display())
        };
        let kept: Vec<Kept> = match std::fs::read(&path) {
            Ok(text) => serde_json::from_slice(&text).map_err(|e| told(&e))?,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(told(&e)),
        };
        let clock = places.clock();
        let now = clock.unix_time(clock.now());
        for Kept { network, until } in kept.iter().filter(|kept| kept.until > now) {
            places.block(*network, clock.time_at_unix(*until)).map_err(|e| told(&e))?;
        }
        let events = broadcast::Sender::new(EVENTS);
        Ok(Arc::new(Blocks {
            path,
            places,
            floods: Mutex::default(),
            events,
            keeping: Mutex::default(),
            port,
            kernel: Mutex::default(),
        }))
    }

    /// Blocks a network for so long. It holds at once, and once this returns over a restart.
    ///
    /// # Errors
    /// There are too many, or it could not be kept: then it holds, but may not outlive the process.
    pub fn block(&self, network: IpNet, for_ms: u64) -> Result<(), String> {
        self.apply(network, for_ms)?;
        self.keep().map_err(|e| {
            format!("the block holds, but may not outlive the process: {}: {e}", self.path.display())
        })
    }

    /// What another forwarder was told: it holds at once, and is kept by [`Blocks::save_in_background`].
    ///
    /// # Errors
    /// There are too many.
    pub fn apply(&self, network: IpNet, for_ms: u64) -> Result<(), String> {
        self.places.block(network, self.places.clock().now() + for_ms.min(MAX_BLOCK_MS) * 1000)
    }

    /// Lets a network in again that another forwarder was told to; false if it was not blocked.
    pub fn remove(&self, network: &IpNet) -> bool {
        self.places.unblock(network)
    }

    /// What stands, and for how many milliseconds yet.
    pub fn active(&self) -> Vec<(IpNet, u64)> {
        let now = self.places.clock().now();
        let standing = self.places.blocks().into_iter().filter(|(_, until)| *until > now);
        standing.map(|(network, until)| (network, (until - now) / 1000)).collect()
    }

    /// Writes all that stands, off the loop.
    pub fn save_in_background(self: &Arc<Blocks>) {
        let blocks = self.clone();
        tokio::task::spawn_blocking(move || {
            if let Err(e) = blocks.keep() {
                eprintln!(
                    "peers: a block holds, but may not outlive the process: {}: {e}",
                    blocks.path.display()
                );
            }
        });
    }

    /// Ends a block; false if there was none.
    ///
    /// # Errors
    /// It could not be kept.
    pub fn unblock(&self, network: &IpNet) -> Result<bool, String> {
        let was = self.remove(network);
        let kept = self.keep();
        kept.map(|()| was).map_err(|e| {
            format!("it holds no more, but may come back with a restart: {}: {e}", self.path.display())
        })
    }

    /// Writes all that stands into a new file and puts it in the old one's place: whole or not at all, also when the power
    /// goes.
    fn keep(&self) -> io::Result<()> {
        let _one = lock_ignoring_poison(&self.keeping);
        let clock = self.places.clock();
        let now = clock.now();
        let standing = self.places.blocks().into_iter().filter(|(_, until)| *until > now);
        let kept: Vec<Kept> =
            standing.map(|(network, until)| Kept { network, until: clock.unix_time(until) }).collect();
        let folder = self.path.parent().unwrap_or(Path::new("."));
        let mut file = tempfile::NamedTempFile::new_in(folder)?;
        file.write_all(&serde_json::to_vec(&kept)?)?;
        file.as_file().sync_all()?;
        file.persist(&self.path).map_err(|e| e.error)?;
        std::fs::File::open(folder)?.sync_all()
    }

    /// Takes in what the gate has noticed; each is told once, in one line.
    pub fn report_floods(&self) {
        for event in self.places.events() {
            let name = |a: Option<IpAddr>| a.map_or("many addresses".to_string(), |a| a.to_string());
            let (kind, address, line) = match event {
                Event::FloodBegan { address } => {
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
            let clock = self.places.clock();
            // Nobody need have subscribed.
            let _ = self.events.send(control::Event {
                at: clock.unix_time(clock.now()),
                kind: kind.into(),
                address: address.map_or(String::new(), |a| a.to_string()),
                text: line.clone(),
            });
            let mut floods = lock_ignoring_poison(&self.floods);
            floods.insert(0, line);
            floods.truncate(FLOODS);
        }
    }

    /// Something that has happened elsewhere in the process, for those who have subscribed.
    pub fn publish(&self, kind: &str, text: &str) {
        let clock = self.places.clock();
        // Nobody may be listening.
        let _ = self.events.send(control::Event {
            at: clock.unix_time(clock.now()),
            kind: kind.into(),
            text: text.into(),
            ..control::Event::default()
        });
    }

    /// What happens from now on.
    pub fn events(&self) -> broadcast::Receiver<control::Event> {
        self.events.subscribe()
    }

    /// What the kernel tells of the listener's sockets, now or a moment ago.
    fn kernel(&self) -> Option<KernelSockets> {
        let mut last = lock_ignoring_poison(&self.kernel);
        match &*last {
            Some((at, told)) if at.elapsed() < KERNEL_FRESH => told.clone(),
            _ => {
                let told = kernel(self.port);
                *last = Some((Instant::now(), told.clone()));
                told
            }
        }
    }

    /// Takes in how many descriptors there are now, and how many places by them.
    pub fn update_limits(&self, (limit, most): (usize, Result<usize, String>)) {
        let (places, told) = match most {
            Ok(places) => (places, format!("clients: {places} connections at once from now on")),
            Err(error) => (0, format!("clients: nobody is let in: {error}")),
        };
        if self.places.set_places(limit, places) {
            eprintln!("{told}");
        }
    }

    /// What there is to see of clients: the busiest addresses, at most so many.
    pub fn clients(&self, most: usize) -> Clients {
        let client = |seen: foldtrack_admission::Seen| ClientStats {
            address: seen.address.to_string(),
            known: match (seen.named, seen.known) {
                (true, _) => "by name",
                (false, true) => "earned",
                (false, false) => "no",
            }
            .into(),
            connections: seen.open as u32,
            requests: seen.requests as u32,
            asked: seen.asked,
            taken: seen.taken,
            refused: seen.refused,
            turned_away: seen.turned_away,
            rate: (seen.rate * 10.0).round() / 10.0,
            part: (seen.part * 1000.0).round() / 1000.0,
            floods: seen.floods,
        };
        let parties = ["clients", "calls", "control"].into_iter().zip(self.places.descriptors().seen());
        let descriptors = parties
            .map(|(party, (held, most))| DescriptorUsage {
                party: party.into(),
                held: held as u32,
                most: most as u32,
            })
            .collect();
        let blocks = self.active().into_iter();
        Clients {
            clients: self.places.seen(most).into_iter().map(client).collect(),
            blocks: blocks.map(|(network, left)| (network.to_string(), left)).collect(),
            floods: lock_ignoring_poison(&self.floods).clone(),
            descriptors,
            lingering: self.places.lingering() as u32,
            kernel: self.kernel(),
        }
    }
}
