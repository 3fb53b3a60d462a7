//! Tests of the fault-injecting proxy.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod support;

use carobwheel_standin::proxy::{self, Direction, Impairment, Proxy, ProxyOptions};
use std::{
    io::ErrorKind,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};
use support::{eventually, CONDITION_TIMEOUT};
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    time::timeout,
};

/// Timeout after which a connection or flow counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);

async fn tcp_echo() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reading, mut writing) = stream.split();
                let _ = tokio::io::copy(&mut reading, &mut writing).await;
            });
        }
    });
    addr
}

async fn udp_echo() -> SocketAddr {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let addr = socket.local_addr().unwrap();
    tokio::spawn(async move {
        let mut buffer = [0; 2_048];
        while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
            let _ = socket.send_to(&buffer[..length], from).await;
        }
    });
    addr
}

async fn tcp_proxy() -> Proxy {
    proxy::start_tcp(ProxyOptions::new(tcp_echo().await)).unwrap()
}

async fn udp_proxy(seed: u64) -> Proxy {
    let options = ProxyOptions {
        seed,
        ..ProxyOptions::new(udp_echo().await)
    };
    proxy::start_udp(options).unwrap()
}

async fn echo(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(b"dye").await?;
    let mut buffer = [0; 3];
    stream.read_exact(&mut buffer).await?;
    assert_eq!(&buffer, b"dye");
    Ok(())
}

#[tokio::test]
async fn tcp_bytes_and_end_of_stream_are_forwarded() {
    let proxy = tcp_proxy().await;
    let mut stream = TcpStream::connect(proxy.addr()).await.unwrap();
    echo(&mut stream).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut rest = Vec::new();
    assert_eq!(stream.read_to_end(&mut rest).await.unwrap(), 0);
    eventually("the connection closes", || proxy.counts().open == 0).await;
}

#[tokio::test]
async fn tcp_delay_adds_up_over_both_directions() {
    let proxy = tcp_proxy().await;
    proxy.set_both(Impairment::delayed(40));
    let mut stream = TcpStream::connect(proxy.addr()).await.unwrap();
    let start = Instant::now();
    echo(&mut stream).await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(80));
}

#[test_case(Direction::ToUpstream)]
#[test_case(Direction::ToCaller)]
#[tokio::test]
async fn tcp_partition_holds_bytes_back_until_healed(direction: Direction) {
    let proxy = tcp_proxy().await;
    proxy.set(direction, Impairment::partitioned());
    let mut stream = TcpStream::connect(proxy.addr()).await.unwrap();
    stream.write_all(b"x").await.unwrap();
    let mut buffer = [0; 1];
    assert!(timeout(SILENCE_TIMEOUT, stream.read_exact(&mut buffer))
        .await
        .is_err());
    proxy.heal();
    timeout(CONDITION_TIMEOUT, stream.read_exact(&mut buffer))
        .await
        .unwrap()
        .unwrap();
}

#[tokio::test]
async fn frozen_connection_stays_silent_while_a_new_one_works() {
    let proxy = tcp_proxy().await;
    let mut old = TcpStream::connect(proxy.addr()).await.unwrap();
    echo(&mut old).await.unwrap();
    proxy.freeze_existing();
    assert!(timeout(SILENCE_TIMEOUT, echo(&mut old)).await.is_err());
    let mut new = TcpStream::connect(proxy.addr()).await.unwrap();
    echo(&mut new).await.unwrap();
    proxy.heal();
    assert!(timeout(SILENCE_TIMEOUT, echo(&mut old)).await.is_err());
}

