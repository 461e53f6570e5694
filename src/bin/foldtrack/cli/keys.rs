//! `foldtrack keys`: lists the certificates and secrets used with each partner and when they
//! expire, as the site file names them. No secret is shown; a secret is read only to check that it
//! is readable and valid.

use super::{load, print, show, CommandError, CommandResult, EXIT_FAILED};
use foldtrack_proof::{AuthScheme, Secrets};
use foldtrack_tls::certificate;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

const SECONDS_PER_DAY: i64 = 86_400;

/// Prints the keys and certificates of each partner; fails if one cannot be used.
pub(super) fn keys(path: &Path) -> CommandResult {
    let site = load(path)?;
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs() as i64;
    let (mut rows, mut unusable) = (Vec::new(), 0);
    for partner in &site.partners {
        let mut row = |purpose: &str, file: String, status: Result<String, String>| {
            unusable += usize::from(status.is_err());
            let status = status.unwrap_or_else(|problem| format!("UNUSABLE: {problem}"));
            rows.push(vec![partner.name.clone(), purpose.into(), file, status]);
        };
        if let Some(proof) = &partner.proof {
            let kind = match &proof.scheme {
                AuthScheme::Bearer => "bearer token".to_string(),
                AuthScheme::Basic { user } => format!("password of {user}"),
                AuthScheme::Webhook => "signing secret".to_string(),
            };
            let read = crate::partner_protocol::read_protected_file(&proof.secret_file)
                .and_then(|(text, _)| Secrets::parse(&proof.scheme, &text));
            row(&kind, proof.secret_file.display().to_string(), read.map(|secrets| format!("{secrets:?}")));
        }
        let Some(tls) = &partner.tls else { continue };
        match &tls.roots {
            Some(file) => row("trusted", file.display().to_string(), describe_first_to_expire(file, unix)),
            None => row(
                "trusted",
                "system trust store".into(),
                Ok("the certificate authorities that the system trusts".into()),
            ),
        }
        for pin in &tls.settings.pins {
            row("pinned", String::new(), Ok(pin.to_string()));
        }
        if let Some((chain, key)) = &tls.client {
            row("client certificate", chain.display().to_string(), describe_first_to_expire(chain, unix));
            let read = crate::partner_protocol::read_protected_file(key);
            row("client key", key.display().to_string(), read.map(|_| "readable".into()));
        }
    }
    let head = ["partner", "what", "file", "state"];
    print(&show::table(&head, &rows, "no partner uses authentication or TLS"))?;
    match unusable {
        0 => Ok(()),
        n => Err(CommandError(EXIT_FAILED, format!("{n} of these are unusable"))),
    }
}

/// Describes the certificate of a file that expires first: subject, issuer, expiry and pin. An
/// error if it is expired or not yet valid. `unix` is the current time in seconds.
fn describe_first_to_expire(file: &Path, unix: i64) -> Result<String, String> {
    let (text, _) = crate::partner_protocol::read_protected_file(file)?;
    let all = certificate::parse_pem(&text)?;
    let first = all.iter().min_by_key(|f| f.not_after).ok_or("contains no certificate")?;
    let days_left = (first.not_after - unix).div_euclid(SECONDS_PER_DAY);
    let expiry = show::format_time(first.not_after.max(0) as u64 * 1_000_000);
    let more = if all.len() > 1 { format!(", the first of {} to expire", all.len()) } else { String::new() };
    let description = format!(
        "{}, by {}, until {expiry} ({days_left} days){more}, {}",
        first.subject, first.issuer, first.pin
    );
    match days_left {
        ..0 => Err(format!("it has expired: {description}")),
        _ if first.not_before > unix => Err(format!("it is not valid yet: {description}")),
        _ => Ok(description),
    }
}
