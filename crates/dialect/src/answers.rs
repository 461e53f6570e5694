//! Maps response statuses to what they mean for a message. Only this table can state that a call
//! has not run; any status without an entry may have run.

use std::ops::RangeInclusive;

/// The meaning of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// The partner has accepted the message.
    Delivered,
    /// The partner will never accept the message, and nothing has run: the message ends.
    RefusedForGood,
    /// The partner can't accept it now, and nothing has run. A requested wait is honoured.
    Wait,
    /// The call failed and may have run.
    MayHaveRun,
    /// The call failed before anything ran.
    HasNotRun,
    /// The forwarder at the other end did not send the message on (PROTOCOL).
    NotSent,
    /// The message has ended at the other forwarder (PROTOCOL).
    Over,
}

impl Meaning {
    /// Parses the name that a site file uses.
    ///
    /// # Errors
    /// The name is unknown; the text lists those that exist.
    pub fn parse(word: &str) -> Result<Meaning, String> {
        match word {
            "delivered" => Ok(Meaning::Delivered),
            "refused" => Ok(Meaning::RefusedForGood),
            "wait" => Ok(Meaning::Wait),
            "may-have-run" => Ok(Meaning::MayHaveRun),
            "has-not-run" => Ok(Meaning::HasNotRun),
            _ => Err(format!(
                "{word:?} is no meaning; there are \"delivered\", \"refused\", \"wait\", \"may-have-run\" and \"has-not-run\""
            )),
        }
    }
}

/// The defaults for statuses that no override covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Defaults {
    Foldtrack,
    Http,
}

/// Meanings by status: overrides on top of defaults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusTable {
    overrides: Vec<(RangeInclusive<u16>, Meaning)>,
    defaults: Defaults,
}

/// Defaults of the native protocol (PROTOCOL, "Forwarders to targets").
fn native_meaning(status: u16) -> Meaning {
    match status {
        200 => Meaning::Delivered,
        429 | 503 => Meaning::Wait,
        504 => Meaning::NotSent,
        410 => Meaning::Over,
        _ => Meaning::MayHaveRun,
    }
}

/// Defaults of an HTTP service (RFC 9110, section 15; 425 by RFC 8470, 429 by RFC 6585). Redirects
/// are not followed: a message for one address is not sent to another. A server that reports a
/// failure may have failed after the effect.
fn http_meaning(status: u16) -> Meaning {
    match status {
        200..=299 => Meaning::Delivered,
        408 | 425 | 429 | 503 => Meaning::Wait,
        300..=499 => Meaning::RefusedForGood,
        _ => Meaning::MayHaveRun,
    }
}

impl StatusTable {
    /// The table of the native protocol.
    pub fn foldtrack() -> StatusTable {
        StatusTable { overrides: Vec::new(), defaults: Defaults::Foldtrack }
    }

    /// The table of an HTTP service.
    pub fn http() -> StatusTable {
        StatusTable { overrides: Vec::new(), defaults: Defaults::Http }
    }

    /// Adds overrides from a site file, such as `("422", "delivered")` or `("500-599",
    /// "has-not-run")`.
    ///
    /// # Errors
    /// The first entry that can't be parsed, or whose statuses overlap another entry's.
    pub fn with_overrides<'a>(
        mut self, lines: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Result<StatusTable, String> {
        for (statuses, word) in lines {
            let (from, to) = statuses.split_once('-').unwrap_or((statuses, statuses));
            let read = |text: &str| text.trim().parse::<u16>().ok().filter(|s| (200..=599).contains(s));
            let range = read(from).zip(read(to)).filter(|(from, to)| from <= to);
            let Some((from, to)) = range else {
                return Err(format!(
                    "{statuses:?} is no status or range of them: \"409\" or \"500-599\", 200 to 599"
                ));
            };
            if let Some((other, _)) =
                self.overrides.iter().find(|(r, _)| *r.start() <= to && from <= *r.end())
            {
                return Err(format!("{statuses:?} overlaps {}-{}", other.start(), other.end()));
            }
            self.overrides.push((from..=to, Meaning::parse(word)?));
        }
        Ok(self)
    }

    /// Returns the meaning of a status.
    pub fn meaning(&self, status: u16) -> Meaning {
        let override_row = self.overrides.iter().find(|(range, _)| range.contains(&status));
        match (override_row, self.defaults) {
            (Some((_, meaning)), _) => *meaning,
            (None, Defaults::Foldtrack) => native_meaning(status),
            (None, Defaults::Http) => http_meaning(status),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn overrides_apply_before_the_defaults() {
        let table =
            StatusTable::http().with_overrides([("409", "delivered"), ("500-502", "has-not-run")]).unwrap();
        for (status, meaning) in [
            (202, Meaning::Delivered),
            (204, Meaning::Delivered),
            (307, Meaning::RefusedForGood),
            (409, Meaning::Delivered),
            (422, Meaning::RefusedForGood),
            (429, Meaning::Wait),
            (500, Meaning::HasNotRun),
            (503, Meaning::Wait),
            (504, Meaning::MayHaveRun),
            (199, Meaning::MayHaveRun),
        ] {
            assert_eq!(table.meaning(status), meaning, "{status}");
        }
        for lines in [
            [("200-", "wait"), ("1", "wait")],
            [("409", "delivered"), ("400-410", "wait")],
            [("409", "gone"), ("1", "x")],
        ] {
            assert!(StatusTable::http().with_overrides(lines).is_err(), "{lines:?}");
        }
        assert_eq!(
            StatusTable::foldtrack().meaning(202),
            Meaning::MayHaveRun,
            "the native protocol knows only 200"
        );
    }

    proptest! {
        /// A status counts as not having run only if an override says so.
        #[test]
        fn only_an_override_states_that_a_call_has_not_run(
            status in 0..1000u16,
            from in 200..600u16,
            width in 0..50u16,
        ) {
            let to = (from + width).min(599);
            let lines = format!("{from}-{to}");
            let table = StatusTable::http().with_overrides([(lines.as_str(), "has-not-run")]).unwrap();
            let claims = table.meaning(status) == Meaning::HasNotRun;
            prop_assert_eq!(claims, (from..=to).contains(&status));
        }
    }
}
