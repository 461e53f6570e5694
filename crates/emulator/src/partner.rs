//! A partner: a limit that belongs to all forwarders together, endpoints with servers and a queue, random failures, outages
//! after which it is cold. Nothing here is told to forwarders but answers.

use crate::policy::{AttemptOutcome, LimitReport, SlowStart};
use crate::world::{PartnerConfig, TroubleKind, World};
use crate::{Micros, SECOND};
use rand::rngs::SmallRng;
use rand::RngExt;
use rand_distr::{Distribution, Exp};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// How a call that arrives ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallResult {
    /// How its answer reads; none if none ever leaves.
    pub outcome: Option<AttemptOutcome>,
    /// When the answer leaves.
    pub at: Micros,
    /// The wait that it tells, 0 for none.
    pub wait: Micros,
    /// What it tells of the limit.
    pub limit_report: Option<LimitReport>,
    /// The message takes effect.
    pub effect: bool,
}

/// Something that takes calls at a limit.
#[derive(Clone, Debug)]
enum Limit {
    None,
    /// A bucket that fills at the rate, and what was in it when it was looked at last.
    Rate {
        saves: f64,
        left: f64,
        at: Micros,
    },
    /// A count in spans.
    Count {
        span: Micros,
        number: u64,
        came: f64,
    },
}

/// One partner, as it is.
pub struct Partner<'a> {
    line: &'a PartnerConfig,
    world: &'a World,
    slow_start: SlowStart,
    random: SmallRng,
    limit: Limit,
    /// Busy servers of each endpoint, by when they are free.
    endpoints: Vec<BinaryHeap<Reverse<Micros>>>,
    /// What was told of the limit last, and when.
    seen: (Micros, f64),
    /// When it came back from its last outage, and whether it has fallen over since.
    back: Option<Micros>,
    down_until: Micros,
    out: bool,
    /// Arrivals of late, while it is cold.
    lately: VecDeque<Micros>,
    /// How often it was pushed over.
    pub overloaded: u64,
}

