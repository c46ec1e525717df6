//! Mutexes that stay usable after a panic in a thread that held the lock.
//!
//! Used by the multi-threaded programs and the stand-ins. The router on the platform is single-threaded and
//! has no locks.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, and ignores poisoning by a panic in another thread.
///
/// Each change of the state under a lock is one complete step of a state machine. The state is thus
/// consistent after a panic, too.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
