//! Test support: a forwarder as a process with its own site file, and the requests of its clients
//! and operators.

use foldtrack_control::{
    Client, ClientError, ControlCommand, ControlResponse, Endpoint, Message, OrderResult, Status,
};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use tempfile::TempDir;

pub use foldtrack_standin::{eventually, PATIENCE};

/// Path of the `foldtrack` program under test.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_foldtrack");

/// The contents of a site file.
pub struct SiteConfig {
    /// Partner, name and address of each endpoint.
    pub endpoints: Vec<(&'static str, &'static str, SocketAddr)>,
    /// Lines of `[limits]`.
    pub limits: &'static str,
    /// Lines of `[admission]`.
    pub admission: &'static str,
    /// Lines of `[ends]`.
    pub ends: &'static str,
    /// `process` or `machine`.
    pub durability: &'static str,
    /// Deadline of the class `update`.
    pub update_deadline: &'static str,
    /// How long partners remember the idempotency key of an update.
    pub remembered: String,
    /// Lines of `[calls]`.
    pub calls: &'static str,
    /// Lines of the partner `p`.
    pub partner: String,
}

impl SiteConfig {
    /// A site file with these endpoints and default settings.
    pub fn with_endpoints(endpoints: &[(&'static str, &'static str, SocketAddr)]) -> SiteConfig {
        SiteConfig {
            endpoints: endpoints.to_vec(),
            limits: "",
            admission: "",
            ends: "",
            durability: "process",
            update_deadline: "24s",
            remembered: "20s".into(),
            calls: "",
            partner: String::new(),
        }
    }

    fn text(&self, listen: SocketAddr, state: &str) -> String {
        // The section is left out where it is empty: programs of other builds, which benchmarks
        // start, may not know it.
        let admission = match self.admission {
            "" => String::new(),
            lines => format!("[admission]\n{lines}\n"),
        };
        let admission =
            if self.calls.is_empty() { admission } else { format!("{admission}[calls]\n{}\n", self.calls) };
        let aim = if self.update_deadline == "24s" { "3s" } else { self.update_deadline };
        let mut text = format!(
            "[site]\nlisten = \"{listen}\"\nstate = \"{state}\"\ndurability = \"{}\"\n[limits]\n{}\n{}[ends]\n{}\n\
             [class.update]\neffect = \"keyed\"\nremembered = \"{}\"\nordered = true\naim = \"{}\"\ndeadline = \"{}\"\n\
             [class.fee]\neffect = \"once\"\naim = \"3s\"\ndeadline = \"24s\"\nworth = 3\n\
             [class.note]\neffect = \"repeatable\"\ndeadline = \"24s\"\n[partner.p]\n{}",
            self.durability, self.limits, admission, self.ends, self.remembered, aim, self.update_deadline, self.partner
        );
        for (partner, name, address) in &self.endpoints {
            text += &format!("[partner.{partner}.endpoint.{name}]\naddress = \"{address}\"\n");
        }
        text
    }
}

/// A forwarder process with a temporary folder for its site file and state. It is killed on drop.
pub struct SiteProcess {
    pub listen: SocketAddr,
    pub folder: TempDir,
    child: Child,
}

/// A free address that no other test uses: each has its own host number.
fn unused_address() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    let part = std::process::id() as usize % 250;
    let listener = TcpListener::bind(format!("127.78.{part}.{host}:0")).unwrap();
    listener.local_addr().unwrap()
}

impl SiteProcess {
    /// Starts a forwarder and waits until it is ready.
    pub fn start(config: &SiteConfig) -> SiteProcess {
        let mut site = SiteProcess::prepared(config);
        site.restart();
        site
    }

    /// A site whose forwarder has not been started.
    pub fn prepared(config: &SiteConfig) -> SiteProcess {
        let site = SiteProcess {
            listen: unused_address(),
            child: placeholder_process(),
            folder: tempfile::tempdir().unwrap(),
        };
        site.write_site_file(config);
        site
    }

    /// Writes the site file.
    pub fn write_site_file(&self, config: &SiteConfig) {
        let state = self.state_dir();
        std::fs::write(self.site_file(), config.text(self.listen, state.to_str().unwrap())).unwrap();
    }

    /// Path of the site file.
    pub fn site_file(&self) -> PathBuf {
        self.folder.path().join("site.toml")
    }

    /// The file that limits the disk space of the state folder. It takes effect if it exists when
    /// the forwarder starts.
    pub fn disk_limit_file(&self) -> PathBuf {
        self.folder.path().join("disk-budget")
    }

    /// Limits the disk space of the state folder from now on.
    pub fn set_disk_limit(&self, bytes: u64) {
        // Replaced atomically: a partly written number would be another limit.
        let next = self.folder.path().join("disk-budget.next");
        std::fs::write(&next, bytes.to_string()).unwrap();
        std::fs::rename(next, self.disk_limit_file()).unwrap();
    }

    /// Bytes that the files of the state folder occupy, including preallocated space.
    pub fn disk_usage(&self) -> u64 {
        fn of(folder: &std::path::Path) -> u64 {
            use std::os::unix::fs::MetadataExt;
            let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
            let size = |e: std::fs::DirEntry| match e.metadata() {
                Ok(m) if m.is_dir() => of(&e.path()),
                Ok(m) => (m.blocks() * 512).max(m.len()),
                Err(_) => 0,
            };
            entries.map(size).sum()
        }
        of(&self.state_dir())
    }

    /// Path of the state folder.
    pub fn state_dir(&self) -> PathBuf {
        self.folder.path().join("state")
    }

