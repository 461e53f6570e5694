//! The results of a run: serializable for programs, and as a table row for people.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest time that the histogram records, in microseconds: two minutes.
const MAX_RECORDED_US: u64 = 120_000_000;

/// Summary of a distribution of times, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Number of values.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The maximum.
    pub longest_ms: f64,
}

impl LatencySummary {
    /// Summarizes times, with three significant digits. Times above two minutes count as two minutes.
    pub fn of(times: impl IntoIterator<Item = Duration>) -> LatencySummary {
        // The bounds and the number of digits are valid constants.
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_RECORDED_US, 3) else {
            return LatencySummary::default();
        };
        times.into_iter().for_each(|time| histogram.saturating_record((time.as_micros() as u64).max(1)));
        let ms = |us: u64| (us as f64 / 10.0).round() / 100.0;
        if histogram.is_empty() {
            return LatencySummary::default();
        }
        LatencySummary {
            count: histogram.len(),
            p50_ms: ms(histogram.value_at_quantile(0.5)),
            p99_ms: ms(histogram.value_at_quantile(0.99)),
            longest_ms: ms(histogram.max()),
        }
    }
}

/// The results of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The route of the messages: `forwarder` or `plain`.
    pub way: String,
    /// Scheduled messages per second.
    pub rate: f64,
    /// Configured share of calls that fail at the partners.
    pub failing: f64,
    /// Number of scheduled messages.
    pub messages: u64,
    /// Messages that the forwarder accepted (status 202).
    pub taken: u64,
    /// Messages whose last submission was refused.
    pub refused: u64,
    /// Number of refusals; a message may be submitted several times.
    pub refusals: u64,
    /// Mean wait that refusals requested, in milliseconds.
    pub told_wait_ms: f64,
    /// Messages without a valid answer.
    pub unanswered: u64,
    /// Accepted messages that were delivered.
    pub delivered: u64,
    /// Accepted messages that were handed back.
    pub handed_back: u64,
    /// Accepted messages that were given up.
    pub given_up: u64,
    /// Accepted messages that ended in doubt.
    pub in_doubt: u64,
    /// Accepted messages without an outcome at the end of the run.
    pub open: u64,
    /// Messages that took effect, by the partners' call records.
    pub applied: u64,
    /// Messages per second that took effect within the plan's span.
    pub applied_a_second: f64,
    /// Share of all messages that took effect within 3 s of being due.
    pub in_time: f64,
    /// Calls per message that took effect.
    pub calls_each: f64,
    /// Messages that took effect twice.
    pub twice: u64,
    /// Messages that took effect out of order within their key.
    pub out_of_order: u64,
    /// Time from when a message was due to its acceptance.
    pub answers: LatencySummary,
    /// Time from when a message was due to its effect.
    pub deliveries: LatencySummary,
}

/// The column headings for [`Report::row`].
pub const TABLE_HEADER: [&str; 14] = [
    "way",
    "rate/s",
    "failing",
    "taken",
    "refused",
    "back",
    "applied/s",
    "in time",
    "calls each",
    "twice",
    "order",
    "answer p99",
    "delivery p50",
    "p99 ms",
];

impl Report {
    /// The report as a table row, in the columns of [`TABLE_HEADER`].
    pub fn row(&self) -> Vec<String> {
        let percentage = |n: u64, of: u64| format!("{:.1}%", 100.0 * n as f64 / of.max(1) as f64);
        vec![
            self.way.clone(),
            format!("{:.0}", self.rate),
            format!("{:.1}%", self.failing * 100.0),
            percentage(self.taken, self.messages),
            percentage(self.refused, self.messages),
            percentage(self.handed_back, self.taken),
            format!("{:.1}", self.applied_a_second),
            format!("{:.1}%", self.in_time * 100.0),
            format!("{:.2}", self.calls_each),
            self.twice.to_string(),
            self.out_of_order.to_string(),
            format!("{:.1}", self.answers.p99_ms),
            format!("{:.1}", self.deliveries.p50_ms),
            format!("{:.1}", self.deliveries.p99_ms),
        ]
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn summaries_have_three_digits_and_an_empty_one_is_zero() {
        let summary = LatencySummary::of((1..=1000).map(Duration::from_millis));
        assert_eq!(summary.count, 1000);
        assert!((summary.p50_ms - 500.0).abs() < 2.0 && (summary.p99_ms - 990.0).abs() < 2.0, "{summary:?}");
        let longest = LatencySummary::of([Duration::from_secs(3600)]).longest_ms;
        assert!((longest - 120_000.0).abs() < 120.0, "{longest}");
        assert_eq!(LatencySummary::of([]), LatencySummary::default());
    }

    #[test]
    fn reports_survive_json_and_rows_match_the_header() {
        let report =
            Report { way: "plain".into(), messages: 10, taken: 5, handed_back: 1, ..Report::default() };
        let text = serde_json::to_string(&report).unwrap();
        assert_eq!(serde_json::from_str::<Report>(&text).unwrap(), report);
        let row = report.row();
        assert_eq!((row.len(), row[3].as_str(), row[5].as_str()), (TABLE_HEADER.len(), "50.0%", "20.0%"));
    }
}
