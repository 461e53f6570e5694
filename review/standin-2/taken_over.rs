//! A keyed message that another forwarder takes over while its first holder is cut off.
//!
//! Three forwarders of a site. Updates for one key wait at the first; the answer to the last gets lost, and the zone of
//! that forwarder is partitioned for 6 s. The client hands the last update in at another forwarder, which takes it over
//! and delivers it. The first holder sends it when the partition ends, and the partner has forgotten the key by then.

use crate::site::{Partner, Site, SiteClient, SiteDraft};
use crate::world::World;
use crate::Start;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long the partner remembers a key.
const REMEMBERED_MS: u64 = 4_000;
/// How long the zone is partitioned (FLEET, `split+mass`).
const PARTITION: Duration = Duration::from_secs(6);
/// Updates for one key, each of which takes 150 ms at the partner.
const UPDATES: usize = 8;
/// The partition begins so long after the last update was handed in.
const PARTITION_AFTER: Duration = Duration::from_millis(300);
/// A client waits so long for an answer (PROTOCOL).
const CLIENT_PATIENCE: Duration = Duration::from_millis(400);
const CLASSES: &str = "[class.update]\neffect = \"keyed\"\nremembered = \"4s\"\nordered = true\ndeadline = \"24s\"\naim = \"3s\"\n";

pub fn run(start: &Start) -> u8 {
    let world = Arc::new(World::new(Vec::new()));
    let mut partner = Partner::new(Some(REMEMBERED_MS));
    partner.pace = Box::new(|_| 150);
    let partner = Arc::new(partner);
    let address = partner.start(&world, "school");
    let mut site =
        Site::prepare(&world, &start.root, &start.folder, &["a", "b", "c"], &[("school", address)], CLASSES);
    if !site.start_all() {
        (0..3).for_each(|n| eprintln!("{}", site.log(n)));
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
    let set = |n: usize, answers_lost: Option<bool>, cut: Option<bool>| {
        let member = &site.members[n];
        if let Some(lost) = answers_lost {
            member.client_link.answers_lost.store(lost, Ordering::SeqCst);
            world.step(format!("answers of {} to clients are lost: {lost}", member.name));
        }
        if let Some(cut) = cut {
            member.network.cut.store(cut, Ordering::SeqCst);
            member.client_link.cut.store(cut, Ordering::SeqCst);
            world.step(format!("zone of {} partitioned: {cut}", member.name));
        }
    };
    // Updates for one key, one after another, each when the one before has its answer. Only the last answer gets lost.
    for n in 1..UPDATES {
        client.hand_in(&at_a, &draft(&format!("update-{n}"), "pupil"), true);
    }
    let last = draft("update-last", "pupil");
    if start.trouble {
        set(0, Some(true), None);
    }
    let answered = std::thread::scope(|scope| {
        let handing_in = scope.spawn(|| client.hand_in(&at_a, &last, true));
        sleep(PARTITION_AFTER);
        if start.trouble {
            set(0, None, Some(true));
        }
        handing_in.join().unwrap()
    });
    let partitioned = Instant::now();
    // A client whose forwarder does not answer hands the message in at another, under its id.
    if answered.is_none() {
        for _ in 0..10 {
            match client.hand_in(&at_b, &last, true) {
                Some(answer) if answer.status != 202 && answer.status != 409 => sleep(answer.retry_after),
                Some(_) => break,
                None => sleep(Duration::from_millis(300)),
            }
        }
    }
    sleep(PARTITION.saturating_sub(partitioned.elapsed() + CLIENT_PATIENCE - PARTITION_AFTER));
    if start.trouble {
        set(0, Some(false), Some(false));
    }
    sleep(Duration::from_secs(22));
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
