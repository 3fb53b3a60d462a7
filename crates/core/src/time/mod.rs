//! Points in time, in milliseconds.
//!
//! [`Millis`] is a point on an instance's monotonic clock. [`UnixMillis`] is a point in civil time,
//! which operators and other instances share. The separate types prevent comparing one with the
//! other. Durations are plain `u64` values whose names end in `_ms`.

use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

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
    /// Time of the boot clock at the start.
    boot_start: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            boot_start: boot_time(),
        }
    }
}

impl Clock {
    /// Current monotonic time.
    pub fn now(&self) -> Millis {
        Millis(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Time since the start that also includes time in suspension, in which [`Self::now`] stands still.
    /// Not comparable with [`Self::now`].
    pub fn boot_now(&self) -> Millis {
        let elapsed = boot_time().saturating_sub(self.boot_start);
        Millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    /// Current civil time; 0 if the system clock is before the Unix epoch.
    pub fn unix_now(&self) -> UnixMillis {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        UnixMillis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Time since the boot of the machine, including suspension.
fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
