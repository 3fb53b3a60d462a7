//! Ports of the demo's instances.
//!
//! A port is free when it is chosen. Another process may take it before the instance binds it, so an
//! instance that finds its address in use is started again on other ports.

use std::{io, net::Ipv4Addr};

/// Address of all stand-ins and instances of the demo.
pub(super) const LOOPBACK: Ipv4Addr = Ipv4Addr::LOCALHOST;
/// Maximum number of attempts to start an instance. Each chooses its ports anew, so that several
/// failures in a row have another cause.
pub const MAX_STARTS: usize = 5;

/// Calls `start`, and again after `choose_ports` for as long as an address is in use.
///
/// # Errors
///
/// Returns the error of the last attempt, or any other error at once.
pub fn start_on_free_ports<S, T>(
    settings: &mut S,
    mut start: impl FnMut(&S) -> anyhow::Result<T>,
    mut choose_ports: impl FnMut(&mut S) -> anyhow::Result<()>,
) -> anyhow::Result<T> {
    for _ in 1..MAX_STARTS {
        match start(settings) {
            Err(err) if is_address_in_use(&err) => choose_ports(settings)?,
            started => return started,
        }
    }
    start(settings)
}

fn is_address_in_use(err: &anyhow::Error) -> bool {
    err.chain()
        .filter_map(|cause| cause.downcast_ref::<io::Error>())
        .any(|cause| cause.kind() == io::ErrorKind::AddrInUse)
}

pub(super) fn free_tcp_port() -> anyhow::Result<u16> {
    let listener = std::net::TcpListener::bind((LOOPBACK, 0))?;
    Ok(listener.local_addr()?.port())
}

pub(super) fn free_udp_port() -> anyhow::Result<u16> {
    let socket = std::net::UdpSocket::bind((LOOPBACK, 0))?;
    Ok(socket.local_addr()?.port())
}
