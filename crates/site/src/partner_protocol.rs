//! The fields of `[partner.NAME]` that define the request format, the interpretation of responses, authentication and TLS.

use crate::fields::{list_of, number, parsed, text, within, Fields};
use crate::finding::Findings;
use crate::model::{Authentication, Class, Effect, Tls};
use foldtrack_dialect::{header_name, Dialect, StatusTable, Template};
use foldtrack_proof::AuthScheme;
use foldtrack_tls::{Pin, TlsSettings, MAX_PINS};
use std::path::PathBuf;

/// Maximum length of a host name (RFC 1035, section 2.3.4) with a port, in bytes.
const MAX_HOST_BYTES: usize = 253 + 6;
/// Maximum number of custom headers of a partner.
const MAX_HEADERS: usize = 32;

/// Parses the value of `speaks`: a predefined dialect and its name.
fn preset(word: &str) -> Result<(Dialect, &'static str), String> {
    match word {
        "foldtrack" => Ok((Dialect::foldtrack(), "foldtrack")),
        "http" => Ok((Dialect::http(), "http")),
        "webhook" => Ok((Dialect::webhook(), "webhook")),
        _ => Err(format!("{word:?} is no way to speak; expected \"foldtrack\", \"http\" or \"webhook\"")),
    }
}

fn method(word: &str) -> Result<http::Method, String> {
    match word {
        "POST" => Ok(http::Method::POST),
        "PUT" => Ok(http::Method::PUT),
        "PATCH" => Ok(http::Method::PATCH),
        _ => Err(format!("{word:?} can't carry a message; expected \"POST\", \"PUT\" or \"PATCH\"")),
    }
}

fn host(name: &str) -> Result<Option<String>, String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | ':' | '[' | ']');
    let valid = !name.is_empty() && name.len() <= MAX_HOST_BYTES && name.chars().all(allowed);
    match valid {
        true => Ok(Some(name.to_string())),
        false => {
            Err(format!("{name:?} is no host; examples are \"api.example.cz\" and \"api.example.cz:8443\""))
        }
    }
}

fn content_type(name: &str) -> Result<String, String> {
    match http::HeaderValue::from_str(name) {
        Ok(_) if name.contains('/') => Ok(name.to_string()),
        _ => Err(format!("{name:?} is not a media type; an example is \"application/json\"")),
    }
}

/// Parses the name of a header; the empty string stands for no header.
fn header(name: &str) -> Result<Option<http::HeaderName>, String> {
    match name {
        "" => Ok(None),
        _ => header_name(name).map(Some),
    }
}

/// Reads the dialect and the authentication of a partner. Messages of every class may be sent to every partner, so a dialect
/// that does not work with all classes is reported.
pub(crate) fn dialect(
    table: &mut Fields<'_, '_>, classes: &[Class], findings: &mut Findings<'_>,
) -> (Dialect, Option<Authentication>) {
    let (defaults, speaks) =
        table.optional("speaks", (Dialect::foldtrack(), "foldtrack"), findings, parsed(preset));
    let proof = proof(table, speaks, findings);
    let window = within(0.001..=3600.0, "0.001 to 3600, in seconds", number);
    let mut dialect = Dialect {
        method: table.optional("method", defaults.method.clone(), findings, parsed(method)),
        path: table.optional("path", defaults.path.clone(), findings, parsed(Template::path)),
        host: table.optional("host", None, findings, parsed(host)),
        content_type: table.optional(
            "content-type",
            defaults.content_type.clone(),
            findings,
            parsed(content_type),
        ),
        key_header: table.optional("key-header", defaults.key_header.clone(), findings, parsed(header)),
        deadline_header: table.optional(
            "deadline-header",
            defaults.deadline_header.clone(),
            findings,
            parsed(header),
        ),
        id_header: table.optional("id-header", defaults.id_header.clone(), findings, parsed(header)),
        limit_window: table.optional("limit-window", None, findings, |v| window(v).map(Some)),
        headers: Vec::new(),
        ..defaults
    };
    if speaks != "foldtrack" && table.span_of("path") == table.span {
        let problem = "is missing; for example: path = \"/v1/notices/{id}\"";
        findings.add(&table.span, &table.field_name("path"), problem);
    }
    headers(table, &mut dialect, proof.as_ref(), findings);
    answers(table, &mut dialect, findings);
    check_class_support(table, &dialect, speaks, classes, findings);
    (dialect, proof)
}

