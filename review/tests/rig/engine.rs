//! Stand-in of an engine of a service.

use crate::http::{read_message, Message};
use crate::record::Record;
use crate::store::Store;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Runs of all engines that fail at times; the failures are spread evenly over them.
static FALLIBLE_RUNS: AtomicU64 = AtomicU64::new(0);

/// How an engine works.
#[derive(Clone, Debug)]
pub struct Work {
    pub service: &'static str,
    /// Time from the arrival of a request to its first event, or to its answer.
    pub first_ms: u64,
    /// Number of events of a stream; 0 for a plain answer.
    pub events: u64,
    pub pause_ms: u64,
    pub version: &'static str,
    /// One answer in so many is a failure; 0 for none.
    pub fail_every: u64,
}

pub struct Engine {
    pub id: String,
    pub zone: &'static str,
    pub address: SocketAddr,
    work: Work,
    record: Arc<Record>,
    /// Bytes that are written once more, after every `extra_every`th answer, where the next one is
    /// expected; 0 for never.
    extra: Mutex<&'static str>,
    extra_every: AtomicU64,
    answers: AtomicU64,
    is_leaving: AtomicBool,
    is_gone: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
}

impl Engine {
    pub fn start(id: &str, zone: &'static str, work: Work, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Arc::new(Self {
            id: id.to_owned(),
            zone,
            address: listener.local_addr().unwrap(),
            work,
            record: Arc::clone(record),
            extra: Mutex::new(""),
            extra_every: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
            is_gone: AtomicBool::new(false),
            channels: Mutex::default(),
        });
        let accepting = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_gone.load(Ordering::SeqCst) {
                    // Ends the listening, so that further channels are refused.
                    return;
                }
                accepting
                    .channels
                    .lock()
                    .unwrap()
                    .push(stream.try_clone().unwrap());
                let engine = Arc::clone(&accepting);
                thread::spawn(move || engine.serve(stream));
            }
        });
        engine
    }

    /// Writes the engine's entry.
    pub fn register(&self, store: &Store, state: &str, cold_ms: u64) {
        let Work {
            service, version, ..
        } = self.work;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{version}\",\"slots\":64,\
             \"state\":\"{state}\",\"coldRemainingMs\":{cold_ms},\"stage\":\"both\",\"models\":[],\"sequence\":1,\"born\":1}}",
            self.address, self.zone
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    /// After every `every`th answer, writes `extra` where the next answer is expected; 0 for never.
    pub fn set_extra(&self, extra: &'static str, every: u64) {
        *self.extra.lock().unwrap() = extra;
        self.answers.store(0, Ordering::SeqCst);
        self.extra_every.store(every, Ordering::SeqCst);
    }

    /// The engine is leaving, and says so in its answers.
    pub fn set_leaving(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.record.line(format!("engine {} is leaving", self.id));
    }

    /// The process of the engine ends.
    pub fn exit(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        self.record.line(format!("engine {} exits", self.id));
        for channel in self.channels.lock().unwrap().iter() {
            let _ = channel.shutdown(Shutdown::Both);
        }
        // Wakes the listener.
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut owes_extra = false;
        while let Some(request) = read_message(&mut reader) {
            if !request.is_complete || self.is_gone.load(Ordering::SeqCst) {
                return;
            }
            if request.target() == "/health" {
                let status = if self.is_leaving.load(Ordering::SeqCst) {
                    503
                } else {
                    200
                };
                let text = format!("HTTP/1.1 {status} X\r\nX-Carobwheel-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if owes_extra {
                let extra = *self.extra.lock().unwrap();
                self.record.line(format!(
                    "engine {} writes additional bytes after a complete answer: {extra:?}",
                    self.id
                ));
                if stream.write_all(extra.as_bytes()).is_err() {
                    return;
                }
            }
            if self.answer(&mut stream, &request).is_none() {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            let every = self.extra_every.load(Ordering::SeqCst);
            let number = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
            owes_extra = every > 0 && number % every == 0;
        }
    }

    /// Runs and answers a request; `None` if its channel has to be closed.
    fn answer(&self, stream: &mut TcpStream, request: &Message) -> Option<()> {
        let Some(id) = request.header("x-carobwheel-attempt-id") else {
            let text =
                "HTTP/1.1 400 X\r\nX-Carobwheel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return stream.write_all(text.as_bytes()).ok();
        };
        self.record
            .request(id, |known, now| known.arrivals.push((self.id.clone(), now)));
        if request
            .header("x-carobwheel-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            let text = format!("HTTP/1.1 421 X\r\nX-Carobwheel-Attempt-Id: {id}\r\nX-Carobwheel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return stream.write_all(text.as_bytes()).ok();
        }
        let sent = self.run(stream, id);
        let is_gone = self.is_gone.load(Ordering::SeqCst);
        self.record.request(id, |known, now| {
            let how = match sent {
                Some(()) if !is_gone => "has answered it whole",
                _ if is_gone => "has exited before its end",
                _ => "lost its channel before its end",
            };
            known.ends.push((self.id.clone(), now, how.to_owned()));
        });
        sent.filter(|()| !is_gone)
    }

    fn run(&self, stream: &mut TcpStream, id: &str) -> Option<()> {
        let leaving = if self.is_leaving.load(Ordering::SeqCst) {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        let is_stream = self.work.events > 0;
        if !is_stream {
            self.record
                .request(id, |known, now| known.runs.push((self.id.clone(), now)));
        }
        thread::sleep(Duration::from_millis(self.work.first_ms));
        if self.is_gone.load(Ordering::SeqCst) {
            return None;
        }
        if is_stream {
            // A prompt runs from its first token; a model engine drops it if its channel has closed.
            if is_closed(stream) {
                return None;
            }
            self.record
                .request(id, |known, now| known.runs.push((self.id.clone(), now)));
        }
        let head = format!("HTTP/1.1 200 OK\r\nX-Carobwheel-Attempt-Id: {id}\r\nX-Carobwheel-Server-Seal: 3e1b.{id}\r\n{leaving}");
        if self.work.fail_every > 0
            && FALLIBLE_RUNS.fetch_add(1, Ordering::SeqCst) % self.work.fail_every
                == self.work.fail_every / 2
        {
            self.record.request(id, |known, _| known.has_failed = true);
            let text = format!("HTTP/1.1 500 X\r\nX-Carobwheel-Attempt-Id: {id}\r\nX-Carobwheel-Server-Seal: 3e1b.{id}\r\nContent-Length: 5\r\n\r\nerror");
            return stream.write_all(text.as_bytes()).ok();
        }
        if self.work.events == 0 {
            let body = format!("answer to {id} by {}", self.id);
            let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
            return stream.write_all(text.as_bytes()).ok();
        }
        let head =
            format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        stream.write_all(head.as_bytes()).ok()?;
        for event in 1..=self.work.events {
            let text = format!("id: {event}\ndata: {id}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            stream.write_all(chunk.as_bytes()).ok()?;
            thread::sleep(Duration::from_millis(self.work.pause_ms));
        }
        stream.write_all(b"0\r\n\r\n").ok()
    }
}

/// Whether the other end has closed the channel.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0; 1]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(read) => read == 0,
        Err(err) => err.kind() != std::io::ErrorKind::WouldBlock,
    }
}
