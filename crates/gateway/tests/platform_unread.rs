//! Memory of an instance whose callers do not read their streams.
//!
//! Apart from `platform_endless`, whose tests bound times: these fill the kernel's buffers.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{
    Caller, ConfigBuilder, Engine, Instance, InstanceOptions, RawEnd, Script, Store, HOST, KEY,
};
use socket2::{Domain, Socket, Type};
use std::{
    thread,
    time::{Duration, Instant},
};
use test_case::test_case;

/// Memory that one request may take, in bytes, as in `platform_endless`.
const MAX_REQUEST_BYTES: usize = 2 * 1024 * 1024;
/// Memory that an instance may take beyond that, in bytes.
const MAX_OTHER_BYTES: usize = 16 * 1024 * 1024;
/// Head of an answer without the blank line.
const HEAD: &str = "HTTP/1.1 200 X\r\nx-carobwheel-attempt-id: {id}\r\n\
                    x-carobwheel-server-seal: sealed\r\n";
/// Streams whose callers do not read them; as many as one upstream of the fixture takes.
const UNREAD_STREAMS: usize = 14;

/// Caller whose side of the connection buffers little, so that what it does not read stays with the
/// instance.
fn slow_caller(instance: &Instance) -> Caller {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    socket.connect(&instance.callers.into()).unwrap();
    Caller {
        stream: socket.into(),
    }
}

/// An upstream that filled all its streams with large events to callers that did not read them took
/// the memory of the machine: eight events were queued for each.
#[test_case(250_000; "large events")]
#[test_case(20_000; "events of medium size")]
#[test_case(50; "small events")]
fn streams_whose_callers_do_not_read_take_bounded_memory(event_bytes: usize) {
    let store = Store::start();
    let chat = serde_json::json!({"timeoutMs": 60_000});
    store.publish(&ConfigBuilder::new(1).route("/chat/", "streaming", "model", 1, chat));
    let event: &'static str = format!("data: {}\n\n", "x".repeat(event_bytes)).leak();
    let start = format!("{HEAD}\r\n").into_bytes();
    let script = Script::Raw(start, RawEnd::Endless(event.as_bytes()));
    let engine = Engine::start("i-1");
    engine.register(&store, "model", "north-a", "ready");
    engine.script(std::iter::repeat_n(script, UNREAD_STREAMS));
    let instance = Instance::start_ready(&InstanceOptions {
        name: "north-1",
        region: "north",
        store: store.address,
    });
    let before = instance.resident_bytes();
    let mut callers = Vec::new();
    for n in 0..UNREAD_STREAMS {
        let mut caller = slow_caller(&instance);
        caller.write(&format!(
            "POST /chat/x HTTP/1.1\r\nHost: {HOST}\r\nX-Carobwheel-Attempt-Id: a-{n}\r\n\
             X-Carobwheel-Deadline-Ms: 60000\r\nX-Carobwheel-Key: {KEY}\r\n\
             Content-Length: 8\r\n\r\nquestion"
        ));
        callers.push(caller);
    }
    let until = Instant::now() + Duration::from_secs(4);
    let mut largest = before;
    while Instant::now() < until {
        largest = largest.max(instance.resident_bytes());
        thread::sleep(Duration::from_millis(20));
    }
    let grown = largest - before;
    println!("grown by {grown} bytes");
    assert_eq!(engine.seen().len(), UNREAD_STREAMS);
    assert!(
        grown < UNREAD_STREAMS * MAX_REQUEST_BYTES + MAX_OTHER_BYTES,
        "grown by {grown} bytes"
    );
}
