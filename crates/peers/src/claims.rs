//! Which forwarder holds or ended which message, so that one that is handed in again elsewhere under its id is not sent a
//! second time while the first may be alive.
//!
//! A message that must not be repeated at will is claimed before it is taken on: a majority of the members must have no other
//! holder for its id. Two majorities share a member, and each member lets the first claim stand: of two forwarders one is
//! granted at most. What a member has granted outlives its process (the owner keeps the records before answers leave);
//! a member that has lost what it granted says that it is not sure, and does not count before it has it again ([`regain`]).
//!
//! Only as many are asked at first as a majority needs, drawn by the id: everyone who would be asked for it next meets one of
//! them. All are asked where one of those does not answer soon.
//!
//! An id is claimed for a holder: a name and the *memory* that it has of its messages. Whoever comes back on an empty folder,
//! or on an old copy of it, has another memory, and is another holder.

use crate::regain::{Item, Piece, Place, Regain};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;

/// An id, as it is told: the first 16 bytes of its SHA-256.
pub type Key = u128;

/// The key of an id.
pub fn message_key(id: &str) -> Key {
    let hash = Sha256::digest(id.as_bytes());
    u128::from_le_bytes(std::array::from_fn(|n| hash[n]))
}

/// How long a claim is asked for, from its beginning and again from when it is taken over, in milliseconds. Clients wait
/// 400 ms for an answer.
pub const WITHIN: u64 = 250;
/// Who has not answered is asked again after this span.
const AGAIN: u64 = 40;
/// A claim whose client was told to come again goes on for so long: what was answered meanwhile counts when he does.
const KEPT_ON: u64 = 4_000;
/// And who has not answered it is asked again after this span.
const AGAIN_KEPT_ON: u64 = 300;
/// Ids are remembered for so long, in milliseconds; and so many at most, the oldest going first.
pub const RETENTION_MS: u64 = 600_000;
/// See [`RETENTION_MS`].
pub const MOST: usize = 100_000;
/// A partner's memory of a key counts as shorter by this.
const MARGIN: u64 = 1_000;
/// A claim lives for so long at most, whatever is answered to it: a member that has lost what it granted knows by then which of
/// them have come to something.
pub const LIFE: u64 = 10_000;
/// Ends wait for so long for others, to be told together.
const GATHER: u64 = 20;
/// After a claim that the first few did not answer in time all are asked at once for so long.
const TROUBLED: u64 = 1_000;
/// What a client is told to wait where it is not known yet who holds its message, or nobody can say.
const SOON: u64 = 300;
const LATER: u64 = 1_000;
/// An end is told again to whoever has not acknowledged it, so often and each time twice as late.
const TELLINGS: u32 = 8;
/// Said of a claim that came to nothing.
const FREE: ClaimOutcome = ClaimOutcome::HandedBack(0);
/// Items in one message on the wire.
pub const ITEMS: usize = 24;

/// Who holds a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Its name.
    pub name: String,
    /// Which memory of its messages it has.
    pub memory: u64,
}

/// What a holder tells of a message of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// It was delivered.
    Delivered,
    /// It ended otherwise, and must not be handed in again.
    #[serde(rename = "Over")]
    Final,
    /// It was handed back, and may be handed in anywhere again for so long; 0 without bound.
    #[serde(rename = "Back")]
    HandedBack(u64),
}

/// A claim on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Of which id.
    pub key: Key,
    /// Grows with each claim of its holder: what is late does not count against what came after it.
    pub turn: u64,
    /// From this holder, who can't be reached, and whose message may be repeated.
    pub over: Option<Holder>,
}

/// What a member answers to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// No other holder is known here, and none will be let in before this one. It was handed back, and may run only for so
    /// long; 0 without bound.
    Yours(u64),
    /// Another holds it, since so many milliseconds.
    Held(Holder, u64),
    /// It has ended: true if it must not be handed in again.
    Ended(bool),
    /// This member has lost what it granted before.
    Unsure,
}

