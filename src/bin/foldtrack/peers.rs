//! The network side of what forwarders tell each other: one socket for datagrams, and a thread that keeps records. What
//! is told and what follows from it is for `foldtrack-peers` to say, and for the loop to carry out.

use crate::blocks::Blocks;
use crate::events::{EventSender, LoopEvent};
use foldtrack_peers::claims::Kept;
use foldtrack_peers::seal::{Sealer, LONGEST};
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

/// Datagrams that wait for the loop at most; further ones are dropped, as a network does. Whoever sent them tells again.
const WAITING: usize = 1024;
/// Pause after records could not be kept.
const KEEP_PAUSE: Duration = Duration::from_millis(500);
/// Pause after the socket could not be read.
const READ_PAUSE: Duration = Duration::from_millis(10);

/// What is there before the loop runs.
pub(crate) struct PeerSetup {
    said: PeerSettings,
    sealer: Sealer,
    store: Store,
    restored: Restored,
    log: ClaimLog,
    blocks: Arc<Blocks>,
}

impl PeerSetup {
    /// Reads the secret and opens the store.
    ///
    /// # Errors
    /// There is no secret that is one.
    pub fn open(said: &PeerSettings, state: &Path, blocks: Arc<Blocks>) -> Result<PeerSetup, String> {
        let told = |e: &dyn std::fmt::Display| format!("{}: {e}", said.secret.display());
        let secret = std::fs::read(&said.secret).map_err(|e| told(&e))?;
        let sealer = Sealer::new(secret.trim_ascii()).map_err(|e| told(&e))?;
        let Opened { store, mut restored, told } = Store::open(state);
        let OpenedClaims { mut log, kept, whole } = ClaimLog::open(state);
        // A log without the store's memory of its own is of another folder.
        (restored.claims, restored.claims_whole) = (kept, whole && restored.memory != 0);
        if whole && !restored.claims_whole {
            log.is_whole(false, &restored.claims).map_err(|e| e.to_string())?;
        }
        for line in told {
            eprintln!("peers: {line}");
        }
        Ok(PeerSetup { said: said.clone(), sealer, store, restored, log, blocks })
    }

    /// Binds the socket and starts what reads it and what keeps records; gives the module, and the hands that it has.
    ///
    /// # Errors
    /// The address can't be had, or there is no thread left.
    pub fn start(self, seed: u64, now: u64, events: &EventSender) -> std::io::Result<(Peers, PeerIo)> {
        let said = self.said;
        let named =
            |e: std::io::Error| std::io::Error::new(e.kind(), format!("peers.listen {}: {e}", said.listen));
        let socket = std::net::UdpSocket::bind(said.listen).map_err(named)?;
        socket.set_nonblocking(true).map_err(named)?;
        let socket = Arc::new(UdpSocket::from_std(socket).map_err(named)?);
        let waiting = Arc::new(AtomicUsize::new(0));
        let crowded = Arc::new(AtomicUsize::new(0));
        tokio::spawn(read(socket.clone(), events.clone(), waiting.clone(), crowded.clone()));
        let (records, to_keep) = mpsc::channel();
        let unkept = Arc::new(std::sync::Mutex::new(String::new()));
        let (store, back, problem) = (self.store, events.clone(), unkept.clone());
        std::thread::Builder::new()
            .name("peers".into())
            .spawn(move || keep(&store, &to_keep, &back, &problem))?;
        let settings = Settings {
            name: said.name.clone(),
            others: said.members.iter().map(|m| m.name.clone()).collect(),
            horizon: said.horizon / 1000,
            catch_up: said.catch_up,
            ready_within: said.ready_within / 1000,
            share_waits: said.share_waits,
            pace: foldtrack_peers::members::Pace::default(),
            seed,
        };
        let peers = Peers::new(now, settings, self.sealer, self.restored);
        let addresses = said.members.iter().map(|m| m.address).collect();
        let ready = Arc::new(AtomicBool::new(false));
        Ok((
            peers,
            PeerIo {
                socket,
                addresses,
                records,
                claims: self.log,
                waiting,
                crowded,
                unkept,
                ready,
                blocks: self.blocks,
            },
        ))
    }
}