fn headers(
    table: &mut Fields<'_, '_>, dialect: &mut Dialect, proof: Option<&Authentication>,
    findings: &mut Findings<'_>,
) {
    let mut own = table.table("headers", findings);
    let entries = own.string_entries(findings);
    if entries.len() > MAX_HEADERS {
        findings.add(
            &own.span,
            own.field_name("").trim_end_matches('.'),
            format!("has more than {MAX_HEADERS} headers"),
        );
    }
    for (name, span, value) in entries {
        let shown = own.field_name(&name);
        let read = header_name(&name).and_then(|read| {
            let reserved = [&dialect.key_header, &dialect.deadline_header, &dialect.id_header];
            let sets_authorization = proof.is_some() && read == http::header::AUTHORIZATION;
            if sets_authorization || reserved.into_iter().flatten().any(|other| *other == read) {
                return Err("is set by another field of this partner".to_string());
            }
            if dialect.headers.iter().any(|(other, _)| *other == read) {
                return Err("is given twice".to_string());
            }
            Ok((read, Template::parse(&value)?))
        });
        match read {
            Ok(read) => dialect.headers.push(read),
            Err(problem) => findings.add(&span, &shown, problem),
        }
    }
}

fn answers(table: &mut Fields<'_, '_>, dialect: &mut Dialect, findings: &mut Findings<'_>) {
    let mut own = table.table("answers", findings);
    let mut overrides: Vec<(String, String)> = Vec::new();
    for (statuses, span, meaning) in own.string_entries(findings) {
        overrides.push((statuses, meaning));
        let all = overrides.iter().map(|(s, m)| (s.as_str(), m.as_str()));
        let read: Result<StatusTable, String> = dialect.answers.clone().with_overrides(all);
        if let Err(problem) = read {
            let shown = overrides.pop().map_or(String::new(), |(statuses, _)| own.field_name(&statuses));
            findings.add(&span, &shown, problem);
        }
    }
    let all = overrides.iter().map(|(s, m)| (s.as_str(), m.as_str()));
    if let Ok(read) = dialect.answers.clone().with_overrides(all) {
        dialect.answers = read;
    }
}

/// Reports a key in templates that messages of some class lack, and a missing key header where keyed classes need one.
fn check_class_support(
    table: &Fields<'_, '_>, dialect: &Dialect, speaks: &str, classes: &[Class], findings: &mut Findings<'_>,
) {
    let keyless: Vec<&str> = classes.iter().filter(|c| !c.ordered).map(|c| c.name.as_str()).collect();
    let in_headers = dialect.headers.iter().any(|(_, template)| template.needs_key());
    if (dialect.path.needs_key() || in_headers) && !keyless.is_empty() {
        let field = if dialect.path.needs_key() { "path" } else { "headers" };
        let problem = format!(
            "names {{key}}, which messages of {} don't have: only classes with ordered = true have one",
            keyless.join(", ")
        );
        findings.add(&table.span_of(field), &table.field_name(field), problem);
    }
    let keyed: Vec<&str> =
        classes.iter().filter(|c| c.effect == Effect::Keyed).map(|c| c.name.as_str()).collect();
    // Every attempt of a message carries the same webhook id, by which receivers drop repeats.
    if dialect.key_header.is_none() && speaks != "webhook" && !keyed.is_empty() {
        let problem = format!(
            "is not set, but messages of {} go again with the same key: without it the partner cannot drop repeats",
            keyed.join(", ")
        );
        findings.add(&table.span_of("key-header"), &table.field_name("key-header"), problem);
    }
}

