//! The delivery scheduler decides what is sent where and when; `src/interface.rs` defines its interface. For
//! each route a histogram of answer times and a count of unanswered attempts give the time-out and resend
//! point τ of least expected completion time (see [`LatencyHistogram`]). A window of calls in flight, a
//! circuit breaker and pacing under rate limits decide when calls may go out.

use crate::fleet_pacing::PACE_CUT;
use crate::interface::*;
use crate::latency::{LatencyHistogram, BUCKETS};
use crate::state::*;
use crate::wait_estimate::{wait_factor, WaitEstimate};
use std::collections::{BTreeMap, BTreeSet};

/// Answers that are needed before τ is used.
const MIN_ANSWERS_FOR_TAU: u32 = 20;
/// Planned resends in a row without an answer after which τ is taken to be too low.
const UNANSWERED_RUN: u32 = 3;
/// τ is extended at random by up to this fraction, so that senders with the same τ do not resend together.
const TAU_JITTER: f64 = 0.25;

/// Resends that each answer adds to the resend budget.
const RESENDS_PER_ANSWER: f64 = 0.2;
/// Upper bound of the resend budget.
const MAX_SAVED_RESENDS: f64 = 5.0;
/// Retries that each first try adds to the retry budget. The budget keeps retries from overloading a failing
/// destination further: there are fewer attempts than twice the messages.
const RETRIES_PER_FIRST_TRY: f64 = 1.0;
/// Retries that each maintenance interval adds to the retry budget.
const RETRIES_PER_MAINTENANCE: f64 = 1.0;
/// Retries that may be saved up. With more slots than this, first tries may save up one for each slot.
const MAX_SAVED_RETRIES: f64 = 20.0;
/// Flag in a queue tag: the messages of the queue were tried before. The other bits are the zone that binds
/// them, plus 1.
const RETRY_FLAG: u32 = 1 << 31;
/// Share of the slots that calls to one destination may take. A lossy destination gets half of the slots.
const DESTINATION_SLOT_SHARE: f64 = 0.75;

/// Interval of the maintenance timer in microseconds.
const MAINTENANCE_INTERVAL: Micros = 100_000;
/// Microseconds in a second.
const SECOND: f64 = 1e6;
/// Failures that end within this time, in microseconds, were a false suspicion of an outage: no destination
/// goes cold so fast.
const FALSE_SUSPICION: Micros = 1_000_000;

/// Largest relative increase of the pace for a served call.
const PACE_GAIN_PER_CALL: f64 = 0.08;
/// Relative increase of the pace in a maintenance interval.
const PACE_GAIN_PER_MAINTENANCE: f64 = 0.005;
/// Factor by which a reported limit has to change to count as a new limit. Smaller changes are noise.
const LIMIT_CHANGE_FACTOR: f64 = 1.5;

/// Factor by which the class mix of a destination decays with each accepted message.
const CLASS_MIX_DECAY: f64 = 0.998;
/// Served calls a second above which a capacity can be estimated from them.
const MIN_CAPACITY_RATE: f64 = 10.0;
/// Weight of the calls in flight in their mean over half a second.
const IN_FLIGHT_WEIGHT: f64 = 0.2;
/// Weight of the served rate in its mean over eight seconds.
const STEADY_RATE_WEIGHT: f64 = 0.0125;
/// Factor by which the rate of served calls decays in a maintenance interval.
const SERVED_RATE_DECAY: f64 = 0.95;
/// Share of the capacity for held messages that is kept free.
const FREE_SHARE: f64 = 0.05;

/// Total time of the unanswered calls, in mean answer times, from which their silence is unlikely to be
/// chance.
const SILENCE_MEANS: f64 = 12.0;
/// Calls of all senders together, within the overload duration, that do a cold destination no harm.
const HARMLESS_CALLS: f64 = 3.0;
/// Least capacity assumed for a destination, in calls a second.
const MIN_DESTINATION_RATE: f64 = 2.5;
/// Largest interval between two trials, in multiples of the time since the failures began.
const MAX_TRIAL_SPACING: f64 = 3.0;
/// Factor on the learned rejection pause when a retry after a rejection is served.
const REJECTION_PAUSE_DOWN: f64 = 0.8;
/// Factor on the learned rejection pause when a retry after a rejection is rejected again.
const REJECTION_PAUSE_UP: f64 = 1.5;
/// Share of the load that would overload a cold destination which all senders together may use.
const SAFE_LOAD_SHARE: f64 = 0.6;

impl LatencyHistogram {
    /// Moves τ to the candidate of least expected time Ê, then up while condition (6) of the paper holds.
    /// Returns Ê. The mean of the answers up to τ already equals M/p; dividing it by p again does not
    /// reproduce the paper's tables.
    fn retune(&mut self, cost: f64) -> Option<f64> {
        let total = self.counts.iter().sum::<f64>() + self.unanswered;
        let (mut n, mut s) = (0.0, 0.0);
        let mut expected = [f64::INFINITY; BUCKETS];
        let mut share = [0.0; BUCKETS];
        for i in 0..BUCKETS {
            n += self.counts[i];
            s += self.sums[i];
            if n > 0.05 {
                let p = n / total;
                share[i] = p;
                expected[i] = s / n + (1.0 - p) / p * ((i + 1) as f64 * self.width + cost);
            }
        }
        let finite = (0..BUCKETS).filter(|i| expected[*i].is_finite());
        let mut j = finite.min_by(|a, b| expected[*a].total_cmp(&expected[*b]))?;
        let density = |j: usize| self.counts[j] / (total * self.width);
        let grows = |j: usize| self.counts[j] > 0.05 && (1.0 - share[j]) / density(j) - cost < expected[j];
        while j + 1 < BUCKETS && grows(j) {
            j += 1;
        }
        let raised = if self.unanswered_run >= UNANSWERED_RUN { self.tau } else { 0.0 };
        self.tau = ((j + 1) as f64 * self.width).max(raised);
        Some(expected[j])
    }

    /// If answers slow down past τ, where (6) sees no density, a run of unanswered planned resends doubles
    /// τ; the least Ê lowers it again. The cost: where most calls are dropped, resends come late.
    fn record_unanswered(&mut self, planned: bool) {
        self.unanswered += 1.0;
        self.unanswered_run += u32::from(planned);
        if planned && self.unanswered_run.is_multiple_of(UNANSWERED_RUN) {
            self.tau *= 2.0;
        }
    }
}

