//! How a partner is spoken to, and how it is proven who calls: the fields of `[partner.NAME]` that say so.

use crate::fields::{by, each, number, text, within, Fields};
use crate::finding::Findings;
use crate::model::{Authentication, Class, Effect, Tls};
use foldtrack_dialect::{header_name, Dialect, StatusTable, Template};
use foldtrack_proof::AuthScheme;
use foldtrack_tls::{Pin, TlsSettings, MAX_PINS};
use std::path::PathBuf;

/// Longest host name (RFC 1035, section 2.3.4), with a port.
const LONGEST_HOST: usize = 253 + 6;
/// Headers of a site's own at most.
const MOST_HEADERS: usize = 32;

fn preset(word: &str) -> Result<(Dialect, &'static str), String> {
    match word {
        "foldtrack" => Ok((Dialect::foldtrack(), "foldtrack")),
        "http" => Ok((Dialect::http(), "http")),
        "webhook" => Ok((Dialect::webhook(), "webhook")),
        _ => Err(format!("{word:?} is no way to speak; one is \"foldtrack\", \"http\" or \"webhook\"")),
    }
}

fn method(word: &str) -> Result<http::Method, String> {
    match word {
        "POST" => Ok(http::Method::POST),
        "PUT" => Ok(http::Method::PUT),
        "PATCH" => Ok(http::Method::PATCH),
        _ => Err(format!("{word:?} can't carry a message; one is \"POST\", \"PUT\" or \"PATCH\"")),
    }
}

fn host(name: &str) -> Result<Option<String>, String> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | ':' | '[' | ']');
    let sound = !name.is_empty() && name.len() <= LONGEST_HOST && name.chars().all(plain);
    match sound {
        true => Ok(Some(name.to_string())),
        false => Err(format!("{name:?} is no host; one is \"api.example.cz\" or \"api.example.cz:8443\"")),
    }
}

fn content_type(name: &str) -> Result<String, String> {
    match http::HeaderValue::from_str(name) {
        Ok(_) if name.contains('/') => Ok(name.to_string()),
        _ => Err(format!("{name:?} is no media type; one is \"application/json\"")),
    }
}

/// A header's name, or nothing for none.
fn header(name: &str) -> Result<Option<http::HeaderName>, String> {
    match name {
        "" => Ok(None),
        _ => header_name(name).map(Some),
    }
}

/// Reads how a partner is spoken to. Every class may be sent to every partner: what one of them lacks is told here.
pub(crate) fn dialect(
    table: &mut Fields<'_, '_>, classes: &[Class], found: &mut Findings<'_>,
) -> (Dialect, Option<Authentication>) {
    let (usual, speaks) = table.or("speaks", (Dialect::foldtrack(), "foldtrack"), found, by(preset));
    let proof = proof(table, speaks, found);
    let window = within(0.001..=3600.0, "0.001 to 3600, in seconds", number);
    let mut dialect = Dialect {
        method: table.or("method", usual.method.clone(), found, by(method)),
        path: table.or("path", usual.path.clone(), found, by(Template::path)),
        host: table.or("host", None, found, by(host)),
        content_type: table.or("content-type", usual.content_type.clone(), found, by(content_type)),
        key_header: table.or("key-header", usual.key_header.clone(), found, by(header)),
        deadline_header: table.or("deadline-header", usual.deadline_header.clone(), found, by(header)),
        id_header: table.or("id-header", usual.id_header.clone(), found, by(header)),
        limit_window: table.or("limit-window", None, found, |v| window(v).map(Some)),
        headers: Vec::new(),
        ..usual
    };
    if speaks != "foldtrack" && table.place("path") == table.span {
        let problem = "is missing; for example: path = \"/v1/notices/{id}\"";
        found.add(&table.span, &table.name("path"), problem);
    }
    headers(table, &mut dialect, proof.as_ref(), found);
    answers(table, &mut dialect, found);
    gaps(table, &dialect, speaks, classes, found);
    (dialect, proof)
}

