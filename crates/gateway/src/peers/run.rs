//! Main loop of the link thread: commands, incoming connections and periodic checks of all links.

use super::counters::{count, Counters};
use super::document::{self, ServedDocument};
use super::forward::{forward, OutgoingForward};
use super::handle::Sinks;
use super::link::Link;
use super::links::Links;
use super::shared::{open_dialler, Shared, UdpTraffic};
use super::tls::TlsConfigs;
use super::{dial, PeerSettings};
use arc_swap::ArcSwapOption;
use carobwheel_core::id::InstanceId;
use carobwheel_wire::peer::Message;
use std::{
    cell::{Cell, RefCell},
    io,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
    sync::{atomic::Ordering, Arc},
    time::Duration,
};
use tokio::{
    runtime::Runtime,
    sync::mpsc,
    task::{spawn_local, LocalSet},
    time::{interval, timeout, MissedTickBehavior},
};
use tokio_util::sync::CancellationToken;

/// Interval between checks of all links.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Link checks per update of the traffic counters.
const CHECKS_PER_TRAFFIC_UPDATE: u64 = 4;
/// Time without received data after which a link with open requests is tested by an echo.
const ECHO_DELAY: Duration = Duration::from_millis(500);
/// Timeout for closing all links at the end of the thread.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of links at which further incoming connections are refused.
const MAX_LINKS: usize = 1_024;

/// A command from another thread.
pub(super) enum Command {
    /// Send a message.
    Send {
        to: InstanceId,
        addr: Option<SocketAddr>,
        message: Message,
    },
    /// Fetch the document from a peer.
    Fetch {
        from: InstanceId,
        addr: SocketAddr,
        above_revision: u64,
    },
    /// Forward a request to a peer.
    Forward(OutgoingForward),
    /// Replace the TLS configuration.
    Reload(Box<TlsConfigs>),
}

/// Runs the main loop until it is cancelled.
#[expect(
    clippy::too_many_arguments,
    reason = "called once, at the start of the thread"
)]
pub(super) fn run(
    runtime: &Runtime,
    settings: PeerSettings,
    tls: TlsConfigs,
    socket: UdpSocket,
    queue: mpsc::Receiver<Command>,
    sinks: Sinks,
    document: Arc<ArcSwapOption<ServedDocument>>,
    counters: Arc<Counters>,
    cancel: CancellationToken,
) -> io::Result<()> {
    let local = LocalSet::new();
    local.block_on(runtime, async {
        let server = quinn::Endpoint::new(
            quinn::EndpointConfig::default(),
            Some(tls.server.clone()),
            socket,
            Arc::new(quinn::TokioRuntime),
        )?;
        let dialler = open_dialler(settings.listen.ip(), 1)?;
        let shared = Rc::new(Shared {
            settings,
            tls: RefCell::new(tls),
            server,
            dialler: RefCell::new(dialler),
            links: RefCell::new(Links::default()),
            sinks: RefCell::new(sinks),
            document,
            counters,
            cancel,
            closed_link_traffic: Cell::new(UdpTraffic::default()),
        });
        serve(&shared, queue).await;
        close_all(&shared).await;
        Ok(())
    })
}

async fn serve(shared: &Rc<Shared>, mut queue: mpsc::Receiver<Command>) {
    let mut check_timer = interval(LINK_CHECK_INTERVAL);
    check_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut checks: u64 = 0;
    loop {
        tokio::select! {
            () = shared.cancel.cancelled() => return,
            command = queue.recv() => match command {
                Some(command) => execute(shared, command),
                None => return,
            },
            incoming = shared.server.accept() => match incoming {
                Some(incoming) => accept(shared, incoming),
                None => return,
            },
            _ = check_timer.tick() => {
                check_links(shared);
                if checks.is_multiple_of(CHECKS_PER_TRAFFIC_UPDATE) {
                    update_traffic_counters(shared);
                }
                checks += 1;
            }
        }
    }
}

fn execute(shared: &Rc<Shared>, command: Command) {
    match command {
        Command::Send { to, addr, message } => dial::send(shared, &to, addr, message),
        Command::Fetch {
            from,
            addr,
            above_revision,
        } => {
            spawn_local(document::fetch(
                Rc::clone(shared),
                from,
                addr,
                above_revision,
            ));
        }
        Command::Forward(request) => {
            spawn_local(forward(Rc::clone(shared), request));
        }
        Command::Reload(tls) => reload(shared, *tls),
    }
}

fn accept(shared: &Rc<Shared>, incoming: quinn::Incoming) {
    if shared.links.borrow().all().len() >= MAX_LINKS {
        count(&shared.counters.refused_peers);
        incoming.refuse();
        return;
    }
    spawn_local(dial::accept(Rc::clone(shared), incoming));
}

fn reload(shared: &Shared, tls: TlsConfigs) {
    shared.server.set_server_config(Some(tls.server.clone()));
    *shared.tls.borrow_mut() = tls;
    for link in shared.links.borrow().all() {
        link.retire();
    }
}

/// Retires silent links, closes lost, idle and retired ones, and sends an echo on quiet ones with
/// open requests.
fn check_links(shared: &Rc<Shared>) {
    let reply_timeout = Duration::from_millis(shared.settings.reply_timeout_ms);
    let lost_timeout = Duration::from_millis(shared.settings.lost_timeout_ms);
    let idle_timeout = Duration::from_millis(shared.settings.idle_timeout_ms);
    let links = shared.links.borrow().all();
    shared
        .counters
        .links
        .store(links.len() as u64, Ordering::Relaxed);
    for link in links {
        if link.is_silent(reply_timeout) && !link.is_retired() {
            retire_silent(shared, &link);
        }
        if link.is_silent(lost_timeout) {
            shared.remove_link(&link);
            link.connection.close(0u32.into(), b"silent");
        } else if link.is_idle(idle_timeout) || link.is_retired() && !link.is_busy() {
            shared.remove_link(&link);
            link.connection.close(0u32.into(), b"idle");
        } else if link.needs_echo(ECHO_DELAY) {
            shared.send_over(&link, &Message::Echo(0));
        }
    }
}

/// Has a silent link replaced by one from a new local port; the answers under way keep it open.
fn retire_silent(shared: &Shared, link: &Link) {
    log::info!(peer:% = link.peer; "peer_link_silent");
    count(&shared.counters.silent_links);
    shared
        .links
        .borrow_mut()
        .record_lost_flow(&link.peer, link.generation);
    link.retire_silent();
}

fn update_traffic_counters(shared: &Shared) {
    let links = shared.links.borrow().all();
    let traffic = links
        .iter()
        .map(|link| UdpTraffic::of(&link.connection))
        .fold(shared.closed_link_traffic.get(), UdpTraffic::plus);
    let counters = &shared.counters;
    let pairs = [
        (&counters.sent_udp_bytes, traffic.sent_bytes),
        (&counters.received_udp_bytes, traffic.received_bytes),
        (&counters.sent_udp_datagrams, traffic.sent_datagrams),
        (&counters.received_udp_datagrams, traffic.received_datagrams),
    ];
    for (counter, value) in pairs {
        counter.store(value, Ordering::Relaxed);
    }
}

async fn close_all(shared: &Shared) {
    shared.server.set_server_config(None);
    for link in shared.links.borrow().all() {
        link.connection.close(0u32.into(), b"stop");
    }
    let dialler = shared.dialler.borrow().endpoint.clone();
    // A peer that misses the close detects the silent link by its own reply timeout.
    let _ = timeout(CLOSE_TIMEOUT, async {
        shared.server.wait_idle().await;
        dialler.wait_idle().await;
    })
    .await;
}
