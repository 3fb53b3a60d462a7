//! A fault-injecting proxy for TCP and UDP.
//!
//! Each proxy stands before one address. Its switches act at run time, on everything that passes
//! or only on what comes from one IP number: instances of different regions that bind different
//! loopback addresses, such as 127.0.1.1 and 127.0.2.1, can so be given different links.

mod control;
mod tcp;
mod udp;

pub use control::{Direction, Impairment};

use control::Control;
use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    thread,
};
use tokio::runtime;

/// How to start a proxy.
#[derive(Clone, Copy, Debug)]
pub struct ProxyOptions {
    /// Address to listen on; port 0 takes a free one.
    pub addr: SocketAddr,
    /// Address that everything is passed on to.
    pub upstream: SocketAddr,
    /// Seed of the random faults.
    pub seed: u64,
}

impl ProxyOptions {
    /// A proxy on a free loopback port before `upstream`.
    pub fn new(upstream: SocketAddr) -> Self {
        Self {
            addr: (Ipv4Addr::LOCALHOST, 0).into(),
            upstream,
            seed: 1,
        }
    }
}

/// What a proxy has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyCounts {
    /// Connections or flows opened so far.
    pub opened: u64,
    /// Connections or flows open now.
    pub open: u64,
    /// Bytes passed on toward the upstream.
    pub upstream_bytes: u64,
    /// Bytes passed on toward the callers.
    pub caller_bytes: u64,
    /// Datagrams lost on purpose.
    pub lost_datagrams: u64,
}

/// A running proxy; dropping it stops it.
pub struct Proxy {
    addr: SocketAddr,
    control: Arc<Control>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Starts a TCP proxy on a thread of its own.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn start_tcp(options: ProxyOptions) -> io::Result<Proxy> {
    let control = Arc::new(Control::new(options.upstream, options.seed));
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let listener = std::net::TcpListener::bind(options.addr)?;
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    let running = control.clone();
    let thread = thread::Builder::new()
        .name("tcp-proxy".to_owned())
        .spawn(move || {
            runtime.block_on(tcp::run(listener, addr, running));
            runtime.shutdown_background();
        })?;
    Ok(Proxy::new(addr, control, thread))
}

/// Starts a UDP proxy on a thread of its own.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn start_udp(options: ProxyOptions) -> io::Result<Proxy> {
    let control = Arc::new(Control::new(options.upstream, options.seed));
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let socket = std::net::UdpSocket::bind(options.addr)?;
    socket.set_nonblocking(true)?;
    let addr = socket.local_addr()?;
    let running = control.clone();
    let thread = thread::Builder::new()
        .name("udp-proxy".to_owned())
        .spawn(move || {
            runtime.block_on(udp::run(socket, running));
            runtime.shutdown_background();
        })?;
    Ok(Proxy::new(addr, control, thread))
}

impl Proxy {
    fn new(addr: SocketAddr, control: Arc<Control>, thread: thread::JoinHandle<()>) -> Self {
        Self {
            addr,
            control,
            thread: Some(thread),
        }
    }

    /// Address that the proxy listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets both directions for everything that passes, except for sources with settings of their
    /// own.
    pub fn set_both(&self, way: Impairment) {
        self.set(Direction::ToUpstream, way);
        self.set(Direction::ToCaller, way);
    }

    /// Sets one direction for everything that passes, except for sources with settings of their
    /// own.
    pub fn set(&self, direction: Direction, way: Impairment) {
        self.control.set(None, direction, way);
    }

    /// Sets one direction for what callers at the address `source` send and get.
    pub fn set_for(&self, source: IpAddr, direction: Direction, way: Impairment) {
        self.control.set(Some(source), direction, way);
    }

    /// Sets both directions for what callers at the address `source` send and get.
    pub fn set_both_for(&self, source: IpAddr, way: Impairment) {
        self.set_for(source, Direction::ToUpstream, way);
        self.set_for(source, Direction::ToCaller, way);
    }

    /// Takes all settings back. Frozen connections stay frozen.
    pub fn heal(&self) {
        self.control.heal();
    }

    /// Lets the connections or flows that exist now go silent for good, while new ones work. Both
    /// ends keep their sockets and learn nothing.
    pub fn freeze_existing(&self) {
        self.control.freeze_existing();
    }

    /// Cuts the connections or forgets the flows that exist now.
    pub fn close_connections(&self) {
        self.control.close_connections();
    }

    /// Closes the listening socket of a TCP proxy, or opens it again; drops the datagrams of a UDP
    /// proxy's new flows, or accepts them again.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.control.set_refusing(is_refusing);
    }

    /// Passes new connections or flows on to another address.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.control.set_upstream(upstream);
    }

    /// What the proxy has counted so far.
    pub fn counts(&self) -> ProxyCounts {
        self.control.counts()
    }

    /// Stops the proxy and waits for its thread.
    pub fn stop(mut self) {
        self.control.stop.cancel();
        if let Some(thread) = self.thread.take() {
            assert!(thread.join().is_ok(), "the thread of a proxy panicked");
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.control.stop.cancel();
    }
}
