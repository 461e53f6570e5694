//! Many forwarders that act in step: many schedulers without sockets. The longer runs use the emulator.

use foldtrack_delivery::emulator_policy::SchedulerFactory;
use foldtrack_delivery::{
    Action, Class, DeliveryScheduler, Effect, Endpoint, EndpointState, Event, LimitReport, ListKind,
    ListedRate, Micros, Outcome, Rules, Settings,
};
use foldtrack_emulator::metrics::Second;
use foldtrack_emulator::world::World;
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;

fn settings(senders: u32) -> Settings {
    let class = Class {
        aim: 3 * SECOND,
        deadline: 12 * SECOND,
        worth: 1.0,
        late_value: 0.5,
        effect: Effect::Repeatable,
        ..Class::default()
    };
    let listed_rate = ListedRate::Exact;
    Settings {
        senders,
        listed_rate,
        slots: 4,
        max_held: 45,
        max_attempts: 8,
        classes: vec![class],
        ..Settings::default()
    }
}

/// A list of `targets` endpoints of one destination that accepts `rate` calls a second, 0 if the limit is not
/// listed.
fn list(targets: u32, rate: f64) -> Event {
    let state = EndpointState::Ready;
    let line = |target| Endpoint { target, destination: 1, state, rate, ..Endpoint::default() };
    Event::List { kind: ListKind::Full, version: 1, endpoints: (0..targets).map(line).collect() }
}

fn request(id: u64, now: Micros) -> Event {
    Event::Request { id, class: 0, destination: 1, order_key: 0, expires: now + 12 * SECOND }
}

/// One of `senders` senders, with its own seed.
fn sender_of(senders: u32, sender: u32) -> DeliveryScheduler {
    DeliveryScheduler::new(0, u64::from(sender).wrapping_mul(0x1234_5678_9abc_def1), settings(senders))
}

/// Calls that each endpoint gets if every sender sends occasionally, one call after another.
fn calls_by_endpoint(senders: u32, targets: u32, rounds: u64) -> BTreeMap<u32, u64> {
    let mut calls = BTreeMap::new();
    for sender in 0..senders {
        let mut scheduler = sender_of(senders, sender);
        let mut out = Vec::new();
        scheduler.handle(0, list(targets, 0.0), &mut out);
        for id in 0..rounds {
            let now = id * SECOND;
            scheduler.handle(now, request(id, now), &mut out);
            scheduler.decide(now, &mut out);
            let sent = out.drain(..).find_map(|a| match a {
                Action::Send { target, .. } => Some(target),
                _ => None,
            });
            let target = sent.expect("an idle sender sends at once");
            *calls.entry(target).or_default() += 1;
            let (outcome, took) = (Outcome::Ok, 40_000);
            let end =
                Event::Outcome { id, attempt: 0, target, outcome, took, ended: true, wait: 0, report: None };
            scheduler.handle(now + took, end, &mut out);
        }
    }
    calls
}

/// A hundred forwarders all started with the first endpoint of the list and stayed with the one used last.
/// They filled its queue while the others were idle: 85 of 100 calls went to one of two endpoints, and a
/// quarter of them were rejected.
#[test]
fn the_calls_of_a_fleet_spread_over_the_endpoints_from_the_first_call_on() {
    for (senders, targets, rounds) in [(100, 2, 1), (100, 2, 20), (100, 4, 1), (1, 2, 200), (3, 3, 100)] {
        let calls = calls_by_endpoint(senders, targets, rounds);
        let (all, even) = (u64::from(senders) * rounds, u64::from(senders) * rounds / u64::from(targets));
        assert_eq!(calls.values().sum::<u64>(), all);
        let most = calls.values().copied().max().unwrap_or(0);
        // Four standard deviations of a uniform choice.
        let chance = 4.0 * (even as f64).sqrt();
        assert!(most as f64 <= even as f64 + chance, "{senders} senders, {targets} endpoints: {calls:?}");
        assert_eq!(calls.len(), targets as usize, "{calls:?}");
    }
}

