//! Orders under way: what each still waits for before its operator is answered.

use crate::fact::{Dot, FactAction, Subject};
use std::collections::BTreeSet;
use std::fmt;

/// How long an order waits for a second copy, and for a majority's answers, in milliseconds.
pub const COPY_WITHIN: u64 = 1_000;
/// See [`COPY_WITHIN`].
pub const ANSWERS_WITHIN: u64 = 2_000;
/// Who has not answered is asked again after this span.
const ASK_EVERY: u64 = 150;

/// What an order has come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settled {
    /// The fact that states it.
    pub dot: Dot,
    /// Other members that have it on disk.
    pub copies: usize,
    /// Other members that there are.
    pub others: usize,
}

/// Why an order has no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It needs what a majority knows, and so many have answered of so many that it needs, this forwarder included.
    NoMajority {
        /// Have answered.
        answered: usize,
        /// Are needed.
        needed: usize,
    },
    /// There is no room for more orders until old ones are dropped.
    Full,
    /// A name in it is too long or empty.
    Unsound,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::NoMajority { answered, needed } => write!(
                f,
                "it needs what a majority of the forwarders knows, or it could end what was ordered elsewhere: {answered} \
                 of the {needed} that are needed have answered; `foldtrack peers` shows who is there"
            ),
            Refusal::Full => f.write_str("there is no room for more orders until old ones have been dropped"),
            Refusal::Unsound => f.write_str("a name in it is empty or too long"),
        }
    }
}

#[derive(Debug)]
struct Stated {
    order: u64,
    dot: Dot,
    /// The ticket under which it goes to the store, once it has one.
    ticket: Option<u64>,
    kept: bool,
    copies: BTreeSet<usize>,
    by: u64,
}

#[derive(Debug)]
struct Query {
    order: u64,
    nonce: u64,
    at: u64,
    subject: Subject,
    word: FactAction,
    answered: BTreeSet<usize>,
    ask_at: u64,
    by: u64,
}

/// An order whose question a majority has answered: its number, time, subject and word.
pub type Answered = (u64, u64, Subject, FactAction);

/// The orders under way.
#[derive(Debug)]
pub struct Desk {
    others: usize,
    stated: Vec<Stated>,
    queries: Vec<Query>,
    done: Vec<(u64, Result<Settled, Refusal>)>,
}

impl Desk {
    /// For a forwarder beside so many others.
    pub fn new(others: usize) -> Desk {
        Desk { others, stated: Vec::new(), queries: Vec::new(), done: Vec::new() }
    }

    /// Members that must have told what they know, this one included.
    fn needed(&self) -> usize {
        let members = self.others + 1;
        members / 2 + 1
    }

    /// An order has been stated as a fact.
    pub fn stated(&mut self, now: u64, order: u64, dot: Dot) {
        let copies = BTreeSet::new();
        self.stated.push(Stated { order, dot, ticket: None, kept: false, copies, by: now + COPY_WITHIN });
    }

    /// All that has no ticket yet goes to the store under this one.
    pub fn under(&mut self, ticket: u64) {
        for stated in &mut self.stated {
            stated.ticket = stated.ticket.or(Some(ticket));
        }
    }

    /// What went to the store under this ticket, and before, is on disk.
    pub fn kept(&mut self, ticket: u64) {
        for stated in &mut self.stated {
            stated.kept |= stated.ticket.is_some_and(|t| t <= ticket);
        }
        self.settle(0);
    }

    /// Another member has a fact on disk.
    pub fn copied(&mut self, link: usize, dot: &Dot) {
        for stated in self.stated.iter_mut().filter(|s| s.dot == *dot) {
            stated.copies.insert(link);
        }
        self.settle(0);
    }

    /// Begins to ask what is known of a subject.
    pub fn ask(&mut self, now: u64, order: u64, nonce: u64, at: u64, subject: Subject, word: FactAction) {
        let (answered, by) = (BTreeSet::new(), now + ANSWERS_WITHIN);
        self.queries.push(Query { order, nonce, at, subject, word, answered, ask_at: now, by });
    }

    /// Whom to ask now: the nonce, the subject, and those who have not answered.
    pub fn asking(&mut self, now: u64) -> Vec<(u64, Subject, Vec<usize>)> {
        let others = self.others;
        let due = self.queries.iter_mut().filter(|q| q.ask_at <= now);
        due.map(|q| {
            q.ask_at = now + ASK_EVERY;
            (q.nonce, q.subject.clone(), (0..others).filter(|l| !q.answered.contains(l)).collect())
        })
        .collect()
    }

    /// A member has answered.
    pub fn answer(&mut self, link: usize, nonce: u64) {
        for query in self.queries.iter_mut().filter(|q| q.nonce == nonce) {
            query.answered.insert(link);
        }
    }

    /// Orders that a majority has answered, to be stated now.
    pub fn answered(&mut self) -> Vec<Answered> {
        let needed = self.needed();
        let (ready, waiting): (Vec<Query>, Vec<Query>) =
            self.queries.drain(..).partition(|q| q.answered.len() + 1 >= needed);
        self.queries = waiting;
        ready.into_iter().map(|q| (q.order, q.at, q.subject, q.word)).collect()
    }

    /// An order has no effect.
    pub fn refuse(&mut self, order: u64, refusal: Refusal) {
        self.done.push((order, Err(refusal)));
    }

    /// Ends what has waited for long enough.
    pub fn expire(&mut self, now: u64) {
        let needed = self.needed();
        let (over, waiting): (Vec<Query>, Vec<Query>) = self.queries.drain(..).partition(|q| q.by <= now);
        self.queries = waiting;
        for query in over {
            let refusal = Refusal::NoMajority { answered: query.answered.len() + 1, needed };
            self.refuse(query.order, refusal);
        }
        self.settle(now);
    }

    fn settle(&mut self, now: u64) {
        let others = self.others;
        let (done, waiting): (Vec<Stated>, Vec<Stated>) = self
            .stated
            .drain(..)
            .partition(|s| s.kept && (!s.copies.is_empty() || others == 0 || s.by <= now));
        self.stated = waiting;
        let settled = |s: Stated| (s.order, Ok(Settled { dot: s.dot, copies: s.copies.len(), others }));
        self.done.extend(done.into_iter().map(settled));
    }

    /// What has been settled since it was asked last.
    pub fn settled(&mut self) -> Vec<(u64, Result<Settled, Refusal>)> {
        std::mem::take(&mut self.done)
    }

    /// When something runs out, or is to be asked again.
    pub fn due(&self) -> Option<u64> {
        let stated = self.stated.iter().filter(|s| s.kept).map(|s| s.by);
        stated.chain(self.queries.iter().map(|q| q.ask_at.min(q.by))).min()
    }
}
