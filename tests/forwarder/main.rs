//! Runs the forwarder as a process among stand-ins on loopback: delivery rules, restarts, and a
//! regression test for each failure found.

mod departed;
mod deployments;
mod descriptors;
mod discovery;
mod endless;
mod logs;
mod replaced;
mod responses;
mod shutdown;
mod waits;
mod world;

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};
use world::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Starts one target of destination 1, a platform that lists it, and a forwarder.
fn one_target(
    behaviour: impl Fn(&Request) -> Reply + Send + Sync + 'static,
) -> (Arc<Server>, Platform, Forwarder) {
    let target = Server::start(behaviour);
    let platform = Platform::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let forwarder = Forwarder::start(&platform);
    (target, platform, forwarder)
}

#[test]
fn a_message_is_forwarded_unchanged_and_needs_no_notice_once_delivered() {
    let (target, platform, forwarder) = one_target(|_| OK);
    let body: Vec<u8> = (0..=255).cycle().take(64 * 1024).collect();
    assert_eq!(forwarder.submit(&update("m1", "k").body(body.clone())), 202);
    eventually("the call", || target.ids() == ["m1"]);
    let call = &target.seen()[0];
    assert_eq!((call.method.as_str(), call.path.as_str()), ("POST", "/v1/messages"));
    assert_eq!(call.headers["idempotency-key"], "key-of-m1");
    assert!(call.headers["x-deadline"].ends_with('u'));
    assert!(call.body == body);
    assert_eq!(forwarder.submit(&update("m2", "k")), 202);
    eventually("the next message with the key", || target.ids() == ["m1", "m2"]);
    assert!(platform.notices().is_empty());
}

#[test]
fn malformed_requests_are_rejected_without_side_effects() {
    let (target, _platform, mut forwarder) = one_target(|_| OK);
    let text = String::from_utf8(update("m1", "k").bytes()).unwrap();
    let status =
        |text: String| forwarder.exchange(text.as_bytes()).split(' ').nth(1).unwrap_or("").to_string();
    assert_eq!(status(text.replace("X-Deadline: 24000m", "X-Deadline: soon")), "400");
    assert_eq!(status(text.replace("X-Deadline: 24000m", "X-Deadline: é")), "400");
    assert_eq!(status(text.replace("dest=1", "dest=one")), "400");
    assert_eq!(status(text.replace("X-Request-Id", "X-Other")), "400");
    assert_eq!(status(text.replace("Idempotency-Key", "X-Other")), "400");
    assert_eq!(status(text.replace("/update/", "/unknown/")), "404");
    assert_eq!(status(text.replace("HTTP/1.1", "SPDY")), "400");
    // A deadline beyond that of the class, or a duplicate header that a target might use.
    assert_eq!(status(text.replace("24000m", "24001m")), "400");
    assert_eq!(status(text.replace("24000m", "-5m")), "400");
    for name in [
        "X-Request-Id: m9",
        "X-Deadline: 9m",
        "X-Consignee: dest=2",
        "Idempotency-Key: k",
        "Content-Length: 1",
    ] {
        assert_eq!(status(text.replace("Host: f", &format!("Host: f\r\n{name}"))), "400", "{name} twice");
    }
    assert_eq!(status(text.replace("Length: 1", "Length: -1")), "400");
    assert_eq!(status(text.replace("dest=1", "dest=999")), "503", "no such destination");
    for length in [64 * 1024 + 1, 200 * 1024] {
        assert_eq!(forwarder.submit(&update("m2", "k").body(vec![0; length])), 413, "{length}");
        assert_eq!(
            status(
                text.replace("dest=1", "dest=one").replace("Length: 1", &format!("Length: {length}"))
                    + &"x".repeat(length)
            ),
            "400"
        );
    }
    assert_eq!(forwarder.submit(&update("m3", "k")), 202);
    eventually("the call", || target.ids() == ["m3"]);
    assert!(forwarder.is_running());
}

/// hyper drops `Content-Length` next to `Transfer-Encoding`. The body then ends where the sender
/// says, and what follows is parsed as a second request.
#[test]
fn a_request_with_two_body_framings_is_rejected_with_the_request_hidden_in_it() {
    let (target, _platform, forwarder) = one_target(|_| OK);
    let hidden = String::from_utf8(fee("hidden").bytes()).unwrap();
    let chunked = "Transfer-Encoding: chunked";
    for (n, both) in [format!("Content-Length: 5\r\n{chunked}"), format!("{chunked}\r\nContent-Length: 5")]
        .into_iter()
        .enumerate()
    {
        let text = String::from_utf8(fee(&format!("m{n}")).bytes()).unwrap();
        let text = text.replace("Connection: close\r\n", "").replace("Content-Length: 1", &both);
        let text = text.replace("\r\n\r\nx", "\r\n\r\n0\r\n\r\n");
        let answer = forwarder.exchange(format!("{text}{hidden}").as_bytes());
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    }
    // Chunked encoding alone is accepted.
    let text = String::from_utf8(fee("chunked").bytes()).unwrap().replace("Content-Length: 1", chunked);
    let answer = forwarder.exchange(text.replace("\r\n\r\nx", "\r\n\r\n1\r\nx\r\n0\r\n\r\n").as_bytes());
    assert!(answer.starts_with("HTTP/1.1 202"), "{answer}");
    eventually("the call", || target.ids() == ["chunked"]);
}

/// Connections that sent nothing, or stopped in the middle of a request, kept their slots for up to
/// a minute while other clients waited behind them.
#[test]
fn silent_and_incomplete_connections_do_not_block_others() {
    let (target, _platform, forwarder) = one_target(|_| OK);
    let text = fee("never").body(vec![b'x'; 100]).bytes();
    let parts = [&b""[..], b"POST /fee HT", &text[..text.len() - 50]];
    let start = Instant::now();
    let crowd: Vec<_> = (0..300)
        .map(|n| {
            let mut stream = TcpStream::connect(forwarder.listen).unwrap();
            let _ = stream.write_all(parts[n % parts.len()]);
            stream
        })
        .collect();
    assert_eq!(forwarder.submit(&fee("m1")), 202);
    eventually("the call", || target.ids() == ["m1"]);
    for mut stream in crowd {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        // A response or nothing, and then the end of the stream.
        let end = stream.read_to_end(&mut Vec::new());
        assert!(!end.is_err_and(|e| e.kind() == ErrorKind::WouldBlock), "still open after {PATIENCE:?}");
    }
    // The limit is generous for slow machines.
    assert!(start.elapsed() < MS(10_000), "took {:?}", start.elapsed());
    assert_eq!(target.ids(), ["m1"]);
}

