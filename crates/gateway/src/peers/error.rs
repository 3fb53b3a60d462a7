//! Errors of the links.

use std::{fmt, io};

/// Why the links could not be started or changed.
#[derive(Debug)]
pub enum PeerError {
    /// The certificate, key or authorities cannot be used.
    Tls(String),
    /// The local address cannot be used.
    Bind(io::Error),
    /// The thread has too many commands to do.
    Busy,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Tls(reason) => write!(f, "certificate of the links between instances: {reason}"),
            Self::Bind(err) => write!(f, "address of the links between instances: {err}"),
            Self::Busy => write!(f, "the thread of the links has too many commands to do"),
        }
    }
}

impl std::error::Error for PeerError {}

/// The queue to the thread is full, or the thread has stopped; nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

impl fmt::Display for QueueFull {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the queue to the links between instances is full")
    }
}

impl std::error::Error for QueueFull {}

/// Why a forwarded request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardError {
    /// No link to the peer, or too many requests wait. No byte of the request has left.
    NotSent,
    /// The link or the answer broke off after bytes of the request may have left.
    Lost,
    /// The answer's head is larger than allowed.
    HeadTooLarge,
}

impl ForwardError {
    /// Whether it is certain that the peer has seen no byte of the request.
    pub const fn is_not_sent(self) -> bool {
        matches!(self, Self::NotSent)
    }
}

impl fmt::Display for ForwardError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotSent => "no link to the peer, nothing was sent",
            Self::Lost => "the link broke off after the request may have left",
            Self::HeadTooLarge => "the head of the peer's answer is too large",
        })
    }
}

impl std::error::Error for ForwardError {}
