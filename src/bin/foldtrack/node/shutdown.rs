//! The steps to the end of a process that was told to end.

use super::{Node, ACCEPT_ON, END_BY};
use crate::events::Stage;
use foldtrack_admission::DescriptorUser;
use std::time::Duration;
use tokio::time::Instant;

/// How often it is looked whether the last clients have gone: nobody tells the loop.
const LOOK: Duration = Duration::from_millis(50);

impl Node {
    /// The steps to the end of a process that was told to end.
    pub(super) fn step_down(&mut self) {
        let closing = self.terminated.is_some_and(|at| at.elapsed() >= ACCEPT_ON);
        if closing && *self.stage.borrow() == Stage::Draining {
            self.stage.send_replace(Stage::Closing);
        }
    }

    pub(super) fn has_ended(&self) -> bool {
        let Some(at) = self.terminated else { return false };
        let idle = self.calls.is_empty() && self.messages.is_empty() && self.notices.is_empty();
        // What rests is closed by now: a connection that is still open has a request on its way.
        let left = self.descriptors.held(DescriptorUser::Clients) == 0;
        at.elapsed() >= END_BY || idle && left && at.elapsed() >= 2 * ACCEPT_ON
    }

    /// When the next step to the end is due; none while the process is to go on.
    pub(super) fn next_step_down(&self) -> Option<Instant> {
        let at = self.terminated?;
        let steps = [at + ACCEPT_ON, at + 2 * ACCEPT_ON, Instant::now() + LOOK];
        let next = steps.into_iter().find(|s| *s > Instant::now()).unwrap_or(at);
        Some(next.min(at + END_BY))
    }
}
