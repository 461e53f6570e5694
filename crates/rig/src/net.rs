//! Network relays. Each directed link between two forwarders has a datagram relay, and each link between a forwarder and an
//! endpoint a stream relay. [`crate::faults`] decides what they do with the traffic.

use crate::faults::{Faults, Link, Transit};
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

/// A directed link: the names of its source and its destination.
pub type LinkName = (String, String);
/// Maximum number of datagrams that a held link keeps; further ones are dropped.
const MAX_HELD_DATAGRAMS: usize = 4096;

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A call that a forwarder sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// `X-Request-Id`.
    pub id: String,
    /// When it was sent, by the kernel's receive timestamp: independent of how late this relay read it.
    pub at: Instant,
}

/// A retry-after wait that a forwarder received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// When its last byte was in the forwarder's socket.
    pub from: Instant,
    /// Until when the forwarder must not call; the wait starts when the partner sends it.
    pub until: Instant,
}

/// The stream traffic that crossed a link.
#[derive(Clone, Debug, Default)]
pub struct LinkTraffic {
    /// Calls, on a link to an endpoint.
    pub calls: Vec<Call>,
    /// Waits, on a link from an endpoint.
    pub waits: Vec<Wait>,
}

/// Returns a header of bytes that begin with an HTTP head. Stand-ins and forwarders write the head in one piece.
fn header<'a>(bytes: &'a [u8], name: &str) -> Option<&'a str> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let mut lines = std::str::from_utf8(&bytes[..end]).ok()?.split("\r\n");
    lines.find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// The state of a link, shared by its relay tasks.
struct Shared {
    created: Instant,
    link: Mutex<Link>,
    /// Notified when the faults change.
    changed: Notify,
    /// Datagrams kept back while the link is held.
    held: Mutex<Vec<Vec<u8>>>,
    traffic: Mutex<LinkTraffic>,
}

impl Shared {
    fn new(seed: u64) -> Arc<Shared> {
        Arc::new(Shared {
            created: Instant::now(),
            link: Mutex::new(Link::new(seed)),
            changed: Notify::new(),
            held: Mutex::default(),
            traffic: Mutex::default(),
        })
    }

    /// Waits until the link is open and returns the delay of `bytes` bytes.
    async fn wait_until_open(&self, bytes: usize) -> Duration {
        loop {
            let changed = self.changed.notified();
            {
                let mut link = locked(&self.link);
                if !link.faults.cut && !link.faults.hold {
                    return link.delay(self.created.elapsed(), bytes);
                }
            }
            changed.await;
        }
    }
}

/// All relays of a rig, on a runtime of their own.
pub struct Network {
    runtime: Runtime,
    links: BTreeMap<LinkName, Arc<Shared>>,
    seed: u64,
}

impl Network {
    /// Creates a network without links.
    ///
    /// # Errors
    /// The threads of the runtime could not be started.
    pub fn new(seed: u64) -> io::Result<Network> {
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        Ok(Network { runtime, links: BTreeMap::new(), seed })
    }

    fn link(&mut self, from: &str, to: &str) -> Arc<Shared> {
        // The seed depends on the names only, so that a link behaves the same whatever other links there are.
        let text = format!("{from}>{to}");
        let seed = text.bytes().fold(self.seed, |s, b| s.wrapping_mul(0x100_0000_01b3) ^ u64::from(b));
        let shared = Shared::new(seed);
        self.links.insert((from.into(), to.into()), shared.clone());
        shared
    }

    /// Starts a datagram relay and returns the address at which `from` reaches `to`.
    ///
    /// # Errors
    /// No port or descriptor is available.
    pub fn datagrams(&mut self, from: &str, to: &str, address: SocketAddr) -> io::Result<SocketAddr> {
        let shared = self.link(from, to);
        let _guard = self.runtime.enter();
        let socket = std::net::UdpSocket::bind("127.0.0.1:0")?;
        socket.set_nonblocking(true)?;
        let own = socket.local_addr()?;
        let socket = Arc::new(UdpSocket::from_std(socket)?);
        self.runtime.spawn(relay_datagrams(socket, address, shared));
        Ok(own)
    }

