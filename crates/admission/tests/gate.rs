//! The gate in simulated time: floods, the reserve, shares, and invariants under any sequence of
//! events.

use foldtrack_admission::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::IpAddr;

const SECOND: Micros = 1_000_000;
const MS: Micros = 1_000;

fn settings() -> Settings {
    Settings {
        reserve: 20,
        per_address: 10,
        per_known: 40,
        per_prefix: 30,
        known: vec!["10.0.0.0/8".parse().unwrap()],
        ..Settings::for_connections(60)
    }
}

fn ip(text: &str) -> IpAddr {
    text.parse().unwrap()
}

/// A gate with a simulated clock and a counter of connection numbers.
struct Simulation {
    gate: Gate,
    now: Micros,
    next: u64,
}

impl Simulation {
    fn new(settings: Settings) -> Simulation {
        Simulation { gate: Gate::new(settings), now: SECOND, next: 0 }
    }

    fn connect(&mut self, address: &str) -> (u64, ConnectDecision) {
        self.next += 1;
        (self.next, self.gate.connect(self.now, self.next, ip(address)))
    }

    fn admit(&mut self, address: &str) -> u64 {
        let (number, admit) = self.connect(address);
        assert!(matches!(admit, ConnectDecision::Admit { .. }), "{address}: {admit:?}");
        number
    }

    fn advance(&mut self, span: Micros) {
        self.now += span;
    }

    fn submit(&mut self, number: u64) -> RequestDecision {
        let decision = self.gate.begin_request(self.now, number);
        self.gate.end_request(self.now, number, decision == RequestDecision::Accept);
        decision
    }
}

fn reject_reason(admit: &ConnectDecision) -> Option<RejectReason> {
    match admit {
        ConnectDecision::Reject { reason, .. } => Some(*reason),
        _ => None,
    }
}

#[test]
fn a_flood_from_one_address_stays_within_its_limit_and_known_clients_get_in() {
    let mut sim = Simulation::new(settings());
    let mut rejected = 0;
    for _ in 0..5_000 {
        rejected += u64::from(reject_reason(&sim.connect("192.0.2.9").1).is_some());
        sim.advance(100);
    }
    assert_eq!(sim.gate.connections_by_group(), (0, 10));
    assert!(rejected > 4_900, "it replaces its own silent connections as fast as it may connect: {rejected}");
    for n in 0..40 {
        let number = sim.admit(&format!("10.0.0.{}", n % 8));
        assert_eq!(sim.submit(number), RequestDecision::Accept);
    }
    assert_eq!(sim.gate.connections_by_group(), (40, 10));
    let events = sim.gate.take_events(sim.now);
    assert_eq!(events, [Event::FloodStarted { address: Some(ip("192.0.2.9")) }], "one event, not thousands");
    sim.advance(11 * SECOND);
    assert!(
        matches!(sim.gate.take_events(sim.now)[..], [Event::FloodEnded { turned_away, .. }] if turned_away >= 4_000)
    );
    assert!(sim.gate.take_events(sim.now).is_empty());
}

/// The flood comes first, from a thousand addresses in as many prefixes.
#[test]
fn a_flood_from_many_addresses_leaves_the_reserve_and_is_one_event() {
    let mut sim = Simulation::new(settings());
    for n in 0..20_000u32 {
        let address = format!("172.{}.{}.9", 16 + n % 8, n % 250);
        let (number, admit) = sim.connect(&address);
        // Half of them send a request and keep it in flight.
        if n % 2 == 0 && matches!(admit, ConnectDecision::Admit { .. }) {
            sim.gate.begin_request(sim.now, number);
        }
        sim.advance(50);
    }
    assert_eq!(sim.gate.connections_by_group(), (0, 40));
    assert!(sim.gate.account_count() <= 4_096 + 60);
    assert_eq!(sim.gate.take_events(sim.now), [Event::FloodStarted { address: None }]);
    for n in 0..20 {
        sim.admit(&format!("10.0.0.{n}"));
    }
}

