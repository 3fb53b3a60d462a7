//! Listening sockets and the tasks that accept connections.

use super::{
    connections::ConnectionActivity, handler::handle, tracked_body::TrackedBody,
    tracked_stream::TrackedStream, AuxEndpoint, AuxInterface, Connections,
};
use crate::{memory::Guard, node::Node, relay::AnswerBroken};
use carobwheel_core::memory::{Owner, Shortage, SizeClass, Use};
use hyper::{body::Incoming, server::conn::http1, service::service_fn, Request};
use hyper_util::rt::TokioIo;
use std::{
    convert::Infallible,
    error::Error as _,
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::sleep,
};
use tokio_util::sync::CancellationToken;

/// Backlog of the listening sockets, in connections.
const BACKLOG: u32 = 1_024;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest read buffer that hyper accepts, in bytes.
const MIN_READ_BYTES: usize = 8 * 1024;
/// Buffer space beyond the limit on heads, so that a head slightly over the limit gets a response,
/// in bytes.
const HEAD_ROOM_BYTES: usize = 2 * 1024;
/// Memory of an open connection, in bytes: its read buffer, the head of an answer, and its task.
const CONNECTION_BYTES: usize = 16 * 1024;
/// Number of yields to the event loop in which an evicted connection may close.
const EVICTION_YIELDS: u32 = 8;

/// Opens a listening socket.
///
/// # Errors
///
/// Fails if the address cannot be used.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections, and keeps them within the limits: closes another one or the new one if there
/// are too many. Returns the connection with its memory.
async fn accept(
    node: &Node,
    listener: &TcpListener,
    connections: &Connections,
) -> (TcpStream, SocketAddr, Guard) {
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                if is_out_of_descriptors(&err) {
                    node.metrics.count_dropped("descriptors");
                    connections.evict(None, node.now());
                }
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        match admit(node, connections, address.ip()).await {
            Ok(memory) => return (stream, address, memory),
            Err(reason) => node.metrics.count_dropped(reason),
        }
    }
}

/// Whether no further descriptor can be opened, by this process or on the machine.
fn is_out_of_descriptors(err: &io::Error) -> bool {
    // EMFILE and ENFILE, for which the standard library has no stable kinds.
    matches!(err.raw_os_error(), Some(23 | 24))
}

/// Makes room for a connection from `address` and reserves its memory.
///
/// # Errors
///
/// Returns the limit that it exceeds.
async fn admit(
    node: &Node,
    connections: &Connections,
    address: IpAddr,
) -> Result<Guard, &'static str> {
    let owner = Owner::of_address(address);
    let reserve = || {
        let class = SizeClass::Small;
        node.memory
            .reserve(Use::Connections, &owner, class, CONNECTION_BYTES)
    };
    let attempt = || match connections.exceeded(address) {
        Some(limit) => Err(limit),
        None => reserve().map_err(Shortage::label),
    };
    let limit = match attempt() {
        Ok(memory) => return Ok(memory),
        Err(limit) => limit,
    };
    let is_of_address = limit == "connections_of_address" || limit == Shortage::Address.label();
    if !connections.evict(is_of_address.then_some(address), node.now()) {
        return Err(limit);
    }
    node.metrics.count_dropped(limit);
    for _ in 0..EVICTION_YIELDS {
        tokio::task::yield_now().await;
        if let Ok(memory) = attempt() {
            return Ok(memory);
        }
    }
    Err(limit)
}

/// Serves callers. After `drain` is cancelled, connections close when their current request ends.
pub async fn serve_callers(
    node: Rc<Node>,
    listener: TcpListener,
    connections: Rc<Connections>,
    drain: CancellationToken,
) {
    loop {
        let (stream, address, memory) = accept(&node, &listener, &connections).await;
        let (node, connections) = (Rc::clone(&node), Rc::clone(&connections));
        let drain = drain.clone();
        let opened = connections.open(node.clock, address.ip());
        tokio::task::spawn_local(async move {
            serve_caller(node, stream, &connections, opened, drain).await;
            drop(memory);
        });
    }
}

