//! All facts that this forwarder knows, and what follows from them.
//!
//! Facts are a set that only grows, so that merging is the union and the order in which they come is nothing. A fact
//! is *alive* until one comes that names it as superseded. What holds for a subject follows from the facts that are
//! alive; of several that were stated without knowledge of one another the safer holds.
//!
//! Dead facts are dropped after a horizon. That one was there is still known: of each life the ledger has the place
//! up to which it has seen everything (`upto`) and the highest place that it has dropped (`floor`). Whoever brings
//! such a fact back has been away beyond the horizon: his copy is laid aside.

use crate::fact::{Aspect, Dot, Fact, FactAction, Run, Subject, MOST_OVER};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Groups of lives by which digests are compared.
pub const BUCKETS: usize = 16;
/// Facts that a ledger holds at most: some megabytes. Beyond that new orders are refused until old ones are dropped.
pub const MOST_FACTS: usize = 16_384;
/// Lives of one forwarder that are remembered one by one; of older ones only that they are over.
const MOST_RUNS: usize = 32;

/// A fact as it is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Kept {
    fact: Fact,
    sum: u64,
    /// Since when it has been dead here, on the local monotonic clock, less the age that it had at the start.
    dead_since: Option<i64>,
}

/// One life's facts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Line {
    upto: u64,
    floor: u64,
    facts: BTreeMap<u64, Kept>,
}

/// A life as one forwarder tells another of it: a stretch of places, and what there is in it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stretch {
    /// Whose.
    pub run: Run,
    /// The first place that is told of, and the last one that is known in full; the life may have gone on.
    pub from: u64,
    /// See `from`.
    pub to: u64,
    /// The highest place up to which facts were dropped.
    pub floor: u64,
    /// Places where there is a fact, with the low half of its sum and whether it is alive.
    pub there: Vec<(u64, u32, bool)>,
}

/// What came of a fact that was taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is new.
    New,
    /// It was known.
    Known,
    /// It was known once, and has been dropped: not taken.
    Dropped,
    /// Another content stands under its name: neither is merged until its author has been asked.
    Damaged,
    /// There is no room.
    Full,
}

/// What a comparison with another ledger has shown.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Compared {
    /// Facts that are lacking here.
    pub lacking: Vec<Dot>,
    /// Facts whose content differs.
    pub damaged: Vec<Dot>,
    /// Facts that are laid aside: the other has dropped them as dead, and they were alive here.
    pub aside: Vec<Fact>,
    /// Subjects of facts that were alive here, and have been found to be superseded.
    pub died: BTreeSet<Subject>,
    /// What is known in full has grown.
    pub advanced: bool,
}

/// Whether anything goes to a subject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubjectState {
    /// It is closed by this fact.
    pub closed: Option<Fact>,
    /// An order has opened it, and none that did not know of that has closed it.
    pub opened: bool,
    /// An order has said that it is gone, or where it is; none if only site files tell of it.
    pub presence: Option<Presence>,
    /// Facts that contradict each other are alive: they were stated without knowledge of one another.
    pub contested: bool,
}

/// Whether an endpoint exists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It has been removed.
    Removed,
    /// It has been added.
    Added {
        /// Whose it is.
        partner: String,
        /// Where it listens.
        address: std::net::SocketAddr,
    },
}

/// Everything that a ledger knows, as a store keeps it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extent {
    /// By life: known in full up to, dropped up to.
    pub runs: Vec<(Run, u64, u64)>,
    /// By forwarder: lives up to this start number are over and forgotten.
    pub retired: Vec<(String, u64)>,
}

/// The facts. See the module's page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    runs: BTreeMap<Run, Line>,
    /// Facts by what they are about.
    subjects: BTreeMap<(Subject, Aspect), BTreeSet<Dot>>,
    /// Named as superseded by some fact that is or was known.
    superseded: BTreeSet<Dot>,
    retired: BTreeMap<String, u64>,
    lamport: u64,
    count: usize,
}

impl Ledger {
    /// Facts that it holds.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// What it knows, beside the facts.
    pub fn extent(&self) -> Extent {
        Extent {
            runs: self.runs.iter().map(|(run, l)| (run.clone(), l.upto, l.floor)).collect(),
            retired: self.retired.iter().map(|(name, start)| (name.clone(), *start)).collect(),
        }
    }

