//! The model of a partner: a rate limit shared by all forwarders, endpoints with servers and a queue, random failures, and
//! outages followed by a slow start. Forwarders see nothing of it except the answers to their calls.

use crate::policy::{AttemptOutcome, LimitReport, SlowStart};
use crate::world::{PartnerConfig, TroubleKind, World};
use crate::{Micros, SECOND};
use rand::rngs::SmallRng;
use rand::RngExt;
use rand_distr::{Distribution, Exp};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// The partner's handling of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallResult {
    /// The outcome that the answer states; none if there is no answer.
    pub outcome: Option<AttemptOutcome>,
    /// When the answer is sent.
    pub at: Micros,
    /// The wait that the answer requests, 0 for none.
    pub wait: Micros,
    /// The state of the limit that the answer reports.
    pub limit_report: Option<LimitReport>,
    /// Whether the message takes effect.
    pub effect: bool,
}

/// The state of a rate limit.
#[derive(Clone, Debug)]
enum Limit {
    None,
    /// A token bucket: its capacity, and its content as of the last refill.
    TokenBucket {
        capacity: f64,
        tokens: f64,
        refilled_at: Micros,
    },
    /// A number of calls per fixed window.
    FixedWindow {
        length: Micros,
        index: u64,
        calls: f64,
    },
}

/// The state of a partner.
pub struct Partner<'a> {
    config: &'a PartnerConfig,
    world: &'a World,
    slow_start: SlowStart,
    random: SmallRng,
    limit: Limit,
    /// For each endpoint, when each of its accepted calls ends.
    endpoints: Vec<BinaryHeap<Reverse<Micros>>>,
    /// Time and content of the last measurement of the limit; answers report it.
    last_report: (Micros, f64),
    /// When it came back from its last outage.
    recovered_at: Option<Micros>,
    /// Until when it is down because of overload.
    down_until: Micros,
    /// Whether the last call arrived during an outage.
    out: bool,
    /// Times of recent calls during a slow start.
    recent_calls: VecDeque<Micros>,
    /// How often it went down because of overload during a slow start.
    pub overloaded: u64,
}

