//! Tests of the stand-in for an inference engine.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod support;

use carobwheel_standin::{
    batch::BatchSettings,
    engine::{self, answer_text, EngineOptions, Fault, FaultRule},
};
use carobwheel_wire::{
    openai::{ChatChunk, ChatCompletion, RequestView, CHAT_PATH, DONE},
    platform::{LoadReport, LOAD_PATH},
};
use futures::StreamExt;
use support::{client, eventually};
use test_case::test_case;

const ANSWER_TOKENS: u64 = 12;

fn start(options: EngineOptions) -> engine::Engine {
    engine::start(EngineOptions {
        answer_tokens: ANSWER_TOKENS,
        ..options
    })
    .unwrap()
}

fn request_body(stream: bool) -> String {
    format!(
        r#"{{"model":"appraiser","stream":{stream},"messages":[{{"role":"user","content":"madder or cochineal?"}}]}}"#
    )
}

fn expected_answer() -> String {
    let body = request_body(false);
    answer_text(&RequestView::parse(body.as_bytes()).unwrap(), ANSWER_TOKENS)
}

async fn send_request(engine: &engine::Engine, stream: bool) -> reqwest::Result<(u16, String)> {
    let url = format!("{}{CHAT_PATH}", engine.url());
    let response = client().post(url).body(request_body(stream)).send().await?;
    let status = response.status().as_u16();
    Ok((status, response.text().await?))
}

fn streamed_text(body: &str) -> (String, bool) {
    let events: Vec<_> = body
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "))
        .collect();
    let is_done = events.last() == Some(&DONE);
    let text = events
        .iter()
        .filter(|event| **event != DONE)
        .filter_map(|event| {
            let chunk: ChatChunk = serde_json::from_str(event).unwrap();
            chunk.choices.into_iter().next()?.delta.content
        })
        .collect();
    (text, is_done)
}

#[tokio::test]
async fn non_streamed_answer_matches_the_prompt() {
    let engine = start(EngineOptions::default());
    let (status, body) = send_request(&engine, false).await.unwrap();
    let answer: ChatCompletion = serde_json::from_str(&body).unwrap();
    assert_eq!(status, 200);
    assert_eq!(
        answer.choices[0].message.content.as_deref(),
        Some(expected_answer().as_str())
    );
    assert_eq!(answer.usage.unwrap().completion_tokens, ANSWER_TOKENS);
}

#[test_case(0; "all at once")]
#[test_case(1; "token by token")]
#[tokio::test]
async fn streamed_answer_matches_the_prompt(token_ms: u64) {
    let engine = start(EngineOptions {
        token_ms,
        ..EngineOptions::default()
    });
    let (_, body) = send_request(&engine, true).await.unwrap();
    assert_eq!(streamed_text(&body), (expected_answer(), true));
}

#[tokio::test]
async fn another_engine_resumes_without_gap_or_overlap() {
    let engine = start(EngineOptions::default());
    let url = format!("{}{CHAT_PATH}", engine.url());
    let request = client().post(url).header(engine::RESUME_HEADER, "5");
    let body = request
        .body(request_body(true))
        .send()
        .await
        .unwrap()
        .text()
        .await
        .unwrap();
    let (rest, is_done) = streamed_text(&body);
    assert!(is_done);
    let first: String = expected_answer().split_inclusive(' ').take(5).collect();
    assert_eq!(first + &rest, expected_answer());
}

#[test_case(Fault::CloseBeforeFirstByte, false; "close before the first byte, not streamed")]
#[test_case(Fault::CloseBeforeFirstByte, true; "close before the first byte, streamed")]
#[test_case(Fault::CloseAfterBytes(100), false; "close within a non-streamed answer")]
#[test_case(Fault::CloseAfterBytes(100), true; "close within a stream")]
#[test_case(Fault::Truncated, false; "truncated non-streamed answer")]
#[tokio::test]
async fn fault_breaks_the_connection(fault: Fault, stream: bool) {
    let engine = start(EngineOptions::default());
    engine.fail_next(fault, 1);
    assert!(send_request(&engine, stream).await.is_err());
    assert_eq!(
        send_request(&engine, stream).await.unwrap().0,
        200,
        "only one request fails"
    );
    eventually("the fault is counted", || engine.counts().failed == 1).await;
}

#[tokio::test]
async fn truncated_stream_lacks_its_end() {
    let engine = start(EngineOptions::default());
    engine.fail_next(Fault::Truncated, 1);
    let (_, body) = send_request(&engine, true).await.unwrap();
    let (text, is_done) = streamed_text(&body);
    assert!(!is_done);
    assert!(expected_answer().starts_with(&text) && text.len() < expected_answer().len());
}

#[tokio::test]
async fn caller_disconnect_cancels_a_streamed_request() {
    let engine = start(EngineOptions {
        token_ms: 3_600_000,
        ..EngineOptions::default()
    });
    let url = format!("{}{CHAT_PATH}", engine.url());
    let response = client()
        .post(url)
        .body(request_body(true))
        .send()
        .await
        .unwrap();
    eventually("the request runs", || engine.load().running == 1).await;
    drop(response);
    eventually("the request is cancelled", || {
        engine.counts().cancelled == 1
    })
    .await;
    assert_eq!(engine.load(), LoadReport::default());
}

