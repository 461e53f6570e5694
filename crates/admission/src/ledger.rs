//! Accounts for the file descriptors of the process. Each user has a guaranteed number that nobody
//! else can take, and may take more from what is left over, up to a maximum of its own.

/// Who uses descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorUser {
    /// Client connections, including those that were asked to close and have not closed yet.
    Clients,
    /// Connections to partners: calls in flight, dials, and idle connections.
    Calls,
    /// Connections to the control socket.
    Control,
}

const USER_COUNT: usize = 3;

/// How many descriptors a user may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Quota {
    /// Descriptors that are reserved for the user, whatever others hold.
    pub guaranteed: usize,
    /// Maximum for the user, at least `guaranteed`.
    pub max: usize,
}

/// The ledger. `limit` is the limit of the process; `internal` of it is reserved for what is not
/// counted one by one, since its number is bounded: the runtime, the journal, the outcomes, and
/// connections to the platform.
#[derive(Clone, Debug)]
pub struct DescriptorLedger {
    limit: usize,
    internal: usize,
    quotas: [Quota; USER_COUNT],
    held: [usize; USER_COUNT],
}

impl DescriptorLedger {
    /// Creates a ledger in which nothing is held. The quotas are in the order of
    /// [`DescriptorUser`].
    pub fn new(limit: usize, internal: usize, quotas: [Quota; USER_COUNT]) -> DescriptorLedger {
        let quotas = quotas.map(|p| Quota { max: p.max.max(p.guaranteed), ..p });
        DescriptorLedger { limit, internal, quotas, held: [0; USER_COUNT] }
    }

    /// How many descriptors a user may hold at the moment: its guarantee, and what the guarantees
    /// and holdings of the others leave over.
    pub fn limit_for(&self, user: DescriptorUser) -> usize {
        let at = user as usize;
        let taken = |i: usize| self.held[i].max(self.quotas[i].guaranteed);
        let others: usize = (0..USER_COUNT).filter(|i| *i != at).map(taken).sum();
        let free = self.limit.saturating_sub(self.internal + others);
        free.clamp(self.quotas[at].guaranteed, self.quotas[at].max)
    }

    /// Takes one descriptor. Returns false if the user holds all that it may.
    pub fn acquire(&mut self, user: DescriptorUser) -> bool {
        let granted = self.held(user) < self.limit_for(user);
        self.held[user as usize] += usize::from(granted);
        granted
    }

    /// Counts a descriptor that is open already; the caller has checked
    /// [`DescriptorLedger::limit_for`].
    pub fn acquire_unchecked(&mut self, user: DescriptorUser) {
        self.held[user as usize] += 1;
    }

    /// Returns one descriptor.
    pub fn release(&mut self, user: DescriptorUser) {
        let held = &mut self.held[user as usize];
        *held = held.saturating_sub(1);
    }

    /// How many descriptors a user holds.
    pub fn held(&self, user: DescriptorUser) -> usize {
        self.held[user as usize]
    }

    /// Changes the process limit and the quotas at run time. A user that holds more than it may
    /// keeps it until it returns it by itself.
    pub fn set_limits(&mut self, limit: usize, quotas: [Quota; USER_COUNT]) {
        *self = DescriptorLedger { held: self.held, ..DescriptorLedger::new(limit, self.internal, quotas) };
    }

    /// The limit of the process.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// How many descriptors a user holds beyond what it may, as after the limit was lowered.
    pub fn excess(&self, user: DescriptorUser) -> usize {
        self.held(user).saturating_sub(self.limit_for(user))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const ALL: [DescriptorUser; USER_COUNT] =
        [DescriptorUser::Clients, DescriptorUser::Calls, DescriptorUser::Control];

    fn quota(guaranteed: usize, max: usize) -> Quota {
        Quota { guaranteed, max }
    }

    #[test]
    fn a_greedy_user_leaves_the_others_their_guarantee() {
        let quotas = [quota(4, 60), quota(30, 50), quota(8, 32)];
        let mut ledger = DescriptorLedger::new(100, 20, quotas);
        let acquire_all =
            |ledger: &mut DescriptorLedger, user| (0..1_000).filter(|_| ledger.acquire(user)).count();
        assert_eq!(
            acquire_all(&mut ledger, DescriptorUser::Clients),
            42,
            "what the guarantees of calls and control leave"
        );
        assert_eq!(acquire_all(&mut ledger, DescriptorUser::Calls), 30);
        assert_eq!(acquire_all(&mut ledger, DescriptorUser::Control), 8);
        assert!(!ledger.acquire(DescriptorUser::Clients) && ledger.excess(DescriptorUser::Clients) == 0);
        // What a user returns above its guarantee is available to all.
        (0..10).for_each(|_| ledger.release(DescriptorUser::Clients));
        assert_eq!(acquire_all(&mut ledger, DescriptorUser::Control), 10);
        // After the limit was lowered, users above their guarantee are reported with their excess.
        ledger.set_limits(70, quotas);
        assert_eq!(
            (ledger.excess(DescriptorUser::Clients), ledger.excess(DescriptorUser::Control)),
            (32 - 4, 18 - 8)
        );
        assert!(ledger.excess(DescriptorUser::Calls) == 0 && !ledger.acquire(DescriptorUser::Calls));
    }

    proptest! {
        /// For any order of acquisitions, and with a limit that moves above the sum of the
        /// guarantees: no user is denied its guarantee, and no acquisition takes the sum over the
        /// limit.
        #[test]
        fn guarantees_and_the_limit_hold(
            limit in 80..200usize,
            steps in prop::collection::vec((0..4usize, 0..3usize, 80..200usize), 1..400),
        ) {
            let quotas = [quota(4, 90), quota(30, 60), quota(8, 32)];
            let mut ledger = DescriptorLedger::new(limit, 20, quotas);
            let mut limit = limit;
            for (action, user_index, new_limit) in steps {
                let user = ALL[user_index];
                let before = ledger.held(user);
                match action {
                    0 | 1 => {
                        let granted = ledger.acquire(user);
                        prop_assert!(granted || before >= quotas[user_index].guaranteed);
                        let taken = |i: usize| ledger.held(ALL[i]).max(quotas[i].guaranteed);
                        let sum: usize = 20 + (0..USER_COUNT).map(taken).sum::<usize>();
                        prop_assert!(
                            !granted || before < quotas[user_index].guaranteed || sum <= limit,
                            "{sum} of {limit}"
                        );
                        prop_assert!(!granted || before < quotas[user_index].max);
                    }
                    2 => {
                        ledger.release(user);
                        prop_assert_eq!(ledger.held(user), before.saturating_sub(1));
                    }
                    _ => {
                        limit = new_limit;
                        ledger.set_limits(limit, quotas);
                    }
                }
                // Once each user has returned its excess, the sum is within the limit.
                let mut settled = ledger.clone();
                for user in ALL {
                    (0..settled.excess(user)).for_each(|_| settled.release(user));
                }
                prop_assert!(20 + ALL.iter().map(|p| settled.held(*p)).sum::<usize>() <= limit);
            }
        }
    }
}
