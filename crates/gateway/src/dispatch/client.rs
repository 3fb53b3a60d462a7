//! HTTP clients for upstreams.

use anyhow::Context as _;
use reqwest::{redirect, retry, Client, ClientBuilder};
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The clients of the dispatching thread.
#[derive(Clone)]
pub(super) struct Clients {
    /// Reuses connections; for first tries of idempotent requests.
    pub(super) pooled: Client,
    /// Opens a connection for each request; for retries and for actions that may not be repeated,
    /// since an error on a reused connection does not tell whether the request was delivered.
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

// An upstream never decides where a request goes next, nor does the environment, and whether a
// request is repeated is decided elsewhere.
fn builder() -> ClientBuilder {
    Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .no_proxy()
        .tcp_nodelay(true)
        .http1_only()
}
