//! Stand-ins for the services that hand messages in. Each has a connection and sends one request at a time.

use crate::http::{has_ended, read_response};
use crate::world::{Random, Seen, Submitted, World};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// How long a client waits for the answer.
const PATIENCE: Duration = Duration::from_millis(400);

/// A message to hand in.
#[derive(Clone, Debug)]
pub struct Draft {
    pub id: String,
    pub class: &'static str,
    pub key: String,
    pub dest: u32,
    pub deadline_ms: u64,
    pub body: Vec<u8>,
}

/// A client with at most one connection.
pub struct Client {
    world: Arc<World>,
    address: String,
    connection: Option<TcpStream>,
}

impl Client {
    pub fn new(world: &Arc<World>, address: &str) -> Client {
        Client { world: world.clone(), address: address.to_string(), connection: None }
    }

    /// Hands a message in. Returns the status; none if no connection came up, 0 if there was no answer.
    pub fn hand_in(&mut self, draft: &Draft) -> Option<u16> {
        let Draft { id, class, key, dest, deadline_ms, body } = draft;
        let idempotency_key = (*class == "submission-update").then(|| format!("{id}-effect"));
        let mut head = format!(
            "POST /{class}/{key} HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {id}\r\nX-Deadline: {deadline_ms}m\r\nContent-Length: {}\r\nX-Consignee: dest={dest}\r\n",
            body.len()
        );
        if let Some(key) = &idempotency_key {
            head += &format!("Idempotency-Key: {key}\r\n");
        }
        let bytes = [head.as_bytes(), b"\r\n", body].concat();
        let submitted =
            Submitted { class: class.to_string(), dest: *dest, idempotency_key, body: body.clone() };
        self.world.messages.lock().unwrap().insert(id.clone(), submitted);
        let mut again = true;
        loop {
            if self.connection.as_ref().is_some_and(has_ended) {
                self.connection = None;
            }
            let kept = self.connection.is_some();
            if self.connection.is_none() {
                let stream = TcpStream::connect(&self.address).ok()?;
                let _ = stream.set_nodelay(true);
                self.connection = Some(stream);
            }
            let stream = self.connection.as_mut()?;
            // Recorded before the bytes go: what follows may be seen elsewhere at once.
            self.world.record(Seen::Sent {
                id: id.clone(),
                class: class.to_string(),
                key: key.clone(),
                dest: *dest,
                deadline: *deadline_ms,
            });
            let sent = stream.write_all(&bytes);
            let answer = sent.and_then(|()| read_response(stream, Instant::now() + PATIENCE));
            let (status, how) = match answer {
                Ok(Some((status, close))) => {
                    if close {
                        self.connection = None;
                    }
                    (status, "answer")
                }
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::TimedOut | std::io::ErrorKind::WouldBlock) =>
                {
                    self.connection = None;
                    (0, "no answer in time")
                }
                Ok(None) | Err(_) => {
                    self.connection = None;
                    // The end of a kept connection may cross a request: it is sent once more on a new one.
                    if kept && again {
                        again = false;
                        self.world.step(format!("{id}: sent once more on a new connection"));
                        continue;
                    }
                    (0, "connection ended without an answer")
                }
            };
            self.world.record(Seen::Answered { id: id.clone(), status, how });
            return Some(status);
        }
    }
}

/// Traffic of one client: a message about every `gap_ms`.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    pub gap_ms: u64,
    pub destinations: u32,
    pub deadline_ms: (u64, u64),
    pub fee_share: f64,
    pub max_body: u64,
}

/// Starts a client that hands messages in until the clients are told to stop.
pub fn start_client(
    world: &Arc<World>, address: &str, number: u64, seed: u64, traffic: Traffic,
) -> JoinHandle<()> {
    let (world, address) = (world.clone(), address.to_string());
    spawn(move || {
        let mut random = Random::new(seed.wrapping_add(number * 7919));
        let mut client = Client::new(&world, &address);
        let mut count = 0;
        while !world.clients_stop.load(Ordering::SeqCst) {
            count += 1;
            let drawn = random.unit();
            let (fee, notice) = (drawn < traffic.fee_share, drawn > 0.85);
            let (from, to) = traffic.deadline_ms;
            let draft = Draft {
                id: format!("c{number}-{count}"),
                class: if fee {
                    "fee-payment"
                } else if notice {
                    "notice"
                } else {
                    "submission-update"
                },
                key: if fee || notice { "0".into() } else { format!("k{number}-{}", random.below(3)) },
                dest: random.below(u64::from(traffic.destinations)) as u32,
                deadline_ms: from + random.below(to - from + 1),
                body: (0..random.below(traffic.max_body)).map(|n| (n % 251) as u8).collect(),
            };
            if client.hand_in(&draft).is_none() {
                sleep(Duration::from_millis(100));
            }
            sleep(Duration::from_millis(traffic.gap_ms / 2 + random.below(traffic.gap_ms.max(1))));
        }
    })
}
