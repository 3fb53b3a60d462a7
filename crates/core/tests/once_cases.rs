//! Unit tests of single actions, and of keys, records and leases.

use carobwheel_core::once::{
    request_hash, Action, ActionRecord, ActionSpec, Answer, Effect, Input, LeaseChoice, LeaseId,
    LeasePool, MayHaveRun, NotRun, OnceKey, Outcome, StoreAnswer, StoredBody, UpstreamEvent,
    WriterId, MAX_OUTCOME_BYTES,
};
use carobwheel_core::time::Millis;
use test_case::test_case;

const WRITER: WriterId = WriterId([0xab; 16]);
const OTHER_WRITER: WriterId = WriterId([0xcd; 16]);
const NOW: Millis = Millis(1_000);

fn key() -> OnceKey {
    let account = "ledger".parse().expect("a valid identifier");
    OnceKey::new(&account, "pledge-7").expect("a valid key")
}

fn spec() -> ActionSpec {
    ActionSpec {
        key: Some(key()),
        request_sha256: [1; 32],
        deadline: Millis(6_000),
        outcome_kept_ms: 86_400_000,
        deduplicates: false,
    }
}

fn record(writer: WriterId, hash: u8, body: Option<StoredBody>) -> ActionRecord {
    let outcome = body.map(|body| Outcome {
        status: 201,
        content_type: Some("application/json".to_owned()),
        body,
    });
    ActionRecord {
        writer,
        request_sha256: [hash; 32],
        outcome,
    }
}

fn found(writer: WriterId, hash: u8, body: Option<StoredBody>) -> StoreAnswer {
    StoreAnswer::Found {
        record: record(writer, hash, body),
        revision: 9,
    }
}

fn store(call: u32, answer: StoreAnswer) -> Input {
    Input::Store { call, answer }
}

fn upstream(call: u32, event: UpstreamEvent) -> Input {
    Input::Upstream { call, event }
}

fn name(effect: &Effect) -> String {
    match effect {
        Effect::Create { .. } => "create".to_owned(),
        Effect::ReadBack { .. } => "read back".to_owned(),
        Effect::Dispatch { .. } => "dispatch".to_owned(),
        Effect::Relay => "relay".to_owned(),
        Effect::WriteOutcome { .. } => "write outcome".to_owned(),
        Effect::Release { .. } => "release".to_owned(),
        Effect::Answer(answer) => format!("{answer:?}"),
        Effect::End => "end".to_owned(),
    }
}

/// Feeds store results to a new action and returns it with the names of its effects.
fn claim(spec: ActionSpec, answers: Vec<StoreAnswer>) -> (Action, Vec<String>) {
    let mut action = Action::new(spec, WRITER);
    let mut names: Vec<String> = action.start(NOW).iter().map(name).collect();
    for (call, answer) in (1..).zip(answers) {
        names.extend(action.step(store(call, answer), NOW).iter().map(name));
    }
    (action, names)
}

#[test_case(vec![StoreAnswer::Written { revision: 9 }], "create, dispatch"; "claimed")]
#[test_case(vec![StoreAnswer::NotSent], "create, NotRun(StoreUnavailable), end"; "store down")]
#[test_case(vec![StoreAnswer::Lost, found(WRITER, 1, None)], "create, read back, dispatch"; "lost after taking effect")]
#[test_case(vec![StoreAnswer::Lost, StoreAnswer::Absent, StoreAnswer::Written { revision: 9 }], "create, read back, create, dispatch"; "lost before taking effect")]
#[test_case(vec![StoreAnswer::Lost; 4], "create, read back, read back, read back, NotRun(StoreUnavailable), release, end"; "lost for good")]
#[test_case(vec![StoreAnswer::Lost, StoreAnswer::NotSent], "create, read back, NotRun(StoreUnavailable), release, end"; "budget exhausted while settling")]
#[test_case(vec![found(OTHER_WRITER, 1, None)], "create, MayHaveRun(Unfinished), end"; "unfinished")]
#[test_case(vec![found(OTHER_WRITER, 2, None)], "create, NotRun(KeyReused), end"; "other request")]
#[test_case(vec![found(OTHER_WRITER, 1, Some(StoredBody::TooLong))], "create, ReplayUnavailable { status: 201 }, end"; "answer not kept")]
#[test_case(vec![StoreAnswer::Unreadable], "create, MayHaveRun(Unreadable), end"; "unreadable")]
fn claiming(answers: Vec<StoreAnswer>, expected: &str) {
    assert_eq!(claim(spec(), answers).1.join(", "), expected);
}

