//! The shortest story that still fails: steps are left out as long as it does.

use crate::scenario::Scenario;

/// Leaves steps out, half of them first and then one by one, as long as what is left still fails, with so many plays at
/// most. Gives the shortest story found, and how many plays it took.
pub fn shrink_scenario(
    story: &Scenario, most: usize, mut fails: impl FnMut(&Scenario) -> bool,
) -> (Scenario, usize) {
    let (mut best, mut plays) = (story.clone(), 0);
    let mut chunk = best.steps.len().div_ceil(2);
    while chunk > 0 {
        let mut at = 0;
        while at < best.steps.len() {
            if plays >= most {
                return (best, plays);
            }
            let mut shorter = best.clone();
            shorter.steps.drain(at..(at + chunk).min(best.steps.len()));
            plays += 1;
            if fails(&shorter) {
                best = shorter;
            } else {
                at += chunk;
            }
        }
        chunk /= 2;
    }
    (best, plays)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Action;

    #[test]
    fn what_the_failure_does_not_need_is_left_out() {
        let story = Scenario::built_in("cut").expect("it comes with the program");
        let cut = |s: &Scenario| s.steps.iter().any(|s| matches!(s.what, Action::Cut(_)));
        let resumed =
            |s: &Scenario| s.steps.iter().any(|s| matches!(&s.what, Action::Order(_, w, _) if w == "resume"));
        let (short, plays) = shrink_scenario(&story, 100, |s| cut(s) && resumed(s));
        assert_eq!(short.steps.len(), 2);
        assert!(plays < 30, "{plays}");
        let (whole, plays) = shrink_scenario(&story, 5, |_| false);
        assert_eq!((whole.steps.len(), plays), (story.steps.len(), 5));
    }
}
