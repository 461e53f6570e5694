//! The services of the house: they hand in what is due, and hear at once whether it was taken on.

use crate::http_client::{post_request, HttpClient};
use crate::plan::Plan;
use crate::schedule::ScheduledMessage;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// A client that has no answer by then has gone on; clients of the protocol wait 400 ms, a load that is to measure
/// waits longer, so that late answers are seen.
const PATIENCE: Duration = Duration::from_secs(5);

/// What became of handing in.
#[derive(Clone, Debug, Default)]
pub struct SubmissionResults {
    /// Taken on: the message's number, and how long after it was due the answer came.
    pub taken: Vec<(u64, Duration)>,
    /// Refused for good.
    pub refused: Vec<u64>,
    /// Refusals, those included that were handed in again, and the waits that they told.
    pub refusals: u64,
    /// The waits that they told.
    pub waits: Vec<Duration>,
    /// Neither.
    pub unanswered: Vec<u64>,
}

impl SubmissionResults {
    fn join(mut self, other: SubmissionResults) -> SubmissionResults {
        self.taken.extend(other.taken);
        self.refused.extend(other.refused);
        self.waits.extend(other.waits);
        self.unanswered.extend(other.unanswered);
        self.refusals += other.refusals;
        self
    }
}

/// Hands in a whole schedule, and comes back once each message has its answer.
pub fn submit(
    plan: &Plan, schedule: &[ScheduledMessage], to: SocketAddr, start: Instant,
) -> SubmissionResults {
    let mut shares: Vec<Vec<&ScheduledMessage>> = vec![Vec::new(); plan.connections];
    for due in schedule {
        shares[due.client(plan.connections)].push(due);
    }
    scope(|scope| {
        let clients: Vec<_> =
            shares.iter().map(|share| scope.spawn(move || client(plan, share, to, start))).collect();
        // A client that panicked has handed in nothing that counts: its messages show up as missing.
        clients
            .into_iter()
            .filter_map(|c| c.join().ok())
            .fold(SubmissionResults::default(), SubmissionResults::join)
    })
}

fn client(plan: &Plan, share: &[&ScheduledMessage], to: SocketAddr, start: Instant) -> SubmissionResults {
    let mut http = HttpClient::new(to, PATIENCE);
    let mut seen = SubmissionResults::default();
    // Ordered keys: a refused message is handed in again before later ones of its key go, so it waits in line.
    let mut queue: BinaryHeap<Reverse<(Duration, u64, usize, u32)>> =
        share.iter().enumerate().map(|(n, due)| Reverse((due.at, due.number, n, 1))).collect();
    let mut held_back: HashMap<String, Duration> = HashMap::new();
    while let Some(Reverse((at, number, n, tries))) = queue.pop() {
        let due = share[n];
        if let Some(until) =
            held_back.get(&due.key()).filter(|until| due.turn.is_some() && at < **until && tries == 1)
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
                seen.taken.push((number, start.elapsed().saturating_sub(due.at)));
            }
            Some(answer) if matches!(answer.status, 503 | 429) => {
                seen.refusals += 1;
                seen.waits.extend(answer.retry_after);
                if tries >= plan.hand_ins {
                    seen.refused.push(number);
                    continue;
                }
                let again = start.elapsed() + answer.retry_after.unwrap_or(Duration::from_millis(500));
                if due.turn.is_some() {
                    // One moment later for those behind it: it goes first.
                    held_back.insert(due.key(), again + Duration::from_nanos(1));
                }
                queue.push(Reverse((again, number, n, tries + 1)));
            }
            _ => seen.unanswered.push(number),
        }
    }
    seen
}