/// Clients that kept their connections after one request used up the slots, and others were
/// refused.
#[test]
fn idle_connections_are_closed_when_slots_run_short() {
    let (_target, _platform, forwarder) = one_target(|_| OK);
    let mut kept: Vec<_> = (0..5).map(|_| forwarder.connect()).collect();
    let closes = |kept: &mut KeepAliveConnection| {
        kept.get("/healthz").is_none_or(|head| head.contains("connection: close"))
    };
    let first = kept.iter_mut().map(|k| usize::from(closes(k))).sum::<usize>();
    assert_eq!(first, 0, "few connections are open");
    kept.extend((0..95).map(|_| forwarder.connect()));
    eventually("some connections are told to close", || kept.iter_mut().any(closes));
}

/// A duplicate submission, on any connection, was accepted as a separate message.
#[test]
fn a_duplicate_id_is_sent_once() {
    let (target, platform, forwarder) = one_target(|_| Reply::Later(MS(300), 200));
    assert_eq!(forwarder.submit(&fee("m1")), 202);
    assert_eq!(forwarder.submit(&fee("m1")), 202, "held");
    assert_eq!(forwarder.submit(&fee("m2")), 202);
    eventually("the calls", || target.ids().contains(&"m2".to_string()));
    sleep(MS(500));
    assert_eq!(forwarder.submit(&fee("m1")), 202, "delivered");
    target.behave(|_| Reply::Status(500, ""));
    assert_eq!(forwarder.submit(&fee("m3")), 202);
    eventually("the notice", || platform.has_notice("m3", "given_up"));
    target.behave(|_| OK);
    assert_eq!(forwarder.submit(&fee("m3")), 409, "ended");
    assert_eq!(forwarder.submit(&fee("m4")), 202);
    eventually("the last message", || target.ids().contains(&"m4".to_string()));
    assert_eq!(target.ids().iter().filter(|id| *id == "m1" || *id == "m3").count(), 2);
    assert_eq!(platform.notices().len(), 1);
}

/// What was learned of a target, and its idle connections, belong to one id at one address.
#[test]
fn connections_are_not_shared_between_target_ids_or_addresses() {
    let (old, new) = (Server::start(|_| OK), Server::start(|_| OK));
    let platform = Platform::start(vec![list_entry("s-1", old.address, 1, "active")]);
    let forwarder = Forwarder::start(&platform);
    let last = |target: &Server, id: &str| {
        assert_eq!(forwarder.submit(&update(id, id)), 202);
        eventually("the call", || target.ids().contains(&id.to_string()));
        target.seen().last().unwrap().connection
    };
    let first = last(&old, "m1");
    platform.set_list(vec![list_entry("s-2", old.address, 1, "active")]);
    eventually("the list arrives", || platform.list_delivered());
    assert_ne!(last(&old, "m2"), first);
    platform.set_list(vec![list_entry("s-2", new.address, 1, "active")]);
    eventually("the list arrives", || platform.list_delivered());
    last(&new, "m3");
    platform.set_list(vec![
        list_entry("s-2", new.address, 2, "active"),
        list_entry("s-3", old.address, 1, "active"),
    ]);
    eventually("the list arrives", || platform.list_delivered());
    last(&old, "m4");
    assert_eq!(forwarder.submit(&fee("m5").for_destination(2)), 202);
    eventually("the call", || new.ids() == ["m3", "m5"]);
}

#[test]
fn messages_with_a_key_are_sent_one_at_a_time_and_in_order() {
    let (target, _platform, forwarder) = one_target(|_| Reply::Later(MS(150), 200));
    for n in 0..5 {
        assert_eq!(forwarder.submit(&update(&format!("m{n}"), "k")), 202);
    }
    eventually("all calls arrive", || target.seen().len() == 5);
    assert_eq!(target.ids(), ["m0", "m1", "m2", "m3", "m4"]);
    for pair in target.seen().windows(2) {
        assert!(pair[1].at - pair[0].at >= MS(150), "two messages with a key were in flight at once");
    }
}

#[test]
fn nothing_is_sent_to_a_destination_during_a_requested_wait() {
    let (target, _platform, forwarder) = one_target(|_| Reply::Status(429, "X-Come-Back-Ms: 4000\r\n"));
    assert_eq!(forwarder.submit(&fee("m1")), 202);
    eventually("the call", || target.seen().len() == 1);
    target.behave(|_| OK);
    assert_eq!(forwarder.submit(&fee("m2")), 202);
    eventually("both calls", || target.seen().len() == 3);
    assert!(target.seen()[1].at - target.seen()[0].at >= MS(4_000));
}

#[test]
fn a_drained_target_receives_no_new_calls() {
    let (old, new) = (Server::start(|_| OK), Server::start(|_| OK));
    let platform = Platform::start(vec![list_entry("s-1", old.address, 1, "active")]);
    let forwarder = Forwarder::start(&platform);
    assert_eq!(forwarder.submit(&fee("m1")), 202);
    eventually("the call", || old.seen().len() == 1);
    platform.set_list(vec![
        list_entry("s-1", old.address, 1, "leaving"),
        list_entry("s-2", new.address, 1, "active"),
    ]);
    eventually("the list arrives", || platform.list_delivered());
    for n in 2..8 {
        assert_eq!(forwarder.submit(&fee(&format!("m{n}"))), 202);
    }
    eventually("the calls", || new.seen().len() == 6);
    assert_eq!(old.seen().len(), 1);
}

/// The first watch fails; the list from the configuration is used meanwhile.
#[test]
fn the_configured_list_is_used_while_discovery_is_silent() {
    let target = Server::start(|_| OK);
    let platform = Platform::start(vec![list_entry("s-1", target.address, 1, "active")]);
    platform.server.behave(|_| Reply::Close);
    let forwarder = Forwarder::start(&platform);
    assert_eq!(forwarder.submit(&fee("m1")), 202);
    eventually("the call", || target.ids() == ["m1"]);
    eventually("discovery is contacted again", || platform.server.seen().len() > 3);
}

