//! How a partner is spoken to, as data: what a call of a message looks like, and what comes back means. Pure functions,
//! no I/O, no clock of their own. `docs/design/partners.md` has the options.
//!
//! [`template`] fills paths and headers, [`answers`] tells what a status means, [`waits`] reads `Retry-After`, [`limits`] what
//! answers tell of a rate.

pub mod answers;
pub mod limits;
pub mod template;
pub mod waits;

pub use answers::{Meaning, StatusTable};
pub use limits::Limit;
pub use template::{Template, Values};

use http::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, HOST};

/// All slots of this forwarder are taken (PROTOCOL).
const LINE_BUSY: &str = "x-line-busy";
/// Headers that a call has by itself, that frame it, or that belong to one connection (RFC 9110, section 7.6.1): a site file
/// can't set them.
const KEPT: [&str; 12] = [
    "host",
    "content-length",
    "content-type",
    "transfer-encoding",
    "connection",
    "keep-alive",
    "te",
    "trailer",
    "upgrade",
    "expect",
    "proxy-connection",
    "proxy-authorization",
];

/// Reads the name of a header that a site may set.
///
/// # Errors
/// It is none, or one that a call has by itself.
pub fn header_name(text: &str) -> Result<HeaderName, String> {
    let name =
        HeaderName::from_bytes(text.as_bytes()).map_err(|_| format!("{text:?} is no name of a header"))?;
    if KEPT.contains(&name.as_str()) {
        return Err(format!("{text:?} is set by foldtrack itself"));
    }
    Ok(name)
}

/// A call as far as the message and the moment determine it.
#[derive(Clone, Copy, Debug)]
pub struct CallContext<'a> {
    /// What the message is called.
    pub values: Values<'a>,
    /// Its idempotency key.
    pub idempotency_key: Option<&'a str>,
    /// The endpoint, for `Host`.
    pub authority: &'a str,
    /// How long the answer is waited for, in microseconds.
    pub timeout_us: u64,
}

/// Why a message can't be sent in a dialect, now or ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsendable {
    /// Its path can't be filled.
    Path,
    /// A header can't.
    Header,
}

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
    pub key_header: Option<HeaderName>,
    /// Header that carries how long the forwarder waits, in microseconds with the unit `u`, if any.
    pub deadline_header: Option<HeaderName>,
    /// Header that carries the message's id, if any.
    pub id_header: Option<HeaderName>,
    /// Further headers.
    pub headers: Vec<(HeaderName, Template)>,
    /// What comes back means.
    pub answers: StatusTable,
    /// Answers have the headers of the project's own protocol (PROTOCOL): waits in milliseconds, and that all slots are
    /// taken; otherwise those of usual services.
    pub native: bool,
    /// For how many seconds a limit counts that is told without its window; none where such a limit is passed over.
    pub limit_window: Option<f64>,
}

impl Dialect {
    /// The project's own protocol: today's calls, and its table of answers.
    pub fn foldtrack() -> Dialect {
        Dialect {
            method: http::Method::POST,
            path: Template::fixed("/v1/messages"),
            host: None,
            content_type: "application/octet-stream".into(),
            key_header: Some(HeaderName::from_static("idempotency-key")),
            deadline_header: Some(HeaderName::from_static("x-deadline")),
            id_header: Some(HeaderName::from_static("x-request-id")),
            headers: Vec::new(),
            answers: StatusTable::foldtrack(),
            native: true,
            limit_window: None,
        }
    }

    /// A usual HTTP service: answers mean what RFC 9110 says, and no header tells more than it must.
    pub fn http() -> Dialect {
        Dialect {
            path: Template::fixed("/"),
            content_type: "application/json".into(),
            deadline_header: None,
            id_header: None,
            answers: StatusTable::http(),
            native: false,
            ..Dialect::foldtrack()
        }
    }

    /// A receiver of webhooks (Standard Webhooks 1.0): any 2xx delivers, 410 refuses for good as all 4xx do, and the id goes
    /// into `webhook-id` with the proof.
    pub fn webhook() -> Dialect {
        Dialect { key_header: None, ..Dialect::http() }
    }

    /// What an answer's head means for the message.
    pub fn meaning(&self, status: u16, headers: &HeaderMap) -> Meaning {
        match self.answers.meaning(status) {
            Meaning::Wait if self.native && status == 503 && headers.contains_key(LINE_BUSY) => {
                Meaning::NotSent
            }
            meaning => meaning,
        }
    }

    /// What an answer tells of the partner's limit; the project's own protocol tells it elsewhere.
    pub fn limit(&self, headers: &HeaderMap) -> Option<Limit> {
        (!self.native).then(|| limits::limits(headers, self.limit_window)).flatten()
    }

    /// The head of a call.
    ///
    /// # Errors
    /// The message lacks a value that the dialect needs, or has one that can't stand in its place: it can never be sent.
    pub fn head(&self, call: &CallContext<'_>) -> Result<http::request::Parts, Unsendable> {
        let path = self.path.fill_path(call.values).ok_or(Unsendable::Path)?;
        let mut request = http::Request::new(());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = path.parse().map_err(|_| Unsendable::Path)?;
        let headers = request.headers_mut();
        let value = |text: &str| HeaderValue::from_str(text).map_err(|_| Unsendable::Header);
        headers.insert(HOST, value(self.host.as_deref().unwrap_or(call.authority))?);
        if let Some(name) = &self.id_header {
            headers.insert(name.clone(), value(call.values.id)?);
        }
        if let Some(name) = &self.deadline_header {
            headers.insert(name.clone(), value(&format!("{}u", call.timeout_us))?);
        }
        headers.insert(CONTENT_TYPE, value(&self.content_type)?);
        if let Some((name, key)) = self.key_header.as_ref().zip(call.idempotency_key) {
            headers.insert(name.clone(), value(key)?);
        }
        for (name, template) in &self.headers {
            headers.insert(name.clone(), template.fill_header(call.values).ok_or(Unsendable::Header)?);
        }
        Ok(request.into_parts().0)
    }

    /// The wait that an answer tells, in microseconds from now, at most [`waits::LONGEST`]; none if it tells none.
    pub fn wait(&self, headers: &HeaderMap, unix_us: u64) -> Option<u64> {
        let told =
            if self.native { waits::come_back_ms(headers) } else { waits::retry_after(headers, unix_us) };
        told.map(|wait| wait.min(waits::LONGEST))
    }
}
