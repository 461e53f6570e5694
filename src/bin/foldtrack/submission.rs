//! The head of a request that submits a message.

use crate::ends_api::EndsApi;
use crate::message::Message;
use bytes::Bytes;
use foldtrack_delivery::settings::DeploymentSettings;
use foldtrack_delivery::{Effect, Micros};
use hyper::header::HeaderMap;
use hyper::{Method, Request, StatusCode};

/// Maximum length of a message id, a key or a header value, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Longest span that a client can give, in microseconds.
const MAX_SPAN_US: f64 = 1e15;

/// A message without its body.
#[derive(Debug)]
pub(crate) struct SubmissionHead {
    id: String,
    class: usize,
    destination: u32,
    key: String,
    idempotency_key: Option<String>,
    retry: Option<String>,
    expires: Micros,
}

impl SubmissionHead {
    /// Reads the head of a request that was received at this time.
    ///
    /// # Errors
    /// The status of the response.
    pub fn read<B>(
        request: &Request<B>, received_at: Micros, settings: &DeploymentSettings, ends_api: Option<&EndsApi>,
    ) -> Result<SubmissionHead, StatusCode> {
        const BAD: StatusCode = StatusCode::BAD_REQUEST;
        let path = request.uri().path().trim_start_matches('/');
        let (class_name, key) = path.split_once('/').unwrap_or((path, ""));
        let index = settings.class_names.iter().position(|n| n == class_name);
        let class = index.ok_or(StatusCode::NOT_FOUND)?;
        if request.method() != Method::POST {
            return Err(StatusCode::METHOD_NOT_ALLOWED);
        }
        let rules = &settings.settings.classes[class];
        let key =
            if rules.in_order { key.rsplit('/').next().unwrap_or("").to_string() } else { String::new() };
        let header = |name| header_value(request.headers(), name);
        let id = header("X-Request-Id")?.filter(|id| !id.is_empty()).ok_or(BAD)?;
        let deadline = header("X-Deadline")?;
        let (left, destination) = match ends_api {
            None => {
                let destination = header("X-Consignee")?.and_then(|t| parse_destination(&t)).ok_or(BAD)?;
                (deadline.and_then(|t| parse_span(&t)), destination)
            }
            // Clients of a site name partners, and need not know the deadline of the class.
            Some(ends_api) => {
                let partner = header("X-Partner")?.ok_or(BAD)?;
                let number = ends_api.partners.get(&partner).ok_or(StatusCode::NOT_FOUND)?;
                (deadline.map_or(Some(rules.deadline), |t| parse_span(&t)), *number)
            }
        };
        let left = left.filter(|l| *l <= rules.deadline).ok_or(BAD)?;
        let idempotency_key = header("Idempotency-Key")?;
        if rules.effect == Effect::Keyed && idempotency_key.is_none() {
            return Err(BAD);
        }
        let retry = header("X-Retry")?;
        if key.len() > MAX_NAME_BYTES {
            return Err(BAD);
        }
        let expires = received_at.checked_add(left).ok_or(BAD)?;
        Ok(SubmissionHead { id, class, destination, key, idempotency_key, retry, expires })
    }

    /// The message with its body.
    pub fn with_body(self, body: Bytes) -> Message {
        let SubmissionHead { id, class, destination, key, idempotency_key, retry, expires } = self;
        Message { id, class, destination, key, idempotency_key, retry, expires, body }
    }
}

/// The value of a header, if there is one.
///
/// # Errors
/// The header is not text or too long, or occurs twice: the target might read the other value.
fn header_value(headers: &HeaderMap, name: &str) -> Result<Option<String>, StatusCode> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let value = value.to_str().ok().filter(|v| values.next().is_none() && v.len() <= MAX_NAME_BYTES);
    Ok(Some(value.ok_or(StatusCode::BAD_REQUEST)?.trim().to_string()))
}

/// Parses a duration with its unit: `480m` in milliseconds or `900u` in microseconds.
fn parse_span(text: &str) -> Option<Micros> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let factor = match unit {
        "m" => 1000.0,
        "u" => 1.0,
        _ => return None,
    };
    let span = number.parse::<f64>().ok()? * factor;
    (0.0..MAX_SPAN_US).contains(&span).then_some(span as Micros)
}

/// Reads the number of the destination from a list of `name=value` pairs.
fn parse_destination(text: &str) -> Option<u32> {
    let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    let number = pairs.find(|(name, _)| name.trim() == "dest")?.1.trim().parse::<f64>().ok()?;
    (number.fract() == 0.0 && (0.0..=f64::from(u32::MAX)).contains(&number)).then_some(number as u32)
}
