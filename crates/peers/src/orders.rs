//! Orders in progress, and what each of them waits for before its operator gets an answer.

use crate::fact::{Dot, FactAction, Subject};
use std::collections::BTreeSet;
use std::fmt;

/// How long an order waits for a copy on another member, in milliseconds.
pub const COPY_TIMEOUT_MS: u64 = 1_000;
/// How long an order waits for answers from a majority, in milliseconds.
pub const QUORUM_TIMEOUT_MS: u64 = 2_000;
/// Interval at which members that have not answered are asked again, in milliseconds.
const QUERY_INTERVAL_MS: u64 = 150;

/// Result of an order that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settled {
    /// The fact that states the order.
    pub dot: Dot,
    /// Number of other members that have persisted it.
    pub copies: usize,
    /// Number of other members.
    pub others: usize,
}

/// Why an order has no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It requires answers from a majority of the members, and too few answered.
    NoMajority {
        /// Members that answered, including this one.
        answered: usize,
        /// Members that were required, including this one.
        needed: usize,
    },
    /// The ledger is full; orders are accepted again once old facts have been dropped.
    Full,
    /// A name in it is too long or empty.
    Invalid,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::NoMajority { answered, needed } => write!(
                f,
                "it requires a majority of the forwarders, or it could undo an order given elsewhere: {answered} \
                 of the {needed} that are required have answered; `foldtrack peers` shows which are reachable"
            ),
            Refusal::Full => f.write_str("the ledger is full; orders are accepted again once old ones were dropped"),
            Refusal::Invalid => f.write_str("a name in it is empty or too long"),
        }
    }
}

#[derive(Debug)]
struct PublishedOrder {
    order: u64,
    dot: Dot,
    /// The ticket under which it was handed to the store, once it has one.
    ticket: Option<u64>,
    persisted: bool,
    copies: BTreeSet<usize>,
    deadline: u64,
}

#[derive(Debug)]
struct Query {
    order: u64,
    nonce: u64,
    at: u64,
    subject: Subject,
    action: FactAction,
    answered: BTreeSet<usize>,
    send_at: u64,
    deadline: u64,
}

/// An order with answers from a majority: its number, time, subject and action.
pub type AnsweredOrder = (u64, u64, Subject, FactAction);

/// The orders in progress.
#[derive(Debug)]
pub struct PendingOrders {
    others: usize,
    published: Vec<PublishedOrder>,
    queries: Vec<Query>,
    done: Vec<(u64, Result<Settled, Refusal>)>,
}

impl PendingOrders {
    /// Creates an empty set for a forwarder with this many other members.
    pub fn new(others: usize) -> PendingOrders {
        PendingOrders { others, published: Vec::new(), queries: Vec::new(), done: Vec::new() }
    }

    /// Number of members that must answer, including this one.
    fn needed(&self) -> usize {
        let members = self.others + 1;
        members / 2 + 1
    }

    /// Adds an order that has been published as a fact.
    pub fn publish(&mut self, now: u64, order: u64, dot: Dot) {
        let copies = BTreeSet::new();
        self.published.push(PublishedOrder {
            order,
            dot,
            ticket: None,
            persisted: false,
            copies,
            deadline: now + COPY_TIMEOUT_MS,
        });
    }

    /// Assigns this ticket to all published orders without one.
    pub fn assign_ticket(&mut self, ticket: u64) {
        for published in &mut self.published {
            published.ticket = published.ticket.or(Some(ticket));
        }
    }

    /// Records up to this ticket have been persisted.
    pub fn persisted(&mut self, ticket: u64) {
        for published in &mut self.published {
            published.persisted |= published.ticket.is_some_and(|t| t <= ticket);
        }
        self.settle(0);
    }

    /// Another member has persisted a fact.
    pub fn add_copy(&mut self, link: usize, dot: &Dot) {
        for published in self.published.iter_mut().filter(|s| s.dot == *dot) {
            published.copies.insert(link);
        }
        self.settle(0);
    }

    /// Starts a query to the other members about a subject.
    pub fn query(&mut self, now: u64, order: u64, nonce: u64, at: u64, subject: Subject, action: FactAction) {
        let (answered, deadline) = (BTreeSet::new(), now + QUORUM_TIMEOUT_MS);
        self.queries.push(Query { order, nonce, at, subject, action, answered, send_at: now, deadline });
    }

    /// Queries due now: nonce, subject, and the members that have not answered.
    pub fn due_queries(&mut self, now: u64) -> Vec<(u64, Subject, Vec<usize>)> {
        let others = self.others;
        let due = self.queries.iter_mut().filter(|q| q.send_at <= now);
        due.map(|q| {
            q.send_at = now + QUERY_INTERVAL_MS;
            (q.nonce, q.subject.clone(), (0..others).filter(|l| !q.answered.contains(l)).collect())
        })
        .collect()
    }

    /// Records a member's answer.
    pub fn record_answer(&mut self, link: usize, nonce: u64) {
        for query in self.queries.iter_mut().filter(|q| q.nonce == nonce) {
            query.answered.insert(link);
        }
    }

    /// Removes and returns the orders that a majority has answered, to be published now.
    pub fn take_answered(&mut self) -> Vec<AnsweredOrder> {
        let needed = self.needed();
        let (ready, waiting): (Vec<Query>, Vec<Query>) =
            self.queries.drain(..).partition(|q| q.answered.len() + 1 >= needed);
        self.queries = waiting;
        ready.into_iter().map(|q| (q.order, q.at, q.subject, q.action)).collect()
    }

    /// Settles an order as refused.
    pub fn refuse(&mut self, order: u64, refusal: Refusal) {
        self.done.push((order, Err(refusal)));
    }

    /// Settles queries and published orders whose deadline has passed.
    pub fn expire(&mut self, now: u64) {
        let needed = self.needed();
        let (expired, waiting): (Vec<Query>, Vec<Query>) =
            self.queries.drain(..).partition(|q| q.deadline <= now);
        self.queries = waiting;
        for query in expired {
            let refusal = Refusal::NoMajority { answered: query.answered.len() + 1, needed };
            self.refuse(query.order, refusal);
        }
        self.settle(now);
    }

    fn settle(&mut self, now: u64) {
        let others = self.others;
        let (done, waiting): (Vec<PublishedOrder>, Vec<PublishedOrder>) = self
            .published
            .drain(..)
            .partition(|s| s.persisted && (!s.copies.is_empty() || others == 0 || s.deadline <= now));
        self.published = waiting;
        let result =
            |s: PublishedOrder| (s.order, Ok(Settled { dot: s.dot, copies: s.copies.len(), others }));
        self.done.extend(done.into_iter().map(result));
    }

    /// Removes and returns the results since the last call.
    pub fn take_settled(&mut self) -> Vec<(u64, Result<Settled, Refusal>)> {
        std::mem::take(&mut self.done)
    }

    /// When the next timeout or resend is due.
    pub fn due(&self) -> Option<u64> {
        let published = self.published.iter().filter(|s| s.persisted).map(|s| s.deadline);
        published.chain(self.queries.iter().map(|q| q.send_at.min(q.deadline))).min()
    }
}