#[tokio::test]
async fn requests_beyond_the_batch_wait_and_appear_in_the_load() {
    let engine = start(EngineOptions {
        first_token_ms: 3_600_000,
        batch_slots: 2,
        ..EngineOptions::default()
    });
    let pending = (0..5)
        .map(|_| send_request(&engine, true))
        .collect::<futures::stream::FuturesUnordered<_>>();
    let mut pending = pending;
    tokio::select! {
        _ = pending.next() => panic!("a request completed before its first token was due"),
        () = eventually("three requests wait", || engine.load().waiting == 3) => {}
    }
    let url = format!("{}{LOAD_PATH}", engine.url());
    let report = client()
        .get(url)
        .send()
        .await
        .unwrap()
        .bytes()
        .await
        .unwrap();
    let report: LoadReport = serde_json::from_slice(&report).unwrap();
    assert_eq!((report.running, report.waiting), (2, 3));
}

#[tokio::test]
async fn credential_is_required_and_all_headers_are_recorded() {
    let engine = start(EngineOptions {
        credential: Some("engine-credential".to_owned()),
        ..EngineOptions::default()
    });
    assert_eq!(send_request(&engine, false).await.unwrap().0, 401);
    let url = format!("{}{CHAT_PATH}?q=querysecret", engine.url());
    let request = client()
        .post(url)
        .bearer_auth("engine-credential")
        .header("x-any", "headersecret");
    let status = request
        .body(request_body(false))
        .send()
        .await
        .unwrap()
        .status();
    assert_eq!(status, 200);
    assert_eq!(engine.count_containing("headersecret"), 1);
    assert_eq!(engine.count_containing("querysecret"), 1);
    assert_eq!(engine.count_containing("cochineal"), 2);
    assert_eq!(engine.counts().unauthorized, 1);
}

#[tokio::test]
async fn engine_accepts_connections_again_after_refusing_them() {
    let engine = start(EngineOptions::default());
    engine.set_refusing(true);
    let mut is_refused = false;
    while !is_refused {
        is_refused = send_request(&engine, false)
            .await
            .is_err_and(|err| err.is_connect());
    }
    engine.set_refusing(false);
    while send_request(&engine, false).await.is_err() {}
}

#[tokio::test]
async fn random_faults_occur_at_their_configured_rate() {
    const REQUESTS: u64 = 400;
    let engine = start(EngineOptions {
        seed: 7,
        ..EngineOptions::default()
    });
    engine.add_fault(FaultRule::random(Fault::Status(503), 250_000));
    let mut refused = 0;
    let http = client();
    for _ in 0..REQUESTS {
        let url = format!("{}{CHAT_PATH}", engine.url());
        let status = http
            .post(url)
            .body(request_body(false))
            .send()
            .await
            .unwrap()
            .status();
        refused += u64::from(status == 503);
    }
    assert!(
        (60..140).contains(&refused),
        "{refused} of {REQUESTS} refused"
    );
}

fn start_batched(batch: BatchSettings) -> engine::Engine {
    start(EngineOptions {
        batch: Some(batch),
        batch_slots: 4,
        ..EngineOptions::default()
    })
}

#[test_case(false; "not streamed")]
#[test_case(true; "streamed")]
#[tokio::test]
async fn batched_answers_are_complete_and_match_the_prompt(stream: bool) {
    const REQUESTS: usize = 12;
    let engine = start_batched(BatchSettings {
        step_us: 1_000,
        ..BatchSettings::default()
    });
    let answers = (0..REQUESTS).map(|_| send_request(&engine, stream));
    for answer in futures::future::join_all(answers).await {
        let (_, body) = answer.unwrap();
        if stream {
            assert_eq!(streamed_text(&body), (expected_answer(), true));
        } else {
            let answer: ChatCompletion = serde_json::from_str(&body).unwrap();
            let text = answer.choices[0].message.content.as_deref();
            assert_eq!(text, Some(expected_answer().as_str()));
        }
    }
    // The caller can receive the last byte before the engine counts the answer.
    eventually("all answers are counted", || {
        engine.counts().completed == REQUESTS as u64
    })
    .await;
}

#[tokio::test]
async fn caller_disconnect_frees_a_slot_of_the_batch() {
    let engine = start_batched(BatchSettings {
        step_us: 500_000,
        ..BatchSettings::default()
    });
    let url = format!("{}{CHAT_PATH}", engine.url());
    let http = client();
    let sends = (0..4).map(|_| http.post(&url).body(request_body(true)).send());
    let responses: Vec<_> = futures::future::join_all(sends).await;
    assert!(responses.iter().all(Result::is_ok));
    drop(responses);
    eventually("four requests are cancelled", || {
        engine.counts().cancelled == 4
    })
    .await;
    engine.set_slowdown_pct(1);
    let (_, body) = send_request(&engine, true).await.unwrap();
    assert_eq!(streamed_text(&body), (expected_answer(), true));
}
