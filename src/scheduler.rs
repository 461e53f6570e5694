//! All decisions of the delivery service. Settings, events and actions: `src/interface.rs`.
//! Per destination: a bucketed histogram of answer times and a count of attempts without an answer give
//! the time-out and resend point τ of least expected completion time (see [`AnswerTimes`]). Around that
//! stand a window of calls in flight, a gate for destinations that look out, and pacing under limits.

use crate::answers::{AnswerTimes, BUCKETS};
use crate::fleet_pacing::PACE_DOWN;
use crate::interface::*;
use crate::state::*;
use crate::wait_estimate::{overtaken, Outlook};
use std::collections::{BTreeMap, BTreeSet};

/// Answers before τ is trusted; planned resends in a row without an answer that mean τ is too low.
const WARM_UP: u32 = 20;
const TAU_RUN: u32 = 3;
/// τ is stretched by up to this part at random, so that senders with one τ do not resend together.
const TAU_JITTER: f64 = 0.25;
/// Resends that each answer pays for, and how many may be saved up.
const RESEND_SHARE: f64 = 0.2;
const RESEND_SAVED: f64 = 5.0;
/// Retries that each first try pays for, that a span of upkeep adds, and that are saved up at least. Guards a
/// failing destination against being made worse: attempts stay under twice the messages.
const RETRY_SHARE: f64 = 1.0;
const RETRY_UPKEEP: f64 = 1.0;
const RETRY_SAVED: f64 = 20.0;
/// Set in the queue of messages that were tried before, beside the zone that binds them.
const RETRY: u32 = 1 << 31;
/// Part of the slots that calls to one destination may take; half while it is failing.
const DESTINATION_SHARE: f64 = 0.75;
/// Span of the upkeep timer, and microseconds in a second.
const UPKEEP: Micros = 100_000;
const SECOND: f64 = 1e6;
/// A trouble that was over sooner, in microseconds, was a suspicion: no destination goes cold in that time.
const SUSPICION: Micros = 1_000_000;
/// Parts by which a served call, at most, and a span of upkeep raise the pace.
const PACE_UP: f64 = 0.08;
const PACE_RISE: f64 = 0.005;
/// A limit that changes by more than this has moved; less is noise.
const LIMIT_MOVES: f64 = 1.5;
/// Weight that what was taken on, by class, keeps with each further message.
const MIX_KEEP: f64 = 0.998;
/// Served calls a second above which they are many enough to tell a capacity.
const MANY: f64 = 10.0;
/// Weights of the calls out and of what is served now in their means over half a second and eight seconds.
const OUT_WEIGHT: f64 = 0.2;
const STEADY_WEIGHT: f64 = 0.0125;
/// Weight that the rate of served calls keeps over a span of upkeep.
const RATE_KEEP: f64 = 0.95;
/// Part of the room for held messages that is kept free.
const KEEP_FREE: f64 = 0.05;
/// Unanswered call time, in mean answer times, that makes silence unlikely to be chance.
const SILENCE_MEANS: f64 = 12.0;
/// Calls of all senders in the tip time which do no harm; least capacity of a destination in calls a second;
/// spans of a trouble so far between two trials.
const SLACK: f64 = 3.0;
const LEAST_TOGETHER: f64 = 2.5;
const TROUBLE_SPANS: f64 = 3.0;
/// Factors on the learned pause when a retry after a refusal is served, and when it is refused again.
const SPREAD_DOWN: f64 = 0.8;
const SPREAD_UP: f64 = 1.5;
/// Part of the multiple that would push a cold destination over which all senders together may use.
const RAMP_CAUTION: f64 = 0.6;

impl AnswerTimes {
    /// Moves τ to the candidate of least Ê, then up while the paper's condition (6) holds; gives its Ê.
    /// The mean of the answers by τ is M/p already: divided by p again it would miss the paper's tables.
    fn retune(&mut self, c: f64) -> Option<f64> {
        let total = self.count.iter().sum::<f64>() + self.unanswered;
        let (mut n, mut s) = (0.0, 0.0);
        let mut expected = [f64::INFINITY; BUCKETS];
        let mut share = [0.0; BUCKETS];
        for i in 0..BUCKETS {
            n += self.count[i];
            s += self.sum[i];
            if n > 0.05 {
                let p = n / total;
                share[i] = p;
                expected[i] = s / n + (1.0 - p) / p * ((i + 1) as f64 * self.width + c);
            }
        }
        let finite = (0..BUCKETS).filter(|i| expected[*i].is_finite());
        let mut j = finite.min_by(|a, b| expected[*a].total_cmp(&expected[*b]))?;
        let density = |j: usize| self.count[j] / (total * self.width);
        let grows = |j: usize| self.count[j] > 0.05 && (1.0 - share[j]) / density(j) - c < expected[j];
        while j + 1 < BUCKETS && grows(j) {
            j += 1;
        }
        let raised = if self.run >= TAU_RUN { self.tau } else { 0.0 };
        self.tau = ((j + 1) as f64 * self.width).max(raised);
        Some(expected[j])
    }

    /// Guards against a slow spell past τ, where (6) sees no density: a run of planned resends unanswered
    /// doubles τ; least Ê brings it down. Harms where most calls are dropped: resends come late.
    fn unanswered(&mut self, planned: bool) {
        self.unanswered += 1.0;
        self.run += u32::from(planned);
        if planned && self.run.is_multiple_of(TAU_RUN) {
            self.tau *= 2.0;
        }
    }
}

/// The decisions of one forwarder.
#[rustfmt::skip] // fields stand by topic
#[derive(Debug, Default)]
pub struct DeliveryScheduler {
    s: Settings, now: Micros, out: Vec<Action>, seed: u64,
    messages: BTreeMap<MessageId, Message>, turns: BTreeMap<u64, Turns>,
    destinations: BTreeMap<DestinationId, Destination>, targets: BTreeMap<TargetId, Target>,
    /// The places of `spare` are of lanes that were forgotten: nothing names them.
    lanes: Vec<Lane>, spare: Vec<usize>,
    /// When to look at a message again: its time is up, or its key has rested.
    agenda: BTreeSet<(Micros, MessageId)>,
    upkeep_at: Micros, span: f64, spread: f64, wake_at: Micros, armed: Micros,
    calls_out: u32, next_call: u64, blocked: bool, stopping: Option<Micros>, list_version: u32, logged: u32,
    /// Kinds of destination that have turned a connection away for want of room.
    crowded: BTreeSet<usize>,
}

