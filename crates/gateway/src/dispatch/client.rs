//! HTTP clients for upstreams.

use anyhow::Context as _;
use reqwest::{redirect, retry, Client, ClientBuilder};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// HTTP clients of the dispatch thread.
#[derive(Clone)]
pub(super) struct Clients {
    /// Reuses connections; for first attempts of idempotent requests.
    pub(super) pooled: Client,
    /// Opens a connection for each request; for retries and for actions that must run at most once,
    /// since after an error on a reused connection it is unknown whether the request was delivered.
    pub(super) fresh: Client,
}

impl Clients {
    pub(super) fn new() -> anyhow::Result<Self> {
        Ok(Self {
            pooled: builder()
                .pool_idle_timeout(POOL_IDLE_TIMEOUT)
                .build()
                .context("cannot set up the HTTP client")?,
            fresh: builder()
                .pool_max_idle_per_host(0)
                .build()
                .context("cannot set up the HTTP client")?,
        })
    }
}

// No redirects and no proxies: neither an upstream nor the environment may change the destination
// of a request. No retries: those are decided by the decision thread.
fn builder() -> ClientBuilder {
    Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .no_proxy()
        .tcp_nodelay(true)
        .http1_only()
}
