//! Small stand-ins of the platform and the upstreams, and a fault-injecting proxy.
//!
//! They back `carobctl demo`, `carobctl load` and the tests, and run as threads on loopback.

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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