impl<'a> Partner<'a> {
    /// A partner of a world, with its full capacity.
    pub fn new(config: &'a PartnerConfig, world: &'a World, random: SmallRng) -> Partner<'a> {
        let capacity = (config.limit * config.saves as f64 / 1e6).max(1.0);
        let limit = match () {
            () if config.limit <= 0.0 => Limit::None,
            () if config.window > 0 => Limit::FixedWindow { length: config.window, index: 0, calls: 0.0 },
            () => Limit::TokenBucket { capacity, tokens: capacity, refilled_at: 0 },
        };
        Partner {
            config,
            world,
            slow_start: world.slow_start(),
            random,
            limit,
            endpoints: vec![BinaryHeap::new(); config.endpoints as usize],
            last_report: (0, 1.0),
            recovered_at: None,
            down_until: 0,
            out: false,
            recent_calls: VecDeque::new(),
            overloaded: 0,
        }
    }

    /// Calls per second that the limit allows now.
    fn rate(&self, now: Micros) -> f64 {
        self.config.limit * self.world.trouble(now, TroubleKind::Limit, &self.config.name).unwrap_or(1.0)
    }

    /// Share of its capacity that the partner has now: below 1 during a slow start.
    pub fn capacity_share(&self, now: Micros) -> f64 {
        let Some(recovered_at) = self.recovered_at else { return 1.0 };
        let progress = (now - recovered_at) as f64 / self.slow_start.duration as f64;
        (self.slow_start.initial_share + (1.0 - self.slow_start.initial_share) * progress).min(1.0)
    }

    /// Charges one call to the limit. Returns whether it was allowed, and the share of the allowance that is left.
    fn charge_limit(&mut self, now: Micros) -> (bool, f64) {
        let rate = self.rate(now);
        let charge_refused = self.config.refused_use_up;
        match &mut self.limit {
            Limit::None => (true, 1.0),
            Limit::TokenBucket { capacity, tokens, refilled_at } => {
                *tokens = (*tokens + rate * (now - *refilled_at) as f64 / 1e6).min(*capacity);
                *refilled_at = now;
                let allowed = *tokens >= 1.0;
                if allowed || charge_refused {
                    // The debt that refused calls build up is bounded by the capacity of the bucket.
                    *tokens = (*tokens - 1.0).max(-*capacity);
                }
                (allowed, (*tokens / *capacity).max(0.0))
            }
            Limit::FixedWindow { length, index, calls } => {
                let max_calls = rate * *length as f64 / 1e6;
                if now / *length != *index {
                    *index = now / *length;
                    *calls = 0.0;
                }
                let allowed = *calls + 1.0 <= max_calls;
                if allowed || charge_refused {
                    *calls += 1.0;
                }
                (allowed, (1.0 - *calls / max_calls.max(1.0)).max(0.0))
            }
        }
    }

    /// The wait that a rejection requests, 0 if it states none.
    fn requested_wait(&mut self, now: Micros) -> Micros {
        if self.random.random::<f64>() >= self.config.tells {
            return 0;
        }
        match self.limit {
            Limit::FixedWindow { length, .. } => (now / length + 1) * length - now,
            _ => self.random.random_range(self.config.wait.0..=self.config.wait.1),
        }
    }

    /// The state of the limit that an answer reports: as of the last measurement, which is repeated every `report`.
    fn limit_report(&mut self, now: Micros, share_left: f64) -> Option<LimitReport> {
        let silent = self.world.trouble(now, TroubleKind::Silent, &self.config.name).is_some();
        if self.config.report == 0 || self.config.limit <= 0.0 || silent {
            return None;
        }
        if now >= self.last_report.0 + self.config.report {
            self.last_report = (now, share_left);
        }
        Some(LimitReport { share_left: self.last_report.1, rate: self.rate(now) })
    }

    /// Draws the processing time of a call.
    fn processing_time(&mut self, now: Micros) -> Micros {
        let config = self.config;
        let time = match config.takes {
            Some((min, max)) => {
                let (min, max) = ((min.max(1) as f64).ln(), (max.max(1) as f64).ln());
                (min + (max - min) * self.random.random::<f64>()).exp()
            }
            None if config.exponential > 0 => {
                // The mean is positive here, so that the distribution is valid.
                Exp::new(1.0 / config.exponential as f64).map_or(0.0, |exp| exp.sample(&mut self.random))
            }
            None => config.fixed as f64,
        };
        let slow_factor = self.world.trouble(now, TroubleKind::Slow, &config.name).unwrap_or(1.0);
        (time * slow_factor / self.capacity_share(now)) as Micros
    }

    /// Handles a call that arrives at an endpoint.
    pub fn receive_call(&mut self, now: Micros, endpoint: usize) -> CallResult {
        let out = self.world.trouble(now, TroubleKind::Out, &self.config.name).is_some();
        if self.out && !out {
            (self.recovered_at, self.down_until) = (Some(now), 0);
            self.recent_calls.clear();
            self.endpoints.iter_mut().for_each(BinaryHeap::clear);
        }
        self.out = out;
        let no_answer = CallResult { outcome: None, at: now, wait: 0, limit_report: None, effect: false };
        if out || now < self.down_until {
            return no_answer;
        }
        if self.is_overloaded(now) {
            self.overloaded += 1;
            self.down_until = Micros::MAX;
            return no_answer;
        }
        let (allowed, share_left) = self.charge_limit(now);
        let limit_report = self.limit_report(now, share_left);
        let busy = &mut self.endpoints[endpoint];
        while busy.peek().is_some_and(|Reverse(end)| *end <= now) {
            busy.pop();
        }
        let queue_full = busy.len() >= (self.config.servers + self.config.queue) as usize;
        if !allowed || queue_full {
            let wait = if allowed { 0 } else { self.requested_wait(now) };
            return CallResult {
                outcome: Some(AttemptOutcome::Rejected),
                at: now,
                wait,
                limit_report,
                effect: false,
            };
        }
        let chance: f64 = self.random.random();
        if chance < self.config.refuses {
            return CallResult {
                outcome: Some(AttemptOutcome::Rejected),
                at: now,
                wait: 0,
                limit_report,
                effect: false,
            };
        }
        let processing_time = self.processing_time(now);
        let busy = &mut self.endpoints[endpoint];
        // Number of accepted calls that must end before a server is free for this one.
        let ahead = (busy.len() + 1).saturating_sub(self.config.servers as usize);
        let starts_at = if ahead == 0 { now } else { nth_end(busy, ahead) };
        let at = starts_at + processing_time;
        busy.push(Reverse(at));
        let chance = chance - self.config.refuses;
        let (outcome, effect) = match () {
            () if chance < self.config.fails => (AttemptOutcome::Failed, false),
            () if chance < self.config.fails + self.config.resets => (AttemptOutcome::Reset, true),
            () => (AttemptOutcome::Delivered, true),
        };
        CallResult { outcome: Some(outcome), at, wait: 0, limit_report, effect }
    }

    /// Whether the recent calls exceed what the partner survives during its slow start.
    fn is_overloaded(&mut self, now: Micros) -> bool {
        let Some(recovered_at) = self.recovered_at.filter(|at| now < *at + self.slow_start.duration) else {
            return false;
        };
        self.recent_calls.push_back(now);
        while self.recent_calls.front().is_some_and(|at| *at + self.slow_start.overload_duration < now) {
            self.recent_calls.pop_front();
        }
        let capacity = match self.config.limit {
            limit if limit > 0.0 => limit,
            _ => self.capacity(),
        };
        let max_calls = self.slow_start.overload_factor
            * capacity
            * self.capacity_share(now)
            * self.slow_start.overload_duration as f64
            / 1e6;
        now >= recovered_at + self.slow_start.overload_duration
            && self.recent_calls.len() as f64 > max_calls.max(4.0)
    }

    /// Calls per second that its servers can process.
    fn capacity(&self) -> f64 {
        let config = self.config;
        let mean = match config.takes {
            Some((min, max)) if max > min => {
                // Mean of a log-uniform distribution.
                (max - min) as f64 / (max.max(1) as f64 / min.max(1) as f64).ln()
            }
            Some((min, _)) => min as f64,
            None => (config.exponential + config.fixed) as f64,
        };
        f64::from(config.servers) * f64::from(config.endpoints) * SECOND as f64 / mean.max(1.0)
    }
}

/// When the `count` earliest of the accepted calls have ended.
fn nth_end(busy: &BinaryHeap<Reverse<Micros>>, count: usize) -> Micros {
    let mut ends: Vec<Micros> = busy.iter().map(|Reverse(at)| *at).collect();
    let (_, at, _) = ends.select_nth_unstable(count - 1);
    *at
}
