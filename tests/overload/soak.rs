//! Seeded runs of a real process under a memory limit: crowds, partners that answer late, in pieces or never, and kills in
//! series. `FOLDTRACK_SOAK_SEEDS=50` plays that many seeds, `FOLDTRACK_SOAK_FIRST` names the first.

use super::crowd::*;
use super::memory::crowds::BEHAVIORS;
use super::*;
use fastrand::Rng;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};

/// Seeds that are played without the variable.
const SEEDS_IN_CI: u64 = 4;
/// Memory limits in megabytes and descriptors that a run may have.
const MEMORY_MB: [u64; 4] = [32, 48, 64, 192];
const DESCRIPTORS: [u32; 2] = [256, 1024];
const DESTINATIONS: u32 = 4;
/// Sound messages of a run, the pause between two of them, and their time.
const MESSAGES: usize = 160;
const SUBMISSION_PAUSE: Duration = Duration::from_millis(50);
const DEADLINE: Duration = Duration::from_secs(3);
/// How long a client waits for an answer (BRIEF).
const CLIENT_PATIENCE: Duration = Duration::from_millis(400);
/// How long after its deadline a message may take to end, and after a start (PROTOCOL, the rules on sockets).
const END_GRACE: Duration = Duration::from_millis(350);
const RESTART_GRACE: Duration = Duration::from_millis(1_500);
/// From SIGKILL to the next start, and from SIGTERM to SIGKILL (PROTOCOL).
const DOWN_TIME: Duration = Duration::from_millis(600);
const SHUTDOWN_TIME: Duration = Duration::from_millis(3_700);
/// How soon a process is ready (STANDING).
const READY_WITHIN: Duration = Duration::from_secs(10);

/// An accepted message.
struct Accepted {
    at: Instant,
    destination: u32,
    /// It may be called once.
    once: bool,
}

/// What a partner does with each call.
fn partner(rng: &mut Rng) -> Reply {
    match rng.u32(0..5) {
        0 => Reply::Silence,
        1 => Reply::Later(MS(rng.u64(50..400)), 200),
        2 => Reply::InPieces(vec![b'x'; rng.usize(1..20_000)], rng.usize(1..40)),
        _ => OK,
    }
}

/// A client that keeps its connection for as long as it stays open.
#[derive(Default)]
struct KeptConnection(Option<BufReader<TcpStream>>);

impl KeptConnection {
    /// Sends a request on the open connection, and once more on a new one if that has closed before. Returns the status of
    /// the answer, none without one.
    fn submit(&mut self, forwarder: &Forwarder, message: &Submission) -> Option<u16> {
        let request = String::from_utf8(message.bytes()).unwrap().replace("Connection: close\r\n", "");
        if let Some(status) = self.exchange(request.as_bytes()) {
            return Some(status);
        }
        let stream = TcpStream::connect(forwarder.listen).ok()?;
        stream.set_read_timeout(Some(CLIENT_PATIENCE)).unwrap();
        self.0 = Some(BufReader::new(stream));
        self.exchange(request.as_bytes())
    }

    fn exchange(&mut self, request: &[u8]) -> Option<u16> {
        let mut stream = self.0.take()?;
        stream.get_mut().write_all(request).ok()?;
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            stream.read_line(&mut head).ok().filter(|count| *count > 0)?;
        }
        if !head.to_lowercase().contains("connection: close") {
            self.0 = Some(stream);
        }
        head.split(' ').nth(1)?.parse().ok()
    }
}

/// A run: the process, who it talks to, and what it owes.
struct Run {
    rng: Rng,
    forwarder: Forwarder,
    platform: Platform,
    partners: Vec<Arc<Server>>,
    client: KeptConnection,
    /// Number of the next message.
    next: usize,
    accepted: BTreeMap<String, Accepted>,
    memory_mb: u64,
    /// The highest peak of any of its processes, in bytes.
    peak: u64,
    last_ready: Instant,
}

impl Run {
    fn start(seed: u64) -> Run {
        let mut rng = Rng::with_seed(seed);
        let partners: Vec<_> = (0..DESTINATIONS)
            .map(|_| {
                let reply = partner(&mut rng);
                Server::start(move |_| reply.clone())
            })
            .collect();
        let entries =
            (1..).zip(&partners).map(|(n, p)| list_entry(&format!("s-{n}"), p.address, n, "active"));
        let platform = Platform::start(entries.collect());
        let memory_mb = MEMORY_MB[rng.usize(..MEMORY_MB.len())];
        let descriptors = DESCRIPTORS[rng.usize(..DESCRIPTORS.len())];
        let forwarder = Forwarder::start_with(&platform, |config| {
            config["limits"]["sockets"] = descriptors.into();
            config["limits"]["memory_mb"] = memory_mb.into();
        });
        limit_memory(forwarder.pid(), memory_mb * 1_000_000);
        Run {
            rng,
            forwarder,
            platform,
            partners,
            client: KeptConnection::default(),
            next: 0,
            accepted: BTreeMap::new(),
            memory_mb,
            peak: 0,
            last_ready: Instant::now(),
        }
    }