/// What a holder answers when it is asked for a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// It holds it.
    Held,
    /// It claims it, and has not taken it on yet: nobody knows what comes of that.
    Claiming,
    /// It has ended so.
    Ended(ClaimOutcome),
    /// It has refused it, or never had it.
    Unknown,
}

/// What a repeat of a message does, and so what its claim needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It must never take effect twice. Its deadline, in milliseconds: no longer is it out anywhere.
    Once(u64),
    /// Partners drop repeats for so long, in milliseconds.
    Keyed(u64),
}

/// What has come of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// It may be taken on here, and go out for so long; 0 without bound.
    Granted(u64),
    /// Another has taken it on, and has it.
    Held,
    /// It was delivered.
    Delivered,
    /// It has ended otherwise, or nobody will ever know.
    Final,
    /// Come again after so many milliseconds.
    RetryAfter(u64),
}

/// What a member has granted, as it is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kept {
    /// A claim.
    Claimed(Key, Holder, u64),
    /// An end that its holder has told.
    Ended(Key, ClaimOutcome),
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    holder: Holder,
    turn: u64,
    since: u64,
    end: Option<(ClaimOutcome, u64)>,
    /// Of this forwarder's own: it has been taken on.
    firm: bool,
    /// Of this forwarder's own: who was asked for it, and is to hear of its end. None where that is not known any more.
    asked: Option<Box<[usize]>>,
}

impl Entry {
    /// What is answered where it must not, or need not, be handed in any more.
    fn over(&self) -> Option<Answer> {
        match self.end {
            Some((ClaimOutcome::Delivered, _)) => Some(Answer::Ended(false)),
            Some((ClaimOutcome::Final, _)) => Some(Answer::Ended(true)),
            Some((ClaimOutcome::HandedBack(_), _)) | None => None,
        }
    }
}

#[derive(Debug)]
struct Asked {
    effect: Effect,
    turn: u64,
    /// When it was begun.
    began: u64,
    /// Who has been asked so far.
    of: BTreeSet<usize>,
    yours: BTreeSet<usize>,
    answered: BTreeSet<usize>,
    /// The least span that was answered for it to run.
    left: u64,
    held: Option<(Holder, u64)>,
    over: Option<Holder>,
    again: u64,
    by: u64,
    /// Its client was told to come again.
    kept_on: bool,
}

#[derive(Debug)]
struct Telling {
    word: ClaimOutcome,
    turn: u64,
    missing: BTreeSet<usize>,
    next: u64,
    tries: u32,
}

/// Ids as one member knows them.
#[derive(Debug)]
pub struct Claims {
    own: Holder,
    /// The turn of the last claim.
    turn: u64,
    others: usize,
    known: HashMap<Key, Entry>,
    ages: BTreeSet<(u64, Key)>,
    /// From when on what was granted is known in full, or is forgotten everywhere.
    sure_from: u64,
    /// What was granted is being asked for, since it is not known.
    regain: Option<Regain>,
    /// What this forwarder itself held is all known, by a journal that outlives machines.
    whole: bool,
    /// Whether what was granted has come to be known, or not to be; for the log.
    turned_sure: Option<bool>,
    /// All members are asked at once until then.
    troubled: u64,
    /// Nothing is to be asked, or told, before these.
    asking_at: u64,
    telling_at: u64,
    asked: BTreeMap<Key, Asked>,
    tellings: BTreeMap<Key, Telling>,
    done: Vec<(Key, ClaimResult)>,
    records: Vec<Kept>,
}

