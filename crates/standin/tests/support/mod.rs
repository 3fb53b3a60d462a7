//! Helpers for the tests of the stand-ins.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

/// Timeout for a condition before a test fails.
pub(crate) const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns an HTTP client without proxy, redirects and retries.
pub(crate) fn client() -> reqwest::Client {
    let _ = rustls::crypto::ring::default_provider().install_default();
    reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .build()
        .unwrap()
}

/// Waits until `condition` returns true. Panics after [`CONDITION_TIMEOUT`].
pub(crate) async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let start = std::time::Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < CONDITION_TIMEOUT,
            "not within {CONDITION_TIMEOUT:?}: {what}"
        );
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
