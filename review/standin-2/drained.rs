//! A drain that was told before a restart, while discovery is down.
//!
//! Two forwarders. One of the two endpoints of a partner is drained; both forwarders are told at once. Later discovery
//! goes down for 8 s, and one forwarder is killed and started again with its folder. Its configuration has the list
//! from the start of the run. The drained endpoint must get nothing new later than 2 s after the forwarder was told.

use crate::clients::{start_client, Traffic};
use crate::platform::{entry, start_agent, Deployment, Forwarder};
use crate::rules;
use crate::targets::{start_target, Conduct, Deed};
use crate::world::{Random, Seen, World};
use crate::{finish, Start};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// Clients of each forwarder, and the mean time between two messages of a client.
const CLIENTS: u64 = 6;
const GAP_MS: u64 = 300;
/// Discovery is down for so long (FLEET, `herd+mass`).
const DISCOVERY_DOWN: Duration = Duration::from_secs(8);
/// The restart: the next start comes so long after SIGKILL (PROTOCOL).
const RESTART: Duration = Duration::from_millis(600);

/// Serves each call in the usual time of the site, 120 to 200 ms.
fn usual(seed: u64) -> Conduct {
    let mut random = Random::new(seed);
    Box::new(move |_, _| Deed::Serve(120 + random.below(80)))
}

pub fn run(start: &Start) -> u8 {
    let world = Arc::new(World::new(Vec::new()));
    for id in ["s-0-1", "s-0-2", "s-1-3"] {
        let dest = id.as_bytes()[2] - b'0';
        let address = start_target(&world, id, usual(u64::from(id.as_bytes()[4])));
        world.change_list(|list| list.push(entry(id, &address, u32::from(dest), 60.0)));
    }
    let mut forwarders = Vec::new();
    for name in ["n1", "n2"] {
        let agent = start_agent(&world);
        let deployment = Deployment { forwarders: 2, ..Deployment::default() };
        let mut forwarder =
            Forwarder::new(name, &world, &start.root, &start.folder.join(name), &agent, deployment);
        forwarder.start();
        forwarders.push(forwarder);
    }
    if !forwarders.iter_mut().all(Forwarder::wait_until_ready) {
        return 2;
    }
    let traffic = Traffic {
        gap_ms: GAP_MS,
        destinations: 2,
        deadline_ms: (24_000, 24_000),
        fee_share: 0.44,
        max_body: 400,
    };
    let clients: Vec<_> = (0..2 * CLIENTS)
        .map(|n| start_client(&world, &forwarders[n as usize % 2].listen, n, 1, traffic))
        .collect();
    sleep(Duration::from_secs(4));
    world.change_list(|list| list[0].state = "leaving");
    world.record(Seen::Told { target: "s-0-1".into(), state: "leaving" });
    sleep(Duration::from_secs(4));
    if start.trouble {
        world.step("discovery down");
        world.discovery_down.store(true, Ordering::SeqCst);
        sleep(Duration::from_secs(1));
        forwarders[0].kill();
        sleep(RESTART);
        forwarders[0].start();
        if !forwarders[0].wait_until_ready() {
            return 2;
        }
        sleep(DISCOVERY_DOWN - Duration::from_secs(1) - RESTART);
        world.discovery_down.store(false, Ordering::SeqCst);
        world.step("discovery up");
    } else {
        sleep(DISCOVERY_DOWN);
    }
    sleep(Duration::from_secs(4));
    world.clients_stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    sleep(Duration::from_secs(1));
    let (breaches, summary) = rules::check(&world.all_seen(), 10_000, world.now());
    finish(start, &world, "drain", &breaches, &summary)
}