/// What the loop needs to carry out what the module says.
pub(crate) struct PeerIo {
    socket: Arc<UdpSocket>,
    addresses: Vec<SocketAddr>,
    records: mpsc::Sender<(u64, Vec<Record>)>,
    claims: ClaimLog,
    waiting: Arc<AtomicUsize>,
    crowded: Arc<AtomicUsize>,
    unkept: Arc<std::sync::Mutex<String>>,
    /// This forwarder is caught up, or has waited long enough: what `/healthz` tells.
    pub ready: Arc<AtomicBool>,
    pub blocks: Arc<Blocks>,
}

impl PeerIo {
    /// Sends a datagram; one that the system has no room for is lost like any other.
    pub fn send(&self, to: usize, bytes: &[u8]) {
        let _ = self.socket.try_send_to(bytes, self.addresses[to]);
    }

    /// Has records kept; [`LoopEvent::PeerRecordsStored`] tells when they are.
    pub fn persist(&self, ticket: u64, records: Vec<Record>) {
        // The thread ends only with the process.
        let _ = self.records.send((ticket, records));
    }

    /// Writes what has been granted to others, before they hear of it.
    pub fn persist_claims(&mut self, records: &[Kept], standing: impl FnOnce() -> Vec<Kept>) {
        if let Err(error) = self.claims.append(records, standing) {
            eprintln!("peers: who holds which message is not kept, and not known after a restart: {error}");
        }
    }

    /// The log of what was granted has all of it from now on, or has not.
    pub fn set_claim_log_complete(&mut self, whole: bool, standing: &[Kept]) {
        if let Err(error) = self.claims.is_whole(whole, standing) {
            eprintln!("peers: who holds which message is not kept, and not known after a restart: {error}");
        }
    }

    /// A datagram has been taken out of the queue.
    pub fn datagram_dequeued(&self) {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
    }

    /// Datagrams that were dropped since the loop was too far behind.
    pub fn queue_drops(&self) -> u64 {
        self.crowded.load(Ordering::Relaxed) as u64
    }

    /// Why records are not kept, if they are not.
    pub fn persist_error(&self) -> String {
        crate::lock::lock_ignoring_poison(&self.unkept).clone()
    }

    /// Tells operators.
    pub fn report(&self, kind: &str, text: &str) {
        eprintln!("peers: {kind}: {text}");
        self.blocks.publish(kind, text);
    }
}

/// Reads datagrams for as long as the process runs.
async fn read(
    socket: Arc<UdpSocket>, events: EventSender, waiting: Arc<AtomicUsize>, crowded: Arc<AtomicUsize>,
) {
    // One byte more than any: what fills it was longer, and is refused as that.
    let mut bytes = vec![0; LONGEST + 1];
    loop {
        match socket.recv_from(&mut bytes).await {
            Ok((length, _)) => {
                if waiting.fetch_add(1, Ordering::Relaxed) >= WAITING {
                    waiting.fetch_sub(1, Ordering::Relaxed);
                    crowded.fetch_add(1, Ordering::Relaxed);
                    // The loop is on this thread, and has its turn now.
                    tokio::task::yield_now().await;
                    continue;
                }
                events.send(LoopEvent::Datagram(bytes[..length].to_vec()));
            }
            Err(_) => sleep(READ_PAUSE).await,
        }
    }
}

/// Keeps records, in their order, for as long as there is a loop. What can't be kept is tried again, and nothing behind it
/// is acknowledged meanwhile.
fn keep(
    store: &Store, records: &mpsc::Receiver<(u64, Vec<Record>)>, events: &EventSender,
    problem: &std::sync::Mutex<String>,
) {
    while let Ok((mut ticket, mut batch)) = records.recv() {
        // What has gathered goes in one stroke.
        while let Ok((later, more)) = records.try_recv() {
            ticket = later;
            batch.extend(more);
        }
        while let Err(error) = store.keep(&batch) {
            let told = error.to_string();
            let mut last = crate::lock::lock_ignoring_poison(problem);
            if *last != told {
                eprintln!("peers: what was ordered is not kept yet: {told}");
                *last = told;
            }
            drop(last);
            std::thread::sleep(KEEP_PAUSE);
        }
        let mut last = crate::lock::lock_ignoring_poison(problem);
        if !last.is_empty() {
            eprintln!("peers: what was ordered is kept again");
            last.clear();
        }
        drop(last);
        events.send(LoopEvent::PeerRecordsStored(ticket));
    }
}
