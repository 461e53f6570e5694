//! Reads how long a response asks the forwarder to wait.

use http::{HeaderMap, HeaderName};
use std::time::{Duration, UNIX_EPOCH};

/// Longest wait that is honoured, in microseconds: one day. Absurd values would otherwise shut out
/// a partner for good; one that asks for more is called again after a day and can repeat the
/// request. A wait is never shortened because messages can't wait that long: such messages expire
/// as usual.
pub const MAX_WAIT_US: u64 = 86_400_000_000;

/// Converts to microseconds, rounding up; none for negative values and for what is not a number.
fn to_micros(value: f64, unit: f64) -> Option<u64> {
    // The cast saturates: a float that is too large becomes `u64::MAX`.
    (value >= 0.0).then_some((value * unit).ceil() as u64)
}

/// Reads `X-Come-Back-Ms` (PROTOCOL), in microseconds. Of several values the longest counts;
/// unreadable ones are ignored.
pub fn come_back_ms(headers: &HeaderMap) -> Option<u64> {
    let values = headers.get_all(HeaderName::from_static("x-come-back-ms"));
    values.iter().filter_map(|value| to_micros(value.to_str().ok()?.trim().parse().ok()?, 1e3)).max()
}

/// Reads `Retry-After` (RFC 9110, section 10.2.3), a number of seconds or a date, in microseconds
/// from `unix_us` (Unix time in microseconds). A date in the past is a wait of 0. Of several values
/// the longest counts; unreadable ones are ignored.
pub fn retry_after(headers: &HeaderMap, unix_us: u64) -> Option<u64> {
    let read = |value: &http::HeaderValue| {
        let text = value.to_str().ok()?.trim();
        if let Ok(seconds) = text.parse::<f64>() {
            return to_micros(seconds, 1e6);
        }
        let at = httpdate::parse_http_date(text).ok()?.duration_since(UNIX_EPOCH).ok()?;
        let now = Duration::from_micros(unix_us);
        Some(u64::try_from(at.saturating_sub(now).as_micros()).unwrap_or(u64::MAX))
    };
    headers.get_all(http::header::RETRY_AFTER).iter().filter_map(read).max()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn wait(values: &[&str]) -> Option<u64> {
        let mut headers = HeaderMap::new();
        for value in values {
            headers.append(http::header::RETRY_AFTER, value.parse().unwrap());
        }
        // 1994-11-06 08:49:37 UTC, the date of the RFC's examples.
        retry_after(&headers, 784_111_777_000_000)
    }

    #[test]
    fn waits_are_read_in_every_form_and_invalid_values_are_none() {
        assert_eq!(wait(&["120"]), Some(120_000_000));
        assert_eq!(wait(&["0.25"]), Some(250_000));
        assert_eq!(wait(&["Sun, 06 Nov 1994 08:49:47 GMT"]), Some(10_000_000));
        assert_eq!(wait(&["Sun, 06 Nov 1994 08:49:27 GMT"]), Some(0), "in the past");
        assert_eq!(wait(&["1", "Sun, 06 Nov 1994 08:49:47 GMT", "x"]), Some(10_000_000), "the longest");
        assert_eq!(wait(&["1000000000000"]), Some(1_000_000_000_000_000_000));
        for invalid in ["-5", "NaN", "soon", ""] {
            assert_eq!(wait(&[invalid]), None, "{invalid}");
        }
    }

    #[test]
    fn a_wait_in_milliseconds_is_rounded_up() {
        let wait = |values: &[&str]| {
            let mut headers = HeaderMap::new();
            for value in values {
                headers.append("x-come-back-ms", value.parse().unwrap());
            }
            come_back_ms(&headers)
        };
        assert_eq!(wait(&["742"]), Some(742_000));
        assert_eq!(wait(&["0"]), Some(0));
        assert_eq!(wait(&["0.0004"]), Some(1), "rounded up to a microsecond");
        assert_eq!(wait(&["0.0015"]), Some(2));
        assert_eq!(wait(&["50", "800", "20"]), Some(800_000), "the longest");
        assert_eq!(wait(&["soon", "5"]), Some(5_000), "next to an unreadable one");
        assert_eq!(wait(&["inf"]), Some(u64::MAX), "bounded by the caller");
        for invalid in ["-5", "NaN", "soon", ""] {
            assert_eq!(wait(&[invalid]), None, "{invalid}");
        }
    }

    proptest! {
        #[test]
        fn no_value_panics(text in "[ -~]{0,60}") {
            let _ = wait(&[&text]);
        }
    }
}
