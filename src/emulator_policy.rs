//! The scheduler as a policy of the emulator: the same decisions, in simulated time.

use crate::{
    Action, Class, DeliveryScheduler, Effect, Endpoint, EndpointState, Event, LimitReport, ListKind,
    ListedRate, Outcome, Rules, Settings,
};
use foldtrack_emulator::policy::{
    AttemptOutcome, Command, Effect as EmulatedEffect, Policy, PolicyEvent, PolicyFactory, Site,
};
use foldtrack_emulator::{Micros, SECOND};

/// Shortest time between two moments at which a forwarder processes events.
const TICK: Micros = 5_000;
/// Time after which a drained endpoint gets no new calls.
const DRAIN_GRACE: Micros = 2 * SECOND;
/// Pause of an order key after an attempt that may still run.
const ORDER_PAUSE: Micros = 100_000;

/// Creates a scheduler for each forwarder of an emulated fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct SchedulerFactory;

impl PolicyFactory for SchedulerFactory {
    fn name(&self) -> &str {
        "module"
    }

    fn create(&self, site: &Site) -> Box<dyn Policy> {
        let scheduler = DeliveryScheduler::new(0, site.seed, settings(site));
        Box::new(SchedulerPolicy { scheduler, version: 0, actions: Vec::new() })
    }
}

fn settings(site: &Site) -> Settings {
    let class = |c: &foldtrack_emulator::policy::Class| Class {
        aim: c.aim,
        deadline: c.deadline,
        worth: c.worth,
        late_value: c.late,
        effect: match c.effect {
            EmulatedEffect::Repeatable => Effect::Repeatable,
            EmulatedEffect::Keyed(_) => Effect::Keyed,
            EmulatedEffect::Once => Effect::Once,
        },
        dedup_window: match c.effect {
            EmulatedEffect::Keyed(window) => window,
            _ => 0,
        },
        in_order: c.in_order,
        ..Class::default()
    };
    Settings {
        senders: site.forwarders,
        slots: site.slots,
        max_held: site.max_held,
        max_attempts: site.max_attempts,
        classes: site.classes.iter().map(class).collect(),
        rules: Rules {
            drain_grace: DRAIN_GRACE,
            cold_capacity_share: site.slow_start.initial_share,
            slow_start_time: site.slow_start.duration,
            overload_factor: site.slow_start.overload_factor,
            overload_duration: site.slow_start.overload_duration,
            uncertain_key_pause: ORDER_PAUSE,
            ..Rules::default()
        },
        listed_rate: ListedRate::Exact,
        tick: TICK,
        ..Settings::default()
    }
}

struct SchedulerPolicy {
    scheduler: DeliveryScheduler,
    /// Version of the endpoint list.
    version: u32,
    actions: Vec<Action>,
}

fn scheduler_outcome(outcome: AttemptOutcome) -> Outcome {
    match outcome {
        AttemptOutcome::Delivered => Outcome::Ok,
        AttemptOutcome::Failed => Outcome::Error,
        AttemptOutcome::Rejected => Outcome::Rejected,
        AttemptOutcome::TimedOut => Outcome::TimedOut,
        AttemptOutcome::Reset => Outcome::Reset,
        AttemptOutcome::NotSent => Outcome::NotSent,
    }
}

impl Policy for SchedulerPolicy {
    fn handle_event(&mut self, now: Micros, event: PolicyEvent, commands: &mut Vec<Command>) {
        let event = match event {
            PolicyEvent::List(lines) => {
                self.version += 1;
                let endpoint = |line: foldtrack_emulator::policy::ListedEndpoint| Endpoint {
                    target: line.target,
                    destination: line.partner,
                    state: EndpointState::Ready,
                    rate: line.rate,
                    ..Endpoint::default()
                };
                let endpoints = lines.into_iter().map(endpoint).collect();
                Event::List { kind: ListKind::Full, version: self.version, endpoints }
            }
            PolicyEvent::Message { id, class, partner, key, expires } => {
                Event::Request { id, class, destination: partner, order_key: key, expires }
            }
            PolicyEvent::AttemptEnded {
                id,
                attempt,
                target,
                outcome,
                took,
                finished,
                wait,
                limit_report,
            } => Event::Outcome {
                id,
                attempt,
                target,
                outcome: scheduler_outcome(outcome),
                took,
                ended: finished,
                wait,
                report: limit_report
                    .map(|report| LimitReport { share_left: report.share_left, rate: report.rate }),
            },
            PolicyEvent::Wake { token } => Event::Timer { token },
        };
        self.scheduler.handle(now, event, &mut self.actions);
        self.translate_actions(commands);
    }

    fn decide(&mut self, now: Micros, commands: &mut Vec<Command>) {
        self.scheduler.decide(now, &mut self.actions);
        self.translate_actions(commands);
    }
}

impl SchedulerPolicy {
    fn translate_actions(&mut self, commands: &mut Vec<Command>) {
        commands.extend(self.actions.drain(..).filter_map(|action| match action {
            Action::Send { id, target, until } => Some(Command::Send { id, target, until }),
            Action::Refuse { id, retry_after } => Some(Command::Refuse { id, retry_after }),
            Action::Fail { id } => Some(Command::Fail { id }),
            Action::Timer { after, token } => Some(Command::Wake { after, token }),
            // The emulator has no probes, no list subscriptions and no cancelled calls.
            _ => None,
        }));
    }
}