impl Claims {
    /// A member beside so many others. Where it may have lost what it granted (`sure` is false) it does not count until what it
    /// lost is forgotten everywhere.
    pub fn new(now: u64, own: Holder, start: u64, others: usize, sure: bool, kept: Vec<Kept>) -> Claims {
        let mut claims = Claims {
            own,
            turn: start << 32,
            others,
            known: HashMap::new(),
            ages: BTreeSet::new(),
            sure_from: if sure { now } else { now + RETENTION_MS },
            regain: (!sure).then(|| Regain::new(now, others)),
            whole: false,
            turned_sure: None,
            troubled: 0,
            asking_at: u64::MAX,
            telling_at: u64::MAX,
            asked: BTreeMap::new(),
            tellings: BTreeMap::new(),
            done: Vec::new(),
            records: Vec::new(),
        };
        for kept in kept {
            match kept {
                Kept::Claimed(key, holder, turn) => claims.put(now, key, holder, turn),
                Kept::Ended(key, word) => claims.end(now, key, word),
            }
        }
        claims.records.clear();
        claims
    }

    /// This forwarder has lost what it held: it is another holder from now on, and not sure.
    pub fn forget_own(&mut self, now: u64, memory: u64, start: u64) {
        (self.own.memory, self.turn) = (memory, start << 32);
        self.sure_from = now + RETENTION_MS;
        self.regain = Some(Regain::new(now, self.others));
        (self.whole, self.turned_sure) = (false, Some(false));
    }

    /// Nobody has ever heard of an earlier life of this forwarder: it has granted nothing that it could have lost.
    pub fn is_new(&mut self, now: u64) {
        self.be_sure(now);
    }

    fn be_sure(&mut self, now: u64) {
        if self.regain.take().is_some() {
            self.sure_from = self.sure_from.min(now);
            self.turned_sure = Some(true);
        }
    }

    /// Whether what was granted has come to be known, or not to be, since this was asked last.
    pub fn turned_sure(&mut self) -> Option<bool> {
        self.turned_sure.take()
    }

