//! Throughput of a forwarder whose two partners fail some of their calls, with clients in a closed loop:
//! `cargo bench --bench failing`. With `FOLDTRACK_PROGRAM` the program of another build is measured by the same command, in
//! alternation with this build.

#[allow(dead_code)]
#[path = "../tests/site/site_process.rs"]
mod site_process;

use foldtrack_standin::call_records::check_rules;
use foldtrack_standin::{Partner, PartnerBehavior};
use site_process::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// Number of concurrent clients.
const CLIENTS: usize = 16;
/// Duration of a measurement.
const DURATION: Duration = Duration::from_secs(4);

/// Submits messages one after another on a persistent connection until `stop` is set.
fn client(site: &SiteProcess, next: &AtomicUsize, stop: &AtomicBool) {
    let mut stream: Option<TcpStream> = None;
    while !stop.load(Ordering::Relaxed) {
        let n = next.fetch_add(1, Ordering::Relaxed);
        let (partner, class, key) = (["p", "q"][n % 2], ["update", "fee"][n / 2 % 2], n / 4 % 500);
        let key = if class == "update" { format!("k{partner}{key}") } else { String::new() };
        let body = format!("class={class};");
        let bytes =
            String::from_utf8(message_request(partner, class, &key, &format!("m{n}"), &body)).unwrap();
        let bytes = bytes.replace("Connection: close\r\n", "");
        let connection = stream.take().or_else(|| TcpStream::connect(site.listen).ok());
        let Some(mut connection) = connection else { continue };
        let mut response = [0; 1024];
        if connection.write_all(bytes.as_bytes()).is_ok() {
            match connection.read(&mut response) {
                Ok(n) if n > 0 => {
                    if response.starts_with(b"HTTP/1.1 503") {
                        sleep(Duration::from_millis(100));
                    }
                    stream = Some(connection);
                }
                _ => {}
            }
        }
    }
}

/// Messages per second that take effect, at a share of failing calls.
fn applied(program: &str, share: f64) -> f64 {
    std::env::set_var("FOLDTRACK_PROGRAM", program);
    let behavior = || PartnerBehavior {
        answers: (Duration::ZERO, Duration::from_millis(30)),
        errors: share / 2.0,
        resets: share / 2.0,
        ..PartnerBehavior::default()
    };
    let partners = [Partner::start(7, behavior()), Partner::start(8, behavior())];
    let site = SiteProcess::start(&SiteConfig::with_endpoints(&[
        ("p", "a", partners[0].address()),
        ("q", "b", partners[1].address()),
    ]));
    let (next, stop) = (AtomicUsize::new(0), AtomicBool::new(false));
    let effects = || check_rules([&partners[0].call_records(), &partners[1].call_records()]).effects as f64;
    scope(|scope| {
        (0..CLIENTS).for_each(|_| drop(scope.spawn(|| client(&site, &next, &stop))));
        // The first second, while the rate still rises, is not measured.
        sleep(Duration::from_secs(1));
        let (start, before) = (Instant::now(), effects());
        sleep(DURATION);
        let rate = (effects() - before) / start.elapsed().as_secs_f64();
        stop.store(true, Ordering::Relaxed);
        rate
    })
}

fn main() {
    let other = std::env::var("FOLDTRACK_PROGRAM").ok();
    for share in [0.0, 0.055, 0.11, 0.165, 0.22] {
        let mut line = format!(
            "{:>5.1}% fail: {:>7.1} messages applied per second",
            share * 100.0,
            applied(PROGRAM, share)
        );
        if let Some(other) = &other {
            line += &format!(", the other build {:.1}", applied(other, share));
        }
        println!("{line}");
    }
}
