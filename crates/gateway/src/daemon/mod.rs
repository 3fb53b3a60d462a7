//! Joins the threads of one instance, and stops them in order.

mod links;

use crate::{
    decide::{self, Outputs},
    dispatch,
    in_flight::InFlight,
    in_force::SharedDocument,
    intake::{
        self,
        forwarded::{self, RING_FORWARDED},
        Claims, Entries, Server, Shared, BODY_UNIT_BYTES,
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
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

/// Longest time for which the hand-over of slots is waited for, in milliseconds. The store may be
/// down, and then the slots are taken over once this instance is known to be gone.
const HAND_OVER_MS: u64 = 2_000;
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// A running instance.
pub struct Daemon {
    shared: Arc<Shared>,
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

/// Starts every thread of an instance. `tls` is the material for links to other instances, and
/// needed if the settings name an address for them.
///
/// # Errors
///
/// Fails if an address cannot be bound, the material cannot be used or a thread cannot be started.
pub fn start(settings: &Settings, tls: Option<TlsMaterial>) -> anyhow::Result<Daemon> {
    let clock = Clock::default();
    let incarnation = clock.unix_now().0;
    let cancel = CancellationToken::new();
    // Ends the threads that run already if a later one cannot be started.
    let guard = cancel.clone().drop_guard();
    let current = SharedDocument::default();
    let entries = Entries::default();
    let is_ready = Arc::new(AtomicBool::new(false));
    let has_handed_over = Arc::new(AtomicBool::new(false));
    let store = platform::store_client(settings, incarnation)?;
    let (decide, events) = ring::ring(decide::EVENT_RING_CAPACITY);
    let (commands, platform_commands) = ring::async_ring(platform::RING_COMMANDS);
    let (forwarded, forwards) = ring::async_ring(RING_FORWARDED);
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
        platform_commands,
        cancel.child_token(),
    )?);
    let board = StatusBoard::default();
    let metrics = settings.metrics.as_ref();
    let (report, report_thread) = report::start(metrics, board.clone(), cancel.child_token())?;
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
    let body_units = callers.max_body_bytes_held / BODY_UNIT_BYTES;
    let shared = Arc::new(Shared {
        instance: settings.instance.id.clone(),
        clock,
        current,
        decide: decide.clone(),
        dispatch,
        report,
        peers: peers.clone(),
        claims: Claims::new(store),
        credentials: settings.upstream_credentials.clone(),
        entries,
        in_flight: Arc::new(InFlight::new(callers.max_requests)),
        body_room: Arc::new(Semaphore::new(body_units)),
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
            report::start_operators(settings, address, board, in_flight)
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
    /// Address on which callers reach the instance.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> Arc<InFlight> {
        Arc::clone(&self.shared.in_flight)
    }

    /// Whether a thread has ended by itself, which only a broken invariant makes it do.
    pub fn is_broken(&self) -> bool {
        self.threads.iter().any(thread::JoinHandle::is_finished)
    }

    /// Links to other instances; none for an instance that stands alone.
    pub fn peers(&self) -> Option<peers::Handle> {
        self.peers.clone()
    }

    /// Announces that the instance leaves: it is not ready any more and takes no new callers,
    /// while running requests go on.
    pub fn leave(&self) {
        self.shared.is_leaving.store(true, Ordering::Relaxed);
        if self.decide.try_send(decide::Event::Leave).is_err() {
            log::warn!("the deciding ring is full, so peers hear late that this instance leaves");
        }
    }

    /// Announces the departure, waits for running requests and stops every thread. Returns the
    /// number of requests that were cut because they outlasted the configured time.
    pub fn stop(self) -> usize {
        self.leave();
        thread::sleep(Duration::from_millis(self.shutdown.announce_ms));
        let began = self.clock.now();
        while self.shared.in_flight.count() > 0
            && self.clock.now().since(began) < self.shutdown.drain_ms
        {
            thread::sleep(DRAIN_POLL);
        }
        let cut = self.shared.in_flight.count();
        while !self.has_handed_over.load(Ordering::Relaxed)
            && self.clock.now().since(began) < HAND_OVER_MS
        {
            thread::sleep(DRAIN_POLL);
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
        cut
    }
}
