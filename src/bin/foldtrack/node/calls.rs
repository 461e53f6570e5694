//! Carries out the scheduler's actions, and handles the end of calls.

use super::site_runtime::attempt_outcome;
use super::{Acceptance, Node, PendingSend};
use crate::call::{self, Call};
use crate::delivery_log;
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

/// A send that has waited for longer than this, in microseconds, is decided again.
const MAX_SEND_WAIT_US: Micros = 50_000;

impl Node {
    /// Carries out one action of the scheduler.
    pub(super) fn execute(&mut self, action: Action) {
        match action {
            Action::Send { id, target, until } => {
                let Some(held) = self.messages.get_mut(&id) else { return };
                let (attempt, decided_at) = (held.attempts, self.clock.now());
                held.pending_send = Some(PendingSend { attempt, target, until, decided_at });
                held.attempts += 1;
                if attempt > 0 {
                    let target_name = self.targets.name(target);
                    delivery_log::retried(&held.message.id, attempt, held.last_outcome, target_name);
                }
                self.pending_sends.insert(id);
                self.send(id);
            }
            Action::Cancel { id, attempt } => {
                if let Some(cancel) = self.calls.remove(&(id, attempt)) {
                    // If the call has just ended, its own end event is on its way and nothing
                    // receives this.
                    let _ = cancel.send(());
                } else if let Some(PendingSend { target, .. }) =
                    self.messages.get_mut(&id).and_then(|h| h.pending_send.take())
                {
                    self.report_outcome(id, attempt, target, Outcome::NotSent, false);
                }
            }
            Action::Refuse { id, retry_after } => {
                self.end_message(id, FailureNotice::HandedBack { retry_in_ms: retry_after.div_ceil(1000) })
            }
            Action::Fail { id } => self.end_message(id, FailureNotice::GivenUp),
            Action::Timer { after, token } => drop(self.timers.insert((self.clock.now() + after, token))),
            // Later than all earlier decisions, and no later than the next one.
            Action::OutageDetected { target } => self.targets.record_outage(target, self.clock.now()),
            Action::CloseIdle { target } => self.pool.close(target),
            Action::Log { text } => eprintln!("{text}"),
            // The list is always watched. Probes and messages between forwarders are not used in
            // these deployments.
            Action::Subscribe { .. }
            | Action::FetchList
            | Action::Probe { .. }
            | Action::SendToPeer { .. } => {}
        }
    }

    /// Starts the call that the scheduler has decided on, unless it must wait: until the client has
    /// been told that the message is accepted, or until the notice that ends an earlier message
    /// with the same order key is acknowledged, because that message is finished only then.
    pub(super) fn send(&mut self, number: u64) {
        let Some(held) =
            self.messages.get_mut(&number).filter(|h| matches!(h.acceptance, Acceptance::Confirmed))
        else {
            return;
        };
        if self.notices.holds_key(held.message.order_key()) {
            return;
        }
        self.pending_sends.remove(&number);
        let Some(PendingSend { attempt, target, until, decided_at }) = held.pending_send.take() else {
            return;
        };
        // An old decision may no longer be the best one: the scheduler decides again.
        if self.clock.now() > decided_at + MAX_SEND_WAIT_US {
            return self.report_outcome(number, attempt, target, Outcome::NotSent, false);
        }
        self.start_call(number, PendingSend { attempt, target, until, decided_at });
    }

    /// Gives up sends that have waited past their time, for instance because the platform is slow
    /// to acknowledge a notice. Otherwise the attempt would have no outcome and its message would
    /// never finish.
    pub(super) fn expire_pending_sends(&mut self) {
        let now = self.clock.now();
        let mut expired = Vec::new();
        self.pending_sends.retain(|number| {
            let Some(held) = self.messages.get_mut(number) else { return false };
            expired.extend(held.pending_send.take_if(|w| w.until <= now).map(|waiting| (*number, waiting)));
            held.pending_send.is_some()
        });
        for (number, PendingSend { attempt, target, .. }) in expired {
            self.report_outcome(number, attempt, target, Outcome::NotSent, false);
        }
    }

