//! Division of a brittle upstream's places among the instances of a region.

use crate::slot::rendezvous_score_of;
use std::cmp::Reverse;

/// Smallest share of an instance, in places. Instances beyond the number that this allows get none.
const MIN_PLACES: u32 = 4;
/// Divisor of the places that gives those left free: a request may hold one before it is counted.
const SPARE_DIVISOR: u32 = 16;
/// Divisor of the places that gives the largest number of borrowers. All of them may borrow at the same
/// moment, and the places that are never lent take these requests.
const SLOTS_PER_BORROWER: u32 = 4;
/// Rejections a second for each borrower. Each of them has one request rejected, and makes a holder's
/// request be rejected, before both pause.
const REJECTIONS_PER_BORROWER: u32 = 2;

/// Number of instances that repeat the statement of an upstream to the others.
const REPORTERS: u32 = 2;

/// What a brittle upstream takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrittleCapacity {
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Rejections that it endures, per second.
    pub max_rejections_per_s: u32,
}

impl BrittleCapacity {
    /// Places that are divided among the instances.
    fn divided_places(self) -> u32 {
        let slots = self.slots.max(1);
        slots - slots / SPARE_DIVISOR
    }

    /// Largest number of instances that hold places.
    fn max_holders(self) -> u32 {
        (self.divided_places() / MIN_PLACES).max(1)
    }
}

/// Part of an upstream's places that one instance may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrittleShare {
    /// Requests that it may have in flight at any time.
    pub places: u32,
    /// Whether it may use free places beyond these.
    pub is_borrower: bool,
    /// Number of instances that may.
    pub borrowers: u32,
    /// Whether it repeats the upstream's statement to the other instances.
    pub is_reporter: bool,
}

impl BrittleShare {
    /// Share of the instance `own` among the `others` of its region. All instances compute the same
    /// division.
    pub fn choose<'a>(
        own: &str,
        others: impl Iterator<Item = &'a str>,
        upstream: &str,
        capacity: BrittleCapacity,
    ) -> Self {
        let score = |instance: &str| rendezvous_score_of(instance, upstream.as_bytes());
        let own_score = score(own);
        let (mut instances, mut rank) = (1_u32, 0_u32);
        for other in others {
            instances += 1;
            rank += u32::from(score(other) > own_score);
        }
        Self::of_rank(rank, instances, capacity)
    }

    /// Share of the instance of this rank, from 0. The last ones in rank borrow, since they have no
    /// places if there are more instances than holders.
    fn of_rank(rank: u32, instances: u32, capacity: BrittleCapacity) -> Self {
        let divided = capacity.divided_places();
        let holders = instances.min(capacity.max_holders());
        let remainder = u32::from(rank < divided % holders);
        let borrowers = instances
            .min(capacity.slots / SLOTS_PER_BORROWER)
            .min(capacity.max_rejections_per_s / REJECTIONS_PER_BORROWER);
        Self {
            places: if rank < holders {
                divided / holders + remainder
            } else {
                0
            },
            is_borrower: rank >= instances - borrowers,
            borrowers,
            is_reporter: rank < REPORTERS,
        }
    }
}

/// Instances that hold places of `upstream`, among those of a region.
pub fn brittle_holders_among<T: AsRef<str>>(
    mut instances: Vec<T>,
    upstream: &str,
    capacity: BrittleCapacity,
) -> Vec<T> {
    instances.sort_by_cached_key(|instance| {
        Reverse(rendezvous_score_of(instance.as_ref(), upstream.as_bytes()))
    });
    instances.truncate(capacity.max_holders() as usize);
    instances
}
