//! A keyed message that is taken over, can't be sent while the partner is at its limit, and is handed back without a limit.
//!
//! Three forwarders of a site. An update has run, the answer to its client gets lost, the zone of its forwarder is
//! partitioned for 6 s, and the partner is at its limit for 4.5 s. The second forwarder takes the update over, finds no time to
//! send it, and hands it back. Its client hands it in again, as it may, and the update takes effect a second time.

use crate::site::{Partner, Site, SiteClient, SiteDraft};
use crate::world::World;
use crate::Start;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long the partner remembers a key.
const REMEMBERED_MS: u64 = 4_000;
/// How long the zone is partitioned (FLEET, `split+mass`).
const PARTITION: Duration = Duration::from_secs(6);
/// The partition begins so long after the update was handed in, while its call is out.
const PARTITION_AFTER: Duration = Duration::from_millis(80);
/// How long the partner is at its limit (BRIEF: traffic jumps for 3.3 to 9.9 s), and the longest wait that it tells then.
const FULL_MS: u64 = 4_500;
const LONGEST_WAIT_MS: u64 = 1_000;
const CLASSES: &str =
    "[class.update]\neffect = \"keyed\"\nremembered = \"4s\"\nordered = true\ndeadline = \"24s\"\naim = \"3s\"\n";

pub fn run(start: &Start) -> u8 {
    let world = Arc::new(World::new(Vec::new()));
    let full_until = Arc::new(AtomicU64::new(0));
    let mut partner = Partner::new(Some(REMEMBERED_MS));
    partner.pace = Box::new(|_| 150);
    let until = full_until.clone();
    partner.shut_for = Box::new(move |now| {
        until
            .load(Ordering::SeqCst)
            .checked_sub(now)
            .filter(|left| *left > 0)
            .map(|left| left.min(LONGEST_WAIT_MS))
    });
    let partner = Arc::new(partner);
    let address = partner.start(&world, "school");
    let mut site =
        Site::prepare(&world, &start.root, &start.folder, &["a", "b", "c"], &[("school", address)], CLASSES);
    if !site.start_all() {
        return 2;
    }
    let draft = |id: &str, key: &str| SiteDraft {
        id: id.into(),
        class: "update",
        key: key.into(),
        partner: "school",
    };
    let mut client = SiteClient::new(&world);
    for n in 0..30 {
        let address = site.members[n % 3].clients.clone();
        client.hand_in(&address, &draft(&format!("before-{n}"), &format!("k{n}")), true);
        sleep(Duration::from_millis(100));
    }
    sleep(Duration::from_secs(1));
    let (at_a, at_b) = (site.members[0].clients.clone(), site.members[1].clients.clone());
    let update = draft("update", "pupil");
    let a = &site.members[0];
    if start.trouble {
        a.client_link.answers_lost.store(true, Ordering::SeqCst);
        world.step("answers of a to clients are lost");
    }
    let answered = std::thread::scope(|scope| {
        let handing_in = scope.spawn(|| client.hand_in(&at_a, &update, true));
        sleep(PARTITION_AFTER);
        if start.trouble {
            a.network.cut.store(true, Ordering::SeqCst);
            a.client_link.cut.store(true, Ordering::SeqCst);
            full_until.store(world.now() + FULL_MS, Ordering::SeqCst);
            world.step("zone of a partitioned, partner at its limit");
        }
        handing_in.join().unwrap()
    });
    let partitioned = Instant::now();
    // A client whose forwarder does not answer hands the message in at another; one that is handed back comes again.
    let mut taken = answered.is_some_and(|answer| answer.status == 202);
    let mut at = if taken { &at_a } else { &at_b };
    while partitioned.elapsed() < PARTITION {
        if !taken {
            at = &at_b;
            match client.hand_in(at, &update, true) {
                Some(answer) if answer.status == 202 => taken = true,
                Some(answer) if answer.status == 409 => break,
                Some(answer) => sleep(answer.retry_after.min(Duration::from_secs(1))),
                None => sleep(Duration::from_millis(300)),
            }
        }
        sleep(Duration::from_millis(100));
        let state = client.state_of(at, "update").unwrap_or_default();
        if state.contains("\"handed_back\"") {
            world.step(format!("the forwarder tells: {state}"));
            // With a limit the client would have to look at its clock; without one it may come again.
            if state.contains("harmless_until\":")
                && !state.contains("harmless_until\":null")
                && !state.contains("harmless_until\":0")
            {
                break;
            }
            taken = false;
            // It may come "at once or after `retry_in_ms`": the longer of the two.
            let wait = state
                .split_once("retry_in_ms\":")
                .and_then(|(_, rest)| rest.split([',', '}']).next()?.parse().ok());
            sleep(Duration::from_millis(wait.unwrap_or(0)));
        }
    }
    if start.trouble {
        sleep(PARTITION.saturating_sub(partitioned.elapsed()));
        a.client_link.answers_lost.store(false, Ordering::SeqCst);
        a.client_link.cut.store(false, Ordering::SeqCst);
        a.network.cut.store(false, Ordering::SeqCst);
        world.step("zone of a is back");
    }
    sleep(Duration::from_secs(20));
    let runs = partner.runs.lock().unwrap();
    let mut text = world.record_text();
    let twice: Vec<String> = runs
        .iter()
        .filter(|(_, at)| at.len() > 1)
        .map(|(id, at)| format!("BROKEN {id} took effect at {at:?}"))
        .collect();
    twice.iter().for_each(|line| text += &format!("{line}\n"));
    println!("{} messages took effect, {} more than once: {twice:?}", runs.len(), twice.len());
    if start.number("keep", 0) > 0 {
        (0..3).for_each(|n| text += &site.log(n));
    }
    if std::fs::write(&start.record, text).is_err() {
        return 2;
    }
    u8::from(!twice.is_empty())
}
