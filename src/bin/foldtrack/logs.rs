//! What a site's process tells on standard error, as `tracing` events: written by a thread of its own, so that a terminal
//! or a pipe that stands still holds up nothing. Beyond the lines that wait, further ones are dropped and counted.

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Lines that may wait to be written.
const WAITING: usize = 1_000;

/// Starts it. What has been told is written when the guard goes.
pub(crate) fn start() -> WorkerGuard {
    let builder = NonBlockingBuilder::default().buffered_lines_limit(WAITING).lossy(true);
    let (writer, guard) = builder.thread_name("log").finish(std::io::stderr());
    // Only the first counts: there is one process.
    let _ = tracing_subscriber::fmt().with_writer(writer).with_ansi(false).with_target(false).try_init();
    guard
}
