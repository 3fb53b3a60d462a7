//! State of one duty's lease, which the store's thread and the event loop share.

use carobwheel_core::{
    duty::{DutyLease, DutyRules},
    id::InstanceId,
};
use std::{
    fmt,
    sync::{Arc, Mutex, PoisonError},
};

/// State machine of one duty. Both threads use it, so that the end of a term on one of them is in force
/// at once on the other.
#[derive(Clone)]
pub(super) struct SharedLease {
    rules: DutyRules,
    duty: Arc<Mutex<DutyLease>>,
}

impl SharedLease {
    pub(super) fn new(holder: InstanceId, rules: DutyRules) -> Self {
        Self {
            rules,
            duty: Arc::new(Mutex::new(DutyLease::new(holder, rules))),
        }
    }

    pub(super) fn rules(&self) -> DutyRules {
        self.rules
    }

    /// Uses the state machine, which takes microseconds.
    pub(super) fn with<T>(&self, work: impl FnOnce(&mut DutyLease) -> T) -> T {
        let mut duty = self.duty.lock().unwrap_or_else(PoisonError::into_inner);
        work(&mut duty)
    }
}

impl fmt::Debug for SharedLease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedLease")
    }
}
