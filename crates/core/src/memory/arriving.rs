//! Bodies that are being received, and their progress.

use super::{account::Reservation, Owner};
use crate::time::Millis;
use std::collections::BTreeMap;

/// Bytes that count as progress. Fewer do not, so that an occasional byte does not keep a body.
const PROGRESS_BYTES: usize = 4 * 1024;
/// Shortest time without progress after which a body may be given up, in milliseconds. A sender within
/// the limits may pause for a retransmission.
const MIN_STALL_MS: u64 = 500;

/// Identifies a body that is being received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(u64);

/// A body, with the time of its last progress and the bytes received since.
#[derive(Debug)]
struct Body {
    /// `None` only while it is changed.
    reservation: Option<Reservation>,
    progressed_at: Millis,
    bytes_since: usize,
    is_given_up: bool,
}

/// Bodies that are being received.
#[derive(Debug, Default)]
pub(super) struct Arriving {
    bodies: BTreeMap<BodyId, Body>,
    opened: u64,
}

impl Arriving {
    /// Number of bodies.
    pub(super) fn len(&self) -> usize {
        self.bodies.len()
    }

    /// Adds a body, which has progressed now.
    pub(super) fn insert(&mut self, reservation: Reservation, now: Millis) -> BodyId {
        let id = BodyId(self.opened);
        self.opened += 1;
        let body = Body {
            reservation: Some(reservation),
            progressed_at: now,
            bytes_since: 0,
            is_given_up: false,
        };
        self.bodies.insert(id, body);
        id
    }

    /// Takes the reservation of a body to change it; `None` if the body was given up.
    pub(super) fn take_reservation(&mut self, id: BodyId) -> Option<Reservation> {
        let body = self.bodies.get_mut(&id).filter(|body| !body.is_given_up)?;
        body.reservation.take()
    }

    /// Puts back a reservation, and records progress at the given time, if any.
    pub(super) fn put_reservation(
        &mut self,
        id: BodyId,
        reservation: Reservation,
        progressed_at: Option<Millis>,
    ) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.reservation = Some(reservation);
            body.progressed_at = progressed_at.unwrap_or(body.progressed_at);
        }
    }

    /// Counts received bytes as progress once there are [`PROGRESS_BYTES`].
    pub(super) fn progress(&mut self, id: BodyId, bytes: usize, now: Millis) {
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        body.bytes_since = body.bytes_since.saturating_add(bytes);
        if body.bytes_since >= PROGRESS_BYTES {
            body.bytes_since = 0;
            body.progressed_at = now;
        }
    }

    /// Removes a body and returns its reservation.
    pub(super) fn remove(&mut self, id: BodyId) -> Option<Reservation> {
        self.bodies.remove(&id)?.reservation
    }

    /// Marks the body with the least recent progress as given up; of several, the largest.
    pub(super) fn give_up(
        &mut self,
        counts: impl Fn(&Owner) -> bool,
        now: Millis,
    ) -> Option<BodyId> {
        let candidates = self.bodies.iter().filter(|(_, body)| {
            let reservation = body.reservation.as_ref();
            let is_counted = reservation.is_some_and(|it| it.bytes > 0 && counts(&it.owner));
            is_counted && !body.is_given_up && now.since(body.progressed_at) >= MIN_STALL_MS
        });
        let rank = |body: &Body| {
            let bytes = body.reservation.as_ref().map_or(0, |it| it.bytes);
            (body.progressed_at, std::cmp::Reverse(bytes))
        };
        let (id, _) = candidates.min_by_key(|(_, body)| rank(body))?;
        let id = *id;
        if let Some(body) = self.bodies.get_mut(&id) {
            body.is_given_up = true;
        }
        Some(id)
    }
}
