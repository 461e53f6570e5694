//! Limits as partners tell them in answers, read into a rate and what is left of it. Nonsense is none: a partner that tells
//! wrong things is called as if it told nothing.

use http::{HeaderMap, HeaderName};
use sfv::{BareItem, ListEntry, Parser};

/// Longest window that a limit is told for, in seconds; beyond, it is no rate but an allowance for the day.
const LONGEST_WINDOW: f64 = 3600.0;
/// A limit beyond this, in calls a second, can't be meant.
const HIGHEST_RATE: f64 = 1e6;

/// A limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Calls a second, above 0.
    pub rate: f64,
    /// Share of the window's calls that is left, 0 to 1.
    pub remaining: f64,
}

/// One policy: its name, how many calls, in how many seconds.
type Policy = (String, f64, f64);

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Option<&'a str> {
    headers.get(HeaderName::from_static(name))?.to_str().ok()
}

fn number(item: &BareItem) -> Option<f64> {
    let number = match item {
        BareItem::Integer(n) => i64::from(*n) as f64,
        BareItem::Decimal(n) => n.to_string().parse().ok()?,
        _ => return None,
    };
    (number >= 0.0).then_some(number)
}

/// The items of a list of structured fields (RFC 9651), each with its name and parameters as numbers.
fn items(headers: &HeaderMap, name: &'static str) -> Vec<(String, Vec<(String, f64)>)> {
    let values: Vec<&str> =
        headers.get_all(HeaderName::from_static(name)).iter().filter_map(|v| v.to_str().ok()).collect();
    let Ok(list) = Parser::new(&values.join(", ")).parse::<sfv::List>() else { return Vec::new() };
    let read = |entry: ListEntry| {
        let ListEntry::Item(item) = entry else { return None };
        let named = match &item.bare_item {
            BareItem::String(name) => name.as_str().to_string(),
            BareItem::Token(name) => name.as_str().to_string(),
            BareItem::Integer(quota) => i64::from(*quota).to_string(),
            _ => return None,
        };
        let numbers = item.params.iter().filter_map(|(k, v)| Some((k.as_str().to_string(), number(v)?)));
        Some((named, numbers.collect()))
    };
    list.into_iter().filter_map(read).collect()
}

fn find(numbers: &[(String, f64)], name: &str) -> Option<f64> {
    numbers.iter().find(|(n, _)| n == name).map(|(_, value)| *value)
}

fn limit(quota: f64, window: f64, left: f64) -> Option<Limit> {
    let sound = quota > 0.0 && window > 0.0 && window <= LONGEST_WINDOW && left >= 0.0;
    let rate = quota / window;
    (sound && rate.is_finite() && rate <= HIGHEST_RATE)
        .then_some(Limit { rate, remaining: (left / quota).min(1.0) })
}

