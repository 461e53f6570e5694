//! How long an answer asks to wait.

use http::{HeaderMap, HeaderName};
use std::time::{Duration, UNIX_EPOCH};

/// `X-Come-Back-Ms` (PROTOCOL), in microseconds; none if it can't be read.
pub fn come_back_ms(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(HeaderName::from_static("x-come-back-ms"))?.to_str().ok()?;
    let ms = text.trim().parse::<f64>().ok().filter(|ms| *ms >= 0.0)?;
    // A float that is too large for the type becomes its largest value.
    Some((ms * 1e3) as u64)
}

/// `Retry-After` (RFC 9110, section 10.2.3), seconds or a date, in microseconds from now by the clock here (Unix time in
/// microseconds); a date in the past is no wait. Of several the longest counts; what can't be read is passed over.
pub fn retry_after(headers: &HeaderMap, unix_us: u64) -> Option<u64> {
    let read = |value: &http::HeaderValue| {
        let text = value.to_str().ok()?.trim();
        if let Ok(seconds) = text.parse::<f64>() {
            return (seconds >= 0.0).then_some((seconds * 1e6) as u64);
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
    fn waits_are_read_in_every_form_and_nonsense_is_none() {
        assert_eq!(wait(&["120"]), Some(120_000_000));
        assert_eq!(wait(&["0.25"]), Some(250_000));
        assert_eq!(wait(&["Sun, 06 Nov 1994 08:49:47 GMT"]), Some(10_000_000));
        assert_eq!(wait(&["Sun, 06 Nov 1994 08:49:27 GMT"]), Some(0), "in the past");
        assert_eq!(wait(&["1", "Sun, 06 Nov 1994 08:49:47 GMT", "x"]), Some(10_000_000), "the longest");
        assert_eq!(wait(&["1000000000000"]), Some(1_000_000_000_000_000_000));
        for nonsense in ["-5", "NaN", "soon", ""] {
            assert_eq!(wait(&[nonsense]), None, "{nonsense}");
        }
    }

    proptest! {
        #[test]
        fn no_value_panics(text in "[ -~]{0,60}") {
            let _ = wait(&[&text]);
        }
    }
}
