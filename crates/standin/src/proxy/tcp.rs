//! Passing TCP connections on.

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

/// Largest piece passed on at once, in bytes.
const PIECE_BYTES: usize = 16_384;
/// Pieces of one direction that may be under way.
const MAX_PIECES: usize = 1_024;

/// Bytes under way, or the end of the stream when empty.
struct Piece {
    arrives: Instant,
    bytes: Vec<u8>,
}

/// Accepts connections until the proxy stops.
pub(super) async fn run(listener: std::net::TcpListener, addr: SocketAddr, control: Arc<Control>) {
    let mut switched = control.subscribe();
    let mut listener = TcpListener::from_std(listener).ok();
    loop {
        if control.is_refusing() {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(addr).await.ok();
        }
        tokio::select! {
            () = control.stop.cancelled() => return,
            () = switched.changed() => {}
            accepted = accept(listener.as_ref()) => {
                if let Ok((stream, source)) = accepted {
                    tokio::spawn(pass(stream, source.ip(), control.clone()));
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

async fn pass(caller: TcpStream, source: IpAddr, control: Arc<Control>) {
    control.count_opened();
    let cut = control.cut_token();
    tokio::select! {
        () = cut.cancelled() => {}
        _ = pass_both(caller, source, &control) => {}
    }
    control.count_closed();
}

async fn pass_both(caller: TcpStream, source: IpAddr, control: &Arc<Control>) -> io::Result<()> {
    let frozen = control.frozen_token();
    let passing = async {
        let upstream = TcpStream::connect(control.upstream()).await?;
        caller.set_nodelay(true)?;
        upstream.set_nodelay(true)?;
        let (caller_read, caller_write) = caller.into_split();
        let (upstream_read, upstream_write) = upstream.into_split();
        let there = lane(
            caller_read,
            upstream_write,
            source,
            Direction::ToUpstream,
            control,
        );
        let back = lane(
            upstream_read,
            caller_write,
            source,
            Direction::ToCaller,
            control,
        );
        tokio::try_join!(there, back).map(|_| ())
    };
    tokio::pin!(passing);
    tokio::select! {
        result = &mut passing => result,
        // The sockets stay open inside `passing`, which is never polled again.
        () = frozen.cancelled() => futures::future::pending().await,
    }
}

async fn lane(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    source: IpAddr,
    direction: Direction,
    control: &Control,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_PIECES);
    let reading = read(from, sender, source, direction, control);
    let writing = write(to, receiver, source, direction, control);
    tokio::try_join!(reading, writing).map(|_| ())
}

async fn read(
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<Piece>,
    source: IpAddr,
    direction: Direction,
    control: &Control,
) -> io::Result<()> {
    let mut buffer = vec![0; PIECE_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        let delay_ms = control.way(source, direction).delay_ms;
        let piece = Piece {
            arrives: Instant::now() + Duration::from_millis(delay_ms),
            bytes: buffer[..length].to_vec(),
        };
        if sender.send(piece).await.is_err() || length == 0 {
            return Ok(());
        }
    }
}

async fn write(
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Piece>,
    source: IpAddr,
    direction: Direction,
    control: &Control,
) -> io::Result<()> {
    let mut switched = control.subscribe();
    while let Some(piece) = receiver.recv().await {
        sleep_until(piece.arrives).await;
        while control.way(source, direction).is_partitioned {
            switched.changed().await;
        }
        if piece.bytes.is_empty() {
            return to.shutdown().await;
        }
        to.write_all(&piece.bytes).await?;
        control.count_bytes(direction, piece.bytes.len());
        let bytes_per_s = control.way(source, direction).bytes_per_s;
        let length = piece.bytes.len() as u64;
        if let Some(pause_us) = (length * 1_000_000).checked_div(bytes_per_s) {
            sleep(Duration::from_micros(pause_us)).await;
        }
    }
    Ok(())
}
