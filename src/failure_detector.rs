//! Whether a destination is out, lossy or sound: a verdict from how its calls end and how fast they do. No
//! clock of its own, no I/O; `docs/design/health.md` derives the constants.

use crate::interface::Micros;

/// The verdict is a cumulative sum (Page 1954) of log-likelihood ratios: "seven in ten calls fail" against
/// "three in ten do". Both ways a step is ln(0.7/0.3), so that it is counted in steps: up for a failure,
/// down for an answer, not below 0. So many steps are a verdict where calls are few: three failures in a
/// row.
const STEPS: f64 = 3.0;
/// Calls a second up to which they are few, and steps more for each e-fold beyond: a false verdict may come
/// once in so much time, not once in so many calls, and a true one costs no more time for it.
const FEW: f64 = 10.0;
const STEPS_MORE: f64 = 2.0;
/// Steps beyond the verdict that are remembered: so many more answers it takes to take it back.
const KEPT_BEYOND: f64 = 2.0;
/// Failures of one round of calls that count whole. Calls that were out together share causes (a restart, a
/// broken line): the n-th counts this part of n.
const TOGETHER: f64 = 3.0;
/// Weight of one outcome in the smoothed share of failures where calls are few; beyond, it spans half a
/// second.
const WEIGHT: f64 = 0.22;
/// The same for an answer that can't be read: the endpoint takes and answers calls, only a run of them
/// means trouble.
const SPOILT_WEIGHT: f64 = 0.1;
/// Share of failures above which a destination is lossy.
const LOSSY: f64 = 0.2;
/// Span over which the rate of outcomes is smoothed, and over which a share that was found not to come from
/// load is forgotten by half, in microseconds.
const RATE_SPAN: f64 = 2e6;
const TOLERATED_FOR: f64 = 2e7;
/// A cut of the window has helped if the share has fallen below this part of what it was; a share above
/// what is tolerated by this factor and this much is news. More than the last is never put down to chance.
const HELPED: f64 = 0.75;
/// Failures that are to be expected in a trial of a smaller window before it tells: their number is known
/// to a third then. Where they take longer than this, in microseconds, it ends without telling.
const TOLD_BY: f64 = 12.0;
const TRIAL: Micros = 2_000_000;
/// A share that has grown by this factor in a trial ends it.
const SURGE: f64 = 2.0;
const NEWS: (f64, f64) = (1.5, 0.03);
const MOST_TOLERATED: f64 = 0.5;

/// What the ends of a destination's calls say.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    walk: f64,
    share: f64,
    /// Outcomes a second, when it was last brought up to date.
    rate: f64,
    at: Micros,
    /// The same when it was last found to be out.
    rate_before: f64,
    /// When the first failure of the latest round ended, and how many there have been in it.
    round: Micros,
    in_round: f64,
    last_failure: Option<Micros>,
    lossy_since: Option<Micros>,
    /// A share of failures that does not depend on the window, as far as cuts have told.
    tolerated: f64,
    trial: Option<Trial>,
}

/// A smaller window on trial.
#[derive(Clone, Copy, Debug)]
struct Trial {
    /// Share of failures before.
    before: f64,
    /// Calls before this had been sent already, and say nothing.
    since: Micros,
    /// Calls since, and those of them that failed.
    calls: f64,
    failed: f64,
}

impl Evidence {
    /// Outcomes a second.
    fn rate(&self, now: Micros) -> f64 {
        self.rate * (-(now.saturating_sub(self.at) as f64) / RATE_SPAN).exp()
    }

    /// How many times more calls there are than few.
    fn many(&self, now: Micros) -> f64 {
        (self.rate(now) / FEW).max(1.0)
    }

    fn verdict(&self, now: Micros) -> f64 {
        STEPS + STEPS_MORE * self.many(now).ln()
    }

