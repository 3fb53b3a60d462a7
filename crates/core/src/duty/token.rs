//! Fencing token of a duty.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of revisions of the store in one era.
const REVISIONS_PER_ERA: u64 = 1 << 40;

/// Fencing token of a duty: the store's era and the revision at which the holder's key was created.
/// Revisions may be given out again after a restore of the store, but its era increases then.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DutyToken(pub u64);

impl DutyToken {
    /// Token of a key that was created at `revision` of `era`; `None` if it cannot be represented.
    pub fn new(era: u64, revision: u64) -> Option<Self> {
        if revision >= REVISIONS_PER_ERA {
            return None;
        }
        let base = era.checked_mul(REVISIONS_PER_ERA)?;
        base.checked_add(revision).map(Self)
    }

    /// Revision at which the holder's key was created.
    pub fn revision(self) -> u64 {
        self.0 % REVISIONS_PER_ERA
    }
}

impl fmt::Display for DutyToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