/// Emulates a hundred forwarders and one partner that accepts 49 calls in each second from all of them.
/// Rejected calls use up the allowance, and half of them request a wait until the second is over.
fn emulate(rate: f64, troubles: &str) -> Vec<Second> {
    let text = format!(
        "about = \"\"\n[fleet]\nforwarders = 100\nslots = 4\nheld = 45\nattempts = 8\nlasts = \"20s\"\nway = [\"10ms\", \"10ms\"]\n\
         [traffic]\nrate = {rate:?}\n[[class]]\nname = \"c\"\nshare = 1.0\naim = \"3s\"\ndeadline = \"12s\"\nworth = 1.0\nlate = 0.5\n\
         effect = \"repeatable\"\n[[partner]]\nname = \"p\"\nshare = 1.0\nlimit = 49.0\nwindow = \"1s\"\nrefused-use-up = true\n\
         tells = 0.5\nreport = \"1us\"\nfixed = \"1us\"\n{troubles}"
    );
    let figures =
        foldtrack_emulator::simulation::simulate(&World::read(&text).unwrap(), &SchedulerFactory, 7);
    assert!(figures.is_clean(), "{:?}", figures.violations);
    figures.seconds
}

/// The least pace of a sender, and its pause of a second and a half after a rejection, suited a single
/// sender. A hundred of them made 67 calls a second to a partner that accepts 49, and nothing was served
/// while a backlog lasted.
#[test]
fn a_burst_over_the_limit_does_not_keep_a_fleet_above_it() {
    let burst = "[[trouble]]\nat = \"0s\"\nfor = \"4s\"\nwhat = \"burst\"\ntimes = 6.0";
    let seconds = emulate(25.0, burst);
    let served =
        |range: std::ops::Range<usize>| seconds[range].iter().map(|s| s.calls - s.rejected).sum::<u64>();
    let calls = |range: std::ops::Range<usize>| seconds[range].iter().map(|s| s.calls).sum::<u64>();
    // Seconds 2 to 12 have a backlog: most of the limit is used, and few calls are wasted.
    assert!(served(2..12) > 10 * 49 * 6 / 10, "{seconds:?}");
    assert!(calls(2..12) < served(2..12) * 13 / 10, "{seconds:?}");
}

/// Share of the worth that a fleet of 300 earns at a partner that accepts 116 calls a second, whose rejected
/// calls use up the allowance: the mean over several seeds.
fn served_at_a_limit(rate: f64, uneven: f64, trouble: &str) -> f64 {
    let text = include_str!("../crates/emulator/worlds/over-the-limit.toml");
    let mut world = World::read(&format!("{text}{trouble}")).unwrap();
    (world.traffic.rate, world.traffic.uneven) = (rate, uneven);
    let run = |seed| {
        let figures = foldtrack_emulator::simulation::simulate(&world, &SchedulerFactory, seed);
        assert!(figures.is_clean(), "{:?}", figures.violations);
        figures.served()
    };
    (1..=6).map(run).sum::<f64>() / 6.0
}

/// Some forwarders have several times the mean traffic. When they were limited to two and a half even shares,
/// and reached them slowly, they held messages for seconds while a quarter of the limit was unused: 0.975 of
/// the worth.
#[test]
fn busy_forwarders_use_what_the_others_leave_of_the_limit() {
    let served = served_at_a_limit(85.0, 0.6, "");
    assert!(served > 0.99, "{served}");
}

/// After a burst above the limit a fleet raised its pace as before with every answer that reported an
/// allowance. It exceeded the limit again a few seconds later and was rejected for two seconds: 0.79 of the
/// worth.
#[test]
fn a_fleet_approaches_a_limit_more_slowly_after_a_rejection() {
    let burst = "[[trouble]]\nat = \"10s\"\nfor = \"8s\"\nwhat = \"burst\"\ntimes = 2.0\n";
    let served = served_at_a_limit(85.0, 0.2, burst);
    assert!(served > 0.815, "{served}");
}

/// In a calm run with 330 senders a burst of 270 messages within half a second reached nearly every sender.
/// Each had a token saved up, and for a second nothing was served. The messages are now spread over a second,
/// which does not make them late.
#[test]
fn a_burst_that_reaches_a_whole_fleet_is_spread_out() {
    const SENDERS: u32 = 300;
    let mut sent = Vec::new();
    for sender in 0..SENDERS {
        let mut scheduler = sender_of(SENDERS, sender);
        let (mut out, mut now) = (Vec::new(), 5 * SECOND);
        scheduler.handle(0, list(1, 150.0), &mut out);
        scheduler.handle(now, request(1, now), &mut out);
        // Each step advances to the time at which the scheduler asks to be called.
        while !out.iter().any(|a| matches!(a, Action::Send { .. })) {
            scheduler.decide(now, &mut out);
            let wake = out.iter().rev().find_map(|a| match a {
                Action::Timer { after, token } => Some((*after, *token)),
                _ => None,
            });
            let (after, token) = wake.unwrap_or((50_000, 0));
            now += after.min(50_000);
            assert!(now < 8 * SECOND, "sender {sender} holds its message longer than the aim");
            scheduler.handle(now, Event::Timer { token }, &mut out);
        }
        sent.push(now - 5 * SECOND);
    }
    let within = |span: Micros| sent.iter().filter(|at| **at <= span).count();
    assert!(within(SECOND / 4) < 100, "{} of {SENDERS} within a quarter of a second", within(SECOND / 4));
    assert!(
        within(3 * SECOND / 2) == SENDERS as usize,
        "{} of {SENDERS} in a second and a half",
        within(3 * SECOND / 2)
    );
}

