//! The baseline: a client library with some connections to each partner that tries each message until it is served, as
//! a service without a forwarder would. It knows no classes: payments go again like all else.

use crate::http_client::{post_request, HttpClient};
use crate::plan::Plan;
use crate::schedule::ScheduledMessage;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, PoisonError};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// Connections to each partner.
const CONNECTIONS: usize = 8;
/// Attempts for a message, and when it is given up, as a site has them.
const ATTEMPTS: u32 = 8;
const DEADLINE: Duration = Duration::from_secs(24);
/// Time-out of an attempt, and pause after one that failed.
const PATIENCE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(10);

/// What waits for one partner, and whether no more will come.
#[derive(Default)]
struct Queue<'a> {
    state: Mutex<(VecDeque<&'a ScheduledMessage>, bool)>,
    news: Condvar,
}

impl<'a> Queue<'a> {
    fn change(&self, change: impl FnOnce(&mut (VecDeque<&'a ScheduledMessage>, bool))) {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner));
        self.news.notify_all();
    }

    /// The next message, once there is one; none once no more will come.
    fn next(&self) -> Option<&'a ScheduledMessage> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            match state.0.pop_front() {
                None if !state.1 => state = self.news.wait(state).unwrap_or_else(PoisonError::into_inner),
                next => return next,
            }
        }
    }
}

/// Delivers a schedule straight to the partners. Comes back when all is served or given up, with how many were.
pub fn deliver(schedule: &[ScheduledMessage], plan: &Plan, partners: &[SocketAddr], start: Instant) -> u64 {
    let queues: Vec<Queue<'_>> = partners.iter().map(|_| Queue::default()).collect();
    scope(|scope| {
        let mut workers = Vec::new();
        for (address, queue) in partners.iter().zip(&queues) {
            for _ in 0..CONNECTIONS {
                workers.push(scope.spawn(move || worker(queue, plan, *address, start)));
            }
        }
        for due in schedule {
            sleep((start + due.at).saturating_duration_since(Instant::now()));
            queues[due.partner].change(|state| state.0.push_back(due));
        }
        queues.iter().for_each(|queue| queue.change(|state| state.1 = true));
        workers.into_iter().filter_map(|w| w.join().ok()).sum()
    })
}

fn worker(queue: &Queue<'_>, plan: &Plan, to: SocketAddr, start: Instant) -> u64 {
    let mut http = HttpClient::new(to, PATIENCE);
    let mut served = 0;
    while let Some(due) = queue.next() {
        let request = post_request("/v1/messages", &due.headers(), &due.id(), &due.body(plan.body));
        for _ in 0..ATTEMPTS {
            if start.elapsed() > due.at + DEADLINE {
                break;
            }
            if http.send(&request, false).is_some_and(|a| a.status == 200) {
                served += 1;
                break;
            }
            sleep(PAUSE);
        }
    }
    served
}
