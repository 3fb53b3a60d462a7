//! Reading and writing the record of owners of the own region.

use super::{plan, OwnedSlot, OwnershipPlan, OwnershipRecord, PauseGuard, Peer, PlanContext, Role};
use crate::time::Millis;

/// A compare-and-swap of the record, to be sent as often as needed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipWrite {
    /// Revision of the record that the write replaces; 0 if there is none.
    pub base_revision: u64,
    /// The record to write.
    pub next: OwnershipRecord,
    /// Slots to suspend before the write is sent.
    pub suspended: Vec<(u16, Role)>,
}

/// What a read of the record means for the limiter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipUpdate {
    /// Nothing has changed.
    Unchanged,
    /// These slots are owned; hand them to `Limiter::set_slots`.
    Owned(Vec<OwnedSlot>),
    /// These slots are owned and valid again after a pause; hand them to `Limiter::confirm`.
    Confirmed(Vec<OwnedSlot>),
}

/// Keeps the record of owners of the own region in step with the members.
///
/// A write whose answer is lost may take effect at any later time, so it stays undecided until a
/// read shows a revision other than the one it was based on.
#[derive(Clone, Debug)]
pub struct OwnershipReconciler {
    me: Peer,
    pause_guard: PauseGuard,
    record: OwnershipRecord,
    revision: Option<u64>,
    pending_write: Option<OwnershipWrite>,
    /// The number of confirmations that has to be read before the slots are valid.
    awaited_confirmation: Option<u64>,
}

impl OwnershipReconciler {
    /// A keeper that has read nothing.
    pub fn new(me: Peer, now: Millis) -> Self {
        Self {
            me,
            pause_guard: PauseGuard::new(now),
            record: OwnershipRecord::default(),
            revision: None,
            pending_write: None,
            awaited_confirmation: None,
        }
    }

    /// Notes a tick of the deciding thread; true when the limiter has to be made void.
    pub fn detect_pause(&mut self, now: Millis) -> bool {
        let has_paused = self.pause_guard.detect_pause(now);
        if has_paused {
            self.awaited_confirmation = None;
        }
        has_paused
    }

    /// Takes the record read at `revision` (0 if there is none) by a read that began at
    /// `read_began`.
    pub fn on_read(
        &mut self,
        revision: u64,
        record: OwnershipRecord,
        read_began: Millis,
    ) -> OwnershipUpdate {
        if self.revision.is_some_and(|known| revision < known) {
            return OwnershipUpdate::Unchanged;
        }
        let is_new = self.revision != Some(revision);
        self.revision = Some(revision);
        self.record = record;
        if self
            .pending_write
            .as_ref()
            .is_some_and(|write| write.base_revision != revision)
        {
            self.pending_write = None;
        }
        let owned = self.record.owned_by(&self.me);
        if self.pause_guard.are_slots_invalid() {
            let is_confirmed = owned.is_empty() || self.is_confirmation_stored();
            if !is_confirmed || !self.pause_guard.confirm_read(read_began) {
                return OwnershipUpdate::Unchanged;
            }
            self.awaited_confirmation = None;
            return OwnershipUpdate::Confirmed(owned);
        }
        if !is_new || self.pending_write.is_some() {
            return OwnershipUpdate::Unchanged;
        }
        OwnershipUpdate::Owned(owned)
    }

    /// The write to send now, if any. Its slots have to be suspended first, and the record read
    /// again after it, whatever its answer.
    pub fn next_write(&mut self, context: &PlanContext<'_>) -> Option<OwnershipWrite> {
        if self.pending_write.is_some() {
            return self.pending_write.clone();
        }
        let base_revision = self.revision?;
        let write = if self.pause_guard.are_slots_invalid() {
            self.confirmation_write(base_revision)?
        } else {
            let OwnershipPlan {
                next, handed_over, ..
            } = plan(&self.record, context)?;
            OwnershipWrite {
                base_revision,
                next,
                suspended: handed_over,
            }
        };
        self.pending_write = Some(write.clone());
        Some(write)
    }

    /// The record as last read.
    pub fn record(&self) -> &OwnershipRecord {
        &self.record
    }

    fn is_confirmation_stored(&self) -> bool {
        let count = self.record.confirmations.get(&self.me.instance);
        self.awaited_confirmation
            .is_some_and(|awaited| count == Some(&awaited))
    }

    fn confirmation_write(&mut self, base_revision: u64) -> Option<OwnershipWrite> {
        if self.record.owned_by(&self.me).is_empty() {
            return None;
        }
        let mut next = self.record.clone();
        let count = next
            .confirmations
            .entry(self.me.instance.clone())
            .or_default();
        *count += 1;
        self.awaited_confirmation = Some(*count);
        Some(OwnershipWrite {
            base_revision,
            next,
            suspended: Vec::new(),
        })
    }
}