#[test]
fn an_unsafe_message_to_a_silent_target_is_sent_once_and_reported_at_its_deadline() {
    let (target, platform, forwarder) = one_target(|_| Reply::Silence);
    let start = Instant::now();
    assert_eq!(forwarder.submit(&fee("m1").deadline_ms(800)), 202);
    eventually("the notice", || platform.has_notice("m1", "given_up"));
    let notice = platform.server.seen().into_iter().find(|r| r.method == "POST").unwrap();
    assert!(notice.at - start >= MS(700), "ended early");
    assert_eq!(target.ids(), ["m1"]);
}

#[test]
fn a_refused_connection_counts_as_never_run() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let platform = Platform::start(vec![list_entry("s-1", closed, 1, "active")]);
    let forwarder = Forwarder::start(&platform);
    assert_eq!(forwarder.submit(&fee("m1").deadline_ms(600)), 202);
    eventually("the notice", || platform.has_notice("m1", "handed_back"));
}

#[test]
fn unexpected_answers_count_as_may_have_run() {
    for raw in [&b"HTTP/1.1 abc\r\n\r\n"[..], b"\0\0\0\0", b"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n"] {
        let (target, platform, mut forwarder) = one_target(move |_| Reply::Raw(raw));
        assert_eq!(forwarder.submit(&fee("m1").deadline_ms(20_000)), 202);
        eventually("the notice", || platform.has_notice("m1", "given_up"));
        assert_eq!(target.ids(), ["m1"]);
        assert!(forwarder.is_running());
    }
}

/// A 200 that was read just after the message's deadline counted as delivered here but not at the
/// platform, which then waited for the message's end indefinitely.
#[test]
fn an_answer_read_after_the_deadline_still_produces_a_notice() {
    let held = Arc::new(AtomicBool::new(true));
    let holds = held.clone();
    let (target, platform, forwarder) = one_target(move |_| {
        while holds.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(5));
        }
        OK
    });
    assert_eq!(forwarder.submit(&fee("m").deadline_ms(800)), 202);
    eventually("the call arrives", || target.seen().len() == 1);
    forwarder.signal("STOP");
    sleep(Duration::from_millis(900));
    held.store(false, Ordering::SeqCst);
    sleep(Duration::from_millis(100));
    forwarder.signal("CONT");
    eventually("the notice arrives", || !platform.notices().is_empty());
    assert_eq!(platform.notices(), [("m".to_string(), "given_up".to_string())]);
    assert_eq!(forwarder.submit(&fee("next")), 202);
    eventually("the next message is sent", || target.seen().len() == 2);
    sleep(Duration::from_millis(100));
    assert_eq!(platform.notices().len(), 1, "a message delivered in time needs no notice");
}

/// The status line is valid even if nothing after it can be parsed. Such messages were given up, or
/// sent again.
#[test]
fn a_200_status_line_delivers_whatever_follows() {
    let endless: &'static [u8] =
        Box::leak([&b"HTTP/1.1 200 OK\r\nX: "[..], &[b'x'; 100_000]].concat().into());
    for raw in [
        &b"HTTP/1.1 200 OK\r\nno header\r\n\r\n"[..],
        b"HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n",
        b"HTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n\0\0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX: never",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx",
        endless,
    ] {
        let (target, platform, forwarder) = one_target(move |_| Reply::Raw(raw));
        let text = String::from_utf8_lossy(&raw[..raw.len().min(60)]).into_owned();
        // One after another: each is sent once the previous message with the key is over.
        for n in 0..3 {
            assert_eq!(forwarder.submit(&update(&format!("m{n}"), "k")), 202);
        }
        eventually(&text, || target.ids() == ["m0", "m1", "m2"]);
        sleep(MS(400));
        assert!(platform.notices().is_empty() && target.seen().len() == 3, "{text}");
        let seen = target.seen();
        assert!(
            seen[0].connection != seen[1].connection && seen[1].connection != seen[2].connection,
            "{text}"
        );
        // The call did not last until a timeout. The limit is generous for slow machines.
        assert!(seen[2].at - seen[0].at < MS(6_000), "{text}");
    }
}

#[test]
fn an_incomplete_response_head_does_not_hold_the_call_until_its_deadline() {
    for raw in [&b"HTTP/1.1 500 No\r\nX: "[..], b"HTTP/1.1 2", b"HTTP/1.1 101 Other\r\nUpgrade: x\r\n\r\n"] {
        let (target, platform, forwarder) = one_target(move |_| Reply::Raw(raw));
        let start = Instant::now();
        assert_eq!(forwarder.submit(&fee("m1")), 202);
        eventually("the notice", || platform.has_notice("m1", "given_up"));
        assert!(start.elapsed() < MS(10_000), "took {:?}", start.elapsed());
        target.behave(|_| OK);
        assert_eq!(forwarder.submit(&fee("m2")), 202);
        eventually("the next message", || target.ids() == ["m1", "m2"]);
        assert_ne!(target.seen()[0].connection, target.seen()[1].connection);
    }
}

/// Bytes after an answer must not be taken as the answer to the next call.
#[test]
fn a_connection_with_bytes_after_the_answer_is_not_reused() {
    let raw = b"HTTP/1.1 503 Full\r\nX-Load: x0=no,x1=1e999\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let (target, _platform, forwarder) = one_target(move |_| Reply::Raw(raw));
    assert_eq!(forwarder.submit(&fee("m1")), 202);
    eventually("some calls", || target.seen().len() >= 4);
    let seen = target.seen();
    assert!(seen.windows(2).all(|pair| pair[0].connection != pair[1].connection));
}

#[test]
fn an_absurdly_long_wait_is_honoured() {
    let (target, _platform, forwarder) = one_target(|_| Reply::Status(429, "X-Come-Back-Ms: 1e30\r\n"));
    assert_eq!(forwarder.submit(&fee("m1")), 202);
    eventually("the call", || target.seen().len() == 1);
    sleep(MS(3_000));
    assert_eq!(target.seen().len(), 1);
}

