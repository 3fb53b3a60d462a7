//! Soak test of real processes: random load and random faults, with every request reconciled.
//!
//! `CAROBWHEEL_SEED` seeds the load and the faults. `CAROBWHEEL_SOAK_S` sets the duration of the
//! run in seconds, in place of a fixed number of requests.

#![allow(clippy::unwrap_used)]

mod soak_support;
mod support;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_request_is_accounted_for_under_random_faults() {
    soak_support::run().await;
}
