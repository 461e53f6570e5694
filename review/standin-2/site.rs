//! Forwarders of one site that know of each other, with a relay on every link of each.

use crate::http::{has_ended, read_request, respond};
use crate::relay::{relay_datagrams, relay_streams, Faults};
use crate::world::{own_host, Millis, Seen, Submitted, World};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A forwarder of the site.
pub struct Member {
    pub name: &'static str,
    /// Where its clients connect, behind its relay.
    pub clients: String,
    /// Its links to partners and to the other forwarders.
    pub network: Arc<Faults>,
    /// Its link to clients.
    pub client_link: Arc<Faults>,
    listen: String,
    folder: PathBuf,
    child: Option<Child>,
}

/// The forwarders of a site.
pub struct Site {
    pub members: Vec<Member>,
    /// The forwarders run on one core, which they share (DEPLOY).
    pub on_one_core: bool,
    /// How far the wall clock is off for processes that start from now on, in seconds.
    pub clock_offset_s: i64,
    world: Arc<World>,
    root: PathBuf,
}

/// A command in front of the program that keeps a process on one core; empty where there is none.
fn one_core() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let allowed = status.lines().find_map(|line| line.strip_prefix("Cpus_allowed_list:"));
    let first = allowed.and_then(|list| list.trim().split([',', '-']).next()).unwrap_or("0").to_string();
    let is_there =
        Command::new("taskset").arg("--version").stdout(Stdio::null()).status().is_ok_and(|s| s.success());
    if is_there {
        format!("taskset -c {first} ")
    } else {
        String::new()
    }
}

/// A free port for datagrams.
fn free_datagram_port() -> String {
    UdpSocket::bind(format!("{}:0", own_host())).unwrap().local_addr().unwrap().to_string()
}

fn free_port() -> String {
    TcpListener::bind(format!("{}:0", own_host())).unwrap().local_addr().unwrap().to_string()
}

impl Site {
    /// Writes the site files. `partners` are names with the addresses of their endpoints, `classes` is the text of the tables.
    pub fn prepare(
        world: &Arc<World>, root: &Path, folder: &Path, names: &[&'static str], partners: &[(&str, String)],
        classes: &str,
    ) -> Site {
        std::fs::create_dir_all(folder).unwrap();
        let secret = folder.join("secret");
        std::fs::write(&secret, "0123456789abcdef0123456789abcdef").unwrap();
        let addresses: Vec<(String, String)> =
            names.iter().map(|_| (free_port(), free_datagram_port())).collect();
        let mut members = Vec::new();
        for (n, name) in names.iter().enumerate() {
            let (network, client_link) = (Arc::new(Faults::default()), Arc::new(Faults::default()));
            let own = folder.join(name);
            std::fs::create_dir_all(&own).unwrap();
            let (listen, peer) = &addresses[n];
            let state = own.join("state");
            let mut text = format!(
                "[site]\nname = \"{name}\"\nlisten = \"{listen}\"\nstate = {state:?}\ndurability = \"process\"\n{classes}\n"
            );
            for (partner, address) in partners {
                let relay = relay_streams(address, &network);
                text += &format!(
                    "[partner.{partner}]\n[partner.{partner}.endpoint.{partner}-1]\naddress = \"{relay}\"\n"
                );
            }
            if names.len() > 1 {
                text +=
                    &format!("[peers]\nname = \"{name}\"\nlisten = \"{peer}\"\nsecret-file = {secret:?}\n");
                for (m, other) in names.iter().enumerate().filter(|(m, _)| *m != n) {
                    text += &format!("[peers.member.{other}]\naddress = \"RELAY-{n}-{m}\"\n");
                }
            }
            std::fs::write(own.join("site.toml"), text).unwrap();
            let clients = relay_streams(listen, &client_link);
            members.push(Member {
                name,
                clients,
                network,
                client_link,
                listen: listen.clone(),
                folder: own,
                child: None,
            });
        }
        // A datagram passes if neither end is cut off: it goes through a relay of each.
        for n in 0..names.len() {
            let path = members[n].folder.join("site.toml");
            let mut text = std::fs::read_to_string(&path).unwrap();
            for m in (0..names.len()).filter(|m| *m != n) {
                let inner = relay_datagrams(&addresses[m].1, &members[m].network);
                let outer = relay_datagrams(&inner, &members[n].network);
                text = text.replace(&format!("RELAY-{n}-{m}"), &outer);
            }
            std::fs::write(path, text).unwrap();
        }
        Site {
            members,
            on_one_core: false,
            clock_offset_s: 0,
            world: world.clone(),
            root: root.to_path_buf(),
        }
    }

    /// Starts a forwarder with the program of the deploy file.
    pub fn start(&mut self, number: usize) {
        let deploy = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).unwrap();
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).unwrap();
        let program = run.split('"').next().unwrap().trim_start_matches("exec ");
        let one_core = if self.on_one_core { one_core() } else { String::new() };
        let run = format!("exec {one_core}{program}");
        let offset = match self.clock_offset_s {
            0 => String::new(),
            seconds => format!(" --clock-offset={seconds}"),
        };
        let member = &mut self.members[number];
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(member.folder.join("log")).unwrap();
        let child = Command::new("/bin/sh")
            .args([
                "-c",
                &format!("{run} serve --site {}{offset}", member.folder.join("site.toml").display()),
            ])
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.world.step(format!("forwarder {} started, process {}", member.name, child.id()));
        member.child = Some(child);
    }

    /// Starts all and waits until each is ready.
    pub fn start_all(&mut self) -> bool {
        (0..self.members.len()).for_each(|n| self.start(n));
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let has_ended =
                |m: &mut Member| m.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)));
            if self.members.iter_mut().any(has_ended) {
                return false;
            }
            if self.members.iter().all(Member::is_ready) {
                self.world.step("all forwarders are ready");
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }

    /// Kills a forwarder with SIGKILL.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.members[number].child.take() {
            self.world.step(format!("forwarder {} gets SIGKILL", self.members[number].name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn log(&self, number: usize) -> String {
        let bytes = std::fs::read(self.members[number].folder.join("log")).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        (0..self.members.len()).for_each(|n| self.kill(n));
    }
}

impl Member {
    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(&self.listen) else { return false };
        let asked = stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n");
        let until = Instant::now() + Duration::from_millis(400);
        asked.is_ok() && matches!(crate::http::read_response(&mut stream, until), Ok(Some((200, _))))
    }
}

