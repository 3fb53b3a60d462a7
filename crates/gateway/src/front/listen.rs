//! Listening sockets, and the tasks that serve their connections.

use super::{
    activity::Activity,
    connections::{ConnectionGuard, Connections},
    exchange, ConnectionLimits, DropCounters, DropReason,
};
use anyhow::Context as _;
use carobwheel_edge::front::TrackedStream;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use rocket::{local::asynchronous::Client, Build, Rocket};
use std::{
    io,
    net::SocketAddr,
    pin::pin,
    sync::{mpsc, Arc},
    thread,
    time::{Duration, Instant},
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    runtime,
    time::sleep,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

/// Backlog of a listening socket, in connections.
const BACKLOG: u32 = 1_024;
/// Send buffer of a connection, in bytes, which the system doubles. Unless it is set, the system
/// takes several megabytes of answers from a connection that reads none, so that neither its
/// memory nor the requests that it pipelines are bounded.
const SEND_BUFFER_BYTES: u32 = 128 * 1_024;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Read buffer of a connection, and thereby the limit on the length of a head, in bytes.
const MAX_HEAD_BYTES: usize = 18 * 1_024;
/// Time for which requests in flight may go on after the port was closed. The instance has drained
/// them before, by its own count of them.
const GRACE: Duration = Duration::from_secs(2);
/// Shortest time between two log lines about dropped connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A running server.
pub struct Server {
    /// Address that the server listens on.
    pub address: SocketAddr,
    cancel: CancellationToken,
    thread: thread::JoinHandle<()>,
}

impl Server {
    /// Closes the port and waits for the thread. Requests still in flight after a short grace
    /// period are cut off, so the caller must drain them first.
    pub fn stop(self) {
        self.cancel.cancel();
        if self.thread.join().is_err() {
            log::error!("a server thread panicked");
        }
    }
}

/// State shared by the connections of one server.
struct Front {
    name: String,
    client: Arc<Client>,
    limits: ConnectionLimits,
    connections: Arc<Connections>,
    drops: Arc<DropCounters>,
    cancel: CancellationToken,
}

/// Launches `rocket` behind connections with `limits`, on a thread named `name`.
///
/// # Errors
///
/// Fails if the address cannot be bound or the thread cannot be started.
pub fn launch(
    name: &str,
    rocket: Rocket<Build>,
    address: SocketAddr,
    threads: usize,
    limits: ConnectionLimits,
    drops: Arc<DropCounters>,
) -> anyhow::Result<Server> {
    let event_loop = runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .context("cannot set up an event loop")?;
    let cancel = CancellationToken::new();
    let stopped = cancel.clone();
    let (start_sender, start_result) = mpsc::channel();
    let thread_name = name.to_owned();
    let thread = thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            event_loop.block_on(async {
                let opened = open(thread_name, rocket, address, limits, drops, stopped).await;
                match opened {
                    Ok((front, listener, address)) => {
                        // The starting thread waits for the address.
                        let _ = start_sender.send(Ok(address));
                        serve(front, listener).await;
                    }
                    Err(err) => drop(start_sender.send(Err(err))),
                }
            });
            event_loop.shutdown_background();
        })
        .context("cannot start a server thread")?;
    let address = start_result
        .recv()
        .context("the server exited during start-up")??;
    Ok(Server {
        address,
        cancel,
        thread,
    })
}

/// Opens the listening socket and sets up Rocket.
async fn open(
    name: String,
    rocket: Rocket<Build>,
    address: SocketAddr,
    limits: ConnectionLimits,
    drops: Arc<DropCounters>,
    cancel: CancellationToken,
) -> anyhow::Result<(Arc<Front>, TcpListener, SocketAddr)> {
    let listener = bind(address).with_context(|| format!("cannot listen on {address}"))?;
    let address = listener.local_addr()?;
    let client = Client::untracked(rocket)
        .await
        .map_err(|err| anyhow::anyhow!("cannot set up {name}: {}", err.kind()))?;
    let front = Front {
        name,
        client: Arc::new(client),
        connections: Arc::new(Connections::new(&limits)),
        limits,
        drops,
        cancel,
    };
    Ok((Arc::new(front), listener, address))
}

/// Opens a listening socket, whose connections inherit its send buffer.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until the server is stopped, and lets requests in flight end.
async fn serve(front: Arc<Front>, listener: TcpListener) {
    let tasks = TaskTracker::new();
    let mut logged_at = None;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = front.cancel.cancelled() => break,
        };
        let Ok((stream, remote)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        match front.connections.open(remote.ip()) {
            Ok(guard) => {
                let connection = serve_connection(Arc::clone(&front), stream, remote, guard);
                tasks.spawn(connection);
            }
            Err(reason) => refuse_connection(&front, reason, remote, &mut logged_at),
        }
    }
    drop(listener);
    tasks.close();
    // What is left is cut off with the event loop.
    let _ = tokio::time::timeout(GRACE, tasks.wait()).await;
}

/// Counts a refused connection, and logs it unless another one was logged just before.
fn refuse_connection(
    front: &Front,
    reason: DropReason,
    remote: SocketAddr,
    logged_at: &mut Option<Instant>,
) {
    front.drops.add(reason);
    if logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
        *logged_at = Some(Instant::now());
        let (server, reason, address) = (front.name.as_str(), reason.label(), remote.ip());
        let dropped = front.drops.get(DropReason::Connections)
            + front.drops.get(DropReason::ConnectionsOfAddress);
        log::warn!(server, reason, address:%, dropped; "connection refused");
    }
}

/// Serves one connection until it ends, exceeds a timeout or the server is stopped.
async fn serve_connection(
    front: Arc<Front>,
    stream: TcpStream,
    remote: SocketAddr,
    _guard: ConnectionGuard,
) {
    // Best effort: without this option small writes wait for acknowledgements.
    drop(stream.set_nodelay(true));
    let activity = Arc::new(Activity::new());
    let observed = Arc::clone(&activity);
    let io = TokioIo::new(TrackedStream::new(stream, move |event| {
        observed.observe(event);
    }));
    let (client, served) = (Arc::clone(&front.client), Arc::clone(&activity));
    let service = service_fn(move |request| {
        exchange::answer(Arc::clone(&client), remote, request, Arc::clone(&served))
    });
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(MAX_HEAD_BYTES)
        .preserve_header_case(true)
        .header_read_timeout(None);
    let mut connection = pin!(builder.serve_connection(io, service));
    let mut is_draining = false;
    loop {
        tokio::select! {
            biased;
            // An error ends the connection; the request's own task records what became of it.
            _ = connection.as_mut() => return,
            reason = activity.timed_out(&front.limits.callers) => {
                front.drops.add(reason);
                log::debug!(reason = reason.label(), address:% = remote.ip(); "connection dropped");
                return;
            }
            () = front.cancel.cancelled(), if !is_draining => {
                is_draining = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
