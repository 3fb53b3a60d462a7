//! A plain service, such as a ledger, that counts how often each action ran.

use crate::{
    http::{Ending, RecordedRequest, Request, Responder, Server},
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

/// Header that names an action.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

const JSON: &str = "application/json";

/// How to start a service.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Address to listen on; port 0 takes a free one.
    pub addr: SocketAddr,
    /// Threads that serve requests.
    pub workers: usize,
    /// Credential that requests have to carry as a bearer token; none accepts all.
    pub credential: Option<String>,
    /// Time that an action takes, in milliseconds.
    pub latency_ms: u64,
    /// An action whose key has run already is answered without running again.
    pub deduplicates: bool,
    /// Length of the padding in each answer, in bytes.
    pub padding_bytes: usize,
    /// Answers come in chunks, without their length.
    pub is_chunked: bool,
    /// Most requests to record; later ones are only counted.
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

/// What goes wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceFault {
    /// It is answered with this status and not run.
    Status(u16),
    /// The connection closes before the action runs.
    CloseBeforeRunning,
    /// The action runs, then the connection closes without an answer.
    CloseAfterRunning,
    /// The action runs, then the connection closes in the middle of the answer.
    CloseInAnswer,
}

/// Body of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Path of the request.
    pub path: String,
    /// Key of the action.
    pub key: Option<String>,
    /// Number of the action among all that this service ran.
    pub number: u64,
    /// The body of the request, as text.
    pub body: String,
    /// Spaces that make the answer longer.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub padding: String,
}

#[derive(Default)]
struct State {
    latency_ms: u64,
    next_faults: VecDeque<ServiceFault>,
    is_leaving: bool,
    /// Times that each key's action ran.
    runs: BTreeMap<String, u64>,
    keyless_runs: u64,
    total_runs: u64,
    requests: u64,
    records: Vec<RecordedRequest>,
}

struct Shared {
    options: ServiceOptions,
    state: Mutex<State>,
}

/// A running service; dropping it stops it.
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
    let of_handler = shared.clone();
    let handler = move |request: Request, responder| {
        let answer = answer(of_handler.clone(), request, responder);
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

    /// Times that the action with the key `key` ran.
    pub fn runs(&self, key: &str) -> u64 {
        let state = lock(&self.shared.state);
        state.runs.get(key).copied().unwrap_or(0)
    }

    /// Times that each key's action ran.
    pub fn all_runs(&self) -> BTreeMap<String, u64> {
        lock(&self.shared.state).runs.clone()
    }

    /// Actions without a key that ran.
    pub fn keyless_runs(&self) -> u64 {
        lock(&self.shared.state).keyless_runs
    }

    /// Requests that came in.
    pub fn request_count(&self) -> u64 {
        lock(&self.shared.state).requests
    }

    /// The requests recorded so far, with all headers, in order of arrival.
    pub fn requests(&self) -> Vec<RecordedRequest> {
        lock(&self.shared.state).records.clone()
    }

    /// Lets the next requests meet with `faults`, one each.
    pub fn fail_next(&self, faults: &[ServiceFault]) {
        lock(&self.shared.state).next_faults.extend(faults);
    }

    /// Changes the time that an action takes, in milliseconds.
    pub fn set_latency_ms(&self, latency_ms: u64) {
        lock(&self.shared.state).latency_ms = latency_ms;
    }

    /// Answers 503 to every request, or serves again.
    pub fn set_leaving(&self, is_leaving: bool) {
        lock(&self.shared.state).is_leaving = is_leaving;
    }

    /// Refuses new connections, or accepts them again.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.server.set_refusing(is_refusing);
    }

    /// Cuts all open connections.
    pub fn close_connections(&self) {
        self.server.close_connections();
    }

    /// Stops the service and waits for its thread.
    pub fn stop(mut self) {
        self.server.stop();
    }
}

async fn answer(shared: Arc<Shared>, request: Request, responder: Responder) -> Ending {
    let (fault, latency_ms) = enter(&shared, &request);
    match fault {
        Some(ServiceFault::Status(status)) => {
            return responder.whole(status, "text/plain", b"").await
        }
        Some(ServiceFault::CloseBeforeRunning) => return Ending::Closed,
        _ => {}
    }
    if latency_ms > 0 {
        sleep(Duration::from_millis(latency_ms)).await;
    }
    let receipt = run(&shared, &request);
    let body = serde_json::to_vec(&receipt).unwrap_or_default();
    let sent = match fault {
        Some(ServiceFault::CloseAfterRunning) => return Ending::Closed,
        Some(ServiceFault::CloseInAnswer) => body.len() / 2,
        _ => body.len(),
    };
    if shared.options.is_chunked {
        return send_chunked(responder, &body, sent).await;
    }
    responder.cut_off(200, JSON, &body, sent).await
}

/// Sends the first `sent` bytes of a body in one chunk, and its end if that is all.
async fn send_chunked(responder: Responder, body: &[u8], sent: usize) -> Ending {
    let Ok(mut writer) = responder.stream(JSON).await else {
        return Ending::Closed;
    };
    match writer.send(&body[..sent]).await {
        Ok(()) if sent == body.len() => writer.finish().await,
        _ => Ending::Closed,
    }
}

/// Counts a request and chooses its fault.
fn enter(shared: &Shared, request: &Request) -> (Option<ServiceFault>, u64) {
    let mut state = lock(&shared.state);
    state.requests += 1;
    if state.records.len() < shared.options.max_records {
        state.records.push(request.clone());
    }
    if state.is_leaving {
        return (Some(ServiceFault::Status(503)), 0);
    }
    if !is_authorized(shared, request) {
        return (Some(ServiceFault::Status(401)), 0);
    }
    (state.next_faults.pop_front(), state.latency_ms)
}

fn is_authorized(shared: &Shared, request: &Request) -> bool {
    let Some(credential) = &shared.options.credential else {
        return true;
    };
    let given = request.header("authorization").unwrap_or_default();
    given.strip_prefix("Bearer ") == Some(credential)
}

fn run(shared: &Shared, request: &Request) -> Receipt {
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
