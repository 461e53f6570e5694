//! The clients of the forwarder: they submit the scheduled messages and record whether each was accepted.

use crate::http_client::{post_request, HttpClient};
use crate::plan::Plan;
use crate::schedule::ScheduledMessage;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// Time-out of a submission. Clients of the protocol wait 400 ms; the load generator waits longer, so that late answers
/// are measured.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// The results of the submissions.
#[derive(Clone, Debug, Default)]
pub struct SubmissionResults {
    /// Accepted messages: the number, and the time from when the message was due to the answer.
    pub accepted: Vec<(u64, Duration)>,
    /// Numbers of the messages whose last submission was refused.
    pub refused: Vec<u64>,
    /// Number of refusals, including those of messages that were submitted again.
    pub refusals: u64,
    /// The waits that the refusals requested.
    pub waits: Vec<Duration>,
    /// Numbers of the messages that got no answer, or one that is neither an acceptance nor a refusal.
    pub unanswered: Vec<u64>,
}

impl SubmissionResults {
    fn merge(mut self, other: SubmissionResults) -> SubmissionResults {
        self.accepted.extend(other.accepted);
        self.refused.extend(other.refused);
        self.waits.extend(other.waits);
        self.unanswered.extend(other.unanswered);
        self.refusals += other.refusals;
        self
    }
}

/// Submits a whole schedule, and returns when every submission has ended.
pub fn submit(
    plan: &Plan, schedule: &[ScheduledMessage], to: SocketAddr, start: Instant,
) -> SubmissionResults {
    let mut shares: Vec<Vec<&ScheduledMessage>> = vec![Vec::new(); plan.connections];
    for due in schedule {
        shares[due.client(plan.connections)].push(due);
    }
    scope(|scope| {
        let clients: Vec<_> =
            shares.iter().map(|share| scope.spawn(move || run_client(plan, share, to, start))).collect();
        // The results of a client that panicked are lost: its messages show up as missing.
        clients
            .into_iter()
            .filter_map(|c| c.join().ok())
            .fold(SubmissionResults::default(), SubmissionResults::merge)
    })
}

/// Submits one client's share of the schedule.
fn run_client(plan: &Plan, share: &[&ScheduledMessage], to: SocketAddr, start: Instant) -> SubmissionResults {
    let mut http = HttpClient::new(to, SUBMIT_TIMEOUT);
    let mut results = SubmissionResults::default();
    // Entries: due time, message number, index in `share`, number of the submission. A refused ordered message is submitted
    // again before later messages with its key.
    let mut queue: BinaryHeap<Reverse<(Duration, u64, usize, u32)>> =
        share.iter().enumerate().map(|(n, due)| Reverse((due.at, due.number, n, 1))).collect();
    let mut key_delays: HashMap<String, Duration> = HashMap::new();
    while let Some(Reverse((at, number, n, tries))) = queue.pop() {
        let due = share[n];
        if let Some(until) =
            key_delays.get(&due.key()).filter(|until| due.position.is_some() && at < **until && tries == 1)
        {
            queue.push(Reverse((*until, number, n, tries)));
            continue;
        }
        sleep((start + at).saturating_duration_since(Instant::now()));
        let headers = format!("X-Partner: p{}\r\n{}", due.partner, due.headers());
        let path = format!("/{}/{}", due.class(), due.key());
        let request = post_request(&path, &headers, &due.id(), &due.body(plan.body));
        match http.send(&request, true) {
            Some(answer) if answer.status == 202 => {
                results.accepted.push((number, start.elapsed().saturating_sub(due.at)));
            }
            Some(answer) if matches!(answer.status, 503 | 429) => {
                results.refusals += 1;
                results.waits.extend(answer.retry_after);
                if tries >= plan.hand_ins {
                    results.refused.push(number);
                    continue;
                }
                let resubmit_at = start.elapsed() + answer.retry_after.unwrap_or(Duration::from_millis(500));
                if due.position.is_some() {
                    // Later messages with this key wait one nanosecond longer, so that this one goes first.
                    key_delays.insert(due.key(), resubmit_at + Duration::from_nanos(1));
                }
                queue.push(Reverse((resubmit_at, number, n, tries + 1)));
            }
            _ => results.unanswered.push(number),
        }
    }
    results
}
