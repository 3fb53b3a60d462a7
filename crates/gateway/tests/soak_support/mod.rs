//! A random load with random faults, and the account of every request.

#![allow(clippy::unwrap_used)]

mod faults;
mod load;
mod plan;
mod reconcile;
mod record;
mod stage;
mod watch;

use crate::support::{eventually, CONDITION_TIMEOUT, PROPAGATION_LIMIT};
use faults::{set_targets, Driver};
use load::{http_client, Board, Request};
use plan::Plan;
use record::{Kind, Outcome, Record};
use stage::{Stage, LIMITED, WITHDRAWN};
use std::{
    collections::BTreeMap,
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};
use watch::Watch;

/// Runs the soak. It fails while the fleet is up if a promise was broken, so that the logs are kept.
pub(crate) async fn run() {
    let plan = Plan::from_environment();
    let mut stage = Stage::start().await;
    let board = Arc::new(Board::default());
    set_targets(&stage, &board);
    let (mut driver, mut watch) = (Driver::new(plan.seed), Watch::new(Instant::now()));
    watch.sample(&stage);
    let start = Instant::now();
    let load = load::start(plan, start, &board);
    driver
        .run(plan, start, &mut stage, &board, &mut watch)
        .await;
    while !load.is_finished() {
        watch.look(&stage);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    load.await.unwrap();
    println!("load over after {} ms", start.elapsed().as_millis());
    let mut faults = Vec::new();
    driver.await_stops(&stage).await;
    check_withdrawn(&driver, &board).await;
    watch.look(&stage);
    faults.extend(check_serving(plan, &board).await);
    watch.sample(&stage);
    watch.end_leaving(&stage);
    for (id, code) in &driver.stopped {
        if *code != Some(0) {
            faults.push(format!("planned stop of {id} ended with {code:?}"));
        }
    }
    let rates = watch.check_rates();
    faults.append(&mut watch.faults);
    let records = board.records.lock().unwrap().clone();
    faults.extend(reconcile::reconcile(&stage, &driver, &records));
    faults.extend(panics_in_logs());
    report(plan, start, &records, &driver);
    report_wrongful_refusals(&records, &driver);
    println!("tokens used of allowed: {rates:?}");
    println!("checks of leaving upstreams: {}", watch.leaving_checks);
    for fault in &faults {
        println!("BROKEN: {fault}");
    }
    assert!(faults.is_empty(), "{} promises broken", faults.len());
}

/// Seconds after its withdrawal a key is refused everywhere. These requests are accounted for like
/// the others.
async fn check_withdrawn(driver: &Driver, board: &Arc<Board>) {
    let Some(withdrawn_at) = driver.withdrawn_at else {
        return;
    };
    eventually(
        "the time to withdraw a key is over",
        CONDITION_TIMEOUT,
        || async { (withdrawn_at.elapsed() > PROPAGATION_LIMIT).then_some(()) },
    )
    .await;
    let http = http_client();
    for target in board.targets() {
        let mark = format!("withdrawn-{}", target.id);
        let record = Request::question(WITHDRAWN, &mark)
            .send(&http, &target)
            .await;
        board.records.lock().unwrap().push(record);
    }
}

/// Once all faults are over every instance answers on the open route, which needs no account. A run
/// bounded by time waits until an account without a low rate is served by each of them, too.
async fn check_serving(plan: Plan, board: &Arc<Board>) -> Vec<String> {
    let http = http_client();
    let mut faults = Vec::new();
    for target in board.targets() {
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
            let mark = format!("last-{}-{}", target.id, start.elapsed().as_millis());
            let request = Request::question("insurers", &mark);
            let record = request.send(http, target).await;
            board.records.lock().unwrap().push(record.clone());
            if record.outcome == Outcome::Whole {
                break;
            }
            if start.elapsed() > CONDITION_TIMEOUT {
                faults.push(format!(
                    "not served again in {CONDITION_TIMEOUT:?}: {record:?}"
                ));
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    faults
}

/// Lines of the processes' logs that tell of a panic. Every process has a log of its own.
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

fn report(plan: Plan, start: Instant, records: &[Record], driver: &Driver) {
    let mut outcomes: BTreeMap<(Kind, String), usize> = BTreeMap::new();
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
        driver.steps.len()
    );
    for ((kind, outcome), count) in outcomes {
        println!("{count:>7} {kind:?} {outcome}");
    }
}

/// Prints the requests that were refused as over the rate although their account has a rate that
/// the load cannot reach, by the last fault step before each.
fn report_wrongful_refusals(records: &[Record], driver: &Driver) {
    let refused = records.iter().filter(|record| {
        let is_limited = LIMITED.iter().any(|it| it.account == record.account);
        record.outcome == Outcome::NotRun(429) && !is_limited
    });
    let mut groups: BTreeMap<_, usize> = BTreeMap::new();
    for record in refused {
        let step = driver.step_at(record.started_at);
        let place = (step, &record.instance, &record.account);
        *groups.entry(place).or_default() += 1;
    }
    println!("refused within the rate: {groups:?}");
}