#[test]
fn each_status_has_its_specified_outcome() {
    // Not executed: an unsafe message is sent again.
    for (status, headers) in [(503, ""), (503, "X-Line-Busy: 1\r\n"), (429, "X-Come-Back-Ms: 1\r\n")] {
        let (target, platform, forwarder) = one_target(move |_| Reply::Status(status, headers));
        assert_eq!(forwarder.submit(&fee("m1")), 202);
        eventually("the first call", || !target.seen().is_empty());
        target.behave(|_| OK);
        eventually("another call", || target.seen().len() > 1);
        assert!(platform.notices().is_empty(), "{status} {headers}");
    }
    // Possibly executed: the message ends and is not sent again.
    let (target, platform, forwarder) = one_target(|_| Reply::Status(500, ""));
    assert_eq!(forwarder.submit(&fee("m1")), 202);
    eventually("the notice", || platform.has_notice("m1", "given_up"));
    assert_eq!(target.ids(), ["m1"]);
    // Over: nothing more is owed, and the next message with the key is sent.
    let (target, platform, forwarder) =
        one_target(|r| Reply::Status(if r.id() == "m1" { 410 } else { 200 }, ""));
    assert_eq!(forwarder.submit(&update("m1", "k")), 202);
    assert_eq!(forwarder.submit(&update("m2", "k")), 202);
    eventually("the calls", || target.ids() == ["m1", "m2"]);
    assert!(platform.notices().is_empty());
    // Out of attempts: the message's end is still owed.
    let (_target, platform, forwarder) = one_target(|_| Reply::Status(504, ""));
    assert_eq!(forwarder.submit(&fee("m1").deadline_ms(2_000)), 202);
    eventually("the notice", || platform.has_notice("m1", "handed_back"));
}

/// A target that closes an idle connection without notice must not use up the only attempt of an
/// unsafe message.
#[test]
fn no_call_is_sent_on_a_stale_connection() {
    let (target, platform, forwarder) = one_target(|_| Reply::OkAndClose);
    for n in 0..20 {
        assert_eq!(forwarder.submit(&fee(&format!("m{n}"))), 202);
        eventually("the call and the close", || target.closed.load(Ordering::SeqCst) == n + 1);
    }
    assert!(platform.notices().is_empty());
}

#[test]
fn an_idle_connection_is_reused_until_its_idle_timeout() {
    let target = Server::start(|_| OK);
    let platform = Platform::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let forwarder =
        Forwarder::start_with(&platform, |c| c["settings"]["limits"]["conn_idle"] = 2_000_000.into());
    let call = |id: &str| {
        assert_eq!(forwarder.submit(&fee(id)), 202);
        eventually("the call", || target.ids().contains(&id.to_string()));
        sleep(MS(120));
        target.seen().last().unwrap().clone()
    };
    let calls: Vec<Request> = (0..24).map(|n| call(&format!("m{n}"))).collect();
    let mut last_use = std::collections::BTreeMap::new();
    let again = calls.iter().filter_map(|call| {
        let before: Option<Instant> = last_use.insert(call.connection, call.at);
        before.map(|before| call.at - before)
    });
    let rests: Vec<Duration> = again.collect();
    assert!(rests.len() >= 6, "hardly used again: {rests:?}");
    // Half of the idle timeout less its margin of a quarter.
    assert!(rests.iter().all(|rest| *rest >= MS(750) && *rest < MS(2_000)), "{rests:?}");
    sleep(MS(2_000));
    let late = call("late").connection;
    assert!(calls.iter().all(|call| call.connection != late), "reused after its idle timeout");
}

#[test]
fn a_killed_forwarder_resumes_its_messages() {
    let (target, platform, mut forwarder) = one_target(|_| Reply::Silence);
    assert_eq!(forwarder.submit(&fee("unsafe")), 202);
    eventually("the unsafe call", || target.ids() == ["unsafe"]);
    for id in ["first", "second", "third"] {
        assert_eq!(forwarder.submit(&update(id, "k")), 202);
    }
    assert_eq!(forwarder.submit(&fee("short").deadline_ms(600)), 202);
    forwarder.kill();
    target.behave(|_| OK);
    sleep(MS(700));
    forwarder.restart();
    eventually("the calls", || target.ids().contains(&"third".to_string()));
    let again: Vec<_> = target.ids().into_iter().filter(|id| !id.contains("unsafe")).collect();
    assert_eq!(again, ["first", "second", "third"], "in order, without expired messages");
    eventually("a message that may have run is given up", || platform.has_notice("unsafe", "given_up"));
    eventually("the expired message has its outcome", || platform.notices().iter().any(|n| n.0 == "short"));
    assert_eq!(target.ids().iter().filter(|id| *id == "unsafe").count(), 1);
    // All messages before the last one with the key are over, and none of them is sent again.
    assert_eq!(forwarder.submit(&update("last", "k")), 202);
    eventually("the last message", || target.ids().contains(&"last".to_string()));
    let others = || target.ids().into_iter().filter(|id| id != "last").collect::<Vec<_>>();
    let before = others();
    forwarder.kill();
    forwarder.restart();
    assert_eq!(forwarder.submit(&update("new", "k")), 202);
    eventually("the new message", || target.ids().contains(&"new".to_string()));
    assert_eq!(others(), [before, vec!["new".to_string()]].concat());
}

#[test]
fn a_forwarder_killed_at_random_moments_loses_and_repeats_nothing() {
    let (target, platform, mut forwarder) = one_target(|_| Reply::Later(MS(15), 200));
    let mut taken = Vec::new();
    for round in 0..8 {
        let start = Instant::now();
        for n in 0.. {
            let id = format!("m{round}-{n}");
            if forwarder.submit(&fee(&id)) == 202 {
                taken.push(id);
            }
            if start.elapsed() > MS(40 + 7 * round) {
                break;
            }
        }
        forwarder.kill();
        forwarder.restart();
    }
    eventually("each message has its outcome", || {
        let (ids, notices) = (target.ids(), platform.notices());
        taken.iter().all(|id| ids.contains(id) || notices.iter().any(|n| n.0 == *id))
    });
    let mut ids = target.ids();
    ids.sort();
    assert!(ids.windows(2).all(|pair| pair[0] != pair[1]), "an unsafe message was sent twice");
}