    /// Submits a message, and records it if it is accepted.
    fn submit(&mut self) {
        let number = self.next;
        self.next += 1;
        let (id, destination) = (format!("m{number}"), self.rng.u32(1..=DESTINATIONS));
        let once = self.rng.bool();
        let message = if once { fee(&id) } else { update(&id, &format!("k{}", number % 20)) };
        let body = vec![b'x'; if self.rng.u32(0..4) == 0 { self.rng.usize(0..60_000) } else { 200 }];
        let message =
            message.for_destination(destination).deadline_ms(DEADLINE.as_millis() as u64).body(body);
        let at = Instant::now();
        if self.client.submit(&self.forwarder, &message) == Some(202) {
            self.accepted.insert(id, Accepted { at, destination, once });
        }
    }

    /// Checks the process that is about to be ended.
    fn check_process(&mut self) {
        assert!(self.forwarder.is_running(), "the process has ended by itself");
        let held = peak_memory(self.forwarder.pid()) + self.forwarder.on_disk();
        self.peak = self.peak.max(held);
        assert!(held <= self.memory_mb * 1_000_000, "{held} bytes at {} MB", self.memory_mb);
    }

    /// Ends the process and starts it again.
    fn restart(&mut self) {
        self.check_process();
        if self.rng.u32(0..3) == 0 {
            self.forwarder.signal("TERM");
            let killed_at = Instant::now() + SHUTDOWN_TIME;
            while Instant::now() < killed_at {
                self.submit();
                sleep(SUBMISSION_PAUSE);
            }
        }
        self.forwarder.kill();
        sleep(DOWN_TIME);
        let begun = Instant::now();
        self.forwarder.restart();
        limit_memory(self.forwarder.pid(), self.memory_mb * 1_000_000);
        assert!(begun.elapsed() <= READY_WITHIN, "ready after {:?}", begun.elapsed());
        self.last_ready = Instant::now();
    }

    /// Three restarts, each 0.42 to 0.48 s after the process is ready.
    fn restart_in_series(&mut self) {
        for _ in 0..3 {
            self.restart();
            let pause = MS(self.rng.u64(420..480));
            sleep(pause);
        }
    }

    /// When each message was called by its destination's partner.
    fn calls(&self, destination: u32, id: &str) -> usize {
        let seen = self.partners[destination as usize - 1].seen();
        seen.iter().filter(|call| call.id() == id).count()
    }

    /// Checks that every accepted message has ended, and that none was called more often than it may.
    fn check_messages(&self) {
        let notices = self.platform.notices();
        for (id, message) in &self.accepted {
            let calls = self.calls(message.destination, id);
            let noticed = notices.iter().any(|(ended, _)| ended == id);
            assert!(calls > 0 || noticed, "{id} has not ended");
            assert!(!message.once || calls <= 1, "{id} was called {calls} times");
            let elsewhere = (1..=DESTINATIONS).filter(|d| *d != message.destination);
            assert!(elsewhere.map(|d| self.calls(d, id)).sum::<usize>() == 0, "{id} went to another partner");
        }
        assert!(!self.forwarder.log().contains("panicked"), "a panic in the log");
    }
}

/// Plays one seed.
fn play(seed: u64) {
    let mut run = Run::start(seed);
    let behavior = BEHAVIORS[run.rng.usize(..BEHAVIORS.len())]();
    let size = run.rng.usize(40..500);
    let series_at = run.rng.usize(20..MESSAGES - 20);
    let crowd = Crowd::start(run.forwarder.listen, size, &behavior);
    for number in 0..MESSAGES {
        if number == series_at {
            run.restart_in_series();
        }
        run.submit();
        sleep(SUBMISSION_PAUSE);
    }
    run.check_process();
    drop(crowd);
    let owed_until = run.accepted.values().map(|m| m.at + DEADLINE + END_GRACE).max();
    let until = owed_until.unwrap_or(run.last_ready).max(run.last_ready + RESTART_GRACE);
    sleep(until.saturating_duration_since(Instant::now()));
    run.check_messages();
    let (accepted, peak) = (run.accepted.len(), run.peak);
    let (memory_mb, submitted) = (run.memory_mb, run.next);
    println!("seed {seed}: {memory_mb} MB, {size} clients, {accepted} of {submitted} accepted, peak {peak}");
}

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

// Guards against issue 71 under combined faults: a crowd, failing partners, and kills in series under a memory limit.
#[test]
fn crowds_and_kills_in_series_end_no_process_and_lose_no_message() {
    let _alone = one_crowd_at_a_time();
    let first = variable("FOLDTRACK_SOAK_FIRST").unwrap_or(1);
    let seeds = variable("FOLDTRACK_SOAK_SEEDS").unwrap_or(SEEDS_IN_CI);
    for seed in first..first + seeds {
        println!("seed {seed}");
        play(seed);
    }
}