#[test]
fn ipv4_mapped_addresses_are_canonical_and_prefixes_are_limited() {
    let mut sim = Simulation::new(settings());
    for n in 0..10 {
        sim.admit(if n % 2 == 0 { "192.0.2.1" } else { "::ffff:192.0.2.1" });
    }
    assert_eq!(reject_reason(&sim.connect("192.0.2.1").1), Some(RejectReason::AddressLimit));
    for n in 0..20 {
        sim.admit(&format!("192.0.2.{}", 10 + n));
    }
    assert_eq!(reject_reason(&sim.connect("192.0.2.99").1), Some(RejectReason::PrefixLimit));
    let mut sim = Simulation::new(settings());
    for n in 0..30 {
        sim.admit(&format!("2001:db8::{n:x}"));
    }
    assert_eq!(
        reject_reason(&sim.connect("2001:db8::abcd").1),
        Some(RejectReason::PrefixLimit),
        "a /64 counts as one"
    );
    sim.admit("2001:db8:0:1::1");
}

#[test]
fn accepted_messages_make_a_client_known_until_it_is_forgotten() {
    let mut sim = Simulation::new(settings());
    let number = sim.admit("192.0.2.1");
    for _ in 0..9 {
        sim.submit(number);
    }
    assert_eq!(sim.gate.connections_by_group(), (0, 1));
    sim.submit(number);
    assert_eq!(sim.gate.connections_by_group(), (1, 0), "ten messages");
    // The address stays known while it is connected, and is forgotten afterwards.
    sim.advance(3_600 * SECOND);
    assert_eq!(sim.gate.connections_by_group(), (1, 0));
    sim.gate.disconnect(sim.now, number);
    let number = sim.admit("192.0.2.1");
    assert_eq!(sim.gate.connections_by_group(), (0, 1));
    // An address that violates HTTP loses half of its credit.
    for _ in 0..10 {
        sim.submit(number);
    }
    sim.gate.penalize(sim.now, number);
    sim.gate.disconnect(sim.now, number);
    sim.admit("192.0.2.1");
    assert_eq!(sim.gate.connections_by_group(), (0, 1));
}

#[test]
fn an_address_with_more_connections_yields_to_one_with_fewer_only() {
    let mut sim = Simulation::new(Settings { per_address: 60, per_prefix: 60, ..settings() });
    let greedy: Vec<u64> = (0..40).map(|_| sim.admit("192.0.2.1")).collect();
    sim.advance(SECOND);
    let (_, admit) = sim.connect("198.51.100.7");
    assert_eq!(
        admit,
        ConnectDecision::Admit { evicted: Some(greedy[0]) },
        "the oldest silent one of the largest holder"
    );
    sim.advance(SECOND);
    // At its limit, an address replaces its own silent connections.
    let (_, admit) = sim.connect("192.0.2.1");
    assert_eq!(admit, ConnectDecision::Admit { evicted: Some(greedy[1]) });
    assert!(sim.gate.connections_by_group().1 == 40);
    // A connection with a request in flight is never evicted.
    let mut sim = Simulation::new(Settings {
        per_address: 60,
        per_prefix: 60,
        max_requests_per_address: 60,
        ..settings()
    });
    for _ in 0..40 {
        let number = sim.admit("192.0.2.1");
        sim.gate.begin_request(sim.now, number);
    }
    assert_eq!(reject_reason(&sim.connect("198.51.100.7").1), Some(RejectReason::NoCapacity));
}

#[test]
fn only_the_surplus_of_a_greedy_client_is_refused() {
    let mut sim =
        Simulation::new(Settings { sharing_threshold: 4, max_requests_per_address: 40, ..settings() });
    let greedy: Vec<u64> = (0..20).map(|_| sim.admit("10.0.0.1")).collect();
    let modest: Vec<u64> = (0..5).map(|n| sim.admit(&format!("10.0.1.{n}"))).collect();
    let (mut refused, mut open) = (0, Vec::new());
    for round in 0..2_000u64 {
        for number in &greedy {
            match sim.gate.begin_request(sim.now, *number) {
                RequestDecision::Accept => open.push(*number),
                RequestDecision::Reject { reason, retry_after } => {
                    assert!(
                        reason == RejectReason::ShareExceeded && retry_after > 0 && retry_after < 10 * SECOND,
                        "{reason:?} {retry_after}"
                    );
                    refused += 1;
                    sim.gate.end_request(sim.now, *number, false);
                }
            }
        }
        if round % 10 == 0 {
            for number in &modest {
                assert_eq!(sim.submit(*number), RequestDecision::Accept);
            }
        }
        sim.advance(MS);
        // The event loop is busy: responses take two milliseconds.
        if round % 2 == 1 {
            for number in std::mem::take(&mut open) {
                sim.gate.end_request(sim.now, number, true);
            }
        }
    }
    assert!(refused > 1_000, "{refused}");
    let stats = sim.gate.client_stats(sim.now, 3);
    assert!(
        stats[0].address == ip("10.0.0.1") && stats[0].share > 0.5 && stats[0].refused == refused,
        "{stats:?}"
    );
    // A client that is alone may use the whole capacity.
    let mut sim =
        Simulation::new(Settings { sharing_threshold: 4, max_requests_per_address: 40, ..settings() });
    let alone: Vec<u64> = (0..20).map(|_| sim.admit("10.0.0.1")).collect();
    for _ in 0..500 {
        for number in &alone {
            assert_eq!(sim.gate.begin_request(sim.now, *number), RequestDecision::Accept);
        }
        sim.advance(MS);
        alone.iter().for_each(|n| sim.gate.end_request(sim.now, *n, true));
    }
}