/// Decides for one forwarder which message is sent where and when.
#[derive(Debug, Default)]
pub struct DeliveryScheduler {
    config: Settings,
    now: Micros,
    /// Actions that have not been returned yet.
    actions: Vec<Action>,
    /// State of the random number generator.
    rng_state: u64,
    messages: BTreeMap<MessageId, Message>,
    /// Queues of the order keys.
    key_queues: BTreeMap<u64, KeyQueue>,
    destinations: BTreeMap<DestinationId, Destination>,
    targets: BTreeMap<TargetId, Target>,
    routes: Vec<Route>,
    /// Indices of unused entries in `routes`. Nothing refers to them.
    free_routes: Vec<usize>,
    /// When to look at a message again: it expires, or the pause of its key is over.
    message_timers: BTreeSet<(Micros, MessageId)>,
    /// When the next maintenance is due.
    maintain_at: Micros,
    /// Time over which arrivals are counted, in seconds, with the same decay as the counts.
    arrival_span: f64,
    /// Pause after a rejection, in microseconds, learned from how retries after rejections end.
    rejection_pause: f64,
    /// The earliest time at which a route that takes no call now may take one.
    wake_at: Micros,
    /// When the requested timer expires.
    timer_at: Micros,
    /// Number of calls in flight.
    in_flight: u32,
    /// Number given to the latest call.
    last_call: u64,
    /// After the last decision a message was ready to be sent, but all slots were taken.
    send_blocked: bool,
    /// When the process ends, once it is stopping.
    stopping: Option<Micros>,
    list_version: u32,
    /// Log lines written so far.
    log_lines: u32,
    /// Kinds of destination whose endpoints run out of connections.
    crowded_kinds: BTreeSet<usize>,
}

impl DeliveryScheduler {
    /// Creates the scheduler of a sender that has just started.
    pub fn new(now: Micros, seed: u64, settings: Settings) -> Self {
        let rng_state = seed ^ 0x9e37_79b9_7f4a_7c15;
        let (maintain_at, timer_at) = (now + MAINTENANCE_INTERVAL, Micros::MAX);
        let scheduler = Self { config: settings, rng_state, now, maintain_at, timer_at, ..Self::default() };
        Self { rejection_pause: scheduler.safe_gap().min(scheduler.least_aim()), ..scheduler }
    }

