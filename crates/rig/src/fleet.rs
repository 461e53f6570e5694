//! Forwarders as processes, each on a folder of its own, with relays on every link.

use crate::fleet_permit::FleetPermit;
use crate::net::Network;
use crate::scenario::{forwarder, Clock};
use foldtrack_control::{Ask, Client, Endpoint, Peers, SiteState, Status, Told};
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

/// How long a start may take until the control line is there.
const READY: Duration = Duration::from_secs(20);

/// A partner as the site files have it: its endpoints, and further lines.
#[derive(Clone, Debug)]
pub struct PartnerEntry {
    /// Its name.
    pub name: String,
    /// Its endpoints' names, each with where it truly listens.
    pub endpoints: Vec<(String, SocketAddr)>,
    /// Lines of `[partner.NAME]`.
    pub lines: String,
}

/// What all site files of a fleet share.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// How many forwarders.
    pub forwarders: usize,
    /// Their partners.
    pub partners: Vec<PartnerEntry>,
    /// Classes, limits and more, as the site file has them.
    pub top: String,
    /// Whether they know of each other.
    pub peers: bool,
    /// Further lines of `[peers]`.
    pub peers_lines: String,
    /// Clocks that are not as others are.
    pub clocks: BTreeMap<String, Clock>,
}

/// What a folder is to be at a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateFolder {
    /// As it was left.
    Existing,
    /// Empty.
    Empty,
    /// The copy that was made last.
    Backup,
}

/// One forwarder.
pub struct Forwarder {
    /// Its name.
    pub name: String,
    /// Where its clients connect.
    pub listen: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
    clock: Clock,
    /// When its folder was last replaced by another: what it held before is gone with it.
    pub replaced: Option<Instant>,
    /// When each of its processes was started.
    pub starts: Vec<Instant>,
    stopped: bool,
    ending: bool,
}

/// A fleet. Its processes and folders go with it.
pub struct Fleet {
    program: PathBuf,
    /// Its links.
    pub net: Network,
    /// Its forwarders.
    pub forwarders: Vec<Forwarder>,
    folder: TempDir,
    /// The last to go: the processes have ended before another fleet starts.
    _stage: FleetPermit,
}

/// A port of a host that no other fleet uses.
///
/// # Errors
/// There is none.
pub fn unique_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let host = NEXT.fetch_add(1, Ordering::Relaxed) % 250 + 1;
    let part = std::process::id() as usize % 250;
    TcpListener::bind(format!("127.81.{part}.{host}:0"))?.local_addr()
}

