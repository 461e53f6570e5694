//! Network and disk side of the peer protocol: a UDP socket and a thread that persists records. The
//! protocol itself is in `foldtrack-peers`; the node loop carries out its outputs.

use crate::blocks::Blocks;
use crate::events::{EventSender, LoopEvent};
use foldtrack_peers::claims::ClaimRecord;
use foldtrack_peers::seal::{Sealer, MAX_DATAGRAM};
use foldtrack_peers::store::{ClaimLog, Opened, OpenedClaims, Store};
use foldtrack_peers::{Peers, Record, Restored, Settings};
use foldtrack_site::PeerSettings;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// Maximum number of datagrams waiting for the node loop. Further ones are dropped, as on a congested
/// network; their senders repeat them.
const MAX_QUEUED_DATAGRAMS: usize = 1024;
/// Descriptors that peers take at the most: the socket, the store, the claim log and its rewritten copy, and the file of
/// facts that were set aside.
pub(crate) const MAX_DESCRIPTORS: usize = 5;
/// Datagrams that are read before other tasks of the thread get their turn.
const DATAGRAMS_PER_TURN: u64 = 32;
/// Pause before a failed write of records is tried again.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Pause after a read error on the socket.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// What is opened before the node loop starts.
pub(crate) struct PeerSetup {
    config: PeerSettings,
    sealer: Sealer,
    store: Store,
    restored: Restored,
    claim_log: ClaimLog,
    blocks: Arc<Blocks>,
}

impl PeerSetup {
    /// Reads the shared secret and opens the store and the claim log.
    ///
    /// # Errors
    /// The secret can't be read or is too short, or the claim log can't be written.
    pub fn open(config: &PeerSettings, state: &Path, blocks: Arc<Blocks>) -> Result<PeerSetup, String> {
        let named = |e: &dyn std::fmt::Display| format!("{}: {e}", config.secret.display());
        let secret = std::fs::read(&config.secret).map_err(|e| named(&e))?;
        let sealer = Sealer::new(secret.trim_ascii()).map_err(|e| named(&e))?;
        let Opened { store, mut restored, problems } = Store::open(state);
        let OpenedClaims { mut log, records, complete } = ClaimLog::open(state);
        // A claim log beside a store without a store id belongs to another folder.
        (restored.claims, restored.claims_complete) = (records, complete && restored.store_id != 0);
        if complete && !restored.claims_complete {
            log.set_complete(false, &restored.claims).map_err(|e| e.to_string())?;
        }
        for problem in problems {
            eprintln!("peers: {problem}");
        }
        Ok(PeerSetup { config: config.clone(), sealer, store, restored, claim_log: log, blocks })
    }

    /// Binds the socket and starts its reader and the thread that persists records. Returns the protocol
    /// state and the I/O handles for the node loop.
    ///
    /// # Errors
    /// The address can't be bound, or no thread can be started.
    pub fn start(self, seed: u64, now: u64, events: &EventSender) -> std::io::Result<(Peers, PeerIo)> {
        let config = self.config;
        let named =
            |e: std::io::Error| std::io::Error::new(e.kind(), format!("peers.listen {}: {e}", config.listen));
        let socket = std::net::UdpSocket::bind(config.listen).map_err(named)?;
        socket.set_nonblocking(true).map_err(named)?;
        let socket = Arc::new(UdpSocket::from_std(socket).map_err(named)?);
        let queued = Arc::new(AtomicUsize::new(0));
        let dropped = Arc::new(AtomicUsize::new(0));
        tokio::spawn(read_datagrams(socket.clone(), events.clone(), queued.clone(), dropped.clone()));
        let (records, record_batches) = mpsc::channel();
        let write_error = Arc::new(std::sync::Mutex::new(String::new()));
        let (store, reply_to, write_error_slot) = (self.store, events.clone(), write_error.clone());
        std::thread::Builder::new()
            .name("peers".into())
            .spawn(move || persist_records(&store, &record_batches, &reply_to, &write_error_slot))?;
        let settings = Settings {
            name: config.name.clone(),
            others: config.members.iter().map(|m| m.name.clone()).collect(),
            horizon_ms: config.horizon / 1000,
            catch_up_bytes_per_s: config.catch_up,
            ready_timeout_ms: config.ready_within / 1000,
            share_waits: config.share_waits,
            probe_timings: foldtrack_peers::members::ProbeTimings::default(),
            seed,
        };
        let peers = Peers::new(now, settings, self.sealer, self.restored);
        let addresses = config.members.iter().map(|m| m.address).collect();
        let ready = Arc::new(AtomicBool::new(false));
        Ok((
            peers,
            PeerIo {
                socket,
                addresses,
                records,
                claim_log: self.claim_log,
                queued,
                dropped,
                write_error,
                ready,
                blocks: self.blocks,
            },
        ))
    }
}

