//! An HTTP/1.1 server for tests. A closure decides the reply to each request, including invalid ones.

use socket2::SockRef;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum size of a request body. The connection of a longer request is closed.
const MAX_BODY_BYTES: usize = 16 << 20;

/// How the server closes an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleClose {
    /// With a FIN.
    Fin,
    /// Without notice, as middleboxes do: data written to it later is answered with a reset.
    Silent,
}

/// How long late requests are counted on a connection that was closed with a FIN.
const COUNT_AFTER_FIN: Duration = Duration::from_millis(500);
/// How long late requests are counted on a connection that was closed without notice.
const COUNT_AFTER_SILENT_CLOSE: Duration = Duration::from_secs(20);

/// Delay between the last byte of a response and the reset of [`Reply::RawAndReset`].
const RESET_DELAY: Duration = Duration::from_millis(20);

/// Size of one write of [`Reply::Endless`].
const ENDLESS_BLOCK_BYTES: usize = 64 * 1024;

/// A received request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method, such as `POST`.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers by name in lower case; of a repeated header, the last value.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// When its last byte had arrived.
    pub at: Instant,
    /// Number of its connection, from 0.
    pub connection: usize,
}

impl Request {
    /// Its `X-Request-Id`; empty if it has none.
    pub fn id(&self) -> &str {
        self.headers.get("x-request-id").map_or("", String::as_str)
    }
}

/// How the server replies to a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Responds with a status and header lines.
    Status(u16, &'static str),
    /// Responds with a status and header lines that are made for this response.
    Headers(u16, String),
    /// Responds with 200 and a body.
    Body(Vec<u8>),
    /// Responds with 200 and a body, written in pieces of this many bytes.
    InPieces(Vec<u8>, usize),
    /// Writes these bytes as they are.
    Raw(&'static [u8]),
    /// Writes these bytes again and again until the connection is closed.
    Endless(&'static [u8]),
    /// Writes these bytes and resets the connection 20 ms later.
    RawAndReset(&'static [u8]),
    /// Responds with 200 and closes the connection without `Connection: close`.
    OkAndClose,
    /// Responds with a status after a delay.
    Later(Duration, u16),
    /// Never responds and keeps the connection open.
    Silence,
    /// Closes the connection without a response.
    Close,
}

/// Responds with 200 at once.
pub const OK: Reply = Reply::Status(200, "");

type Behavior = Box<dyn Fn(&Request) -> Reply + Send + Sync>;

/// An HTTP server with a thread for each connection. It listens until the process ends.
pub struct Server {
    /// Listening address.
    pub address: SocketAddr,
    seen: Mutex<Vec<Request>>,
    /// Whether requests are recorded in `seen`.
    records: bool,
    /// Connections that the server closed after a response or while they were idle.
    pub closed: AtomicUsize,
    /// Connections on which data arrived after the server had closed them as idle.
    pub late_requests: AtomicUsize,
    /// Idle timeout of connections, and how they are closed then.
    idle: Mutex<Option<(Duration, IdleClose)>>,
    behavior: Mutex<Arc<Behavior>>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn read_request(stream: &mut BufReader<TcpStream>, connection: usize) -> Option<Request> {
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_string(), words.next()?.to_string());
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_lowercase(), value.trim().to_string());
    }
    let length = match headers.get("content-length") {
        Some(text) => text.parse().ok().filter(|n| *n <= MAX_BODY_BYTES)?,
        None => 0,
    };
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Request { method, path, headers, body, at: Instant::now(), connection })
}

