//! Stand-in of an engine: registers in the store, runs requests and streams events.

use crate::{
    http::{read_request, respond, Request},
    record::Record,
    store::Store,
};
use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
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
    born: AtomicU64,
    sequence: AtomicU64,
    record: Arc<Record>,
    /// Runs by the id of the request.
    pub runs: Mutex<HashMap<String, Run>>,
    /// End of the time for which it is cold.
    cold_until: Mutex<Option<Instant>>,
    /// Requests in one second by which it crashes while it is cold, and the time of its start.
    most_cold: Mutex<(f64, f64)>,
    /// Whether its process has ended.
    is_down: AtomicBool,
    /// Open channels.
    open: Mutex<Vec<TcpStream>>,
    /// Times, in seconds, at which requests arrived and were run, and their ids.
    pub arrivals: Mutex<Vec<(f64, String)>>,
}

/// Pause between two looks for new channels.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);
/// Time that a plain request takes.
const WORK: Duration = Duration::from_millis(60);
/// Interval between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(150);

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Engine {
    pub fn start(record: &Arc<Record>, id: &str, service: &str, zone: &str) -> Arc<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let engine = Arc::new(Engine {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            born: AtomicU64::new(unix_ms()),
            sequence: AtomicU64::new(0),
            record: Arc::clone(record),
            runs: Mutex::default(),
            arrivals: Mutex::default(),
            cold_until: Mutex::new(None),
            most_cold: Mutex::new((f64::MAX, 0.0)),
            is_down: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let accepting = Arc::clone(&engine);
        thread::spawn(move || accepting.accept_all(listener));
        engine
    }

    /// Accepts channels; while the process is down its port refuses them.
    fn accept_all(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if self.is_down.load(Ordering::Relaxed) {
                listener = None;
                thread::sleep(ACCEPT_PAUSE);
                continue;
            }
            let open = listener.get_or_insert_with(|| TcpListener::bind(self.address).expect("the same port"));
            open.set_nonblocking(true).expect("a listener that does not block");
            let Ok((stream, _)) = open.accept() else {
                thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            stream.set_nonblocking(false).expect("a channel that blocks");
            self.open.lock().unwrap().extend(stream.try_clone());
            let engine = Arc::clone(&self);
            thread::spawn(move || engine.serve(stream));
        }
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
             \"state\":\"{state}\",\"coldRemainingMs\":{},\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.cold_ms(), self.born.load(Ordering::Relaxed)
        );
        store.write(&format!("servers/{}", self.id), &entry);
    }

    /// Time for which it stays cold, in milliseconds.
    pub fn cold_ms(&self) -> u64 {
        let until = *self.cold_until.lock().unwrap();
        until.map_or(0, |until| until.saturating_duration_since(Instant::now()).as_millis() as u64)
    }

    /// Ends the process with all of its channels; `how` says for the record whether it crashes or exits.
    pub fn end(&self, how: &str) {
        self.is_down.store(true, Ordering::Relaxed);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("engine {} {how}", self.id));
    }

    /// Starts the process again, under the same id and cold. It crashes at more than `most` requests in one
    /// second for as long as it is cold.
    pub fn start_again(&self, cold: Duration, most: f64) {
        *self.most_cold.lock().unwrap() = (most, self.record.now());
        self.born.store(unix_ms(), Ordering::Relaxed);
        *self.cold_until.lock().unwrap() = Some(Instant::now() + cold);
        self.is_down.store(false, Ordering::Relaxed);
        self.record.line(&format!("engine {} has started again, cold for {} ms", self.id, cold.as_millis()));
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
            let cold = match self.cold_ms() {
                0 => String::new(),
                left_ms => format!("X-Carobwheel-Cold-Ms: {left_ms}\r\n"),
            };
            return respond(writer, 200, &format!("{own}{cold}"), b"");
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
        self.record.line(&format!("engine {} runs {id}", self.id));
        self.arrivals.lock().unwrap().push((self.record.now(), id.to_owned()));
        thread::sleep(WORK);
        let headers =
            format!("X-Carobwheel-Attempt-Id: {id}\r\nX-Carobwheel-Server-Seal: {}.{id}\r\n", self.id);
        respond(writer, 200, &headers, format!("answer to {id}").as_bytes())
    }

    /// Runs a streaming request, whose body is the number of events.
    fn stream(&self, writer: &mut TcpStream, request: &Request, id: &str) -> std::io::Result<()> {
        let count: u64 = String::from_utf8_lossy(&request.body).trim().parse().unwrap_or(1);
        self.record.line(&format!("engine {} runs {id}, {count} events", self.id));
        let now = self.record.now();
        let (most_cold, started_s) = *self.most_cold.lock().unwrap();
        let in_a_second = {
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push((now, id.to_owned()));
            arrivals.iter().filter(|(at, _)| *at > started_s.max(now - 1.0)).count()
        };
        if self.cold_ms() > 0 && in_a_second as f64 > most_cold {
            self.end("crashes: too many requests while it is cold");
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
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
