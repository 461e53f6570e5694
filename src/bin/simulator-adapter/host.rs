//! Runs one scheduler for each instance number and translates between the protocol and the library.

use crate::wire::{Batch, Entry, InputRecord, Malformed, OutputRecord, Reply};
use foldtrack_delivery::settings::DeploymentSettings;
use foldtrack_delivery::{
    Action, DeliveryScheduler, Endpoint, EndpointState, Event, LimitReport, ListKind, Outcome,
};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

struct Instance {
    scheduler: DeliveryScheduler,
    share_left_at: Option<usize>,
    rate_at: Option<usize>,
}

/// All instances of this process and the numbered lists that they refer to.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    lists: BTreeMap<u16, Vec<Entry>>,
}

fn outcome(status: u16) -> Result<Outcome, Malformed> {
    Ok(match status {
        0 => Outcome::Error,
        1 => Outcome::Ok,
        2 => Outcome::Rejected,
        3 => Outcome::TimedOut,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        _ => return Err(Malformed(format!("an outcome has the unknown code {status}"))),
    })
}

fn endpoint(entry: &Entry) -> Result<Endpoint, Malformed> {
    let state = match entry.status {
        3 => EndpointState::Ready,
        0 => EndpointState::Draining,
        1 => EndpointState::Gone,
        other => return Err(Malformed(format!("a target has the unknown status {other}"))),
    };
    Ok(Endpoint {
        target: entry.target,
        destination: u32::from(entry.destination),
        kind: u32::from(entry.kind),
        zone: u32::from(entry.zone),
        state,
        rate: f64::from(entry.rate),
        slots: None,
        hold_until: 0,
    })
}

impl Instance {
    fn limit_report(&self, values: &[f32]) -> Option<LimitReport> {
        let value = |at: Option<usize>| at.and_then(|at| values.get(at)).map(|v| f64::from(*v));
        Some(LimitReport { share_left: value(self.share_left_at)?, rate: value(self.rate_at)? })
    }
}

impl Host {
    /// Processes a batch and returns the frame of the reply.
    pub fn process(&mut self, batch: Batch) -> Result<Vec<u8>, Malformed> {
        let clock = batch.clock;
        let mut reply = Reply::new(batch.number);
        let mut touched: BTreeMap<u16, Vec<Action>> = BTreeMap::new();
        for record in batch.records {
            let (instance, event) = match record {
                InputRecord::DeclareList { list, entries } => {
                    self.lists.insert(list, entries);
                    continue;
                }
                InputRecord::Stop { instance } => {
                    self.instances.remove(&instance);
                    touched.remove(&instance);
                    continue;
                }
                InputRecord::Start { instance, seed, settings: settings_json } => {
                    let DeploymentSettings { settings, share_left_at, rate_at, .. } =
                        serde_json::from_slice(&settings_json).map_err(|e| {
                            Malformed(format!("the settings of instance {instance} do not parse: {e}"))
                        })?;
                    let scheduler =
                        guarded(instance, &mut reply, || DeliveryScheduler::new(clock, seed, settings));
                    touched.insert(instance, Vec::new());
                    if let Some(scheduler) = scheduler {
                        self.instances.insert(instance, Instance { scheduler, share_left_at, rate_at });
                    }
                    continue;
                }
                other => self.translate(other)?,
            };
            let Some(running) = self.instances.get_mut(&instance) else {
                continue;
            };
            let actions = touched.entry(instance).or_default();
            guarded(instance, &mut reply, || running.scheduler.handle(clock, event, actions));
        }
        for (instance, mut actions) in touched {
            let Some(running) = self.instances.get_mut(&instance) else {
                continue;
            };
            guarded(instance, &mut reply, || running.scheduler.decide(clock, &mut actions));
            for output in actions.into_iter().filter_map(|action| output_record(instance, action)) {
                reply.push(&output);
            }
        }
        Ok(reply.finish())
    }

