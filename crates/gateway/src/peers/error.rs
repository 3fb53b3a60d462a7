//! Errors of the links between instances.

use std::{fmt, io};

/// Error while starting the links or reloading their certificates.
#[derive(Debug)]
pub enum PeerError {
    /// The certificate, private key or certificate authorities are invalid.
    Tls(String),
    /// The local address cannot be bound.
    Bind(io::Error),
    /// The command queue of the link thread is full.
    Busy,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tls(reason) => write!(f, "TLS material for links between instances: {reason}"),
            Self::Bind(err) => write!(
                f,
                "cannot bind the address for links between instances: {err}"
            ),
            Self::Busy => write!(f, "the command queue of the link thread is full"),
        }
    }
}

impl std::error::Error for PeerError {}

/// The command queue of the link thread is full, or the thread has stopped; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

impl fmt::Display for QueueFull {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the command queue of the link thread is full")
    }
}

impl std::error::Error for QueueFull {}

/// Failure of a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardError {
    /// No link to the peer, or too many commands or requests pending. No byte of the request was
    /// sent.
    NotSent,
    /// The link or the answer was interrupted after bytes of the request may have been sent.
    Lost,
    /// The head of the answer exceeds the size limit.
    HeadTooLarge,
}

impl ForwardError {
    /// Whether the peer certainly received no byte of the request.
    pub const fn is_not_sent(self) -> bool {
        matches!(self, Self::NotSent)
    }
}

impl fmt::Display for ForwardError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSent => "no link to the peer; nothing was sent",
            Self::Lost => "the link was lost after the request may have been sent",
            Self::HeadTooLarge => "the head of the peer's answer exceeds the size limit",
        })
    }
}

impl std::error::Error for ForwardError {}
