//! Record of what was sent, answered and run.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// What is known of one request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub sent_ms: u64,
    pub sent_to: String,
    pub path: String,
    /// Arrivals at engines: engine, time.
    pub arrivals: Vec<(String, u64)>,
    /// Runs by engines: engine, start.
    pub runs: Vec<(String, u64)>,
    /// Ends of runs: engine, end, how.
    pub ends: Vec<(String, u64, String)>,
    /// Whether the engine's answer was a failure.
    pub has_failed: bool,
    pub answered_ms: u64,
    /// Status; 0 if the channel closed without an answer.
    pub status: u16,
    pub has_seal: bool,
    pub is_complete: bool,
    pub body: String,
}

pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(u64, String)>>,
    requests: Mutex<HashMap<String, Request>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::default(),
            requests: Mutex::default(),
        }
    }

    /// Time since the start, in milliseconds.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl Into<String>) {
        let now = self.now();
        self.lines.lock().unwrap().push((now, text.into()));
    }

    pub fn request(&self, id: &str, change: impl FnOnce(&mut Request, u64)) {
        let now = self.now();
        change(
            self.requests
                .lock()
                .unwrap()
                .entry(id.to_owned())
                .or_default(),
            now,
        );
    }

    pub fn requests(&self) -> Vec<(String, Request)> {
        let requests = self.requests.lock().unwrap();
        let mut all: Vec<_> = requests
            .iter()
            .map(|(id, request)| (id.clone(), request.clone()))
            .collect();
        all.sort_by_key(|(_, request)| request.sent_ms);
        all
    }

    /// Writes the record: events and requests in order of time.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        for (id, request) in self.requests() {
            lines.push((request.sent_ms, describe(&id, &request)));
        }
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, text)| format!("{:>9.3} s  {text}\n", *at as f64 / 1000.0))
            .collect();
        std::fs::write(path, text)
    }
}

pub fn describe(id: &str, request: &Request) -> String {
    let s = |ms: u64| format!("{:.3}", ms as f64 / 1000.0);
    let mut text = format!("request {id} {} sent to {}", request.path, request.sent_to);
    for (engine, at) in &request.arrivals {
        text += &format!("; reaches {engine} at {}", s(*at));
    }
    for (engine, at) in &request.runs {
        text += &format!("; {engine} runs it at {}", s(*at));
    }
    for (engine, at, how) in &request.ends {
        text += &format!("; {engine} {how} at {}", s(*at));
    }
    let seal = if request.has_seal {
        "sealed"
    } else {
        "no seal"
    };
    let whole = if request.is_complete {
        "whole"
    } else {
        "broken off"
    };
    match request.status {
        0 if request.answered_ms == 0 => text += "; no answer seen",
        0 => {
            text += &format!(
                "; channel closed without an answer at {}",
                s(request.answered_ms)
            )
        }
        status => {
            text += &format!(
                "; answered {status} ({seal}, {whole}) at {}",
                s(request.answered_ms)
            )
        }
    }
    if request.status >= 400 && !request.has_seal && !request.body.is_empty() {
        text += &format!(" {}", request.body);
    }
    text
}
