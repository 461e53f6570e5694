//! Orders of a site's operators, and what its fronts ask.

use super::Node;
use crate::events::SiteRequest;
use foldtrack_control::{Error, OrderResult};
use foldtrack_delivery::ListKind;
use foldtrack_ends::Fetched;
use foldtrack_membership::{Change, Order, OrderError};
use std::io;
use tokio::sync::oneshot;
use tokio::time::Instant;

impl Node {
    pub(super) fn asked(&mut self, ask: SiteRequest) {
        match ask {
            // Whoever asked may have gone.
            SiteRequest::Ends { after, peek, most, reply } => drop(reply.send(self.fetch(after, peek, most))),
            SiteRequest::Message { id, reply } => drop(reply.send(self.history(&id))),
            SiteRequest::Snapshot { reply } => self.picture(reply),
            SiteRequest::Order { order, reply } => self.order(order, reply),
            SiteRequest::Network { network, for_ms, reply } => {
                self.network_among_peers(network, for_ms, reply)
            }
            SiteRequest::Peers { .. } | SiteRequest::State { .. } => self.asked_of_peers(ask),
        }
    }

    fn fetch(&mut self, after: Option<u64>, peek: bool, most: usize) -> io::Result<Fetched> {
        let now = self.clock.unix_time(self.clock.now());
        let Some(site) = &mut self.site else { return Err(io::Error::other("no ends are kept here")) };
        if let Some(cursor) = after.filter(|_| !peek) {
            site.ends.acknowledge(cursor, now)?;
        }
        site.ends.fetch(after.unwrap_or(site.ends.acknowledged()), most)
    }

    /// Carries out an order: first in the log, then in the list that the module goes by, and that within this round,
    /// so that nothing new is decided against it. The answer waits for the disk, not the loop.
    fn order(&mut self, order: Order, reply: oneshot::Sender<Result<OrderResult, Error>>) {
        let now = self.clock.unix_time(self.clock.now());
        let error = |code: &str, text: String| Error { code: code.into(), text };
        if let Order::Add { partner, address, .. } = &order {
            if self.partner_protocols.exposes_secrets(partner, *address) {
                let text = format!("{partner} is spoken to without TLS, and {address} is not on this machine: its secret would go over the wire in plain text");
                return drop(reply.send(Err(error("refused", text))));
            }
        }
        if self.peers.is_some() {
            return self.order_among_peers(order, reply);
        }
        let change = match self.membership.apply_order(now, &order) {
            Ok(change) => change,
            Err(why) => return drop(reply.send(Err(Self::trouble(&why)))),
        };
        if change == Change::Applied {
            self.list(self.membership.known(), ListKind::Full);
        }
        self.note_closed(&order);
        let done = self.done(&order, change);
        let file = self.membership.sync_handle();
        tokio::task::spawn_blocking(move || {
            let synced = file.and_then(|file| file.sync_data());
            let told = synced.map(|()| done).map_err(|e| {
                error("not_kept", format!("the order holds, but may not outlive a power cut: {e}"))
            });
            reply.send(told)
        });
    }

    pub(super) fn trouble(trouble: &OrderError) -> Error {
        let code = if matches!(trouble, OrderError::Rejected(_)) { "refused" } else { "not_kept" };
        Error { code: code.into(), text: trouble.to_string() }
    }

    pub(super) fn note_closed(&mut self, order: &Order) {
        let (Some(site), Some(state)) = (&mut self.site, self.membership.state()) else { return };
        site.closed.retain(|name, _| state.endpoints().get(name).is_some_and(|e| !state.accepts_calls(e)));
        let concerns = |name: &String, partner: &String| match order {
            Order::Drain { endpoint } => endpoint == name,
            Order::PausePartner { partner: paused } => paused == partner,
            _ => false,
        };
        for (name, endpoint) in state.endpoints() {
            if concerns(name, &endpoint.partner) && !state.accepts_calls(endpoint) {
                site.closed.entry(name.clone()).or_insert_with(Instant::now);
            }
        }
    }

    pub(super) fn done(&self, order: &Order, change: Change) -> OrderResult {
        let none = std::collections::BTreeMap::new();
        let state = self.membership.state();
        let endpoints = state.map_or(&none, |s| s.endpoints());
        let (partner, calls) = match order {
            Order::Add { partner, endpoint, .. } => (Some(partner), self.targets.calls_to(endpoint)),
            Order::Drain { endpoint } | Order::Resume { endpoint } | Order::Remove { endpoint } => {
                (endpoints.get(endpoint).map(|e| &e.partner), self.targets.calls_to(endpoint))
            }
            Order::PausePartner { partner } | Order::ResumePartner { partner } => {
                let own = endpoints.iter().filter(|(_, e)| e.partner == *partner);
                (Some(partner), own.map(|(name, _)| self.targets.calls_to(name)).sum())
            }
        };
        let number = partner.and_then(|p| state?.partners().get(p)).map(|p| p.number);
        let held = self.messages.values().filter(|h| Some(h.message.destination) == number).count() as u32;
        OrderResult {
            changed: change == Change::Applied,
            version: state.map_or(0, |s| s.version()),
            calls,
            held,
            ..OrderResult::default()
        }
    }
}
