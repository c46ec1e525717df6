//! Locks that a panic elsewhere doesn't poison.
//!
//! For the multi-threaded programs and stand-ins; the router on the platform runs on one
//! thread and has no locks.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also when a holder panicked.
///
/// State is changed by whole steps of plain state machines under the lock, so
/// what a panicking holder left is consistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
