//! Answers that begin, and end, before the upstream has read the request, and answers with a status that is
//! none.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{
    wait_until, Answer, Caller, ConfigBuilder, Instance, InstanceOptions, Store, HOST, KEY,
};
use serde_json::json;
use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};
use test_case::test_case;

/// Size of an upload that does not fit into the buffers of a connection, in bytes.
const UPLOAD_BYTES: usize = 3 * 1024 * 1024;
/// Event that is sent in place of a body in streams.
const EVENT: &str = "id: 1\ndata: piece 1\n\n";

/// How the upstream ends an answer that it has begun before it has read the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It resets the connection.
    Reset,
    /// It exits, so that its kernel resets the connection for the bytes that it has not read.
    Exit,
    /// It ends its side, and resets the connection afterwards.
    CloseThenReset,
    /// It ends its side, and reads the request to its end.
    CloseThenRead,
    /// It reads the request to its end, and then ends the answer.
    ReadThenClose,
}

/// Answer to a large request.
#[derive(Clone, Debug)]
struct Script {
    /// First line of the head after the version.
    status: &'static str,
    body: String,
    /// Bytes of the request's body that are read before the answer.
    read_bytes: usize,
    /// Time between the answer and its end.
    pause: Duration,
    end: End,
}

/// Upstream that answers small requests as usual, and large ones as its script says.
struct EarlyUpstream {
    address: SocketAddr,
    script: Arc<Mutex<Option<Script>>>,
    large: Arc<AtomicUsize>,
}

impl EarlyUpstream {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let upstream = Self {
            address: listener.local_addr().unwrap(),
            script: Arc::default(),
            large: Arc::default(),
        };
        let (script, large) = (Arc::clone(&upstream.script), Arc::clone(&upstream.large));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, large) = (Arc::clone(&script), Arc::clone(&large));
                thread::spawn(move || while serve(&stream, &script, &large).is_some() {});
            }
        });
        upstream
    }

    fn register(&self, store: &Store, service: &str, zone: &str) {
        let entry = json!({"service": service, "address": self.address, "zone": zone,
            "version": "v1", "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
            "born": 1});
        store.put(&format!("servers/i-{service}"), &entry);
    }
}

/// Serves one request; `None` if the connection has ended.
fn serve(
    mut stream: &TcpStream,
    script: &Mutex<Option<Script>>,
    large: &AtomicUsize,
) -> Option<()> {
    let mut bytes = Vec::new();
    let mut piece = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        if !matches!(stream.read(&mut piece), Ok(1)) {
            return None;
        }
        bytes.push(piece[0]);
    }
    let head = String::from_utf8(bytes).unwrap().to_ascii_lowercase();
    let field = |name: &str| {
        let lines = head.lines().filter_map(|line| line.split_once(": "));
        let mut found = lines.filter(|(known, _)| *known == name);
        found.next().map(|(_, value)| value.to_owned())
    };
    let id = field("x-carobwheel-attempt-id").unwrap_or_default();
    let length: usize = field("content-length").map_or(0, |text| text.parse().unwrap());
    let fields = format!("x-carobwheel-attempt-id: {id}\r\nx-carobwheel-server-seal: sealed\r\n");
    let known = script.lock().unwrap().clone();
    let Some(script) = known.filter(|_| length > 0) else {
        read(stream, length);
        let body = if head.contains(" /chat/") {
            EVENT
        } else {
            "ok"
        };
        let length = body.len();
        let text = format!("HTTP/1.1 200 X\r\n{fields}content-length: {length}\r\n\r\n{body}");
        return stream.write_all(text.as_bytes()).ok();
    };
    large.fetch_add(1, Ordering::SeqCst);
    read(stream, script.read_bytes);
    let (status, body) = (script.status, &script.body);
    let text = format!("HTTP/1.1 {status}\r\n{fields}\r\n{body}");
    // The caller may have closed the connection.
    let _ = stream.write_all(text.as_bytes());
    if script.end == End::ReadThenClose {
        read(stream, length - script.read_bytes);
    }
    thread::sleep(script.pause);
    match script.end {
        End::Reset => {
            let socket = socket2::SockRef::from(stream);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
        End::Exit => {}
        End::CloseThenReset => {
            let _ = stream.shutdown(Shutdown::Write);
            thread::sleep(Duration::from_millis(20));
        }
        End::CloseThenRead | End::ReadThenClose => {
            let _ = stream.shutdown(Shutdown::Write);
            read(stream, length);
        }
    }
    None
}

