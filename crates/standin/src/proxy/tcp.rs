//! Forwarding of TCP connections.

use super::{control::Control, Direction};
use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        tcp::{OwnedReadHalf, OwnedWriteHalf},
        TcpListener, TcpStream,
    },
    sync::mpsc,
    time::{sleep, sleep_until, Instant},
};

/// Maximum size of a chunk, in bytes.
const MAX_CHUNK_BYTES: usize = 16_384;
/// Maximum number of chunks in transit in one direction.
const MAX_QUEUED_CHUNKS: usize = 1_024;

/// Bytes in transit; empty for the end of the stream.
struct Chunk {
    arrives_at: Instant,
    bytes: Vec<u8>,
}

/// Accepts connections until the proxy stops.
pub(super) async fn run(listener: std::net::TcpListener, addr: SocketAddr, control: Arc<Control>) {
    let mut settings = control.subscribe();
    let mut listener = TcpListener::from_std(listener).ok();
    loop {
        if control.is_refusing() {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(addr).await.ok();
        }
        tokio::select! {
            () = control.stop.cancelled() => return,
            () = settings.changed() => {}
            accepted = accept(listener.as_ref()) => {
                if let Ok((stream, source)) = accepted {
                    tokio::spawn(forward(stream, source.ip(), control.clone()));
                }
            }
        }
    }
}

async fn accept(listener: Option<&TcpListener>) -> io::Result<(TcpStream, SocketAddr)> {
    match listener {
        Some(listener) => listener.accept().await,
        None => futures::future::pending().await,
    }
}

/// Forwards one connection until it ends or is closed.
async fn forward(caller: TcpStream, source: IpAddr, control: Arc<Control>) {
    control.count_opened();
    let closed = control.close_token();
    tokio::select! {
        () = closed.cancelled() => {}
        _ = forward_both(caller, source, &control) => {}
    }
    control.count_closed();
}

/// Forwards both directions of a connection until it ends, or freezes it.
async fn forward_both(caller: TcpStream, source: IpAddr, control: &Arc<Control>) -> io::Result<()> {
    let frozen = control.freeze_token();
    let forwarding = async {
        let upstream = TcpStream::connect(control.upstream()).await?;
        caller.set_nodelay(true)?;
        upstream.set_nodelay(true)?;
        let (caller_read, caller_write) = caller.into_split();
        let (upstream_read, upstream_write) = upstream.into_split();
        let to_upstream = forward_direction(
            caller_read,
            upstream_write,
            source,
            Direction::ToUpstream,
            control,
        );
        let to_caller = forward_direction(
            upstream_read,
            caller_write,
            source,
            Direction::ToCaller,
            control,
        );
        tokio::try_join!(to_upstream, to_caller).map(|_| ())
    };
    tokio::pin!(forwarding);
    tokio::select! {
        result = &mut forwarding => result,
        // The sockets stay open inside `forwarding`, which is not polled again.
        () = frozen.cancelled() => futures::future::pending().await,
    }
}

async fn forward_direction(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    source: IpAddr,
    direction: Direction,
    control: &Control,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let reading = read(from, sender, source, direction, control);
    let writing = write(to, receiver, source, direction, control);
    tokio::try_join!(reading, writing).map(|_| ())
}

async fn read(
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<Chunk>,
    source: IpAddr,
    direction: Direction,
    control: &Control,
) -> io::Result<()> {
    let mut buffer = vec![0; MAX_CHUNK_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        let delay_ms = control.impairment(source, direction).delay_ms;
        let chunk = Chunk {
            arrives_at: Instant::now() + Duration::from_millis(delay_ms),
            bytes: buffer[..length].to_vec(),
        };
        if sender.send(chunk).await.is_err() || length == 0 {
            return Ok(());
        }
    }
}

async fn write(
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Chunk>,
    source: IpAddr,
    direction: Direction,
    control: &Control,
) -> io::Result<()> {
    let mut settings = control.subscribe();
    while let Some(chunk) = receiver.recv().await {
        sleep_until(chunk.arrives_at).await;
        while control.impairment(source, direction).is_partitioned {
            settings.changed().await;
        }
        if chunk.bytes.is_empty() {
            return to.shutdown().await;
        }
        to.write_all(&chunk.bytes).await?;
        control.count_bytes(direction, chunk.bytes.len());
        let bytes_per_s = control.impairment(source, direction).bytes_per_s;
        let length = chunk.bytes.len() as u64;
        if let Some(pause_us) = (length * 1_000_000).checked_div(bytes_per_s) {
            sleep(Duration::from_micros(pause_us)).await;
        }
    }
    Ok(())
}