fn copy(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        let kind = entry.file_type()?;
        if kind.is_dir() {
            copy(&entry.path(), &to.join(entry.file_name()))?;
        } else if kind.is_file() {
            fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}

impl Fleet {
    /// Writes the site files and makes the relays; nothing runs yet. Waits where as many fleets run as the machine has room for.
    ///
    /// # Errors
    /// What could not be had, in a line.
    pub fn prepare(program: &Path, plan: &FleetConfig, seed: u64) -> Result<Fleet, String> {
        let stage = FleetPermit::free();
        let told = |e: io::Error| format!("the fleet: {e}");
        let folder = tempfile::tempdir().map_err(told)?;
        let mut net = Network::new(seed).map_err(told)?;
        fs::write(folder.path().join("secret"), format!("{:032x}", seed ^ 0x5eed)).map_err(told)?;
        let names: Vec<String> = (0..plan.forwarders).map(forwarder).collect();
        let mut listens = Vec::new();
        for _ in &names {
            listens.push((unique_address().map_err(told)?, unique_address().map_err(told)?));
        }
        let mut forwarders = Vec::new();
        for (n, name) in names.iter().enumerate() {
            let own = folder.path().join(name);
            fs::create_dir_all(&own).map_err(told)?;
            let (listen, datagrams) = listens[n];
            let state = own.join("state");
            let mut text = format!(
                "[site]\nname = \"{name}\"\nlisten = \"{listen}\"\nstate = {state:?}\n{}\n",
                plan.top
            );
            for partner in &plan.partners {
                let _ = write!(text, "[partner.{}]\n{}\n", partner.name, partner.lines);
                for (endpoint, address) in &partner.endpoints {
                    let relay = net.streams(name, endpoint, *address).map_err(told)?;
                    let _ = write!(
                        text,
                        "[partner.{}.endpoint.{endpoint}]\naddress = \"{relay}\"\n",
                        partner.name
                    );
                }
            }
            if plan.peers {
                let secret = folder.path().join("secret");
                let _ = write!(
                    text,
                    "[peers]\nname = \"{name}\"\nlisten = \"{datagrams}\"\nsecret-file = {secret:?}\n{}\n",
                    plan.peers_lines
                );
                for (m, other) in names.iter().enumerate().filter(|(m, _)| *m != n) {
                    let relay = net.datagrams(name, other, listens[m].1).map_err(told)?;
                    let _ = write!(text, "[peers.member.{other}]\naddress = \"{relay}\"\n");
                }
            }
            fs::write(own.join("site.toml"), text).map_err(told)?;
            forwarders.push(Forwarder {
                name: name.clone(),
                listen,
                folder: own,
                child: None,
                clock: plan.clocks.get(name).copied().unwrap_or_default(),
                replaced: None,
                starts: Vec::new(),
                stopped: false,
                ending: false,
            });
        }
        Ok(Fleet { program: program.to_path_buf(), net, forwarders, folder, _stage: stage })
    }

    /// Starts all, and waits until each answers that it is ready.
    ///
    /// # Errors
    /// One does not.
    pub fn start_all(&mut self) -> Result<(), String> {
        for forwarder in &mut self.forwarders {
            forwarder.start(&self.program, StateFolder::Existing)?;
        }
        let by = Instant::now() + READY;
        for forwarder in &self.forwarders {
            while !forwarder.is_healthy() {
                if Instant::now() > by {
                    return Err(format!(
                        "{} is not ready within {READY:?}:\n{}",
                        forwarder.name,
                        forwarder.log()
                    ));
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        }
        Ok(())
    }

    /// The place of a forwarder.
    ///
    /// # Errors
    /// There is none of that name.
    pub fn index_of(&self, name: &str) -> Result<usize, String> {
        let place = self.forwarders.iter().position(|f| f.name == name);
        place.ok_or_else(|| format!("there is no forwarder {name}; the story needs more of them"))
    }

    /// Starts one again.
    ///
    /// # Errors
    /// It does not come up.
    pub fn start(&mut self, place: usize, folder: StateFolder) -> Result<(), String> {
        self.forwarders[place].start(&self.program, folder)
    }

    /// Where all of it stands.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }
}

impl Forwarder {
    fn state(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Its site file.
    pub fn site(&self) -> PathBuf {
        self.folder.join("site.toml")
    }

    /// The end of what it has written to standard error.
    pub fn log(&self) -> String {
        let text = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(30)..].join("\n")
    }

    /// Everything that it has written to standard error.
    pub fn full_log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    fn start(&mut self, program: &Path, folder: StateFolder) -> Result<(), String> {
        self.kill();
        let name = self.name.clone();
        let told = |e: io::Error| format!("{name}: {e}");
        let (state, backup) = (self.state(), self.folder.join("backup"));
        if folder != StateFolder::Existing {
            let _ = fs::remove_dir_all(&state);
            self.replaced = Some(Instant::now());
        }
        if folder == StateFolder::Backup {
            copy(&backup, &state).map_err(told)?;
        }
        let log = File::options().create(true).append(true).open(self.folder.join("log")).map_err(told)?;
        let mut command = Command::new(program);
        command.args(["serve", "--end-with-input", "--site"]).arg(self.site());
        // It goes with the rig, however that ends: its end of the pipe goes with the process.
        command.env_clear().stdin(Stdio::piped());
        if self.clock != Clock::default() {
            command.arg(format!("--clock-offset={}", self.clock.offset));
            command.arg(format!("--clock-rate={}", self.clock.rate));
        }
        self.starts.push(Instant::now());
        let child = command.stdout(Stdio::null()).stderr(log).spawn().map_err(told)?;
        self.child = Some(child);
        let by = Instant::now() + READY;
        while TcpStream::connect(self.listen).is_err() {
            if Instant::now() > by || !self.is_running() {
                return Err(format!("{} does not come up:\n{}", self.name, self.log()));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// Copies its folder as it stands, as a backup tool does: file by file, while it runs.
    ///
    /// # Errors
    /// A file could not be copied.
    pub fn backup(&self) -> Result<(), String> {
        let to = self.folder.join("backup");
        let _ = fs::remove_dir_all(&to);
        copy(&self.state(), &to).map_err(|e| format!("the copy of {}: {e}", self.name))
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|c| Pid::from_raw(c.id() as i32));
        if let Some(pid) = pid {
            // It may have ended by itself.
            let _ = kill_process(pid, signal);
        }
    }

    /// SIGKILL, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        (self.stopped, self.ending) = (false, false);
    }

    /// SIGTERM.
    pub fn terminate(&mut self) {
        self.ending = true;
        self.signal(Signal::TERM);
    }

    /// Waits for the end of a process that was told to end.
    pub fn wait_for_end(&mut self) {
        let by = Instant::now() + READY;
        while self.ending && self.is_running() && Instant::now() < by {
            std::thread::sleep(Duration::from_millis(10));
        }
        self.ending = false;
    }

    /// SIGSTOP.
    pub fn stop(&mut self) {
        self.stopped = true;
        self.signal(Signal::STOP);
    }

    /// SIGCONT.
    pub fn resume(&mut self) {
        self.stopped = false;
        self.signal(Signal::CONT);
    }

    /// Whether it has been stopped.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Whether its process is there.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| c.try_wait().is_ok_and(|ended| ended.is_none()))
    }

    /// Process id.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether `/healthz` says that it is ready.
    pub fn is_healthy(&self) -> bool {
        self.get("/healthz").is_some_and(|(status, _)| status == 200)
    }

    /// Asks its listener: status and body.
    pub fn get(&self, path: &str) -> Option<(u16, String)> {
        get(self.listen, path)
    }

    /// Asks its control line.
    ///
    /// # Errors
    /// It does not answer, or refuses.
    pub fn ask(&self, ask: Ask) -> Result<Told, String> {
        let socket = self.state().join("control.sock");
        let mut client = Client::connect(&socket).map_err(|e| e.to_string())?;
        client.ask(ask).map_err(|e| e.to_string())
    }

    /// Its endpoints by name; none if it does not answer.
    pub fn endpoints(&self) -> Option<BTreeMap<String, Endpoint>> {
        match self.ask(Ask::Endpoints) {
            Ok(Told::Endpoints(all)) => Some(all.into_iter().map(|e| (e.name.clone(), e)).collect()),
            _ => None,
        }
    }

    /// What it has of the site's orders.
    pub fn site_state(&self) -> Option<SiteState> {
        match self.ask(Ask::State) {
            Ok(Told::State(state)) => Some(*state),
            _ => None,
        }
    }

    /// How it sees the others.
    pub fn peers(&self) -> Option<Peers> {
        match self.ask(Ask::Peers) {
            Ok(Told::Peers(peers)) => Some(*peers),
            _ => None,
        }
    }

    /// Its figures.
    pub fn status(&self) -> Option<Status> {
        match self.ask(Ask::Status) {
            Ok(Told::Status(status)) => Some(*status),
            _ => None,
        }
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Asks a listener: status and body.
pub fn get(to: SocketAddr, path: &str) -> Option<(u16, String)> {
    use std::io::{Read, Write};
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    Some((status, answer.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_string()))
}
