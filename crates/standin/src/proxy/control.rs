//! The switches of a proxy.

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

/// One million parts make a whole.
const WHOLE_PPM: u32 = 1_000_000;

/// A direction through the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From a caller to the upstream.
    ToUpstream,
    /// From the upstream to a caller.
    ToCaller,
}

/// How one direction behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Impairment {
    /// Delay, in milliseconds.
    pub delay_ms: u64,
    /// Further random delay of each datagram, which changes their order, in milliseconds.
    pub jitter_ms: u64,
    /// Nothing passes. Bytes of a connection wait, datagrams are lost.
    pub is_partitioned: bool,
    /// Datagrams lost, out of 1,000,000.
    pub loss_ppm: u32,
    /// Datagrams sent twice, out of 1,000,000.
    pub duplicate_ppm: u32,
    /// Throughput of each connection, in bytes a second; 0 for no bound.
    pub bytes_per_s: u64,
}

impl Impairment {
    /// A direction with a delay.
    pub fn delayed(delay_ms: u64) -> Self {
        Self {
            delay_ms,
            ..Self::default()
        }
    }

    /// A direction that nothing passes.
    pub fn partitioned() -> Self {
        Self {
            is_partitioned: true,
            ..Self::default()
        }
    }

    /// A direction that loses datagrams, `ppm` out of 1,000,000.
    pub fn lossy(ppm: u32) -> Self {
        Self {
            loss_ppm: ppm,
            ..Self::default()
        }
    }
}

/// Both directions.
#[derive(Clone, Copy, Debug, Default)]
struct Ways {
    to_upstream: Impairment,
    to_caller: Impairment,
}

impl Ways {
    fn get_mut(&mut self, direction: Direction) -> &mut Impairment {
        match direction {
            Direction::ToUpstream => &mut self.to_upstream,
            Direction::ToCaller => &mut self.to_caller,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Switches {
    general: Ways,
    by_source: BTreeMap<IpAddr, Ways>,
    is_refusing: bool,
}

/// What befalls one datagram.
pub(super) struct Fate {
    /// When each copy arrives; none if the datagram is lost.
    pub(super) arrivals: Vec<Instant>,
}

/// State that a proxy's handle shares with its thread.
pub(super) struct Control {
    pub(super) stop: CancellationToken,
    switches: watch::Sender<Switches>,
    /// Cancelled to cut what exists.
    cut: Mutex<CancellationToken>,
    /// Cancelled to freeze what exists.
    frozen: Mutex<CancellationToken>,
    upstream: Mutex<SocketAddr>,
    rng: Mutex<StdRng>,
    counts: Mutex<ProxyCounts>,
}

impl Control {
    pub(super) fn new(upstream: SocketAddr, seed: u64) -> Self {
        Self {
            stop: CancellationToken::new(),
            switches: watch::Sender::new(Switches::default()),
            cut: Mutex::default(),
            frozen: Mutex::default(),
            upstream: Mutex::new(upstream),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            counts: Mutex::default(),
        }
    }

    pub(super) fn set(&self, source: Option<IpAddr>, direction: Direction, way: Impairment) {
        self.switches.send_modify(|switches| {
            let ways = match source {
                Some(source) => switches.by_source.entry(source).or_default(),
                None => &mut switches.general,
            };
            *ways.get_mut(direction) = way;
        });
    }

    pub(super) fn heal(&self) {
        self.switches.send_replace(Switches::default());
    }

    pub(super) fn set_refusing(&self, is_refusing: bool) {
        self.switches
            .send_modify(|switches| switches.is_refusing = is_refusing);
    }

    pub(super) fn is_refusing(&self) -> bool {
        self.switches.borrow().is_refusing
    }

    /// Completes when a switch has been turned since `seen` last looked.
    pub(super) fn subscribe(&self) -> SwitchWatch {
        SwitchWatch(self.switches.subscribe())
    }

    pub(super) fn way(&self, source: IpAddr, direction: Direction) -> Impairment {
        let switches = self.switches.borrow();
        let mut ways = *switches.by_source.get(&source).unwrap_or(&switches.general);
        *ways.get_mut(direction)
    }

    /// Decides what befalls a datagram that comes in now.
    pub(super) fn fate(&self, source: IpAddr, direction: Direction) -> Fate {
        let way = self.way(source, direction);
        let mut rng = lock(&self.rng);
        let mut happens = |ppm: u32| rng.random_range(0..WHOLE_PPM) < ppm;
        let is_lost = happens(way.loss_ppm) || way.is_partitioned;
        let copies = if happens(way.duplicate_ppm) { 2 } else { 1 };
        if is_lost {
            lock(&self.counts).lost_datagrams += 1;
            return Fate {
                arrivals: Vec::new(),
            };
        }
        let now = Instant::now();
        let arrival = |_| {
            let jitter_ms = rng.random_range(0..=way.jitter_ms);
            now + Duration::from_millis(way.delay_ms + jitter_ms)
        };
        Fate {
            arrivals: (0..copies).map(arrival).collect(),
        }
    }

    pub(super) fn close_connections(&self) {
        std::mem::take(&mut *lock(&self.cut)).cancel();
    }

    pub(super) fn freeze_existing(&self) {
        std::mem::take(&mut *lock(&self.frozen)).cancel();
    }

    /// The token that is cancelled when what exists now is cut.
    pub(super) fn cut_token(&self) -> CancellationToken {
        lock(&self.cut).clone()
    }

    /// The token that is cancelled when what exists now is frozen.
    pub(super) fn frozen_token(&self) -> CancellationToken {
        lock(&self.frozen).clone()
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

/// Notices turned switches.
pub(super) struct SwitchWatch(watch::Receiver<Switches>);

impl SwitchWatch {
    pub(super) async fn changed(&mut self) {
        if self.0.changed().await.is_err() {
            futures::future::pending::<()>().await;
        }
    }
}
