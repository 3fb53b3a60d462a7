//! Reads and writes of the home region's ownership record.

use super::{plan, OwnedSlot, OwnershipPlan, OwnershipRecord, PauseGuard, Peer, PlanContext, Role};
use crate::time::Millis;

/// Compare-and-swap of the ownership record. It is safe to send repeatedly.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipWrite {
    /// Revision of the record that the write replaces; 0 if there is no record.
    pub base_revision: u64,
    /// The record to write.
    pub next: OwnershipRecord,
    /// Slots that must be suspended before the write is sent.
    pub suspended: Vec<(u16, Role)>,
}

/// Effect of a read of the ownership record on the limiter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipUpdate {
    /// Nothing has changed.
    Unchanged,
    /// The owned slots, to be passed to `Limiter::set_slots`.
    Owned(Vec<OwnedSlot>),
    /// The owned slots, which are valid again after a pause; to be passed to
    /// `Limiter::confirm_slots`.
    Confirmed(Vec<OwnedSlot>),
}

/// Reconciles the home region's ownership record with the current members.
///
/// A write whose answer is lost may take effect at any later time, so it stays pending until a read
/// returns a revision other than the one it was based on.
#[derive(Clone, Debug)]
pub struct OwnershipReconciler {
    me: Peer,
    pause_guard: PauseGuard,
    record: OwnershipRecord,
    revision: Option<u64>,
    pending_write: Option<OwnershipWrite>,
    /// Confirmation count that must be read back before the slots are valid again.
    awaited_confirmation: Option<u64>,
}

impl OwnershipReconciler {
    /// Creates a reconciler that has not read the record yet.
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

    /// Records a tick of the decision thread. Returns true after a long pause: the caller must then
    /// call `Limiter::invalidate_slots`.
    pub fn detect_pause(&mut self, now: Millis) -> bool {
        let has_paused = self.pause_guard.detect_pause(now);
        if has_paused {
            self.awaited_confirmation = None;
        }
        has_paused
    }

    /// Applies the record read at `revision` (0 if there is no record) by a read that began at
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

    /// Returns the write to send now, if any. Its slots must be suspended before it is sent, and
    /// the record must be read again afterwards, whatever the answer.
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

    /// Most recently read record.
    pub fn record(&self) -> &OwnershipRecord {
        &self.record
    }

    /// Whether the record holds the awaited confirmation of this instance.
    fn is_confirmation_stored(&self) -> bool {
        let count = self.record.confirmations.get(&self.me.instance);
        self.awaited_confirmation
            .is_some_and(|awaited| count == Some(&awaited))
    }

    /// Write that confirms the owned slots after a pause.
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
