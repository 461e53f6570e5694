//! Failure detector: decides from the outcomes of the calls on a route, and their rate, whether its
//! destination is out, lossy or healthy. No clock, no I/O; `docs/design/health.md` derives the constants.

use crate::interface::Micros;

/// The verdict "out" is a cumulative sum (Page 1954) of log-likelihood ratios of "seven in ten calls fail"
/// against "three in ten do". A failure adds ln(0.7/0.3) and an answer subtracts it, so the sum is counted in
/// such steps, and is never below 0. At low call rates so many steps are a verdict: three failures in a row.
const OUTAGE_STEPS: f64 = 3.0;
const LOW_RATE: f64 = 10.0; // calls a second up to which the rate is low
/// Further steps for each e-fold of the rate. They bound false verdicts in time, not in calls; a true verdict
/// takes no longer.
const STEPS_PER_E_FOLD: f64 = 2.0;
const EXCESS_STEPS: f64 = 2.0; // steps counted beyond a verdict: so many more answers withdraw it
/// Failures of one round of calls that count in full. Calls that were in flight together share causes, such
/// as a restart or a broken line: the n-th failure counts this number divided by n.
const FULL_FAILURES: f64 = 3.0;
const WEIGHT: f64 = 0.22; // weight of an outcome in the failure share at low rates; at others it spans 0.5 s
/// The same for an unreadable response: the endpoint takes and answers calls, so only a run of them matters.
const UNREADABLE_WEIGHT: f64 = 0.1;
const LOSSY_SHARE: f64 = 0.2; // failure share above which a destination is lossy
const RATE_SPAN: f64 = 2e6; // time constant of the rate of outcomes, in microseconds
const TOLERATED_SPAN: f64 = 2e7; // half-life of a failure share that load does not cause, in microseconds
const HELPED: f64 = 0.75; // a smaller window has helped if the failure share falls below this part
/// Failures to expect before a trial of a smaller window is evaluated: their number is known to a third then.
const TRIAL_FAILURES: f64 = 12.0;
const TRIAL_TIME: Micros = 2_000_000; // a trial that takes longer ends without a result
const SURGE: f64 = 2.0; // a trial ends if the failure share has grown by this factor
const NEW_SHARE: (f64, f64) = (1.5, 0.03); // a share above the tolerated one times this plus this is new
const MAX_TOLERATED: f64 = 0.5; // a failure share above this is never attributed to chance

/// Failure detector of one route.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureDetector {
    cusum: f64, // in steps
    failure_share: f64,
    rate: f64, // outcomes a second, as of `rate_at`
    rate_at: Micros,
    rate_before_outage: f64,
    round_started: Micros, // when the first failure of the latest round ended
    round_failures: f64,
    last_failure: Option<Micros>,
    lossy_since: Option<Micros>,
    tolerated_share: f64, // does not depend on the window, according to the trials of smaller ones
    trial: Option<WindowTrial>,
}

/// Trial of a smaller window.
#[derive(Clone, Copy, Debug)]
struct WindowTrial {
    share_before: f64, // failure share before the trial
    since: Micros,     // calls sent before do not count
    calls: f64,
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

    /// Counts one outcome.
    fn record(&mut self, sent: Micros, now: Micros, failed: f64, weight: f64) {
        let part = weight / self.rate_factor(now);
        (self.rate, self.rate_at) = (self.rate(now) + 1e6 / RATE_SPAN, now);
        self.failure_share += (failed - self.failure_share) * part;
        self.lossy_since = (self.failure_share > LOSSY_SHARE).then(|| self.lossy_since.unwrap_or(now));
        self.tolerated_share *= 0.5f64.powf(1e6 / TOLERATED_SPAN / self.rate.max(0.1));
        let Some(trial) = self.trial.as_mut().filter(|t| sent >= t.since) else { return };
        (trial.calls, trial.failures) = (trial.calls + 1.0, trial.failures + failed);
        if trial.calls * trial.share_before >= TRIAL_FAILURES {
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
        self.record(sent, now, 0.0, WEIGHT);
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
        let step = (FULL_FAILURES / self.round_failures).min(1.0);
        self.cusum = (self.cusum + step).min(self.threshold(now) + EXCESS_STEPS);
        self.record(sent, now, 1.0, WEIGHT);
    }

    /// Whether most calls fail, beyond what chance explains.
    pub fn is_out(&self, now: Micros) -> bool {
        self.cusum >= self.threshold(now)
    }

    /// Notes that an outage was detected: few calls from now on, and few answers withdraw the verdict.
    pub fn record_outage(&mut self) {
        self.rate_before_outage = self.rate;
        (self.cusum, self.rate) = (self.cusum.min(OUTAGE_STEPS + EXCESS_STEPS), self.rate.min(LOW_RATE));
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

    /// Whether it has been lossy for longer than `span` at a high rate and will not recover soon.
    pub fn stays_lossy(&self, now: Micros, span: Micros) -> bool {
        self.rate_factor(now) > 1.0 && self.lossy_since.is_some_and(|since| now >= since + span)
    }

    /// Whether a failure calls for a smaller window. At low rates every one does. At high rates a cut is a
    /// trial: if as many calls fail afterwards, load is not the cause, and that share alone asks for no more
    /// cuts.
    pub fn should_cut(&mut self, now: Micros) -> bool {
        if self.rate_factor(now) <= 1.0 {
            return true;
        }
        self.trial = self.trial.filter(|t| now < t.since + TRIAL_TIME);
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
        self.trial.is_some_and(|t| now < t.since + TRIAL_TIME)
    }
}

#[cfg(test)]
#[path = "failure_detector_tests.rs"]
mod tests;
