//! Discovery that fails, each order of events forced by what the stand-in does with which call: what it has counts as told 6 s
//! after it could be reached at the latest, in fleets too.

use super::world::*;
use super::MS;
use serde_json::{json, Value};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Within this a change counts as told; the grace of a drain comes on top.
const TOLD_WITHIN: Duration = Duration::from_secs(6);

/// A forwarder that is one of 300, its old target, the new one that the list names after the first call, and a discovery that
/// does with the n-th call for the list (from 0) what `with_call` says; nothing said is an answer with the new list.
struct Changed {
    discovery: Arc<Server>,
    forwarder: Forwarder,
    old: Arc<Server>,
    new: Arc<Server>,
}

fn list_of(version: u64, servers: &[Value]) -> String {
    json!({"version": version, "full": true, "servers": servers}).to_string()
}

impl Changed {
    fn start(
        change: impl Fn(&mut Value), with_call: impl Fn(usize, &str) -> Option<Reply> + Send + Sync + 'static,
    ) -> Changed {
        let (old, new) = (Server::start(|_| OK), Server::start(|_| OK));
        let first = vec![line("s-1", old.address, 1, "active")];
        let second = vec![line("s-1", old.address, 1, "leaving"), line("s-2", new.address, 1, "active")];
        let calls = AtomicUsize::new(0);
        let known = first.clone();
        let discovery = Server::start(move |request| {
            if request.method == "POST" {
                return Reply::Status(204, "");
            }
            let number = calls.fetch_add(1, Ordering::SeqCst);
            if let Some(reply) = with_call(number, &request.path) {
                return reply;
            }
            match request.path.contains("since=2") {
                true => Reply::Silence,
                false if number == 0 => Reply::Body(list_of(1, &first).into()),
                false => Reply::Body(list_of(2, &second).into()),
            }
        });
        let platform = Platform::start(known);
        let forwarder = Forwarder::start_with(&platform, |config| {
            config["discovery"] = discovery.address.to_string().into();
            config["settings"]["balancers"] = 300.into();
            change(config);
        });
        Changed { discovery, forwarder, old, new }
    }

    /// The list is asked for again in time after the call that failed, and a drain that it tells is kept.
    fn is_heard(&self, failed: usize) {
        let asked = || {
            let seen = self.discovery.seen();
            seen.into_iter().filter(|r| r.method == "GET").map(|r| r.at).collect::<Vec<Instant>>()
        };
        let following = failed + 1;
        eventually("the list is asked for again", || asked().len() > following);
        let asked = asked();
        let after = asked[following] - asked[failed];
        assert!(after <= TOLD_WITHIN, "asked again after {after:?}");
        eventually("the new list is in force", || {
            self.discovery.seen().iter().any(|r| r.path.contains("since=2"))
        });
        let before = self.old.seen().len();
        assert_eq!(self.forwarder.hand_in(&fee("after")), 202);
        eventually("the call", || self.new.ids().contains(&"after".to_string()));
        assert_eq!(self.old.seen().len(), before, "sent to what drains");
    }
}

/// A watch of one of 300 stayed open for 50 s: what it missed was heard after that.
#[test]
fn a_watch_that_is_silent_from_the_first_is_opened_anew() {
    let changed = Changed::start(|_| (), |number, _| (number == 1).then_some(Reply::Silence));
    changed.is_heard(1);
}

