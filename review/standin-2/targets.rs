//! Stand-ins for the partners' endpoints.

use crate::http::{has_ended, read_request, respond, Request};
use crate::world::{Millis, Random, Seen, World};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// What a target does with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Deed {
    /// Runs it and answers with 200 after so long.
    Serve(Millis),
    /// Runs it after so long and answers with 200 after so long more.
    ServeLate(Millis, Millis),
    /// Answers with 503 at once.
    Refuse,
    /// Answers with 429 and a wait at once.
    Wait(Millis),
    /// Runs it and answers with 500.
    Fail(Millis),
    /// Runs it or not, and ends the connection with no answer.
    Reset { run: bool, after: Millis },
    /// Runs it or not, and answers nothing.
    Hang { run: bool },
    /// Runs it, writes the first line with 200 and nothing more.
    HalfAnswer(Millis),
    /// Runs it and answers with something that is not HTTP.
    Garbage(Millis),
}

/// Decides what happens to a call: by the time, and by the message.
pub type Conduct = Box<dyn FnMut(Millis, &Request) -> Deed + Send>;

/// Starts a target of a destination; returns its address.
pub fn start_target(world: &Arc<World>, id: &str, conduct: Conduct) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (world, id, conduct) = (world.clone(), id.to_string(), Arc::new(Mutex::new(conduct)));
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (world, id, conduct) = (world.clone(), id.clone(), conduct.clone());
            spawn(move || serve_target(stream, &world, &id, &conduct));
        }
    });
    address
}

/// Waits; false if the other side ends the connection meanwhile.
fn pause(stream: &TcpStream, time: Millis) -> bool {
    let until = Instant::now() + Duration::from_millis(time);
    loop {
        if has_ended(stream) {
            return false;
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        sleep(left.min(Duration::from_millis(3)));
    }
}

fn serve_target(mut stream: TcpStream, world: &World, target: &str, conduct: &Mutex<Conduct>) {
    let _ = stream.set_nodelay(true);
    let mut kept = Vec::new();
    while let Ok(Some(request)) = read_request(&mut stream, &mut kept) {
        let id = request.header("X-Request-Id").unwrap_or("").to_string();
        let call = world.next_call();
        let target = target.to_string();
        let now = world.record(Seen::Call { id: id.clone(), target: target.clone(), call });
        check_content(world, &request, &id);
        let run = || {
            world.record(Seen::Ran { id: id.clone(), target: target.clone(), call });
        };
        let ended = || {
            world.record(Seen::Ended { id: id.clone(), target: target.clone(), call });
        };
        let deed = (conduct.lock().unwrap())(now, &request);
        let answer = |stream: &mut TcpStream, status: u16, wait: Millis| {
            let headers = if wait > 0 { format!("X-Come-Back-Ms: {wait}\r\n") } else { String::new() };
            world.record(Seen::Wrote { id: id.clone(), target: target.clone(), call, status, wait });
            respond(stream, status, &headers, "").is_ok()
        };
        let goes_on = match deed {
            Deed::Refuse => answer(&mut stream, 503, 0),
            Deed::Wait(wait) => answer(&mut stream, 429, wait),
            Deed::Serve(time) | Deed::Fail(time) | Deed::HalfAnswer(time) | Deed::Garbage(time) => {
                let stays = pause(&stream, time);
                run();
                match deed {
                    _ if !stays => false,
                    Deed::Fail(_) => answer(&mut stream, 500, 0),
                    Deed::HalfAnswer(_) => {
                        world.record(Seen::Wrote {
                            id: id.clone(),
                            target: target.clone(),
                            call,
                            status: 200,
                            wait: 0,
                        });
                        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Le");
                        while pause(&stream, 50) {}
                        return;
                    }
                    Deed::Garbage(_) => {
                        let _ = stream.write_all(b"\x15\x03garbage without a status line\r\n\r\n");
                        false
                    }
                    _ => answer(&mut stream, 200, 0),
                }
            }
            Deed::ServeLate(before, after) => {
                let stays = pause(&stream, before);
                run();
                stays && pause(&stream, after) && answer(&mut stream, 200, 0)
            }
            Deed::Reset { run: runs, after } => {
                pause(&stream, after);
                if runs {
                    run();
                }
                false
            }
            Deed::Hang { run: runs } => {
                if runs {
                    run();
                }
                while pause(&stream, 50) {}
                false
            }
        };
        if !goes_on {
            ended();
            return;
        }
    }
}

/// Id, idempotency key and body have to arrive unchanged.
fn check_content(world: &World, request: &Request, id: &str) {
    let messages = world.messages.lock().unwrap();
    let problem = match messages.get(id) {
        None => Some("a message that no client handed in".to_string()),
        Some(m) if m.body != request.body => Some("another body".to_string()),
        Some(m) if m.idempotency_key.as_deref() != request.header("Idempotency-Key") => {
            Some("another idempotency key".to_string())
        }
        Some(_) if request.method != "POST" || request.path != "/v1/messages" => {
            Some("another request line".to_string())
        }
        Some(_) => None,
    };
    drop(messages);
    if let Some(problem) = problem {
        world.step(format!("FOREIGN call {id}: {problem}"));
    }
}

/// A conduct that draws from many troubles. `trouble` is their share.
pub fn troubled(seed: u64, trouble: f64) -> Conduct {
    let mut random = Random::new(seed);
    let mut bad_until: (Millis, Deed) = (0, Deed::Refuse);
    let mut shut_until: Millis = 0;
    Box::new(move |now, _| {
        let usual = 40 + random.below(160);
        if now < shut_until {
            return Deed::Wait(shut_until - now);
        }
        if now < bad_until.0 {
            return bad_until.1;
        }
        if random.unit() >= trouble {
            return Deed::Serve(usual);
        }
        match random.below(16) {
            0 => {
                bad_until = (now + 3_000 + random.below(6_000), Deed::Hang { run: random.below(2) == 0 });
                bad_until.1
            }
            1 => {
                bad_until = (now + 2_000 + random.below(4_000), Deed::Refuse);
                Deed::Refuse
            }
            2 | 3 => {
                shut_until = now + 200 + random.below(900);
                Deed::Wait(shut_until - now)
            }
            4 => Deed::Fail(usual),
            5 | 6 => Deed::Reset { run: true, after: usual },
            7 => Deed::Reset { run: false, after: usual / 4 },
            8 => Deed::Hang { run: true },
            9 => Deed::Hang { run: false },
            10 => Deed::HalfAnswer(usual),
            11 => Deed::Garbage(usual),
            12 | 13 => Deed::ServeLate(usual, 1_000 + random.below(4_000)),
            14 => Deed::ServeLate(500 + random.below(3_000), usual),
            _ => Deed::Refuse,
        }
    })
}
