//! Checks the simulator against known results: queueing formulas, Little's law, token buckets. Also checks that it is
//! deterministic and that it detects violations of the delivery rules.

use foldtrack_emulator::baselines::Baseline;
use foldtrack_emulator::matrix::rows;
use foldtrack_emulator::metrics::Metrics;
use foldtrack_emulator::policy::{AttemptOutcome, Command, Policy, PolicyEvent, PolicyFactory, Site};
use foldtrack_emulator::simulation::simulate;
use foldtrack_emulator::world::World;
use foldtrack_emulator::Micros;

/// Sends every message at once, whatever the answers are. Its defects can be switched on.
#[derive(Clone, Copy, Default)]
struct OpenLoop {
    /// Defect: repeats every attempt that did not finish the message.
    repeats: bool,
    /// Defect: never ends a message that it cannot deliver.
    forgets: bool,
}

impl PolicyFactory for OpenLoop {
    fn name(&self) -> &str {
        "open"
    }
    fn create(&self, _: &Site) -> Box<dyn Policy> {
        Box::new(*self)
    }
}

impl Policy for OpenLoop {
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

/// Mean time from submission to delivery, in seconds; with no network delay it is the time at the partner.
fn mean(metrics: &Metrics) -> f64 {
    metrics.delivery.mean() / 1e6
}

#[track_caller]
fn assert_near(actual: f64, expected: f64, tolerance: f64) {
    assert!((actual / expected - 1.0).abs() <= tolerance, "{actual}, expected {expected}");
}

#[test]
fn one_server_with_exponential_times_matches_an_m_m_1_queue() {
    // The mean time is 1 / (mu - lambda); loads of 0.3, 0.5 and 0.8.
    for (rate, tolerance) in [(30.0, 0.03), (50.0, 0.03), (80.0, 0.10)] {
        let world = world(rate, 2_000, "servers = 1\nqueue = 100000\nexponential = \"10ms\"");
        assert_near(mean(&simulate(&world, &OpenLoop::default(), 1)), 1.0 / (100.0 - rate), tolerance);
    }
}

#[test]
fn one_server_with_fixed_times_matches_an_m_d_1_queue() {
    for (rate, tolerance) in [(50.0, 0.03), (80.0, 0.06)] {
        let world = world(rate, 2_000, "servers = 1\nqueue = 100000\nfixed = \"10ms\"");
        let load = rate / 100.0;
        // Pollaczek and Khinchine: the service time plus half of the waiting time of an M/M/1 queue.
        assert_near(
            mean(&simulate(&world, &OpenLoop::default(), 2)),
            0.01 + load * 0.01 / (2.0 * (1.0 - load)),
            tolerance,
        );
    }
}

#[test]
fn several_servers_match_erlang_c() {
    // M/M/3 at a load of 0.8: the probability of waiting is 0.6472 (Erlang C), the mean wait is that divided by 3 mu - lambda.
    let world = world(240.0, 1_500, "servers = 3\nqueue = 100000\nexponential = \"10ms\"");
    assert_near(mean(&simulate(&world, &OpenLoop::default(), 3)), 0.01 + 0.6472 / (300.0 - 240.0), 0.08);
}

#[test]
fn littles_law_holds() {
    let world = world(60.0, 2_000, "servers = 1\nqueue = 100000\nexponential = \"10ms\"");
    let metrics = simulate(&world, &OpenLoop::default(), 4);
    // Number of messages in the system, sampled at the end of each second.
    let mut in_system = 0.0;
    let mut sum = 0.0;
    for second in &metrics.seconds {
        in_system += second.arrived as f64 - second.delivered as f64;
        sum += in_system;
    }
    let samples = metrics.seconds.len() as f64;
    assert_near(sum / samples, metrics.messages as f64 / 2_000.0 * mean(&metrics), 0.1);
}

#[test]
fn limits_accept_their_rate() {
    for (offered, accepted) in [(30.0, 30.0), (60.0, 50.0), (200.0, 50.0)] {
        let world = world(offered, 400, "limit = 50.0\nfixed = \"1ms\"");
        let metrics = simulate(&world, &OpenLoop::default(), 5);
        assert_near((metrics.calls - metrics.rejected) as f64 / 400.0, accepted, 0.03);
    }
    // If refused calls count against the limit, an open loop above the limit gets almost nothing.
    let world = world(100.0, 100, "limit = 50.0\nfixed = \"1ms\"\nrefused-use-up = true");
    let metrics = simulate(&world, &OpenLoop::default(), 5);
    assert!((metrics.calls - metrics.rejected) as f64 / 100.0 < 5.0, "{metrics:?}");
    // A fixed window accepts the first calls of each window, even if refused calls count.
    let world =
        self::world(100.0, 100, "limit = 50.0\nwindow = \"1s\"\nfixed = \"1ms\"\nrefused-use-up = true");
    let metrics = simulate(&world, &OpenLoop::default(), 5);
    assert_near((metrics.calls - metrics.rejected) as f64 / 100.0, 50.0, 0.02);
}

#[test]
fn results_depend_on_the_seed_and_not_on_the_number_of_threads() {
    let mut world = World::read(include_str!("../worlds/calm.toml")).unwrap();
    world.fleet.lasts = 4_000_000;
    let seeds = [1, 2, 3, 4];
    let rows_with = |threads: usize| {
        let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().unwrap();
        pool.install(|| rows(&world, &[&Baseline::Aimd, &Baseline::BackOff], &seeds))
    };
    let single = rows_with(1);
    assert_eq!(single, rows_with(4));
    assert!(single[0] != rows_with(1)[1]);
}

/// Baselines must obey the delivery rules: otherwise the worth that they earn is no basis for comparison.
#[test]
fn baselines_obey_the_delivery_rules() {
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

/// Detects a payment that is sent again after its connection broke, and a message that never gets an outcome.
#[test]
fn violations_are_counted() {
    let world = world(50.0, 20, "fixed = \"5ms\"\nresets = 0.2\nfails = 0.1");
    let repeats = simulate(&world, &OpenLoop { repeats: true, ..OpenLoop::default() }, 8).violations;
    assert!(repeats.duplicates > 50 && repeats.lost == 0, "{repeats:?}");
    let forgets = simulate(&world, &OpenLoop { forgets: true, ..OpenLoop::default() }, 8).violations;
    assert!(forgets.lost > 100 && forgets.duplicates == 0, "{forgets:?}");
    assert!(simulate(&world, &OpenLoop::default(), 8).is_clean());
}

/// A partner that receives more calls during its slow start than it survives goes down again.
#[test]
fn overload_during_slow_start_takes_a_partner_down() {
    let text = "limit = 100.0\nfixed = \"5ms\"\n[[trouble]]\nat = \"5s\"\nfor = \"5s\"\nwhat = \"out\"";
    let overloads =
        |rate: f64| simulate(&world(rate, 30, text), &OpenLoop::default(), 9).violations.overloaded;
    assert_eq!((overloads(20.0), overloads(95.0)), (0, 1));
}
