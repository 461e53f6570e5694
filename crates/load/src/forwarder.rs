//! The forwarder under test: a child process with a new site in a temporary directory.

use foldtrack_control::Client;
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Environment variable with the level of the log; see `docs/operators/logs.md`.
const LOG_VARIABLE: &str = "FOLDTRACK_LOG";
/// Maximum time until the forwarder accepts connections.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A partner for the site file.
#[derive(Clone, Debug)]
pub struct ListedPartner {
    /// The partner's name.
    pub name: String,
    /// The address of its only endpoint.
    pub address: SocketAddr,
    /// Its limit in calls per second; none if the site file states none.
    pub rate: Option<f64>,
}

/// A running forwarder. Dropping it kills the process and removes its directory.
#[derive(Debug)]
pub struct Forwarder {
    child: Child,
    /// The address for clients.
    pub listen: SocketAddr,
    directory: TempDir,
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An error text that starts with the failed operation.
fn describe(operation: &str, error: &dyn std::fmt::Display) -> String {
    format!("{operation}: {error}")
}

impl Forwarder {
    /// Starts a program as a forwarder for these partners and waits until it accepts connections. `settings` is the part of
    /// the site file from the rest of `[site]` to the partners: classes and limits.
    ///
    /// # Errors
    /// The operation that failed and why, in one line.
    pub fn start(
        program: &Path, name: &str, partners: &[ListedPartner], settings: &str,
    ) -> Result<Forwarder, String> {
        let directory =
            tempfile::tempdir().map_err(|e| describe("cannot create a temporary directory", &e))?;
        let listen = free_address().map_err(|e| describe("cannot find a free port", &e))?;
        let state = directory.path().join("state");
        let mut text =
            format!("[site]\nname = {name:?}\nlisten = \"{listen}\"\nstate = {state:?}\n{settings}\n");
        for partner in partners {
            let ListedPartner { name, address, rate } = partner;
            let rate = rate.map_or(String::new(), |r| format!("rate = \"{r} msgs/s\"\n"));
            let _ = write!(
                text,
                "\n[partner.{name}]\n{rate}[partner.{name}.endpoint.{name}-1]\naddress = \"{address}\"\n"
            );
        }
        let file = directory.path().join("site.toml");
        std::fs::write(&file, text).map_err(|e| describe("cannot write the site file", &e))?;
        let mut command = Command::new(program);
        command.args(["serve", "--site"]).arg(&file).stdin(Stdio::null());
        if std::env::var_os(LOG_VARIABLE).is_none() {
            command.env(LOG_VARIABLE, "warn");
        }
        let child = command.spawn().map_err(|e| describe("cannot start the forwarder", &e))?;
        let forwarder = Forwarder { child, listen, directory };
        let ready_by = Instant::now() + START_TIMEOUT;
        while TcpStream::connect(listen).is_err() {
            if Instant::now() > ready_by {
                return Err(format!("the forwarder did not accept connections within {START_TIMEOUT:?}"));
            }
            sleep(Duration::from_millis(20));
        }
        Ok(forwarder)
    }

    /// Connects to the control socket.
    ///
    /// # Errors
    /// Why the connection failed, in one line.
    pub fn control(&self) -> Result<Client, String> {
        let socket = self.directory.path().join("state/control.sock");
        Client::connect(&socket).map_err(|e| e.to_string())
    }
}

/// An address on the loopback interface with a free port.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
