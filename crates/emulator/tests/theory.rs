//! The emulator against what is known: queues, Little's law, token buckets, determinism, and that it sees defects.

use foldtrack_emulator::baselines::Baseline;
use foldtrack_emulator::matrix::rows;
use foldtrack_emulator::metrics::Metrics;
use foldtrack_emulator::policy::{AttemptOutcome, Command, Policy, PolicyEvent, PolicyFactory, Site};
use foldtrack_emulator::simulation::simulate;
use foldtrack_emulator::world::World;
use foldtrack_emulator::Micros;

/// Sends everything at once, whatever it hears; with defects that can be chosen.
#[derive(Clone, Copy, Default)]
struct Open {
    /// Sends again what timed out or broke.
    repeats: bool,
    /// Never ends what it can't deliver.
    forgets: bool,
}

impl PolicyFactory for Open {
    fn name(&self) -> &str {
        "open"
    }
    fn create(&self, _: &Site) -> Box<dyn Policy> {
        Box::new(*self)
    }
}

impl Policy for Open {
    fn handle_event(&mut self, now: Micros, event: PolicyEvent, commands: &mut Vec<Command>) {
        let until = now + 500_000_000;
        match event {
            PolicyEvent::Message { id, .. } => commands.push(Command::Send { id, target: 0, until }),
            PolicyEvent::AttemptEnded { id, outcome, finished: false, target, .. }
                if outcome != AttemptOutcome::NotSent =>
            {
                if self.repeats {
                    commands.push(Command::Send { id, target, until });
                } else if !self.forgets {
                    commands.push(Command::Refuse { id, retry_after: 0 });
                }
            }
            _ => {}
        }
    }
    fn decide(&mut self, _: Micros, _: &mut Vec<Command>) {}
}

fn world(rate: f64, lasts: u32, partner: &str) -> World {
    let text = format!(
        "about = \"\"\n[fleet]\nforwarders = 3\nslots = 100000\nheld = 100000\nattempts = 8\nlasts = \"{lasts}s\"\nway = [\"0ms\", \"0ms\"]\n\
         [traffic]\nrate = {rate:?}\n[[class]]\nname = \"c\"\nshare = 1.0\naim = \"100s\"\ndeadline = \"400s\"\nworth = 1.0\nlate = 0.5\n\
         effect = \"once\"\n[[partner]]\nname = \"p\"\nshare = 1.0\n{partner}\n"
    );
    World::read(&text).unwrap()
}

/// Mean time in the partner, in seconds.
fn mean(metrics: &Metrics) -> f64 {
    metrics.delivery.mean() / 1e6
}

#[track_caller]
fn near(found: f64, expected: f64, part: f64) {
    assert!((found / expected - 1.0).abs() <= part, "{found} for {expected}");
}

#[test]
fn one_server_with_exponential_times_is_an_m_m_1_queue() {
    // 1 / (mu - lambda), at loads of 0.3, 0.5, 0.8.
    for (rate, bound) in [(30.0, 0.03), (50.0, 0.03), (80.0, 0.10)] {
        let world = world(rate, 2_000, "servers = 1\nqueue = 100000\nexponential = \"10ms\"");
        near(mean(&simulate(&world, &Open::default(), 1)), 1.0 / (100.0 - rate), bound);
    }
}

#[test]
fn one_server_with_fixed_times_is_an_m_d_1_queue() {
    for (rate, bound) in [(50.0, 0.03), (80.0, 0.06)] {
        let world = world(rate, 2_000, "servers = 1\nqueue = 100000\nfixed = \"10ms\"");
        let load = rate / 100.0;
        // Pollaczek and Khinchine: service and half of what waiting an M/M/1 queue has.
        near(mean(&simulate(&world, &Open::default(), 2)), 0.01 + load * 0.01 / (2.0 * (1.0 - load)), bound);
    }
}

#[test]
fn several_servers_wait_as_erlang_has_it() {
    // M/M/3 at a load of 0.8: the chance to wait is 0.6472 (Erlang C), and the mean wait that over 3 mu - lambda.
    let world = world(240.0, 1_500, "servers = 3\nqueue = 100000\nexponential = \"10ms\"");
    near(mean(&simulate(&world, &Open::default(), 3)), 0.01 + 0.6472 / (300.0 - 240.0), 0.08);
}

