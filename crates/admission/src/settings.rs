//! Settings of admission control.

use crate::{Micros, Rate};
use ipnet::IpNet;
use std::net::IpAddr;

/// Limits for connections and requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Maximum number of connections.
    pub max_connections: usize,
    /// How many of them are reserved for known clients.
    pub reserve: usize,
    /// Maximum number of connections of an address that is not known.
    pub per_address: usize,
    /// Maximum number of connections of a known address.
    pub per_known: usize,
    /// Maximum number of connections of all unknown addresses in a prefix together.
    pub per_prefix: usize,
    /// Length of an IPv4 prefix in bits, 0 to 32.
    pub v4_prefix: u8,
    /// Length of an IPv6 prefix in bits, 0 to 128.
    pub v6_prefix: u8,
    /// Rate of new connections for each unknown address.
    pub new_connections: Rate,
    /// Rate of new connections for all unknown addresses together.
    pub unknown_connections: Rate,
    /// Maximum number of requests in flight of one address.
    pub max_requests_per_address: usize,
    /// Number of requests in flight above which shares are enforced.
    pub sharing_threshold: usize,
    /// Networks of known clients. Their addresses stay known whatever they do.
    pub known: Vec<IpNet>,
    /// Credit, in accepted messages, at which an address counts as known.
    pub known_credit: f64,
    /// Half-life of the credit, in microseconds.
    pub credit_half_life: Micros,
    /// Maximum number of addresses without connections that are remembered.
    pub max_idle_accounts: usize,
    /// A connection that has sent nothing for this long, in microseconds, is evicted first.
    pub silent_after: Micros,
}

impl Settings {
    /// Defaults for a number of connections, without configured known clients.
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
            sharing_threshold: (max_connections / 8).max(4),
            known: Vec::new(),
            known_credit: 10.0,
            credit_half_life: 600_000_000,
            max_idle_accounts: 4_096,
            silent_after: 100_000,
        }
    }

    /// Settings for a forwarder behind a proxy: the proxy's networks are known, and may use every
    /// connection.
    pub fn behind_proxy(max_connections: usize, proxy: Vec<IpNet>) -> Settings {
        Settings {
            reserve: 0,
            per_known: usize::MAX,
            max_requests_per_address: max_connections,
            sharing_threshold: max_connections,
            known: proxy,
            ..Settings::for_connections(max_connections)
        }
    }

    /// Whether an address is on the list of known clients.
    pub fn is_named(&self, address: IpAddr) -> bool {
        self.known.iter().any(|net| net.contains(&address))
    }

    /// The prefix that an address belongs to.
    pub fn prefix(&self, address: IpAddr) -> IpNet {
        let bits = if address.is_ipv4() { self.v4_prefix.min(32) } else { self.v6_prefix.min(128) };
        IpNet::new(address, bits).map_or(IpNet::from(address), |net| net.trunc())
    }
}