fn headers(
    table: &mut Fields<'_, '_>, dialect: &mut Dialect, proof: Option<&Authentication>,
    found: &mut Findings<'_>,
) {
    let mut own = table.table("headers", found);
    let entries = own.texts(found);
    if entries.len() > MOST_HEADERS {
        found.add(
            &own.span,
            own.name("").trim_end_matches('.'),
            format!("has more than {MOST_HEADERS} headers"),
        );
    }
    for (name, place, value) in entries {
        let shown = own.name(&name);
        let read = header_name(&name).and_then(|read| {
            let taken = [&dialect.key_header, &dialect.deadline_header, &dialect.id_header];
            let proves = proof.is_some() && read == http::header::AUTHORIZATION;
            if proves || taken.into_iter().flatten().any(|other| *other == read) {
                return Err("is set by another field of this partner".to_string());
            }
            if dialect.headers.iter().any(|(other, _)| *other == read) {
                return Err("stands twice".to_string());
            }
            Ok((read, Template::parse(&value)?))
        });
        match read {
            Ok(read) => dialect.headers.push(read),
            Err(problem) => found.add(&place, &shown, problem),
        }
    }
}

fn answers(table: &mut Fields<'_, '_>, dialect: &mut Dialect, found: &mut Findings<'_>) {
    let mut own = table.table("answers", found);
    let mut lines: Vec<(String, String)> = Vec::new();
    for (statuses, place, word) in own.texts(found) {
        lines.push((statuses, word));
        let all = lines.iter().map(|(s, w)| (s.as_str(), w.as_str()));
        let read: Result<StatusTable, String> = dialect.answers.clone().with_overrides(all);
        if let Err(problem) = read {
            let shown = lines.pop().map_or(String::new(), |(statuses, _)| own.name(&statuses));
            found.add(&place, &shown, problem);
        }
    }
    let all = lines.iter().map(|(s, w)| (s.as_str(), w.as_str()));
    if let Ok(read) = dialect.answers.clone().with_overrides(all) {
        dialect.answers = read;
    }
}

/// What messages of a class would lack.
fn gaps(
    table: &Fields<'_, '_>, dialect: &Dialect, speaks: &str, classes: &[Class], found: &mut Findings<'_>,
) {
    let keyless: Vec<&str> = classes.iter().filter(|c| !c.ordered).map(|c| c.name.as_str()).collect();
    let in_headers = dialect.headers.iter().any(|(_, template)| template.needs_key());
    if (dialect.path.needs_key() || in_headers) && !keyless.is_empty() {
        let field = if dialect.path.needs_key() { "path" } else { "headers" };
        let problem = format!(
            "names {{key}}, which messages of {} don't have: only classes with ordered = true do",
            keyless.join(", ")
        );
        found.add(&table.place(field), &table.name(field), problem);
    }
    let keyed: Vec<&str> =
        classes.iter().filter(|c| c.effect == Effect::Keyed).map(|c| c.name.as_str()).collect();
    // A webhook's id is the same for every attempt, and receivers drop repeats by it.
    if dialect.key_header.is_none() && speaks != "webhook" && !keyed.is_empty() {
        let problem = format!(
            "is none, but messages of {} go again with the same key: without it the partner can't drop repeats",
            keyed.join(", ")
        );
        found.add(&table.place("key-header"), &table.name("key-header"), problem);
    }
}

