//! Requests from callers.
//!
//! A Rocket server on a thread and an event loop of its own. Each request passes the filters
//! identify, classify, admit and place, dispatch, relay, settle; the first that refuses ends it
//! with a typed refusal.

mod action;
mod answer;
mod body;
mod classify;
mod entry;
mod forward;
pub(crate) mod forwarded;
mod gather;
mod handler;
mod head;
mod pass;
mod resume;
mod upstream_headers;
mod work;

pub(crate) use action::Claims;
pub use entry::{Entries, Entry, EntryList, LIFETIME_S};

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

/// Unit in which the memory for request bodies is counted, in bytes.
pub(crate) const BODY_UNIT_BYTES: usize = 1_024;
// Rocket waits out its grace period even when nothing runs, so the instance drains by its own
// count of requests and leaves Rocket only a short one.
const ROCKET_GRACE_S: u32 = 1;
const KEEP_ALIVE_S: u32 = 60;

/// What the handlers of one instance share.
pub struct Shared {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Clock of the process.
    pub clock: Clock,
    /// The document in force.
    pub current: SharedDocument,
    /// Ring to the deciding thread.
    pub decide: Sender<decide::Event>,
    /// Ring to the dispatching thread.
    pub dispatch: Sender<dispatch::Job>,
    /// Links to other instances; none for an instance that stands alone.
    pub peers: Option<peers::Handle>,
    /// Ring to the reporting thread.
    pub report: Sender<report::Observation>,
    /// Records of actions that may not be repeated.
    pub(crate) claims: Claims,
    /// Credential of each upstream.
    pub credentials: BTreeMap<UpstreamId, String>,
    /// Instances that callers may use, in order.
    pub entries: Entries,
    /// Requests in flight.
    pub in_flight: Arc<InFlight>,
    /// Room for request bodies, in units of [`BODY_UNIT_BYTES`].
    pub body_room: Arc<Semaphore>,
    /// Longest time in which a request body has to arrive, in milliseconds.
    pub body_timeout_ms: u64,
    /// The instance can serve requests.
    pub is_ready: Arc<AtomicBool>,
    /// The instance is leaving: it is not ready and closes connections.
    pub is_leaving: AtomicBool,
    /// Requests so far.
    pub requests: AtomicU64,
    /// Distinguishes requests of this process from those of an earlier one.
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
    /// Closes the port and waits for the thread. Requests in flight are cut after the server's
    /// short grace period, so the caller drains them first.
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
pub fn start(settings: &Settings, shared: Arc<Shared>) -> anyhow::Result<Server> {
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
    let (announce, announced) = mpsc::channel();
    let on_failure = announce.clone();
    let rocket = rocket.attach(AdHoc::on_liftoff("announce", move |rocket| {
        Box::pin(async move {
            let _ = announce.send(Ok((rocket.config().port, rocket.shutdown())));
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
    let (port, shutdown) = announced
        .recv()
        .context("the server ended at its start")?
        .map_err(|message| anyhow::anyhow!("cannot listen on {address}: {message}"))?;
    Ok(Server {
        address: SocketAddr::new(address.ip(), port),
        shutdown,
        thread,
    })
}

/// The server's configuration, independent of the environment.
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
