//! Calls of a real forwarder process to partners: `cargo bench --bench partners`. With `FOLDTRACK_OTHER` the program of another
//! build is measured in alternation, as far as it supports the same (plain calls).
//!
//! Measures the CPU time per message: plain, and TLS with persistent connections, with a resumed handshake per call and with a
//! full handshake per call. With handshakes of 100 ms, measures the share of calls that waited for a handshake and the delivery
//! latency, with and without opening connections ahead, while the rate jumps to up to two and a half times the usual rate.

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

/// Messages of one measurement.
const MESSAGES: u64 = 12_000;
/// Number of concurrent clients.
const CLIENTS: u64 = 4;
/// Usual rate in calls per second.
const RATE: f64 = 40.0;
/// Multiples of the usual rate that the rate jumps to.
const JUMPS: [f64; 3] = [1.5, 2.0, 2.5];

/// A TLS partner with a certificate authority of its own.
struct TlsPartner {
    server: Arc<Server>,
    front: Arc<TlsFrontend>,
    authority: Authority,
    folder: tempfile::TempDir,
}

fn start_tls_partner() -> TlsPartner {
    let authority = Authority::new("far");
    let server = Server::start_unrecorded(|_| OK);
    let issued = authority.issue(&["far.example".into()], (2020, 2090));
    let front = TlsFrontend::start(server.address, Authority::server(&issued, None));
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("roots.pem"), &authority.pem).expect("a file");
    TlsPartner { server, front, authority, folder }
}

fn site_config(partner: &TlsPartner) -> SiteConfig {
    let roots = partner.folder.path().join("roots.pem");
    let mut config = SiteConfig::with_endpoints(&[("p", "a", partner.front.address)]);
    config.partner = format!("[partner.p.tls]\nserver-name = \"far.example\"\nroots = {roots:?}\n");
    config
}

/// Submits messages with a few clients on persistent connections. Returns the CPU time per message in microseconds.
fn cpu_per_message(site: &SiteProcess) -> f64 {
    let before = cpu(site.pid());
    scope(|scope| {
        for client in 0..CLIENTS {
            let listen = site.listen;
            scope.spawn(move || {
                use std::io::{Read, Write};
                let mut stream = std::net::TcpStream::connect(listen).expect("a connection");
                let mut response = [0; 512];
                for n in 0..MESSAGES / CLIENTS {
                    let request =
                        message_request("p", "note", "", &format!("{client}-{n}"), "{\"amount\":7}");
                    stream.write_all(&request).expect("written");
                    let count = stream.read(&mut response).unwrap_or(0);
                    if response[..count].windows(5).any(|w| w == b"close") {
                        stream = std::net::TcpStream::connect(listen).expect("a connection");
                    }
                }
            });
        }
    });
    eventually("all messages are finished", || site.status().held == 0);
    (cpu(site.pid()) - before) * 1e6 / site.status().delivered.max(1) as f64
}

/// CPU time per message with and without TLS.
fn cpu_cost() {
    println!("CPU per message, and delivered of {MESSAGES}");
    let other = std::env::var("FOLDTRACK_OTHER").ok();
    let mut plain = 0.0;
    for round in 0..3 {
        for program in [Some(PROGRAM.to_string()), other.clone()].into_iter().flatten() {
            std::env::set_var("FOLDTRACK_PROGRAM", &program);
            let server = Server::start_unrecorded(|_| OK);
            let site = SiteProcess::start(&SiteConfig::with_endpoints(&[("p", "a", server.address)]));
            let each = cpu_per_message(&site);
            let name = if program == PROGRAM { "plain" } else { "plain, the other build" };
            println!("  {name:<24} round {round} {each:>7.1} us  {}", site.status().delivered);
            if program == PROGRAM {
                plain = each;
            }
        }
    }
    std::env::set_var("FOLDTRACK_PROGRAM", PROGRAM);
    for (name, close, resumes) in [
        ("TLS, persistent", false, true),
        ("TLS, resumed per call", true, true),
        ("TLS, full per call", true, false),
    ] {
        let partner = start_tls_partner();
        if close {
            partner.server.behave(|_| Reply::Status(200, "Connection: close\r\n"));
        }
        if !resumes {
            let issued = partner.authority.issue(&["far.example".into()], (2020, 2090));
            partner.front.change(Authority::server_without_tickets(&issued));
        }
        let site = SiteProcess::start(&site_config(&partner));
        let each = cpu_per_message(&site);
        let count = |n: &std::sync::atomic::AtomicUsize| n.load(std::sync::atomic::Ordering::SeqCst);
        println!(
            "  {name:<24} {each:>15.1} us  {}  {:.2} of plain  handshakes {} full {} resumed  {} KiB resident",
            site.status().delivered,
            each / plain,
            count(&partner.front.full),
            count(&partner.front.resumed),
            resident(site.pid()),
        );
    }
}

/// Submits messages at a rate that jumps. Prints the delivery latency and the share of calls that waited for a handshake.
fn bursts(ahead: bool) {
    let partner = start_tls_partner();
    partner.front.delay(Duration::from_millis(100));
    partner.server.behave(|_| Reply::Later(Duration::from_millis(150), 200));
    let mut config = site_config(&partner);
    config.calls =
        if ahead { "connect-timeout = \"5s\"" } else { "connect-timeout = \"5s\"\nopen-ahead = false" };
    let site = SiteProcess::start(&config);
    let (started, mut n, mut at) = (Instant::now(), 0u64, 0.0);
    scope(|scope| {
        // For each jump: 2 s at the usual rate and 1 s at the higher rate. At the end, 1 s at the usual rate.
        for rate in JUMPS.iter().flat_map(|jump| [(2.0, 1.0), (1.0, *jump)]).chain([(1.0, 1.0)]) {
            let until = at + rate.0;
            while at < until {
                at += 1.0 / (RATE * rate.1);
                sleep(Duration::from_secs_f64(at).saturating_sub(started.elapsed()));
                let (site, id) = (&site, format!("m{n}"));
                scope.spawn(move || site.post("note", "", &id, "x"));
                n += 1;
            }
        }
    });
    eventually("all messages are finished", || site.status().held == 0);
    let mut took: Vec<f64> = (0..n)
        .filter_map(|n| site.message(&format!("m{n}")))
        .map(|m| m.attempts.last().map_or(0, |a| a.until).saturating_sub(m.taken) as f64 / 1e3)
        .collect();
    took.sort_by(f64::total_cmp);
    let at = |part: f64| took[((took.len() - 1) as f64 * part) as usize];
    let endpoint = &site.endpoints()["a"];
    println!(
        "  {:<24} {} delivered of {n}  waited for a handshake {:>5.1}%  delivered after p50 {:.1} p90 {:.1} p99 {:.1} ms",
        if ahead { "opened ahead" } else { "not opened ahead" },
        site.status().delivered,
        100.0 * (1.0 - endpoint.ready),
        at(0.5),
        at(0.9),
        at(0.99)
    );
}

fn main() {
    cpu_cost();
    println!("handshakes of 100 ms, {RATE} calls per second with jumps of {JUMPS:?}");
    bursts(false);
    bursts(true);
}
