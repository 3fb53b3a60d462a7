//! An open connection to another instance.

use super::LINK_SILENCE;
use crate::{log::Event, node::Node};
use carobwheel_core::time::Millis;
use quinn::Connection;
use std::{rc::Rc, time::Duration};
use tokio::{sync::watch, time::sleep};

/// Interval of looks at the packets that have arrived.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Looks without an exchange after which a connection closes. The other end may just have opened one.
const UNUSED_LOOKS: u32 = 4;

/// Open connection to another instance.
///
/// Without packets for [`LINK_SILENCE`] it takes no further requests, but stays open: answers that are
/// under way on it go on if the other instance is heard again before their deadlines.
pub struct OpenLink {
    pub(super) connection: Connection,
    is_silent: watch::Sender<bool>,
    /// Cloned by each exchange on the connection.
    exchanges: Rc<()>,
}

impl OpenLink {
    pub(super) fn new(connection: Connection) -> Rc<Self> {
        Rc::new(Self {
            connection,
            is_silent: watch::Sender::new(false),
            exchanges: Rc::default(),
        })
    }

    /// Whether further requests may be sent on it.
    pub(super) fn is_usable(&self) -> bool {
        self.connection.close_reason().is_none() && !*self.is_silent.borrow()
    }

    /// Guard of one exchange, which has to be held until its end.
    pub(super) fn exchange_guard(&self) -> Rc<()> {
        Rc::clone(&self.exchanges)
    }

    /// Observes whether packets arrive, until the connection is closed.
    pub(super) async fn observe(&self) {
        // Looks are counted, since the clock goes on while this process is suspended.
        let most_looks = LINK_SILENCE.as_millis() / POLL_INTERVAL.as_millis();
        let mut received = 0;
        let mut looks = 0;
        while self.connection.close_reason().is_none() {
            let before = std::mem::replace(&mut received, self.connection.stats().udp_rx.datagrams);
            looks = if received == before { looks + 1 } else { 0 };
            let is_silent = looks >= most_looks;
            self.is_silent
                .send_if_modified(|known| std::mem::replace(known, is_silent) != is_silent);
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until no packet has arrived for [`LINK_SILENCE`].
    pub(super) async fn silent(&self) {
        let mut is_silent = self.is_silent.subscribe();
        // The sender lives as long as this link.
        drop(is_silent.wait_for(|is_silent| *is_silent).await);
    }

    /// Waits until no exchange has used the connection for a moment, and closes it.
    pub(super) async fn close_unused(&self) {
        let mut unused = 0;
        while unused < UNUSED_LOOKS {
            sleep(POLL_INTERVAL).await;
            let is_used = Rc::strong_count(&self.exchanges) > 1;
            unused = if is_used { 0 } else { unused + 1 };
        }
        self.connection.close(0u8.into(), b"not used any more");
    }

    /// Logs that the link, which was up since `up_at`, is lost, and what it has carried.
    pub(super) fn log_loss(&self, node: &Node, member: &str, reason: &str, up_at: Millis) {
        let stats = self.connection.stats();
        node.log.event(Event::LinkLost { member, reason });
        node.log.event(Event::LinkPackets {
            member,
            up_ms: node.now().since(up_at),
            round_trip_ms: u64::try_from(stats.path.rtt.as_millis()).unwrap_or(u64::MAX),
            sent_packets: stats.path.sent_packets,
            lost_packets: stats.path.lost_packets,
            sent_bytes: stats.udp_tx.bytes,
            received_bytes: stats.udp_rx.bytes,
        });
    }
}
