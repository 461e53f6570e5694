//! One decision module for each instance number; translation between wire and interface.

use crate::wire::{Batch, Entry, Input, Malformed, Output, Reply};
use foldtrack_delivery::settings::DeploymentSettings;
use foldtrack_delivery::{
    Action, DeliveryScheduler, Endpoint, EndpointState, Event, LimitReport, ListKind, Outcome,
};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

struct Instance {
    brain: DeliveryScheduler,
    share_left_at: Option<usize>,
    rate_at: Option<usize>,
}

/// All instances of this process and the numbered lists they refer to.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    sheets: BTreeMap<u16, Vec<Entry>>,
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
        rate: f64::from(entry.size),
        slots: None,
        hold_until: 0,
    })
}

impl Instance {
    fn report(&self, values: &[f32]) -> Option<LimitReport> {
        let value = |at: Option<usize>| at.and_then(|at| values.get(at)).map(|v| f64::from(*v));
        Some(LimitReport { share_left: value(self.share_left_at)?, rate: value(self.rate_at)? })
    }
}

impl Host {
    /// Plays a batch and gives the frame of the reply.
    pub fn play(&mut self, batch: Batch) -> Result<Vec<u8>, Malformed> {
        let clock = batch.clock;
        let mut reply = Reply::new(batch.number);
        let mut touched: BTreeMap<u16, Vec<Action>> = BTreeMap::new();
        for record in batch.records {
            let (i, event) = match record {
                Input::Roster { sheet, items } => {
                    self.sheets.insert(sheet, items);
                    continue;
                }
                Input::Down { i } => {
                    self.instances.remove(&i);
                    touched.remove(&i);
                    continue;
                }
                Input::Born { i, salt, env } => {
                    let DeploymentSettings { settings, share_left_at, rate_at, .. } =
                        serde_json::from_slice(&env).map_err(|e| {
                            Malformed(format!("the settings of instance {i} do not parse: {e}"))
                        })?;
                    let brain = guarded(i, &mut reply, || DeliveryScheduler::new(clock, salt, settings));
                    touched.insert(i, Vec::new());
                    if let Some(brain) = brain {
                        self.instances.insert(i, Instance { brain, share_left_at, rate_at });
                    }
                    continue;
                }
                other => self.translate(other)?,
            };
            let Some(instance) = self.instances.get_mut(&i) else {
                continue;
            };
            let actions = touched.entry(i).or_default();
            guarded(i, &mut reply, || instance.brain.handle(clock, event, actions));
        }
        for (i, mut actions) in touched {
            let Some(instance) = self.instances.get_mut(&i) else {
                continue;
            };
            guarded(i, &mut reply, || instance.brain.decide(clock, &mut actions));
            for output in actions.into_iter().filter_map(|action| record(i, action)) {
                reply.push(&output);
            }
        }
        Ok(reply.finish())
    }

    fn translate(&self, record: Input) -> Result<(u16, Event), Malformed> {
        let report = |i: u16, values: &[f32]| self.instances.get(&i).and_then(|x| x.report(values));
        Ok(match record {
            Input::Targets { i, scope, rev, sheet } => {
                let kind = match scope {
                    0 => ListKind::Delta,
                    1 => ListKind::Full,
                    2 => ListKind::Cached,
                    3 => ListKind::Failed,
                    other => return Err(Malformed(format!("a list has the unknown scope {other}"))),
                };
                let endpoints = match (kind, self.sheets.get(&sheet)) {
                    (ListKind::Failed, _) => Vec::new(),
                    (_, Some(entries)) => entries.iter().map(endpoint).collect::<Result<_, _>>()?,
                    (_, None) => return Err(Malformed(format!("list {sheet} was never declared"))),
                };
                (i, Event::List { kind, version: rev, endpoints })
            }
            Input::Query { i, id, class, destination, key, expires, .. } => (
                i,
                Event::Request {
                    id,
                    class: u32::from(class),
                    destination: destination as u32,
                    order_key: key,
                    expires,
                },
            ),
            Input::Started { i, id, attempt, .. } => (i, Event::Started { id, attempt: u32::from(attempt) }),
            Input::Resolved { i, id, attempt, target, status, took, ended, wait_ms, feedback } => (
                i,
                Event::Outcome {
                    id,
                    attempt: u32::from(attempt),
                    target,
                    outcome: outcome(status)?,
                    took: u64::from(took),
                    ended,
                    wait: if status == 2 { u64::from(wait_ms) * 1000 } else { 0 },
                    report: report(i, &feedback),
                },
            ),
            Input::Lapsed { i, id } => (i, Event::Abandoned { id }),
            Input::Wakeup { i, cookie } => (i, Event::Timer { token: cookie }),
            Input::Echo { i, target, status, took, feedback } => (
                i,
                Event::ProbeOutcome {
                    target,
                    outcome: outcome(status)?,
                    took: u64::from(took),
                    report: report(i, &feedback),
                },
            ),
            Input::Peer { i, who, body } => (i, Event::PeerMessage { from: who, data: body }),
            Input::Born { .. } | Input::Down { .. } | Input::Roster { .. } => {
                return Err(Malformed("a record without an event".into()))
            }
        })
    }
}

/// Runs the module; a panic there becomes a `Fault` of the instance.
fn guarded<T>(i: u16, reply: &mut Reply, work: impl FnOnce() -> T) -> Option<T> {
    match catch_unwind(AssertUnwindSafe(work)) {
        Ok(value) => Some(value),
        Err(panic) => {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
            reply.push(&Output::Fault { i, message: text.to_string() });
            None
        }
    }
}

/// What the wire has for an action. A call begins there in the moment in which it is decided on: none can be overtaken.
fn record(i: u16, action: Action) -> Option<Output> {
    let narrow = |span: u64| u32::try_from(span).unwrap_or(u32::MAX);
    Some(match action {
        Action::OutageDetected { .. } => return None,
        Action::Send { id, target, until } => Output::Forward { i, id, not_past: until, target },
        Action::Cancel { id, attempt } => Output::Revoke { i, id, attempt: attempt as u8 },
        Action::Refuse { id, retry_after } => Output::Refuse { i, id, cool_down: narrow(retry_after) },
        Action::Fail { id } => Output::Surrender { i, id },
        Action::Probe { target } => Output::Probe { i, target },
        Action::Timer { after, token } => Output::After { i, sleep_for: narrow(after), cookie: token },
        Action::CloseIdle { target } => Output::ShutIdle { i, target },
        Action::Subscribe { on } => Output::KeepInformed { i, enable: on },
        Action::FetchList => Output::Lookup { i },
        Action::SendToPeer { to, data } => Output::Share { i, peer: to.unwrap_or(u32::MAX), body: data },
        Action::Log { text } => Output::JournalLine { i, message: text },
    })
}
