//! Calls to partners, the real process: `cargo bench --bench partners`. With `FOLDTRACK_OTHER` another build's program is measured
//! by turns where it can do the same (plain calls).
//!
//! CPU a message: plain, and TLS with connections kept, resumed for each call, and in full for each call. Handshakes of 100 ms:
//! the share of calls that waited for one, and how long deliveries took, with and without opening ahead, while the rate jumps
//! to two and a half times the usual.

mod common;
#[allow(dead_code)]
#[path = "../tests/site/site_process.rs"]
mod site_process;

use common::{cpu, resident};
use foldtrack_standin::http::{Reply, Server, OK};
use foldtrack_standin::tls::{Authority, TlsFrontend};
use site_process::*;
use std::sync::Arc;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

const MESSAGES: u64 = 12_000;
const CLIENTS: u64 = 4;
/// Calls a second, usually, and how often that jumps.
const RATE: f64 = 40.0;
const JUMPS: [f64; 3] = [1.5, 2.0, 2.5];

struct Far {
    server: Arc<Server>,
    front: Arc<TlsFrontend>,
    authority: Authority,
    folder: tempfile::TempDir,
}

fn far() -> Far {
    let authority = Authority::new("far");
    let server = Server::start_unrecorded(|_| OK);
    let issued = authority.issue(&["far.example".into()], (2020, 2090));
    let front = TlsFrontend::start(server.address, Authority::server(&issued, None));
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("roots.pem"), &authority.pem).expect("a file");
    Far { server, front, authority, folder }
}

fn plan_of(far: &Far) -> SiteConfig {
    let roots = far.folder.path().join("roots.pem");
    let mut plan = SiteConfig::with_endpoints(&[("p", "a", far.front.address)]);
    plan.partner = format!("[partner.p.tls]\nserver-name = \"far.example\"\nroots = {roots:?}\n");
    plan
}

/// Hands messages in by a few clients that keep their connections; CPU microseconds a message.
fn run(site: &SiteProcess) -> f64 {
    let before = cpu(site.pid());
    scope(|scope| {
        for client in 0..CLIENTS {
            let listen = site.listen;
            scope.spawn(move || {
                use std::io::{Read, Write};
                let mut stream = std::net::TcpStream::connect(listen).expect("a connection");
                let mut answer = [0; 512];
                for n in 0..MESSAGES / CLIENTS {
                    let request =
                        message_request("p", "note", "", &format!("{client}-{n}"), "{\"amount\":7}");
                    stream.write_all(&request).expect("written");
                    let count = stream.read(&mut answer).unwrap_or(0);
                    if answer[..count].windows(5).any(|w| w == b"close") {
                        stream = std::net::TcpStream::connect(listen).expect("a connection");
                    }
                }
            });
        }
    });
    eventually("all are over", || site.status().held == 0);
    (cpu(site.pid()) - before) * 1e6 / site.status().delivered.max(1) as f64
}

fn work() {
    println!("CPU a message, and delivered of {MESSAGES}");
    let other = std::env::var("FOLDTRACK_OTHER").ok();
    let mut plain = 0.0;
    for round in 0..3 {
        for program in [Some(PROGRAM.to_string()), other.clone()].into_iter().flatten() {
            std::env::set_var("FOLDTRACK_PROGRAM", &program);
            let server = Server::start_unrecorded(|_| OK);
            let site = SiteProcess::start(&SiteConfig::with_endpoints(&[("p", "a", server.address)]));
            let each = run(&site);
            let name = if program == PROGRAM { "plain" } else { "plain, the other build" };
            println!("  {name:<24} round {round} {each:>7.1} us  {}", site.status().delivered);
            if program == PROGRAM {
                plain = each;
            }
        }
    }
    std::env::set_var("FOLDTRACK_PROGRAM", PROGRAM);
    for (what, close, resumes) in
        [("TLS, kept", false, true), ("TLS, resumed each", true, true), ("TLS, in full each", true, false)]
    {
        let far = far();
        if close {
            far.server.behave(|_| Reply::Status(200, "Connection: close\r\n"));
        }
        if !resumes {
            let issued = far.authority.issue(&["far.example".into()], (2020, 2090));
            far.front.change(Authority::server_without_tickets(&issued));
        }
        let site = SiteProcess::start(&plan_of(&far));
        let each = run(&site);
        let count = |n: &std::sync::atomic::AtomicUsize| n.load(std::sync::atomic::Ordering::SeqCst);
        println!(
            "  {what:<24} {each:>15.1} us  {}  {:.2} of plain  handshakes {} full {} resumed  {} KiB resident",
            site.status().delivered,
            each / plain,
            count(&far.front.full),
            count(&far.front.resumed),
            resident(site.pid()),
        );
    }
}

/// Deliveries as they come in time, at a rate that jumps. Gives how long each took, and the share that waited for a handshake.
fn bursts(ahead: bool) {
    let far = far();
    far.front.delay(Duration::from_millis(100));
    far.server.behave(|_| Reply::Later(Duration::from_millis(150), 200));
    let mut plan = plan_of(&far);
    plan.calls =
        if ahead { "connect-timeout = \"5s\"" } else { "connect-timeout = \"5s\"\nopen-ahead = false" };
    let site = SiteProcess::start(&plan);
    let (begun, mut n, mut at) = (Instant::now(), 0u64, 0.0);
    scope(|scope| {
        // 2 s as usual, 1 s of a jump, and so on.
        for rate in JUMPS.iter().flat_map(|jump| [(2.0, 1.0), (1.0, *jump)]).chain([(1.0, 1.0)]) {
            let until = at + rate.0;
            while at < until {
                at += 1.0 / (RATE * rate.1);
                sleep(Duration::from_secs_f64(at).saturating_sub(begun.elapsed()));
                let (site, id) = (&site, format!("m{n}"));
                scope.spawn(move || site.post("note", "", &id, "x"));
                n += 1;
            }
        }
    });
    eventually("all are over", || site.status().held == 0);
    let mut took: Vec<f64> = (0..n)
        .filter_map(|n| site.message(&format!("m{n}")))
        .map(|m| m.attempts.last().map_or(0, |a| a.until).saturating_sub(m.taken) as f64 / 1e3)
        .collect();
    took.sort_by(f64::total_cmp);
    let at = |part: f64| took[((took.len() - 1) as f64 * part) as usize];
    let endpoint = &site.endpoints()["a"];
    println!(
        "  {:<24} {} delivered of {n}  waited for a handshake {:>5.1}%  delivered after p50 {:.1} p90 {:.1} p99 {:.1} ms",
        if ahead { "opened ahead" } else { "not" },
        site.status().delivered,
        100.0 * (1.0 - endpoint.ready),
        at(0.5),
        at(0.9),
        at(0.99)
    );
}

fn main() {
    work();
    println!("handshakes of 100 ms, {RATE} a second with jumps of {JUMPS:?}");
    bursts(false);
    bursts(true);
}