    fn translate(&self, record: InputRecord) -> Result<(u16, Event), Malformed> {
        let limit_report = |instance: u16, values: &[f32]| {
            self.instances.get(&instance).and_then(|x| x.limit_report(values))
        };
        Ok(match record {
            InputRecord::List { instance, kind, version, list } => {
                let list_kind = match kind {
                    0 => ListKind::Delta,
                    1 => ListKind::Full,
                    2 => ListKind::Cached,
                    3 => ListKind::Failed,
                    other => return Err(Malformed(format!("a list has the unknown scope {other}"))),
                };
                let endpoints = match (list_kind, self.lists.get(&list)) {
                    (ListKind::Failed, _) => Vec::new(),
                    (_, Some(entries)) => entries.iter().map(endpoint).collect::<Result<_, _>>()?,
                    (_, None) => return Err(Malformed(format!("list {list} was never declared"))),
                };
                (instance, Event::List { kind: list_kind, version, endpoints })
            }
            InputRecord::Request { instance, id, class, destination, key, expires, .. } => (
                instance,
                Event::Request {
                    id,
                    class: u32::from(class),
                    destination: destination as u32,
                    order_key: key,
                    expires,
                },
            ),
            InputRecord::StreamStarted { instance, id, attempt, .. } => {
                (instance, Event::Started { id, attempt: u32::from(attempt) })
            }
            InputRecord::Outcome { instance, id, attempt, target, status, took, ended, wait_ms, report } => (
                instance,
                Event::Outcome {
                    id,
                    attempt: u32::from(attempt),
                    target,
                    outcome: outcome(status)?,
                    took: u64::from(took),
                    ended,
                    wait: if status == 2 { u64::from(wait_ms) * 1000 } else { 0 },
                    report: limit_report(instance, &report),
                },
            ),
            InputRecord::Abandoned { instance, id } => (instance, Event::Abandoned { id }),
            InputRecord::Timer { instance, token } => (instance, Event::Timer { token }),
            InputRecord::ProbeOutcome { instance, target, status, took, report } => (
                instance,
                Event::ProbeOutcome {
                    target,
                    outcome: outcome(status)?,
                    took: u64::from(took),
                    report: limit_report(instance, &report),
                },
            ),
            InputRecord::PeerMessage { instance, from, data } => {
                (instance, Event::PeerMessage { from, data })
            }
            InputRecord::Start { .. } | InputRecord::Stop { .. } | InputRecord::DeclareList { .. } => {
                return Err(Malformed("a record without an event".into()))
            }
        })
    }
}

/// Calls the scheduler of an instance. A panic becomes a `Fault` record of the instance.
fn guarded<T>(instance: u16, reply: &mut Reply, work: impl FnOnce() -> T) -> Option<T> {
    match catch_unwind(AssertUnwindSafe(work)) {
        Ok(value) => Some(value),
        Err(panic) => {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
            reply.push(&OutputRecord::Fault { instance, message: text.to_string() });
            None
        }
    }
}

/// Converts an action to a record. In the simulator a call starts at the moment of its decision, so no call
/// can be withheld and a detected outage needs no record.
fn output_record(instance: u16, action: Action) -> Option<OutputRecord> {
    let to_u32 = |span: u64| u32::try_from(span).unwrap_or(u32::MAX);
    Some(match action {
        Action::OutageDetected { .. } => return None,
        Action::Send { id, target, until } => OutputRecord::Send { instance, id, until, target },
        Action::Cancel { id, attempt } => OutputRecord::Cancel { instance, id, attempt: attempt as u8 },
        Action::Refuse { id, retry_after } => {
            OutputRecord::Refuse { instance, id, retry_after: to_u32(retry_after) }
        }
        Action::Fail { id } => OutputRecord::Fail { instance, id },
        Action::Probe { target } => OutputRecord::Probe { instance, target },
        Action::Timer { after, token } => OutputRecord::Timer { instance, after: to_u32(after), token },
        Action::CloseIdle { target } => OutputRecord::CloseIdle { instance, target },
        Action::Subscribe { on } => OutputRecord::Subscribe { instance, on },
        Action::FetchList => OutputRecord::FetchList { instance },
        Action::SendToPeer { to, data } => {
            OutputRecord::PeerMessage { instance, to: to.unwrap_or(u32::MAX), data }
        }
        Action::Log { text } => OutputRecord::Log { instance, text },
    })
}
