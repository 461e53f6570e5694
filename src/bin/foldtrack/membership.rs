//! Where the list of targets comes from: the platform's discovery, or a site's own file and orders.

use crate::door::Inputs;
use crate::list::{ServerLine, ServerList, ServerState};
use foldtrack_membership::{Change, Log, Order, State, Trouble};
use foldtrack_site::Site;
use std::fs::File;
use std::io;

/// A source of the list.
pub(crate) trait Membership {
    /// The list to begin with.
    fn known(&self) -> ServerList;

    /// Begins to tell news, where they come by themselves. Whether the start waits for the first of them.
    fn watch(&self, inputs: &Inputs) -> bool;

    /// Carries out an order, at a Unix time in microseconds: the list that follows is [`Membership::known`].
    fn order(&mut self, at: u64, order: &Order) -> Result<Change, Trouble>;

    /// What an order would do, without doing it.
    fn judge(&self, order: &Order) -> Result<Change, Trouble>;

    /// What has been ordered so far, where there are orders.
    fn state(&self) -> Option<&State>;

    /// The file of the orders, to be synced before an order is acknowledged.
    fn file(&self) -> io::Result<File>;
}

/// The list of a site: its file, changed by orders.
#[derive(Debug)]
pub(crate) struct SiteMembership {
    log: Log,
    site: Site,
}

impl SiteMembership {
    pub fn new(log: Log, site: Site) -> Self {
        SiteMembership { log, site }
    }
}

impl Membership for SiteMembership {
    fn known(&self) -> ServerList {
        let state = self.log.state();
        let line = |(name, endpoint): (&String, &foldtrack_membership::Endpoint)| {
            let partner = self.site.partners.iter().find(|p| p.name == endpoint.partner)?;
            Some(ServerLine {
                id: name.clone(),
                addr: endpoint.address,
                zone: String::new(),
                kind: self.site.kinds[partner.kind].name.clone(),
                cell: partner.number(),
                state: if state.is_open(endpoint) { ServerState::Active } else { ServerState::Leaving },
                weight: partner.rate.unwrap_or(0.0),
                slots: partner.slots,
                hold_until: 0,
            })
        };
        let servers = state.endpoints().iter().filter_map(line).collect();
        ServerList { version: state.version(), full: true, servers }
    }

    fn watch(&self, _: &Inputs) -> bool {
        false
    }

    fn order(&mut self, at: u64, order: &Order) -> Result<Change, Trouble> {
        self.log.order(at, order)
    }

    fn judge(&self, order: &Order) -> Result<Change, Trouble> {
        Ok(self.log.judge(order)?)
    }

    fn state(&self) -> Option<&State> {
        Some(self.log.state())
    }

    fn file(&self) -> io::Result<File> {
        self.log.file()
    }
}
