//! Connections of callers in front of Rocket.
//!
//! Rocket 0.5 opens its listener itself and sets no limit on heads, connections or slow readers.
//! The connections are therefore accepted and read here, with hyper, and each request is handed to
//! Rocket in memory; routes, handlers and catchers stay Rocket's.

mod activity;
mod connections;
mod exchange;
mod listen;
mod request_body;

pub(crate) use exchange::remote_address;
pub use listen::{launch, Server};
pub(crate) use request_body::IncomingBody;

use crate::settings::{CallerLimits, Settings};
use carobwheel_core::memory::MemoryLimits;
use std::{
    fs,
    sync::atomic::{AtomicU64, Ordering},
};

/// Memory assumed if the system does not report it, in MB: that of the smallest machine.
const DEFAULT_MEMORY_MB: u64 = 120;
/// Descriptor limit assumed if the system does not report it.
const DEFAULT_DESCRIPTORS: u64 = 1_024;
/// Divisor of the descriptors that gives the connections of callers: each request may need another
/// descriptor for its upstream, and threads, store, logs and links need some.
const CALLER_DIVISOR: u64 = 3;
/// Divisor of the descriptors that gives the connections of operators.
const OPERATOR_DIVISOR: u64 = 32;
const BYTES_PER_MB: u64 = 1_024 * 1_024;

/// Reason why a connection or a request was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// The head of a request did not arrive in time.
    SlowHead,
    /// The connection was idle for too long.
    Idle,
    /// The caller did not read its answer.
    SlowReader,
    /// Too many connections in all.
    Connections,
    /// Too many connections from one address.
    ConnectionsOfAddress,
    /// A body did not arrive at the minimum rate.
    SlowBody,
    /// A body was given up for others that made progress.
    GivenUp,
    /// The memory for callers is used up.
    Memory,
}

impl DropReason {
    /// All reasons, in the order of their counters.
    pub const ALL: [Self; 8] = [
        Self::SlowHead,
        Self::Idle,
        Self::SlowReader,
        Self::Connections,
        Self::ConnectionsOfAddress,
        Self::SlowBody,
        Self::GivenUp,
        Self::Memory,
    ];

    /// Label in metrics and logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::SlowHead => "slow_head",
            Self::Idle => "idle",
            Self::SlowReader => "slow_reader",
            Self::Connections => "connections",
            Self::ConnectionsOfAddress => "connections_of_address",
            Self::SlowBody => "slow_body",
            Self::GivenUp => "given_up",
            Self::Memory => "memory",
        }
    }
}

/// Numbers of connections and requests dropped, by reason.
#[derive(Debug, Default)]
pub struct DropCounters {
    counts: [AtomicU64; DropReason::ALL.len()],
}

impl DropCounters {
    /// Counts a dropped connection or request.
    pub fn add(&self, reason: DropReason) {
        if let Some(count) = self.counts.get(reason as usize) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number dropped for `reason` since the start.
    pub fn get(&self, reason: DropReason) -> u64 {
        let count = self.counts.get(reason as usize);
        count.map_or(0, |count| count.load(Ordering::Relaxed))
    }
}

/// Limits of a server's connections.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Time limits and minimum rates.
    pub callers: CallerLimits,
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum number of connections from one address.
    pub max_per_address: usize,
}

impl ConnectionLimits {
    /// Returns the limits of the server for callers.
    pub fn for_callers(settings: &Settings) -> Self {
        let limits = &settings.callers.limits;
        let max_connections = limits
            .max_connections
            .unwrap_or_else(|| share_of_descriptors(settings, CALLER_DIVISOR));
        Self {
            max_connections,
            max_per_address: limits
                .max_connections_per_address
                .unwrap_or(max_connections / 4 * 3)
                .max(1),
            callers: limits.clone(),
        }
    }

    /// Returns the limits of the server for operators.
    pub fn for_operators(settings: &Settings) -> Self {
        let max_connections = share_of_descriptors(settings, OPERATOR_DIVISOR);
        Self {
            max_connections,
            max_per_address: max_connections,
            callers: settings.callers.limits.clone(),
        }
    }
}

/// Returns the sizes of the account of the memory for callers.
pub fn memory_limits(settings: &Settings) -> MemoryLimits {
    let memory_mb = settings
        .memory_mb
        .or_else(system_memory_mb)
        .unwrap_or(DEFAULT_MEMORY_MB);
    let of_machine = MemoryLimits::for_machine(usize::try_from(memory_mb).unwrap_or(usize::MAX));
    let held_bytes = settings.callers.max_body_bytes_held;
    let total_bytes = of_machine.total_bytes.min(held_bytes);
    let limits = &settings.callers.limits;
    let share = |pct: u8| total_bytes / 100 * usize::from(pct);
    MemoryLimits {
        account_bytes: share(limits.account_memory_pct),
        address_bytes: share(limits.address_memory_pct),
        ..MemoryLimits::of_total(total_bytes)
    }
}

/// Returns the descriptors of the process divided by `divisor`.
fn share_of_descriptors(settings: &Settings, divisor: u64) -> usize {
    let descriptors = settings
        .descriptors
        .or_else(system_descriptors)
        .unwrap_or(DEFAULT_DESCRIPTORS);
    usize::try_from(descriptors / divisor).unwrap_or(usize::MAX)
}

/// Returns the memory that the process may use: that of the machine or of its control group.
fn system_memory_mb() -> Option<u64> {
    let machine = fs::read_to_string("/proc/meminfo").ok();
    let machine_mb = machine.and_then(|text| {
        let line = text.lines().find(|line| line.starts_with("MemTotal:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1_024)
    });
    let group = fs::read_to_string("/sys/fs/cgroup/memory.max").ok();
    let group_mb = group.and_then(|text| Some(text.trim().parse::<u64>().ok()? / BYTES_PER_MB));
    machine_mb.into_iter().chain(group_mb).min()
}

/// Returns the soft limit of file descriptors of the process.
fn system_descriptors() -> Option<u64> {
    let limits = fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find(|it| it.starts_with("Max open files"))?;
    line.split_whitespace().nth(3)?.parse().ok()
}