    /// Starts a stream relay and returns the address at which `from` reaches `to`.
    ///
    /// # Errors
    /// No port or descriptor is available.
    pub fn streams(&mut self, from: &str, to: &str, address: SocketAddr) -> io::Result<SocketAddr> {
        let shared = self.link(from, to);
        let back = self.link(to, from);
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        // Accepted connections inherit the option before their first byte arrives. Where the kernel does not provide
        // timestamps, the time of reading is used.
        let _ = setsockopt(&listener, ReceiveTimestampns, &true);
        let own = listener.local_addr()?;
        let _guard = self.runtime.enter();
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

    /// The names of all links.
    pub fn names(&self) -> impl Iterator<Item = &LinkName> {
        self.links.keys()
    }

    /// Changes the faults of a link. If it is no longer held, the datagrams that it kept back are delivered.
    pub fn update_faults(&self, name: &LinkName, change: impl FnOnce(&mut Faults)) {
        let Some(shared) = self.links.get(name) else { return };
        change(&mut locked(&shared.link).faults);
        // At most two directions wait on one link, besides the datagram relay. `notify_one` leaves a permit for a task that is
        // not waiting at this moment.
        shared.changed.notify_waiters();
        shared.changed.notify_one();
    }

    /// The stream traffic from one name to another so far.
    pub fn traffic(&self, from: &str, to: &str) -> LinkTraffic {
        let shared = self.links.get(&(from.to_string(), to.to_string()));
        shared.map_or(LinkTraffic::default(), |s| locked(&s.traffic).clone())
    }
}

async fn relay_datagrams(socket: Arc<UdpSocket>, to: SocketAddr, shared: Arc<Shared>) {
    let mut bytes = vec![0; 64 << 10];
    loop {
        let changed = shared.changed.notified();
        let is_held = locked(&shared.link).faults.hold;
        if !is_held {
            let held = std::mem::take(&mut *locked(&shared.held));
            for bytes in held {
                let _ = socket.send_to(&bytes, to).await;
            }
        }
        tokio::select! {
            () = changed => {}
            read = socket.recv_from(&mut bytes) => {
                // While nobody listens at the destination, the system may report an error here: the datagram is lost.
                let Ok((length, _)) = read else { continue };
                let transit = locked(&shared.link).transmit(shared.created.elapsed(), &bytes[..length]);
                match transit {
                    Transit::Lost => {}
                    Transit::Held => {
                        let mut held = locked(&shared.held);
                        if held.len() < MAX_HELD_DATAGRAMS {
                            held.push(bytes[..length].to_vec());
                        }
                    }
                    Transit::Delivered(copies) => for (delay, bytes) in copies {
                        if delay.is_zero() {
                            let _ = socket.send_to(&bytes, to).await;
                            continue;
                        }
                        let socket = socket.clone();
                        tokio::spawn(async move {
                            sleep(delay).await;
                            let _ = socket.send_to(&bytes, to).await;
                        });
                    },
                }
            }
        }
    }
}

async fn relay_stream(stream: TcpStream, to: SocketAddr, forward: Arc<Shared>, back: Arc<Shared>) {
    // No connection is established over a cut link: its first packets wait like the others.
    let delay = forward.wait_until_open(0).await;
    sleep(delay).await;
    let Ok(other) = TcpStream::connect(to).await else { return };
    let _ = setsockopt(&other, ReceiveTimestampns, &true);
    let _ = (stream.set_nodelay(true), other.set_nodelay(true));
    let (from_near, to_near) = stream.into_split();
    let (from_far, to_far) = other.into_split();
    let onward = tokio::spawn(pump(from_near, to_far, forward));
    let returning = tokio::spawn(pump(from_far, to_near, back));
    // The end of either direction ends the other, as with a broken connection.
    let _ = onward.await;
    let _ = returning.await;
}

/// Converts a kernel timestamp, which is in wall-clock time, to monotonic time.
fn to_instant(stamp: TimeSpec) -> Option<Instant> {
    let read = || (Instant::now(), SystemTime::now(), Instant::now());
    let (mut now, mut wall, mut after) = read();
    // Both clocks have to be read at the same time: if the thread lost its core in between, they are read again.
    for _ in 0..10 {
        if after - now < Duration::from_micros(100) {
            break;
        }
        (now, wall, after) = read();
    }
    let since_epoch = Duration::new(stamp.tv_sec().try_into().ok()?, stamp.tv_nsec().try_into().ok()?);
    now.checked_sub(wall.duration_since(UNIX_EPOCH + since_epoch).unwrap_or_default())
}

/// Reads from a stream. Returns the number of bytes and when the kernel received them.
fn read_with_time(stream: &TcpStream, bytes: &mut [u8]) -> io::Result<(usize, Instant)> {
    let mut stamps = nix::cmsg_space!(TimeSpec);
    let mut parts = [IoSliceMut::new(bytes)];
    let read = recvmsg::<()>(stream.as_raw_fd(), &mut parts, Some(&mut stamps), MsgFlags::empty())?;
    let stamp = read.cmsgs()?.find_map(|part| match part {
        ControlMessageOwned::ScmTimestampns(stamp) => to_instant(stamp),
        _ => None,
    });
    Ok((read.bytes, stamp.unwrap_or_else(Instant::now)))
}

/// Whether the other side has shut down its sending direction or closed the connection.
fn is_closed_by_peer(stream: &TcpStream) -> bool {
    match recv(stream.as_raw_fd(), &mut [0], MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT) {
        Ok(length) => length == 0,
        Err(e) => e != nix::errno::Errno::EAGAIN,
    }
}

/// Relays one direction of a stream and records the calls and waits in it.
async fn pump(
    from: tokio::net::tcp::OwnedReadHalf, mut to: tokio::net::tcp::OwnedWriteHalf, link: Arc<Shared>,
) {
    let mut bytes = vec![0; 16 << 10];
    let mut due = tokio::time::Instant::now();
    loop {
        let near: &TcpStream = from.as_ref();
        let read = near.async_io(Interest::READABLE, || read_with_time(near, &mut bytes)).await;
        let Ok((length, received_at)) = read else { break };
        let bytes = &bytes[..length];
        if let Some(id) = header(bytes, "x-request-id") {
            locked(&link.traffic).calls.push(Call { id: id.to_string(), at: received_at });
        }
        let delay = link.wait_until_open(length).await;
        if length == 0 {
            break;
        }
        // Bytes of a stream stay in order.
        due = due.max(tokio::time::Instant::now() + delay);
        sleep_until(due).await;
        if to.write_all(bytes).await.is_err() {
            break;
        }
        let wait = header(bytes, "x-come-back-ms").and_then(|ms| ms.parse().ok());
        // A forwarder that had closed its connection by then may not have received the wait.
        if let Some(wait) = wait.filter(|_| !is_closed_by_peer(to.as_ref())) {
            let until = received_at + Duration::from_millis(wait);
            locked(&link.traffic).waits.push(Wait { from: Instant::now(), until });
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

    /// A delay of the relay itself must not count as a late call of the forwarder.
    #[test]
    fn a_call_that_is_read_late_has_the_time_when_it_was_sent() {
        let partner = Partner::start(1, PartnerBehavior::default());
        let mut net = Network::new(1).unwrap();
        let relay = net.streams("a", "p", partner.address()).unwrap();
        let mut stream = std::net::TcpStream::connect(relay).unwrap();
        // The first call is delayed for so long that the second one waits unread in the relay's socket.
        let late = Duration::from_millis(300);
        net.update_faults(&("a".into(), "p".into()), |f| f.delay = (late, late));
        call(&mut stream);
        foldtrack_standin::eventually("the first call is read", || net.traffic("a", "p").calls.len() == 1);
        let (before, after) = call(&mut stream);
        foldtrack_standin::eventually("both calls have crossed", || net.traffic("a", "p").calls.len() == 2);
        let second = net.traffic("a", "p").calls[1].at;
        assert!(Instant::now() > after + late / 2, "the second call was not read late");
        let slack = Duration::from_millis(1);
        assert!(before < second + slack && second < after + slack, "{before:?} {second:?} {after:?}");
    }

    #[test]
    fn a_wait_is_recorded_unless_the_call_was_abandoned() {
        let partner = Partner::start(1, PartnerBehavior { rate: Some(0.0), ..PartnerBehavior::default() });
        let mut net = Network::new(1).unwrap();
        let relay = net.streams("a", "p", partner.address()).unwrap();
        let mut stream = std::net::TcpStream::connect(relay).unwrap();
        call(&mut stream);
        let asked = Instant::now();
        assert!(stream.read(&mut [0; 1024]).unwrap() > 0);
        foldtrack_standin::eventually("the wait is recorded", || net.traffic("p", "a").waits.len() == 1);
        let wait = net.traffic("p", "a").waits[0];
        assert!(
            wait.from >= asked && wait.until <= Instant::now() + PartnerBehavior::default().wait,
            "{wait:?}"
        );
        let held = ("p".to_string(), "a".to_string());
        net.update_faults(&held, |f| f.hold = true);
        call(&mut stream);
        foldtrack_standin::eventually("the second call is answered", || {
            partner.call_records().waits.len() == 2
        });
        drop(stream);
        // The call is abandoned before its response arrives. The wait of a third call shows that the relay has processed it.
        net.update_faults(&held, |f| f.hold = false);
        let mut other = std::net::TcpStream::connect(relay).unwrap();
        call(&mut other);
        foldtrack_standin::eventually("the wait of the third call is recorded", || {
            net.traffic("p", "a").waits.iter().any(|w| w.until > wait.until)
        });
        assert_eq!(net.traffic("p", "a").waits.len(), 2);
    }
}
