//! Counting requests in the order in which they began.
//!
//! Fast requests end before slow ones that began earlier. Were they counted as they end, then a
//! version whose share has just fallen would seem slow, since only its slow requests are left, and
//! one whose share has just grown would seem fast. So a request is counted once all earlier ones
//! of its route are, or are overdue.

use super::{RolloutTag, RouteTag, Sample, Side};
use crate::time::Millis;
use std::collections::{BTreeMap, VecDeque};

/// A request that has begun, at the instance that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestTicket {
    pub(super) rollout: RolloutTag,
    pub(super) route: RouteTag,
    number: u64,
}

/// A request whose turn to be counted has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Turn {
    pub(super) side: Side,
    /// What became of the request; none if it is overdue.
    pub(super) sample: Option<Sample>,
    /// Time since the request began, in milliseconds.
    pub(super) age_ms: u64,
}

#[derive(Clone, Debug)]
struct Pending {
    side: Side,
    began_at: Millis,
    sample: Option<Sample>,
    is_abandoned: bool,
}

/// The requests of one route that are not counted yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Cohort {
    pending: VecDeque<Pending>,
    // Number of the request at the front.
    front: u64,
    overdue: BTreeMap<u64, Side>,
}

impl Cohort {
    pub(super) fn begin(
        &mut self,
        rollout: RolloutTag,
        route: RouteTag,
        side: Side,
        now: Millis,
    ) -> RequestTicket {
        self.pending.push_back(Pending {
            side,
            began_at: now,
            sample: None,
            is_abandoned: false,
        });
        RequestTicket {
            rollout,
            route,
            number: self.front + self.pending.len() as u64 - 1,
        }
    }

    /// Takes what became of a request, and returns its version and whether it was counted as
    /// overdue before; none if it ended before.
    pub(super) fn end(&mut self, ticket: RequestTicket, sample: Sample) -> Option<(Side, bool)> {
        let Some(index) = ticket.number.checked_sub(self.front) else {
            return self.overdue.remove(&ticket.number).map(|side| (side, true));
        };
        let pending = self.pending.get_mut(usize::try_from(index).ok()?)?;
        if pending.sample.is_some() {
            return None;
        }
        pending.sample = Some(sample);
        Some((pending.side, false))
    }

    /// Leaves out a request that says nothing about its version.
    pub(super) fn abandon(&mut self, ticket: RequestTicket) {
        let Some(index) = ticket.number.checked_sub(self.front) else {
            self.overdue.remove(&ticket.number);
            return;
        };
        let index = usize::try_from(index).unwrap_or(usize::MAX);
        if let Some(pending) = self.pending.get_mut(index) {
            pending.is_abandoned = true;
        }
    }

    /// The next request to be counted, if its turn has come.
    pub(super) fn next_turn(&mut self, hold_ms: u64, now: Millis) -> Option<Turn> {
        while self.pending.front().is_some_and(|it| it.is_abandoned) {
            self.pending.pop_front();
            self.front += 1;
        }
        let front = self.pending.front()?;
        let age_ms = now.since(front.began_at);
        if front.sample.is_none() && age_ms < hold_ms {
            return None;
        }
        let pending = self.pending.pop_front()?;
        if pending.sample.is_none() {
            self.overdue.insert(self.front, pending.side);
        }
        self.front += 1;
        Some(Turn {
            side: pending.side,
            sample: pending.sample,
            age_ms,
        })
    }
}
