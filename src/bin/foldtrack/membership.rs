//! Where the list of targets comes from: the platform's discovery, or a site's own file and orders.

use crate::events::EventSender;
use crate::list::{ServerLine, ServerList, ServerState};
use foldtrack_membership::{Change, MembershipLog, MembershipState, Order, OrderError};
use foldtrack_site::Site;
use std::fs::File;
use std::io;

/// A source of the list.
pub(crate) trait Membership {
    /// The list to begin with.
    fn known(&self) -> ServerList;

    /// Begins to tell news, where they come by themselves. Whether the start waits for the first of them.
    fn watch(&self, events: &EventSender) -> bool;

    /// Carries out an order, at a Unix time in microseconds: the list that follows is [`Membership::known`].
    fn apply_order(&mut self, at: u64, order: &Order) -> Result<Change, OrderError>;

    /// What an order would do, without doing it.
    fn validate(&self, order: &Order) -> Result<Change, OrderError>;

    /// What has been ordered so far, where there are orders.
    fn state(&self) -> Option<&MembershipState>;

    /// The file of the orders, to be synced before an order is acknowledged.
    fn sync_handle(&self) -> io::Result<File>;
}

/// The list of a site: its file, changed by orders.
#[derive(Debug)]
pub(crate) struct SiteMembership {
    log: MembershipLog,
    site: Site,
}

impl SiteMembership {
    pub fn new(log: MembershipLog, site: Site) -> Self {
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
                state: if state.accepts_calls(endpoint) { ServerState::Active } else { ServerState::Leaving },
                weight: partner.rate.unwrap_or(0.0),
                slots: partner.slots,
                hold_until: 0,
            })
        };
        let servers = state.endpoints().iter().filter_map(line).collect();
        ServerList { version: state.version(), full: true, servers }
    }

    fn watch(&self, _: &EventSender) -> bool {
        false
    }

    fn apply_order(&mut self, at: u64, order: &Order) -> Result<Change, OrderError> {
        self.log.apply_order(at, order)
    }

    fn validate(&self, order: &Order) -> Result<Change, OrderError> {
        Ok(self.log.validate(order)?)
    }

    fn state(&self) -> Option<&MembershipState> {
        Some(self.log.state())
    }

    fn sync_handle(&self) -> io::Result<File> {
        self.log.sync_handle()
    }
}
