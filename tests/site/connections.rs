//! Connections to partners: they are reused only while that is safe, opened before they are needed,
//! and closed for a drained endpoint.

use super::site_process::*;
use foldtrack_control::ControlCommand;
use foldtrack_standin::http::{IdleClose, Reply, Server, OK};
use foldtrack_standin::tls::{Authority, TlsFrontend};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use tempfile::TempDir;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Number of calls for each kind of connection loss; `FOLDTRACK_CALLS=2000` is the full number.
fn calls() -> u64 {
    std::env::var("FOLDTRACK_CALLS").map_or(120, |n| n.parse().unwrap())
}

/// Submits payments with gaps close to the partner's idle timeout, the worst case: 0.5 to 1.25
/// times the timeout, and every fifth time a tenth of it. Returns how many were written to a
/// connection that the partner had dropped.
fn submit_near_idle_timeout(
    site: &SiteProcess, server: &Server, name: &str, idle: u64, closing: IdleClose,
) -> usize {
    server.drop_idle(Some((MS(idle), closing)));
    let before = server.late_requests.load(Ordering::SeqCst);
    for call in 0..calls() {
        assert_eq!(site.post("fee", "", &format!("{name}-{call}"), "x").0, 202);
        let gap = if call % 5 == 0 { idle / 10 } else { idle / 2 + (call * 37 % 100) * idle * 3 / 400 };
        sleep(MS(gap));
    }
    server.late_requests.load(Ordering::SeqCst) - before
}

/// A partner drops idle connections after a time that it does not announce and that changes. A
/// payment written to a dropped connection ends in doubt, so the forwarder must learn the timeout.
#[test]
fn dropped_connections_are_not_written_to() {
    let server = Server::start(|_| OK);
    let mut config = SiteConfig::with_endpoints(&[("p", "a", server.address)]);
    // The idle timeouts of this test are shorter than the usual rest.
    config.calls = "open-ahead = false\nconnection-rest = \"0s\"";
    let site = SiteProcess::start(&config);
    let announced = submit_near_idle_timeout(&site, &server, "told", 60, IdleClose::Fin);
    let sooner = submit_near_idle_timeout(&site, &server, "sooner", 30, IdleClose::Fin);
    // A silent close shows only when a message is sent, so a few are lost until the timeout is
    // learned.
    let silent = submit_near_idle_timeout(&site, &server, "silent", 50, IdleClose::Silent);
    let sent = 3 * calls();
    eventually("all have ended", || site.status().held == 0);
    let status = site.status();
    let connections = server.seen().iter().map(|r| r.connection).max().unwrap() + 1;
    println!("written to a dropped connection: {announced}, {sooner}, silent close {silent} of {sent} calls; {} in doubt, {connections} connections", status.in_doubt);
    // A request that crosses with a close on the wire cannot be avoided, but it is rare. No payment
    // is sent twice or lost.
    assert!(announced + sooner <= 2 + sent as usize / 200, "{announced} {sooner}");
    assert!(silent <= 6 + calls() as usize / 100, "{silent}");
    assert!(status.in_doubt <= (announced + sooner + silent) as u64, "{status:?}");
    assert_eq!(status.delivered + status.in_doubt, sent);
    let mut calls_by_id: BTreeMap<String, usize> = BTreeMap::new();
    server.seen().iter().for_each(|r| *calls_by_id.entry(r.id().to_string()).or_default() += 1);
    assert!(calls_by_id.values().all(|n| *n == 1), "a payment was sent twice");
    // Connections are still reused where that is safe.
    assert!((connections as u64) < sent * 19 / 20, "{connections} connections for {sent} calls");
}

/// A partner behind TLS with slow handshakes.
struct SlowPartner {
    server: Arc<Server>,
    front: Arc<TlsFrontend>,
    _folder: TempDir,
    lines: String,
}

/// Starts a partner whose handshakes take this long.
fn slow_partner(handshake: Duration) -> SlowPartner {
    let authority = Authority::new("far");
    let server = Server::start(|_| OK);
    let issued = authority.issue(&["far.example".into()], (2020, 2090));
    let front = TlsFrontend::start(server.address, Authority::server(&issued, None));
    front.delay(handshake);
    let folder = tempfile::tempdir().unwrap();
    let roots = folder.path().join("roots.pem");
    std::fs::write(&roots, &authority.pem).unwrap();
    let lines = format!("[partner.p.tls]\nserver-name = \"far.example\"\nroots = {roots:?}\n");
    SlowPartner { server, front, _folder: folder, lines }
}

