//! Locking that does not mind a panic of another thread.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also if a thread panicked while it held it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
