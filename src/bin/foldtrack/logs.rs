//! Logging to standard error, as `tracing` events, without a thread. A blocked terminal or pipe
//! delays nothing else: a line that would block is dropped and counted.

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use std::env;
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};
use tracing::level_filters::LevelFilter;

/// Environment variable with the least severe level that is logged: `off`, `error`, `warn`, `info`,
/// `debug` or `trace`.
const LEVEL_VARIABLE: &str = "FOLDTRACK_LOG";
/// The level without that variable, or if it has another value.
const DEFAULT_LEVEL: LevelFilter = LevelFilter::INFO;

/// Longest line in bytes. A pipe that is ready takes this much without blocking (`PIPE_BUF`).
const MAX_LINE_BYTES: usize = 4096;

fn level() -> LevelFilter {
    let configured = env::var(LEVEL_VARIABLE).ok().and_then(|level| level.parse().ok());
    configured.unwrap_or(DEFAULT_LEVEL)
}

/// Starts logging. Only the first call takes effect: there is one process.
pub(crate) fn start() {
    let subscriber = tracing_subscriber::fmt().with_max_level(level()).with_writer(|| LineWriter);
    let _ = subscriber.with_ansi(false).with_target(false).try_init();
}

/// Lines dropped since the last one that was written.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Writes a line to standard error, or drops it if that would block.
struct LineWriter;

impl LineWriter {
    fn is_ready() -> bool {
        let stderr = io::stderr();
        let mut descriptors = [PollFd::new(stderr.as_fd(), PollFlags::POLLOUT)];
        let polled = poll(&mut descriptors, PollTimeout::ZERO);
        polled.is_ok() && descriptors[0].revents().is_some_and(|ready| ready == PollFlags::POLLOUT)
    }
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if !LineWriter::is_ready() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let note = format!("{dropped} log lines were dropped: standard error was not ready\n");
            io::stderr().write_all(note.as_bytes())?;
            return self.write(line);
        }
        let written = &line[..line.len().min(MAX_LINE_BYTES)];
        io::stderr().write_all(written)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
