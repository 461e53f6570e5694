//! A site of three forwarders that carries much traffic for some time, and no fault.
//!
//! Payments come at 2,000 a second until 130,000 have been handed in, then at 110 a second. With `TROUBLE=0` all of the
//! traffic comes at 110 a second. Each forwarder has to go on answering.

use crate::site::{Partner, Site, SiteClient, SiteDraft};
use crate::world::World;
use crate::Start;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The forwarders.
const NAMES: [&str; 3] = ["lhotka-1", "lhotka-2", "lhotka-3"];
/// Clients of each forwarder.
const CLIENTS: usize = 12;
/// Messages a second, of all clients: GROWTH names the one, BRIEF the other.
const MUCH: u64 = 2_000;
const USUAL: u64 = 110;
/// Messages that come at the higher rate.
const CROWD: u64 = 130_000;
/// How long the usual traffic is watched.
const WATCHED: Duration = Duration::from_secs(30);
/// The case is over after this time in any event.
const LONGEST: Duration = Duration::from_secs(100);
/// A forwarder that answers no client for so long, with clients asking, hangs.
const HANGS_AFTER: Duration = Duration::from_secs(10);
const CLASSES: &str =
    "[limits]\ncalls = 128\n[ends]\ncount = 200000\nsize = \"96MiB\"\n[calls]\nconnection-rest = \"0s\"\n\
                       [class.fee]\neffect = \"once\"\ndeadline = \"24s\"\naim = \"3s\"\n";

/// What the clients of one forwarder saw.
#[derive(Default)]
struct Watch {
    handed_in: AtomicU64,
    answered: AtomicU64,
    /// When a client last got an answer, and the longest time without one.
    silence: Mutex<(Option<Instant>, Duration)>,
}

impl Watch {
    fn saw(&self, answered: bool) {
        self.handed_in.fetch_add(1, Ordering::SeqCst);
        self.answered.fetch_add(u64::from(answered), Ordering::SeqCst);
        let mut silence = self.silence.lock().unwrap();
        let now = Instant::now();
        let since = *silence.0.get_or_insert(now);
        silence.1 = silence.1.max(now - since);
        if answered {
            silence.0 = Some(now);
        }
    }

    fn longest_silence(&self) -> Duration {
        self.silence.lock().unwrap().1
    }
}

/// How fast the clients go: messages a second, and how many were due before the rate changed.
struct Pace {
    rate: AtomicU64,
    base: Mutex<(Instant, u64)>,
    taken: AtomicU64,
}

impl Pace {
    fn set(&self, rate: u64) {
        self.rate.store(rate, Ordering::SeqCst);
        *self.base.lock().unwrap() = (Instant::now(), self.taken.load(Ordering::SeqCst));
    }

    /// The number of the next message, if one is due.
    fn next(&self) -> Option<u64> {
        let base = self.base.lock().unwrap();
        let due = base.1 + (base.0.elapsed().as_secs_f64() * self.rate.load(Ordering::SeqCst) as f64) as u64;
        let taken = self.taken.load(Ordering::SeqCst);
        (taken < due).then(|| self.taken.fetch_add(1, Ordering::SeqCst))
    }
}

pub fn run(start: &Start) -> u8 {
    let world = Arc::new(World::new(Vec::new()));
    let mut provider = Partner::new(None);
    provider.recorded = false;
    let provider = Arc::new(provider);
    let address = provider.start(&world, "provider");
    let mut site =
        Site::prepare(&world, &start.root, &start.folder, &NAMES, &[("provider", address)], CLASSES);
    site.on_one_core = true;
    if !site.start_all() {
        return 2;
    }
    let watches = NAMES.map(|_| Arc::new(Watch::default()));
    let pace = Arc::new(Pace {
        rate: AtomicU64::new(0),
        base: Mutex::new((Instant::now(), 0)),
        taken: AtomicU64::new(0),
    });
    pace.set(if start.trouble { MUCH } else { USUAL });
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..NAMES.len() * CLIENTS)
        .map(|n| {
            let address = site.members[n % NAMES.len()].clients.clone();
            let (world, watch, pace, stop) =
                (world.clone(), watches[n % NAMES.len()].clone(), pace.clone(), stop.clone());
            spawn(move || {
                let mut client = SiteClient::new(&world);
                while !stop.load(Ordering::SeqCst) {
                    match pace.next() {
                        Some(number) => {
                            let draft = SiteDraft {
                                id: format!("m-{number}"),
                                class: "fee",
                                key: "0".into(),
                                partner: "provider",
                            };
                            watch.saw(client.hand_in(&address, &draft, false).is_some());
                        }
                        None => sleep(Duration::from_millis(1)),
                    }
                }
            })
        })
        .collect();
    let begun = Instant::now();
    let tell = |text: &str| {
        let of = |n: usize| {
            format!(
                "{}: {} handed in, {} answered, longest without an answer {:.1} s",
                site.members[n].name,
                watches[n].handed_in.load(Ordering::SeqCst),
                watches[n].answered.load(Ordering::SeqCst),
                watches[n].longest_silence().as_secs_f64()
            )
        };
        let each: Vec<String> = (0..NAMES.len()).map(of).collect();
        world.step(format!("{text}; {}", each.join("; ")));
    };
    let mut crowd_over = None;
    while begun.elapsed() < LONGEST && crowd_over.is_none_or(|at: Instant| at.elapsed() < WATCHED) {
        sleep(Duration::from_secs(2));
        tell("traffic");
        let hangs = watches.iter().any(|watch| watch.longest_silence() > Duration::from_secs(2));
        let is_over = !start.trouble || hangs || pace.taken.load(Ordering::SeqCst) >= CROWD;
        if crowd_over.is_none() && is_over && (start.trouble || begun.elapsed() > Duration::from_secs(50)) {
            pace.set(USUAL);
            crowd_over = Some(Instant::now());
            tell("from now on the usual traffic");
        }
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let longest = watches.iter().map(|watch| watch.longest_silence()).max().unwrap_or_default();
    let hangs = longest > HANGS_AFTER;
    tell(if hangs { "BROKEN a forwarder has answered nobody for over 10 s" } else { "held" });
    let mut text = world.record_text();
    let is_complete = hangs || !start.trouble || pace.taken.load(Ordering::SeqCst) >= CROWD;
    println!("{}", text.lines().last().unwrap_or(""));
    if start.number("keep", 0) > 0 {
        (0..NAMES.len()).for_each(|n| text += &site.log(n));
    }
    if std::fs::write(&start.record, text).is_err() || !is_complete {
        return 2;
    }
    u8::from(hangs)
}
