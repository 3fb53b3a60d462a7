//! Decisions on requests and changes of parts' states.

use super::PartId;

/// Decision on a request, by its shared prompt parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    /// The request may be sent.
    Open,
    /// A part is suspected and another request with it is in flight here: wait for its outcome.
    Wait {
        /// The suspected part.
        part: PartId,
    },
    /// A part is held: refuse the request.
    Held {
        /// The held part.
        part: PartId,
        /// Time until the hold lapses, in milliseconds.
        left_ms: u64,
    },
}

/// Change of a part's state, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldChange {
    /// Requests with the part are refused from now on.
    Held {
        /// The part.
        part: PartId,
        /// Number of separate crashes that speak against it.
        crashes: u32,
        /// Duration of the hold, in milliseconds.
        for_ms: u64,
    },
    /// An answer cleared the part.
    Released {
        /// The part.
        part: PartId,
    },
    /// The hold has lapsed; the next crash renews it.
    Lapsed {
        /// The part.
        part: PartId,
    },
}
