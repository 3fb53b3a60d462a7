//! Tests of answers of upstreams that never end.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{
    wait_until, ConfigBuilder, Engine, Instance, InstanceOptions, RawEnd, Script, Store,
};
use std::{
    io::{Read as _, Write as _},
    net::TcpListener,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, OnceLock,
    },
    thread,
    time::{Duration, Instant},
};
use test_case::test_case;

/// Requests that get an endless answer at the same time.
const REQUESTS: usize = 6;
/// Time after which the requests, whose deadline is 3 s, have to be over.
const MAX_REQUEST_TIME: Duration = Duration::from_millis(4_000);
/// Memory that one request may take, in bytes: read buffer, one incomplete event or the buffered
/// part of an answer, the queue to the caller and the write buffer.
const MAX_REQUEST_BYTES: usize = 2 * 1024 * 1024;
/// Memory that an instance may take beyond that, in bytes.
const MAX_OTHER_BYTES: usize = 16 * 1024 * 1024;

/// Largest body of unknown length that is passed on, in bytes.
const MAX_UNSIZED_BYTES: usize = 64 * 1024 * 1024;
/// Time by which an event or interim answers over their limit have to be noticed.
const MAX_NOTICE_TIME: Duration = Duration::from_millis(1_500);

/// Chunk of 64 KiB.
static CHUNK: OnceLock<String> = OnceLock::new();

/// Head of an answer without the blank line.
const HEAD: &str = "HTTP/1.1 200 X\r\nx-carobwheel-attempt-id: {id}\r\n\
                    x-carobwheel-server-seal: sealed\r\n";

/// Instance with a store and six upstreams of each service.
struct Fixture {
    _store: Store,
    engines: Vec<Engine>,
    instance: Instance,
}

fn fixture() -> Fixture {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let mut engines = Vec::new();
    for service in ["registry", "model"] {
        for n in 0..REQUESTS {
            let engine = Engine::start(&format!("i-{service}-{n}"));
            engine.register(&store, service, "north-a", "ready");
            engines.push(engine);
        }
    }
    let instance = Instance::start_ready(&InstanceOptions {
        name: "north-1",
        region: "north",
        store: store.address,
    });
    Fixture {
        _store: store,
        engines,
        instance,
    }
}

/// What a caller got.
#[derive(Debug)]
struct Received {
    /// Status, or 0 if there was none.
    status: u16,
    /// Last bytes of the answer.
    last: Vec<u8>,
    /// Size of the answer, in bytes.
    bytes: usize,
}

fn read_answer(instance: &Instance, path: &str, id: &str) -> Received {
    let mut caller = instance.caller();
    caller.send("POST", path, id, "Connection: close\r\n", "question");
    let mut head = Vec::new();
    while head.len() < 12 && caller.read_more(&mut head) {}
    let status = std::str::from_utf8(head.get(9..12).unwrap_or(b"0")).unwrap();
    let status = status.parse().unwrap();
    let (mut last, mut bytes) = (head, 0);
    while caller.read_more(&mut last) {
        let before_last = last.len().saturating_sub(16);
        last.drain(..before_last);
        bytes += before_last;
    }
    bytes += last.len();
    Received {
        status,
        last,
        bytes,
    }
}

/// How the requests with endless answers ended.
struct Endless {
    /// Size of the largest answer that a caller got, in bytes.
    largest_answer: usize,
    /// Time until all of them had ended.
    elapsed: Duration,
}

