//! Failure detector: decides from the outcomes of the calls on a route, and their rate, whether its
//! destination is out, lossy or healthy. No clock, no I/O; `docs/design/health.md` derives the constants.

use crate::interface::Micros;

/// Steps that are a verdict at low call rates: three failures in a row.
///
/// The verdict "out" is a cumulative sum (Page 1954) of log-likelihood ratios of the hypotheses "seven in ten
/// calls fail" and "three in ten calls fail". A failure adds ln(0.7/0.3) and an answer subtracts it, so the
/// sum is counted in such steps. It does not fall below 0.
const OUTAGE_STEPS: f64 = 3.0;
/// Calls a second up to which the rate counts as low.
const LOW_RATE: f64 = 10.0;
/// Additional steps for each factor of e above [`LOW_RATE`]. They bound false verdicts in time instead of in
/// calls, and a true verdict takes no longer for it.
const STEPS_PER_E_FOLD: f64 = 2.0;
/// Steps beyond the verdict that are counted. So many more answers are needed to withdraw it.
const MAX_EXCESS_STEPS: f64 = 2.0;
/// Failures of one round of calls that count in full. Calls that were in flight together share causes, such
/// as a restart or a broken line: the n-th failure counts this number divided by n.
const FULL_FAILURES_PER_ROUND: f64 = 3.0;

/// Weight of one outcome in the smoothed failure share at low call rates. At higher rates the average spans
/// half a second.
const OUTCOME_WEIGHT: f64 = 0.22;
/// Weight of an unreadable response. The endpoint accepts and answers calls, so only a run of them is a
/// problem.
const UNREADABLE_WEIGHT: f64 = 0.1;
/// Failure share above which a destination counts as lossy.
const LOSSY_SHARE: f64 = 0.2;
/// Time constant of the smoothed rate of outcomes, in microseconds.
const RATE_SPAN: f64 = 2e6;
/// Half-life, in microseconds, of a failure share that was found not to depend on the load.
const TOLERATED_HALF_LIFE: f64 = 2e7;

/// A smaller window has helped if the failure share has fallen below this fraction of what it was.
const HELPED: f64 = 0.75;
/// Failures to expect in a trial of a smaller window before it is evaluated: their number is then known to
/// within a third.
const EXPECTED_TRIAL_FAILURES: f64 = 12.0;
/// A trial of a smaller window that takes longer than this, in microseconds, ends without a result.
const MAX_TRIAL_TIME: Micros = 2_000_000;
/// Growth factor of the failure share that ends a trial of a smaller window.
const SURGE: f64 = 2.0;
/// A failure share is new information if it exceeds the tolerated share times the first number plus the
/// second.
const NEW_SHARE: (f64, f64) = (1.5, 0.03);
/// A failure share above this is never attributed to chance.
const MAX_TOLERATED: f64 = 0.5;

/// Failure detector of one route.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureDetector {
    /// The cumulative sum, in steps.
    cusum: f64,
    failure_share: f64,
    /// Outcomes a second, as of `rate_at`.
    rate: f64,
    rate_at: Micros,
    /// The rate of outcomes when an outage was last detected.
    rate_before_outage: f64,
    /// When the first failure of the latest round ended.
    round_started: Micros,
    /// Failures in the latest round.
    round_failures: f64,
    last_failure: Option<Micros>,
    lossy_since: Option<Micros>,
    /// Failure share that does not depend on the window, according to the trials of smaller windows.
    tolerated_share: f64,
    trial: Option<WindowTrial>,
}

/// Trial of a smaller window.
#[derive(Clone, Copy, Debug)]
struct WindowTrial {
    /// Failure share before the trial.
    share_before: f64,
    /// Start of the trial. Calls sent earlier do not count.
    since: Micros,
    /// Outcomes of calls sent since the start.
    calls: f64,
    /// Failures among them.
    failures: f64,
}

impl FailureDetector {
    /// Outcomes a second.
    fn rate(&self, now: Micros) -> f64 {
        self.rate * (-(now.saturating_sub(self.rate_at) as f64) / RATE_SPAN).exp()
    }

    /// Ratio of the call rate to [`LOW_RATE`], at least 1.
    fn rate_factor(&self, now: Micros) -> f64 {
        (self.rate(now) / LOW_RATE).max(1.0)
    }

    /// Steps that are a verdict at the present call rate.
    fn threshold(&self, now: Micros) -> f64 {
        OUTAGE_STEPS + STEPS_PER_E_FOLD * self.rate_factor(now).ln()
    }

