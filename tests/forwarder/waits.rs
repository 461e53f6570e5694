//! Retry times: a forwarder that was told to wait sends nothing to that destination, for any
//! message, until the wait is over. This holds whatever delays the first byte after the decision,
//! and whatever happens to the answer that asked for the wait.

use super::world::*;
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Sets a connect timeout of several seconds.
fn long_connect_timeout(config: &mut Value) {
    config["settings"]["limits"]["dial_timeout"] = 5_000_000.into();
}

/// A target whose connections are established late. Its accept queue is full, and the kernel drops
/// further SYNs until `open` is called. They are retransmitted one second after the first.
struct SlowTarget {
    listener: TcpListener,
    crowd: Vec<TcpStream>,
}

impl SlowTarget {
    fn start() -> SlowTarget {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        // A backlog of 0 holds one connection, and one more may be queued behind it.
        let address = listener.local_addr().unwrap();
        let crowd = (0..2).filter_map(|_| TcpStream::connect_timeout(&address, MS(100)).ok()).collect();
        SlowTarget { listener, crowd }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Accepts connections, and returns the times at which the first bytes arrived on those that do
    /// not belong to the crowd.
    fn open(&mut self) -> Arc<Mutex<Vec<Instant>>> {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let noted = arrivals.clone();
        let own: Vec<_> = self.crowd.drain(..).map(|s| s.local_addr().unwrap()).collect();
        let listener = self.listener.try_clone().unwrap();
        std::thread::spawn(move || {
            while let Ok((stream, from)) = listener.accept() {
                if own.contains(&from) {
                    continue;
                }
                let noted = noted.clone();
                std::thread::spawn(move || {
                    use std::io::{Read, Write};
                    let (mut stream, mut bytes) = (stream, [0; 4096]);
                    while stream.read(&mut bytes).is_ok_and(|n| n > 0) {
                        noted.lock().unwrap().push(Instant::now());
                        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    }
                });
            }
        });
        arrivals
    }
}

/// A forwarder with two targets of one destination: a quick one, and one whose connections are
/// established late.
struct QuickAndSlowTargets {
    quick: Arc<Server>,
    platform: Platform,
    forwarder: Forwarder,
    slow: SlowTarget,
    /// When the message for the slow target was submitted.
    submitted_at: Instant,
}

impl QuickAndSlowTargets {
    /// Starts a call to each target: message `b` waits for its connection, and message `a` is at
    /// the quick target, which replies as `behaviour` says.
    fn with_calls_in_flight(
        behaviour: impl Fn(&Request) -> Reply + Send + Sync + 'static,
    ) -> QuickAndSlowTargets {
        let (slow, quick) = (SlowTarget::start(), Server::start(|_| OK));
        let both = || {
            vec![
                list_entry("late", slow.address(), 1, "active"),
                list_entry("quick", quick.address, 1, "active"),
            ]
        };
        let platform = Platform::start(both().split_off(1));
        let forwarder = Forwarder::start_with(&platform, long_connect_timeout);
        // Several sequential deliveries let the scheduler allow more than one concurrent call.
        for n in 0..4 {
            assert_eq!(forwarder.submit(&fee(&format!("m{n}"))), 202);
            eventually("it is delivered", || quick.seen().len() > n);
        }
        quick.behave(behaviour);
        let lists = |list| {
            platform.set_list(list);
            eventually("the list arrives", || platform.list_delivered());
            sleep(MS(50));
        };
        lists(vec![both().remove(0)]);
        let submitted_at = Instant::now();
        assert_eq!(forwarder.submit(&fee("b")), 202);
        sleep(MS(50));
        lists(both());
        assert_eq!(forwarder.submit(&fee("a")), 202);
        eventually("a call to the quick target is in flight", || quick.seen().len() == 5);
        QuickAndSlowTargets { quick, platform, forwarder, slow, submitted_at }
    }

