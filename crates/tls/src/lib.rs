//! TLS towards partners: from what a site says to a configuration of rustls, what is wrong with a certificate in words, and
//! when to tell that one ends. Files are read elsewhere; nothing here touches a socket or a clock.
//!
//! The certificate's chain and name are always checked. A pin is asked for on top of that, not instead. Early data is never
//! sent: it can be replayed by whoever has recorded it.

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

/// Sessions that are remembered for each partner, to be resumed: as many as it has endpoints, and then some.
const SESSIONS: usize = 32;
/// Pins of a partner at most: the one that counts and the one that will.
pub const MAX_PINS: usize = 4;
const TLS13: &[&SupportedProtocolVersion] = &[&rustls::version::TLS13];

/// The SHA-256 of a certificate's public key, as in RFC 7469, section 2.4.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pin([u8; 32]);

impl Pin {
    /// Reads `sha256/` and the base64 of 32 bytes.
    ///
    /// # Errors
    /// What would be right.
    pub fn parse(text: &str) -> Result<Pin, String> {
        let bytes = text.strip_prefix("sha256/").and_then(|rest| STANDARD.decode(rest).ok());
        let pin = bytes.and_then(|bytes| bytes.try_into().ok()).map(Pin);
        pin.ok_or_else(|| {
            format!("{text:?} is no pin: sha256/ and the base64 of the SHA-256 of a public key")
        })
    }

    /// Of a certificate.
    ///
    /// # Errors
    /// It can't be read.
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

/// What a site says of TLS to a partner.
#[derive(Clone, Debug, PartialEq)]
pub struct TlsSettings {
    /// The name that its certificate must be for, and that it is told (SNI).
    pub server_name: ServerName<'static>,
    /// One of these keys it must have; none for any.
    pub pins: Vec<Pin>,
    /// TLS 1.2 is not enough.
    pub require_tls13: bool,
}

impl TlsSettings {
    /// Reads a server's name: a DNS name, or an address that the certificate is for.
    ///
    /// # Errors
    /// It is none.
    pub fn parse_server_name(text: &str) -> Result<ServerName<'static>, String> {
        let read = ServerName::try_from(text.to_string());
        read.map_err(|_| {
            format!("{text:?} is no name that a certificate could be for; one is \"api.example.cz\"")
        })
    }
}

/// Texts in PEM that a configuration is made from.
#[derive(Default)]
pub struct PemFiles {
    /// Whom to trust; none for those whom the system trusts.
    pub roots: Option<Vec<u8>>,
    /// The certificate chain that is shown to the partner, and its private key.
    pub client: Option<(Vec<u8>, Vec<u8>)>,
}

/// A configuration for a partner's connections. Sessions are resumed within it; a new one begins anew.
///
/// # Errors
/// What of the texts can't be used, without any of them.
pub fn configuration(plan: &TlsSettings, texts: &PemFiles) -> Result<Arc<ClientConfig>, String> {
    let provider = Arc::new(default_provider());
    let roots = Arc::new(match &texts.roots {
        Some(text) => roots_of(text)?,
        None => roots_of_system()?,
    });
    let usual = WebPkiServerVerifier::builder_with_provider(roots, provider.clone())
        .build()
        .map_err(|e| format!("roots: {e}"))?;
    let verifier = Arc::new(Pinned { usual, pins: plan.pins.clone() });
    let versions = if plan.require_tls13 { TLS13 } else { DEFAULT_VERSIONS };
    let builder = ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(versions)
        .map_err(|e| e.to_string())?
        .dangerous()
        .with_custom_certificate_verifier(verifier);
    let mut config = match &texts.client {
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
    config.resumption = Resumption::in_memory_sessions(SESSIONS);
    config.enable_early_data = false;
    Ok(Arc::new(config))
}

/// The certificates of a text.
fn certificates(text: &[u8]) -> Result<Vec<CertificateDer<'static>>, String> {
    let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text).collect();
    let all = all.map_err(|e| format!("can't be read as PEM: {e}"))?;
    if all.is_empty() {
        return Err("holds no certificate in PEM".into());
    }
    Ok(all)
}

fn roots_of(text: &[u8]) -> Result<RootCertStore, String> {
    let mut store = RootCertStore::empty();
    for certificate in certificates(text).map_err(|e| format!("roots: {e}"))? {
        store.add(certificate).map_err(|e| format!("roots: {e}"))?;
    }
    Ok(store)
}

fn roots_of_system() -> Result<RootCertStore, String> {
    let mut store = RootCertStore::empty();
    let found = rustls_native_certs::load_native_certs();
    // Systems have odd ones among them; the others count.
    store.add_parsable_certificates(found.certs);
    if store.is_empty() {
        return Err("roots: the system trusts nobody; name a file with those to trust".into());
    }
    Ok(store)
}

/// The usual verification, and a pin on top.
#[derive(Debug)]
struct Pinned {
    usual: Arc<WebPkiServerVerifier>,
    pins: Vec<Pin>,
}

impl ServerCertVerifier for Pinned {
    fn verify_server_cert(
        &self, end_entity: &CertificateDer<'_>, intermediates: &[CertificateDer<'_>], name: &ServerName<'_>,
        ocsp: &[u8], now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        let verified = self.usual.verify_server_cert(end_entity, intermediates, name, ocsp, now)?;
        let pinned = self.pins.is_empty() || Pin::of(end_entity).is_ok_and(|pin| self.pins.contains(&pin));
        match pinned {
            true => Ok(verified),
            false => Err(CertificateError::ApplicationVerificationFailure.into()),
        }
    }

    fn verify_tls12_signature(
        &self, message: &[u8], certificate: &CertificateDer<'_>, signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.usual.verify_tls12_signature(message, certificate, signed)
    }

    fn verify_tls13_signature(
        &self, message: &[u8], certificate: &CertificateDer<'_>, signed: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        self.usual.verify_tls13_signature(message, certificate, signed)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.usual.supported_verify_schemes()
    }
}

/// Why there was no TLS, in words for people: what to look at first.
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
        Error::AlertReceived(alert) => return format!("TLS: the partner has broken it off: {alert:?}"),
        Error::PeerIncompatible(why) => return format!("TLS: nothing that both speak: {why:?}"),
        Error::NoCertificatesPresented => "it has shown no certificate",
        other => return format!("TLS: {other}"),
    };
    format!("TLS: {words}")
}

/// Whether an error is the peer's refusal of this side's part of the handshake (RFC 8446, section 6.2): alerts that come
/// at no other time.
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

/// The provider of the cryptography, for stand-ins that are to speak with this.
pub fn provider() -> CryptoProvider {
    default_provider()
}

#[cfg(test)]
mod tests;
