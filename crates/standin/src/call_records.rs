//! What a partner has seen, and the rules checked from it.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// What became of a call at the partner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It took effect.
    TookEffect,
    /// Its key was known: nothing took effect, and it was answered as served.
    Duplicate,
    /// Turned away: over the limit, or the partner had fallen over.
    Rejected,
    /// Answered with an error before it took effect.
    Failed,
    /// Taken, and never answered. It has taken effect.
    Unanswered,
}

/// A call that has come.
#[derive(Clone, Debug)]
pub struct Call {
    /// `X-Request-Id`.
    pub id: String,
    /// When its last byte had come.
    pub at: Instant,
    /// When it was answered, or was to be.
    pub until: Instant,
    /// Key and number within it, if its body begins with `key=KEY;seq=NUMBER;`.
    pub turn: Option<(String, u64)>,
    /// Class, if its body names one behind that: `class=NAME;`.
    pub class: String,
    /// What became of it.
    pub outcome: CallOutcome,
}

/// The books of one partner.
#[derive(Clone, Debug, Default)]
pub struct CallRecords {
    /// Every call, in the order in which they came.
    pub calls: Vec<Call>,
    /// Waits that were told: from, and until when nothing may come.
    pub waits: Vec<(Instant, Instant)>,
    /// When it fell over for being pushed while it was cold.
    pub fell_over: Option<Instant>,
}

/// Calls that come so soon after a wait was told may have been on their way (PROTOCOL, the rules on sockets).
pub const WAIT_GRACE: Duration = Duration::from_millis(100);

/// What the books of some partners say about the rules.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleCheck {
    /// Calls that came.
    pub calls: u64,
    /// Messages that took effect.
    pub effects: u64,
    /// Messages that took effect more than once.
    pub twice: Vec<String>,
    /// Messages that took effect after a later one of their key.
    pub out_of_order: Vec<String>,
    /// Calls that came during a wait.
    pub in_waits: u64,
    /// Partners that fell over.
    pub fell_over: u64,
}

impl RuleCheck {
    /// Whether every rule that the books can show was kept.
    pub fn is_clean(&self) -> bool {
        self.twice.is_empty() && self.out_of_order.is_empty() && self.in_waits == 0 && self.fell_over == 0
    }
}

/// Reads `name=value;` at the start of a body.
fn field<'a>(body: &'a str, name: &str) -> Option<(&'a str, &'a str)> {
    let rest = body.strip_prefix(name)?.strip_prefix('=')?;
    rest.split_once(';')
}

/// The turn and the class that a body names.
pub fn names_in(body: &[u8]) -> (Option<(String, u64)>, String) {
    let text = String::from_utf8_lossy(&body[..body.len().min(512)]);
    let keyed = field(&text, "key").and_then(|(key, rest)| {
        let (number, rest) = field(rest, "seq")?;
        Some(((key.to_string(), number.parse().ok()?), rest))
    });
    let rest = keyed.as_ref().map_or(&*text, |(_, rest)| rest);
    let class = field(rest, "class").map_or("", |(class, _)| class).to_string();
    (keyed.map(|(turn, _)| turn), class)
}

/// Judges the rules from the books of partners.
pub fn check_rules<'a>(books: impl IntoIterator<Item = &'a CallRecords>) -> RuleCheck {
    let mut verdict = RuleCheck::default();
    let mut effects: BTreeMap<&str, u64> = BTreeMap::new();
    for book in books {
        verdict.calls += book.calls.len() as u64;
        verdict.fell_over += u64::from(book.fell_over.is_some());
        let mut last: HashMap<&str, u64> = HashMap::new();
        for call in &book.calls {
            let waits =
                book.waits.iter().filter(|(from, until)| call.at > *from + WAIT_GRACE && call.at < *until);
            verdict.in_waits += u64::from(waits.count() > 0);
            if !matches!(call.outcome, CallOutcome::TookEffect | CallOutcome::Unanswered) {
                continue;
            }
            *effects.entry(&call.id).or_default() += 1;
            let Some((key, number)) = &call.turn else { continue };
            let highest = last.entry(key).or_insert(*number);
            if *number < *highest {
                verdict.out_of_order.push(call.id.clone());
            }
            *highest = (*highest).max(*number);
        }
    }
    verdict.effects = effects.len() as u64;
    verdict.twice = effects.into_iter().filter(|(_, n)| *n > 1).map(|(id, _)| id.to_string()).collect();
    verdict
}

#[cfg(test)]
mod tests {
    use super::*;

    fn call(id: &str, at: Instant, turn: Option<(&str, u64)>, fate: CallOutcome) -> Call {
        let turn = turn.map(|(key, number)| (key.to_string(), number));
        Call { id: id.into(), at, until: at, turn, class: String::new(), outcome: fate }
    }

    /// A judge that finds nothing is no judge: each rule is broken once.
    #[test]
    fn every_broken_rule_is_found() {
        let now = Instant::now();
        let later = |ms| now + Duration::from_millis(ms);
        let clean = CallRecords {
            calls: vec![
                call("a", now, Some(("k", 1)), CallOutcome::TookEffect),
                call("a", later(1), Some(("k", 1)), CallOutcome::Duplicate),
                call("b", later(2), Some(("k", 2)), CallOutcome::TookEffect),
                call("c", later(150), None, CallOutcome::Rejected),
            ],
            waits: vec![(later(100), later(400))],
            fell_over: None,
        };
        let verdict = check_rules([&clean]);
        assert!(verdict.is_clean() && verdict.effects == 2 && verdict.calls == 4, "{verdict:?}");
        let mut broken = clean.clone();
        broken.calls.push(call("d", later(300), None, CallOutcome::TookEffect));
        broken.calls.push(call("d", later(500), None, CallOutcome::Unanswered));
        broken.calls.push(call("e", later(501), Some(("k", 1)), CallOutcome::TookEffect));
        broken.fell_over = Some(now);
        let verdict = check_rules([&broken]);
        assert_eq!((verdict.twice, verdict.out_of_order), (vec!["d".to_string()], vec!["e".to_string()]));
        assert_eq!((verdict.in_waits, verdict.fell_over), (1, 1));
    }

    #[test]
    fn bodies_name_their_turn_and_class() {
        assert_eq!(names_in(b"key=p-1;seq=7;class=u;rest"), (Some(("p-1".into(), 7)), "u".into()));
        assert_eq!(names_in(b"class=fee;x"), (None, "fee".into()));
        assert_eq!(names_in(b"\xff\xfe"), (None, String::new()));
        assert_eq!(names_in(b"key=a;seq=x;class=fee;"), (None, String::new()));
    }
}
