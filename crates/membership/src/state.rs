//! The state that statements make. No I/O.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Whether an endpoint may be called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// It may.
    Active,
    /// It finishes what it has, and gets nothing new.
    Draining,
}

/// An endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The partner it belongs to.
    pub partner: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it may be called.
    pub state: EndpointState,
}

/// A partner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partner {
    /// Its number as a destination, which follows from its name alone: the journal of messages names it, and must
    /// mean the same partner whatever becomes of this log.
    pub number: u32,
    /// Nothing new goes to any of its endpoints.
    pub paused: bool,
}

/// An order. Each says how things are to be, so that giving it twice is giving it once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// A new endpoint of a partner.
    Add {
        /// The partner.
        partner: String,
        /// The new endpoint's name.
        endpoint: String,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Nothing new goes to an endpoint.
    Drain {
        /// Its name.
        endpoint: String,
    },
    /// A drained endpoint may be called again.
    Resume {
        /// Its name.
        endpoint: String,
    },
    /// An endpoint is no more.
    Remove {
        /// Its name.
        endpoint: String,
    },
    /// Nothing new goes to a partner; what is held for it waits.
    PausePartner {
        /// Its name.
        partner: String,
    },
    /// A paused partner is called again.
    ResumePartner {
        /// Its name.
        partner: String,
    },
}

/// A line of the site file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The partner it belongs to.
    pub partner: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What the site file says.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteFile {
    /// Numbers of the partners, by name.
    pub partners: BTreeMap<String, u32>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<String, ListedEndpoint>,
}

/// What an order has done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Things are now as it says.
    Applied,
    /// They were so already.
    Unchanged,
}

/// Why an order is refused. Nothing has changed then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No partner of that name; with the nearest thing to a hint, the names that there are.
    NoSuchPartner(String),
    /// No endpoint of that name.
    NoSuchEndpoint(String),
    /// The name is another endpoint's: it is of this partner at this address.
    NameTaken(String, String, SocketAddr),
    /// The address is another endpoint's.
    AddressTaken(SocketAddr, String),
    /// There is no room for so many.
    TooMany(usize),
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::NoSuchPartner(name) => write!(f, "there is no partner {name:?}"),
            Rejection::NoSuchEndpoint(name) => write!(f, "there is no endpoint {name:?}"),
            Rejection::NameTaken(name, partner, address) => {
                write!(f, "{name:?} is an endpoint of {partner:?} at {address} already; remove it first")
            }
            Rejection::AddressTaken(address, name) => {
                write!(f, "{address} is the address of {name:?} already")
            }
            Rejection::TooMany(most) => {
                write!(f, "there are {most} partners and endpoints, as many as a site can have")
            }
        }
    }
}

/// Partners and endpoints as all statements so far have made them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipState {
    version: u64,
    partners: BTreeMap<String, Partner>,
    endpoints: BTreeMap<String, Endpoint>,
    /// What the site file said last: only where it says something else now has it spoken anew.
    site: SiteFile,
}

impl MembershipState {
    /// Statements so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Partners by name.
    pub fn partners(&self) -> &BTreeMap<String, Partner> {
        &self.partners
    }

    /// Endpoints by name.
    pub fn endpoints(&self) -> &BTreeMap<String, Endpoint> {
        &self.endpoints
    }

    /// What the site file said last.
    pub fn site(&self) -> &SiteFile {
        &self.site
    }

    /// Whether an endpoint may be called, its partner's pause included.
    pub fn accepts_calls(&self, endpoint: &Endpoint) -> bool {
        let paused = self.partners.get(&endpoint.partner).is_none_or(|p| p.paused);
        endpoint.state == EndpointState::Active && !paused
    }

