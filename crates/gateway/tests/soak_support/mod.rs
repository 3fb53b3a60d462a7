//! Random load with random faults, and the reconciliation of every request.

#![allow(clippy::unwrap_used)]

mod faults;
mod load;
mod monitor;
mod plan;
mod reconcile;
mod record;
mod testbed;

use crate::support::{eventually, CONDITION_TIMEOUT, PROPAGATION_LIMIT};
use faults::{set_targets, FaultInjector};
use load::{http_client, LoadState, Request};
use monitor::Monitor;
use plan::Plan;
use record::{Outcome, RequestKind, RequestRecord};
use std::{
    collections::BTreeMap,
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};
use testbed::{Testbed, LIMITED_ACCOUNTS, WITHDRAWN_ACCOUNT};

/// Runs the soak test. Fails while the fleet is still up if a guarantee was violated, so that the
/// logs are kept.
pub(crate) async fn run() {
    let plan = Plan::from_environment();
    let mut testbed = Testbed::start().await;
    let load_state = Arc::new(LoadState::default());
    set_targets(&testbed, &load_state);
    let (mut injector, mut monitor) = (FaultInjector::new(plan.seed), Monitor::new(Instant::now()));
    monitor.sample(&testbed);
    let start = Instant::now();
    let load = load::start(plan, start, &load_state);
    injector
        .run(plan, start, &mut testbed, &load_state, &mut monitor)
        .await;
    while !load.is_finished() {
        monitor.poll(&testbed);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    load.await.unwrap();
    println!("load over after {} ms", start.elapsed().as_millis());
    let mut violations = Vec::new();
    injector.await_stops(&testbed).await;
    check_withdrawn(&injector, &load_state).await;
    monitor.poll(&testbed);
    violations.extend(check_serving(plan, &load_state).await);
    monitor.sample(&testbed);
    monitor.end_leaving(&testbed);
    for (id, code) in &injector.stopped {
        if *code != Some(0) {
            violations.push(format!("planned stop of {id} ended with {code:?}"));
        }
    }
    let rates = monitor.check_rates();
    violations.append(&mut monitor.violations);
    let records = load_state.records.lock().unwrap().clone();
    violations.extend(reconcile::reconcile(&testbed, &injector, &records));
    violations.extend(panics_in_logs());
    report(plan, start, &records, &injector);
    report_wrongful_refusals(&records, &injector);
    println!("tokens used of allowed: {rates:?}");
    println!("checks of leaving upstreams: {}", monitor.leaving_checks);
    for violation in &violations {
        println!("BROKEN: {violation}");
    }
    assert!(
        violations.is_empty(),
        "{} promises broken",
        violations.len()
    );
}

/// Sends requests with the withdrawn key once every instance has to refuse it. They are reconciled
/// like all others.
async fn check_withdrawn(injector: &FaultInjector, load_state: &Arc<LoadState>) {
    let Some(withdrawn_at) = injector.withdrawn_at else {
        return;
    };
    eventually(
        "the time to withdraw a key is over",
        CONDITION_TIMEOUT,
        || async { (withdrawn_at.elapsed() > PROPAGATION_LIMIT).then_some(()) },
    )
    .await;
    let http = http_client();
    for target in load_state.targets() {
        let marker = format!("withdrawn-{}", target.id);
        let record = Request::question(WITHDRAWN_ACCOUNT, &marker)
            .send(&http, &target)
            .await;
        load_state.records.lock().unwrap().push(record);
    }
}

/// Checks that every instance serves again after all faults have ended, on the open route, which
/// needs no account. A run bounded by time also waits until each of them serves an account without
/// a low rate.
async fn check_serving(plan: Plan, load_state: &Arc<LoadState>) -> Vec<String> {
    let http = http_client();
    let mut violations = Vec::new();
    for target in load_state.targets() {
        let (http, target) = (&http, &target);
        eventually(
            "an instance serves again",
            CONDITION_TIMEOUT,
            || async move {
                let open = http.get(format!("{}/open/hours", target.url)).send().await;
                open.is_ok_and(|answer| answer.status() == 200)
                    .then_some(())
            },
        )
        .await;
        if plan.duration.is_none() {
            continue;
        }
        let start = Instant::now();
        loop {
            let marker = format!("last-{}-{}", target.id, start.elapsed().as_millis());
            let request = Request::question("insurers", &marker);
            let record = request.send(http, target).await;
            load_state.records.lock().unwrap().push(record.clone());
            if record.outcome == Outcome::Completed {
                break;
            }
            if start.elapsed() > CONDITION_TIMEOUT {
                violations.push(format!(
                    "not served again in {CONDITION_TIMEOUT:?}: {record:?}"
                ));
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    violations
}

/// Returns the lines that report a panic in the processes' logs. Every process has its own log.
fn panics_in_logs() -> Vec<String> {
    let prefix = format!("fleet-{}-", std::process::id());
    let folders = std::fs::read_dir(PathBuf::from(env!("CARGO_TARGET_TMPDIR"))).unwrap();
    let own = folders.map(|entry| entry.unwrap().path()).filter(|path| {
        path.file_name()
            .unwrap()
            .to_string_lossy()
            .starts_with(&prefix)
    });
    let mut logs = 0;
    let mut panics = Vec::new();
    for folder in own {
        for file in std::fs::read_dir(folder).unwrap() {
            let file = file.unwrap().path();
            if file.extension().is_none_or(|it| it != "log") {
                continue;
            }
            logs += 1;
            let text = std::fs::read_to_string(&file).unwrap();
            let lines = text.lines().filter(|line| line.contains("panicked"));
            panics.extend(lines.map(|line| format!("{}: {line}", file.display())));
        }
    }
    assert!(logs > 0, "the logs were found");
    panics
}

fn report(plan: Plan, start: Instant, records: &[RequestRecord], injector: &FaultInjector) {
    let mut outcomes: BTreeMap<(RequestKind, String), usize> = BTreeMap::new();
    for record in records {
        let outcome = match &record.outcome {
            Outcome::Wrong(_) => "Wrong".to_owned(),
            outcome => format!("{outcome:?}"),
        };
        *outcomes.entry((record.kind, outcome)).or_default() += 1;
    }
    println!(
        "seed {}: {:.1} s, {} requests, {} fault steps",
        plan.seed,
        start.elapsed().as_secs_f64(),
        records.len(),
        injector.steps.len()
    );
    for ((kind, outcome), count) in outcomes {
        println!("{count:>7} {kind:?} {outcome}");
    }
}

/// Prints how many requests were refused as over the rate although the load cannot reach their
/// account's rate, grouped by the last fault step before each.
fn report_wrongful_refusals(records: &[RequestRecord], injector: &FaultInjector) {
    let refused = records.iter().filter(|record| {
        let is_limited = LIMITED_ACCOUNTS
            .iter()
            .any(|it| it.account == record.account);
        record.outcome == Outcome::NotRun(429) && !is_limited
    });
    let mut groups: BTreeMap<_, usize> = BTreeMap::new();
    for record in refused {
        let step = injector.step_at(record.started_at);
        let group = (step, &record.instance, &record.account);
        *groups.entry(group).or_default() += 1;
    }
    println!("refused within the rate: {groups:?}");
}