    /// Processes one event. [`DeliveryScheduler::decide`] chooses what is sent.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::List { kind, version, endpoints } => self.update_list(kind, version, endpoints),
            Event::Request { id, class, destination, order_key, expires } => {
                self.admit(id, Message::new(class, destination, order_key, expires));
            }
            Event::Restored { id, class, destination, order_key, expires, attempts, first_run } => {
                let m = Message::new(class, destination, order_key, expires);
                self.restore(id, Message { attempts: Attempt::completed(attempts), first_run, ..m });
            }
            Event::Stopping { by } => self.stopping = Some(by),
            Event::Started { id, .. } | Event::Abandoned { id } => self.finish(id),
            Event::Outcome { id, attempt, target, outcome, took, ended, wait, report, .. } => {
                // A requested wait binds the route even if the message is gone; none is shortened.
                let route = self.targets.get(&target).and_then(|t| self.routes.get_mut(t.route));
                route.into_iter().for_each(|r| r.wait_until = r.wait_until.max(now.saturating_add(wait)));
                let sent = now.saturating_sub(took);
                let end = CallEnd { outcome, sent, wait, report, planned: false };
                self.attempt_ended(id, attempt as usize, end, ended)
            }
            Event::Timer { .. } if self.timer_at <= now => self.timer_at = Micros::MAX,
            Event::Timer { .. } | Event::PeerMessage { .. } | Event::ProbeOutcome { .. } => {}
        }
        out.append(&mut self.actions);
    }

    /// Interval between attempts of one sender at which all senders together do a cold destination no harm.
    fn safe_gap(&self) -> f64 {
        f64::from(self.config.senders.max(1)) * self.config.rules.overload_duration as f64 / HARMLESS_CALLS
    }

    /// Least interval between attempts on a failing route. It keeps many senders that each try rarely from
    /// overloading a destination that is out, waiting or cold. Each keeps to its share of that load: by its
    /// own traffic, evenly, or by the time since the failures began, in which each message brought at most
    /// one sender. The cost: longer intervals than necessary if few messages came.
    fn trial_gap(&self, route: usize, at: Micros) -> f64 {
        let rules = &self.config.rules;
        let own = self.recovery_rate(route)
            * rules.cold_capacity_share
            * rules.overload_factor.max(1.0)
            * SAFE_LOAD_SHARE
            / SECOND;
        let failing_for = at - self.routes[route].failing_since.unwrap_or(at).min(at);
        (1.0 / own.max(1e-12)).min(self.safe_gap()).min(MAX_TRIAL_SPACING * failing_for as f64)
    }

    /// Calls a second that count as a sender's own on a failing or cold route: its traffic, and in a fleet at
    /// most what adds up to the limit for all senders after the safety margin, however much more is waiting.
    fn recovery_rate(&self, route: usize) -> f64 {
        let fair_share = self.routes[route].fair_share;
        self.arrival_rate(route).min(if fair_share > 0.0 { fair_share / SAFE_LOAD_SHARE } else { f64::MAX })
    }

    /// Admission control. If clients honour advised waits, a message is refused if it would be late, or if
    /// its destination already takes its share of the capacity for held messages.
    fn admit(&mut self, id: MessageId, m: Message) {
        let left = m.expires.saturating_sub(self.now) as f64;
        self.count_arrival(m.destination);
        if let Some(d) = self.destinations.get(&m.destination).filter(|_| self.config.may_advise_wait) {
            let mut estimate = self.wait_estimate(d);
            estimate.key_wait = self.key_wait(&m);
            let wait_factor = wait_factor(&d.class_mix, &self.config.classes);
            let patience = self.config.classes.get(m.class).map_or(0, |c| c.max_wait);
            let free =
                f64::from(self.config.max_held) * (1.0 - FREE_SHARE) - 2.0 - self.messages.len() as f64;
            if left > 0.0 && estimate.refuses(wait_factor, left, patience, free) {
                let retry_after = self.jittered_wait(estimate.wait());
                return self.actions.push(Action::Refuse { id, retry_after });
            }
        }
        self.accept(id, m);
    }

    /// Estimates the wait for a destination. Of several independent routes the first to become available
    /// counts.
    fn wait_estimate(&self, d: &Destination) -> WaitEstimate {
        let is_ready = |route: &Route| {
            route.targets.iter().any(|t| self.targets.get(t).is_some_and(|t| t.state == EndpointState::Ready))
        };
        let ready_routes = || d.routes.iter().map(|id| &self.routes[*id]).filter(|route| is_ready(route));
        let unavailable_for = |r: &Route| {
            let out_since = r.failing_since.filter(|_| matches!(r.circuit, Circuit::Open { .. }));
            out_since.map_or(0, |since| self.now - since).max(r.wait_until.saturating_sub(self.now))
        };
        WaitEstimate {
            held: d.held,
            served_rate: ready_routes().map(Route::capacity).sum(),
            backlog_for: d.backlog_since.map_or(0, |since| self.now - since),
            unavailable_for: ready_routes().map(unavailable_for).min().unwrap_or(0),
            key_wait: 0.0,
        }
    }

    /// Least time in microseconds that the earlier messages of the same order key take.
    fn key_wait(&self, m: &Message) -> f64 {
        let key_queue = self.key_queues.get(&m.order_key).filter(|_| m.order_key != 0);
        let route = self.destinations.get(&m.destination).and_then(|d| self.routes.get(*d.routes.first()?));
        key_queue.zip(route).map_or(0.0, |((waiting, _), r)| waiting.len() as f64 * r.latency.mean())
    }

    /// Time in microseconds after which a client may come back for a destination: what is held for it has
    /// been served, or capacity for held messages is free. 0 if this is unknown, or if clients ignore advised
    /// waits.
    pub fn advised_wait(&mut self, destination: DestinationId) -> Micros {
        let wait = self.destinations.get(&destination).map_or(0.0, |d| self.wait_estimate(d).wait());
        let capacity: f64 = self.routes.iter().map(Route::capacity).sum();
        let until_free = FREE_SHARE * self.messages.len() as f64 / capacity * SECOND;
        self.jittered_wait(if wait <= 0.0 && capacity > 0.0 { until_free } else { wait })
    }

    /// Extends an advised wait a little at random, so that clients do not all come back at once.
    fn jittered_wait(&mut self, wait: f64) -> Micros {
        let longest = if self.config.may_advise_wait { self.config.max_advised_wait } else { return 0 };
        ((wait * (1.0 + TAU_JITTER * self.random())) as Micros).min(longest)
    }

    /// Holds a message and queues it, unless its class is unknown or its time is up.
    fn accept(&mut self, id: MessageId, mut m: Message) {
        let expires = m.expires;
        if self.messages.contains_key(&id) {
            return;
        }
        let in_time = expires > self.now || m.first_run.is_some();
        let Some(class) = self.config.classes.get(m.class).filter(|_| in_time) else {
            return self.actions.push(Action::Refuse { id, retry_after: 0 });
        };
        m.accepted = expires.saturating_sub(class.deadline);
        m.order_key *= u64::from(class.in_order);
        let order_key = m.order_key;
        let d = self.destinations.entry(m.destination).or_default();
        d.held += 1;
        d.class_mix.resize(self.config.classes.len(), 0.0);
        d.class_mix.iter_mut().for_each(|part| *part *= CLASS_MIX_DECAY);
        d.class_mix[m.class] += 1.0;
        self.messages.insert(id, m);
        self.message_timers.insert((self.give_up_at(expires), id));
        if order_key != 0 {
            self.key_queues.entry(order_key).or_default().0.push_back(id);
        }
        self.enqueue(id);
        self.make_room();
    }

    /// Takes over a message from before a restart. Calls that were cut off may still run, so the key is
    /// paused. A message that may not be sent again, such as an at-most-once message that may have run, ends
    /// at once.
    fn restore(&mut self, id: MessageId, m: Message) {
        if self.config.classes.get(m.class).is_some_and(|c| c.in_order) && m.order_key != 0 {
            self.key_queues.entry(m.order_key).or_default().1 =
                self.now + self.config.rules.uncertain_key_pause;
        }
        self.count_arrival(m.destination);
        self.accept(id, m);
        if self.messages.get(&id).is_some_and(|m| !self.permissions(m).0) {
            self.give_up(id);
        }
    }

    /// Load shedding: keeps the backlog of one destination from shutting out all others, whatever its cause.
    /// Ends the message of least worth in the longest queue. The cost: the backlog may have been about to
    /// move.
    fn make_room(&mut self) {
        let reserve = (f64::from(self.config.max_held) * FREE_SHARE).ceil() as usize + 1;
        if self.messages.len() + reserve <= self.config.max_held as usize {
            return;
        }
        let longest =
            self.destinations.values().max_by_key(|d| d.ready.values().map(BTreeSet::len).sum::<usize>());
        let oldest = longest.into_iter().flat_map(|d| &d.ready).filter_map(|((class, _), set)| {
            let (accepted, id) = set.first()?;
            Some((self.value(*class, self.now.saturating_sub(*accepted) as f64), *id))
        });
        if let Some((_, id)) = oldest.min_by(|a, b| a.0.total_cmp(&b.0)) {
            self.give_up(id);
        }
    }

    /// When to give up: a little before the message expires, so that the outcome still counts.
    fn give_up_at(&self, expires: Micros) -> Micros {
        expires.saturating_sub(2 * self.config.tick)
    }

    /// What may follow for a message, from its class and the outcomes of its attempts; nothing else decides
    /// this: whether it may be sent, the zone (plus one) that binds it, and whether it may be refused.
    fn permissions(&self, m: &Message) -> (bool, u32, bool) {
        let class = &self.config.classes[m.class];
        let in_flight = m.attempts.iter().any(|a| a.outcome.is_none());
        let tries_left = m.attempts.len() < self.config.max_attempts.max(1) as usize;
        let may_send = !m.ended && !in_flight && tries_left && m.expires > self.now;
        let Some((_, zone)) = m.first_run else { return (may_send, 0, !m.ended) };
        match class.effect {
            Effect::Repeatable => (may_send, 0, !m.ended),
            Effect::Keyed => {
                let all = class.dedup_scope == DedupScope::All;
                (
                    may_send && self.now < self.attempt_deadline(m),
                    if all { 0 } else { zone + 1 },
                    !m.ended && all,
                )
            }
            Effect::Once => (false, 0, false),
        }
    }

    /// When the next attempt is cancelled: the message expires, or its destination forgets the key of an
    /// attempt that may have run. Guards against connections that come up late and bytes that a broken line
    /// delivers late. The cost: repeats that would have been answered just after it.
    fn attempt_deadline(&self, m: &Message) -> Micros {
        let c = &self.config.classes[m.class];
        let forgotten = m.first_run.filter(|_| c.effect == Effect::Keyed).map(|(at, _)| at + c.dedup_window);
        forgotten.map_or(m.expires, |at| m.expires.min(at.saturating_sub(self.config.tick)))
    }

    /// Queues a message that may be sent and is the first of its order key.
    fn enqueue(&mut self, id: MessageId) {
        let Some(m) = self.messages.get(&id).filter(|m| m.queue.is_none()) else { return };
        let (true, zone, _) = self.permissions(m) else { return };
        match self.key_queues.get(&m.order_key) {
            Some((waiting, _)) if waiting.front() != Some(&id) => return,
            Some((_, paused_until)) if *paused_until > self.now && m.attempts.is_empty() => {
                self.message_timers.insert((*paused_until, id));
                return;
            }
            _ => {}
        }
        let retry = if m.attempts.is_empty() { 0 } else { RETRY_FLAG };
        let (queue, accepted) = ((m.class, zone | retry), m.accepted);
        let d = self.destinations.entry(m.destination).or_default();
        d.ready.entry(queue).or_default().insert((accepted, id));
        self.messages.entry(id).and_modify(|m| m.queue = Some(queue));
    }

    /// Ends a message without attempts in flight: refused if it may be submitted again, otherwise failed.
    fn give_up(&mut self, id: MessageId) {
        let Some(m) = self.messages.get(&id).filter(|m| !m.ended) else { return };
        let (may_refuse, destination) = (self.permissions(m).2, m.destination);
        let retry_after = if may_refuse { self.advised_wait(destination) } else { 0 };
        self.actions.push(if may_refuse { Action::Refuse { id, retry_after } } else { Action::Fail { id } });
        self.finish(id);
    }

    /// Processes the outcome of an attempt: frees its slot, updates its route, and ends, queues or gives up
    /// its message.
    fn attempt_ended(&mut self, id: MessageId, number: usize, mut end: CallEnd, ended: bool) {
        let Some(m) = self.messages.get_mut(&id) else { return };
        let Some(attempt) = m.attempts.get_mut(number).filter(|a| a.outcome.is_none()) else { return };
        let outcome = end.outcome;
        attempt.outcome = Some(outcome);
        let (target, call) = (attempt.target, attempt.call);
        end.planned = attempt.planned && outcome == Outcome::TimedOut;
        (outcome == Outcome::Withheld).then(|| m.attempts.pop());
        if m.attempts.iter().all(|a| a.outcome.is_some_and(|o| !o.may_have_run())) {
            m.first_run = None;
        }
        if matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled | Outcome::UnreadableResponse
        ) {
            if let Some(key_queue) = self.key_queues.get_mut(&m.order_key) {
                key_queue.1 = key_queue.1.max(self.now + self.config.rules.uncertain_key_pause);
            }
        }
        if let Some(route) = self.targets.get(&target).map(|t| t.route) {
            let r = &mut self.routes[route];
            // The messages of a call share its outcome: the last of them counts it and frees the slot.
            let call_ended = r.calls.get_mut(&call).is_some_and(|call| {
                call.messages.retain(|entry| entry.0 != id);
                end.sent = call.sent;
                call.messages.is_empty()
            });
            if call_ended {
                r.calls.remove(&call);
                self.in_flight -= 1;
                if !matches!(outcome, Outcome::NotSent | Outcome::Withheld | Outcome::Cancelled) {
                    self.update_route(route, target, &end);
                }
            }
        }
        let Some(m) = self.messages.get(&id) else { return };
        if ended || m.ended || outcome == Outcome::Ok {
            self.finish(id);
        } else if m.attempts.iter().all(|a| a.outcome.is_some()) {
            if self.permissions(m).0 && self.now < self.give_up_at(m.expires) {
                if outcome == Outcome::NotSent {
                    // The cause may persist, and immediate retries would use up all attempts.
                    let pause = self.config.tick << m.attempts.len().min(8);
                    self.message_timers.insert((self.now + pause, id));
                } else {
                    self.enqueue(id);
                }
            } else {
                self.give_up(id);
            }
        }
    }

    /// Updates a route after a call has ended.
    fn update_route(&mut self, route: usize, target: TargetId, end: &CallEnd) {
        let CallEnd { outcome, sent, report, planned, .. } = *end;
        let jitter = 1.0 + self.random();
        let least_aim = self.least_aim();
        let least_pace = f64::from(self.config.max_attempts) * SECOND / self.longest_deadline();
        let (own, gap) =
            (self.arrival_rate(route), self.trial_gap(route, self.now.max(self.routes[route].wait_until)));
        if self.routes[route].rejection_run > 0 && matches!(outcome, Outcome::Ok | Outcome::Rejected) {
            self.rejection_pause *=
                if outcome == Outcome::Ok { REJECTION_PAUSE_DOWN } else { REJECTION_PAUSE_UP };
            self.rejection_pause = self
                .rejection_pause
                .min(self.safe_gap())
                .min(self.longest_deadline())
                .max(MAINTENANCE_INTERVAL as f64);
        }
        let (learned, safe_gap, half_aim) = (self.rejection_pause, self.safe_gap(), least_aim / 2.0);
        let r = &mut self.routes[route];
        if let Some(limit) = report.filter(|r| r.rate > 0.0) {
            r.set_limit(limit.rate, self.config.senders, least_aim / SECOND);
            r.limit_reported = true;
        }
        r.last_outcome = self.now;
        let (before, fleet) = (r.circuit, r.fair_share > 0.0);
        match outcome {
            Outcome::Ok => {
                r.latency.record_answer((self.now - sent) as f64);
                r.detector.record_answer(sent, self.now);
                let share = if r.detector.is_lossy() { 0.5 } else { DESTINATION_SLOT_SHARE };
                let step = if r.detector.window_on_trial(self.now) { 0.0 } else { 1.0 };
                r.window = (r.window + step).min((f64::from(self.config.slots) * share).floor().max(1.0));
                r.resend_budget = (r.resend_budget + RESENDS_PER_ANSWER).min(MAX_SAVED_RESENDS);
                r.served_rate += (1.0 - SERVED_RATE_DECAY) * SECOND / MAINTENANCE_INTERVAL as f64;
                let remaining_share = report.filter(|r| r.rate > 0.0).map_or(0.3, |r| r.share_left);
                if fleet {
                    r.served_in_fleet(remaining_share, self.now);
                } else {
                    r.pace *= 1.0 + PACE_GAIN_PER_CALL * (2.0 * remaining_share).min(1.0);
                    if r.limit > 0.0 {
                        r.pace = r.pace.min(r.limit);
                    } else if r.pace > 4.0 * own.max(1.0) {
                        r.pace = 0.0;
                    }
                }
                (r.rejection_run, r.last_answer) = (0, self.now);
                // In a large fleet one answer is enough, since each sender continues slowly: several trials
                // by every sender would be a burst.
                (fleet && matches!(r.circuit, Circuit::Open { .. })).then(|| r.detector.retract(self.now));
                let out = r.detector.is_out(self.now);
                let since = if out { r.failing_since } else { r.failing_since.take() };
                let brief = since.is_some_and(|t| self.now < t + FALSE_SUSPICION);
                let usual_latency = (self.now - sent) as f64 <= r.latency.longest();
                let warm = since.is_some_and(|t| self.now < t + 2 * self.config.rules.overload_duration);
                r.circuit = match r.circuit {
                    Circuit::Open { .. } if out => {
                        Circuit::Open { next_trial: self.now, backoff: r.latency.mean() }
                    }
                    Circuit::Open { .. } if brief && usual_latency => {
                        // A false suspicion: half of the window is restored at once, the rest as calls are
                        // served.
                        r.window = r.window.max(r.window_before_outage / 2.0);
                        r.detector.retract(self.now);
                        Circuit::Closed
                    }
                    Circuit::Open { .. } if warm => Circuit::Closed,
                    Circuit::Open { .. } => Circuit::SlowStart { since: self.now },
                    other => other,
                };
            }
            Outcome::Rejected => {
                r.rejection_run += 1;
                r.failing_since.get_or_insert(self.now);
                let halved = r.halve_window(sent, self.now);
                let run = f64::from(r.rejection_run.min(6));
                let pause = (r.latency.mean() * jitter * run).min(half_aim);
                r.wait_until = r.wait_until.max(self.now + pause as Micros);
                if fleet {
                    // Senders that keep to their shares need no long pause in addition.
                    r.rejected_in_fleet(2.0 - jitter, self.now);
                } else {
                    if halved && (r.rejection_run > 1 || r.pace + r.limit + end.wait as f64 > 0.0) {
                        // A single rejection reveals no limit if none is known. The pace never falls below
                        // the served rate.
                        let initial = r.window * SECOND / r.latency.mean().max(1e3);
                        let lowered = if r.pace > 0.0 { r.pace * PACE_CUT } else { initial };
                        r.pace = lowered.max(r.served_rate).max(least_pace);
                    }
                    let extension = (jitter - 1.0) * gap.max(learned * run).min(safe_gap) - half_aim;
                    r.wait_until += extension.max(0.0) as Micros;
                }
            }
            Outcome::UnreadableResponse => {
                r.detector.record_unreadable(self.now);
                r.last_answer = self.now;
                r.failing_since = r.failing_since.or(r.detector.is_lossy().then_some(sent));
            }
            _ => {
                if r.circuit == Circuit::Closed && (outcome != Outcome::Error) {
                    r.latency.record_unanswered(planned);
                }
                if planned {
                    r.resend_budget -= 1.0;
                } else {
                    r.detector.record_failure(sent, self.now);
                    r.failing_since.get_or_insert(sent);
                    let may_halve = outcome != Outcome::Error && r.window_halved <= sent;
                    let _ = may_halve && r.detector.should_cut(self.now) && r.halve_window(sent, self.now);
                }
            }
        }
        let failed =
            !matches!(outcome, Outcome::Ok | Outcome::Rejected | Outcome::UnreadableResponse) && !planned;
        r.may_have_run = if failed { outcome != Outcome::ConnectFailed } else { r.may_have_run };
        match r.circuit {
            Circuit::Open { .. } if outcome == Outcome::Ok => {}
            Circuit::Open { backoff, .. } => {
                r.circuit = Circuit::Open {
                    next_trial: self.now + (backoff.max(gap) * jitter * 0.75) as Micros,
                    backoff,
                };
            }
            _ if r.detector.is_out(self.now) || end.wait > self.config.rules.overload_duration => {
                self.open_circuit(route)
            }
            _ => {}
        }
        // Idle connections fill the table of an endpoint that accepts few, or are dropped unnoticed. They are
        // closed after use if a connection failed there or this sender comes rarely, at the cost of a
        // handshake. A rejection without a limit report, where others have one, means a table that a fleet
        // has filled. A sender that holds a connection never sees such a rejection, so it applies to all
        // destinations of the kind.
        let reports = self.config.senders >= LARGE_FLEET && self.routes.iter().any(|r| r.limit_reported);
        let r = &self.routes[route];
        let connections_full = reports && outcome == Outcome::Rejected && report.is_none() && end.wait == 0;
        if connections_full && self.crowded_kinds.insert(r.kind) {
            let same_kind = self.targets.iter().filter(|(_, t)| self.routes[t.route].kind == r.kind);
            self.actions.extend(same_kind.map(|(id, _)| Action::CloseIdle { target: *id }));
        }
        let rare = (r.arrivals - 1.0) * self.config.idle_timeout as f64 / SECOND <= self.arrival_span;
        if let Some(t) = self.targets.get_mut(&target) {
            // One of several endpoints may be out alone: it is avoided while the others serve.
            t.avoid_until = if failed || connections_full { self.now + least_aim as Micros } else { 0 };
            t.connect_failed |= outcome == Outcome::ConnectFailed;
            let idle = outcome != Outcome::ConnectFailed && !r.calls.values().any(|c| c.target == target);
            let close =
                t.connect_failed || self.crowded_kinds.contains(&r.kind) || rare && outcome == Outcome::Ok;
            self.actions.extend((idle && close).then_some(Action::CloseIdle { target }));
        }
        let recovered = before != self.routes[route].circuit
            && matches!(self.routes[route].circuit, Circuit::SlowStart { .. });
        recovered.then(|| self.log(format!("destination of target {target} answers again: slow start")));
    }

    /// Opens the circuit of a route: only single trials until one is answered.
    fn open_circuit(&mut self, route: usize) {
        let least_aim = self.least_aim();
        let start = self.now.max(self.routes[route].wait_until);
        let (jitter, trial_gap) = (0.5 + self.random(), self.trial_gap(route, start));
        let r = &mut self.routes[route];
        r.detector.record_outage();
        // At high call rates a false verdict costs many messages: the first trial goes out sooner.
        let least_backoff = least_aim / 10.0 / r.detector.rate_factor_before();
        let backoff = (2.0 * r.latency.mean()).clamp(least_backoff, least_aim / 4.0);
        r.circuit =
            Circuit::Open { next_trial: start + (backoff.max(trial_gap) * jitter) as Micros, backoff };
        r.window_before_outage = r.window;
        (r.failing_since, r.window) = (r.failing_since.or(Some(self.now)), 1.0);
        let first = r.targets.first().copied().unwrap_or(0);
        self.actions.push(Action::OutageDetected { target: first });
        self.log(format!("destination of target {first} is out: sending single trials"));
    }

    /// Since when calls have been overdue, with no answer since. The next answer closes the circuit again.
    fn silent_since(&self, route: usize) -> Option<Micros> {
        let r = &self.routes[route];
        let (_, oldest) = r.calls.iter().find(|(_, call)| call.sent >= r.last_answer && !call.trial)?;
        let age = (self.now - oldest.sent) as f64;
        let mean = r.latency.mean();
        if age > self.overdue_age(r) {
            return Some(oldest.sent);
        }
        let calls = r.calls.values().filter(|call| call.sent >= r.last_answer);
        let total_wait: f64 = calls.map(|call| (self.now - call.sent) as f64).sum();
        let unlikely = (r.latency.tau > 0.0) && total_wait > SILENCE_MEANS * mean && age > 3.0 * mean;
        unlikely.then_some(oldest.sent)
    }

    /// Age at which a call is overdue, in microseconds; longer while few answers are known.
    fn overdue_age(&self, r: &Route) -> f64 {
        let (latency, longest) = (&r.latency, r.latency.longest());
        match latency.tau > 0.0 {
            true => (1.25 * longest).max(4.0 * latency.mean()),
            false => (3.0 * longest).max(self.least_aim()),
        }
    }

    /// Whether a route takes a call now, and whether as a trial; if not, when to check again.
    fn can_call(&mut self, route: usize, cap: u32) -> Result<bool, Micros> {
        let (own, aim, draw) = (self.recovery_rate(route), self.least_aim(), self.uniform_draw(self.now));
        let longest_usual = self.overdue_age(&self.routes[route]) as Micros;
        if self.stopping.is_some_and(|by| self.now + longest_usual > by) {
            return Err(Micros::MAX); // the call would be cut off, and may have run
        }
        let rules = &self.config.rules;
        let r = &mut self.routes[route];
        let (mut rate, mut burst) = (r.pace, (r.pace / 2.0).max(1.0));
        let start =
            if let Circuit::Open { next_trial, .. } = r.circuit { next_trial } else { 0 }.max(r.wait_until);
        if start > self.now {
            return Err(start);
        }
        if let Circuit::SlowStart { since } = r.circuit {
            // This sender's share of a safe part of the load that would overload the destination, rising over
            // the slow start. Needlessly slow if the destination was not cold.
            let progress = ((self.now - since) as f64 / rules.slow_start_time.max(1) as f64).min(1.0);
            let warm_share = rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * progress;
            // What it served lately it can still do, also if clients come less often meanwhile.
            let own = own.max(if r.peak_rate > MIN_CAPACITY_RATE && r.fair_share <= 0.0 {
                r.peak_rate
            } else {
                0.0
            });
            let capacity = own.max(r.limit.max(MIN_DESTINATION_RATE) / f64::from(self.config.senders.max(1)));
            (rate, burst) = (capacity * warm_share * rules.overload_factor.max(1.0) * SAFE_LOAD_SHARE, 1.0);
        }
        let refill = if rate > 0.0 {
            rate * self.now.saturating_sub(r.tokens_filled) as f64 / SECOND
        } else {
            f64::MAX
        };
        r.tokens = (r.tokens + refill).min(burst);
        r.resumed_in_fleet(rate, aim, draw, self.now);
        r.tokens_filled = self.now;
        match r.circuit {
            Circuit::Open { .. } => Ok(true),
            _ if rate > 0.0 && r.tokens < 1.0 => {
                Err(self.now + ((1.0 - r.tokens) / rate.max(1e-9) * SECOND) as Micros + 1)
            }
            _ if (r.calls.len() as u32) < (r.window as u32).min(cap).max(1) => Ok(false),
            _ => Err(Micros::MAX),
        }
    }

    /// The more urgent of the oldest message of a queue and the oldest whose worth still falls. The urgency
    /// is the worth that is lost by waiting for one more aim.
    fn most_urgent(&self, class: usize, set: &BTreeSet<(Micros, MessageId)>) -> Option<(f64, MessageId)> {
        let c = &self.config.classes[class];
        let floor_age = match self.config.decay {
            Decay::Linear => c.deadline,
            Decay::Halving => c.aim + (c.aim as f64 * -c.late_value.max(0.01).log2()) as Micros,
        };
        let falling = set.range((self.now.saturating_sub(floor_age), 0)..).next();
        let both = set.first().into_iter().chain(falling);
        let urgency = |accepted: Micros| {
            let (age, aim) = (self.now.saturating_sub(accepted) as f64, c.aim as f64);
            self.value(class, age) - self.value(class, age + aim) + 1e-6 * age / aim.max(1.0)
        };
        both.map(|(accepted, id)| (urgency(*accepted), *id)).max_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// The best endpoint of a route: none that failed lately, with the fewest calls in flight.
    fn endpoint(&self, route: usize, zone: Option<u32>) -> Option<TargetId> {
        let r = &self.routes[route];
        let all = r.targets.iter().map(|id| (id, &self.targets[id]));
        let usable = all.filter(|(_, t)| t.state == EndpointState::Ready && zone.is_none_or(|z| z == t.zone));
        let threshold = self.overdue_age(r);
        let best = usable.min_by_key(|(id, t)| {
            // An endpoint with an overdue call is silent even if the others answer.
            let overdue = |call: &Call| call.target == **id && (self.now - call.sent) as f64 > threshold;
            let avoid = t.avoid_until > self.now || r.calls.values().any(overdue);
            // Random among the least busy: the first listed or last used would be the same for all senders.
            let calls = r.calls.values().filter(|call| call.target == **id).count();
            (avoid, calls, self.hashed_draw(u64::from(**id)))
        });
        best.map(|(id, _)| *id)
    }

    /// The best send to a destination now, if there is one.
    fn best_send(&mut self, destination: DestinationId) -> Option<SendChoice> {
        let d = self.destinations.get(&destination)?;
        let slot_share = (f64::from(self.config.slots) * DESTINATION_SLOT_SHARE) as u32;
        let cap = slot_share.min(d.slots.unwrap_or(slot_share)).max(1);
        let calls: usize = d.routes.iter().map(|id| self.routes[*id].calls.len()).sum();
        if calls as u32 >= cap || d.ready.is_empty() {
            return None;
        }
        let mut open = Vec::new();
        for route in d.routes.clone() {
            match self.can_call(route, cap) {
                Ok(trial) => open.push((route, trial)),
                Err(at) => self.wake_at = self.wake_at.min(at),
            }
        }
        let d = self.destinations.get(&destination)?;
        let cost_of = |route: usize| self.routes[route].cost;
        let live =
            |i: &&usize| self.routes[**i].circuit == Circuit::Closed && self.endpoint(**i, None).is_some();
        let least_cost = d.routes.iter().filter(live).map(|id| cost_of(*id)).fold(f64::INFINITY, f64::min);
        let worth =
            self.config.classes.iter().map(|c| c.worth).sum::<f64>() / self.config.classes.len() as f64;
        let mut best: Option<SendChoice> = None;
        for ((class, tag), set) in &d.ready {
            let Some((urgency, id)) = self.most_urgent(*class, set) else { continue };
            let (m, retry) = (&self.messages[&id], tag & RETRY_FLAG != 0);
            let once = self.config.classes[*class].effect == Effect::Once;
            let mut choice: Option<((f64, f64), usize, TargetId, bool)> = None;
            for (route, trial) in &open {
                let r = &self.routes[*route];
                // Once the retry budget is used up, first tries go before retries.
                if retry && r.retry_budget < 1.0 {
                    continue;
                }
                // An at-most-once message is lost if its attempt is not answered. It avoids a lossy or silent
                // route, but becomes the trial if nothing else has been one for an aim. If some of the calls
                // have kept failing for an aim, waiting longer gains nothing.
                let aim = self.config.classes[*class].aim;
                let lossy = r.detector.is_lossy() && !r.detector.stays_lossy(self.now, aim);
                let risky = r.may_have_run && (*trial || lossy);
                let recent = lossy && self.now < r.last_outcome + aim;
                if once && risky && (self.now < m.accepted + aim || recent) {
                    continue;
                }
                let extra_cost = cost_of(*route) - least_cost;
                if extra_cost > 0.0 && urgency < extra_cost * worth && self.now < m.accepted + aim / 2 {
                    continue;
                }
                let zone = (tag & !RETRY_FLAG).checked_sub(1);
                let Some(target) = self.endpoint(*route, zone) else { continue };
                let busy = r.calls.len() as f64 / r.window.max(1.0) + f64::from(u8::from(*trial));
                let load = (extra_cost.max(0.0), busy);
                if choice.is_none_or(|chosen| load < chosen.0) {
                    choice = Some((load, *route, target, *trial));
                }
            }
            if let Some((_, route, target, trial)) = choice {
                let rank = if trial && once { urgency - self.config.classes[*class].worth } else { urgency };
                if best.is_none_or(|chosen| rank > chosen.0) {
                    best = Some((rank, id, route, target, trial));
                }
            }
        }
        best
    }

    /// Sends a message, in a new call or in `call`, which is being filled. Returns the number of the call.
    fn send(&mut self, id: MessageId, route: usize, target: TargetId, trial: bool, call: Option<u64>) -> u64 {
        let (jitter, longest_backoff) = (1.0 + TAU_JITTER * self.random(), self.least_aim() / 2.0);
        self.dequeue(id);
        let trial_gap = self.trial_gap(route, self.now);
        let call = call.unwrap_or_else(|| {
            self.last_call += 1;
            self.in_flight += 1;
            let r = &mut self.routes[route];
            r.tokens -= 1.0;
            r.calls.insert(self.last_call, Call { target, sent: self.now, trial, ..Call::default() });
            if let Circuit::Open { backoff, .. } = r.circuit {
                let next_trial = self.now + (backoff.max(trial_gap) * jitter) as Micros;
                r.circuit = Circuit::Open { next_trial, backoff: (backoff * 1.3).min(longest_backoff) };
            }
            self.last_call
        });
        let (first, cap) = (self.messages.get(&id).is_some_and(|m| m.attempts.is_empty()), self.config.slots);
        let deadline = self.messages.get(&id).map_or(0, |m| self.attempt_deadline(m));
        let r = &mut self.routes[route];
        let change = if first { RETRIES_PER_FIRST_TRY } else { -1.0 };
        r.retry_budget = (r.retry_budget + change).clamp(0.0, MAX_SAVED_RETRIES.max(f64::from(cap)));
        let zone = self.targets.get(&target).map_or(0, |t| t.zone);
        let Some(m) = self.messages.get_mut(&id) else { return call };
        let c = &self.config.classes[m.class];
        let tau = (r.latency.tau * jitter) as Micros;
        let retry = match c.effect {
            Effect::Repeatable => true,
            Effect::Keyed => {
                self.now + tau + 2 * self.config.tick < m.first_run.map_or(self.now, |r| r.0) + c.dedup_window
            }
            Effect::Once => false,
        };
        let last = m.attempts.len() + 1 >= self.config.max_attempts as usize;
        // The attempt may last until τ if a resend may follow, otherwise for all the time left.
        let planned = retry
            && !last
            && r.latency.tau > 0.0
            && (r.resend_budget > 0.0 || trial)
            && self.now + tau < m.expires;
        let until = if planned { self.now + tau } else { deadline };
        m.first_run.get_or_insert((self.now, zone));
        let number = m.attempts.len() as u32;
        r.calls.get_mut(&call).into_iter().for_each(|call| call.messages.push((id, number)));
        m.attempts.push(Attempt { target, call, planned, outcome: None });
        self.actions.push(Action::Send { id, target, until });
        call
    }

    /// Adds messages to a call if the destination accepts several in one. A trial carries one message.
    fn fill_call(&mut self, destination: DestinationId, route: usize, target: TargetId, call: u64) {
        let max_batch = self.config.max_batch.get(self.routes[route].kind).copied().unwrap_or(1);
        let zone = self.targets.get(&target).map_or(0, |t| t.zone + 1);
        for _ in 1..max_batch {
            let Some(d) = self.destinations.get(&destination) else { return };
            let unbound =
                d.ready.iter().filter(|((_, tag), _)| tag & !RETRY_FLAG == 0 || tag & !RETRY_FLAG == zone);
            let next = unbound.filter_map(|((class, _), set)| self.most_urgent(*class, set));
            let Some((_, id)) = next.max_by(|a, b| a.0.total_cmp(&b.0)) else { return };
            let (m, r) = (&self.messages[&id], &self.routes[route]);
            let once = self.config.classes[m.class].effect == Effect::Once;
            if !self.permissions(m).0 || (once && r.may_have_run && r.detector.is_lossy()) {
                return;
            }
            self.send(id, route, target, false, Some(call));
        }
    }

    /// Chooses what is sent now. To be called once after the last event of a moment.
    pub fn decide(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.now = now;
        while let Some((_, id)) = self.message_timers.first().copied().filter(|(at, _)| *at <= now) {
            self.message_timers.pop_first();
            let Some(m) = self.messages.get(&id) else { continue };
            match self.give_up_at(m.expires) > now {
                true => self.enqueue(id),
                false if m.attempts.iter().all(|a| a.outcome.is_some()) => self.give_up(id),
                false => {}
            }
        }
        self.wake_at = Micros::MAX;
        (self.now >= self.maintain_at).then(|| self.maintain());
        let ready: Vec<DestinationId> =
            self.destinations.iter().filter(|(_, d)| !d.ready.is_empty()).map(|(id, _)| *id).collect();
        let mut best: Vec<_> = ready.into_iter().filter_map(|d| Some((d, self.best_send(d)?))).collect();
        while self.in_flight < self.config.slots {
            let top = (0..best.len()).max_by(|a, b| best[*a].1 .0.total_cmp(&best[*b].1 .0));
            let Some(i) = top else { break };
            let (destination, (_, id, route, target, trial)) = best[i];
            let m = &self.messages[&id];
            let time_left = self.attempt_deadline(m).saturating_sub(self.now) as f64;
            // A keyed message whose deduplication window ended while it was held may not be sent either.
            if !self.permissions(m).0 || time_left < self.routes[route].latency.shortest() {
                self.give_up(id);
            } else {
                let call = self.send(id, route, target, trial, None);
                (!trial).then(|| self.fill_call(destination, route, target, call));
            }
            match self.best_send(destination) {
                Some(next) => best[i].1 = next,
                None => drop(best.swap_remove(i)),
            }
        }
        let backlogged = self.destinations.values_mut().filter(|d| !d.ready.is_empty());
        backlogged.for_each(|d| d.backlog_since = d.backlog_since.or(Some(now)));
        self.send_blocked = !best.is_empty();
        let next = self.message_timers.first().map_or(Micros::MAX, |a| a.0);
        let at = self.maintain_at.min(self.wake_at).min(next);
        if at < self.timer_at {
            self.timer_at = at;
            self.actions.push(Action::Timer { after: at.saturating_sub(self.now).max(1), token: 0 });
        }
        out.append(&mut self.actions);
    }

    /// Periodic maintenance of the routes: decay, τ, rates and detection of silence.
    fn maintain(&mut self) {
        self.maintain_at = self.now + MAINTENANCE_INTERVAL;
        self.key_queues.retain(|_, (waiting, paused_until)| !waiting.is_empty() || *paused_until > self.now);
        let keep = 0.5f64.powf(MAINTENANCE_INTERVAL as f64 / self.longest_deadline());
        self.arrival_span = self.arrival_span * keep + MAINTENANCE_INTERVAL as f64 / SECOND;
        for route in 0..self.routes.len() {
            let r = &mut self.routes[route];
            r.latency.age(keep);
            r.arrivals *= keep;
            // A resend repeats work that is thrown away, so it costs a mean answer time.
            (r.latency.answers >= MIN_ANSWERS_FOR_TAU).then(|| r.latency.retune(r.latency.mean()));
            r.steady_rate += STEADY_RATE_WEIGHT * (r.served_rate - r.steady_rate);
            r.peak_rate = (r.peak_rate * keep).max(r.served_rate);
            r.served_rate *= SERVED_RATE_DECAY;
            r.mean_in_flight += IN_FLIGHT_WEIGHT * (r.calls.len() as f64 - r.mean_in_flight);
            r.retry_budget =
                r.retry_budget.max((r.retry_budget + RETRIES_PER_MAINTENANCE).min(MAX_SAVED_RETRIES));
            r.pace +=
                if r.pace > 0.0 && r.limit <= 0.0 { PACE_GAIN_PER_MAINTENANCE * (r.pace + 0.5) } else { 0.0 };
            if matches!(r.circuit, Circuit::SlowStart { since } if self.now > since + self.config.rules.slow_start_time)
            {
                r.circuit = Circuit::Closed;
            }
            let is_out = matches!(r.circuit, Circuit::Open { .. });
            if let Some(since) = self.silent_since(route).filter(|_| !is_out) {
                let r = &mut self.routes[route];
                (r.may_have_run, r.failing_since) = (true, r.failing_since.or(Some(since)));
                self.open_circuit(route);
            }
        }
        self.cancel_overdue();
        self.forget_unlisted();
    }

    /// Cancels overdue calls, whatever keeps them from ending, so that a silent endpoint does not block the
    /// others. If the circuit is open, calls of repeatable messages are cancelled at once; other calls are
    /// cancelled a few at a time while a send is blocked. The cost: very late answers are lost.
    fn cancel_overdue(&mut self) {
        let mut few = if self.send_blocked { self.config.slots.div_ceil(16) } else { 0 };
        for route in 0..if self.config.may_cancel { self.routes.len() } else { 0 } {
            let threshold = self.overdue_age(&self.routes[route]);
            let out =
                matches!(self.routes[route].circuit, Circuit::Open { .. }) && self.routes[route].may_have_run;
            let overdue = |call: &&mut Call| !call.cancelled && (self.now - call.sent) as f64 > threshold;
            for call in self.routes[route].calls.values_mut().filter(overdue) {
                let repeatable = |m: &Message| self.config.classes[m.class].effect == Effect::Repeatable;
                let at_once = out
                    && call.messages.iter().all(|entry| self.messages.get(&entry.0).is_some_and(repeatable));
                if at_once || few > 0 {
                    (few, call.cancelled) = (few - u32::from(!at_once), true);
                    let cancels = call.messages.iter().map(|(id, n)| Action::Cancel { id: *id, attempt: *n });
                    self.actions.extend(cancels);
                }
            }
        }
    }
}

