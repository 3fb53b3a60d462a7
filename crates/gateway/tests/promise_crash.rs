//! Requests whose prompt crashes engines, tested with real processes.

#![allow(clippy::unwrap_used)]

mod support;

use carobwheel_standin::engine::{EngineOptions, PromptCrash};
use carobwheel_wire::openai::CHAT_PATH;
use futures::future::join_all;
use serde_json::json;
use std::time::{Duration, Instant};
use support::{eventually, send, Caller, Fleet, FleetOptions, Reply, CONDITION_TIMEOUT, REGIONS};
use tokio::time::sleep;

const CRASHING_TEXT: &str = "the table that no engine can parse";
const SYSTEM_PROMPT: &str = "You value furniture.";
const DOWN_MS: u64 = 700;
const TOKENS: u64 = 5;
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// The fifth crash, and three further requests.
const MAX_CRASHES: u64 = 8;
/// Time in which a hold reaches the other instances.
const SPREAD_LIMIT: Duration = Duration::from_secs(1);

async fn fleet(first_token_ms: u64) -> Fleet {
    let engine = EngineOptions {
        answer_tokens: TOKENS,
        first_token_ms,
        ..EngineOptions::default()
    };
    Fleet::start(FleetOptions {
        engine,
        ..FleetOptions::default()
    })
    .await
}

fn crash_on_text(fleet: &Fleet, sends_head: bool) {
    for engine in fleet.engines.values() {
        engine.set_prompt_crash(Some(PromptCrash {
            text: CRASHING_TEXT.to_owned(),
            down_ms: DOWN_MS,
            sends_head,
        }));
    }
}

fn crashes(fleet: &Fleet) -> u64 {
    let engines = fleet.engines.values();
    engines.map(|engine| engine.counts().crashes).sum()
}

/// Sends a request whose second message is `document`; no two have the same last message.
async fn ask(caller: &Caller, url: &str, document: &str, question: usize) -> Reply {
    let body = json!({
        "model": "appraiser",
        "stream": true,
        "max_tokens": TOKENS,
        "messages": [
            {"role": "system", "content": SYSTEM_PROMPT},
            {"role": "user", "content": document},
            {"role": "user", "content": format!("question {question}")},
        ],
    });
    let request = caller.request("POST", &format!("{url}{CHAT_PATH}"));
    send(request.body(body.to_string())).await.unwrap()
}

fn is_held(reply: &Reply) -> bool {
    let is_refused = (reply.status, reply.run.as_str()) == (503, "not-run");
    is_refused && reply.body.as_ref().unwrap().contains("prompt_held")
}

fn is_served(reply: &Reply) -> bool {
    reply.status == 200 && reply.streamed_text().is_some()
}

/// Sends requests that crash engines to one instance, beside sound ones, until they are refused.
async fn send_until_held(fleet: &Fleet, caller: &Caller) -> Duration {
    let url = &fleet.instance("north").url;
    let start = Instant::now();
    let mut crashing_question = 0;
    let mut held_replies = 0;
    while held_replies < 3 {
        assert!(start.elapsed() < CONDITION_TIMEOUT, "never held");
        crashing_question += 1;
        let (reply, _) = tokio::join!(
            ask(caller, url, CRASHING_TEXT, crashing_question),
            ask(caller, url, "a chest of drawers", crashing_question),
        );
        held_replies = if is_held(&reply) { held_replies + 1 } else { 0 };
        sleep(REQUEST_INTERVAL).await;
    }
    start.elapsed()
}

/// Guards against a gateway that carries a crashing prompt from engine to engine.
#[test_case::test_case(false; "before the head")]
#[test_case::test_case(true; "behind the head")]
#[tokio::test]
async fn requests_with_a_part_that_crashes_engines_are_refused_after_a_few_crashes(
    sends_head: bool,
) {
    let fleet = fleet(20).await;
    crash_on_text(&fleet, sends_head);
    let caller = Caller::of("insurers");
    let url = fleet.instance("north").url.clone();
    let elapsed = send_until_held(&fleet, &caller).await;
    let until_held = crashes(&fleet);
    assert!(
        until_held <= MAX_CRASHES,
        "{until_held} crashes in {elapsed:?}"
    );
    for question in 1_000..1_020 {
        let reply = ask(&caller, &url, CRASHING_TEXT, question).await;
        assert!(is_held(&reply), "{reply:?}");
    }
    assert_eq!(crashes(&fleet), until_held, "no engine crashes any more");
    sleep(Duration::from_millis(DOWN_MS)).await;
    let sound = (0..20).map(|question| ask(&caller, &url, "a walnut bureau", question));
    let replies = join_all(sound).await;
    let served = replies.iter().filter(|reply| is_served(reply)).count();
    assert_eq!(
        served, 20,
        "sound requests of the same account and system prompt: {replies:?}"
    );
}

