//! The rules of a site file.

use crate::fields::{by, each, number, text, whole, within, yes_or_no, Fields};
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

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
pub(crate) const SECOND: u64 = 1_000_000;
pub(crate) const DAY: u64 = 86_400 * SECOND;
/// Longest name of a class, kind, partner or endpoint.
const LONGEST_NAME: usize = 64;
/// First parts of paths that the listener keeps for itself.
const RESERVED: [&str; 2] = ["healthz", "v1"];
/// Bytes that the path of a Unix socket has at most (`sun_path` of unix(7), less the closing zero).
pub const MAX_SOCKET_PATH_BYTES: usize = 107;
/// Descriptors for all but clients and calls.
const OTHER_DESCRIPTORS: u64 = 64;
/// What the journal of messages needs at least.
const LEAST_JOURNAL: u64 = 256 * KIB;

/// Checks a text as a site file; `file` is how findings name it.
///
/// # Errors
/// Every finding, in the order of their places.
pub fn parse(file: &Path, source: &str) -> Result<Site, Vec<Finding>> {
    let mut found = Findings::new(file, source);
    let (table, errors) = DeTable::parse_recoverable(source);
    for error in &errors {
        found.add(&error.span().unwrap_or(0..0), "", error.message());
    }
    let mut top = Fields::top(&table);
    let site = site(&mut top, &mut found);
    top.done(&mut found);
    if found.is_empty() {
        return Ok(site);
    }
    Err(found.into_sorted())
}

fn site(top: &mut Fields<'_, '_>, found: &mut Findings<'_>) -> Site {
    let mut head = top.table("site", found);
    let name = head.or("name", "foldtrack".to_string(), found, |v| text(v).map(str::to_string));
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let listen = head.need("listen", nowhere, "\"127.0.0.1:8080\"", found, by(parse_address));
    let state_place = head.place("state");
    let state = head.need("state", PathBuf::new(), "\"/var/lib/foldtrack\"", found, by(folder));
    let state_name = head.name("state");
    let durability = head.or("durability", Durability::Machine, found, by(durability));
    head.done(found);

    let table = top.table("limits", found);
    let disk_place = table.place("disk");
    let limits = limits(table, found);
    let ends = ends(top.table("ends", found), found);
    let admission = admission(top.table("admission", found), found);
    let mut table = top.table("calls", found);
    let calls = Calls {
        connection_idle: table.or(
            "connection-idle",
            15 * SECOND,
            found,
            within(SECOND..=DAY, "\"1s\" to \"24h\"", by(parse_duration)),
        ),
        connect_timeout: table.or(
            "connect-timeout",
            SECOND,
            found,
            within(10_000..=60 * SECOND, "\"10ms\" to \"60s\"", by(parse_duration)),
        ),
        connection_age: table.or(
            "connection-age",
            600 * SECOND,
            found,
            within(SECOND..=DAY, "\"1s\" to \"24h\"", by(parse_duration)),
        ),
        open_ahead: table.or("open-ahead", true, found, yes_or_no),
    };
    table.done(found);
    let peers = peers::peers(top.table("peers", found), found);

    let mut classes = Vec::new();
    for (name, place, fields) in top.tables("class", found) {
        let (shown, first) = (fields.name(""), RESERVED.contains(&name.as_str()));
        let shown = shown.trim_end_matches('.');
        check_name(&name, &place, shown, found);
        if first {
            found.add(&place, shown, "this name is the listener's own; choose another");
        }
        classes.push(class(name, fields, found));
    }
    if classes.is_empty() {
        let problem =
            "there is none; a site has at least one, [class.updates] say: `foldtrack init` shows how";
        found.add(&(0..0), "class", problem);
    }

    let mut kinds = vec![PartnerKind { name: "partner".into(), routes_apart: false }];
    for (name, place, mut fields) in top.tables("kind", found) {
        check_name(&name, &place, fields.name("").trim_end_matches('.'), found);
        let routes_apart = fields.or("routes-apart", false, found, yes_or_no);
        fields.done(found);
        match kinds.iter_mut().find(|k| k.name == name) {
            Some(kind) => kind.routes_apart = routes_apart,
            None => kinds.push(PartnerKind { name, routes_apart }),
        }
    }

    let mut partners = Vec::new();
    let (mut seen, mut numbers) = (Seen::default(), HashMap::new());
    for (name, place, fields) in top.tables("partner", found) {
        check_name(&name, &place, fields.name("").trim_end_matches('.'), found);
        let partner = partner(name, fields, (&kinds, &classes), limits.calls, &mut seen, found);
        if let Some(other) = numbers.insert(partner.number(), partner.name.clone()) {
            let problem =
                format!("can't stand beside {other}: their names have one check sum; change either");
            found.add(&place, &format!("partner.{}", partner.name), problem);
        }
        partners.push(partner);
    }
    if partners.is_empty() {
        found.add(&(0..0), "partner", "there is none; a site has at least one, [partner.NAME]");
    }

    let count: usize = partners.iter().map(|p| p.endpoints.len() + 1).sum();
    if count > MAX_ENDPOINTS {
        let problem = format!("{count} partners and endpoints; a site has {MAX_ENDPOINTS} at most");
        found.add(&(0..0), "partner", problem);
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
            "is too long: the control line's socket in it may have a path of {MAX_SOCKET_PATH_BYTES} bytes at most"
        );
        found.add(&state_place, &state_name, problem);
    }
    if site.journal_capacity() < LEAST_JOURNAL {
        let problem = format!(
            "is too little: of limits.disk the ends take {} bytes and the membership log {MEMBERSHIP_LOG_BYTES}{}, and \
             messages need {LEAST_JOURNAL}",
            site.ends.size,
            if site.peers.is_some() { format!(", what forwarders tell each other {PEER_STORE_BYTES}") } else { String::new() }
        );
        found.add(&disk_place, "limits.disk", problem);
    }
    site
}

