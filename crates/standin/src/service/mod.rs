//! Stand-in for a plain service, such as a ledger, that counts how often each action ran.

use crate::{
    http::{ConnectionState, RecordedRequest, Request, Responder, Server},
    lock,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::time::sleep;

/// Request header with the key of an action.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

const JSON: &str = "application/json";

/// Options of a service.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Address to listen on; port 0 selects a free port.
    pub addr: SocketAddr,
    /// Number of threads that serve requests.
    pub workers: usize,
    /// Bearer token that requests must carry; `None` accepts all requests.
    pub credential: Option<String>,
    /// Duration of an action, in milliseconds.
    pub latency_ms: u64,
    /// Answers an action whose key has already run without running it again.
    pub deduplicates: bool,
    /// Length of the padding in every answer, in bytes.
    pub padding_bytes: usize,
    /// Sends answers with chunked transfer encoding, without a content length.
    pub is_chunked: bool,
    /// Maximum number of recorded requests; later ones are only counted.
    pub max_records: usize,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            addr: (Ipv4Addr::LOCALHOST, 0).into(),
            workers: 1,
            credential: None,
            latency_ms: 0,
            deduplicates: false,
            padding_bytes: 0,
            is_chunked: false,
            max_records: 100_000,
        }
    }
}

/// Fault injected into the handling of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceFault {
    /// The request is answered with this status and its action does not run.
    Status(u16),
    /// The connection closes before the action runs.
    CloseBeforeRunning,
    /// The action runs, then the connection closes without an answer.
    CloseAfterRunning,
    /// The action runs, then the connection closes in the middle of the answer.
    CloseInAnswer,
}

/// Body of a successful answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Path of the request.
    pub path: String,
    /// Key of the action.
    pub key: Option<String>,
    /// Number of actions that the service has run so far.
    pub number: u64,
    /// Body of the request, as text.
    pub body: String,
    /// Padding of spaces.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub padding: String,
}

#[derive(Default)]
struct State {
    latency_ms: u64,
    pending_faults: VecDeque<ServiceFault>,
    is_leaving: bool,
    /// Text in the path, query or body of requests under which the service crashes.
    crash_text: Option<String>,
    /// Number of such requests.
    crashes: u64,
    /// Number of runs of each key's action.
    runs: BTreeMap<String, u64>,
    keyless_runs: u64,
    total_runs: u64,
    requests: u64,
    recorded_requests: Vec<RecordedRequest>,
}

struct Shared {
    options: ServiceOptions,
    state: Mutex<State>,
}

/// Handle of a running service. Dropping it stops the service.
pub struct Service {
    server: Server,
    shared: Arc<Shared>,
}

/// Starts a service on a thread of its own.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn start(options: ServiceOptions) -> io::Result<Service> {
    let (addr, workers) = (options.addr, options.workers);
    let state = State {
        latency_ms: options.latency_ms,
        ..State::default()
    };
    let shared = Arc::new(Shared {
        options,
        state: Mutex::new(state),
    });
    let handler_shared = shared.clone();
    let handler = move |request: Request, responder| {
        let answer = answer(handler_shared.clone(), request, responder);
        Box::pin(answer) as futures::future::BoxFuture<'static, _>
    };
    let server = Server::start("service", addr, workers, Arc::new(handler))?;
    Ok(Service { server, shared })
}

impl Service {
    /// Address that the service listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Base URL of the service.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.addr)
    }

    /// Returns how often the action with the key `key` ran.
    pub fn runs(&self, key: &str) -> u64 {
        let state = lock(&self.shared.state);
        state.runs.get(key).copied().unwrap_or(0)
    }

    /// Returns how often each key's action ran.
    pub fn all_runs(&self) -> BTreeMap<String, u64> {
        lock(&self.shared.state).runs.clone()
    }

    /// Returns the number of runs of actions without a key.
    pub fn keyless_runs(&self) -> u64 {
        lock(&self.shared.state).keyless_runs
    }

    /// Returns the number of requests received.
    pub fn request_count(&self) -> u64 {
        lock(&self.shared.state).requests
    }

    /// Returns the recorded requests with all headers, in order of arrival.
    pub fn requests(&self) -> Vec<RecordedRequest> {
        lock(&self.shared.state).recorded_requests.clone()
    }

    /// Injects `faults` into the next requests, one fault per request.
    pub fn fail_next(&self, faults: &[ServiceFault]) {
        lock(&self.shared.state).pending_faults.extend(faults);
    }

    /// Closes the connections of requests with this text in their path, query or body, as if the
    /// service crashed under them.
    pub fn set_crash_text(&self, text: Option<&str>) {
        lock(&self.shared.state).crash_text = text.map(str::to_owned);
    }

    /// Returns the number of crashes that requests have caused.
    pub fn crashes(&self) -> u64 {
        lock(&self.shared.state).crashes
    }

    /// Sets the duration of an action, in milliseconds.
    pub fn set_latency_ms(&self, latency_ms: u64) {
        lock(&self.shared.state).latency_ms = latency_ms;
    }

    /// Answers every request with 503, or resumes normal service.
    pub fn set_leaving(&self, is_leaving: bool) {
        lock(&self.shared.state).is_leaving = is_leaving;
    }

    /// Refuses new connections, or accepts them again.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.server.set_refusing(is_refusing);
    }

    /// Closes all open connections.
    pub fn close_connections(&self) {
        self.server.close_connections();
    }

    /// Stops the service and waits for its thread.
    pub fn stop(mut self) {
        self.server.stop();
    }
}

