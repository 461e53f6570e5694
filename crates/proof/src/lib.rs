//! Proof to a partner of who calls, made for each call from a secret, the message and the time. Pure functions: files are
//! read, and clocks, elsewhere. Secrets are zeroed when they are dropped, and no `Debug` of any type here shows one.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use hmac::{Hmac, Mac};
use http::header::{HeaderName, HeaderValue, AUTHORIZATION};
use secrecy::{ExposeSecret, SecretBox};
use sha2::Sha256;

/// Bytes that a file of secrets has at most.
pub const LONGEST_FILE: usize = 16 * 1024;
/// Secrets that sign at once during a change.
pub const MOST_SECRETS: usize = 2;
/// Bytes of a webhook's secret (Standard Webhooks, "Symmetric signatures").
const SIGNING_SECRET: std::ops::RangeInclusive<usize> = 24..=64;
/// How such a secret begins as it is written.
const PREFIX: &str = "whsec_";

/// How it is proven.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthScheme {
    /// `Authorization: Bearer TOKEN` (RFC 6750, section 2.1).
    Bearer,
    /// `Authorization: Basic` with this user and the secret as the password (RFC 7617).
    Basic {
        /// Without a colon.
        user: String,
    },
    /// `webhook-id`, `webhook-timestamp` and `webhook-signature` (Standard Webhooks 1.0).
    Webhook,
}

/// The secrets of a file, the one that counts first.
pub struct Secrets(Vec<SecretBox<Vec<u8>>>);

impl std::fmt::Debug for Secrets {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} secrets", self.0.len())
    }
}

/// Characters of a bearer token: `b64token` of RFC 6750, section 2.1.
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~+/=".contains(&byte)
}

impl Secrets {
    /// Reads the text of a file: a secret a line, blank lines passed over.
    ///
    /// # Errors
    /// What is wrong and on which line, without any of the text.
    pub fn parse(kind: &AuthScheme, text: &[u8]) -> Result<Secrets, String> {
        if text.len() > LONGEST_FILE {
            return Err(format!("has more than {LONGEST_FILE} bytes"));
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
        let most = if *kind == AuthScheme::Webhook { MOST_SECRETS } else { 1 };
        match secrets.len() {
            0 => Err("is empty: a secret stands on a line".into()),
            n if n > most => Err(format!("has {n} secrets, where {most} are the most")),
            _ => Ok(Secrets(secrets)),
        }
    }
}

fn webhook_secret(line: &[u8]) -> Result<Vec<u8>, &'static str> {
    const WRONG: &str = "is no webhook secret: whsec_ and the base64 of 24 to 64 bytes";
    let text = std::str::from_utf8(line).map_err(|_| WRONG)?;
    let secret = STANDARD.decode(text.strip_prefix(PREFIX).unwrap_or(text)).map_err(|_| WRONG)?;
    if SIGNING_SECRET.contains(&secret.len()) {
        Ok(secret)
    } else {
        Err(WRONG)
    }
}

/// What is proven about a call.
#[derive(Clone, Copy, Debug)]
pub struct SignedCall<'a> {
    /// The message's id; every attempt has the same, so that the partner can drop repeats.
    pub id: &'a str,
    /// Now, Unix time in seconds: when this attempt is made.
    pub timestamp: u64,
    /// The body as it is sent.
    pub body: &'a [u8],
}

/// The headers that prove a call, marked as sensitive; none if a value of the message can't stand in a header, or in what
/// is signed without being taken for another part of it.
pub fn headers(
    kind: &AuthScheme, secrets: &Secrets, of: SignedCall<'_>,
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
            // A full stop would let one id and time stand for another.
            let sound = !of.id.is_empty() && !of.id.contains('.');
            let id = HeaderValue::from_str(of.id).ok().filter(|_| sound)?;
            let signatures: Option<Vec<String>> =
                secrets.0.iter().map(|s| sign(s.expose_secret(), of)).collect();
            let named = HeaderName::from_static;
            Some(vec![
                (named("webhook-id"), id),
                (named("webhook-timestamp"), HeaderValue::from(of.timestamp)),
                (named("webhook-signature"), sensitive(signatures?.join(" ").as_bytes())?),
            ])
        }
    }
}