/// Starts a site for the partner with these lines in `[calls]`.
fn start_site(partner: &SlowPartner, calls: &'static str) -> SiteProcess {
    let mut config = SiteConfig::with_endpoints(&[("p", "a", partner.front.address)]);
    config.partner = partner.lines.clone();
    config.calls = calls;
    SiteProcess::start(&config)
}

/// A drain arrives while connections are being opened, both for calls and in advance. Nothing is
/// written on them, however long they take.
#[test]
fn a_drain_cancels_connections_being_opened() {
    let partner = slow_partner(MS(1_500));
    let site = start_site(&partner, "connect-timeout = \"10s\"");
    for n in 0..3 {
        assert_eq!(site.post("fee", "", &format!("m{n}"), "x").0, 202);
    }
    sleep(MS(300));
    site.order(ControlCommand::Drain { endpoint: "a".into() });
    sleep(MS(3_000));
    assert!(partner.server.seen().is_empty(), "a call began after the drain");
    let endpoint = &site.endpoints()["a"];
    assert_eq!((endpoint.calls, endpoint.idle, endpoint.dialling), (0, 0, 0), "{endpoint:?}");
    assert_eq!(site.status().held, 3);
    site.order(ControlCommand::Resume { endpoint: Some("a".into()), partner: None });
    eventually("they are delivered", || site.status().delivered == 3);
    assert_eq!(partner.server.seen().len(), 3);
}

/// A partner requests a wait in response to one call while the handshake for another is in
/// progress. The second call is withheld until the wait is over, and no attempt is counted for it.
#[test]
fn a_retry_after_during_a_handshake_withholds_the_call() {
    for handshake in [50, 200, 400] {
        let partner = slow_partner(MS(0));
        let site = start_site(&partner, "connect-timeout = \"10s\"\nopen-ahead = false");
        // Delivered one after another: then more than one call may be in flight, and one connection
        // is idle.
        for n in 0..4 {
            assert_eq!(site.post("fee", "", &format!("m{n}"), "x").0, 202);
            eventually("it is delivered", || site.status().delivered > n);
        }
        let answers = MS(handshake / 2 + 60);
        partner.server.behave(move |_| {
            sleep(answers);
            Reply::Status(429, "X-Come-Back-Ms: 1000\r\n")
        });
        assert_eq!(site.post("fee", "", "a", "x").0, 202);
        eventually("the first is in flight", || partner.server.seen().len() == 5);
        // The second call needs a new connection, which is established after the partner has
        // requested the wait.
        partner.front.delay(MS(handshake + 100));
        assert_eq!(site.post("fee", "", "b", "x").0, 202);
        let waiting_since = partner.server.seen()[4].at + answers;
        partner.server.behave(|_| OK);
        sleep(MS(handshake + 200));
        partner.front.delay(MS(0));
        eventually("both are delivered", || site.status().delivered == 6);
        let seen = partner.server.seen();
        assert_eq!(seen.len(), 7, "each is sent once after the wait");
        assert!(seen[5].at - waiting_since >= MS(1_000), "{handshake}: {:?}", seen[5].at - waiting_since);
        assert_eq!((site.status().in_doubt, site.status().given_up), (0, 0));
    }
}

/// With slow handshakes, calls find connections that are already open; a drained endpoint keeps
/// none.
#[test]
fn connections_are_opened_before_calls_need_them() {
    let partner = slow_partner(MS(100));
    let site = start_site(&partner, "connect-timeout = \"5s\"");
    for n in 0..150 {
        assert_eq!(site.post("note", "", &format!("m{n}"), "x").0, 202);
        sleep(MS(10));
    }
    eventually("all are delivered", || site.status().delivered == 150);
    let endpoint = &site.endpoints()["a"];
    println!("{endpoint:?}");
    assert!(endpoint.ready > 0.8 && endpoint.handshake_ms > 90.0, "{endpoint:?}");
    assert!(endpoint.idle > 0 && endpoint.idle <= 64, "{endpoint:?}");
    site.order(ControlCommand::Drain { endpoint: "a".into() });
    eventually("all connections are closed", || site.endpoints()["a"].idle == 0);
    sleep(MS(1_500));
    assert_eq!((site.endpoints()["a"].idle, site.endpoints()["a"].dialling), (0, 0));
}