    /// Starts a call. Its first byte goes out once its record is in the journal.
    fn start_call(&mut self, number: u64, send: PendingSend) {
        let PendingSend { attempt, target, until, decided_at } = send;
        let Some(held) = self.messages.get(&number) else { return };
        let (message, journaled_attempts) = (held.message.clone(), held.journaled_attempts);
        let Some((address, zone, preflight)) = self.targets.begin_call(target, decided_at) else {
            return self.report_outcome(number, attempt, target, Outcome::NotSent, false);
        };
        // The same check is repeated once the connection is up. A call that is already known to be
        // blocked needs no journal record.
        if let Err(why) = preflight.check(self.clock.now()) {
            self.targets.end_call(target);
            return self.report_withheld(number, attempt, target, why);
        }
        let at = self.clock.unix_time(self.clock.now());
        let endpoint =
            if self.site.is_some() { self.targets.name(target).to_string() } else { String::new() };
        let begun = Record::AttemptStarted { attempt: journaled_attempts, at, zone, endpoint };
        let ticket = match self.journal.stage(number, &begun) {
            Ok(ticket) => ticket,
            Err(error) => {
                eprintln!("journal: call not made: {error}");
                self.targets.end_call(target);
                return self.report_outcome(number, attempt, target, Outcome::NotSent, false);
            }
        };
        if let Some(held) = self.messages.get_mut(&number) {
            held.journaled_attempts += 1;
        }
        self.record_attempt_start(number, at, target);
        let (cancel, cancelled) = oneshot::channel();
        self.calls.insert((number, attempt), cancel);
        let connection = self.pool.take(target);
        let descriptor = if connection.is_none() { self.acquire_call_descriptor() } else { None };
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
        self.group_commit.collecting.calls.push((ticket, call, cancelled));
        self.preconnect(target);
    }

    /// Acquires a descriptor for a new connection. If calls have used up their share, the
    /// connection that has been idle longest is closed to free one, because idle connections count
    /// against the same share.
    fn acquire_call_descriptor(&mut self) -> Option<DescriptorPermit> {
        loop {
            let permit = self.descriptors.acquire(DescriptorUser::Calls);
            if permit.is_some() || !self.pool.drop_oldest() {
                return permit;
            }
        }
    }

    /// Opens connections to a target ahead of demand, if the site is configured to do so.
    pub(super) fn preconnect(&mut self, target: TargetId) {
        let count = self.pool.preconnects_due(target);
        if count == 0 {
            return;
        }
        let Some((address, destination)) = self.targets.open_address(target) else { return };
        for _ in 0..count {
            // Calls come first: no idle connection is closed to make room for one opened ahead of
            // demand.
            let Some(descriptor) = self.descriptors.acquire(DescriptorUser::Calls) else { return };
            self.next_preconnect += 1;
            let (number, protocol) =
                (self.next_preconnect, self.partner_protocols.for_destination(destination));
            let timeout = Duration::from_micros(self.settings.settings.connect_timeout);
            let dial =
                call::dial(target, number, address, protocol, descriptor, timeout, self.events.clone());
            let dial = tokio::spawn(dial).abort_handle();
            self.pool.preconnect_started(target, number, dial);
        }
    }

    /// Reports the outcome of an attempt that made no call.
    pub(super) fn report_outcome(
        &mut self, id: u64, attempt: u32, target: TargetId, outcome: Outcome, ended: bool,
    ) {
        self.notify_scheduler(Event::Outcome {
            id,
            attempt,
            target,
            outcome,
            took: 0,
            ended,
            wait: 0,
            report: None,
        });
    }

