//! The forwarder under test, as a process on a fresh site.

use foldtrack_control::Client;
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// How long the start may take.
const READY: Duration = Duration::from_secs(20);

/// A partner as the site file is to have it.
#[derive(Clone, Debug)]
pub struct ListedPartner {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Calls a second that it names as its limit.
    pub rate: Option<f64>,
}

/// A forwarder that ends with this value, and its folder with it.
#[derive(Debug)]
pub struct Forwarder {
    child: Child,
    /// Where clients connect.
    pub listen: SocketAddr,
    folder: TempDir,
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn told(what: &str, error: &dyn std::fmt::Display) -> String {
    format!("{what}: {error}")
}

impl Forwarder {
    /// Starts a program as a forwarder for these partners. `top` is the text of the site file for classes and limits.
    ///
    /// # Errors
    /// What could not be done, in a line.
    pub fn start(
        program: &Path, name: &str, partners: &[ListedPartner], top: &str,
    ) -> Result<Forwarder, String> {
        let folder = tempfile::tempdir().map_err(|e| told("a folder", &e))?;
        let listen = free_address().map_err(|e| told("a port", &e))?;
        let state = folder.path().join("state");
        let mut text = format!("[site]\nname = {name:?}\nlisten = \"{listen}\"\nstate = {state:?}\n{top}\n");
        for partner in partners {
            let ListedPartner { name, address, rate } = partner;
            let rate = rate.map_or(String::new(), |r| format!("rate = \"{r} msgs/s\"\n"));
            let _ = write!(
                text,
                "\n[partner.{name}]\n{rate}[partner.{name}.endpoint.{name}-1]\naddress = \"{address}\"\n"
            );
        }
        let file = folder.path().join("site.toml");
        std::fs::write(&file, text).map_err(|e| told("the site file", &e))?;
        let mut command = Command::new(program);
        command.args(["serve", "--site"]).arg(&file).stdin(Stdio::null());
        let child = command.spawn().map_err(|e| told("the forwarder", &e))?;
        let forwarder = Forwarder { child, listen, folder };
        let by = Instant::now() + READY;
        while TcpStream::connect(listen).is_err() {
            if Instant::now() > by {
                return Err(format!("the forwarder is not ready within {READY:?}"));
            }
            sleep(Duration::from_millis(20));
        }
        Ok(forwarder)
    }

    /// A connection to its control line.
    ///
    /// # Errors
    /// Why there is none, in a line.
    pub fn control(&self) -> Result<Client, String> {
        let socket = self.folder.path().join("state/control.sock");
        Client::connect(&socket).map_err(|e| e.to_string())
    }
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}