#[tokio::test]
async fn connections_are_closed_and_new_ones_are_refused() {
    let proxy = tcp_proxy().await;
    let mut stream = TcpStream::connect(proxy.addr()).await.unwrap();
    echo(&mut stream).await.unwrap();
    proxy.set_refusing(true);
    proxy.close_connections();
    timeout(CONDITION_TIMEOUT, async {
        while echo(&mut stream).await.is_ok() {}
    })
    .await
    .unwrap();
    let refused = async {
        loop {
            match TcpStream::connect(proxy.addr()).await {
                Err(err) if err.kind() == ErrorKind::ConnectionRefused => return,
                _ => {}
            }
        }
    };
    timeout(CONDITION_TIMEOUT, refused).await.unwrap();
    proxy.set_refusing(false);
    let accepted = async { while TcpStream::connect(proxy.addr()).await.is_err() {} };
    timeout(CONDITION_TIMEOUT, accepted).await.unwrap();
}

#[tokio::test]
async fn partition_of_one_source_does_not_affect_others() {
    let proxy = tcp_proxy().await;
    let south = Ipv4Addr::new(127, 0, 2, 1);
    proxy.set_both_for(south.into(), Impairment::partitioned());
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind((south, 0).into()).unwrap();
    let mut from_south = socket.connect(proxy.addr()).await.unwrap();
    let mut from_north = TcpStream::connect(proxy.addr()).await.unwrap();
    echo(&mut from_north).await.unwrap();
    assert!(timeout(SILENCE_TIMEOUT, echo(&mut from_south))
        .await
        .is_err());
}

/// Sends `count` numbered datagrams and returns the numbers of the echoed ones. Waits for at least
/// `expected` datagrams and then until none arrives for [`SILENCE_TIMEOUT`].
async fn echo_datagrams(proxy: &Proxy, count: u8, expected: usize) -> Vec<u8> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    socket.connect(proxy.addr()).await.unwrap();
    for number in 0..count {
        socket.send(&[number]).await.unwrap();
    }
    let mut echoed = Vec::new();
    let mut buffer = [0; 16];
    while echoed.len() < expected {
        timeout(CONDITION_TIMEOUT, socket.recv(&mut buffer))
            .await
            .unwrap()
            .unwrap();
        echoed.push(buffer[0]);
    }
    while timeout(SILENCE_TIMEOUT, socket.recv(&mut buffer))
        .await
        .is_ok()
    {
        echoed.push(buffer[0]);
    }
    echoed
}

#[tokio::test]
async fn datagrams_pass_in_order_by_default() {
    let proxy = udp_proxy(1).await;
    assert_eq!(
        echo_datagrams(&proxy, 100, 100).await,
        (0..100).collect::<Vec<_>>()
    );
}

#[tokio::test]
async fn datagrams_are_dropped_duplicated_and_reordered() {
    let proxy = udp_proxy(3).await;
    proxy.set(Direction::ToUpstream, Impairment::lossy(300_000));
    let echoed = echo_datagrams(&proxy, 200, 100).await.len();
    assert!(echoed < 180, "{echoed} of 200 datagrams were echoed");
    proxy.set(
        Direction::ToUpstream,
        Impairment {
            duplicate_ppm: 1_000_000,
            ..Impairment::default()
        },
    );
    assert_eq!(echo_datagrams(&proxy, 50, 100).await.len(), 100);
    proxy.set(
        Direction::ToUpstream,
        Impairment {
            jitter_ms: 40,
            ..Impairment::default()
        },
    );
    assert!(!echo_datagrams(&proxy, 50, 50).await.is_sorted());
    proxy.set(Direction::ToCaller, Impairment::partitioned());
    assert!(echo_datagrams(&proxy, 10, 0).await.is_empty());
}

#[tokio::test]
async fn frozen_flow_stays_silent_while_a_new_port_works() {
    let proxy = udp_proxy(1).await;
    let old = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    old.connect(proxy.addr()).await.unwrap();
    let mut buffer = [0; 16];
    old.send(b"a").await.unwrap();
    timeout(CONDITION_TIMEOUT, old.recv(&mut buffer))
        .await
        .unwrap()
        .unwrap();
    proxy.freeze_existing();
    old.send(b"a").await.unwrap();
    assert!(timeout(SILENCE_TIMEOUT, old.recv(&mut buffer))
        .await
        .is_err());
    assert_eq!(echo_datagrams(&proxy, 3, 3).await, [0, 1, 2]);
}
