//! Reconciliation of the outcomes reported to callers with the requests that upstreams received.

use super::{
    faults::FaultInjector,
    record::{Outcome, RequestKind, RequestRecord},
    testbed::{Testbed, LIMITED_ACCOUNTS, WITHDRAWN_ACCOUNT},
};
use crate::support::{PROPAGATION_LIMIT, REGIONS};
use carobwheel_standin::engine::Engine;
use std::collections::BTreeMap;

/// Prefix of every caller's key.
const KEY_PREFIX: &str = "secret-key-of-";

/// Requests that upstreams received, by the marker that they carry.
struct UpstreamRequests {
    /// Regions of the upstreams that received each request.
    regions: BTreeMap<String, Vec<&'static str>>,
    /// Number of requests that carried a caller's key.
    with_key: usize,
}

impl UpstreamRequests {
    fn collect_from(testbed: &Testbed) -> Self {
        let mut seen = Self {
            regions: BTreeMap::new(),
            with_key: 0,
        };
        let fleet = &testbed.fleet;
        for (index, region) in REGIONS.into_iter().enumerate() {
            let limited = testbed
                .limited_engines
                .iter()
                .map(|engines| &engines[index]);
            let engines = limited.chain([&fleet.engines[region]]);
            let requests = engines.flat_map(Engine::requests);
            for request in requests.chain(fleet.services[region].requests()) {
                seen.with_key += usize::from(request.contains(KEY_PREFIX));
                let body = String::from_utf8_lossy(&request.body).into_owned();
                if let Some(marker) = marker_in(&body) {
                    seen.regions
                        .entry(marker.to_owned())
                        .or_default()
                        .push(region);
                }
            }
        }
        seen
    }

    fn count(&self, marker: &str) -> usize {
        self.regions.get(marker).map_or(0, Vec::len)
    }
}

/// Returns the marker in a body. It is followed by a bar and starts the body or the quoted prompt.
fn marker_in(body: &str) -> Option<&str> {
    let (before, _) = body.split_once('|')?;
    Some(before.rsplit('"').next().unwrap_or(before))
}

/// Returns all guarantees that were violated.
pub(crate) fn reconcile(
    testbed: &Testbed,
    injector: &FaultInjector,
    records: &[RequestRecord],
) -> Vec<String> {
    let seen = UpstreamRequests::collect_from(testbed);
    let mut violations = Vec::new();
    if seen.with_key > 0 {
        violations.push(format!("{} requests carried a caller's key", seen.with_key));
    }
    for record in records {
        violations.extend(check_outcome(injector, record));
    }
    check_seen(&seen, records, &mut violations);
    check_regions(&seen, records, &mut violations);
    check_keyed(testbed, records, &mut violations);
    check_once_dispatched(&seen, records, &mut violations);
    check_not_run(&seen, injector, records, &mut violations);
    violations
}

/// Checks that the caller got an outcome that is permitted for the request.
fn check_outcome(injector: &FaultInjector, record: &RequestRecord) -> Option<String> {
    let killed_at = injector.killed_at.get(&record.instance);
    let was_killed = killed_at.is_some_and(|at| *at <= record.ended_at);
    let is_withdrawn = injector.withdrawn_at.is_some_and(|at| {
        record.account == WITHDRAWN_ACCOUNT && record.started_at > at + PROPAGATION_LIMIT
    });
    match &record.outcome {
        Outcome::TimedOut => Some(format!("no response: {record:?}")),
        Outcome::Wrong(_) => Some(format!(
            "not the complete response to this request: {record:?}"
        )),
        Outcome::ConnectionBroken if !was_killed => Some(format!(
            "connection broken by a running instance: {record:?}"
        )),
        Outcome::Unsent | Outcome::NotRun(401) => None,
        outcome if is_withdrawn && *outcome != Outcome::ConnectionBroken => {
            Some(format!("withdrawn key still accepted: {record:?}"))
        }
        _ => None,
    }
}

