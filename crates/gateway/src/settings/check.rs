//! Validation of settings beyond their syntax.

use super::{CallerLimits, Settings};
use carobwheel_core::document::Fault;
use std::{fmt::Display, net::SocketAddr, ops::RangeInclusive};

const ALLOWED_THREADS: RangeInclusive<usize> = 1..=64;
const ALLOWED_MAX_REQUESTS: RangeInclusive<usize> = 1..=65_536;
const ALLOWED_MAX_BODY_BYTES_HELD: RangeInclusive<usize> = 1_000_000..=16_000_000_000;
const ALLOWED_BODY_TIMEOUT_MS: RangeInclusive<u64> = 100..=3_600_000;
const ALLOWED_MEMORY_MB: RangeInclusive<u64> = 64..=4_000_000;
const ALLOWED_DESCRIPTORS: RangeInclusive<u64> = 256..=1_048_576;
const ALLOWED_HEAD_TIMEOUT_MS: RangeInclusive<u64> = 100..=600_000;
const ALLOWED_IDLE_TIMEOUT_MS: RangeInclusive<u64> = 1_000..=3_600_000;
const ALLOWED_PROGRESS_WINDOW_MS: RangeInclusive<u64> = 500..=600_000;
const ALLOWED_MIN_BYTES_PER_S: RangeInclusive<u64> = 1..=1_000_000;
const ALLOWED_MAX_CONNECTIONS: RangeInclusive<usize> = 4..=1_000_000;
const ALLOWED_CONNECTIONS_PER_ADDRESS: RangeInclusive<usize> = 1..=1_000_000;
const ALLOWED_MEMORY_PCT: RangeInclusive<u8> = 1..=100;
const ALLOWED_STORE_TIMEOUT_MS: RangeInclusive<u64> = 10..=60_000;
const ALLOWED_ANNOUNCE_MS: RangeInclusive<u64> = 0..=600_000;
const ALLOWED_DRAIN_MS: RangeInclusive<u64> = 0..=86_400_000;
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Returns all faults of `settings`, in the order of its fields.
pub(super) fn faults(settings: &Settings) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_machine(settings, &mut faults);
    check_callers(settings, &mut faults);
    check_caller_limits(&settings.callers.limits, &mut faults);
    check_addresses(settings, &mut faults);
    if let Some(peers) = &settings.peers {
        let path = match peers.advertised_address {
            Some(_) => "peers.advertised_address",
            None => "peers.address",
        };
        check_reachable(path, peers.dialled_address(), &mut faults);
    }
    check_url("store.url", &settings.store.url, &mut faults);
    let timeout_ms = settings.store.timeout_ms;
    check_range(
        "store.timeout_ms",
        timeout_ms,
        &ALLOWED_STORE_TIMEOUT_MS,
        "ms",
        &mut faults,
    );
    if let Some(platform) = &settings.platform {
        check_url("platform.url", &platform.url, &mut faults);
    }
    for (upstream, credential) in &settings.upstream_credentials {
        if credential.is_empty() || !credential.bytes().all(|b| b.is_ascii_graphic()) {
            let path = format!("upstream_credentials.{upstream}");
            faults.push(Fault::new(path, "must be printable ASCII without spaces"));
        }
    }
    let shutdown = &settings.shutdown;
    check_range(
        "shutdown.announce_ms",
        shutdown.announce_ms,
        &ALLOWED_ANNOUNCE_MS,
        "ms",
        &mut faults,
    );
    check_range(
        "shutdown.drain_ms",
        shutdown.drain_ms,
        &ALLOWED_DRAIN_MS,
        "ms",
        &mut faults,
    );
    if !LOG_LEVELS.contains(&settings.log_level.as_str()) {
        let message = format!(
            "`{}` is not one of {}",
            settings.log_level,
            LOG_LEVELS.join(", ")
        );
        faults.push(Fault::new("log_level", message));
    }
    faults
}

