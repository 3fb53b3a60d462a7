//! Forwarding of UDP datagrams.

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

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Maximum number of datagrams in the channel to the delivery task.
const MAX_QUEUED_DATAGRAMS: usize = 4_096;

/// Datagram in transit.
struct Delivery {
    arrives_at: Instant,
    sequence: u64,
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    bytes: Arc<[u8]>,
    direction: Direction,
}

impl Delivery {
    fn order(&self) -> (Instant, u64) {
        (self.arrives_at, self.sequence)
    }
}

impl PartialEq for Delivery {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
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
        self.order().cmp(&other.order())
    }
}

/// Forwarding state of one caller.
struct Flow {
    socket: Arc<UdpSocket>,
    upstream: SocketAddr,
    frozen: CancellationToken,
    closed: CancellationToken,
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.closed.cancel();
    }
}

/// Schedules datagrams for delivery.
#[derive(Clone)]
struct DeliveryScheduler {
    control: Arc<Control>,
    deliveries: mpsc::Sender<Delivery>,
}

impl DeliveryScheduler {
    /// Schedules the copies of a datagram between `caller` and the upstream.
    async fn schedule(
        &self,
        direction: Direction,
        caller: SocketAddr,
        socket: &Arc<UdpSocket>,
        to: SocketAddr,
        bytes: &[u8],
    ) {
        let bytes: Arc<[u8]> = bytes.into();
        for arrives_at in self
            .control
            .schedule_datagram(caller.ip(), direction)
            .arrivals
        {
            let delivery = Delivery {
                arrives_at,
                sequence: 0,
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

/// Forwards datagrams until the proxy stops.
pub(super) async fn run(socket: std::net::UdpSocket, control: Arc<Control>) {
    let Ok(socket) = UdpSocket::from_std(socket) else {
        return;
    };
    let (deliveries, scheduled) = mpsc::channel(MAX_QUEUED_DATAGRAMS);
    let scheduler = DeliveryScheduler {
        control: control.clone(),
        deliveries,
    };
    tokio::select! {
        () = control.stop.cancelled() => {}
        () = deliver(scheduled, &control) => {}
        () = receive_from_callers(Arc::new(socket), &scheduler) => {}
    }
}

async fn receive_from_callers(listener: Arc<UdpSocket>, scheduler: &DeliveryScheduler) {
    let mut flows: HashMap<SocketAddr, Flow> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, caller)) = listener.recv_from(&mut buffer).await else {
            continue;
        };
        let open = flows
            .get(&caller)
            .filter(|flow| !flow.closed.is_cancelled());
        if open.is_none() {
            flows.remove(&caller);
            if let Some(flow) = open_flow(listener.clone(), caller, scheduler).await {
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
        scheduler
            .schedule(
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
async fn open_flow(
    listener: Arc<UdpSocket>,
    caller: SocketAddr,
    scheduler: &DeliveryScheduler,
) -> Option<Flow> {
    if scheduler.control.is_refusing() {
        return None;
    }
    let upstream = scheduler.control.upstream();
    let any_addr: SocketAddr = match upstream {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let flow = Flow {
        socket: Arc::new(UdpSocket::bind(any_addr).await.ok()?),
        upstream,
        frozen: scheduler.control.freeze_token(),
        closed: scheduler.control.close_token().child_token(),
    };
    scheduler.control.count_opened();
    let receiving = receive_from_upstream(
        listener,
        caller,
        flow.socket.clone(),
        flow.frozen.clone(),
        scheduler.clone(),
    );
    let closed = flow.closed.clone();
    let control = scheduler.control.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = closed.cancelled() => {}
            () = receiving => {}
        }
        control.count_closed();
    });
    Some(flow)
}

async fn receive_from_upstream(
    listener: Arc<UdpSocket>,
    caller: SocketAddr,
    socket: Arc<UdpSocket>,
    frozen: CancellationToken,
    scheduler: DeliveryScheduler,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if !frozen.is_cancelled() {
            let datagram = &buffer[..length];
            scheduler
                .schedule(Direction::ToCaller, caller, &listener, caller, datagram)
                .await;
        }
    }
}

/// Sends datagrams when they are due, in the order of scheduling where times are equal.
async fn deliver(mut scheduled: mpsc::Receiver<Delivery>, control: &Control) {
    let mut pending: BinaryHeap<Reverse<Delivery>> = BinaryHeap::new();
    let mut next_sequence = 0;
    loop {
        let due = pending.peek().map(|Reverse(first)| first.arrives_at);
        tokio::select! {
            received = scheduled.recv() => match received {
                Some(mut delivery) => {
                    delivery.sequence = next_sequence;
                    next_sequence += 1;
                    pending.push(Reverse(delivery));
                }
                None => return,
            },
            () = sleep_until_due(due) => {
                if let Some(Reverse(first)) = pending.pop() {
                    send(&first, control).await;
                }
            }
        }
    }
}

async fn sleep_until_due(due: Option<Instant>) {
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
