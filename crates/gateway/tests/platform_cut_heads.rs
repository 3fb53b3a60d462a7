//! Answers whose connection ends within their head, or right after it.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{ConfigBuilder, Engine, Instance, InstanceOptions, RawEnd, Script, Store};
use test_case::test_case;

/// Head of an answer without the lines that state its length.
const HEAD: &str = "HTTP/1.1 200 X\r\nx-carobwheel-attempt-id: {id}\r\n\
                    x-carobwheel-server-seal: sealed\r\n";

/// Sends one request for each way in which the head is cut. None may be answered as a success that
/// looks complete.
fn check_cuts(path: &str, cuts: impl Iterator<Item = Vec<u8>>, end: RawEnd) {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let engine = Engine::start("i-1");
    engine.register(&store, "registry", "north-a", "ready");
    let model = Engine::start("i-2");
    model.register(&store, "model", "north-a", "ready");
    let instance = Instance::start_ready(&InstanceOptions {
        name: "north-1",
        region: "north",
        store: store.address,
    });
    let mut sent = 0;
    for cut in cuts {
        let text = String::from_utf8_lossy(&cut).into_owned();
        for engine in [&engine, &model] {
            engine.replace_script(std::iter::repeat_n(Script::Raw(cut.clone(), end), 4));
        }
        let mut caller = instance.caller();
        caller.send("POST", path, &format!("a-{sent}"), "", "question");
        let answer = caller.answer();
        let is_success = (200..300).contains(&answer.status) && answer.is_complete;
        assert!(!is_success, "{answer:?} to {text:?}");
        sent += 1;
    }
    let seen = engine.seen().len() + model.seen().len();
    assert!(seen >= sent / 2, "only {seen} of {sent} requests were sent");
}

/// All beginnings of the head that lack at least its last byte.
fn beginnings(last_lines: &str) -> impl Iterator<Item = Vec<u8>> {
    let head = format!("{HEAD}{last_lines}\r\n").into_bytes();
    (0..head.len())
        .step_by(3)
        .map(move |end| head[..end].to_vec())
}

/// An upstream that stopped within the head of its answer made callers get a 200 with an empty body.
#[test_case("/write/x", "content-length: 5\r\n"; "with a length")]
#[test_case("/write/x", "transfer-encoding: chunked\r\n"; "in chunks")]
#[test_case("/write/x", ""; "of unknown length")]
#[test_case("/read/x", "content-length: 5\r\n"; "of a request that is repeated")]
#[test_case("/chat/x", "content-type: text/event-stream\r\n"; "of a stream")]
fn a_head_that_breaks_off_is_never_a_success(path: &str, last_lines: &str) {
    check_cuts(path, beginnings(last_lines), RawEnd::Close);
    // Each reset waits for a moment.
    check_cuts(path, beginnings(last_lines).step_by(12), RawEnd::Reset);
}

/// As above, with a connection that ends right after a head which announces a body.
#[test_case("/write/x"; "whole answers")]
#[test_case("/chat/x"; "streams")]
fn a_head_whose_announced_body_is_missing_is_never_a_success(path: &str) {
    let announced = [
        "content-length: 5\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n",
        "transfer-encoding: chunked\r\n\r\n5\r\n",
        "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n",
        "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n",
    ];
    let cuts = announced.map(|lines| format!("{HEAD}{lines}").into_bytes());
    check_cuts(path, cuts.into_iter(), RawEnd::Close);
}