/// Reads up to `count` bytes.
fn read(stream: &TcpStream, count: usize) {
    let mut limited = stream.take(count as u64);
    // The caller may close the connection.
    let _ = std::io::copy(&mut limited, &mut std::io::sink());
}

/// An instance, or one that forwards all requests to another one, and the upstream.
struct Fixture {
    _store: Store,
    upstream: EarlyUpstream,
    near: Instance,
    _far: Option<Instance>,
}

impl Fixture {
    fn start(path: &str, is_forwarded: bool) -> Self {
        let store = Store::start();
        let is_stream = path == "/chat/";
        let service = if is_stream { "model" } else { "registry" };
        let kind = match path {
            "/chat/" => "streaming",
            "/read/" => "idempotent",
            _ => "non_idempotent",
        };
        let region = if is_forwarded { "south" } else { "north" };
        let homes = json!({"homeRegions": [region], "targetLatencyMs": 4_000});
        let config = ConfigBuilder::new(1)
            .max_body_bytes(2 * UPLOAD_BYTES as u64)
            .route(path, kind, service, 1, homes);
        store.publish(&config);
        let upstream = EarlyUpstream::start();
        upstream.register(&store, service, &format!("{region}-a"));
        let address = store.address;
        let start = |name, region| {
            Instance::start_ready(&InstanceOptions {
                name,
                region,
                store: address,
            })
        };
        let far = is_forwarded.then(|| start("south-1", "south"));
        let near = start("north-1", "north");
        let mut caller = near.caller();
        wait_until("requests are served", || {
            caller.send("POST", &format!("{path}x"), "early", "", "");
            caller.answer().status == 200
        });
        Self {
            _store: store,
            upstream,
            near,
            _far: far,
        }
    }

    /// Sends an upload, which the upstream answers as `script` says, after a request that leaves a kept
    /// connection there.
    fn upload(&self, path: &str, number: usize, script: &Script) -> Answer {
        let before = self.upstream.large.load(Ordering::SeqCst);
        let mut answer = None;
        // The instance sends nothing to an upstream that has failed too often, for a moment.
        wait_until("the upload reaches the upstream", || {
            *self.upstream.script.lock().unwrap() = None;
            let mut caller = self.near.caller();
            caller.send("POST", &format!("{path}x"), "first", "", "");
            if caller.answer().status != 200 {
                return false;
            }
            *self.upstream.script.lock().unwrap() = Some(script.clone());
            send_upload(&mut caller, path, number);
            answer = Some(caller.answer());
            self.upstream.large.load(Ordering::SeqCst) > before
        });
        answer.unwrap()
    }
}