impl Route {
    /// Messages a second that it can serve while more are ready, 0 if too little is known: the rate served
    /// lately, ignoring a dip of a second; the rate by Little's law from the calls in flight; or the pace.
    fn capacity(&self) -> f64 {
        let served = 1.0 - self.detector.failure_share();
        let by_calls = self.mean_in_flight * served / self.latency.mean().max(1.0) * SECOND;
        let known =
            self.latency.answers >= MIN_ANSWERS_FOR_TAU && !matches!(self.circuit, Circuit::Open { .. });
        f64::from(u8::from(known))
            * self.served_rate.max(self.steady_rate).max(by_calls).max(self.pace * served)
    }

    /// Halves the window, once for all calls that were in flight together.
    fn halve_window(&mut self, sent: Micros, now: Micros) -> bool {
        let due = self.window_halved <= sent;
        if due {
            (self.window, self.window_halved) = ((self.window / 2.0).max(1.0), now);
        }
        due
    }

    /// A known limit starts the pace at an even share if that is more than chance brings within an aim. When
    /// the limit changes by far, the pace changes in proportion: by the growth for each served call it would
    /// take up to a minute to recover from a limit that was low for some seconds.
    fn set_limit(&mut self, rate: f64, senders: u32, aim: f64) {
        let even = rate / f64::from(senders.max(1));
        self.fair_share = if senders >= LARGE_FLEET { even } else { 0.0 };
        if self.limit <= 0.0 {
            self.pace = if self.fair_share > 0.0 || even * aim > 3.0 { even } else { 0.0 };
        } else if self.fair_share > 0.0
            || rate > LIMIT_CHANGE_FACTOR * self.limit
            || self.limit > LIMIT_CHANGE_FACTOR * rate
        {
            self.pace *= rate / self.limit;
        }
        self.limit = rate;
    }
}

mod derived;
mod endpoint_list;
mod queues;
mod random;
mod status_report;

#[cfg(test)]
#[path = "scheduler_tests.rs"]
mod tests;
