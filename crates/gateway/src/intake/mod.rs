//! Server for callers.
//!
//! A Rocket server on its own thread and event loop, behind the connections of [`crate::front`].
//! Each request passes the stages identify, classify, admit and place, dispatch, relay, settle; the
//! first stage that refuses it ends it with a typed refusal.

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
    caller_memory::CallerMemory,
    decide, dispatch,
    front::{self, ConnectionLimits, Server},
    in_flight::InFlight,
    in_force::SharedDocument,
    peers, report,
    ring::Sender,
    settings::{CallerLimits, Settings},
};
use carobwheel_core::{
    id::{InstanceId, UpstreamId},
    time::Clock,
};
use rocket::{
    config::{Ident, LogLevel},
    shield::Shield,
    Config,
};
use std::{
    collections::BTreeMap,
    sync::{
        atomic::{AtomicBool, AtomicU64},
        Arc,
    },
};

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
    /// Memory for callers.
    pub memory: Arc<CallerMemory>,
    /// Limits for slow callers.
    pub limits: CallerLimits,
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

/// Starts the server for callers.
///
/// # Errors
///
/// Fails if the address cannot be bound or the thread cannot be started.
pub fn start(settings: &Settings, shared: Arc<IntakeState>) -> anyhow::Result<Server> {
    let callers = &settings.callers;
    let limits = ConnectionLimits::for_callers(settings);
    let drops = Arc::clone(shared.memory.drops());
    let rocket = rocket::custom(config(callers.threads))
        .attach(Shield::new())
        .mount("/", handler::routes(&shared))
        .register("/", handler::catchers());
    let (address, threads) = (callers.address, callers.threads);
    front::launch("intake", rocket, address, threads, limits, drops)
}

/// Returns Rocket's configuration, independent of the environment. Rocket opens no listener and
/// handles no signals.
pub(crate) fn config(threads: usize) -> Config {
    Config {
        workers: threads,
        ident: Ident::none(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: rocket::config::Shutdown {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            force: false,
            ..Default::default()
        },
        ..Config::release_default()
    }
}