/// A release kills a whole fleet at once, in the middle of calls. The state folders are kept, and
/// discovery is silent afterwards. `FOLDTRACK_FLEET` sets the number of forwarders; a large machine
/// has room for hundreds.
#[test]
fn a_fleet_killed_at_once_resumes_its_messages_while_discovery_is_silent() {
    let count: u32 =
        std::env::var("FOLDTRACK_FLEET").map_or(6, |n| n.parse().expect("FOLDTRACK_FLEET is a count"));
    let target = Server::start(|_| Reply::Later(MS(120), 200));
    let platform = Platform::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let mut fleet: Vec<Forwarder> = (0..count)
        .map(|_| Forwarder::start_with(&platform, |c| c["settings"]["balancers"] = count.into()))
        .collect();
    let mut taken = Vec::new();
    for n in 0..8 {
        for (f, forwarder) in fleet.iter().enumerate() {
            let (paid, told) = (fee(&format!("p{f}-{n}")), update(&format!("u{f}-{n}"), &format!("k{f}")));
            for submission in [paid, told] {
                assert_eq!(forwarder.submit(&submission), 202);
                taken.push(submission.id);
            }
        }
    }
    platform.set_silent(true);
    fleet.iter_mut().for_each(Forwarder::kill);
    let before = target.seen().len();
    assert!(before < taken.len(), "no message was left to resume");
    let restart = Instant::now();
    fleet.iter_mut().for_each(Forwarder::restart);
    eventually("a message is sent by the cached list", || target.seen().len() > before);
    // Each start waits a quarter of a second for the list, and the forwarders start one after
    // another here.
    assert!(restart.elapsed() < MS(2_000) * count, "after {:?}", restart.elapsed());
    let answered = || platform.notices().into_iter().map(|n| n.0).collect::<Vec<_>>();
    eventually("the last messages are sent", || target.ids().iter().any(|id| id.ends_with("-7")));
    platform.set_silent(false);
    eventually("each message has its outcome", || {
        let (ids, told) = (target.ids(), answered());
        taken.iter().all(|id| ids.contains(id) || told.contains(id))
    });
    let ids = target.ids();
    for (f, n) in (0..fleet.len()).flat_map(|f| (0..8).map(move |n| (f, n))) {
        let paid = format!("p{f}-{n}");
        assert!(ids.iter().filter(|id| **id == paid).count() <= 1, "{paid} was sent twice");
    }
    // A call in flight at the kill may be repeated, before any later message with its key.
    for f in 0..fleet.len() {
        let own: Vec<&String> = ids.iter().filter(|id| id.starts_with(&format!("u{f}-"))).collect();
        assert!(own.windows(2).all(|pair| pair[0] <= pair[1]), "out of order: {own:?}");
    }
}

/// Packets are lost without a reset: the call stays open, and the notice sent at the deadline gets
/// no answer. The notice must arrive once the network is back, and the payment must have been sent
/// once.
#[test]
fn a_message_that_expires_during_a_partition_gets_its_notice_afterwards() {
    let (target, platform, forwarder) = one_target(|_| Reply::Silence);
    assert_eq!(forwarder.submit(&fee("m1").deadline_ms(700)), 202);
    eventually("the call", || target.ids() == ["m1"]);
    platform.set_silent(true);
    let sent = || platform.server.seen().iter().filter(|r| r.method == "POST").count();
    eventually("the notice is repeated", || sent() > 2);
    let before = sent();
    platform.set_silent(false);
    eventually("the notice is acknowledged", || sent() > before);
    assert_eq!(forwarder.submit(&update("m2", "k")), 202);
    sleep(MS(600));
    assert!(
        platform.has_notice("m1", "given_up") && target.ids().iter().filter(|id| *id == "m1").count() == 1
    );
    // An acknowledged notice is not sent again.
    let taken = sent();
    sleep(MS(600));
    assert_eq!(sent(), taken);
}

/// A number of forwarders that is missing, 0 or implausibly large, and invalid limits.
#[test]
fn invalid_settings_prevent_neither_startup_nor_delivery() {
    use serde_json::{json, Value};
    for (balancers, weight) in
        [(Value::Null, -5.0), (json!(0), 0.0), (json!(300), 1e300), (json!(u32::MAX), 0.0)]
    {
        let target = Server::start(|_| Reply::Headers(200, "X-Load: x0=-1,x1=1e400\r\n".into()));
        let mut server = list_entry("s-1", target.address, 1, "active");
        server["weight"] = json!(weight);
        let platform = Platform::start(vec![server]);
        let forwarder = Forwarder::start_with(&platform, |config| {
            match balancers.is_null() {
                true => drop(config["settings"].as_object_mut().unwrap().remove("balancers")),
                false => config["settings"]["balancers"] = balancers.clone(),
            }
            config["settings"]["weight_source"] = "nominal".into();
        });
        for id in ["m1", "m2", "m3"] {
            assert_eq!(forwarder.submit(&fee(id)), 202, "{balancers} {weight}");
        }
        eventually("the calls", || target.ids().len() == 3);
    }
}

#[test]
fn sigterm_lets_calls_finish_and_the_journal_keeps_the_rest() {
    let target = Server::start(|_| Reply::Later(MS(1_000), 200));
    let there = Server::start(|_| OK);
    let out = list_entry("s-1", target.address, 1, "active");
    let platform = Platform::start(vec![out.clone(), list_entry("s-2", there.address, 2, "leaving")]);
    let mut forwarder = Forwarder::start(&platform);
    assert_eq!(forwarder.submit(&fee("out")), 202);
    eventually("the call", || target.ids() == ["out"]);
    // The target is not usable yet.
    assert_eq!(forwarder.submit(&fee("held").for_destination(2)), 202);
    let start = Instant::now();
    let mut kept = forwarder.connect();
    forwarder.signal("TERM");
    eventually("responses close their connections", || match kept.get("/healthz") {
        Some(head) => head.contains("connection: close"),
        None => true,
    });
    // Accepted, or not received at all on a slow machine.
    let late = forwarder.submit(&fee("late").for_destination(2));
    assert!(late == 202 || late == 0, "{late}");
    assert!(forwarder.wait().success());
    // The shutdown does not wait for held messages. The limit is generous for slow machines.
    assert!(start.elapsed() < MS(10_000), "took {:?}", start.elapsed());
    assert!(platform.notices().is_empty());
    platform.set_list(vec![out, list_entry("s-2", there.address, 2, "active")]);
    forwarder.restart();
    eventually("the remaining messages", || there.ids().len() == 1 + usize::from(late == 202));
    assert!(there.ids().contains(&"held".to_string()));
    assert_eq!(target.ids(), ["out"]);
    assert!(platform.notices().is_empty());
}

