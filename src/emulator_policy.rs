//! The module as a policy of the emulator: the same decisions, in simulated time.

use crate::{
    Action, Class, DeliveryScheduler, Effect, Endpoint, EndpointState, Event, LimitReport, ListKind,
    ListedRate, Outcome, Rules, Settings,
};
use foldtrack_emulator::policy::{Deed, Effect as Told, Ending, Maker, News, Policy, Site};
use foldtrack_emulator::{Micros, SECOND};

/// A forwarder handles what has come in once in so long.
const TICK: Micros = 5_000;
/// What is told to drain gets nothing new after this time.
const DRAIN_GRACE: Micros = 2 * SECOND;
/// After an end that may still run a key rests for so long.
const ORDER_PAUSE: Micros = 100_000;

/// Makes modules with the settings of a fleet's site.
#[derive(Clone, Copy, Debug, Default)]
pub struct SchedulerFactory;

impl Maker for SchedulerFactory {
    fn name(&self) -> &str {
        "module"
    }

    fn make(&self, site: &Site) -> Box<dyn Policy> {
        let brain = DeliveryScheduler::new(0, site.seed, settings(site));
        Box::new(Module { brain, version: 0, actions: Vec::new() })
    }
}

fn settings(site: &Site) -> Settings {
    let class = |c: &foldtrack_emulator::policy::Class| Class {
        aim: c.aim,
        deadline: c.deadline,
        worth: c.worth,
        late_value: c.late,
        effect: match c.effect {
            Told::Repeatable => Effect::Repeatable,
            Told::Keyed(_) => Effect::Keyed,
            Told::Once => Effect::Once,
        },
        dedup_window: match c.effect {
            Told::Keyed(window) => window,
            _ => 0,
        },
        in_order: c.in_order,
        ..Class::default()
    };
    Settings {
        senders: site.forwarders,
        slots: site.slots,
        max_held: site.held,
        max_attempts: site.attempts,
        classes: site.classes.iter().map(class).collect(),
        rules: Rules {
            drain_grace: DRAIN_GRACE,
            cold_capacity_share: site.cold.from,
            slow_start_time: site.cold.warm_after,
            overload_factor: site.cold.tip,
            overload_duration: site.cold.tip_after,
            uncertain_key_pause: ORDER_PAUSE,
            ..Rules::default()
        },
        listed_rate: ListedRate::Exact,
        tick: TICK,
        ..Settings::default()
    }
}

struct Module {
    brain: DeliveryScheduler,
    version: u32,
    actions: Vec<Action>,
}

fn outcome(ending: Ending) -> Outcome {
    match ending {
        Ending::Done => Outcome::Ok,
        Ending::Failed => Outcome::Error,
        Ending::Full => Outcome::Rejected,
        Ending::TimedOut => Outcome::TimedOut,
        Ending::Reset => Outcome::Reset,
        Ending::NotSent => Outcome::NotSent,
    }
}

impl Policy for Module {
    fn hear(&mut self, now: Micros, news: News, deeds: &mut Vec<Deed>) {
        let event = match news {
            News::List(lines) => {
                self.version += 1;
                let endpoint = |line: foldtrack_emulator::policy::Line| Endpoint {
                    target: line.target,
                    destination: line.partner,
                    state: EndpointState::Ready,
                    rate: line.rate,
                    ..Endpoint::default()
                };
                let endpoints = lines.into_iter().map(endpoint).collect();
                Event::List { kind: ListKind::Full, version: self.version, endpoints }
            }
            News::Message { id, class, partner, key, expires } => {
                Event::Request { id, class, destination: partner, order_key: key, expires }
            }
            News::Ended { id, attempt, target, ending, took, over, wait, told } => Event::Outcome {
                id,
                attempt,
                target,
                outcome: outcome(ending),
                took,
                ended: over,
                wait,
                report: told.map(|told| LimitReport { share_left: told.left, rate: told.rate }),
            },
            News::Wake { token } => Event::Timer { token },
        };
        self.brain.handle(now, event, &mut self.actions);
        self.tell(deeds);
    }

    fn decide(&mut self, now: Micros, deeds: &mut Vec<Deed>) {
        self.brain.decide(now, &mut self.actions);
        self.tell(deeds);
    }
}

impl Module {
    fn tell(&mut self, deeds: &mut Vec<Deed>) {
        deeds.extend(self.actions.drain(..).filter_map(|action| match action {
            Action::Send { id, target, until } => Some(Deed::Send { id, target, until }),
            Action::Refuse { id, retry_after } => Some(Deed::Refuse { id, again_after: retry_after }),
            Action::Fail { id } => Some(Deed::Fail { id }),
            Action::Timer { after, token } => Some(Deed::Wake { after, token }),
            // Probes, lists and calls that are called off are none of this world's.
            _ => None,
        }));
    }
}
