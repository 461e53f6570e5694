//! The asking side, for commands and consoles: blocking, with a time limit on everything.

use crate::framing::LineDecoder;
use crate::protocol::{ControlCommand, ControlResponse, Error, Reply, Request, VERSION};
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
pub enum ClientError {
    /// Nobody answers at the socket.
    NotRunning(String),
    /// The line broke, or what came can't be read.
    Connection(String),
    /// Refused.
    Refused(Error),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientError::NotRunning(text) | ClientError::Connection(text) => write!(f, "{text}"),
            ClientError::Refused(error) => write!(f, "{}", error.text),
        }
    }
}

/// A connection to a running forwarder.
#[derive(Debug)]
pub struct Client {
    stream: UnixStream,
    lines: LineDecoder,
    read: VecDeque<String>,
}

impl Client {
    /// Connects to the socket of a state folder.
    ///
    /// # Errors
    /// Nobody listens there.
    pub fn connect(socket: &Path) -> Result<Client, ClientError> {
        let trouble = |e: io::Error| match e.kind() {
            io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused => {
                let text = format!("{}: no forwarder runs on this state folder ({e})", socket.display());
                ClientError::NotRunning(text)
            }
            _ => ClientError::Connection(format!("{}: {e}", socket.display())),
        };
        let stream = UnixStream::connect(socket).map_err(trouble)?;
        stream
            .set_read_timeout(Some(WAIT))
            .and_then(|()| stream.set_write_timeout(Some(WAIT)))
            .map_err(trouble)?;
        Ok(Client { stream, lines: LineDecoder::new(LONGEST_ANSWER), read: VecDeque::new() })
    }

    /// Asks, and waits for the answer.
    ///
    /// # Errors
    /// The line broke, or what was asked is refused.
    pub fn request(&mut self, command: ControlCommand) -> Result<ControlResponse, ClientError> {
        let request = Request { v: VERSION, id: serde_json::Value::Null, command };
        let line = serde_json::to_string(&request).map_err(|e| ClientError::Connection(e.to_string()))?;
        self.stream
            .write_all(format!("{line}\n").as_bytes())
            .map_err(|e| ClientError::Connection(format!("the line: {e}")))?;
        self.receive()
    }

    /// The next answer or push.
    ///
    /// # Errors
    /// As of [`Client::request`].
    #[allow(clippy::should_implement_trait)] // it may fail, and then there is no use in asking on
    pub fn receive(&mut self) -> Result<ControlResponse, ClientError> {
        let line = self.next_line()?;
        let reply: Reply = serde_json::from_str(&line).map_err(|e| {
            ClientError::Connection(format!("an answer can't be read, perhaps of another version: {e}"))
        })?;
        match reply.response {
            ControlResponse::Error(error) => Err(ClientError::Refused(error)),
            told => Ok(told),
        }
    }

    fn next_line(&mut self) -> Result<String, ClientError> {
        let mut bytes = [0; 64 * 1024];
        loop {
            if let Some(line) = self.read.pop_front() {
                return Ok(line);
            }
            let count = match self.stream.read(&mut bytes) {
                Ok(0) => return Err(ClientError::Connection("the forwarder has closed the line".into())),
                Ok(count) => count,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(ClientError::Connection(format!("no answer: {e}"))),
            };
            for line in self.lines.push(&bytes[..count]) {
                self.read.push_back(
                    line.map_err(|e| ClientError::Connection(format!("an answer can't be read: {e:?}")))?,
                );
            }
        }
    }
}
