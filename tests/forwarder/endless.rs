//! Peers that send without end: the other partners and clients are served as before.

use super::*;

/// How long a client waits for the answer to a submission (BRIEF).
const CLIENT_PATIENCE: Duration = Duration::from_millis(400);
/// How long after its deadline a message may take to end (PROTOCOL, the rules on sockets).
const END_GRACE: Duration = Duration::from_millis(350);
/// For how long the peer sends, and the pause between two submissions meanwhile.
const DISTURBANCE: Duration = Duration::from_secs(4);
const SUBMISSION_PAUSE: Duration = Duration::from_millis(40);
/// Least time between two watches of discovery.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(50);
const INTERIM: Reply = Reply::Endless(b"HTTP/1.1 100 Continue\r\n\r\n");

/// A target for destination 1, and one for destination 2 that behaves like this.
fn two_targets(
    behavior: impl Fn(&Request) -> Reply + Send + Sync + 'static,
) -> (Arc<Server>, Platform, Forwarder) {
    let (sound, endless) = (Server::start(|_| OK), Server::start(behavior));
    let platform = Platform::start(vec![
        list_entry("s-1", sound.address, 1, "active"),
        list_entry("s-2", endless.address, 2, "active"),
    ]);
    let forwarder = Forwarder::start(&platform);
    (sound, platform, forwarder)
}

/// Submits to destination 1 during the disturbance: each message is accepted and delivered in time.
fn assert_served(sound: &Server, forwarder: &Forwarder) {
    let end = Instant::now() + DISTURBANCE;
    let mut worst = Duration::ZERO;
    let mut accepted = Vec::new();
    for n in 0.. {
        if Instant::now() >= end {
            break;
        }
        let (id, begun) = (format!("sound-{n}"), Instant::now());
        let status = forwarder.submit(&update(&id, &format!("k{n}")));
        worst = worst.max(begun.elapsed());
        assert!(status == 202 && worst <= CLIENT_PATIENCE, "message {n}: {status}, {worst:?}");
        accepted.push(id);
        sleep(SUBMISSION_PAUSE);
    }
    eventually("all are delivered", || {
        let delivered = sound.ids();
        accepted.iter().all(|id| delivered.contains(id))
    });
    println!("{} messages, the slowest answer after {worst:?}", accepted.len());
}

// Guards against review/1: interim responses without an end held up the event loop and the listener.
#[test]
fn interim_responses_without_an_end_stop_neither_other_partners_nor_clients_nor_notices() {
    let (sound, platform, forwarder) = two_targets(|_| INTERIM);
    let (calls, deadline_ms) = (14, 3_000);
    let begun = Instant::now();
    for n in 0..calls {
        let payment = fee(&format!("endless-{n}")).for_destination(2).deadline_ms(deadline_ms);
        assert_eq!(forwarder.submit(&payment), 202);
    }
    let submitted = begun.elapsed();
    assert_served(&sound, &forwarder);
    let latest = submitted + MS(deadline_ms) + END_GRACE;
    for n in 0..calls {
        let (id, reports) = (format!("\"endless-{n}\""), platform.server.seen());
        let mut notices = reports.iter().filter(|r| String::from_utf8_lossy(&r.body).contains(&id));
        assert!(notices.next().is_some_and(|report| report.at - begun <= latest), "{id} did not end in time");
    }
    assert!(forwarder.log().contains("reason=TooMuchBeforeResponse"));
}

// Guards against review/1 in its other form: each call is closed, and each retry is flooded again.
#[test]
fn retries_that_get_interim_responses_without_an_end_hold_up_no_other_message() {
    let (sound, _platform, forwarder) = two_targets(|_| INTERIM);
    for n in 0..14 {
        let message = update(&format!("endless-{n}"), &format!("e{n}")).for_destination(2);
        assert_eq!(forwarder.submit(&message), 202);
    }
    assert_served(&sound, &forwarder);
}

