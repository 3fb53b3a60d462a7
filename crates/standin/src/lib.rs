//! Stand-ins (test doubles) for the platform's services and the upstreams, and a fault-injecting
//! proxy.
//!
//! `carobctl demo`, `carobctl load` and the tests use them. Each runs on threads of its own in the
//! calling process and listens on a loopback address by default.

pub mod batch;
pub mod engine;
mod http;
pub mod livelist;
pub mod proxy;
pub mod service;
pub mod store;
pub mod tls;

pub use http::RecordedRequest;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, also after a thread panicked while holding it.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
