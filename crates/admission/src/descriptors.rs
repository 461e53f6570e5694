//! Splits the process's file descriptors: how many connections clients may have once everything
//! else has its minimum.

/// The least number of client connections that the process can work with.
pub const MIN_CLIENT_CONNECTIONS: usize = 4;

/// Descriptors that are reserved for other uses than client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reserved {
    /// Calls to partners, and idle connections between calls.
    pub calls: usize,
    /// The journal, the outcomes, the control socket, connections being closed, and the runtime, at
    /// the most.
    pub internal: usize,
    /// The part of `internal` without which the process does not work at all.
    pub internal_minimum: usize,
}

/// Returns how many client connections a process may hold that is limited to `limit` descriptors:
/// half of what internal use leaves, or what the calls leave if that is less, but at least
/// [`MIN_CLIENT_CONNECTIONS`]. When the limit is lowered, clients give way first: calls in flight
/// have to finish, and the journal has to be written.
///
/// # Errors
/// The limit is below what works; the text states how many descriptors are needed.
pub fn max_client_connections(limit: usize, reserved: Reserved) -> Result<usize, String> {
    let needed = reserved.internal_minimum + reserved.calls + MIN_CLIENT_CONNECTIONS;
    if limit < needed {
        return Err(format!("{limit} descriptors are too few: {needed} are the least that works ({} for calls, {} for the journal, the control line and the like, {MIN_CLIENT_CONNECTIONS} for clients)", reserved.calls, reserved.internal_minimum));
    }
    let left = limit.saturating_sub(reserved.internal);
    let connections = (left / 2).min(left.saturating_sub(reserved.calls));
    Ok(connections.max(MIN_CLIENT_CONNECTIONS))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn client_connections_yield_to_calls_and_internal_use() {
        let reserved = Reserved { calls: 100, internal: 32, internal_minimum: 32 };
        assert_eq!(max_client_connections(1024, reserved), Ok(496));
        assert_eq!(max_client_connections(200, reserved), Ok(68));
        assert_eq!(max_client_connections(136, reserved), Ok(4));
        assert!(max_client_connections(135, reserved).unwrap_err().contains("136 are the least"));
        assert!(max_client_connections(0, reserved).is_err());
    }

    #[test]
    fn a_limit_without_room_for_all_internal_use_leaves_clients_the_minimum() {
        let reserved = Reserved { calls: 100, internal: 72, internal_minimum: 32 };
        assert_eq!(max_client_connections(200, reserved), Ok(28));
        assert_eq!(max_client_connections(170, reserved), Ok(MIN_CLIENT_CONNECTIONS));
        assert_eq!(max_client_connections(136, reserved), Ok(MIN_CLIENT_CONNECTIONS));
        assert!(max_client_connections(135, reserved).unwrap_err().contains("136 are the least"));
    }

    proptest! {
        #[test]
        fn reserved_and_client_descriptors_stay_within_the_limit(
            limit in 0..100_000usize,
            calls in 0..10_000usize,
            internal in 0..1_000usize,
            internal_minimum in 0..1_000usize,
        ) {
            let internal_minimum = internal_minimum.min(internal);
            let reserved = Reserved { calls, internal, internal_minimum };
            if let Ok(connections) = max_client_connections(limit, reserved) {
                let internal = if limit >= internal + calls + MIN_CLIENT_CONNECTIONS { internal } else { internal_minimum };
                prop_assert!(
                    connections >= MIN_CLIENT_CONNECTIONS && connections + calls + internal <= limit
                );
            }
        }
    }
}