    /// Updates the rate, the failure share and the trial of a smaller window with one outcome.
    fn record(&mut self, sent: Micros, now: Micros, failed: f64, weight: f64) {
        let part = weight / self.rate_factor(now);
        (self.rate, self.rate_at) = (self.rate(now) + 1e6 / RATE_SPAN, now);
        self.failure_share += (failed - self.failure_share) * part;
        self.lossy_since = (self.failure_share > LOSSY_SHARE).then(|| self.lossy_since.unwrap_or(now));
        self.tolerated_share *= 0.5f64.powf(1e6 / TOLERATED_HALF_LIFE / self.rate.max(0.1));
        let Some(trial) = self.trial.as_mut().filter(|t| sent >= t.since) else { return };
        (trial.calls, trial.failures) = (trial.calls + 1.0, trial.failures + failed);
        if trial.calls * trial.share_before >= EXPECTED_TRIAL_FAILURES {
            // With fewer calls at once the failure share stays the same: load is not the cause.
            let share = trial.failures / trial.calls;
            if share > HELPED * trial.share_before {
                self.tolerated_share = self.tolerated_share.max(share).min(MAX_TOLERATED);
            }
            self.trial = None;
        }
    }

    /// Records a call that was answered: the destination can be reached and works.
    pub fn record_answer(&mut self, sent: Micros, now: Micros) {
        self.cusum = (self.cusum - 1.0).max(0.0);
        self.record(sent, now, 0.0, OUTCOME_WEIGHT);
    }

    /// Records an unreadable response.
    pub fn record_unreadable(&mut self, now: Micros) {
        self.record(now, now, 1.0, UNREADABLE_WEIGHT);
    }

    /// Records the failure of a call that was sent at `sent`.
    pub fn record_failure(&mut self, sent: Micros, now: Micros) {
        if sent >= self.round_started {
            (self.round_started, self.round_failures) = (now, 0.0);
        }
        self.round_failures += 1.0;
        self.last_failure = Some(now);
        let step = (FULL_FAILURES_PER_ROUND / self.round_failures).min(1.0);
        self.cusum = (self.cusum + step).min(self.threshold(now) + MAX_EXCESS_STEPS);
        self.record(sent, now, 1.0, OUTCOME_WEIGHT);
    }

    /// Whether most calls fail, beyond what chance explains.
    pub fn is_out(&self, now: Micros) -> bool {
        self.cusum >= self.threshold(now)
    }

    /// Notes that an outage was detected. From now on there are few calls, and few answers withdraw the
    /// verdict.
    pub fn record_outage(&mut self) {
        self.rate_before_outage = self.rate;
        (self.cusum, self.rate) = (self.cusum.min(OUTAGE_STEPS + MAX_EXCESS_STEPS), self.rate.min(LOW_RATE));
    }

    /// Ratio of the call rate to [`LOW_RATE`] when the outage was detected, at least 1.
    pub fn rate_factor_before(&self) -> f64 {
        (self.rate_before_outage / LOW_RATE).max(1.0)
    }

    /// Withdraws a false verdict: the call rate is assumed to be what it was before.
    pub fn retract(&mut self, now: Micros) {
        (self.rate, self.rate_at, self.cusum) = (self.rate_before_outage.max(self.rate(now)), now, 0.0);
    }

    /// Smoothed share of failures, 0 to 1.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// The evidence for an outage as a fraction of the threshold: from 1 on the destination counts as out.
    pub fn outage_evidence(&self, now: Micros) -> f64 {
        self.cusum / self.threshold(now)
    }

    /// When a call last failed.
    pub fn last_failure(&self) -> Option<Micros> {
        self.last_failure
    }

    /// Since when the destination has been lossy.
    pub fn lossy_since(&self) -> Option<Micros> {
        self.lossy_since
    }

    /// Whether many calls fail.
    pub fn is_lossy(&self) -> bool {
        self.lossy_since.is_some()
    }

    /// Whether the destination has been lossy for longer than `span` at a high call rate, so that it is not
    /// expected to recover soon.
    pub fn stays_lossy(&self, now: Micros, span: Micros) -> bool {
        self.rate_factor(now) > 1.0 && self.lossy_since.is_some_and(|since| now >= since + span)
    }

    /// Whether a failure calls for a smaller window. At low rates every one does. At high rates a cut is a
    /// trial: if as many calls fail afterwards, load is not the cause, and that failure share alone asks for
    /// no further cuts.
    pub fn should_cut(&mut self, now: Micros) -> bool {
        if self.rate_factor(now) <= 1.0 {
            return true;
        }
        self.trial = self.trial.filter(|t| now < t.since + MAX_TRIAL_TIME);
        let new = self.failure_share > NEW_SHARE.0 * self.tolerated_share + NEW_SHARE.1
            || self.failure_share > MAX_TOLERATED;
        let cut = new && self.trial.is_none_or(|t| self.failure_share > SURGE * t.share_before);
        if cut {
            self.trial =
                Some(WindowTrial { share_before: self.failure_share, since: now, calls: 0.0, failures: 0.0 });
        }
        cut
    }

    /// Whether a smaller window is on trial. It must not grow before the trial has a result.
    pub fn window_on_trial(&self, now: Micros) -> bool {
        self.trial.is_some_and(|t| now < t.since + MAX_TRIAL_TIME)
    }
}

#[cfg(test)]
#[path = "failure_detector_tests.rs"]
mod tests;