/// However many unknown clients send requests, they do not dilute the share of known clients.
#[test]
fn unknown_clients_do_not_dilute_the_share_of_known_ones() {
    let mut sim = Simulation::new(Settings { sharing_threshold: 4, ..settings() });
    let known = [sim.admit("10.0.0.1"), sim.admit("10.0.0.2")];
    let unknown: Vec<u64> = (0..38).map(|n| sim.admit(&format!("172.16.{n}.1"))).collect();
    for number in &unknown[..10] {
        sim.gate.begin_request(sim.now, *number);
    }
    for round in 0..2_000 {
        for number in known {
            assert_eq!(sim.submit(number), RequestDecision::Accept, "{round}");
        }
        if round % 5 == 0 {
            sim.submit(unknown[10 + round / 5 % 28]);
        }
        sim.advance(4 * MS);
    }
}

#[test]
fn a_block_lasts_until_its_end_and_spares_requests_in_flight() {
    let mut sim = Simulation::new(settings());
    let (idle, busy) = (sim.admit("192.0.2.1"), sim.admit("192.0.2.2"));
    sim.gate.begin_request(sim.now, busy);
    let evicted = sim.gate.block(sim.now, "192.0.2.0/24".parse().unwrap(), sim.now + 60 * SECOND).unwrap();
    assert_eq!(evicted, [idle]);
    assert_eq!(
        sim.connect("192.0.2.9").1,
        ConnectDecision::Reject { reason: RejectReason::Blocked, retry_after: 60 * SECOND }
    );
    sim.admit("192.0.3.9");
    sim.advance(61 * SECOND);
    sim.admit("192.0.2.9");
    sim.gate.block(sim.now, "192.0.2.9/32".parse().unwrap(), sim.now + SECOND).unwrap();
    assert!(sim.gate.unblock(&"192.0.2.9/32".parse().unwrap()));
    assert!(!sim.gate.unblock(&"192.0.2.9/32".parse().unwrap()));
    for n in 0..gate::MAX_BLOCKS {
        let net = format!("2001:db8:{n:x}::/48").parse().unwrap();
        assert!(sim.gate.block(sim.now, net, sim.now + SECOND).is_ok());
    }
    assert!(sim.gate.block(sim.now, "203.0.113.0/24".parse().unwrap(), sim.now + SECOND).is_err());
}

/// Many unknown addresses that each keep to their own rate have a limit together. It does not apply
/// to known clients, and an address above its own rate does not use it up.
#[test]
fn unknown_clients_share_a_connection_rate_and_known_ones_have_none() {
    let unknown_connections = Rate { per_second: 10.0, burst: 20.0 };
    let mut sim = Simulation::new(Settings { max_connections: 1_000, unknown_connections, ..settings() });
    // A single address exceeds its own rate long before the shared one.
    let mut single_address = Simulation::new(Settings {
        new_connections: Rate { per_second: 5.0, burst: 5.0 },
        unknown_connections,
        ..settings()
    });
    for _ in 0..200 {
        single_address.connect("192.0.2.1");
    }
    assert!(matches!(single_address.connect("192.0.2.2").1, ConnectDecision::Admit { .. }));
    let admitted = |sim: &mut Simulation, from: u32| {
        let address = |n: u32| IpAddr::from((0xC612_0000_u32 + from + n).to_be_bytes()).to_string();
        (0..500).filter(|n| matches!(sim.connect(&address(*n)).1, ConnectDecision::Admit { .. })).count()
    };
    assert_eq!(admitted(&mut sim, 0), 20);
    assert_eq!(reject_reason(&sim.connect("198.51.100.7").1), Some(RejectReason::RateLimited));
    assert!(matches!(sim.connect("10.0.0.1").1, ConnectDecision::Admit { .. }), "known by name");
    sim.advance(SECOND);
    assert_eq!(admitted(&mut sim, 1_000), 10);
}

