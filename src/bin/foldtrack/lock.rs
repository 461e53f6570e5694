//! Locking of mutexes.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex even if a holder has panicked: the data under these mutexes is consistent between
/// any two statements.
pub(crate) fn lock_ignoring_poison<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