    /// Asserts that both messages are sent once more, and neither before the wait was over.
    fn assert_sent_after(&self, arrivals: &Mutex<Vec<Instant>>, requested_at: Instant, wait: Duration) {
        let sent = || arrivals.lock().unwrap().len() + self.quick.seen().len();
        eventually("both are sent again", || sent() >= 7);
        let to_quick = self.quick.seen().into_iter().skip(5).map(|r| r.at);
        let first = arrivals.lock().unwrap().iter().copied().chain(to_quick).min().unwrap();
        assert!(first - requested_at >= wait, "sent {:?} after the wait was requested", first - requested_at);
        sleep(MS(200));
        assert_eq!((sent(), self.platform.notices().len()), (7, 0), "each is sent once more");
    }
}

/// A call's connection was established up to 0.4 s after the decision. A wait that another call had
/// been told meanwhile was not checked again before the first byte.
#[test]
fn a_call_whose_connection_is_established_during_a_wait_is_sent_after_it() {
    let mut pair =
        QuickAndSlowTargets::with_calls_in_flight(|_| Reply::Status(429, "X-Come-Back-Ms: 1900\r\n"));
    let requested_at = pair.quick.seen()[4].at;
    pair.quick.behave(|_| OK);
    assert!(
        pair.submitted_at.elapsed() < MS(900),
        "the other connection may be established already: the machine is too slow for this test"
    );
    let arrivals = pair.slow.open();
    pair.assert_sent_after(&arrivals, requested_at, MS(1_900));
}

/// A process that had been stopped resumed with an established connection and an unread answer that
/// asked to wait, and wrote before it read, as happens under load.
#[test]
fn a_resumed_process_reads_before_it_writes() {
    for _ in 0..3 {
        let requested_at = Arc::new(Mutex::new(None));
        let noted = requested_at.clone();
        let mut pair = QuickAndSlowTargets::with_calls_in_flight(move |_| {
            // By now the forwarder is stopped and the other connection is established.
            sleep(MS(1_300));
            *noted.lock().unwrap() = Some(Instant::now());
            Reply::Status(429, "X-Come-Back-Ms: 1900\r\n")
        });
        pair.forwarder.signal("STOP");
        let arrivals = pair.slow.open();
        eventually("the wait is requested", || requested_at.lock().unwrap().is_some());
        pair.quick.behave(|_| OK);
        sleep(MS(150));
        pair.forwarder.signal("CONT");
        let requested_at = requested_at.lock().unwrap().unwrap();
        pair.assert_sent_after(&arrivals, requested_at, MS(1_900));
    }
}

/// A wait holds, whatever follows the header that asks for it or fails to arrive.
#[test]
fn a_wait_holds_whatever_follows_the_header_that_requests_it() {
    const CUT: &[u8] = b"HTTP/1.1 429 Wait\r\nX-Come-Back-Ms: 1500\r\nContent-Length: 9\r\n\r\nsome";
    const NO_END: &[u8] = b"HTTP/1.1 429 Wait\r\nX-Come-Back-Ms: 1500\r\n";
    const GARBAGE: &[u8] = b"HTTP/1.1 429 Wait\r\nX-Come-Back-Ms: 1500\r\n\x00\x01 no header\r\n\r\n";
    let first = [
        ("the body never ends", Reply::Raw(CUT)),
        ("the connection is reset in the body", Reply::RawAndReset(CUT)),
        ("the head never ends", Reply::Raw(NO_END)),
        ("the connection is reset in the head", Reply::RawAndReset(NO_END)),
        ("the head cannot be parsed", Reply::Raw(GARBAGE)),
    ];
    for (what, reply) in first {
        let (target, _platform, forwarder) = super::one_target(move |_| reply.clone());
        assert_eq!(forwarder.submit(&fee("m1")), 202);
        eventually("the call", || target.seen().len() == 1);
        target.behave(|_| OK);
        for n in 2..6 {
            sleep(MS(100));
            assert_eq!(forwarder.submit(&update(&format!("m{n}"), &format!("k{n}"))), 202);
        }
        eventually(what, || (2..6).all(|n| target.ids().contains(&format!("m{n}"))));
        let seen = target.seen();
        assert!(seen[1].at - seen[0].at >= MS(1_500), "{what}: {:?}", seen[1].at - seen[0].at);
    }
}

/// The deadline of the call passes when part of the answer's head has arrived.
#[test]
fn a_wait_holds_even_if_the_call_that_received_it_is_given_up() {
    let (target, _platform, forwarder) = super::one_target(|_| {
        sleep(MS(250));
        Reply::Raw(b"HTTP/1.1 429 Wait\r\nX-Come-Back-Ms: 1500\r\n")
    });
    assert_eq!(forwarder.submit(&fee("m1").deadline_ms(400)), 202);
    eventually("the call", || target.seen().len() == 1);
    target.behave(|_| OK);
    sleep(MS(450));
    // An unsafe message would avoid the target for a while by itself.
    assert_eq!(forwarder.submit(&update("m2", "k")), 202);
    eventually("the other call", || target.seen().len() == 2);
    let seen = target.seen();
    assert!(seen[1].at - seen[0].at >= MS(1_750), "{:?}", seen[1].at - seen[0].at);
}

/// An endpoint that has left the list asks a call that is still in flight to wait: the other
/// endpoints of its destination are bound.
#[test]
fn a_wait_holds_even_if_the_endpoint_that_requested_it_has_left() {
    let left = Arc::new(AtomicBool::new(false));
    let waits = left.clone();
    let old = Server::start(move |_| {
        eventually("the list arrives", || waits.load(Ordering::SeqCst));
        Reply::Status(429, "X-Come-Back-Ms: 1500\r\n")
    });
    let new = Server::start(|_| OK);
    let platform = Platform::start(vec![list_entry("s-1", old.address, 1, "active")]);
    let forwarder = Forwarder::start(&platform);
    assert_eq!(forwarder.submit(&fee("m1")), 202);
    eventually("the call", || old.seen().len() == 1);
    platform.set_list(vec![list_entry("s-2", new.address, 1, "active")]);
    eventually("the list arrives", || platform.list_delivered());
    // The list may not have been processed yet; a call to the new endpoint shows that it was.
    let requested_at = Instant::now();
    left.store(true, Ordering::SeqCst);
    sleep(MS(100));
    assert_eq!(forwarder.submit(&fee("m2")), 202);
    eventually("both are sent to the other endpoint", || new.seen().len() == 2);
    assert!(new.seen()[0].at - requested_at >= MS(1_500), "{:?}", new.seen()[0].at - requested_at);
}

/// Waits counted for at most twice the longest deadline, so that a partner that was closed for
/// longer was called during its wait.
#[test]
fn a_wait_longer_than_several_deadlines_is_honoured_and_messages_end_in_time() {
    let target = Server::start(|_| Reply::Status(429, "X-Come-Back-Ms: 2500\r\n"));
    let platform = Platform::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let forwarder = Forwarder::start_with(&platform, |config| {
        for class in config["settings"]["categories"].as_array_mut().unwrap() {
            class["aim"] = 200_000.into();
            class["deadline"] = 600_000.into();
        }
    });
    let began = Instant::now();
    assert_eq!(forwarder.submit(&fee("m0").deadline_ms(600)), 202);
    eventually("the call", || target.seen().len() == 1);
    target.behave(|_| OK);
    let mut n = 0;
    while target.seen().len() < 2 {
        n += 1;
        assert_eq!(forwarder.submit(&fee(&format!("m{n}")).deadline_ms(600)), 202);
        sleep(MS(100));
        assert!(began.elapsed() < PATIENCE, "nothing is sent after the wait");
    }
    let seen = target.seen();
    assert!(seen[1].at - seen[0].at >= MS(2_500), "{:?}", seen[1].at - seen[0].at);
    let handed_back = platform.notices().iter().filter(|(_, how)| how == "handed_back").count();
    assert!(handed_back >= 10, "{handed_back} of {n} were handed back when their time was up");
}

/// Messages held up by a wait are paced when it is over, and each has exactly one outcome.
#[test]
fn messages_held_up_by_a_wait_are_not_sent_in_one_burst() {
    let (target, platform, forwarder) = super::one_target(|_| Reply::Status(429, "X-Come-Back-Ms: 1000\r\n"));
    assert_eq!(forwarder.submit(&update("m0", "k0")), 202);
    eventually("the call", || target.seen().len() == 1);
    target.behave(|_| Reply::Later(MS(40), 200));
    for n in 1..50 {
        assert_eq!(forwarder.submit(&update(&format!("m{n}"), &format!("k{n}"))), 202);
    }
    eventually("all are delivered", || target.seen().len() >= 51);
    sleep(MS(200));
    let seen = target.seen();
    assert!(seen[1].at - seen[0].at >= MS(1_000));
    let at_once = seen.iter().skip(1).filter(|r| r.at - seen[1].at < MS(20)).count();
    assert!(at_once <= 4, "{at_once} within 20 ms");
    let mut ids = target.ids().split_off(1);
    ids.sort();
    ids.dedup();
    assert_eq!((ids.len(), seen.len(), platform.notices().len()), (50, 51, 0), "each once, and none is lost");
}