fn limits(mut table: Fields<'_, '_>, found: &mut Findings<'_>) -> Limits {
    let memory = within(16 * MIB..=1 << 40, "\"16MiB\" to \"1TiB\"", by(parse_size));
    let disk = within(4 * MIB..=1 << 44, "\"4MiB\" to \"16TiB\"", by(parse_size));
    let limits = Limits {
        memory: table.or("memory", 256 * MIB, found, memory),
        descriptors: table.or("descriptors", 1024, found, within(96..=1 << 20, "96 to 1048576", whole))
            as usize,
        disk: table.or("disk", 256 * MIB, found, disk),
        messages: table.or("messages", 10_000, found, within(1..=10_000_000, "1 to 10000000", whole)) as u32,
        calls: table.or("calls", 256, found, within(1..=100_000, "1 to 100000", whole)) as u32,
        attempts: table.or("attempts", 8, found, within(1..=100, "1 to 100", whole)) as u32,
        longest_wait: table.or(
            "longest-wait",
            10 * SECOND,
            found,
            within(0..=DAY, "\"0s\" to \"24h\"", by(parse_duration)),
        ),
    };
    // A call takes a descriptor, and a client one for what it hands in meanwhile.
    let room = (limits.descriptors as u64).saturating_sub(OTHER_DESCRIPTORS) / 2;
    if u64::from(limits.calls) > room {
        let problem = format!(
            "{} calls at once don't fit {} descriptors, of which {room} are for calls: lower `calls` or raise \
             `descriptors`",
            limits.calls, limits.descriptors
        );
        found.add(&table.place("calls"), &table.name("calls"), problem);
    }
    table.done(found);
    limits
}

fn admission(mut table: Fields<'_, '_>, found: &mut Findings<'_>) -> Admission {
    let count = || {
        let read = within(1..=1_000_000, "1 to 1000000", whole);
        move |value: &toml::de::DeValue<'_>| read(value).map(|n| Some(n as u32))
    };
    let rate = || within(0.1..=1e6, "0.1 to 1000000", number);
    let bits = |most: u64, shown: &'static str| within(0..=most, shown, whole);
    let admission = Admission {
        known: table.or("known", Vec::new(), found, each(parse_network)),
        reserve: table.or("reserve", 0.5, found, within(0.0..=1.0, "0 to 1, a share of the places", number)),
        per_address: table.or("per-address", None, found, count()),
        per_known: table.or("per-known", None, found, count()),
        per_prefix: table.or("per-prefix", None, found, count()),
        v4_prefix: table.or("v4-prefix", 24, found, bits(32, "0 to 32")) as u8,
        v6_prefix: table.or("v6-prefix", 64, found, bits(128, "0 to 128")) as u8,
        new_per_second: table.or("new-per-second", 200.0, found, rate()),
        burst: table.or("burst", 200.0, found, rate()),
        strangers_per_second: table.or("strangers-per-second", 500.0, found, rate()),
        requests: table.or("requests", None, found, count()),
    };
    table.done(found);
    admission
}