fn proof(table: &mut Fields<'_, '_>, speaks: &str, found: &mut Findings<'_>) -> Option<Authentication> {
    let mut own = table.table("proof", found);
    if !own.is_there() {
        if speaks == "webhook" {
            let problem = "is missing; a webhook is signed: [partner.NAME.proof] with secret-file";
            found.add(&table.span, &table.name("proof"), problem);
        }
        return None;
    }
    let usual = if speaks == "webhook" { "webhook" } else { "bearer" };
    let kind = own.or(
        "kind",
        usual,
        found,
        by(|word| match word {
            "bearer" => Ok("bearer"),
            "basic" => Ok("basic"),
            "webhook" => Ok("webhook"),
            _ => Err(format!("{word:?} is no proof; one is \"bearer\", \"basic\" or \"webhook\"")),
        }),
    );
    let user = own.or(
        "user",
        None,
        found,
        by(|user| match user.contains(':') || user.chars().any(char::is_control) {
            true => Err("a user has no colon and no control characters (RFC 7617)".into()),
            false => Ok(Some(user.to_string())),
        }),
    );
    if user.is_some() != (kind == "basic") {
        let problem = "stands with kind = \"basic\", and only there";
        found.add(&own.place("user"), &own.name("user"), problem);
    }
    let secret_file = own.need("secret-file", PathBuf::new(), "\"/etc/foldtrack/pay.token\"", found, |v| {
        text(v).and_then(|path| match path.trim() {
            "" => {
                Err("is empty: the secret stands in a file of its own, which its owner alone may read".into())
            }
            path => Ok(PathBuf::from(path)),
        })
    });
    own.done(found);
    let scheme = match (kind, user) {
        ("basic", user) => AuthScheme::Basic { user: user.unwrap_or_default() },
        ("webhook", _) => AuthScheme::Webhook,
        _ => AuthScheme::Bearer,
    };
    Some(Authentication { scheme, secret_file })
}

/// Reads whether and how connections to a partner are encrypted.
pub(crate) fn tls(
    table: &mut Fields<'_, '_>, dialect: &Dialect, proves: bool, found: &mut Findings<'_>,
) -> Option<Tls> {
    let mut own = table.table("tls", found);
    if !own.is_there() {
        if proves && !endpoints_are_local(table) {
            let problem = "is missing: the proof of who calls would go over the wire in plain text";
            found.add(&table.span, &table.name("tls"), problem);
        }
        return None;
    }
    // `Host` may have a port, and the address of version 6 stands in brackets there.
    let host = dialect.host.as_deref().map(|host| match host.strip_prefix('[') {
        Some(rest) => rest.split(']').next().unwrap_or(rest),
        None => host.split(':').next().unwrap_or(host),
    });
    let name = own.read("server-name", found, by(TlsSettings::parse_server_name)).flatten();
    let name = name.or_else(|| host.and_then(|host| TlsSettings::parse_server_name(host).ok()));
    if name.is_none() && own.place("server-name") == own.span {
        let problem =
            "is missing, and the partner has no host: for example: server-name = \"api.example.cz\"";
        found.add(&own.span, &own.name("server-name"), problem);
    }
    let pins = own.or("pins", Vec::new(), found, each(Pin::parse));
    if pins.len() > MAX_PINS {
        found.add(&own.place("pins"), &own.name("pins"), format!("are more than {MAX_PINS}"));
    }
    let require_tls13 = own.or(
        "least-version",
        false,
        found,
        by(|word| match word {
            "1.2" => Ok(false),
            "1.3" => Ok(true),
            _ => Err(format!("{word:?} is no version that is spoken; one is \"1.2\" or \"1.3\"")),
        }),
    );
    let path = |word: &str| match word.trim() {
        "" => Err("is empty; name a file".to_string()),
        path => Ok(Some(PathBuf::from(path))),
    };
    let roots = own.or("roots", None, found, by(path));
    let chain = own.or("client-certificate", None, found, by(path));
    let key = own.or("client-key", None, found, by(path));
    if chain.is_some() != key.is_some() {
        let lacks = if chain.is_some() { "client-key" } else { "client-certificate" };
        found.add(&own.span, &own.name(lacks), "is missing: a certificate and its key stand together");
    }
    own.done(found);
    let settings = TlsSettings { server_name: name?, pins, require_tls13 };
    Some(Tls { settings, roots, client: chain.zip(key) })
}

/// Whether every endpoint of a partner is on this machine.
fn endpoints_are_local(table: &Fields<'_, '_>) -> bool {
    let addresses = table.texts_below("endpoint", "address");
    addresses.iter().all(|a| a.parse::<std::net::SocketAddr>().is_ok_and(|a| a.ip().is_loopback()))
}
