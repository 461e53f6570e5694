//! Relays between processes: they carry bytes, lose answers, or are cut for a while.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

/// What happens on a link. Links that are cut together share these.
#[derive(Default)]
pub struct Faults {
    /// Nothing passes; open connections stay open and silent.
    pub cut: AtomicBool,
    /// What the server writes is lost.
    pub answers_lost: AtomicBool,
}

const POLL: Duration = Duration::from_millis(1);

/// Starts a relay for connections to an address; returns its own.
pub fn relay_streams(to: &str, faults: &Arc<Faults>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (to, faults) = (to.to_string(), faults.clone());
    spawn(move || {
        for client in listener.incoming().flatten() {
            let (to, faults) = (to.clone(), faults.clone());
            spawn(move || connect(client, &to, &faults));
        }
    });
    address
}

fn connect(client: TcpStream, to: &str, faults: &Arc<Faults>) {
    while faults.cut.load(Ordering::SeqCst) {
        sleep(POLL);
    }
    let Ok(server) = TcpStream::connect(to) else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else { return };
    let back = faults.clone();
    spawn(move || carry(server_copy, client_copy, &back, true));
    carry(client, server, faults, false);
}

/// Carries the bytes of one direction until either side ends.
fn carry(mut from: TcpStream, mut to: TcpStream, faults: &Faults, are_answers: bool) {
    let mut bytes = [0; 16 * 1024];
    let _ = from.set_read_timeout(Some(POLL));
    loop {
        if faults.cut.load(Ordering::SeqCst) {
            sleep(POLL);
            continue;
        }
        // What a side wrote before it reset the connection is not delivered after a cut.
        if matches!(from.take_error(), Ok(Some(_)) | Err(_)) {
            break;
        }
        match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(_) if are_answers && faults.answers_lost.load(Ordering::SeqCst) => {}
            Ok(count) => {
                if to.write_all(&bytes[..count]).is_err() {
                    break;
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = (from.shutdown(std::net::Shutdown::Both), to.shutdown(std::net::Shutdown::Both));
}

/// Starts a relay for datagrams to an address; returns its own.
pub fn relay_datagrams(to: &str, faults: &Arc<Faults>) -> String {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap().to_string();
    let (to, faults) = (to.to_string(), faults.clone());
    spawn(move || {
        let mut bytes = [0; 65_536];
        while let Ok((count, _)) = socket.recv_from(&mut bytes) {
            if !faults.cut.load(Ordering::SeqCst) {
                let _ = socket.send_to(&bytes[..count], &to);
            }
        }
    });
    address
}
