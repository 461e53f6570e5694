//! What a run came to: figures for programs, and a line of a table for people.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest span that a histogram tells apart, in microseconds: two minutes.
const LONGEST: u64 = 120_000_000;

/// Spans, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// How many.
    pub count: u64,
    /// Half are shorter.
    pub p50_ms: f64,
    /// Ninety-nine in a hundred are shorter.
    pub p99_ms: f64,
    /// The longest.
    pub longest_ms: f64,
}

impl LatencySummary {
    /// Of these, to three digits; longer than two minutes counts as that.
    pub fn of(spans: impl IntoIterator<Item = Duration>) -> LatencySummary {
        // Bounds and digits are constants that the library takes.
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, LONGEST, 3) else {
            return LatencySummary::default();
        };
        spans.into_iter().for_each(|span| histogram.saturating_record((span.as_micros() as u64).max(1)));
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

/// A run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// `forwarder`, or `plain`.
    pub way: String,
    /// Messages a second that were due.
    pub rate: f64,
    /// Share of calls that the partners failed.
    pub failing: f64,
    /// Messages that were due.
    pub messages: u64,
    /// Answered 202.
    pub taken: u64,
    /// Refused, for good.
    pub refused: u64,
    /// Refusals in all: a message may be handed in several times.
    pub refusals: u64,
    /// Mean wait that refusals told, in milliseconds.
    pub told_wait_ms: f64,
    /// No answer.
    pub unanswered: u64,
    /// Ends of those taken on.
    pub delivered: u64,
    /// See `delivered`.
    pub handed_back: u64,
    /// See `delivered`.
    pub given_up: u64,
    /// See `delivered`.
    pub in_doubt: u64,
    /// Taken on and without an end when the run was over.
    pub open: u64,
    /// Messages that took effect, by the partners' books.
    pub applied: u64,
    /// Those of them within the span, a second.
    pub applied_a_second: f64,
    /// Share of all messages that took effect within 3 s of being due.
    pub in_time: f64,
    /// Calls over messages that took effect.
    pub calls_each: f64,
    /// Messages that took effect twice, and those out of order in their key.
    pub twice: u64,
    /// See `twice`.
    pub out_of_order: u64,
    /// From when a message was due to its 202.
    pub answers: LatencySummary,
    /// From when a message was due to its effect.
    pub deliveries: LatencySummary,
}

/// The head of the table whose rows [`Report::row`] gives.
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
    /// A row of the table.
    pub fn row(&self) -> Vec<String> {
        let part = |n: u64, of: u64| format!("{:.1}%", 100.0 * n as f64 / of.max(1) as f64);
        vec![
            self.way.clone(),
            format!("{:.0}", self.rate),
            format!("{:.1}%", self.failing * 100.0),
            part(self.taken, self.messages),
            part(self.refused, self.messages),
            part(self.handed_back, self.taken),
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
    fn spans_are_told_to_three_digits_and_none_is_no_figure() {
        let spans = LatencySummary::of((1..=1000).map(Duration::from_millis));
        assert_eq!(spans.count, 1000);
        assert!((spans.p50_ms - 500.0).abs() < 2.0 && (spans.p99_ms - 990.0).abs() < 2.0, "{spans:?}");
        let longest = LatencySummary::of([Duration::from_secs(3600)]).longest_ms;
        assert!((longest - 120_000.0).abs() < 120.0, "{longest}");
        assert_eq!(LatencySummary::of([]), LatencySummary::default());
    }

    #[test]
    fn a_report_outlives_its_json_and_a_row_fits_the_head() {
        let report =
            Report { way: "plain".into(), messages: 10, taken: 5, handed_back: 1, ..Report::default() };
        let text = serde_json::to_string(&report).unwrap();
        assert_eq!(serde_json::from_str::<Report>(&text).unwrap(), report);
        let row = report.row();
        assert_eq!((row.len(), row[3].as_str(), row[5].as_str()), (TABLE_HEADER.len(), "50.0%", "20.0%"));
    }
}
