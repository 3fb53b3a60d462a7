//! Server for callers.
//!
//! A Rocket server on its own thread and event loop. Each request passes the stages identify,
//! classify, admit and place, dispatch, relay, settle; the first stage that refuses it ends it with
//! a typed refusal.

mod action;
mod answer;
mod attempt;
mod body;
mod buffer;
mod classify;
mod entry_points;
mod forward;
pub(crate) mod forwarded;
mod handler;
mod head;
mod parts;
mod pipeline;
mod resume;
mod upstream_headers;

pub(crate) use action::ActionRecords;
pub use entry_points::{EntryPoint, EntryPointList, SharedEntryPoints, ENTRY_POINTS_LIFETIME_S};

use crate::{
    decide, dispatch, in_flight::InFlight, in_force::SharedDocument, peers, report, ring::Sender,
    settings::Settings,
};
use anyhow::Context as _;
use carobwheel_core::{
    id::{InstanceId, UpstreamId},
    time::Clock,
};
use rocket::{
    config::{Ident, LogLevel},
    fairing::AdHoc,
    shield::Shield,
    Config, Rocket,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64},
        mpsc, Arc,
    },
    thread,
};
use tokio::{runtime, sync::Semaphore};

/// Unit in which memory for request bodies is reserved, in bytes.
pub(crate) const BODY_UNIT_BYTES: usize = 1_024;
// Rocket waits for its whole grace period even when no request is running. The instance therefore
// drains by its own count of requests in flight, and Rocket's grace period is short.
const ROCKET_GRACE_S: u32 = 1;
const KEEP_ALIVE_S: u32 = 60;

/// State shared by the request handlers of an instance.
pub struct IntakeState {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Clock of the process.
    pub clock: Clock,
    /// The document in force.
    pub current: SharedDocument,
    /// Ring to the decision thread.
    pub decide: Sender<decide::Event>,
    /// Ring to the dispatch thread.
    pub dispatch: Sender<dispatch::UpstreamCall>,
    /// Links to other instances; `None` for a standalone instance.
    pub peers: Option<peers::Handle>,
    /// Ring to the report thread.
    pub report: Sender<report::Observation>,
    /// Records of actions that must run at most once.
    pub(crate) action_records: ActionRecords,
    /// Credential of each upstream.
    pub credentials: BTreeMap<UpstreamId, String>,
    /// Instances that callers may use, in order of preference.
    pub entries: SharedEntryPoints,
    /// Requests in flight.
    pub in_flight: Arc<InFlight>,
    /// Memory for request bodies, in units of [`BODY_UNIT_BYTES`].
    pub body_memory: Arc<Semaphore>,
    /// Timeout for receiving a request body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Whether the instance can serve requests.
    pub is_ready: Arc<AtomicBool>,
    /// Whether the instance is leaving: it reports itself as not ready and closes connections.
    pub is_leaving: AtomicBool,
    /// Number of requests received so far.
    pub requests: AtomicU64,
    /// Incarnation of the instance; distinguishes request identifiers of this process from those of
    /// an earlier one.
    pub incarnation: u64,
}

/// A running server.
pub struct Server {
    /// Address that the server listens on.
    pub address: SocketAddr,
    shutdown: rocket::Shutdown,
    thread: thread::JoinHandle<()>,
}

impl Server {
    /// Closes the port and waits for the thread. Requests still in flight after the server's short
    /// grace period are cut off, so the caller must drain them first.
    pub fn stop(self) {
        self.shutdown.notify();
        if self.thread.join().is_err() {
            log::error!("the intake thread panicked");
        }
    }
}

/// Starts the server for callers.
///
/// # Errors
///
/// Fails if the address cannot be bound or the thread cannot be started.
pub fn start(settings: &Settings, shared: Arc<IntakeState>) -> anyhow::Result<Server> {
    let callers = &settings.callers;
    let rocket = rocket::custom(config(callers.address, callers.threads))
        .attach(Shield::new())
        .mount("/", handler::routes(&shared))
        .register("/", handler::catchers());
    launch("intake", rocket, callers.address, callers.threads)
}

/// Launches `rocket` on a thread named `name`.
///
/// # Errors
///
/// Fails if the address cannot be bound or the thread cannot be started.
pub(crate) fn launch(
    name: &str,
    rocket: Rocket<rocket::Build>,
    address: SocketAddr,
    threads: usize,
) -> anyhow::Result<Server> {
    let (start_sender, start_result) = mpsc::channel();
    let on_failure = start_sender.clone();
    let rocket = rocket.attach(AdHoc::on_liftoff("announce", move |rocket| {
        Box::pin(async move {
            let _ = start_sender.send(Ok((rocket.config().port, rocket.shutdown())));
        })
    }));
    let event_loop = runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .context("cannot set up an event loop")?;
    let thread = thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            let ended = event_loop.block_on(rocket.launch());
            if let Err(err) = ended {
                let _ = on_failure.send(Err(err.kind().to_string()));
            }
        })
        .context("cannot start a server thread")?;
    let (port, shutdown) = start_result
        .recv()
        .context("the server exited during start-up")?
        .map_err(|message| anyhow::anyhow!("cannot listen on {address}: {message}"))?;
    Ok(Server {
        address: SocketAddr::new(address.ip(), port),
        shutdown,
        thread,
    })
}

/// Returns Rocket's configuration, independent of the environment.
pub(crate) fn config(address: SocketAddr, threads: usize) -> Config {
    Config {
        address: address.ip(),
        port: address.port(),
        workers: threads,
        keep_alive: KEEP_ALIVE_S,
        ident: Ident::none(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: rocket::config::Shutdown {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            grace: ROCKET_GRACE_S,
            mercy: ROCKET_GRACE_S,
            force: false,
            ..Default::default()
        },
        ..Config::release_default()
    }
}