    /// Takes an extent up that a store has kept. Places whose facts did not come back with it are wanted again.
    ///
    /// Call it after [`Ledger::take`] of every fact that was kept. `lost` are names of facts that were kept and could
    /// not be read.
    pub fn restore(&mut self, extent: Extent, lost: &[Dot]) {
        for (run, upto, floor) in extent.runs {
            let least = lost.iter().filter(|d| d.run == run).map(|d| d.seq).min();
            let line = self.runs.entry(run).or_default();
            line.upto = line.upto.max(least.map_or(upto, |seq| upto.min(seq - 1)));
            line.floor = line.floor.max(floor.min(line.upto));
        }
        self.retired.extend(extent.retired);
    }

    /// The next fact of a life, not taken in yet. It supersedes what is known to hold.
    pub fn compose(&self, run: &Run, at: u64, subject: Subject, word: FactAction) -> Fact {
        let over = self.alive(&subject, word.aspect()).map(|k| k.fact.dot.clone()).take(MOST_OVER).collect();
        self.compose_over(run, at, subject, word, over)
    }

    /// The same, with what it supersedes named.
    pub fn compose_over(
        &self, run: &Run, at: u64, subject: Subject, word: FactAction, over: Vec<Dot>,
    ) -> Fact {
        let seq =
            self.runs.get(run).map_or(0, |l| l.facts.keys().last().copied().unwrap_or(0).max(l.upto)) + 1;
        Fact {
            dot: Dot { run: run.clone(), seq },
            lamport: self.lamport + 1,
            at,
            subject,
            action: word,
            supersedes: over,
        }
    }

    /// A fact by its name.
    pub fn get(&self, dot: &Dot) -> Option<&Fact> {
        self.kept(dot).map(|k| &k.fact)
    }

    fn kept(&self, dot: &Dot) -> Option<&Kept> {
        self.runs.get(&dot.run)?.facts.get(&dot.seq)
    }

    /// Whether a fact holds its subject: nobody has superseded it.
    pub fn is_alive(&self, dot: &Dot) -> bool {
        !self.superseded.contains(dot) && self.kept(dot).is_some()
    }

    /// Whether some fact that is or was known names it as superseded.
    pub fn is_superseded(&self, dot: &Dot) -> bool {
        self.superseded.contains(dot)
    }

    fn alive(&self, subject: &Subject, aspect: Aspect) -> impl Iterator<Item = &Kept> {
        let dots = self.subjects.get(&(subject.clone(), aspect)).into_iter().flatten();
        dots.filter(|d| !self.superseded.contains(d)).filter_map(|d| self.kept(d))
    }

    /// The facts about a subject that hold.
    pub fn live_facts(&self, subject: &Subject) -> Vec<Fact> {
        let both = [Aspect::Flow, Aspect::Presence];
        both.iter().flat_map(|aspect| self.alive(subject, *aspect)).map(|k| k.fact.clone()).collect()
    }

    /// Every subject that something is known of.
    pub fn subjects(&self) -> BTreeSet<Subject> {
        self.subjects.keys().map(|(subject, _)| subject.clone()).collect()
    }

    /// Every fact, with the time for which it has been dead.
    pub fn facts(&self, now: u64) -> impl Iterator<Item = (&Fact, Option<u64>)> {
        let kept = self.runs.values().flat_map(|l| l.facts.values());
        kept.map(move |k| (&k.fact, k.dead_since.map(|since| (now as i64 - since).max(0) as u64)))
    }

