//! An HTTP/1.1 server that does what a closure says with each request, wrong things included.

use socket2::SockRef;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A request that is longer than this is not read: its connection ends.
const LONGEST_BODY: usize = 16 << 20;

/// How an idle connection is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleClose {
    /// By a FIN.
    Fin,
    /// Without a word, as boxes between do: what is written to it later is answered by a reset.
    Silent,
}

/// How long a connection that was closed here is listened to, told and untold.
const LATE: Duration = Duration::from_millis(500);
const SILENT: Duration = Duration::from_secs(20);

/// How long after the last byte of an answer a connection is reset that is to be.
const CUT_OFF: Duration = Duration::from_millis(20);

/// A request as it came.
#[derive(Clone, Debug)]
pub struct Request {
    /// `POST`, say.
    pub method: String,
    /// With the query.
    pub path: String,
    /// By names in lower case; of a header that stands twice, the last.
    pub headers: HashMap<String, String>,
    /// Any bytes.
    pub body: Vec<u8>,
    /// When its last byte had come.
    pub at: Instant,
    /// Number of the connection it came on.
    pub connection: usize,
}

impl Request {
    /// Its `X-Request-Id`, empty if it has none.
    pub fn id(&self) -> &str {
        self.headers.get("x-request-id").map_or("", String::as_str)
    }
}

/// What a stand-in does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Answers with a status and header lines.
    Status(u16, &'static str),
    /// The same, with header lines made for this answer.
    Headers(u16, String),
    /// Answers with a body.
    Body(Vec<u8>),
    /// Answers with a body, a few bytes at a time.
    InPieces(Vec<u8>, usize),
    /// Writes these bytes, whatever they mean.
    Raw(&'static [u8]),
    /// The same, and resets the connection a moment later.
    RawAndReset(&'static [u8]),
    /// Answers 200 and closes the connection without having said so.
    OkAndClose,
    /// Answers after a while.
    Later(Duration, u16),
    /// Never answers; keeps the connection open.
    Silence,
    /// Closes the connection without an answer.
    Close,
}

/// Answers 200 at once.
pub const OK: Reply = Reply::Status(200, "");

type Behaviour = Box<dyn Fn(&Request) -> Reply + Send + Sync>;

/// An HTTP server with a thread for each connection. Its port is freed when the process ends.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    seen: Mutex<Vec<Request>>,
    records: bool,
    /// Connections closed after an answer, or while they stood idle.
    pub closed: AtomicUsize,
    /// Requests that came on a connection after it had been closed here while it stood idle.
    pub late_requests: AtomicUsize,
    /// Connections that stand idle for so long are closed.
    idle: Mutex<Option<(Duration, IdleClose)>>,
    behaviour: Mutex<Arc<Behaviour>>,
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
        Some(text) => text.parse().ok().filter(|n| *n <= LONGEST_BODY)?,
        None => 0,
    };
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Request { method, path, headers, body, at: Instant::now(), connection })
}

impl Server {
    /// Starts one on a port of its own, which keeps every request that it sees.
    ///
    /// # Panics
    /// There is no port or descriptor left.
    pub fn start(behaviour: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> Arc<Server> {
        Server::launch(Box::new(behaviour), true)
    }

    /// The same, which keeps nothing of what it sees.
    ///
    /// # Panics
    /// There is no port or descriptor left.
    pub fn start_unrecorded(behaviour: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> Arc<Server> {
        Server::launch(Box::new(behaviour), false)
    }

    fn launch(behaviour: Behaviour, records: bool) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
        let server = Arc::new(Server {
            address: listener.local_addr().expect("the address of a bound socket"),
            seen: Mutex::default(),
            records,
            closed: AtomicUsize::new(0),
            late_requests: AtomicUsize::new(0),
            idle: Mutex::default(),
            behaviour: Mutex::new(Arc::new(behaviour)),
        });
        let shared = server.clone();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                // Out of descriptors: the next one may fit again.
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
            if !self.waits(&mut reader, &stream) {
                return;
            }
            let Some(request) = read_request(&mut reader, connection) else { return };
            // Before it is seen: whoever waits for it to come may change what the next one meets.
            let behaviour = locked(&self.behaviour).clone();
            if self.records {
                locked(&self.seen).push(request.clone());
            }
            let status = |status: u16, headers: &str, body: &[u8]| {
                let head =
                    format!("HTTP/1.1 {status} Told\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
                [head.as_bytes(), body].concat()
            };
            let answer = match behaviour(&request) {
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
                    // A reset drops what the other side has not read yet.
                    thread::sleep(CUT_OFF);
                    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    return;
                }
                Reply::Silence => {
                    let _ = reader.read_to_end(&mut Vec::new());
                    return;
                }
                Reply::Close => return,
            };
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Drops connections that stand idle for so long, from the next request on; none to leave them.
    pub fn drop_idle(&self, after: Option<(Duration, IdleClose)>) {
        *locked(&self.idle) = after;
    }

    /// Waits for a request's first byte. False if there is none: the connection has ended, or is closed here. Whatever is
    /// written to it afterwards is counted.
    fn waits(&self, reader: &mut BufReader<TcpStream>, stream: &TcpStream) -> bool {
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
                // What comes is left unread: closing the socket then resets the connection.
                let _ = stream.set_read_timeout(Some(if silent { SILENT } else { LATE }));
                if reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
                    self.late_requests.fetch_add(1, Ordering::SeqCst);
                }
                false
            }
            Err(_) => false,
        }
    }

    /// Behaves otherwise from the next request on.
    pub fn behave(&self, behaviour: impl Fn(&Request) -> Reply + Send + Sync + 'static) {
        *locked(&self.behaviour) = Arc::new(Box::new(behaviour));
    }

    /// The requests so far.
    pub fn seen(&self) -> Vec<Request> {
        locked(&self.seen).clone()
    }

    /// Their ids.
    pub fn ids(&self) -> Vec<String> {
        locked(&self.seen).iter().map(|r| r.id().to_string()).collect()
    }
}
