//! Tests of the simulated engine: batching, priorities, prefix cache, cancellation, resumption and
//! report lag.

use carobwheel_standin::batch::{
    BatchEngine, BatchRequest, BatchRequestId, BatchSettings, CacheEvent, PrefixCache, Token,
};
use test_case::test_case;

const PREFIX: [u64; 2] = [11, 12];

fn request(id: u64, prompt_tokens: u64, output_tokens: u64, priority: u8) -> BatchRequest {
    BatchRequest {
        id: BatchRequestId(id),
        prompt_tokens,
        prefix_hashes: Vec::new(),
        output_tokens,
        resume_from_tokens: 0,
        priority,
    }
}

fn settings() -> BatchSettings {
    BatchSettings {
        slots: 2,
        chunk_tokens: 100,
        idle_chunk_tokens: 100,
        ..BatchSettings::default()
    }
}

/// Runs the engine until it is idle. Returns each token with the end time of its step.
fn run(engine: &mut BatchEngine, now_us: &mut u64) -> Vec<(u64, Token)> {
    let mut tokens = Vec::new();
    while let Some(step_us) = engine.begin_step() {
        *now_us += step_us;
        tokens.extend(engine.end_step(*now_us).into_iter().map(|t| (*now_us, t)));
    }
    tokens
}

#[test_case(1, 8_300; "one request")]
#[test_case(10, 11_000; "ten requests")]
#[test_case(32, 17_600; "a full batch")]
fn token_time_grows_with_the_batch(requests: u64, expected_us: u64) {
    let mut engine = BatchEngine::new(BatchSettings::default());
    for id in 0..requests {
        engine.submit(request(id, 1, 3, 0));
    }
    engine.begin_step();
    assert_eq!(engine.end_step(0).len() as u64, requests);
    assert_eq!(engine.begin_step(), Some(expected_us));
}

#[test]
fn an_urgent_request_overtakes_a_long_prompt() {
    let mut engine = BatchEngine::new(settings());
    engine.submit(request(1, 1_000, 1, 1));
    engine.begin_step();
    engine.end_step(0);
    engine.submit(request(2, 100, 1, 0));
    let mut now_us = 0;
    let order: Vec<_> = run(&mut engine, &mut now_us)
        .iter()
        .map(|(_, token)| token.request_id.0)
        .collect();
    assert_eq!(order, [2, 1]);
}

#[test]
fn a_cached_prefix_needs_no_prefill() {
    let mut engine = BatchEngine::new(settings());
    let prompt = |id| BatchRequest {
        prefix_hashes: PREFIX.to_vec(),
        ..request(id, 600, 1, 0)
    };
    let mut cold_us = 0;
    engine.submit(prompt(1));
    run(&mut engine, &mut cold_us);
    let mut end_us = cold_us;
    engine.submit(prompt(2));
    run(&mut engine, &mut end_us);
    assert_eq!(engine.prompt_and_cached_tokens(), (1_200, 512));
    assert!(end_us - cold_us < cold_us / 3, "{cold_us} then {end_us}");
}

#[test]
fn a_resumed_request_continues_after_its_last_token() {
    let mut engine = BatchEngine::new(settings());
    engine.submit(BatchRequest {
        resume_from_tokens: 3,
        ..request(1, 10, 5, 0)
    });
    let positions: Vec<_> = run(&mut engine, &mut 0)
        .iter()
        .map(|(_, token)| (token.position, token.is_last))
        .collect();
    assert_eq!(positions, [(3, false), (4, true)]);
}

#[test]
fn a_cancelled_request_generates_no_further_token() {
    let mut engine = BatchEngine::new(settings());
    (0..3).for_each(|id| engine.submit(request(id, 10, 4, 0)));
    engine.begin_step();
    engine.end_step(0);
    assert!(engine.cancel(BatchRequestId(0)));
    assert!(engine.cancel(BatchRequestId(2)));
    assert!(!engine.cancel(BatchRequestId(2)));
    let tokens = run(&mut engine, &mut 0);
    assert!(tokens
        .iter()
        .all(|(_, token)| token.request_id == BatchRequestId(1)));
    assert_eq!(tokens.len(), 3);
}

#[test]
fn a_report_is_delayed_by_the_lag() {
    let mut engine = BatchEngine::new(settings());
    engine.submit(request(1, 100, 2, 0));
    engine.begin_step();
    engine.end_step(1_000);
    engine.begin_step();
    engine.end_step(500_000);
    let report = |now_us| engine.report(now_us).requests;
    assert_eq!((report(1_001_000), report(1_600_000)), (1, 0));
}

#[test]
fn the_least_recently_used_block_is_evicted_and_events_are_delayed_and_dropped() {
    let mut cache = PrefixCache::new(2);
    cache.store(&[1], 0);
    cache.store(&[2], 10);
    assert_eq!(cache.use_prefix(&[1]), 1);
    cache.store(&[3], 20);
    assert_eq!(cache.use_prefix(&[2]), 0);
    assert_eq!(cache.take_events(15, 10, 0), [CacheEvent::Stored(1)]);
    let late = cache.take_events(100, 10, 2);
    assert_eq!(late, [CacheEvent::Stored(2), CacheEvent::Evicted(2)]);
}