/// One of 300 waited 3 to 9 s after a first failure, and up to 135 s after some.
#[test]
fn calls_that_fail_again_and_again_are_made_again_within_the_rules_time() {
    for reply in
        [Reply::Status(503, ""), Reply::Close, Reply::Raw(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")]
    {
        let changed = Changed::start(
            |config| config["settings"]["discovery"] = "on_request".into(),
            move |number, _| (1..=3).contains(&number).then_some(reply.clone()),
        );
        changed.is_heard(1);
        let asked: Vec<Instant> =
            changed.discovery.seen().iter().filter(|r| r.method == "GET").map(|r| r.at).collect();
        let longest = asked[1..5].windows(2).map(|pair| pair[1] - pair[0]).max();
        assert!(longest <= Some(TOLD_WITHIN), "{longest:?}");
    }
}

/// What is cut off half-way counts as silent; a list that cannot be read leaves the old one in force.
#[test]
fn a_list_that_stops_half_way_or_cannot_be_read_is_asked_for_again() {
    for raw in [
        &b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"version\":2,\"full\":true,\"servers\":[{\"id\""[..],
        b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"version\":2",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
        b"HTTP/1.1 200 OK\r\nX: never",
    ] {
        let changed = Changed::start(|_| (), move |number, _| (number == 1).then_some(Reply::Raw(raw)));
        changed.is_heard(1);
    }
}

/// An answer from the past brought a drained target back.
#[test]
fn an_old_list_after_a_new_one_brings_nothing_back() {
    let gone = line("s-1", "127.0.0.1:1".parse().unwrap(), 1, "active");
    let past = list_of(1, &[gone]);
    let changed = Changed::start(
        |_| (),
        move |_, path| path.contains("since=2").then(|| Reply::Body(past.clone().into())),
    );
    eventually("the whole list is asked for", || {
        let seen = changed.discovery.seen();
        let old = seen.iter().position(|r| r.path.contains("since=2"));
        old.is_some_and(|at| seen[at..].iter().any(|r| r.path == "/v1/servers"))
    });
    assert_eq!(changed.forwarder.hand_in(&fee("after")), 202);
    eventually("the call", || changed.new.ids() == ["after"]);
    assert!(changed.old.seen().is_empty());
}

/// Lists may come indented, in small pieces, and whole in place of what has changed.
#[test]
fn a_whole_list_in_place_of_changes_may_come_indented_and_in_pieces() {
    let target = Server::start(|_| OK);
    let servers = [line("s-3", target.address, 1, "active")];
    let list = json!({"version": 2, "full": true, "servers": servers});
    let text = format!("\n{}\n\n", serde_json::to_string_pretty(&list).unwrap());
    let changed = Changed::start(
        |_| (),
        move |number, _| (number == 1).then(|| Reply::InPieces(text.clone().into(), 7)),
    );
    eventually("it is in force", || changed.discovery.seen().iter().any(|r| r.path.contains("since=2")));
    assert_eq!(changed.forwarder.hand_in(&fee("m")), 202);
    eventually("the call", || target.ids() == ["m"]);
    assert!(changed.old.seen().is_empty());
}

/// Nobody is there when it is asked first: what is there later is heard at once.
#[test]
fn a_discovery_that_comes_up_late_is_asked_soon() {
    let place = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = place.local_addr().unwrap();
    drop(place);
    let (old, new) = (Server::start(|_| OK), Server::start(|_| OK));
    let platform = Platform::start(vec![line("s-1", old.address, 1, "active")]);
    let forwarder = Forwarder::start_with(&platform, |config| {
        config["discovery"] = address.to_string().into();
        config["settings"]["balancers"] = 300.into();
    });
    std::thread::sleep(MS(1_500));
    let listener = std::net::TcpListener::bind(address).unwrap();
    let up = Instant::now();
    listener.set_nonblocking(true).unwrap();
    eventually("it is asked", || listener.accept().is_ok());
    assert!(up.elapsed() < MS(1_000), "asked after {:?}", up.elapsed());
    drop((forwarder, new));
}

/// Idle clients that take every descriptor they can get, and come again as soon as they are let go.
struct Crowd {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    fn on(address: SocketAddr, size: usize) -> Crowd {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            let mut held: Vec<TcpStream> = Vec::new();
            while !stopped.load(Ordering::SeqCst) {
                held.retain(|stream| {
                    let peeked = stream.peek(&mut [0]);
                    matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
                });
                while held.len() < size {
                    let Ok(stream) = TcpStream::connect(address) else { break };
                    stream.set_nonblocking(true).unwrap();
                    held.push(stream);
                }
                std::thread::sleep(MS(5));
            }
        });
        Crowd { stop, thread: Some(thread) }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// The list, the targets, the reports and the journal get their descriptors though idle clients take all that they can get,
/// and discovery, which was silent meanwhile, is heard when it is back.
#[test]
fn idle_clients_that_fill_the_descriptors_take_nothing_from_the_list_the_calls_and_the_reports() {
    const DESCRIPTORS: u32 = 96;
    let (old, new) = (Server::start(|_| Reply::Silence), Server::start(|_| OK));
    let platform = Platform::start(vec![line("s-1", old.address, 1, "active")]);
    let mut forwarder = Forwarder::start_with(&platform, |config| {
        config["limits"]["sockets"] = DESCRIPTORS.into();
    });
    forwarder.restrict(DESCRIPTORS);
    assert_eq!(forwarder.hand_in(&fee("ends").within(2_500)), 202);
    assert_eq!(forwarder.hand_in(&update("moves", "k")), 202);
    eventually("the calls", || old.ids().len() == 2);
    platform.fall_silent(true);
    let crowd = Crowd::on(forwarder.listen, 3 * DESCRIPTORS as usize);
    std::thread::sleep(MS(500));
    platform.change(vec![line("s-1", old.address, 1, "leaving"), line("s-2", new.address, 1, "active")]);
    platform.fall_silent(false);
    eventually("the report", || platform.has("ends", "given_up"));
    eventually("the list is told", || platform.has_told());
    // Its call is cut off with the process; the crowd is there when it starts, and the journal is read all the same.
    forwarder.kill();
    forwarder.start_again();
    eventually("the call", || new.ids() == ["moves"]);
    assert!(forwarder.is_running());
    drop(crowd);
    eventually("clients are served", || forwarder.hand_in(&fee("after")) == 202);
    eventually("the call", || new.ids() == ["moves", "after"]);
}