    /// Path of the control socket.
    pub fn socket(&self) -> PathBuf {
        self.state_dir().join("control.sock")
    }

    /// Process id of the forwarder.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Starts the process without waiting until it is ready.
    pub fn spawn(&mut self) {
        // A benchmark may start another build's program.
        let program = std::env::var_os("FOLDTRACK_PROGRAM").unwrap_or(PROGRAM.into());
        let mut command = Command::new(program);
        command.args(["serve", "--site"]).arg(self.site_file()).env_clear().stderr(Stdio::inherit());
        command.env("FOLDTRACK_LOG", "warn");
        if self.disk_limit_file().exists() {
            command.arg("--disk-budget").arg(self.disk_limit_file());
        }
        self.child = command.spawn().unwrap();
    }

    /// Starts the process and waits until it is ready.
    pub fn restart(&mut self) {
        self.spawn();
        let health = "GET /healthz HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n";
        let is_ready =
            || exchange(self.listen, health.as_bytes()).is_some_and(|a| a.starts_with("HTTP/1.1 200"));
        eventually("the forwarder is ready", is_ready);
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        self.child.wait().unwrap();
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Runs a `foldtrack` command for this site.
    pub fn run_command(&self, args: &[&str]) -> Output {
        let mut command = Command::new(PROGRAM);
        command.args(args).env_clear().env("FOLDTRACK_SITE", self.site_file()).output().unwrap()
    }

    /// A connection to the control socket.
    pub fn client(&self) -> Client {
        Client::connect(&self.socket()).unwrap()
    }

    /// Sends one control command on a new connection.
    pub fn request(&self, ask: ControlCommand) -> Result<ControlResponse, ClientError> {
        self.client().request(ask)
    }

    /// Sends an order that must succeed.
    pub fn order(&self, ask: ControlCommand) -> OrderResult {
        match self.request(ask).unwrap() {
            ControlResponse::Done(done) => done,
            response => panic!("{response:?}"),
        }
    }

    /// The status of the forwarder.
    pub fn status(&self) -> Status {
        match self.request(ControlCommand::Status).unwrap() {
            ControlResponse::Status(status) => *status,
            response => panic!("{response:?}"),
        }
    }

    /// The endpoints by name.
    pub fn endpoints(&self) -> BTreeMap<String, Endpoint> {
        match self.request(ControlCommand::Endpoints).unwrap() {
            ControlResponse::Endpoints(all) => all.into_iter().map(|e| (e.name.clone(), e)).collect(),
            response => panic!("{response:?}"),
        }
    }

    /// The history of a message, if it is known.
    pub fn message(&self, id: &str) -> Option<Message> {
        match self.request(ControlCommand::Message { message: id.into() }) {
            Ok(ControlResponse::Message(message)) => Some(*message),
            Ok(response) => panic!("{response:?}"),
            Err(_) => None,
        }
    }

    /// The state of a message; `unknown` if it is not known.
    pub fn message_state(&self, id: &str) -> String {
        self.message(id).map_or("unknown".into(), |m| m.state)
    }

    /// Submits a message to the partner `p`. Returns the status and the response in lower case;
    /// status 0 if there was no response.
    pub fn post(&self, class: &str, key: &str, id: &str, body: &str) -> (u16, String) {
        self.post_to("p", class, key, id, body)
    }

    /// Submits a message to a partner.
    pub fn post_to(&self, partner: &str, class: &str, key: &str, id: &str, body: &str) -> (u16, String) {
        let response =
            exchange(self.listen, &message_request(partner, class, key, id, body)).unwrap_or_default();
        (response.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0), response.to_lowercase())
    }

    /// Sends a GET request to the listener, and returns the status and the JSON body.
    pub fn get(&self, path: &str) -> (u16, Value) {
        let request = format!("GET {path} HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n");
        let response = exchange(self.listen, request.as_bytes()).unwrap_or_default();
        let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        let status = response.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        (status, serde_json::from_str(body).unwrap_or(Value::Null))
    }
}

/// A placeholder until the forwarder's process is started.
fn placeholder_process() -> Child {
    Command::new("true").spawn().unwrap()
}

impl Drop for SiteProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The HTTP request that submits a message.
pub fn message_request(partner: &str, class: &str, key: &str, id: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /{class}/{key} HTTP/1.1\r\nHost: f\r\nConnection: close\r\nX-Request-Id: {id}\r\nX-Partner: {partner}\r\n\
         Idempotency-Key: {id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends bytes on a new connection and returns everything received until it is closed; `None` if
/// the connection failed.
pub fn exchange(to: SocketAddr, bytes: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(bytes).ok()?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).ok()?;
    Some(String::from_utf8_lossy(&response).into_owned())
}

/// A connection to the control socket that sends and receives raw lines.
pub struct RawControlClient(BufReader<std::os::unix::net::UnixStream>);

impl RawControlClient {
    /// Connects to a site's control socket.
    pub fn connect(site: &SiteProcess) -> RawControlClient {
        let stream = std::os::unix::net::UnixStream::connect(site.socket()).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        RawControlClient(BufReader::new(stream))
    }

    /// Writes bytes; false if the connection was closed.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.0.get_mut().write_all(bytes).is_ok()
    }

    /// The next line as JSON; `None` if the connection was closed.
    pub fn line(&mut self) -> Option<Value> {
        let mut line = String::new();
        self.0.read_line(&mut line).ok().filter(|n| *n > 0)?;
        serde_json::from_str(&line).ok()
    }
}
