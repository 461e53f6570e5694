//! Just enough of HTTP/1.1 for the stand-ins: requests and responses with `Content-Length`.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A request as it was read.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

/// The bytes of a head that was read, and what came after it.
fn read_head(
    stream: &mut TcpStream, kept: &mut Vec<u8>, until: Option<Instant>,
) -> io::Result<Option<String>> {
    let mut piece = [0; 16 * 1024];
    loop {
        if let Some(end) = kept.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&kept[..end]).into_owned();
            kept.drain(..end + 4);
            return Ok(Some(head));
        }
        limit_read(stream, until)?;
        match stream.read(&mut piece)? {
            0 => return Ok(None),
            count => kept.extend_from_slice(&piece[..count]),
        }
    }
}

fn limit_read(stream: &TcpStream, until: Option<Instant>) -> io::Result<()> {
    let left = match until {
        None => None,
        Some(until) => Some(until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1))),
    };
    if until.is_some_and(|until| Instant::now() >= until) {
        return Err(io::ErrorKind::TimedOut.into());
    }
    stream.set_read_timeout(left)
}

fn read_body(
    stream: &mut TcpStream, kept: &mut Vec<u8>, length: usize, until: Option<Instant>,
) -> io::Result<Vec<u8>> {
    let mut piece = [0; 16 * 1024];
    while kept.len() < length {
        limit_read(stream, until)?;
        match stream.read(&mut piece)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => kept.extend_from_slice(&piece[..count]),
        }
    }
    Ok(kept.drain(..length).collect())
}

fn headers_of(head: &str) -> Vec<(String, String)> {
    let pairs = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    pairs.map(|(name, value)| (name.trim().to_string(), value.trim().to_string())).collect()
}

fn length_of(headers: &[(String, String)]) -> usize {
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

/// Reads a request; none if the connection ended before one began.
pub fn read_request(stream: &mut TcpStream, kept: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let Some(head) = read_head(stream, kept, None)? else { return Ok(None) };
    let mut words = head.lines().next().unwrap_or("").split(' ');
    let (method, path) = (words.next().unwrap_or("").to_string(), words.next().unwrap_or("").to_string());
    let headers = headers_of(&head);
    let body = read_body(stream, kept, length_of(&headers), None)?;
    Ok(Some(Request { method, path, headers, body }))
}

/// Reads a response by a time; none if the connection ended without one.
pub fn read_response(stream: &mut TcpStream, until: Instant) -> io::Result<Option<(u16, bool)>> {
    let mut kept = Vec::new();
    let Some(head) = read_head(stream, &mut kept, Some(until))? else { return Ok(None) };
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let headers = headers_of(&head);
    read_body(stream, &mut kept, length_of(&headers), Some(until))?;
    let close =
        headers.iter().any(|(n, v)| n.eq_ignore_ascii_case("connection") && v.eq_ignore_ascii_case("close"));
    Ok(Some((status, close)))
}

/// Writes a response.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let reason = match status {
        200 => "OK",
        204 => "No Content",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Other",
    };
    let length = if status == 204 { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    stream.write_all(format!("HTTP/1.1 {status} {reason}\r\n{length}{headers}\r\n{body}").as_bytes())
}

/// Whether the other side has closed or reset the connection.
pub fn has_ended(stream: &TcpStream) -> bool {
    let mut byte = [0; 1];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}
