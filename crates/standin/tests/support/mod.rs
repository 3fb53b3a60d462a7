//! Helpers of the stand-ins' tests.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

/// Longest wait for a condition before a test fails.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// A client that repeats and redirects nothing.
pub(crate) fn client() -> reqwest::Client {
    let _ = rustls::crypto::ring::default_provider().install_default();
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .build()
        .unwrap()
}

/// Waits until `condition` holds.
pub(crate) async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let start = std::time::Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < PATIENCE,
            "not within {PATIENCE:?}: {what}"
        );
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
