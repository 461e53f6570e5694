//! TLS towards partners: builds the rustls configuration from a site's settings, describes
//! certificate errors in words, and decides when to warn about expiry. Files are read elsewhere;
//! nothing here uses a socket or a clock.
//!
//! Chain and name of a certificate are always verified; a pin is checked in addition, not instead.
//! Early data is never sent, since anyone who recorded it could replay it.

pub mod certificate;
pub mod expiry;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::client::{Resumption, WebPkiServerVerifier};
use rustls::crypto::ring::default_provider;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use rustls::{CertificateError, ClientConfig, DigitallySignedStruct, Error, RootCertStore, SignatureScheme};
use rustls::{SupportedProtocolVersion, DEFAULT_VERSIONS};
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// Sessions kept per partner for resumption: enough for all of its endpoints.
const MAX_RESUMED_SESSIONS: usize = 32;
/// Maximum number of pins of a partner: the current keys and the next ones.
pub const MAX_PINS: usize = 4;
const TLS13_ONLY: &[&SupportedProtocolVersion] = &[&rustls::version::TLS13];

/// The SHA-256 of a certificate's public key, as in RFC 7469, section 2.4.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pin([u8; 32]);

impl Pin {
    /// Parses `sha256/` and the base64 of 32 bytes.
    ///
    /// # Errors
    /// The text is not a pin; the error says what one looks like.
    pub fn parse(text: &str) -> Result<Pin, String> {
        let bytes = text.strip_prefix("sha256/").and_then(|rest| STANDARD.decode(rest).ok());
        let pin = bytes.and_then(|bytes| bytes.try_into().ok()).map(Pin);
        pin.ok_or_else(|| {
            format!("{text:?} is not a pin: a pin is sha256/ and the base64 of the SHA-256 of a public key")
        })
    }

    /// Computes the pin of a certificate.
    ///
    /// # Errors
    /// The certificate can't be parsed.
    pub fn of(certificate: &CertificateDer<'_>) -> Result<Pin, String> {
        let (_, read) = x509_parser::parse_x509_certificate(certificate).map_err(|e| e.to_string())?;
        Ok(Pin(Sha256::digest(read.public_key().raw).into()))
    }
}

impl std::fmt::Display for Pin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "sha256/{}", STANDARD.encode(self.0))
    }
}

/// The TLS settings of a partner.
#[derive(Clone, Debug, PartialEq)]
pub struct TlsSettings {
    /// The name that the certificate must be valid for; also sent as SNI.
    pub server_name: ServerName<'static>,
    /// The certificate's key must match one of these; none for any key.
    pub pins: Vec<Pin>,
    /// Rejects TLS 1.2.
    pub require_tls13: bool,
}

impl TlsSettings {
    /// Parses a server name: a DNS name, or an IP address that the certificate is valid for.
    ///
    /// # Errors
    /// The text is neither.
    pub fn parse_server_name(text: &str) -> Result<ServerName<'static>, String> {
        let read = ServerName::try_from(text.to_string());
        read.map_err(|_| {
            format!("{text:?} is not a name that a certificate can be for; an example is \"api.example.cz\"")
        })
    }
}

/// The contents of the PEM files for a configuration.
#[derive(Default)]
pub struct PemFiles {
    /// Trusted roots; none for the system's.
    pub roots: Option<Vec<u8>>,
    /// The client's certificate chain and its private key.
    pub client: Option<(Vec<u8>, Vec<u8>)>,
}

/// Builds the configuration for a partner's connections. Sessions are resumed within one
/// configuration, not across two.
///
/// # Errors
/// Which file can't be used, without quoting its contents.
pub fn client_config(settings: &TlsSettings, files: &PemFiles) -> Result<Arc<ClientConfig>, String> {
    let provider = Arc::new(default_provider());
    let roots = Arc::new(match &files.roots {
        Some(text) => parse_roots(text)?,
        None => system_roots()?,
    });
    let webpki = WebPkiServerVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .map_err(|e| format!("roots: {e}"))?;
    let verifier = Arc::new(PinningVerifier { webpki, pins: settings.pins.clone() });
    let versions = if settings.require_tls13 { TLS13_ONLY } else { DEFAULT_VERSIONS };
    let builder = ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(versions)
        .map_err(|e| e.to_string())?
        .dangerous()
        .with_custom_certificate_verifier(verifier);
    let mut config = match &files.client {
        None => builder.with_no_client_auth(),
        Some((chain, key)) => {
            let chain = certificates(chain).map_err(|e| format!("client-certificate: {e}"))?;
            let key = PrivateKeyDer::from_pem_slice(key)
                .map_err(|_| "client-key: holds no private key in PEM".to_string())?;
            builder
                .with_client_auth_cert(chain, key)
                .map_err(|e| format!("client-certificate and client-key don't go together: {e}"))?
        }
    };
    config.alpn_protocols = vec![b"http/1.1".to_vec()];
    config.resumption = Resumption::in_memory_sessions(MAX_RESUMED_SESSIONS);
    config.enable_early_data = false;
    Ok(Arc::new(config))
}