/// A message for a partner of the site.
#[derive(Clone, Debug)]
pub struct SiteDraft {
    pub id: String,
    pub class: &'static str,
    pub key: String,
    pub partner: &'static str,
}

/// The answer to a message: the status, and the span that `Retry-After` tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub retry_after: Duration,
}

/// A client of the site with at most one connection at a time.
pub struct SiteClient {
    world: Arc<World>,
    connection: Option<(String, TcpStream)>,
}

impl SiteClient {
    pub fn new(world: &Arc<World>) -> SiteClient {
        SiteClient { world: world.clone(), connection: None }
    }

    /// Hands a message in at an address; none if nothing was answered within 400 ms.
    pub fn hand_in(&mut self, address: &str, draft: &SiteDraft, record: bool) -> Option<Answer> {
        let SiteDraft { id, class, key, partner } = draft;
        if record {
            let submitted = Submitted {
                class: class.to_string(),
                dest: 0,
                idempotency_key: Some(format!("{id}-effect")),
                body: Vec::new(),
            };
            self.world.messages.lock().unwrap().insert(id.clone(), submitted);
            self.world.record(Seen::Sent {
                id: id.clone(),
                class: class.to_string(),
                key: key.clone(),
                dest: 0,
                deadline: 0,
            });
        }
        let answer = self.exchange(address, &format!(
            "POST /{class}/{key} HTTP/1.1\r\nHost: f\r\nX-Request-Id: {id}\r\nX-Partner: {partner}\r\nIdempotency-Key: {id}-effect\r\nContent-Length: 0\r\n\r\n"
        ));
        if answer.is_none() {
            self.connection = None;
        }
        if record {
            let how = if answer.is_some() { "answer" } else { "no answer in time" };
            self.world.record(Seen::Answered { id: id.clone(), status: answer.map_or(0, |a| a.status), how });
        }
        answer
    }

