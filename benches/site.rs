//! Cost of the `serve` command compared with the same program started by the platform, and the effect of orders and readers under
//! load. `cargo bench --bench site`; `-- NAME` runs one of: cost, pause, restore, drains.
//!
//! The figures are ratios within one run, in which both kinds run concurrently. `FOLDTRACK_BASE=PATH` adds a third kind: another
//! build of the program, started as by the platform.

use foldtrack_control::{Client, ControlCommand, ControlResponse, Status};
use foldtrack_standin::http::{Reply, Server, OK};
use serde_json::json;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_foldtrack");
/// Number of partners.
const PARTNERS: usize = 8;
/// Number of concurrent clients.
const CLIENTS: usize = 16;

/// Reads a number from the environment.
fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// A running forwarder.
struct Running {
    child: Child,
    listen: SocketAddr,
    folder: TempDir,
    is_site: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Starts `serve` with a site file in which partner N has endpoints at these addresses.
fn site(partners: &[Vec<SocketAddr>], limits: &str) -> Running {
    let (listen, folder) = (free_address(), tempfile::tempdir().unwrap());
    let state = folder.path().join("state");
    let mut text = format!(
        "[site]\nlisten = \"{listen}\"\nstate = {state:?}\ndurability = \"process\"\n[limits]\nmemory = \"2GiB\"\ndescriptors = 4096\n\
         disk = \"400MiB\"\nmessages = 100000\n{limits}\n[ends]\ncount = 1000000\nsize = \"128MiB\"\n\
         [class.fee]\neffect = \"once\"\naim = \"3s\"\ndeadline = \"600s\"\nworth = 3\n"
    );
    for (n, addresses) in partners.iter().enumerate() {
        for (e, address) in addresses.iter().enumerate() {
            text += &format!("[partner.p{n}.endpoint.p{n}-{e}]\naddress = \"{address}\"\n");
        }
    }
    std::fs::write(folder.path().join("site.toml"), text).unwrap();
    let child =
        Command::new(PROGRAM).args(["serve", "--site"]).arg(folder.path().join("site.toml")).spawn().unwrap();
    let running = Running { child, listen, folder, is_site: true };
    running.wait_until_ready();
    running
}

/// Starts the program as the platform does, with the same limits and partners.
fn platform(program: &str, partners: &[Vec<SocketAddr>]) -> Running {
    let (listen, folder) = (free_address(), tempfile::tempdir().unwrap());
    let mut servers = Vec::new();
    for (n, addresses) in partners.iter().enumerate() {
        for (e, address) in addresses.iter().enumerate() {
            servers.push(
                json!({"id": format!("p{n}-{e}"), "addr": address.to_string(), "zone": "z", "kind": "k",
                "cell": n, "state": "active", "weight": 0.0}),
            );
        }
    }
    let list = json!({"version": 1, "full": true, "servers": servers});
    let text = list.to_string();
    let agent = Server::start_unrecorded(move |request| match request.path.contains("since=") {
        _ if request.method == "POST" => Reply::Status(204, ""),
        true => Reply::Silence,
        false => Reply::Body(text.clone().into_bytes()),
    });
    let config = json!({
        "listen": listen.to_string(), "discovery": agent.address.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": 4096, "disk_mb": 400}, "known": list,
        "settings": {"balancers": 1, "categories": [{"name": "fee", "aim": 3000000, "deadline": 600000000u64,
            "effect": "once", "late_value": 0.5, "worth": 3.0}],
            "contract": {"cold_from": 0.16, "order_pause": 100000, "ramp_time": 14000000,
                "stop_sending_within": 2000000, "tip_after": 2000000, "tip_multiple": 2.5},
            "dcs": ["z"], "machine_types": ["k"], "discovery": "pushed", "weight_source": "nominal",
            "family_info": {"batch_by_kind": [1], "own_limits": [false], "slots": 256, "zone_fee": [0.0]},
            "limits": {"conn_idle": 15000000, "dial_timeout": 1000000, "max_open": 100000, "may_cancel": true,
                "streams_per_conn": 1, "try_limit": 8, "retry_after": true, "max_retry_after": 10000000},
            "report": {"fields": []}, "tick": 5000}
    });
    std::fs::write(folder.path().join("config.json"), config.to_string()).unwrap();
    std::fs::create_dir(folder.path().join("state")).unwrap();
    let child = Command::new(program)
        .env("BALANCER_CONFIG", folder.path().join("config.json"))
        .env("BALANCER_STATE", folder.path().join("state"))
        .spawn()
        .unwrap();
    let running = Running { child, listen, folder, is_site: false };
    running.wait_until_ready();
    running
}

impl Running {
    /// Waits until it accepts connections. Returns how long this took.
    fn wait_until_ready(&self) -> Duration {
        let start = Instant::now();
        while TcpStream::connect(self.listen).is_err() {
            assert!(start.elapsed() < Duration::from_secs(60), "not ready");
            sleep(Duration::from_millis(1));
        }
        start.elapsed()
    }

