//! HTTP clients for upstreams.

use anyhow::Context as _;
use reqwest::{redirect, retry, Client, ClientBuilder};
use socket2::{SockRef, TcpKeepalive};
use std::{io, time::Duration};
use tokio::net::TcpStream;

/// Timeout for a new connection. A lost SYN is repeated once within it.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Idle time before the first keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Largest body that an upstream's kernel accepts while the upstream itself reads nothing, in bytes:
/// half of the usual first receive window.
const MAX_SMALL_BODY_BYTES: usize = 32 * 1_024;
/// Time without acknowledgement after which a connection for small bodies is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// The same for large bodies. Linux also applies it to an upstream that reads nothing for as long,
/// although that acknowledges each probe.
const LARGE_BODY_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(10);

/// HTTP clients of the dispatch thread.
#[derive(Clone)]
pub(super) struct Clients {
    small: ConnectionKinds,
    large: ConnectionKinds,
}

/// Clients with the same timeouts.
#[derive(Clone)]
struct ConnectionKinds {
    /// Reuses connections; for first attempts of idempotent requests.
    pooled: Client,
    /// Opens a connection for each request; for retries and for actions that must run at most once,
    /// since after an error on a reused connection it is unknown whether the request was delivered.
    fresh: Client,
}

impl Clients {
    pub(super) fn new() -> anyhow::Result<Self> {
        Ok(Self {
            small: ConnectionKinds::new(UNACKNOWLEDGED_TIMEOUT)?,
            large: ConnectionKinds::new(LARGE_BODY_UNACKNOWLEDGED_TIMEOUT)?,
        })
    }

    /// Client for a request with a body of `body_bytes`.
    pub(super) fn get(&self, body_bytes: usize, fresh_connection: bool) -> &Client {
        let kinds = if is_large(body_bytes) {
            &self.large
        } else {
            &self.small
        };
        if fresh_connection {
            &kinds.fresh
        } else {
            &kinds.pooled
        }
    }
}

/// Whether an upstream may acknowledge only a part of a body of `body_bytes` while it reads nothing.
pub(super) fn is_large(body_bytes: usize) -> bool {
    body_bytes > MAX_SMALL_BODY_BYTES
}

/// Sets the options of a connection for a large body by which it fails soon after its network path is lost.
pub(super) fn set_liveness(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(LARGE_BODY_UNACKNOWLEDGED_TIMEOUT))?;
    stream.set_nodelay(true)
}

impl ConnectionKinds {
    fn new(unacknowledged_timeout: Duration) -> anyhow::Result<Self> {
        let build = |builder: ClientBuilder| {
            let client = builder.tcp_user_timeout(unacknowledged_timeout).build();
            client.context("cannot set up the HTTP client")
        };
        Ok(Self {
            pooled: build(builder().pool_idle_timeout(POOL_IDLE_TIMEOUT))?,
            fresh: build(builder().pool_max_idle_per_host(0))?,
        })
    }
}

// No redirects and no proxies: neither an upstream nor the environment may change the destination
// of a request. No retries: those are decided by the decision thread. On Linux the user timeout, not
// the number of probes, decides when keep-alive probes give up.
fn builder() -> ClientBuilder {
    Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .no_proxy()
        .tcp_nodelay(true)
        .tcp_keepalive(KEEPALIVE_INTERVAL)
        .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
        .http1_only()
}
