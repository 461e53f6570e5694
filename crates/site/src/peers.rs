//! The `[peers]` table: settings for the other forwarders of the site.

use crate::check::{check_name, parse_address, path, DAY, SECOND};
use crate::fields::{boolean, parsed, within, Fields};
use crate::finding::Findings;
use crate::model::{Member, PeerSettings};
use crate::units::{parse_duration, parse_size};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Maximum number of forwarders of a site, this one included. It is far above the size of any fleet and only rejects files
/// that are not site files.
const MAX_MEMBERS: usize = 4096;
/// Bytes.
const KIB: u64 = 1 << 10;

/// Reads the table; none if it is missing.
pub(crate) fn peers(mut table: Fields<'_, '_>, findings: &mut Findings<'_>) -> Option<PeerSettings> {
    if !table.is_present() {
        return None;
    }
    let table_span = table.span.clone();
    let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
    let name_span = table.span_of("name");
    let name = table.required("name", String::new(), "\"a\"", findings, parsed(|text| Ok(text.to_string())));
    if !name.is_empty() {
        check_name(&name, &name_span, "peers.name", findings);
    }
    let listen = table.required("listen", placeholder, "\"10.0.0.1:7400\"", findings, parsed(parse_address));
    let example = "\"/etc/foldtrack/peers.secret\"";
    let secret = table.required("secret-file", PathBuf::new(), example, findings, parsed(path));
    let horizon = within(60 * SECOND..=365 * DAY, "\"1min\" to \"365days\"", parsed(parse_duration));
    let ready = within(0..=600 * SECOND, "\"0s\" to \"10min\"", parsed(parse_duration));
    let catch_up = within(16 * KIB..=1 << 30, "\"16KiB\" to \"1GiB\"", parsed(parse_size));
    let mut settings = PeerSettings {
        name,
        listen,
        secret,
        horizon: table.optional("horizon", 7 * DAY, findings, horizon),
        ready_within: table.optional("ready-within", 5 * SECOND, findings, ready),
        catch_up: table.optional("catch-up", 256 * KIB, findings, catch_up),
        share_waits: table.optional("share-waits", false, findings, boolean),
        members: Vec::new(),
    };
    for (name, span, mut fields) in table.tables("member", findings) {
        let shown = format!("peers.member.{name}");
        check_name(&name, &span, &shown, findings);
        let address_span = fields.span_of("address");
        let address =
            fields.required("address", placeholder, "\"10.0.0.2:7400\"", findings, parsed(parse_address));
        fields.finish(findings);
        if name == settings.name {
            findings.add(&span, &shown, "is this forwarder's own name; the table lists the others");
        }
        let duplicate =
            settings.members.iter().find(|m: &&Member| m.address == address && address.port() != 0);
        if let Some(other) = duplicate {
            let problem = format!("is already the address of {}", other.name);
            findings.add(&address_span, &format!("{shown}.address"), problem);
        }
        if address == settings.listen && address.port() != 0 {
            findings.add(
                &address_span,
                &format!("{shown}.address"),
                "is this forwarder's own listen address",
            );
        }
        settings.members.push(Member { name, address });
    }
    if settings.members.is_empty() {
        let problem = "is missing: name the other forwarders in [peers.member.NAME], or remove [peers]";
        findings.add(&table_span, "peers.member", problem);
    }
    if settings.members.len() >= MAX_MEMBERS {
        let problem =
            format!("{} others; a site has at most {MAX_MEMBERS} forwarders", settings.members.len());
        findings.add(&table_span, "peers.member", problem);
    }
    settings.members.sort_by(|a, b| a.name.cmp(&b.name));
    table.finish(findings);
    Some(settings)
}
