//! What bytes are reserved for.

use std::{net::IpAddr, sync::Arc};

/// What reserved bytes are used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Use {
    /// Open connections.
    Connections,
    /// Heads of requests, and what is parsed from them.
    Heads,
    /// Bodies of requests.
    Bodies,
    /// Prompts that are parsed from bodies.
    Prompts,
    /// Complete responses that are being sent.
    Answers,
    /// Streams that wait for their callers.
    Streams,
    /// Copies of requests that are sent to other instances.
    Forwards,
}

impl Use {
    /// All uses, in their order.
    pub const ALL: [Self; 7] = [
        Self::Connections,
        Self::Heads,
        Self::Bodies,
        Self::Prompts,
        Self::Answers,
        Self::Streams,
        Self::Forwards,
    ];

    /// Label in metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Heads => "heads",
            Self::Bodies => "bodies",
            Self::Prompts => "prompts",
            Self::Answers => "answers",
            Self::Streams => "streams",
            Self::Forwards => "forwards",
        }
    }
}

/// Caller for whom bytes are reserved. A part that is not known has no maximum share.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owner {
    /// Client account.
    pub account: Option<Arc<str>>,
    /// Client address.
    pub address: Option<IpAddr>,
}

impl Owner {
    /// Caller of whom only the address is known.
    pub const fn of_address(address: IpAddr) -> Self {
        Self {
            account: None,
            address: Some(address),
        }
    }
}

/// Class of the request that bytes belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeClass {
    /// Request that may use the portion reserved for small requests.
    Small,
    /// Request that may not use it.
    Large,
}
