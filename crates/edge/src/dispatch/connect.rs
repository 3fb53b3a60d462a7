//! New connections.

use super::Connection;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::{io, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time::timeout};

/// Time that a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without an acknowledgement after which a connection counts as dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Silence after which the other end is asked whether it is there.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Questions without an answer after which a connection counts as dead.
const KEEPALIVE_PROBES: u32 = 2;
/// Longest read at once from an upstream, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Makes the connection fail soon after its path has gone silent.
pub fn set_liveness(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    stream.set_nodelay(true)
}

/// Opens a connection and starts the task that drives it.
pub(super) async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_liveness(&stream)?;
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(READ_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    // Errors of the driver also reach the request that they concern.
    tokio::task::spawn_local(async move { drop(driver.await) });
    Ok(sender)
}
