//! Reduces a failing scenario: leaves out steps as long as the rest still fails.

use crate::scenario::Scenario;

/// Removes steps, first half of them at a time and in the end one by one, as long as the rest still fails. Runs at most `max_runs`
/// scenarios. Returns the shortest failing scenario found and the number of runs.
pub fn shrink_scenario(
    scenario: &Scenario, max_runs: usize, mut fails: impl FnMut(&Scenario) -> bool,
) -> (Scenario, usize) {
    let (mut best, mut runs) = (scenario.clone(), 0);
    let mut chunk = best.steps.len().div_ceil(2);
    while chunk > 0 {
        let mut at = 0;
        while at < best.steps.len() {
            if runs >= max_runs {
                return (best, runs);
            }
            let mut shorter = best.clone();
            shorter.steps.drain(at..(at + chunk).min(best.steps.len()));
            runs += 1;
            if fails(&shorter) {
                best = shorter;
            } else {
                at += chunk;
            }
        }
        chunk /= 2;
    }
    (best, runs)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Action;

    #[test]
    fn steps_that_the_failure_does_not_need_are_removed() {
        let scenario = Scenario::built_in("cut").expect("the scenario is built in");
        let cut = |s: &Scenario| s.steps.iter().any(|s| matches!(s.what, Action::Cut(_)));
        let resumed =
            |s: &Scenario| s.steps.iter().any(|s| matches!(&s.what, Action::Order(_, w, _) if w == "resume"));
        let (short, runs) = shrink_scenario(&scenario, 100, |s| cut(s) && resumed(s));
        assert_eq!(short.steps.len(), 2);
        assert!(runs < 30, "{runs}");
        let (whole, runs) = shrink_scenario(&scenario, 5, |_| false);
        assert_eq!((whole.steps.len(), runs), (scenario.steps.len(), 5));
    }
}
