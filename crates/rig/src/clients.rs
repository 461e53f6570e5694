//! Simulated client services: they submit messages, retry after a refusal or a missing response, and record which messages
//! were accepted.

use foldtrack_load::http_client::{post_request, HttpClient};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// Number of client threads per fleet.
const CLIENTS: usize = 20;
/// How long a client waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a client retries one message.
const RETRY_FOR: Duration = Duration::from_secs(4);
/// Delay before a retry when the response had no `Retry-After`.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Upper limit on a requested retry delay.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// A message that a forwarder accepted.
#[derive(Clone, Debug)]
pub struct AcceptedMessage {
    /// Message id.
    pub id: String,
    /// Message class.
    pub class: &'static str,
    /// Index of the forwarder that accepted it.
    pub forwarder: usize,
    /// When the 202 response arrived.
    pub accepted_at: Instant,
}

/// What all clients of a run recorded.
#[derive(Clone, Debug, Default)]
pub struct ClientRecords {
    /// One entry for each 202 response.
    pub accepted: Vec<AcceptedMessage>,
    /// Messages answered with 409: already finished, or with an unknown outcome.
    pub conflicts: Vec<(String, Instant)>,
    /// Messages that were still refused when the client stopped retrying.
    pub refused: u64,
    /// Messages that still had no response when the client stopped retrying: whether they were accepted is unknown.
    pub unanswered: u64,
    /// Number of 503 and 429 responses.
    pub refusals: u64,
}

impl ClientRecords {
    fn join(mut self, other: ClientRecords) -> ClientRecords {
        self.accepted.extend(other.accepted);
        self.conflicts.extend(other.conflicts);
        self.refused += other.refused;
        self.unanswered += other.unanswered;
        self.refusals += other.refusals;
        self
    }
}

/// The load that the clients generate.
pub struct Load<'a> {
    /// Listening addresses of the forwarders.
    pub forwarders: &'a [SocketAddr],
    /// Messages per second over all clients.
    pub rate: f64,
    /// How long messages are submitted.
    pub duration: Duration,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether a client whose forwarder does not respond retries at the next forwarder.
    pub failover: bool,
    /// Share (0 to 1) of the responses that the client discards as if they were lost; only with `failover`, and not for ordered
    /// messages.
    pub lost_answers: f64,
    /// Name and weight of each partner.
    pub partners: &'a [(String, u32)],
    /// Set to end the load early.
    pub stop: &'a AtomicBool,
}

/// Runs all clients until the load ends.
pub fn run_clients(load: &Load<'_>) -> ClientRecords {
    let start = Instant::now();
    scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS).map(|n| scope.spawn(move || run_client(load, n, start))).collect();
        clients.into_iter().filter_map(|c| c.join().ok()).fold(ClientRecords::default(), ClientRecords::join)
    })
}

fn run_client(load: &Load<'_>, number: usize, start: Instant) -> ClientRecords {
    let mut random = fastrand::Rng::with_seed(load.seed.wrapping_mul(31).wrapping_add(number as u64));
    let mut records = ClientRecords::default();
    let home = number % load.forwarders.len();
    let mut connections: Vec<HttpClient> =
        load.forwarders.iter().map(|address| HttpClient::new(*address, RESPONSE_TIMEOUT)).collect();
    let total_weight: u32 = load.partners.iter().map(|(_, weight)| weight).sum();
    let mean_interval = Duration::from_secs_f64(CLIENTS as f64 / load.rate);
    let mut sequence = vec![0u64; load.partners.len()];
    let mut due = start + mean_interval.mul_f64(random.f64());
    for n in 0u64.. {
        if due >= start + load.duration || load.stop.load(Ordering::Relaxed) {
            break;
        }
        sleep(due.saturating_duration_since(Instant::now()));
        if Instant::now() > due + RESPONSE_TIMEOUT {
            // An earlier message delayed this one for so long that it is skipped.
            due += mean_interval;
            continue;
        }
        due += mean_interval.mul_f64(2.0 * random.f64());
        let mut draw = random.u32(0..total_weight.max(1));
        let index = load.partners.iter().position(|(_, weight)| {
            let found = draw < *weight;
            draw = draw.saturating_sub(*weight);
            found
        });
        let Some((index, (partner, _))) = index.map(|i| (i, &load.partners[i])) else { continue };
        let class = ["update", "payment", "notice"][random.usize(0..3)];
        let id = format!("m{number}-{n}");
        // An order key belongs to one client and one partner, so that the expected order is the order of submission.
        let (path, body) = match class {
            "update" => {
                sequence[index] += 1;
                let key = format!("c{number}-{partner}");
                (format!("/update/{key}"), format!("key={key};seq={};class=update;", sequence[index]))
            }
            _ => (format!("/{class}/"), format!("class={class};")),
        };
        // Only keyed messages carry an idempotency key. A payment that the partner receives twice has to take effect twice there:
        // otherwise the violation would not show.
        let key = if class == "update" { format!("Idempotency-Key: {id}\r\n") } else { String::new() };
        let headers = format!("X-Partner: {partner}\r\n{key}");
        let request = post_request(&path, &headers, &id, &body);
        let (first_sent, mut forwarder) = (Instant::now(), home);
        loop {
            let mut response = connections[forwarder].send(&request, true);
            if load.failover && class != "update" && random.f64() < load.lost_answers {
                response = None;
            }
            let now = Instant::now();
            let (delay, unknown) = match response.as_ref().map(|r| r.status) {
                Some(202) => {
                    records.accepted.push(AcceptedMessage { id, class, forwarder, accepted_at: now });
                    break;
                }
                Some(409) => {
                    records.conflicts.push((id, now));
                    break;
                }
                Some(503 | 429) => {
                    records.refusals += 1;
                    (
                        response
                            .and_then(|r| r.retry_after)
                            .unwrap_or(DEFAULT_RETRY_DELAY)
                            .min(MAX_RETRY_DELAY),
                        false,
                    )
                }
                _ => {
                    // Messages with an order key stay with one forwarder: only the one that holds the earlier messages of the key
                    // can keep their order.
                    if load.failover && class != "update" {
                        forwarder = (forwarder + 1) % load.forwarders.len();
                    }
                    (DEFAULT_RETRY_DELAY, true)
                }
            };
            if now + delay > first_sent + RETRY_FOR || load.stop.load(Ordering::Relaxed) {
                records.unanswered += u64::from(unknown);
                records.refused += u64::from(!unknown);
                break;
            }
            sleep(delay);
        }
    }
    records
}