async fn answer(shared: Arc<Shared>, request: Request, responder: Responder) -> ConnectionState {
    let (fault, latency_ms) = record_request(&shared, &request);
    match fault {
        Some(ServiceFault::Status(status)) => {
            return responder.send_body(status, "text/plain", b"").await
        }
        Some(ServiceFault::CloseBeforeRunning) => return ConnectionState::Closed,
        _ => {}
    }
    if latency_ms > 0 {
        sleep(Duration::from_millis(latency_ms)).await;
    }
    let receipt = run_action(&shared, &request);
    let body = serde_json::to_vec(&receipt).unwrap_or_default();
    let sent = match fault {
        Some(ServiceFault::CloseAfterRunning) => return ConnectionState::Closed,
        Some(ServiceFault::CloseInAnswer) => body.len() / 2,
        _ => body.len(),
    };
    if shared.options.is_chunked {
        return send_chunked(responder, &body, sent).await;
    }
    responder.send_truncated(200, JSON, &body, sent).await
}

/// Sends the first `sent` bytes of a body in one chunk, and ends the body only if it is complete.
async fn send_chunked(responder: Responder, body: &[u8], sent: usize) -> ConnectionState {
    let Ok(mut writer) = responder.start_stream(JSON).await else {
        return ConnectionState::Closed;
    };
    match writer.send(&body[..sent]).await {
        Ok(()) if sent == body.len() => writer.finish().await,
        _ => ConnectionState::Closed,
    }
}

/// Counts and records a request. Returns its fault and the duration of its action.
fn record_request(shared: &Shared, request: &Request) -> (Option<ServiceFault>, u64) {
    let mut state = lock(&shared.state);
    state.requests += 1;
    if state.recorded_requests.len() < shared.options.max_records {
        state.recorded_requests.push(request.clone());
    }
    if state.is_leaving {
        return (Some(ServiceFault::Status(503)), 0);
    }
    if !is_authorized(shared, request) {
        return (Some(ServiceFault::Status(401)), 0);
    }
    let contains = |text: &String| {
        let body = String::from_utf8_lossy(&request.body);
        request.target.contains(text.as_str()) || body.contains(text.as_str())
    };
    if state.crash_text.as_ref().is_some_and(contains) {
        state.crashes += 1;
        return (Some(ServiceFault::CloseBeforeRunning), 0);
    }
    (state.pending_faults.pop_front(), state.latency_ms)
}

fn is_authorized(shared: &Shared, request: &Request) -> bool {
    let Some(credential) = &shared.options.credential else {
        return true;
    };
    let header = request.header("authorization").unwrap_or_default();
    header.strip_prefix("Bearer ") == Some(credential)
}

fn run_action(shared: &Shared, request: &Request) -> Receipt {
    let key = request.header(IDEMPOTENCY_HEADER).map(str::to_owned);
    let mut state = lock(&shared.state);
    let has_run = key.as_ref().is_some_and(|key| state.runs.contains_key(key));
    if !(has_run && shared.options.deduplicates) {
        state.total_runs += 1;
        match &key {
            Some(key) => *state.runs.entry(key.clone()).or_default() += 1,
            None => state.keyless_runs += 1,
        }
    }
    Receipt {
        path: request.path().to_owned(),
        key,
        number: state.total_runs,
        body: String::from_utf8_lossy(&request.body).into_owned(),
        padding: " ".repeat(shared.options.padding_bytes),
    }
}
