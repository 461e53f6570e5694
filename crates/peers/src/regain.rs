//! What a member granted and has lost, asked for again.
//!
//! A claim that came to something was let in by a majority. Of `n` members a majority *of all* that does not count the one
//! that has lost what it granted shares one with each such majority, so that their word together has everything that it
//! granted. What was still being claimed when it was lost is settled or given up within [`claims::LIFE`]: it is asked for
//! only after that.
//!
//! Where all have lost it at once (the power went), nobody's word counts. Then each holder's own journal has to have
//! outlived it, and *all* others must tell.

use crate::claims::{self, ClaimOutcome, Holder, Key};
use serde::{Deserialize, Serialize};

/// After its beginning nothing is asked for so long: a claim's life, and what clocks differ by in it.
const FIRST: u64 = claims::LIFE + 1_000;
/// Who has not answered is asked again after this span.
const AGAIN: u64 = 200;
/// Who has told all, and it does not count, is asked anew after this span: it may have regained its own by then.
const ANEW: u64 = 2_000;

/// Where an item stands with the member that tells it: since when by its clock, and its key.
pub type Place = (u64, Key);

/// What a member knows of one id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Of which.
    pub key: Key,
    /// Who holds it.
    pub holder: Holder,
    /// By which claim of his.
    pub turn: u64,
    /// For how many milliseconds.
    pub age: u64,
    /// How it has ended, and how long ago.
    pub end: Option<(ClaimOutcome, u64)>,
}

impl Item {
    /// Bytes on the wire.
    pub fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or(usize::MAX)
    }
}

/// Some of what a member knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// After which place.
    pub after: Option<Place>,
    /// In the order of their places.
    pub items: Vec<Item>,
    /// After which place the next one goes on; none if this was the last.
    pub next: Option<Place>,
    /// All that its teller granted is known to it.
    pub sure: bool,
    /// All that its teller itself holds, or held, is known to it.
    pub whole: bool,
}

impl Piece {
    /// Bytes of items in one, at most: it fits a datagram.
    pub const ROOM: usize = 900;
}

#[derive(Clone, Debug, Default)]
struct Progress {
    after: Option<Place>,
    next: u64,
    /// Whether it was sure, and knew all of its own, in every piece of those that it tells now.
    so_far: (bool, bool),
    /// The same, of all that it has told.
    told: Option<(bool, bool)>,
}

/// How far each other has told what it knows.
#[derive(Debug)]
pub struct Regain {
    others: Vec<Progress>,
}

impl Regain {
    /// Nothing is known yet.
    pub fn new(now: u64, others: usize) -> Regain {
        let progress = Progress { next: now + FIRST, ..Progress::default() };
        Regain { others: vec![progress; others] }
    }

    /// Whom to ask now, and after which place.
    pub fn asking(&mut self, now: u64) -> Vec<(usize, Option<Place>)> {
        let mut asking = Vec::new();
        for (n, progress) in self.others.iter_mut().enumerate().filter(|(_, p)| p.next <= now) {
            progress.next = now + AGAIN;
            asking.push((n, progress.after));
        }
        asking
    }

    /// When somebody is to be asked.
    pub fn due(&self) -> Option<u64> {
        self.others.iter().map(|p| p.next).min()
    }

    /// Whether a piece is the one that was asked for; then it is counted.
    pub fn takes(&mut self, now: u64, from: usize, piece: &Piece) -> bool {
        let Some(progress) =
            self.others.get_mut(from).filter(|p| p.after == piece.after && p.next != u64::MAX)
        else {
            return false;
        };
        if piece.after.is_none() {
            progress.so_far = (true, true);
        }
        // One that was not sure when it began may have put in places before those that it had told.
        progress.so_far = (progress.so_far.0 && piece.sure, progress.so_far.1 && piece.whole);
        progress.after = piece.next;
        if piece.next.is_some() {
            progress.next = now;
            return true;
        }
        progress.told = Some(progress.so_far);
        progress.next = if progress.so_far.0 { u64::MAX } else { now + ANEW };
        true
    }

    /// A member is another process: what it has not told yet is asked for from the beginning.
    pub fn restart(&mut self, from: usize) {
        if let Some(progress) = self.others.get_mut(from) {
            progress.after = None;
        }
    }

    /// Whether what has been told has all that was granted: a majority of all members was sure; or all have told what they
    /// themselves hold, this one (`whole`) included.
    pub fn is_enough(&self, majority: usize, whole: bool) -> bool {
        let sure = self.others.iter().filter(|p| p.told.is_some_and(|(sure, _)| sure)).count();
        let all = || whole && self.others.iter().all(|p| p.told.is_some_and(|(sure, whole)| sure || whole));
        sure >= majority || all()
    }
}
