//! The gate in simulated time: floods, reserves, shares, and properties under any sequence of events.

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

/// A gate with a clock and numbers.
struct World {
    gate: Gate,
    now: Micros,
    next: u64,
}

impl World {
    fn new(settings: Settings) -> World {
        World { gate: Gate::new(settings), now: SECOND, next: 0 }
    }

    fn connect(&mut self, address: &str) -> (u64, Admit) {
        self.next += 1;
        (self.next, self.gate.connects(self.now, self.next, ip(address)))
    }

    fn enters(&mut self, address: &str) -> u64 {
        let (number, admit) = self.connect(address);
        assert!(matches!(admit, Admit::In { .. }), "{address}: {admit:?}");
        number
    }

    fn pass(&mut self, span: Micros) {
        self.now += span;
    }

    fn hand_in(&mut self, number: u64) -> Ask {
        let ask = self.gate.asks(self.now, number);
        self.gate.answered(self.now, number, ask == Ask::Go);
        ask
    }
}

fn why(admit: &Admit) -> Option<Why> {
    match admit {
        Admit::Away { why, .. } => Some(*why),
        _ => None,
    }
}

#[test]
fn a_flood_from_one_address_keeps_to_its_cap_and_known_clients_find_a_place() {
    let mut world = World::new(settings());
    let mut away = 0;
    for _ in 0..5_000 {
        away += u64::from(why(&world.connect("192.0.2.9").1).is_some());
        world.pass(100);
    }
    assert_eq!(world.gate.held(), (0, 10));
    assert!(away > 4_900, "its own silent ones make room for it, as fast as it may connect: {away}");
    for n in 0..40 {
        let number = world.enters(&format!("10.0.0.{}", n % 8));
        assert_eq!(world.hand_in(number), Ask::Go);
    }
    assert_eq!(world.gate.held(), (40, 10));
    let events = world.gate.events(world.now);
    assert_eq!(events, [Event::FloodBegan { address: Some(ip("192.0.2.9")) }], "one line, not thousands");
    world.pass(11 * SECOND);
    assert!(
        matches!(world.gate.events(world.now)[..], [Event::FloodEnded { turned_away, .. }] if turned_away >= 4_000)
    );
    assert!(world.gate.events(world.now).is_empty());
}

/// The flood was there first, and comes from a thousand addresses in as many prefixes.
#[test]
fn a_flood_from_many_addresses_leaves_the_reserve_and_is_told_in_one_line() {
    let mut world = World::new(settings());
    for n in 0..20_000u32 {
        let address = format!("172.{}.{}.9", 16 + n % 8, n % 250);
        let (number, admit) = world.connect(&address);
        // Half of them ask something, and keep their request open.
        if n % 2 == 0 && matches!(admit, Admit::In { .. }) {
            world.gate.asks(world.now, number);
        }
        world.pass(50);
    }
    assert_eq!(world.gate.held(), (0, 40));
    assert!(world.gate.remembered() <= 4_096 + 60);
    assert_eq!(world.gate.events(world.now), [Event::FloodBegan { address: None }]);
    for n in 0..20 {
        world.enters(&format!("10.0.0.{n}"));
    }
}

#[test]
fn mapped_addresses_are_the_same_and_prefixes_have_a_cap() {
    let mut world = World::new(settings());
    for n in 0..10 {
        world.enters(if n % 2 == 0 { "192.0.2.1" } else { "::ffff:192.0.2.1" });
    }
    assert_eq!(why(&world.connect("192.0.2.1").1), Some(Why::Address));
    for n in 0..20 {
        world.enters(&format!("192.0.2.{}", 10 + n));
    }
    assert_eq!(why(&world.connect("192.0.2.99").1), Some(Why::Prefix));
    let mut world = World::new(settings());
    for n in 0..30 {
        world.enters(&format!("2001:db8::{n:x}"));
    }
    assert_eq!(why(&world.connect("2001:db8::abcd").1), Some(Why::Prefix), "a /64 is one house");
    world.enters("2001:db8:0:1::1");
}

#[test]
fn a_client_becomes_known_by_what_was_taken_on_and_a_silent_one_does_not() {
    let mut world = World::new(settings());
    let number = world.enters("192.0.2.1");
    for _ in 0..9 {
        world.hand_in(number);
    }
    assert_eq!(world.gate.held(), (0, 1));
    world.hand_in(number);
    assert_eq!(world.gate.held(), (1, 0), "ten messages");
    // It stays so while it is there, and forgets after.
    world.pass(3_600 * SECOND);
    assert_eq!(world.gate.held(), (1, 0));
    world.gate.leaves(world.now, number);
    let number = world.enters("192.0.2.1");
    assert_eq!(world.gate.held(), (0, 1));
    // Whoever sends what is no request loses half of what it had.
    for _ in 0..10 {
        world.hand_in(number);
    }
    world.gate.misbehaved(world.now, number);
    world.gate.leaves(world.now, number);
    world.enters("192.0.2.1");
    assert_eq!(world.gate.held(), (0, 1));
}

