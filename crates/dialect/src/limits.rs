//! Reads the rate limit that a partner reports in response headers. Invalid values are ignored: the
//! partner is called as if it had reported nothing.

use http::{HeaderMap, HeaderName};
use sfv::{BareItem, ListEntry, Parser};

/// Longest window of a limit, in seconds. A longer one is not a rate but a quota, such as an
/// allowance per day.
const MAX_WINDOW_S: f64 = 3600.0;
/// Limits above this, in calls per second, are taken for errors.
const MAX_RATE: f64 = 1e6;

/// A rate limit and how much of it is left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Calls per second, above 0.
    pub rate: f64,
    /// Share of the window's calls that is left, 0 to 1.
    pub remaining: f64,
}

/// A policy: its name, quota in calls, and window in seconds.
type Policy = (String, f64, f64);

fn header_text<'a>(headers: &'a HeaderMap, name: &'static str) -> Option<&'a str> {
    headers.get(HeaderName::from_static(name))?.to_str().ok()
}

/// A non-negative number.
fn number(item: &BareItem) -> Option<f64> {
    let number = match item {
        BareItem::Integer(n) => i64::from(*n) as f64,
        BareItem::Decimal(n) => n.to_string().parse().ok()?,
        _ => return None,
    };
    (number >= 0.0).then_some(number)
}

/// The items of a structured field list (RFC 9651), each with its name and numeric parameters.
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

/// The parameter of a name.
fn find(numbers: &[(String, f64)], name: &str) -> Option<f64> {
    numbers.iter().find(|(n, _)| n == name).map(|(_, value)| *value)
}

/// A limit, unless its values are implausible.
fn limit(quota: f64, window: f64, left: f64) -> Option<Limit> {
    let valid = quota > 0.0 && window > 0.0 && window <= MAX_WINDOW_S && left >= 0.0;
    let rate = quota / window;
    (valid && rate.is_finite() && rate <= MAX_RATE)
        .then_some(Limit { rate, remaining: (left / quota).min(1.0) })
}

/// Reads the partner's limit from response headers. `window` is the configured window in seconds,
/// for headers that do not state one. Read in this order:
///
/// - `RateLimit` with `RateLimit-Policy` (draft-ietf-httpapi-ratelimit-headers-10): of several
///   policies the one that is tightest at the moment;
/// - `RateLimit-Limit` and `-Remaining` (version 03 of the draft; the window is taken from
///   `RateLimit-Policy` if present), and the `X-RateLimit-` family, which no specification defines.
pub fn limits(headers: &HeaderMap, window: Option<f64>) -> Option<Limit> {
    let policies: Vec<Policy> = items(headers, "ratelimit-policy")
        .into_iter()
        .filter_map(|(name, numbers)| {
            // In version 03 the quota takes the place of a name.
            let quota = find(&numbers, "q").or_else(|| name.parse().ok())?;
            Some((name, quota, find(&numbers, "w").or(window)?))
        })
        .collect();
    let reported = items(headers, "ratelimit").into_iter().filter_map(|(name, numbers)| {
        let (_, quota, window) = policies.iter().find(|(policy, ..)| *policy == name)?;
        limit(*quota, *window, find(&numbers, "r")?)
    });
    // The tightest policy has the fewest calls left per second of its window.
    let tightest = reported.min_by(|a, b| (a.rate * a.remaining).total_cmp(&(b.rate * b.remaining)));
    tightest.or_else(|| {
        let families = [
            ("ratelimit-limit", "ratelimit-remaining"),
            ("x-ratelimit-limit", "x-ratelimit-remaining"),
            ("x-rate-limit-limit", "x-rate-limit-remaining"),
        ];
        families.into_iter().find_map(|(limit_header, left_header)| {
            let read =
                |name| header_text(headers, name)?.split([',', ';']).next()?.trim().parse::<f64>().ok();
            let (quota, left) = (read(limit_header)?, read(left_header)?);
            let policy_window = policies.iter().find(|(_, q, _)| *q == quota).map(|(.., w)| *w);
            limit(quota, policy_window.or(window)?, left)
        })
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn parse(lines: &[(&'static str, &str)], window: Option<f64>) -> Option<(f64, f64)> {
        let mut headers = HeaderMap::new();
        for (name, value) in lines {
            headers.append(HeaderName::from_static(name), value.parse().unwrap());
        }
        limits(&headers, window).map(|l| (l.rate, l.remaining))
    }

    #[test]
    fn limits_are_read_in_every_form_in_use() {
        let policy = ("ratelimit-policy", "\"burst\";q=100;w=10, \"hour\";q=3600;w=3600");
        assert_eq!(parse(&[policy, ("ratelimit", "\"burst\";r=50;t=3")], None), Some((10.0, 0.5)));
        let both = "\"burst\";r=50;t=3, \"hour\";r=36;t=600";
        assert_eq!(parse(&[policy, ("ratelimit", both)], None), Some((1.0, 0.01)), "the tightest");
        assert_eq!(parse(&[("ratelimit", both)], None), None, "no rate without a policy");
        let old = [("ratelimit-limit", "100"), ("ratelimit-remaining", "25")];
        assert_eq!(parse(&old, None), None, "no window is known");
        assert_eq!(parse(&old, Some(50.0)), Some((2.0, 0.25)));
        let with_policy = [old[0], old[1], ("ratelimit-policy", "10;w=1, 100;w=20")];
        assert_eq!(parse(&with_policy, None), Some((5.0, 0.25)));
        let custom = [("x-ratelimit-limit", "60"), ("x-ratelimit-remaining", "0")];
        assert_eq!(parse(&custom, Some(60.0)), Some((1.0, 0.0)));
        assert_eq!(parse(&[], Some(60.0)), None);
    }

    #[test]
    fn invalid_values_are_no_limit() {
        for (quota, left) in
            [("0", "0"), ("-5", "1"), ("NaN", "1"), ("1e300", "1"), ("ten", "1"), ("10", "-1")]
        {
            let lines = [("x-ratelimit-limit", quota), ("x-ratelimit-remaining", left)];
            assert_eq!(parse(&lines, Some(1.0)), None, "{quota} {left}");
        }
        for policy in ["\"a\";q=5;w=0", "\"a\";q=-5;w=1", "\"a\";w=1", "\"a", "\"a\";q=99999999999999;w=1"] {
            assert_eq!(
                parse(&[("ratelimit-policy", policy), ("ratelimit", "\"a\";r=1")], None),
                None,
                "{policy}"
            );
        }
    }

    proptest! {
        #[test]
        fn any_header_is_accepted(
            a in "[ -~]{0,60}",
            b in "[ -~]{0,60}",
            window in prop::option::of(0.0..1e9f64),
        ) {
            let pairs = [("ratelimit-policy", "ratelimit"), ("x-ratelimit-limit", "x-ratelimit-remaining")];
            for (first, second) in pairs {
                if let Some((rate, left)) = parse(&[(first, &a), (second, &b)], window) {
                    prop_assert!(rate > 0.0 && rate <= MAX_RATE && (0.0..=1.0).contains(&left));
                }
            }
        }
    }
}