impl DeliveryScheduler {
    /// A sender that has just come up.
    pub fn new(now: Micros, seed: u64, settings: Settings) -> Self {
        let seed = seed ^ 0x9e37_79b9_7f4a_7c15;
        let (upkeep_at, armed) = (now + UPKEEP, Micros::MAX);
        let fresh =
            DeliveryScheduler { s: settings, seed, now, upkeep_at, armed, ..DeliveryScheduler::default() };
        DeliveryScheduler { spread: fresh.even().min(fresh.least_aim()), ..fresh }
    }

    /// Takes in one thing that happened. Sends are chosen in [`DeliveryScheduler::decide`].
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::List { kind, version, endpoints } => self.list(kind, version, endpoints),
            Event::Request { id, class, destination, order_key, expires } => {
                self.knock(id, Message::new(class, destination, order_key, expires));
            }
            Event::Restored { id, class, destination, order_key, expires, attempts, first_run: ran } => {
                let m = Message::new(class, destination, order_key, expires);
                self.restored(id, Message { attempts: Attempt::over(attempts), ran, ..m });
            }
            Event::Stopping { by } => self.stopping = Some(by),
            Event::Started { id, .. } | Event::Abandoned { id } => self.finish(id),
            Event::Outcome { id, attempt, target, outcome, took, ended, wait, report, .. } => {
                // Waits bind the lane, whatever has become of the message; none is shortened.
                let lane = self.targets.get(&target).and_then(|t| self.lanes.get_mut(t.lane));
                lane.into_iter().for_each(|l| l.wait_until = l.wait_until.max(now.saturating_add(wait)));
                let sent = now.saturating_sub(took);
                let end = End { outcome, sent, wait, report, planned: false };
                self.outcome(id, attempt as usize, end, ended)
            }
            Event::Timer { .. } if self.armed <= now => self.armed = Micros::MAX,
            Event::Timer { .. } | Event::PeerMessage { .. } | Event::ProbeOutcome { .. } => {}
        }
        out.append(&mut self.out);
    }

    /// Span between attempts of one sender at which all together bring a cold destination no harm.
    fn even(&self) -> f64 {
        f64::from(self.s.senders.max(1)) * self.s.rules.overload_duration as f64 / SLACK
    }

    /// Least span between attempts at a lane in trouble. Guards what is out, shut or cold against many
    /// senders that each try seldom: each keeps to its part of what would push it over, by its own traffic,
    /// evenly, or by the trouble's span, in which each message brought one sender at most. Harms if few came.
    fn gap(&self, lane: usize, at: Micros) -> f64 {
        let r = &self.s.rules;
        let part =
            self.share(lane) * r.cold_capacity_share * r.overload_factor.max(1.0) * RAMP_CAUTION / SECOND;
        let since = at - self.lanes[lane].trouble.unwrap_or(at).min(at);
        (1.0 / part.max(1e-12)).min(self.even()).min(TROUBLE_SPANS * since as f64)
    }

    /// Calls a second that count as its own at a lane in trouble or cold: its traffic, and of a fleet no more
    /// than comes, with caution, to the limit for all together, however much more there is to send.
    fn share(&self, lane: usize) -> f64 {
        let part = self.lanes[lane].part;
        self.own(lane).min(if part > 0.0 { part / RAMP_CAUTION } else { f64::MAX })
    }

    /// A message at the door: where clients heed waits it is refused if it would be late, or its destination
    /// has its part of the room.
    fn knock(&mut self, id: MessageId, m: Message) {
        let left = m.expires.saturating_sub(self.now) as f64;
        self.heat(m.destination);
        if let Some(d) = self.destinations.get(&m.destination).filter(|_| self.s.may_advise_wait) {
            let mut outlook = self.outlook(d);
            outlook.turn = self.turn(&m);
            let ratio = overtaken(&d.mix, &self.s.classes);
            let patience = self.s.classes.get(m.class).map_or(0, |c| c.max_wait);
            let free = f64::from(self.s.max_held) * (1.0 - KEEP_FREE) - 2.0 - self.messages.len() as f64;
            if left > 0.0 && outlook.refuses(ratio, left, patience, free) {
                let retry_after = self.wait_told(outlook.wait());
                return self.out.push(Action::Refuse { id, retry_after });
            }
        }
        self.request(id, m);
    }

    /// How what waits for a destination fares. Of routes apart the first to open counts.
    fn outlook(&self, d: &Destination) -> Outlook {
        let ready = |l: &Lane| {
            l.targets.iter().any(|t| self.targets.get(t).is_some_and(|t| t.state == EndpointState::Ready))
        };
        let lanes = || d.lanes.iter().map(|lane| &self.lanes[*lane]).filter(|l| ready(l));
        let shut = |l: &Lane| {
            let out = l.trouble.filter(|_| matches!(l.gate, Gate::Out { .. }));
            out.map_or(0, |since| self.now - since).max(l.wait_until.saturating_sub(self.now))
        };
        Outlook {
            held: d.held,
            served: lanes().map(Lane::serves).sum(),
            behind: d.behind.map_or(0, |since| self.now - since),
            shut: lanes().map(shut).min().unwrap_or(0),
            turn: 0.0,
        }
    }

    /// Microseconds that the messages before it in its key's line take at the least.
    fn turn(&self, m: &Message) -> f64 {
        let line = self.turns.get(&m.order_key).filter(|_| m.order_key != 0);
        let lane = self.destinations.get(&m.destination).and_then(|d| self.lanes.get(*d.lanes.first()?));
        line.zip(lane).map_or(0.0, |((line, _), l)| line.len() as f64 * l.times.mean())
    }

    /// When a client may come again for a destination, in microseconds: what is held for it has been served,
    /// or some of the room is free. 0 where nothing tells, or no advice is heeded.
    pub fn advised_wait(&mut self, destination: DestinationId) -> Micros {
        let wait = self.destinations.get(&destination).map_or(0.0, |d| self.outlook(d).wait());
        let all: f64 = self.lanes.iter().map(Lane::serves).sum();
        let room = KEEP_FREE * self.messages.len() as f64 / all * SECOND;
        self.wait_told(if wait <= 0.0 && all > 0.0 { room } else { wait })
    }

    /// A wait as it is told: stretched a little at random, so that clients do not come back all at once.
    fn wait_told(&mut self, wait: f64) -> Micros {
        let most = if self.s.may_advise_wait { self.s.max_advised_wait } else { return 0 };
        ((wait * (1.0 + TAU_JITTER * self.random())) as Micros).min(most)
    }

    fn request(&mut self, id: MessageId, mut m: Message) {
        let expires = m.expires;
        if self.messages.contains_key(&id) {
            return;
        }
        let timely = expires > self.now || m.ran.is_some();
        let Some(c) = self.s.classes.get(m.class).filter(|_| timely) else {
            return self.out.push(Action::Refuse { id, retry_after: 0 });
        };
        m.born = expires.saturating_sub(c.deadline);
        m.order_key *= u64::from(c.in_order);
        let order_key = m.order_key;
        let d = self.destinations.entry(m.destination).or_default();
        d.held += 1;
        d.mix.resize(self.s.classes.len(), 0.0);
        d.mix.iter_mut().for_each(|part| *part *= MIX_KEEP);
        d.mix[m.class] += 1.0;
        self.messages.insert(id, m);
        self.agenda.insert((self.give_up_at(expires), id));
        if order_key != 0 {
            self.turns.entry(order_key).or_default().0.push_back(id);
        }
        self.enqueue(id);
        self.make_room();
    }

    /// Takes a message over from before a restart. Calls that it cut off may run on: the key rests. What may
    /// not be sent again, as unsafe ones that may have run, ends at once.
    fn restored(&mut self, id: MessageId, m: Message) {
        if self.s.classes.get(m.class).is_some_and(|c| c.in_order) && m.order_key != 0 {
            self.turns.entry(m.order_key).or_default().1 = self.now + self.s.rules.uncertain_key_pause;
        }
        self.heat(m.destination);
        self.request(id, m);
        if self.messages.get(&id).is_some_and(|m| !self.allowed(m).0) {
            self.give_up(id);
        }
    }

    /// Guards the room against a backlog for one destination, whatever holds it up, that would turn all else
    /// away: of the longest queue the message of least worth goes. Harms a backlog about to move.
    fn make_room(&mut self) {
        let room = (f64::from(self.s.max_held) * KEEP_FREE).ceil() as usize + 1;
        if self.messages.len() + room <= self.s.max_held as usize {
            return;
        }
        let longest =
            self.destinations.values().max_by_key(|d| d.ready.values().map(BTreeSet::len).sum::<usize>());
        let oldest = longest.into_iter().flat_map(|d| &d.ready).filter_map(|((c, _), set)| {
            let (born, id) = set.first()?;
            Some((self.value(*c, self.now.saturating_sub(*born) as f64), *id))
        });
        if let Some((_, id)) = oldest.min_by(|a, b| a.0.total_cmp(&b.0)) {
            self.give_up(id);
        }
    }

    // A little before its time, so that the answer counts.
    fn give_up_at(&self, expires: Micros) -> Micros {
        expires.saturating_sub(2 * self.s.tick)
    }

    /// The one place that says what may follow for a message, from its class and its attempts' outcomes:
    /// whether it may be sent, the zone (plus one) that binds it, and whether it may be refused.
    fn allowed(&self, m: &Message) -> (bool, u32, bool) {
        let c = &self.s.classes[m.class];
        let out = m.attempts.iter().any(|a| a.done.is_none());
        let tries_left = m.attempts.len() < self.s.max_attempts.max(1) as usize;
        let open = !m.over && !out && tries_left && m.expires > self.now;
        let Some((_, zone)) = m.ran else { return (open, 0, !m.over) };
        match c.effect {
            Effect::Repeatable => (open, 0, !m.over),
            Effect::Keyed => {
                let all = c.dedup_scope == DedupScope::All;
                (open && self.now < self.called_off(m), if all { 0 } else { zone + 1 }, !m.over && all)
            }
            Effect::Once => (false, 0, false),
        }
    }

    /// By when its next attempt is called off: its time is up, or its destination forgets the key of one that
    /// may have run. Guards against a connection that comes up late, or bytes that a cut line holds back.
    /// Harms repeats that would have been answered just past it.
    fn called_off(&self, m: &Message) -> Micros {
        let c = &self.s.classes[m.class];
        let forgets = m.ran.filter(|_| c.effect == Effect::Keyed).map(|(at, _)| at + c.dedup_window);
        forgets.map_or(m.expires, |at| m.expires.min(at.saturating_sub(self.s.tick)))
    }

    /// Puts a message among those ready to go, if it may be sent and has the turn of its key.
    fn enqueue(&mut self, id: MessageId) {
        let Some(m) = self.messages.get(&id).filter(|m| m.queue.is_none()) else { return };
        let (true, zone, _) = self.allowed(m) else { return };
        match self.turns.get(&m.order_key) {
            Some((line, _)) if line.front() != Some(&id) => return,
            Some((_, rest)) if *rest > self.now && m.attempts.is_empty() => {
                self.agenda.insert((*rest, id));
                return;
            }
            _ => {}
        }
        let retry = if m.attempts.is_empty() { 0 } else { RETRY };
        let (queue, born) = ((m.class, zone | retry), m.born);
        let d = self.destinations.entry(m.destination).or_default();
        d.ready.entry(queue).or_default().insert((born, id));
        self.messages.entry(id).and_modify(|m| m.queue = Some(queue));
    }

    /// Ends a message that is not (or no longer) out: refused where that is true to the client, else failed.
    fn give_up(&mut self, id: MessageId) {
        let Some(m) = self.messages.get(&id).filter(|m| !m.over) else { return };
        let (refuse, destination) = (self.allowed(m).2, m.destination);
        let retry_after = if refuse { self.advised_wait(destination) } else { 0 };
        self.out.push(if refuse { Action::Refuse { id, retry_after } } else { Action::Fail { id } });
        self.finish(id);
    }

    fn outcome(&mut self, id: MessageId, attempt: usize, mut end: End, ended: bool) {
        let Some(m) = self.messages.get_mut(&id) else { return };
        let Some(a) = m.attempts.get_mut(attempt).filter(|a| a.done.is_none()) else { return };
        let outcome = end.outcome;
        a.done = Some(outcome);
        let (target, call) = (a.target, a.call);
        end.planned = a.planned && outcome == Outcome::TimedOut;
        (outcome == Outcome::Withheld).then(|| m.attempts.pop());
        if m.attempts.iter().all(|a| a.done.is_some_and(|o| !o.may_have_run())) {
            m.ran = None;
        }
        if matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled | Outcome::UnreadableResponse
        ) {
            if let Some(turns) = self.turns.get_mut(&m.order_key) {
                turns.1 = turns.1.max(self.now + self.s.rules.uncertain_key_pause);
            }
        }
        if let Some(lane) = self.targets.get(&target).map(|t| t.lane) {
            let l = &mut self.lanes[lane];
            // The messages of a call share its fate: it is judged, and its slot free, with the last of them.
            let done = l.calls.get_mut(&call).is_some_and(|c| {
                c.messages.retain(|m| m.0 != id);
                end.sent = c.sent;
                c.messages.is_empty()
            });
            if done {
                l.calls.remove(&call);
                self.calls_out -= 1;
                if !matches!(outcome, Outcome::NotSent | Outcome::Withheld | Outcome::Cancelled) {
                    self.judge(lane, target, &end);
                }
            }
        }
        let Some(m) = self.messages.get(&id) else { return };
        if ended || m.over || outcome == Outcome::Ok {
            self.finish(id);
        } else if m.attempts.iter().all(|a| a.done.is_some()) {
            if self.allowed(m).0 && self.now < self.give_up_at(m.expires) {
                if outcome == Outcome::NotSent {
                    // What kept it back may last: at once again and again would use up its attempts.
                    let pause = self.s.tick << m.attempts.len().min(8);
                    self.agenda.insert((self.now + pause, id));
                } else {
                    self.enqueue(id);
                }
            } else {
                self.give_up(id);
            }
        }
    }

    /// Draws the conclusions of one call's end for its lane.
    fn judge(&mut self, lane: usize, target: TargetId, end: &End) {
        let End { outcome, sent, report, planned, .. } = *end;
        let jitter = 1.0 + self.random();
        let least_aim = self.least_aim();
        let least_pace = f64::from(self.s.max_attempts) * SECOND / self.longest_deadline();
        let (own, gap) = (self.own(lane), self.gap(lane, self.now.max(self.lanes[lane].wait_until)));
        if self.lanes[lane].full_run > 0 && matches!(outcome, Outcome::Ok | Outcome::Rejected) {
            self.spread *= if outcome == Outcome::Ok { SPREAD_DOWN } else { SPREAD_UP };
            self.spread = self.spread.min(self.even()).min(self.longest_deadline()).max(UPKEEP as f64);
        }
        let (spread, even, half_aim) = (self.spread, self.even(), least_aim / 2.0);
        let l = &mut self.lanes[lane];
        if let Some(r) = report.filter(|r| r.rate > 0.0) {
            l.limit_is(r.rate, self.s.senders, least_aim / SECOND);
            l.reported = true;
        }
        l.judged = self.now;
        let (was, fleet) = (l.gate, l.part > 0.0);
        match outcome {
            Outcome::Ok => {
                l.times.answered((self.now - sent) as f64);
                l.evidence.answered(sent, self.now);
                let part = if l.evidence.is_lossy() { 0.5 } else { DESTINATION_SHARE };
                let more = if l.evidence.on_trial(self.now) { 0.0 } else { 1.0 };
                l.window = (l.window + more).min((f64::from(self.s.slots) * part).floor().max(1.0));
                l.budget = (l.budget + RESEND_SHARE).min(RESEND_SAVED);
                l.rate += (1.0 - RATE_KEEP) * SECOND / UPKEEP as f64;
                let left = report.filter(|r| r.rate > 0.0).map_or(0.3, |r| r.share_left);
                if fleet {
                    l.served_in_fleet(left, self.now);
                } else {
                    l.pace *= 1.0 + PACE_UP * (2.0 * left).min(1.0);
                    if l.limit > 0.0 {
                        l.pace = l.pace.min(l.limit);
                    } else if l.pace > 4.0 * own.max(1.0) {
                        l.pace = 0.0;
                    }
                }
                (l.full_run, l.last_ok) = (0, self.now);
                // One answer is enough in a fleet, which goes on slowly: a row of trials of each is a burst.
                (fleet && matches!(l.gate, Gate::Out { .. })).then(|| l.evidence.was_never_out(self.now));
                let out = l.evidence.is_out(self.now);
                let trouble = if out { l.trouble } else { l.trouble.take() };
                let suspicion = trouble.is_some_and(|t| self.now < t + SUSPICION);
                let usual = (self.now - sent) as f64 <= l.times.longest();
                let short = trouble.is_some_and(|t| self.now < t + 2 * self.s.rules.overload_duration);
                l.gate = match l.gate {
                    Gate::Out { .. } if out => Gate::Out { next: self.now, backoff: l.times.mean() },
                    Gate::Out { .. } if suspicion && usual => {
                        // It was never out: half of what it took a moment ago, and the rest as it is served.
                        l.window = l.window.max(l.window_before / 2.0);
                        l.evidence.was_never_out(self.now);
                        Gate::Open
                    }
                    Gate::Out { .. } if short => Gate::Open,
                    Gate::Out { .. } => Gate::Ramp { since: self.now },
                    other => other,
                };
            }
            Outcome::Rejected => {
                l.full_run += 1;
                l.trouble.get_or_insert(self.now);
                let due = l.halve(sent, self.now);
                let run = f64::from(l.full_run.min(6));
                let pause = (l.times.mean() * jitter * run).min(half_aim);
                l.wait_until = l.wait_until.max(self.now + pause as Micros);
                if fleet {
                    // Many senders that keep to their parts need not stay away for long besides.
                    l.refused_in_fleet(2.0 - jitter, self.now);
                } else {
                    if due && (l.full_run > 1 || l.pace + l.limit + end.wait as f64 > 0.0) {
                        // One alone is no limit yet where none is known. Never under what is being served.
                        let first = l.window * SECOND / l.times.mean().max(1e3);
                        let down = if l.pace > 0.0 { l.pace * PACE_DOWN } else { first };
                        l.pace = down.max(l.rate).max(least_pace);
                    }
                    let more = (jitter - 1.0) * gap.max(spread * run).min(even) - half_aim;
                    l.wait_until += more.max(0.0) as Micros;
                }
            }
            Outcome::UnreadableResponse => {
                l.evidence.spoilt(self.now);
                l.last_ok = self.now;
                l.trouble = l.trouble.or(l.evidence.is_lossy().then_some(sent));
            }
            _ => {
                if l.gate == Gate::Open && (outcome != Outcome::Error) {
                    l.times.unanswered(planned);
                }
                if planned {
                    l.budget -= 1.0;
                } else {
                    l.evidence.failed(sent, self.now);
                    l.trouble.get_or_insert(sent);
                    let due = outcome != Outcome::Error && l.halved <= sent;
                    let _ = due && l.evidence.asks_for_cut(self.now) && l.halve(sent, self.now);
                }
            }
        }
        let fails =
            !matches!(outcome, Outcome::Ok | Outcome::Rejected | Outcome::UnreadableResponse) && !planned;
        l.may_have_run = if fails { outcome != Outcome::ConnectFailed } else { l.may_have_run };
        match l.gate {
            Gate::Out { .. } if outcome == Outcome::Ok => {}
            Gate::Out { backoff, .. } => {
                l.gate = Gate::Out { next: self.now + (backoff.max(gap) * jitter * 0.75) as Micros, backoff };
            }
            _ if l.evidence.is_out(self.now) || end.wait > self.s.rules.overload_duration => self.shut(lane),
            _ => {}
        }
        // Idle connections fill the table of an endpoint that takes few, or are dropped unseen: closed after
        // use where one was denied or this sender comes seldom. Costs a handshake if the next call was near.
        // A refusal without a report, where others have one, is a table filled by a fleet. Who holds a place
        // there never meets one, so it counts for all destinations of the kind.
        let reports = self.s.senders >= LARGE_FLEET && self.lanes.iter().any(|l| l.reported);
        let l = &self.lanes[lane];
        let no_room = reports && outcome == Outcome::Rejected && report.is_none() && end.wait == 0;
        if no_room && self.crowded.insert(l.kind) {
            let same = self.targets.iter().filter(|(_, t)| self.lanes[t.lane].kind == l.kind);
            self.out.extend(same.map(|(id, _)| Action::CloseIdle { target: *id }));
        }
        let seldom = (l.heat - 1.0) * self.s.idle_timeout as f64 / SECOND <= self.span;
        if let Some(t) = self.targets.get_mut(&target) {
            // One endpoint of several may be out alone: it rests while the others serve.
            t.avoid_until = if fails || no_room { self.now + least_aim as Micros } else { 0 };
            t.denied |= outcome == Outcome::ConnectFailed;
            let last = outcome != Outcome::ConnectFailed && !l.calls.values().any(|c| c.target == target);
            let short = t.denied || self.crowded.contains(&l.kind) || seldom && outcome == Outcome::Ok;
            self.out.extend((last && short).then_some(Action::CloseIdle { target }));
        }
        let back = was != self.lanes[lane].gate && matches!(self.lanes[lane].gate, Gate::Ramp { .. });
        back.then(|| self.log(format!("destination of {target} answers again: slow start")));
    }

    /// A destination looks out: nothing but single trials until one is answered.
    fn shut(&mut self, lane: usize) {
        let least_aim = self.least_aim();
        let start = self.now.max(self.lanes[lane].wait_until);
        let (jitter, gap) = (0.5 + self.random(), self.gap(lane, start));
        let l = &mut self.lanes[lane];
        l.evidence.found_out();
        // Where calls were many a wrong verdict costs as many: the first trial tells soon.
        let least = least_aim / 10.0 / l.evidence.many_before();
        let backoff = (2.0 * l.times.mean()).clamp(least, least_aim / 4.0);
        l.gate = Gate::Out { next: start + (backoff.max(gap) * jitter) as Micros, backoff };
        l.window_before = l.window;
        (l.trouble, l.window) = (l.trouble.or(Some(self.now)), 1.0);
        let name = l.targets.first().copied().unwrap_or(0);
        self.out.push(Action::OutageDetected { target: name });
        self.log(format!("destination of {name} looks out: single trials"));
    }

    /// Calls are out far past the usual time and none has been answered since. The next answer opens again.
    fn silent(&self, lane: usize) -> Option<Micros> {
        let l = &self.lanes[lane];
        let (_, oldest) = l.calls.iter().find(|(_, c)| c.sent >= l.last_ok && !c.trial)?;
        let age = (self.now - oldest.sent) as f64;
        let mean = l.times.mean();
        if age > self.patience(l) {
            return Some(oldest.sent);
        }
        let calls = l.calls.values().filter(|c| c.sent >= l.last_ok);
        let waited: f64 = calls.map(|c| (self.now - c.sent) as f64).sum();
        let unlikely = (l.times.tau > 0.0) && waited > SILENCE_MEANS * mean && age > 3.0 * mean;
        unlikely.then_some(oldest.sent)
    }

    /// Age at which a call is past all that is usual; longer where little has been answered yet.
    fn patience(&self, l: &Lane) -> f64 {
        let (t, long) = (&l.times, l.times.longest());
        match t.tau > 0.0 {
            true => (1.25 * long).max(4.0 * t.mean()),
            false => (3.0 * long).max(self.least_aim()),
        }
    }

    /// Whether a lane takes a call now, and whether as a trial; if not, when to look again.
    fn can_call(&mut self, lane: usize, cap: u32) -> Result<bool, Micros> {
        let (own, aim, draw) = (self.share(lane), self.least_aim(), self.placed(self.now));
        let usual = self.patience(&self.lanes[lane]) as Micros;
        if self.stopping.is_some_and(|by| self.now + usual > by) {
            return Err(Micros::MAX); // it would be cut off, and may have run
        }
        let r = &self.s.rules;
        let l = &mut self.lanes[lane];
        let (mut rate, mut depth) = (l.pace, (l.pace / 2.0).max(1.0));
        let start = if let Gate::Out { next, .. } = l.gate { next } else { 0 }.max(l.wait_until);
        if start > self.now {
            return Err(start);
        }
        if let Gate::Ramp { since } = l.gate {
            // This sender's part of a cautious share of what would push it over, rising over the ramp. Does
            // harm where the destination was not cold.
            let part = ((self.now - since) as f64 / r.slow_start_time.max(1) as f64).min(1.0);
            let warm = r.cold_capacity_share + (1.0 - r.cold_capacity_share) * part;
            // What it served lately it can do, also where clients come less often meanwhile.
            let own = own.max(if l.before > MANY && l.part <= 0.0 { l.before } else { 0.0 });
            let capacity = own.max(l.limit.max(LEAST_TOGETHER) / f64::from(self.s.senders.max(1)));
            (rate, depth) = (capacity * warm * r.overload_factor.max(1.0) * RAMP_CAUTION, 1.0);
        }
        let refill =
            if rate > 0.0 { rate * self.now.saturating_sub(l.filled) as f64 / SECOND } else { f64::MAX };
        l.tokens = (l.tokens + refill).min(depth);
        l.rested_in_fleet(rate, aim, draw, self.now);
        l.filled = self.now;
        match l.gate {
            Gate::Out { .. } => Ok(true),
            _ if rate > 0.0 && l.tokens < 1.0 => {
                Err(self.now + ((1.0 - l.tokens) / rate.max(1e-9) * SECOND) as Micros + 1)
            }
            _ if (l.calls.len() as u32) < (l.window as u32).min(cap).max(1) => Ok(false),
            _ => Err(Micros::MAX),
        }
    }

    /// The most urgent of a queue's oldest and the oldest whose worth still falls: by what an aim more loses.
    fn candidate(&self, class: usize, set: &BTreeSet<(Micros, MessageId)>) -> Option<(f64, MessageId)> {
        let c = &self.s.classes[class];
        let floor = match self.s.decay {
            Decay::Linear => c.deadline,
            Decay::Halving => c.aim + (c.aim as f64 * -c.late_value.max(0.01).log2()) as Micros,
        };
        let falling = set.range((self.now.saturating_sub(floor), 0)..).next();
        let both = set.first().into_iter().chain(falling);
        let urgency = |born: Micros| {
            let (age, aim) = (self.now.saturating_sub(born) as f64, c.aim as f64);
            self.value(class, age) - self.value(class, age + aim) + 1e-6 * age / aim.max(1.0)
        };
        both.map(|(born, id)| (urgency(*born), *id)).max_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// The best endpoint of a lane: not one that failed, few calls in flight.
    fn endpoint(&self, lane: usize, zone: Option<u32>) -> Option<TargetId> {
        let l = &self.lanes[lane];
        let all = l.targets.iter().map(|id| (id, &self.targets[id]));
        let usable = all.filter(|(_, t)| t.state == EndpointState::Ready && zone.is_none_or(|z| z == t.zone));
        let patience = self.patience(l);
        let best = usable.min_by_key(|(id, t)| {
            // An endpoint that sits on a call past all that is usual is silent, though the others answer.
            let stuck = |c: &Call| c.target == **id && (self.now - c.sent) as f64 > patience;
            let avoid = t.avoid_until > self.now || l.calls.values().any(stuck);
            // Among the idlest any: the first of a list, or the one used last, is the same for all senders.
            let calls = l.calls.values().filter(|c| c.target == **id).count();
            (avoid, calls, self.drawn(u64::from(**id)))
        });
        best.map(|(id, _)| *id)
    }

    /// The best send for one destination now: urgency, message, lane, endpoint, trial.
    fn best_send(&mut self, dest: DestinationId) -> Option<Pick> {
        let d = self.destinations.get(&dest)?;
        let share = (f64::from(self.s.slots) * DESTINATION_SHARE) as u32;
        let cap = share.min(d.slots.unwrap_or(share)).max(1);
        let calls: usize = d.lanes.iter().map(|l| self.lanes[*l].calls.len()).sum();
        if calls as u32 >= cap || d.ready.is_empty() {
            return None;
        }
        let mut open = Vec::new();
        for lane in d.lanes.clone() {
            match self.can_call(lane, cap) {
                Ok(trial) => open.push((lane, trial)),
                Err(at) => self.wake_at = self.wake_at.min(at),
            }
        }
        let d = self.destinations.get(&dest)?;
        let fee_of = |lane: usize| self.lanes[lane].fee;
        let usable = |l: &&usize| self.lanes[**l].gate == Gate::Open && self.endpoint(**l, None).is_some();
        let least_fee = d.lanes.iter().filter(usable).map(|l| fee_of(*l)).fold(f64::INFINITY, f64::min);
        let worth = self.s.classes.iter().map(|c| c.worth).sum::<f64>() / self.s.classes.len() as f64;
        let mut best: Option<Pick> = None;
        for ((class, bound), set) in &d.ready {
            let Some((urgency, id)) = self.candidate(*class, set) else { continue };
            let (m, retry) = (&self.messages[&id], bound & RETRY != 0);
            let unsafe_now = self.s.classes[*class].effect == Effect::Once;
            let mut choice: Option<((f64, f64), usize, TargetId, bool)> = None;
            for (lane, trial) in &open {
                let l = &self.lanes[*lane];
                // First tries before retries, where these have used up their part.
                if retry && l.retries < 1.0 {
                    continue;
                }
                // Unsafe messages are lost by an attempt without an answer: they stay away from what fails
                // or is silent, but make a trial when nothing else has for an aim.
                // What has failed a part of its calls for an aim goes on to: waiting longer gains nothing.
                let aim = self.s.classes[*class].aim;
                let lossy = l.evidence.is_lossy() && !l.evidence.stays_lossy(self.now, aim);
                let risky = l.may_have_run && (*trial || lossy);
                let lately = lossy && self.now < l.judged + aim;
                if unsafe_now && risky && (self.now < m.born + aim || lately) {
                    continue;
                }
                let over = fee_of(*lane) - least_fee;
                if over > 0.0 && urgency < over * worth && self.now < m.born + aim / 2 {
                    continue;
                }
                let zone = (bound & !RETRY).checked_sub(1);
                let Some(target) = self.endpoint(*lane, zone) else { continue };
                let busy = l.calls.len() as f64 / l.window.max(1.0) + f64::from(u8::from(*trial));
                let load = (over.max(0.0), busy);
                if choice.is_none_or(|c| load < c.0) {
                    choice = Some((load, *lane, target, *trial));
                }
            }
            if let Some((_, lane, target, trial)) = choice {
                let rank = if trial && unsafe_now { urgency - self.s.classes[*class].worth } else { urgency };
                if best.is_none_or(|b| rank > b.0) {
                    best = Some((rank, id, lane, target, trial));
                }
            }
        }
        best
    }

    /// Carries out one send; `call` joins the call that is being filled.
    fn send(&mut self, id: MessageId, lane: usize, target: TargetId, trial: bool, call: Option<u64>) -> u64 {
        let (jitter, longest) = (1.0 + TAU_JITTER * self.random(), self.least_aim() / 2.0);
        self.dequeue(id);
        let gap = self.gap(lane, self.now);
        let call = call.unwrap_or_else(|| {
            self.next_call += 1;
            self.calls_out += 1;
            let l = &mut self.lanes[lane];
            l.tokens -= 1.0;
            l.calls.insert(self.next_call, Call { target, sent: self.now, trial, ..Call::default() });
            if let Gate::Out { backoff, .. } = l.gate {
                let next = self.now + (backoff.max(gap) * jitter) as Micros;
                l.gate = Gate::Out { next, backoff: (backoff * 1.3).min(longest) };
            }
            self.next_call
        });
        let (first, saved) = (self.messages.get(&id).is_some_and(|m| m.attempts.is_empty()), self.s.slots);
        let off = self.messages.get(&id).map_or(0, |m| self.called_off(m));
        let l = &mut self.lanes[lane];
        let part = if first { RETRY_SHARE } else { -1.0 };
        l.retries = (l.retries + part).clamp(0.0, RETRY_SAVED.max(f64::from(saved)));
        let zone = self.targets.get(&target).map_or(0, |t| t.zone);
        let Some(m) = self.messages.get_mut(&id) else { return call };
        let c = &self.s.classes[m.class];
        let tau = (l.times.tau * jitter) as Micros;
        let again = match c.effect {
            Effect::Repeatable => true,
            Effect::Keyed => {
                self.now + tau + 2 * self.s.tick < m.ran.map_or(self.now, |r| r.0) + c.dedup_window
            }
            Effect::Once => false,
        };
        let last = m.attempts.len() + 1 >= self.s.max_attempts as usize;
        // The lesser of τ and the time left; the time left where no resend may follow.
        let planned =
            again && !last && l.times.tau > 0.0 && (l.budget > 0.0 || trial) && self.now + tau < m.expires;
        let until = if planned { self.now + tau } else { off };
        m.ran.get_or_insert((self.now, zone));
        let number = m.attempts.len() as u32;
        l.calls.get_mut(&call).into_iter().for_each(|c| c.messages.push((id, number)));
        m.attempts.push(Attempt { target, call, planned, done: None });
        self.out.push(Action::Send { id, target, until });
        call
    }

    /// Fills a call further, where the destination takes several messages in one. A trial goes alone.
    fn fill(&mut self, dest: DestinationId, lane: usize, target: TargetId, call: u64) {
        let batch = self.s.max_batch.get(self.lanes[lane].kind).copied().unwrap_or(1);
        let zone = self.targets.get(&target).map_or(0, |t| t.zone + 1);
        for _ in 1..batch {
            let Some(d) = self.destinations.get(&dest) else { return };
            let open = d.ready.iter().filter(|((_, z), _)| z & !RETRY == 0 || z & !RETRY == zone);
            let next = open.filter_map(|((c, _), set)| self.candidate(*c, set));
            let Some((_, id)) = next.max_by(|a, b| a.0.total_cmp(&b.0)) else { return };
            let (m, l) = (&self.messages[&id], &self.lanes[lane]);
            let unsafe_now = self.s.classes[m.class].effect == Effect::Once;
            if !self.allowed(m).0 || (unsafe_now && l.may_have_run && l.evidence.is_lossy()) {
                return;
            }
            self.send(id, lane, target, false, Some(call));
        }
    }

    /// Chooses what is sent now. Call it once after the last event of a moment.
    pub fn decide(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.now = now;
        while let Some((_, id)) = self.agenda.first().copied().filter(|(at, _)| *at <= now) {
            self.agenda.pop_first();
            let Some(m) = self.messages.get(&id) else { continue };
            match self.give_up_at(m.expires) > now {
                true => self.enqueue(id),
                false if m.attempts.iter().all(|a| a.done.is_some()) => self.give_up(id),
                false => {}
            }
        }
        self.wake_at = Micros::MAX;
        (self.now >= self.upkeep_at).then(|| self.upkeep());
        let ready: Vec<DestinationId> =
            self.destinations.iter().filter(|(_, d)| !d.ready.is_empty()).map(|(id, _)| *id).collect();
        let mut best: Vec<_> = ready.into_iter().filter_map(|d| Some((d, self.best_send(d)?))).collect();
        while self.calls_out < self.s.slots {
            let top = (0..best.len()).max_by(|a, b| best[*a].1 .0.total_cmp(&best[*b].1 .0));
            let Some(i) = top else { break };
            let (dest, (_, id, lane, target, trial)) = best[i];
            let m = &self.messages[&id];
            let left = self.called_off(m).saturating_sub(self.now) as f64;
            // A keyed message whose window has lapsed while it was held may not go either.
            if !self.allowed(m).0 || left < self.lanes[lane].times.least() {
                self.give_up(id);
            } else {
                let call = self.send(id, lane, target, trial, None);
                (!trial).then(|| self.fill(dest, lane, target, call));
            }
            match self.best_send(dest) {
                Some(next) => best[i].1 = next,
                None => drop(best.swap_remove(i)),
            }
        }
        let waiting = self.destinations.values_mut().filter(|d| !d.ready.is_empty());
        waiting.for_each(|d| d.behind = d.behind.or(Some(now)));
        self.blocked = !best.is_empty();
        let next = self.agenda.first().map_or(Micros::MAX, |a| a.0);
        let at = self.upkeep_at.min(self.wake_at).min(next);
        if at < self.armed {
            self.armed = at;
            self.out.push(Action::Timer { after: at.saturating_sub(self.now).max(1), token: 0 });
        }
        out.append(&mut self.out);
    }

    /// Timer work over the lanes: ageing, τ, rates, silence.
    fn upkeep(&mut self) {
        self.upkeep_at = self.now + UPKEEP;
        self.turns.retain(|_, (line, rest)| !line.is_empty() || *rest > self.now);
        let keep = 0.5f64.powf(UPKEEP as f64 / self.longest_deadline());
        self.span = self.span * keep + UPKEEP as f64 / SECOND;
        for lane in 0..self.lanes.len() {
            let l = &mut self.lanes[lane];
            l.times.age(keep);
            l.heat *= keep;
            // A resend throws work away and does it again: its cost c is a mean answer.
            (l.times.answers >= WARM_UP).then(|| l.times.retune(l.times.mean()));
            l.steady += STEADY_WEIGHT * (l.rate - l.steady);
            l.before = (l.before * keep).max(l.rate);
            l.rate *= RATE_KEEP;
            l.out += OUT_WEIGHT * (l.calls.len() as f64 - l.out);
            l.retries = l.retries.max((l.retries + RETRY_UPKEEP).min(RETRY_SAVED));
            l.pace += if l.pace > 0.0 && l.limit <= 0.0 { PACE_RISE * (l.pace + 0.5) } else { 0.0 };
            if matches!(l.gate, Gate::Ramp { since } if self.now > since + self.s.rules.slow_start_time) {
                l.gate = Gate::Open;
            }
            let out = matches!(l.gate, Gate::Out { .. });
            if let Some(since) = self.silent(lane).filter(|_| !out) {
                let l = &mut self.lanes[lane];
                (l.may_have_run, l.trouble) = (true, l.trouble.or(Some(since)));
                self.shut(lane);
            }
        }
        self.release();
        self.forget();
    }

    /// Takes back slots from calls past all that is usual, whatever leaves them without an end, so that one
    /// silent endpoint does not hold up the others. Where the destination is out, what may be repeated at
    /// will goes at once; the rest a few at a time while a send is blocked. Harms very late answers.
    fn release(&mut self) {
        let mut few = if self.blocked { self.s.slots.div_ceil(16) } else { 0 };
        for lane in 0..if self.s.may_cancel { self.lanes.len() } else { 0 } {
            let patience = self.patience(&self.lanes[lane]);
            let silent = matches!(self.lanes[lane].gate, Gate::Out { .. }) && self.lanes[lane].may_have_run;
            let old = |c: &&mut Call| !c.given_up && (self.now - c.sent) as f64 > patience;
            for c in self.lanes[lane].calls.values_mut().filter(old) {
                let repeatable = |m: &Message| self.s.classes[m.class].effect == Effect::Repeatable;
                let free =
                    silent && c.messages.iter().all(|m| self.messages.get(&m.0).is_some_and(repeatable));
                if free || few > 0 {
                    (few, c.given_up) = (few - u32::from(!free), true);
                    let off = c.messages.iter().map(|(id, n)| Action::Cancel { id: *id, attempt: *n });
                    self.out.extend(off);
                }
            }
        }
    }
}

