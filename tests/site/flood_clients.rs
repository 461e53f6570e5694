//! Connection floods and well-behaved clients, for the admission tests and the benchmark `flood`.
#![allow(dead_code)]

use super::site_process::message_request;
use foldtrack_standin::PATIENCE;
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Connects from a given source address.
pub fn connect_from(address: &str, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    let source: IpAddr = address.parse().unwrap();
    socket.bind(&SocketAddr::new(source, 0).into())?;
    socket.connect_timeout(&to.into(), Duration::from_secs(5))?;
    Ok(socket.into())
}

/// What the connections of a flood send: nothing, half a head, half a body, a body sent slowly byte
/// by byte, a protocol other than HTTP, and a complete request whose response is not read.
const PAYLOADS: [&[u8]; 6] = [
    b"",
    b"POST /fee HT",
    b"POST /note HTTP/1.1\r\nHost: f\r\nX-Request-Id: x\r\nX-Partner: p\r\nContent-Length: 100\r\n\r\nhalf",
    b"POST /note HTTP/1.1\r\nHost: f\r\nX-Request-Id: y\r\nX-Partner: p\r\nContent-Length: 60000\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"GET /v1/ends?wait_ms=100 HTTP/1.1\r\nHost: f\r\n\r\n",
];

/// Starts to connect without waiting, so that thousands of connections can be started at once.
fn start_connecting_from(address: &str, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    let source: IpAddr = address.parse().unwrap();
    socket.bind(&SocketAddr::new(source, 0).into())?;
    socket.set_nonblocking(true)?;
    match socket.connect(&to.into()) {
        Err(e) if e.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => Err(e),
        _ => Ok(socket.into()),
    }
}

/// Keeps `size` connections open, from the addresses in turn, and reopens those that are closed,
/// until `stop` is set. Returns the number of connections opened.
pub fn flood(to: SocketAddr, addresses: &[String], size: usize, stop: &AtomicBool) -> usize {
    let (mut open, mut opened) = (Vec::new(), 0);
    while !stop.load(Ordering::Relaxed) {
        for _ in 0..size.saturating_sub(open.len()).min(200) {
            let Ok(stream) = start_connecting_from(&addresses[opened % addresses.len()], to) else { break };
            // The first bytes to send; after them, single bytes.
            open.push((stream, Some(PAYLOADS[opened % PAYLOADS.len()])));
            opened += 1;
        }
        open.retain_mut(|(stream, unsent): &mut (TcpStream, Option<&[u8]>)| {
            let written = stream.write(unsent.unwrap_or(b"x"));
            match (written, stream.read(&mut [0; 512])) {
                // The connection has not been accepted yet.
                (Err(e), _) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => true,
                (Err(_), _) | (_, Ok(0)) => false,
                (_, Err(e)) if e.kind() != ErrorKind::WouldBlock => false,
                _ => {
                    *unsent = None;
                    true
                }
            }
        });
        sleep(Duration::from_millis(2));
    }
    opened
}

/// Submits messages to the partner `p` one after another from a source address, each on a new
/// connection. Returns the sorted durations of the accepted ones, and the number of messages that
/// were not accepted.
pub fn submit(listen: SocketAddr, address: &str, messages: usize) -> (Vec<Duration>, usize) {
    submit_to("p", listen, address, messages)
}

/// Like [`submit`], for any partner.
pub fn submit_to(
    partner: &str, listen: SocketAddr, address: &str, messages: usize,
) -> (Vec<Duration>, usize) {
    let (mut durations, mut not_accepted) = (Vec::new(), 0);
    for n in 0..messages {
        let start = Instant::now();
        let request = message_request(partner, "note", "", &format!("{address}-{n}"), "x");
        let response = connect_from(address, listen).and_then(|mut stream| {
            stream.set_read_timeout(Some(PATIENCE))?;
            stream.write_all(&request)?;
            let mut response = String::new();
            stream.read_to_string(&mut response).map(|_| response)
        });
        match response {
            Ok(response) if response.starts_with("HTTP/1.1 202") => durations.push(start.elapsed()),
            _ => not_accepted += 1,
        }
        sleep(Duration::from_millis(5));
    }
    durations.sort();
    (durations, not_accepted)
}

/// The 99th percentile of sorted durations; zero if there are none.
pub fn p99(durations: &[Duration]) -> Duration {
    durations.get(durations.len() * 99 / 100).copied().unwrap_or_default()
}
