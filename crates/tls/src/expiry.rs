//! Decides when to warn that a certificate expires: 30, 7 and 1 day before, and once it has
//! expired.

const SECONDS_PER_DAY: i64 = 86_400;
/// Days before expiry at which a warning is due, in descending order.
const WARNING_DAYS: [i64; 4] = [30, 7, 1, 0];

/// The latest warning threshold that has been reached, in days; none while more time is left than
/// the first one. Times are Unix time in seconds.
pub fn reached_threshold(not_after: i64, now: i64) -> Option<i64> {
    let left = not_after.saturating_sub(now);
    WARNING_DAYS.into_iter().filter(|days| left <= days * SECONDS_PER_DAY).min()
}

/// The warning that is due now, given the last one for this certificate: each threshold once, none
/// that has been skipped in the meantime, and none again when a clock is set back.
pub fn due_warning(not_after: i64, now: i64, last_warned: Option<i64>) -> Option<i64> {
    reached_threshold(not_after, now).filter(|step| last_warned.is_none_or(|last| *step < last))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn each_threshold_warns_once_and_skipped_ones_do_not() {
        let end = 100 * SECONDS_PER_DAY;
        let (mut last_warned, mut days) = (None, Vec::new());
        for hour in 0..=(101 * 24) {
            if let Some(step) = due_warning(end, hour * 3_600, last_warned) {
                days.push((hour / 24, step));
                last_warned = Some(step);
            }
        }
        assert_eq!(days, [(70, 30), (93, 7), (99, 1), (100, 0)]);
        assert_eq!(
            due_warning(end, 99 * SECONDS_PER_DAY + 1, None),
            Some(1),
            "started late: only the latest threshold"
        );
        assert_eq!(due_warning(end, 50 * SECONDS_PER_DAY, Some(7)), None, "a clock that was set back");
    }

    proptest! {
        #[test]
        fn any_times_are_accepted(
            end in any::<i64>(),
            now in any::<i64>(),
            last_warned in prop::option::of(0..40i64),
        ) {
            if let Some(step) = due_warning(end, now, last_warned) {
                prop_assert!(WARNING_DAYS.contains(&step) && last_warned.is_none_or(|t| step < t));
            }
        }
    }
}
