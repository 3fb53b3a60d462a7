//! Compares what callers were told with what the upstreams saw.

use super::{
    faults::Driver,
    record::{Kind, Outcome, Record},
    stage::{Stage, LIMITED, WITHDRAWN},
};
use crate::support::{PROPAGATION_LIMIT, REGIONS};
use carobwheel_standin::engine::Engine;
use std::collections::BTreeMap;

/// Beginning of every caller's key.
const KEY_PREFIX: &str = "secret-key-of-";

/// Requests that upstreams saw, by the mark that they carry.
struct Seen {
    /// Region of each request.
    regions: BTreeMap<String, Vec<&'static str>>,
    with_key: usize,
}

impl Seen {
    fn gather(stage: &Stage) -> Self {
        let mut seen = Self {
            regions: BTreeMap::new(),
            with_key: 0,
        };
        let fleet = &stage.fleet;
        for (place, region) in REGIONS.into_iter().enumerate() {
            let limited = stage.limited_engines.iter().map(|engines| &engines[place]);
            let engines = limited.chain([&fleet.engines[region]]);
            let requests = engines.flat_map(Engine::requests);
            for request in requests.chain(fleet.services[region].requests()) {
                seen.with_key += usize::from(request.contains(KEY_PREFIX));
                let body = String::from_utf8_lossy(&request.body).into_owned();
                if let Some(mark) = mark_in(&body) {
                    seen.regions
                        .entry(mark.to_owned())
                        .or_default()
                        .push(region);
                }
            }
        }
        seen
    }

    fn count(&self, mark: &str) -> usize {
        self.regions.get(mark).map_or(0, Vec::len)
    }
}

/// The mark is followed by a bar; it is the whole body or stands in the quoted prompt.
fn mark_in(body: &str) -> Option<&str> {
    let (before, _) = body.split_once('|')?;
    Some(before.rsplit('"').next().unwrap_or(before))
}

/// Finds every promise that was broken.
pub(crate) fn reconcile(stage: &Stage, driver: &Driver, records: &[Record]) -> Vec<String> {
    let seen = Seen::gather(stage);
    let mut faults = Vec::new();
    if seen.with_key > 0 {
        faults.push(format!("{} requests carried a caller's key", seen.with_key));
    }
    for record in records {
        faults.extend(check_told(driver, record));
    }
    check_seen(&seen, records, &mut faults);
    check_regions(&seen, records, &mut faults);
    check_keyed(stage, records, &mut faults);
    check_once_dispatched(&seen, records, &mut faults);
    check_not_run(&seen, driver, records, &mut faults);
    faults
}

/// Every request has an end that its caller may rely on.
fn check_told(driver: &Driver, record: &Record) -> Option<String> {
    let killed_at = driver.killed_at.get(&record.instance);
    let was_killed = killed_at.is_some_and(|at| *at <= record.ended_at);
    let is_withdrawn = driver.withdrawn_at.is_some_and(|at| {
        record.account == WITHDRAWN && record.started_at > at + PROPAGATION_LIMIT
    });
    match &record.outcome {
        Outcome::Lost => Some(format!("no answer: {record:?}")),
        Outcome::Wrong(_) => Some(format!("not its own whole answer: {record:?}")),
        Outcome::Cut if !was_killed => Some(format!("cut by a living instance: {record:?}")),
        Outcome::Unsent | Outcome::NotRun(401) => None,
        outcome if is_withdrawn && *outcome != Outcome::Cut => {
            Some(format!("withdrawn key at work: {record:?}"))
        }
        _ => None,
    }
}

/// Every answer comes from an upstream that saw the request.
fn check_seen(seen: &Seen, records: &[Record], faults: &mut Vec<String>) {
    let whole = records.iter().filter(|it| it.outcome == Outcome::Whole);
    let unseen = whole.filter(|it| seen.count(&it.mark) == 0);
    faults.extend(unseen.map(|record| format!("no upstream saw it: {record:?}")));
}

/// Bound accounts are served in their region alone.
fn check_regions(seen: &Seen, records: &[Record], faults: &mut Vec<String>) {
    for record in records {
        let Some(bound) = bound_region(&record.account) else {
            continue;
        };
        let regions = seen.regions.get(&record.mark).into_iter().flatten();
        if regions.into_iter().any(|region| *region != bound) {
            faults.push(format!("served outside {bound}: {record:?}"));
        }
    }
}

fn bound_region(account: &str) -> Option<&'static str> {
    let office = REGIONS
        .into_iter()
        .find(|region| account == format!("{region}-office"));
    let limited = LIMITED.iter().find(|limited| limited.account == account);
    office.or(limited.and_then(|limited| limited.bound_region))
}

/// A keyed action runs at most once, exactly once if anybody was told so, never if all were told
/// that it did not.
fn check_keyed(stage: &Stage, records: &[Record], faults: &mut Vec<String>) {
    let mut actions: BTreeMap<&str, Vec<&Record>> = BTreeMap::new();
    let keyed = records.iter().filter(|it| it.kind == Kind::KeyedAction);
    for record in keyed {
        actions.entry(&record.mark).or_default().push(record);
    }
    for (mark, attempts) in actions {
        let runs = stage.fleet.runs(mark);
        let is_told_run = attempts.iter().any(|it| it.outcome == Outcome::Whole);
        let is_told_not_run = attempts
            .iter()
            .all(|it| matches!(it.outcome, Outcome::NotRun(_) | Outcome::Unsent));
        let is_right = runs <= 1 && !(is_told_run && runs == 0) && !(is_told_not_run && runs > 0);
        if !is_right {
            faults.push(format!("{mark} ran {runs} times: {attempts:?}"));
        }
    }
    for service in stage.fleet.services.values() {
        let runs = service.all_runs();
        faults.extend(
            runs.iter()
                .filter(|(_, count)| **count > 1)
                .map(|(key, count)| format!("{key} ran {count} times at one service")),
        );
    }
}

/// An action without a key reaches at most one service, once, and one if it is told to have run.
fn check_once_dispatched(seen: &Seen, records: &[Record], faults: &mut Vec<String>) {
    let keyless = records.iter().filter(|it| it.kind == Kind::KeylessAction);
    for record in keyless {
        let count = seen.count(&record.mark);
        if count > 1 || (record.outcome == Outcome::Whole && count == 0) {
            faults.push(format!("dispatched {count} times: {record:?}"));
        }
    }
}

/// A request said not to have run was seen by an upstream only if that one refused it.
fn check_not_run(seen: &Seen, driver: &Driver, records: &[Record], faults: &mut Vec<String>) {
    let not_run = records.iter().filter(|it| {
        let is_told = matches!(it.outcome, Outcome::NotRun(_) | Outcome::Unsent);
        is_told && it.kind != Kind::KeyedAction
    });
    let seen_anyway: Vec<_> = not_run.filter(|it| seen.count(&it.mark) > 0).collect();
    let count: usize = seen_anyway.iter().map(|it| seen.count(&it.mark)).sum();
    if count as u64 > driver.injected_statuses {
        let refusals = driver.injected_statuses;
        faults.push(format!(
            "upstreams saw {count} requests said not to have run, and refused {refusals}: \
             {seen_anyway:?}"
        ));
    }
}
