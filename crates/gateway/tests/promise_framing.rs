//! Promises about answers of upstreams that never end or have no length, tested with real
//! processes.

#![allow(clippy::unwrap_used)]

mod support;

use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};
use support::{eventually, send, Caller, Fleet, FleetOptions, CONDITION_TIMEOUT};
use test_case::test_case;

/// Deadline of all requests, in milliseconds.
const DEADLINE_MS: u64 = 2_000;
/// Time in which a request has to end, with half a second beyond its deadline and the delay of a
/// busy machine.
const MAX_REQUEST_TIME: Duration = Duration::from_millis(DEADLINE_MS + 1_500);

/// Upstream that sends `start` in answer to each request, and then `unit` again and again with a
/// pause of `pause_ms` milliseconds; it closes the connection if `unit` is empty.
struct RawUpstream {
    url: String,
    requests: Arc<AtomicUsize>,
    /// Connections that the instance has closed.
    closed: Arc<AtomicUsize>,
}

impl RawUpstream {
    fn start(start: &'static str, unit: &'static str, pause_ms: u64) -> Self {
        let serve = move |mut stream: TcpStream| {
            let _ = stream.write_all(start.as_bytes());
            while !unit.is_empty() && stream.write_all(unit.as_bytes()).is_ok() {
                thread::sleep(Duration::from_millis(pause_ms));
            }
        };
        Self::start_with(serve)
    }