/// Reads the certificates of a PEM text.
fn certificates(text: &[u8]) -> Result<Vec<CertificateDer<'static>>, String> {
    let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text).collect();
    let all = all.map_err(|e| format!("can't be read as PEM: {e}"))?;
    if all.is_empty() {
        return Err("holds no certificate in PEM".into());
    }
    Ok(all)
}

/// Reads trusted roots from a PEM text.
fn parse_roots(text: &[u8]) -> Result<RootCertStore, String> {
    let mut store = RootCertStore::empty();
    for certificate in certificates(text).map_err(|e| format!("roots: {e}"))? {
        store.add(certificate).map_err(|e| format!("roots: {e}"))?;
    }
    Ok(store)
}

/// Reads the trusted roots of the system.
fn system_roots() -> Result<RootCertStore, String> {
    let mut store = RootCertStore::empty();
    let found = rustls_native_certs::load_native_certs();
    // Systems include certificates that can't be parsed; the others are used.
    store.add_parsable_certificates(found.certs);
    if store.is_empty() {
        return Err("roots: the system has no trusted roots; name a file with roots to trust".into());
    }
    Ok(store)
}

/// The usual verification, with a check of the pins on top.
#[derive(Debug)]
struct PinningVerifier {
    webpki: Arc<WebPkiServerVerifier>,
    pins: Vec<Pin>,
}

impl ServerCertVerifier for PinningVerifier {
    fn verify_server_cert(
        &self, end_entity: &CertificateDer<'_>, intermediates: &[CertificateDer<'_>], name: &ServerName<'_>,
        ocsp: &[u8], now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        let verified = self.webpki.verify_server_cert(end_entity, intermediates, name, ocsp, now)?;
        let pinned = self.pins.is_empty() || Pin::of(end_entity).is_ok_and(|pin| self.pins.contains(&pin));
        match pinned {
            true => Ok(verified),
            false => Err(CertificateError::ApplicationVerificationFailure.into()),
        }
    }

    fn verify_tls12_signature(
        &self, message: &[u8], certificate: &CertificateDer<'_>, signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.webpki.verify_tls12_signature(message, certificate, signed)
    }

    fn verify_tls13_signature(
        &self, message: &[u8], certificate: &CertificateDer<'_>, signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.webpki.verify_tls13_signature(message, certificate, signed)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.webpki.supported_verify_schemes()
    }
}

/// Describes why a TLS handshake failed, so that an operator knows what to check first.
pub fn describe_error(error: &Error) -> String {
    let words = match error {
        Error::InvalidCertificate(wrong) => match wrong {
            CertificateError::Expired | CertificateError::ExpiredContext { .. } => {
                "its certificate has expired"
            }
            CertificateError::NotValidYet | CertificateError::NotValidYetContext { .. } => {
                "its certificate is not valid yet; is the clock here right?"
            }
            CertificateError::NotValidForName | CertificateError::NotValidForNameContext { .. } => {
                "its certificate is for another name"
            }
            CertificateError::UnknownIssuer => "its certificate is of an issuer who is not trusted here",
            CertificateError::Revoked => "its certificate has been revoked",
            CertificateError::ApplicationVerificationFailure => "its key is none of those that are pinned",
            _ => return format!("TLS: its certificate can't be used: {wrong}"),
        },
        Error::AlertReceived(alert) => return format!("TLS: the partner aborted the handshake: {alert:?}"),
        Error::PeerIncompatible(why) => return format!("TLS: no common protocol parameters: {why:?}"),
        Error::NoCertificatesPresented => "it sent no certificate",
        other => return format!("TLS: {other}"),
    };
    format!("TLS: {words}")
}

/// Whether an error is the peer's rejection of this side's part of the handshake (RFC 8446, section
/// 6.2): alerts that are sent at no other time.
pub fn is_peer_rejection(error: &Error) -> bool {
    use rustls::AlertDescription as Alert;
    matches!(
        error,
        Error::AlertReceived(
            Alert::HandshakeFailure
                | Alert::BadCertificate
                | Alert::UnsupportedCertificate
                | Alert::CertificateRevoked
                | Alert::CertificateExpired
                | Alert::CertificateUnknown
                | Alert::UnknownCA
                | Alert::AccessDenied
                | Alert::CertificateRequired
        )
    )
}

/// The crypto provider, for test servers that talk to this client.
pub fn provider() -> CryptoProvider {
    default_provider()
}

#[cfg(test)]
mod tests;
