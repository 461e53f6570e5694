//! How a partner is spoken to, as data: what a call of a message looks like, and what comes back means. Pure functions,
//! no I/O, no clock of their own. `docs/design/dialect.md` has the options.
//!
//! [`template`] fills paths and headers, [`answers`] tells what a status means, [`waits`] reads `Retry-After`.

pub mod answers;
pub mod template;
pub mod waits;

pub use answers::{Meaning, Table};
pub use template::{Template, Values};

/// How one partner is spoken to.
#[derive(Clone, Debug, PartialEq)]
pub struct Dialect {
    /// `POST`, `PUT` or `PATCH`.
    pub method: http::Method,
    /// Path and query of a call.
    pub path: Template,
    /// `Host`; the endpoint's address where there is none.
    pub host: Option<String>,
    /// `Content-Type`.
    pub content_type: String,
    /// Header that carries the idempotency key, if any.
    pub key_header: Option<http::HeaderName>,
    /// Header that carries how long the forwarder waits, in microseconds with the unit `u`, if any.
    pub deadline_header: Option<http::HeaderName>,
    /// Header that carries the message's id, if any.
    pub id_header: Option<http::HeaderName>,
    /// Further headers.
    pub headers: Vec<(http::HeaderName, Template)>,
    /// What comes back means.
    pub answers: Table,
    /// Header that tells a wait in milliseconds (PROTOCOL), beside `Retry-After`.
    pub own_waits: bool,
}

impl Dialect {
    /// The project's own protocol: today's calls, and its table of answers.
    pub fn foldtrack() -> Dialect {
        Dialect {
            method: http::Method::POST,
            path: Template::fixed("/v1/messages"),
            host: None,
            content_type: "application/octet-stream".into(),
            key_header: Some(http::HeaderName::from_static("idempotency-key")),
            deadline_header: Some(http::HeaderName::from_static("x-deadline")),
            id_header: Some(http::HeaderName::from_static("x-request-id")),
            headers: Vec::new(),
            answers: Table::foldtrack(),
            own_waits: true,
        }
    }

    /// A usual HTTP service: answers mean what RFC 9110 says, and no header tells more than it must.
    pub fn http() -> Dialect {
        Dialect {
            path: Template::fixed("/"),
            content_type: "application/json".into(),
            deadline_header: None,
            id_header: None,
            answers: Table::http(),
            own_waits: false,
            ..Dialect::foldtrack()
        }
    }

    /// The wait that an answer tells, in microseconds from now, at most `longest`; none if it tells none.
    pub fn wait(&self, headers: &http::HeaderMap, unix_us: u64, longest: u64) -> Option<u64> {
        let own = self.own_waits.then(|| waits::come_back_ms(headers)).flatten();
        let told = own.or_else(|| (!self.own_waits).then(|| waits::retry_after(headers, unix_us)).flatten());
        told.map(|wait| wait.min(longest))
    }
}