#[test]
fn a_torn_journal_tail_is_truncated_and_other_damage_is_skipped() {
    let (target, _platform, mut forwarder) = one_target(|_| Reply::Silence);
    assert_eq!(forwarder.submit(&fee("out")), 202);
    eventually("the call", || target.ids() == ["out"]);
    for id in ["first", "second", "third"] {
        assert_eq!(forwarder.submit(&update(id, "k").body(id.into())), 202);
    }
    forwarder.kill();
    let mut bytes = fs::read(forwarder.journal()).unwrap();
    let second = bytes.windows(6).rposition(|w| w == b"second").unwrap();
    bytes[second] ^= 1;
    bytes.truncate(bytes.len() - 3);
    fs::write(forwarder.journal(), bytes).unwrap();
    target.behave(|_| OK);
    forwarder.restart();
    eventually("the intact message", || target.ids().contains(&"first".to_string()));
    assert_eq!(forwarder.submit(&update("fourth", "k")), 202);
    eventually("the new message", || target.ids().contains(&"fourth".to_string()));
    assert_eq!(target.ids(), ["out", "first", "fourth"]);
    // Records written after the truncated tail are intact.
    forwarder.kill();
    forwarder.restart();
    assert_eq!(forwarder.submit(&update("fifth", "k")), 202);
    eventually("the next message", || target.ids().contains(&"fifth".to_string()));
    assert!(!target.ids().iter().any(|id| id == "second" || id == "third"), "{:?}", target.ids());
}

#[test]
fn the_journal_stays_within_its_size_limit() {
    let target = Server::start(|_| OK);
    let platform = Platform::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let room = 400_000;
    let mut forwarder = Forwarder::start_with(&platform, |c| c["limits"]["disk_mb"] = 0.4.into());
    let watched = |forwarder: &Forwarder| {
        let on_disk = forwarder.on_disk();
        assert!(on_disk <= room, "{on_disk} of {room} bytes");
    };
    // Far more than the limit in total, but little of it at any time.
    for n in 0..60 {
        assert_eq!(forwarder.submit(&fee(&format!("m{n}")).body(vec![7; 30_000])), 202, "message {n}");
        eventually("the call", || target.seen().len() == n + 1);
        watched(&forwarder);
    }
    // More at once than the journal has space for.
    target.behave(|_| Reply::Silence);
    let statuses: Vec<u16> = (0..20)
        .map(|n| {
            let status = forwarder.submit(&fee(&format!("n{n}")).body(vec![7; 30_000]));
            watched(&forwarder);
            status
        })
        .collect();
    let taken = statuses.iter().filter(|s| **s == 202).count();
    assert!(taken >= 3 && statuses.ends_with(&[503]), "{statuses:?}");
    forwarder.kill();
    target.behave(|_| OK);
    forwarder.restart();
    watched(&forwarder);
    let ends = || platform.notices().len() + target.ids().iter().filter(|id| id.starts_with('n')).count();
    eventually("the accepted messages have their outcome", || ends() > taken);
    eventually("capacity is available again", || forwarder.submit(&fee("more").body(vec![7; 30_000])) == 202);
    watched(&forwarder);
}

/// The process is stopped while a client submits a message and disconnects. The client will submit
/// the message elsewhere.
#[test]
fn a_message_whose_client_disconnects_before_the_reply_is_not_sent() {
    let (target, platform, forwarder) = one_target(|_| OK);
    forwarder.signal("STOP");
    let mut stream = TcpStream::connect(forwarder.listen).unwrap();
    stream.write_all(&fee("gone").bytes()).unwrap();
    drop(stream);
    sleep(MS(50));
    forwarder.signal("CONT");
    assert_eq!(forwarder.submit(&fee("here")), 202);
    eventually("the call", || target.ids().contains(&"here".to_string()));
    sleep(MS(100));
    assert_eq!(target.ids(), ["here"]);
    assert!(platform.notices().is_empty());
}

#[test]
fn notices_are_repeated_until_acknowledged_also_after_a_restart() {
    let (_target, platform, mut forwarder) = one_target(|_| Reply::Status(500, ""));
    platform.server.behave(|r| if r.method == "POST" { Reply::Status(503, "") } else { Reply::Silence });
    assert_eq!(forwarder.submit(&fee("m1")), 202);
    eventually("two tries", || platform.notices().len() >= 2);
    forwarder.kill();
    let before = platform.notices().len();
    platform.server.behave(|r| if r.method == "POST" { Reply::Status(204, "") } else { Reply::Silence });
    forwarder.restart();
    eventually("another notice", || platform.notices().len() > before);
    sleep(MS(300));
    assert_eq!(platform.notices().len(), before + 1, "repeated although acknowledged");
    assert!(platform.notices().iter().all(|n| n == &("m1".to_string(), "given_up".to_string())));
}

/// A message that ends by a notice is over only when the notice is acknowledged. The next message
/// with its key was sent before that.
#[test]
fn a_key_waits_for_an_earlier_messages_notice_also_over_a_restart() {
    let (target, platform, mut forwarder) = one_target(|_| Reply::Status(504, ""));
    platform.server.behave(|r| if r.method == "POST" { Reply::Status(503, "") } else { Reply::Silence });
    assert_eq!(forwarder.submit(&update("m1", "k").deadline_ms(700)), 202);
    assert_eq!(forwarder.submit(&update("m2", "k").deadline_ms(1_400)), 202);
    assert_eq!(forwarder.submit(&update("m3", "k")), 202);
    assert_eq!(forwarder.submit(&update("other", "l")), 202);
    eventually("an expired waiting message has its outcome too", || platform.has_notice("m2", "handed_back"));
    eventually("the notice is tried", || platform.notices().iter().filter(|n| n.0 == "m1").count() >= 3);
    target.behave(|_| OK);
    forwarder.kill();
    forwarder.restart();
    eventually("other keys are not blocked", || target.ids().contains(&"other".to_string()));
    eventually("the notice is tried", || platform.notices().iter().filter(|n| n.0 == "m1").count() >= 8);
    assert!(!target.ids().contains(&"m3".to_string()), "sent although m1 is not finished");
    platform.server.behave(|r| if r.method == "POST" { Reply::Status(204, "") } else { Reply::Silence });
    eventually("the next message with the key", || target.ids().contains(&"m3".to_string()));
}