/// Sends requests whose answers go on for ever, and checks that they end, in time and with a
/// truthful answer, and that the memory of the instance stays bounded meanwhile.
fn check_endless(path: &str, start: &str, unit: &'static str) -> Endless {
    let fixture = fixture();
    let instance = &fixture.instance;
    for engine in &fixture.engines {
        let bytes = start.as_bytes().to_vec();
        let script = Script::Raw(bytes, RawEnd::Endless(unit.as_bytes()));
        engine.script(std::iter::repeat_n(script, REQUESTS));
    }
    let before = instance.resident_bytes();
    let is_over = AtomicBool::new(false);
    let started = Instant::now();
    let (answers, largest) = thread::scope(|scope| {
        let largest = scope.spawn(|| {
            let mut largest = before;
            while !is_over.load(Ordering::SeqCst) {
                largest = largest.max(instance.resident_bytes());
                thread::sleep(Duration::from_millis(20));
            }
            largest
        });
        let requests: Vec<_> = (0..REQUESTS)
            .map(|n| scope.spawn(move || read_answer(instance, path, &format!("a-{n}"))))
            .collect();
        let answers: Vec<_> = requests.into_iter().map(|it| it.join().unwrap()).collect();
        is_over.store(true, Ordering::SeqCst);
        (answers, largest.join().unwrap())
    });
    let elapsed = started.elapsed();
    for answer in &answers {
        assert!(matches!(answer.status, 200 | 502 | 504), "{answers:?}");
        let is_complete = answer.last.ends_with(b"0\r\n\r\n");
        assert!(answer.status != 200 || !is_complete, "{answers:?}");
    }
    assert!(elapsed < MAX_REQUEST_TIME, "{elapsed:?}");
    let grown = largest.saturating_sub(before);
    println!("grown by {grown} bytes in {elapsed:?}");
    assert!(
        grown < REQUESTS * MAX_REQUEST_BYTES + MAX_OTHER_BYTES,
        "grown by {grown} bytes"
    );
    let sent: usize = fixture.engines.iter().map(|it| it.seen().len()).sum();
    assert_eq!(sent, REQUESTS, "a request was sent twice");
    wait_until("the connections to the upstreams are closed", || {
        fixture.engines.iter().map(Engine::abandoned).sum::<usize>() == REQUESTS
    });
    wait_until("each failure is logged", || {
        let logged = |event| instance.logged(event).len();
        logged("send_failed") + logged("answer_broken") == REQUESTS
    });
    Endless {
        largest_answer: answers.iter().map(|answer| answer.bytes).max().unwrap(),
        elapsed,
    }
}

#[test_case("HTTP/1.1 200 X\r\n", "x-more: y\r\n"; "header lines")]
#[test_case("HTTP/1.1 200 X\r\nx-more: ", "y"; "one header line")]
#[test_case("HTTP/1.1 200 ", "y"; "status line")]
#[test_case("", "\r\n"; "blank lines")]
#[test_case("", "%"; "no http")]
fn a_head_that_never_ends_is_broken_off(start: &str, unit: &'static str) {
    check_endless("/write/x", start, unit);
}

#[test]
fn a_body_of_unknown_length_is_limited_in_size() {
    let unit = CHUNK.get_or_init(|| format!("10000\r\n{}\r\n", "x".repeat(0x1_0000)));
    let start = format!("{HEAD}transfer-encoding: chunked\r\n\r\n");
    let endless = check_endless("/write/x", &start, unit);
    let framing_bytes = MAX_UNSIZED_BYTES / 64;
    assert!(
        endless.largest_answer < MAX_UNSIZED_BYTES + framing_bytes,
        "{} bytes",
        endless.largest_answer
    );
}

#[test_case("transfer-encoding: chunked\r\n\r\n", "5\r\nxxxxx\r\n"; "chunks")]
#[test_case("transfer-encoding: chunked\r\n\r\n5;", "x"; "chunk extension")]
#[test_case("transfer-encoding: chunked\r\n\r\n", "0"; "chunk size")]
#[test_case("transfer-encoding: chunked\r\n\r\n0\r\n", "x-more: y\r\n"; "trailers")]
#[test_case("\r\n", "x"; "ends with the connection")]
#[test_case("content-length: 9000000000000\r\n\r\n", "x"; "length")]
fn a_body_that_never_ends_is_broken_off(start: &str, unit: &'static str) {
    check_endless("/write/x", &format!("{HEAD}{start}"), unit);
}

#[test_case("", "data: x\n"; "many lines")]
#[test_case("data: ", "x"; "one line")]
fn an_event_that_never_ends_is_broken_off_before_the_deadline(start: &str, unit: &'static str) {
    let endless = check_endless("/chat/x", &format!("{HEAD}\r\n{start}"), unit);
    assert!(endless.elapsed < MAX_NOTICE_TIME, "{:?}", endless.elapsed);
}

#[test]
fn endless_interim_answers_are_broken_off_before_the_deadline() {
    let endless = check_endless("/write/x", "", "HTTP/1.1 100 X\r\n\r\n");
    assert!(endless.elapsed < MAX_NOTICE_TIME, "{:?}", endless.elapsed);
}

