//! Services of the house: they hand messages in, come again when told to, and keep books of what was taken on.

use foldtrack_load::exchange::{post, Exchange};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// Clients of a fleet.
const CLIENTS: usize = 20;
/// How long a client waits for an answer, and how long it comes again for one message.
const PATIENCE: Duration = Duration::from_millis(1500);
const AGAIN_FOR: Duration = Duration::from_secs(4);
/// Pause before it comes again, where it was not told one.
const PAUSE: Duration = Duration::from_millis(150);
/// Longest wait that it heeds.
const LONGEST: Duration = Duration::from_secs(2);

/// A message that was taken on.
#[derive(Clone, Debug)]
pub struct Taken {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: &'static str,
    /// The forwarder's place.
    pub by: usize,
    /// When it was answered.
    pub at: Instant,
}

/// The books of all clients.
#[derive(Clone, Debug, Default)]
pub struct CallRecords {
    /// Every 202.
    pub taken: Vec<Taken>,
    /// 409: it is over, or nobody can tell.
    pub conflicts: Vec<(String, Instant)>,
    /// Messages that were refused for as long as their client came again.
    pub refused: u64,
    /// Messages that had no answer for as long as their client came again: nobody knows.
    pub unanswered: u64,
    /// 503s.
    pub refusals: u64,
}

impl CallRecords {
    fn join(mut self, other: CallRecords) -> CallRecords {
        self.taken.extend(other.taken);
        self.conflicts.extend(other.conflicts);
        self.refused += other.refused;
        self.unanswered += other.unanswered;
        self.refusals += other.refusals;
        self
    }
}

/// What is handed in, where and how.
pub struct Load<'a> {
    /// Where the forwarders listen.
    pub to: &'a [SocketAddr],
    /// Messages a second, over all.
    pub rate: f64,
    /// For so long.
    pub lasts: Duration,
    /// By this.
    pub seed: u64,
    /// A client whose forwarder does not answer turns to the next.
    pub elsewhere: bool,
    /// Share of the answers that get lost on the way, for messages whose client turns to another then.
    pub lost_answers: f64,
    /// Shares of the partners: name and weight.
    pub partners: &'a [(String, u32)],
    /// It ends early.
    pub over: &'a AtomicBool,
}

/// Hands in a whole load.
pub fn hand_in(load: &Load<'_>) -> CallRecords {
    let start = Instant::now();
    scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS).map(|n| scope.spawn(move || client(load, n, start))).collect();
        clients.into_iter().filter_map(|c| c.join().ok()).fold(CallRecords::default(), CallRecords::join)
    })
}

fn client(load: &Load<'_>, number: usize, start: Instant) -> CallRecords {
    let mut random = fastrand::Rng::with_seed(load.seed.wrapping_mul(31).wrapping_add(number as u64));
    let mut books = CallRecords::default();
    let home = number % load.to.len();
    let mut kept: Vec<Exchange> = load.to.iter().map(|to| Exchange::new(*to, PATIENCE)).collect();
    let all: u32 = load.partners.iter().map(|(_, weight)| weight).sum();
    let gap = Duration::from_secs_f64(CLIENTS as f64 / load.rate);
    let mut turns = vec![0u64; load.partners.len()];
    let mut due = start + gap.mul_f64(random.f64());
    for n in 0u64.. {
        if due >= start + load.lasts || load.over.load(Ordering::Relaxed) {
            break;
        }
        sleep(due.saturating_duration_since(Instant::now()));
        if Instant::now() > due + PATIENCE {
            // Held up by an earlier one for so long that nobody wants this any more.
            due += gap;
            continue;
        }
        due += gap.mul_f64(2.0 * random.f64());
        let mut draw = random.u32(0..all.max(1));
        let place = load.partners.iter().position(|(_, weight)| {
            let found = draw < *weight;
            draw = draw.saturating_sub(*weight);
            found
        });
        let Some((place, (partner, _))) = place.map(|p| (p, &load.partners[p])) else { continue };
        let class = ["update", "payment", "notice"][random.usize(0..3)];
        let id = format!("m{number}-{n}");
        // A key belongs to one client and goes to one partner, so that its order is that of handing in.
        let (path, body) = match class {
            "update" => {
                turns[place] += 1;
                let key = format!("c{number}-{partner}");
                (format!("/update/{key}"), format!("key={key};seq={};class=update;", turns[place]))
            }
            _ => (format!("/{class}/"), format!("class={class};")),
        };
        // Only what is keyed has a key: a payment that comes twice must take effect twice at the partner, to be seen.
        let key = if class == "update" { format!("Idempotency-Key: {id}\r\n") } else { String::new() };
        let headers = format!("X-Partner: {partner}\r\n{key}");
        let request = post(&path, &headers, &id, &body);
        let (from, mut at) = (Instant::now(), home);
        loop {
            let mut answer = kept[at].ask(&request, true);
            if load.elsewhere && class != "update" && random.f64() < load.lost_answers {
                answer = None;
            }
            let now = Instant::now();
            let (pause, unknown) = match answer.as_ref().map(|a| a.status) {
                Some(202) => {
                    books.taken.push(Taken { id, class, by: at, at: now });
                    break;
                }
                Some(409) => {
                    books.conflicts.push((id, now));
                    break;
                }
                Some(503 | 429) => {
                    books.refusals += 1;
                    (answer.and_then(|a| a.retry_after).unwrap_or(PAUSE).min(LONGEST), false)
                }
                _ => {
                    // Of a key in order only the forwarder that has the others can keep it.
                    if load.elsewhere && class != "update" {
                        at = (at + 1) % load.to.len();
                    }
                    (PAUSE, true)
                }
            };
            if now + pause > from + AGAIN_FOR || load.over.load(Ordering::Relaxed) {
                books.unanswered += u64::from(unknown);
                books.refused += u64::from(!unknown);
                break;
            }
            sleep(pause);
        }
    }
    books
}
