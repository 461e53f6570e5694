//! A process that comes up at the address of one that has gone is not taken for it.

use super::*;
use serde_json::{json, Value};
use std::collections::HashSet;
use std::sync::Mutex;

/// When the process that is gone and the one at its address started, Unix time in milliseconds.
const OLD_START: u64 = 1_000;
const NEW_START: u64 = 2_000;
/// Calls before a restart, and the time between them, after which a connection is used again.
const CALLS_BEFORE: usize = 4;
const BETWEEN_CALLS: Duration = Duration::from_millis(1_600);
/// How long after a submission a call would show where the message went.
const SETTLED: Duration = Duration::from_millis(1_500);

/// Entries that changed with a version of the list.
#[derive(Clone)]
struct Change {
    version: u64,
    entries: Vec<Value>,
}

/// Discovery that sends the whole list and then changes, as the test tells them.
struct Changes {
    discovery: Arc<Server>,
    changes: Arc<Mutex<Vec<Change>>>,
}

/// An entry of a process that started at this time.
fn started(id: &str, target: &Server, cell: u32, started_ms: u64) -> Value {
    let mut entry = list_entry(id, target.address, cell, "active");
    entry["started_ms"] = started_ms.into();
    entry
}

impl Changes {
    fn start(first: Vec<Value>) -> Changes {
        let changes: Arc<Mutex<Vec<Change>>> = Arc::default();
        let shared = changes.clone();
        let discovery = Server::start(move |request| {
            if request.method == "POST" {
                return Reply::Status(204, "");
            }
            let Some((_, rest)) = request.path.split_once("since=") else {
                return Reply::Body(json!({"version": 1, "full": true, "servers": first}).to_string().into());
            };
            let since: u64 = rest.split('&').next().unwrap().parse().unwrap();
            let patience = Instant::now() + MS(500);
            loop {
                let news = shared.lock().unwrap().iter().find(|change| change.version > since).cloned();
                let Change { version, entries } = match news {
                    Some(news) => news,
                    None if Instant::now() < patience => {
                        sleep(MS(5));
                        continue;
                    }
                    None => Change { version: since, entries: Vec::new() },
                };
                let list = json!({"version": version, "full": false, "servers": entries});
                return Reply::Body(list.to_string().into());
            }
        });
        Changes { discovery, changes }
    }

    fn forwarder(&self, known: Vec<Value>) -> Forwarder {
        let platform = Platform::start(known);
        Forwarder::start_with(&platform, |config| {
            config["discovery"] = self.discovery.address.to_string().into();
        })
    }

    /// Tells a change and waits until the forwarder has it.
    fn tell(&self, entries: Vec<Value>) {
        let version = {
            let mut changes = self.changes.lock().unwrap();
            let version = 2 + changes.len() as u64;
            changes.push(Change { version, entries });
            version
        };
        let next = format!("since={version}&");
        eventually("the change arrives", || self.discovery.seen().iter().any(|r| r.path.contains(&next)));
    }
}

// Guards against issue 71: a message went to the process of another destination at the address of one that had gone.
#[test]
fn messages_for_a_process_that_was_replaced_by_one_of_another_destination_are_not_sent_to_it() {
    let target = Server::start(|_| OK);
    let old = vec![started("s-old", &target, 1, OLD_START)];
    let discovery = Changes::start(old.clone());
    let forwarder = discovery.forwarder(old);
    assert_eq!(forwarder.submit(&fee("before")), 202);
    eventually("the first call", || target.ids() == ["before"]);
    discovery.tell(vec![started("s-new", &target, 2, NEW_START)]);
    forwarder.submit(&fee("for-the-old"));
    assert_eq!(forwarder.submit(&fee("for-the-new").for_destination(2)), 202);
    sleep(SETTLED);
    assert_eq!(target.ids(), ["before", "for-the-new"]);
}

// Guards against issue 71: a message was written to a connection of the process that had run at the address before.
#[test]
fn a_call_to_a_restarted_process_uses_no_connection_of_the_one_before() {
    let target = Server::start(|_| OK);
    let old = vec![started("s-1", &target, 1, OLD_START)];
    let discovery = Changes::start(old.clone());
    let forwarder = discovery.forwarder(old);
    let mut connections = Vec::new();
    for n in 0..CALLS_BEFORE {
        assert_eq!(forwarder.submit(&fee(&format!("before-{n}"))), 202);
        eventually("the call", || target.ids().len() == n + 1);
        connections.push(target.seen()[n].connection);
        sleep(BETWEEN_CALLS);
    }
    let different: HashSet<_> = connections.iter().collect();
    assert!(different.len() < CALLS_BEFORE, "no connection was used again: {connections:?}");
    discovery.tell(vec![started("s-1", &target, 1, NEW_START)]);
    assert_eq!(forwarder.submit(&fee("after")), 202);
    eventually("the call after the restart", || target.ids().len() == CALLS_BEFORE + 1);
    let after = target.seen()[CALLS_BEFORE].connection;
    assert!(!connections.contains(&after), "call on {after}, opened before the restart: {connections:?}");
}

// Guards against taking several destinations behind one address for a replaced process.
#[test]
fn destinations_that_share_an_address_are_all_served() {
    let target = Server::start(|_| OK);
    let old = vec![started("s-1", &target, 1, 0)];
    let discovery = Changes::start(old.clone());
    let forwarder = discovery.forwarder(old);
    discovery.tell(vec![started("s-2", &target, 2, 0)]);
    assert_eq!(forwarder.submit(&fee("first")), 202);
    assert_eq!(forwarder.submit(&fee("second").for_destination(2)), 202);
    eventually("both are delivered", || target.ids().len() == 2);
}
