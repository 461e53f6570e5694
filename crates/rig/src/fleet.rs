//! Runs forwarders as processes, each with its own folder, and with a relay on every link.

use crate::fleet_permit::FleetPermit;
use crate::net::Network;
use crate::scenario::{forwarder, Clock};
use foldtrack_control::{Client, ControlCommand, ControlResponse, Endpoint, Peers, SiteState, Status};
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// How long a forwarder may take to start or to stop.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A partner in the site files.
#[derive(Clone, Debug)]
pub struct PartnerEntry {
    /// Name of the partner.
    pub name: String,
    /// Name of each endpoint, and the address it listens on behind its relay.
    pub endpoints: Vec<(String, SocketAddr)>,
    /// Additional lines of `[partner.NAME]`.
    pub lines: String,
}

/// What the site files of a fleet have in common.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of forwarders.
    pub forwarders: usize,
    /// Partners of every forwarder.
    pub partners: Vec<PartnerEntry>,
    /// Text after `[site]` in every site file: classes, limits and more.
    pub top: String,
    /// Whether the forwarders are peers of each other.
    pub peers: bool,
    /// Additional lines of `[peers]`.
    pub peers_lines: String,
    /// Clocks with an offset or another rate, by forwarder.
    pub clocks: BTreeMap<String, Clock>,
}

/// The state folder that a forwarder starts with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateFolder {
    /// The folder that the previous process left.
    Existing,
    /// An empty folder.
    Empty,
    /// The most recent copy made by [`Forwarder::backup`].
    Backup,
}

/// A forwarder of a fleet.
pub struct Forwarder {
    /// Name of the forwarder.
    pub name: String,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
    clock: Clock,
    /// When its state folder was last replaced by another. Messages that it held before are lost with the old folder.
    pub replaced: Option<Instant>,
    /// Start time of each of its processes.
    pub starts: Vec<Instant>,
    /// Whether SIGSTOP was the last signal that stopped or resumed it.
    stopped: bool,
    /// Whether it was sent SIGTERM.
    terminating: bool,
}

/// A fleet of forwarders. Dropping it kills the processes and removes the folders.
pub struct Fleet {
    program: PathBuf,
    /// Relays of all links.
    pub net: Network,
    /// The forwarders, by index.
    pub forwarders: Vec<Forwarder>,
    folder: TempDir,
    /// Declared last so that it is dropped last: all processes have ended before another fleet starts.
    _permit: FleetPermit,
}

/// Returns a free port at a loopback address that no other fleet uses.
///
/// # Errors
/// No port is available.
pub fn unique_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let host = NEXT.fetch_add(1, Ordering::Relaxed) % 250 + 1;
    let part = std::process::id() as usize % 250;
    TcpListener::bind(format!("127.81.{part}.{host}:0"))?.local_addr()
}

