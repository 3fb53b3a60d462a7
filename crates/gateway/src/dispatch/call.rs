//! A call to an upstream and its answer.

use bytes::Bytes;
use carobwheel_core::{retry::Failure, time::Millis};
use reqwest::{header::HeaderMap, Method};
use std::{fmt, time::Duration};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// A call to an upstream.
pub struct UpstreamCall {
    /// Method.
    pub method: Method,
    /// Whole URL.
    pub url: String,
    /// Headers; nothing is added but the length and the host.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Use a connection that has carried nothing before.
    pub fresh_connection: bool,
    /// Time from which nothing is sent any more: the decision behind the job is too old, because
    /// the process was paused.
    pub send_before: Millis,
    /// Longest time until the head of the answer.
    pub head_timeout: Duration,
    /// Ends the exchange and closes its connection.
    pub cancel: CancellationToken,
    /// Where the head of the answer goes.
    pub reply: oneshot::Sender<Result<AnswerHead, ExchangeError>>,
}

/// Head of an upstream's answer.
#[derive(Debug)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Headers as received.
    pub headers: HeaderMap,
    /// The body as it arrives; ends after an error.
    pub chunks: mpsc::Receiver<Result<Bytes, ExchangeError>>,
}

/// Why an exchange did not end well.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// No connection came about, so no byte of the request left.
    NotConnected(String),
    /// The connection broke after bytes may have left.
    Broken(String),
    /// The head did not arrive in time.
    Timeout,
    /// The exchange was cancelled.
    Cancelled,
}

impl ExchangeError {
    /// The failure as the retry rules see it. A cancelled exchange may have run.
    pub fn failure(&self) -> Failure {
        match self {
            Self::NotConnected(_) => Failure::ConnectFailed,
            Self::Broken(_) | Self::Cancelled => Failure::ConnectionLost,
            Self::Timeout => Failure::TimedOut,
        }
    }
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotConnected(detail) => write!(f, "no connection to the upstream: {detail}"),
            Self::Broken(detail) => write!(f, "the connection to the upstream broke: {detail}"),
            Self::Timeout => f.write_str("the upstream did not answer in time"),
            Self::Cancelled => f.write_str("the exchange was cancelled"),
        }
    }
}

impl std::error::Error for ExchangeError {}