impl Server {
    /// Starts a server on a free port that records every request.
    ///
    /// # Panics
    /// No port or descriptor is available.
    pub fn start(behavior: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> Arc<Server> {
        Server::launch(Box::new(behavior), true)
    }

    /// Starts a server on a free port that records no requests.
    ///
    /// # Panics
    /// No port or descriptor is available.
    pub fn start_unrecorded(behavior: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> Arc<Server> {
        Server::launch(Box::new(behavior), false)
    }

    fn launch(behavior: Behavior, records: bool) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
        let server = Arc::new(Server {
            address: listener.local_addr().expect("the address of a bound socket"),
            seen: Mutex::default(),
            records,
            closed: AtomicUsize::new(0),
            late_requests: AtomicUsize::new(0),
            idle: Mutex::default(),
            behavior: Mutex::new(Arc::new(behavior)),
        });
        let shared = server.clone();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                // No descriptor is available at the moment: try again later.
                let Ok(stream) = stream else {
                    thread::sleep(Duration::from_millis(20));
                    continue;
                };
                let server = shared.clone();
                thread::spawn(move || server.serve(stream, connection));
            }
        });
        server
    }

    fn serve(&self, mut stream: TcpStream, connection: usize) {
        let Ok(reading) = stream.set_nodelay(true).and_then(|()| stream.try_clone()) else { return };
        let mut reader = BufReader::new(reading);
        loop {
            if !self.wait_for_request(&mut reader, &stream) {
                return;
            }
            let Some(request) = read_request(&mut reader, connection) else { return };
            // Read the behavior before the request is recorded: a test that waits for the record may change the behavior for the
            // next request.
            let behavior = locked(&self.behavior).clone();
            if self.records {
                locked(&self.seen).push(request.clone());
            }
            let status = |status: u16, headers: &str, body: &[u8]| {
                let head =
                    format!("HTTP/1.1 {status} Told\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
                [head.as_bytes(), body].concat()
            };
            let response = match behavior(&request) {
                Reply::Status(code, headers) => status(code, headers, b""),
                Reply::Headers(code, headers) => status(code, &headers, b""),
                Reply::Body(body) => status(200, "", &body),
                Reply::InPieces(body, piece) => {
                    let whole = status(200, "", &body);
                    let mut pieces = whole.chunks(piece.max(1));
                    if pieces.any(|piece| stream.write_all(piece).is_err()) {
                        return;
                    }
                    continue;
                }
                Reply::Raw(bytes) => bytes.to_vec(),
                Reply::Endless(bytes) => {
                    let block = bytes.repeat(ENDLESS_BLOCK_BYTES.div_ceil(bytes.len().max(1)));
                    while stream.write_all(&block).is_ok() {}
                    return;
                }
                Reply::Later(after, code) => {
                    thread::sleep(after);
                    status(code, "", b"")
                }
                Reply::OkAndClose => {
                    let _ = stream.write_all(&status(200, "", b""));
                    let _ = stream.shutdown(Shutdown::Both);
                    self.closed.fetch_add(1, Ordering::SeqCst);
                    return;
                }
                Reply::RawAndReset(bytes) => {
                    let _ = stream.write_all(bytes);
                    // A reset discards what the other side has not read yet.
                    thread::sleep(RESET_DELAY);
                    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    return;
                }
                Reply::Silence => {
                    let _ = reader.read_to_end(&mut Vec::new());
                    return;
                }
                Reply::Close => return,
            };
            if stream.write_all(&response).is_err() {
                return;
            }
        }
    }

    /// Sets the idle timeout of connections and how they are closed, from the next request on. `None` keeps them open.
    pub fn drop_idle(&self, after: Option<(Duration, IdleClose)>) {
        *locked(&self.idle) = after;
    }

    /// Waits for the first byte of a request. Returns false if the connection has ended or is closed here as idle. Data that
    /// arrives on it afterwards is counted in `late_requests`.
    fn wait_for_request(&self, reader: &mut BufReader<TcpStream>, stream: &TcpStream) -> bool {
        let idle = *locked(&self.idle);
        if stream.set_read_timeout(idle.map(|(after, _)| after)).is_err() {
            return false;
        }
        match reader.fill_buf() {
            Ok(bytes) => !bytes.is_empty() && stream.set_read_timeout(None).is_ok(),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                let silent = idle.is_some_and(|(_, closing)| closing == IdleClose::Silent);
                if !silent {
                    let _ = stream.shutdown(Shutdown::Write);
                }
                self.closed.fetch_add(1, Ordering::SeqCst);
                // Data that arrives stays unread, so that closing the socket resets the connection.
                let _ = stream.set_read_timeout(Some(if silent {
                    COUNT_AFTER_SILENT_CLOSE
                } else {
                    COUNT_AFTER_FIN
                }));
                if reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
                    self.late_requests.fetch_add(1, Ordering::SeqCst);
                }
                false
            }
            Err(_) => false,
        }
    }

    /// Changes the behavior from the next request on.
    pub fn behave(&self, behavior: impl Fn(&Request) -> Reply + Send + Sync + 'static) {
        *locked(&self.behavior) = Arc::new(Box::new(behavior));
    }

    /// The requests recorded so far.
    pub fn seen(&self) -> Vec<Request> {
        locked(&self.seen).clone()
    }

    /// The ids of the requests recorded so far.
    pub fn ids(&self) -> Vec<String> {
        locked(&self.seen).iter().map(|r| r.id().to_string()).collect()
    }
}
