//! The steps to the end of a process that was told to end.

use super::{Node, ACCEPT_ON, END_BY};
use crate::door::Stage;

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
        at.elapsed() >= END_BY || idle && at.elapsed() >= 2 * ACCEPT_ON
    }
}
