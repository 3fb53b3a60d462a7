//! Memory and descriptors of the machine, from the settings or from the system.

use super::Settings;
use std::fs;

/// Memory that is assumed if neither the settings nor the system state it, in MB: that of the smallest
/// machine.
const ASSUMED_MEMORY_MB: usize = 120;
/// Descriptor limit that is assumed if neither the settings nor the system state it.
const ASSUMED_DESCRIPTORS: usize = 1_024;
/// Divisor of the descriptors that gives the number of idle connections to upstreams.
const IDLE_UPSTREAM_DIVISOR: usize = 12;

/// Limits of the machine on which the instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory, in MB.
    pub memory_mb: usize,
    /// Open file descriptors.
    pub max_descriptors: usize,
}

impl Machine {
    /// Maximum number of idle connections to upstreams that are kept for the next request.
    pub const fn max_idle_upstreams(&self) -> usize {
        self.max_descriptors / IDLE_UPSTREAM_DIVISOR
    }

    /// Limits that the settings state, or else those that the system reports.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn of(settings: &Settings) -> Self {
        let memory_mb = settings.memory_mb.map(|mb| mb as usize);
        Self {
            memory_mb: memory_mb.unwrap_or_else(system_memory_mb),
            max_descriptors: settings.max_descriptors.unwrap_or_else(system_descriptors),
        }
    }
}

/// Memory of the machine or of the control group of the process, whichever is smaller, in MB.
fn system_memory_mb() -> usize {
    let whole = fs::read_to_string("/proc/meminfo").ok();
    let whole = whole.as_deref().and_then(|text| {
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("MemTotal:"))?;
        line.trim().strip_suffix(" kB")?.parse::<usize>().ok()
    });
    let group = fs::read_to_string("/sys/fs/cgroup/memory.max").ok();
    let group = group.and_then(|text| text.trim().parse::<usize>().ok());
    let limits = [whole.map(|kb| kb >> 10), group.map(|bytes| bytes >> 20)];
    let least = limits.into_iter().flatten().min();
    least.unwrap_or(ASSUMED_MEMORY_MB)
}

/// Soft limit of the process on open files.
fn system_descriptors() -> usize {
    let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"));
    let soft = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    soft.unwrap_or(ASSUMED_DESCRIPTORS)
}