#[test]
fn who_holds_more_gives_way_to_who_holds_less_and_never_the_other_way() {
    let mut world = World::new(Settings { per_address: 60, per_prefix: 60, ..settings() });
    let greedy: Vec<u64> = (0..40).map(|_| world.enters("192.0.2.1")).collect();
    world.pass(SECOND);
    let (_, admit) = world.connect("198.51.100.7");
    assert_eq!(admit, Admit::In { let_go: Some(greedy[0]) }, "the oldest silent one of the largest holder");
    world.pass(SECOND);
    // The greedy one takes turns with itself.
    let (_, admit) = world.connect("192.0.2.1");
    assert_eq!(admit, Admit::In { let_go: Some(greedy[1]) });
    assert!(world.gate.held().1 == 40);
    // Open requests never go.
    let mut world =
        World::new(Settings { per_address: 60, per_prefix: 60, max_requests_per_address: 60, ..settings() });
    for _ in 0..40 {
        let number = world.enters("192.0.2.1");
        world.gate.asks(world.now, number);
    }
    assert_eq!(why(&world.connect("198.51.100.7").1), Some(Why::Full));
}

#[test]
fn a_greedy_client_is_refused_its_surplus_and_a_modest_one_never() {
    let mut world = World::new(Settings { busy_from: 4, max_requests_per_address: 40, ..settings() });
    let greedy: Vec<u64> = (0..20).map(|_| world.enters("10.0.0.1")).collect();
    let modest: Vec<u64> = (0..5).map(|n| world.enters(&format!("10.0.1.{n}"))).collect();
    let (mut refused, mut open) = (0, Vec::new());
    for round in 0..2_000u64 {
        for number in &greedy {
            match world.gate.asks(world.now, *number) {
                Ask::Go => open.push(*number),
                Ask::Away { why, retry } => {
                    assert!(why == Why::Share && retry > 0 && retry < 10 * SECOND, "{why:?} {retry}");
                    refused += 1;
                    world.gate.answered(world.now, *number, false);
                }
            }
        }
        if round % 10 == 0 {
            for number in &modest {
                assert_eq!(world.hand_in(*number), Ask::Go);
            }
        }
        world.pass(MS);
        // The loop is busy: answers take two milliseconds.
        if round % 2 == 1 {
            for number in std::mem::take(&mut open) {
                world.gate.answered(world.now, number, true);
            }
        }
    }
    assert!(refused > 1_000, "{refused}");
    let seen = world.gate.seen(world.now, 3);
    assert!(
        seen[0].address == ip("10.0.0.1") && seen[0].part > 0.5 && seen[0].refused == refused,
        "{seen:?}"
    );
    // Alone it may have everything.
    let mut world = World::new(Settings { busy_from: 4, max_requests_per_address: 40, ..settings() });
    let alone: Vec<u64> = (0..20).map(|_| world.enters("10.0.0.1")).collect();
    for _ in 0..500 {
        for number in &alone {
            assert_eq!(world.gate.asks(world.now, *number), Ask::Go);
        }
        world.pass(MS);
        alone.iter().for_each(|n| world.gate.answered(world.now, *n, true));
    }
}

/// However many others ask, known clients are not refused a share that these would dilute.
#[test]
fn many_strangers_do_not_dilute_the_share_of_known_clients() {
    let mut world = World::new(Settings { busy_from: 4, ..settings() });
    let known = [world.enters("10.0.0.1"), world.enters("10.0.0.2")];
    let strangers: Vec<u64> = (0..38).map(|n| world.enters(&format!("172.16.{n}.1"))).collect();
    for number in &strangers[..10] {
        world.gate.asks(world.now, *number);
    }
    for round in 0..2_000 {
        for number in known {
            assert_eq!(world.hand_in(number), Ask::Go, "{round}");
        }
        if round % 5 == 0 {
            world.hand_in(strangers[10 + round / 5 % 28]);
        }
        world.pass(4 * MS);
    }
}