fn copy_folder(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let kind = entry.file_type()?;
        if kind.is_dir() {
            copy_folder(&entry.path(), &to.join(entry.file_name()))?;
        } else if kind.is_file() {
            fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}

impl Fleet {
    /// Writes the site files and starts the relays, but no forwarder yet. Waits while as many fleets run as the machine can carry.
    ///
    /// # Errors
    /// Names the resource that is not available.
    pub fn prepare(program: &Path, config: &FleetConfig, seed: u64) -> Result<Fleet, String> {
        let permit = FleetPermit::acquire();
        let error = |e: io::Error| format!("could not prepare the fleet: {e}");
        let folder = tempfile::tempdir().map_err(error)?;
        let mut net = Network::new(seed).map_err(error)?;
        fs::write(folder.path().join("secret"), format!("{:032x}", seed ^ 0x5eed)).map_err(error)?;
        let names: Vec<String> = (0..config.forwarders).map(forwarder).collect();
        let mut addresses = Vec::new();
        for _ in &names {
            addresses.push((unique_address().map_err(error)?, unique_address().map_err(error)?));
        }
        let mut forwarders = Vec::new();
        for (n, name) in names.iter().enumerate() {
            let own_folder = folder.path().join(name);
            fs::create_dir_all(&own_folder).map_err(error)?;
            let (listen, peer_address) = addresses[n];
            let state = own_folder.join("state");
            let mut text = format!(
                "[site]\nname = \"{name}\"\nlisten = \"{listen}\"\nstate = {state:?}\n{}\n",
                config.top
            );
            for partner in &config.partners {
                let _ = write!(text, "[partner.{}]\n{}\n", partner.name, partner.lines);
                for (endpoint, address) in &partner.endpoints {
                    let relay = net.streams(name, endpoint, *address).map_err(error)?;
                    let _ = write!(
                        text,
                        "[partner.{}.endpoint.{endpoint}]\naddress = \"{relay}\"\n",
                        partner.name
                    );
                }
            }
            if config.peers {
                let secret = folder.path().join("secret");
                let _ = write!(
                    text,
                    "[peers]\nname = \"{name}\"\nlisten = \"{peer_address}\"\nsecret-file = {secret:?}\n{}\n",
                    config.peers_lines
                );
                for (m, other) in names.iter().enumerate().filter(|(m, _)| *m != n) {
                    let relay = net.datagrams(name, other, addresses[m].1).map_err(error)?;
                    let _ = write!(text, "[peers.member.{other}]\naddress = \"{relay}\"\n");
                }
            }
            fs::write(own_folder.join("site.toml"), text).map_err(error)?;
            forwarders.push(Forwarder {
                name: name.clone(),
                listen,
                folder: own_folder,
                child: None,
                clock: config.clocks.get(name).copied().unwrap_or_default(),
                replaced: None,
                starts: Vec::new(),
                stopped: false,
                terminating: false,
            });
        }
        Ok(Fleet { program: program.to_path_buf(), net, forwarders, folder, _permit: permit })
    }

    /// Starts all forwarders and waits until each is ready.
    ///
    /// # Errors
    /// A forwarder does not start or does not become ready in time.
    pub fn start_all(&mut self) -> Result<(), String> {
        for forwarder in &mut self.forwarders {
            forwarder.start(&self.program, StateFolder::Existing)?;
        }
        let deadline = Instant::now() + START_TIMEOUT;
        for forwarder in &self.forwarders {
            while !forwarder.is_healthy() {
                if Instant::now() > deadline {
                    return Err(format!(
                        "{} was not ready within {START_TIMEOUT:?}:\n{}",
                        forwarder.name,
                        forwarder.log()
                    ));
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        }
        Ok(())
    }

    /// Returns the index of a forwarder.
    ///
    /// # Errors
    /// There is no forwarder with this name.
    pub fn index_of(&self, name: &str) -> Result<usize, String> {
        let index = self.forwarders.iter().position(|f| f.name == name);
        index.ok_or_else(|| format!("there is no forwarder {name}; the scenario needs more forwarders"))
    }

    /// Restarts a forwarder.
    ///
    /// # Errors
    /// The forwarder does not start.
    pub fn start(&mut self, index: usize, folder: StateFolder) -> Result<(), String> {
        self.forwarders[index].start(&self.program, folder)
    }

    /// The folder that holds the folders of all forwarders.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }
}

impl Forwarder {
    fn state(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Path of its site file.
    pub fn site(&self) -> PathBuf {
        self.folder.join("site.toml")
    }

    /// The last 30 lines of its standard error.
    pub fn log(&self) -> String {
        let text = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(30)..].join("\n")
    }

    /// All of its standard error.
    pub fn full_log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    fn start(&mut self, program: &Path, folder: StateFolder) -> Result<(), String> {
        self.kill();
        let name = self.name.clone();
        let error = |e: io::Error| format!("{name}: {e}");
        let (state, backup) = (self.state(), self.folder.join("backup"));
        if folder != StateFolder::Existing {
            let _ = fs::remove_dir_all(&state);
            self.replaced = Some(Instant::now());
        }
        if folder == StateFolder::Backup {
            copy_folder(&backup, &state).map_err(error)?;
        }
        let log = File::options().create(true).append(true).open(self.folder.join("log")).map_err(error)?;
        let mut command = Command::new(program);
        command.args(["serve", "--end-with-input", "--site"]).arg(self.site());
        // The forwarder ends with the rig, however the rig ends: the pipe on its standard input is closed with the rig's process.
        command.env_clear().stdin(Stdio::piped());
        if self.clock != Clock::default() {
            command.arg(format!("--clock-offset={}", self.clock.offset));
            command.arg(format!("--clock-rate={}", self.clock.rate));
        }
        self.starts.push(Instant::now());
        let child = command.stdout(Stdio::null()).stderr(log).spawn().map_err(error)?;
        self.child = Some(child);
        let deadline = Instant::now() + START_TIMEOUT;
        while TcpStream::connect(self.listen).is_err() {
            if Instant::now() > deadline || !self.is_running() {
                return Err(format!("{} did not start:\n{}", self.name, self.log()));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// Copies its state folder as a backup tool does: file by file, while the process runs.
    ///
    /// # Errors
    /// A file could not be copied.
    pub fn backup(&self) -> Result<(), String> {
        let to = self.folder.join("backup");
        let _ = fs::remove_dir_all(&to);
        copy_folder(&self.state(), &to)
            .map_err(|e| format!("could not copy the state folder of {}: {e}", self.name))
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|c| Pid::from_raw(c.id() as i32));
        if let Some(pid) = pid {
            // The process may have exited by itself.
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGKILL and waits for the process to exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        (self.stopped, self.terminating) = (false, false);
    }

    /// Sends SIGTERM.
    pub fn terminate(&mut self) {
        self.terminating = true;
        self.signal(Signal::TERM);
    }

    /// Waits until a process that was sent SIGTERM has exited.
    pub fn wait_for_exit(&mut self) {
        let deadline = Instant::now() + START_TIMEOUT;
        while self.terminating && self.is_running() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(10));
        }
        self.terminating = false;
    }

    /// Sends SIGSTOP.
    pub fn stop(&mut self) {
        self.stopped = true;
        self.signal(Signal::STOP);
    }

    /// Sends SIGCONT.
    pub fn resume(&mut self) {
        self.stopped = false;
        self.signal(Signal::CONT);
    }

    /// Whether it is stopped by SIGSTOP.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Whether its process is running.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| c.try_wait().is_ok_and(|ended| ended.is_none()))
    }

    /// Id of its process, if it was started.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether `/healthz` answers with 200.
    pub fn is_healthy(&self) -> bool {
        self.get("/healthz").is_some_and(|(status, _)| status == 200)
    }

    /// Sends a GET request to its client listener and returns the status and body.
    pub fn get(&self, path: &str) -> Option<(u16, String)> {
        get(self.listen, path)
    }

    /// Sends a command to its control socket.
    ///
    /// # Errors
    /// The forwarder does not respond, or refuses the command.
    pub fn ask(&self, command: ControlCommand) -> Result<ControlResponse, String> {
        let socket = self.state().join("control.sock");
        let mut client = Client::connect(&socket).map_err(|e| e.to_string())?;
        client.request(command).map_err(|e| e.to_string())
    }

    /// Its endpoints by name; `None` if it does not respond.
    pub fn endpoints(&self) -> Option<BTreeMap<String, Endpoint>> {
        match self.ask(ControlCommand::Endpoints) {
            Ok(ControlResponse::Endpoints(all)) => {
                Some(all.into_iter().map(|e| (e.name.clone(), e)).collect())
            }
            _ => None,
        }
    }

    /// Its state of the site's orders; `None` if it does not respond.
    pub fn site_state(&self) -> Option<SiteState> {
        match self.ask(ControlCommand::State) {
            Ok(ControlResponse::State(state)) => Some(*state),
            _ => None,
        }
    }

    /// Its view of its peers; `None` if it does not respond.
    pub fn peers(&self) -> Option<Peers> {
        match self.ask(ControlCommand::Peers) {
            Ok(ControlResponse::Peers(peers)) => Some(*peers),
            _ => None,
        }
    }

    /// Its status figures; `None` if it does not respond.
    pub fn status(&self) -> Option<Status> {
        match self.ask(ControlCommand::Status) {
            Ok(ControlResponse::Status(status)) => Some(*status),
            _ => None,
        }
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a GET request and returns the status and body; `None` if there is no complete response.
pub fn get(to: SocketAddr, path: &str) -> Option<(u16, String)> {
    use std::io::{Read, Write};
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut response = String::new();
    stream.read_to_string(&mut response).ok()?;
    let status = response.split(' ').nth(1)?.parse().ok()?;
    Some((status, response.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_string()))
}
