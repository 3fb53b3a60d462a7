//! Sending of a request on a pooled or a new connection.

use super::{connect::connect, interim::InterimLimit, Connection};
use crate::node::Node;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1::SendRequest, header, Request, Response};
use std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration};

/// Destination of a request.
#[derive(Clone, Debug)]
pub struct Target {
    /// Id of the upstream.
    pub id: Arc<str>,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Start time of its process as Unix time in milliseconds, if known.
    pub started_unix_ms: Option<u64>,
    /// Maximum idle time of a pooled connection, in milliseconds; 0 requires a new connection.
    pub max_idle_ms: u64,
    /// Timeout for a new connection.
    pub connect_timeout: Duration,
    /// Service that, once it is cut off, ends the wait for a new connection.
    pub watched_service: Option<Arc<str>>,
}

/// Reason why a send yielded no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection could be opened; nothing was sent.
    Unreachable(String),
    /// The connection broke; the request may have run.
    Broken(String),
    /// The upstream closed or reset the connection before its response; the request may have run.
    Lost(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "no connection: {reason}"),
            Self::Broken(reason) | Self::Lost(reason) => write!(f, "connection broken: {reason}"),
        }
    }
}

/// Response whose head was received, with the connection that carries it.
pub struct Reply {
    response: Response<Incoming>,
    connection: Connection,
    advertised_ms: Option<u64>,
    target: Target,
    is_first: bool,
}

impl Reply {
    /// Whether it is the first response on its connection. A later one may be an earlier response
    /// that the upstream has written once more.
    pub fn is_first(&self) -> bool {
        self.is_first
    }

    /// Head of the response.
    pub fn head(&self) -> &Response<Incoming> {
        &self.response
    }

    /// Upstream that sent the response.
    pub fn upstream(&self) -> &Arc<str> {
        &self.target.id
    }

    /// Destination of the request that it answers.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Splits into the response and the connection that carries it.
    pub fn split(self) -> (Response<Incoming>, ConnectionCheckout) {
        let checkout = ConnectionCheckout {
            connection: self.connection,
            advertised_ms: self.advertised_ms,
            upstream: self.target.id,
        };
        (self.response, checkout)
    }
}

/// Connection checked out of the pool; it can be reused after the body of its response was read.
pub struct ConnectionCheckout {
    connection: Connection,
    advertised_ms: Option<u64>,
    upstream: Arc<str>,
}

impl ConnectionCheckout {
    /// Returns the connection to the pool.
    pub fn check_in(self, node: &Node) {
        node.pools.put(
            &self.upstream,
            self.connection,
            self.advertised_ms,
            node.now(),
        );
    }
}

/// Sends a request and waits for the head of the response. Dropping the future closes the
/// connection.
///
/// # Errors
///
/// The error states whether the request may have run.
pub async fn send(
    node: &Node,
    target: &Target,
    mut request: Request<Full<Bytes>>,
) -> Result<Reply, SendError> {
    let interim = InterimLimit::default();
    interim.watch(&mut request);
    tokio::select! {
        reply = send_and_wait(node, target, request) => reply,
        () = interim.exceeded() => {
            Err(SendError::Broken("too many interim responses".to_owned()))
        }
    }
}

/// Sends a request on a pooled or a new connection and waits for the head of the response.
async fn send_and_wait(
    node: &Node,
    target: &Target,
    request: Request<Full<Bytes>>,
) -> Result<Reply, SendError> {
    let mut request = request;
    // A pooled connection that the upstream has closed returns the request unsent.
    while let Some(mut connection) = pooled(node, target) {
        match connection.try_send_request(request).await {
            Ok(response) => return Ok(reply(target, response, connection, false)),
            Err(mut err) => match err.take_message() {
                Some(unsent) => request = unsent,
                None => return Err(broken(&err.into_error())),
            },
        }
    }
    let mut connection = tokio::select! {
        connection = connect(target, &node.pools.ended) => {
            connection.map_err(|err| SendError::Unreachable(err.to_string()))?
        }
        () = watched_cut_off(node, target) => {
            return Err(SendError::Unreachable("no upstream of the service is in reach".into()));
        }
    };
    node.metrics.connections_opened.add(1);
    match connection.send_request(request).await {
        Ok(response) => Ok(reply(target, response, connection, true)),
        Err(err) => Err(broken(&err)),
    }
}

/// Waits until the service that the target watches is cut off.
async fn watched_cut_off(node: &Node, target: &Target) {
    match &target.watched_service {
        Some(service) => node.cut_off_begins(service).await,
        None => std::future::pending().await,
    }
}

/// Pooled connection for the target, if one may be used.
fn pooled(node: &Node, target: &Target) -> Option<SendRequest<Full<Bytes>>> {
    if target.max_idle_ms == 0 {
        return None;
    }
    node.pools.take(&target.id, target.max_idle_ms, node.now())
}

/// Combines a response with its connection.
fn reply(
    target: &Target,
    response: Response<Incoming>,
    connection: Connection,
    is_first: bool,
) -> Reply {
    let advertised_ms = keep_alive_ms(&response);
    Reply {
        response,
        connection,
        advertised_ms,
        target: target.clone(),
        is_first,
    }
}

/// Keep-alive timeout that the upstream advertises, in milliseconds.
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

/// Error of a connection that broke after the request was sent.
fn broken(err: &hyper::Error) -> SendError {
    if is_closed_by_upstream(err) {
        SendError::Lost(reason(err))
    } else {
        SendError::Broken(reason(err))
    }
}

/// Whether a connection broke because the other end closed or reset it, rather than by a timeout,
/// a lost path or malformed bytes.
pub(crate) fn is_closed_by_upstream(err: &hyper::Error) -> bool {
    use std::error::Error as _;
    let io_kind = err
        .source()
        .and_then(|source| source.downcast_ref::<io::Error>())
        .map(io::Error::kind);
    err.is_incomplete_message()
        || matches!(
            io_kind,
            Some(
                io::ErrorKind::ConnectionReset
                    | io::ErrorKind::ConnectionAborted
                    | io::ErrorKind::BrokenPipe
                    | io::ErrorKind::UnexpectedEof
            )
        )
}

/// Text of an error, with its cause.
fn reason(err: &hyper::Error) -> String {
    use std::error::Error as _;
    match err.source() {
        Some(source) => format!("{err}: {source}"),
        None => err.to_string(),
    }
}

/// Whether a header is hop-by-hop.
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