#[test]
fn what_is_in_the_system_is_what_comes_times_how_long_it_stays() {
    let world = world(60.0, 2_000, "servers = 1\nqueue = 100000\nexponential = \"10ms\"");
    let metrics = simulate(&world, &Open::default(), 4);
    // Looked at at the end of each second: what has come and not gone.
    let (mut inside, mut sum) = (0.0, 0.0);
    for second in &metrics.seconds {
        inside += second.arrived as f64 - second.delivered as f64;
        sum += inside;
    }
    let looks = metrics.seconds.len() as f64;
    near(sum / looks, metrics.messages as f64 / 2_000.0 * mean(&metrics), 0.1);
}

#[test]
fn a_bucket_lets_through_its_rate_and_what_it_saved() {
    for (offered, taken) in [(30.0, 30.0), (60.0, 50.0), (200.0, 50.0)] {
        let world = world(offered, 400, "limit = 50.0\nfixed = \"1ms\"");
        let metrics = simulate(&world, &Open::default(), 5);
        near((metrics.calls - metrics.rejected) as f64 / 400.0, taken, 0.03);
    }
    // Where refused calls use the limit up, an open loop above it gets next to nothing.
    let world = world(100.0, 100, "limit = 50.0\nfixed = \"1ms\"\nrefused-use-up = true");
    let metrics = simulate(&world, &Open::default(), 5);
    assert!((metrics.calls - metrics.rejected) as f64 / 100.0 < 5.0, "{metrics:?}");
    // A count in spans lets the first ones in, and all others wait for the next span.
    let world =
        self::world(100.0, 100, "limit = 50.0\nwindow = \"1s\"\nfixed = \"1ms\"\nrefused-use-up = true");
    let metrics = simulate(&world, &Open::default(), 5);
    near((metrics.calls - metrics.rejected) as f64 / 100.0, 50.0, 0.02);
}

#[test]
fn one_seed_is_one_history_on_any_number_of_threads() {
    let mut world = World::read(include_str!("../worlds/calm.toml")).unwrap();
    world.fleet.lasts = 4_000_000;
    let seeds = [1, 2, 3, 4];
    let on = |threads: usize| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().unwrap();
        pool.install(|| rows(&world, &[&Baseline::Aimd, &Baseline::BackOff], &seeds))
    };
    let one = on(1);
    assert_eq!(one, on(4));
    assert!(one[0] != on(1)[1]);
}

/// Every baseline keeps the rules, so that what it earns counts.
#[test]
fn baselines_keep_the_rules() {
    let mut world = World::read(include_str!("../worlds/calm.toml")).unwrap();
    world.fleet.lasts = 15_000_000;
    world.partners[1].fails = 0.1;
    world.partners[2].resets = 0.1;
    for baseline in &Baseline::ALL {
        let metrics = simulate(&world, baseline, 7);
        assert!(metrics.is_clean(), "{}: {:?}", baseline.name(), metrics.violations);
        assert!(metrics.served() > 0.05, "{}: {}", baseline.name(), metrics.served());
        assert_eq!(metrics.messages, metrics.in_time + metrics.late + metrics.refused + metrics.failed);
    }
}

/// A payment that is sent again after its connection broke, and a message that nobody ends, are seen.
#[test]
fn broken_rules_are_counted() {
    let world = world(50.0, 20, "fixed = \"5ms\"\nresets = 0.2\nfails = 0.1");
    let repeats = simulate(&world, &Open { repeats: true, ..Open::default() }, 8).violations;
    assert!(repeats.duplicates > 50 && repeats.lost == 0, "{repeats:?}");
    let forgets = simulate(&world, &Open { forgets: true, ..Open::default() }, 8).violations;
    assert!(forgets.lost > 100 && forgets.duplicates == 0, "{forgets:?}");
    assert!(simulate(&world, &Open::default(), 8).is_clean());
}

/// A partner that comes back cold and is called by all at once falls over.
#[test]
fn a_cold_partner_that_is_pushed_falls_over() {
    let text = "limit = 100.0\nfixed = \"5ms\"\n[[trouble]]\nat = \"5s\"\nfor = \"5s\"\nwhat = \"out\"";
    let pushed = |rate: f64| simulate(&world(rate, 30, text), &Open::default(), 9).violations.overloaded;
    assert_eq!((pushed(20.0), pushed(95.0)), (0, 1));
}
