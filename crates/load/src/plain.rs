//! The baseline for comparison: a plain client with several connections to each partner that retries each message until it
//! is delivered, as a service without a forwarder would. It does not distinguish classes: payments are retried like all
//! other messages.

use crate::http_client::{post_request, HttpClient};
use crate::plan::Plan;
use crate::schedule::ScheduledMessage;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, PoisonError};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// Number of connections to each partner.
const CONNECTIONS_PER_PARTNER: usize = 8;
/// Maximum number of attempts for a message, as in a site.
const MAX_ATTEMPTS: u32 = 8;
/// Time after which a message is given up, as in a site.
const DEADLINE: Duration = Duration::from_secs(24);
/// Time-out of an attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// The messages that wait for one partner; the flag says that no more will be added.
#[derive(Default)]
struct Queue<'a> {
    state: Mutex<(VecDeque<&'a ScheduledMessage>, bool)>,
    changed: Condvar,
}

impl<'a> Queue<'a> {
    /// Changes the queue and wakes the workers.
    fn update(&self, change: impl FnOnce(&mut (VecDeque<&'a ScheduledMessage>, bool))) {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner));
        self.changed.notify_all();
    }

    /// Waits for the next message; none if the queue is empty and no more will be added.
    fn next(&self) -> Option<&'a ScheduledMessage> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            match state.0.pop_front() {
                None if !state.1 => state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner),
                next => return next,
            }
        }
    }
}

/// Delivers a schedule directly to the partners. Returns the number of delivered messages when every message has been
/// delivered or given up.
pub fn deliver(schedule: &[ScheduledMessage], plan: &Plan, partners: &[SocketAddr], start: Instant) -> u64 {
    let queues: Vec<Queue<'_>> = partners.iter().map(|_| Queue::default()).collect();
    scope(|scope| {
        let mut workers = Vec::new();
        for (address, queue) in partners.iter().zip(&queues) {
            for _ in 0..CONNECTIONS_PER_PARTNER {
                workers.push(scope.spawn(move || worker(queue, plan, *address, start)));
            }
        }
        for due in schedule {
            sleep((start + due.at).saturating_duration_since(Instant::now()));
            queues[due.partner].update(|state| state.0.push_back(due));
        }
        queues.iter().for_each(|queue| queue.update(|state| state.1 = true));
        workers.into_iter().filter_map(|w| w.join().ok()).sum()
    })
}

/// Delivers messages of one queue on one connection; returns the number of delivered messages.
fn worker(queue: &Queue<'_>, plan: &Plan, to: SocketAddr, start: Instant) -> u64 {
    let mut http = HttpClient::new(to, ATTEMPT_TIMEOUT);
    let mut delivered = 0;
    while let Some(due) = queue.next() {
        let request = post_request("/v1/messages", &due.headers(), &due.id(), &due.body(plan.body));
        for _ in 0..MAX_ATTEMPTS {
            if start.elapsed() > due.at + DEADLINE {
                break;
            }
            if http.send(&request, false).is_some_and(|a| a.status == 200) {
                delivered += 1;
                break;
            }
            sleep(RETRY_PAUSE);
        }
    }
    delivered
}