#[test_case("", ": x\n\n"; "comments")]
#[test_case("", "data: x\n\n"; "events")]
fn a_stream_that_never_ends_is_broken_off(start: &str, unit: &'static str) {
    check_endless("/chat/x", &format!("{HEAD}\r\n{start}"), unit);
}

#[test]
fn endless_bytes_after_a_complete_answer_belong_to_no_request() {
    let fixture = fixture();
    for engine in &fixture.engines {
        let whole = format!("{HEAD}content-length: 5\r\n\r\nwhole");
        engine.script([Script::Raw(whole.into_bytes(), RawEnd::Endless(b"x"))]);
    }
    let before = fixture.instance.resident_bytes();
    let mut caller = fixture.instance.caller();
    for n in 0..40 {
        caller.send("POST", "/read/x", &format!("a-{n}"), "", "");
        let answer = caller.answer();
        assert_eq!(answer.status, 200, "{answer:?}");
        assert!(matches!(answer.body.as_str(), "whole" | "ok"), "{answer:?}");
    }
    let grown = fixture.instance.resident_bytes().saturating_sub(before);
    assert!(grown < MAX_OTHER_BYTES, "grown by {grown} bytes");
    let is_used = |engine: &&Engine| !engine.seen().is_empty();
    let used = fixture.engines.iter().filter(is_used);
    wait_until("the connections to the upstreams are closed", || {
        used.clone().all(|engine| engine.abandoned() == 1)
    });
    assert!(used.count() > 0);
}

/// Calls to the store that an instance makes at the same time.
const STORE_CALLS: usize = 6;
/// Memory that one answer of the store may take, in bytes: twice its largest size, as the buffer
/// grows by doubling.
const MAX_STORE_CALL_BYTES: usize = 2 * 8 * 1024 * 1024;

#[test_case("HTTP/1.1 200 X\r\n\r\n", "x"; "body")]
#[test_case("HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n", "5\r\nxxxxx\r\n"; "chunks")]
#[test_case("HTTP/1.1 200 X\r\n", "x-more: y\r\n"; "head")]
#[test_case("HTTP/1.1 500 X\r\n\r\n", "x"; "body of an error")]
fn answers_of_the_store_that_never_end_take_bounded_memory(start: &'static str, unit: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let store = listener.local_addr().unwrap();
    let unit = unit.repeat(65_536 / unit.len());
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let unit = unit.clone();
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 4_096]);
                let _ = stream.write_all(start.as_bytes());
                while stream.write_all(unit.as_bytes()).is_ok() {}
            });
        }
    });
    let instance = Instance::start(&InstanceOptions {
        name: "north-1",
        region: "north",
        store,
    });
    let bound = STORE_CALLS * MAX_STORE_CALL_BYTES + 2 * MAX_OTHER_BYTES;
    let until = Instant::now() + Duration::from_secs(5);
    let mut largest = 0;
    while Instant::now() < until {
        largest = largest.max(instance.resident_bytes());
        assert!(largest < bound, "{largest} bytes");
        thread::sleep(Duration::from_millis(20));
    }
    println!("largest {largest} bytes");
}

#[test]
fn a_listing_whose_pages_never_end_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let store = listener.local_addr().unwrap();
    let calls = Arc::<AtomicUsize>::default();
    let counted = Arc::clone(&calls);
    let page = r#"{"items":[{"key":"op/config","value":"","revision":1}],"morePages":true,"currentRev":1}"#;
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let calls = Arc::clone(&counted);
            thread::spawn(move || {
                while matches!(stream.read(&mut [0; 4_096]), Ok(1..)) {
                    calls.fetch_add(1, Ordering::SeqCst);
                    let length = page.len();
                    let head = format!("HTTP/1.1 200 X\r\ncontent-length: {length}\r\n\r\n");
                    let _ = stream.write_all(format!("{head}{page}").as_bytes());
                }
            });
        }
    });
    let _instance = Instance::start(&InstanceOptions {
        name: "north-1",
        region: "north",
        store,
    });
    thread::sleep(Duration::from_secs(4));
    // Each watched prefix is tried again after a pause that grows to a second.
    let calls = calls.load(Ordering::SeqCst);
    assert!((1..200).contains(&calls), "{calls} calls in 4 s");
}
