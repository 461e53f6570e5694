//! Validation rules of the site file.

use crate::fields::{boolean, integer, list_of, number, parsed, text, within, Fields};
use crate::finding::{Finding, Findings};
use crate::model::*;
use crate::partner_protocol;
use crate::peers;
use crate::units::{parse_duration, parse_rate, parse_size};
use ipnet::IpNet;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use toml::de::DeTable;

/// Bytes.
const KIB: u64 = 1 << 10;
/// Bytes.
const MIB: u64 = 1 << 20;
/// Microseconds.
pub(crate) const SECOND: u64 = 1_000_000;
/// Microseconds.
pub(crate) const DAY: u64 = 86_400 * SECOND;
/// Maximum length of the name of a class, kind, partner, endpoint or forwarder, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// First path segments that the listener uses itself, which classes cannot use as names.
const RESERVED_PATH_SEGMENTS: [&str; 2] = ["healthz", "v1"];
/// Maximum length of the path of a Unix socket, in bytes (`sun_path` in unix(7), without the terminating zero).
pub const MAX_SOCKET_PATH_BYTES: usize = 107;
/// File descriptors reserved for everything except clients and calls.
const RESERVED_DESCRIPTORS: u64 = 64;
/// Minimum disk space for the message journal, in bytes.
const MIN_JOURNAL_BYTES: u64 = 256 * KIB;

/// Parses and validates the text of a site file; findings name it as `file`.
///
/// # Errors
/// Returns all findings, ordered by their position.
pub fn parse(file: &Path, source: &str) -> Result<Site, Vec<Finding>> {
    let mut findings = Findings::new(file, source);
    let (table, errors) = DeTable::parse_recoverable(source);
    for error in &errors {
        findings.add(&error.span().unwrap_or(0..0), "", error.message());
    }
    let mut root = Fields::root(&table);
    let site = site(&mut root, &mut findings);
    root.finish(&mut findings);
    if findings.is_empty() {
        return Ok(site);
    }
    Err(findings.into_sorted())
}

fn site(root: &mut Fields<'_, '_>, findings: &mut Findings<'_>) -> Site {
    let mut head = root.table("site", findings);
    let name = head.optional("name", "foldtrack".to_string(), findings, |v| text(v).map(str::to_string));
    let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = head.required("listen", placeholder, "\"127.0.0.1:8080\"", findings, parsed(parse_address));
    let state_span = head.span_of("state");
    let state = head.required("state", PathBuf::new(), "\"/var/lib/foldtrack\"", findings, parsed(folder));
    let state_name = head.field_name("state");
    let durability = head.optional("durability", Durability::Machine, findings, parsed(durability));
    head.finish(findings);

    let table = root.table("limits", findings);
    let disk_span = table.span_of("disk");
    let limits = limits(table, findings);
    let ends = ends(root.table("ends", findings), findings);
    let admission = admission(root.table("admission", findings), findings);
    let mut table = root.table("calls", findings);
    let calls = Calls {
        connection_idle: table.optional(
            "connection-idle",
            15 * SECOND,
            findings,
            within(SECOND..=DAY, "\"1s\" to \"24h\"", parsed(parse_duration)),
        ),
        connect_timeout: table.optional(
            "connect-timeout",
            SECOND,
            findings,
            within(10_000..=60 * SECOND, "\"10ms\" to \"60s\"", parsed(parse_duration)),
        ),
        connection_age: table.optional(
            "connection-age",
            600 * SECOND,
            findings,
            within(SECOND..=DAY, "\"1s\" to \"24h\"", parsed(parse_duration)),
        ),
        connection_rest: table.optional(
            "connection-rest",
            SECOND,
            findings,
            within(0..=60 * SECOND, "\"0s\" to \"60s\"", parsed(parse_duration)),
        ),
        open_ahead: table.optional("open-ahead", true, findings, boolean),
    };
    table.finish(findings);
    let peers = peers::peers(root.table("peers", findings), findings);

    let mut classes = Vec::new();
    for (name, span, fields) in root.tables("class", findings) {
        let (shown, reserved) = (fields.field_name(""), RESERVED_PATH_SEGMENTS.contains(&name.as_str()));
        let shown = shown.trim_end_matches('.');
        check_name(&name, &span, shown, findings);
        if reserved {
            findings.add(&span, shown, "this name is the listener's own path; choose another");
        }
        classes.push(class(name, fields, findings));
    }
    if classes.is_empty() {
        let problem =
            "is missing: a site needs at least one class, for example [class.updates]; `foldtrack init` shows how";
        findings.add(&(0..0), "class", problem);
    }

    let mut kinds = vec![PartnerKind { name: "partner".into(), routes_apart: false }];
    for (name, span, mut fields) in root.tables("kind", findings) {
        check_name(&name, &span, fields.field_name("").trim_end_matches('.'), findings);
        let routes_apart = fields.optional("routes-apart", false, findings, boolean);
        fields.finish(findings);
        match kinds.iter_mut().find(|k| k.name == name) {
            Some(kind) => kind.routes_apart = routes_apart,
            None => kinds.push(PartnerKind { name, routes_apart }),
        }
    }

    let mut partners = Vec::new();
    let (mut unique, mut numbers) = (UniqueEndpoints::default(), HashMap::new());
    for (name, span, fields) in root.tables("partner", findings) {
        check_name(&name, &span, fields.field_name("").trim_end_matches('.'), findings);
        let partner = partner(name, fields, (&kinds, &classes), limits.calls, &mut unique, findings);
        if let Some(other) = numbers.insert(partner.number(), partner.name.clone()) {
            let problem =
                format!("conflicts with {other}: their names have the same CRC-32; rename one of them");
            findings.add(&span, &format!("partner.{}", partner.name), problem);
        }
        partners.push(partner);
    }
    if partners.is_empty() {
        findings.add(&(0..0), "partner", "is missing: a site needs at least one, [partner.NAME]");
    }

    let count: usize = partners.iter().map(|p| p.endpoints.len() + 1).sum();
    if count > MAX_ENDPOINTS {
        let problem = format!("{count} partners and endpoints; a site has at most {MAX_ENDPOINTS}");
        findings.add(&(0..0), "partner", problem);
    }

    let site = Site {
        name,
        listen,
        state,
        durability,
        limits,
        ends,
        admission,
        calls,
        peers,
        classes,
        kinds,
        partners,
    };
    if site.control_socket().as_os_str().len() > MAX_SOCKET_PATH_BYTES {
        let problem = format!(
            "is too long: the path of the control socket in it may have at most {MAX_SOCKET_PATH_BYTES} bytes"
        );
        findings.add(&state_span, &state_name, problem);
    }
    if site.journal_capacity() < MIN_JOURNAL_BYTES {
        let problem = format!(
            "is too little: of limits.disk the ends take {} bytes and the membership log {MEMBERSHIP_LOG_BYTES}{}, and \
             messages need at least {MIN_JOURNAL_BYTES}",
            site.ends.size,
            if site.peers.is_some() { format!(", the store of facts from other forwarders {PEER_STORE_BYTES}") } else { String::new() }
        );
        findings.add(&disk_span, "limits.disk", problem);
    }
    site
}

