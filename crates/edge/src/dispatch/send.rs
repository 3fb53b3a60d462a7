//! One send of one request to one upstream.

use super::{connect::connect, Connection};
use crate::node::Node;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1::SendRequest, header, Request, Response};
use std::{fmt, net::SocketAddr, sync::Arc};

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Target {
    /// Upstream.
    pub id: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Longest idle time of a connection that may be used, in milliseconds; 0: only a new one.
    pub max_idle_ms: u64,
}

/// Why a send brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection could be opened: nothing was sent.
    Unreachable(String),
    /// The connection broke: the request may have run.
    Broken(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "no connection: {reason}"),
            Self::Broken(reason) => write!(f, "connection broken: {reason}"),
        }
    }
}

/// The head of an answer, and the connection that it came on.
pub struct Reply {
    response: Response<Incoming>,
    connection: Connection,
    advertised_ms: Option<u64>,
    upstream: Arc<str>,
}

impl Reply {
    /// The head of the answer.
    pub fn head(&self) -> &Response<Incoming> {
        &self.response
    }

    /// Upstream that answers.
    pub fn upstream(&self) -> &Arc<str> {
        &self.upstream
    }

    /// Splits off the answer from the connection that it comes on.
    pub fn split(self) -> (Response<Incoming>, ConnectionCheckout) {
        let checkout = ConnectionCheckout {
            connection: self.connection,
            advertised_ms: self.advertised_ms,
            upstream: self.upstream,
        };
        (self.response, checkout)
    }
}

/// A connection that may be used again once the body of the answer on it was read.
pub struct ConnectionCheckout {
    connection: Connection,
    advertised_ms: Option<u64>,
    upstream: Arc<str>,
}

impl ConnectionCheckout {
    /// Keeps the connection for the next request.
    pub fn check_in(self, node: &Node) {
        node.pools.put(
            &self.upstream,
            self.connection,
            self.advertised_ms,
            node.now(),
        );
    }
}

/// Sends a request and waits for the head of its answer. Dropping the call closes the connection.
///
/// # Errors
///
/// Tells whether the request may have run.
pub async fn send(
    node: &Node,
    target: &Target,
    request: Request<Full<Bytes>>,
) -> Result<Reply, SendError> {
    let mut request = request;
    // A connection that the upstream has closed gives the request back unsent.
    while let Some(mut connection) = pooled(node, target) {
        match connection.try_send_request(request).await {
            Ok(response) => return Ok(reply(target, response, connection)),
            Err(mut err) => match err.take_message() {
                Some(unsent) => request = unsent,
                None => return Err(SendError::Broken(reason(&err.into_error()))),
            },
        }
    }
    let mut connection = connect(target.address)
        .await
        .map_err(|err| SendError::Unreachable(err.to_string()))?;
    node.metrics.connections_opened.add(1);
    match connection.send_request(request).await {
        Ok(response) => Ok(reply(target, response, connection)),
        Err(err) => Err(SendError::Broken(reason(&err))),
    }
}

fn pooled(node: &Node, target: &Target) -> Option<SendRequest<Full<Bytes>>> {
    if target.max_idle_ms == 0 {
        return None;
    }
    node.pools.take(&target.id, target.max_idle_ms, node.now())
}

fn reply(target: &Target, response: Response<Incoming>, connection: Connection) -> Reply {
    let advertised_ms = keep_alive_ms(&response);
    Reply {
        response,
        connection,
        advertised_ms,
        upstream: Arc::clone(&target.id),
    }
}

/// The time for which the upstream keeps the connection open, where it says so.
fn keep_alive_ms(response: &Response<Incoming>) -> Option<u64> {
    let value = response.headers().get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds
        .trim()
        .parse::<u64>()
        .ok()
        .map(|seconds| seconds * 1_000)
}

fn reason(err: &hyper::Error) -> String {
    use std::error::Error as _;
    match err.source() {
        Some(source) => format!("{err}: {source}"),
        None => err.to_string(),
    }
}

/// Whether a header concerns one connection only.
pub(crate) fn is_hop_header(name: &header::HeaderName) -> bool {
    matches!(
        *name,
        header::CONNECTION
            | header::TRANSFER_ENCODING
            | header::UPGRADE
            | header::TE
            | header::TRAILER
            | header::PROXY_AUTHENTICATE
            | header::PROXY_AUTHORIZATION
    ) || matches!(name.as_str(), "keep-alive" | "proxy-connection")
}
