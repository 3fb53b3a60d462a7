//! Continuation of broken streams on another engine.

#![allow(clippy::unwrap_used)]

mod support;

use carobwheel_standin::engine::{EngineOptions, Fault};
use support::{expected_answer, Caller, Fleet};
use test_case::test_case;

const TOKENS: u64 = 200;

async fn fleet() -> Fleet {
    let engine = EngineOptions {
        answer_tokens: TOKENS,
        ..EngineOptions::default()
    };
    Fleet::start_with_engines(engine).await
}

/// Guards against duplicated or lost tokens when the connection breaks at the first byte, within an
/// event or close to the end, or when the stream ends normally without its last tokens.
#[test_case(Fault::CloseAfterBytes(1); "at the first byte")]
#[test_case(Fault::CloseAfterBytes(1_000); "after some events")]
#[test_case(Fault::CloseAfterBytes(12_345); "inside an event")]
#[test_case(Fault::Truncated; "short of its end")]
#[tokio::test]
async fn a_broken_stream_continues_with_no_token_duplicated_or_lost(fault: Fault) {
    let fleet = fleet().await;
    fleet.engines["north"].fail_next(fault, 1);
    let caller = Caller::of("insurers");
    let prompt = "a question whose answer breaks off";
    let url = &fleet.instance("north").url;
    let reply = caller.chat(url, prompt, true).await.unwrap();
    let text = reply.streamed_text();
    assert_eq!(text, Some(expected_answer(prompt, TOKENS)), "{reply:?}");
    assert_eq!(
        fleet.engine_requests(),
        2,
        "one engine failed, another continued"
    );
}

/// Guards against a bound account's stream being continued outside its region when its only engine
/// there fails.
#[tokio::test]
async fn a_broken_stream_of_a_bound_account_never_continues_in_another_region() {
    let fleet = fleet().await;
    fleet.engines["north"].fail_next(Fault::CloseAfterBytes(1_000), 1);
    let caller = Caller::of("north-office");
    let url = &fleet.instance("north").url;
    let reply = caller.chat(url, "bound", true).await.unwrap();
    assert!(reply.is_failure(), "{reply:?}");
    assert_eq!(fleet.engine_requests(), 1);
}