    /// What an order would do, without doing it.
    ///
    /// # Errors
    /// It contradicts what there is.
    pub fn validate(&self, order: &Order, most: usize) -> Result<Change, Rejection> {
        let endpoint =
            |name: &String| self.endpoints.get(name).ok_or_else(|| Rejection::NoSuchEndpoint(name.clone()));
        let partner =
            |name: &String| self.partners.get(name).ok_or_else(|| Rejection::NoSuchPartner(name.clone()));
        let already = match order {
            Order::Add { partner: of, endpoint: name, address } => {
                partner(of)?;
                if let Some(other) = self.endpoints.get(name) {
                    if (&other.partner, other.address) != (of, *address) {
                        let (of, at) = (other.partner.clone(), other.address);
                        return Err(Rejection::NameTaken(name.clone(), of, at));
                    }
                    return Ok(Change::Unchanged);
                }
                if let Some((other, _)) = self.endpoints.iter().find(|(_, e)| e.address == *address) {
                    return Err(Rejection::AddressTaken(*address, other.clone()));
                }
                let count = self.endpoints.len() + self.partners.len();
                if count >= most {
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

    /// Carries out an order that [`MembershipState::validate`] lets pass; any other changes nothing.
    pub fn apply_order(&mut self, order: &Order) {
        self.version += 1;
        match order {
            Order::Add { partner, endpoint, address } => {
                let listed = ListedEndpoint { partner: partner.clone(), address: *address };
                self.put(endpoint, &listed);
            }
            Order::Drain { endpoint } => self.set(endpoint, EndpointState::Draining),
            Order::Resume { endpoint } => self.set(endpoint, EndpointState::Active),
            Order::Remove { endpoint } => drop(self.endpoints.remove(endpoint)),
            Order::PausePartner { partner } => self.pause(partner, true),
            Order::ResumePartner { partner } => self.pause(partner, false),
        }
    }

    fn set(&mut self, endpoint: &str, state: EndpointState) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.state = state;
        }
    }

    fn pause(&mut self, partner: &str, paused: bool) {
        if let Some(partner) = self.partners.get_mut(partner) {
            partner.paused = paused;
        }
    }

    fn put(&mut self, name: &str, listed: &ListedEndpoint) {
        let ListedEndpoint { partner, address } = listed.clone();
        let state = EndpointState::Active;
        self.endpoints.insert(name.to_string(), Endpoint { partner, address, state });
    }

    /// Takes in what the site file says. Lines that it said before change nothing; one that is new or altered puts
    /// its endpoint, and one that it has dropped takes the endpoint away. So does an address that a line claims from
    /// an endpoint that an order has added. What has come of it is told line by line, for the operator.
    pub fn apply_site_file(&mut self, site: &SiteFile) -> Vec<String> {
        let mut told = Vec::new();
        self.version += 1;
        for (name, number) in &site.partners {
            let number = *number;
            self.partners.entry(name.clone()).or_insert(Partner { number, paused: false }).number = number;
        }
        let before = std::mem::replace(&mut self.site, site.clone());
        let gone: Vec<String> =
            self.partners.keys().filter(|name| !site.partners.contains_key(*name)).cloned().collect();
        for name in gone {
            self.partners.remove(&name);
            self.endpoints.retain(|endpoint, e| {
                let keep = e.partner != name;
                if !keep {
                    told.push(format!(
                        "{endpoint} goes with its partner {name}, which the site file lacks now"
                    ));
                }
                keep
            });
        }
        for name in before.endpoints.keys().filter(|name| !site.endpoints.contains_key(*name)) {
            if self.endpoints.remove(name).is_some() {
                told.push(format!("{name} is removed: the site file lacks it now"));
            }
        }
        for (name, listed) in &site.endpoints {
            if before.endpoints.get(name) == Some(listed) {
                let now = self.endpoints.get(name);
                if now.is_none_or(|e| e.address != listed.address || e.partner != listed.partner) {
                    let problem = "an order came later than the site file's line and stands";
                    told.push(format!("{name} is not as the site file has it: {problem}"));
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
                told.push(format!(
                    "{other} gives its address {} up to {name} of the site file",
                    listed.address
                ));
            }
            if self.endpoints.contains_key(name) {
                told.push(format!("{name} is at {} now, as the site file has it", listed.address));
            }
            self.put(name, listed);
        }
        told
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeSet;

    const MOST: usize = 20;

    fn at(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    fn list(lines: &[(&str, &str, u16)]) -> SiteFile {
        let endpoint = |l: &(&str, &str, u16)| {
            (l.1.to_string(), ListedEndpoint { partner: l.0.into(), address: at(l.2) })
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
        Order::Add { partner: partner.into(), endpoint: name.into(), address: at(port) }
    }

    #[test]
    fn orders_outlive_a_file_that_says_nothing_new_and_yield_to_one_that_does() {
        let mut state = MembershipState::default();
        let file = list(&[("p", "a", 1), ("p", "b", 2), ("q", "c", 3)]);
        assert!(state.apply_site_file(&file).is_empty());
        state.apply_order(&drain("a"));
        state.apply_order(&Order::Remove { endpoint: "b".into() });
        state.apply_order(&add("q", "d", 4));
        let told = state.apply_site_file(&file);
        assert!(told.len() == 1 && told[0].starts_with("b is not"), "{told:?}");
        assert_eq!(state.endpoints["a"].state, EndpointState::Draining);
        assert!(!state.endpoints.contains_key("b") && state.endpoints.contains_key("d"));
        // The file's line of a changes: that is a later statement than the drain.
        state.apply_site_file(&list(&[("p", "a", 9), ("p", "b", 2), ("q", "c", 3)]));
        let a = &state.endpoints["a"];
        assert!(a.state == EndpointState::Active && a.address == at(9));
        // It drops c, and with q all that is q's, also what an order has added.
        let told = state.apply_site_file(&list(&[("p", "a", 9), ("p", "b", 2)]));
        assert!(told.iter().any(|t| t.starts_with("d goes")), "{told:?}");
        assert_eq!(state.endpoints.keys().collect::<Vec<_>>(), ["a"]);
    }

    #[test]
    fn what_an_order_contradicts_it_is_refused_for() {
        let mut state = MembershipState::default();
        state.apply_site_file(&list(&[("p", "a", 1)]));
        let validate = |order: Order| state.validate(&order, MOST);
        assert_eq!(validate(add("p", "a", 1)), Ok(Change::Unchanged));
        assert!(matches!(validate(add("p", "a", 2)), Err(Rejection::NameTaken(..))));
        assert!(matches!(validate(add("p", "b", 1)), Err(Rejection::AddressTaken(..))));
        assert!(matches!(validate(add("x", "b", 2)), Err(Rejection::NoSuchPartner(_))));
        assert!(matches!(validate(drain("x")), Err(Rejection::NoSuchEndpoint(_))));
        assert_eq!(validate(Order::Resume { endpoint: "a".into() }), Ok(Change::Unchanged));
        assert_eq!(state.validate(&add("p", "b", 2), 2), Err(Rejection::TooMany(2)));
    }

    #[test]
    fn a_pause_closes_every_endpoint_of_its_partner_and_leaves_their_drains() {
        let mut state = MembershipState::default();
        state.apply_site_file(&list(&[("p", "a", 1), ("p", "b", 2)]));
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
            let (endpoint, partner, address) = (name.to_string(), partner.to_string(), at(port));
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
        /// Whatever is ordered: an order that passes has its effect, given again it has none, and no two endpoints
        /// share an address.
        #[test]
        fn an_order_given_twice_is_given_once(orders in prop::collection::vec(any_order(), 0..40)) {
            let mut state = MembershipState::default();
            state.apply_site_file(&list(&[("p", "a", 1), ("q", "b", 2)]));
            for order in orders {
                let before = state.clone();
                match state.validate(&order, MOST) {
                    Ok(Change::Applied) => state.apply_order(&order),
                    Ok(Change::Unchanged) | Err(_) => continue,
                }
                prop_assert!(before != state);
                let again = state.validate(&order, MOST);
                let removed = matches!(order, Order::Remove { .. }) && matches!(again, Err(Rejection::NoSuchEndpoint(_)));
                prop_assert!(removed || again == Ok(Change::Unchanged));
                let addresses: BTreeSet<_> = state.endpoints.values().map(|e| e.address).collect();
                prop_assert!(addresses.len() == state.endpoints.len());
                prop_assert!(state.endpoints.values().all(|e| state.partners.contains_key(&e.partner)));
            }
        }
    }
}
