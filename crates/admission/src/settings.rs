//! The figures of admission.

use crate::{Micros, Rate};
use ipnet::IpNet;
use std::net::IpAddr;

/// What may be used, and by whom.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Connections at once.
    pub max_connections: usize,
    /// Those of them that are kept for known clients.
    pub reserve: usize,
    /// Connections of an address that is not known, and of one that is.
    pub per_address: usize,
    /// See `per_address`.
    pub per_known: usize,
    /// Connections of all addresses of a prefix together that are not known.
    pub per_prefix: usize,
    /// Bits of a prefix, 0 to 32.
    pub v4_prefix: u8,
    /// Bits of a prefix, 0 to 128.
    pub v6_prefix: u8,
    /// New connections of an address that is not known.
    pub new_connections: Rate,
    /// New connections of all such addresses together.
    pub unknown_connections: Rate,
    /// Requests of one address that are open at once.
    pub max_requests_per_address: usize,
    /// Open requests of all from which on shares are kept to.
    pub busy_from: usize,
    /// Known clients by name. An address of the list is known whatever it does.
    pub known: Vec<IpNet>,
    /// Messages taken on lately that make an address known.
    pub earned_by: f64,
    /// In this span half of what was earned is forgotten.
    pub earned_half: Micros,
    /// Addresses that are remembered while nothing of theirs is open.
    pub addresses: usize,
    /// A connection that has said nothing for so long is the first to go.
    pub silent: Micros,
}

impl Settings {
    /// Figures for so many places, with nobody known by name.
    pub fn for_connections(max_connections: usize) -> Settings {
        Settings {
            max_connections,
            reserve: max_connections / 2,
            per_address: (max_connections / 8).max(2),
            per_known: (max_connections / 2).max(2),
            per_prefix: (max_connections / 4).max(2),
            v4_prefix: 24,
            v6_prefix: 64,
            new_connections: Rate { per_second: 50.0, burst: 50.0 },
            unknown_connections: Rate { per_second: 500.0, burst: max_connections.max(500) as f64 },
            max_requests_per_address: (max_connections / 4).max(2),
            busy_from: (max_connections / 8).max(4),
            known: Vec::new(),
            earned_by: 10.0,
            earned_half: 600_000_000,
            addresses: 4_096,
            silent: 100_000,
        }
    }

    /// Figures where every client comes through one front: its addresses are known, and it may have every place.
    pub fn behind_proxy(max_connections: usize, front: Vec<IpNet>) -> Settings {
        Settings {
            reserve: 0,
            per_known: usize::MAX,
            max_requests_per_address: max_connections,
            busy_from: max_connections,
            known: front,
            ..Settings::for_connections(max_connections)
        }
    }

    /// Whether an address is known by name.
    pub fn names(&self, address: IpAddr) -> bool {
        self.known.iter().any(|net| net.contains(&address))
    }

    /// The prefix of an address.
    pub fn prefix(&self, address: IpAddr) -> IpNet {
        let bits = if address.is_ipv4() { self.v4_prefix.min(32) } else { self.v6_prefix.min(128) };
        IpNet::new(address, bits).map_or(IpNet::from(address), |net| net.trunc())
    }
}
