//! How messages are mapped to HTTP calls to a partner, and its responses back. Pure functions
//! without I/O or a clock. `docs/design/partners.md` compares the alternatives.
//!
//! [`template`] fills paths and headers, [`answers`] maps statuses to meanings, [`waits`] reads
//! `Retry-After`, and [`limits`] reads rate limit headers.

pub mod answers;
pub mod limits;
pub mod template;
pub mod waits;

pub use answers::{Meaning, StatusTable};
pub use limits::Limit;
pub use template::{Template, Values};

use http::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, HOST};

/// Header of a forwarder whose call slots are all in use (PROTOCOL).
const LINE_BUSY: &str = "x-line-busy";
/// Headers that a site file can't set: those that every call has, that frame the message, or that
/// belong to one connection (RFC 9110, section 7.6.1).
const RESERVED_HEADERS: [&str; 12] = [
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

/// Parses the name of a header that a site file sets.
///
/// # Errors
/// The name is not a valid header name, or a reserved one.
pub fn header_name(text: &str) -> Result<HeaderName, String> {
    let name = HeaderName::from_bytes(text.as_bytes())
        .map_err(|_| format!("{text:?} is not a valid header name"))?;
    if RESERVED_HEADERS.contains(&name.as_str()) {
        return Err(format!("{text:?} is set by foldtrack itself"));
    }
    Ok(name)
}

/// The inputs of a request head.
#[derive(Clone, Copy, Debug)]
pub struct CallContext<'a> {
    /// Values for the templates.
    pub values: Values<'a>,
    /// The idempotency key of the message.
    pub idempotency_key: Option<&'a str>,
    /// Address of the endpoint, for `Host`.
    pub authority: &'a str,
    /// How long the forwarder waits for the response, in microseconds.
    pub timeout_us: u64,
}

/// Why a message can never be sent to a partner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsendable {
    /// The path template can't be filled.
    Path,
    /// A header can't be filled.
    Header,
}

/// The HTTP mapping of one partner.
#[derive(Clone, Debug, PartialEq)]
pub struct Dialect {
    /// `POST`, `PUT` or `PATCH`.
    pub method: http::Method,
    /// Path and query.
    pub path: Template,
    /// Value of `Host`; the endpoint's address if not set.
    pub host: Option<String>,
    /// Value of `Content-Type`.
    pub content_type: String,
    /// Header for the idempotency key, if any.
    pub key_header: Option<HeaderName>,
    /// Header for the time that the forwarder waits, in microseconds with the unit `u`, if any.
    pub deadline_header: Option<HeaderName>,
    /// Header for the message id, if any.
    pub id_header: Option<HeaderName>,
    /// Additional headers.
    pub headers: Vec<(HeaderName, Template)>,
    /// Meanings of response statuses.
    pub answers: StatusTable,
    /// The partner speaks the native protocol (PROTOCOL): responses carry waits in milliseconds and
    /// may report that all slots are in use. Otherwise the headers of usual HTTP services apply.
    pub native: bool,
    /// Window in seconds of a rate limit that is reported without one. If not set, such limits are
    /// ignored.
    pub limit_window: Option<f64>,
}

impl Dialect {
    /// The native protocol between forwarders.
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

    /// An HTTP service: responses mean what RFC 9110 says, and requests carry no optional header
    /// except the idempotency key.
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

    /// A receiver of webhooks (Standard Webhooks 1.0): any 2xx delivers; any 4xx, 410 included,
    /// refuses for good; the id is sent in `webhook-id` with the signature.
    pub fn webhook() -> Dialect {
        Dialect { key_header: None, ..Dialect::http() }
    }

    /// The meaning of a response head.
    pub fn meaning(&self, status: u16, headers: &HeaderMap) -> Meaning {
        match self.answers.meaning(status) {
            Meaning::Wait if self.native && status == 503 && headers.contains_key(LINE_BUSY) => {
                Meaning::NotSent
            }
            meaning => meaning,
        }
    }

    /// The rate limit that a response reports. The native protocol reports it in another header,
    /// which is read elsewhere.
    pub fn limit(&self, headers: &HeaderMap) -> Option<Limit> {
        (!self.native).then(|| limits::limits(headers, self.limit_window)).flatten()
    }

    /// Builds the request head of a call.
    ///
    /// # Errors
    /// The message lacks a value that the mapping needs, or has one that can't be written there: it
    /// can never be sent.
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

    /// The wait that a response requests, in microseconds from now, at most [`waits::MAX_WAIT_US`];
    /// none if it requests none.
    pub fn wait(&self, headers: &HeaderMap, unix_us: u64) -> Option<u64> {
        let wait =
            if self.native { waits::come_back_ms(headers) } else { waits::retry_after(headers, unix_us) };
        wait.map(|wait| wait.min(waits::MAX_WAIT_US))
    }
}
