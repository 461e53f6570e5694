//! The shutdown sequence after SIGTERM.

use super::{Node, ACCEPT_GRACE, SHUTDOWN_LIMIT};
use crate::events::Stage;
use foldtrack_admission::DescriptorUser;
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which the loop checks whether the last clients have disconnected, because no event
/// reports it.
const CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Node {
    /// Closes the listener when its time has come.
    pub(super) fn advance_shutdown(&mut self) {
        let closing = self.terminated_at.is_some_and(|at| at.elapsed() >= ACCEPT_GRACE);
        if closing && *self.stage.borrow() == Stage::Draining {
            self.stage.send_replace(Stage::Closing);
        }
    }

    /// Whether the process may end: everything is finished, or the time is up.
    pub(super) fn has_ended(&self) -> bool {
        let Some(at) = self.terminated_at else { return false };
        let idle = self.calls.is_empty() && self.messages.is_empty() && self.notices.is_empty();
        // Idle connections are closed by now: an open connection has a request in flight.
        let clients_left = self.descriptors.held(DescriptorUser::Clients) == 0;
        at.elapsed() >= SHUTDOWN_LIMIT || idle && clients_left && at.elapsed() >= 2 * ACCEPT_GRACE
    }

    /// When the next step is due; none while the process is not shutting down.
    pub(super) fn next_shutdown_step(&self) -> Option<Instant> {
        let at = self.terminated_at?;
        let steps = [at + ACCEPT_GRACE, at + 2 * ACCEPT_GRACE, Instant::now() + CLIENT_CHECK_INTERVAL];
        let next = steps.into_iter().find(|s| *s > Instant::now()).unwrap_or(at);
        Some(next.min(at + SHUTDOWN_LIMIT))
    }
}
