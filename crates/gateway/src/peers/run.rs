//! The thread of the links: commands, accepted connections and upkeep.

use super::counters::{count, Counters};
use super::document::{self, Served};
use super::forward::{forward, OutgoingForward};
use super::handle::Sinks;
use super::links::Links;
use super::shared::{open_dialler, Shared, Traffic};
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

/// Time between two checks of all links.
const UPKEEP_PERIOD: Duration = Duration::from_millis(250);
/// Checks between two sums of the traffic.
const UPKEEPS_PER_SUM: u64 = 4;
/// Time without traffic after which a link with open requests is tested.
const ECHO_AFTER: Duration = Duration::from_millis(500);
/// Time that closing all links may take.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Links from which on further connections are refused.
const MAX_LINKS: usize = 1_024;

/// What the rest of the program asks for.
pub(super) enum Command {
    /// Send a message.
    Send {
        to: InstanceId,
        addr: Option<SocketAddr>,
        message: Message,
    },
    /// Fetch the document.
    Fetch {
        from: InstanceId,
        addr: SocketAddr,
        above_revision: u64,
    },
    /// Forward a request.
    Forward(OutgoingForward),
    /// Use another certificate.
    Reload(Box<TlsConfigs>),
}

/// Runs the thread until it is cancelled.
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
    document: Arc<ArcSwapOption<Served>>,
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
            ended_traffic: Cell::new(Traffic::default()),
        });
        serve(&shared, queue).await;
        close_all(&shared).await;
        Ok(())
    })
}

async fn serve(shared: &Rc<Shared>, mut queue: mpsc::Receiver<Command>) {
    let mut upkeep = interval(UPKEEP_PERIOD);
    upkeep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut upkeeps: u64 = 0;
    loop {
        tokio::select! {
            () = shared.cancel.cancelled() => return,
            command = queue.recv() => match command {
                Some(command) => obey(shared, command),
                None => return,
            },
            incoming = shared.server.accept() => match incoming {
                Some(incoming) => accept(shared, incoming),
                None => return,
            },
            _ = upkeep.tick() => {
                check_links(shared);
                if upkeeps.is_multiple_of(UPKEEPS_PER_SUM) {
                    sum_traffic(shared);
                }
                upkeeps += 1;
            }
        }
    }
}

fn obey(shared: &Rc<Shared>, command: Command) {
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

/// Drops silent links, closes idle and retired ones, and tests those with open requests.
fn check_links(shared: &Rc<Shared>) {
    let silent = Duration::from_millis(shared.settings.reply_timeout_ms);
    let idle = Duration::from_millis(shared.settings.idle_timeout_ms);
    let links = shared.links.borrow().all();
    shared
        .counters
        .links
        .store(links.len() as u64, Ordering::Relaxed);
    for link in links {
        if link.is_silent(silent) {
            log::info!(peer:% = link.peer; "peer_link_silent");
            count(&shared.counters.silent_links);
            shared
                .links
                .borrow_mut()
                .note_lost(&link.peer, link.generation);
            shared.forget_link(&link);
            link.connection.close(0u32.into(), b"silent");
        } else if link.is_idle(idle) || link.is_retired() && !link.is_busy() {
            shared.forget_link(&link);
            link.connection.close(0u32.into(), b"idle");
        } else if link.wants_echo(ECHO_AFTER) {
            shared.send_over(&link, &Message::Echo(0));
        }
    }
}

fn sum_traffic(shared: &Shared) {
    let links = shared.links.borrow().all();
    let traffic = links
        .iter()
        .map(|link| Traffic::of(&link.connection))
        .fold(shared.ended_traffic.get(), Traffic::plus);
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
    // A peer that does not hear the close finds the silence by itself.
    let _ = timeout(CLOSE_TIMEOUT, async {
        shared.server.wait_idle().await;
        dialler.wait_idle().await;
    })
    .await;
}
