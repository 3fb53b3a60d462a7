//! Detection of long pauses of this process, after which its slots are invalid.

use super::TOLERATED_PAUSE_MS;
use crate::time::Millis;

/// Detects pauses from the time between ticks of the decision thread.
///
/// After a gap longer than half of [`TOLERATED_PAUSE_MS`] the instance's slots are invalid, because
/// another instance may have claimed them. They stay invalid until the store has answered a read
/// that began after the gap.
#[derive(Clone, Debug)]
pub struct PauseGuard {
    last_tick: Millis,
    invalid_since: Option<Millis>,
}

impl PauseGuard {
    /// Creates a guard whose first tick is at `now`, with valid slots.
    pub fn new(now: Millis) -> Self {
        Self {
            last_tick: now,
            invalid_since: None,
        }
    }

    /// Records a tick. Returns true if the slots have become invalid because of the gap before it.
    pub fn detect_pause(&mut self, now: Millis) -> bool {
        let gap_ms = now.since(self.last_tick);
        self.last_tick = now;
        if gap_ms <= TOLERATED_PAUSE_MS / 2 {
            return false;
        }
        self.invalid_since = Some(now);
        true
    }

    /// Applies the answer to a read of the record that began at `read_began`. Returns true if the
    /// slots of the record are valid.
    pub fn confirm_read(&mut self, read_began: Millis) -> bool {
        match self.invalid_since {
            Some(since) if read_began < since => false,
            _ => {
                self.invalid_since = None;
                true
            }
        }
    }

    /// Whether the slots are invalid and must not be used.
    pub fn are_slots_invalid(&self) -> bool {
        self.invalid_since.is_some()
    }
}
