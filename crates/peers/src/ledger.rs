//! The replicated ledger: all facts that this forwarder knows and the state derived from them.
//!
//! Facts form a grow-only set, so merging is set union and the order of arrival does not matter. A fact is
//! *live* until a fact arrives that names it as superseded. The state of a subject follows from its live
//! facts; of several that were stated concurrently, the most restrictive one applies.
//!
//! Superseded facts are dropped after a horizon. The ledger still knows that they existed: for each run it
//! keeps the sequence number up to which it has seen every fact (`complete_to`) and the highest one that it
//! has dropped (`dropped_to`). A forwarder that presents a dropped fact again has been away beyond the
//! horizon, and its copy is discarded.

use crate::fact::{Aspect, Dot, Fact, FactAction, Run, Subject, MAX_SUPERSEDED};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Number of buckets into which runs are grouped for comparing digests.
pub const BUCKETS: usize = 16;
/// Maximum number of facts in a ledger, some megabytes. Beyond it new orders are refused until old facts
/// are dropped.
pub const MAX_FACTS: usize = 16_384;
/// Runs of one forwarder that are tracked individually. For older ones only the fact that they are over is
/// stored.
const MAX_TRACKED_RUNS: usize = 32;

/// A fact as stored in the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
struct StoredFact {
    fact: Fact,
    hash: u64,
    /// When it was superseded, by the local monotonic clock; facts restored from disk count the time before
    /// the start as well.
    superseded_since: Option<i64>,
}

/// The facts of one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct RunFacts {
    complete_to: u64,
    dropped_to: u64,
    facts: BTreeMap<u64, StoredFact>,
}

/// A range of one run as a forwarder summarizes it for another: sequence numbers and the facts that exist
/// in the range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRange {
    /// The run.
    pub run: Run,
    /// First sequence number of the range. `to` is the last one up to which the sender has seen every fact;
    /// the run may have gone on.
    pub from: u64,
    /// See `from`.
    pub to: u64,
    /// The highest sequence number up to which facts were dropped.
    #[serde(rename = "floor")]
    pub dropped_to: u64,
    /// Facts in the range: sequence number, low half of the hash, and whether the fact is live.
    #[serde(rename = "there")]
    pub facts: Vec<(u64, u32, bool)>,
}

/// Result of inserting a fact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InsertResult {
    /// The fact was new.
    New,
    /// The fact was already known.
    Duplicate,
    /// The fact was known before and has been dropped; it was not inserted.
    AlreadyDropped,
    /// Another content is stored under the same identifier. The fact is not merged until its author has
    /// been asked.
    Conflict,
    /// The ledger is full.
    Full,
}

/// Result of comparing with the summary of another ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Facts that are missing here.
    pub missing: Vec<Dot>,
    /// Facts whose content differs.
    pub conflicting: Vec<Dot>,
    /// Facts that were live here but that the other forwarder has dropped as superseded; they are
    /// discarded.
    pub discarded: Vec<Fact>,
    /// Subjects of facts that were live here and turned out to be superseded.
    pub superseded_subjects: BTreeSet<Subject>,
    /// Whether the range of fully known sequence numbers has grown.
    pub advanced: bool,
}

/// The state of a subject by its live facts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubjectState {
    /// The fact that closes it, if any.
    pub closed: Option<Fact>,
    /// An order has opened it, and no concurrent order has closed it.
    pub opened: bool,
    /// Whether an order has removed or added it; `None` if only the site files mention it.
    pub presence: Option<Presence>,
    /// Live facts contradict each other: they were stated without knowledge of one another.
    pub contested: bool,
}

/// Whether an endpoint exists, by the orders given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The endpoint was removed.
    Removed,
    /// The endpoint was added.
    Added {
        /// The partner that the endpoint belongs to.
        partner: String,
        /// The address on which it listens.
        address: std::net::SocketAddr,
    },
}

