//! The rules of the pages, checked from what clients, targets and the platform saw.

use crate::world::{Millis, Seen};
use std::collections::HashMap;

/// Each time limit is 50 ms longer on sockets (PROTOCOL).
const SLACK: Millis = 50;
/// A message has to be over so long after its time is up (PROTOCOL).
const LOST_AFTER: Millis = 300 + SLACK;
/// After a restart no notice is overdue until so long after the forwarder is ready (PROTOCOL).
const RESTART_EXCUSE: Millis = 1_500 + SLACK;
/// Calls that come so soon after the answer with a wait are let through (PROTOCOL).
const WAIT_LET_THROUGH: Millis = 100 + SLACK;
/// A key rests so long after a time-out, reset or cancel (BRIEF, settings), less what a stand-in may notice late.
const KEY_REST: Millis = 100 - 10;
/// New work may go to a draining target for so long (BRIEF), and a forwarder may be held up for 150 ms.
const DRAIN_GRACE: Millis = 2_000 + SLACK + 150;
/// A stand-in notices the end of a connection at most so late.
const NOTICED_LATE: Millis = 60;

/// What is known of one call.
#[derive(Clone, Debug)]
struct CallState {
    number: u64,
    begun: Millis,
    ended: Option<Millis>,
    /// The status that was answered; none if there was no answer.
    status: Option<u16>,
}

impl CallState {
    fn may_have_run(&self) -> bool {
        !matches!(self.status, Some(429 | 503 | 504 | 410))
    }
}

#[derive(Clone, Debug, Default)]
struct MessageState {
    sent: Millis,
    class: String,
    key: String,
    dest: u32,
    deadline: Millis,
    accepted: Option<Millis>,
    over: Option<Millis>,
    delivered: bool,
    runs: u32,
    calls: Vec<CallState>,
}

/// A broken rule.
#[derive(Clone, Debug)]
pub struct Breach {
    pub rule: &'static str,
    pub text: String,
}

/// Counts for the record.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    pub accepted: usize,
    pub delivered: usize,
    pub refused: usize,
    pub unanswered: usize,
    pub notices: usize,
    pub calls: usize,
}