    /// CPU time in seconds.
    fn cpu(&self) -> f64 {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = text.rsplit(')').next().unwrap().split_whitespace().collect();
        (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) / 100.0
    }

    fn socket(&self) -> std::path::PathBuf {
        self.folder.path().join("state/control.sock")
    }

    fn status(&self) -> Status {
        match Client::connect(&self.socket()).unwrap().request(ControlCommand::Status).unwrap() {
            ControlResponse::Status(status) => *status,
            response => panic!("{response:?}"),
        }
    }

    /// Submits one message on a persistent connection. Returns the status.
    fn submit(&self, stream: &mut BufReader<TcpStream>, id: &str, partner: u64) -> u16 {
        let to = match self.is_site {
            true => format!("X-Partner: p{partner}"),
            false => format!("X-Deadline: 600000m\r\nX-Consignee: dest={partner}"),
        };
        let request = format!(
            "POST /fee HTTP/1.1\r\nHost: f\r\nX-Request-Id: {id}\r\n{to}\r\nContent-Length: 200\r\n\r\n{:200}", ""
        );
        stream.get_mut().write_all(request.as_bytes()).unwrap();
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            assert!(stream.read_line(&mut head).unwrap() > 0, "the connection was closed");
        }
        head.split(' ').nth(1).unwrap().parse().unwrap()
    }

    fn connect(&self) -> BufReader<TcpStream> {
        let stream = TcpStream::connect(self.listen).unwrap();
        stream.set_nodelay(true).unwrap();
        BufReader::new(stream)
    }
}

/// Submits messages in a closed loop. Returns messages per second, CPU microseconds per message, and the longest time to a 202.
fn load(running: &Running, round: usize, messages: u64) -> (f64, f64, Duration) {
    let (cpu, start, worst) = (running.cpu(), Instant::now(), Mutex::new(Duration::ZERO));
    scope(|scope| {
        for worker in 0..CLIENTS as u64 {
            let worst = &worst;
            scope.spawn(move || {
                let mut stream = running.connect();
                for n in (worker..messages).step_by(CLIENTS) {
                    let submitted = Instant::now();
                    let id = format!("m{round}-{n}");
                    while running.submit(&mut stream, &id, n % PARTNERS as u64) != 202 {
                        sleep(Duration::from_millis(1));
                    }
                    let mut worst = worst.lock().unwrap();
                    *worst = (*worst).max(submitted.elapsed());
                }
            });
        }
    });
    let seconds = start.elapsed().as_secs_f64();
    // Wait until the process is idle, so that deliveries after the last response are included.
    let mut last = running.cpu();
    loop {
        sleep(Duration::from_millis(100));
        let now = running.cpu();
        if now - last < 0.005 {
            break;
        }
        last = now;
    }
    let cpu = running.cpu() - cpu;
    let worst = *worst.lock().unwrap();
    (messages as f64 / seconds, cpu / messages as f64 * 1e6, worst)
}

