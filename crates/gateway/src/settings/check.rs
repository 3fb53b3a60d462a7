//! The rules of settings beyond their syntax.

use super::Settings;
use carobwheel_core::document::Fault;
use std::{fmt::Display, net::SocketAddr, ops::RangeInclusive};

const THREADS: RangeInclusive<usize> = 1..=64;
const MAX_REQUESTS: RangeInclusive<usize> = 1..=65_536;
const MAX_BODY_BYTES_HELD: RangeInclusive<usize> = 1_000_000..=16_000_000_000;
const BODY_TIMEOUT_MS: RangeInclusive<u64> = 100..=3_600_000;
const STORE_TIMEOUT_MS: RangeInclusive<u64> = 10..=60_000;
const ANNOUNCE_MS: RangeInclusive<u64> = 0..=600_000;
const DRAIN_MS: RangeInclusive<u64> = 0..=86_400_000;
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// All faults of `settings`, in the order of its fields.
pub(super) fn faults(settings: &Settings) -> Vec<Fault> {
    let mut faults = Vec::new();
    callers(settings, &mut faults);
    addresses(settings, &mut faults);
    if let Some(peers) = &settings.peers {
        let path = match peers.advertised_address {
            Some(_) => "peers.advertised_address",
            None => "peers.address",
        };
        reachable(path, peers.dialled_address(), &mut faults);
    }
    url("store.url", &settings.store.url, &mut faults);
    let timeout_ms = settings.store.timeout_ms;
    range(
        "store.timeout_ms",
        timeout_ms,
        &STORE_TIMEOUT_MS,
        "ms",
        &mut faults,
    );
    if let Some(platform) = &settings.platform {
        url("platform.url", &platform.url, &mut faults);
    }
    for (upstream, credential) in &settings.upstream_credentials {
        if credential.is_empty() || !credential.bytes().all(|b| b.is_ascii_graphic()) {
            let path = format!("upstream_credentials.{upstream}");
            faults.push(Fault::new(path, "has to be printable ASCII without spaces"));
        }
    }
    let shutdown = &settings.shutdown;
    range(
        "shutdown.announce_ms",
        shutdown.announce_ms,
        &ANNOUNCE_MS,
        "ms",
        &mut faults,
    );
    range(
        "shutdown.drain_ms",
        shutdown.drain_ms,
        &DRAIN_MS,
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

fn callers(settings: &Settings, faults: &mut Vec<Fault>) {
    let callers = &settings.callers;
    reachable("callers.address", callers.address, faults);
    range(
        "callers.threads",
        callers.threads,
        &THREADS,
        "threads",
        faults,
    );
    range(
        "callers.max_requests",
        callers.max_requests,
        &MAX_REQUESTS,
        "requests",
        faults,
    );
    let held_bytes = callers.max_body_bytes_held;
    range(
        "callers.max_body_bytes_held",
        held_bytes,
        &MAX_BODY_BYTES_HELD,
        "bytes",
        faults,
    );
    let timeout_ms = callers.body_timeout_ms;
    range(
        "callers.body_timeout_ms",
        timeout_ms,
        &BODY_TIMEOUT_MS,
        "ms",
        faults,
    );
}

// Callers and operators both use TCP, so their addresses have to differ.
fn addresses(settings: &Settings, faults: &mut Vec<Fault>) {
    let Some(operators) = settings.operators_address else {
        return;
    };
    if operators == settings.callers.address && operators.port() != 0 {
        let message = format!("{operators} is the address for callers as well");
        faults.push(Fault::new("operators_address", message));
    }
}

// Other instances pass the address on, and none of them could reach an unspecified one.
fn reachable(path: &str, address: SocketAddr, faults: &mut Vec<Fault>) {
    if address.ip().is_unspecified() {
        let message = format!("{address} is no address that others can reach");
        faults.push(Fault::new(path, message));
    }
}

fn range<T>(path: &str, value: T, range: &RangeInclusive<T>, unit: &str, faults: &mut Vec<Fault>)
where
    T: PartialOrd + Display,
{
    if !range.contains(&value) {
        let (low, high) = (range.start(), range.end());
        let message = format!("{value} {unit} is outside {low} to {high}");
        faults.push(Fault::new(path, message));
    }
}

fn url(path: &str, value: &str, faults: &mut Vec<Fault>) {
    let host = value
        .strip_prefix("http://")
        .or_else(|| value.strip_prefix("https://"));
    if !host.is_some_and(|host| !host.is_empty() && !host.contains(['/', '?', '#', '@', ' '])) {
        faults.push(Fault::new(path, "a base URL without a path is needed"));
    }
}
