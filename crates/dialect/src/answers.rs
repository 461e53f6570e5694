//! What a status means for the message. The table alone says that something has not run: what it lacks may have.

use std::ops::RangeInclusive;

/// What an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// The partner has taken it.
    Delivered,
    /// It will never take it, and nothing has run: the message ends.
    RefusedForGood,
    /// Not now; nothing has run. A wait that is told is heeded.
    Wait,
    /// Something went wrong, and it may have run.
    MayHaveRun,
    /// Something went wrong before anything ran.
    HasNotRun,
    /// Not sent on behind a forwarder of this kind, or the message is over (PROTOCOL).
    NotSent,
    /// The message is over there (PROTOCOL).
    Over,
}

impl Meaning {
    /// Reads the word of a site file.
    ///
    /// # Errors
    /// The words that there are.
    pub fn read(word: &str) -> Result<Meaning, String> {
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

/// What statuses mean that no line of a table names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Usual {
    Foldtrack,
    Http,
}

/// Statuses and what they mean.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusTable {
    own: Vec<(RangeInclusive<u16>, Meaning)>,
    usual: Usual,
}

/// Today's protocol (PROTOCOL, "Forwarders to targets").
fn foldtrack(status: u16) -> Meaning {
    match status {
        200 => Meaning::Delivered,
        429 | 503 => Meaning::Wait,
        504 => Meaning::NotSent,
        410 => Meaning::Over,
        _ => Meaning::MayHaveRun,
    }
}

/// A usual service (RFC 9110, section 15; 425 by RFC 8470, 429 by RFC 6585). A redirect is not followed: what is meant for
/// one place does not go to another. A server that says that it failed may have failed afterwards.
fn http(status: u16) -> Meaning {
    match status {
        200..=299 => Meaning::Delivered,
        408 | 425 | 429 | 503 => Meaning::Wait,
        300..=499 => Meaning::RefusedForGood,
        _ => Meaning::MayHaveRun,
    }
}

impl StatusTable {
    /// Today's protocol.
    pub fn foldtrack() -> StatusTable {
        StatusTable { own: Vec::new(), usual: Usual::Foldtrack }
    }

    /// A usual service.
    pub fn http() -> StatusTable {
        StatusTable { own: Vec::new(), usual: Usual::Http }
    }

    /// Adds lines of a site file: `("422", "delivered")`, `("500-599", "has-not-run")`.
    ///
    /// # Errors
    /// The first line that can't be read, or whose statuses another line has too.
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
            if let Some((other, _)) = self.own.iter().find(|(r, _)| *r.start() <= to && from <= *r.end()) {
                return Err(format!("{statuses:?} overlaps {}-{}", other.start(), other.end()));
            }
            self.own.push((from..=to, Meaning::read(word)?));
        }
        Ok(self)
    }

    /// What a status means.
    pub fn meaning(&self, status: u16) -> Meaning {
        let own = self.own.iter().find(|(range, _)| range.contains(&status));
        match (own, self.usual) {
            (Some((_, meaning)), _) => *meaning,
            (None, Usual::Foldtrack) => foldtrack(status),
            (None, Usual::Http) => http(status),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_table_says_what_its_lines_say_and_else_what_is_usual() {
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
            "today's protocol knows 200 alone"
        );
    }

    proptest! {
        /// Nothing is claimed not to have run but where the table says so.
        #[test]
        fn what_no_line_names_is_as_usual(status in 0..1000u16, from in 200..600u16, width in 0..50u16) {
            let to = (from + width).min(599);
            let lines = format!("{from}-{to}");
            let table = StatusTable::http().with_overrides([(lines.as_str(), "has-not-run")]).unwrap();
            let claims = table.meaning(status) == Meaning::HasNotRun;
            prop_assert_eq!(claims, (from..=to).contains(&status));
        }
    }
}
