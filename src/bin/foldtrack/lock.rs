//! Locks of this process.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Takes a lock, also one whose holder has panicked: what these guard is whole between two statements.
pub(crate) fn lock_ignoring_poison<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