fn check_callers(settings: &Settings, faults: &mut Vec<Fault>) {
    let callers = &settings.callers;
    check_reachable("callers.address", callers.address, faults);
    check_range(
        "callers.threads",
        callers.threads,
        &ALLOWED_THREADS,
        "threads",
        faults,
    );
    check_range(
        "callers.max_requests",
        callers.max_requests,
        &ALLOWED_MAX_REQUESTS,
        "requests",
        faults,
    );
    let held_bytes = callers.max_body_bytes_held;
    check_range(
        "callers.max_body_bytes_held",
        held_bytes,
        &ALLOWED_MAX_BODY_BYTES_HELD,
        "bytes",
        faults,
    );
    let timeout_ms = callers.body_timeout_ms;
    check_range(
        "callers.body_timeout_ms",
        timeout_ms,
        &ALLOWED_BODY_TIMEOUT_MS,
        "ms",
        faults,
    );
}

fn check_machine(settings: &Settings, faults: &mut Vec<Fault>) {
    if let Some(memory_mb) = settings.memory_mb {
        check_range("memory_mb", memory_mb, &ALLOWED_MEMORY_MB, "MB", faults);
    }
    if let Some(descriptors) = settings.descriptors {
        let range = &ALLOWED_DESCRIPTORS;
        check_range("descriptors", descriptors, range, "descriptors", faults);
    }
}

fn check_caller_limits(limits: &CallerLimits, faults: &mut Vec<Fault>) {
    let milliseconds = [
        (
            "head_timeout_ms",
            limits.head_timeout_ms,
            &ALLOWED_HEAD_TIMEOUT_MS,
        ),
        (
            "idle_timeout_ms",
            limits.idle_timeout_ms,
            &ALLOWED_IDLE_TIMEOUT_MS,
        ),
        (
            "progress_window_ms",
            limits.progress_window_ms,
            &ALLOWED_PROGRESS_WINDOW_MS,
        ),
    ];
    for (name, value, range) in milliseconds {
        check_range(&limit_path(name), value, range, "ms", faults);
    }
    check_range(
        &limit_path("min_bytes_per_s"),
        limits.min_bytes_per_s,
        &ALLOWED_MIN_BYTES_PER_S,
        "bytes a second",
        faults,
    );
    let counts = [
        (
            "max_connections",
            limits.max_connections,
            &ALLOWED_MAX_CONNECTIONS,
        ),
        (
            "max_connections_per_address",
            limits.max_connections_per_address,
            &ALLOWED_CONNECTIONS_PER_ADDRESS,
        ),
    ];
    for (name, count, range) in counts {
        if let Some(count) = count {
            check_range(&limit_path(name), count, range, "connections", faults);
        }
    }
    let shares = [
        ("account_memory_pct", limits.account_memory_pct),
        ("address_memory_pct", limits.address_memory_pct),
    ];
    for (name, pct) in shares {
        check_range(&limit_path(name), pct, &ALLOWED_MEMORY_PCT, "%", faults);
    }
}

fn limit_path(name: &str) -> String {
    format!("callers.limits.{name}")
}

// Checks that the TCP addresses for callers and operators differ.
fn check_addresses(settings: &Settings, faults: &mut Vec<Fault>) {
    let Some(operators) = settings.operators_address else {
        return;
    };
    if operators == settings.callers.address && operators.port() != 0 {
        let message = format!("{operators} is already the address for callers");
        faults.push(Fault::new("operators_address", message));
    }
}

// Checks that an address can be passed on: other instances cannot reach an unspecified one.
fn check_reachable(path: &str, address: SocketAddr, faults: &mut Vec<Fault>) {
    if address.ip().is_unspecified() {
        let message =
            format!("{address} is unspecified; an address that others can reach is needed");
        faults.push(Fault::new(path, message));
    }
}

fn check_range<T>(
    path: &str,
    value: T,
    range: &RangeInclusive<T>,
    unit: &str,
    faults: &mut Vec<Fault>,
) where
    T: PartialOrd + Display,
{
    if !range.contains(&value) {
        let (low, high) = (range.start(), range.end());
        let message = format!("{value} {unit} is outside {low} to {high}");
        faults.push(Fault::new(path, message));
    }
}

fn check_url(path: &str, value: &str, faults: &mut Vec<Fault>) {
    let host = value
        .strip_prefix("http://")
        .or_else(|| value.strip_prefix("https://"));
    if !host.is_some_and(|host| !host.is_empty() && !host.contains(['/', '?', '#', '@', ' '])) {
        faults.push(Fault::new(path, "must be an HTTP base URL without a path"));
    }
}