impl Lane {
    /// Messages a second that it serves while more are ready, 0 where too little is known: what it has served
    /// lately, and a dip of a second is none; or by Little's law what it has out, or its pace.
    fn serves(&self) -> f64 {
        let served = 1.0 - self.evidence.share();
        let little = self.out * served / self.times.mean().max(1.0) * SECOND;
        let known = self.times.answers >= WARM_UP && !matches!(self.gate, Gate::Out { .. });
        f64::from(u8::from(known)) * self.rate.max(self.steady).max(little).max(self.pace * served)
    }

    /// Halves the window, once for all calls that were out together.
    fn halve(&mut self, sent: Micros, now: Micros) -> bool {
        let due = self.halved <= sent;
        if due {
            (self.window, self.halved) = ((self.window / 2.0).max(1.0), now);
        }
        due
    }

    /// A known limit starts the pace at an even part, where that is more than chance brings within an aim.
    /// When it moves by far, the pace keeps its part of it: by steps for each served call it would take up to
    /// a minute to come back from a limit that was low for some seconds.
    fn limit_is(&mut self, rate: f64, senders: u32, aim: f64) {
        let even = rate / f64::from(senders.max(1));
        self.part = if senders >= LARGE_FLEET { even } else { 0.0 };
        if self.limit <= 0.0 {
            self.pace = if self.part > 0.0 || even * aim > 3.0 { even } else { 0.0 };
        } else if self.part > 0.0 || rate > LIMIT_MOVES * self.limit || self.limit > LIMIT_MOVES * rate {
            self.pace *= rate / self.limit;
        }
        self.limit = rate;
    }
}

#[path = "draws.rs"]
mod draws;
#[path = "figures.rs"]
mod figures;
#[path = "listed.rs"]
mod listed;
#[path = "queues.rs"]
mod queues;
#[path = "view.rs"]
mod view;

#[cfg(test)]
#[path = "scheduler_tests.rs"]
mod tests;