    /// What a forwarder tells of a message: the JSON of `GET /v1/messages/ID`.
    pub fn state_of(&self, address: &str, id: &str) -> Option<String> {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(400))).ok()?;
        let request = format!("GET /v1/messages/{id} HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        text.split_once("\r\n\r\n").map(|(_, body)| body.to_string())
    }

    fn exchange(&mut self, address: &str, request: &str) -> Option<Answer> {
        if self.connection.as_ref().is_some_and(|(to, stream)| to != address || has_ended(stream)) {
            self.connection = None;
        }
        if self.connection.is_none() {
            let stream = TcpStream::connect(address).ok()?;
            stream.set_nodelay(true).ok()?;
            self.connection = Some((address.to_string(), stream));
        }
        let (_, stream) = self.connection.as_mut()?;
        stream.write_all(request.as_bytes()).ok()?;
        let until = Instant::now() + Duration::from_millis(400);
        let mut kept = Vec::new();
        let mut piece = [0; 4096];
        while !kept.windows(4).any(|w| w == b"\r\n\r\n") {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            stream.set_read_timeout(Some(left)).ok()?;
            match stream.read(&mut piece) {
                Ok(0) | Err(_) => return None,
                Ok(count) => kept.extend_from_slice(&piece[..count]),
            }
        }
        let head = String::from_utf8_lossy(&kept).to_ascii_lowercase();
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let seconds = head
            .lines()
            .find_map(|l| l.strip_prefix("retry-after:"))
            .and_then(|v| v.trim().parse::<f64>().ok());
        if head.contains("connection: close") {
            self.connection = None;
        }
        Some(Answer { status, retry_after: Duration::from_secs_f64(seconds.unwrap_or(1.0)) })
    }
}

/// A partner that drops repeats of a key for a while, where it remembers keys.
pub struct Partner {
    /// How long a key is remembered; none if calls carry none that it knows of.
    pub remembers: Option<Millis>,
    /// When each message has run.
    pub runs: Mutex<HashMap<String, Vec<Millis>>>,
    keys: Mutex<HashMap<String, Millis>>,
    /// How long a call takes, by the message's id.
    pub pace: Box<dyn Fn(&str) -> Millis + Send + Sync>,
    /// Whether the answer to a message is never written.
    pub silent: Box<dyn Fn(&str) -> bool + Send + Sync>,
    /// For how much longer the partner is shut, at a time of the case: it answers with 429 and that wait.
    pub shut_for: Box<dyn Fn(Millis) -> Option<Millis> + Send + Sync>,
    /// Whether calls are recorded one by one.
    pub recorded: bool,
}

impl Partner {
    pub fn new(remembers: Option<Millis>) -> Partner {
        Partner {
            remembers,
            runs: Mutex::default(),
            keys: Mutex::default(),
            pace: Box::new(|_| 0),
            silent: Box::new(|_| false),
            shut_for: Box::new(|_| None),
            recorded: true,
        }
    }

    /// Starts it; returns its address.
    pub fn start(self: &Arc<Self>, world: &Arc<World>, name: &'static str) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (partner, world) = (self.clone(), world.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (partner, world) = (partner.clone(), world.clone());
                spawn(move || partner.serve(stream, &world, name));
            }
        });
        address
    }

    fn serve(&self, mut stream: TcpStream, world: &World, name: &str) {
        let _ = stream.set_nodelay(true);
        let mut kept = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut kept) {
            let id = request.header("X-Request-Id").unwrap_or("").to_string();
            let call = world.next_call();
            if self.recorded {
                world.record(Seen::Call { id: id.clone(), target: name.to_string(), call });
            }
            if let Some(wait) = (self.shut_for)(world.now()) {
                world.record(Seen::Wrote { id, target: name.to_string(), call, status: 429, wait });
                if respond(&mut stream, 429, &format!("X-Come-Back-Ms: {wait}\r\n"), "").is_err() {
                    return;
                }
                continue;
            }
            let time = (self.pace)(&id);
            if time > 0 {
                sleep(Duration::from_millis(time));
            }
            let key = request.header("Idempotency-Key").unwrap_or("").to_string();
            if self.runs_anew(&key, world.now()) {
                if self.recorded {
                    world.record(Seen::Ran { id: id.clone(), target: name.to_string(), call });
                }
                self.runs.lock().unwrap().entry(id.clone()).or_default().push(world.now());
            }
            if (self.silent)(&id) {
                while !has_ended(&stream) {
                    sleep(Duration::from_millis(20));
                }
                return;
            }
            if self.recorded {
                world.record(Seen::Wrote { id, target: name.to_string(), call, status: 200, wait: 0 });
            }
            if respond(&mut stream, 200, "", "").is_err() {
                return;
            }
        }
    }

    /// Whether a call takes effect: not if its key is remembered.
    fn runs_anew(&self, key: &str, now: Millis) -> bool {
        let Some(span) = self.remembers else { return true };
        let mut keys = self.keys.lock().unwrap();
        match keys.get(key) {
            Some(since) if now < since + span => false,
            _ => {
                keys.insert(key.to_string(), now);
                true
            }
        }
    }
}
