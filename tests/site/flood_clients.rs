//! Floods and the clients beside them, for the tests of admission and the benchmark `flood`.
#![allow(dead_code)]

use super::site_process::message_request;
use foldtrack_standin::PATIENCE;
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A connection from an address of one's own choice.
pub fn from(address: &str, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    let own: IpAddr = address.parse().unwrap();
    socket.bind(&SocketAddr::new(own, 0).into())?;
    socket.connect_timeout(&to.into(), Duration::from_secs(5))?;
    Ok(socket.into())
}

/// What a flood's connections say: nothing, half a head, half a body, a body byte now and then, something else than HTTP,
/// and a whole request whose answer is not read.
const KINDS: [&[u8]; 6] = [
    b"",
    b"POST /fee HT",
    b"POST /note HTTP/1.1\r\nHost: f\r\nX-Request-Id: x\r\nX-Partner: p\r\nContent-Length: 100\r\n\r\nhalf",
    b"POST /note HTTP/1.1\r\nHost: f\r\nX-Request-Id: y\r\nX-Partner: p\r\nContent-Length: 60000\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"GET /v1/ends?wait_ms=100 HTTP/1.1\r\nHost: f\r\n\r\n",
];

/// Begins to connect without waiting for it, so that thousands are begun in a moment.
fn begin_from(address: &str, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    let own: IpAddr = address.parse().unwrap();
    socket.bind(&SocketAddr::new(own, 0).into())?;
    socket.set_nonblocking(true)?;
    match socket.connect(&to.into()) {
        Err(e) if e.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => Err(e),
        _ => Ok(socket.into()),
    }
}

/// Keeps so many connections open from addresses in turn, and opens again what is closed, until it is told to stop.
/// Gives how many it opened.
pub fn flood(to: SocketAddr, addresses: &[String], size: usize, stop: &AtomicBool) -> usize {
    let (mut open, mut opened) = (Vec::new(), 0);
    while !stop.load(Ordering::Relaxed) {
        for _ in 0..size.saturating_sub(open.len()).min(200) {
            let Ok(stream) = begin_from(&addresses[opened % addresses.len()], to) else { break };
            // What it is yet to say; once that is said, a byte now and then.
            open.push((stream, Some(KINDS[opened % KINDS.len()])));
            opened += 1;
        }
        open.retain_mut(|(stream, first): &mut (TcpStream, Option<&[u8]>)| {
            let said = stream.write(first.unwrap_or(b"x"));
            match (said, stream.read(&mut [0; 512])) {
                // Still in the queue of those that wait to be accepted.
                (Err(e), _) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => true,
                (Err(_), _) | (_, Ok(0)) => false,
                (_, Err(e)) if e.kind() != ErrorKind::WouldBlock => false,
                _ => {
                    *first = None;
                    true
                }
            }
        });
        sleep(Duration::from_millis(2));
    }
    opened
}

/// Hands in one after another on a new connection each, from its own address; gives how long each took, and how many
/// were not taken on.
pub fn submit(listen: SocketAddr, address: &str, messages: usize) -> (Vec<Duration>, usize) {
    submit_to("p", listen, address, messages)
}

/// The same for a partner.
pub fn submit_to(
    partner: &str, listen: SocketAddr, address: &str, messages: usize,
) -> (Vec<Duration>, usize) {
    let (mut took, mut lost) = (Vec::new(), 0);
    for n in 0..messages {
        let start = Instant::now();
        let request = message_request(partner, "note", "", &format!("{address}-{n}"), "x");
        let answer = from(address, listen).and_then(|mut stream| {
            stream.set_read_timeout(Some(PATIENCE))?;
            stream.write_all(&request)?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).map(|_| answer)
        });
        match answer {
            Ok(answer) if answer.starts_with("HTTP/1.1 202") => took.push(start.elapsed()),
            _ => lost += 1,
        }
        sleep(Duration::from_millis(5));
    }
    took.sort();
    (took, lost)
}

pub fn p99(took: &[Duration]) -> Duration {
    took.get(took.len() * 99 / 100).copied().unwrap_or_default()
}
