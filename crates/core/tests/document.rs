//! Tests of the configuration document: the shipped examples are valid, and every fault is reported
//! with its path.

use carobwheel_core::document::Document;
use serde_json::{json, Value};
use test_case::test_case;

const AUTHORITY: &str = include_str!("../../../examples/authority.json");
const SKLEDICA: &str = include_str!("../../../examples/skledica.json");

#[test_case(AUTHORITY ; "authority")]
#[test_case(SKLEDICA ; "skledica")]
fn shipped_examples_are_valid(text: &str) {
    assert!(Document::parse(text.as_bytes()).is_ok());
}

#[test_case(AUTHORITY ; "authority")]
#[test_case(SKLEDICA ; "skledica")]
fn a_document_survives_a_round_trip(text: &str) {
    let document = Document::parse(text.as_bytes()).expect("the example is valid");
    let again = serde_json::to_vec(&document).expect("a document serialises");
    assert_eq!(Document::parse(&again), Ok(document));
}

#[test_case("{" ; "syntax")]
#[test_case("{}" ; "missing_fields")]
#[test_case("[]" ; "not_an_object")]
fn an_unreadable_document_is_one_fault_at_the_root(text: &str) {
    let faults = Document::parse(text.as_bytes()).expect_err("the text is not a valid document");
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].path, "");
}

fn faults_after(edit: impl Fn(&mut Value)) -> Vec<String> {
    let mut value: Value = serde_json::from_str(AUTHORITY).expect("the example is JSON");
    edit(&mut value);
    let bytes = serde_json::to_vec(&value).expect("JSON serialises");
    match Document::parse(&bytes) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn every_fault_is_named_with_its_path() {
    let faults = faults_after(|value| {
        value["policy"]["retry_budget_pct"] = json!(101);
        value["regions"][1]["data_centres"] = json!([]);
        value["accounts"][0]["burst_tokens"] = json!(0);
        value["accounts"][1]["keys"] = value["accounts"][0]["keys"].clone();
        value["accounts"][3]["bound_region"] = json!("west");
        value["classes"][1]["max_prompt_tokens"] = json!(10);
        value["classes"][0]["deadline_ms"] = json!(100);
        value["upstreams"][0]["region"] = json!("west");
        value["upstreams"][1]["data_centre"] = json!("south-a");
        value["upstreams"][2]["url"] = json!("ftp://host");
        value["routes"][0]["path"] = json!("/v1/models");
        value["routes"][1]["methods"] = json!(["FETCH"]);
        value["routes"][2]["service"] = json!("unknown");
    });
    insta::assert_snapshot!(faults.join("\n"));
}

#[test]
fn a_contradictory_rollout_is_refused() {
    let faults = faults_after(|value| {
        value["rollouts"] = json!([{
            "id": "move-1", "model": "unknown", "old_version": "v1", "new_version": "v1",
            "steps": [
                {"at_unix_ms": 2000, "share_ppm": 500_000},
                {"at_unix_ms": 1000, "share_ppm": 1_000_001},
            ],
            "deadline_unix_ms": 1500,
        }]);
    });
    insta::assert_snapshot!(faults.join("\n"));
}

#[test]
fn an_unknown_field_is_refused() {
    let faults = faults_after(|value| value["accounts"][0]["rate"] = json!(1));
    assert_eq!(faults.len(), 1);
    assert!(faults[0].contains("unknown field `rate`"), "{faults:?}");
}

#[test]
fn a_document_above_one_megabyte_is_refused() {
    let faults = Document::parse(&vec![b' '; 1_000_001]).expect_err("too long");
    insta::assert_snapshot!(faults[0].to_string(), @"1000001 bytes, at most 1000000 are allowed");
}
