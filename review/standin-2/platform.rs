//! The agent of discovery on the forwarder's machine, and the forwarder as a process.

use crate::http::{read_request, respond};
use crate::world::{own_host, Entry, Seen, World};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Starts the agent; returns its address.
pub fn start_agent(world: &Arc<World>) -> String {
    start_agent_until(world, &Arc::default())
}

/// Starts an agent that answers nothing any more once it is told that discovery has moved.
pub fn start_agent_until(world: &Arc<World>, moved: &Arc<AtomicBool>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (world, moved) = (world.clone(), moved.clone());
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (world, moved) = (world.clone(), moved.clone());
            spawn(move || serve_agent(stream, &world, &moved));
        }
    });
    address
}

fn serve_agent(mut stream: TcpStream, world: &World, moved: &AtomicBool) {
    let _ = stream.set_nodelay(true);
    let mut kept = Vec::new();
    while let Ok(Some(request)) = read_request(&mut stream, &mut kept) {
        if moved.load(Ordering::SeqCst) {
            sleep(Duration::from_secs(30));
            return;
        }
        if request.method == "POST" {
            let text = String::from_utf8_lossy(&request.body).into_owned();
            let lines: Vec<_> = text.lines().map(|l| (field(l, "message"), field(l, "outcome"))).collect();
            for (id, outcome) in lines {
                world.record(Seen::Notice { id, outcome });
            }
            if respond(&mut stream, 204, "", "").is_err() {
                return;
            }
            continue;
        }
        let query = |name: &str| {
            let pairs = request.path.split_once('?').map_or("", |(_, query)| query).split('&');
            let value = pairs.filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name);
            value.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let is_down = || world.discovery_down.load(Ordering::SeqCst);
        if is_down() {
            // Silent: the connection stays open and nothing is answered.
            while is_down() {
                sleep(Duration::from_millis(20));
            }
            return;
        }
        let answer = match query("since") {
            None => world.list_text(),
            Some(since) => {
                let wait = query("timeout_ms").unwrap_or(0).min(60_000);
                world.wait_for_change(since, Duration::from_millis(wait))
            }
        };
        if is_down() || moved.load(Ordering::SeqCst) || respond(&mut stream, 200, "", &answer).is_err() {
            return;
        }
    }
}

/// The value of a string field of a line of JSON.
fn field(line: &str, name: &str) -> String {
    let after = line.split_once(&format!("\"{name}\":\"")).map_or("", |(_, rest)| rest);
    after.split('"').next().unwrap_or("").to_string()
}

/// What differs between the deployments of the cases.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Number of forwarders.
    pub forwarders: u32,
    pub slots: u32,
    pub max_open: u32,
    pub deadline_ms: u64,
    pub window_ms: u64,
    pub memory_mb: u32,
    pub sockets: u32,
    pub disk_mb: u32,
    pub weight_source: &'static str,
}

impl Default for Deployment {
    fn default() -> Deployment {
        Deployment {
            forwarders: 1,
            slots: 28,
            max_open: 519,
            deadline_ms: 24_000,
            window_ms: 10_000,
            memory_mb: 192,
            sockets: 1024,
            disk_mb: 3,
            weight_source: "nominal",
        }
    }
}

impl Deployment {
    fn settings(&self) -> String {
        let Deployment { forwarders, slots, max_open, deadline_ms, window_ms, weight_source, .. } = self;
        format!(
            r#"{{"balancers":{forwarders},"categories":[
            {{"aim":3000000,"deadline":{deadline_ms}000,"effect":"by_key","group":"all","late_value":0.5,"name":"submission-update","one_at_a_time":true,"streaming":false,"window":{window_ms}000,"worth":1.0}},
            {{"aim":3000000,"deadline":{deadline_ms}000,"effect":"once","group":"all","late_value":0.4,"name":"fee-payment","streaming":false,"window":5000000,"worth":3.0}},
            {{"aim":3000000,"deadline":{deadline_ms}000,"effect":"repeatable","group":"all","late_value":0.5,"name":"notice","streaming":false,"window":0,"worth":1.0}}],
            "contract":{{"answer_slack":20000,"ask_within":10000000,"cold_from":0.16,"order_pause":100000,"ramp_time":14000000,"stop_sending_within":2000000,"tip_after":2000000,"tip_multiple":2.5}},
            "dcs":["z"],"discovery":"pushed","family":"deliver",
            "family_info":{{"batch_by_kind":[1],"decay":"linear","own_limits":[false],"refused_price":0.05,"slots":{slots},"zone_fee":[0.0]}},
            "limits":{{"conn_idle":15000000,"dial_timeout":1000000,"max_open":{max_open},"max_retry_after":2000000,"may_cancel":true,"may_duplicate":false,"may_probe":false,"retry_after":false,"streams_per_conn":1,"try_limit":8}},
            "machine_types":["k"],"report":{{"fields":["x0","x1"],"source":"inline"}},"tick":5000,"weight_source":"{weight_source}"}}"#
        )
    }
}