impl<'a> Partner<'a> {
    /// A partner of a world, warm.
    pub fn new(line: &'a PartnerConfig, world: &'a World, random: SmallRng) -> Partner<'a> {
        let saves = (line.limit * line.saves as f64 / 1e6).max(1.0);
        let limit = match () {
            () if line.limit <= 0.0 => Limit::None,
            () if line.window > 0 => Limit::Count { span: line.window, number: 0, came: 0.0 },
            () => Limit::Rate { saves, left: saves, at: 0 },
        };
        Partner {
            line,
            world,
            slow_start: world.slow_start(),
            random,
            limit,
            endpoints: vec![BinaryHeap::new(); line.endpoints as usize],
            seen: (0, 1.0),
            back: None,
            down_until: 0,
            out: false,
            lately: VecDeque::new(),
            overloaded: 0,
        }
    }

    /// Calls a second that its limit allows now.
    fn rate(&self, now: Micros) -> f64 {
        self.line.limit * self.world.trouble(now, TroubleKind::Limit, &self.line.name).unwrap_or(1.0)
    }

    /// Part of its capacity that it has now.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(back) = self.back else { return 1.0 };
        let part = (now - back) as f64 / self.slow_start.duration as f64;
        (self.slow_start.initial_share + (1.0 - self.slow_start.initial_share) * part).min(1.0)
    }

    /// Takes one call from the limit: whether there was room, and what share is left.
    fn draw(&mut self, now: Micros) -> (bool, f64) {
        let rate = self.rate(now);
        let use_up = self.line.refused_use_up;
        match &mut self.limit {
            Limit::None => (true, 1.0),
            Limit::Rate { saves, left, at } => {
                *left = (*left + rate * (now - *at) as f64 / 1e6).min(*saves);
                *at = now;
                let room = *left >= 1.0;
                if room || use_up {
                    // What refused calls use up they owe for no longer than the bucket lasts.
                    *left = (*left - 1.0).max(-*saves);
                }
                (room, (*left / *saves).max(0.0))
            }
            Limit::Count { span, number, came } => {
                let most = rate * *span as f64 / 1e6;
                if now / *span != *number {
                    (*number, *came) = (now / *span, 0.0);
                }
                let room = *came + 1.0 <= most;
                if room || use_up {
                    *came += 1.0;
                }
                (room, (1.0 - *came / most.max(1.0)).max(0.0))
            }
        }
    }

    /// When there is room again, as a refusal tells it.
    fn told_wait(&mut self, now: Micros) -> Micros {
        if self.random.random::<f64>() >= self.line.tells {
            return 0;
        }
        match self.limit {
            Limit::Count { span, .. } => (now / span + 1) * span - now,
            _ => self.random.random_range(self.line.wait.0..=self.line.wait.1),
        }
    }

    fn limit_report(&mut self, now: Micros, left: f64) -> Option<LimitReport> {
        let silent = self.world.trouble(now, TroubleKind::Silent, &self.line.name).is_some();
        if self.line.report == 0 || self.line.limit <= 0.0 || silent {
            return None;
        }
        if now >= self.seen.0 + self.line.report {
            self.seen = (now, left);
        }
        Some(LimitReport { share_left: self.seen.1, rate: self.rate(now) })
    }

    /// How long a call takes once a server has begun it.
    fn work(&mut self, now: Micros) -> Micros {
        let line = self.line;
        let span = match line.takes {
            Some((least, most)) => {
                let (least, most) = ((least.max(1) as f64).ln(), (most.max(1) as f64).ln());
                (least + (most - least) * self.random.random::<f64>()).exp()
            }
            None if line.exponential > 0 => {
                // The rate is positive: the file is checked.
                Exp::new(1.0 / line.exponential as f64).map_or(0.0, |exp| exp.sample(&mut self.random))
            }
            None => line.fixed as f64,
        };
        let slow = self.world.trouble(now, TroubleKind::Slow, &line.name).unwrap_or(1.0);
        (span * slow / self.warmth(now)) as Micros
    }

    /// A call arrives at an endpoint.
    pub fn receive_call(&mut self, now: Micros, endpoint: usize) -> CallResult {
        let out = self.world.trouble(now, TroubleKind::Out, &self.line.name).is_some();
        if self.out && !out {
            (self.back, self.down_until) = (Some(now), 0);
            self.lately.clear();
            self.endpoints.iter_mut().for_each(BinaryHeap::clear);
        }
        self.out = out;
        let nothing = CallResult { outcome: None, at: now, wait: 0, limit_report: None, effect: false };
        if out || now < self.down_until {
            return nothing;
        }
        if self.tips(now) {
            self.overloaded += 1;
            self.down_until = Micros::MAX;
            return nothing;
        }
        let (room, left) = self.draw(now);
        let limit_report = self.limit_report(now, left);
        let busy = &mut self.endpoints[endpoint];
        while busy.peek().is_some_and(|Reverse(free)| *free <= now) {
            busy.pop();
        }
        let full = busy.len() >= (self.line.servers + self.line.queue) as usize;
        if !room || full {
            let wait = if room { 0 } else { self.told_wait(now) };
            return CallResult {
                outcome: Some(AttemptOutcome::Rejected),
                at: now,
                wait,
                limit_report,
                effect: false,
            };
        }
        let chance: f64 = self.random.random();
        if chance < self.line.refuses {
            return CallResult {
                outcome: Some(AttemptOutcome::Rejected),
                at: now,
                wait: 0,
                limit_report,
                effect: false,
            };
        }
        let work = self.work(now);
        let busy = &mut self.endpoints[endpoint];
        // As many leave before it begins as are in the way of a free server.
        let ahead = (busy.len() + 1).saturating_sub(self.line.servers as usize);
        let begins = if ahead == 0 { now } else { nth_free(busy, ahead) };
        let at = begins + work;
        busy.push(Reverse(at));
        let chance = chance - self.line.refuses;
        let (outcome, effect) = match () {
            () if chance < self.line.fails => (AttemptOutcome::Failed, false),
            () if chance < self.line.fails + self.line.resets => (AttemptOutcome::Reset, true),
            () => (AttemptOutcome::Delivered, true),
        };
        CallResult { outcome: Some(outcome), at, wait: 0, limit_report, effect }
    }

    /// Whether what has come of late is more than it stands while it is cold.
    fn tips(&mut self, now: Micros) -> bool {
        let Some(back) = self.back.filter(|back| now < *back + self.slow_start.duration) else {
            return false;
        };
        self.lately.push_back(now);
        while self.lately.front().is_some_and(|at| *at + self.slow_start.overload_duration < now) {
            self.lately.pop_front();
        }
        let capacity = match self.line.limit {
            limit if limit > 0.0 => limit,
            _ => self.capacity(),
        };
        let bears = self.slow_start.overload_factor
            * capacity
            * self.warmth(now)
            * self.slow_start.overload_duration as f64
            / 1e6;
        now >= back + self.slow_start.overload_duration && self.lately.len() as f64 > bears.max(4.0)
    }

    /// Calls a second that its servers can do.
    fn capacity(&self) -> f64 {
        let line = self.line;
        let mean = match line.takes {
            Some((least, most)) if most > least => {
                (most - least) as f64 / (most.max(1) as f64 / least.max(1) as f64).ln()
            }
            Some((least, _)) => least as f64,
            None => (line.exponential + line.fixed) as f64,
        };
        f64::from(line.servers) * f64::from(line.endpoints) * SECOND as f64 / mean.max(1.0)
    }
}

/// When so many of those that are busy have left.
fn nth_free(busy: &BinaryHeap<Reverse<Micros>>, count: usize) -> Micros {
    let mut all: Vec<Micros> = busy.iter().map(|Reverse(at)| *at).collect();
    let (_, at, _) = all.select_nth_unstable(count - 1);
    *at
}
