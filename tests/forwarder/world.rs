//! Stand-ins on loopback for everything that a forwarder talks to, and the forwarder as a process.

use serde_json::{json, Value};
use std::fs::OpenOptions;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;
use tempfile::TempDir;

pub use foldtrack_standin::http::*;
pub use foldtrack_standin::{eventually, PATIENCE};

/// Version and entries of the list, and a condition variable that signals changes.
type List = (Mutex<(u64, Vec<Value>)>, Condvar);
/// Stand-in for the platform: serves the list and receives notices.
pub struct Platform {
    pub server: Arc<Server>,
    list: Arc<List>,
    refuses: Arc<AtomicBool>,
    silent: Arc<AtomicBool>,
}

/// An entry of the list.
pub fn list_entry(id: &str, address: SocketAddr, cell: u32, state: &str) -> Value {
    json!({"id": id, "addr": address.to_string(), "zone": "z", "kind": "k", "cell": cell, "state": state,
        "weight": 0.0, "started_ms": 0})
}

/// A full list in discovery's format.
fn list_text(version: u64, servers: &[Value]) -> Value {
    json!({"version": version, "full": true, "servers": servers})
}

impl Platform {
    /// Starts the platform with a list of these entries.
    pub fn start(servers: Vec<Value>) -> Platform {
        let list = Arc::new((Mutex::new((1, servers)), Condvar::new()));
        let (shared, refuses) = (list.clone(), Arc::new(AtomicBool::new(false)));
        let refused = refuses.clone();
        let silent = Arc::new(AtomicBool::new(false));
        let silent_now = silent.clone();
        let server = Server::start(move |request| match request.path.split_once("since=") {
            _ if silent_now.load(Ordering::SeqCst) => Reply::Silence,
            _ if request.method == "POST" && refused.load(Ordering::SeqCst) => Reply::Status(503, ""),
            _ if request.method == "POST" => Reply::Status(204, ""),
            None => {
                let list = shared.0.lock().unwrap();
                Reply::Body(list_text(list.0, &list.1).to_string().into())
            }
            Some((_, rest)) => {
                let (since, wait) = rest.split_once("&timeout_ms=").unwrap();
                let (since, wait) = (since.parse::<u64>().unwrap(), wait.parse().unwrap());
                let list = shared.0.lock().unwrap();
                let wait = Duration::from_millis(wait);
                let (list, _) = shared.1.wait_timeout_while(list, wait, |l| l.0 <= since).unwrap();
                let answer = match list.0 > since {
                    true => list_text(list.0, &list.1),
                    false => json!({"version": list.0, "full": false, "servers": []}),
                };
                Reply::Body(answer.to_string().into())
            }
        });
        Platform { server, list, refuses, silent }
    }

    /// Rejects notices with 503, or accepts them again.
    pub fn refuse_notices(&self, refuse: bool) {
        self.refuses.store(refuse, Ordering::SeqCst);
    }

    /// Accepts requests without answering them, as behind a partition, or answers again.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// Replaces the list by a new version.
    pub fn set_list(&self, servers: Vec<Value>) {
        let mut list = self.list.0.lock().unwrap();
        *list = (list.0 + 1, servers);
        self.list.1.notify_all();
    }

    /// Whether the list has arrived: the watch after it has been requested.
    pub fn list_delivered(&self) -> bool {
        let since = format!("since={}&", self.list.0.lock().unwrap().0);
        self.server.seen().iter().any(|r| r.path.contains(&since))
    }

    /// Message ids and outcomes of all notices, in the order of arrival.
    pub fn notices(&self) -> Vec<(String, String)> {
        let posts = self.server.seen().into_iter().filter(|r| r.method == "POST");
        let text = posts.map(|r| String::from_utf8(r.body).unwrap()).collect::<String>();
        let lines = text.lines().map(|l| serde_json::from_str::<Value>(l).unwrap());
        lines
            .map(|v| (v["message"].as_str().unwrap().into(), v["outcome"].as_str().unwrap().into()))
            .collect()
    }

    /// Whether a notice with this outcome was received.
    pub fn has_notice(&self, id: &str, outcome: &str) -> bool {
        self.notices().contains(&(id.to_string(), outcome.to_string()))
    }
}

/// Last lines of a forwarder's log that a failed test shows.
const SHOWN_LOG_LINES: usize = 100;

fn log_path(folder: &TempDir) -> PathBuf {
    folder.path().join("stderr.log")
}

/// The forwarder's process with its folders. It keeps its address over restarts.
pub struct Forwarder {
    pub listen: SocketAddr,
    pub folder: TempDir,
    child: Child,
}

