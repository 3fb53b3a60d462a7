//! Points in time, in milliseconds.
//!
//! [`Millis`] is a point on an instance's monotonic clock. [`UnixMillis`] is a point in civil time,
//! which operators and other instances share. The separate types prevent comparing one with the
//! other. Durations are plain `u64` values whose names end in `_ms`.

use serde::{Deserialize, Serialize};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A point in time on one process's monotonic clock, in milliseconds since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Millis(pub u64);

impl Millis {
    /// Point in time `duration_ms` later, saturating at `u64::MAX`.
    pub const fn plus(self, duration_ms: u64) -> Self {
        Self(self.0.saturating_add(duration_ms))
    }

    /// Milliseconds from `earlier` to `self`, or 0 if `earlier` is not before `self`.
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A point in civil time, in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

/// Clock of one process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock {
    /// Current monotonic time.
    pub fn now(&self) -> Millis {
        Millis(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Current civil time; 0 if the system clock is before the Unix epoch.
    pub fn unix_now(&self) -> UnixMillis {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        UnixMillis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}
