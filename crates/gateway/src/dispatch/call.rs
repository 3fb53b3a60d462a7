//! Calls to upstreams and their answers.

use crate::caller_memory::CallerMemory;
use bytes::Bytes;
use carobwheel_core::{memory::Owner, retry::Failure, time::Millis};
use reqwest::{header::HeaderMap, Method};
use std::{fmt, sync::Arc, time::Duration};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// A call to an upstream.
pub struct UpstreamCall {
    /// HTTP method.
    pub method: Method,
    /// Complete URL.
    pub url: String,
    /// Headers; only `content-length` and `host` are added.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Whether to open a new connection instead of reusing one.
    pub fresh_connection: bool,
    /// Time from which the request is no longer sent, because the decision to send it is too old;
    /// this happens when the process was paused.
    pub send_before: Millis,
    /// Timeout for the head of the answer.
    pub head_timeout: Duration,
    /// Cancels the exchange and closes its connection.
    pub cancel: CancellationToken,
    /// Memory for callers, in which the queued chunks of the answer count.
    pub memory: Arc<CallerMemory>,
    /// Owner of that memory.
    pub owner: Owner,
    /// Channel on which the head of the answer is returned.
    pub reply: oneshot::Sender<Result<AnswerHead, ExchangeError>>,
}

/// Head of an upstream's answer.
#[derive(Debug)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Body as it arrives; ends after an error.
    pub chunks: mpsc::Receiver<Result<Bytes, ExchangeError>>,
}

/// Error of an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// This instance did not send the request, for a reason of its own.
    NotSent(&'static str),
    /// No connection was established, so no byte of the request was sent.
    NotConnected(String),
    /// The connection was refused, so no byte of the request was sent.
    ConnectionRefused,
    /// The connection broke after bytes may have been sent.
    Broken(String),
    /// The head did not arrive in time.
    Timeout,
    /// The exchange was cancelled.
    Cancelled,
}

impl ExchangeError {
    /// Returns the failure for the retry rules. The request of a cancelled exchange may have run.
    pub fn failure(&self) -> Failure {
        match self {
            Self::NotSent(_) => Failure::NotSent,
            Self::NotConnected(_) => Failure::ConnectFailed,
            Self::ConnectionRefused => Failure::ConnectRefused,
            Self::Broken(_) | Self::Cancelled => Failure::ConnectionLost,
            Self::Timeout => Failure::TimedOut,
        }
    }
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "the request was not sent: {reason}"),
            Self::NotConnected(detail) => write!(f, "no connection to the upstream: {detail}"),
            Self::ConnectionRefused => f.write_str("the upstream refused the connection"),
            Self::Broken(detail) => write!(f, "the connection to the upstream broke: {detail}"),
            Self::Timeout => f.write_str("the upstream did not answer in time"),
            Self::Cancelled => f.write_str("the exchange was cancelled"),
        }
    }
}

impl std::error::Error for ExchangeError {}
