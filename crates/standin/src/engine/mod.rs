//! Stand-in for an inference engine with an OpenAI-compatible API.
//!
//! Each token of an answer is a function of the prompt and the token's position, so that a caller
//! can verify that it received the complete answer to its own request, also when another engine
//! resumed it. The engine records the requests that it receives, and faults that occur in real
//! engines can be injected.

mod api;
mod batch_runner;
mod completion;
mod crash;
mod encoding;
mod fault;
mod generate;
mod load;
mod output;
mod pacer;

pub use crash::PromptCrash;
pub use fault::{Fault, FaultRule};
pub use output::{answer_text, prompt_hash, token};

use crate::{
    batch::BatchSettings,
    http::{RecordedRequest, Server, ServerControl},
    lock,
};
use batch_runner::BatchRunner;
use carobwheel_core::time::Clock;
use carobwheel_wire::platform::LoadReport;
use fault::Faults;
use load::LaggedLoad;
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{atomic::AtomicBool, Arc, Mutex, OnceLock},
};
use tokio::sync::Semaphore;

/// Request header with the number of answer tokens that the caller already has.
pub const RESUME_HEADER: &str = "carobwheel-resume-from";

/// Response header with the requests a second that the engine takes from all callers.
pub const RATE_LIMIT_HEADER: &str = "x-requests-per-second";
/// Response header with `1` while the engine is leaving.
pub const LEAVING_HEADER: &str = "x-leaving";

/// Path that returns the number of crashes since the start, as JSON.
pub const CRASHES_PATH: &str = "/standin/crashes";

/// Options of an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address to listen on; port 0 selects a free port.
    pub addr: SocketAddr,
    /// Number of threads that serve requests.
    pub workers: usize,
    /// Name of the model.
    pub model: String,
    /// Version of the model, reported in the header `x-model-version`.
    pub version: String,
    /// Bearer token that requests must carry; `None` accepts all requests.
    pub credential: Option<String>,
    /// Time from the start of a request to its first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time between two tokens, in milliseconds.
    pub token_ms: u64,
    /// Prefill throughput, in prompt tokens per second; 0 disables the prefill delay.
    pub prefill_tokens_per_s: u64,
    /// Maximum number of requests decoded at the same time.
    pub batch_slots: u32,
    /// Length of answers, in tokens, unless the request sets a lower limit.
    pub answer_tokens: u64,
    /// Settings of a simulated batch that determines the token times in place of the fixed delays
    /// above. Its slots and report lag are set from `batch_slots` and `load_lag_ms`.
    pub batch: Option<BatchSettings>,
    /// Age of load reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Maximum number of recorded requests; later ones are only counted.
    pub max_records: usize,
    /// Seed of the random number generator for faults.
    pub seed: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            addr: (Ipv4Addr::LOCALHOST, 0).into(),
            workers: 1,
            model: "appraiser".to_owned(),
            version: "1".to_owned(),
            credential: None,
            first_token_ms: 0,
            token_ms: 0,
            prefill_tokens_per_s: 0,
            batch_slots: 64,
            batch: None,
            answer_tokens: 16,
            load_lag_ms: 0,
            max_records: 100_000,
            seed: 1,
        }
    }
}

/// Counters of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Completion requests received, including refused ones.
    pub requests: u64,
    /// Requests that started running.
    pub started: u64,
    /// Answers sent completely.
    pub completed: u64,
    /// Requests whose caller disconnected before the end of the answer.
    pub cancelled: u64,
    /// Requests refused or aborted by an injected fault.
    pub failed: u64,
    /// Requests without a valid credential.
    pub unauthorized: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Crashes caused by prompts.
    pub crashes: u64,
}

struct Shared {
    options: EngineOptions,
    clock: Clock,
    slots: Semaphore,
    batch_runner: Option<Arc<BatchRunner>>,
    counts: Mutex<EngineCounts>,
    recorded_requests: Mutex<Vec<RecordedRequest>>,
    faults: Mutex<Faults>,
    load: Mutex<LaggedLoad>,
    /// Control of the engine's own server; set right after its start.
    server: OnceLock<Arc<ServerControl>>,
    is_down: Arc<AtomicBool>,
}

