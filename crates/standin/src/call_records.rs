//! The calls that a partner received, and the check of the delivery rules from them.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// What a partner did with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It took effect.
    TookEffect,
    /// Its idempotency key was known: it was answered with success and took no effect.
    Duplicate,
    /// It was rejected: above the rate limit, or the partner had failed under overload.
    Rejected,
    /// It failed before it took effect.
    Failed,
    /// It took effect and was never answered.
    Unanswered,
}

/// A call that a partner received.
#[derive(Clone, Debug)]
pub struct Call {
    /// `X-Request-Id`.
    pub id: String,
    /// When its last byte had arrived.
    pub at: Instant,
    /// When it was answered or was due to be.
    pub until: Instant,
    /// Order key and the number within it, if the body begins with `key=KEY;seq=NUMBER;`.
    pub position: Option<(String, u64)>,
    /// Class, if the body goes on with `class=NAME;`; empty otherwise.
    pub class: String,
    /// What the partner did with it.
    pub outcome: CallOutcome,
}

/// The records of one partner.
#[derive(Clone, Debug, Default)]
pub struct CallRecords {
    /// All calls in order of arrival.
    pub calls: Vec<Call>,
    /// Retry-after waits that the partner sent: when it was sent, and until when no call may arrive.
    pub waits: Vec<(Instant, Instant)>,
    /// When it failed because it was overloaded during its slow start.
    pub fell_over: Option<Instant>,
}

/// Calls that arrive this soon after a wait was sent may have been in flight (PROTOCOL, the rules on sockets).
pub const WAIT_GRACE: Duration = Duration::from_millis(100);

/// Result of [`check_rules`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleCheck {
    /// Calls received.
    pub calls: u64,
    /// Messages that took effect.
    pub effects: u64,
    /// Messages that took effect more than once.
    pub twice: Vec<String>,
    /// Messages that took effect after a later one of the same order key.
    pub out_of_order: Vec<String>,
    /// Calls that arrived during a wait.
    pub in_waits: u64,
    /// Partners that failed under overload.
    pub fell_over: u64,
}

impl RuleCheck {
    /// Whether no violation was found.
    pub fn is_clean(&self) -> bool {
        self.twice.is_empty() && self.out_of_order.is_empty() && self.in_waits == 0 && self.fell_over == 0
    }
}

/// Parses `name=value;` at the start of a body. Returns the value and the rest.
fn field<'a>(body: &'a str, name: &str) -> Option<(&'a str, &'a str)> {
    let rest = body.strip_prefix(name)?.strip_prefix('=')?;
    rest.split_once(';')
}

/// Parses the order key, the number within it and the class from a message body.
pub fn parse_body(body: &[u8]) -> (Option<(String, u64)>, String) {
    let text = String::from_utf8_lossy(&body[..body.len().min(512)]);
    let keyed = field(&text, "key").and_then(|(key, rest)| {
        let (number, rest) = field(rest, "seq")?;
        Some(((key.to_string(), number.parse().ok()?), rest))
    });
    let rest = keyed.as_ref().map_or(&*text, |(_, rest)| rest);
    let class = field(rest, "class").map_or("", |(class, _)| class).to_string();
    (keyed.map(|(position, _)| position), class)
}

/// Checks the delivery rules from the records of partners.
pub fn check_rules<'a>(records: impl IntoIterator<Item = &'a CallRecords>) -> RuleCheck {
    let mut result = RuleCheck::default();
    let mut effects: BTreeMap<&str, u64> = BTreeMap::new();
    for record in records {
        result.calls += record.calls.len() as u64;
        result.fell_over += u64::from(record.fell_over.is_some());
        let mut last: HashMap<&str, u64> = HashMap::new();
        for call in &record.calls {
            let waits =
                record.waits.iter().filter(|(from, until)| call.at > *from + WAIT_GRACE && call.at < *until);
            result.in_waits += u64::from(waits.count() > 0);
            if !matches!(call.outcome, CallOutcome::TookEffect | CallOutcome::Unanswered) {
                continue;
            }
            *effects.entry(&call.id).or_default() += 1;
            let Some((key, number)) = &call.position else { continue };
            let highest = last.entry(key).or_insert(*number);
            if *number < *highest {
                result.out_of_order.push(call.id.clone());
            }
            *highest = (*highest).max(*number);
        }
    }
    result.effects = effects.len() as u64;
    result.twice = effects.into_iter().filter(|(_, n)| *n > 1).map(|(id, _)| id.to_string()).collect();
    result
}

#[cfg(test)]
mod tests {
    use super::*;

    fn call(id: &str, at: Instant, position: Option<(&str, u64)>, outcome: CallOutcome) -> Call {
        let position = position.map(|(key, number)| (key.to_string(), number));
        Call { id: id.into(), at, until: at, position, class: String::new(), outcome }
    }

    /// Records without violations pass, and records that violate each rule once show each violation.
    #[test]
    fn every_violation_is_found() {
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
        let result = check_rules([&clean]);
        assert!(result.is_clean() && result.effects == 2 && result.calls == 4, "{result:?}");
        let mut broken = clean.clone();
        broken.calls.push(call("d", later(300), None, CallOutcome::TookEffect));
        broken.calls.push(call("d", later(500), None, CallOutcome::Unanswered));
        broken.calls.push(call("e", later(501), Some(("k", 1)), CallOutcome::TookEffect));
        broken.fell_over = Some(now);
        let result = check_rules([&broken]);
        assert_eq!((result.twice, result.out_of_order), (vec!["d".to_string()], vec!["e".to_string()]));
        assert_eq!((result.in_waits, result.fell_over), (1, 1));
    }

    #[test]
    fn order_key_and_class_are_parsed_from_the_body() {
        assert_eq!(parse_body(b"key=p-1;seq=7;class=u;rest"), (Some(("p-1".into(), 7)), "u".into()));
        assert_eq!(parse_body(b"class=fee;x"), (None, "fee".into()));
        assert_eq!(parse_body(b"\xff\xfe"), (None, String::new()));
        assert_eq!(parse_body(b"key=a;seq=x;class=fee;"), (None, String::new()));
    }
}