/// An address, or a network as an address and the bits of its prefix.
///
/// # Errors
/// What would be right.
pub fn parse_network(text: &str) -> Result<IpNet, String> {
    let single = || text.parse::<IpAddr>().map(|address| IpNet::from(address.to_canonical()));
    let read = text.parse::<IpNet>().map(|net| net.trunc()).or_else(|_| single());
    read.map_err(|_| {
        format!(
            "{text:?} is no address or network; one is \"192.0.2.7\", \"192.0.2.0/24\" or \"2001:db8::/32\""
        )
    })
}

fn ends(mut table: Fields<'_, '_>, found: &mut Findings<'_>) -> OutcomeRetention {
    let size_range = within(64 * KIB..=1 << 32, "\"64KiB\" to \"4GiB\"", by(parse_size));
    let ends = OutcomeRetention {
        count: table.or("count", 100_000, found, within(10..=100_000_000, "10 to 100000000", whole)),
        size: table.or("size", 32 * MIB, found, size_range),
        age: table.or(
            "age",
            7 * DAY,
            found,
            within(60 * SECOND..=3660 * DAY, "\"1m\" to \"10years\"", by(parse_duration)),
        ),
    };
    table.done(found);
    ends
}

fn class(name: String, mut table: Fields<'_, '_>, found: &mut Findings<'_>) -> Class {
    let effect = table.need("effect", Effect::Repeatable, "\"once\"", found, by(effect));
    let ordered = table.or("ordered", false, found, yes_or_no);
    let lasting = || within(1_000..=7 * DAY, "\"1ms\" to \"7days\"", by(parse_duration));
    let remembered = table.read("remembered", found, lasting());
    let remembered = match (remembered, effect) {
        (Some(None), Effect::Keyed) => {
            let problem =
                "is missing; a keyed class tells how long partners drop repeats: remembered = \"10s\"";
            found.add(&table.span, &table.name("remembered"), problem);
            0
        }
        (Some(Some(_)), Effect::Repeatable | Effect::Once) => {
            let problem = "means something only with effect = \"keyed\": remove one or change the other";
            found.add(&table.place("remembered"), &table.name("remembered"), problem);
            0
        }
        (read, _) => read.flatten().unwrap_or(0),
    };
    let deadline = table.need("deadline", 24 * SECOND, "\"24s\"", found, lasting());
    let aim = table.or("aim", deadline, found, lasting());
    if aim > deadline {
        found.add(&table.place("aim"), &table.name("aim"), "is later than the deadline, by when all is over");
    }
    let refuse_after = table.or("refuse-after", 0, found, lasting());
    if refuse_after > deadline {
        let problem = "is later than the deadline, by when all is over";
        found.add(&table.place("refuse-after"), &table.name("refuse-after"), problem);
    }
    let class = Class {
        refuse_after,
        effect,
        ordered,
        remembered,
        aim,
        deadline,
        worth: table.or("worth", 1.0, found, within(0.001..=1000.0, "0.001 to 1000", number)),
        late_worth: table.or(
            "late-worth",
            0.5,
            found,
            within(0.0..=1.0, "0 to 1, a share of the worth", number),
        ),
        name,
    };
    table.done(found);
    class
}

fn durability(text: &str) -> Result<Durability, String> {
    match text {
        "process" => Ok(Durability::Process),
        "machine" => Ok(Durability::Machine),
        _ => Err(format!("{text:?} is no durability; one is \"process\" or \"machine\"")),
    }
}

fn effect(text: &str) -> Result<Effect, String> {
    match text {
        "repeatable" => Ok(Effect::Repeatable),
        "keyed" => Ok(Effect::Keyed),
        "once" => Ok(Effect::Once),
        _ => Err(format!("{text:?} is no effect; one is \"repeatable\", \"keyed\" or \"once\"")),
    }
}