#[test]
fn a_block_holds_until_its_end_and_lets_open_requests_end() {
    let mut world = World::new(settings());
    let (idle, busy) = (world.enters("192.0.2.1"), world.enters("192.0.2.2"));
    world.gate.asks(world.now, busy);
    let gone = world.gate.block(world.now, "192.0.2.0/24".parse().unwrap(), world.now + 60 * SECOND).unwrap();
    assert_eq!(gone, [idle]);
    assert_eq!(world.connect("192.0.2.9").1, Admit::Away { why: Why::Blocked, retry: 60 * SECOND });
    world.enters("192.0.3.9");
    world.pass(61 * SECOND);
    world.enters("192.0.2.9");
    world.gate.block(world.now, "192.0.2.9/32".parse().unwrap(), world.now + SECOND).unwrap();
    assert!(world.gate.unblock(&"192.0.2.9/32".parse().unwrap()));
    assert!(!world.gate.unblock(&"192.0.2.9/32".parse().unwrap()));
    for n in 0..gate::MOST_BLOCKS {
        let net = format!("2001:db8:{n:x}::/48").parse().unwrap();
        assert!(world.gate.block(world.now, net, world.now + SECOND).is_ok());
    }
    assert!(world.gate.block(world.now, "203.0.113.0/24".parse().unwrap(), world.now + SECOND).is_err());
}

/// Many addresses that each keep to their own rate: together they have a bound, which touches nobody who is known, and one
/// address that is over its own rate does not use up.
#[test]
fn strangers_together_have_a_rate_and_known_clients_none() {
    let unknown_connections = Rate { per_second: 10.0, burst: 20.0 };
    let mut world = World::new(Settings { max_connections: 1_000, unknown_connections, ..settings() });
    // One alone is over its own rate long before it has used up what all share.
    let mut world_of_one = World::new(Settings {
        new_connections: Rate { per_second: 5.0, burst: 5.0 },
        unknown_connections,
        ..settings()
    });
    for _ in 0..200 {
        world_of_one.connect("192.0.2.1");
    }
    assert!(matches!(world_of_one.connect("192.0.2.2").1, Admit::In { .. }));
    let admitted = |world: &mut World, from: u32| {
        let address = |n: u32| IpAddr::from((0xC612_0000_u32 + from + n).to_be_bytes()).to_string();
        (0..500).filter(|n| matches!(world.connect(&address(*n)).1, Admit::In { .. })).count()
    };
    assert_eq!(admitted(&mut world, 0), 20);
    assert_eq!(why(&world.connect("198.51.100.7").1), Some(Why::TooFast));
    assert!(matches!(world.connect("10.0.0.1").1, Admit::In { .. }), "known by name");
    world.pass(SECOND);
    assert_eq!(admitted(&mut world, 1_000), 10);
}

/// Who is told to wait asks again without counting as one more.
#[test]
fn waiting_for_a_place_uses_up_no_rate() {
    let new_connections = Rate { per_second: 1.0, burst: 70.0 };
    let mut world = World::new(Settings {
        max_connections: 2,
        per_known: 10,
        max_requests_per_address: 10,
        new_connections,
        ..settings()
    });
    let first = world.enters("10.0.0.1");
    let second = world.enters("10.0.0.1");
    for number in [first, second] {
        world.gate.asks(world.now, number);
    }
    let (number, admit) = world.connect("10.0.0.2");
    assert_eq!(admit, Admit::Wait);
    for _ in 0..1_000 {
        assert_eq!(world.gate.waits(world.now, number, ip("10.0.0.2")), Admit::Wait);
    }
    world.gate.leaves(world.now, first);
    assert_eq!(world.gate.waits(world.now, number, ip("10.0.0.2")), Admit::In { let_go: None });
    // A block that comes meanwhile counts.
    world.gate.block(world.now, "10.0.0.0/24".parse().unwrap(), world.now + SECOND).unwrap();
    assert_eq!(why(&world.gate.waits(world.now, number + 1, ip("10.0.0.2"))), Some(Why::Blocked));
}

/// Behind a front there is one client with every place: who has said nothing goes first, then the longest idle.
#[test]
fn behind_a_front_connections_take_turns_as_they_always_did() {
    let front = vec!["127.0.0.0/8".parse().unwrap()];
    let mut world = World::new(Settings::behind_proxy(3, front));
    let first = world.enters("127.0.0.5");
    world.gate.asks(world.now, first);
    let silent = world.enters("127.0.0.5");
    let idle = world.enters("127.0.0.5");
    world.hand_in(idle);
    world.pass(200 * MS);
    assert_eq!(world.connect("127.0.0.5").1, Admit::In { let_go: Some(silent) });
    assert_eq!(world.connect("127.0.0.5").1, Admit::In { let_go: Some(idle) });
}

/// Descriptors are lowered while it runs: who is not known leaves first, and no open request is cut off.
#[test]
fn fewer_places_let_go_of_who_can_go() {
    let mut world = World::new(settings());
    let others: Vec<u64> = (0..10).map(|_| world.enters("192.0.2.1")).collect();
    let known: Vec<u64> = (0..10).map(|_| world.enters("10.0.0.1")).collect();
    world.gate.asks(world.now, others[0]);
    world.gate.asks(world.now, known[0]);
    world.pass(SECOND);
    let gone = world.gate.set_places(world.now, 5);
    assert_eq!(gone.len(), 15);
    assert!(!gone.contains(&others[0]) && !gone.contains(&known[0]));
    assert_eq!(world.gate.held(), (4, 1));
    assert_eq!(world.gate.set_places(world.now, 0).len(), 3);
    assert_eq!(world.connect("10.0.0.2").1, Admit::Wait);
    world.gate.set_places(world.now, 60);
    world.enters("10.0.0.2");
}

