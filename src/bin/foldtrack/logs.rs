//! Logging of a site's process to standard error, as `tracing` events. A separate thread writes the
//! lines, so that a blocked terminal or pipe delays nothing else. Lines beyond the buffer are
//! dropped and counted.

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Number of lines that the buffer holds.
const MAX_BUFFERED_LINES: usize = 1_000;

/// Starts logging. Dropping the guard writes the buffered lines.
pub(crate) fn start() -> WorkerGuard {
    let builder = NonBlockingBuilder::default().buffered_lines_limit(MAX_BUFFERED_LINES).lossy(true);
    let (writer, guard) = builder.thread_name("log").finish(std::io::stderr());
    // Only the first call takes effect: there is one process.
    let _ = tracing_subscriber::fmt().with_writer(writer).with_ansi(false).with_target(false).try_init();
    guard
}
