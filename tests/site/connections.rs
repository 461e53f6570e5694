//! Connections to partners: used again only while that is safe, opened before they are needed, and none for an endpoint that
//! is drained.

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

/// In each kind of trouble; `FOLDTRACK_CALLS=2000` has the full number.
fn calls() -> u64 {
    std::env::var("FOLDTRACK_CALLS").map_or(120, |n| n.parse().unwrap())
}

/// Hands payments in, with gaps around a partner's idle time, the worst there can be: 0.5 to 1.25 of it, and now and then a
/// tenth. Gives how many were written to a connection that it had dropped.
fn around(site: &SiteProcess, server: &Server, name: &str, idle: u64, closing: IdleClose) -> usize {
    server.drop_idle(Some((MS(idle), closing)));
    let before = server.late_requests.load(Ordering::SeqCst);
    for call in 0..calls() {
        assert_eq!(site.post("fee", "", &format!("{name}-{call}"), "x").0, 202);
        let gap = if call % 5 == 0 { idle / 10 } else { idle / 2 + (call * 37 % 100) * idle * 3 / 400 };
        sleep(MS(gap));
    }
    server.late_requests.load(Ordering::SeqCst) - before
}

/// A partner that drops idle connections after a time that it does not tell and changes: what is written to one that it has
/// dropped is a payment in doubt.
#[test]
fn connections_that_the_partner_drops_are_not_written_to() {
    let server = Server::start(|_| OK);
    let mut plan = SiteConfig::with_endpoints(&[("p", "a", server.address)]);
    plan.calls = "open-ahead = false";
    let site = SiteProcess::start(&plan);
    let told = around(&site, &server, "told", 60, IdleClose::Fin);
    let sooner = around(&site, &server, "sooner", 30, IdleClose::Fin);
    // Nobody sees these but by a message: a few are lost to learn it.
    let silent = around(&site, &server, "silent", 50, IdleClose::Silent);
    let sent = 3 * calls();
    eventually("all have ended", || site.status().held == 0);
    let status = site.status();
    let connections = server.seen().iter().map(|r| r.connection).max().unwrap() + 1;
    println!("written to one that was dropped: {told}, {sooner}, without a word {silent} of {sent} calls; {} in doubt, {connections} connections", status.in_doubt);
    // What crosses with a close on the wire can't be helped, but is rare: never a payment twice, none lost.
    assert!(told + sooner <= 2 + sent as usize / 200, "{told} {sooner}");
    assert!(silent <= 6 + calls() as usize / 100, "{silent}");
    assert!(status.in_doubt <= (told + sooner + silent) as u64, "{status:?}");
    assert_eq!(status.delivered + status.in_doubt, sent);
    let mut times: BTreeMap<String, usize> = BTreeMap::new();
    server.seen().iter().for_each(|r| *times.entry(r.id().to_string()).or_default() += 1);
    assert!(times.values().all(|n| *n == 1), "a payment went twice");
    // And they are used again where that is safe.
    assert!((connections as u64) < sent * 19 / 20, "{connections} connections for {sent} calls");
}

struct Far {
    server: Arc<Server>,
    front: Arc<TlsFrontend>,
    _folder: TempDir,
    lines: String,
}

/// A partner whose handshakes take so long.
fn far(handshake: Duration) -> Far {
    let authority = Authority::new("far");
    let server = Server::start(|_| OK);
    let issued = authority.issue(&["far.example".into()], (2020, 2090));
    let front = TlsFrontend::start(server.address, Authority::server(&issued, None));
    front.delay(handshake);
    let folder = tempfile::tempdir().unwrap();
    let roots = folder.path().join("roots.pem");
    std::fs::write(&roots, &authority.pem).unwrap();
    let lines = format!("[partner.p.tls]\nserver-name = \"far.example\"\nroots = {roots:?}\n");
    Far { server, front, _folder: folder, lines }
}

fn site_of(far: &Far, calls: &'static str) -> SiteProcess {
    let mut plan = SiteConfig::with_endpoints(&[("p", "a", far.front.address)]);
    plan.partner = far.lines.clone();
    plan.calls = calls;
    SiteProcess::start(&plan)
}

/// Told to drain while connections are being made, for calls and ahead of them: nothing new is written, however long they
/// take.
#[test]
fn a_drain_ends_what_is_still_being_dialled() {
    let far = far(MS(1_500));
    let site = site_of(&far, "connect-timeout = \"10s\"");
    for n in 0..3 {
        assert_eq!(site.post("fee", "", &format!("m{n}"), "x").0, 202);
    }
    sleep(MS(300));
    site.order(ControlCommand::Drain { endpoint: "a".into() });
    sleep(MS(3_000));
    assert!(far.server.seen().is_empty(), "a call began after the drain");
    let endpoint = &site.endpoints()["a"];
    assert_eq!((endpoint.calls, endpoint.idle, endpoint.dialling), (0, 0, 0), "{endpoint:?}");
    assert_eq!(site.status().held, 3);
    site.order(ControlCommand::Resume { endpoint: Some("a".into()), partner: None });
    eventually("they go", || site.status().delivered == 3);
    assert_eq!(far.server.seen().len(), 3);
}

/// A call has been told to wait while the handshake for another was under way: that one is held back, goes
/// when the wait is over, and has not lost a try by it.
#[test]
fn a_wait_told_during_a_handshake_holds_the_call_back() {
    for handshake in [50, 200, 400] {
        let far = far(MS(0));
        let site = site_of(&far, "connect-timeout = \"10s\"\nopen-ahead = false");
        // One after another: more than one may be out then, and one connection stands idle.
        for n in 0..4 {
            assert_eq!(site.post("fee", "", &format!("m{n}"), "x").0, 202);
            eventually("it is delivered", || site.status().delivered > n);
        }
        let answers = MS(handshake / 2 + 60);
        far.server.behave(move |_| {
            sleep(answers);
            Reply::Status(429, "X-Come-Back-Ms: 1000\r\n")
        });
        assert_eq!(site.post("fee", "", "a", "x").0, 202);
        eventually("the first is out", || far.server.seen().len() == 5);
        // The second needs a connection of its own, which comes up when the first has been told to wait.
        far.front.delay(MS(handshake + 100));
        assert_eq!(site.post("fee", "", "b", "x").0, 202);
        let told = far.server.seen()[4].at + answers;
        far.server.behave(|_| OK);
        sleep(MS(handshake + 200));
        far.front.delay(MS(0));
        eventually("both are delivered", || site.status().delivered == 6);
        let seen = far.server.seen();
        assert_eq!(seen.len(), 7, "each goes once when the wait is over");
        assert!(seen[5].at - told >= MS(1_000), "{handshake}: {:?}", seen[5].at - told);
        assert_eq!((site.status().in_doubt, site.status().given_up), (0, 0));
    }
}

/// Where handshakes are long, calls find connections that are open already, and a drained endpoint has none.
#[test]
fn connections_are_opened_before_calls_need_them() {
    let far = far(MS(100));
    let site = site_of(&far, "connect-timeout = \"5s\"");
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
    eventually("none stays open", || site.endpoints()["a"].idle == 0);
    sleep(MS(1_500));
    assert_eq!((site.endpoints()["a"].idle, site.endpoints()["a"].dialling), (0, 0));
}
