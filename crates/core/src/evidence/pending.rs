//! Pending requests, which are counted in the order in which they began.
//!
//! Fast requests end before slow ones that began earlier. If requests were counted when they end, a
//! version whose share has just decreased would seem slow, since only its slow requests are left,
//! and one whose share has just increased would seem fast. Therefore a request is counted only
//! after all earlier requests of its route were counted, if necessary as overdue.

use super::{RolloutTag, RouteTag, Sample, Side};
use crate::time::Millis;
use std::collections::{BTreeMap, VecDeque};

/// Handle of a request in progress, at the instance that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestTicket {
    pub(super) rollout: RolloutTag,
    pub(super) route: RouteTag,
    number: u64,
}

/// Request that is next to be counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CountableRequest {
    pub(super) side: Side,
    /// Outcome of the request, or `None` if it is overdue.
    pub(super) sample: Option<Sample>,
    /// Time since the request began, in milliseconds.
    pub(super) age_ms: u64,
}

#[derive(Clone, Debug)]
struct PendingRequest {
    side: Side,
    began_at: Millis,
    sample: Option<Sample>,
    is_abandoned: bool,
}

/// Requests of one route that have not been counted yet.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingRequests {
    pending: VecDeque<PendingRequest>,
    // Number of the first pending request.
    first_number: u64,
    overdue: BTreeMap<u64, Side>,
}

impl PendingRequests {
    pub(super) fn begin(
        &mut self,
        rollout: RolloutTag,
        route: RouteTag,
        side: Side,
        now: Millis,
    ) -> RequestTicket {
        self.pending.push_back(PendingRequest {
            side,
            began_at: now,
            sample: None,
            is_abandoned: false,
        });
        RequestTicket {
            rollout,
            route,
            number: self.first_number + self.pending.len() as u64 - 1,
        }
    }

    /// Records the outcome of a request. Returns its version and whether it was already counted as
    /// overdue, or `None` if it had already ended.
    pub(super) fn end(&mut self, ticket: RequestTicket, sample: Sample) -> Option<(Side, bool)> {
        let Some(index) = ticket.number.checked_sub(self.first_number) else {
            return self.overdue.remove(&ticket.number).map(|side| (side, true));
        };
        let pending = self.pending.get_mut(usize::try_from(index).ok()?)?;
        if pending.sample.is_some() {
            return None;
        }
        pending.sample = Some(sample);
        Some((pending.side, false))
    }

    /// Excludes a request whose outcome is not evidence about its version.
    pub(super) fn abandon(&mut self, ticket: RequestTicket) {
        let Some(index) = ticket.number.checked_sub(self.first_number) else {
            self.overdue.remove(&ticket.number);
            return;
        };
        let index = usize::try_from(index).unwrap_or(usize::MAX);
        if let Some(pending) = self.pending.get_mut(index) {
            pending.is_abandoned = true;
        }
    }

    /// Removes and returns the next request to be counted, if it has ended or is overdue.
    pub(super) fn next_countable(
        &mut self,
        overdue_after_ms: u64,
        now: Millis,
    ) -> Option<CountableRequest> {
        while self.pending.front().is_some_and(|it| it.is_abandoned) {
            self.pending.pop_front();
            self.first_number += 1;
        }
        let front = self.pending.front()?;
        let age_ms = now.since(front.began_at);
        if front.sample.is_none() && age_ms < overdue_after_ms {
            return None;
        }
        let pending = self.pending.pop_front()?;
        if pending.sample.is_none() {
            self.overdue.insert(self.first_number, pending.side);
        }
        self.first_number += 1;
        Some(CountableRequest {
            side: pending.side,
            sample: pending.sample,
            age_ms,
        })
    }
}
