//! A minimal HTTP client with one keep-alive connection. It sends one request at a time, and once more on a new connection
//! if the server has closed the old one.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: u64 = 16 * 1024;

/// The parts of a response that clients of the protocol use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The value of `Retry-After`.
    pub retry_after: Option<Duration>,
}

/// An HTTP client with one keep-alive connection.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    timeout: Duration,
    connection: Option<BufReader<TcpStream>>,
}

impl HttpClient {
    /// A client for an address. A response that takes longer than the time-out counts as none.
    pub fn new(address: SocketAddr, timeout: Duration) -> HttpClient {
        HttpClient { address, timeout, connection: None }
    }

    /// Sends a request and reads its response; none if there is no valid one in time.
    ///
    /// The server may have closed a reused connection meanwhile. The request is then sent once more on a new connection if
    /// it is `repeatable`, that is, if a repeat does no harm.
    pub fn send(&mut self, request: &[u8], repeatable: bool) -> Option<Response> {
        for is_retry in [false, true] {
            let connection = self.connection.take();
            if is_retry && !repeatable {
                return None;
            }
            let was_reused = connection.is_some();
            let mut stream = match connection {
                Some(stream) => stream,
                None => {
                    let stream = TcpStream::connect_timeout(&self.address, self.timeout).ok()?;
                    stream
                        .set_nodelay(true)
                        .and_then(|()| stream.set_read_timeout(Some(self.timeout)))
                        .ok()?;
                    BufReader::new(stream)
                }
            };
            let response = stream.get_mut().write_all(request).ok().and_then(|()| read_response(&mut stream));
            if let Some((response, keep_alive)) = response {
                self.connection = keep_alive.then_some(stream);
                return Some(response);
            }
            if !was_reused {
                return None;
            }
        }
        None
    }
}

/// Reads one response; the second value says whether the connection stays open.
fn read_response(stream: &mut BufReader<TcpStream>) -> Option<(Response, bool)> {
    let mut head = stream.by_ref().take(MAX_HEAD_BYTES);
    let mut response = Response::default();
    let mut keep_alive = true;
    let mut length = 0;
    let mut is_status_line = true;
    loop {
        let mut line = String::new();
        head.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim_end();
        if is_status_line {
            response.status = line.split(' ').nth(1)?.parse().ok()?;
            is_status_line = false;
            continue;
        }
        let Some((name, value)) = line.split_once(':') else { break };
        match (name.to_ascii_lowercase().as_str(), value.trim()) {
            ("connection", value) => keep_alive = !value.eq_ignore_ascii_case("close"),
            ("content-length", value) => length = value.parse::<u64>().ok()?,
            ("retry-after", value) => {
                let seconds = value.parse::<f64>().ok().filter(|s| (0.0..1e6).contains(s));
                response.retry_after = seconds.map(Duration::from_secs_f64);
            }
            _ => {}
        }
    }
    std::io::copy(&mut stream.by_ref().take(length), &mut std::io::sink()).ok().filter(|n| *n == length)?;
    Some((response, keep_alive))
}

/// Builds the request that submits or delivers a message. `headers` are whole lines, each with its line end.
pub fn post_request(path: &str, headers: &str, id: &str, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: load\r\nX-Request-Id: {id}\r\n{headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
