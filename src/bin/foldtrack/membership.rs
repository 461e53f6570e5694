//! Sources of the list of targets: the platform's discovery, or a site file and operators' orders.

use crate::events::EventSender;
use crate::list::{ServerEntry, ServerList, ServerState};
use foldtrack_membership::{Change, MembershipLog, MembershipState, Order, OrderError};
use foldtrack_site::Site;
use std::fs::File;
use std::io;

/// A source of the list of targets.
pub(crate) trait Membership {
    /// The list to start with, or the list after the latest order.
    fn current_list(&self) -> ServerList;

    /// Starts to watch for changes, if the source reports any. Returns whether startup waits for
    /// the first of them.
    fn start_updates(&self, events: &EventSender) -> bool;

    /// Carries out an order at a Unix time in microseconds. [`Membership::current_list`] then returns the
    /// changed list.
    ///
    /// # Errors
    /// The order is refused, or could not be written.
    fn apply_order(&mut self, at: u64, order: &Order) -> Result<Change, OrderError>;

    /// Validates an order without carrying it out.
    ///
    /// # Errors
    /// The order would be refused.
    fn validate(&self, order: &Order) -> Result<Change, OrderError>;

    /// The state that all orders have led to, if the source takes orders.
    fn state(&self) -> Option<&MembershipState>;

    /// The log of orders, which is synced before an order is acknowledged.
    fn sync_handle(&self) -> io::Result<File>;
}

/// The list of a site: its site file, changed by orders.
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
    fn current_list(&self) -> ServerList {
        let state = self.log.state();
        let line = |(name, endpoint): (&String, &foldtrack_membership::Endpoint)| {
            let partner = self.site.partners.iter().find(|p| p.name == endpoint.partner)?;
            Some(ServerEntry {
                started_ms: 0,
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

    fn start_updates(&self, _: &EventSender) -> bool {
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