/// Starts partners that answer every call with 200.
fn start_partners() -> Vec<Vec<SocketAddr>> {
    (0..PARTNERS).map(|_| vec![Server::start_unrecorded(|_| OK).address]).collect()
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Compares throughput and CPU time of all kinds.
fn cost() {
    let messages = number("MESSAGES", 20_000);
    let rounds = number("ROUNDS", 7) as usize;
    let partners = start_partners();
    let base = std::env::var("FOLDTRACK_BASE").ok();
    let mut kinds = vec![("platform", platform(PROGRAM, &partners)), ("serve", site(&partners, ""))];
    if let Some(base) = &base {
        kinds.push(("base", platform(base, &partners)));
    }
    let mut seen: Vec<Vec<(f64, f64, Duration)>> = vec![Vec::new(); kinds.len()];
    for (_, running) in &kinds {
        load(running, usize::MAX, messages / 4);
    }
    // All kinds run concurrently with the same number of messages, so that other load of the machine affects them alike.
    for round in 0..rounds {
        let done: Vec<_> = scope(|scope| {
            let loads: Vec<_> = kinds
                .iter()
                .map(|(_, running)| scope.spawn(move || load(running, round, messages)))
                .collect();
            loads.into_iter().map(|l| l.join().unwrap()).collect()
        });
        done.into_iter().enumerate().for_each(|(n, figures)| seen[n].push(figures));
    }
    let rate = |n: usize| median(seen[n].iter().map(|s| s.0).collect());
    let cpu = |n: usize| median(seen[n].iter().map(|s| s.1).collect());
    println!("cost: {messages} messages, {rounds} rounds of all kinds at once, medians");
    for (n, (name, _)) in kinds.iter().enumerate() {
        println!(
            "  {name:<9} {:>7.0} msgs/s ({:.3} of platform)  {:>6.1} us CPU per message ({:.3})",
            rate(n),
            rate(n) / rate(0),
            cpu(n),
            cpu(n) / cpu(0)
        );
    }
    for (n, (name, _)) in kinds.iter().enumerate().skip(1) {
        let by_round = |f: fn(&(f64, f64, Duration)) -> f64| {
            median((0..rounds).map(|r| f(&seen[n][r]) / f(&seen[0][r])).collect())
        };
        let (rate, cpu) = (by_round(|s| s.0), by_round(|s| s.1));
        println!("  {name} to platform, median of the rounds' ratios: {rate:.3} msgs/s, {cpu:.3} CPU");
    }
}

/// Measures the longest round of the event loop while unanswered messages are held and ten readers request every report.
fn pause() {
    let held = number("HELD", 10_000);
    let silent = Server::start_unrecorded(|_| Reply::Silence);
    let mut partners = start_partners();
    partners.push(vec![silent.address]);
    let running = site(&partners, "");
    let mut stream = running.connect();
    for n in 0..held {
        assert_eq!(running.submit(&mut stream, &format!("held-{n}"), PARTNERS as u64), 202);
    }
    let messages = number("MESSAGES", 20_000);
    let longest = |readers: usize, round: usize| {
        let (stop, responses, longest) = (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0));
        running.status();
        sleep(Duration::from_millis(300));
        running.status();
        let (rate, _, worst) = scope(|scope| {
            for _ in 0..readers {
                scope.spawn(|| {
                    let mut client = Client::connect(&running.socket()).unwrap();
                    while !stop.load(Ordering::SeqCst) {
                        for command in [
                            ControlCommand::Status,
                            ControlCommand::Partners,
                            ControlCommand::Endpoints,
                            ControlCommand::Queues { partner: None, most: None },
                            ControlCommand::Failures { most: None },
                            ControlCommand::Message { message: "held-7".into() },
                        ] {
                            if let Ok(ControlResponse::Status(status)) = client.request(command) {
                                longest.fetch_max(status.longest_round_us, Ordering::SeqCst);
                            }
                            responses.fetch_add(1, Ordering::SeqCst);
                        }
                    }
                });
            }
            let done = load(&running, round, messages);
            stop.store(true, Ordering::SeqCst);
            done
        });
        longest.fetch_max(running.status().longest_round_us, Ordering::SeqCst);
        (longest.into_inner() as f64 / 1e3, responses.into_inner(), rate, worst)
    };
    println!("pause: {held} messages held, {messages} passing");
    for (round, readers) in [0, 10, 0, 10].into_iter().enumerate() {
        let (longest, responses, rate, worst) = longest(readers, round);
        println!(
            "  {readers:>2} readers, {responses:>5} responses: longest round {longest:.1} ms, {rate:.0} msgs/s, longest time to a \
             202 {:.1} ms",
            worst.as_secs_f64() * 1e3
        );
    }
}