fn proof(table: &mut Fields<'_, '_>, speaks: &str, findings: &mut Findings<'_>) -> Option<Authentication> {
    let mut own = table.table("proof", findings);
    if !own.is_present() {
        if speaks == "webhook" {
            let problem = "is missing; a webhook is signed and needs [partner.NAME.proof] with secret-file";
            findings.add(&table.span, &table.field_name("proof"), problem);
        }
        return None;
    }
    let default_kind = if speaks == "webhook" { "webhook" } else { "bearer" };
    let kind = own.optional(
        "kind",
        default_kind,
        findings,
        parsed(|word| match word {
            "bearer" => Ok("bearer"),
            "basic" => Ok("basic"),
            "webhook" => Ok("webhook"),
            _ => {
                Err(format!("{word:?} is not a kind of proof; expected \"bearer\", \"basic\" or \"webhook\""))
            }
        }),
    );
    let user = own.optional(
        "user",
        None,
        findings,
        parsed(|user| match user.contains(':') || user.chars().any(char::is_control) {
            true => Err("a user name contains no colon and no control characters (RFC 7617)".into()),
            false => Ok(Some(user.to_string())),
        }),
    );
    if user.is_some() != (kind == "basic") {
        let problem = "stands with kind = \"basic\": it is required there and not allowed elsewhere";
        findings.add(&own.span_of("user"), &own.field_name("user"), problem);
    }
    let secret_file =
        own.required("secret-file", PathBuf::new(), "\"/etc/foldtrack/pay.token\"", findings, |v| {
            text(v).and_then(|path| match path.trim() {
                "" => {
                    Err("is empty: the secret must be in a separate file that only its owner may read".into())
                }
                path => Ok(PathBuf::from(path)),
            })
        });
    own.finish(findings);
    let scheme = match (kind, user) {
        ("basic", user) => AuthScheme::Basic { user: user.unwrap_or_default() },
        ("webhook", _) => AuthScheme::Webhook,
        _ => AuthScheme::Bearer,
    };
    Some(Authentication { scheme, secret_file })
}

/// Reads the TLS settings of a partner; none for plain connections.
pub(crate) fn tls(
    table: &mut Fields<'_, '_>, dialect: &Dialect, authenticates: bool, findings: &mut Findings<'_>,
) -> Option<Tls> {
    let mut own = table.table("tls", findings);
    if !own.is_present() {
        if authenticates && !endpoints_are_local(table) {
            let problem = "is missing: the proof would be sent over the network in plain text";
            findings.add(&table.span, &table.field_name("tls"), problem);
        }
        return None;
    }
    // `Host` may contain a port, and an IPv6 address is enclosed in brackets.
    let host = dialect.host.as_deref().map(|host| match host.strip_prefix('[') {
        Some(rest) => rest.split(']').next().unwrap_or(rest),
        None => host.split(':').next().unwrap_or(host),
    });
    let name = own.parse("server-name", findings, parsed(TlsSettings::parse_server_name)).flatten();
    let name = name.or_else(|| host.and_then(|host| TlsSettings::parse_server_name(host).ok()));
    if name.is_none() && own.span_of("server-name") == own.span {
        let problem =
            "is missing, and the partner has no host to take it from; for example: server-name = \"api.example.cz\"";
        findings.add(&own.span, &own.field_name("server-name"), problem);
    }
    let pins = own.optional("pins", Vec::new(), findings, list_of(Pin::parse));
    if pins.len() > MAX_PINS {
        findings.add(&own.span_of("pins"), &own.field_name("pins"), format!("are more than {MAX_PINS}"));
    }
    let require_tls13 = own.optional(
        "least-version",
        false,
        findings,
        parsed(|word| match word {
            "1.2" => Ok(false),
            "1.3" => Ok(true),
            _ => Err(format!("{word:?} is not a supported TLS version; expected \"1.2\" or \"1.3\"")),
        }),
    );
    let path = |word: &str| match word.trim() {
        "" => Err("is empty; name a file".to_string()),
        path => Ok(Some(PathBuf::from(path))),
    };
    let roots = own.optional("roots", None, findings, parsed(path));
    let chain = own.optional("client-certificate", None, findings, parsed(path));
    let key = own.optional("client-key", None, findings, parsed(path));
    if chain.is_some() != key.is_some() {
        let missing = if chain.is_some() { "client-key" } else { "client-certificate" };
        findings.add(
            &own.span,
            &own.field_name(missing),
            "is missing: a client certificate and its key must be given together",
        );
    }
    own.finish(findings);
    let settings = TlsSettings { server_name: name?, pins, require_tls13 };
    Some(Tls { settings, roots, client: chain.zip(key) })
}

/// Whether every endpoint of a partner has a loopback address.
fn endpoints_are_local(table: &Fields<'_, '_>) -> bool {
    let addresses = table.nested_strings("endpoint", "address");
    addresses.iter().all(|a| a.parse::<std::net::SocketAddr>().is_ok_and(|a| a.ip().is_loopback()))
}