fn send_upload(caller: &mut Caller, path: &str, number: usize) {
    let head = format!(
        "POST {path}x HTTP/1.1\r\nHost: {HOST}\r\nX-Carobwheel-Attempt-Id: a-{number}\r\n\
         X-Carobwheel-Deadline-Ms: 3000\r\nX-Carobwheel-Key: {KEY}\r\n\
         Content-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    caller.write(&head);
    // The instance may answer before it has read all of it.
    let mut body = vec![b'u'; UPLOAD_BYTES];
    // Each request differs, or one that loses its connection would count as one that crashes upstreams.
    body[..8].copy_from_slice(&(number as u64).to_be_bytes());
    let _ = caller.stream.write_all(&body);
}

fn script(path: &str, body_bytes: usize, pause_ms: u64, end: End) -> Script {
    let body = match path {
        "/chat/" => EVENT.repeat(body_bytes.div_ceil(EVENT.len())),
        _ => "x".repeat(body_bytes),
    };
    Script {
        status: "200 X",
        body,
        read_bytes: 1_000,
        pause: Duration::from_millis(pause_ms),
        end,
    }
}

/// Guards against a part of an answer that counts as the whole one, since the connection broke while the
/// request was still being written.
#[test_case("/write/", false; "an action")]
#[test_case("/write/", true; "a forwarded action")]
#[test_case("/read/", false; "a request that may be repeated")]
#[test_case("/read/", true; "a forwarded request that may be repeated")]
#[test_case("/chat/", false; "a stream")]
#[test_case("/chat/", true; "a forwarded stream")]
fn an_answer_that_is_reset_during_the_upload_is_never_complete(path: &str, is_forwarded: bool) {
    let fixture = Fixture::start(path, is_forwarded);
    // Each broken stream keeps the upstream out of use for a moment.
    let pauses_ms: &[u64] = if path == "/chat/" { &[5] } else { &[0, 5, 50] };
    let mut number = 0;
    let mut complete = Vec::new();
    for end in [End::Reset, End::Exit, End::CloseThenReset] {
        for body_bytes in [21, 300_000] {
            for pause_ms in pauses_ms {
                number += 1;
                let script = script(path, body_bytes, *pause_ms, end);
                let answer = fixture.upload(path, number, &script);
                if answer.status == 200 && answer.is_complete {
                    complete.push((end, body_bytes, pause_ms));
                }
            }
        }
    }
    assert!(complete.is_empty(), "{complete:?}");
}

/// Guards against whole answers that are refused since they have no length, or begin early.
#[test_case("/write/", false; "an action")]
#[test_case("/write/", true; "a forwarded action")]
#[test_case("/read/", false; "a request that may be repeated")]
#[test_case("/chat/", false; "a stream")]
#[test_case("/chat/", true; "a forwarded stream")]
fn an_answer_without_a_length_is_whole_if_the_request_is_read(path: &str, is_forwarded: bool) {
    let fixture = Fixture::start(path, is_forwarded);
    let mut number = 0;
    for end in [End::CloseThenRead, End::ReadThenClose] {
        for body_bytes in [21, 300_000] {
            number += 1;
            let script = script(path, body_bytes, 5, end);
            let answer = fixture.upload(path, number, &script);
            let context = (end, body_bytes, answer.status, answer.body.len());
            assert!(answer.status == 200 && answer.is_complete, "{context:?}");
            assert!(
                answer.body.len() >= body_bytes || path == "/chat/",
                "{context:?}"
            );
        }
    }
}

/// Guards against a status that is none and reaches the caller as an answer.
#[test_case("/write/", false; "an action")]
#[test_case("/write/", true; "a forwarded action")]
#[test_case("/read/", false; "a request that may be repeated")]
#[test_case("/chat/", false; "a stream")]
#[test_case("/chat/", true; "a forwarded stream")]
fn an_answer_whose_status_is_out_of_range_is_a_failure(path: &str, is_forwarded: bool) {
    let fixture = Fixture::start(path, is_forwarded);
    let statuses = [
        "000 X", "001 X", "099 X", "101 X", "199 X", "600 X", "777 X", "999 X", "1000 X", "20 X",
        "-20 X", "2x0 X",
    ];
    for (number, status) in statuses.into_iter().enumerate() {
        let script = Script {
            status,
            read_bytes: 8,
            ..script(path, 21, 0, End::Exit)
        };
        let before = fixture.upstream.large.load(Ordering::SeqCst);
        let mut answer = None;
        wait_until("the request reaches the upstream", || {
            *fixture.upstream.script.lock().unwrap() = Some(script.clone());
            let mut caller = fixture.near.caller();
            let id = format!("a-{number}");
            caller.send(
                "POST",
                &format!("{path}x"),
                &id,
                "",
                &format!("{number:08}"),
            );
            answer = Some(caller.answer());
            fixture.upstream.large.load(Ordering::SeqCst) > before
        });
        let answer = answer.unwrap();
        assert!(matches!(answer.status, 502 | 504), "{status}: {answer:?}");
        let seal = answer.header("x-carobwheel-server-seal");
        assert!(seal.is_none(), "{status}: {answer:?}");
    }
}
