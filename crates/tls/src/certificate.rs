//! What there is to know of a certificate.

use crate::Pin;
use rustls::pki_types::CertificateDer;

/// A certificate as people see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CertificateInfo {
    /// Whom it is for, as the certificate writes it.
    pub subject: String,
    /// Who vouches.
    pub issuer: String,
    /// Valid from and until, Unix time in seconds.
    pub not_before: i64,
    /// See `not_before`.
    pub not_after: i64,
    /// Its key's pin.
    pub pin: Pin,
}

/// Of every certificate in a text of PEM, in its order.
///
/// # Errors
/// There is none, or one can't be read.
pub fn parse_pem(text: &[u8]) -> Result<Vec<CertificateInfo>, String> {
    super::certificates(text)?.iter().map(parse_der).collect()
}

/// Of one certificate.
///
/// # Errors
/// It can't be read.
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
