//! Settings and shared state of a proxy.

use super::ProxyCounts;
use crate::lock;
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::Mutex,
    time::Duration,
};
use tokio::{sync::watch, time::Instant};
use tokio_util::sync::CancellationToken;

/// Denominator of probabilities in parts per million.
const PPM_DENOMINATOR: u32 = 1_000_000;

/// Direction of traffic through the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From a caller to the upstream.
    ToUpstream,
    /// From the upstream to a caller.
    ToCaller,
}

/// Impairment of the traffic in one direction. The default forwards everything unchanged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Impairment {
    /// Delay, in milliseconds.
    pub delay_ms: u64,
    /// Maximum additional random delay of each datagram, in milliseconds; it can reorder datagrams.
    pub jitter_ms: u64,
    /// Blocks all traffic. Bytes of a connection are held back, datagrams are dropped.
    pub is_partitioned: bool,
    /// Probability of dropping a datagram, in parts per 1,000,000.
    pub loss_ppm: u32,
    /// Probability of sending a datagram twice, in parts per 1,000,000.
    pub duplicate_ppm: u32,
    /// Maximum throughput of each connection, in bytes per second; 0 for no limit.
    pub bytes_per_s: u64,
}

impl Impairment {
    /// Returns an impairment with a delay.
    pub fn delayed(delay_ms: u64) -> Self {
        Self {
            delay_ms,
            ..Self::default()
        }
    }

    /// Returns an impairment that blocks all traffic.
    pub fn partitioned() -> Self {
        Self {
            is_partitioned: true,
            ..Self::default()
        }
    }

    /// Returns an impairment that drops datagrams with a probability of `ppm` parts per 1,000,000.
    pub fn lossy(ppm: u32) -> Self {
        Self {
            loss_ppm: ppm,
            ..Self::default()
        }
    }
}

/// Impairments of both directions.
#[derive(Clone, Copy, Debug, Default)]
struct DirectionImpairments {
    to_upstream: Impairment,
    to_caller: Impairment,
}

impl DirectionImpairments {
    fn get_mut(&mut self, direction: Direction) -> &mut Impairment {
        match direction {
            Direction::ToUpstream => &mut self.to_upstream,
            Direction::ToCaller => &mut self.to_caller,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct ProxySettings {
    /// Impairments of the sources that are not in `by_source`.
    all_sources: DirectionImpairments,
    by_source: BTreeMap<IpAddr, DirectionImpairments>,
    is_refusing: bool,
}

/// Delivery times of one datagram.
pub(super) struct DeliverySchedule {
    /// Arrival time of each copy; empty if the datagram is dropped.
    pub(super) arrivals: Vec<Instant>,
}

/// State shared by the handle and the thread of a proxy.
pub(super) struct Control {
    pub(super) stop: CancellationToken,
    settings: watch::Sender<ProxySettings>,
    /// Cancelled to close the existing connections or flows.
    close_token: Mutex<CancellationToken>,
    /// Cancelled to freeze the existing connections or flows.
    freeze_token: Mutex<CancellationToken>,
    upstream: Mutex<SocketAddr>,
    rng: Mutex<StdRng>,
    counts: Mutex<ProxyCounts>,
}

impl Control {
    pub(super) fn new(upstream: SocketAddr, seed: u64) -> Self {
        Self {
            stop: CancellationToken::new(),
            settings: watch::Sender::new(ProxySettings::default()),
            close_token: Mutex::default(),
            freeze_token: Mutex::default(),
            upstream: Mutex::new(upstream),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            counts: Mutex::default(),
        }
    }

    pub(super) fn set(&self, source: Option<IpAddr>, direction: Direction, impairment: Impairment) {
        self.settings.send_modify(|settings| {
            let impairments = match source {
                Some(source) => settings.by_source.entry(source).or_default(),
                None => &mut settings.all_sources,
            };
            *impairments.get_mut(direction) = impairment;
        });
    }

    pub(super) fn heal(&self) {
        self.settings.send_replace(ProxySettings::default());
    }

    pub(super) fn set_refusing(&self, is_refusing: bool) {
        self.settings
            .send_modify(|settings| settings.is_refusing = is_refusing);
    }

    pub(super) fn is_refusing(&self) -> bool {
        self.settings.borrow().is_refusing
    }

    /// Returns a watch that reports changes of the settings.
    pub(super) fn subscribe(&self) -> SettingsWatch {
        SettingsWatch(self.settings.subscribe())
    }

    pub(super) fn impairment(&self, source: IpAddr, direction: Direction) -> Impairment {
        let settings = self.settings.borrow();
        let mut impairments = *settings
            .by_source
            .get(&source)
            .unwrap_or(&settings.all_sources);
        *impairments.get_mut(direction)
    }

    /// Decides when the copies of a datagram received now are delivered, if at all.
    pub(super) fn schedule_datagram(
        &self,
        source: IpAddr,
        direction: Direction,
    ) -> DeliverySchedule {
        let impairment = self.impairment(source, direction);
        let mut rng = lock(&self.rng);
        let mut occurs = |ppm: u32| rng.random_range(0..PPM_DENOMINATOR) < ppm;
        let is_lost = occurs(impairment.loss_ppm) || impairment.is_partitioned;
        let copies = if occurs(impairment.duplicate_ppm) {
            2
        } else {
            1
        };
        if is_lost {
            lock(&self.counts).lost_datagrams += 1;
            return DeliverySchedule {
                arrivals: Vec::new(),
            };
        }
        let now = Instant::now();
        let arrival = |_| {
            let jitter_ms = rng.random_range(0..=impairment.jitter_ms);
            now + Duration::from_millis(impairment.delay_ms + jitter_ms)
        };
        DeliverySchedule {
            arrivals: (0..copies).map(arrival).collect(),
        }
    }

    pub(super) fn close_connections(&self) {
        std::mem::take(&mut *lock(&self.close_token)).cancel();
    }

    pub(super) fn freeze_existing(&self) {
        std::mem::take(&mut *lock(&self.freeze_token)).cancel();
    }

    /// Returns the token that is cancelled when the connections or flows existing now are closed.
    pub(super) fn close_token(&self) -> CancellationToken {
        lock(&self.close_token).clone()
    }

    /// Returns the token that is cancelled when the connections or flows existing now are frozen.
    pub(super) fn freeze_token(&self) -> CancellationToken {
        lock(&self.freeze_token).clone()
    }

    pub(super) fn upstream(&self) -> SocketAddr {
        *lock(&self.upstream)
    }

    pub(super) fn set_upstream(&self, upstream: SocketAddr) {
        *lock(&self.upstream) = upstream;
    }

    pub(super) fn counts(&self) -> ProxyCounts {
        *lock(&self.counts)
    }

    pub(super) fn count_opened(&self) {
        let mut counts = lock(&self.counts);
        counts.opened += 1;
        counts.open += 1;
    }

    pub(super) fn count_closed(&self) {
        lock(&self.counts).open -= 1;
    }

    pub(super) fn count_bytes(&self, direction: Direction, bytes: usize) {
        let mut counts = lock(&self.counts);
        match direction {
            Direction::ToUpstream => counts.upstream_bytes += bytes as u64,
            Direction::ToCaller => counts.caller_bytes += bytes as u64,
        }
    }
}

/// Watch for changes of the settings.
pub(super) struct SettingsWatch(watch::Receiver<ProxySettings>);

impl SettingsWatch {
    /// Waits for the next change.
    pub(super) async fn changed(&mut self) {
        if self.0.changed().await.is_err() {
            futures::future::pending::<()>().await;
        }
    }
}