fn limits(mut table: Fields<'_, '_>, findings: &mut Findings<'_>) -> Limits {
    let memory = within(16 * MIB..=1 << 40, "\"16MiB\" to \"1TiB\"", parsed(parse_size));
    let disk = within(4 * MIB..=1 << 44, "\"4MiB\" to \"16TiB\"", parsed(parse_size));
    let limits = Limits {
        memory: table.optional("memory", 256 * MIB, findings, memory),
        descriptors: table.optional(
            "descriptors",
            1024,
            findings,
            within(96..=1 << 20, "96 to 1048576", integer),
        ) as usize,
        disk: table.optional("disk", 256 * MIB, findings, disk),
        messages: table.optional(
            "messages",
            10_000,
            findings,
            within(1..=10_000_000, "1 to 10000000", integer),
        ) as u32,
        calls: table.optional("calls", 256, findings, within(1..=100_000, "1 to 100000", integer)) as u32,
        attempts: table.optional("attempts", 8, findings, within(1..=100, "1 to 100", integer)) as u32,
        longest_wait: table.optional(
            "longest-wait",
            10 * SECOND,
            findings,
            within(0..=DAY, "\"0s\" to \"24h\"", parsed(parse_duration)),
        ),
    };
    // Each call needs a descriptor, and so does a client that submits a message meanwhile.
    let call_descriptors = (limits.descriptors as u64).saturating_sub(RESERVED_DESCRIPTORS) / 2;
    if u64::from(limits.calls) > call_descriptors {
        let problem = format!(
            "{} concurrent calls do not fit into {} descriptors, of which {call_descriptors} are for calls: lower `calls` or raise \
             `descriptors`",
            limits.calls, limits.descriptors
        );
        findings.add(&table.span_of("calls"), &table.field_name("calls"), problem);
    }
    table.finish(findings);
    limits
}