/// A connection that waits and asks again does not count as a new one.
#[test]
fn waiting_for_a_slot_uses_no_rate_tokens() {
    let new_connections = Rate { per_second: 1.0, burst: 70.0 };
    let mut sim = Simulation::new(Settings {
        max_connections: 2,
        per_known: 10,
        max_requests_per_address: 10,
        new_connections,
        ..settings()
    });
    let first = sim.admit("10.0.0.1");
    let second = sim.admit("10.0.0.1");
    for number in [first, second] {
        sim.gate.begin_request(sim.now, number);
    }
    let (number, admit) = sim.connect("10.0.0.2");
    assert_eq!(admit, ConnectDecision::Wait);
    for _ in 0..1_000 {
        assert_eq!(sim.gate.retry_waiting(sim.now, number, ip("10.0.0.2")), ConnectDecision::Wait);
    }
    sim.gate.disconnect(sim.now, first);
    assert_eq!(
        sim.gate.retry_waiting(sim.now, number, ip("10.0.0.2")),
        ConnectDecision::Admit { evicted: None }
    );
    // A block that is set in the meantime applies.
    sim.gate.block(sim.now, "10.0.0.0/24".parse().unwrap(), sim.now + SECOND).unwrap();
    assert_eq!(
        reject_reason(&sim.gate.retry_waiting(sim.now, number + 1, ip("10.0.0.2"))),
        Some(RejectReason::Blocked)
    );
}

/// Behind a proxy one client has every slot: silent connections are evicted first, then those idle
/// for longest.
#[test]
fn behind_a_proxy_silent_then_idle_connections_are_evicted() {
    let proxy = vec!["127.0.0.0/8".parse().unwrap()];
    let mut sim = Simulation::new(Settings::behind_proxy(3, proxy));
    let first = sim.admit("127.0.0.5");
    sim.gate.begin_request(sim.now, first);
    let silent = sim.admit("127.0.0.5");
    let idle = sim.admit("127.0.0.5");
    sim.submit(idle);
    sim.advance(200 * MS);
    assert_eq!(sim.connect("127.0.0.5").1, ConnectDecision::Admit { evicted: Some(silent) });
    assert_eq!(sim.connect("127.0.0.5").1, ConnectDecision::Admit { evicted: Some(idle) });
}

/// When the descriptor limit is lowered at run time, unknown clients are closed first, and no
/// request in flight is cut off.
#[test]
fn a_lower_limit_closes_unknown_idle_clients_first() {
    let mut sim = Simulation::new(settings());
    let others: Vec<u64> = (0..10).map(|_| sim.admit("192.0.2.1")).collect();
    let known: Vec<u64> = (0..10).map(|_| sim.admit("10.0.0.1")).collect();
    sim.gate.begin_request(sim.now, others[0]);
    sim.gate.begin_request(sim.now, known[0]);
    sim.advance(SECOND);
    let evicted = sim.gate.set_max_connections(sim.now, 5);
    assert_eq!(evicted.len(), 15);
    assert!(!evicted.contains(&others[0]) && !evicted.contains(&known[0]));
    assert_eq!(sim.gate.connections_by_group(), (4, 1));
    assert_eq!(sim.gate.set_max_connections(sim.now, 0).len(), 3);
    assert_eq!(sim.connect("10.0.0.2").1, ConnectDecision::Wait);
    sim.gate.set_max_connections(sim.now, 60);
    sim.admit("10.0.0.2");
}