    /// What holds for a subject.
    pub fn subject_state(&self, subject: &Subject) -> SubjectState {
        let strongest = |aspect| {
            let mut all: Vec<&Kept> = self.alive(subject, aspect).collect();
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

    /// Whether a name is of a fact that was known and has been dropped.
    fn has_dropped(&self, dot: &Dot) -> bool {
        match self.runs.get(&dot.run) {
            Some(line) => dot.seq <= line.upto && !line.facts.contains_key(&dot.seq),
            None => self.retired.get(&dot.run.name).is_some_and(|start| dot.run.start <= *start),
        }
    }

    /// Takes a fact in; `dead_ms` is for how long it was dead already, for one that a store gives back.
    pub fn take(&mut self, fact: Fact, now: u64, dead_ms: Option<u64>) -> Taken {
        let sum = fact.sum();
        if let Some(kept) = self.kept(&fact.dot) {
            return if kept.sum == sum { Taken::Known } else { Taken::Damaged };
        }
        if self.has_dropped(&fact.dot) {
            return Taken::Dropped;
        }
        if self.count >= MOST_FACTS {
            return Taken::Full;
        }
        self.lamport = self.lamport.max(fact.lamport);
        let subject = (fact.subject.clone(), fact.action.aspect());
        self.subjects.entry(subject).or_default().insert(fact.dot.clone());
        for dot in &fact.supersedes {
            self.supersede(dot.clone(), now);
        }
        if dead_ms.is_some() {
            // What has superseded it may have been dropped before.
            self.superseded.insert(fact.dot.clone());
        }
        let dead = self.superseded.contains(&fact.dot);
        let dead_since = dead.then(|| now as i64 - dead_ms.unwrap_or(0) as i64);
        let line = self.runs.entry(fact.dot.run.clone()).or_default();
        line.facts.insert(fact.dot.seq, Kept { fact, sum, dead_since });
        self.count += 1;
        while line.facts.contains_key(&(line.upto + 1)) {
            line.upto += 1;
        }
        Taken::New
    }

    fn supersede(&mut self, dot: Dot, now: u64) {
        if self.has_dropped(&dot) {
            return;
        }
        if let Some(kept) = self.runs.get_mut(&dot.run).and_then(|l| l.facts.get_mut(&dot.seq)) {
            kept.dead_since.get_or_insert(now as i64);
        }
        self.superseded.insert(dot);
    }

    /// Puts the author's own word in the place of a copy that was damaged, or the one that counts where he is gone.
    pub fn replace(&mut self, fact: Fact, now: u64) {
        self.forget(&fact.dot);
        self.take(fact, now, None);
    }

    /// Takes a fact out again without a trace that it was there. What it superseded stays so.
    fn forget(&mut self, dot: &Dot) -> Option<Fact> {
        let line = self.runs.get_mut(&dot.run)?;
        let kept = line.facts.remove(&dot.seq)?;
        line.upto = line.upto.min(dot.seq - 1);
        self.count -= 1;
        let subject = (kept.fact.subject.clone(), kept.fact.action.aspect());
        if let Some(dots) = self.subjects.get_mut(&subject) {
            dots.remove(dot);
            if dots.is_empty() {
                self.subjects.remove(&subject);
            }
        }
        Some(kept.fact)
    }

    /// Drops a fact for good, so that it is known to have been there.
    fn drop_fact(&mut self, dot: &Dot) -> Option<Fact> {
        let upto = self.runs.get(&dot.run)?.upto;
        let fact = self.forget(dot)?;
        let line = self.runs.get_mut(&dot.run)?;
        if dot.seq <= upto {
            line.upto = upto;
            line.floor = line.floor.max(dot.seq);
        }
        self.superseded.remove(dot);
        Some(fact)
    }

    /// Drops what has been dead for longer than the horizon, in milliseconds; gives the names. Only what is known in
    /// full before it goes: a place that is still awaited must not look dropped.
    pub fn drop_dead(&mut self, now: u64, horizon: u64) -> Vec<Dot> {
        let old = |k: &Kept| k.dead_since.is_some_and(|since| now as i64 - since >= horizon as i64);
        let mut dots = Vec::new();
        for line in self.runs.values() {
            let known = line.facts.range(..=line.upto).map(|(_, k)| k);
            dots.extend(known.filter(|k| old(k)).map(|k| k.fact.dot.clone()));
        }
        for dot in &dots {
            self.drop_fact(dot);
        }
        // Marks of what never came would pile up.
        let runs = &self.runs;
        self.superseded
            .retain(|d| runs.get(&d.run).is_none_or(|l| d.seq > l.upto || l.facts.contains_key(&d.seq)));
        self.retire();
        dots
    }

    /// Forgets lives that have nothing alive any more, the oldest first, where a forwarder has had many.
    fn retire(&mut self) {
        let mut by_name: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
        for run in self.runs.keys() {
            by_name.entry(&run.name).or_default().push(run);
        }
        let mut over: Vec<Run> = Vec::new();
        for runs in by_name.into_values().filter(|runs| runs.len() > MOST_RUNS) {
            let empty = runs[..runs.len() - MOST_RUNS].iter().take_while(|r| self.runs[**r].facts.is_empty());
            over.extend(empty.map(|r| Run::clone(r)));
        }
        for run in over {
            self.runs.remove(&run);
            let start = self.retired.entry(run.name).or_default();
            *start = run.start.max(*start);
        }
    }

    fn bucket(run: &Run) -> usize {
        run.name.bytes().fold(0usize, |sum, b| sum.wrapping_mul(31).wrapping_add(b as usize)) % BUCKETS
    }

    /// One sum for each bucket, of the facts that are alive. Two ledgers with the same sums come to the same verdicts.
    pub fn digest(&self) -> [u64; BUCKETS] {
        let mut sums = [0u64; BUCKETS];
        for (run, line) in &self.runs {
            for kept in line.facts.values().filter(|k| k.dead_since.is_none()) {
                sums[Self::bucket(run)] ^= kept.sum;
            }
        }
        sums
    }

    /// What it has in a bucket, in pieces of so many places at most. Each piece stands for itself: one that is lost
    /// is told again with the next comparison, and what came of the others stays.
    pub fn summary(&self, bucket: usize, piece: usize) -> Vec<Stretch> {
        let mut stretches = Vec::new();
        for (run, line) in self.runs.iter().filter(|(run, _)| Self::bucket(run) == bucket) {
            let told = |(seq, k): (&u64, &Kept)| (*seq, k.sum as u32, k.dead_since.is_none());
            let all: Vec<(u64, u32, bool)> = line.facts.iter().map(told).collect();
            let mut from = 1;
            let mut chunks = all.chunks(piece.max(1)).peekable();
            loop {
                let there = chunks.next().unwrap_or(&[]).to_vec();
                let last = chunks.peek().is_none();
                let end = there.last().map_or(0, |(seq, ..)| *seq);
                let to = if last { line.upto.max(from - 1) } else { end.min(line.upto.max(from - 1)) };
                stretches.push(Stretch { run: run.clone(), from, to, floor: line.floor, there });
                if last {
                    break;
                }
                from = end + 1;
            }
        }
        stretches
    }

    /// Compares with what another has told of a life.
    pub fn compare(&mut self, told: &Stretch, now: u64) -> Compared {
        let mut seen = Compared::default();
        let Stretch { run, from, to, floor, there } = told;
        let dot = |seq: u64| Dot { run: run.clone(), seq };
        if !self.runs.contains_key(run) {
            if self.retired.get(&run.name).is_some_and(|start| run.start <= *start) {
                return seen;
            }
            if *to == 0 && there.is_empty() {
                return seen;
            }
            self.runs.insert(run.clone(), Line::default());
        }
        let line = &self.runs[run];
        let mut died = Vec::new();
        for (seq, sum, alive) in there {
            match line.facts.get(seq) {
                // What has superseded it may have been dropped before it could come here.
                Some(kept) if kept.sum as u32 == *sum => {
                    died.extend((!alive && kept.dead_since.is_none()).then(|| dot(*seq)));
                }
                Some(_) => seen.damaged.push(dot(*seq)),
                None if *seq <= line.upto => {}
                None => seen.lacking.push(dot(*seq)),
            }
        }
        let listed: BTreeSet<u64> = there.iter().map(|(seq, ..)| *seq).collect();
        let dropped = *from..=(*to).min(*floor);
        let unlisted = |seq: &u64| dropped.contains(seq) && !listed.contains(seq);
        let gone: Vec<Dot> = line.facts.keys().copied().filter(unlisted).map(dot).collect();
        for dot in died {
            seen.died.extend(self.get(&dot).map(|f| f.subject.clone()));
            self.supersede(dot, now);
        }
        for dot in gone {
            let alive = self.is_alive(&dot);
            let fact = self.drop_fact(&dot);
            seen.aside.extend(fact.filter(|_| alive));
        }
        // What the other has in full is known in full here, once all that there is of it has come.
        if let Some(line) = self.runs.get_mut(run).filter(|l| seen.lacking.is_empty() && l.upto + 1 >= *from)
        {
            if *to > line.upto {
                line.upto = *to;
                line.floor = line.floor.max((*floor).min(*to));
                seen.advanced = true;
            }
            while line.facts.contains_key(&(line.upto + 1)) {
                line.upto += 1;
            }
        }
        seen
    }
}
