//! Order in which connections are closed for others when there are too many.

use carobwheel_core::time::Millis;

/// Shortest time without a request after which a connection may be closed for another one, in
/// milliseconds. The head of a request follows its connection within a round trip.
const MIN_WITHOUT_REQUEST_MS: u64 = 300;
/// Shortest idle time of a connection on which requests were served, in milliseconds. The caller may be
/// about to send the next one.
const MIN_IDLE_MS: u64 = 1_000;
/// Shortest time without a byte of an incomplete body, in milliseconds.
const MIN_BODY_STALL_MS: u64 = 1_000;
/// Shortest time for which a caller has not read any of its answer, in milliseconds. Longer than a
/// retransmission between regions.
const MIN_UNREAD_MS: u64 = 2_000;

/// Kind of a connection that may be closed for another one, in the order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    /// No request was read on it.
    WithoutRequest,
    /// The body of its request has stopped.
    IncompleteBody,
    /// It is idle after a request.
    Idle,
    /// The caller does not read its answer.
    Unread,
}

/// Rank of a connection in the order of eviction: the lowest is closed first, of one kind the one with
/// the earliest progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    kind: Kind,
    since: Millis,
}

impl EvictionRank {
    /// Connection on which no head of a request has arrived since its start.
    pub(super) fn without_request(since: Millis, now: Millis) -> Option<Self> {
        Self::after(Kind::WithoutRequest, since, now, MIN_WITHOUT_REQUEST_MS)
    }

    /// Connection that is idle after a request.
    pub(super) fn idle(since: Millis, now: Millis) -> Option<Self> {
        Self::after(Kind::Idle, since, now, MIN_IDLE_MS)
    }

    /// Connection on which nothing of an incomplete body has arrived since this time.
    pub(super) fn incomplete_body(since: Millis, now: Millis) -> Option<Self> {
        Self::after(Kind::IncompleteBody, since, now, MIN_BODY_STALL_MS)
    }

    /// Connection whose caller has read nothing of its answer since this time.
    pub(super) fn unread(since: Millis, now: Millis) -> Option<Self> {
        Self::after(Kind::Unread, since, now, MIN_UNREAD_MS)
    }

    fn after(kind: Kind, since: Millis, now: Millis, min_ms: u64) -> Option<Self> {
        (now.since(since) >= min_ms).then_some(Self { kind, since })
    }
}
