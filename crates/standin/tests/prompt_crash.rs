//! Tests of engines that crash on a prompt.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod support;

use carobwheel_standin::{
    batch::BatchSettings,
    engine::{self, EngineOptions, PromptCrash},
};
use carobwheel_wire::openai::CHAT_PATH;
use futures::StreamExt as _;
use std::time::Duration;
use support::{client, CONDITION_TIMEOUT};
use test_case::test_case;

const CRASHING_TEXT: &str = "unparsable table";
const DOWN_MS: u64 = 300;
const TOKEN_MS: u64 = 20;

fn start(batch: Option<BatchSettings>, down_ms: u64, sends_head: bool) -> engine::Engine {
    let engine = engine::start(EngineOptions {
        batch,
        answer_tokens: 500,
        first_token_ms: 10,
        token_ms: TOKEN_MS,
        ..EngineOptions::default()
    })
    .unwrap();
    engine.set_prompt_crash(Some(PromptCrash {
        text: CRASHING_TEXT.to_owned(),
        down_ms,
        sends_head,
    }));
    engine
}

async fn send(
    engine: &engine::Engine,
    http: &reqwest::Client,
    prompt: &str,
    max_tokens: u64,
) -> reqwest::Result<reqwest::Response> {
    let body = format!(
        r#"{{"model":"appraiser","stream":true,"max_tokens":{max_tokens},"messages":[{{"role":"user","content":"{prompt}"}}]}}"#
    );
    let url = format!("{}{CHAT_PATH}", engine.url());
    http.post(url).body(body).send().await
}

#[test_case(None, false; "fixed delays")]
#[test_case(None, true; "fixed delays, head sent")]
#[test_case(Some(BatchSettings::default()), false; "batched")]
#[test_case(Some(BatchSettings::default()), true; "batched, head sent")]
#[tokio::test]
async fn a_crash_ends_all_connections_and_refuses_new_ones_until_the_restart(
    batch: Option<BatchSettings>,
    sends_head: bool,
) {
    let engine = start(batch, DOWN_MS, sends_head);
    let http = client();
    let mut running = send(&engine, &http, "madder", 500)
        .await
        .unwrap()
        .bytes_stream();
    assert!(running.next().await.unwrap().is_ok());
    let crashing = send(&engine, &http, "a most unparsable table here", 500).await;
    match crashing {
        Ok(response) => {
            assert!(sends_head, "a head was sent");
            assert!(response.bytes().await.is_err());
        }
        Err(_) => assert!(!sends_head, "no head was sent"),
    }
    let crashed_at = std::time::Instant::now();
    let broken = async {
        while let Some(piece) = running.next().await {
            if piece.is_err() {
                return true;
            }
        }
        false
    };
    let broken = tokio::time::timeout(Duration::from_millis(DOWN_MS), broken).await;
    assert_eq!(broken, Ok(true), "the other answer breaks off");
    let refused = send(&engine, &client(), "madder", 1).await;
    assert!(refused.unwrap_err().is_connect());
    let mut answer = send(&engine, &client(), "madder", 1).await;
    while answer.is_err() {
        assert!(crashed_at.elapsed() < CONDITION_TIMEOUT, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
        answer = send(&engine, &client(), "madder", 1).await;
    }
    assert!(crashed_at.elapsed() >= Duration::from_millis(DOWN_MS - 50));
    assert!(answer.unwrap().text().await.unwrap().contains("[DONE]"));
    let counts = engine.counts();
    assert_eq!((counts.crashes, counts.failed), (1, 1));
    // The caller may have the whole answer before the engine has counted its end.
    let answered_at = std::time::Instant::now();
    while engine.load().running != 0 {
        assert!(answered_at.elapsed() < CONDITION_TIMEOUT);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn each_further_prompt_with_the_text_crashes_the_engine_again() {
    let engine = start(None, 1, false);
    let http = client();
    let crashing = async {
        while engine.counts().crashes < 3 {
            assert!(send(&engine, &http, CRASHING_TEXT, 1).await.is_err());
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let crashed = tokio::time::timeout(CONDITION_TIMEOUT, crashing).await;
    assert_eq!(crashed, Ok(()), "three crashes");
}

#[tokio::test]
async fn the_cache_is_empty_after_a_crash() {
    const PREFILL_TOKENS_PER_S: u64 = 10_000;
    const PROMPT_BYTES: usize = 16 * 1_024;
    let engine = start(
        Some(BatchSettings {
            prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
            step_us: 1_000,
            ..BatchSettings::default()
        }),
        1,
        false,
    );
    let http = client();
    let prompt = "x".repeat(PROMPT_BYTES);
    let first_token = async || {
        let start = std::time::Instant::now();
        while send(&engine, &http, &prompt, 1).await.is_err() {}
        start.elapsed()
    };
    let cold = first_token().await;
    let cached = first_token().await;
    assert!(cached < cold / 2, "{cached:?} cached, {cold:?} cold");
    assert!(send(&engine, &http, CRASHING_TEXT, 1).await.is_err());
    let after_crash = first_token().await;
    assert!(after_crash > cached * 2, "{after_crash:?} after the crash");
}
