//! A client's kept connection: one request at a time, once more on a new one where the other side has closed it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Bytes of an answer's head at most.
const LONGEST_HEAD: u64 = 16 * 1024;

/// An answer, as far as a client of the protocol looks at it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// `Retry-After`.
    pub retry_after: Option<Duration>,
}

/// A kept connection.
#[derive(Debug)]
pub struct HttpClient {
    to: SocketAddr,
    patience: Duration,
    kept: Option<BufReader<TcpStream>>,
}

impl HttpClient {
    /// To an address; an answer that takes longer than the patience counts as none.
    pub fn new(to: SocketAddr, patience: Duration) -> HttpClient {
        HttpClient { to, patience, kept: None }
    }

    /// Sends a request and reads its answer; none if there was none.
    ///
    /// A connection that was kept may have been closed meanwhile: then it is sent once more on a new one, where `again`
    /// says that this does no harm.
    pub fn send(&mut self, request: &[u8], again: bool) -> Option<Response> {
        for fresh in [false, true] {
            let kept = self.kept.take();
            if fresh && !again {
                return None;
            }
            let was_kept = kept.is_some();
            let mut stream = match kept {
                Some(stream) => stream,
                None => {
                    let stream = TcpStream::connect_timeout(&self.to, self.patience).ok()?;
                    stream
                        .set_nodelay(true)
                        .and_then(|()| stream.set_read_timeout(Some(self.patience)))
                        .ok()?;
                    BufReader::new(stream)
                }
            };
            let answer = stream.get_mut().write_all(request).ok().and_then(|()| read(&mut stream));
            if let Some((answer, stays)) = answer {
                self.kept = stays.then_some(stream);
                return Some(answer);
            }
            if !was_kept {
                return None;
            }
        }
        None
    }
}

/// Reads one answer; the second value says whether the connection stays open.
fn read(stream: &mut BufReader<TcpStream>) -> Option<(Response, bool)> {
    let mut head = stream.by_ref().take(LONGEST_HEAD);
    let (mut answer, mut stays, mut length, mut first) = (Response::default(), true, 0, true);
    loop {
        let mut line = String::new();
        head.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim_end();
        if first {
            answer.status = line.split(' ').nth(1)?.parse().ok()?;
            first = false;
            continue;
        }
        let Some((name, value)) = line.split_once(':') else { break };
        match (name.to_ascii_lowercase().as_str(), value.trim()) {
            ("connection", value) => stays = !value.eq_ignore_ascii_case("close"),
            ("content-length", value) => length = value.parse::<u64>().ok()?,
            ("retry-after", value) => {
                let seconds = value.parse::<f64>().ok().filter(|s| (0.0..1e6).contains(s));
                answer.retry_after = seconds.map(Duration::from_secs_f64);
            }
            _ => {}
        }
    }
    std::io::copy(&mut stream.by_ref().take(length), &mut std::io::sink()).ok().filter(|n| *n == length)?;
    Some((answer, stays))
}

/// The request that hands a message in or delivers it.
pub fn post_request(path: &str, headers: &str, id: &str, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: load\r\nX-Request-Id: {id}\r\n{headers}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