/// A configuration with one `update` and one `fee` class.
pub fn config(listen: SocketAddr, discovery: SocketAddr, servers: &[Value]) -> Value {
    json!({
        "name": "n1", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
        "known": list_text(1, servers),
        "settings": {
            "balancers": 1,
            "categories": [
                {"name": "update", "aim": 3000000, "deadline": 24000000, "effect": "by_key", "group": "all",
                    "late_value": 0.5, "one_at_a_time": true, "window": 10000000, "worth": 1.0},
                {"name": "fee", "aim": 3000000, "deadline": 24000000, "effect": "once", "late_value": 0.4,
                    "worth": 3.0}],
            "contract": {"cold_from": 0.16, "order_pause": 100000, "ramp_time": 14000000,
                "stop_sending_within": 2000000, "tip_after": 2000000, "tip_multiple": 2.5},
            "dcs": ["z"], "machine_types": ["k"], "discovery": "pushed",
            "family_info": {"batch_by_kind": [1], "own_limits": [false], "slots": 16, "zone_fee": [0.0]},
            "limits": {"conn_idle": 15000000, "dial_timeout": 1000000, "max_open": 400, "may_cancel": true,
                "streams_per_conn": 1, "try_limit": 8},
            "report": {"fields": ["x0", "x1"], "source": "inline"}, "tick": 5000}
    })
}

/// An unused address; each test has its own host number.
fn unused_address() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    let part = std::process::id() as usize % 250;
    let listener = TcpListener::bind(format!("127.{}.{}.{}:0", 77, part, host)).unwrap();
    listener.local_addr().unwrap()
}

impl Forwarder {
    pub fn start(platform: &Platform) -> Forwarder {
        Forwarder::start_with(platform, |_| ())
    }

    /// Starts a forwarder with a changed configuration.
    pub fn start_with(platform: &Platform, change: impl Fn(&mut Value)) -> Forwarder {
        let listen = unused_address();
        let folder = tempfile::tempdir().unwrap();
        let mut config = config(listen, platform.server.address, &platform.list.0.lock().unwrap().1);
        change(&mut config);
        std::fs::write(folder.path().join("config.json"), config.to_string()).unwrap();
        std::fs::create_dir(folder.path().join("state")).unwrap();
        let child = Forwarder::spawn(&folder);
        let forwarder = Forwarder { listen, folder, child };
        forwarder.wait_until_ready();
        forwarder
    }

    /// Restarts the process with a limit on file descriptors.
    pub fn restart_with_descriptor_limit(&mut self, descriptors: u32) {
        self.kill();
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", &format!("ulimit -n {descriptors}; exec {}", env!("CARGO_BIN_EXE_foldtrack"))]);
        self.child = Forwarder::spawn_by(shell, &self.folder, Forwarder::log_file(&self.folder));
        self.wait_until_ready();
    }

    /// Restarts the process with a pipe on its standard error that nobody reads.
    pub fn restart_with_unread_log(&mut self) {
        self.kill();
        let command = Command::new(env!("CARGO_BIN_EXE_foldtrack"));
        self.child = Forwarder::spawn_by(command, &self.folder, Stdio::piped());
        self.wait_until_ready();
    }

    fn log_file(folder: &TempDir) -> Stdio {
        Stdio::from(OpenOptions::new().create(true).append(true).open(log_path(folder)).unwrap())
    }

    fn spawn(folder: &TempDir) -> Child {
        let command = Command::new(env!("CARGO_BIN_EXE_foldtrack"));
        Forwarder::spawn_by(command, folder, Forwarder::log_file(folder))
    }

    fn spawn_by(mut command: Command, folder: &TempDir, stderr: Stdio) -> Child {
        let config = std::fs::read(folder.path().join("config.json")).unwrap();
        let config: Value = serde_json::from_slice(&config).unwrap();
        command
            .env_clear()
            .env("BALANCER_DISCOVERY", config["discovery"].as_str().unwrap())
            .env("BALANCER_CONFIG", folder.path().join("config.json"))
            .env("BALANCER_STATE", folder.path().join("state"))
            .stderr(stderr)
            .spawn()
            .unwrap()
    }

    /// What the forwarder has logged, over restarts.
    pub fn log(&self) -> String {
        String::from_utf8_lossy(&std::fs::read(log_path(&self.folder)).unwrap()).into_owned()
    }

    fn wait_until_ready(&self) {
        let health = "GET /healthz HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n";
        eventually("the forwarder is ready", || self.exchange(health.as_bytes()).starts_with("HTTP/1.1 200"));
    }

    pub fn journal(&self) -> PathBuf {
        self.folder.path().join("state/journal/00000001")
    }

    /// Size of the state folder in bytes, as the deploy page counts it.
    pub fn on_disk(&self) -> u64 {
        fn count(folder: &std::path::Path) -> u64 {
            let entries = std::fs::read_dir(folder).unwrap().filter_map(|entry| Some(entry.ok()?.path()));
            let bytes = entries.map(|path| match path.is_dir() {
                true => count(&path),
                false => path.metadata().map_or(0, |m| m.len().div_ceil(512) * 512),
            });
            bytes.sum()
        }
        count(&self.folder.path().join("state"))
    }

