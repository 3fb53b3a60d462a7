//! Minimal HTTP/1.1 server that can close a connection at any byte of an answer.
//!
//! Server libraries end a body cleanly even when its source fails, so they cannot simulate an
//! upstream that crashes in the middle of an answer.

mod request;
mod responder;

pub use request::RecordedRequest;
pub(crate) use request::{Request, RequestReader};
pub(crate) use responder::{BodyWriter, ConnectionState, Responder};

use futures::future::BoxFuture;
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    thread,
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    runtime::{self, Runtime},
    sync::watch,
};
use tokio_util::sync::CancellationToken;

/// Maximum number of connections waiting to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Handler of one request. Its future is dropped when the caller disconnects.
pub(crate) type Handler =
    Arc<dyn Fn(Request, Responder) -> BoxFuture<'static, ConnectionState> + Send + Sync>;

/// State shared by the handle and the thread of a server.
pub(crate) struct ServerControl {
    stop: CancellationToken,
    is_refusing: watch::Sender<bool>,
    connections: Mutex<CancellationToken>,
}

impl ServerControl {
    /// Closes the listening socket, or opens it again. Open connections are kept.
    pub(crate) fn set_refusing(&self, is_refusing: bool) {
        self.is_refusing.send_replace(is_refusing);
    }

    /// Closes all open connections.
    pub(crate) fn close_connections(&self) {
        let old = std::mem::take(&mut *self.lock_connections());
        old.cancel();
    }

    /// Returns the token that is cancelled when the connections open now are closed.
    fn connections(&self) -> CancellationToken {
        self.lock_connections().clone()
    }

    fn lock_connections(&self) -> MutexGuard<'_, CancellationToken> {
        crate::lock(&self.connections)
    }
}

/// Handle of a running server. Dropping it stops the server.
pub(crate) struct Server {
    pub(crate) addr: SocketAddr,
    control: Arc<ServerControl>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Starts a server on a separate thread, with `workers` threads that serve requests.
    pub(crate) fn start(
        name: &str,
        addr: SocketAddr,
        workers: usize,
        handler: Handler,
    ) -> io::Result<Self> {
        let runtime = build_runtime(name, workers)?;
        let bound = {
            let _entered = runtime.enter();
            listen(addr)
        };
        let listener = match bound {
            Ok(listener) => listener,
            Err(err) => {
                runtime.shutdown_background();
                return Err(err);
            }
        };
        let addr = listener.local_addr()?;
        let control = Arc::new(ServerControl {
            stop: CancellationToken::new(),
            is_refusing: watch::Sender::new(false),
            connections: Mutex::new(CancellationToken::new()),
        });
        let accepting = accept_all(listener, addr, control.clone(), handler);
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                runtime.block_on(accepting);
                runtime.shutdown_background();
            })?;
        Ok(Self {
            addr,
            control,
            thread: Some(thread),
        })
    }

    /// Closes the listening socket, or opens it again. Open connections are kept.
    pub(crate) fn set_refusing(&self, is_refusing: bool) {
        self.control.set_refusing(is_refusing);
    }

    /// Closes all open connections.
    pub(crate) fn close_connections(&self) {
        self.control.close_connections();
    }

    /// Returns the control of the server, for use by its handler.
    pub(crate) fn control(&self) -> Arc<ServerControl> {
        self.control.clone()
    }

    /// Stops the server and waits for its thread.
    pub(crate) fn stop(&mut self) {
        self.control.stop.cancel();
        if let Some(thread) = self.thread.take() {
            assert!(thread.join().is_ok(), "stand-in thread panicked");
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.control.stop.cancel();
    }
}

fn build_runtime(name: &str, workers: usize) -> io::Result<Runtime> {
    let mut builder = match workers {
        0 | 1 => runtime::Builder::new_current_thread(),
        _ => runtime::Builder::new_multi_thread(),
    };
    builder
        .worker_threads(workers.max(1))
        .thread_name(name)
        .enable_all()
        .build()
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(LISTEN_BACKLOG)
}

async fn accept_all(
    listener: TcpListener,
    addr: SocketAddr,
    control: Arc<ServerControl>,
    handler: Handler,
) {
    let mut refusing = control.is_refusing.subscribe();
    let mut listener = Some(listener);
    loop {
        if *refusing.borrow_and_update() {
            listener = None;
        } else if listener.is_none() {
            listener = listen(addr).ok();
        }
        tokio::select! {
            () = control.stop.cancelled() => return control.connections().cancel(),
            _ = refusing.changed() => {}
            accepted = accept_one(listener.as_ref()) => {
                // The token is read before the check: a connection that is accepted while the
                // server begins to refuse either is dropped here or ends with the open ones.
                let connections = control.connections();
                if let (Ok(stream), false) = (accepted, *control.is_refusing.borrow()) {
                    tokio::spawn(serve(stream, connections, handler.clone()));
                }
            }
        }
    }
}

async fn accept_one(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => futures::future::pending().await,
    }
}

async fn serve(stream: TcpStream, cancel: CancellationToken, handler: Handler) {
    tokio::select! {
        () = cancel.cancelled() => {}
        () = serve_requests(stream, &handler) => {}
    }
}

async fn serve_requests(stream: TcpStream, handler: &Handler) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (read_half, mut write_half) = stream.into_split();
    let mut reader = RequestReader::new(read_half);
    while let Ok(Some(request)) = reader.next_request(&mut write_half).await {
        let responder = Responder::new(write_half, request.keeps_alive());
        let connection = tokio::select! {
            biased;
            connection = handler(request, responder) => connection,
            () = reader.closed() => return,
        };
        match connection {
            ConnectionState::Reusable(half) => write_half = half,
            ConnectionState::Closed => return,
        }
    }
}