#[derive(Clone, Debug)]
enum Step {
    Connect(u8),
    Ask(usize),
    Answer(usize, bool),
    Leave(usize),
    Misbehave(usize),
    Pass(u64),
    /// The clock outside is set back.
    Back(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => any::<u8>().prop_map(Step::Connect),
        6 => any::<usize>().prop_map(Step::Ask),
        6 => (any::<usize>(), any::<bool>()).prop_map(|(n, taken)| Step::Answer(n, taken)),
        3 => any::<usize>().prop_map(Step::Leave),
        1 => any::<usize>().prop_map(Step::Misbehave),
        3 => (0..2 * SECOND).prop_map(Step::Pass),
        1 => (0..3600 * SECOND).prop_map(Step::Back),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// The total never passes the places; nobody known waits while the reserve is free; no open request is let go of; who
    /// holds less than another never goes for it; bookkeeping is bounded and adds up, whatever the clock does.
    #[test]
    fn the_gate_keeps_its_promises(steps in prop::collection::vec(step(), 1..400)) {
        let settings = Settings { addresses: 8, max_connections: 12, reserve: 4, per_address: 4, per_known: 8, per_prefix: 6, max_requests_per_address: 4,
            earned_by: 3.0, new_connections: Rate { per_second: 50.0, burst: 20.0 }, ..settings() };
        let mut gate = Gate::new(settings.clone());
        let (mut now, mut next) = (SECOND, 0);
        let mut open: BTreeMap<u64, IpAddr> = BTreeMap::new();
        let mut busy: HashSet<u64> = HashSet::new();
        let pick = |open: &BTreeMap<u64, IpAddr>, n: usize| open.keys().nth(n % open.len().max(1)).copied();
        for step in steps {
            match step {
                Step::Connect(n) => {
                    let address = if n < 90 { format!("10.0.0.{}", n % 6) } else { format!("192.0.{}.{}", n % 9, n % 7) };
                    let address = ip(&address);
                    let known_by_name = settings.names(address);
                    let reserve_free = gate.held().0 < settings.reserve;
                    let counts = open.values().fold(HashMap::<IpAddr, usize>::new(), |mut all, a| {
                        *all.entry(*a).or_default() += 1;
                        all
                    });
                    next += 1;
                    match gate.connects(now, next, address) {
                        Admit::In { let_go } => {
                            if let Some(gone) = let_go {
                                prop_assert!(!busy.contains(&gone), "an open request was let go of");
                                let from = open.remove(&gone);
                                prop_assert!(from.is_some());
                                let from = from.unwrap_or(address);
                                let less = counts.get(&from).copied().unwrap_or(0) <= counts.get(&address).copied().unwrap_or(0);
                                // Only known clients, in their reserve, take from who holds no more.
                                prop_assert!(from == address || !less || known_by_name || reserve_free);
                            }
                            open.insert(next, address);
                        }
                        Admit::Wait => prop_assert!(!(known_by_name && reserve_free), "a known client waits"),
                        Admit::Away { why, .. } => {
                            prop_assert!(!(known_by_name && matches!(why, Why::Full | Why::TooFast | Why::Prefix)));
                        }
                    }
                }
                Step::Ask(n) => if let Some(number) = pick(&open, n) {
                    gate.asks(now, number);
                    busy.insert(number);
                },
                Step::Answer(n, taken) => if let Some(number) = pick(&open, n).filter(|n| busy.contains(n)) {
                    gate.answered(now, number, taken);
                    busy.remove(&number);
                },
                Step::Leave(n) => if let Some(number) = pick(&open, n) {
                    gate.leaves(now, number);
                    open.remove(&number);
                    busy.remove(&number);
                },
                Step::Misbehave(n) => if let Some(number) = pick(&open, n) {
                    gate.misbehaved(now, number);
                },
                Step::Pass(span) => now += span,
                Step::Back(span) => now = now.saturating_sub(span),
            }
            let (known, others) = gate.held();
            prop_assert_eq!(known + others, open.len());
            prop_assert!(open.len() <= settings.max_connections);
            prop_assert!(others <= settings.max_connections - settings.reserve.min(settings.max_connections));
            prop_assert!(gate.remembered() <= settings.addresses + settings.max_connections + 1);
            let spoken = gate.open();
            prop_assert!(spoken.0 <= spoken.1 && spoken.1 == open.len());
        }
        open.keys().for_each(|n| gate.leaves(now, *n));
        prop_assert_eq!((gate.held(), gate.open()), ((0, 0), (0, 0)));
    }
}
