//! The promise that an action runs at most once, tested with real processes.

#![allow(clippy::unwrap_used)]

mod support;

use carobwheel_standin::service::{ServiceFault, ServiceOptions};
use futures::future::join_all;
use support::{eventually, Caller, Fleet, FleetOptions, CONDITION_TIMEOUT};

const ACTIONS: usize = 30;

/// Guards against an action that runs twice: each one is sent to all instances at once, several
/// times, while services crash and the store loses answers.
#[tokio::test]
async fn a_non_idempotent_certification_or_ledger_action_runs_at_most_once() {
    const ROUNDS: usize = 3;
    let fleet = Fleet::start(FleetOptions {
        service: ServiceOptions {
            latency_ms: 5,
            ..ServiceOptions::default()
        },
        ..FleetOptions::default()
    })
    .await;
    fleet.store.set_lost_answers_ppm(100_000);
    for service in fleet.services.values() {
        use ServiceFault::{CloseAfterRunning, CloseBeforeRunning, CloseInAnswer, Status};
        service.fail_next(&[
            CloseAfterRunning,
            CloseBeforeRunning,
            Status(503),
            CloseInAnswer,
        ]);
    }
    let caller = Caller::of("insurers");
    let mut reported_run = vec![false; ACTIONS];
    for _ in 0..ROUNDS {
        let sends = (0..ACTIONS).flat_map(|number| {
            let caller = &caller;
            fleet.instances.iter().map(move |instance| async move {
                let reply = caller
                    .confirm(&instance.url, &format!("a-{number}"))
                    .await
                    .unwrap();
                (number, reply)
            })
        });
        for (number, reply) in join_all(sends).await {
            reported_run[number] |= reply.status == 200;
        }
    }
    for (number, reported_run) in reported_run.into_iter().enumerate() {
        let runs = fleet.runs(&format!("a-{number}"));
        assert!(runs <= 1, "a-{number} ran {runs} times");
        assert!(
            !reported_run || runs == 1,
            "a-{number} was reported as run but did not run"
        );
    }
    let ran = (0..ACTIONS)
        .filter(|number| fleet.runs(&format!("a-{number}")) == 1)
        .count();
    assert!(ran > ACTIONS / 2, "{ran} of {ACTIONS} ran");
}

#[tokio::test]
async fn an_action_whose_instance_is_killed_runs_at_most_once() {
    const LATENCY_MS: u64 = 400;
    let mut fleet = Fleet::start(FleetOptions {
        service: ServiceOptions {
            latency_ms: LATENCY_MS,
            ..ServiceOptions::default()
        },
        ..FleetOptions::default()
    })
    .await;
    let caller = Caller::of("insurers");
    let first = fleet.instances[0].url.clone();
    let sent = {
        let caller = caller.clone();
        tokio::spawn(async move { caller.confirm(&first, "a-1").await })
    };
    eventually(
        "the action has reached a service",
        CONDITION_TIMEOUT,
        || async {
            let requests: u64 = fleet
                .services
                .values()
                .map(|service| service.request_count())
                .sum();
            (requests == 1).then_some(())
        },
    )
    .await;
    fleet.instances[0].kill();
    assert!(sent.await.unwrap().is_err(), "the connection is lost");
    for instance in &fleet.instances[1..] {
        let reply = caller.confirm(&instance.url, "a-1").await.unwrap();
        assert_ne!(reply.run, "not-run", "{reply:?}");
    }
    let requests: u64 = fleet
        .services
        .values()
        .map(|service| service.request_count())
        .sum();
    assert_eq!(requests, 1, "the action was sent to a service once");
    assert!(fleet.runs("a-1") <= 1);
}