/// The ledger's bookkeeping apart from the facts themselves, as written to the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watermarks {
    /// For each run: all facts are known up to this number, and facts were dropped up to that one.
    pub runs: Vec<(Run, u64, u64)>,
    /// For each forwarder: runs up to this start number are over and no longer tracked.
    pub retired: Vec<(String, u64)>,
}

/// The set of facts; see the module documentation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    runs: BTreeMap<Run, RunFacts>,
    /// Identifiers of facts by subject and aspect.
    subjects: BTreeMap<(Subject, Aspect), BTreeSet<Dot>>,
    /// Facts named as superseded by any fact that is or was known.
    superseded: BTreeSet<Dot>,
    retired: BTreeMap<String, u64>,
    lamport: u64,
    count: usize,
}

impl Ledger {
    /// The number of facts.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether the ledger has no facts.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The bookkeeping to store beside the facts.
    pub fn watermarks(&self) -> Watermarks {
        Watermarks {
            runs: self.runs.iter().map(|(run, l)| (run.clone(), l.complete_to, l.dropped_to)).collect(),
            retired: self.retired.iter().map(|(name, start)| (name.clone(), *start)).collect(),
        }
    }

    /// Restores bookkeeping from a store. Facts that are missing although it covers them are requested
    /// again from others.
    ///
    /// Call this after [`Ledger::insert`] of every stored fact. `unreadable` lists facts that were stored but
    /// could not be read.
    pub fn restore(&mut self, watermarks: Watermarks, unreadable: &[Dot]) {
        for (run, complete_to, dropped_to) in watermarks.runs {
            let first_unreadable = unreadable.iter().filter(|d| d.run == run).map(|d| d.seq).min();
            let entry = self.runs.entry(run).or_default();
            entry.complete_to =
                entry.complete_to.max(first_unreadable.map_or(complete_to, |seq| complete_to.min(seq - 1)));
            entry.dropped_to = entry.dropped_to.max(dropped_to.min(entry.complete_to));
        }
        self.retired.extend(watermarks.retired);
    }

    /// Creates the next fact of a run without inserting it. It supersedes all live facts known here.
    pub fn compose(&self, run: &Run, at: u64, subject: Subject, action: FactAction) -> Fact {
        let superseded =
            self.live(&subject, action.aspect()).map(|k| k.fact.dot.clone()).take(MAX_SUPERSEDED).collect();
        self.compose_superseding(run, at, subject, action, superseded)
    }

    /// Like [`Ledger::compose`], with the superseded facts given.
    pub fn compose_superseding(
        &self, run: &Run, at: u64, subject: Subject, action: FactAction, superseded: Vec<Dot>,
    ) -> Fact {
        let seq =
            self.runs.get(run).map_or(0, |l| l.facts.keys().last().copied().unwrap_or(0).max(l.complete_to))
                + 1;
        Fact {
            dot: Dot { run: run.clone(), seq },
            lamport: self.lamport + 1,
            at,
            subject,
            action,
            supersedes: superseded,
        }
    }

    /// Looks up a fact by its identifier.
    pub fn get(&self, dot: &Dot) -> Option<&Fact> {
        self.stored(dot).map(|k| &k.fact)
    }

    fn stored(&self, dot: &Dot) -> Option<&StoredFact> {
        self.runs.get(&dot.run)?.facts.get(&dot.seq)
    }

    /// Whether a fact is known and not superseded.
    pub fn is_live(&self, dot: &Dot) -> bool {
        !self.superseded.contains(dot) && self.stored(dot).is_some()
    }

    /// Whether any fact that is or was known names this one as superseded.
    pub fn is_superseded(&self, dot: &Dot) -> bool {
        self.superseded.contains(dot)
    }

    fn live(&self, subject: &Subject, aspect: Aspect) -> impl Iterator<Item = &StoredFact> {
        let dots = self.subjects.get(&(subject.clone(), aspect)).into_iter().flatten();
        dots.filter(|d| !self.superseded.contains(d)).filter_map(|d| self.stored(d))
    }