    fn count(&mut self, sent: Micros, now: Micros, failed: f64, weight: f64) {
        let part = weight / self.many(now);
        (self.rate, self.at) = (self.rate(now) + 1e6 / RATE_SPAN, now);
        self.share += (failed - self.share) * part;
        self.lossy_since = (self.share > LOSSY).then(|| self.lossy_since.unwrap_or(now));
        self.tolerated *= 0.5f64.powf(1e6 / TOLERATED_FOR / self.rate.max(0.1));
        let Some(trial) = self.trial.as_mut().filter(|t| sent >= t.since) else { return };
        (trial.calls, trial.failed) = (trial.calls + 1.0, trial.failed + failed);
        if trial.calls * trial.before >= TOLD_BY {
            // Fewer calls at once, and as many of them fail: it is not the load.
            let share = trial.failed / trial.calls;
            if share > HELPED * trial.before {
                self.tolerated = self.tolerated.max(share).min(MOST_TOLERATED);
            }
            self.trial = None;
        }
    }

    /// A call was answered: it can be reached, and does its work.
    pub fn answered(&mut self, sent: Micros, now: Micros) {
        self.walk = (self.walk - 1.0).max(0.0);
        self.count(sent, now, 0.0, WEIGHT);
    }

    /// An answer could not be read.
    pub fn spoilt(&mut self, now: Micros) {
        self.count(now, now, 1.0, SPOILT_WEIGHT);
    }

    /// A call that was sent at `sent` has failed.
    pub fn failed(&mut self, sent: Micros, now: Micros) {
        if sent >= self.round {
            (self.round, self.in_round) = (now, 0.0);
        }
        self.in_round += 1.0;
        self.last_failure = Some(now);
        let step = (TOGETHER / self.in_round).min(1.0);
        self.walk = (self.walk + step).min(self.verdict(now) + KEPT_BEYOND);
        self.count(sent, now, 1.0, WEIGHT);
    }

    /// Most calls fail, beyond what chance brings in the time.
    pub fn is_out(&self, now: Micros) -> bool {
        self.walk >= self.verdict(now)
    }

    /// It was found to be out: from now on there are few calls, and few answers take the verdict back.
    pub fn found_out(&mut self) {
        self.rate_before = self.rate;
        (self.walk, self.rate) = (self.walk.min(STEPS + KEPT_BEYOND), self.rate.min(FEW));
    }

    /// How many times more calls there were than few when it was found to be out.
    pub fn many_before(&self) -> f64 {
        (self.rate_before / FEW).max(1.0)
    }

    /// It never was: its calls are as many as before, and count so.
    pub fn was_never_out(&mut self, now: Micros) {
        (self.rate, self.at, self.walk) = (self.rate_before.max(self.rate(now)), now, 0.0);
    }

    /// Smoothed share of failures, 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// How much there is of the evidence that the verdict "out" takes: 1 and it stands.
    pub fn towards_out(&self, now: Micros) -> f64 {
        self.walk / self.verdict(now)
    }

    /// When a call failed last.
    pub fn last_failure(&self) -> Option<Micros> {
        self.last_failure
    }

    /// Since when many calls fail.
    pub fn lossy_since(&self) -> Option<Micros> {
        self.lossy_since
    }

    /// Many calls fail.
    pub fn is_lossy(&self) -> bool {
        self.lossy_since.is_some()
    }

    /// Whether it has been lossy for longer than a span, by many calls: it will not be otherwise soon.
    pub fn stays_lossy(&self, now: Micros, span: Micros) -> bool {
        self.many(now) > 1.0 && self.lossy_since.is_some_and(|since| now >= since + span)
    }

    /// Whether a failure calls for fewer calls at once. Where calls are few each one does. Where they are
    /// many, a cut is a trial: if as many fail afterwards, load is not what makes them fail, and that share
    /// alone asks for no more cuts.
    pub fn asks_for_cut(&mut self, now: Micros) -> bool {
        if self.many(now) <= 1.0 {
            return true;
        }
        self.trial = self.trial.filter(|t| now < t.since + TRIAL);
        let news = self.share > NEWS.0 * self.tolerated + NEWS.1 || self.share > MOST_TOLERATED;
        let asks = news && self.trial.is_none_or(|t| self.share > SURGE * t.before);
        if asks {
            self.trial = Some(Trial { before: self.share, since: now, calls: 0.0, failed: 0.0 });
        }
        asks
    }

    /// Whether a smaller window is on trial: it must not grow before that has told something.
    pub fn on_trial(&self, now: Micros) -> bool {
        self.trial.is_some_and(|t| now < t.since + TRIAL)
    }
}

#[cfg(test)]
#[path = "failure_detector_tests.rs"]
mod tests;
