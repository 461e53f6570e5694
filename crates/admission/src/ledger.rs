//! Descriptors as a ledger: whoever opens one draws it here and gives it back. Each party has a part that nobody else can
//! take, and beyond it draws from what is left over, up to a bound of its own.

/// Who draws.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorUser {
    /// Connections of clients, also those that have been told to leave and are not closed yet.
    Clients,
    /// Connections to partners: calls that are out, dials, and what stands idle between calls.
    Calls,
    /// Readers of the control line.
    Control,
}

const PARTIES: usize = 3;

/// What a party may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Part {
    /// Its own, whatever others hold.
    pub guaranteed: usize,
    /// Its bound, at least `guaranteed`.
    pub most: usize,
}

/// The ledger. `limit` counts what the process may hold; `house` of it is never drawn one by one: the runtime, the journal,
/// the ends, and connections to the platform, whose numbers are fixed.
#[derive(Clone, Debug)]
pub struct Ledger {
    limit: usize,
    house: usize,
    parts: [Part; PARTIES],
    held: [usize; PARTIES],
}

impl Ledger {
    /// A ledger in which nothing is drawn. Parts in the order of [`DescriptorUser`].
    pub fn new(limit: usize, house: usize, parts: [Part; PARTIES]) -> Ledger {
        let parts = parts.map(|p| Part { most: p.most.max(p.guaranteed), ..p });
        Ledger { limit, house, parts, held: [0; PARTIES] }
    }

    /// How many a party may hold just now: its own part, and what is left over beyond the others' parts and holdings.
    pub fn room(&self, party: DescriptorUser) -> usize {
        let at = party as usize;
        let taken = |i: usize| self.held[i].max(self.parts[i].guaranteed);
        let others: usize = (0..PARTIES).filter(|i| *i != at).map(taken).sum();
        let free = self.limit.saturating_sub(self.house + others);
        free.clamp(self.parts[at].guaranteed, self.parts[at].most)
    }

    /// Draws one, unless the party holds all that it may.
    pub fn draw(&mut self, party: DescriptorUser) -> bool {
        let granted = self.held(party) < self.room(party);
        self.held[party as usize] += usize::from(granted);
        granted
    }

    /// Notes one that is open already, decided on elsewhere by [`Ledger::room`].
    pub fn note(&mut self, party: DescriptorUser) {
        self.held[party as usize] += 1;
    }

    /// Gives one back.
    pub fn give(&mut self, party: DescriptorUser) {
        let held = &mut self.held[party as usize];
        *held = held.saturating_sub(1);
    }

    /// How many a party holds.
    pub fn held(&self, party: DescriptorUser) -> usize {
        self.held[party as usize]
    }

    /// The limit, and with it the parts, have changed while the process runs. What is held beyond a party's room is its
    /// own to give back.
    pub fn set_limits(&mut self, limit: usize, parts: [Part; PARTIES]) {
        *self = Ledger { held: self.held, ..Ledger::new(limit, self.house, parts) };
    }

    /// How many a party holds beyond what it may by now, as when the limit was lowered.
    pub fn over(&self, party: DescriptorUser) -> usize {
        self.held(party).saturating_sub(self.room(party))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const ALL: [DescriptorUser; PARTIES] =
        [DescriptorUser::Clients, DescriptorUser::Calls, DescriptorUser::Control];

    fn part(guaranteed: usize, most: usize) -> Part {
        Part { guaranteed, most }
    }

    #[test]
    fn who_wants_all_leaves_the_others_their_part() {
        let parts = [part(4, 60), part(30, 50), part(8, 32)];
        let mut ledger = Ledger::new(100, 20, parts);
        let draw_all = |ledger: &mut Ledger, party| (0..1_000).filter(|_| ledger.draw(party)).count();
        assert_eq!(
            draw_all(&mut ledger, DescriptorUser::Clients),
            42,
            "what the parts of calls and control leave"
        );
        assert_eq!(draw_all(&mut ledger, DescriptorUser::Calls), 30);
        assert_eq!(draw_all(&mut ledger, DescriptorUser::Control), 8);
        assert!(!ledger.draw(DescriptorUser::Clients) && ledger.over(DescriptorUser::Clients) == 0);
        // What one gives back beyond its part is anybody's.
        (0..10).for_each(|_| ledger.give(DescriptorUser::Clients));
        assert_eq!(draw_all(&mut ledger, DescriptorUser::Control), 10);
        // Lowered while it runs: who holds more than its part is told by how much.
        ledger.set_limits(70, parts);
        assert_eq!(
            (ledger.over(DescriptorUser::Clients), ledger.over(DescriptorUser::Control)),
            (32 - 4, 18 - 8)
        );
        assert!(ledger.over(DescriptorUser::Calls) == 0 && !ledger.draw(DescriptorUser::Calls));
    }

    proptest! {
        /// Drawn one by one in any order, also while the limit moves above what the parts need: nobody is refused its own
        /// part, and no draw takes the sum over the limit.
        #[test]
        fn parts_are_kept_and_the_limit_is(
            limit in 80..200usize,
            steps in prop::collection::vec((0..4usize, 0..3usize, 80..200usize), 1..400),
        ) {
            let parts = [part(4, 90), part(30, 60), part(8, 32)];
            let mut ledger = Ledger::new(limit, 20, parts);
            let mut limit = limit;
            for (what, who, other) in steps {
                let party = ALL[who];
                let before = ledger.held(party);
                match what {
                    0 | 1 => {
                        let granted = ledger.draw(party);
                        prop_assert!(granted || before >= parts[who].guaranteed);
                        let taken = |i: usize| ledger.held(ALL[i]).max(parts[i].guaranteed);
                        let sum: usize = 20 + (0..PARTIES).map(taken).sum::<usize>();
                        prop_assert!(!granted || before < parts[who].guaranteed || sum <= limit, "{sum} of {limit}");
                        prop_assert!(!granted || before < parts[who].most);
                    }
                    2 => {
                        ledger.give(party);
                        prop_assert_eq!(ledger.held(party), before.saturating_sub(1));
                    }
                    _ => {
                        limit = other;
                        ledger.set_limits(limit, parts);
                    }
                }
                // Once each has given back what it is over, the sum is within the limit.
                let mut kept = ledger.clone();
                for party in ALL {
                    (0..kept.over(party)).for_each(|_| kept.give(party));
                }
                prop_assert!(20 + ALL.iter().map(|p| kept.held(*p)).sum::<usize>() <= limit);
            }
        }
    }
}