    /// The live facts about a subject.
    pub fn live_facts(&self, subject: &Subject) -> Vec<Fact> {
        let both = [Aspect::Flow, Aspect::Presence];
        both.iter().flat_map(|aspect| self.live(subject, *aspect)).map(|k| k.fact.clone()).collect()
    }

    /// Every subject that any fact is about.
    pub fn subjects(&self) -> BTreeSet<Subject> {
        self.subjects.keys().map(|(subject, _)| subject.clone()).collect()
    }

    /// Every fact, with the milliseconds since it was superseded.
    pub fn facts(&self, now: u64) -> impl Iterator<Item = (&Fact, Option<u64>)> {
        let stored = self.runs.values().flat_map(|l| l.facts.values());
        stored.map(move |k| (&k.fact, k.superseded_since.map(|since| (now as i64 - since).max(0) as u64)))
    }

    /// The state of a subject.
    pub fn subject_state(&self, subject: &Subject) -> SubjectState {
        let strongest = |aspect| {
            let mut all: Vec<&StoredFact> = self.live(subject, aspect).collect();
            all.sort_by_key(|k| (!k.fact.action.is_restrictive(), u64::MAX - k.fact.lamport, &k.fact.dot));
            let contested = all.iter().any(|k| k.fact.action != all[0].fact.action);
            (all.first().map(|k| &k.fact), contested)
        };
        let (flow, flow_contested) = strongest(Aspect::Flow);
        let (presence, presence_contested) = strongest(Aspect::Presence);
        SubjectState {
            closed: flow.filter(|f| f.action.is_restrictive()).cloned(),
            opened: flow.is_some_and(|f| !f.action.is_restrictive()),
            presence: presence.map(|f| match &f.action {
                FactAction::Add { partner, address } => {
                    Presence::Added { partner: partner.clone(), address: *address }
                }
                _ => Presence::Removed,
            }),
            contested: flow_contested || presence_contested,
        }
    }

    /// Whether the identifier belongs to a fact that was known and has been dropped.
    fn was_dropped(&self, dot: &Dot) -> bool {
        match self.runs.get(&dot.run) {
            Some(entry) => dot.seq <= entry.complete_to && !entry.facts.contains_key(&dot.seq),
            None => self.retired.get(&dot.run.name).is_some_and(|start| dot.run.start <= *start),
        }
    }

    /// Inserts a fact. `superseded_ms` is how long it had been superseded when a store returned it.
    pub fn insert(&mut self, fact: Fact, now: u64, superseded_ms: Option<u64>) -> InsertResult {
        let hash = fact.short_hash();
        if let Some(stored) = self.stored(&fact.dot) {
            return if stored.hash == hash { InsertResult::Duplicate } else { InsertResult::Conflict };
        }
        if self.was_dropped(&fact.dot) {
            return InsertResult::AlreadyDropped;
        }
        if self.count >= MAX_FACTS {
            return InsertResult::Full;
        }
        self.lamport = self.lamport.max(fact.lamport);
        let subject = (fact.subject.clone(), fact.action.aspect());
        self.subjects.entry(subject).or_default().insert(fact.dot.clone());
        for dot in &fact.supersedes {
            self.supersede(dot.clone(), now);
        }
        if superseded_ms.is_some() {
            // The fact that superseded it may have been dropped already.
            self.superseded.insert(fact.dot.clone());
        }
        let superseded = self.superseded.contains(&fact.dot);
        let superseded_since = superseded.then(|| now as i64 - superseded_ms.unwrap_or(0) as i64);
        let entry = self.runs.entry(fact.dot.run.clone()).or_default();
        entry.facts.insert(fact.dot.seq, StoredFact { fact, hash, superseded_since });
        self.count += 1;
        while entry.facts.contains_key(&(entry.complete_to + 1)) {
            entry.complete_to += 1;
        }
        InsertResult::New
    }

