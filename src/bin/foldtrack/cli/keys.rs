//! `foldtrack keys`: which files prove whom to which partner, and until when. Read from the site file and the files beside it;
//! no secret is shown, and none is read but to see that it can be.

use super::{load, say, show, Ended, Failure, FAILED};
use foldtrack_proof::{AuthScheme, Secrets};
use foldtrack_tls::certificate;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

const DAY: i64 = 86_400;

pub(super) fn keys(path: &Path) -> Ended {
    let site = load(path)?;
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs() as i64;
    let (mut rows, mut unusable) = (Vec::new(), 0);
    for partner in &site.partners {
        let mut row = |what: &str, file: String, told: Result<String, String>| {
            unusable += usize::from(told.is_err());
            let told = told.unwrap_or_else(|problem| format!("CAN'T BE USED: {problem}"));
            rows.push(vec![partner.name.clone(), what.into(), file, told]);
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
            Some(file) => row("trusted", file.display().to_string(), certificates(file, unix)),
            None => row("trusted", "the system's".into(), Ok("whom the system trusts".into())),
        }
        for pin in &tls.settings.pins {
            row("pinned", String::new(), Ok(pin.to_string()));
        }
        if let Some((chain, key)) = &tls.client {
            row("certificate shown", chain.display().to_string(), certificates(chain, unix));
            let read = crate::partner_protocol::read_protected_file(key);
            row("its key", key.display().to_string(), read.map(|_| "can be read".into()));
        }
    }
    let head = ["partner", "what", "file", "state"];
    say(&show::table(&head, &rows, "no partner asks for proof or TLS"))?;
    match unusable {
        0 => Ok(()),
        n => Err(Failure(FAILED, format!("{n} of these can't be used"))),
    }
}

/// The certificates of a file: of the one that ends first its subject, end, and pin.
fn certificates(file: &Path, unix: i64) -> Result<String, String> {
    let (text, _) = crate::partner_protocol::read_protected_file(file)?;
    let all = certificate::parse_pem(&text)?;
    let first = all.iter().min_by_key(|f| f.not_after).ok_or("holds none")?;
    let left = (first.not_after - unix).div_euclid(DAY);
    let ends = show::time(first.not_after.max(0) as u64 * 1_000_000);
    let more = if all.len() > 1 { format!(", the first to end of {}", all.len()) } else { String::new() };
    let told =
        format!("{}, by {}, until {ends} ({left} days){more}, {}", first.subject, first.issuer, first.pin);
    match left {
        ..0 => Err(format!("it has ended: {told}")),
        _ if first.not_before > unix => Err(format!("it is not valid yet: {told}")),
        _ => Ok(told),
    }
}