/// What an answer's headers tell of the partner's limit. `window` is the site's own word for how many seconds a limit
/// counts, for headers that don't say. In this order:
///
/// - `RateLimit` with `RateLimit-Policy` (draft-ietf-httpapi-ratelimit-headers-10): of several policies the one that is the
///   tightest just now;
/// - `RateLimit-Limit`, `-Remaining` (version 03 of the draft; the window from `RateLimit-Policy` where it is there), and the
///   `X-RateLimit-` family, which no specification defines.
pub fn limits(headers: &HeaderMap, window: Option<f64>) -> Option<Limit> {
    let policies: Vec<Policy> = items(headers, "ratelimit-policy")
        .into_iter()
        .filter_map(|(name, numbers)| {
            // Version 03 has the quota itself in place of a name.
            let quota = find(&numbers, "q").or_else(|| name.parse().ok())?;
            Some((name, quota, find(&numbers, "w").or(window)?))
        })
        .collect();
    let told = items(headers, "ratelimit").into_iter().filter_map(|(name, numbers)| {
        let (_, quota, window) = policies.iter().find(|(policy, ..)| *policy == name)?;
        limit(*quota, *window, find(&numbers, "r")?)
    });
    // The tightest: the one with the fewest calls left in a second of its window.
    let tightest = told.min_by(|a, b| (a.rate * a.remaining).total_cmp(&(b.rate * b.remaining)));
    tightest.or_else(|| {
        let families = [
            ("ratelimit-limit", "ratelimit-remaining"),
            ("x-ratelimit-limit", "x-ratelimit-remaining"),
            ("x-rate-limit-limit", "x-rate-limit-remaining"),
        ];
        families.into_iter().find_map(|(most, left)| {
            let read = |name| text(headers, name)?.split([',', ';']).next()?.trim().parse::<f64>().ok();
            let (quota, left) = (read(most)?, read(left)?);
            let own = policies.iter().find(|(_, q, _)| *q == quota).map(|(.., w)| *w);
            limit(quota, own.or(window)?, left)
        })
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn told(lines: &[(&'static str, &str)], window: Option<f64>) -> Option<(f64, f64)> {
        let mut headers = HeaderMap::new();
        for (name, value) in lines {
            headers.append(HeaderName::from_static(name), value.parse().unwrap());
        }
        limits(&headers, window).map(|l| (l.rate, l.remaining))
    }

    #[test]
    fn limits_are_read_in_each_form_that_is_seen() {
        let policy = ("ratelimit-policy", "\"burst\";q=100;w=10, \"hour\";q=3600;w=3600");
        assert_eq!(told(&[policy, ("ratelimit", "\"burst\";r=50;t=3")], None), Some((10.0, 0.5)));
        let both = "\"burst\";r=50;t=3, \"hour\";r=36;t=600";
        assert_eq!(told(&[policy, ("ratelimit", both)], None), Some((1.0, 0.01)), "the tightest");
        assert_eq!(told(&[("ratelimit", both)], None), None, "without a policy no rate");
        let old = [("ratelimit-limit", "100"), ("ratelimit-remaining", "25")];
        assert_eq!(told(&old, None), None, "nothing says for how long");
        assert_eq!(told(&old, Some(50.0)), Some((2.0, 0.25)));
        let with_policy = [old[0], old[1], ("ratelimit-policy", "10;w=1, 100;w=20")];
        assert_eq!(told(&with_policy, None), Some((5.0, 0.25)));
        let custom = [("x-ratelimit-limit", "60"), ("x-ratelimit-remaining", "0")];
        assert_eq!(told(&custom, Some(60.0)), Some((1.0, 0.0)));
        assert_eq!(told(&[], Some(60.0)), None);
    }

    #[test]
    fn nonsense_is_no_limit() {
        for (most, left) in
            [("0", "0"), ("-5", "1"), ("NaN", "1"), ("1e300", "1"), ("ten", "1"), ("10", "-1")]
        {
            let lines = [("x-ratelimit-limit", most), ("x-ratelimit-remaining", left)];
            assert_eq!(told(&lines, Some(1.0)), None, "{most} {left}");
        }
        for policy in ["\"a\";q=5;w=0", "\"a\";q=-5;w=1", "\"a\";w=1", "\"a", "\"a\";q=99999999999999;w=1"] {
            assert_eq!(
                told(&[("ratelimit-policy", policy), ("ratelimit", "\"a\";r=1")], None),
                None,
                "{policy}"
            );
        }
    }

    proptest! {
        #[test]
        fn any_header_is_borne(a in "[ -~]{0,60}", b in "[ -~]{0,60}", window in prop::option::of(0.0..1e9f64)) {
            for (first, second) in [("ratelimit-policy", "ratelimit"), ("x-ratelimit-limit", "x-ratelimit-remaining")] {
                if let Some((rate, left)) = told(&[(first, &a), (second, &b)], window) {
                    prop_assert!(rate > 0.0 && rate <= HIGHEST_RATE && (0.0..=1.0).contains(&left));
                }
            }
        }
    }
}
