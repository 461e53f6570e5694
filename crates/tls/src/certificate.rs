//! Reads certificates for display and for expiry checks.

use crate::Pin;
use rustls::pki_types::CertificateDer;

/// The fields of a certificate that operators are shown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertificateInfo {
    /// Subject, as the certificate writes it.
    pub subject: String,
    /// Issuer, as the certificate writes it.
    pub issuer: String,
    /// Start of validity, Unix time in seconds.
    pub not_before: i64,
    /// End of validity, Unix time in seconds.
    pub not_after: i64,
    /// Pin of its public key.
    pub pin: Pin,
}

/// Reads all certificates of a PEM text, in its order.
///
/// # Errors
/// There is none, or one can't be parsed.
pub fn parse_pem(text: &[u8]) -> Result<Vec<CertificateInfo>, String> {
    super::certificates(text)?.iter().map(parse_der).collect()
}

/// Reads one certificate in DER.
///
/// # Errors
/// It can't be parsed.
pub fn parse_der(certificate: &CertificateDer<'_>) -> Result<CertificateInfo, String> {
    let (_, read) = x509_parser::parse_x509_certificate(certificate).map_err(|e| e.to_string())?;
    Ok(CertificateInfo {
        subject: read.subject().to_string(),
        issuer: read.issuer().to_string(),
        not_before: read.validity().not_before.timestamp(),
        not_after: read.validity().not_after.timestamp(),
        pin: Pin::of(certificate)?,
    })
}