    fn supersede(&mut self, dot: Dot, now: u64) {
        if self.was_dropped(&dot) {
            return;
        }
        if let Some(stored) = self.runs.get_mut(&dot.run).and_then(|l| l.facts.get_mut(&dot.seq)) {
            stored.superseded_since.get_or_insert(now as i64);
        }
        self.superseded.insert(dot);
    }

    /// Replaces a conflicting copy with the author's, or with the copy that wins if the author is gone.
    pub fn replace(&mut self, fact: Fact, now: u64) {
        self.remove(&fact.dot);
        self.insert(fact, now, None);
    }

    /// Removes a fact as if it had never been known. Facts that it superseded stay superseded.
    fn remove(&mut self, dot: &Dot) -> Option<Fact> {
        let entry = self.runs.get_mut(&dot.run)?;
        let stored = entry.facts.remove(&dot.seq)?;
        entry.complete_to = entry.complete_to.min(dot.seq - 1);
        self.count -= 1;
        let subject = (stored.fact.subject.clone(), stored.fact.action.aspect());
        if let Some(dots) = self.subjects.get_mut(&subject) {
            dots.remove(dot);
            if dots.is_empty() {
                self.subjects.remove(&subject);
            }
        }
        Some(stored.fact)
    }

    /// Drops a fact for good and records that it existed.
    fn drop_fact(&mut self, dot: &Dot) -> Option<Fact> {
        let complete_to = self.runs.get(&dot.run)?.complete_to;
        let fact = self.remove(dot)?;
        let entry = self.runs.get_mut(&dot.run)?;
        if dot.seq <= complete_to {
            entry.complete_to = complete_to;
            entry.dropped_to = entry.dropped_to.max(dot.seq);
        }
        self.superseded.remove(dot);
        Some(fact)
    }

    /// Drops facts that were superseded longer ago than the horizon, in milliseconds, and returns their
    /// identifiers. Only facts within the fully known range are dropped: a sequence number that is still
    /// awaited must not look dropped.
    pub fn drop_expired(&mut self, now: u64, horizon_ms: u64) -> Vec<Dot> {
        let old =
            |k: &StoredFact| k.superseded_since.is_some_and(|since| now as i64 - since >= horizon_ms as i64);
        let mut dots = Vec::new();
        for entry in self.runs.values() {
            let known = entry.facts.range(..=entry.complete_to).map(|(_, k)| k);
            dots.extend(known.filter(|k| old(k)).map(|k| k.fact.dot.clone()));
        }
        for dot in &dots {
            self.drop_fact(dot);
        }
        // Remove entries for facts that never arrived; they would accumulate.
        let runs = &self.runs;
        self.superseded.retain(|d| {
            runs.get(&d.run).is_none_or(|l| d.seq > l.complete_to || l.facts.contains_key(&d.seq))
        });
        self.stop_tracking_old_runs();
        dots
    }

    /// Stops tracking the oldest runs without facts where a forwarder has had more than the maximum number
    /// of runs.
    fn stop_tracking_old_runs(&mut self) {
        let mut by_name: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in self.runs.keys() {
            by_name.entry(&run.name).or_default().push(run);
        }
        let mut ended: Vec<Run> = Vec::new();
        for runs in by_name.into_values().filter(|runs| runs.len() > MAX_TRACKED_RUNS) {
            let empty =
                runs[..runs.len() - MAX_TRACKED_RUNS].iter().take_while(|r| self.runs[**r].facts.is_empty());
            ended.extend(empty.map(|r| Run::clone(r)));
        }
        for run in ended {
            self.runs.remove(&run);
            let start = self.retired.entry(run.name).or_default();
            *start = run.start.max(*start);
        }
    }

    fn bucket(run: &Run) -> usize {
        run.name.bytes().fold(0usize, |sum, b| sum.wrapping_mul(31).wrapping_add(b as usize)) % BUCKETS
    }

    /// One hash per bucket over the live facts. Two ledgers with the same digest derive the same state for
    /// every subject.
    pub fn digest(&self) -> [u64; BUCKETS] {
        let mut hashes = [0u64; BUCKETS];
        for (run, entry) in &self.runs {
            for stored in entry.facts.values().filter(|k| k.superseded_since.is_none()) {
                hashes[Self::bucket(run)] ^= stored.hash;
            }
        }
        hashes
    }

