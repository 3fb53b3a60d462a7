//! Lifecycle of an instance: start-up, checks of the settings file on request, and graceful stop.

mod leave;
mod load_report;

use crate::{
    dispatch::Pools,
    duty::{self, DutyHost, DutyInterface, DutyKind, DutySource},
    front::{bind, serve_aux, serve_callers, AuxEndpoint, AuxInterface, Connections, Timeouts},
    health_check,
    log::{Event, Log},
    member::MemberEntry,
    memory::MemoryBudget,
    metrics::Metrics,
    names::HeaderNames,
    node::{scaling_of, usage_of, Node, State},
    peers::{self, Identity, Links},
    settings::{CallerSettings, Machine, Settings},
    store::{self, Decoder, Replica, StoreEvent, StoreKeys, StoreOps, StoreSettings, StoreTask},
};
use anyhow::Context as _;
use carobwheel_core::{
    crash::{CrashDetector, CrashSubject},
    memory::{MemoryLimits, Owner, Shortage},
    time::Clock,
};
use leave::leave;
use load_report::LoadReport;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::Duration,
};
use tokio::{
    runtime,
    signal::unix::{signal, SignalKind},
    sync::{
        mpsc::{Receiver, Sender},
        Notify,
    },
    task::LocalSet,
    time::{interval, Instant, MissedTickBehavior},
};
use tokio_util::sync::CancellationToken;

/// Interval of periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of bodies and of connections that are given up for want of memory in a tick. What
/// they held is released only afterwards.
const MAX_RELIEF_PER_TICK: usize = 4;
/// Number of ticks between two sweeps of connections.
const TICKS_PER_SWEEP: u64 = 10;

/// Parts that the adapter of a deployment supplies.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Header names.
    pub names: HeaderNames,
    /// Paths and encoding of the auxiliary endpoints.
    pub interface: AuxInterface,
    /// Creates the client of the store.
    pub connect: fn(SocketAddr) -> StoreOps,
    /// Decodes items of the store.
    pub decoder: Decoder,
    /// Key layout of the store.
    pub keys: StoreKeys,
    /// Calls of duties.
    pub duties: DutyInterface,
    /// Settings file, which is read again on SIGHUP.
    pub settings_path: PathBuf,
}

/// Runs an instance until it receives a signal to stop. Returns the number of requests that were
/// cut.
///
/// # Errors
///
/// Fails if the instance cannot be started.
pub fn run(settings: Settings, deployment: Deployment) -> anyhow::Result<usize> {
    let event_loop = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the event loop")?;
    LocalSet::new().block_on(&event_loop, serve(settings, deployment))
}

/// Starts all tasks, waits for the signal to stop, and stops gracefully.
async fn serve(settings: Settings, deployment: Deployment) -> anyhow::Result<usize> {
    let clock = Clock::default();
    let (log, log_end) =
        Log::start(&settings.instance, clock).context("cannot start the log writer")?;
    let identity = Identity::generate().context("cannot generate a certificate")?;
    let entry = entry(&settings, clock, &identity);
    let start_unix_ms = clock.unix_now().0.saturating_sub(clock.boot_now().0);
    let usage = usage_of(&settings, &entry, start_unix_ms);
    let (links, dialled) = Links::bind(identity, settings.listen.peers)
        .with_context(|| format!("cannot listen on {}", settings.listen.peers))?;
    let listeners = Listeners::bind(&settings)?;
    let stop_store = CancellationToken::new();
    let store_handle = store::start(
        StoreSettings {
            connect: Box::new(deployment.connect),
            address: settings.store,
            decoder: deployment.decoder,
            keys: deployment.keys.clone(),
            entry: entry.clone(),
        },
        stop_store.clone(),
    )
    .context("cannot start the store thread")?;
    let machine = Machine::of(&settings);
    let endpoints = Endpoints::new(&settings, &machine);
    let memory = MemoryBudget::new(MemoryLimits::for_machine(machine.memory_mb), clock);
    let node = Rc::new(Node {
        name: entry.name,
        region: entry.region,
        life: entry.life,
        names: deployment.names.clone(),
        clock,
        log,
        metrics: Metrics::default(),
        pools: Pools::new(machine.max_idle_upstreams()),
        memory,
        links,
        record: store_handle.record,
        is_watcher: store_handle.is_watcher,
        restart_suspected: Notify::new(),
        grace_end: CancellationToken::new(),
        in_flight: Cell::new(0),
        peer_exchanges: Cell::new(0),
        decoder: deployment.decoder,
        state: RefCell::new(State {
            replica: Replica::new(prefixes(&deployment.keys)),
            request_crashes: CrashDetector::new(CrashSubject::Request),
            usage,
            scaling: scaling_of(&settings),
            ..State::default()
        }),
        settings,
    });
    node.log.event(Event::Started {
        region: &node.region,
        life: node.life,
    });
    let drain = CancellationToken::new();
    start_duties(&node, &deployment, store_handle.tasks)?;
    let connections = Rc::clone(&endpoints.callers);
    tokio::task::spawn_local(apply_all(Rc::clone(&node), store_handle.events));
    tokio::task::spawn_local(Links::dial_all(Rc::clone(&node), dialled));
    tokio::task::spawn_local(Links::accept_all(Rc::clone(&node)));
    tokio::task::spawn_local(tick_all(Rc::clone(&node), endpoints.clone()));
    tokio::task::spawn_local(health_check::run_restart_checks(Rc::clone(&node)));
    listeners.serve(&node, &endpoints, &drain, deployment.interface);
    wait_for_stop(&node, &deployment).await?;
    let cut = leave(&node, &connections, &drain, &stop_store).await;
    node.links.close().await;
    connections.log_open_requests(&node.log);
    node.log.close();
    log_end.join();
    Ok(cut)
}

