//! Relays: each directed link between two forwarders has one for datagrams, each between a forwarder and an endpoint one
//! for streams. What they do with what comes is for [`crate::faults`] to say.

use crate::faults::{Fate, Faults, Link};
use nix::sys::socket::{
    recv, recvmsg, setsockopt, sockopt::ReceiveTimestampns, ControlMessageOwned, MsgFlags,
};
use nix::sys::time::TimeSpec;
use std::collections::BTreeMap;
use std::io::{self, IoSliceMut};
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until};

/// A link from one to another, by name.
pub type LinkName = (String, String);
/// Bytes that a held link holds at most.
const HELD: usize = 4096;

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A call that a forwarder has written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// `X-Request-Id`.
    pub id: String,
    /// When it was written, by the kernel's word: however late this relay read it.
    pub at: Instant,
}

/// A wait that a forwarder has been told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// From when its last byte lay in the forwarder's socket.
    pub from: Instant,
    /// Until when nothing of his may go: it runs from when the partner wrote it.
    pub until: Instant,
}

/// What has crossed a link by streams.
#[derive(Clone, Debug, Default)]
pub struct LinkTraffic {
    /// Calls, where it leads to an endpoint.
    pub calls: Vec<Call>,
    /// Waits, where it leads from one.
    pub waits: Vec<Wait>,
}

