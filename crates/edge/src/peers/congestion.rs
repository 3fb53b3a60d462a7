//! Congestion control of links.
//!
//! Links carry little traffic compared with their bandwidth, over round trips of up to 200 ms and
//! with some packet loss that is not due to congestion. A window that is halved on each loss would
//! delay requests by seconds, so the window has a lower bound.

use quinn::congestion::{Controller, ControllerFactory, CubicConfig};
use quinn_proto::RttEstimator;
use std::{any::Any, sync::Arc, time::Instant};

/// Lower bound of the congestion window, in bytes.
const MIN_WINDOW_BYTES: u64 = 192 * 1024;

/// Factory of CUBIC controllers with a lower bound on the window.
#[derive(Debug, Default)]
pub(super) struct WindowFloorConfig(Arc<CubicConfig>);

impl ControllerFactory for WindowFloorConfig {
    fn build(self: Arc<Self>, now: Instant, current_mtu: u16) -> Box<dyn Controller> {
        Box::new(WindowFloor(Arc::clone(&self.0).build(now, current_mtu)))
    }
}

/// CUBIC controller with a lower bound on the window.
struct WindowFloor(Box<dyn Controller>);

impl Controller for WindowFloor {
    fn on_sent(&mut self, now: Instant, bytes: u64, last_packet_number: u64) {
        self.0.on_sent(now, bytes, last_packet_number);
    }

    fn on_ack(
        &mut self,
        now: Instant,
        sent: Instant,
        bytes: u64,
        app_limited: bool,
        rtt: &RttEstimator,
    ) {
        self.0.on_ack(now, sent, bytes, app_limited, rtt);
    }

    fn on_end_acks(
        &mut self,
        now: Instant,
        in_flight: u64,
        app_limited: bool,
        largest_packet_num_acked: Option<u64>,
    ) {
        self.0
            .on_end_acks(now, in_flight, app_limited, largest_packet_num_acked);
    }

    fn on_congestion_event(
        &mut self,
        now: Instant,
        sent: Instant,
        is_persistent_congestion: bool,
        lost_bytes: u64,
    ) {
        self.0
            .on_congestion_event(now, sent, is_persistent_congestion, lost_bytes);
    }

    fn on_mtu_update(&mut self, new_mtu: u16) {
        self.0.on_mtu_update(new_mtu);
    }

    fn window(&self) -> u64 {
        self.0.window().max(MIN_WINDOW_BYTES)
    }

    fn clone_box(&self) -> Box<dyn Controller> {
        Box::new(Self(self.0.clone_box()))
    }

    fn initial_window(&self) -> u64 {
        self.0.initial_window().max(MIN_WINDOW_BYTES)
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}