    /// Replaces discovery's address in the configuration and sends SIGHUP.
    pub fn move_discovery_to(&self, platform: &Platform) {
        let path = self.folder.path().join("config.json");
        let mut config: Value = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
        config["discovery"] = platform.server.address.to_string().into();
        std::fs::write(path, config.to_string()).unwrap();
        self.signal("HUP");
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &pid]).status().unwrap().success());
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn restart(&mut self) {
        self.child = Forwarder::spawn(&self.folder);
        self.wait_until_ready();
    }

    /// Waits until the process ends.
    pub fn wait(&mut self) -> ExitStatus {
        eventually("the process ends", || self.child.try_wait().unwrap().is_some());
        self.child.wait().unwrap()
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Sends bytes on a new connection and returns the response until the connection is closed.
    pub fn exchange(&self, bytes: &[u8]) -> String {
        exchange(self.listen, bytes)
    }

    /// Opens a keep-alive connection.
    pub fn connect(&self) -> KeepAliveConnection {
        let stream = TcpStream::connect(self.listen).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        KeepAliveConnection { stream: BufReader::new(stream) }
    }

    /// Submits a message and returns the status of the response, 0 if there was none.
    pub fn submit(&self, submission: &Submission) -> u16 {
        submit(self.listen, submission)
    }
}

/// Sends bytes on a new connection and returns the response until the connection is closed.
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else { return String::new() };
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut answer = Vec::new();
    let _ = stream.write_all(bytes).and_then(|()| stream.read_to_end(&mut answer).map(drop));
    String::from_utf8_lossy(&answer).into_owned()
}

/// Submits a message to the forwarder at an address, which may be restarting meanwhile. Returns the
/// status of the response, 0 if there was none.
pub fn submit(address: SocketAddr, submission: &Submission) -> u16 {
    let answer = exchange(address, &submission.bytes());
    answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let log = self.log();
            let lines: Vec<&str> = log.lines().collect();
            lines[lines.len().saturating_sub(SHOWN_LOG_LINES)..].iter().for_each(|line| eprintln!("{line}"));
        }
    }
}

/// A client connection that stays open between requests.
pub struct KeepAliveConnection {
    stream: BufReader<TcpStream>,
}

impl KeepAliveConnection {
    /// The socket, once all responses were read.
    pub fn into_stream(self) -> TcpStream {
        self.stream.into_inner()
    }

    /// Sends a GET and returns the head of the response in lower case, or none if the connection
    /// has ended.
    pub fn get(&mut self, path: &str) -> Option<String> {
        let request = format!("GET {path} HTTP/1.1\r\nHost: f\r\n\r\n");
        self.stream.get_mut().write_all(request.as_bytes()).ok()?;
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            self.stream.read_line(&mut head).ok().filter(|n| *n > 0)?;
        }
        Some(head.to_lowercase())
    }
}

/// Idle clients that take all descriptors they can get, and reconnect as soon as they are closed.
pub struct IdleClients {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl IdleClients {
    /// Keeps `size` connections open, and looks for closed ones after each pause.
    pub fn connect(address: SocketAddr, size: usize, pause: Duration) -> IdleClients {
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
                std::thread::sleep(pause);
            }
        });
        IdleClients { stop, thread: Some(thread) }
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// A message as a client submits it.
pub struct Submission {
    pub id: String,
    pub path: String,
    pub destination: u32,
    pub left_ms: u64,
    pub body: Vec<u8>,
}

/// A message of the keyed class `update`.
pub fn update(id: &str, key: &str) -> Submission {
    Submission {
        id: id.into(),
        path: format!("/update/{key}"),
        destination: 1,
        left_ms: 24_000,
        body: b"x".into(),
    }
}

/// A message of the unsafe class `fee`.
pub fn fee(id: &str) -> Submission {
    Submission { path: "/fee".into(), ..update(id, "") }
}

impl Submission {
    pub fn for_destination(self, destination: u32) -> Submission {
        Submission { destination, ..self }
    }

    pub fn deadline_ms(self, left_ms: u64) -> Submission {
        Submission { left_ms, ..self }
    }

    pub fn body(self, body: Vec<u8>) -> Submission {
        Submission { body, ..self }
    }

    /// The HTTP request.
    pub fn bytes(&self) -> Vec<u8> {
        let Submission { id, path, destination, left_ms, body } = self;
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: f\r\nConnection: close\r\nX-Request-Id: {id}\r\nX-Deadline: {left_ms}m\r\n\
             Idempotency-Key: key-of-{id}\r\nX-Consignee: dest={destination}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        [head.as_bytes(), body].concat()
    }
}
