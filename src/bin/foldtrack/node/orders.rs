//! Operators' orders, and requests of the site's HTTP API and control socket.

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
    /// Handles a request of the HTTP API or the control socket.
    pub(super) fn handle_request(&mut self, request: SiteRequest) {
        match request {
            // The requester may have disconnected.
            SiteRequest::Ends { after, peek, most, reply } => {
                drop(reply.send(self.fetch_outcomes(after, peek, most)))
            }
            SiteRequest::Message { id, reply } => drop(reply.send(self.message_history(&id))),
            SiteRequest::Snapshot { reply } => self.request_snapshot(reply),
            SiteRequest::Order { order, reply } => self.handle_order(order, reply),
            SiteRequest::Network { network, for_ms, reply } => self.publish_block(network, for_ms, reply),
            SiteRequest::Peers { .. } | SiteRequest::State { .. } => self.handle_peer_request(request),
        }
    }

    /// Reads outcomes after a cursor, and acknowledges those up to it unless the client only peeks.
    fn fetch_outcomes(&mut self, after: Option<u64>, peek: bool, most: usize) -> io::Result<Fetched> {
        let now = self.clock.unix_time(self.clock.now());
        let Some(site) = &mut self.site else {
            return Err(io::Error::other("this forwarder stores no outcomes"));
        };
        if let Some(cursor) = after.filter(|_| !peek) {
            site.outcomes.acknowledge(cursor, now)?;
        }
        site.outcomes.fetch(after.unwrap_or(site.outcomes.acknowledged()), most)
    }

    /// Carries out an order: it is written to the log, and then applied to the scheduler's list of
    /// targets in the same iteration, so that no later decision ignores it. The reply waits for the
    /// sync, which runs outside the event loop.
    fn handle_order(&mut self, order: Order, reply: oneshot::Sender<Result<OrderResult, Error>>) {
        let now = self.clock.unix_time(self.clock.now());
        let error = |code: &str, text: String| Error { code: code.into(), text };
        if let Order::Add { partner, address, .. } = &order {
            if self.partner_protocols.exposes_secrets(partner, *address) {
                let text = format!("{partner} is called without TLS, and {address} is not on this machine: its secret would be sent in plain text");
                return drop(reply.send(Err(error("refused", text))));
            }
        }
        if self.peers.is_some() {
            return self.publish_order(order, reply);
        }
        let change = match self.membership.apply_order(now, &order) {
            Ok(change) => change,
            Err(why) => return drop(reply.send(Err(Self::order_error(&why)))),
        };
        if change == Change::Applied {
            self.apply_list(self.membership.current_list(), ListKind::Full);
        }
        self.record_closed(&order);
        let done = self.order_reply(&order, change);
        let file = self.membership.sync_handle();
        tokio::task::spawn_blocking(move || {
            let synced = file.and_then(|file| file.sync_data());
            let answer = synced.map(|()| done).map_err(|e| {
                error("not_kept", format!("the order is in force, but may not survive a power failure: {e}"))
            });
            reply.send(answer)
        });
    }

    /// The control protocol's error for a failed order.
    pub(super) fn order_error(error: &OrderError) -> Error {
        let code = if matches!(error, OrderError::Rejected(_)) { "refused" } else { "not_kept" };
        Error { code: code.into(), text: error.to_string() }
    }

    /// Records when an order has closed endpoints.
    pub(super) fn record_closed(&mut self, order: &Order) {
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

    /// The reply to an order that was carried out.
    pub(super) fn order_reply(&self, order: &Order, change: Change) -> OrderResult {
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
