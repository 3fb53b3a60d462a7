//! Establishing of connections to upstreams.

use super::{
    ended::EndedConnections, upstream_stream::UpstreamStream, Connection, SendError, Target,
};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::{io, rc::Rc, sync::Arc, time::Duration};
use tokio::{net::TcpStream, time::timeout};

/// Time for which an accepted connection has to stay open, where no request can test it.
const OPEN_TIME: Duration = Duration::from_millis(100);
/// Time without acknowledgement of sent data after which a connection is closed. On Linux it also ends
/// the keep-alive probes, whatever their number, so it is not shorter than they take: a sound upstream
/// may be silent for more than a second.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Idle time before the first keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Maximum size of the read buffer for an upstream's responses, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Sets the socket options by which a connection fails soon after its network path is lost.
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

/// Opens a connection and spawns the task that drives it, which records its end in `ended`.
pub(super) async fn connect(
    target: &Target,
    ended: &Rc<EndedConnections>,
) -> io::Result<Connection> {
    let stream = open(target).await?;
    set_liveness(&stream)?;
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(READ_BYTES)
        .handshake(TokioIo::new(UpstreamStream::new(stream)))
        .await
        .map_err(io::Error::other)?;
    let (ended, upstream) = (Rc::clone(ended), Arc::clone(&target.id));
    tokio::task::spawn_local(async move {
        // Errors of the driver are also returned by the request that they affect.
        drop(driver.await);
        ended.add(upstream);
    });
    Ok(sender)
}

async fn open(target: &Target) -> io::Result<TcpStream> {
    timeout(target.connect_timeout, TcpStream::connect(target.address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Opens a connection and checks that it stays open.
///
/// # Errors
///
/// Fails if no connection can be opened, or if the other end closes it.
pub(crate) async fn is_accepting(target: &Target) -> Result<(), SendError> {
    let stream = open(target)
        .await
        .map_err(|err| SendError::Unreachable(err.to_string()))?;
    // Nothing was sent, so that only its end can become readable.
    match timeout(OPEN_TIME, stream.readable()).await {
        Err(_) => Ok(()),
        Ok(_) => Err(SendError::Unreachable("the connection was closed".into())),
    }
}