// Guards against a final response behind more interim responses than the forwarder kept.
#[test]
fn a_response_head_that_stops_behind_many_interim_responses_ends_the_call() {
    static RESPONSE: std::sync::LazyLock<Vec<u8>> = std::sync::LazyLock::new(|| {
        let mut bytes = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(400);
        bytes.extend_from_slice(b"HTTP/1.1 200 OK\r\nX-Cut: of");
        bytes
    });
    let (target, platform, forwarder) = one_target(|_| Reply::Raw(&RESPONSE));
    assert_eq!(forwarder.submit(&fee("m1").deadline_ms(20_000)), 202);
    eventually("the call ends as delivered", || forwarder.log().contains("outcome=Ok"));
    assert!(platform.notices().is_empty() && target.ids() == ["m1"]);
}

// Guards against an agent whose answers never end, to the watch as well as to reports.
#[test]
fn interim_responses_of_discovery_without_an_end_hold_up_no_message() {
    let (sound, platform, forwarder) = one_target(|_| OK);
    platform.server.behave(|_| INTERIM);
    assert_served(&sound, &forwarder);
}

// Guards against an agent that answers each watch at once with another list.
#[test]
fn news_of_discovery_without_an_end_is_asked_for_at_a_bounded_rate() {
    let (sound, platform, forwarder) = one_target(|_| OK);
    let servers = vec![list_entry("s-1", sound.address, 1, "active")];
    let versions = std::sync::atomic::AtomicU64::new(10);
    platform.server.behave(move |request| {
        if request.method == "POST" {
            return Reply::Status(204, "");
        }
        let version = versions.fetch_add(1, Ordering::SeqCst);
        let list = serde_json::json!({"version": version, "full": true, "servers": servers});
        Reply::Body(list.to_string().into())
    });
    let watches = || platform.server.seen().iter().filter(|request| request.method == "GET").count();
    eventually("the list is asked for again", || watches() > 10);
    let (before, begun) = (watches(), Instant::now());
    assert_served(&sound, &forwarder);
    let (watches, elapsed) = (watches() - before, begun.elapsed());
    let most = elapsed.as_millis() / MIN_WATCH_INTERVAL.as_millis() + 1;
    assert!(watches as u128 <= most, "{watches} watches in {elapsed:?}");
}

// Guards against clients whose requests never end.
#[test]
fn clients_that_send_without_an_end_hold_up_no_other_client() {
    let (sound, _platform, forwarder) = one_target(|_| OK);
    let stop = Arc::new(AtomicBool::new(false));
    let chunked =
        "POST /fee HTTP/1.1\r\nHost: f\r\nX-Request-Id: endless\r\nX-Deadline: 9m\r\nIdempotency-Key: e\r\n\
                   X-Consignee: dest=1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let streams: [(&str, &str); 4] = [
        ("", "GET /healthz HTTP/1.1\r\nHost: f\r\n\r\n"),
        (chunked, "0"),
        (chunked, "1\r\nx\r\n"),
        ("", "\r\n"),
    ];
    let clients: Vec<_> = (0..16)
        .map(|n| {
            let (head, repeated) = streams[n % streams.len()];
            let block = repeated.repeat(65_536 / repeated.len());
            let (stop, listen) = (stop.clone(), forwarder.listen);
            std::thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let Ok(mut stream) = TcpStream::connect(listen) else { continue };
                    let mut answers = stream.try_clone().unwrap();
                    let reader =
                        std::thread::spawn(move || std::io::copy(&mut answers, &mut std::io::sink()));
                    let mut sending = stream.write_all(head.as_bytes());
                    while sending.is_ok() && !stop.load(Ordering::SeqCst) {
                        sending = stream.write_all(block.as_bytes());
                    }
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                    let _ = reader.join();
                }
            })
        })
        .collect();
    assert_served(&sound, &forwarder);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
}