/// Checks all rules. `window` is the time for which a key is remembered; `end` is when the record was closed.
pub fn check(seen: &[(Millis, Seen)], window: Millis, end: Millis) -> (Vec<Breach>, Summary) {
    let mut messages: HashMap<String, MessageState> = HashMap::new();
    let mut by_key: HashMap<String, Vec<String>> = HashMap::new();
    let mut breaches = Vec::new();
    let mut summary = Summary::default();
    let mut waits: HashMap<u32, Vec<(Millis, Millis)>> = HashMap::new();
    let mut told: HashMap<String, (Millis, &str)> = HashMap::new();
    let mut downs: Vec<(Millis, Millis)> = Vec::new();
    let mut killed: Option<Millis> = None;
    let breach =
        |breaches: &mut Vec<Breach>, rule: &'static str, text: String| breaches.push(Breach { rule, text });
    for (at, seen) in seen {
        let at = *at;
        match seen {
            Seen::Sent { id, class, key, dest, deadline } => {
                let m = messages.entry(id.clone()).or_default();
                (m.sent, m.class, m.key, m.dest, m.deadline) =
                    (at, class.clone(), key.clone(), *dest, *deadline);
                if class == "submission-update" {
                    let ids = by_key.entry(key.clone()).or_default();
                    if !ids.contains(id) {
                        ids.push(id.clone());
                    }
                }
            }
            Seen::Answered { id, status, how } => {
                let Some(m) = messages.get_mut(id) else { continue };
                match status {
                    200 | 202 => {
                        m.accepted = Some(at);
                        summary.accepted += 1;
                    }
                    429 | 503 => summary.refused += 1,
                    0 => {
                        summary.unanswered += 1;
                        let is_down =
                            downs.last().is_some_and(|(_, ready)| *ready == Millis::MAX || at < ready + 100);
                        let is_down = is_down && killed.is_some_and(|killed: Millis| at < killed + 5_000);
                        if how.contains("ended") && !is_down {
                            breach(&mut breaches, "lost", format!("{id}: {how} at {at}"));
                        }
                    }
                    _ => breach(&mut breaches, "failed", format!("{id}: answered {status} at {at}")),
                }
            }
            Seen::Call { id, target, call } => {
                summary.calls += 1;
                let Some(m) = messages.get(id).cloned() else {
                    breach(
                        &mut breaches,
                        "foreign",
                        format!("{id}: a call of a message that nobody handed in at {at}"),
                    );
                    continue;
                };
                let dest_of_target = target.split('-').nth(1).and_then(|d| d.parse::<u32>().ok());
                if dest_of_target.is_some_and(|dest| dest != m.dest) {
                    breach(&mut breaches, "foreign", format!("{id} for {} went to {target} at {at}", m.dest));
                }
                if let Some(over) = m.over.filter(|over| at > over + NOTICED_LATE) {
                    breach(
                        &mut breaches,
                        "repeated",
                        format!("{id}: a call at {at}, though it was over at {over}"),
                    );
                }
                let is_fee = m.class == "fee-payment";
                if let Some(other) = m.calls.iter().find(|c| is_fee && c.may_have_run()) {
                    breach(&mut breaches, "repeated", format!("{id}: call {call} at {at} after {other:?}"));
                }
                let is_keyed = m.class == "submission-update";
                let first = m.calls.iter().filter(|c| c.may_have_run()).map(|c| c.begun).min();
                if let Some(first) = first.filter(|first| is_keyed && at > first + window + SLACK) {
                    breach(
                        &mut breaches,
                        "repeated",
                        format!("{id}: call at {at}, the first that may have run at {first}"),
                    );
                }
                if is_keyed {
                    for earlier in by_key.get(&m.key).into_iter().flatten().take_while(|other| *other != id) {
                        let a = &messages[earlier];
                        if a.accepted.is_some() && a.over.is_none() {
                            breach(
                                &mut breaches,
                                "order",
                                format!("{id} called at {at} before {earlier} was over"),
                            );
                        }
                        let last =
                            a.calls.iter().filter(|c| c.status.is_none()).filter_map(|c| c.ended).max();
                        if let Some(last) = last.filter(|last| at < last + KEY_REST) {
                            breach(
                                &mut breaches,
                                "order",
                                format!("{id} called at {at}, {earlier} had ended at {last}"),
                            );
                        }
                    }
                }
                for (from, until) in waits.get(&m.dest).into_iter().flatten() {
                    let restarted = downs.iter().any(|(down, _)| down >= from && *down <= at);
                    if at > from + WAIT_LET_THROUGH && at + 10 < *until && !restarted {
                        breach(
                            &mut breaches,
                            "wait",
                            format!("{id} called at {at}, told at {from} to wait until {until}"),
                        );
                    }
                }
                if let Some((since, state)) =
                    told.get(target).filter(|(since, state)| *state != "active" && at > since + DRAIN_GRACE)
                {
                    breach(
                        &mut breaches,
                        "drain",
                        format!("{id} called {target} at {at}, told at {since} that it is {state}"),
                    );
                }
                let m = messages.get_mut(id).unwrap();
                m.calls.push(CallState { number: *call, begun: at, ended: None, status: None });
            }
            Seen::Ran { id, .. } => {
                if let Some(m) = messages.get_mut(id) {
                    m.runs += 1;
                    if m.class == "fee-payment" && m.runs > 1 {
                        breach(&mut breaches, "repeated", format!("{id} has run {} times at {at}", m.runs));
                    }
                }
            }
            Seen::Wrote { id, call, status, wait, .. } => {
                let Some(m) = messages.get_mut(id) else { continue };
                if let Some(c) = m.calls.iter_mut().find(|c| c.number == *call) {
                    (c.ended, c.status) = (Some(at), Some(*status));
                }
                if *status == 200 {
                    m.over = Some(m.over.unwrap_or(at));
                    m.delivered = true;
                    summary.delivered += 1;
                }
                if *status == 429 && *wait > 0 {
                    waits.entry(m.dest).or_default().push((at, at + wait));
                }
            }
            Seen::Ended { id, call, .. } => {
                let Some(m) = messages.get_mut(id) else { continue };
                let others = m.calls.iter().filter(|c| c.number != *call);
                if let Some(c) = m.calls.iter().find(|c| c.number == *call) {
                    let began = others.filter(|o| o.begun > c.begun && o.begun + NOTICED_LATE < at).count();
                    if began > 0 {
                        breach(
                            &mut breaches,
                            "copies",
                            format!("{id}: call {call} from {} to {at} beside another", c.begun),
                        );
                    }
                }
                if let Some(c) = m.calls.iter_mut().find(|c| c.number == *call && c.ended.is_none()) {
                    c.ended = Some(at);
                }
            }
            Seen::Notice { id, outcome } => {
                summary.notices += 1;
                let Some(m) = messages.get_mut(id) else { continue };
                m.over = Some(m.over.unwrap_or(at));
                let may_have_run = m.calls.iter().any(CallState::may_have_run);
                if outcome == "handed_back" && m.class == "fee-payment" && may_have_run {
                    breach(
                        &mut breaches,
                        "repeated",
                        format!("{id} handed back at {at}, but may have run: {:?}", m.calls),
                    );
                }
            }
            Seen::Told { target, state } => drop(told.insert(target.clone(), (at, state))),
            Seen::Down => {
                if downs.last().is_none_or(|(_, ready)| *ready != Millis::MAX) {
                    downs.push((at, Millis::MAX));
                }
            }
            Seen::Ready => {
                if let Some(last) = downs.last_mut().filter(|(_, ready)| *ready == Millis::MAX) {
                    last.1 = at;
                }
            }
            Seen::Step { text } => {
                if text == "SIGKILL" {
                    killed = Some(at);
                }
                if text.starts_with("FOREIGN") {
                    breach(&mut breaches, "foreign", format!("{text} at {at}"));
                }
                if text.starts_with("CRASH") {
                    breach(&mut breaches, "crash", format!("{text} at {at}"));
                }
            }
        }
    }
    for (id, m) in &messages {
        let Some(accepted) = m.accepted else { continue };
        let mut due = m.sent + m.deadline + LOST_AFTER;
        for (down, ready) in &downs {
            if due >= *down && due < ready.saturating_add(RESTART_EXCUSE) {
                due = ready.saturating_add(RESTART_EXCUSE);
            }
        }
        let over = m.over.unwrap_or(Millis::MAX);
        if over > due && due < end {
            let text = format!(
                "{id} ({}) taken on at {accepted}, due at {due}, over at {:?}, calls {:?}",
                m.class, m.over, m.calls
            );
            breach(&mut breaches, "lost", text);
        }
    }
    (breaches, summary)
}
