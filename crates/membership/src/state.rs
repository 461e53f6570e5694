//! Partners and endpoints, and the orders that change them. No I/O.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Whether an endpoint may be called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// New calls may be sent to it.
    Active,
    /// It finishes its calls in flight and gets no new ones.
    Draining,
}

/// An endpoint of a partner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of its partner.
    pub partner: String,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Whether it may be called.
    pub state: EndpointState,
}

/// A partner of the site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partner {
    /// Its destination number, derived from its name alone: the message journal refers to partners by this
    /// number, which must stay valid even if this log is lost.
    pub number: u32,
    /// While it is set, none of its endpoints gets new calls.
    pub paused: bool,
}

/// An order of an operator. An order names the desired state, so orders are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Adds an endpoint to a partner.
    Add {
        /// Name of the partner.
        partner: String,
        /// Name of the new endpoint.
        endpoint: String,
        /// The address it listens on.
        address: SocketAddr,
    },
    /// Stops new calls to an endpoint.
    Drain {
        /// Name of the endpoint.
        endpoint: String,
    },
    /// Allows calls to a drained endpoint again.
    Resume {
        /// Name of the endpoint.
        endpoint: String,
    },
    /// Removes an endpoint.
    Remove {
        /// Name of the endpoint.
        endpoint: String,
    },
    /// Stops new calls to a partner; messages for it are held.
    PausePartner {
        /// Name of the partner.
        partner: String,
    },
    /// Allows calls to a paused partner again.
    ResumePartner {
        /// Name of the partner.
        partner: String,
    },
}

/// An endpoint as the site file lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Name of its partner.
    pub partner: String,
    /// The address it listens on.
    pub address: SocketAddr,
}

/// Partners and endpoints listed in the site file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteFile {
    /// Destination numbers of the partners, by partner name.
    pub partners: BTreeMap<String, u32>,
    /// Endpoints, by endpoint name.
    pub endpoints: BTreeMap<String, ListedEndpoint>,
}

/// Effect of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The order has changed the state, or would change it.
    Applied,
    /// The state already is as the order says.
    Unchanged,
}

/// Why an order is rejected. The state is unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No partner has this name.
    NoSuchPartner(String),
    /// No endpoint has this name.
    NoSuchEndpoint(String),
    /// The name belongs to an endpoint of this partner at this address.
    NameTaken(String, String, SocketAddr),
    /// The address belongs to the endpoint of this name.
    AddressTaken(SocketAddr, String),
    /// The site has this many partners and endpoints, which is the maximum.
    TooMany(usize),
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::NoSuchPartner(name) => write!(f, "there is no partner {name:?}"),
            Rejection::NoSuchEndpoint(name) => write!(f, "there is no endpoint {name:?}"),
            Rejection::NameTaken(name, partner, address) => {
                write!(f, "{name:?} is already an endpoint of {partner:?} at {address}; remove it first")
            }
            Rejection::AddressTaken(address, name) => {
                write!(f, "{address} is already the address of {name:?}")
            }
            Rejection::TooMany(count) => {
                write!(f, "the site already has {count} partners and endpoints, which is the maximum")
            }
        }
    }
}

/// Partners and endpoints after all statements so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipState {
    version: u64,
    partners: BTreeMap<String, Partner>,
    endpoints: BTreeMap<String, Endpoint>,
    /// Contents of the site file when it was last applied. Only entries that differ from it are new
    /// statements.
    site: SiteFile,
}

impl MembershipState {
    /// Number of statements applied so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Partners, by name.
    pub fn partners(&self) -> &BTreeMap<String, Partner> {
        &self.partners
    }

    /// Endpoints, by name.
    pub fn endpoints(&self) -> &BTreeMap<String, Endpoint> {
        &self.endpoints
    }

    /// Contents of the site file when it was last applied.
    pub fn site(&self) -> &SiteFile {
        &self.site
    }