#[test_case(vec![StoreAnswer::NotSent]; "store down")]
#[test_case(vec![StoreAnswer::Lost; 4]; "lost for good")]
#[test_case(vec![found(OTHER_WRITER, 1, None)]; "unfinished elsewhere")]
fn an_upstream_that_deduplicates_is_served_all_the_same(answers: Vec<StoreAnswer>) {
    let spec = ActionSpec {
        deduplicates: true,
        ..spec()
    };
    let (_, names) = claim(spec, answers);
    assert_eq!(names.last().map(String::as_str), Some("dispatch"));
}

#[test]
fn a_repeat_gets_the_first_answer() {
    let body = StoredBody::Text("{\"receipt\":7}".to_owned());
    let mut action = Action::new(spec(), WRITER);
    action.start(NOW);
    let effects = action.step(store(1, found(OTHER_WRITER, 1, Some(body.clone()))), NOW);
    let Effect::Answer(Answer::Replay(outcome)) = &effects[0] else {
        panic!("{effects:?}");
    };
    assert_eq!((outcome.status, &outcome.body), (201, &body));
}

#[test]
fn an_action_without_a_key_is_dispatched_without_the_store() {
    let spec = ActionSpec {
        key: None,
        ..spec()
    };
    let mut action = Action::new(spec, WRITER);
    assert_eq!(name(&action.start(NOW)[0]), "dispatch");
    assert!(action.permit_send(1, NOW));
    let failed = UpstreamEvent::Failed {
        may_have_sent_bytes: true,
    };
    let effects = action.step(upstream(1, failed), NOW);
    let lost = Answer::MayHaveRun(MayHaveRun::UpstreamLost);
    assert_eq!(effects, [Effect::Answer(lost), Effect::End]);
}

#[test]
fn an_upstream_out_of_reach_is_tried_again_then_the_claim_is_released() {
    let (mut action, _) = claim(spec(), vec![StoreAnswer::Written { revision: 9 }]);
    let failed = UpstreamEvent::Failed {
        may_have_sent_bytes: false,
    };
    let mut names = Vec::new();
    for call in 2..5 {
        let effects = action.step(upstream(call, failed.clone()), NOW);
        names.extend(effects.iter().map(name));
    }
    let expected = "dispatch, dispatch, NotRun(UpstreamUnavailable), release, end";
    assert_eq!(names.join(", "), expected);
}

#[test]
fn a_holder_paused_past_its_deadline_sends_nothing() {
    let (mut action, _) = claim(spec(), vec![StoreAnswer::Written { revision: 9 }]);
    assert!(!action.permit_send(2, Millis(6_000)));
    let failed = UpstreamEvent::Failed {
        may_have_sent_bytes: false,
    };
    let effects = action.step(upstream(2, failed), Millis(6_000));
    let refused = Answer::NotRun(NotRun::DeadlinePassed);
    assert_eq!(effects[0], Effect::Answer(refused));
}

#[test]
fn an_outcome_is_written_under_the_revision_of_the_claim_and_tried_again() {
    let (mut action, _) = claim(spec(), vec![StoreAnswer::Written { revision: 9 }]);
    assert!(action.permit_send(2, NOW));
    let done = record(WRITER, 1, Some(StoredBody::Text("ok".to_owned())));
    let event = UpstreamEvent::Done(done.outcome.clone().expect("an outcome"));
    let effects = action.step(upstream(2, event), NOW);
    let write = |call, not_before| Effect::WriteOutcome {
        call,
        key: key(),
        record: done.clone(),
        revision: 9,
        not_before,
    };
    assert_eq!(effects, [Effect::Relay, write(3, NOW)]);
    let effects = action.step(store(3, StoreAnswer::Lost), NOW);
    assert!(matches!(&effects[0], Effect::WriteOutcome { not_before, .. } if *not_before > NOW));
    let effects = action.step(store(4, StoreAnswer::Written { revision: 10 }), NOW);
    assert_eq!(effects, [Effect::End]);
}

