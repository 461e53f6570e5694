//! Crowds of clients that never finish their requests, and the memory of the forwarder that they talk to.

use super::*;
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

/// Address that the clients of a crowd connect from.
const CROWD_ADDRESS: &str = "127.0.0.9:0";
/// Threads that play a crowd.
const CROWD_THREADS: usize = 4;
/// Connections that one thread starts to open before it writes to the others again.
const CONNECTS_PER_ROUND: usize = 64;
/// Writes that a client makes in one round when it writes at full speed.
const WRITES_PER_ROUND: usize = 64;

/// What each client of a crowd sends. It connects again when its connection ends.
#[derive(Clone)]
pub struct Behavior {
    /// Sent first, at once.
    pub head: Vec<u8>,
    /// Sent after it again and again, with this pause.
    pub piece: &'static [u8],
    pub pause: Duration,
    /// How often the piece is sent before the client falls silent.
    pub pieces: usize,
}

impl Behavior {
    /// A client that sends these bytes and nothing more.
    pub fn silent_after(head: Vec<u8>) -> Behavior {
        Behavior { head, piece: b"", pause: Duration::ZERO, pieces: 0 }
    }
}

/// Connections of misbehaving clients, until it is dropped.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

struct Client {
    stream: TcpStream,
    /// Bytes of the head that were sent.
    sent: usize,
    pieces: usize,
    next_write: Instant,
}

fn start_connecting(to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&CROWD_ADDRESS.parse::<SocketAddr>().unwrap().into())?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&to.into()) {
        Err(e) if e.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => Err(e),
        _ => Ok(socket.into()),
    }
}

impl Client {
    /// Writes what is due. Returns false if the connection has ended.
    fn write_due(&mut self, behavior: &Behavior, now: Instant) -> bool {
        match self.stream.read(&mut [0; 512]) {
            Ok(0) => return false,
            Err(e) if !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return false,
            _ => {}
        }
        for _ in 0..WRITES_PER_ROUND {
            let unsent = &behavior.head[self.sent..];
            let piece_due = self.pieces < behavior.pieces && now >= self.next_write;
            if unsent.is_empty() && !piece_due {
                return true;
            }
            let bytes = if unsent.is_empty() { behavior.piece } else { unsent };
            match self.stream.write(bytes) {
                Ok(count) if !unsent.is_empty() => self.sent += count,
                Ok(_) => {
                    self.pieces += 1;
                    self.next_write = now + behavior.pause;
                }
                Err(e) => return matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected),
            }
        }
        true
    }
}

fn play(to: SocketAddr, size: usize, behavior: &Behavior, stop: &AtomicBool) {
    let mut clients: Vec<Client> = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        for _ in 0..(size - clients.len()).min(CONNECTS_PER_ROUND) {
            let Ok(stream) = start_connecting(to) else { break };
            clients.push(Client { stream, sent: 0, pieces: 0, next_write: Instant::now() });
        }
        let now = Instant::now();
        clients.retain_mut(|client| client.write_due(behavior, now));
        sleep(MS(1));
    }
}

impl Crowd {
    pub fn start(to: SocketAddr, size: usize, behavior: &Behavior) -> Crowd {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..CROWD_THREADS)
            .map(|_| {
                let (stop, behavior) = (stop.clone(), behavior.clone());
                std::thread::spawn(move || play(to, size / CROWD_THREADS, &behavior, &stop))
            })
            .collect();
        Crowd { stop, threads }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Held by a test with a crowd: each takes several cores, and measures how fast others are answered.
pub fn one_crowd_at_a_time() -> MutexGuard<'static, ()> {
    static CROWD: Mutex<()> = Mutex::new(());
    CROWD.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Peak of a process's resident memory in bytes, as the kernel tells.
pub fn peak_memory(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * 1024
}

/// Lets allocations of a process fail beyond this many bytes, which ends it.
pub fn limit_memory(pid: u32, bytes: u64) {
    let pid = rustix::process::Pid::from_raw(pid as i32);
    let limit = rustix::process::Rlimit { current: Some(bytes), maximum: Some(bytes) };
    rustix::process::prlimit(pid, rustix::process::Resource::Data, limit).unwrap();
}