    /// Whether an endpoint may be called: it is active and its partner is not paused.
    pub fn accepts_calls(&self, endpoint: &Endpoint) -> bool {
        let paused = self.partners.get(&endpoint.partner).is_none_or(|p| p.paused);
        endpoint.state == EndpointState::Active && !paused
    }

    /// Checks an order without applying it, and returns what it would change. `max_entries` is the highest
    /// total number of partners and endpoints.
    ///
    /// # Errors
    /// The order contradicts the state.
    pub fn validate(&self, order: &Order, max_entries: usize) -> Result<Change, Rejection> {
        let endpoint =
            |name: &String| self.endpoints.get(name).ok_or_else(|| Rejection::NoSuchEndpoint(name.clone()));
        let partner =
            |name: &String| self.partners.get(name).ok_or_else(|| Rejection::NoSuchPartner(name.clone()));
        let already = match order {
            Order::Add { partner: partner_name, endpoint: name, address } => {
                partner(partner_name)?;
                if let Some(other) = self.endpoints.get(name) {
                    if (&other.partner, other.address) != (partner_name, *address) {
                        let (owner, at) = (other.partner.clone(), other.address);
                        return Err(Rejection::NameTaken(name.clone(), owner, at));
                    }
                    return Ok(Change::Unchanged);
                }
                if let Some((other, _)) = self.endpoints.iter().find(|(_, e)| e.address == *address) {
                    return Err(Rejection::AddressTaken(*address, other.clone()));
                }
                let count = self.endpoints.len() + self.partners.len();
                if count >= max_entries {
                    return Err(Rejection::TooMany(count));
                }
                false
            }
            Order::Drain { endpoint: name } => endpoint(name)?.state == EndpointState::Draining,
            Order::Resume { endpoint: name } => endpoint(name)?.state == EndpointState::Active,
            Order::Remove { endpoint: name } => endpoint(name).map(|_| false)?,
            Order::PausePartner { partner: name } => partner(name)?.paused,
            Order::ResumePartner { partner: name } => !partner(name)?.paused,
        };
        Ok(if already { Change::Unchanged } else { Change::Applied })
    }

    /// Applies an order, which [`MembershipState::validate`] must have accepted.
    pub fn apply_order(&mut self, order: &Order) {
        self.version += 1;
        match order {
            Order::Add { partner, endpoint, address } => {
                let listed = ListedEndpoint { partner: partner.clone(), address: *address };
                self.insert_endpoint(endpoint, &listed);
            }
            Order::Drain { endpoint } => self.set_endpoint_state(endpoint, EndpointState::Draining),
            Order::Resume { endpoint } => self.set_endpoint_state(endpoint, EndpointState::Active),
            Order::Remove { endpoint } => drop(self.endpoints.remove(endpoint)),
            Order::PausePartner { partner } => self.set_paused(partner, true),
            Order::ResumePartner { partner } => self.set_paused(partner, false),
        }
    }

