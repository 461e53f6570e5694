//! Relays: each directed link between two forwarders has one for datagrams, each between a forwarder and an endpoint one
//! for streams. What they do with what comes is for [`crate::faults`] to say.

use crate::faults::{Fate, Faults, Link};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until};

/// A link from one to another, by name.
pub type Name = (String, String);
/// Bytes that a held link holds at most.
const HELD: usize = 4096;

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Shared {
    begun: Instant,
    link: Mutex<Link>,
    /// The faults are others now.
    changed: Notify,
    held: Mutex<Vec<Vec<u8>>>,
    /// When something was sent on by a stream: a call each.
    calls: Mutex<Vec<Instant>>,
}

impl Shared {
    fn new(seed: u64) -> Arc<Shared> {
        Arc::new(Shared {
            begun: Instant::now(),
            link: Mutex::new(Link::new(seed)),
            changed: Notify::new(),
            held: Mutex::default(),
            calls: Mutex::default(),
        })
    }

    /// Waits until something may cross, and gives how long it is under way.
    async fn passes(&self, bytes: usize) -> Duration {
        loop {
            let changed = self.changed.notified();
            {
                let mut link = locked(&self.link);
                if !link.faults.cut && !link.faults.hold {
                    return link.span(self.begun.elapsed(), bytes);
                }
            }
            changed.await;
        }
    }
}

/// All relays of a rig, on threads of their own.
pub struct Net {
    runtime: Runtime,
    links: BTreeMap<Name, Arc<Shared>>,
    seed: u64,
}

impl Net {
    /// # Errors
    /// There is no thread left.
    pub fn new(seed: u64) -> io::Result<Net> {
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        Ok(Net { runtime, links: BTreeMap::new(), seed })
    }

    fn link(&mut self, from: &str, to: &str) -> Arc<Shared> {
        // By the names, so that a link's history is its own whatever others there are.
        let text = format!("{from}>{to}");
        let seed = text.bytes().fold(self.seed, |s, b| s.wrapping_mul(0x100_0000_01b3) ^ u64::from(b));
        let shared = Shared::new(seed);
        self.links.insert((from.into(), to.into()), shared.clone());
        shared
    }

    /// A relay for datagrams: gives the address that `from` is to write to, to reach `to`.
    ///
    /// # Errors
    /// There is no port or descriptor left.
    pub fn datagrams(&mut self, from: &str, to: &str, address: SocketAddr) -> io::Result<SocketAddr> {
        let shared = self.link(from, to);
        let _in = self.runtime.enter();
        let socket = std::net::UdpSocket::bind("127.0.0.1:0")?;
        socket.set_nonblocking(true)?;
        let own = socket.local_addr()?;
        let socket = Arc::new(UdpSocket::from_std(socket)?);
        self.runtime.spawn(relay_datagrams(socket, address, shared));
        Ok(own)
    }

    /// A relay for streams from `from` to `to`.
    ///
    /// # Errors
    /// There is no port or descriptor left.
    pub fn streams(&mut self, from: &str, to: &str, address: SocketAddr) -> io::Result<SocketAddr> {
        let shared = self.link(from, to);
        let back = self.link(to, from);
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let own = listener.local_addr()?;
        let _in = self.runtime.enter();
        let listener = TcpListener::from_std(listener)?;
        self.runtime.spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        drop(tokio::spawn(relay_stream(stream, address, shared.clone(), back.clone())))
                    }
                    Err(_) => sleep(Duration::from_millis(10)).await,
                }
            }
        });
        Ok(own)
    }

    /// Every link's name.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.links.keys()
    }

    /// Changes the faults of a link; what it held goes on if it holds no more.
    pub fn change(&self, name: &Name, change: impl FnOnce(&mut Faults)) {
        let Some(shared) = self.links.get(name) else { return };
        change(&mut locked(&shared.link).faults);
        // Two ways wait on one link at most, and each relay of datagrams.
        shared.changed.notify_waiters();
        shared.changed.notify_one();
    }

    /// When calls have gone from one to another.
    pub fn calls(&self, from: &str, to: &str) -> Vec<Instant> {
        let shared = self.links.get(&(from.to_string(), to.to_string()));
        shared.map_or(Vec::new(), |s| locked(&s.calls).clone())
    }
}

async fn relay_datagrams(socket: Arc<UdpSocket>, to: SocketAddr, shared: Arc<Shared>) {
    let mut bytes = vec![0; 64 << 10];
    loop {
        let changed = shared.changed.notified();
        let holds = locked(&shared.link).faults.hold;
        if !holds {
            let held = std::mem::take(&mut *locked(&shared.held));
            for bytes in held {
                let _ = socket.send_to(&bytes, to).await;
            }
        }
        tokio::select! {
            () = changed => {}
            read = socket.recv_from(&mut bytes) => {
                // Where nobody listens for a while the system may say so: that is what happens to datagrams.
                let Ok((length, _)) = read else { continue };
                let fate = locked(&shared.link).pass(shared.begun.elapsed(), &bytes[..length]);
                match fate {
                    Fate::Lost => {}
                    Fate::Held => {
                        let mut held = locked(&shared.held);
                        if held.len() < HELD {
                            held.push(bytes[..length].to_vec());
                        }
                    }
                    Fate::Comes(all) => for (span, bytes) in all {
                        if span.is_zero() {
                            let _ = socket.send_to(&bytes, to).await;
                            continue;
                        }
                        let socket = socket.clone();
                        tokio::spawn(async move {
                            sleep(span).await;
                            let _ = socket.send_to(&bytes, to).await;
                        });
                    },
                }
            }
        }
    }
}

async fn relay_stream(stream: TcpStream, to: SocketAddr, there: Arc<Shared>, back: Arc<Shared>) {
    // A cut link makes no connection: the first packets are held back with the rest.
    let span = there.passes(0).await;
    sleep(span).await;
    let Ok(other) = TcpStream::connect(to).await else { return };
    let _ = (stream.set_nodelay(true), other.set_nodelay(true));
    let (from_near, to_near) = stream.into_split();
    let (from_far, to_far) = other.into_split();
    let onward = tokio::spawn(pump(from_near, to_far, there, true));
    let returning = tokio::spawn(pump(from_far, to_near, back, false));
    // Either side's end ends the other, as a broken connection does.
    let _ = onward.await;
    let _ = returning.await;
}

async fn pump(
    mut from: tokio::net::tcp::OwnedReadHalf, mut to: tokio::net::tcp::OwnedWriteHalf, link: Arc<Shared>,
    calls: bool,
) {
    let mut bytes = vec![0; 16 << 10];
    let mut due = tokio::time::Instant::now();
    while let Ok(length) = from.read(&mut bytes).await {
        let span = link.passes(length).await;
        if length == 0 {
            break;
        }
        // In order: nothing overtakes on a stream.
        due = due.max(tokio::time::Instant::now() + span);
        sleep_until(due).await;
        if calls {
            locked(&link.calls).push(Instant::now());
        }
        if to.write_all(&bytes[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