    /// Summarizes a bucket in ranges of at most `max_facts` facts. Each range can be compared alone: a lost
    /// one is sent again with the next comparison, and the results of the others remain.
    pub fn summarize(&self, bucket: usize, max_facts: usize) -> Vec<RunRange> {
        let mut ranges = Vec::new();
        for (run, entry) in self.runs.iter().filter(|(run, _)| Self::bucket(run) == bucket) {
            let describe =
                |(seq, k): (&u64, &StoredFact)| (*seq, k.hash as u32, k.superseded_since.is_none());
            let all: Vec<(u64, u32, bool)> = entry.facts.iter().map(describe).collect();
            let mut from = 1;
            let mut chunks = all.chunks(max_facts.max(1)).peekable();
            loop {
                let facts = chunks.next().unwrap_or(&[]).to_vec();
                let last = chunks.peek().is_none();
                let end = facts.last().map_or(0, |(seq, ..)| *seq);
                let to = if last {
                    entry.complete_to.max(from - 1)
                } else {
                    end.min(entry.complete_to.max(from - 1))
                };
                ranges.push(RunRange { run: run.clone(), from, to, dropped_to: entry.dropped_to, facts });
                if last {
                    break;
                }
                from = end + 1;
            }
        }
        ranges
    }

    /// Compares with a range summarized by another forwarder.
    pub fn compare(&mut self, theirs: &RunRange, now: u64) -> Comparison {
        let mut comparison = Comparison::default();
        let RunRange { run, from, to, dropped_to, facts: listed_facts } = theirs;
        let dot = |seq: u64| Dot { run: run.clone(), seq };
        if !self.runs.contains_key(run) {
            if self.retired.get(&run.name).is_some_and(|start| run.start <= *start) {
                return comparison;
            }
            if *to == 0 && listed_facts.is_empty() {
                return comparison;
            }
            self.runs.insert(run.clone(), RunFacts::default());
        }
        let entry = &self.runs[run];
        let mut superseded = Vec::new();
        for (seq, hash, live) in listed_facts {
            match entry.facts.get(seq) {
                // The fact that superseded it may have been dropped before it could arrive here.
                Some(stored) if stored.hash as u32 == *hash => {
                    superseded.extend((!live && stored.superseded_since.is_none()).then(|| dot(*seq)));
                }
                Some(_) => comparison.conflicting.push(dot(*seq)),
                None if *seq <= entry.complete_to => {}
                None => comparison.missing.push(dot(*seq)),
            }
        }
        let listed: BTreeSet<u64> = listed_facts.iter().map(|(seq, ..)| *seq).collect();
        let dropped = *from..=(*to).min(*dropped_to);
        let unlisted = |seq: &u64| dropped.contains(seq) && !listed.contains(seq);
        let gone: Vec<Dot> = entry.facts.keys().copied().filter(unlisted).map(dot).collect();
        for dot in superseded {
            comparison.superseded_subjects.extend(self.get(&dot).map(|f| f.subject.clone()));
            self.supersede(dot, now);
        }
        for dot in gone {
            let was_live = self.is_live(&dot);
            let fact = self.drop_fact(&dot);
            comparison.discarded.extend(fact.filter(|_| was_live));
        }
        // What the other forwarder knows completely is known completely here once all facts that still
        // exist of it have arrived.
        if let Some(entry) =
            self.runs.get_mut(run).filter(|l| comparison.missing.is_empty() && l.complete_to + 1 >= *from)
        {
            if *to > entry.complete_to {
                entry.complete_to = *to;
                entry.dropped_to = entry.dropped_to.max((*dropped_to).min(*to));
                comparison.advanced = true;
            }
            while entry.facts.contains_key(&(entry.complete_to + 1)) {
                entry.complete_to += 1;
            }
        }
        comparison
    }
}
