//! A relay between forwarders and a partner that knows where a response begins and ends.
//! [`crate::response_faults`] decides what it does with each. Requests cross unchanged.

use crate::response_faults::{Delivery, Ending, ResponseFault, ResponseFaults, Write as RelayWrite};
use socket2::SockRef;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Maximum size of the body of a response in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Pause after a failed accept, for instance when no descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The faults that a relay draws from.
#[derive(Clone, Debug)]
pub struct RelayFaults {
    /// Seed; each connection draws from one of its own.
    pub seed: u64,
    /// Share of responses that something happens to, from 0 to 1.
    pub share: f64,
    /// What happens to them, each with equal probability.
    pub kinds: Vec<ResponseFault>,
}

/// Starts a relay and returns its address. It runs until the process ends.
///
/// # Errors
/// No port is available.
pub fn start(partner: SocketAddr, faults: RelayFaults) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for (number, accepted) in listener.incoming().enumerate() {
            let Ok(forwarder) = accepted else {
                thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            let seed = faults.seed.wrapping_mul(0x100_0000_01b3) ^ number as u64;
            let drawn = ResponseFaults::new(seed, faults.share, &faults.kinds);
            thread::spawn(move || relay(forwarder, partner, drawn));
        }
    });
    Ok(address)
}

/// Relays one connection until either side ends it.
fn relay(forwarder: TcpStream, partner: SocketAddr, faults: ResponseFaults) -> io::Result<()> {
    let server = TcpStream::connect(partner)?;
    forwarder.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (mut requests, mut to_server) = (forwarder.try_clone()?, server.try_clone()?);
    thread::spawn(move || {
        let _ = io::copy(&mut requests, &mut to_server);
        // The forwarder has given the call up.
        let _ = to_server.shutdown(Shutdown::Both);
    });
    let ended = relay_responses(&forwarder, server, faults);
    let _ = forwarder.shutdown(Shutdown::Both);
    ended
}

fn relay_responses(forwarder: &TcpStream, server: TcpStream, mut faults: ResponseFaults) -> io::Result<()> {
    let writer = Arc::new(Mutex::new(forwarder.try_clone()?));
    let mut responses = BufReader::new(server);
    while let Some(response) = read_response(&mut responses)? {
        let Delivery { writes, later, ending } = faults.deliver(&response.bytes, response.first_line);
        for write in writes {
            write_after(&writer, &write)?;
        }
        if let Some(later) = later {
            let writer = writer.clone();
            // The connection may have ended by then.
            thread::spawn(move || drop(write_after(&writer, &later)));
        }
        match ending {
            Ending::Open => {}
            Ending::Closed => return Ok(()),
            Ending::Reset => return SockRef::from(forwarder).set_linger(Some(Duration::ZERO)),
        }
    }
    Ok(())
}

fn write_after(writer: &Mutex<TcpStream>, write: &RelayWrite) -> io::Result<()> {
    thread::sleep(write.after);
    writer.lock().unwrap_or_else(PoisonError::into_inner).write_all(&write.bytes)
}

/// A response as it was received.
struct Response {
    bytes: Vec<u8>,
    /// Length of the status line with its line end.
    first_line: usize,
}

/// Reads one response; none if the server has closed the connection.
fn read_response(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Response>> {
    let mut head = String::new();
    let first_line = stream.read_line(&mut head)?;
    if first_line == 0 {
        return Ok(None);
    }
    let mut length = 0;
    loop {
        let start = head.len();
        stream.read_line(&mut head)?;
        let Some((name, value)) = head[start..].trim_end().split_once(':') else { break };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    let mut bytes = head.into_bytes();
    let body = bytes.len();
    bytes.resize(body + length.min(MAX_BODY_BYTES), 0);
    stream.read_exact(&mut bytes[body..])?;
    Ok(Some(Response { bytes, first_line }))
}
