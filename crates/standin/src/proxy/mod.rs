//! Fault-injecting proxy for TCP and UDP.
//!
//! Each proxy forwards to one upstream address. Its settings can be changed at run time, for all
//! traffic or only for callers with one source IP address. Instances of different regions that bind
//! different loopback addresses, such as 127.0.1.1 and 127.0.2.1, can thus have links with different
//! impairments.

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

/// Options of a proxy.
#[derive(Clone, Copy, Debug)]
pub struct ProxyOptions {
    /// Address to listen on; port 0 selects a free port.
    pub addr: SocketAddr,
    /// Address that traffic is forwarded to.
    pub upstream: SocketAddr,
    /// Seed of the random number generator for faults.
    pub seed: u64,
}

impl ProxyOptions {
    /// Returns the options of a proxy for `upstream` on a free loopback port.
    pub fn new(upstream: SocketAddr) -> Self {
        Self {
            addr: (Ipv4Addr::LOCALHOST, 0).into(),
            upstream,
            seed: 1,
        }
    }
}

/// Counters of a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyCounts {
    /// Connections or flows opened so far.
    pub opened: u64,
    /// Connections or flows open now.
    pub open: u64,
    /// Bytes forwarded to the upstream.
    pub upstream_bytes: u64,
    /// Bytes forwarded to callers.
    pub caller_bytes: u64,
    /// Datagrams dropped by fault injection.
    pub lost_datagrams: u64,
}

/// Handle of a running proxy. Dropping it stops the proxy.
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

    /// Sets the impairment of both directions for all sources without settings of their own.
    pub fn set_both(&self, impairment: Impairment) {
        self.set(Direction::ToUpstream, impairment);
        self.set(Direction::ToCaller, impairment);
    }

    /// Sets the impairment of one direction for all sources without settings of their own.
    pub fn set(&self, direction: Direction, impairment: Impairment) {
        self.control.set(None, direction, impairment);
    }

    /// Sets the impairment of one direction for callers with the address `source`.
    pub fn set_for(&self, source: IpAddr, direction: Direction, impairment: Impairment) {
        self.control.set(Some(source), direction, impairment);
    }

    /// Sets the impairment of both directions for callers with the address `source`.
    pub fn set_both_for(&self, source: IpAddr, impairment: Impairment) {
        self.set_for(source, Direction::ToUpstream, impairment);
        self.set_for(source, Direction::ToCaller, impairment);
    }

    /// Resets all settings. Frozen connections stay frozen.
    pub fn heal(&self) {
        self.control.heal();
    }

    /// Stops forwarding permanently on all existing connections or flows, while new ones work. The
    /// sockets of both ends stay open, so that neither end is notified.
    pub fn freeze_existing(&self) {
        self.control.freeze_existing();
    }

    /// Closes all existing connections, or discards all existing flows.
    pub fn close_connections(&self) {
        self.control.close_connections();
    }

    /// Refuses new connections or flows, or accepts them again. A TCP proxy closes its listening
    /// socket; a UDP proxy drops the datagrams of new flows.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.control.set_refusing(is_refusing);
    }

    /// Forwards new connections or flows to another address.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        self.control.set_upstream(upstream);
    }

    /// Returns the current counters.
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
