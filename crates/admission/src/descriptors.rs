//! Descriptors as a budget: what is left for clients once everything else has its minimum.

/// Connections of clients below which nothing can work.
pub const LEAST_PLACES: usize = 4;

/// What is kept for everything but clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kept {
    /// Calls to partners, and connections that stand idle between them.
    pub calls: usize,
    /// The journal, the ends, the control line, what is closing, and the runtime's own.
    pub house: usize,
}

/// Places for clients where the process may hold `limit` descriptors: half of what the house leaves, and what calls leave
/// if that is less. The clients give way first when the limit is lowered: what is out to partners has to end, and the
/// journal to be written.
///
/// # Errors
/// So few are left that nothing would work: told with what is needed.
pub fn places(limit: usize, kept: Kept) -> Result<usize, String> {
    let left = limit.saturating_sub(kept.house);
    let places = (left / 2).min(left.saturating_sub(kept.calls));
    if places < LEAST_PLACES {
        let needed = kept.house + kept.calls + LEAST_PLACES;
        return Err(format!("{limit} descriptors are too few: {needed} are the least that works ({} for calls, {} for the journal, the control line and the like, {LEAST_PLACES} for clients)", kept.calls, kept.house));
    }
    Ok(places)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn clients_give_way_to_calls_and_the_house() {
        let kept = Kept { calls: 100, house: 32 };
        assert_eq!(places(1024, kept), Ok(496));
        assert_eq!(places(200, kept), Ok(68));
        assert_eq!(places(136, kept), Ok(4));
        assert!(places(135, kept).unwrap_err().contains("136 are the least"));
        assert!(places(0, kept).is_err());
    }

    proptest! {
        #[test]
        fn the_sum_never_passes_the_limit(limit in 0..100_000usize, calls in 0..10_000usize, house in 0..1_000usize) {
            if let Ok(places) = places(limit, Kept { calls, house }) {
                prop_assert!(places >= LEAST_PLACES && places + calls + house <= limit);
            }
        }
    }
}
