//! Starts the threads of one instance, connects them and stops them in order.

mod links;

use crate::{
    caller_memory::CallerMemory,
    decide::{self, Outputs},
    dispatch,
    front::{self, Server},
    in_flight::InFlight,
    in_force::SharedDocument,
    intake::{
        self,
        forwarded::{self, MAX_QUEUED_FORWARDS},
        ActionRecords, IntakeState, SharedEntryPoints,
    },
    peers::{self, TlsMaterial},
    platform, report,
    report::StatusBoard,
    ring::{self, Sender},
    settings::{Settings, Shutdown},
};
use carobwheel_core::time::Clock;
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};
use tokio_util::sync::CancellationToken;

/// Timeout for handing over slots, in milliseconds. If the store is down, other instances take the
/// slots over once they consider this instance gone.
const HAND_OVER_TIMEOUT_MS: u64 = 2_000;
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running instance.
pub struct Daemon {
    shared: Arc<IntakeState>,
    server: Server,
    operators: Option<Server>,
    peers: Option<peers::Handle>,
    decide: Sender<decide::Event>,
    has_handed_over: Arc<AtomicBool>,
    clock: Clock,
    shutdown: Shutdown,
    cancel: CancellationToken,
    threads: Vec<thread::JoinHandle<()>>,
}

/// Starts all threads of an instance. `tls` is the material for links to other instances, which is
/// required if the settings contain an address for them.
///
/// # Errors
///
/// Fails if an address cannot be bound, the TLS material is invalid or a thread cannot be started.
pub fn start(settings: &Settings, tls: Option<TlsMaterial>) -> anyhow::Result<Daemon> {
    let clock = Clock::default();
    let incarnation = clock.unix_now().0;
    let cancel = CancellationToken::new();
    // Stops the threads already started if a later one cannot be started.
    let guard = cancel.clone().drop_guard();
    let current = SharedDocument::default();
    let entries = SharedEntryPoints::default();
    let is_ready = Arc::new(AtomicBool::new(false));
    let has_handed_over = Arc::new(AtomicBool::new(false));
    let store = platform::store_client(settings, incarnation)?;
    let (decide, events) = ring::ring(decide::EVENT_RING_CAPACITY);
    let (commands, platform_commands) = ring::async_ring(platform::COMMAND_RING_CAPACITY);
    let (forwarded, forwards) = ring::async_ring(MAX_QUEUED_FORWARDS);
    let mut threads = Vec::new();
    let links = links::start(settings, tls, &decide, forwarded, cancel.child_token())?;
    let peers = links.map(|(handle, thread)| {
        threads.push(thread);
        handle
    });
    threads.push(platform::start(
        settings,
        clock,
        store.clone(),
        decide.clone(),
        current.clone(),
        platform_commands,
        cancel.child_token(),
    )?);
    let board = StatusBoard::default();
    let metrics = settings.metrics.as_ref();
    let limits = front::memory_limits(settings);
    let memory = Arc::new(CallerMemory::new(limits, clock, Arc::default()));
    let (report, report_thread) = report::start(
        metrics,
        board.clone(),
        Arc::clone(&memory),
        cancel.child_token(),
    )?;
    threads.push(report_thread);
    let outputs = Outputs {
        current: current.clone(),
        entries: entries.clone(),
        board: board.clone(),
        is_ready: Arc::clone(&is_ready),
        has_handed_over: Arc::clone(&has_handed_over),
        peers: peers.clone(),
        platform: commands,
    };
    let token = cancel.child_token();
    threads.push(decide::start(
        settings,
        incarnation,
        clock,
        events,
        outputs,
        token,
    )?);
    let (dispatch, dispatch_thread) = dispatch::start(clock, cancel.child_token())?;
    threads.push(dispatch_thread);
    let callers = &settings.callers;
    let shared = Arc::new(IntakeState {
        instance: settings.instance.id.clone(),
        clock,
        current,
        decide: decide.clone(),
        dispatch,
        report,
        peers: peers.clone(),
        action_records: ActionRecords::new(store),
        credentials: settings.upstream_credentials.clone(),
        entries,
        in_flight: Arc::new(InFlight::new(callers.max_requests)),
        memory: Arc::clone(&memory),
        limits: callers.limits.clone(),
        body_timeout_ms: callers.body_timeout_ms,
        is_ready,
        is_leaving: AtomicBool::new(false),
        requests: AtomicU64::new(0),
        incarnation,
    });
    threads.push(forwarded::start(
        Arc::clone(&shared),
        forwards,
        cancel.child_token(),
    )?);
    let server = intake::start(settings, Arc::clone(&shared))?;
    let operators = settings
        .operators_address
        .map(|address| {
            let in_flight = Arc::clone(&shared.in_flight);
            report::start_operators(settings, address, board, in_flight, memory)
        })
        .transpose()?;
    log::info!(address:% = server.address; "listening for callers");
    Ok(Daemon {
        shared,
        server,
        operators,
        peers,
        decide,
        has_handed_over,
        clock,
        shutdown: settings.shutdown.clone(),
        cancel: guard.disarm(),
        threads,
    })
}

impl Daemon {
    /// Returns the address that the instance listens on for callers.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> Arc<InFlight> {
        Arc::clone(&self.shared.in_flight)
    }

    /// Whether a thread has ended by itself, which only happens if an invariant is violated.
    pub fn is_broken(&self) -> bool {
        self.threads.iter().any(thread::JoinHandle::is_finished)
    }

    /// Returns the handle to the link thread; `None` for an instance without peers.
    pub fn peers(&self) -> Option<peers::Handle> {
        self.peers.clone()
    }

    /// Announces that the instance is leaving: it stops being ready and accepts no new callers,
    /// while running requests continue.
    pub fn leave(&self) {
        self.shared.is_leaving.store(true, Ordering::Relaxed);
        if self.decide.try_send(decide::Event::Leave).is_err() {
            log::warn!("decision ring full; peers are notified late that this instance is leaving");
        }
    }

    /// Announces that the instance is leaving, waits for running requests and stops all threads.
    /// Returns the number of requests cancelled because they exceeded the drain timeout.
    pub fn stop(self) -> usize {
        self.leave();
        thread::sleep(Duration::from_millis(self.shutdown.announce_ms));
        let began = self.clock.now();
        while self.shared.in_flight.count() > 0
            && self.clock.now().since(began) < self.shutdown.drain_ms
        {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        let cancelled_requests = self.shared.in_flight.count();
        while !self.has_handed_over.load(Ordering::Relaxed)
            && self.clock.now().since(began) < HAND_OVER_TIMEOUT_MS
        {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
        self.server.stop();
        if let Some(operators) = self.operators {
            operators.stop();
        }
        self.cancel.cancel();
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("a thread panicked");
            }
        }
        cancelled_requests
    }
}