/// Guards against each instance learning of a crashing prompt by crashes of its own.
#[tokio::test]
async fn a_hold_reaches_the_other_instances() {
    let fleet = fleet(20).await;
    crash_on_text(&fleet, false);
    let caller = Caller::of("insurers");
    send_until_held(&fleet, &caller).await;
    let until_held = crashes(&fleet);
    sleep(SPREAD_LIMIT).await;
    for region in REGIONS {
        let url = &fleet.instance(region).url;
        let reply = ask(&caller, url, CRASHING_TEXT, 2_000).await;
        assert!(is_held(&reply), "{region}: {reply:?}");
    }
    assert_eq!(crashes(&fleet), until_held);
}

/// Guards against sound requests being held back or given up after an ordinary crash of an engine.
#[tokio::test]
async fn an_ordinary_crash_holds_nothing_and_its_sound_requests_are_repeated() {
    const REQUESTS: usize = 12;
    let fleet = fleet(400).await;
    let caller = Caller::of("insurers");
    let url = fleet.instance("north").url.clone();
    let document = "a Regency table";
    for question in 0..REQUESTS {
        // Fills the retry budget, which starts empty, and answers the shared parts.
        let reply = ask(&caller, &url, document, question).await;
        assert!(is_served(&reply), "{reply:?}");
    }
    let sound = (0..REQUESTS).map(|question| ask(&caller, &url, document, 100 + question));
    let engine = &fleet.engines["north"];
    let crash = async {
        eventually("requests run", CONDITION_TIMEOUT, || async {
            (engine.load().running > 0).then_some(())
        })
        .await;
        let running = engine.load().running;
        engine.set_refusing(true);
        engine.close_connections();
        running
    };
    let (replies, running) = tokio::join!(join_all(sound), crash);
    assert!(running > 0);
    let served = replies.iter().filter(|reply| is_served(reply)).count();
    assert_eq!(served, REQUESTS, "{replies:?}");
    engine.set_refusing(false);
    let after = (0..REQUESTS).map(|question| ask(&caller, &url, document, 200 + question));
    for reply in join_all(after).await {
        assert!(is_served(&reply), "{reply:?}");
    }
}

/// Time between two requests that crash services, longer than the time within which the ends of
/// connections count as one crash.
const SERVICE_CRASH_INTERVAL: Duration = Duration::from_millis(1_100);
/// The third crash, and three further requests.
const MAX_SERVICE_CRASHES: u64 = 6;

/// Guards against a request without a prompt that is sent to service after service.
#[test_case::test_case("/rounds/7", ""; "told by its path")]
#[test_case::test_case("/rounds/x", "round 7"; "told by its body")]
#[tokio::test]
async fn a_request_that_crashes_services_is_refused_after_a_few_crashes(path: &str, body: &str) {
    const ROUNDS: usize = 8;
    let fleet = fleet(20).await;
    for service in fleet.services.values() {
        service.set_crash_text(Some("7"));
    }
    let caller = Caller::of("insurers");
    let ask = |region: &str, path: &str, body: &str| {
        let url = format!("{}{path}", fleet.instance(region).url);
        let method = if body.is_empty() { "GET" } else { "POST" };
        send(caller.request(method, &url).body(body.to_owned()))
    };
    let mut last = None;
    for round in 0..ROUNDS {
        let region = REGIONS[round % REGIONS.len()];
        for region in REGIONS {
            let sound = ask(region, "/rounds/x", "round 8").await.unwrap();
            assert_eq!(sound.status, 200, "{sound:?}");
        }
        last = Some(ask(region, path, body).await.unwrap());
        sleep(SERVICE_CRASH_INTERVAL).await;
    }
    let services = fleet.services.values();
    let crashes: u64 = services.map(|service| service.crashes()).sum();
    assert!(crashes <= MAX_SERVICE_CRASHES, "{crashes} crashes");
    let last = last.unwrap();
    assert_eq!((last.status, last.run.as_str()), (503, "not-run"));
    assert!(last.body.unwrap().contains("request_held"));
}
