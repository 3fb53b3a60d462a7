//! Graceful stop of an instance.

use crate::{front::Connections, log::Event, node::Node};
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time after the signal to stop during which the instance is only announced as leaving, so that
/// callers switch to others.
const ANNOUNCE_LEAVING: Duration = Duration::from_millis(1_500);
/// Shortest time from the signal to stop until the exit, even if no requests are left.
const MIN_STOP_TIME: Duration = Duration::from_millis(3_200);
/// Interval between checks for open requests while draining.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the last bytes to reach another region, including one retransmission.
const LINK_FLUSH_TIME: Duration = Duration::from_millis(500);
/// Share of the configured grace period after which open requests are cut.
const GRACE_SHARE: f64 = 0.89;

/// Leaves the fleet and drains open requests. Returns the number of requests that were cut.
pub(super) async fn leave(
    node: &Node,
    connections: &Connections,
    drain: &CancellationToken,
    stop_store: &CancellationToken,
) -> usize {
    let started_at = node.now();
    node.log.event(Event::Stopping {
        in_flight: node.in_flight.get(),
    });
    node.state.borrow_mut().leaving_at = Some(started_at);
    stop_store.cancel();
    sleep(ANNOUNCE_LEAVING).await;
    drain.cancel();
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let grace_ms = (node.settings.bounds.stop_grace_s * GRACE_SHARE * 1_000.0) as u64;
    loop {
        let passed_ms = node.now().since(started_at);
        let open = connections.count() + node.peer_exchanges.get();
        let is_quiet = open == 0 && u128::from(passed_ms) >= MIN_STOP_TIME.as_millis();
        if is_quiet || passed_ms >= grace_ms {
            break;
        }
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    let in_flight = connections.count() + node.peer_exchanges.get();
    // Requests without a response get an error response, which may still be in transit on a link.
    node.grace_end.cancel();
    sleep(LINK_FLUSH_TIME).await;
    node.log.event(Event::Stopped { in_flight });
    in_flight
}
