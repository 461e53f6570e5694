//! Authenticates calls to a partner: computes the headers for each call from a secret, the message
//! and the time. Pure functions; files and clocks are read elsewhere. Secrets are zeroed when
//! dropped, and no `Debug` output of this crate shows one.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use hmac::{Hmac, Mac};
use http::header::{HeaderName, HeaderValue, AUTHORIZATION};
use secrecy::{ExposeSecret, SecretBox};
use sha2::Sha256;

/// Maximum size of a secret file in bytes.
pub const MAX_FILE_BYTES: usize = 16 * 1024;
/// Maximum number of webhook secrets that sign in parallel during a rotation.
pub const MAX_WEBHOOK_SECRETS: usize = 2;
/// Length of a webhook secret in bytes (Standard Webhooks, "Symmetric signatures").
const WEBHOOK_SECRET_BYTES: std::ops::RangeInclusive<usize> = 24..=64;
/// Prefix of a webhook secret in its text form.
const WEBHOOK_SECRET_PREFIX: &str = "whsec_";

/// How calls are authenticated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthScheme {
    /// `Authorization: Bearer TOKEN` (RFC 6750, section 2.1).
    Bearer,
    /// `Authorization: Basic` with this user, and the secret as the password (RFC 7617).
    Basic {
        /// User name, without a colon.
        user: String,
    },
    /// `webhook-id`, `webhook-timestamp` and `webhook-signature` (Standard Webhooks 1.0).
    Webhook,
}

/// The secrets of a file, the current one first.
pub struct Secrets(Vec<SecretBox<Vec<u8>>>);

impl std::fmt::Debug for Secrets {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} secrets", self.0.len())
    }
}

/// Whether a byte may be part of a bearer token: `b64token` of RFC 6750, section 2.1.
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~+/=".contains(&byte)
}

impl Secrets {
    /// Parses the text of a secret file: one secret per line, blank lines ignored.
    ///
    /// # Errors
    /// What is wrong and on which line, without quoting the text.
    pub fn parse(kind: &AuthScheme, text: &[u8]) -> Result<Secrets, String> {
        if text.len() > MAX_FILE_BYTES {
            return Err(format!("has more than {MAX_FILE_BYTES} bytes"));
        }
        let mut secrets = Vec::new();
        for (number, line) in text.split(|b| *b == b'\n').enumerate() {
            let line = line.trim_ascii();
            if line.is_empty() {
                continue;
            }
            let read = match kind {
                AuthScheme::Bearer if !line.iter().all(|b| is_token(*b)) => {
                    Err("has characters that no token has")
                }
                AuthScheme::Basic { .. } if line.iter().any(u8::is_ascii_control) => {
                    Err("has control characters")
                }
                AuthScheme::Bearer | AuthScheme::Basic { .. } => Ok(line.to_vec()),
                AuthScheme::Webhook => webhook_secret(line),
            };
            let read = read.map_err(|problem| format!("line {}: {problem}", number + 1))?;
            secrets.push(SecretBox::new(Box::new(read)));
        }
        let max = if *kind == AuthScheme::Webhook { MAX_WEBHOOK_SECRETS } else { 1 };
        match secrets.len() {
            0 => Err("is empty: it needs one secret per line".into()),
            n if n > max => Err(format!("has {n} secrets, where {max} are the most")),
            _ => Ok(Secrets(secrets)),
        }
    }
}

/// Decodes a webhook secret.
fn webhook_secret(line: &[u8]) -> Result<Vec<u8>, &'static str> {
    const INVALID: &str = "is not a webhook secret: whsec_ and the base64 of 24 to 64 bytes";
    let text = std::str::from_utf8(line).map_err(|_| INVALID)?;
    let secret =
        STANDARD.decode(text.strip_prefix(WEBHOOK_SECRET_PREFIX).unwrap_or(text)).map_err(|_| INVALID)?;
    if WEBHOOK_SECRET_BYTES.contains(&secret.len()) {
        Ok(secret)
    } else {
        Err(INVALID)
    }
}

/// The parts of a call that are signed.
#[derive(Clone, Copy, Debug)]
pub struct SignedCall<'a> {
    /// Message id. It is the same for every attempt, so that the partner can drop duplicates.
    pub id: &'a str,
    /// Unix time of this attempt, in seconds.
    pub timestamp: u64,
    /// The body as it is sent.
    pub body: &'a [u8],
}

/// Builds the headers that authenticate a call, marked as sensitive. Returns none if a value of the
/// message can't be written into a header, or could be confused with another part of the signed
/// text.
pub fn headers(
    kind: &AuthScheme, secrets: &Secrets, call: SignedCall<'_>,
) -> Option<Vec<(HeaderName, HeaderValue)>> {
    let sensitive = |text: &[u8]| {
        let mut value = HeaderValue::from_bytes(text).ok()?;
        value.set_sensitive(true);
        Some(value)
    };
    let first = secrets.0.first()?.expose_secret();
    match kind {
        AuthScheme::Bearer => {
            let value = sensitive(&[b"Bearer ", first.as_slice()].concat())?;
            Some(vec![(AUTHORIZATION, value)])
        }
        AuthScheme::Basic { user } => {
            let pair = STANDARD.encode([user.as_bytes(), b":", first].concat());
            Some(vec![(AUTHORIZATION, sensitive(format!("Basic {pair}").as_bytes())?)])
        }
        AuthScheme::Webhook => {
            // With a full stop in it, an id could be read as another id and timestamp.
            let valid_id = !call.id.is_empty() && !call.id.contains('.');
            let id = HeaderValue::from_str(call.id).ok().filter(|_| valid_id)?;
            let signatures: Option<Vec<String>> =
                secrets.0.iter().map(|s| sign(s.expose_secret(), call)).collect();
            let named = HeaderName::from_static;
            Some(vec![
                (named("webhook-id"), id),
                (named("webhook-timestamp"), HeaderValue::from(call.timestamp)),
                (named("webhook-signature"), sensitive(signatures?.join(" ").as_bytes())?),
            ])
        }
    }
}

