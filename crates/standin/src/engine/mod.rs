//! A model engine with the OpenAI-compatible interface.
//!
//! Its answers are a function of the prompt and the place of each token, so that a caller can check
//! that it got the whole answer to its own request, also when another engine has resumed it. It
//! records what it saw and can be made to fail in the ways that engines do.

mod api;
mod batch_runner;
mod completion;
mod encoding;
mod fault;
mod generate;
mod load;
mod output;
mod pacer;

pub use fault::{Fault, FaultRule};
pub use output::{answer_text, prompt_hash, token};

use crate::{
    batch::BatchSettings,
    http::{RecordedRequest, Server},
    lock,
};
use batch_runner::Batching;
use carobwheel_core::time::Clock;
use carobwheel_wire::platform::LoadReport;
use fault::Faults;
use load::Load;
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
};
use tokio::sync::Semaphore;

/// Header with the number of tokens that the caller has already.
pub const RESUME_HEADER: &str = "carobwheel-resume-from";

/// How to start an engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Address to listen on; port 0 takes a free one.
    pub addr: SocketAddr,
    /// Threads that serve requests.
    pub workers: usize,
    /// Name of the model.
    pub model: String,
    /// Version of the model, reported in the header `x-model-version`.
    pub version: String,
    /// Credential that requests have to carry as a bearer token; none accepts all.
    pub credential: Option<String>,
    /// Time from the start of a request to its first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time between two tokens, in milliseconds.
    pub token_ms: u64,
    /// Prompt tokens read in a second; 0 reads them in no time.
    pub prefill_tokens_per_s: u64,
    /// Requests decoded together at most.
    pub batch_slots: u32,
    /// Longest answer, in tokens. A request's own bound may make it shorter.
    pub answer_tokens: u64,
    /// Model of a batch that decides when tokens come, in place of the times above; its slots are
    /// set to `batch_slots`.
    pub batch: Option<BatchSettings>,
    /// Age of load reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Most requests to record; later ones are only counted.
    pub max_records: usize,
    /// Seed of the random faults.
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

/// What an engine has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Requests that came in, refused ones included.
    pub requests: u64,
    /// Requests that got a place in the batch.
    pub started: u64,
    /// Answers sent to their end.
    pub completed: u64,
    /// Requests whose caller left before the end.
    pub cancelled: u64,
    /// Requests refused or broken off by a fault.
    pub failed: u64,
    /// Requests without the right credential.
    pub unauthorized: u64,
    /// Tokens generated.
    pub tokens: u64,
}

struct Shared {
    options: EngineOptions,
    clock: Clock,
    slots: Semaphore,
    batching: Option<Arc<Batching>>,
    counts: Mutex<EngineCounts>,
    records: Mutex<Vec<RecordedRequest>>,
    faults: Mutex<Faults>,
    load: Mutex<Load>,
}

/// A running engine; dropping it stops it.
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
    let batching = options.batch.map(|settings| {
        Arc::new(Batching::new(BatchSettings {
            slots: options.batch_slots as usize,
            report_lag_us: options.load_lag_ms * 1_000,
            ..settings
        }))
    });
    let shared = Arc::new(Shared {
        clock: Clock::default(),
        batching,
        slots: Semaphore::new(options.batch_slots as usize),
        counts: Mutex::default(),
        records: Mutex::default(),
        faults: Mutex::new(Faults::new(options.seed)),
        load: Mutex::new(Load::new(options.load_lag_ms)),
        options,
    });
    let of_handler = shared.clone();
    let handler = move |request: RecordedRequest, responder| {
        let answer = api::answer(of_handler.clone(), request, responder);
        Box::pin(answer) as futures::future::BoxFuture<'static, _>
    };
    let server = Server::start("engine", addr, workers, Arc::new(handler))?;
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

    /// Adds a fault. Rules are looked at in the order in which they were added.
    pub fn add_fault(&self, rule: FaultRule) {
        lock(&self.shared.faults).add(rule);
    }

    /// Lets the next `count` requests meet with `fault`.
    pub fn fail_next(&self, fault: Fault, count: u64) {
        self.add_fault(FaultRule::for_next(fault, count));
    }

    /// Takes all faults back, the slowdown too.
    pub fn clear_faults(&self) {
        lock(&self.shared.faults).clear();
        self.set_slowdown_pct(100);
    }

    /// Makes all waits or steps longer, in percent; 100 is the usual speed.
    pub fn set_slowdown_pct(&self, pct: u64) {
        lock(&self.shared.faults).slowdown_pct = pct;
        if let Some(batching) = &self.shared.batching {
            batching.set_slowdown_pct(pct);
        }
    }

    /// Refuses new connections, or accepts them again.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.server.set_refusing(is_refusing);
    }

    /// Cuts all open connections.
    pub fn close_connections(&self) {
        self.server.close_connections();
    }

    /// What the engine has counted so far.
    pub fn counts(&self) -> EngineCounts {
        *lock(&self.shared.counts)
    }

    /// The load as it stands now.
    pub fn load(&self) -> LoadReport {
        lock(&self.shared.load).now()
    }

    /// The requests recorded so far, with all headers, in order of arrival.
    pub fn requests(&self) -> Vec<RecordedRequest> {
        lock(&self.shared.records).clone()
    }

    /// Requests recorded so far that contain `text` in their target, headers or body.
    pub fn count_containing(&self, text: &str) -> usize {
        let records = lock(&self.shared.records);
        records.iter().filter(|seen| seen.contains(text)).count()
    }

    /// Stops the engine and waits for its thread.
    pub fn stop(mut self) {
        self.server.stop();
    }
}