fn admission(mut table: Fields<'_, '_>, findings: &mut Findings<'_>) -> Admission {
    let count = || {
        let convert = within(1..=1_000_000, "1 to 1000000", integer);
        move |value: &toml::de::DeValue<'_>| convert(value).map(|n| Some(n as u32))
    };
    let rate = || within(0.1..=1e6, "0.1 to 1000000", number);
    let bits = |max: u64, shown: &'static str| within(0..=max, shown, integer);
    let admission = Admission {
        known: table.optional("known", Vec::new(), findings, list_of(parse_network)),
        reserve: table.optional(
            "reserve",
            0.5,
            findings,
            within(0.0..=1.0, "0 to 1, a share of the connections", number),
        ),
        per_address: table.optional("per-address", None, findings, count()),
        per_known: table.optional("per-known", None, findings, count()),
        per_prefix: table.optional("per-prefix", None, findings, count()),
        v4_prefix: table.optional("v4-prefix", 24, findings, bits(32, "0 to 32")) as u8,
        v6_prefix: table.optional("v6-prefix", 64, findings, bits(128, "0 to 128")) as u8,
        new_per_second: table.optional("new-per-second", 200.0, findings, rate()),
        burst: table.optional("burst", 200.0, findings, rate()),
        strangers_per_second: table.optional("strangers-per-second", 500.0, findings, rate()),
        requests: table.optional("requests", None, findings, count()),
    };
    table.finish(findings);
    admission
}

/// Parses an IP address, or a network in CIDR notation.
///
/// # Errors
/// Returns a message that describes the expected notation.
pub fn parse_network(text: &str) -> Result<IpNet, String> {
    let single = || text.parse::<IpAddr>().map(|address| IpNet::from(address.to_canonical()));
    let network = text.parse::<IpNet>().map(|net| net.trunc()).or_else(|_| single());
    network.map_err(|_| {
        format!(
            "{text:?} is no address or network; examples are \"192.0.2.7\", \"192.0.2.0/24\" and \"2001:db8::/32\""
        )
    })
}

fn ends(mut table: Fields<'_, '_>, findings: &mut Findings<'_>) -> OutcomeRetention {
    let size_range = within(64 * KIB..=1 << 32, "\"64KiB\" to \"4GiB\"", parsed(parse_size));
    let ends = OutcomeRetention {
        count: table.optional(
            "count",
            100_000,
            findings,
            within(10..=100_000_000, "10 to 100000000", integer),
        ),
        size: table.optional("size", 32 * MIB, findings, size_range),
        age: table.optional(
            "age",
            7 * DAY,
            findings,
            within(60 * SECOND..=3660 * DAY, "\"1m\" to \"10years\"", parsed(parse_duration)),
        ),
    };
    table.finish(findings);
    ends
}

fn class(name: String, mut table: Fields<'_, '_>, findings: &mut Findings<'_>) -> Class {
    let effect = table.required("effect", Effect::Repeatable, "\"once\"", findings, parsed(effect));
    let ordered = table.optional("ordered", false, findings, boolean);
    let class_duration = || within(1_000..=7 * DAY, "\"1ms\" to \"7days\"", parsed(parse_duration));
    let remembered = table.parse("remembered", findings, class_duration());
    let remembered = match (remembered, effect) {
        (Some(None), Effect::Keyed) => {
            let problem =
                "is missing; a keyed class states how long partners drop repeats, for example: remembered = \"10s\"";
            findings.add(&table.span, &table.field_name("remembered"), problem);
            0
        }
        (Some(Some(_)), Effect::Repeatable | Effect::Once) => {
            let problem = "is valid only with effect = \"keyed\": remove one or change the other";
            findings.add(&table.span_of("remembered"), &table.field_name("remembered"), problem);
            0
        }
        (parsed, _) => parsed.flatten().unwrap_or(0),
    };
    let deadline = table.required("deadline", 24 * SECOND, "\"24s\"", findings, class_duration());
    let aim = table.optional("aim", deadline, findings, class_duration());
    if aim > deadline {
        findings.add(
            &table.span_of("aim"),
            &table.field_name("aim"),
            "is later than the deadline, after which messages are given up",
        );
    }
    let refuse_after = table.optional("refuse-after", 0, findings, class_duration());
    if refuse_after > deadline {
        let problem = "is later than the deadline, after which messages are given up";
        findings.add(&table.span_of("refuse-after"), &table.field_name("refuse-after"), problem);
    }
    let class = Class {
        refuse_after,
        effect,
        ordered,
        remembered,
        aim,
        deadline,
        worth: table.optional("worth", 1.0, findings, within(0.001..=1000.0, "0.001 to 1000", number)),
        late_worth: table.optional(
            "late-worth",
            0.5,
            findings,
            within(0.0..=1.0, "0 to 1, a share of the worth", number),
        ),
        name,
    };
    table.finish(findings);
    class
}

fn durability(text: &str) -> Result<Durability, String> {
    match text {
        "process" => Ok(Durability::Process),
        "machine" => Ok(Durability::Machine),
        _ => Err(format!("{text:?} is not a durability; expected \"process\" or \"machine\"")),
    }
}

fn effect(text: &str) -> Result<Effect, String> {
    match text {
        "repeatable" => Ok(Effect::Repeatable),
        "keyed" => Ok(Effect::Keyed),
        "once" => Ok(Effect::Once),
        _ => Err(format!("{text:?} is not an effect; expected \"repeatable\", \"keyed\" or \"once\"")),
    }
}

