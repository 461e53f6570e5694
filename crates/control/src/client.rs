//! Blocking client of the control protocol, for commands and consoles. Every read and write has a timeout.

use crate::framing::LineDecoder;
use crate::protocol::{ControlCommand, ControlResponse, Error, Reply, Request, VERSION};
use std::collections::VecDeque;
use std::fmt;
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// Maximum length of a reply, in bytes.
const MAX_REPLY_BYTES: usize = 16 << 20;
/// Read and write timeout. A forwarder that does not answer within it is not working properly.
const IO_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a request failed.
#[derive(Debug)]
pub enum ClientError {
    /// No forwarder listens on the socket.
    NotRunning(String),
    /// The connection failed, or the reply could not be parsed.
    Connection(String),
    /// The forwarder refused the request.
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
    /// Complete lines that have been received and not yet returned.
    received: VecDeque<String>,
}

impl Client {
    /// Connects to the control socket in a state folder.
    ///
    /// # Errors
    /// Fails if no forwarder listens on the socket or the connection cannot be set up.
    pub fn connect(socket: &Path) -> Result<Client, ClientError> {
        let classify = |e: io::Error| match e.kind() {
            io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused => {
                let text = format!("{}: no forwarder runs on this state folder ({e})", socket.display());
                ClientError::NotRunning(text)
            }
            _ => ClientError::Connection(format!("{}: {e}", socket.display())),
        };
        let stream = UnixStream::connect(socket).map_err(classify)?;
        stream
            .set_read_timeout(Some(IO_TIMEOUT))
            .and_then(|()| stream.set_write_timeout(Some(IO_TIMEOUT)))
            .map_err(classify)?;
        Ok(Client { stream, lines: LineDecoder::new(MAX_REPLY_BYTES), received: VecDeque::new() })
    }

    /// Sends a command and waits for the response.
    ///
    /// # Errors
    /// Fails if the connection fails or times out, the reply cannot be parsed, or the forwarder refuses the command.
    pub fn request(&mut self, command: ControlCommand) -> Result<ControlResponse, ClientError> {
        let request = Request { v: VERSION, id: serde_json::Value::Null, command };
        let line = serde_json::to_string(&request).map_err(|e| ClientError::Connection(e.to_string()))?;
        self.stream
            .write_all(format!("{line}\n").as_bytes())
            .map_err(|e| ClientError::Connection(format!("cannot send the request: {e}")))?;
        self.receive()
    }

    /// Waits for the next response or push.
    ///
    /// # Errors
    /// As for [`Client::request`].
    pub fn receive(&mut self) -> Result<ControlResponse, ClientError> {
        let line = self.next_line()?;
        let reply: Reply = serde_json::from_str(&line).map_err(|e| {
            ClientError::Connection(format!(
                "cannot parse the reply, the forwarder may run another version: {e}"
            ))
        })?;
        match reply.response {
            ControlResponse::Error(error) => Err(ClientError::Refused(error)),
            response => Ok(response),
        }
    }

    fn next_line(&mut self) -> Result<String, ClientError> {
        let mut bytes = [0; 64 * 1024];
        loop {
            if let Some(line) = self.received.pop_front() {
                return Ok(line);
            }
            let count = match self.stream.read(&mut bytes) {
                Ok(0) => return Err(ClientError::Connection("the forwarder closed the connection".into())),
                Ok(count) => count,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(ClientError::Connection(format!("no reply: {e}"))),
            };
            for line in self.lines.push(&bytes[..count]) {
                self.received.push_back(
                    line.map_err(|e| ClientError::Connection(format!("cannot read the reply: {e:?}")))?,
                );
            }
        }
    }
}