/// A header of what begins with a head; stand-ins and forwarders write it whole.
fn header<'a>(bytes: &'a [u8], name: &str) -> Option<&'a str> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let mut lines = std::str::from_utf8(&bytes[..end]).ok()?.split("\r\n");
    lines.find_map(|line| {
        let (called, value) = line.split_once(':')?;
        called.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

struct Shared {
    begun: Instant,
    link: Mutex<Link>,
    /// The faults are others now.
    changed: Notify,
    held: Mutex<Vec<Vec<u8>>>,
    crossed: Mutex<LinkTraffic>,
}

impl Shared {
    fn new(seed: u64) -> Arc<Shared> {
        Arc::new(Shared {
            begun: Instant::now(),
            link: Mutex::new(Link::new(seed)),
            changed: Notify::new(),
            held: Mutex::default(),
            crossed: Mutex::default(),
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
pub struct Network {
    runtime: Runtime,
    links: BTreeMap<LinkName, Arc<Shared>>,
    seed: u64,
}

impl Network {
    /// # Errors
    /// There is no thread left.
    pub fn new(seed: u64) -> io::Result<Network> {
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        Ok(Network { runtime, links: BTreeMap::new(), seed })
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
        // Each connection has it from here, before its first byte. Where the kernel does not stamp, what is read counts
        // from when it is read.
        let _ = setsockopt(&listener, ReceiveTimestampns, &true);
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
    pub fn names(&self) -> impl Iterator<Item = &LinkName> {
        self.links.keys()
    }

    /// Changes the faults of a link; what it held goes on if it holds no more.
    pub fn update_faults(&self, name: &LinkName, change: impl FnOnce(&mut Faults)) {
        let Some(shared) = self.links.get(name) else { return };
        change(&mut locked(&shared.link).faults);
        // Two ways wait on one link at most, and each relay of datagrams.
        shared.changed.notify_waiters();
        shared.changed.notify_one();
    }

    /// What has gone from one to another.
    pub fn traffic(&self, from: &str, to: &str) -> LinkTraffic {
        let shared = self.links.get(&(from.to_string(), to.to_string()));
        shared.map_or(LinkTraffic::default(), |s| locked(&s.crossed).clone())
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
    let _ = setsockopt(&other, ReceiveTimestampns, &true);
    let _ = (stream.set_nodelay(true), other.set_nodelay(true));
    let (from_near, to_near) = stream.into_split();
    let (from_far, to_far) = other.into_split();
    let onward = tokio::spawn(pump(from_near, to_far, there));
    let returning = tokio::spawn(pump(from_far, to_near, back));
    // Either side's end ends the other, as a broken connection does.
    let _ = onward.await;
    let _ = returning.await;
}

/// A moment of the wall clock, as the kernel stamps, by the one that only goes forward.
fn moment(stamp: TimeSpec) -> Option<Instant> {
    let read = || (Instant::now(), SystemTime::now(), Instant::now());
    let (mut now, mut wall, mut after) = read();
    // Both clocks at one moment: whoever loses the core in between reads them anew.
    for _ in 0..10 {
        if after - now < Duration::from_micros(100) {
            break;
        }
        (now, wall, after) = read();
    }
    let since = Duration::new(stamp.tv_sec().try_into().ok()?, stamp.tv_nsec().try_into().ok()?);
    now.checked_sub(wall.duration_since(UNIX_EPOCH + since).unwrap_or_default())
}

/// Reads what has come, and when it had come.
fn received(stream: &TcpStream, bytes: &mut [u8]) -> io::Result<(usize, Instant)> {
    let mut stamps = nix::cmsg_space!(TimeSpec);
    let mut parts = [IoSliceMut::new(bytes)];
    let read = recvmsg::<()>(stream.as_raw_fd(), &mut parts, Some(&mut stamps), MsgFlags::empty())?;
    let stamp = read.cmsgs()?.find_map(|part| match part {
        ControlMessageOwned::ScmTimestampns(stamp) => moment(stamp),
        _ => None,
    });
    Ok((read.bytes, stamp.unwrap_or_else(Instant::now)))
}

/// Whether the other side has ended its sending or its connection.
fn has_ended(stream: &TcpStream) -> bool {
    match recv(stream.as_raw_fd(), &mut [0], MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT) {
        Ok(length) => length == 0,
        Err(e) => e != nix::errno::Errno::EAGAIN,
    }
}

async fn pump(
    from: tokio::net::tcp::OwnedReadHalf, mut to: tokio::net::tcp::OwnedWriteHalf, link: Arc<Shared>,
) {
    let mut bytes = vec![0; 16 << 10];
    let mut due = tokio::time::Instant::now();
    loop {
        let near: &TcpStream = from.as_ref();
        let read = near.async_io(Interest::READABLE, || received(near, &mut bytes)).await;
        let Ok((length, came)) = read else { break };
        let bytes = &bytes[..length];
        if let Some(id) = header(bytes, "x-request-id") {
            locked(&link.crossed).calls.push(Call { id: id.to_string(), at: came });
        }
        let span = link.passes(length).await;
        if length == 0 {
            break;
        }
        // In order: nothing overtakes on a stream.
        due = due.max(tokio::time::Instant::now() + span);
        sleep_until(due).await;
        if to.write_all(bytes).await.is_err() {
            break;
        }
        let wait = header(bytes, "x-come-back-ms").and_then(|ms| ms.parse().ok());
        // Whoever had ended his connection by then may not have heard it.
        if let Some(wait) = wait.filter(|_| !has_ended(to.as_ref())) {
            let until = came + Duration::from_millis(wait);
            locked(&link.crossed).waits.push(Wait { from: Instant::now(), until });
        }
    }
    let _ = to.shutdown().await;
}

#[cfg(test)]
mod tests {
    use super::*;
    use foldtrack_standin::{Partner, PartnerBehavior};
    use std::io::{Read, Write};

    const CALL: &[u8] = b"POST /v1/messages HTTP/1.1\r\nX-Request-Id: m-1\r\nContent-Length: 0\r\n\r\n";

    fn call(stream: &mut std::net::TcpStream) -> (Instant, Instant) {
        let before = Instant::now();
        stream.write_all(CALL).unwrap();
        (before, Instant::now())
    }

    /// A relay that is late itself must not hold that against whoever wrote in time.
    #[test]
    fn what_is_read_late_counts_from_when_it_was_written() {
        let partner = Partner::start(1, PartnerBehavior::default());
        let mut net = Network::new(1).unwrap();
        let relay = net.streams("a", "p", partner.address()).unwrap();
        let mut stream = std::net::TcpStream::connect(relay).unwrap();
        // The first is under way for so long that the second one waits in the relay's socket to be read.
        let late = Duration::from_millis(300);
        net.update_faults(&("a".into(), "p".into()), |f| f.delay = (late, late));
        call(&mut stream);
        foldtrack_standin::eventually("the first is read", || net.traffic("a", "p").calls.len() == 1);
        let (before, after) = call(&mut stream);
        foldtrack_standin::eventually("both have crossed", || net.traffic("a", "p").calls.len() == 2);
        let second = net.traffic("a", "p").calls[1].at;
        assert!(Instant::now() > after + late / 2, "it was not read late");
        let slack = Duration::from_millis(1);
        assert!(before < second + slack && second < after + slack, "{before:?} {second:?} {after:?}");
    }

    #[test]
    fn a_wait_counts_as_told_unless_its_call_was_given_up() {
        let partner = Partner::start(1, PartnerBehavior { rate: Some(0.0), ..PartnerBehavior::default() });
        let mut net = Network::new(1).unwrap();
        let relay = net.streams("a", "p", partner.address()).unwrap();
        let mut stream = std::net::TcpStream::connect(relay).unwrap();
        call(&mut stream);
        let asked = Instant::now();
        assert!(stream.read(&mut [0; 1024]).unwrap() > 0);
        foldtrack_standin::eventually("it is noted", || net.traffic("p", "a").waits.len() == 1);
        let wait = net.traffic("p", "a").waits[0];
        assert!(
            wait.from >= asked && wait.until <= Instant::now() + PartnerBehavior::default().wait,
            "{wait:?}"
        );
        let held = ("p".to_string(), "a".to_string());
        net.update_faults(&held, |f| f.hold = true);
        call(&mut stream);
        foldtrack_standin::eventually("it is answered", || partner.call_records().waits.len() == 2);
        drop(stream);
        // Given up before the answer reached it; one that comes after it says that the relay is past it.
        net.update_faults(&held, |f| f.hold = false);
        let mut other = std::net::TcpStream::connect(relay).unwrap();
        call(&mut other);
        foldtrack_standin::eventually("the next one is noted", || {
            net.traffic("p", "a").waits.iter().any(|w| w.until > wait.until)
        });
        assert_eq!(net.traffic("p", "a").waits.len(), 2);
    }
}