/// One of `senders` senders has had calls served at three destinations, the first two of one kind and the
/// third of another. Then a call to the first is rejected. Returns the targets whose idle connections the
/// sender closes.
fn closed_after_a_rejection(
    senders: u32, reported: bool, rejection: (Option<LimitReport>, Micros),
) -> Vec<u32> {
    let settings = Settings { idle_timeout: 60 * SECOND, ..settings(senders) };
    let mut scheduler = DeliveryScheduler::new(0, 1, settings);
    let mut out = Vec::new();
    let line = |target: u32| {
        let kind = target / 2;
        Endpoint { target, destination: target, kind, state: EndpointState::Ready, ..Endpoint::default() }
    };
    let endpoints = (0..3).map(line).collect();
    scheduler.handle(0, Event::List { kind: ListKind::Full, version: 1, endpoints }, &mut out);
    let report = LimitReport { share_left: 0.9, rate: 50.0 };
    let mut call = |id: u64, target: u32, outcome, report, wait| {
        let mut now = id * 4 * SECOND;
        let expires = now + 12 * SECOND;
        let request = Event::Request { id, class: 0, destination: target, order_key: 0, expires };
        scheduler.handle(now, request, &mut out);
        // A sender of a large fleet sends at its own time.
        while !out.drain(..).any(|a| matches!(a, Action::Send { id: sent, .. } if sent == id)) {
            now += 20_000;
            assert!(now < expires, "message {id} is not sent");
            scheduler.handle(now, Event::Timer { token: 0 }, &mut out);
            scheduler.decide(now, &mut out);
        }
        let took = 40_000;
        let end = Event::Outcome { id, attempt: 0, target, outcome, took, ended: true, wait, report };
        scheduler.handle(now + took, end, &mut out);
        let closed = out.drain(..).filter_map(|a| match a {
            Action::CloseIdle { target } => Some(target),
            _ => None,
        });
        closed.collect::<Vec<u32>>()
    };
    let served = (1..).zip((0..3).cycle()).take(9);
    served.for_each(|(id, target)| drop(call(id, target, Outcome::Ok, reported.then_some(report), 0)));
    let mut closed = call(10, 0, Outcome::Rejected, rejection.0, rejection.1);
    // What it has learned applies to later calls.
    closed.extend(call(11, 1, Outcome::Ok, reported.then_some(report), 0));
    closed.extend(call(12, 2, Outcome::Ok, reported.then_some(report), 0));
    closed
}

/// Partners that accept fewer connections than there are forwarders (runs lakeshore and registry): whoever
/// had a connection kept it idle and was never rejected, while 4,000 of 8,000 calls in five seconds were. A
/// rejection for lack of connections carries no limit report.
#[test]
fn a_fleet_closes_idle_connections_to_a_kind_that_is_short_of_them() {
    let limit = Some(LimitReport { share_left: 0.0, rate: 50.0 });
    assert_eq!(
        closed_after_a_rejection(300, true, (None, 0)),
        [0, 1, 0, 1],
        "all of the kind at once, then each after its use"
    );
    assert_eq!(closed_after_a_rejection(300, true, (limit, 0)), [], "rejected by a limit");
    assert_eq!(closed_after_a_rejection(300, true, (None, SECOND / 2)), [], "rejected with a requested wait");
    assert_eq!(closed_after_a_rejection(300, false, (None, 0)), [], "no limit reports");
    assert_eq!(closed_after_a_rejection(3, true, (None, 0)), [], "a small fleet");
}

