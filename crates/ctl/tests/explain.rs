//! Tests of `carobctl explain` on recorded logs.

#![allow(clippy::unwrap_used)]

use std::process::{Command, Output};

fn explain(args: &[&str]) -> Output {
    let logs = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs");
    Command::new(env!("CARGO_BIN_EXE_carobctl"))
        .current_dir(logs)
        .arg("explain")
        .args(args)
        .output()
        .unwrap()
}

#[test]
fn lines_of_a_request_are_merged_in_order_of_time() {
    let output = explain(&["57f82b24", "south-1.log", "north-1.log"]);
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(String::from_utf8(output.stdout).unwrap(), @r#"
    ~-5000 ms north-1 config_in_force accounts=4 before=3 routes=51 version=4
    ~-1000 ms south-1 upstream_ejected error_share=0.5 request="before" upstream="i-1"
     +0 ms north-1 admitted account="valuers" config=4 route="chat" tokens=826
     +1 ms north-1 forwarded local_wait_ms=910 member="south-1" region="south" wait_ms=20
     +90 ms south-1 placed at_upstream=6 attempt=1 config=4 unread_tokens=628 upstream="i-1" wait_ms=29
     +190 ms south-1 answered first_byte_ms=100 status=200 upstream="i-1"
     +5190 ms south-1 answer_broken after_ms=5100 events=30 reason="error reading a body" upstream="i-1"
    ~+5200 ms south-1 upstream_missing is_after_outage=false upstream="i-1"
    "#);
}

#[test]
fn an_unknown_request_has_its_own_exit_code() {
    let output = explain(&["nobody", "north-1.log"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(output.stdout.is_empty());
}

#[test]
fn an_unreadable_log_is_named_in_the_error() {
    let output = explain(&["57f82b24", "missing.log"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8(output.stderr)
        .unwrap()
        .contains("missing.log"));
}