/// Handle of a running engine. Dropping it stops the engine.
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
}

/// Starts an engine on a thread of its own.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn start(options: EngineOptions) -> io::Result<Engine> {
    let (addr, workers) = (options.addr, options.workers);
    let batch_runner = options.batch.map(|settings| {
        Arc::new(BatchRunner::new(BatchSettings {
            slots: options.batch_slots as usize,
            report_lag_us: options.load_lag_ms * 1_000,
            ..settings
        }))
    });
    let shared = Arc::new(Shared {
        clock: Clock::default(),
        batch_runner,
        slots: Semaphore::new(options.batch_slots as usize),
        counts: Mutex::default(),
        recorded_requests: Mutex::default(),
        faults: Mutex::new(Faults::new(options.seed)),
        load: Mutex::new(LaggedLoad::new(options.load_lag_ms)),
        server: OnceLock::new(),
        is_down: Arc::default(),
        options,
    });
    let handler_shared = shared.clone();
    let handler = move |request: RecordedRequest, responder| {
        let answer = api::answer(handler_shared.clone(), request, responder);
        Box::pin(answer) as futures::future::BoxFuture<'static, _>
    };
    let server = Server::start("engine", addr, workers, Arc::new(handler))?;
    let _ = shared.server.set(server.control());
    Ok(Engine { server, shared })
}

impl Engine {
    /// Address that the engine listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Base URL of the engine.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.addr)
    }

    /// Adds a fault rule. Rules are evaluated in the order in which they were added.
    pub fn add_fault(&self, rule: FaultRule) {
        lock(&self.shared.faults).add(rule);
    }

    /// Injects `fault` into the next `count` requests.
    pub fn fail_next(&self, fault: Fault, count: u64) {
        self.add_fault(FaultRule::for_next(fault, count));
    }

    /// Makes the engine crash on prompts, or stops that.
    pub fn set_prompt_crash(&self, crash: Option<PromptCrash>) {
        lock(&self.shared.faults).prompt_crash = crash;
    }

    /// Makes all further answers state a limit in requests a second, or none.
    pub fn set_rate_limit(&self, per_s: Option<f64>) {
        lock(&self.shared.faults).rate_limit_per_s = per_s;
    }

    /// Makes all further answers state that the engine is leaving, or stops that.
    pub fn set_leaving(&self, is_leaving: bool) {
        lock(&self.shared.faults).is_leaving = is_leaving;
    }

    /// Removes all fault rules and resets the slowdown.
    pub fn clear_faults(&self) {
        lock(&self.shared.faults).clear();
        self.set_slowdown_pct(100);
    }

    /// Scales the duration of all delays or steps, in percent; 100 is the normal speed.
    pub fn set_slowdown_pct(&self, pct: u64) {
        lock(&self.shared.faults).slowdown_pct = pct;
        if let Some(batch_runner) = &self.shared.batch_runner {
            batch_runner.set_slowdown_pct(pct);
        }
    }

    /// Refuses new connections, or accepts them again.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.server.set_refusing(is_refusing);
    }

    /// Closes all open connections.
    pub fn close_connections(&self) {
        self.server.close_connections();
    }

    /// Returns the current counters.
    pub fn counts(&self) -> EngineCounts {
        *lock(&self.shared.counts)
    }

    /// Returns the current load, without the lag of load reports.
    pub fn load(&self) -> LoadReport {
        lock(&self.shared.load).current()
    }

    /// Returns the recorded requests with all headers, in order of arrival.
    pub fn requests(&self) -> Vec<RecordedRequest> {
        lock(&self.shared.recorded_requests).clone()
    }

    /// Counts the recorded requests that contain `text` in their target, headers or body.
    pub fn count_containing(&self, text: &str) -> usize {
        let recorded = lock(&self.shared.recorded_requests);
        recorded
            .iter()
            .filter(|request| request.contains(text))
            .count()
    }

    /// Stops the engine and waits for its thread.
    pub fn stop(mut self) {
        self.server.stop();
    }
}