#[derive(Clone, Debug)]
enum Step {
    Connect(u8),
    Request(usize),
    Respond(usize, bool),
    Disconnect(usize),
    Penalize(usize),
    Advance(u64),
    /// Sets the outer clock back.
    SetBack(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => any::<u8>().prop_map(Step::Connect),
        6 => any::<usize>().prop_map(Step::Request),
        6 => (any::<usize>(), any::<bool>()).prop_map(|(n, taken)| Step::Respond(n, taken)),
        3 => any::<usize>().prop_map(Step::Disconnect),
        1 => any::<usize>().prop_map(Step::Penalize),
        3 => (0..2 * SECOND).prop_map(Step::Advance),
        1 => (0..3600 * SECOND).prop_map(Step::SetBack),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Invariants: the total never exceeds the limit; no known client waits while the reserve is
    /// free; no connection with a request in flight is evicted; no address is evicted for one that
    /// holds more; the bookkeeping is bounded and adds up, whatever the clock does.
    #[test]
    fn gate_invariants_hold(steps in prop::collection::vec(step(), 1..400)) {
        let settings = Settings {
            max_idle_accounts: 8,
            max_connections: 12,
            reserve: 4,
            per_address: 4,
            per_known: 8,
            per_prefix: 6,
            max_requests_per_address: 4,
            known_credit: 3.0,
            new_connections: Rate { per_second: 50.0, burst: 20.0 },
            ..settings()
        };
        let mut gate = Gate::new(settings.clone());
        let (mut now, mut next) = (SECOND, 0);
        let mut open: BTreeMap<u64, IpAddr> = BTreeMap::new();
        let mut busy: HashSet<u64> = HashSet::new();
        let pick = |open: &BTreeMap<u64, IpAddr>, n: usize| open.keys().nth(n % open.len().max(1)).copied();
        for step in steps {
            match step {
                Step::Connect(n) => {
                    let address = if n < 90 {
                        format!("10.0.0.{}", n % 6)
                    } else {
                        format!("192.0.{}.{}", n % 9, n % 7)
                    };
                    let address = ip(&address);
                    let known_by_name = settings.is_named(address);
                    let reserve_free = gate.connections_by_group().0 < settings.reserve;
                    let held = open.values().fold(HashMap::<IpAddr, usize>::new(), |mut all, a| {
                        *all.entry(*a).or_default() += 1;
                        all
                    });
                    next += 1;
                    match gate.connect(now, next, address) {
                        ConnectDecision::Admit { evicted } => {
                            if let Some(evicted) = evicted {
                                prop_assert!(!busy.contains(&evicted), "a request in flight was evicted");
                                let from = open.remove(&evicted);
                                prop_assert!(from.is_some());
                                let from = from.unwrap_or(address);
                                let holds_no_more = held.get(&from).copied().unwrap_or(0)
                                    <= held.get(&address).copied().unwrap_or(0);
                                // Only known clients, within their reserve, may evict an address
                                // that holds no more than they do.
                                prop_assert!(
                                    from == address || !holds_no_more || known_by_name || reserve_free
                                );
                            }
                            open.insert(next, address);
                        }
                        ConnectDecision::Wait => {
                            prop_assert!(!(known_by_name && reserve_free), "a known client waits");
                        }
                        ConnectDecision::Reject { reason, .. } => {
                            prop_assert!(
                                !(known_by_name
                                    && matches!(
                                        reason,
                                        RejectReason::NoCapacity
                                            | RejectReason::RateLimited
                                            | RejectReason::PrefixLimit
                                    ))
                            );
                        }
                    }
                }
                Step::Request(n) => if let Some(number) = pick(&open, n) {
                    gate.begin_request(now, number);
                    busy.insert(number);
                },
                Step::Respond(n, accepted) => if let Some(number) = pick(&open, n).filter(|n| busy.contains(n)) {
                    gate.end_request(now, number, accepted);
                    busy.remove(&number);
                },
                Step::Disconnect(n) => if let Some(number) = pick(&open, n) {
                    gate.disconnect(now, number);
                    open.remove(&number);
                    busy.remove(&number);
                },
                Step::Penalize(n) => if let Some(number) = pick(&open, n) {
                    gate.penalize(now, number);
                },
                Step::Advance(span) => now += span,
                Step::SetBack(span) => now = now.saturating_sub(span),
            }
            let (known, others) = gate.connections_by_group();
            prop_assert_eq!(known + others, open.len());
            prop_assert!(open.len() <= settings.max_connections);
            prop_assert!(others <= settings.max_connections - settings.reserve.min(settings.max_connections));
            prop_assert!(gate.account_count() <= settings.max_idle_accounts + settings.max_connections + 1);
            let counts = gate.connection_counts();
            prop_assert!(counts.0 <= counts.1 && counts.1 == open.len());
        }
        open.keys().for_each(|n| gate.disconnect(now, *n));
        prop_assert_eq!((gate.connections_by_group(), gate.connection_counts()), ((0, 0), (0, 0)));
    }
}
