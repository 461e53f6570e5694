//! Histogram of a destination's answer times. The scheduler derives the resend point τ from it.

/// Number of buckets. With 32 of them τ moves in steps of a few percent of the longest answer time.
pub(crate) const BUCKETS: usize = 32;

/// Answer times of one route and its resend point τ. Times are in microseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyHistogram {
    /// Width of a bucket.
    pub(crate) width: f64,
    /// Answers in each bucket, decaying.
    pub(crate) counts: [f64; BUCKETS],
    /// Sum of the answer times in each bucket, decaying.
    pub(crate) sums: [f64; BUCKETS],
    /// Calls without an answer, decaying.
    pub(crate) unanswered: f64,
    /// Answers so far.
    pub(crate) answers: u32,
    /// The resend point, 0 until enough answers are known.
    pub(crate) tau: f64,
    /// Planned resends in a row without an answer.
    pub(crate) unanswered_run: u32,
}

impl LatencyHistogram {
    /// An empty histogram with buckets of one millisecond.
    pub(crate) fn new() -> Self {
        LatencyHistogram { width: 1000.0, ..LatencyHistogram::default() }
    }

    /// Counts an answer, also one that came later than τ: the buckets reach to the longest answer time. The
    /// bucket width doubles as needed by merging neighbours.
    pub(crate) fn record_answer(&mut self, took: f64) {
        while took >= self.width * BUCKETS as f64 {
            for i in 0..BUCKETS {
                let pair = |a: &[f64; BUCKETS]| a.iter().skip(2 * i).take(2).sum();
                (self.counts[i], self.sums[i]) = (pair(&self.counts), pair(&self.sums));
            }
            self.width *= 2.0;
        }
        let i = (took / self.width) as usize;
        self.counts[i] += 1.0;
        self.sums[i] += took;
        self.answers = self.answers.saturating_add(1);
        self.unanswered_run = 0;
    }

    /// Decays the counts by the factor `keep`. Once the upper half of the buckets is nearly empty, the bucket
    /// width is halved and each old bucket goes to the new bucket that holds its mean.
    pub(crate) fn age(&mut self, keep: f64) {
        for v in self.counts.iter_mut().chain(self.sums.iter_mut()) {
            *v *= keep;
        }
        self.unanswered *= keep;
        let seen: f64 = self.counts.iter().sum();
        let upper: f64 = self.counts[BUCKETS / 2..].iter().sum();
        let half = (BUCKETS / 2) as f64;
        if seen > 1.0 && upper < 0.02 * seen && self.width > 1.0 && self.tau < half * self.width {
            let old = (self.counts, self.sums);
            (self.counts, self.sums, self.width) = ([0.0; BUCKETS], [0.0; BUCKETS], self.width / 2.0);
            for (n, s) in old.0.into_iter().zip(old.1).filter(|(n, _)| *n > 0.0) {
                let i = ((s / n / self.width) as usize).min(BUCKETS - 1);
                self.counts[i] += n;
                self.sums[i] += s;
            }
        }
    }

    /// Mean answer time.
    pub(crate) fn mean(&self) -> f64 {
        self.sums.iter().sum::<f64>() / self.counts.iter().sum::<f64>().max(1e-9)
    }

    /// Mean of the first bucket that is not empty: the shortest time in which an answer comes.
    pub(crate) fn shortest(&self) -> f64 {
        let first = (0..BUCKETS).find(|i| self.counts[*i] > 0.05);
        first.map_or(0.0, |i| self.sums[i] / self.counts[i])
    }

    /// Upper edge of the last bucket whose decayed count is still significant.
    pub(crate) fn longest(&self) -> f64 {
        let last = (0..BUCKETS).rev().find(|i| self.counts[*i] > 0.05);
        last.map_or(0.0, |i| (i + 1) as f64 * self.width)
    }
}