/// Computes one signature: `v1,` and the base64 of HMAC-SHA256 over `id.timestamp.body`.
fn sign(secret: &[u8], call: SignedCall<'_>) -> Option<String> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).ok()?;
    mac.update(format!("{}.{}.", call.id, call.timestamp).as_bytes());
    mac.update(call.body);
    Some(format!("v1,{}", STANDARD.encode(mac.finalize().into_bytes())))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const BODY: &[u8] = br#"{"test": 2432232314}"#;
    /// The example of the Standard Webhooks libraries.
    const EXAMPLE: &str = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw";

    fn header_list(kind: &AuthScheme, text: &str, id: &str, unix: u64) -> Option<Vec<(HeaderName, String)>> {
        let secrets = Secrets::parse(kind, text.as_bytes()).unwrap();
        let made = headers(kind, &secrets, SignedCall { id, timestamp: unix, body: BODY })?;
        Some(made.into_iter().map(|(n, v)| (n, v.to_str().unwrap().to_string())).collect())
    }

    #[test]
    fn headers_match_the_examples_of_the_specifications() {
        let bearer = header_list(&AuthScheme::Bearer, "mF_9.B5f-4.1JqM\n", "m1", 0).unwrap();
        assert_eq!(bearer, [(AUTHORIZATION, "Bearer mF_9.B5f-4.1JqM".to_string())]);
        let basic =
            header_list(&AuthScheme::Basic { user: "Aladdin".into() }, "open sesame", "m1", 0).unwrap();
        assert_eq!(basic[0].1, "Basic QWxhZGRpbjpvcGVuIHNlc2FtZQ==", "the example of RFC 7617");
        let signed =
            header_list(&AuthScheme::Webhook, EXAMPLE, "msg_p5jXN8AQM9LWM0D4loKWxJek", 1_614_265_330)
                .unwrap();
        assert_eq!(signed[0].1, "msg_p5jXN8AQM9LWM0D4loKWxJek");
        assert_eq!(signed[1].1, "1614265330");
        assert_eq!(signed[2].1, "v1,g0hM9SsE+OTPJTGt/tmIKtSyZlE3uFJELVlNIOLJ1OE=");
    }

    #[test]
    fn webhooks_sign_with_two_secrets_and_other_schemes_take_one() {
        let other = format!("whsec_{}", STANDARD.encode([7; 32]));
        let both = header_list(&AuthScheme::Webhook, &format!("{other}\n\n{EXAMPLE}\n"), "m", 5).unwrap();
        let alone = [&other, EXAMPLE]
            .map(|text| header_list(&AuthScheme::Webhook, text, "m", 5).unwrap().remove(2).1);
        assert_eq!(both[2].1, alone.join(" "));
        let error = |kind: &AuthScheme, text: &str| Secrets::parse(kind, text.as_bytes()).unwrap_err();
        assert!(error(&AuthScheme::Bearer, "one\ntwo").contains("has 2 secrets"));
        assert!(error(&AuthScheme::Bearer, "\n \n").contains("is empty"));
        assert!(error(&AuthScheme::Webhook, "\nwhsec_c2hvcnQ=").contains("line 2"));
        for text in ["to ken", "tok\u{e9}n", "a\u{0}b"] {
            let message = error(&AuthScheme::Bearer, text);
            assert!(message.contains("line 1") && !message.contains(text), "{message}");
        }
        assert!(
            header_list(&AuthScheme::Webhook, EXAMPLE, "a.b", 5).is_none(),
            "it could be read as another id and timestamp"
        );
    }

    #[test]
    fn debug_output_shows_no_secret() {
        let secrets = Secrets::parse(&AuthScheme::Bearer, b"hidden-token").unwrap();
        let made =
            headers(&AuthScheme::Bearer, &secrets, SignedCall { id: "m", timestamp: 1, body: BODY }).unwrap();
        let shown = format!("{secrets:?} {made:?}");
        assert!(!shown.contains("hidden"), "{shown}");
    }

    proptest! {
        /// Whatever the file and the id contain, no byte that a header can't have gets into the
        /// head.
        #[test]
        fn any_file_and_id_are_parsed_or_rejected(
            text in prop::collection::vec(any::<u8>(), 0..80),
            id in ".{0,30}",
        ) {
            for kind in [AuthScheme::Bearer, AuthScheme::Basic { user: "u".into() }, AuthScheme::Webhook] {
                let Ok(secrets) = Secrets::parse(&kind, &text) else { continue };
                let call = SignedCall { id: &id, timestamp: 9, body: &text };
                for (_, value) in headers(&kind, &secrets, call).into_iter().flatten() {
                    prop_assert!(value.as_bytes().iter().all(|b| *b >= 32 && *b != 127));
                }
            }
        }
    }
}
