//! Parsers for durations, sizes and rates in the notation of the site file.

use parse_size::{ByteSuffix, Config};

/// Parses a duration such as `3s`, `250ms` or `1h 30m` into microseconds.
///
/// # Errors
/// Returns a message that describes the expected notation.
pub fn parse_duration(text: &str) -> Result<u64, String> {
    let error = || {
        format!("{text:?} is not a duration; expected numbers with units, such as \"250ms\", \"3s\" or \"1h 30m\"")
    };
    let duration = humantime::parse_duration(text).map_err(|_| error())?;
    u64::try_from(duration.as_micros()).map_err(|_| error())
}

/// Parses a size such as `64KiB` or `256MiB` into bytes. The unit is required, because a bare number is ambiguous.
///
/// # Errors
/// Returns a message that describes the expected notation.
pub fn parse_size(text: &str) -> Result<u64, String> {
    let error = || {
        format!(
            "{text:?} is not a size; expected a number with a unit, such as \"64KiB\", \"256MiB\" or \"2GB\""
        )
    };
    let config = Config::new().with_byte_suffix(ByteSuffix::Require);
    config.parse_size(text).map_err(|_| error())
}

/// Parses a rate such as `250 msgs/s` or `30 msgs/min` into messages per second. It must be above 0 and at most a million.
///
/// # Errors
/// Returns a message that describes the expected notation.
pub fn parse_rate(text: &str) -> Result<f64, String> {
    let error = || {
        format!("{text:?} is not a rate; expected a rate such as \"250 msgs/s\", \"30 msgs/min\" or \"500 msgs/h\"")
    };
    let (number, unit) = text.split_once("msgs/").ok_or_else(error)?;
    let seconds = match unit.trim() {
        "s" => 1.0,
        "min" => 60.0,
        "h" => 3600.0,
        _ => return Err(error()),
    };
    let rate = number.trim().parse::<f64>().map_err(|_| error())? / seconds;
    if !(rate.is_finite() && rate > 0.0 && rate <= 1e6) {
        return Err(format!("{text:?}: a rate must be above 0 and at most 1000000 msgs/s"));
    }
    Ok(rate)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn durations_sizes_and_rates_require_units() {
        assert_eq!(parse_duration("3s"), Ok(3_000_000));
        assert_eq!(parse_duration("1h 30m"), Ok(5_400_000_000));
        assert_eq!(parse_duration("250ms"), Ok(250_000));
        assert_eq!(parse_size("64KiB"), Ok(65_536));
        assert_eq!(parse_size("2 MB"), Ok(2_000_000));
        assert_eq!(parse_rate("250 msgs/s"), Ok(250.0));
        assert_eq!(parse_rate("30 msgs/min"), Ok(0.5));
        for text in ["", "3", "s", "-3s", "3 parsecs", "9999999999999999y"] {
            assert!(parse_duration(text).unwrap_err().contains("3s"), "{text}");
        }
        for text in ["", "64", "-1KiB", "KiB", "64 kilos"] {
            assert!(parse_size(text).unwrap_err().contains("KiB"), "{text}");
        }
        for text in ["", "250", "250/s", "x msgs/s", "0 msgs/s", "-1 msgs/s", "NaN msgs/s", "1e9 msgs/s"] {
            assert!(parse_rate(text).unwrap_err().contains("msgs/s"), "{text}");
        }
    }

    proptest! {
        #[test]
        fn arbitrary_text_does_not_panic_a_parser(text in ".{0,40}") {
            let _ = (parse_duration(&text), parse_size(&text), parse_rate(&text));
        }
    }
}