/// A send that waited for a notice is decided again afterwards, so that changes made meanwhile
/// apply to it too.
#[test]
fn a_delayed_send_uses_the_list_at_the_time_it_is_sent() {
    let (old, new) = (Server::start(|_| Reply::Status(504, "")), Server::start(|_| OK));
    let platform = Platform::start(vec![list_entry("s-1", old.address, 1, "active")]);
    let forwarder = Forwarder::start(&platform);
    assert_eq!(forwarder.submit(&update("m1", "k").deadline_ms(700)), 202);
    eventually("the list arrives", || platform.list_delivered());
    platform.refuse_notices(true);
    assert_eq!(forwarder.submit(&update("m2", "k")), 202);
    eventually("the notice is tried", || platform.notices().len() >= 3);
    platform.set_list(vec![
        list_entry("s-1", old.address, 1, "leaving"),
        list_entry("s-2", new.address, 1, "active"),
    ]);
    eventually("the list arrives", || platform.list_delivered());
    platform.refuse_notices(false);
    eventually("the call", || new.ids() == ["m2"]);
    assert!(!old.ids().contains(&"m2".to_string()));
}

/// A drain announced before a restart holds after it, even if the configuration still lists the
/// target as active.
#[test]
fn a_restart_requests_the_list_before_it_sends() {
    let (old, new) = (Server::start(|_| Reply::Silence), Server::start(|_| OK));
    let platform = Platform::start(vec![list_entry("s-1", old.address, 1, "active")]);
    let mut forwarder = Forwarder::start(&platform);
    for id in ["m1", "m2"] {
        assert_eq!(forwarder.submit(&update(id, "k")), 202);
    }
    eventually("the call", || old.ids() == ["m1"]);
    forwarder.kill();
    platform.set_list(vec![
        list_entry("s-1", old.address, 1, "leaving"),
        list_entry("s-2", new.address, 1, "active"),
    ]);
    forwarder.restart();
    eventually("the calls", || new.ids() == ["m1", "m2"]);
    assert_eq!(old.ids(), ["m1"]);
}

/// One failure stopped all calls to a destination that receives only unsafe messages: they avoided
/// it until another message had succeeded there.
#[test]
fn unsafe_messages_alone_retry_a_destination_after_a_failure() {
    let (target, platform, forwarder) = one_target(|_| Reply::Status(500, ""));
    assert_eq!(forwarder.submit(&fee("m1")), 202);
    eventually("the notice", || platform.has_notice("m1", "given_up"));
    target.behave(|_| OK);
    assert_eq!(forwarder.submit(&fee("m2")), 202);
    eventually("the call", || target.ids() == ["m1", "m2"]);
}

/// The kernel of a partitioned host sent buffered data after the call had been given up and its
/// connection closed. The message arrived after its client had been told that it failed, or after
/// its own repeat.
#[test]
fn a_call_that_was_given_up_does_not_arrive_later() {
    let target = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    // The small receive buffer leaves the rest with the sender until somebody reads.
    target.set_recv_buffer_size(4096).unwrap();
    target.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    target.listen(8).unwrap();
    let target = std::net::TcpListener::from(target);
    let platform = Platform::start(vec![list_entry("s-1", target.local_addr().unwrap(), 1, "active")]);
    let forwarder = Forwarder::start(&platform);
    let submission = fee("m1").deadline_ms(600).body(vec![7; 64 * 1024]);
    assert_eq!(forwarder.submit(&submission), 202);
    let (mut call, _) = target.accept().unwrap();
    eventually("the notice", || platform.has_notice("m1", "given_up"));
    call.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut came = Vec::new();
    let end = call.read_to_end(&mut came);
    assert!(came.len() < 64 * 1024, "all of it arrived: {} bytes, {end:?}", came.len());
}

/// The answer to an attempt that was given up arrives on a connection that nothing else uses.
#[test]
fn a_late_answer_is_not_taken_for_a_later_attempt() {
    let (target, platform, forwarder) = one_target(|_| Reply::Later(MS(900), 500));
    assert_eq!(forwarder.submit(&fee("m1").deadline_ms(400)), 202);
    eventually("the notice", || platform.has_notice("m1", "given_up"));
    target.behave(|_| OK);
    assert_eq!(forwarder.submit(&update("m2", "k")), 202);
    eventually("the call", || target.ids().contains(&"m2".to_string()));
    sleep(MS(1_000));
    assert_eq!(platform.notices().len(), 1);
    let seen = target.seen();
    assert_ne!(seen[0].connection, seen[1].connection);
}

/// SIGHUP ended the process. The old address leaves both its watch and the notice that it received
/// unanswered, and neither must be waited for.
#[test]
fn sighup_moves_the_watch_and_the_notices_to_the_configured_discovery() {
    let (old, new) = (Server::start(|_| Reply::Status(500, "")), Server::start(|_| OK));
    let first = Platform::start(vec![list_entry("s-1", old.address, 1, "active")]);
    first.set_list(vec![list_entry("s-1", old.address, 1, "active")]);
    let mut forwarder = Forwarder::start(&first);
    eventually("the list arrives", || first.list_delivered());
    first.server.behave(|_| Reply::Silence);
    assert_eq!(forwarder.submit(&fee("m1")), 202);
    eventually("the notice is tried", || first.has_notice("m1", "given_up"));
    // The versions of the new discovery start again.
    let second = Platform::start(vec![list_entry("s-2", new.address, 1, "active")]);
    forwarder.move_discovery_to(&second);
    let start = Instant::now();
    eventually("the list and the notice arrive", || {
        second.list_delivered() && second.has_notice("m1", "given_up")
    });
    // Far less than the timeout of a watch, but generous for slow machines.
    assert!(start.elapsed() < MS(3_000), "took {:?}", start.elapsed());
    assert_eq!(forwarder.submit(&fee("m2")), 202);
    eventually("the call", || new.ids() == ["m2"]);
    // After several changes in a row the last one is in force.
    let third = Platform::start(vec![list_entry("s-3", old.address, 1, "active")]);
    for platform in [&first, &second, &third] {
        forwarder.move_discovery_to(platform);
    }
    eventually("the list", || third.list_delivered());
    assert_eq!(forwarder.submit(&fee("m3")), 202);
    eventually("the notice", || third.has_notice("m3", "given_up"));
    forwarder.signal("HUP");
    forwarder.signal("TERM");
    forwarder.signal("HUP");
    assert!(forwarder.wait().success());
}