/// Serves one connection of a caller.
async fn serve_caller(
    node: Rc<Node>,
    stream: TcpStream,
    connections: &Connections,
    (id, activity): (u64, Rc<ConnectionActivity>),
    drain: CancellationToken,
) {
    // Best effort: without this option small writes wait for acknowledgements.
    drop(stream.set_nodelay(true));
    let limits = node.config().unwrap_or_default().limits;
    let observed = Rc::clone(&activity);
    let io = TokioIo::new(TrackedStream::new(stream, move |event| {
        observed.observe(event);
    }));
    let (served, serving) = (Rc::clone(&activity), Rc::clone(&node));
    let service = service_fn(move |request: Request<Incoming>| {
        let (node, activity) = (Rc::clone(&serving), Rc::clone(&served));
        async move {
            activity.set_busy();
            let method = request.method().clone();
            let answer = handle(node, request, &activity).await;
            Ok::<_, Infallible>(TrackedBody::track(answer, &method, &activity))
        }
    });
    // A connection opened while draining serves a single request, which is refused.
    let mut is_draining = drain.is_cancelled();
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size((limits.max_head_bytes + HEAD_ROOM_BYTES).max(MIN_READ_BYTES))
        .auto_date_header(false)
        .keep_alive(!is_draining);
    let mut connection = std::pin::pin!(builder.serve_connection(io, service));
    loop {
        tokio::select! {
            // First, so that a request that has arrived is served although a timeout has passed.
            biased;
            result = connection.as_mut() => {
                log_end(&node, &activity, &result);
                break;
            }
            reason = activity.timed_out() => if let Some(reason) = reason {
                activity.log_close(&node.log, "instance", reason);
                node.metrics.count_dropped("connection_closed");
                break;
            },
            () = drain.cancelled(), if !is_draining => {
                is_draining = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
    connections.closed(id);
}

/// Logs the end of a connection under a request that was read.
fn log_end(node: &Node, activity: &ConnectionActivity, result: &hyper::Result<()>) {
    match result {
        Ok(()) => activity.log_close(&node.log, "caller", "closed"),
        Err(err) => match err.source().and_then(|cause| cause.downcast_ref()) {
            Some(AnswerBroken(reason)) => activity.log_close(&node.log, "instance", reason),
            None => activity.log_close(&node.log, "caller", &err.to_string()),
        },
    }
}

/// Serves an auxiliary endpoint.
pub async fn serve_aux(
    node: Rc<Node>,
    listener: TcpListener,
    connections: Rc<Connections>,
    interface: AuxInterface,
    handler: AuxEndpoint,
) {
    loop {
        let (stream, address, memory) = accept(&node, &listener, &connections).await;
        let (node, connections) = (Rc::clone(&node), Rc::clone(&connections));
        let (id, activity) = connections.open(node.clock, address.ip());
        tokio::task::spawn_local(async move {
            serve_aux_connection(node, stream, activity, interface, handler).await;
            connections.closed(id);
            drop(memory);
        });
    }
}

/// Serves one connection to an auxiliary endpoint.
async fn serve_aux_connection(
    node: Rc<Node>,
    stream: TcpStream,
    activity: Rc<ConnectionActivity>,
    interface: AuxInterface,
    handler: AuxEndpoint,
) {
    let observed = Rc::clone(&activity);
    let io = TokioIo::new(TrackedStream::new(stream, move |event| {
        observed.observe(event);
    }));
    let (served, serving) = (Rc::clone(&activity), Rc::clone(&node));
    let service = service_fn(move |request: Request<Incoming>| {
        let (node, activity) = (Rc::clone(&serving), Rc::clone(&served));
        async move {
            activity.set_busy();
            let method = request.method().clone();
            let answer = handler.respond(&node, &interface, request).await;
            Ok::<_, Infallible>(TrackedBody::track(answer, &method, &activity))
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MIN_READ_BYTES).auto_date_header(false);
    let mut connection = std::pin::pin!(builder.serve_connection(io, service));
    loop {
        tokio::select! {
            biased;
            // The client notices a broken connection itself.
            _ = connection.as_mut() => return,
            reason = activity.timed_out() => if reason.is_some() {
                node.metrics.count_dropped("connection_closed");
                return;
            },
        }
    }
}
