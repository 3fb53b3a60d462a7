//! Test of limits that upstreams state, with a fleet of real processes.

#![allow(clippy::unwrap_used)]

mod support;

use carobwheel_standin::engine::EngineOptions;
use futures::future::join_all;
use serde_json::json;
use std::time::{Duration, Instant};
use support::{Caller, Fleet, FleetOptions};
use tokio::time::{interval, sleep};

const LIMIT_PER_S: f64 = 2.0;
/// Time after the first statement of a limit from which requests are counted.
const SETTLE: Duration = Duration::from_secs(2);
const WINDOW_S: f64 = 4.0;
/// Requests that may come beyond one and a half times the limit in a window.
const SLACK: f64 = 5.0;

#[tokio::test]
async fn an_engine_that_states_a_limit_gets_no_more_from_all_instances_together() {
    const INTERVAL: Duration = Duration::from_millis(40);
    const DURATION: Duration = Duration::from_secs(11);
    let fleet = Fleet::start(FleetOptions {
        instances_in_region: 2,
        engine: EngineOptions {
            answer_tokens: 4,
            ..EngineOptions::default()
        },
        ..FleetOptions::default()
    })
    .await;
    let body = json!({
        "model": "appraiser",
        "messages": [{"role": "user", "content": "a question"}],
    })
    .to_string();
    for engine in fleet.engines.values() {
        engine.set_rate_limit(Some(LIMIT_PER_S));
    }
    let start = Instant::now();
    let send_requests = |instance: usize| {
        let url = fleet.instances[instance].url.clone();
        let (caller, body) = (Caller::of("insurers"), body.clone());
        async move {
            let mut served = 0;
            let mut ticks = interval(INTERVAL);
            while start.elapsed() < DURATION {
                ticks.tick().await;
                let request = caller.request("POST", &format!("{url}/v1/chat/completions"));
                let reply = support::send(request.body(body.clone())).await.unwrap();
                assert!(reply.status == 200 || reply.run == "not-run", "{reply:?}");
                served += u32::from(reply.status == 200);
            }
            served
        }
    };
    let count_windows = async {
        let mut samples = Vec::new();
        while start.elapsed() < DURATION {
            let counts = fleet.engines.values().map(|engine| engine.counts().started);
            samples.push((start.elapsed(), counts.collect::<Vec<_>>()));
            sleep(Duration::from_millis(50)).await;
        }
        samples
    };
    let senders = join_all((0..fleet.instances.len()).map(send_requests));
    let (served, samples) = tokio::join!(senders, count_windows);
    let allowed = 1.5 * LIMIT_PER_S * WINDOW_S + SLACK;
    for (begin, first) in samples.iter().filter(|(at, _)| *at >= SETTLE) {
        let in_window = |(at, _): &&(Duration, Vec<u64>)| {
            *at >= *begin && (*at - *begin).as_secs_f64() <= WINDOW_S
        };
        let (_, last) = samples.iter().rfind(in_window).unwrap();
        for (before, after) in first.iter().zip(last) {
            let got = after - before;
            assert!(got as f64 <= allowed, "{got} of {allowed} in 4 s");
        }
    }
    let served: u32 = served.iter().sum();
    let limited = DURATION.as_secs_f64() * LIMIT_PER_S * fleet.engines.len() as f64;
    assert!(f64::from(served) >= 0.5 * limited, "{served} of {limited}");
    for engine in fleet.engines.values() {
        engine.set_rate_limit(None);
    }
    sleep(Duration::from_secs(3)).await;
    let caller = Caller::of("insurers");
    for instance in &fleet.instances {
        for _ in 0..5 {
            let url = format!("{}/v1/chat/completions", instance.url);
            let reply = support::send(caller.request("POST", &url).body(body.clone()));
            assert_eq!(reply.await.unwrap().status, 200);
        }
    }
}