    /// Reports a call that was not made because newer information has overtaken the decision. The
    /// scheduler decides again; the wait is passed on because it may not know it yet.
    fn report_withheld(&mut self, id: u64, attempt: u32, target: TargetId, why: PreflightError) {
        let wait = match why {
            PreflightError::RetryAfter { until } => until.saturating_sub(self.clock.now()),
            PreflightError::OutageDetected | PreflightError::Closed => 0,
        };
        let outcome = self.count_withheld(id, Outcome::Withheld);
        self.notify_scheduler(Event::Outcome {
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

    /// A call that was withheld uses up no attempt, and its number goes to the next one. Beyond the
    /// limit of attempts it counts like any other: otherwise a message whose calls are withheld
    /// again and again would add records to the journal without bound.
    fn count_withheld(&mut self, number: u64, outcome: Outcome) -> Outcome {
        let most = self.settings.settings.max_attempts;
        match self.messages.get_mut(&number) {
            Some(held) if outcome == Outcome::Withheld && held.withheld_calls < most => {
                held.withheld_calls += 1;
                held.attempts -= 1;
                outcome
            }
            _ if outcome == Outcome::Withheld => Outcome::NotSent,
            _ => outcome,
        }
    }

    /// Handles the end of a call: records it, returns its connection to the pool and reports the
    /// outcome to the scheduler.
    pub(super) fn call_ended(&mut self, end: CallEnd) {
        self.calls.remove(&(end.number, end.attempt));
        self.pool.call_ended(end.target, end.idle_for, end.connect_time, end.outcome);
        if end.unasked_response {
            self.pool.unasked_response(end.target);
        }
        self.record_attempt_end(&end);
        let took = self.clock.now().saturating_sub(self.clock.micros(end.started_at));
        if let Some(held) = self.messages.get_mut(&end.number) {
            held.last_outcome = Some(end.outcome);
            delivery_log::call_ended(&held.message.id, self.targets.name(end.target), &end, took);
        }
        let listed = self.targets.end_call(end.target);
        if let Some(connection) = end.reusable_connection.filter(|_| listed) {
            self.pool.put(end.target, connection);
        }
        self.preconnect(end.target);
        // The wait is passed to the peers whatever has become of the message.
        if let Some((until, destination)) = end.wait_until.zip(self.targets.destination(end.target)) {
            self.share_wait(destination, until.saturating_sub(self.clock.now()));
        }
        let journaled_attempts = self.messages.get(&end.number).map(|h| h.journaled_attempts);
        let held = journaled_attempts.is_some();
        let outcome = self.count_withheld(end.number, end.outcome);
        let given_up = match self.site {
            // Withdrawn at its destination, or refused permanently: this attempt had no effect.
            Some(_) => end.outcome != Outcome::Ok,
            // The partner may have written its answer after the deadline. The platform then waits
            // for the message's outcome indefinitely, so it is sent a notice. A notice for a
            // message that is already finished does no harm (PROTOCOL).
            None => end.past_deadline,
        };
        if end.settled && given_up {
            self.end_message(end.number, FailureNotice::GivenUp);
        } else if end.settled {
            self.end_delivered(end.number);
        } else if held {
            // At most one attempt is in flight.
            let attempt = journaled_attempts.unwrap_or(0).saturating_sub(1);
            let effect = if attempt_outcome(end.outcome).never_ran() {
                AttemptEffect::NeverRan
            } else {
                AttemptEffect::MayHaveRun
            };
            self.stage_record(end.number, &Record::AttemptEnded { attempt, effect });
        }
        let now = self.clock.now();
        self.notify_scheduler(Event::Outcome {
            id: end.number,
            attempt: end.attempt,
            target: end.target,
            outcome,
            took: now.saturating_sub(self.clock.micros(end.started_at)),
            ended: end.settled || !held,
            // The wait runs from the arrival of the answer, not from now.
            wait: end.wait_until.map_or(0, |until| until.saturating_sub(now)),
            report: end.report,
        });
    }

    /// Records the start of an attempt for operators.
    fn record_attempt_start(&mut self, number: u64, at: Micros, target: TargetId) {
        let (Some(site), Some(held)) = (&mut self.site, self.messages.get_mut(&number)) else { return };
        if !held.history.is_empty() {
            site.set_followup(number, "sent again");
        }
        let endpoint = self.targets.name(target).to_string();
        held.history.push(Attempt { at, until: 0, endpoint, outcome: ends::AttemptOutcome::Out });
    }

    /// Records the end of an attempt for operators, and its failure if it failed.
    fn record_attempt_end(&mut self, end: &CallEnd) {
        let (Some(site), Some(held)) = (&mut self.site, self.messages.get_mut(&end.number)) else { return };
        if end.outcome == Outcome::Withheld {
            // No call was made, so nothing is recorded against the endpoint.
            held.history.pop();
            return;
        }
        let attempt = held.history.len() as u32;
        let Some(tried) = held.history.last_mut() else { return };
        tried.until = self.clock.unix_time(self.clock.now());
        tried.outcome =
            if end.refused { ends::AttemptOutcome::Refused } else { attempt_outcome(end.outcome) };
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
        site.record_failure(end.number, message.destination, failure);
    }
}