/// Measures how long a restart takes with and without held messages.
fn restore() {
    let held = number("HELD", 10_000);
    let silent = Server::start_unrecorded(|_| Reply::Silence);
    let mut running = site(&[vec![silent.address]], "");
    let file = running.folder.path().join("site.toml");
    let restart = |running: &mut Running| {
        running.child.kill().unwrap();
        running.child.wait().unwrap();
        let start = Instant::now();
        running.child = Command::new(PROGRAM).args(["serve", "--site"]).arg(&file).spawn().unwrap();
        running.wait_until_ready();
        start.elapsed().as_secs_f64() * 1e3
    };
    let empty = median((0..5).map(|_| restart(&mut running)).collect());
    let mut stream = running.connect();
    for n in 0..held {
        assert_eq!(running.submit(&mut stream, &format!("held-{n}"), 0), 202);
    }
    let full = median((0..5).map(|_| restart(&mut running)).collect());
    assert!(u64::from(running.status().held) + 1000 > held);
    println!("restore: ready after {empty:.0} ms with nothing held, {full:.0} ms with {held} messages");
}

/// Drains and resumes endpoint 0 under load, and measures how long after the order a call still arrives there.
fn drains() {
    let count = number("DRAINS", 200);
    let last = Arc::new(Mutex::new(None::<Instant>));
    let recorded = last.clone();
    let drained = Server::start_unrecorded(move |request| {
        *recorded.lock().unwrap() = Some(request.at);
        Reply::Later(Duration::from_millis(2), 200)
    });
    let other = Server::start_unrecorded(|_| Reply::Later(Duration::from_millis(2), 200));
    let running = site(&[vec![drained.address, other.address]], "");
    let stop = AtomicBool::new(false);
    let (mut latest, mut acknowledged, mut after_ack) = (Vec::new(), Vec::new(), 0);
    scope(|scope| {
        for worker in 0..CLIENTS {
            let (running, stop) = (&running, &stop);
            scope.spawn(move || {
                let mut stream = running.connect();
                for n in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    running.submit(&mut stream, &format!("m{worker}-{n}"), 0);
                }
            });
        }
        let mut client = Client::connect(&running.socket()).unwrap();
        sleep(Duration::from_secs(1));
        for _ in 0..count {
            *last.lock().unwrap() = None;
            while last.lock().unwrap().is_none() {
                sleep(Duration::from_micros(200));
            }
            let ordered = Instant::now();
            client.request(ControlCommand::Drain { endpoint: "p0-0".into() }).unwrap();
            let acknowledged_at = Instant::now();
            acknowledged.push((acknowledged_at - ordered).as_secs_f64() * 1e3);
            sleep(Duration::from_millis(100));
            let at = last.lock().unwrap().filter(|at| *at > ordered);
            after_ack += u64::from(at.is_some_and(|at| at > acknowledged_at));
            latest.push(at.map_or(0.0, |at| (at - ordered).as_secs_f64() * 1e3));
            client.request(ControlCommand::Resume { endpoint: Some("p0-0".into()), partner: None }).unwrap();
        }
        stop.store(true, Ordering::SeqCst);
    });
    let max = latest.iter().copied().fold(0.0, f64::max);
    println!(
        "drains: {count} under load: the latest call arrived {max:.1} ms after the order was sent (median {:.1}), {after_ack} \
         after its acknowledgement, which took {:.1} ms (median)",
        median(latest),
        median(acknowledged)
    );
}

fn main() {
    let names: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with('-')).collect();
    let all: [(&str, fn()); 4] = [("cost", cost), ("pause", pause), ("restore", restore), ("drains", drains)];
    for (name, run) in all {
        if names.is_empty() || names.iter().any(|n| n == name) {
            run();
        }
    }
}
