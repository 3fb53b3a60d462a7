//! A small HTTP/1.1 server whose connections can be made to fail at any byte.
//!
//! Server libraries end a body cleanly even when its source has failed, so they cannot stand in for
//! an upstream that dies in the middle of an answer.

mod request;
mod responder;

pub use request::RecordedRequest;
pub(crate) use request::{Reader, Request};
pub(crate) use responder::{BodyWriter, Ending, Responder};

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

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Answers one request. Dropping the future means that the caller has left.
pub(crate) type Handler =
    Arc<dyn Fn(Request, Responder) -> BoxFuture<'static, Ending> + Send + Sync>;

/// Switches of a running server.
struct Control {
    stop: CancellationToken,
    is_refusing: watch::Sender<bool>,
    connections: Mutex<CancellationToken>,
}

impl Control {
    /// The token that open connections run under.
    fn connections(&self) -> CancellationToken {
        self.lock_connections().clone()
    }

    fn lock_connections(&self) -> MutexGuard<'_, CancellationToken> {
        crate::lock(&self.connections)
    }
}

/// A running server; dropping it stops it.
pub(crate) struct Server {
    pub(crate) addr: SocketAddr,
    control: Arc<Control>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Starts a server on a thread of its own with `workers` threads for its requests.
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
        let control = Arc::new(Control {
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

    /// Closes the listening socket, or opens it again. Open connections stay.
    pub(crate) fn set_refusing(&self, is_refusing: bool) {
        self.control.is_refusing.send_replace(is_refusing);
    }

    /// Cuts all open connections.
    pub(crate) fn close_connections(&self) {
        let old = std::mem::take(&mut *self.control.lock_connections());
        old.cancel();
    }

    /// Stops the server and waits for its thread.
    pub(crate) fn stop(&mut self) {
        self.control.stop.cancel();
        if let Some(thread) = self.thread.take() {
            assert!(thread.join().is_ok(), "a stand-in's thread panicked");
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
    socket.listen(BACKLOG)
}

async fn accept_all(
    listener: TcpListener,
    addr: SocketAddr,
    control: Arc<Control>,
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
                if let Ok(stream) = accepted {
                    tokio::spawn(serve(stream, control.connections(), handler.clone()));
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

async fn serve(stream: TcpStream, cut: CancellationToken, handler: Handler) {
    tokio::select! {
        () = cut.cancelled() => {}
        () = serve_requests(stream, &handler) => {}
    }
}

async fn serve_requests(stream: TcpStream, handler: &Handler) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (reading, mut writing) = stream.into_split();
    let mut reader = Reader::new(reading);
    while let Ok(Some(request)) = reader.next_request(&mut writing).await {
        let responder = Responder::new(writing, request.keeps_alive());
        let ending = tokio::select! {
            biased;
            ending = handler(request, responder) => ending,
            () = reader.closed() => return,
        };
        match ending {
            Ending::Reusable(half) => writing = half,
            Ending::Closed => return,
        }
    }
}