/// What must not stand twice in a site.
#[derive(Default)]
struct Seen {
    /// Endpoints' names, each with its partner.
    endpoints: HashMap<String, String>,
    addresses: BTreeMap<SocketAddr, String>,
}

fn partner(
    name: String, mut table: Fields<'_, '_>, (kinds, classes): (&[PartnerKind], &[Class]), calls: u32,
    seen: &mut Seen, found: &mut Findings<'_>,
) -> Partner {
    let known = |text: &str| {
        kinds.iter().position(|k| k.name == text).ok_or_else(|| {
            let names: Vec<&str> = kinds.iter().map(|k| k.name.as_str()).collect();
            format!(
                "{text:?} is no kind of this file; there are: {} ([kind.{text}] adds it)",
                names.join(", ")
            )
        })
    };
    let kind = table.or("kind", 0, found, by(known));
    let rate = table.or("rate", None, found, by(|t| parse_rate(t).map(Some)));
    let slots = within(1..=100_000, "1 to 100000", whole);
    let slots = table.or("slots", None, found, |v| slots(v).map(|n| Some(n as u32)));
    if slots.is_some_and(|slots| slots > calls) {
        let problem = format!("are more than the {calls} calls that limits.calls allows in all");
        found.add(&table.place("slots"), &table.name("slots"), problem);
    }
    let (dialect, proof) = partner_protocol::dialect(&mut table, classes, found);
    let tls = partner_protocol::tls(&mut table, &dialect, proof.is_some(), found);
    let mut endpoints = Vec::new();
    for (endpoint, place, mut fields) in table.tables("endpoint", found) {
        let shown = fields.name("").trim_end_matches('.').to_string();
        check_name(&endpoint, &place, &shown, found);
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        let address = fields.need("address", nowhere, "\"127.0.0.1:9001\"", found, by(parse_address));
        if let Some(other) = seen.endpoints.insert(endpoint.clone(), name.clone()) {
            let problem = format!("is the name of an endpoint of {other} too; orders need a name for each");
            found.add(&place, &shown, problem);
        }
        if address != nowhere {
            if let Some(other) = seen.addresses.insert(address, endpoint.clone()) {
                let problem = format!("{address} is the address of {other} too");
                found.add(&fields.place("address"), &fields.name("address"), problem);
            }
        }
        fields.done(found);
        endpoints.push(Endpoint { name: endpoint, address });
    }
    table.done(found);
    Partner { name, kind, rate, slots, endpoints, dialect, proof, tls }
}

/// Whether a text can name a class, partner or endpoint: it goes into paths, headers and commands as it is.
///
/// # Errors
/// What would be right.
pub fn validate_name(text: &str) -> Result<(), String> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let sound = text.len() <= LONGEST_NAME && text.starts_with(|c: char| c.is_ascii_alphanumeric());
    if sound && text.chars().all(plain) {
        return Ok(());
    }
    Err(format!(
        "no name: one has 1 to {LONGEST_NAME} letters, digits, - _ or . and begins with a letter or digit"
    ))
}

pub(crate) fn check_name(text: &str, place: &std::ops::Range<usize>, shown: &str, found: &mut Findings<'_>) {
    if let Err(problem) = validate_name(text) {
        found.add(place, shown, format!("is {problem}"));
    }
}

/// An address and port. Names are not looked up: a partner must not hang on a name server.
///
/// # Errors
/// What would be right.
pub fn parse_address(text: &str) -> Result<SocketAddr, String> {
    let read = text.parse::<SocketAddr>().ok().filter(|a| a.port() != 0);
    read.ok_or_else(|| {
        format!("{text:?} is no address; one is \"192.0.2.7:8443\" or \"[2001:db8::7]:8443\", names are not looked up")
    })
}

/// A path of a file.
pub(crate) fn path(text: &str) -> Result<PathBuf, String> {
    match text.trim() {
        "" => Err("is empty; name a file".into()),
        _ => Ok(PathBuf::from(text)),
    }
}

fn folder(text: &str) -> Result<PathBuf, String> {
    match text.trim() {
        "" => Err("is empty; name a folder, \"/var/lib/foldtrack\" say".into()),
        _ => Ok(PathBuf::from(text)),
    }
}