/// Checks that every completed request was received by an upstream.
fn check_seen(seen: &UpstreamRequests, records: &[RequestRecord], violations: &mut Vec<String>) {
    let completed = records.iter().filter(|it| it.outcome == Outcome::Completed);
    let missing = completed.filter(|it| seen.count(&it.marker) == 0);
    violations.extend(missing.map(|record| format!("not received by any upstream: {record:?}")));
}

/// Checks that bound accounts are served in their own region only.
fn check_regions(seen: &UpstreamRequests, records: &[RequestRecord], violations: &mut Vec<String>) {
    for record in records {
        let Some(bound) = bound_region(&record.account) else {
            continue;
        };
        let regions = seen.regions.get(&record.marker).into_iter().flatten();
        if regions.into_iter().any(|region| *region != bound) {
            violations.push(format!("served outside {bound}: {record:?}"));
        }
    }
}

fn bound_region(account: &str) -> Option<&'static str> {
    let office = REGIONS
        .into_iter()
        .find(|region| account == format!("{region}-office"));
    let limited = LIMITED_ACCOUNTS
        .iter()
        .find(|limited| limited.account == account);
    office.or(limited.and_then(|limited| limited.bound_region))
}

/// Checks that a keyed action runs at most once, exactly once if any caller was told so, and never
/// if all callers were told that it did not run.
fn check_keyed(testbed: &Testbed, records: &[RequestRecord], violations: &mut Vec<String>) {
    let mut actions: BTreeMap<&str, Vec<&RequestRecord>> = BTreeMap::new();
    let keyed = records
        .iter()
        .filter(|it| it.kind == RequestKind::KeyedAction);
    for record in keyed {
        actions.entry(&record.marker).or_default().push(record);
    }
    for (marker, attempts) in actions {
        let runs = testbed.fleet.runs(marker);
        let is_reported_run = attempts.iter().any(|it| it.outcome == Outcome::Completed);
        let is_reported_not_run = attempts
            .iter()
            .all(|it| matches!(it.outcome, Outcome::NotRun(_) | Outcome::Unsent));
        let is_right =
            runs <= 1 && !(is_reported_run && runs == 0) && !(is_reported_not_run && runs > 0);
        if !is_right {
            violations.push(format!("{marker} ran {runs} times: {attempts:?}"));
        }
    }
    for service in testbed.fleet.services.values() {
        let runs = service.all_runs();
        violations.extend(
            runs.iter()
                .filter(|(_, count)| **count > 1)
                .map(|(key, count)| format!("{key} ran {count} times at one service")),
        );
    }
}

/// Checks that an action without a key is dispatched at most once, and exactly once if it was
/// reported to have run.
fn check_once_dispatched(
    seen: &UpstreamRequests,
    records: &[RequestRecord],
    violations: &mut Vec<String>,
) {
    let keyless = records
        .iter()
        .filter(|it| it.kind == RequestKind::KeylessAction);
    for record in keyless {
        let count = seen.count(&record.marker);
        if count > 1 || (record.outcome == Outcome::Completed && count == 0) {
            violations.push(format!("dispatched {count} times: {record:?}"));
        }
    }
}

/// Checks that requests reported as not run reached upstreams only where those refused them.
fn check_not_run(
    seen: &UpstreamRequests,
    injector: &FaultInjector,
    records: &[RequestRecord],
    violations: &mut Vec<String>,
) {
    let not_run = records.iter().filter(|it| {
        let is_reported = matches!(it.outcome, Outcome::NotRun(_) | Outcome::Unsent);
        is_reported && it.kind != RequestKind::KeyedAction
    });
    let seen_anyway: Vec<_> = not_run.filter(|it| seen.count(&it.marker) > 0).collect();
    let count: usize = seen_anyway.iter().map(|it| seen.count(&it.marker)).sum();
    if count as u64 > injector.injected_statuses {
        let refusals = injector.injected_statuses;
        violations.push(format!(
            "upstreams received {count} requests reported as not run, and refused {refusals}: \
             {seen_anyway:?}"
        ));
    }
}