    /// Ids that are remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn put(&mut self, now: u64, key: Key, holder: Holder, turn: u64) {
        if let Some(old) = self.known.get(&key) {
            self.ages.remove(&(old.since, key));
        }
        self.records.push(Kept::Claimed(key, holder.clone(), turn));
        self.known.insert(key, Entry { holder, turn, since: now, end: None, firm: false, asked: None });
        self.ages.insert((now, key));
        while self.ages.len() > MOST {
            let Some((_, oldest)) = self.ages.pop_first() else { break };
            self.known.remove(&oldest);
        }
    }

    fn end(&mut self, now: u64, key: Key, word: ClaimOutcome) {
        let Some(entry) = self.known.get_mut(&key) else { return };
        if entry.end.map(|(word, _)| word) != Some(word) {
            entry.end = Some((word, now));
            self.records.push(Kept::Ended(key, word));
        }
    }

    /// So many of all members, this one counted, are a majority.
    pub fn majority(&self) -> usize {
        let members = self.others + 1;
        members / 2 + 1
    }

    /// Whether all that was granted is known.
    pub fn is_sure(&self, now: u64) -> bool {
        now >= self.sure_from
    }

    /// What a member says that may have lost what it granted: what it knows of others, and nothing that counts.
    fn unsure(&self, now: u64, from: &Holder, key: Key) -> Answer {
        let Some(entry) = self.known.get(&key) else { return Answer::Unsure };
        let held = entry.end.is_none() && entry.holder != *from;
        let held = held.then(|| Answer::Held(entry.holder.clone(), now.saturating_sub(entry.since)));
        entry.over().or(held).unwrap_or(Answer::Unsure)
    }

    /// Another member's claim.
    pub fn answer(&mut self, now: u64, from: &Holder, claim: &Claim) -> Answer {
        if !self.is_sure(now) {
            return self.unsure(now, from, claim.key);
        }
        let Some(entry) = self.known.get(&claim.key) else {
            self.put(now, claim.key, from.clone(), claim.turn);
            return Answer::Yours(0);
        };
        let again = entry.holder == *from;
        if again && (claim.turn < entry.turn || claim.turn == entry.turn && entry.end.is_some()) {
            // Late: it has been given back since.
            return Answer::Unsure;
        }
        if let Some(answer) = entry.over() {
            return answer;
        }
        if let Some((ClaimOutcome::HandedBack(span), at)) = entry.end {
            let left = if span == 0 { 0 } else { span.saturating_sub(now - at) };
            if span > 0 && left == 0 {
                return Answer::Ended(true);
            }
            self.put(now, claim.key, from.clone(), claim.turn);
            return Answer::Yours(left);
        }
        if again {
            if claim.turn > entry.turn {
                let since = entry.since;
                self.put(since, claim.key, from.clone(), claim.turn);
            }
            return Answer::Yours(0);
        }
        if claim.over.as_ref() == Some(&entry.holder) {
            // The partner remembers it since the first holder: how long ago that was stays.
            let since = entry.since;
            self.put(since, claim.key, from.clone(), claim.turn);
            return Answer::Yours(0);
        }
        Answer::Held(entry.holder.clone(), now.saturating_sub(entry.since))
    }

    /// Begins to claim an id for this forwarder. [`Claims::done`] tells what has come of it.
    pub fn claim(&mut self, now: u64, key: Key, effect: Effect) {
        let majority = self.majority();
        if let Some(asked) = self.asked.get_mut(&key) {
            (asked.kept_on, asked.by) = (false, now + WITHIN);
            if asked.yours.len() >= majority {
                self.grant(now, key);
            }
            return;
        }
        self.turn += 1;
        let turn = self.turn;
        let asked = Asked {
            effect,
            turn,
            began: now,
            of: BTreeSet::new(),
            yours: BTreeSet::new(),
            answered: BTreeSet::new(),
            left: 0,
            held: None,
            over: None,
            again: now,
            by: now + WITHIN,
            kept_on: false,
        };
        self.asked.insert(key, asked);
        self.asking_at = now;
        let own = self.own.clone();
        let answer = self.answer(now, &own, &Claim { key, turn, over: None });
        // One's own vote stands in a place that no other has.
        self.answered(now, self.others, key, turn, answer);
    }

    /// A member has answered a claim.
    pub fn answered(&mut self, now: u64, from: usize, key: Key, turn: u64, answer: Answer) {
        let majority = self.majority();
        // A process that was stopped meanwhile finds what was answered to claims whose life is over.
        let alive = |a: &&mut Asked| a.turn == turn && now < a.began + LIFE;
        let Some(asked) = self.asked.get_mut(&key).filter(alive) else { return };
        asked.answered.insert(from);
        match answer {
            Answer::Yours(left) => {
                if left > 0 {
                    asked.left = if asked.left == 0 { left } else { asked.left.min(left) };
                }
                asked.yours.insert(from);
                if asked.yours.len() >= majority && !asked.kept_on {
                    self.grant(now, key);
                }
            }
            Answer::Ended(over) => {
                if over {
                    self.give_up(now, key, ClaimResult::Final, ClaimOutcome::Final);
                } else {
                    self.give_up(now, key, ClaimResult::Delivered, ClaimOutcome::Delivered);
                }
            }
            Answer::Held(holder, age) => {
                if asked.over.is_none() && asked.held.as_ref().is_none_or(|(_, known)| *known < age) {
                    asked.held = Some((holder, age));
                }
            }
            // Another one is to be asked in its place.
            Answer::Unsure => {
                asked.again = asked.again.min(now);
                self.asking_at = self.asking_at.min(now);
            }
        }
    }

    /// Who else is found to hold an id that is claimed here, and is to be asked for it.
    pub fn held_by(&self, key: Key) -> Option<&Holder> {
        let asked = self.asked.get(&key).filter(|a| a.over.is_none())?;
        asked.held.as_ref().map(|(holder, _)| holder)
    }

    /// A holder has answered for a message.
    pub fn status(&mut self, now: u64, from: &Holder, key: Key, status: Status) {
        let Some(asked) = self.asked.get(&key) else { return };
        if asked.held.as_ref().is_none_or(|(holder, _)| holder != from) {
            return;
        }
        match status {
            Status::Held => self.give_up(now, key, ClaimResult::Held, FREE),
            Status::Ended(word @ ClaimOutcome::Delivered) => {
                self.give_up(now, key, ClaimResult::Delivered, word)
            }
            Status::Ended(word @ ClaimOutcome::Final) => self.give_up(now, key, ClaimResult::Final, word),
            // It tells all who believe that it has it.
            Status::Ended(ClaimOutcome::HandedBack(_)) | Status::Unknown | Status::Claiming => {
                self.give_up(now, key, ClaimResult::RetryAfter(SOON), FREE);
            }
        }
    }

    /// The holder of a claimed message can't be reached, or it has another memory now: what is left to do is by the class.
    pub fn out_of_reach(&mut self, now: u64, key: Key) {
        let Some(asked) = self.asked.get_mut(&key) else { return };
        let Some((holder, age)) = asked.held.clone() else { return };
        match asked.effect {
            Effect::Once(deadline) if age < deadline => {
                self.give_up(now, key, ClaimResult::RetryAfter(LATER), FREE);
            }
            Effect::Once(_) => self.give_up(now, key, ClaimResult::Final, FREE),
            Effect::Keyed(window) => {
                let left = window.saturating_sub(age + MARGIN);
                if left == 0 {
                    return self.give_up(now, key, ClaimResult::Final, FREE);
                }
                asked.left = left;
                asked.over = Some(holder);
                asked.yours.clear();
                asked.answered.clear();
                (asked.again, asked.by) = (now, now + WITHIN);
                self.asking_at = now;
                let (own, over, turn) = (self.own.clone(), asked.over.clone(), asked.turn);
                let answer = self.answer(now, &own, &Claim { key, turn, over });
                self.answered(now, self.others, key, turn, answer);
            }
        }
    }

    fn finish(&mut self, key: Key, verdict: ClaimResult) {
        self.asked.remove(&key);
        self.done.push((key, verdict));
    }

    /// It is this forwarder's.
    fn grant(&mut self, now: u64, key: Key) {
        let Some(asked) = self.asked.get(&key) else { return };
        let (turn, left) = (asked.turn, asked.left);
        let of = asked.of.iter().copied().collect();
        if self.known.get(&key).is_none_or(|e| e.holder != self.own) {
            // Its own vote did not count.
            self.put(now, key, self.own.clone(), turn);
        }
        if let Some(entry) = self.known.get_mut(&key) {
            entry.asked = Some(of);
        }
        self.finish(key, ClaimResult::Granted(left));
    }

    /// A claim that comes to nothing: others may have let it in, and are told what is known, or that it is free.
    fn give_up(&mut self, now: u64, key: Key, verdict: ClaimResult, word: ClaimOutcome) {
        if self.known.get(&key).is_some_and(|e| e.holder == self.own && e.end.is_none()) {
            self.end(now, key, word);
        }
        if let Some(asked) = self.asked.get(&key) {
            let (turn, of) = (asked.turn, asked.of.clone());
            self.begin_telling(now, key, turn, word, of);
        }
        self.finish(key, verdict);
    }

    fn begin_telling(&mut self, at: u64, key: Key, turn: u64, word: ClaimOutcome, missing: BTreeSet<usize>) {
        if missing.is_empty() {
            return;
        }
        self.telling_at = self.telling_at.min(at);
        self.tellings.insert(key, Telling { word, turn, missing, next: at, tries: 0 });
    }

    /// A message that another asks for is not here: whoever believes that it is hears so.
    pub fn deny(&mut self, now: u64, key: Key) {
        if !self.tellings.contains_key(&key) {
            self.begin_telling(now, key, self.turn, FREE, (0..self.others).collect());
        }
    }

    /// A message of this forwarder has been taken on: whoever asks hears that it holds it.
    pub fn taken(&mut self, key: Key) {
        if let Some(entry) = self.known.get_mut(&key).filter(|e| e.holder == self.own) {
            entry.firm = true;
        }
    }

    /// After a start: what this forwarder has by its journal, and how its messages ended. What others, or the log, hold to be its
    /// own and is neither was never taken on. `whole` if the journal outlives machines.
    pub fn recheck(&mut self, now: u64, held: &[Key], ended: &[(Key, ClaimOutcome)], whole: bool) {
        let mut open: BTreeSet<Key> = self
            .known
            .iter()
            .filter(|(_, e)| e.holder == self.own && e.end.is_none())
            .map(|(k, _)| *k)
            .collect();
        for key in held {
            open.remove(key);
            self.own_again(now, *key);
            self.taken(*key);
        }
        for (key, word) in ended {
            self.own_again(now, *key);
            if open.remove(key) {
                self.tell(now, *key, *word);
            } else if self.known.get(key).is_some_and(|e| e.holder == self.own) {
                self.end(now, *key, *word);
            }
        }
        for key in open {
            self.tell(now, key, FREE);
        }
        self.whole = whole;
    }

    /// One of its own that its log has lost.
    fn own_again(&mut self, now: u64, key: Key) {
        if !self.is_sure(now) && !self.known.contains_key(&key) {
            self.turn += 1;
            self.put(now, key, self.own.clone(), self.turn);
        }
    }

    /// A message of this forwarder has ended, or was not taken on after all.
    pub fn tell(&mut self, now: u64, key: Key, word: ClaimOutcome) {
        let Some(entry) = self.known.get(&key).filter(|e| e.holder == self.own) else { return };
        let turn = entry.turn;
        let missing = match &entry.asked {
            Some(asked) => asked.iter().copied().collect(),
            None => (0..self.others).collect(),
        };
        self.end(now, key, word);
        self.begin_telling(now + GATHER, key, turn, word, missing);
    }

    /// Another tells how a message of its own has ended.
    pub fn told(&mut self, now: u64, from: &Holder, key: Key, turn: u64, word: ClaimOutcome) {
        // It may overtake the claim that it is about, which must not be let in after it.
        if !self.known.contains_key(&key) {
            self.put(now, key, from.clone(), turn);
        }
        if let Some(entry) = self.known.get_mut(&key).filter(|e| e.holder == *from && e.turn <= turn) {
            entry.turn = turn;
            self.end(now, key, word);
        }
    }

    /// Another has taken an end in.
    pub fn acknowledged(&mut self, from: usize, key: Key) {
        if let Some(telling) = self.tellings.get_mut(&key) {
            telling.missing.remove(&from);
            if telling.missing.is_empty() {
                self.tellings.remove(&key);
            }
        }
    }

    /// What this forwarder has of a message that it is asked for.
    pub fn own_status(&self, key: Key) -> Status {
        match self.known.get(&key).filter(|e| e.holder == self.own) {
            Some(Entry { end: Some((word, _)), .. }) => Status::Ended(*word),
            Some(Entry { firm: true, .. }) => Status::Held,
            Some(_) => Status::Claiming,
            None => Status::Unknown,
        }
    }

    /// Who holds, or held, a message, and how it ended; as far as it is known here.
    pub fn known(&self, key: Key) -> Option<(&Holder, Option<ClaimOutcome>)> {
        self.known.get(&key).map(|e| (&e.holder, e.end.map(|(word, _)| word)))
    }

    /// What is to be asked of whom now, by member. Those that are `there` come first.
    pub fn asking(&mut self, now: u64, there: impl Fn(usize) -> bool) -> BTreeMap<usize, Vec<Claim>> {
        let mut by_member: BTreeMap<usize, Vec<Claim>> = BTreeMap::new();
        if now < self.asking_at {
            return by_member;
        }
        let (majority, others) = (self.majority(), self.others);
        for (key, asked) in self.asked.iter_mut().filter(|(_, a)| a.again <= now) {
            asked.again = now + if asked.kept_on { AGAIN_KEPT_ON } else { AGAIN };
            let turn = |n: usize| (n + (*key % others.max(1) as u128) as usize) % others;
            let first = asked.of.is_empty();
            let mut chosen: Vec<usize> =
                (0..others).map(turn).filter(|m| !asked.answered.contains(m)).collect();
            if first && now >= self.troubled {
                let needed = majority.saturating_sub(asked.yours.len());
                let near: Vec<usize> = chosen.iter().copied().filter(|m| there(*m)).take(needed).collect();
                if near.len() == needed {
                    chosen = near;
                }
            } else if !first && !asked.kept_on && asked.of.iter().any(|m| !asked.answered.contains(m)) {
                self.troubled = now + TROUBLED;
            }
            for member in chosen {
                asked.of.insert(member);
                let (turn, over) = (asked.turn, asked.over.clone());
                by_member.entry(member).or_default().push(Claim { key: *key, turn, over });
            }
        }
        self.asking_at = self.asked.values().map(|a| a.again).min().unwrap_or(u64::MAX);
        by_member
    }

    /// What is to be told to whom now, by member.
    pub fn telling(&mut self, now: u64) -> BTreeMap<usize, Vec<(Key, u64, ClaimOutcome)>> {
        let mut by_member: BTreeMap<usize, Vec<(Key, u64, ClaimOutcome)>> = BTreeMap::new();
        if now < self.telling_at {
            return by_member;
        }
        self.tellings.retain(|_, t| t.tries < TELLINGS);
        for (key, telling) in self.tellings.iter_mut().filter(|(_, t)| t.next <= now) {
            telling.next = now + ((2 * AGAIN) << telling.tries);
            telling.tries += 1;
            for member in &telling.missing {
                by_member.entry(*member).or_default().push((*key, telling.turn, telling.word));
            }
        }
        self.telling_at = self.tellings.values().map(|t| t.next).min().unwrap_or(u64::MAX);
        by_member
    }

    // ---- what was granted, and is lost ----

    /// A piece of what is known here, for a member that has lost what it granted.
    pub fn piece(&self, now: u64, after: Option<Place>) -> Piece {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut piece =
            Piece { after, items: Vec::new(), next: None, sure: self.is_sure(now), whole: self.whole };
        let (mut room, mut last) = (Piece::ROOM, None);
        for place in self.ages.range((from, Bound::Unbounded)) {
            let Some(entry) = self.known.get(&place.1) else { continue };
            let age = |at: u64| now.saturating_sub(at);
            let item = Item {
                key: place.1,
                holder: entry.holder.clone(),
                turn: entry.turn,
                age: age(entry.since),
                end: entry.end.map(|(word, at)| (word, age(at))),
            };
            let size = item.size();
            if size > room {
                piece.next = last;
                break;
            }
            room -= size;
            piece.items.push(item);
            last = Some(*place);
        }
        piece
    }

    /// Whom to ask for the next piece of what it knows, and after which place.
    pub fn recalls(&mut self, now: u64) -> Vec<(usize, Option<Place>)> {
        self.regain.as_mut().map(|r| r.asking(now)).unwrap_or_default()
    }

    /// A member has told a piece of what it knows. True if another is to be asked for at once.
    pub fn recalled(&mut self, now: u64, from: usize, piece: Piece) -> bool {
        let majority = self.majority();
        let Some(regain) = &mut self.regain else { return false };
        if !regain.takes(now, from, &piece) {
            return false;
        }
        let more = piece.next.is_some();
        let enough = regain.is_enough(majority, self.whole);
        for item in piece.items {
            self.learn(now, item);
        }
        if enough {
            self.be_sure(now);
        }
        more
    }

    /// A member is another process than before: its places are others.
    pub fn restarted(&mut self, from: usize) {
        if let Some(regain) = &mut self.regain {
            regain.restart(from);
        }
    }

    fn learn(&mut self, now: u64, item: Item) {
        let Item { key, holder, turn, age, end } = item;
        let end = end.map(|(word, age)| (word, now.saturating_sub(age)));
        let over = |end: Option<(ClaimOutcome, u64)>| {
            matches!(end, Some((ClaimOutcome::Delivered | ClaimOutcome::Final, _)))
        };
        let fresh = match self.known.get(&key) {
            None => true,
            Some(known) if known.holder == self.own => false,
            Some(known) if known.holder == holder => {
                known.turn < turn || known.turn == turn && known.end.is_none()
            }
            // Of two holders the one that may still have it counts; what is over stays so.
            Some(known) => {
                over(end) && !over(known.end)
                    || end.is_none() && matches!(known.end, Some((ClaimOutcome::HandedBack(_), _)))
            }
        };
        if !fresh {
            return;
        }
        self.put(now.saturating_sub(age), key, holder, turn);
        if let (Some(end), Some(entry)) = (end, self.known.get_mut(&key)) {
            entry.end = Some(end);
            self.records.push(Kept::Ended(key, end.0));
        }
    }

    /// Ends what has been asked for long enough, and forgets what is old.
    pub fn expire(&mut self, now: u64) {
        if self.is_sure(now) {
            self.be_sure(now);
        }
        let due: Vec<Key> = self.asked.iter().filter(|(_, a)| a.by <= now).map(|(key, _)| *key).collect();
        for key in due {
            let Some(asked) = self.asked.get(&key) else { continue };
            if asked.kept_on || now >= asked.began + LIFE {
                // Its client has not come again; or it is too old for its votes to count.
                self.give_up(now, key, ClaimResult::RetryAfter(LATER), FREE);
                continue;
            }
            match (&asked.held, &asked.over, asked.effect) {
                // Its holder has not answered in this time: it can't be reached.
                (Some(_), None, _) => self.out_of_reach(now, key),
                // Too few are there to say whether another has it. What its partner drops if it is a repeat may go; the other
                // may not.
                (_, _, Effect::Keyed(window)) => {
                    let left = if asked.left == 0 { window.saturating_sub(MARGIN) } else { asked.left };
                    if let Some(asked) = self.asked.get_mut(&key) {
                        asked.left = left;
                    }
                    self.grant(now, key);
                }
                (_, _, Effect::Once(_)) => {
                    if let Some(asked) = self.asked.get_mut(&key) {
                        (asked.kept_on, asked.by) = (true, (now + KEPT_ON).min(asked.began + LIFE));
                    }
                    self.done.push((key, ClaimResult::RetryAfter(LATER)));
                }
            }
        }
        while let Some((since, key)) =
            self.ages.first().copied().filter(|(since, _)| since + RETENTION_MS <= now)
        {
            self.ages.remove(&(since, key));
            self.known.remove(&key);
        }
    }

    /// When something is due.
    pub fn due(&self) -> Option<u64> {
        let asked = self.asked.values().map(|a| a.again.min(a.by));
        let regain = self.regain.as_ref().and_then(Regain::due).map(|due| due.min(self.sure_from));
        let told = Some(self.telling_at).filter(|_| !self.tellings.is_empty());
        asked.chain(told).chain(regain).min()
    }

    /// Claims that are settled.
    pub fn done(&mut self) -> Vec<(Key, ClaimResult)> {
        std::mem::take(&mut self.done)
    }

    /// What is to be kept before answers leave.
    pub fn records(&mut self) -> Vec<Kept> {
        std::mem::take(&mut self.records)
    }

    /// Everything that stands, for a log that is written anew.
    pub fn standing(&self) -> Vec<Kept> {
        let mut kept = Vec::with_capacity(2 * self.known.len());
        for (_, key) in &self.ages {
            let Some(entry) = self.known.get(key) else { continue };
            kept.push(Kept::Claimed(*key, entry.holder.clone(), entry.turn));
            kept.extend(entry.end.map(|(word, _)| Kept::Ended(*key, word)));
        }
        kept
    }
}
