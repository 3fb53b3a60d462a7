//! Stand-in of an engine: registers in the store, runs requests and streams events.

use crate::{
    http::{read_request, respond, Request},
    record::Record,
    store::Store,
};
use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Request that an engine has run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Events that were sent.
    pub events: u64,
    /// Whether the answer was sent whole.
    pub is_whole: bool,
}

/// An engine.
pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    born: u64,
    sequence: AtomicU64,
    record: Arc<Record>,
    /// Runs by the id of the request.
    pub runs: Mutex<HashMap<String, Run>>,
    /// `Retry-After`, in seconds, with which it turns plain requests away; 0 if it runs them.
    pub retry_after_s: AtomicU64,
    /// Times, in seconds, at which it has turned plain requests away.
    pub rejections: Mutex<Vec<f64>>,
    /// Times, in seconds, at which plain requests arrived and were run, and their ids.
    pub arrivals: Mutex<Vec<(f64, String)>>,
}

/// Interval between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(150);

impl Engine {
    pub fn start(record: &Arc<Record>, id: &str, service: &str, zone: &str) -> Arc<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let engine = Arc::new(Engine {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            born: born.as_millis() as u64,
            sequence: AtomicU64::new(0),
            record: Arc::clone(record),
            runs: Mutex::default(),
            arrivals: Mutex::default(),
            retry_after_s: AtomicU64::new(0),
            rejections: Mutex::default(),
        });
        let accepting = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = Arc::clone(&accepting);
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// Writes the entry of a ready engine in the store.
    pub fn beat(&self, store: &Store) {
        self.report(store, "ready");
    }

    /// Writes the entry in the store.
    pub fn report(&self, store: &Store, state: &str) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        );
        store.write(&format!("servers/{}", self.id), &entry);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a second handle");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.answer(&mut writer, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, writer: &mut TcpStream, request: &Request) -> std::io::Result<()> {
        let own = format!("X-Carobwheel-Instance-Id: {}\r\n", self.id);
        if request.path() == "/health" {
            return respond(writer, 200, &own, b"");
        }
        let Some(id) = request.head.get("x-carobwheel-attempt-id") else {
            return respond(writer, 400, "X-Carobwheel-Not-Executed: 1\r\n", b"");
        };
        let expected = request.head.get("x-carobwheel-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return respond(writer, 421, &own, b"");
        }
        if request.path().starts_with("/chat/") {
            return self.stream(writer, request, id);
        }
        let retry_after_s = self.retry_after_s.load(Ordering::Relaxed);
        if retry_after_s > 0 {
            self.record.line(&format!("engine {} turns {id} away, Retry-After {retry_after_s}", self.id));
            self.rejections.lock().unwrap().push(self.record.now());
            let headers = format!(
                "X-Carobwheel-Attempt-Id: {id}\r\nX-Carobwheel-Not-Executed: 1\r\nRetry-After: {retry_after_s}\r\n"
            );
            return respond(writer, 503, &headers, b"");
        }
        self.record.line(&format!("engine {} runs {id}", self.id));
        self.arrivals.lock().unwrap().push((self.record.now(), id.to_owned()));
        let headers =
            format!("X-Carobwheel-Attempt-Id: {id}\r\nX-Carobwheel-Server-Seal: {}.{id}\r\n", self.id);
        respond(writer, 200, &headers, format!("answer to {id}").as_bytes())
    }

    /// Runs a streaming request, whose body is the number of events.
    fn stream(&self, writer: &mut TcpStream, request: &Request, id: &str) -> std::io::Result<()> {
        let count: u64 = String::from_utf8_lossy(&request.body).trim().parse().unwrap_or(1);
        self.record.line(&format!("engine {} runs {id}, {count} events", self.id));
        let run = Run { events: 0, is_whole: false };
        self.runs.lock().unwrap().insert(id.to_owned(), run);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Carobwheel-Attempt-Id: {id}\r\nX-Carobwheel-Server-Seal: {}.{id}\r\n\r\n",
            self.id
        );
        let streamed = self.send_events(writer, &head, id, count);
        let sent = self.runs.lock().unwrap()[id].events;
        match &streamed {
            Ok(()) => {
                self.runs.lock().unwrap().get_mut(id).expect("a run").is_whole = true;
                self.record.line(&format!("engine {} has sent all of {id}", self.id));
            }
            Err(err) => self.record.line(&format!(
                "engine {} is cut off from {id} by its caller after {sent} events: {err}",
                self.id
            )),
        }
        streamed
    }

    fn send_events(&self, writer: &mut TcpStream, head: &str, id: &str, count: u64) -> std::io::Result<()> {
        writer.write_all(head.as_bytes())?;
        for number in 1..=count {
            let event = format!("id: {number}\ndata: {id} {number} of {count}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            writer.write_all(chunk.as_bytes())?;
            self.runs.lock().unwrap().get_mut(id).expect("a run").events = number;
            thread::sleep(EVENT_INTERVAL);
            let mut byte = [0];
            writer.set_nonblocking(true)?;
            let peeked = writer.peek(&mut byte);
            writer.set_nonblocking(false)?;
            if matches!(peeked, Ok(0)) {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
