//! Many troubles at once by a seed: targets that fail in many ways, drains, kills, restarts and a discovery that is down.

use crate::clients::{start_client, Traffic};
use crate::platform::{entry, start_agent_until, Deployment, Forwarder};
use crate::rules;
use crate::targets::{start_target, troubled};
use crate::world::{Random, Seen, World};
use crate::Start;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

pub fn run(start: &Start) -> u8 {
    let seed = start.number("seed", 1);
    let seconds = start.number("seconds", 60);
    let mut random = Random::new(seed);
    let world = Arc::new(World::new(Vec::new()));
    let destinations = 6;
    let share = start.number("trouble", 15) as f64 / 100.0;
    let mut next = 0;
    for dest in 0..destinations {
        for _ in 0..1 + dest % 3 {
            add_target(&world, &mut next, dest, seed, share);
        }
    }
    let mut moved = Arc::<AtomicBool>::default();
    let agent = start_agent_until(&world, &moved);
    let deployment = Deployment {
        deadline_ms: start.number("deadline", 8_000),
        window_ms: start.number("window", 4_000),
        max_open: start.number("open", 519) as u32,
        slots: start.number("slots", 28) as u32,
        weight_source: "none",
        ..Deployment::default()
    };
    let window = deployment.window_ms;
    let (shortest, longest) = (start.number("shortest", 1_000), deployment.deadline_ms);
    let mut forwarder = Forwarder::new("n1", &world, &start.root, &start.folder, &agent, deployment);
    forwarder.start();
    if !forwarder.wait_until_ready() {
        return 2;
    }
    let traffic = Traffic {
        gap_ms: start.number("gap", 200),
        destinations,
        deadline_ms: (shortest, longest),
        fee_share: 0.45,
        max_body: start.number("body", 400),
    };
    let clients: Vec<_> = (0..start.number("clients", 16))
        .map(|n| start_client(&world, &forwarder.listen, n, seed, traffic))
        .collect();
    let most_disk = Arc::new(std::sync::atomic::AtomicU64::new(0));
    let (folder, most) = (forwarder.state_folder(), most_disk.clone());
    std::thread::spawn(move || loop {
        most.fetch_max(crate::platform::folder_bytes(&folder), Ordering::SeqCst);
        sleep(Duration::from_millis(2));
    });
    let until = world.now() + seconds * 1_000;
    let kills = start.number("kills", 1) > 0 && start.trouble;
    while world.now() < until {
        sleep(Duration::from_millis(400 + random.below(2_500)));
        if forwarder.has_ended() {
            world.step("CRASH the forwarder has ended by itself");
            break;
        }
        match random.below(if start.trouble { 13 } else { 1 }) {
            0 | 1 => world.change_list(|list| {
                let active: Vec<usize> = (0..list.len()).filter(|n| list[*n].state == "active").collect();
                let at = active[random.below(active.len() as u64) as usize];
                let cell = list[at].cell;
                if list.iter().filter(|e| e.cell == cell && e.state == "active").count() > 1 {
                    list[at].state = "leaving";
                    world.record(Seen::Told { target: list[at].id.clone(), state: "leaving" });
                }
            }),
            2 => add_target(&world, &mut next, random.below(u64::from(destinations)) as u32, seed, share),
            3 | 4 if kills => {
                forwarder.kill();
                sleep(Duration::from_millis(600));
                forwarder.write_config(&world.list_text());
                forwarder.start();
                if random.below(3) == 0 {
                    sleep(Duration::from_millis(random.below(60)));
                    forwarder.kill();
                    sleep(Duration::from_millis(600));
                    forwarder.start();
                }
                if !forwarder.wait_until_ready() {
                    world.step("CRASH not ready");
                    break;
                }
            }
            5 if kills => {
                forwarder.signal("TERM");
                sleep(Duration::from_millis(3_700 + random.below(300)));
                forwarder.kill();
                sleep(Duration::from_millis(600));
                forwarder.write_config(&world.list_text());
                forwarder.start();
                if !forwarder.wait_until_ready() {
                    world.step("CRASH not ready");
                    break;
                }
            }
            6 => {
                world.step("discovery down");
                world.discovery_down.store(true, Ordering::SeqCst);
                sleep(Duration::from_millis(random.below(3_000)));
                world.discovery_down.store(false, Ordering::SeqCst);
                world.step("discovery up");
            }
            7 => {
                forwarder.signal("STOP");
                sleep(Duration::from_millis(random.below(150)));
                forwarder.signal("CONT");
            }
            8 => {
                // Discovery moves; the old address answers nothing from now on.
                let next = Arc::<AtomicBool>::default();
                let agent = start_agent_until(&world, &next);
                forwarder.move_discovery(&agent);
                sleep(Duration::from_millis(random.below(60)));
                moved.store(true, Ordering::SeqCst);
                moved = next;
            }
            9 => {
                // A target comes up at another address under its id.
                let at = random.below(next) + 1;
                let found = world
                    .entries()
                    .into_iter()
                    .find(|e| e.state == "active" && e.id.ends_with(&format!("-{at}")));
                if let Some(found) = found {
                    let conduct = troubled(seed * 1000 + 500 + at, share);
                    let address = start_target(&world, &found.id, conduct);
                    world.change_list(|list| {
                        let now = world.unix_start_ms() + world.now();
                        list.iter_mut().filter(|e| e.id == found.id).for_each(|e| {
                            (e.address, e.started_ms) = (address.clone(), now);
                        });
                    });
                    world.step(format!("{} moves", found.id));
                }
            }
            _ => {}
        }
    }
    world.clients_stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    sleep(Duration::from_millis(longest + 1_000));
    let end = world.now();
    let (breaches, summary) = rules::check(&world.all_seen(), window, end);
    let mut text = world.record_text();
    for breach in &breaches {
        text += &format!("BROKEN {}: {}\n", breach.rule, breach.text);
        println!("BROKEN {}: {}", breach.rule, breach.text);
    }
    text += &format!("{summary:?}\n");
    println!(
        "seed {seed}: {summary:?}, {} breaches, disk {}",
        breaches.len(),
        most_disk.load(Ordering::SeqCst)
    );
    let _ = std::fs::write(&start.record, text);
    if start.number("keep", 0) > 0 {
        let _ = std::fs::write(start.record.with_extension("log"), forwarder.log());
    }
    u8::from(!breaches.is_empty())
}

fn add_target(world: &Arc<World>, next: &mut u64, dest: u32, seed: u64, share: f64) {
    *next += 1;
    let id = format!("s-{dest}-{next}");
    let address = start_target(world, &id, troubled(seed * 1000 + *next, share));
    world.change_list(|list| list.push(entry(&id, &address, dest, 0.0)));
}