    /// Upstream that answers each request as `serve` does, and then resets its connection if it has not read
    /// all of the request.
    fn start_with(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let (requests, closed) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let upstream = Self {
            url,
            requests: Arc::clone(&requests),
            closed: Arc::clone(&closed),
        };
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (requests, closed) = (Arc::clone(&requests), Arc::clone(&closed));
                let serve = serve.clone();
                thread::spawn(move || {
                    if !matches!(stream.read(&mut [0; 65_536]), Ok(1..)) {
                        return;
                    }
                    requests.fetch_add(1, Ordering::SeqCst);
                    serve(stream);
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        upstream
    }
}

/// Fleet whose upstreams in `north` are replaced by `upstream`.
async fn fleet(upstream: &RawUpstream) -> Fleet {
    let mut fleet = Fleet::start(FleetOptions {
        document: |document| {
            document.entry("classes", "question")["deadline_ms"] = DEADLINE_MS.into();
            for route in document.list("routes") {
                route["deadline_ms"] = DEADLINE_MS.into();
            }
        },
        ..FleetOptions::default()
    })
    .await;
    for id in ["north-engine", "north-ledger"] {
        fleet.document.entry("upstreams", id)["url"] = upstream.url.clone().into();
    }
    fleet.publish();
    let caller = Caller::of("north-office");
    let url = fleet.instance("north").url.clone();
    eventually("requests reach the upstream", CONDITION_TIMEOUT, || async {
        let early = caller.chat(&url, "early", false);
        let _ = tokio::time::timeout(MAX_REQUEST_TIME, early).await;
        (upstream.requests.load(Ordering::SeqCst) > 0).then_some(())
    })
    .await;
    fleet
}

#[test_case("HTTP/1.1 200 X\r\n", "x-more: y\r\n", 50; "header lines")]
#[test_case("HTTP/1.1 200 X\r\n", "x-more: y\r\n", 0; "fast header lines")]
#[test_case("HTTP/1.1 200 X\r\nx-more: ", "yyyyyyyy", 0; "one fast header line")]
#[test_case("", "HTTP/1.1 100 X\r\n\r\n", 50; "interim answers")]
#[test_case("HTTP/1.1 200 X\r\n\r\n", " ", 50; "ends with the connection")]
#[test_case("HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\n \r\n", 50; "chunks")]
#[test_case("HTTP/1.1 200 X\r\ncontent-length: 9000\r\n\r\n", " ", 50; "length")]
#[test_case("HTTP/1.1 200 X\r\n\r\n", "                ", 0; "fast")]
#[tokio::test]
async fn an_answer_that_never_ends_is_refused_within_the_deadline(
    start: &'static str,
    unit: &'static str,
    pause_ms: u64,
) {
    let upstream = RawUpstream::start(start, unit, pause_ms);
    let fleet = fleet(&upstream).await;
    let url = &fleet.instance("north").url;
    let caller = Caller::of("north-office");
    for is_action in [false, true] {
        let started = Instant::now();
        let answered = async {
            if is_action {
                caller.confirm(url, "endless").await
            } else {
                caller.chat(url, "endless", false).await
            }
        };
        let reply = tokio::time::timeout(2 * MAX_REQUEST_TIME, answered)
            .await
            .expect("no answer");
        let elapsed = started.elapsed();
        let reply = reply.unwrap();
        assert!(elapsed < MAX_REQUEST_TIME, "{elapsed:?}, {reply:?}");
        assert!(matches!(reply.status, 502 | 504 | 409), "{reply:?}");
        assert_eq!(reply.run, "may-have-run", "{reply:?}");
    }
    eventually("the connections are closed", CONDITION_TIMEOUT, || async {
        let requests = upstream.requests.load(Ordering::SeqCst);
        (upstream.closed.load(Ordering::SeqCst) == requests).then_some(())
    })
    .await;
}

/// An upstream that stopped within the head of its answer, or right after it, made callers get a 200
/// with an empty or short body.
#[test_case("HTTP/1.1 200"; "status line")]
#[test_case("HTTP/1.1 200 X\r\n"; "after the status line")]
#[test_case("HTTP/1.1 200 X\r\ncontent-type: appl"; "header line")]
#[test_case("HTTP/1.1 200 X\r\ncontent-length: 2\r\n"; "before the blank line")]
#[test_case("HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\n"; "announced length without a body")]
#[test_case("HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n"; "chunks without a body")]
#[test_case("HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n"; "chunks without their end")]
#[tokio::test]
async fn an_answer_that_breaks_off_in_its_head_is_never_a_success(start: &'static str) {
    let upstream = RawUpstream::start(start, "", 0);
    let fleet = fleet(&upstream).await;
    let url = &fleet.instance("north").url;
    let caller = Caller::of("north-office");
    let before = upstream.requests.load(Ordering::SeqCst);
    for number in 0..4 {
        let reply = if number % 2 == 0 {
            caller.confirm(url, &format!("cut-{number}")).await
        } else {
            caller.chat(url, "cut", false).await
        };
        let reply = reply.unwrap();
        assert_ne!(reply.status, 200, "{reply:?}");
        assert!(reply.body.is_ok(), "{reply:?}");
    }
    assert!(upstream.requests.load(Ordering::SeqCst) > before);
}

#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_complete() {
    let body = "HTTP/1.1 200 X\r\ncontent-type: application/json\r\n\r\n{\"whole\":true}";
    let upstream = RawUpstream::start(body, "", 0);
    let fleet = fleet(&upstream).await;
    let url = &fleet.instance("north").url;
    let reply = Caller::of("north-office").chat(url, "whole", false).await;
    let reply = reply.unwrap();
    assert_eq!(reply.status, 200);
    assert_eq!(reply.body.as_deref(), Ok("{\"whole\":true}"));
}

/// Guards against a status that is none and reaches the caller as an answer.
#[test_case("000"; "zero")]
#[test_case("099"; "below the range")]
#[test_case("101"; "switches protocols unasked")]
#[test_case("600"; "above the range")]
#[test_case("999"; "far above the range")]
#[test_case("1000"; "four digits")]
#[tokio::test]
async fn an_answer_whose_status_is_out_of_range_is_a_failure(status: &'static str) {
    let body = "content-type: application/json\r\ncontent-length: 2\r\n\r\n{}";
    let answer = format!("HTTP/1.1 {status} X\r\n{body}");
    let upstream = RawUpstream::start(answer.leak(), "", 0);
    let fleet = fleet(&upstream).await;
    let url = &fleet.instance("north").url;
    let caller = Caller::of("north-office");
    for number in 0..4 {
        let reply = if number % 2 == 0 {
            caller.confirm(url, &format!("status-{number}")).await
        } else {
            caller.chat(url, "status", number == 3).await
        };
        let reply = reply.unwrap();
        assert!(matches!(reply.status, 409 | 502 | 503), "{reply:?}");
    }
}

/// Size of an upload that does not fit into the buffers of a connection, in bytes.
const UPLOAD_BYTES: usize = 3 * 1024 * 1024;

/// Sends uploads to the upstream and asserts that none is answered with a success.
async fn assert_uploads_fail(upstream: &RawUpstream) {
    let fleet = fleet(upstream).await;
    let url = &fleet.instance("north").url;
    let caller = Caller::of("north-office");
    let mut sent = 0;
    for number in 0..12 {
        let before = upstream.requests.load(Ordering::SeqCst);
        let request = caller.request("POST", &format!("{url}/ledger/confirmations"));
        let request = request.header("idempotency-key", format!("upload-{number}"));
        let reply = send(request.body("u".repeat(UPLOAD_BYTES))).await;
        sent += upstream.requests.load(Ordering::SeqCst) - before;
        // The instance may answer, and close the connection, before it has read all of the upload.
        if let Ok(reply) = reply {
            assert!(reply.is_failure(), "{reply:?}");
        }
    }
    assert!(sent > 0, "no upload has reached the upstream");
}

/// Guards against a part of an answer that counts as the whole one, since the connection broke while the
/// request was still being written.
#[test_case("HTTP/1.1 200 X\r\n\r\npart"; "no media type")]
#[test_case("HTTP/1.1 200 X\r\ncontent-type: application/json\r\n\r\n{}"; "JSON")]
#[test_case("HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\n\r\ndata: {}\n\n"; "events")]
#[tokio::test]
async fn an_answer_that_is_reset_during_the_upload_is_never_complete(start: &'static str) {
    assert_uploads_fail(&RawUpstream::start(start, "", 0)).await;
}

/// Guards against the same if the upstream ends its side before it resets the connection.
#[tokio::test]
async fn an_answer_that_ends_and_is_reset_during_the_upload_is_never_complete() {
    let upstream = RawUpstream::start_with(|mut stream| {
        let answer = "HTTP/1.1 200 X\r\ncontent-type: application/json\r\n\r\n{}";
        let _ = stream.write_all(answer.as_bytes());
        let _ = stream.shutdown(Shutdown::Write);
        thread::sleep(Duration::from_millis(20));
    });
    assert_uploads_fail(&upstream).await;
}

/// Guards against whole answers that are refused since they end before the upload is through.
#[tokio::test]
async fn an_answer_that_ends_during_the_upload_is_whole_if_the_upload_is_read() {
    let upstream = RawUpstream::start_with(|mut stream| {
        let answer = "HTTP/1.1 200 X\r\ncontent-type: application/json\r\n\r\n{}";
        let _ = stream.write_all(answer.as_bytes());
        let _ = stream.shutdown(Shutdown::Write);
        let _ = std::io::copy(&mut stream, &mut std::io::sink());
    });
    let fleet = fleet(&upstream).await;
    let url = &fleet.instance("north").url;
    let request = Caller::of("north-office")
        .request("POST", &format!("{url}/ledger/confirmations"))
        .header("idempotency-key", "upload");
    let reply = send(request.body("u".repeat(UPLOAD_BYTES))).await.unwrap();
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.body.as_deref(), Ok("{}"));
}