/// A fleet returns to a partner that is cold after an outage; each sender has three times its share of the
/// limit to send. Returns the calls in each window of the overload duration after the return, and the number
/// that the settings allow.
fn calls_to_a_cold_partner(senders: u32, limit: f64) -> Vec<(f64, f64)> {
    const STEP: Micros = 20_000;
    let (out_from, back, end) = (20 * SECOND, 32 * SECOND, 46 * SECOND);
    let rules = Rules {
        cold_capacity_share: 0.16,
        slow_start_time: 14 * SECOND,
        overload_factor: 2.5,
        overload_duration: 2 * SECOND,
        ..Rules::default()
    };
    let mut schedulers: Vec<DeliveryScheduler> = (0..senders)
        .map(|n| {
            let settings = Settings { rules: rules.clone(), slots: 8, max_held: 400, ..settings(senders) };
            DeliveryScheduler::new(0, u64::from(n).wrapping_mul(0x1234_5678_9abc_def1), settings)
        })
        .collect();
    let mut out = Vec::new();
    schedulers.iter_mut().for_each(|scheduler| scheduler.handle(0, list(2, limit), &mut out));
    let every = (f64::from(senders) / limit / 3.0 * 1e6) as Micros;
    // Attempts in flight: end, sender, message, attempt, target and outcome.
    let mut in_flight: Vec<(Micros, usize, u64, u32, u32, Outcome)> = Vec::new();
    let (mut tries, mut sent, mut next) = (BTreeMap::<(usize, u64), u32>::new(), Vec::new(), 0u64);
    for now in (0..end).step_by(STEP as usize) {
        let (due, later) = in_flight.into_iter().partition(|e| e.0 <= now);
        in_flight = later;
        for (_, n, id, attempt, target, outcome) in due {
            let report = LimitReport { share_left: 0.6, rate: limit };
            let report = Some(report).filter(|_| outcome == Outcome::Ok);
            let (took, ended) = (40_000, outcome == Outcome::Ok);
            let end = Event::Outcome { id, attempt, target, outcome, took, ended, wait: 0, report };
            schedulers[n].handle(now, end, &mut out);
        }
        for (n, scheduler) in schedulers.iter_mut().enumerate() {
            // Each sender has its own phase.
            if (now + n as u64 * every / u64::from(senders)) % every < STEP {
                next += 1;
                scheduler.handle(now, request(next, now), &mut out);
            }
            scheduler.handle(now, Event::Timer { token: 0 }, &mut out);
            scheduler.decide(now, &mut out);
            for action in out.drain(..) {
                let Action::Send { id, target, .. } = action else { continue };
                let attempt = tries.entry((n, id)).or_default();
                let is_out = (out_from..back).contains(&now);
                let outcome = if is_out { Outcome::ConnectFailed } else { Outcome::Ok };
                in_flight.push((now + 40_000, n, id, *attempt, target, outcome));
                *attempt += 1;
                sent.push(now);
            }
        }
    }
    let window = |from: Micros| {
        let calls = sent.iter().filter(|at| (from..from + rules.overload_duration).contains(*at)).count();
        let warm = 0.16
            + (1.0 - 0.16) * (from + rules.overload_duration - back) as f64 / rules.slow_start_time as f64;
        (calls as f64, rules.overload_factor * limit * warm.min(1.0) * rules.overload_duration as f64 / 1e6)
    };
    (back..end - rules.overload_duration).step_by(SECOND as usize / 4).map(window).collect()
}

/// The partner tolerates the allowed number of calls plus chance: twice its square root and two more.
#[test]
fn a_fleet_does_not_overload_a_cold_partner() {
    for (senders, limit) in [(12, 20.0), (20, 40.0), (30, 20.0), (30, 100.0), (100, 90.0)] {
        for (calls, budget) in calls_to_a_cold_partner(senders, limit) {
            let tolerated = budget + 2.0 * budget.sqrt() + 2.0;
            assert!(calls <= tolerated, "{senders} senders, limit {limit}: {calls} calls, budget {budget}");
        }
    }
}