/// One signature: `v1,` and the base64 of HMAC-SHA256 over `id.timestamp.body`.
fn sign(secret: &[u8], of: SignedCall<'_>) -> Option<String> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).ok()?;
    mac.update(format!("{}.{}.", of.id, of.timestamp).as_bytes());
    mac.update(of.body);
    Some(format!("v1,{}", STANDARD.encode(mac.finalize().into_bytes())))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const BODY: &[u8] = br#"{"test": 2432232314}"#;
    /// The example of the Standard Webhooks libraries.
    const EXAMPLE: &str = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw";

    fn made(kind: &AuthScheme, text: &str, id: &str, unix: u64) -> Option<Vec<(HeaderName, String)>> {
        let secrets = Secrets::parse(kind, text.as_bytes()).unwrap();
        let made = headers(kind, &secrets, SignedCall { id, timestamp: unix, body: BODY })?;
        Some(made.into_iter().map(|(n, v)| (n, v.to_str().unwrap().to_string())).collect())
    }

    #[test]
    fn calls_are_proven_as_the_specifications_say() {
        let bearer = made(&AuthScheme::Bearer, "mF_9.B5f-4.1JqM\n", "m1", 0).unwrap();
        assert_eq!(bearer, [(AUTHORIZATION, "Bearer mF_9.B5f-4.1JqM".to_string())]);
        let basic = made(&AuthScheme::Basic { user: "Aladdin".into() }, "open sesame", "m1", 0).unwrap();
        assert_eq!(basic[0].1, "Basic QWxhZGRpbjpvcGVuIHNlc2FtZQ==", "the example of RFC 7617");
        let signed =
            made(&AuthScheme::Webhook, EXAMPLE, "msg_p5jXN8AQM9LWM0D4loKWxJek", 1_614_265_330).unwrap();
        assert_eq!(signed[0].1, "msg_p5jXN8AQM9LWM0D4loKWxJek");
        assert_eq!(signed[1].1, "1614265330");
        assert_eq!(signed[2].1, "v1,g0hM9SsE+OTPJTGt/tmIKtSyZlE3uFJELVlNIOLJ1OE=");
    }

    #[test]
    fn two_secrets_sign_during_a_change_and_one_proves_otherwise() {
        let other = format!("whsec_{}", STANDARD.encode([7; 32]));
        let both = made(&AuthScheme::Webhook, &format!("{other}\n\n{EXAMPLE}\n"), "m", 5).unwrap();
        let alone =
            [&other, EXAMPLE].map(|text| made(&AuthScheme::Webhook, text, "m", 5).unwrap().remove(2).1);
        assert_eq!(both[2].1, alone.join(" "));
        let wrong = |kind: &AuthScheme, text: &str| Secrets::parse(kind, text.as_bytes()).unwrap_err();
        assert!(wrong(&AuthScheme::Bearer, "one\ntwo").contains("has 2 secrets"));
        assert!(wrong(&AuthScheme::Bearer, "\n \n").contains("is empty"));
        assert!(wrong(&AuthScheme::Webhook, "\nwhsec_c2hvcnQ=").contains("line 2"));
        for text in ["to ken", "tok\u{e9}n", "a\u{0}b"] {
            let told = wrong(&AuthScheme::Bearer, text);
            assert!(told.contains("line 1") && !told.contains(text), "{told}");
        }
        assert!(
            made(&AuthScheme::Webhook, EXAMPLE, "a.b", 5).is_none(),
            "it could be read as another id and time"
        );
    }

    #[test]
    fn nothing_shows_a_secret() {
        let secrets = Secrets::parse(&AuthScheme::Bearer, b"hidden-token").unwrap();
        let made =
            headers(&AuthScheme::Bearer, &secrets, SignedCall { id: "m", timestamp: 1, body: BODY }).unwrap();
        let shown = format!("{secrets:?} {made:?}");
        assert!(!shown.contains("hidden"), "{shown}");
    }

    proptest! {
        /// Whatever the file and the id hold, no byte gets into the head that a header can't have.
        #[test]
        fn any_file_and_any_id_are_read_or_refused(text in prop::collection::vec(any::<u8>(), 0..80), id in ".{0,30}") {
            for kind in [AuthScheme::Bearer, AuthScheme::Basic { user: "u".into() }, AuthScheme::Webhook] {
                let Ok(secrets) = Secrets::parse(&kind, &text) else { continue };
                for (_, value) in headers(&kind, &secrets, SignedCall { id: &id, timestamp: 9, body: &text }).into_iter().flatten() {
                    prop_assert!(value.as_bytes().iter().all(|b| *b >= 32 && *b != 127));
                }
            }
        }
    }
}