#[test]
fn after_the_deadline_the_outcome_is_still_kept_for_a_repeat() {
    let (mut action, _) = claim(spec(), vec![StoreAnswer::Written { revision: 9 }]);
    assert!(action.permit_send(2, NOW));
    let effects = action.step(Input::DeadlinePassed, Millis(6_000));
    let late = Answer::MayHaveRun(MayHaveRun::DeadlinePassed);
    assert_eq!(effects, [Effect::Answer(late)]);
    let outcome = record(WRITER, 1, Some(StoredBody::Text("ok".to_owned()))).outcome;
    let event = UpstreamEvent::Done(outcome.expect("an outcome"));
    let effects = action.step(upstream(2, event), Millis(7_000));
    let names: Vec<String> = effects.iter().map(name).collect();
    assert_eq!(names, ["write outcome"]);
}

#[test]
#[should_panic(expected = "an upstream responds only after sending was permitted")]
fn an_answer_to_a_dispatch_without_a_permit_is_a_broken_invariant() {
    let (mut action, _) = claim(spec(), vec![StoreAnswer::Written { revision: 9 }]);
    action.step(upstream(2, UpstreamEvent::Head), NOW);
}

#[test]
fn records_are_compact() {
    let claim = record(WRITER, 1, None).to_json();
    let text = ActionRecord::to_json(&record(
        WRITER,
        1,
        Some(StoredBody::new(b"{\"ok\":1}".to_vec())),
    ));
    let binary = ActionRecord::to_json(&record(WRITER, 1, Some(StoredBody::new(vec![0xff, 0x00]))));
    let lines = [claim, text, binary].map(|json| String::from_utf8(json).expect("JSON is UTF-8"));
    insta::assert_snapshot!(lines.join("\n"), @r#"
    {"w":"abababababababababababababababab","h":"0101010101010101010101010101010101010101010101010101010101010101"}
    {"w":"abababababababababababababababab","h":"0101010101010101010101010101010101010101010101010101010101010101","o":{"s":201,"c":"application/json","b":{"t":"{\"ok\":1}"}}}
    {"w":"abababababababababababababababab","h":"0101010101010101010101010101010101010101010101010101010101010101","o":{"s":201,"c":"application/json","b":{"x":"ff00"}}}
    "#);
}

#[test_case(vec![b'a'; MAX_OUTCOME_BYTES] => true; "kept")]
#[test_case(vec![b'a'; MAX_OUTCOME_BYTES + 1] => false; "too long")]
fn bodies_are_bounded(bytes: Vec<u8>) -> bool {
    StoredBody::new(bytes).bytes().is_some()
}

#[test_case("pledge-7" => true; "plain")]
#[test_case("a/b" => true; "slash")]
#[test_case("" => false; "empty")]
#[test_case("a b" => false; "space")]
#[test_case("caf\u{e9}" => false; "not ASCII")]
#[test_case(&"k".repeat(256) => false; "too long")]
fn idempotency_keys(text: &str) -> bool {
    OnceKey::new(&"ledger".parse().expect("a valid identifier"), text).is_ok()
}

#[test]
fn requests_differ_by_method_path_and_body() {
    let first = request_hash("POST", "/ledger", b"x");
    assert_eq!(first, request_hash("POST", "/ledger", b"x"));
    assert_ne!(first, request_hash("PUT", "/ledger", b"x"));
    assert_ne!(first, request_hash("POST", "/ledge", b"rx"));
}

#[test]
fn one_lease_serves_a_minute_and_never_ends_before_its_records() {
    let lifetime_ms = 100_000;
    let mut pool = LeasePool::default();
    let grant = LeaseChoice::Grant { ttl_s: 160 };
    assert_eq!(pool.choose(lifetime_ms, NOW), grant);
    pool.granted(LeaseId(5), 160, NOW);
    for delay_ms in [0, 30_000, 60_000] {
        let choice = pool.choose(lifetime_ms, NOW.plus(delay_ms));
        assert_eq!(choice, LeaseChoice::Use(LeaseId(5)));
    }
    assert_eq!(pool.choose(lifetime_ms, NOW.plus(60_001)), grant);
    let short = LeaseChoice::Grant { ttl_s: 61 };
    assert_eq!(
        pool.choose(1_000, NOW),
        short,
        "a long lease is not used for a short lifetime"
    );
    pool.forget(LeaseId(5));
    assert_eq!(pool.choose(lifetime_ms, NOW), grant);
}