/// A partner may report any limit. The time of the next call must not overflow.
#[test]
fn a_reported_limit_close_to_zero_is_tolerated() {
    for senders in [1, 300] {
        let mut scheduler = sender_of(senders, 1);
        let mut out = Vec::new();
        scheduler.handle(0, list(1, 50.0), &mut out);
        let report = Some(LimitReport { share_left: 1.0, rate: 1e-300 });
        for id in 0..4 {
            let now = (id + 1) * SECOND;
            scheduler.handle(now, request(id, now), &mut out);
            scheduler.decide(now, &mut out);
            let sent = out.drain(..).find_map(|a| match a {
                Action::Send { id, target, .. } => Some((id, target)),
                _ => None,
            });
            let Some((id, target)) = sent else { continue };
            let (outcome, took, wait) = (Outcome::Ok, 40_000, 0);
            let end = Event::Outcome { id, attempt: 0, target, outcome, took, ended: true, wait, report };
            scheduler.handle(now + took, end, &mut out);
        }
        scheduler.handle(9 * SECOND, Event::Timer { token: 0 }, &mut out);
        scheduler.decide(9 * SECOND, &mut out);
        let timers = out.iter().filter(|a| matches!(a, Action::Timer { after, .. } if *after > 0)).count();
        assert!(timers > 0, "{senders} senders: no timer was set");
    }
}

/// Below the limit a fleet sends its messages as they arrive.
#[test]
fn a_fleet_below_the_limit_is_not_delayed() {
    let seconds = emulate(33.0, "");
    let (came, served): (u64, u64) =
        seconds[5..].iter().fold((0, 0), |(c, s), second| (c + second.arrived, s + second.delivered));
    assert!(served + 33 > came, "{seconds:?}");
}

/// Outages, a halved limit, slow answers and random failures, with one to thirty forwarders: no rule is
/// broken.
#[test]
fn the_scheduler_keeps_the_rules_in_the_emulator() {
    let mut world = World::read(include_str!("../crates/emulator/worlds/calm.toml")).unwrap();
    world.fleet.lasts = 16 * SECOND;
    let trouble = |what: &str, partner: &str, times: f64| {
        format!("[[trouble]]\nat = \"4s\"\nfor = \"4s\"\nwhat = \"{what}\"\npartner = \"{partner}\"\ntimes = {times:?}\n")
    };
    let text = include_str!("../crates/emulator/worlds/calm.toml").to_string()
        + &trouble("out", "bank", 1.0)
        + &trouble("limit", "giro", 0.5)
        + &trouble("slow", "north", 3.0);
    let mut troubled = World::read(&text).unwrap();
    troubled.fleet.lasts = 16 * SECOND;
    troubled.partners[3].fails = 0.1;
    troubled.partners[4].resets = 0.05;
    for forwarders in [1, 3, 10, 11, 30] {
        for world in [&mut world, &mut troubled] {
            // The same traffic for each forwarder as in a fleet of three hundred, but the partners have a
            // least size.
            let part = f64::from(forwarders.max(10)) / 30.0;
            world.fleet.forwarders = forwarders;
            world.traffic.rate = 90.0 * part;
            for (partner, limit) in world.partners.iter_mut().zip([33.0, 24.0, 19.0, 15.0, 12.0]) {
                partner.limit = limit * part;
            }
            let figures =
                foldtrack_emulator::simulation::simulate(world, &SchedulerFactory, u64::from(forwarders));
            assert!(figures.is_clean(), "{forwarders}: {:?}", figures.violations);
            assert!(figures.served() > 0.3, "{forwarders}: {}", figures.served());
        }
    }
}

/// A partner without a limit that rejects one call in ten at random is failing, not full. Each rejection cut
/// the pace as if a limit had been met, from the first seconds on: of 400 messages a second 2 were delivered
/// in time.
#[test]
fn random_rejections_do_not_slow_a_forwarder_down() {
    for refuses in [0.03, 0.10] {
        let text = format!(
            "about = \"\"\n[fleet]\nforwarders = 1\nslots = 64\nheld = 4000\nattempts = 8\nlasts = \"15s\"\nway = [\"100us\", \"300us\"]\n\
             [traffic]\nrate = 400.0\n[[class]]\nname = \"c\"\nshare = 1.0\naim = \"3s\"\ndeadline = \"12s\"\nworth = 1.0\nlate = 0.5\n\
             effect = \"repeatable\"\n[[partner]]\nname = \"p\"\nshare = 1.0\ntakes = [\"5ms\", \"20ms\"]\nrefuses = {refuses:?}\n"
        );
        for seed in 1..=3 {
            let figures = foldtrack_emulator::simulation::simulate(
                &World::read(&text).unwrap(),
                &SchedulerFactory,
                seed,
            );
            let in_time = figures.in_time as f64 / figures.messages as f64;
            assert!(in_time > 0.95 && figures.is_clean(), "{refuses}, seed {seed}: {in_time}");
        }
    }
}