/// Names and addresses that must be unique within a site, collected from the partners read so far.
#[derive(Default)]
struct UniqueEndpoints {
    /// Endpoint names, each with the name of its partner.
    names: HashMap<String, String>,
    /// Addresses, each with the name of its endpoint.
    addresses: BTreeMap<SocketAddr, String>,
}

fn partner(
    name: String, mut table: Fields<'_, '_>, (kinds, classes): (&[PartnerKind], &[Class]), calls: u32,
    unique: &mut UniqueEndpoints, findings: &mut Findings<'_>,
) -> Partner {
    let kind_index = |text: &str| {
        kinds.iter().position(|k| k.name == text).ok_or_else(|| {
            let names: Vec<&str> = kinds.iter().map(|k| k.name.as_str()).collect();
            format!(
                "{text:?} is not a kind in this file; defined are: {} ([kind.{text}] adds it)",
                names.join(", ")
            )
        })
    };
    let kind = table.optional("kind", 0, findings, parsed(kind_index));
    let rate = table.optional("rate", None, findings, parsed(|t| parse_rate(t).map(Some)));
    let slots = within(1..=100_000, "1 to 100000", integer);
    let slots = table.optional("slots", None, findings, |v| slots(v).map(|n| Some(n as u32)));
    if slots.is_some_and(|slots| slots > calls) {
        let problem = format!("are more than the {calls} concurrent calls that limits.calls allows in total");
        findings.add(&table.span_of("slots"), &table.field_name("slots"), problem);
    }
    let (dialect, proof) = partner_protocol::dialect(&mut table, classes, findings);
    let tls = partner_protocol::tls(&mut table, &dialect, proof.is_some(), findings);
    let mut endpoints = Vec::new();
    for (endpoint, span, mut fields) in table.tables("endpoint", findings) {
        let shown = fields.field_name("").trim_end_matches('.').to_string();
        check_name(&endpoint, &span, &shown, findings);
        let placeholder = SocketAddr::from(([0, 0, 0, 0], 0));
        let address =
            fields.required("address", placeholder, "\"127.0.0.1:9001\"", findings, parsed(parse_address));
        if let Some(other) = unique.names.insert(endpoint.clone(), name.clone()) {
            let problem = format!("is the name of an endpoint of {other} too; orders require unique names");
            findings.add(&span, &shown, problem);
        }
        if address != placeholder {
            if let Some(other) = unique.addresses.insert(address, endpoint.clone()) {
                let problem = format!("{address} is the address of {other} too");
                findings.add(&fields.span_of("address"), &fields.field_name("address"), problem);
            }
        }
        fields.finish(findings);
        endpoints.push(Endpoint { name: endpoint, address });
    }
    table.finish(findings);
    Partner { name, kind, rate, slots, endpoints, dialect, proof, tls }
}

/// Validates the name of a class, partner, endpoint or forwarder. Names are used in paths, headers and commands without
/// escaping.
///
/// # Errors
/// Returns a message that describes a valid name.
pub fn validate_name(text: &str) -> Result<(), String> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let well_formed = text.len() <= MAX_NAME_BYTES && text.starts_with(|c: char| c.is_ascii_alphanumeric());
    if well_formed && text.chars().all(allowed) {
        return Ok(());
    }
    Err(format!(
        "no name: a name has 1 to {MAX_NAME_BYTES} letters, digits, - _ or . and begins with a letter or digit"
    ))
}

/// Reports a name that is not valid.
pub(crate) fn check_name(
    text: &str, span: &std::ops::Range<usize>, shown: &str, findings: &mut Findings<'_>,
) {
    if let Err(problem) = validate_name(text) {
        findings.add(span, shown, format!("is {problem}"));
    }
}

/// Parses an IP address with a port. Host names are not resolved, so that no partner depends on a name server.
///
/// # Errors
/// Returns a message that describes the expected notation.
pub fn parse_address(text: &str) -> Result<SocketAddr, String> {
    let address = text.parse::<SocketAddr>().ok().filter(|a| a.port() != 0);
    address.ok_or_else(|| {
        format!("{text:?} is not an address; examples are \"192.0.2.7:8443\" and \"[2001:db8::7]:8443\"; names are not looked up")
    })
}

/// Parses the path of a file.
pub(crate) fn path(text: &str) -> Result<PathBuf, String> {
    match text.trim() {
        "" => Err("is empty; name a file".into()),
        _ => Ok(PathBuf::from(text)),
    }
}

/// Parses the path of a folder.
fn folder(text: &str) -> Result<PathBuf, String> {
    match text.trim() {
        "" => Err("is empty; name a folder, for example \"/var/lib/foldtrack\"".into()),
        _ => Ok(PathBuf::from(text)),
    }
}
