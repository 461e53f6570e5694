//! Requests that cross SIGTERM at each stage. The client determines the order of events by when it
//! writes.

use super::world::*;
use super::{one_target, MS};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A raw client connection.
fn connect(forwarder: &Forwarder) -> TcpStream {
    let stream = TcpStream::connect(forwarder.listen).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Reads until the connection ends; empty if it was reset.
fn read_to_end(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// A request without `Connection: close`.
fn keep_alive_request(id: &str) -> Vec<u8> {
    let text = String::from_utf8(fee(id).bytes()).unwrap();
    text.replace("Connection: close\r\n", "").into_bytes()
}

/// Waits until the listener refuses new connections.
fn wait_for_listener_close(forwarder: &Forwarder) {
    eventually("the listener closes", || TcpStream::connect(forwarder.listen).is_err());
}

/// The process ended a second after SIGTERM although a client was in the middle of its request,
/// whose remaining bytes were answered with a reset.
#[test]
fn a_request_half_written_at_sigterm_is_answered() {
    for part in [5, 60] {
        let (target, _platform, mut forwarder) = one_target(|_| OK);
        let bytes = fee("half").bytes();
        let mut stream = connect(&forwarder);
        stream.write_all(&bytes[..part]).unwrap();
        sleep(MS(50));
        forwarder.signal("TERM");
        wait_for_listener_close(&forwarder);
        // Later than the moment at which an idle process may end.
        sleep(MS(700));
        stream.write_all(&bytes[part..]).unwrap();
        let answer = read_to_end(stream);
        assert!(answer.starts_with("HTTP/1.1 202"), "after {part} bytes: {answer:?}");
        assert!(answer.to_lowercase().contains("connection: close"), "{answer}");
        assert!(forwarder.wait().success());
        forwarder.restart();
        eventually("it is delivered, before or after the restart", || target.ids() == ["half"]);
    }
}

#[test]
fn a_body_half_written_at_sigterm_is_answered() {
    let (target, _platform, mut forwarder) = one_target(|_| OK);
    let bytes = fee("half").body(vec![b'x'; 2_000]).bytes();
    let mut stream = connect(&forwarder);
    stream.write_all(&bytes[..bytes.len() - 1_000]).unwrap();
    sleep(MS(50));
    forwarder.signal("TERM");
    wait_for_listener_close(&forwarder);
    stream.write_all(&bytes[bytes.len() - 1_000..]).unwrap();
    let answer = read_to_end(stream);
    assert!(answer.starts_with("HTTP/1.1 202"), "{answer:?}");
    assert!(forwarder.wait().success());
    forwarder.restart();
    eventually("it is delivered", || target.ids() == ["half"]);
}

/// One connection was accepted and sends its first byte after the signal; the other was idle.
#[test]
fn requests_written_after_sigterm_are_answered_on_new_and_idle_connections() {
    let (target, _platform, mut forwarder) = one_target(|_| OK);
    let (mut fresh, mut resting) = (connect(&forwarder), connect(&forwarder));
    resting.write_all(&keep_alive_request("first")).unwrap();
    let mut answer = [0; 12];
    resting.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 202");
    forwarder.signal("TERM");
    let start = Instant::now();
    fresh.write_all(&keep_alive_request("fresh")).unwrap();
    resting.write_all(&keep_alive_request("again")).unwrap();
    for (stream, id) in [(fresh, "fresh"), (resting, "again")] {
        let answer = read_to_end(stream);
        assert!(answer.contains("HTTP/1.1 202"), "{id}: {answer:?} after {:?}", start.elapsed());
        assert!(answer.to_lowercase().contains("connection: close"), "{id}: {answer}");
    }
    assert!(forwarder.wait().success());
    forwarder.restart();
    let all = |ids: Vec<String>| ["first", "fresh", "again"].iter().all(|id| ids.contains(&id.to_string()));
    eventually("all are delivered", || all(target.ids()));
    assert_eq!(target.seen().len(), 3);
}

/// A response with `Connection: close` is the last one on its connection: a request after it was
/// never accepted and is not sent.
#[test]
fn a_pipelined_request_at_sigterm_is_answered_or_never_sent() {
    let (target, _platform, mut forwarder) = one_target(|_| OK);
    let mut stream = connect(&forwarder);
    forwarder.signal("STOP");
    stream.write_all(&[keep_alive_request("first"), keep_alive_request("second")].concat()).unwrap();
    forwarder.signal("TERM");
    forwarder.signal("CONT");
    let answers = read_to_end(stream).matches("HTTP/1.1 202").count();
    assert!(forwarder.wait().success());
    forwarder.restart();
    assert_eq!(forwarder.submit(&fee("marker")), 202);
    eventually("accepted messages are delivered", || target.ids().len() == answers + 1);
    assert!(target.ids().contains(&"marker".to_string()), "{:?}", target.ids());
    assert_eq!(target.ids().contains(&"second".to_string()), answers == 2, "{:?}", target.ids());
}

/// Connections in the listener's accept queue were reset when it closed, together with their
/// requests.
#[test]
fn connections_in_the_accept_queue_at_shutdown_are_answered() {
    let (_target, _platform, mut forwarder) = one_target(|_| OK);
    forwarder.signal("TERM");
    sleep(MS(100));
    // Stopped during the time at which the listener closes, so that new connections stay in the
    // accept queue.
    forwarder.signal("STOP");
    let streams: Vec<TcpStream> = (0..20)
        .map(|n| {
            let mut stream = connect(&forwarder);
            stream.write_all(&fee(&format!("m{n}")).bytes()).unwrap();
            stream
        })
        .collect();
    sleep(MS(600));
    forwarder.signal("CONT");
    let unanswered =
        streams.into_iter().map(read_to_end).filter(|answer| !answer.starts_with("HTTP/1.1 ")).count();
    assert_eq!(unanswered, 0);
    assert!(forwarder.wait().success());
}

/// A client that never finishes its request delays the end of the process only for a limited time.
#[test]
fn the_process_ends_in_time_whatever_clients_hold_open() {
    let (_target, _platform, mut forwarder) = one_target(|_| OK);
    let mut holders: Vec<TcpStream> = (0..4).map(|_| connect(&forwarder)).collect();
    holders[1].write_all(b"POST /fee HT").unwrap();
    holders[2].write_all(&fee("never").body(vec![b'x'; 500]).bytes()[..300]).unwrap();
    holders[3].shutdown(Shutdown::Write).unwrap();
    let start = Instant::now();
    forwarder.signal("TERM");
    forwarder.signal("TERM");
    assert!(forwarder.wait().success());
    // SIGKILL comes 3.7 s after SIGTERM.
    assert!(start.elapsed() < Duration::from_millis(3_700), "took {:?}", start.elapsed());
}

/// An answer that is being received at SIGTERM counts as delivered, and nothing is sent twice.
#[test]
fn an_answer_half_read_at_sigterm_counts_as_delivered() {
    let (target, platform, mut forwarder) = one_target(|_| Reply::Silence);
    target.behave(|_| Reply::InPieces(vec![b'x'; 4_000], 1));
    assert_eq!(forwarder.submit(&fee("m")), 202);
    eventually("the call", || target.ids() == ["m"]);
    forwarder.signal("TERM");
    assert!(forwarder.wait().success());
    forwarder.restart();
    assert_eq!(forwarder.submit(&fee("marker")), 202);
    eventually("the next message", || target.ids() == ["m", "marker"]);
    assert!(platform.notices().is_empty(), "{:?}", platform.notices());
}