    fn set_endpoint_state(&mut self, endpoint: &str, state: EndpointState) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.state = state;
        }
    }

    fn set_paused(&mut self, partner: &str, paused: bool) {
        if let Some(partner) = self.partners.get_mut(partner) {
            partner.paused = paused;
        }
    }

    fn insert_endpoint(&mut self, name: &str, listed: &ListedEndpoint) {
        let ListedEndpoint { partner, address } = listed.clone();
        let state = EndpointState::Active;
        self.endpoints.insert(name.to_string(), Endpoint { partner, address, state });
    }

    /// Applies the contents of the site file. Unchanged entries have no effect. A new or changed entry sets
    /// its endpoint, and an entry that is gone removes it. If an entry has an address that belongs to an
    /// endpoint added by an order, that endpoint is removed. Returns one message for the operator for each
    /// conflict or change.
    pub fn apply_site_file(&mut self, site: &SiteFile) -> Vec<String> {
        let mut messages = Vec::new();
        self.version += 1;
        for (name, number) in &site.partners {
            let number = *number;
            self.partners.entry(name.clone()).or_insert(Partner { number, paused: false }).number = number;
        }
        let previous = std::mem::replace(&mut self.site, site.clone());
        let removed_partners: Vec<String> =
            self.partners.keys().filter(|name| !site.partners.contains_key(*name)).cloned().collect();
        for name in removed_partners {
            self.partners.remove(&name);
            self.endpoints.retain(|endpoint, e| {
                let keep = e.partner != name;
                if !keep {
                    messages.push(format!(
                        "{endpoint} is removed with its partner {name}, which the site file no longer lists"
                    ));
                }
                keep
            });
        }
        for name in previous.endpoints.keys().filter(|name| !site.endpoints.contains_key(*name)) {
            if self.endpoints.remove(name).is_some() {
                messages.push(format!("{name} is removed: the site file no longer lists it"));
            }
        }
        for (name, listed) in &site.endpoints {
            if previous.endpoints.get(name) == Some(listed) {
                let current = self.endpoints.get(name);
                if current.is_none_or(|e| e.address != listed.address || e.partner != listed.partner) {
                    let reason = "a later order overrides its entry";
                    messages.push(format!("{name} differs from the site file: {reason}"));
                }
                continue;
            }
            let as_listed = |e: &&Endpoint| e.address == listed.address && e.partner == listed.partner;
            if self.endpoints.get(name).filter(as_listed).is_some() {
                continue;
            }
            let holder =
                self.endpoints.iter().find(|(other, e)| e.address == listed.address && *other != name);
            if let Some(other) = holder.map(|(other, _)| other.clone()) {
                self.endpoints.remove(&other);
                messages.push(format!(
                    "{other} is removed: the site file assigns its address {} to {name}",
                    listed.address
                ));
            }
            if self.endpoints.contains_key(name) {
                messages.push(format!("{name} is now at {}, as the site file lists it", listed.address));
            }
            self.insert_endpoint(name, listed);
        }
        messages
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeSet;

    const MAX_ENTRIES: usize = 20;

    fn address(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    fn site_file(lines: &[(&str, &str, u16)]) -> SiteFile {
        let endpoint = |l: &(&str, &str, u16)| {
            (l.1.to_string(), ListedEndpoint { partner: l.0.into(), address: address(l.2) })
        };
        SiteFile {
            partners: lines.iter().map(|l| (l.0.to_string(), u32::from(l.0.as_bytes()[0]))).collect(),
            endpoints: lines.iter().filter(|l| l.2 > 0).map(endpoint).collect(),
        }
    }

    fn drain(name: &str) -> Order {
        Order::Drain { endpoint: name.into() }
    }

    fn add(partner: &str, name: &str, port: u16) -> Order {
        Order::Add { partner: partner.into(), endpoint: name.into(), address: address(port) }
    }

    #[test]
    fn orders_override_an_unchanged_site_file_and_yield_to_a_changed_entry() {
        let mut state = MembershipState::default();
        let file = site_file(&[("p", "a", 1), ("p", "b", 2), ("q", "c", 3)]);
        assert!(state.apply_site_file(&file).is_empty());
        state.apply_order(&drain("a"));
        state.apply_order(&Order::Remove { endpoint: "b".into() });
        state.apply_order(&add("q", "d", 4));
        let messages = state.apply_site_file(&file);
        assert!(
            messages.len() == 1 && messages[0].starts_with("b differs from the site file"),
            "{messages:?}"
        );
        assert_eq!(state.endpoints["a"].state, EndpointState::Draining);
        assert!(!state.endpoints.contains_key("b") && state.endpoints.contains_key("d"));
        // The entry of `a` changes, which is a later statement than the drain.
        state.apply_site_file(&site_file(&[("p", "a", 9), ("p", "b", 2), ("q", "c", 3)]));
        let a = &state.endpoints["a"];
        assert!(a.state == EndpointState::Active && a.address == address(9));
        // The entry of `c` is gone, and so is partner `q` with all its endpoints, including the one added by
        // an order.
        let messages = state.apply_site_file(&site_file(&[("p", "a", 9), ("p", "b", 2)]));
        assert!(messages.iter().any(|m| m.starts_with("d is removed with its partner q")), "{messages:?}");
        assert_eq!(state.endpoints.keys().collect::<Vec<_>>(), ["a"]);
    }

    #[test]
    fn an_order_that_contradicts_the_state_is_rejected() {
        let mut state = MembershipState::default();
        state.apply_site_file(&site_file(&[("p", "a", 1)]));
        let validate = |order: Order| state.validate(&order, MAX_ENTRIES);
        assert_eq!(validate(add("p", "a", 1)), Ok(Change::Unchanged));
        assert!(matches!(validate(add("p", "a", 2)), Err(Rejection::NameTaken(..))));
        assert!(matches!(validate(add("p", "b", 1)), Err(Rejection::AddressTaken(..))));
        assert!(matches!(validate(add("x", "b", 2)), Err(Rejection::NoSuchPartner(_))));
        assert!(matches!(validate(drain("x")), Err(Rejection::NoSuchEndpoint(_))));
        assert_eq!(validate(Order::Resume { endpoint: "a".into() }), Ok(Change::Unchanged));
        assert_eq!(state.validate(&add("p", "b", 2), 2), Err(Rejection::TooMany(2)));
    }

    #[test]
    fn a_pause_closes_all_endpoints_of_a_partner_and_keeps_their_drains() {
        let mut state = MembershipState::default();
        state.apply_site_file(&site_file(&[("p", "a", 1), ("p", "b", 2)]));
        state.apply_order(&drain("a"));
        state.apply_order(&Order::PausePartner { partner: "p".into() });
        assert!(state.endpoints.values().all(|e| !state.accepts_calls(e)));
        state.apply_order(&Order::ResumePartner { partner: "p".into() });
        assert!(!state.accepts_calls(&state.endpoints["a"]) && state.accepts_calls(&state.endpoints["b"]));
    }

    fn any_order() -> impl Strategy<Value = Order> {
        let (name, partner) =
            (prop::sample::select(vec!["a", "b", "c"]), prop::sample::select(vec!["p", "q", "x"]));
        (0..6, name, partner, 1u16..5).prop_map(|(kind, name, partner, port)| {
            let (endpoint, partner, address) = (name.to_string(), partner.to_string(), address(port));
            match kind {
                0 => Order::Add { partner, endpoint, address },
                1 => Order::Drain { endpoint },
                2 => Order::Resume { endpoint },
                3 => Order::Remove { endpoint },
                4 => Order::PausePartner { partner },
                _ => Order::ResumePartner { partner },
            }
        })
    }

    proptest! {
        /// An accepted order changes the state, has no effect when it is repeated, and no two endpoints ever
        /// share an address.
        #[test]
        fn orders_are_idempotent(orders in prop::collection::vec(any_order(), 0..40)) {
            let mut state = MembershipState::default();
            state.apply_site_file(&site_file(&[("p", "a", 1), ("q", "b", 2)]));
            for order in orders {
                let before = state.clone();
                match state.validate(&order, MAX_ENTRIES) {
                    Ok(Change::Applied) => state.apply_order(&order),
                    Ok(Change::Unchanged) | Err(_) => continue,
                }
                prop_assert!(before != state);
                let again = state.validate(&order, MAX_ENTRIES);
                let removed = matches!(order, Order::Remove { .. }) && matches!(again, Err(Rejection::NoSuchEndpoint(_)));
                prop_assert!(removed || again == Ok(Change::Unchanged));
                let addresses: BTreeSet<_> = state.endpoints.values().map(|e| e.address).collect();
                prop_assert!(addresses.len() == state.endpoints.len());
                prop_assert!(state.endpoints.values().all(|e| state.partners.contains_key(&e.partner)));
            }
        }
    }
}
