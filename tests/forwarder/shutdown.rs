//! SIGTERM and what crosses it: requests at each stage of their way, the order forced by what the client writes when.

use super::world::*;
use super::{one_target, MS};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A connection of a client that writes as it likes.
fn connected(forwarder: &Forwarder) -> TcpStream {
    let stream = TcpStream::connect(forwarder.listen).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// All that comes until the connection ends; nothing if it is reset.
fn rest(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// A request that keeps its connection.
fn kept_open(id: &str) -> Vec<u8> {
    let text = String::from_utf8(fee(id).bytes()).unwrap();
    text.replace("Connection: close\r\n", "").into_bytes()
}

/// Nobody is accepted any more: whoever connects is refused.
fn is_closing(forwarder: &Forwarder) {
    eventually("the listener closes", || TcpStream::connect(forwarder.listen).is_err());
}

/// The process ended after a second though a client was in the middle of its request, whose rest met a reset.
#[test]
fn a_request_half_written_at_sigterm_is_answered() {
    for part in [5, 60] {
        let (target, _platform, mut forwarder) = one_target(|_| OK);
        let bytes = fee("half").bytes();
        let mut stream = connected(&forwarder);
        stream.write_all(&bytes[..part]).unwrap();
        sleep(MS(50));
        forwarder.signal("TERM");
        is_closing(&forwarder);
        // Past the moment at which a process without work may end.
        sleep(MS(700));
        stream.write_all(&bytes[part..]).unwrap();
        let answer = rest(stream);
        assert!(answer.starts_with("HTTP/1.1 202"), "after {part} bytes: {answer:?}");
        assert!(answer.to_lowercase().contains("connection: close"), "{answer}");
        assert!(forwarder.wait().success());
        forwarder.start_again();
        eventually("it is delivered, before or after the restart", || target.ids() == ["half"]);
    }
}

#[test]
fn a_body_half_written_at_sigterm_is_answered() {
    let (target, _platform, mut forwarder) = one_target(|_| OK);
    let bytes = fee("half").body(vec![b'x'; 2_000]).bytes();
    let mut stream = connected(&forwarder);
    stream.write_all(&bytes[..bytes.len() - 1_000]).unwrap();
    sleep(MS(50));
    forwarder.signal("TERM");
    is_closing(&forwarder);
    stream.write_all(&bytes[bytes.len() - 1_000..]).unwrap();
    let answer = rest(stream);
    assert!(answer.starts_with("HTTP/1.1 202"), "{answer:?}");
    assert!(forwarder.wait().success());
    forwarder.start_again();
    eventually("it is delivered", || target.ids() == ["half"]);
}

/// It has been accepted, and its first byte comes behind the signal.
#[test]
fn what_is_written_behind_sigterm_is_answered_on_new_and_on_resting_connections() {
    let (target, _platform, mut forwarder) = one_target(|_| OK);
    let (mut fresh, mut resting) = (connected(&forwarder), connected(&forwarder));
    resting.write_all(&kept_open("first")).unwrap();
    let mut answer = [0; 12];
    resting.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 202");
    forwarder.signal("TERM");
    let start = Instant::now();
    fresh.write_all(&kept_open("fresh")).unwrap();
    resting.write_all(&kept_open("again")).unwrap();
    for (stream, id) in [(fresh, "fresh"), (resting, "again")] {
        let answer = rest(stream);
        assert!(answer.contains("HTTP/1.1 202"), "{id}: {answer:?} after {:?}", start.elapsed());
        assert!(answer.to_lowercase().contains("connection: close"), "{id}: {answer}");
    }
    assert!(forwarder.wait().success());
    forwarder.start_again();
    let all = |ids: Vec<String>| ["first", "fresh", "again"].iter().all(|id| ids.contains(&id.to_string()));
    eventually("all are delivered", || all(target.ids()));
    assert_eq!(target.seen().len(), 3);
}

/// Behind an answer that closes the connection nothing is read: what stands there was never taken on, and is not sent.
#[test]
fn a_second_request_behind_the_first_is_answered_or_never_sent() {
    let (target, _platform, mut forwarder) = one_target(|_| OK);
    let mut stream = connected(&forwarder);
    forwarder.signal("STOP");
    stream.write_all(&[kept_open("first"), kept_open("second")].concat()).unwrap();
    forwarder.signal("TERM");
    forwarder.signal("CONT");
    let answers = rest(stream).matches("HTTP/1.1 202").count();
    assert!(forwarder.wait().success());
    forwarder.start_again();
    assert_eq!(forwarder.hand_in(&fee("marker")), 202);
    eventually("what was taken on is delivered", || target.ids().len() == answers + 1);
    assert!(target.ids().contains(&"marker".to_string()), "{:?}", target.ids());
    assert_eq!(target.ids().contains(&"second".to_string()), answers == 2, "{:?}", target.ids());
}

/// Connections that wait in the listener's queue when it closes were reset, with their requests in them.
#[test]
fn whoever_has_connected_when_the_listener_closes_is_answered() {
    let (_target, _platform, mut forwarder) = one_target(|_| OK);
    forwarder.signal("TERM");
    sleep(MS(100));
    // Stopped over the moment at which it stops to accept: all that connect meanwhile lie in the queue.
    forwarder.signal("STOP");
    let streams: Vec<TcpStream> = (0..20)
        .map(|n| {
            let mut stream = connected(&forwarder);
            stream.write_all(&fee(&format!("m{n}")).bytes()).unwrap();
            stream
        })
        .collect();
    sleep(MS(600));
    forwarder.signal("CONT");
    let unanswered = streams.into_iter().map(rest).filter(|answer| !answer.starts_with("HTTP/1.1 ")).count();
    assert_eq!(unanswered, 0);
    assert!(forwarder.wait().success());
}

/// A client that never finishes its request holds the end up, but not for long.
#[test]
fn the_process_ends_in_time_whatever_clients_hold_open() {
    let (_target, _platform, mut forwarder) = one_target(|_| OK);
    let mut holders: Vec<TcpStream> = (0..4).map(|_| connected(&forwarder)).collect();
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

/// An answer that is on its way in at SIGTERM counts, and nothing goes twice.
#[test]
fn an_answer_half_read_at_sigterm_delivers() {
    let (target, platform, mut forwarder) = one_target(|_| Reply::Silence);
    target.behave(|_| Reply::InPieces(vec![b'x'; 4_000], 1));
    assert_eq!(forwarder.hand_in(&fee("m")), 202);
    eventually("the call", || target.ids() == ["m"]);
    forwarder.signal("TERM");
    assert!(forwarder.wait().success());
    forwarder.start_again();
    assert_eq!(forwarder.hand_in(&fee("marker")), 202);
    eventually("the next", || target.ids() == ["m", "marker"]);
    assert!(platform.notices().is_empty(), "{:?}", platform.notices());
}
