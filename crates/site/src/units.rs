//! Spans, sizes and rates as an operator writes them.

use parse_size::{ByteSuffix, Config};

/// A span such as `3s`, `250ms` or `1h 30m`, in microseconds.
///
/// # Errors
/// What would be right.
pub fn parse_duration(text: &str) -> Result<u64, String> {
    let right = || format!("{text:?} is no span; one is a number with a unit: \"250ms\", \"3s\", \"1h 30m\"");
    let span = humantime::parse_duration(text).map_err(|_| right())?;
    u64::try_from(span.as_micros()).map_err(|_| right())
}

/// A size such as `64KiB` or `256MiB`, in bytes. The unit is needed: a bare number could mean any.
///
/// # Errors
/// What would be right.
pub fn parse_size(text: &str) -> Result<u64, String> {
    let right =
        || format!("{text:?} is no size; one is a number with a unit: \"64KiB\", \"256MiB\", \"2GB\"");
    let sized = Config::new().with_byte_suffix(ByteSuffix::Require);
    sized.parse_size(text).map_err(|_| right())
}

/// A rate such as `250 msgs/s` or `30 msgs/min`, in messages a second, above 0 and at most a million.
///
/// # Errors
/// What would be right.
pub fn parse_rate(text: &str) -> Result<f64, String> {
    let right = || format!("{text:?} is no rate; one is \"250 msgs/s\", \"30 msgs/min\" or \"500 msgs/h\"");
    let (number, unit) = text.split_once("msgs/").ok_or_else(right)?;
    let seconds = match unit.trim() {
        "s" => 1.0,
        "min" => 60.0,
        "h" => 3600.0,
        _ => return Err(right()),
    };
    let rate = number.trim().parse::<f64>().map_err(|_| right())? / seconds;
    if !(rate.is_finite() && rate > 0.0 && rate <= 1e6) {
        return Err(format!("{text:?}: a rate is above 0 and at most 1000000 msgs/s"));
    }
    Ok(rate)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn spans_sizes_and_rates_need_their_units_and_mean_what_they_say() {
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
        fn no_text_brings_a_parser_down(text in ".{0,40}") {
            let _ = (parse_duration(&text), parse_size(&text), parse_rate(&text));
        }
    }
}
