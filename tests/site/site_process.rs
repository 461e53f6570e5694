//! A forwarder with a site file of its own as a process, its partners on loopback, its clients and its operators.

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

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_foldtrack");

/// A site file whose partner `p` has these endpoints.
pub struct SiteConfig {
    pub endpoints: Vec<(&'static str, &'static str, SocketAddr)>,
    pub limits: &'static str,
    pub admission: &'static str,
    pub ends: &'static str,
    pub durability: &'static str,
    pub update_deadline: &'static str,
    /// How long partners remember the key of an update.
    pub remembered: String,
    /// Lines of `[calls]`.
    pub calls: &'static str,
    /// Lines of the partner `p`.
    pub partner: String,
}

impl SiteConfig {
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
        // Other builds' programs may not know it.
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

pub struct SiteProcess {
    pub listen: SocketAddr,
    pub folder: TempDir,
    child: Child,
}

/// A free address that no other test uses: each has a host number of its own.
fn own_address() -> SocketAddr {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    let part = std::process::id() as usize % 250;
    let listener = TcpListener::bind(format!("127.78.{part}.{host}:0")).unwrap();
    listener.local_addr().unwrap()
}

impl SiteProcess {
    pub fn start(plan: &SiteConfig) -> SiteProcess {
        let mut site = SiteProcess::prepared(plan);
        site.restart();
        site
    }

    /// A site that is not running yet.
    pub fn prepared(plan: &SiteConfig) -> SiteProcess {
        let site = SiteProcess { listen: own_address(), child: idle(), folder: tempfile::tempdir().unwrap() };
        site.write_site_file(plan);
        site
    }

    pub fn write_site_file(&self, plan: &SiteConfig) {
        let state = self.state_dir();
        std::fs::write(self.site_file(), plan.text(self.listen, state.to_str().unwrap())).unwrap();
    }

    pub fn site_file(&self) -> PathBuf {
        self.folder.path().join("site.toml")
    }

    /// How large the disk is for a site that has been started with this file.
    pub fn disk_limit_file(&self) -> PathBuf {
        self.folder.path().join("disk-budget")
    }

    /// The disk is so large from now on.
    pub fn set_disk_limit(&self, bytes: u64) {
        // In one step: half a number would be another.
        let next = self.folder.path().join("disk-budget.next");
        std::fs::write(&next, bytes.to_string()).unwrap();
        std::fs::rename(next, self.disk_limit_file()).unwrap();
    }

    /// Bytes that the files of the state folder take, what is set aside for them included.
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

    pub fn state_dir(&self) -> PathBuf {
        self.folder.path().join("state")
    }

    pub fn socket(&self) -> PathBuf {
        self.state_dir().join("control.sock")
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn spawn(&mut self) {
        // A benchmark may start another build's program.
        let program = std::env::var_os("FOLDTRACK_PROGRAM").unwrap_or(PROGRAM.into());
        let mut command = Command::new(program);
        command.args(["serve", "--site"]).arg(self.site_file()).env_clear().stderr(Stdio::inherit());
        if self.disk_limit_file().exists() {
            command.arg("--disk-budget").arg(self.disk_limit_file());
        }
        self.child = command.spawn().unwrap();
    }

    pub fn restart(&mut self) {
        self.spawn();
        let health = "GET /healthz HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n";
        let ready =
            || exchange(self.listen, health.as_bytes()).is_some_and(|a| a.starts_with("HTTP/1.1 200"));
        eventually("the forwarder is ready", ready);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        self.child.wait().unwrap();
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Runs a command on this site.
    pub fn run_command(&self, words: &[&str]) -> Output {
        let mut command = Command::new(PROGRAM);
        command.args(words).env_clear().env("FOLDTRACK_SITE", self.site_file()).output().unwrap()
    }

    pub fn client(&self) -> Client {
        Client::connect(&self.socket()).unwrap()
    }

    pub fn request(&self, ask: ControlCommand) -> Result<ControlResponse, ClientError> {
        self.client().request(ask)
    }

    pub fn order(&self, ask: ControlCommand) -> OrderResult {
        match self.request(ask).unwrap() {
            ControlResponse::Done(done) => done,
            told => panic!("{told:?}"),
        }
    }

    pub fn status(&self) -> Status {
        match self.request(ControlCommand::Status).unwrap() {
            ControlResponse::Status(status) => *status,
            told => panic!("{told:?}"),
        }
    }

    pub fn endpoints(&self) -> BTreeMap<String, Endpoint> {
        match self.request(ControlCommand::Endpoints).unwrap() {
            ControlResponse::Endpoints(all) => all.into_iter().map(|e| (e.name.clone(), e)).collect(),
            told => panic!("{told:?}"),
        }
    }

    pub fn message(&self, id: &str) -> Option<Message> {
        match self.request(ControlCommand::Message { message: id.into() }) {
            Ok(ControlResponse::Message(message)) => Some(*message),
            Ok(told) => panic!("{told:?}"),
            Err(_) => None,
        }
    }

    pub fn message_state(&self, id: &str) -> String {
        self.message(id).map_or("unknown".into(), |m| m.state)
    }

    /// Hands a message in, and gives the status of the answer and its head.
    pub fn post(&self, class: &str, key: &str, id: &str, body: &str) -> (u16, String) {
        self.post_to("p", class, key, id, body)
    }

    pub fn post_to(&self, partner: &str, class: &str, key: &str, id: &str, body: &str) -> (u16, String) {
        let answer =
            exchange(self.listen, &message_request(partner, class, key, id, body)).unwrap_or_default();
        (answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0), answer.to_lowercase())
    }

    /// Asks the listener, and gives the status and the JSON.
    pub fn get(&self, path: &str) -> (u16, Value) {
        let request = format!("GET {path} HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n");
        let answer = exchange(self.listen, request.as_bytes()).unwrap_or_default();
        let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        (status, serde_json::from_str(body).unwrap_or(Value::Null))
    }
}

fn idle() -> Child {
    // Stands for a process until the first one starts.
    Command::new("true").spawn().unwrap()
}

impl Drop for SiteProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn message_request(partner: &str, class: &str, key: &str, id: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /{class}/{key} HTTP/1.1\r\nHost: f\r\nConnection: close\r\nX-Request-Id: {id}\r\nX-Partner: {partner}\r\n\
         Idempotency-Key: {id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends bytes on a new connection and gives what comes back until it is closed; nothing if it broke.
pub fn exchange(to: SocketAddr, bytes: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(bytes).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    Some(String::from_utf8_lossy(&answer).into_owned())
}

/// A raw connection to the control line.
pub struct RawControlClient(BufReader<std::os::unix::net::UnixStream>);

impl RawControlClient {
    pub fn connect(site: &SiteProcess) -> RawControlClient {
        let stream = std::os::unix::net::UnixStream::connect(site.socket()).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        RawControlClient(BufReader::new(stream))
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.0.get_mut().write_all(bytes).is_ok()
    }

    /// The next line, or nothing if the connection has ended.
    pub fn line(&mut self) -> Option<Value> {
        let mut line = String::new();
        self.0.read_line(&mut line).ok().filter(|n| *n > 0)?;
        serde_json::from_str(&line).ok()
    }
}
