//! State shared by the tasks of the link thread, all of which run on that thread.

use super::counters::{count, Counters};
use super::document::ServedDocument;
use super::handle::{Inbound, Sinks};
use super::link::{LargeMessageGuard, Link};
use super::links::Links;
use super::tls::TlsConfigs;
use super::PeerSettings;
use arc_swap::ArcSwapOption;
use carobwheel_core::id::InstanceId;
use carobwheel_wire::peer::{decode, encode, Decoded, Message, MAX_DATAGRAM_BYTES};
use std::{
    cell::{Cell, RefCell},
    io,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio_util::sync::CancellationToken;

/// Maximum number of large messages being sent on one link.
const MAX_LARGE_MESSAGES: u32 = 8;
/// Timeout for sending a large message.
const LARGE_MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum age of the dialling port before it may be replaced again.
const MIN_PORT_LIFETIME: Duration = Duration::from_millis(250);

/// The endpoint used for dialling, and the generation of its local port.
pub(super) struct Dialler {
    pub(super) endpoint: quinn::Endpoint,
    pub(super) generation: u64,
    pub(super) opened_at: Instant,
}

/// State shared by the tasks of the link thread.
pub(super) struct Shared {
    pub(super) settings: PeerSettings,
    pub(super) tls: RefCell<TlsConfigs>,
    pub(super) server: quinn::Endpoint,
    pub(super) dialler: RefCell<Dialler>,
    pub(super) links: RefCell<Links>,
    pub(super) sinks: RefCell<Sinks>,
    pub(super) document: Arc<ArcSwapOption<ServedDocument>>,
    pub(super) counters: Arc<Counters>,
    pub(super) cancel: CancellationToken,
    /// UDP traffic of closed links.
    pub(super) closed_link_traffic: Cell<UdpTraffic>,
}

/// UDP traffic totals in both directions.
#[derive(Clone, Copy, Default)]
pub(super) struct UdpTraffic {
    pub(super) sent_bytes: u64,
    pub(super) received_bytes: u64,
    pub(super) sent_datagrams: u64,
    pub(super) received_datagrams: u64,
}

impl UdpTraffic {
    pub(super) fn of(connection: &quinn::Connection) -> Self {
        let stats = connection.stats();
        Self {
            sent_bytes: stats.udp_tx.bytes,
            received_bytes: stats.udp_rx.bytes,
            sent_datagrams: stats.udp_tx.datagrams,
            received_datagrams: stats.udp_rx.datagrams,
        }
    }

    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            sent_bytes: self.sent_bytes + other.sent_bytes,
            received_bytes: self.received_bytes + other.received_bytes,
            sent_datagrams: self.sent_datagrams + other.sent_datagrams,
            received_datagrams: self.received_datagrams + other.received_datagrams,
        }
    }
}

/// Opens an endpoint on a new local port for dialling.
pub(super) fn open_dialler(ip: IpAddr, generation: u64) -> io::Result<Dialler> {
    Ok(Dialler {
        endpoint: quinn::Endpoint::client(SocketAddr::new(ip, 0))?,
        generation,
        opened_at: Instant::now(),
    })
}

impl Shared {
    /// Returns the endpoint to dial from and its generation. If the generation is below
    /// `min_generation`, the port is replaced first, unless it is too young. A replaced port stays
    /// open while it has links.
    pub(super) fn dialler(&self, min_generation: u64) -> (quinn::Endpoint, u64) {
        let mut dialler = self.dialler.borrow_mut();
        let is_recent = dialler.opened_at.elapsed() < MIN_PORT_LIFETIME;
        if dialler.generation < min_generation && !is_recent {
            let generation = dialler.generation + 1;
            match open_dialler(self.settings.listen.ip(), generation) {
                Ok(opened) => *dialler = opened,
                Err(err) => log::warn!(err:%; "peer_port_failed"),
            }
        }
        (dialler.endpoint.clone(), dialler.generation)
    }

    /// Sends a message over a link: as a datagram if it fits, otherwise over a stream.
    pub(super) fn send_over(&self, link: &Rc<Link>, message: &Message) {
        let Some(bytes) = encode(message, link.version) else {
            count(&self.counters.unsent_messages);
            return;
        };
        let datagram_bytes = link.connection.max_datagram_size().unwrap_or(0);
        if bytes.len() <= datagram_bytes.min(MAX_DATAGRAM_BYTES) {
            if link.connection.send_datagram(bytes.into()).is_err() {
                count(&self.counters.unsent_messages);
                return;
            }
        } else if link.large_messages() < MAX_LARGE_MESSAGES {
            tokio::task::spawn_local(send_stream(
                LargeMessageGuard::new(link),
                Rc::clone(link),
                bytes,
            ));
        } else {
            count(&self.counters.unsent_messages);
            return;
        }
        count(&self.counters.sent_messages);
        link.record_sent(message.expects_reply());
    }

    /// Decodes and handles the bytes of one message.
    pub(super) fn receive(&self, link: &Rc<Link>, bytes: &[u8]) {
        let message = match decode(bytes) {
            Ok(Decoded::Message(message)) => message,
            Ok(Decoded::Unknown { .. }) => {
                link.record_received();
                count(&self.counters.unknown_messages);
                return;
            }
            Err(_) => {
                count(&self.counters.invalid_messages);
                return;
            }
        };
        link.record_received();
        count(&self.counters.received_messages);
        match message {
            Message::Echo(number) => self.send_over(link, &Message::EchoReply(number)),
            Message::EchoReply(_) => {}
            message => self.deliver(Inbound::Message {
                from: link.peer.clone(),
                message,
            }),
        }
    }

    /// Passes an event to the inbound sink.
    pub(super) fn deliver(&self, inbound: Inbound) {
        let is_accepted = (self.sinks.borrow_mut().inbound)(inbound);
        if !is_accepted {
            count(&self.counters.dropped_inbound);
        }
    }

    /// Removes a link from the table and adds its traffic to that of closed links.
    pub(super) fn remove_link(&self, link: &Link) {
        if self.links.borrow_mut().remove(link) {
            let traffic = UdpTraffic::of(&link.connection);
            self.closed_link_traffic
                .set(self.closed_link_traffic.get().plus(traffic));
        }
    }

    /// Whether `peer` is this instance.
    pub(super) fn is_self(&self, peer: &InstanceId) -> bool {
        *peer == self.settings.instance
    }
}

async fn send_stream(_guard: LargeMessageGuard, link: Rc<Link>, bytes: Vec<u8>) {
    let send = async {
        let mut stream = link.connection.open_uni().await.ok()?;
        stream.write_all(&bytes).await.ok()?;
        stream.finish().ok()?;
        stream.stopped().await.ok()
    };
    // A message that is not acknowledged in time is dropped, like a lost datagram.
    let _ = tokio::time::timeout(LARGE_MESSAGE_TIMEOUT, send).await;
}
