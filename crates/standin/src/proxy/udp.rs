//! Passing datagrams on.

use super::{control::Control, Direction};
use std::{
    cmp::{Ordering, Reverse},
    collections::{BinaryHeap, HashMap},
    net::{Ipv4Addr, Ipv6Addr, SocketAddr},
    sync::Arc,
};
use tokio::{
    net::UdpSocket,
    sync::mpsc,
    time::{sleep_until, Instant},
};
use tokio_util::sync::CancellationToken;

/// Longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Datagrams that may wait to be scheduled.
const MAX_WAITING: usize = 4_096;

/// A datagram under way.
struct Delivery {
    arrives: Instant,
    number: u64,
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    bytes: Arc<[u8]>,
    direction: Direction,
}

impl Delivery {
    fn place(&self) -> (Instant, u64) {
        (self.arrives, self.number)
    }
}

impl PartialEq for Delivery {
    fn eq(&self, other: &Self) -> bool {
        self.place() == other.place()
    }
}

impl Eq for Delivery {}

impl PartialOrd for Delivery {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Delivery {
    fn cmp(&self, other: &Self) -> Ordering {
        self.place().cmp(&other.place())
    }
}

/// One caller's path to the upstream.
struct Flow {
    socket: Arc<UdpSocket>,
    upstream: SocketAddr,
    frozen: CancellationToken,
    cut: CancellationToken,
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.cut.cancel();
    }
}

/// Where datagrams are handed over for delivery.
#[derive(Clone)]
struct Post {
    control: Arc<Control>,
    deliveries: mpsc::Sender<Delivery>,
}

impl Post {
    /// Schedules the copies of a datagram between the caller at `caller` and the upstream.
    async fn hand_over(
        &self,
        direction: Direction,
        caller: SocketAddr,
        socket: &Arc<UdpSocket>,
        to: SocketAddr,
        bytes: &[u8],
    ) {
        let bytes: Arc<[u8]> = bytes.into();
        for arrives in self.control.fate(caller.ip(), direction).arrivals {
            let delivery = Delivery {
                arrives,
                number: 0,
                socket: socket.clone(),
                to,
                bytes: bytes.clone(),
                direction,
            };
            if self.deliveries.send(delivery).await.is_err() {
                return;
            }
        }
    }
}

/// Passes datagrams on until the proxy stops.
pub(super) async fn run(socket: std::net::UdpSocket, control: Arc<Control>) {
    let Ok(socket) = UdpSocket::from_std(socket) else {
        return;
    };
    let (deliveries, waiting) = mpsc::channel(MAX_WAITING);
    let post = Post {
        control: control.clone(),
        deliveries,
    };
    tokio::select! {
        () = control.stop.cancelled() => {}
        () = deliver(waiting, &control) => {}
        () = take_from_callers(Arc::new(socket), &post) => {}
    }
}

async fn take_from_callers(front: Arc<UdpSocket>, post: &Post) {
    let mut flows: HashMap<SocketAddr, Flow> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, caller)) = front.recv_from(&mut buffer).await else {
            continue;
        };
        let known = flows.get(&caller).filter(|flow| !flow.cut.is_cancelled());
        if known.is_none() {
            flows.remove(&caller);
            if let Some(flow) = open_flow(front.clone(), caller, post).await {
                flows.insert(caller, flow);
            }
        }
        let Some(flow) = flows.get(&caller) else {
            continue;
        };
        if flow.frozen.is_cancelled() {
            continue;
        }
        let datagram = &buffer[..length];
        post.hand_over(
            Direction::ToUpstream,
            caller,
            &flow.socket,
            flow.upstream,
            datagram,
        )
        .await;
    }
}

/// Opens a flow unless the proxy refuses new ones.
async fn open_flow(front: Arc<UdpSocket>, caller: SocketAddr, post: &Post) -> Option<Flow> {
    if post.control.is_refusing() {
        return None;
    }
    let upstream = post.control.upstream();
    let any: SocketAddr = match upstream {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let flow = Flow {
        socket: Arc::new(UdpSocket::bind(any).await.ok()?),
        upstream,
        frozen: post.control.frozen_token(),
        cut: post.control.cut_token().child_token(),
    };
    post.control.count_opened();
    let taking = take_from_upstream(
        front,
        caller,
        flow.socket.clone(),
        flow.frozen.clone(),
        post.clone(),
    );
    let cut = flow.cut.clone();
    let control = post.control.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = cut.cancelled() => {}
            () = taking => {}
        }
        control.count_closed();
    });
    Some(flow)
}

async fn take_from_upstream(
    front: Arc<UdpSocket>,
    caller: SocketAddr,
    socket: Arc<UdpSocket>,
    frozen: CancellationToken,
    post: Post,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if !frozen.is_cancelled() {
            let datagram = &buffer[..length];
            post.hand_over(Direction::ToCaller, caller, &front, caller, datagram)
                .await;
        }
    }
}

/// Sends datagrams at their time, in the order of arrival where times are equal.
async fn deliver(mut waiting: mpsc::Receiver<Delivery>, control: &Control) {
    let mut queue: BinaryHeap<Reverse<Delivery>> = BinaryHeap::new();
    let mut next_number = 0;
    loop {
        let due = queue.peek().map(|Reverse(first)| first.arrives);
        tokio::select! {
            received = waiting.recv() => match received {
                Some(mut delivery) => {
                    delivery.number = next_number;
                    next_number += 1;
                    queue.push(Reverse(delivery));
                }
                None => return,
            },
            () = until(due) => {
                if let Some(Reverse(first)) = queue.pop() {
                    send(&first, control).await;
                }
            }
        }
    }
}

async fn until(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due).await,
        None => futures::future::pending().await,
    }
}

async fn send(delivery: &Delivery, control: &Control) {
    let sent = delivery.socket.send_to(&delivery.bytes, delivery.to).await;
    if let Ok(bytes) = sent {
        control.count_bytes(delivery.direction, bytes);
    }
}