/// A forwarder: its folders, its address and its process.
pub struct Forwarder {
    name: String,
    pub listen: String,
    world: Arc<World>,
    folder: PathBuf,
    root: PathBuf,
    agent: String,
    deployment: Deployment,
    child: Option<Child>,
}

impl Forwarder {
    /// Prepares the folders. `known` is the list that the platform writes into the configuration.
    pub fn new(
        name: &str, world: &Arc<World>, root: &Path, folder: &Path, agent: &str, deployment: Deployment,
    ) -> Forwarder {
        let listener = TcpListener::bind(format!("{}:0", own_host())).unwrap();
        let listen = listener.local_addr().unwrap().to_string();
        std::fs::create_dir_all(folder.join("state")).unwrap();
        let forwarder = Forwarder {
            name: name.to_string(),
            listen,
            world: world.clone(),
            folder: folder.to_path_buf(),
            root: root.to_path_buf(),
            agent: agent.to_string(),
            deployment,
            child: None,
        };
        forwarder.write_config(&world.list_text());
        forwarder
    }

    /// Writes the configuration file with this list of known targets.
    pub fn write_config(&self, known: &str) {
        let Deployment { memory_mb, sockets, disk_mb, .. } = &self.deployment;
        let config = format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets},"disk_mb":{disk_mb}}},"known":{known},"settings":{}}}"#,
            self.name,
            self.listen,
            self.agent,
            self.deployment.settings()
        );
        std::fs::write(self.folder.join("config.json"), config).unwrap();
    }

    /// Starts the process by the `run` line of the deploy file.
    pub fn start(&mut self) {
        let deploy = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).unwrap();
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).unwrap();
        let run = run.split('"').next().unwrap().to_string();
        let temporary = self.folder.join("tmp");
        let _ = std::fs::remove_dir_all(&temporary);
        std::fs::create_dir_all(&temporary).unwrap();
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log")).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(&self.root)
            .env("BALANCER_NAME", &self.name)
            .env("BALANCER_LISTEN", &self.listen)
            .env("BALANCER_DISCOVERY", &self.agent)
            .env("BALANCER_STATE", self.folder.join("state"))
            .env("BALANCER_CONFIG", self.folder.join("config.json"))
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        self.world.step(format!("forwarder started, process {}", child.id()));
        self.child = Some(child);
    }

    /// Waits until `GET /healthz` is answered with 200. False after 30 seconds, or if the process has ended.
    pub fn wait_until_ready(&mut self) -> bool {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until && !self.has_ended() {
            if self.is_healthy() {
                self.world.record(Seen::Ready);
                return true;
            }
            sleep(Duration::from_millis(10));
        }
        false
    }

    fn is_healthy(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(&self.listen) else { return false };
        let asked =
            stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
        let until = Instant::now() + Duration::from_millis(400);
        asked.is_ok() && matches!(crate::http::read_response(&mut stream, until), Ok(Some((200, _))))
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", child.id())]).status();
        if name == "TERM" {
            self.world.record(Seen::Down);
        }
        self.world.step(format!("forwarder got SIG{name}"));
    }

    /// Moves discovery to another address: a new configuration, and SIGHUP.
    pub fn move_discovery(&mut self, agent: &str) {
        self.agent = agent.to_string();
        self.write_config(&self.world.list_text());
        self.signal("HUP");
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.world.record(Seen::Down);
            self.world.step("SIGKILL");
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The folder that lasts.
    pub fn state_folder(&self) -> PathBuf {
        self.folder.join("state")
    }

    pub fn log(&self) -> String {
        std::fs::read(self.folder.join("log"))
            .map_or(String::new(), |b| String::from_utf8_lossy(&b).into_owned())
    }
}

/// Bytes in a folder, each file in whole 512 bytes.
pub fn folder_bytes(folder: &Path) -> u64 {
    fn count(folder: &Path) -> u64 {
        let Ok(entries) = std::fs::read_dir(folder) else { return 0 };
        let bytes = |path: PathBuf| match path.is_dir() {
            true => count(&path),
            false => path.metadata().map_or(0, |m| m.len().div_ceil(512) * 512),
        };
        entries.flatten().map(|entry| bytes(entry.path())).sum()
    }
    count(folder)
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An entry of the list for a target that is active.
pub fn entry(id: &str, address: &str, cell: u32, weight: f64) -> Entry {
    Entry { id: id.into(), address: address.into(), cell, state: "active", weight, started_ms: 0 }
}