/// Starts the duties of the settings, if there are any.
fn start_duties(
    node: &Rc<Node>,
    deployment: &Deployment,
    tasks: Sender<StoreTask>,
) -> anyhow::Result<()> {
    let Some(settings) = &node.settings.duties else {
        return Ok(());
    };
    let (candidate, logger) = (Rc::clone(node), Rc::clone(node));
    let host = DutyHost {
        name: node.name.parse()?,
        region: node.region.parse()?,
        regions: node.settings.regions.values().cloned().collect(),
        clock: node.clock,
        tasks,
        candidacy: Box::new(move |kind| candidate.duty_candidacy(kind)),
        log: Box::new(move |event| logger.log.event(event)),
        metrics: Rc::clone(&node.metrics.duties),
    };
    let sources = duty_sources(node, &deployment.duties);
    duty::start(host, settings, &deployment.duties, sources);
    Ok(())
}

/// Decisions on the calls of each duty.
fn duty_sources(node: &Rc<Node>, interface: &DutyInterface) -> Vec<(DutyKind, DutySource)> {
    let usage = duty::usage_source(node, interface.usage_state_key);
    let autoscale = duty::autoscale_source(node);
    vec![
        (DutyKind::UsageReport, usage),
        (DutyKind::Autoscale, autoscale),
    ]
}

/// Entry of this instance in the store.
fn entry(settings: &Settings, clock: Clock, identity: &Identity) -> MemberEntry {
    MemberEntry {
        name: settings.instance.as_str().into(),
        life: clock.unix_now().0,
        region: settings.region.as_str().into(),
        data_centre: settings.data_centre.as_str().into(),
        callers: settings.listen.callers,
        peers: settings.listen.peers,
        certificate_digest: identity.digest(),
        processor_millicores: settings.processor.millicores(),
    }
}

/// Open connections by endpoint.
#[derive(Clone)]
struct Endpoints {
    callers: Rc<Connections>,
    ready: Rc<Connections>,
    directory: Rc<Connections>,
    metrics: Rc<Connections>,
}

impl Endpoints {
    fn new(settings: &Settings, machine: &Machine) -> Self {
        let aux = || Rc::new(Connections::new(CallerSettings::aux_connections(machine)));
        Self {
            callers: Rc::new(Connections::new(settings.callers.connections(machine))),
            ready: aux(),
            directory: aux(),
            metrics: aux(),
        }
    }

    /// Connections with the endpoint's label in metrics.
    fn all(&self) -> [(&'static str, &Rc<Connections>); 4] {
        [
            ("callers", &self.callers),
            ("ready", &self.ready),
            ("directory", &self.directory),
            ("metrics", &self.metrics),
        ]
    }

    fn of(&self, endpoint: AuxEndpoint) -> &Rc<Connections> {
        match endpoint {
            AuxEndpoint::Ready => &self.ready,
            AuxEndpoint::Directory => &self.directory,
            AuxEndpoint::Metrics => &self.metrics,
        }
    }
}

/// Listening sockets of callers and auxiliary endpoints.
struct Listeners {
    callers: tokio::net::TcpListener,
    aux_listeners: Vec<(tokio::net::TcpListener, AuxEndpoint)>,
}

impl Listeners {
    fn bind(settings: &Settings) -> anyhow::Result<Self> {
        let listen = &settings.listen;
        let open = |address: SocketAddr| {
            bind(address).with_context(|| format!("cannot listen on {address}"))
        };
        Ok(Self {
            callers: open(listen.callers)?,
            aux_listeners: vec![
                (open(listen.ready)?, AuxEndpoint::Ready),
                (open(listen.directory)?, AuxEndpoint::Directory),
                (open(listen.metrics)?, AuxEndpoint::Metrics),
            ],
        })
    }

