//! A soak of real processes: random load and random faults, with an account of every request.
//!
//! `CAROBWHEEL_SEED` chooses the load and the faults; `CAROBWHEEL_SOAK_S` makes the run last that
//! many seconds in place of a fixed number of requests.

#![allow(clippy::unwrap_used)]

mod soak_support;
mod support;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_request_is_accounted_for_under_random_faults() {
    soak_support::run().await;
}
