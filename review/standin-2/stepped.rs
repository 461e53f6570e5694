//! The wall clock steps back while a forwarder of a site is restarted.
//!
//! A partner runs updates and answers none for 4 s. The forwarder is killed and started again, by when the partner has
//! forgotten the keys, with a wall clock that is some seconds behind. It must not send an update that has run again.

use crate::site::{Partner, Site, SiteClient, SiteDraft};
use crate::world::World;
use crate::Start;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long the partner remembers a key.
const REMEMBERED_MS: u64 = 4_000;
/// The forwarder is killed so long after the first call.
const KILLED_AFTER: Duration = Duration::from_millis(3_850);
/// It is started again so long after SIGKILL (PROTOCOL).
const DOWN: Duration = Duration::from_millis(600);
/// How far the wall clock is behind after the restart, in seconds (issue 56).
const STEP_S: i64 = -7;
const CLASSES: &str =
    "[class.update]\neffect = \"keyed\"\nremembered = \"4s\"\ndeadline = \"24s\"\naim = \"3s\"\n";

pub fn run(start: &Start) -> u8 {
    let world = Arc::new(World::new(Vec::new()));
    let mut partner = Partner::new(Some(REMEMBERED_MS));
    partner.pace = Box::new(|_| 150);
    // Its first calls are run, and their answers get lost.
    let opened = world.clone();
    partner.silent = Box::new(move |_| opened.now() < 4_000);
    let partner = Arc::new(partner);
    let address = partner.start(&world, "school");
    let mut site = Site::prepare(&world, &start.root, &start.folder, &["a"], &[("school", address)], CLASSES);
    if !site.start_all() {
        eprintln!("{}", site.log(0));
        return 2;
    }
    let mut client = SiteClient::new(&world);
    let at = site.members[0].clients.clone();
    let begun = Instant::now();
    let mut taken = 0;
    for n in 0..3 {
        let draft = SiteDraft {
            id: format!("update-{n}"),
            class: "update",
            key: format!("pupil-{n}"),
            partner: "school",
        };
        taken += u32::from(client.hand_in(&at, &draft, true).is_some_and(|answer| answer.status == 202));
        sleep(Duration::from_millis(50));
    }
    sleep(KILLED_AFTER.saturating_sub(begun.elapsed()));
    site.kill(0);
    sleep(DOWN);
    if start.trouble {
        site.clock_offset_s = STEP_S;
        world.step(format!("the wall clock steps by {STEP_S} s"));
    }
    if !site.start_all() {
        return 2;
    }
    sleep(Duration::from_secs(10));
    let runs = partner.runs.lock().unwrap();
    let twice: Vec<String> = runs
        .iter()
        .filter(|(_, at)| at.len() > 1)
        .map(|(id, at)| format!("BROKEN {id} took effect at {at:?}"))
        .collect();
    let mut text = world.record_text();
    twice.iter().for_each(|line| text += &format!("{line}\n"));
    println!("{taken} taken on, {} took effect, {} more than once: {twice:?}", runs.len(), twice.len());
    if start.number("keep", 0) > 0 {
        text += &site.log(0);
    }
    if taken == 0 || std::fs::write(&start.record, text).is_err() {
        return 2;
    }
    u8::from(!twice.is_empty())
}