    fn serve(
        self,
        node: &Rc<Node>,
        endpoints: &Endpoints,
        drain: &CancellationToken,
        interface: AuxInterface,
    ) {
        let callers = serve_callers(
            Rc::clone(node),
            self.callers,
            Rc::clone(&endpoints.callers),
            drain.clone(),
        );
        tokio::task::spawn_local(callers);
        for (listener, handler) in self.aux_listeners {
            let connections = Rc::clone(endpoints.of(handler));
            let node = Rc::clone(node);
            let served = serve_aux(node, listener, connections, interface, handler);
            tokio::task::spawn_local(served);
        }
    }
}

/// Applies the events of the store's thread.
async fn apply_all(node: Rc<Node>, mut events: Receiver<StoreEvent>) {
    while let Some(event) = events.recv().await {
        let work = &node.metrics.work;
        work.store_applied.measure(|| node.apply_store_event(event));
    }
}

/// Runs the periodic work.
async fn tick_all(node: Rc<Node>, endpoints: Endpoints) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count: u64 = 0;
    let mut load_report = LoadReport::default();
    let mut last_tick = Instant::now();
    loop {
        ticks.tick().await;
        let passed = last_tick.elapsed();
        last_tick = Instant::now();
        let late = passed.saturating_sub(TICK_INTERVAL).as_millis();
        load_report.tick(&node, u64::try_from(late).unwrap_or(u64::MAX));
        node.metrics.work.ticks.measure(|| node.tick());
        for check in node.due_health_checks() {
            tokio::task::spawn_local(health_check::run(Rc::clone(&node), check));
        }
        health_check::start_restart_checks(&node);
        for probe in node.due_reach_probes() {
            tokio::task::spawn_local(health_check::probe_reach(Rc::clone(&node), probe));
        }
        for pull in node.due_pulls() {
            tokio::task::spawn_local(peers::pull(Rc::clone(&node), pull));
        }
        relieve_memory(&node, &endpoints);
        count += 1;
        if count.is_multiple_of(TICKS_PER_SWEEP) {
            sweep(&node, &endpoints);
        }
    }
}

/// Closes connections that have exceeded a timeout, and logs what the limits on callers have dropped.
fn sweep(node: &Node, endpoints: &Endpoints) {
    let now = node.now();
    let limits = node.config().unwrap_or_default().limits;
    let callers = &node.settings.callers;
    let timeouts = Timeouts {
        head_ms: limits.head_timeout_ms,
        idle_ms: limits.idle_timeout_ms,
        answer_window_ms: callers.answer_window_ms,
        min_answer_bytes_per_s: callers.min_answer_bytes_per_s,
    };
    for (label, connections) in endpoints.all() {
        connections.sweep(&timeouts, now);
        node.metrics.set_connections(label, connections.count());
    }
    node.pools.sweep(now);
    for (reason, count) in node.metrics.take_dropped() {
        node.log.event(Event::CallersDropped { reason, count });
    }
}

/// While nearly all memory is used, gives up the body with the least recent progress, and closes the
/// connection whose caller has not read its answer for the longest time.
fn relieve_memory(node: &Node, endpoints: &Endpoints) {
    for _ in 0..MAX_RELIEF_PER_TICK {
        if !node.memory.is_nearly_used_up() {
            return;
        }
        let is_body_given_up = node.memory.give_up_body(Shortage::Total, &Owner::default());
        let is_reader_closed = endpoints.callers.close_slowest_reader(node.now());
        if is_reader_closed {
            node.metrics.count_dropped("answer_given_up");
        }
        if !is_body_given_up && !is_reader_closed {
            return;
        }
    }
}

/// Waits for SIGTERM or SIGINT; checks the settings file on SIGHUP.
async fn wait_for_stop(node: &Node, deployment: &Deployment) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => reload(node, deployment),
        }
    }
}

/// Followed prefixes of the store.
fn prefixes(keys: &StoreKeys) -> Vec<String> {
    let followed = keys.all_watched().into_iter();
    followed.map(|followed| followed.prefix).collect()
}

/// Validates the settings file and logs whether it has changed.
fn reload(node: &Node, deployment: &Deployment) {
    match Settings::read(&deployment.settings_path) {
        Ok(settings) => {
            let is_changed = settings != node.settings;
            node.log.event(Event::SettingsReloaded { is_changed });
        }
        Err(err) => node.log.event(Event::SettingsRefused {
            reason: &err.to_string(),
        }),
    }
}