#[test]
fn an_unreadable_configuration_leaves_the_discovery_address_unchanged() {
    let (target, platform, mut forwarder) = one_target(|_| OK);
    let path = forwarder.folder.path().join("config.json");
    for text in ["{", "{\"discovery\":\"nowhere\"}"] {
        fs::write(&path, text).unwrap();
        forwarder.signal("HUP");
        sleep(MS(400));
    }
    platform.set_list(vec![list_entry("s-2", target.address, 2, "active")]);
    eventually("the watch continues", || platform.list_delivered());
    fs::remove_file(&path).unwrap();
    forwarder.signal("HUP");
    assert_eq!(forwarder.submit(&update("m1", "k").for_destination(2)), 202);
    eventually("the call", || target.ids() == ["m1"]);
    assert!(forwarder.is_running());
}

#[test]
fn an_unreadable_list_entry_hides_no_other_entry() {
    let target = Server::start(|_| OK);
    let platform = Platform::start(vec![list_entry("s-2", target.address, 1, "leaving")]);
    let forwarder = Forwarder::start(&platform);
    assert_eq!(forwarder.submit(&fee("m1")), 202);
    let mut odd = list_entry("s-0", target.address, 1, "active");
    odd["state"] = "asleep".into();
    platform.set_list(vec![odd, list_entry("s-1", target.address, 1, "active")]);
    eventually("the call", || target.ids() == ["m1"]);
}

/// Nothing is limited to the size of current fleets: 1,024 forwarders in the settings, an indented
/// list of 1,024 targets that arrives in small pieces, and one message to each target.
#[test]
fn a_thousand_targets_and_forwarders_are_supported() {
    const MANY: u32 = 1024;
    let target = Server::start(|_| OK);
    let at = target.address;
    let discovery = Server::start(move |request| {
        if request.path.contains("since=") {
            return Reply::Silence;
        }
        let servers = (0..MANY).map(|n| list_entry(&format!("s-{n}"), at, n, "active")).collect::<Vec<_>>();
        let list = serde_json::json!({"version": 7, "full": true, "servers": servers});
        Reply::InPieces(serde_json::to_vec_pretty(&list).unwrap(), 300)
    });
    let platform = Platform::start(vec![list_entry("s-0", at, 0, "active")]);
    let forwarder = Forwarder::start_with(&platform, |config| {
        config["discovery"] = discovery.address.to_string().into();
        config["settings"]["balancers"] = MANY.into();
        config["settings"]["limits"]["max_open"] = (2 * MANY).into();
        // In a fleet of this size a few calls per forwarder would overload a returning partner.
        // That protection is not the subject of this test.
        config["settings"]["contract"]["tip_after"] = 1_000.into();
    });
    eventually("the last target is listed", || {
        forwarder.submit(&update("last", "k").for_destination(MANY - 1)) == 202
    });
    for n in 0..MANY {
        assert_eq!(
            forwarder.submit(&update(&format!("m{n}"), &format!("k{n}")).for_destination(n)),
            202,
            "{n}"
        );
    }
    eventually("all are delivered", || target.ids().len() == MANY as usize + 1);
    let mut ids = target.ids();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), MANY as usize + 1, "one was sent twice");
}

#[test]
fn the_forwarder_survives_running_out_of_descriptors() {
    let (target, platform, mut forwarder) = one_target(|_| OK);
    forwarder.restart_with_descriptor_limit(32);
    let crowd: Vec<_> = (0..60).map(|_| forwarder.connect()).collect();
    sleep(MS(100));
    // The configuration cannot be read at the moment, so discovery keeps its address.
    forwarder.signal("HUP");
    sleep(MS(300));
    assert!(forwarder.is_running());
    drop(crowd);
    eventually("the forwarder serves again", || forwarder.submit(&update("m1", "k")) == 202);
    eventually("the call", || target.ids() == ["m1"]);
    assert!(platform.notices().is_empty());
}

#[test]
fn an_invalid_configuration_is_reported_in_one_line() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    for text in [None, Some("{"), Some("{\"listen\":\"127.0.0.1:0\"}")] {
        text.into_iter().for_each(|t| fs::write(&path, t).unwrap());
        let mut command = Command::new(env!("CARGO_BIN_EXE_foldtrack"));
        command.env_clear().env("BALANCER_CONFIG", &path).env("BALANCER_STATE", folder.path());
        let output = command.stdout(Stdio::null()).output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1));
        assert!(said.lines().count() == 1 && !said.contains("panic"), "{said}");
    }
}

/// The features of a site file are off under the platform: one file, one thread, and no sockets
/// except those of the protocol.
#[test]
fn under_the_platform_there_is_no_control_socket_no_stored_outcome_and_one_thread() {
    let (target, _platform, forwarder) = one_target(|_| OK);
    assert_eq!(forwarder.submit(&fee("m1")), 202);
    eventually("the call", || target.ids() == ["m1"]);
    let state = forwarder.folder.path().join("state");
    let files: Vec<_> = fs::read_dir(state).unwrap().map(|f| f.unwrap().file_name()).collect();
    assert_eq!(files, ["journal"]);
    for path in ["/v1/ends", "/v1/messages/m1"] {
        let request = format!("GET {path} HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n");
        assert!(forwarder.exchange(request.as_bytes()).starts_with("HTTP/1.1 404"), "{path}");
    }
    let process = std::path::PathBuf::from(format!("/proc/{}", forwarder.pid()));
    assert_eq!(fs::read_dir(process.join("task")).unwrap().count(), 1);
    let sockets =
        fs::read_dir(process.join("fd")).unwrap().filter_map(|f| fs::read_link(f.ok()?.path()).ok());
    let inodes: Vec<String> =
        sockets.filter_map(|l| Some(l.to_str()?.strip_prefix("socket:[")?.to_string())).collect();
    let tables = ["tcp", "tcp6", "unix", "udp"]
        .map(|t| fs::read_to_string(format!("/proc/net/{t}")).unwrap_or_default());
    let listening = |line: &&str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let own = |inode: &str| inodes.iter().any(|i| i.trim_end_matches(']') == inode);
        words.len() > 9 && words[3] == "0A" && own(words[9])
    };
    assert_eq!(tables[..2].iter().flat_map(|t| t.lines()).filter(listening).count(), 1, "one listener");
}
