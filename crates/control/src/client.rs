//! The asking side, for commands and consoles: blocking, with a time limit on everything.

use crate::lines::Lines;
use crate::protocol::{Ask, Error, Reply, Request, Told, VERSION};
use std::collections::VecDeque;
use std::fmt;
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// Bytes that an answer has at most.
const LONGEST_ANSWER: usize = 16 << 20;
/// An answer comes within this span, or the process is in trouble.
const WAIT: Duration = Duration::from_secs(10);

/// Why there is no answer.
#[derive(Debug)]
pub enum Trouble {
    /// Nobody answers at the socket.
    NotRunning(String),
    /// The line broke, or what came can't be read.
    Line(String),
    /// Refused.
    Refused(Error),
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Trouble::NotRunning(text) | Trouble::Line(text) => write!(f, "{text}"),
            Trouble::Refused(error) => write!(f, "{}", error.text),
        }
    }
}

/// A connection to a running forwarder.
#[derive(Debug)]
pub struct Client {
    stream: UnixStream,
    lines: Lines,
    read: VecDeque<String>,
}

impl Client {
    /// Connects to the socket of a state folder.
    ///
    /// # Errors
    /// Nobody listens there.
    pub fn connect(socket: &Path) -> Result<Client, Trouble> {
        let trouble = |e: io::Error| match e.kind() {
            io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused => {
                let text = format!("{}: no forwarder runs on this state folder ({e})", socket.display());
                Trouble::NotRunning(text)
            }
            _ => Trouble::Line(format!("{}: {e}", socket.display())),
        };
        let stream = UnixStream::connect(socket).map_err(trouble)?;
        stream
            .set_read_timeout(Some(WAIT))
            .and_then(|()| stream.set_write_timeout(Some(WAIT)))
            .map_err(trouble)?;
        Ok(Client { stream, lines: Lines::new(LONGEST_ANSWER), read: VecDeque::new() })
    }

    /// Asks, and waits for the answer.
    ///
    /// # Errors
    /// The line broke, or what was asked is refused.
    pub fn ask(&mut self, ask: Ask) -> Result<Told, Trouble> {
        let request = Request { v: VERSION, id: serde_json::Value::Null, ask };
        let line = serde_json::to_string(&request).map_err(|e| Trouble::Line(e.to_string()))?;
        self.stream
            .write_all(format!("{line}\n").as_bytes())
            .map_err(|e| Trouble::Line(format!("the line: {e}")))?;
        self.next()
    }

    /// The next answer or push.
    ///
    /// # Errors
    /// As of [`Client::ask`].
    #[allow(clippy::should_implement_trait)] // it may fail, and then there is no use in asking on
    pub fn next(&mut self) -> Result<Told, Trouble> {
        let line = self.next_line()?;
        let reply: Reply = serde_json::from_str(&line).map_err(|e| {
            Trouble::Line(format!("an answer can't be read, perhaps of another version: {e}"))
        })?;
        match reply.told {
            Told::Error(error) => Err(Trouble::Refused(error)),
            told => Ok(told),
        }
    }

    fn next_line(&mut self) -> Result<String, Trouble> {
        let mut bytes = [0; 64 * 1024];
        loop {
            if let Some(line) = self.read.pop_front() {
                return Ok(line);
            }
            let count = match self.stream.read(&mut bytes) {
                Ok(0) => return Err(Trouble::Line("the forwarder has closed the line".into())),
                Ok(count) => count,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(Trouble::Line(format!("no answer: {e}"))),
            };
            for line in self.lines.push(&bytes[..count]) {
                self.read
                    .push_back(line.map_err(|e| Trouble::Line(format!("an answer can't be read: {e:?}")))?);
            }
        }
    }
}
