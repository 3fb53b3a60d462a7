//! Tests of `carobctl load` with requests that crash a stand-in engine.

#![allow(clippy::unwrap_used)]

use carobwheel_standin::engine::{self, EngineOptions, PromptCrash};
use std::process::{Command, Output};
use test_case::test_case;

const RANGE: &str = "must be between 0 and 100 %";
const CRASHING_TEXT: &str = "unreadable table";

fn load(target: &str, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_carobctl"))
        .args(["load", "--model", "appraiser", "--target", target])
        .args(args)
        .output()
        .unwrap()
}

#[test_case(&["--crash-share-pct=-1", "--crash-text=x"], RANGE; "below 0")]
#[test_case(&["--crash-share-pct=100.1", "--crash-text=x"], RANGE; "above 100")]
#[test_case(&["--crash-share-pct=NaN", "--crash-text=x"], RANGE; "not a number")]
#[test_case(&["--crash-share-pct=5"], "needs a --crash-text"; "without a text")]
fn a_share_out_of_range_is_refused(args: &[&str], error: &str) {
    let output = load("http://127.0.0.1:9", args);
    assert!(!output.status.success());
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains(error), "{text}");
}

#[test]
fn crashes_and_sound_requests_are_reported_apart() {
    let engine = engine::start(EngineOptions::default()).unwrap();
    engine.set_prompt_crash(Some(PromptCrash {
        text: CRASHING_TEXT.to_owned(),
        down_ms: 100,
        sends_head: false,
    }));
    let args = [
        "--rate-per-s",
        "50",
        "--duration-s",
        "2",
        "--crash-share-pct",
        "10",
        "--crash-text",
        CRASHING_TEXT,
        "--engine",
        &engine.url(),
    ];
    let output = load(&engine.url(), &args);
    let report = String::from_utf8(output.stdout).unwrap();
    let crashes = engine.counts().crashes;
    assert!(crashes > 0, "{report}");
    assert!(
        report.contains(&format!("crashes of engines: {crashes}")),
        "{report}"
    );
    assert!(report.contains("with the crashing text: "), "{report}");
    assert!(!report.contains(", 0 complete"), "{report}");
}
