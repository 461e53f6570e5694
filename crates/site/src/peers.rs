//! `[peers]`: the other forwarders of the site.

use crate::check::{check_name, parse_address, path, DAY, SECOND};
use crate::fields::{by, within, yes_or_no, Fields};
use crate::finding::Findings;
use crate::model::{Member, PeerSettings};
use crate::units::{parse_duration, parse_size};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Members of a site at most, this forwarder included: a bound against a file that is none, far above any fleet.
const MOST_MEMBERS: usize = 4096;
const KIB: u64 = 1 << 10;

/// Reads the table, if there is one.
pub(crate) fn peers(mut table: Fields<'_, '_>, found: &mut Findings<'_>) -> Option<PeerSettings> {
    if !table.is_there() {
        return None;
    }
    let span_of = table.span.clone();
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let name_place = table.place("name");
    let name = table.need("name", String::new(), "\"a\"", found, by(|text| Ok(text.to_string())));
    if !name.is_empty() {
        check_name(&name, &name_place, "peers.name", found);
    }
    let listen = table.need("listen", nowhere, "\"10.0.0.1:7400\"", found, by(parse_address));
    let example = "\"/etc/foldtrack/peers.secret\"";
    let secret = table.need("secret-file", PathBuf::new(), example, found, by(path));
    let horizon = within(60 * SECOND..=365 * DAY, "\"1min\" to \"365days\"", by(parse_duration));
    let ready = within(0..=600 * SECOND, "\"0s\" to \"10min\"", by(parse_duration));
    let catch_up = within(16 * KIB..=1 << 30, "\"16KiB\" to \"1GiB\"", by(parse_size));
    let mut read = PeerSettings {
        name,
        listen,
        secret,
        horizon: table.or("horizon", 7 * DAY, found, horizon),
        ready_within: table.or("ready-within", 5 * SECOND, found, ready),
        catch_up: table.or("catch-up", 256 * KIB, found, catch_up),
        share_waits: table.or("share-waits", false, found, yes_or_no),
        members: Vec::new(),
    };
    for (name, place, mut fields) in table.tables("member", found) {
        let shown = format!("peers.member.{name}");
        check_name(&name, &place, &shown, found);
        let at = fields.place("address");
        let address = fields.need("address", nowhere, "\"10.0.0.2:7400\"", found, by(parse_address));
        fields.done(found);
        if name == read.name {
            found.add(&place, &shown, "is this forwarder's own name; the table has the others");
        }
        let twin = read.members.iter().find(|m: &&Member| m.address == address && address.port() != 0);
        if let Some(twin) = twin {
            let problem = format!("is the address of {} already", twin.name);
            found.add(&at, &format!("{shown}.address"), problem);
        }
        if address == read.listen && address.port() != 0 {
            found.add(&at, &format!("{shown}.address"), "is where this forwarder listens itself");
        }
        read.members.push(Member { name, address });
    }
    if read.members.is_empty() {
        let problem = "there is no other forwarder; name them in [peers.member.NAME], or leave [peers] out";
        found.add(&span_of, "peers.member", problem);
    }
    if read.members.len() >= MOST_MEMBERS {
        let problem = format!("{} others; a site has {MOST_MEMBERS} forwarders at most", read.members.len());
        found.add(&span_of, "peers.member", problem);
    }
    read.members.sort_by(|a, b| a.name.cmp(&b.name));
    table.done(found);
    Some(read)
}