/// Socket, store and claim log, as the node loop uses them to carry out the protocol's outputs.
pub(crate) struct PeerIo {
    socket: Arc<UdpSocket>,
    addresses: Vec<SocketAddr>,
    records: mpsc::Sender<(u64, Vec<Record>)>,
    claim_log: ClaimLog,
    queued: Arc<AtomicUsize>,
    dropped: Arc<AtomicUsize>,
    write_error: Arc<std::sync::Mutex<String>>,
    /// Whether this forwarder has caught up or has waited long enough, as reported by `/healthz`.
    pub ready: Arc<AtomicBool>,
    /// The blocked client networks.
    pub blocks: Arc<Blocks>,
}

impl PeerIo {
    /// Sends a datagram. If the socket buffer is full, the datagram is lost like any other.
    pub fn send(&self, link: usize, bytes: &[u8]) {
        let _ = self.socket.try_send_to(bytes, self.addresses[link]);
    }

    /// Sends records to the store thread; [`LoopEvent::PeerRecordsStored`] reports when they are persisted.
    pub fn persist(&self, ticket: u64, records: Vec<Record>) {
        // The thread ends only with the process.
        let _ = self.records.send((ticket, records));
    }

    /// Writes granted claims to the log before the replies are sent.
    pub fn persist_claims(&mut self, records: &[ClaimRecord], snapshot: impl FnOnce() -> Vec<ClaimRecord>) {
        if let Err(error) = self.claim_log.append(records, snapshot) {
            eprintln!(
                "peers: granted claims are not persisted, and will be unknown after a restart: {error}"
            );
        }
    }

    /// Rewrites the log and records whether it has every grant.
    pub fn set_claim_log_complete(&mut self, complete: bool, snapshot: &[ClaimRecord]) {
        if let Err(error) = self.claim_log.set_complete(complete, snapshot) {
            eprintln!(
                "peers: granted claims are not persisted, and will be unknown after a restart: {error}"
            );
        }
    }

    /// Counts a datagram as taken from the queue.
    pub fn datagram_dequeued(&self) {
        self.queued.fetch_sub(1, Ordering::Relaxed);
    }

    /// Number of datagrams dropped because the queue was full.
    pub fn queue_drops(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed) as u64
    }

    /// The error for which records are not being persisted, or an empty string.
    pub fn persist_error(&self) -> String {
        crate::lock::lock_ignoring_poison(&self.write_error).clone()
    }

    /// Logs an event and reports it to operators.
    pub fn report(&self, kind: &str, text: &str) {
        eprintln!("peers: {kind}: {text}");
        self.blocks.publish(kind, text);
    }
}

/// Reads datagrams for as long as the process runs.
async fn read_datagrams(
    socket: Arc<UdpSocket>, events: EventSender, queued: Arc<AtomicUsize>, dropped: Arc<AtomicUsize>,
) {
    // One byte more than the maximum: a datagram that fills the buffer was too long and is dropped as
    // oversized.
    let mut bytes = vec![0; MAX_DATAGRAM + 1];
    for number in 1_u64.. {
        if number.is_multiple_of(DATAGRAMS_PER_TURN) {
            tokio::task::yield_now().await;
        }
        match socket.recv_from(&mut bytes).await {
            Ok((length, _)) => {
                if queued.fetch_add(1, Ordering::Relaxed) >= MAX_QUEUED_DATAGRAMS {
                    queued.fetch_sub(1, Ordering::Relaxed);
                    dropped.fetch_add(1, Ordering::Relaxed);
                    // The node loop runs on this thread; let it drain the queue.
                    tokio::task::yield_now().await;
                    continue;
                }
                events.send(LoopEvent::Datagram(bytes[..length].to_vec()));
            }
            Err(_) => sleep(READ_RETRY_PAUSE).await,
        }
    }
}

/// Persists records in order for as long as the node loop runs. A failed write is tried again, and nothing
/// after it is acknowledged meanwhile.
fn persist_records(
    store: &Store, records: &mpsc::Receiver<(u64, Vec<Record>)>, events: &EventSender,
    write_error: &std::sync::Mutex<String>,
) {
    while let Ok((mut ticket, mut batch)) = records.recv() {
        // Everything waiting is written in one transaction.
        while let Ok((later, more)) = records.try_recv() {
            ticket = later;
            batch.extend(more);
        }
        while let Err(error) = store.write(&batch) {
            let text = error.to_string();
            let mut last = crate::lock::lock_ignoring_poison(write_error);
            if *last != text {
                eprintln!("peers: orders are not persisted yet: {text}");
                *last = text;
            }
            drop(last);
            std::thread::sleep(WRITE_RETRY_PAUSE);
        }
        let mut last = crate::lock::lock_ignoring_poison(write_error);
        if !last.is_empty() {
            eprintln!("peers: orders are persisted again");
            last.clear();
        }
        drop(last);
        events.send(LoopEvent::PeerRecordsStored(ticket));
    }
}
