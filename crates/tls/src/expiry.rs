//! When to tell that a certificate ends: 30, 7 and 1 day before, and once it has.

const DAY: i64 = 86_400;
/// Days before the end, the nearest last.
const STEPS: [i64; 4] = [30, 7, 1, 0];

/// The last of the steps that have been reached, in days; none as long as there is more time than the first.
/// Times are Unix time in seconds.
pub fn step(not_after: i64, now: i64) -> Option<i64> {
    let left = not_after.saturating_sub(now);
    STEPS.into_iter().filter(|days| left <= days * DAY).min()
}

/// What is to be told now, given what was told of this certificate before: each step once, none that was passed over
/// meanwhile, and nothing where a clock runs back.
pub fn tell(not_after: i64, now: i64, told: Option<i64>) -> Option<i64> {
    step(not_after, now).filter(|step| told.is_none_or(|told| *step < told))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn each_step_is_told_once_and_the_latest_alone() {
        let end = 100 * DAY;
        let (mut told, mut days) = (None, Vec::new());
        for hour in 0..=(101 * 24) {
            if let Some(step) = tell(end, hour * 3_600, told) {
                days.push((hour / 24, step));
                told = Some(step);
            }
        }
        assert_eq!(days, [(70, 30), (93, 7), (99, 1), (100, 0)]);
        assert_eq!(tell(end, 99 * DAY + 1, None), Some(1), "started late: only what counts now");
        assert_eq!(tell(end, 50 * DAY, Some(7)), None, "a clock that was set back");
    }

    proptest! {
        #[test]
        fn any_times_are_borne(end in any::<i64>(), now in any::<i64>(), told in prop::option::of(0..40i64)) {
            if let Some(step) = tell(end, now, told) {
                prop_assert!(STEPS.contains(&step) && told.is_none_or(|t| step < t));
            }
        }
    }
}
