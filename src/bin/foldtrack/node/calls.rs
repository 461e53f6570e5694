//! What the module has decided is carried out, and how calls end.

use super::appliance::kept;
use super::{Node, Taken, Waiting};
use crate::call::{self, Call};
use crate::descriptors::DescriptorPermit;
use crate::events::CallEnd;
use foldtrack_admission::DescriptorUser;
use foldtrack_control::Failure;
use foldtrack_delivery::{Action, Event, Micros, Outcome, TargetId};
use foldtrack_ends::{self as ends, Attempt};
use foldtrack_journal::{AttemptEffect, FailureNotice, Record};
use foldtrack_preflight::PreflightError;
use std::time::Duration;
use tokio::sync::oneshot;

/// A send that has waited for longer than this is decided anew.
const STALE_SEND: Micros = 50_000;

impl Node {
    pub(super) fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, target, until } => {
                let Some(held) = self.messages.get_mut(&id) else { return };
                let (attempt, decided) = (held.attempts, self.clock.now());
                held.waiting = Some(Waiting { attempt, target, until, decided });
                held.attempts += 1;
                self.waiting.insert(id);
                self.send(id);
            }
            Action::Cancel { id, attempt } => {
                if let Some(cancel) = self.calls.remove(&(id, attempt)) {
                    // A call that has just ended tells its own end.
                    let _ = cancel.send(());
                } else if let Some(Waiting { target, .. }) =
                    self.messages.get_mut(&id).and_then(|h| h.waiting.take())
                {
                    self.outcome(id, attempt, target, Outcome::NotSent, false);
                }
            }
            Action::Refuse { id, retry_after } => {
                self.end(id, FailureNotice::HandedBack { retry_in_ms: retry_after.div_ceil(1000) })
            }
            Action::Fail { id } => self.end(id, FailureNotice::GivenUp),
            Action::Timer { after, token } => drop(self.timers.insert((self.clock.now() + after, token))),
            // Later than all that was decided on before, and no later than what is decided on next.
            Action::OutageDetected { target } => self.targets.record_outage(target, self.clock.now()),
            Action::CloseIdle { target } => self.pool.close(target),
            Action::Log { text } => eprintln!("{text}"),
            // The list is watched all the time; probes and talk are not for this kind of deployment.
            Action::Subscribe { .. }
            | Action::FetchList
            | Action::Probe { .. }
            | Action::SendToPeer { .. } => {}
        }
    }

    /// Starts the call that the module has decided on, unless it has to wait: for the client to be told that the
    /// message is taken on, or for the notice that ends an earlier message of its key, which is over only then.
    pub(super) fn send(&mut self, number: u64) {
        let Some(held) = self.messages.get_mut(&number).filter(|h| matches!(h.taken, Taken::On)) else {
            return;
        };
        if self.notices.holds_key(held.message.order_key()) {
            return;
        }
        self.waiting.remove(&number);
        let Some(Waiting { attempt, target, until, decided }) = held.waiting.take() else { return };
        // What was decided long ago may not be the best any more: the module decides anew.
        if self.clock.now() > decided + STALE_SEND {
            return self.outcome(number, attempt, target, Outcome::NotSent, false);
        }
        self.start(number, Waiting { attempt, target, until, decided });
    }

    /// Guards against a notice that the platform is slow to take: a send that waits for it past its time would
    /// have no outcome, and its message no end.
    pub(super) fn expire_waiting(&mut self) {
        let now = self.clock.now();
        let mut expired = Vec::new();
        self.waiting.retain(|number| {
            let Some(held) = self.messages.get_mut(number) else { return false };
            expired.extend(held.waiting.take_if(|w| w.until <= now).map(|waiting| (*number, waiting)));
            held.waiting.is_some()
        });
        for (number, Waiting { attempt, target, .. }) in expired {
            self.outcome(number, attempt, target, Outcome::NotSent, false);
        }
    }

    /// Starts a call; it goes out once its record stands in the journal.
    fn start(&mut self, number: u64, decided: Waiting) {
        let Waiting { attempt, target, until, decided } = decided;
        let Some(held) = self.messages.get(&number) else { return };
        let (message, tries) = (held.message.clone(), held.tries);
        let Some((address, zone, preflight)) = self.targets.begin_call(target, decided) else {
            return self.outcome(number, attempt, target, Outcome::NotSent, false);
        };
        // The same is asked again once its connection is up: what is known already needs no record.
        if let Err(why) = preflight.check(self.clock.now()) {
            self.targets.end_call(target);
            return self.held_back(number, attempt, target, why);
        }
        let at = self.clock.unix_time(self.clock.now());
        let endpoint =
            if self.site.is_some() { self.targets.name(target).to_string() } else { String::new() };
        let begun = Record::AttemptStarted { attempt: tries, at, zone, endpoint };
        let ticket = match self.journal.stage(number, &begun) {
            Ok(ticket) => ticket,
            Err(error) => {
                eprintln!("journal: a call is not made: {error}");
                self.targets.end_call(target);
                return self.outcome(number, attempt, target, Outcome::NotSent, false);
            }
        };
        if let Some(held) = self.messages.get_mut(&number) {
            held.tries += 1;
        }
        self.attempt_begun(number, at, target);
        let (cancel, cancelled) = oneshot::channel();
        self.calls.insert((number, attempt), cancel);
        let connection = self.pool.take(target);
        let descriptor = if connection.is_none() { self.draw_for_a_call() } else { None };
        let protocol = self.partner_protocols.for_destination(message.destination);
        let call = Call {
            number,
            attempt,
            target,
            address,
            message,
            dial_timeout: Duration::from_micros(self.settings.settings.connect_timeout),
            deadline: self.clock.instant(until),
            connection,
            descriptor,
            preflight,
            clock: self.clock,
            protocol,
            settings: self.settings.clone(),
            limit_reports: self.settings.rate_at.is_some() && self.settings.share_left_at.is_some(),
        };
        self.durable.gathering.calls.push((ticket, call, cancelled));
        self.open_ahead(target);
    }

    /// A descriptor for a new connection. Where calls hold all that they may, the connection that has stood idle longest
    /// makes room: it is one of theirs.
    fn draw_for_a_call(&mut self) -> Option<DescriptorPermit> {
        loop {
            let drawn = self.descriptors.acquire(DescriptorUser::Calls);
            if drawn.is_some() || !self.pool.drop_oldest() {
                return drawn;
            }
        }
    }

    /// Opens connections to a target before calls ask for them, at a site that does.
    pub(super) fn open_ahead(&mut self, target: TargetId) {
        let dials = self.pool.preconnects_due(target);
        if dials == 0 {
            return;
        }
        let Some((address, destination)) = self.targets.open_at(target) else { return };
        for _ in 0..dials {
            // What calls need comes first: none of their idle connections gives way for one ahead.
            let Some(descriptor) = self.descriptors.acquire(DescriptorUser::Calls) else { return };
            self.next_dial += 1;
            let (number, protocol) = (self.next_dial, self.partner_protocols.for_destination(destination));
            let timeout = Duration::from_micros(self.settings.settings.connect_timeout);
            let dial =
                call::dial(target, number, address, protocol, descriptor, timeout, self.events.clone());
            let dial = tokio::spawn(dial).abort_handle();
            self.pool.preconnect_started(target, number, dial);
        }
    }

    pub(super) fn outcome(&mut self, id: u64, attempt: u32, target: TargetId, outcome: Outcome, ended: bool) {
        self.handle(Event::Outcome { id, attempt, target, outcome, took: 0, ended, wait: 0, report: None });
    }

    /// A call that was not begun, since news has overtaken the decision. The module decides anew; it is told the wait with it,
    /// which it may not have heard of yet.
    fn held_back(&mut self, id: u64, attempt: u32, target: TargetId, why: PreflightError) {
        let wait = match why {
            PreflightError::RetryAfter { until } => until.saturating_sub(self.clock.now()),
            PreflightError::OutageDetected | PreflightError::Closed => 0,
        };
        let outcome = self.nothing_tried(id, Outcome::Withheld);
        self.handle(Event::Outcome {
            id,
            attempt,
            target,
            outcome,
            took: 0,
            ended: false,
            wait,
            report: None,
        });
    }

    /// A call that was held back uses up no try, and its number goes to the next attempt. But a message whose calls are held
    /// back again and again uses up tries like any other: its records in the journal would grow without bound.
    fn nothing_tried(&mut self, number: u64, outcome: Outcome) -> Outcome {
        let most = self.settings.settings.max_attempts;
        match self.messages.get_mut(&number) {
            Some(held) if outcome == Outcome::Withheld && held.held_back < most => {
                held.held_back += 1;
                held.attempts -= 1;
                outcome
            }
            _ if outcome == Outcome::Withheld => Outcome::NotSent,
            _ => outcome,
        }
    }

    pub(super) fn call_ended(&mut self, end: CallEnd) {
        self.calls.remove(&(end.number, end.attempt));
        self.pool.call_ended(end.target, end.idle_for, end.connect_time, end.outcome);
        self.attempt_ended(&end);
        let listed = self.targets.end_call(end.target);
        if let Some(connection) = end.reusable_connection.filter(|_| listed) {
            self.pool.put(end.target, connection);
        }
        self.open_ahead(end.target);
        // The others of a site hear of it whatever has become of the message.
        if let Some((until, destination)) = end.wait_until.zip(self.targets.destination(end.target)) {
            self.told_to_wait(destination, until.saturating_sub(self.clock.now()));
        }
        let tries = self.messages.get(&end.number).map(|h| h.tries);
        let held = tries.is_some();
        let outcome = self.nothing_tried(end.number, end.outcome);
        let given_up = match self.site {
            // Withdrawn where it was to go, or refused for good: this attempt has had no effect.
            Some(_) => end.outcome != Outcome::Ok,
            // Its partner may have written the answer after the time was over, and the platform then waits for the message's end
            // for ever: it is told one. For a message that is over a notice does no harm (PROTOCOL).
            None => end.past_deadline,
        };
        if end.settled && given_up {
            self.end(end.number, FailureNotice::GivenUp);
        } else if end.settled {
            self.delivered(end.number);
        } else if held {
            // There is never more than one out.
            let attempt = tries.unwrap_or(0).saturating_sub(1);
            let effect = if kept(end.outcome).never_ran() {
                AttemptEffect::NeverRan
            } else {
                AttemptEffect::MayHaveRun
            };
            self.record(end.number, &Record::AttemptEnded { attempt, effect });
        }
        let now = self.clock.now();
        self.handle(Event::Outcome {
            id: end.number,
            attempt: end.attempt,
            target: end.target,
            outcome,
            took: now.saturating_sub(self.clock.micros(end.started_at)),
            ended: end.settled || !held,
            // A wait runs from the answer's arrival, not from now.
            wait: end.wait_until.map_or(0, |until| until.saturating_sub(now)),
            report: end.report,
        });
    }

    /// Notes an attempt of a site's message for people to see.
    fn attempt_begun(&mut self, number: u64, at: Micros, target: TargetId) {
        let (Some(site), Some(held)) = (&mut self.site, self.messages.get_mut(&number)) else { return };
        if !held.history.is_empty() {
            site.then(number, "sent again");
        }
        let endpoint = self.targets.name(target).to_string();
        held.history.push(Attempt { at, until: 0, endpoint, outcome: ends::AttemptOutcome::Out });
    }

    fn attempt_ended(&mut self, end: &CallEnd) {
        let (Some(site), Some(held)) = (&mut self.site, self.messages.get_mut(&end.number)) else { return };
        if end.outcome == Outcome::Withheld {
            // Nothing was tried, and it speaks against nobody.
            held.history.pop();
            return;
        }
        let attempt = held.history.len() as u32;
        let Some(tried) = held.history.last_mut() else { return };
        tried.until = self.clock.unix_time(self.clock.now());
        tried.outcome = if end.refused { ends::AttemptOutcome::Refused } else { kept(end.outcome) };
        if end.outcome == Outcome::Ok {
            return;
        }
        let message = &held.message;
        let failure = Failure {
            at: tried.until,
            message: message.id.clone(),
            class: self.settings.class_names.get(message.class).cloned().unwrap_or_default(),
            partner: site.partner_name(message.destination).into_owned(),
            endpoint: tried.endpoint.clone(),
            attempt,
            outcome: tried.outcome.as_str().into(),
            may_have_run: !tried.outcome.never_ran(),
            then: "waits".into(),
            cause: end.cause.clone(),
        };
        site.failed(end.number, message.destination, failure);
    }
}
