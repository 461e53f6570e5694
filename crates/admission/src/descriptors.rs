//! Descriptors as a budget: what is left for clients once everything else has its minimum.

/// Connections of clients below which nothing can work.
pub const MIN_CLIENT_CONNECTIONS: usize = 4;

/// What is kept for everything but clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reserved {
    /// Calls to partners, and connections that stand idle between them.
    pub calls: usize,
    /// The journal, the ends, the control line, what is closing, and the runtime's own.
    pub internal: usize,
}

/// Places for clients where the process may hold `limit` descriptors: half of what the house leaves, and what calls leave
/// if that is less. The clients give way first when the limit is lowered: what is out to partners has to end, and the
/// journal to be written.
///
/// # Errors
/// So few are left that nothing would work: told with what is needed.
pub fn max_client_connections(limit: usize, reserved: Reserved) -> Result<usize, String> {
    let left = limit.saturating_sub(reserved.internal);
    let places = (left / 2).min(left.saturating_sub(reserved.calls));
    if places < MIN_CLIENT_CONNECTIONS {
        let needed = reserved.internal + reserved.calls + MIN_CLIENT_CONNECTIONS;
        return Err(format!("{limit} descriptors are too few: {needed} are the least that works ({} for calls, {} for the journal, the control line and the like, {MIN_CLIENT_CONNECTIONS} for clients)", reserved.calls, reserved.internal));
    }
    Ok(places)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn clients_give_way_to_calls_and_the_house() {
        let reserved = Reserved { calls: 100, internal: 32 };
        assert_eq!(max_client_connections(1024, reserved), Ok(496));
        assert_eq!(max_client_connections(200, reserved), Ok(68));
        assert_eq!(max_client_connections(136, reserved), Ok(4));
        assert!(max_client_connections(135, reserved).unwrap_err().contains("136 are the least"));
        assert!(max_client_connections(0, reserved).is_err());
    }

    proptest! {
        #[test]
        fn the_sum_never_passes_the_limit(limit in 0..100_000usize, calls in 0..10_000usize, internal in 0..1_000usize) {
            if let Ok(places) = max_client_connections(limit, Reserved { calls, internal }) {
                prop_assert!(places >= MIN_CLIENT_CONNECTIONS && places + calls + internal <= limit);
            }
        }
    }
}
