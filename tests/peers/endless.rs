//! Datagrams without end.

use super::*;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// How long a client waits for an answer (BRIEF).
const CLIENT_PATIENCE: Duration = Duration::from_millis(400);
const DISTURBANCE: Duration = Duration::from_secs(3);

/// The address at which a forwarder receives datagrams.
fn datagram_address(site: &Path) -> SocketAddr {
    let text = fs::read_to_string(site).unwrap();
    let section = text.split("[peers]").nth(1).unwrap();
    let line = section.lines().find(|line| line.starts_with("listen")).unwrap();
    line.split('"').nth(1).unwrap().parse().unwrap()
}

// Guards against a flood of datagrams that takes the thread from the event loop and the listener.
#[test]
fn forged_datagrams_without_an_end_hold_up_no_client() {
    let (fleet, _partner) = started(2);
    let to = datagram_address(&fleet.forwarders[0].site());
    let stop = Arc::new(AtomicBool::new(false));
    let senders: Vec<_> = (0..2)
        .map(|_| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
                while !stop.load(Ordering::SeqCst) {
                    // A full buffer is an error now and then.
                    let _ = socket.send_to(&[7; 1_200], to);
                }
            })
        })
        .collect();
    let (begun, mut worst) = (Instant::now(), Duration::ZERO);
    while begun.elapsed() < DISTURBANCE {
        let asked = Instant::now();
        assert_eq!(fleet.forwarders[0].get("/v1/messages/unknown").map(|(status, _)| status), Some(404));
        worst = worst.max(asked.elapsed());
        std::thread::sleep(Duration::from_millis(10));
    }
    stop.store(true, Ordering::SeqCst);
    senders.into_iter().for_each(|sender| sender.join().unwrap());
    println!("the slowest answer after {worst:?}");
    assert!(worst <= CLIENT_PATIENCE, "{worst:?}");
}
