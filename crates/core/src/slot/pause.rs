//! The rule that makes an owner harmless that wakes from a long pause.

use super::TOLERATED_PAUSE_MS;
use crate::time::Millis;

/// Watches the time between two ticks of the deciding thread.
///
/// After a gap longer than half the tolerated pause the instance's slots are void: another
/// instance may have taken them. They stay void until the store has answered a read that began
/// after the gap.
#[derive(Clone, Debug)]
pub struct PauseGuard {
    last_tick: Millis,
    invalid_since: Option<Millis>,
}

impl PauseGuard {
    /// A guard that starts at `now`, not void.
    pub fn new(now: Millis) -> Self {
        Self {
            last_tick: now,
            invalid_since: None,
        }
    }

    /// Notes a tick; true when the slots have just become void.
    pub fn detect_pause(&mut self, now: Millis) -> bool {
        let gap_ms = now.since(self.last_tick);
        self.last_tick = now;
        if gap_ms <= TOLERATED_PAUSE_MS / 2 {
            return false;
        }
        self.invalid_since = Some(now);
        true
    }

    /// Notes the answer to a read of the record that began at `read_began`; true when the slots
    /// of the record are valid from now on.
    pub fn confirm_read(&mut self, read_began: Millis) -> bool {
        match self.invalid_since {
            Some(since) if read_began < since => false,
            _ => {
                self.invalid_since = None;
                true
            }
        }
    }

    /// Slots may not be used.
    pub fn are_slots_invalid(&self) -> bool {
        self.invalid_since.is_some()
    }
}
